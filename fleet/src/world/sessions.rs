//! Clients with sessions: each hands in messages at one sender and queries their status at others, at the
//! management addresses that operators and tenants' programs use. The answers go into the history, and are
//! checked from there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::clients::{Arrival, Clients, answer};
use super::senders::Tier;
use crate::ledger::{Log, Recorder, Row, What};
use crate::scenario::{Scenario, Sessions};
use crate::{Micros, micros};

/// The header that carries a token, in a 202 and in the answer to a read.
const TOKEN: &str = "session-token";
/// Time limit for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// HTTP status: the session's token refers to data that is lost.
const GONE: u16 = 410;
/// Number of the session's newest messages that a read queries; it adds one random older message.
const EARLIER: usize = 3;

/// One session.
struct Session {
    number: usize,
    plan: usize,
    rules: Sessions,
    /// Tokens of the last read and of each message accepted since: later reads must not show less.
    tokens: Vec<String>,
    /// The tokens cover what the session has written and read from this time on.
    since: Micros,
    /// When the newest of its messages was handed in.
    last: Micros,
    /// The senders accept several tokens in one read.
    joins: bool,
    /// Accepted messages, the newest last.
    written: Vec<String>,
    rng: ChaCha8Rng,
}

/// Shared context of a run's sessions.
pub struct Readers {
    /// The clients through which they write.
    pub clients: Arc<Clients>,
    /// The senders that they query.
    pub tier: Arc<Tier>,
    /// Records what the sessions see.
    pub recorder: Recorder,
    /// Senders.
    pub senders: usize,
    /// Start and duration of the clients' load.
    pub times: (Micros, Micros),
    /// Number of destinations that they write to.
    pub partners: u16,
}

/// Runs all sessions of a scenario until the clients' load ends.
pub fn play(readers: &Arc<Readers>, scenario: &Scenario, seed: u64) -> JoinSet<()> {
    let mut playing = JoinSet::new();
    let mut number = 0;
    for (plan, rules) in scenario.sessions.iter().enumerate() {
        for _ in 0..rules.count {
            // A random stream apart from that of the arrivals.
            let rng = ChaCha8Rng::seed_from_u64(seed ^ 0x7365_7373_0000_0000 ^ number as u64);
            let (rules, tokens, written) = (rules.clone(), vec![], vec![]);
            let session =
                Session { number, plan, rules, tokens, since: 0, last: 0, joins: true, written, rng };
            let readers = readers.clone();
            playing.spawn(async move { readers.session(session).await });
            number += 1;
        }
    }
    playing
}

impl Readers {
    async fn session(&self, mut session: Session) {
        let (begin, length) = self.times;
        let Ok(gap) = Exp::new(session.rules.per_s / session.rules.count.max(1) as f64) else { return };
        let mut at = begin;
        for n in 0usize.. {
            at += micros(gap.sample(&mut session.rng).min(3600.0));
            // A delayed session does not run past the end of the load.
            if at.max(self.recorder.now()) >= begin + length {
                return;
            }
            self.recorder.until(at).await;
            let home = session.rng.random_range(0..self.senders);
            self.write(&mut session, n, home).await;
            for _ in 0..session.rules.reads {
                tokio::time::sleep(Duration::from_millis(session.rules.every_ms)).await;
                // Any other sender; the same one if there is no other.
                let other = match self.senders {
                    1 => 0,
                    all => (home + session.rng.random_range(1..all)) % all,
                };
                self.read(&mut session, other).await;
            }
        }
    }

    async fn write(&self, session: &mut Session, n: usize, home: usize) {
        let dest = session.rng.random_range(0..self.partners);
        let arrival = Arrival { at: 0, home, class: 0, dest };
        let id = format!("s{}-{n}", session.number);
        let tenant = session.rules.tenant.clone();
        let sent = self.recorder.now();
        let Some(token) = self.clients.once(&id, &arrival, &tenant).await else { return };
        self.recorder.see(What::Wrote {
            session: session.number,
            plan: session.plan,
            id: id.clone(),
            token: token.is_some(),
        });
        session.written.push(id);
        session.last = sent;
        if let Some(token) = token {
            if !session.joins {
                (session.tokens, session.since) = (vec![], sent);
            }
            session.tokens.push(token);
        }
    }

