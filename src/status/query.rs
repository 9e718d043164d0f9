//! Queries over the whole tier. The sender that receives a query reads the logs that it holds itself and
//! sends sub-queries for the rest: for each owner it asks the best server of the route and, after a delay,
//! the next one. Answers are joined by message, so it does not matter if two servers answer for the same log.
//! Reading proceeds in slices and ends at a deadline with what has been read by then.
//!
//! A partial result that was truncated at its limit states up to which place it is complete. The answer ends
//! at the smallest of those places and states where to continue.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::log::Log;
use super::shards::{Key, Table, key_of, scan_start, size_of};
use super::store::Store;
use super::{Entry, LogId, MAX_IDS, MAX_ROWS, Query, Rank, State, Watermark};
use crate::interface::Micros;

/// Maximum time of a query: management answers are due within 1 s.
pub const MAX_QUERY_TIME: Micros = 800_000;
/// If a server has not answered after this time, the next one of the route is asked as well.
pub const HEDGE: Micros = 200_000;
/// Part of the deadline reserved for the way back of the answer.
const RETURN_MARGIN: Micros = 40_000;
/// Maximum number of entries examined in one turn, for all queries together.
pub const MAX_ENTRIES_PER_TURN: usize = 2_048;
/// Maximum number of own queries at a time.
pub const MAX_RUNNING: usize = 32;
/// Maximum number of queries of other senders at a time.
pub const MAX_SERVING: usize = 64;
/// Maximum number of servers that one query waits for at a time.
const MAX_PENDING: usize = 32;
/// Maximum number of servers tried for one owner.
const MAX_SERVERS: usize = 4;
/// Approximate size of the rows in one message, bytes.
const RESULT_BYTES: usize = 32 * 1024;
/// An entry without an end is reported as unknown this long after its deadline.
const UNKNOWN_AFTER: Micros = 30_000_000;

/// For each owner the senders to ask for its logs, best first; this sender may be one of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Routes(pub BTreeMap<Rank, Vec<Rank>>);

/// Why a query is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum QueryRejected {
    /// The query names too many ids.
    #[error("the query names {0} ids, more than the maximum of {MAX_IDS}")]
    Ids(usize),
    /// The row limit is out of bounds.
    #[error("the query limit {0} is not between 1 and {MAX_ROWS}")]
    Limit(u32),
    /// Too many queries are running.
    #[error("{MAX_RUNNING} queries are already running")]
    Busy,
}

impl QueryRejected {
    /// The stable error code.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Ids(_) => "status-ids",
            Self::Limit(_) => "status-limit",
            Self::Busy => "status-busy",
        }
    }

    /// What an operator can do.
    pub fn remedy(&self) -> &'static str {
        match self {
            Self::Ids(_) => "name fewer ids in one query",
            Self::Limit(_) => "set limit within its bounds, and continue with `after`",
            Self::Busy => "retry in a second, or query another sender",
        }
    }
}

/// A query sent to a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubQuery {
    /// The query's number at the sender that asks.
    pub number: u64,
    /// The query.
    pub query: Query,
    /// The owners whose logs are read.
    pub owners: Vec<Rank>,
    /// For how long an answer is useful, microseconds.
    pub within: Micros,
}

/// The state of a log at a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStatus {
    /// The log.
    pub log: LogId,
    /// The server holds all changes up to this watermark.
    pub reached: Watermark,
    /// Messages accepted before this time may have been dropped.
    pub known_since: Micros,
    /// The greatest number of a change that may be in the rows, or may be the reason that a row is missing: a
    /// replica may hold entries beyond the position up to which it is complete. 0 if no entry was examined.
    pub shown: u64,
    /// Number of spans in which entries were examined, number of these entries, and their bytes.
    pub touched: (u32, u64, u64),
}

/// Part of a server's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialResult {
    /// The query's number at the sender that asks.
    pub number: u64,
    /// Entries that may match.
    pub rows: Vec<Entry>,
    /// Present in the last part of the answer.
    pub end: Option<ResultEnd>,
}

