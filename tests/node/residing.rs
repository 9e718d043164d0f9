//! Lists with more destinations than the policy holds: which destinations are resident in its working set,
//! and that no binding state is lost while one is evicted.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::world::*;

/// More destinations than the working set holds.
pub const MANY: u32 = 3000;
/// One endpoint for each destination, all at this address, except for the destinations of `other`, which are
/// listed so.
pub fn long_list(address: std::net::SocketAddr, other: &[Value]) -> Vec<Value> {
    let elsewhere: BTreeSet<u64> = other.iter().map(|entry| entry["group"].as_u64().unwrap()).collect();
    let rest = (1..=MANY).filter(|group| !elsewhere.contains(&u64::from(*group)));
    let rest = rest.map(|group| listing(&format!("e{group}"), group as u16, "plain", address));
    rest.chain(other.iter().cloned()).collect()
}

pub fn with_mgmt(config: &mut Value) {
    config["mgmt"] = json!("127.0.0.1:0");
}

pub fn counters(node: &Node) -> Value {
    node.call("GET", "/control/counters").json()
}

fn resident(node: &Node) -> u64 {
    counters(node)["resident"].as_u64().unwrap()
}

/// Publishes this list by discovery, since a configuration can't hold it, and waits until the sender has
/// applied it.
pub fn with_published_list(node: Node, platform: &Platform, list: &[Value]) -> Node {
    platform.publish(list);
    wait_until(|| counters(&node)["cluster_size"] == list.len());
    node
}

pub fn start(platform: &Platform, list: &[Value]) -> Node {
    with_published_list(Node::start(platform, &[], with_mgmt), platform, list)
}

/// Waits until no destination is resident. Watches that end without updates keep the event loop turning.
pub fn wait_until_all_evicted(node: &Node) {
    wait_until(|| {
        std::thread::sleep(Duration::from_millis(50));
        resident(node) == 0
    });
}

/// Submits a message for a destination and answers its call, which must arrive at this endpoint.
pub fn submit_and_answer(
    node: &Node,
    endpoint: &TestServer,
    id: &str,
    class: &str,
    group: u16,
    reply: Reply,
) {
    assert_eq!(node.submit(id, class, group, 20_000).status(), 202);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], id);
    call.reply(reply);
}

/// Destinations are loaded by their messages and evicted when idle, and each message goes to an endpoint of
/// its own destination.
#[test]
fn destinations_of_a_long_list_are_loaded_by_messages_and_evicted_when_idle() {
    let (platform, rest, seven) = (Platform::new(), TestServer::new(), TestServer::new());
    let known = long_list(rest.address, &[listing("e7", 7, "plain", seven.address)]);
    let node = start(&platform, &known);
    for (n, group) in (100..140).enumerate() {
        submit_and_answer(&node, &rest, &format!("m{n}"), "order", group, status(200));
    }
    submit_and_answer(&node, &seven, "seven", "order", 7, status(200));
    wait_until(|| counters(&node)["answered"]["order"] == 41);
    let counted = counters(&node);
    assert_eq!((&counted["cluster_size"], &counted["resident"]), (&json!(MANY), &json!(41)));
    wait_until_all_evicted(&node);
    submit_and_answer(&node, &seven, "again", "order", 7, status(200));
    assert!(!rest.has_unread_request() && !seven.has_unread_request());
}

/// A message that waits for its destination to be listed is delivered when a list arrives, however long that
/// list is.
#[test]
fn a_message_held_before_a_long_list_is_delivered_when_it_arrives() {
    let (platform, rest) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[], with_mgmt);
    assert_eq!(node.submit("early", "order", 2500, 20_000).status(), 202);
    let node = with_published_list(node, &platform, &long_list(rest.address, &[]));
    let call = rest.next();
    assert_eq!(call.http.headers["req-id"], "early");
    call.reply(status(200));
    assert_eq!(node.submit("unlisted", "order", 4000, 20_000).status(), 202);
    platform.publish_changes(&[listing("late", 4000, "plain", rest.address)]);
    assert_eq!(rest.next().http.headers["req-id"], "unlisted");
}

/// A requested wait still holds when its destination is evicted and loaded again within it.
#[test]
fn a_requested_wait_survives_eviction() {
    let (platform, rest, seven) = (Platform::new(), TestServer::new(), TestServer::new());
    let known = long_list(rest.address, &[listing("e7", 7, "plain", seven.address)]);
    let node = start(&platform, &known);
    let begun = Instant::now();
    let retry_later = Reply::Answer(503, vec![("retry-after", "25".into())], String::new());
    assert_eq!(node.submit("refused", "order", 7, 5_000).status(), 202);
    seven.next().reply(retry_later);
    assert_eq!(platform.notice(204).len(), 1, "its deadline passes within the wait");
    wait_until_all_evicted(&node);
    assert!(begun.elapsed() < Duration::from_secs(24), "the wait is not over");
    assert_eq!(node.submit("after", "order", 7, 20_000).status(), 202);
    let call = seven.next();
    assert!(begun.elapsed() >= Duration::from_secs(25), "called after {:?}", begun.elapsed());
    call.reply(status(200));
}

