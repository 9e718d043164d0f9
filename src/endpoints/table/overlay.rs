//! Changes on top of base rows that are never modified.

use std::collections::BTreeSet;
use std::hash::{BuildHasher, RandomState};

use hashbrown::HashTable;

use super::super::listing::Listing;
use super::store::{Row, Store};

/// Number of bytes of texts that count as one more change: an address that does not fit in a row is written
/// again with each change of it.
const TEXT_BYTES: usize = 64;

/// Approximate memory of a tree for one item of eight bytes, bytes.
const TREE_ITEM: usize = 16;

/// The state of each changed name: one row for each, also for a removed name.
#[derive(Debug, Default)]
pub struct Overlay {
    /// The rows; those of removed names have the status `left`.
    pub store: Store,
    by_name: HashTable<u32>,
    hashes: RandomState,
    /// Destination and row number of all rows but those of removed names.
    by_destination: BTreeSet<(u32, u32)>,
    /// One bit for each base row, 64 to a number: set if its name was changed. Empty before
    /// [`Overlay::prepare`].
    hidden: Vec<u64>,
}

impl Overlay {
    /// The row of a name, if it was changed.
    pub fn find(&self, name: &str) -> Option<&Row> {
        let number = self.number(name)?;
        Some(&self.store.rows[number as usize])
    }

    /// The rows of a destination, in the order of their first changes.
    pub fn of(&self, destination: u32) -> impl Iterator<Item = &Row> {
        let numbers = self.by_destination.range((destination, 0)..=(destination, u32::MAX));
        numbers.map(|(_, number)| &self.store.rows[*number as usize])
    }

    /// All rows but those of removed names, sorted.
    pub fn sorted(&self) -> Vec<&Row> {
        let numbers = self.by_destination.iter();
        let mut rows: Vec<&Row> = numbers.map(|(_, number)| &self.store.rows[*number as usize]).collect();
        rows.sort_unstable_by(|one, other| self.store.order(one, other));
        rows
    }

    /// Stores a change. Returns `None`, and changes nothing, if the store is full.
    pub fn put(&mut self, entry: &Listing) -> Option<()> {
        let number = match self.number(&entry.name) {
            Some(number) => {
                let before = self.store.rows[number as usize].group;
                self.store.replace(number, entry)?;
                self.by_destination.remove(&(before, number));
                number
            }
            None => self.add(entry)?,
        };
        if !self.store.left(&self.store.rows[number as usize]) {
            self.by_destination.insert((entry.group, number));
        }
        Some(())
    }

    /// Reserves memory once for this many changes of this many base rows, so that no later change has to.
    pub fn prepare(&mut self, changes: usize, rows: usize) {
        if self.store.rows.is_empty() {
            let hash_of = |_: &u32| 0;
            self.by_name.reserve(changes, hash_of);
            self.hidden.resize(rows.div_ceil(64), 0);
        }
    }

    /// Hides a base row.
    pub fn hide(&mut self, row: u32) {
        self.hidden[row as usize / 64] |= 1 << (row % 64);
    }

    /// Whether a base row is hidden.
    pub fn hides(&self, row: usize) -> bool {
        self.hidden.get(row / 64).is_some_and(|bits| bits >> (row % 64) & 1 == 1)
    }

    /// Its size, counted in changes.
    pub fn changes(&self) -> usize {
        self.store.rows.len().max(self.store.texts.len() / TEXT_BYTES)
    }

    /// Approximate heap memory in bytes.
    pub fn heap_bytes(&self) -> usize {
        let names = self.by_name.capacity() * (size_of::<u32>() + 1);
        let destinations = self.by_destination.len() * TREE_ITEM;
        let hidden = self.hidden.capacity() * size_of::<u64>();
        self.store.heap_bytes() + names + destinations + hidden
    }

    fn add(&mut self, entry: &Listing) -> Option<u32> {
        let number = self.store.push(entry)?;
        let hash = self.hashes.hash_one(entry.name.as_bytes());
        let (store, hashes) = (&self.store, &self.hashes);
        let hash_of = |number: &u32| hashes.hash_one(store.name(&store.rows[*number as usize]));
        self.by_name.insert_unique(hash, number, hash_of);
        Some(number)
    }

    fn number(&self, name: &str) -> Option<u32> {
        let hash = self.hashes.hash_one(name.as_bytes());
        let has_name = |number: &u32| self.store.name(&self.store.rows[*number as usize]) == name.as_bytes();
        self.by_name.find(hash, has_name).copied()
    }
}
