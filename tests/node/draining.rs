//! Draining at a running sender: of endpoints, of a process and of a whole machine, with the process killed,
//! replaced or out of time at each point.

use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::world::*;

fn with_draining(config: &mut Value) {
    config["mgmt"] = json!("127.0.0.1:0");
    config["draining"] = json!({"max_marks": 8});
}

fn drain(node: &Node, names: &[&str], force: bool) -> Http {
    node.post("/control/endpoints/drain", &json!({"names": names, "force": force}).to_string())
}

fn restore(node: &Node, names: &[&str]) -> Http {
    node.post("/control/endpoints/restore", &json!({"names": names}).to_string())
}

fn report(node: &Node) -> Value {
    node.call("GET", "/control/drain").json()
}

/// The endpoints that operators have drained, each with its state.
fn drained(node: &Node) -> Vec<(String, String)> {
    let report = report(node);
    let text = |value: &Value| value.as_str().unwrap().to_owned();
    let endpoints = report["endpoints"].as_array().unwrap().iter();
    endpoints.map(|e| (text(&e["name"]), text(&e["state"]))).collect()
}

fn only_endpoint(name: &str, state: &str) -> Vec<(String, String)> {
    vec![(name.to_owned(), state.to_owned())]
}

fn two_listings(a: &TestServer, b: &TestServer) -> [Value; 2] {
    [listing("e1", 7, "plain", a.address), listing("e2", 7, "plain", b.address)]
}

/// Calls in flight at an endpoint when it is drained end there; no new call goes there until it is restored.
#[test]
fn a_drained_endpoint_completes_its_calls_and_gets_no_new_ones() {
    let (platform, one, other) = (Platform::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&platform, &two_listings(&one, &other), with_draining);
    assert_eq!(drain(&node, &["e2"], false).status(), 200);
    assert_eq!(node.submit("out", "order", 7, 20_000).status(), 202);
    let out = one.next();
    assert_eq!(restore(&node, &["e2"]).status(), 200);
    assert_eq!(drain(&node, &["e1"], false).status(), 200);
    assert_eq!(drained(&node), only_endpoint("e1", "draining"));
    for n in 0..5 {
        assert_eq!(node.submit(&format!("m{n}"), "order", 7, 20_000).status(), 202);
        let call = other.next();
        assert_eq!(call.http.headers["req-id"], format!("m{n}"));
        call.reply(status(200));
    }
    out.reply(status(200));
    wait_until(|| drained(&node) == only_endpoint("e1", "drained"));
    wait_until(|| node.call("GET", "/control/counters").json()["answered"]["order"] == 6);
    assert!(!one.has_unread_request());
    let listed = node.call("GET", "/control/endpoints").json();
    assert_eq!(listed["endpoints"][0]["name"], "e1");
    assert_eq!(listed["endpoints"][0]["drained_by_operator"], true);
    assert_eq!(listed["endpoints"][0]["active"], true, "discovery still lists it as active");
    assert_eq!(restore(&node, &["e1"]).json()["changed"], json!(["e1"]));
    assert_eq!(drain(&node, &["e2"], false).status(), 200);
    assert_eq!(node.submit("back", "order", 7, 20_000).status(), 202);
    assert_eq!(one.next().http.headers["req-id"], "back");
}

/// A disbursement in flight at an endpoint when its drain begins, which gets no answer, may have run.
#[test]
fn a_disbursement_in_flight_at_a_drained_endpoint_never_goes_to_another() {
    for killed in [false, true] {
        let (platform, one, other) = (Platform::new(), TestServer::new(), TestServer::new());
        let node = Node::start(&platform, &two_listings(&one, &other), with_draining);
        assert_eq!(drain(&node, &["e2"], false).status(), 200);
        assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
        let call = one.next();
        assert_eq!(restore(&node, &["e2"]).status(), 200);
        assert_eq!(drain(&node, &["e1"], false).status(), 200);
        let node = if killed { node.kill_and_restart() } else { node };
        call.reply(Reply::Close);
        assert_eq!(platform.notice(204), [json!({"id": "a", "status": "undeliverable"})]);
        assert_eq!(drained(&node), only_endpoint("e1", "drained"));
        assert!(!other.has_unread_request());
    }
}

