//! Cache of all shards' summaries at one sender, their age, and how they spread.
//!
//! Each owner publishes a catalogue of its spans with the version of each span's summary. So a shard is known
//! to exist even if its summary is not held. Catalogues and summaries spread by anti-entropy (Demers and
//! others, 1987): each round a digest of versions goes to one sender, which sends what it has newer and
//! requests what it lacks, within [`BUDGET`] bytes per second. The newest version wins. What an ended
//! incarnation left is kept as doubtful until it expires.
//!
//! Ages are measured on each holder's own clock and passed on with the data: no two clocks are compared.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::summary::{Summary, Version};
use crate::interface::Micros;
use crate::membership::{MembershipView, Rank, State};
use crate::status::{LogId, ShardId};

/// Bytes per second that a sender spends on summaries, including those that it forwards.
pub const BUDGET: u64 = 8_192;
/// Maximum bytes that may go at once after an idle time.
pub const BURST: u64 = 2 * BUDGET;
/// Time between two digests.
pub const ROUND: Micros = 1_000_000;
/// Maximum logs in one digest; the next digest continues after them.
pub const MAX_LINES: usize = 128;
/// Maximum messages that wait for the budget; more are dropped, and requested again.
pub const MAX_QUEUED: usize = 256;
/// Maximum spans in one catalogue; older ones only set [`Catalogue::older`].
pub const MAX_SPANS: usize = 512;
/// Maximum bytes of summaries held. The oldest spans are evicted first; their catalogue stays.
pub const MAX_HELD: usize = 4 << 20;
/// How long the data of an ended incarnation, or of a sender that is gone, is held.
pub const OVER: Micros = 600_000_000;
/// Maximum summaries requested in one message.
const MAX_WANTED: usize = 16;

/// Catalogue of all shards of one log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalogue {
    /// The log.
    pub log: LogId,
    /// Incarnation of the owner's process in the membership view. Of two generations of one folder, the one
    /// with the later incarnation is current.
    pub incarnation: u32,
    /// The version.
    pub version: Version,
    /// Time by the owner's clock, Unix microseconds: every message accepted before it that the owner owes or
    /// owed is included.
    pub as_of: Micros,
    /// How far the owner's clock has been seen to step back, microseconds: the last `slack` before `as_of`
    /// may be incomplete.
    pub slack: Micros,
    /// Length of a span, microseconds.
    pub length: Micros,
    /// Each span with entries, and the version of its summary.
    pub spans: Vec<(u32, Version)>,
    /// Whether there are spans before the first listed one.
    pub older: bool,
}

/// A catalogue as it is held.
#[derive(Debug, Clone, PartialEq)]
pub struct CachedCatalogue {
    /// The catalogue.
    pub catalogue: Catalogue,
    /// Its age on arrival, and the time of arrival by this sender's clock.
    arrived: (Micros, Micros),
    /// The summaries and their sizes in bytes, by span.
    pub summaries: BTreeMap<u32, (Summary, usize)>,
    /// When it was noticed that another incarnation has followed.
    pub over: Option<Micros>,
}

impl CachedCatalogue {
    /// The age of the catalogue.
    pub fn age(&self, now: Micros) -> Micros {
        self.arrived.0.saturating_add(now.saturating_sub(self.arrived.1))
    }

    /// The summary that is held of a span, and whether it is as new as the catalogue says.
    pub fn summary(&self, span: u32, version: Version) -> Option<(&Summary, bool)> {
        let (summary, _) = self.summaries.get(&span)?;
        Some((summary, summary.version >= version))
    }
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct DigestEntry {
    log: LogId,
    incarnation: u32,
    version: Version,
}

#[derive(Debug, Serialize, Deserialize)]
enum GossipMessage {
    /// Versions that the sender holds.
    Digest(Vec<DigestEntry>),
    /// The age of a catalogue, and the catalogue.
    Catalogue(Micros, Catalogue),
    /// Requests catalogues.
    Ask(Vec<LogId>),
    /// Requests summaries of spans of a log.
    Want(LogId, Vec<u32>),
    /// A summary.
    Summary(Box<Summary>),
}

/// Counts since the process began.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Messages sent to other senders.
    pub sent: u64,
    /// Bytes of those messages.
    pub sent_bytes: u64,
    /// Messages dropped because the queue or the channel was full.
    pub dropped: u64,
    /// Messages that could not be read or were invalid.
    pub unreadable: u64,
    /// Summaries evicted at [`MAX_HELD`].
    pub let_go: u64,
}

