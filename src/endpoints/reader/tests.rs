use std::io::{self, Cursor};

use proptest::collection::vec;
use proptest::prelude::*;
use serde_json::{Value, json};

use super::super::listing::Listing;
use super::*;

fn taken(text: &[u8]) -> Result<List, ListError> {
    read(text, &Bounds::default())
}

fn body(text: &[u8]) -> ListBody {
    match taken(text) {
        Ok(List::Entries(body)) => body,
        other => panic!("{other:?}"),
    }
}

fn table(text: &[u8]) -> (u64, Table) {
    match taken(text) {
        Ok(List::Table { index, table }) => (index, *table),
        other => panic!("{other:?}"),
    }
}

fn assert_same(one: &ListBody, other: &ListBody) {
    assert_eq!((one.index, one.snapshot), (other.index, other.snapshot));
    assert_eq!(one.endpoints, other.endpoints);
}

fn listing(number: usize) -> Value {
    json!({
        "name": format!("s-{number:08x}"), "address": "10.0.0.1:8000", "zone": "north", "type": "plain",
        "group": number / 2, "status": "active", "weight": 0.25, "since_ms": number,
    })
}

fn entries(count: usize) -> Vec<Value> {
    (0..count).map(listing).collect()
}

fn list(snapshot: bool, count: usize) -> Value {
    json!({"index": 7, "snapshot": snapshot, "endpoints": entries(count)})
}

/// The JSON text of an object with its members in this order.
fn ordered(members: &[(&str, Value)]) -> Vec<u8> {
    let members: Vec<String> = members.iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
    format!("{{{}}}", members.join(",")).into_bytes()
}

/// A stream that yields one byte at a time.
struct Drip<'text>(&'text [u8]);

impl Read for Drip<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let most = buffer.len().min(1);
        self.0.read(&mut buffer[..most])
    }
}

/// A stream that fails with an error after its text.
struct Broken<'text>(&'text [u8], ErrorKind);

impl Read for Broken<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.0.is_empty() { Err(self.1.into()) } else { self.0.read(buffer) }
    }
}

#[test]
fn valid_list_equals_derived_deserialization() {
    let texts = [
        r#"{}"#,
        r#" { "index" : 5 } "#,
        r#"{"snapshot":true}"#,
        r#"{"endpoints":[]}"#,
        r#"{"endpoints":[{"name":"a","group":3,"status":"active"}],"index":9}"#,
        r#"{"endpoints":[{"status":"\u00fc","group":4294967295,"name":"\ud83d\ude00","weight":3,"more":[{}]}]}"#,
        r#"{"more":{"endpoints":[1]},"endpoints":[{"name":"a","group":3,"status":"left","weight":1e-300}]}"#,
        r#"{"endpoints":[{"name":"a","group":1,"status":"left"},{"name":"a","group":2,"status":"active"}]}"#,
    ];
    for text in texts {
        let expected: ListBody = serde_json::from_str(text).unwrap();
        assert_same(&body(text.as_bytes()), &expected);
        let Ok(List::Entries(dripped)) = read(Drip(text.as_bytes()), &Bounds::default()) else {
            panic!("{text}")
        };
        assert_same(&dripped, &expected);
    }
}

#[test]
fn text_rejected_by_derived_deserialization_is_rejected() {
    let texts = [
        r#"[]"#,
        r#"null"#,
        r#"{"index":-1}"#,
        r#"{"index":1.5}"#,
        r#"{"index":1,"index":1}"#,
        r#"{"snapshot":true,"snapshot":true}"#,
        r#"{"snapshot":null}"#,
        r#"{"endpoints":[],"endpoints":[]}"#,
        r#"{"endpoints":null}"#,
        r#"{"endpoints":{}}"#,
        r#"{"endpoints":[{"name":"a","group":4294967296,"status":"active"}]}"#,
        r#"{"endpoints":[{"name":"a","group":1.0,"status":"active"}]}"#,
        r#"{"endpoints":[{"name":"a","group":"1","status":"active"}]}"#,
        r#"{"endpoints":[{"name":"a","status":"active"}]}"#,
        r#"{"endpoints":[{"group":1,"status":"active"}]}"#,
        r#"{"endpoints":[{"name":"a","group":1}]}"#,
        r#"{"endpoints":[{"name":"a","group":1,"status":"active","weight":null}]}"#,
        r#"{"endpoints":[{"name":"a","name":"b","group":1,"status":"active"}]}"#,
        r#"{"endpoints":[{"name":"\ud83d","group":1,"status":"active"}]}"#,
        r#"{"endpoints":[{"name":"a","group":1,"status":"active"},]}"#,
        r#"{"index":1,}"#,
        r#"{"index":1} x"#,
        r#"{}{}"#,
        r#"{}]"#,
    ];
    for text in texts {
        assert!(text == "[]" || serde_json::from_str::<ListBody>(text).is_err(), "{text}");
        let outcome = taken(text.as_bytes());
        assert!(matches!(outcome, Err(ListError::Malformed(_))), "{text}: {outcome:?}");
    }
}