    async fn read(&self, session: &mut Session, sender: usize) {
        let Some((address, _)) = self.tier.mgmt(sender) else { return };
        let newest = session.written.len().saturating_sub(EARLIER);
        let mut asked: Vec<String> = session.written[newest..].to_vec();
        let place = session.rng.random_range(0..session.written.len().max(1));
        asked.extend(session.written.get(place).filter(|_| place < newest).cloned());
        if asked.is_empty() {
            return;
        }
        let query = json!({"tenant": session.rules.tenant, "ids": asked}).to_string();
        let mut sent = self.recorder.now();
        let mut answer = query_status(address, &query, &session.tokens).await;
        if answer.0 == 400 && session.tokens.len() > 1 {
            // A sender that accepts only a single token: the guarantees of the other tokens can't be
            // requested.
            session.joins = false;
            session.tokens.drain(..session.tokens.len() - 1);
            (session.since, sent) = (session.last, self.recorder.now());
            answer = query_status(address, &query, &session.tokens).await;
        }
        let came = self.recorder.now();
        let (status, token, body) = answer;
        // The senders use this machine's clock: the difference between Unix time and the time of the run.
        let unix =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Micros);
        let ahead = unix.saturating_sub(came);
        let answer = read(&body, ahead);
        self.recorder.saw(
            came,
            What::Read {
                session: session.number,
                plan: session.plan,
                sender,
                sent,
                status,
                since: (!session.tokens.is_empty()).then_some(session.since),
                given: token.is_some(),
                asked,
                rows: answer.rows,
                partial: answer.partial,
                less: answer.less,
                missing: answer.missing,
                logs: answer.logs,
            },
        );
        // Lost data is given up by continuing with the token that excludes it.
        let without = body["read"]["token_without_lost"].as_str().filter(|_| status == GONE);
        if let Some(without) = without {
            (session.tokens, session.since) = (vec![without.to_owned()], came);
        } else if let Some(token) = token {
            session.tokens = vec![token];
        }
    }
}

/// An answer: status (0 without an answer), token and body.
type Heard = (u16, Option<String>, Value);

async fn query_status(address: SocketAddr, query: &str, tokens: &[String]) -> Heard {
    let heard = tokio::time::timeout(ANSWER_TIMEOUT, ask(address, query, tokens)).await;
    heard.ok().flatten().unwrap_or((0, None, Value::Null))
}

async fn ask(address: SocketAddr, query: &str, tokens: &[String]) -> Option<Heard> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let token = match tokens {
        [] => String::new(),
        tokens => format!("Session-Token: {}\r\n", tokens.join(", ")),
    };
    let request = format!(
        "POST /control/status/query HTTP/1.1\r\nHost: mgmt\r\nContent-Type: application/json\r\n{token}\
         Content-Length: {}\r\n\r\n{query}",
        query.len()
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let answer = answer(&mut stream).await?;
    let body = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    Some((answer.status, answer.headers.get(TOKEN).cloned(), body))
}

/// An answer's content in the form of the history.
#[derive(Debug, Default, PartialEq)]
struct StatusAnswer {
    rows: Vec<Row>,
    partial: bool,
    less: bool,
    missing: Vec<usize>,
    logs: Vec<Log>,
}

/// States by name and bit; an answer may use either form.
const STATES: [(&str, u8); 6] =
    [("taken", 1), ("calling", 2), ("deferred", 4), ("undeliverable", 8), ("unknown", 16), ("delivered", 32)];

fn states(value: &Value) -> u8 {
    let bit =
        |name: &Value| STATES.iter().find(|state| Some(state.0) == name.as_str()).map_or(0, |state| state.1);
    match value {
        Value::Number(bits) => bits.as_u64().unwrap_or(0) as u8,
        Value::Array(names) => names.iter().map(bit).fold(0, |all, one| all | one),
        name => bit(name),
    }
}

/// Parses an answer; `ahead` is the difference between the senders' clocks and the time of the run.
fn read(body: &Value, ahead: Micros) -> StatusAnswer {
    let of_run = |unix: &Value| unix.as_u64().unwrap_or(0).saturating_sub(ahead);
    let list = |key: &str| body[key].as_array().map(Vec::as_slice).unwrap_or_default();
    let rank = |value: &Value| value.as_u64().map(|rank| rank as usize);
    let rows = list("rows").iter().filter_map(|row| {
        let id = row["id"].as_str()?.to_owned();
        let attempts = row["attempts"].as_u64().unwrap_or(0) as u16;
        Some(Row { id, states: states(&row["states"]), attempts })
    });
    let logs = list("logs").iter().filter_map(|log| {
        let owner = rank(&log["log"]["owner"])?;
        let (as_of, known_since) = (of_run(&log["reached"]["as_of"]), of_run(&log["known_since"]));
        Some(Log { owner, as_of, known_since })
    });
    StatusAnswer {
        rows: rows.collect(),
        partial: body["partial"].as_bool().unwrap_or(false),
        less: body["read"]["outcome"] == "less",
        missing: list("missing").iter().filter_map(|missing| rank(&missing["owner"])).collect(),
        logs: logs.collect(),
    }
}

#[cfg(test)]
mod tests;
