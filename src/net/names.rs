//! Names in the settings, by position, and how those of a changed configuration follow on the ones in force.

use std::collections::BTreeSet;

use myrtleyard::interface::Settings;
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

    /// The position of a class that messages may be handed in for.
    pub fn class(&self, name: &str) -> Option<usize> {
        (0..self.classes.len()).find(|at| self.classes[*at] == name && !self.retired.contains(at))
    }
}

/// Settings and names that follow on others at the same sender. A class's position is never given to
/// another: what is held goes by it, so that a message under way keeps the class that it came with.
pub fn following(
    (mut settings, mut names): (Settings, Names),
    before: &Settings,
    known: &Names,
) -> (Settings, Names) {
    let mut classes = before.classes.clone();
    let mut all = known.classes.clone();
    let mut current = BTreeSet::new();
    for (name, class) in names.classes.into_iter().zip(settings.classes) {
        let same = (0..all.len()).find(|at| all[*at] == name && classes[*at] == class);
        current.insert(same.unwrap_or_else(|| {
            all.push(name);
            classes.push(class);
            all.len() - 1
        }));
    }
    names.retired = (0..all.len()).filter(|at| !current.contains(at)).collect();
    (names.classes, settings.classes) = (all, classes);
    (settings, names)
}
