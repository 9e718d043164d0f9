//! The ownership of replica groups, checked exhaustively within bounds by a model checker: the production
//! code, with every order of deliveries, lease expiries, crashes, pauses and restarts that the bounds allow.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use myrtleyard::takeover::groups::{
    DurableState, Epoch, GroupEvent, Item, Op, Out, Rank, ReplicaGroupId, ReplicaGroups, Update,
};
use stateright::{Checker, Model, Property};

const GROUP: ReplicaGroupId = ReplicaGroupId { owner: 0, number: 7 };
const SENDERS: usize = 3;

/// A message that a sender has in hand, as its journal has it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Held {
    epoch: Epoch,
    backups: Vec<(Rank, u64)>,
    /// An attempt may have run: no other may begin.
    may_have_run: bool,
    /// The number of the intent that is not granted yet.
    waits_for_grant: Option<u32>,
    /// The call may begin; only the sender's own scheduling delays it.
    may_call: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sender {
    /// `None` while the process is down.
    groups: Option<ReplicaGroups>,
    durable: DurableState,
    held: BTreeMap<Item, Held>,
    /// It has never lost its state.
    intact: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum LinkItem {
    Op(Op),
    /// The writer restarted: everything after this is from its new process.
    PeerRestarted,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    senders: Vec<Sender>,
    links: BTreeMap<(Rank, Rank), VecDeque<LinkItem>>,
    /// Pairs of which the first does not know yet that the second restarted: what it sends there is lost.
    unaware: BTreeSet<(Rank, Rank)>,
    calls: BTreeMap<Item, u8>,
    over: BTreeSet<Item>,
    /// Messages that a backup has acknowledged to the first owner.
    replicated: BTreeSet<Item>,
    /// The first owner has asked its backups to close the group.
    closing: bool,
    expiries: usize,
    crashes: usize,
}

impl fmt::Debug for World {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "calls {:?} over {:?} links {:?}", self.calls, self.over, self.links)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Act {
    Deliver(Rank, Rank),
    LeaseExpired(Rank, Rank),
    Orphaned(Rank, Rank),
    /// The first owner closes its group, since this backup is gone.
    Retire(Rank),
    /// A sender replicates its intent to call.
    Intend(Rank, Item),
    /// It calls, however long after it was allowed to.
    Call(Rank, Item),
    /// The call is answered, and the message finished.
    End(Rank, Item),
    /// A process crashes; its folder is kept (`true`) or lost (`false`).
    Crash(Rank, bool),
    Start(Rank),
}

/// A deliberate fault in the protocol, which the checker must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// An owner calls as soon as its intent is sent, without waiting for the grant.
    NoWait,
    /// A backup promises without sending what it knows.
    NoState,
    /// A promise is lost over a restart, and the id of the durable state does not change.
    NoMemory,
    /// A backup that has promised still grants the old owner's intents.
    NoFence,
}

struct Checked {
    items: u32,
    expiries: usize,
    crashes: usize,
    fault: Fault,
}

impl World {
    fn send(&mut self, from: Rank, to: Rank, link_item: LinkItem) {
        if !self.unaware.contains(&(from, to)) {
            self.links.entry((from, to)).or_default().push_back(link_item);
        }
    }

    /// Calls `act` on a sender's groups, and applies the effects.
    fn act(&mut self, rank: Rank, fault: Fault, act: impl FnOnce(&mut ReplicaGroups, &mut Out)) {
        let mut out = Out::default();
        let sender = &mut self.senders[usize::from(rank)];
        let Some(groups) = &mut sender.groups else { return };
        act(groups, &mut out);
        if fault != Fault::NoMemory {
            sender.durable = groups.durable_state().clone();
        }
        for event in out.events {
            let sender = &mut self.senders[usize::from(rank)];
            match event {
                GroupEvent::Granted { upto, .. } => {
                    // The records are the first updates that the first owner replicates.
                    if rank == 0
                        && !self.closing
                        && sender.groups.as_ref().is_some_and(|groups| !groups.is_sole_owner(GROUP))
                    {
                        self.replicated.extend(0..upto.min(2));
                    }
                    for held in
                        sender.held.values_mut().filter(|h| h.waits_for_grant.is_some_and(|n| n <= upto))
                    {
                        (held.waits_for_grant, held.may_call) = (None, true);
                    }
                }
                GroupEvent::Adopt { epoch, backups, items, .. } => {
                    for (item, known) in items {
                        let (backups, may_have_run) = (backups.clone(), known.may_have_run());
                        sender.held.insert(
                            item,
                            Held { epoch, backups, may_have_run, waits_for_grant: None, may_call: false },
                        );
                    }
                }
                GroupEvent::Lost { items, .. } => sender.held.retain(|item, _| !items.contains(item)),
                GroupEvent::Finished(_, item) => drop(sender.held.remove(&item)),
                GroupEvent::SoleOwner(_) => {}
            }
        }
        for (to, op) in out.ops {
            let dropped = match (fault, &op) {
                (Fault::NoState, Op::State { .. }) => rank == 2,
                _ => false,
            };
            if !dropped {
                self.send(rank, to, LinkItem::Op(op));
            }
        }
    }