/// What a server reports with the last part of its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultEnd {
    /// The logs that were read; an owner without a log has none here.
    pub logs: Vec<LogStatus>,
    /// The place beyond which rows may be missing.
    #[serde(rename = "whole_upto")]
    pub complete_upto: Option<(Micros, String)>,
    /// The server was too busy and read nothing.
    pub busy: bool,
}

/// Why part of an answer is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No sender that holds it answered in time.
    NoAnswer,
    /// The senders that answered hold nothing of it.
    NotHeld,
    /// No server is known for it.
    NoServer,
}

/// The missing shards of one owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Missing {
    /// The owner.
    pub owner: Rank,
    /// The first and the last span that the query could have touched.
    pub spans: (u32, u32),
    /// The reason.
    pub why: MissingReason,
}

/// A log that was read for an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LogRead {
    /// The log.
    pub log: LogId,
    /// The sender that read it.
    pub server: Rank,
    /// The watermark up to which it was read.
    pub reached: Watermark,
    /// Messages accepted before this time may have been dropped.
    pub known_since: Micros,
    /// The greatest number of a change that may have been shown; 0 if no entry was examined.
    pub shown: u64,
}

/// What a query actually read, for one server and log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Touched {
    /// The server.
    pub server: Rank,
    /// The log.
    pub log: LogId,
    /// Number of spans in which entries were examined.
    pub shards: u32,
    /// Number of entries examined.
    pub entries: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Bytes of the server's whole answer, given with its first log only.
    pub wire_bytes: u64,
    /// Time from the sub-query to the last part of the answer, microseconds.
    pub took_us: Micros,
}

/// The answer to a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Answer {
    /// Messages, ordered by time of acceptance, then by id.
    pub rows: Vec<Entry>,
    /// Where to continue, if there may be more rows.
    pub next: Option<(Micros, String)>,
    /// Shards are missing, or something could not be read in time.
    pub partial: bool,
    /// Number of owners whose logs the query needs.
    pub asked: usize,
    /// Of these, the number of owners whose logs were read.
    pub reached: usize,
    /// The other owners.
    pub missing: Vec<Missing>,
    /// The logs that were read, with server and watermark.
    pub logs: Vec<LogRead>,
    /// Messages accepted before this time may be missing: the latest horizon of all logs read.
    pub known_since: Micros,
    /// Requested ids of which nothing is known; this does not prove that no such message ever existed.
    pub not_known: Vec<String>,
    /// What the query read.
    pub touched: Vec<Touched>,
    /// Time from the query to this answer, microseconds.
    pub took_us: Micros,
}

/// All logs held by this sender.
#[derive(Debug, Clone, Copy)]
pub struct LocalLogs<'a> {
    /// The own log.
    pub log: &'a Log,
    /// Replicas of other senders' logs.
    pub store: &'a Store,
    /// The span of a shard, microseconds.
    pub span: Micros,
}

impl<'a> LocalLogs<'a> {
    fn of(&self, owner: Rank) -> Vec<LogId> {
        let own = (self.log.id().owner == owner).then_some(self.log.id());
        own.into_iter().chain(self.store.of(owner).map(|(id, _)| *id)).collect()
    }

    fn table(&self, id: LogId) -> Option<&'a Table> {
        if id == self.log.id() {
            return Some(self.log.table());
        }
        self.store.logs().get(&id).map(|replica| &replica.table)
    }

    fn status(&self, id: LogId, now: Micros) -> Option<LogStatus> {
        let table = self.table(id)?;
        let own = id == self.log.id();
        let reached = if own { self.log.reached(now) } else { self.store.logs().get(&id)?.reached };
        Some(LogStatus { log: id, reached, known_since: table.known_since(), shown: 0, touched: (0, 0, 0) })
    }

    /// Adds the greatest number that may have been shown; called once the log has been read.
    fn with_shown(&self, status: LogStatus) -> LogStatus {
        let last = match self.store.logs().get(&status.log) {
            _ if status.log == self.log.id() => self.log.last(),
            replica => {
                replica.map_or(status.reached.upto, |replica| replica.cursor().max(replica.reached.upto))
            }
        };
        LogStatus { shown: if status.touched.1 > 0 { last } else { 0 }, ..status }
    }
}

