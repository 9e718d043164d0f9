//! Makes a table of entries that come one at a time.

use super::super::ListError;
use super::super::listing::Listing;
use super::name_index::NameIndex;
use super::store::Store;
use super::{Base, Table};

/// A table in the making. It takes little more than the table will.
#[derive(Debug, Default)]
pub struct Builder {
    store: Store,
}

impl Builder {
    /// Adds an entry. It overrides an earlier one of the same name, also with the status `left`.
    ///
    /// # Errors
    /// Fails with [`ListError::Bytes`] when names and addresses come to over 4 GiB.
    pub fn push(&mut self, entry: &Listing) -> Result<(), ListError> {
        let added = self.store.push(entry);
        added.map(|_| ()).ok_or(ListError::Bytes(u64::from(u32::MAX)))
    }

    /// Entries added, with those that others override.
    pub fn len(&self) -> usize {
        self.store.rows.len()
    }

    /// Whether none was added.
    pub fn is_empty(&self) -> bool {
        self.store.rows.is_empty()
    }

    /// All entries as they were added.
    pub fn entries(&self) -> impl Iterator<Item = Listing> + '_ {
        self.store.rows.iter().map(|row| self.store.entry(row))
    }

    /// The table of the entries.
    pub fn finish(self) -> Table {
        let mut store = self.store;
        keep_last(&mut store);
        store.sort();
        let index = indexed(&store);
        let destinations = store.rows.chunk_by(|one, other| one.group == other.group).count();
        Table { len: store.rows.len(), destinations, base: Base { store, index }, ..Table::default() }
    }
}

/// Takes out all rows of a name but the last one, and that one too if it has the status `left`.
fn keep_last(store: &mut Store) {
    let mut rows = std::mem::take(&mut store.rows);
    let mut index = NameIndex::new(rows.len());
    for number in 0..rows.len() {
        let name = store.name(&rows[number]);
        let has_name = |other: u32| store.name(&rows[other as usize]) == name;
        let before = index.insert(name, number as u32, has_name);
        if let Some(before) = before {
            rows[before as usize].mark_deleted();
        }
        if store.left(&rows[number]) {
            rows[number].mark_deleted();
        }
    }
    rows.retain(|row| !row.is_deleted());
    store.rows = rows;
}

/// The index of rows that all have names of their own.
fn indexed(store: &Store) -> NameIndex {
    let mut index = NameIndex::new(store.rows.len());
    for (number, row) in (0..).zip(&store.rows) {
        index.insert(store.name(row), number, |_| false);
    }
    index
}
