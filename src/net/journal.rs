//! The journal: a file that survives the process and holds the messages that the sender has accepted. Records
//! are appended once per turn, read back at startup, and compacted when the file has grown. Each record is
//! framed by its length and checksum. The ids of messages that ended recently are kept, too.

mod finished;

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use bytes::Bytes;
use finished::FinishedIds;
pub use finished::{Finish, FinishedList};
use myrtleyard::interface::{Effect, Micros};
use myrtleyard::takeover::ReplicaTag;
pub use myrtleyard::takeover::groups::GivenUp;
use serde::{Deserialize, Serialize};

use super::clock::ClockReference;

/// An update of a message's state. Times are Unix microseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The sender has accepted the message and is responsible for it until it ends.
    #[serde(rename = "Taken")]
    Accepted(u32, AcceptedMessage),
    /// An attempt is about to begin.
    #[serde(rename = "Begun")]
    AttemptBegun {
        /// The message.
        message: u32,
        /// Number of the attempt, from 0.
        attempt: u16,
        /// Name of the endpoint.
        endpoint: String,
        /// Start of the attempt.
        at: Micros,
    },
    /// An attempt ended without ending the message.
    #[serde(rename = "Ended")]
    AttemptEnded {
        /// The message.
        message: u32,
        /// Number of the attempt, from 0.
        attempt: u16,
        /// Whether the call is known not to have run.
        never_ran: bool,
    },
    /// The module gave the message up; the platform has not acknowledged the notice yet.
    GivenUp(u32, GivenUp),
    /// The message has ended and nothing about it is outstanding.
    #[serde(rename = "Over")]
    Closed(u32),
    /// The message's tenant. A record of its own, after the older ones, so that older journals stay readable.
    Owner(u32, String),
    /// The message is replicated: where its backups are, and since when.
    #[serde(rename = "Covered")]
    Replicated(u32, ReplicaTag, Micros),
    /// The effect of repeating the message by the settings in force when it was accepted. A record of its own
    /// and after the older ones, for the same reason as `Owner`.
    Effect(u32, Effect),
    /// The message has ended without a notice, in this way, and nothing about it is outstanding.
    Finished(u32, Finish),
    /// The ids of messages that ended before the journal was compacted.
    FinishedIds(FinishedList),
    /// A moment on the clock that the journal's times are of.
    Clock(ClockReference),
}

/// A message as it was submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    /// The `Req-Id`.
    pub id: String,
    /// The `Idempotency-Key`.
    pub key: Option<String>,
    /// Name of the class.
    pub class: String,
    /// Name of the tenant; see [`Record::Owner`].
    #[serde(skip)]
    pub owner: Option<String>,
    /// Effect of repeating the message by the settings in force when it was accepted, whatever its class says
    /// since; see [`Record::Effect`]. `None` in journals of older versions.
    #[serde(skip)]
    pub effect: Option<Effect>,
    /// The destination.
    pub destination: u32,
    /// When the message expires.
    pub deadline: Micros,
    /// The body.
    pub body: Bytes,
}

/// An attempt, as the journal has it.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// Number of the attempt. Numbers have gaps: an attempt whose record could not be written never began.
    pub number: u16,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Start of the attempt.
    pub at: Micros,
    /// Whether the call is known not to have run.
    pub never_ran: bool,
}

/// An accepted message that has not ended.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingMessage {
    /// The message as it was submitted.
    pub accepted: AcceptedMessage,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
    /// The final outcome, if only the notice is outstanding.
    pub given_up: Option<GivenUp>,
    /// Where its backups are, and since when; `None` if the message is not replicated.
    pub replicated: Option<(ReplicaTag, Micros)>,
}

impl PendingMessage {
    /// The outcome of a message whose class is no longer in the settings, so that the module cannot judge it.
    pub fn outcome_without_class(&self) -> GivenUp {
        let untried = self.replicated.is_none() && self.attempts.iter().all(|attempt| attempt.never_ran);
        if untried { GivenUp::Deferred(0) } else { GivenUp::Undeliverable }
    }
}

/// Maximum size of a message's later records: its attempts, their ends and its own end. Bytes.
const MAX_LATER_RECORDS: u64 = 672;
/// Maximum size of the records of its backups and of the attempts unknown to them, bytes.
const MAX_REPLICATED_RECORDS: u64 = 128;
/// Size of a frame's header: length and checksum, bytes.
const FRAME_HEADER: usize = 8;

/// The journal file and the state read from it.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    length: u64,
    limit: u64,
    pending: BTreeMap<u32, PendingMessage>,
    /// Upper bound of the bytes that the pending messages need in a compacted file.
    reserved: u64,
    /// The file may end in a torn record that could not be truncated.
    torn: bool,
    /// The ids of messages that ended recently.
    finished: FinishedIds,
    /// A moment on the clock that the times are of.
    clock: Option<ClockReference>,
}

