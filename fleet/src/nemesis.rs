//! Fault injection: the fault schedule of a run, the resulting conditions of links, destinations and
//! discovery, and the faults of processes. At each change the conditions are recomputed from all active
//! faults, so that a fault that ends leaves nothing behind.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use nix::sys::signal::Signal;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::error_code::CodedError;
use crate::ledger::{Recorder, What};
use crate::links::{Connections, Datagrams};
use crate::scenario::{Fault, Kind, MixName, Mode, Scenario};
use crate::world::discovery;
use crate::world::endpoints::Condition;
use crate::world::senders::{BACK_AFTER, Tier};
use crate::{Micros, micros};

/// Delay of lists where discovery is slow and no time is given.
const DEFAULT_SLOW: Micros = 3_000_000;

/// The conditions of everything except processes under the active faults.
#[derive(Debug, Clone, PartialEq)]
pub struct Conditions {
    /// Datagrams, by sender and receiver.
    pub datagrams: Vec<Vec<Datagrams>>,
    /// Connections, by sender and destination.
    pub connections: Vec<Vec<Connections>>,
    /// Destinations.
    pub partners: Vec<Condition>,
    /// Discovery, by sender.
    pub discovery: Vec<discovery::Condition>,
    /// Destinations whose first endpoint drains.
    pub draining: Vec<u16>,
}

/// The given senders, or all if none is given.
fn senders_or_all(named: &[usize], senders: usize) -> Vec<usize> {
    if named.is_empty() { (0..senders).collect() } else { named.to_vec() }
}

/// The given destinations, or all if none is given.
fn destinations_or_all(named: &[u16], partners: u16) -> Vec<u16> {
    if named.is_empty() { (0..partners).collect() } else { named.to_vec() }
}

impl Conditions {
    /// The combined conditions of these faults.
    pub fn of<'a>(faults: impl IntoIterator<Item = &'a Fault>, senders: usize, partners: u16) -> Self {
        let count = usize::from(partners);
        let mut all = Self {
            datagrams: vec![vec![Datagrams::default(); senders]; senders],
            connections: vec![vec![Connections::default(); count]; senders],
            partners: vec![Condition::default(); count],
            discovery: vec![discovery::Condition::default(); senders],
            draining: vec![],
        };
        for fault in faults {
            all.add(fault, senders, partners);
        }
        all
    }

    fn add(&mut self, fault: &Fault, senders: usize, partners: u16) {
        let from = fault.affected(senders);
        let dests = destinations_or_all(&fault.partners, partners);
        let delay = fault.delay_ms.map_or(0, |ms| micros(ms / 1000.0));
        let share = fault.share.unwrap_or(1.0);
        match fault.kind {
            Kind::Link => {
                for a in &from {
                    for b in senders_or_all(&fault.to, senders) {
                        self.link(*a, b, fault, share, delay);
                        if fault.both_ways {
                            self.link(b, *a, fault, share, delay);
                        }
                    }
                }
            }
            Kind::Partition => {
                let sides: Vec<Option<usize>> = (0..senders).map(|n| fault.side(n)).collect();
                for a in 0..senders {
                    for b in (0..senders).filter(|b| sides[a] != sides[*b]) {
                        self.datagrams[a][b].drop = 1.0;
                        self.datagrams[a][b].flap = 0;
                    }
                }
            }
            Kind::Discovery => {
                for a in from {
                    let agent = &mut self.discovery[a];
                    match fault.mode {
                        Some(Mode::Silent) => agent.silent = true,
                        Some(Mode::Shut) => agent.shut = true,
                        Some(Mode::Slow) => agent.slow += if delay == 0 { DEFAULT_SLOW } else { delay },
                        Some(Mode::Half) => agent.half = true,
                        Some(Mode::Back) => agent.back = true,
                        Some(Mode::Indent) => agent.indent = true,
                        _ => agent.delay += delay,
                    }
                }
            }
            Kind::Wire => {
                for a in from {
                    for dest in &dests {
                        let link = &mut self.connections[a][usize::from(*dest)];
                        match fault.mode {
                            Some(Mode::Cut) => link.cut = true,
                            Some(Mode::Silent) => link.silent = true,
                            _ => link.delay += delay,
                        }
                    }
                }
            }
            Kind::Partner => {
                for dest in dests.iter().map(|dest| usize::from(*dest)) {
                    let partner = &mut self.partners[dest];
                    match fault.mode {
                        Some(Mode::Down) => {
                            partner.down = true;
                            self.connections.iter_mut().for_each(|links| links[dest].cut = true);
                        }
                        Some(Mode::Shut) => partner.shut = true,
                        Some(Mode::Silent) => partner.silent = true,
                        Some(Mode::Wrong) => partner.wrong = true,
                        Some(Mode::Failing) => partner.failing = partner.failing.max(share),
                        _ => partner.slow *= fault.factor.unwrap_or(2.0),
                    }
                }
            }
            Kind::Limit => {
                let factor = fault.factor.unwrap_or(1.0);
                dests.iter().for_each(|dest| self.partners[usize::from(*dest)].limit *= factor);
            }
            Kind::Drain => self.draining.extend(dests),
            Kind::Kill | Kind::Restart | Kind::Stop | Kind::Handover | Kind::Load => {}
        }
    }

    fn link(&mut self, a: usize, b: usize, fault: &Fault, share: f64, delay: Micros) {
        let link = &mut self.datagrams[a][b];
        match fault.mode {
            Some(Mode::Drop) => link.drop = 1.0 - (1.0 - link.drop) * (1.0 - share),
            Some(Mode::Repeat) => link.repeat = link.repeat.max(share),
            Some(Mode::Reorder) => link.reorder = (share, if delay == 0 { 100_000 } else { delay }),
            Some(Mode::Spoil) => link.spoil = link.spoil.max(share),
            Some(Mode::Short) => link.short = link.short.max(share),
            _ => link.delay += delay,
        }
        link.flap = fault.flap_ms.map_or(link.flap, |ms| micros(ms / 1000.0));
    }
}

