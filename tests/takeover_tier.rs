//! The takeover components of a tier in virtual time: leases, backups and channels over links that lose,
//! delay and duplicate datagrams, with random crashes, pauses and cut links. The rest of a sender is reduced
//! to a few lines: it accepts messages, calls for them when it may, and resumes from its journal.

use std::collections::BTreeMap;

use myrtleyard::interface::Micros;
use myrtleyard::takeover::groups::{
    Attempt, DurableState, GroupEvent, Item, MessageState, Rank, ReplicaGroupId, Update,
};
use myrtleyard::takeover::{Config, ReplicaTag, Takeover};

const SIZE: usize = 6;
const STEP: Micros = 1_000;
const SECOND: Micros = 1_000_000;

#[derive(Debug, Clone)]
struct Held {
    id: u32,
    tag: ReplicaTag,
    /// The number of the owner's update with its record.
    record_update: u32,
    /// When it may be called for: until then it waits for its destination.
    at: Micros,
    waits_for_grant: Option<u32>,
    may_call: bool,
    /// When its call ends.
    out: Option<Micros>,
}

struct Sender {
    part: Option<Takeover>,
    durable: DurableState,
    journal: BTreeMap<(ReplicaGroupId, Item), Held>,
    paused_until: Micros,
    /// Groups whose messages may be replicated again.
    unreplicated: Vec<ReplicaGroupId>,
    down: Option<Micros>,
}

struct Tier {
    now: Micros,
    rng: fastrand::Rng,
    senders: Vec<Sender>,
    under_way: Vec<(Micros, Rank, Rank, Vec<u8>)>,
    loss: f64,
    cut_until: BTreeMap<(Rank, Rank), Micros>,
    next: u32,
    calls: BTreeMap<u32, u32>,
    ended: BTreeMap<u32, Micros>,
    /// Messages that a backup has acknowledged, with their owner.
    replicated: BTreeMap<u32, Rank>,
    adopted: u64,
    rereplicated: u64,
    datagrams: u64,
}

impl Tier {
    fn new(seed: u64, loss: f64) -> Self {
        let mut tier = Self {
            now: 1_000 * SECOND,
            rng: fastrand::Rng::with_seed(seed),
            senders: vec![],
            under_way: vec![],
            loss,
            cut_until: BTreeMap::new(),
            next: 0,
            calls: BTreeMap::new(),
            ended: BTreeMap::new(),
            replicated: BTreeMap::new(),
            adopted: 0,
            rereplicated: 0,
            datagrams: 0,
        };
        for rank in 0..SIZE {
            let durable = DurableState { id: tier.rng.u64(..), promises: BTreeMap::new() };
            let journal = BTreeMap::new();
            tier.senders.push(Sender {
                part: None,
                durable,
                journal,
                paused_until: 0,
                unreplicated: vec![],
                down: None,
            });
            tier.start(rank);
        }
        tier
    }

    fn start(&mut self, rank: usize) {
        let config: Config = serde_json::from_str("{}").unwrap();
        let (seed, now) = (self.rng.u64(..), self.now);
        let sender = &mut self.senders[rank];
        let mut part = Takeover::new(&config, rank as Rank, SIZE, seed, sender.durable.clone(), now);
        part.resume(now, sender.journal.values().map(|held| held.tag.clone()));
        (sender.part, sender.down) = (Some(part), None);
    }

    fn crash(&mut self, rank: usize, folder_kept: bool, back: Micros) {
        let fresh = DurableState { id: self.rng.u64(..), promises: BTreeMap::new() };
        let sender = &mut self.senders[rank];
        (sender.part, sender.down) = (None, Some(back));
        sender.unreplicated.clear();
        if !folder_kept {
            sender.journal.clear();
            sender.durable = fresh;
        }
        for held in sender.journal.values_mut() {
            (held.waits_for_grant, held.may_call) = (None, false);
        }
    }

    /// Accepts a message, and replicates it; without backups, none is accepted.
    fn accept(&mut self, rank: usize) {
        let now = self.now;
        let at = now + self.rng.u64(0..3 * SECOND);
        let Some(part) = &mut self.senders[rank].part else { return };
        let Ok(tag) = part.place(200, 20 * SECOND) else { return };
        let id = self.next;
        self.next += 1;
        let mut record = id.to_le_bytes().to_vec();
        record.resize(self.rng.usize(4..900), 0);
        let record_update = part.replicate(now, tag.group, tag.item, Update::Record(record)).unwrap_or(0);
        let place = (tag.group, tag.item);
        let held = Held { id, tag, record_update, at, waits_for_grant: None, may_call: false, out: None };
        self.senders[rank].journal.insert(place, held);
    }

