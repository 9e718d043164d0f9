//! Datagram relays. Each sender is known to all others by the address of its relay: a datagram that arrives
//! there from another sender's own address is forwarded from the address by which that sender is known, as
//! the protocol requires. One thread holds all datagrams in flight, ordered by due time: with hundreds of
//! senders, a task per datagram would cost more than everything else.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock, mpsc};
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;

use super::Datagrams;
use crate::Micros;
use crate::ledger::checker::DATAGRAM_LIMIT;
use crate::ledger::{Recorder, What};

/// Maximum datagrams in flight on all links; those beyond it are dropped and counted.
const MAX_IN_FLIGHT: usize = 200_000;
/// Read buffer; larger than the protocol's limit, so that oversized datagrams are noticed.
const READ_BYTES: usize = 2048;
/// Minimum sleep of the thread, so that one wake-up serves many datagrams.
const MIN_SLEEP: Micros = 200;
/// With nothing in flight, the interval at which the thread checks whether the run is over.
const IDLE_CHECK: Duration = Duration::from_millis(100);

/// All relays of a run.
pub struct Relays {
    /// By sender: where the others send to it.
    ways: Vec<SocketAddr>,
    /// By sender: where it sends to all others.
    all: Vec<SocketAddr>,
    conditions: Arc<RwLock<Vec<Vec<Datagrams>>>>,
}

/// A datagram in flight; ordered by due time, then by arrival.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Micros,
    number: u64,
    from: usize,
    to: usize,
    bytes: Bytes,
}

struct Shared {
    /// By sender: the socket of the address by which it is known.
    sockets: Vec<Arc<UdpSocket>>,
    senders: Vec<SocketAddr>,
    ranks: HashMap<SocketAddr, usize>,
    usual: Vec<Vec<[f64; 2]>>,
    conditions: Arc<RwLock<Vec<Vec<Datagrams>>>>,
    recorder: Recorder,
    rng: Mutex<ChaCha8Rng>,
    in_flight: AtomicUsize,
    sent: AtomicU64,
    bytes: AtomicU64,
    arrived: AtomicU64,
    overflow: AtomicU64,
}

impl Relays {
    /// Opens a relay for each sender; `senders` has their listening addresses, `usual` the usual delay range
    /// of each pair, from and to, in milliseconds.
    ///
    /// # Errors
    /// Fails when an address is not available.
    pub async fn open(
        host: std::net::IpAddr,
        senders: &[SocketAddr],
        usual: Vec<Vec<[f64; 2]>>,
        recorder: Recorder,
        seed: u64,
    ) -> io::Result<Self> {
        let n = senders.len();
        let (mut sockets, mut to_all) = (Vec::with_capacity(n), Vec::with_capacity(n));
        for _ in 0..n {
            sockets.push(Arc::new(UdpSocket::bind((host, 0)).await?));
            to_all.push(UdpSocket::bind((host, 0)).await?);
        }
        let ways = sockets.iter().map(|socket| socket.local_addr()).collect::<io::Result<Vec<_>>>()?;
        let all = to_all.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        let conditions = Arc::new(RwLock::new(vec![vec![Datagrams::default(); n]; n]));
        let shared = Arc::new(Shared {
            sockets,
            senders: senders.to_vec(),
            ranks: senders.iter().enumerate().map(|(rank, address)| (*address, rank)).collect(),
            usual,
            conditions: conditions.clone(),
            recorder,
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            in_flight: AtomicUsize::new(0),
            sent: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            arrived: AtomicU64::new(0),
            overflow: AtomicU64::new(0),
        });
        let (in_flight, due) = mpsc::channel();
        for to in 0..n {
            let (shared, in_flight, socket) = (shared.clone(), in_flight.clone(), shared.sockets[to].clone());
            tokio::spawn(async move { relay(&shared, &socket, None, &[to], &in_flight).await });
        }
        for (from, socket) in to_all.into_iter().enumerate() {
            let (shared, in_flight) = (shared.clone(), in_flight.clone());
            let others: Vec<usize> = (0..n).filter(|to| *to != from).collect();
            tokio::spawn(async move { relay(&shared, &socket, Some(from), &others, &in_flight).await });
        }
        let delivering = shared.clone();
        // The thread ends with the relays, at the end of the run.
        std::thread::Builder::new().name("datagrams".into()).spawn(move || deliver(&delivering, &due))?;
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_secs(1)).await;
                let take = |figure: &AtomicU64| figure.swap(0, Ordering::Relaxed);
                let (sent, bytes) = (take(&shared.sent), take(&shared.bytes));
                let (arrived, overflow) = (take(&shared.arrived), take(&shared.overflow));
                shared.recorder.see(What::Datagrams { sent, bytes, arrived, overflow });
            }
        });
        Ok(Self { ways, all, conditions })
    }

    /// The addresses by which a sender knows all senders; its own entry is its own address.
    pub fn peers(&self, sender: usize, own: SocketAddr) -> Vec<SocketAddr> {
        let mut peers = self.ways.clone();
        peers[sender] = own;
        peers
    }

    /// Where a sender reaches all others.
    pub fn peers_all(&self, sender: usize) -> SocketAddr {
        self.all[sender]
    }

    /// Sets the faults of datagrams from now on, by sender and receiver.
    pub fn condition(&self, conditions: Vec<Vec<Datagrams>>) {
        if let Ok(mut current) = self.conditions.write() {
            *current = conditions;
        }
    }
}

