//! Validation of a configuration before it is applied: all faults at once, each with its key, the value found
//! and what is expected, and for a valid one the changes that it would make. No I/O. The platform writes
//! these documents, so unknown keys are ignored, except in the sections of optional components.

pub mod split;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

/// Maximum size of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;
/// Maximum number of faults or changes reported.
pub const MAX_REPORTED: usize = 64;
/// Maximum number of characters of a value in a report.
const MAX_SHOWN_CHARS: usize = 60;

/// A fault of the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Path of keys and positions: `settings.classes[1].effect`. Empty for the document as a whole.
    pub key: String,
    /// The value found, shortened; `missing` if there is none.
    pub value: String,
    /// What is expected instead.
    pub expected: String,
}

impl Fault {
    fn new(key: impl Into<String>, value: impl Into<String>, expected: impl Into<String>) -> Self {
        Self { key: key.into(), value: value.into(), expected: expected.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = if self.key.is_empty() { "the document" } else { &self.key };
        write!(f, "{key}: {} where {} is expected", self.value, self.expected)
    }
}

/// When a change takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Takes {
    /// With the next event-loop iteration.
    #[serde(rename = "at once")]
    AtOnce,
    /// Not in the running process, only in the next one.
    #[serde(rename = "with a new process")]
    NewProcess,
}

/// A change that a document makes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Path of keys, as in [`Fault::key`].
    pub key: String,
    /// The value in force; `missing` if there is none.
    pub before: String,
    /// The value of the document; `missing` if there is none.
    pub after: String,
    /// When it takes effect.
    pub takes: Takes,
    /// What it means for messages in hand.
    pub under_way: &'static str,
}

fn shown(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_SHOWN_CHARS {
        text
    } else {
        text.chars().take(MAX_SHOWN_CHARS).chain(['…']).collect()
    }
}

/// Parses any JSON, and collects keys that occur twice in an object: the last one would win unnoticed.
struct JsonSeed<'a> {
    path: String,
    duplicates: &'a RefCell<Vec<String>>,
}

impl<'de> DeserializeSeed<'de> for JsonSeed<'_> {
    type Value = Value;
    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for JsonSeed<'_> {
    type Value = Value;
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("JSON")
    }
    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }
    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }
    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }
    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }
    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Number::from_f64(value).map(Value::Number).ok_or_else(|| E::custom("number out of range"))
    }
    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        loop {
            let path = format!("{}[{}]", self.path, values.len());
            match seq.next_element_seed(JsonSeed { path, duplicates: self.duplicates })? {
                Some(value) => values.push(value),
                None => return Ok(Value::Array(values)),
            }
        }
    }
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut values = Map::new();
        while let Some(key) = map.next_key::<String>()? {
            let path = join(&self.path, &key);
            if values.contains_key(&key) {
                self.duplicates.borrow_mut().push(path.clone());
            }
            let value = map.next_value_seed(JsonSeed { path, duplicates: self.duplicates })?;
            values.insert(key, value);
        }
        Ok(Value::Object(values))
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

/// Parses a text as a document.
///
/// # Errors
/// Returns why the text is not a document.
pub fn read(text: &[u8]) -> Result<Value, Vec<Fault>> {
    let whole = |value: String, expected: &str| vec![Fault::new("", value, expected)];
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(whole(format!("{} bytes", text.len()), &format!("at most {MAX_DOCUMENT_BYTES} bytes")));
    }
    if text.iter().all(u8::is_ascii_whitespace) {
        return Err(whole("nothing".into(), "a JSON object"));
    }
    if let Err(e) = std::str::from_utf8(text) {
        return Err(whole(format!("byte {} is not UTF-8", e.valid_up_to()), "UTF-8"));
    }
    let duplicates = RefCell::default();
    let mut parser = serde_json::Deserializer::from_slice(text);
    let read = JsonSeed { path: String::new(), duplicates: &duplicates }.deserialize(&mut parser);
    let document = read.and_then(|document| parser.end().map(|()| document));
    let document = document.map_err(|e| whole(e.to_string(), "JSON"))?;
    if !document.is_object() {
        return Err(whole(shown(&document), "a JSON object"));
    }
    let duplicates = duplicates.into_inner().into_iter().take(MAX_REPORTED);
    let duplicates: Vec<Fault> =
        duplicates.map(|key| Fault::new(key, "given twice", "each key once")).collect();
    if duplicates.is_empty() { Ok(document) } else { Err(duplicates) }
}

