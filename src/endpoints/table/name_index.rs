//! Finds the row of a name: a hash table of row numbers, of open addressing with linear probing.

use std::hash::{BuildHasher, RandomState};

use super::capacity;

/// A place with no row.
const EMPTY: u32 = u32::MAX;

/// One place in so many is left empty, and one more.
const EMPTY_SHARE: usize = 8;

/// Row numbers by name. The names are with the rows: whoever asks compares them, so that equal hashes do no harm.
#[derive(Debug, Default)]
pub struct NameIndex {
    /// A row number in the low bits, and in the others those bits of its name's hash, so that few names are compared.
    places: Vec<u32>,
    /// The bits of a row number. No row number has all of them.
    row_mask: u32,
    hashes: RandomState,
}

impl NameIndex {
    /// An index with room for the rows of numbers below `rows`.
    pub fn new(rows: usize) -> Self {
        let bits = u32::try_from(rows).unwrap_or(u32::MAX).max(1);
        let row_mask = u32::MAX >> bits.leading_zeros();
        let length = rows + rows / (EMPTY_SHARE - 1) + 1;
        let mut places = Vec::new();
        capacity::reserve(&mut places, length);
        places.resize(length, EMPTY);
        Self { places, row_mask, hashes: RandomState::new() }
    }

    /// The row of a name; `has_name` tells whether a row has it.
    pub fn find(&self, name: &[u8], has_name: impl Fn(u32) -> bool) -> Option<u32> {
        if self.places.is_empty() {
            return None;
        }
        let place = self.place(self.hash(name), has_name);
        self.row_at(place)
    }

    /// Notes the row of a name, and tells which it was before; `has_name` tells whether a row has it.
    pub fn insert(&mut self, name: &[u8], row: u32, has_name: impl Fn(u32) -> bool) -> Option<u32> {
        let hash = self.hash(name);
        let place = self.place(hash, has_name);
        let before = self.row_at(place);
        self.places[place] = self.tag(hash) | row;
        before
    }

    /// Bytes held on the heap: those written, since others are not resident.
    pub fn heap_bytes(&self) -> usize {
        self.places.len() * size_of::<u32>()
    }

    /// Where the name of that hash is, or may be put.
    fn place(&self, hash: u64, has_name: impl Fn(u32) -> bool) -> usize {
        let mut place = self.first(hash);
        loop {
            let there = self.places[place];
            let may_be = there & !self.row_mask == self.tag(hash);
            if there == EMPTY || may_be && has_name(there & self.row_mask) {
                return place;
            }
            place = if place + 1 == self.places.len() { 0 } else { place + 1 };
        }
    }

    fn row_at(&self, place: usize) -> Option<u32> {
        let there = self.places[place];
        (there != EMPTY).then_some(there & self.row_mask)
    }

    /// The upper half of a hash, as a share of all places.
    fn first(&self, hash: u64) -> usize {
        let first = (u128::from(hash) * self.places.len() as u128) >> u64::BITS;
        usize::try_from(first).unwrap_or(0)
    }

    /// The lower bits of a hash that are kept with a row number.
    fn tag(&self, hash: u64) -> u32 {
        (hash & u64::from(!self.row_mask)) as u32
    }

    fn hash(&self, name: &[u8]) -> u64 {
        self.hashes.hash_one(name)
    }
}
