//! The membership protocol, checked exhaustively within bounds by a model checker: the production code with
//! three and four members, and every combination of cut links, every crash, restart and pause in each of a
//! few intervals, followed by an interval without faults.

#[path = "common/tier.rs"]
mod tier;

use std::fmt;
use std::hash::{Hash, Hasher};

use myrtleyard::interface::Micros;
use myrtleyard::membership::{DATAGRAMS_PER_PERIOD, Membership, Rank, State};
use stateright::{Checker, Model, Property};
use tier::{PERIOD, START, config, place};

/// Periods in a fault interval: enough for observers to suspect a silent member.
const FAULT_PERIODS: u64 = 7;
/// Periods without faults after which every view must be correct.
const CALM_PERIODS: u64 = 12;

#[derive(Clone)]
struct Process {
    member: Membership,
    stopped: bool,
}

/// All members, and the number of fault intervals so far. Two states are equal if their full contents are.
#[derive(Clone)]
struct Tier {
    now: Micros,
    processes: Vec<Option<Process>>,
    intervals: usize,
    calm: bool,
}

impl Tier {
    fn text(&self) -> String {
        let each = self.processes.iter().map(|p| p.as_ref().map(|p| (p.stopped, format!("{:?}", p.member))));
        format!("{:?} {} {}", each.collect::<Vec<_>>(), self.intervals, self.calm)
    }
}

impl fmt::Debug for Tier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let states = |p: &Process| p.member.members().iter().map(|m| m.state).collect::<Vec<_>>();
        f.debug_list().entries(self.processes.iter().map(|p| p.as_ref().map(states))).finish()
    }
}

impl PartialEq for Tier {
    fn eq(&self, other: &Self) -> bool {
        self.text() == other.text()
    }
}

impl Eq for Tier {}

impl Hash for Tier {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.text().hash(state);
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Act {
    /// The links in this bitmap are cut for an interval.
    Cut(u32),
    /// A member crashes and loses its state.
    Crash(usize),
    /// A member starts without state.
    Start(usize),
    /// A member is paused for an interval.
    Stop(usize),
    /// No faults from now on.
    Calm,
}

/// The running members.
fn running(tier: &Tier) -> Vec<(usize, Membership)> {
    let running = tier.processes.iter().enumerate();
    running.filter_map(|(rank, p)| Some((rank, p.as_ref()?.member.clone()))).collect()
}

struct Checked {
    size: usize,
    intervals: usize,
    /// A deliberate fault: nothing is sent to members considered dead.
    silent_to_dead: bool,
    /// Maximum number of links cut at a time.
    max_links: u32,
}

impl Checked {
    fn new(size: usize, intervals: usize) -> Self {
        Self { size, intervals, silent_to_dead: false, max_links: 32 }
    }

    fn process(&self, rank: usize, now: Micros) -> Option<Process> {
        let member = Membership::new(&config(), place(rank, self.size), rank as u64, now);
        Some(Process { member, stopped: false })
    }

    /// Lets time pass: each running member ticks, and its datagrams arrive at once unless their link is cut.
    fn pass(&self, tier: &mut Tier, periods: u64, cut: u32) {
        let link = |a: usize, b: usize| a * (self.size - 1) + if b > a { b - 1 } else { b };
        for _ in 0..periods * DATAGRAMS_PER_PERIOD as u64 {
            tier.now += PERIOD / DATAGRAMS_PER_PERIOD as u64;
            for rank in 0..self.size {
                let mut out = vec![];
                if let Some(process) = tier.processes[rank].as_mut().filter(|p| !p.stopped) {
                    process.member.tick(tier.now, &mut out);
                }
                // Answers are delivered until none is left; an answer is not answered itself.
                let mut under_way: Vec<(usize, Rank, Vec<u8>)> =
                    out.into_iter().map(|(to, bytes)| (rank, to, bytes)).collect();
                while let Some((from, to, bytes)) = under_way.pop() {
                    let to = usize::from(to);
                    let dead = tier.processes[from].as_ref().map(|p| p.member.state(to as Rank));
                    let silent = self.silent_to_dead && dead == Some(Some(State::Dead));
                    if silent || cut & 1 << link(from, to) != 0 {
                        continue;
                    }
                    let mut out = vec![];
                    if let Some(process) = tier.processes[to].as_mut().filter(|p| !p.stopped) {
                        process.member.receive(tier.now, from as Rank, &bytes, &mut out);
                    }
                    under_way.extend(out.into_iter().map(|(next, bytes)| (to, next, bytes)));
                }
            }
        }
    }
}

impl Model for Checked {
    type State = Tier;
    type Action = Act;

