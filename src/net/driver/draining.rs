//! Draining in the running sender: turns operators' calls into drain marks and a service state, and reports
//! on progress. `myrtleyard::drain` decides what may be marked; the decision module decides what happens to
//! the messages.

use std::collections::{BTreeSet, HashMap};

use hyper::StatusCode;
use myrtleyard::drain::{Listed, Marks, Refusal, RemainingWork, State};
use myrtleyard::error_code::CodedError;
use myrtleyard::interface::*;
use serde_json::{Value, json};

use super::super::ServiceState;
use super::super::control::{ControlRequest, Endpoints, Reply};
use super::super::errors::CallError;
use super::super::listing::{EndpointAttributes, KnownEndpoint};
use super::super::parts::Part;
use super::super::parts::draining::DrainingPart;
use super::{Drain, Driver};

fn not_enabled() -> Reply {
    Reply::call_error(&CallError::DrainingOff)
}

/// The entries of a list, as the marks are checked against them.
fn borrowed(list: &[(String, u32, bool)]) -> Vec<Listed<'_>> {
    list.iter()
        .map(|(name, destination, active)| Listed { name, destination: *destination, active: *active })
        .collect()
}

impl Driver {
    /// Takes this process out of service or puts it back. Returns false if the process is in another state
    /// already, such as stopping. A drain in progress gets the new deadline; without one it lasts as long as
    /// its messages.
    pub(super) fn set_service(
        &mut self,
        wanted: bool,
        within: Option<Micros>,
        events: &mut Vec<Event>,
    ) -> bool {
        let before = *self.service_state.borrow();
        let requested = if wanted { ServiceState::InService } else { ServiceState::OutOfService };
        if !matches!(before, ServiceState::InService | ServiceState::OutOfService) {
            return false;
        }
        let now = self.clock.now();
        let until = within.map(|within| now + within);
        if before != requested || until != self.drain.and_then(|drain| drain.deadline) {
            self.service_state
                .send_if_modified(|service_state| std::mem::replace(service_state, requested) != requested);
            if before != requested {
                tracing::info!(
                    serving = wanted,
                    within_ms = within.map(|within| within / 1000),
                    "service state changed by operators"
                );
                self.with_parts(|parts, out| parts.serving(now, wanted, out));
            }
            let since = self.drain.map_or(now, |drain| drain.since);
            self.drain = (!wanted).then_some(Drain { since, deadline: until });
            if until.is_some() {
                // The deadline also holds for messages of earlier processes that wait for their turn.
                events.extend(self.resume_all());
            }
            events.push(Event::Service { wanted, until });
        }
        true
    }

    /// Answers management calls other than readiness and counters.
    pub(super) fn control(&mut self, ask: ControlRequest, events: &mut Vec<Event>) -> Reply {
        match ask {
            ControlRequest::Drain => Reply::ok(&self.drain_report()),
            ControlRequest::Endpoints => Reply::ok(&self.endpoints_report()),
            ControlRequest::Members => self.members(),
            ControlRequest::Takeover => self.takeover_report(),
            ControlRequest::Estimates => self.estimate_report(),
            ControlRequest::Estimate(body) => self.estimate(&body),
            ControlRequest::Status => self.status_report(),
            ControlRequest::Start => self.start_report(),
            ControlRequest::Plans => self.plans_report(),
            ControlRequest::OutOfService(within) => match self.set_service(false, within, events) {
                true => Reply::ok(&self.drain_report()),
                // A process that is shutting down can't return to service.
                false => {
                    Reply::call_error(&CallError::Leaving(self.service_state.borrow().status_line().trim()))
                }
            },
            ControlRequest::DrainEndpoints(Endpoints { names, force }) => {
                let Some(marks) = self.marks() else { return not_enabled() };
                let list = self.list_about(names.iter().map(String::as_str));
                let with = marks.with(&names, force, self.clock.now(), &borrowed(&list));
                let with = match with {
                    Ok(with) => with,
                    Err(why) => {
                        let status = match &why {
                            Refusal::Nothing => StatusCode::BAD_REQUEST,
                            Refusal::Unknown(_) => StatusCode::NOT_FOUND,
                            Refusal::Last(_) | Refusal::TooMany(_) => StatusCode::CONFLICT,
                        };
                        let destinations = if let Refusal::Last(last) = &why { &last[..] } else { &[] };
                        let (code, error, remedy) = (why.code(), why.to_string(), why.remedy());
                        let body = json!({"code": code, "error": error, "remedy": remedy,
                                          "destinations": destinations});
                        return Reply::new(status, &body);
                    }
                };
                self.replace_marks(with, events)
            }
            ControlRequest::RestoreEndpoints(Endpoints { names, .. }) => {
                let Some(marks) = self.marks() else { return not_enabled() };
                let without = marks.without(&names);
                self.replace_marks(without, events)
            }
        }
    }

