//! When each of many senders asks one service, so that together they ask at a rate that it bears.

use crate::interface::Micros;
use crate::membership::Rank;

/// Part of what the service bears that a start plans to use: answers to others, and hints that are lost, need the rest.
pub const MARGIN: f64 = 0.75;
/// The widest spread over a whole tier.
pub const MAX_SPREAD: Micros = 60_000_000;
/// A narrower one is none.
const MIN_SPREAD: Micros = 50_000;
/// Failures that widen, each by twice, at most.
pub const MAX_TROUBLE: f64 = 4.0;
/// In this time without a failure a widening is halved.
pub const TROUBLE_FADES: Micros = 10_000_000;
/// Rest after a failed call, at least and at most, before it is drawn about that.
pub const BACKOFF: (Micros, Micros) = (200_000, 60_000_000);
/// The same where the list's source is the own machine's agent, which bears any number of calls: what it has counts
/// as told, so that the call must not wait for long.
pub const BACKOFF_AT_AGENT: (Micros, Micros) = (25_000, 400_000);

/// A sender's place in a spread, from 0 to 1: neighbours in the list and any run of them are even in it (the Kronecker
/// sequence of the golden ratio, Weyl 1916), so that the worst second is hardly worse than the mean.
pub fn place(rank: Rank, tier: u32) -> f64 {
    (f64::from(rank) * 0.618_033_988_749_894_9 + f64::from(tier) / f64::from(u32::MAX)).fract()
}

/// How wide the calls of so many senders are spread at a service that bears so many a second, widened by `trouble`
/// (a power of two), within a bound.
pub fn width(senders: f64, capacity: f64, trouble: f64, most: Micros) -> Micros {
    let seconds = senders / (capacity.max(0.1) * MARGIN) * trouble.clamp(0.0, 3.0 * MAX_TROUBLE).exp2();
    let width = (seconds * 1e6) as Micros;
    if width < MIN_SPREAD { 0 } else { width.min(most) }
}

/// What is left of a widening.
pub fn decayed(trouble: f64, since: Micros) -> f64 {
    (trouble - since as f64 / TROUBLE_FADES as f64).max(0.0)
}

/// Rest after so many calls in a row failed, drawn from half to one and a half of the mean (the jitter keeps those that
/// failed together from coming again together), within bounds.
pub fn backoff(first: Micros, failed: u32, luck: f64, bounds: (Micros, Micros)) -> Micros {
    let mean = (first.clamp(bounds.0, bounds.1) << failed.saturating_sub(1).min(2)).min(bounds.1);
    (mean as f64 * (0.5 + luck)) as Micros
}

#[cfg(test)]
mod tests;
