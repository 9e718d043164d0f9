//! The status index at the running sender: its segments in the folder that lasts, what the view says, and who waits
//! for an answer. `myrtleyard::status` is the index itself.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use hyper::StatusCode;
use myrtleyard::interface::Micros;
use myrtleyard::membership::{Facts, tier_of};
use myrtleyard::status::folder::{LEAST_ROOM, Step};
use myrtleyard::status::index::{Index, Place};
use myrtleyard::status::log::{Restored, restore};
use myrtleyard::status::query::{Answer, LONGEST, Refused};
use myrtleyard::status::{Config as Section, Entry, Query, Rank, State};
use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::super::config::Config;
use super::super::control::Reply;
use super::super::journal::{GivenUp, Live, Taken};
use super::{Out, Part};

/// After a write that failed, the next try comes so long later, and twice as long after each one more,
const AGAIN: Micros = 5_000_000;
/// up to this: a try writes the whole log before somebody's 202.
const AGAIN_AT_MOST: Micros = 300_000_000;
/// A longer file is no segment, bytes.
const LONGEST_SEGMENT: u64 = 64 << 20;

/// The part.
pub struct Indexing {
    /// The index.
    pub core: Index,
    own: Rank,
    folder: PathBuf,
    /// The segment that is written.
    open: Option<(u64, File)>,
    /// Writing failed last then, and the pause after it.
    failed: Option<(Micros, Micros)>,
    /// Those who wait for answers.
    waiting: BTreeMap<u64, oneshot::Sender<Reply>>,
    /// Answers of this turn, for estimates to be held against.
    pub answered: Vec<(u64, Answer)>,
    /// Answers to what another part has asked.
    others: Vec<(u64, Answer)>,
}

fn segment(folder: &Path, at: u64) -> PathBuf {
    folder.join(format!("status.{at}"))
}

/// What stands for a segment that can't be read: a frame of nothing, which is no head. An empty one would pass for one
/// that was begun and no more, and numbers that are in it would be given out again.
const SPOILT: [u8; 8] = [0; 8];

/// Segments that are there, oldest first. What can't be read counts as spoilt, and makes for a new life.
fn segments(folder: &Path) -> io::Result<Vec<(u64, Vec<u8>)>> {
    let mut found = Vec::new();
    for file in fs::read_dir(folder)? {
        let file = file?;
        let at = file.file_name().to_str().and_then(|name| name.strip_prefix("status.")?.parse::<u64>().ok());
        let Some(at) = at else { continue };
        let readable = file.metadata().is_ok_and(|data| data.len() <= LONGEST_SEGMENT);
        let bytes = if readable { fs::read(file.path()).ok() } else { None };
        found.push((at, bytes.unwrap_or_else(|| SPOILT.to_vec())));
    }
    found.sort();
    Ok(found)
}

/// Tells whether the machine was started since: what was written then may be on no disk. Without an answer it counts
/// as started.
fn boot() -> u64 {
    match fs::read("/proc/sys/kernel/random/boot_id") {
        Ok(id) => {
            let (first, second) = id.split_at(id.len() / 2);
            u64::from(crc32fast::hash(first)) << 32 | u64::from(crc32fast::hash(second))
        }
        Err(_) => chance(),
    }
}

/// A number that no process of any sender draws twice.
fn chance() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

