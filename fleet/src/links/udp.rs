//! Relays for datagrams. Each sender has one address, its relay's, by which all others know it: what comes there from
//! another's own address goes on to the sender from the address by which that one is known, as the protocol wants it.
//! One thread holds what is under way, by the time at which it is due: a task for each datagram would cost more than
//! all else where hundreds of senders talk.

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

/// Datagrams under way on all links at most; what comes beyond is lost, and counted.
const UNDER_WAY: usize = 200_000;
/// Larger ones than the protocol has are read up to this.
const READ: usize = 2048;
/// The thread sleeps so long at least, so that it wakes once for many.
const TOGETHER: Micros = 200;
/// With nothing under way, the thread looks this often whether the run is over.
const IDLE: Duration = Duration::from_millis(100);

/// All relays of a run.
pub struct Relays {
    /// By sender: where others send for it.
    ways: Vec<SocketAddr>,
    /// By sender: where it sends for all.
    all: Vec<SocketAddr>,
    conditions: Arc<RwLock<Vec<Vec<Datagrams>>>>,
}

/// A datagram under way; the earliest due, and of these the first that came, goes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Micros,
    number: u64,
    from: usize,
    to: usize,
    bytes: Bytes,
}

struct Shared {
    /// By sender: the socket at the address by which it is known.
    sockets: Vec<Arc<UdpSocket>>,
    senders: Vec<SocketAddr>,
    ranks: HashMap<SocketAddr, usize>,
    usual: Vec<Vec<[f64; 2]>>,
    conditions: Arc<RwLock<Vec<Vec<Datagrams>>>>,
    recorder: Recorder,
    rng: Mutex<ChaCha8Rng>,
    under_way: AtomicUsize,
    sent: AtomicU64,
    bytes: AtomicU64,
    arrived: AtomicU64,
    overflow: AtomicU64,
}

impl Relays {
    /// Opens a relay for each sender, which listen at these addresses; `usual` has the usual delay of each pair, from
    /// and to, in milliseconds.
    ///
    /// # Errors
    /// Fails when an address can't be had.
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
            under_way: AtomicUsize::new(0),
            sent: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            arrived: AtomicU64::new(0),
            overflow: AtomicU64::new(0),
        });
        let (under_way, due) = mpsc::channel();
        for to in 0..n {
            let (shared, under_way, socket) = (shared.clone(), under_way.clone(), shared.sockets[to].clone());
            tokio::spawn(async move { relay(&shared, &socket, None, &[to], &under_way).await });
        }
        for (from, socket) in to_all.into_iter().enumerate() {
            let (shared, under_way) = (shared.clone(), under_way.clone());
            let others: Vec<usize> = (0..n).filter(|to| *to != from).collect();
            tokio::spawn(async move { relay(&shared, &socket, Some(from), &others, &under_way).await });
        }
        let delivering = shared.clone();
        // It ends when the relays do, with the run.
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

    /// The addresses by which a sender knows all senders; its own place holds its own address.
    pub fn peers(&self, sender: usize, own: SocketAddr) -> Vec<SocketAddr> {
        let mut peers = self.ways.clone();
        peers[sender] = own;
        peers
    }

    /// Where a sender reaches all others.
    pub fn peers_all(&self, sender: usize) -> SocketAddr {
        self.all[sender]
    }

    /// How datagrams fare from now on, by sender and receiver.
    pub fn condition(&self, conditions: Vec<Vec<Datagrams>>) {
        if let Ok(mut current) = self.conditions.write() {
            *current = conditions;
        }
    }
}

/// Passes on what comes to one socket, from the sender that it belongs to, or from any.
async fn relay(
    shared: &Shared,
    socket: &UdpSocket,
    owner: Option<usize>,
    to: &[usize],
    under_way: &mpsc::Sender<Due>,
) {
    let mut buffer = vec![0; READ];
    loop {
        // An error here is an earlier datagram's that found nobody.
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
            pass(shared, &bytes, from, *other, under_way);
        }
    }
}

/// Sends a datagram on its way, as the link's condition has it.
fn pass(shared: &Shared, bytes: &Bytes, from: usize, to: usize, under_way: &mpsc::Sender<Due>) {
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
        if shared.under_way.fetch_add(1, Ordering::Relaxed) >= UNDER_WAY {
            shared.under_way.fetch_sub(1, Ordering::Relaxed);
            shared.overflow.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        let _ = under_way.send(Due { at: now + delay, number: 0, from, to, bytes });
    }
}

/// Holds what is under way, and hands each over when it is due, until no relay is left.
fn deliver(shared: &Shared, incoming: &mpsc::Receiver<Due>) {
    let mut waiting: BinaryHeap<Reverse<Due>> = BinaryHeap::new();
    let mut number = 0;
    loop {
        let now = shared.recorder.now();
        while waiting.peek().is_some_and(|next| next.0.at <= now) {
            let Some(Reverse(due)) = waiting.pop() else { break };
            shared.recorder.late(now.saturating_sub(due.at));
            // What the receiver has no room for is lost, as on any network.
            if shared.sockets[due.from].try_send_to(&due.bytes, shared.senders[due.to]).is_ok() {
                shared.arrived.fetch_add(1, Ordering::Relaxed);
            }
            shared.under_way.fetch_sub(1, Ordering::Relaxed);
        }
        let rest = waiting.peek().map_or(IDLE, |next| {
            Duration::from_micros(next.0.at.saturating_sub(shared.recorder.now()).max(TOGETHER))
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