    /// A sender's own work: handles events, replicates messages again, calls for due messages, finishes
    /// called ones.
    fn run_sender(&mut self, rank: usize) {
        let now = self.now;
        let Some(mut part) = self.senders[rank].part.take() else { return };
        let mut journal = std::mem::take(&mut self.senders[rank].journal);
        for event in part.take_events() {
            match event {
                GroupEvent::Granted { group, upto } => {
                    for (place, held) in journal.iter_mut().filter(|(place, _)| place.0 == group) {
                        if held.waits_for_grant.is_some_and(|n| n <= upto) {
                            (held.waits_for_grant, held.may_call) = (None, true);
                        }
                        if place.0.owner == rank as Rank && held.record_update <= upto {
                            self.replicated.insert(held.id, rank as Rank);
                        }
                    }
                }
                GroupEvent::Adopt { group, epoch, backups, items, .. } => {
                    for (item, known) in items {
                        let record = known.record.clone().unwrap();
                        let id = u32::from_le_bytes(record[..4].try_into().unwrap());
                        self.adopted += 1;
                        if known.may_have_run() {
                            self.ended.entry(id).or_insert(now);
                            part.replicate(now, group, item, Update::Over);
                            continue;
                        }
                        let tag = ReplicaTag { group, epoch, item, backups: backups.clone() };
                        let at = now + self.rng.u64(0..SECOND);
                        let held = Held {
                            id,
                            tag,
                            record_update: 0,
                            at,
                            waits_for_grant: None,
                            may_call: false,
                            out: None,
                        };
                        journal.insert((group, item), held);
                    }
                }
                GroupEvent::Lost { group, items } => {
                    journal.retain(|place, _| place.0 != group || !items.contains(&place.1));
                }
                GroupEvent::Finished(group, item) => drop(journal.remove(&(group, item))),
                GroupEvent::SoleOwner(group) => self.senders[rank].unreplicated.push(group),
            }
        }
        let unreplicated = std::mem::take(&mut self.senders[rank].unreplicated);
        let places: Vec<_> =
            journal.keys().filter(|place| unreplicated.contains(&place.0)).copied().collect();
        for place in places {
            let Some(tag) = part.place_rereplicated(200, 20 * SECOND) else {
                self.senders[rank].unreplicated.push(place.0);
                continue;
            };
            let Some(mut held) = journal.remove(&place) else { continue };
            let begun = held.waits_for_grant.is_some() || held.may_call || held.out.is_some();
            let attempts = begun.then_some((0, Attempt { at: now, never_ran: false })).into_iter().collect();
            let record = Some(held.id.to_le_bytes().to_vec());
            part.replicate_all(
                now,
                tag.group,
                tag.item,
                &MessageState { record, attempts, given_up: None, over: false },
            );
            part.replicate(now, place.0, place.1, Update::Over);
            (held.record_update, held.waits_for_grant) = (u32::MAX, None);
            held.may_call |= begun;
            self.rereplicated += 1;
            journal.insert((tag.group, tag.item), Held { tag, ..held });
        }
        let mut over = vec![];
        for (place, held) in &mut journal {
            if let Some(until) = held.out {
                if now >= until {
                    self.ended.entry(held.id).or_insert(now);
                    over.push(*place);
                }
            } else if held.may_call {
                *self.calls.entry(held.id).or_default() += 1;
                held.out = Some(now + 50_000);
            } else if now >= held.at && held.waits_for_grant.is_none() && part.owns(place.0) {
                held.waits_for_grant = part.replicate(now, place.0, place.1, Update::Intent(0));
                held.may_call = held.waits_for_grant.is_none();
            }
        }
        for place in over {
            journal.remove(&place);
            part.replicate(now, place.0, place.1, Update::Over);
        }
        self.senders[rank].journal = journal;
        self.senders[rank].part = Some(part);
    }

