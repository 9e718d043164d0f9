//! The status index in the running sender: updates to it and queries of it.

use std::collections::BTreeMap;

use hyper::StatusCode;
use myrtleyard::interface::Micros;
use myrtleyard::status::State;
use tokio::sync::oneshot;

use super::super::control::{Reply, StatusCall};
use super::super::intake::Answer;
use super::super::journal::{GivenUp, Taken};
use super::super::parts::Part;
use super::super::parts::indexing::end_of;
use super::{Driver, Fresh};

fn not_on() -> Reply {
    let why = "the status index is off: the configuration has no section \"status\"";
    Reply::typed(StatusCode::NOT_FOUND, "status-off", why, "add the section, and start a new process")
}

impl Driver {
    /// Brings the index in line with the messages in the journal at startup.
    pub(super) fn resume_indexed(&mut self) {
        let now = self.clock.now();
        if let Some(indexing) = &mut self.parts.indexing {
            indexing.settle(self.journal.live().values(), now);
        }
    }

    /// Adds accepted messages to the index and stores it before the clients are answered.
    pub(super) fn index_taken(&mut self, fresh: &BTreeMap<u32, Fresh>, now: Micros) {
        let Some(indexing) = &mut self.parts.indexing else { return };
        for fresh in fresh.values() {
            indexing.taken(&fresh.taken, now, 0);
        }
        if !fresh.is_empty() {
            indexing.keep(now);
        }
    }

    /// Stores the index, before a log number of it is given to a client.
    pub(super) fn index_kept(&mut self) {
        let now = self.clock.now();
        if let Some(indexing) = &mut self.parts.indexing {
            indexing.keep(now);
        }
    }

    /// Adds a message adopted from another sender, which accepted it at `since`.
    pub(super) fn index_adopted(&mut self, taken: &Taken, since: Micros, epoch: u32, how: Option<GivenUp>) {
        let now = self.clock.now();
        let Some(indexing) = &mut self.parts.indexing else { return };
        indexing.taken(taken, since, epoch);
        if let Some(how) = how {
            indexing.ended(taken, end_of(how), now);
        }
    }

    /// Records the outcome of a message that is still in the journal.
    pub(super) fn index_ended(&mut self, number: u32, end: State) {
        let now = self.clock.now();
        if let (Some(indexing), Some(live)) = (&mut self.parts.indexing, self.journal.live().get(&number)) {
            indexing.ended(&live.taken, end, now);
        }
    }

    /// The answer to the client whose message was accepted: with a session token if its tenant's plan has
    /// sessions.
    pub(super) fn taken_answer(&self, taken: &Taken) -> Answer {
        let token = self.parts.reading.as_ref().zip(self.parts.indexing.as_ref());
        let token = token.and_then(|(reading, indexing)| reading.token(taken, indexing));
        token.map_or(Answer::Taken, Answer::TakenAt)
    }

    /// The report on plans and reads, for operators.
    pub(super) fn plans_report(&self) -> Reply {
        match self.parts.reading.as_ref().filter(|reading| reading.is_on()) {
            Some(reading) => Reply::yes(&reading.report(self.clock.now())),
            None => {
                let why = "plans are off: the configuration has no section \"plans\"";
                Reply::typed(StatusCode::NOT_FOUND, "plans-off", why, "add the section beside \"status\"")
            }
        }
    }

    /// Queries the status index of the tier; the caller is answered within `within`. If plans are configured,
    /// the tenant's plan applies.
    pub(super) fn ask_status(&mut self, call: StatusCall, within: Micros, reply: oneshot::Sender<Reply>) {
        let now = self.clock.now();
        let facts = self.parts.view.as_ref().map(|view| view.facts(now));
        let estimating = self.parts.estimating.as_mut();
        match (&mut self.parts.indexing, &mut self.parts.reading, estimating) {
            (Some(indexing), Some(reading), Some(estimating)) if reading.is_on() => {
                reading.begin(call, (now, within), reply, (indexing, facts.as_ref(), estimating));
            }
            (Some(indexing), _, estimating) => {
                let basis = estimating.as_ref().map(|part| part.core.predict(now, &call.query).basis);
                let number = indexing.ask(call.query, within, now, reply);
                if let (Some(part), Some(number), Some(basis)) = (estimating, number, basis) {
                    part.asked(number, basis);
                }
            }
            // The caller may have disconnected.
            (None, ..) => drop(reply.send(not_on())),
        }
    }

    /// The report on the index, for operators.
    pub(super) fn status_report(&self) -> Reply {
        match &self.parts.indexing {
            Some(indexing) => Reply::yes(&indexing.report(self.clock.now())),
            None => not_on(),
        }
    }
}
