//! Tier membership: each member's own view of which members are alive, without I/O. Time, randomness and
//! datagrams are passed in, datagrams come out. The view may be wrong; no message's fate may depend on it.
//!
//! Each member is observed by several others, as in Rapid (Suresh and others, 2018), and sends them
//! heartbeats. It owns one record: its incarnation, its heartbeat counter, whether it leaves, and which of
//! the members that it observes it has not heard for too long. Records spread by gossip; of two records of
//! one member the one with the later incarnation and heartbeat wins, so that the order of arrival does not
//! matter. A member's state follows from the records of its observers alone: it is dead once nearly all of
//! its live observers suspect it, and suspect from two on. A suspicion ends when the observer hears the
//! member again, so that nobody has to refute anything, and a healed split is over as soon as heartbeats get
//! through.
//!
//! SWIM (Das, Gupta, Motivala, 2002) declares a member dead on the word of one observer unless the member
//! refutes that in time; a lost refutation is a false death. Here a false death requires nearly all observers
//! to lose all heartbeats of several periods. Lifeguard's (Dadgar and others, 2017) question, whether the
//! observer itself is slow, is kept: a member that finds itself late by a period suspects nobody for what it
//! did not hear meanwhile. Heartbeat counters that rise in gossip, as in van Renesse's failure detector
//! (1998), show which observers are alive.

use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// A member, as its index in the configured list of the tier.
pub type Rank = u16;

/// Maximum number of members of a tier.
pub const MAX_MEMBERS: usize = 1024;
/// Maximum length of a datagram.
pub const MAX_DATAGRAM_LEN: usize = 256;
/// First byte of a datagram; the senders' short notes begin with another one.
pub const MAGIC: u8 = 0xa7;
/// Observers of each member, if the tier is large enough.
pub const OBSERVERS: usize = 8;
/// Datagrams per period sent to the observers.
const TO_OBSERVERS: usize = 8;
/// Datagrams per period sent to random members, dead ones included.
const TO_RANDOM: usize = 2;
/// Datagrams that a member sends per period.
pub const DATAGRAMS_PER_PERIOD: usize = TO_OBSERVERS + TO_RANDOM;
/// Heartbeats that must be lost, over nearly all observers together, before a member is declared dead: at 40%
/// loss, 0.4 to this power is 2e-13.
const LOST_HEARTBEATS: usize = 32;
/// Of the heartbeats to a dead observer, one in this many is sent; the others go to random live members, so
/// that a tier that has lost many members sends as much as before.
const TO_DEAD_ONE_IN: u32 = 4;
/// Maximum factor by which the suspicion timeout of a member that came and went is extended.
const MAX_TIMEOUT_FACTOR: u32 = 8;
/// After this many stable periods the factor is halved.
const STABLE_PERIODS: Micros = 60;
/// Maximum number of replies that a member sends per period, however many ask.
const MAX_REPLIES: u32 = 4 * DATAGRAMS_PER_PERIOD as u32;
/// Number of view changes kept.
pub const MAX_HISTORY: usize = 256;
/// A record may be at most this many incarnations ahead of the known one, and no incarnation may reach
/// [`INCARNATION_LIMIT`]: nobody can use up another member's incarnations.
const MAX_INCARNATION_JUMP: u32 = 1000;
/// See [`MAX_INCARNATION_JUMP`].
const INCARNATION_LIMIT: u32 = 1 << 31;

const VERSION: u8 = 1;
const HEADER_LEN: usize = 15;
/// Minimum and maximum encoded length of a record.
const RECORD_LEN: (usize, usize) = (5, 15);
/// Maximum number of records in a datagram.
pub const MAX_RECORDS: usize = (MAX_DATAGRAM_LEN - HEADER_LEN) / RECORD_LEN.0;
/// A member's heartbeat, to an observer or to any member.
const HEARTBEAT: u8 = 1;
/// Informs a member of a later incarnation of its own, or has the records that it asked for. It is not
/// answered.
const REPLY: u8 = 2;
/// Asks for records, starting with a given member's.
const ASK: u8 = 3;

/// A member's state in the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Configured, but never heard of.
    Joining,
    /// Running.
    Alive,
    /// Some of its observers do not hear it, or its record has not advanced for a long time.
    Suspect,
    /// Nearly all of its observers do not hear it.
    Dead,
    /// It announced that it leaves.
    Left,
}

