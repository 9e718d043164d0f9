//! End-to-end tests of the sender binary over loopback sockets: one for each guarantee and for each failure
//! found.

mod charging;
mod configuration;
mod departed;
mod door;
mod draining;
mod entering;
mod estimating;
mod extra;
mod faults;
mod flood;
mod handover;
mod late;
mod lists;
mod memory;
mod plans;
mod residing;
mod restored;
mod soak;
mod status;
mod survival;
mod world;

use std::collections::BTreeSet;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;
use world::*;

/// The ids of the messages in a batch request.
fn ids(batch: &PendingRequest) -> Vec<String> {
    let parts = batch.http.json();
    parts.as_array().unwrap().iter().map(|p| p["id"].as_str().unwrap().to_owned()).collect()
}

#[test]
fn messages_are_forwarded_unchanged_over_reused_connections() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let ready = node.request(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
    assert_eq!(ready.status(), 200);
    let mut connections = vec![];
    for id in ["a", "b", "c"] {
        assert_eq!(node.submit(id, "note", 7, 20_000).status(), 202);
        let call = endpoint.next();
        assert_eq!(call.http.first_line, "POST /v1/messages HTTP/1.1");
        assert_eq!(call.http.headers["req-id"], id);
        assert_eq!(call.http.headers["idempotency-key"], format!("key-{id}"));
        assert_eq!(call.http.body, format!("body\0of {id}").into_bytes());
        let wait: u64 = call.http.headers["req-deadline-ms"].parse().unwrap();
        assert!((1..=4000).contains(&wait), "{wait}");
        connections.push(call.connection);
        let before = node.journal_length();
        call.reply(status(200));
        // The journal grows once the answer has been read.
        wait_until(|| node.journal_length() > before);
    }
    // The policy has the first connection closed: it can't tell yet that this endpoint is called often.
    assert_eq!(connections[1], connections[2]);
}

/// Guards against a restart that loses accepted messages, repeats an effect, or resumes only when a client
/// submits again.
#[test]
fn accepted_messages_survive_a_kill() {
    let (platform, seven, eight) = (Platform::new(), TestServer::new(), TestServer::new());
    let known = [listing("e1", 7, "plain", seven.address), listing("e2", 8, "plain", eight.address)];
    let node = Node::start(&platform, &known, |_| {});
    assert_eq!(node.submit("unsafe", "order", 7, 20_000).status(), 202);
    let unsafe_call = seven.next();
    assert_eq!(node.submit("keyed", "note", 8, 20_000).status(), 202);
    let keyed_call = eight.next();
    assert_eq!(node.submit("held", "order", 9, 20_000).status(), 202, "no endpoint is listed for it yet");
    let node = node.kill_and_restart();
    assert_eq!(platform.notice(204), [json!({"id": "unsafe", "status": "undeliverable"})]);
    let again = eight.next();
    assert_eq!(again.http.headers["req-id"], "keyed");
    assert_eq!(again.http.headers["idempotency-key"], "key-keyed");
    assert_eq!(again.http.body, keyed_call.http.body);
    again.reply(status(200));
    let nine = TestServer::new();
    platform.publish(&[listing("e3", 9, "plain", nine.address)]);
    let held = nine.next();
    assert_eq!(held.http.headers["req-id"], "held");
    assert_eq!(held.http.body, b"body\0of held");
    held.reply(status(200));
    drop(unsafe_call);
    drop(node);
    assert!(!seven.has_unread_request(), "the unsafe message is not sent again");
}

