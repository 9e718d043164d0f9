//! The log that a sender writes: each change gets the next number of its life. Only present states are kept, so that
//! memory is bounded by messages, not by changes.
//!
//! A number may be told to nobody before the change is in the folder: [`Log::unwritten`] is what has to be written
//! first. So no number is ever used twice in a life: what a killed process had not written, nobody had heard of.
//! Whoever can't be sure of that (a write that failed, a folder that is spoilt, a machine that was started anew, a
//! clock that went back) draws a new life, [`Log::renew`].

use serde::{Deserialize, Serialize};

use super::shards::{Key, Table, TableRow, key_of};
use super::{Change, Entry, Generation, LogId, MAX_ID_LEN, Rank, Watermark};
use crate::interface::Micros;

/// Ended entries that go for their age in one call at most.
const AGED_AT_ONCE: usize = 64;
/// A frame's length and checksum.
const FRAME: usize = 8;
/// Wire and folder form.
const VERSION: u8 = 1;

/// What a segment of the folder begins with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    version: u8,
    /// The life that its changes are of.
    pub life: Generation,
    /// Tells whether the machine was started since.
    pub boot: u64,
    /// The last number given out when it was begun.
    pub last: u64,
    /// The horizon then.
    pub known_since: Micros,
}

/// How a segment ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With a whole change.
    Complete,
    /// Within a change, as a process leaves it that is killed while it writes.
    Truncated,
    /// Something in it is not what was written.
    Corrupt,
}

fn frame(content: &impl Serialize, into: &mut Vec<u8>) {
    // These types can be written into memory always; if not, the reader finds the frame missing.
    let Ok(bytes) = postcard::to_allocvec(content) else { return };
    into.extend((bytes.len() as u32).to_le_bytes());
    into.extend(crc32fast::hash(&bytes).to_le_bytes());
    into.extend(bytes);
}

/// The next frame, and what is left; the error tells how it ended.
fn unframe(bytes: &[u8]) -> Result<(&[u8], &[u8]), End> {
    if bytes.is_empty() {
        return Err(End::Complete);
    }
    let (head, rest) = bytes.split_at_checked(FRAME).ok_or(End::Truncated)?;
    let word = |at: usize| head.get(at..at + 4).and_then(|b| b.try_into().ok()).map_or(0, u32::from_le_bytes);
    let (body, rest) = rest.split_at_checked(word(0) as usize).ok_or(End::Truncated)?;
    if crc32fast::hash(body) == word(4) { Ok((body, rest)) } else { Err(End::Corrupt) }
}

/// Reads a segment: its head, if that is sound, its changes, and how it ends.
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

/// What was read from the folder.
#[derive(Debug, Default)]
pub struct Restored {
    /// The life, where it may go on.
    pub life: Option<Generation>,
    /// Changes, in no order.
    pub changes: Vec<Change>,
    /// The last number given out.
    pub last: u64,
    /// The horizon.
    pub known_since: Micros,
}

/// Makes of segments, oldest first, what can be made of them. `at` numbers them as their files do. A life goes on only
/// if it is sure that no number of it was told that is not there.
pub fn restore(segments: &[(u64, Vec<u8>)], boot: u64, now: Micros) -> Restored {
    let mut restored = Restored::default();
    let (mut life, mut sure) = (None, true);
    for (n, (at, bytes)) in segments.iter().enumerate() {
        let newest = n + 1 == segments.len();
        sure &= n == 0 || segments[n - 1].0 + 1 == *at;
        let (head, changes, end) = read_segment(bytes);
        // Only the newest may end within a change: what came after it was told to nobody.
        sure &= end == End::Complete || newest && end == End::Truncated;
        let Some(head) = head else {
            // The newest may have been begun and no more; nothing was told that is in no other one then.
            sure &= newest && end == End::Truncated;
            continue;
        };
        sure &= head.boot == boot && life.is_none_or(|life| life == head.life);
        life = Some(head.life);
        restored.last = restored.last.max(head.last);
        restored.known_since = restored.known_since.max(head.known_since);
        restored.changes.extend(changes);
    }
    let changes = &restored.changes;
    restored.last = changes.iter().map(|change| change.number).fold(restored.last, u64::max);
    // A clock that went back would have answers look younger than they are.
    sure &= changes.iter().all(|change| change.entry.changed_at <= now);
    restored.life = life.filter(|_| sure);
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
    most: usize,
    keep: Micros,
    unwritten: Unwritten,
}

