//! Starts of whole tiers in virtual time, with the production core: hundreds of senders start together and
//! call a list service of limited capacity, over links that lose datagrams.

use myrtleyard::interface::Micros;
use myrtleyard::start::{Begin, CallFailure, Config, Named, Phase, Start};

const STEP: Micros = 20_000;
const SECOND: Micros = 1_000_000;
const BEGAN: Micros = 1_000 * SECOND;
const GRACE: Micros = 2 * SECOND;
/// The service holds a watch for this long; a silent one is called again after the same time.
const HOLD: Micros = 20 * SECOND;
/// Without the section, a sender calls at once, and again after 50 ms.
const AGAIN: Micros = 50_000;

/// The list service: a token bucket of calls, and a list that has changed since the senders last ran.
struct Service {
    capacity: f64,
    room: f64,
    version: u64,
    list: Vec<Named>,
    /// Until these times it does not answer, or rejects all calls.
    silent_until: Micros,
    refuses_until: Micros,
    /// Calls and rejected calls in each second since the beginning.
    calls: Vec<(u32, u32)>,
}

impl Service {
    fn call(&mut self, now: Micros) -> Result<(), CallFailure> {
        let second = ((now - BEGAN) / SECOND) as usize;
        if self.calls.len() <= second {
            self.calls.resize(second + 1, (0, 0));
        }
        self.calls[second].0 += 1;
        if now < self.silent_until {
            return Err(CallFailure::NoAnswer);
        }
        if self.room < 1.0 || now < self.refuses_until {
            self.calls[second].1 += 1;
            return Err(CallFailure::Rejected);
        }
        self.room -= 1.0;
        Ok(())
    }
}

struct Sender {
    core: Option<Start>,
    from: u64,
    /// The end of the call in flight: its time and result.
    out: Option<(Micros, Result<bool, CallFailure>)>,
    rests: Micros,
    listed: Option<Micros>,
    lives: u32,
}

struct Tier {
    now: Micros,
    rng: fastrand::Rng,
    config: Config,
    service: Service,
    senders: Vec<Sender>,
    under_way: Vec<(Micros, u16, u16, Vec<u8>)>,
    loss: f64,
    /// Until then, datagrams between the two halves are lost.
    split_until: Micros,
    /// The part is off: each sender calls by itself, as without the section.
    off: bool,
    /// The number of senders present according to membership views, as a share of the real number.
    view: f64,
}

fn list(changed: bool) -> Vec<Named> {
    // The endpoint s-3 was replaced while no sender ran.
    (0..30).map(|n| (format!("s-{}", if changed && n == 3 { 99 } else { n }), n / 3, true)).collect()
}

impl Tier {
    fn new(count: usize, capacity: f64, section: &str, seed: u64) -> Self {
        let service = Service {
            capacity,
            room: capacity,
            version: 43,
            list: list(true),
            silent_until: 0,
            refuses_until: 0,
            calls: vec![],
        };
        let sender = || Sender { core: None, from: 41, out: None, rests: 0, listed: None, lives: 0 };
        Self {
            now: BEGAN,
            rng: fastrand::Rng::with_seed(seed),
            config: serde_json::from_str(section).unwrap(),
            service,
            senders: std::iter::repeat_with(sender).take(count).collect(),
            under_way: vec![],
            loss: 0.05,
            split_until: 0,
            off: false,
            view: 1.0,
        }
    }

    fn start(&mut self, rank: usize) {
        let begin = Begin {
            own: rank as u16,
            size: self.senders.len(),
            version: self.senders[rank].from,
            capacity: None,
            lives: self.senders[rank].lives,
            watched: true,
            grace: GRACE,
            seed: self.rng.u64(..),
        };
        let mut core = Start::new(&self.config, begin, self.now);
        core.load_cached(begin.version, list(false));
        self.senders[rank].core = Some(core);
        self.senders[rank].out = None;
    }

    fn kill(&mut self, rank: usize) {
        let sender = &mut self.senders[rank];
        sender.lives += u32::from(sender.core.as_ref().is_some_and(|core| core.phase().0 != Phase::Steady));
        (sender.core, sender.out) = (None, None);
    }