/// The form that a value must have.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ValueKind {
    Text,
    Address,
    Addresses,
    Hex,
    /// Any number.
    Number,
    /// A number that is at least 1 when truncated to an integer: a time other than zero.
    Time,
    /// A number greater than 0.
    Over0,
    /// A whole number in this inclusive range.
    Whole(u64, u64),
    Flag,
    Texts,
    Flags,
    Wholes,
    Numbers,
    Object,
    Array,
    OneOf(&'static [&'static str]),
}

impl ValueKind {
    fn expected(self) -> String {
        match self {
            Self::Text => "a string".into(),
            Self::Address => "an address and port".into(),
            Self::Addresses => "a list of addresses and ports".into(),
            Self::Hex => "a 64-bit hexadecimal number".into(),
            Self::Number => "a number".into(),
            Self::Time => "a number of microseconds, at least 1".into(),
            Self::Over0 => "a number greater than 0".into(),
            Self::Whole(0, u64::MAX) => "a whole number from 0".into(),
            Self::Whole(min, u64::MAX) => format!("a whole number from {min}"),
            Self::Whole(min, max) => format!("a whole number from {min} to {max}"),
            Self::Flag => "true or false".into(),
            Self::Texts => "a list of strings".into(),
            Self::Flags => "a list of true and false".into(),
            Self::Wholes => "a list of whole numbers from 0".into(),
            Self::Numbers => "a list of numbers".into(),
            Self::Object => "an object".into(),
            Self::Array => "a list".into(),
            Self::OneOf(names) => format!("one of {}", names.join(", ")),
        }
    }

    fn holds(self, value: &Value) -> bool {
        let all = |is: Self| value.as_array().is_some_and(|list| list.iter().all(|value| is.holds(value)));
        match self {
            Self::Text => value.is_string(),
            Self::Address => value.as_str().is_some_and(|t| t.parse::<std::net::SocketAddr>().is_ok()),
            Self::Addresses => all(Self::Address),
            Self::Hex => value.as_str().is_some_and(|text| u64::from_str_radix(text, 16).is_ok()),
            Self::Number => value.is_number(),
            Self::Time => value.as_f64().is_some_and(|number| number >= 1.0),
            Self::Over0 => value.as_f64().is_some_and(|number| number > 0.0),
            Self::Whole(min, max) => value.as_u64().is_some_and(|n| (min..=max).contains(&n)),
            Self::Flag => value.is_boolean(),
            Self::Texts => all(Self::Text),
            Self::Flags => all(Self::Flag),
            Self::Wholes => all(Self::Whole(0, u64::MAX)),
            Self::Numbers => all(Self::Number),
            Self::Object => value.is_object(),
            Self::Array => value.is_array(),
            Self::OneOf(names) => value.as_str().is_some_and(|text| names.contains(&text)),
        }
    }
}

/// Whether a key may be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    Required,
    Optional,
    /// The key may also be null.
    Null,
}

use Presence::{Null, Optional, Required};
use ValueKind::{
    Address, Addresses, Array, Flag, Flags, Hex, Numbers, Object, OneOf, Over0, Text, Texts, Time,
};
use ValueKind::{Number as Figure, Whole, Wholes};

const ANY: ValueKind = Whole(0, u64::MAX);

