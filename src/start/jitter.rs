//! Times at which each of many senders calls one service, so that their total rate stays within its capacity.

use crate::interface::Micros;
use crate::membership::Rank;

/// Share of the service's capacity that a start plans to use. The rest is left for answers to other callers,
/// and for the effect of lost hints.
pub const MARGIN: f64 = 0.75;
/// Maximum jitter window over a whole tier.
pub const MAX_WINDOW: Micros = 60_000_000;
/// A shorter window is treated as none.
const MIN_WINDOW: Micros = 50_000;
/// Maximum number of failures that widen the window. Each doubles it.
pub const MAX_TROUBLE: f64 = 4.0;
/// Time without a failure in which a widening is halved.
pub const TROUBLE_HALF_LIFE: Micros = 10_000_000;
/// Minimum and maximum mean backoff after a failed call, before randomization.
pub const BACKOFF: (Micros, Micros) = (200_000, 60_000_000);
/// The same where the source of the list is an agent on the same machine, which takes any number of calls.
/// What it has counts as received by the sender, so the call must not be delayed for long.
pub const BACKOFF_AT_AGENT: (Micros, Micros) = (25_000, 400_000);

/// A sender's position in the jitter window, from 0 to 1. Any run of consecutive ranks is spread evenly (the
/// Kronecker sequence of the golden ratio, Weyl 1916), so that the busiest second is hardly above the mean.
pub fn place(rank: Rank, tier: u32) -> f64 {
    (f64::from(rank) * 0.618_033_988_749_894_9 + f64::from(tier) / f64::from(u32::MAX)).fract()
}

/// The jitter window for the calls of this many senders to a service of this capacity, in calls per second.
/// It is widened by two to the power of `trouble`, and limited by `max`.
pub fn window(senders: f64, capacity: f64, trouble: f64, max: Micros) -> Micros {
    let seconds = senders / (capacity.max(0.1) * MARGIN) * trouble.clamp(0.0, 3.0 * MAX_TROUBLE).exp2();
    let window = (seconds * 1e6) as Micros;
    if window < MIN_WINDOW { 0 } else { window.min(max) }
}

/// What remains of a widening after the time `since`.
pub fn decayed(trouble: f64, since: Micros) -> f64 {
    (trouble - since as f64 / TROUBLE_HALF_LIFE as f64).max(0.0)
}

/// Backoff after this many consecutive failed calls: the mean is held within the bounds, and the result is
/// between half and one and a half of it. The randomization keeps senders whose calls failed together from
/// retrying together.
pub fn backoff(first: Micros, failed: u32, random: f64, bounds: (Micros, Micros)) -> Micros {
    let mean = (first.clamp(bounds.0, bounds.1) << failed.saturating_sub(1).min(2)).min(bounds.1);
    (mean as f64 * (0.5 + random)) as Micros
}

#[cfg(test)]
mod tests;
