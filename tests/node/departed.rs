//! Clients that leave, and messages that are handed in again afterwards.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use serde_json::{Value, json};

use super::world::*;

/// Time in which a call that should not be made would have been made.
const QUIET: Duration = Duration::from_millis(1500);

fn with_mgmt(config: &mut Value) {
    config["mgmt"] = json!("127.0.0.1:0");
}

/// Requests that are written at once, most of which are unread when the client leaves.
fn many_requests(count: usize) -> Vec<u8> {
    (0..count).flat_map(|number| submission(&format!("m{number}"), "order", 7, 20_000)).collect()
}

/// Guards against requests that are read, and sent on, after their client has closed its connection.
#[test]
fn unread_requests_of_a_client_that_closed_are_not_sent_on() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["settings"]["period_us"] = json!(100_000);
    });
    // A turn begins with this message; what the other client wrote is read within the period after it.
    assert_eq!(node.submit("first", "order", 7, 20_000).status(), 202);
    Client::new(&node).send_and_close(&many_requests(20));
    endpoint.next().reply(status(200));
    let mut sent_on = 0;
    while let Some(call) = endpoint.try_next(QUIET) {
        sent_on += 1;
        call.reply(status(200));
    }
    assert!(sent_on <= 1, "{sent_on} requests were sent on, one may have been read before the close");
}

/// Guards against the same with answers that the client left unread, which resets the connection.
#[test]
fn unread_requests_of_a_client_that_reset_are_not_sent_on() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["settings"]["period_us"] = json!(100_000);
    });
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.write_all(&submission("read", "order", 7, 20_000)).unwrap();
    assert_eq!(endpoint.next().http.headers["req-id"], "read");
    stream.write_all(&many_requests(20)).unwrap();
    // The answer to the first request is in the client's buffer: the close resets the connection.
    drop(stream);
    let mut sent_on = 0;
    while let Some(call) = endpoint.try_next(QUIET) {
        sent_on += 1;
        call.reply(status(200));
    }
    assert!(sent_on <= 1, "{sent_on} requests were sent on, one may have been read before the reset");
}

/// Guards against a second run of a delivered message whose id is handed in again, by a client that left
/// before its answer, also at the process of a restart or an upgrade.
#[test]
fn an_id_that_comes_again_after_its_delivery_does_not_run_twice() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let old = Node::start_inheriting(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    for (id, class) in [("once", "order"), ("keyed", "note")] {
        Client::new(&old)
            .send_and_wait_to_leave(&submission(id, class, 7, 20_000), || endpoint.next().reply(status(200)));
        wait_until(|| old.call("GET", "/control/counters").json()["answered"][class] == 1);
    }
    let handed_in_again = |node: &Node| {
        for (id, class) in [("once", "order"), ("keyed", "note")] {
            assert_eq!(node.submit(id, class, 7, 20_000).status(), 202, "{id} was delivered");
            assert!(endpoint.try_next(QUIET).is_none(), "{id} runs twice");
        }
    };
    handed_in_again(&old);
    let new = old.start_successor();
    handed_in_again(&new);
    let mut old = old;
    old.terminate();
    assert_eq!(old.exit_code(), Some(0));
    handed_in_again(&new);
}

/// Guards against the same after a kill.
#[test]
fn an_id_that_comes_again_after_a_kill_does_not_run_twice() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], with_mgmt);
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
    endpoint.next().reply(status(200));
    wait_until(|| node.call("GET", "/control/counters").json()["answered"]["order"] == 1);
    let node = node.kill_and_restart();
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
    assert!(endpoint.try_next(QUIET).is_none(), "it runs twice");
}

/// Guards against a second run of a message that may have run, whose client is told to have failed.
#[test]
fn an_id_that_comes_again_after_it_failed_is_answered_as_failed() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], with_mgmt);
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
    endpoint.next().reply(status(500));
    assert_eq!(platform.notice(204), [json!({"id": "a", "status": "undeliverable"})]);
    wait_until(|| node.call("GET", "/control/counters").json()["current"] == 0);
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 500);
    assert!(endpoint.try_next(QUIET).is_none(), "it runs twice");
    // What surely never ran may come again.
    assert_eq!(node.submit("b", "order", 8, 300).status(), 202);
    assert_eq!(platform.notice(204), [json!({"id": "b", "status": "deferred"})]);
    wait_until(|| node.call("GET", "/control/counters").json()["current"] == 0);
    assert_eq!(node.submit("b", "order", 7, 20_000).status(), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "b");
}

/// Guards against a request that is handed in to the old process of an upgrade, and again, after its client
/// left, to the new one.
#[test]
fn an_id_that_comes_to_both_processes_of_an_upgrade_does_not_run_twice() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let old = Node::start_inheriting(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    let mut stream = TcpStream::connect(old.address).unwrap();
    stream.write_all(&submission("kept", "order", 9, 20_000)).unwrap();
    wait_until(|| old.call("GET", "/control/counters").json()["current"] == 1);
    let new = old.start_successor();
    stream.write_all(&submission("a", "order", 7, 20_000)).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    drop(stream);
    let mut runs = 0;
    for _ in 0..3 {
        assert_eq!(new.submit("a", "order", 7, 20_000).status(), 202);
        while let Some(call) = endpoint.try_next(Duration::from_millis(300)) {
            runs += 1;
            call.reply(status(200));
        }
    }
    assert_eq!(runs, 1);
}