/// The load as a multiple of the usual at time `t`, in seconds.
pub fn load(faults: &[Fault], t: f64) -> f64 {
    let on = |fault: &&Fault| {
        fault.kind == Kind::Load && fault.at_s <= t && fault.for_s.is_none_or(|len| t < fault.at_s + len)
    };
    faults.iter().filter(on).filter_map(|fault| fault.factor).product()
}

/// The faults of a run: the listed ones, and the random ones of the seed.
pub fn schedule(scenario: &Scenario, seed: u64) -> Vec<Fault> {
    let mut faults = scenario.fault.clone();
    if let Some(mix) = &scenario.mix {
        // A random stream apart from that of the arrivals.
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x6e65_6d65_7369_7300);
        faults.extend((0..mix.faults).filter_map(|_| draw_fault(scenario, mix.name, &mut rng)));
    }
    faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    faults
}

/// Draws a random fault of a mix.
fn draw_fault(scenario: &Scenario, mix: MixName, rng: &mut ChaCha8Rng) -> Option<Fault> {
    use Kind::*;
    let processes: &[Kind] = &[Kill, Kill, Restart, Stop, Handover];
    let links: &[Kind] = &[Link, Link, Link, Partition, Wire];
    let partners: &[Kind] = &[Partner, Partner, Limit, Drain, Load];
    let all = [processes, links, partners, &[Discovery]].concat();
    let kinds = match mix {
        MixName::Processes => processes,
        MixName::Links => links,
        MixName::Partners => partners,
        MixName::All => &all,
    };
    let senders = scenario.senders;
    let round = |x: f64| (x * 100.0).round() / 100.0;
    // All faults are over, and their effects settled, before the clients' load ends.
    let last = scenario.length_s * 0.6;
    let mut fault = Fault::new(*kinds.choose(rng)?, round(rng.random_range(0.1..=1.0) * last));
    let some = |rng: &mut ChaCha8Rng| {
        let many = rng.random_range(1..=senders.div_ceil(3));
        let mut chosen = rand::seq::index::sample(rng, senders, many).into_vec();
        chosen.sort_unstable();
        chosen
    };
    let length = round(rng.random_range(0.5..=6.0));
    fault.for_s = Some(length);
    match fault.kind {
        Kill => {
            fault.senders = some(rng);
            fault.for_s = rng.random_bool(0.9).then_some(length);
            fault.folder_lost = fault.for_s.is_some() && rng.random_bool(0.2);
        }
        Restart | Handover => {
            fault.for_s = None;
            fault.senders = some(rng);
            fault.every_s = rng.random_bool(0.5).then_some(round(rng.random_range(0.5..=2.0)));
        }
        Stop => fault.senders = some(rng),
        Link => {
            fault.senders = some(rng);
            fault.to = some(rng);
            fault.mode = Kind::Link.any_mode(rng);
            fault.share = Some(round(rng.random_range(0.2..=1.0)));
            fault.both_ways = rng.random_bool(0.5);
            fault.flap_ms = rng.random_bool(0.2).then(|| rng.random_range(200..2000).into());
            if matches!(fault.mode, Some(Mode::Delay | Mode::Reorder)) {
                fault.delay_ms = Some(rng.random_range(50..1500).into());
            }
        }
        Partition => {
            let one = some(rng);
            let other: Vec<usize> = (0..senders).filter(|n| !one.contains(n)).collect();
            fault.groups = [one, other].into_iter().filter(|group| !group.is_empty()).collect();
        }
        Discovery | Wire => {
            fault.senders = some(rng);
            fault.mode = fault.kind.any_mode(rng);
            if matches!(fault.mode, Some(Mode::Delay | Mode::Slow)) {
                fault.delay_ms = Some(rng.random_range(100..2000).into());
            }
            if fault.kind == Wire {
                fault.partners = vec![rng.random_range(0..scenario.partners.count)];
            }
        }
        Partner => {
            fault.partners = vec![rng.random_range(0..scenario.partners.count)];
            fault.mode = fault.kind.any_mode(rng);
            fault.share = (fault.mode == Some(Mode::Failing)).then(|| round(rng.random_range(0.5..=1.0)));
            fault.factor = (fault.mode == Some(Mode::Slow)).then(|| round(rng.random_range(2.0..=10.0)));
        }
        Limit => {
            fault.partners = vec![rng.random_range(0..scenario.partners.count)];
            fault.factor = Some(round(rng.random_range(0.2..=0.8)));
        }
        Drain => fault.partners = vec![rng.random_range(0..scenario.partners.count)],
        Load => fault.factor = Some(round(rng.random_range(1.2..=2.0))),
    }
    Some(fault)
}

