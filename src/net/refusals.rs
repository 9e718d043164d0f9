//! Why this process does not start, and why a call of operators is not answered with what was asked for.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use hyper::StatusCode;
use myrtleyard::told;

use super::config::Wrong;
use super::log::NoLog;

/// Why the sender does not start. It ends with this line, and has taken nothing on.
#[derive(Debug, thiserror::Error)]
pub enum NoStart {
    #[error("{0}")]
    Config(#[from] Wrong),
    #[error("{0}")]
    Log(#[from] NoLog),
    #[error("NODE_LISTEN_FD={number}: {why}")]
    Inherited { number: i32, why: io::Error },
    #[error("runtime: {0}")]
    Runtime(io::Error),
    #[error("signals: {0}")]
    Signals(io::Error),
    #[error("mgmt {address}: {why}")]
    Mgmt { address: SocketAddr, why: io::Error },
    #[error("{}: {why}", folder.display())]
    Folder { folder: PathBuf, why: io::Error },
    #[error("journal in {}: {why}", folder.display())]
    Journal { folder: PathBuf, why: io::Error },
    #[error("peer_listen: {0}")]
    Peers(io::Error),
    #[error("listen on {address}: {why}")]
    Listen { address: SocketAddr, why: io::Error },
}

told! { NoStart {
    Inherited => "start.inherited", "hand down a listening socket at the descriptor, or unset NODE_LISTEN_FD";
    Runtime => "start.runtime", "give the process more descriptors and memory";
    Signals => "start.signals", "give the process more descriptors";
    Mgmt => "start.mgmt", "see what has the address mgmt, or name another one of this machine";
    Folder => "start.folder", "see that the folder NODE_STATE is there, can be written, and is no other sender's";
    Journal => "start.journal", "see that the disk has room and the folder can be written; keep what is in it";
    Peers => "start.peers", "see what has the address peer_listen, or name another one of this machine";
    Listen => "start.listen", "see what has the address listen, or name another one of this machine";
    ..Config;
    ..Log;
} }

/// Why a call is not answered with what was asked for.
#[derive(Debug, thiserror::Error)]
pub enum NoCall {
    #[error("starting")]
    Starting,
    #[error("stopping")]
    Stopping,
    #[error("{0}")]
    Leaving(&'static str),
    #[error("handed over")]
    HandedOver,
    #[error("?within_ms=N with N from 1 to 4294967295 is expected")]
    Within,
    #[error("the body can't be read: {0}")]
    Body(#[from] serde_json::Error),
    #[error("the body did not come whole in time")]
    BodyLate,
    #[error("the body is over {0} bytes")]
    BodyLong(usize),
    #[error("the body broke off")]
    BodyCut,
    #[error("{0}")]
    Check(tokio::task::JoinError),
    #[error("the configuration has {0} faults")]
    Faults(usize),
    #[error("the path names no message, or the query is another than tenant=NAME, route=1 and estimate=1")]
    Message,
    #[error("the query can't be read: {0}")]
    Query(serde_json::Error),
    #[error("endpoints can't be drained here: the configuration has no section \"draining\"")]
    DrainingOff,
    #[error("there is no view of the fleet: the configuration has no section \"membership\"")]
    MembershipOff,
    #[error("nothing is covered: the configuration has no section \"takeover\"")]
    TakeoverOff,
    #[error("starts are not told of: the configuration has no section \"start\"")]
    StartOff,
    #[error("the marks can't be written down, nothing is changed: {0}")]
    Marks(io::Error),
}

told! { NoCall {
    Starting => "call.starting", "ask again in a second; after 6 s read the log";
    Stopping => "call.stopping", "ask the process that comes after it";
    Leaving => "call.leaving", "leave it: a process on its way out does not come back; start a new one";
    HandedOver => "call.handed-over", "ask the newer process of this sender, at its own address mgmt";
    Within => "call.within", "give whole milliseconds over 0, or leave the query out";
    Body => "call.body", "send JSON as docs/operations.md has it; the text says where it is wrong";
    BodyLate => "call.body-late", "send the body at once behind the head, from nearer by if need be";
    BodyLong => "call.body-long", "send less in one call";
    BodyCut => "call.body-cut", "call again, and see what closes the connection";
    Check => "call.check", "call again; if it stays so, check the file with --check and tell the developers";
    Faults => "call.faults", "mend each of faults, then check again";
    Message => "status-message", "ask for /control/status/message/ID?tenant=NAME, both percent-encoded";
    Query => "status-query", "send a query as docs/status.md has it";
    DrainingOff => "draining.off", "add the section \"draining\", and start a new process";
    MembershipOff => "membership.off", "add the section \"membership\", and start a new process";
    TakeoverOff => "takeover.off", "add the section \"takeover\", and start a new process";
    StartOff => "start.off", "add the section \"start\", and start a new process";
    Marks => "draining.unwritten", "see that the disk has room and the folder can be written, and call again";
} }

impl NoCall {
    /// How it is answered.
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
