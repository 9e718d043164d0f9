//! Takeover: accepted messages survive the loss of their sender. Each replicated message is known to two
//! other senders, its backups, and one of them takes it over once its owner's lease has expired. [`groups`]
//! decides ownership without looking at a clock; [`crate::channel`] carries the operations between senders;
//! this module has the leases, the choice of backups, and the limits.
//!
//! Sans I/O: time, randomness and datagrams are passed in. Datagrams may be sent only after changed durable
//! state is persisted.

pub mod groups;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::channel::{self, Channel};
use crate::interface::Micros;
use groups::{
    DurableState, GroupEvent, Item, MAX_ITEMS, MessageState, Op, Out, Rank, ReplicaGroupId, ReplicaGroups,
    Update,
};

/// Range of the lease, in milliseconds.
pub const LEASE_MS_RANGE: (u32, u32) = (200, 30_000);
/// Range of the maximum body size of a replicated message, in bytes.
pub const BODY_BYTES_RANGE: (u32, u32) = (0, 65_536);
/// Range of the memory for other senders' messages, in MB.
pub const ROOM_MB_RANGE: (u32, u32) = (1, 64);
/// A message with more time left is not replicated: backups keep nothing for longer than [`RETENTION`].
pub const MAX_MESSAGE_TIME: Micros = 60_000_000;
/// Time after which a backup drops a group that nobody came to own.
const RETENTION: Micros = 2 * MAX_MESSAGE_TIME;
/// Time for which a group accepts new messages.
const GROUP_OPEN_TIME: Micros = 5_000_000;
/// How long before the end of [`GROUP_OPEN_TIME`] the next group is opened.
const OPEN_AHEAD: Micros = 1_000_000;
/// Maximum number of groups backed up here.
const MAX_HELD_GROUPS: usize = 2_048;
/// Time for which a sender that failed to join a group as backup is not chosen again.
const EXCLUSION_TIME: Micros = 5_000_000;

/// The `takeover` section of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// A backup that has heard nothing from an owner for this long may take over its messages, in
    /// milliseconds.
    #[serde(default = "lease")]
    pub lease_ms: u32,
    /// Maximum body size of a replicated message, in bytes.
    #[serde(default = "body")]
    pub max_body: u32,
    /// Memory limit for other senders' messages, in MB.
    #[serde(default = "room")]
    pub room_mb: u32,
    /// The tier's name, which distinguishes tiers that were configured with the same addresses by mistake.
    #[serde(default)]
    pub tier: String,
}

fn lease() -> u32 {
    1_000
}

fn body() -> u32 {
    4_096
}

fn room() -> u32 {
    8
}

/// How suitable another sender is as a backup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackupFitness {
    /// On another host, in the same zone.
    Near,
    /// On another host.
    Far,
    /// On this host, or considered gone.
    Unfit,
}

/// Where a message is replicated. The journal has it before the backups do.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaTag {
    /// The message's group.
    #[serde(rename = "lot")]
    pub group: ReplicaGroupId,
    /// The owner's epoch.
    pub epoch: groups::Epoch,
    /// The message's index in the group.
    pub item: Item,
    /// The backups whose grant is needed, with the ids of their durable state, which change if they lose it.
    #[serde(rename = "sides")]
    pub backups: Vec<(Rank, u64)>,
}

/// Why a message is not replicated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotReplicated {
    /// This sender has no two backups at present.
    #[serde(rename = "no_covers")]
    NoBackups,
    /// The body is too long.
    Body,
    /// The deadline is too far away.
    Time,
}

/// Counters since the start of the process.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Messages replicated to backups.
    pub covered: u64,
    /// Messages not replicated, by reason.
    pub uncovered: BTreeMap<NotReplicated, u64>,
    /// Datagrams sent, and their bytes.
    pub sent: (u64, u64),
    /// Datagrams that were invalid, or not of the current channel.
    pub dropped: u64,
    /// Leases that expired.
    pub lapsed: u64,
    /// Groups of other senders that this one came to own.
    pub lots_taken: u64,
    /// Messages of those groups.
    pub adopted: u64,
    /// Messages that another sender came to own.
    pub lost: u64,
    /// Channels that were closed because their queue was full.
    pub broken: u64,
}

