//! The network between the parties: a datagram relay between each two senders, and a connection relay from
//! each sender to each endpoint and to discovery. A link has a direction and a condition, which is checked
//! for each datagram and each piece of a connection.

pub mod tcp;
pub mod udp;

use crate::Micros;

/// Faults of the datagrams from one sender to another.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Datagrams {
    /// Share that is lost.
    pub drop: f64,
    /// Share that is duplicated.
    pub repeat: f64,
    /// Share that is delayed out of order, and the maximum delay.
    pub reorder: (f64, Micros),
    /// Share with a corrupted byte.
    pub spoil: f64,
    /// Share that is truncated.
    pub short: f64,
    /// Added to the usual delay.
    pub delay: Micros,
    /// If not 0, the faults alternate between on and off at this period.
    pub flap: Micros,
}

/// Faults of the connections from one sender to one endpoint or to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Connections {
    /// Open connections are reset, and new ones refused.
    pub cut: bool,
    /// Nothing passes.
    pub silent: bool,
    /// Added to the usual delay.
    pub delay: Micros,
}
