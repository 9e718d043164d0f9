//! Messages held while a list grows to more destinations than the policy's working set, and conflicting
//! changes of such a list. Found by an attempt to break the working set's correctness argument.

use std::time::Duration;

use serde_json::json;

use super::residing::*;
use super::world::*;

/// Answers the next call, which must be this message's, with 200.
fn deliver(endpoint: &TestServer, id: &str) {
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], id);
    call.reply(status(200));
}

/// Guards the start: a configuration lists few endpoints, so that messages wait for the first list.
#[test]
fn a_message_accepted_before_the_long_list_is_delivered_when_it_arrives() {
    let (platform, rest, seven) = (Platform::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&platform, &[], with_mgmt);
    assert_eq!(node.submit("early", "order", 7, 20_000).status(), 202);
    let _node = with_published_list(
        node,
        &platform,
        &long_list(rest.address, &[listing("e7", 7, "plain", seven.address)]),
    );
    deliver(&seven, "early");
}

/// Guards accepted messages through a restart, where the journal is read before the list arrives.
#[test]
fn a_message_of_the_previous_process_is_delivered_when_the_long_list_arrives() {
    let (platform, rest, seven) = (Platform::new(), TestServer::new(), TestServer::new());
    let node = start(&platform, &long_list(rest.address, &[listing("e7", 7, "plain", seven.address)]));
    assert_eq!(node.submit("held", "order", 7, 25_000).status(), 202);
    seven.next().reply(Reply::Answer(503, vec![("retry-after", "6".into())], String::new()));
    wait_until(|| node.call("GET", "/control/drain").json()["calls_out"] == 0);
    let node = node.kill_and_restart();
    deliver(&seven, "held");
    drop(node);
}

/// Guards growth: the list outgrows the working set without the message's destination, whose endpoint is
/// added later.
#[test]
fn a_message_held_while_the_list_grows_is_delivered_when_its_endpoint_is_added() {
    let (platform, rest, late) = (Platform::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e8", 8, "plain", rest.address)], with_mgmt);
    assert_eq!(node.submit("later", "order", 4001, 25_000).status(), 202);
    let node = with_published_list(node, &platform, &long_list(rest.address, &[]));
    platform.publish_changes(&[listing("e4001", 4001, "plain", late.address)]);
    deliver(&late, "later");
    drop(node);
}

/// Guards against misdirection: if changes name an endpoint twice, the last entry counts, whatever its
/// destination.
#[test]
fn an_endpoint_named_twice_in_one_change_follows_the_last_entry() {
    let (platform, rest, seven) = (Platform::new(), TestServer::new(), TestServer::new());
    let node = start(&platform, &long_list(rest.address, &[listing("e7", 7, "plain", seven.address)]));
    submit_and_answer(&node, &seven, "a", "order", 7, status(200));
    let twice = TestServer::new();
    let mut removed = listing("e7", 7, "plain", seven.address);
    removed["status"] = json!("left");
    let x = |group| listing("x", group, "plain", twice.address);
    platform.publish_changes(&[removed, x(7), x(4001), listing("y", 4002, "plain", rest.address)]);
    wait_until(|| counters(&node)["cluster_size"] == MANY + 1);
    assert_eq!(node.submit("b", "order", 7, 1_000).status(), 202);
    assert!(twice.try_next(Duration::from_secs(2)).is_none(), "it belongs to destination 4001");
    submit_and_answer(&node, &twice, "c", "order", 4001, status(200));
}
