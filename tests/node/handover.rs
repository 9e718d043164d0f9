//! What crosses a handover between two processes of one sender.

use std::io::{Read, Write};
use std::os::unix::net::UnixStream;

use serde_json::json;

use super::world::*;

fn platform_and_endpoint() -> (Platform, Served) {
    (Platform::new(), Served::new())
}

/// A connection to this process that has handed in one message, which goes nowhere yet, and is kept.
fn kept(node: &Node, id: &str) -> Client {
    let mut client = Client::new(node);
    assert_eq!(client.ask(&handing_in(id, "order", 9, 20_000)).status(), 202);
    client
}

/// The new process has other settings: what the old one's clients still bring goes by those, by name.
#[test]
fn what_comes_by_the_old_process_goes_by_the_new_ones_settings() {
    let (platform, endpoint) = platform_and_endpoint();
    let old = Node::start_inheriting(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    let (mut gone, mut stays) = (kept(&old, "before a"), kept(&old, "before b"));
    old.rewrite(|config| {
        let classes = config["settings"]["classes"].as_array_mut().unwrap();
        classes.remove(0);
        classes[0]["effect"] = json!("repeatable");
    });
    let _new = old.succeeded();
    assert_eq!(gone.ask(&handing_in("a", "note", 7, 20_000)).status(), 503);
    assert_eq!(stays.ask(&handing_in("b", "order", 7, 20_000)).status(), 202);
    endpoint.next().reply(status(500));
    let again = endpoint.next();
    assert_eq!(again.http.headers["req-id"], "b");
    again.reply(status(200));
}

/// SIGTERM, once and again, reaches the old process while a client's connection is open there and a call is out: what
/// comes over the one and the end of the other count, and it goes.
#[test]
fn an_old_process_that_is_asked_to_end_ends_what_it_has() {
    let (platform, endpoint) = platform_and_endpoint();
    let mut old = Node::start_inheriting(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(old.hand_in("out", "order", 7, 20_000).status(), 202);
    let out = endpoint.next();
    let mut client = kept(&old, "before");
    let new = old.succeeded();
    old.terminate();
    old.terminate();
    assert_eq!(client.ask(&handing_in("late", "order", 9, 20_000)).status(), 202);
    out.reply(status(200));
    wait_until(|| new.call("GET", "/control/counters").json()["answered"]["order"] == 1);
    assert_eq!(old.exit_code(), Some(0));
    assert_eq!(new.call("GET", "/control/counters").json()["current"], 2);
}

/// SIGHUP at the old process is no matter of its any more; the new one takes the file.
#[test]
fn a_reload_amid_a_handover_is_the_new_process_s() {
    let (platform, endpoint) = platform_and_endpoint();
    let old = Node::start_inheriting(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    let new = old.succeeded();
    old.reload(|config| config["settings"]["classes"][1]["effect"] = json!("repeatable"));
    new.reload_and_wait(|_| {});
    assert_eq!(new.hand_in("late", "order", 7, 20_000).status(), 202);
    endpoint.next().reply(status(500));
    let again = endpoint.next();
    assert_eq!(again.http.headers["req-id"], "late", "as the new file has it");
    again.reply(status(200));
}

/// A new process that asks for the folder and dies costs nothing: the old one goes on, and can still be followed.
#[test]
fn a_successor_that_dies_before_it_is_told_changes_nothing() {
    let (platform, endpoint) = platform_and_endpoint();
    let old = Node::start_inheriting(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(old.hand_in("held", "order", 9, 20_000).status(), 202);
    for _ in 0..2 {
        // Who asks next finds a listener again once the one before has been found dead.
        let mut asks = loop {
            if let Ok(asks) = UnixStream::connect(old.state().join("successor")) {
                break asks;
            }
            std::thread::yield_now();
        };
        if asks.write_all(b"take over\n").is_err() {
            continue;
        }
        let _ = asks.shutdown(std::net::Shutdown::Both);
        drop(asks);
    }
    assert_eq!(old.hand_in("a", "order", 7, 20_000).status(), 202);
    endpoint.next().reply(status(200));
    let new = old.succeeded();
    assert_eq!(
        old.call("GET", "/control/ready").status(),
        503,
        "the old one is there still, and handed over"
    );
    wait_until(|| new.call("GET", "/control/counters").json()["current"] == 1);
    assert_eq!(new.hand_in("b", "order", 7, 20_000).status(), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "b");
}

/// Nor does one that reads a part of what it is told.
#[test]
fn a_successor_that_dies_amid_what_it_is_told_changes_nothing() {
    let (platform, endpoint) = platform_and_endpoint();
    let old = Node::start_inheriting(&platform, &[]);
    // More than a socket holds, so that it can't all be written at once.
    let pad = |n| listing(&format!("{n}-{}", "x".repeat(90)), 9, "plain", endpoint.address);
    platform.tell(&(0..3_000).map(pad).collect::<Vec<_>>());
    wait_until(|| old.call("GET", "/control/counters").json()["cluster_size"] == 3_000);
    let mut asks = UnixStream::connect(old.state().join("successor")).unwrap();
    asks.write_all(b"take over\n").unwrap();
    let mut part = [0; 4];
    asks.read_exact(&mut part).unwrap();
    assert!(u32::from_le_bytes(part) > 1 << 19, "it is told more than a socket holds");
    drop(asks);
    platform.tell(&[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(old.hand_in("a", "order", 7, 20_000).status(), 202);
    endpoint.next().reply(status(200));
    let new = old.succeeded();
    assert_eq!(new.hand_in("b", "order", 7, 20_000).status(), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "b");
}

/// A connection that the old process still waits for is given up at the handover: what the new one hears of waits could
/// not keep it from being used. The call is made once, by the new process.
#[test]
fn a_connection_that_comes_up_after_the_handover_is_not_used_by_the_old_process() {
    let (platform, crowded) = (Platform::new(), Crowded::new());
    let known = [listing("e1", 7, "plain", crowded.address)];
    let mut old = Node::start_inheriting_with(&platform, &known, |config| {
        config["mgmt"] = json!("127.0.0.1:0");
        config["settings"]["limits"]["connect_timeout_us"] = json!(20_000_000);
        config["settings"]["classes"][1]["on_time_us"] = json!(24_000_000);
    });
    assert_eq!(old.hand_in("a", "order", 7, 24_000).status(), 202);
    let sends = |node: &Node| node.call("GET", "/control/counters").json()["sends"].clone();
    let new = old.succeeded();
    old.terminate();
    assert_eq!(old.exit_code(), Some(0), "nothing is under way there");
    let stream = crowded.let_in();
    let mut input = std::io::BufReader::new(stream.try_clone().unwrap());
    let call = Http::read(&mut input).expect("the call comes");
    assert_eq!(call.headers["req-id"], "a");
    (&stream).write_all(b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r\n").unwrap();
    wait_until(|| new.call("GET", "/control/counters").json()["answered"]["order"] == 1);
    assert_eq!(sends(&new), 1);
}
