//! Replication of logs. The owner chooses replicas by rendezvous hashing (Thaler and Ravishankar, 1998) among
//! senders on other hosts that the membership view holds to be present, and sends each of them what changed
//! after the number that it has reached: current states, in the order of numbers.
//!
//! A watermark is claimed only where it holds. A message that changes again before its earlier change was
//! sent leaves the range below the claim. `moved_upto` is the greatest number to which such a message has
//! moved, and nothing is claimed until that number has been sent too. A receiver that lost its data, or whose
//! channel broke, reports how far it is, and the owner resumes there. A replica of a log of an ended
//! generation sends what it holds to the owner, which now writes another one.

use std::collections::{BTreeMap, BTreeSet};

use super::log::Log;
use super::shards::{Table, size_of};
use super::store::{Batch, BatchAck, Store};
use super::{Change, LogId, Positions, Rank, Watermark};
use crate::interface::Micros;
use crate::membership::{MembershipView, State};

/// Approximate size of a batch, bytes.
const BATCH_BYTES: usize = 12 * 1024;
/// Maximum number of unacknowledged batches for each receiver.
const MAX_UNACKED: u32 = 4;
/// Minimum interval between two batches to one receiver.
const BATCH_INTERVAL: Micros = 20_000;
/// Interval of batches without changes to a receiver that is up to date.
pub const HEARTBEAT: Micros = 1_000_000;
/// Interval at which a receiver that does not answer is asked again how far it is.
const PROBE_INTERVAL: Micros = 1_000_000;
/// Maximum bytes per second to all receivers together: some 6,000 datagrams.
pub const MAX_BYTES_PER_S: u64 = 1 << 20;
/// Maximum unused budget that may accumulate, bytes.
const MAX_SAVED_BYTES: u64 = 128 * 1024;
/// Maximum number of receivers at a time: replicas, and owners of logs of ended generations.
pub const MAX_RECEIVERS: usize = 32;

