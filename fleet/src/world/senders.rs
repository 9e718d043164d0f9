//! The senders, as real processes of any binary. Each has a folder, a configuration and addresses of its own.
//! Only processes that this run started are sent signals, each by the task that holds it unreaped; and the
//! system kills them when this process ends, by whichever way.

use std::collections::BTreeSet;
use std::fs::{File, OpenOptions};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::RngExt;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::{mpsc, oneshot, watch};

use super::clients::TENANT;
use super::endpoints::{BATCH, FALL_FOR, FALL_MULTIPLE, SLOTS, TRY_LIMIT};
use crate::ledger::{Asked, Recorder, What};
use crate::scenario::{LogLevel, Scenario};
use crate::{Micros, coded_error, micros};

/// From SIGTERM to SIGKILL, and from there to the next start.
pub const TERM_TO_KILL: Duration = Duration::from_millis(3700);
/// See [`TERM_TO_KILL`].
pub const BACK_AFTER: Duration = Duration::from_millis(600);
/// A process has so long until it takes clients.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// Between two looks at it.
const LOOK: Duration = Duration::from_millis(20);
/// Looks a second at all senders that start together, at most.
const LOOKS_PER_S: u32 = 3_000;
/// Beyond so many senders they run below the bench's own priority: the machine is theirs but for what the
/// bench needs to be in time.
const MANY: usize = 30;
/// By so much.
const NICER: &str = "15";
/// Threads that start processes: a start takes a millisecond or more.
const LAUNCHERS: usize = 4;
/// Lines of a log that a failure shows.
const LAST_LINES: usize = 8;
/// Bytes of a log's end that are read for that.
const LAST_BYTES: u64 = 16 * 1024;

/// Why a sender does not take clients.
#[derive(Debug, thiserror::Error)]
pub enum NotReady {
    /// There is no process.
    #[error("sender {sender} can't be started: {why}")]
    Unstarted {
        /// Its number.
        sender: usize,
        /// What the machine says.
        why: io::Error,
    },
    /// The process went.
    #[error("sender {sender} ended before it was ready; its last lines:\n{lines}")]
    Ended {
        /// Its number.
        sender: usize,
        /// The end of its log.
        lines: String,
    },
    /// It took longer than it has.
    #[error("sender {sender} is not ready in 30 s; its last lines:\n{lines}")]
    Late {
        /// Its number.
        sender: usize,
        /// The end of its log.
        lines: String,
    },
}

coded_error! { NotReady {
    Unstarted => "fleet.unstarted", "see that the program is there, and that the machine has room for processes";
    Ended => "fleet.ended", "read its last lines: they name the key, the address or the folder";
    Late => "fleet.late", "play with fewer senders, or on a machine with less to do";
} }

/// A piece of the loopback range that is this run's alone, whatever runs beside it.
pub struct Block {
    net: [u8; 3],
    _claims: [TcpListener; 2],
}

/// Senders that have their addresses in one piece of 254.
const IN_ONE: usize = 200;
/// Senders that have addresses of their own in a [`Block`].
pub const ADDRESSES: usize = 2 * IN_ONE;

impl Block {
    /// Claims one.
    ///
    /// # Errors
    /// Fails when none is free.
    pub fn claim() -> io::Result<Self> {
        let mut rng = rand::rng();
        let mut last = io::Error::other("none was tried");
        for _ in 0..64 {
            let net = [127, rng.random_range(64..=250), 2 * rng.random_range(0..=127)];
            // Whoever holds this port holds the piece; the system frees it with the process.
            let claim =
                |more: u8| TcpListener::bind((Ipv4Addr::new(net[0], net[1], net[2] + more, 254), 7999));
            match (claim(0), claim(1)) {
                (Ok(one), Ok(other)) => return Ok(Self { net, _claims: [one, other] }),
                (Err(e), _) | (_, Err(e)) => last = e,
            }
        }
        Err(last)
    }

    /// The address of all that is not a sender.
    pub fn world(&self) -> IpAddr {
        Ipv4Addr::new(self.net[0], self.net[1], self.net[2], 253).into()
    }

    /// The address of a sender's host.
    fn host(&self, sender: usize) -> IpAddr {
        let (piece, n) = (sender / IN_ONE, sender % IN_ONE + 1);
        Ipv4Addr::new(self.net[0], self.net[1], self.net[2] + piece as u8, n as u8).into()
    }

