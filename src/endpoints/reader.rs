//! Reads a list from a stream of JSON text, entry by entry, without holding the text.
//!
//! The text is one object with the members of [`ListBody`], each at most once, in any order; others are passed over.
//! Nothing but white space may stand behind it.

mod counting;
mod visitor;

use std::io::{BufReader, ErrorKind, Read};

use serde::de::DeserializeSeed;
use serde_json::error::Category;

use self::counting::{CountingReader, Progress};
use self::visitor::ListVisitor;
use super::listing::ListBody;
use super::table::Table;
use super::{Bounds, ListError};

/// Lists of up to so many entries are handed on entry by entry; longer snapshots as a table.
pub const ENTRIES: usize = 2048;

/// Entries of a list of changes at most.
pub const CHANGES: usize = 65_536;

/// Bytes of an endpoint's name at most.
pub const NAME_BYTES: usize = 255;

/// Bytes of an entry at most, and of a member that is passed over: no more than this is held of the text, whatever it
/// is. Up to [`PIECE`] bytes more or fewer may count.
pub const STRETCH: u64 = 1 << 20;

/// Characters at most that are told of what is wrong with the JSON.
const TOLD: usize = 200;

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
/// Fails where the text is not a list, breaks off, or is beyond the bounds, [`CHANGES`], [`NAME_BYTES`] or
/// [`STRETCH`]; nothing of it is to be used then.
pub fn read(source: impl Read, bounds: &Bounds) -> Result<List, ListError> {
    let progress = Progress::default();
    let counted = CountingReader { source, progress: &progress, most: bounds.bytes, most_unmarked: STRETCH };
    let mut gathered = ListVisitor::new(bounds.endpoints, &progress);
    let pieces = BufReader::with_capacity(PIECE, counted);
    let mut json = serde_json::Deserializer::from_reader(pieces);
    let outcome = gathered.deserialize(&mut json).and_then(|()| json.end());
    match outcome {
        Ok(()) => gathered.finish(),
        Err(why) => Err(gathered.refused().unwrap_or_else(|| not_read(&why, &progress, bounds))),
    }
}

/// Why the JSON could not be read.
fn not_read(why: &serde_json::Error, progress: &Progress, bounds: &Bounds) -> ListError {
    if progress.read() > bounds.bytes {
        return ListError::Bytes(bounds.bytes);
    }
    if progress.unmarked() > STRETCH {
        return ListError::Malformed(format!("over {STRETCH} bytes came without an entry or a member"));
    }
    let broke_off = why.classify() == Category::Eof || why.io_error_kind() == Some(ErrorKind::UnexpectedEof);
    if broke_off { ListError::Truncated(progress.read()) } else { ListError::Malformed(told(why)) }
}

/// What is wrong with the JSON, and where. The text may be quoted in it, at any length.
fn told(why: &serde_json::Error) -> String {
    let all = why.to_string();
    match all.char_indices().nth(TOLD) {
        Some((end, _)) => format!("{}... at line {} column {}", &all[..end], why.line(), why.column()),
        None => all,
    }
}

#[cfg(test)]
mod tests;
