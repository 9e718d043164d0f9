use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use proptest::collection::vec;
use proptest::prelude::*;

use super::*;

/// Maximum memory of an endpoint, in tenths of a byte: 23 MB for 558,000 endpoints.
const TENTHS_EACH: usize = 412;

fn entry(name: &str, group: u32) -> Listing {
    Listing {
        name: name.to_owned(),
        address: "10.0.0.1:8000".to_owned(),
        zone: "north".to_owned(),
        kind: "plain".to_owned(),
        group,
        status: "active".to_owned(),
        weight: 1.0,
        since_ms: 0,
    }
}

fn left(name: &str, group: u32) -> Listing {
    Listing { status: LEFT.to_owned(), ..entry(name, group) }
}

/// A form of an entry that is equal for equal entries, with the weight compared bit by bit.
fn bits(entry: &Listing) -> (Listing, u64) {
    (Listing { weight: 0.0, ..entry.clone() }, entry.weight.to_bits())
}

/// A plain model of a table's content.
type Model = BTreeMap<String, Listing>;

fn apply(model: &mut Model, entry: Listing) -> Option<Listing> {
    if entry.status == LEFT { model.remove(&entry.name) } else { model.insert(entry.name.clone(), entry) }
}

fn modelled(entries: &[Listing]) -> Model {
    let mut model = Model::new();
    entries.iter().cloned().for_each(|entry| drop(apply(&mut model, entry)));
    model
}

fn equal(one: &[Listing], other: &[Listing]) -> bool {
    one.iter().map(bits).eq(other.iter().map(bits))
}

/// Compares everything that a table returns with the model.
fn assert_holds(table: &Table, model: &Model, groups: &BTreeSet<u32>) {
    let destinations: BTreeSet<u32> = model.values().map(|entry| entry.group).collect();
    assert_eq!(table.len(), model.len());
    assert_eq!(table.is_empty(), model.is_empty());
    assert_eq!(table.destinations(), destinations.len());
    for group in groups {
        let expected: Vec<Listing> = model.values().filter(|entry| entry.group == *group).cloned().collect();
        assert!(equal(&table.of(*group), &expected), "{group}: {:?}, not {expected:?}", table.of(*group));
        assert_eq!(table.contains(*group), !expected.is_empty());
    }
    let mut expected: Vec<Listing> = model.values().cloned().collect();
    expected.sort_by_key(|entry| entry.group);
    assert!(equal(&table.iter().collect::<Vec<_>>(), &expected), "iter");
    for (name, entry) in model {
        let got = table.get(name);
        assert_eq!(got.as_ref().map(bits), Some(bits(entry)));
        assert_eq!(table.destination_of(name), Some(entry.group));
    }
}

fn address() -> impl Strategy<Value = String> {
    prop_oneof![
        (any::<[u8; 4]>(), any::<u16>())
            .prop_map(|(ip, port)| SocketAddrV4::new(ip.into(), port).to_string()),
        Just("1.2.3.4:080".to_owned()),
        Just("1.2.3.4:0".to_owned()),
        Just("1.2.3.4:00".to_owned()),
        Just("[2001:db8::1]:8000".to_owned()),
        Just(String::new()),
        Just("nowhere".to_owned()),
        Just("é".repeat(200)),
    ]
}

fn weight() -> impl Strategy<Value = f64> {
    prop_oneof![Just(1.0), Just(0.0), Just(-0.0), any::<f64>()]
}

fn since() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just((1 << 48) - 1), Just(1 << 48), any::<u64>()]
}