/// Whether a fault may cut a sender off from half of the others or more, so that they can't tell that it is
/// alive.
fn separates(fault: &Fault, senders: usize) -> bool {
    let much = fault.share.is_none_or(|share| share > 0.6);
    let reach = if fault.to.is_empty() { senders } else { fault.to.len() }.max(match fault.both_ways {
        true if fault.senders.is_empty() => senders,
        true => fault.senders.len(),
        false => 0,
    });
    match fault.kind {
        Kind::Partition => true,
        Kind::Link => match fault.mode {
            Some(Mode::Drop | Mode::Spoil | Mode::Short) => much && reach * 2 >= senders.saturating_sub(1),
            // Datagrams that arrive after an observer's timeout count as lost.
            Some(Mode::Delay | Mode::Reorder) => fault.delay_ms.is_some_and(|ms| ms > 500.0),
            _ => false,
        },
        _ => false,
    }
}

/// What faults act on.
pub struct Targets {
    /// The senders.
    pub tier: Arc<Tier>,
    /// Called when the conditions change.
    pub apply: Box<dyn Fn(&Conditions) + Send + Sync>,
    /// Called when a sender's state folder is about to be emptied, or the sender will not return.
    pub lost: Box<dyn Fn(usize) + Send + Sync>,
    /// Number of senders and of destinations.
    pub size: (usize, u16),
    /// Records the faults.
    pub recorder: Recorder,
    /// Senders that failed to start.
    pub troubles: Arc<Mutex<Vec<String>>>,
}

