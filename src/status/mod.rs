//! The status index: what became of each message, kept by the sender that took it on and, behind it, by replicas, so
//! that any sender of the tier can be asked. Here are the words that its rooms, [`crate::estimate`] and
//! [`crate::plans`] share.
//!
//! - A *change* is a hand-in that got its 202, and each change of that message's state after it. The sender at which it
//!   happens writes it into its own log; nobody else ever writes there.
//! - A *log* belongs to an owner and one [`Generation`] of its folder; within it changes have numbers from 1, without gaps.
//! - A *shard* is one owner's part of the index for one span of time, by when a message was taken on.
//! - A message that another sender adopted has changes in two logs. What is known of it is the join of all of them.

pub mod folder;
pub mod index;
pub mod log;
pub mod query;
pub mod replicate;
pub mod shards;
pub mod store;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use crate::membership::Rank;

use crate::interface::Micros;

/// Bounds of the memory for the index, MB.
pub const ROOM_MB: (u32, u32) = (1, 64);
/// Bounds of how long an ended entry is kept, seconds.
pub const KEEP_S: (u32, u32) = (10, 86_400);
/// Bounds of the number of replicas.
pub const REPLICAS: (u32, u32) = (0, 4);
/// Bounds of a shard's span, seconds.
pub const SPAN_S: (u32, u32) = (1, 3_600);
/// A longer id is not indexed, bytes.
pub const MAX_ID_LEN: usize = 64;
/// Ids that a query may name at most.
pub const MAX_IDS: usize = 256;
/// Rows that an answer holds at most.
pub const MAX_ROWS: usize = 1_000;

/// The section `status`. It needs `membership`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// For own entries and those of others, MB.
    #[serde(default = "room")]
    pub room_mb: u32,
    /// How long an entry is kept after its end, seconds; less where `room_mb` does not suffice.
    #[serde(default = "keep")]
    pub keep_s: u32,
    /// Other senders that keep this one's log.
    #[serde(default = "replicas")]
    pub replicas: u32,
    /// A shard's span, seconds.
    #[serde(default = "span")]
    pub span_s: u32,
}

fn room() -> u32 {
    8
}

fn keep() -> u32 {
    600
}

fn replicas() -> u32 {
    2
}

fn span() -> u32 {
    60
}

/// Which life of an owner's folder: drawn by chance when a folder is found empty, and kept in it. Two lives of one
/// owner are not in any order: what was written in a lost one is either with a replica or lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation(pub u64);

/// A log: its owner, and the life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogId {
    /// The sender that writes it.
    pub owner: Rank,
    /// In which life.
    #[serde(rename = "life")]
    pub generation: Generation,
}

/// A shard: one owner's entries whose messages were taken on in one span of Unix time, counted in spans.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// The sender in whose log they are.
    pub owner: Rank,
    /// Unix time over the span's length, rounded down.
    pub span: u32,
}

/// How far somebody has a log. It never goes back, and is never said before it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Watermark {
    /// All changes up to this number are there; 0 is none.
    pub upto: u64,
    /// The owner's clock when nothing beyond `upto` had happened, as the owner said it; Unix microseconds.
    pub as_of: Micros,
}

/// How far a sender has each log that it keeps.
pub type Positions = BTreeMap<LogId, Watermark>;

/// What has happened to a message, as a set: states join by union, so that order, repetition and two owners after a
/// takeover do not matter, and an end is never undone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct States(pub u8);

/// One state of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[repr(u8)]
pub enum State {
    /// The sender owes it its end.
    Taken = 1,
    /// A call was begun.
    Calling = 2,
    /// Given back; its client may hand it in again.
    Deferred = 4,
    /// Given up.
    Undeliverable = 8,
    /// It was in hand when its log was lost, or its end was not kept.
    Unknown = 16,
    /// An endpoint took it. It may stand beside another end that was told before; both are kept.
    Delivered = 32,
}

impl State {
    /// All of them, in the order in which the later one says more.
    pub const ALL: [Self; 6] =
        [Self::Taken, Self::Calling, Self::Unknown, Self::Deferred, Self::Undeliverable, Self::Delivered];
}

impl States {
    /// With one more.
    #[must_use]
    pub fn with(self, state: State) -> Self {
        Self(self.0 | state as u8)
    }

