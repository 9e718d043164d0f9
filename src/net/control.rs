//! What operators ask of the running sender beyond its readiness and its figures: the asks as the driver gets
//! them, and the answers, JSON throughout.

use hyper::StatusCode;
use myrtleyard::interface::Micros;
use myrtleyard::told::Told;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::refusals::NoCall;

/// Something for the driver to do or tell.
#[derive(Debug)]
pub enum Ask {
    /// How far this process is on its way out, and which endpoints are drained.
    Drain,
    /// The list with the marks laid over it.
    Endpoints,
    /// Who of the fleet is there, as this sender sees it.
    Members,
    /// How the status index stands.
    Status,
    /// Plans by tenant, and what became of reads.
    Plans,
    /// What is covered, held for others, and taken over.
    Takeover,
    /// What estimates are made from.
    Estimates,
    /// What a query or a run will cost, as it came.
    Estimate(Vec<u8>),
    /// How far this process has started.
    Start,
    /// Send clients elsewhere, and have all ended within this time if there is one.
    OutOfService(Option<Micros>),
    /// Take endpoints out of use.
    DrainEndpoints(Endpoints),
    /// Put them back.
    RestoreEndpoints(Endpoints),
}

/// A read of the status index.
#[derive(Debug)]
pub struct StatusCall {
    /// What is asked for.
    pub query: myrtleyard::status::Query,
    /// The header `Session-Token`, as it came; of use where there are plans.
    pub token: Option<String>,
    /// Routes and reasons are wanted in the answer.
    pub route: bool,
    /// What it was predicted to cost, and what was decided, is wanted in the answer.
    pub estimate: bool,
}

/// Endpoints that are named in a call.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoints {
    /// Their names in discovery.
    pub names: std::collections::BTreeSet<String>,
    /// Even if a destination is left without any.
    #[serde(default)]
    pub force: bool,
}

/// What the operator hears.
#[derive(Debug)]
pub struct Reply {
    /// Yes, or what is wrong.
    pub status: StatusCode,
    /// JSON.
    pub body: Vec<u8>,
    /// For the header `Session-Token`.
    pub token: Option<String>,
}

impl Reply {
    /// An answer with a content.
    pub fn new(status: StatusCode, content: &impl Serialize) -> Self {
        let mut body = serde_json::to_vec(content).unwrap_or_default();
        body.push(b'\n');
        Self { status, body, token: None }
    }

    /// A yes with a content.
    pub fn yes(content: &impl Serialize) -> Self {
        Self::new(StatusCode::OK, content)
    }

    /// A no that has a stable name, says what happened, and what can be done.
    pub fn typed(status: StatusCode, code: &str, why: impl ToString, remedy: &str) -> Self {
        let why = why.to_string().replace(['\n', '\r'], " ");
        Self::new(status, &json!({"code": code, "error": why, "remedy": remedy}))
    }

    /// A no, as its error tells it.
    pub fn told(status: StatusCode, why: &impl Told) -> Self {
        Self::typed(status, why.code(), why, why.remedy())
    }

    /// A call that is not answered with what was asked for.
    pub fn no(why: &NoCall) -> Self {
        Self::told(why.status(), why)
    }
}