/// The known keys of the platform's documents.
const TOP: &[(&str, ValueKind, Presence)] = &[
    ("name", Text, Required),
    ("listen", Address, Required),
    ("discovery", Address, Required),
    ("seed", Hex, Required),
    ("limits", Object, Required),
    ("mgmt", Address, Null),
    ("peer_listen", Address, Null),
    ("peers", Addresses, Optional),
    ("peers_all", Address, Null),
    ("known", Object, Optional),
    ("settings", Object, Required),
    ("draining", Object, Null),
    ("membership", Object, Null),
    ("takeover", Object, Null),
    ("start", Object, Null),
    ("status", Object, Null),
    ("plans", Object, Null),
];
const LIMITS: &[(&str, ValueKind, Presence)] =
    &[("sockets", ANY, Optional), ("memory_mb", Over0, Optional), ("disk_mb", Over0, Required)];
const SETTINGS: &[(&str, ValueKind, Presence)] = &[
    ("classes", Array, Required),
    ("realms", Array, Optional),
    ("skus", Array, Optional),
    ("family_info", Object, Required),
    ("limits", Object, Required),
    ("obligations", Object, Required),
    ("load_report", Object, Optional),
    ("charges", Object, Optional),
    ("balancers", ANY, Null),
    ("discovery", Text, Null),
    ("weights", Text, Null),
    ("over_share_worth", Figure, Optional),
    ("period_us", Figure, Required),
];
const CLASS: &[(&str, ValueKind, Presence)] = &[
    ("name", Text, Required),
    ("effect", OneOf(&["repeatable", "once", "by_key"]), Required),
    ("group", Text, Null),
    ("dedup_window_us", Figure, Null),
    ("on_time_us", Time, Required),
    ("hard_limit_us", Time, Required),
    ("importance", Figure, Optional),
    ("late_worth", Figure, Null),
    ("in_order", Flag, Null),
];
const REALM: &[(&str, ValueKind, Presence)] = &[("quota_per_s", Figure, Required)];
const FAMILY: &[(&str, ValueKind, Presence)] = &[
    ("calls_out", ANY, Required),
    ("own_limits", Flags, Optional),
    ("bundle_max", Wholes, Optional),
    ("decay", OneOf(&["line", "halves"]), Null),
    ("turned_away_price", Figure, Null),
    ("toll", Numbers, Optional),
];
const SETTINGS_LIMITS: &[(&str, ValueKind, Presence)] = &[
    ("cancelling", Flag, Optional),
    ("probing", Flag, Optional),
    ("peers", Flag, Optional),
    ("second_copies", Flag, Optional),
    ("connect_timeout_us", Figure, Optional),
    ("idle_close_us", Figure, Null),
    ("max_open", ANY, Required),
    ("max_retry_after_us", Figure, Optional),
    ("try_limit", Whole(1, u32::MAX as u64), Required),
];
const OBLIGATIONS: &[(&str, ValueKind, Presence)] = &[
    ("answer_slack_us", Figure, Required),
    ("ask_every_us", Figure, Null),
    ("cold_share", Figure, Required),
    ("warm_within_us", Figure, Required),
    ("fall_multiple", Figure, Required),
    ("overload_for_us", Figure, Required),
    ("stop_sending_within_us", Figure, Required),
    ("order_pause_us", Figure, Null),
];
const REPORT: &[(&str, ValueKind, Presence)] = &[("fields", Texts, Optional)];
const CHARGES: &[(&str, ValueKind, Presence)] = &[("probe", Figure, Optional)];
const DRAINING: &[(&str, ValueKind, Presence)] =
    &[("max_marks", Whole(1, crate::drain::MAX_MARKS as u64), Optional)];
