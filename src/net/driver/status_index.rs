//! The status index in the running sender: updates to it and queries of it.

use std::collections::BTreeMap;

use hyper::StatusCode;
use myrtleyard::interface::Micros;
use myrtleyard::status::State;
use tokio::sync::oneshot;

use super::super::control::{Reply, StatusCall};
use super::super::intake::Answer;
use super::super::journal::{AcceptedMessage, GivenUp};
use super::super::parts::Part;
use super::super::parts::status::final_state;
use super::{Driver, NewMessage};

fn not_enabled() -> Reply {
    let why = "the status index is off: the configuration has no section \"status\"";
    Reply::error_with_code(
        StatusCode::NOT_FOUND,
        "status-off",
        why,
        "add the section, and start a new process",
    )
}

impl Driver {
    /// Brings the index in line with the messages in the journal at startup.
    pub(super) fn resume_index(&mut self) {
        let now = self.clock.now();
        if let Some(indexing) = &mut self.parts.status {
            indexing.reconcile(self.journal.pending().values(), now);
        }
    }

    /// Adds accepted messages to the index and stores it before the clients are answered.
    pub(super) fn index_accepted(&mut self, fresh: &BTreeMap<u32, NewMessage>, now: Micros) {
        let Some(indexing) = &mut self.parts.status else { return };
        for fresh in fresh.values() {
            indexing.message_accepted(&fresh.message, now, 0);
        }
        if !fresh.is_empty() {
            indexing.store(now);
        }
    }

    /// Stores the index, before a log number of it is given to a client.
    pub(super) fn store_index(&mut self) {
        let now = self.clock.now();
        if let Some(indexing) = &mut self.parts.status {
            indexing.store(now);
        }
    }

    /// Adds a message adopted from another sender, which accepted it at `since`.
    pub(super) fn index_adopted(
        &mut self,
        taken: &AcceptedMessage,
        since: Micros,
        epoch: u32,
        how: Option<GivenUp>,
    ) {
        let now = self.clock.now();
        let Some(indexing) = &mut self.parts.status else { return };
        indexing.message_accepted(taken, since, epoch);
        if let Some(how) = how {
            indexing.message_ended(taken, final_state(how), now);
        }
    }

    /// Records the outcome of a message that is still in the journal.
    pub(super) fn index_ended(&mut self, number: u32, end: State) {
        let now = self.clock.now();
        if let (Some(indexing), Some(live)) = (&mut self.parts.status, self.journal.pending().get(&number)) {
            indexing.message_ended(&live.accepted, end, now);
        }
    }

    /// The answer to the client whose message was accepted: with a session token if its tenant's plan has
    /// sessions.
    pub(super) fn accepted_answer(&self, taken: &AcceptedMessage) -> Answer {
        let token = self.parts.plans.as_ref().zip(self.parts.status.as_ref());
        let token = token.and_then(|(reading, indexing)| reading.token(taken, indexing));
        token.map_or(Answer::Taken, Answer::TakenAt)
    }

    /// The report on plans and reads, for operators.
    pub(super) fn plans_report(&self) -> Reply {
        match self.parts.plans.as_ref().filter(|reading| reading.is_on()) {
            Some(reading) => Reply::ok(&reading.report(self.clock.now())),
            None => {
                let why = "plans are off: the configuration has no section \"plans\"";
                Reply::error_with_code(
                    StatusCode::NOT_FOUND,
                    "plans-off",
                    why,
                    "add the section beside \"status\"",
                )
            }
        }
    }

    /// Queries the status index of the tier; the caller is answered within `within`. If plans are configured,
    /// the tenant's plan applies.
    pub(super) fn ask_status(&mut self, call: StatusCall, within: Micros, reply: oneshot::Sender<Reply>) {
        let now = self.clock.now();
        let facts = self.parts.membership.as_ref().map(|view| view.view(now));
        let estimating = self.parts.estimate.as_mut();
        match (&mut self.parts.status, &mut self.parts.plans, estimating) {
            (Some(indexing), Some(reading), Some(estimating)) if reading.is_on() => {
                reading.begin(call, (now, within), reply, (indexing, facts.as_ref(), estimating));
            }
            (Some(indexing), _, estimating) => {
                let basis = estimating.as_ref().map(|part| part.core.predict(now, &call.query).basis);
                let number = indexing.ask(call.query, within, now, reply);
                if let (Some(part), Some(number), Some(basis)) = (estimating, number, basis) {
                    part.query_started(number, basis);
                }
            }
            // The caller may have disconnected.
            (None, ..) => drop(reply.send(not_enabled())),
        }
    }

    /// The report on the index, for operators.
    pub(super) fn status_report(&self) -> Reply {
        match &self.parts.status {
            Some(indexing) => Reply::ok(&indexing.report(self.clock.now())),
            None => not_enabled(),
        }
    }
}
