//! Handover between two processes of one sender.

use std::io::{Read, Write};
use std::os::unix::net::UnixStream;

use serde_json::json;

use super::world::*;

fn platform_and_endpoint() -> (Platform, TestServer) {
    (Platform::new(), TestServer::new())
}

/// A connection to this process, kept alive, over which one message was submitted that has no listed
/// endpoint.
fn client_with_held_message(node: &Node, id: &str) -> Client {
    let mut client = Client::new(node);
    assert_eq!(client.request(&submission(id, "order", 9, 20_000)).status(), 202);
    client
}

/// The new process has other settings: they apply to messages that clients still submit to the old one, by
/// class name.
#[test]
fn messages_submitted_to_the_old_process_follow_the_new_ones_settings() {
    let (platform, endpoint) = platform_and_endpoint();
    let old = Node::start_inheriting(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    let (mut removed, mut remaining) =
        (client_with_held_message(&old, "before a"), client_with_held_message(&old, "before b"));
    old.rewrite_config(|config| {
        let classes = config["settings"]["classes"].as_array_mut().unwrap();
        classes.remove(0);
        classes[0]["effect"] = json!("repeatable");
    });
    let _new = old.start_successor();
    assert_eq!(removed.request(&submission("a", "note", 7, 20_000)).status(), 503);
    assert_eq!(remaining.request(&submission("b", "order", 7, 20_000)).status(), 202);
    endpoint.next().reply(status(500));
    let again = endpoint.next();
    assert_eq!(again.http.headers["req-id"], "b");
    again.reply(status(200));
}

/// Two SIGTERMs reach the old process while a client's connection is open there and a call is in flight: a
/// message over that connection and the call's outcome still count, and the process exits.
#[test]
fn a_terminated_old_process_completes_its_connections_and_calls() {
    let (platform, endpoint) = platform_and_endpoint();
    let mut old = Node::start_inheriting(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(old.submit("out", "order", 7, 20_000).status(), 202);
    let out = endpoint.next();
    let mut client = client_with_held_message(&old, "before");
    let new = old.start_successor();
    old.terminate();
    old.terminate();
    assert_eq!(client.request(&submission("late", "order", 9, 20_000)).status(), 202);
    out.reply(status(200));
    wait_until(|| new.call("GET", "/control/counters").json()["answered"]["order"] == 1);
    assert_eq!(old.exit_code(), Some(0));
    assert_eq!(new.call("GET", "/control/counters").json()["current"], 2);
}

/// After a handover SIGHUP has no effect at the old process; the new one reloads the file.
#[test]
fn a_reload_after_a_handover_is_up_to_the_new_process() {
    let (platform, endpoint) = platform_and_endpoint();
    let old = Node::start_inheriting(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    let new = old.start_successor();
    old.reload(|config| config["settings"]["classes"][1]["effect"] = json!("repeatable"));
    new.reload_and_wait(|_| {});
    assert_eq!(new.submit("late", "order", 7, 20_000).status(), 202);
    endpoint.next().reply(status(500));
    let again = endpoint.next();
    assert_eq!(again.http.headers["req-id"], "late", "its class is repeatable in the new file");
    again.reply(status(200));
}

/// A successor that asks for the state folder and dies changes nothing: the old process goes on, and can
/// still hand over.
#[test]
fn a_successor_that_dies_before_it_reads_the_state_changes_nothing() {
    let (platform, endpoint) = platform_and_endpoint();
    let old = Node::start_inheriting(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(old.submit("held", "order", 9, 20_000).status(), 202);
    for _ in 0..2 {
        // The socket listens again once the previous successor has been found dead.
        let mut successor = loop {
            if let Ok(stream) = UnixStream::connect(old.state_folder().join("successor")) {
                break stream;
            }
            std::thread::yield_now();
        };
        if successor.write_all(b"take over\n").is_err() {
            continue;
        }
        let _ = successor.shutdown(std::net::Shutdown::Both);
        drop(successor);
    }
    assert_eq!(old.submit("a", "order", 7, 20_000).status(), 202);
    endpoint.next().reply(status(200));
    let new = old.start_successor();
    assert_eq!(
        old.call("GET", "/control/ready").status(),
        503,
        "the old process still runs and has handed over"
    );
    wait_until(|| new.call("GET", "/control/counters").json()["current"] == 1);
    assert_eq!(new.submit("b", "order", 7, 20_000).status(), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "b");
}

/// A successor that dies after it has read a part of the state changes nothing either.
#[test]
fn a_successor_that_dies_while_reading_the_state_changes_nothing() {
    let (platform, endpoint) = platform_and_endpoint();
    let old = Node::start_inheriting(&platform, &[]);
    // More than a socket's buffer holds, so that the state can't be written at once.
    let pad = |n| listing(&format!("{n}-{}", "x".repeat(90)), 9, "plain", endpoint.address);
    platform.publish(&(0..3_000).map(pad).collect::<Vec<_>>());
    wait_until(|| old.call("GET", "/control/counters").json()["cluster_size"] == 3_000);
    let mut successor = UnixStream::connect(old.state_folder().join("successor")).unwrap();
    successor.write_all(b"take over\n").unwrap();
    let mut part = [0; 4];
    successor.read_exact(&mut part).unwrap();
    assert!(u32::from_le_bytes(part) > 1 << 19, "the state is larger than a socket's buffer");
    drop(successor);
    platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(old.submit("a", "order", 7, 20_000).status(), 202);
    endpoint.next().reply(status(200));
    let new = old.start_successor();
    assert_eq!(new.submit("b", "order", 7, 20_000).status(), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "b");
}

/// A connection that the old process still waits for is abandoned at the handover, since a wait requested at
/// the new process could not stop the old one from using it. The call is made once, by the new process.
#[test]
fn a_connection_established_after_the_handover_is_not_used_by_the_old_process() {
    let (platform, crowded) = (Platform::new(), FullBacklogServer::new());
    let known = [listing("e1", 7, "plain", crowded.address)];
    let mut old = Node::start_inheriting_with(&platform, &known, |config| {
        config["mgmt"] = json!("127.0.0.1:0");
        config["settings"]["limits"]["connect_timeout_us"] = json!(20_000_000);
        config["settings"]["classes"][1]["on_time_us"] = json!(24_000_000);
    });
    assert_eq!(old.submit("a", "order", 7, 24_000).status(), 202);
    let sends = |node: &Node| node.call("GET", "/control/counters").json()["sends"].clone();
    let new = old.start_successor();
    old.terminate();
    assert_eq!(old.exit_code(), Some(0), "nothing is in flight there");
    let stream = crowded.accept_pending();
    let mut input = std::io::BufReader::new(stream.try_clone().unwrap());
    let call = Http::read(&mut input).expect("the call arrives");
    assert_eq!(call.headers["req-id"], "a");
    (&stream).write_all(b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r\n").unwrap();
    wait_until(|| new.call("GET", "/control/counters").json()["answered"]["order"] == 1);
    assert_eq!(sends(&new), 1);
}