/// A member's statement about itself. Only the member itself creates records; others forward them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Record {
    /// The member's incarnation; 0 for none.
    pub incarnation: u32,
    /// Heartbeat counter; rises with each datagram that the member sends.
    pub beat: u32,
    /// The member leaves.
    pub left: bool,
    /// Bitmap over the members that it observes: those that it does not hear.
    pub silent: u8,
    /// Its zone, as an index into the settings' list.
    pub zone: u8,
}

impl Record {
    /// The record of a member that was never heard of.
    pub const NONE: Self = Self { incarnation: 0, beat: 0, left: false, silent: 0, zone: u8::MAX };

    /// Whether this record has the later incarnation and heartbeat. No two records share both.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.beat) > (other.incarnation, other.beat)
    }
}

/// What is known of a member.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its latest record.
    pub record: Record,
    /// Its state.
    pub state: State,
    /// When it entered that state.
    pub since: Micros,
    /// When a datagram of the member itself last arrived.
    pub last_heard: Option<Micros>,
    /// When its record last advanced, directly or through gossip.
    pub last_updated: Micros,
    /// Number of its observers that suspect it.
    pub suspecting_observers: u8,
    /// How many more times its record is sent as an update.
    resends: u32,
}

/// A member that this one observes.
#[derive(Debug, Clone)]
struct Observed {
    rank: Rank,
    /// Start of the present silence.
    since: Option<Micros>,
    /// Factor on the suspicion timeout.
    timeout_factor: u32,
    /// When that factor last changed.
    factor_changed_at: Micros,
}

/// The `membership` section of the configuration. It must be the same at all members of a tier.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Length of a period, in which each member sends [`DATAGRAMS_PER_PERIOD`] datagrams.
    #[serde(default = "one_second")]
    pub period_ms: u32,
    /// The tier's name, which distinguishes tiers that were configured with the same addresses by mistake.
    #[serde(default)]
    pub tier: String,
}

/// A member's place in its tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Its own rank.
    pub own: Rank,
    /// Number of members of the tier.
    pub size: usize,
    /// The tier's checksum; see [`tier_of`].
    pub tier: u32,
    /// Its zone.
    pub zone: u8,
}

fn one_second() -> u32 {
    1000
}

/// Range of the period, in milliseconds.
pub const PERIOD_MS_RANGE: (u32, u32) = (50, 60_000);

/// Datagram counters.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Dropped: truncated, of a wrong length, or corrupt.
    pub unreadable: u64,
    /// Dropped: from another tier, or not from the member that it claims.
    pub foreign: u64,
    /// Dropped: of a later version, or of an unknown kind.
    pub unknown: u64,
    /// Records dropped: of no member, or with an impossible incarnation.
    pub absurd: u64,
    /// Used only in part: the writer's list has a different number of members.
    pub other_size: u64,
}

/// A member as other components see it: a hint for their choices, never a proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberView {
    /// The member's state.
    pub state: State,
    /// When it entered that state.
    pub since: Micros,
    /// Its incarnation.
    pub incarnation: u32,
    /// It is in this member's zone.
    pub same_zone: bool,
}

/// The membership view as other components see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipView {
    /// This member.
    pub own: Rank,
    /// All members, by rank.
    pub members: Vec<MemberView>,
    /// No other member is heard: the states of the others are outdated.
    pub isolated: bool,
    /// Fewer than half are alive: this may be the smaller side of a split.
    pub minority: bool,
}

/// A change of the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Time of the change.
    pub at: Micros,
    /// The member whose state or incarnation changed.
    pub member: Rank,
    /// Its incarnation.
    pub incarnation: u32,
    /// State before.
    pub from: State,
    /// State after.
    pub to: State,
}

/// Datagrams to send, each to one member.
pub type Outgoing = Vec<(Rank, Vec<u8>)>;

/// One member's protocol state, and its view.
#[derive(Debug, Clone)]
pub struct Membership {
    own: Rank,
    tier: u32,
    period: Micros,
    rng: fastrand::Rng,
    members: Vec<Member>,
    /// Distances from a member to its observers, around the list.
    strides: Vec<usize>,
    observed: Vec<Observed>,
    /// Members whose records are sent as updates, the least often sent first.
    updates: BTreeSet<(Reverse<u32>, Rank)>,
    /// Next rank to ask for, time of the last ask, and whether it brought anything.
    wanted: (usize, Micros, bool),
    /// Next rank in the round-robin over all records.
    next_fill: usize,
    slot: usize,
    next: Micros,
    any_heard_at: Micros,
    /// Start of the current reply period, and the replies sent in it.
    answered: (Micros, u32),
    /// Something changed that may affect states.
    dirty: bool,
    /// How often this member found that it had been paused, and when last.
    pauses: (u64, Option<Micros>),
    history: VecDeque<Change>,
    /// Rises with each change of a state or an incarnation.
    pub version: u64,
    /// Datagram counters.
    pub counts: Counts,
}