/// A breaker that is open when its destination is evicted allows one trial when the destination is loaded
/// again.
#[test]
fn an_open_breaker_survives_eviction() {
    let (platform, rest, seven) = (Platform::new(), TestServer::new(), TestServer::new());
    let known = long_list(rest.address, &[listing("e7", 7, "plain", seven.address)]);
    let node = start(&platform, &known);
    for n in 0..5 {
        submit_and_answer(&node, &seven, &format!("f{n}"), "order", 7, status(500));
        assert_eq!(platform.notice(204).len(), 1);
    }
    assert_eq!(counters(&node)["cluster_unhealthy"], 1);
    wait_until_all_evicted(&node);
    for id in ["a", "b", "c"] {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
    }
    let trial = seven.next();
    assert!(seven.try_next(Duration::from_millis(500)).is_none(), "one trial");
    trial.reply(status(200));
    for _ in 0..2 {
        seven.next().reply(status(200));
    }
}

/// Endpoints that a snapshot removes are not called any more, and those that it moves are called at their new
/// address.
#[test]
fn a_snapshot_applies_to_resident_destinations_at_once() {
    let (platform, rest, old, new) =
        (Platform::new(), TestServer::new(), TestServer::new(), TestServer::new());
    let seven = |address| listing("e7", 7, "plain", address);
    let eight = |group| listing("e8", group, "plain", old.address);
    let node = start(&platform, &long_list(rest.address, &[seven(old.address), eight(8)]));
    submit_and_answer(&node, &old, "a", "order", 7, status(200));
    submit_and_answer(&node, &old, "b", "order", 8, status(200));
    // The endpoint of destination 7 has another address; that of 8 now belongs to 9.
    let mut next = long_list(rest.address, &[seven(new.address), eight(9)]);
    next.retain(|entry| entry["group"] != 8);
    platform.publish(&next);
    wait_until(|| counters(&node)["cluster_size"] == json!(MANY - 1));
    assert_eq!(node.submit("waits", "order", 8, 20_000).status(), 202);
    submit_and_answer(&node, &new, "c", "order", 7, status(200));
    submit_and_answer(&node, &old, "d", "order", 9, status(200));
    // Destination 8 has an endpoint again, under another name.
    platform.publish(&long_list(
        rest.address,
        &[seven(new.address), eight(9), listing("f8", 8, "plain", new.address)],
    ));
    let call = new.next();
    assert_eq!(call.http.headers["req-id"], "waits");
    call.reply(status(200));
    assert!(!old.has_unread_request());
}

/// Changes reach resident destinations and the table: a destination that was not resident is loaded as
/// changed.
#[test]
fn changes_of_a_long_list_apply_to_resident_and_later_loaded_destinations() {
    let (platform, rest, old, new) =
        (Platform::new(), TestServer::new(), TestServer::new(), TestServer::new());
    let at = |name: &str, group, address| listing(name, group, "plain", address);
    let known = long_list(rest.address, &[at("e7", 7, old.address), at("e8", 8, old.address)]);
    let node = start(&platform, &known);
    submit_and_answer(&node, &old, "a", "order", 7, status(200));
    let mut away = at("e9", 9, rest.address);
    away["status"] = json!("left");
    platform.publish_changes(&[
        at("e7", 7, new.address),
        at("e8", 8, new.address),
        away,
        at("g", 4000, new.address),
        at("h", 4002, rest.address),
    ]);
    wait_until(|| counters(&node)["cluster_size"] == json!(MANY + 1));
    for (id, group) in [("b", 7), ("c", 8), ("d", 4000)] {
        submit_and_answer(&node, &new, id, "order", group, status(200));
    }
    assert_eq!(node.submit("nowhere", "order", 9, 1_000).status(), 202);
    assert_eq!(platform.notice(204).len(), 1);
    // An endpoint moves from a resident destination to one that is not resident, and back.
    platform.publish_changes(&[at("e7", 4001, old.address), at("i", 4003, rest.address)]);
    wait_until(|| counters(&node)["cluster_size"] == json!(MANY + 2));
    assert_eq!(node.submit("waits", "order", 7, 20_000).status(), 202);
    submit_and_answer(&node, &old, "e", "order", 4001, status(200));
    assert!(!new.has_unread_request(), "its endpoint belongs to another destination");
    platform.publish_changes(&[at("e7", 7, new.address)]);
    let call = new.next();
    assert_eq!(call.http.headers["req-id"], "waits");
    call.reply(status(200));
    assert!(!old.has_unread_request() && !rest.has_unread_request());
}