/// Forwards the datagrams that arrive at one socket, from its owner, or from any sender if it has none.
async fn relay(
    shared: &Shared,
    socket: &UdpSocket,
    owner: Option<usize>,
    to: &[usize],
    in_flight: &mpsc::Sender<Due>,
) {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        // An error here reports an earlier datagram that could not be delivered.
        let Ok((size, source)) = socket.recv_from(&mut buffer).await else { continue };
        let Some(from) = shared.ranks.get(&source).copied() else { continue };
        if owner.is_some_and(|owner| owner != from) {
            continue;
        }
        shared.sent.fetch_add(1, Ordering::Relaxed);
        shared.bytes.fetch_add(size as u64, Ordering::Relaxed);
        if size > DATAGRAM_LIMIT {
            shared.recorder.see(What::Oversize { sender: from, bytes: size });
        }
        let bytes = Bytes::copy_from_slice(&buffer[..size]);
        for other in to.iter().filter(|other| **other != from) {
            pass(shared, &bytes, from, *other, in_flight);
        }
    }
}

/// Queues a datagram for delivery, subject to the link's faults.
fn pass(shared: &Shared, bytes: &Bytes, from: usize, to: usize, in_flight: &mpsc::Sender<Due>) {
    let now = shared.recorder.now();
    let condition = shared.conditions.read().map_or_else(|_| Datagrams::default(), |all| all[from][to]);
    let on = condition.flap == 0 || (now / condition.flap).is_multiple_of(2);
    let condition = if on { condition } else { Datagrams::default() };
    let Ok(mut rng) = shared.rng.lock() else { return };
    let times = if rng.random_bool(condition.repeat) { 2 } else { 1 };
    for _ in 0..times {
        if rng.random_bool(condition.drop) {
            continue;
        }
        let [low, high] = shared.usual[from][to];
        let mut delay = (rng.random_range(low..=high) * 1000.0) as Micros + condition.delay;
        if condition.reorder.1 > 0 && rng.random_bool(condition.reorder.0) {
            delay += rng.random_range(0..=condition.reorder.1);
        }
        let mut bytes = bytes.clone();
        if !bytes.is_empty() && rng.random_bool(condition.spoil) {
            let (place, mut copy) = (rng.random_range(0..bytes.len()), bytes.to_vec());
            copy[place] ^= rng.random_range(1..=255u8);
            bytes = copy.into();
        }
        if !bytes.is_empty() && rng.random_bool(condition.short) {
            bytes.truncate(rng.random_range(0..bytes.len()));
        }
        if shared.in_flight.fetch_add(1, Ordering::Relaxed) >= MAX_IN_FLIGHT {
            shared.in_flight.fetch_sub(1, Ordering::Relaxed);
            shared.overflow.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        let _ = in_flight.send(Due { at: now + delay, number: 0, from, to, bytes });
    }
}

/// Holds the datagrams in flight and delivers each when it is due, until no relay is left.
fn deliver(shared: &Shared, incoming: &mpsc::Receiver<Due>) {
    let mut waiting: BinaryHeap<Reverse<Due>> = BinaryHeap::new();
    let mut number = 0;
    loop {
        let now = shared.recorder.now();
        while waiting.peek().is_some_and(|next| next.0.at <= now) {
            let Some(Reverse(due)) = waiting.pop() else { break };
            shared.recorder.late(now.saturating_sub(due.at));
            // A datagram that the receiver's buffer can't hold is lost, as on any network.
            if shared.sockets[due.from].try_send_to(&due.bytes, shared.senders[due.to]).is_ok() {
                shared.arrived.fetch_add(1, Ordering::Relaxed);
            }
            shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        }
        let rest = waiting.peek().map_or(IDLE_CHECK, |next| {
            Duration::from_micros(next.0.at.saturating_sub(shared.recorder.now()).max(MIN_SLEEP))
        });
        let mut next = match incoming.recv_timeout(rest) {
            Ok(due) => Some(due),
            Err(mpsc::RecvTimeoutError::Timeout) => None,
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        };
        while let Some(due) = next {
            number += 1;
            waiting.push(Reverse(Due { number, ..due }));
            next = incoming.try_recv().ok();
        }
    }
}