/// Checksum of a tier's name, to tell apart tiers that were configured with the same addresses by mistake.
pub fn tier_of(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// Distances to observers: as many as possible up to [`OBSERVERS`], all different, the same at every member
/// of a tier (drawn with `SplitMix64`, Steele and others, 2014), so that neighbours in the list, which may
/// share a host, do not all observe each other.
fn strides(size: usize, tier: u32) -> Vec<usize> {
    let others = size.saturating_sub(1);
    if others <= OBSERVERS {
        return (1..=others).collect();
    }
    let mut strides = Vec::with_capacity(OBSERVERS);
    let mut state = u64::from(tier);
    while strides.len() < OBSERVERS {
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut drawn = state;
        drawn = (drawn ^ (drawn >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        drawn = (drawn ^ (drawn >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let stride = 1 + (drawn ^ (drawn >> 31)) as usize % others;
        if !strides.contains(&stride) {
            strides.push(stride);
        }
    }
    strides
}

impl Membership {
    /// A member of a tier. It starts with its first incarnation, and learns from others of earlier ones.
    pub fn new(config: &Config, place: Place, seed: u64, now: Micros) -> Self {
        let Place { own, size, tier, zone } = place;
        let mut rng = fastrand::Rng::with_seed(seed);
        let period = Micros::from(config.period_ms.clamp(PERIOD_MS_RANGE.0, PERIOD_MS_RANGE.1)) * 1000;
        let size = size.min(MAX_MEMBERS);
        let member = |rank: usize| {
            let own = rank == usize::from(own);
            Member {
                record: if own { Record { incarnation: 1, zone, ..Record::NONE } } else { Record::NONE },
                state: if own { State::Alive } else { State::Joining },
                since: now,
                last_heard: None,
                last_updated: now,
                suspecting_observers: 0,
                resends: 0,
            }
        };
        let strides = strides(size, tier);
        let back = |stride: &usize| Observed {
            rank: ((usize::from(own) + size - stride) % size) as Rank,
            since: None,
            timeout_factor: 1,
            factor_changed_at: now,
        };
        Self {
            own,
            tier,
            period,
            members: (0..size).map(member).collect(),
            observed: strides.iter().map(back).collect(),
            strides,
            updates: BTreeSet::new(),
            wanted: (rng.usize(0..size.max(1)), now, true),
            next_fill: rng.usize(0..size.max(1)),
            slot: rng.usize(0..DATAGRAMS_PER_PERIOD),
            // Members that start together do not send in lockstep.
            next: now + rng.u64(0..period / DATAGRAMS_PER_PERIOD as Micros + 1),
            any_heard_at: now,
            answered: (now, 0),
            dirty: false,
            pauses: (0, None),
            history: VecDeque::new(),
            version: 0,
            counts: Counts::default(),
            rng,
        }
    }

    /// All members, by rank.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// A member's state.
    pub fn state(&self, rank: Rank) -> Option<State> {
        self.members.get(usize::from(rank)).map(|member| member.state)
    }

    /// This member's rank.
    pub fn own(&self) -> Rank {
        self.own
    }

    /// Time between two datagrams; a period has [`DATAGRAMS_PER_PERIOD`] of them.
    fn step(&self) -> Micros {
        self.period / DATAGRAMS_PER_PERIOD as Micros
    }

    /// The period, in microseconds.
    pub fn period(&self) -> Micros {
        self.period
    }

    /// The view for other components.
    pub fn view(&self, now: Micros) -> MembershipView {
        let zone = self.members[usize::from(self.own)].record.zone;
        let to_view = |member: &Member| MemberView {
            state: member.state,
            since: member.since,
            incarnation: member.record.incarnation,
            same_zone: member.record.zone == zone,
        };
        MembershipView {
            own: self.own,
            members: self.members.iter().map(to_view).collect(),
            isolated: self.isolated(now),
            minority: self.minority(),
        }
    }

    /// Whether nothing has been heard for so long that this member's opinion of others means nothing. It then
    /// declares nobody dead.
    pub fn isolated(&self, now: Micros) -> bool {
        self.members.len() > 1 && now >= self.any_heard_at + self.suspicion_timeout()
    }

    /// Whether at most half of the members that were ever heard of and have not left are alive or suspect.
    pub fn minority(&self) -> bool {
        let of = |states: &[State]| self.members.iter().filter(|m| states.contains(&m.state)).count();
        let live = of(&[State::Alive, State::Suspect]);
        live * 2 <= live + of(&[State::Dead])
    }

    /// How often this member found that it had been paused, and when last.
    pub fn pauses(&self) -> (u64, Option<Micros>) {
        self.pauses
    }

    /// The latest changes, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Change> {
        self.history.iter()
    }

    /// Checksum of the view: equal for two views in which every member has the same state and incarnation. A
    /// suspect counts as alive, since a suspicion may be one member's own.
    pub fn digest(&self) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        for member in &self.members {
            let state = if member.state == State::Suspect { State::Alive } else { member.state };
            hasher.update(&[state as u8]);
            hasher.update(&member.record.incarnation.to_le_bytes());
        }
        hasher.finalize()
    }

    /// A member's observers, ordered by the bit that it has in their `silent` bitmaps.
    fn observers(&self, rank: Rank) -> impl Iterator<Item = usize> + '_ {
        self.strides.iter().map(move |stride| (usize::from(rank) + stride) % self.members.len())
    }

    /// Number of suspecting observers, out of `live` running ones, at which a member is dead: all but
    /// one in eight.
    fn death_threshold(live: usize) -> usize {
        live - live / OBSERVERS
    }

    /// The observers that do not hear a member, as far as is known here.
    pub fn suspected_by(&self, rank: Rank) -> impl Iterator<Item = Rank> + '_ {
        let observers = self.observers(rank).enumerate();
        observers
            .filter(|(place, o)| self.members[*o].record.silent & 1 << place != 0)
            .map(|(_, o)| o as Rank)
    }

    /// How long an observer waits for a heartbeat before it suspects the member.
    pub fn suspicion_timeout(&self) -> Micros {
        let observers = self.strides.len().max(1);
        let beats = LOST_HEARTBEATS.div_ceil(Self::death_threshold(observers).max(1)) as Micros;
        // With few observers, each is sent several heartbeats per period.
        let a_period = (TO_OBSERVERS / observers).max(1) as Micros;
        beats.div_ceil(a_period) * self.period
    }

    /// Age at which a record that has not advanced is stale: twice the time that gossip takes to spread each
    /// record to all members.
    pub fn stale_after(&self) -> Micros {
        (12 + self.members.len() as Micros / 25) * self.period
    }

    /// When the next tick is due.
    pub fn due(&self) -> Micros {
        self.next
    }

    /// Updates the view and sends the next datagram, if that is due.
    pub fn tick(&mut self, now: Micros, out: &mut Outgoing) {
        if now < self.next {
            return;
        }
        if now >= self.next + self.period {
            // This member itself was paused: that time does not count as anybody's silence.
            let missed = now - self.next;
            self.pauses = (self.pauses.0 + 1, Some(now));
            self.observed
                .iter_mut()
                .for_each(|observed| observed.since = observed.since.map(|at| at + missed));
            self.members.iter_mut().for_each(|member| member.last_updated += missed);
            self.any_heard_at += missed;
        }
        self.next = now + self.step();
        self.update_suspicions(now);
        self.recompute_states(now);
        self.advance_heartbeat();
        let observer = match self.slot {
            slot if slot < TO_OBSERVERS => self.strides.get(slot % self.strides.len().max(1)),
            _ => None,
        };
        let observer = observer.map(|stride| (usize::from(self.own) + stride) % self.members.len());
        let to = match observer {
            Some(rank) if self.members[rank].state != State::Dead || self.rng.u32(..TO_DEAD_ONE_IN) == 0 => {
                Some(rank as Rank)
            }
            Some(_) => self.random_alive(),
            None => self.random_member(),
        };
        self.slot = (self.slot + 1) % DATAGRAMS_PER_PERIOD;
        if let Some(to) = to {
            self.send(to, HEARTBEAT, None, out);
        }
    }

    /// Advances the heartbeat of its own record.
    fn advance_heartbeat(&mut self) {
        let record = &mut self.members[usize::from(self.own)].record;
        match record.beat.checked_add(1) {
            Some(beat) => record.beat = beat,
            None => (record.incarnation, record.beat) = (record.incarnation + 1, 0),
        }
    }

    /// A random other member that is alive.
    fn random_alive(&mut self) -> Option<Rank> {
        let own = self.own;
        let members = self.members.iter().enumerate();
        let live = members.filter(|(rank, m)| *rank != usize::from(own) && m.state == State::Alive);
        let live: Vec<Rank> = live.map(|(rank, _)| rank as Rank).collect();
        (!live.is_empty()).then(|| live[self.rng.usize(..live.len())])
    }

    /// A random other member that has not left: dead ones too, since a split heals from both sides.
    fn random_member(&mut self) -> Option<Rank> {
        let others = self.members.len().saturating_sub(1);
        for _ in 0..4 {
            if others == 0 {
                break;
            }
            let rank = (usize::from(self.own) + 1 + self.rng.usize(0..others)) % self.members.len();
            if self.members[rank].state != State::Left {
                return Some(rank as Rank);
            }
        }
        None
    }

    /// Suspects the observed members that have not been heard for too long.
    fn update_suspicions(&mut self, now: Micros) {
        let timeout = self.suspicion_timeout();
        let mut silent = 0;
        for (place, observed) in self.observed.iter_mut().enumerate() {
            let member = &self.members[usize::from(observed.rank)];
            if member.record.incarnation == 0 || member.record.left {
                observed.since = None;
                continue;
            }
            let since = *observed.since.get_or_insert(now);
            if observed.timeout_factor > 1 && now >= observed.factor_changed_at + STABLE_PERIODS * self.period
            {
                (observed.timeout_factor, observed.factor_changed_at) = (observed.timeout_factor / 2, now);
            }
            if now >= since + timeout * Micros::from(observed.timeout_factor) {
                silent |= 1 << place;
            }
        }
        let own = &mut self.members[usize::from(self.own)];
        if own.record.silent != silent {
            own.record.silent = silent;
            self.dirty = true;
        }
    }

    /// Recomputes the states of all members.
    fn recompute_states(&mut self, now: Micros) {
        // Staleness depends on time alone; it is checked once per period.
        if !self.dirty && self.slot != 0 {
            return;
        }
        self.dirty = false;
        let size = self.members.len();
        let suspected =
            |observer: usize, place: usize| self.members[observer].record.silent & 1 << place != 0;
        let mut suspecting_observers = vec![0u8; size];
        for (rank, count) in suspecting_observers.iter_mut().enumerate() {
            let observers = self.observers(rank as Rank).enumerate();
            *count = observers.filter(|(place, observer)| suspected(*observer, *place)).count() as u8;
        }
        let half = self.strides.len().div_ceil(2).max(1);
        let (stale, isolated) = (self.stale_after(), self.isolated(now));
        // A member that is itself suspected by half of its observers, or is stale, does not count as an
        // observer.
        let counts_as_observer: Vec<bool> = (0..size)
            .map(|rank| {
                let member = &self.members[rank];
                let live = member.record.incarnation > 0 && !member.record.left;
                let fresh = rank == usize::from(self.own) || now < member.last_updated + stale;
                live && fresh
                    && (usize::from(suspecting_observers[rank]) < half || rank == usize::from(self.own))
            })
            .collect();
        let mut states = Vec::with_capacity(size);
        for rank in 0..size {
            let member = &self.members[rank];
            let observers = self.observers(rank as Rank).enumerate().filter(|(_, o)| counts_as_observer[*o]);
            let (mut live, mut suspecting) = (0, 0);
            for (place, observer) in observers {
                live += 1;
                suspecting += usize::from(suspected(observer, place));
            }
            let stale = now >= member.last_updated + stale;
            let dead = match live {
                // All of its observers are gone too.
                0 => stale,
                _ => suspecting >= Self::death_threshold(live),
            };
            let suspect = suspecting >= 2.min(half) || stale;
            states.push(match member.record {
                _ if rank == usize::from(self.own) && !member.record.left => State::Alive,
                Record { incarnation: 0, .. } => State::Joining,
                Record { left: true, .. } => State::Left,
                // A member that hears nobody is itself the one that is cut off.
                _ if dead && isolated && member.state != State::Dead => State::Suspect,
                _ if dead => State::Dead,
                _ if suspect => State::Suspect,
                _ => State::Alive,
            });
        }
        for (rank, (state, suspecting_observers)) in states.into_iter().zip(suspecting_observers).enumerate()
        {
            self.members[rank].suspecting_observers = suspecting_observers;
            self.set_state(rank, state, now);
        }
    }

    fn set_state(&mut self, rank: usize, state: State, now: Micros) {
        let member = &mut self.members[rank];
        if member.state == state {
            return;
        }
        let before = member.state;
        (member.state, member.since) = (state, now);
        self.record_change(rank, before, now);
    }

    /// Records a change of a member's state, or a new incarnation, in the history.
    fn record_change(&mut self, rank: usize, from: State, now: Micros) {
        let Member { record, state: to, .. } = self.members[rank];
        let change = Change { at: now, member: rank as Rank, incarnation: record.incarnation, from, to };
        self.version += 1;
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(change);
    }

    /// Announces that this member leaves, so that it is not declared dead.
    pub fn leave(&mut self, now: Micros, out: &mut Outgoing) {
        self.members[usize::from(self.own)].record.left = true;
        self.dirty = true;
        self.recompute_states(now);
        for place in 0..self.strides.len() {
            self.advance_heartbeat();
            let to = (usize::from(self.own) + self.strides[place]) % self.members.len();
            self.send(to as Rank, HEARTBEAT, None, out);
        }
    }

    /// Cancels the leave with a new incarnation: perhaps nobody heard that the member left, and nobody is
    /// certain to hear that it did not.
    pub fn rejoin(&mut self, now: Micros) {
        let own = &mut self.members[usize::from(self.own)];
        if own.record.left {
            own.record =
                Record { incarnation: own.record.incarnation + 1, beat: 0, left: false, ..own.record };
            self.dirty = true;
            self.recompute_states(now);
        }
    }

    /// Handles a datagram that came from a member's address.
    pub fn receive(&mut self, now: Micros, from: Rank, datagram: &[u8], out: &mut Outgoing) {
        self.counts.received += 1;
        self.counts.received_bytes += datagram.len() as u64;
        let Some(read) = Datagram::read(datagram) else {
            self.counts.unreadable += 1;
            return;
        };
        if read.version != VERSION || !matches!(read.kind, HEARTBEAT | REPLY | ASK) {
            self.counts.unknown += 1;
            return;
        }
        let own_first = read.records.first().is_some_and(|first| first.0 == from);
        let known = usize::from(from) < self.members.len() && from != self.own;
        if read.tier != self.tier || !own_first || !known {
            self.counts.foreign += 1;
            return;
        }
        self.any_heard_at = now;
        self.members[usize::from(from)].last_heard = Some(now);
        let missing_before = if read.kind == REPLY { self.missing_count(now) } else { 0 };
        if usize::from(read.size) == self.members.len() {
            read.records.iter().for_each(|(member, record)| self.apply(*member, *record, now));
        } else {
            // While a new list is rolled out, only the writer's presence is certain. Whom it suspects depends
            // on its own list, which is not this one.
            self.counts.other_size += 1;
            let first = read.records[0].1;
            self.apply(from, Record { silent: 0, ..first }, now);
        }
        let timeout = self.suspicion_timeout();
        for (place, observed) in self.observed.iter_mut().enumerate().filter(|(_, o)| o.rank == from) {
            if observed.since.is_some_and(|since| now >= since + timeout) {
                // The timeout of a member that comes and goes stays extended for as long as it does.
                observed.factor_changed_at = now;
            }
            if self.members[usize::from(self.own)].record.silent & 1 << place != 0 {
                observed.timeout_factor = (observed.timeout_factor * 2).min(MAX_TIMEOUT_FACTOR);
                self.dirty = true;
            }
            observed.since = Some(now);
        }
        let (sent, known) = (read.records[0].1, self.members[usize::from(from)].record);
        let restarted = known.incarnation == sent.incarnation
            && known.beat > sent.beat
            && sent.beat < DATAGRAMS_PER_PERIOD as u32;
        match read.kind {
            ASK => self.reply(from, Some(usize::from(read.wanted)), now, out),
            // It does not know its earlier incarnations yet.
            HEARTBEAT if known.incarnation > sent.incarnation || restarted => {
                self.reply(from, None, now, out)
            }
            REPLY => self.wanted.2 = self.missing_count(now) < missing_before,
            _ => {}
        }
        if read.kind != ASK {
            self.ask(from, now, out);
        }
    }

    fn reply(&mut self, to: Rank, wanted: Option<usize>, now: Micros, out: &mut Outgoing) {
        if now >= self.answered.0 + self.period {
            self.answered = (now, 0);
        }
        if self.answered.1 < MAX_REPLIES {
            self.answered.1 += 1;
            self.send(to, REPLY, wanted, out);
        }
    }

    /// Whether a member's record has not advanced for so long that another member may have a later one.
    fn is_missing(&self, rank: usize, now: Micros) -> bool {
        let member = &self.members[rank];
        let old = member.record.incarnation == 0 || now >= member.last_updated + self.suspicion_timeout();
        old && !member.record.left && rank != usize::from(self.own)
    }

    fn missing_count(&self, now: Micros) -> usize {
        (0..self.members.len()).filter(|rank| self.is_missing(*rank, now)).count()
    }

    /// Asks a live member for missing records: once per period, or once per step while that brings something.
    fn ask(&mut self, from: Rank, now: Micros, out: &mut Outgoing) {
        let rest = if self.wanted.2 { self.step() } else { self.period };
        if now < self.wanted.1 + rest {
            return;
        }
        let size = self.members.len();
        let next = (0..size).map(|n| (self.wanted.0 + n) % size).find(|rank| self.is_missing(*rank, now));
        if let Some(rank) = next {
            self.wanted = (rank, now, false);
            self.send(from, ASK, Some(rank), out);
            // The next ask starts at a random rank.
            self.wanted.0 = (rank + 1 + self.rng.usize(0..size)) % size;
        }
    }

    /// Applies a record if it supersedes the known one.
    fn apply(&mut self, member: Rank, record: Record, now: Micros) {
        let resends = usize::BITS - self.members.len().leading_zeros();
        let Some(known) = self.members.get_mut(usize::from(member)) else {
            self.counts.absurd += 1;
            return;
        };
        let ahead = known.record.incarnation > 0
            && record.incarnation > known.record.incarnation + MAX_INCARNATION_JUMP;
        if record.incarnation == 0 || record.incarnation >= INCARNATION_LIMIT || (ahead && member != self.own)
        {
            self.counts.absurd += 1;
            return;
        }
        if !record.supersedes(&known.record) {
            return;
        }
        if member == self.own {
            // From an earlier process of this member, or forged: continue with a later incarnation.
            known.record.incarnation = (record.incarnation + 1).min(INCARNATION_LIMIT - 1);
            known.record.beat = 0;
            known.since = now;
            self.version += 1;
            return;
        }
        let before = known.record;
        known.record = record;
        known.last_updated = now;
        let state = known.state;
        let same = Record { beat: record.beat, ..before } == record;
        if !same {
            self.dirty = true;
            self.updates.remove(&(Reverse(known.resends), member));
            known.resends = resends;
            self.updates.insert((Reverse(resends), member));
        }
        if before.incarnation != record.incarnation {
            self.record_change(usize::from(member), state, now);
        }
    }

    /// Writes a datagram: the member's own record, the reader's record, updates, and as much of the
    /// round-robin over all records as fits. A reply to an ask has the records from the wanted member on
    /// instead.
    fn send(&mut self, to: Rank, kind: u8, wanted: Option<usize>, out: &mut Outgoing) {
        let size = self.members.len();
        let first_wanted = if kind == REPLY { wanted } else { None };
        let mut datagram =
            Writer::new(kind, self.tier, size as u16, wanted.map_or(u16::MAX, |rank| rank as u16));
        datagram.add(self.own, &self.members[usize::from(self.own)].record);
        if self.members[usize::from(to)].record.incarnation > 0 {
            datagram.add(to, &self.members[usize::from(to)].record);
        }
        if first_wanted.is_none() {
            let mut sent = Vec::new();
            while let Some((Reverse(left), rank)) = self.updates.pop_first() {
                if rank != to && !datagram.add(rank, &self.members[usize::from(rank)].record) {
                    self.updates.insert((Reverse(left), rank));
                    break;
                }
                sent.push(rank);
            }
            for rank in sent {
                let member = &mut self.members[usize::from(rank)];
                member.resends -= 1;
                if member.resends > 0 {
                    self.updates.insert((Reverse(member.resends), rank));
                }
            }
        }
        let from = first_wanted.unwrap_or(self.next_fill);
        for n in 0..size {
            let rank = (from + n) % size;
            let record = &self.members[rank].record;
            if record.incarnation == 0 || rank == usize::from(to) || rank == usize::from(self.own) {
                continue;
            }
            if !datagram.add(rank as Rank, record) {
                if first_wanted.is_none() {
                    self.next_fill = rank;
                }
                break;
            }
        }
        let datagram = datagram.finish();
        assert!(datagram.len() <= MAX_DATAGRAM_LEN, "a datagram's length is bounded");
        self.counts.sent += 1;
        self.counts.sent_bytes += datagram.len() as u64;
        out.push((to, datagram));
    }
}

/// A decoded datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// Version of the format.
    pub version: u8,
    /// A heartbeat, a reply or an ask.
    pub kind: u8,
    /// The writer's tier.
    pub tier: u32,
    /// Number of members in the writer's list.
    pub size: u16,
    /// The rank from which on records are asked for; `u16::MAX` if none are.
    pub wanted: u16,
    /// Records; the first is the writer's own.
    pub records: Vec<(Rank, Record)>,
}

