//! Endpoints as the sender keeps them.

use std::net::SocketAddr;

pub use myrtleyard::endpoints::listing::{ListBody, Listing};
use myrtleyard::endpoints::reader::List;
use serde::{Deserialize, Serialize};

/// The version of a list, and of how many entries it is if it is whole.
pub fn version(list: &List) -> (u64, Option<usize>) {
    match list {
        List::Entries(list) => (list.index, list.snapshot.then_some(list.endpoints.len())),
        List::Table { index, table } => (*index, Some(table.len())),
    }
}

/// An endpoint as the list has it.
#[derive(Serialize, Deserialize)]
pub struct Known {
    /// Its name.
    pub name: String,
    /// Its destination.
    pub group: u32,
    /// Where it is dialled, if that can be read.
    pub address: Option<SocketAddr>,
    /// It is in the list.
    pub listed: bool,
    /// What else the module was told of it; an older process hands over without.
    #[serde(default)]
    pub shape: Option<Shape>,
    /// Its zone and its kind, by name: positions change with the settings. An older process hands over without.
    #[serde(default)]
    pub named: Option<(String, String)>,
    /// Messages in one call at most.
    pub bundle: usize,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub since_ms: u64,
}

/// What the list tells of an endpoint beyond where it is.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct Shape {
    /// Its zone, by position.
    pub zone: u16,
    /// Its kind, by position.
    pub kind: usize,
    /// Its weight.
    pub weight: f64,
    /// Discovery says that it may be used, whatever operators say.
    pub active: bool,
}

impl Known {
    /// Whether discovery says that it may be used.
    pub fn active(&self) -> bool {
        self.shape.is_some_and(|shape| shape.active)
    }
}
