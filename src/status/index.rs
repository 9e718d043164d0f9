//! The complete index of one sender: its own log, replicas of other logs, replication and queries, over one
//! mesh of channels. Sans I/O: the steps returned by [`Index::write`] must be carried out in the folder
//! before anything else is sent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::folder::{MIN_ROOM, Segments, Step};
use super::log::{Log, Restored};
use super::query::{Answer, LocalLogs, Queries, QueryMessage, QueryRejected, Routes};
use super::replicate::{HEARTBEAT, Replication, candidates, replicas};
use super::shards::{key_of, shard_of};
use super::store::{Batch, BatchAck, Store};
use super::{Config, Entry, Generation, LogId, Positions, Query, Rank, ShardId, State};
use crate::channel::STATUS;
use crate::interface::Micros;
use crate::membership::{self, MembershipView, Outgoing};
use crate::mesh::Mesh;

/// Interval between two slices of the running queries.
const SLICE_INTERVAL: Micros = 5_000;
/// Maximum delay of a write that no client waits for.
const MAX_WRITE_DELAY: Micros = 20_000;
/// Interval at which the membership view is checked for replicas and old entries are expired.
const MAINTENANCE_INTERVAL: Micros = 1_000_000;

/// Messages between the indexes of two senders.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    Batch(Batch),
    #[serde(rename = "Have")]
    Ack(BatchAck),
    #[serde(rename = "Say")]
    Query(QueryMessage),
}

/// Counters since the process started.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Changes written.
    pub changes: u64,
    /// Messages that were not indexed because their id is too long.
    pub too_long: u64,
    /// Messages of other senders that could not be decoded, or concern a log that they do not own.
    pub foreign: u64,
    /// Messages that were not sent because too many were queued.
    pub held_back: u64,
    /// New generations since the process started.
    pub renewed: u64,
    /// Queries accepted here.
    pub queries: u64,
    /// Of these, the queries with a partial answer.
    pub partial: u64,
}

/// The identity of a sender in its tier, and the hosts of the tier.
#[derive(Debug, Clone)]
pub struct Place {
    /// The sender's rank.
    pub own: Rank,
    /// Identifies the tier: detects tiers that were given the same addresses by mistake.
    pub tier: u32,
    /// The host of each rank; equal numbers mean the same host.
    pub hosts: Vec<u32>,
}

/// The status index of a sender.
#[derive(Debug)]
pub struct Index {
    own: Rank,
    replicas: usize,
    span: Micros,
    hosts: Vec<u32>,
    view: Option<MembershipView>,
    log: Log,
    segments: Segments,
    store: Store,
    replication: Replication,
    queries: Queries,
    mesh: Mesh,
    rng: fastrand::Rng,
    maintained_at: Micros,
    sliced_at: Micros,
    ticked_at: Micros,
    /// The whole own log has to be rewritten to the folder.
    rewrite: bool,
    /// Writing to the folder failed: the folder holds nothing of this generation.
    not_persisted: bool,
    /// Segments to remove once the log has been rewritten.
    old_segments: Vec<u64>,
    /// Counters for operators.
    pub counts: Counts,
}

impl Index {
    /// Resumes from the contents of the folder. `old` names the existing segments, which are removed once the
    /// whole log has been rewritten. `room` is the capacity of the folder, bytes.
    pub fn new(
        config: &Config,
        place: Place,
        restored: Restored,
        old: Vec<u64>,
        (room, boot): (u64, u64),
        seed: u64,
        now: Micros,
    ) -> Self {
        let Place { own, tier, hosts } = place;
        let mut rng = fastrand::Rng::with_seed(seed);
        let retention = Micros::from(config.keep_s) * 1_000_000;
        let half = config.room_mb as usize * 500_000;
        let max_bytes = half.min(Segments::max_log_bytes(room.max(MIN_ROOM)));
        let log = Log::resume(own, restored, Generation(rng.u64(1..)), max_bytes, retention);
        let next = old.iter().max().map_or(1, |last| last + 1);
        let mut replication = Replication::new(own, now);
        replication.set_replicas(Vec::new(), log.id());
        replication.set_start(log.last());
        Self {
            own,
            replicas: config.replicas as usize,
            span: Micros::from(config.span_s) * 1_000_000,
            view: None,
            segments: Segments::new(room, boot, next),
            store: Store::new(half, retention),
            replication,
            queries: Queries::new(own, rng.u64(..)),
            mesh: Mesh::new(STATUS, own, hosts.len(), tier, rng.u64(..)),
            hosts,
            log,
            rng,
            maintained_at: 0,
            sliced_at: 0,
            ticked_at: 0,
            rewrite: true,
            not_persisted: false,
            old_segments: old,
            counts: Counts::default(),
        }
    }

