//! Budgets of a tenant, lent to senders, in virtual time: senders with clocks of their own, kills, splits.

use std::collections::BTreeMap;

use myrtleyard::estimate::Reason;
use myrtleyard::estimate::budget_lease::{BudgetMessage, Budgets, Cost, LEASE_TIME, WINDOW, lender};
use myrtleyard::membership::{MemberView, MembershipView, Rank, State};
use myrtleyard::plans::Plan;

const SECOND: u64 = 1_000_000;
const MINUTE: u64 = 60 * SECOND;
const STEP: u64 = 20_000;

struct Fleet {
    now: u64,
    rng: fastrand::Rng,
    budgets: Vec<Budgets>,
    /// Each sender's own clock: ahead by so much, and faster by so many thousandths.
    clocks: Vec<(u64, u64)>,
    alive: Vec<bool>,
    side: Vec<u8>,
    /// Who sees what, seconds late.
    views: Vec<MembershipView>,
    news: Vec<(u64, Vec<MembershipView>)>,
    on_the_way: Vec<(u64, Rank, Rank, BudgetMessage)>,
    plan: Plan,
    /// When each charge was made, by tenant.
    used: BTreeMap<&'static str, Vec<(u64, Cost)>>,
    refused: BTreeMap<&'static str, u64>,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let clocks: Vec<_> = (0..size).map(|_| (rng.u64(0..1 << 50), rng.u64(900..1_100))).collect();
        let mut fleet = Self {
            now: 0,
            budgets: (0..size)
                .map(|own| Budgets::new(own as Rank, seed ^ own as u64, clocks[own].0))
                .collect(),
            rng,
            clocks,
            alive: vec![true; size],
            side: vec![0; size],
            views: vec![],
            news: vec![],
            on_the_way: vec![],
            plan: Plan { queries_per_min: 600, bytes_per_min: 6_000_000, ..Plan::default() },
            used: BTreeMap::new(),
            refused: BTreeMap::new(),
        };
        fleet.views = fleet.seen();
        fleet
    }

    fn clock(&self, of: usize) -> u64 {
        self.clocks[of].0 + self.now / 1_000 * self.clocks[of].1
    }

    /// What each would see if it saw at once.
    fn seen(&self) -> Vec<MembershipView> {
        let all = 0..self.alive.len();
        let view = |own: usize| {
            let there = |other: usize| self.alive[other] && self.side[own] == self.side[other];
            let state = |other| if there(other) { State::Alive } else { State::Dead };
            let fact = |other| MemberView { state: state(other), since: 0, incarnation: 1, same_zone: true };
            let living = all.clone().filter(|other| there(*other)).count();
            let minority = living * 2 < self.alive.len();
            MembershipView {
                own: own as Rank,
                members: all.clone().map(fact).collect(),
                isolated: living == 1,
                minority,
            }
        };
        all.clone().map(view).collect()
    }

    fn changed(&mut self) {
        self.news.push((self.now + 4 * SECOND, self.seen()));
    }

    /// For so long each living sender asks so often, for each tenant.
    fn play(&mut self, long: u64, tenants: &[(&'static str, f64)]) {
        let end = self.now + long;
        while self.now < end {
            self.now += STEP;
            if let Some((_, views)) = self.news.pop_if(|(at, _)| *at <= self.now) {
                self.views = views;
            }
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.on_the_way).into_iter().partition(|n| n.0 <= self.now);
            self.on_the_way = later;
            for (_, from, to, note) in due {
                let (at, plan) = (usize::from(to), self.plan.clone());
                if self.alive[at] && self.side[at] == self.side[usize::from(from)] {
                    let now = self.clock(at);
                    self.budgets[at].receive(now, &self.views[at], from, note, |_| plan.clone());
                }
            }
            for at in (0..self.alive.len()).filter(|at| self.alive[*at]).collect::<Vec<_>>() {
                let now = self.clock(at);
                self.budgets[at].tick(now, &self.views[at]);
                for (tenant, a_second) in tenants {
                    if self.rng.f64() < a_second * STEP as f64 / 1e6 {
                        self.ask(at, now, tenant);
                    }
                }
                for (to, note) in self.budgets[at].take_messages() {
                    let due = self.now + self.rng.u64(1_000..60_000);
                    if self.rng.f64() > 0.05 {
                        self.on_the_way.push((due, at as Rank, to, note));
                    }
                }
            }
        }
    }

    fn ask(&mut self, at: usize, now: u64, tenant: &'static str) {
        let cost = Cost { queries: 1, bytes: self.rng.u64(1_000..12_000) };
        let had = self.budgets[at].reserve(now, &self.views[at], tenant, &self.plan, cost);
        let charged = had.and_then(|()| self.budgets[at].charge(now, tenant, cost));
        match charged {
            Ok(charge) => {
                let used = Cost { queries: 1, bytes: cost.bytes / 2 };
                self.used.entry(tenant).or_default().push((self.now, used));
                self.budgets[at].settle(now, charge, used);
            }
            Err(_) => *self.refused.entry(tenant).or_default() += 1,
        }
    }

    /// The most that any minute used, as parts of the budget.
    fn worst(&self, tenant: &str) -> f64 {
        let used = self.used.get(tenant).map(Vec::as_slice).unwrap_or_default();
        let (mut first, mut sum, mut worst) = (0, (0, 0), 0.0f64);
        for (at, cost) in used {
            sum = (sum.0 + cost.queries, sum.1 + cost.bytes);
            while used[first].0 + MINUTE <= *at {
                sum = (sum.0 - used[first].1.queries, sum.1 - used[first].1.bytes);
                first += 1;
            }
            let parts = |sum: u64, all: u64| sum as f64 / all as f64;
            worst = worst.max(parts(sum.0, self.plan.queries_per_min.into()));
            worst = worst.max(parts(sum.1, self.plan.bytes_per_min));
        }
        worst
    }
}

