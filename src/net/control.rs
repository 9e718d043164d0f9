//! Requests of operators to the running sender, other than readiness and counters, as the driver receives
//! them, and their replies, which are all JSON.

use hyper::StatusCode;
use myrtleyard::error_code::CodedError;
use myrtleyard::interface::Micros;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::errors::CallError;

/// A request to the driver.
#[derive(Debug)]
pub enum ControlRequest {
    /// Progress of this process's drain, and the drained endpoints.
    Drain,
    /// The endpoint list combined with the drain marks.
    Endpoints,
    /// The membership view of this sender.
    Members,
    /// State of the status index.
    Status,
    /// Plans by tenant, and counts of reads.
    Plans,
    /// Messages that are replicated, held as backup for others, and adopted.
    Takeover,
    /// The data that estimates are made from.
    Estimates,
    /// Cost estimate of a query or a run; the request's body, not decoded.
    Estimate(Vec<u8>),
    /// Progress of this process's startup.
    Start,
    /// Take the process out of service, and end all messages within the given time, if any.
    OutOfService(Option<Micros>),
    /// Drain endpoints.
    DrainEndpoints(Endpoints),
    /// Restore drained endpoints.
    RestoreEndpoints(Endpoints),
}

/// A read of the status index.
#[derive(Debug)]
pub struct StatusCall {
    /// The query.
    pub query: myrtleyard::status::Query,
    /// The header `Session-Token`, not decoded; used only with plans.
    pub token: Option<String>,
    /// Whether the answer is to contain routes and their reasons.
    pub route: bool,
    /// Whether the answer is to contain the predicted cost and the decision.
    pub estimate: bool,
}

/// The endpoints named in a request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoints {
    /// Their names in discovery.
    pub names: std::collections::BTreeSet<String>,
    /// Drain them even if a destination is left without an endpoint.
    #[serde(default)]
    pub force: bool,
}

/// The reply to an operator.
#[derive(Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The body, JSON.
    pub body: Vec<u8>,
    /// Value of the header `Session-Token`.
    pub token: Option<String>,
}

impl Reply {
    /// A reply with this status and content.
    pub fn new(status: StatusCode, content: &impl Serialize) -> Self {
        let mut body = serde_json::to_vec(content).unwrap_or_default();
        body.push(b'\n');
        Self { status, body, token: None }
    }

    /// A successful reply (200) with this content.
    pub fn ok(content: &impl Serialize) -> Self {
        Self::new(StatusCode::OK, content)
    }

    /// An error reply with a stable code, the error's text, and a remedy.
    pub fn error_with_code(status: StatusCode, code: &str, why: impl ToString, remedy: &str) -> Self {
        let why = why.to_string().replace(['\n', '\r'], " ");
        Self::new(status, &json!({"code": code, "error": why, "remedy": remedy}))
    }

    /// The error reply for an error that has a code and a remedy.
    pub fn error(status: StatusCode, why: &impl CodedError) -> Self {
        Self::error_with_code(status, why.code(), why, why.remedy())
    }

    /// The error reply for a failed management call.
    pub fn call_error(why: &CallError) -> Self {
        Self::error(why.status(), why)
    }
}