    /// Stands in for the I/O side of a sender: it calls the service when the core requests it, and reports
    /// the result to the core.
    fn ask(&mut self, rank: usize) {
        let (now, service) = (self.now, &mut self.service);
        let sender = &mut self.senders[rank];
        let Some(core) = &mut sender.core else { return };
        if let Some((_, how)) = sender.out.take_if(|out| now >= out.0) {
            match how {
                Ok(news) => {
                    core.answered(now, news);
                    core.listed(now, service.version, service.list.clone());
                    sender.from = service.version;
                    sender.listed.get_or_insert(now);
                }
                Err(how) => core.failed(now, how),
            }
            sender.rests = if how.is_err() { now + AGAIN } else { now };
        }
        let due = match self.off {
            true => sender.out.is_none() && now >= sender.rests,
            false => sender.out.is_none() && core.ask_at(now).is_some_and(|at| at <= now),
        };
        if due {
            let from = if core.needs_whole_list() { 0 } else { sender.from };
            core.asked(now);
            sender.out = Some(match service.call(now) {
                Err(CallFailure::NoAnswer) => (now + 3 * SECOND, Err(CallFailure::NoAnswer)),
                Err(how) => (now + 5_000, Err(how)),
                Ok(()) if service.version > from => (now + 5_000, Ok(true)),
                Ok(()) => (now + HOLD, Ok(service.version != from)),
            });
        }
    }

    fn run(&mut self, until: Micros) {
        while self.now < until {
            self.now += STEP;
            let (now, service) = (self.now, &mut self.service);
            service.room = (service.room + service.capacity * STEP as f64 / 1e6).min(service.capacity);
            let there = self.senders.iter().filter(|sender| sender.core.is_some()).count();
            let there = (there as f64 * self.view) as usize;
            let mut out = vec![];
            let (due, later) = std::mem::take(&mut self.under_way).into_iter().partition(|d| d.0 <= now);
            self.under_way = later;
            let due: Vec<(Micros, u16, u16, Vec<u8>)> = due;
            for (_, from, to, bytes) in due {
                if let Some(core) = &mut self.senders[usize::from(to)].core {
                    let mut said = vec![];
                    assert!(core.receive(now, from, &bytes, &mut said));
                    out.extend(said.into_iter().map(|(other, bytes)| (to, other, bytes)));
                }
            }
            for rank in 0..self.senders.len() {
                self.ask(rank);
                let Some(core) = &mut self.senders[rank].core else { continue };
                core.set_peers(there);
                if !self.off && core.due() <= now {
                    let mut said = vec![];
                    core.tick(now, &mut said);
                    out.extend(said.into_iter().map(|(to, bytes)| (rank as u16, to, bytes)));
                }
            }
            for (from, to, bytes) in out {
                assert!(bytes.len() <= 256);
                let apart = now < self.split_until && (from ^ to) & 1 == 1;
                if !apart && self.rng.f64() >= self.loss {
                    let late = self.rng.u64(1_000..20_000);
                    self.under_way.push((now + late, from, to, bytes));
                }
            }
        }
    }

    fn all_start(&mut self) {
        for rank in 0..self.senders.len() {
            self.start(rank);
        }
    }

    /// Calls in the worst second, calls in the first ten seconds, and rejected calls.
    fn calls(&self) -> (u32, u32, u32) {
        let worst = self.service.calls.iter().map(|second| second.0).max().unwrap_or(0);
        let ten = self.service.calls.iter().take(10).map(|second| second.0).sum();
        (worst, ten, self.service.calls.iter().map(|second| second.1).sum())
    }

    /// When the last running sender received the list, since the beginning.
    fn all_listed(&self) -> Option<Micros> {
        let there = self.senders.iter().filter(|sender| sender.core.is_some());
        there.map(|sender| sender.listed.map(|at| at - BEGAN)).max_by_key(|at| at.unwrap_or(Micros::MAX))?
    }
}

const SERVICE: &str = r#"{"source": "service", "bears_per_s": 20}"#;
const LEARNED: &str = r#"{"source": "service"}"#;

