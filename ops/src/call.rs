//! One HTTP call to a sender's management address, with a time limit and a size limit on the answer.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::coded_error;

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 4 << 20;

/// Why a sender gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No answer within the time limit, in milliseconds.
    #[error("no answer within {0} ms")]
    Timeout(u128),
    /// The connection failed, or closed before the whole answer had arrived.
    #[error("{0}")]
    Unreachable(String),
    /// The answer exceeds the size limit.
    #[error("the answer is over {MAX_ANSWER_BYTES} bytes")]
    TooLong,
    /// The answer is not valid JSON, for instance because it is truncated.
    #[error("the answer is truncated or not valid JSON")]
    InvalidJson,
    /// The answer is JSON of an unexpected form.
    #[error("the answer has an unexpected form: {0}")]
    UnexpectedForm(String),
    /// The sender answered with a status other than 200.
    #[error("{why}")]
    Refused {
        /// The answer's error text, or its HTTP status.
        why: String,
        /// The answer's error code and remedy, if it has both.
        coded: Option<(String, String)>,
    },
    /// Fault of this program: the thread that made the call panicked.
    #[error("the call failed")]
    Failed,
}

coded_error! { CallError {
    Timeout => "ops.late", "allow more time with --within-ms; otherwise check that the machine is up";
    Unreachable => "ops.unreached", "check the sender's mgmt address, and that its process runs";
    TooLong => "ops.long", "check that the address is a sender's mgmt address";
    InvalidJson => "ops.broken", "try again, and check that the address is a sender's mgmt address";
    UnexpectedForm => "ops.unread", "use the version of this program that belongs to the sender's version";
    Refused => "ops.refused", "follow the sender's answer";
    Failed => "ops.failed", "try again, and report it to the developers";
} }

/// Gets a path and parses the JSON answer.
///
/// # Errors
/// Fails when no answer arrives in time, when the answer can't be parsed, or when its status is not 200.
pub fn get(address: SocketAddr, path: &str, within: Duration) -> Result<Value, CallError> {
    // No proxy from the environment and no redirects: the answer must be this sender's own.
    let agent = ureq::Agent::config_builder()
        .timeout_global(Some(within))
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .build()
        .new_agent();
    let failed = |e: ureq::Error| match e {
        ureq::Error::Timeout(_) => CallError::Timeout(within.as_millis()),
        ureq::Error::BodyExceedsLimit(_) => CallError::TooLong,
        ureq::Error::Io(e) => CallError::Unreachable(e.to_string()),
        e => CallError::Unreachable(e.to_string()),
    };
    let mut answer = agent.get(format!("http://{address}{path}")).call().map_err(failed)?;
    let body = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec().map_err(failed)?;
    let body: Result<Value, _> = serde_json::from_slice(&body);
    match (answer.status().as_u16(), body) {
        (200, Ok(body)) => Ok(body),
        (200, Err(_)) => Err(CallError::InvalidJson),
        (status, body) => {
            let body = body.unwrap_or_default();
            let text = |key: &str| body[key].as_str().map(str::to_owned);
            let why = text("error").unwrap_or_else(|| format!("status {status}"));
            Err(CallError::Refused { why, coded: text("code").zip(text("remedy")) })
        }
    }
}

#[cfg(test)]
mod tests;
