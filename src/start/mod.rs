//! Starts of many senders at once: when each asks the list service, what a peer's word on the list is good for, at which
//! pace old messages go out, and how far a start has come. Sans I/O; off without the section `start`.
//!
//! A sender asks the list service in a slot of its own. The slots are spread over a time that follows from how many
//! start, which senders tell each other by hints, and from what the service bears; failed calls of any sender make it
//! wider for those that hear of them. Until its own answer, and wherever its own watch isn't open, a sender goes by the
//! list that it has, less what two others tell to be gone: a peer's word can only take away.

pub mod cached_list;
pub mod hint;
pub mod jitter;
pub mod pace;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::channel::{MAX_MESSAGE_BYTES, START};
use crate::interface::Micros;
use crate::membership::{Outgoing, Rank, tier_of};
use crate::mesh::Mesh;
use hint::Hint;

/// What `bears_per_s` may be.
pub const CAPACITY_PER_S: (u32, u32) = (1, 10_000);
/// Calls a second that a list service is taken to bear until more is known.
const INITIAL_CAPACITY: f64 = 16.0;
/// A start takes so long at least, and processes that began no longer before this one start with it.
const STARTS_FOR: Micros = 10_000_000;
/// Hints go out so often while there is anything to hear, each time to so many senders.
const HINTS_EVERY: Micros = 500_000;
/// See [`HINTS_EVERY`]; and the first time, when nothing is known yet.
const HINTS: (usize, usize) = (4, 8);
/// Answers to others' hints in a second at most.
const ANSWERS: u32 = 64;
/// Senders whose hints are remembered.
const MAX_HEARD: usize = 64;
/// How many senders start is taken from hints once so many were heard; until then all do.
const ENOUGH: usize = 3;
/// Words on the list that are asked for a second, and given, at most.
const WORDS: (u32, u32) = (2, 32);
/// Senders that must agree before an endpoint is held for gone.
const WITNESSES: usize = 2;
/// Entries of a word at most.
const MAX_ENTRIES: usize = 4096;
/// Times in a row that the service's answer came within so long: it had news; later, the watch was held.
const HELD: Micros = 2_000_000;

/// Where the list comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// An agent on the sender's own machine, which bears any number of calls; what it has counts as told at once.
    #[default]
    Agent,
    /// One service for all senders; what it has written to a sender counts as told.
    Service,
}

/// The section `start`. The same at all senders of a tier.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The tier's name, which tells it from others that are wrongly given the same addresses.
    #[serde(default)]
    pub tier: String,
    /// Where the list comes from.
    #[serde(default)]
    pub source: Source,
    /// Calls a second that the list service bears; learned where it is left out.
    #[serde(default)]
    pub bears_per_s: Option<u32>,
}

/// How far a start has come. Readiness waits for none of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The list service has not answered this process yet.
    List,
    /// Old messages still wait for their turn.
    Journal,
    /// How many senders start is not known yet.
    Peers,
    /// The watch on the list is not open, or the service fails calls.
    Warming,
    /// None of these.
    Steady,
}

/// An endpoint in a word on the list: its name, its destination, and whether it may be used.
pub type Named = (String, u32, bool);

/// What senders say on their channels.
#[derive(Debug, Serialize, Deserialize)]
enum PeerMessage {
    #[serde(rename = "Tell")]
    RequestList,
    /// The version, and the whole list as the list service told it to this sender.
    #[serde(rename = "Word")]
    List(u64, Vec<Named>),
}

/// Why a call to the list service brought nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The service turned it away, or what it wrote can't be read.
    Rejected,
    /// No answer, or it broke off.
    NoAnswer,
}

