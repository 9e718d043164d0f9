//! The event loop around the decision module: inputs become events, and the module's actions are carried out.
//! The events of one iteration are collected into a batch ([`turn`]), iteration after iteration for as long
//! as the process runs ([`service`]).

mod draining;
pub mod estimates;
mod residency;
mod service;
mod startup;
mod status_index;
mod takeover;
mod turn;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use myrtleyard::endpoints::reader::List;
use myrtleyard::error_code::CodedError;
use myrtleyard::interface::*;
use myrtleyard::policy::Policy;
use myrtleyard::start::pace::Backlog;
use myrtleyard::status::State;
use myrtleyard::takeover::groups::Update;
use tokio::net::UnixStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

use super::calls::{Calls, Limits};
use super::counters::{ClientEvent, Counters, MessageEnd};
use super::handover::{self, FolderLock, Predecessor, Relay, SuccessorCommand};
use super::intake::{Answer, Intake, Submission};
use super::journal::{AcceptedMessage, Finish, GivenUp, Journal, PendingMessage, Record};
use super::listing::{EndpointAttributes, KnownEndpoint, ListBody};
use super::names::{Names, align_positions};
use super::parts::status::final_state;
use super::parts::{self, Parts};
use super::peers::Peers;
use super::platform::{self, Notice};
use super::working_set::WorkingSet;
pub use service::run;
use takeover::ReplicationState;

use super::{AttemptEnd, Clock, Inbound, STOP_WITHIN, ServiceState};

/// Time from SIGTERM until all clients use other senders.
const CLIENT_SWITCH_TIME: Micros = 1_000_000;
/// Retry-After for clients while the journal has no capacity left.
const RETRY_WHEN_FULL: Micros = 1_000_000;

/// A drain of this process that is in progress.
#[derive(Debug, Clone, Copy)]
struct Drain {
    since: Micros,
    deadline: Option<Micros>,
}

/// A message submitted within this iteration; it is not in the journal yet.
struct NewMessage {
    message: AcceptedMessage,
    /// The clients that wait for the answer: more than one if a client submitted the message again.
    answers: Vec<oneshot::Sender<Answer>>,
}

impl NewMessage {
    fn answer(self, answer: Answer) {
        for waiting in self.answers {
            // The receiver is gone if the client disconnected, which is reported as `Inbound::Withdrawn`.
            let _ = waiting.send(answer.clone());
        }
    }
}

struct Driver {
    clock: Clock,
    /// Shared with the intake.
    names: Rc<RefCell<Names>>,
    settings: Settings,
    /// Maximum number of connections to endpoints.
    connections: usize,
    /// Maximum number of client connections.
    max_clients: usize,
    /// Limit of the process's memory, bytes.
    memory_limit: u64,
    policy: Policy,
    journal: Journal,
    counters: Rc<Counters>,
    calls: Calls,
    peers: Option<Peers>,
    notices: UnboundedSender<Notice>,
    list_requests: Rc<platform::ListRequests>,
    /// One service answers the list watches of all senders, rather than an agent on each machine.
    shared_list_service: bool,
    inbound: UnboundedSender<Inbound>,
    service_state: watch::Sender<ServiceState>,
    stop_at: Option<Micros>,
    /// Set while operators have taken the process out of service.
    drain: Option<Drain>,
    /// The optional components that the configuration enables.
    parts: Parts,
    /// State of the messages replicated to other senders.
    replicated: ReplicationState,
    intake: Rc<Intake>,
    /// Endpoints of resident destinations.
    endpoints: HashMap<EndpointId, KnownEndpoint>,
    /// Which destinations the decision module knows, and the complete list if it is long.
    working_set: WorkingSet,
    /// Endpoint ids by name, and the number of ids assigned so far.
    ids: HashMap<String, EndpointId>,
    ids_assigned: u64,
    /// The list's version.
    index: u64,
    timers: BTreeSet<(Micros, u64)>,
    next_message: u32,
    /// Message numbers by `Req-Id`, for all messages in hand.
    held: HashMap<String, u32>,
    /// Number of attempts started for each message in hand.
    attempts: HashMap<u32, u16>,
    /// Messages submitted since the last iteration, or in the current one.
    new_messages: BTreeMap<u32, NewMessage>,
    /// Records that are not in the journal yet; nothing may rely on them.
    pending_records: Vec<Record>,
    /// Notices whose records are not in the journal yet.
    pending_notices: Vec<(u32, GivenUp, String)>,
    /// The last write of the journal failed.
    storage_failing: bool,
    /// The process that this one took over from, while it still runs.
    predecessor: Option<UnboundedSender<SuccessorCommand>>,
    /// A new process that asks to take over from this one.
    successor: Option<UnixStream>,
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
    /// Runs `act` on the optional components and sends the datagrams that it produces.
    fn with_parts<T>(&mut self, act: impl FnOnce(&mut Parts, &mut parts::Out) -> T) -> T {
        let mut out = parts::Out::new();
        let done = act(&mut self.parts, &mut out);
        if let Some(peers) = &self.peers {
            out.iter().for_each(|(to, datagram)| peers.send(Some(*to), datagram));
        }
        done
    }

