//! The index of one sender, all of it: its own log, copies of others, replication and queries, over one mesh of
//! channels. Sans I/O: what [`Index::write`] says has to be in the folder before anything else goes out.

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

/// While queries are under way they go on this often.
const SLICE: Micros = 5_000;
/// What no client waits for is written that often.
const WRITES: Micros = 20_000;
/// How often the view is looked at for replicas, and ages are.
const LOOK: Micros = 1_000_000;

/// What senders tell each other.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    Batch(Batch),
    Have(BatchAck),
    Say(QueryMessage),
}

/// Counts since the process began.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Changes written.
    pub changes: u64,
    /// Messages whose id is too long to be indexed.
    pub too_long: u64,
    /// Messages of other senders that could not be read, or were not theirs to send.
    pub foreign: u64,
    /// Messages that were not sent, since too much waited.
    pub held_back: u64,
    /// New lives since the process began.
    pub renewed: u64,
    /// Queries asked here, and of those the partial ones.
    pub queries: u64,
    /// Of them, partial.
    pub partial: u64,
}

/// Where a sender stands: its place, and who shares a host.
#[derive(Debug, Clone)]
pub struct Place {
    /// Its own rank.
    pub own: Rank,
    /// Tells tiers apart that are wrongly given the same addresses.
    pub tier: u32,
    /// By rank; equal for those on one host.
    pub hosts: Vec<u32>,
}

/// The index at one sender.
#[derive(Debug)]
pub struct Index {
    own: Rank,
    replicas: usize,
    span: Micros,
    hosts: Vec<u32>,
    facts: Option<MembershipView>,
    log: Log,
    segments: Segments,
    store: Store,
    replication: Replication,
    queries: Queries,
    mesh: Mesh,
    rng: fastrand::Rng,
    looked: Micros,
    sliced: Micros,
    ticked: Micros,
    /// All of the own log has to be written.
    anew: bool,
    /// The folder could not be written: nothing of this life is in it.
    unkept: bool,
    /// Segments that go once that is done.
    old: Vec<u64>,
    /// What happened, for operators.
    pub counts: Counts,
}

