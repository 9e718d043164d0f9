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
        if let Some(status_part) = &mut self.parts.status {
            status_part.reconcile(self.journal.pending().values(), now);
        }
    }

    /// Adds accepted messages to the index and stores it before the clients are answered.
    pub(super) fn index_accepted(&mut self, fresh: &BTreeMap<u32, NewMessage>, now: Micros) {
        let Some(status_part) = &mut self.parts.status else { return };
        for fresh in fresh.values() {
            status_part.message_accepted(&fresh.message, now, 0);
        }
        if !fresh.is_empty() {
            status_part.store(now);
        }
    }

    /// Stores the index, before a log number of it is given to a client.
    pub(super) fn store_index(&mut self) {
        let now = self.clock.now();
        if let Some(status_part) = &mut self.parts.status {
            status_part.store(now);
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
        let Some(status_part) = &mut self.parts.status else { return };
        status_part.message_accepted(taken, since, epoch);
        if let Some(how) = how {
            status_part.message_ended(taken, final_state(how), now);
        }
    }

    /// Records the outcome of a message that is still in the journal.
    pub(super) fn index_ended(&mut self, number: u32, end: State) {
        let now = self.clock.now();
        if let (Some(status_part), Some(live)) = (&mut self.parts.status, self.journal.pending().get(&number))
        {
            status_part.message_ended(&live.accepted, end, now);
        }
    }

    /// The answer to the client whose message was accepted: with a session token if its tenant's plan has
    /// sessions.
    pub(super) fn accepted_answer(&self, taken: &AcceptedMessage) -> Answer {
        let token = self.parts.plans.as_ref().zip(self.parts.status.as_ref());
        let token = token.and_then(|(plans_part, status_part)| plans_part.token(taken, status_part));
        token.map_or(Answer::Taken, Answer::TakenAt)
    }

    /// The report on plans and reads, for operators.
    pub(super) fn plans_report(&self) -> Reply {
        match self.parts.plans.as_ref().filter(|plans_part| plans_part.is_on()) {
            Some(plans_part) => Reply::ok(&plans_part.report(self.clock.now())),
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
        let estimate_part = self.parts.estimate.as_mut();
        match (&mut self.parts.status, &mut self.parts.plans, estimate_part) {
            (Some(status_part), Some(plans_part), Some(estimate_part)) if plans_part.is_on() => {
                plans_part.begin(call, (now, within), reply, (status_part, facts.as_ref(), estimate_part));
            }
            (Some(status_part), _, estimate_part) => {
                let basis = estimate_part.as_ref().map(|part| part.core.predict(now, &call.query).basis);
                let number = status_part.ask(call.query, within, now, reply);
                if let (Some(part), Some(number), Some(basis)) = (estimate_part, number, basis) {
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
            Some(status_part) => Reply::ok(&status_part.report(self.clock.now())),
            None => not_enabled(),
        }
    }
}
