//! What an adopter may say of the log of the sender from which it has taken over. Changes were told to two covers, and
//! either's word was enough to go on, so that neither has all of them. The adopter says nothing until both have told
//! all that they know; then it has what was ever granted, as far as that is without gaps.

use std::collections::{BTreeMap, BTreeSet};

use crate::status::Rank;

/// Numbers beyond a gap that are remembered of one cover; more of them are forgotten, which only says less.
pub const MAX_BEYOND: usize = 1_024;

/// What one cover knows of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ReplicaNumbers {
    /// All changes up to this number.
    pub upto: u64,
    /// These beyond it.
    pub beyond: BTreeSet<u64>,
}

/// An adoption of one log by its two covers' facts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Adopted {
    told: BTreeMap<Rank, ReplicaNumbers>,
    covers: Option<(Rank, Rank)>,
}

impl Adopted {
    /// Of a log with these covers.
    pub fn new(covers: (Rank, Rank)) -> Self {
        Self { told: BTreeMap::new(), covers: Some(covers) }
    }

    /// A cover has told all that it knows. What it told before holds still.
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

    /// Up to which number it has all changes; nothing as long as a cover has not told.
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