    /// Where a sender takes clients.
    pub fn listen(&self, sender: usize) -> SocketAddr {
        (self.host(sender), 9000).into()
    }

    /// Where a sender hears others.
    pub fn peer_listen(&self, sender: usize) -> SocketAddr {
        (self.host(sender), 7946).into()
    }

    /// Where operators call one of a sender's processes.
    pub fn mgmt(&self, sender: usize, generation: u32) -> SocketAddr {
        (self.host(sender), 9100 + (generation % 200) as u16).into()
    }
}

/// The tenants, each with room for all: the usual one, and those of the sessions.
fn tenants(scenario: &Scenario) -> Value {
    let named = scenario.sessions.iter().map(|sessions| sessions.tenant.as_str());
    let all: BTreeSet<&str> = named.chain([TENANT]).collect();
    let part = 1.0 / all.len() as f64;
    let tenant = |name: &&str| json!({"name": name, "quota_per_s": 10_000.0, "fraction": part});
    all.iter().map(tenant).collect()
}

/// The settings that all senders have, in the protocol's form.
pub fn settings(scenario: &Scenario, zones: &[&str], kinds: &[&str]) -> Value {
    let class = |name: &str, effect: &str, times: crate::scenario::Times| {
        json!({"name": name, "effect": effect, "group": "all", "dedup_window_us": micros(times.window_s),
               "on_time_us": micros(times.aim_s), "hard_limit_us": micros(times.deadline_s),
               "importance": 1.0, "late_worth": 0.5, "stream": false})
    };
    json!({
        "classes": [class("notice", "by_key", scenario.notice),
                    class("disbursement", "once", scenario.disbursement)],
        "skus": kinds, "azs": zones, "balancers": scenario.senders, "period_us": 5000, "discovery": if scenario.discovery.asked { "ask" } else { "push" },
        "family_info": {"bundle_max": [BATCH, 1], "calls_out": SLOTS, "decay": "halves",
                        "own_limits": [false, false], "turned_away_price": 0.05, "toll": [0.0, 0.0]},
        "limits": {"max_open": 400, "try_limit": TRY_LIMIT, "connect_timeout_us": 1_000_000,
                   "idle_close_us": 5_000_000, "max_retry_after_us": 3_000_000, "second_copies": true,
                   "cancelling": true, "probing": true, "peers": true, "retry_after": true},
        "load_report": {"fields": ["x0", "x1"], "how": "answers"},
        "charges": {"probe": 0.01},
        "realms": tenants(scenario),
        "over_share_worth": 0.1, "weights": "rough", "value_by": "request", "workload": "deliver",
        "obligations": {"answer_slack_us": 20_000, "cold_share": scenario.partners.cold_share,
                        "warm_within_us": micros(scenario.partners.warm_s).max(1),
                        "fall_multiple": FALL_MULTIPLE, "overload_for_us": FALL_FOR,
                        "stop_sending_within_us": 2_000_000}})
}

/// Where a sender is, and whom it talks to.
pub struct Addresses {
    /// Where it takes clients.
    pub listen: SocketAddr,
    /// Its agent for the list.
    pub discovery: SocketAddr,
    /// Where it hears others.
    pub peer_listen: SocketAddr,
    /// All senders as it reaches them, itself among them, by rank.
    pub peers: Vec<SocketAddr>,
    /// Where a note to all of them goes.
    pub peers_all: SocketAddr,
}

/// A sender's configuration but for `mgmt`, `known` and the sections of optional parts.
pub fn document(sender: usize, seed: u64, at: &Addresses, settings: Value) -> Value {
    let text = |address: &SocketAddr| address.to_string();
    json!({
        "name": format!("n{sender}"), "listen": text(&at.listen), "discovery": text(&at.discovery),
        "seed": format!("{:016x}", seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ sender as u64),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "peer_listen": text(&at.peer_listen), "peers": at.peers.iter().map(text).collect::<Vec<_>>(),
        "peers_all": text(&at.peers_all), "settings": settings,
    })
}

/// A process of a sender.
#[derive(Clone)]
struct Process {
    id: Option<u32>,
    generation: u32,
    orders: mpsc::UnboundedSender<(Signal, Asked)>,
    ended: watch::Receiver<Option<Asked>>,
}

