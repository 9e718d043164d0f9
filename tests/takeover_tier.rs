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
    told: u32,
    /// When it may be called for: until then it waits for its destination.
    at: Micros,
    waits: Option<u32>,
    free: bool,
    /// When its call ends.
    out: Option<Micros>,
}

struct Sender {
    part: Option<Takeover>,
    memory: DurableState,
    journal: BTreeMap<(ReplicaGroupId, Item), Held>,
    stopped: Micros,
    /// Groups whose messages may be replicated again.
    bare: Vec<ReplicaGroupId>,
    down: Option<Micros>,
}

struct Tier {
    now: Micros,
    rng: fastrand::Rng,
    senders: Vec<Sender>,
    under_way: Vec<(Micros, Rank, Rank, Vec<u8>)>,
    loss: f64,
    cuts: BTreeMap<(Rank, Rank), Micros>,
    next: u32,
    calls: BTreeMap<u32, u32>,
    ended: BTreeMap<u32, Micros>,
    /// Messages that a backup has acknowledged, with their owner.
    covered: BTreeMap<u32, Rank>,
    adopted: u64,
    anew: u64,
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
            cuts: BTreeMap::new(),
            next: 0,
            calls: BTreeMap::new(),
            ended: BTreeMap::new(),
            covered: BTreeMap::new(),
            adopted: 0,
            anew: 0,
            datagrams: 0,
        };
        for rank in 0..SIZE {
            let memory = DurableState { id: tier.rng.u64(..), promises: BTreeMap::new() };
            let journal = BTreeMap::new();
            tier.senders.push(Sender { part: None, memory, journal, stopped: 0, bare: vec![], down: None });
            tier.start(rank);
        }
        tier
    }

    fn start(&mut self, rank: usize) {
        let config: Config = serde_json::from_str("{}").unwrap();
        let (seed, now) = (self.rng.u64(..), self.now);
        let sender = &mut self.senders[rank];
        let mut part = Takeover::new(&config, rank as Rank, SIZE, seed, sender.memory.clone(), now);
        part.resume(now, sender.journal.values().map(|held| held.tag.clone()));
        (sender.part, sender.down) = (Some(part), None);
    }

    fn crash(&mut self, rank: usize, folder_kept: bool, back: Micros) {
        let fresh = DurableState { id: self.rng.u64(..), promises: BTreeMap::new() };
        let sender = &mut self.senders[rank];
        (sender.part, sender.down) = (None, Some(back));
        sender.bare.clear();
        if !folder_kept {
            sender.journal.clear();
            sender.memory = fresh;
        }
        for held in sender.journal.values_mut() {
            (held.waits, held.free) = (None, false);
        }
    }

    /// Accepts a message, and replicates it; without backups, none is accepted.
    fn take(&mut self, rank: usize) {
        let now = self.now;
        let at = now + self.rng.u64(0..3 * SECOND);
        let Some(part) = &mut self.senders[rank].part else { return };
        let Ok(tag) = part.place(200, 20 * SECOND) else { return };
        let id = self.next;
        self.next += 1;
        let mut record = id.to_le_bytes().to_vec();
        record.resize(self.rng.usize(4..900), 0);
        let told = part.replicate(now, tag.group, tag.item, Update::Record(record)).unwrap_or(0);
        let place = (tag.group, tag.item);
        let held = Held { id, tag, told, at, waits: None, free: false, out: None };
        self.senders[rank].journal.insert(place, held);
    }

    /// A sender's own work: handles events, replicates messages again, calls for due messages, finishes
    /// called ones.
    fn work(&mut self, rank: usize) {
        let now = self.now;
        let Some(mut part) = self.senders[rank].part.take() else { return };
        let mut journal = std::mem::take(&mut self.senders[rank].journal);
        for said in part.take_events() {
            match said {
                GroupEvent::Granted { group, upto } => {
                    for (place, held) in journal.iter_mut().filter(|(place, _)| place.0 == group) {
                        if held.waits.is_some_and(|n| n <= upto) {
                            (held.waits, held.free) = (None, true);
                        }
                        if place.0.owner == rank as Rank && held.told <= upto {
                            self.covered.insert(held.id, rank as Rank);
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
                        let held = Held { id, tag, told: 0, at, waits: None, free: false, out: None };
                        journal.insert((group, item), held);
                    }
                }
                GroupEvent::Lost { group, items } => {
                    journal.retain(|place, _| place.0 != group || !items.contains(&place.1));
                }
                GroupEvent::Finished(group, item) => drop(journal.remove(&(group, item))),
                GroupEvent::SoleOwner(group) => self.senders[rank].bare.push(group),
            }
        }
        let bare = std::mem::take(&mut self.senders[rank].bare);
        let places: Vec<_> = journal.keys().filter(|place| bare.contains(&place.0)).copied().collect();
        for place in places {
            let Some(tag) = part.place_rereplicated(200, 20 * SECOND) else {
                self.senders[rank].bare.push(place.0);
                continue;
            };
            let Some(mut held) = journal.remove(&place) else { continue };
            let begun = held.waits.is_some() || held.free || held.out.is_some();
            let attempts = begun.then_some((0, Attempt { at: now, never_ran: false })).into_iter().collect();
            let record = Some(held.id.to_le_bytes().to_vec());
            part.replicate_all(
                now,
                tag.group,
                tag.item,
                &MessageState { record, attempts, given_up: None, over: false },
            );
            part.replicate(now, place.0, place.1, Update::Over);
            (held.told, held.waits) = (u32::MAX, None);
            held.free |= begun;
            self.anew += 1;
            journal.insert((tag.group, tag.item), Held { tag, ..held });
        }
        let mut over = vec![];
        for (place, held) in &mut journal {
            if let Some(until) = held.out {
                if now >= until {
                    self.ended.entry(held.id).or_insert(now);
                    over.push(*place);
                }
            } else if held.free {
                *self.calls.entry(held.id).or_default() += 1;
                held.out = Some(now + 50_000);
            } else if now >= held.at && held.waits.is_none() && part.owns(place.0) {
                held.waits = part.replicate(now, place.0, place.1, Update::Intent(0));
                held.free = held.waits.is_none();
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
            if now < self.senders[rank].stopped {
                continue;
            }
            if self.rng.f64() < take {
                self.take(rank);
            }
            self.work(rank);
            let mut out = vec![];
            let sender = &mut self.senders[rank];
            if let Some(part) = &mut sender.part {
                if part.due() <= now {
                    part.tick(now);
                }
                if let Some(memory) = part.take_unsaved_state() {
                    sender.memory = memory.clone();
                }
                part.flush(now, &mut out);
            }
            for (to, bytes) in out {
                assert!(bytes.len() <= 256);
                self.datagrams += 1;
                let cut = self.cuts.get(&(rank as Rank, to)).is_some_and(|until| now < *until);
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
            .partition(|(at, _, to, _)| *at <= now && now >= self.senders[usize::from(*to)].stopped);
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

    fn twice(&self) -> Vec<u32> {
        self.calls.iter().filter(|(_, calls)| **calls > 1).map(|(id, _)| *id).collect()
    }
}

/// Checks that no message is called for twice under random crashes with and without loss of the folder,
/// pauses, one-way and two-way cuts, and datagram loss.
#[test]
fn nothing_is_called_for_twice() {
    let (mut adopted, mut calls, mut anew) = (0, 0, 0);
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
                2 => tier.senders[rank].stopped = until,
                _ => {
                    let both = tier.rng.bool();
                    for other in (0..SIZE).filter(|other| *other != rank) {
                        let (a, b) = (rank as Rank, other as Rank);
                        tier.cuts.insert((a, b), until);
                        if both {
                            tier.cuts.insert((b, a), until);
                        }
                    }
                }
            }
            tier.run(tier.rng.clone().u64(300_000..2 * SECOND), 0.03);
        }
        tier.run(10 * SECOND, 0.0);
        assert_eq!(tier.twice(), Vec::<u32>::new(), "seed {seed}");
        adopted += tier.adopted;
        anew += tier.anew;
        calls += tier.calls.len();
    }
    println!("{calls} messages called for, {adopted} taken over, {anew} replicated again");
    assert!(adopted > 300 && anew > 300 && calls > 3_000, "{calls} called for, {adopted} taken over");
}

/// Guards against orphaned messages: every message that backups had acknowledged to a sender that is lost for
/// good ends within a few seconds, with and without datagram loss.
#[test]
fn what_was_covered_is_taken_over() {
    for seed in 100..112 {
        let mut tier = Tier::new(seed, [0.0, 0.2][seed as usize % 2]);
        tier.run(4 * SECOND, 0.02);
        let rank = tier.rng.usize(..SIZE);
        let lost = tier.now;
        tier.crash(rank, true, Micros::MAX);
        tier.run(12 * SECOND, 0.0);
        let owed = tier.covered.iter().filter(|(_, owner)| **owner == rank as Rank);
        let without: Vec<_> = owed.clone().filter(|(id, _)| !tier.ended.contains_key(id)).collect();
        assert!(owed.count() > 30 && tier.adopted > 5, "seed {seed}: {} taken over", tier.adopted);
        assert!(without.is_empty(), "seed {seed}: {without:?}");
        let last = tier.ended.values().max().unwrap() - lost;
        assert!(last < 6 * SECOND, "seed {seed}: the last one ended after {last} µs");
        assert_eq!(tier.twice(), Vec::<u32>::new(), "seed {seed}");
    }
}

/// Guards the idle cost: the number of datagrams each sender sends per second.
#[test]
fn an_idle_tier_says_little() {
    let mut tier = Tier::new(5, 0.0);
    tier.run(5 * SECOND, 0.0);
    let before = tier.datagrams;
    tier.run(20 * SECOND, 0.0);
    let each = (tier.datagrams - before) as f64 / 20.0 / SIZE as f64;
    assert!(each < 60.0, "{each} datagrams a second each");
    println!("{each} datagrams a second each while idle");
}
