//! Ownership of replica groups and its transfer: the safety-critical core of takeover.
//!
//! A replica group is a set of messages accepted by one sender, its owner at epoch 0, and known to two other
//! senders, its backups. Safety rests on two quorums:
//!
//! - An owner begins a call that must not happen twice only after one backup has granted its *intent* at the
//!   owner's epoch.
//! - A backup becomes the owner only after *both* backups have promised its higher epoch; each of them then
//!   has everything that either knew.
//!
//! A backup that has promised an epoch grants nothing at a lower one. The next owner of the group therefore
//! knows of every intent that was granted before, and none is granted afterwards. This is the quorum
//! intersection of Viewstamped Replication (Oki and Liskov, 1988) and Paxos (Lamport, 1998), with ballots
//! over a fixed membership. The replicated data is a grow-only set of updates, so no order of operations has
//! to be agreed on.
//!
//! This module reads neither a clock nor the membership view: the expiry of a peer's lease is reported from
//! outside, at any moment, and possibly wrongly. Operations arrive over a channel that preserves their order
//! and delivers none twice; when one side restarts, the channel may lose everything in flight, which
//! [`ReplicaGroups::reset`] reports.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// A sender, as its index in the tier's list.
pub type Rank = u16;
/// Ownership epoch of a group: 0 belongs to the sender that opened it, later ones alternate between the
/// backups.
pub type Epoch = u32;
/// Index of a message within its group.
pub type Item = u32;

/// Maximum number of messages in a group.
pub const MAX_ITEMS: u32 = 128;
/// Maximum number of stored promises; see [`DurableState`].
pub const MAX_PROMISES: usize = 4_096;

/// Identifies a replica group; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaGroupId {
    /// The sender that opened the group.
    pub owner: Rank,
    /// Unique among that sender's groups, across all its processes.
    pub number: u64,
}

/// A final outcome that the platform has yet to be notified of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum GivenUp {
    /// Refused; the value is the suggested time to wait before a retry, in microseconds.
    Deferred(Micros),
    /// Failed.
    Undeliverable,
}

/// A statement about a message that never becomes false again.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Update {
    /// The message itself, opaque to this module.
    Record(Vec<u8>),
    /// This attempt may run from now on.
    Intent(u16),
    /// This attempt is known not to have run, and never will.
    NeverRan(u16),
    /// The message has this final outcome, and the platform must be notified.
    GivenUp(GivenUp),
    /// The message is finished: nothing is owed any more.
    Over,
}

/// An attempt whose intent was recorded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Time of the intent, by its owner's clock.
    pub at: Micros,
    /// The attempt is known not to have run.
    pub never_ran: bool,
}

/// All updates about a message, merged. The merge is a join: neither order nor repetition matters.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MessageState {
    /// The message itself, once received.
    pub record: Option<Vec<u8>>,
    /// Its attempts, by number.
    pub attempts: BTreeMap<u16, Attempt>,
    /// Its final outcome, while the platform may not have been notified.
    pub given_up: Option<GivenUp>,
    /// The message is finished: nothing is owed any more.
    pub over: bool,
}

impl MessageState {
    fn learn(&mut self, fact: Update, at: Micros) {
        match fact {
            Update::Record(record) if !self.over => self.record = Some(record),
            Update::Record(_) => {}
            Update::Intent(attempt) => {
                self.attempts.entry(attempt).or_insert(Attempt { at, never_ran: false });
            }
            Update::NeverRan(attempt) => {
                self.attempts.entry(attempt).or_insert(Attempt { at, never_ran: true }).never_ran = true;
            }
            Update::GivenUp(end) => self.given_up = self.given_up.max(Some(end)),
            Update::Over => (self.over, self.record) = (true, None),
        }
    }

    fn join(&mut self, other: Self) {
        if other.over {
            self.learn(Update::Over, 0);
        }
        if let Some(record) = other.record {
            self.learn(Update::Record(record), 0);
        }
        for (attempt, other) in other.attempts {
            let known = self.attempts.entry(attempt).or_insert(other);
            known.never_ran |= other.never_ran;
            known.at = known.at.min(other.at);
        }
        self.given_up = self.given_up.max(other.given_up);
    }

