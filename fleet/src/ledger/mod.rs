//! The history of all that outsiders saw, and what is made of it.

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

/// Entries that may wait to be written; beyond that they are dropped, and the run is not to be trusted.
const WAITING: usize = 1 << 16;

/// A class of messages, as the checker needs it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClassRules {
    /// Its name.
    pub name: String,
    /// It must never take effect twice.
    pub once: bool,
    /// Wanted within so long.
    pub aim: Micros,
    /// How long a destination remembers a key, from the first attempt that may have run; 0 without keys.
    pub window: Micros,
}

/// How a process came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Asked {
    /// Nobody asked it to.
    No,
    /// SIGTERM had been sent.
    Terminate,
    /// SIGKILL had been sent.
    Kill,
}

/// What an outsider saw.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ev", rename_all = "snake_case")]
pub enum What {
    /// A client hands a message in; the time is when the request's last byte was written.
    Offered {
        /// The `Req-Id`.
        id: String,
        /// The id of its first try, under which all tries are one message.
        root: String,
        /// The sender.
        sender: usize,
        /// The class, a position in the run's classes.
        class: usize,
        /// The destination.
        dest: u16,
        /// When it was meant to be handed in; the first try's counts for latency (open loop).
        meant: Micros,
        /// Until when it may be delivered.
        deadline: Micros,
    },
    /// The client heard this status; 0 when the connection ended without an answer.
    Heard {
        /// The `Req-Id`.
        id: String,
        /// HTTP status.
        status: u16,
    },
    /// The client stopped waiting: what is sent under this id from now on counts for nothing.
    GaveUp {
        /// The `Req-Id`.
        id: String,
    },
    /// The client will not hand the message in again.
    Closed {
        /// The id of the first try.
        root: String,
    },
    /// The last byte of a call came to an endpoint.
    Call {
        /// Its number in the run.
        call: u64,
        /// Who made it.
        sender: usize,
        /// The endpoint's name.
        endpoint: String,
        /// The destination that the endpoint belongs to.
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
        /// The destination remembered its key and dropped it.
        repeat: bool,
    },
    /// An answer to a call was written to the sender, whole.
    Answered {
        /// The call.
        call: u64,
        /// HTTP status; 0 for what can't be read.
        status: u16,
        /// When the endpoint wrote it; the entry's time is when it came to the sender.
        written: Micros,
        /// The wait that it told.
        wait: Option<Micros>,
        /// For each message of the call whether it never ran, was delivered, or may have run.
        ends: Vec<CallEnd>,
    },
    /// A notice came to the platform.
    Notice {
        /// From whom.
        sender: usize,
        /// The message.
        id: String,
        /// `undeliverable` or `deferred`.
        status: String,
    },
    /// Discovery wrote an endpoint's state to a sender.
    Told {
        /// To whom.
        sender: usize,
        /// The endpoint's name.
        endpoint: String,
        /// `active`, `leaving` or `left`.
        status: String,
    },
    /// A sender asked for the list.
    ListCall {
        /// Which.
        sender: usize,
        /// It is a watch, which may be held.
        held: bool,
        /// 200 if it was borne, 503 if it was turned away, 0 if the service is silent.
        status: u16,
    },
    /// A sender opened a connection to an endpoint.
    Connected {
        /// Which.
        sender: usize,
        /// The endpoint's name.
        endpoint: String,
    },
    /// A destination came back from an outage, cold.
    Cold {
        /// The destination.
        dest: u16,
    },
    /// A destination was sent more than it can bear on its cold return, and stays down.
    Fell {
        /// The destination.
        dest: u16,
        /// Calls within the window by sender, and whether that one had seen it fail.
        by: Vec<(usize, u64, bool)>,
    },
    /// A fault begins or ends.
    Fault {
        /// Its number in the schedule.
        number: usize,
        /// It begins.
        on: bool,
        /// In words.
        what: String,
        /// It separates senders from each other altogether.
        #[serde(default)]
        cuts: bool,
    },
    /// What a sender says of the fleet, where it keeps a view.
    View {
        /// Whose view.
        sender: usize,
        /// Of its processes.
        generation: u32,
        /// A letter for each member: joining, alive, suspect, dead, left.
        states: String,
        /// The same for views that are the same.
        digest: String,
        /// It hears nobody.
        isolated: bool,
        /// It sees at most half.
        minority: bool,
    },
    /// A process was started.
    Started {
        /// The sender.
        sender: usize,
        /// Of its processes, from 0.
        generation: u32,
        /// The folder was emptied before.
        empty: bool,
    },
    /// A process answers that it takes clients.
    Ready {
        /// The sender.
        sender: usize,
        /// Of its processes.
        generation: u32,
    },
    /// A process was sent a signal.
    Signal {
        /// The sender.
        sender: usize,
        /// Of its processes.
        generation: u32,
        /// Its name.
        signal: String,
    },
    /// A process ended.
    Ended {
        /// The sender.
        sender: usize,
        /// Of its processes.
        generation: u32,
        /// Whether that was asked for.
        asked: Asked,
        /// The exit code, if it ended by itself.
        code: Option<i32>,
    },
    /// A sender is not to come back in this run.
    Away {
        /// The sender.
        sender: usize,
    },
    /// A datagram over the limit was sent.
    Oversize {
        /// By whom.
        sender: usize,
        /// Its size.
        bytes: usize,
    },
    /// Datagrams of a second, all links together.
    Datagrams {
        /// Sent by senders.
        sent: u64,
        /// Bytes sent.
        bytes: u64,
        /// That reached the other end, repeats among them.
        arrived: u64,
        /// Given up because too many were under way.
        overflow: u64,
    },
    /// A session's message was taken on.
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
    /// A session asked what became of some of its messages; the time is when the answer had come.
    Read {
        /// The session.
        session: usize,
        /// Its plan.
        plan: usize,
        /// Who was asked.
        sender: usize,
        /// When.
        sent: Micros,
        /// HTTP status; 0 where no answer came.
        status: u16,
        /// Tokens went with it, which cover what the session has written and was told from then on.
        since: Option<Micros>,
        /// A token came back.
        given: bool,
        /// The messages that were asked for.
        asked: Vec<String>,
        /// What was told of them.
        rows: Vec<Row>,
        /// It says that parts are missing.
        partial: bool,
        /// It says that it is less than the plan has.
        less: bool,
        /// Senders whose parts it says are missing.
        missing: Vec<usize>,
        /// The logs that it says it was made from.
        logs: Vec<Log>,
    },
    /// The run's end; nothing is overdue that has its time after it.
    Over,
}

