//! The estimator of one sender: it summarises its own shards, caches the summaries of the others, predicts,
//! decides, and calibrates itself by what queries really took. It combines the other modules of
//! [`crate::estimate`] for the driver.

use std::collections::BTreeMap;

use serde::Serialize;

use super::budget_lease::{self, BudgetMessage, Budgets, Cost, Insufficient};
use super::decide::{self, Decided, LimitExceeded, Limits, RunningQuery};
use super::learned::{Calibration, Figure, Touched};
use super::predict::{DEFAULT_ROUND_TRIP, Estimate, predict, tail_surcharge};
use super::sending::Runs;
use super::summary::{Summary, Version};
use super::summary_cache::{self, Catalogue, SummaryCache};
use super::{Decision, Prediction, Reason};
use crate::channel::ESTIMATE;
use crate::coded_error;
use crate::interface::Micros;
use crate::membership::{MembershipView, Outgoing, Rank};
use crate::mesh::{self, Mesh};
use crate::plans::{self, Plan};
use crate::status::{self, Entry, LogId, Query, ShardId};

/// Minimum time between two rebuilds of this sender's own summaries.
pub const MAKE_EVERY: Micros = 2_000_000;
/// Maximum entries summarised in one rebuild, beyond those of the first shard; the rest follow in the next
/// rebuild.
pub const MAX_ENTRIES: usize = 10_000;
/// First byte of a message: summary gossip.
const SUMMARIES: u8 = 1;
/// First byte of a message: budget leases.
const BUDGETS: u8 = 2;

/// Why a query can't be estimated.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EstimateError {
    /// Too many ids.
    #[error("query names {0} ids, more than 256")]
    Ids(usize),
    /// The time range is empty.
    #[error("empty time range: \"from\" {0} is not before \"to\" {1}")]
    Times(Micros, Micros),
    /// The row limit is out of range.
    #[error("row limit {0} is not between 1 and 1000")]
    Rows(u32),
}

coded_error! { EstimateError {
    Ids => "estimate.ids", "name at most 256 ids, and query the others separately";
    Times => "estimate.times", "set \"from\" before \"to\", both in Unix microseconds";
    Rows => "estimate.rows", "set \"limit\" between 1 and 1000, and continue with \"after\"";
} }

/// Checks a query against the limits that [`status`] sets.
///
/// # Errors
/// Says which limit is exceeded.
pub fn check(query: &Query) -> Result<(), EstimateError> {
    if query.ids.len() > status::MAX_IDS {
        return Err(EstimateError::Ids(query.ids.len()));
    }
    if query.from >= query.to {
        return Err(EstimateError::Times(query.from, query.to));
    }
    if !(1..=status::MAX_ROWS as u32).contains(&query.limit) {
        return Err(EstimateError::Rows(query.limit));
    }
    Ok(())
}

/// The estimate of a query, as reported to operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct QueryEstimate {
    /// What the query will touch in the form in which it would run.
    pub prediction: Prediction,
    /// The decision on it.
    pub decision: Decision,
    /// How many of the last 100 queries of its shape read a number of bytes within the predicted interval;
    /// `None` while there are fewer.
    pub held: Option<u32>,
}

/// State of an own shard when its summary was made; a difference means that the summary is stale.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Fingerprint {
    entries: u64,
    changed: Micros,
    /// Checksum over the states: distinguishes changes made at the same instant.
    states: u64,
}

/// See the module.
#[derive(Debug)]
pub struct Estimator {
    own: Rank,
    length: Micros,
    plans: plans::Config,
    mesh: Mesh,
    /// The cached catalogues and summaries of all shards.
    pub known: SummaryCache,
    /// Calibration by what queries really took.
    pub learned: Calibration,
    /// Calibration by what runs really took.
    pub runs: Runs,
    /// Tenants' budgets.
    pub budgets: Budgets,
    view: Option<MembershipView>,
    /// Own shards as last summarised, with the summary version that the catalogue lists for each.
    fingerprints: BTreeMap<u32, (Fingerprint, Version)>,
    rebuilds: u64,
    next_rebuild: Micros,
    /// The latest own time that was published, and how far the clock has been behind it.
    latest: Micros,
    slack: Micros,
    log: Option<LogId>,
    /// Counts of decisions and of queries that were cut off.
    pub counts: Counts,
}

