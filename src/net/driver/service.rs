//! The process around the event loop: what it opens at startup, the tasks that it runs beside the loop, the
//! loop itself, and the two ways in which it ends: on request, or because a new process takes over.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use myrtleyard::endpoints::reader::List;
use myrtleyard::interface::*;
use myrtleyard::policy::Policy;
use myrtleyard::start::Source;
use tokio::net::{TcpListener, UnixStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::super::calls::Calls;
use super::super::config::{Config, InForce};
use super::super::counters::Counters;
use super::super::errors::StartError;
use super::super::handover::{self, FolderLock, Predecessor, PreparedHandover};
use super::super::intake::Intake;
use super::super::journal::{self, Journal, Record};
use super::super::listing::list_version;
use super::super::memory::{BufferBudget, MemoryShares};
use super::super::mgmt::{self, Mgmt};
use super::super::parts::Parts;
use super::super::peers::Peers;
use super::super::platform::{self, Notice};
use super::super::working_set::WorkingSet;
use super::super::{Clock, Inbound, ServiceState};
use super::takeover::ReplicationState;
use super::{Driver, limits};

/// Pause after a failed takeover before the next one may ask, since sending the state is costly.
const OFFER_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How long a start waits for a folder that cannot be written, and the pause between two tries.
const JOURNAL_OPEN_TIMEOUT: Duration = Duration::from_secs(25);
const JOURNAL_OPEN_PAUSE: Duration = Duration::from_millis(50);
/// File descriptors that are used for neither clients nor endpoints.
const RESERVED_DESCRIPTORS: usize = 32;
/// Interval of checks while the process is stopping or a journal write has failed, microseconds.
const CHECK_INTERVAL: Micros = 50_000;
/// Longest time between two iterations, microseconds.
const MAX_IDLE: Micros = 60_000_000;

/// What the driver, the tasks beside it and the management calls share.
struct Channels {
    inbound: UnboundedSender<Inbound>,
    notices: UnboundedSender<Notice>,
    service_state: watch::Sender<ServiceState>,
    state_watch: watch::Receiver<ServiceState>,
    counters: Rc<Counters>,
}

/// Runs the sender until it was asked to shut down and has done so.
///
/// # Errors
/// Fails when it can't start, for example if an address or the journal can't be opened.
pub async fn run(
    config: Config,
    inherited: Option<std::net::TcpListener>,
    discovery: watch::Receiver<SocketAddr>,
    in_force: InForce,
    inbound: UnboundedSender<Inbound>,
    events: UnboundedReceiver<Inbound>,
) -> Result<(), StartError> {
    let (service_state, state_watch) = watch::channel(ServiceState::Starting);
    let counters = Rc::new(Counters::default());
    counters.register_classes(&config.names);
    let mgmt_address = open_mgmt(&config, &state_watch, &counters, in_force, &inbound).await?;
    let own_sockets = RESERVED_DESCRIPTORS + mgmt_address.map_or(0, |_| mgmt::PLACES);
    let max_connections = (config.sockets.saturating_sub(own_sockets) / 2).max(1);
    counters.set_memory_limit(config.memory);
    let (claim, predecessor) = claim(&config, inherited.is_some()).await?;
    let (name, folder, listen, seed) =
        (config.name.clone(), config.state.clone(), config.listen, config.seed);
    let journal = open_journal(&config.state, config.disk - Parts::room(&config)).await?;
    // With nothing owed there is no time to continue, and the wall clock may have been put right.
    let continues = predecessor.is_some() || !journal.pending().is_empty();
    let clock = Clock::continuing(journal.clock().filter(|_| continues));
    let clock = predecessor.as_ref().map_or(clock, |before| clock.advanced_to(before.state.now));
    let (notices, queued_notices) = unbounded_channel();
    let channels = Channels { inbound: inbound.clone(), notices, service_state, state_watch, counters };
    let (mut driver, initial_list) = Driver::open(config, max_connections, clock, journal, channels).await?;
    driver.pending_records.push(Record::Clock(clock.reference()));
    let (first, followed) = match predecessor {
        Some(predecessor) => {
            let (first, followed) = driver.take_over(predecessor, inbound.clone(), seed);
            (first, Some(followed))
        }
        None => (driver.start(initial_list), None),
    };
    driver.turn(first);

    // Clients waiting at an inherited socket are served by the processes that share it after this one has
    // ended.
    let owns_listener = inherited.is_none();
    let (listener, address) = open_listener(inherited, listen).await?;
    driver.service_state.send_replace(ServiceState::InService);
    let mut tasks = driver.spawn_tasks(&listener, discovery, queued_notices, seed);
    if claim.is_some() {
        // One handover at a time: what the previous process still reports is passed on to this process alone.
        tasks.push(tokio::task::spawn_local(await_successor(folder.clone(), inbound, followed)));
    }
    tracing::info!(
        memory = driver.memory_limit,
        client_connections = driver.max_clients,
        endpoint_connections = driver.connections,
        "limits in force"
    );
    let in_hand = driver.journal.pending().len();
    let mgmt_address = mgmt_address.map_or_else(String::new, |at| format!(", operators call at {at}"));
    tracing::info!("{name} is ready on {address} with {in_hand} messages in hand{mgmt_address}");
    let own_listener = owns_listener.then_some(listener);
    Service { driver, events, tasks, folder, claim, own_listener, iteration_began: Instant::now() }
        .serve()
        .await;
    Ok(())
}

/// Opens the management address, if one is configured, and returns the bound address.
async fn open_mgmt(
    config: &Config,
    state_watch: &watch::Receiver<ServiceState>,
    counters: &Rc<Counters>,
    in_force: InForce,
    inbound: &UnboundedSender<Inbound>,
) -> Result<Option<SocketAddr>, StartError> {
    let Some(address) = config.mgmt else { return Ok(None) };
    let failed = |why| StartError::Mgmt { address, why };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    let mgmt = Rc::new(Mgmt::new(state_watch.clone(), counters.clone(), in_force, inbound.clone()));
    tokio::task::spawn_local(mgmt.listen(listener));
    Ok(Some(bound))
}

/// Claims the state folder, if the platform starts new versions beside old ones. Returns the claim and the
/// process that held it.
async fn claim(
    config: &Config,
    shared: bool,
) -> Result<(Option<FolderLock>, Option<Predecessor>), StartError> {
    if !shared {
        return Ok((None, None));
    }
    let failed = |why| StartError::Folder { folder: config.state.clone(), why };
    let (claim, before) = handover::acquire_folder(&config.state).await.map_err(failed)?;
    Ok((Some(claim), before))
}

async fn open_listener(
    inherited: Option<std::net::TcpListener>,
    address: SocketAddr,
) -> Result<(Rc<TcpListener>, SocketAddr), StartError> {
    let failed = |why| StartError::Listen { address, why };
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener),
        None => TcpListener::bind(address).await,
    };
    let listener = listener.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((Rc::new(listener), bound))
}

