//! Tests of the estimator's modules in virtual time: prediction, decisions, budgets and calibration.

mod budgets;
mod runs;
mod tier;

use std::collections::{BTreeMap, BTreeSet};

use myrtleyard::estimate::budget_lease::{Budgets, Cost, Insufficient};
use myrtleyard::estimate::charged::ChargedQuery;
use myrtleyard::estimate::decide::{LimitExceeded, Limits, RunningQuery, decide};
use myrtleyard::estimate::estimator::Estimator;
use myrtleyard::estimate::learned::{Calibration, FIGURES, Figure, Shape, Touched};
use myrtleyard::estimate::predict::{Estimate, STALE_AFTER, predict};
use myrtleyard::estimate::summary::{Summary, Version, weight};
use myrtleyard::estimate::summary_cache::{BUDGET, BURST, Catalogue, SummaryCache};
use myrtleyard::estimate::{Decision, Doubt, Reason};
use myrtleyard::membership::{MemberView, MembershipView, Rank, State as Held};
use myrtleyard::plans::Plan;
use myrtleyard::status::query::Touched as Link;
use myrtleyard::status::shards::Table;
use myrtleyard::status::{Entry, Generation, LogId, Query, ShardId, State, States};
use proptest::prelude::*;

/// Length of a span; `NOW` is the time at which the tiers of these tests are queried. Microseconds.
pub const SPAN: u64 = 60_000_000;
const NOW: u64 = 20 * SPAN;

pub fn entry(id: u64, tenant: &str, class: u8, destination: u32, taken_at: u64, state: State) -> Entry {
    Entry {
        id: format!("m-{id}"),
        class: ["note", "order", "bill"][usize::from(class % 3)].into(),
        tenant: tenant.into(),
        destination,
        key: None,
        taken_at,
        deadline: taken_at + SPAN,
        changed_at: taken_at,
        attempts: 0,
        states: States::default().with(State::Taken).with(state),
        owner: (0, 0),
    }
}

pub fn query(tenant: &str) -> Query {
    Query {
        tenant: tenant.into(),
        ids: vec![],
        from: 0,
        to: u64::MAX,
        states: vec![],
        classes: vec![],
        destinations: vec![],
        limit: 1_000,
        after: None,
    }
}

pub fn facts(size: usize) -> MembershipView {
    let fact = MemberView { state: Held::Alive, since: 0, incarnation: 1, same_zone: true };
    MembershipView { own: 0, members: vec![fact; size], isolated: false, minority: false }
}

/// Each owner's entries.
type Index = BTreeMap<Rank, Vec<Entry>>;

/// Each owner's entries as its log holds them: one for each id of a tenant.
fn indexed(owners: Rank, entries: Vec<(Rank, Entry)>) -> Index {
    let mut tables: BTreeMap<Rank, Table> = (0..owners).map(|owner| (owner, Table::default())).collect();
    for (number, (owner, entry)) in (1..).zip(entries) {
        tables.entry(owner).or_default().put(number, entry);
    }
    let rows = |table: &Table| table.rows().map(|row| row.entry.clone()).collect();
    tables.iter().map(|(owner, table)| (*owner, rows(table))).collect()
}

fn log(owner: Rank) -> LogId {
    LogId { owner, generation: Generation(u64::from(owner) + 100) }
}

fn spans(entries: &[Entry]) -> BTreeMap<u32, Vec<&Entry>> {
    let mut spans: BTreeMap<u32, Vec<&Entry>> = BTreeMap::new();
    entries.iter().for_each(|e| spans.entry((e.taken_at / SPAN) as u32).or_default().push(e));
    spans
}

fn catalogue(owner: Rank, entries: &[Entry], as_of: u64) -> (Catalogue, Vec<Summary>) {
    let version = Version { upto: entries.len() as u64, made: 1 };
    let spans = spans(entries);
    let catalogue = Catalogue {
        log: log(owner),
        incarnation: 1,
        version,
        as_of,
        slack: 0,
        length: SPAN,
        spans: spans.keys().map(|span| (*span, version)).collect(),
        older: false,
    };
    let summary = |(span, list): (u32, Vec<&Entry>)| Summary::of(log(owner), span, version, list);
    // Encoded and decoded, so that the cache holds what a receiver would.
    let sent = |summary: Summary| postcard::from_bytes(&postcard::to_allocvec(&summary).unwrap()).unwrap();
    (catalogue, spans.into_iter().map(summary).map(sent).collect())
}