/// Guards the tenants' shares: a message's tenant reaches the policy, also when it is restored from the
/// journal.
#[test]
fn a_tenant_within_its_share_is_served_before_one_over_it() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[], |config| {
        let realm = |name, quota| json!({"name": name, "quota_per_s": quota, "fraction": 0.5});
        config["settings"]["realms"] = json!([realm("loud", 0.01), realm("quiet", 100.0)]);
        config["settings"]["over_share_worth"] = json!(0.1);
        config["settings"]["family_info"]["calls_out"] = json!(1);
    });
    for (id, owner) in [("a", "loud"), ("b", "loud"), ("c", "quiet")] {
        let text = String::from_utf8(submission(id, "order", 7, 24_000)).unwrap();
        let nobody = text.replace("Req-Kind", "Req-Owner: nobody\r\nReq-Kind");
        assert_eq!(node.request(nobody.as_bytes()).status(), 400);
        let text = text.replace("Req-Kind", &format!("Req-Owner: {owner}\r\nReq-Kind"));
        assert_eq!(node.request(text.as_bytes()).status(), 202);
    }
    let node = node.kill_and_restart();
    platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
    for id in ["c", "a", "b"] {
        let call = endpoint.next();
        assert_eq!(call.http.headers["req-id"], id);
        call.reply(status(200));
    }
    drop(node);
}

/// Guards against a resend after the destination may have forgotten the idempotency key.
#[test]
fn a_keyed_message_whose_window_is_over_is_not_resent_after_a_kill() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    // The window is shorter than the margin that the policy reserves for delivery.
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["settings"]["classes"][0]["dedup_window_us"] = json!(1);
    });
    assert_eq!(node.submit("a", "note", 7, 20_000).status(), 202);
    let call = endpoint.next();
    let node = node.kill_and_restart();
    assert_eq!(platform.notice(204), [json!({"id": "a", "status": "undeliverable"})]);
    drop((call, node));
    assert!(!endpoint.has_unread_request());
}

/// Guards against a notice that is lost with a failed answer of the platform, or with the process.
#[test]
fn a_notice_is_retried_until_the_platform_accepts_it() {
    let platform = Platform::new();
    let node = Node::start(&platform, &[], |_| {});
    assert_eq!(node.submit("a", "order", 7, 1000).status(), 202);
    let expected = [json!({"id": "a", "status": "deferred"})];
    assert_eq!(platform.notice(500), expected);
    assert_eq!(platform.notice(503), expected);
    let node = node.kill_and_restart();
    assert_eq!(platform.notice(204), expected);
    drop(node);
}

/// Guards an accepted message against another client that submits the same id and disconnects before its
/// answer.
#[test]
fn an_accepted_message_is_not_withdrawn_when_another_client_with_its_id_disconnects() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    // The next turn begins long after the other client has disconnected.
    let node = Node::start(&platform, &[], |config| config["settings"]["period_us"] = json!(500_000));
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
    Client::new(&node).send_and_close(&submission("a", "order", 7, 20_000));
    assert_eq!(node.submit("b", "order", 8, 20_000).status(), 202, "in a later turn");
    platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], "a");
    call.reply(status(200));
}

/// Found on the large fleet: discovery answers watches at each change, all senders then asked again at once,
/// and it had capacity for none of them.
#[test]
fn a_list_served_only_on_request_is_polled_and_not_watched() {
    let platform = Platform::new();
    let _node = Node::start(&platform, &[], |config| {
        config["settings"]["discovery"] = json!("ask");
        config["settings"]["obligations"]["ask_every_us"] = json!(1_000_000);
    });
    for _ in 0..3 {
        assert_eq!(
            platform.list_requests.recv_timeout(TIMEOUT).expect("the list is requested again"),
            "/v1/endpoints"
        );
    }
}

/// Guards against a sender that exits on SIGHUP or keeps watching the previous discovery address.
#[test]
fn a_reload_moves_the_watch_and_the_notices_to_the_new_discovery() {
    let (old, new, endpoint) = (Platform::new(), Platform::new(), TestServer::new());
    let node = Node::start(&old, &[], |_| {});
    assert_eq!(node.submit("to the old", "order", 8, 500).status(), 202);
    assert_eq!(old.notice(204), [json!({"id": "to the old", "status": "deferred"})]);
    // A configuration that can't be read changes nothing.
    node.reload(|config| config["discovery"] = json!("nowhere"));
    node.reload(|config| config["discovery"] = json!(new.address.to_string()));
    new.publish(&[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], "a");
    call.reply(status(500));
    assert_eq!(new.notice(204), [json!({"id": "a", "status": "undeliverable"})]);
}

