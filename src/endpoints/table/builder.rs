//! Builds a table from entries added one at a time.

use super::super::ListError;
use super::super::listing::Listing;
use super::name_index::NameIndex;
use super::store::Store;
use super::{Base, Table};

/// A table under construction. It takes little more memory than the finished table.
#[derive(Debug, Default)]
pub struct Builder {
    store: Store,
}

impl Builder {
    /// Adds an entry. It overrides an earlier one with the same name, also if its status is `left`.
    ///
    /// # Errors
    /// Fails with [`ListError::Bytes`] if names and addresses take over 4 GiB.
    pub fn push(&mut self, entry: &Listing) -> Result<(), ListError> {
        let added = self.store.push(entry);
        added.map(|_| ()).ok_or(ListError::Bytes(u64::from(u32::MAX)))
    }

    /// Number of entries added, including overridden ones.
    pub fn len(&self) -> usize {
        self.store.rows.len()
    }

    /// Whether no entry was added.
    pub fn is_empty(&self) -> bool {
        self.store.rows.is_empty()
    }

    /// All entries in the order in which they were added.
    pub fn entries(&self) -> impl Iterator<Item = Listing> + '_ {
        self.store.rows.iter().map(|row| self.store.entry(row))
    }

    /// Finishes the table.
    pub fn finish(self) -> Table {
        let mut store = self.store;
        keep_last(&mut store);
        store.sort();
        let index = indexed(&store);
        let destinations = store.rows.chunk_by(|one, other| one.group == other.group).count();
        Table { len: store.rows.len(), destinations, base: Base { store, index }, ..Table::default() }
    }
}

/// Removes all rows of each name but the last one, and that one too if it has the status `left`.
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

/// Builds the index of rows with unique names.
fn indexed(store: &Store) -> NameIndex {
    let mut index = NameIndex::new(store.rows.len());
    for (number, row) in (0..).zip(&store.rows) {
        index.insert(store.name(row), number, |_| false);
    }
    index
}
