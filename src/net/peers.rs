//! Datagrams between senders. They may be lost.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;

use super::Inbound;
use super::config::Config;

/// Maximum size of a datagram; longer ones are neither sent nor received. Bytes.
const NOTE_LIMIT: usize = 256;

/// The socket for datagrams to and from the other senders.
pub struct Peers {
    socket: Rc<UdpSocket>,
    peers: Rc<RefCell<Vec<SocketAddr>>>,
    strangers: Rc<Cell<u64>>,
    all: Option<SocketAddr>,
    receiving: JoinHandle<()>,
}

impl Peers {
    /// Opens the socket and starts receiving, if the configuration has a `peer_listen` address.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub async fn open(config: &Config, inbound: UnboundedSender<Inbound>) -> io::Result<Option<Self>> {
        let Some(listen) = config.peer_listen else { return Ok(None) };
        let socket = Rc::new(UdpSocket::bind(listen).await?);
        let peers = Rc::new(RefCell::new(config.peers.clone()));
        let strangers = Rc::new(Cell::new(0));
        let (from_peers, known, others) = (socket.clone(), peers.clone(), strangers.clone());
        let receiving = tokio::task::spawn_local(async move {
            let mut note = [0; NOTE_LIMIT + 1];
            loop {
                // An error here reports an earlier datagram that could not be delivered.
                let Ok((size, from)) = from_peers.recv_from(&mut note).await else {
                    tokio::task::yield_now().await;
                    continue;
                };
                let rank = known.borrow().iter().position(|peer| *peer == from);
                let Some(rank) = rank.and_then(|rank| u16::try_from(rank).ok()) else {
                    others.set(others.get() + 1);
                    continue;
                };
                if size > NOTE_LIMIT {
                    continue;
                }
                let told = Inbound::Datagram(rank, note[..size].to_vec());
                if inbound.send(told).is_err() {
                    return;
                }
            }
        });
        Ok(Some(Self { socket, peers, strangers, all: config.peers_all, receiving }))
    }

    /// Replaces the addresses of the senders of the tier.
    pub fn set_addresses(&self, peers: &[SocketAddr]) {
        *self.peers.borrow_mut() = peers.to_vec();
    }

    /// Number of datagrams dropped because their source is not a sender of the tier.
    pub fn unknown_senders(&self) -> u64 {
        self.strangers.get()
    }

    /// Stops receiving and releases the address.
    pub async fn close(self) {
        self.receiving.abort();
        let _ = self.receiving.await;
    }

    /// Sends a datagram to one sender, or to all; it may be lost.
    pub fn send(&self, to: Option<u16>, content: &[u8]) {
        let address = match to {
            Some(rank) => self.peers.borrow().get(usize::from(rank)).copied(),
            None => self.all,
        };
        if let (Some(address), true) = (address, content.len() <= NOTE_LIMIT) {
            let _ = self.socket.try_send_to(content, address);
        }
    }
}