/// Counts since the process began.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Queries that ran unchanged.
    pub run: u64,
    /// Queries that ran on a shorter time range.
    pub narrowed: u64,
    /// Queries that were told to retry later.
    pub later: u64,
    /// Queries that were refused.
    pub refused: u64,
    /// Queries that were cut off at their bound.
    pub cut: u64,
    /// Bytes that queries were charged when they began.
    pub charged: u64,
    /// Bytes that they had read when they ended.
    pub read: u64,
}

impl Estimator {
    /// An estimator without any summaries. `span` is the length of own spans in microseconds; `tier` is the
    /// checksum of the membership view.
    pub fn new(
        own: Rank,
        size: usize,
        tier: u32,
        span: Micros,
        plans: plans::Config,
        seed: u64,
        now: Micros,
    ) -> Self {
        Self {
            own,
            length: span.max(1),
            plans,
            mesh: Mesh::new(ESTIMATE, own, size, tier, seed),
            known: SummaryCache::new(own, size, seed, now),
            learned: Calibration::default(),
            runs: Runs::default(),
            budgets: Budgets::new(own, seed, now),
            view: None,
            fingerprints: BTreeMap::new(),
            rebuilds: 0,
            next_rebuild: now,
            latest: 0,
            slack: 0,
            log: None,
            counts: Counts::default(),
        }
    }

    /// Applies changed plans.
    pub fn adopt(&mut self, plans: plans::Config) {
        self.plans = plans;
    }

    /// A tenant's plan, or the default plan.
    pub fn plan(&self, tenant: &str) -> Plan {
        plan(&self.plans, tenant)
    }

    /// Sets the current membership view.
    pub fn set_view(&mut self, view: MembershipView) {
        self.view = Some(view);
    }

    /// Whether own summaries may be rebuilt.
    pub fn summaries_due(&self, now: Micros) -> bool {
        now >= self.next_rebuild
    }