impl Index {
    /// An index that goes on with what its folder had: segments that are there are `old`, and go once all of it is
    /// written anew. `room` is for the folder, bytes.
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
        let keep = Micros::from(config.keep_s) * 1_000_000;
        let half = config.room_mb as usize * 500_000;
        let most = half.min(Segments::memory(room.max(MIN_ROOM)));
        let log = Log::resume(own, restored, Generation(rng.u64(1..)), most, keep);
        let next = old.iter().max().map_or(1, |last| last + 1);
        let mut replication = Replication::new(own, now);
        replication.choose(Vec::new(), log.id());
        replication.begins(log.last());
        Self {
            own,
            replicas: config.replicas as usize,
            span: Micros::from(config.span_s) * 1_000_000,
            facts: None,
            segments: Segments::new(room, boot, next),
            store: Store::new(half, keep),
            replication,
            queries: Queries::new(own, rng.u64(..)),
            mesh: Mesh::new(STATUS, own, hosts.len(), tier, rng.u64(..)),
            hosts,
            log,
            rng,
            looked: 0,
            sliced: 0,
            ticked: 0,
            anew: true,
            unkept: false,
            old,
            counts: Counts::default(),
        }
    }

    /// The log that this sender writes.
    pub fn own_log(&self) -> LogId {
        self.log.id()
    }

    /// The number of its last change.
    pub fn last(&self) -> u64 {
        self.log.last()
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Copies of others.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Its own entries by shard, in the order in which they were taken on.
    pub fn own_entries(&self) -> impl Iterator<Item = (ShardId, &Entry)> {
        let (own, span) = (self.own, self.span);
        self.log.table().rows().map(move |held| (shard_of(own, &held.entry, span), &held.entry))
    }

    /// How far each log is here.
    pub fn positions(&self, now: Micros) -> Positions {
        let mut positions = self.store.positions();
        positions.insert(self.log.id(), self.log.reached(now));
        positions
    }

    /// What others said that they have.
    pub fn hints(&self) -> &BTreeMap<Rank, Positions> {
        self.replication.hints()
    }

    /// Those who keep an owner's log, as far as the view tells.
    pub fn replicas_of(&self, owner: Rank) -> Vec<Rank> {
        self.facts.as_ref().map_or(Vec::new(), |facts| replicas(owner, self.replicas, &self.hosts, facts))
    }

    /// The best `count` of those that may have been chosen to keep an owner's log, whoever is there now.
    pub fn candidates_of(&self, owner: Rank, count: usize) -> Vec<Rank> {
        candidates(owner, count, &self.hosts)
    }

    /// Whether a message is in its own log.
    pub fn contains(&self, tenant: &str, id: &str) -> bool {
        self.log.table().get(&key_of(tenant, id)).is_some()
    }

    /// Writes a message that was taken on, here or by the sender that it was adopted from. Gives the change's number;
    /// none for an id that is too long. It may be told once [`Index::write`] was carried out.
    pub fn accepted(&mut self, entry: Entry) -> Option<u64> {
        let Some((before, number)) = self.log.put(entry) else {
            self.counts.too_long += 1;
            return None;
        };
        self.moved(before, number);
        Some(number)
    }

    /// Writes what happened to a message that is in the log; one that is not there changes nothing.
    pub fn change(
        &mut self,
        now: Micros,
        tenant: &str,
        id: &str,
        act: impl FnOnce(&mut Entry),
    ) -> Option<u64> {
        let (before, number) = self.log.change(&key_of(tenant, id), now, act)?;
        self.moved(before, number);
        Some(number)
    }

    fn moved(&mut self, before: u64, number: u64) {
        self.counts.changes += 1;
        self.replication.moved(self.log.id(), before, number);
    }

    /// After a start: of the messages in the log that have no end, those that are not owed any more have one that was
    /// not kept.
    pub fn settle(&mut self, now: Micros, owed: impl Fn(&Entry) -> bool) {
        let lost = self.log.table().rows().map(|held| &held.entry);
        let lost =
            lost.filter(|entry| !entry.states.ended() && !entry.states.has(State::Unknown) && !owed(entry));
        let lost: Vec<(String, String)> =
            lost.map(|entry| (entry.tenant.clone(), entry.id.clone())).collect();
        for (tenant, id) in lost {
            self.change(now, &tenant, &id, |entry| entry.states = entry.states.with(State::Unknown));
        }
    }

    /// What has to be written to the folder, in order, before anything else is told. If a step fails,
    /// [`Index::write_failed`] must be told.
    pub fn write(&mut self) -> Vec<Step> {
        if self.unkept {
            self.log.unwritten();
            return Vec::new();
        }
        if std::mem::take(&mut self.anew) {
            let old = std::mem::take(&mut self.old);
            return self.segments.begin(&mut self.log, old);
        }
        if self.log.is_unwritten() { self.segments.write(&mut self.log) } else { Vec::new() }
    }

    /// The folder could not be written. The log goes on in memory, in a new life that no later process goes on with;
    /// what is there of the one before must go too, as far as that can be: these segments. A process that ends between
    /// two of the steps leaves what no life goes on with: the oldest is empty before any other goes. After a step that
    /// fails the others are to be left.
    pub fn write_failed(&mut self, now: Micros) -> Vec<Step> {
        let mut there: Vec<u64> = self.segments.numbers().chain(std::mem::take(&mut self.old)).collect();
        there.sort_unstable();
        there.dedup();
        self.old.clone_from(&there);
        self.unkept = true;
        self.renew(now);
        let empty = there.iter().copied().map(Step::Empty);
        empty.chain(there.iter().rev().copied().map(Step::Remove)).collect()
    }

    /// Whether the folder has nothing of this life.
    pub fn is_not_persisted(&self) -> bool {
        self.unkept
    }

    /// Has all of it written by the next [`Index::write`], after [`Index::write_failed`].
    pub fn resume_writing(&mut self) {
        (self.anew, self.unkept) = (true, false);
    }

    fn renew(&mut self, now: Micros) {
        self.log.renew(Generation(self.rng.u64(1..)), now);
        self.log.unwritten();
        self.replication.renewed(self.log.id());
        self.counts.renewed += 1;
    }

    /// How the view stands now.
    pub fn set_view(&mut self, facts: Option<MembershipView>) {
        self.facts = facts.or(self.facts.take());
        let chosen = self.replicas_of(self.own);
        if chosen != self.replication.chosen() {
            self.replication.choose(chosen, self.log.id());
        }
    }

    /// Whether the next tick wants the view looked at before.
    pub fn view_due(&self, now: Micros) -> bool {
        now >= self.looked + LOOK
    }

    /// For each owner of the tier: itself, then those who keep its log; one that is held for dead or has left, the
    /// other way round; this sender, where it has a copy, at the end.
    pub fn routes(&self) -> Routes {
        use membership::State::{Dead, Left};
        let mut routes = BTreeMap::new();
        for owner in (0..self.hosts.len()).filter_map(|rank| Rank::try_from(rank).ok()) {
            let fact = self.facts.as_ref().and_then(|facts| facts.members.get(usize::from(owner)));
            let gone = fact.is_some_and(|fact| matches!(fact.state, Dead | Left));
            let mut servers = self.replicas_of(owner);
            // A copy here costs nothing, but is not asked twice.
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

    /// Takes a query; its answer comes by [`Index::take_answers`] within that time, [`super::query::MAX_QUERY_TIME`] at most.
    ///
    /// # Errors
    /// Says why it is not taken.
    pub fn ask(
        &mut self,
        now: Micros,
        query: Query,
        routes: Routes,
        within: Micros,
    ) -> Result<u64, QueryRejected> {
        let number = self.queries.ask(now, query, routes, within)?;
        self.counts.queries += 1;
        self.sliced = 0;
        Ok(number)
    }

    /// Answers that are there.
    pub fn take_answers(&mut self) -> Vec<(u64, Answer)> {
        let answers = self.queries.take_answers();
        self.counts.partial += answers.iter().filter(|(_, answer)| answer.partial).count() as u64;
        answers
    }

    /// When it wants to be called next.
    pub fn due(&self) -> Micros {
        let queries = self.queries.busy().then_some(self.sliced + SLICE);
        let pushes = self.replication.due(self.log.last());
        let unwritten = (self.anew || self.log.is_unwritten()).then_some(self.ticked + WRITES);
        let due = queries.into_iter().chain(unwritten).chain(pushes).chain(self.mesh.due()).min();
        due.map_or(self.looked + LOOK, |due| due.min(self.looked + LOOK))
    }

    /// A datagram that is this part's, by [`Index::accepts`].
    pub fn receive(&mut self, now: Micros, from: Rank, bytes: &[u8]) {
        let arrived = self.mesh.receive(now, from, bytes);
        if arrived.peer_restarted {
            self.replication.broken(from);
        }
        for message in arrived.messages {
            let size = message.len() as u64;
            match postcard::from_bytes(&message) {
                Ok(message) => self.told(now, from, message, size),
                Err(_) => self.counts.foreign += 1,
            }
        }
    }

    /// Whether a datagram is this part's.
    pub fn accepts(&self, bytes: &[u8]) -> bool {
        self.mesh.accepts(bytes)
    }

    fn told(&mut self, now: Micros, from: Rank, message: Message, size: u64) {
        match message {
            Message::Batch(batch) => {
                let own_lost = batch.log.owner == self.own && batch.log != self.log.id();
                if batch.log.owner != from && !own_lost {
                    self.counts.foreign += 1;
                    return;
                }
                let log = batch.log;
                let have = self.store.apply(now, from, batch);
                if log.owner == from {
                    self.replication.lives(from, log, &self.store);
                }
                self.send(now, from, &Message::Have(have));
            }
            Message::Have(have) => {
                if !self.replication.answered(from, &have, &self.log, now) {
                    // Somebody has what is not here: numbers of this life were lost, and would be used twice.
                    self.renew(now);
                    self.anew = !self.unkept;
                }
            }
            Message::Say(QueryMessage::Ask(asked)) => {
                let here = LocalLogs { log: &self.log, store: &self.store, span: self.span };
                self.queries.serve(now, from, asked, here);
                self.sliced = 0;
            }
            Message::Say(QueryMessage::Piece(piece)) => {
                self.queries.receive_result(now, from, piece, size);
                self.sliced = 0;
            }
        }
    }

    fn send(&mut self, now: Micros, to: Rank, message: &Message) -> bool {
        let sent = postcard::to_allocvec(message).is_ok_and(|bytes| self.mesh.send(now, to, &bytes).is_ok());
        self.counts.held_back += u64::from(!sent);
        sent
    }

    /// Does what is due, and sends it. [`Index::write`] must have been carried out just before.
    pub fn tick(&mut self, now: Micros, out: &mut Outgoing) {
        self.ticked = now;
        if now >= self.looked + LOOK {
            self.looked = now;
            self.log.age(now);
            self.store.age(now);
        }
        if self.queries.busy() && now >= self.sliced + SLICE {
            self.sliced = now;
            self.queries.step(now, LocalLogs { log: &self.log, store: &self.store, span: self.span });
        }
        for (to, say) in self.queries.take_messages() {
            self.send(now, to, &Message::Say(say));
        }
        // What a write is still due for is told later.
        if !self.anew && !self.log.is_unwritten() {
            for (to, batch) in self.replication.batches(now, &self.log, &self.store) {
                if !self.send(now, to, &Message::Batch(batch)) {
                    self.replication.broken(to);
                }
            }
        }
        self.mesh.flush(now, out);
        for lost in self.mesh.take_dropped_peers() {
            self.replication.broken(lost);
        }
    }

    /// For operators: what is here, how far, and what was sent.
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
                .map(|(log, copy)| ReplicaReport {
                    log: *log,
                    entries: copy.table.len(),
                    bytes: copy.table.bytes(),
                    upto: copy.reached.upto,
                    age_ms: now.saturating_sub(copy.reached.as_of) / 1_000,
                    known_since: copy.table.known_since(),
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
    /// Who.
    pub to: Rank,
    /// Of which log.
    pub log: LogId,
    /// What was sent last, if it answers.
    pub cursor: Option<u64>,
}

/// A copy that is held here.
#[derive(Debug, Clone, Serialize)]
pub struct ReplicaReport {
    /// Of which log.
    pub log: LogId,
    /// Messages.
    pub entries: usize,
    /// Their memory.
    pub bytes: usize,
    /// All is there up to this number,
    pub upto: u64,
    /// as of so long ago, by the owner's clock then and this one's now, milliseconds.
    pub age_ms: u64,
    /// Its horizon.
    pub known_since: Micros,
}

/// How the index stands.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The log that is written.
    pub log: LogId,
    /// Its last number.
    pub last: u64,
    /// Messages in it.
    pub entries: usize,
    /// Their memory.
    pub bytes: usize,
    /// What they take in the folder.
    pub folder_bytes: u64,
    /// What was taken on before may have been left out.
    pub known_since: Micros,
    /// Those that keep it.
    pub replicas: Vec<Rank>,
    /// How far they and others are told.
    pub receivers: Vec<Receiver>,
    /// A replica that has all hears so that often.
    pub beat_ms: u64,
    /// Copies of others' logs.
    pub copies: Vec<ReplicaReport>,
    /// Counts.
    pub counts: Counts,
    /// Datagrams of all channels of the index.
    pub datagrams: crate::mesh::Counts,
}
