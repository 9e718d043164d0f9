//! Concurrent starts of many senders: when each calls the list service, what a peer's list may change, at
//! which pace old messages are released, and how far a start has progressed. Sans I/O; off without the
//! section `start`.
//!
//! A sender calls the list service in a slot of its own. The slots are spread over a jitter window that
//! follows from the number of starting senders, which senders learn from each other's hints, and from the
//! capacity of the service. A failed call of any sender widens the window for those that hear of it. Until it
//! has an answer of its own, and whenever its own watch is not open, a sender uses the list that it has,
//! without the endpoints that two peers report as gone: a peer's list can only remove endpoints.

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

/// Minimum and maximum of `bears_per_s`.
pub const CAPACITY_PER_S: (u32, u32) = (1, 10_000);
/// Assumed capacity of a list service until more is known, calls per second.
const INITIAL_CAPACITY: f64 = 16.0;
/// Minimum duration of a start. Processes that began at most this long before this one count as starting with
/// it.
const MIN_START_TIME: Micros = 10_000_000;
/// Interval at which hints are sent while there is anything to learn from peers.
const HINT_INTERVAL: Micros = 500_000;
/// Number of peers that a hint is sent to each time, and the first time, when nothing is known yet.
const HINT_FANOUT: (usize, usize) = (4, 8);
/// Maximum number of replies to peers' hints per second.
const MAX_HINT_REPLIES: u32 = 64;
/// Maximum number of peers whose last hint is kept.
const MAX_HEARD: usize = 64;
/// Number of peers heard from which the share of starting senders is taken from hints. With fewer, all
/// senders are assumed to be starting.
const MIN_HEARD: usize = 3;
/// Maximum number of lists requested from peers, and sent to peers, per second.
const MAX_LISTS_PER_S: (u32, u32) = (2, 32);
/// Number of peers that must agree before an endpoint is considered gone.
const MIN_WITNESSES: usize = 2;
/// Maximum number of entries in a list sent to a peer.
const MAX_ENTRIES: usize = 4096;
/// An answer that takes at least this long came from a held watch; after a shorter time, the service had
/// changes at once.
const MIN_HELD_TIME: Micros = 2_000_000;

/// Source of the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// An agent on the sender's own machine, which takes any number of calls. What it has counts as received
    /// by the sender at once.
    #[default]
    Agent,
    /// One service for all senders. What it has written to a sender counts as received by that sender.
    Service,
}

/// The section `start`. It is the same at all senders of a tier.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The tier's name. It distinguishes the tier from others that are given the same addresses by mistake.
    #[serde(default)]
    pub tier: String,
    /// Where the list comes from.
    #[serde(default)]
    pub source: Source,
    /// Capacity of the list service, calls per second. Learned if left out.
    #[serde(default)]
    pub bears_per_s: Option<u32>,
}

/// Progress of a start. Readiness does not depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The list service has not answered this process yet.
    List,
    /// Old messages are not all released yet.
    Journal,
    /// The number of starting senders is not known yet.
    Peers,
    /// The watch on the list is not open, or the service fails calls, or the start is younger than its
    /// minimum duration.
    Warming,
    /// The start is complete.
    Steady,
}

/// An endpoint in a list sent to peers: its name, its destination, and whether it may be used.
pub type Named = (String, u32, bool);

/// Messages that senders exchange on their channels.
#[derive(Debug, Serialize, Deserialize)]
enum PeerMessage {
    #[serde(rename = "Tell")]
    RequestList,
    /// The version, and the whole list as this sender received it from the list service.
    #[serde(rename = "Word")]
    List(u64, Vec<Named>),
}

/// Why a call to the list service failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The service rejected it, or its answer can't be read.
    Rejected,
    /// There was no answer, or the answer was truncated.
    NoAnswer,
}

/// Counters of this process.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Calls to the list service.
    pub asked: u64,
    /// Calls that were rejected, or whose answer can't be read.
    pub turned_away: u64,
    /// Calls without an answer.
    pub silent: u64,
    /// Times that the lists of enough peers arrived before this sender's own next call.
    pub saved: u64,
    /// Hints sent.
    pub hints_sent: u64,
    /// Hints received.
    pub hints_heard: u64,
    /// Datagrams that were corrupt, from another tier, or too many.
    pub dropped: u64,
    /// Messages of peers that can't be read, or lists of peers that are too long.
    pub absurd: u64,
}