    /// The log that this sender writes.
    pub fn own_log(&self) -> LogId {
        self.log.id()
    }

    /// The number of the last change in the own log.
    pub fn last(&self) -> u64 {
        self.log.last()
    }

    /// The own log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Replicas of other senders' logs.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// The entries of the own log with their shards, in the order in which they were accepted.
    pub fn own_entries(&self) -> impl Iterator<Item = (ShardId, &Entry)> {
        let (own, span) = (self.own, self.span);
        self.log.table().rows().map(move |row| (shard_of(own, &row.entry, span), &row.entry))
    }

    /// The watermark of each log held here.
    pub fn positions(&self, now: Micros) -> Positions {
        let mut positions = self.store.positions();
        positions.insert(self.log.id(), self.log.reached(now));
        positions
    }

    /// The watermarks that other senders reported.
    pub fn hints(&self) -> &BTreeMap<Rank, Positions> {
        self.replication.hints()
    }

    /// The replicas of an owner's log according to the membership view.
    pub fn replicas_of(&self, owner: Rank) -> Vec<Rank> {
        self.view.as_ref().map_or(Vec::new(), |view| replicas(owner, self.replicas, &self.hosts, view))
    }

    /// The `count` best candidates for replicas of an owner's log, whether or not they are alive now.
    pub fn candidates_of(&self, owner: Rank, count: usize) -> Vec<Rank> {
        candidates(owner, count, &self.hosts)
    }

    /// Whether the own log contains a message.
    pub fn contains(&self, tenant: &str, id: &str) -> bool {
        self.log.table().get(&key_of(tenant, id)).is_some()
    }

    /// Records a message that was accepted here, or adopted from another sender. Returns the number of the
    /// change, or none if the id is too long. The number may be sent to others only after the steps of
    /// [`Index::write`] have been carried out.
    pub fn accepted(&mut self, entry: Entry) -> Option<u64> {
        let Some((before, number)) = self.log.put(entry) else {
            self.counts.too_long += 1;
            return None;
        };
        self.record_change(before, number);
        Some(number)
    }

    /// Records a change of a message in the own log; no effect if the log does not contain the message.
    pub fn change(
        &mut self,
        now: Micros,
        tenant: &str,
        id: &str,
        act: impl FnOnce(&mut Entry),
    ) -> Option<u64> {
        let (before, number) = self.log.change(&key_of(tenant, id), now, act)?;
        self.record_change(before, number);
        Some(number)
    }

    fn record_change(&mut self, before: u64, number: u64) {
        self.counts.changes += 1;
        self.replication.record_move(self.log.id(), before, number);
    }

    /// After a start: marks messages without an end that are no longer pending as unknown, since their end
    /// was not stored.
    pub fn settle(&mut self, now: Micros, owed: impl Fn(&Entry) -> bool) {
        let lost = self.log.table().rows().map(|row| &row.entry);
        let lost =
            lost.filter(|entry| !entry.states.ended() && !entry.states.has(State::Unknown) && !owed(entry));
        let lost: Vec<(String, String)> =
            lost.map(|entry| (entry.tenant.clone(), entry.id.clone())).collect();
        for (tenant, id) in lost {
            self.change(now, &tenant, &id, |entry| entry.states = entry.states.with(State::Unknown));
        }
    }

    /// The steps to carry out in the folder, in order, before anything else is sent. If a step fails, call
    /// [`Index::write_failed`].
    pub fn write(&mut self) -> Vec<Step> {
        if self.not_persisted {
            self.log.unwritten();
            return Vec::new();
        }
        if std::mem::take(&mut self.rewrite) {
            let old = std::mem::take(&mut self.old_segments);
            return self.segments.begin(&mut self.log, old);
        }
        if self.log.is_unwritten() { self.segments.write(&mut self.log) } else { Vec::new() }
    }

    /// Handles a failed write to the folder. The log continues in memory under a new generation that no later
    /// process resumes. Returns the steps that delete, as far as possible, the segments of the previous
    /// generation. They are ordered so that no process can resume that generation if this one ends between
    /// two steps: the oldest segment is emptied before any other is removed. If a step fails, leave out the
    /// following ones.
    pub fn write_failed(&mut self, now: Micros) -> Vec<Step> {
        let mut existing: Vec<u64> =
            self.segments.numbers().chain(std::mem::take(&mut self.old_segments)).collect();
        existing.sort_unstable();
        existing.dedup();
        self.old_segments.clone_from(&existing);
        self.not_persisted = true;
        self.renew(now);
        let empty = existing.iter().copied().map(Step::Empty);
        empty.chain(existing.iter().rev().copied().map(Step::Remove)).collect()
    }

    /// Whether the folder holds nothing of this generation.
    pub fn is_not_persisted(&self) -> bool {
        self.not_persisted
    }