/// An encoded record: the rank, the incarnation doubled with the last bit set if the member leaves, the
/// heartbeat, the bitmap of members not heard, the zone; numbers in postcard's encoding, which is short for
/// small ones.
type EncodedRecord = (Rank, u64, u32, u8, u8);

impl Datagram {
    /// Decodes a datagram. The checksum detects bytes that were changed in transit.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MAX_DATAGRAM_LEN || bytes.len() < HEADER_LEN + RECORD_LEN.0 {
            return None;
        }
        let (head, mut body) = bytes.split_at(HEADER_LEN);
        let (header, sum) = head.split_at(HEADER_LEN - 4);
        if checksum(header, body).to_le_bytes() != sum || header[0] != MAGIC {
            return None;
        }
        let two = |at: usize| u16::from_le_bytes([header[at], header[at + 1]]);
        let mut records = Vec::with_capacity(MAX_RECORDS);
        for _ in 0..header[10] {
            let ((rank, life, beat, silent, zone), rest): (EncodedRecord, _) =
                postcard::take_from_bytes(body).ok()?;
            let incarnation = u32::try_from(life >> 1).ok()?;
            records.push((rank, Record { incarnation, beat, left: life & 1 != 0, silent, zone }));
            body = rest;
        }
        Some(Self {
            version: header[1] >> 4,
            kind: header[1] & 0x0f,
            tier: u32::from_le_bytes([header[2], header[3], header[4], header[5]]),
            size: two(6),
            wanted: two(8),
            records,
        })
        .filter(|_| body.is_empty())
    }
}