#[derive(Debug)]
struct Peer {
    channel: Channel,
    last_heard: Micros,
    /// When the groups that the peer's previous process left behind count as orphaned.
    orphans_at: Option<Micros>,
    /// The peer failed to join a group as backup, and is not chosen again until then.
    excluded_until: Micros,
}

#[derive(Debug, Clone, Copy)]
struct Current {
    group: ReplicaGroupId,
    backups: [Rank; 2],
    since: Micros,
    next: Item,
}

/// A sender's takeover component: replicates its own messages, and is a backup for those of others.
#[derive(Debug)]
pub struct Takeover {
    own: Rank,
    size: usize,
    tier: u32,
    config: Config,
    rng: fastrand::Rng,
    groups: ReplicaGroups,
    peers: BTreeMap<Rank, Peer>,
    fitness: Vec<BackupFitness>,
    /// The group that accepts new messages.
    current: Option<Current>,
    /// The group that will accept them next: its backups are still joining.
    next: Option<Current>,
    /// When each group that is backed up here was first seen.
    first_seen: BTreeMap<ReplicaGroupId, Micros>,
    leaving: bool,
    ticked_at: Micros,
    asked_at: Micros,
    confirmed_at: Micros,
    events: Vec<GroupEvent>,
    unsaved: bool,
    /// Counters for operators.
    pub counts: Counts,
}

impl Takeover {
    /// The component of the sender with rank `own` among `size`, with the durable state of its earlier
    /// processes.
    pub fn new(config: &Config, own: Rank, size: usize, seed: u64, state: DurableState, now: Micros) -> Self {
        Self {
            own,
            size,
            tier: crc32fast::hash(config.tier.as_bytes()) ^ size as u32,
            config: config.clone(),
            rng: fastrand::Rng::with_seed(seed),
            groups: ReplicaGroups::new(own, state),
            peers: BTreeMap::new(),
            fitness: vec![BackupFitness::Far; size],
            current: None,
            next: None,
            first_seen: BTreeMap::new(),
            leaving: false,
            ticked_at: now,
            asked_at: now,
            confirmed_at: now,
            events: Vec::new(),
            unsaved: false,
            counts: Counts::default(),
        }
    }

    /// The duration of a lease.
    pub fn lease(&self) -> Micros {
        Micros::from(self.config.lease_ms) * 1_000
    }

    /// The durable state, if it has changed since the last call; it must be persisted before anything is
    /// sent.
    pub fn take_unsaved_state(&mut self) -> Option<&DurableState> {
        std::mem::take(&mut self.unsaved).then(|| self.groups.durable_state())
    }

    /// The state that must outlive the process.
    pub fn durable_state(&self) -> &DurableState {
        self.groups.durable_state()
    }

    /// Takes the pending events, for the sender to handle.
    pub fn take_events(&mut self) -> Vec<GroupEvent> {
        std::mem::take(&mut self.events)
    }

    /// Sets how suitable the other senders are as backups, by rank.
    pub fn set_backup_fitness(&mut self, fitness: Vec<BackupFitness>) {
        self.fitness = fitness;
    }

    /// Stops replicating new messages while the sender leaves, or starts again.
    pub fn set_leaving(&mut self, now: Micros, leaving: bool) {
        self.leaving = leaving;
        if leaving {
            for group in [self.current.take(), self.next.take()].into_iter().flatten() {
                self.with(now, |groups, out| groups.seal(group.group, out));
            }
        }
    }

    fn peer(&mut self, rank: Rank, now: Micros) -> &mut Peer {
        let (tier, number) = (self.tier, self.rng.u64(1..));
        self.peers.entry(rank).or_insert_with(|| Peer {
            channel: Channel::new(channel::TAKEOVER, number, tier),
            last_heard: now,
            orphans_at: None,
            excluded_until: 0,
        })
    }

    /// Calls `act` on the groups, and passes on the effects.
    fn with<T>(&mut self, now: Micros, act: impl FnOnce(&mut ReplicaGroups, &mut Out) -> T) -> T {
        let mut out = Out::default();
        let done = act(&mut self.groups, &mut out);
        loop {
            let broken = self.queue(now, out);
            if broken.is_empty() {
                return done;
            }
            out = Out::default();
            for peer in broken {
                // Operations that cannot be sent in order are not sent at all: the new channel makes this
                // sender appear restarted to the peer.
                self.counts.broken += 1;
                let (number, tier) = (self.rng.u64(1..), self.tier);
                self.peer(peer, now).channel = Channel::new(channel::TAKEOVER, number, tier);
                self.groups.reset(peer, &mut out);
            }
        }
    }

