//! Summary that an owner publishes of a shard: enough to exclude the shard from a query safely, and to
//! estimate what is read in it.
//!
//! Names are stored as CRC-32: two names with the same checksum are counted together, which can only raise a
//! bound. Ids and destinations are stored in Bloom filters (Bloom, 1970): an inserted key is always found,
//! another key sometimes.

use std::collections::{BTreeMap, BTreeSet};

use fastbloom::BloomFilter;
use serde::{Deserialize, Serialize};

use crate::error_code::CodedError;
use crate::interface::Micros;
use crate::status::{Entry, LogId, Query, State};

/// Maximum pairs of tenant and class that one summary lists; the smallest beyond it are counted together.
pub const MAX_CELLS: usize = 64;
/// Maximum bits of the filter for ids.
pub const ID_BITS: usize = 16_384;
/// Maximum bits of the filter for destinations.
pub const DESTINATION_BITS: usize = 1_024;
/// Bits per key below those limits: the false positive rate is then one in a hundred.
const BITS_A_KEY: usize = 10;
/// False positive rate above which a filter counts as full.
const FULL_RATE: f64 = 0.5;
/// Bytes of an entry beside its names.
const ENTRY_BYTES: u64 = 48;

/// Checksum by which summaries refer to a name.
pub fn name(text: &str) -> u32 {
    crc32fast::hash(text.as_bytes())
}

/// Bytes that reading an entry counts for. This never changes during an entry's lifetime.
pub fn weight(entry: &Entry) -> u64 {
    ENTRY_BYTES + (entry.id.len() + entry.class.len() + entry.tenant.len()) as u64
}

/// Version of a summary or a catalogue: position in the log, then the number of the owner's rebuild.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// All changes up to this number are included.
    pub upto: u64,
    /// Number of the rebuild: entries evicted at the index's limits are not changes of the log.
    pub made: u64,
}

/// Wire format of a Bloom filter.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Bits {
    bytes: Vec<u8>,
    hashes: u32,
}

/// A destination as a filter key. A number that fits into two bytes is hashed as `u16`, as in versions that
/// had no larger ones, so that senders of both versions can read each other's filters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DestinationKey(u32);

impl std::hash::Hash for DestinationKey {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        match u16::try_from(self.0) {
            Ok(short) => short.hash(state),
            Err(_) => self.0.hash(state),
        }
    }
}

/// A filter that can't be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("invalid filter of {bytes} bytes and {hashes} hashes; its sender runs another version")]
pub struct FilterError {
    bytes: usize,
    hashes: u32,
}

impl CodedError for FilterError {
    const CODES: &'static [&'static str] = &["estimate.filter"];

    fn code(&self) -> &'static str {
        Self::CODES[0]
    }

    fn remedy(&self) -> &'static str {
        "finish the roll-out, so that all senders run one version"
    }
}

/// A set without removal that may report keys which were not inserted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Bits", into = "Bits")]
pub struct Filter(BloomFilter);

impl TryFrom<Bits> for Filter {
    type Error = FilterError;

    fn try_from(bits: Bits) -> Result<Self, FilterError> {
        let (words, rest) = bits.bytes.as_chunks::<8>();
        let fits = !words.is_empty() && rest.is_empty() && bits.bytes.len() <= ID_BITS / 8;
        if !fits || !(1..=8).contains(&bits.hashes) {
            return Err(FilterError { bytes: bits.bytes.len(), hashes: bits.hashes });
        }
        let words = words.iter().map(|word| u64::from_le_bytes(*word)).collect();
        Ok(Self(BloomFilter::from_vec(words).seed(&0).hashes(bits.hashes)))
    }
}

impl From<Filter> for Bits {
    fn from(filter: Filter) -> Self {
        let bytes = filter.0.as_slice().iter().flat_map(|word| word.to_le_bytes()).collect();
        Self { bytes, hashes: filter.0.num_hashes() }
    }
}

impl Filter {
    fn of<K: std::hash::Hash>(keys: &BTreeSet<K>, most: usize) -> Self {
        let bits = (keys.len() * BITS_A_KEY).clamp(64, most).next_multiple_of(64);
        // The optimal number of hashes is bits per key times ln 2.
        let hashes = (bits as f64 / keys.len().max(1) as f64 * std::f64::consts::LN_2) as u32;
        let mut filter = BloomFilter::with_num_bits(bits).seed(&0).hashes(hashes.clamp(1, 7));
        for key in keys {
            filter.insert(key);
        }
        Self(filter)
    }

