//! The status index at running senders: queries at one sender for messages of another, which runs, is killed
//! or is back.

use serde_json::{Value, json};

use super::world::*;

/// Starts three senders with the index enabled.
fn tier(platform: &Platform, endpoints: &[Value]) -> Vec<Node> {
    tier_with(platform, endpoints, |_| {})
}

/// Starts three senders with the index enabled; `change` alters their configuration.
pub fn tier_with(platform: &Platform, endpoints: &[Value], change: impl Fn(&mut Value)) -> Vec<Node> {
    let peers = free_addresses(3);
    let start = |own: &String| {
        Node::start(platform, endpoints, |config| {
            config["mgmt"] = json!("127.0.0.1:0");
            config["peers"] = json!(peers);
            config["peer_listen"] = json!(own);
            config["limits"]["disk_mb"] = json!(20);
            config["membership"] = json!({"period_ms": 100});
            config["status"] = json!({"room_mb": 2});
            let realm = |name| json!({"name": name, "quota_per_s": 1000.0, "fraction": 0.5});
            config["settings"]["realms"] = json!([realm("water"), realm("light")]);
            change(config);
        })
    };
    peers.iter().map(start).collect()
}

fn submit(node: &Node, id: &str, tenant: &str, dest: u16) {
    let text = String::from_utf8(submission(id, "order", dest, 20_000)).unwrap();
    let text = text.replace("Req-Kind", &format!("Req-Owner: {tenant}\r\nReq-Kind"));
    assert_eq!(node.request(text.as_bytes()).status(), 202);
}

fn message(node: &Node, id: &str, tenant: &str) -> Value {
    let answer = node.call("GET", &format!("/control/status/message/{id}?tenant={tenant}"));
    assert_eq!(answer.status(), 200);
    answer.json()
}

/// The message's states as bits, if the answer has the message.
fn states(node: &Node, id: &str) -> Option<u64> {
    message(node, id, "water")["rows"][0]["states"].as_u64()
}

const TAKEN_AND_CALLED: u64 = 1 + 2;
const DELIVERED: u64 = 32;
const UNKNOWN: u64 = 16;

