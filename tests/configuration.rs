//! The validation of a configuration: all faults at once, nothing valid rejected, and no panic.

use myrtleyard::check::{self, Fault, Takes};
use proptest::prelude::*;
use serde_json::{Value, json};

fn document() -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "peers": ["127.0.0.1:3"], "peers_all": null, "known": {"index": 1, "endpoints": []},
        "settings": {
            "classes": [
                {"name": "note", "effect": "by_key", "group": "all", "dedup_window_us": 20_000_000,
                 "on_time_us": 4_000_000, "hard_limit_us": 24_000_000, "importance": 2.0},
                {"name": "order", "effect": "once", "on_time_us": 4_000_000, "hard_limit_us": 24_000_000}],
            "realms": [{"name": "acme", "quota_per_s": 5}], "skus": ["bulk", "plain"], "balancers": 3,
            "period_us": 5000, "unheard_of": {"by": "us"},
            "family_info": {"calls_out": 8, "bundle_max": [5, 1], "own_limits": [false, false]},
            "limits": {"max_open": 100, "try_limit": 6, "connect_timeout_us": 1_000_000},
            "obligations": {"answer_slack_us": 20_000, "cold_share": 0.18, "warm_within_us": 14_000_000,
                            "fall_multiple": 2.0, "overload_for_us": 3_000_000,
                            "stop_sending_within_us": 2_000_000}},
        "draining": {"max_marks": 64}})
}

fn keys(faults: &[Fault]) -> Vec<&str> {
    faults.iter().map(|fault| fault.key.as_str()).collect()
}

/// The JSON pointers of all values in a document.
fn places(value: &Value, path: &str, into: &mut Vec<String>) {
    into.push(path.to_owned());
    match value {
        Value::Object(object) => object.iter().for_each(|(k, v)| places(v, &format!("{path}/{k}"), into)),
        Value::Array(list) => {
            list.iter().enumerate().for_each(|(n, v)| places(v, &format!("{path}/{n}"), into))
        }
        _ => {}
    }
}

#[test]
fn all_faults_are_reported_at_once_with_key_and_expectation() {
    assert_eq!(check::faults(&document()), []);
    let mut broken = document();
    broken["seed"] = json!("xyz");
    broken["limits"] = json!({"disk_mb": 0});
    broken["settings"]["limits"]["try_limit"] = json!(0);
    broken["settings"]["classes"][0]["dedup_window_us"] = json!(0.4);
    broken["settings"]["classes"][1]["effect"] = json!("twice");
    broken["settings"]["obligations"].as_object_mut().unwrap().remove("cold_share");
    broken["settings"]["realms"][0] = json!(7);
    broken["draining"] = json!({"max_marks": 257, "marks": 3});
    let faults = check::faults(&broken);
    let expected = [
        "seed",
        "limits.disk_mb",
        "settings.classes[1].effect",
        "settings.realms[0]",
        "settings.limits.try_limit",
        "settings.obligations.cold_share",
        "draining.max_marks",
        "settings.classes[0].dedup_window_us",
        "draining.marks",
    ];
    assert_eq!(keys(&faults), expected);
    let shown: Vec<String> = faults.iter().map(Fault::to_string).collect();
    assert_eq!(
        shown[2],
        "settings.classes[1].effect: \"twice\" where one of repeatable, once, by_key is expected"
    );
    assert_eq!(
        shown[4],
        "settings.limits.try_limit: 0 where a whole number from 1 to 4294967295 is expected"
    );
    assert_eq!(shown[5], "settings.obligations.cold_share: missing where a number is expected");
}

