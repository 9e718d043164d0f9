//! Channels to many other senders, opened on demand and bounded together, for components that send others
//! more than a datagram holds. [`crate::channel`] is a single channel; takeover, which ties leases to its
//! channels, has its own.
//!
//! Sans I/O. Messages queued for a sender that does not answer are dropped with its channel after
//! [`PEER_TIMEOUT`]; the user of a mesh must be able to send all of them again.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::channel::{Channel, ReceivedDatagram};
use crate::coded_error;
use crate::interface::Micros;
use crate::membership::{Outgoing, Rank};

/// Maximum number of channels; beyond it, the one that was heard or used the longest ago is closed.
pub const MAX_CHANNELS: usize = 64;
/// Maximum number of bytes queued in all channels together.
pub const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Time without an answer after which a channel with queued messages is closed.
pub const PEER_TIMEOUT: Micros = 10_000_000;
/// Time after which an unused channel is closed.
pub const IDLE_TIMEOUT: Micros = 30_000_000;

/// Why a message was not queued. Nothing of it is sent; the caller may send it again later, or not at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The tier has no such sender, or it is this one.
    #[error("sender {0} is not another sender of this tier")]
    UnknownPeer(Rank),
    /// [`MAX_QUEUED_BYTES`] or the channel's own limit is reached.
    #[error("the send queue for sender {0}, or for all senders together, is full")]
    Full(Rank),
}

coded_error! { SendError {
    UnknownPeer => "mesh.nobody", "compare the lists of peers of all senders";
    Full => "mesh.full", "check whether that sender is down or its link too slow";
} }

/// Counters since the start of the process.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that were invalid, or not of the current channel.
    pub dropped: u64,
    /// Channels closed with messages queued: the queue was full, or the sender did not answer.
    pub broken: u64,
}

#[derive(Debug)]
struct Peer {
    channel: Channel,
    last_heard: Micros,
    used: Micros,
    queued: bool,
}

/// The result of receiving a datagram.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Whole messages, in order.
    pub messages: Vec<Vec<u8>>,
    /// The sender restarted, or had closed its channel: messages queued or in flight may be lost.
    pub peer_restarted: bool,
}

/// One sender's channels.
#[derive(Debug)]
pub struct Mesh {
    magic: u8,
    own: Rank,
    size: usize,
    tier: u32,
    rng: fastrand::Rng,
    peers: BTreeMap<Rank, Peer>,
    /// Senders whose channels were closed with messages queued; reported once by
    /// [`Mesh::take_dropped_peers`].
    lost: Vec<Rank>,
    /// Counters for operators.
    pub counts: Counts,
}

