//! The status index at the running sender: what it is told, and who asks it.

use std::collections::BTreeMap;

use hyper::StatusCode;
use myrtleyard::interface::Micros;
use myrtleyard::status::{Query, State};
use tokio::sync::oneshot;

use super::super::control::Reply;
use super::super::journal::{GivenUp, Taken};
use super::super::parts::Part;
use super::super::parts::indexing::end_of;
use super::{Driver, Fresh};

fn not_on() -> Reply {
    let why = "there is no status index: the configuration has no section \"status\"";
    Reply::typed(StatusCode::NOT_FOUND, "status-off", why, "add the section, and start a new process")
}

impl Driver {
    /// What the journal has in hand is known to the index from the start.
    pub(super) fn resume_indexed(&mut self) {
        let now = self.clock.now();
        if let Some(indexing) = &mut self.parts.indexing {
            indexing.settle(self.journal.live().values(), now);
        }
    }

    /// These are taken on: it stands in the folder before anybody is told.
    pub(super) fn index_taken(&mut self, fresh: &BTreeMap<u32, Fresh>, now: Micros) {
        let Some(indexing) = &mut self.parts.indexing else { return };
        for fresh in fresh.values() {
            indexing.taken(&fresh.taken, now, 0);
        }
        if !fresh.is_empty() {
            indexing.keep(now);
        }
    }

    /// A message that another sender took on then is this one's.
    pub(super) fn index_adopted(&mut self, taken: &Taken, since: Micros, epoch: u32, how: Option<GivenUp>) {
        let now = self.clock.now();
        let Some(indexing) = &mut self.parts.indexing else { return };
        indexing.taken(taken, since, epoch);
        if let Some(how) = how {
            indexing.ended(taken, end_of(how), now);
        }
    }

    /// A message that the journal still has has come to an end.
    pub(super) fn index_ended(&mut self, number: u32, end: State) {
        let now = self.clock.now();
        if let (Some(indexing), Some(live)) = (&mut self.parts.indexing, self.journal.live().get(&number)) {
            indexing.ended(&live.taken, end, now);
        }
    }

    /// Asks the tier; whoever asked hears within that time.
    pub(super) fn ask_status(&mut self, query: Query, within: Micros, reply: oneshot::Sender<Reply>) {
        let now = self.clock.now();
        match &mut self.parts.indexing {
            Some(indexing) => indexing.ask(query, within, now, reply),
            // Who does not wait any more has gone.
            None => drop(reply.send(not_on())),
        }
    }

    /// How the index stands, for operators.
    pub(super) fn status_report(&self) -> Reply {
        match &self.parts.indexing {
            Some(indexing) => Reply::yes(&indexing.report(self.clock.now())),
            None => not_on(),
        }
    }
}
