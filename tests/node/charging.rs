//! Reads by plan at three running senders: predicted, charged, and the charge corrected to what was read.

use serde_json::{Value, json};

use super::status::tier_with;
use super::world::*;

/// The tenant's budget. Of 16 queries a minute a new lender may grant two at once, and more over time.
const QUERIES: u64 = 16;

fn tier(platform: &Platform, water: &Value) -> Vec<Node> {
    let nodes = tier_with(platform, &[], |config| {
        config["plans"] = json!({"water": water, "default": {"level": "any", "wait_ms": 800}});
        config["status"] = json!({"room_mb": 2, "span_s": 2});
    });
    let members = |node: &Node| {
        let report = node.call("GET", "/control/estimate").json();
        report["owners"].as_array().is_some_and(|owners| owners.len() == 3)
    };
    wait_until(|| nodes.iter().all(members));
    nodes
}

fn submit(node: &Node, id: &str, tenant: &str) {
    let text = String::from_utf8(submission(id, "order", 9, 60_000)).unwrap();
    let text = text.replace("Req-Kind", &format!("Req-Owner: {tenant}\r\nReq-Kind"));
    assert_eq!(node.request(text.as_bytes()).status(), 202);
}

fn read(node: &Node, query: &Value) -> (u16, Value) {
    let answer = node.post("/control/status/query?estimate=1", &query.to_string());
    (answer.status(), answer.json())
}

fn sum(nodes: &[Node], figure: &str) -> u64 {
    let of = |node: &Node| node.call("GET", "/control/estimate").json()["queries"][figure].as_u64().unwrap();
    nodes.iter().map(of).sum()
}

/// Guards against a budget that is reported but not enforced: all senders together answer no more queries
/// than were granted, and no other tenant waits.
#[test]
fn a_tenant_over_its_query_budget_is_deferred_at_every_sender_and_no_other_tenant_is() {
    let platform = Platform::new();
    let nodes = tier(&platform, &json!({"queries_per_min": QUERIES, "wait_ms": 300}));
    let water = json!({"tenant": "water"});
    let (mut answered, mut in_a_row, mut asked) = (0, 0, 0);
    while in_a_row < 3 {
        let (status, answer) = read(&nodes[asked % 3], &water);
        asked += 1;
        if status == 200 {
            assert_eq!(answer["estimate"]["decision"]["do"], "run", "{answer}");
            (answered, in_a_row) = (answered + 1, 0);
            assert!(answered <= QUERIES, "{answered} answered");
            continue;
        }
        assert_eq!((status, &answer["code"]), (429, &json!("plan_later")), "{answer}");
        assert!(
            answer["again_ms"].as_u64().is_some_and(|ms| ms > 0) && answer.get("rows").is_none(),
            "{answer}"
        );
        in_a_row += 1;
    }
    assert!(answered > 0);
    assert_eq!((sum(&nodes, "run"), sum(&nodes, "later")), (answered, asked as u64 - answered));
    for node in &nodes {
        let (status, answer) = read(node, &json!({"tenant": "light"}));
        assert_eq!(status, 200, "{answer}");
    }
    let report = nodes[0].call("GET", "/control/plans").json();
    let reads = report["reads"].as_array().unwrap();
    let of = |tenant: &str| reads.iter().find(|counts| counts["tenant"] == tenant).unwrap()["counts"].clone();
    assert!(of("water")["denied"].as_u64() > Some(0) && of("light")["denied"] == 0, "{report}");
}

/// Guards against a read that is limited only by its size after the fact, against charges that stay as
/// predicted, and against a narrowed answer that looks complete.
#[test]
fn a_read_over_its_shard_limit_is_refused_or_narrowed_and_its_charge_is_corrected() {
    let platform = Platform::new();
    let nodes = tier(&platform, &json!({"shards": 2, "wait_ms": 800}));
    let ids: Vec<String> = (0..9).map(|n| format!("m{n}")).collect();
    for (n, id) in ids.iter().enumerate() {
        submit(&nodes[n % 3], id, "water");
        submit(&nodes[n % 3], &format!("l{n}"), "light");
    }
    let unix =
        || std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_micros() as u64;
    // The newest message is in its own shard.
    std::thread::sleep(std::time::Duration::from_secs(4));
    submit(&nodes[0], "newest", "water");
    let past = json!({"tenant": "water", "to": unix()});
    let settled = |node: &Node| {
        let body = json!({"query": past}).to_string();
        node.post("/control/estimate", &body).json()["prediction"]["bound"] == json!(true)
    };
    wait_until(|| nodes.iter().all(settled));
    // A query for ids gets all of them or nothing.
    let (status, answer) = read(&nodes[1], &json!({"tenant": "water", "ids": ids}));
    assert_eq!((status, &answer["code"]), (403, &json!("plan_shards")), "{answer}");
    assert!(
        ["error", "remedy"].iter().all(|key| answer[key].as_str().is_some_and(|s| s.len() > 10)),
        "{answer}"
    );
    assert_eq!((sum(&nodes, "refused"), sum(&nodes, "charged")), (1, 0));
    // A query for a time range gets the newest messages.
    let (status, answer) = read(&nodes[1], &past);
    let left_out = &answer["read"]["left_out"];
    assert_eq!(
        (status, &left_out["reason"], &answer["partial"]),
        (200, &json!("shards"), &json!(true)),
        "{answer}"
    );
    let rows = answer["rows"].as_array().unwrap();
    assert!(rows.len() < 10 && rows.last().is_some_and(|row| row["id"] == "newest"), "{answer}");
    assert!(rows.iter().all(|row| row["taken_at"].as_u64() >= left_out["before"].as_u64()), "{answer}");
    assert!(answer["estimate"]["read"]["shards"].as_u64() <= Some(2), "{answer}");
    let before = ["charged", "read"].map(|figure| sum(&nodes, figure));
    let (status, answer) = read(&nodes[2], &json!({"tenant": "light"}));
    assert_eq!((status, answer["rows"].as_array().map(Vec::len)), (200, Some(9)), "{answer}");
    let touched = answer["touched"].as_array().unwrap();
    let bytes: u64 = touched.iter().map(|link| link["bytes"].as_u64().unwrap()).sum();
    let most = answer["estimate"]["bytes"]["most"].as_u64().unwrap();
    assert_eq!(answer["estimate"]["read"]["bytes"], json!(bytes), "{answer}");
    assert!(bytes > 0 && most > 0, "{answer}");
    assert_eq!(["charged", "read"].map(|figure| sum(&nodes, figure)), [before[0] + most, before[1] + bytes]);
    // The estimate is in the answer only on request.
    let plain = nodes[2].post("/control/status/query", &json!({"tenant": "light"}).to_string()).json();
    assert!(plain.get("estimate").is_none() && plain.get("read").is_some(), "{plain}");
}
