//! One call to a sender's management address, with a bound on its time and on what is read.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::coded_error;

/// An answer is no longer.
const LIMIT: u64 = 4 << 20;

/// Why a sender's word is not there.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NoWord {
    /// Nothing came in time.
    #[error("no answer within {0} ms")]
    Late(u128),
    /// It can't be reached, or broke off.
    #[error("{0}")]
    Unreached(String),
    /// It is longer than anything that is expected.
    #[error("the answer is over {LIMIT} bytes")]
    Long,
    /// It is no JSON.
    #[error("the answer broke off")]
    Broken,
    /// It is JSON of another form.
    #[error("the answer can't be read: {0}")]
    Unread(String),
    /// The sender says no.
    #[error("{why}")]
    Refused {
        /// Its words, or its status.
        why: String,
        /// Its code and what it says can be done, if it does.
        told: Option<(String, String)>,
    },
    /// This program failed at it.
    #[error("the call failed")]
    Failed,
}

coded_error! { NoWord {
    Late => "ops.late", "give it more time with --within-ms; else see whether the machine is there";
    Unreached => "ops.unreached", "see that the address is the sender's mgmt, and that the process runs";
    Long => "ops.long", "see that the address is a sender's mgmt";
    Broken => "ops.broken", "ask again, and see that the address is a sender's mgmt";
    Unread => "ops.unread", "use the program of the sender's version";
    Refused => "ops.refused", "do what the sender's answer says";
    Failed => "ops.failed", "ask again, and tell the developers";
} }

/// Asks for a path; what is told, or why there is nothing in one line.
///
/// # Errors
/// Fails when nothing comes in time, what comes can't be read, or the answer is a no.
pub fn get(address: SocketAddr, path: &str, within: Duration) -> Result<Value, NoWord> {
    // No proxy of the environment and no other place: what is told must be this sender's.
    let agent = ureq::Agent::config_builder()
        .timeout_global(Some(within))
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .build()
        .new_agent();
    let failed = |e: ureq::Error| match e {
        ureq::Error::Timeout(_) => NoWord::Late(within.as_millis()),
        ureq::Error::BodyExceedsLimit(_) => NoWord::Long,
        ureq::Error::Io(e) => NoWord::Unreached(e.to_string()),
        e => NoWord::Unreached(e.to_string()),
    };
    let mut answer = agent.get(format!("http://{address}{path}")).call().map_err(failed)?;
    let body = answer.body_mut().with_config().limit(LIMIT).read_to_vec().map_err(failed)?;
    let body: Result<Value, _> = serde_json::from_slice(&body);
    match (answer.status().as_u16(), body) {
        (200, Ok(body)) => Ok(body),
        (200, Err(_)) => Err(NoWord::Broken),
        (status, body) => {
            let body = body.unwrap_or_default();
            let text = |key: &str| body[key].as_str().map(str::to_owned);
            let why = text("error").unwrap_or_else(|| format!("status {status}"));
            Err(NoWord::Refused { why, told: text("code").zip(text("remedy")) })
        }
    }
}

#[cfg(test)]
mod tests;