#[test]
fn list_truncated_at_any_byte_is_rejected() {
    let spread = serde_json::to_vec_pretty(&list(true, 3)).unwrap();
    let unknown =
        br#"{"more":[1,{"x":"\u00fc"}],"endpoints":[{"name":"a","group":12,"status":"left"}],"index":12}"#;
    for text in [&serde_json::to_vec(&list(true, 3)).unwrap()[..], &spread, unknown] {
        for cut in 0..text.len() {
            let cut_off = &text[..cut];
            assert_eq!(taken(cut_off).unwrap_err(), ListError::Truncated(cut as u64));
            let broken = read(Broken(cut_off, ErrorKind::UnexpectedEof), &Bounds::default());
            assert_eq!(broken.unwrap_err(), ListError::Truncated(cut as u64));
            let broken = read(Broken(cut_off, ErrorKind::ConnectionReset), &Bounds::default());
            assert!(matches!(broken, Err(ListError::Malformed(_))), "{broken:?}");
        }
        assert!(taken(text).is_ok());
    }
}

/// A table that lacks the last entries must not be accepted as the list.
#[test]
fn long_list_truncated_near_its_end_is_rejected() {
    let text = serde_json::to_vec(&list(true, ENTRIES + 3)).unwrap();
    for cut in text.len() - 1000..text.len() {
        assert_eq!(taken(&text[..cut]).unwrap_err(), ListError::Truncated(cut as u64));
    }
}

/// The stream can fail after the whole object has been read; the list must be rejected then.
#[test]
fn stream_failing_after_list_is_rejected() {
    let text = serde_json::to_vec(&list(true, 3)).unwrap();
    let broken = read(Broken(&text, ErrorKind::UnexpectedEof), &Bounds::default());
    assert_eq!(broken.unwrap_err(), ListError::Truncated(text.len() as u64));
}

#[test]
fn snapshot_longer_than_entries_limit_is_read_as_table() {
    assert!(body(&serde_json::to_vec(&list(true, ENTRIES)).unwrap()).snapshot);
    for text in
        [serde_json::to_vec(&list(true, ENTRIES + 1)), serde_json::to_vec_pretty(&list(true, ENTRIES + 1))]
    {
        let (index, table) = table(&text.unwrap());
        assert_eq!((index, table.len(), table.destinations()), (7, ENTRIES + 1, ENTRIES / 2 + 1));
        for (number, entry) in table.iter().enumerate() {
            assert_eq!(serde_json::to_value(entry).unwrap(), listing(number));
        }
    }
}

#[test]
fn members_in_any_order_give_same_list() {
    let count = ENTRIES + 500;
    let members = [("index", json!(7)), ("snapshot", json!(true)), ("endpoints", json!(entries(count)))];
    for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        let text = ordered(&order.map(|at: usize| members[at].clone()));
        let (index, table) = table(&text);
        assert_eq!((index, table.len()), (7, count));
    }
    // Without the member `snapshot`, or with `false`, it is a list of changes, in the order of the text.
    let twice: Vec<Value> = entries(count).into_iter().chain(entries(3)).collect();
    for members in [
        vec![("endpoints", json!(twice)), ("index", json!(7))],
        vec![("endpoints", json!(twice)), ("snapshot", json!(false)), ("index", json!(7))],
        vec![("snapshot", json!(false)), ("endpoints", json!(twice)), ("index", json!(7))],
    ] {
        let text = ordered(&members);
        assert_same(&body(&text), &serde_json::from_slice(&text).unwrap());
    }
}