fn checksum(header: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(body);
    hasher.finalize()
}

/// Encodes a datagram: magic byte, version and kind, tier, size, wanted rank, number of records, checksum,
/// little-endian; then the records.
pub struct Writer {
    bytes: Vec<u8>,
}

impl Writer {
    /// A datagram without records.
    pub fn new(kind: u8, tier: u32, size: u16, wanted: u16) -> Self {
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM_LEN);
        bytes.extend([MAGIC, VERSION << 4 | kind]);
        bytes.extend(tier.to_le_bytes());
        bytes.extend(size.to_le_bytes());
        bytes.extend(wanted.to_le_bytes());
        bytes.extend([0; 5]);
        Self { bytes }
    }

    /// Adds a record, if it fits; returns whether it did.
    pub fn add(&mut self, rank: Rank, record: &Record) -> bool {
        let life = u64::from(record.incarnation) << 1 | u64::from(record.left);
        let encoded: EncodedRecord = (rank, life, record.beat, record.silent, record.zone);
        let mut room = [0; RECORD_LEN.1];
        let Ok(bytes) = postcard::to_slice(&encoded, &mut room) else { return false };
        let fits = self.bytes.len() + bytes.len() <= MAX_DATAGRAM_LEN;
        if fits {
            self.bytes.extend_from_slice(bytes);
            self.bytes[HEADER_LEN - 5] += 1;
        }
        fits
    }

    /// The finished datagram, with its checksum.
    pub fn finish(mut self) -> Vec<u8> {
        let sum = checksum(&self.bytes[..HEADER_LEN - 4], &self.bytes[HEADER_LEN..]);
        self.bytes[HEADER_LEN - 4..HEADER_LEN].copy_from_slice(&sum.to_le_bytes());
        self.bytes
    }
}
