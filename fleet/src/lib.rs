//! The fleet bench: several real processes of the sender on loopback, a world round them, faults between
//! them, and a history from which a checker proves what was lost.
//!
//! The rooms do not know each other's inside. [`world`] plays what a sender meets, over [`links`] that can
//! be cut; [`nemesis`] turns the faults of a [`scenario`] into conditions of both; all that outsiders see
//! goes into the history of the [`ledger`], which is judged afterwards and alone; [`report`] shows it.
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

/// Time in microseconds since the run began, on the monotonic clock: a wall clock that steps moves nothing.
pub type Micros = u64;

/// Seconds as microseconds; what is below zero or not a number is zero.
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}
