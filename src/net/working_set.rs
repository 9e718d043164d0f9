//! The working set of a list with many destinations: which of them the decision module knows, how long each
//! has been idle, and the route state saved for evicted ones. `docs/findings/working-set.md` says why no
//! state that binds is lost.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use bytes::Bytes;
use myrtleyard::endpoints::table::Table;
use myrtleyard::interface::Micros;
use myrtleyard::policy::Route;
use serde::{Deserialize, Serialize};

/// Up to this number, all destinations are resident: twice the number that a sender is known to serve, at
/// about 1.3 kB each.
pub const MAX_ALL_RESIDENT: usize = 2048;
/// A destination without messages for this long is evicted, if nothing depends on it.
pub const IDLE_TIMEOUT: Micros = 10_000_000;
/// Maximum number of evictions at once. It keeps iterations short: each eviction scans all messages in hand.
pub const MAX_EVICTIONS_AT_ONCE: usize = 32;
/// Maximum number of evicted destinations whose route state is saved, at some 200 bytes each; see
/// [`DropOrder`] for which is dropped first.
pub const MAX_SAVED: usize = 16_384;

/// Shortest time between two fetches of the complete list because the table has accumulated many changes or
/// is full.
pub const REFETCH_INTERVAL: Micros = 60_000_000;

/// The version of the encoding of [`SavedRoutes::routes`]. It must be incremented whenever a field of
/// [`Route`] is added, removed or moved.
const ROUTES_FORMAT: u32 = 0;

/// The state of one route, with its endpoint's name if the kind has a route per endpoint.
pub type NamedRoute = (Option<String>, Route);

/// The order in which saved states are dropped: those that did not bind anything at eviction first, each
/// group by age.
type DropOrder = (bool, u64);

/// The saved route state of an evicted destination.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct SavedRoutes {
    /// Its position in the order of dropping.
    place: DropOrder,
    /// How limits were reported at that time; see [`WorkingSet::invalidate_limits`].
    form: u32,
    /// Its routes: an encoded list of [`NamedRoute`].
    routes: Bytes,
}

/// Which destinations are resident. With up to [`MAX_ALL_RESIDENT`] destinations all are, and this is empty.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkingSet {
    /// The list has more destinations than may all be resident.
    #[serde(rename = "beyond")]
    pub long_list: bool,
    /// The complete list in that case; none after a handover, until the list has been fetched.
    #[serde(skip)]
    pub table: Option<Box<Table>>,
    /// Resident destinations, and when each was last used.
    used: HashMap<u32, Micros>,
    /// When each resident destination is to be checked for idleness, the next first.
    #[serde(rename = "looks")]
    idle_checks: BTreeSet<(Micros, u32)>,
    #[serde(rename = "kept")]
    saved: HashMap<u32, SavedRoutes>,
    order: BTreeMap<DropOrder, u32>,
    next: u64,
    form: u32,
    /// [`ROUTES_FORMAT`] of the version that saved them.
    routes_form: u32,
    /// Number of states dropped because there were more than [`MAX_SAVED`].
    pub forgotten: u64,
    /// When the complete list was last fetched because of the table.
    #[serde(rename = "asked_at")]
    pub fetched_at: Micros,
    /// The table needs the complete list to be fetched again.
    #[serde(rename = "whole_due")]
    pub refetch_due: bool,
    /// The next eviction happens no earlier than this.
    #[serde(rename = "leave_at")]
    pub evict_at: Micros,
    /// Number of destinations in the list while all are resident.
    pub listed: usize,
}

impl WorkingSet {
    /// Number of destinations that the module knows.
    pub fn resident(&self) -> usize {
        if self.long_list { self.used.len() } else { self.listed }
    }

    /// Whether the module knows the destination.
    pub fn is_resident(&self, destination: u32) -> bool {
        !self.long_list || self.used.contains_key(&destination)
    }

    /// Whether the destination has saved state that must be restored, or is not known to the module.
    pub fn needs_restore(&self, destination: u32) -> bool {
        self.saved.contains_key(&destination) || !self.is_resident(destination)
    }

