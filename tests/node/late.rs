//! Connections to endpoints that are established late: a call that waits for one follows what happens to its
//! messages.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::{Value, json};

use super::world::*;

/// Long timeouts, so that only the messages' deadlines and the connection decide.
fn with_long_timeouts(config: &mut Value) {
    config["mgmt"] = json!("127.0.0.1:0");
    config["settings"]["limits"]["connect_timeout_us"] = json!(20_000_000);
    for class in [0, 1] {
        config["settings"]["classes"][class]["on_time_us"] = json!(20_000_000);
    }
}

fn answer_ok(stream: TcpStream) -> Http {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut input = BufReader::new(stream);
    let http = Http::read(&mut input).expect("a call arrives");
    input.get_mut().write_all(b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r\n").unwrap();
    http
}

/// Found in the standing test, on its "join" day: a batch call waited for its connection until the latest of
/// its messages' deadlines, and was then written with a message whose outcome the platform had
/// already been notified of.
#[test]
fn a_message_that_ends_while_its_call_waits_for_a_connection_is_left_out_of_the_call() {
    let (platform, crowded) = (Platform::new(), FullBacklogServer::new());
    let node = Node::start(&platform, &[], with_long_timeouts);
    for (id, within_ms) in [("short", 900), ("long", 20_000), ("short too", 900)] {
        assert_eq!(node.submit(id, "order", 7, within_ms).status(), 202);
    }
    platform.publish(&[listing("e1", 7, "bulk", crowded.address)]);
    let mut notices = platform.notice(204);
    while notices.len() < 2 {
        notices.extend(platform.notice(204));
    }
    let deferred = |id| json!({"id": id, "status": "deferred"});
    assert_eq!(notices, [deferred("short"), deferred("short too")], "they can't have run");
    let call = answer_ok(crowded.accept_pending());
    assert_eq!(call.first_line, "POST /v1/messages HTTP/1.1", "one message is left");
    assert_eq!(call.headers["req-id"], "long");
    wait_until(|| node.call("GET", "/control/counters").json()["answered"]["order"] == 1);
}

/// Guards drains: an endpoint that is leaving gets no call that was planned before it was listed as leaving.
#[test]
fn a_call_that_waits_for_a_connection_to_a_leaving_endpoint_goes_to_another() {
    for status in ["leaving", "left"] {
        let (platform, crowded, other) = (Platform::new(), FullBacklogServer::new(), TestServer::new());
        let mut known =
            [listing("e1", 7, "plain", crowded.address), listing("e2", 7, "plain", other.address)];
        let node = Node::start(&platform, &known[..1], with_long_timeouts);
        assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
        known[0]["status"] = json!(status);
        let begun = std::time::Instant::now();
        platform.publish(&known[usize::from(status == "left")..]);
        let call = other.next();
        assert_eq!(call.http.headers["req-id"], "a");
        assert!(begun.elapsed() < Duration::from_secs(2), "{status}: after {:?}", begun.elapsed());
        call.reply(super::world::status(200));
    }
}

/// A process that has handed over begins no call: a call that waits for a connection is the new process's to
/// decide on.
#[test]
fn a_call_that_waits_for_a_connection_is_handed_over_as_never_run() {
    let (platform, crowded, other) = (Platform::new(), FullBacklogServer::new(), TestServer::new());
    let mut old = Node::start_inheriting_with(
        &platform,
        &[listing("e1", 7, "plain", crowded.address)],
        with_long_timeouts,
    );
    assert_eq!(old.submit("a", "order", 7, 20_000).status(), 202);
    let new = old.start_successor();
    platform.publish(&[listing("e2", 7, "plain", other.address)]);
    let call = other.next();
    assert_eq!(call.http.headers["req-id"], "a");
    call.reply(status(200));
    wait_until(|| new.call("GET", "/control/counters").json()["answered"]["order"] == 1);
    old.terminate();
    assert_eq!(old.exit_code(), Some(0));
}