/// The current log, the place to continue from, and the spans of the entries examined.
type ScanPosition = (LogStatus, Option<(Micros, Key)>, BTreeSet<u32>);

/// Reads some of the logs held here, in slices.
#[derive(Debug)]
struct Scan {
    query: Query,
    waiting: VecDeque<LogId>,
    position: Option<ScanPosition>,
    /// Number of ids already looked up in the current log.
    ids_done: usize,
    found: BTreeMap<(Micros, Key), Entry>,
    /// Number of rows found in the current log, and the place of the last one.
    rows_in_log: usize,
    last_row: Option<(Micros, String)>,
    logs: Vec<LogStatus>,
    complete_upto: Option<(Micros, String)>,
}

fn min_place(a: Option<(Micros, String)>, b: Option<(Micros, String)>) -> Option<(Micros, String)> {
    a.into_iter().chain(b).min()
}

impl Scan {
    fn new(query: Query, logs: impl IntoIterator<Item = LogId>) -> Self {
        let waiting: VecDeque<LogId> = logs.into_iter().collect();
        let (position, ids_done, found) = (None, 0, BTreeMap::new());
        Self {
            query,
            waiting,
            position,
            ids_done,
            found,
            rows_in_log: 0,
            last_row: None,
            logs: Vec::new(),
            complete_upto: None,
        }
    }

    /// Continues until the budget is used up; returns whether all logs have been read.
    fn step(&mut self, here: LocalLogs, now: Micros, budget: &mut usize) -> bool {
        loop {
            if *budget == 0 {
                return false;
            }
            if self.position.is_none() {
                let Some(next) = self.waiting.pop_front() else { return true };
                // Even an empty log has a cost.
                *budget -= 1;
                // The watermark is taken before anything of the log is read: it holds at this point.
                self.position = here.status(next, now).map(|status| (status, None, BTreeSet::new()));
                (self.ids_done, self.rows_in_log, self.last_row) = (0, 0, None);
                continue;
            }
            let Some((mut status, from, mut spans)) = self.position.take() else { continue };
            let Some(table) = here.table(status.log) else { continue };
            let (shards, entries, bytes) = &mut status.touched;
            let mut record = |entry: &Entry| {
                *entries += 1;
                *bytes += size_of(entry) as u64;
                // Ids are in no order of time.
                let span = u32::try_from(entry.taken_at / here.span.max(1)).unwrap_or(u32::MAX);
                *shards += u32::from(spans.insert(span));
            };
            if !self.query.ids.is_empty() {
                while let Some(id) = self.query.ids.get(self.ids_done).filter(|_| *budget > 0) {
                    *budget -= 1;
                    self.ids_done += 1;
                    let row = table.get(&key_of(&self.query.tenant, id));
                    if let Some(row) = row {
                        // The time of acceptance never changes: outside the range, nothing more of the
                        // message is read.
                        if (scan_start(&self.query)..self.query.to).contains(&row.entry.taken_at) {
                            record(&row.entry);
                        }
                        // The message is known here, whatever the filters say; they are applied at the end.
                        let entry = &row.entry;
                        match self.found.get_mut(&(entry.taken_at, key_of(&entry.tenant, &entry.id))) {
                            Some(known) => known.join(entry),
                            None => {
                                let place = (entry.taken_at, key_of(&entry.tenant, &entry.id));
                                drop(self.found.insert(place, entry.clone()));
                            }
                        }
                    }
                }
                if self.ids_done < self.query.ids.len() {
                    self.position = Some((status, from, spans));
                    return false;
                }
                self.logs.push(here.with_shown(status));
                continue;
            }
            let limit = self.query.limit as usize;
            let (found, query) = (&mut self.found, &self.query);
            let (mut count, mut last, mut truncated) = (self.rows_in_log, self.last_row.take(), false);
            let place = table.scan(query, from, budget, &mut |entry| {
                record(entry);
                if !query.may_want(entry) {
                    return true;
                }
                truncated = count == limit;
                if truncated {
                    return false;
                }
                count += 1;
                last = Some((entry.taken_at, entry.id.clone()));
                let place = (entry.taken_at, key_of(&entry.tenant, &entry.id));
                match found.get_mut(&place) {
                    Some(known) => known.join(entry),
                    None => drop(found.insert(place, entry.clone())),
                }
                true
            });
            if truncated {
                // The rows of this log are complete only up to the last one.
                self.complete_upto = min_place(self.complete_upto.take(), last.take());
            }
            (self.rows_in_log, self.last_row) = (count, last);
            if let Some(place) = place {
                self.position = Some((status, Some(place), spans));
                return false;
            }
            self.logs.push(here.with_shown(status));
        }
    }
}