/// A process that is to be started, and who waits for it.
type Launch = (Command, oneshot::Sender<io::Result<Child>>);

/// Starts threads that start processes. A process ends with the thread that started it, so that these live as
/// long as the run; the runtime's own would stand still meanwhile.
fn launchers() -> io::Result<std::sync::mpsc::Sender<Launch>> {
    let (orders, ordered) = std::sync::mpsc::channel::<Launch>();
    let ordered = Arc::new(Mutex::new(ordered));
    for _ in 0..LAUNCHERS {
        let (ordered, runtime) =
            (ordered.clone(), tokio::runtime::Handle::try_current().map_err(io::Error::other)?);
        std::thread::Builder::new().name("launcher".into()).spawn(move || {
            let _inside = runtime.enter();
            loop {
                let next = ordered.lock().ok().and_then(|ordered| ordered.recv().ok());
                let Some((mut command, started)) = next else { return };
                let _ = started.send(command.spawn());
            }
        })?;
    }
    Ok(orders)
}

/// What is needed to start a sender's processes.
pub struct Place {
    /// Its folder, with its configuration, its log and what lasts.
    pub folder: PathBuf,
    /// Its configuration but for `mgmt` and `known`.
    pub config: Value,
    /// The socket for clients, where the platform holds it.
    pub held: Option<TcpListener>,
}

/// All senders of a run.
pub struct Tier {
    binary: PathBuf,
    places: Vec<Place>,
    mgmt: Box<dyn Fn(usize, u32) -> SocketAddr + Send + Sync>,
    known: Box<dyn Fn(usize) -> Value + Send + Sync>,
    recorder: Recorder,
    current: Vec<Mutex<Option<Process>>>,
    started: Vec<Mutex<u32>>,
    log: LogLevel,
    launch: std::sync::mpsc::Sender<Launch>,
}

impl Tier {
    /// Senders that are not started yet; `known` tells the list that one starts with.
    ///
    /// # Errors
    /// Fails when a thread can't be had.
    pub fn new(
        binary: PathBuf,
        places: Vec<Place>,
        mgmt: impl Fn(usize, u32) -> SocketAddr + Send + Sync + 'static,
        known: impl Fn(usize) -> Value + Send + Sync + 'static,
        recorder: Recorder,
        log: LogLevel,
    ) -> io::Result<Self> {
        let launch = launchers()?;
        let current = places.iter().map(|_| Mutex::default()).collect();
        let started = places.iter().map(|_| Mutex::default()).collect();
        let (mgmt, known) = (Box::new(mgmt), Box::new(known));
        Ok(Self { binary, places, mgmt, known, recorder, current, started, log, launch })
    }