impl Mesh {
    /// A mesh without channels. `magic` is one of those in [`crate::channel`]; `tier` distinguishes tiers
    /// that were configured with the same addresses by mistake.
    pub fn new(magic: u8, own: Rank, size: usize, tier: u32, seed: u64) -> Self {
        Self {
            magic,
            own,
            size,
            tier: tier ^ size as u32,
            rng: fastrand::Rng::with_seed(seed),
            peers: BTreeMap::new(),
            lost: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Whether a datagram is for this mesh, by its first byte.
    pub fn accepts(&self, bytes: &[u8]) -> bool {
        bytes.first() == Some(&self.magic)
    }

    /// Whether the channel to that sender is established.
    pub fn is_up(&self, to: Rank) -> bool {
        self.peers.get(&to).is_some_and(|peer| peer.channel.is_up())
    }

    /// When that sender was last heard on its channel, if one is established.
    pub fn heard(&self, from: Rank) -> Option<Micros> {
        self.peers.get(&from).filter(|peer| peer.channel.is_up()).map(|peer| peer.last_heard)
    }

    /// Number of bytes queued in all channels.
    pub fn queued_bytes(&self) -> usize {
        self.peers.values().map(|peer| peer.channel.queued_bytes()).sum()
    }

    fn peer(&mut self, rank: Rank, now: Micros) -> Option<&mut Peer> {
        if rank == self.own || usize::from(rank) >= self.size {
            return None;
        }
        if !self.peers.contains_key(&rank) && self.peers.len() >= MAX_CHANNELS {
            let oldest =
                self.peers.iter().min_by_key(|(_, peer)| peer.last_heard.max(peer.used)).map(|p| *p.0);
            oldest.into_iter().for_each(|oldest| self.forget(oldest));
        }
        let (magic, tier, number) = (self.magic, self.tier, self.rng.u64(1..));
        Some(self.peers.entry(rank).or_insert_with(|| Peer {
            channel: Channel::new(magic, number, tier),
            last_heard: now,
            used: now,
            queued: false,
        }))
    }

    fn forget(&mut self, rank: Rank) {
        if self.peers.remove(&rank).is_some_and(|peer| peer.queued) {
            self.counts.broken += 1;
            self.lost.push(rank);
        }
    }

    /// Queues a message of at most [`crate::channel::MAX_MESSAGE_BYTES`] bytes.
    ///
    /// # Errors
    /// Returns why the message was not queued.
    pub fn send(&mut self, now: Micros, to: Rank, message: &[u8]) -> Result<(), SendError> {
        if self.queued_bytes() + message.len() > MAX_QUEUED_BYTES {
            return Err(SendError::Full(to));
        }
        let challenge = self.rng.u32(1..);
        let peer = self.peer(to, now).ok_or(SendError::UnknownPeer(to))?;
        if !peer.queued {
            // The time-out starts when there is something to answer.
            peer.last_heard = peer.last_heard.max(now);
        }
        peer.channel.greet(challenge);
        if !peer.channel.send(message) {
            self.forget(to);
            return Err(SendError::Full(to));
        }
        (peer.used, peer.queued) = (now, true);
        Ok(())
    }

    /// Handles a datagram of another sender that [`Mesh::accepts`].
    pub fn receive(&mut self, now: Micros, from: Rank, bytes: &[u8]) -> Received {
        let challenge = self.rng.u32(1..);
        let Some(peer) = self.peer(from, now) else {
            self.counts.dropped += 1;
            return Received::default();
        };
        let ReceivedDatagram { messages, peer_restarted, heard, dropped } =
            peer.channel.receive(now, bytes, challenge);
        if heard {
            peer.last_heard = now;
        }
        if !messages.is_empty() {
            peer.used = now;
        }
        self.counts.dropped += u64::from(dropped);
        Received { messages, peer_restarted }
    }

    /// Senders whose channels were closed with messages queued since the last call.
    pub fn take_dropped_peers(&mut self) -> Vec<Rank> {
        std::mem::take(&mut self.lost)
    }

    /// When the next flush is due.
    pub fn due(&self) -> Option<Micros> {
        self.peers.values().filter_map(|peer| peer.channel.due()).min()
    }

    /// Sends what is due, and closes channels that are unused or not answered.
    pub fn flush(&mut self, now: Micros, out: &mut Outgoing) {
        let counts = &mut self.counts;
        for (rank, peer) in &mut self.peers {
            peer.channel.flush(now, &mut |bytes| {
                counts.sent += 1;
                counts.sent_bytes += bytes.len() as u64;
                out.push((*rank, bytes));
            });
            peer.queued = peer.channel.busy();
        }
        let idle = |peer: &Peer| now >= peer.used.max(peer.last_heard) + IDLE_TIMEOUT;
        let silent = |peer: &Peer| peer.queued && now >= peer.last_heard + PEER_TIMEOUT;
        let gone = self.peers.iter().filter(|(_, peer)| idle(peer) || silent(peer)).map(|(rank, _)| *rank);
        for rank in gone.collect::<Vec<_>>() {
            self.forget(rank);
        }
    }
}

#[cfg(test)]
mod tests;
