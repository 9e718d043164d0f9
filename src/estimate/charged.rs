//! A read by plan that is under way: what it was charged before, and what it has read so far, by what senders answered.
//!
//! A read may have a log read twice: a replica that had not enough, then its owner. All of it is charged. Held against the
//! read's bound is what each log took at most, since that is what was predicted.

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
    /// What was decided, and on what.
    pub decided: Decided,
    running: RunningQuery,
    /// Shards and bytes that it may read.
    bound: (u64, u64),
    /// What each log took.
    logs: BTreeMap<LogId, (u64, u64)>,
    /// Sums in the order of [`super::learned::Figure`], but for rows.
    figures: [u64; FIGURES],
}

impl ChargedQuery {
    /// Decides a read, and charges its tenant's budget. Time is not looked at: such a read ends by itself at its
    /// deadline, and tells what is late, whereas one that is refused teaches nobody that it would be faster now.
    ///
    /// # Errors
    /// What was decided, if it does not run.
    pub fn begin(estimator: &mut Estimator, now: Micros, query: &Query) -> Result<Self, Box<Decided>> {
        let (decided, running) = estimator.begin(now, now, query, Micros::MAX);
        let Some(running) = running else { return Err(Box::new(decided)) };
        let prediction = &decided.estimate.prediction;
        let plan = estimator.plan(&query.tenant);
        // Without a bound, what nine in ten do not exceed must not cut the tenth.
        let bound = match prediction.bound {
            true => (prediction.shards.most, prediction.bytes.most),
            false => (plan.shards.into(), plan.bytes_per_min),
        };
        Ok(Self { decided, running, bound, logs: BTreeMap::new(), figures: [0; FIGURES] })
    }

    /// Part of it was answered, after reading this.
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

    /// Whether it has gone past its bound: nothing more is to be read then.
    ///
    /// # Errors
    /// Says by what.
    pub fn check(&self) -> Result<(), LimitExceeded> {
        let sum = |of: fn(&(u64, u64)) -> u64| self.logs.values().map(of).fold(0, u64::saturating_add);
        let (shards, bytes) = (sum(|log| log.0), sum(|log| log.1));
        if shards > self.bound.0 {
            return Err(LimitExceeded::Shards(shards));
        }
        if bytes > self.bound.1 { Err(LimitExceeded::Bytes(bytes)) } else { Ok(()) }
    }

    /// Shards and bytes that were read so far, at all senders.
    pub fn read(&self) -> (u64, u64) {
        (self.figures[0], self.figures[2])
    }

    /// It has ended, however it did: its charge is corrected. What a whole one took is learned: rows and microseconds.
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
