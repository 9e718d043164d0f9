//! Messages held while a list grows to more destinations than the policy's working set, and conflicting
//! changes of such a list. Found in a review that tried to break the working set's correctness argument.

use std::time::Duration;

use serde_json::json;

use super::residing::*;
use super::world::*;

/// Answers the next call, which must be this message's, with 200.
fn delivered(endpoint: &Served, id: &str) {
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], id);
    call.reply(status(200));
}

/// Guards the start: a configuration lists few endpoints, so that messages wait for the first list.
#[test]
fn a_message_accepted_before_the_long_list_is_delivered_when_it_arrives() {
    let (platform, rest, seven) = (Platform::new(), Served::new(), Served::new());
    let node = Node::start(&platform, &[], with_operators);
    assert_eq!(node.hand_in("early", "order", 7, 20_000).status(), 202);
    let _node = told(node, &platform, &many(rest.address, &[listing("e7", 7, "plain", seven.address)]));
    delivered(&seven, "early");
}

/// Guards accepted messages through a restart, where the journal is read before the list arrives.
#[test]
fn a_message_of_the_previous_process_is_delivered_when_the_long_list_arrives() {
    let (platform, rest, seven) = (Platform::new(), Served::new(), Served::new());
    let node = start(&platform, &many(rest.address, &[listing("e7", 7, "plain", seven.address)]));
    assert_eq!(node.hand_in("held", "order", 7, 25_000).status(), 202);
    seven.next().reply(Reply::Answer(503, vec![("retry-after", "6".into())], String::new()));
    wait_until(|| node.call("GET", "/control/drain").json()["calls_out"] == 0);
    let node = node.kill_and_restart();
    delivered(&seven, "held");
    drop(node);
}

/// Guards growth: the list outgrows the working set without the message's destination, whose endpoint is
/// added later.
#[test]
fn a_message_held_while_the_list_grows_is_delivered_when_its_endpoint_is_added() {
    let (platform, rest, late) = (Platform::new(), Served::new(), Served::new());
    let node = Node::start(&platform, &[listing("e8", 8, "plain", rest.address)], with_operators);
    assert_eq!(node.hand_in("later", "order", 4001, 25_000).status(), 202);
    let node = told(node, &platform, &many(rest.address, &[]));
    platform.change(&[listing("e4001", 4001, "plain", late.address)]);
    delivered(&late, "later");
    drop(node);
}

/// Guards against misdirection: if changes name an endpoint twice, the last entry counts, whatever its
/// destination.
#[test]
fn an_endpoint_named_twice_in_one_change_follows_the_last_entry() {
    let (platform, rest, seven) = (Platform::new(), Served::new(), Served::new());
    let node = start(&platform, &many(rest.address, &[listing("e7", 7, "plain", seven.address)]));
    served(&node, &seven, "a", "order", 7, status(200));
    let twice = Served::new();
    let mut gone = listing("e7", 7, "plain", seven.address);
    gone["status"] = json!("left");
    let x = |group| listing("x", group, "plain", twice.address);
    platform.change(&[gone, x(7), x(4001), listing("y", 4002, "plain", rest.address)]);
    wait_until(|| counters(&node)["cluster_size"] == MANY + 1);
    assert_eq!(node.hand_in("b", "order", 7, 1_000).status(), 202);
    assert!(twice.try_next(Duration::from_secs(2)).is_none(), "it belongs to destination 4001");
    served(&node, &twice, "c", "order", 4001, status(200));
}
