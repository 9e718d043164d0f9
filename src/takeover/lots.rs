//! Who owns the messages of a lot, and how that changes: the part of takeover that must never be wrong.
//!
//! A lot is a set of messages that one sender, its owner at epoch 0, has taken on, and that two others, its covers,
//! know of. Two quorums carry all of it:
//!
//! - An owner begins a call that must not happen twice only when its *intent* is granted by one cover at the
//!   owner's epoch.
//! - A cover becomes the owner only when *both* covers have promised its higher epoch, and each then has all that
//!   either knew.
//!
//! A cover that has promised an epoch grants nothing at a lower one. So whoever owns the lot next knows of each intent
//! that was granted before, and none is granted afterwards. This is the quorum intersection of Viewstamped Replication
//! (Oki and Liskov, 1988) and Paxos (Lamport, 1998), with ballots of a fixed membership; what is replicated is a set
//! of facts that only grows, so that no order of operations has to be agreed on.
//!
//! No clock and no view is read here: that a peer's lease has lapsed is told from outside, may be told at any moment,
//! and may be wrong. Operations come from a channel that keeps their order and repeats none; it may lose all that is
//! under way when one side is a new process, which [`Lots::reset`] tells.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// A sender, by its place in the tier's list.
pub type Rank = u16;
/// Who owns a lot: 0 is the sender that opened it, later ones belong to covers by turns.
pub type Epoch = u32;
/// A message within its lot.
pub type Item = u32;

/// Messages that a lot holds at most.
pub const MOST_ITEMS: u32 = 128;
/// Promises that are remembered at most; see [`Memory`].
pub const MOST_PROMISES: usize = 4_096;

/// Names a lot; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LotId {
    /// The sender that opened it.
    pub owner: Rank,
    /// Unique among that sender's lots, over all its processes.
    pub number: u64,
}

/// An end that is owed to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum GivenUp {
    /// Refused, with advice on when to return, in microseconds.
    Deferred(Micros),
    /// Failed.
    Undeliverable,
}

/// Something about a message that stays true.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Fact {
    /// What it is. The content means nothing here.
    Record(Vec<u8>),
    /// This attempt may run from now on.
    Intent(u16),
    /// This attempt is known not to have run, and never will.
    NeverRan(u16),
    /// It ends so, and the platform is to be told.
    GivenUp(GivenUp),
    /// Nothing more is owed.
    Over,
}

/// An attempt that somebody intended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// When, by its owner's clock.
    pub at: Micros,
    /// It is known not to have run.
    pub never_ran: bool,
}

/// All facts about a message: a join, so that neither order nor repetition matters.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Known {
    /// What it is, if it was told.
    pub record: Option<Vec<u8>>,
    /// Its attempts.
    pub attempts: BTreeMap<u16, Attempt>,
    /// Its end, while the platform may not know of it.
    pub given_up: Option<GivenUp>,
    /// Nothing more is owed.
    pub over: bool,
}

impl Known {
    fn learn(&mut self, fact: Fact, at: Micros) {
        match fact {
            Fact::Record(record) if !self.over => self.record = Some(record),
            Fact::Record(_) => {}
            Fact::Intent(attempt) => {
                self.attempts.entry(attempt).or_insert(Attempt { at, never_ran: false });
            }
            Fact::NeverRan(attempt) => {
                self.attempts.entry(attempt).or_insert(Attempt { at, never_ran: true }).never_ran = true;
            }
            Fact::GivenUp(end) => self.given_up = self.given_up.max(Some(end)),
            Fact::Over => (self.over, self.record) = (true, None),
        }
    }

    fn join(&mut self, other: Self) {
        if other.over {
            self.learn(Fact::Over, 0);
        }
        if let Some(record) = other.record {
            self.learn(Fact::Record(record), 0);
        }
        for (attempt, other) in other.attempts {
            let known = self.attempts.entry(attempt).or_insert(other);
            known.never_ran |= other.never_ran;
            known.at = known.at.min(other.at);
        }
        self.given_up = self.given_up.max(other.given_up);
    }

