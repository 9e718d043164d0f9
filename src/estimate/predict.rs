//! Predicts what a query will touch, from summaries alone.
//!
//! A shard is *touched* if an entry is read in it: for a query by ids, one that has such an id and belongs to
//! the tenant; otherwise any entry in the query's time range, up to the row at which a log's part of the
//! answer is full. A shard is excluded only if its summary shows that it has no such entry, and so no row. On
//! a settled tier (every catalogue and summary is present, no owner is in doubt, and the query covers no time
//! after the catalogues) `most` is a hard bound; otherwise it is the upper end of a 90 % interval. What may
//! have been written since is added at the rate at which the owner's newest spans grew.

use super::learned::{Basis, Calibration, FIGURES, Figure, Shape};
use super::summary_cache::{CachedCatalogue, SummaryCache};
use super::{Doubt, Interval, Prediction};
use crate::channel::SEGMENT;
use crate::interface::Micros;
use crate::membership::{MembershipView, Rank, State};
use crate::status::Query;

/// Age from which a catalogue counts as stale.
pub const STALE_AFTER: Micros = 30_000_000;
/// A member that has been alive for less than this counts as starting.
pub const STARTING: Micros = 10_000_000;
/// Added to the 99th percentile of a query that reads at a sender which is suspected or isolated.
pub const SUSPECT_TAIL: Micros = 250_000;
/// The same for a sender that is starting.
pub const STARTING_TAIL: Micros = 100_000;
/// Maximum doubts listed in a prediction.
pub const MAX_DOUBTS: usize = 64;
/// Bytes of a sub-query to one sender and of its partial result, without ids and rows.
const SUB_QUERY_BYTES: u64 = 128;
/// Bytes of a datagram beside its segment.
const DATAGRAM_OVERHEAD: u64 = 256 - SEGMENT as u64;
/// Round trip assumed until a link has been measured, microseconds.
pub const DEFAULT_ROUND_TRIP: f64 = 2_000.0;
/// Time for reading one entry, microseconds, until calibration has enough samples.
const READ_TIME: f64 = 0.5;
/// Widening of the intervals per owner in doubt, as a fraction of all owners.
const DOUBT_WIDENING: f64 = 2.0;

/// A prediction, and the values it was calculated from.
#[derive(Debug, Clone, PartialEq)]
pub struct Estimate {
    /// The prediction as reported.
    pub prediction: Prediction,
    /// To be passed to [`Calibration::learn`] with what was touched.
    pub basis: Basis,
}

#[derive(Default)]
struct Totals {
    least: u64,
    shards: f64,
    most: u64,
    entries: f64,
    most_entries: u64,
    bytes: f64,
    most_bytes: u64,
    rows: f64,
    most_rows: u64,
    /// Shards that are listed without a summary, and may be touched.
    blind: u64,
    /// For each other sender: expected and most shards, and rows that it returns.
    sub_queries: Vec<(Rank, f64, u64, f64)>,
    doubts: Vec<Doubt>,
    unsure: bool,
    /// Owners in doubt; `owners` is the number of all.
    doubtful: f64,
    owners: f64,
}

impl Totals {
    fn doubt(&mut self, doubt: Doubt, unsure: bool) {
        if self.doubts.len() < MAX_DOUBTS && !self.doubts.contains(&doubt) {
            self.doubts.push(doubt);
        }
        if unsure {
            self.unsure = true;
            self.doubtful += 1.0;
        }
    }
}

/// Predicts what a query will touch. `own` is read without a datagram; `now` is on the clock by which `known`
/// measured the ages of catalogues.
pub fn predict(
    query: &Query,
    known: &SummaryCache,
    view: Option<&MembershipView>,
    learned: &Calibration,
    own: Rank,
    now: Micros,
) -> Estimate {
    let mut sum = Totals::default();
    let members = view.map_or(0, |view| view.members.len());
    for owner in (0..members).map(|rank| rank as Rank).filter(|owner| known.current(*owner).is_none()) {
        // An owner that was never heard of may be partitioned off and hold many entries.
        let gone = known.all().any(|held| held.catalogue.log.owner == owner);
        let doubt = if gone { Doubt::Gone { owner } } else { Doubt::Missing { owner } };
        sum.owners += 1.0;
        sum.doubt(doubt, true);
    }
    for held in known.all() {
        add_log(query, held, view, now, &mut sum);
    }
    let typical =
        if sum.shards > 0.0 { (sum.entries / sum.shards, sum.bytes / sum.shards) } else { (0.0, 0.0) };
    if sum.blind > 0 {
        // A shard without a summary is assumed to be like the others, if it has any entries of the tenant.
        let blind = sum.blind as f64 * if sum.shards > 0.0 { 0.9 } else { 0.5 };
        let share = if sum.entries > 0.0 { sum.rows / sum.entries } else { 1.0 };
        sum.rows += blind * typical.0 * share;
        sum.shards += blind;
        sum.entries += blind * typical.0;
        sum.bytes += blind * typical.1;
        sum.most = sum.most.saturating_add(sum.blind);
        sum.unsure = true;
    }
    calibrate(query, sum, (view, now), learned, own)
}