/// Counts of this process.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Calls to the list service.
    pub asked: u64,
    /// Those of them that were turned away, or whose answer can't be read.
    pub turned_away: u64,
    /// Those that had no answer.
    pub silent: u64,
    /// Times that others' words stood in for a call, while this sender's next one waited for its turn.
    pub saved: u64,
    /// Hints sent.
    pub hints_sent: u64,
    /// Hints heard.
    pub hints_heard: u64,
    /// Datagrams that were spoilt, another tier's, or too many.
    pub dropped: u64,
    /// Words that can't be read, or say too much.
    pub absurd: u64,
}

/// What another sender's last hint said.
#[derive(Debug, Clone)]
struct PeerState {
    at: Micros,
    starting: bool,
    confirmed: bool,
    version: u64,
    trouble: f64,
    capacity: f64,
    held: BTreeMap<u32, u16>,
}

/// What this process begins with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Begin {
    /// This sender's rank.
    pub own: Rank,
    /// Senders of the tier.
    pub size: usize,
    /// The version of the list that it begins from.
    pub version: u64,
    /// What was learned of the list service before.
    pub capacity: Option<f64>,
    /// Processes in a row before this one that ended while they started.
    pub lives: u32,
    /// The list is watched in turns that are given here; else the module asks for it at times of its own.
    pub watched: bool,
    /// Sends to an endpoint that has left must have ceased so long after that was told.
    pub grace: Micros,
    /// For random numbers.
    pub seed: u64,
}

/// When the next call to the list service is due, and why.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Next {
    /// The first one of this process, in its slot.
    Slot,
    /// At once: a watch that was held and brought nothing.
    Now,
    /// After an answer, at the same place of a spread over all senders: all were told at once.
    Place(Micros),
    /// At that time: after a failure, or a spread after an answer, since this sender has a slot already.
    At(Micros),
    /// A call is out since then.
    Out(Micros),
}

/// One sender's start.
#[derive(Debug)]
pub struct Start {
    config: Config,
    own: Rank,
    size: usize,
    tier: u32,
    most: Micros,
    rng: fastrand::Rng,
    began: Micros,
    lives: u32,
    /// Senders that are there, as the view has it.
    there: usize,
    place: f64,
    capacity: f64,
    next: Next,
    watched: bool,
    failed: u32,
    trouble: (f64, Micros),
    troubled: bool,
    heard: BTreeMap<Rank, PeerState>,
    hint_at: Micros,
    share_at: Micros,
    /// Answers given and words asked and given since then.
    spent: (Micros, u32, u32, u32),
    mesh: Mesh,
    /// The list as the service last told it to this process.
    version: u64,
    list: Option<Vec<Named>>,
    list_at: Option<Micros>,
    /// It is too long to be told to others, and not here.
    long: bool,
    /// Names and destinations that this sender goes by.
    names: BTreeMap<String, u32>,
    /// Who said of which endpoint that it is gone, since this sender's own last answer; and who said anything.
    denied: BTreeMap<String, BTreeSet<Rank>>,
    witnesses: BTreeMap<Rank, u64>,
    changed: BTreeSet<String>,
    /// What happened.
    pub counts: Counts,
    phase: (Phase, Micros),
    /// Destinations that this sender holds the most messages for, and its parts that were told.
    held: Vec<(u32, u16)>,
    parts: BTreeMap<u32, f64>,
    /// Old messages that wait for their turn.
    pub backlog: pace::Backlog,
}

