//! Messages in order and once over datagrams that get lost, late and repeated, between two processes.
//!
//! Each process draws a number for each channel. A datagram names both; it counts only if both are the present ones.
//! A number that is not known yet is taken only from an answer to a challenge of this moment, so that nothing that an
//! earlier process sent comes in later. Segments are numbered, acknowledged cumulatively and selectively (RFC 2018),
//! and resent after a time-out from the round trips seen (RFC 6298), which doubles.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::Micros;

/// The first byte of a datagram tells whose channel it is; no other datagram between senders begins so.
pub const TAKEOVER: u8 = 0xb3;
/// The same, for the status index.
pub const STATUS: u8 = 0xc5;
/// The same, for starts.
pub const START: u8 = 0xd1;
/// The same, for estimates.
pub const ESTIMATE: u8 = 0xe3;
const VERSION: u8 = 1;
const HEAD: usize = 38;
/// Bytes of a datagram at most.
const DATAGRAM: usize = 256;
/// Bytes of a segment at most.
pub const SEGMENT: usize = DATAGRAM - HEAD;
/// Segments under way at most.
const WINDOW: usize = 64;
/// Segments sent at a time: a burst fills no queue on the way.
const BURST: usize = 16;
/// Rest between two bursts.
const PACE: Micros = 2_000;
/// Bytes that may wait to be sent; more breaks the channel.
pub const MOST_WAITING: usize = 1 << 20;
/// A longer message is not sent.
pub const MOST_BYTES: usize = 80 * 1024;
/// Bounds of the time after which a segment is sent again.
const AGAIN: (Micros, Micros) = (40_000, 500_000);
/// Until a round trip was seen.
const FIRST_TRIP: Micros = 60_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Data = 1,
    Hello = 2,
    Welcome = 3,
}

#[derive(Debug)]
struct Segment {
    seq: u32,
    bytes: Vec<u8>,
    sent: Option<Micros>,
    tries: u32,
    arrived: bool,
}

/// What came of a datagram.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Came {
    /// Messages, in order.
    pub messages: Vec<Vec<u8>>,
    /// The other side is a new process: what was under way is lost.
    pub anew: bool,
    /// It is from the process that is there now.
    pub heard: bool,
    /// It is nothing of this channel, or of another time.
    pub dropped: bool,
}

/// One side of a channel.
#[derive(Debug)]
pub struct Channel {
    magic: u8,
    tier: u32,
    own: u64,
    peer: Option<u64>,
    /// The number that is doubted, the challenge, and when it was sent last.
    challenge: Option<(u64, u32, Micros)>,
    /// Numbers whose hello is to be answered, with their challenge.
    welcome: Option<(u64, u32)>,
    waiting: VecDeque<u8>,
    window: VecDeque<Segment>,
    next: u32,
    came: u32,
    early: BTreeMap<u32, Vec<u8>>,
    partial: Vec<u8>,
    answer: bool,
    trip: Micros,
    rested: Micros,
    sent: Micros,
}

impl Channel {
    /// A channel of the process that drew `own`, in the tier with that checksum; `magic` is one of [`TAKEOVER`],
    /// [`STATUS`], [`START`] and [`ESTIMATE`].
    pub fn new(magic: u8, own: u64, tier: u32) -> Self {
        Self {
            magic,
            tier,
            own,
            peer: None,
            challenge: None,
            welcome: None,
            waiting: VecDeque::new(),
            window: VecDeque::new(),
            next: 1,
            came: 0,
            early: BTreeMap::new(),
            partial: Vec::new(),
            answer: false,
            trip: FIRST_TRIP,
            rested: 0,
            sent: 0,
        }
    }

    /// Whether the other side is known.
    pub fn is_up(&self) -> bool {
        self.peer.is_some()
    }

    /// When something was sent last.
    pub fn last_sent(&self) -> Micros {
        self.sent
    }

    /// Bytes that were not sent yet.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether something waits to be sent or acknowledged.
    pub fn busy(&self) -> bool {
        !self.waiting.is_empty() || !self.window.is_empty()
    }

    /// Begins to get to know the other side, if it is not known.
    pub fn greet(&mut self, challenge: u32) {
        if self.peer.is_none() && self.challenge.is_none() {
            self.challenge = Some((0, challenge, 0));
        }
    }

    /// Says something at the next flush, so that the other side hears of this one.
    pub fn ping(&mut self) {
        self.answer = true;
    }

