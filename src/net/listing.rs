//! The sender's table of endpoints.

use std::net::SocketAddr;

pub use myrtleyard::endpoints::listing::{ListBody, Listing};
use myrtleyard::endpoints::reader::List;
use serde::{Deserialize, Serialize};

/// The version of a list and, if it is a complete list, its number of entries.
pub fn list_version(list: &List) -> (u64, Option<usize>) {
    match list {
        List::Entries(list) => (list.index, list.snapshot.then_some(list.endpoints.len())),
        List::Table { index, table } => (*index, Some(table.len())),
    }
}

/// An endpoint, as given by the list.
#[derive(Serialize, Deserialize)]
pub struct KnownEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Its destination.
    pub group: u32,
    /// Its address, if the list has a valid one.
    pub address: Option<SocketAddr>,
    /// Whether it is in the current list.
    pub listed: bool,
    /// The attributes passed to the module; missing in a handover from an older version.
    #[serde(default)]
    pub shape: Option<EndpointAttributes>,
    /// Names of its zone and kind, because positions change with the settings. Missing in a handover from an
    /// older version.
    #[serde(default)]
    pub named: Option<(String, String)>,
    /// Maximum number of messages in one call.
    pub bundle: usize,
    /// Time of its last start, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub since_ms: u64,
}

/// The attributes that the list gives for an endpoint besides its address.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct EndpointAttributes {
    /// Its zone, by position in the settings.
    pub zone: u16,
    /// Its kind, by position in the settings.
    pub kind: usize,
    /// Its weight.
    pub weight: f64,
    /// Whether discovery marks it as active, regardless of drain marks of operators.
    pub active: bool,
}

impl KnownEndpoint {
    /// Whether discovery marks the endpoint as active.
    pub fn active(&self) -> bool {
        self.shape.is_some_and(|shape| shape.active)
    }
}
