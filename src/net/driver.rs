//! The loop round the module: events are collected into a turn, the module decides, the journal is
//! written, and only then are clients answered and calls started.

mod covered;
mod draining;
pub mod estimating;
mod indexed;
mod starting;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use myrtleyard::interface::*;
use myrtleyard::policy::Policy;
use myrtleyard::start::Source;
use myrtleyard::start::pace::Backlog;
use myrtleyard::status::State;
use myrtleyard::takeover::lots::Fact;
use myrtleyard::told::Told;
use tokio::net::{TcpListener, UnixStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

use super::calls::{Calls, Limits, Line, Part};
use super::config::{Config, InForce};
use super::figures::{End, Figures, Now};
use super::handover::{self, Claim, Order, Predecessor, Relay};
use super::intake::{Answer, HandedIn, Intake};
use super::journal::{Attempt, GivenUp, Journal, Live, Record, Taken, taken_on};
use super::listing::{Known, ListBody, Shape, body, version};
use super::mgmt::{self, Mgmt};
use super::names::{Names, following};
use super::parts::indexing::end_of;
use super::parts::{self, Parts};
use super::peers::Peers;
use super::platform::{self, Notice};
use super::refusals::NoStart;
use covered::Covered;

use super::{AttemptOver, Clock, Inbound, STOP_WITHIN, Standing};

/// From SIGTERM until clients have learnt to go elsewhere.
const STILL_CALLED: Micros = 1_000_000;
/// Advice to clients while the journal has no room.
const NO_ROOM_AGAIN: Micros = 1_000_000;
/// Rest after a process that asked for the folder and did not take over: telling what is known costs time.
const OFFER_AGAIN: Duration = Duration::from_millis(500);
/// Descriptors that are neither clients' nor endpoints'.
const OWN_SOCKETS: usize = 32;

/// A drain of this process that is under way.
#[derive(Debug, Clone, Copy)]
struct Drain {
    since: Micros,
    by: Option<Micros>,
}

/// A message handed in within this turn.
struct Fresh {
    taken: Taken,
    /// Those who wait for the answer: more than one where a client said it once more.
    answers: Vec<oneshot::Sender<Answer>>,
}

impl Fresh {
    fn answer(self, answer: Answer) {
        for waiting in self.answers {
            // Who does not wait any more has said so.
            let _ = waiting.send(answer.clone());
        }
    }
}

struct Driver {
    clock: Clock,
    /// Shared with the intake.
    names: Rc<RefCell<Names>>,
    settings: Settings,
    /// Connections to endpoints at most.
    connections: usize,
    policy: Policy,
    journal: Journal,
    figures: Rc<Figures>,
    calls: Calls,
    peers: Option<Peers>,
    notices: UnboundedSender<Notice>,
    wanted: Rc<platform::Wanted>,
    /// One service answers all senders' watches of the list.
    shared: bool,
    inbound: UnboundedSender<Inbound>,
    standing: watch::Sender<Standing>,
    stop_at: Option<Micros>,
    /// Since it was taken out of service.
    drain: Option<Drain>,
    /// Those that the configuration turns on.
    parts: Parts,
    /// What waits on other senders.
    covered: Covered,
    intake: Rc<Intake>,
    endpoints: HashMap<EndpointId, Known>,
    /// The id of each name, and how many ids were given out.
    ids: HashMap<String, EndpointId>,
    given: u64,
    /// The list's version.
    index: u64,
    timers: BTreeSet<(Micros, u64)>,
    next_message: u32,
    /// Numbers of the messages that are held, by their `Req-Id`.
    held: HashMap<String, u32>,
    /// Attempts begun for each message that is held.
    attempts: HashMap<u32, u16>,
    /// Handed in since the last turn, or in it.
    fresh: BTreeMap<u32, Fresh>,
    /// Records that could not be written yet; they promise nothing to anybody.
    unwritten: Vec<Record>,
    /// Notices whose records are not written yet.
    unsaid: Vec<(u32, GivenUp, String)>,
    /// The process that this one took over from, while it is there.
    predecessor: Option<UnboundedSender<Order>>,
    /// The process that asks to take over from this one.
    successor: Option<UnixStream>,
}

/// Runs the sender until it is asked to end and has.
///
/// # Errors
/// Fails when it can't start: an address or the journal is not to be had.
pub async fn run(
    config: Config,
    inherited: Option<std::net::TcpListener>,
    discovery: watch::Receiver<SocketAddr>,
    in_force: InForce,
    inbound: UnboundedSender<Inbound>,
    mut events: UnboundedReceiver<Inbound>,
) -> Result<(), NoStart> {
    let (standing, stand) = watch::channel(Standing::Starting);
    let figures = Rc::new(Figures::default());
    figures.name(&config.names);
    let mut own_sockets = OWN_SOCKETS;
    let mut called_at = String::new();
    if let Some(address) = config.mgmt {
        own_sockets += mgmt::PLACES;
        let listener = TcpListener::bind(address).await.map_err(|why| NoStart::Mgmt { address, why })?;
        let bound = listener.local_addr().map_err(|why| NoStart::Mgmt { address, why })?;
        called_at = format!(", operators call at {bound}");
        tokio::task::spawn_local(
            Rc::new(Mgmt::new(stand.clone(), figures.clone(), in_force, inbound.clone())).listen(listener),
        );
    }
    let folder = config.state.clone();
    let (mut claim, predecessor) = match inherited.is_some() {
        true => handover::claim(&folder).await.map(|(claim, before)| (Some(claim), before)),
        false => Ok((None, None)),
    }
    .map_err(|why| NoStart::Folder { folder: folder.clone(), why })?;
    let clock = match &predecessor {
        Some(predecessor) => Clock::new().from(predecessor.knowledge.now),
        None => Clock::new(),
    };
    let disk = config.disk - Parts::room(&config);
    let journal =
        Journal::open(&folder, disk).map_err(|why| NoStart::Journal { folder: folder.clone(), why })?;
    let peers = Peers::open(&config, inbound.clone()).await.map_err(NoStart::Peers)?;
    let (notices, owed) = unbounded_channel();
    let wanted = Rc::new(platform::Wanted::default());
    let sides = config.sockets.saturating_sub(own_sockets) / 2;
    let parts = Parts::open(&config, &folder, clock.now());
    let names = Rc::new(RefCell::new(config.names));
    let limits = limits(&config.settings, &names.borrow(), sides.max(1));
    let intake = Rc::new(Intake::new(clock, names.clone(), inbound.clone(), stand));
    let mut driver = Driver {
        clock,
        names,
        connections: sides.max(1),
        next_message: journal.live().keys().next_back().map_or(0, |last| last.wrapping_add(1)),
        journal,
        calls: Calls::new(limits, figures.clone(), inbound.clone()),
        figures,
        peers,
        notices,
        wanted: wanted.clone(),
        shared: config.start.as_ref().is_some_and(|section| section.source == Source::Service),
        inbound: inbound.clone(),
        standing,
        stop_at: None,
        drain: None,
        parts,
        covered: Covered::default(),
        intake: intake.clone(),
        endpoints: HashMap::new(),
        ids: HashMap::new(),
        given: 0,
        index: version(&config.known).0,
        timers: BTreeSet::new(),
        held: HashMap::new(),
        attempts: HashMap::new(),
        fresh: BTreeMap::new(),
        unwritten: Vec::new(),
        unsaid: Vec::new(),
        predecessor: None,
        successor: None,
        policy: Policy::new(config.settings.clone(), config.seed, clock.now()),
        settings: config.settings,
    };
    driver.resume_covered();
    driver.resume_indexed();
    let from = driver.parts.starting.as_mut().and_then(|part| part.from.take());
    let (first, followed) = match predecessor {
        Some(predecessor) => {
            let (first, followed) = driver.take_over(predecessor, inbound.clone(), config.seed);
            (first, Some(followed))
        }
        None => (driver.start(from.unwrap_or_else(|| body(config.known))), None),
    };
    driver.turn(first);

    let no_listener = |why| NoStart::Listen { address: config.listen, why };
    // What waits at a socket that others inherit, too, is theirs to serve after this process's end.
    let own_door = inherited.is_none();
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener),
        None => TcpListener::bind(config.listen).await,
    };
    let listener = listener.map_err(no_listener)?;
    let listener = Rc::new(listener);
    let door = own_door.then(|| listener.clone());
    let address = listener.local_addr().map_err(|why| NoStart::Listen { address: config.listen, why })?;
    driver.standing.send_replace(Standing::InService);
    let following = platform::Following::new(&driver.settings, driver.shared, driver.index, config.seed);
    let pace =
        driver.parts.starting.as_ref().filter(|_| !driver.settings.must_ask).map(|part| part.pace(clock));
    let mut tasks = vec![
        tokio::task::spawn_local(intake.clone().listen(listener, sides.max(1))),
        tokio::task::spawn_local(platform::notices(discovery.clone(), owed, inbound.clone())),
        tokio::task::spawn_local(platform::follow(
            discovery,
            following,
            pace,
            wanted,
            driver.figures.clone(),
            inbound.clone(),
        )),
    ];
    if claim.is_some() {
        // One handover at a time: what the process before still does is passed on to this one alone.
        tasks.push(tokio::task::spawn_local(succeed(folder.clone(), inbound.clone(), followed)));
    }
    let in_hand = driver.journal.live().len();
    tracing::info!("{} is ready on {address} with {in_hand} messages in hand{called_at}", config.name);

    let mut turned = tokio::time::Instant::now();
    loop {
        let due = driver.timers.first().map_or(Micros::MAX / 2, |timer| timer.0);
        // What is looked at now and then: an end that is near, a journal that could not be written.
        let watchful = driver.stop_at.is_some() || !driver.unwritten.is_empty();
        let due = if watchful { due.min(clock.now() + 50_000) } else { due };
        let due = due.min(driver.parts.due().unwrap_or(due)).min(driver.covered.due().unwrap_or(due));
        let first = tokio::select! {
            first = events.recv() => first,
            () = tokio::time::sleep_until(clock.instant(due.min(clock.now() + 60_000_000))) => None,
        };
        // Turns are a period apart at least, as the module is told.
        tokio::time::sleep_until(turned + Duration::from_micros(driver.settings.period)).await;
        turned = tokio::time::Instant::now();
        let mut said: Vec<Event> = Vec::new();
        first.into_iter().for_each(|inbound| driver.fold(inbound, &mut said));
        while let Ok(inbound) = events.try_recv() {
            driver.fold(inbound, &mut said);
        }
        let now = clock.now();
        driver.with_parts(|parts, out| parts.tick(now, out));
        driver.covered(&mut said);
        driver.starting(&mut said);
        while let Some(timer) = driver.timers.pop_first() {
            if timer.0 > now {
                driver.timers.insert(timer);
                break;
            }
            said.push(Event::Reminder(timer.1));
        }
        if !said.is_empty() || !driver.unwritten.is_empty() || !driver.unsaid.is_empty() {
            driver.turn(said);
        }
        if driver.may_end(intake.open()) {
            if let Some(door) = &door {
                intake.admit_waiting(door, sides.max(1)).await;
            }
            if !driver.may_end(intake.open()) {
                continue;
            }
            driver.leave_waiting();
            return Ok(());
        }
        // What can't be written down yet can't be told either.
        if driver.unwritten.is_empty() && driver.successor.is_some() {
            let old = driver.resume_all();
            if !old.is_empty() {
                driver.turn(old);
            }
        }
        // That turn may have had something to write, too: the next process waits until it is written.
        if driver.unwritten.is_empty()
            && let Some(stream) = driver.successor.take()
            && claim.is_some()
        {
            // After the last turn: what it kept back ends as not made, which the next process hears.
            driver.give_waiting_up();
            let told = match driver.offer(stream).await {
                Ok(told) => told,
                Err(e) => {
                    tracing::warn!("the new process did not take over, and this one goes on: {e}");
                    // Who asks and dies again and again leaves nothing behind.
                    tasks.retain(|task| !task.is_finished());
                    let rest = tokio::task::spawn_local(tokio::time::sleep(OFFER_AGAIN));
                    tasks.push(tokio::task::spawn_local(succeed(
                        folder.clone(),
                        inbound.clone(),
                        Some(rest),
                    )));
                    continue;
                }
            };
            let Some(claim) = claim.take() else { continue };
            for task in std::mem::take(&mut tasks) {
                task.abort();
                let _ = task.await;
            }
            driver.hand_over(told, claim, intake, events).await;
            return Ok(());
        }
    }
}