    /// Queues operations and events; returns the peers whose channel is full.
    fn queue(&mut self, now: Micros, out: Out) -> BTreeSet<Rank> {
        self.unsaved |= out.persist;
        for event in out.events {
            match &event {
                GroupEvent::Adopt { items, .. } => {
                    self.counts.lots_taken += 1;
                    self.counts.adopted += items.len() as u64;
                }
                GroupEvent::Lost { items, .. } => self.counts.lost += items.len() as u64,
                GroupEvent::Granted { .. } | GroupEvent::Finished(..) | GroupEvent::SoleOwner(_) => {}
            }
            self.events.push(event);
        }
        let mut broken = BTreeSet::new();
        for (to, op) in out.ops {
            let challenge = self.rng.u32(1..);
            let Ok(bytes) = postcard::to_allocvec(&op) else { continue };
            let channel = &mut self.peer(to, now).channel;
            channel.greet(challenge);
            if !broken.contains(&to) && !channel.send(&bytes) {
                broken.insert(to);
            }
        }
        broken
    }

    /// Adds a message to the current group, if there is one. Nothing is sent before [`Takeover::replicate`].
    ///
    /// # Errors
    /// Returns why the message cannot be replicated.
    pub fn place(&mut self, body: usize, left: Micros) -> Result<ReplicaTag, NotReplicated> {
        let placed = self.try_place(body, left);
        match &placed {
            Ok(_) => self.counts.covered += 1,
            Err(why) => *self.counts.uncovered.entry(*why).or_default() += 1,
        }
        placed
    }

    /// Like [`Takeover::place`], for a message that was replicated before and is already counted.
    pub fn place_rereplicated(&mut self, body: usize, left: Micros) -> Option<ReplicaTag> {
        self.try_place(body, left).ok()
    }

    fn try_place(&mut self, body: usize, left: Micros) -> Result<ReplicaTag, NotReplicated> {
        if body > self.config.max_body as usize {
            return Err(NotReplicated::Body);
        }
        if left > MAX_MESSAGE_TIME {
            return Err(NotReplicated::Time);
        }
        let current = self.current.as_mut().filter(|c| c.next < MAX_ITEMS).ok_or(NotReplicated::NoBackups)?;
        let backups = self.groups.ready(current.group).ok_or(NotReplicated::NoBackups)?;
        let item = current.next;
        current.next += 1;
        Ok(ReplicaTag { group: current.group, epoch: 0, item, backups })
    }

    /// Replicates everything known of a message whose previous group nobody else can come to own. The record
    /// is sent last, since nobody adopts a message without one.
    pub fn replicate_all(&mut self, now: Micros, group: ReplicaGroupId, item: Item, known: &MessageState) {
        for (attempt, intended) in &known.attempts {
            let never = intended.never_ran.then_some(Update::NeverRan(*attempt));
            for update in std::iter::once(Update::Intent(*attempt)).chain(never) {
                self.with(now, |groups, out| groups.replicate((group, item), update, intended.at, out));
            }
        }
        let last =
            known.given_up.map(Update::GivenUp).into_iter().chain(known.record.clone().map(Update::Record));
        for update in last {
            self.replicate(now, group, item, update);
        }
    }

    /// Replicates an update of an owned message. Returns its number if a grant is needed; see
    /// [`ReplicaGroups::replicate`].
    pub fn replicate(
        &mut self,
        now: Micros,
        group: ReplicaGroupId,
        item: Item,
        update: Update,
    ) -> Option<u32> {
        self.with(now, |groups, out| groups.replicate((group, item), update, now, out))
    }

    /// Whether this sender owns the group, as far as it knows.
    pub fn owns(&self, group: ReplicaGroupId) -> bool {
        self.groups.owns(group)
    }

    /// Whether this sender owns the group and nobody else can come to own it.
    pub fn is_sole_owner(&self, group: ReplicaGroupId) -> bool {
        self.groups.is_sole_owner(group)
    }