/// Changes that are not in the folder yet.
#[derive(Debug, Default)]
pub struct Unwritten {
    /// As they are to be written.
    pub bytes: Vec<u8>,
    /// Their numbers.
    pub numbers: Vec<u64>,
}

impl Log {
    /// A log of a new life. `most` bounds its memory, bytes; `keep` how long ended entries stay, microseconds.
    pub fn new(owner: Rank, life: Generation, most: usize, keep: Micros, known_since: Micros) -> Self {
        let mut table = Table::default();
        table.forget_before(known_since);
        Self {
            id: LogId { owner, generation: life },
            table,
            last: 0,
            most,
            keep,
            unwritten: Unwritten::default(),
        }
    }

    /// Goes on with what the folder had. Where the life can't go on, `fresh` is the new one, in which all of it counts
    /// as changed; then all of it has to be written.
    pub fn resume(owner: Rank, restored: Restored, fresh: Generation, most: usize, keep: Micros) -> Self {
        let Restored { life, mut changes, last, known_since } = restored;
        let mut log = Self::new(owner, life.unwrap_or(fresh), most, keep, known_since);
        changes.sort_by_key(|change| change.number);
        for (at, Change { number, entry }) in (1..).zip(changes) {
            // Where lives are mixed, so are their numbers: states join in whatever order.
            log.table.put(if life.is_some() { number } else { at }, entry);
        }
        log.last = last;
        if life.is_none() {
            log.renew(fresh, known_since);
        }
        log
    }

    /// Begins a new life with all that is there. Numbers of the one before are given out no more. What was taken on
    /// before now may have been lost with it.
    pub fn renew(&mut self, life: Generation, now: Micros) {
        let before = std::mem::take(&mut self.table);
        self.table.forget_before(before.known_since().max(now));
        (self.id.generation, self.last) = (life, 0);
        self.unwritten = Unwritten::default();
        for held in before.after(0) {
            self.write(held.entry.clone());
        }
    }

    /// Which log it is.
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

    /// How far the owner itself has it.
    pub fn reached(&self, now: Micros) -> Watermark {
        Watermark { upto: self.last, as_of: now }
    }

    /// Writes a change: the message's entry from now on. Gives the number that the message had, and the new one; none
    /// for an id that is too long.
    pub fn put(&mut self, entry: Entry) -> Option<(u64, u64)> {
        let fits = entry.id.len() <= MAX_ID_LEN;
        let written = fits.then(|| self.write(entry));
        if self.table.bytes() > self.most {
            self.table.bound(self.most, 0, 0);
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

    /// Writes a change of a message that is there, if it is one.
    pub fn change(&mut self, key: &Key, now: Micros, act: impl FnOnce(&mut Entry)) -> Option<(u64, u64)> {
        let held = self.table.get(key)?;
        let mut entry = held.entry.clone();
        act(&mut entry);
        if entry == held.entry {
            return None;
        }
        entry.changed_at = entry.changed_at.max(now);
        self.put(entry)
    }

    /// Leaves out what has been ended for long enough, a few at a time.
    pub fn age(&mut self, now: Micros) {
        self.table.bound(self.most, now.saturating_sub(self.keep), AGED_AT_ONCE);
    }

    /// What a segment that is begun now begins with.
    pub fn head(&self, boot: u64) -> Vec<u8> {
        let known_since = self.table.known_since();
        let mut bytes = Vec::new();
        frame(
            &Head { version: VERSION, life: self.id.generation, boot, last: self.last, known_since },
            &mut bytes,
        );
        bytes
    }

    /// What is to be written down before any number of it is told, and is no more then.
    pub fn unwritten(&mut self) -> Unwritten {
        std::mem::take(&mut self.unwritten)
    }

    /// Whether something is to be written down.
    pub fn is_unwritten(&self) -> bool {
        !self.unwritten.numbers.is_empty()
    }

    /// The change with that number as it is written, if no later one of its message took its place.
    pub fn frame_of(&self, number: u64) -> Option<Vec<u8>> {
        let TableRow { number, entry } = self.table.at(number)?;
        let mut bytes = Vec::new();
        frame(&Change { number: *number, entry: entry.clone() }, &mut bytes);
        Some(bytes)
    }

    /// Numbers of all that is there.
    pub fn numbers(&self) -> impl Iterator<Item = u64> {
        self.table.after(0).map(|held| held.number)
    }
}