impl Start {
    /// A process begins.
    pub fn new(config: &Config, begin: Begin, now: Micros) -> Self {
        let Begin { own, size, version, capacity, lives, watched, grace, seed } = begin;
        let tier = tier_of(&config.tier);
        // What an agent has counts as told from the first moment: half of the grace is left for the answer.
        let most = match config.source {
            Source::Agent => grace / 2,
            Source::Service => jitter::MAX_SPREAD,
        };
        let told = config.bears_per_s.map(f64::from);
        let capacity = told
            .or(capacity)
            .unwrap_or(INITIAL_CAPACITY)
            .clamp(f64::from(CAPACITY_PER_S.0), f64::from(CAPACITY_PER_S.1));
        Self {
            config: config.clone(),
            own,
            size,
            tier,
            most,
            rng: fastrand::Rng::with_seed(seed),
            began: now,
            lives: lives.min(cached_list::MAX_FAILED_STARTS),
            there: size,
            place: jitter::place(own, tier),
            capacity,
            next: Next::Slot,
            watched,
            failed: 0,
            trouble: (0.0, now),
            troubled: false,
            heard: BTreeMap::new(),
            hint_at: now,
            share_at: now,
            spent: (now, 0, 0, 0),
            mesh: Mesh::new(START, own, size, tier, seed.rotate_left(17)),
            version,
            list: None,
            list_at: None,
            long: false,
            names: BTreeMap::new(),
            denied: BTreeMap::new(),
            witnesses: BTreeMap::new(),
            changed: BTreeSet::new(),
            counts: Counts::default(),
            phase: (Phase::List, now),
            held: Vec::new(),
            parts: BTreeMap::new(),
            backlog: pace::Backlog::default(),
        }
    }

    /// So many senders are there, as the view has it; a hint, held to half and all of the configured ones.
    pub fn set_peers(&mut self, there: usize) {
        self.there = there.clamp(self.size.div_ceil(2), self.size);
    }

    /// The tier's checksum.
    pub fn tier(&self) -> u32 {
        self.tier
    }

    /// Calls a second that the list service is believed to bear.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// What the next process is to believe that the list service bears: more than this one did where no sender that was
    /// heard had a call fail, less where one had.
    pub fn learned(&self) -> f64 {
        let learned = self.capacity * if self.troubled { 0.7 } else { 1.25 };
        learned.clamp(f64::from(CAPACITY_PER_S.0), f64::from(CAPACITY_PER_S.1))
    }

    /// How many senders start, this one with them, as far as hints tell; until then all that are there.
    pub fn starters(&self) -> f64 {
        let heard = self.heard.len();
        if heard < ENOUGH.min(self.size.saturating_sub(1)) {
            return self.there as f64;
        }
        let starting = self.heard.values().filter(|heard| heard.starting).count();
        1.0 + self.there.saturating_sub(1) as f64 * starting as f64 / heard.max(1) as f64
    }

    /// How much wider than usual all spreads are, a power of two: by this sender's own failures and by those that others
    /// tell of theirs. What others tell is not passed on, so that no failure is heard of for ever.
    pub fn trouble(&self, now: Micros) -> f64 {
        let left = |(trouble, at): (f64, Micros)| jitter::decayed(trouble, now.saturating_sub(at));
        let others = self.heard.values().map(|heard| left((heard.trouble, heard.at)));
        others.fold(left(self.trouble), f64::max).min(jitter::MAX_TROUBLE)
    }

    /// The spread over so many senders.
    fn width(&self, senders: f64, now: Micros) -> Micros {
        jitter::width(senders, self.capacity, self.trouble(now) + f64::from(self.lives), self.most)
    }

    /// The spread of this start.
    pub fn spread(&self, now: Micros) -> Micros {
        self.width(self.starters(), now)
    }

    /// When the list service may be called next; none while a call is out. It moves with what is heard.
    pub fn ask_at(&self, now: Micros) -> Option<Micros> {
        let place = |width: Micros| (width as f64 * self.place) as Micros;
        match self.next {
            Next::Slot => Some(self.began + place(self.spread(now))),
            Next::Now => Some(0),
            Next::Place(at) => Some(at + place(self.width(self.there as f64, now))),
            Next::At(at) => Some(at),
            Next::Out(_) => None,
        }
    }

    /// Whether the next call is to ask for the whole list: two others were told a version before this sender's, which it
    /// has from an earlier process, so that the service would hold a watch from there for nothing.
    pub fn has_list(&self) -> bool {
        let before = |heard: &&PeerState| heard.confirmed && heard.version < self.version;
        let confirmed = self.heard.values().filter(|heard| heard.confirmed).count();
        let before = self.heard.values().filter(before).count();
        self.list.is_none() && before >= WITNESSES && before == confirmed
    }

