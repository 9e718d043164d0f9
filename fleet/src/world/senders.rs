//! The senders, as real processes of any binary. Each has its own folder, configuration and addresses.
//! Signals go only to processes that this run started, each from the task that holds the process unreaped.
//! The kernel kills all of them when this process ends, however it ends.

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

/// Time from SIGTERM to SIGKILL; [`BACK_AFTER`] is the time from there to the next start.
pub const TERM_TO_KILL: Duration = Duration::from_millis(3700);
/// See [`TERM_TO_KILL`].
pub const BACK_AFTER: Duration = Duration::from_millis(600);
/// Time limit for a process to accept clients after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two readiness checks of a starting process.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum readiness checks per second over all senders that start together.
const MAX_CHECKS_PER_S: u32 = 3_000;
/// Above this number the senders run at a lower priority than the bench: they may use the whole machine
/// except for what the bench needs to be in time.
const MAX_AT_OWN_PRIORITY: usize = 30;
/// Niceness that lowers their priority.
const NICENESS: &str = "15";
/// Number of threads that start processes: a start takes a millisecond or more.
const LAUNCHERS: usize = 4;
/// Last lines of a log that a failure shows.
const LAST_LINES: usize = 8;
/// Bytes read from the end of a log for [`LAST_LINES`].
const LAST_BYTES: u64 = 16 * 1024;

/// Why a sender does not accept clients.
#[derive(Debug, thiserror::Error)]
pub enum NotReady {
    /// The process could not be started.
    #[error("sender {sender} can't be started: {why}")]
    Unstarted {
        /// Its number.
        sender: usize,
        /// The system's error.
        why: io::Error,
    },
    /// The process ended before it was ready.
    #[error("sender {sender} ended before it was ready; its last lines:\n{lines}")]
    Ended {
        /// Its number.
        sender: usize,
        /// The end of its log.
        lines: String,
    },
    /// It was not ready in time.
    #[error("sender {sender} is not ready in 30 s; its last lines:\n{lines}")]
    Late {
        /// Its number.
        sender: usize,
        /// The end of its log.
        lines: String,
    },
}

coded_error! { NotReady {
    Unstarted => "fleet.unstarted", "check that the program exists and that more processes can be started";
    Ended => "fleet.ended", "read its last log lines: they name the key, the address or the folder";
    Late => "fleet.late", "run fewer senders, or use a machine with less load";
} }

/// A block of loopback addresses that belongs to this run alone, whatever else runs on the machine.
pub struct Block {
    net: [u8; 3],
    _claims: [TcpListener; 2],
}

/// Senders with addresses in one subnet of 254.
const PER_SUBNET: usize = 200;
/// Senders that can have their own addresses in a [`Block`].
pub const ADDRESSES: usize = 2 * PER_SUBNET;

impl Block {
    /// Claims a free block.
    ///
    /// # Errors
    /// Fails when none was free in 64 attempts.
    pub fn claim() -> io::Result<Self> {
        let mut rng = rand::rng();
        let mut last = io::Error::other("none was tried");
        for _ in 0..64 {
            let net = [127, rng.random_range(64..=250), 2 * rng.random_range(0..=127)];
            // The run that has this port bound owns the subnet; the system frees the port with the process.
            let claim =
                |more: u8| TcpListener::bind((Ipv4Addr::new(net[0], net[1], net[2] + more, 254), 7999));
            match (claim(0), claim(1)) {
                (Ok(one), Ok(other)) => return Ok(Self { net, _claims: [one, other] }),
                (Err(e), _) | (_, Err(e)) => last = e,
            }
        }
        Err(last)
    }

    /// The address of everything that is not a sender.
    pub fn world(&self) -> IpAddr {
        Ipv4Addr::new(self.net[0], self.net[1], self.net[2], 253).into()
    }

    /// The address of a sender's host.
    fn host(&self, sender: usize) -> IpAddr {
        let (subnet, n) = (sender / PER_SUBNET, sender % PER_SUBNET + 1);
        Ipv4Addr::new(self.net[0], self.net[1], self.net[2] + subnet as u8, n as u8).into()
    }

