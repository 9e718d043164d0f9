//! The status index in the running sender: its segment files in the state folder, the membership view, and
//! the callers that wait for answers. `myrtleyard::status` is the index itself.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use hyper::StatusCode;
use myrtleyard::interface::Micros;
use myrtleyard::membership::{MembershipView, tier_of};
use myrtleyard::status::folder::{MIN_ROOM, Step};
use myrtleyard::status::index::{Index, Place};
use myrtleyard::status::log::{Restored, restore};
use myrtleyard::status::query::{Answer, MAX_QUERY_TIME, QueryRejected};
use myrtleyard::status::{Config as Section, Entry, Query, Rank, State};
use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::super::config::Config;
use super::super::control::Reply;
use super::super::journal::{AcceptedMessage, GivenUp, PendingMessage};
use super::{Out, Part};

/// Pause before the first retry after a failed write; it doubles with each further failure.
const RETRY_PAUSE: Micros = 5_000_000;
/// Maximum pause between retries. Retries are rare because each one writes the whole log before a client's
/// 202.
const MAX_RETRY_PAUSE: Micros = 300_000_000;
/// Maximum size of a segment file, bytes; a longer file is treated as corrupt.
const MAX_SEGMENT_LEN: u64 = 64 << 20;

/// The status index part.
pub struct StatusPart {
    /// The index.
    pub core: Index,
    own: Rank,
    folder: PathBuf,
    /// The segment that is being written.
    open_segment: Option<(u64, File)>,
    /// Time of the last failed write, and the pause after it.
    last_failure: Option<(Micros, Micros)>,
    /// Callers that wait for the answer to a query, by its number.
    waiting: BTreeMap<u64, oneshot::Sender<Reply>>,
    /// Answers of this turn, for the comparison with estimates.
    pub answered: Vec<(u64, Answer)>,
    /// Answers to queries of other parts.
    other_answers: Vec<(u64, Answer)>,
}

fn segment(folder: &Path, at: u64) -> PathBuf {
    folder.join(format!("status.{at}"))
}

/// Stands for a segment that cannot be read: an empty frame, which is not a valid head. An empty segment
/// would pass for one that was only created, and the numbers used in the unreadable one would be assigned
/// again.
const CORRUPT_SEGMENT: [u8; 8] = [0; 8];

/// The segments in the folder, oldest first. An unreadable one counts as corrupt and causes a new generation
/// of the log.
fn segments(folder: &Path) -> io::Result<Vec<(u64, Vec<u8>)>> {
    let mut found = Vec::new();
    for file in fs::read_dir(folder)? {
        let file = file?;
        let at = file.file_name().to_str().and_then(|name| name.strip_prefix("status.")?.parse::<u64>().ok());
        let Some(at) = at else { continue };
        let readable = file.metadata().is_ok_and(|data| data.len() <= MAX_SEGMENT_LEN);
        let bytes = if readable { fs::read(file.path()).ok() } else { None };
        found.push((at, bytes.unwrap_or_else(|| CORRUPT_SEGMENT.to_vec())));
    }
    found.sort();
    Ok(found)
}

/// Identifies the machine's current boot. After a reboot, data written before may not have reached the disk.
/// If the boot id cannot be read, the machine counts as rebooted.
fn boot_id() -> u64 {
    match fs::read("/proc/sys/kernel/random/boot_id") {
        Ok(id) => {
            let (first, second) = id.split_at(id.len() / 2);
            u64::from(crc32fast::hash(first)) << 32 | u64::from(crc32fast::hash(second))
        }
        Err(_) => random_id(),
    }
}

/// A random number, unique among all processes of all senders.
fn random_id() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