    /// After [`Index::write_failed`]: has the whole log written by the next [`Index::write`].
    pub fn resume_writing(&mut self) {
        (self.rewrite, self.not_persisted) = (true, false);
    }

    fn renew(&mut self, now: Micros) {
        self.log.renew(Generation(self.rng.u64(1..)), now);
        self.log.unwritten();
        self.replication.start_generation(self.log.id());
        self.counts.renewed += 1;
    }

    /// Updates the membership view.
    pub fn set_view(&mut self, view: Option<MembershipView>) {
        self.view = view.or(self.view.take());
        let chosen = self.replicas_of(self.own);
        if chosen != self.replication.chosen() {
            self.replication.set_replicas(chosen, self.log.id());
        }
    }

    /// Whether the membership view should be updated before the next tick.
    pub fn view_due(&self, now: Micros) -> bool {
        now >= self.maintained_at + MAINTENANCE_INTERVAL
    }

    /// The servers to ask for each owner of the tier: the owner, then its replicas. If the owner is held to
    /// be dead or has left, the replicas come first. If this sender holds a replica, it comes right after an
    /// owner that is alive, and first otherwise.
    pub fn routes(&self) -> Routes {
        use membership::State::{Dead, Left};
        let mut routes = BTreeMap::new();
        for owner in (0..self.hosts.len()).filter_map(|rank| Rank::try_from(rank).ok()) {
            let member = self.view.as_ref().and_then(|view| view.members.get(usize::from(owner)));
            let gone = member.is_some_and(|member| matches!(member.state, Dead | Left));
            let mut servers = self.replicas_of(owner);
            // Reading the local replica is cheap, but this sender must not be listed twice.
            let here = owner != self.own && self.store.of(owner).next().is_some();
            servers.retain(|server| *server != self.own);
            match gone {
                true => servers.push(owner),
                false => servers.insert(0, owner),
            }
            if here {
                servers.insert(usize::from(!gone), self.own);
            }
            routes.insert(owner, servers);
        }
        Routes(routes)
    }