fn settled_cache(index: &Index) -> SummaryCache {
    let mut known = SummaryCache::new(0, index.len(), 1, NOW);
    for (owner, entries) in index {
        let (catalogue, summaries) = catalogue(*owner, entries, NOW);
        known.publish(NOW, catalogue, summaries);
    }
    known
}

/// What a query really touches, read as the index reads it: by id, or through a log's time range up to the
/// first row beyond the limit.
pub fn touch<'a>(logs: impl IntoIterator<Item = Vec<&'a Entry>>, query: &Query) -> Touched {
    let stateless = Query { states: vec![], ..query.clone() };
    let from = query.from.max(query.after.as_ref().map_or(0, |after| after.0));
    let mut touched = Touched::default();
    for mut log in logs {
        log.sort_by(|a, b| (a.taken_at, &a.id).cmp(&(b.taken_at, &b.id)));
        let (mut shards, mut matched) = (BTreeSet::new(), 0);
        for e in log.into_iter().filter(|e| (from..query.to).contains(&e.taken_at)) {
            let named = e.tenant == query.tenant && query.ids.contains(&e.id);
            if !named && !query.ids.is_empty() {
                continue;
            }
            shards.insert(e.taken_at / SPAN);
            touched.figures[Figure::Entries as usize] += 1;
            touched.figures[Figure::Bytes as usize] += weight(e);
            if e.tenant == query.tenant && stateless.wants(e) {
                matched += 1;
                if matched > query.limit && query.ids.is_empty() {
                    break;
                }
                touched.figures[Figure::Rows as usize] += u64::from(query.wants(e));
            }
        }
        touched.figures[Figure::Shards as usize] += shards.len() as u64;
    }
    touched
}

fn logs(index: &Index) -> Vec<Vec<&Entry>> {
    index.values().map(|entries| entries.iter().collect()).collect()
}

fn predicted(index: &Index, known: &SummaryCache, query: &Query) -> Estimate {
    predict(query, known, Some(&facts(index.len())), &Calibration::default(), 0, NOW)
}

fn any_entry() -> impl Strategy<Value = Entry> {
    let tenant = prop_oneof![3 => 0..4u32, 2 => 0..90u32];
    (0..400u64, tenant, 0..3u8, 0..40u32, 10 * SPAN..NOW, 0..6usize).prop_map(
        |(id, tenant, class, destination, at, state)| {
            entry(id, &format!("t{tenant}"), class, destination, at, State::ALL[state])
        },
    )
}