    /// Whether an attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.values().any(|attempt| !attempt.never_ran)
    }
}

/// What one sender tells another.
#[expect(missing_docs, reason = "the fields are told by their types and by the line above them")]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Op {
    /// This lot is the writer's; the receiver is one of its covers.
    Open { lot: LotId, covers: [Rank; 2] },
    /// The lot is covered by the writer, whose memory this is.
    Opened { lot: LotId, memory: u64 },
    /// The writer, its owner at this epoch, tells a fact, its `n`th, from 1.
    Tell { lot: LotId, epoch: Epoch, n: u32, item: Item, fact: Fact, at: Micros },
    /// The writer, its first owner, has told all that it had to tell at that time of its clock.
    Still { lot: LotId, at: Micros },
    /// All facts up to the `upto`th are known here, at this epoch.
    Granted { lot: LotId, epoch: Epoch, upto: u32 },
    /// A higher epoch holds here, or the lot is not known: nothing is granted.
    Fenced { lot: LotId, epoch: Epoch },
    /// The writer, a cover, hears the owner no more.
    Poll { lot: LotId },
    /// What the writer, a cover, knows of a message.
    State { lot: LotId, item: Item, known: Known },
    /// The writer wants to own the lot at this epoch, and has told all that it knows.
    Prepare { lot: LotId, epoch: Epoch, heard: Micros },
    /// The writer grants nothing below this epoch from now on, and has told all that it knows.
    Promise { lot: LotId, epoch: Epoch, memory: u64, heard: Micros },
    /// The writer owns the lot at this epoch, and with it these messages. What is not among them nobody but the
    /// receiver knows of, or will.
    Taken { lot: LotId, epoch: Epoch, items: Vec<Item> },
    /// The writer owned the lot at this epoch when the receiver's memory was that. May it go on alone?
    Ask { lot: LotId, epoch: Epoch, memory: u64 },
    /// It may: the lot is over here, and nobody has owned it since or will.
    Closed { lot: LotId, epoch: Epoch },
    /// That can't be said here.
    Unknown { lot: LotId },
    /// Nothing is owed in the lot any more.
    Drop { lot: LotId },
}

/// What the sender round it is to do or to know.
#[expect(missing_docs, reason = "the fields are told by their types and by the line above them")]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Said {
    /// All facts of an owned lot up to this one are granted.
    Granted { lot: LotId, upto: u32 },
    /// This sender owns the lot at this epoch, and with it these messages. `sides` are those whose grant it needs, with
    /// their memories. Attempts of its first owner that no cover knows of began at `heard` of its clock or later.
    Adopt { lot: LotId, epoch: Epoch, sides: Vec<(Rank, u64)>, heard: Micros, items: Vec<(Item, Known)> },
    /// Another owns these messages: nothing more is to be done for them. What else is in the lot is granted.
    Lost { lot: LotId, items: BTreeSet<Item> },
    /// A message of an owned lot is over, by what an earlier owner says.
    Over(LotId, Item),
    /// Nobody else can come to own what is left in the lot: it may be covered anew.
    Alone(LotId),
}

/// What outlasts the process, written down before anything that rests on it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Memory {
    /// Drawn by chance whenever something may have been forgotten.
    pub id: u64,
    /// The highest epoch above 0 that was promised, by lot.
    pub promises: BTreeMap<LotId, Epoch>,
}

impl Memory {
    /// Bytes that it takes of the disk at most, old and new file together.
    pub const ROOM: u64 = 2 * 32 * MOST_PROMISES as u64;
}

