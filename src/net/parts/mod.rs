//! The optional parts of the sender, which share one interface. A part is created from its section of the
//! configuration; without the section it does not exist, and costs no datagram, call, timer or file. A part
//! is driven by time and datagrams, returns the datagrams to send and the time of its next call, and reports
//! to operators. No part decides what happens to a message.

pub mod draining;
pub mod estimate;
pub mod membership;
pub mod plans;
pub mod start;
pub mod status;
pub mod takeover;

use std::path::Path;

use myrtleyard::interface::Micros;
use myrtleyard::start::cached_list::MAX_FOLDER_BYTES;
use myrtleyard::takeover::groups::DurableState;
use serde_json::Value;

use super::config::Config;
use draining::DrainingPart;
use estimate::EstimatePart;
use membership::MembershipPart;
use plans::PlansPart;
use start::StartPart;
use status::StatusPart;
use takeover::TakeoverPart;

/// Datagrams to other senders, with the rank of the receiver.
pub type Out = Vec<(u16, Vec<u8>)>;

/// The interface of a part. The default methods do nothing.
pub trait Part {
    /// Time of the next call of [`Part::tick`], if the part needs one.
    fn due(&self) -> Option<Micros> {
        None
    }

    /// Called when the time of [`Part::due`] has come.
    fn tick(&mut self, _now: Micros, _out: &mut Out) {}

    /// Handles a datagram of another sender. Returns whether it is for this part.
    fn datagram(&mut self, _now: Micros, _from: u16, _bytes: &[u8], _out: &mut Out) -> bool {
        false
    }

    /// This process goes out of service or ends (`false`), or is back in service (`true`).
    fn serving(&mut self, _now: Micros, _serving: bool, _out: &mut Out) {}

    /// The part's report for operators.
    fn report(&self, now: Micros) -> Value;
}

/// The parts that this sender has.
pub struct Parts {
    /// Drain marks that operators have set on endpoints.
    pub draining: Option<DrainingPart>,
    /// The membership view.
    pub membership: Option<MembershipPart>,
    /// Replication of messages to backups.
    pub takeover: Option<TakeoverPart>,
    /// Cost estimates of queries and runs.
    pub estimate: Option<EstimatePart>,
    /// The status index.
    pub status: Option<StatusPart>,
    /// Coordination of simultaneous starts.
    pub start: Option<StartPart>,
    /// Reads by plan.
    pub plans: Option<PlansPart>,
}

impl Parts {
    /// Creates the parts that the configuration enables. Their persistent state is in `folder`.
    pub fn open(config: &Config, folder: &Path, now: Micros) -> Self {
        Self {
            draining: config.draining.map(|section| DrainingPart::open(folder, section.max_marks)),
            membership: MembershipPart::open(config, now),
            takeover: TakeoverPart::open(config, folder, now),
            estimate: EstimatePart::open(config, now),
            status: StatusPart::open(config, folder, now),
            start: StartPart::open(config, folder, now),
            plans: PlansPart::open(config),
        }
    }

    /// Maximum size of the parts' files in the state folder, bytes.
    pub fn room(config: &Config) -> u64 {
        let marks = config.draining.map_or(0, |section| DrainingPart::max_bytes(section.max_marks));
        let index = config.status.as_ref().map_or(0, |section| StatusPart::max_bytes(section, config.disk));
        let list = config.start.as_ref().map_or(0, |_| MAX_FOLDER_BYTES);
        marks + index + list + config.takeover.as_ref().map_or(0, |_| DurableState::MAX_BYTES)
    }

    /// Applies a changed configuration. Draining, replication and the status index stay as they were at the
    /// start, because their disk space was reserved then.
    pub fn adopt(&mut self, config: &Config, now: Micros, out: &mut Out) {
        self.estimate.iter_mut().for_each(|estimate| estimate.apply_config(config));
        match &mut self.plans {
            Some(plans) => plans.apply_config(config),
            None => self.plans = PlansPart::open(config),
        }
        match (&mut self.membership, &config.membership) {
            (Some(membership), Some(_)) => membership.apply_config(config, now),
            (Some(membership), None) => {
                membership.serving(now, false, out);
                self.membership = None;
            }
            (None, _) => self.membership = MembershipPart::open(config, now),
        }
    }