/// A message, as a sender told what it knows of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The `Req-Id`.
    pub id: String,
    /// What has happened to it, as a set: taken 1, calling 2, deferred 4, undeliverable 8, unknown 16, delivered 32.
    pub states: u8,
    /// Calls begun.
    pub attempts: u16,
}

/// A sender's log, as an answer says that it was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// Whose.
    pub owner: usize,
    /// All is in it that had happened there by then.
    pub as_of: Micros,
    /// What was taken on before may have been left out.
    pub known_since: Micros,
}

/// What an answer says of one message.
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

/// An entry of the history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When.
    pub t: Micros,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// The history's first line: what was played, with the figures that the rules need.
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
    /// Attempts for a message at most.
    pub try_limit: usize,
    /// Nothing new goes to an endpoint so long after the sender was told that it drains or is gone.
    pub drain_grace: Micros,
    /// The period of the senders' view of the fleet, where they keep one.
    #[serde(default)]
    pub view_period: Option<Micros>,
    /// The plans of those who read, where there are any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub plans: Vec<reads::PlanRules>,
}

/// Takes down what outsiders see, from any task, without waiting.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    entries: SyncSender<Entry>,
    dropped: Arc<AtomicU64>,
    lateness: Arc<Mutex<Histogram<u64>>>,
}

impl Recorder {
    /// Begins a history in a file; it ends with [`What::Over`].
    ///
    /// # Errors
    /// Fails when the file can't be made.
    pub fn begin(path: &Path, head: &Head) -> io::Result<(Self, JoinHandle<io::Result<()>>)> {
        let mut file = BufWriter::new(File::create(path)?);
        serde_json::to_writer(&mut file, head)?;
        file.write_all(b"\n")?;
        let (entries, taken) = sync_channel::<Entry>(WAITING);
        let writer = std::thread::spawn(move || {
            for entry in taken {
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

    /// The time of the run.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// That time for timers.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + std::time::Duration::from_micros(at))
    }

    /// Waits until then, and takes down how much later it became.
    pub async fn until(&self, at: Micros) {
        if at <= self.now() {
            return;
        }
        tokio::time::sleep_until(self.instant(at)).await;
        self.late(self.now().saturating_sub(at));
    }

    /// The bench was so much later with something than it should have been.
    pub fn late(&self, by: Micros) {
        if let Ok(mut lateness) = self.lateness.lock() {
            lateness.saturating_record(by);
        }
    }

    /// Lateness of the bench itself, microseconds: median, 99th percentile, most.
    pub fn lateness(&self) -> [u64; 3] {
        let lateness = self.lateness.lock();
        lateness.map_or([0; 3], |l| [l.value_at_quantile(0.5), l.value_at_quantile(0.99), l.max()])
    }

    /// Entries that could not be kept.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Takes something down that was seen now.
    pub fn see(&self, what: What) {
        self.saw(self.now(), what);
    }

    /// Takes something down that was seen then.
    pub fn saw(&self, t: Micros, what: What) {
        if self.entries.try_send(Entry { t, what }).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A history as it stands in a file.
#[derive(Debug, Clone)]
pub struct History {
    /// What was played.
    pub head: Head,
    /// What was seen, in order of time.
    pub entries: Vec<Entry>,
}

impl History {
    /// Reads one.
    ///
    /// # Errors
    /// Fails, naming the line, when one can't be read.
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

    /// Puts entries in order: tasks take them down a little out of it.
    pub fn new(head: Head, mut entries: Vec<Entry>) -> Self {
        entries.sort_by_key(|entry: &Entry| entry.t);
        Self { head, entries }
    }
}