const MEMBERSHIP: &[(&str, ValueKind, Presence)] = &[
    (
        "period_ms",
        Whole(crate::membership::PERIOD_MS_RANGE.0 as u64, crate::membership::PERIOD_MS_RANGE.1 as u64),
        Optional,
    ),
    ("tier", Text, Optional),
];
const TAKEOVER: &[(&str, ValueKind, Presence)] = &[
    (
        "lease_ms",
        Whole(crate::takeover::LEASE_MS_RANGE.0 as u64, crate::takeover::LEASE_MS_RANGE.1 as u64),
        Optional,
    ),
    (
        "max_body",
        Whole(crate::takeover::BODY_BYTES_RANGE.0 as u64, crate::takeover::BODY_BYTES_RANGE.1 as u64),
        Optional,
    ),
    (
        "room_mb",
        Whole(crate::takeover::ROOM_MB_RANGE.0 as u64, crate::takeover::ROOM_MB_RANGE.1 as u64),
        Optional,
    ),
    ("tier", Text, Optional),
];
const STATUS: &[(&str, ValueKind, Presence)] = &[
    ("room_mb", Whole(crate::status::ROOM_MB.0 as u64, crate::status::ROOM_MB.1 as u64), Optional),
    ("keep_s", Whole(crate::status::KEEP_S.0 as u64, crate::status::KEEP_S.1 as u64), Optional),
    ("replicas", Whole(crate::status::REPLICAS.0 as u64, crate::status::REPLICAS.1 as u64), Optional),
    ("span_s", Whole(crate::status::SPAN_S.0 as u64, crate::status::SPAN_S.1 as u64), Optional),
];
const PLAN: &[(&str, ValueKind, Presence)] = &[
    ("level", OneOf(&["any", "bounded", "session"]), Optional),
    (
        "staleness_ms",
        Whole(crate::plans::STALENESS_MS.0 as u64, crate::plans::STALENESS_MS.1 as u64),
        Optional,
    ),
    ("wait_ms", Whole(crate::plans::WAIT_MS.0 as u64, crate::plans::WAIT_MS.1 as u64), Optional),
    ("or", OneOf(&["refuse", "tell-stale"]), Optional),
    ("reads_per_s", Whole(1, u32::MAX as u64), Optional),
    ("queries_per_min", Whole(1, u32::MAX as u64), Optional),
    ("shards", Whole(1, u32::MAX as u64), Optional),
    ("bytes_per_min", Whole(1, u64::MAX), Optional),
];
const START: &[(&str, ValueKind, Presence)] = &[
    ("tier", Text, Optional),
    ("source", OneOf(&["agent", "service"]), Optional),
    (
        "bears_per_s",
        Whole(crate::start::CAPACITY_PER_S.0 as u64, crate::start::CAPACITY_PER_S.1 as u64),
        Null,
    ),
];
type Keys = &'static [(&'static str, ValueKind, Presence)];
/// Sections of optional components, and their keys.
const SECTIONS: &[(&str, Keys)] = &[
    ("draining", DRAINING),
    ("membership", MEMBERSHIP),
    ("takeover", TAKEOVER),
    ("start", START),
    ("status", STATUS),
];

fn check_object(
    faults: &mut Vec<Fault>,
    path: &str,
    value: Option<&Value>,
    keys: &[(&str, ValueKind, Presence)],
) {
    // A value that is not an object is reported with its own key.
    let Some(Value::Object(object)) = value else { return };
    for (key, is, need) in keys {
        let at = join(path, key);
        match object.get(*key) {
            None if *need == Required => faults.push(Fault::new(at, "missing", is.expected())),
            Some(Value::Null) if *need == Null => {}
            Some(value) if !is.holds(value) => faults.push(Fault::new(at, shown(value), is.expected())),
            None | Some(_) => {}
        }
    }
}

fn check_unknown_keys(
    faults: &mut Vec<Fault>,
    path: &str,
    value: &Value,
    keys: &[(&str, ValueKind, Presence)],
) {
    for key in value.as_object().into_iter().flatten().map(|(key, _)| key) {
        if !keys.iter().any(|known| known.0 == key) {
            let known: Vec<&str> = keys.iter().map(|known| known.0).collect();
            faults.push(Fault::new(join(path, key), "unknown", format!("one of {}", known.join(", "))));
        }
    }
}

