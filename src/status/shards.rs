//! In-memory table of one log's entries, used by its owner and its replicas alike. Entries can be looked up
//! by message, iterated by time of acceptance, and iterated in the order of their last changes. A scan
//! proceeds in slices.
//!
//! A table holds each message once, with its current state and the number of its last change. An earlier
//! number of the same message is not stored: a receiver of the later change does not need it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::sync::Arc;

use super::{Entry, Query, Rank, ShardId};
use crate::interface::Micros;

/// Identifies a message among those of all tenants: its id, a zero byte, its tenant. Two tenants may use the
/// same id, and neither may see the other's message. No id contains a zero byte, so the order is that of the
/// ids.
pub type Key = Arc<str>;

/// The key of a message.
pub fn key_of(tenant: &str, id: &str) -> Key {
    format!("{id}\0{tenant}").into()
}

/// Approximate memory of an entry without its texts, with its places in all indexes, bytes.
const ENTRY_OVERHEAD: usize = 360;

/// An entry, with the number of its last change in its log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableRow {
    /// The number of its last change.
    pub number: u64,
    /// The entry.
    pub entry: Entry,
}

/// Approximate size of an entry when it is sent or read, bytes.
pub fn size_of(entry: &Entry) -> usize {
    entry.id.len() + entry.class.len() + entry.tenant.len() + 48
}

fn cost_of(entry: &Entry) -> usize {
    ENTRY_OVERHEAD + 2 * entry.id.len() + 2 * entry.tenant.len() + entry.class.len()
}

/// The shard of an entry in its owner's log.
pub fn shard_of(owner: Rank, entry: &Entry, span: Micros) -> ShardId {
    ShardId { owner, span: u32::try_from(entry.taken_at / span.max(1)).unwrap_or(u32::MAX) }
}

/// The entries of one log.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: BTreeMap<(Micros, Key), TableRow>,
    accepted_at: HashMap<Key, Micros>,
    numbers: BTreeMap<u64, Key>,
    /// Ended entries, by the time of their last change.
    ended: BTreeSet<(Micros, Key)>,
    bytes: usize,
    known_since: Micros,
}

impl Table {
    /// Inserts an entry under a number, joined with the entry that is held for the message. Has no effect if
    /// the number is not later than the one that is held. Returns the previous number of the message.
    pub fn put(&mut self, number: u64, mut entry: Entry) -> Option<u64> {
        let key = key_of(&entry.tenant, &entry.id);
        let mut before = None;
        if let Some(row) = self.get(&key) {
            if row.number >= number {
                return Some(row.number);
            }
            before = Some(row.number);
            entry.join(&row.entry);
            self.remove(&key);
        }
        self.bytes += cost_of(&entry);
        if entry.states.ended() {
            self.ended.insert((entry.changed_at, key.clone()));
        }
        self.accepted_at.insert(key.clone(), entry.taken_at);
        self.numbers.insert(number, key.clone());
        self.rows.insert((entry.taken_at, key), TableRow { number, entry });
        before
    }

    fn remove(&mut self, key: &Key) -> Option<Entry> {
        let taken = self.accepted_at.remove(key)?;
        let row = self.rows.remove(&(taken, key.clone()))?;
        self.numbers.remove(&row.number);
        self.ended.remove(&(row.entry.changed_at, key.clone()));
        self.bytes -= cost_of(&row.entry);
        Some(row.entry)
    }

    /// The row of a message.
    pub fn get(&self, key: &Key) -> Option<&TableRow> {
        self.rows.get(&(*self.accepted_at.get(key)?, key.clone()))
    }

    /// The row whose last change has this number.
    pub fn at(&self, number: u64) -> Option<&TableRow> {
        self.get(self.numbers.get(&number)?)
    }

    /// All rows, by time of acceptance, then by id.
    pub fn rows(&self) -> impl Iterator<Item = &TableRow> {
        self.rows.values()
    }

    /// Rows that changed after a number, in the order of their last changes.
    pub fn after(&self, number: u64) -> impl Iterator<Item = &TableRow> {
        let from = (Bound::Excluded(number), Bound::Unbounded);
        self.numbers.range(from).filter_map(|(_, key)| self.get(key))
    }

    /// Number of messages.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Approximate memory of the entries, bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The horizon: no message accepted at this time or later was dropped for lack of memory or because of
    /// its age.
    pub fn known_since(&self) -> Micros {
        self.known_since
    }

    /// Moves the horizon to at least this time.
    pub fn raise_horizon(&mut self, horizon: Micros) {
        self.known_since = self.known_since.max(horizon);
    }

    /// Drops the entry that ended first, or, if none has ended, the one whose last change is the oldest. The
    /// horizon moves past it. Returns whether there was one.
    pub fn drop_oldest(&mut self) -> bool {
        let ended = self.ended.first().map(|(_, key)| key.clone());
        let Some(key) = ended.or_else(|| self.numbers.first_key_value().map(|(_, key)| key.clone())) else {
            return false;
        };
        if let Some(entry) = self.remove(&key) {
            self.known_since = self.known_since.max(entry.taken_at + 1);
        }
        true
    }

    /// Drops up to `max_expired` entries that ended before `ended_before`, then as many as needed to fit into
    /// `max_bytes` bytes.
    pub fn evict(&mut self, max_bytes: usize, ended_before: Micros, max_expired: usize) {
        for _ in 0..max_expired {
            if self.ended.first().is_none_or(|(at, _)| *at >= ended_before) || !self.drop_oldest() {
                break;
            }
        }
        while self.bytes > max_bytes && self.drop_oldest() {}
    }

    /// Calls `look` for the entries in a query's time range, after a place, until it returns false or
    /// `budget`, which each entry reduces by one, is used up. Returns the place to continue from, or none at
    /// the end.
    pub fn scan(
        &self,
        query: &Query,
        from: Option<(Micros, Key)>,
        budget: &mut usize,
        look: &mut impl FnMut(&Entry) -> bool,
    ) -> Option<(Micros, Key)> {
        let mut place = from.unwrap_or_else(|| (scan_start(query), Key::from("")));
        let begin = Bound::Excluded(place.clone());
        for ((taken, key), row) in self.rows.range((begin, Bound::Unbounded)) {
            if *taken >= query.to {
                return None;
            }
            if *budget == 0 {
                return Some(place);
            }
            *budget -= 1;
            if !look(&row.entry) {
                return None;
            }
            place = (*taken, key.clone());
        }
        None
    }
}

/// The earliest time of acceptance that a query may match.
pub fn scan_start(query: &Query) -> Micros {
    query.from.max(query.after.as_ref().map_or(0, |after| after.0))
}