    /// Starts from the last known list and from what an earlier process left in the journal.
    fn start(&mut self, known: List) -> Vec<Event> {
        let now = self.clock.now();
        // The list may be outdated: an endpoint missing from it may still be in discovery's, so no drain mark
        // is removed.
        let mut events = Vec::new();
        let whole = match known {
            List::Entries(body) => List::Entries(ListBody { snapshot: true, ..body }),
            table => table,
        };
        self.handle_list(whole, &mut events);
        if self.working_set.long_list {
            self.startup_from_known();
        }
        let live: Vec<(u32, PendingMessage)> =
            self.journal.pending().iter().map(|(n, l)| (*n, l.clone())).collect();
        let mut old = Vec::new();
        for (number, live) in live {
            self.held.insert(live.accepted.id.clone(), number);
            let class = self.names.borrow().class(&live.accepted.class);
            let given_up = match (live.given_up, class) {
                (None, Some(_)) if self.parts.start.is_some() => {
                    old.push((number, self.resume_deadline(number, &live, now)));
                    continue;
                }
                (None, Some(class)) => {
                    let (id, destination) = (&live.accepted.id, live.accepted.destination);
                    tracing::debug!(
                        id,
                        destination,
                        attempts = live.attempts.len(),
                        "message resumed from the journal"
                    );
                    let class = self.class_when_accepted(class, &live.accepted, &mut events);
                    self.resume(number, class, &live, now, &mut events);
                    continue;
                }
                (Some(how), _) => self.provable_outcome(&live, how),
                (None, None) => live.outcome_without_class(),
            };
            self.end_recovered(number, given_up, live.accepted);
        }
        if let Some(start_part) = &self.parts.start {
            start_part.core.borrow_mut().backlog = Backlog::new(old, now);
        }
        events
    }

    /// Ends a message of an earlier process and queues the notice to the platform.
    fn end_recovered(&mut self, number: u32, how: GivenUp, taken: AcceptedMessage) {
        self.index_ended(number, final_state(how));
        self.counters.count_ended(&taken.class, how.into());
        self.pending_records.push(Record::GivenUp(number, how));
        self.pending_notices.push((number, how, taken.id));
    }

    /// Returns the class for a message of an earlier process: the current class of that name, with the
    /// stricter of its effect now and its effect when the message was accepted. An older version's journal
    /// does not record the effect; such a message may not be repeated. If the effects differ, a class is
    /// added that only these messages use.
    fn class_when_accepted(
        &mut self,
        class: usize,
        taken: &AcceptedMessage,
        events: &mut Vec<Event>,
    ) -> usize {
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
        events.push(Event::Settings(Box::new(self.settings.clone())));
        place
    }