    fn deliver(&mut self, from: Rank, to: Rank, fault: Fault) {
        let Some(link_item) = self.links.get_mut(&(from, to)).and_then(VecDeque::pop_front) else { return };
        match link_item {
            LinkItem::PeerRestarted => {
                self.unaware.remove(&(to, from));
                self.act(to, fault, |groups, out| groups.reset(from, out));
            }
            LinkItem::Op(op) => {
                let intent = match &op {
                    Op::Replicate { group, epoch, n, update: Update::Intent(_), .. } => {
                        Some((*group, *epoch, *n))
                    }
                    _ => None,
                };
                self.act(to, fault, |groups, out| {
                    groups.receive(from, op, out);
                    if let (Fault::NoFence, Some((group, epoch, upto))) = (fault, intent) {
                        out.ops = vec![(from, Op::Granted { group, epoch, upto })];
                    }
                });
            }
        }
    }

    /// Runs without further failures: everything in flight arrives, leases on processes that are down expire,
    /// and every sender that may call does.
    fn settle(&mut self, fault: Fault) {
        for _ in 0..12 {
            while let Some((from, to)) = self.links.iter().find(|l| !l.1.is_empty()).map(|l| *l.0) {
                self.deliver(from, to, fault);
            }
            for a in 0..SENDERS as Rank {
                for b in 0..SENDERS as Rank {
                    if a != b && self.senders[usize::from(b)].groups.is_none() {
                        self.act(a, fault, |groups, out| {
                            groups.peer_heard(b);
                            groups.lease_expired(b, out);
                        });
                    } else if a != b {
                        self.act(a, fault, |groups, out| {
                            groups.peer_heard(b);
                            groups.orphaned(b, out);
                        });
                    }
                }
                self.act(a, fault, |groups, out| groups.retry_asks(out));
                let items: Vec<Item> = self.senders[usize::from(a)].held.keys().copied().collect();
                for item in items {
                    for act in [Act::Intend(a, item), Act::Call(a, item), Act::End(a, item)] {
                        if self.allowed(&act) {
                            self.apply(&act, fault);
                        }
                    }
                }
            }
        }
    }

    fn allowed(&self, act: &Act) -> bool {
        let up = |rank: &Rank| self.senders[usize::from(*rank)].groups.is_some();
        let held = |rank: &Rank, item: &Item| self.senders[usize::from(*rank)].held.get(item);
        match act {
            Act::Intend(rank, item) => {
                up(rank)
                    && held(rank, item)
                        .is_some_and(|h| !h.may_have_run && !h.may_call && h.waits_for_grant.is_none())
            }
            Act::Call(rank, item) => {
                up(rank) && held(rank, item).is_some_and(|h| h.may_call && !h.may_have_run)
            }
            Act::End(rank, item) => {
                up(rank)
                    && held(rank, item)
                        .is_some_and(|h| h.may_call && h.may_have_run && h.waits_for_grant.is_none())
            }
            _ => true,
        }
    }