    /// A call goes out.
    pub fn asked(&mut self, now: Micros) {
        self.counts.asked += 1;
        self.next = Next::Out(now);
    }

    /// The list service answered; whether with anything new.
    pub fn answered(&mut self, now: Micros, news: bool) {
        let held = matches!(self.next, Next::Out(at) if now >= at + HELD);
        let first = self.list.is_none() && !held;
        self.next = match (news, first) {
            (false, _) => Next::Now,
            // An agent's watch goes on if it is asked again at once.
            _ if self.config.source == Source::Agent => Next::Now,
            (true, true) => Next::At(now + self.spread(now)),
            (true, false) => Next::Place(now),
        };
        self.failed = 0;
    }

    /// It did not; all spreads become wider for a while, and others are told.
    pub fn failed(&mut self, now: Micros, how: CallFailure) {
        match how {
            CallFailure::Rejected => self.counts.turned_away += 1,
            CallFailure::NoAnswer => self.counts.silent += 1,
        }
        self.failed = self.failed.saturating_add(1);
        let (first, bounds) = match self.config.source {
            Source::Agent => (0, jitter::BACKOFF_AT_AGENT),
            // What others tell is in it twice else: each that fails rests longer by itself.
            Source::Service => {
                (jitter::width(self.there as f64, self.capacity, 0.0, self.most), jitter::BACKOFF)
            }
        };
        // Who has had no answer yet comes again as soon as all others could have.
        let times =
            if self.list.is_none() && self.config.source == Source::Service { 1 } else { self.failed };
        self.next = Next::At(now + jitter::backoff(first, times, self.rng.f64(), bounds));
        let before = jitter::decayed(self.trouble.0, now.saturating_sub(self.trouble.1));
        self.trouble = ((before + 1.0).min(jitter::MAX_TROUBLE), now);
        self.troubled = true;
        self.hint_at = self.hint_at.min(now);
    }

    /// The list service has moved: what was out is of no use, and all senders ask anew.
    pub fn address_changed(&mut self, now: Micros) {
        self.next = match self.config.source {
            Source::Agent => Next::Now,
            Source::Service => Next::Place(now),
        };
    }

    /// The list that this sender goes by, as its folder or its configuration has it.
    pub fn load_cached(&mut self, version: u64, list: impl IntoIterator<Item = Named>) {
        self.version = version;
        self.names = list.into_iter().filter(|named| named.2).map(|named| (named.0, named.1)).collect();
    }

    /// The whole list as the list service has now told it. It ends all that others said.
    pub fn listed(&mut self, now: Micros, version: u64, list: Vec<Named>) {
        self.changed.extend(std::mem::take(&mut self.denied).into_keys());
        self.witnesses.clear();
        self.load_cached(version, list.iter().cloned());
        (self.list, self.list_at, self.long) = (Some(list), Some(now), false);
    }

    /// The same of a list that is too long to be told to others, or to be held against what others tell.
    pub fn listed_long(&mut self, now: Micros, version: u64) {
        self.listed(now, version, Vec::new());
        self.long = true;
    }

    /// Whether two others told that an endpoint is gone, since this sender was last told the list itself.
    pub fn hides(&self, name: &str) -> bool {
        self.denied.get(name).is_some_and(|by| by.len() >= WITNESSES)
    }