/// New settings apply to later messages; messages in progress keep their class.
#[test]
fn a_reload_adds_and_removes_classes() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[], |_| {});
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
    node.reload(|config| config["settings"]["classes"][1]["hard_limit_us"] = json!(0));
    node.reload(|config| {
        let mut bill = config["settings"]["classes"][1].clone();
        bill["name"] = json!("bill");
        bill["hard_limit_us"] = json!(24_000_000);
        config["settings"]["classes"][1] = bill;
    });
    wait_until(|| node.submit("b", "bill", 7, 20_000).status() == 202);
    assert_eq!(node.submit("c", "order", 7, 20_000).status(), 400);
    platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
    // Each message has its own connection: either of the two may be read first.
    let mut called = BTreeSet::new();
    for _ in 0..2 {
        let call = endpoint.next();
        let id = call.http.headers["req-id"].clone();
        call.reply(status(500));
        assert_eq!(platform.notice(204), [json!({"id": id, "status": "undeliverable"})]);
        called.insert(id);
    }
    assert_eq!(called, BTreeSet::from(["a".to_owned(), "b".to_owned()]));
}

/// Guards the distinction between a call that may have run and one that can't have.
#[test]
fn a_call_without_a_valid_answer_counts_as_possibly_run() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let replies = [Reply::Close, Reply::Bytes(b"\x00\xff what?\r\n\r\n"), status(500), status(299)];
    for (n, reply) in replies.into_iter().enumerate() {
        let id = format!("m{n}");
        assert_eq!(node.submit(&id, "order", 7, 20_000).status(), 202);
        let call = endpoint.next();
        assert_eq!(call.http.headers["req-id"], id);
        call.reply(reply);
        assert_eq!(platform.notice(204), [json!({"id": id, "status": "undeliverable"})]);
    }
}

/// A status line with 200 means delivered, even when the rest of the answer can't be read.
#[test]
fn a_200_status_line_counts_as_delivered_whatever_follows() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let broken: [&[u8]; 3] =
        [b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", b"HTTP/1.1 200 OK\r\nSrv-", b"HTTP/1.1 2000 OK\r\n"];
    for (n, reply) in broken.into_iter().enumerate() {
        let id = format!("m{n}");
        assert_eq!(node.submit(&id, "order", 7, 20_000).status(), 202);
        let call = endpoint.next();
        assert_eq!(call.http.headers["req-id"], id);
        call.reply(Reply::Bytes(reply));
    }
    assert_eq!(platform.notice(204), [json!({"id": "m2", "status": "undeliverable"})]);
}

/// An unsafe message is sent again after each answer that proves that it never ran.
#[test]
fn a_rejected_call_is_repeated() {
    for reply in
        [status(503), status(504), Reply::Answer(429, vec![("retry-after", "0.05".into())], "".into())]
    {
        let (platform, endpoint) = (Platform::new(), TestServer::new());
        let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
        assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
        endpoint.next().reply(reply);
        let again = endpoint.next();
        assert_eq!(again.http.headers["req-id"], "a");
        again.reply(status(200));
        // 410 ends the message: no notice is owed.
        assert_eq!(node.submit("b", "order", 7, 20_000).status(), 202);
        endpoint.next().reply(status(410));
        assert_eq!(node.submit("c", "order", 7, 20_000).status(), 202);
        assert_eq!(endpoint.next().http.headers["req-id"], "c");
    }
}