fn check_entries(
    faults: &mut Vec<Fault>,
    path: &str,
    list: Option<&Value>,
    keys: &[(&str, ValueKind, Presence)],
) {
    for (at, entry) in list.and_then(Value::as_array).into_iter().flatten().enumerate() {
        let path = format!("{path}[{at}]");
        if !entry.is_object() {
            faults.push(Fault::new(&path, shown(entry), Object.expected()));
        }
        check_object(faults, &path, Some(entry), keys);
    }
}

/// All faults of a document that can be found without the one in force.
pub fn faults(document: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    let at = |path: &str| document.pointer(path);
    check_object(&mut faults, "", Some(document), TOP);
    check_object(&mut faults, "limits", at("/limits"), LIMITS);
    check_object(&mut faults, "settings", at("/settings"), SETTINGS);
    check_entries(&mut faults, "settings.classes", at("/settings/classes"), CLASS);
    check_entries(&mut faults, "settings.realms", at("/settings/realms"), REALM);
    check_object(&mut faults, "settings.family_info", at("/settings/family_info"), FAMILY);
    check_object(&mut faults, "settings.limits", at("/settings/limits"), SETTINGS_LIMITS);
    check_object(&mut faults, "settings.obligations", at("/settings/obligations"), OBLIGATIONS);
    check_object(&mut faults, "settings.load_report", at("/settings/load_report"), REPORT);
    check_object(&mut faults, "settings.charges", at("/settings/charges"), CHARGES);
    for (section, keys) in SECTIONS {
        check_object(&mut faults, section, document.get(*section), keys);
    }
    for (name, plan) in document.get("plans").and_then(Value::as_object).into_iter().flatten() {
        let path = join("plans", name);
        if !plan.is_object() {
            faults.push(Fault::new(&path, shown(plan), Object.expected()));
        }
        check_object(&mut faults, &path, Some(plan), PLAN);
        check_unknown_keys(&mut faults, &path, plan, PLAN);
    }
    if let Some(plans) = document.get("plans").and_then(Value::as_object)
        && plans.len() > crate::plans::MAX_PLANS
    {
        faults.push(Fault::new("plans", plans.len().to_string(), "at most 256 plans"));
    }
    let classes = at("/settings/classes").and_then(Value::as_array);
    if classes.is_some_and(Vec::is_empty) {
        faults.push(Fault::new("settings.classes", "[]", "at least one class"));
    }
    let mut names = BTreeSet::new();
    for (n, class) in classes.into_iter().flatten().enumerate() {
        let path = |key: &str| format!("settings.classes[{n}].{key}");
        match class.get("name").and_then(Value::as_str) {
            Some("") => faults.push(Fault::new(path("name"), "\"\"", "a name")),
            Some(name) if !names.insert(name) => {
                faults.push(Fault::new(
                    path("name"),
                    shown(&class["name"]),
                    "a name that no other class has",
                ));
            }
            _ => {}
        }
        let window = class.get("dedup_window_us").unwrap_or(&Value::Null);
        let by_key = class.get("effect").and_then(Value::as_str) == Some("by_key");
        if by_key && !Time.holds(window) && (window.is_number() || window.is_null()) {
            let value = if window.is_null() { "missing".into() } else { shown(window) };
            faults.push(Fault::new(path("dedup_window_us"), value, Time.expected()));
        }
    }
    // Sections of optional components are this program's own: an unknown key in them is a mistake.
    for (section, keys) in SECTIONS {
        check_unknown_keys(&mut faults, section, &document[*section], keys);
    }
    faults.truncate(MAX_REPORTED);
    faults
}