    /// Continues from the state of the previous process, as far as the settings are the same.
    fn take_over(
        &mut self,
        predecessor: Predecessor,
        inbound: UnboundedSender<Inbound>,
        seed: u64,
    ) -> (Vec<Event>, JoinHandle<()>) {
        let previous = *predecessor.state;
        let own = (self.settings.clone(), self.names.borrow().clone());
        self.policy = previous.policy.after_handover(seed);
        let held = |class| self.policy.holds_class(class);
        let (settings, names) = align_positions(own, &previous.settings, &previous.names, held);
        self.endpoints = previous.endpoints;
        self.working_set = previous.working;
        let dropped = self.working_set.drop_other_formats();
        if dropped > 0 {
            tracing::warn!(
                dropped,
                "the saved routes of evicted destinations were written by another version and are discarded"
            );
        }
        self.discard_changed_limits(&previous.settings, &settings);
        self.apply_settings(settings.clone(), names, &previous.names);
        self.ids = previous.ids;
        self.ids_assigned = previous.given;
        self.index = previous.index;
        self.timers = previous.timers;
        if self.working_set.long_list {
            // The table of the complete list is not part of the handover.
            self.list_requests.fetch.notify_one();
        } else {
            self.check_list_size();
        }
        self.startup_from_known();
        self.next_message = previous.next_message;
        self.held = previous.held;
        self.attempts = previous.attempts;
        // Notices are sent again if the journal has no record that the platform received them.
        let notice = |(number, live): (&u32, &PendingMessage)| {
            let how = self.provable_outcome(live, live.given_up?);
            Some((*number, how, live.accepted.id.clone()))
        };
        let owed: Vec<_> = self.journal.pending().iter().filter_map(notice).collect();
        self.pending_notices.extend(owed);
        let reset =
            |(message, attempt, endpoint)| AttemptEnd::unanswered(message, attempt, endpoint, Outcome::Reset);
        let out = self.policy.outstanding_attempts().map(reset).collect();
        let (orders, followed) = predecessor.link.follow(inbound, out);
        self.predecessor = Some(orders);
        // The new process may have draining switched on or off, or other zones and kinds.
        let relisted = self.relist_all();
        let mut first = vec![Event::Settings(Box::new(settings)), relisted];
        if self.working_set.long_list {
            self.load_for_held(&mut first);
        }
        (first, followed)
    }

    /// Puts these settings and names in force. The list refers to zones and kinds by position: each endpoint
    /// keeps its own by name.
    fn apply_settings(&mut self, settings: Settings, names: Names, before: &Names) {
        self.calls.set_limits(limits(&settings, &names, self.connections));
        self.counters.register_classes(&names);
        for known in self.endpoints.values_mut() {
            let Some(shape) = &mut known.shape else { continue };
            let (zone, kind) = known.named.get_or_insert_with(|| {
                let name = |names: &[String], at: usize| names.get(at).cloned().unwrap_or_default();
                (name(&before.zones, shape.zone.into()), name(&before.kinds, shape.kind))
            });
            (shape.zone, shape.kind) = (names.zone(zone), names.kind(kind));
            known.bundle = settings.kinds.get(shape.kind).map_or(1, |kind| kind.max_batch);
        }
        self.names.replace(names);
        self.settings = settings;
    }

    /// Discards learned limits if the two settings differ in how limits are reported.
    fn discard_changed_limits(&mut self, before: &Settings, now: &Settings) {
        if (before.weights, before.report) != (now.weights, now.report) {
            self.working_set.invalidate_limits();
        }
    }

    /// Sends the complete state to the next process, except for the last byte.
    async fn offer(&self, stream: UnixStream) -> std::io::Result<handover::PreparedHandover> {
        let drained = self.parts.draining.as_ref().map(|draining| draining.names()).unwrap_or_default();
        // Nobody changes the names during the transfer: only this task does.
        let names = self.names.borrow().clone();
        let state = handover::HandoverStateRef {
            now: self.clock.now(),
            policy: &self.policy,
            settings: &self.settings,
            names: &names,
            endpoints: &self.endpoints,
            ids: &self.ids,
            given: self.ids_assigned,
            // Index 0 makes the next process fetch a long list in full, since its table is not transferred.
            index: if self.working_set.long_list { 0 } else { self.index },
            timers: &self.timers,
            next_message: self.next_message,
            held: &self.held,
            attempts: &self.attempts,
            working: &self.working_set,
            drained,
        };
        handover::prepare_handover(stream, &state).await
    }

    /// Hands all other work to the next process, and stays only for calls and client requests in progress.
    async fn hand_over(
        mut self,
        prepared: handover::PreparedHandover,
        claim: FolderLock,
        intake: Rc<Intake>,
        events: UnboundedReceiver<Inbound>,
    ) {
        self.service_state.send_replace(ServiceState::HandedOver);
        tracing::info!(owed = self.journal.pending().len(), "handing over to a new process");
        self.counters.handed_over();
        self.calls.close_all_idle();
        // From here on the next process decides, and it could not cancel a call that waits for a connection
        // here in time.
        self.calls.abort_unwritten(|_| true);
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
        relay.run(prepared, claim, events).await;
    }