/// Found in the full-fleet test, on its "zone" day: a connection that took a second to establish carried its
/// call into a wait that another endpoint of the destination had requested meanwhile.
#[test]
fn a_call_whose_connection_completes_within_a_requested_wait_is_not_written() {
    let (platform, other) = (Platform::new(), TestServer::new());
    let crowded = FullBacklogServer::new();
    let known = [listing("e1", 7, "plain", crowded.address), listing("e2", 7, "plain", other.address)];
    let node = Node::start(&platform, &known[..1], |config| {
        config["mgmt"] = json!("127.0.0.1:0");
        config["settings"]["limits"]["connect_timeout_us"] = json!(20_000_000);
        config["settings"]["classes"][1]["on_time_us"] = json!(20_000_000);
    });
    assert_eq!(node.submit("connecting", "order", 7, 24_000).status(), 202);
    let begun = std::time::Instant::now();
    platform.publish(&known);
    wait_until(|| node.call("GET", "/control/counters").json()["cluster_size"] == 2);
    let wait = std::time::Duration::from_millis(2500);
    assert_eq!(node.submit("limited", "order", 7, 24_000).status(), 202);
    let call = other.next();
    assert_eq!(call.http.headers["req-id"], "limited");
    let refused_at = std::time::Instant::now();
    assert!(
        refused_at - begun < std::time::Duration::from_millis(900),
        "before the connection can be established"
    );
    call.reply(Reply::Answer(429, vec![("retry-after", "2.5".into())], "".into()));
    let mut second = crowded.accept_pending();
    assert!(refused_at.elapsed() < wait, "it was established within the wait");
    second.set_read_timeout(Some(wait.saturating_sub(refused_at.elapsed()))).unwrap();
    let read = std::io::Read::read(&mut second, &mut [0; 64]);
    assert!(
        read.is_err() || matches!(read, Ok(0)) || refused_at.elapsed() >= wait,
        "{read:?} after {refused_at:?}"
    );
}

/// Guards against a second copy while the first may still be read: a timeout closes the connection.
#[test]
fn a_timeout_closes_the_connection() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    assert_eq!(node.submit("a", "order", 7, 1500).status(), 202);
    let call = endpoint.next();
    call.closed.recv_timeout(TIMEOUT).expect("the connection is closed");
    assert_eq!(platform.notice(204), [json!({"id": "a", "status": "undeliverable"})]);
}

/// Messages that wait for one endpoint are sent in one call; each has its own outcome.
#[test]
fn messages_waiting_for_one_endpoint_are_sent_as_a_batch() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[], |_| {});
    for id in ["a", "b", "c", "d", "e"] {
        let class = if id == "c" { "order" } else { "note" };
        assert_eq!(node.submit(id, class, 7, 20_000).status(), 202);
    }
    platform.publish(&[listing("e1", 7, "bulk", endpoint.address)]);
    let batch = endpoint.next();
    assert_eq!(batch.http.first_line, "POST /v1/messages:batch HTTP/1.1");
    assert_eq!(ids(&batch), ["a", "b", "c", "d", "e"]);
    let parts = batch.http.json();
    assert_eq!(parts[0]["key"], "key-a");
    assert_eq!(parts[2].get("key"), None);
    assert_eq!(STANDARD.decode(parts[2]["body"].as_str().unwrap()).unwrap(), b"body\0of c");
    let ends = [("a", "ok"), ("b", "later"), ("c", "error"), ("d", "gone")];
    let ends: Vec<_> = ends.iter().map(|(id, state)| json!({"id": id, "state": state})).collect();
    batch.reply(Reply::Answer(200, vec![], json!(ends).to_string()));
    assert_eq!(platform.notice(204), [json!({"id": "c", "status": "undeliverable"})]);
    // b was rejected and e is missing from the answer: both are sent again, together or separately.
    let mut again = BTreeSet::new();
    while again.len() < 2 {
        let call = endpoint.next();
        let single = call.http.headers.get("req-id").cloned();
        let ids = single.map_or_else(|| ids(&call), |id| vec![id]);
        let ends: Vec<_> = ids.iter().map(|id| json!({"id": id, "state": "ok"})).collect();
        call.reply(Reply::Answer(200, vec![], json!(ends).to_string()));
        again.extend(ids);
    }
    assert_eq!(again, BTreeSet::from(["b".to_owned(), "e".to_owned()]));
}