    /// Both together.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Whether it is one of them.
    pub fn has(self, state: State) -> bool {
        self.0 & state as u8 != 0
    }

    /// Whether the message has ended, one way or another.
    pub fn ended(self) -> bool {
        [State::Deferred, State::Undeliverable, State::Delivered].into_iter().any(|end| self.has(end))
    }

    /// The one that says the most; `Unknown` counts only where there is no end.
    pub fn reported(self) -> Option<State> {
        State::ALL.into_iter().rev().find(|state| self.has(*state))
    }
}

/// What is known of a message. Never its body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its `Req-Id`, of [`MAX_ID_LEN`] bytes at most.
    pub id: String,
    /// Its class, by name.
    pub class: String,
    /// Its tenant, by name; empty for none.
    pub tenant: String,
    /// Its destination.
    pub destination: u32,
    /// CRC-32 of its idempotency key, if it has one: tells whether two are alike, never what it is.
    pub key: Option<u32>,
    /// When it was taken on, Unix microseconds: the same in all logs, since it tells the shard.
    pub taken_at: Micros,
    /// When its time is up.
    pub deadline: Micros,
    /// When the last change happened.
    pub changed_at: Micros,
    /// Calls begun.
    pub attempts: u16,
    /// What has happened.
    pub states: States,
    /// The sender that owed it its end as of the highest epoch, and that epoch.
    pub owner: (u32, Rank),
}

impl Entry {
    /// Takes in what else is known of the same message: commutative, associative, idempotent. If its client handed one
    /// id in more than once with different words, those that leave it the most time stand.
    pub fn join(&mut self, other: &Self) {
        let words = |entry: &Self| (entry.deadline, entry.destination, entry.key);
        if (words(other), &other.class) > (words(self), &self.class) {
            (self.deadline, self.destination, self.key) = words(other);
            self.class.clone_from(&other.class);
        }
        self.states = self.states.join(other.states);
        self.attempts = self.attempts.max(other.attempts);
        self.changed_at = self.changed_at.max(other.changed_at);
        self.taken_at = self.taken_at.min(other.taken_at);
        self.owner = self.owner.max(other.owner);
    }
}

/// One change, as a log holds it and replicas get it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its number in the log.
    pub number: u64,
    /// The entry as it is from then on, in this log.
    pub entry: Entry,
}

/// Which messages are asked for. A query is one tenant's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Query {
    /// Whose messages; nobody else's are ever told.
    pub tenant: String,
    /// These, by `Req-Id`; all if it is empty. [`MAX_IDS`] at most.
    #[serde(default)]
    pub ids: Vec<String>,
    /// Taken on then or later, Unix microseconds.
    #[serde(default)]
    pub from: Micros,
    /// Taken on before then.
    #[serde(default = "ever")]
    pub to: Micros,
    /// Told as one of these; all if it is empty.
    #[serde(default)]
    pub states: Vec<State>,
    /// Of one of these classes; all if it is empty.
    #[serde(default)]
    pub classes: Vec<String>,
    /// For one of these destinations; all if it is empty.
    #[serde(default)]
    pub destinations: Vec<u32>,
    /// Rows at most, of [`MAX_ROWS`].
    #[serde(default = "rows")]
    pub limit: u32,
    /// Goes on after this one: rows come by `taken_at` and id.
    #[serde(default)]
    pub after: Option<(Micros, String)>,
}

fn ever() -> Micros {
    Micros::MAX
}

fn rows() -> u32 {
    100
}

impl Query {
    /// Whether an entry is one that is asked for; `limit` aside.
    pub fn wants(&self, entry: &Entry) -> bool {
        let told = || entry.states.reported().is_some_and(|told| self.states.contains(&told));
        (self.states.is_empty() || told()) && self.may_want(entry)
    }

    /// Whether an entry of one log may become one that is asked for once joined with another log's: what may still
    /// change, its state, is left out.
    pub fn may_want(&self, entry: &Entry) -> bool {
        self.tenant == entry.tenant
            && (self.ids.is_empty() || self.ids.contains(&entry.id))
            && (self.from..self.to).contains(&entry.taken_at)
            && (self.classes.is_empty() || self.classes.contains(&entry.class))
            && (self.destinations.is_empty() || self.destinations.contains(&entry.destination))
            && self.after.as_ref().is_none_or(|after| (entry.taken_at, &entry.id) > (after.0, &after.1))
    }
}
