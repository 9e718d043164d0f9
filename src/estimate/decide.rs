//! What becomes of a query: from what it will touch, its tenant's plan, and what is left of the tenant's budget here.
//!
//! | rule | when | then |
//! | --- | --- | --- |
//! | 1 | more shards, or bytes for a whole minute, than the plan allows | less of it if that fits, else refused |
//! | 2 | its answer can't be there in time | less of it if that fits, else refused |
//! | 3 | no query of the minute is left here | later |
//! | 4 | fewer bytes of the minute are left here | later |
//! | 5 | otherwise | run, charged at the upper end of what was predicted |
//!
//! The first rule that applies is told. A query is made less by a later `from`: the newest messages are kept. One for
//! ids, or that goes on after a row, is never made less, since what is left out would be what it asks for.

use super::budget_lease::{Budgets, Charge, Cost, Insufficient};
use super::predict::Estimate;
use super::{Decision, Reason};
use crate::coded_error;
use crate::interface::Micros;
use crate::plans::Plan;
use crate::status::Query;

/// Predictions that finding a smaller query takes at most.
pub const MAX_TRIES: u32 = 24;

/// What a query is up against.
#[derive(Debug, Clone, Copy)]
pub struct Limits<'a> {
    /// The tenant's plan.
    pub plan: &'a Plan,
    /// Microseconds in which the answer must be there.
    pub within: Micros,
    /// Unix microseconds now, by which a smaller query is looked for.
    pub unix: Micros,
}

impl Limits<'_> {
    /// What the plan alone says against a query.
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

/// A decision, and what the query as it is to run will touch.
#[derive(Debug, Clone, PartialEq)]
pub struct Decided {
    /// What is to be done.
    pub decision: Decision,
    /// The prediction for what is run; for the whole query if nothing is.
    pub estimate: Estimate,
}

/// Decides without charging anything: what operators are told.
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

/// The earliest `from` with which the plan has nothing against it, by halving; none if even the last instant is
/// too much or the query can't be made less.
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
        // Steps of under a millisecond leave nothing more in.
        if late.saturating_sub(too_early) < 1_000 {
            break;
        }
        // Most of all time holds nothing: from the end back in growing steps until it is too much. Halving all time from
        // the start would use up all tries before it comes near the newest messages.
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

/// A query that is under way: what it was charged, and how far it may go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningQuery {
    charge: Charge,
    shards: u64,
    bytes: u64,
    most: (u64, u64),
}

/// A query went past its bound and is cut: its answer has what was read so far, and says so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LimitExceeded {
    /// In shards.
    #[error(
        "cut after {0} shards: no more were predicted, or the plan allows no more; ask for a shorter time or fewer ids"
    )]
    Shards(u64),
    /// In bytes.
    #[error(
        "cut after {0} bytes: no more were predicted, or the plan allows no more; ask for a shorter time or fewer ids"
    )]
    Bytes(u64),
}

coded_error! { LimitExceeded {
    Shards => "estimate.cut-shards", "ask for a shorter time or fewer states, or ask for an estimate again first";
    Bytes => "estimate.cut-bytes", "ask for a shorter time or fewer states, or ask for an estimate again first";
} }

impl RunningQuery {
    /// Charges a query at the upper end of what it will touch.
    ///
    /// # Errors
    /// Says when there will be enough, and what is short.
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

    /// Before a shard is opened.
    ///
    /// # Errors
    /// Says that it must not be, since the query is at its bound.
    pub fn shard(&mut self) -> Result<(), LimitExceeded> {
        if self.shards >= self.most.0 {
            return Err(LimitExceeded::Shards(self.shards));
        }
        self.shards += 1;
        Ok(())
    }

    /// Before an entry of so many bytes is read.
    ///
    /// # Errors
    /// Says that it must not be, since the query is at its bound.
    pub fn read(&mut self, bytes: u64) -> Result<(), LimitExceeded> {
        match self.bytes.checked_add(bytes).filter(|sum| *sum <= self.most.1) {
            Some(sum) => self.bytes = sum,
            None => return Err(LimitExceeded::Bytes(self.bytes)),
        }
        Ok(())
    }

    /// A part of it has read so much elsewhere, where it was not asked before: all of it is charged in the end.
    pub fn took(&mut self, shards: u64, bytes: u64) {
        self.shards = self.shards.saturating_add(shards);
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// It has ended: what was not touched is given back, and what it took beyond its charge is taken, as far as there is
    /// any.
    pub fn end(self, budgets: &mut Budgets, now: Micros) -> (u64, u64) {
        budgets.settle(now, self.charge, Cost { queries: 1, bytes: self.bytes });
        (self.shards, self.bytes)
    }
}
