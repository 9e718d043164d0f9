//! A compact table of endpoints, by name and by destination: about 40 bytes each with names of 10 bytes. What it is
//! made of stays as it is, sorted; changes lie on top.

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

/// Up to so many changes wear no table.
pub const MIN_CHANGES_FOR_REBUILD: usize = 4096;

/// A larger table is worn by changes of one in so many of its endpoints.
pub const REBUILD_SHARE: usize = 16;

/// The status of an endpoint that is no longer there.
const LEFT: &str = "left";

/// All endpoints of a list.
#[derive(Default)]
pub struct Table {
    base: Base,
    overlay: Overlay,
    len: usize,
    destinations: usize,
}

/// What a table was made of: sorted rows, each with a name of its own.
#[derive(Default)]
struct Base {
    store: Store,
    index: NameIndex,
}

impl Table {
    /// A table of these entries; of those of one name the last one counts, and `left` ones are left out.
    ///
    /// # Panics
    /// When names and addresses come to over 4 GiB, which [`Builder::push`] tells as an error.
    pub fn new(entries: impl IntoIterator<Item = Listing>) -> Self {
        let mut builder = Builder::default();
        for entry in entries {
            let added = builder.push(&entry);
            assert!(added.is_ok(), "names and addresses come to over 4 GiB");
        }
        builder.finish()
    }

    /// Endpoints in it.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Destinations with an endpoint in it.
    pub fn destinations(&self) -> usize {
        self.destinations
    }

    /// The entry of that name.
    pub fn get(&self, name: &str) -> Option<Listing> {
        self.find(name).map(|(store, row)| store.entry(row))
    }

    /// The destination of the endpoint of that name.
    pub fn destination_of(&self, name: &str) -> Option<u32> {
        self.find(name).map(|(_, row)| row.group)
    }

    /// Whether a destination has an endpoint in it.
    pub fn contains(&self, destination: u32) -> bool {
        self.overlay.of(destination).next().is_some() || self.unchanged(destination).next().is_some()
    }

    /// The entries of a destination, in order of their names.
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

    /// All entries, one at a time, in order of their destinations and of their names within one. They make an equal
    /// table, also when they are handed to another process a few at a time, which puts them in a [`Builder`].
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

    /// Puts one entry of a list of changes in place: it is new, changed, or, with the status `left`, taken away. What
    /// stood under its name before.
    ///
    /// # Errors
    /// Fails when the table would have more endpoints than it may, or changed names and addresses come to over 4 GiB;
    /// it is as before then.
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

    /// Whether so much was changed since it was made that the whole list should be asked for anew: more than
    /// [`MIN_CHANGES_FOR_REBUILD`] names, and more than one for each [`REBUILD_SHARE`] of its endpoints when it was made.
    pub fn needs_rebuild(&self) -> bool {
        self.overlay.changes() > self.bound()
    }

    /// Bytes that it holds on the heap, about, without what the allocator adds.
    pub fn heap_bytes(&self) -> usize {
        self.base.store.heap_bytes() + self.base.index.heap_bytes() + self.overlay.heap_bytes()
    }

    /// Changes that do not wear it yet.
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

    /// The rows of a destination whose names were not changed.
    fn unchanged(&self, destination: u32) -> impl Iterator<Item = &Row> {
        let rows = &self.base.store.rows;
        let first = rows.partition_point(|row| row.group < destination);
        let of_it = rows[first..].iter().take_while(move |row| row.group == destination);
        let numbered = (first..).zip(of_it);
        numbered.filter(|(number, _)| !self.overlay.hides(*number)).map(|(_, row)| row)
    }

    /// How many of these destinations have an endpoint.
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

/// How large it is, since its entries would fill pages.
impl fmt::Debug for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("Table");
        shown.field("len", &self.len).field("destinations", &self.destinations).finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests;
