//! The working set of a long list: which destinations the decision module knows. A destination is loaded with
//! its first message, before the module sees that message, and evicted when nothing depends on it any more.
//! Lists and changes are passed to the module only as far as they concern resident destinations. Up to
//! [`MAX_ALL_RESIDENT`] destinations, all are resident and every change is passed on as it comes.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use myrtleyard::endpoints::Bounds;
use myrtleyard::endpoints::reader::List;
use myrtleyard::endpoints::table::Table;
use myrtleyard::error_code::CodedError;
use myrtleyard::interface::*;
use myrtleyard::policy::Route;
use myrtleyard::start::Phase;

use super::super::listing::{KnownEndpoint, ListBody, Listing};
use super::super::working_set::{MAX_ALL_RESIDENT, NamedRoute, REFETCH_INTERVAL};
use super::Driver;

/// Evictions are at least this far apart, so that most iterations do not scan the endpoints of all resident
/// destinations.
const EVICT_INTERVAL: Micros = 100_000;

/// Status of an entry that is removed from the list.
const STATUS_LEFT: &str = "left";

/// Whether these are more distinct destinations than may all be resident.
fn exceeds_resident_limit(destinations: impl IntoIterator<Item = u32>) -> bool {
    let mut seen = HashSet::new();
    destinations.into_iter().any(|destination| seen.insert(destination) && seen.len() > MAX_ALL_RESIDENT)
}

/// Keeps the last entry of each name, in the order of the list.
fn last_of_each_name(entries: Vec<Listing>) -> Vec<Listing> {
    let last: HashMap<String, usize> =
        entries.iter().enumerate().map(|(at, listing)| (listing.name.clone(), at)).collect();
    let counts = |(at, listing): &(usize, Listing)| last.get(&listing.name) == Some(at);
    entries.into_iter().enumerate().filter(counts).map(|(_, listing)| listing).collect()
}

impl Driver {
    /// Processes a complete list or changes of it from discovery.
    pub(super) fn handle_list(&mut self, list: List, events: &mut Vec<Event>) {
        let was_long = self.working_set.long_list;
        let event = match list {
            List::Entries(body) if body.snapshot => self.handle_complete_list(body),
            List::Entries(body) if self.working_set.long_list => self.apply_changes(body),
            List::Entries(body) => {
                let event = self.apply_listing(body);
                self.restore_evicted(&event);
                self.check_list_size();
                event
            }
            List::Table { index, table } if table.destinations() <= MAX_ALL_RESIDENT => {
                self.list_all_resident(ListBody { index, snapshot: true, endpoints: table.iter().collect() })
            }
            List::Table { index, table } => self.replace_table(index, table),
        };
        events.push(event);
        if self.working_set.long_list && !was_long {
            self.load_for_held(events);
        }
    }

    fn handle_complete_list(&mut self, body: ListBody) -> Event {
        let present = body.endpoints.iter().filter(|listing| listing.status != STATUS_LEFT);
        if exceeds_resident_limit(present.map(|listing| listing.group)) {
            let table = Table::new(body.endpoints);
            return self.replace_table(body.index, Box::new(table));
        }
        self.list_all_resident(body)
    }

    /// Makes all destinations of this list resident.
    fn list_all_resident(&mut self, body: ListBody) -> Event {
        let event = self.apply_listing(body);
        self.restore_evicted(&event);
        self.working_set.make_all_resident();
        self.count_destinations();
        event
    }

    /// Stores a list of more destinations than may all be resident; the module is passed the resident ones
    /// only.
    fn replace_table(&mut self, index: u64, table: Box<Table>) -> Event {
        self.start_evicting();
        let residents = self.working_set.residents();
        let endpoints = residents.into_iter().flat_map(|destination| table.of(destination)).collect();
        self.working_set.table = Some(table);
        self.apply_listing(ListBody { index, snapshot: true, endpoints })
    }

    /// Loads the destinations of messages in hand that arrived while the list was short or missing.
    pub(super) fn load_for_held(&mut self, events: &mut Vec<Event>) {
        let live = self.journal.pending().values().filter(|live| live.given_up.is_none());
        let held = live.map(|live| live.accepted.destination);
        let fresh = self.new_messages.values().map(|fresh| fresh.message.destination);
        let destinations: BTreeSet<u32> = held.chain(fresh).collect();
        for destination in destinations {
            self.load(destination, events);
        }
    }

