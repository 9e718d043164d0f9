//! Replication of logs. The owner chooses replicas by rendezvous hashing (Thaler and Ravishankar, 1998) among
//! senders on other hosts that the membership view holds to be present, and sends each of them what changed
//! after the number that it has reached: current states, in the order of numbers.
//!
//! A watermark is claimed only where it holds. A message that changes again before its earlier change was
//! sent leaves the range below the claim. `worst` is the greatest number to which such a message has moved,
//! and nothing is claimed until that number has been sent too. A receiver that lost its data, or whose
//! channel broke, reports how far it is, and the owner resumes there. A replica of a log of an earlier
//! generation sends what it holds to the owner, which writes a later generation.

use std::collections::{BTreeMap, BTreeSet};

use super::log::Log;
use super::shards::{Table, size_of};
use super::store::{Batch, BatchAck, Store};
use super::{Change, LogId, Positions, Rank, Watermark};
use crate::interface::Micros;
use crate::membership::{MembershipView, State};

/// Approximate size of a batch, bytes.
const BATCH: usize = 12 * 1024;
/// Maximum number of unacknowledged batches for each receiver.
const UNANSWERED: u32 = 4;
/// Minimum interval between two batches to one receiver.
const PACE: Micros = 20_000;
/// Interval of batches without changes to a receiver that is up to date.
pub const HEARTBEAT: Micros = 1_000_000;
/// Interval at which a receiver that does not answer is asked again how far it is.
const PROBE: Micros = 1_000_000;
/// Maximum bytes per second to all receivers together: some 6,000 datagrams.
pub const MAX_BYTES_PER_S: u64 = 1 << 20;
/// Maximum unused budget that may accumulate, bytes.
const SAVED: u64 = 128 * 1024;
/// Maximum number of receivers at a time: replicas, and owners of logs of earlier generations.
pub const MAX_RECEIVERS: usize = 32;

