//! What queries and runs will cost, asked of real senders.

use std::net::{SocketAddr, UdpSocket};

use serde_json::{Value, json};

use super::world::*;

/// Addresses that nobody has right now.
fn addresses(number: usize) -> Vec<SocketAddr> {
    let sockets: Vec<_> = (0..number).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    sockets.iter().map(|socket| socket.local_addr().unwrap()).collect()
}

fn on(config: &mut Value, peers: &[SocketAddr], own: usize) {
    config["mgmt"] = json!("127.0.0.1:0");
    config["peers"] = json!(peers);
    config["peer_listen"] = json!(peers[own]);
    config["settings"]["balancers"] = json!(peers.len());
    config["membership"] = json!({"period_ms": 100});
    config["status"] = json!({"span_s": 3600});
}

fn estimate(node: &Node, body: &Value) -> (u16, Value) {
    let http = node.post("/control/estimate", &body.to_string());
    (http.status(), http.json())
}

#[test]
fn a_run_is_estimated_and_what_is_wrong_is_told_with_a_code_and_a_remedy() {
    let (platform, one) = (Platform::new(), Served::new());
    let peers = addresses(1);
    let endpoints = [listing("e1", 7, "plain", one.address)];
    let node = Node::start(&platform, &endpoints, |config| on(config, &peers, 0));
    let run = json!({"class": "note", "destinations": [7], "messages": 40, "body_bytes": 100});
    let (status, said) = estimate(&node, &json!({"run": run}));
    assert_eq!((status, &said["endpoints"], &said["share"]), (200, &json!(1), &json!("now")), "{said}");
    assert_eq!(said["calls"]["least"], json!(40), "plain endpoints take no batches: {said}");
    let (status, said) = estimate(&node, &json!({"query": {"tenant": "a"}}));
    assert_eq!((status, &said["decision"]["do"]), (200, &json!("run")), "{said}");
    for (body, code) in [
        (json!({"run": {"class": "none", "destinations": [7], "messages": 1}}), "estimate.class"),
        (json!({"run": {"class": "note", "destinations": [8], "messages": 1}}), "estimate.nowhere"),
        (json!({"query": {"tenant": "a", "from": 5, "to": 5}}), "estimate.times"),
        (json!({"query": {"tenant": "a", "limit": 0}}), "estimate.rows"),
        (json!({"else": 1}), "estimate.body"),
    ] {
        let (status, said) = estimate(&node, &body);
        assert!((400..500).contains(&status) && said["code"] == code, "{body} {status} {said}");
        assert!(
            ["error", "remedy"].iter().all(|key| said[key].as_str().is_some_and(|s| s.len() > 10)),
            "{said}"
        );
    }
}

#[test]
fn without_the_status_index_nothing_is_estimated() {
    let platform = Platform::new();
    let node = Node::start(&platform, &[], |config| config["mgmt"] = json!("127.0.0.1:0"));
    let (status, said) = estimate(&node, &json!({"query": {"tenant": "a"}}));
    assert_eq!((status, &said["code"]), (404, &json!("estimate.off")));
    assert_eq!(node.call("GET", "/control/estimate").status(), 404);
}