/// Waits for the next process to ask for the folder, once this is over.
async fn succeed(folder: PathBuf, inbound: UnboundedSender<Inbound>, first: Option<JoinHandle<()>>) {
    if let Some(first) = first {
        let _ = first.await;
    }
    match handover::successor(&folder).await {
        Ok(stream) => drop(inbound.send(Inbound::Successor(stream))),
        Err(e) => tracing::warn!("no process can take over from this one: {e}"),
    }
}

fn limits(settings: &Settings, names: &Names, connections: usize) -> Limits {
    Limits {
        connect: settings.connect_timeout.max(1),
        idle: settings.idle_close,
        connections,
        report: names.report.clone(),
    }
}

impl Driver {
    /// Has the optional parts do something, and sends what they say.
    fn with_parts<T>(&mut self, act: impl FnOnce(&mut Parts, &mut parts::Out) -> T) -> T {
        let mut out = parts::Out::new();
        let done = act(&mut self.parts, &mut out);
        if let Some(peers) = &self.peers {
            out.iter().for_each(|(to, datagram)| peers.tell(Some(*to), datagram));
        }
        done
    }

    /// The list as last known, and what an earlier process left in the journal.
    fn start(&mut self, known: ListBody) -> Vec<Event> {
        let now = self.clock.now();
        // It may be old: what is not in it may be in discovery's, so that it ends no mark.
        let mut said = vec![self.listed(ListBody { snapshot: true, ..known })];
        let live: Vec<(u32, Live)> = self.journal.live().iter().map(|(n, l)| (*n, l.clone())).collect();
        let mut old = Vec::new();
        for (number, live) in live {
            self.held.insert(live.taken.id.clone(), number);
            let class = self.names.borrow().class(&live.taken.class);
            let given_up = match (live.given_up, class) {
                (None, Some(_)) if self.parts.starting.is_some() => {
                    old.push((number, self.pressing(number, &live, now)));
                    continue;
                }
                (None, Some(class)) => {
                    let (id, destination) = (&live.taken.id, live.taken.destination);
                    tracing::debug!(id, destination, attempts = live.attempts.len(), "taken up again");
                    let class = self.as_taken(class, &live.taken, &mut said);
                    said.push(self.resumed(number, class, &live, now));
                    continue;
                }
                (Some(how), _) => how,
                (None, None) => live.unjudged(),
            };
            self.end_old(number, given_up, live.taken);
        }
        if let Some(starting) = &self.parts.starting {
            starting.core.borrow_mut().backlog = Backlog::new(old, now);
        }
        said
    }