fn who_lends(fleet: &Fleet, tenant: &str) -> usize {
    let all: Vec<Rank> = (0..fleet.alive.len()).map(|rank| rank as Rank).collect();
    lender(tenant, &all).map(usize::from).unwrap()
}

#[test]
fn no_minute_uses_more_than_the_budget_and_a_hot_tenant_leaves_the_others_theirs() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(8, seed);
        fleet.play(5 * MINUTE, &[("hot", 20.0), ("calm", 0.5)]);
        let hot = fleet.worst("hot");
        assert!(hot <= 1.0 && hot > 0.7, "seed {seed}: {hot}");
        let calm = (fleet.used["calm"].len() as u64, fleet.refused.get("calm").copied().unwrap_or(0));
        // 240 a minute of 600: what it does not get is the first ask for each piece.
        assert!(calm.1 * 5 < calm.0, "seed {seed}: {calm:?}");
        assert!(fleet.refused["hot"] > fleet.used["hot"].len() as u64, "seed {seed}");
    }
}

#[test]
fn a_lender_killed_with_lent_pieces_costs_one_more_budget_at_most() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(6, seed);
        fleet.play(3 * MINUTE, &[("hot", 20.0)]);
        let lends = who_lends(&fleet, "hot");
        fleet.alive[lends] = false;
        fleet.changed();
        let before = fleet.used["hot"].len();
        fleet.play(3 * MINUTE, &[("hot", 20.0)]);
        let worst = fleet.worst("hot");
        assert!(worst <= 2.125, "seed {seed}: {worst}");
        assert!(fleet.used["hot"].len() - before > 900, "seed {seed}: another one lends");
        // It comes back, and knows nothing.
        let now = fleet.clock(lends);
        fleet.alive[lends] = true;
        fleet.budgets[lends] = Budgets::new(lends as Rank, 99 + seed, now);
        fleet.changed();
        fleet.play(3 * MINUTE, &[("hot", 20.0)]);
        assert!(fleet.worst("hot") <= 2.25, "seed {seed}: {}", fleet.worst("hot"));
    }
}

