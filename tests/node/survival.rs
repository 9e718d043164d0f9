//! Figures and inputs that must not end the process.

use serde_json::{Value, json};

use super::world::*;

/// How often a sender summarizes its part of the status index.
const SUMMARY_PERIOD: std::time::Duration = std::time::Duration::from_secs(2);

/// Hands in more messages than may be held, some of which are called and fail, and looks whether the process
/// still serves.
fn serves_on_with(change: impl FnOnce(&mut Value), within_ms: u32) {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["mgmt"] = json!("127.0.0.1:0");
        config["settings"]["limits"]["max_open"] = json!(20);
        change(config);
    });
    let mut client = Client::new(&node);
    for number in 0..60 {
        let (class, dest) = if number % 3 == 0 { ("note", 7) } else { ("order", 9) };
        let answer = client.request(&submission(&format!("m{number}"), class, dest, within_ms));
        assert!([202, 500, 503].contains(&answer.status()), "{}", answer.first_line);
    }
    while let Some(call) = endpoint.try_next(std::time::Duration::from_millis(100)) {
        let wait = vec![("retry-after", "1e300".to_owned())];
        call.reply(Reply::Answer(429, wait, String::new()));
    }
    assert_eq!(node.call("GET", "/control/ready").status(), 200, "{}", node.log());
}

/// Guards against an overflow that ends the process where a class has a shorter deadline than its aim.
#[test]
fn an_aim_beyond_the_deadline_does_not_end_the_process() {
    let shorter = |config: &mut Value| {
        for class in [0, 1] {
            config["settings"]["classes"][class]["on_time_us"] = json!(3_000_000);
            config["settings"]["classes"][class]["hard_limit_us"] = json!(2_500_000);
        }
    };
    serves_on_with(shorter, 2500);
    serves_on_with(shorter, 60_000);
}

/// Guards against an overflow that ends the process where a figure of the settings is very large.
#[test]
fn very_large_figures_do_not_end_the_process() {
    let huge = json!(1e20);
    for pointer in [
        "/settings/classes/0/dedup_window_us",
        "/settings/classes/1/on_time_us",
        "/settings/classes/1/hard_limit_us",
        "/settings/limits/connect_timeout_us",
        "/settings/limits/idle_close_us",
        "/settings/limits/max_retry_after_us",
        "/settings/obligations/warm_within_us",
        "/settings/obligations/overload_for_us",
        "/settings/obligations/stop_sending_within_us",
        "/settings/obligations/answer_slack_us",
    ] {
        serves_on_with(|config| *config.pointer_mut(pointer).unwrap() = huge.clone(), u32::MAX);
    }
}

/// Guards against an overflow that ends the process where a query's time range is empty.
#[test]
fn a_status_query_with_an_empty_range_does_not_end_the_process() {
    let platform = Platform::new();
    let nodes = super::status::tier_with(&platform, &[], |_| {});
    let submit = |id: &str| {
        let text = String::from_utf8(submission(id, "order", 9, 20_000)).unwrap();
        let text = text.replace("Req-Kind", "Req-Owner: water\r\nReq-Kind");
        assert_eq!(nodes[0].request(text.as_bytes()).status(), 202);
    };
    submit("before");
    std::thread::sleep(std::time::Duration::from_millis(20));
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let between = u64::try_from(now.as_micros()).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(20));
    submit("after");
    // The sender summarizes its part of the index now and then.
    std::thread::sleep(SUMMARY_PERIOD + SUMMARY_PERIOD / 2);
    for (from, to) in [(between, between), (between, between - 1), (between, 0), (u64::MAX, u64::MAX)] {
        let query = json!({"tenant": "water", "from": from, "to": to}).to_string();
        let answer = nodes[0].post("/control/status/query?estimate=1", &query);
        assert!([200, 400].contains(&answer.status()), "{}", answer.first_line);
        let rows = answer.json()["rows"].as_array().map_or(0, Vec::len);
        assert_eq!(rows, 0, "{from} to {to}");
    }
    assert_eq!(nodes[0].call("GET", "/control/ready").status(), 200);
}
