//! Index from names to rows: a hash table of row numbers with open addressing and linear probing.

use std::hash::{BuildHasher, RandomState};

use super::capacity;

/// The value of an empty place.
const EMPTY: u32 = u32::MAX;

/// One in this many places is left empty, and one more.
const EMPTY_SHARE: usize = 8;

/// Row numbers by name. The names are stored with the rows: the caller compares them, so that equal hashes
/// are harmless.
#[derive(Debug, Default)]
pub struct NameIndex {
    /// Each place holds a row number in the low bits, and the bits of its name's hash at the positions of the
    /// others, so that few names are compared.
    places: Vec<u32>,
    /// Mask of the bits of a row number. No row number has all of them set.
    row_mask: u32,
    hashes: RandomState,
}

impl NameIndex {
    /// Creates an index with capacity for the row numbers below `rows`.
    pub fn new(rows: usize) -> Self {
        let bits = u32::try_from(rows).unwrap_or(u32::MAX).max(1);
        let row_mask = u32::MAX >> bits.leading_zeros();
        let length = rows + rows / (EMPTY_SHARE - 1) + 1;
        let mut places = Vec::new();
        capacity::reserve(&mut places, length);
        places.resize(length, EMPTY);
        Self { places, row_mask, hashes: RandomState::new() }
    }

    /// The row of a name; `has_name` tells whether a given row has the name.
    pub fn find(&self, name: &[u8], has_name: impl Fn(u32) -> bool) -> Option<u32> {
        if self.places.is_empty() {
            return None;
        }
        let place = self.place(self.hash(name), has_name);
        self.row_at(place)
    }

    /// Sets the row of a name, and returns the previous one; `has_name` tells whether a given row has the
    /// name.
    pub fn insert(&mut self, name: &[u8], row: u32, has_name: impl Fn(u32) -> bool) -> Option<u32> {
        let hash = self.hash(name);
        let place = self.place(hash, has_name);
        let before = self.row_at(place);
        self.places[place] = self.tag(hash) | row;
        before
    }

    /// Heap memory in bytes. Only written bytes count, since others are not resident.
    pub fn heap_bytes(&self) -> usize {
        self.places.len() * size_of::<u32>()
    }

    /// The place of the name with this hash, or the empty place for it.
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

    /// The first place to probe: the hash, scaled to the number of places, so that its upper bits decide.
    fn first(&self, hash: u64) -> usize {
        let first = (u128::from(hash) * self.places.len() as u128) >> u64::BITS;
        usize::try_from(first).unwrap_or(0)
    }

    /// The bits of a hash that are stored beside a row number.
    fn tag(&self, hash: u64) -> u32 {
        (hash & u64::from(!self.row_mask)) as u32
    }

    fn hash(&self, name: &[u8]) -> u64 {
        self.hashes.hash_one(name)
    }
}