    /// Endpoints that have come to be hidden, or not any more, since the last call.
    pub fn changed(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changed)
    }

    /// Whether what is held has to be looked at, and cold destinations shared, now: in a start, as often as hints go out.
    pub fn shares_due(&mut self, now: Micros) -> bool {
        let due = self.phase.0 != Phase::Steady && now >= self.share_at;
        if due {
            self.share_at = now + HINTS_EVERY;
        }
        due
    }

    /// Messages that this sender holds, by destination.
    pub fn set_held(&mut self, held: impl IntoIterator<Item = (u32, usize)>) {
        // A destination that no hint has room for must not be taken for one that others hold nothing for.
        let told = |held: &(u32, usize)| held.1 > 0 && u16::try_from(held.0).is_ok();
        let mut held: Vec<(u32, usize)> = held.into_iter().filter(told).collect();
        held.sort_unstable_by_key(|held| (Reverse(held.1), held.0));
        let short = held.into_iter().take(hint::MAX_HELD);
        self.held = short.map(|(to, count)| (to, count.min(u16::MAX.into()) as u16)).collect();
    }

    /// This sender's part of the calls that a cold destination bears from all: half of it even, half by how much of what
    /// all hold is held here. The even half bounds what a false hint takes away; all senders' parts come to about 1.
    pub fn part(&self, destination: u32) -> f64 {
        let there = self.there.max(1) as f64;
        let own = self.held.iter().find(|held| held.0 == destination).map_or(0.0, |held| f64::from(held.1));
        let heard = self.heard.values().map(|heard| f64::from(*heard.held.get(&destination).unwrap_or(&0)));
        let others = heard.sum::<f64>() * (there - 1.0) / self.heard.len().max(1) as f64;
        let by_load = if own + others > 0.0 { own / (own + others) } else { 1.0 / there };
        0.5 / there + 0.5 * by_load
    }

    /// This sender's parts of cold destinations, as far as they have changed by a tenth; none are told without hints of
    /// others to go by.
    pub fn parts(&mut self, cold: impl IntoIterator<Item = u32>) -> Vec<(u32, f64)> {
        if self.heard.len() < ENOUGH.min(self.size.saturating_sub(1)) {
            return Vec::new();
        }
        let parts: Vec<(u32, f64)> = cold.into_iter().map(|to| (to, self.part(to))).collect();
        let news = |(to, part): &(u32, f64)| {
            self.parts.get(to).is_none_or(|told| (told - part).abs() > part.max(*told) / 10.0)
        };
        let news: Vec<(u32, f64)> = parts.into_iter().filter(news).collect();
        self.parts.extend(news.iter().copied());
        news
    }

    /// A watch of this process is open, as far as can be known.
    fn watches(&self) -> bool {
        self.list.is_some() && (!self.watched || matches!(self.next, Next::Out(_)))
    }

    /// Whether there is anything to hear from others.
    fn listens(&self, now: Micros) -> bool {
        self.size > 1 && (now < self.began + STARTS_FOR || !self.watches())
    }

    /// When it wants to be called next.
    pub fn due(&self) -> Micros {
        let hint = if self.size > 1 { self.hint_at } else { Micros::MAX };
        hint.min(self.mesh.due().unwrap_or(hint)).min(self.backlog.due().unwrap_or(hint))
    }

    fn hint(&self, now: Micros, answer: bool) -> Vec<u8> {
        let trouble = jitter::decayed(self.trouble.0, now.saturating_sub(self.trouble.1));
        let hint = Hint {
            answer,
            confirmed: self.list.is_some(),
            age_s: (now.saturating_sub(self.began) / 1_000_000).min(u16::MAX.into()) as u16,
            version: self.version,
            trouble: (trouble * 4.0).ceil() as u8,
            capacity: (self.capacity * 8.0) as u32,
            held: self.held.clone(),
        };
        hint.write(self.tier)
    }

    fn renew(&mut self, now: Micros) {
        if now >= self.spent.0 + 1_000_000 {
            self.spent = (now, 0, 0, 0);
        }
    }

    /// Tells some others how it stands, and asks them; asks those that were told a later list for it.
    pub fn tick(&mut self, now: Micros, out: &mut Outgoing) {
        self.renew(now);
        if now >= self.hint_at {
            let troubled = now < self.trouble.1 + HINTS_EVERY && self.trouble.0 > 0.0;
            self.hint_at = now + HINTS_EVERY;
            if self.listens(now) || troubled {
                let count = if self.heard.is_empty() { HINTS.1 } else { HINTS.0 };
                let hint = self.hint(now, true);
                for _ in 0..count {
                    let to = self.rng.usize(0..self.size) as Rank;
                    if to != self.own {
                        self.counts.hints_sent += 1;
                        out.push((to, hint.clone()));
                    }
                }
                self.ask_for_words(now);
            }
        }
        self.mesh.flush(now, out);
        self.step(now);
    }

    fn ask_for_words(&mut self, now: Micros) {
        if self.watches() {
            return;
        }
        let later = |(rank, heard): (&Rank, &PeerState)| {
            let known = self.witnesses.get(rank).copied().unwrap_or(self.version);
            (heard.confirmed && heard.version > self.version.max(known)).then_some(*rank)
        };
        let later: Vec<Rank> = self.heard.iter().filter_map(later).collect();
        for rank in later.into_iter().take(WITNESSES) {
            if self.spent.2 < WORDS.0
                && let Ok(ask) = postcard::to_allocvec(&PeerMessage::RequestList)
            {
                self.spent.2 += u32::from(self.mesh.send(now, rank, &ask).is_ok());
            }
        }
    }

    /// Another sender's datagram has come. Whether it is for this part.
    pub fn receive(&mut self, now: Micros, from: Rank, bytes: &[u8], out: &mut Outgoing) -> bool {
        if !self.mesh.accepts(bytes) {
            return false;
        }
        self.renew(now);
        if !Hint::accepts(bytes) {
            let arrived = self.mesh.receive(now, from, bytes);
            arrived.messages.iter().for_each(|message| self.said(now, from, message));
            self.mesh.flush(now, out);
            return true;
        }
        let hint = Hint::read(bytes, self.tier).filter(|_| from != self.own && usize::from(from) < self.size);
        let Some(hint) = hint else {
            self.counts.dropped += 1;
            return true;
        };
        self.counts.hints_heard += 1;
        let trouble = f64::from(hint.trouble) / 4.0;
        let heard = PeerState {
            at: now,
            // Ages are differences, so that no clock of another machine matters; and they do not change, so that
            // slots stay as the others' starts go by.
            starting: now.saturating_sub(Micros::from(hint.age_s) * 1_000_000) + STARTS_FOR >= self.began,
            confirmed: hint.confirmed,
            version: hint.version,
            trouble,
            capacity: f64::from(hint.capacity) / 8.0,
            held: hint.held.into_iter().collect(),
        };
        self.troubled |= trouble > 0.0;
        self.heard.insert(from, heard);
        if self.heard.len() > MAX_HEARD
            && let Some(oldest) = self.heard.iter().min_by_key(|(_, heard)| heard.at).map(|heard| *heard.0)
        {
            self.heard.remove(&oldest);
        }
        if hint.answer {
            self.spent.1 += 1;
            if self.spent.1 <= ANSWERS {
                self.counts.hints_sent += 1;
                out.push((from, self.hint(now, false)));
            }
        }
        true
    }

    fn said(&mut self, now: Micros, from: Rank, message: &[u8]) {
        match postcard::from_bytes(message) {
            Ok(PeerMessage::RequestList) => {
                self.spent.3 += 1;
                // Only what this process was told itself is told to others.
                let Some(list) = self.list.clone().filter(|list| !self.long && list.len() <= MAX_ENTRIES)
                else {
                    return;
                };
                let word = postcard::to_allocvec(&PeerMessage::List(self.version, list));
                if let Some(word) =
                    word.ok().filter(|word| word.len() <= MAX_MESSAGE_BYTES && self.spent.3 <= WORDS.1)
                {
                    // One that is not queued is asked for again.
                    let _ = self.mesh.send(now, from, &word);
                }
            }
            Ok(PeerMessage::List(version, list)) if list.len() <= MAX_ENTRIES => {
                self.word(from, version, &list)
            }
            _ => self.counts.absurd += 1,
        }
    }

    /// Another sender's word on the list: it takes away what is not there any more, is to be left, or has come to be
    /// another destination's, once a second sender says so. It adds nothing: where an endpoint is dialled differs from
    /// sender to sender, and only the list service tells.
    fn word(&mut self, from: Rank, version: u64, list: &[Named]) {
        if self.watches() || version <= self.version {
            return;
        }
        let usable: BTreeMap<&str, u32> =
            list.iter().filter(|named| named.2).map(|named| (named.0.as_str(), named.1)).collect();
        for (name, group) in &self.names {
            if usable.get(name.as_str()) == Some(group) {
                continue;
            }
            let by = self.denied.entry(name.clone()).or_default();
            by.insert(from);
            if by.len() == WITNESSES {
                self.changed.insert(name.clone());
            }
        }
        let before = self.witnesses.insert(from, version);
        self.counts.saved += u64::from(before.is_none() && self.witnesses.len() == WITNESSES);
    }

    /// Looks how far the start has come.
    pub fn step(&mut self, now: Micros) {
        let known = self.size == 1 || self.heard.len() >= ENOUGH.min(self.size - 1);
        let phase = if self.list.is_none() {
            Phase::List
        } else if self.backlog.left() > 0 {
            Phase::Journal
        } else if !known && now < self.began + STARTS_FOR {
            Phase::Peers
        } else if !self.watches() || self.trouble(now) > 0.0 || now < self.began + STARTS_FOR {
            Phase::Warming
        } else {
            Phase::Steady
        };
        // A start is over once: a watch that is renewed later is no start.
        if phase != self.phase.0 && self.phase.0 != Phase::Steady {
            self.phase = (phase, now);
        }
    }

    /// How far the start has come, and since when.
    pub fn phase(&self) -> (Phase, Micros) {
        self.phase
    }

    /// What it waits for, in words.
    pub fn waits_for(&self, now: Micros) -> String {
        let slot = |at: Option<Micros>| at.map(|at| at.saturating_sub(now) / 1000);
        match (self.phase.0, slot(self.ask_at(now))) {
            (Phase::List, Some(ms)) if self.failed > 0 => {
                format!("the next call to the list service, in {ms} ms")
            }
            (Phase::List, Some(ms)) => format!("its slot at the list service, in {ms} ms"),
            (Phase::List, None) => "the list service's answer".to_owned(),
            (Phase::Journal, _) => format!("the turns of {} old messages", self.backlog.left()),
            (Phase::Peers, _) => format!("hints of {ENOUGH} senders, {} heard", self.heard.len()),
            (Phase::Warming, Some(ms)) => format!("the turn to open its watch on the list, in {ms} ms"),
            (Phase::Warming, None) => {
                "calls of some sender to the list service fail, or it is young".to_owned()
            }
            (Phase::Steady, _) => "nothing".to_owned(),
        }
    }

    /// The list's version, and when the list service last told it to this process.
    pub fn list(&self) -> (u64, Option<Micros>) {
        (self.version, self.list_at)
    }

    /// Processes before this one, counted up to a bound, that ended while they started.
    pub fn failed_starts(&self) -> u32 {
        self.lives
    }

    /// Endpoints that are hidden.
    pub fn hidden(&self) -> usize {
        self.denied.values().filter(|by| by.len() >= WITNESSES).count()
    }

    /// The least that others believe the list service to bear; for operators, nothing goes by it.
    pub fn lowest_peer_capacity(&self) -> Option<f64> {
        self.heard.values().map(|heard| heard.capacity).min_by(f64::total_cmp)
    }
}
