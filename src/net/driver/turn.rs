//! One iteration of the event loop: the decision module decides, the journal is written, and only then are
//! clients answered and calls started.

use std::collections::{BTreeMap, HashMap};

use myrtleyard::interface::*;

use super::super::calls::{CallMessage, Target};
use super::super::counters::{Gauges, MessageEnd};
use super::super::handover::SuccessorCommand;
use super::super::intake::Answer;
use super::super::journal::{
    self, AcceptedMessage, Attempt, GivenUp, PendingMessage, Record, acceptance_records,
};
use super::super::parts::status::final_state;
use super::super::{AttemptEnd, Inbound};
use super::{Driver, NewMessage, RETRY_WHEN_FULL};

/// The module gives a message up at most so many periods before its deadline.
const OVERDUE_PERIODS: Micros = 2;

/// A call that the decision module asks for, with one message.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedCall {
    pub(super) message: MessageId,
    /// The attempt's number.
    pub(super) attempt: u16,
    pub(super) endpoint: EndpointId,
    /// How long to wait for the answer, from the iteration that decided it.
    pub(super) timeout: Micros,
    /// When its intent was granted, or needed no grant: no other sender had come to own the message by then.
    pub(super) owned_at: Option<Micros>,
}

/// Actions of the decision module that may be carried out only after they are in the journal.
#[derive(Default)]
struct Decided {
    calls: Vec<PlannedCall>,
    given_up: Vec<(u32, GivenUp)>,
}

impl Driver {
    /// Runs one iteration: the module decides, the journal is written, then clients are answered and calls
    /// started.
    pub(super) fn turn(&mut self, mut events: Vec<Event>) {
        if self.storage_failing {
            events.extend(self.retry_storage());
        }
        let now = self.clock.now();
        let mut actions = Vec::new();
        self.policy.handle(now, &events, &mut actions);
        self.withdraw_calls(&events);
        let mut records = std::mem::take(&mut self.pending_records);
        let mut fresh = std::mem::take(&mut self.new_messages);
        let mut decided = Decided::default();
        for action in actions {
            self.execute(action, &fresh, &mut decided);
        }
        for (number, how) in decided.given_up {
            match fresh.remove(&number) {
                // Rejected in the iteration that received it: it never enters the journal.
                Some(fresh) => self.reject(number, fresh, how),
                None => records.extend(self.give_up(number, how)),
            }
        }
        let kept = records.len();
        self.record_accepted(&fresh, now, &mut records);
        records.extend(decided.calls.iter().map(|call| self.record_begun(call, now)));
        match self.journal.append(&records) {
            Ok(()) => self.after_write(fresh, decided.calls, now),
            Err(e) => {
                tracing::error!(
                    "writing the journal failed; no message is accepted and no call started: {e}"
                );
                records.truncate(kept);
                self.write_failed(records, fresh, &decided.calls);
            }
        }
        self.counters.set_gauges(Gauges {
            current: self.policy.held(),
            cluster_size: self.endpoints_listed(),
            cluster_unhealthy: self.policy.unhealthy_endpoints(),
            resident: self.working_set.resident(),
            forgotten: self.working_set.forgotten,
        });
    }