    fn apply(&mut self, act: &Act, fault: Fault) {
        match act.clone() {
            Act::Deliver(from, to) => self.deliver(from, to, fault),
            Act::LeaseExpired(rank, on) => {
                self.expiries += 1;
                self.act(rank, fault, |groups, out| {
                    groups.lease_expired(on, out);
                });
            }
            Act::Orphaned(rank, on) => {
                self.expiries += 1;
                self.act(rank, fault, |groups, out| groups.orphaned(on, out));
            }
            Act::Retire(on) => {
                self.expiries += 1;
                // Messages of a closed group are replicated again in another group.
                self.replicated.clear();
                self.closing = true;
                self.act(0, fault, |groups, out| groups.backup_lost(on, out));
            }
            Act::Intend(rank, item) => {
                let mut waits_for_grant = None;
                self.act(rank, fault, |groups, out| {
                    waits_for_grant = groups.replicate((GROUP, item), Update::Intent(0), 0, out)
                });
                let owns =
                    self.senders[usize::from(rank)].groups.as_ref().is_some_and(|groups| groups.owns(GROUP));
                if let Some(held) = self.senders[usize::from(rank)].held.get_mut(&item) {
                    held.may_call = waits_for_grant.is_none() && owns || fault == Fault::NoWait;
                    held.waits_for_grant = waits_for_grant.filter(|_| !held.may_call);
                }
            }
            Act::Call(rank, item) => {
                *self.calls.entry(item).or_default() += 1;
                if let Some(held) = self.senders[usize::from(rank)].held.get_mut(&item) {
                    held.may_have_run = true;
                }
            }
            Act::End(rank, item) => {
                self.over.insert(item);
                self.senders[usize::from(rank)].held.remove(&item);
                self.act(rank, fault, |groups, out| {
                    groups.replicate((GROUP, item), Update::Over, 0, out);
                });
            }
            Act::Crash(rank, folder_kept) => {
                self.crashes += 1;
                let sender = &mut self.senders[usize::from(rank)];
                sender.groups = None;
                sender.intact = false;
                if !folder_kept {
                    sender.held.clear();
                    sender.durable = DurableState { id: sender.durable.id + 100, promises: BTreeMap::new() };
                }
                for held in sender.held.values_mut() {
                    (held.waits_for_grant, held.may_call) = (None, false);
                }
                for other in 0..SENDERS as Rank {
                    self.links.remove(&(other, rank));
                }
            }
            Act::Start(rank) => {
                let sender = &mut self.senders[usize::from(rank)];
                sender.groups = Some(ReplicaGroups::new(rank, sender.durable.clone()));
                let held = sender.held.clone();
                for other in (0..SENDERS as Rank).filter(|other| *other != rank) {
                    self.links.remove(&(other, rank));
                    self.unaware.insert((other, rank));
                    // It learns of the others' processes before it sends anything.
                    self.unaware.remove(&(rank, other));
                    self.links.entry((rank, other)).or_default().push_back(LinkItem::PeerRestarted);
                }
                if rank == 0 {
                    // It asks to continue alone, which ends the replication until the messages are replicated
                    // again.
                    self.replicated.clear();
                }
                if let Some(first) = held.values().next() {
                    let (epoch, backups) = (first.epoch, first.backups.clone());
                    let open = held.keys().copied().collect();
                    self.act(rank, fault, |groups, out| groups.resume(GROUP, epoch, &backups, open, out));
                }
            }
        }
    }
}

