//! Startup of many senders at once, as seen by the driver: messages of earlier processes are passed to the
//! module at a limited rate, and endpoints that other senders report as gone are not used until the list
//! service itself answers.

use std::collections::BTreeMap;

use myrtleyard::interface::*;

use super::super::control::Reply;
use super::super::errors::CallError;
use super::super::journal::PendingMessage;
use super::super::listing::{EndpointAttributes, Listing};
use super::super::parts::Part;
use super::super::parts::start::named;
use super::Driver;

impl Driver {
    /// The list as the list service reported it, in its format.
    pub(super) fn reported_list(&self) -> Vec<Listing> {
        let names = self.names.borrow();
        let name = |names: &[String], at: usize| names.get(at).cloned().unwrap_or_default();
        let listed = self.endpoints.values().filter(|known| known.listed).filter_map(|known| {
            let EndpointAttributes { zone, kind, weight, active } = known.shape?;
            let by_position = || (name(&names.zones, zone.into()), name(&names.kinds, kind));
            let (zone, kind) = known.named.clone().unwrap_or_else(by_position);
            Some(Listing {
                name: known.name.clone(),
                address: known.address.map(|address| address.to_string()).unwrap_or_default(),
                zone,
                kind,
                group: known.group,
                status: if active { "active" } else { "leaving" }.to_owned(),
                weight,
                since_ms: known.since_ms,
            })
        });
        listed.collect()
    }

    /// To be called after the driver has processed a list or changes from the list service.
    pub(super) fn startup_list_changed(&mut self) {
        let now = self.clock.now();
        if self.parts.start.is_none() {
            return;
        }
        let long_list = self.working_set.long_list;
        let list = if long_list { Vec::new() } else { self.reported_list() };
        match &mut self.parts.start {
            Some(start_part) if long_list => start_part.long_list_received(now, self.index),
            Some(start_part) => start_part.list_received(now, self.index, &list),
            None => {}
        }
    }

    /// Starts from the list that an earlier process had.
    pub(super) fn startup_from_known(&mut self) {
        let list = if self.working_set.long_list { Vec::new() } else { self.reported_list() };
        if let Some(start_part) = &mut self.parts.start {
            start_part.core.borrow_mut().load_cached(self.index, named(&list));
        }
    }

    /// Does the startup work of this iteration.
    pub(super) fn startup_work(&mut self, events: &mut Vec<Event>) {
        let now = self.clock.now();
        let Some(start_part) = &mut self.parts.start else { return };
        let (changed, old) = {
            let mut core = start_part.core.borrow_mut();
            (core.changed(), core.backlog.take(now))
        };
        if start_part.is_store_due(now) && self.working_set.long_list {
            start_part.discard_cached_list(now);
        } else if start_part.is_store_due(now) {
            let list = self.reported_list();
            if let Some(start_part) = &mut self.parts.start {
                start_part.store_list(now, &list);
            }
        }
        if !changed.is_empty() {
            events.push(self.relist(|name| changed.contains(name)));
        }
        self.resume_recovered(old, events);
        self.share_cold(now, events);
    }

    /// Destinations whose active endpoints all started recently, and when the first of them did. The list's
    /// timestamps and this machine's clock are taken to agree.
    pub(super) fn cold_destinations(&self, now: Micros) -> BTreeMap<u32, Micros> {
        let mut cold: BTreeMap<u32, Micros> = BTreeMap::new();
        for known in self.endpoints.values().filter(|known| known.listed && known.active()) {
            let since = known.since_ms.saturating_mul(1000).min(now);
            cold.entry(known.group).and_modify(|first| *first = since.min(*first)).or_insert(since);
        }
        cold.retain(|_, since| now < since.saturating_add(self.settings.rules.warm_within));
        cold
    }

    /// While this sender starts up, tells the module which destinations are cold since their own start, and
    /// this sender's share of their capacity.
    fn share_cold(&mut self, now: Micros, events: &mut Vec<Event>) {
        let Some(start_part) = &self.parts.start else { return };
        let mut core = start_part.core.borrow_mut();
        if !core.shares_due(now) {
            return;
        }
        let mut held: BTreeMap<u32, usize> = BTreeMap::new();
        for live in self.journal.pending().values().filter(|live| live.given_up.is_none()) {
            *held.entry(live.accepted.destination).or_default() += 1;
        }
        core.set_held(held);
        let cold = self.cold_destinations(now);
        for (destination, part) in core.parts(cold.keys().copied()) {
            let ago = now - cold.get(&destination).copied().unwrap_or(now);
            events.push(Event::ReturnedCold { destination: DestinationId(destination), ago, part });
        }
    }

    /// The time by which a message of an earlier process must be resumed: its deadline, or the end of the
    /// window in which it may be repeated.
    pub(super) fn resume_deadline(&self, number: u32, live: &PendingMessage, now: Micros) -> Micros {
        live.accepted.deadline.min(self.write_by(number, live, None, now).unwrap_or(Micros::MAX))
    }

    /// Resumes messages of earlier processes, as far as this sender still owns them.
    fn resume_recovered(&mut self, old: Vec<u32>, events: &mut Vec<Event>) {
        let now = self.clock.now();
        for number in old {
            let Some(live) =
                self.journal.pending().get(&number).filter(|live| live.given_up.is_none()).cloned()
            else {
                continue;
            };
            // A message that another sender owns now stays in the journal until its record is written.
            if self.held.get(&live.accepted.id) != Some(&number) {
                continue;
            }
            let class = self.names.borrow().class(&live.accepted.class);
            let Some(class) = class else {
                self.end_recovered(number, live.outcome_without_class(), live.accepted);
                continue;
            };
            let class = self.class_when_accepted(class, &live.accepted, events);
            let (id, destination) = (&live.accepted.id, live.accepted.destination);
            tracing::debug!(
                id,
                destination,
                attempts = live.attempts.len(),
                "message resumed from the journal"
            );
            self.resume(number, class, &live, now, events);
        }
    }

    /// Resumes all messages of earlier processes now, so that the module knows every message in hand from
    /// here on.
    pub(super) fn resume_all(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        let old = self.parts.start.as_ref().map(|part| part.core.borrow_mut().backlog.take(Micros::MAX));
        self.resume_recovered(old.unwrap_or_default(), &mut events);
        events
    }

    /// The report on the progress of startup, for operators.
    pub(super) fn start_report(&self) -> Reply {
        let Some(start_part) = &self.parts.start else {
            return Reply::call_error(&CallError::StartOff);
        };
        Reply::ok(&start_part.report(self.clock.now()))
    }
}
