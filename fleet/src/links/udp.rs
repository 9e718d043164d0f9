//! Relays for datagrams. Sender `i` knows sender `j` by an address that is this pair's alone; what it sends
//! there comes to `j` from the address by which `j` knows `i`, as the protocol wants it.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;

use super::Datagrams;
use crate::Micros;
use crate::ledger::checker::DATAGRAM_LIMIT;
use crate::ledger::{Recorder, What};

/// Datagrams under way on all links at most; what comes beyond is lost, and counted.
const UNDER_WAY: usize = 20_000;
/// Larger ones than the protocol has are read up to this.
const READ: usize = 2048;

/// All relays of a run.
pub struct Relays {
    /// By sender and by the other: where the one sends for the other.
    ways: Vec<Vec<SocketAddr>>,
    /// By sender: where it sends for all.
    all: Vec<SocketAddr>,
    conditions: Arc<RwLock<Vec<Vec<Datagrams>>>>,
}

struct Shared {
    sockets: Vec<Vec<Arc<UdpSocket>>>,
    senders: Vec<SocketAddr>,
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
    /// Opens a relay for each ordered pair of senders, which listen at these addresses; `usual` has the usual
    /// delay of each pair, from and to, in milliseconds.
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
        let mut sockets = Vec::with_capacity(n);
        for _ in 0..n {
            let mut row = Vec::with_capacity(n);
            for _ in 0..n {
                row.push(Arc::new(UdpSocket::bind((host, 0)).await?));
            }
            sockets.push(row);
        }
        let mut to_all = Vec::with_capacity(n);
        for _ in 0..n {
            to_all.push(UdpSocket::bind((host, 0)).await?);
        }
        let address = |socket: &UdpSocket| socket.local_addr();
        let ways = sockets.iter().map(|row| row.iter().map(|s| address(s)).collect::<io::Result<Vec<_>>>());
        let ways = ways.collect::<io::Result<Vec<_>>>()?;
        let all = to_all.iter().map(address).collect::<io::Result<Vec<_>>>()?;
        let conditions = Arc::new(RwLock::new(vec![vec![Datagrams::default(); n]; n]));
        let shared = Arc::new(Shared {
            sockets,
            senders: senders.to_vec(),
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
        for from in 0..n {
            for to in (0..n).filter(|to| *to != from) {
                let (shared, socket) = (shared.clone(), shared.sockets[from][to].clone());
                tokio::spawn(async move { relay(&shared, &socket, from, &[to]).await });
            }
        }
        for (from, socket) in to_all.into_iter().enumerate() {
            let shared = shared.clone();
            let others: Vec<usize> = (0..n).filter(|to| *to != from).collect();
            tokio::spawn(async move { relay(&shared, &socket, from, &others).await });
        }
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
        let mut peers = self.ways[sender].clone();
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

async fn relay(shared: &Arc<Shared>, socket: &UdpSocket, from: usize, to: &[usize]) {
    let mut buffer = vec![0; READ];
    loop {
        // An error here is an earlier datagram's that found nobody.
        let Ok((size, source)) = socket.recv_from(&mut buffer).await else { continue };
        if source != shared.senders[from] {
            continue;
        }
        shared.sent.fetch_add(1, Ordering::Relaxed);
        shared.bytes.fetch_add(size as u64, Ordering::Relaxed);
        if size > DATAGRAM_LIMIT {
            shared.recorder.see(What::Oversize { sender: from, bytes: size });
        }
        for other in to {
            pass(shared, &buffer[..size], from, *other);
        }
    }
}

/// Sends a datagram on its way, as the link's condition has it.
fn pass(shared: &Arc<Shared>, bytes: &[u8], from: usize, to: usize) {
    let now = shared.recorder.now();
    let condition = shared.conditions.read().map_or_else(|_| Datagrams::default(), |all| all[from][to]);
    let on = condition.flap == 0 || (now / condition.flap).is_multiple_of(2);
    let condition = if on { condition } else { Datagrams::default() };
    let mut copies = Vec::with_capacity(1);
    if let Ok(mut rng) = shared.rng.lock() {
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
            let mut copy = bytes.to_vec();
            if !copy.is_empty() && rng.random_bool(condition.spoil) {
                let place = rng.random_range(0..copy.len());
                copy[place] ^= rng.random_range(1..=255u8);
            }
            if !copy.is_empty() && rng.random_bool(condition.short) {
                copy.truncate(rng.random_range(0..copy.len()));
            }
            copies.push((now + delay, copy));
        }
    }
    for (at, copy) in copies {
        if shared.under_way.fetch_add(1, Ordering::Relaxed) >= UNDER_WAY {
            shared.under_way.fetch_sub(1, Ordering::Relaxed);
            shared.overflow.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        let shared = shared.clone();
        tokio::spawn(async move {
            shared.recorder.until(at).await;
            // What the receiver has no room for is lost, as on any network.
            if shared.sockets[to][from].send_to(&copy, shared.senders[to]).await.is_ok() {
                shared.arrived.fetch_add(1, Ordering::Relaxed);
            }
            shared.under_way.fetch_sub(1, Ordering::Relaxed);
        });
    }
}