/// Injects the faults; returns once all that end have ended.
pub async fn play(targets: Arc<Targets>, faults: Vec<Fault>, begin: Micros) {
    let active: Arc<Mutex<BTreeMap<usize, Fault>>> = Arc::default();
    // Faults of one sender are serialized, as with one operator per machine.
    let turns: Arc<Vec<tokio::sync::Mutex<()>>> =
        Arc::new((0..targets.size.0).map(|_| Default::default()).collect());
    let mut tasks = tokio::task::JoinSet::new();
    for (number, fault) in faults.into_iter().enumerate() {
        let (targets, active, turns) = (targets.clone(), active.clone(), turns.clone());
        tasks.spawn(async move {
            targets.recorder.until(begin + micros(fault.at_s)).await;
            let cuts = separates(&fault, targets.size.0);
            let record = |on| targets.recorder.see(What::Fault { number, on, what: fault.to_string(), cuts });
            record(true);
            match fault.kind {
                Kind::Kill | Kind::Restart | Kind::Stop | Kind::Handover => {
                    let mut each = tokio::task::JoinSet::new();
                    for (n, sender) in fault.affected(targets.size.0).into_iter().enumerate() {
                        let (targets, fault, turns) = (targets.clone(), fault.clone(), turns.clone());
                        let at = begin + micros(fault.at_s + fault.every_s.unwrap_or(0.0) * n as f64);
                        each.spawn(async move {
                            targets.recorder.until(at).await;
                            let _turn = turns[sender].lock().await;
                            inject(&targets, &fault, sender).await;
                        });
                    }
                    while each.join_next().await.is_some() {}
                    if fault.kind != Kind::Kill || fault.for_s.is_some() {
                        record(false);
                    }
                }
                _ => {
                    let change = |on: bool| {
                        let Ok(mut active) = active.lock() else { return };
                        match on {
                            true => drop(active.insert(number, fault.clone())),
                            false => drop(active.remove(&number)),
                        }
                        let (senders, partners) = targets.size;
                        (targets.apply)(&Conditions::of(active.values(), senders, partners));
                    };
                    change(true);
                    if let Some(length) = fault.for_s {
                        targets.recorder.until(begin + micros(fault.at_s + length)).await;
                        change(false);
                        record(false);
                    }
                }
            }
        });
    }
    while tasks.join_next().await.is_some() {}
}

/// Applies a process fault to one sender.
async fn inject(targets: &Targets, fault: &Fault, sender: usize) {
    let tier = &targets.tier;
    if !tier.running(sender) {
        // It has left for good already.
        return;
    }
    let length = fault.for_s.map(std::time::Duration::from_secs_f64);
    let started = match (fault.kind, length) {
        (Kind::Kill, None) => {
            tier.kill(sender).await;
            targets.recorder.see(What::Away { sender });
            Ok(())
        }
        (Kind::Kill, Some(length)) => {
            tier.kill(sender).await;
            if fault.folder_lost {
                (targets.lost)(sender);
            }
            tokio::time::sleep(length).await;
            tier.start(sender, fault.folder_lost).await
        }
        (Kind::Restart, _) => {
            tier.terminate(sender).await;
            tokio::time::sleep(BACK_AFTER).await;
            tier.start(sender, false).await
        }
        (Kind::Stop, length) => {
            tier.signal(sender, Signal::SIGSTOP);
            tokio::time::sleep(length.unwrap_or_default()).await;
            tier.signal(sender, Signal::SIGCONT);
            Ok(())
        }
        (Kind::Handover, _) => tier.hand_over(sender).await,
        _ => Ok(()),
    };
    if let (Err(e), Ok(mut troubles)) = (started, targets.troubles.lock()) {
        troubles.push(format!("{e} ({})", e.code()));
    }
}