    /// Starts a query. [`Index::take_answers`] returns the answer within `within`, at most
    /// [`super::query::MAX_QUERY_TIME`].
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
        let number = self.queries.ask(now, query, routes, within)?;
        self.counts.queries += 1;
        self.sliced_at = 0;
        Ok(number)
    }

    /// Takes the finished answers.
    pub fn take_answers(&mut self) -> Vec<(u64, Answer)> {
        let answers = self.queries.take_answers();
        self.counts.partial += answers.iter().filter(|(_, answer)| answer.partial).count() as u64;
        answers
    }

    /// When [`Index::tick`] has to be called next.
    pub fn due(&self) -> Micros {
        let queries = self.queries.busy().then_some(self.sliced_at + SLICE_INTERVAL);
        let replication = self.replication.due(self.log.last());
        let unwritten = (self.rewrite || self.log.is_unwritten()).then_some(self.ticked_at + MAX_WRITE_DELAY);
        let due = queries.into_iter().chain(unwritten).chain(replication).chain(self.mesh.due()).min();
        due.map_or(self.maintained_at + MAINTENANCE_INTERVAL, |due| {
            due.min(self.maintained_at + MAINTENANCE_INTERVAL)
        })
    }

    /// Handles a datagram of the index, as told by [`Index::accepts`].
    pub fn receive(&mut self, now: Micros, from: Rank, bytes: &[u8]) {
        let arrived = self.mesh.receive(now, from, bytes);
        if arrived.peer_restarted {
            self.replication.reset_receiver(from);
        }
        for message in arrived.messages {
            let size = message.len() as u64;
            match postcard::from_bytes(&message) {
                Ok(message) => self.handle(now, from, message, size),
                Err(_) => self.counts.foreign += 1,
            }
        }
    }

    /// Whether a datagram belongs to the index.
    pub fn accepts(&self, bytes: &[u8]) -> bool {
        self.mesh.accepts(bytes)
    }

    fn handle(&mut self, now: Micros, from: Rank, message: Message, size: u64) {
        match message {
            Message::Batch(batch) => {
                let own_lost = batch.log.owner == self.own && batch.log != self.log.id();
                if batch.log.owner != from && !own_lost {
                    self.counts.foreign += 1;
                    return;
                }
                let log = batch.log;
                let ack = self.store.apply(now, from, batch);
                if log.owner == from {
                    self.replication.send_old_generations(from, log, &self.store);
                }
                self.send(now, from, &Message::Ack(ack));
            }
            Message::Ack(ack) => {
                if !self.replication.handle_ack(from, &ack, &self.log, now) {
                    // Another sender holds changes that are missing here: numbers of this generation were
                    // lost and would be used twice.
                    self.renew(now);
                    self.rewrite = !self.not_persisted;
                }
            }
            Message::Query(QueryMessage::SubQuery(sub_query)) => {
                let here = LocalLogs { log: &self.log, store: &self.store, span: self.span };
                self.queries.serve(now, from, sub_query, here);
                self.sliced_at = 0;
            }
            Message::Query(QueryMessage::PartialResult(result)) => {
                self.queries.receive_result(now, from, result, size);
                self.sliced_at = 0;
            }
        }
    }

    fn send(&mut self, now: Micros, to: Rank, message: &Message) -> bool {
        let sent = postcard::to_allocvec(message).is_ok_and(|bytes| self.mesh.send(now, to, &bytes).is_ok());
        self.counts.held_back += u64::from(!sent);
        sent
    }

    /// Does the work that is due and sends its messages. The steps of [`Index::write`] must have been carried
    /// out just before.
    pub fn tick(&mut self, now: Micros, out: &mut Outgoing) {
        self.ticked_at = now;
        if now >= self.maintained_at + MAINTENANCE_INTERVAL {
            self.maintained_at = now;
            self.log.expire(now);
            self.store.expire(now);
        }
        if self.queries.busy() && now >= self.sliced_at + SLICE_INTERVAL {
            self.sliced_at = now;
            self.queries.step(now, LocalLogs { log: &self.log, store: &self.store, span: self.span });
        }
        for (to, message) in self.queries.take_messages() {
            self.send(now, to, &Message::Query(message));
        }
        // Changes that are not written yet must not be sent.
        if !self.rewrite && !self.log.is_unwritten() {
            for (to, batch) in self.replication.batches(now, &self.log, &self.store) {
                if !self.send(now, to, &Message::Batch(batch)) {
                    self.replication.reset_receiver(to);
                }
            }
        }
        self.mesh.flush(now, out);
        for lost in self.mesh.take_dropped_peers() {
            self.replication.reset_receiver(lost);
        }
    }

    /// A report for operators: logs, watermarks and counters.
    pub fn report(&self, now: Micros) -> Report {
        let receivers = self.replication.receivers().map(|(to, log, cursor)| Receiver { to, log, cursor });
        Report {
            log: self.log.id(),
            last: self.log.last(),
            entries: self.log.table().len(),
            bytes: self.log.table().bytes(),
            folder_bytes: self.segments.bytes(),
            known_since: self.log.table().known_since(),
            replicas: self.replication.chosen().to_vec(),
            receivers: receivers.collect(),
            beat_ms: HEARTBEAT / 1_000,
            copies: self
                .store
                .logs()
                .iter()
                .map(|(log, replica)| ReplicaReport {
                    log: *log,
                    entries: replica.table.len(),
                    bytes: replica.table.bytes(),
                    upto: replica.reached.upto,
                    age_ms: now.saturating_sub(replica.reached.as_of) / 1_000,
                    known_since: replica.table.known_since(),
                })
                .collect(),
            counts: self.counts,
            datagrams: self.mesh.counts,
        }
    }
}

/// A receiver of a log.
#[derive(Debug, Clone, Serialize)]
pub struct Receiver {
    /// The receiving sender.
    pub to: Rank,
    /// The log that is sent.
    pub log: LogId,
    /// The last number sent, if the receiver answers.
    pub cursor: Option<u64>,
}

/// A replica held here.
#[derive(Debug, Clone, Serialize)]
pub struct ReplicaReport {
    /// The replicated log.
    pub log: LogId,
    /// Number of messages.
    pub entries: usize,
    /// Memory used by them, bytes.
    pub bytes: usize,
    /// All changes up to this number are held.
    pub upto: u64,
    /// Age of this watermark, milliseconds: this sender's clock now minus the owner's clock then.
    pub age_ms: u64,
    /// Messages accepted before this time may have been dropped.
    pub known_since: Micros,
}

/// The state of the index.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The own log.
    pub log: LogId,
    /// The number of its last change.
    pub last: u64,
    /// Number of messages in it.
    pub entries: usize,
    /// Memory used by them, bytes.
    pub bytes: usize,
    /// Bytes used in the folder.
    pub folder_bytes: u64,
    /// Messages accepted before this time may have been dropped.
    pub known_since: Micros,
    /// The replicas of the own log.
    pub replicas: Vec<Rank>,
    /// The replicas and other receivers, and how far each log was sent to them.
    pub receivers: Vec<Receiver>,
    /// Heartbeat interval for a replica that is up to date.
    pub beat_ms: u64,
    /// Replicas of other senders' logs.
    pub copies: Vec<ReplicaReport>,
    /// Counters.
    pub counts: Counts,
    /// Datagrams of all channels of the index.
    pub datagrams: crate::mesh::Counts,
}