    /// An old message ends so, and the platform is told.
    fn end_old(&mut self, number: u32, how: GivenUp, taken: Taken) {
        self.index_ended(number, end_of(how));
        self.figures.ended(&taken.class, how.into());
        self.unwritten.push(Record::GivenUp(number, how));
        self.unsaid.push((number, how, taken.id));
    }

    /// The class that an old message goes by: the one of its name, but that it may be repeated no more than when it
    /// was taken on; what an older version wrote down does not tell, and may not be repeated. Such a class is for
    /// these messages alone.
    fn as_taken(&mut self, class: usize, taken: &Taken, said: &mut Vec<Event>) -> usize {
        let Some(now) = self.settings.classes.get(class) else { return class };
        let effect = now.effect.stricter(taken.effect.unwrap_or(Effect::Once));
        if effect == now.effect {
            return class;
        }
        let own = Class { effect, ..now.clone() };
        let mut names = self.names.borrow_mut();
        let mut known = names.classes.iter().zip(&self.settings.classes);
        if let Some(same) = known.position(|(name, class)| *name == taken.class && *class == own) {
            return same;
        }
        let place = names.classes.len();
        names.classes.push(taken.class.clone());
        names.retired.insert(place);
        self.settings.classes.push(own);
        self.settings.retired.insert(place);
        said.push(Event::Settings(Box::new(self.settings.clone())));
        place
    }

