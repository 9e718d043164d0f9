//! The names in the settings, by position, and how a changed configuration keeps the positions in force.

use std::collections::BTreeSet;

use myrtleyard::interface::{Class, Settings};
use serde::{Deserialize, Serialize};

/// The names in the settings, by position.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Names {
    /// Classes of message, including removed ones for which messages are still held.
    pub classes: Vec<String>,
    /// Positions of the classes for which no new messages are accepted.
    pub retired: BTreeSet<usize>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Kinds of destination.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Fields of a load report.
    pub report: Vec<String>,
}

impl Names {
    /// Whether messages of this tenant are accepted. At a site without tenants, all messages are.
    pub fn accepts_tenant(&self, tenant: Option<&str>) -> bool {
        self.tenants.is_empty() || tenant.is_some_and(|tenant| self.tenants.iter().any(|t| t == tenant))
    }

    /// Position of a zone; `u16::MAX` if the settings do not name it.
    pub fn zone(&self, name: &str) -> u16 {
        self.zones.iter().position(|zone| zone == name).map_or(u16::MAX, |zone| zone as u16)
    }

    /// Position of a kind; `usize::MAX` if the settings do not name it.
    pub fn kind(&self, name: &str) -> usize {
        self.kinds.iter().position(|kind| kind == name).unwrap_or(usize::MAX)
    }

    /// Position of a class for which messages may be submitted.
    pub fn class(&self, name: &str) -> Option<usize> {
        (0..self.classes.len()).find(|at| self.classes[*at] == name && !self.retired.contains(at))
    }
}

/// Assigns positions to the classes of new settings, to replace the settings `before`. While `held` returns
/// true for a position, because a message uses it, no other class gets that position, so messages under way
/// keep the class that they were accepted with. The number of positions is at most that of the classes plus
/// one for each earlier class that is still in use.
pub fn align_positions(
    (mut settings, mut names): (Settings, Names),
    before: &Settings,
    known: &Names,
    held: impl Fn(usize) -> bool,
) -> (Settings, Names) {
    let mut classes = before.classes.clone();
    let mut all = known.classes.clone();
    let new: Vec<_> = names.classes.into_iter().zip(settings.classes).collect();
    let same = |(name, class): &(String, Class)| {
        (0..classes.len()).find(|at| known.classes.get(*at) == Some(name) && classes[*at] == *class)
    };
    let positions: Vec<Option<usize>> = new.iter().map(same).collect();
    let mut current: BTreeSet<usize> = positions.iter().copied().flatten().collect();
    for ((name, class), position) in new.into_iter().zip(positions) {
        if position.is_some() {
            continue;
        }
        match (0..all.len()).find(|at| !current.contains(at) && !held(*at)) {
            Some(free) => {
                (all[free], classes[free]) = (name, class);
                current.insert(free);
            }
            None => {
                current.insert(all.len());
                all.push(name);
                classes.push(class);
            }
        }
    }
    // Trailing positions that are neither current nor in use are removed.
    while all.len().checked_sub(1).is_some_and(|last| !current.contains(&last) && !held(last)) {
        all.pop();
        classes.pop();
    }
    names.retired = (0..all.len()).filter(|at| !current.contains(at)).collect();
    settings.retired = names.retired.clone();
    (names.classes, settings.classes) = (all, classes);
    (settings, names)
}