/// How a cover stands to its lot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Role {
    /// The sender that opened it owns it.
    Covering,
    /// It has promised an epoch of its own, and waits for the other cover.
    Candidate,
    /// It has promised the other cover's epoch, and has all that that one knew.
    Promised,
    /// It owns the lot.
    Owner,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Cover {
    other: Rank,
    /// Which of the two it is: their epochs are odd and even.
    second: bool,
    promised: Epoch,
    role: Role,
    /// The other cover hears the owner no more.
    polled: bool,
    /// The process that owned it is no more; another may ask about it.
    forgot: bool,
    /// The first owner's clock when it told the last thing that came here, or at the other cover.
    heard: Micros,
    items: BTreeMap<Item, Known>,
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
    sides: Vec<Side>,
    /// Facts told.
    told: u32,
    /// Nobody else can own it any more.
    alone: bool,
    /// Messages that are owed.
    open: BTreeSet<Item>,
    /// No further message is put into it.
    sealed: bool,
}

/// All lots that a sender owns or covers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lots {
    own: Rank,
    memory: Memory,
    covers: BTreeMap<LotId, Cover>,
    owned: BTreeMap<LotId, Owned>,
    /// Peers whose lease has lapsed.
    lapsed: BTreeSet<Rank>,
    /// There is no room for further lots and records.
    full: bool,
}

/// What came of a call, in order. `ops` go out only after `memory`, if it changed, is written down.
#[derive(Debug, Default)]
pub struct Out {
    /// To the channel.
    pub ops: Vec<(Rank, Op)>,
    /// To the sender.
    pub said: Vec<Said>,
    /// [`Lots::memory`] has changed.
    pub remember: bool,
}

impl Out {
    fn op(&mut self, to: Rank, op: Op) {
        // One grant stands for all before it.
        if let Op::Granted { lot, epoch, .. } = &op
            && let Some((last, Op::Granted { lot: l, epoch: e, .. })) = self.ops.last()
            && (*last, l, e) == (to, lot, epoch)
        {
            self.ops.pop();
        }
        self.ops.push((to, op));
    }
}

impl Lots {
    /// With what an earlier process left.
    pub fn new(own: Rank, memory: Memory) -> Self {
        Self {
            own,
            memory,
            covers: BTreeMap::new(),
            owned: BTreeMap::new(),
            lapsed: BTreeSet::new(),
            full: false,
        }
    }

    /// What has to outlast the process.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Opens a lot. Messages can be put into it once it is [`Lots::ready`].
    pub fn open(&mut self, lot: LotId, covers: [Rank; 2], out: &mut Out) {
        let side = |rank| Side { rank, memory: None, fenced: false };
        let sides = covers.map(side).to_vec();
        let open = BTreeSet::new();
        self.owned.insert(lot, Owned { epoch: 0, sides, told: 0, alone: false, open, sealed: false });
        for rank in covers {
            out.op(rank, Op::Open { lot, covers });
        }
    }

    /// The covers' memories, once both cover the lot and while it can take a message.
    pub fn ready(&self, lot: LotId) -> Option<Vec<(Rank, u64)>> {
        let owned = self.owned.get(&lot).filter(|owned| !owned.sealed && !owned.alone)?;
        let sides = owned.sides.iter().map(|side| Some((side.rank, side.memory.filter(|_| !side.fenced)?)));
        sides.collect()
    }

    /// A lot that an earlier process of this sender owned at that epoch, with those of its messages that are owed.
    /// Nothing in it is granted until a cover says that nobody else has owned it since.
    pub fn resume(
        &mut self,
        lot: LotId,
        epoch: Epoch,
        sides: &[(Rank, u64)],
        open: BTreeSet<Item>,
        out: &mut Out,
    ) {
        let side = |(rank, memory): &(Rank, u64)| Side {
            rank: *rank,
            memory: Some(*memory),
            // It grants nothing to a process that it does not know.
            fenced: true,
        };
        let alone = sides.is_empty();
        let sides = sides.iter().map(side).collect();
        self.owned.insert(lot, Owned { epoch, sides, told: 0, alone, open, sealed: true });
        self.ask(lot, None, out);
    }