    /// Goes on where the process before left off, as far as the settings are the same.
    fn take_over(
        &mut self,
        predecessor: Predecessor,
        inbound: UnboundedSender<Inbound>,
        seed: u64,
    ) -> (Vec<Event>, JoinHandle<()>) {
        let knowledge = *predecessor.knowledge;
        let own = (self.settings.clone(), self.names.borrow().clone());
        self.policy = knowledge.policy.taken_over(seed);
        let held = |class| self.policy.holds_class(class);
        let (settings, names) = following(own, &knowledge.settings, &knowledge.names, held);
        self.endpoints = knowledge.endpoints;
        self.go_by(settings.clone(), names, &knowledge.names);
        self.ids = knowledge.ids;
        self.given = knowledge.given;
        self.index = knowledge.index;
        self.timers = knowledge.timers;
        self.start_from_known();
        self.next_message = knowledge.next_message;
        self.held = knowledge.held;
        self.attempts = knowledge.attempts;
        // What the platform was told, but not written down to have been, it is told again.
        let owed = self.journal.live().iter();
        let owed = owed.filter_map(|(number, live)| Some((*number, live.given_up?, live.taken.id.clone())));
        self.unsaid.extend(owed.collect::<Vec<_>>());
        let reset = |(message, attempt, endpoint)| {
            AttemptOver::unanswered(message, attempt, endpoint, Outcome::Reset)
        };
        let out = self.policy.out().map(reset).collect();
        let (orders, followed) = predecessor.link.follow(inbound, out);
        self.predecessor = Some(orders);
        // The part that keeps the marks may have been turned on or off between the two, and zones and kinds changed.
        let relisted = self.relisted(|_| true);
        (vec![Event::Settings(Box::new(settings)), relisted], followed)
    }

    /// These settings and names are in force from now on. Zones and kinds stand in the list by their positions: each
    /// endpoint keeps its own by name.
    fn go_by(&mut self, settings: Settings, names: Names, before: &Names) {
        self.calls.adopt(limits(&settings, &names, self.connections));
        self.figures.name(&names);
        for known in self.endpoints.values_mut() {
            let Some(shape) = &mut known.shape else { continue };
            let (zone, kind) = known.named.get_or_insert_with(|| {
                let name = |names: &[String], at: usize| names.get(at).cloned().unwrap_or_default();
                (name(&before.zones, shape.zone.into()), name(&before.kinds, shape.kind))
            });
            (shape.zone, shape.kind) = (names.zone(zone), names.kind(kind));
            known.bundle = settings.kinds.get(shape.kind).map_or(1, |kind| kind.bundle);
        }
        self.names.replace(names);
        self.settings = settings;
    }

    /// Tells the next process all that is known here, but for the last byte.
    async fn offer(&self, stream: UnixStream) -> std::io::Result<handover::Offered> {
        let drained = self.parts.draining.as_ref().map(|draining| draining.names()).unwrap_or_default();
        // The names stay as they are: this task alone changes them.
        let names = self.names.borrow().clone();
        let knowing = handover::Knowing {
            now: self.clock.now(),
            policy: &self.policy,
            settings: &self.settings,
            names: &names,
            endpoints: &self.endpoints,
            ids: &self.ids,
            given: self.given,
            index: self.index,
            timers: &self.timers,
            next_message: self.next_message,
            held: &self.held,
            attempts: &self.attempts,
            drained,
        };
        handover::offer(stream, &knowing).await
    }

    /// Leaves the rest to the next process, and stays for what is still under way.
    async fn hand_over(
        mut self,
        told: handover::Offered,
        claim: Claim,
        intake: Rc<Intake>,
        events: UnboundedReceiver<Inbound>,
    ) {
        self.standing.send_replace(Standing::HandedOver);
        tracing::info!(owed = self.journal.live().len(), "a new process takes over");
        self.figures.handed_over();
        self.calls.close_all_idle();
        // From here on the next process decides, and can't have a call that waits given up in time.
        self.calls.withdraw(|_| true);
        if let Some(peers) = self.peers.take() {
            peers.close().await;
        }
        let relay = Relay {
            clock: self.clock,
            intake,
            calls: self.calls,
            stop_at: self.stop_at,
            inbound: self.inbound,
        };
        relay.run(told, claim, events).await;
    }