/// Content of a peer's last hint.
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

/// Initial state of a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Begin {
    /// This sender's rank.
    pub own: Rank,
    /// Senders of the tier.
    pub size: usize,
    /// The version of the list that the process starts from.
    pub version: u64,
    /// The capacity of the list service that an earlier process learned.
    pub capacity: Option<f64>,
    /// Number of consecutive processes before this one that ended during their start.
    pub lives: u32,
    /// Calls for the list are scheduled here; otherwise the decision module requests the list at times of its
    /// own.
    pub watched: bool,
    /// Time after the news that an endpoint has left within which sends to it must have ended.
    pub grace: Micros,
    /// Seed for random numbers.
    pub seed: u64,
}

/// When the next call to the list service is due, and why.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Next {
    /// In this process's slot: its first call.
    Slot,
    /// At once: after a watch that was held and brought no changes, and always after an answer or a new
    /// address of an agent.
    Now,
    /// In this sender's slot of a jitter window over all senders that begins at this time: after an answer
    /// that all senders got, or a new address of the service, at the same time.
    Place(Micros),
    /// At this time: after a failure, or one jitter window after the first answer, since this sender already
    /// has a slot.
    At(Micros),
    /// A call has been in flight since this time.
    Out(Micros),
}

/// One sender's start.
#[derive(Debug)]
pub struct Start {
    config: Config,
    own: Rank,
    size: usize,
    tier: u32,
    max_window: Micros,
    rng: fastrand::Rng,
    began: Micros,
    lives: u32,
    /// Number of senders present according to the membership view.
    present: usize,
    position: f64,
    capacity: f64,
    next: Next,
    watched: bool,
    failed: u32,
    trouble: (f64, Micros),
    troubled: bool,
    heard: BTreeMap<Rank, PeerState>,
    hint_at: Micros,
    share_at: Micros,
    /// Start of the current second; hints answered, lists requested and lists requested by peers in it.
    this_second: (Micros, u32, u32, u32),
    mesh: Mesh,
    /// Version of the list that this sender uses, and the list as this process last received it from the
    /// service.
    version: u64,
    list: Option<Vec<Named>>,
    list_at: Option<Micros>,
    /// The list is too long to be sent to peers, and is not stored here.
    list_too_long: bool,
    /// Names and destinations of the usable endpoints in the list that this sender uses.
    names: BTreeMap<String, u32>,
    /// The peers that reported an endpoint as gone since this sender's own last answer, by endpoint; and the
    /// list version of each peer that sent a list since then.
    reported_gone: BTreeMap<String, BTreeSet<Rank>>,
    witnesses: BTreeMap<Rank, u64>,
    changed: BTreeSet<String>,
    /// Counters of this process.
    pub counts: Counts,
    phase: (Phase, Micros),
    /// Destinations for which this sender holds the most messages; and its shares of cold destinations, as
    /// last reported.
    held: Vec<(u32, u16)>,
    parts: BTreeMap<u32, f64>,
    /// Old messages that are not released yet.
    pub backlog: pace::Backlog,
}

impl Start {
    /// Creates the state of a process that starts.
    pub fn new(config: &Config, begin: Begin, now: Micros) -> Self {
        let Begin { own, size, version, capacity, lives, watched, grace, seed } = begin;
        let tier = tier_of(&config.tier);
        // What an agent has counts as received from the first moment: half of the grace is left for the
        // answer.
        let max_window = match config.source {
            Source::Agent => grace / 2,
            Source::Service => jitter::MAX_WINDOW,
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
            max_window,
            rng: fastrand::Rng::with_seed(seed),
            began: now,
            lives: lives.min(cached_list::MAX_FAILED_STARTS),
            present: size,
            position: jitter::place(own, tier),
            capacity,
            next: Next::Slot,
            watched,
            failed: 0,
            trouble: (0.0, now),
            troubled: false,
            heard: BTreeMap::new(),
            hint_at: now,
            share_at: now,
            this_second: (now, 0, 0, 0),
            mesh: Mesh::new(START, own, size, tier, seed.rotate_left(17)),
            version,
            list: None,
            list_at: None,
            list_too_long: false,
            names: BTreeMap::new(),
            reported_gone: BTreeMap::new(),
            witnesses: BTreeMap::new(),
            changed: BTreeSet::new(),
            counts: Counts::default(),
            phase: (Phase::List, now),
            held: Vec::new(),
            parts: BTreeMap::new(),
            backlog: pace::Backlog::default(),
        }
    }