impl Model for Checked {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let durable = |rank: u64| DurableState { id: rank, promises: BTreeMap::new() };
        let sender = |rank: Rank| Sender {
            groups: Some(ReplicaGroups::new(rank, durable(rank.into()))),
            durable: durable(rank.into()),
            held: BTreeMap::new(),
            intact: true,
        };
        let mut world = World {
            senders: (0..SENDERS as Rank).map(sender).collect(),
            links: BTreeMap::new(),
            unaware: BTreeSet::new(),
            calls: BTreeMap::new(),
            over: BTreeSet::new(),
            replicated: BTreeSet::new(),
            closing: false,
            expiries: 0,
            crashes: 0,
        };
        world.act(0, Fault::None, |groups, out| groups.open(GROUP, [1, 2], out));
        for (from, to) in [(0, 1), (0, 2), (1, 0), (2, 0)] {
            world.deliver(from, to, Fault::None);
        }
        for item in 0..self.items {
            world.act(0, Fault::None, |groups, out| {
                groups.replicate((GROUP, item), Update::Record(vec![item as u8]), 0, out);
            });
            let backups = vec![(1, 1), (2, 2)];
            let held =
                Held { epoch: 0, backups, may_have_run: false, waits_for_grant: None, may_call: false };
            world.senders[0].held.insert(item, held);
        }
        vec![world]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        for (link, queue) in &world.links {
            let down = world.senders[usize::from(link.1)].groups.is_none();
            if !queue.is_empty() && !down {
                acts.push(Act::Deliver(link.0, link.1));
            }
        }
        for rank in 0..SENDERS as Rank {
            let sender = &world.senders[usize::from(rank)];
            let Some(_) = &sender.groups else {
                acts.push(Act::Start(rank));
                continue;
            };
            for on in (1..SENDERS as Rank).filter(|_| rank == 0 && world.expiries < self.expiries) {
                acts.push(Act::Retire(on));
            }
            for on in (0..SENDERS as Rank).filter(|on| *on != rank && rank != 0) {
                if world.expiries < self.expiries {
                    acts.push(Act::LeaseExpired(rank, on));
                    acts.push(Act::Orphaned(rank, on));
                }
            }
            if world.crashes < self.crashes {
                acts.push(Act::Crash(rank, true));
                acts.push(Act::Crash(rank, false));
            }
            for item in sender.held.keys() {
                let each = [Act::Intend(rank, *item), Act::Call(rank, *item), Act::End(rank, *item)];
                acts.extend(each.into_iter().filter(|act| world.allowed(act)));
            }
        }
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        let mut next = world.clone();
        next.apply(&act, self.fault);
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no message is called for twice", |_, world: &World| {
                world.calls.values().all(|calls| *calls <= 1)
            }),
            Property::always("no message loses its owner", |model: &Checked, world: &World| {
                let mut settled = world.clone();
                settled.settle(model.fault);
                (0..model.items).all(|item| {
                    let held = |sender: &Sender| sender.groups.is_some() && sender.held.contains_key(&item);
                    // Neither backup ever lost its state, or a sender that has it in its journal is up.
                    let replicated = world.replicated.contains(&item);
                    let backups_intact = replicated && settled.senders[1].intact && settled.senders[2].intact;
                    let lives = backups_intact || settled.senders.iter().any(held);
                    !lives || settled.over.contains(&item) || settled.senders.iter().any(held)
                })
            }),
        ]
    }
}

fn explore(model: Checked) -> (usize, Vec<&'static str>) {
    let expected = model.fault != Fault::None;
    let checker = model.checker().threads(4).spawn_bfs().join();
    let mut found: Vec<_> = checker.discoveries().into_keys().collect();
    found.sort_unstable();
    for (name, path) in checker.discoveries().iter().filter(|_| !expected) {
        println!("{name}: {:#?}", path.clone().into_actions());
        println!("{:#?}", path.last_state().senders);
    }
    (checker.unique_state_count(), found)
}

/// Checks the model for each bound on items, lease expiries and crashes.
fn check_bounds(bounds: &[(u32, usize, usize)]) {
    for (items, expiries, crashes) in bounds.iter().copied() {
        let (states, found) = explore(Checked { items, expiries, crashes, fault: Fault::None });
        println!("{items} items, {expiries} lease expiries, {crashes} crashes: {states} states");
        assert!(found.is_empty() && states > 500, "{found:?} in {states} states");
    }
}

/// Checks that no message is called for twice and that none loses its owner, over everything within the
/// bounds.
#[test]
fn no_message_is_called_twice_or_orphaned_within_bounds() {
    check_bounds(&[(1, 2, 0), (1, 1, 1), (2, 1, 0)]);
}

/// The same within wider bounds, about a minute: `cargo test --release --test takeover -- --ignored`.
#[test]
#[ignore = "takes minutes in a debug build"]
fn no_message_is_called_twice_or_orphaned_within_wider_bounds() {
    check_bounds(&[(1, 3, 0), (1, 2, 1), (1, 1, 2), (2, 2, 0)]);
}

/// Guards against a checker that finds nothing: it must find each of these deliberate faults.
#[test]
fn checker_finds_planted_protocol_faults() {
    for (fault, expiries, crashes) in [(Fault::NoWait, 2, 0), (Fault::NoState, 2, 0), (Fault::NoFence, 2, 0)]
    {
        expect_found(fault, expiries, crashes);
    }
}

/// The fault shows only after two crashes.
#[test]
#[ignore = "takes minutes in a debug build"]
fn checker_finds_a_lost_promise() {
    expect_found(Fault::NoMemory, 2, 2);
}

fn expect_found(fault: Fault, expiries: usize, crashes: usize) {
    let (states, found) = explore(Checked { items: 1, expiries, crashes, fault });
    println!("{fault:?}: {found:?} in {states} states");
    assert!(found.contains(&"no message is called for twice"), "{fault:?}: {found:?} in {states} states");
}