/// The rendezvous weight of a sender as replica of an owner's log: a pseudo-random number that all senders
/// compute alike (`SplitMix64`, Steele and others, 2014).
fn weight(owner: Rank, rank: Rank) -> u64 {
    let mut hash =
        (u64::from(owner) << 16 | u64::from(rank)).wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// The replicas of an owner's log, best first. `hosts` gives the host of each rank.
pub fn replicas(owner: Rank, count: usize, hosts: &[u32], view: &MembershipView) -> Vec<Rank> {
    let host = |rank: Rank| hosts.get(usize::from(rank));
    let present = |rank: &Rank| {
        let state = view.members.get(usize::from(*rank)).map(|member| member.state);
        host(*rank) != host(owner) && matches!(state, Some(State::Alive | State::Suspect))
    };
    let mut ranks: Vec<Rank> =
        (0..hosts.len()).filter_map(|rank| Rank::try_from(rank).ok()).filter(present).collect();
    ranks.sort_by_key(|rank| std::cmp::Reverse(weight(owner, *rank)));
    ranks.truncate(count);
    ranks
}

/// The candidates for replicas of an owner's log, best first, whether or not they were present when the
/// replicas were chosen.
pub fn candidates(owner: Rank, count: usize, hosts: &[u32]) -> Vec<Rank> {
    let elsewhere = |rank: &Rank| hosts.get(usize::from(*rank)) != hosts.get(usize::from(owner));
    let ranks = (0..hosts.len()).filter_map(|rank| Rank::try_from(rank).ok());
    let mut ranks: Vec<Rank> = ranks.filter(elsewhere).collect();
    ranks.sort_by_key(|rank| std::cmp::Reverse(weight(owner, *rank)));
    ranks.truncate(count);
    ranks
}

/// The progress of a receiver with a log.
#[derive(Debug, Default)]
struct Progress {
    /// The number that it has reached, or will reach with what is under way; unknown until it reports it.
    cursor: Option<u64>,
    /// The position that will be claimed next, and a time when no change beyond it had happened.
    pending: PendingClaim,
    /// The greatest number to which messages have moved that left the range below the pending claim.
    moved_upto: u64,
    /// When something was sent last.
    sent_at: Micros,
    unacked: u32,
    /// All of a log of an ended generation has been sent.
    complete: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct PendingClaim {
    upto: u64,
    as_of: Micros,
}

/// The replication state of a sender.
#[derive(Debug)]
pub struct Replication {
    own: Rank,
    progress: BTreeMap<(Rank, LogId), Progress>,
    chosen: Vec<Rank>,
    /// The watermarks that other senders reported, for each log.
    hints: BTreeMap<Rank, Positions>,
    budget: u64,
    refilled_at: Micros,
    /// The last number of the own log when this process, or its current generation, started.
    start_number: u64,
    /// Receivers that have reported since then how far they are with it.
    reported: BTreeSet<Rank>,
}

impl Replication {
    /// Starts without receivers.
    pub fn new(own: Rank, now: Micros) -> Self {
        let (progress, hints) = (BTreeMap::new(), BTreeMap::new());
        let (start_number, reported) = (0, BTreeSet::new());
        Self {
            own,
            progress,
            chosen: Vec::new(),
            hints,
            budget: MAX_SAVED_BYTES,
            refilled_at: now,
            start_number,
            reported,
        }
    }

    /// The own log continues after this number in this process.
    pub fn set_start(&mut self, last: u64) {
        self.start_number = last;
        self.reported.clear();
    }

    /// Sets the replicas of the own log.
    pub fn set_replicas(&mut self, chosen: Vec<Rank>, log: LogId) {
        self.progress.retain(|(to, id), _| id.owner != self.own || *id != log || chosen.contains(to));
        for to in &chosen {
            self.progress.entry((*to, log)).or_default();
        }
        self.chosen = chosen;
    }

    /// The own log has a new generation.
    pub fn start_generation(&mut self, log: LogId) {
        self.progress.retain(|(_, id), _| id.owner != self.own);
        // No receiver holds anything of it before it is asked.
        self.set_start(0);
        self.set_replicas(self.chosen.clone(), log);
    }

    /// The replicas of the own log.
    pub fn chosen(&self) -> &[Rank] {
        &self.chosen
    }

    /// The watermarks that other senders reported.
    pub fn hints(&self) -> &BTreeMap<Rank, Positions> {
        &self.hints
    }

    /// Records the watermark of a log that another sender reported.
    pub fn record_hint(&mut self, from: Rank, log: LogId, reached: Watermark) {
        let known = self.hints.entry(from).or_default();
        if known.len() < super::store::MAX_LOGS || known.contains_key(&log) {
            known.insert(log, reached);
        }
    }

    /// A message of the own log has moved from number `before` to `number`.
    pub fn record_move(&mut self, log: LogId, before: u64, number: u64) {
        for ((_, id), state) in &mut self.progress {
            let unsent = state.cursor.is_some_and(|cursor| cursor < before);
            if *id == log && unsent && before <= state.pending.upto.max(state.moved_upto) {
                state.moved_upto = number;
            }
        }
    }

    /// The channel to a sender broke, or its process restarted: what was under way may be lost.
    pub fn reset_receiver(&mut self, to: Rank) {
        for ((receiver, _), state) in &mut self.progress {
            if *receiver == to {
                (state.cursor, state.unacked, state.complete) = (None, 0, false);
            }
        }
    }

    /// An owner writes its log in the generation `current`: logs of its other generations that are held here
    /// are to be sent to it.
    pub fn send_old_generations(&mut self, owner: Rank, current: LogId, store: &Store) {
        for (id, _) in store.of(owner).filter(|(id, _)| **id != current) {
            if self.progress.len() < MAX_RECEIVERS {
                self.progress.entry((owner, *id)).or_default();
            }
        }
        self.progress.remove(&(owner, current));
    }

    /// Handles a receiver's report of how far it is. Returns false if it holds more of the own log than
    /// exists: the generation must not continue then. A receiver's first report is compared with the number
    /// at which this process started, since nothing is sent to a receiver before its first report: a folder
    /// restored to an older state has by then assigned numbers a second time.
    #[must_use]
    pub fn handle_ack(&mut self, from: Rank, ack: &BatchAck, log: &Log, now: Micros) -> bool {
        if ack.log == log.id() {
            let first = self.reported.insert(from);
            let max_number = if first { self.start_number } else { log.last() };
            if ack.cursor.max(ack.reached.upto) > max_number {
                return false;
            }
        }
        self.record_hint(from, ack.log, ack.reached);
        if let Some(state) = self.progress.get_mut(&(from, ack.log)) {
            state.unacked = state.unacked.saturating_sub(1);
            if ack.gap || state.cursor.is_none() {
                state.cursor = Some(ack.cursor);
                state.unacked = 0;
                (state.pending, state.moved_upto) = (PendingClaim { upto: log.last(), as_of: now }, 0);
            }
        }
        true
    }

    /// When something has to be sent next. `last` is the own log's last number.
    pub fn due(&self, last: u64) -> Option<Micros> {
        let due = self.progress.iter().filter_map(|((_, id), state)| match state.cursor {
            None => Some(state.sent_at + PROBE_INTERVAL),
            // The receiver's answer, or the loss of its channel, sets the time.
            Some(_) if state.unacked >= MAX_UNACKED => None,
            Some(_) if id.owner != self.own => (!state.complete).then_some(state.sent_at + BATCH_INTERVAL),
            Some(cursor) if cursor < last => Some(state.sent_at + BATCH_INTERVAL),
            Some(_) => Some(state.sent_at + HEARTBEAT),
        });
        due.min()
    }

    /// The batches that are due, with their receivers.
    pub fn batches(&mut self, now: Micros, log: &Log, store: &Store) -> Vec<(Rank, Batch)> {
        let gained = now.saturating_sub(self.refilled_at).min(1_000_000) * MAX_BYTES_PER_S / 1_000_000;
        if gained > 0 {
            (self.budget, self.refilled_at) = ((self.budget + gained).min(MAX_SAVED_BYTES), now);
        }
        self.progress
            .retain(|(to, id), _| id.owner == self.own || *to == id.owner && store.logs().contains_key(id));
        let mut out = Vec::new();
        for ((to, id), state) in &mut self.progress {
            let own = id.owner == self.own;
            let Some(cursor) = state.cursor else {
                if now >= state.sent_at + PROBE_INTERVAL {
                    state.sent_at = now;
                    out.push((
                        *to,
                        Batch { log: *id, from: 0, to: 0, known_since: 0, claim: None, changes: vec![] },
                    ));
                }
                continue;
            };
            let (table, last, full_claim) = match store.logs().get(id) {
                _ if own => (log.table(), log.last(), Watermark { upto: log.last(), as_of: now }),
                Some(replica) => (&replica.table, replica.cursor(), replica.reached),
                None => continue,
            };
            let up_to_date = cursor >= last;
            let interval = if up_to_date { HEARTBEAT } else { BATCH_INTERVAL };
            if now < state.sent_at + interval
                || state.unacked >= MAX_UNACKED
                || !own && state.complete
                || self.budget == 0
            {
                continue;
            }
            let (changes, upto) = next_changes(table, cursor, last, &mut self.budget);
            let claim = if upto >= last {
                Some(full_claim)
            } else if own && upto >= state.pending.upto.max(state.moved_upto) {
                Some(Watermark { upto: state.pending.upto, as_of: state.pending.as_of })
            } else {
                None
            };
            if claim.is_some() {
                (state.pending, state.moved_upto) = (PendingClaim { upto: last, as_of: now }, 0);
            }
            state.cursor = Some(upto);
            state.complete = !own && upto >= last;
            state.sent_at = now;
            state.unacked += 1;
            let known_since = table.known_since();
            out.push((*to, Batch { log: *id, from: cursor, to: upto, known_since, claim, changes }));
        }
        out
    }

    /// For operators: the receivers, their logs, and how far each of them is, if it answers.
    pub fn receivers(&self) -> impl Iterator<Item = (Rank, LogId, Option<u64>)> {
        self.progress.iter().map(|((to, id), state)| (*to, *id, state.cursor))
    }
}

fn next_changes(table: &Table, cursor: u64, last: u64, budget: &mut u64) -> (Vec<Change>, u64) {
    let (mut changes, mut bytes, mut upto) = (Vec::new(), 0, cursor);
    for row in table.after(cursor) {
        if bytes >= BATCH_BYTES || bytes as u64 >= *budget {
            *budget = budget.saturating_sub(bytes as u64);
            return (changes, upto);
        }
        bytes += size_of(&row.entry);
        upto = row.number;
        changes.push(Change { number: row.number, entry: row.entry.clone() });
    }
    *budget = budget.saturating_sub(bytes as u64);
    (changes, upto.max(last))
}
