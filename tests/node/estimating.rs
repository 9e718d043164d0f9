//! Estimates of the cost of queries and of planned runs, at running senders.

use serde_json::{Value, json};

use super::world::*;

fn with_status(config: &mut Value, peers: &[String], own: usize) {
    config["mgmt"] = json!("127.0.0.1:0");
    config["peers"] = json!(peers);
    config["peer_listen"] = json!(peers[own]);
    config["settings"]["balancers"] = json!(peers.len());
    config["settings"]["realms"] = json!([{"name": "water", "quota_per_s": 1000.0, "fraction": 1.0}]);
    config["limits"]["disk_mb"] = json!(20);
    config["membership"] = json!({"period_ms": 100});
    config["status"] = json!({"room_mb": 2, "span_s": 2});
}

fn estimate(node: &Node, body: &Value) -> (u16, Value) {
    let http = node.post("/control/estimate", &body.to_string());
    (http.status(), http.json())
}

#[test]
fn a_run_is_estimated_and_invalid_requests_get_a_code_and_a_remedy() {
    let (platform, one) = (Platform::new(), TestServer::new());
    let peers = free_addresses(1);
    let endpoints = [listing("e1", 7, "plain", one.address)];
    let node = Node::start(&platform, &endpoints, |config| with_status(config, &peers, 0));
    let run =
        json!({"class": "note", "tenant": "water", "destinations": [7], "messages": 40, "body_bytes": 100});
    let (status, answer) = estimate(&node, &json!({"run": run}));
    assert_eq!((status, &answer["endpoints"], &answer["share"]), (200, &json!(1), &json!("now")), "{answer}");
    assert_eq!(answer["calls"]["least"], json!(40), "plain endpoints take no batches: {answer}");
    let (status, answer) = estimate(&node, &json!({"query": {"tenant": "water"}}));
    assert_eq!((status, &answer["decision"]["do"]), (200, &json!("run")), "{answer}");
    for (body, code) in [
        (json!({"run": {"class": "none", "destinations": [7], "messages": 1}}), "estimate.class"),
        (json!({"run": {"class": "note", "destinations": [8], "messages": 1}}), "estimate.nowhere"),
        (json!({"query": {"tenant": "water", "from": 5, "to": 5}}), "estimate.times"),
        (json!({"query": {"tenant": "water", "limit": 0}}), "estimate.rows"),
        (json!({"else": 1}), "estimate.body"),
    ] {
        let (status, answer) = estimate(&node, &body);
        assert!((400..500).contains(&status) && answer["code"] == code, "{body} {status} {answer}");
        assert!(
            ["error", "remedy"].iter().all(|key| answer[key].as_str().is_some_and(|s| s.len() > 10)),
            "{answer}"
        );
    }
}

#[test]
fn without_the_status_index_estimates_are_off() {
    let platform = Platform::new();
    let node = Node::start(&platform, &[], |config| config["mgmt"] = json!("127.0.0.1:0"));
    let (status, answer) = estimate(&node, &json!({"query": {"tenant": "water"}}));
    assert_eq!((status, &answer["code"]), (404, &json!("estimate.off")));
    assert_eq!(node.call("GET", "/control/estimate").status(), 404);
}