/// On SIGTERM the process answers its clients, delivers what it can, leaves nothing open and exits.
#[test]
fn a_terminated_process_answers_its_clients_and_completes_its_messages() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let mut node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let mut idle = Client::new(&node);
    assert_eq!(idle.request(&submission("a", "order", 7, 20_000)).status(), 202);
    let call = endpoint.next();
    let mut new = Client::new(&node);
    node.terminate();
    let ready = b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n";
    wait_until(|| node.request(ready).status() == 503);
    // Clients still use connections that were idle, that were new and unused, and that they open after the
    // signal.
    let mut late = Client::new(&node);
    for (client, id) in [(&mut idle, "b"), (&mut new, "c"), (&mut late, "d")] {
        assert_eq!(client.request(&submission(id, "note", 7, 20_000)).status(), 202, "{id}");
        let next = endpoint.next();
        assert_eq!(next.http.headers["req-id"], id);
        next.reply(status(200));
    }
    call.reply(status(200));
    // Connections are closed early enough that none is open at the end, even one in constant use.
    let mut used = 0;
    let closed = loop {
        let answer = idle.request(&submission(&format!("{used}"), "note", 7, 20_000));
        used += 1;
        endpoint.next().reply(status(200));
        if answer.headers.get("connection").is_some_and(|value| value == "close") {
            break idle.is_closed();
        }
        std::thread::sleep(std::time::Duration::from_millis(20));
    };
    assert!(closed && new.is_closed() && late.is_closed());
    assert_eq!(node.exit_code(), Some(0));
}

/// Operators take the sender out of service and back, without a restart and without a lost message.
#[test]
fn out_of_service_sends_clients_elsewhere_until_in_service() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["mgmt"] = json!("127.0.0.1:0");
    });
    let look = b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n";
    assert_eq!(node.call("GET", "/control/ready").status(), 200);
    let mut client = Client::new(&node);
    assert_eq!(client.request(&submission("a", "order", 7, 20_000)).status(), 202);
    let call = endpoint.next();
    assert_eq!(node.call("POST", "/control/out-of-service").status(), 200);
    assert_eq!(node.request(look).status(), 503);
    assert_eq!(node.call("GET", "/control/ready").status(), 503);
    // A client that still comes is served once, and accepted messages are still delivered.
    let last = client.request(&submission("b", "order", 7, 20_000));
    assert_eq!(last.status(), 202);
    assert_eq!(last.headers["connection"], "close");
    call.reply(status(200));
    endpoint.next().reply(status(200));
    assert_eq!(node.call("POST", "/control/in-service").status(), 200);
    assert_eq!(node.request(look).status(), 200);
    assert_eq!(node.call("GET", "/control/ready").status(), 200);
    assert_eq!(submit_two_on_one_connection(&node), [202, 202]);
}

/// The answers to two messages on one connection.
fn submit_two_on_one_connection(node: &Node) -> [u16; 2] {
    let mut client = Client::new(node);
    ["c", "d"].map(|id| client.request(&submission(id, "order", 7, 20_000)).status())
}

/// Takes out, and checks, what differs from one process to the next: the memory that it uses, and connections
/// of clients that it has not seen closed yet.
fn without_gauges_of_the_process(mut counters: serde_json::Value) -> serde_json::Value {
    let resident = counters["memory"]["resident"].take().as_u64().unwrap();
    assert!((1_000_000..192_000_000).contains(&resident), "{resident}");
    let connected = counters["clients"]["connected"].take().as_u64().unwrap();
    assert!(connected < 4, "{connected}");
    counters
}

