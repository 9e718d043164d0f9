//! Where endpoints are dialled: all at one address, or each destination at its own, some of which refuse connections.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use super::design::DOWN_TENTHS;

/// Second byte of the first destination's address: 127.0.0.0/16 is everybody's, and senders begin at 127.64.
const FIRST: u64 = 1;

/// Addresses of endpoints.
#[derive(Debug, Clone, Copy)]
pub enum Places {
    /// One address for all.
    One(SocketAddr),
    /// A loopback address for each destination.
    Each {
        /// The port where those that are up are dialled.
        served: u16,
        /// The port where those that are down are dialled, which refuses.
        refused: u16,
    },
}

impl Places {
    /// Where a destination's endpoints are dialled.
    pub fn address(self, destination: u64) -> SocketAddr {
        match self {
            Self::One(address) => address,
            Self::Each { served, refused } => {
                let [.., second, third, fourth] = destination.to_be_bytes();
                let host = Ipv4Addr::new(127, FIRST as u8 + second, third, fourth);
                (host, if is_down(destination) { refused } else { served }).into()
            }
        }
    }
}

/// Whether a destination is down: [`DOWN_TENTHS`] of a thousand, evenly spread.
pub fn is_down(destination: u64) -> bool {
    (destination + 1) * DOWN_TENTHS / 1000 != destination * DOWN_TENTHS / 1000
}

/// The destination that has an address of its own.
pub fn destination(address: IpAddr) -> Option<u64> {
    let IpAddr::V4(address) = address else { return None };
    let [_, second, third, fourth] = address.octets().map(u64::from);
    Some(second.checked_sub(FIRST)? << 16 | third << 8 | fourth)
}