    /// Translates a message from a task into events for the decision module.
    fn handle_inbound(&mut self, inbound: Inbound, events: &mut Vec<Event>) {
        match inbound {
            Inbound::Submitted(message) => self.accept_message(message, events),
            Inbound::Withdrawn(id) => {
                // An accepted message stays owed, since some client was told so, even if another client that
                // used the same id disconnects. The same holds while another client still waits for the
                // answer.
                if let Some(number) = self.held.get(&id).copied()
                    && let Some(fresh) = self.new_messages.get_mut(&number)
                {
                    fresh.answers.retain(|waiting| !waiting.is_closed());
                    if fresh.answers.is_empty() {
                        events.push(Event::Withdrawn(MessageId(number)));
                        self.new_messages.remove(&number);
                        self.release(number, &id);
                    }
                }
            }
            Inbound::CallEnded(ends) => ends.into_iter().for_each(|end| events.push(self.attempt_ended(end))),
            Inbound::Event(event) => {
                // The previous process may have received the response, so that `calls` does not know of the
                // wait yet.
                if let Event::RetryAfter { endpoint, wait } = &event
                    && let Some(route) = self.policy.route_of(*endpoint)
                {
                    self.calls.hold(route, *wait);
                }
                events.push(event);
            }
            Inbound::Datagram(from, content) => {
                let now = self.clock.now();
                if !self.with_parts(|parts, out| parts.datagram(now, from, &content, out)) {
                    events.push(Event::Note { from, content });
                }
            }
            Inbound::ListReceived(list) => {
                self.handle_list(list, events);
                self.startup_list_changed();
                self.forget_marks();
            }
            Inbound::NoticesAcknowledged(messages) => {
                for MessageId(number) in messages {
                    let Some(live) = self.journal.pending().get(&number) else { continue };
                    let id = live.accepted.id.clone();
                    if self.given_up(number) == Some(GivenUp::Undeliverable) {
                        self.journal.remember_finished(&id, Finish::Failed);
                    }
                    self.update_backups(number, Update::Over);
                    self.pending_records.push(Record::Closed(number));
                    self.release(number, &id);
                }
            }
            Inbound::Successor(stream) => self.successor = Some(stream),
            // The process that owns the state folder receives no orders.
            Inbound::SuccessorCommand(_) => {}
            Inbound::Reloaded(Ok(config)) => {
                let now = self.clock.now();
                if let Some(peers) = &self.peers {
                    peers.set_addresses(&config.peers);
                }
                self.with_parts(|parts, out| parts.adopt(&config, now, out));
                let own = (config.settings, config.names);
                let before = self.names.borrow().clone();
                // Messages of this iteration are not in the decision module yet.
                let in_this_iteration = |class| {
                    events.iter().any(|event| {
                        matches!(event, Event::Accepted(m) if m.class == class)
                            || matches!(event, Event::Resumed { message, .. } if message.class == class)
                    })
                };
                let seed = config.seed ^ self.index;
                let held = |class| self.policy.holds_class(class) || in_this_iteration(class);
                let (settings, names) = align_positions(own, &self.settings, &before, held);
                self.counters.count_reload(true);
                let list_settings =
                    |s: &Settings| (s.list_on_request, s.rules.ask_every, s.senders, s.rules.drain_grace);
                if list_settings(&settings) != list_settings(&self.settings) {
                    let new_mode =
                        platform::Following::new(&settings, self.shared_list_service, self.index, seed);
                    self.list_requests.new_mode.replace(Some(new_mode));
                    self.list_requests.fetch.notify_one();
                }
                self.discard_changed_limits(&self.settings.clone(), &settings);
                self.apply_settings(settings.clone(), names, &before);
                events.push(Event::Settings(Box::new(settings)));
                events.push(self.relist_all());
            }
            Inbound::Reloaded(Err(e)) => {
                self.counters.count_reload(false);
                tracing::warn!(
                    code = e.code(),
                    remedy = e.remedy(),
                    "configuration reload failed, the current one stays in force: {e}"
                );
            }
            Inbound::Service(wanted, done) => {
                self.set_service(wanted, None, events);
                // The caller may have disconnected.
                let _ = done.send(*self.service_state.borrow());
            }
            Inbound::Control(ask, reply) => {
                let _ = reply.send(self.control(ask, events));
            }
            Inbound::StatusQuery(call, within, reply) => self.ask_status(*call, within, reply),
            Inbound::Terminate if self.stop_at.is_some() => {}
            Inbound::Terminate => {
                let at = self.clock.now() + STOP_WITHIN;
                self.stop_at = Some(at);
                self.service_state.send_replace(ServiceState::Stopping);
                tracing::info!(owed = self.journal.pending().len(), "shutdown requested");
                let now = self.clock.now();
                self.with_parts(|parts, out| parts.serving(now, false, out));
                // The module judges all messages by the time left, so it must know the ones of earlier
                // processes, too.
                events.extend(self.resume_all());
                events.push(Event::Stopping(at));
            }
        }
    }

