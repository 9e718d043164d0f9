use myrtleyard::interface::Effect;
use serde_json::json;

use super::super::names::align_positions;
use super::*;

fn parsed(text: &[u8], in_force: Option<&Value>) -> Result<Config, ConfigError> {
    check(text, in_force).map_err(|faults| ConfigError::Faults { path: "a file".to_owned(), faults })
}

fn document() -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1",
        "limits": {"disk_mb": 3}, "known": {},
        "settings": {
            "classes": [
                {"name": "note", "effect": "by_key", "dedup_window_us": 9, "on_time_us": 5,
                 "hard_limit_us": 9},
                {"name": "order", "effect": "once", "on_time_us": 5, "hard_limit_us": 9}],
            "family_info": {"calls_out": 8}, "period_us": 5,
            "limits": {"max_open": 100, "try_limit": 6, "connect_timeout_us": 7},
            "obligations": {"answer_slack_us": 1, "cold_share": 0.2, "warm_within_us": 1, "fall_multiple": 2,
                            "overload_for_us": 3, "stop_sending_within_us": 2}}})
}

/// A truncated file, or one with missing keys or invalid values, must not replace the settings in force.
#[test]
fn invalid_file_is_rejected_as_a_whole() -> Result<(), Box<dyn std::error::Error>> {
    let whole = document();
    let text = whole.to_string();
    parsed(text.as_bytes(), Some(&whole))?;
    for end in 0..text.len() {
        assert!(parsed(&text.as_bytes()[..end], Some(&whole)).is_err(), "cut off at {end}");
    }
    for (place, key) in [
        ("", "discovery"),
        ("", "known"),
        ("/limits", "disk_mb"),
        ("/settings", "classes"),
        ("/settings/limits", "connect_timeout_us"),
        ("/settings/limits", "try_limit"),
        ("/settings/classes/0", "dedup_window_us"),
        ("/settings/classes/1", "hard_limit_us"),
    ] {
        let mut broken = whole.clone();
        let found = broken.pointer_mut(place).and_then(Value::as_object_mut).and_then(|o| o.remove(key));
        assert!(found.is_some() && parsed(broken.to_string().as_bytes(), Some(&whole)).is_err(), "{key}");
    }
    for place in ["/settings/limits/try_limit", "/settings/classes/1/hard_limit_us"] {
        for figure in [json!(0), json!(-3), json!("6"), Value::Null] {
            let mut broken = whole.clone();
            broken.pointer_mut(place).map(|value| *value = figure).ok_or(place)?;
            assert!(parsed(broken.to_string().as_bytes(), Some(&whole)).is_err(), "{broken}");
        }
    }
    Ok(())
}

/// Messages under way refer to their class by position: its position and meaning must not change while it is
/// in use.
#[test]
fn class_in_use_keeps_its_position_across_reloads() -> Result<(), Box<dyn std::error::Error>> {
    let first = parsed(document().to_string().as_bytes(), None)?;
    let mut changed = document();
    changed["settings"]["classes"][0]["effect"] = json!("once");
    changed["settings"]["classes"][1]["name"] = json!("bill");
    let second = parsed(changed.to_string().as_bytes(), Some(&first.document))?;
    let (settings, names) =
        align_positions((second.settings, second.names), &first.settings, &first.names, |_| true);
    assert_eq!(settings.classes[..2], first.settings.classes[..]);
    assert_eq!(settings.classes[2].effect, Effect::Once);
    assert_eq!(["note", "order", "bill"].map(|name| names.class(name)), [Some(2), None, Some(3)]);
    // A class that returns unchanged gets its old position.
    let third = parsed(document().to_string().as_bytes(), None)?;
    let (settings, names) = align_positions((third.settings, third.names), &settings, &names, |_| true);
    assert_eq!(settings.classes.len(), 4);
    assert_eq!(["note", "order", "bill"].map(|name| names.class(name)), [Some(0), Some(1), None]);
    Ok(())
}

/// The number of positions must not grow: after a thousand files, each with another class, there are as many
/// as are in use.
#[test]
fn positions_of_unused_classes_are_reused() -> Result<(), Box<dyn std::error::Error>> {
    let first = parsed(document().to_string().as_bytes(), None)?;
    let (mut settings, mut names) = (first.settings, first.names);
    for n in 1..1_000u64 {
        let mut changed = document();
        changed["settings"]["classes"][0]["on_time_us"] = json!(n);
        changed["settings"]["classes"][1]["name"] = json!(format!("order-{n}"));
        let next = parsed(changed.to_string().as_bytes(), None)?;
        // A message of the first "order" is held for the whole test.
        (settings, names) =
            align_positions((next.settings, next.names), &settings, &names, |class| class == 1);
        assert!(settings.classes.len() <= 3 && names.classes.len() == settings.classes.len(), "{n}");
        assert_eq!(names.classes[1], "order");
        assert_eq!((names.retired.clone(), settings.retired.clone()), ([1].into(), [1].into()));
        let note = names.class("note").ok_or("note is gone")?;
        assert_eq!(settings.classes[note].aim, n);
        assert_eq!(settings.shortest_aim(), n.min(5));
    }
    let (settings, names) = align_positions(
        (parsed(document().to_string().as_bytes(), None)?.settings, names_of(&document())?),
        &settings,
        &names,
        |_| false,
    );
    assert_eq!((settings.classes.len(), names.retired.len()), (2, 0));
    Ok(())
}