    fn step(&mut self, take: f64) {
        self.now += STEP;
        let now = self.now;
        for rank in 0..SIZE {
            if self.senders[rank].down.is_some_and(|back| now >= back) {
                self.start(rank);
            }
            if now < self.senders[rank].paused_until {
                continue;
            }
            if self.rng.f64() < take {
                self.accept(rank);
            }
            self.run_sender(rank);
            let mut out = vec![];
            let sender = &mut self.senders[rank];
            if let Some(part) = &mut sender.part {
                if part.due() <= now {
                    part.tick(now);
                }
                if let Some(durable) = part.take_unsaved_state() {
                    sender.durable = durable.clone();
                }
                part.flush(now, &mut out);
            }
            for (to, bytes) in out {
                assert!(bytes.len() <= 256);
                self.datagrams += 1;
                let cut = self.cut_until.get(&(rank as Rank, to)).is_some_and(|until| now < *until);
                for _ in 0..if self.rng.f64() < 0.05 { 2 } else { 1 } {
                    let at = now + self.rng.u64(2_000..30_000);
                    if !cut && self.rng.f64() >= self.loss {
                        self.under_way.push((at, rank as Rank, to, bytes.clone()));
                    }
                }
            }
        }
        let (come, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.under_way)
            .into_iter()
            .partition(|(at, _, to, _)| *at <= now && now >= self.senders[usize::from(*to)].paused_until);
        self.under_way = later;
        for (_, from, to, bytes) in come {
            if let Some(part) = &mut self.senders[usize::from(to)].part {
                part.receive(now, from, &bytes);
            }
        }
    }

    fn run(&mut self, time: Micros, take: f64) {
        for _ in 0..time / STEP {
            self.step(take);
        }
    }

    fn called_twice(&self) -> Vec<u32> {
        self.calls.iter().filter(|(_, calls)| **calls > 1).map(|(id, _)| *id).collect()
    }
}

/// Checks that no message is called for twice under random crashes with and without loss of the folder,
/// pauses, one-way and two-way cuts, and datagram loss.
#[test]
fn no_message_is_called_twice_under_random_faults() {
    let (mut adopted, mut calls, mut rereplicated) = (0, 0, 0);
    for seed in 0..30 {
        let mut tier = Tier::new(seed, [0.0, 0.1, 0.3][seed as usize % 3]);
        tier.run(2 * SECOND, 0.0);
        for _ in 0..14 {
            let rank = tier.rng.usize(..SIZE);
            let time = tier.rng.u64(200_000..5 * SECOND);
            let until = tier.now + time;
            match tier.rng.u8(..4) {
                0 => tier.crash(rank, true, until),
                1 => tier.crash(rank, false, until),
                2 => tier.senders[rank].paused_until = until,
                _ => {
                    let both = tier.rng.bool();
                    for other in (0..SIZE).filter(|other| *other != rank) {
                        let (a, b) = (rank as Rank, other as Rank);
                        tier.cut_until.insert((a, b), until);
                        if both {
                            tier.cut_until.insert((b, a), until);
                        }
                    }
                }
            }
            tier.run(tier.rng.clone().u64(300_000..2 * SECOND), 0.03);
        }
        tier.run(10 * SECOND, 0.0);
        assert_eq!(tier.called_twice(), Vec::<u32>::new(), "seed {seed}");
        adopted += tier.adopted;
        rereplicated += tier.rereplicated;
        calls += tier.calls.len();
    }
    println!("{calls} messages called for, {adopted} taken over, {rereplicated} replicated again");
    assert!(adopted > 300 && rereplicated > 300 && calls > 3_000, "{calls} called for, {adopted} taken over");
}

/// Guards against orphaned messages: every message that backups had acknowledged to a sender that is lost for
/// good ends within a few seconds, with and without datagram loss.
#[test]
fn replicated_messages_of_a_lost_sender_are_taken_over() {
    for seed in 100..112 {
        let mut tier = Tier::new(seed, [0.0, 0.2][seed as usize % 2]);
        tier.run(4 * SECOND, 0.02);
        let rank = tier.rng.usize(..SIZE);
        let lost = tier.now;
        tier.crash(rank, true, Micros::MAX);
        tier.run(12 * SECOND, 0.0);
        let owed = tier.replicated.iter().filter(|(_, owner)| **owner == rank as Rank);
        let without: Vec<_> = owed.clone().filter(|(id, _)| !tier.ended.contains_key(id)).collect();
        assert!(owed.count() > 30 && tier.adopted > 5, "seed {seed}: {} taken over", tier.adopted);
        assert!(without.is_empty(), "seed {seed}: {without:?}");
        let last = tier.ended.values().max().unwrap() - lost;
        assert!(last < 6 * SECOND, "seed {seed}: the last one ended after {last} µs");
        assert_eq!(tier.called_twice(), Vec::<u32>::new(), "seed {seed}");
    }
}

/// Guards the idle cost: the number of datagrams each sender sends per second.
#[test]
fn idle_sender_sends_few_datagrams() {
    let mut tier = Tier::new(5, 0.0);
    tier.run(5 * SECOND, 0.0);
    let before = tier.datagrams;
    tier.run(20 * SECOND, 0.0);
    let each = (tier.datagrams - before) as f64 / 20.0 / SIZE as f64;
    assert!(each < 60.0, "{each} datagrams a second each");
    println!("{each} datagrams a second each while idle");
}
