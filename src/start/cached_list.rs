//! What of a start outlasts the process: the list of endpoints as the list service last told it, and how many processes
//! in a row ended while they started.

use serde::{Deserialize, Serialize};

use crate::coded_error;
use crate::interface::Micros;

/// A longer list is not kept, bytes.
pub const MAX_BYTES: usize = 96 * 1024;
/// Bytes of the folder that lasts: the list, its next one while it is written, and the count of lives.
pub const MAX_FOLDER_BYTES: u64 = 2 * MAX_BYTES as u64 + 4096;
/// The list is written no more often than this.
pub const MIN_WRITE_INTERVAL: Micros = 10_000_000;
/// An older one is not begun from: meanwhile an address may have come to be another endpoint's.
pub const MAX_AGE: Micros = 600_000_000;
/// Lives that slow the asking down at most, each by twice.
pub const MAX_FAILED_STARTS: u32 = 3;

/// A list as this sender was told it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CachedList<T> {
    /// The tier's checksum.
    pub tier: u32,
    /// When it was told, Unix time.
    pub at: Micros,
    /// Its version.
    pub version: u64,
    /// Calls a second that the list service is believed to bear.
    #[serde(rename = "bears")]
    pub capacity: f64,
    /// Its entries.
    pub entries: Vec<T>,
}

/// Why a kept list is not begun from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CachedListError {
    /// The folder was another tier's.
    #[error("it is another tier's; look whether this sender has the folder of another")]
    Foreign,
    /// It is over [`MAX_AGE`], or is from after now.
    #[error("it is over ten minutes old, or from after now; look at the machine's clock")]
    Old,
    /// The configuration has a later one.
    #[error("the configuration has a later one, which is taken")]
    Behind,
}

coded_error! { CachedListError {
    Foreign => "start.kept-foreign", "look whether this sender has the folder of another tier's";
    Old => "start.kept-old", "look at the machine's clock, if the process was not away for so long";
    Behind => "start.kept-behind", "nothing: the configuration's list is taken";
} }

impl<T> CachedList<T> {
    /// Whether a process that starts now, with that version in its configuration, may begin from it.
    ///
    /// # Errors
    /// Says why not; the sender then begins from its configuration.
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
