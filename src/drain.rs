//! Draining, as far as it needs no I/O: the operators' marks on endpoints, laid over discovery's list, and what
//! is said of a process that is being emptied. A mark goes by the endpoint's name. The module hears of it as a
//! listing alone: an endpoint that is marked is draining, whatever discovery says.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::interface::{Listing, Micros};
use crate::told;
use crate::told::Told;

/// Marks that are kept at most, whatever the configuration says.
pub const MOST_MARKS: usize = 256;
/// A name that is longer, as JSON, is not marked.
pub const LONGEST_NAME: usize = 128;
/// What a mark takes at most when it is written down.
const MARK_BYTES: u64 = LONGEST_NAME as u64 + 64;

/// An operator's mark on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// When it was set, in Unix microseconds.
    pub since: Micros,
    /// Whether it may leave its destination without an active endpoint.
    pub forced: bool,
}

/// An endpoint as discovery lists it.
#[derive(Debug, Clone, Copy)]
pub struct Listed<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its destination.
    pub destination: u32,
    /// Discovery says that it may be used.
    pub active: bool,
}

/// Why endpoints are not drained. Nothing was changed then.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No names were given.
    #[error("no endpoint is named")]
    Nothing,
    /// Names that are not in the list.
    #[error("not in the list: {}", joined(.0))]
    Unknown(Vec<String>),
    /// Destinations that would be left without an active endpoint.
    #[error("no active endpoint would be left for destination {}", joined(.0))]
    Last(Vec<u32>),
    /// More marks than are kept.
    #[error("more than {0} endpoints would be marked")]
    TooMany(usize),
}

told! { Refusal {
    Nothing => "draining.nothing", "name at least one endpoint of /control/endpoints in names";
    Unknown => "draining.unknown", "take the names from /control/endpoints at this sender";
    Last => "draining.last", "put another endpoint back first, or add \"force\": true";
    TooMany => "draining.too-many", "put endpoints back, or raise draining.max_marks and start a new process";
} }

/// Marks that were written down can't be read; on-call staff set them again.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Unread(#[from] serde_json::Error);

impl Told for Unread {
    const CODES: &'static [&'static str] = &["draining.unread"];

    fn code(&self) -> &'static str {
        Self::CODES[0]
    }

    fn remedy(&self) -> &'static str {
        "drain the endpoints again: none is marked"
    }
}

fn joined<T: ToString>(items: &[T]) -> String {
    items.iter().map(T::to_string).collect::<Vec<_>>().join(", ")
}

/// The marks of one sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Marks {
    most: usize,
    marks: BTreeMap<String, Mark>,
}

impl Marks {
    /// No marks; `most` of them are kept.
    pub fn new(most: usize) -> Self {
        Self { most: most.min(MOST_MARKS), marks: BTreeMap::new() }
    }

    /// Bytes that the marks may take where they are kept: old and new stand side by side while they are written.
    pub fn room(most: usize) -> u64 {
        2 * (most.min(MOST_MARKS) as u64 * MARK_BYTES + 1024)
    }

    /// The marks as they were written down, as many as are kept.
    ///
    /// # Errors
    /// Fails when it can't be read.
    pub fn read(most: usize, text: &[u8]) -> Result<Self, Unread> {
        let marks: BTreeMap<String, Mark> = serde_json::from_slice(text)?;
        let mut read = Self::new(most);
        read.marks = marks.into_iter().take(read.most).collect();
        Ok(read)
    }

    /// The marks to be written down.
    pub fn written(&self) -> Vec<u8> {
        serde_json::to_vec(&self.marks).unwrap_or_default()
    }

