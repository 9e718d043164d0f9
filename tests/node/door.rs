//! Client connections: idle ones must not exhaust the descriptors that everything else needs.

use std::net::TcpStream;

use serde_json::json;

use super::world::*;

/// Idle clients use all client connections, and the discovery service does not answer: a client with a
/// connection is still served, and calls, operators' calls and the journal go on within the allowed
/// descriptors.
#[test]
fn idle_clients_that_use_all_client_connections_leave_descriptors_for_everything_else() {
    let (platform, endpoint, nowhere) = (Platform::new(), TestServer::new(), FullBacklogServer::new());
    let sockets = 128;
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["mgmt"] = json!("127.0.0.1:0");
        config["limits"]["sockets"] = json!(sockets);
    });
    node.reload(|config| config["discovery"] = json!(nowhere.address.to_string()));
    wait_until(|| node.call("GET", "/control/counters").json()["conf_loaded"] == 1);
    let mut old = Client::new(&node);
    assert_eq!(old.request(&submission("before", "order", 7, 20_000)).status(), 202);
    endpoint.next().reply(status(200));
    let idle: Vec<_> = (0..sockets).map(|_| TcpStream::connect(node.address).unwrap()).collect();
    assert_eq!(old.request(&submission("old", "order", 7, 20_000)).status(), 202);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], "old");
    let before = node.journal_length();
    call.reply(status(200));
    wait_until(|| node.journal_length() > before);
    assert_eq!(node.call("GET", "/control/counters").json()["answered"]["order"], 2);
    assert!(node.descriptors() <= sockets, "{}", node.descriptors());
    // It waits in the backlog until the connections before it are closed.
    assert_eq!(node.submit("new", "order", 7, 20_000).status(), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "new");
    drop(idle);
}