#[test]
fn repeated_names_use_last_entry_in_snapshot_and_stay_in_changes() {
    let named =
        |name: &str, group: u32, status: &str| json!({"name": name, "group": group, "status": status});
    let mut all = entries(ENTRIES);
    all.extend([named("s-00000000", 900_000, "active"), named("s-00000001", 0, "left")]);
    all.extend([named("s-00000002", 0, "left"), named("s-00000002", 900_001, "leaving")]);
    let (_, table) = table(&ordered(&[("snapshot", json!(true)), ("endpoints", json!(all))]));
    assert_eq!(table.len(), ENTRIES - 1);
    assert_eq!(table.destination_of("s-00000000"), Some(900_000));
    assert_eq!(table.get("s-00000001"), None);
    assert_eq!(
        table.get("s-00000002").map(|entry| (entry.group, entry.status)),
        Some((900_001, "leaving".into()))
    );
    assert!(!table.contains(0));
    let changes = ordered(&[("endpoints", json!([all[1], all[ENTRIES + 1], all[1]]))]);
    assert_eq!(body(&changes).endpoints.len(), 3);
}

#[test]
fn list_one_over_a_bound_is_rejected() {
    let text = serde_json::to_vec(&list(true, 3000)).unwrap();
    let exact = Bounds { endpoints: 3000, bytes: text.len() as u64 };
    assert!(read(&text[..], &exact).is_ok());
    let fewer = Bounds { endpoints: 2999, ..exact };
    assert_eq!(read(&text[..], &fewer).unwrap_err(), ListError::Endpoints(2999));
    let shorter = Bounds { bytes: exact.bytes - 1, ..exact };
    assert_eq!(read(&text[..], &shorter).unwrap_err(), ListError::Bytes(shorter.bytes));
    assert_eq!(read(Drip(&text), &shorter).unwrap_err(), ListError::Bytes(shorter.bytes));
    let small = serde_json::to_vec(&list(false, 3)).unwrap();
    let fewer = Bounds { endpoints: 2, ..Bounds::default() };
    assert_eq!(read(&small[..], &fewer).unwrap_err(), ListError::Endpoints(2));
}

#[test]
fn list_of_changes_over_limit_is_rejected() {
    let entry = br#"{"name":"a","group":1,"status":"active"}"#.to_vec();
    let many = |count: usize| vec![&entry[..]; count].join(&b","[..]);
    let first = |count| [b"{\"snapshot\":false,\"endpoints\":[", &many(count)[..], b"]}"].concat();
    let last = |count| [b"{\"endpoints\":[", &many(count)[..], b"],\"snapshot\":false}"].concat();
    for text in [first(CHANGES), last(CHANGES)] {
        assert_eq!(body(&text).endpoints.len(), CHANGES);
    }
    for text in [first(CHANGES + 1), last(CHANGES + 1)] {
        assert_eq!(taken(&text).unwrap_err(), ListError::Changes(CHANGES));
    }
    // Snapshots are not limited so, wherever the member `snapshot` stands.
    let text = [b"{\"endpoints\":[", &many(CHANGES + 1)[..], b"],\"snapshot\":true}"].concat();
    assert_eq!(table(&text).1.len(), 1);
}

#[test]
fn name_over_limit_is_rejected() {
    let named = |bytes: usize| {
        let entry = json!({"name": "n".repeat(bytes), "group": 1, "status": "active"});
        ordered(&[("endpoints", json!([entry]))])
    };
    assert_eq!(body(&named(NAME_BYTES)).endpoints.len(), 1);
    let outcome = taken(&named(NAME_BYTES + 1));
    assert!(matches!(&outcome, Err(ListError::Malformed(why)) if why.contains("255")), "{outcome:?}");
}

/// Error texts quote the list, and are logged: an unbounded quote would fill the log.
#[test]
fn json_error_description_is_bounded() {
    let text = ordered(&[("index", json!("é".repeat(100_000)))]);
    let outcome = taken(&text);
    let Err(ListError::Malformed(why)) = outcome else { panic!("{outcome:?}") };
    assert!(why.contains("é") && why.contains("at line 1 column") && why.len() < 600, "{why}");
}

