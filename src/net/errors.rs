//! Errors: why the process does not start, and why a management call fails.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use hyper::StatusCode;
use myrtleyard::coded_error;

use super::config::ConfigError;
use super::log::LogError;

/// Why the sender does not start. The process prints the error in one line and ends; it has accepted no
/// message.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("{0}")]
    Log(#[from] LogError),
    #[error("NODE_LISTEN_FD={number}: {why}")]
    Inherited { number: i32, why: io::Error },
    #[error("cannot create the async runtime: {0}")]
    Runtime(io::Error),
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
    #[error("cannot listen on mgmt {address}: {why}")]
    Mgmt { address: SocketAddr, why: io::Error },
    #[error("cannot use the state folder {}: {why}", folder.display())]
    Folder { folder: PathBuf, why: io::Error },
    #[error("cannot open the journal in {}: {why}", folder.display())]
    Journal { folder: PathBuf, why: io::Error },
    #[error("cannot listen on peer_listen: {0}")]
    Peers(io::Error),
    #[error("cannot listen on {address}: {why}")]
    Listen { address: SocketAddr, why: io::Error },
}

coded_error! { StartError {
    Inherited => "start.inherited", "pass a listening socket at the descriptor, or unset NODE_LISTEN_FD";
    Runtime => "start.runtime", "raise the process's limits of descriptors and memory";
    Signals => "start.signals", "raise the process's limit of descriptors";
    Mgmt => "start.mgmt", "find out what uses the address mgmt, or set another one of this machine";
    Folder => "start.folder", "check that the folder NODE_STATE exists, is writable and is no other sender's";
    Journal => "start.journal", "check that the disk has space and the folder is writable; keep its files";
    Peers => "start.peers", "find out what uses the address peer_listen, or set another one of this machine";
    Listen => "start.listen", "find out what uses the address listen, or set another one of this machine";
    ..Config;
    ..Log;
} }

/// Why a management call fails.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    #[error("starting")]
    Starting,
    #[error("stopping")]
    Stopping,
    #[error("{0}")]
    Leaving(&'static str),
    #[error("handed over")]
    HandedOver,
    #[error("invalid query string: expected ?within_ms=N with N from 1 to 4294967295")]
    Within,
    #[error("invalid request body: {0}")]
    Body(#[from] serde_json::Error),
    #[error("timed out while reading the request body")]
    BodyLate,
    #[error("the request body is longer than {0} bytes")]
    BodyLong(usize),
    #[error("the request body is truncated")]
    BodyCut,
    #[error("the check did not finish: {0}")]
    Check(tokio::task::JoinError),
    #[error("the configuration has {0} faults")]
    Faults(usize),
    #[error("the path has no message id, or the query string is not of tenant=NAME, route=1 and estimate=1")]
    Message,
    #[error("invalid query: {0}")]
    Query(serde_json::Error),
    #[error("draining is disabled: the configuration has no section \"draining\"")]
    DrainingOff,
    #[error("the membership view is disabled: the configuration has no section \"membership\"")]
    MembershipOff,
    #[error("takeover is disabled: the configuration has no section \"takeover\"")]
    TakeoverOff,
    #[error("start coordination is disabled: the configuration has no section \"start\"")]
    StartOff,
    #[error("the drain marks cannot be written; nothing has changed: {0}")]
    Marks(io::Error),
}

coded_error! { CallError {
    Starting => "call.starting", "retry in a second; if it persists after 6 s, read the log";
    Stopping => "call.stopping", "call the process that follows this one";
    Leaving => "call.leaving", "do nothing: a process that is ending does not return; start a new one";
    HandedOver => "call.handed-over", "call the newer process of this sender at its own address mgmt";
    Within => "call.within", "give a whole number of milliseconds over 0, or omit the query string";
    Body => "call.body", "send JSON as described in docs/operations.md; the error says where it is invalid";
    BodyLate => "call.body-late", "send the body right after the head, from a nearer machine if necessary";
    BodyLong => "call.body-long", "send less in one call";
    BodyCut => "call.body-cut", "call again, and find out what closes the connection";
    Check => "call.check", "retry; if it persists, use --check on the file and report it to the developers";
    Faults => "call.faults", "correct each entry of faults, then check again";
    Message => "status-message", "call /control/status/message/ID?tenant=NAME, both percent-encoded";
    Query => "status-query", "send a query as described in docs/status.md";
    DrainingOff => "draining.off", "add the section \"draining\" and start a new process";
    MembershipOff => "membership.off", "add the section \"membership\" and start a new process";
    TakeoverOff => "takeover.off", "add the section \"takeover\" and start a new process";
    StartOff => "start.off", "add the section \"start\" and start a new process";
    Marks => "draining.unwritten", "check that the disk has space and the folder is writable, and retry";
} }

impl CallError {
    /// The HTTP status of the reply.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Starting | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::Leaving(_) | Self::HandedOver => StatusCode::CONFLICT,
            Self::Within
            | Self::Body(_)
            | Self::BodyCut
            | Self::Faults(_)
            | Self::Message
            | Self::Query(_) => StatusCode::BAD_REQUEST,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Self::BodyLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Check(_) => StatusCode::INTERNAL_SERVER_ERROR,
            Self::DrainingOff | Self::MembershipOff | Self::TakeoverOff | Self::StartOff => {
                StatusCode::NOT_FOUND
            }
            Self::Marks(_) => StatusCode::INSUFFICIENT_STORAGE,
        }
    }
}

#[cfg(test)]
mod tests;
