//! A compact table of endpoints, indexed by name and by destination: about 40 bytes for each endpoint with a
//! name of 10 bytes. The sorted rows that the table was built from never change; changes are stored in an
//! overlay.

mod builder;
mod capacity;
mod name_index;
mod overlay;
mod shapes;
mod store;
mod texts;

use std::fmt;

pub use self::builder::Builder;
use self::name_index::NameIndex;
use self::overlay::Overlay;
use self::store::{Row, Store};
use super::ListError;
use super::listing::Listing;

/// Up to this many changes, no table needs a rebuild.
pub const MIN_CHANGES_FOR_REBUILD: usize = 4096;

/// A larger table needs a rebuild once more than one in this many of its endpoints have changed.
pub const REBUILD_SHARE: usize = 16;

/// The status of an endpoint that was removed.
const LEFT: &str = "left";

/// All endpoints of a list.
#[derive(Default)]
pub struct Table {
    base: Base,
    overlay: Overlay,
    len: usize,
    destinations: usize,
}

/// The rows that a table was built from: sorted, with unique names.
#[derive(Default)]
struct Base {
    store: Store,
    index: NameIndex,
}

impl Table {
    /// Builds a table of these entries. The last entry of each name counts, and entries with the status
    /// `left` are left out.
    ///
    /// # Panics
    /// If names and addresses take over 4 GiB, which [`Builder::push`] reports as an error.
    pub fn new(entries: impl IntoIterator<Item = Listing>) -> Self {
        let mut builder = Builder::default();
        for entry in entries {
            let added = builder.push(&entry);
            assert!(added.is_ok(), "names and addresses take over 4 GiB");
        }
        builder.finish()
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the table has no endpoints.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of destinations with an endpoint.
    pub fn destinations(&self) -> usize {
        self.destinations
    }

    /// The entry with this name.
    pub fn get(&self, name: &str) -> Option<Listing> {
        self.find(name).map(|(store, row)| store.entry(row))
    }

    /// The destination of the endpoint with this name.
    pub fn destination_of(&self, name: &str) -> Option<u32> {
        self.find(name).map(|(_, row)| row.group)
    }

    /// Whether a destination has an endpoint.
    pub fn contains(&self, destination: u32) -> bool {
        self.overlay.of(destination).next().is_some() || self.unchanged(destination).next().is_some()
    }

    /// The entries of a destination, ordered by name.
    pub fn of(&self, destination: u32) -> Vec<Listing> {
        let unchanged = self.unchanged(destination).map(|row| self.base.store.entry(row));
        let mut entries: Vec<Listing> = unchanged.collect();
        let in_order = entries.len();
        entries.extend(self.overlay.of(destination).map(|row| self.overlay.store.entry(row)));
        if entries.len() > in_order {
            entries.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        }
        entries
    }

    /// All entries, one at a time, ordered by destination and by name within one. A table built from them is
    /// equal, also if they are handed to another process a few at a time, which adds them to a [`Builder`].
    pub fn iter(&self) -> impl Iterator<Item = Listing> + '_ {
        let (base, overlay) = (&self.base.store, &self.overlay.store);
        let unchanged = (0..base.rows.len()).filter(|number| !self.overlay.hides(*number));
        let mut unchanged = unchanged.map(|number| &base.rows[number]).peekable();
        let mut changed = self.overlay.sorted().into_iter().peekable();
        std::iter::from_fn(move || {
            let changed_first = match (unchanged.peek(), changed.peek()) {
                (Some(one), Some(other)) => {
                    let by_name = || overlay.name(other) < base.name(one);
                    other.group < one.group || other.group == one.group && by_name()
                }
                (None, _) => true,
                (Some(_), None) => false,
            };
            if changed_first {
                changed.next().map(|row| overlay.entry(row))
            } else {
                unchanged.next().map(|row| base.entry(row))
            }
        })
    }

    /// Applies one entry of a list of changes: it adds or changes an endpoint or, with the status `left`,
    /// removes it. Returns the previous entry of its name.
    ///
    /// # Errors
    /// Fails if the table would have more than `endpoints` endpoints, or if changed names and addresses take
    /// over 4 GiB; the table is unchanged then.
    pub fn change(&mut self, entry: Listing, endpoints: usize) -> Result<Option<Listing>, ListError> {
        let before = self.get(&entry.name);
        let left = entry.status == LEFT;
        if left && before.is_none() {
            return Ok(None);
        }
        let len = self.len - usize::from(before.is_some()) + usize::from(!left);
        if !left && len > endpoints {
            return Err(ListError::Endpoints(endpoints));
        }
        let touched = [Some(entry.group), before.as_ref().map(|before| before.group)];
        let touched = if touched[1] == touched[0] { [touched[0], None] } else { touched };
        let there_before = self.count(touched);
        self.overlay.prepare(self.bound() + 1, self.base.store.rows.len());
        self.overlay.put(&entry).ok_or(ListError::Bytes(u64::from(u32::MAX)))?;
        if let Some(row) = self.base.find(&entry.name) {
            self.overlay.hide(row);
        }
        self.destinations = self.destinations + self.count(touched) - there_before;
        self.len = len;
        Ok(before)
    }

    /// Whether so much has changed since the table was built that the whole list should be requested again:
    /// more than [`MIN_CHANGES_FOR_REBUILD`] names, and more than one for each [`REBUILD_SHARE`] of its
    /// endpoints at that time.
    pub fn needs_rebuild(&self) -> bool {
        self.overlay.changes() > self.bound()
    }

    /// Approximate heap memory in bytes, without the allocator's overhead.
    pub fn heap_bytes(&self) -> usize {
        self.base.store.heap_bytes() + self.base.index.heap_bytes() + self.overlay.heap_bytes()
    }

    /// Maximum number of changes that need no rebuild yet.
    fn bound(&self) -> usize {
        MIN_CHANGES_FOR_REBUILD.max(self.base.store.rows.len() / REBUILD_SHARE)
    }

    fn find(&self, name: &str) -> Option<(&Store, &Row)> {
        if let Some(row) = self.overlay.find(name) {
            return (!self.overlay.store.left(row)).then_some((&self.overlay.store, row));
        }
        let number = self.base.find(name)?;
        Some((&self.base.store, &self.base.store.rows[number as usize]))
    }

    /// The base rows of a destination whose names were not changed.
    fn unchanged(&self, destination: u32) -> impl Iterator<Item = &Row> {
        let rows = &self.base.store.rows;
        let first = rows.partition_point(|row| row.group < destination);
        let of_it = rows[first..].iter().take_while(move |row| row.group == destination);
        let numbered = (first..).zip(of_it);
        numbered.filter(|(number, _)| !self.overlay.hides(*number)).map(|(_, row)| row)
    }

    /// The number of these destinations that have an endpoint.
    fn count(&self, destinations: [Option<u32>; 2]) -> usize {
        destinations.into_iter().flatten().filter(|destination| self.contains(*destination)).count()
    }
}

impl Base {
    fn find(&self, name: &str) -> Option<u32> {
        let name = name.as_bytes();
        self.index.find(name, |row| self.store.name(&self.store.rows[row as usize]) == name)
    }
}

/// Shows only sizes, since the entries would fill pages.
impl fmt::Debug for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("Table");
        shown.field("len", &self.len).field("destinations", &self.destinations).finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests;
