//! Names in the settings, by position, and how those of a changed configuration follow on the ones in force.

use std::collections::BTreeSet;

use myrtleyard::interface::{Class, Settings};
use serde::{Deserialize, Serialize};

/// Names in the settings, by position.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Names {
    /// Classes of message, those that are held still among them.
    pub classes: Vec<String>,
    /// Positions of classes that nothing new is taken for.
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
    /// Whether a message may be this tenant's; some sites have none.
    pub fn owns(&self, tenant: Option<&str>) -> bool {
        self.tenants.is_empty() || tenant.is_some_and(|tenant| self.tenants.iter().any(|t| t == tenant))
    }

    /// A zone's position; `u16::MAX` for one that the settings do not name.
    pub fn zone(&self, name: &str) -> u16 {
        self.zones.iter().position(|zone| zone == name).map_or(u16::MAX, |zone| zone as u16)
    }

    /// A kind's position; `usize::MAX` for one that the settings do not name.
    pub fn kind(&self, name: &str) -> usize {
        self.kinds.iter().position(|kind| kind == name).unwrap_or(usize::MAX)
    }

    /// The position of a class that messages may be handed in for.
    pub fn class(&self, name: &str) -> Option<usize> {
        (0..self.classes.len()).find(|at| self.classes[*at] == name && !self.retired.contains(at))
    }
}

/// Settings and names that follow on others at the same sender. A class's position is given to no other while `held`
/// says that a message goes by it, so that what is under way keeps the class that it came with. There are as many
/// positions as classes, and one for each earlier class that something is held for, at most.
pub fn following(
    (mut settings, mut names): (Settings, Names),
    before: &Settings,
    known: &Names,
    held: impl Fn(usize) -> bool,
) -> (Settings, Names) {
    let mut classes = before.classes.clone();
    let mut all = known.classes.clone();
    let told: Vec<_> = names.classes.into_iter().zip(settings.classes).collect();
    let same = |(name, class): &(String, Class)| {
        (0..classes.len()).find(|at| known.classes.get(*at) == Some(name) && classes[*at] == *class)
    };
    let places: Vec<Option<usize>> = told.iter().map(same).collect();
    let mut current: BTreeSet<usize> = places.iter().copied().flatten().collect();
    for ((name, class), place) in told.into_iter().zip(places) {
        if place.is_some() {
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
    // What nothing is held for at the end is no class any more.
    while all.len().checked_sub(1).is_some_and(|last| !current.contains(&last) && !held(last)) {
        all.pop();
        classes.pop();
    }
    names.retired = (0..all.len()).filter(|at| !current.contains(at)).collect();
    settings.retired = names.retired.clone();
    (names.classes, settings.classes) = (all, classes);
    (settings, names)
}
