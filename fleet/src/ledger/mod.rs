//! The history of a run as observed from outside the senders, and its evaluation.

pub mod checker;
pub mod figures;
pub mod reads;
pub mod rules;
pub mod starts;
pub mod views;

use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::Micros;

/// Capacity of the queue of entries to be written. Beyond it entries are dropped, which makes the run's
/// result untrustworthy.
const QUEUE_CAPACITY: usize = 1 << 16;

/// A class of messages, as the checker needs it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClassRules {
    /// Its name.
    pub name: String,
    /// Its messages must never take effect twice.
    pub once: bool,
    /// Time from hand-in within which delivery is wanted.
    pub aim: Micros,
    /// How long a destination remembers a key, counted from the first attempt that may have run; 0 without
    /// keys.
    pub window: Micros,
}

/// What had been asked of a process that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Asked {
    /// It was not asked to end.
    No,
    /// SIGTERM had been sent.
    Terminate,
    /// SIGKILL had been sent.
    Kill,
}

/// An observed event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ev", rename_all = "snake_case")]
pub enum What {
    /// A client handed in a message; the entry's time is when the request's last byte was written.
    Offered {
        /// The `Req-Id`.
        id: String,
        /// The id of its first try, which identifies the message across all its tries.
        root: String,
        /// The sender.
        sender: usize,
        /// The class, a position in the run's classes.
        class: usize,
        /// The destination.
        dest: u16,
        /// Scheduled hand-in time; that of the first try counts for latency (open loop).
        meant: Micros,
        /// Latest time of delivery.
        deadline: Micros,
    },
    /// The client received this status; 0 when the connection ended without an answer.
    Heard {
        /// The `Req-Id`.
        id: String,
        /// HTTP status.
        status: u16,
    },
    /// The client stopped waiting: whatever is sent under this id from now on is not counted.
    GaveUp {
        /// The `Req-Id`.
        id: String,
    },
    /// The client will not retry the message.
    Closed {
        /// The id of the first try.
        root: String,
    },
    /// The last byte of a call arrived at an endpoint.
    Call {
        /// Its number in the run.
        call: u64,
        /// The sender that made it.
        sender: usize,
        /// The endpoint's name.
        endpoint: String,
        /// The endpoint's destination.
        dest: u16,
        /// The messages in it.
        ids: Vec<String>,
        /// When the sender wrote its first byte.
        first: Micros,
        /// When the sender wrote its last byte.
        last: Micros,
    },
    /// A message took effect at an endpoint.
    Effect {
        /// The call.
        call: u64,
        /// The message.
        id: String,
        /// The destination remembered its key and dropped it as a duplicate.
        repeat: bool,
    },
    /// A whole answer to a call was written to the sender.
    Answered {
        /// The call.
        call: u64,
        /// HTTP status; 0 for an unreadable answer.
        status: u16,
        /// When the endpoint wrote it; the entry's time is when it arrived at the sender.
        written: Micros,
        /// Its Retry-After, if it has one.
        wait: Option<Micros>,
        /// For each message of the call: never ran, delivered, or may have run.
        ends: Vec<CallEnd>,
    },
    /// A notice arrived at the platform.
    Notice {
        /// The sender that sent it.
        sender: usize,
        /// The message.
        id: String,
        /// `undeliverable` or `deferred`.
        status: String,
    },
    /// Discovery reported an endpoint's state to a sender.
    Told {
        /// The sender.
        sender: usize,
        /// The endpoint's name.
        endpoint: String,
        /// `active`, `leaving` or `left`.
        status: String,
    },
    /// A sender requested the list of endpoints.
    ListCall {
        /// The sender.
        sender: usize,
        /// It is a watch (long poll), which may be held.
        held: bool,
        /// 200 if it was accepted, 503 if it was rejected, 0 if the service is silent.
        status: u16,
    },
    /// A sender opened a connection to an endpoint.
    Connected {
        /// The sender.
        sender: usize,
        /// The endpoint's name.
        endpoint: String,
    },
    /// A destination returned from an outage, cold.
    Cold {
        /// The destination.
        dest: u16,
    },
    /// A destination was overloaded on its cold return, and stays down.
    Fell {
        /// The destination.
        dest: u16,
        /// Per sender: its calls within the overload window, and whether it had seen the destination fail.
        by: Vec<(usize, u64, bool)>,
    },
    /// A fault begins or ends.
    Fault {
        /// Its number in the schedule.
        number: usize,
        /// It begins.
        on: bool,
        /// Its description.
        what: String,
        /// It blocks all traffic between some senders.
        #[serde(default)]
        cuts: bool,
    },
    /// A sender's membership view, where the senders keep one.
    View {
        /// The sender.
        sender: usize,
        /// Number of the process.
        generation: u32,
        /// One letter per member, the first of its state: joining, alive, suspect, dead, left.
        states: String,
        /// Digest of the view; equal views have equal digests.
        digest: String,
        /// It hears from no member.
        isolated: bool,
        /// It sees at most half of the members.
        minority: bool,
    },
    /// A process was started.
    Started {
        /// The sender.
        sender: usize,
        /// Number of the process among the sender's processes, from 0.
        generation: u32,
        /// Its state folder was emptied before the start.
        empty: bool,
    },
    /// A process reports that it accepts clients.
    Ready {
        /// The sender.
        sender: usize,
        /// Number of the process.
        generation: u32,
    },
    /// A process was sent a signal.
    Signal {
        /// The sender.
        sender: usize,
        /// Number of the process.
        generation: u32,
        /// The signal's name.
        signal: String,
    },
    /// A process ended.
    Ended {
        /// The sender.
        sender: usize,
        /// Number of the process.
        generation: u32,
        /// Whether it had been asked to end.
        asked: Asked,
        /// The exit code, unless a signal ended it.
        code: Option<i32>,
    },
    /// A sender will not return in this run.
    Away {
        /// The sender.
        sender: usize,
    },
    /// A datagram above the size limit was sent.
    Oversize {
        /// The sender that sent it.
        sender: usize,
        /// Its size in bytes.
        bytes: usize,
    },
    /// Datagram counts of one second, summed over all links.
    Datagrams {
        /// Sent by senders.
        sent: u64,
        /// Bytes sent.
        bytes: u64,
        /// Delivered to the other end, including repeats made by a fault.
        arrived: u64,
        /// Dropped by the bench because too many were in flight.
        overflow: u64,
    },
    /// A session's message was accepted.
    Wrote {
        /// The session.
        session: usize,
        /// Its plan, a position in the run's plans.
        plan: usize,
        /// The `Req-Id`.
        id: String,
        /// The answer carried a token.
        token: bool,
    },
    /// A session queried the status of some of its messages; the entry's time is when the answer had arrived.
    Read {
        /// The session.
        session: usize,
        /// Its plan.
        plan: usize,
        /// The sender that was asked.
        sender: usize,
        /// When the request was sent.
        sent: Micros,
        /// HTTP status; 0 without an answer.
        status: u16,
        /// Set if the request carried tokens: they cover what the session has written and read from this time
        /// on.
        since: Option<Micros>,
        /// The answer carried a token.
        given: bool,
        /// The messages that were queried.
        asked: Vec<String>,
        /// The answer's rows.
        rows: Vec<Row>,
        /// The answer states that parts are missing.
        partial: bool,
        /// The answer states that it falls short of the plan.
        less: bool,
        /// Senders whose parts the answer lists as missing.
        missing: Vec<usize>,
        /// The logs that the answer lists as its sources.
        logs: Vec<Log>,
    },
    /// The run's end; what falls due after it is not overdue.
    Over,
}