/// Opens the journal. A folder that cannot be written for a while delays the start.
async fn open_journal(folder: &Path, limit: u64) -> Result<Journal, StartError> {
    let begun = Instant::now();
    loop {
        match Journal::open(folder, limit) {
            Ok(journal) => return Ok(journal),
            Err(why) if journal::may_pass(&why) && begun.elapsed() < JOURNAL_OPEN_TIMEOUT => {
                tracing::warn!("the journal can't be opened, trying again: {why}");
                tokio::time::sleep(JOURNAL_OPEN_PAUSE).await;
            }
            Err(why) => return Err(StartError::Journal { folder: folder.to_owned(), why }),
        }
    }
}

/// Waits for the next process to ask for the state folder, once `first` has ended.
async fn await_successor(folder: PathBuf, inbound: UnboundedSender<Inbound>, first: Option<JoinHandle<()>>) {
    if let Some(first) = first {
        let _ = first.await;
    }
    match handover::wait_for_successor(&folder).await {
        Ok(stream) => drop(inbound.send(Inbound::Successor(stream))),
        Err(e) => {
            tracing::warn!("the handover socket can't be opened, no process can take over from this one: {e}")
        }
    }
}

impl Driver {
    /// Creates a driver with its journal, its peers and its optional components, which has decided nothing
    /// yet. Also returns the list of endpoints to start from.
    async fn open(
        config: Config,
        max_connections: usize,
        clock: Clock,
        journal: Journal,
        channels: Channels,
    ) -> Result<(Self, List), StartError> {
        let Channels { inbound, notices, service_state, state_watch, counters } = channels;
        let memory = MemoryShares::of(config.memory);
        let bodies = BufferBudget::new(memory.request_bodies);
        let peers = Peers::open(&config, inbound.clone()).await.map_err(StartError::Peers)?;
        let parts = Parts::open(&config, &config.state, clock.now());
        let names = Rc::new(RefCell::new(config.names));
        let limits = limits(&config.settings, &names.borrow(), max_connections);
        let mut driver = Self {
            clock,
            connections: max_connections,
            next_message: journal.pending().keys().next_back().map_or(0, |last| last.wrapping_add(1)),
            journal,
            calls: Calls::new(limits, counters.clone(), inbound.clone()),
            counters: counters.clone(),
            peers,
            notices,
            list_requests: Rc::default(),
            shared_list_service: config
                .start
                .as_ref()
                .is_some_and(|section| section.source == Source::Service),
            memory_limit: config.memory,
            max_clients: max_connections.min(memory.client_connections),
            intake: Rc::new(Intake::new(
                clock,
                names.clone(),
                inbound.clone(),
                state_watch,
                counters.clone(),
                bodies,
            )),
            names,
            inbound,
            service_state,
            stop_at: None,
            drain: None,
            parts,
            replicated: ReplicationState::default(),
            endpoints: HashMap::new(),
            working_set: WorkingSet::default(),
            ids: HashMap::new(),
            ids_assigned: 0,
            index: list_version(&config.known).0,
            timers: BTreeSet::new(),
            held: HashMap::new(),
            attempts: HashMap::new(),
            new_messages: BTreeMap::new(),
            pending_records: Vec::new(),
            pending_notices: Vec::new(),
            storage_failing: false,
            predecessor: None,
            successor: None,
            policy: Policy::new(config.settings.clone(), config.seed, clock.now()),
            settings: config.settings,
        };
        driver.resume_replicated();
        driver.resume_index();
        let kept = driver.parts.start.as_mut().and_then(|part| part.initial_list.take());
        Ok((driver, kept.map_or(config.known, List::Entries)))
    }