#[test]
fn both_sides_of_a_split_and_its_healing_use_twice_the_budget_at_most() {
    let mut worst = 0.0f64;
    for seed in 0..6 {
        let mut fleet = Fleet::new(7, seed);
        fleet.play(2 * MINUTE, &[("hot", 20.0)]);
        let lends = who_lends(&fleet, "hot");
        // The lender is on the lesser side in every second run.
        let lesser = [lends, (lends + 1) % 7, (lends + 2) % 7];
        let apart = if seed % 2 == 0 { lesser } else { lesser.map(|rank| (rank + 1) % 7) };
        apart.into_iter().for_each(|rank| fleet.side[rank] = 1);
        fleet.changed();
        fleet.play(2 * MINUTE, &[("hot", 20.0)]);
        fleet.side = vec![0; 7];
        fleet.changed();
        fleet.play(2 * MINUTE, &[("hot", 20.0)]);
        assert!(fleet.worst("hot") <= 2.25, "seed {seed}: {}", fleet.worst("hot"));
        worst = worst.max(fleet.worst("hot"));
    }
    println!("the worst minute over splits: {worst:.2} budgets");
    // It is not for want of trying: sides do overdraw.
    assert!(worst > 1.0, "{worst}");
}

fn alone(rank: Rank) -> MembershipView {
    let fact = MemberView { state: State::Alive, since: 0, incarnation: 1, same_zone: true };
    MembershipView { own: rank, members: vec![fact; 2], isolated: false, minority: false }
}

#[test]
fn a_piece_lapses_by_its_borrowers_clock_and_comes_late_for_nothing() {
    let tenant = "a";
    let lends = lender(tenant, &[0, 1]).unwrap();
    let borrows = 1 - lends;
    let mut borrower = Budgets::new(borrows, 1, 0);
    let (plan, cost) = (Plan::default(), Cost { queries: 1, bytes: 10 });
    let now = 10 * MINUTE;
    let short = borrower.reserve(now, &alone(borrows), tenant, &plan, cost).unwrap_err();
    assert_eq!(short.reason, Reason::Queries);
    let asked = borrower.take_messages();
    let [(to, BudgetMessage::Request { serial, .. })] = &asked[..] else { panic!("{asked:?}") };
    assert_eq!(*to, lends);
    let lend = BudgetMessage::Grant { tenant: tenant.into(), serial: *serial, cost, after: 0 };
    borrower.receive(now + LEASE_TIME, &alone(borrows), lends, lend.clone(), |_| Plan::default());
    assert_eq!(borrower.remaining(now + LEASE_TIME, tenant), Cost::default(), "it had lapsed when it came");
    let again = now + LEASE_TIME;
    let _ = borrower.reserve(again, &alone(borrows), tenant, &plan, cost);
    let BudgetMessage::Request { serial, .. } = &borrower.take_messages()[0].1 else { panic!() };
    let lend = BudgetMessage::Grant { tenant: tenant.into(), serial: *serial, cost, after: 0 };
    borrower.receive(again + 1, &alone(borrows), lends, lend.clone(), |_| Plan::default());
    borrower.receive(again + 2, &alone(borrows), lends, lend, |_| Plan::default());
    assert_eq!(borrower.remaining(again + 2, tenant), cost, "said twice, it is there once");
    assert_eq!(borrower.remaining(again + LEASE_TIME, tenant), Cost::default());
}

#[test]
fn budgets_at_the_end_of_their_counters_are_lent_and_never_more() {
    let plan = Plan { queries_per_min: u32::MAX, bytes_per_min: u64::MAX, ..Plan::default() };
    let one = MembershipView { members: vec![alone(0).members[0]; 1], ..alone(0) };
    let mut budgets = Budgets::new(0, 1, 0);
    let most = Cost { queries: 1, bytes: u64::MAX };
    assert_eq!(budgets.reserve(2 * WINDOW, &one, "a", &plan, most), Ok(()));
    let charge = budgets.charge(2 * WINDOW, "a", most).unwrap();
    assert!(budgets.reserve(2 * WINDOW + SECOND, &one, "a", &plan, Cost { queries: 1, bytes: 1 }).is_err());
    budgets.settle(2 * WINDOW, charge, Cost { queries: 1, bytes: 0 });
    assert_eq!(budgets.remaining(2 * WINDOW, "a").bytes, u64::MAX);
    let end = u64::MAX - 1;
    let mut budgets = Budgets::new(0, 1, 0);
    assert_eq!(budgets.reserve(end, &one, "a", &plan, Cost { queries: 1, bytes: 1 }), Ok(()));
    budgets.tick(u64::MAX, &one);
}