    /// Switches to a long list: destinations that were resident because all were may be evicted from now on.
    fn start_evicting(&mut self) {
        if !std::mem::replace(&mut self.working_set.long_list, true) {
            let now = self.clock.now();
            for known in self.endpoints.values() {
                self.working_set.touch(known.group, now);
            }
        }
    }

    /// Switches to a long list if changes have added more destinations than may all be resident.
    pub(super) fn check_list_size(&mut self) {
        self.count_destinations();
        if !self.working_set.long_list && self.working_set.listed > MAX_ALL_RESIDENT {
            let table = Table::new(self.reported_list());
            self.start_evicting();
            self.working_set.table = Some(Box::new(table));
        }
    }

    fn count_destinations(&mut self) {
        let listed = self.endpoints.values().filter(|known| known.listed);
        self.working_set.listed = listed.map(|known| known.group).collect::<HashSet<u32>>().len();
    }

    /// Applies changes of a long list: all of them to the table, those of resident destinations to the
    /// module.
    fn apply_changes(&mut self, body: ListBody) -> Event {
        let mut resident_changes = Vec::new();
        let mut failed = None;
        for listing in last_of_each_name(body.endpoints) {
            // A change that exceeds the table's capacity still takes effect for resident destinations.
            if let Some(table) = &mut self.working_set.table
                && let Err(why) = table.change(listing.clone(), Bounds::default().endpoints)
            {
                failed = Some(why);
            }
            let known = self.ids.get(&listing.name).and_then(|id| self.endpoints.get(id));
            let before = known.map(|known| known.group);
            if self.working_set.is_resident(listing.group) {
                resident_changes.push(listing);
            } else if let Some(group) = before {
                // It moved to a destination that is not resident: for the module it is gone.
                resident_changes.push(Listing { group, status: STATUS_LEFT.to_owned(), ..listing });
            }
        }
        if let Some(why) = &failed {
            let (code, remedy) = (why.code(), why.remedy());
            tracing::error!(code, remedy, "a change of the list of endpoints can't be applied: {why}");
        }
        let needs_rebuild = self.working_set.table.as_ref().is_some_and(|table| table.needs_rebuild());
        if needs_rebuild || failed.is_some() {
            self.working_set.refetch_due = true;
        }
        self.apply_listing(ListBody { index: body.index, snapshot: false, endpoints: resident_changes })
    }

    /// Fetches the complete list if the table has accumulated many changes or failed to apply one, unless
    /// that was done recently.
    fn refetch_list(&mut self, now: Micros) {
        if self.working_set.refetch_due && now >= self.working_set.fetched_at + REFETCH_INTERVAL {
            self.working_set.refetch_due = false;
            self.working_set.fetched_at = now;
            self.list_requests.fetch.notify_one();
        }
    }

    /// Loads the destination, if need be, before a message for it is passed to the module.
    pub(super) fn load(&mut self, destination: u32, events: &mut Vec<Event>) {
        let now = self.clock.now();
        if !self.working_set.long_list || !self.working_set.touch(destination, now) {
            return;
        }
        let endpoints =
            self.working_set.table.as_ref().map(|table| table.of(destination)).unwrap_or_default();
        let event = self.apply_listing(ListBody { index: self.index, snapshot: false, endpoints });
        self.restore_routes(destination, &event);
        events.push(event);
        // During startup it may be cold. Hints from other senders hide no endpoints of a long list.
        if let Some(start_part) = &self.parts.start
            && start_part.core.borrow().phase().0 != Phase::Steady
        {
            let since = self.cold_destinations(now).remove(&destination);
            let mut core = start_part.core.borrow_mut();
            for (to, part) in core.parts(since.map(|_| destination)) {
                let ago = now - since.unwrap_or(now);
                events.push(Event::ReturnedCold { destination: DestinationId(to), ago, part });
            }
        }
    }

    /// Restores the saved routes of destinations in these entries that were evicted.
    fn restore_evicted(&mut self, event: &Event) {
        let (Event::List(entries) | Event::Changes(entries)) = event else { return };
        let away =
            entries.iter().map(|entry| entry.destination.0).filter(|to| self.working_set.needs_restore(*to));
        for destination in away.collect::<BTreeSet<u32>>() {
            self.restore_routes(destination, event);
        }
    }