/// The state of an owner whose logs a query needs.
#[derive(Debug)]
struct OwnerState {
    servers: VecDeque<Rank>,
    /// When the last server was asked.
    asked_at: Option<Micros>,
    tried: bool,
    answered: bool,
    reached: bool,
}

/// A sub-query that a server has not answered yet.
#[derive(Debug)]
struct PendingSubQuery {
    owners: Vec<Rank>,
    since: Micros,
    wire_bytes: u64,
    /// Counted only once the last part of the answer states the watermark.
    rows: Vec<Entry>,
}

/// A query received from a client of this sender.
#[derive(Debug)]
struct RunningQuery {
    query: Query,
    begun: Micros,
    until: Micros,
    owners: BTreeMap<Rank, OwnerState>,
    pending: BTreeMap<Rank, PendingSubQuery>,
    own: Vec<(Scan, Vec<Rank>)>,
    rows: BTreeMap<Key, Entry>,
    complete_upto: Option<(Micros, String)>,
    logs: Vec<LogRead>,
    touched: Vec<Touched>,
}

/// A query of another sender.
#[derive(Debug)]
struct ServedQuery {
    asker: Rank,
    number: u64,
    until: Micros,
    scan: Scan,
}

/// A message of the query protocol between senders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryMessage {
    /// A sub-query.
    #[serde(rename = "Ask")]
    SubQuery(SubQuery),
    /// A partial result.
    #[serde(rename = "Piece")]
    PartialResult(PartialResult),
}

/// All queries in progress at a sender.
#[derive(Debug)]
pub struct Queries {
    own: Rank,
    next: u64,
    running: BTreeMap<u64, RunningQuery>,
    serving: VecDeque<ServedQuery>,
    answers: Vec<(u64, Answer)>,
    outbox: Vec<(Rank, QueryMessage)>,
}

impl Queries {
    /// Starts without queries. Query numbers start at a random one, so that an answer meant for an earlier
    /// process matches no query.
    pub fn new(own: Rank, seed: u64) -> Self {
        let (running, serving) = (BTreeMap::new(), VecDeque::new());
        Self { own, next: seed, running, serving, answers: Vec::new(), outbox: Vec::new() }
    }

    /// Whether a query is in progress.
    pub fn busy(&self) -> bool {
        !self.running.is_empty() || !self.serving.is_empty()
    }

    /// Takes the finished answers.
    pub fn take_answers(&mut self) -> Vec<(u64, Answer)> {
        std::mem::take(&mut self.answers)
    }

    /// Takes the messages to be sent.
    pub fn take_messages(&mut self) -> Vec<(Rank, QueryMessage)> {
        std::mem::take(&mut self.outbox)
    }