/// A drain mark survives list changes and a kill, and ends when the endpoint leaves the list.
#[test]
fn a_drain_mark_survives_list_changes_and_kills_until_its_endpoint_leaves() {
    let (platform, one, other, moved) =
        (Platform::new(), TestServer::new(), TestServer::new(), TestServer::new());
    let known = two_listings(&one, &other);
    let mut node = Node::start(&platform, &known, with_draining);
    assert_eq!(drain(&node, &["e1"], false).status(), 200);
    let leaving = |of: &Value| {
        let mut leaving = of.clone();
        leaving["status"] = json!("leaving");
        leaving
    };
    let mut returned = known[0].clone();
    returned["address"] = json!(moved.address.to_string());
    let lists = [
        vec![leaving(&known[0]), known[1].clone()],
        vec![known[0].clone(), known[1].clone()],
        vec![returned.clone(), known[1].clone()],
    ];
    for (n, list) in lists.iter().enumerate() {
        platform.publish(list);
        // The index shows when the list has been applied.
        let listed = || node.call("GET", "/control/endpoints").json();
        wait_until(|| listed()["index"] == n as u64 + 2);
        assert_eq!(drained(&node), only_endpoint("e1", "drained"), "list {n}");
        node = node.kill_and_restart();
        assert_eq!(drained(&node), only_endpoint("e1", "drained"), "killed after list {n}");
        assert_eq!(node.submit(&format!("m{n}"), "order", 7, 20_000).status(), 202);
        other.next().reply(status(200));
        // The list in the configuration is older than discovery's.
        wait_until(|| node.call("GET", "/control/endpoints").json()["index"] == n as u64 + 2);
    }
    // The endpoint is back under its name at a new address, and is called there.
    assert_eq!(restore(&node, &["e1"]).status(), 200);
    assert_eq!(drain(&node, &["e2"], false).status(), 200);
    assert_eq!(node.submit("moved", "order", 7, 20_000).status(), 202);
    moved.next().reply(status(200));
    // Once the endpoint has left the list, an endpoint listed under its name is not drained.
    platform.publish(&[returned.clone()]);
    wait_until(|| drained(&node).is_empty());
    platform.publish(&[returned, known[1].clone()]);
    wait_until(|| node.call("GET", "/control/endpoints").json()["endpoints"].as_array().unwrap().len() == 2);
    let node = node.kill_and_restart();
    assert!(drained(&node).is_empty());
    assert!(!one.has_unread_request());
}

#[test]
fn the_last_endpoint_of_a_destination_is_drained_only_with_force() {
    let (platform, one, other) = (Platform::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&platform, &two_listings(&one, &other), with_draining);
    assert_eq!(drain(&node, &["e1"], false).status(), 200);
    let refused = drain(&node, &["e2"], false);
    assert_eq!((refused.status(), &refused.json()["destinations"]), (409, &json!([7])));
    assert_eq!(drained(&node), only_endpoint("e1", "drained"), "nothing was changed");
    assert_eq!(drain(&node, &["e2"], true).status(), 200);
    assert_eq!(report(&node)["destinations_without_endpoint"], json!([7]));
    assert_eq!(node.submit("held", "order", 7, 20_000).status(), 202);
    assert_eq!(node.submit("short", "order", 7, 300).status(), 202);
    assert_eq!(platform.notice(204), [json!({"id": "short", "status": "deferred"})]);
    assert_eq!(restore(&node, &["e2"]).status(), 200);
    assert_eq!(other.next().http.headers["req-id"], "held");
    assert!(!one.has_unread_request());
}

/// Two operators drain the two endpoints of a destination at once, each relying on the other endpoint.
#[test]
fn of_two_concurrent_drains_of_a_destination_one_is_refused() {
    let (platform, one, other) = (Platform::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&platform, &two_listings(&one, &other), with_draining);
    for _ in 0..10 {
        let statuses = thread::scope(|scope| {
            let calls = ["e1", "e2"].map(|name| scope.spawn(|| drain(&node, &[name], false).status()));
            calls.map(|call| call.join().unwrap())
        });
        assert!(matches!(statuses, [200, 409] | [409, 200]), "{statuses:?}");
        assert_eq!(restore(&node, &["e1", "e2"]).json()["drained"], json!([]));
    }
}

