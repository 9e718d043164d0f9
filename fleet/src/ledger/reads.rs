//! Checks the answers to sessions' reads against what the sessions had written and read before. An answer
//! that states that it falls short of the plan is accepted as such.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::rules::{Breach, Rule};
use super::{Entry, History, Log, Row, What};
use crate::Micros;

/// Added to every time limit of the protocol when it is measured on sockets.
const SOCKET_SLACK: Micros = 50_000;

/// The consistency level of a plan's reads, as set in the scenario.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Any replica's data, with its age.
    #[default]
    Any,
    /// Bounded staleness.
    Bounded,
    /// Read-your-writes and monotonic reads.
    Session,
}

/// A plan, as the checker needs it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanRules {
    /// Its consistency level.
    pub level: Level,
    /// Maximum staleness, for [`Level::Bounded`].
    pub staleness: Micros,
    /// Whether tokens are checked, which requires that the senders have plans.
    pub tokens: bool,
}

/// Statistics of the reads of one plan.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Reads {
    /// All reads.
    pub all: u64,
    /// Answered at the plan's level.
    pub served: u64,
    /// Answered below the plan's level, and marked so.
    pub less: u64,
    /// Answered with parts missing, and marked so.
    pub partial: u64,
    /// Refused.
    pub refused: u64,
    /// Without an answer.
    pub silent: u64,
    /// Time to the answer, ms: median, 99th percentile, maximum.
    pub latency_ms: [f64; 3],
}

/// A message that a session has written.
struct Written {
    /// When its 202 was received.
    heard: Micros,
    /// The sender that accepted it.
    owner: usize,
}

#[derive(Default)]
struct Session<'a> {
    written: BTreeMap<&'a str, Written>,
    /// By message: the row of the latest earlier read, and when that answer had arrived.
    seen: HashMap<&'a str, (Micros, &'a Row)>,
}

/// One answered read.
struct Read<'a> {
    t: Micros,
    sent: Micros,
    asked: &'a [String],
    rows: &'a [Row],
    partial: bool,
    less: bool,
    /// The session's tokens cover what it has written and read from this time on.
    since: Micros,
    missing: &'a [usize],
    logs: &'a [Log],
}

impl Read<'_> {
    fn row(&self, id: &str) -> Option<&Row> {
        self.rows.iter().find(|row| row.id == id)
    }

    /// Whether the answer states that it may lack a message that this sender accepted at time `heard`.
    fn declares_missing(&self, owner: usize, heard: Micros) -> bool {
        let logs = || self.logs.iter().filter(|log| log.owner == owner);
        self.missing.contains(&owner) || logs().any(|log| log.known_since > heard)
    }

    /// Whether the answer states that all its copies of this sender's log end before time `heard`.
    fn behind(&self, owner: usize, heard: Micros) -> bool {
        let mut logs = self.logs.iter().filter(|log| log.owner == owner).peekable();
        logs.peek().is_some() && logs.all(|log| log.as_of < heard)
    }
}

/// Checks all reads of a history.
pub fn check(history: &History) -> Vec<Breach> {
    let mut broken = Vec::new();
    let mut owners: HashMap<&str, usize> = HashMap::new();
    let mut sessions: HashMap<usize, Session<'_>> = HashMap::new();
    for Entry { t, what } in &history.entries {
        match what {
            What::Offered { id, sender, .. } => drop(owners.insert(id, *sender)),
            What::Wrote { session, plan, id, token } => {
                let owner = owners.get(id.as_str()).copied().unwrap_or(usize::MAX);
                let written = Written { heard: *t, owner };
                sessions.entry(*session).or_default().written.insert(id, written);
                check_token(history, *plan, *token, *t, Some(id), "its 202", &mut broken);
            }
            What::Read {
                session,
                plan,
                sent,
                status,
                since,
                given,
                asked,
                rows,
                partial,
                less,
                missing,
                logs,
                ..
            } => {
                if *status != 200 {
                    continue;
                }
                let (t, sent, partial, less) = (*t, *sent, *partial, *less);
                let since = since.unwrap_or(Micros::MAX);
                let read = Read { t, sent, asked, rows, partial, less, since, missing, logs };
                let session = sessions.entry(*session).or_default();
                check_read(history.head.plans.get(*plan), session, &read, &mut broken);
                check_token(history, *plan, *given, t, None, "a read", &mut broken);
                for row in rows {
                    session.seen.insert(&row.id, (t, row));
                }
            }
            _ => {}
        }
    }
    broken
}

/// Checks that a token is given exactly where the plan has sessions.
fn check_token(
    history: &History,
    plan: usize,
    token: bool,
    t: Micros,
    id: Option<&String>,
    at: &str,
    broken: &mut Vec<Breach>,
) {
    let Some(plan) = history.head.plans.get(plan).filter(|plan| plan.tokens) else { return };
    let entitled = plan.level == Level::Session;
    if token != entitled {
        let how = if token {
            "has a token, to which the plan does not entitle"
        } else {
            "has no token, to which the plan entitles"
        };
        broken.push(Breach { rule: Rule::Entitlement, t, id: id.cloned(), what: format!("{at} {how}") });
    }
}