    /// Replaces the marks. They are stored before the operator is answered, so that the answer holds after a
    /// restart.
    fn replace_marks(&mut self, marks: Marks, events: &mut Vec<Event>) -> Reply {
        let Some(before) = self.marks() else { return not_enabled() };
        let differs = |name: &str| before.get(name).is_some() != marks.get(name).is_some();
        let marked = before.iter().chain(marks.iter()).map(|(name, _)| name);
        let changed = marked.filter(|name| differs(name) && self.listing_of(name).is_some());
        let changed: BTreeSet<String> = changed.map(str::to_owned).collect();
        if *before != marks {
            if let Some(Err(e)) = self.parts.draining.as_mut().map(|draining| draining.store(marks)) {
                return Reply::call_error(&CallError::Marks(e));
            }
            events.push(self.relist(|name| changed.contains(name)));
        }
        Reply::ok(&json!({"changed": changed, "drained": self.drained_report()}))
    }

    fn marks(&self) -> Option<&Marks> {
        self.parts.draining.as_ref().map(DrainingPart::marks)
    }

    /// The membership view, with the number of datagrams from addresses outside the tier.
    fn members(&self) -> Reply {
        let Some(view) = &self.parts.membership else {
            return Reply::call_error(&CallError::MembershipOff);
        };
        let mut report = view.report(self.clock.now());
        report["strangers"] = json!(self.peers.as_ref().map(super::Peers::unknown_senders));
        Reply::ok(&report)
    }

