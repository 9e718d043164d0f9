//! The fleet bench: several real processes of the sender on loopback, a world round them, faults between
//! them, and a history from which a checker proves what was lost.
#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod ledger;
pub mod links;
pub mod nemesis;
pub mod scenario;
pub mod world;

/// Time in microseconds since the run began, on the monotonic clock: a wall clock that steps moves nothing.
pub type Micros = u64;

/// Seconds as microseconds; what is below zero or not a number is zero.
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}