    /// Starts the tasks that serve clients, send notices and follow the list.
    fn spawn_tasks(
        &self,
        listener: &Rc<TcpListener>,
        discovery: watch::Receiver<SocketAddr>,
        queued_notices: UnboundedReceiver<Notice>,
        seed: u64,
    ) -> Vec<JoinHandle<()>> {
        let following = platform::Following::new(&self.settings, self.shared_list_service, self.index, seed);
        let paced = self.parts.start.as_ref().filter(|_| !self.settings.list_on_request);
        let pace = paced.map(|part| part.list_pacer(self.clock));
        let (wanted, counters) = (self.list_requests.clone(), self.counters.clone());
        let inbound = self.inbound.clone();
        vec![
            tokio::task::spawn_local(self.intake.clone().listen(listener.clone(), self.max_clients)),
            tokio::task::spawn_local(platform::notices(discovery.clone(), queued_notices, inbound.clone())),
            tokio::task::spawn_local(platform::follow(discovery, following, pace, wanted, counters, inbound)),
        ]
    }

    /// When the next iteration is due if no event comes.
    fn due(&self) -> Micros {
        let now = self.clock.now();
        let timer = self.timers.first().map_or(Micros::MAX / 2, |timer| timer.0);
        let watchful = self.stop_at.is_some() || self.storage_failing || !self.pending_records.is_empty();
        let due = if watchful { timer.min(now + CHECK_INTERVAL) } else { timer };
        let due = due.min(self.parts.due().unwrap_or(due)).min(self.replicated.due().unwrap_or(due));
        due.min(self.working_set.due().unwrap_or(due)).min(now + MAX_IDLE)
    }

    /// Collects what is due by the clock: the optional components, replicated messages, and the module's
    /// reminders.
    fn collect_due(&mut self, events: &mut Vec<Event>) {
        let now = self.clock.now();
        self.with_parts(|parts, out| parts.tick(now, out));
        self.handle_takeover(events);
        self.startup_work(events);
        while let Some(timer) = self.timers.pop_first() {
            if timer.0 > now {
                self.timers.insert(timer);
                break;
            }
            events.push(Event::Timer(timer.1));
        }
    }

    /// Before a handover, passes all messages of earlier processes to the module, once all records are in the
    /// journal.
    fn resume_for_successor(&mut self) {
        if !self.pending_records.is_empty() || self.successor.is_none() {
            return;
        }
        let old = self.resume_all();
        if !old.is_empty() {
            self.turn(old);
        }
    }
}