    /// All of them, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Mark)> {
        self.marks.iter().map(|(name, mark)| (name.as_str(), *mark))
    }

    /// The mark on an endpoint.
    pub fn on(&self, name: &str) -> Option<Mark> {
        self.marks.get(name).copied()
    }

    /// What the module is told of an endpoint that discovery lists so.
    pub fn over(&self, name: &str, listing: Listing) -> Listing {
        match listing {
            Listing::Ready if self.marks.contains_key(name) => Listing::Draining,
            other => other,
        }
    }

    /// The marks with these endpoints marked as well. Marking again what is marked changes nothing but that it
    /// may be forced now.
    ///
    /// # Errors
    /// Fails as a whole where one of them can't be, or must not be, drained.
    pub fn with(
        &self,
        names: &BTreeSet<String>,
        force: bool,
        now: Micros,
        list: &[Listed],
    ) -> Result<Self, Refusal> {
        if names.is_empty() {
            return Err(Refusal::Nothing);
        }
        let there: BTreeSet<&str> = list.iter().map(|listed| listed.name).collect();
        let long = |name: &str| serde_json::to_vec(name).is_ok_and(|text| text.len() > LONGEST_NAME);
        let unknown = names.iter().filter(|name| !there.contains(name.as_str()) || long(name));
        let unknown: Vec<String> = unknown.map(|name| name.chars().take(LONGEST_NAME).collect()).collect();
        if !unknown.is_empty() {
            return Err(Refusal::Unknown(unknown));
        }
        let mut with = self.clone();
        for name in names {
            let mark = with.marks.entry(name.clone()).or_insert(Mark { since: now, forced: force });
            mark.forced |= force;
        }
        if with.marks.len() > self.most {
            return Err(Refusal::TooMany(self.most));
        }
        let last: Vec<u32> = with.bare(list).difference(&self.bare(list)).copied().collect();
        if !force && !last.is_empty() {
            return Err(Refusal::Last(last));
        }
        Ok(with)
    }

    /// The marks without those on these endpoints; it is no fault if there is none.
    pub fn without(&self, names: &BTreeSet<String>) -> Self {
        let mut without = self.clone();
        without.marks.retain(|name, _| !names.contains(name));
        without
    }

    /// The marks that are left when these are the endpoints of the list.
    pub fn kept(&self, there: impl Fn(&str) -> bool) -> Self {
        let mut kept = self.clone();
        kept.marks.retain(|name, _| there(name));
        kept
    }

    /// Listed destinations that have no active endpoint left, whoever took them out.
    pub fn bare(&self, list: &[Listed]) -> BTreeSet<u32> {
        let usable = |listed: &&Listed| listed.active && !self.marks.contains_key(listed.name);
        let usable: BTreeSet<u32> = list.iter().filter(usable).map(|listed| listed.destination).collect();
        list.iter().map(|listed| listed.destination).filter(|d| !usable.contains(d)).collect()
    }
}

/// How far a process is on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes clients.
    Serving,
    /// It sends clients elsewhere and ends what it has.
    Draining,
    /// It has nothing left to end.
    Drained,
}

/// What a process still has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Left {
    /// Messages whose end, or the notice of it, is owed.
    pub owed: usize,
    /// Calls to endpoints that are out.
    pub calls_out: usize,
    /// Clients that are connected.
    pub clients: usize,
    /// Records that could not be written to the journal yet.
    pub unwritten: usize,
}

impl Left {
    /// How far it is.
    pub fn state(&self, serving: bool) -> State {
        match (serving, *self == Self::default()) {
            (true, _) => State::Serving,
            (false, false) => State::Draining,
            (false, true) => State::Drained,
        }
    }

    /// The one thing that staff need to know before they touch the machine.
    pub fn verdict(&self, serving: bool) -> String {
        let counted = [
            (self.calls_out, "calls out"),
            (self.clients, "clients connected"),
            (self.unwritten, "records not written to the journal"),
        ];
        let mut why: Vec<String> = serving.then(|| "it is serving".to_owned()).into_iter().collect();
        why.extend(counted.iter().filter(|(n, _)| *n > 0).map(|(n, what)| format!("{n} {what}")));
        if !why.is_empty() {
            return format!("not yet: {}", why.join(", "));
        }
        match self.owed {
            0 => "safe to lose the machine".to_owned(),
            owed => format!("safe to stop: {owed} messages owed are in the journal, which must be kept"),
        }
    }
}

#[cfg(test)]
mod tests;