/// Adds the shards of one log.
fn add_log(
    query: &Query,
    held: &CachedCatalogue,
    view: Option<&MembershipView>,
    now: Micros,
    sum: &mut Totals,
) {
    let catalogue = &held.catalogue;
    let owner = catalogue.log.owner;
    let length = catalogue.length.max(1);
    let fact = view.and_then(|view| view.members.get(usize::from(owner)));
    let dead = fact.is_some_and(|fact| matches!(fact.state, State::Dead | State::Left));
    sum.owners += 1.0;
    let mut own = Totals::default();
    let mut wanted = (0.0, 0u64);
    let (mut lacking, mut full) = (0, false);
    for (span, version) in &catalogue.spans {
        let start = u64::from(*span).saturating_mul(length);
        let after = query.after.as_ref().map_or(query.from, |after| query.from.max(after.0));
        if start >= query.to || start.saturating_add(length) <= after {
            continue;
        }
        let Some((summary, new)) = held.summary(*span, *version) else {
            lacking += 1;
            continue;
        };
        // A summary older than the catalogue may lack entries.
        sum.unsure |= !new;
        let Some(part) = summary.part(query) else { continue };
        full |= !query.ids.is_empty() && summary.ids.full();
        own.shards += if part.surely { 1.0 } else { -(-part.entries).exp_m1() };
        own.least += u64::from(part.surely && !dead);
        own.most = own.most.saturating_add(1);
        own.entries += part.entries;
        own.most_entries = own.most_entries.saturating_add(part.most);
        own.bytes += part.bytes;
        own.most_bytes = own.most_bytes.saturating_add(part.most_bytes);
        own.rows += part.rows.0;
        wanted = (wanted.0 + part.rows.1, wanted.1.saturating_add(part.most_rows));
    }
    sum.blind += lacking;
    if lacking > 0 {
        sum.doubt(Doubt::Missing { owner }, true);
    }
    if full {
        sum.doubt(Doubt::Full { owner }, false);
    }
    if catalogue.older {
        sum.doubt(Doubt::Missing { owner }, true);
    }
    let age = held.age(now);
    if dead || held.over.is_some() {
        sum.doubt(Doubt::Gone { owner }, true);
    } else {
        if age >= STALE_AFTER {
            sum.doubt(Doubt::Old { owner, age }, true);
        }
        sum.unsure |= add_growth(query, held, age, &mut own, &mut wanted.0);
    }
    if own.most == 0 && own.shards == 0.0 {
        return;
    }
    // Reading a log ends at the first row beyond the limit.
    let limit = f64::from(query.limit) + 1.0;
    let through = if query.ids.is_empty() { (limit / wanted.0.max(limit)).min(1.0) } else { 1.0 };
    if wanted.1 > u64::from(query.limit) && query.ids.is_empty() {
        own.least = own.least.min(1);
    }
    own.shards = if through < 1.0 { (own.shards * through).max(1.0) } else { own.shards };
    sum.least += own.least;
    sum.shards += own.shards;
    sum.most = sum.most.saturating_add(own.most);
    sum.entries += own.entries * through;
    sum.most_entries = sum.most_entries.saturating_add(own.most_entries);
    sum.bytes += own.bytes * through;
    sum.most_bytes = sum.most_bytes.saturating_add(own.most_bytes);
    sum.rows += own.rows * through;
    sum.most_rows = sum.most_rows.saturating_add(wanted.1);
    sum.sub_queries.push((owner, own.shards, own.most, own.rows * through));
}

/// Adds what may have been written since the catalogue was made. Returns whether anything may have been.
fn add_growth(
    query: &Query,
    held: &CachedCatalogue,
    age: Micros,
    own: &mut Totals,
    wanted: &mut f64,
) -> bool {
    let catalogue = &held.catalogue;
    if query.to <= catalogue.as_of.saturating_sub(catalogue.slack) {
        return false;
    }
    let until = query.to.min(catalogue.as_of.saturating_add(age));
    let from = query.from.max(catalogue.as_of);
    let window = until.saturating_sub(from);
    // The newest two spans give the current rate: a single one may have just begun.
    let mut rate = (0.0, 0.0, 0.0, 0.0, Micros::MAX);
    for (span, (summary, _)) in held.summaries.iter().rev().take(2) {
        let open = Query { from: 0, to: Micros::MAX, after: None, ..query.clone() };
        let part = summary.part(&open).unwrap_or_default();
        let begun = u64::from(*span).saturating_mul(catalogue.length);
        rate.0 += part.entries;
        rate.1 += part.bytes;
        rate.2 += part.rows.0;
        rate.3 += part.rows.1;
        rate.4 = rate.4.min(begun);
    }
    let seen = catalogue.as_of.saturating_sub(rate.4);
    // The ids that are asked for were assigned before.
    if window == 0 || seen == 0 || rate.0 == 0.0 || !query.ids.is_empty() {
        return true;
    }
    let times = window as f64 / seen as f64;
    own.entries += rate.0 * times;
    own.bytes += rate.1 * times;
    own.rows += rate.2 * times;
    *wanted += rate.3 * times;
    let length = catalogue.length.max(1);
    let spans = until / length - catalogue.as_of / length;
    let known = catalogue.spans.last().is_some_and(|(span, _)| u64::from(*span) == catalogue.as_of / length);
    let begun = spans.saturating_add(u64::from(!known));
    let each = rate.0 * times / (spans as f64 + 1.0);
    own.shards += begun as f64 * -(-each).exp_m1();
    own.most = own.most.saturating_add(begun);
    true
}