/// Messages are counted by outcome, sends when they are written; the gauges show the current state.
#[test]
fn the_counters_show_outcomes_sends_and_gauges() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let known = [listing("e1", 7, "plain", endpoint.address), listing("e2", 8, "plain", endpoint.address)];
    let node = Node::start(&platform, &known, |config| config["mgmt"] = json!("127.0.0.1:0"));
    let counters = || node.call("GET", "/control/counters").json();
    let none = json!({"note": 0, "order": 0});
    assert_eq!(
        without_gauges_of_the_process(counters()),
        json!({"answered": none, "deferred": none, "errored": none, "sends": 0, "current": 0,
               "cluster_size": 2, "cluster_unhealthy": 0, "resident": 2, "forgotten": 0,
               "clients": {"connected": null, "invalid": 0, "late": 0, "no_memory": 0, "departed": 0,
                           "repeated": 0},
               "memory": {"limit": 192_000_000, "resident": null},
               "conf_loaded": 0, "conf_invalid": 0})
    );
    assert_eq!(node.submit("delivered", "note", 7, 20_000).status(), 202);
    let call = endpoint.next();
    assert_eq!(counters()["sends"], 1, "counted before its answer");
    call.reply(status(200));
    wait_until(|| counters()["answered"] == json!({"note": 1, "order": 0}));
    assert_eq!(node.submit("failed", "order", 7, 20_000).status(), 202);
    endpoint.next().reply(status(500));
    assert_eq!(platform.notice(204), [json!({"id": "failed", "status": "undeliverable"})]);
    assert_eq!(node.submit("deferred message", "order", 9, 500).status(), 202);
    assert_eq!(counters()["current"], 1);
    platform.notice(204);
    platform.publish(&known[..1]);
    node.reload(|config| config["settings"]["limits"]["try_limit"] = json!(0));
    wait_until(|| counters()["conf_invalid"] == 1 && counters()["cluster_size"] == 1);
    node.reload(|config| config["settings"]["limits"]["try_limit"] = json!(5));
    wait_until(|| counters()["conf_loaded"] == 1);
    assert_eq!(node.request(b"POST /order HTTP/1.1\r\n\r\n").status(), 400);
    assert_eq!(
        without_gauges_of_the_process(counters()),
        json!({"answered": {"note": 1, "order": 0}, "deferred": {"note": 0, "order": 1},
               "errored": {"note": 0, "order": 1}, "sends": 2, "current": 0, "cluster_size": 1,
               "cluster_unhealthy": 0, "resident": 1, "forgotten": 0,
               "clients": {"connected": null, "invalid": 1, "late": 0, "no_memory": 0, "departed": 0,
                           "repeated": 0},
               "memory": {"limit": 192_000_000, "resident": null},
               "conf_loaded": 1, "conf_invalid": 1})
    );
}

#[test]
fn unknown_operator_calls_are_rejected() {
    let platform = Platform::new();
    let node = Node::start(&platform, &[], |config| config["mgmt"] = json!("127.0.0.1:0"));
    assert_eq!(node.call("GET", "/control/nothing").status(), 404);
    assert_eq!(node.call("POST", "/control/ready").status(), 405);
    assert_eq!(node.call("GET", "/control/out-of-service").status(), 405);
    assert_eq!(node.call("GET", "/control/ready").status(), 200, "nothing was changed");
}