/// A message's status in a sender's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The `Req-Id`.
    pub id: String,
    /// What has happened to it, as a bit set: taken 1, calling 2, deferred 4, undeliverable 8, unknown 16,
    /// delivered 32.
    pub states: u8,
    /// Attempts begun.
    pub attempts: u16,
}

/// A sender's log that an answer lists as a source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// The sender that owns it.
    pub owner: usize,
    /// It contains everything that had happened at its owner by this time.
    pub as_of: Micros,
    /// Messages accepted before this time may be absent.
    pub known_since: Micros,
}

/// The outcome of one message in a call's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallEnd {
    /// Delivered.
    Done,
    /// It may have run.
    Maybe,
    /// It never ran.
    Never,
}

/// One entry of the history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Time of the event.
    pub t: Micros,
    /// The event.
    #[serde(flatten)]
    pub what: What,
}

/// The history's first line: what was run, with the parameters that the rules need.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Head {
    /// Scenario.
    pub scenario: String,
    /// Seed.
    pub seed: u64,
    /// Senders.
    pub senders: usize,
    /// Classes.
    pub classes: Vec<ClassRules>,
    /// Maximum attempts for a message.
    pub try_limit: usize,
    /// Grace period after a sender was told that an endpoint drains or is gone; no new call goes to it
    /// afterwards.
    pub drain_grace: Micros,
    /// The protocol period of the senders' membership views, where they keep them.
    #[serde(default)]
    pub view_period: Option<Micros>,
    /// The plans of the sessions, where there are any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub plans: Vec<reads::PlanRules>,
}

