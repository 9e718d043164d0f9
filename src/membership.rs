//! Who of a tier is there: a view that each member keeps for itself, without I/O. Time, randomness and datagrams
//! are passed in, datagrams come out. What it says may be wrong; nothing that a message's fate hangs on goes by it.
//!
//! Each member is observed by several others, as in Rapid (Suresh and others, 2018), and sends them beats. It owns
//! one record: its life (incarnation), its beat, whether it leaves, and which of those that it observes it has not
//! heard for too long. Records are passed on by gossip; of two records of one member the one of the later life and
//! beat holds, so that the order in which they come does not matter. What a member is held for follows from the
//! records of its observers alone: dead once nearly all of them that are there accuse it, suspected from two on.
//! An accusation ends when its observer hears the member again, so that nobody has to refute anything, and a split
//! that heals is over as soon as beats pass.
//!
//! SWIM (Das, Gupta, Motivala, 2002) declares a member dead on what one accuser says unless it refutes that in
//! time; a lost refutation is a wrong death. Here a wrong death takes nearly all observers to lose all beats of
//! several periods. Lifeguard's (Dadgar and others, 2017) question, whether it is the accuser who is slow, is kept:
//! a member that finds itself late by a period accuses nobody for what it did not hear meanwhile. Beats that rise in
//! gossip, as in van Renesse's failure detector (1998), tell who of the observers is there.

use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// A member: its place in the configured list of the tier.
pub type Rank = u16;

/// The most members of a tier.
pub const MOST_MEMBERS: usize = 1024;
/// No datagram is longer.
pub const LONGEST: usize = 256;
/// First byte of the envelope; the senders' short notes begin otherwise.
pub const MAGIC: u8 = 0xa7;
/// Members that observe one, in a tier that has as many.
pub const OBSERVERS: usize = 8;
/// Datagrams a period: to observers, and to whomever chance picks, those held for dead among them.
const TO_OBSERVERS: usize = 8;
/// See [`TO_OBSERVERS`].
const TO_ANY: usize = 2;
/// Datagrams that a member sends in a period.
pub const SENDS: usize = TO_OBSERVERS + TO_ANY;
/// Beats that must be lost to nearly all observers together before a member is held for dead: at 40 in a hundred
/// lost, 0.4 to this power is 2e-13.
const LOST_BEATS: usize = 32;
/// Of the beats to an observer that is held for dead, every so many-th is sent; the others go to whom chance picks,
/// so that a tier that has lost many still talks as much.
const TO_DEAD: u32 = 4;
/// How many times as long a member that came and went is waited for, at most.
const MOST_PATIENCE: u32 = 8;
/// A member that has stayed for so many periods is waited for half as long again.
const CALM_PERIODS: Micros = 60;
/// Answers that a member gives in a period at most, however many ask.
const ANSWERS: u32 = 4 * SENDS as u32;
/// Changes of the view that are kept.
pub const HISTORY: usize = 256;
/// A record may be so many lives ahead of the one that is known, and no life is later than [`LAST_LIFE`]: nobody
/// can use up a member's lives for it.
const LEAP: u32 = 1000;
/// See [`LEAP`].
const LAST_LIFE: u32 = 1 << 31;

const VERSION: u8 = 1;
const HEAD: usize = 15;
/// The shortest and the longest record as it is written.
const RECORD: (usize, usize) = (5, 15);
/// Records that one datagram carries.
pub const MOST_RECORDS: usize = (LONGEST - HEAD) / RECORD.0;
/// A member's beat, to one that observes it or to any.
const BEAT: u8 = 1;
/// Tells a member of a later life of its own, or what it asked for. It is not answered.
const REPLY: u8 = 2;
/// Asks for records, from one member's on.
const ASK: u8 = 3;

/// What a member is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Configured, and never heard of.
    Joining,
    /// It is there.
    Alive,
    /// Some that observe it do not hear it, or nothing new of it has come for long.
    Suspect,
    /// Nearly all that observe it do not hear it.
    Dead,
    /// It said that it goes.
    Left,
}