    /// Turns what a task says into events for the module.
    fn fold(&mut self, inbound: Inbound, said: &mut Vec<Event>) {
        match inbound {
            Inbound::HandedIn(message) => self.handed_in(message, said),
            Inbound::Withdrawn(id) => {
                // What is taken on already was answered so to somebody: it stays owed, whoever names its id
                // and goes away. So does what somebody else still waits to hear of.
                if let Some(number) = self.held.get(&id).copied()
                    && let Some(fresh) = self.fresh.get_mut(&number)
                {
                    fresh.answers.retain(|waiting| !waiting.is_closed());
                    if fresh.answers.is_empty() {
                        said.push(Event::Left(MessageId(number)));
                        self.fresh.remove(&number);
                        self.forget(number, &id);
                    }
                }
            }
            Inbound::CallOver(ends) => ends.into_iter().for_each(|end| said.push(self.ended(end))),
            Inbound::Event(event) => {
                // It may have been told to the process before.
                if let Event::Wait { endpoint, wait } = &event
                    && let Some(route) = self.policy.route_of(*endpoint)
                {
                    self.calls.hold(route, *wait);
                }
                said.push(event);
            }
            Inbound::Datagram(from, content) => {
                let now = self.clock.now();
                if !self.with_parts(|parts, out| parts.datagram(now, from, &content, out)) {
                    said.push(Event::Note { from, content });
                }
            }
            Inbound::Listed(list) => {
                said.push(self.listed(body(list)));
                self.start_listed();
                self.forget_marks();
            }
            Inbound::NoticesKept(messages) => {
                for MessageId(number) in messages {
                    if let Some(id) = self.journal.live().get(&number).map(|l| l.taken.id.clone()) {
                        self.tell_of(number, Fact::Over);
                        self.unwritten.push(Record::Over(number));
                        self.forget(number, &id);
                    }
                }
            }
            Inbound::Successor(stream) => self.successor = Some(stream),
            // Nothing is ordered from the process that owns the folder.
            Inbound::Ordered(_) => {}
            Inbound::Reloaded(Ok(config)) => {
                let now = self.clock.now();
                if let Some(peers) = &self.peers {
                    peers.adopt(&config.peers);
                }
                self.with_parts(|parts, out| parts.adopt(&config, now, out));
                let own = (config.settings, config.names);
                let before = self.names.borrow().clone();
                // What came within this turn is not in the module yet.
                let comes = |class| {
                    said.iter().any(|event| {
                        matches!(event, Event::Accepted(m) if m.class == class)
                            || matches!(event, Event::Resumed { message, .. } if message.class == class)
                    })
                };
                let seed = config.seed ^ self.index;
                let held = |class| self.policy.holds_class(class) || comes(class);
                let (settings, names) = following(own, &self.settings, &before, held);
                self.figures.reloaded(true);
                let asking = |s: &Settings| (s.must_ask, s.rules.ask_every, s.senders, s.rules.drain_grace);
                if asking(&settings) != asking(&self.settings) {
                    let otherwise = platform::Following::new(&settings, self.shared, self.index, seed);
                    self.wanted.otherwise.replace(Some(otherwise));
                    self.wanted.whole.notify_one();
                }
                self.go_by(settings.clone(), names, &before);
                said.push(Event::Settings(Box::new(settings)));
                said.push(self.relisted(|_| true));
            }
            Inbound::Reloaded(Err(e)) => {
                self.figures.reloaded(false);
                tracing::warn!(
                    code = e.code(),
                    remedy = e.remedy(),
                    "the configuration is not reloaded: {e}"
                );
            }
            Inbound::Service(wanted, done) => {
                self.service(wanted, None, said);
                // Who asked may have gone.
                let _ = done.send(*self.standing.borrow());
            }
            Inbound::Control(ask, reply) => {
                let _ = reply.send(self.control(ask, said));
            }
            Inbound::StatusQuery(call, within, reply) => self.ask_status(*call, within, reply),
            Inbound::Terminate if self.stop_at.is_some() => {}
            Inbound::Terminate => {
                let at = self.clock.now() + STOP_WITHIN;
                self.stop_at = Some(at);
                self.standing.send_replace(Standing::Stopping);
                tracing::info!(owed = self.journal.live().len(), "asked to end");
                let now = self.clock.now();
                self.with_parts(|parts, out| parts.serving(now, false, out));
                // The module judges them by the time that is left, so that it has to know of them.
                said.extend(self.resume_all());
                said.push(Event::Stopping(at));
            }
        }
    }

    fn handed_in(&mut self, message: HandedIn, said: &mut Vec<Event>) {
        let HandedIn { taken, answer, .. } = message;
        if let Some(number) = self.held.get(&taken.id) {
            // The client did not hear that it is taken on, and says it once more.
            match self.fresh.get_mut(number) {
                Some(fresh) => fresh.answers.push(answer),
                None => {
                    // What was granted since the last turn may have a number that is not in the folder yet.
                    self.index_kept();
                    drop(answer.send(self.taken_answer(&taken)));
                }
            }
            return;
        }
        // Settings may have changed since its head was read, here or at the process before: those in force decide.
        let class = self.names.borrow().class(&taken.class);
        let Some(class) = class.filter(|_| self.names.borrow().owns(taken.owner.as_deref())) else {
            self.figures.ended(&taken.class, End::Deferred);
            let _ = answer.send(Answer::Refused(0));
            return;
        };
        let effect = self.settings.classes.get(class).map(|class| class.effect);
        let taken = Taken { effect, ..taken };
        let pending: u64 = self.fresh.values().map(|fresh| Journal::room_for(&fresh.taken)).sum();
        if !self.journal.has_room(&taken, pending) {
            self.figures.ended(&taken.class, End::Deferred);
            let _ = answer.send(Answer::Refused(NO_ROOM_AGAIN));
            return;
        }
        let number = self.next_message;
        self.next_message = number.wrapping_add(1);
        said.push(Event::Accepted(self.message(number, class, &taken, self.clock.now())));
        self.held.insert(taken.id.clone(), number);
        self.fresh.insert(number, Fresh { taken, answers: vec![answer] });
    }