    /// Where a sender listens for clients.
    pub fn listen(&self, sender: usize) -> SocketAddr {
        (self.host(sender), 9000).into()
    }

    /// Where a sender listens for its peers.
    pub fn peer_listen(&self, sender: usize) -> SocketAddr {
        (self.host(sender), 7946).into()
    }

    /// Management address of one of a sender's processes.
    pub fn mgmt(&self, sender: usize, generation: u32) -> SocketAddr {
        (self.host(sender), 9100 + (generation % 200) as u16).into()
    }
}

/// The tenants, each with a quota sufficient for all messages: the usual one, and those of the sessions.
fn tenants(scenario: &Scenario) -> Value {
    let named = scenario.sessions.iter().map(|sessions| sessions.tenant.as_str());
    let all: BTreeSet<&str> = named.chain([TENANT]).collect();
    let part = 1.0 / all.len() as f64;
    let tenant = |name: &&str| json!({"name": name, "quota_per_s": 10_000.0, "fraction": part});
    all.iter().map(tenant).collect()
}

/// The settings common to all senders, in the protocol's form.
pub fn settings(scenario: &Scenario, zones: &[&str], kinds: &[&str]) -> Value {
    let class = |name: &str, effect: &str, times: crate::scenario::Times| {
        json!({"name": name, "effect": effect, "group": "all", "dedup_window_us": micros(times.window_s),
               "on_time_us": micros(times.aim_s), "hard_limit_us": micros(times.deadline_s),
               "importance": 1.0, "late_worth": 0.5, "stream": false})
    };
    json!({
        "classes": [class("notice", "by_key", scenario.notice),
                    class("disbursement", "once", scenario.disbursement)],
        "skus": kinds, "azs": zones, "balancers": scenario.senders, "period_us": 5000,
        "discovery": if scenario.discovery.asked { "ask" } else { "push" },
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

/// The addresses of a sender and of its peers.
pub struct Addresses {
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// Its discovery agent.
    pub discovery: SocketAddr,
    /// Where it listens for its peers.
    pub peer_listen: SocketAddr,
    /// The addresses at which it reaches all senders, itself included, by rank.
    pub peers: Vec<SocketAddr>,
    /// The address for datagrams to all of them.
    pub peers_all: SocketAddr,
}

/// A sender's configuration without `mgmt`, `known` and the sections of optional parts.
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

/// A process to be started, and the channel for the result.
type Launch = (Command, oneshot::Sender<io::Result<Child>>);

/// Starts the threads that start processes. A process is killed when the thread that started it ends, so
/// these threads live as long as the run. Starts on the runtime's own threads would block those meanwhile.
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

/// Folder, configuration and socket of a sender's processes.
pub struct Place {
    /// Its folder, with its configuration, its log and its state folder.
    pub folder: PathBuf,
    /// Its configuration without `mgmt` and `known`.
    pub config: Value,
    /// The listening socket for clients, where the platform holds it.
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
    /// Creates the senders without starting them; `known` gives the list that a sender starts with.
    ///
    /// # Errors
    /// Fails when a thread can't be started.
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

    /// Starts a process and waits until it accepts clients, or until it is asked to end.
    ///
    /// # Errors
    /// Fails, with the last lines of its log, when it does not start, ends, or is not ready in time.
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
        let (result, started) = oneshot::channel();
        let _ = self.launch.send((command, result));
        let no_launcher = || io::Error::other("the launcher threads have ended");
        let mut child = started.await.unwrap_or_else(|_| Err(no_launcher())).map_err(failed)?;
        self.recorder.see(What::Started { sender, generation, empty });
        // The sender knows the list that it starts with; it may lack what was written to its dead
        // predecessor.
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
                        send_signal(&child, signal);
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
        let every = CHECK_INTERVAL.max(Duration::from_secs(1) * self.places.len() as u32 / MAX_CHECKS_PER_S);
        let ready = async {
            while !ready(mgmt).await {
                if let Some(asked) = *ended.borrow() {
                    return Err(asked);
                }
                tokio::time::sleep(every).await;
            }
            Ok(())
        };
        match tokio::time::timeout(READY_TIMEOUT, ready).await {
            Ok(Ok(())) => {
                self.recorder.see(What::Ready { sender, generation });
                Ok(())
            }
            Ok(Err(Asked::Kill | Asked::Terminate)) => Ok(()),
            failed => {
                let lines = last_lines(&log);
                let ended = failed.is_ok();
                Err(if ended { NotReady::Ended { sender, lines } } else { NotReady::Late { sender, lines } })
            }
        }
    }

    #[allow(unsafe_code)]
    fn command(&self, place: &Place, config: &Path, state: &Path, output: File) -> io::Result<Command> {
        let mut command = match &place.held {
            None if self.places.len() > MAX_AT_OWN_PRIORITY => {
                // `setpriv` sets the death signal and then execs the sender. A pre_exec hook would need a
                // fork, which copies the bench's page tables for each start while the whole bench stands
                // still.
                let mut nice = Command::new("setpriv");
                nice.args(["--pdeathsig", "KILL", "nice", "-n", NICENESS]).arg(&self.binary);
                nice
            }
            None => Command::new(&self.binary),
            Some(listener) => {
                // The socket is passed as descriptor 3, as the platform does.
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
        // The log lets `explain` show each message's way; the sender itself limits its rate.
        command.env("NODE_LOG", self.log.name()).env("NODE_LOG_FORM", "json");
        command.env("NODE_CONFIG", config).env("NODE_STATE", state);
        command.stdout(output.try_clone()?).stderr(output).kill_on_drop(true);
        if place.held.is_some() || self.places.len() <= MAX_AT_OWN_PRIORITY {
            // SAFETY: between fork and exec only this one system call is made, and it allocates nothing.
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

    /// Sends SIGTERM, and SIGKILL if the process has not ended after [`TERM_TO_KILL`].
    pub async fn terminate(&self, sender: usize) {
        let Some(process) = self.process(sender) else { return };
        stop(process).await;
    }

    /// Starts a new process beside the old one, which is asked to end once the new one accepts clients.
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

    /// Whether a sender's newest process still runs.
    pub fn running(&self, sender: usize) -> bool {
        self.process(sender).is_some_and(|process| process.ended.borrow().is_none())
    }

    /// The process id of a sender's newest process while that runs.
    pub fn id(&self, sender: usize) -> Option<u32> {
        self.process(sender).filter(|process| process.ended.borrow().is_none())?.id
    }

    /// Management address and number of a sender's newest process.
    pub fn mgmt(&self, sender: usize) -> Option<(SocketAddr, u32)> {
        let generation = self.process(sender)?.generation;
        Some(((self.mgmt)(sender, generation), generation))
    }

    /// The last lines of a sender's log.
    pub fn last_lines(&self, sender: usize) -> String {
        last_lines(&self.places[sender].folder.join("log"))
    }

    /// Kills all running processes and waits for their end.
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

fn send_signal(child: &Child, signal: Signal) {
    // A reaped child has no id, so a reused process id is never signalled.
    if let Some(id) = child.id().and_then(|id| i32::try_from(id).ok()) {
        let _ = kill(Pid::from_raw(id), signal);
    }
}

async fn ready(mgmt: SocketAddr) -> bool {
    let call = async {
        let mut stream = TcpStream::connect(mgmt).await.ok()?;
        stream.write_all(b"GET /control/ready HTTP/1.1\r\nHost: mgmt\r\n\r\n").await.ok()?;
        let mut status = [0; 12];
        stream.read_exact(&mut status).await.ok()?;
        status.starts_with(b"HTTP/1.1 200").then_some(())
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

/// Maximum duration of a restart.
pub fn max_restart_time() -> Micros {
    (TERM_TO_KILL + BACK_AFTER + READY_TIMEOUT).as_micros() as Micros
}
