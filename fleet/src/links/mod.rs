//! What stands between the parties: a relay for datagrams between each two senders, and one for connections
//! from each sender to each endpoint and to discovery. A link has a direction and a condition, which is
//! looked at for each datagram and each piece of a connection.

pub mod tcp;
pub mod udp;

use crate::Micros;

/// How datagrams fare from one sender to another.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Datagrams {
    /// Share that is lost.
    pub drop: f64,
    /// Share that comes twice.
    pub repeat: f64,
    /// Share that is held back, and by how much at most.
    pub reorder: (f64, Micros),
    /// Share that has a byte changed.
    pub spoil: f64,
    /// Share that is cut short.
    pub short: f64,
    /// Added to the usual delay.
    pub delay: Micros,
    /// If not 0, all of this comes and goes in turns of so long.
    pub flap: Micros,
}

/// How connections fare from one sender to one endpoint or to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Connections {
    /// They are reset, and new ones too.
    pub cut: bool,
    /// Nothing passes.
    pub silent: bool,
    /// Added to the usual delay.
    pub delay: Micros,
}
