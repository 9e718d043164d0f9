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
    reports: BTreeMap<Rank, ReplicaNumbers>,
    backups: Option<(Rank, Rank)>,
}

impl Adopted {
    /// An adoption of a log with these backups.
    pub fn new(backups: (Rank, Rank)) -> Self {
        Self { reports: BTreeMap::new(), backups: Some(backups) }
    }

    /// A backup has reported all that it knows. Its earlier reports still hold.
    pub fn report(&mut self, backup: Rank, known: ReplicaNumbers) {
        if self.backups.is_some_and(|backups| backup == backups.0 || backup == backups.1) {
            let report = self.reports.entry(backup).or_default();
            report.upto = report.upto.max(known.upto);
            report.beyond.extend(known.beyond);
            while report.beyond.len() > MAX_BEYOND {
                report.beyond.pop_last();
            }
        }
    }

    /// The number up to which the adopter has all changes; none until both backups have reported.
    pub fn upto(&self) -> Option<u64> {
        let (one, other) = self.backups?;
        let (one, other) = (self.reports.get(&one)?, self.reports.get(&other)?);
        let mut upto = one.upto.max(other.upto);
        while let Some(next) = upto.checked_add(1)
            && (one.beyond.contains(&next) || other.beyond.contains(&next))
        {
            upto = next;
        }
        Some(upto)
    }
}