    fn each(&mut self) -> impl Iterator<Item = &mut dyn Part> {
        let draining = self.draining.as_mut().map(|part| part as &mut dyn Part);
        let membership = self.membership.as_mut().map(|part| part as &mut dyn Part);
        let takeover = self.takeover.as_mut().map(|part| part as &mut dyn Part);
        let estimate = self.estimate.as_mut().map(|part| part as &mut dyn Part);
        let status = self.status.as_mut().map(|part| part as &mut dyn Part);
        let start = self.start.as_mut().map(|part| part as &mut dyn Part);
        let early = draining.into_iter().chain(membership).chain(takeover);
        early.chain(status).chain(estimate).chain(start)
    }

    /// Time of the next call of [`Parts::tick`], if any part needs one.
    pub fn due(&self) -> Option<Micros> {
        let draining = self.draining.as_ref().and_then(Part::due);
        let membership = self.membership.as_ref().and_then(Part::due);
        let takeover = self.takeover.as_ref().and_then(Part::due);
        let estimate = self.estimate.as_ref().and_then(Part::due);
        let status = self.status.as_ref().and_then(Part::due);
        let start = self.start.as_ref().and_then(Part::due);
        let early = draining.into_iter().chain(membership).chain(takeover);
        // An answer of the index that is available is processed at once.
        let answered = self.status.as_ref().filter(|status| status.has_answers()).map(|_| 0);
        let plans = self.plans.as_ref().and_then(Part::due);
        let index = status.into_iter().chain(answered).chain(plans).chain(estimate);
        early.chain(index).chain(start).min()
    }

    /// Calls the parts whose time has come.
    pub fn tick(&mut self, now: Micros, out: &mut Out) {
        if let Some(takeover) = self.takeover.as_mut().filter(|takeover| takeover.may_choose_backups(now)) {
            let view = self.membership.as_ref().map(|membership| membership.view(now));
            takeover.update_view(view.as_ref());
        }
        if let Some(status) = self.status.as_mut().filter(|status| status.core.view_due(now)) {
            status.update_view(self.membership.as_ref().map(|membership| membership.view(now)));
        }
        if let Some(estimate) = &mut self.estimate {
            estimate.update_view(now, self.membership.as_ref(), self.status.as_mut());
        }
        if let Some(start) = self.start.as_mut().filter(|part| part.due().is_some_and(|due| due <= now)) {
            start.update_view(self.membership.as_ref().map(|membership| membership.view(now)).as_ref());
        }
        for part in self.each().filter(|part| part.due().is_some_and(|due| due <= now)) {
            part.tick(now, out);
        }
        let index = (&mut self.status, &mut self.estimate);
        if let ((Some(status), Some(estimate)), Some(plans)) = (index, &mut self.plans) {
            let answers = status.answers();
            if !answers.is_empty() || plans.due().is_some_and(|due| due <= now) {
                let view = self.membership.as_ref().map(|membership| membership.view(now));
                plans.retry_waiting(now, (&mut *status, view.as_ref(), &mut *estimate));
                plans.advance(now, answers, (status, view.as_ref(), estimate));
            }
        }
    }

    /// Passes a datagram to the part that it is for. Returns whether there is one.
    pub fn datagram(&mut self, now: Micros, from: u16, bytes: &[u8], out: &mut Out) -> bool {
        self.each().any(|part| part.datagram(now, from, bytes, out))
    }

    /// Tells all parts that the process is out of service, or back in service.
    pub fn serving(&mut self, now: Micros, serving: bool, out: &mut Out) {
        self.each().for_each(|part| part.serving(now, serving, out));
    }
}