/// What a member says of itself. Only the member itself makes these; others pass them on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Record {
    /// Which of its lives; 0 is none.
    pub incarnation: u32,
    /// Rises with each datagram that it sends.
    pub beat: u32,
    /// It goes.
    pub left: bool,
    /// Bit by bit: of the members that it observes, those that it does not hear.
    pub silent: u8,
    /// Its zone, a position in the settings' list.
    pub zone: u8,
}

impl Record {
    /// Of one that was never heard of.
    pub const NONE: Self = Self { incarnation: 0, beat: 0, left: false, silent: 0, zone: u8::MAX };

    /// The one of the later life and beat holds; of the same beat there is only one.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.beat) > (other.incarnation, other.beat)
    }
}

/// What is known of a member.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its record.
    pub record: Record,
    /// What it is held for.
    pub state: State,
    /// Since when.
    pub since: Micros,
    /// When it was last heard itself.
    pub heard: Option<Micros>,
    /// When its beat last rose, whoever told.
    pub seen: Micros,
    /// How many of its observers accuse it.
    pub accusers: u8,
    /// How often its record is still news.
    retell: u32,
}

/// One that this member observes.
#[derive(Debug, Clone)]
struct Observed {
    rank: Rank,
    /// It is counted from then on.
    since: Option<Micros>,
    /// Times as long as usual that it is waited for.
    patience: u32,
    /// When that was last changed.
    patient_since: Micros,
}

/// How the protocol runs: the section `membership`. The same at all members of a tier.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Each member sends [`SENDS`] datagrams in one.
    #[serde(default = "one_second")]
    pub period_ms: u32,
    /// The tier's name, which tells it from others that are wrongly given the same addresses.
    #[serde(default)]
    pub tier: String,
}

/// A member's place in its tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Its own rank.
    pub own: Rank,
    /// Members of the tier.
    pub size: usize,
    /// See [`tier_of`].
    pub tier: u32,
    /// Its zone.
    pub zone: u8,
}

fn one_second() -> u32 {
    1000
}

/// The shortest and the longest period, in milliseconds.
pub const PERIODS_MS: (u32, u32) = (50, 60_000);

/// Datagrams, counted.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Read.
    pub received: u64,
    /// Bytes read.
    pub received_bytes: u64,
    /// Dropped: cut, of another length, or spoilt.
    pub unreadable: u64,
    /// Dropped: another tier's, or not from whom it says.
    pub foreign: u64,
    /// Dropped: of a later version or a kind that is not known here.
    pub unknown: u64,
    /// Records dropped: of nobody, or of a life that nobody can have.
    pub absurd: u64,
    /// Read in part only: the writer has another number of members in its list.
    pub other_size: u64,
}

/// What other parts may rest a choice on: a hint, never a proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fact {
    /// What the member is held for.
    pub state: State,
    /// Since when.
    pub since: Micros,
    /// Which of its lives.
    pub incarnation: u32,
    /// It is in this member's zone.
    pub near: bool,
}

/// The view as other parts see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Facts {
    /// This member.
    pub own: Rank,
    /// All members, by rank.
    pub members: Vec<Fact>,
    /// Nobody is heard: what is held of the others is old.
    pub isolated: bool,
    /// Fewer than half are there: this may be the lesser side of a split.
    pub minority: bool,
}

/// A change of the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Change {
    /// When.
    pub at: Micros,
    /// Whose state.
    pub member: Rank,
    /// Of which life.
    pub incarnation: u32,
    /// Before.
    pub from: State,
    /// Now.
    pub to: State,
}

/// Datagrams to be sent, each to one member.
pub type Out = Vec<(Rank, Vec<u8>)>;