    /// Sets the number of senders present according to the membership view. It is only a hint, and is held
    /// between half and all of the configured senders.
    pub fn set_peers(&mut self, present: usize) {
        self.present = present.clamp(self.size.div_ceil(2), self.size);
    }

    /// The tier's checksum.
    pub fn tier(&self) -> u32 {
        self.tier
    }

    /// Estimated capacity of the list service, calls per second.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// The capacity that the next process is to assume: higher than this process's if no sender that it heard
    /// of, itself included, had a failed call, else lower.
    pub fn learned(&self) -> f64 {
        let learned = self.capacity * if self.troubled { 0.7 } else { 1.25 };
        learned.clamp(f64::from(CAPACITY_PER_S.0), f64::from(CAPACITY_PER_S.1))
    }

    /// Estimated number of starting senders, including this one, according to hints; without enough hints,
    /// all senders that are present.
    pub fn starters(&self) -> f64 {
        let heard = self.heard.len();
        if heard < MIN_HEARD.min(self.size.saturating_sub(1)) {
            return self.present as f64;
        }
        let starting = self.heard.values().filter(|heard| heard.starting).count();
        1.0 + self.present.saturating_sub(1) as f64 * starting as f64 / heard.max(1) as f64
    }

    /// The exponent of the power of two by which jitter windows are widened: the largest of this sender's own
    /// failures and those that peers report of theirs. Failures reported by peers are not passed on, so that
    /// no failure circulates for ever.
    pub fn trouble(&self, now: Micros) -> f64 {
        let left = |(trouble, at): (f64, Micros)| jitter::decayed(trouble, now.saturating_sub(at));
        let others = self.heard.values().map(|heard| left((heard.trouble, heard.at)));
        others.fold(left(self.trouble), f64::max).min(jitter::MAX_TROUBLE)
    }

    /// The jitter window over this many senders.
    fn window(&self, senders: f64, now: Micros) -> Micros {
        jitter::window(senders, self.capacity, self.trouble(now) + f64::from(self.lives), self.max_window)
    }

    /// The jitter window of this start.
    pub fn spread(&self, now: Micros) -> Micros {
        self.window(self.starters(), now)
    }

    /// When the list service may be called next; `None` while a call is in flight. The time changes with
    /// hints.
    pub fn ask_at(&self, now: Micros) -> Option<Micros> {
        let slot = |window: Micros| (window as f64 * self.position) as Micros;
        match self.next {
            Next::Slot => Some(self.began + slot(self.spread(now))),
            Next::Now => Some(0),
            Next::Place(at) => Some(at + slot(self.window(self.present as f64, now))),
            Next::At(at) => Some(at),
            Next::Out(_) => None,
        }
    }

    /// Whether the next call must request the whole list: two peers received a version before this sender's,
    /// which it has from an earlier process, so that the service would hold a watch from that version without
    /// any use.
    pub fn needs_whole_list(&self) -> bool {
        let before = |heard: &&PeerState| heard.confirmed && heard.version < self.version;
        let confirmed = self.heard.values().filter(|heard| heard.confirmed).count();
        let before = self.heard.values().filter(before).count();
        self.list.is_none() && before >= MIN_WITNESSES && before == confirmed
    }

    /// Notes that a call is sent.
    pub fn asked(&mut self, now: Micros) {
        self.counts.asked += 1;
        self.next = Next::Out(now);
    }

    /// Handles an answer of the list service; `news` tells whether it had changes.
    pub fn answered(&mut self, now: Micros, news: bool) {
        let held = matches!(self.next, Next::Out(at) if now >= at + MIN_HELD_TIME);
        let first = self.list.is_none() && !held;
        self.next = match (news, first) {
            (false, _) => Next::Now,
            // An agent's watch continues if the agent is called again at once.
            _ if self.config.source == Source::Agent => Next::Now,
            (true, true) => Next::At(now + self.spread(now)),
            (true, false) => Next::Place(now),
        };
        self.failed = 0;
    }