#[test]
fn an_endpoint_drained_again_right_after_a_restore_stays_drained() {
    let (platform, one, other) = (Platform::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&platform, &two_listings(&one, &other), with_draining);
    let begun = Instant::now();
    for _ in 0..3 {
        assert_eq!(drain(&node, &["e1"], false).status(), 200);
        assert_eq!(restore(&node, &["e1"]).status(), 200);
        assert_eq!(node.call("POST", "/control/out-of-service?within_ms=5000").status(), 200);
        assert_eq!(node.call("POST", "/control/in-service").status(), 200);
    }
    assert_eq!(drain(&node, &["e1"], false).status(), 200);
    assert!(begun.elapsed() < TIMEOUT);
    assert_eq!(report(&node)["state"], "serving");
    for n in 0..4 {
        assert_eq!(node.submit(&format!("m{n}"), "order", 7, 20_000).status(), 202);
        other.next().reply(status(200));
    }
    assert!(!one.has_unread_request());
}

/// A batch in flight at a drained endpoint: its messages end one by one, and a rejected one goes to another
/// endpoint.
#[test]
fn a_batch_in_flight_at_a_drained_endpoint_ends_message_by_message() {
    let (platform, one, other) = (Platform::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&platform, &[], with_draining);
    for id in ["a", "b", "c"] {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
    }
    let first = listing("e1", 7, "bulk", one.address);
    platform.publish(std::slice::from_ref(&first));
    let batch = one.next();
    assert_eq!(super::ids(&batch), ["a", "b", "c"]);
    platform.publish(&[first, listing("e2", 7, "bulk", other.address)]);
    wait_until(|| node.call("GET", "/control/counters").json()["cluster_size"] == 2);
    assert_eq!(drain(&node, &["e1"], false).status(), 200);
    assert_eq!(report(&node)["endpoints"][0]["messages_out"], 3);
    let ends =
        json!([{"id": "a", "state": "ok"}, {"id": "b", "state": "later"}, {"id": "c", "state": "error"}]);
    batch.reply(Reply::Answer(200, vec![], ends.to_string()));
    assert_eq!(platform.notice(204), [json!({"id": "c", "status": "undeliverable"})]);
    let again = other.next();
    assert_eq!(again.http.headers["req-id"], "b");
    again.reply(status(200));
    wait_until(|| drained(&node) == only_endpoint("e1", "drained"));
    assert!(!one.has_unread_request());
}

/// The drain's time runs out with messages of both classes held and in flight: each ends as its class allows,
/// and the report says at each point what may be done to the machine.
#[test]
fn a_process_drains_within_the_requested_time() {
    let (platform, one) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", one.address)], with_draining);
    assert_eq!(report(&node)["state"], "serving");
    assert!(report(&node)["verdict"].as_str().unwrap().starts_with("not yet: it is serving"));
    let mut busy = Client::new(&node);
    assert_eq!(busy.request(&submission("out", "order", 7, 20_000)).status(), 202);
    let out = one.next();
    assert_eq!(busy.request(&submission("order", "order", 9, 20_000)).status(), 202);
    assert_eq!(busy.request(&submission("note", "note", 9, 20_000)).status(), 202);
    let answer = node.call("POST", "/control/out-of-service?within_ms=3000");
    assert_eq!((answer.status(), &answer.json()["state"]), (200, &json!("draining")));
    assert!(answer.json()["left_ms"].as_u64().unwrap() <= 3000);
    // No endpoint is listed for them: they are deferred at once, with a time to retry.
    let mut handed_back = BTreeSet::new();
    while handed_back.len() < 2 {
        for notice in platform.notice(204) {
            assert_eq!(notice["status"], "deferred");
            assert!(notice["again_ms"].as_u64().unwrap() > 0);
            handed_back.insert(notice["id"].as_str().unwrap().to_owned());
        }
    }
    assert_eq!(handed_back, BTreeSet::from(["note".to_owned(), "order".to_owned()]));
    // A client that keeps using its connection gets one more answer, and the connection is closed.
    let last = busy.request(&submission("late", "order", 9, 20_000));
    assert_eq!(last.status(), 503, "it can't be delivered here");
    assert!(last.headers["retry-after"].parse::<f64>().unwrap() > 0.0);
    assert!(busy.is_closed());
    wait_until(|| report(&node)["clients"] == 0);
    let verdict = report(&node)["verdict"].as_str().unwrap().to_owned();
    assert_eq!(verdict, "not yet: 1 calls out");
    // A message that may have run is not deferred: it fails by the end of the drain.
    assert_eq!(platform.notice(204), [json!({"id": "out", "status": "undeliverable"})]);
    drop(out);
    wait_until(|| report(&node)["state"] == "drained");
    assert_eq!(report(&node)["verdict"], "safe to lose the machine");
    assert_eq!(report(&node)["owed"], 0);
    // Back in service, the sender accepts clients again, and their messages have their own deadlines.
    assert_eq!(node.call("POST", "/control/in-service").status(), 200);
    assert_eq!(node.submit("again", "note", 9, 20_000).status(), 202);
    assert_eq!(report(&node)["state"], "serving");
}

