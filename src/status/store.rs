//! What is held of other senders' logs: each as far as it came, with the position up to which all is there. A lost
//! life's log stays readable beside the one that followed it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::shards::Table;
use super::{Change, LogId, Positions, Rank, Watermark};
use crate::interface::Micros;

/// Logs held at most; beyond it the one that was heard of the longest ago goes.
pub const MAX_LOGS: usize = 128;
/// Senders that tell of one log, at most.
const MAX_SOURCES: usize = 8;
/// Entries that go for their age in one call at most.
const AGED_AT_ONCE: usize = 64;

/// A piece of a log on its way to somebody who keeps it, in the order of numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Of which log.
    pub log: LogId,
    /// It goes on after this number: the receiver must have come as far.
    pub from: u64,
    /// With it the receiver has come to this number.
    pub to: u64,
    /// The sender's horizon.
    pub known_since: Micros,
    /// With it all is there up to this position.
    pub claim: Option<Watermark>,
    /// Present states of messages whose last change lies between both.
    pub changes: Vec<Change>,
}

/// What a receiver says to a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchAck {
    /// Of which log.
    pub log: LogId,
    /// How far it has come.
    pub cursor: u64,
    /// Up to where it has all.
    pub reached: Watermark,
    /// The batch did not fit on what is there, and was left.
    pub gap: bool,
}

/// One log as far as it is here.
#[derive(Debug)]
pub struct Replica {
    /// Its entries.
    pub table: Table,
    /// Each sender that told of it came to this number; between it and the position something may be missing. More
    /// than one tells only of a life that is over.
    cursors: BTreeMap<Rank, u64>,
    /// All is there up to this.
    pub reached: Watermark,
    /// When something of it came last.
    pub heard: Micros,
}

impl Replica {
    /// The last number that came.
    pub fn cursor(&self) -> u64 {
        self.cursors.values().copied().max().unwrap_or(0)
    }
}

/// All logs of others that are held here, bounded together.
#[derive(Debug)]
pub struct Store {
    logs: BTreeMap<LogId, Replica>,
    most: usize,
    keep: Micros,
}

impl Store {
    /// Nothing yet. `most` bytes of memory, ended entries for `keep` microseconds.
    pub fn new(most: usize, keep: Micros) -> Self {
        Self { logs: BTreeMap::new(), most, keep }
    }

    /// The logs.
    pub fn logs(&self) -> &BTreeMap<LogId, Replica> {
        &self.logs
    }

    /// How far each of them is here.
    pub fn positions(&self) -> Positions {
        self.logs.iter().map(|(id, copy)| (*id, copy.reached)).collect()
    }

    /// One owner's logs, of whatever life.
    pub fn of(&self, owner: Rank) -> impl Iterator<Item = (&LogId, &Replica)> {
        self.logs.iter().filter(move |(id, _)| id.owner == owner)
    }

    /// Takes a batch in, if it goes on where the log is here; the answer says how far it is then.
    pub fn apply(&mut self, now: Micros, from: Rank, batch: Batch) -> BatchAck {
        if !self.logs.contains_key(&batch.log) && self.logs.len() >= MAX_LOGS {
            let oldest = self.logs.iter().min_by_key(|(_, copy)| copy.heard).map(|(id, _)| *id);
            oldest.map(|oldest| self.logs.remove(&oldest));
        }
        let copy = self.logs.entry(batch.log).or_insert_with(|| Replica {
            table: Table::default(),
            cursors: BTreeMap::new(),
            reached: Watermark { upto: 0, as_of: 0 },
            heard: now,
        });
        if copy.cursors.len() >= MAX_SOURCES && !copy.cursors.contains_key(&from) {
            copy.cursors.clear();
        }
        // What another sender told does not count here: both may have left out different things so far.
        let cursor = copy.cursors.entry(from).or_insert(0);
        let gap = batch.from > *cursor;
        if !gap {
            copy.heard = now;
            copy.table.forget_before(batch.known_since);
            for Change { number, entry } in batch.changes {
                copy.table.put(number, entry);
            }
            *cursor = batch.to.max(*cursor);
            if let Some(claim) = batch.claim.filter(|claim| claim.upto <= *cursor) {
                copy.reached.upto = copy.reached.upto.max(claim.upto);
                copy.reached.as_of = copy.reached.as_of.max(claim.as_of);
            }
        }
        let have = BatchAck { log: batch.log, cursor: *cursor, reached: copy.reached, gap };
        self.bound();
        have
    }

    fn bytes(&self) -> usize {
        self.logs.values().map(|copy| copy.table.bytes()).sum()
    }

    /// At the bound the log that takes the most gives up its oldest.
    fn bound(&mut self) {
        let mut bytes = self.bytes();
        while bytes > self.most {
            let Some(copy) = self.logs.values_mut().max_by_key(|copy| copy.table.bytes()) else { return };
            let before = copy.table.bytes();
            if !copy.table.drop_oldest() {
                return;
            }
            bytes -= before - copy.table.bytes();
        }
    }

    /// Leaves out what has been ended for long enough, a few at a time.
    pub fn age(&mut self, now: Micros) {
        for copy in self.logs.values_mut() {
            copy.table.bound(usize::MAX, now.saturating_sub(self.keep), AGED_AT_ONCE);
        }
    }
}