    /// Handles a failed call. All jitter windows become wider for a while, and peers are notified.
    pub fn failed(&mut self, now: Micros, how: CallFailure) {
        match how {
            CallFailure::Rejected => self.counts.turned_away += 1,
            CallFailure::NoAnswer => self.counts.silent += 1,
        }
        self.failed = self.failed.saturating_add(1);
        let (first, bounds) = match self.config.source {
            Source::Agent => (0, jitter::BACKOFF_AT_AGENT),
            // The peers' failures would otherwise count twice: each sender whose call fails backs off longer
            // by itself.
            Source::Service => {
                (jitter::window(self.present as f64, self.capacity, 0.0, self.max_window), jitter::BACKOFF)
            }
        };
        // A sender without an answer yet calls again as soon as all others could have called.
        let times =
            if self.list.is_none() && self.config.source == Source::Service { 1 } else { self.failed };
        self.next = Next::At(now + jitter::backoff(first, times, self.rng.f64(), bounds));
        let before = jitter::decayed(self.trouble.0, now.saturating_sub(self.trouble.1));
        self.trouble = ((before + 1.0).min(jitter::MAX_TROUBLE), now);
        self.troubled = true;
        self.hint_at = self.hint_at.min(now);
    }

    /// Handles a changed address of the list service: the call in flight is useless, and all senders call
    /// again.
    pub fn address_changed(&mut self, now: Micros) {
        self.next = match self.config.source {
            Source::Agent => Next::Now,
            Source::Service => Next::Place(now),
        };
    }

    /// Sets the list that this sender uses, from its state folder or its configuration.
    pub fn load_cached(&mut self, version: u64, list: impl IntoIterator<Item = Named>) {
        self.version = version;
        self.names = list.into_iter().filter(|named| named.2).map(|named| (named.0, named.1)).collect();
    }

    /// Handles the whole list, received from the list service. It discards all reports of peers.
    pub fn listed(&mut self, now: Micros, version: u64, list: Vec<Named>) {
        self.changed.extend(std::mem::take(&mut self.reported_gone).into_keys());
        self.witnesses.clear();
        self.load_cached(version, list.iter().cloned());
        (self.list, self.list_at, self.list_too_long) = (Some(list), Some(now), false);
    }

    /// Handles a list that is too long to be sent to peers, or to be compared with the lists of peers.
    pub fn listed_long(&mut self, now: Micros, version: u64) {
        self.listed(now, version, Vec::new());
        self.list_too_long = true;
    }

    /// Whether two peers reported an endpoint as gone since this sender last received the list itself.
    pub fn hides(&self, name: &str) -> bool {
        self.reported_gone.get(name).is_some_and(|by| by.len() >= MIN_WITNESSES)
    }