    /// Rebuilds own summaries: those of all shards that have changed, the newest first, up to [`MAX_ENTRIES`]
    /// entries. `entries` iterates over all own entries by the time at which they were accepted, `upto` is
    /// the last change included in them, `unix` the clock from which new messages get their `taken_at`.
    pub fn summarise<'a, I: Iterator<Item = (ShardId, &'a Entry)>>(
        &mut self,
        now: Micros,
        unix: Micros,
        (log, upto): (LogId, u64),
        entries: impl Fn() -> I,
    ) {
        self.next_rebuild = now.saturating_add(MAKE_EVERY);
        if self.log.replace(log).is_some_and(|before| before != log) {
            self.fingerprints.clear();
        }
        self.rebuilds += 1;
        let version = Version { upto, made: self.rebuilds };
        let mut fingerprints: BTreeMap<u32, Fingerprint> = BTreeMap::new();
        for (shard, entry) in entries() {
            let none = Fingerprint { entries: 0, changed: 0, states: 0 };
            let fingerprint = fingerprints.entry(shard.span).or_insert(none);
            fingerprint.entries += 1;
            fingerprint.changed = fingerprint.changed.max(entry.changed_at);
            fingerprint.states = fingerprint.states.wrapping_add(u64::from(entry.states.0) + 1);
            self.latest = self.latest.max(entry.taken_at);
        }
        // Messages accepted after the clock stepped back lie before the time published as complete.
        self.slack = self.slack.max(self.latest.saturating_sub(unix));
        self.latest = self.latest.max(unix);
        self.fingerprints.retain(|span, _| fingerprints.contains_key(span));
        let mut dirty = Vec::new();
        let mut work = 0;
        for (span, fingerprint) in fingerprints.iter().rev() {
            if self.fingerprints.get(span).is_some_and(|(before, _)| before == fingerprint) {
                continue;
            }
            // The catalogue lists a shard that is not summarised now as newer than its summary.
            if work > 0 && work + fingerprint.entries as usize > MAX_ENTRIES {
                let unmade = Fingerprint { entries: 0, ..*fingerprint };
                self.fingerprints.insert(*span, (unmade, version));
                continue;
            }
            work += fingerprint.entries as usize;
            self.fingerprints.insert(*span, (*fingerprint, version));
            dirty.push(*span);
        }
        let mut wanted: BTreeMap<u32, Vec<&Entry>> = dirty.iter().map(|span| (*span, Vec::new())).collect();
        for (shard, entry) in entries() {
            if let Some(list) = wanted.get_mut(&shard.span) {
                list.push(entry);
            }
        }
        let summaries =
            wanted.into_iter().map(|(span, list)| Summary::of(log, span, version, list)).collect();
        let incarnation = self.view.as_ref().and_then(|view| view.members.get(usize::from(self.own)));
        let catalogue = Catalogue {
            log,
            incarnation: incarnation.map_or(0, |fact| fact.incarnation),
            version,
            as_of: unix,
            slack: self.slack,
            length: self.length,
            spans: self.fingerprints.iter().map(|(span, (_, version))| (*span, *version)).collect(),
            older: false,
        };
        self.known.publish(now, catalogue, summaries);
    }

    /// Predicts what a query will touch.
    pub fn predict(&self, now: Micros, query: &Query) -> Estimate {
        predict(query, &self.known, self.view.as_ref(), &self.learned, self.own, now)
    }

    /// Estimates a query that has to be answered within `within`, without running or charging it.
    pub fn estimate(&self, now: Micros, unix: Micros, query: &Query, within: Micros) -> QueryEstimate {
        let plan = self.plan(&query.tenant);
        let mut predicted = |query: &Query| self.predict(now, query);
        let limits = Limits { plan: &plan, within, unix };
        let Decided { mut decision, estimate } = decide::decide(query, limits, Ok(()), &mut predicted);
        let cost = Cost { queries: 1, bytes: estimate.prediction.bytes.most };
        if !matches!(decision, Decision::Refused { .. })
            && let Err(Insufficient { after, reason }) = self.budgets.check(now, &query.tenant, cost)
        {
            decision = Decision::Later { after, reason };
        }
        let held = self.learned.hit_rate(estimate.basis.shape, Figure::Bytes);
        QueryEstimate { prediction: estimate.prediction, decision, held }
    }

    /// Decides a query that is to run now, and charges it. If a [`RunningQuery`] is returned, the query runs
    /// as the decision says. A query that is put off may be retried soon; the caller counts it with
    /// [`Estimator::count_later`] only once it reports that to the client.
    pub fn begin(
        &mut self,
        now: Micros,
        unix: Micros,
        query: &Query,
        within: Micros,
    ) -> (Decided, Option<RunningQuery>) {
        let plan = self.plan(&query.tenant);
        let limits = Limits { plan: &plan, within, unix };
        let mut decided = decide::decide(query, limits, Ok(()), &mut |query| self.predict(now, query));
        if let Decision::Refused { .. } = decided.decision {
            self.counts.refused += 1;
            return (decided, None);
        }
        let cost = Cost { queries: 1, bytes: decided.estimate.prediction.bytes.most };
        let later = Err(Insufficient { after: budget_lease::REQUEST_INTERVAL, reason: Reason::Budget });
        let reserved = self
            .view
            .as_ref()
            .map_or(later, |view| self.budgets.reserve(now, view, &query.tenant, &plan, cost));
        let running = reserved
            .and_then(|()| RunningQuery::begin(&mut self.budgets, now, &query.tenant, &decided.estimate));
        match running {
            Ok(running) => {
                let narrowed = matches!(decided.decision, Decision::Narrowed { .. });
                *(if narrowed { &mut self.counts.narrowed } else { &mut self.counts.run }) += 1;
                self.counts.charged = self.counts.charged.saturating_add(cost.bytes);
                (decided, Some(running))
            }
            Err(Insufficient { after, reason }) => {
                decided.decision = Decision::Later { after, reason };
                (decided, None)
            }
        }
    }

    /// Ends a query, whole or cut off: corrects its charge, and learns from what it touched if it was whole.
    pub fn end(
        &mut self,
        now: Micros,
        decided: &Decided,
        running: RunningQuery,
        touched: Result<Touched, LimitExceeded>,
    ) {
        self.settle(now, running);
        match touched {
            Ok(touched) => self.learned.learn(&decided.estimate.basis, &touched),
            Err(_) => self.counts.cut += 1,
        }
    }

    /// Ends a query that is incomplete: corrects its charge, and learns nothing.
    pub fn settle(&mut self, now: Micros, running: RunningQuery) {
        let (_, bytes) = running.end(&mut self.budgets, now);
        self.counts.read = self.counts.read.saturating_add(bytes);
    }

    /// Counts a client that was told to retry later.
    pub fn count_later(&mut self) {
        self.counts.later += 1;
    }

    /// Cost of reading a log at a sender, microseconds: the recent time of its partial results, plus a
    /// surcharge for a sender that is suspected, isolated or starting. Reads by plan go to the cheapest
    /// sender.
    pub fn price(&self, now: Micros, server: Rank) -> Micros {
        let trip = if server == self.own { 0.0 } else { self.learned.round_trip(server, DEFAULT_ROUND_TRIP) };
        (trip as Micros).saturating_add(tail_surcharge(server, self.view.as_ref(), now))
    }

    /// Whether a datagram belongs to the estimator.
    pub fn accepts(&self, bytes: &[u8]) -> bool {
        self.mesh.accepts(bytes)
    }

    /// Handles a datagram of another sender that [`Estimator::accepts`] has admitted.
    pub fn receive(&mut self, now: Micros, from: Rank, bytes: &[u8]) {
        for message in self.mesh.receive(now, from, bytes).messages {
            match message.split_first() {
                Some((&SUMMARIES, rest)) => self.known.receive(now, from, rest),
                Some((&BUDGETS, rest)) => {
                    let (Ok(message), Some(view)) = (postcard::from_bytes::<BudgetMessage>(rest), &self.view)
                    else {
                        self.known.counts.unreadable += 1;
                        continue;
                    };
                    self.budgets.receive(now, view, from, message, |tenant| plan(&self.plans, tenant));
                }
                _ => self.known.counts.unreadable += 1,
            }
        }
    }

    /// When [`Estimator::tick`] is due next.
    pub fn due(&self) -> Micros {
        self.known.due().min(self.mesh.due().unwrap_or(Micros::MAX))
    }

    /// Does what is due, and sends.
    pub fn tick(&mut self, now: Micros, out: &mut Outgoing) {
        let mesh = &mut self.mesh;
        let mut send = |to: Rank, bytes: &[u8]| mesh.send(now, to, &[&[SUMMARIES], bytes].concat()).is_ok();
        self.known.tick(now, self.view.as_ref(), &mut send);
        if let Some(view) = &self.view {
            self.budgets.tick(now, view);
        }
        self.flush(now, out);
    }

    /// Sends what queries and datagrams have queued.
    pub fn flush(&mut self, now: Micros, out: &mut Outgoing) {
        for (to, message) in self.budgets.take_messages() {
            // A message that can't be sent is requested again, or its lease expires.
            if let Ok(bytes) = postcard::to_allocvec(&message) {
                let _ = self.mesh.send(now, to, &[&[BUDGETS], &bytes[..]].concat());
            }
        }
        self.mesh.flush(now, out);
    }

    /// Counts of the traffic between senders.
    pub fn traffic(&self) -> (summary_cache::Counts, mesh::Counts) {
        (self.known.counts, self.mesh.counts)
    }
}

fn plan(plans: &plans::Config, tenant: &str) -> Plan {
    plans.get(tenant).or_else(|| plans.get("default")).cloned().unwrap_or_default()
}