/// One member's part of the protocol, and its view.
#[derive(Debug, Clone)]
pub struct Membership {
    own: Rank,
    tier: u32,
    period: Micros,
    rng: fastrand::Rng,
    members: Vec<Member>,
    /// Distances to those that observe a member, around the list.
    strides: Vec<usize>,
    observed: Vec<Observed>,
    /// Members whose records are news, those that have been told the least first.
    news: BTreeSet<(Reverse<u32>, Rank)>,
    /// Where asking for records stands, when it was last asked, and whether that brought anything.
    wanted: (usize, Micros, bool),
    /// Where the round of all records stands.
    fill: usize,
    slot: usize,
    next: Micros,
    heard_any: Micros,
    /// Answers given since then.
    answered: (Micros, u32),
    /// Something has changed that states may follow from.
    dirty: bool,
    /// How often this member found itself late, and when last.
    stops: (u64, Option<Micros>),
    history: VecDeque<Change>,
    /// Rises with each change of a state or a life.
    pub version: u64,
    /// Datagrams so far.
    pub counts: Counts,
}

/// Tells tiers apart that are wrongly given one address.
pub fn tier_of(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// Distances to observers: as many as there can be, all different, the same at every member of a tier (drawn by
/// `SplitMix64`, Steele and others, 2014), so that neighbours in the list, which may share a host, do not all
/// observe each other.
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
    /// A member of a tier. It begins with its first life and is told by others of those it had before.
    pub fn new(config: &Config, place: Place, seed: u64, now: Micros) -> Self {
        let Place { own, size, tier, zone } = place;
        let mut rng = fastrand::Rng::with_seed(seed);
        let period = Micros::from(config.period_ms.clamp(PERIODS_MS.0, PERIODS_MS.1)) * 1000;
        let size = size.min(MOST_MEMBERS);
        let member = |rank: usize| {
            let own = rank == usize::from(own);
            Member {
                record: if own { Record { incarnation: 1, zone, ..Record::NONE } } else { Record::NONE },
                state: if own { State::Alive } else { State::Joining },
                since: now,
                heard: None,
                seen: now,
                accusers: 0,
                retell: 0,
            }
        };
        let strides = strides(size, tier);
        let back = |stride: &usize| Observed {
            rank: ((usize::from(own) + size - stride) % size) as Rank,
            since: None,
            patience: 1,
            patient_since: now,
        };
        Self {
            own,
            tier,
            period,
            members: (0..size).map(member).collect(),
            observed: strides.iter().map(back).collect(),
            strides,
            news: BTreeSet::new(),
            wanted: (rng.usize(0..size.max(1)), now, true),
            fill: rng.usize(0..size.max(1)),
            slot: rng.usize(0..SENDS),
            // Starts do not march in step.
            next: now + rng.u64(0..period / SENDS as Micros + 1),
            heard_any: now,
            answered: (now, 0),
            dirty: false,
            stops: (0, None),
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

    /// What a member is held for.
    pub fn state(&self, rank: Rank) -> Option<State> {
        self.members.get(usize::from(rank)).map(|member| member.state)
    }

    /// Its own rank.
    pub fn own(&self) -> Rank {
        self.own
    }

    /// One datagram is sent in each; a period has [`SENDS`].
    fn step(&self) -> Micros {
        self.period / SENDS as Micros
    }

    /// The period, microseconds.
    pub fn period(&self) -> Micros {
        self.period
    }

    /// The view for other parts.
    pub fn facts(&self, now: Micros) -> Facts {
        let zone = self.members[usize::from(self.own)].record.zone;
        let fact = |member: &Member| Fact {
            state: member.state,
            since: member.since,
            incarnation: member.record.incarnation,
            near: member.record.zone == zone,
        };
        Facts {
            own: self.own,
            members: self.members.iter().map(fact).collect(),
            isolated: self.isolated(now),
            minority: self.minority(),
        }
    }

    /// Nothing has been heard for so long that what this member says of others means nothing; it then declares
    /// nobody dead.
    pub fn isolated(&self, now: Micros) -> bool {
        self.members.len() > 1 && now >= self.heard_any + self.patience()
    }

    /// At most half of those that were ever heard of and have not left are seen alive or suspected.
    pub fn minority(&self) -> bool {
        let of = |states: &[State]| self.members.iter().filter(|m| states.contains(&m.state)).count();
        let there = of(&[State::Alive, State::Suspect]);
        there * 2 <= there + of(&[State::Dead])
    }

    /// How often this member found that it had been stopped, and when last.
    pub fn stops(&self) -> (u64, Option<Micros>) {
        self.stops
    }

    /// The last changes, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Change> {
        self.history.iter()
    }

    /// The same for two views that hold everybody for the same, each in the same life; suspicion is not in it, since
    /// it may be one member's own.
    pub fn digest(&self) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        for member in &self.members {
            let state = if member.state == State::Suspect { State::Alive } else { member.state };
            hasher.update(&[state as u8]);
            hasher.update(&member.record.incarnation.to_le_bytes());
        }
        hasher.finalize()
    }

    /// Those that observe a member, by the place that it has among those that they observe.
    fn observers(&self, rank: Rank) -> impl Iterator<Item = usize> + '_ {
        self.strides.iter().map(move |stride| (usize::from(rank) + stride) % self.members.len())
    }

    /// Accusers that make a death, of so many observers that are there: all, but for one of eight.
    fn deadly(there: usize) -> usize {
        there - there / OBSERVERS
    }

    /// Those that observe a member and do not hear it, as far as is known here.
    pub fn accused_by(&self, rank: Rank) -> impl Iterator<Item = Rank> + '_ {
        let observers = self.observers(rank).enumerate();
        observers
            .filter(|(place, o)| self.members[*o].record.silent & 1 << place != 0)
            .map(|(_, o)| o as Rank)
    }

    /// How long an observer waits for a beat before it accuses.
    pub fn patience(&self) -> Micros {
        let observers = self.strides.len().max(1);
        let beats = LOST_BEATS.div_ceil(Self::deadly(observers).max(1)) as Micros;
        // With few observers each is sent several beats a period.
        let a_period = (TO_OBSERVERS / observers).max(1) as Micros;
        beats.div_ceil(a_period) * self.period
    }

    /// A record whose beat has not risen for so long is news of nobody: twice what gossip takes to bring each
    /// record round.
    pub fn stale_after(&self) -> Micros {
        (12 + self.members.len() as Micros / 25) * self.period
    }

    /// When the next tick is due.
    pub fn due(&self) -> Micros {
        self.next
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros, out: &mut Out) {
        if now < self.next {
            return;
        }
        if now >= self.next + self.period {
            // It was this member that was not there: that time is nobody's silence.
            let missed = now - self.next;
            self.stops = (self.stops.0 + 1, Some(now));
            self.observed
                .iter_mut()
                .for_each(|observed| observed.since = observed.since.map(|at| at + missed));
            self.members.iter_mut().for_each(|member| member.seen += missed);
            self.heard_any += missed;
        }
        self.next = now + self.step();
        self.observe(now);
        self.judge(now);
        self.beat();
        let observer = match self.slot {
            slot if slot < TO_OBSERVERS => self.strides.get(slot % self.strides.len().max(1)),
            _ => None,
        };
        let observer = observer.map(|stride| (usize::from(self.own) + stride) % self.members.len());
        let to = match observer {
            Some(rank) if self.members[rank].state != State::Dead || self.rng.u32(..TO_DEAD) == 0 => {
                Some(rank as Rank)
            }
            Some(_) => self.there(),
            None => self.any(),
        };
        self.slot = (self.slot + 1) % SENDS;
        if let Some(to) = to {
            self.write(to, BEAT, None, out);
        }
    }

    /// Its own record, made anew.
    fn beat(&mut self) {
        let record = &mut self.members[usize::from(self.own)].record;
        match record.beat.checked_add(1) {
            Some(beat) => record.beat = beat,
            None => (record.incarnation, record.beat) = (record.incarnation + 1, 0),
        }
    }

    /// Any other member that is there.
    fn there(&mut self) -> Option<Rank> {
        let own = self.own;
        let members = self.members.iter().enumerate();
        let there = members.filter(|(rank, m)| *rank != usize::from(own) && m.state == State::Alive);
        let there: Vec<Rank> = there.map(|(rank, _)| rank as Rank).collect();
        (!there.is_empty()).then(|| there[self.rng.usize(..there.len())])
    }

    /// Any other member that has not left: those held for dead too, since a split heals from both sides.
    fn any(&mut self) -> Option<Rank> {
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

    /// Accuses those that have not been heard for too long.
    fn observe(&mut self, now: Micros) {
        let patience = self.patience();
        let mut silent = 0;
        for (place, observed) in self.observed.iter_mut().enumerate() {
            let member = &self.members[usize::from(observed.rank)];
            if member.record.incarnation == 0 || member.record.left {
                observed.since = None;
                continue;
            }
            let since = *observed.since.get_or_insert(now);
            if observed.patience > 1 && now >= observed.patient_since + CALM_PERIODS * self.period {
                (observed.patience, observed.patient_since) = (observed.patience / 2, now);
            }
            if now >= since + patience * Micros::from(observed.patience) {
                silent |= 1 << place;
            }
        }
        let own = &mut self.members[usize::from(self.own)];
        if own.record.silent != silent {
            own.record.silent = silent;
            self.dirty = true;
        }
    }

    /// Works out what everybody is held for.
    fn judge(&mut self, now: Micros) {
        // Staleness comes with time alone; it is looked at once a period.
        if !self.dirty && self.slot != 0 {
            return;
        }
        self.dirty = false;
        let size = self.members.len();
        let accused = |observer: usize, place: usize| self.members[observer].record.silent & 1 << place != 0;
        let mut accusers = vec![0u8; size];
        for (rank, count) in accusers.iter_mut().enumerate() {
            let observers = self.observers(rank as Rank).enumerate();
            *count = observers.filter(|(place, observer)| accused(*observer, *place)).count() as u8;
        }
        let half = self.strides.len().div_ceil(2).max(1);
        let (stale, isolated) = (self.stale_after(), self.isolated(now));
        // Who is itself accused by half, or not heard of any more, is no witness.
        let witness: Vec<bool> = (0..size)
            .map(|rank| {
                let member = &self.members[rank];
                let there = member.record.incarnation > 0 && !member.record.left;
                let fresh = rank == usize::from(self.own) || now < member.seen + stale;
                there && fresh && (usize::from(accusers[rank]) < half || rank == usize::from(self.own))
            })
            .collect();
        let mut states = Vec::with_capacity(size);
        for rank in 0..size {
            let member = &self.members[rank];
            let observers = self.observers(rank as Rank).enumerate().filter(|(_, o)| witness[*o]);
            let (mut there, mut against) = (0, 0);
            for (place, observer) in observers {
                there += 1;
                against += usize::from(accused(observer, place));
            }
            let stale = now >= member.seen + stale;
            let gone = match there {
                // All that observed it have gone too.
                0 => stale,
                _ => against >= Self::deadly(there),
            };
            let doubted = against >= 2.min(half) || stale;
            states.push(match member.record {
                _ if rank == usize::from(self.own) && !member.record.left => State::Alive,
                Record { incarnation: 0, .. } => State::Joining,
                Record { left: true, .. } => State::Left,
                // A member that hears nobody is the one that is cut off.
                _ if gone && isolated && member.state != State::Dead => State::Suspect,
                _ if gone => State::Dead,
                _ if doubted => State::Suspect,
                _ => State::Alive,
            });
        }
        for (rank, (state, accusers)) in states.into_iter().zip(accusers).enumerate() {
            self.members[rank].accusers = accusers;
            self.hold(rank, state, now);
        }
    }

    fn hold(&mut self, rank: usize, state: State, now: Micros) {
        let member = &mut self.members[rank];
        if member.state == state {
            return;
        }
        let before = member.state;
        (member.state, member.since) = (state, now);
        self.changed(rank, before, now);
    }

    /// Takes down what a member was held for before, and is now; the same for a new life.
    fn changed(&mut self, rank: usize, from: State, now: Micros) {
        let Member { record, state: to, .. } = self.members[rank];
        let change = Change { at: now, member: rank as Rank, incarnation: record.incarnation, from, to };
        self.version += 1;
        if self.history.len() == HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(change);
    }

    /// Tells that this member goes, which is no death.
    pub fn leave(&mut self, now: Micros, out: &mut Out) {
        self.members[usize::from(self.own)].record.left = true;
        self.dirty = true;
        self.judge(now);
        for place in 0..self.strides.len() {
            self.beat();
            let to = (usize::from(self.own) + self.strides[place]) % self.members.len();
            self.write(to as Rank, BEAT, None, out);
        }
    }

    /// It stays after all, in a new life: nobody may have heard that it left, and nobody is sure to hear that it did
    /// not.
    pub fn stay(&mut self, now: Micros) {
        let own = &mut self.members[usize::from(self.own)];
        if own.record.left {
            own.record =
                Record { incarnation: own.record.incarnation + 1, beat: 0, left: false, ..own.record };
            self.dirty = true;
            self.judge(now);
        }
    }

    /// Takes a datagram that came from a member's address.
    pub fn receive(&mut self, now: Micros, from: Rank, datagram: &[u8], out: &mut Out) {
        self.counts.received += 1;
        self.counts.received_bytes += datagram.len() as u64;
        let Some(read) = Datagram::read(datagram) else {
            self.counts.unreadable += 1;
            return;
        };
        if read.version != VERSION || !matches!(read.kind, BEAT | REPLY | ASK) {
            self.counts.unknown += 1;
            return;
        }
        let own_first = read.records.first().is_some_and(|first| first.0 == from);
        let known = usize::from(from) < self.members.len() && from != self.own;
        if read.tier != self.tier || !own_first || !known {
            self.counts.foreign += 1;
            return;
        }
        self.heard_any = now;
        self.members[usize::from(from)].heard = Some(now);
        let lacked = if read.kind == REPLY { self.lacking(now) } else { 0 };
        if usize::from(read.size) == self.members.len() {
            read.records.iter().for_each(|(member, record)| self.learn(*member, *record, now));
        } else {
            // While lists are rolled out, only what is sure is taken: that the writer is there. Whom its accusations
            // are against follows from a list that is not this one.
            self.counts.other_size += 1;
            let first = read.records[0].1;
            self.learn(from, Record { silent: 0, ..first }, now);
        }
        let patience = self.patience();
        for (place, observed) in self.observed.iter_mut().enumerate().filter(|(_, o)| o.rank == from) {
            if observed.since.is_some_and(|since| now >= since + patience) {
                // Whoever comes and goes is waited for as long as it does.
                observed.patient_since = now;
            }
            if self.members[usize::from(self.own)].record.silent & 1 << place != 0 {
                observed.patience = (observed.patience * 2).min(MOST_PATIENCE);
                self.dirty = true;
            }
            observed.since = Some(now);
        }
        let (said, known) = (read.records[0].1, self.members[usize::from(from)].record);
        let newborn =
            known.incarnation == said.incarnation && known.beat > said.beat && said.beat < SENDS as u32;
        match read.kind {
            ASK => self.answer(from, Some(usize::from(read.wanted)), now, out),
            // It does not know yet that it has lived before.
            BEAT if known.incarnation > said.incarnation || newborn => self.answer(from, None, now, out),
            REPLY => self.wanted.2 = self.lacking(now) < lacked,
            _ => {}
        }
        if read.kind != ASK {
            self.ask(from, now, out);
        }
    }

    fn answer(&mut self, to: Rank, wanted: Option<usize>, now: Micros, out: &mut Out) {
        if now >= self.answered.0 + self.period {
            self.answered = (now, 0);
        }
        if self.answered.1 < ANSWERS {
            self.answered.1 += 1;
            self.write(to, REPLY, wanted, out);
        }
    }

    /// Whether nothing new of a member has come for so long that another may know more.
    fn lacks(&self, rank: usize, now: Micros) -> bool {
        let member = &self.members[rank];
        let old = member.record.incarnation == 0 || now >= member.seen + self.patience();
        old && !member.record.left && rank != usize::from(self.own)
    }

    fn lacking(&self, now: Micros) -> usize {
        (0..self.members.len()).filter(|rank| self.lacks(*rank, now)).count()
    }

    /// Asks one that is there for what is lacking: once a period, and once a step as long as that brings something.
    fn ask(&mut self, from: Rank, now: Micros, out: &mut Out) {
        let rest = if self.wanted.2 { self.step() } else { self.period };
        if now < self.wanted.1 + rest {
            return;
        }
        let size = self.members.len();
        let next = (0..size).map(|n| (self.wanted.0 + n) % size).find(|rank| self.lacks(*rank, now));
        if let Some(rank) = next {
            self.wanted = (rank, now, false);
            self.write(from, ASK, Some(rank), out);
            // The next time it is asked from elsewhere on.
            self.wanted.0 = (rank + 1 + self.rng.usize(0..size)) % size;
        }
    }

    /// Takes a record if it holds against the one that is known.
    fn learn(&mut self, member: Rank, record: Record, now: Micros) {
        let retell = usize::BITS - self.members.len().leading_zeros();
        let Some(known) = self.members.get_mut(usize::from(member)) else {
            self.counts.absurd += 1;
            return;
        };
        let ahead = known.record.incarnation > 0 && record.incarnation > known.record.incarnation + LEAP;
        if record.incarnation == 0 || record.incarnation >= LAST_LIFE || (ahead && member != self.own) {
            self.counts.absurd += 1;
            return;
        }
        if !record.supersedes(&known.record) {
            return;
        }
        if member == self.own {
            // Said of an earlier process, or by nobody: this life is a later one.
            known.record.incarnation = (record.incarnation + 1).min(LAST_LIFE - 1);
            known.record.beat = 0;
            known.since = now;
            self.version += 1;
            return;
        }
        let before = known.record;
        known.record = record;
        known.seen = now;
        let state = known.state;
        let same = Record { beat: record.beat, ..before } == record;
        if !same {
            self.dirty = true;
            self.news.remove(&(Reverse(known.retell), member));
            known.retell = retell;
            self.news.insert((Reverse(retell), member));
        }
        if before.incarnation != record.incarnation {
            self.changed(usize::from(member), state, now);
        }
    }

    /// Writes a datagram: the own record, what the reader should know of itself, the news, and as much of the round
    /// of all records as there is room for; where records are asked for, those from that member's on.
    fn write(&mut self, to: Rank, kind: u8, wanted: Option<usize>, out: &mut Out) {
        let size = self.members.len();
        let asked = if kind == REPLY { wanted } else { None };
        let mut datagram =
            Writer::new(kind, self.tier, size as u16, wanted.map_or(u16::MAX, |rank| rank as u16));
        datagram.add(self.own, &self.members[usize::from(self.own)].record);
        if self.members[usize::from(to)].record.incarnation > 0 {
            datagram.add(to, &self.members[usize::from(to)].record);
        }
        if asked.is_none() {
            let mut told = Vec::new();
            while let Some((Reverse(left), rank)) = self.news.pop_first() {
                if rank != to && !datagram.add(rank, &self.members[usize::from(rank)].record) {
                    self.news.insert((Reverse(left), rank));
                    break;
                }
                told.push(rank);
            }
            for rank in told {
                let member = &mut self.members[usize::from(rank)];
                member.retell -= 1;
                if member.retell > 0 {
                    self.news.insert((Reverse(member.retell), rank));
                }
            }
        }
        let from = asked.unwrap_or(self.fill);
        for n in 0..size {
            let rank = (from + n) % size;
            let record = &self.members[rank].record;
            if record.incarnation == 0 || rank == usize::from(to) || rank == usize::from(self.own) {
                continue;
            }
            if !datagram.add(rank as Rank, record) {
                if asked.is_none() {
                    self.fill = rank;
                }
                break;
            }
        }
        let datagram = datagram.finished();
        assert!(datagram.len() <= LONGEST, "a datagram's length is bounded");
        self.counts.sent += 1;
        self.counts.sent_bytes += datagram.len() as u64;
        out.push((to, datagram));
    }
}