    /// Starts a query that is to be answered within `within`, at most [`MAX_QUERY_TIME`].
    ///
    /// # Errors
    /// The reason why the query is rejected.
    pub fn ask(
        &mut self,
        now: Micros,
        query: Query,
        routes: Routes,
        within: Micros,
    ) -> Result<u64, QueryRejected> {
        if query.ids.len() > MAX_IDS {
            return Err(QueryRejected::Ids(query.ids.len()));
        }
        if query.limit == 0 || query.limit as usize > MAX_ROWS {
            return Err(QueryRejected::Limit(query.limit));
        }
        if self.running.len() >= MAX_RUNNING {
            return Err(QueryRejected::Busy);
        }
        let wanted = |(owner, servers): (Rank, Vec<Rank>)| {
            let servers: VecDeque<Rank> = servers.into_iter().take(MAX_SERVERS).collect();
            (owner, OwnerState { servers, asked_at: None, tried: false, answered: false, reached: false })
        };
        self.next = self.next.wrapping_add(1);
        let running = RunningQuery {
            query,
            begun: now,
            until: now + within.min(MAX_QUERY_TIME),
            owners: routes.0.into_iter().map(wanted).collect(),
            pending: BTreeMap::new(),
            own: Vec::new(),
            rows: BTreeMap::new(),
            complete_upto: None,
            logs: Vec::new(),
            touched: Vec::new(),
        };
        self.running.insert(self.next, running);
        Ok(self.next)
    }

    /// Accepts another sender's sub-query. The cost is bounded: beyond the bound the sender is told that this
    /// one is busy.
    pub fn serve(&mut self, now: Micros, from: Rank, sub_query: SubQuery, here: LocalLogs) {
        let SubQuery { number, mut query, owners, within } = sub_query;
        let sane = query.ids.len() <= MAX_IDS && (1..=MAX_ROWS).contains(&(query.limit as usize));
        if self.serving.len() >= MAX_SERVING || !sane {
            let end = ResultEnd { logs: vec![], complete_upto: None, busy: true };
            let result = PartialResult { number, rows: vec![], end: Some(end) };
            self.outbox.push((from, QueryMessage::PartialResult(result)));
            return;
        }
        // The state of a message is certain only once all logs are joined.
        query.states.clear();
        let owners: BTreeSet<Rank> = owners.into_iter().collect();
        let logs: Vec<LogId> = owners.into_iter().flat_map(|owner| here.of(owner)).collect();
        let until = now + within.min(MAX_QUERY_TIME);
        self.serving.push_back(ServedQuery { asker: from, number, until, scan: Scan::new(query, logs) });
    }

    /// Handles a partial result of another sender, received in `wire_bytes` bytes.
    pub fn receive_result(&mut self, now: Micros, from: Rank, result: PartialResult, wire_bytes: u64) {
        let Some(running) = self.running.get_mut(&result.number) else { return };
        let Some(pending) = running.pending.get_mut(&from) else { return };
        pending.wire_bytes += wire_bytes;
        let query = &running.query;
        // Rows of other tenants are dropped, whichever server sent them.
        pending.rows.extend(result.rows.into_iter().filter(|entry| match query.ids.is_empty() {
            true => query.may_want(entry),
            false => query.tenant == entry.tenant && query.ids.contains(&entry.id),
        }));
        let Some(end) = result.end else { return };
        let Some(PendingSubQuery { owners, since, wire_bytes, rows }) = running.pending.remove(&from) else {
            return;
        };
        if end.busy {
            // The next server is asked at once.
            let asked = running.owners.iter_mut().filter(|(owner, _)| owners.contains(owner));
            asked.for_each(|(_, state)| state.asked_at = Some(0));
            return;
        }
        rows.into_iter().for_each(|entry| running.add_row(entry));
        running.record_result(
            from,
            &owners,
            end.logs,
            end.complete_upto,
            (wire_bytes, now.saturating_sub(since)),
        );
    }

