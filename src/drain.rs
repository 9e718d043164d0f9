//! Draining, without I/O: the operators' marks on endpoints, applied on top of discovery's list, and the
//! state of a process that is being drained. Marks are keyed by endpoint name. The policy module sees a mark
//! only as a listing: a marked endpoint is draining although discovery lists it as ready.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::coded_error;
use crate::error_code::CodedError;
use crate::interface::{Listing, Micros};

/// Maximum number of marks, whatever the configuration says.
pub const MAX_MARKS: usize = 256;
/// Maximum length of a marked name, as JSON.
pub const MAX_NAME_LEN: usize = 128;
/// Maximum size of a stored mark, in bytes.
const MARK_BYTES: u64 = MAX_NAME_LEN as u64 + 64;

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
    /// The endpoint's name.
    pub name: &'a str,
    /// The destination that it belongs to.
    pub destination: u32,
    /// Whether discovery lists it as usable.
    pub active: bool,
}

/// Why a request to drain endpoints was refused. Nothing is changed in that case.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No names were given.
    #[error("no endpoint is named")]
    Nothing,
    /// Names that are not in the list.
    #[error("not in the list of endpoints: {}", join_list(.0))]
    Unknown(Vec<String>),
    /// Destinations that would be left without an active endpoint.
    #[error("no active endpoint would be left for destination {}", join_list(.0))]
    Last(Vec<u32>),
    /// There would be more marks than allowed.
    #[error("more than {0} endpoints would be marked")]
    TooMany(usize),
}

coded_error! { Refusal {
    Nothing => "draining.nothing", "name at least one endpoint of /control/endpoints in names";
    Unknown => "draining.unknown", "take the names from /control/endpoints at this sender";
    Last => "draining.last", "put another endpoint back first, or add \"force\": true";
    TooMany => "draining.too-many", "put endpoints back, or raise draining.max_marks and start a new process";
} }

/// The stored marks cannot be read; operators must set them again.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct MarksUnreadable(#[from] serde_json::Error);

impl CodedError for MarksUnreadable {
    const CODES: &'static [&'static str] = &["draining.unread"];

    fn code(&self) -> &'static str {
        Self::CODES[0]
    }

    fn remedy(&self) -> &'static str {
        "drain the endpoints again: none is marked"
    }
}

fn join_list<T: ToString>(items: &[T]) -> String {
    items.iter().map(T::to_string).collect::<Vec<_>>().join(", ")
}

/// The marks of one sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Marks {
    max: usize,
    marks: BTreeMap<String, Mark>,
}

impl Marks {
    /// An empty set of at most `max` marks.
    pub fn new(max: usize) -> Self {
        Self { max: max.min(MAX_MARKS), marks: BTreeMap::new() }
    }

    /// Maximum disk usage in bytes: the old and the new file coexist while the marks are written.
    pub fn max_bytes(max: usize) -> u64 {
        2 * (max.min(MAX_MARKS) as u64 * MARK_BYTES + 1024)
    }

    /// Decodes stored marks; those beyond `max` are dropped.
    ///
    /// # Errors
    /// Fails when the text is not valid.
    pub fn read(max: usize, text: &[u8]) -> Result<Self, MarksUnreadable> {
        let marks: BTreeMap<String, Mark> = serde_json::from_slice(text)?;
        let mut read = Self::new(max);
        read.marks = marks.into_iter().take(read.max).collect();
        Ok(read)
    }

    /// Encodes the marks for storage.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(&self.marks).unwrap_or_default()
    }

    /// All marks, ordered by endpoint name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Mark)> {
        self.marks.iter().map(|(name, mark)| (name.as_str(), *mark))
    }

    /// The mark on an endpoint.
    pub fn get(&self, name: &str) -> Option<Mark> {
        self.marks.get(name).copied()
    }

    /// The listing of an endpoint with its mark applied.
    pub fn apply_to(&self, name: &str, listing: Listing) -> Listing {
        match listing {
            Listing::Ready if self.marks.contains_key(name) => Listing::Draining,
            other => other,
        }
    }

    /// The marks with these endpoints marked as well. An existing mark stays as it is, except that it becomes
    /// forced if `force` is set.
    ///
    /// # Errors
    /// Fails as a whole if one of the endpoints cannot be, or must not be, drained.
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
        let listed_names: BTreeSet<&str> = list.iter().map(|listed| listed.name).collect();
        let long = |name: &str| serde_json::to_vec(name).is_ok_and(|text| text.len() > MAX_NAME_LEN);
        let unknown = names.iter().filter(|name| !listed_names.contains(name.as_str()) || long(name));
        let unknown: Vec<String> = unknown.map(|name| name.chars().take(MAX_NAME_LEN).collect()).collect();
        if !unknown.is_empty() {
            return Err(Refusal::Unknown(unknown));
        }
        let mut with = self.clone();
        for name in names {
            let mark = with.marks.entry(name.clone()).or_insert(Mark { since: now, forced: force });
            mark.forced |= force;
        }
        if with.marks.len() > self.max {
            return Err(Refusal::TooMany(self.max));
        }
        let last: Vec<u32> = with
            .destinations_without_active(list)
            .difference(&self.destinations_without_active(list))
            .copied()
            .collect();
        if !force && !last.is_empty() {
            return Err(Refusal::Last(last));
        }
        Ok(with)
    }

    /// The marks without those on these endpoints, marked or not.
    pub fn without(&self, names: &BTreeSet<String>) -> Self {
        let mut without = self.clone();
        without.marks.retain(|name, _| !names.contains(name));
        without
    }

    /// The marks on endpoints that are still listed.
    pub fn retain_listed(&self, is_listed: impl Fn(&str) -> bool) -> Self {
        let mut kept = self.clone();
        kept.marks.retain(|name, _| is_listed(name));
        kept
    }

    /// Listed destinations without an active endpoint, whether by discovery or by marks.
    pub fn destinations_without_active(&self, list: &[Listed]) -> BTreeSet<u32> {
        let usable = |listed: &&Listed| listed.active && !self.marks.contains_key(listed.name);
        let usable: BTreeSet<u32> = list.iter().filter(usable).map(|listed| listed.destination).collect();
        list.iter().map(|listed| listed.destination).filter(|d| !usable.contains(d)).collect()
    }
}

/// Service state of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It accepts clients.
    Serving,
    /// It redirects clients and finishes its remaining work.
    Draining,
    /// It has no work left.
    Drained,
}

/// The work that a process has left.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RemainingWork {
    /// Messages whose final outcome, or its notice, is still owed.
    pub owed: usize,
    /// Calls to endpoints that are in progress.
    pub calls_out: usize,
    /// Connected clients.
    pub clients: usize,
    /// Records that could not be written to the journal yet.
    pub unwritten: usize,
}

impl RemainingWork {
    /// The service state, given whether the process is to serve.
    pub fn state(&self, serving: bool) -> State {
        match (serving, *self == Self::default()) {
            (true, _) => State::Serving,
            (false, false) => State::Draining,
            (false, true) => State::Drained,
        }
    }

    /// Whether operators may stop the process or lose the machine, as a sentence.
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