/// Keys that the document in force has and this one lacks. List entries may come and go; a class is compared
/// with the one of the same name, unless its effect changed, and with it the keys that it needs.
pub fn missing_keys(document: &Value, in_force: &Value) -> Vec<Fault> {
    fn walk(path: &str, new: &Value, old: &Value, faults: &mut Vec<Fault>) {
        match (new, old) {
            (Value::Object(new), Value::Object(old)) => {
                for (key, value) in old {
                    let at = join(path, key);
                    match new.get(key) {
                        None if path.is_empty() && OPTIONAL_SECTIONS.contains(&key.as_str()) => {}
                        None => {
                            faults.push(Fault::new(at, "missing", "a key that the document in force has"));
                        }
                        Some(found) => walk(&at, found, value, faults),
                    }
                }
            }
            (Value::Array(new), Value::Array(old)) => {
                for (at, entry) in new.iter().enumerate() {
                    let alike =
                        |other: &&Value| ["name", "effect"].iter().all(|k| other.get(k) == entry.get(k));
                    if let Some(other) = old.iter().find(alike) {
                        walk(&format!("{path}[{at}]"), entry, other, faults);
                    }
                }
            }
            _ => {}
        }
    }
    let mut faults = Vec::new();
    walk("", document, in_force, &mut faults);
    faults.truncate(MAX_REPORTED);
    faults
}

/// Sections of optional components: leaving one out turns the component off.
const OPTIONAL_SECTIONS: &[&str] = &["draining", "membership", "takeover", "start", "status", "plans"];

/// The changes from one document to another, key by key; a class is identified by its name, and compared as a
/// whole.
pub fn changes(before: &Value, after: &Value) -> Vec<Change> {
    fn walk(path: &str, before: Option<&Value>, after: Option<&Value>, changes: &mut Vec<Change>) {
        if before == after {
            return;
        }
        if let (Some(Value::Object(b)), Some(Value::Object(a))) = (before, after) {
            let keys: BTreeSet<&String> = b.keys().chain(a.keys()).collect();
            for key in keys {
                walk(&join(path, key), b.get(key), a.get(key), changes);
            }
            return;
        }
        let (Some(Value::Array(b)), Some(Value::Array(a)), true) =
            (before, after, path == "settings.classes")
        else {
            let show = |value: Option<&Value>| value.map_or("missing".into(), shown);
            let (takes, under_way) = effect_of(path);
            let (before, after) = (show(before), show(after));
            changes.push(Change { key: path.to_owned(), before, after, takes, under_way });
            return;
        };
        let named = |list: &[Value], name: &str| {
            list.iter().find(|class| class.get("name").and_then(Value::as_str) == Some(name)).cloned()
        };
        let names = a.iter().chain(b).filter_map(|class| class.get("name")?.as_str());
        for name in names.collect::<BTreeSet<_>>() {
            let (b, a) = (named(b, name), named(a, name));
            let show = |value: &Option<Value>| value.as_ref().map_or("missing".into(), shown);
            if a != b {
                let (takes, under_way) = effect_of(path);
                let key = format!("{path}[{name}]");
                changes.push(Change { key, before: show(&b), after: show(&a), takes, under_way });
            }
        }
    }
    let mut changes = Vec::new();
    walk("", Some(before), Some(after), &mut changes);
    changes.truncate(MAX_REPORTED);
    changes
}

/// When a change of a key takes effect, and what it means for messages in hand.
fn effect_of(path: &str) -> (Takes, &'static str) {
    let under_way = match path {
        p if p.starts_with("settings.classes") => "those under way keep the class that they came with",
        "settings.limits.try_limit" => "those that have had as many attempts are answered at once",
        "settings.limits.max_open" => "those held beyond it are handed back, the least of worth first",
        "settings.family_info.calls_out" => "calls that are out go on; no new one begins above it",
        "discovery" => "notices that are owed go to the new address",
        p if p.starts_with("settings") => "they go on by the new figure from the next turn on",
        _ => "none",
    };
    match path == "discovery" || path.starts_with("settings.") {
        true => (Takes::AtOnce, under_way),
        false => (Takes::NewProcess, "none"),
    }
}
