//! Connection relays: a listener for one sender, in front of an endpoint or of discovery in this process.
//! Bytes are delayed by the link in each direction, and carry the time at which the sender wrote them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};

use super::Connections;
use crate::Micros;
use crate::ledger::Recorder;

/// Maximum pieces in flight per direction of a connection; beyond it the writer waits.
const MAX_PIECES: usize = 64;

/// Received bytes, and when they were written.
#[derive(Debug, Clone)]
pub struct Piece {
    /// The bytes.
    pub bytes: Bytes,
    /// When the sender wrote them.
    pub written: Micros,
}

/// The far end of a connection.
pub struct Conduit {
    incoming: mpsc::Receiver<Piece>,
    outgoing: mpsc::Sender<Outgoing>,
}

enum Outgoing {
    Bytes(Bytes, oneshot::Sender<Arrived>),
    Reset,
}

/// The arrival of bytes at the sender's end.
#[derive(Debug, Clone, Copy)]
pub struct Arrived {
    /// When.
    pub at: Micros,
    /// The sender had not closed the connection by then, so it may have read them.
    pub heard: bool,
}

impl Conduit {
    /// The next bytes; `None` once the sender has closed the connection or the link is cut.
    pub async fn receive(&mut self) -> Option<Piece> {
        self.incoming.recv().await
    }

    /// Writes bytes and waits until they have arrived at the sender; `None` if they never did.
    pub async fn send(&mut self, bytes: impl Into<Bytes>) -> Option<Arrived> {
        let (notify, arrived) = oneshot::channel();
        self.outgoing.send(Outgoing::Bytes(bytes.into(), notify)).await.ok()?;
        arrived.await.ok()
    }

    /// Resets the connection.
    pub async fn reset(self) {
        let _ = self.outgoing.send(Outgoing::Reset).await;
    }
}

/// A relay's listener and its condition.
pub struct Relay {
    /// The address that the sender connects to.
    pub address: SocketAddr,
    condition: watch::Sender<Connections>,
}

impl Relay {
    /// Opens a relay; new connections go to `arrived`.
    ///
    /// # Errors
    /// Fails when no address is available.
    pub async fn open(
        host: std::net::IpAddr,
        usual: [f64; 2],
        recorder: Recorder,
        seed: u64,
        arrived: impl Fn(Conduit) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((host, 0)).await?;
        let address = listener.local_addr()?;
        let (condition, conditions) = watch::channel(Connections::default());
        tokio::spawn(listen(listener, address, usual, conditions, recorder, seed, arrived));
        Ok(Self { address, condition })
    }

    /// Sets the faults of connections from now on.
    pub fn condition(&self, condition: Connections) {
        self.condition.send_if_modified(|current| std::mem::replace(current, condition) != condition);
    }
}

