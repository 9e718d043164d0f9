//! An agent for the list of any length: the text is made as it is written, and nothing of it is kept.

use std::fmt::Write as _;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use super::ends::Ends;
use super::places::{self, Places};
use super::talk::{Asked, Reader};

/// The version that a sender starts with, and the one that the agent has first.
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
/// Between the destinations of two changes that follow each other: a prime number, so that all are reached.
const CHANGE_STEP: u64 = 7919;

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
    /// Each destination has an address of its own, where they take each message at once and note it, or, at some, refuse.
    Each,
}

/// A version of the list.
#[derive(Debug, Clone, Copy)]
struct Version {
    index: u64,
    /// It is told whole, also to who has the one before.
    whole: bool,
}

/// The agent, and the one listener that stands for all endpoints.
pub struct Agent {
    destinations: u64,
    manner: Manner,
    places: Places,
    version: watch::Sender<Version>,
    /// Keeps the port of endpoints that refuse.
    _refusing: Option<TcpSocket>,
    /// The version that was asked from last.
    known: AtomicU64,
    /// What becomes of messages, where the endpoints note it.
    pub ends: Arc<Ends>,
    /// Where the agent is asked.
    pub address: SocketAddr,
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
        let all: IpAddr = Ipv4Addr::UNSPECIFIED.into();
        let dialled = TcpListener::bind((if manner == Manner::Each { all } else { host }, 0)).await?;
        let refusing = (manner == Manner::Each).then(refusing).transpose()?;
        let places = match &refusing {
            None => Places::One(dialled.local_addr()?),
            Some(refusing) => {
                Places::Each { served: dialled.local_addr()?.port(), refused: refusing.local_addr()?.port() }
            }
        };
        let agent = Arc::new(Self {
            destinations,
            manner,
            places,
            version: watch::Sender::new(Version { index: VERSIONS.1, whole: true }),
            _refusing: refusing,
            known: AtomicU64::new(0),
            ends: Arc::default(),
            address: asked.local_addr()?,
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
            entry(0, 0, self.places.address(0), WEIGHT)
        );
        serde_json::from_str(&text).unwrap_or_default()
    }

    /// The id of the last message that an endpoint was called with.
    pub fn last(&self) -> Option<String> {
        self.last.lock().ok()?.clone()
    }

    /// Has a new version, told whole or as a change of one endpoint; its index.
    pub fn renew(&self, whole: bool) -> u64 {
        self.version.send_modify(|version| *version = Version { index: version.index + 1, whole });
        self.version.borrow().index
    }

    /// The version that the sender asked from last: it has taken that one.
    pub fn known_index(&self) -> u64 {
        self.known.load(Ordering::Relaxed)
    }

    async fn list(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new();
        while let Some(asked) = reader.request(&mut stream).await {
            let written = match (asked.method.as_str(), asked.path.split('?').next()) {
                ("GET", Some("/v1/endpoints")) => self.answer(&asked, &mut stream).await,
                ("POST", Some("/reports")) => stream.write_all(&head(self.reported(&asked), 0)).await,
                _ => stream.write_all(&head(404, 0)).await,
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// Notes ends of messages, where that is wanted; the status.
    fn reported(&self, asked: &Asked) -> u16 {
        if self.manner != Manner::Each || self.ends.noticed(&asked.body) { 204 } else { 400 }
    }

    /// The whole list to who has not got it, and an empty change, after its hold, to who has.
    async fn answer(&self, asked: &Asked, stream: &mut TcpStream) -> io::Result<()> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let from = asked.query("from");
        self.known.store(from.unwrap_or(0), Ordering::Relaxed);
        let hold = Duration::from_millis(asked.query("hold_ms").unwrap_or(0)).min(HOLD_MOST);
        let version = self.watched(from, hold).await;
        let text = match from {
            Some(from) if from == version.index => self.change(version.index, 0),
            Some(from) if from + 1 == version.index && !version.whole => self.change(version.index, 1),
            _ => return self.whole(version.index, stream).await,
        };
        stream.write_all(&head(200, text.len() as u64)).await?;
        self.wrote(stream, text.as_bytes()).await
    }

    /// The version, once it is not the one that is known or the watch was held long enough.
    async fn watched(&self, from: Option<u64>, hold: Duration) -> Version {
        let mut version = self.version.subscribe();
        let other = version.wait_for(|version| from != Some(version.index));
        let _ = tokio::time::timeout(hold, other).await;
        *self.version.borrow()
    }

    /// The change that leads to a version, of so many endpoints: none or one, with another weight.
    fn change(&self, index: u64, endpoints: usize) -> String {
        let destination = index * CHANGE_STEP % self.destinations;
        let changed = entry(destination, 0, self.places.address(destination), WEIGHT + index as f64);
        let endpoints = &[String::new(), changed][endpoints];
        format!("{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{endpoints}]}}")
    }

    async fn wrote(&self, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        stream.write_all(bytes).await?;
        self.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Ok(())
    }

    async fn whole(&self, index: u64, stream: &mut TcpStream) -> io::Result<()> {
        let length = self.pieces(index).map(|piece| piece.len() as u64).sum();
        stream.write_all(&head(200, length)).await?;
        for piece in self.pieces(index) {
            self.wrote(stream, piece.as_bytes()).await?;
        }
        Ok(())
    }

    /// The list's text, piece by piece.
    fn pieces(&self, index: u64) -> impl Iterator<Item = String> {
        let (last, places) = (self.destinations - 1, self.places);
        let begin = format!("{{\"index\":{index},\"snapshot\":true,\"endpoints\":[");
        let pieces = (0..self.destinations).step_by(PIECE).map(move |from| {
            let mut piece = String::with_capacity(PIECE * 400);
            for destination in from..(from + PIECE as u64).min(last + 1) {
                let at = places.address(destination);
                for number in 0..endpoints_of(destination) {
                    let comma = if destination == 0 && number == 0 { "" } else { "," };
                    let _ = write!(piece, "{comma}{}", entry(destination, number, at, WEIGHT));
                }
            }
            piece
        });
        std::iter::once(begin).chain(pieces).chain(std::iter::once("]}".to_owned()))
    }

    async fn take(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let called = stream.local_addr().ok().and_then(|address| places::destination(address.ip()));
        let mut reader = Reader::new();
        while let Some(asked) = reader.request(&mut stream).await {
            self.called.fetch_add(1, Ordering::Relaxed);
            if self.manner == Manner::Each {
                self.ends.delivered(asked.id.as_deref().unwrap_or_default(), called);
            }
            if let Ok(mut last) = self.last.lock() {
                *last = asked.id;
            }
            if self.manner != Manner::Silent && stream.write_all(&head(200, 0)).await.is_err() {
                return;
            }
        }
    }
}

fn head(status: u16, length: u64) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n").into_bytes()
}

/// A port that nobody else gets and that refuses connections, at all addresses.
fn refusing() -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((Ipv4Addr::UNSPECIFIED, 0).into())?;
    Ok(socket)
}

fn entry(destination: u64, number: u64, at: SocketAddr, weight: f64) -> String {
    let zone = ZONES[((destination + number) % 2) as usize];
    format!(
        "{{\"name\":\"s-{destination:06}-{number}\",\"address\":\"{at}\",\"zone\":\"{zone}\",\"type\":\"{}\",\
         \"group\":{destination},\"status\":\"active\",\"weight\":{weight:.1},\"since_ms\":0}}",
        KINDS[1]
    )
}
