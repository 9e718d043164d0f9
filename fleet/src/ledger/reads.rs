//! What sessions were told of their messages, held against what they had written and been told before. Where an answer
//! says that it has less, it is taken at its word.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::rules::{Breach, Rule};
use super::{Entry, History, Log, Row, What};
use crate::Micros;

/// Every time limit of the protocol is so much longer on sockets.
const LONGER: Micros = 50_000;

/// How fresh a plan's reads are, as the scenario has it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Whatever is nearest, with its age.
    #[default]
    Any,
    /// Not older than a time.
    Bounded,
    /// Read-your-writes and monotonic reads.
    Session,
}

/// A plan, as the checker needs it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanRules {
    /// Its level.
    pub level: Level,
    /// For [`Level::Bounded`].
    pub staleness: Micros,
    /// Whether tokens are judged: the senders keep plans.
    pub tokens: bool,
}

/// Figures of the reads of one plan.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Reads {
    /// Reads.
    pub all: u64,
    /// Answered as the plan has it.
    pub served: u64,
    /// Answered with less, and saying so.
    pub less: u64,
    /// Answered with parts missing, and saying so.
    pub partial: u64,
    /// Refused.
    pub refused: u64,
    /// Without an answer.
    pub silent: u64,
    /// Until the answer, ms: median, 99th percentile, most.
    pub latency_ms: [f64; 3],
}

/// A message that a session has written.
struct Written {
    /// Its 202 was heard.
    heard: Micros,
    /// At whom.
    owner: usize,
}

#[derive(Default)]
struct Session<'a> {
    written: BTreeMap<&'a str, Written>,
    /// By message, what earlier reads said, and when the answer had come.
    told: HashMap<&'a str, (Micros, &'a Row)>,
}

/// One read.
struct Read<'a> {
    t: Micros,
    sent: Micros,
    asked: &'a [String],
    rows: &'a [Row],
    partial: bool,
    less: bool,
    /// What the session wrote and was told from then on is covered by its tokens.
    since: Micros,
    missing: &'a [usize],
    logs: &'a [Log],
}

impl Read<'_> {
    fn row(&self, id: &str) -> Option<&Row> {
        self.rows.iter().find(|row| row.id == id)
    }

    /// It says that it may not know of a message that this sender took on then.
    fn admits(&self, owner: usize, heard: Micros) -> bool {
        let logs = || self.logs.iter().filter(|log| log.owner == owner);
        self.missing.contains(&owner) || logs().any(|log| log.known_since > heard)
    }

    /// It says that it has this sender's log only up to a time before that.
    fn behind(&self, owner: usize, heard: Micros) -> bool {
        let mut logs = self.logs.iter().filter(|log| log.owner == owner).peekable();
        logs.peek().is_some() && logs.all(|log| log.as_of < heard)
    }
}

/// Judges all reads of a history.
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
                entitled(history, *plan, *token, *t, Some(id), "its 202", &mut broken);
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
                judge(history.head.plans.get(*plan), session, &read, &mut broken);
                entitled(history, *plan, *given, t, None, "a read", &mut broken);
                for row in rows {
                    session.told.insert(&row.id, (t, row));
                }
            }
            _ => {}
        }
    }
    broken
}

/// A token is given where the plan has it, and nowhere else.
fn entitled(
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
        let how = if token { "gives a token that the plan does not have" } else { "gives no token" };
        broken.push(Breach { rule: Rule::Entitlement, t, id: id.cloned(), what: format!("{at} {how}") });
    }
}

fn judge(plan: Option<&PlanRules>, session: &Session<'_>, read: &Read<'_>, all: &mut Vec<Breach>) {
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
        let (owner, admits) = (written.owner, read.admits(written.owner, written.heard));
        if admits || read.less {
            continue;
        }
        match plan.level {
            Level::Session if written.heard >= read.since => {
                broken(Rule::Session, id, format!("written {ms} ms before, and not in the answer"));
            }
            Level::Bounded if written.heard + plan.staleness + LONGER < read.sent => {
                broken(Rule::Staleness, id, format!("written {ms} ms before, and not in the answer"));
            }
            _ if !read.behind(owner, written.heard) => {
                let what = format!("written {ms} ms before at sender {owner}, which is not told as missing");
                broken(Rule::Partial, id, what);
            }
            _ => {}
        }
    }
    if plan.level == Level::Bounded && !read.less {
        // A log of a folder that was lost gets no older: its owner's newest says how old its part is.
        let mut newest: BTreeMap<usize, Micros> = BTreeMap::new();
        for log in read.logs {
            let as_of = newest.entry(log.owner).or_default();
            *as_of = log.as_of.max(*as_of);
        }
        for (owner, as_of) in newest.into_iter().filter(|log| log.1 + plan.staleness + LONGER < read.sent) {
            let age = (read.sent - as_of) / 1000;
            let what = format!("sender {owner}'s part is {age} ms old, and it does not say that it is less");
            broken(Rule::Staleness, read.asked.first().map_or("-", String::as_str), what);
        }
    }
    if !read.missing.is_empty() && !read.partial {
        let what = format!("parts of {:?} are missing, and it does not say that it is partial", read.missing);
        broken(Rule::Partial, read.asked.first().map_or("-", String::as_str), what);
    }
    if plan.level != Level::Session || read.less {
        return;
    }
    for id in read.asked {
        let Some((came, before)) =
            session.told.get(id.as_str()).filter(|told| told.0 < read.sent && told.0 >= read.since)
        else {
            continue;
        };
        let ms = (read.sent - came) / 1000;
        match read.row(id) {
            Some(now) if now.states & before.states != before.states || now.attempts < before.attempts => {
                let what = format!(
                    "told as states {} and {} attempts, {ms} ms after {} and {}",
                    now.states, now.attempts, before.states, before.attempts
                );
                broken(Rule::Monotonic, id, what);
            }
            // One's own that is absent is told as that already; what is another's was seen, and is to be seen again.
            None if !session.written.contains_key(id.as_str()) && read.missing.is_empty() => {
                broken(Rule::Monotonic, id, format!("not in the answer, {ms} ms after it was told"));
            }
            _ => {}
        }
    }
}

/// Figures of all reads, by plan.
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
    let told = all.into_iter().map(|(reads, latency)| {
        let at = |share| latency.as_ref().map_or(0.0, |l| l.value_at_quantile(share) as f64 / 1000.0);
        Reads { latency_ms: [at(0.5), at(0.99), at(1.0)], ..reads }
    });
    told.collect()
}
