//! One sender's estimates: it makes summaries of its own shards, holds those of the others, predicts, decides, and
//! learns from what queries took. All rooms of [`crate::estimate`] in one, for the part round it.

use std::collections::BTreeMap;

use serde::Serialize;

use super::budget_lease::{self, BudgetMessage, Budgets, Cost, Insufficient};
use super::decide::{self, Decided, LimitExceeded, Limits, RunningQuery};
use super::learned::{Calibration, Figure, Touched};
use super::predict::{DEFAULT_ROUND_TRIP, Estimate, predict, priced};
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

/// Own summaries are made anew so often at most.
pub const MAKE_EVERY: Micros = 2_000_000;
/// Entries that are summarised at a time at most, beyond those of one shard; the rest is for the next time.
pub const MAX_ENTRIES: usize = 10_000;
/// Messages begin with what they are about.
const SUMMARIES: u8 = 1;
/// See [`SUMMARIES`].
const BUDGETS: u8 = 2;

/// Why a query can't be estimated.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EstimateError {
    /// Too many ids.
    #[error("{0} ids")]
    Ids(usize),
    /// No row can be in it.
    #[error("nothing is taken on from {0} and before {1}")]
    Times(Micros, Micros),
    /// Too many rows.
    #[error("{0} rows")]
    Rows(u32),
}

coded_error! { EstimateError {
    Ids => "estimate.ids", "name 256 ids at most, and ask again for the others";
    Times => "estimate.times", "have \"from\" before \"to\", both in Unix microseconds";
    Rows => "estimate.rows", "have \"limit\" from 1 to 1000, and go on with \"after\"";
} }

/// Holds a query against the bounds that [`status`] sets.
///
/// # Errors
/// Says what is beyond them.
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

/// What operators are told of a query.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct QueryEstimate {
    /// What it will touch as it is to run.
    pub prediction: Prediction,
    /// What is to be done with it.
    pub decision: Decision,
    /// Of the last 100 queries of its shape, how many read as many bytes as predicted; none while there are fewer.
    pub held: Option<u32>,
}

/// What an own shard looked like when its summary was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Print {
    entries: u64,
    changed: Micros,
    /// Changes of one instant are told apart by it.
    states: u64,
}

/// Everything together.
#[derive(Debug)]
pub struct Estimator {
    own: Rank,
    length: Micros,
    plans: plans::Config,
    mesh: Mesh,
    /// What is held of all shards.
    pub known: SummaryCache,
    /// What queries really took.
    pub learned: Calibration,
    /// What runs really took.
    pub runs: Runs,
    /// Tenants' budgets.
    pub budgets: Budgets,
    facts: Option<MembershipView>,
    /// Own shards as last summarised, with the version of what is to be known of them.
    prints: BTreeMap<u32, (Print, Version)>,
    made: u64,
    makes_at: Micros,
    /// The latest own time that was told, and how far the clock was behind it.
    latest: Micros,
    slack: Micros,
    log: Option<LogId>,
    /// Queries that were cut, and decisions, counted.
    pub counts: Counts,
}

/// Counts since the process began.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Queries that ran as they were.
    pub run: u64,
    /// With less.
    pub narrowed: u64,
    /// Not then.
    pub later: u64,
    /// Not at all.
    pub refused: u64,
    /// Went past their bound.
    pub cut: u64,
    /// Bytes that queries were charged when they began.
    pub charged: u64,
    /// Bytes that they had read when they ended.
    pub read: u64,
}

