//! The list of endpoints from discovery, without I/O: parsed as a stream, and stored in a compact table. The
//! decision module gets from it the destinations that messages go to.

pub mod listing;
pub mod reader;
pub mod table;

use crate::coded_error;

/// Limits on the size of an accepted list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of endpoints.
    pub endpoints: usize,
    /// Maximum length of its JSON text, bytes.
    pub bytes: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { endpoints: 1 << 20, bytes: 512 << 20 }
    }
}

/// Why a list is rejected. The previous one stays in force.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// It has more endpoints than [`Bounds::endpoints`].
    #[error("the list has more than {0} endpoints")]
    Endpoints(usize),
    /// It has more bytes than [`Bounds::bytes`].
    #[error("the list has more than {0} bytes")]
    Bytes(u64),
    /// It is a list of changes and has more entries than [`reader::CHANGES`].
    #[error("the list has more than {0} changes")]
    Changes(usize),
    /// It is not a valid list.
    #[error("the list can't be read: {0}")]
    Malformed(String),
    /// It was truncated, or not received within the time that a list of its length may take.
    #[error("the list was truncated after {0} bytes, or received too slowly")]
    Truncated(u64),
}

coded_error! { ListError {
    Endpoints => "list.endpoints", "split the deployment, or have discovery send this sender fewer endpoints";
    Bytes => "list.bytes", "let discovery write the list without indentation, or list fewer endpoints";
    Changes => "list.changes", "nothing: the sender requests the whole list";
    Malformed => "list.malformed", "look at what discovery answers to GET /v1/endpoints";
    Truncated => "list.cut", "check discovery's load, and the network path to it";
} }
