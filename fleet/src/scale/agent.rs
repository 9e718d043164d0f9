//! An agent for the list of any length: the text is made as it is written, and nothing of it is kept.

use std::fmt::Write as _;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use super::talk::{Asked, Reader};

/// The version that a sender starts with, and the one that the agent has.
pub const VERSIONS: (u64, u64) = (41, 42);
/// Of so many destinations that follow each other one has a single endpoint, the others two: 1.8 on average.
const SINGLE: u64 = 5;
/// Entries of the list that are written at once.
const PIECE: usize = 512;
/// A watch is held so long at most.
const HOLD_MOST: Duration = Duration::from_secs(60);
/// Names of the zones, of a kind of destination that takes one message a call, and of their weights.
pub const ZONES: [&str; 2] = ["operations-bldg", "annex-bldg"];
/// See [`ZONES`].
pub const KINDS: [&str; 2] = ["bank-partner", "local-lender"];
/// Calls a second that a destination takes from all senders together, as the list tells.
const WEIGHT: f64 = 1000.0;

/// Endpoints of so many destinations.
pub fn endpoints(destinations: u64) -> u64 {
    2 * destinations - destinations / SINGLE
}

/// Endpoints of one destination.
pub fn endpoints_of(destination: u64) -> u64 {
    if destination % SINGLE == SINGLE - 1 { 1 } else { 2 }
}

/// How the endpoints behave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// They take each message at once.
    Take,
    /// They never answer.
    Silent,
}

/// The agent, and the one listener that stands for all endpoints.
pub struct Agent {
    destinations: u64,
    manner: Manner,
    /// Where the agent is asked.
    pub address: SocketAddr,
    /// Where all endpoints are dialled.
    pub dialled: SocketAddr,
    /// Calls for the list.
    pub calls: AtomicU64,
    /// Bytes of lists that were written.
    pub bytes: AtomicU64,
    /// Connections to endpoints.
    pub connections: AtomicU64,
    /// Calls of endpoints.
    pub called: AtomicU64,
    last: Mutex<Option<String>>,
}

impl Agent {
    /// Begins to serve at an address, with ports of the system's choice.
    ///
    /// # Errors
    /// Fails when no port is free.
    pub async fn serve(host: IpAddr, destinations: u64, manner: Manner) -> io::Result<Arc<Self>> {
        let asked = TcpListener::bind((host, 0)).await?;
        let dialled = TcpListener::bind((host, 0)).await?;
        let agent = Arc::new(Self {
            destinations,
            manner,
            address: asked.local_addr()?,
            dialled: dialled.local_addr()?,
            calls: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            called: AtomicU64::new(0),
            last: Mutex::new(None),
        });
        let (listing, taking) = (agent.clone(), agent.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = asked.accept().await {
                tokio::spawn(listing.clone().list(stream));
            }
        });
        tokio::spawn(async move {
            while let Ok((stream, _)) = dialled.accept().await {
                taking.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(taking.clone().take(stream));
            }
        });
        Ok(agent)
    }

    /// The list that a sender starts with: its first destination.
    pub fn known(&self) -> serde_json::Value {
        let text = format!(
            "{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}",
            VERSIONS.0,
            entry(0, 0, self.dialled)
        );
        serde_json::from_str(&text).unwrap_or_default()
    }

    /// The id of the last message that an endpoint was called with.
    pub fn last(&self) -> Option<String> {
        self.last.lock().ok()?.clone()
    }

    async fn list(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new();
        while let Some(asked) = reader.request(&mut stream).await {
            let written = match (asked.method.as_str(), asked.path.split('?').next()) {
                ("GET", Some("/v1/endpoints")) => self.answer(&asked, &mut stream).await,
                ("POST", Some("/reports")) => stream.write_all(&head(204, 0)).await,
                _ => stream.write_all(&head(404, 0)).await,
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// The whole list to who has not got it, and an empty change, after its hold, to who has.
    async fn answer(&self, asked: &Asked, stream: &mut TcpStream) -> io::Result<()> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if asked.query("from").is_none_or(|from| from != VERSIONS.1) {
            return self.whole(stream).await;
        }
        let hold = Duration::from_millis(asked.query("hold_ms").unwrap_or(0));
        tokio::time::sleep(hold.min(HOLD_MOST)).await;
        let text = format!("{{\"index\":{},\"snapshot\":false,\"endpoints\":[]}}", VERSIONS.1);
        stream.write_all(&head(200, text.len() as u64)).await?;
        self.wrote(stream, text.as_bytes()).await
    }

    async fn wrote(&self, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        stream.write_all(bytes).await?;
        self.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Ok(())
    }

    async fn whole(&self, stream: &mut TcpStream) -> io::Result<()> {
        let length = self.pieces().map(|piece| piece.len() as u64).sum();
        stream.write_all(&head(200, length)).await?;
        for piece in self.pieces() {
            self.wrote(stream, piece.as_bytes()).await?;
        }
        Ok(())
    }

    /// The list's text, piece by piece.
    fn pieces(&self) -> impl Iterator<Item = String> {
        let (last, at) = (self.destinations - 1, self.dialled);
        let begin = format!("{{\"index\":{},\"snapshot\":true,\"endpoints\":[", VERSIONS.1);
        let pieces = (0..self.destinations).step_by(PIECE).map(move |from| {
            let mut piece = String::with_capacity(PIECE * 400);
            for destination in from..(from + PIECE as u64).min(last + 1) {
                for number in 0..endpoints_of(destination) {
                    let first = destination == 0 && number == 0;
                    let _ =
                        write!(piece, "{}{}", if first { "" } else { "," }, entry(destination, number, at));
                }
            }
            piece
        });
        std::iter::once(begin).chain(pieces).chain(std::iter::once("]}".to_owned()))
    }

    async fn take(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new();
        while let Some(asked) = reader.request(&mut stream).await {
            self.called.fetch_add(1, Ordering::Relaxed);
            if let Ok(mut last) = self.last.lock() {
                *last = asked.id;
            }
            if self.manner == Manner::Take && stream.write_all(&head(200, 0)).await.is_err() {
                return;
            }
        }
    }
}

fn head(status: u16, length: u64) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n").into_bytes()
}

fn entry(destination: u64, number: u64, at: SocketAddr) -> String {
    let zone = ZONES[((destination + number) % 2) as usize];
    format!(
        "{{\"name\":\"s-{destination:06}-{number}\",\"address\":\"{at}\",\"zone\":\"{zone}\",\"type\":\"{}\",\
         \"group\":{destination},\"status\":\"active\",\"weight\":{WEIGHT:.1},\"since_ms\":0}}",
        KINDS[1]
    )
}
