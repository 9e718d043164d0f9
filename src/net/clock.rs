//! The process's clock. Its time is Unix time when the sender first started, and from then on a span of real time,
//! through restarts: deadlines and windows in the journal do not move when the wall clock is stepped.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use myrtleyard::interface::Micros;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// File with an id that changes at each boot of the machine.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
/// A monotonic clock that shows less than this, in microseconds, may have begun with the process: it says nothing
/// about the time since an earlier one.
const MIN_MONOTONIC: Micros = 10_000_000;

/// A moment on the process's clock and on the machine's monotonic clock, which all processes of a boot share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReference {
    time: Micros,
    monotonic: Micros,
    /// The boot that the monotonic clock belongs to.
    boot: String,
}

/// The machine's clocks at one moment.
#[derive(Debug, Clone)]
struct Readings {
    wall: Micros,
    monotonic: Micros,
    boot: String,
}

impl Readings {
    fn now() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let monotonic = clock_gettime(ClockId::Monotonic);
        let seconds = Micros::try_from(monotonic.tv_sec).unwrap_or_default();
        let micros = Micros::try_from(monotonic.tv_nsec / 1000).unwrap_or_default();
        let boot = std::fs::read_to_string(BOOT_ID).unwrap_or_default().trim().to_owned();
        Self { wall: wall.as_micros() as Micros, monotonic: seconds * 1_000_000 + micros, boot }
    }

    /// The time that continues from a reference of the same boot; else the wall clock's.
    fn time_since(&self, reference: Option<&ClockReference>) -> Micros {
        let same_boot = |reference: &&ClockReference| {
            let is_shared = reference.monotonic >= MIN_MONOTONIC;
            is_shared && reference.boot == self.boot && reference.monotonic <= self.monotonic
        };
        let reference = reference.filter(same_boot);
        reference.map_or(self.wall, |reference| reference.time + (self.monotonic - reference.monotonic))
    }
}

/// Unix time in microseconds that is never stepped.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Clock {
    /// A clock that continues from an earlier process's reference, if that belongs to the same boot of the
    /// machine; else it is set to the system time.
    pub fn continuing(reference: Option<&ClockReference>) -> Self {
        let start = Instant::now();
        Self { base: Readings::now().time_since(reference), start }
    }

    /// A reference for later processes.
    pub fn reference(&self) -> ClockReference {
        let Readings { monotonic, boot, .. } = Readings::now();
        ClockReference { time: self.now(), monotonic, boot }
    }

    /// Sets the clock ahead if it is behind `other`, the time of another process's clock.
    pub fn advanced_to(self, other: Micros) -> Self {
        Self { base: self.base + other.saturating_sub(self.now()), ..self }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time for the runtime's timers.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let ahead = std::time::Duration::from_micros(at.saturating_sub(self.base));
        tokio::time::Instant::from_std(self.start.checked_add(ahead).unwrap_or(self.start))
    }
}

#[cfg(test)]
mod tests;
