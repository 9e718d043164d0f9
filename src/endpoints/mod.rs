//! The list of endpoints as discovery tells it, without I/O: read as a stream, and kept in a compact table from which
//! the decision module is told of the destinations that messages go to.

pub mod listing;
pub mod reader;
pub mod table;

use crate::coded_error;

/// Bounds on what is taken for a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Endpoints at most.
    pub endpoints: usize,
    /// Bytes of its JSON text at most.
    pub bytes: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { endpoints: 1 << 20, bytes: 512 << 20 }
    }
}

/// Why a list is not taken. The one in force stays.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// It has more endpoints than [`Bounds::endpoints`].
    #[error("the list has more than {0} endpoints")]
    Endpoints(usize),
    /// It has more bytes than [`Bounds::bytes`].
    #[error("the list has more than {0} bytes")]
    Bytes(u64),
    /// It is a list of changes with more entries than [`reader::CHANGES`].
    #[error("the list has more than {0} changes")]
    Changes(usize),
    /// It is not a list, or breaks off.
    #[error("the list can't be read: {0}")]
    Malformed(String),
    /// It did not come in the time that a list of its length may take.
    #[error("the list broke off after {0} bytes, or came too slowly")]
    Truncated(u64),
}

coded_error! { ListError {
    Endpoints => "list.endpoints", "split the deployment, or have discovery list fewer endpoints to this sender";
    Bytes => "list.bytes", "have discovery write the list without indentation, or list fewer endpoints";
    Changes => "list.changes", "nothing: the sender asks for the whole list";
    Malformed => "list.malformed", "look at what discovery answers to GET /v1/endpoints";
    Truncated => "list.cut", "look at discovery's load, and at the way to it";
} }
