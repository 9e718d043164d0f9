//! What something will cost, told before it is done: a query of the status index, or a planned run of messages. Here
//! are the words; the rooms below hold summaries, prediction, budgets and what was learned. No I/O: time, chance and
//! what others told come from outside.
//!
//! A prediction is made from summaries that shards' owners make of themselves. It never says that a shard is not touched
//! which holds a row within what its summary covers.

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

/// A figure that is not known for sure.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// Nine in ten fall between this,
    pub least: u64,
    /// around this,
    pub expected: u64,
    /// and this. Where a prediction says that it is a bound, none is beyond it.
    pub most: u64,
}

impl Interval {
    /// A figure that is known.
    pub fn exactly(figure: u64) -> Self {
        Self { least: figure, expected: figure, most: figure }
    }

    /// Whether a figure falls into it.
    pub fn holds(&self, figure: u64) -> bool {
        (self.least..=self.most).contains(&figure)
    }
}

/// What a query will touch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Prediction {
    /// Shards in which entries are read.
    pub shards: Interval,
    /// Entries read there.
    pub entries: Interval,
    /// Their bytes.
    pub bytes: Interval,
    /// Bytes between senders, and datagrams.
    pub wire_bytes: Interval,
    /// Datagrams between senders.
    pub datagrams: Interval,
    /// Rows of the answer, before its limit.
    pub rows: Interval,
    /// Microseconds until the answer: median and 99th percentile.
    pub time: (Micros, Micros),
    /// Whether `most` is a bound: each summary is there and as new as what it covers.
    pub bound: bool,
    /// What the bounds suffer from.
    pub doubts: Vec<Doubt>,
}

/// Why a prediction is less sure than it could be. Each widens the interval.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "why")]
pub enum Doubt {
    /// Nothing is known of an owner's shards.
    Missing {
        /// Whose.
        owner: u16,
    },
    /// What is known of them is old.
    Old {
        /// Whose.
        owner: u16,
        /// Since when nothing newer came, microseconds.
        age: Micros,
    },
    /// Their owner is held for dead, or a life of it is over.
    Gone {
        /// Whose.
        owner: u16,
    },
    /// The filter of a shard is so full that it says yes to nearly anything.
    Full {
        /// Whose.
        owner: u16,
    },
    /// Of late fewer than 88 in 100 came out as said; the intervals are wider by this many percent.
    Missed {
        /// Percent.
        wider: u32,
    },
}

/// What is to be done with a query, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum Decision {
    /// As it is.
    Run,
    /// With less; what was left out is told.
    Narrowed {
        /// Messages taken on before then are left out, Unix microseconds.
        from: Micros,
        /// Why.
        reason: Reason,
    },
    /// Not now.
    Later {
        /// When it may, microseconds from now.
        after: Micros,
        /// Why.
        reason: Reason,
    },
    /// Not at all, as it is asked.
    Refused {
        /// Why.
        reason: Reason,
    },
}

/// Why a query does not run as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It may touch more shards than the tenant's plan allows for one query.
    Shards,
    /// It may read more bytes than that.
    Bytes,
    /// The tenant's queries of this minute are used up.
    Queries,
    /// The tenant's bytes of this minute are used up, or lent to other senders.
    Budget,
    /// Its answer can't be there before its deadline.
    Time,
}