    /// Restores the groups that an earlier process of this sender owned, from its journal's tags.
    pub fn resume(&mut self, now: Micros, tags: impl Iterator<Item = ReplicaTag>) {
        let mut groups: BTreeMap<ReplicaGroupId, (ReplicaTag, BTreeSet<Item>)> = BTreeMap::new();
        for tag in tags {
            let item = tag.item;
            groups.entry(tag.group).or_insert_with(|| (tag, BTreeSet::new())).1.insert(item);
        }
        for (group, (tag, open)) in groups {
            self.with(now, |groups, out| groups.resume(group, tag.epoch, &tag.backups, open, out));
        }
    }

    /// Handles a datagram of another sender.
    pub fn receive(&mut self, now: Micros, from: Rank, bytes: &[u8]) {
        if from == self.own || usize::from(from) >= self.size {
            self.counts.dropped += 1;
            return;
        }
        let challenge = self.rng.u32(1..);
        let lease = self.lease();
        let peer = self.peer(from, now);
        let received = peer.channel.receive(now, bytes, challenge);
        if received.heard {
            peer.last_heard = now;
        }
        if received.peer_restarted {
            peer.orphans_at = Some(now + lease);
        }
        self.counts.dropped += u64::from(received.dropped);
        if received.heard {
            self.groups.peer_heard(from);
        }
        if received.peer_restarted {
            self.with(now, |groups, out| groups.reset(from, out));
        }
        for message in received.messages {
            match postcard::from_bytes::<Op>(&message) {
                Ok(op) => self.with(now, |groups, out| groups.receive(from, op, out)),
                Err(_) => self.counts.dropped += 1,
            }
        }
    }

    /// When it next needs a tick or a flush.
    pub fn due(&self) -> Micros {
        let channels = self.peers.values().filter_map(|peer| peer.channel.due());
        channels.min().unwrap_or(Micros::MAX).min(self.next_tick_at())
    }

    /// When leases and backups are checked next.
    pub fn next_tick_at(&self) -> Micros {
        self.ticked_at + self.lease() / 10
    }

    /// Checks leases and backups, if that is due.
    pub fn tick(&mut self, now: Micros) {
        if now < self.next_tick_at() {
            return;
        }
        if now > self.ticked_at + self.lease() / 2 {
            // This process itself was paused: the silence of others means nothing.
            self.peers.values_mut().for_each(|peer| peer.last_heard = now);
        }
        self.ticked_at = now;
        self.check_leases(now);
        if now >= self.asked_at + self.lease() {
            self.asked_at = now;
            self.with(now, |groups, out| groups.retry_asks(out));
        }
        if now >= self.confirmed_at + self.lease() / 2 {
            self.confirmed_at = now;
            self.with(now, |groups, out| groups.confirm_up_to_date(now, out));
        }
        self.expire(now);
        self.rotate_groups(now);
    }

    fn check_leases(&mut self, now: Micros) {
        let lease = self.lease();
        for rank in self.groups.relevant_peers() {
            let challenge = self.rng.u32(1..);
            let peer = self.peer(rank, now);
            peer.channel.greet(challenge);
            if now >= peer.channel.last_sent() + lease / 5 {
                peer.channel.ping();
            }
            let silent = now >= peer.last_heard + lease;
            if peer.orphans_at.is_some_and(|at| now >= at) {
                peer.orphans_at = None;
                self.with(now, |groups, out| groups.orphaned(rank, out));
            }
            if silent {
                let new = self.with(now, |groups, out| groups.lease_expired(rank, out));
                if new {
                    self.counts.lapsed += 1;
                    self.with(now, |groups, out| groups.backup_lost(rank, out));
                }
            }
        }
    }

    fn expire(&mut self, now: Micros) {
        let held: BTreeSet<ReplicaGroupId> = self.groups.held_groups().map(|(group, _)| group).collect();
        self.first_seen.retain(|group, _| held.contains(group));
        for group in held.iter().copied() {
            let first_seen = *self.first_seen.entry(group).or_insert(now);
            if now > first_seen + RETENTION {
                self.groups.expire(group);
            }
        }
        let full = self.groups.bytes() > self.config.room_mb as usize * 1_000_000;
        self.groups.set_full(full || held.len() > MAX_HELD_GROUPS);
    }

