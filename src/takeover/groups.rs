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

/// Number of the attempt that stands for all that a lost owner may have begun unknown to its backups. No other
/// attempt has it.
pub const UNKNOWN_ATTEMPT: u16 = u16::MAX - 1;

/// Number of the attempt that follows those with these numbers.
pub fn next_attempt(numbers: impl Iterator<Item = u16>) -> u16 {
    numbers.filter(|number| *number != UNKNOWN_ATTEMPT).max().map_or(0, |last| last + 1)
}

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
    fn apply(&mut self, update: Update, at: Micros) {
        match update {
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

    fn merge(&mut self, other: Self) {
        if other.over {
            self.apply(Update::Over, 0);
        }
        if let Some(record) = other.record {
            self.apply(Update::Record(record), 0);
        }
        for (attempt, other) in other.attempts {
            let known = self.attempts.entry(attempt).or_insert(other);
            known.never_ran |= other.never_ran;
            known.at = known.at.min(other.at);
        }
        self.given_up = self.given_up.max(other.given_up);
    }

    /// Counts the attempts that its lost owner may have begun from `since` on, unknown to the backups.
    pub fn count_unknown_attempts(&mut self, since: Micros) {
        let unknown = self.attempts.entry(UNKNOWN_ATTEMPT);
        // An earlier owner may have been lost, too; its attempts came first.
        unknown.or_insert(Attempt { at: since, never_ran: false });
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
        #[serde(rename = "covers")]
        backups: [Rank; 2],
    },
    /// The writer now backs up the group; `state_id` identifies its durable state.
    Opened {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
        #[serde(rename = "memory")]
        state_id: u64,
    },
    /// The writer, the owner at this epoch, replicates an update: its `n`th, counted from 1.
    #[serde(rename = "Tell")]
    Replicate {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
        epoch: Epoch,
        n: u32,
        item: Item,
        #[serde(rename = "fact")]
        update: Update,
        at: Micros,
    },
    /// The writer, the first owner, had sent all its updates at this time of its clock.
    #[serde(rename = "Still")]
    UpToDate {
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
    #[serde(rename = "Poll")]
    OwnerSilent {
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
        #[serde(rename = "heard")]
        last_heard: Micros,
    },
    /// The writer grants nothing below this epoch from now on, and has sent everything it knows.
    Promise {
        #[serde(rename = "lot")]
        group: ReplicaGroupId,
        epoch: Epoch,
        #[serde(rename = "memory")]
        state_id: u64,
        #[serde(rename = "heard")]
        last_heard: Micros,
    },
    /// The writer owns the group at this epoch, and with it these messages. Of any other message of the
    /// group, nobody but the receiver knows or will know.
    #[serde(rename = "Taken")]
    TakenOver {
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
        #[serde(rename = "memory")]
        state_id: u64,
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
    /// This sender owns the group at this epoch, and with it these messages. `backups` are those whose
    /// grant it needs, with the ids of their durable state. Attempts of the first owner that no backup knows
    /// of began at `last_heard` of its clock or later.
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
    Standby,
    /// It has promised an epoch of its own, and waits for the other backup.
    Candidate,
    /// It has promised the other backup's epoch, and has everything that one knew.
    Promised,
    /// It owns the group.
    Owner,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct HeldGroup {
    other: Rank,
    /// Which of the two backups it is: one uses odd epochs, the other even ones.
    second: bool,
    promised: Epoch,
    role: Role,
    /// The other backup no longer hears the owner.
    owner_silent_at_other: bool,
    /// The owning process has ended; its successor may ask about the group.
    owner_restarted: bool,
    /// The first owner's clock when it sent its latest operation that reached this backup or the other one.
    last_heard: Micros,
    items: BTreeMap<Item, MessageState>,
}

impl HeldGroup {
    /// The messages that this sender answers for once it owns the group. Of one that is being replicated again
    /// the attempts come before the record: without it nobody but its owner can end the message.
    fn known_messages(&self) -> Vec<Item> {
        let known = self.items.iter().filter(|(_, known)| known.over || known.record.is_some());
        known.map(|(item, _)| *item).collect()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Backup {
    rank: Rank,
    state_id: Option<u64>,
    fenced: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OwnedGroup {
    epoch: Epoch,
    backups: Vec<Backup>,
    /// Number of updates replicated.
    updates: u32,
    /// Nobody else can own the group any more.
    sole_owner: bool,
    /// Messages that are still owed.
    open: BTreeSet<Item>,
    /// No further message is added to the group.
    sealed: bool,
}

/// All replica groups that a sender owns or backs up.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReplicaGroups {
    own: Rank,
    durable: DurableState,
    held: BTreeMap<ReplicaGroupId, HeldGroup>,
    owned: BTreeMap<ReplicaGroupId, OwnedGroup>,
    /// Peers whose lease has expired.
    expired: BTreeSet<Rank>,
    /// The capacity for further groups and records is exhausted.
    full: bool,
}

/// The effects of a call, in order. `ops` may be sent only after [`ReplicaGroups::durable_state`], if it
/// changed, is persisted.
#[derive(Debug, Default)]
pub struct Out {
    /// Operations to send over the channels.
    pub ops: Vec<(Rank, Op)>,
    /// Events for the sender.
    pub events: Vec<GroupEvent>,
    /// [`ReplicaGroups::durable_state`] has changed and must be persisted.
    pub persist: bool,
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
    pub fn new(own: Rank, durable: DurableState) -> Self {
        Self {
            own,
            durable,
            held: BTreeMap::new(),
            owned: BTreeMap::new(),
            expired: BTreeSet::new(),
            full: false,
        }
    }

    /// The state that must outlive the process.
    pub fn durable_state(&self) -> &DurableState {
        &self.durable
    }

    /// Opens a group. Messages can be added once it is [`ReplicaGroups::ready`].
    pub fn open(&mut self, group: ReplicaGroupId, ranks: [Rank; 2], out: &mut Out) {
        let backup = |rank| Backup { rank, state_id: None, fenced: false };
        let backups = ranks.map(backup).to_vec();
        let open = BTreeSet::new();
        self.owned.insert(
            group,
            OwnedGroup { epoch: 0, backups, updates: 0, sole_owner: false, open, sealed: false },
        );
        for rank in ranks {
            out.op(rank, Op::Open { group, backups: ranks });
        }
    }

    /// The backups and the ids of their durable state, once both have joined and while the group accepts
    /// messages.
    pub fn ready(&self, group: ReplicaGroupId) -> Option<Vec<(Rank, u64)>> {
        let owned = self.owned.get(&group).filter(|owned| !owned.sealed && !owned.sole_owner)?;
        let backups = owned
            .backups
            .iter()
            .map(|backup| Some((backup.rank, backup.state_id.filter(|_| !backup.fenced)?)));
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
        let backup = |(rank, state_id): &(Rank, u64)| Backup {
            rank: *rank,
            state_id: Some(*state_id),
            // The backup grants nothing to a process that it does not know.
            fenced: true,
        };
        let sole_owner = backups.is_empty();
        let backups = backups.iter().map(backup).collect();
        self.owned.insert(group, OwnedGroup { epoch, backups, updates: 0, sole_owner, open, sealed: true });
        self.ask(group, None, out);
    }

    /// Closes the groups opened here that lost this backup, since the other one alone could not come to own
    /// them. Once closed, their messages can be replicated again.
    pub fn backup_lost(&mut self, gone: Rank, out: &mut Out) {
        let of = |owned: &OwnedGroup| {
            owned.epoch == 0 && !owned.sole_owner && owned.backups.iter().any(|backup| backup.rank == gone)
        };
        for group in self.owned.iter().filter(|(_, o)| of(o)).map(|(group, _)| *group).collect::<Vec<_>>() {
            if let Some(owned) = self.owned.get_mut(&group) {
                owned.sealed = true;
            }
            self.ask(group, None, out);
            self.end_if_finished(group, out);
        }
    }

    /// Asks the backups again about groups that are fenced at all of them: may this sender continue alone?
    pub fn retry_asks(&mut self, out: &mut Out) {
        let stuck =
            self.owned.iter().filter(|(_, o)| !o.sole_owner && o.backups.iter().all(|backup| backup.fenced));
        for group in stuck.map(|(group, _)| *group).collect::<Vec<_>>() {
            self.ask(group, None, out);
        }
    }

    fn ask(&self, group: ReplicaGroupId, only: Option<Rank>, out: &mut Out) {
        let Some(owned) = self.owned.get(&group).filter(|owned| !owned.sole_owner) else { return };
        for backup in owned.backups.iter().filter(|backup| only.is_none_or(|rank| rank == backup.rank)) {
            if let Some(state_id) = backup.state_id {
                out.op(backup.rank, Op::Ask { group, epoch: owned.epoch, state_id });
            }
        }
    }

    /// Stops adding messages to an owned group; it ends when its last message is finished.
    pub fn seal(&mut self, group: ReplicaGroupId, out: &mut Out) {
        if let Some(owned) = self.owned.get_mut(&group) {
            owned.sealed = true;
            self.end_if_finished(group, out);
        }
    }

    /// Replicates an update of an owned group to its backups. Returns the update's number if it has to be
    /// granted first, which [`GroupEvent::Granted`] reports; `None` if it needs no grant, or if the group is
    /// not owned.
    pub fn replicate(
        &mut self,
        (group, item): (ReplicaGroupId, Item),
        update: Update,
        at: Micros,
        out: &mut Out,
    ) -> Option<u32> {
        let owned = self.owned.get_mut(&group)?;
        match update {
            Update::Record(_) => drop(owned.open.insert(item)),
            Update::Over => drop(owned.open.remove(&item)),
            _ => {}
        }
        let over = update == Update::Over;
        owned.updates += 1;
        let (n, epoch) = (owned.updates, owned.epoch);
        if !owned.sole_owner {
            for backup in owned.backups.iter().filter(|backup| !backup.fenced) {
                out.op(backup.rank, Op::Replicate { group, epoch, n, item, update: update.clone(), at });
            }
        }
        // A message that another sender took over is granted nothing, even if nobody else can own the rest.
        let lost = matches!(update, Update::Intent(_)) && !owned.open.contains(&item);
        let waits = (!owned.sole_owner || lost).then_some(n);
        if let Some(held) = self.held.get_mut(&group) {
            held.items.entry(item).or_default().apply(update, at);
        }
        if over {
            self.end_if_finished(group, out);
        }
        waits
    }

    /// Confirms to the backups of the groups opened here that no update is missing up to `at`.
    pub fn confirm_up_to_date(&mut self, at: Micros, out: &mut Out) {
        for (group, owned) in
            self.owned.iter().filter(|(_, o)| o.epoch == 0 && !o.sole_owner && !o.open.is_empty())
        {
            for backup in owned.backups.iter().filter(|backup| !backup.fenced) {
                out.op(backup.rank, Op::UpToDate { group: *group, at });
            }
        }
    }

    fn end_if_finished(&mut self, group: ReplicaGroupId, out: &mut Out) {
        let Some(owned) = self.owned.get(&group).filter(|owned| owned.sealed && owned.open.is_empty()) else {
            return;
        };
        for backup in &owned.backups {
            out.op(backup.rank, Op::Drop { group });
        }
        // The backup's state stays until it expires, so that a former owner that asks learns of the takeover.
        self.owned.remove(&group);
    }

    /// Records that a peer's lease has expired, and returns whether it was valid until now. May be called at
    /// any time, and may be wrong.
    pub fn lease_expired(&mut self, peer: Rank, out: &mut Out) -> bool {
        let new = self.expired.insert(peer);
        if new {
            self.peer_lost(peer, |_| true, out);
        }
        new
    }

    /// Takes over the groups that a peer's restart left without an owner. Called one lease after
    /// [`ReplicaGroups::reset`]: the new process knows nothing of the groups that it has not asked about by
    /// then.
    pub fn orphaned(&mut self, peer: Rank, out: &mut Out) {
        self.peer_lost(peer, |held| held.owner_restarted, out);
    }

    fn peer_lost(&mut self, peer: Rank, which: impl Fn(&HeldGroup) -> bool, out: &mut Out) {
        let groups: Vec<ReplicaGroupId> =
            self.held.iter().filter(|(_, held)| which(held)).map(|(group, _)| *group).collect();
        for group in groups {
            let Some(held) = self.held.get(&group) else { continue };
            match held.role {
                Role::Standby if group.owner == peer && held.owner_silent_at_other => {
                    self.become_candidate(group, out)
                }
                Role::Standby if group.owner == peer => out.op(held.other, Op::OwnerSilent { group }),
                // This backup has everything the other one knew, and the other one needs its grants, which
                // end here.
                Role::Promised if held.other == peer => {
                    self.promise_own_epoch(group, out);
                    self.adopt(group, Vec::new(), out);
                }
                _ => {}
            }
        }
    }

    /// Records that a peer was heard again.
    pub fn peer_heard(&mut self, peer: Rank) {
        self.expired.remove(&peer);
    }

    /// Promises this backup's own next epoch, and returns it. Sends nothing.
    fn promise_own_epoch(&mut self, group: ReplicaGroupId, out: &mut Out) -> Epoch {
        let Some(held) = self.held.get_mut(&group) else { return 0 };
        let next = held.promised + 1;
        held.promised = if (next % 2 == 0) == held.second { next } else { next + 1 };
        let promised = held.promised;
        self.store_promise(group, promised, out);
        promised
    }

    fn store_promise(&mut self, group: ReplicaGroupId, epoch: Epoch, out: &mut Out) {
        self.durable.promises.insert(group, epoch);
        if self.durable.promises.len() > MAX_PROMISES {
            // The new id makes questions about the evicted promise be answered with "unknown".
            self.durable.promises.pop_first();
            self.durable.id = self.durable.id.wrapping_add(1);
        }
        out.persist = true;
    }

    /// Starts a candidacy for ownership, or repeats it at a higher epoch.
    fn become_candidate(&mut self, group: ReplicaGroupId, out: &mut Out) {
        let epoch = self.promise_own_epoch(group, out);
        let Some(held) = self.held.get_mut(&group) else { return };
        held.role = Role::Candidate;
        let to = held.other;
        for (item, known) in &held.items {
            out.op(to, Op::State { group, item: *item, known: known.clone() });
        }
        let last_heard = held.last_heard;
        out.op(to, Op::Prepare { group, epoch, last_heard });
    }

    /// Makes this sender the group's owner. `backups` are those whose grant it needs.
    fn adopt(&mut self, group: ReplicaGroupId, backups: Vec<Backup>, out: &mut Out) {
        let Some(held) = self.held.get_mut(&group) else { return };
        held.role = Role::Owner;
        let (epoch, sole_owner, last_heard) = (held.promised, backups.is_empty(), held.last_heard);
        let owed = held.items.iter().filter(|(_, known)| !known.over && known.record.is_some());
        let items: Vec<(Item, MessageState)> = owed.map(|(item, known)| (*item, known.clone())).collect();
        let open = items.iter().map(|(item, _)| *item).collect();
        let granting = backups.iter().filter_map(|backup| Some((backup.rank, backup.state_id?))).collect();
        let owned = OwnedGroup { epoch, backups, updates: 0, sole_owner, open, sealed: true };
        self.owned.insert(group, owned);
        let taken = Op::TakenOver { group, epoch, items: held.known_messages() };
        let other = held.other;
        for owner in [Some(group.owner), Some(other).filter(|_| sole_owner)].into_iter().flatten() {
            out.op(owner, taken.clone());
        }
        out.events.push(GroupEvent::Adopt { group, epoch, backups: granting, last_heard, items });
        // The other backup is asked to close the group, so that its messages can be replicated again to two
        // live backups.
        self.ask(group, None, out);
        self.end_if_finished(group, out);
    }

    /// Handles a peer's restart: everything in flight between the two is lost, and the peer has no groups any
    /// more.
    pub fn reset(&mut self, peer: Rank, out: &mut Out) {
        let owned: Vec<ReplicaGroupId> = self.owned.keys().copied().collect();
        for group in owned {
            let Some(owned) = self.owned.get_mut(&group) else { continue };
            let Some(backup) = owned.backups.iter_mut().find(|backup| backup.rank == peer) else { continue };
            backup.fenced = true;
            owned.sealed = true;
            self.ask(group, Some(peer), out);
        }
        // The other backup has lost the group: nobody can come to own it any more.
        let hopeless = |c: &HeldGroup| c.other == peer && matches!(c.role, Role::Standby | Role::Candidate);
        self.held.retain(|_, held| !hopeless(held));
        for (group, held) in &mut self.held {
            held.owner_restarted |= match held.role {
                Role::Standby => group.owner == peer,
                Role::Promised => held.other == peer,
                Role::Candidate | Role::Owner => false,
            };
        }
    }

    /// Drops a group that this sender backs up: the deadlines of its messages have long passed.
    pub fn expire(&mut self, group: ReplicaGroupId) {
        if !self.owned.contains_key(&group) {
            self.held.remove(&group);
        }
    }

    /// Sets whether the capacity is exhausted: a full backup refuses further groups and records, but drops
    /// none.
    pub fn set_full(&mut self, full: bool) {
        self.full = full;
    }

    /// Total size of the stored records, in bytes.
    pub fn bytes(&self) -> usize {
        let known = self.held.values().flat_map(|held| held.items.values());
        known.map(|known| known.record.as_ref().map_or(0, Vec::len)).sum()
    }

    /// The groups that are backed up here, each with its number of owed messages.
    pub fn held_groups(&self) -> impl Iterator<Item = (ReplicaGroupId, usize)> + '_ {
        let owed = |held: &HeldGroup| held.items.values().filter(|known| !known.over).count();
        let others = self.held.iter().filter(|(group, _)| !self.owned.contains_key(group));
        others.map(move |(group, held)| (*group, if held.role == Role::Owner { 0 } else { owed(held) }))
    }

    /// Peers whose leases matter here: backups of owned groups, and owners and other backups of backed-up
    /// groups.
    pub fn relevant_peers(&self) -> BTreeSet<Rank> {
        let owned = self.owned.values().flat_map(|owned| owned.backups.iter().map(|backup| backup.rank));
        let held = self.held.iter().filter(|(_, held)| held.role != Role::Owner);
        let others = held.flat_map(|(group, held)| [group.owner, held.other]);
        owned.chain(others).filter(|rank| *rank != self.own).collect()
    }

    /// Whether this sender owns the group and nobody else can come to own it.
    pub fn is_sole_owner(&self, group: ReplicaGroupId) -> bool {
        self.owned.get(&group).is_some_and(|owned| owned.sole_owner)
    }

    /// Whether this sender owns the group, as far as it knows.
    pub fn owns(&self, group: ReplicaGroupId) -> bool {
        self.owned.contains_key(&group)
    }

    /// Handles an operation of another sender.
    pub fn receive(&mut self, from: Rank, op: Op, out: &mut Out) {
        match op {
            Op::Open { group, backups } => self.on_open(from, group, backups, out),
            Op::Opened { group, state_id } => {
                let owned = self.owned.get_mut(&group).filter(|owned| owned.epoch == 0);
                if let Some(backup) =
                    owned.and_then(|o| o.backups.iter_mut().find(|backup| backup.rank == from))
                {
                    backup.state_id = Some(state_id);
                }
            }
            Op::Replicate { group, epoch, n, item, update, at } => {
                self.on_replicate(from, (group, epoch, n), item, (update, at), out);
            }
            Op::UpToDate { group, at } => {
                let standby = |held: &&mut HeldGroup| held.role == Role::Standby && group.owner == from;
                if let Some(held) = self.held.get_mut(&group).filter(standby) {
                    held.last_heard = held.last_heard.max(at);
                }
            }
            Op::Granted { group, epoch, upto } => {
                let Some(owned) = self.owned.get_mut(&group).filter(|owned| owned.epoch == epoch) else {
                    return;
                };
                if owned.backups.iter().any(|backup| backup.rank == from && !backup.fenced) {
                    out.events.push(GroupEvent::Granted { group, upto });
                }
            }
            Op::Fenced { group, epoch } => {
                let Some(owned) = self.owned.get_mut(&group).filter(|owned| owned.epoch == epoch) else {
                    return;
                };
                if let Some(backup) = owned.backups.iter_mut().find(|backup| backup.rank == from) {
                    backup.fenced = true;
                }
                owned.sealed = true;
            }
            Op::OwnerSilent { group } => {
                let Some(held) = self.held.get_mut(&group).filter(|held| held.other == from) else {
                    return;
                };
                held.owner_silent_at_other = true;
                let expired = self.expired.contains(&group.owner) || held.owner_restarted;
                if held.role == Role::Candidate || held.role == Role::Standby && expired {
                    self.become_candidate(group, out);
                }
            }
            Op::State { group, item, known } => {
                if let Some(held) = self.held.get_mut(&group).filter(|held| held.other == from) {
                    held.items.entry(item).or_default().merge(known);
                }
            }
            Op::Prepare { group, epoch, last_heard } => self.on_prepare(from, group, epoch, last_heard, out),
            Op::Promise { group, epoch, state_id, last_heard } => {
                let won = |held: &&mut HeldGroup| {
                    held.other == from && held.role == Role::Candidate && held.promised == epoch
                };
                if let Some(held) = self.held.get_mut(&group).filter(won) {
                    held.last_heard = held.last_heard.max(last_heard);
                    let backup = Backup { rank: from, state_id: Some(state_id), fenced: false };
                    self.adopt(group, vec![backup], out);
                }
            }
            Op::TakenOver { group, epoch, items } => {
                let Some(owned) = self.owned.get_mut(&group).filter(|o| o.epoch < epoch && !o.sole_owner)
                else {
                    return;
                };
                (owned.sole_owner, owned.sealed) = (true, true);
                let items: BTreeSet<Item> =
                    items.into_iter().filter(|item| owned.open.remove(item)).collect();
                let upto = owned.updates;
                out.events.push(GroupEvent::Lost { group, items });
                out.events.push(GroupEvent::Granted { group, upto });
                out.events.push(GroupEvent::SoleOwner(group));
                self.end_if_finished(group, out);
            }
            Op::Ask { group, epoch, state_id } => self.on_ask(from, group, epoch, state_id, out),
            Op::Closed { group, epoch } => {
                let Some(owned) = self.owned.get_mut(&group).filter(|owned| owned.epoch == epoch) else {
                    return;
                };
                owned.sole_owner = true;
                out.events.push(GroupEvent::Granted { group, upto: owned.updates });
                out.events.push(GroupEvent::SoleOwner(group));
            }
            Op::Unknown { .. } => {}
            Op::Drop { group } => {
                let owner = |held: &HeldGroup| match held.role {
                    Role::Standby => from == group.owner,
                    Role::Promised => from == held.other,
                    _ => false,
                };
                if self.held.get(&group).is_some_and(owner) {
                    self.held.remove(&group);
                }
            }
        }
    }

    fn on_open(&mut self, from: Rank, group: ReplicaGroupId, backups: [Rank; 2], out: &mut Out) {
        let second = backups[1] == self.own;
        let other = backups[usize::from(!second)];
        let sound = group.owner == from && backups.contains(&self.own) && other != self.own && other != from;
        // A stored promise shows that this backup has been in the group before.
        if !sound || self.full || self.held.contains_key(&group) || self.durable.promises.contains_key(&group)
        {
            return;
        }
        let (role, items) = (Role::Standby, BTreeMap::new());
        self.held.insert(
            group,
            HeldGroup {
                other,
                second,
                promised: 0,
                role,
                owner_silent_at_other: false,
                owner_restarted: false,
                last_heard: 0,
                items,
            },
        );
        out.op(from, Op::Opened { group, state_id: self.durable.id });
    }

    fn on_replicate(
        &mut self,
        from: Rank,
        (group, epoch, n): (ReplicaGroupId, Epoch, u32),
        item: Item,
        (update, at): (Update, Micros),
        out: &mut Out,
    ) {
        let Some(held) = self.held.get_mut(&group) else {
            out.op(from, Op::Fenced { group, epoch });
            return;
        };
        let owner = match held.role {
            Role::Standby => from == group.owner && epoch == 0,
            Role::Promised => from == held.other && epoch == held.promised,
            _ => false,
        };
        let more = !self.full && (held.items.len() as u32) < MAX_ITEMS;
        if owner && (held.items.contains_key(&item) || more) {
            held.items.entry(item).or_default().apply(update, at);
            if held.role == Role::Standby {
                held.last_heard = held.last_heard.max(at);
            }
            out.op(from, Op::Granted { group, epoch, upto: n });
            return;
        }
        out.op(from, Op::Fenced { group, epoch });
        // These two updates hold no matter who owns the group.
        let knows = from == group.owner || from == held.other;
        if knows && matches!(update, Update::NeverRan(_) | Update::Over) && held.items.contains_key(&item) {
            let over = update == Update::Over;
            held.items.entry(item).or_default().apply(update, at);
            if over && held.role == Role::Owner {
                out.events.push(GroupEvent::Finished(group, item));
            }
        }
    }

    fn on_prepare(
        &mut self,
        from: Rank,
        group: ReplicaGroupId,
        epoch: Epoch,
        last_heard: Micros,
        out: &mut Out,
    ) {
        let expired = self.expired.contains(&group.owner);
        let Some(held) = self.held.get_mut(&group).filter(|held| held.other == from) else { return };
        let hears_owner = held.role == Role::Standby && !expired && !held.owner_restarted;
        if epoch <= held.promised || hears_owner || held.role == Role::Owner {
            return;
        }
        held.promised = epoch;
        held.role = Role::Promised;
        held.last_heard = held.last_heard.max(last_heard);
        let last_heard = held.last_heard;
        for (item, known) in &held.items {
            out.op(from, Op::State { group, item: *item, known: known.clone() });
        }
        out.op(from, Op::Promise { group, epoch, state_id: self.durable.id, last_heard });
        self.store_promise(group, epoch, out);
    }

    fn on_ask(&mut self, from: Rank, group: ReplicaGroupId, epoch: Epoch, state_id: u64, out: &mut Out) {
        if state_id != self.durable.id {
            out.op(from, Op::Unknown { group });
            return;
        }
        let Some(held) = self.held.get(&group) else {
            // Only promises are left of the group: without a higher one, nobody can have come to own it
            // through this backup.
            let promised = self.durable.promises.get(&group).copied().unwrap_or(0);
            let op = if promised == epoch { Op::Closed { group, epoch } } else { Op::Unknown { group } };
            out.op(from, op);
            return;
        };
        let owner = match held.role {
            Role::Standby => from == group.owner,
            Role::Promised => from == held.other,
            Role::Candidate => false,
            Role::Owner => {
                let items = held.known_messages();
                out.op(from, Op::TakenOver { group, epoch: held.promised, items });
                return;
            }
        };
        if owner && held.promised == epoch {
            self.held.remove(&group);
            out.op(from, Op::Closed { group, epoch });
        }
    }
}