    /// Advances all queries, within [`MAX_ENTRIES_PER_TURN`].
    pub fn step(&mut self, now: Micros, here: LocalLogs) {
        let mut budget = MAX_ENTRIES_PER_TURN;
        let numbers: Vec<u64> = self.running.keys().copied().collect();
        // Each query gets its share of the turn, so that a large one delays no other.
        let share = MAX_ENTRIES_PER_TURN / (numbers.len() + self.serving.len()).max(1);
        for number in numbers {
            let Some(running) = self.running.get_mut(&number) else { continue };
            running.send_sub_queries(now, self.own, number, here, &mut self.outbox);
            let mut part = share.max(64).min(budget);
            budget -= part;
            running.scan(now, self.own, here, &mut part);
            budget += part;
            if now >= running.until || running.is_done() {
                let Some(running) = self.running.remove(&number) else { continue };
                self.answers.push((number, running.finish(now, here.span)));
            }
        }
        for _ in 0..self.serving.len() {
            let Some(mut serving) = self.serving.pop_front() else { break };
            let mut part = share.max(64).min(budget);
            budget -= part;
            let done = serving.scan.step(here, now, &mut part);
            budget += part;
            if done {
                self.send_result(serving);
            } else if now < serving.until {
                self.serving.push_back(serving);
            }
        }
    }

    fn send_result(&mut self, serving: ServedQuery) {
        let ServedQuery { asker, number, scan, .. } = serving;
        let (mut rows, mut bytes) = (Vec::new(), 0);
        for entry in scan.found.into_values() {
            bytes += size_of(&entry);
            rows.push(entry);
            if bytes >= RESULT_BYTES {
                let result = PartialResult { number, rows: std::mem::take(&mut rows), end: None };
                self.outbox.push((asker, QueryMessage::PartialResult(result)));
                bytes = 0;
            }
        }
        let end = Some(ResultEnd { logs: scan.logs, complete_upto: scan.complete_upto, busy: false });
        self.outbox.push((asker, QueryMessage::PartialResult(PartialResult { number, rows, end })));
    }
}

impl RunningQuery {
    fn add_row(&mut self, entry: Entry) {
        let key = key_of(&entry.tenant, &entry.id);
        match self.rows.get_mut(&key) {
            Some(known) => known.join(&entry),
            None => drop(self.rows.insert(key, entry)),
        }
    }

    /// Records that a server has read all that it holds of some owners.
    fn record_result(
        &mut self,
        server: Rank,
        owners: &[Rank],
        logs: Vec<LogStatus>,
        complete_upto: Option<(Micros, String)>,
        (wire_bytes, took_us): (u64, Micros),
    ) {
        self.complete_upto = min_place(self.complete_upto.take(), complete_upto);
        for owner in owners {
            if let Some(state) = self.owners.get_mut(owner) {
                state.answered = true;
                // A replica for which nothing has been claimed yet is still being filled and proves no
                // position.
                let proves = |status: &LogStatus| server == *owner || status.reached.as_of > 0;
                state.reached |= logs.iter().any(|status| status.log.owner == *owner && proves(status));
            }
        }
        for (n, status) in logs.into_iter().enumerate() {
            let LogStatus { log, reached, known_since, shown, touched: (shards, entries, bytes) } = status;
            let wire_bytes = if n == 0 { wire_bytes } else { 0 };
            self.touched.push(Touched { server, log, shards, entries, bytes, wire_bytes, took_us });
            self.logs.push(LogRead { log, server, reached, known_since, shown });
        }
    }