    /// Starts a process and waits until it takes clients, or until it is asked to end.
    ///
    /// # Errors
    /// Tells, with its last lines, that it does not start, ends, or is not ready in time.
    pub async fn start(&self, sender: usize, empty: bool) -> Result<(), NotReady> {
        let place = &self.places[sender];
        let generation = self.started[sender].lock().map_or(0, |mut started| {
            *started += 1;
            *started - 1
        });
        let failed = |why: io::Error| NotReady::Unstarted { sender, why };
        let state = place.folder.join("state");
        if empty && state.exists() {
            std::fs::remove_dir_all(&state).map_err(failed)?;
        }
        std::fs::create_dir_all(&state).map_err(failed)?;
        let mgmt = (self.mgmt)(sender, generation);
        let mut config = place.config.clone();
        config["mgmt"] = json!(mgmt.to_string());
        config["known"] = (self.known)(sender);
        let file = place.folder.join("config.json");
        std::fs::write(&file, config.to_string()).map_err(failed)?;
        let log = place.folder.join("log");
        let output = OpenOptions::new().create(true).append(true).open(&log).map_err(failed)?;
        let command = self.command(place, &file, &state, output).map_err(failed)?;
        let (told, started) = oneshot::channel();
        let _ = self.launch.send((command, told));
        let gone = || io::Error::other("nobody is left to start it");
        let mut child = started.await.unwrap_or_else(|_| Err(gone())).map_err(failed)?;
        self.recorder.see(What::Started { sender, generation, empty });
        // The list that it starts with is told; what was written to a process that had died was not.
        for listed in config["known"]["endpoints"].as_array().into_iter().flatten() {
            let text = |key: &str| listed[key].as_str().unwrap_or_default().to_owned();
            self.recorder.see(What::Told { sender, endpoint: text("name"), status: text("status") });
        }
        let id = child.id();
        let (orders, mut ordered) = mpsc::unbounded_channel::<(Signal, Asked)>();
        let (end, ended) = watch::channel(None);
        let recorder = self.recorder.clone();
        tokio::spawn(async move {
            let mut asked = Asked::No;
            let code = loop {
                tokio::select! {
                    status = child.wait() => break status.ok().and_then(|status| status.code()),
                    Some((signal, how)) = ordered.recv() => {
                        asked = if how == Asked::No { asked } else { how };
                        recorder.see(What::Signal { sender, generation, signal: signal.to_string() });
                        signalled(&child, signal);
                    }
                }
            };
            recorder.see(What::Ended { sender, generation, asked, code });
            end.send_replace(Some(asked));
        });
        let process = Process { id, generation, orders, ended: ended.clone() };
        if let Ok(mut current) = self.current[sender].lock() {
            *current = Some(process);
        }
        let every = LOOK.max(Duration::from_secs(1) * self.places.len() as u32 / LOOKS_PER_S);
        let ready = async {
            while !ready(mgmt).await {
                if let Some(asked) = *ended.borrow() {
                    return Err(asked);
                }
                tokio::time::sleep(every).await;
            }
            Ok(())
        };
        match tokio::time::timeout(READY_WITHIN, ready).await {
            Ok(Ok(())) => {
                self.recorder.see(What::Ready { sender, generation });
                Ok(())
            }
            Ok(Err(Asked::Kill | Asked::Terminate)) => Ok(()),
            told => {
                let lines = last_lines(&log);
                let ended = told.is_ok();
                Err(if ended { NotReady::Ended { sender, lines } } else { NotReady::Late { sender, lines } })
            }
        }
    }

    #[allow(unsafe_code)]
    fn command(&self, place: &Place, config: &Path, state: &Path, output: File) -> io::Result<Command> {
        let mut command = match &place.held {
            None if self.places.len() > MANY => {
                // Programs that set this before they become the sender spare the bench a copy of its tables
                // for each, during which all of it stands still.
                let mut nice = Command::new("setpriv");
                nice.args(["--pdeathsig", "KILL", "nice", "-n", NICER]).arg(&self.binary);
                nice
            }
            None => Command::new(&self.binary),
            Some(listener) => {
                // The socket is handed down as descriptor 3, as the platform does.
                let mut shell = Command::new("sh");
                shell.args(["-c", "exec \"$0\" 3<&0 </dev/null"]).arg(&self.binary);
                shell.stdin(Stdio::from(OwnedFd::from(listener.try_clone()?))).env("NODE_LISTEN_FD", "3");
                shell
            }
        };
        if place.held.is_none() {
            command.stdin(Stdio::null()).env_remove("NODE_LISTEN_FD");
        }
        for name in ["NODE_LISTEN", "NODE_MGMT", "NODE_DISCOVERY", "NODE_NAME"] {
            command.env_remove(name);
        }
        // What each message met, for whoever asks later; bounded in rate by the sender itself.
        command.env("NODE_LOG", self.log.name()).env("NODE_LOG_FORM", "json");
        command.env("NODE_CONFIG", config).env("NODE_STATE", state);
        command.stdout(output.try_clone()?).stderr(output).kill_on_drop(true);
        if place.held.is_some() || self.places.len() <= MANY {
            // SAFETY: between fork and exec only this one system call is made, which allocates nothing.
            unsafe {
                command.pre_exec(|| nix::sys::prctl::set_pdeathsig(Signal::SIGKILL).map_err(io::Error::from));
            }
        }
        Ok(command)
    }

    fn process(&self, sender: usize) -> Option<Process> {
        self.current[sender].lock().ok()?.clone()
    }

    /// Sends a signal to a sender's newest process.
    pub fn signal(&self, sender: usize, signal: Signal) {
        let asked = match signal {
            Signal::SIGTERM => Asked::Terminate,
            Signal::SIGKILL => Asked::Kill,
            _ => Asked::No,
        };
        if let Some(process) = self.process(sender) {
            let _ = process.orders.send((signal, asked));
        }
    }

