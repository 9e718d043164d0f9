//! How logs come to those who keep them. The owner chooses replicas by rendezvous hashing (Thaler and Ravishankar,
//! 1998) among senders on other hosts that the view holds for there, and sends each what changed after the number that
//! it has come to: present states, in the order of numbers.
//!
//! A position is claimed only where it holds. A message that changes while its earlier change is still to be sent moves
//! out of what lies before the claim; `worst` is the number that such a message has come to, and nothing is claimed
//! before that is sent too. A receiver that lost what it had, or whose channel broke, says how far it is, and the owner
//! goes back there. A replica of a life that is over sends what it has to the owner of the life that followed.

use std::collections::{BTreeMap, BTreeSet};

use super::log::Log;
use super::shards::{Table, size_of};
use super::store::{Batch, BatchAck, Store};
use super::{Change, LogId, Positions, Rank, Watermark};
use crate::interface::Micros;
use crate::membership::{MembershipView, State};

/// Bytes of a batch, about.
const BATCH: usize = 12 * 1024;
/// Batches that are sent and not answered, at most, for each receiver.
const UNANSWERED: u32 = 4;
/// Rest between two batches to one receiver that has nothing waiting.
const PACE: Micros = 20_000;
/// With nothing to say, a receiver hears that after so long.
pub const HEARTBEAT: Micros = 1_000_000;
/// Whoever does not answer is asked again after so long how far it is.
const PROBE: Micros = 1_000_000;
/// Bytes a second to all receivers together: some 6,000 datagrams.
pub const MAX_BYTES_PER_S: u64 = 1 << 20;
/// What may have been saved up of them.
const SAVED: u64 = 128 * 1024;
/// Receivers at a time at most: replicas, and owners of lives that are over.
pub const MAX_RECEIVERS: usize = 32;