    /// Queues a message. False if it breaks the channel's bounds: then the channel is of no use any more.
    #[must_use]
    pub fn send(&mut self, message: &[u8]) -> bool {
        if message.len() > MOST_BYTES || self.waiting.len() + message.len() + 4 > MOST_WAITING {
            return false;
        }
        self.waiting.extend((message.len() as u32).to_le_bytes());
        self.waiting.extend(message);
        true
    }

    /// A datagram has come. `challenge` is drawn by chance.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], challenge: u32) -> Came {
        let dropped = Came { dropped: true, ..Came::default() };
        let Some((kind, from, to, [seq, ack, sack])) = self.read(bytes) else { return dropped };
        match kind {
            Kind::Hello => {
                self.welcome = Some((from, seq));
                self.doubt(from, challenge);
                Came::default()
            }
            Kind::Welcome => {
                let meant = self.challenge.is_some_and(|(_, asked, sent)| asked == seq && sent > 0);
                if !meant || to != self.own {
                    return dropped;
                }
                self.challenge = None;
                let anew = self.peer.is_some_and(|peer| peer != from);
                if anew {
                    // Whatever was said was said to a process that is no more.
                    *self = Self {
                        welcome: self.welcome,
                        sent: self.sent,
                        ..Self::new(self.magic, self.own, self.tier)
                    };
                }
                self.peer = Some(from);
                self.answer = true;
                Came { anew, heard: true, ..Came::default() }
            }
            Kind::Data if self.peer != Some(from) => {
                self.doubt(from, challenge);
                dropped
            }
            Kind::Data if to != self.own => dropped,
            Kind::Data => {
                self.acknowledged(now, ack, sack);
                let mut came = Came { heard: true, ..Came::default() };
                if seq > 0 {
                    self.answer = true;
                    let ahead = seq > self.came && seq - self.came <= WINDOW as u32;
                    if ahead {
                        self.early.entry(seq).or_insert_with(|| bytes[HEAD..].to_vec());
                    }
                    while let Some(segment) = self.early.remove(&(self.came + 1)) {
                        self.came += 1;
                        self.partial.extend(segment);
                    }
                    self.whole(&mut came.messages);
                }
                came
            }
        }
    }

    /// Asks whoever uses a number that is not known to prove that it is there now.
    fn doubt(&mut self, number: u64, challenge: u32) {
        let known = self.peer == Some(number);
        if !known && self.challenge.is_none_or(|(asked, ..)| asked != number) {
            self.challenge = Some((number, challenge, 0));
        }
    }

    fn whole(&mut self, messages: &mut Vec<Vec<u8>>) {
        let mut at = 0;
        while let Some(length) = self.partial.get(at..at + 4).and_then(|l| l.try_into().ok()) {
            let length = u32::from_le_bytes(length) as usize;
            if length > MOST_BYTES {
                // No sound process says that: nothing more is made of what comes from it.
                self.partial.clear();
                self.peer = None;
                return;
            }
            let end = at + 4 + length;
            let Some(message) = self.partial.get(at + 4..end) else { break };
            messages.push(message.to_vec());
            at = end;
        }
        self.partial.drain(..at);
    }

    fn acknowledged(&mut self, now: Micros, ack: u32, sack: u32) {
        for segment in &mut self.window {
            let ahead = segment.seq.wrapping_sub(ack.wrapping_add(2));
            let told = segment.seq <= ack || ahead < 32 && sack & 1 << ahead != 0;
            if told && !segment.arrived {
                segment.arrived = true;
                if let (Some(sent), 1) = (segment.sent, segment.tries) {
                    let trip = now.saturating_sub(sent);
                    self.trip = (self.trip * 7 + trip) / 8;
                }
            }
        }
        while self.window.front().is_some_and(|segment| segment.arrived) {
            self.window.pop_front();
        }
    }

    fn again_after(&self, tries: u32) -> Micros {
        let first = (self.trip * 2 + 20_000).clamp(AGAIN.0, AGAIN.1);
        (first << tries.saturating_sub(1).min(3)).min(AGAIN.1 * 2)
    }

    /// Sends what is due: answers, segments that are new or were lost, a challenge.
    pub fn flush(&mut self, now: Micros, out: &mut impl FnMut(Vec<u8>)) {
        if let Some((to, seq)) = self.welcome.take() {
            out(self.write(Kind::Welcome, to, [seq, 0, 0], &[]));
        }
        if let Some((to, seq, sent)) = self.challenge
            && now >= sent + 2 * FIRST_TRIP
        {
            self.challenge = Some((to, seq, now));
            out(self.write(Kind::Hello, to, [seq, 0, 0], &[]));
        }
        let Some(peer) = self.peer else { return };
        let burst = if now >= self.rested + PACE { BURST } else { 0 };
        for _ in 0..burst {
            if self.window.len() == WINDOW || self.waiting.is_empty() {
                break;
            }
            let size = self.waiting.len().min(SEGMENT);
            let bytes = self.waiting.drain(..size).collect();
            self.window.push_back(Segment { seq: self.next, bytes, sent: None, tries: 0, arrived: false });
            self.next += 1;
        }
        let seen = self.window.iter().rposition(|segment| segment.arrived).unwrap_or(0);
        let due: Vec<usize> = (0..self.window.len()).filter(|at| self.is_due(*at, seen, now)).collect();
        let mut told = false;
        for at in due.into_iter().take(burst) {
            let head = [self.window[at].seq, self.came, self.missing()];
            out(self.write(Kind::Data, peer, head, &self.window[at].bytes));
            let segment = &mut self.window[at];
            (segment.sent, segment.tries) = (Some(now), segment.tries + 1);
            told = true;
        }
        if told {
            self.rested = now;
        }
        if std::mem::take(&mut self.answer) && !told {
            out(self.write(Kind::Data, peer, [0, self.came, self.missing()], &[]));
            told = true;
        }
        if told {
            self.sent = now;
        }
    }

    fn is_due(&self, at: usize, seen: usize, now: Micros) -> bool {
        let segment = &self.window[at];
        let Some(sent) = segment.sent.filter(|_| !segment.arrived) else { return !segment.arrived };
        let overtaken = at < seen && now >= sent + self.trip + self.trip / 4 + 5_000;
        overtaken || now >= sent + self.again_after(segment.tries)
    }

    /// When it wants to be flushed next.
    pub fn due(&self) -> Option<Micros> {
        let challenge = self.challenge.map(|(_, _, sent)| sent + 2 * FIRST_TRIP);
        let rested = self.rested + PACE;
        let fresh = (!self.waiting.is_empty() && self.window.len() < WINDOW).then_some(rested);
        let again = self.window.iter().filter(|segment| !segment.arrived).map(|segment| {
            let sent = segment.sent.map_or(0, |sent| sent + self.again_after(segment.tries));
            sent.max(rested)
        });
        let up = fresh.into_iter().chain(again).min().filter(|_| self.peer.is_some());
        let answer = (self.answer && self.peer.is_some() || self.welcome.is_some()).then_some(0);
        challenge.into_iter().chain(up).chain(answer).min()
    }

    /// Bits of what has come beyond the next segment that is missing.
    fn missing(&self) -> u32 {
        let bit = |seq: &u32| seq.wrapping_sub(self.came + 2);
        self.early.keys().map(bit).filter(|bit| *bit < 32).fold(0, |bits, bit| bits | 1 << bit)
    }

    fn write(&self, kind: Kind, to: u64, numbers: [u32; 3], body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD + body.len());
        bytes.extend([self.magic, VERSION << 4 | kind as u8]);
        bytes.extend(self.tier.to_le_bytes());
        bytes.extend([0; 4]);
        bytes.extend(self.own.to_le_bytes());
        bytes.extend(to.to_le_bytes());
        numbers.iter().for_each(|number| bytes.extend(number.to_le_bytes()));
        bytes.extend(body);
        let sum = crc32fast::hash(&bytes);
        bytes[6..10].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// Kind, both numbers, and segment, acknowledged, and missing.
    fn read(&self, bytes: &[u8]) -> Option<(Kind, u64, u64, [u32; 3])> {
        let long = |at: usize| Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?));
        let short = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let kind = match bytes.get(1)? {
            k if *k == VERSION << 4 | 1 => Kind::Data,
            k if *k == VERSION << 4 | 2 => Kind::Hello,
            k if *k == VERSION << 4 | 3 => Kind::Welcome,
            _ => return None,
        };
        let mut blank = bytes.to_vec();
        blank.get_mut(6..10)?.fill(0);
        let sound = bytes[0] == self.magic && short(2)? == self.tier && short(6)? == crc32fast::hash(&blank);
        let read = (kind, long(10)?, long(18)?, [short(26)?, short(30)?, short(34)?]);
        Some(read).filter(|_| sound && bytes.len() <= DATAGRAM)
    }
}

#[cfg(test)]
mod tests;
