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
pub const ALL_RESIDENT: usize = 2048;
/// A destination without messages for this long is evicted, if nothing depends on it.
pub const IDLE_FOR: Micros = 10_000_000;
/// Maximum number of evictions at once. It keeps iterations short: each eviction scans all messages in hand.
pub const LEAVE_AT_ONCE: usize = 32;
/// Maximum number of evicted destinations whose route state is saved, at some 200 bytes each; see [`Place`]
/// for which is dropped first.
pub const MAX_KEPT: usize = 16_384;

/// Shortest time between two fetches of the complete list because the table has accumulated many changes or
/// is full.
pub const WHOLE_AGAIN: Micros = 60_000_000;

/// The version of the encoding of [`Kept::routes`]. It must be incremented whenever a field of [`Route`] is
/// added, removed or moved.
const ROUTES_FORM: u32 = 0;

/// The state of one route, with its endpoint's name if the kind has a route per endpoint.
pub type Named = (Option<String>, Route);

/// The order in which saved states are dropped: those that did not bind anything at eviction first, each
/// group by age.
type Place = (bool, u64);

/// The saved route state of an evicted destination.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Kept {
    /// Its position in the order of dropping.
    place: Place,
    /// How limits were reported at that time; see [`WorkingSet::limits_told_otherwise`].
    form: u32,
    /// Its routes: an encoded list of [`Named`].
    routes: Bytes,
}

/// Which destinations are resident. With up to [`ALL_RESIDENT`] destinations all are, and this is empty.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkingSet {
    /// The list has more destinations than may all be resident.
    pub beyond: bool,
    /// The complete list in that case; none after a handover, until the list has been fetched.
    #[serde(skip)]
    pub table: Option<Box<Table>>,
    /// Resident destinations, and when each was last used.
    used: HashMap<u32, Micros>,
    /// When each resident destination is to be checked for idleness, the next first.
    looks: BTreeSet<(Micros, u32)>,
    kept: HashMap<u32, Kept>,
    order: BTreeMap<Place, u32>,
    next: u64,
    form: u32,
    /// [`ROUTES_FORM`] of the version that saved them.
    routes_form: u32,
    /// Number of states dropped because there were more than [`MAX_KEPT`].
    pub forgotten: u64,
    /// When the complete list was last fetched because of the table.
    pub asked_at: Micros,
    /// The table needs the complete list to be fetched again.
    pub whole_due: bool,
    /// The next eviction happens no earlier than this.
    pub leave_at: Micros,
    /// Number of destinations in the list while all are resident.
    pub listed: usize,
}

impl WorkingSet {
    /// Number of destinations that the module knows.
    pub fn resident(&self) -> usize {
        if self.beyond { self.used.len() } else { self.listed }
    }

    /// Whether the module knows the destination.
    pub fn has(&self, destination: u32) -> bool {
        !self.beyond || self.used.contains_key(&destination)
    }

    /// Whether the destination has saved state that must be restored, or is not known to the module.
    pub fn away(&self, destination: u32) -> bool {
        self.kept.contains_key(&destination) || !self.has(destination)
    }

    /// Resident destinations of a long list, in ascending order.
    pub fn all(&self) -> Vec<u32> {
        let mut all: Vec<u32> = self.used.keys().copied().collect();
        all.sort_unstable();
        all
    }

    /// Notes a message for the destination. Returns whether the destination must be loaded.
    pub fn touch(&mut self, destination: u32, now: Micros) -> bool {
        let entered = self.used.insert(destination, now).is_none();
        if entered {
            self.looks.insert((now + IDLE_FOR, destination));
        }
        entered
    }

    /// Resident destinations that were idle for [`IDLE_FOR`], as many as may be evicted at once. The caller
    /// must report each as evicted ([`WorkingSet::left`]) or as kept ([`WorkingSet::stays`]).
    pub fn idle(&mut self, now: Micros) -> Vec<u32> {
        let mut idle = Vec::new();
        while idle.len() < LEAVE_AT_ONCE
            && let Some(look) = self.looks.first().copied().filter(|look| look.0 <= now)
        {
            self.looks.remove(&look);
            let destination = look.1;
            let Some(used) = self.used.get(&destination).copied() else { continue };
            if used + IDLE_FOR <= now {
                idle.push(destination);
            } else {
                self.looks.insert((used + IDLE_FOR, destination));
            }
        }
        idle
    }

    /// When the next resident destination may be evicted or the complete list is to be fetched.
    pub fn due(&self) -> Option<Micros> {
        self.table.as_ref()?;
        let look = self.looks.first().map(|look| look.0.max(self.leave_at));
        let whole = self.whole_due.then_some(self.asked_at + WHOLE_AGAIN);
        look.into_iter().chain(whole).min()
    }

    /// Keeps an idle destination that something still depends on; it is checked again later.
    pub fn stays(&mut self, destination: u32, now: Micros) {
        self.looks.insert((now + IDLE_FOR, destination));
    }

    /// Notes an eviction and saves the state of the destination's routes, if there is any. `binds` says that
    /// it contains a wait, an open breaker or a ramp, besides what was learned.
    pub fn left(&mut self, destination: u32, routes: &[Named], binds: bool) {
        self.used.remove(&destination);
        let bytes = postcard::to_allocvec(routes);
        let Some(routes) = bytes.ok().filter(|_| !routes.is_empty()) else { return };
        let (place, form) = ((binds, self.next), self.form);
        self.next += 1;
        self.kept.insert(destination, Kept { place, form, routes: routes.into() });
        self.order.insert(place, destination);
        if self.order.len() > MAX_KEPT
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.kept.remove(&oldest);
            self.forgotten += 1;
        }
    }

    /// Removes and returns the saved routes of a destination that is loaded again.
    pub fn take(&mut self, destination: u32) -> Vec<Named> {
        let Some(kept) = self.kept.remove(&destination) else { return Vec::new() };
        self.order.remove(&kept.place);
        let mut routes: Vec<Named> = postcard::from_bytes(&kept.routes).unwrap_or_default();
        if kept.form != self.form {
            routes.iter_mut().for_each(|(_, route)| route.clear_advertised_limit());
        }
        routes
    }

    /// To be called when the settings have changed in how limits are reported: learned limits are discarded
    /// when a state is restored, as in the module.
    pub fn limits_told_otherwise(&mut self) {
        self.form += 1;
    }

    /// Drops states that were saved by a version with another [`ROUTES_FORM`]. Returns the number of
    /// destinations affected.
    pub fn drop_other_form(&mut self) -> usize {
        if std::mem::replace(&mut self.routes_form, ROUTES_FORM) == ROUTES_FORM {
            return 0;
        }
        self.order = BTreeMap::new();
        std::mem::take(&mut self.kept).len()
    }

    /// Makes all destinations resident.
    pub fn all_resident(&mut self) {
        (self.beyond, self.table) = (false, None);
        self.used = HashMap::new();
        self.looks = BTreeSet::new();
    }
}

#[cfg(test)]
mod tests;