/// Guards against a prediction that is right only in a made-up setting: three senders exchange summaries, and
/// what a query really touches is compared with the prediction.
#[test]
fn the_predictions_of_three_senders_cover_what_a_query_touches() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let peers = free_addresses(3);
    let endpoints = [listing("e1", 7, "plain", endpoint.address)];
    let nodes: Vec<Node> = (0..3)
        .map(|own| Node::start(&platform, &endpoints, |config| with_status(config, &peers, own)))
        .collect();
    for number in 0..24 {
        let text = String::from_utf8(submission(&format!("m{number}"), "note", 7, 20_000)).unwrap();
        let text = text.replace("Req-Kind", "Req-Owner: water\r\nReq-Kind");
        assert_eq!(nodes[number % 3].request(text.as_bytes()).status(), 202);
        endpoint.next().reply(status(200));
    }
    let all = json!({"tenant": "water", "limit": 1000});
    let known = |node: &Node| {
        let (_, answer) = estimate(node, &json!({"query": all}));
        answer["prediction"]["rows"]["most"].as_u64() >= Some(24)
            && answer["prediction"]["doubts"] == json!([])
    };
    wait_until(|| nodes.iter().all(known));
    // No more writes follow: messages accepted before this time don't change any more.
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_micros() as u64;
    let past = json!({"tenant": "water", "limit": 1000, "to": unix});
    let settled =
        |node: &Node| estimate(node, &json!({"query": past})).1["prediction"]["bound"] == json!(true);
    wait_until(|| nodes.iter().all(settled));
    for node in &nodes {
        let prediction = estimate(node, &json!({"query": past})).1["prediction"].clone();
        let answer = node.post("/control/status/query", &past.to_string()).json();
        assert_eq!(answer["partial"], json!(false), "{answer}");
        let touched = answer["touched"].as_array().unwrap();
        for figure in ["shards", "entries", "bytes"] {
            let found: u64 = touched.iter().map(|link| link[figure].as_u64().unwrap()).sum();
            let ends =
                [&prediction[figure]["least"], &prediction[figure]["most"]].map(|end| end.as_u64().unwrap());
            assert!((ends[0]..=ends[1]).contains(&found), "{figure} {found}: {prediction} {touched:?}");
        }
        assert_eq!(answer["rows"].as_array().map(Vec::len), Some(24));
        assert_eq!(prediction["rows"]["most"], json!(24), "{prediction}");
    }
    let report = nodes[0].call("GET", "/control/estimate").json();
    assert_eq!(report["owners"].as_array().map(Vec::len), Some(3), "{report}");
}

/// Answers calls, each after a delay, until so many messages have arrived; returns the number of calls.
fn deliver(endpoint: &TestServer, messages: usize) -> u64 {
    let (mut received, mut calls) = (0, 0);
    while received < messages {
        let call = endpoint.next();
        calls += 1;
        std::thread::sleep(std::time::Duration::from_millis(20));
        if call.http.first_line.contains(":batch") {
            let parts = call.http.json();
            let parts = parts.as_array().unwrap();
            received += parts.len();
            let ends: Vec<_> = parts.iter().map(|part| json!({"id": part["id"], "state": "ok"})).collect();
            call.reply(Reply::Answer(200, vec![], json!(ends).to_string()));
        } else {
            received += 1;
            call.reply(status(200));
        }
    }
    calls
}

#[test]
fn a_run_takes_calls_and_time_within_its_estimate() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let peers = free_addresses(1);
    let endpoints = [listing("e1", 7, "bulk", endpoint.address)];
    let node = Node::start(&platform, &endpoints, |config| with_status(config, &peers, 0));
    let submit = |from: usize, to: usize| {
        for number in from..to {
            let text = String::from_utf8(submission(&format!("m{number}"), "note", 7, 20_000)).unwrap();
            let text = text.replace("Req-Kind", "Req-Owner: water\r\nReq-Kind");
            assert_eq!(node.request(text.as_bytes()).status(), 202);
        }
    };
    // From now on the sender knows how long answers take.
    submit(0, 10);
    deliver(&endpoint, 10);
    let run =
        json!({"class": "note", "tenant": "water", "destinations": [7], "messages": 60, "body_bytes": 4});
    let (code, answer) = estimate(&node, &json!({"run": run}));
    assert_eq!((code, &answer["in_time"]), (200, &json!(true)), "{answer}");
    let begun = std::time::Instant::now();
    let calls = std::thread::scope(|scope| {
        scope.spawn(|| submit(10, 70));
        deliver(&endpoint, 60)
    });
    let ends = |figure: &str| ["least", "most"].map(|end| answer[figure][end].as_u64().unwrap());
    let ([least, most], took) = (ends("calls"), begun.elapsed().as_micros() as u64);
    assert!((least..=most).contains(&calls), "{calls} calls: {answer}");
    let [least, most] = ends("time");
    assert!((least..=most).contains(&took), "{took} microseconds: {answer}");
    println!("{calls} calls in {took} microseconds: {answer}");
}
