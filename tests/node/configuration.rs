//! Checks and reloads of the configuration of a running sender, at the management address and on the command
//! line.

use std::process::Command;

use serde_json::{Value, json};

use super::world::*;

fn check(node: &Node, candidate: &Value) -> Http {
    node.post("/control/config/check", &candidate.to_string())
}

#[test]
fn a_candidate_is_compared_with_the_configuration_in_force_and_not_applied() {
    let platform = Platform::new();
    let node = Node::start(&platform, &[], |config| config["mgmt"] = json!("127.0.0.1:0"));
    let in_force = node.configuration();
    let answer = check(&node, &in_force);
    assert_eq!((answer.status(), answer.json()), (200, json!({"valid": true, "changes": []})));
    let mut fewer = in_force.clone();
    fewer["settings"]["limits"]["try_limit"] = json!(2);
    let answer = check(&node, &fewer).json();
    assert_eq!(answer["changes"][0]["key"], "settings.limits.try_limit");
    assert_eq!(answer["changes"][0]["takes"], "at once");
    let mut broken = fewer.clone();
    broken["settings"]["limits"]["try_limit"] = json!(0);
    broken["settings"]["classes"][0]["on_time_us"] = json!("soon");
    broken["settings"].as_object_mut().unwrap().remove("azs");
    let answer = check(&node, &broken);
    let faults = answer.json()["faults"].as_array().unwrap().clone();
    let keys: Vec<_> = faults.iter().map(|fault| fault["key"].as_str().unwrap()).collect();
    assert_eq!(answer.status(), 400);
    assert_eq!(keys, ["settings.classes[0].on_time_us", "settings.limits.try_limit", "settings.azs"]);
    let counters = node.call("GET", "/control/counters").json();
    assert_eq!(
        (&counters["conf_loaded"], &counters["conf_invalid"]),
        (&json!(0), &json!(0)),
        "the check changes nothing"
    );
    // Once it is in force, the next candidate is compared with it.
    node.reload(|config| *config = fewer.clone());
    wait_until(|| check(&node, &fewer).json()["changes"] == json!([]));
}

#[test]
fn a_body_that_is_no_configuration_gets_one_fault_and_changes_nothing() {
    let platform = Platform::new();
    let node = Node::start(&platform, &[], |config| config["mgmt"] = json!("127.0.0.1:0"));
    for (body, code) in
        [("", 400), ("{\"name\":", 400), ("\u{1}", 400), ("{\"name\":1,\"name\":2}", 400), ("[]", 400)]
    {
        let answer = node.post("/control/config/check", body);
        assert_eq!(answer.status(), code, "{body}");
        assert_eq!(answer.json()["faults"].as_array().unwrap().len(), 1, "{body}");
    }
    let over = " ".repeat((256 << 10) + (64 << 10));
    assert_eq!(node.post("/control/config/check", &over).status(), 413);
    let half =
        node.raw_call("POST /control/config/check HTTP/1.1\r\nHost: m\r\nContent-Length: 99\r\n\r\n{\"na");
    assert_eq!(half.status(), 408);
    assert_eq!(node.call("GET", "/control/config/check").status(), 405);
    assert_eq!(node.call("GET", "/control/ready").status(), 200);
}

#[test]
fn a_file_is_checked_without_a_sender() {
    let platform = Platform::new();
    let node = Node::start(&platform, &[], |_| {});
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("candidate.json");
    let run = |arguments: &[&std::ffi::OsStr]| {
        let output = Command::new(env!("CARGO_BIN_EXE_myrtleyard")).args(arguments).output().unwrap();
        (output.status.code(), String::from_utf8(output.stdout).unwrap())
    };
    let option = std::ffi::OsStr::new("--check");
    std::fs::write(&file, node.configuration().to_string()).unwrap();
    assert_eq!(run(&[option, file.as_os_str()]), (Some(0), "{\"faults\":[],\"valid\":true}\n".into()));
    let mut broken = node.configuration();
    broken["seed"] = json!(3);
    broken["draining"] = json!({"max_mark": 3});
    std::fs::write(&file, broken.to_string()).unwrap();
    let (code, report) = run(&[option, file.as_os_str()]);
    let report: Value = serde_json::from_str(&report).unwrap();
    assert_eq!((code, report["faults"].as_array().unwrap().len()), (Some(1), 2), "{report}");
    assert_eq!(run(&[option, folder.path().join("none").as_os_str()]).0, Some(2));
    assert_eq!(run(&[option]).0, Some(2));
}

fn with_mgmt(config: &mut Value) {
    config["mgmt"] = json!("127.0.0.1:0");
}

/// The settings change between a request's head and its body: those in force when the message is accepted
/// apply.
#[test]
fn a_message_submitted_across_a_reload_follows_the_settings_at_its_acceptance() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], with_mgmt);
    let (mut removed, mut kept) = (Client::new(&node), Client::new(&node));
    let removed_body = removed.send_head(&submission("a", "note", 7, 20_000));
    let kept_body = kept.send_head(&submission("b", "order", 7, 20_000));
    node.reload_and_wait(|config| {
        let classes = config["settings"]["classes"].as_array_mut().unwrap();
        classes.remove(0);
        classes[0]["effect"] = json!("repeatable");
    });
    assert_eq!(removed.request(&removed_body).status(), 503, "a removed class accepts nothing");
    assert_eq!(kept.request(&kept_body).status(), 202);
    endpoint.next().reply(status(500));
    let again = endpoint.next();
    assert_eq!(again.http.headers["req-id"], "b", "its class is repeatable now");
    again.reply(status(200));
}

