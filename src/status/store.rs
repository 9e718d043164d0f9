//! Replicas of other senders' logs, each with the watermark up to which it is complete. The log of a lost
//! generation stays readable beside that of the following one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::shards::Table;
use super::{Change, LogId, Positions, Rank, Watermark};
use crate::interface::Micros;

/// Maximum number of logs held; beyond it the one that was updated least recently is dropped.
pub const MAX_LOGS: usize = 128;
/// Maximum number of senders that send one log.
const MAX_SOURCES: usize = 8;
/// Maximum number of entries that are expired in one call and log.
const MAX_EXPIRED_PER_CALL: usize = 64;

/// Part of a log sent to a receiver, in the order of numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The log.
    pub log: LogId,
    /// The number that the batch follows: the receiver must have reached it.
    pub from: u64,
    /// The number that the receiver reaches with this batch.
    pub to: u64,
    /// Messages accepted before this time may have been dropped by the sender.
    pub known_since: Micros,
    /// The watermark that the receiver reaches with this batch.
    pub claim: Option<Watermark>,
    /// Current states of the messages whose last change lies between both numbers.
    pub changes: Vec<Change>,
}

/// A receiver's answer to a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchAck {
    /// The log.
    pub log: LogId,
    /// The number that the receiver has reached.
    pub cursor: u64,
    /// The watermark up to which it holds all changes.
    pub reached: Watermark,
    /// The batch does not follow what the receiver holds, and was ignored.
    pub gap: bool,
}

/// A replica of one log.
#[derive(Debug)]
pub struct Replica {
    /// Its entries.
    pub table: Table,
    /// The number that each sender of this log has reached; between it and the watermark changes may be
    /// missing. Only a log of an ended generation has more than one sender.
    cursors: BTreeMap<Rank, u64>,
    /// All changes up to this watermark are held.
    pub reached: Watermark,
    /// When a batch for it was applied last.
    pub updated_at: Micros,
}

impl Replica {
    /// The greatest number received.
    pub fn cursor(&self) -> u64 {
        self.cursors.values().copied().max().unwrap_or(0)
    }
}

/// All replicas held here, with a common memory bound.
#[derive(Debug)]
pub struct Store {
    logs: BTreeMap<LogId, Replica>,
    max_bytes: usize,
    retention: Micros,
}

impl Store {
    /// An empty store with `max_bytes` bytes of memory; ended entries are retained for `retention`
    /// microseconds.
    pub fn new(max_bytes: usize, retention: Micros) -> Self {
        Self { logs: BTreeMap::new(), max_bytes, retention }
    }

    /// The replicas.
    pub fn logs(&self) -> &BTreeMap<LogId, Replica> {
        &self.logs
    }

    /// The watermark of each replica.
    pub fn positions(&self) -> Positions {
        self.logs.iter().map(|(id, replica)| (*id, replica.reached)).collect()
    }

    /// The replicas of one owner's logs, of any generation.
    pub fn of(&self, owner: Rank) -> impl Iterator<Item = (&LogId, &Replica)> {
        self.logs.iter().filter(move |(id, _)| id.owner == owner)
    }

    /// Applies a batch if it follows what is held; the acknowledgement states how far the replica is then.
    pub fn apply(&mut self, now: Micros, from: Rank, batch: Batch) -> BatchAck {
        if !self.logs.contains_key(&batch.log) && self.logs.len() >= MAX_LOGS {
            let oldest = self.logs.iter().min_by_key(|(_, replica)| replica.updated_at).map(|(id, _)| *id);
            oldest.map(|oldest| self.logs.remove(&oldest));
        }
        let replica = self.logs.entry(batch.log).or_insert_with(|| Replica {
            table: Table::default(),
            cursors: BTreeMap::new(),
            reached: Watermark { upto: 0, as_of: 0 },
            updated_at: now,
        });
        if replica.cursors.len() >= MAX_SOURCES && !replica.cursors.contains_key(&from) {
            replica.cursors.clear();
        }
        // The cursors of other senders do not count here: each may have left out different changes so far.
        let cursor = replica.cursors.entry(from).or_insert(0);
        let gap = batch.from > *cursor;
        if !gap {
            replica.updated_at = now;
            replica.table.raise_horizon(batch.known_since);
            for Change { number, entry } in batch.changes {
                replica.table.put(number, entry);
            }
            *cursor = batch.to.max(*cursor);
            if let Some(claim) = batch.claim.filter(|claim| claim.upto <= *cursor) {
                replica.reached.upto = replica.reached.upto.max(claim.upto);
                replica.reached.as_of = replica.reached.as_of.max(claim.as_of);
            }
        }
        let ack = BatchAck { log: batch.log, cursor: *cursor, reached: replica.reached, gap };
        self.enforce_limit();
        ack
    }

    fn bytes(&self) -> usize {
        self.logs.values().map(|replica| replica.table.bytes()).sum()
    }

    /// Enforces the memory bound: the log that uses the most memory drops its oldest entries.
    fn enforce_limit(&mut self) {
        let mut bytes = self.bytes();
        while bytes > self.max_bytes {
            let Some(replica) = self.logs.values_mut().max_by_key(|replica| replica.table.bytes()) else {
                return;
            };
            let before = replica.table.bytes();
            if !replica.table.drop_oldest() {
                return;
            }
            bytes -= before - replica.table.bytes();
        }
    }

    /// Expires entries whose retention time is over, a few at a time.
    pub fn expire(&mut self, now: Micros) {
        for replica in self.logs.values_mut() {
            replica.table.evict(usize::MAX, now.saturating_sub(self.retention), MAX_EXPIRED_PER_CALL);
        }
    }
}
