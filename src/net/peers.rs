//! Datagrams between senders. They may be lost.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;

use super::Inbound;
use super::config::Config;

/// Maximum size of a datagram; longer ones are neither sent nor received. Bytes.
const MAX_DATAGRAM: usize = 256;

/// Pause after an error of the socket.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// The socket for datagrams to and from the other senders.
pub struct Peers {
    socket: Rc<UdpSocket>,
    peers: Rc<RefCell<Vec<SocketAddr>>>,
    unknown_senders: Rc<Cell<u64>>,
    broadcast: Option<SocketAddr>,
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
        let unknown_senders = Rc::new(Cell::new(0));
        let (from_peers, addresses, unknown) = (socket.clone(), peers.clone(), unknown_senders.clone());
        let receiving = tokio::task::spawn_local(async move {
            let mut datagram = [0; MAX_DATAGRAM + 1];
            loop {
                let (size, from) = match from_peers.recv_from(&mut datagram).await {
                    Ok(received) => received,
                    // It reports an earlier datagram that could not be delivered.
                    Err(why) if why.kind() == io::ErrorKind::ConnectionRefused => {
                        tokio::task::yield_now().await;
                        continue;
                    }
                    // Out of buffers, for example. The pause keeps the loop from spinning.
                    Err(_) => {
                        tokio::time::sleep(RETRY_PAUSE).await;
                        continue;
                    }
                };
                let rank = addresses.borrow().iter().position(|peer| *peer == from);
                let Some(rank) = rank.and_then(|rank| u16::try_from(rank).ok()) else {
                    unknown.set(unknown.get() + 1);
                    continue;
                };
                if size > MAX_DATAGRAM {
                    continue;
                }
                let event = Inbound::Datagram(rank, datagram[..size].to_vec());
                if inbound.send(event).is_err() {
                    return;
                }
            }
        });
        Ok(Some(Self { socket, peers, unknown_senders, broadcast: config.peers_all, receiving }))
    }

    /// Replaces the addresses of the senders of the tier.
    pub fn set_addresses(&self, peers: &[SocketAddr]) {
        *self.peers.borrow_mut() = peers.to_vec();
    }

    /// Number of datagrams dropped because their source is not a sender of the tier.
    pub fn unknown_senders(&self) -> u64 {
        self.unknown_senders.get()
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
            None => self.broadcast,
        };
        if let (Some(address), true) = (address, content.len() <= MAX_DATAGRAM) {
            let _ = self.socket.try_send_to(content, address);
        }
    }
}