    fn ended(&mut self, end: AttemptOver) -> Event {
        let number = end.message.0;
        let live = self.journal.live().get(&number);
        let owed = live.filter(|live| live.given_up.is_none());
        let owed = owed.map(|live| (live.taken.id.clone(), live.taken.class.clone()));
        // Over already, or given up: what comes now changes nothing.
        let mut terminal = true;
        if let Some((id, class)) = owed.filter(|owed| self.held.get(&owed.0) == Some(&number)) {
            terminal = end.gone || end.outcome == Outcome::Delivered;
            let never_ran = end.outcome.never_ran();
            if terminal {
                self.tell_of(number, Fact::Over);
            } else if never_ran {
                self.tell_of(number, Fact::NeverRan(end.attempt));
            }
            if terminal {
                // That an endpoint knows it to be over does not tell how it ended.
                let delivered = end.outcome == Outcome::Delivered;
                self.index_ended(number, if delivered { State::Delivered } else { State::Unknown });
            }
            self.unwritten.push(if terminal {
                Record::Over(number)
            } else {
                Record::Ended { message: number, attempt: end.attempt, never_ran }
            });
            let took_ms = end.took / 1000;
            tracing::debug!(id, attempt = end.attempt, outcome = ?end.outcome, took_ms, "a call is over");
            if end.outcome == Outcome::Delivered {
                self.figures.ended(&class, End::Answered);
            }
            if terminal {
                self.forget(number, &id);
            }
        }
        Event::Ended {
            message: end.message,
            attempt: end.attempt,
            endpoint: end.endpoint,
            outcome: end.outcome,
            terminal,
            took: end.took,
            report: end.report,
        }
    }

    fn message(&self, number: u32, class: usize, taken: &Taken, now: Micros) -> Message {
        let tenant = taken
            .owner
            .as_ref()
            .and_then(|owner| self.names.borrow().tenants.iter().position(|t| t == owner));
        Message {
            id: MessageId(number),
            class,
            tenant: tenant.unwrap_or(usize::MAX),
            key: None,
            time_left: taken.deadline.saturating_sub(now),
            hint: None,
            destination: DestinationId(taken.destination),
        }
    }

    fn forget(&mut self, number: u32, id: &str) {
        self.calls.give_up(MessageId(number));
        self.attempts.remove(&number);
        self.held.remove(id);
    }

    fn notify(&self, number: u32, how: GivenUp, id: String) {
        let _ = self.notices.send(Notice { message: MessageId(number), id, how });
    }

    /// The id of an endpoint's name; a name that no list has named yet gets one too.
    fn id_of(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        self.given += 1;
        let mut bytes = [0; 6];
        bytes.copy_from_slice(&self.given.to_be_bytes()[2..]);
        self.ids.insert(name.to_owned(), EndpointId(bytes));
        EndpointId(bytes)
    }

    fn listed(&mut self, list: ListBody) -> Event {
        self.index = list.index;
        let names = self.names.clone();
        let names = names.borrow();
        let mut entries = Vec::with_capacity(list.endpoints.len());
        if list.snapshot {
            self.endpoints.values_mut().for_each(|known| known.listed = false);
        }
        for listing in list.endpoints {
            let (zone, kind) = (names.zone(&listing.zone), names.kind(&listing.kind));
            let named = Some((listing.zone, listing.kind));
            let mut endpoint = self.id_of(&listing.name);
            let before = self.endpoints.get(&endpoint).filter(|known| known.group != listing.group);
            let mut entry = |endpoint, group, listing| {
                let destination = DestinationId(group);
                entries.push(Entry { endpoint, destination, zone, kind, weight: 0.0, listing });
            };
            if let Some(group) = before.map(|known| known.group) {
                // Guards against a name that moves to another destination: it is another endpoint there.
                entry(endpoint, group, Listing::Gone);
                self.endpoints.remove(&endpoint);
                self.ids.remove(&listing.name);
                endpoint = self.id_of(&listing.name);
            }
            let state = match listing.status.as_str() {
                "active" => Listing::Ready,
                "left" => Listing::Gone,
                _ => Listing::Draining,
            };
            let draining = self.parts.draining.as_ref();
            let over = draining.map_or(state, |draining| draining.over(&listing.name, state));
            entry(endpoint, listing.group, over);
            let weight = if listing.weight.is_finite() { listing.weight.max(0.0) } else { 0.0 };
            if let Some(entry) = entries.last_mut() {
                entry.weight = weight;
            }
            let bundle = self.settings.kinds.get(kind).map_or(1, |kind| kind.bundle);
            let (address, group) = (listing.address.parse().ok(), listing.group);
            let (listed, active) = (state != Listing::Gone, state == Listing::Ready);
            let since_ms = listing.since_ms;
            let (name, shape) = (listing.name, Some(Shape { zone, kind, weight, active }));
            self.endpoints
                .insert(endpoint, Known { name, group, address, listed, shape, named, bundle, since_ms });
        }
        if list.snapshot { Event::List(entries) } else { Event::Changes(entries) }
    }