/// Space for the ids of finished messages in a journal of at most `limit` bytes: a twentieth.
fn finished_bytes(limit: u64) -> u64 {
    limit / 20
}

/// Whether an error of the folder may pass by itself: no space, or a device that fails.
pub fn may_pass(why: &io::Error) -> bool {
    const EIO: i32 = 5;
    let kinds = [io::ErrorKind::StorageFull, io::ErrorKind::QuotaExceeded, io::ErrorKind::Interrupted];
    kinds.contains(&why.kind()) || why.raw_os_error() == Some(EIO)
}

/// A record that changes nothing, to find out whether the journal can be written.
pub fn probe_record() -> Record {
    Record::FinishedIds(FinishedList::default())
}

fn frame(record: &Record, into: &mut Vec<u8>) -> io::Result<()> {
    let bytes = postcard::to_allocvec(record).map_err(io::Error::other)?;
    into.extend((bytes.len() as u32).to_le_bytes());
    into.extend(crc32fast::hash(&bytes).to_le_bytes());
    into.extend(bytes);
    Ok(())
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

/// Decodes the first record, with the size of its frame.
fn unframe(bytes: &[u8]) -> Option<(Record, usize)> {
    let end = (u32_at(bytes, 0)? as usize).checked_add(FRAME_HEADER)?;
    let body = bytes.get(FRAME_HEADER..end)?;
    let intact = crc32fast::hash(body) == u32_at(bytes, 4)?;
    Some((postcard::from_bytes(body).ok().filter(|_| intact)?, end))
}

/// The records that are written when a message is accepted.
pub fn acceptance_records(message: u32, accepted: &AcceptedMessage) -> impl Iterator<Item = Record> {
    let owner = accepted.owner.clone().map(|owner| Record::Owner(message, owner));
    let effect = accepted.effect.map(|effect| Record::Effect(message, effect));
    std::iter::once(Record::Accepted(message, accepted.clone())).chain(owner).chain(effect)
}

fn reserved_bytes(accepted: &AcceptedMessage) -> u64 {
    let texts = accepted.key.as_ref().map_or(0, String::len) + accepted.owner.as_ref().map_or(0, String::len);
    (accepted.body.len() + accepted.id.len() + accepted.class.len() + texts) as u64 + MAX_LATER_RECORDS
}

impl Journal {
    /// Opens the journal in `folder` and reads it back. Its files may take up to `limit` bytes together.
    ///
    /// # Errors
    /// Fails when the folder cannot be read or written.
    pub fn open(folder: &Path, limit: u64) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        // The file of an interrupted compaction is of no use and only takes up disk space.
        let _ = fs::remove_file(folder.join("journal.new"));
        let path = folder.join("journal");
        let text = match fs::read(&path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(e),
        };
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        let finished = FinishedIds::within(finished_bytes(limit));
        let mut journal = Self {
            path,
            file,
            length: 0,
            limit,
            pending: BTreeMap::new(),
            reserved: 0,
            torn: false,
            finished,
            clock: None,
        };
        let mut at = 0;
        while let Some((record, size)) = text.get(at..).and_then(unframe) {
            journal.apply(record);
            at += size;
        }
        // A killed process may have left a torn record at the end. New records must not follow it: they could
        // not be read back. If it can't be truncated now, the first append writes a new file.
        if at < text.len() {
            journal.torn = journal.file.set_len(at as u64).is_err();
        }
        journal.length = at as u64;
        Ok(journal)
    }

    /// A moment on the clock that the times in the journal are of, if it is known.
    pub fn clock(&self) -> Option<&ClockReference> {
        self.clock.as_ref()
    }

    /// The messages that have not ended, by number.
    pub fn pending(&self) -> &BTreeMap<u32, PendingMessage> {
        &self.pending
    }

    /// How the message with this id ended, if it was accepted and ended recently. A message that surely never
    /// ran is not remembered: it may be accepted again.
    pub fn finished(&self, id: &str) -> Option<Finish> {
        self.finished.get(id)
    }

    /// Remembers the end of a message whose record is yet to be appended.
    pub fn remember_finished(&mut self, id: &str, finish: Finish) {
        self.finished.insert(id, finish);
    }

    /// Whether there is space to store another message until it ends. During a compaction the old and the new
    /// file exist side by side, so pending messages and finished ids may use less than half of the limit.
    pub fn has_capacity(&self, accepted: &AcceptedMessage, unwritten: u64) -> bool {
        let space = self.limit / 5 * 2 - finished_bytes(self.limit);
        self.reserved + unwritten + reserved_bytes(accepted) <= space
    }

    /// The space that the message would reserve, bytes; see [`Journal::has_capacity`].
    pub fn reservation(accepted: &AcceptedMessage) -> u64 {
        reserved_bytes(accepted)
    }

    /// Appends the records of a turn in one write.
    ///
    /// # Errors
    /// Fails when they could not be written; then none of them takes effect.
    pub fn append(&mut self, records: &[Record]) -> io::Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let mut bytes = Vec::new();
        for record in records {
            frame(record, &mut bytes)?;
        }
        if self.torn || self.length + bytes.len() as u64 > self.limit / 20 * 11 {
            self.compact()?;
        }
        if let Err(e) = self.file.write_all(&bytes) {
            self.torn = self.file.set_len(self.length).is_err();
            return Err(e);
        }
        self.length += bytes.len() as u64;
        for record in records {
            self.apply(record.clone());
        }
        Ok(())
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Accepted(message, accepted) => {
                self.reserved += reserved_bytes(&accepted);
                self.pending.insert(
                    message,
                    PendingMessage { accepted, attempts: Vec::new(), given_up: None, replicated: None },
                );
            }
            Record::AttemptBegun { message, attempt, endpoint, at } => {
                if let Some(pending) = self.pending.get_mut(&message) {
                    pending.attempts.push(Attempt { number: attempt, endpoint, at, never_ran: false });
                }
            }
            Record::AttemptEnded { message, attempt, never_ran } => {
                let pending = self.pending.get_mut(&message);
                let mut attempts = pending.into_iter().flat_map(|pending| &mut pending.attempts);
                if let Some(attempt) = attempts.find(|a| a.number == attempt) {
                    attempt.never_ran = never_ran;
                }
            }
            Record::GivenUp(message, how) => {
                if let Some(pending) = self.pending.get_mut(&message) {
                    pending.given_up = Some(how);
                }
            }
            Record::Closed(message) => {
                if let Some(pending) = self.remove_pending(message)
                    && pending.given_up == Some(GivenUp::Undeliverable)
                {
                    self.finished.insert(&pending.accepted.id, Finish::Failed);
                }
            }
            Record::Finished(message, finish) => {
                if let Some(pending) = self.remove_pending(message) {
                    self.finished.insert(&pending.accepted.id, finish);
                }
            }
            Record::FinishedIds(ids) => self.finished.extend(ids),
            Record::Clock(reference) => self.clock = Some(reference),
            Record::Owner(message, owner) => {
                if let Some(pending) = self.pending.get_mut(&message) {
                    self.reserved -= reserved_bytes(&pending.accepted);
                    pending.accepted.owner = Some(owner);
                    self.reserved += reserved_bytes(&pending.accepted);
                }
            }
            Record::Effect(message, effect) => {
                if let Some(pending) = self.pending.get_mut(&message) {
                    pending.accepted.effect = Some(effect);
                }
            }
            Record::Replicated(message, tag, since) => {
                if let Some(pending) = self.pending.get_mut(&message)
                    && pending.replicated.replace((tag, since)).is_none()
                {
                    self.reserved += MAX_REPLICATED_RECORDS;
                }
            }
        }
    }

    fn remove_pending(&mut self, message: u32) -> Option<PendingMessage> {
        let pending = self.pending.remove(&message)?;
        self.reserved -= reserved_bytes(&pending.accepted);
        self.reserved -= pending.replicated.as_ref().map_or(0, |_| MAX_REPLICATED_RECORDS);
        Some(pending)
    }

    /// Writes the pending messages to a new file, which then replaces the old one.
    fn compact(&mut self) -> io::Result<()> {
        let mut bytes = Vec::new();
        frame(&Record::FinishedIds(self.finished.list()), &mut bytes)?;
        if let Some(reference) = &self.clock {
            frame(&Record::Clock(reference.clone()), &mut bytes)?;
        }
        for (message, pending) in &self.pending {
            for record in acceptance_records(*message, &pending.accepted) {
                frame(&record, &mut bytes)?;
            }
            for Attempt { number, endpoint, at, never_ran } in pending.attempts.iter().cloned() {
                let (message, attempt) = (*message, number);
                frame(&Record::AttemptBegun { message, attempt, endpoint, at }, &mut bytes)?;
                if never_ran {
                    frame(&Record::AttemptEnded { message, attempt, never_ran: true }, &mut bytes)?;
                }
            }
            if let Some((tag, since)) = pending.replicated.clone() {
                frame(&Record::Replicated(*message, tag, since), &mut bytes)?;
            }
            if let Some(how) = pending.given_up {
                frame(&Record::GivenUp(*message, how), &mut bytes)?;
            }
        }
        let new = self.path.with_extension("new");
        let _ = fs::remove_file(&new);
        let mut file = OpenOptions::new().append(true).create_new(true).open(&new)?;
        if let Err(e) = file.write_all(&bytes).and_then(|()| fs::rename(&new, &self.path)) {
            let _ = fs::remove_file(&new);
            return Err(e);
        }
        (self.file, self.length, self.torn) = (file, bytes.len() as u64, false);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