fn names_of(document: &Value) -> Result<Names, ConfigError> {
    Ok(parsed(document.to_string().as_bytes(), None)?.names)
}

/// A document with a list of this many endpoints, each of a destination of its own.
fn long(endpoints: usize) -> Value {
    let entry = |n: usize| json!({"name": format!("s-{n:08x}"), "address": "10.0.0.1:9000", "group": n, "status": "active"});
    let mut long = document();
    long["known"] =
        json!({"index": 41, "snapshot": true, "endpoints": (0..endpoints).map(entry).collect::<Vec<_>>()});
    long
}

/// Found with 5,000 endpoints: the file was rejected for the length of its list, although discovery may send
/// lists of any length.
#[test]
fn long_list_is_accepted_and_left_out_of_the_document() -> Result<(), Box<dyn std::error::Error>> {
    let (short, whole) = (long(100), long(5000).to_string());
    assert!(whole.len() > check::MAX_DOCUMENT_BYTES);
    assert_eq!(list_version(&parsed(short.to_string().as_bytes(), None)?.known), (41, Some(100)));
    let config = parsed(whole.as_bytes(), Some(&short))?;
    assert_eq!(list_version(&config.known), (41, Some(5000)));
    let summary = config.document["known"]["endpoints"].as_str().ok_or("the list is not left out")?;
    assert!(summary.starts_with("5000 endpoints, CRC-32 "), "{summary}");
    // Another list of the same length is a change; the same list is none.
    let other = whole.replace("10.0.0.1:9000", "10.0.0.2:9000");
    let changes = check::changes(&config.document, &parsed(other.as_bytes(), None)?.document);
    assert_eq!(changes.iter().map(|change| change.key.as_str()).collect::<Vec<_>>(), ["known.endpoints"]);
    let again = parsed(whole.as_bytes(), Some(&config.document))?;
    assert_eq!(check::changes(&config.document, &again.document), []);
    Ok(())
}

/// Faults of a long document, inside its list or elsewhere, are reported as for any other document.
#[test]
fn faults_of_a_long_document_are_reported_by_key() -> Result<(), Box<dyn std::error::Error>> {
    let whole = long(5000).to_string();
    let keys = |text: &str| -> Vec<String> {
        let faults = check(text.as_bytes(), None).err().unwrap_or_default();
        faults.into_iter().map(|fault| fault.key).collect()
    };
    let last = whole.rfind("\"group\":4999").ok_or("the list has no last entry")?;
    let invalid = format!("{}\"group\":-1{}", &whole[..last], &whole[last + "\"group\":4999".len()..]);
    assert_eq!(keys(&invalid), ["known.endpoints"]);
    assert_eq!(
        keys(&invalid.replace("\"try_limit\":6", "\"try_limit\":0")),
        ["settings.limits.try_limit", "known.endpoints"]
    );
    assert_eq!(keys(&whole.replace("\"seed\":\"1\"", "\"seed\":3")), ["seed"]);
    for end in [whole.len() - 1, whole.len() / 2, last] {
        assert_eq!(keys(&whole[..end]), [""], "cut off at {end}");
    }
    let padded = format!("{whole}{}", " ".repeat(check::MAX_DOCUMENT_BYTES));
    assert_eq!(keys(&padded), [""], "too long without its list");
    assert_eq!(keys(&whole.replacen('{', "{\"known\":{},", 1)), [""], "given twice");
    let long_text = json!({"known": {"endpoints": " ".repeat(check::MAX_DOCUMENT_BYTES)}}).to_string();
    assert_eq!(keys(&long_text), [""], "not a list");
    Ok(())
}

/// A list beyond its bounds is rejected with the same remedy as one from discovery.
#[test]
fn list_beyond_its_bounds_is_rejected_with_a_remedy() -> Result<(), Box<dyn std::error::Error>> {
    let whole = long(5000).to_string();
    let bounds = Bounds { bytes: 10, ..Bounds::default() };
    let faults = split::split(whole.as_bytes(), &bounds).err().unwrap_or_default();
    let error = faults.first().ok_or("it is accepted")?.to_string();
    assert!(error.contains("over 262154 bytes") && error.contains("known.endpoints"), "{error}");
    let apart = split::split(whole.as_bytes(), &Bounds::default()).map_err(|faults| faults[0].to_string())?;
    let list = apart.list.ok_or("the document has no list")?;
    let invalid = [&list[..list.len() - 1], b"!"].concat();
    let error = split::read(&invalid, 41, &Bounds::default()).err().ok_or("it is accepted")?.to_string();
    assert!(error.contains("list.malformed") && error.contains("look at what discovery answers"), "{error}");
    Ok(())
}