impl StatusPart {
    /// Creates the part with the log that earlier processes left; `None` without its section.
    pub fn open(config: &Config, folder: &Path, now: Micros) -> Option<Self> {
        let section = config.status.as_ref()?;
        let own = config.rank()?;
        let boot = boot_id();
        let read = segments(folder).unwrap_or_else(|e| {
            tracing::error!("cannot read the status index; starting an empty one: {e}");
            Vec::new()
        });
        let restored: Restored = restore(&read, boot, now);
        if !read.is_empty() && restored.life.is_none() {
            tracing::warn!("the status index begins a new generation; reports of the old one may be lost");
        }
        let hosts: Vec<_> = config.peers.iter().map(|peer| peer.ip()).collect();
        let host = |ip| hosts.iter().position(|other| other == ip).and_then(|at| u32::try_from(at).ok());
        let tier = config.membership.as_ref().map_or(0, |membership| tier_of(&membership.tier));
        let place = Place { own, tier, hosts: hosts.iter().map(|ip| host(ip).unwrap_or(0)).collect() };
        let old = read.iter().map(|(at, _)| *at).collect();
        let room = Self::max_bytes(section, config.disk);
        let core = Index::new(section, place, restored, old, (room, boot), random_id(), now);
        let folder = folder.to_owned();
        Some(Self {
            core,
            own,
            folder,
            open_segment: None,
            last_failure: None,
            waiting: BTreeMap::new(),
            answered: Vec::new(),
            other_answers: Vec::new(),
        })
    }

    /// Maximum size of the index in the state folder, bytes: at most a quarter of `disk`, the limit of the
    /// whole folder.
    pub fn max_bytes(section: &Section, disk: u64) -> u64 {
        (u64::from(section.room_mb) * 1_000_000).min(disk / 4).max(MIN_ROOM)
    }

    /// Reconciles the index with the journal at startup. Messages pending in the journal are added to the
    /// index if its files were lost; messages pending in the index but not in the journal have ended.
    pub fn reconcile<'a>(&mut self, pending: impl Iterator<Item = &'a PendingMessage> + Clone, now: Micros) {
        let pending_ids: std::collections::BTreeSet<&str> =
            pending.clone().map(|pending| pending.accepted.id.as_str()).collect();
        self.core.settle(now, |entry| pending_ids.contains(entry.id.as_str()));
        for pending in pending {
            let tenant = pending.accepted.owner.as_deref().unwrap_or_default();
            if !self.core.contains(tenant, &pending.accepted.id) {
                let first = pending.attempts.first().map(|attempt| attempt.at);
                let since = pending.replicated.as_ref().map(|(_, since)| *since).or(first).unwrap_or(now);
                self.message_accepted(&pending.accepted, since.min(now), 0);
            }
            if let Some(how) = pending.given_up {
                self.message_ended(&pending.accepted, final_state(how), now);
            }
        }
    }

    /// Adds an accepted message: with epoch 0 if it was submitted here, with a later one if it was adopted
    /// from another sender.
    pub fn message_accepted(&mut self, message: &AcceptedMessage, at: Micros, epoch: u32) -> Option<u64> {
        self.core.accepted(Entry {
            id: message.id.clone(),
            class: message.class.clone(),
            tenant: message.owner.clone().unwrap_or_default(),
            destination: message.destination,
            key: message.key.as_ref().map(|key| crc32fast::hash(key.as_bytes())),
            taken_at: at,
            deadline: message.deadline,
            changed_at: at,
            attempts: 0,
            states: myrtleyard::status::States::default().with(State::Taken),
            owner: (epoch, self.own),
        })
    }

    /// Records the start of a call for a message.
    pub fn attempt_begun(&mut self, message: &AcceptedMessage, attempt: u16, now: Micros) {
        let tenant = message.owner.as_deref().unwrap_or_default();
        self.core.change(now, tenant, &message.id, |entry| {
            entry.states = entry.states.with(State::Calling);
            entry.attempts = entry.attempts.max(attempt.saturating_add(1));
        });
    }

    /// Records the end of a message.
    pub fn message_ended(&mut self, message: &AcceptedMessage, end: State, now: Micros) {
        let tenant = message.owner.as_deref().unwrap_or_default();
        self.core.change(now, tenant, &message.id, |entry| entry.states = entry.states.with(end));
    }

    /// Writes the changes to the folder. They are not sent to any other sender before.
    pub fn store(&mut self, now: Micros) {
        if self.core.is_not_persisted() && self.last_failure.is_none_or(|(at, pause)| now >= at + pause) {
            self.core.resume_writing();
        }
        for step in self.core.write() {
            if let Err(e) = self.execute(&step) {
                tracing::error!("cannot write the status index; continuing in memory: {e}");
                let pause = match self.last_failure {
                    // A folder that occasionally accepts a few writes still counts as failing.
                    Some((at, pause)) if now < at + pause + MAX_RETRY_PAUSE => {
                        (pause * 2).min(MAX_RETRY_PAUSE)
                    }
                    _ => RETRY_PAUSE,
                };
                self.last_failure = Some((now, pause));
                self.open_segment = None;
                for step in self.core.write_failed(now) {
                    // After a failed step, carrying out the others would leave a generation that looks
                    // complete.
                    if let Err(e) = self.execute(&step) {
                        tracing::error!("cannot remove the old files of the status index: {e}");
                        return;
                    }
                }
                return;
            }
        }
    }

    fn execute(&mut self, step: &Step) -> io::Result<()> {
        match step {
            Step::Begin(at, bytes) => {
                let path = segment(&self.folder, *at);
                let mut file = OpenOptions::new().create_new(true).append(true).open(path)?;
                file.write_all(bytes)?;
                self.open_segment = Some((*at, file));
                Ok(())
            }
            Step::Append(at, bytes) => match &mut self.open_segment {
                Some((open, file)) if open == at => file.write_all(bytes),
                _ => Err(io::Error::other(format!("segment {at} of the status index is not open"))),
            },
            Step::Empty(at) => {
                match OpenOptions::new().write(true).truncate(true).open(segment(&self.folder, *at)) {
                    Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
                    _ => Ok(()),
                }
            }
            Step::Remove(at) => match fs::remove_file(segment(&self.folder, *at)) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
                _ => Ok(()),
            },
        }
    }

    /// Updates the membership view.
    pub fn update_view(&mut self, view: Option<MembershipView>) {
        self.core.set_view(view);
    }

    /// Writes the changes to the folder, replicates them, and delivers answers.
    pub fn flush(&mut self, now: Micros, out: &mut Out) {
        self.store(now);
        self.core.tick(now, out);
        for (number, answer) in self.core.take_answers() {
            match self.waiting.remove(&number) {
                // The send fails if the caller is gone.
                Some(waiting) => drop(waiting.send(Reply::ok(&answer))),
                None => self.other_answers.push((number, answer.clone())),
            }
            self.answered.push((number, answer));
        }
    }

    /// Takes the answers to queries of other parts.
    pub fn answers(&mut self) -> Vec<(u64, Answer)> {
        std::mem::take(&mut self.other_answers)
    }

    /// Whether there are answers to queries of other parts.
    pub fn has_answers(&self) -> bool {
        !self.other_answers.is_empty()
    }

    /// Queries the tier. The answer is sent to `reply` within the given time; the returned number identifies
    /// the query.
    pub fn ask(
        &mut self,
        query: Query,
        within: Micros,
        now: Micros,
        reply: oneshot::Sender<Reply>,
    ) -> Option<u64> {
        let routes = self.core.routes();
        match self.core.ask(now, query, routes, within.min(MAX_QUERY_TIME)) {
            Ok(number) => {
                self.waiting.insert(number, reply);
                Some(number)
            }
            Err(why) => {
                drop(reply.send(rejected(&why)));
                None
            }
        }
    }
}