    fn init_states(&self) -> Vec<Tier> {
        let processes = (0..self.size).map(|rank| self.process(rank, START)).collect();
        let mut tier = Tier { now: START, processes, intervals: 0, calm: false };
        self.pass(&mut tier, CALM_PERIODS, 0);
        vec![tier]
    }

    fn actions(&self, tier: &Tier, acts: &mut Vec<Act>) {
        if tier.calm {
            return;
        }
        acts.push(Act::Calm);
        if tier.intervals == self.intervals {
            return;
        }
        let links = self.size * (self.size - 1);
        acts.extend((1..1u32 << links).filter(|cut| cut.count_ones() <= self.max_links).map(Act::Cut));
        for (rank, process) in tier.processes.iter().enumerate() {
            match process {
                Some(_) => acts.extend([Act::Crash(rank), Act::Stop(rank)]),
                None => acts.push(Act::Start(rank)),
            }
        }
    }

    fn next_state(&self, before: &Tier, act: Act) -> Option<Tier> {
        let mut tier = before.clone();
        tier.intervals += 1;
        match act {
            Act::Cut(cut) => self.pass(&mut tier, FAULT_PERIODS, cut),
            Act::Crash(rank) => {
                tier.processes[rank] = None;
                self.pass(&mut tier, FAULT_PERIODS, 0);
            }
            Act::Start(rank) => {
                tier.processes[rank] = self.process(rank, tier.now);
                // Long enough to be heard, too short to be known to all members with certainty.
                self.pass(&mut tier, 1, 0);
            }
            Act::Stop(rank) => {
                if let Some(process) = &mut tier.processes[rank] {
                    process.stopped = true;
                }
                self.pass(&mut tier, FAULT_PERIODS, 0);
                if let Some(process) = &mut tier.processes[rank] {
                    process.stopped = false;
                }
            }
            Act::Calm => {
                (tier.calm, tier.intervals) = (true, before.intervals);
                self.pass(&mut tier, CALM_PERIODS, 0);
            }
        }
        Some(tier)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("running members are eventually alive in all views", |_, tier: &Tier| {
                let running = running(tier);
                let alive =
                    |member: &Membership, rank: usize| member.state(rank as Rank) == Some(State::Alive);
                !tier.calm || running.iter().all(|(_, m)| running.iter().all(|(rank, _)| alive(m, *rank)))
            }),
            Property::always("views are eventually equal", |_, tier: &Tier| {
                let digests: Vec<u32> = running(tier).iter().map(|(_, member)| member.digest()).collect();
                // A member that is alone hears nobody, and declares nobody dead.
                !tier.calm || digests.len() < 2 || digests.windows(2).all(|two| two[0] == two[1])
            }),
            Property::always("every member is alive in its own view", |_, tier: &Tier| {
                let own = |p: &Process| p.member.state(p.member.own()) == Some(State::Alive);
                tier.processes.iter().flatten().all(own)
            }),
        ]
    }
}

fn explore(model: Checked) -> usize {
    let (size, intervals) = (model.size, model.intervals);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = model.checker().threads(threads).spawn_bfs().join();
    let states = checker.unique_state_count();
    println!("{size} members, {intervals} fault intervals: {states} states");
    checker.assert_properties();
    states
}

#[test]
fn three_members_agree_after_any_two_fault_intervals() {
    assert!(explore(Checked::new(3, 2)) > 5_000);
}

#[test]
fn four_members_agree_after_any_interval_of_cut_links() {
    assert!(explore(Checked::new(4, 1)) > 4_000);
    assert!(explore(Checked { max_links: 1, ..Checked::new(4, 2) }) > 400);
}

/// Guards against a checker that finds nothing.
#[test]
fn checker_finds_a_planted_fault() {
    let model = Checked { silent_to_dead: true, ..Checked::new(4, 1) };
    let checker = model.checker().spawn_bfs().join();
    assert!(checker.discovery("running members are eventually alive in all views").is_some());
}
