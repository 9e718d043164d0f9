//! Decides what becomes of a query, by its prediction, its tenant's plan, and what is left here of the
//! tenant's budget.
//!
//! | rule | condition | decision |
//! | --- | --- | --- |
//! | 1 | more shards, or more bytes per minute, than the plan allows | narrow it if possible, else refuse |
//! | 2 | its answer can't be ready in time | narrow it if possible, else refuse |
//! | 3 | no query of the minute is left here | later |
//! | 4 | too few bytes of the minute are left here | later |
//! | 5 | otherwise | run, charged at the upper end of the prediction |
//!
//! The first rule that applies is reported. A query is narrowed by a later `from`, which keeps the newest
//! messages. One for ids, or one that continues after a row, is never narrowed, since that would leave out
//! what it asks for.

use super::budget_lease::{Budgets, Charge, Cost, Insufficient};
use super::predict::Estimate;
use super::{Decision, Reason};
use crate::coded_error;
use crate::interface::Micros;
use crate::plans::Plan;
use crate::status::Query;

/// Maximum predictions made to find a narrower query.
pub const MAX_TRIES: u32 = 24;

/// The limits that a query is checked against.
#[derive(Debug, Clone, Copy)]
pub struct Limits<'a> {
    /// The tenant's plan.
    pub plan: &'a Plan,
    /// Microseconds within which the answer must be ready.
    pub within: Micros,
    /// Unix microseconds now: upper end of the search for a narrower query.
    pub unix: Micros,
}

impl Limits<'_> {
    /// The limit that a query exceeds, its tenant's budget aside.
    fn against(&self, estimate: &Estimate) -> Option<Reason> {
        let prediction = &estimate.prediction;
        if prediction.shards.most > u64::from(self.plan.shards) {
            return Some(Reason::Shards);
        }
        if prediction.bytes.most > self.plan.bytes_per_min {
            return Some(Reason::Bytes);
        }
        (prediction.time.1 > self.within).then_some(Reason::Time)
    }
}

/// A decision, and the prediction for the query in the form in which it would run.
#[derive(Debug, Clone, PartialEq)]
pub struct Decided {
    /// The decision.
    pub decision: Decision,
    /// The prediction for what is run; for the whole query if nothing is.
    pub estimate: Estimate,
}

/// Decides on a query without charging anything. `left` is what the budget says.
pub fn decide(
    query: &Query,
    limits: Limits<'_>,
    left: Result<(), Insufficient>,
    predict: &mut dyn FnMut(&Query) -> Estimate,
) -> Decided {
    let whole = predict(query);
    let Some(reason) = limits.against(&whole) else {
        let decision = match left {
            Ok(()) => Decision::Run,
            Err(Insufficient { after, reason }) => Decision::Later { after, reason },
        };
        return Decided { decision, estimate: whole };
    };
    match narrowed(query, limits, predict) {
        Some((from, estimate)) => match left {
            Ok(()) => Decided { decision: Decision::Narrowed { from, reason }, estimate },
            Err(Insufficient { after, reason }) => {
                Decided { decision: Decision::Later { after, reason }, estimate }
            }
        },
        None => Decided { decision: Decision::Refused { reason }, estimate: whole },
    }
}

/// Finds the earliest `from` with which the query is within its limits, by bisection; `None` if even the last
/// instant is too much or the query can't be narrowed.
fn narrowed(
    query: &Query,
    limits: Limits<'_>,
    predict: &mut dyn FnMut(&Query) -> Estimate,
) -> Option<(Micros, Estimate)> {
    if !query.ids.is_empty() || query.after.is_some() {
        return None;
    }
    let mut too_early = query.from;
    let mut late = query.to.min(limits.unix);
    let mut found = None;
    let mut back = Some(1_000_000);
    for _ in 0..MAX_TRIES {
        // A difference of under a millisecond adds nothing.
        if late.saturating_sub(too_early) < 1_000 {
            break;
        }
        // Most of the time range is empty, so the search goes back from the end in growing steps until it is
        // too much. Bisecting the whole range from its start would use up all tries before it comes near the
        // newest messages.
        let from = match back {
            Some(back) => late.saturating_sub(back).max(too_early),
            None => too_early + (late - too_early) / 2,
        };
        let estimate = predict(&Query { from, ..query.clone() });
        if limits.against(&estimate).is_none() {
            (late, found) = (from, Some((from, estimate)));
            back = back.map(|back: Micros| back.saturating_mul(4));
        } else {
            (too_early, back) = (from, None);
        }
    }
    found.filter(|(_, estimate)| estimate.prediction.entries.most > 0)
}

/// A query that is running: its charge, what it has read, and its bounds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningQuery {
    charge: Charge,
    shards: u64,
    bytes: u64,
    most: (u64, u64),
}

/// A query reached its bound and was cut off. Its answer has what was read so far, and says so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LimitExceeded {
    /// Bound on shards.
    #[error(
        "cut off after {0} shards: predicted bound or plan limit reached; use a shorter time or fewer ids"
    )]
    Shards(u64),
    /// Bound on bytes.
    #[error(
        "cut off after {0} bytes: predicted bound or plan limit reached; use a shorter time or fewer ids"
    )]
    Bytes(u64),
}

coded_error! { LimitExceeded {
    Shards => "estimate.cut-shards", "narrow the time range or the states, or request a new estimate first";
    Bytes => "estimate.cut-bytes", "narrow the time range or the states, or request a new estimate first";
} }

impl RunningQuery {
    /// Charges a query at the upper end of its prediction.
    ///
    /// # Errors
    /// Says when there will be enough budget, and what is short.
    pub fn begin(
        budgets: &mut Budgets,
        now: Micros,
        tenant: &str,
        estimate: &Estimate,
    ) -> Result<Self, Insufficient> {
        let (shards, bytes) = (estimate.prediction.shards.most, estimate.prediction.bytes.most);
        let charge = budgets.charge(now, tenant, Cost { queries: 1, bytes })?;
        Ok(Self { charge, shards: 0, bytes: 0, most: (shards, bytes) })
    }

    /// To be called before a shard is opened.
    ///
    /// # Errors
    /// The query is at its bound, and the shard must not be opened.
    pub fn shard(&mut self) -> Result<(), LimitExceeded> {
        if self.shards >= self.most.0 {
            return Err(LimitExceeded::Shards(self.shards));
        }
        self.shards += 1;
        Ok(())
    }

    /// To be called before an entry of that many bytes is read.
    ///
    /// # Errors
    /// The query is at its bound, and the entry must not be read.
    pub fn read(&mut self, bytes: u64) -> Result<(), LimitExceeded> {
        match self.bytes.checked_add(bytes).filter(|sum| *sum <= self.most.1) {
            Some(sum) => self.bytes = sum,
            None => return Err(LimitExceeded::Bytes(self.bytes)),
        }
        Ok(())
    }

    /// Adds what a sub-query has read at another sender without a check before it: all of it is charged at
    /// the end.
    pub fn took(&mut self, shards: u64, bytes: u64) {
        self.shards = self.shards.saturating_add(shards);
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// Ends the query: returns what it did not use, and charges what it used beyond its charge as far as
    /// there is budget left. Returns the shards and bytes read.
    pub fn end(self, budgets: &mut Budgets, now: Micros) -> (u64, u64) {
        budgets.settle(now, self.charge, Cost { queries: 1, bytes: self.bytes });
        (self.shards, self.bytes)
    }
}
