//! State of a start that is stored on disk: the list of endpoints last received from the list service, and
//! the number of consecutive processes that ended during their start.

use serde::{Deserialize, Serialize};

use crate::coded_error;
use crate::interface::Micros;

/// Maximum encoded size of a cached list, bytes. A longer list is not stored.
pub const MAX_BYTES: usize = 96 * 1024;
/// Maximum bytes in the state folder: the list, the new list while it is written, and the count of failed
/// starts.
pub const MAX_FOLDER_BYTES: u64 = 2 * MAX_BYTES as u64 + 4096;
/// Minimum time between two writes of the list.
pub const MIN_WRITE_INTERVAL: Micros = 10_000_000;
/// Maximum age of a usable cached list. Addresses in an older one may have been reassigned to other
/// endpoints.
pub const MAX_AGE: Micros = 600_000_000;
/// Maximum number of failed starts that count. Each doubles the time over which calls to the list service are
/// spread.
pub const MAX_FAILED_STARTS: u32 = 3;

/// A list as this sender received it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CachedList<T> {
    /// The tier's checksum.
    pub tier: u32,
    /// When it was received, Unix time.
    pub at: Micros,
    /// The list's version.
    pub version: u64,
    /// Estimated capacity of the list service, calls per second.
    #[serde(rename = "bears")]
    pub capacity: f64,
    /// The list's entries.
    pub entries: Vec<T>,
}

/// Why a process does not start from a cached list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CachedListError {
    /// The list belongs to another tier.
    #[error("the cached list belongs to another tier; check which state folder this sender uses")]
    Foreign,
    /// The list is older than [`MAX_AGE`], or its time is that far in the future.
    #[error("the cached list is over ten minutes old, or from the future; check the machine's clock")]
    Old,
    /// The configuration has a later version.
    #[error("the configuration has a later version than the cached list and is used instead")]
    Behind,
}

coded_error! { CachedListError {
    Foreign => "start.kept-foreign", "check whether this sender uses a state folder of another tier";
    Old => "start.kept-old", "check the machine's clock, unless the process was down for that long";
    Behind => "start.kept-behind", "nothing: the configuration's list is used";
} }

impl<T> CachedList<T> {
    /// Checks whether a process that starts now, with version `known` in its configuration, may start from
    /// this list.
    ///
    /// # Errors
    /// Returns the reason if it may not; the sender then starts from its configuration.
    pub fn fit(&self, tier: u32, known: u64, now: Micros) -> Result<(), CachedListError> {
        if self.tier != tier {
            Err(CachedListError::Foreign)
        } else if self.at.abs_diff(now) > MAX_AGE {
            Err(CachedListError::Old)
        } else if self.version < known {
            Err(CachedListError::Behind)
        } else {
            Ok(())
        }
    }
}

#[cfg(test)]
mod tests;