/// The reply to a rejected query.
pub fn rejected(why: &QueryRejected) -> Reply {
    let status = match why {
        QueryRejected::Busy => StatusCode::SERVICE_UNAVAILABLE,
        QueryRejected::Ids(_) | QueryRejected::Limit(_) => StatusCode::BAD_REQUEST,
    };
    Reply::error_with_code(status, why.code(), why, why.remedy())
}

/// The final state of a message that was given up.
pub fn final_state(how: GivenUp) -> State {
    match how {
        GivenUp::Deferred(_) => State::Deferred,
        GivenUp::Undeliverable => State::Undeliverable,
    }
}

impl Part for StatusPart {
    fn due(&self) -> Option<Micros> {
        Some(self.core.due())
    }

    fn tick(&mut self, now: Micros, out: &mut Out) {
        self.flush(now, out);
    }

    fn datagram(&mut self, now: Micros, from: u16, bytes: &[u8], _out: &mut Out) -> bool {
        let own = self.core.accepts(bytes);
        if own {
            // Replies are sent at the end of the turn.
            self.core.receive(now, from, bytes);
        }
        own
    }

    fn report(&self, now: Micros) -> Value {
        json!({"own": self.own, "kept": !self.core.is_not_persisted(), "index": self.core.report(now)})
    }
}

#[cfg(test)]
mod tests;