/// See the module.
#[derive(Debug)]
pub struct SummaryCache {
    own: Rank,
    size: usize,
    rng: fastrand::Rng,
    held: BTreeMap<LogId, CachedCatalogue>,
    bytes: usize,
    queue: VecDeque<(Rank, Vec<u8>)>,
    /// Bytes that may be sent, and the time of that count.
    credit: (u64, Micros),
    next_round: Micros,
    /// The last log of the previous digest; the next one continues after it.
    from: Option<LogId>,
    /// Counts for operators.
    pub counts: Counts,
}

impl SummaryCache {
    /// An empty cache.
    pub fn new(own: Rank, size: usize, seed: u64, now: Micros) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let next_round = now.saturating_add(rng.u64(0..ROUND));
        Self {
            own,
            size,
            rng,
            held: BTreeMap::new(),
            bytes: 0,
            queue: VecDeque::new(),
            credit: (BURST, now),
            next_round,
            from: None,
            counts: Counts::default(),
        }
    }

    /// Stores this sender's own catalogue, and those summaries that have changed.
    pub fn publish(&mut self, now: Micros, catalogue: Catalogue, summaries: Vec<Summary>) {
        self.store_catalogue(now, 0, catalogue);
        summaries.into_iter().for_each(|summary| self.store_summary(summary));
    }

    /// All catalogues that are held.
    pub fn all(&self) -> impl Iterator<Item = &CachedCatalogue> {
        self.held.values()
    }

    /// The catalogue of an owner's current incarnation, as far as is known.
    pub fn current(&self, owner: Rank) -> Option<&CachedCatalogue> {
        self.held.values().find(|held| held.catalogue.log.owner == owner && held.over.is_none())
    }

    /// Bytes of summaries that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Stores a catalogue if it is newer than the one held. Returns whether it was.
    fn store_catalogue(&mut self, now: Micros, age: Micros, mut catalogue: Catalogue) -> bool {
        let log = catalogue.log;
        if usize::from(log.owner) >= self.size || catalogue.length == 0 {
            self.counts.unreadable += 1;
            return false;
        }
        if catalogue.spans.len() > MAX_SPANS {
            catalogue.spans.sort_unstable();
            catalogue.spans.drain(..catalogue.spans.len() - MAX_SPANS);
            catalogue.older = true;
        }
        let newer = |held: &CachedCatalogue| {
            (catalogue.incarnation, catalogue.version) > (held.catalogue.incarnation, held.catalogue.version)
        };
        let over = match self.held.get(&log) {
            Some(held) if !newer(held) => return false,
            Some(held) => held.over,
            None => None,
        };
        // Generations of folders are not ordered; incarnations in the membership view are.
        let others = || {
            self.held
                .values()
                .filter(|held| held.catalogue.log.owner == log.owner && held.catalogue.log != log)
        };
        let later = others().any(|held| held.catalogue.incarnation > catalogue.incarnation);
        let over = if later { Some(over.unwrap_or(now)) } else { None };
        let followed: Vec<LogId> = others()
            .filter(|held| held.over.is_none() && over.is_none())
            .map(|held| held.catalogue.log)
            .collect();
        for log in followed {
            if let Some(held) = self.held.get_mut(&log) {
                held.over = Some(now);
            }
        }
        let before = self.held.remove(&log).map(|held| held.summaries).unwrap_or_default();
        let listed: Vec<u32> = catalogue.spans.iter().map(|(span, _)| *span).collect();
        let (summaries, gone): (BTreeMap<_, _>, BTreeMap<_, _>) =
            before.into_iter().partition(|(span, _)| listed.contains(span));
        self.bytes -= gone.values().map(|(_, bytes)| bytes).sum::<usize>();
        self.held.insert(log, CachedCatalogue { catalogue, arrived: (age, now), summaries, over });
        self.drop_old_incarnations(log.owner);
        true
    }

    /// Of each owner, keeps only the last ended incarnation.
    fn drop_old_incarnations(&mut self, owner: Rank) {
        let over = self.held.iter().filter(|(log, held)| log.owner == owner && held.over.is_some());
        let mut over: Vec<(u32, LogId)> =
            over.map(|(log, held)| (held.catalogue.incarnation, *log)).collect();
        over.sort_unstable();
        over.pop();
        over.into_iter().for_each(|(_, log)| self.forget(log));
    }

    fn forget(&mut self, log: LogId) {
        if let Some(held) = self.held.remove(&log) {
            self.bytes -= held.summaries.values().map(|(_, bytes)| bytes).sum::<usize>();
        }
    }

    fn store_summary(&mut self, summary: Summary) {
        let Some(held) = self.held.get_mut(&summary.log) else { return };
        let listed = held.catalogue.spans.iter().any(|(span, _)| *span == summary.span);
        let before = held.summaries.get(&summary.span);
        if !listed || before.is_some_and(|(before, _)| before.version >= summary.version) {
            return;
        }
        let size = postcard::to_allocvec(&summary).map_or(0, |bytes| bytes.len());
        let before = held.summaries.insert(summary.span, (summary, size));
        self.bytes = (self.bytes + size).saturating_sub(before.map_or(0, |(_, bytes)| bytes));
        while self.bytes > MAX_HELD {
            let oldest = self.held.iter().filter_map(|(log, held)| {
                let span = *held.summaries.keys().next()?;
                Some((u64::from(span).saturating_mul(held.catalogue.length), *log, span))
            });
            let Some((_, log, span)) = oldest.min() else { return };
            if let Some((_, bytes)) = self.held.get_mut(&log).and_then(|held| held.summaries.remove(&span)) {
                self.bytes = self.bytes.saturating_sub(bytes);
                self.counts.let_go += 1;
            }
        }
    }

    fn enqueue(&mut self, to: Rank, message: &GossipMessage) {
        match postcard::to_allocvec(message) {
            Ok(bytes) if self.queue.len() < MAX_QUEUED => self.queue.push_back((to, bytes)),
            _ => self.counts.dropped += 1,
        }
    }

    /// Handles a message of another sender.
    pub fn receive(&mut self, now: Micros, from: Rank, bytes: &[u8]) {
        match postcard::from_bytes(bytes) {
            Ok(GossipMessage::Digest(lines)) => self.compare(now, from, &lines),
            Ok(GossipMessage::Catalogue(age, catalogue)) => {
                let log = catalogue.log;
                // No other sender knows this sender's own log better.
                if log.owner != self.own && self.store_catalogue(now, age, catalogue) {
                    self.request_summaries(from, log);
                }
            }
            Ok(GossipMessage::Ask(logs)) => {
                for log in logs.into_iter().take(MAX_LINES) {
                    self.send_catalogue(now, from, log);
                }
            }
            Ok(GossipMessage::Want(log, spans)) => {
                for span in spans.into_iter().take(MAX_WANTED) {
                    let summary = self.held.get(&log).and_then(|held| held.summaries.get(&span));
                    if let Some(summary) = summary.map(|(summary, _)| Box::new(summary.clone())) {
                        self.enqueue(from, &GossipMessage::Summary(summary));
                    }
                }
            }
            Ok(GossipMessage::Summary(summary)) if summary.log.owner != self.own => {
                let log = summary.log;
                self.store_summary(*summary);
                // Requests those that did not fit into the request before.
                if self.queue.len() < MAX_QUEUED / 2 && self.request_complete(log) {
                    self.request_summaries(from, log);
                }
            }
            Ok(GossipMessage::Summary(_)) => {}
            Err(_) => self.counts.unreadable += 1,
        }
    }

    fn missing_spans<'a>(&'a self, log: LogId) -> impl Iterator<Item = u32> + 'a {
        let held = self.held.get(&log).into_iter();
        held.flat_map(|held| {
            // The newest first: they are queried most.
            let spans = held.catalogue.spans.iter().rev();
            spans.filter(|(span, version)| !held.summary(*span, *version).is_some_and(|(_, new)| new))
        })
        .map(|(span, _)| *span)
    }

    /// Whether all summaries of one request have arrived.
    fn request_complete(&self, log: LogId) -> bool {
        let missing_spans = self.missing_spans(log).count();
        missing_spans > 0 && missing_spans.is_multiple_of(MAX_WANTED)
    }

    fn request_summaries(&mut self, from: Rank, log: LogId) {
        let spans: Vec<u32> = self.missing_spans(log).take(MAX_WANTED).collect();
        if !spans.is_empty() {
            self.enqueue(from, &GossipMessage::Want(log, spans));
        }
    }

    fn send_catalogue(&mut self, now: Micros, to: Rank, log: LogId) {
        if let Some(held) = self.held.get(&log) {
            let message = GossipMessage::Catalogue(held.age(now), held.catalogue.clone());
            self.enqueue(to, &message);
        }
    }

    fn compare(&mut self, now: Micros, from: Rank, lines: &[DigestEntry]) {
        let (mut ask, size) = (Vec::new(), self.size);
        for line in lines.iter().take(MAX_LINES).filter(|line| usize::from(line.log.owner) < size) {
            let theirs = (line.incarnation, line.version);
            let own = self.held.get(&line.log);
            let own = own.map(|held| (held.catalogue.incarnation, held.catalogue.version));
            match own.cmp(&Some(theirs)) {
                std::cmp::Ordering::Less if line.log.owner != self.own => ask.push(line.log),
                std::cmp::Ordering::Greater => self.send_catalogue(now, from, line.log),
                _ => self.request_summaries(from, line.log),
            }
        }
        if !ask.is_empty() {
            self.enqueue(from, &GossipMessage::Ask(ask));
        }
    }

    /// When [`SummaryCache::tick`] is due next.
    pub fn due(&self) -> Micros {
        // The queue is sent in steps of a fifth of a second.
        if self.queue.is_empty() { self.next_round } else { self.next_round.min(self.credit.1 + ROUND / 5) }
    }

    /// Runs a round if it is due, expires old data, and sends the part of the queue that the budget allows.
    pub fn tick(
        &mut self,
        now: Micros,
        view: Option<&MembershipView>,
        send: &mut dyn FnMut(Rank, &[u8]) -> bool,
    ) {
        if now >= self.next_round {
            self.next_round = now + ROUND;
            let gone = |owner: Rank| {
                let fact = view.and_then(|view| view.members.get(usize::from(owner)));
                fact.is_some_and(|fact| matches!(fact.state, State::Dead | State::Left))
            };
            let done = |held: &CachedCatalogue| {
                let over = held.over.is_some_and(|over| now >= over.saturating_add(OVER));
                over || (held.age(now) >= OVER && gone(held.catalogue.log.owner))
            };
            let done: Vec<LogId> =
                self.held.iter().filter(|(_, held)| done(held)).map(|(log, _)| *log).collect();
            done.into_iter().for_each(|log| self.forget(log));
            self.round(view);
        }
        let gained = now.saturating_sub(self.credit.1).saturating_mul(BUDGET) / 1_000_000;
        if gained > 0 {
            self.credit = (self.credit.0.saturating_add(gained).min(BURST), now);
        }
        while let Some((to, bytes)) = self.queue.front() {
            let cost = bytes.len() as u64;
            // A message longer than a whole burst would wait for ever, so it goes when the credit is full.
            if self.credit.0 < cost.min(BURST) {
                break;
            }
            self.credit.0 = self.credit.0.saturating_sub(cost);
            if send(*to, bytes) {
                self.counts.sent += 1;
                self.counts.sent_bytes += cost;
            } else {
                self.counts.dropped += 1;
            }
            self.queue.pop_front();
        }
    }

    fn round(&mut self, view: Option<&MembershipView>) {
        let there = |rank: usize| {
            let state = view.and_then(|view| view.members.get(rank)).map(|fact| fact.state);
            !matches!(state, Some(State::Dead | State::Left | State::Joining))
        };
        let others: Vec<Rank> = (0..self.size)
            .filter(|rank| *rank != usize::from(self.own) && there(*rank))
            .map(|r| r as Rank)
            .collect();
        let Some(to) = self.rng.choice(others) else { return };
        let line = |(log, held): (&LogId, &CachedCatalogue)| DigestEntry {
            log: *log,
            incarnation: held.catalogue.incarnation,
            version: held.catalogue.version,
        };
        let from = self.from.take();
        let later = self.held.iter().filter(|(log, _)| from.is_none_or(|from| **log > from));
        let lines: Vec<DigestEntry> = later.map(line).take(MAX_LINES).collect();
        if lines.len() == MAX_LINES {
            self.from = lines.last().map(|line| line.log);
        }
        self.enqueue(to, &GossipMessage::Digest(lines));
    }

    /// Whether a shard is known to exist while its summary is not held.
    pub fn lacks_summary(&self, shard: ShardId) -> bool {
        let held = self.held.values().filter(|held| held.catalogue.log.owner == shard.owner);
        held.flat_map(|held| held.catalogue.spans.iter().map(move |(span, _)| (held, *span)))
            .any(|(held, span)| span == shard.span && !held.summaries.contains_key(&span))
    }
}
