//! Parses a list from a stream of JSON text, entry by entry, without holding the text.
//!
//! The text is one object with the members of [`ListBody`], each at most once, in any order; other members
//! are ignored. Only white space may follow it.

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

/// Snapshots of up to this many entries are returned as entries; longer ones as a table.
pub const ENTRIES: usize = 2048;

/// Maximum number of entries in a list of changes.
pub const CHANGES: usize = 65_536;

/// Maximum length of an endpoint's name, bytes.
pub const NAME_BYTES: usize = 255;

/// Maximum length of an entry, and of an ignored member, bytes: no more than this is held of the text,
/// whatever it contains. The limit applies with a tolerance of [`READ_BUFFER_LEN`] bytes.
pub const MAX_ENTRY_LEN: u64 = 1 << 20;

/// Maximum number of characters in the description of a JSON error.
const MAX_ERROR_CHARS: usize = 200;

/// Bytes read from the stream at once.
const READ_BUFFER_LEN: usize = 64 << 10;

/// A complete and valid list.
#[derive(Debug)]
pub enum List {
    /// Changes, or a snapshot of up to [`ENTRIES`] entries.
    Entries(ListBody),
    /// A longer snapshot.
    Table {
        /// The list's version.
        index: u64,
        /// The list's entries.
        table: Box<Table>,
    },
}

/// Reads a whole list. Every entry counts as an endpoint, whatever its status, and even if another one of the
/// same name follows.
///
/// # Errors
/// Fails if the text is not a list, is truncated, or exceeds `bounds`, [`CHANGES`], [`NAME_BYTES`] or
/// [`MAX_ENTRY_LEN`]; nothing of it may be used then.
pub fn read(source: impl Read, bounds: &Bounds) -> Result<List, ListError> {
    let progress = Progress::default();
    let counted =
        CountingReader { source, progress: &progress, most: bounds.bytes, most_unmarked: MAX_ENTRY_LEN };
    let mut gathered = ListVisitor::new(bounds.endpoints, &progress);
    let pieces = BufReader::with_capacity(READ_BUFFER_LEN, counted);
    let mut json = serde_json::Deserializer::from_reader(pieces);
    let outcome = gathered.deserialize(&mut json).and_then(|()| json.end());
    match outcome {
        Ok(()) => gathered.finish(),
        Err(why) => Err(gathered.refused().unwrap_or_else(|| read_error(&why, &progress, bounds))),
    }
}

/// The reason why the JSON could not be read.
fn read_error(why: &serde_json::Error, progress: &Progress, bounds: &Bounds) -> ListError {
    if progress.read() > bounds.bytes {
        return ListError::Bytes(bounds.bytes);
    }
    if progress.unmarked() > MAX_ENTRY_LEN {
        return ListError::Malformed(format!("over {MAX_ENTRY_LEN} bytes came without an entry or a member"));
    }
    let broke_off = why.classify() == Category::Eof || why.io_error_kind() == Some(ErrorKind::UnexpectedEof);
    if broke_off {
        ListError::Truncated(progress.read())
    } else {
        ListError::Malformed(describe_json_error(why))
    }
}

/// A bounded description of a JSON error with its position. The error may quote any length of the text.
fn describe_json_error(why: &serde_json::Error) -> String {
    let all = why.to_string();
    match all.char_indices().nth(MAX_ERROR_CHARS) {
        Some((end, _)) => format!("{}... at line {} column {}", &all[..end], why.line(), why.column()),
        None => all,
    }
}

#[cfg(test)]
mod tests;
