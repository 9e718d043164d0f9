//! The I/O around the decision module: sockets, clocks and the journal. What is sent where and when is
//! decided in `myrtleyard::policy`, not here.

pub mod body;
pub mod calls;
pub mod clock;
pub mod config;
pub mod control;
pub mod counters;
pub mod driver;
pub mod errors;
pub mod handover;
pub mod intake;
pub mod journal;
pub mod listing;
pub mod log;
pub mod memory;
pub mod mgmt;
pub mod names;
pub mod parts;
pub mod peers;
pub mod platform;
pub mod socket;
pub mod state_file;
pub mod working_set;

use myrtleyard::endpoints::reader::List;
use myrtleyard::interface::{EndpointId, Event, MessageId, Micros, Outcome};
use serde::{Deserialize, Serialize};
use tokio::net::UnixStream;
use tokio::sync::oneshot;

pub use clock::Clock;

/// Time from SIGTERM until the process may be killed.
pub const STOP_WITHIN: Micros = 3_700_000;
/// Maximum size of a message body, bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Whether this process accepts clients and, if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceState {
    /// Startup has not finished.
    Starting,
    /// Clients are accepted.
    InService,
    /// Operators have taken the process out of service until further notice.
    OutOfService,
    /// A new process of this sender accepts the clients.
    HandedOver,
    /// The process has been asked to end.
    Stopping,
}

impl ServiceState {
    /// The line that readiness and service calls answer with.
    pub fn status_line(self) -> &'static str {
        match self {
            Self::Starting => "starting\n",
            Self::InService => "ready\n",
            Self::OutOfService => "out of service\n",
            Self::HandedOver => "handed over\n",
            Self::Stopping => "stopping\n",
        }
    }
}

/// Events that the socket tasks send to the driver.
#[derive(Debug)]
pub enum Inbound {
    /// A client submitted a message.
    Submitted(intake::Submission),
    /// A client disconnected before it was answered: the message with this `Req-Id` is not accepted.
    Withdrawn(String),
    /// The attempts of one call ended.
    CallEnded(Vec<AttemptEnd>),
    /// An event that is passed to the decision module unchanged.
    Event(Event),
    /// A datagram of another sender, with that sender's rank.
    Datagram(u16, Vec<u8>),
    /// Discovery sent a list of endpoints, or changes to it.
    ListReceived(List),
    /// The platform has acknowledged the notices of these messages.
    NoticesAcknowledged(Vec<MessageId>),
    /// The process was asked to end.
    Terminate,
    /// A new process of this sender asks to take over.
    Successor(UnixStream),
    /// The new process sent a command; `None` when it has gone.
    SuccessorCommand(Option<handover::SuccessorCommand>),
    /// The configuration was read again, or the reason why it is rejected.
    Reloaded(Result<Box<config::Config>, config::ConfigError>),
    /// Operators put the process in service (`true`) or out of service. The resulting state is sent back.
    Service(bool, oneshot::Sender<ServiceState>),
    /// Any other request of operators.
    Control(control::ControlRequest, oneshot::Sender<control::Reply>),
    /// A query of the status index, with the time within which the answer is due.
    StatusQuery(Box<control::StatusCall>, Micros, oneshot::Sender<control::Reply>),
}

/// How one attempt ended.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The message.
    pub message: MessageId,
    /// Number of the attempt.
    pub attempt: u16,
    /// Endpoint that was called.
    pub endpoint: EndpointId,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// The endpoint answered that the message is already over (`gone`).
    pub gone: bool,
    /// Duration of the call.
    pub took: Micros,
    /// The load report; empty if there was none.
    pub report: Vec<f32>,
}

impl AttemptEnd {
    /// An attempt for which this process has seen no answer.
    pub fn unanswered(message: MessageId, attempt: u16, endpoint: EndpointId, outcome: Outcome) -> Self {
        Self { message, attempt, endpoint, outcome, gone: false, took: 0, report: vec![] }
    }
}
