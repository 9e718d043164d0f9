//! Ordered, exactly-once messages between two processes, over datagrams that may be lost, delayed or
//! duplicated.
//!
//! Each process draws a random number for each channel. A datagram carries both numbers, and is accepted only
//! if both are current. An unknown number is accepted only in the answer to a pending challenge, so that no
//! datagram of an earlier process is accepted later. Segments are numbered, acknowledged cumulatively and
//! selectively (RFC 2018), and retransmitted after a time-out that is derived from measured round trips (RFC
//! 6298) and doubles with each retry.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::Micros;

/// First byte of a datagram of the takeover channels. It identifies the component that a channel belongs to;
/// no other datagram between senders begins with it.
pub const TAKEOVER: u8 = 0xb3;
/// First byte for the status index.
pub const STATUS: u8 = 0xc5;
/// First byte for starts.
pub const START: u8 = 0xd1;
/// First byte for estimates.
pub const ESTIMATE: u8 = 0xe3;
const VERSION: u8 = 1;
const HEADER_LEN: usize = 38;
/// Maximum length of a datagram, in bytes.
const MAX_DATAGRAM_LEN: usize = 256;
/// Maximum length of a segment, in bytes.
pub const SEGMENT: usize = MAX_DATAGRAM_LEN - HEADER_LEN;
/// Maximum number of segments in flight.
const WINDOW: usize = 64;
/// Maximum number of segments sent at once, so that a burst does not overflow queues on the path.
const BURST: usize = 16;
/// Minimum time between two bursts.
const BURST_INTERVAL: Micros = 2_000;
/// Maximum number of bytes queued; a message beyond it breaks the channel.
pub const MAX_QUEUED_BYTES: usize = 1 << 20;
/// Maximum length of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 80 * 1024;
/// Minimum and maximum of the first retransmission time-out.
const RETRANSMIT_RANGE: (Micros, Micros) = (40_000, 500_000);
/// Assumed round-trip time before the first measurement.
const INITIAL_ROUND_TRIP: Micros = 60_000;

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
    attempts: u32,
    acknowledged: bool,
}

/// The result of receiving a datagram.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReceivedDatagram {
    /// Complete messages, in order.
    pub messages: Vec<Vec<u8>>,
    /// The peer restarted: everything in flight is lost.
    pub peer_restarted: bool,
    /// The datagram is from the peer's current process.
    pub heard: bool,
    /// The datagram does not belong to this channel, or to its current processes.
    pub dropped: bool,
}

/// One side of a channel.
#[derive(Debug)]
pub struct Channel {
    magic: u8,
    tier: u32,
    own: u64,
    peer: Option<u64>,
    /// The unverified peer number, the challenge, and when it was last sent.
    challenge: Option<(u64, u32, Micros)>,
    /// The peer number whose hello is to be answered, and its challenge.
    pending_welcome: Option<(u64, u32)>,
    queue: VecDeque<u8>,
    window: VecDeque<Segment>,
    next: u32,
    received_upto: u32,
    out_of_order: BTreeMap<u32, Vec<u8>>,
    partial: Vec<u8>,
    ack_due: bool,
    round_trip: Micros,
    last_burst: Micros,
    sent: Micros,
}

impl Channel {
    /// A channel of the process that drew the number `own`, in the tier with the checksum `tier`; `magic` is
    /// one of [`TAKEOVER`], [`STATUS`], [`START`] and [`ESTIMATE`].
    pub fn new(magic: u8, own: u64, tier: u32) -> Self {
        Self {
            magic,
            tier,
            own,
            peer: None,
            challenge: None,
            pending_welcome: None,
            queue: VecDeque::new(),
            window: VecDeque::new(),
            next: 1,
            received_upto: 0,
            out_of_order: BTreeMap::new(),
            partial: Vec::new(),
            ack_due: false,
            round_trip: INITIAL_ROUND_TRIP,
            last_burst: 0,
            sent: 0,
        }
    }

    /// Whether the channel is established: the peer's current number is verified.
    pub fn is_up(&self) -> bool {
        self.peer.is_some()
    }

    /// When a data datagram was last sent.
    pub fn last_sent(&self) -> Micros {
        self.sent
    }

    /// Number of queued bytes that were not sent yet.
    pub fn queued_bytes(&self) -> usize {
        self.queue.len()
    }

    /// Whether anything is queued or not acknowledged.
    pub fn busy(&self) -> bool {
        !self.queue.is_empty() || !self.window.is_empty()
    }