/// The rendezvous weight of a sender as replica of an owner's log: a pseudo-random number that all senders
/// compute alike (`SplitMix64`, Steele and others, 2014).
fn weight(owner: Rank, rank: Rank) -> u64 {
    let mut drawn =
        (u64::from(owner) << 16 | u64::from(rank)).wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    drawn = (drawn ^ (drawn >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    drawn = (drawn ^ (drawn >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    drawn ^ (drawn >> 31)
}

/// The replicas of an owner's log, best first. `hosts` gives the host of each rank.
pub fn replicas(owner: Rank, count: usize, hosts: &[u32], facts: &MembershipView) -> Vec<Rank> {
    let host = |rank: Rank| hosts.get(usize::from(rank));
    let there = |rank: &Rank| {
        let state = facts.members.get(usize::from(*rank)).map(|fact| fact.state);
        host(*rank) != host(owner) && matches!(state, Some(State::Alive | State::Suspect))
    };
    let mut ranks: Vec<Rank> =
        (0..hosts.len()).filter_map(|rank| Rank::try_from(rank).ok()).filter(there).collect();
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
struct Push {
    /// The number that it has reached, or will reach with what is under way; unknown until it reports it.
    cursor: Option<u64>,
    /// The position that will be claimed next, and a time when no change beyond it had happened.
    mark: Mark,
    /// The greatest number to which messages have moved that left the range below the mark.
    worst: u64,
    /// When something was sent last.
    said: Micros,
    unanswered: u32,
    /// All of a log of an earlier generation has been sent.
    done: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct Mark {
    upto: u64,
    as_of: Micros,
}

/// The replication state of a sender.
#[derive(Debug)]
pub struct Replication {
    own: Rank,
    pushes: BTreeMap<(Rank, LogId), Push>,
    chosen: Vec<Rank>,
    /// The watermarks that other senders reported, for each log.
    hints: BTreeMap<Rank, Positions>,
    budget: u64,
    filled: Micros,
    /// The last number of the own log when this process, or its current generation, started.
    begun: u64,
    /// Receivers that have reported since then how far they are with it.
    heard: BTreeSet<Rank>,
}

impl Replication {
    /// Starts without receivers.
    pub fn new(own: Rank, now: Micros) -> Self {
        let (pushes, hints) = (BTreeMap::new(), BTreeMap::new());
        let (begun, heard) = (0, BTreeSet::new());
        Self { own, pushes, chosen: Vec::new(), hints, budget: SAVED, filled: now, begun, heard }
    }

    /// The own log continues after this number in this process.
    pub fn begins(&mut self, last: u64) {
        self.begun = last;
        self.heard.clear();
    }

    /// Sets the replicas of the own log.
    pub fn choose(&mut self, chosen: Vec<Rank>, log: LogId) {
        self.pushes.retain(|(to, id), _| id.owner != self.own || *id != log || chosen.contains(to));
        for to in &chosen {
            self.pushes.entry((*to, log)).or_default();
        }
        self.chosen = chosen;
    }

    /// The own log has a new generation.
    pub fn renewed(&mut self, log: LogId) {
        self.pushes.retain(|(_, id), _| id.owner != self.own);
        // No receiver holds anything of it before it is asked.
        self.begins(0);
        self.choose(self.chosen.clone(), log);
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
    pub fn hint(&mut self, from: Rank, log: LogId, reached: Watermark) {
        let known = self.hints.entry(from).or_default();
        if known.len() < super::store::MAX_LOGS || known.contains_key(&log) {
            known.insert(log, reached);
        }
    }

    /// A message of the own log has moved from number `before` to `number`.
    pub fn moved(&mut self, log: LogId, before: u64, number: u64) {
        for ((_, id), push) in &mut self.pushes {
            let unsent = push.cursor.is_some_and(|cursor| cursor < before);
            if *id == log && unsent && before <= push.mark.upto.max(push.worst) {
                push.worst = number;
            }
        }
    }

    /// The channel to a sender broke, or its process restarted: what was under way may be lost.
    pub fn broken(&mut self, to: Rank) {
        for ((receiver, _), push) in &mut self.pushes {
            if *receiver == to {
                (push.cursor, push.unanswered, push.done) = (None, 0, false);
            }
        }
    }

    /// An owner writes its log in the generation `life`: logs of its other generations that are held here are
    /// to be sent to it.
    pub fn lives(&mut self, owner: Rank, life: LogId, store: &Store) {
        for (id, _) in store.of(owner).filter(|(id, _)| **id != life) {
            if self.pushes.len() < MAX_RECEIVERS {
                self.pushes.entry((owner, *id)).or_default();
            }
        }
        self.pushes.remove(&(owner, life));
    }

    /// Handles a receiver's report of how far it is. Returns false if it holds more of the own log than
    /// exists: the generation must not continue then. A receiver's first report is compared with the number
    /// at which this process started, since nothing is sent to a receiver before its first report: a folder
    /// restored to an older state has by then assigned numbers a second time.
    #[must_use]
    pub fn answered(&mut self, from: Rank, have: &BatchAck, log: &Log, now: Micros) -> bool {
        if have.log == log.id() {
            let first = self.heard.insert(from);
            let most = if first { self.begun } else { log.last() };
            if have.cursor.max(have.reached.upto) > most {
                return false;
            }
        }
        self.hint(from, have.log, have.reached);
        if let Some(push) = self.pushes.get_mut(&(from, have.log)) {
            push.unanswered = push.unanswered.saturating_sub(1);
            if have.gap || push.cursor.is_none() {
                push.cursor = Some(have.cursor);
                push.unanswered = 0;
                (push.mark, push.worst) = (Mark { upto: log.last(), as_of: now }, 0);
            }
        }
        true
    }

    /// When something has to be sent next. `last` is the own log's last number.
    pub fn due(&self, last: u64) -> Option<Micros> {
        let due = self.pushes.iter().filter_map(|((_, id), push)| match push.cursor {
            None => Some(push.said + PROBE),
            // The receiver's answer, or the loss of its channel, sets the time.
            Some(_) if push.unanswered >= UNANSWERED => None,
            Some(_) if id.owner != self.own => (!push.done).then_some(push.said + PACE),
            Some(cursor) if cursor < last => Some(push.said + PACE),
            Some(_) => Some(push.said + HEARTBEAT),
        });
        due.min()
    }

    /// The batches that are due, with their receivers.
    pub fn batches(&mut self, now: Micros, log: &Log, store: &Store) -> Vec<(Rank, Batch)> {
        let gained = now.saturating_sub(self.filled).min(1_000_000) * MAX_BYTES_PER_S / 1_000_000;
        if gained > 0 {
            (self.budget, self.filled) = ((self.budget + gained).min(SAVED), now);
        }
        self.pushes
            .retain(|(to, id), _| id.owner == self.own || *to == id.owner && store.logs().contains_key(id));
        let mut out = Vec::new();
        for ((to, id), push) in &mut self.pushes {
            let own = id.owner == self.own;
            let Some(cursor) = push.cursor else {
                if now >= push.said + PROBE {
                    push.said = now;
                    out.push((
                        *to,
                        Batch { log: *id, from: 0, to: 0, known_since: 0, claim: None, changes: vec![] },
                    ));
                }
                continue;
            };
            let (table, last, whole) = match store.logs().get(id) {
                _ if own => (log.table(), log.last(), Watermark { upto: log.last(), as_of: now }),
                Some(copy) => (&copy.table, copy.cursor(), copy.reached),
                None => continue,
            };
            let quiet = cursor >= last;
            let rest = if quiet { HEARTBEAT } else { PACE };
            if now < push.said + rest
                || push.unanswered >= UNANSWERED
                || !own && push.done
                || self.budget == 0
            {
                continue;
            }
            let (changes, upto) = piece(table, cursor, last, &mut self.budget);
            let claim = if upto >= last {
                Some(whole)
            } else if own && upto >= push.mark.upto.max(push.worst) {
                Some(Watermark { upto: push.mark.upto, as_of: push.mark.as_of })
            } else {
                None
            };
            if claim.is_some() {
                (push.mark, push.worst) = (Mark { upto: last, as_of: now }, 0);
            }
            push.cursor = Some(upto);
            push.done = !own && upto >= last;
            push.said = now;
            push.unanswered += 1;
            let known_since = table.known_since();
            out.push((*to, Batch { log: *id, from: cursor, to: upto, known_since, claim, changes }));
        }
        out
    }

    /// For operators: the receivers, their logs, and how far each of them is, if it answers.
    pub fn receivers(&self) -> impl Iterator<Item = (Rank, LogId, Option<u64>)> {
        self.pushes.iter().map(|((to, id), push)| (*to, *id, push.cursor))
    }
}

fn piece(table: &Table, cursor: u64, last: u64, budget: &mut u64) -> (Vec<Change>, u64) {
    let (mut changes, mut bytes, mut upto) = (Vec::new(), 0, cursor);
    for held in table.after(cursor) {
        if bytes >= BATCH || bytes as u64 >= *budget {
            *budget = budget.saturating_sub(bytes as u64);
            return (changes, upto);
        }
        bytes += size_of(&held.entry);
        upto = held.number;
        changes.push(Change { number: held.number, entry: held.entry.clone() });
    }
    *budget = budget.saturating_sub(bytes as u64);
    (changes, upto.max(last))
}