    fn contains<K: std::hash::Hash + ?Sized>(&self, key: &K) -> bool {
        self.0.contains(key)
    }

    /// False positive rate: the part of keys not inserted that it finds.
    pub fn false_rate(&self) -> f64 {
        let set: u32 = self.0.as_slice().iter().map(|word| word.count_ones()).sum();
        (f64::from(set) / self.0.num_bits().max(1) as f64).powi(self.0.num_hashes() as i32)
    }

    /// Whether it matches so many keys that it is of little use.
    pub fn full(&self) -> bool {
        self.false_rate() > FULL_RATE
    }
}

/// Counts for one tenant and class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// The tenant, by [`name`].
    pub tenant: u32,
    /// The class, by [`name`].
    pub class: u32,
    /// Number of entries.
    pub entries: u64,
    /// Bytes of the entries.
    pub bytes: u64,
    /// Number of entries reported in each of [`State::ALL`].
    pub told: [u64; State::ALL.len()],
}

impl Cell {
    fn add(&mut self, entry: &Entry) {
        self.entries = self.entries.saturating_add(1);
        self.bytes = self.bytes.saturating_add(weight(entry));
        let told =
            entry.states.reported().and_then(|told| State::ALL.iter().position(|state| *state == told));
        if let Some(count) = told.and_then(|at| self.told.get_mut(at)) {
            *count = count.saturating_add(1);
        }
    }

    fn join(&mut self, other: &Self) {
        self.entries = self.entries.saturating_add(other.entries);
        self.bytes = self.bytes.saturating_add(other.bytes);
        for (own, other) in self.told.iter_mut().zip(other.told) {
            *own = own.saturating_add(other);
        }
    }

    /// Part of its entries that is reported in one of these states; all of them if `states` is empty.
    fn share(&self, states: &[State]) -> f64 {
        if states.is_empty() {
            return 1.0;
        }
        let told = State::ALL.iter().zip(self.told).filter(|(state, _)| states.contains(state));
        told.map(|(_, count)| count as f64).sum::<f64>() / self.entries.max(1) as f64
    }
}

/// Summary of one shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The log.
    pub log: LogId,
    /// The span of the log.
    pub span: u32,
    /// The version.
    pub version: Version,
    /// Counts by tenant and class, at most [`MAX_CELLS`].
    pub cells: Vec<Cell>,
    /// Counts of all other pairs together.
    pub rest: Option<Cell>,
    /// Bytes of the longest entry.
    pub longest: u64,
    /// When the first and the last of its messages were accepted.
    pub times: (Micros, Micros),
    /// Its ids.
    pub ids: Filter,
    /// Its destinations, and their number.
    pub destinations: (Filter, u32),
}

/// What a query may find in a shard.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Part {
    /// Upper bound on entries read.
    pub most: u64,
    /// Upper bound on their bytes.
    pub most_bytes: u64,
    /// Upper bound on rows, whatever their states.
    pub most_rows: u64,
    /// Expected entries read, if no limit ends the read earlier.
    pub entries: f64,
    /// Their expected bytes.
    pub bytes: f64,
    /// Expected rows, and expected rows whatever their states.
    pub rows: (f64, f64),
    /// Whether at least one entry is certainly read, if no limit ends the read earlier.
    pub surely: bool,
}