    fn accept_message(&mut self, message: Submission, events: &mut Vec<Event>) {
        let Submission { taken, answer, presence, .. } = message;
        if presence.is_some_and(|presence| presence.has_left()) {
            tracing::debug!(id = taken.id, "the client left before its message was accepted");
            self.counters.count_client(ClientEvent::Departed);
            return;
        }
        if let Some(number) = self.held.get(&taken.id) {
            // The client did not receive the answer and submits the message again.
            self.counters.count_client(ClientEvent::Repeated);
            match self.new_messages.get_mut(number) {
                Some(fresh) => fresh.answers.push(answer),
                None => drop(answer.send(self.held_answer(*number, &taken))),
            }
            return;
        }
        if let Some(finish) = self.journal.finished(&taken.id) {
            tracing::debug!(id = taken.id, ?finish, "message submitted again after its end");
            self.counters.count_client(ClientEvent::Repeated);
            let _ = answer.send(match finish {
                Finish::Accepted => self.accepted_answer(&taken),
                Finish::Failed => Answer::Failed,
            });
            return;
        }
        // Settings may have changed since the request head was read, here or in the previous process: the
        // current ones decide.
        let class = self.names.borrow().class(&taken.class);
        let Some(class) = class.filter(|_| self.names.borrow().accepts_tenant(taken.owner.as_deref())) else {
            self.counters.count_ended(&taken.class, MessageEnd::Deferred);
            let _ = answer.send(Answer::Refused(0));
            return;
        };
        let effect = self.settings.classes.get(class).map(|class| class.effect);
        let taken = AcceptedMessage { effect, ..taken };
        let pending: u64 = self.new_messages.values().map(|fresh| Journal::reservation(&fresh.message)).sum();
        if !self.journal.has_capacity(&taken, pending) {
            self.counters.count_ended(&taken.class, MessageEnd::Deferred);
            let _ = answer.send(Answer::Refused(RETRY_WHEN_FULL));
            return;
        }
        let number = self.next_message;
        self.next_message = number.wrapping_add(1);
        self.load(taken.destination, events);
        events.push(Event::Accepted(self.message(number, class, &taken, self.clock.now())));
        self.held.insert(taken.id.clone(), number);
        self.new_messages.insert(number, NewMessage { message: taken, answers: vec![answer] });
    }

    /// How the message was given up, whether or not its record is in the journal yet.
    fn given_up(&self, number: u32) -> Option<GivenUp> {
        let recorded = self.journal.pending().get(&number).and_then(|live| live.given_up);
        let unwritten = || {
            self.pending_records.iter().find_map(|record| match record {
                Record::GivenUp(message, how) if *message == number => Some(*how),
                _ => None,
            })
        };
        recorded.or_else(unwritten)
    }

    /// The answer to a message that is in hand and submitted again.
    fn held_answer(&mut self, number: u32, taken: &AcceptedMessage) -> Answer {
        match self.given_up(number) {
            Some(GivenUp::Undeliverable) => Answer::Failed,
            // It may be accepted again once the platform has acknowledged its notice.
            Some(GivenUp::Deferred(again)) => Answer::Refused(again),
            None => {
                // The log number of a message granted since the last iteration may not be on disk yet.
                self.store_index();
                self.accepted_answer(taken)
            }
        }
    }