/// While the journal still owes messages the verdict is "safe to stop" only; a kill in any state loses
/// nothing.
#[test]
fn a_kill_in_any_state_of_a_drain_loses_nothing() {
    let (platform, one) = (Platform::new(), TestServer::new());
    let mut node = Node::start(&platform, &[], with_draining);
    assert_eq!(node.submit("held", "order", 7, 20_000).status(), 202);
    assert_eq!(node.call("POST", "/control/out-of-service").status(), 200);
    wait_until(|| report(&node)["clients"] == 0);
    let verdict = report(&node)["verdict"].as_str().unwrap().to_owned();
    assert!(verdict.starts_with("safe to stop: 1 messages owed"), "{verdict}");
    node = node.kill_and_restart();
    assert_eq!(report(&node)["state"], "serving", "a new process begins in service");
    assert_eq!(report(&node)["owed"], 1);
    // Killed before the platform has accepted the notice of the deferred message.
    assert_eq!(node.call("POST", "/control/out-of-service?within_ms=1000").status(), 200);
    let deferred = json!({"id": "held", "status": "deferred"});
    let notice = platform.notice(500);
    assert_eq!((&notice[0]["id"], &notice[0]["status"]), (&deferred["id"], &deferred["status"]));
    assert_eq!(report(&node)["state"], "draining", "the notice is owed");
    node = node.kill_and_restart();
    // The previous process may have sent the notice again before it was killed.
    let notice = platform.notice(204);
    assert_eq!(notice[0]["id"], "held");
    wait_until(|| {
        if let Ok(asked) = platform.notices.recv_timeout(Duration::from_millis(20)) {
            asked.reply(status(204));
        }
        report(&node)["owed"] == 0
    });
    // Killed once it was drained.
    assert_eq!(node.call("POST", "/control/out-of-service?within_ms=1000").status(), 200);
    wait_until(|| report(&node)["state"] == "drained");
    node = node.kill_and_restart();
    assert_eq!(report(&node)["owed"], 0);
    platform.publish(&[listing("e1", 7, "plain", one.address)]);
    assert_eq!(node.submit("next", "order", 7, 20_000).status(), 202);
    assert_eq!(one.next().http.headers["req-id"], "next");
}

#[test]
fn a_handover_carries_the_marks_and_begins_in_service() {
    let (platform, one, other) = (Platform::new(), TestServer::new(), TestServer::new());
    let mut old = Node::start_inheriting_with(&platform, &two_listings(&one, &other), with_draining);
    assert_eq!(drain(&old, &["e1"], false).status(), 200);
    assert_eq!(old.submit("held", "order", 9, 20_000).status(), 202);
    // The process is out of service while it hands over, and hands over while it is out of service.
    assert_eq!(old.call("POST", "/control/out-of-service?within_ms=60000").status(), 200);
    platform.notice(204);
    assert_eq!(old.submit("out", "order", 7, 20_000).status(), 202);
    let out = other.next();
    let new = old.start_successor();
    assert_eq!(report(&new)["state"], "serving");
    assert_eq!(drained(&new), only_endpoint("e1", "drained"));
    for call in ["/control/endpoints/drain", "/control/endpoints/restore"] {
        assert_eq!(old.post(call, "{\"names\": [\"e1\"]}").status(), 409, "only the new process may do it");
    }
    assert_eq!(old.call("POST", "/control/out-of-service?within_ms=1000").status(), 409);
    assert_eq!(drain(&new, &["e2"], false).status(), 409, "it is the last endpoint");
    assert_eq!(new.submit("a", "order", 7, 20_000).status(), 202);
    let call = other.next();
    assert_eq!(call.http.headers["req-id"], "a");
    // The report counts the calls of both processes.
    wait_until(|| {
        let listed = new.call("GET", "/control/endpoints").json();
        listed["endpoints"][1]["messages_out"] == 2
    });
    call.reply(status(200));
    out.reply(status(200));
    wait_until(|| new.call("GET", "/control/counters").json()["answered"]["order"] == 2);
    old.terminate();
    assert_eq!(old.exit_code(), Some(0));
    assert_eq!(restore(&new, &["e1"]).status(), 200);
    assert_eq!(drain(&new, &["e2"], false).status(), 200);
    assert_eq!(new.submit("b", "order", 7, 20_000).status(), 202);
    assert_eq!(one.next().http.headers["req-id"], "b");
}