    /// Sends the sub-queries that are due.
    fn send_sub_queries(
        &mut self,
        now: Micros,
        own: Rank,
        number: u64,
        here: LocalLogs,
        outbox: &mut Vec<(Rank, QueryMessage)>,
    ) {
        let mut ask: BTreeMap<Rank, Vec<Rank>> = BTreeMap::new();
        let pending = &self.pending;
        for (owner, state) in &mut self.owners {
            if state.reached || state.asked_at.is_some_and(|at| now < at + HEDGE && !state.answered) {
                continue;
            }
            let Some(server) = state.servers.front().copied() else { continue };
            let has_capacity = ask.contains_key(&server) || pending.len() + ask.len() < MAX_PENDING;
            // Only one sub-query to a server at a time: its answer names no owners.
            if server != own && (!has_capacity || pending.contains_key(&server)) {
                continue;
            }
            state.servers.pop_front();
            (state.asked_at, state.tried, state.answered) = (Some(now), true, false);
            ask.entry(server).or_default().push(*owner);
        }
        for (server, owners) in ask {
            if server == own {
                let logs: Vec<LogId> = owners.iter().flat_map(|owner| here.of(*owner)).collect();
                let query = Query { states: Vec::new(), ..self.query.clone() };
                self.own.push((Scan::new(query, logs), owners));
                continue;
            }
            let within = self.until.saturating_sub(now + RETURN_MARGIN);
            let query = Query { states: Vec::new(), ..self.query.clone() };
            outbox.push((
                server,
                QueryMessage::SubQuery(SubQuery { number, query, owners: owners.clone(), within }),
            ));
            self.pending
                .insert(server, PendingSubQuery { owners, since: now, wire_bytes: 0, rows: Vec::new() });
        }
    }

    fn scan(&mut self, now: Micros, own: Rank, here: LocalLogs, budget: &mut usize) {
        while let Some((scan, _)) = self.own.first_mut() {
            if !scan.step(here, now, budget) {
                return;
            }
            let (scan, owners) = self.own.remove(0);
            scan.found.into_values().for_each(|entry| self.add_row(entry));
            self.record_result(
                own,
                &owners,
                scan.logs,
                scan.complete_upto,
                (0, now.saturating_sub(self.begun)),
            );
        }
    }

    fn is_done(&self) -> bool {
        let done = |w: &OwnerState| w.reached || w.servers.is_empty() && (w.answered || !w.tried);
        self.own.is_empty() && self.owners.values().all(done)
    }

    fn finish(self, now: Micros, span: Micros) -> Answer {
        let Self { query, owners, rows, complete_upto, logs, touched, own, .. } = self;
        let last_span = |at: Micros| u32::try_from(at / span.max(1)).unwrap_or(u32::MAX);
        let spans = (last_span(query.from), last_span(query.to.min(now)));
        let missing: Vec<Missing> = owners
            .iter()
            .filter(|(_, state)| !state.reached)
            .map(|(owner, state)| {
                let why = match (state.tried, state.answered) {
                    (false, _) => MissingReason::NoServer,
                    (true, false) => MissingReason::NoAnswer,
                    (true, true) => MissingReason::NotHeld,
                };
                Missing { owner: *owner, spans, why }
            })
            .collect();
        let not_known = query.ids.iter().filter(|id| !rows.contains_key(&key_of(&query.tenant, id)));
        let not_known = not_known.cloned().collect();
        let overdue = |mut entry: Entry| {
            if !entry.states.ended() && now > entry.deadline.saturating_add(UNKNOWN_AFTER) {
                entry.states = entry.states.with(State::Unknown);
            }
            entry
        };
        let mut rows: Vec<Entry> =
            rows.into_values().map(overdue).filter(|entry| query.wants(entry)).collect();
        rows.sort_by(|a, b| (a.taken_at, &a.id).cmp(&(b.taken_at, &b.id)));
        let is_complete = |entry: &Entry| {
            complete_upto.as_ref().is_none_or(|(at, id)| (entry.taken_at, &entry.id) <= (*at, id))
        };
        rows.retain(is_complete);
        let mut next = complete_upto.clone();
        if rows.len() > query.limit as usize {
            rows.truncate(query.limit as usize);
            next = rows.last().map(|last| (last.taken_at, last.id.clone()));
        }
        Answer {
            partial: !missing.is_empty() || !own.is_empty(),
            asked: owners.len(),
            reached: owners.len() - missing.len(),
            known_since: logs.iter().map(|log| log.known_since).max().unwrap_or(0),
            took_us: now.saturating_sub(self.begun),
            rows,
            next,
            missing,
            logs,
            not_known,
            touched,
        }
    }
}
