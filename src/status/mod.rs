//! The status index: the state of each message, recorded by the sender that accepted it and replicated to
//! other senders, so that any sender of the tier can be asked. This module holds the types that its
//! submodules, [`crate::estimate`] and [`crate::plans`] share.
//!
//! - A *change* is the acceptance of a message (a submission answered with 202) or a later change of its
//!   state. The sender at which it happens appends it to its own log; no other sender writes to that log.
//! - A *log* belongs to an owner and one [`Generation`] of its state folder. Within a log, changes are
//!   numbered from 1 without gaps.
//! - A *shard* is the part of one owner's index that covers one span of time, by the time at which messages
//!   were accepted.
//! - A message that another sender adopted has changes in two logs. Its known state is the join of all of
//!   them.

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
/// Bounds of the retention time of an ended entry, seconds.
pub const KEEP_S: (u32, u32) = (10, 86_400);
/// Bounds of the number of replicas.
pub const REPLICAS: (u32, u32) = (0, 4);
/// Bounds of a shard's span, seconds.
pub const SPAN_S: (u32, u32) = (1, 3_600);
/// Maximum length of an id that is indexed, bytes.
pub const MAX_ID_LEN: usize = 64;
/// Maximum number of ids in a query.
pub const MAX_IDS: usize = 256;
/// Maximum number of rows in an answer.
pub const MAX_ROWS: usize = 1_000;

/// The section `status` of the settings. It requires `membership`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Memory for own and replicated entries together, MB.
    #[serde(default = "room")]
    pub room_mb: u32,
    /// Retention time of an entry after its end, seconds; shorter where `room_mb` does not suffice.
    #[serde(default = "keep")]
    pub keep_s: u32,
    /// Number of other senders that replicate this sender's log.
    #[serde(default = "replicas")]
    pub replicas: u32,
    /// The span of a shard, seconds.
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

/// The generation of an owner's state folder: drawn at random when a folder is found empty, and stored in it.
/// Generations of one owner are not ordered: what was written in a lost one is either held by a replica or
/// lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation(pub u64);

/// A log, identified by its owner and the generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogId {
    /// The sender that writes it.
    pub owner: Rank,
    /// The generation of that sender's folder.
    #[serde(rename = "life")]
    pub generation: Generation,
}

/// A shard: one owner's entries whose messages were accepted in one span of Unix time. Spans are numbered
/// from the epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// The sender whose log holds them.
    pub owner: Rank,
    /// Unix time divided by the span's length, rounded down.
    pub span: u32,
}

/// How much of a log a sender holds. A watermark never goes back, and is reported only once it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Watermark {
    /// All changes up to this number are held; 0 for none.
    pub upto: u64,
    /// The owner's clock, as reported by the owner, at a time when no change beyond `upto` had happened; Unix
    /// microseconds.
    pub as_of: Micros,
}

/// The watermark of each log that a sender holds.
pub type Positions = BTreeMap<LogId, Watermark>;

/// The set of states that a message has been in. States join by union, so that order, repetition and a second
/// owner after a takeover do not matter, and an end is never undone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct States(pub u8);

/// One state of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[repr(u8)]
pub enum State {
    /// Accepted; the sender still has to bring it to an end.
    Taken = 1,
    /// A call was begun.
    Calling = 2,
    /// Given back; its client may submit it again.
    Deferred = 4,
    /// Given up.
    Undeliverable = 8,
    /// Pending when its log was lost, or its end was not stored.
    Unknown = 16,
    /// Accepted by an endpoint. It may stand beside another end that was reported before; both are stored.
    Delivered = 32,
}

impl State {
    /// All states, the less informative ones first.
    pub const ALL: [Self; 6] =
        [Self::Taken, Self::Calling, Self::Unknown, Self::Deferred, Self::Undeliverable, Self::Delivered];
}

impl States {
    /// Adds a state.
    #[must_use]
    pub fn with(self, state: State) -> Self {
        Self(self.0 | state as u8)
    }

    /// The union of both sets.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Whether the set contains a state.
    pub fn has(self, state: State) -> bool {
        self.0 & state as u8 != 0
    }