    /// Kills a sender's newest process and waits for its end.
    pub async fn kill(&self, sender: usize) {
        if let Some(mut process) = self.process(sender) {
            let _ = process.orders.send((Signal::SIGKILL, Asked::Kill));
            let _ = process.ended.wait_for(Option::is_some).await;
        }
    }

    /// SIGTERM, and SIGKILL if it has not ended in its time.
    pub async fn terminate(&self, sender: usize) {
        let Some(process) = self.process(sender) else { return };
        stop(process).await;
    }

    /// Starts a new process beside the old one, which is asked to end once the new one takes clients.
    ///
    /// # Errors
    /// As [`Tier::start`].
    pub async fn hand_over(&self, sender: usize) -> Result<(), NotReady> {
        let before = self.process(sender);
        self.start(sender, false).await?;
        if let Some(before) = before {
            stop(before).await;
        }
        Ok(())
    }

    /// Whether every sender's newest process still runs.
    pub fn running(&self, sender: usize) -> bool {
        self.process(sender).is_some_and(|process| process.ended.borrow().is_none())
    }

    /// The system's number of a sender's newest process while that runs.
    pub fn id(&self, sender: usize) -> Option<u32> {
        self.process(sender).filter(|process| process.ended.borrow().is_none())?.id
    }

    /// Where operators call a sender's newest process, and its number.
    pub fn mgmt(&self, sender: usize) -> Option<(SocketAddr, u32)> {
        let generation = self.process(sender)?.generation;
        Some(((self.mgmt)(sender, generation), generation))
    }

    /// The last lines of a sender's log.
    pub fn last_lines(&self, sender: usize) -> String {
        last_lines(&self.places[sender].folder.join("log"))
    }

    /// Kills all that run and waits for their end.
    pub async fn end(&self) {
        for sender in (0..self.places.len()).filter(|sender| self.running(*sender)) {
            self.signal(sender, Signal::SIGKILL);
        }
        for sender in (0..self.places.len()).filter(|sender| self.running(*sender)) {
            self.kill(sender).await;
        }
    }
}

async fn stop(mut process: Process) {
    let _ = process.orders.send((Signal::SIGTERM, Asked::Terminate));
    let ended = process.ended.wait_for(Option::is_some);
    if tokio::time::timeout(TERM_TO_KILL, ended).await.is_err() {
        let _ = process.orders.send((Signal::SIGKILL, Asked::Kill));
        let _ = process.ended.wait_for(Option::is_some).await;
    }
}

fn signalled(child: &Child, signal: Signal) {
    // A child that was reaped has no id, so that no stranger's is ever named.
    if let Some(id) = child.id().and_then(|id| i32::try_from(id).ok()) {
        let _ = kill(Pid::from_raw(id), signal);
    }
}

async fn ready(mgmt: SocketAddr) -> bool {
    let call = async {
        let mut stream = TcpStream::connect(mgmt).await.ok()?;
        stream.write_all(b"GET /control/ready HTTP/1.1\r\nHost: mgmt\r\n\r\n").await.ok()?;
        let mut told = [0; 12];
        stream.read_exact(&mut told).await.ok()?;
        told.starts_with(b"HTTP/1.1 200").then_some(())
    };
    matches!(tokio::time::timeout(Duration::from_secs(1), call).await, Ok(Some(())))
}

fn last_lines(log: &Path) -> String {
    use std::io::{Read, Seek, SeekFrom};
    let read = || -> io::Result<String> {
        let mut file = File::open(log)?;
        let size = file.metadata()?.len();
        file.seek(SeekFrom::Start(size.saturating_sub(LAST_BYTES)))?;
        let mut bytes = Vec::new();
        file.take(LAST_BYTES).read_to_end(&mut bytes)?;
        let text = String::from_utf8_lossy(&bytes);
        let lines: Vec<&str> = text.lines().collect();
        Ok(lines[lines.len().saturating_sub(LAST_LINES)..].join("\n"))
    };
    read().unwrap_or_else(|e| format!("(no log: {e})"))
}

/// The time in which a restart is over at the latest.
pub fn restart_most() -> Micros {
    (TERM_TO_KILL + BACK_AFTER + READY_WITHIN).as_micros() as Micros
}