async fn listen(
    first: TcpListener,
    address: SocketAddr,
    usual: [f64; 2],
    mut conditions: watch::Receiver<Connections>,
    recorder: Recorder,
    seed: u64,
    arrived: impl Fn(Conduit) + Send + Sync + 'static,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut listener = Some(first);
    loop {
        let condition = *conditions.borrow_and_update();
        if condition.cut {
            // Without a listener the system refuses connections, as for a dead machine.
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
            if listener.is_none() {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        }
        let accept = async {
            match &listener {
                // While the link is silent, connections stay in the system's accept queue.
                Some(listener) if !condition.silent => listener.accept().await,
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            changed = conditions.changed() => if changed.is_err() { return },
            accepted = accept => {
                let Ok((stream, _)) = accepted else { continue };
                let delay = (rng.random_range(usual[0]..=usual[1]) * 1000.0) as Micros;
                arrived(connect(stream, delay, conditions.clone(), recorder.clone()));
            }
        }
    }
}

fn connect(
    stream: TcpStream,
    delay: Micros,
    conditions: watch::Receiver<Connections>,
    recorder: Recorder,
) -> Conduit {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let (came, incoming) = mpsc::channel(MAX_PIECES);
    let (under_way, due) = mpsc::channel(MAX_PIECES);
    let (outgoing, going) = mpsc::channel(MAX_PIECES);
    let closed = Arc::new(AtomicBool::new(false));
    tokio::spawn(inward(read, delay, conditions.clone(), recorder.clone(), under_way, closed.clone()));
    tokio::spawn(deliver(due, came, conditions.clone(), recorder.clone()));
    tokio::spawn(outward(write, going, delay, conditions, recorder, closed));
    Conduit { incoming, outgoing }
}

/// Waits while the link is silent; returns false if the connection is cut.
async fn passes(conditions: &mut watch::Receiver<Connections>) -> bool {
    loop {
        let condition = *conditions.borrow_and_update();
        if condition.cut {
            return false;
        }
        if !condition.silent {
            return true;
        }
        if conditions.changed().await.is_err() {
            return false;
        }
    }
}

async fn inward(
    mut read: OwnedReadHalf,
    delay: Micros,
    mut conditions: watch::Receiver<Connections>,
    recorder: Recorder,
    under_way: mpsc::Sender<(Micros, Piece)>,
    closed: Arc<AtomicBool>,
) {
    let mut buffer = vec![0; 16 * 1024];
    let mut last = 0;
    loop {
        let size = tokio::select! {
            read = read.read(&mut buffer) => read.unwrap_or(0),
            changed = conditions.changed() => {
                if changed.is_err() || conditions.borrow_and_update().cut {
                    return;
                }
                continue;
            }
            // The far end is gone: the connection closes once both halves are dropped.
            () = under_way.closed() => return,
        };
        if size == 0 {
            closed.store(true, Ordering::Relaxed);
            return;
        }
        let written = recorder.now();
        // Bytes of a connection don't overtake each other.
        last = last.max(written + delay + conditions.borrow().delay);
        let piece = Piece { bytes: Bytes::copy_from_slice(&buffer[..size]), written };
        if under_way.send((last, piece)).await.is_err() {
            return;
        }
    }
}

async fn deliver(
    mut due: mpsc::Receiver<(Micros, Piece)>,
    came: mpsc::Sender<Piece>,
    mut conditions: watch::Receiver<Connections>,
    recorder: Recorder,
) {
    loop {
        let next = tokio::select! {
            next = due.recv() => next,
            () = came.closed() => None,
        };
        let Some((at, piece)) = next else { return };
        recorder.until(at).await;
        if !passes(&mut conditions).await || came.send(piece).await.is_err() {
            return;
        }
    }
}

async fn outward(
    mut write: OwnedWriteHalf,
    mut going: mpsc::Receiver<Outgoing>,
    delay: Micros,
    mut conditions: watch::Receiver<Connections>,
    recorder: Recorder,
    closed: Arc<AtomicBool>,
) {
    loop {
        let next = tokio::select! {
            next = going.recv() => next,
            changed = conditions.changed() => {
                if changed.is_err() || conditions.borrow_and_update().cut {
                    return reset(write);
                }
                continue;
            }
        };
        match next {
            // The endpoint closes the connection regularly.
            None => return,
            Some(Outgoing::Reset) => return reset(write),
            Some(Outgoing::Bytes(bytes, notify)) => {
                let added = conditions.borrow().delay;
                recorder.until(recorder.now() + delay + added).await;
                if !passes(&mut conditions).await {
                    return reset(write);
                }
                let heard = !closed.load(Ordering::Relaxed);
                if write.write_all(&bytes).await.is_err() {
                    return;
                }
                let _ = notify.send(Arrived { at: recorder.now(), heard });
            }
        }
    }
}

fn reset(write: OwnedWriteHalf) {
    // Closing with zero linger sends RST instead of FIN; a shutdown before it would send FIN.
    let _ = write.as_ref().set_zero_linger();
    write.forget();
}