/// A list grows beyond the working set's capacity and shrinks again.
#[test]
fn a_list_grows_beyond_the_working_set_and_shrinks() {
    let (platform, rest, seven) = (Platform::new(), TestServer::new(), TestServer::new());
    let few = [listing("e7", 7, "plain", seven.address)];
    let node = Node::start(&platform, &few, with_mgmt);
    submit_and_answer(&node, &seven, "a", "order", 7, status(200));
    platform.publish_changes(&long_list(rest.address, &few));
    wait_until(|| counters(&node)["cluster_size"] == json!(MANY));
    submit_and_answer(&node, &seven, "b", "order", 7, status(200));
    wait_until_all_evicted(&node);
    submit_and_answer(&node, &rest, "c", "order", 2999, status(200));
    platform.publish(&few);
    wait_until(|| counters(&node)["cluster_size"] == json!(1));
    assert_eq!(resident(&node), 1);
    submit_and_answer(&node, &seven, "d", "order", 7, status(200));
    assert_eq!(node.submit("nowhere", "order", 2999, 1_000).status(), 202);
    assert_eq!(platform.notice(204).len(), 1);
    assert!(!rest.has_unread_request());
}

/// Handover with a long list: the new process has no table yet, holds messages for destinations that are not
/// resident, and delivers them once the list has arrived.
#[test]
fn a_handover_with_a_long_list_loses_no_message() {
    let (platform, rest, seven) = (Platform::new(), TestServer::new(), TestServer::new());
    let known = long_list(rest.address, &[listing("e7", 7, "plain", seven.address)]);
    let old = with_published_list(Node::start_inheriting(&platform, &[]), &platform, &known);
    submit_and_answer(&old, &seven, "a", "order", 7, status(200));
    assert_eq!(old.submit("out", "order", 7, 20_000).status(), 202);
    let out = seven.next();
    let new = old.start_successor();
    assert_eq!(new.submit("b", "order", 8, 20_000).status(), 202);
    let call = rest.next();
    assert_eq!(call.http.headers["req-id"], "b");
    call.reply(status(200));
    out.reply(status(200));
    wait_until(|| counters(&new)["answered"]["order"] == 2);
    assert_eq!(counters(&new)["cluster_size"], json!(MANY));
    submit_and_answer(&new, &seven, "c", "order", 7, status(200));
}

/// SIGHUP and SIGTERM with a long list: new settings apply to destinations loaded later, and held messages
/// end.
#[test]
fn reload_and_termination_work_with_a_long_list() {
    let (platform, rest, seven) = (Platform::new(), TestServer::new(), TestServer::new());
    let known = long_list(rest.address, &[listing("e7", 7, "plain", seven.address)]);
    let mut node = start(&platform, &known);
    submit_and_answer(&node, &seven, "a", "note", 7, status(200));
    node.reload_and_wait(|config| {
        config["settings"]["skus"] = json!(["plain", "bulk"]);
        config["settings"]["family_info"]["bundle_max"] = json!([1, 5]);
    });
    submit_and_answer(&node, &rest, "b", "note", 8, status(200));
    submit_and_answer(&node, &seven, "c", "note", 7, status(200));
    assert_eq!(node.submit("d", "order", 2000, 20_000).status(), 202);
    let call = rest.next();
    node.terminate();
    call.reply(status(200));
    assert_eq!(node.exit_code(), Some(0));
}

/// Guards the bound: in a stream that touches each destination once, no more are resident than got a message
/// lately, and each call goes to an endpoint of its destination.
#[test]
fn a_stream_to_ever_new_destinations_keeps_the_working_set_bounded() {
    const SERVERS: u32 = 8;
    const EACH: Duration = Duration::from_millis(7);
    /// The idle time of ten seconds, and a margin for late turns and counters.
    const LATELY: Duration = Duration::from_secs(13);
    let platform = Platform::new();
    let servers: Vec<TestServer> = (0..SERVERS).map(|_| TestServer::new()).collect();
    let place = |group: u32| (group % SERVERS) as usize;
    let entry =
        |group: u32| listing(&format!("e{group}"), group as u16, "plain", servers[place(group)].address);
    let known: Vec<Value> = (1..=MANY).map(entry).collect();
    let node = start(&platform, &known);
    let over = Arc::new(AtomicBool::new(false));
    let answer = |(at, server): (usize, TestServer)| {
        let over = over.clone();
        std::thread::spawn(move || {
            let mut called = Vec::new();
            while !over.load(Ordering::Relaxed) {
                let Some(call) = server.try_next(Duration::from_millis(50)) else { continue };
                called.push((call.http.headers["req-id"].parse::<u32>().unwrap(), at));
                call.reply(status(200));
            }
            called
        })
    };
    let answering: Vec<_> = servers.into_iter().enumerate().map(answer).collect();
    let mut times = Vec::new();
    for group in 1..=MANY {
        assert_eq!(node.submit(&group.to_string(), "order", group as u16, 20_000).status(), 202);
        times.push(Instant::now());
        std::thread::sleep(EACH);
        if group % 50 == 0 {
            let lately = times.iter().filter(|at| at.elapsed() <= LATELY).count() as u64;
            assert!(resident(&node) <= lately, "{} of {lately}", resident(&node));
        }
    }
    wait_until(|| counters(&node)["answered"]["order"] == MANY);
    over.store(true, Ordering::Relaxed);
    let mut called: Vec<(u32, usize)> = answering.into_iter().flat_map(|task| task.join().unwrap()).collect();
    called.sort_unstable();
    assert_eq!(called, (1..=MANY).map(|group| (group, place(group))).collect::<Vec<_>>());
}