    /// Carries out an action that needs no record; the others are collected in `decided`.
    fn execute(&mut self, action: Action, fresh: &BTreeMap<u32, NewMessage>, decided: &mut Decided) {
        match action {
            Action::Attempt { message, endpoint, timeout } => {
                let attempt = self.next_attempt(message, fresh);
                let call = attempt.map(|attempt| PlannedCall {
                    message,
                    attempt,
                    endpoint,
                    timeout,
                    owned_at: None,
                });
                decided.calls.extend(call);
            }
            Action::Refuse { message, retry_after } => {
                decided.given_up.push((message.0, GivenUp::Deferred(retry_after)));
            }
            Action::Fail(message) => decided.given_up.push((message.0, GivenUp::Undeliverable)),
            Action::Cancel { message, attempt } => {
                self.calls.cancel(message, attempt);
                if let Some(predecessor) = &self.predecessor {
                    let _ = predecessor.send(SuccessorCommand::Cancel(message, attempt));
                }
            }
            Action::Probe(endpoint) => self.probe(endpoint),
            Action::CloseIdle(endpoint) => self.calls.close_idle(endpoint),
            Action::Watch => self.list_requests.watch.notify_one(),
            Action::FetchList => self.list_requests.fetch.notify_one(),
            Action::SendNote { to, content } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &content);
                }
            }
            Action::SetTimer { at, token } => {
                self.timers.insert((at, token));
            }
            Action::Log(line) => tracing::info!("{line}"),
        }
    }

    fn probe(&self, endpoint: EndpointId) {
        match self.target(endpoint) {
            Some(line) => self.calls.probe(line),
            None => {
                let outcome = Outcome::ConnectFailed;
                let event = Event::Probed { endpoint, outcome, report: vec![] };
                let _ = self.inbound.send(Inbound::Event(event));
            }
        }
    }

    /// Rejects a message that was submitted in this iteration.
    fn reject(&mut self, number: u32, fresh: NewMessage, how: GivenUp) {
        self.release(number, &fresh.message.id);
        self.counters.count_ended(&fresh.message.class, how.into());
        let (id, destination) = (&fresh.message.id, fresh.message.destination);
        tracing::debug!(id, destination, ?how, "message rejected");
        fresh.answer(match how {
            GivenUp::Deferred(again) => Answer::Refused(again),
            GivenUp::Undeliverable => Answer::Failed,
        });
    }

    /// Ends an accepted message undelivered, and returns the journal record for that if the message is still
    /// owed.
    fn give_up(&mut self, number: u32, how: GivenUp) -> Option<Record> {
        let live = self.journal.pending().get(&number)?;
        let unwritten = self.calls.give_up(MessageId(number));
        let never_ran = |attempt: &Attempt| attempt.never_ran || unwritten.contains(&attempt.number);
        // The module does not know whether a call's request was written. Calls made by other senders are not
        // known here at all.
        let none_ran = live.replicated.is_none() && live.attempts.iter().all(never_ran);
        let how = match how {
            GivenUp::Undeliverable if none_ran => GivenUp::Deferred(0),
            how => self.provable_outcome(live, how),
        };
        let id = live.accepted.id.clone();
        let (destination, attempts) = (live.accepted.destination, live.attempts.len());
        tracing::debug!(id, destination, attempts, ?how, "message given up");
        self.counters.count_ended(&live.accepted.class, how.into());
        self.index_ended(number, final_state(how));
        self.pending_notices.push((number, how, id));
        Some(Record::GivenUp(number, how))
    }

    fn record_accepted(&mut self, fresh: &BTreeMap<u32, NewMessage>, now: Micros, records: &mut Vec<Record>) {
        for (number, fresh) in fresh {
            records.extend(acceptance_records(*number, &fresh.message));
            let tag = self.assign_group(&fresh.message, now);
            records.extend(tag.map(|tag| Record::Replicated(*number, tag, now)));
        }
    }

    fn record_begun(&self, call: &PlannedCall, now: Micros) -> Record {
        let known = self.endpoints.get(&call.endpoint);
        Record::AttemptBegun {
            message: call.message.0,
            attempt: call.attempt,
            endpoint: known.map(|known| known.name.clone()).unwrap_or_default(),
            at: now,
        }
    }

    /// The records of this iteration are in the journal: answers clients, notifies the platform and starts
    /// calls.
    fn after_write(&mut self, fresh: BTreeMap<u32, NewMessage>, calls: Vec<PlannedCall>, now: Micros) {
        self.index_accepted(&fresh, now);
        for (number, fresh) in fresh {
            self.replicate(number, now);
            let AcceptedMessage { id, class, destination, .. } = &fresh.message;
            tracing::debug!(id, class, destination, "message accepted");
            let answer = self.accepted_answer(&fresh.message);
            fresh.answer(answer);
        }
        for (number, how, id) in std::mem::take(&mut self.pending_notices) {
            self.notify_when_granted(number, how, id);
        }
        let calls = self.hold_for_grants(calls, now);
        self.start_calls(calls, now);
        self.with_parts(|parts, out| {
            if let Some(takeover) = &mut parts.takeover {
                takeover.flush(now, out);
            }
            if let Some(status_part) = &mut parts.status {
                status_part.flush(now, out);
            }
        });
    }

    /// An accepted message must survive the process: if the journal can't be written, no message is accepted
    /// and no call starts.
    fn write_failed(
        &mut self,
        records: Vec<Record>,
        fresh: BTreeMap<u32, NewMessage>,
        calls: &[PlannedCall],
    ) {
        self.pending_records = records;
        if !std::mem::replace(&mut self.storage_failing, true) {
            let _ = self.inbound.send(Inbound::Event(Event::StorageFailing(true)));
        }
        self.send_overdue_notices();
        calls.iter().for_each(|call| self.report_not_made(*call));
        for (number, fresh) in fresh {
            self.release(number, &fresh.message.id);
            self.counters.count_ended(&fresh.message.class, MessageEnd::Deferred);
            let _ = self.inbound.send(Inbound::Event(Event::Withdrawn(MessageId(number))));
            fresh.answer(Answer::Refused(RETRY_WHEN_FULL));
        }
    }

    /// Writes what an earlier turn could not write. Returns the event that writing works again.
    fn retry_storage(&mut self) -> Option<Event> {
        let mut records = std::mem::take(&mut self.pending_records);
        let count = records.len();
        if count == 0 {
            records.push(journal::probe_record());
        }
        let failed = self.journal.append(&records).is_err();
        if failed {
            records.truncate(count);
            self.pending_records = records;
            return None;
        }
        tracing::info!(records = count, "the journal can be written again");
        self.storage_failing = false;
        Some(Event::StorageFailing(false))
    }

    /// Notifies the platform of messages whose time is up, although their ends are not in the journal: a next
    /// process could only notify it again. All other notices wait, since a next process might call for these
    /// messages.
    fn send_overdue_notices(&mut self) {
        let soon = self.clock.now() + OVERDUE_PERIODS * self.settings.period;
        let pending = self.journal.pending();
        let is_overdue = |notice: &mut (u32, GivenUp, String)| {
            pending.get(&notice.0).is_some_and(|live| live.accepted.deadline <= soon)
        };
        let overdue: Vec<_> = self.pending_notices.extract_if(.., is_overdue).collect();
        for (number, how, id) in overdue {
            self.notify_when_granted(number, how, id);
        }
    }

    /// Ends calls that wait for a connection to an endpoint that is leaving or gone, so that their messages
    /// go elsewhere at once.
    fn withdraw_calls(&self, events: &[Event]) {
        let listed = |entries: &[Entry], endpoint, ready| {
            entries.iter().any(|e| e.endpoint == endpoint && (e.listing == Listing::Ready) == ready)
        };
        for event in events {
            match event {
                Event::List(entries) => {
                    self.calls.abort_unwritten(|endpoint| !listed(entries, endpoint, true))
                }
                Event::Changes(entries) => {
                    self.calls.abort_unwritten(|endpoint| listed(entries, endpoint, false))
                }
                _ => {}
            }
        }
    }

    /// Reports to the module that a call was not made.
    pub(super) fn report_not_made(&self, call: PlannedCall) {
        let outcome = Outcome::Moot { no_slot: false };
        let end = AttemptEnd::unanswered(call.message, call.attempt, call.endpoint, outcome);
        let _ = self.inbound.send(Inbound::CallEnded(vec![end]));
    }

    /// Returns the number of the message's next attempt, if the message is in hand.
    fn next_attempt(&mut self, message: MessageId, fresh: &BTreeMap<u32, NewMessage>) -> Option<u16> {
        let known = fresh.contains_key(&message.0) || self.journal.pending().contains_key(&message.0);
        let count = self.attempts.entry(message.0).or_default();
        *count += 1;
        known.then_some(*count - 1)
    }

    pub(super) fn target(&self, endpoint: EndpointId) -> Option<Target> {
        let address = self.endpoints.get(&endpoint)?.address?;
        Some(Target { endpoint, address, route: self.policy.route_of(endpoint)? })
    }

    /// The time by which a keyed message's request must be written: a repeat must reach the endpoint while it
    /// still remembers the key, however late the connection comes up. A replicated message is bound from when
    /// other senders may have tried it: when it was accepted, or when this call's intent was granted. Once the
    /// window since it was accepted is over, calls need a grant.
    pub(super) fn write_by(
        &self,
        number: u32,
        live: &PendingMessage,
        call: Option<&PlannedCall>,
        now: Micros,
    ) -> Option<Micros> {
        let class = self.policy.class_of(MessageId(number));
        let class = class.or_else(|| self.names.borrow().class(&live.accepted.class))?;
        let effect = self
            .settings
            .classes
            .get(class)?
            .effect
            .stricter(live.accepted.effect.unwrap_or(Effect::Repeatable));
        let Effect::Keyed { window, .. } = effect else { return None };
        let own = call.map(|call| call.attempt);
        let ran = live.attempts.iter().filter(|earlier| Some(earlier.number) != own && !earlier.never_ran);
        let owned_at = call.and_then(|call| call.owned_at);
        let elsewhere = live.replicated.as_ref().map(|(_, since)| owned_at.unwrap_or(*since));
        let elsewhere = elsewhere.filter(|since| now < since + window);
        let first = ran.map(|earlier| earlier.at).chain(elsewhere).min()?;
        Some(first.saturating_add(window).saturating_sub(self.settings.repeat_margin(window)))
    }

    /// Starts the calls of an iteration. Messages to one endpoint share a call as far as its kind allows.
    /// Their timeouts run from the time of the decision.
    pub(super) fn start_calls(&mut self, calls: Vec<PlannedCall>, now: Micros) {
        for (endpoint, mut parts) in self.group_into_calls(calls, now) {
            // The message with the latest timeout comes first, since the call lasts that long: it must not be
            // given up while others in the call still wait.
            parts.sort_by_key(|part| std::cmp::Reverse(part.until));
            match self.target(endpoint) {
                Some(line) => self.calls.start(line, parts),
                None => self.report_no_address(endpoint, parts),
            }
        }
    }

    /// Groups messages into calls, in the order in which the module asked for them.
    fn group_into_calls(
        &mut self,
        planned: Vec<PlannedCall>,
        now: Micros,
    ) -> Vec<(EndpointId, Vec<CallMessage>)> {
        let mut calls: Vec<(EndpointId, Vec<CallMessage>)> = Vec::new();
        let mut last: HashMap<EndpointId, usize> = HashMap::new();
        for call in planned {
            let endpoint = call.endpoint;
            let Some(part) = self.call_message(&call, now) else { continue };
            let known = self.endpoints.get(&endpoint);
            let bundle = known.map_or(1, |known| known.bundle);
            let open = last.get(&endpoint).copied().and_then(|at| calls.get_mut(at));
            match open.filter(|call| call.1.len() < bundle) {
                Some(call) => call.1.push(part),
                None => {
                    last.insert(endpoint, calls.len());
                    calls.push((endpoint, vec![part]));
                }
            }
        }
        calls
    }

    /// Returns the message as part of a call, if it is still owed.
    fn call_message(&mut self, call: &PlannedCall, now: Micros) -> Option<CallMessage> {
        let PlannedCall { message, attempt, endpoint, timeout, .. } = *call;
        let live = self.journal.pending().get(&message.0)?;
        let until = now + timeout;
        let write_by = self.write_by(message.0, live, Some(call), now).map_or(until, |by| by.min(until));
        let (until, write_by) = (self.clock.instant(until), self.clock.instant(write_by));
        if let Some(status_part) = &mut self.parts.status {
            status_part.attempt_begun(&live.accepted, attempt, self.clock.now());
        }
        let AcceptedMessage { id, key, body, .. } = live.accepted.clone();
        let name = self.endpoints.get(&endpoint).map_or("", |known| known.name.as_str());
        tracing::debug!(id, attempt, endpoint = name, "attempt started");
        Some(CallMessage { message, attempt, id, key, body, until, write_by })
    }

    /// An endpoint without a parsable address counts as one that refuses connections.
    fn report_no_address(&self, endpoint: EndpointId, parts: Vec<CallMessage>) {
        let failed = Outcome::ConnectFailed;
        let end = |part: CallMessage| AttemptEnd::unanswered(part.message, part.attempt, endpoint, failed);
        let _ = self.inbound.send(Inbound::CallEnded(parts.into_iter().map(end).collect()));
    }
}