    /// A cover of lots that this sender opened is gone: the other one could not come to own them. They are closed
    /// there, so that their messages can be covered anew.
    pub fn retire(&mut self, gone: Rank, out: &mut Out) {
        let of = |owned: &Owned| {
            owned.epoch == 0 && !owned.alone && owned.sides.iter().any(|side| side.rank == gone)
        };
        for lot in self.owned.iter().filter(|(_, o)| of(o)).map(|(lot, _)| *lot).collect::<Vec<_>>() {
            if let Some(owned) = self.owned.get_mut(&lot) {
                owned.sealed = true;
            }
            self.ask(lot, None, out);
            self.end_if_over(lot, out);
        }
    }

    /// Asks covers once more whether lots may go on alone, for those that can't otherwise.
    pub fn ask_again(&mut self, out: &mut Out) {
        let stuck = self.owned.iter().filter(|(_, o)| !o.alone && o.sides.iter().all(|side| side.fenced));
        for lot in stuck.map(|(lot, _)| *lot).collect::<Vec<_>>() {
            self.ask(lot, None, out);
        }
    }

    fn ask(&self, lot: LotId, only: Option<Rank>, out: &mut Out) {
        let Some(owned) = self.owned.get(&lot).filter(|owned| !owned.alone) else { return };
        for side in owned.sides.iter().filter(|side| only.is_none_or(|rank| rank == side.rank)) {
            if let Some(memory) = side.memory {
                out.op(side.rank, Op::Ask { lot, epoch: owned.epoch, memory });
            }
        }
    }

    /// No further message is put into an owned lot; it ends with its last one.
    pub fn seal(&mut self, lot: LotId, out: &mut Out) {
        if let Some(owned) = self.owned.get_mut(&lot) {
            owned.sealed = true;
            self.end_if_over(lot, out);
        }
    }

    /// Tells the covers a fact of an owned lot. Its number: it is granted once [`Said::Granted`] comes up to it;
    /// none if it is granted as it is, or if the lot is not owned.
    pub fn tell(&mut self, (lot, item): (LotId, Item), fact: Fact, at: Micros, out: &mut Out) -> Option<u32> {
        let owned = self.owned.get_mut(&lot)?;
        match fact {
            Fact::Record(_) => drop(owned.open.insert(item)),
            Fact::Over => drop(owned.open.remove(&item)),
            _ => {}
        }
        let over = fact == Fact::Over;
        owned.told += 1;
        let (n, epoch) = (owned.told, owned.epoch);
        if !owned.alone {
            for side in owned.sides.iter().filter(|side| !side.fenced) {
                out.op(side.rank, Op::Tell { lot, epoch, n, item, fact: fact.clone(), at });
            }
        }
        // What has become another's is granted nothing, even where nobody else can own the rest of the lot.
        let lost = matches!(fact, Fact::Intent(_)) && !owned.open.contains(&item);
        let waits = (!owned.alone || lost).then_some(n);
        if let Some(cover) = self.covers.get_mut(&lot) {
            cover.items.entry(item).or_default().learn(fact, at);
        }
        if over {
            self.end_if_over(lot, out);
        }
        waits
    }

    /// Tells the covers of the lots that this sender opened that nothing was told since.
    pub fn still(&mut self, at: Micros, out: &mut Out) {
        for (lot, owned) in self.owned.iter().filter(|(_, o)| o.epoch == 0 && !o.alone && !o.open.is_empty())
        {
            for side in owned.sides.iter().filter(|side| !side.fenced) {
                out.op(side.rank, Op::Still { lot: *lot, at });
            }
        }
    }

    fn end_if_over(&mut self, lot: LotId, out: &mut Out) {
        let Some(owned) = self.owned.get(&lot).filter(|owned| owned.sealed && owned.open.is_empty()) else {
            return;
        };
        for side in &owned.sides {
            out.op(side.rank, Op::Drop { lot });
        }
        // What it knew as a cover stays until it expires: whoever comes back and asks hears that it was taken.
        self.owned.remove(&lot);
    }