/// A datagram's content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// Of the envelope.
    pub version: u8,
    /// A beat, a reply or an ask.
    pub kind: u8,
    /// Whose.
    pub tier: u32,
    /// Members in the writer's list.
    pub size: u16,
    /// From whose record on others are asked for; `u16::MAX` if they are not.
    pub wanted: u16,
    /// Records; the first is the writer's own.
    pub records: Vec<(Rank, Record)>,
}

/// A record as it is written: the member, its life doubled with the last bit for whether it leaves, its beat, whom it
/// accuses, its zone; figures in postcard's form, which is short for small ones.
type Written = (Rank, u64, u32, u8, u8);

impl Datagram {
    /// Reads one. A checksum guards against bytes that were changed on the way.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > LONGEST || bytes.len() < HEAD + RECORD.0 {
            return None;
        }
        let (head, mut body) = bytes.split_at(HEAD);
        let (said, sum) = head.split_at(HEAD - 4);
        if checksum(said, body).to_le_bytes() != sum || said[0] != MAGIC {
            return None;
        }
        let two = |at: usize| u16::from_le_bytes([said[at], said[at + 1]]);
        let mut records = Vec::with_capacity(MOST_RECORDS);
        for _ in 0..said[10] {
            let ((rank, life, beat, silent, zone), rest): (Written, _) =
                postcard::take_from_bytes(body).ok()?;
            let incarnation = u32::try_from(life >> 1).ok()?;
            records.push((rank, Record { incarnation, beat, left: life & 1 != 0, silent, zone }));
            body = rest;
        }
        Some(Self {
            version: said[1] >> 4,
            kind: said[1] & 0x0f,
            tier: u32::from_le_bytes([said[2], said[3], said[4], said[5]]),
            size: two(6),
            wanted: two(8),
            records,
        })
        .filter(|_| body.is_empty())
    }
}