#[test]
fn invalid_document_is_reported_as_one_fault() {
    let text = document().to_string();
    let duplicated = text.replacen("\"seed\"", "\"seed\":\"1\",\"seed\"", 1);
    let deep = text.replacen("\"index\":1", "\"index\":1,\"index\":2", 1);
    assert_eq!(keys(&check::read(duplicated.as_bytes()).unwrap_err()), ["seed"]);
    assert_eq!(keys(&check::read(deep.as_bytes()).unwrap_err()), ["known.index"]);
    let large = format!("{}{text}", " ".repeat(check::MAX_DOCUMENT_BYTES));
    let nested = "[".repeat(100_000);
    for text in
        [&b""[..], b" \n", b"\xff{}", b"[]", b"{} {}", b"{\"a\": NaN}", b"{\"a\": 1e999}", b"{\"a\": 1"]
    {
        assert_eq!(keys(&check::read(text).unwrap_err()), [""], "{:?}", String::from_utf8_lossy(text));
    }
    assert_eq!(keys(&check::read(large.as_bytes()).unwrap_err()), [""]);
    assert_eq!(keys(&check::read(nested.as_bytes()).unwrap_err()), [""]);
    for end in 0..text.len() {
        assert!(check::read(&text.as_bytes()[..end]).is_err(), "cut off at {end}");
    }
    assert_eq!(check::read(text.as_bytes()), Ok(document()));
}

#[test]
fn changes_report_when_they_take_effect_and_what_they_affect() {
    let mut after = document();
    after["settings"]["limits"]["try_limit"] = json!(3);
    after["settings"]["classes"][1]["name"] = json!("bill");
    after["limits"]["sockets"] = json!(512);
    after.as_object_mut().unwrap().remove("draining");
    let changes = check::changes(&document(), &after);
    let shown: Vec<_> = changes.iter().map(|c| (c.key.as_str(), c.takes)).collect();
    let expected = [
        ("draining", Takes::NewProcess),
        ("limits.sockets", Takes::NewProcess),
        ("settings.classes[bill]", Takes::AtOnce),
        ("settings.classes[order]", Takes::AtOnce),
        ("settings.limits.try_limit", Takes::AtOnce),
    ];
    assert_eq!(shown, expected);
    assert_eq!((changes[4].before.as_str(), changes[4].after.as_str()), ("6", "3"));
    assert!(changes[2].under_way.contains("the class that they came with"));
    assert_eq!(check::changes(&after, &after), []);
    // An optional component's section may be left out, which turns it off; no other key in force may.
    assert_eq!(check::missing_keys(&after, &document()), []);
    after["settings"]["limits"].as_object_mut().unwrap().remove("connect_timeout_us");
    assert_eq!(keys(&check::missing_keys(&after, &document())), ["settings.limits.connect_timeout_us"]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// The validation terminates for any value at any place, and whatever it accepts, the policy module's own
    /// parser accepts too.
    #[test]
    fn valid_document_can_be_parsed(at in any::<prop::sample::Index>(), kind in 0..9usize, remove in any::<bool>()) {
        let mut candidate = document();
        let mut all = vec![];
        places(&candidate, "", &mut all);
        let place = all[at.index(all.len())].clone();
        let values = [
            json!(null), json!(-1), json!(0), json!(0.5), json!(7), json!("seven"), json!([]), json!({}), json!(true),
        ];
        if remove && place.contains('/') {
            let (parent, key) = place.rsplit_once('/').unwrap();
            match candidate.pointer_mut(parent).unwrap() {
                Value::Object(object) => drop(object.remove(key)),
                Value::Array(list) => drop(list.remove(key.parse().unwrap())),
                _ => unreachable!(),
            }
        } else {
            *candidate.pointer_mut(&place).unwrap() = values[kind].clone();
        }
        let text = candidate.to_string();
        if let Ok(document) = check::read(text.as_bytes()) {
            let faults = check::faults(&document);
            let settings = myrtleyard::wire::settings(document["settings"].to_string().as_bytes());
            prop_assert!(!faults.is_empty() || settings.is_ok(), "{place}: {settings:?}");
            for fault in faults {
                prop_assert!(!fault.to_string().contains('\n'));
            }
        }
    }
}