    /// Resident destinations of a long list, in ascending order.
    pub fn residents(&self) -> Vec<u32> {
        let mut all: Vec<u32> = self.used.keys().copied().collect();
        all.sort_unstable();
        all
    }

    /// Notes a message for the destination. Returns whether the destination must be loaded.
    pub fn touch(&mut self, destination: u32, now: Micros) -> bool {
        let is_new = self.used.insert(destination, now).is_none();
        if is_new {
            self.idle_checks.insert((now + IDLE_TIMEOUT, destination));
        }
        is_new
    }

    /// Resident destinations that were idle for [`IDLE_TIMEOUT`], as many as may be evicted at once. The
    /// caller must report each as evicted ([`WorkingSet::evicted`]) or as kept ([`WorkingSet::keep`]).
    pub fn idle(&mut self, now: Micros) -> Vec<u32> {
        let mut idle = Vec::new();
        while idle.len() < MAX_EVICTIONS_AT_ONCE
            && let Some(check) = self.idle_checks.first().copied().filter(|check| check.0 <= now)
        {
            self.idle_checks.remove(&check);
            let destination = check.1;
            let Some(used) = self.used.get(&destination).copied() else { continue };
            if used + IDLE_TIMEOUT <= now {
                idle.push(destination);
            } else {
                self.idle_checks.insert((used + IDLE_TIMEOUT, destination));
            }
        }
        idle
    }

    /// When the next resident destination may be evicted or the complete list is to be fetched.
    pub fn due(&self) -> Option<Micros> {
        self.table.as_ref()?;
        let check = self.idle_checks.first().map(|check| check.0.max(self.evict_at));
        let whole = self.refetch_due.then_some(self.fetched_at + REFETCH_INTERVAL);
        check.into_iter().chain(whole).min()
    }

    /// Keeps an idle destination that something still depends on; it is checked again later.
    pub fn keep(&mut self, destination: u32, now: Micros) {
        self.idle_checks.insert((now + IDLE_TIMEOUT, destination));
    }

    /// Notes an eviction and saves the state of the destination's routes, if there is any. `binds` says that
    /// it contains a wait, an open breaker or a ramp, besides what was learned.
    pub fn evicted(&mut self, destination: u32, routes: &[NamedRoute], binds: bool) {
        self.used.remove(&destination);
        let bytes = postcard::to_allocvec(routes);
        let Some(routes) = bytes.ok().filter(|_| !routes.is_empty()) else { return };
        let (place, form) = ((binds, self.next), self.form);
        self.next += 1;
        self.saved.insert(destination, SavedRoutes { place, form, routes: routes.into() });
        self.order.insert(place, destination);
        if self.order.len() > MAX_SAVED
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.saved.remove(&oldest);
            self.forgotten += 1;
        }
    }

    /// Removes and returns the saved routes of a destination that is loaded again.
    pub fn take_saved(&mut self, destination: u32) -> Vec<NamedRoute> {
        let Some(saved) = self.saved.remove(&destination) else { return Vec::new() };
        self.order.remove(&saved.place);
        let mut routes: Vec<NamedRoute> = postcard::from_bytes(&saved.routes).unwrap_or_default();
        if saved.form != self.form {
            routes.iter_mut().for_each(|(_, route)| route.clear_advertised_limit());
        }
        routes
    }

    /// To be called when the settings have changed in how limits are reported: learned limits are discarded
    /// when a state is restored, as in the module.
    pub fn invalidate_limits(&mut self) {
        self.form += 1;
    }

    /// Drops states that were saved by a version with another [`ROUTES_FORMAT`]. Returns the number of
    /// destinations affected.
    pub fn drop_other_formats(&mut self) -> usize {
        if std::mem::replace(&mut self.routes_form, ROUTES_FORMAT) == ROUTES_FORMAT {
            return 0;
        }
        self.order = BTreeMap::new();
        std::mem::take(&mut self.saved).len()
    }

    /// Makes all destinations resident.
    pub fn make_all_resident(&mut self) {
        (self.long_list, self.table) = (false, None);
        self.used = HashMap::new();
        self.idle_checks = BTreeSet::new();
    }
}

#[cfg(test)]
mod tests;
