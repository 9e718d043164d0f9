//! What a sender holds of all shards' summaries, how old it is, and how it spreads.
//!
//! Each owner makes a catalogue: which spans it has, and how new each one's summary is. So a shard whose summary is not
//! held is known to be there. Catalogues and summaries spread by anti-entropy (Demers and others, 1987): a digest of
//! versions to one sender a round, which gives what it has newer and asks for what it lacks, within [`BUDGET`] bytes a
//! second. Newest version wins; what a life that is over left is kept, with doubt, until its time is up.
//!
//! Ages are counted on each holder's own clock and handed on with what they belong to: no two clocks are compared.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::summary::{Summary, Version};
use crate::interface::Micros;
use crate::membership::{MembershipView, Rank, State};
use crate::status::{LogId, ShardId};

/// Bytes a second that a sender gives to summaries, those that it passes on among them.
pub const BUDGET: u64 = 8_192;
/// Bytes that may go at a time after a rest.
pub const BURST: u64 = 2 * BUDGET;
/// One digest goes in so long.
pub const ROUND: Micros = 1_000_000;
/// Owners in one digest at most; the next one goes on from there.
pub const MAX_LINES: usize = 128;
/// Messages that wait for the budget at most; more are dropped, and asked for again.
pub const MAX_QUEUED: usize = 256;
/// Spans in one catalogue at most; older ones are [`Catalogue::older`].
pub const MAX_SPANS: usize = 512;
/// Bytes of summaries that are held at most. The oldest spans go first; their catalogue stays.
pub const MAX_HELD: usize = 4 << 20;
/// How long what a life that is over, or a sender that is gone, left is held.
pub const OVER: Micros = 600_000_000;
/// Summaries that are asked for in one message at most.
const MAX_WANTED: usize = 16;

/// All shards of one log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Whose.
    pub log: LogId,
    /// Which life of the owner's process in the view: of two lives of a folder the one of the later process holds.
    pub incarnation: u32,
    /// How new.
    pub version: Version,
    /// The owner's clock, Unix microseconds: all that was taken on before then and that it owes or owed is in.
    pub as_of: Micros,
    /// How far the owner's clock was seen to step back, microseconds: so much before `as_of` it may not all be in.
    pub slack: Micros,
    /// Length of a span, microseconds.
    pub length: Micros,
    /// Each span with entries, and its summary's version.
    pub spans: Vec<(u32, Version)>,
    /// There are spans before the first of these.
    pub older: bool,
}

/// A catalogue as it is held.
#[derive(Debug, Clone, PartialEq)]
pub struct CachedCatalogue {
    /// The catalogue.
    pub catalogue: Catalogue,
    /// How old it was when it came, and when that was by this sender's clock.
    came: (Micros, Micros),
    /// The summaries, by span.
    pub summaries: BTreeMap<u32, (Summary, usize)>,
    /// Another life has followed, seen at that time.
    pub over: Option<Micros>,
}

impl CachedCatalogue {
    /// How old it is.
    pub fn age(&self, now: Micros) -> Micros {
        self.came.0.saturating_add(now.saturating_sub(self.came.1))
    }

    /// The newest summary of a span that is held, and whether it is as new as the catalogue.
    pub fn summary(&self, span: u32, version: Version) -> Option<(&Summary, bool)> {
        let (summary, _) = self.summaries.get(&span)?;
        Some((summary, summary.version >= version))
    }
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Line {
    log: LogId,
    incarnation: u32,
    version: Version,
}

#[derive(Debug, Serialize, Deserialize)]
enum GossipMessage {
    /// What the sender has.
    Digest(Vec<Line>),
    /// Its age, and the catalogue.
    Catalogue(Micros, Catalogue),
    /// Catalogues are wanted.
    Ask(Vec<LogId>),
    /// Summaries are wanted.
    Want(LogId, Vec<u32>),
    /// One of them.
    Summary(Box<Summary>),
}

/// Counts since the process began.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Messages to other senders.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Messages that did not go: too many waited.
    pub dropped: u64,
    /// Messages that could not be read or meant nothing.
    pub unreadable: u64,
    /// Summaries let go at [`MAX_HELD`].
    pub let_go: u64,
}