fn checksum(said: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(said);
    hasher.update(body);
    hasher.finalize()
}

/// A datagram that is being written: first byte, version and kind, tier, size, from whom on, number of records,
/// checksum, little-endian; then the records.
pub struct Writer {
    bytes: Vec<u8>,
}

impl Writer {
    /// One without records.
    pub fn new(kind: u8, tier: u32, size: u16, wanted: u16) -> Self {
        let mut bytes = Vec::with_capacity(LONGEST);
        bytes.extend([MAGIC, VERSION << 4 | kind]);
        bytes.extend(tier.to_le_bytes());
        bytes.extend(size.to_le_bytes());
        bytes.extend(wanted.to_le_bytes());
        bytes.extend([0; 5]);
        Self { bytes }
    }

    /// Adds a record, if there is room.
    pub fn add(&mut self, rank: Rank, record: &Record) -> bool {
        let life = u64::from(record.incarnation) << 1 | u64::from(record.left);
        let written: Written = (rank, life, record.beat, record.silent, record.zone);
        let mut room = [0; RECORD.1];
        let Ok(bytes) = postcard::to_slice(&written, &mut room) else { return false };
        let fits = self.bytes.len() + bytes.len() <= LONGEST;
        if fits {
            self.bytes.extend_from_slice(bytes);
            self.bytes[HEAD - 5] += 1;
        }
        fits
    }

    /// The whole datagram.
    pub fn finished(mut self) -> Vec<u8> {
        let sum = checksum(&self.bytes[..HEAD - 4], &self.bytes[HEAD..]);
        self.bytes[HEAD - 4..HEAD].copy_from_slice(&sum.to_le_bytes());
        self.bytes
    }
}