impl Summary {
    /// The summary of all entries of one shard.
    pub fn of<'a>(
        log: LogId,
        span: u32,
        version: Version,
        entries: impl IntoIterator<Item = &'a Entry>,
    ) -> Self {
        let mut cells: BTreeMap<(u32, u32), Cell> = BTreeMap::new();
        let (mut ids, mut destinations) = (BTreeSet::new(), BTreeSet::new());
        let (mut times, mut longest) = ((Micros::MAX, 0), 0);
        for entry in entries {
            let (tenant, class) = (name(&entry.tenant), name(&entry.class));
            cells.entry((tenant, class)).or_insert(Cell { tenant, class, ..Cell::default() }).add(entry);
            longest = longest.max(weight(entry));
            ids.insert(entry.id.as_str());
            destinations.insert(DestinationKey(entry.destination));
            times = (times.0.min(entry.taken_at), times.1.max(entry.taken_at));
        }
        let mut cells: Vec<Cell> = cells.into_values().collect();
        cells.sort_by_key(|cell| std::cmp::Reverse(cell.entries));
        let rest = cells.split_off(cells.len().min(MAX_CELLS)).into_iter().reduce(|mut all, cell| {
            all.join(&cell);
            all
        });
        let number = destinations.len() as u32;
        let filters = (Filter::of(&ids, ID_BITS), Filter::of(&destinations, DESTINATION_BITS));
        let destinations = (filters.1, number);
        Self { log, span, version, cells, rest, longest, times, ids: filters.0, destinations }
    }

    /// Upper bound on a tenant's entries, and on their bytes.
    pub fn of_tenant(&self, tenant: u32) -> (u64, u64) {
        let cells = self.cells.iter().filter(|cell| cell.tenant == tenant).chain(&self.rest);
        cells.fold((0, 0), |sum: (u64, u64), cell| {
            (sum.0.saturating_add(cell.entries), sum.1.saturating_add(cell.bytes))
        })
    }

    /// What a query may find here; `None` if certainly none of the entries is read, and so none that
    /// [`Query::may_want`] admits. A query by ids reads the tenant's entries with these ids; any other reads
    /// all entries in its time range, of all tenants, since a log is ordered by time. States exclude nothing:
    /// they may still change, in this log or another.
    pub fn part(&self, query: &Query) -> Option<Part> {
        let from = query.after.as_ref().map_or(query.from, |after| query.from.max(after.0));
        let is_empty = from >= query.to;
        if is_empty || self.times.0 >= query.to || self.times.1 < from {
            return None;
        }
        let all = (self.times.1 - self.times.0).saturating_add(1) as f64;
        let within = self.times.1.min(query.to - 1) - self.times.0.max(from);
        let share = within.saturating_add(1) as f64 / all;
        let tenant = name(&query.tenant);
        let classes: Vec<u32> = query.classes.iter().map(|class| name(class)).collect();
        let class = |cell: &&Cell| classes.is_empty() || classes.contains(&cell.class);
        let to = query
            .destinations
            .iter()
            .filter(|to| self.destinations.0.contains(&DestinationKey(**to)))
            .count();
        let to = match query.destinations.len() {
            0 => 1.0,
            _ => (to as f64 / f64::from(self.destinations.1.max(1))).min(1.0),
        };
        let mut part = Part::default();
        let mut count = |cell: &Cell, share: f64| {
            part.most_rows = part.most_rows.saturating_add(if to > 0.0 { cell.entries } else { 0 });
            part.rows.0 += cell.entries as f64 * share * to * cell.share(&query.states);
            part.rows.1 += cell.entries as f64 * share * to;
        };
        self.cells
            .iter()
            .filter(|cell| cell.tenant == tenant)
            .filter(class)
            .for_each(|cell| count(cell, share));
        // Any of the entries counted together may be the tenant's, but few are.
        self.rest.iter().for_each(|cell| count(cell, share / MAX_CELLS as f64));
        if query.ids.is_empty() {
            (part.most, part.most_bytes) = self.all();
            part.entries = part.most as f64 * share;
            part.bytes = part.most_bytes as f64 * share;
            part.surely = self.times.0 >= from && self.times.1 < query.to;
            return Some(part);
        }
        self.by_id(query, share, part)
    }

    /// Each id that the filter finds is at most one entry.
    fn by_id(&self, query: &Query, share: f64, mut part: Part) -> Option<Part> {
        let asked = query.ids.len() as f64;
        let found = query.ids.iter().filter(|id| self.ids.contains(id.as_str())).count();
        let (mine, _) = self.of_tenant(name(&query.tenant));
        if found == 0 || mine == 0 {
            return None;
        }
        let rate = self.ids.false_rate().min(0.999);
        // Some of the ids found are present; the others are false positives at the filter's rate.
        let there = ((found as f64 - asked * rate) / (1.0 - rate)).max(0.0);
        let (all, bytes) = self.all();
        let rows = part.rows.0 / (mine as f64 * share).max(1.0);
        let wanted = part.rows.1 / (mine as f64 * share).max(1.0);
        part.entries = (there * share * mine as f64 / all.max(1) as f64).min(mine as f64);
        part.bytes = part.entries * bytes as f64 / all.max(1) as f64;
        part.rows = (part.entries * rows.min(1.0), part.entries * wanted.min(1.0));
        part.most = found as u64;
        part.most_bytes = part.most.saturating_mul(self.longest);
        part.most_rows = part.most_rows.min(part.most);
        Some(part)
    }

    /// Entries of all tenants, and their bytes.
    fn all(&self) -> (u64, u64) {
        let cells = self.cells.iter().chain(&self.rest);
        cells.fold((0, 0), |sum: (u64, u64), cell| {
            (sum.0.saturating_add(cell.entries), sum.1.saturating_add(cell.bytes))
        })
    }
}

#[cfg(test)]
mod tests;
