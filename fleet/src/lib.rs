//! The fleet bench: runs several real processes of the sender on loopback in a simulated environment, injects
//! faults, and records a history in which a checker finds lost messages and other violations.
//!
//! The modules don't depend on each other's internals. [`world`] simulates the environment of the senders,
//! over [`links`] that can fail; [`nemesis`] turns the faults of a [`scenario`] into conditions of both;
//! everything visible from outside goes into the history of the [`ledger`], which is checked afterwards and
//! independently; [`report`] shows the result.
#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod cost;
#[path = "../../src/error_code.rs"]
pub mod error_code;
pub mod experiment;
pub mod explain;
pub mod failures;
pub mod ledger;
pub mod links;
pub mod nemesis;
pub mod report;
pub mod scale;
pub mod scenario;
pub mod sweep;
pub mod world;

/// Time in microseconds since the run began, on the monotonic clock, so that steps of the wall clock have no
/// effect.
pub type Micros = u64;

/// Converts seconds to microseconds; negative values and NaN become zero.
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}
