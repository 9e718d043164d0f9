//! Cost estimates made before the work is done: for a query of the status index, and for a planned run of
//! messages. This module defines the shared types; the submodules hold summaries, prediction, budgets and
//! calibration. It does no I/O: time, random seeds and the messages of other senders are passed in.
//!
//! A prediction is made from the summaries that each owner publishes of its shards. It never excludes a shard
//! that holds a matching row within the range that its summary covers.

pub mod budget_lease;
pub mod charged;
pub mod decide;
pub mod estimator;
pub mod learned;
pub mod predict;
pub mod sending;
pub mod summary;
pub mod summary_cache;

use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// An estimated figure with its 90 % interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// Lower end: nine in ten results fall between this and [`Interval::most`].
    pub least: u64,
    /// Expected figure.
    pub expected: u64,
    /// Upper end. In a prediction with `bound` set, no result exceeds it.
    pub most: u64,
}

impl Interval {
    /// An interval of one exactly known figure.
    pub fn exactly(figure: u64) -> Self {
        Self { least: figure, expected: figure, most: figure }
    }

    /// Whether a figure falls into the interval.
    pub fn holds(&self, figure: u64) -> bool {
        (self.least..=self.most).contains(&figure)
    }
}

/// What a query is predicted to touch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Prediction {
    /// Shards in which entries are read.
    pub shards: Interval,
    /// Entries read in those shards.
    pub entries: Interval,
    /// Bytes of those entries.
    pub bytes: Interval,
    /// Bytes sent between senders.
    pub wire_bytes: Interval,
    /// Datagrams sent between senders.
    pub datagrams: Interval,
    /// Rows of the answer, before its limit is applied.
    pub rows: Interval,
    /// Microseconds until the answer: median and 99th percentile.
    pub time: (Micros, Micros),
    /// Whether `most` is a hard bound: every summary is present and as new as its catalogue.
    pub bound: bool,
    /// Why the prediction is uncertain.
    pub doubts: Vec<Doubt>,
}

/// A reason for uncertainty in a prediction. Each one widens the intervals.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "why")]
pub enum Doubt {
    /// No summary of some or all of an owner's shards is held.
    Missing {
        /// The owner.
        owner: u16,
    },
    /// The owner's catalogue is stale.
    Old {
        /// The owner.
        owner: u16,
        /// Age of the newest catalogue, microseconds.
        age: Micros,
    },
    /// The owner is considered dead, or an earlier incarnation of it has ended.
    Gone {
        /// The owner.
        owner: u16,
    },
    /// A shard's filter is so full that it matches nearly any key.
    Full {
        /// The owner.
        owner: u16,
    },
    /// Fewer than 88 of the last 100 outcomes fell into their intervals; the intervals are widened by this
    /// percentage.
    Missed {
        /// Percent.
        wider: u32,
    },
}

/// The decision on a query, with its reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum Decision {
    /// Run it unchanged.
    Run,
    /// Run it on a shorter time range; the answer says what was left out.
    Narrowed {
        /// Messages accepted before this time are left out, Unix microseconds.
        from: Micros,
        /// Why it was narrowed.
        reason: Reason,
    },
    /// Retry it later.
    Later {
        /// When it may run, microseconds from now.
        after: Micros,
        /// Why it has to wait.
        reason: Reason,
    },
    /// Refuse it in this form.
    Refused {
        /// Why it was refused.
        reason: Reason,
    },
}

/// Why a query does not run unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It may touch more shards than the tenant's plan allows for one query.
    Shards,
    /// It may read more bytes than the plan allows for one query.
    Bytes,
    /// The tenant's queries of this minute are used up.
    Queries,
    /// The tenant's bytes of this minute are used up, or leased to other senders.
    Budget,
    /// Its answer can't be ready before its deadline.
    Time,
}