    /// Keeps a group open whose backups are reachable, and opens the next one in time.
    fn rotate_groups(&mut self, now: Micros) {
        let lease = self.lease();
        let usable = |peers: &BTreeMap<Rank, Peer>, groups: &ReplicaGroups, current: &Current| {
            let heard_recently =
                |rank: &Rank| peers.get(rank).is_some_and(|peer| now < peer.last_heard + lease / 2);
            current.backups.iter().all(heard_recently) && groups.ready(current.group).is_some()
        };
        if let Some(current) = self.current
            && (!usable(&self.peers, &self.groups, &current) || now > current.since + GROUP_OPEN_TIME)
        {
            self.current = None;
            self.with(now, |groups, out| groups.seal(current.group, out));
        }
        if let Some(next) = self.next {
            let fresh = self
                .current
                .is_some_and(|c| now < c.since + GROUP_OPEN_TIME - OPEN_AHEAD && c.next < MAX_ITEMS / 4 * 3);
            if self.groups.ready(next.group).is_some() && !fresh {
                if let Some(before) = self.current.replace(Current { since: now, ..next }) {
                    self.with(now, |groups, out| groups.seal(before.group, out));
                }
                self.next = None;
            } else if now > next.since + lease && self.groups.ready(next.group).is_none() {
                for rank in next.backups {
                    let peer = self.peer(rank, now);
                    if !peer.channel.is_up() || now >= peer.last_heard + lease / 2 {
                        peer.excluded_until = now + EXCLUSION_TIME;
                    }
                }
                self.next = None;
                self.with(now, |groups, out| groups.seal(next.group, out));
            }
        }
        if self.next.is_none() && !self.leaving {
            self.open(now);
        }
    }

    fn open(&mut self, now: Micros) {
        let group = ReplicaGroupId { owner: self.own, number: self.rng.u64(..) };
        // Rendezvous hashing (Thaler and Ravishankar, 1998) spreads groups over the tier, near backups first.
        let score = |rank: Rank| {
            let mut key = group.number.to_le_bytes().to_vec();
            key.extend(rank.to_le_bytes());
            crc32fast::hash(&key)
        };
        let mut all: Vec<(bool, u32, Rank)> = (0..self.size as Rank)
            .filter(|rank| {
                *rank != self.own && self.fitness.get(usize::from(*rank)) != Some(&BackupFitness::Unfit)
            })
            .filter(|rank| self.peers.get(rank).is_none_or(|peer| now >= peer.excluded_until))
            .map(|rank| {
                (self.fitness.get(usize::from(rank)) != Some(&BackupFitness::Near), score(rank), rank)
            })
            .collect();
        all.sort_unstable();
        let Some(first) = all.first().copied() else { return };
        // The second backup is far if possible, so that the loss of a zone takes only one of them.
        let far = all.iter().skip(1).find(|other| other.0).or(all.get(1)).copied();
        let Some(second) = far else { return };
        let backups = [first.2, second.2];
        self.next = Some(Current { group, backups, since: now, next: 0 });
        self.with(now, |groups, out| groups.open(group, backups, out));
    }

    /// Collects the datagrams to send now. [`Takeover::take_unsaved_state`] must be called, and its result
    /// persisted, first.
    pub fn flush(&mut self, now: Micros, out: &mut Vec<(Rank, Vec<u8>)>) {
        for (rank, peer) in &mut self.peers {
            peer.channel.flush(now, &mut |bytes| {
                self.counts.sent.0 += 1;
                self.counts.sent.1 += bytes.len() as u64;
                out.push((*rank, bytes));
            });
        }
    }

    /// What is held here for other senders: groups, messages, bytes.
    pub fn held_for_others(&self) -> (usize, usize, usize) {
        let groups: Vec<_> = self.groups.held_groups().collect();
        (groups.len(), groups.iter().map(|(_, owed)| owed).sum(), self.groups.bytes())
    }

    /// The current backups, and how long ago each was heard.
    pub fn current_backups(&self, now: Micros) -> Vec<(Rank, Micros)> {
        let current = self.current.iter().flat_map(|current| current.backups);
        current
            .map(|rank| (rank, self.peers.get(&rank).map_or(0, |p| now.saturating_sub(p.last_heard))))
            .collect()
    }
}