/// Prints a table over tier sizes; the asserted bounds are those that the documentation states.
#[test]
fn start_of_whole_tier_keeps_call_rate_within_service_capacity() {
    println!("senders, seed: calls in the worst second, in ten seconds, rejected, all have the list after");
    // For more seeds, and for 1,000 senders, use a release build: START_SEEDS=50 cargo test --release.
    let more = std::env::var("START_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let sizes =
        more.map_or(vec![(150, 2), (300, 1)], |seeds| vec![(150, seeds), (300, seeds), (1000, seeds)]);
    for (count, seeds) in sizes {
        for seed in 0..seeds {
            let mut off = Tier::new(count, 20.0, SERVICE, seed);
            off.off = true;
            off.all_start();
            off.run(BEGAN + 15 * SECOND);
            let mut on = Tier::new(count, 20.0, SERVICE, seed);
            on.all_start();
            on.run(BEGAN + 15 * SECOND);
            let ((before, ..), (worst, ten, away)) = (off.calls(), on.calls());
            println!("{count} off, {seed}: {:?}, {:?}", off.calls(), off.all_listed());
            println!("{count} on, {seed}: {:?}, {:?}", on.calls(), on.all_listed());
            assert!(worst * 10 <= before && worst <= 16, "{worst} calls in a second, {before} without");
            assert!(
                f64::from(ten) <= 1.3 * count as f64,
                "{ten} calls of {count} senders in the first ten seconds"
            );
            assert_eq!(away, 0);
        }
    }
}

/// Until its own slot, each sender uses the list that it has, without the endpoints that two peers report as
/// gone.
#[test]
fn replaced_endpoint_is_hidden_by_peer_reports_before_own_slot() {
    let mut tier = Tier::new(300, 20.0, SERVICE, 3);
    tier.all_start();
    tier.run(BEGAN + 4 * SECOND);
    let gone = |sender: &&Sender| {
        let core = sender.core.as_ref().unwrap();
        sender.listed.is_some() || core.hides("s-3")
    };
    let (know, asked) = (
        tier.senders.iter().filter(gone).count(),
        tier.senders.iter().filter(|sender| sender.listed.is_some()).count(),
    );
    assert!(asked < 80 && know >= 270, "{know} know, {asked} of them from the service");
    // No other endpoint is hidden anywhere, and a list from the service itself ends all hiding.
    assert!(tier.senders.iter().all(|sender| sender.core.as_ref().unwrap().hidden() <= 1));
    tier.run(BEGAN + 30 * SECOND);
    assert!(tier.senders.iter().all(|sender| sender.core.as_ref().unwrap().hidden() == 0));
}

#[test]
fn sender_starting_alone_calls_within_1_s_and_is_steady_within_25_s() {
    let mut tier = Tier::new(300, 20.0, SERVICE, 5);
    tier.all_start();
    tier.run(BEGAN + 60 * SECOND);
    let steady = |sender: &Sender| sender.core.as_ref().is_some_and(|core| core.phase().0 == Phase::Steady);
    assert!(tier.senders.iter().all(steady));
    tier.kill(299);
    (tier.senders[299].listed, tier.senders[299].from) = (None, 41);
    let began = tier.now;
    tier.start(299);
    tier.run(began + SECOND);
    assert!(tier.senders[299].listed.is_some(), "{:?}", tier.senders[299].core);
    tier.run(began + 25 * SECOND);
    assert!(steady(&tier.senders[299]), "{:?}", tier.senders[299].core);
}

/// The service is silent or rejects calls at the beginning, has less capacity than configured, half of the
/// starting senders are killed, others join during the start, the tier is split, or the membership view is
/// off by half: the call rate holds, and all senders get the list.
#[test]
fn faults_during_start_keep_call_rate_bounded_and_all_senders_get_list() {
    type Trouble = fn(&mut Tier);
    let troubles: [(&str, Trouble, u32); 8] = [
        ("silent", |tier| tier.service.silent_until = BEGAN + 8 * SECOND, 48),
        ("refusing", |tier| tier.service.refuses_until = BEGAN + 8 * SECOND, 48),
        ("weak", |tier| tier.service.capacity = 10.0, 48),
        ("killed", |_| {}, 48),
        ("joined", |_| {}, 48),
        ("split", |tier| tier.split_until = BEGAN + 10 * SECOND, 48),
        ("counts too few", |tier| tier.view = 0.5, 48),
        ("counts too many", |tier| tier.view = 1.5, 48),
    ];
    for (name, trouble, most) in troubles {
        let mut tier = Tier::new(150, 20.0, SERVICE, 11);
        trouble(&mut tier);
        match name {
            "joined" => (0..100).for_each(|rank| tier.start(rank)),
            _ => tier.all_start(),
        }
        tier.run(BEGAN + 3 * SECOND);
        match name {
            "joined" => (100..150).for_each(|rank| tier.start(rank)),
            "killed" => {
                (0..150).step_by(2).for_each(|rank| tier.kill(rank));
                tier.run(BEGAN + 4 * SECOND);
                (0..150).step_by(2).for_each(|rank| tier.start(rank));
            }
            _ => {}
        }
        tier.run(BEGAN + 90 * SECOND);
        let (worst, ten, away) = tier.calls();
        println!(
            "{name}: {worst} in the worst second, {ten} in ten, {away} rejected, {:?}",
            tier.all_listed()
        );
        assert!(worst <= most, "{name}: {worst} calls in a second");
        assert!(tier.all_listed().is_some(), "{name}: a sender has no list after 90 s");
    }
}

/// What an agent has counts as received from the first moment. Whatever capacity is assumed, the first call
/// must be sent within half of the time in which sends must have ended, and a failed one must be repeated
/// soon.
#[test]
fn agent_call_is_sent_within_half_of_grace() {
    for (section, lives) in [("{}", 0), (r#"{"bears_per_s": 1}"#, 9)] {
        let mut tier = Tier::new(300, 1e9, section, 2);
        tier.senders.iter_mut().for_each(|sender| sender.lives = lives);
        tier.all_start();
        tier.run(BEGAN + GRACE / 2 + 2 * STEP);
        assert!(tier.all_listed().is_some(), "{section}");
        let core = tier.senders[7].core.as_mut().unwrap();
        for _ in 0..50 {
            core.failed(tier.now, CallFailure::Rejected);
            assert!(core.ask_at(tier.now).is_some_and(|at| at <= tier.now + 600_000));
        }
    }
}

/// Makes a sender report that all endpoints are gone and another one exists, in a version far ahead.
fn lie(tier: &mut Tier, rank: usize) {
    let core = tier.senders[rank].core.as_mut().unwrap();
    core.asked(BEGAN);
    core.listed(BEGAN, 900, vec![("evil".into(), 0, true)]);
    tier.senders[rank].out = Some((Micros::MAX, Ok(false)));
}

/// One false peer hides nothing. Two that agree hide endpoints until the list service answers, and never add
/// any.
#[test]
fn false_peer_lists_only_hide_endpoints_until_service_answers() {
    let mut tier = Tier::new(2, 20.0, SERVICE, 9);
    tier.all_start();
    lie(&mut tier, 0);
    tier.senders[1].out = Some((Micros::MAX, Ok(false)));
    tier.run(BEGAN + 5 * SECOND);
    let core = tier.senders[1].core.as_ref().unwrap();
    assert!(core.hidden() == 0 && core.counts.hints_heard > 3, "one false peer has hidden an endpoint");
    let mut tier = Tier::new(3, 20.0, SERVICE, 9);
    tier.all_start();
    (0..2).for_each(|liar| lie(&mut tier, liar));
    tier.senders[2].out = Some((Micros::MAX, Ok(false)));
    tier.run(BEGAN + 5 * SECOND);
    let core = tier.senders[2].core.as_mut().unwrap();
    assert!(core.hides("s-1") && !core.hides("evil"));
    core.listed(BEGAN + 6 * SECOND, 43, list(true));
    assert_eq!((core.hidden(), core.hides("s-1"), core.changed().contains("s-1")), (0, false, true));
    // Corrupt or oversized messages are counted and have no other effect.
    let mut out = vec![];
    for length in 0..256 {
        let bytes: Vec<u8> = [0xd1, 0x21].into_iter().chain((0..length).map(|_| tier.rng.u8(..))).collect();
        core.receive(BEGAN + 7 * SECOND, 1, &bytes, &mut out);
    }
    assert!(core.counts.dropped >= 250 && core.hidden() == 0);
}

/// The service has lost its versions: a watch from the cached version would be held without any use.
#[test]
fn version_lost_by_service_is_detected_from_peer_hints() {
    let mut tier = Tier::new(60, 20.0, SERVICE, 4);
    tier.service.version = 3;
    tier.senders.iter_mut().for_each(|sender| sender.from = 50);
    for rank in 0..8 {
        tier.senders[rank].from = 0;
    }
    tier.all_start();
    tier.run(BEGAN + 15 * SECOND);
    let late = tier.senders.iter().filter(|sender| sender.listed.is_none()).count();
    assert!(late <= 35, "{late} of 60 wait for a version that never comes");
    assert!(tier.all_listed().is_none_or(|at| at <= HOLD + 5 * SECOND));
}

/// A process that ends repeatedly during its start calls ever later, within a bound.
#[test]
fn failed_starts_widen_jitter_window_up_to_maximum() {
    let slot = |lives| {
        let mut tier = Tier::new(300, 20.0, LEARNED, 1);
        tier.senders[200].lives = lives;
        tier.start(200);
        tier.senders[200].core.as_ref().unwrap().spread(BEGAN)
    };
    assert!(slot(1) > slot(0) && slot(2) > slot(1));
    assert_eq!((slot(9), slot(200)), (60_000_000, 60_000_000));
}