#[test]
fn malformed_requests_are_rejected_and_change_nothing() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let good = String::from_utf8(submission("a", "order", 7, 1000)).unwrap();
    for (from, to) in [
        ("Req-Id: a\r\n", ""),
        ("Req-Kind: order", "Req-Kind: none"),
        ("POST /order", "POST /note"),
        ("POST /order", "POST /order/5bc38e3bce0d6ba7"),
        ("POST /order", "POST /order?v=5bc38e3bce0d6ba7"),
        ("dest=7", "dest=x"),
        ("dest=7", "dest=4294967296"),
        ("dest=7", "dest=-1"),
        ("Req-Deadline-Ms: 1000", "Req-Deadline-Ms: soon"),
        ("Content-Length", "Idempotency-Key: \u{e6}\r\nContent-Length"),
    ] {
        assert!(good.contains(from));
        assert_eq!(node.request(good.replace(from, to).as_bytes()).status(), 400, "{to}");
    }
    let long = good.replace("Content-Length: 9", &format!("Content-Length: {}", (64 << 10) + 1));
    assert_eq!(node.request(&[long.as_bytes(), &vec![b'x'; 64 << 10]].concat()).status(), 400);
    assert_eq!(node.request(b"\x01\x02\x03\r\n\r\n").status(), 400);
    assert_eq!(node.submit("fine", "order", 7, 20_000).status(), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "fine");
}

/// Guards against request smuggling: with two lengths, what follows must not be read as a request.
#[test]
fn a_request_with_two_lengths_is_rejected_with_the_request_in_its_body() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let hidden = String::from_utf8(submission("hidden", "order", 7, 20_000)).unwrap();
    let coded = "Transfer-Encoding: chunked\r\n";
    let length = format!("Content-Length: {}\r\n", hidden.len() + 5);
    for lengths in [format!("{length}{coded}"), format!("{coded}{length}")] {
        let mut client = Client::new(&node);
        let outer = String::from_utf8(submission("cover", "order", 7, 20_000)).unwrap();
        let (head, _) = outer.split_once("Content-Length").unwrap();
        let answer = client.request(format!("{head}{lengths}\r\n0\r\n\r\n{hidden}").as_bytes());
        assert_eq!(answer.status(), 411);
        assert!(client.is_closed(), "what follows is not read");
    }
    assert_eq!(node.submit("fine", "order", 7, 20_000).status(), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "fine");
}

#[test]
fn an_invalid_configuration_ends_the_process_with_one_line() {
    let folder = tempfile::tempdir().unwrap();
    for text in [None, Some("{"), Some("{\"name\": 3}"), Some("[]")] {
        if let Some(text) = text {
            std::fs::write(folder.path().join("config.json"), text).unwrap();
        }
        let output = command(folder.path()).output().unwrap();
        assert!(!output.status.success());
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.starts_with("myrtleyard: "), "{error}");
    }
}

/// Guards the disk limit: messages that can't be stored are refused, and capacity returns as messages end.
#[test]
fn messages_beyond_the_disk_limit_are_refused() {
    let platform = Platform::new();
    let node = Node::start(&platform, &[], |config| config["limits"]["disk_mb"] = json!(0.02));
    let mut taken = 0;
    let refused = loop {
        let answer = node.submit(&format!("m{taken}"), "order", 7, 20_000);
        if answer.status() != 202 {
            break answer;
        }
        taken += 1;
        assert!(taken < 1000);
    };
    assert!(taken > 0);
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers["retry-after"], "1.000");
    assert!(node.journal_length() <= 20_000);
    let endpoint = TestServer::new();
    platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
    endpoint.next().reply(status(200));
    // The answer is on its way to the journal: there is capacity once it is recorded.
    wait_until(|| node.submit("again", "order", 7, 20_000).status() == 202);
}

/// Guards the promise of a 202: a message that the journal can't hold is neither accepted nor sent, and does
/// not corrupt the records that it can hold.
#[test]
fn a_message_that_the_journal_cannot_store_is_refused() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start_short_of_disk(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    let small = String::from_utf8(submission("big", "order", 7, 20_000)).unwrap();
    let (head, _) = small.split_once("Content-Length").unwrap();
    let big = format!("{head}Content-Length: 4000\r\n\r\n{}", "x".repeat(4000));
    let refused = node.request(big.as_bytes());
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers["retry-after"], "1.000");
    assert_eq!(node.submit("small", "order", 7, 20_000).status(), 202);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], "small");
    let node = node.kill_and_restart();
    assert_eq!(platform.notice(204), [json!({"id": "small", "status": "undeliverable"})]);
    drop((call, node));
    assert!(!endpoint.has_unread_request());
}

