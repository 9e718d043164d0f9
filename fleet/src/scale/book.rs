//! The records of an axis that count, by point, and what they predict.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use super::Axis;
use super::figure::Figure;
use super::fit::Fit;
use super::members::quantile;
use super::record::{self, Record, Unread};

/// An axis's records of the commit that was measured last, starved ones apart.
pub struct Book {
    /// The axis.
    pub axis: Axis,
    /// Records that count, by size.
    pub points: BTreeMap<u64, Vec<Record>>,
    /// Records of that commit that count for nothing.
    pub starved: usize,
    /// That commit; nothing without any record.
    pub commit: Option<String>,
}

impl Book {
    /// Reads an axis's file.
    ///
    /// # Errors
    /// Fails when it can't be read.
    pub fn read(folder: &Path, axis: Axis) -> Result<Self, Unread> {
        let records = record::read(folder, axis)?;
        let commit = records.last().map(|record| record.commit.clone());
        let mut book = Self { axis, points: BTreeMap::new(), starved: 0, commit };
        for record in records.into_iter().filter(|record| Some(&record.commit) == book.commit.as_ref()) {
            if record.starved.is_some() {
                book.starved += 1;
            } else {
                book.points.entry(record.size).or_default().push(record);
            }
        }
        Ok(book)
    }

    /// Why a size was refused, if it was with each seed.
    pub fn refused(&self, size: u64) -> Option<&str> {
        let records = self.points.get(&size)?;
        let refused: Vec<&str> =
            records.iter().filter_map(|record| record.measured.refused.as_deref()).collect();
        refused.first().copied().filter(|_| refused.len() == records.len())
    }

    /// A figure at a size: the median of the seeds. Nothing where it was not measured.
    pub fn at(&self, size: u64, figure: Figure) -> Option<f64> {
        let records = self.points.get(&size)?;
        let values: Vec<f64> =
            records.iter().filter_map(|record| record.measured.figures.get(&figure).copied()).collect();
        (!values.is_empty()).then(|| quantile(&values, 0.5))
    }

    /// The sizes that were taken, with a figure.
    pub fn taken(&self, figure: Figure) -> Vec<(f64, f64)> {
        let sizes = self.points.keys().filter(|size| self.refused(**size).is_none());
        sizes.filter_map(|size| Some((*size as f64, self.at(*size, figure)?))).collect()
    }

    /// The fit of a figure over the sizes that were taken.
    pub fn fit(&self, figure: Figure) -> Option<Fit> {
        Fit::of(&self.taken(figure))
    }

    /// The largest size that was taken, and the smallest that was refused.
    pub fn bounds(&self) -> (Option<u64>, Option<u64>) {
        let refused = |size: &&u64| self.refused(**size).is_some();
        let taken = self.points.keys().rfind(|size| !refused(size));
        (taken.copied(), self.points.keys().find(refused).copied())
    }

    /// Seeds of the points that count.
    pub fn seeds(&self) -> usize {
        let records = self.points.values().flatten();
        records.map(|record| record.seed).collect::<BTreeSet<_>>().len()
    }

    /// The worst lateness of the bench's timers in records that count, microseconds: 99th percentile and most.
    pub fn lateness_us(&self) -> [u64; 2] {
        let records = self.points.values().flatten().map(|record| record.measured.lateness_us);
        records.fold([0, 0], |worst, [_, late, most]| [worst[0].max(late), worst[1].max(most)])
    }
}