/// What is held.
#[derive(Debug)]
pub struct SummaryCache {
    own: Rank,
    size: usize,
    rng: fastrand::Rng,
    held: BTreeMap<LogId, CachedCatalogue>,
    bytes: usize,
    queue: VecDeque<(Rank, Vec<u8>)>,
    /// Bytes that may go, and as of when.
    credit: (u64, Micros),
    next_round: Micros,
    /// Where the next digest begins.
    from: Option<LogId>,
    /// For operators.
    pub counts: Counts,
}

impl SummaryCache {
    /// Nothing is known yet.
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

    /// This sender's own catalogue and those summaries that have changed.
    pub fn publish(&mut self, now: Micros, catalogue: Catalogue, summaries: Vec<Summary>) {
        self.take_catalogue(now, 0, catalogue);
        summaries.into_iter().for_each(|summary| self.take_summary(summary));
    }

    /// All that is held.
    pub fn all(&self) -> impl Iterator<Item = &CachedCatalogue> {
        self.held.values()
    }

    /// The life of an owner that is not over, as far as is known.
    pub fn current(&self, owner: Rank) -> Option<&CachedCatalogue> {
        self.held.values().find(|held| held.catalogue.log.owner == owner && held.over.is_none())
    }

    /// Bytes of summaries that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether a catalogue is news; if so it is held.
    fn take_catalogue(&mut self, now: Micros, age: Micros, mut catalogue: Catalogue) -> bool {
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
        // Lives of folders stand in no order; the view's do.
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
        self.held.insert(log, CachedCatalogue { catalogue, came: (age, now), summaries, over });
        self.bound(log.owner);
        true
    }

    /// One life that is over is kept of each owner, the last one.
    fn bound(&mut self, owner: Rank) {
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

    fn take_summary(&mut self, summary: Summary) {
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

    fn say(&mut self, to: Rank, say: &GossipMessage) {
        match postcard::to_allocvec(say) {
            Ok(bytes) if self.queue.len() < MAX_QUEUED => self.queue.push_back((to, bytes)),
            _ => self.counts.dropped += 1,
        }
    }

    /// Another sender has said something.
    pub fn receive(&mut self, now: Micros, from: Rank, bytes: &[u8]) {
        match postcard::from_bytes(bytes) {
            Ok(GossipMessage::Digest(lines)) => self.compare(now, from, &lines),
            Ok(GossipMessage::Catalogue(age, catalogue)) => {
                let log = catalogue.log;
                // What this sender says of itself it knows best.
                if log.owner != self.own && self.take_catalogue(now, age, catalogue) {
                    self.want(from, log);
                }
            }
            Ok(GossipMessage::Ask(logs)) => {
                for log in logs.into_iter().take(MAX_LINES) {
                    self.give(now, from, log);
                }
            }
            Ok(GossipMessage::Want(log, spans)) => {
                for span in spans.into_iter().take(MAX_WANTED) {
                    let summary = self.held.get(&log).and_then(|held| held.summaries.get(&span));
                    if let Some(summary) = summary.map(|(summary, _)| Box::new(summary.clone())) {
                        self.say(from, &GossipMessage::Summary(summary));
                    }
                }
            }
            Ok(GossipMessage::Summary(summary)) if summary.log.owner != self.own => {
                let log = summary.log;
                self.take_summary(*summary);
                // Those that did not fit into what was asked for before.
                if self.queue.len() < MAX_QUEUED / 2 && self.asked_all(log) {
                    self.want(from, log);
                }
            }
            Ok(GossipMessage::Summary(_)) => {}
            Err(_) => self.counts.unreadable += 1,
        }
    }

    fn lacking<'a>(&'a self, log: LogId) -> impl Iterator<Item = u32> + 'a {
        let held = self.held.get(&log).into_iter();
        held.flat_map(|held| {
            // The newest first: they are asked for most.
            let spans = held.catalogue.spans.iter().rev();
            spans.filter(|(span, version)| !held.summary(*span, *version).is_some_and(|(_, new)| new))
        })
        .map(|(span, _)| *span)
    }

    /// Whether a batch of what was wanted is through.
    fn asked_all(&self, log: LogId) -> bool {
        let lacking = self.lacking(log).count();
        lacking > 0 && lacking.is_multiple_of(MAX_WANTED)
    }

    fn want(&mut self, from: Rank, log: LogId) {
        let spans: Vec<u32> = self.lacking(log).take(MAX_WANTED).collect();
        if !spans.is_empty() {
            self.say(from, &GossipMessage::Want(log, spans));
        }
    }