    /// Starts the handshake, if the channel is not established.
    pub fn greet(&mut self, challenge: u32) {
        if self.peer.is_none() && self.challenge.is_none() {
            self.challenge = Some((0, challenge, 0));
        }
    }

    /// Sends a keep-alive at the next flush, if nothing else is sent.
    pub fn ping(&mut self) {
        self.ack_due = true;
    }

    /// Queues a message. Returns false if it exceeds the channel's limits: the channel must then be
    /// discarded.
    #[must_use]
    pub fn send(&mut self, message: &[u8]) -> bool {
        if message.len() > MAX_MESSAGE_BYTES || self.queue.len() + message.len() + 4 > MAX_QUEUED_BYTES {
            return false;
        }
        self.queue.extend((message.len() as u32).to_le_bytes());
        self.queue.extend(message);
        true
    }

    /// Handles a datagram. `challenge` is a fresh random number.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], challenge: u32) -> ReceivedDatagram {
        let dropped = ReceivedDatagram { dropped: true, ..ReceivedDatagram::default() };
        let Some((kind, from, to, [seq, ack, sack])) = self.decode(bytes) else { return dropped };
        match kind {
            Kind::Hello => {
                self.pending_welcome = Some((from, seq));
                self.challenge_number(from, challenge);
                ReceivedDatagram::default()
            }
            Kind::Welcome => {
                let meant = self.challenge.is_some_and(|(_, expected, sent)| expected == seq && sent > 0);
                if !meant || to != self.own {
                    return dropped;
                }
                self.challenge = None;
                let peer_restarted = self.peer.is_some_and(|peer| peer != from);
                if peer_restarted {
                    // Everything sent so far went to a process that has ended.
                    *self = Self {
                        pending_welcome: self.pending_welcome,
                        sent: self.sent,
                        ..Self::new(self.magic, self.own, self.tier)
                    };
                }
                self.peer = Some(from);
                self.ack_due = true;
                ReceivedDatagram { peer_restarted, heard: true, ..ReceivedDatagram::default() }
            }
            Kind::Data if self.peer != Some(from) => {
                self.challenge_number(from, challenge);
                dropped
            }
            Kind::Data if to != self.own => dropped,
            Kind::Data => {
                self.process_acks(now, ack, sack);
                let mut received = ReceivedDatagram { heard: true, ..ReceivedDatagram::default() };
                if seq > 0 {
                    self.ack_due = true;
                    let ahead = seq > self.received_upto && seq - self.received_upto <= WINDOW as u32;
                    if ahead {
                        self.out_of_order.entry(seq).or_insert_with(|| bytes[HEADER_LEN..].to_vec());
                    }
                    while let Some(segment) = self.out_of_order.remove(&(self.received_upto + 1)) {
                        self.received_upto += 1;
                        self.partial.extend(segment);
                    }
                    self.take_messages(&mut received.messages);
                }
                received
            }
        }
    }

    /// Challenges the user of an unknown number to prove that it is running now.
    fn challenge_number(&mut self, number: u64, challenge: u32) {
        let known = self.peer == Some(number);
        if !known && self.challenge.is_none_or(|(expected, ..)| expected != number) {
            self.challenge = Some((number, challenge, 0));
        }
    }

    fn take_messages(&mut self, messages: &mut Vec<Vec<u8>>) {
        let mut at = 0;
        while let Some(length) = self.partial.get(at..at + 4).and_then(|l| l.try_into().ok()) {
            let length = u32::from_le_bytes(length) as usize;
            if length > MAX_MESSAGE_BYTES {
                // No correct process sends such a length: the channel is reset.
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

    fn process_acks(&mut self, now: Micros, ack: u32, sack: u32) {
        for segment in &mut self.window {
            let ahead = segment.seq.wrapping_sub(ack.wrapping_add(2));
            let acked = segment.seq <= ack || ahead < 32 && sack & 1 << ahead != 0;
            if acked && !segment.acknowledged {
                segment.acknowledged = true;
                if let (Some(sent), 1) = (segment.sent, segment.attempts) {
                    let round_trip = now.saturating_sub(sent);
                    self.round_trip = (self.round_trip * 7 + round_trip) / 8;
                }
            }
        }
        while self.window.front().is_some_and(|segment| segment.acknowledged) {
            self.window.pop_front();
        }
    }

    fn retransmit_after(&self, attempts: u32) -> Micros {
        let first = (self.round_trip * 2 + 20_000).clamp(RETRANSMIT_RANGE.0, RETRANSMIT_RANGE.1);
        (first << attempts.saturating_sub(1).min(3)).min(RETRANSMIT_RANGE.1 * 2)
    }

    /// Sends what is due: handshake answers, a challenge, new and lost segments, acknowledgements.
    pub fn flush(&mut self, now: Micros, out: &mut impl FnMut(Vec<u8>)) {
        if let Some((to, seq)) = self.pending_welcome.take() {
            out(self.encode(Kind::Welcome, to, [seq, 0, 0], &[]));
        }
        if let Some((to, seq, sent)) = self.challenge
            && now >= sent + 2 * INITIAL_ROUND_TRIP
        {
            self.challenge = Some((to, seq, now));
            out(self.encode(Kind::Hello, to, [seq, 0, 0], &[]));
        }
        let Some(peer) = self.peer else { return };
        let burst = if now >= self.last_burst + BURST_INTERVAL { BURST } else { 0 };
        for _ in 0..burst {
            if self.window.len() == WINDOW || self.queue.is_empty() {
                break;
            }
            let size = self.queue.len().min(SEGMENT);
            let bytes = self.queue.drain(..size).collect();
            self.window.push_back(Segment {
                seq: self.next,
                bytes,
                sent: None,
                attempts: 0,
                acknowledged: false,
            });
            self.next += 1;
        }
        let seen = self.window.iter().rposition(|segment| segment.acknowledged).unwrap_or(0);
        let due: Vec<usize> = (0..self.window.len()).filter(|at| self.is_due(*at, seen, now)).collect();
        let mut sent_any = false;
        for at in due.into_iter().take(burst) {
            let head = [self.window[at].seq, self.received_upto, self.selective_ack()];
            out(self.encode(Kind::Data, peer, head, &self.window[at].bytes));
            let segment = &mut self.window[at];
            (segment.sent, segment.attempts) = (Some(now), segment.attempts + 1);
            sent_any = true;
        }
        if sent_any {
            self.last_burst = now;
        }
        if std::mem::take(&mut self.ack_due) && !sent_any {
            out(self.encode(Kind::Data, peer, [0, self.received_upto, self.selective_ack()], &[]));
            sent_any = true;
        }
        if sent_any {
            self.sent = now;
        }
    }

    fn is_due(&self, at: usize, seen: usize, now: Micros) -> bool {
        let segment = &self.window[at];
        let Some(sent) = segment.sent.filter(|_| !segment.acknowledged) else { return !segment.acknowledged };
        let overtaken = at < seen && now >= sent + self.round_trip + self.round_trip / 4 + 5_000;
        overtaken || now >= sent + self.retransmit_after(segment.attempts)
    }

    /// When the next flush is due.
    pub fn due(&self) -> Option<Micros> {
        let challenge = self.challenge.map(|(_, _, sent)| sent + 2 * INITIAL_ROUND_TRIP);
        let next_burst = self.last_burst + BURST_INTERVAL;
        let fresh = (!self.queue.is_empty() && self.window.len() < WINDOW).then_some(next_burst);
        let again = self.window.iter().filter(|segment| !segment.acknowledged).map(|segment| {
            let sent = segment.sent.map_or(0, |sent| sent + self.retransmit_after(segment.attempts));
            sent.max(next_burst)
        });
        let up = fresh.into_iter().chain(again).min().filter(|_| self.peer.is_some());
        let ack_due = (self.ack_due && self.peer.is_some() || self.pending_welcome.is_some()).then_some(0);
        challenge.into_iter().chain(up).chain(ack_due).min()
    }

    /// Selective acknowledgement: bitmap of the segments received beyond the next missing one.
    fn selective_ack(&self) -> u32 {
        let bit = |seq: &u32| seq.wrapping_sub(self.received_upto + 2);
        self.out_of_order.keys().map(bit).filter(|bit| *bit < 32).fold(0, |bits, bit| bits | 1 << bit)
    }

    fn encode(&self, kind: Kind, to: u64, numbers: [u32; 3], body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_LEN + body.len());
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

    /// Decodes a datagram: kind; the writer's and the reader's number; segment, cumulative and selective
    /// acknowledgement.
    fn decode(&self, bytes: &[u8]) -> Option<(Kind, u64, u64, [u32; 3])> {
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
        Some(read).filter(|_| sound && bytes.len() <= MAX_DATAGRAM_LEN)
    }
}

#[cfg(test)]
mod tests;