/// A kind's batch size applies from the next call on, without a list update.
#[test]
fn a_changed_kind_applies_to_endpoints_already_listed() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "bulk", endpoint.address)], |config| {
        with_mgmt(config);
        config["settings"]["family_info"]["calls_out"] = json!(1);
    });
    assert_eq!(node.submit("x", "note", 7, 20_000).status(), 202);
    let first = endpoint.next();
    for id in ["a", "b"] {
        assert_eq!(node.submit(id, "note", 7, 20_000).status(), 202);
    }
    node.reload_and_wait(|config| config["settings"]["family_info"]["bundle_max"] = json!([1, 1]));
    first.reply(status(200));
    for _ in 0..2 {
        let call = endpoint.next();
        assert_eq!(call.http.first_line, "POST /v1/messages HTTP/1.1");
        call.reply(status(200));
    }
}

/// Zones change their order in the settings: each endpoint keeps its zone by name, and with it the toll.
#[test]
fn a_toll_follows_its_zone_by_name() {
    let (platform, one, two) = (Platform::new(), TestServer::new(), TestServer::new());
    let mut second = listing("e2", 7, "plain", two.address);
    second["zone"] = json!("b");
    let node = Node::start(&platform, &[listing("e1", 7, "plain", one.address), second], |config| {
        with_mgmt(config);
        config["settings"]["azs"] = json!(["a", "b"]);
        config["settings"]["family_info"]["toll"] = json!([0.0, 0.5]);
        config["settings"]["family_info"]["own_limits"] = json!([false, true]);
    });
    assert_eq!(node.submit("a", "note", 7, 20_000).status(), 202);
    one.next().reply(status(200));
    node.reload_and_wait(|config| config["settings"]["azs"] = json!(["b", "a"]));
    assert_eq!(node.submit("b", "note", 7, 20_000).status(), 202);
    let call = two.next();
    assert_eq!(call.http.headers["req-id"], "b");
    assert!(!one.has_unread_request(), "the call was not tried there first");
    call.reply(status(200));
}

/// The settings decide whether the list is watched or polled; a sender that did not follow a reload would in
/// the end miss all updates.
#[test]
fn a_reload_switches_between_watching_and_polling_the_list() {
    let platform = Platform::new();
    let node = Node::start(&platform, &[], with_mgmt);
    let asked = || platform.list_requests.recv_timeout(TIMEOUT).expect("the list is requested");
    assert!(asked().contains("from="));
    node.reload_and_wait(|config| {
        config["settings"]["discovery"] = json!("ask");
        config["settings"]["obligations"]["ask_every_us"] = json!(1_000_000);
    });
    // One more watch may have been requested just before, on its own connection, which may be read later.
    let list_requests: Vec<String> = (0..4).map(|_| asked()).collect();
    let watches = list_requests.iter().filter(|path| path.contains("from=")).count();
    assert!(watches <= 1, "{list_requests:?}");
    assert!(list_requests.iter().filter(|path| *path == "/v1/endpoints").count() >= 3, "{list_requests:?}");
    assert_eq!(list_requests[3], "/v1/endpoints", "{list_requests:?}");
    node.reload_and_wait(|config| config["settings"]["discovery"] = json!("push"));
    wait_until(|| asked().contains("from="));
}

/// A message keeps the effect that it was accepted with through a restart with other settings: one accepted
/// as `once` is not repeated although its class is repeatable now, and one that was never tried is still
/// tried.
#[test]
fn a_restart_with_looser_settings_repeats_nothing_accepted_as_once() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    assert_eq!(node.submit("out", "order", 7, 20_000).status(), 202);
    let call = endpoint.next();
    assert_eq!(node.submit("held", "order", 9, 20_000).status(), 202, "no endpoint is listed yet");
    node.rewrite_config(|config| config["settings"]["classes"][1]["effect"] = json!("repeatable"));
    let node = node.kill_and_restart();
    assert_eq!(platform.notice(204), [json!({"id": "out", "status": "undeliverable"})]);
    let nine = TestServer::new();
    platform.publish(&[listing("e1", 7, "plain", endpoint.address), listing("e2", 9, "plain", nine.address)]);
    assert_eq!(node.submit("new", "order", 7, 20_000).status(), 202);
    let held = nine.next();
    assert_eq!(held.http.headers["req-id"], "held");
    held.reply(status(200));
    // A message accepted now may be repeated.
    for code in [500, 200] {
        let new = endpoint.next();
        assert_eq!(new.http.headers["req-id"], "new");
        new.reply(status(code));
    }
    drop(call);
}

/// Guards against a keyed message that runs in a second zone: its endpoint has left, and a new configuration gives its
/// zone another position.
#[test]
fn a_keyed_message_stays_in_the_zone_of_an_endpoint_that_left_when_zones_move() {
    let (platform, first, other) = (Platform::new(), TestServer::new(), TestServer::new());
    let in_zone = |name: &str, zone: &str, server: &TestServer| {
        let mut entry = listing(name, 7, "plain", server.address);
        entry["zone"] = json!(zone);
        entry
    };
    let node = Node::start(&platform, &[in_zone("e1", "b", &first)], |config| {
        config["mgmt"] = json!("127.0.0.1:0");
        config["settings"]["azs"] = json!(["a", "b"]);
        config["settings"]["classes"][0]["group"] = json!("zone");
        config["settings"]["classes"][0]["on_time_us"] = json!(500_000);
    });
    assert_eq!(node.submit("keyed", "note", 7, 5000).status(), 202);
    let call = first.next();
    platform.publish(&[in_zone("e2", "a", &other)]);
    call.closed.recv_timeout(TIMEOUT).expect("the sender stops waiting");
    node.reload_and_wait(|config| config["settings"]["azs"] = json!(["c", "a", "b"]));
    assert_eq!(platform.notice(204), [json!({"id": "keyed", "status": "undeliverable"})]);
    assert!(!other.has_unread_request(), "it runs in another zone");
}
