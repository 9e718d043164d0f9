//! Reads by plan at running senders: written at one, read at another, through kills, pauses, lag and a lost
//! state folder.

use serde_json::{Value, json};

use super::status::tier_with;
use super::world::*;

fn plans() -> Value {
    json!({"water": {"level": "session", "wait_ms": 600}, "default": {"level": "any"}})
}

fn tier(platform: &Platform) -> Vec<Node> {
    let nodes = tier_with(platform, &[], |config| config["plans"] = plans());
    let replicas = |node: &Node| {
        node.call("GET", "/control/status").json()["index"]["replicas"].as_array().map_or(0, Vec::len)
    };
    wait_until(|| nodes.iter().all(|node| replicas(node) == 2));
    nodes
}

/// Submits a message; returns the session token of the 202, if it has one.
fn submit(node: &Node, id: &str, tenant: &str) -> Option<String> {
    let text = String::from_utf8(submission(id, "order", 9, 60_000)).unwrap();
    let text = text.replace("Req-Kind", &format!("Req-Owner: {tenant}\r\nReq-Kind"));
    let answer = node.request(text.as_bytes());
    assert_eq!(answer.status(), 202);
    answer.headers.get("session-token").cloned()
}

fn read(node: &Node, id: &str, tenant: &str, token: &str) -> Http {
    node.raw_call(&format!(
        "GET /control/status/message/{id}?tenant={tenant}&route=1 HTTP/1.1\r\nHost: m\r\nSession-Token: {token}\r\n\r\n"
    ))
}

/// Checks that a read keeps its level and shows the message; returns its token.
fn read_keeps_level(node: &Node, id: &str, token: &str) -> String {
    let answer = read(node, id, "water", token);
    let body = answer.json();
    assert_eq!((answer.status(), &body["read"]["outcome"]), (200, &json!("kept")), "{body}");
    assert_eq!(body["rows"][0]["id"], id, "{body}");
    answer.headers["session-token"].clone()
}

#[test]
fn a_tenant_with_a_session_plan_reads_its_own_writes_at_any_sender() {
    let platform = Platform::new();
    let mut nodes = tier(&platform);
    assert_eq!(submit(&nodes[0], "dim", "light"), None);
    let token = submit(&nodes[0], "one", "water").unwrap();
    // Immediately, at any sender.
    let token = read_keeps_level(&nodes[1], "one", &token);
    let token = read_keeps_level(&nodes[2], "one", &token);
    let error = read(&nodes[1], "dim", "light", &token);
    assert_eq!((error.status(), &error.json()["code"]), (403, &json!("plan_no_session")));
    assert!(error.json()["error"].as_str().unwrap().contains("plan default"));
    assert!(!error.headers.contains_key("session-token"));
    let error = read(&nodes[1], "one", "water", &token[..token.len() / 8 * 4]);
    assert_eq!((error.status(), &error.json()["code"]), (400, &json!("token_cut")));
    // A replica that was paused during the write has to catch up, or another sender is asked.
    nodes[1].signal("STOP");
    let late = submit(&nodes[0], "late", "water").unwrap();
    nodes[1].signal("CONT");
    let token = read_keeps_level(&nodes[1], "late", &late);
    // Reads are routed around a paused owner once a replica has the write.
    read_keeps_level(&nodes[2], "late", &token);
    let has = |node: &Node| {
        let report = node.call("GET", "/control/status").json();
        let log = nodes[0].call("GET", "/control/status").json()["index"].clone();
        let copies = report["index"]["copies"].as_array().unwrap();
        copies.iter().any(|copy| copy["log"] == log["log"] && copy["upto"] == log["last"])
    };
    wait_until(|| has(&nodes[1]) && has(&nodes[2]));
    nodes[0].signal("STOP");
    let token = read_keeps_level(&nodes[1], "late", &token);
    nodes[0].signal("CONT");
    // The owner is killed, and comes back with its state folder.
    nodes[0].kill();
    let token = read_keeps_level(&nodes[2], "late", &token);
    let back = nodes.remove(0).kill_and_restart();
    let token = read_keeps_level(&back, "late", &token);
    read_keeps_level(&nodes[0], "late", &token);
    let report = nodes[0].call("GET", "/control/plans").json();
    let reads = report["reads"].as_array().unwrap();
    let water = reads.iter().find(|counts| counts["tenant"] == "water").unwrap();
    assert!(water["counts"]["kept"].as_u64().unwrap() >= 4 && water["counts"]["denied"] == 1, "{report}");
}

#[test]
fn a_write_lost_with_a_state_folder_is_reported_as_lost_and_not_as_absent() {
    let platform = Platform::new();
    let mut nodes = tier(&platform);
    let kept_token = submit(&nodes[1], "other", "water").unwrap();
    // No replica is up to receive the write.
    nodes[1].kill();
    nodes[2].kill();
    let token = submit(&nodes[0], "gone", "water").unwrap();
    let owner = nodes.remove(0).kill_and_restart_after(|state| std::fs::remove_dir_all(state).unwrap());
    // While a sender that may hold the write is away, the read is late, not lost.
    let error = read(&owner, "gone", "water", &token);
    assert_eq!((error.status(), &error.json()["code"]), (503, &json!("read_late")), "{}", error.json());
    let nodes: Vec<Node> = nodes.into_iter().map(Node::kill_and_restart).collect();
    wait_until(|| read(&owner, "gone", "water", &token).status() == 410);
    let error = read(&nodes[0], "gone", "water", &token);
    assert_eq!((error.status(), &error.json()["code"]), (410, &json!("read_lost")), "{}", error.json());
    assert_eq!(error.json()["read"]["lost"].as_array().unwrap().len(), 1);
    assert_eq!(error.headers["session-token"], token);
    // A client that accepts the loss continues with the token without it.
    let without = error.json()["read"]["token_without_lost"].as_str().unwrap().to_owned();
    assert_eq!(read(&nodes[0], "gone", "water", &without).json()["not_known"], json!(["gone"]));
    read_keeps_level(&owner, "other", &kept_token);
}

/// Guards the promise that without their section plans are off, and reads in progress during a reload.
#[test]
fn without_the_section_there_is_no_token_and_plans_change_by_reload() {
    let platform = Platform::new();
    let nodes = tier_with(&platform, &[], |_| {});
    assert_eq!(submit(&nodes[0], "a", "water"), None);
    let answer = read(&nodes[0], "a", "water", "nonsense");
    assert_eq!((answer.status(), answer.headers.get("session-token")), (200, None));
    assert_eq!(answer.json().get("read"), None);
    assert_eq!(nodes[0].call("GET", "/control/plans").status(), 404);
    nodes[0].reload(|config| config["plans"] = plans());
    wait_until(|| nodes[0].call("GET", "/control/plans").status() == 200);
    let token = submit(&nodes[0], "b", "water").unwrap();
    read_keeps_level(&nodes[0], "b", &token);
    // The section can't just be left out: a file that lacks a section in force is taken for a truncated one.
    nodes[0].reload(|config| config["plans"]["water"]["level"] = json!("any"));
    wait_until(|| read(&nodes[0], "b", "water", &token).status() == 403);
    // Old tokens stay valid.
    nodes[0].reload(|config| config["plans"] = plans());
    wait_until(|| read(&nodes[0], "b", "water", &token).status() == 200);
}