    /// A peer has not been heard for as long as its lease; whether that is new. It may be told at any time, and may
    /// be wrong.
    pub fn lapse(&mut self, peer: Rank, out: &mut Out) -> bool {
        let new = self.lapsed.insert(peer);
        if new {
            self.without(peer, |_| true, out);
        }
        new
    }

    /// It is a lease since [`Lots::reset`]: what the new process has not asked about by now it knows nothing of.
    pub fn orphaned(&mut self, peer: Rank, out: &mut Out) {
        self.without(peer, |cover| cover.forgot, out);
    }

    fn without(&mut self, peer: Rank, which: impl Fn(&Cover) -> bool, out: &mut Out) {
        let lots: Vec<LotId> = self.covers.iter().filter(|(_, c)| which(c)).map(|(lot, _)| *lot).collect();
        for lot in lots {
            let Some(cover) = self.covers.get(&lot) else { continue };
            match cover.role {
                Role::Covering if lot.owner == peer && cover.polled => self.stand(lot, out),
                Role::Covering if lot.owner == peer => out.op(cover.other, Op::Poll { lot }),
                // It has all that the other knew, and what the other does needs its grant, which ends here.
                Role::Promised if cover.other == peer => {
                    self.promise_own(lot, out);
                    self.adopt(lot, Vec::new(), out);
                }
                _ => {}
            }
        }
    }

    /// A peer was heard again.
    pub fn heard(&mut self, peer: Rank) {
        self.lapsed.remove(&peer);
    }

    /// The next epoch of its own is promised. Writes nothing to anybody.
    fn promise_own(&mut self, lot: LotId, out: &mut Out) -> Epoch {
        let Some(cover) = self.covers.get_mut(&lot) else { return 0 };
        let next = cover.promised + 1;
        cover.promised = if (next % 2 == 0) == cover.second { next } else { next + 1 };
        let promised = cover.promised;
        self.remember(lot, promised, out);
        promised
    }

    fn remember(&mut self, lot: LotId, epoch: Epoch, out: &mut Out) {
        self.memory.promises.insert(lot, epoch);
        if self.memory.promises.len() > MOST_PROMISES {
            // Whoever asks about what is forgotten must hear that it can't be said.
            self.memory.promises.pop_first();
            self.memory.id = self.memory.id.wrapping_add(1);
        }
        out.remember = true;
    }

    /// Stands for ownership, or does so once more.
    fn stand(&mut self, lot: LotId, out: &mut Out) {
        let epoch = self.promise_own(lot, out);
        let Some(cover) = self.covers.get_mut(&lot) else { return };
        cover.role = Role::Candidate;
        let to = cover.other;
        for (item, known) in &cover.items {
            out.op(to, Op::State { lot, item: *item, known: known.clone() });
        }
        let heard = cover.heard;
        out.op(to, Op::Prepare { lot, epoch, heard });
    }

    /// The lot is this sender's own. `sides` are those whose grant it needs.
    fn adopt(&mut self, lot: LotId, sides: Vec<Side>, out: &mut Out) {
        let Some(cover) = self.covers.get_mut(&lot) else { return };
        cover.role = Role::Owner;
        let (epoch, alone, heard) = (cover.promised, sides.is_empty(), cover.heard);
        let owed = cover.items.iter().filter(|(_, known)| !known.over && known.record.is_some());
        let items: Vec<(Item, Known)> = owed.map(|(item, known)| (*item, known.clone())).collect();
        let open = items.iter().map(|(item, _)| *item).collect();
        let told = sides.iter().filter_map(|side| Some((side.rank, side.memory?))).collect();
        let owned = Owned { epoch, sides, told: 0, alone, open, sealed: true };
        self.owned.insert(lot, owned);
        let taken = Op::Taken { lot, epoch, items: cover.items.keys().copied().collect() };
        let other = cover.other;
        for owner in [Some(lot.owner), Some(other).filter(|_| alone)].into_iter().flatten() {
            out.op(owner, taken.clone());
        }
        out.said.push(Said::Adopt { lot, epoch, sides: told, heard, items });
        // The other cover is asked to close it, so that the messages can be covered anew by two that are there.
        self.ask(lot, None, out);
        self.end_if_over(lot, out);
    }

