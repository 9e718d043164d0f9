//! What an adopter may state about the log of the sender that it has taken over. Each change was sent to two
//! backups, and the acknowledgement of either was enough to continue, so neither backup has all changes. The
//! adopter states nothing until both have reported all that they know; then it has everything that was ever
//! granted, as far as it is without gaps.

use std::collections::{BTreeMap, BTreeSet};

use crate::status::Rank;

/// Maximum number of changes beyond a gap that are stored for one backup; dropping more only makes the stated
/// position smaller.
pub const MAX_BEYOND: usize = 1_024;

/// The changes of the log known to one backup.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ReplicaNumbers {
    /// All changes up to this number.
    pub upto: u64,
    /// Changes beyond it.
    pub beyond: BTreeSet<u64>,
}

/// The adoption of a log, from the reports of its two backups.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Adopted {
    told: BTreeMap<Rank, ReplicaNumbers>,
    covers: Option<(Rank, Rank)>,
}

impl Adopted {
    /// An adoption of a log with these backups.
    pub fn new(covers: (Rank, Rank)) -> Self {
        Self { told: BTreeMap::new(), covers: Some(covers) }
    }

    /// A backup has reported all that it knows. Its earlier reports still hold.
    pub fn report(&mut self, cover: Rank, known: ReplicaNumbers) {
        if self.covers.is_some_and(|covers| cover == covers.0 || cover == covers.1) {
            let held = self.told.entry(cover).or_default();
            held.upto = held.upto.max(known.upto);
            held.beyond.extend(known.beyond);
            while held.beyond.len() > MAX_BEYOND {
                held.beyond.pop_last();
            }
        }
    }

    /// The number up to which the adopter has all changes; none until both backups have reported.
    pub fn upto(&self) -> Option<u64> {
        let (one, other) = self.covers?;
        let (one, other) = (self.told.get(&one)?, self.told.get(&other)?);
        let mut upto = one.upto.max(other.upto);
        while let Some(next) = upto.checked_add(1)
            && (one.beyond.contains(&next) || other.beyond.contains(&next))
        {
            upto = next;
        }
        Some(upto)
    }
}