/// How well a sender would keep an owner's log, by chance that all senders draw alike (`SplitMix64`, Steele and others,
/// 2014).
fn weight(owner: Rank, rank: Rank) -> u64 {
    let mut drawn =
        (u64::from(owner) << 16 | u64::from(rank)).wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    drawn = (drawn ^ (drawn >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    drawn = (drawn ^ (drawn >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    drawn ^ (drawn >> 31)
}

/// Those who keep an owner's log, best first. `hosts` tells by rank which senders share one.
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

/// Those who may have been chosen to keep an owner's log, whoever was there then: the best of all, best first.
pub fn candidates(owner: Rank, count: usize, hosts: &[u32]) -> Vec<Rank> {
    let elsewhere = |rank: &Rank| hosts.get(usize::from(*rank)) != hosts.get(usize::from(owner));
    let ranks = (0..hosts.len()).filter_map(|rank| Rank::try_from(rank).ok());
    let mut ranks: Vec<Rank> = ranks.filter(elsewhere).collect();
    ranks.sort_by_key(|rank| std::cmp::Reverse(weight(owner, *rank)));
    ranks.truncate(count);
    ranks
}

/// How far a receiver is with a log.
#[derive(Debug, Default)]
struct Push {
    /// It came, or comes, to this number; not known until it says so.
    cursor: Option<u64>,
    /// The claim that is worked on, and when nothing was beyond it.
    mark: Mark,
    /// Messages that moved out of what lies before the mark have come to this number.
    worst: u64,
    /// When something was sent last.
    said: Micros,
    unanswered: u32,
    /// All of a life that is over has been told.
    done: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct Mark {
    upto: u64,
    as_of: Micros,
}

/// A sender's part in keeping logs.
#[derive(Debug)]
pub struct Replication {
    own: Rank,
    pushes: BTreeMap<(Rank, LogId), Push>,
    chosen: Vec<Rank>,
    /// What others said that they have of which log.
    hints: BTreeMap<Rank, Positions>,
    budget: u64,
    filled: Micros,
    /// The own log's last number when this process, or its present life, began.
    begun: u64,
    /// Those who have said since how far they are with it.
    heard: BTreeSet<Rank>,
}

impl Replication {
    /// Nobody yet.
    pub fn new(own: Rank, now: Micros) -> Self {
        let (pushes, hints) = (BTreeMap::new(), BTreeMap::new());
        let (begun, heard) = (0, BTreeSet::new());
        Self { own, pushes, chosen: Vec::new(), hints, budget: SAVED, filled: now, begun, heard }
    }

    /// The own log goes on after that number in this process.
    pub fn begins(&mut self, last: u64) {
        self.begun = last;
        self.heard.clear();
    }

    /// These keep the own log from now on.
    pub fn choose(&mut self, chosen: Vec<Rank>, log: LogId) {
        self.pushes.retain(|(to, id), _| id.owner != self.own || *id != log || chosen.contains(to));
        for to in &chosen {
            self.pushes.entry((*to, log)).or_default();
        }
        self.chosen = chosen;
    }

    /// The own log is another one from now on.
    pub fn renewed(&mut self, log: LogId) {
        self.pushes.retain(|(_, id), _| id.owner != self.own);
        // Nobody has anything of it before it is asked.
        self.begins(0);
        self.choose(self.chosen.clone(), log);
    }

    /// Those who keep the own log.
    pub fn chosen(&self) -> &[Rank] {
        &self.chosen
    }

    /// What others said that they have.
    pub fn hints(&self) -> &BTreeMap<Rank, Positions> {
        &self.hints
    }

    /// Somebody said that it has a log so far.
    pub fn hint(&mut self, from: Rank, log: LogId, reached: Watermark) {
        let known = self.hints.entry(from).or_default();
        if known.len() < super::store::MAX_LOGS || known.contains_key(&log) {
            known.insert(log, reached);
        }
    }

    /// A message of the own log has moved to a later number.
    pub fn moved(&mut self, log: LogId, before: u64, number: u64) {
        for ((_, id), push) in &mut self.pushes {
            let unsent = push.cursor.is_some_and(|cursor| cursor < before);
            if *id == log && unsent && before <= push.mark.upto.max(push.worst) {
                push.worst = number;
            }
        }
    }

    /// The channel to a sender broke, or another process is there: what was under way may be lost.
    pub fn broken(&mut self, to: Rank) {
        for ((receiver, _), push) in &mut self.pushes {
            if *receiver == to {
                (push.cursor, push.unanswered, push.done) = (None, 0, false);
            }
        }
    }

    /// A sender writes a log of that life: what is held here of others of its lives is for it to have.
    pub fn lives(&mut self, owner: Rank, life: LogId, store: &Store) {
        for (id, _) in store.of(owner).filter(|(id, _)| **id != life) {
            if self.pushes.len() < MAX_RECEIVERS {
                self.pushes.entry((owner, *id)).or_default();
            }
        }
        self.pushes.remove(&(owner, life));
    }

    /// A receiver says how far it is. False if it has more of the own log than there is: then that life can't go on.
    /// The first time it is held against what this process began with, since nothing is sent to whoever was not heard:
    /// a folder that was put back to an older state has given out numbers again by then.
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

    /// When something is to be sent next. `last` is the own log's last number.
    pub fn due(&self, last: u64) -> Option<Micros> {
        let due = self.pushes.iter().filter_map(|((_, id), push)| match push.cursor {
            None => Some(push.said + PROBE),
            // Its answer, or the loss of its channel, says when.
            Some(_) if push.unanswered >= UNANSWERED => None,
            Some(_) if id.owner != self.own => (!push.done).then_some(push.said + PACE),
            Some(cursor) if cursor < last => Some(push.said + PACE),
            Some(_) => Some(push.said + HEARTBEAT),
        });
        due.min()
    }

    /// Batches that are due, for whom.
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

    /// For operators: who receives what, how far, and whether it answers.
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