    /// Whether the message has ended in any way.
    pub fn ended(self) -> bool {
        [State::Deferred, State::Undeliverable, State::Delivered].into_iter().any(|end| self.has(end))
    }

    /// The most informative state; `Unknown` counts only where there is no end.
    pub fn reported(self) -> Option<State> {
        State::ALL.into_iter().rev().find(|state| self.has(*state))
    }
}

/// The known state of a message; never its body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its `Req-Id`, at most [`MAX_ID_LEN`] bytes.
    pub id: String,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant; empty for none.
    pub tenant: String,
    /// Its destination.
    pub destination: u32,
    /// CRC-32 of its idempotency key, if it has one: shows whether two keys may be equal without revealing
    /// the key.
    pub key: Option<u32>,
    /// When it was accepted, Unix microseconds. The value is the same in all logs, since it determines the
    /// shard.
    pub taken_at: Micros,
    /// Its deadline, Unix microseconds.
    pub deadline: Micros,
    /// When its last change happened, Unix microseconds.
    pub changed_at: Micros,
    /// Number of calls begun.
    pub attempts: u16,
    /// The states that it has been in.
    pub states: States,
    /// The highest known epoch of its ownership, and the sender that owned the message in that epoch.
    pub owner: (u32, Rank),
}

impl Entry {
    /// Joins what another log knows of the same message: commutative, associative, idempotent. If the client
    /// submitted one id more than once with different parameters, those with the latest deadline win.
    pub fn join(&mut self, other: &Self) {
        let terms = |entry: &Self| (entry.deadline, entry.destination, entry.key);
        if (terms(other), &other.class) > (terms(self), &self.class) {
            (self.deadline, self.destination, self.key) = terms(other);
            self.class.clone_from(&other.class);
        }
        self.states = self.states.join(other.states);
        self.attempts = self.attempts.max(other.attempts);
        self.changed_at = self.changed_at.max(other.changed_at);
        self.taken_at = self.taken_at.min(other.taken_at);
        self.owner = self.owner.max(other.owner);
    }
}

/// A change, as it stands in a log and is sent to replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its number in the log.
    pub number: u64,
    /// The entry in this log after the change.
    pub entry: Entry,
}

/// Selects messages. A query concerns one tenant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Query {
    /// The tenant; messages of other tenants are never returned.
    pub tenant: String,
    /// The `Req-Id`s to look up, at most [`MAX_IDS`]; all messages if empty.
    #[serde(default)]
    pub ids: Vec<String>,
    /// Accepted at this time or later, Unix microseconds.
    #[serde(default)]
    pub from: Micros,
    /// Accepted before this time, Unix microseconds.
    #[serde(default = "ever")]
    pub to: Micros,
    /// Reported in one of these states; any state if empty.
    #[serde(default)]
    pub states: Vec<State>,
    /// Of one of these classes; any class if empty.
    #[serde(default)]
    pub classes: Vec<String>,
    /// For one of these destinations; any destination if empty.
    #[serde(default)]
    pub destinations: Vec<u32>,
    /// Maximum number of rows, at most [`MAX_ROWS`].
    #[serde(default = "rows")]
    pub limit: u32,
    /// Continues after this row: rows are ordered by `taken_at` and id.
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
    /// Whether an entry matches the query; `limit` is not considered.
    pub fn wants(&self, entry: &Entry) -> bool {
        let state_matches = || entry.states.reported().is_some_and(|state| self.states.contains(&state));
        (self.states.is_empty() || state_matches()) && self.may_want(entry)
    }

    /// Whether an entry of one log may match once it is joined with those of other logs: the state, which may
    /// still change, is not considered.
    pub fn may_want(&self, entry: &Entry) -> bool {
        self.tenant == entry.tenant
            && (self.ids.is_empty() || self.ids.contains(&entry.id))
            && (self.from..self.to).contains(&entry.taken_at)
            && (self.classes.is_empty() || self.classes.contains(&entry.class))
            && (self.destinations.is_empty() || self.destinations.contains(&entry.destination))
            && self.after.as_ref().is_none_or(|after| (entry.taken_at, &entry.id) > (after.0, &after.1))
    }
}