/// Checks one answer against what its session has written and read.
fn check_read(plan: Option<&PlanRules>, session: &Session<'_>, read: &Read<'_>, all: &mut Vec<Breach>) {
    let Some(plan) = plan else { return };
    let mut broken = |rule, id: &str, what: String| {
        all.push(Breach { rule, t: read.t, id: Some(id.to_owned()), what });
    };
    for (id, written) in &session.written {
        let asked = read.asked.iter().any(|asked| asked == id);
        if !asked || written.heard >= read.sent || read.row(id).is_some() {
            continue;
        }
        let ms = (read.sent - written.heard) / 1000;
        let (owner, declared) = (written.owner, read.declares_missing(written.owner, written.heard));
        if declared || read.less {
            continue;
        }
        match plan.level {
            Level::Session if written.heard >= read.since => {
                broken(Rule::Session, id, format!("written {ms} ms before, and not in the answer"));
            }
            Level::Bounded if written.heard + plan.staleness + SOCKET_SLACK < read.sent => {
                broken(Rule::Staleness, id, format!("written {ms} ms before, and not in the answer"));
            }
            _ if !read.behind(owner, written.heard) => {
                let what = format!(
                    "written {ms} ms before at sender {owner}, neither in the answer nor declared missing"
                );
                broken(Rule::Partial, id, what);
            }
            _ => {}
        }
    }
    if plan.level == Level::Bounded && !read.less {
        // The log of a lost state folder no longer advances: the owner's newest log gives the age of its
        // part.
        let mut newest: BTreeMap<usize, Micros> = BTreeMap::new();
        for log in read.logs {
            let as_of = newest.entry(log.owner).or_default();
            *as_of = log.as_of.max(*as_of);
        }
        for (owner, as_of) in
            newest.into_iter().filter(|log| log.1 + plan.staleness + SOCKET_SLACK < read.sent)
        {
            let age = (read.sent - as_of) / 1000;
            let what = format!("sender {owner}'s part is {age} ms old, and the answer is not marked as less");
            broken(Rule::Staleness, read.asked.first().map_or("-", String::as_str), what);
        }
    }
    if !read.missing.is_empty() && !read.partial {
        let what =
            format!("parts of {:?} are missing, and the answer is not marked as partial", read.missing);
        broken(Rule::Partial, read.asked.first().map_or("-", String::as_str), what);
    }
    if plan.level != Level::Session || read.less {
        return;
    }
    for id in read.asked {
        let Some((came, before)) =
            session.seen.get(id.as_str()).filter(|seen| seen.0 < read.sent && seen.0 >= read.since)
        else {
            continue;
        };
        let ms = (read.sent - came) / 1000;
        match read.row(id) {
            Some(now) if now.states & before.states != before.states || now.attempts < before.attempts => {
                let what = format!(
                    "shows states {} and {} attempts, {ms} ms after {} and {} were shown",
                    now.states, now.attempts, before.states, before.attempts
                );
                broken(Rule::Monotonic, id, what);
            }
            // The absence of an own message is reported above already; another's message that was seen must
            // be seen again.
            None if !session.written.contains_key(id.as_str()) && read.missing.is_empty() => {
                broken(Rule::Monotonic, id, format!("not in the answer, {ms} ms after it was shown"));
            }
            _ => {}
        }
    }
}

/// Statistics of all reads, by plan.
pub fn figures(history: &History) -> Vec<Reads> {
    let mut all: Vec<(Reads, Option<Histogram<u64>>)> = history
        .head
        .plans
        .iter()
        .map(|_| (Reads::default(), Histogram::new_with_max(60_000_000, 3).ok()))
        .collect();
    for Entry { t, what } in &history.entries {
        let What::Read { plan, sent, status, partial, less, .. } = what else { continue };
        let Some((reads, latency)) = all.get_mut(*plan) else { continue };
        reads.all += 1;
        *match (*status, *less, *partial) {
            (200, true, _) => &mut reads.less,
            (200, false, true) => &mut reads.partial,
            (200, false, false) => &mut reads.served,
            (0, ..) => &mut reads.silent,
            _ => &mut reads.refused,
        } += 1;
        if let (200, Some(latency)) = (*status, latency.as_mut()) {
            latency.saturating_record(t - sent);
        }
    }
    let reads = all.into_iter().map(|(reads, latency)| {
        let at = |share| latency.as_ref().map_or(0.0, |l| l.value_at_quantile(share) as f64 / 1000.0);
        Reads { latency_ms: [at(0.5), at(0.99), at(1.0)], ..reads }
    });
    reads.collect()
}