impl Indexing {
    /// As the configuration has it, with what earlier processes left; nothing without its section.
    pub fn open(config: &Config, folder: &Path, now: Micros) -> Option<Self> {
        let section = config.status.as_ref()?;
        let own = config.rank()?;
        let boot = boot();
        let read = segments(folder).unwrap_or_else(|e| {
            tracing::error!("the status index can't be read, and begins anew: {e}");
            Vec::new()
        });
        let restored: Restored = restore(&read, boot, now);
        if !read.is_empty() && restored.life.is_none() {
            tracing::warn!("the status index begins a new life: what was told of the one before may be lost");
        }
        let hosts: Vec<_> = config.peers.iter().map(|peer| peer.ip()).collect();
        let host = |ip| hosts.iter().position(|other| other == ip).and_then(|at| u32::try_from(at).ok());
        let tier = config.membership.as_ref().map_or(0, |membership| tier_of(&membership.tier));
        let place = Place { own, tier, hosts: hosts.iter().map(|ip| host(ip).unwrap_or(0)).collect() };
        let old = read.iter().map(|(at, _)| *at).collect();
        let room = Self::room(section, config.disk);
        let core = Index::new(section, place, restored, old, (room, boot), chance(), now);
        let folder = folder.to_owned();
        Some(Self {
            core,
            own,
            folder,
            open: None,
            failed: None,
            waiting: BTreeMap::new(),
            answered: Vec::new(),
            others: Vec::new(),
        })
    }

    /// Bytes that it may take of the folder, of which `disk` bytes are for everything: a quarter of it at most.
    pub fn room(section: &Section, disk: u64) -> u64 {
        (u64::from(section.room_mb) * 1_000_000).min(disk / 4).max(LEAST_ROOM)
    }