    /// Restores the module's routes to a destination, as saved at its eviction, before its endpoints are
    /// passed on.
    fn restore_routes(&mut self, destination: u32, event: &Event) {
        let (Event::List(entries) | Event::Changes(entries)) = event else { return };
        let to = DestinationId(destination);
        let apart = |kind: usize| self.settings.kinds.get(kind).is_some_and(|kind| kind.route_per_endpoint);
        let entries = entries.iter().filter(|entry| entry.destination == to);
        let mut routes: BTreeSet<RouteId> =
            entries.map(|entry| (to, apart(entry.kind).then_some(entry.endpoint))).collect();
        let mut kept: BTreeMap<RouteId, Route> = BTreeMap::new();
        for (name, route) in self.working_set.take_saved(destination) {
            let Some(id) = self.route_by_name(to, name) else { continue };
            // A requested wait binds in any case. Other state is meaningless if routes were per endpoint and
            // no longer are, or the other way round.
            if routes.is_empty() || routes.iter().any(|(_, apart)| apart.is_some() == id.1.is_some()) {
                routes.insert(id);
            }
            kept.insert(id, route);
        }
        self.policy.load_destination(routes, kept);
    }

    /// Returns the route for an endpoint's name, or none if the name belongs to another destination by now.
    /// An endpoint that is missing from the list may come back, so it gets an entry.
    fn route_by_name(&mut self, to: DestinationId, name: Option<String>) -> Option<RouteId> {
        let Some(name) = name else { return Some((to, None)) };
        let endpoint = self.endpoint_id(&name);
        let (group, bundle) = (to.0, 1);
        let known = self.endpoints.entry(endpoint).or_insert_with(|| KnownEndpoint {
            name,
            group,
            address: None,
            listed: false,
            shape: None,
            named: None,
            bundle,
            since_ms: 0,
        });
        (known.group == group).then_some((to, Some(endpoint)))
    }

    /// Evicts destinations that were idle for long and that nothing depends on.
    pub(super) fn evict_idle(&mut self) {
        if self.working_set.table.is_none() {
            return;
        }
        let now = self.clock.now();
        self.refetch_list(now);
        if now < self.working_set.evict_at {
            return;
        }
        self.working_set.evict_at = now + EVICT_INTERVAL;
        let mut evicted: HashMap<u32, (Vec<(RouteId, Route)>, bool)> = HashMap::new();
        for destination in self.working_set.idle(now) {
            let summary = self.policy.destination_summary(DestinationId(destination), usize::MAX);
            let binds =
                summary.routes.iter().any(|route| route.cold_share.is_some() || route.blocked_until > now);
            match self.policy.evict(DestinationId(destination), now) {
                Some(routes) => drop(evicted.insert(destination, (routes, binds))),
                None => self.working_set.keep(destination, now),
            }
        }
        if evicted.is_empty() {
            return;
        }
        let gone = self.endpoints.extract_if(|_, known| evicted.contains_key(&known.group));
        let gone: HashMap<EndpointId, KnownEndpoint> = gone.collect();
        for (id, known) in &gone {
            self.ids.remove(&known.name);
            self.calls.close_idle(*id);
        }
        for (destination, (routes, binds)) in evicted {
            let name = |((_, endpoint), route): (RouteId, Route)| match endpoint {
                Some(id) => Some((Some(gone.get(&id)?.name.clone()), route)),
                None => Some((None, route)),
            };
            let routes: Vec<NamedRoute> = routes.into_iter().filter_map(name).collect();
            self.working_set.evicted(destination, &routes, binds);
        }
    }

    /// Number of endpoints in discovery's list.
    pub(super) fn endpoints_listed(&self) -> usize {
        match &self.working_set.table {
            Some(table) => table.len(),
            None => self.endpoints.values().filter(|known| known.listed).count(),
        }
    }

    /// Destination of the endpoint in discovery's list, and whether it is active.
    pub(super) fn listing_of(&self, name: &str) -> Option<(u32, bool)> {
        if let Some(table) = &self.working_set.table {
            return table.get(name).map(|listing| (listing.group, listing.status == "active"));
        }
        let known = self.ids.get(name).and_then(|id| self.endpoints.get(id));
        known.filter(|known| known.listed).map(|known| (known.group, known.active()))
    }
}
