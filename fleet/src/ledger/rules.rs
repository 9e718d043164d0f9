//! The rules by name, and how a broken one is told.

use std::fmt;

use serde::Serialize;

use crate::Micros;

/// The rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A message that was taken on has its end in time.
    Lost,
    /// It has one end: not refused and failed, not refused with an effect, not called after it.
    OneEnd,
    /// A disbursement never takes effect twice, nor is it called again once it may have run.
    Duplicate,
    /// A keyed message is called again within its window only.
    Window,
    /// Nothing goes to a destination that told to wait.
    Wait,
    /// Nothing new goes to an endpoint that drains or is gone.
    Drain,
    /// A message goes to its own destination, as it was handed in.
    Misdirected,
    /// Attempts for a message are limited.
    Attempts,
    /// A request that was read gets an answer.
    Unanswered,
    /// Datagrams are limited.
    Oversize,
    /// No process ends unless it was asked to.
    Process,
    /// A cold destination is not pushed over by those who had seen it fail.
    Fallback,
    /// Where senders keep a view: nobody that is there is held for dead, and in the end all views are the same.
    View,
    /// A read with a session's token shows what the session has written.
    Session,
    /// A read with a session's token never shows less of a message than an earlier one did.
    Monotonic,
    /// A read that may be so old is not older, or says so.
    Staleness,
    /// An answer that lacks something says what.
    Partial,
    /// A token is given to those whose plan has sessions, and to nobody else.
    Entitlement,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = serde_json::to_value(self).map_err(|_| fmt::Error)?;
        f.write_str(name.as_str().unwrap_or_default())
    }
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When.
    pub t: Micros,
    /// The message, if it is about one.
    pub id: Option<String>,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let id = self.id.as_deref().unwrap_or("-");
        write!(f, "{} at {:.3} s, message {id}: {}", self.rule, self.t as f64 / 1e6, self.what)
    }
}