    fn give(&mut self, now: Micros, to: Rank, log: LogId) {
        if let Some(held) = self.held.get(&log) {
            let say = GossipMessage::Catalogue(held.age(now), held.catalogue.clone());
            self.say(to, &say);
        }
    }

    fn compare(&mut self, now: Micros, from: Rank, lines: &[Line]) {
        let (mut ask, size) = (Vec::new(), self.size);
        for line in lines.iter().take(MAX_LINES).filter(|line| usize::from(line.log.owner) < size) {
            let theirs = (line.incarnation, line.version);
            let own = self.held.get(&line.log);
            let own = own.map(|held| (held.catalogue.incarnation, held.catalogue.version));
            match own.cmp(&Some(theirs)) {
                std::cmp::Ordering::Less if line.log.owner != self.own => ask.push(line.log),
                std::cmp::Ordering::Greater => self.give(now, from, line.log),
                _ => self.want(from, line.log),
            }
        }
        if !ask.is_empty() {
            self.say(from, &GossipMessage::Ask(ask));
        }
    }

    /// When it wants to be called next.
    pub fn due(&self) -> Micros {
        // What waits for the budget goes in steps of a fifth of a second.
        if self.queue.is_empty() { self.next_round } else { self.next_round.min(self.credit.1 + ROUND / 5) }
    }

    /// A round, if it is time, and what the budget lets go; each to one sender. Ends what is over for long.
    pub fn tick(
        &mut self,
        now: Micros,
        facts: Option<&MembershipView>,
        send: &mut dyn FnMut(Rank, &[u8]) -> bool,
    ) {
        if now >= self.next_round {
            self.next_round = now + ROUND;
            let gone = |owner: Rank| {
                let fact = facts.and_then(|facts| facts.members.get(usize::from(owner)));
                fact.is_some_and(|fact| matches!(fact.state, State::Dead | State::Left))
            };
            let done = |held: &CachedCatalogue| {
                let over = held.over.is_some_and(|over| now >= over.saturating_add(OVER));
                over || (held.age(now) >= OVER && gone(held.catalogue.log.owner))
            };
            let done: Vec<LogId> =
                self.held.iter().filter(|(_, held)| done(held)).map(|(log, _)| *log).collect();
            done.into_iter().for_each(|log| self.forget(log));
            self.round(facts);
        }
        let gained = now.saturating_sub(self.credit.1).saturating_mul(BUDGET) / 1_000_000;
        if gained > 0 {
            self.credit = (self.credit.0.saturating_add(gained).min(BURST), now);
        }
        while let Some((to, bytes)) = self.queue.front() {
            let cost = bytes.len() as u64;
            // A message longer than a whole burst would wait for good: it goes when there is the most.
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

    fn round(&mut self, facts: Option<&MembershipView>) {
        let there = |rank: usize| {
            let state = facts.and_then(|facts| facts.members.get(rank)).map(|fact| fact.state);
            !matches!(state, Some(State::Dead | State::Left | State::Joining))
        };
        let others: Vec<Rank> = (0..self.size)
            .filter(|rank| *rank != usize::from(self.own) && there(*rank))
            .map(|r| r as Rank)
            .collect();
        let Some(to) = self.rng.choice(others) else { return };
        let line = |(log, held): (&LogId, &CachedCatalogue)| Line {
            log: *log,
            incarnation: held.catalogue.incarnation,
            version: held.catalogue.version,
        };
        let from = self.from.take();
        let later = self.held.iter().filter(|(log, _)| from.is_none_or(|from| **log > from));
        let lines: Vec<Line> = later.map(line).take(MAX_LINES).collect();
        if lines.len() == MAX_LINES {
            self.from = lines.last().map(|line| line.log);
        }
        self.say(to, &GossipMessage::Digest(lines));
    }

    /// Whether a shard is known to be there without a summary of it.
    pub fn lacks_summary(&self, shard: ShardId) -> bool {
        let held = self.held.values().filter(|held| held.catalogue.log.owner == shard.owner);
        held.flat_map(|held| held.catalogue.spans.iter().map(move |(span, _)| (held, *span)))
            .any(|(held, span)| span == shard.span && !held.summaries.contains_key(&span))
    }
}
