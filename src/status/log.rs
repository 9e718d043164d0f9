//! The log that a sender writes: each change gets the next number of the log's generation. Only the current
//! state of each message is stored, so that memory is bounded by the number of messages, not of changes.
//!
//! A number must not be sent to others before its change is in the folder: [`Log::unwritten`] returns what
//! has to be written first. So no number is used twice in a generation: numbers that a killed process had not
//! written were known to no other sender. If this is not certain (a write failed, the folder is corrupt, the
//! machine was restarted, the clock went back), the log starts a new generation, [`Log::renew`].

use serde::{Deserialize, Serialize};

use super::shards::{Key, Table, TableRow, key_of};
use super::{Change, Entry, Generation, LogId, MAX_ID_LEN, Rank, Watermark};
use crate::interface::Micros;

/// Maximum number of ended entries that are expired in one call.
const MAX_EXPIRED_PER_CALL: usize = 64;
/// Size of a frame's length and checksum, bytes.
const FRAME: usize = 8;
/// Version of the format in the folder.
const VERSION: u8 = 1;

/// The header of a segment in the folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    version: u8,
    /// The generation of its changes.
    #[serde(rename = "life")]
    pub generation: Generation,
    /// Identifies the boot of the machine: shows whether it was restarted since.
    pub boot: u64,
    /// The last number assigned when the segment was begun.
    pub last: u64,
    /// The horizon at that time.
    pub known_since: Micros,
}

/// How a segment ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// After a complete change.
    Complete,
    /// Within a change, as a process leaves it that is killed during a write.
    Truncated,
    /// Its content is not what was written.
    Corrupt,
}

fn frame(content: &impl Serialize, into: &mut Vec<u8>) {
    // Encoding these types into memory cannot fail; if it did, the reader would find the frame missing.
    let Ok(bytes) = postcard::to_allocvec(content) else { return };
    into.extend((bytes.len() as u32).to_le_bytes());
    into.extend(crc32fast::hash(&bytes).to_le_bytes());
    into.extend(bytes);
}

/// The next frame and the remaining bytes; the error states how the segment ended.
fn unframe(bytes: &[u8]) -> Result<(&[u8], &[u8]), End> {
    if bytes.is_empty() {
        return Err(End::Complete);
    }
    let (head, rest) = bytes.split_at_checked(FRAME).ok_or(End::Truncated)?;
    let read_u32 =
        |at: usize| head.get(at..at + 4).and_then(|b| b.try_into().ok()).map_or(0, u32::from_le_bytes);
    let (body, rest) = rest.split_at_checked(read_u32(0) as usize).ok_or(End::Truncated)?;
    if crc32fast::hash(body) == read_u32(4) { Ok((body, rest)) } else { Err(End::Corrupt) }
}

/// Reads a segment: its header if valid, its changes, and how it ends.
pub fn read_segment(bytes: &[u8]) -> (Option<Head>, Vec<Change>, End) {
    let mut changes = Vec::new();
    let (first, mut rest) = match unframe(bytes) {
        Ok(read) => read,
        Err(End::Complete) => return (None, changes, End::Truncated),
        Err(end) => return (None, changes, end),
    };
    let head = postcard::from_bytes::<Head>(first).ok().filter(|head| head.version == VERSION);
    if head.is_none() {
        return (None, changes, End::Corrupt);
    }
    loop {
        let (body, left) = match unframe(rest) {
            Ok(read) => read,
            Err(end) => return (head, changes, end),
        };
        match postcard::from_bytes(body) {
            Ok(change) => changes.push(change),
            Err(_) => return (head, changes, End::Corrupt),
        }
        rest = left;
    }
}

/// What was restored from the folder.
#[derive(Debug, Default)]
pub struct Restored {
    /// The generation, if it may be continued.
    pub life: Option<Generation>,
    /// Changes, in no particular order.
    pub changes: Vec<Change>,
    /// The last number assigned.
    pub last: u64,
    /// Messages accepted before this time may have been dropped.
    pub known_since: Micros,
}

/// Restores a log from its segments, oldest first; each comes with its number, which is that of its file. The
/// generation is continued only if it is certain that no number of it was sent to others whose change is
/// missing here.
pub fn restore(segments: &[(u64, Vec<u8>)], boot: u64, now: Micros) -> Restored {
    let mut restored = Restored::default();
    let (mut generation, mut certain) = (None, true);
    for (n, (at, bytes)) in segments.iter().enumerate() {
        let newest = n + 1 == segments.len();
        certain &= n == 0 || segments[n - 1].0 + 1 == *at;
        let (head, changes, end) = read_segment(bytes);
        // Only the newest segment may end within a change: nothing after it was sent to others.
        certain &= end == End::Complete || newest && end == End::Truncated;
        let Some(head) = head else {
            // The newest segment may have been begun without a complete header; then nothing was sent to
            // others that is in no other segment.
            certain &= newest && end == End::Truncated;
            continue;
        };
        certain &= head.boot == boot && generation.is_none_or(|known| known == head.generation);
        generation = Some(head.generation);
        restored.last = restored.last.max(head.last);
        restored.known_since = restored.known_since.max(head.known_since);
        restored.changes.extend(changes);
    }
    let changes = &restored.changes;
    restored.last = changes.iter().map(|change| change.number).fold(restored.last, u64::max);
    // After the clock went back, answers would look more recent than they are.
    certain &= changes.iter().all(|change| change.entry.changed_at <= now);
    restored.life = generation.filter(|_| certain);
    if restored.life.is_none() {
        restored.known_since = now;
    }
    restored
}

