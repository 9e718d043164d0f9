//! The working set of a list with many destinations: which of them the decision module knows, since when each is idle,
//! and what the module had learned of those that have left it. `docs/findings/working-set.md` says why nothing that
//! binds is lost.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use bytes::Bytes;
use myrtleyard::endpoints::table::Table;
use myrtleyard::interface::Micros;
use myrtleyard::policy::Route;
use serde::{Deserialize, Serialize};

/// Up to so many destinations all are resident: twice those that a sender is known to serve, at about 1.3 kB each.
pub const ALL_RESIDENT: usize = 2048;
/// A destination that no message came for in this time leaves, if nothing rests on it.
pub const IDLE_FOR: Micros = 10_000_000;
/// Destinations that leave at once at most, so that the turn stays short: each looks at all messages in hand.
pub const LEAVE_AT_ONCE: usize = 32;
/// Destinations whose routes' state is kept while they are away, at some 200 bytes each; see [`Place`] for which goes first.
pub const MOST_KEPT: usize = 16_384;

/// A table that is worn, or full, has the whole list asked for no more often than this.
pub const WHOLE_AGAIN: Micros = 60_000_000;

/// The form of [`Kept::routes`]: to be counted up whenever a field of [`Route`] comes, goes or moves.
const ROUTES_FORM: u32 = 0;

/// The state of one route, by the name of its endpoint where routes are apart.
pub type Named = (Option<String>, Route);

/// The order in which kept states are dropped: those that bind nothing at the time of leaving first, each by age.
type Place = (bool, u64);

/// What was learned of a destination that has left.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Kept {
    /// Its place in the order of dropping.
    place: Place,
    /// How limits were told then; see [`Working::limits_told_otherwise`].
    form: u32,
    /// Its routes, as [`Named`].
    routes: Bytes,
}

/// Which destinations are resident. With up to [`ALL_RESIDENT`] of them all are, and this is empty.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Working {
    /// The list has more destinations than may be resident.
    pub beyond: bool,
    /// All of the list then; none after a handover, until the list is told again.
    #[serde(skip)]
    pub table: Option<Box<Table>>,
    /// Resident destinations, and when each was last used.
    used: HashMap<u32, Micros>,
    /// When each resident is to be looked at, the next first.
    looks: BTreeSet<(Micros, u32)>,
    kept: HashMap<u32, Kept>,
    order: BTreeMap<Place, u32>,
    next: u64,
    form: u32,
    /// [`ROUTES_FORM`] of the version that kept them.
    routes_form: u32,
    /// States that were dropped since there were too many.
    pub forgotten: u64,
    /// When the whole list was last asked for because of the table, and whether it is to be asked for again.
    pub asked_at: Micros,
    /// See before.
    pub whole_due: bool,
    /// Destinations leave no earlier.
    pub leave_at: Micros,
    /// Destinations of the list while all are resident.
    pub listed: usize,
}

impl Working {
    /// Destinations that the module knows.
    pub fn resident(&self) -> usize {
        if self.beyond { self.used.len() } else { self.listed }
    }

    /// Whether the module knows the destination.
    pub fn has(&self, destination: u32) -> bool {
        !self.beyond || self.used.contains_key(&destination)
    }

    /// Whether the module has to be given back what was kept of the destination, or does not know it.
    pub fn away(&self, destination: u32) -> bool {
        self.kept.contains_key(&destination) || !self.has(destination)
    }

    /// Resident destinations of a long list, in order.
    pub fn all(&self) -> Vec<u32> {
        let mut all: Vec<u32> = self.used.keys().copied().collect();
        all.sort_unstable();
        all
    }

    /// A message comes for the destination. Whether that has to enter.
    pub fn touch(&mut self, destination: u32, now: Micros) -> bool {
        let entered = self.used.insert(destination, now).is_none();
        if entered {
            self.looks.insert((now + IDLE_FOR, destination));
        }
        entered
    }

    /// Residents that were idle for [`IDLE_FOR`], as many as may leave at once. Each is to be told to have left, or to
    /// stay.
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

    /// When the next resident may leave, or the whole list is to be asked for.
    pub fn due(&self) -> Option<Micros> {
        self.table.as_ref()?;
        let look = self.looks.first().map(|look| look.0.max(self.leave_at));
        let whole = self.whole_due.then_some(self.asked_at + WHOLE_AGAIN);
        look.into_iter().chain(whole).min()
    }

    /// Something rests on it still: it is looked at again later.
    pub fn stays(&mut self, destination: u32, now: Micros) {
        self.looks.insert((now + IDLE_FOR, destination));
    }

    /// It has left, and this is what its routes' state was, where that is worth keeping; `binds` where a wait, an open
    /// breaker or a ramp is in it, beside what was learned.
    pub fn left(&mut self, destination: u32, routes: &[Named], binds: bool) {
        self.used.remove(&destination);
        let bytes = postcard::to_allocvec(routes);
        let Some(routes) = bytes.ok().filter(|_| !routes.is_empty()) else { return };
        let (place, form) = ((binds, self.next), self.form);
        self.next += 1;
        self.kept.insert(destination, Kept { place, form, routes: routes.into() });
        self.order.insert(place, destination);
        if self.order.len() > MOST_KEPT
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.kept.remove(&oldest);
            self.forgotten += 1;
        }
    }

    /// What was kept of a destination that comes back; it is kept no longer.
    pub fn take(&mut self, destination: u32) -> Vec<Named> {
        let Some(kept) = self.kept.remove(&destination) else { return Vec::new() };
        self.order.remove(&kept.place);
        let mut routes: Vec<Named> = postcard::from_bytes(&kept.routes).unwrap_or_default();
        if kept.form != self.form {
            routes.iter_mut().for_each(|(_, route)| route.forget_limit());
        }
        routes
    }

    /// The settings changed in how limits are told: what was learned of them goes, as it does in the module.
    pub fn limits_told_otherwise(&mut self) {
        self.form += 1;
    }

    /// Drops what a version with another [`ROUTES_FORM`] kept; how many destinations' states that were.
    pub fn drop_other_form(&mut self) -> usize {
        if std::mem::replace(&mut self.routes_form, ROUTES_FORM) == ROUTES_FORM {
            return 0;
        }
        self.order = BTreeMap::new();
        std::mem::take(&mut self.kept).len()
    }

    /// All destinations are resident from now on.
    pub fn all_resident(&mut self) {
        (self.beyond, self.table) = (false, None);
        self.used = HashMap::new();
        self.looks = BTreeSet::new();
    }
}

#[cfg(test)]
mod tests;