/// Records events from any task without blocking.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    entries: SyncSender<Entry>,
    dropped: Arc<AtomicU64>,
    lateness: Arc<Mutex<Histogram<u64>>>,
}

impl Recorder {
    /// Creates the history file and starts its writer thread, which ends with [`What::Over`].
    ///
    /// # Errors
    /// Fails when the file can't be created.
    pub fn begin(path: &Path, head: &Head) -> io::Result<(Self, JoinHandle<io::Result<()>>)> {
        let mut file = BufWriter::new(File::create(path)?);
        serde_json::to_writer(&mut file, head)?;
        file.write_all(b"\n")?;
        let (entries, queued) = sync_channel::<Entry>(QUEUE_CAPACITY);
        let writer = std::thread::spawn(move || {
            for entry in queued {
                serde_json::to_writer(&mut file, &entry)?;
                file.write_all(b"\n")?;
                if entry.what == What::Over {
                    break;
                }
            }
            file.flush()
        });
        let lateness = Histogram::new_with_max(60_000_000, 3).map_err(io::Error::other)?;
        let recorder = Self {
            start: Instant::now(),
            entries,
            dropped: Arc::default(),
            lateness: Arc::new(Mutex::new(lateness)),
        };
        Ok((recorder, writer))
    }

    /// The time since the start of the run.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time of the run for use in timers.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + std::time::Duration::from_micros(at))
    }

    /// Waits until this time, and records how late the wake-up was.
    pub async fn until(&self, at: Micros) {
        if at <= self.now() {
            return;
        }
        tokio::time::sleep_until(self.instant(at)).await;
        self.late(self.now().saturating_sub(at));
    }

    /// Records that the bench itself was late by this much.
    pub fn late(&self, by: Micros) {
        if let Ok(mut lateness) = self.lateness.lock() {
            lateness.saturating_record(by);
        }
    }

    /// Lateness of the bench itself in microseconds: median, 99th percentile, maximum.
    pub fn lateness(&self) -> [u64; 3] {
        let lateness = self.lateness.lock();
        lateness.map_or([0; 3], |l| [l.value_at_quantile(0.5), l.value_at_quantile(0.99), l.max()])
    }

    /// Entries dropped because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Records an event that happens now.
    pub fn see(&self, what: What) {
        self.saw(self.now(), what);
    }

    /// Records an event that happened at time `t`.
    pub fn saw(&self, t: Micros, what: What) {
        if self.entries.try_send(Entry { t, what }).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A history as read from its file.
#[derive(Debug, Clone)]
pub struct History {
    /// The run's parameters.
    pub head: Head,
    /// The events in order of time.
    pub entries: Vec<Entry>,
}

impl History {
    /// Reads a history file.
    ///
    /// # Errors
    /// Fails, naming the line, when a line can't be parsed.
    pub fn read(path: &Path) -> io::Result<Self> {
        let mut lines = BufReader::new(File::open(path)?).lines();
        let bad = |n: usize, e: &dyn std::fmt::Display| {
            io::Error::new(io::ErrorKind::InvalidData, format!("{}, line {n}: {e}", path.display()))
        };
        let head = lines.next().ok_or_else(|| bad(1, &"the history is empty"))??;
        let head = serde_json::from_str(&head).map_err(|e| bad(1, &e))?;
        let mut entries = Vec::new();
        for (n, line) in lines.enumerate() {
            entries.push(serde_json::from_str(&line?).map_err(|e| bad(n + 2, &e))?);
        }
        Ok(Self::new(head, entries))
    }

    /// Sorts the entries by time: concurrent tasks record them slightly out of order.
    pub fn new(head: Head, mut entries: Vec<Entry>) -> Self {
        entries.sort_by_key(|entry: &Entry| entry.t);
        Self { head, entries }
    }
}