#[test]
fn invalid_drain_calls_get_a_one_line_error_and_change_nothing() {
    let (platform, one, other) = (Platform::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&platform, &two_listings(&one, &other), with_draining);
    let long = json!({"names": ["x".repeat(17_000)]}).to_string();
    for (path, body, code) in [
        ("/control/endpoints/drain", "{\"names\": [\"nobody\"]}", 404),
        ("/control/endpoints/drain", "{\"names\": []}", 400),
        ("/control/endpoints/drain", "{\"names\": [\"e1\"], \"fore\": true}", 400),
        ("/control/endpoints/drain", "{\"names\": \"e1\"}", 400),
        ("/control/endpoints/drain", "{\"names\": [\"e1\"]", 400),
        ("/control/endpoints/drain", "", 400),
        ("/control/endpoints/drain", "\u{0}\n", 400),
        ("/control/endpoints/drain", long.as_str(), 413),
        ("/control/endpoints/restore", "[]", 400),
        ("/control/out-of-service?within_ms=soon", "", 400),
        ("/control/out-of-service?within_ms=-1", "", 400),
        ("/control/out-of-service?within_ms=0", "", 400),
        ("/control/out-of-service?within=5", "", 400),
    ] {
        let answer = node.post(path, body);
        assert_eq!(answer.status(), code, "{path} {body:.40}");
        let text = String::from_utf8(answer.body.clone()).unwrap();
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(answer.json()["error"].as_str().is_some_and(|why| !why.is_empty()), "{text}");
    }
    let half =
        node.raw_call("POST /control/endpoints/drain HTTP/1.1\r\nHost: m\r\nContent-Length: 99\r\n\r\n{\"na");
    assert_eq!(half.status(), 408);
    assert_eq!(node.call("GET", "/control/endpoints/drain").status(), 405);
    assert_eq!(node.call("POST", "/control/drain").status(), 405);
    assert!(drained(&node).is_empty());
    assert_eq!(report(&node)["state"], "serving");
    // Without its section draining is off and stores no file.
    let off =
        Node::start(&platform, &two_listings(&one, &other), |config| config["mgmt"] = json!("127.0.0.1:0"));
    assert_eq!(drain(&off, &["e1"], false).status(), 404);
    assert_eq!(off.files(), ["journal"]);
    assert_eq!(node.files(), ["journal"], "nor with the section, until an endpoint is marked");
}

/// A mark that can't be stored must not be acknowledged.
#[test]
fn a_drain_mark_that_cannot_be_stored_is_refused() {
    let (platform, one, other) = (Platform::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&platform, &two_listings(&one, &other), with_draining);
    std::fs::create_dir(node.state_folder().join("drained.new")).unwrap();
    assert_eq!(drain(&node, &["e1"], false).status(), 507);
    assert!(drained(&node).is_empty());
    std::fs::remove_dir(node.state_folder().join("drained.new")).unwrap();
    assert_eq!(drain(&node, &["e1"], false).status(), 200);
    // A corrupt file loses the marks; the sender still starts.
    let node =
        node.kill_and_restart_after(|state| std::fs::write(state.join("drained"), b"corrupt").unwrap());
    assert!(drained(&node).is_empty());
    assert_eq!(drain(&node, &["e1"], false).status(), 200);
}