fn any_query() -> impl Strategy<Value = Query> {
    let times = (8 * SPAN..NOW, 0..12 * SPAN);
    let ids = prop::collection::vec(0..500u64, 0..5);
    let lists = (prop::collection::vec(0..6usize, 0..3), prop::collection::vec(0..3usize, 0..2));
    let to = prop::collection::vec(0..50u32, 0..3);
    ((0..6u32, any::<bool>()), times, ids, lists, to).prop_map(
        |((tenant, after), (from, long), ids, lists, to)| Query {
            ids: ids.iter().map(|id| format!("m-{id}")).collect(),
            from,
            to: (from + long).min(NOW),
            states: lists.0.into_iter().map(|at| State::ALL[at]).collect(),
            classes: lists.1.into_iter().map(|at| ["note", "order", "bill"][at].to_owned()).collect(),
            destinations: to,
            limit: if tenant == 5 { 3 } else { 1_000 },
            after: after.then(|| (from + long / 2, "m-200".to_owned())),
            ..query(&format!("t{tenant}"))
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn settled_tier_excludes_no_shard_with_a_row_and_nothing_exceeds_its_bounds(
        entries in prop::collection::vec((0..4u16, any_entry()), 0..600),
        queries in prop::collection::vec(any_query(), 1..12),
    ) {
        let index = indexed(4, entries);
        let known = settled_cache(&index);
        for query in queries {
            for held in known.all() {
                let owner = held.catalogue.log.owner;
                for (span, list) in spans(&index[&owner]) {
                    let row = list.iter().any(|e| query.may_want(e));
                    let (summary, _) = held.summary(span, held.catalogue.version).unwrap();
                    prop_assert!(!row || summary.part(&query).is_some(), "{query:?} {owner} {span}");
                }
            }
            let said = predicted(&index, &known, &query).prediction;
            let touched = touch(logs(&index), &query).figures;
            let only_full = said.doubts.iter().all(|d| matches!(d, Doubt::Full { .. }));
            prop_assert!(said.bound && only_full, "{said:?}");
            let told = [said.shards, said.entries, said.bytes];
            for (told, found) in told.into_iter().zip(touched) {
                prop_assert!(found <= told.most && told.least <= told.expected, "{query:?} {told:?} {found}");
            }
            prop_assert!(touched[Figure::Rows as usize] <= said.rows.most);
            prop_assert!(touched[0] >= said.shards.least, "{query:?} {:?} {touched:?}", said.shards);
        }
    }
}

fn evenly_filled(owners: Rank, each: u64, tenant: impl Fn(u64) -> String) -> Index {
    let of = |owner: Rank| {
        (0..each)
            .map(|n| {
                let at = 10 * SPAN + (NOW - 10 * SPAN) * n / each;
                entry(
                    n + 1_000_000 * u64::from(owner),
                    &tenant(n),
                    (n % 3) as u8,
                    (n % 20) as u32,
                    at,
                    State::Delivered,
                )
            })
            .collect()
    };
    (0..owners).map(|owner| (owner, of(owner))).collect()
}

#[test]
fn empty_tier_predicts_zero_and_single_sender_predicts_its_own_shards_without_datagrams() {
    let empty: Index = (0..3).map(|owner| (owner, vec![])).collect();
    let said = predicted(&empty, &settled_cache(&empty), &Query { to: NOW, ..query("a") }).prediction;
    assert_eq!((said.shards.most, said.bytes.most, said.wire_bytes.most, said.bound), (0, 0, 0, true));
    let one = evenly_filled(1, 500, |_| "a".into());
    let said = predicted(&one, &settled_cache(&one), &Query { to: NOW, ..query("a") }).prediction;
    let touched = touch(logs(&one), &query("a")).figures;
    assert_eq!((said.shards.least, said.shards.expected, said.shards.most), (10, 10, 10));
    assert_eq!([said.entries.most, said.bytes.most], [touched[1], touched[2]]);
    assert_eq!((said.wire_bytes.most, said.datagrams.most), (0, 0), "own shards need no datagram");
}

#[test]
fn shard_without_summary_counts_as_touched_and_its_owner_is_listed_as_missing() {
    let index = evenly_filled(3, 600, |_| "a".into());
    let mut known = SummaryCache::new(0, 3, 1, NOW);
    for (owner, entries) in &index {
        let (catalogue, mut summaries) = catalogue(*owner, entries, NOW);
        summaries.retain(|summary| *owner != 2 || summary.span != 15);
        known.publish(NOW, catalogue, summaries);
    }
    let asked_for = Query { from: 15 * SPAN, to: 16 * SPAN, ..query("a") };
    let said = predicted(&index, &known, &asked_for).prediction;
    assert!(!said.bound && said.doubts.contains(&Doubt::Missing { owner: 2 }), "{:?}", said.doubts);
    assert!(said.shards.holds(3) && said.shards.expected == 3, "{:?}", said.shards);
    // A span with a summary is not in doubt.
    let said = predicted(&index, &known, &Query { from: 16 * SPAN, to: 17 * SPAN, ..query("a") }).prediction;
    assert!(said.bound && said.doubts.is_empty(), "{:?}", said.doubts);
}

#[test]
fn shards_of_ended_incarnation_or_dead_sender_are_counted_as_doubtful() {
    let index = evenly_filled(2, 300, |_| "a".into());
    let mut known = settled_cache(&index);
    let before = predicted(&index, &known, &Query { to: NOW, ..query("a") }).prediction;
    let (mut later, _) = catalogue(1, &[], NOW);
    later.log.generation = Generation(7);
    later.incarnation = 2;
    known.publish(NOW, later.clone(), vec![]);
    let said = predicted(&index, &known, &Query { to: NOW, ..query("a") }).prediction;
    assert!(!said.bound && said.doubts == [Doubt::Gone { owner: 1 }], "{:?}", said.doubts);
    assert!(said.entries.most >= before.entries.most, "{:?}", said.entries);
    // A late catalogue of the ended incarnation does not become the current one.
    let (mut late, _) = catalogue(1, &index[&1], NOW);
    late.version.made = 9;
    known.publish(NOW, late, vec![]);
    assert_eq!(known.current(1).map(|held| held.catalogue.log.generation), Some(Generation(7)));
    let mut dead = facts(2);
    dead.members[1].state = Held::Dead;
    let known = settled_cache(&index);
    let said =
        predict(&Query { to: NOW, ..query("a") }, &known, Some(&dead), &Calibration::default(), 0, NOW);
    assert!(!said.prediction.bound && said.prediction.doubts == [Doubt::Gone { owner: 1 }]);
    assert!(
        said.prediction.time.1 > before.time.1 + 200_000,
        "the surcharge is missing: {:?}",
        said.prediction.time
    );
}

#[test]
fn stale_catalogue_is_reported_and_widens_intervals() {
    let index = evenly_filled(2, 300, |_| "a".into());
    let known = settled_cache(&index);
    let now = NOW + STALE_AFTER;
    let ask =
        |at: u64| predict(&query("a"), &known, Some(&facts(2)), &Calibration::default(), 0, at).prediction;
    let (fresh, old) = (ask(NOW), ask(now));
    assert!(fresh.doubts.is_empty() && old.doubts.contains(&Doubt::Old { owner: 1, age: STALE_AFTER }));
    assert!(old.entries.expected > fresh.entries.expected && old.entries.most > fresh.entries.most * 2);
}

#[test]
fn large_tenant_is_distinguished_from_small_ones_without_stored_names() {
    // A hundred small tenants in each shard, most of them counted together; "big" has half of all entries.
    let index =
        evenly_filled(2, 4_000, |n| if n % 2 > 0 { "big".into() } else { format!("s{}", n / 2 % 100) });
    let known = settled_cache(&index);
    let ask = |tenant: &str| {
        let query = Query { to: NOW, ..query(tenant) };
        (predicted(&index, &known, &query).prediction, touch(logs(&index), &query).figures)
    };
    let (said, found) = ask("big");
    assert!(
        said.rows.most >= found[5] && said.rows.expected.abs_diff(found[5]) < 300,
        "{:?} {found:?}",
        said.rows
    );
    assert!(
        said.entries.expected < 7_000 && said.entries.holds(found[1]),
        "the row limit ends the read early: {said:?}"
    );
    for small in 0..100 {
        let (said, found) = ask(&format!("s{small}"));
        assert!(said.rows.most >= found[5] && said.rows.expected < 100, "{small} {:?} {found:?}", said.rows);
        assert_eq!(
            (said.entries.expected, found[1]),
            (8_000, 8_000),
            "it reads through the big tenant's entries"
        );
    }
}

#[test]
fn full_filter_is_reported_and_excludes_no_entry() {
    let mut index: Index = (0..1).map(|owner| (owner, vec![])).collect();
    let many = (0..40_000).map(|n| entry(n, "a", 0, 1, 15 * SPAN + n, State::Delivered));
    index.entry(0).or_default().extend(many);
    let known = settled_cache(&index);
    let ids = (0..200).map(|n| format!("m-{n}")).collect();
    let said = predicted(&index, &known, &Query { ids, to: NOW, ..query("a") }).prediction;
    assert_eq!(said.doubts, [Doubt::Full { owner: 0 }]);
    assert!(said.entries.most >= 200 && said.bound, "{:?}", said.entries);
    let ids = vec!["nobody's".to_owned()];
    let few = evenly_filled(1, 1_000, |_| "a".into());
    let said = predicted(&few, &settled_cache(&few), &Query { ids, to: NOW, ..query("a") }).prediction;
    assert!(said.doubts.is_empty() && said.shards.most <= 1, "ten shards of 100 ids: {:?}", said.shards);
}

#[test]
fn counters_at_maximum_saturate() {
    let mut summary =
        Summary::of(log(0), 5, Version::default(), &[entry(1, "a", 0, 1, 5 * SPAN, State::Taken)]);
    summary.cells[0].entries = u64::MAX;
    summary.cells[0].bytes = u64::MAX;
    summary.cells.push(summary.cells[0]);
    assert_eq!(summary.part(&query("a")).map(|part| part.most), Some(u64::MAX));
    let (mut catalogue, _) = catalogue(0, &[entry(1, "a", 0, 1, 5 * SPAN, State::Taken)], u64::MAX);
    catalogue.slack = u64::MAX;
    let mut known = SummaryCache::new(0, 2, 1, u64::MAX);
    known.publish(u64::MAX, catalogue.clone(), vec![summary.clone()]);
    (catalogue.log, summary.log) = (log(1), log(1));
    known.publish(u64::MAX, catalogue, vec![summary]);
    let said = predict(&query("a"), &known, Some(&facts(2)), &Calibration::default(), 0, u64::MAX);
    assert_eq!((said.prediction.entries.most, said.prediction.bytes.most), (u64::MAX, u64::MAX));
    let mut learned = Calibration::default();
    for _ in 0..200 {
        learned.learn(&said.basis, &Touched { figures: [u64::MAX; FIGURES], took: u64::MAX });
    }
    let said = predict(&query("a"), &known, Some(&facts(2)), &learned, 0, u64::MAX).prediction;
    assert!(said.bytes.most > u64::MAX / 2 && said.time.1 >= said.time.0, "{said:?}");
}

#[test]
fn query_beyond_its_plan_is_narrowed_to_the_newest_or_refused_with_the_reason() {
    let index = evenly_filled(2, 1_000, |_| "a".into());
    let known = settled_cache(&index);
    let decide_by = |plan: &Plan, query: &Query, left| {
        let limits = Limits { plan, within: 800_000, unix: NOW };
        decide(query, limits, left, &mut |query| predicted(&index, &known, query))
    };
    let all = Query { to: NOW, ..query("a") };
    assert_eq!(decide_by(&Plan::default(), &all, Ok(())).decision, Decision::Run);
    let plan = Plan { shards: 6, ..Plan::default() };
    let decided = decide_by(&plan, &all, Ok(()));
    let Decision::Narrowed { from, reason: Reason::Shards } = decided.decision else {
        panic!("{:?}", decided.decision)
    };
    let touched = touch(logs(&index), &Query { from, ..all.clone() });
    assert!((4..=6).contains(&touched.figures[0]), "{touched:?}");
    let plan = Plan { bytes_per_min: 20_000, ..Plan::default() };
    let decided = decide_by(&plan, &all, Ok(())).decision;
    assert!(matches!(decided, Decision::Narrowed { reason: Reason::Bytes, .. }), "{decided:?}");
    let ids = Query { ids: vec!["m-1".into(), "m-1000002".into()], ..all.clone() };
    let decided = decide_by(&Plan { shards: 1, ..Plan::default() }, &ids, Ok(())).decision;
    assert_eq!(decided, Decision::Refused { reason: Reason::Shards });
    let short = Insufficient { after: 5, reason: Reason::Queries };
    let decided = decide_by(&Plan::default(), &all, Err(short)).decision;
    assert_eq!(decided, Decision::Later { after: 5, reason: Reason::Queries });
    let limits = Limits { plan: &Plan::default(), within: 100, unix: NOW };
    let decided = decide(&ids, limits, Ok(()), &mut |query| predicted(&index, &known, query)).decision;
    assert_eq!(decided, Decision::Refused { reason: Reason::Time });
}

#[test]
fn query_at_its_bound_is_cut_off_and_its_unused_charge_is_returned() {
    let index = evenly_filled(1, 100, |_| "a".into());
    let known = settled_cache(&index);
    let estimate = predicted(&index, &known, &Query { from: 15 * SPAN, to: NOW, ..query("a") });
    let mut budgets = Budgets::new(0, 1, 0);
    let (plan, whole) = (Plan::default(), Cost { queries: 1, bytes: estimate.prediction.bytes.most });
    let now = 200_000_000;
    assert_eq!(budgets.reserve(now, &facts(1), "a", &plan, whole), Ok(()));
    let before = budgets.remaining(now, "a");
    let mut running = RunningQuery::begin(&mut budgets, now, "a", &estimate).unwrap();
    assert_eq!(budgets.remaining(now, "a").bytes, before.bytes - whole.bytes);
    assert_eq!((0..5).map(|_| running.shard()).collect::<Result<Vec<_>, _>>().map(|s| s.len()), Ok(5));
    assert_eq!(running.shard(), Err(LimitExceeded::Shards(5)));
    assert_eq!(running.read(500), Ok(()));
    assert_eq!(running.read(u64::MAX), Err(LimitExceeded::Bytes(500)));
    assert_eq!(running.read(whole.bytes), Err(LimitExceeded::Bytes(500)));
    assert_eq!(running.end(&mut budgets, now), (5, 500));
    assert_eq!(budgets.remaining(now, "a"), Cost { queries: before.queries - 1, bytes: before.bytes - 500 });
}

#[test]
fn summaries_reach_all_senders_within_the_byte_budget_and_the_newest_wins() {
    let size = 12;
    let index = evenly_filled(size, 2_000, |n| format!("t{}", n % 30));
    let mut senders: Vec<SummaryCache> =
        (0..size).map(|r| SummaryCache::new(r, size.into(), u64::from(r), 0)).collect();
    for (owner, entries) in &index {
        let (catalogue, summaries) = catalogue(*owner, entries, NOW);
        senders[usize::from(*owner)].publish(0, catalogue, summaries);
    }
    let lacking = |known: &SummaryCache| {
        let held = known.all().map(|held| held.catalogue.spans.len() - held.summaries.len());
        (usize::from(size) - known.all().count()) * 10 + held.sum::<usize>()
    };
    let mut last = 0;
    for now in (0..120_000_000u64).step_by(50_000) {
        for rank in 0..size {
            let mut out = vec![];
            senders[usize::from(rank)].tick(now, Some(&facts(size.into())), &mut |to, bytes| {
                out.push((to, bytes.to_vec()));
                true
            });
            let sent = senders[usize::from(rank)].counts.sent_bytes;
            assert!(sent <= BURST + BUDGET * (now / 50_000 + 1) / 20, "{sent} bytes by {now}");
            for (n, (to, bytes)) in out.into_iter().enumerate() {
                // One message in eight is lost.
                if !(now / 50_000 + n as u64).is_multiple_of(8) {
                    senders[usize::from(to)].receive(now, rank, &bytes);
                }
            }
        }
        if senders.iter().any(|known| lacking(known) > 0) {
            last = now;
        }
    }
    assert!(last < 100_000_000, "all summaries had spread after {last}");
    for known in &senders {
        assert!(known.counts.sent_bytes <= BUDGET * 120 + BURST, "{:?}", known.counts);
    }
    // All senders get the newest version of a changed catalogue.
    let (mut newer, _) = catalogue(3, &index[&3], NOW + 1);
    newer.version.upto += 1;
    senders[3].publish(120_000_000, newer.clone(), vec![]);
    let mut ages = vec![];
    for now in (120_000_000..160_000_000u64).step_by(50_000) {
        for rank in 0..size {
            let mut out = vec![];
            senders[usize::from(rank)].tick(now, None, &mut |to, bytes| {
                out.push((to, bytes.to_vec()));
                true
            });
            out.into_iter().for_each(|(to, bytes)| senders[usize::from(to)].receive(now, rank, &bytes));
        }
    }
    for known in &senders {
        let held = known.current(3).unwrap();
        assert_eq!(held.catalogue, newer);
        ages.push(held.age(160_000_000));
    }
    assert!(ages.iter().all(|age| *age >= 39_000_000), "ages are not passed on: {ages:?}");
}

#[test]
fn missed_intervals_widen_are_reported_and_reach_the_target_again() {
    let index = evenly_filled(2, 500, |_| "a".into());
    let known = settled_cache(&index);
    let mut learned = Calibration::default();
    let asked_for = query("a");
    let shape = Shape::of(&asked_for);
    let mut rng = fastrand::Rng::with_seed(5);
    let mut play = |learned: &mut Calibration, queries: usize, off: f64| {
        let mut told = 0;
        for _ in 0..queries {
            let said = predict(&asked_for, &known, Some(&facts(2)), learned, 0, NOW);
            told += usize::from(
                said.prediction.doubts.iter().any(|d| matches!(d, Doubt::Missed { wider } if *wider > 0)),
            );
            let found = said.basis.raw.map(|raw| (raw * off * (0.5 + rng.f64())) as u64);
            learned.learn(&said.basis, &Touched { figures: found, took: 3_000 });
        }
        told
    };
    play(&mut learned, 600, 1.0);
    let calm = learned.hit_rate(shape, Figure::Bytes).unwrap();
    assert!((83..=98).contains(&calm), "{calm}");
    // Queries suddenly touch nearly three times as much, and then ten times: the prediction must say so.
    let told = play(&mut learned, 60, 3.0) + play(&mut learned, 60, 10.0);
    assert!(told > 20, "{told}");
    play(&mut learned, 600, 10.0);
    let again = learned.hit_rate(shape, Figure::Bytes).unwrap();
    assert!((83..=98).contains(&again), "{again}");
}

#[test]
fn clock_step_back_removes_the_bound_for_the_time_stepped_over() {
    let mut estimator = Estimator::new(0, 1, 1, SPAN, BTreeMap::new(), 1, 0);
    estimator.set_view(facts(1));
    let mut entries = vec![entry(1, "a", 0, 1, NOW - 1_000, State::Taken)];
    let shard = |e: &Entry| ShardId { owner: 0, span: (e.taken_at / SPAN) as u32 };
    let made = |estimator: &mut Estimator, now: u64, unix: u64, entries: &[Entry]| {
        let log = (log(0), entries.len() as u64);
        estimator.summarise(now, unix, log, || entries.iter().map(|e| (shard(e), e)));
    };
    made(&mut estimator, 0, NOW, &entries);
    let upto = |to: u64| Query { to, ..query("a") };
    assert!(estimator.predict(0, &upto(NOW)).prediction.bound);
    // Ten seconds back: messages accepted from now on lie before the time published as complete.
    let back = NOW - 10_000_000;
    entries.push(entry(2, "a", 0, 1, back + 5, State::Taken));
    made(&mut estimator, 5_000_000, back + 10, &entries);
    let said = estimator.predict(5_000_000, &upto(NOW)).prediction;
    assert!(!said.bound && said.entries.most >= 2, "{said:?}");
    assert!(!estimator.predict(5_000_000, &upto(back)).prediction.bound);
    assert!(estimator.predict(5_000_000, &upto(back - 10_000_000)).prediction.bound);
}

/// Guards against three faults: a read of one log at two senders exceeding its bound, a 90 % interval cutting
/// off one read in ten where there is no hard bound, and bytes read beyond a charge not being charged.
#[test]
fn read_by_plan_is_bounded_per_log_and_charged_for_all_it_read() {
    let plans = [("default".to_owned(), Plan { shards: 20, ..Plan::default() })].into();
    let mut estimator = Estimator::new(0, 1, 7, SPAN, plans, 1, 0);
    estimator.set_view(facts(1));
    let now = 200_000_000;
    let mut charged = ChargedQuery::begin(&mut estimator, now, &query("a")).unwrap();
    let most = charged.decided.estimate.prediction.bytes.most;
    let before = estimator.budgets.remaining(now, "a");
    let link = |life: u64, server, shards, bytes| Link {
        server,
        log: LogId { owner: 0, generation: Generation(life) },
        shards,
        entries: 1,
        bytes,
        wire_bytes: 0,
        took_us: 0,
    };
    assert!(!charged.decided.estimate.prediction.bound);
    charged.touched(&[link(1, 0, 18, most), link(1, 1, 18, 50)]);
    assert_eq!(charged.check(), Ok(()), "one log read at two senders counts once");
    charged.touched(&[link(2, 0, 3, 50)]);
    assert_eq!(charged.check(), Err(LimitExceeded::Shards(21)));
    let cut = charged.check().map(|()| None);
    charged.end(&mut estimator, now, cut);
    assert_eq!(estimator.budgets.remaining(now, "a"), Cost { bytes: before.bytes - 100, ..before });
    assert_eq!((estimator.counts.cut, estimator.counts.read), (1, most + 100));
    // A read that failed before it read anything costs one query and no bytes.
    let failed = ChargedQuery::begin(&mut estimator, now, &query("a")).unwrap();
    failed.end(&mut estimator, now, Ok(None));
    assert_eq!(estimator.budgets.remaining(now, "a").bytes, before.bytes - 100);
}