    /// Whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.values().any(|attempt| !attempt.never_ran)
    }
}

/// A message of the protocol between senders.
#[expect(missing_docs, reason = "the fields are explained by their types and by the variant's comment")]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Op {
    /// The writer owns this group; the receiver is one of its backups.
    Open {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
        covers: [Rank; 2],
    },
    /// The writer now backs up the group; `memory` identifies its durable state.
    Opened {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
        memory: u64,
    },
    /// The writer, the owner at this epoch, replicates an update: its `n`th, counted from 1.
    Tell {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
        epoch: Epoch,
        n: u32,
        item: Item,
        fact: Update,
        at: Micros,
    },
    /// The writer, the first owner, had sent all its updates at this time of its clock.
    Still {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
        at: Micros,
    },
    /// The writer has all updates up to the `upto`th, at this epoch.
    Granted {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
        epoch: Epoch,
        upto: u32,
    },
    /// The writer has promised a higher epoch, or does not know the group: nothing is granted.
    Fenced {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
        epoch: Epoch,
    },
    /// The writer, a backup, no longer hears the owner.
    Poll {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
    },
    /// What the writer, a backup, knows of a message.
    State {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
        item: Item,
        known: MessageState,
    },
    /// The writer wants to own the group at this epoch, and has sent everything it knows.
    Prepare {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
        epoch: Epoch,
        heard: Micros,
    },
    /// The writer grants nothing below this epoch from now on, and has sent everything it knows.
    Promise {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
        epoch: Epoch,
        memory: u64,
        heard: Micros,
    },
    /// The writer owns the group at this epoch, and with it these messages. Of any other message of the
    /// group, nobody but the receiver knows or will know.
    Taken {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
        epoch: Epoch,
        items: Vec<Item>,
    },
    /// The writer owned the group at this epoch while the receiver's durable state had this id. May it
    /// continue without backups?
    Ask {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
        epoch: Epoch,
        memory: u64,
    },
    /// It may: the writer has closed the group, and nobody has owned it since or will.
    Closed {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
        epoch: Epoch,
    },
    /// The writer cannot tell.
    Unknown {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
    },
    /// Nothing is owed in the group any more.
    Drop {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
    },
}

/// An event for the surrounding sender, to act on or to take note of.
#[expect(missing_docs, reason = "the fields are explained by their types and by the variant's comment")]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GroupEvent {
    /// All updates of an owned group up to this one are granted.
    Granted { group: ReplicaGroupId, upto: u32 },
    /// This sender owns the group at this epoch, and with it these messages. `backups` are the backups whose
    /// grant it needs, with the ids of their durable state. Attempts of the first owner that no backup knows
    /// of began at `heard` of its clock or later.
    Adopt {
        group: ReplicaGroupId,
        epoch: Epoch,
        backups: Vec<(Rank, u64)>,
        last_heard: Micros,
        items: Vec<(Item, MessageState)>,
    },
    /// Another sender owns these messages: this one must do nothing more for them. The rest of the group is
    /// granted.
    Lost { group: ReplicaGroupId, items: BTreeSet<Item> },
    /// A message of an owned group is finished, as reported by an earlier owner.
    Finished(ReplicaGroupId, Item),
    /// Nobody else can come to own what is left in the group: it may be replicated again.
    SoleOwner(ReplicaGroupId),
}

/// State that outlives the process, persisted before any operation that depends on it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// Drawn at random whenever promises may have been lost.
    pub id: u64,
    /// The highest promised epoch above 0, by group.
    pub promises: BTreeMap<ReplicaGroupId, Epoch>,
}

impl DurableState {
    /// Maximum disk usage in bytes, old and new file together.
    pub const MAX_BYTES: u64 = 2 * 32 * MAX_PROMISES as u64;
}