    /// The list as discovery has it; of a long list only the destinations of these endpoints.
    fn list_about<'a>(&self, names: impl Iterator<Item = &'a str>) -> Vec<(String, u32, bool)> {
        if let Some(table) = &self.working_set.table {
            let destinations = names.filter_map(|name| Some(self.listing_of(name)?.0));
            let destinations: BTreeSet<u32> = destinations.collect();
            let listed = destinations.into_iter().flat_map(|destination| table.of(destination));
            return listed.map(|l| (l.name, l.group, l.status == "active")).collect();
        }
        let listed = self.endpoints.values().filter(|known| known.listed);
        listed.map(|known| (known.name.clone(), known.group, known.active())).collect()
    }

    /// The selected entries of the list, to be passed to the module again with the marks applied.
    pub(super) fn relist(&self, which: impl Fn(&str) -> bool) -> Event {
        let known = self.endpoints.iter().filter(|(_, known)| known.listed && which(&known.name));
        let entry = |(endpoint, known): (&EndpointId, &KnownEndpoint)| {
            let EndpointAttributes { zone, kind, weight, active } = known.shape?;
            let listing = if active { Listing::Ready } else { Listing::Draining };
            let listing = self.marks().map_or(listing, |marks| marks.apply_to(&known.name, listing));
            let hidden = self.parts.start.as_ref().is_some_and(|part| part.core.borrow().hides(&known.name));
            let listing = if hidden { Listing::Draining } else { listing };
            let destination = DestinationId(known.group);
            Some(Entry { endpoint: *endpoint, destination, zone, kind, weight, listing })
        };
        Event::Changes(known.filter_map(entry).collect())
    }

    /// All endpoints, to be passed to the module again because zones and kinds may have other positions now. A
    /// message may still depend on the zone of an endpoint that has left.
    pub(super) fn relist_all(&self) -> Event {
        let left = self.endpoints.iter().filter(|(_, known)| !known.listed);
        let gone = left.filter_map(|(endpoint, known)| {
            let EndpointAttributes { zone, kind, weight, .. } = known.shape?;
            let destination = DestinationId(known.group);
            Some(Entry { endpoint: *endpoint, destination, zone, kind, weight, listing: Listing::Gone })
        });
        let mut entries: Vec<Entry> = gone.collect();
        // A destination's weight is that of its last entry: listed endpoints come last.
        if let Event::Changes(listed) = self.relist(|_| true) {
            entries.extend(listed);
        }
        Event::Changes(entries)
    }

    /// Number of messages in flight, by endpoint.
    fn out_by_endpoint(&self) -> HashMap<EndpointId, usize> {
        let mut out = HashMap::new();
        for (_, _, endpoint) in self.policy.outstanding_attempts() {
            *out.entry(endpoint).or_default() += 1;
        }
        out
    }

    fn drained_report(&self) -> Vec<Value> {
        let out = self.out_by_endpoint();
        let now = self.clock.now();
        let marks = self.marks().into_iter().flat_map(Marks::iter);
        let report = marks.map(|(name, mark)| {
            let out = self.ids.get(name).and_then(|id| out.get(id)).copied().unwrap_or(0);
            json!({"name": name, "destination": self.listing_of(name).map(|listing| listing.0),
                   "state": if out > 0 { State::Draining } else { State::Drained }, "messages_out": out,
                   "age_ms": now.saturating_sub(mark.since) / 1000, "forced": mark.forced})
        });
        report.collect()
    }

    fn drain_report(&self) -> Value {
        let serving = *self.service_state.borrow() == ServiceState::InService;
        let live = self.journal.pending();
        let left = RemainingWork {
            // Messages of this iteration are not in the journal yet.
            owed: live.len() + self.new_messages.len(),
            calls_out: self.calls.in_flight(),
            clients: self.intake.open(),
            unwritten: self.pending_records.len(),
        };
        let now = self.clock.now();
        let by = self.drain.and_then(|drain| drain.deadline);
        let without_endpoint = self.marks().map(|marks| {
            let list = self.list_about(marks.iter().map(|(name, _)| name));
            marks.destinations_without_active(&borrowed(&list))
        });
        json!({"state": left.state(serving), "standing": self.service_state.borrow().status_line().trim(),
               "age_ms": self.drain.map(|drain| now.saturating_sub(drain.since) / 1000),
               "left_ms": by.map(|by| by.saturating_sub(now) / 1000),
               "owed": left.owed, "calls_out": left.calls_out, "clients": left.clients,
               "unwritten": left.unwritten, "verdict": left.verdict(serving),
               "endpoints": self.drained_report(),
               "destinations_without_endpoint": without_endpoint.unwrap_or_default()})
    }

    fn endpoints_report(&self) -> Value {
        let out = self.out_by_endpoint();
        let mut listed: Vec<_> = self.endpoints.iter().filter(|(_, known)| known.listed).collect();
        listed.sort_by(|a, b| a.1.name.cmp(&b.1.name));
        let report = listed.into_iter().map(|(id, known)| {
            let marked = self.marks().is_some_and(|marks| marks.get(&known.name).is_some());
            json!({"name": known.name, "address": known.address.map(|address| address.to_string()),
                   "destination": known.group, "active": known.active(), "drained_by_operator": marked,
                   "messages_out": out.get(id).copied().unwrap_or(0)})
        });
        // A long list would not fit into a response.
        let whole = !self.working_set.long_list;
        json!({"index": self.index, "draining": self.marks().is_some(), "whole": whole,
               "endpoints": report.collect::<Vec<_>>()})
    }

    /// Removes the marks of endpoints that are no longer in discovery's list.
    pub(super) fn forget_marks(&mut self) {
        // They may be in a long list that this process has not received yet.
        if self.working_set.long_list && self.working_set.table.is_none() {
            return;
        }
        let Some(marks) = self.marks() else { return };
        let listed = marks.iter().map(|(name, _)| name).filter(|name| self.listing_of(name).is_some());
        let listed: BTreeSet<String> = listed.map(str::to_owned).collect();
        if let Some(draining) = &mut self.parts.draining {
            draining.remove_unlisted(|name| listed.contains(name));
        }
    }
}