/// Calibrates the sums and makes them a prediction.
fn calibrate(
    query: &Query,
    mut sum: Totals,
    (view, now): (Option<&MembershipView>, Micros),
    learned: &Calibration,
    own: Rank,
) -> Estimate {
    let shape = Shape::of(query);
    let ids: u64 = query.ids.iter().map(|id| id.len() as u64 + 1).sum();
    let row = if sum.entries > 0.0 { sum.bytes / sum.entries } else { 0.0 };
    let (mut wire, mut datagrams) = ((0.0, 0), (0.0, 0));
    let (mut time, mut tail) = (DEFAULT_ROUND_TRIP / 4.0 + sum.entries * READ_TIME, 0);
    let limit = f64::from(query.limit);
    for (rank, shards, most, rows) in &sum.sub_queries {
        if *rank == own {
            continue;
        }
        let chance = shards.min(1.0);
        let body = (ids + SUB_QUERY_BYTES) as f64 + rows.min(limit) * row;
        let packets = (body / SEGMENT as f64).ceil() + 1.0;
        // Each datagram is acknowledged; acknowledgements add half as many.
        datagrams.0 += chance * packets * 1.5;
        wire.0 += chance * (body + packets * 1.5 * DATAGRAM_OVERHEAD as f64);
        let least = ids + SUB_QUERY_BYTES + (sum.most_bytes / sum.most.max(1)).saturating_mul(*most);
        let packets = least.div_ceil(SEGMENT as u64) + 1;
        datagrams.1 = packets.saturating_mul(4).saturating_add(datagrams.1);
        wire.1 = packets.saturating_mul(4 * 256).saturating_add(wire.1);
        time = f64::max(time, learned.round_trip(*rank, DEFAULT_ROUND_TRIP) + sum.entries * READ_TIME);
        tail = tail.max(tail_surcharge(*rank, view, now));
    }
    let wider = learned.missed(shape);
    if let Some(wider) = wider {
        sum.doubt(Doubt::Missed { wider }, false);
    }
    let doubt = DOUBT_WIDENING * sum.doubtful / sum.owners.max(1.0);
    let round = |figure: f64| figure.round() as u64;
    let structural: [(f64, u64, u64); FIGURES] = [
        (sum.shards, sum.least, sum.most),
        (sum.entries, sum.least, sum.most_entries),
        (sum.bytes, 0, sum.most_bytes),
        (wire.0, 0, wire.1),
        (datagrams.0, 0, datagrams.1),
        (sum.rows, 0, sum.most_rows),
    ];
    let figures =
        [Figure::Shards, Figure::Entries, Figure::Bytes, Figure::WireBytes, Figure::Datagrams, Figure::Rows];
    let bound = !sum.unsure;
    let told = figures.map(|figure| {
        let (expected, least, most) = structural[figure as usize];
        let raw = Interval { least, expected: round(expected), most };
        let mut told = learned.interval(shape, figure, raw, expected, doubt);
        let repeats = matches!(figure, Figure::WireBytes | Figure::Datagrams) && most > 0;
        if bound && !repeats {
            // A hard bound. It can't hold for datagrams and their bytes: lost ones are sent again without a
            // limit.
            told.most = most;
            told.expected = told.expected.min(most);
            told.least = told.least.min(told.expected);
        }
        told
    });
    let [shards, entries, bytes, wire_bytes, datagrams, rows] = told;
    let (median, high) = learned.time(shape, shards.expected, time);
    let raw = structural.map(|figure| figure.0);
    let time_told = (median, high.max(median).saturating_add(tail));
    let doubts = sum.doubts;
    let prediction =
        Prediction { shards, entries, bytes, wire_bytes, datagrams, rows, time: time_told, bound, doubts };
    Estimate { prediction, basis: Basis { shape, raw, predicted: told, raw_time: time } }
}

/// Surcharge on the 99th percentile for reading at a sender.
pub(super) fn tail_surcharge(rank: Rank, view: Option<&MembershipView>, now: Micros) -> Micros {
    let Some(view) = view else { return 0 };
    let Some(fact) = view.members.get(usize::from(rank)) else { return SUSPECT_TAIL };
    match fact.state {
        _ if view.isolated => SUSPECT_TAIL,
        State::Alive if now < fact.since.saturating_add(STARTING) => STARTING_TAIL,
        State::Alive => 0,
        State::Joining => STARTING_TAIL,
        State::Suspect | State::Dead | State::Left => SUSPECT_TAIL,
    }
}