    /// One turn: the module decides, the journal is written, then clients hear and calls begin.
    fn turn(&mut self, said: Vec<Event>) {
        let now = self.clock.now();
        let mut actions = Vec::new();
        self.policy.handle(now, &said, &mut actions);
        self.withdraw_calls(&said);
        let mut records = std::mem::take(&mut self.unwritten);
        let mut fresh = std::mem::take(&mut self.fresh);
        // Answered in the turn that took them: the journal never hears of these.
        let mut given_up = Vec::new();
        let mut sends: Vec<(MessageId, u16, EndpointId, Micros)> = Vec::new();
        for action in actions {
            match action {
                Action::Attempt { message, endpoint, timeout } => {
                    if let Some(attempt) = self.attempts_of(message, &fresh) {
                        sends.push((message, attempt, endpoint, timeout));
                    }
                }
                Action::Refuse { message, retry_after } => {
                    given_up.push((message.0, GivenUp::Deferred(retry_after)));
                }
                Action::Fail(message) => given_up.push((message.0, GivenUp::Undeliverable)),
                Action::Cancel { message, attempt } => {
                    self.calls.cancel(message, attempt);
                    if let Some(predecessor) = &self.predecessor {
                        let _ = predecessor.send(Order::Cancel(message, attempt));
                    }
                }
                Action::Probe(endpoint) => match self.line(endpoint) {
                    Some(line) => self.calls.probe(line),
                    None => {
                        let outcome = Outcome::ConnectFailed;
                        let event = Event::Probed { endpoint, outcome, report: vec![] };
                        let _ = self.inbound.send(Inbound::Event(event));
                    }
                },
                Action::CloseIdle(endpoint) => self.calls.close_idle(endpoint),
                Action::Watch => self.wanted.watch.notify_one(),
                Action::FetchList => self.wanted.whole.notify_one(),
                Action::Tell { to, content } => {
                    if let Some(peers) = &self.peers {
                        peers.tell(to, &content);
                    }
                }
                Action::Remind { at, token } => {
                    self.timers.insert((at, token));
                }
                Action::Log(line) => tracing::info!("{line}"),
            }
        }
        for (number, how) in given_up {
            if let Some(fresh) = fresh.remove(&number) {
                self.forget(number, &fresh.taken.id);
                self.figures.ended(&fresh.taken.class, how.into());
                let (id, destination) = (&fresh.taken.id, fresh.taken.destination);
                tracing::debug!(id, destination, ?how, "turned away");
                fresh.answer(match how {
                    GivenUp::Deferred(again) => Answer::Refused(again),
                    GivenUp::Undeliverable => Answer::Failed,
                });
            } else if let Some(live) = self.journal.live().get(&number) {
                let unwritten = self.calls.give_up(MessageId(number));
                let never_ran = |a: &Attempt| a.never_ran || unwritten.contains(&a.number);
                // The module can't know how far a call has come. What others called for is not known here.
                let how = match how {
                    GivenUp::Undeliverable
                        if live.covered.is_none() && live.attempts.iter().all(never_ran) =>
                    {
                        GivenUp::Deferred(0)
                    }
                    how => how,
                };
                let id = live.taken.id.clone();
                let (destination, attempts) = (live.taken.destination, live.attempts.len());
                tracing::debug!(id, destination, attempts, ?how, "given up");
                self.figures.ended(&live.taken.class, how.into());
                records.push(Record::GivenUp(number, how));
                self.index_ended(number, end_of(how));
                self.unsaid.push((number, how, id));
            }
        }
        let kept = records.len();
        for (number, fresh) in &fresh {
            records.extend(taken_on(*number, &fresh.taken));
            let tag = self.place(&fresh.taken, now);
            records.extend(tag.map(|tag| Record::Covered(*number, tag, now)));
        }
        records.extend(sends.iter().map(|(message, attempt, endpoint, _)| Record::Begun {
            message: message.0,
            attempt: *attempt,
            endpoint: self.endpoints.get(endpoint).map(|known| known.name.clone()).unwrap_or_default(),
            at: now,
        }));
        if let Err(e) = self.journal.append(&records) {
            tracing::error!("the journal can't be written: {e}");
            records.truncate(kept);
            self.withhold(records, fresh, &sends);
        } else {
            self.index_taken(&fresh, now);
            for (number, fresh) in fresh {
                self.cover(number, now);
                let Taken { id, class, destination, .. } = &fresh.taken;
                tracing::debug!(id, class, destination, "taken on");
                let answer = self.taken_answer(&fresh.taken);
                fresh.answer(answer);
            }
            for (number, how, id) in std::mem::take(&mut self.unsaid) {
                self.end_told(number, how, id);
            }
            let sends = self.keep_back(sends, now);
            self.begin(sends, now);
            self.with_parts(|parts, out| {
                if let Some(covering) = &mut parts.covering {
                    covering.flush(now, out);
                }
                if let Some(indexing) = &mut parts.indexing {
                    indexing.flush(now, out);
                }
            });
        }
        self.figures.stand(Now {
            current: self.policy.held(),
            cluster_size: self.endpoints.values().filter(|known| known.listed).count(),
            cluster_unhealthy: self.policy.avoided(),
        });
    }

    /// Guards the promise that what is taken on outlasts the process: with no journal nothing is taken on
    /// and no call begins.
    fn withhold(
        &mut self,
        records: Vec<Record>,
        fresh: BTreeMap<u32, Fresh>,
        sends: &[(MessageId, u16, EndpointId, Micros)],
    ) {
        self.unwritten = records;
        sends.iter().for_each(|send| self.not_made(*send));
        for (number, fresh) in fresh {
            self.forget(number, &fresh.taken.id);
            self.figures.ended(&fresh.taken.class, End::Deferred);
            let _ = self.inbound.send(Inbound::Event(Event::Left(MessageId(number))));
            fresh.answer(Answer::Refused(NO_ROOM_AGAIN));
        }
    }