/// A sender that serves clients.
struct Service {
    driver: Driver,
    events: UnboundedReceiver<Inbound>,
    tasks: Vec<JoinHandle<()>>,
    /// The state folder, and the claim on it if new versions start beside old ones.
    folder: PathBuf,
    claim: Option<FolderLock>,
    /// The clients' listener, unless it is shared with other processes.
    own_listener: Option<Rc<TcpListener>>,
    /// When the last iteration began.
    iteration_began: Instant,
}

impl Service {
    /// Runs iterations until the process may end or a new one has taken over.
    async fn serve(mut self) {
        loop {
            let first = self.next().await;
            self.turn(first);
            if self.driver.may_end(self.driver.intake.open()) {
                if self.end().await {
                    let owed = self.driver.journal.pending().len();
                    tracing::info!(owed, "shutdown complete: the next process continues with what is owed");
                    return;
                }
                continue;
            }
            self.driver.resume_for_successor();
            // That iteration may have failed to write records: the next process waits until they are written.
            if self.driver.pending_records.is_empty()
                && let Some(stream) = self.driver.successor.take()
                && self.claim.is_some()
                && let Some(offered) = self.offer(stream).await
                && let Some(claim) = self.claim.take()
            {
                return self.hand_over(offered, claim).await;
            }
        }
    }

    /// Waits for the next iteration, and returns the input that it begins with, if it is not due by the
    /// clock. Iterations are at least one period apart, as the module is told.
    async fn next(&mut self) -> Option<Inbound> {
        let due = self.driver.clock.instant(self.driver.due());
        let first = tokio::select! {
            first = self.events.recv() => first,
            () = tokio::time::sleep_until(due) => None,
        };
        let period = Duration::from_micros(self.driver.settings.period);
        tokio::time::sleep_until(self.iteration_began + period).await;
        self.iteration_began = Instant::now();
        first
    }

    /// Processes all inputs that have arrived, and runs an iteration if there is anything to decide or to
    /// write.
    fn turn(&mut self, first: Option<Inbound>) {
        let driver = &mut self.driver;
        let mut events: Vec<Event> = Vec::new();
        if let Some(inbound) = first {
            driver.handle_inbound(inbound, &mut events);
        }
        while let Ok(inbound) = self.events.try_recv() {
            driver.handle_inbound(inbound, &mut events);
        }
        driver.collect_due(&mut events);
        let unwritten = !driver.pending_records.is_empty() || !driver.pending_notices.is_empty();
        if !events.is_empty() || unwritten || driver.storage_failing {
            driver.turn(events);
        }
        driver.evict_idle();
    }

    /// Whether the process ends now. Clients that still wait to be accepted are served first.
    async fn end(&mut self) -> bool {
        if let Some(listener) = &self.own_listener {
            self.driver.intake.admit_backlog(listener, self.driver.max_clients).await;
        }
        let ends = self.driver.may_end(self.driver.intake.open());
        if ends {
            self.driver.record_held_calls();
        }
        ends
    }

    /// Sends the complete state to a process that asks to take over. If it does not take over, the next one
    /// may ask.
    async fn offer(&mut self, stream: UnixStream) -> Option<PreparedHandover> {
        // Calls that still wait for a grant after the last iteration end as not made, which the next process
        // is told.
        self.driver.cancel_held_calls();
        match self.driver.offer(stream).await {
            Ok(offered) => Some(offered),
            Err(e) => {
                tracing::warn!("the new process did not take over, this one continues: {e}");
                // A process that asks and dies repeatedly must not leave finished tasks behind.
                self.tasks.retain(|task| !task.is_finished());
                let rest = tokio::task::spawn_local(tokio::time::sleep(OFFER_RETRY_PAUSE));
                let inbound = self.driver.inbound.clone();
                let next = await_successor(self.folder.clone(), inbound, Some(rest));
                self.tasks.push(tokio::task::spawn_local(next));
                None
            }
        }
    }

    /// Releases the state folder to the new process, and stays for calls and client requests in progress.
    async fn hand_over(self, offered: PreparedHandover, claim: FolderLock) {
        for task in self.tasks {
            task.abort();
            let _ = task.await;
        }
        let intake = self.driver.intake.clone();
        self.driver.hand_over(offered, claim, intake, self.events).await;
    }
}
