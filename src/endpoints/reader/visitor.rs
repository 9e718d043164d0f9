//! The serde visitor of a list's JSON, and the list parsed so far.

use std::fmt;

use serde::Deserialize;
use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

use super::super::ListError;
use super::super::listing::{ListBody, Listing};
use super::super::table::Builder;
use super::counting::Progress;
use super::{CHANGES, ENTRIES, List, NAME_BYTES};

/// The part of a list parsed so far.
#[derive(Debug)]
pub struct ListVisitor<'progress> {
    progress: &'progress Progress,
    /// Maximum number of endpoints.
    max_endpoints: usize,
    index: Option<u64>,
    snapshot: Option<bool>,
    endpoints_seen: bool,
    /// Number of entries so far.
    count: usize,
    /// All entries so far, while there is no builder.
    entries: Vec<Listing>,
    /// All entries so far, once there are over [`ENTRIES`] and the list may be a snapshot.
    builder: Option<Builder>,
    refused: Option<ListError>,
}

impl<'progress> ListVisitor<'progress> {
    /// Creates a visitor for a list of at most `max_endpoints` endpoints.
    pub fn new(max_endpoints: usize, progress: &'progress Progress) -> Self {
        Self {
            progress,
            max_endpoints,
            index: None,
            snapshot: None,
            endpoints_seen: false,
            count: 0,
            entries: Vec::new(),
            builder: None,
            refused: None,
        }
    }

    /// Takes the reason why the list is rejected, if it is.
    pub fn refused(&mut self) -> Option<ListError> {
        self.refused.take()
    }

    /// The list, once all of it was read.
    pub fn finish(self) -> Result<List, ListError> {
        let (index, snapshot) = (self.index.unwrap_or_default(), self.snapshot.unwrap_or_default());
        let endpoints = match self.builder {
            Some(builder) if snapshot => return Ok(List::Table { index, table: Box::new(builder.finish()) }),
            Some(builder) if builder.len() > CHANGES => return Err(ListError::Changes(CHANGES)),
            Some(builder) => builder.entries().collect(),
            None => self.entries,
        };
        Ok(List::Entries(ListBody { index, snapshot, endpoints }))
    }

    fn add(&mut self, entry: Listing) -> Result<(), ListError> {
        self.count += 1;
        if self.count > self.max_endpoints {
            return Err(ListError::Endpoints(self.max_endpoints));
        }
        let may_be_snapshot = self.snapshot != Some(false);
        if !may_be_snapshot && self.count > CHANGES {
            return Err(ListError::Changes(CHANGES));
        }
        if entry.name.len() > NAME_BYTES {
            let which = self.count;
            return Err(ListError::Malformed(format!(
                "the name of entry {which} is longer than {NAME_BYTES} bytes"
            )));
        }
        if may_be_snapshot && self.count == ENTRIES + 1 {
            self.builder = Some(builder_from(std::mem::take(&mut self.entries))?);
        }
        match &mut self.builder {
            Some(builder) => builder.push(&entry)?,
            None => self.entries.push(entry),
        }
        Ok(())
    }
}

fn builder_from(entries: Vec<Listing>) -> Result<Builder, ListError> {
    let mut builder = Builder::default();
    for entry in entries {
        builder.push(&entry)?;
    }
    Ok(builder)
}

/// The members of a list. Others are ignored.
#[derive(Deserialize)]
#[serde(field_identifier, rename_all = "lowercase")]
enum Member {
    Index,
    Snapshot,
    Endpoints,
    #[serde(other)]
    Other,
}

impl<'json> DeserializeSeed<'json> for &mut ListVisitor<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'json>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'json> Visitor<'json> for &mut ListVisitor<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list of endpoints")
    }

    fn visit_map<A: MapAccess<'json>>(self, mut members: A) -> Result<(), A::Error> {
        while let Some(member) = members.next_key()? {
            self.progress.mark();
            match member {
                Member::Index => set_once(&mut self.index, members.next_value()?, "index")?,
                Member::Snapshot => set_once(&mut self.snapshot, members.next_value()?, "snapshot")?,
                Member::Endpoints => members.next_value_seed(Entries(self))?,
                Member::Other => drop(members.next_value::<IgnoredAny>()?),
            }
        }
        Ok(())
    }
}

/// Stores the value of a member that may occur only once.
fn set_once<T, E: Error>(kept: &mut Option<T>, value: T, member: &'static str) -> Result<(), E> {
    match kept.replace(value) {
        Some(_) => Err(E::duplicate_field(member)),
        None => Ok(()),
    }
}

/// Visits the member `endpoints` entry by entry.
struct Entries<'gathered, 'progress>(&'gathered mut ListVisitor<'progress>);

impl<'json> DeserializeSeed<'json> for Entries<'_, '_> {
    type Value = ();

    fn deserialize<D: Deserializer<'json>>(self, deserializer: D) -> Result<(), D::Error> {
        if std::mem::replace(&mut self.0.endpoints_seen, true) {
            return Err(D::Error::duplicate_field("endpoints"));
        }
        deserializer.deserialize_seq(self)
    }
}

impl<'json> Visitor<'json> for Entries<'_, '_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("entries")
    }

    fn visit_seq<A: SeqAccess<'json>>(self, mut entries: A) -> Result<(), A::Error> {
        while let Some(entry) = entries.next_element()? {
            self.0.progress.mark();
            if let Err(refused) = self.0.add(entry) {
                let shown = A::Error::custom(&refused);
                self.0.refused = Some(refused);
                return Err(shown);
            }
        }
        Ok(())
    }
}