    /// What the journal has in hand is in the index, whatever became of the folder; what the index has in hand and
    /// the journal has not has ended.
    pub fn settle<'a>(&mut self, live: impl Iterator<Item = &'a Live> + Clone, now: Micros) {
        let owed: std::collections::BTreeSet<&str> =
            live.clone().map(|live| live.taken.id.as_str()).collect();
        self.core.settle(now, |entry| owed.contains(entry.id.as_str()));
        for live in live {
            let tenant = live.taken.owner.as_deref().unwrap_or_default();
            if !self.core.knows(tenant, &live.taken.id) {
                let first = live.attempts.first().map(|attempt| attempt.at);
                let since = live.covered.as_ref().map(|(_, since)| *since).or(first).unwrap_or(now);
                self.taken(&live.taken, since.min(now), 0);
            }
            if let Some(how) = live.given_up {
                self.ended(&live.taken, end_of(how), now);
            }
        }
    }

    /// A message was taken on: here with epoch 0, with a later one from another sender.
    pub fn taken(&mut self, taken: &Taken, at: Micros, epoch: u32) -> Option<u64> {
        self.core.taken(Entry {
            id: taken.id.clone(),
            class: taken.class.clone(),
            tenant: taken.owner.clone().unwrap_or_default(),
            destination: taken.destination,
            key: taken.key.as_ref().map(|key| crc32fast::hash(key.as_bytes())),
            taken_at: at,
            deadline: taken.deadline,
            changed_at: at,
            attempts: 0,
            states: myrtleyard::status::States::default().with(State::Taken),
            owner: (epoch, self.own),
        })
    }

    /// A call for it begins.
    pub fn calling(&mut self, taken: &Taken, attempt: u16, now: Micros) {
        let tenant = taken.owner.as_deref().unwrap_or_default();
        self.core.change(now, tenant, &taken.id, |entry| {
            entry.states = entry.states.with(State::Calling);
            entry.attempts = entry.attempts.max(attempt.saturating_add(1));
        });
    }

    /// It has come to an end.
    pub fn ended(&mut self, taken: &Taken, end: State, now: Micros) {
        let tenant = taken.owner.as_deref().unwrap_or_default();
        self.core.change(now, tenant, &taken.id, |entry| entry.states = entry.states.with(end));
    }

    /// Writes down what has changed. Nothing of it is told to anybody before.
    pub fn keep(&mut self, now: Micros) {
        if self.core.is_unkept() && self.failed.is_none_or(|(at, pause)| now >= at + pause) {
            self.core.keep_again();
        }
        for step in self.core.write() {
            if let Err(e) = self.carry_out(&step) {
                tracing::error!("the status index can't be written, and goes on in memory: {e}");
                let pause = match self.failed {
                    // A folder that takes a little now and then is one that fails.
                    Some((at, pause)) if now < at + pause + AGAIN_AT_MOST => (pause * 2).min(AGAIN_AT_MOST),
                    _ => AGAIN,
                };
                self.failed = Some((now, pause));
                self.open = None;
                for step in self.core.not_written(now) {
                    // After one that fails the others would leave a life that looks whole.
                    if let Err(e) = self.carry_out(&step) {
                        tracing::error!("what is there of the status index can't be taken away: {e}");
                        return;
                    }
                }
                return;
            }
        }
    }

    fn carry_out(&mut self, step: &Step) -> io::Result<()> {
        match step {
            Step::Begin(at, bytes) => {
                let path = segment(&self.folder, *at);
                let mut file = OpenOptions::new().create_new(true).append(true).open(path)?;
                file.write_all(bytes)?;
                self.open = Some((*at, file));
                Ok(())
            }
            Step::Append(at, bytes) => match &mut self.open {
                Some((open, file)) if open == at => file.write_all(bytes),
                _ => Err(io::Error::other("a segment that is not open")),
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

    /// How the view stands.
    pub fn look(&mut self, facts: Option<Facts>) {
        self.core.look(facts);
    }

    /// Writes down and tells what has changed.
    pub fn flush(&mut self, now: Micros, out: &mut Out) {
        self.keep(now);
        self.core.tick(now, out);
        for (number, answer) in self.core.answers() {
            match self.waiting.remove(&number) {
                // Who does not wait any more has gone.
                Some(waiting) => drop(waiting.send(Reply::yes(&answer))),
                None => self.others.push((number, answer.clone())),
            }
            self.answered.push((number, answer));
        }
    }

    /// Answers to what another part has asked of the core.
    pub fn answers(&mut self) -> Vec<(u64, Answer)> {
        std::mem::take(&mut self.others)
    }

    /// Whether there are any.
    pub fn has_answers(&self) -> bool {
        !self.others.is_empty()
    }

    /// Asks the tier; the answer comes within that time, under the number that this gives.
    pub fn ask(
        &mut self,
        query: Query,
        within: Micros,
        now: Micros,
        reply: oneshot::Sender<Reply>,
    ) -> Option<u64> {
        let routes = self.core.routes();
        match self.core.ask(now, query, routes, within.min(LONGEST)) {
            Ok(number) => {
                self.waiting.insert(number, reply);
                Some(number)
            }
            Err(why) => {
                drop(reply.send(refused(&why)));
                None
            }
        }
    }
}

/// The answer to a query that is not taken.
pub fn refused(why: &Refused) -> Reply {
    let status = match why {
        Refused::Busy => StatusCode::SERVICE_UNAVAILABLE,
        Refused::Ids(_) | Refused::Limit(_) => StatusCode::BAD_REQUEST,
    };
    Reply::typed(status, why.code(), why, why.remedy())
}

/// The state of a message that was given up so.
pub fn end_of(how: GivenUp) -> State {
    match how {
        GivenUp::Deferred(_) => State::Deferred,
        GivenUp::Undeliverable => State::Undeliverable,
    }
}

impl Part for Indexing {
    fn due(&self) -> Option<Micros> {
        Some(self.core.due())
    }

    fn tick(&mut self, now: Micros, out: &mut Out) {
        self.flush(now, out);
    }

    fn datagram(&mut self, now: Micros, from: u16, bytes: &[u8], _out: &mut Out) -> bool {
        let own = self.core.claims(bytes);
        if own {
            // What it brings about is sent at the end of the turn.
            self.core.receive(now, from, bytes);
        }
        own
    }

    fn report(&self, now: Micros) -> Value {
        json!({"own": self.own, "kept": !self.core.is_unkept(), "index": self.core.report(now)})
    }
}

#[cfg(test)]
mod tests;