    /// A peer is a new process: what was under way between the two is lost, and it has forgotten its lots.
    pub fn reset(&mut self, peer: Rank, out: &mut Out) {
        let owned: Vec<LotId> = self.owned.keys().copied().collect();
        for lot in owned {
            let Some(owned) = self.owned.get_mut(&lot) else { continue };
            let Some(side) = owned.sides.iter_mut().find(|side| side.rank == peer) else { continue };
            side.fenced = true;
            owned.sealed = true;
            self.ask(lot, Some(peer), out);
        }
        // The other cover has forgotten the lot: nobody can come to own it any more.
        let hopeless = |c: &Cover| c.other == peer && matches!(c.role, Role::Covering | Role::Candidate);
        self.covers.retain(|_, cover| !hopeless(cover));
        for (lot, cover) in &mut self.covers {
            cover.forgot |= match cover.role {
                Role::Covering => lot.owner == peer,
                Role::Promised => cover.other == peer,
                Role::Candidate | Role::Owner => false,
            };
        }
    }

    /// Forgets a lot that this sender covers: its messages' time is long up.
    pub fn expire(&mut self, lot: LotId) {
        if !self.owned.contains_key(&lot) {
            self.covers.remove(&lot);
        }
    }

    /// Whether there is room for further lots and records: a cover says no, and drops nothing that it has.
    pub fn set_full(&mut self, full: bool) {
        self.full = full;
    }

    /// Bytes of all records here.
    pub fn bytes(&self) -> usize {
        let known = self.covers.values().flat_map(|cover| cover.items.values());
        known.map(|known| known.record.as_ref().map_or(0, Vec::len)).sum()
    }