    /// What waits for a connection to an endpoint that is leaving, or gone, goes elsewhere at once.
    fn withdraw_calls(&self, said: &[Event]) {
        let listed = |entries: &[Entry], endpoint, ready| {
            entries.iter().any(|e| e.endpoint == endpoint && (e.listing == Listing::Ready) == ready)
        };
        for event in said {
            match event {
                Event::List(entries) => self.calls.withdraw(|endpoint| !listed(entries, endpoint, true)),
                Event::Changes(entries) => self.calls.withdraw(|endpoint| listed(entries, endpoint, false)),
                _ => {}
            }
        }
    }

    /// Tells the module that a call of its was not made.
    fn not_made(&self, (message, attempt, endpoint, _): (MessageId, u16, EndpointId, Micros)) {
        let end = AttemptOver::unanswered(message, attempt, endpoint, Outcome::Moot { no_slot: false });
        let _ = self.inbound.send(Inbound::CallOver(vec![end]));
    }

    /// The number of a message's next attempt, if it is held.
    fn attempts_of(&mut self, message: MessageId, fresh: &BTreeMap<u32, Fresh>) -> Option<u16> {
        let known = fresh.contains_key(&message.0) || self.journal.live().contains_key(&message.0);
        let count = self.attempts.entry(message.0).or_default();
        *count += 1;
        known.then_some(*count - 1)
    }

    fn line(&self, endpoint: EndpointId) -> Option<Line> {
        let address = self.endpoints.get(&endpoint)?.address?;
        Some(Line { endpoint, address, route: self.policy.route_of(endpoint)? })
    }

    /// Until when a keyed message's call may be written: a repeat must be read while the key is remembered, however
    /// late its connection comes up. What is covered is bound from when it was taken on, unless it is past that:
    /// then it goes with a grant alone.
    fn write_by(&self, number: u32, live: &Live, attempt: Option<u16>, now: Micros) -> Option<Micros> {
        let class = self.policy.class_of(MessageId(number));
        let class = class.or_else(|| self.names.borrow().class(&live.taken.class))?;
        let effect = self
            .settings
            .classes
            .get(class)?
            .effect
            .stricter(live.taken.effect.unwrap_or(Effect::Repeatable));
        let Effect::Keyed { window, .. } = effect else { return None };
        let ran =
            live.attempts.iter().filter(|earlier| Some(earlier.number) != attempt && !earlier.never_ran);
        let covered = live.covered.as_ref().map(|(_, since)| *since).filter(|since| now < since + window);
        let first = ran.map(|earlier| earlier.at).chain(covered).min()?;
        Some(first.saturating_add(window).saturating_sub(self.settings.repeat_margin(window)))
    }

    /// Starts the calls of a turn: what goes to one endpoint travels together as far as its kind allows.
    /// Their time runs from the module's.
    fn begin(&mut self, sends: Vec<(MessageId, u16, EndpointId, Micros)>, now: Micros) {
        let mut calls: Vec<(EndpointId, Vec<Part>)> = Vec::new();
        let mut last: HashMap<EndpointId, usize> = HashMap::new();
        for (message, attempt, endpoint, wait) in sends {
            let Some(live) = self.journal.live().get(&message.0) else { continue };
            let until = now + wait;
            let write_by =
                self.write_by(message.0, live, Some(attempt), now).map_or(until, |by| by.min(until));
            let (until, write_by) = (self.clock.instant(until), self.clock.instant(write_by));
            if let Some(indexing) = &mut self.parts.indexing {
                indexing.calling(&live.taken, attempt, self.clock.now());
            }
            let Taken { id, key, body, .. } = live.taken.clone();
            let known = self.endpoints.get(&endpoint);
            let (name, bundle) = known.map_or(("", 1), |known| (known.name.as_str(), known.bundle));
            tracing::debug!(id, attempt, endpoint = name, "a call begins");
            let part = Part { message, attempt, id, key, body, until, write_by };
            let call = last.get(&endpoint).copied().and_then(|at| calls.get_mut(at));
            match call.filter(|call| call.1.len() < bundle) {
                Some(call) => call.1.push(part),
                None => {
                    last.insert(endpoint, calls.len());
                    calls.push((endpoint, vec![part]));
                }
            }
        }
        for (endpoint, mut parts) in calls {
            // The first is waited for as long as the call lasts, so that it is not given up while the others still wait.
            parts.sort_by_key(|part| std::cmp::Reverse(part.until));
            let Some(line) = self.line(endpoint) else {
                // An address that can't be read is one where no connection can be made.
                let failed = Outcome::ConnectFailed;
                let ends = parts
                    .into_iter()
                    .map(|part| AttemptOver::unanswered(part.message, part.attempt, endpoint, failed));
                let _ = self.inbound.send(Inbound::CallOver(ends.collect()));
                continue;
            };
            self.calls.start(line, parts);
        }
    }

    /// Whether a process that was asked to end has nothing left to do that the next one can't.
    fn may_end(&self, clients: usize) -> bool {
        let Some(at) = self.stop_at else { return false };
        let now = self.clock.now();
        let idle = self.journal.live().is_empty() && clients == 0;
        let called = now < at - STOP_WITHIN + STILL_CALLED;
        // A client whose request is still read would lose it with the process.
        (idle && !called && self.unwritten.is_empty()) || (now >= at && self.calls.out() == 0 && clients == 0)
    }
}
