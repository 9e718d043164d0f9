//! Entries of one log as they are held in memory, at their owner and at replicas alike: found by message, in the
//! order in which messages were taken on, and in the order of their last changes. A scan of them goes in slices.
//!
//! A table holds each message once, with its present state and the number of its last change: an earlier number of
//! the same message is not kept, since whoever gets the later one needs it no more.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::sync::Arc;

use super::{Entry, Query, Rank, ShardId};
use crate::interface::Micros;

/// A message among all tenants': its id, a zero, its tenant. Two tenants may use one id, and neither may see the
/// other's. No id holds a zero, so that the order is that of ids.
pub type Key = Arc<str>;

/// The key of a message.
pub fn key_of(tenant: &str, id: &str) -> Key {
    format!("{id}\0{tenant}").into()
}

/// What an entry takes in memory beside its texts, with its places in all indexes, bytes.
const ENTRY: usize = 360;

/// An entry, with the number of its last change in its log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableRow {
    /// The number.
    pub number: u64,
    /// What is known.
    pub entry: Entry,
}

/// About what an entry takes when it is sent or read, bytes.
pub fn size_of(entry: &Entry) -> usize {
    entry.id.len() + entry.class.len() + entry.tenant.len() + 48
}

fn cost_of(entry: &Entry) -> usize {
    ENTRY + 2 * entry.id.len() + 2 * entry.tenant.len() + entry.class.len()
}

/// The shard of an entry in its owner's log.
pub fn shard_of(owner: Rank, entry: &Entry, span: Micros) -> ShardId {
    ShardId { owner, span: u32::try_from(entry.taken_at / span.max(1)).unwrap_or(u32::MAX) }
}

/// One log's entries.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: BTreeMap<(Micros, Key), TableRow>,
    taken: HashMap<Key, Micros>,
    numbers: BTreeMap<u64, Key>,
    /// Those that have ended, by when they last changed.
    ended: BTreeSet<(Micros, Key)>,
    bytes: usize,
    known_since: Micros,
}

impl Table {
    /// Takes an entry in under a number; what is known of the message already is joined with it. A number that is not
    /// later than the one that is held changes nothing. Returns the number that the message had.
    pub fn put(&mut self, number: u64, mut entry: Entry) -> Option<u64> {
        let key = key_of(&entry.tenant, &entry.id);
        let mut before = None;
        if let Some(held) = self.get(&key) {
            if held.number >= number {
                return Some(held.number);
            }
            before = Some(held.number);
            entry.join(&held.entry);
            self.remove(&key);
        }
        self.bytes += cost_of(&entry);
        if entry.states.ended() {
            self.ended.insert((entry.changed_at, key.clone()));
        }
        self.taken.insert(key.clone(), entry.taken_at);
        self.numbers.insert(number, key.clone());
        self.rows.insert((entry.taken_at, key), TableRow { number, entry });
        before
    }

    fn remove(&mut self, key: &Key) -> Option<Entry> {
        let taken = self.taken.remove(key)?;
        let held = self.rows.remove(&(taken, key.clone()))?;
        self.numbers.remove(&held.number);
        self.ended.remove(&(held.entry.changed_at, key.clone()));
        self.bytes -= cost_of(&held.entry);
        Some(held.entry)
    }

    /// What is held of a message.
    pub fn get(&self, key: &Key) -> Option<&TableRow> {
        self.rows.get(&(*self.taken.get(key)?, key.clone()))
    }

    /// The message whose last change has that number.
    pub fn at(&self, number: u64) -> Option<&TableRow> {
        self.get(self.numbers.get(&number)?)
    }

    /// All of them, by when they were taken on, then by id.
    pub fn rows(&self) -> impl Iterator<Item = &TableRow> {
        self.rows.values()
    }

    /// Those that changed after a number, in the order of their last changes.
    pub fn after(&self, number: u64) -> impl Iterator<Item = &TableRow> {
        let from = (Bound::Excluded(number), Bound::Unbounded);
        self.numbers.range(from).filter_map(|(_, key)| self.get(key))
    }

    /// Messages held.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Memory that they take, about.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The horizon: of messages that were taken on then or later nothing was left out for want of room or time.
    pub fn known_since(&self) -> Micros {
        self.known_since
    }

    /// The horizon is at least there.
    pub fn forget_before(&mut self, horizon: Micros) {
        self.known_since = self.known_since.max(horizon);
    }

    /// Leaves the oldest ended one out, or without any the one whose last change is the longest ago. The horizon
    /// moves past it.
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

    /// Leaves out those that ended before then, `work` at most; then as many as `most` bytes need.
    pub fn bound(&mut self, most: usize, ended_before: Micros, work: usize) {
        for _ in 0..work {
            if self.ended.first().is_none_or(|(at, _)| *at >= ended_before) || !self.drop_oldest() {
                break;
            }
        }
        while self.bytes > most && self.drop_oldest() {}
    }

    /// Looks at entries of a query's range of time, after a place, until `look` says no or `budget` is used up, by one
    /// for each entry. Gives the place to go on from, or none at the end.
    pub fn scan(
        &self,
        query: &Query,
        from: Option<(Micros, Key)>,
        budget: &mut usize,
        look: &mut impl FnMut(&Entry) -> bool,
    ) -> Option<(Micros, Key)> {
        let mut place = from.unwrap_or_else(|| (begins(query), Key::from("")));
        let begin = Bound::Excluded(place.clone());
        for ((taken, key), held) in self.rows.range((begin, Bound::Unbounded)) {
            if *taken >= query.to {
                return None;
            }
            if *budget == 0 {
                return Some(place);
            }
            *budget -= 1;
            if !look(&held.entry) {
                return None;
            }
            place = (*taken, key.clone());
        }
        None
    }
}

/// When the first message was taken on that a query may want.
pub fn begins(query: &Query) -> Micros {
    query.from.max(query.after.as_ref().map_or(0, |after| after.0))
}