    /// Lots that are covered here, and messages in them that are owed.
    pub fn covering(&self) -> impl Iterator<Item = (LotId, usize)> + '_ {
        let owed = |cover: &Cover| cover.items.values().filter(|known| !known.over).count();
        let others = self.covers.iter().filter(|(lot, _)| !self.owned.contains_key(lot));
        others.map(move |(lot, cover)| (*lot, if cover.role == Role::Owner { 0 } else { owed(cover) }))
    }

    /// Senders whose silence matters here: owners of lots that are covered, and the other covers of those.
    pub fn concerns(&self) -> BTreeSet<Rank> {
        let owned = self.owned.values().flat_map(|owned| owned.sides.iter().map(|side| side.rank));
        let covers = self.covers.iter().filter(|(_, cover)| cover.role != Role::Owner);
        let covered = covers.flat_map(|(lot, cover)| [lot.owner, cover.other]);
        owned.chain(covered).filter(|rank| *rank != self.own).collect()
    }

    /// Whether nobody else can own an owned lot any more.
    pub fn alone(&self, lot: LotId) -> bool {
        self.owned.get(&lot).is_some_and(|owned| owned.alone)
    }

    /// Whether the lot is this sender's.
    pub fn owns(&self, lot: LotId) -> bool {
        self.owned.contains_key(&lot)
    }

    /// An operation has come.
    pub fn receive(&mut self, from: Rank, op: Op, out: &mut Out) {
        match op {
            Op::Open { lot, covers } => self.opened(from, lot, covers, out),
            Op::Opened { lot, memory } => {
                let owned = self.owned.get_mut(&lot).filter(|owned| owned.epoch == 0);
                if let Some(side) = owned.and_then(|o| o.sides.iter_mut().find(|side| side.rank == from)) {
                    side.memory = Some(memory);
                }
            }
            Op::Tell { lot, epoch, n, item, fact, at } => {
                self.told(from, (lot, epoch, n), item, (fact, at), out);
            }
            Op::Still { lot, at } => {
                let covering = |cover: &&mut Cover| cover.role == Role::Covering && lot.owner == from;
                if let Some(cover) = self.covers.get_mut(&lot).filter(covering) {
                    cover.heard = cover.heard.max(at);
                }
            }
            Op::Granted { lot, epoch, upto } => {
                let Some(owned) = self.owned.get_mut(&lot).filter(|owned| owned.epoch == epoch) else {
                    return;
                };
                if owned.sides.iter().any(|side| side.rank == from && !side.fenced) {
                    out.said.push(Said::Granted { lot, upto });
                }
            }
            Op::Fenced { lot, epoch } => {
                let Some(owned) = self.owned.get_mut(&lot).filter(|owned| owned.epoch == epoch) else {
                    return;
                };
                if let Some(side) = owned.sides.iter_mut().find(|side| side.rank == from) {
                    side.fenced = true;
                }
                owned.sealed = true;
            }
            Op::Poll { lot } => {
                let Some(cover) = self.covers.get_mut(&lot).filter(|cover| cover.other == from) else {
                    return;
                };
                cover.polled = true;
                let lapsed = self.lapsed.contains(&lot.owner) || cover.forgot;
                if cover.role == Role::Candidate || cover.role == Role::Covering && lapsed {
                    self.stand(lot, out);
                }
            }
            Op::State { lot, item, known } => {
                if let Some(cover) = self.covers.get_mut(&lot).filter(|cover| cover.other == from) {
                    cover.items.entry(item).or_default().join(known);
                }
            }
            Op::Prepare { lot, epoch, heard } => self.prepared(from, lot, epoch, heard, out),
            Op::Promise { lot, epoch, memory, heard } => {
                let won = |cover: &&mut Cover| {
                    cover.other == from && cover.role == Role::Candidate && cover.promised == epoch
                };
                if let Some(cover) = self.covers.get_mut(&lot).filter(won) {
                    cover.heard = cover.heard.max(heard);
                    let side = Side { rank: from, memory: Some(memory), fenced: false };
                    self.adopt(lot, vec![side], out);
                }
            }
            Op::Taken { lot, epoch, items } => {
                let Some(owned) = self.owned.get_mut(&lot).filter(|o| o.epoch < epoch && !o.alone) else {
                    return;
                };
                (owned.alone, owned.sealed) = (true, true);
                let items: BTreeSet<Item> =
                    items.into_iter().filter(|item| owned.open.remove(item)).collect();
                let upto = owned.told;
                out.said.push(Said::Lost { lot, items });
                out.said.push(Said::Granted { lot, upto });
                out.said.push(Said::Alone(lot));
                self.end_if_over(lot, out);
            }
            Op::Ask { lot, epoch, memory } => self.asked(from, lot, epoch, memory, out),
            Op::Closed { lot, epoch } => {
                let Some(owned) = self.owned.get_mut(&lot).filter(|owned| owned.epoch == epoch) else {
                    return;
                };
                owned.alone = true;
                out.said.push(Said::Granted { lot, upto: owned.told });
                out.said.push(Said::Alone(lot));
            }
            Op::Unknown { .. } => {}
            Op::Drop { lot } => {
                let owner = |cover: &Cover| match cover.role {
                    Role::Covering => from == lot.owner,
                    Role::Promised => from == cover.other,
                    _ => false,
                };
                if self.covers.get(&lot).is_some_and(owner) {
                    self.covers.remove(&lot);
                }
            }
        }
    }

    fn opened(&mut self, from: Rank, lot: LotId, covers: [Rank; 2], out: &mut Out) {
        let second = covers[1] == self.own;
        let other = covers[usize::from(!second)];
        let sound = lot.owner == from && covers.contains(&self.own) && other != self.own && other != from;
        // Whoever knows of a promise in it has been in it before.
        if !sound || self.full || self.covers.contains_key(&lot) || self.memory.promises.contains_key(&lot) {
            return;
        }
        let (role, items) = (Role::Covering, BTreeMap::new());
        self.covers.insert(
            lot,
            Cover { other, second, promised: 0, role, polled: false, forgot: false, heard: 0, items },
        );
        out.op(from, Op::Opened { lot, memory: self.memory.id });
    }

    fn told(
        &mut self,
        from: Rank,
        (lot, epoch, n): (LotId, Epoch, u32),
        item: Item,
        (fact, at): (Fact, Micros),
        out: &mut Out,
    ) {
        let Some(cover) = self.covers.get_mut(&lot) else {
            out.op(from, Op::Fenced { lot, epoch });
            return;
        };
        let owner = match cover.role {
            Role::Covering => from == lot.owner && epoch == 0,
            Role::Promised => from == cover.other && epoch == cover.promised,
            _ => false,
        };
        let more = !self.full && (cover.items.len() as u32) < MOST_ITEMS;
        if owner && (cover.items.contains_key(&item) || more) {
            cover.items.entry(item).or_default().learn(fact, at);
            if cover.role == Role::Covering {
                cover.heard = cover.heard.max(at);
            }
            out.op(from, Op::Granted { lot, epoch, upto: n });
            return;
        }
        out.op(from, Op::Fenced { lot, epoch });
        // Two facts stay true whoever owns the lot.
        let knows = from == lot.owner || from == cover.other;
        if knows && matches!(fact, Fact::NeverRan(_) | Fact::Over) && cover.items.contains_key(&item) {
            let over = fact == Fact::Over;
            cover.items.entry(item).or_default().learn(fact, at);
            if over && cover.role == Role::Owner {
                out.said.push(Said::Over(lot, item));
            }
        }
    }

    fn prepared(&mut self, from: Rank, lot: LotId, epoch: Epoch, heard: Micros, out: &mut Out) {
        let lapsed = self.lapsed.contains(&lot.owner);
        let Some(cover) = self.covers.get_mut(&lot).filter(|cover| cover.other == from) else { return };
        let hears_owner = cover.role == Role::Covering && !lapsed && !cover.forgot;
        if epoch <= cover.promised || hears_owner || cover.role == Role::Owner {
            return;
        }
        cover.promised = epoch;
        cover.role = Role::Promised;
        cover.heard = cover.heard.max(heard);
        let heard = cover.heard;
        for (item, known) in &cover.items {
            out.op(from, Op::State { lot, item: *item, known: known.clone() });
        }
        out.op(from, Op::Promise { lot, epoch, memory: self.memory.id, heard });
        self.remember(lot, epoch, out);
    }

    fn asked(&mut self, from: Rank, lot: LotId, epoch: Epoch, memory: u64, out: &mut Out) {
        if memory != self.memory.id {
            out.op(from, Op::Unknown { lot });
            return;
        }
        let Some(cover) = self.covers.get(&lot) else {
            // Forgotten but for promises: without a higher one nobody can have come to own it by this cover.
            let promised = self.memory.promises.get(&lot).copied().unwrap_or(0);
            let op = if promised == epoch { Op::Closed { lot, epoch } } else { Op::Unknown { lot } };
            out.op(from, op);
            return;
        };
        let owner = match cover.role {
            Role::Covering => from == lot.owner,
            Role::Promised => from == cover.other,
            Role::Candidate => false,
            Role::Owner => {
                let items = cover.items.keys().copied().collect();
                out.op(from, Op::Taken { lot, epoch: cover.promised, items });
                return;
            }
        };
        if owner && cover.promised == epoch {
            self.covers.remove(&lot);
            out.op(from, Op::Closed { lot, epoch });
        }
    }
}