#[test]
fn large_members_and_entries_within_limit_are_accepted() {
    let large = "x".repeat(MAX_ENTRY_LEN as usize - 2 * READ_BUFFER_LEN);
    let entry = json!({"more": large, "name": "a", "group": 1, "status": "active"});
    let text =
        ordered(&[("more", json!(large)), ("endpoints", json!([entry, entry])), ("last", json!(large))]);
    assert_same(&body(&text), &serde_json::from_slice(&text).unwrap());
}

/// Number of bytes after which a reader is considered not to stop.
const ENDLESS: u64 = 100 << 20;

/// Yields its first text once, then its second text over and over.
struct Endless(Cursor<Vec<u8>>, Vec<u8>, u64);

impl Read for Endless {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.0.position() == self.0.get_ref().len() as u64 {
            self.0 = Cursor::new(self.1.clone());
        }
        let read = self.0.read(buffer)?;
        self.2 += read as u64;
        assert!(self.2 <= ENDLESS, "the reader does not stop at its limits");
        Ok(read)
    }
}

#[test]
fn endless_input_is_rejected_at_limits() {
    let entry = r#"{"name":"a","group":1,"status":"active"},"#;
    let bounds = Bounds { endpoints: 100_000, bytes: 20 << 20 };
    let too_long =
        ListError::Malformed(format!("over {MAX_ENTRY_LEN} bytes came without an entry or a member"));
    let all = [
        (r#"{"snapshot":true,"endpoints":["#, entry, ListError::Endpoints(100_000)),
        (r#"{"snapshot":false,"endpoints":["#, entry, ListError::Changes(CHANGES)),
        (r#"{"endpoints":["#, entry, ListError::Endpoints(100_000)),
        ("{", r#""more":[1,{}],"#, ListError::Bytes(bounds.bytes)),
        (r#"{"more":["#, "1,", too_long.clone()),
        (r#"{"more":"#, "[", too_long.clone()),
        (r#"{"endpoints":[{"more":"#, "[", too_long.clone()),
        (r#"{"endpoints":[{"name":""#, r#"\""#, too_long.clone()),
        (r#"{""#, "m", too_long.clone()),
        ("", "  ", too_long.clone()),
        ("{}", "\n", too_long.clone()),
    ];
    for (first, over_and_over, expected) in all {
        let mut endless = Endless(Cursor::new(first.into()), over_and_over.repeat(1000).into(), 0);
        let outcome = read(&mut endless, &bounds).unwrap_err();
        assert_eq!(outcome, expected, "{first}");
        let most = if expected == too_long { MAX_ENTRY_LEN } else { bounds.bytes };
        assert!(endless.2 <= most + 2 * READ_BUFFER_LEN as u64, "{first}: {}", endless.2);
    }
}

fn entry() -> impl Strategy<Value = Listing> {
    let status = prop_oneof![Just("active"), Just("leaving"), Just("left")];
    let weight = any::<f64>().prop_filter("JSON has only finite numbers", |weight| weight.is_finite());
    ("[a-z\"\\\\é]{1,4}", ".{0,9}", ".{0,3}", 0u32..9, status, weight, any::<u64>()).prop_map(
        |(name, address, zone, group, status, weight, since_ms)| Listing {
            name,
            address,
            kind: zone.clone(),
            zone,
            group,
            status: status.to_owned(),
            weight,
            since_ms,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn any_list_equals_derived_deserialization(
        endpoints in vec(entry(), 0..40), index: u64, snapshot: bool, long: bool, pretty: bool,
    ) {
        let endpoints = if long { vec![endpoints; 400].concat() } else { endpoints };
        let list = json!({"index": index, "snapshot": snapshot, "endpoints": endpoints});
        let text = if pretty { serde_json::to_vec_pretty(&list) } else { serde_json::to_vec(&list) }.unwrap();
        let expected: ListBody = serde_json::from_slice(&text).unwrap();
        let long = expected.endpoints.len();
        match taken(&text) {
            Ok(List::Entries(body)) => assert_same(&body, &expected),
            Ok(List::Table { index, table }) => {
                prop_assert!(snapshot && long > ENTRIES);
                prop_assert_eq!(index, expected.index);
                let plain = Table::new(expected.endpoints);
                prop_assert!(table.iter().eq(plain.iter()));
            }
            Err(why) => prop_assert_eq!(
                (why, !snapshot && long > CHANGES),
                (ListError::Changes(CHANGES), true)
            ),
        }
    }
}