/// A new version takes over under load: nothing is lost, repeated, refused or reported twice, and events at
/// the old process still reach the new one.
#[test]
fn a_successor_takes_over_all_messages_of_the_old_process() {
    let (platform, seven, eight) = (Platform::new(), TestServer::new(), TestServer::new());
    let known = [listing("e1", 7, "plain", seven.address), listing("e2", 8, "plain", eight.address)];
    let mut old = Node::start_inheriting(&platform, &known);
    let mut client = Client::new(&old);
    assert_eq!(client.request(&submission("out", "order", 7, 20_000)).status(), 202);
    let out = seven.next();
    assert_eq!(
        client.request(&submission("held", "order", 9, 20_000)).status(),
        202,
        "no endpoint is listed yet"
    );
    assert_eq!(client.request(&submission("waits", "order", 8, 20_000)).status(), 202);
    let wait = vec![("retry-after", "1.5".to_owned())];
    let before = old.journal_length();
    eight.next().reply(Reply::Answer(429, wait, "".into()));
    // The journal grows once the answer has been read.
    wait_until(|| old.journal_length() > before);
    assert_eq!(client.request(&submission("held too", "order", 9, 20_000)).status(), 202);

    let new = old.start_successor();
    assert_eq!(new.call("GET", "/control/ready").status(), 200);
    assert_eq!(old.call("GET", "/control/ready").status(), 503);
    assert_eq!(new.call("GET", "/control/counters").json()["current"], 4);
    assert_eq!(old.call("GET", "/control/counters").json()["current"], 0);
    // A client with a connection to the old process gets one more answer there.
    let last = client.request(&submission("by the old", "order", 9, 20_000));
    assert_eq!((last.status(), last.headers["connection"].as_str()), (202, "close"));
    assert_eq!(new.submit("by the new", "order", 9, 20_000).status(), 202);
    assert_eq!(new.submit("held", "order", 9, 20_000).status(), 202, "known already");
    assert_eq!(new.call("GET", "/control/counters").json()["current"], 6);
    out.reply(status(200));
    wait_until(|| new.call("GET", "/control/counters").json()["answered"]["order"] == 1);
    old.terminate();
    assert_eq!(old.exit_code(), Some(0));

    let again = eight.next();
    assert_eq!(again.http.headers["req-id"], "waits");
    again.reply(status(200));
    let nine = TestServer::new();
    platform.publish(&[listing("e3", 9, "plain", nine.address)]);
    let mut called = BTreeSet::new();
    for _ in 0..4 {
        let call = nine.next();
        called.insert(call.http.headers["req-id"].clone());
        call.reply(status(200));
    }
    let expected = ["held", "held too", "by the old", "by the new"].map(str::to_owned);
    assert_eq!(called, BTreeSet::from(expected));
    wait_until(|| new.call("GET", "/control/counters").json()["answered"]["order"] == 6);
    assert!(!seven.has_unread_request() && !eight.has_unread_request() && !nine.has_unread_request());
    // It can be taken over from in its turn.
    let third = new.start_successor();
    assert_eq!(third.submit("by the third", "order", 9, 20_000).status(), 202);
    assert_eq!(nine.next().http.headers["req-id"], "by the third");
}

/// Guards the effect of a call that is lost with the old process: it may have run.
#[test]
fn calls_in_flight_at_a_killed_old_process_count_as_possibly_run() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let mut old = Node::start_inheriting(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    // Its deadline is long after this test's timeout.
    assert_eq!(old.submit("a", "order", 7, 90_000).status(), 202);
    let call = endpoint.next();
    let new = old.start_successor();
    old.kill();
    assert_eq!(platform.notice(204), [json!({"id": "a", "status": "undeliverable"})]);
    assert_eq!(new.submit("b", "order", 7, 20_000).status(), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "b");
    drop(call);
}