    fn attempt_ended(&mut self, end: AttemptEnd) -> Event {
        let number = end.message.0;
        let live = self.journal.pending().get(&number);
        let owed = live.filter(|live| live.given_up.is_none());
        let owed = owed.map(|live| (live.accepted.id.clone(), live.accepted.class.clone()));
        // If the message is over or given up already, this result changes nothing.
        let mut terminal = true;
        if let Some((id, class)) = owed.filter(|owed| self.held.get(&owed.0) == Some(&number)) {
            terminal = end.gone || end.outcome == Outcome::Delivered;
            let never_ran = end.outcome.never_ran();
            if terminal {
                self.update_backups(number, Update::Over);
            } else if never_ran {
                self.update_backups(number, Update::NeverRan(end.attempt));
            }
            let delivered = end.outcome == Outcome::Delivered;
            // The endpoint may know that the message is over, but not with which outcome.
            let finish = if delivered { Finish::Accepted } else { Finish::Failed };
            if terminal {
                self.index_ended(number, if delivered { State::Delivered } else { State::Unknown });
            }
            self.pending_records.push(if terminal {
                Record::Finished(number, finish)
            } else {
                Record::AttemptEnded { message: number, attempt: end.attempt, never_ran }
            });
            let took_ms = end.took / 1000;
            tracing::debug!(id, attempt = end.attempt, outcome = ?end.outcome, took_ms, "attempt ended");
            if delivered {
                self.counters.count_ended(&class, MessageEnd::Answered);
            }
            if terminal {
                self.journal.remember_finished(&id, finish);
                self.release(number, &id);
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

    fn message(&self, number: u32, class: usize, taken: &AcceptedMessage, now: Micros) -> Message {
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

    fn release(&mut self, number: u32, id: &str) {
        self.calls.give_up(MessageId(number));
        self.attempts.remove(&number);
        self.held.remove(id);
    }

    fn send_notice(&self, number: u32, how: GivenUp, id: String) {
        let _ = self.notices.send(Notice { message: MessageId(number), id, how });
    }

    /// Returns the id for an endpoint's name, and assigns one if the name is new, even if no list has it.
    fn endpoint_id(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        self.ids_assigned += 1;
        let mut bytes = [0; 6];
        bytes.copy_from_slice(&self.ids_assigned.to_be_bytes()[2..]);
        self.ids.insert(name.to_owned(), EndpointId(bytes));
        EndpointId(bytes)
    }

    fn apply_listing(&mut self, list: ListBody) -> Event {
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
            let mut endpoint = self.endpoint_id(&listing.name);
            let before = self.endpoints.get(&endpoint).filter(|known| known.group != listing.group);
            let mut entry = |endpoint, group, listing| {
                let destination = DestinationId(group);
                entries.push(Entry { endpoint, destination, zone, kind, weight: 0.0, listing });
            };
            if let Some(group) = before.map(|known| known.group) {
                // A name that moves to another destination is a different endpoint there.
                entry(endpoint, group, Listing::Gone);
                self.endpoints.remove(&endpoint);
                self.ids.remove(&listing.name);
                endpoint = self.endpoint_id(&listing.name);
            }
            let state = match listing.status.as_str() {
                "active" => Listing::Ready,
                "left" => Listing::Gone,
                _ => Listing::Draining,
            };
            let draining = self.parts.draining.as_ref();
            let over = draining.map_or(state, |draining| draining.effective(&listing.name, state));
            entry(endpoint, listing.group, over);
            let weight = if listing.weight.is_finite() { listing.weight.max(0.0) } else { 0.0 };
            if let Some(entry) = entries.last_mut() {
                entry.weight = weight;
            }
            let bundle = self.settings.kinds.get(kind).map_or(1, |kind| kind.max_batch);
            let (address, group) = (listing.address.parse().ok(), listing.group);
            let (listed, active) = (state != Listing::Gone, state == Listing::Ready);
            let since_ms = listing.since_ms;
            let (name, shape) = (listing.name, Some(EndpointAttributes { zone, kind, weight, active }));
            self.endpoints.insert(
                endpoint,
                KnownEndpoint { name, group, address, listed, shape, named, bundle, since_ms },
            );
        }
        if list.snapshot { Event::List(entries) } else { Event::Changes(entries) }
    }

    /// Whether this process was asked to end and has nothing left that the next process can't do.
    fn may_end(&self, clients: usize) -> bool {
        let Some(at) = self.stop_at else { return false };
        let now = self.clock.now();
        let idle = self.journal.pending().is_empty() && clients == 0;
        let called = now < at - STOP_WITHIN + CLIENT_SWITCH_TIME;
        // A client whose request is still being read would lose it with the process.
        (idle && !called && self.pending_records.is_empty())
            || (now >= at && self.calls.in_flight() == 0 && clients == 0)
    }
}
