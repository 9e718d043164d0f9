//! The names of the rules, and the report of a violation.

use std::fmt;

use serde::Serialize;

use crate::Micros;

/// A rule that every history must satisfy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// An accepted message ends in time.
    Lost,
    /// A message has one end: it is not both deferred and failed, not deferred after an effect, and not
    /// called after its end.
    OneEnd,
    /// A message of an at-most-once class never takes effect twice, and is not called again once it may have
    /// run.
    Duplicate,
    /// A keyed message is called again only within its deduplication window.
    Window,
    /// No call goes to a destination before its Retry-After has elapsed.
    Wait,
    /// No new call goes to an endpoint that drains or is gone.
    Drain,
    /// A message goes to its own destination, and only if a client handed it in.
    Misdirected,
    /// The attempts for a message stay within their limit.
    Attempts,
    /// Every request of a client gets an answer.
    Unanswered,
    /// Datagrams stay within their size limit.
    Oversize,
    /// No process ends unless asked to, and none asked to terminate ends with an error.
    Process,
    /// A cold destination is not overloaded by senders that had seen it fail.
    Fallback,
    /// Membership views: no running member is reported dead, and at the end all views are equal.
    View,
    /// A read with a session's token shows what the session has written (read your writes).
    Session,
    /// A read with a session's token never shows less of a message than an earlier one (monotonic reads).
    Monotonic,
    /// A read is within its staleness bound, or says that it is not.
    Staleness,
    /// An incomplete answer states what is missing.
    Partial,
    /// Tokens are issued to exactly those whose plan has sessions.
    Entitlement,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = serde_json::to_value(self).map_err(|_| fmt::Error)?;
        f.write_str(name.as_str().unwrap_or_default())
    }
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// Time of the violation.
    pub t: Micros,
    /// The message concerned, if there is one.
    pub id: Option<String>,
    /// Description of the violation.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let id = self.id.as_deref().unwrap_or("-");
        write!(f, "{} at {:.3} s, message {id}: {}", self.rule, self.t as f64 / 1e6, self.what)
    }
}