/// A backup's role in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Role {
    /// The sender that opened the group owns it.
    Covering,
    /// It has promised an epoch of its own, and waits for the other backup.
    Candidate,
    /// It has promised the other backup's epoch, and has everything that one knew.
    Promised,
    /// It owns the group.
    Owner,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Cover {
    other: Rank,
    /// Which of the two backups it is: one uses odd epochs, the other even ones.
    second: bool,
    promised: Epoch,
    role: Role,
    /// The other backup no longer hears the owner.
    polled: bool,
    /// The owning process has ended; its successor may ask about the group.
    forgot: bool,
    /// The first owner's clock when it sent its latest operation that reached this backup or the other one.
    heard: Micros,
    items: BTreeMap<Item, MessageState>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Side {
    rank: Rank,
    memory: Option<u64>,
    fenced: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Owned {
    epoch: Epoch,
    backups: Vec<Side>,
    /// Number of updates replicated.
    told: u32,
    /// Nobody else can own the group any more.
    alone: bool,
    /// Messages that are still owed.
    open: BTreeSet<Item>,
    /// No further message is added to the group.
    sealed: bool,
}

/// All replica groups that a sender owns or backs up.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReplicaGroups {
    own: Rank,
    memory: DurableState,
    covers: BTreeMap<ReplicaGroupId, Cover>,
    owned: BTreeMap<ReplicaGroupId, Owned>,
    /// Peers whose lease has expired.
    lapsed: BTreeSet<Rank>,
    /// The capacity for further groups and records is exhausted.
    full: bool,
}

/// The effects of a call, in order. `ops` may be sent only after [`ReplicaGroups::durable_state`], if it changed, is
/// persisted.
#[derive(Debug, Default)]
pub struct Out {
    /// Operations to send over the channels.
    pub ops: Vec<(Rank, Op)>,
    /// Events for the sender.
    pub said: Vec<GroupEvent>,
    /// [`ReplicaGroups::durable_state`] has changed and must be persisted.
    pub remember: bool,
}

impl Out {
    fn op(&mut self, to: Rank, op: Op) {
        // A grant is cumulative: it replaces the one before it.
        if let Op::Granted { group, epoch, .. } = &op
            && let Some((last, Op::Granted { group: l, epoch: e, .. })) = self.ops.last()
            && (*last, l, e) == (to, group, epoch)
        {
            self.ops.pop();
        }
        self.ops.push((to, op));
    }
}

impl ReplicaGroups {
    /// A sender without groups, with the durable state of its earlier processes.
    pub fn new(own: Rank, memory: DurableState) -> Self {
        Self {
            own,
            memory,
            covers: BTreeMap::new(),
            owned: BTreeMap::new(),
            lapsed: BTreeSet::new(),
            full: false,
        }
    }

    /// The state that must outlive the process.
    pub fn durable_state(&self) -> &DurableState {
        &self.memory
    }

    /// Opens a group. Messages can be added once it is [`ReplicaGroups::ready`].
    pub fn open(&mut self, group: ReplicaGroupId, covers: [Rank; 2], out: &mut Out) {
        let side = |rank| Side { rank, memory: None, fenced: false };
        let backups = covers.map(side).to_vec();
        let open = BTreeSet::new();
        self.owned.insert(group, Owned { epoch: 0, backups, told: 0, alone: false, open, sealed: false });
        for rank in covers {
            out.op(rank, Op::Open { group, covers });
        }
    }

    /// The backups and the ids of their durable state, once both have joined and while the group accepts
    /// messages.
    pub fn ready(&self, group: ReplicaGroupId) -> Option<Vec<(Rank, u64)>> {
        let owned = self.owned.get(&group).filter(|owned| !owned.sealed && !owned.alone)?;
        let backups =
            owned.backups.iter().map(|side| Some((side.rank, side.memory.filter(|_| !side.fenced)?)));
        backups.collect()
    }

    /// Restores a group that an earlier process of this sender owned at that epoch, with its messages that
    /// are still owed. Nothing in it is granted until a backup confirms that nobody else has owned it since.
    pub fn resume(
        &mut self,
        group: ReplicaGroupId,
        epoch: Epoch,
        backups: &[(Rank, u64)],
        open: BTreeSet<Item>,
        out: &mut Out,
    ) {
        let side = |(rank, memory): &(Rank, u64)| Side {
            rank: *rank,
            memory: Some(*memory),
            // The backup grants nothing to a process that it does not know.
            fenced: true,
        };
        let alone = backups.is_empty();
        let backups = backups.iter().map(side).collect();
        self.owned.insert(group, Owned { epoch, backups, told: 0, alone, open, sealed: true });
        self.ask(group, None, out);
    }

    /// Closes the groups opened here that lost this backup, since the other one alone could not come to own
    /// them. Once closed, their messages can be replicated again.
    pub fn retire(&mut self, gone: Rank, out: &mut Out) {
        let of = |owned: &Owned| {
            owned.epoch == 0 && !owned.alone && owned.backups.iter().any(|side| side.rank == gone)
        };
        for group in self.owned.iter().filter(|(_, o)| of(o)).map(|(group, _)| *group).collect::<Vec<_>>() {
            if let Some(owned) = self.owned.get_mut(&group) {
                owned.sealed = true;
            }
            self.ask(group, None, out);
            self.end_if_over(group, out);
        }
    }

    /// Asks the backups again about groups that are fenced at all of them: may this sender continue alone?
    pub fn ask_again(&mut self, out: &mut Out) {
        let stuck = self.owned.iter().filter(|(_, o)| !o.alone && o.backups.iter().all(|side| side.fenced));
        for group in stuck.map(|(group, _)| *group).collect::<Vec<_>>() {
            self.ask(group, None, out);
        }
    }

    fn ask(&self, group: ReplicaGroupId, only: Option<Rank>, out: &mut Out) {
        let Some(owned) = self.owned.get(&group).filter(|owned| !owned.alone) else { return };
        for side in owned.backups.iter().filter(|side| only.is_none_or(|rank| rank == side.rank)) {
            if let Some(memory) = side.memory {
                out.op(side.rank, Op::Ask { group, epoch: owned.epoch, memory });
            }
        }
    }

    /// Stops adding messages to an owned group; it ends when its last message is finished.
    pub fn seal(&mut self, group: ReplicaGroupId, out: &mut Out) {
        if let Some(owned) = self.owned.get_mut(&group) {
            owned.sealed = true;
            self.end_if_over(group, out);
        }
    }

    /// Replicates an update of an owned group to its backups. Returns the update's number if it has to be
    /// granted first, which [`GroupEvent::Granted`] reports; `None` if it needs no grant, or if the group is not
    /// owned.
    pub fn replicate(
        &mut self,
        (group, item): (ReplicaGroupId, Item),
        fact: Update,
        at: Micros,
        out: &mut Out,
    ) -> Option<u32> {
        let owned = self.owned.get_mut(&group)?;
        match fact {
            Update::Record(_) => drop(owned.open.insert(item)),
            Update::Over => drop(owned.open.remove(&item)),
            _ => {}
        }
        let over = fact == Update::Over;
        owned.told += 1;
        let (n, epoch) = (owned.told, owned.epoch);
        if !owned.alone {
            for side in owned.backups.iter().filter(|side| !side.fenced) {
                out.op(side.rank, Op::Tell { group, epoch, n, item, fact: fact.clone(), at });
            }
        }
        // A message that another sender took over is granted nothing, even if nobody else can own the rest.
        let lost = matches!(fact, Update::Intent(_)) && !owned.open.contains(&item);
        let waits = (!owned.alone || lost).then_some(n);
        if let Some(cover) = self.covers.get_mut(&group) {
            cover.items.entry(item).or_default().learn(fact, at);
        }
        if over {
            self.end_if_over(group, out);
        }
        waits
    }

    /// Confirms to the backups of the groups opened here that no update is missing up to `at`.
    pub fn still(&mut self, at: Micros, out: &mut Out) {
        for (group, owned) in
            self.owned.iter().filter(|(_, o)| o.epoch == 0 && !o.alone && !o.open.is_empty())
        {
            for side in owned.backups.iter().filter(|side| !side.fenced) {
                out.op(side.rank, Op::Still { group: *group, at });
            }
        }
    }

    fn end_if_over(&mut self, group: ReplicaGroupId, out: &mut Out) {
        let Some(owned) = self.owned.get(&group).filter(|owned| owned.sealed && owned.open.is_empty()) else {
            return;
        };
        for side in &owned.backups {
            out.op(side.rank, Op::Drop { group });
        }
        // The backup's state stays until it expires, so that a former owner that asks learns of the takeover.
        self.owned.remove(&group);
    }

    /// Records that a peer's lease has expired, and returns whether it was valid until now. May be called at
    /// any time, and may be wrong.
    pub fn lapse(&mut self, peer: Rank, out: &mut Out) -> bool {
        let new = self.lapsed.insert(peer);
        if new {
            self.without(peer, |_| true, out);
        }
        new
    }

    /// Takes over the groups that a peer's restart left without an owner. Called one lease after
    /// [`ReplicaGroups::reset`]: the new process knows nothing of the groups that it has not asked about by then.
    pub fn orphaned(&mut self, peer: Rank, out: &mut Out) {
        self.without(peer, |cover| cover.forgot, out);
    }

    fn without(&mut self, peer: Rank, which: impl Fn(&Cover) -> bool, out: &mut Out) {
        let groups: Vec<ReplicaGroupId> =
            self.covers.iter().filter(|(_, c)| which(c)).map(|(group, _)| *group).collect();
        for group in groups {
            let Some(cover) = self.covers.get(&group) else { continue };
            match cover.role {
                Role::Covering if group.owner == peer && cover.polled => self.stand(group, out),
                Role::Covering if group.owner == peer => out.op(cover.other, Op::Poll { group }),
                // This backup has everything the other one knew, and the other one needs its grants, which
                // end here.
                Role::Promised if cover.other == peer => {
                    self.promise_own(group, out);
                    self.adopt(group, Vec::new(), out);
                }
                _ => {}
            }
        }
    }

    /// Records that a peer was heard again.
    pub fn heard(&mut self, peer: Rank) {
        self.lapsed.remove(&peer);
    }

    /// Promises this backup's own next epoch, and returns it. Sends nothing.
    fn promise_own(&mut self, group: ReplicaGroupId, out: &mut Out) -> Epoch {
        let Some(cover) = self.covers.get_mut(&group) else { return 0 };
        let next = cover.promised + 1;
        cover.promised = if (next % 2 == 0) == cover.second { next } else { next + 1 };
        let promised = cover.promised;
        self.remember(group, promised, out);
        promised
    }

    fn remember(&mut self, group: ReplicaGroupId, epoch: Epoch, out: &mut Out) {
        self.memory.promises.insert(group, epoch);
        if self.memory.promises.len() > MAX_PROMISES {
            // The new id makes questions about the evicted promise be answered with "unknown".
            self.memory.promises.pop_first();
            self.memory.id = self.memory.id.wrapping_add(1);
        }
        out.remember = true;
    }

    /// Starts a candidacy for ownership, or repeats it at a higher epoch.
    fn stand(&mut self, group: ReplicaGroupId, out: &mut Out) {
        let epoch = self.promise_own(group, out);
        let Some(cover) = self.covers.get_mut(&group) else { return };
        cover.role = Role::Candidate;
        let to = cover.other;
        for (item, known) in &cover.items {
            out.op(to, Op::State { group, item: *item, known: known.clone() });
        }
        let heard = cover.heard;
        out.op(to, Op::Prepare { group, epoch, heard });
    }

    /// Makes this sender the group's owner. `backups` are the backups whose grant it needs.
    fn adopt(&mut self, group: ReplicaGroupId, backups: Vec<Side>, out: &mut Out) {
        let Some(cover) = self.covers.get_mut(&group) else { return };
        cover.role = Role::Owner;
        let (epoch, alone, heard) = (cover.promised, backups.is_empty(), cover.heard);
        let owed = cover.items.iter().filter(|(_, known)| !known.over && known.record.is_some());
        let items: Vec<(Item, MessageState)> = owed.map(|(item, known)| (*item, known.clone())).collect();
        let open = items.iter().map(|(item, _)| *item).collect();
        let told = backups.iter().filter_map(|side| Some((side.rank, side.memory?))).collect();
        let owned = Owned { epoch, backups, told: 0, alone, open, sealed: true };
        self.owned.insert(group, owned);
        let taken = Op::Taken { group, epoch, items: cover.items.keys().copied().collect() };
        let other = cover.other;
        for owner in [Some(group.owner), Some(other).filter(|_| alone)].into_iter().flatten() {
            out.op(owner, taken.clone());
        }
        out.said.push(GroupEvent::Adopt { group, epoch, backups: told, last_heard: heard, items });
        // The other backup is asked to close the group, so that its messages can be replicated again to two
        // live backups.
        self.ask(group, None, out);
        self.end_if_over(group, out);
    }

    /// Handles a peer's restart: everything in flight between the two is lost, and the peer has no groups any
    /// more.
    pub fn reset(&mut self, peer: Rank, out: &mut Out) {
        let owned: Vec<ReplicaGroupId> = self.owned.keys().copied().collect();
        for group in owned {
            let Some(owned) = self.owned.get_mut(&group) else { continue };
            let Some(side) = owned.backups.iter_mut().find(|side| side.rank == peer) else { continue };
            side.fenced = true;
            owned.sealed = true;
            self.ask(group, Some(peer), out);
        }
        // The other backup has lost the group: nobody can come to own it any more.
        let hopeless = |c: &Cover| c.other == peer && matches!(c.role, Role::Covering | Role::Candidate);
        self.covers.retain(|_, cover| !hopeless(cover));
        for (group, cover) in &mut self.covers {
            cover.forgot |= match cover.role {
                Role::Covering => group.owner == peer,
                Role::Promised => cover.other == peer,
                Role::Candidate | Role::Owner => false,
            };
        }
    }

    /// Drops a group that this sender backs up: the deadlines of its messages have long passed.
    pub fn expire(&mut self, group: ReplicaGroupId) {
        if !self.owned.contains_key(&group) {
            self.covers.remove(&group);
        }
    }

    /// Sets whether the capacity is exhausted: a full backup refuses further groups and records, but drops
    /// none.
    pub fn set_full(&mut self, full: bool) {
        self.full = full;
    }

    /// Total size of the stored records, in bytes.
    pub fn bytes(&self) -> usize {
        let known = self.covers.values().flat_map(|cover| cover.items.values());
        known.map(|known| known.record.as_ref().map_or(0, Vec::len)).sum()
    }

    /// The groups that are backed up here, each with its number of owed messages.
    pub fn covering(&self) -> impl Iterator<Item = (ReplicaGroupId, usize)> + '_ {
        let owed = |cover: &Cover| cover.items.values().filter(|known| !known.over).count();
        let others = self.covers.iter().filter(|(group, _)| !self.owned.contains_key(group));
        others.map(move |(group, cover)| (*group, if cover.role == Role::Owner { 0 } else { owed(cover) }))
    }

    /// Peers whose leases matter here: backups of owned groups, and owners and other backups of backed-up
    /// groups.
    pub fn concerns(&self) -> BTreeSet<Rank> {
        let owned = self.owned.values().flat_map(|owned| owned.backups.iter().map(|side| side.rank));
        let covers = self.covers.iter().filter(|(_, cover)| cover.role != Role::Owner);
        let covered = covers.flat_map(|(group, cover)| [group.owner, cover.other]);
        owned.chain(covered).filter(|rank| *rank != self.own).collect()
    }

    /// Whether this sender owns the group and nobody else can come to own it.
    pub fn is_sole_owner(&self, group: ReplicaGroupId) -> bool {
        self.owned.get(&group).is_some_and(|owned| owned.alone)
    }

    /// Whether this sender owns the group, as far as it knows.
    pub fn owns(&self, group: ReplicaGroupId) -> bool {
        self.owned.contains_key(&group)
    }

    /// Handles an operation of another sender.
    pub fn receive(&mut self, from: Rank, op: Op, out: &mut Out) {
        match op {
            Op::Open { group, covers } => self.opened(from, group, covers, out),
            Op::Opened { group, memory } => {
                let owned = self.owned.get_mut(&group).filter(|owned| owned.epoch == 0);
                if let Some(side) = owned.and_then(|o| o.backups.iter_mut().find(|side| side.rank == from)) {
                    side.memory = Some(memory);
                }
            }
            Op::Tell { group, epoch, n, item, fact, at } => {
                self.told(from, (group, epoch, n), item, (fact, at), out);
            }
            Op::Still { group, at } => {
                let covering = |cover: &&mut Cover| cover.role == Role::Covering && group.owner == from;
                if let Some(cover) = self.covers.get_mut(&group).filter(covering) {
                    cover.heard = cover.heard.max(at);
                }
            }
            Op::Granted { group, epoch, upto } => {
                let Some(owned) = self.owned.get_mut(&group).filter(|owned| owned.epoch == epoch) else {
                    return;
                };
                if owned.backups.iter().any(|side| side.rank == from && !side.fenced) {
                    out.said.push(GroupEvent::Granted { group, upto });
                }
            }
            Op::Fenced { group, epoch } => {
                let Some(owned) = self.owned.get_mut(&group).filter(|owned| owned.epoch == epoch) else {
                    return;
                };
                if let Some(side) = owned.backups.iter_mut().find(|side| side.rank == from) {
                    side.fenced = true;
                }
                owned.sealed = true;
            }
            Op::Poll { group } => {
                let Some(cover) = self.covers.get_mut(&group).filter(|cover| cover.other == from) else {
                    return;
                };
                cover.polled = true;
                let lapsed = self.lapsed.contains(&group.owner) || cover.forgot;
                if cover.role == Role::Candidate || cover.role == Role::Covering && lapsed {
                    self.stand(group, out);
                }
            }
            Op::State { group, item, known } => {
                if let Some(cover) = self.covers.get_mut(&group).filter(|cover| cover.other == from) {
                    cover.items.entry(item).or_default().join(known);
                }
            }
            Op::Prepare { group, epoch, heard } => self.prepared(from, group, epoch, heard, out),
            Op::Promise { group, epoch, memory, heard } => {
                let won = |cover: &&mut Cover| {
                    cover.other == from && cover.role == Role::Candidate && cover.promised == epoch
                };
                if let Some(cover) = self.covers.get_mut(&group).filter(won) {
                    cover.heard = cover.heard.max(heard);
                    let side = Side { rank: from, memory: Some(memory), fenced: false };
                    self.adopt(group, vec![side], out);
                }
            }
            Op::Taken { group, epoch, items } => {
                let Some(owned) = self.owned.get_mut(&group).filter(|o| o.epoch < epoch && !o.alone) else {
                    return;
                };
                (owned.alone, owned.sealed) = (true, true);
                let items: BTreeSet<Item> =
                    items.into_iter().filter(|item| owned.open.remove(item)).collect();
                let upto = owned.told;
                out.said.push(GroupEvent::Lost { group, items });
                out.said.push(GroupEvent::Granted { group, upto });
                out.said.push(GroupEvent::SoleOwner(group));
                self.end_if_over(group, out);
            }
            Op::Ask { group, epoch, memory } => self.asked(from, group, epoch, memory, out),
            Op::Closed { group, epoch } => {
                let Some(owned) = self.owned.get_mut(&group).filter(|owned| owned.epoch == epoch) else {
                    return;
                };
                owned.alone = true;
                out.said.push(GroupEvent::Granted { group, upto: owned.told });
                out.said.push(GroupEvent::SoleOwner(group));
            }
            Op::Unknown { .. } => {}
            Op::Drop { group } => {
                let owner = |cover: &Cover| match cover.role {
                    Role::Covering => from == group.owner,
                    Role::Promised => from == cover.other,
                    _ => false,
                };
                if self.covers.get(&group).is_some_and(owner) {
                    self.covers.remove(&group);
                }
            }
        }
    }

    fn opened(&mut self, from: Rank, group: ReplicaGroupId, covers: [Rank; 2], out: &mut Out) {
        let second = covers[1] == self.own;
        let other = covers[usize::from(!second)];
        let sound = group.owner == from && covers.contains(&self.own) && other != self.own && other != from;
        // A stored promise shows that this backup has been in the group before.
        if !sound
            || self.full
            || self.covers.contains_key(&group)
            || self.memory.promises.contains_key(&group)
        {
            return;
        }
        let (role, items) = (Role::Covering, BTreeMap::new());
        self.covers.insert(
            group,
            Cover { other, second, promised: 0, role, polled: false, forgot: false, heard: 0, items },
        );
        out.op(from, Op::Opened { group, memory: self.memory.id });
    }

    fn told(
        &mut self,
        from: Rank,
        (group, epoch, n): (ReplicaGroupId, Epoch, u32),
        item: Item,
        (fact, at): (Update, Micros),
        out: &mut Out,
    ) {
        let Some(cover) = self.covers.get_mut(&group) else {
            out.op(from, Op::Fenced { group, epoch });
            return;
        };
        let owner = match cover.role {
            Role::Covering => from == group.owner && epoch == 0,
            Role::Promised => from == cover.other && epoch == cover.promised,
            _ => false,
        };
        let more = !self.full && (cover.items.len() as u32) < MAX_ITEMS;
        if owner && (cover.items.contains_key(&item) || more) {
            cover.items.entry(item).or_default().learn(fact, at);
            if cover.role == Role::Covering {
                cover.heard = cover.heard.max(at);
            }
            out.op(from, Op::Granted { group, epoch, upto: n });
            return;
        }
        out.op(from, Op::Fenced { group, epoch });
        // These two updates hold no matter who owns the group.
        let knows = from == group.owner || from == cover.other;
        if knows && matches!(fact, Update::NeverRan(_) | Update::Over) && cover.items.contains_key(&item) {
            let over = fact == Update::Over;
            cover.items.entry(item).or_default().learn(fact, at);
            if over && cover.role == Role::Owner {
                out.said.push(GroupEvent::Finished(group, item));
            }
        }
    }

    fn prepared(&mut self, from: Rank, group: ReplicaGroupId, epoch: Epoch, heard: Micros, out: &mut Out) {
        let lapsed = self.lapsed.contains(&group.owner);
        let Some(cover) = self.covers.get_mut(&group).filter(|cover| cover.other == from) else { return };
        let hears_owner = cover.role == Role::Covering && !lapsed && !cover.forgot;
        if epoch <= cover.promised || hears_owner || cover.role == Role::Owner {
            return;
        }
        cover.promised = epoch;
        cover.role = Role::Promised;
        cover.heard = cover.heard.max(heard);
        let heard = cover.heard;
        for (item, known) in &cover.items {
            out.op(from, Op::State { group, item: *item, known: known.clone() });
        }
        out.op(from, Op::Promise { group, epoch, memory: self.memory.id, heard });
        self.remember(group, epoch, out);
    }

    fn asked(&mut self, from: Rank, group: ReplicaGroupId, epoch: Epoch, memory: u64, out: &mut Out) {
        if memory != self.memory.id {
            out.op(from, Op::Unknown { group });
            return;
        }
        let Some(cover) = self.covers.get(&group) else {
            // Only promises are left of the group: without a higher one, nobody can have come to own it
            // through this backup.
            let promised = self.memory.promises.get(&group).copied().unwrap_or(0);
            let op = if promised == epoch { Op::Closed { group, epoch } } else { Op::Unknown { group } };
            out.op(from, op);
            return;
        };
        let owner = match cover.role {
            Role::Covering => from == group.owner,
            Role::Promised => from == cover.other,
            Role::Candidate => false,
            Role::Owner => {
                let items = cover.items.keys().copied().collect();
                out.op(from, Op::Taken { group, epoch: cover.promised, items });
                return;
            }
        };
        if owner && cover.promised == epoch {
            self.covers.remove(&group);
            out.op(from, Op::Closed { group, epoch });
        }
    }
}