#[test]
fn any_sender_reports_a_messages_status_to_its_tenant_only() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let nodes = tier(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    submit(&nodes[0], "one", "water", 7);
    wait_until(|| states(&nodes[1], "one") == Some(TAKEN_AND_CALLED));
    endpoint.next().reply(status(200));
    for node in &nodes {
        wait_until(|| states(node, "one") == Some(TAKEN_AND_CALLED + DELIVERED));
    }
    wait_until(|| message(&nodes[2], "one", "water")["partial"] == false);
    let answer = message(&nodes[2], "one", "water");
    assert_eq!((&answer["asked"], &answer["reached"]), (&json!(3), &json!(3)));
    assert_eq!(answer["rows"][0]["attempts"], 1);
    let other = message(&nodes[2], "one", "light");
    assert_eq!((&other["rows"], &other["not_known"]), (&json!([]), &json!(["one"])));
    let listed = nodes[1].post("/control/status/query", r#"{"tenant": "water", "states": ["delivered"]}"#);
    assert_eq!(listed.json()["rows"][0]["id"], "one");
    for wrong in [r#"{"tenant": "water", "limit": 0}"#, r#"{"ids": ["one"]}"#] {
        let error = nodes[1].post("/control/status/query", wrong);
        assert_eq!(error.status(), 400);
        assert!(
            ["code", "error", "remedy"].iter().all(|key| error.json()[key].is_string()),
            "{:?}",
            error.json()
        );
    }
}

/// Guards against a status that is lost with its sender: replicas answer for it, and it is restored from the
/// state folder.
#[test]
fn a_killed_senders_messages_are_reported_by_replicas_and_after_its_restart() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let mut nodes = tier(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    wait_until(|| {
        nodes[0].call("GET", "/control/status").json()["index"]["replicas"].as_array().unwrap().len() == 2
    });
    submit(&nodes[0], "done", "water", 7);
    endpoint.next().reply(status(200));
    submit(&nodes[0], "held", "water", 9);
    let log = nodes[0].call("GET", "/control/status").json()["index"]["log"].clone();
    let last = || nodes[0].call("GET", "/control/status").json()["index"]["last"].clone();
    let there = |node: &Node, last: &Value| {
        let report = node.call("GET", "/control/status").json();
        let copies = report["index"]["copies"].as_array().unwrap().clone();
        copies.iter().any(|copy| copy["log"] == log && copy["upto"] == *last)
    };
    wait_until(|| states(&nodes[0], "done") == Some(TAKEN_AND_CALLED + DELIVERED));
    let last = last();
    wait_until(|| there(&nodes[1], &last) && there(&nodes[2], &last));
    nodes[0].kill();
    let begun = std::time::Instant::now();
    let answer = message(&nodes[1], "done", "water");
    assert!(begun.elapsed().as_millis() < 1_000);
    assert_eq!(answer["rows"][0]["states"], TAKEN_AND_CALLED + DELIVERED);
    assert_eq!(states(&nodes[2], "held"), Some(1));
    let own = answer["logs"].as_array().unwrap().iter().find(|read| read["log"] == log).unwrap().clone();
    assert!(own["server"] != 0 && own["reached"]["upto"] == last, "{own}");
    let back = nodes.remove(0).kill_and_restart();
    let report = back.call("GET", "/control/status").json();
    assert_eq!((&report["index"]["log"], report["kept"].as_bool()), (&log, Some(true)));
    assert!(report["index"]["last"].as_u64() >= last.as_u64());
    assert_eq!(states(&back, "done"), Some(TAKEN_AND_CALLED + DELIVERED));
    assert_eq!(states(&nodes[0], "held"), Some(1));
    // Without its folder the sender begins a new log, and the old one is still at its replicas.
    let back = back.kill_and_restart_after(|state| std::fs::remove_dir_all(state).unwrap());
    assert_ne!(back.call("GET", "/control/status").json()["index"]["log"], log);
    wait_until(|| states(&back, "done") == Some(TAKEN_AND_CALLED + DELIVERED));
    let answer = message(&back, "done", "water");
    assert!(
        answer["known_since"].as_u64() > own["known_since"].as_u64(),
        "the answer shows that the folder was lost"
    );
}

/// Guards against a lost outcome that is shown as none: a message that the journal had closed, but whose end
/// the index had not written, is unknown.
#[test]
fn an_outcome_that_was_not_stored_is_reported_as_unknown() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let mut nodes = tier(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    submit(&nodes[0], "one", "water", 7);
    let call = endpoint.next();
    wait_until(|| states(&nodes[0], "one") == Some(TAKEN_AND_CALLED));
    // Restores the index from before the outcome, with the journal from after it.
    let saved: Vec<(String, Vec<u8>)> = nodes[0]
        .files()
        .into_iter()
        .filter(|name| name.starts_with("status."))
        .map(|name| (name.clone(), std::fs::read(nodes[0].state_folder().join(name)).unwrap()))
        .collect();
    assert!(!saved.is_empty());
    call.reply(status(200));
    wait_until(|| states(&nodes[0], "one") == Some(TAKEN_AND_CALLED + DELIVERED));
    let back = nodes.remove(0).kill_and_restart_after(|state| {
        for (name, bytes) in &saved {
            std::fs::write(state.join(name), bytes).unwrap();
        }
    });
    wait_until(|| states(&back, "one").is_some_and(|states| states & UNKNOWN > 0));
}

/// Guards the promise that without its section the index is off and stores nothing.
#[test]
fn without_its_section_the_index_is_off() {
    let platform = Platform::new();
    let node = Node::start(&platform, &[], |config| config["mgmt"] = json!("127.0.0.1:0"));
    let error = node.call("GET", "/control/status/message/a?tenant=t");
    assert_eq!((error.status(), &error.json()["code"]), (404, &json!("status-off")));
    assert!(!node.files().iter().any(|name| name.starts_with("status")));
}