/// Listings with few different names and destinations, so that they collide.
fn listing() -> impl Strategy<Value = Listing> {
    let name =
        prop_oneof!["[a-d][0-9]?", Just("ü".repeat(127)), Just("x".repeat(254)), Just("y".repeat(255))];
    let status = prop_oneof![Just("active"), Just("leaving"), Just("left"), Just("other")];
    let word = prop_oneof![Just("north"), Just("south"), Just("")];
    let group = prop_oneof![0u32..5, Just(u32::MAX)];
    (name, address(), word.clone(), word, group, status, weight(), since()).prop_map(
        |(name, address, zone, kind, group, status, weight, since_ms)| Listing {
            name,
            address,
            zone: zone.to_owned(),
            kind: kind.to_owned(),
            group,
            status: status.to_owned(),
            weight,
            since_ms,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn table_with_changes_equals_model(snapshot in vec(listing(), 0..60), changes in vec(listing(), 0..60)) {
        let groups: BTreeSet<u32> = snapshot.iter().chain(&changes).map(|entry| entry.group).collect();
        let mut model = modelled(&snapshot);
        let mut table = Table::new(snapshot);
        assert_holds(&table, &model, &groups);
        for change in changes {
            let before = table.change(change.clone(), usize::MAX).unwrap();
            let expected = apply(&mut model, change);
            prop_assert_eq!(before.as_ref().map(bits), expected.as_ref().map(bits));
            assert_holds(&table, &model, &groups);
        }
        let rebuilt = Table::new(table.iter());
        assert_holds(&rebuilt, &model, &groups);
    }

    #[test]
    fn full_table_rejects_new_name(
        snapshot in vec(listing(), 0..30), changes in vec(listing(), 0..30), most in 0usize..20,
    ) {
        let groups: BTreeSet<u32> = snapshot.iter().chain(&changes).map(|entry| entry.group).collect();
        let mut model = modelled(&snapshot);
        let mut table = Table::new(snapshot);
        for change in changes {
            let mut changed = model.clone();
            apply(&mut changed, change.clone());
            let fits = change.status == LEFT || changed.len() <= most;
            let outcome = table.change(change, most);
            if fits {
                prop_assert!(outcome.is_ok());
                model = changed;
            } else {
                prop_assert_eq!(outcome.map(|_| ()), Err(ListError::Endpoints(most)));
            }
            assert_holds(&table, &model, &groups);
        }
    }
}

/// A table is built in a thread of its own and handed over from there.
#[test]
fn table_built_in_another_thread_is_usable() {
    let table = std::thread::spawn(|| Table::new([entry("a", 1)])).join().unwrap();
    assert_eq!(table.of(1), [entry("a", 1)]);
}

#[test]
fn empty_table_has_no_endpoints() {
    let table = Table::default();
    assert_holds(&table, &Model::new(), &[0, 1, u32::MAX].into());
    assert_eq!(table.get(""), None);
    assert_holds(&Table::new([]), &Model::new(), &[0].into());
}

#[test]
fn snapshot_with_repeated_name_uses_last_entry() {
    let twice = Table::new([entry("a", 1), entry("b", 1), entry("a", 2)]);
    assert_eq!(twice.get("a"), Some(entry("a", 2)));
    assert_eq!(twice.of(1), [entry("b", 1)]);
    assert_eq!((twice.len(), twice.destinations()), (2, 2));
    let gone = Table::new([entry("a", 1), left("a", 1)]);
    assert!(gone.is_empty() && !gone.contains(1));
    let back = Table::new([left("a", 1), entry("a", 1), left("a", 1), entry("a", 3)]);
    assert_eq!(back.of(3), [entry("a", 3)]);
    assert_eq!(back.len(), 1);
}

#[test]
fn name_with_changed_destination_is_moved() {
    let mut table = Table::new([entry("a", 1), entry("b", 2)]);
    assert_eq!(table.change(entry("a", 2), 2), Ok(Some(entry("a", 1))));
    assert_eq!(table.of(2), [entry("a", 2), entry("b", 2)]);
    assert!(!table.contains(1));
    assert_eq!((table.len(), table.destinations()), (2, 1));
    assert_eq!(table.change(entry("a", 3), 2), Ok(Some(entry("a", 2))));
    assert_eq!((table.of(2), table.of(3)), (vec![entry("b", 2)], vec![entry("a", 3)]));
}

#[test]
fn name_that_left_can_be_added_again() {
    let mut table = Table::new([entry("a", 1)]);
    assert_eq!(table.change(left("a", 1), 1), Ok(Some(entry("a", 1))));
    assert_eq!(table.get("a"), None);
    assert_eq!((table.len(), table.destinations()), (0, 0));
    assert_eq!(table.change(left("a", 1), 1), Ok(None));
    let again = Listing { since_ms: 5, ..entry("a", 1) };
    assert_eq!(table.change(again.clone(), 1), Ok(None));
    assert_eq!(table.of(1), [again]);
}

/// Without the limit on changes, a table that is never rebuilt would grow without bound.
#[test]
fn table_needs_rebuild_after_change_limit_and_not_when_rebuilt() {
    let mut table = Table::new([entry("a", 1)]);
    for number in 0..MIN_CHANGES_FOR_REBUILD {
        assert!(!table.needs_rebuild());
        table.change(entry(&format!("n{number}"), 1), usize::MAX).unwrap();
    }
    assert!(!table.needs_rebuild());
    table.change(left("a", 1), usize::MAX).unwrap();
    assert!(table.needs_rebuild());
    assert!(!Table::new(table.iter()).needs_rebuild());

    let size = (MIN_CHANGES_FOR_REBUILD + 10) * REBUILD_SHARE;
    let mut large = Table::new((0..size).map(|number| entry(&format!("n{number}"), 1)));
    for number in 0..MIN_CHANGES_FOR_REBUILD + 10 {
        large.change(left(&format!("n{number}"), 1), usize::MAX).unwrap();
    }
    assert!(!large.needs_rebuild());
    large.change(entry("new", 1), usize::MAX).unwrap();
    assert!(large.needs_rebuild());
}

/// An endpoint that changes all the time must not take memory with each change: its name is stored once.
#[test]
fn repeated_changes_of_one_name_keep_memory_bounded() {
    let mut table = Table::new([entry("a", 1)]);
    table.change(entry("a", 2), 1).unwrap();
    let held = table.heap_bytes();
    for number in 0..100_000 {
        table.change(Listing { since_ms: number, ..entry("a", 1) }, 1).unwrap();
    }
    assert_eq!(table.heap_bytes(), held);
    assert!(!table.needs_rebuild());
    let longest = MIN_CHANGES_FOR_REBUILD * 10;
    let text = |number| Listing { address: format!("{number:064}"), ..entry("a", 1) };
    let worn = (0..longest).position(|number| {
        table.change(text(number), 1).unwrap();
        table.needs_rebuild()
    });
    assert!(worn.is_some());
}

fn design_size(number: u32) -> Listing {
    let [_, a, b, c] = number.to_be_bytes();
    Listing {
        name: format!("s-{:08x}", number.wrapping_mul(2_654_435_761)),
        address: format!("10.{a}.{b}.{c}:{}", 8000 + number % 1000),
        zone: format!("zone-{}", number % 12),
        kind: if number.is_multiple_of(9) { "wide" } else { "plain" }.to_owned(),
        group: number.wrapping_mul(7919) % 310_000,
        since_ms: if number.is_multiple_of(20) { 1_796_000_000_000 } else { 0 },
        ..entry("", 0)
    }
}

/// The memory of a sender depends on this: it holds two such tables while a list is received.
#[test]
fn table_of_design_size_stays_within_memory_limit() {
    let endpoints = 558_000;
    let mut table = Table::new((0..endpoints).map(design_size));
    assert_eq!((table.len(), table.destinations()), (endpoints as usize, 310_000));
    let most = endpoints as usize * TENTHS_EACH / 10;
    assert!(table.heap_bytes() <= most, "{} of {most}", table.heap_bytes());
    for number in (0..endpoints).step_by(4999) {
        let expected = design_size(number);
        assert_eq!(table.get(&expected.name), Some(expected.clone()));
        assert!(table.of(expected.group).contains(&expected));
    }
    let fresh = table.heap_bytes();
    for number in 0..=endpoints / REBUILD_SHARE as u32 {
        assert!(!table.needs_rebuild());
        let entry = Listing { weight: 0.5, ..design_size(number * 7 % endpoints) };
        table.change(entry, usize::MAX).unwrap();
    }
    assert!(table.needs_rebuild());
    // A table that needs a rebuild takes at most a tenth more.
    assert!(table.heap_bytes() - fresh <= most / 10, "{} on top of {fresh}", table.heap_bytes() - fresh);
}

#[test]
fn repeated_snapshots_keep_memory_bounded() {
    let (endpoints, mut table) = (5000, Table::default());
    let mut held = Vec::new();
    for round in 0..100 {
        table = Table::new(
            table
                .iter()
                .chain((0..endpoints).map(design_size))
                .map(|entry| Listing { weight: f64::from(round), ..entry }),
        );
        assert_eq!(table.len(), endpoints as usize);
        assert!(table.iter().all(|entry| entry.weight == f64::from(round)));
        held.push(table.heap_bytes());
    }
    // Names that occur twice in the input are stored twice until the next snapshot.
    let most = held[0] + endpoints as usize * 11;
    assert!(held.iter().all(|held| *held <= most), "{held:?} over {most}");
}