impl Estimator {
    /// Nothing is known yet. `span` is the length of own spans in microseconds; `tier` is the view's checksum.
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
            facts: None,
            prints: BTreeMap::new(),
            made: 0,
            makes_at: now,
            latest: 0,
            slack: 0,
            log: None,
            counts: Counts::default(),
        }
    }

    /// The plans have changed.
    pub fn adopt(&mut self, plans: plans::Config) {
        self.plans = plans;
    }

    /// A tenant's plan.
    pub fn plan(&self, tenant: &str) -> Plan {
        plan(&self.plans, tenant)
    }

    /// The view as it is now.
    pub fn set_view(&mut self, facts: MembershipView) {
        self.facts = Some(facts);
    }

    /// Whether own summaries may be made anew.
    pub fn summaries_due(&self, now: Micros) -> bool {
        now >= self.makes_at
    }

    /// Makes own summaries: of all shards that have changed, the newest first, as far as [`MAX_ENTRIES`] go.
    /// `entries` gives all own ones by when they were taken on, `upto` is the last change that they have, `unix` the
    /// time by which new messages get their `taken_at`.
    pub fn summarise<'a, I: Iterator<Item = (ShardId, &'a Entry)>>(
        &mut self,
        now: Micros,
        unix: Micros,
        (log, upto): (LogId, u64),
        entries: impl Fn() -> I,
    ) {
        self.makes_at = now.saturating_add(MAKE_EVERY);
        if self.log.replace(log).is_some_and(|before| before != log) {
            self.prints.clear();
        }
        self.made += 1;
        let version = Version { upto, made: self.made };
        let mut prints: BTreeMap<u32, Print> = BTreeMap::new();
        for (shard, entry) in entries() {
            let none = Print { entries: 0, changed: 0, states: 0 };
            let print = prints.entry(shard.span).or_insert(none);
            print.entries += 1;
            print.changed = print.changed.max(entry.changed_at);
            print.states = print.states.wrapping_add(u64::from(entry.states.0) + 1);
            self.latest = self.latest.max(entry.taken_at);
        }
        // What is taken on at a clock that went back comes before what was told of.
        self.slack = self.slack.max(self.latest.saturating_sub(unix));
        self.latest = self.latest.max(unix);
        self.prints.retain(|span, _| prints.contains_key(span));
        let mut dirty = Vec::new();
        let mut work = 0;
        for (span, print) in prints.iter().rev() {
            if self.prints.get(span).is_some_and(|(before, _)| before == print) {
                continue;
            }
            // What is not made now is listed as newer than its summary.
            if work > 0 && work + print.entries as usize > MAX_ENTRIES {
                let unmade = Print { entries: 0, ..*print };
                self.prints.insert(*span, (unmade, version));
                continue;
            }
            work += print.entries as usize;
            self.prints.insert(*span, (*print, version));
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
        let incarnation = self.facts.as_ref().and_then(|facts| facts.members.get(usize::from(self.own)));
        let catalogue = Catalogue {
            log,
            incarnation: incarnation.map_or(0, |fact| fact.incarnation),
            version,
            as_of: unix,
            slack: self.slack,
            length: self.length,
            spans: self.prints.iter().map(|(span, (_, version))| (*span, *version)).collect(),
            older: false,
        };
        self.known.publish(now, catalogue, summaries);
    }

    /// What a query will touch.
    pub fn predict(&self, now: Micros, query: &Query) -> Estimate {
        predict(query, &self.known, self.facts.as_ref(), &self.learned, self.own, now)
    }

    /// What would become of a query that has to be answered within that time, without running or charging it.
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

    /// Decides a query that is to run now, and charges it. It runs as the decision says if [`RunningQuery`] comes along. One
    /// that is for later may be tried again soon; [`Estimator::count_later`] counts it once it is told so.
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
        let had = self
            .facts
            .as_ref()
            .map_or(later, |facts| self.budgets.reserve(now, facts, &query.tenant, &plan, cost));
        let begun =
            had.and_then(|()| RunningQuery::begin(&mut self.budgets, now, &query.tenant, &decided.estimate));
        match begun {
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

    /// A query has ended, whole or cut: its charge is corrected, and what it touched is learned if it was whole.
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

    /// A query has ended with less than all: its charge is corrected, and nothing is learned.
    pub fn settle(&mut self, now: Micros, running: RunningQuery) {
        let (_, bytes) = running.end(&mut self.budgets, now);
        self.counts.read = self.counts.read.saturating_add(bytes);
    }

    /// Somebody was told to ask again later.
    pub fn count_later(&mut self) {
        self.counts.later += 1;
    }

    /// What reading a log at a sender costs, microseconds: what its part of an answer took of late, and what is added for
    /// one that is suspected, cut off or starting. Reads by plan go to the least.
    pub fn price(&self, now: Micros, server: Rank) -> Micros {
        let trip = if server == self.own { 0.0 } else { self.learned.round_trip(server, DEFAULT_ROUND_TRIP) };
        (trip as Micros).saturating_add(priced(server, self.facts.as_ref(), now))
    }

    /// Whether a datagram is for this.
    pub fn accepts(&self, bytes: &[u8]) -> bool {
        self.mesh.accepts(bytes)
    }

    /// A datagram of another sender has come, which [`Estimator::accepts`].
    pub fn receive(&mut self, now: Micros, from: Rank, bytes: &[u8]) {
        for message in self.mesh.receive(now, from, bytes).messages {
            match message.split_first() {
                Some((&SUMMARIES, rest)) => self.known.receive(now, from, rest),
                Some((&BUDGETS, rest)) => {
                    let (Ok(note), Some(facts)) = (postcard::from_bytes::<BudgetMessage>(rest), &self.facts)
                    else {
                        self.known.counts.unreadable += 1;
                        continue;
                    };
                    self.budgets.receive(now, facts, from, note, |tenant| plan(&self.plans, tenant));
                }
                _ => self.known.counts.unreadable += 1,
            }
        }
    }

    /// When it wants to be called next.
    pub fn due(&self) -> Micros {
        self.known.due().min(self.mesh.due().unwrap_or(Micros::MAX))
    }

    /// Does what is due, and sends.
    pub fn tick(&mut self, now: Micros, out: &mut Outgoing) {
        let mesh = &mut self.mesh;
        let mut send = |to: Rank, bytes: &[u8]| mesh.send(now, to, &[&[SUMMARIES], bytes].concat()).is_ok();
        self.known.tick(now, self.facts.as_ref(), &mut send);
        if let Some(facts) = &self.facts {
            self.budgets.tick(now, facts);
        }
        self.flush(now, out);
    }

    /// Sends what queries and datagrams brought about.
    pub fn flush(&mut self, now: Micros, out: &mut Outgoing) {
        for (to, note) in self.budgets.take_messages() {
            // What does not go is asked for again, or lapses.
            if let Ok(bytes) = postcard::to_allocvec(&note) {
                let _ = self.mesh.send(now, to, &[&[BUDGETS], &bytes[..]].concat());
            }
        }
        self.mesh.flush(now, out);
    }

    /// What passed between senders.
    pub fn traffic(&self) -> (summary_cache::Counts, mesh::Counts) {
        (self.known.counts, self.mesh.counts)
    }
}

fn plan(plans: &plans::Config, tenant: &str) -> Plan {
    plans.get(tenant).or_else(|| plans.get("default")).cloned().unwrap_or_default()
}
