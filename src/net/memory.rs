//! How the configured memory limit is divided, and the budget from which tasks reserve buffers.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The limit of a configuration that names none, bytes.
pub const DEFAULT_LIMIT: u64 = 192_000_000;
/// What a client connection takes at most, apart from a long body: its task, the read buffer with a head of
/// maximum size, the write buffer and a short body. Bytes.
const CLIENT_CONNECTION_BYTES: u64 = 32 * 1024;
/// Unit of a reservation, bytes.
const UNIT: usize = 1024;

/// The shares of the memory limit that depend on what clients send. The rest is for the messages in hand,
/// which `disk_mb` bounds, the connections to endpoints, which `calls_out` bounds, and the process itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryShares {
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Bytes of long request bodies that are being read.
    pub request_bodies: usize,
}

impl MemoryShares {
    /// The shares of a limit in bytes: a half for client connections and an eighth for request bodies.
    pub fn of(limit: u64) -> Self {
        let whole = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        Self {
            client_connections: whole(limit / 2 / CLIENT_CONNECTION_BYTES).max(1),
            request_bodies: whole(limit / 8).max(super::BODY_LIMIT),
        }
    }
}

/// A bounded number of bytes that tasks reserve for their buffers. Waiting tasks are served in order, so that
/// a large reservation is not overtaken forever.
#[derive(Debug)]
pub struct BufferBudget {
    units: Arc<Semaphore>,
    total: usize,
}

/// Reserved bytes, until it is dropped.
#[derive(Debug)]
pub struct Reservation(#[expect(dead_code, reason = "dropping it returns the bytes")] OwnedSemaphorePermit);

impl BufferBudget {
    /// A budget of this many bytes.
    pub fn new(bytes: usize) -> Self {
        let total = (bytes / UNIT).min(Semaphore::MAX_PERMITS);
        Self { units: Arc::new(Semaphore::new(total)), total }
    }

    /// Waits until this many bytes are free, and reserves them; `None` if they are more than the budget.
    pub async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let units = bytes.div_ceil(UNIT);
        let units = u32::try_from(units).ok().filter(|_| units <= self.total)?;
        let permit = self.units.clone().acquire_many_owned(units).await.ok()?;
        Some(Reservation(permit))
    }
}

/// Resident memory of this process in bytes, if the system tells it.
pub fn resident() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}

#[cfg(test)]
mod tests;
