//! A tier of members in seeded virtual time, with a lossy network that can be cut, and queries on their
//! views.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use myrtleyard::interface::Micros;
use myrtleyard::membership::*;

pub const PERIOD: Micros = 1_000_000;
pub const START: Micros = 1_800_000_000_000_000;
pub const TIER: u32 = 7;

pub struct Tier {
    pub now: Micros,
    pub members: Vec<Option<Membership>>,
    /// Datagrams in flight, by time of arrival.
    wire: BTreeMap<(Micros, u64), (Rank, Rank, Vec<u8>)>,
    pub sent: u64,
    /// The next tick of each member.
    dues: BTreeSet<(Micros, usize)>,
    due: Vec<Micros>,
    pub loss: f64,
    /// Range of the one-way delay.
    pub delay: (Micros, Micros),
    /// Whether the link from the first to the second member is cut at a time.
    pub cut: Box<dyn Fn(Rank, Rank, Micros) -> bool>,
    /// Share of datagrams that are duplicated, and the maximum extra delay of the duplicate.
    pub echo: (f64, Micros),
    pub rng: fastrand::Rng,
}

pub fn config() -> Config {
    Config { period_ms: 1000, tier: String::new() }
}

pub fn place(own: usize, size: usize) -> Place {
    Place { own: own as Rank, size, tier: TIER, zone: 0 }
}

impl Tier {
    pub fn new(size: usize, seed: u64) -> Self {
        let mut tier = Self {
            now: START,
            members: (0..size).map(|_| None).collect(),
            wire: BTreeMap::new(),
            sent: 0,
            dues: BTreeSet::new(),
            due: vec![Micros::MAX; size],
            loss: 0.0,
            delay: (500, 20_000),
            cut: Box::new(|_, _, _| false),
            echo: (0.0, 0),
            rng: fastrand::Rng::with_seed(seed),
        };
        (0..size).for_each(|rank| tier.start(rank));
        tier
    }

    pub fn start(&mut self, rank: usize) {
        let (seed, size) = (self.rng.u64(..), self.members.len());
        self.put(rank, Membership::new(&config(), place(rank, size), seed, self.now));
    }

    /// Installs a member, for instance a paused one that resumes.
    pub fn put(&mut self, rank: usize, member: Membership) {
        self.members[rank] = Some(member);
        self.reschedule(rank);
    }

    /// Removes a member: a crash, or a pause if the caller keeps it.
    pub fn remove(&mut self, rank: usize) -> Membership {
        let member = self.members[rank].take().expect("the member runs");
        self.reschedule(rank);
        member
    }

    fn reschedule(&mut self, rank: usize) {
        self.dues.remove(&(self.due[rank], rank));
        self.due[rank] = self.members[rank].as_ref().map_or(Micros::MAX, |m| m.due().max(self.now));
        if self.members[rank].is_some() {
            self.dues.insert((self.due[rank], rank));
        }
    }

    pub fn send(&mut self, from: usize, out: Outgoing) {
        let from = from as Rank;
        for (to, datagram) in out {
            assert!(datagram.len() <= MAX_DATAGRAM_LEN);
            self.sent += 1;
            if self.rng.f64() >= self.loss && !(self.cut)(from, to, self.now) {
                let at = self.now + self.rng.u64(self.delay.0..self.delay.1);
                if self.rng.f64() < self.echo.0 {
                    let again = at + self.rng.u64(0..=self.echo.1);
                    self.sent += 1;
                    self.wire.insert((again, self.sent), (from, to, datagram.clone()));
                }
                self.wire.insert((at, self.sent), (from, to, datagram));
            }
        }
    }

    /// Lets time pass.
    pub fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        loop {
            let tick = self.dues.first().copied();
            let arrival = self.wire.keys().next().map(|key| key.0);
            let next = tick.map(|t| t.0).into_iter().chain(arrival).min();
            let Some(next) = next.filter(|next| *next <= until) else { break };
            self.now = self.now.max(next);
            let mut out = vec![];
            if arrival == Some(next) {
                let (_, (from, to, datagram)) = self.wire.pop_first().expect("a datagram is in flight");
                if let Some(member) = &mut self.members[usize::from(to)] {
                    member.receive(self.now, from, &datagram, &mut out);
                    self.send(usize::from(to), out);
                }
            } else if let Some((_, rank)) = tick {
                let now = self.now;
                self.members[rank].as_mut().expect("the member runs").tick(now, &mut out);
                self.send(rank, out);
                self.reschedule(rank);
            }
        }
        self.now = until;
    }

    /// Whether a member has this state in the views of all other running members.
    pub fn all_see(&self, rank: usize, state: State) -> bool {
        let others = self.members.iter().enumerate().filter(|(at, _)| *at != rank);
        others.filter_map(|(_, m)| m.as_ref()).all(|m| m.state(rank as Rank) == Some(state))
    }

    /// Whether every running member is alive in all views, with equal incarnations.
    pub fn converged(&self) -> bool {
        let runs = |rank: usize| self.members[rank].is_some();
        (0..self.members.len()).all(|rank| !runs(rank) || self.all_see(rank, State::Alive))
            && self.views_equal()
    }

    pub fn views_equal(&self) -> bool {
        let digests: BTreeSet<u32> = self.members.iter().flatten().map(Membership::digest).collect();
        digests.len() <= 1
    }

    /// Number of periods until the condition holds, at most `max_periods`.
    pub fn until(&mut self, max_periods: u32, holds: impl Fn(&Self) -> bool) -> Option<u32> {
        (0..=max_periods).find(|_| {
            let is = holds(self);
            if !is {
                self.pass(PERIOD);
            }
            is
        })
    }

    /// Number of false deaths, over the views of all running members.
    pub fn false_deaths(&self) -> usize {
        let views = self.members.iter().flatten();
        let dead = |m: &Membership| {
            let dead = m.members().iter().enumerate().filter(|(_, o)| o.state == State::Dead);
            dead.filter(|(rank, _)| self.members[*rank].is_some()).count()
        };
        views.map(dead).sum()
    }
}