/// A sender's own log.
#[derive(Debug)]
pub struct Log {
    id: LogId,
    table: Table,
    last: u64,
    max_bytes: usize,
    retention: Micros,
    unwritten: Unwritten,
}

/// Changes that are not in the folder yet.
#[derive(Debug, Default)]
pub struct Unwritten {
    /// Their encoding for the folder.
    pub bytes: Vec<u8>,
    /// Their numbers.
    pub numbers: Vec<u64>,
}

impl Log {
    /// A log of a new generation. `max_bytes` bounds its memory, bytes; `retention` is the retention time of
    /// ended entries, microseconds.
    pub fn new(
        owner: Rank,
        generation: Generation,
        max_bytes: usize,
        retention: Micros,
        known_since: Micros,
    ) -> Self {
        let mut table = Table::default();
        table.raise_horizon(known_since);
        Self {
            id: LogId { owner, generation },
            table,
            last: 0,
            max_bytes,
            retention,
            unwritten: Unwritten::default(),
        }
    }

    /// Resumes from what was restored. If the generation cannot be continued, `fresh` becomes the new one, in
    /// which all entries count as changed and have to be written.
    pub fn resume(
        owner: Rank,
        restored: Restored,
        fresh: Generation,
        max_bytes: usize,
        retention: Micros,
    ) -> Self {
        let Restored { life: generation, mut changes, last, known_since } = restored;
        let mut log = Self::new(owner, generation.unwrap_or(fresh), max_bytes, retention, known_since);
        changes.sort_by_key(|change| change.number);
        for (at, Change { number, entry }) in (1..).zip(changes) {
            // If generations are mixed, so are their numbers; states can be joined in any order.
            log.table.put(if generation.is_some() { number } else { at }, entry);
        }
        log.last = last;
        if generation.is_none() {
            log.renew(fresh, known_since);
        }
        log
    }

    /// Starts a new generation with all current entries. Numbers of the previous one are not assigned any
    /// more. Messages accepted before now may have been lost with it.
    pub fn renew(&mut self, generation: Generation, now: Micros) {
        let before = std::mem::take(&mut self.table);
        self.table.raise_horizon(before.known_since().max(now));
        (self.id.generation, self.last) = (generation, 0);
        self.unwritten = Unwritten::default();
        for row in before.after(0) {
            self.write(row.entry.clone());
        }
    }

    /// The identity of the log.
    pub fn id(&self) -> LogId {
        self.id
    }

    /// The number of the last change.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// The entries.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The owner's own watermark.
    pub fn reached(&self, now: Micros) -> Watermark {
        Watermark { upto: self.last, as_of: now }
    }

    /// Appends a change: the message's entry from now on. Returns the previous number of the message and the
    /// new one, or none if the id is too long.
    pub fn put(&mut self, entry: Entry) -> Option<(u64, u64)> {
        let fits = entry.id.len() <= MAX_ID_LEN;
        let written = fits.then(|| self.write(entry));
        if self.table.bytes() > self.max_bytes {
            self.table.evict(self.max_bytes, 0, 0);
        }
        written
    }

    fn write(&mut self, entry: Entry) -> (u64, u64) {
        self.last += 1;
        let key = key_of(&entry.tenant, &entry.id);
        let before = self.table.put(self.last, entry).unwrap_or(0);
        if let Some(TableRow { number, entry }) = self.table.get(&key) {
            frame(&Change { number: *number, entry: entry.clone() }, &mut self.unwritten.bytes);
            self.unwritten.numbers.push(*number);
        }
        (before, self.last)
    }

    /// Changes a message of the log and appends the change; returns none if the log does not contain the
    /// message or nothing changed.
    pub fn change(&mut self, key: &Key, now: Micros, act: impl FnOnce(&mut Entry)) -> Option<(u64, u64)> {
        let row = self.table.get(key)?;
        let mut entry = row.entry.clone();
        act(&mut entry);
        if entry == row.entry {
            return None;
        }
        entry.changed_at = entry.changed_at.max(now);
        self.put(entry)
    }

    /// Expires entries whose retention time is over, a few at a time.
    pub fn expire(&mut self, now: Micros) {
        self.table.evict(self.max_bytes, now.saturating_sub(self.retention), MAX_EXPIRED_PER_CALL);
    }

    /// The encoded header of a segment that begins now.
    pub fn head(&self, boot: u64) -> Vec<u8> {
        let known_since = self.table.known_since();
        let mut bytes = Vec::new();
        frame(
            &Head { version: VERSION, generation: self.id.generation, boot, last: self.last, known_since },
            &mut bytes,
        );
        bytes
    }

    /// Takes the changes that have to be written before their numbers are sent to others.
    pub fn unwritten(&mut self) -> Unwritten {
        std::mem::take(&mut self.unwritten)
    }

    /// Whether changes have to be written.
    pub fn is_unwritten(&self) -> bool {
        !self.unwritten.numbers.is_empty()
    }

    /// The encoded change with this number, unless a later change of its message replaced it.
    pub fn frame_of(&self, number: u64) -> Option<Vec<u8>> {
        let TableRow { number, entry } = self.table.at(number)?;
        let mut bytes = Vec::new();
        frame(&Change { number: *number, entry: entry.clone() }, &mut bytes);
        Some(bytes)
    }

    /// The numbers of all current entries.
    pub fn numbers(&self) -> impl Iterator<Item = u64> {
        self.table.after(0).map(|row| row.number)
    }
}
