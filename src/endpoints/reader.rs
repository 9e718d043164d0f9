//! Reads a list from a stream of JSON text, entry by entry, without holding the text.
//!
//! The text is one object with the members of [`ListBody`], each at most once, in any order; others are passed over.
//! Nothing but white space may stand behind it.

mod counted;
mod gathered;

use std::io::{BufReader, ErrorKind, Read};

use serde::de::DeserializeSeed;
use serde_json::error::Category;

use self::counted::Counted;
use self::gathered::Gathered;
use super::listing::ListBody;
use super::table::Table;
use super::{Bounds, ListError};

/// Lists of up to so many entries are handed on entry by entry; longer snapshots as a table.
pub const ENTRIES: usize = 2048;

/// Entries of a list of changes at most.
pub const CHANGES: usize = 65_536;

/// Bytes of an endpoint's name at most.
pub const NAME_BYTES: usize = 255;

/// Bytes asked of the stream at once.
const PIECE: usize = 64 << 10;

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

/// Reads all of a list. Entries count as endpoints whatever their status is, and also when another one of the same
/// name follows.
///
/// # Errors
/// Fails where the text is not a list, breaks off, or is beyond the bounds, [`CHANGES`] or [`NAME_BYTES`]; nothing of
/// it is to be used then.
pub fn read(source: impl Read, bounds: &Bounds) -> Result<List, ListError> {
    let mut counted = Counted::new(source, bounds.bytes);
    let mut gathered = Gathered::new(bounds.endpoints);
    let pieces = BufReader::with_capacity(PIECE, &mut counted);
    let mut json = serde_json::Deserializer::from_reader(pieces);
    let outcome = gathered.deserialize(&mut json).and_then(|()| json.end());
    drop(json);
    match outcome {
        Ok(()) => gathered.finish(),
        Err(why) => Err(gathered.refused().unwrap_or_else(|| not_read(&why, &counted, bounds))),
    }
}

/// Why the JSON could not be read.
fn not_read<R>(why: &serde_json::Error, counted: &Counted<R>, bounds: &Bounds) -> ListError {
    if counted.beyond() {
        return ListError::Bytes(bounds.bytes);
    }
    let broke_off = why.classify() == Category::Eof || why.io_error_kind() == Some(ErrorKind::UnexpectedEof);
    if broke_off { ListError::Cut(counted.read_so_far()) } else { ListError::Malformed(why.to_string()) }
}

#[cfg(test)]
mod tests;