    /// Takes the endpoints that became hidden, or are no longer hidden, since the last call.
    pub fn changed(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changed)
    }

    /// Whether held messages must be counted and cold destinations shared now: during a start, as often as
    /// hints are sent.
    pub fn shares_due(&mut self, now: Micros) -> bool {
        let due = self.phase.0 != Phase::Steady && now >= self.share_at;
        if due {
            self.share_at = now + HINT_INTERVAL;
        }
        due
    }

    /// Sets the number of messages that this sender holds, by destination.
    pub fn set_held(&mut self, held: impl IntoIterator<Item = (u32, usize)>) {
        // A destination that does not fit in a hint must not look like one for which the peers hold nothing.
        let told = |held: &(u32, usize)| held.1 > 0 && u16::try_from(held.0).is_ok();
        let mut held: Vec<(u32, usize)> = held.into_iter().filter(told).collect();
        held.sort_unstable_by_key(|held| (Reverse(held.1), held.0));
        let short = held.into_iter().take(hint::MAX_HELD);
        self.held = short.map(|(to, count)| (to, count.min(u16::MAX.into()) as u16)).collect();
    }

    /// This sender's share of the calls that a cold destination can take from all senders: half of it even,
    /// half by the share of all held messages that is held here. The even half bounds what a false hint can
    /// take away. The shares of all senders add up to about 1.
    pub fn part(&self, destination: u32) -> f64 {
        let present = self.present.max(1) as f64;
        let own = self.held.iter().find(|held| held.0 == destination).map_or(0.0, |held| f64::from(held.1));
        let heard = self.heard.values().map(|heard| f64::from(*heard.held.get(&destination).unwrap_or(&0)));
        let others = heard.sum::<f64>() * (present - 1.0) / self.heard.len().max(1) as f64;
        let by_load = if own + others > 0.0 { own / (own + others) } else { 1.0 / present };
        0.5 / present + 0.5 * by_load
    }

    /// This sender's shares of cold destinations that have changed by a tenth since last reported. Empty
    /// without enough hints of peers.
    pub fn parts(&mut self, cold: impl IntoIterator<Item = u32>) -> Vec<(u32, f64)> {
        if self.heard.len() < MIN_HEARD.min(self.size.saturating_sub(1)) {
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

    /// Whether a watch of this process is open, as far as can be known.
    fn watches(&self) -> bool {
        self.list.is_some() && (!self.watched || matches!(self.next, Next::Out(_)))
    }

    /// Whether there is anything to learn from peers.
    fn needs_hints(&self, now: Micros) -> bool {
        self.size > 1 && (now < self.began + MIN_START_TIME || !self.watches())
    }

    /// When [`Start::tick`] must be called next.
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
        if now >= self.this_second.0 + 1_000_000 {
            self.this_second = (now, 0, 0, 0);
        }
    }

    /// Sends hints to some peers and requests theirs; requests the list of those that received a later
    /// version.
    pub fn tick(&mut self, now: Micros, out: &mut Outgoing) {
        self.renew(now);
        if now >= self.hint_at {
            let troubled = now < self.trouble.1 + HINT_INTERVAL && self.trouble.0 > 0.0;
            self.hint_at = now + HINT_INTERVAL;
            if self.needs_hints(now) || troubled {
                let count = if self.heard.is_empty() { HINT_FANOUT.1 } else { HINT_FANOUT.0 };
                let hint = self.hint(now, true);
                for _ in 0..count {
                    let to = self.rng.usize(0..self.size) as Rank;
                    if to != self.own {
                        self.counts.hints_sent += 1;
                        out.push((to, hint.clone()));
                    }
                }
                self.request_lists(now);
            }
        }
        self.mesh.flush(now, out);
        self.step(now);
    }

    fn request_lists(&mut self, now: Micros) {
        if self.watches() {
            return;
        }
        let later = |(rank, heard): (&Rank, &PeerState)| {
            let known = self.witnesses.get(rank).copied().unwrap_or(self.version);
            (heard.confirmed && heard.version > self.version.max(known)).then_some(*rank)
        };
        let later: Vec<Rank> = self.heard.iter().filter_map(later).collect();
        for rank in later.into_iter().take(MIN_WITNESSES) {
            if self.this_second.2 < MAX_LISTS_PER_S.0
                && let Ok(ask) = postcard::to_allocvec(&PeerMessage::RequestList)
            {
                self.this_second.2 += u32::from(self.mesh.send(now, rank, &ask).is_ok());
            }
        }
    }

    /// Handles a datagram of a peer. Returns whether it is for this part.
    pub fn receive(&mut self, now: Micros, from: Rank, bytes: &[u8], out: &mut Outgoing) -> bool {
        if !self.mesh.accepts(bytes) {
            return false;
        }
        self.renew(now);
        if !Hint::accepts(bytes) {
            let arrived = self.mesh.receive(now, from, bytes);
            arrived.messages.iter().for_each(|message| self.handle_message(now, from, message));
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
            // Ages are differences, so that no clock of another machine matters. The result is stored rather
            // than recomputed, so that slots stay as the peers' starts go by.
            starting: now.saturating_sub(Micros::from(hint.age_s) * 1_000_000) + MIN_START_TIME >= self.began,
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
            self.this_second.1 += 1;
            if self.this_second.1 <= MAX_HINT_REPLIES {
                self.counts.hints_sent += 1;
                out.push((from, self.hint(now, false)));
            }
        }
        true
    }

    fn handle_message(&mut self, now: Micros, from: Rank, message: &[u8]) {
        match postcard::from_bytes(message) {
            Ok(PeerMessage::RequestList) => {
                self.this_second.3 += 1;
                // Only a list that this process received itself is sent to peers.
                let Some(list) =
                    self.list.clone().filter(|list| !self.list_too_long && list.len() <= MAX_ENTRIES)
                else {
                    return;
                };
                let reply = postcard::to_allocvec(&PeerMessage::List(self.version, list));
                if let Some(reply) = reply.ok().filter(|reply| {
                    reply.len() <= MAX_MESSAGE_BYTES && self.this_second.3 <= MAX_LISTS_PER_S.1
                }) {
                    // A list that can't be queued is requested again by the peer.
                    let _ = self.mesh.send(now, from, &reply);
                }
            }
            Ok(PeerMessage::List(version, list)) if list.len() <= MAX_ENTRIES => {
                self.handle_list(from, version, &list)
            }
            _ => self.counts.absurd += 1,
        }
    }

    /// Handles the list of a peer. An endpoint that is missing, not usable, or assigned to another
    /// destination in it becomes hidden once a second peer says so. Nothing is added: the address of an
    /// endpoint differs from sender to sender, and only the list service provides it.
    fn handle_list(&mut self, from: Rank, version: u64, list: &[Named]) {
        if self.watches() || version <= self.version {
            return;
        }
        let usable: BTreeMap<&str, u32> =
            list.iter().filter(|named| named.2).map(|named| (named.0.as_str(), named.1)).collect();
        for (name, group) in &self.names {
            if usable.get(name.as_str()) == Some(group) {
                continue;
            }
            let by = self.reported_gone.entry(name.clone()).or_default();
            by.insert(from);
            if by.len() == MIN_WITNESSES {
                self.changed.insert(name.clone());
            }
        }
        let before = self.witnesses.insert(from, version);
        self.counts.saved += u64::from(before.is_none() && self.witnesses.len() == MIN_WITNESSES);
    }

    /// Updates the phase of the start.
    pub fn step(&mut self, now: Micros) {
        let known = self.size == 1 || self.heard.len() >= MIN_HEARD.min(self.size - 1);
        let phase = if self.list.is_none() {
            Phase::List
        } else if self.backlog.left() > 0 {
            Phase::Journal
        } else if !known && now < self.began + MIN_START_TIME {
            Phase::Peers
        } else if !self.watches() || self.trouble(now) > 0.0 || now < self.began + MIN_START_TIME {
            Phase::Warming
        } else {
            Phase::Steady
        };
        // A start completes once: a watch that is renewed later does not begin another start.
        if phase != self.phase.0 && self.phase.0 != Phase::Steady {
            self.phase = (phase, now);
        }
    }

    /// The phase of the start, and since when it is in it.
    pub fn phase(&self) -> (Phase, Micros) {
        self.phase
    }

    /// Text on what the start waits for, for operators.
    pub fn waits_for(&self, now: Micros) -> String {
        let slot = |at: Option<Micros>| at.map(|at| at.saturating_sub(now) / 1000);
        match (self.phase.0, slot(self.ask_at(now))) {
            (Phase::List, Some(ms)) if self.failed > 0 => {
                format!("the next call to the list service, in {ms} ms")
            }
            (Phase::List, Some(ms)) => format!("its slot at the list service, in {ms} ms"),
            (Phase::List, None) => "the list service's answer".to_owned(),
            (Phase::Journal, _) => format!("the turns of {} old messages", self.backlog.left()),
            (Phase::Peers, _) => format!("hints of {MIN_HEARD} senders, {} heard", self.heard.len()),
            (Phase::Warming, Some(ms)) => format!("the turn to open its watch on the list, in {ms} ms"),
            (Phase::Warming, None) => {
                "calls of some sender to the list service fail, or it is young".to_owned()
            }
            (Phase::Steady, _) => "nothing".to_owned(),
        }
    }

    /// The list's version, and when this process last received it from the list service.
    pub fn list(&self) -> (u64, Option<Micros>) {
        (self.version, self.list_at)
    }

    /// Number of consecutive processes before this one that ended during their start, up to a bound.
    pub fn failed_starts(&self) -> u32 {
        self.lives
    }

    /// Number of hidden endpoints.
    pub fn hidden(&self) -> usize {
        self.reported_gone.values().filter(|by| by.len() >= MIN_WITNESSES).count()
    }

    /// The lowest capacity of the list service that peers estimate. It is shown to operators and not used
    /// otherwise.
    pub fn lowest_peer_capacity(&self) -> Option<f64> {
        self.heard.values().map(|heard| heard.capacity).min_by(f64::total_cmp)
    }
}
