//! A read by plan that is running: what it was charged in advance, and what it has read so far by the
//! senders' reports.
//!
//! A read may read a log twice: at a replica that lacked entries, then at its owner. All of it is charged.
//! The read's bound is checked against the most that each log took, since that is what was predicted.

use std::collections::BTreeMap;

use super::decide::{Decided, LimitExceeded, RunningQuery};
use super::estimator::Estimator;
use super::learned::{FIGURES, Touched};
use crate::channel::SEGMENT;
use crate::interface::Micros;
use crate::status::query::Touched as Link;
use crate::status::{LogId, Query};

/// See the module.
#[derive(Debug)]
pub struct ChargedQuery {
    /// The decision, and the estimate behind it.
    pub decided: Decided,
    running: RunningQuery,
    /// Shards and bytes that it may read.
    bound: (u64, u64),
    /// The most shards and bytes that one sender read of each log.
    logs: BTreeMap<LogId, (u64, u64)>,
    /// Sums in the order of [`super::learned::Figure`], without rows.
    figures: [u64; FIGURES],
}

impl ChargedQuery {
    /// Decides a read, and charges its tenant's budget. Predicted time is not checked: such a read ends by
    /// itself at its deadline and reports what is late, whereas refusing it would leave no outcome by which
    /// to learn that it has become faster.
    ///
    /// # Errors
    /// The decision, if the read does not run.
    pub fn begin(estimator: &mut Estimator, now: Micros, query: &Query) -> Result<Self, Box<Decided>> {
        let (decided, running) = estimator.begin(now, now, query, Micros::MAX);
        let Some(running) = running else { return Err(Box::new(decided)) };
        let prediction = &decided.estimate.prediction;
        let plan = estimator.plan(&query.tenant);
        // Without a hard bound, the 90 % interval must not cut off the one in ten that exceeds it.
        let bound = match prediction.bound {
            true => (prediction.shards.most, prediction.bytes.most),
            false => (plan.shards.into(), plan.bytes_per_min),
        };
        Ok(Self { decided, running, bound, logs: BTreeMap::new(), figures: [0; FIGURES] })
    }

    /// Adds what a partial result reports as read.
    pub fn touched(&mut self, links: &[Link]) {
        for link in links {
            let (shards, bytes) = (u64::from(link.shards), link.bytes);
            self.running.took(shards, bytes);
            let log = self.logs.entry(link.log).or_default();
            *log = (log.0.max(shards), log.1.max(bytes));
            let figures =
                [shards, link.entries, bytes, link.wire_bytes, link.wire_bytes.div_ceil(SEGMENT as u64), 0];
            for (sum, figure) in self.figures.iter_mut().zip(figures) {
                *sum = sum.saturating_add(figure);
            }
        }
    }

    /// Checks whether it is past its bound: then nothing more may be read.
    ///
    /// # Errors
    /// Says which bound was passed.
    pub fn check(&self) -> Result<(), LimitExceeded> {
        let sum = |of: fn(&(u64, u64)) -> u64| self.logs.values().map(of).fold(0, u64::saturating_add);
        let (shards, bytes) = (sum(|log| log.0), sum(|log| log.1));
        if shards > self.bound.0 {
            return Err(LimitExceeded::Shards(shards));
        }
        if bytes > self.bound.1 { Err(LimitExceeded::Bytes(bytes)) } else { Ok(()) }
    }

    /// Shards and bytes read so far, at all senders.
    pub fn read(&self) -> (u64, u64) {
        (self.figures[0], self.figures[2])
    }

    /// Ends the read, whatever its outcome, and corrects its charge. `whole` has the rows and microseconds of
    /// a complete one, from which the calibration learns.
    pub fn end(
        self,
        estimator: &mut Estimator,
        now: Micros,
        whole: Result<Option<(u64, Micros)>, LimitExceeded>,
    ) {
        let mut figures = self.figures;
        let whole = whole.map(|whole| {
            whole.map(|(rows, took)| {
                figures[FIGURES - 1] = rows;
                Touched { figures, took }
            })
        });
        match whole {
            Ok(None) => estimator.settle(now, self.running),
            Ok(Some(touched)) => estimator.end(now, &self.decided, self.running, Ok(touched)),
            Err(cut) => estimator.end(now, &self.decided, self.running, Err(cut)),
        }
    }
}
