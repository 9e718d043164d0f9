//! One run: the world is built, the senders are started, faults and clients are played, and the history is
//! judged.

use std::collections::HashMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use indicatif::{ProgressBar, ProgressStyle};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::json;

use crate::cost::{self, Cost};
use crate::error_code::CodedError;
use crate::ledger::checker::check;
use crate::ledger::figures::Figures;
use crate::ledger::reads::PlanRules;
use crate::ledger::rules::Breach;
use crate::ledger::{ClassRules, Head, History, Recorder, What};
use crate::links::tcp;
use crate::links::tcp::Relay;
use crate::links::udp::Relays;
use crate::nemesis::{self, Conditions, Struck};
use crate::scenario::{Scenario, bank};
use crate::world::clients::{Clients, arrivals};
use crate::world::discovery::{self, Agent, List, Listed, Service};
use crate::world::endpoints::{Nature, Partner, TRY_LIMIT};
use crate::world::senders::{Addresses, Block, Place, Tier, document, settings};
use crate::world::sessions::Readers;
use crate::world::{End, Registry, sessions, views};
use crate::{Micros, micros};

/// Names of the zones.
const ZONES: [&str; 2] = ["operations-bldg", "annex-bldg"];
/// Kinds of destination.
const KINDS: [&str; 2] = ["bank-partner", "local-lender"];
/// News of the list reach a sender so many milliseconds late.
const NEWS_MS: (u64, u64) = (200, 900);
/// Threads of a run, and of one with more senders than [`FEW`].
const WORKERS: (usize, usize) = (3, 6);
/// See [`WORKERS`].
const FEW: usize = 30;
/// Periods that views are given after all else has ended.
const VIEW_SETTLES: Micros = 15;
/// From when all is there until clients and faults begin.
const LEAD: Micros = 200_000;
/// After the last message has its end, so long is waited for what must not come.
const AFTER: Duration = Duration::from_millis(500);

/// What is to be played.
#[derive(Debug, Clone)]
pub struct Play {
    /// The scenario.
    pub scenario: Scenario,
    /// The seed: of arrivals, of faults that are drawn, and of each party's chance.
    pub seed: u64,
    /// The sender's program.
    pub binary: PathBuf,
    /// Where the history, the logs and the report go.
    pub out: PathBuf,
    /// A progress bar is shown.
    pub progress: bool,
}

/// What came of it.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Rules that were broken.
    pub broken: Vec<Breach>,
    /// Why the run is not to be trusted, if it is not.
    pub doubt: Option<String>,
    /// Senders that did not start, or not again, with their last lines.
    pub troubles: Vec<String>,
    /// Figures.
    pub figures: Figures,
    /// Lateness of the bench itself, microseconds: median, 99th percentile, most.
    pub lateness_us: [u64; 3],
    /// Faults, in words.
    pub faults: Vec<String>,
    /// What the run took.
    pub cost: Cost,
}

impl Outcome {
    /// The run's exit code: 0 all rules were kept, 1 one was broken, 3 the run is not to be trusted.
    pub fn code(&self) -> u8 {
        match (&self.doubt, self.broken.is_empty() && self.troubles.is_empty()) {
            (Some(_), _) => 3,
            (None, true) => 0,
            (None, false) => 1,
        }
    }
}

/// Plays it, in a runtime of its own, so that nothing of one run goes on in the next. The folder is made if
/// need be; an earlier run's files in it are replaced.
///
/// # Errors
/// Fails when the folder, an address or a program can't be had; what a sender does wrong is no error.
pub fn play(play: &Play) -> io::Result<Outcome> {
    let scenario = &play.scenario;
    std::fs::create_dir_all(&play.out)?;
    let text = scenario.text().map_err(io::Error::other)?;
    std::fs::write(play.out.join("scenario.toml"), text)?;
    let file = play.out.join("history.jsonl");
    let (recorder, writer) = Recorder::begin(&file, &head(scenario, play.seed))?;
    let faults = nemesis::schedule(scenario, play.seed);
    let troubles: Arc<Mutex<Vec<String>>> = Arc::default();
    cost::raise_descriptors();
    let before = Cost::now();
    let workers = if scenario.senders > FEW { WORKERS.1 } else { WORKERS.0 };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(workers).enable_all().build()?;
    let descriptors: Arc<cost::Descriptors> = Arc::default();
    let watched = descriptors.clone();
    runtime.spawn(async move { watched.watch().await });
    let over = runtime.block_on(async {
        let bound = Duration::from_micros(bound(scenario));
        tokio::time::timeout(bound, run(play, &recorder, &faults, &troubles)).await
    });
    // Processes that a run given up left behind end here.
    runtime.shutdown_timeout(Duration::from_secs(2));
    let cost = Cost { descriptors: descriptors.max(), ..Cost::now().since(&before, &play.out) };
    let (lateness, dropped) = (recorder.lateness(), recorder.dropped());
    recorder.see(What::Over);
    writer.join().unwrap_or_else(|_| Err(io::Error::other("the writer of the history failed")))?;
    let ended = over.is_ok();
    over.unwrap_or(Ok(()))?;
    let history = History::read(&file)?;
    let most = micros(scenario.lateness_ms / 1000.0);
    let doubt = match () {
        () if !ended => Some("the run did not come to its end in its bound".to_owned()),
        () if lateness[1] > most => Some(format!(
            "the bench was {:.1} ms late at the 99th percentile, over {} ms",
            lateness[1] as f64 / 1000.0,
            scenario.lateness_ms
        )),
        () if dropped > 0 => Some(format!("{dropped} entries of the history were not kept")),
        () => None,
    };
    let troubles = troubles.lock().map(|troubles| troubles.clone()).unwrap_or_default();
    Ok(Outcome {
        broken: check(&history),
        doubt,
        troubles,
        figures: Figures::of(&history),
        lateness_us: lateness,
        faults: faults.iter().map(ToString::to_string).collect(),
        cost,
    })
}

fn head(scenario: &Scenario, seed: u64) -> Head {
    let class = |name: &str, once, times: crate::scenario::Times| ClassRules {
        name: name.to_owned(),
        once,
        aim: micros(times.aim_s),
        window: if once { 0 } else { micros(times.window_s) },
    };
    Head {
        scenario: scenario.name.clone(),
        seed,
        senders: scenario.senders,
        classes: vec![
            class("notice", false, scenario.notice),
            class("disbursement", true, scenario.disbursement),
        ],
        try_limit: TRY_LIMIT,
        drain_grace: 2_000_000,
        view_period: view_period(scenario),
        plans: scenario
            .sessions
            .iter()
            .map(|sessions| PlanRules {
                level: sessions.level,
                staleness: sessions.staleness_ms * 1000,
                tokens: scenario.sections.contains_key("plans"),
            })
            .collect(),
    }
}

/// The period of the senders' view of the fleet, if the scenario turns it on.
fn view_period(scenario: &Scenario) -> Option<Micros> {
    let section = scenario.sections.get("membership")?;
    let period = section.get("period_ms").and_then(toml::Value::as_integer).unwrap_or(1000);
    Some(period.max(1) as Micros * 1000)
}

/// The list of endpoints and what each destination is like.
fn destinations(scenario: &Scenario) -> (Vec<Listed>, Vec<Nature>) {
    let partners = &scenario.partners;
    let zipf = |n: usize| ((n + 1) as f64).powf(-scenario.load.skew);
    let all: f64 = (0..usize::from(partners.count)).map(zipf).sum();
    let banks: Vec<u16> = (0..partners.count).filter(|dest| bank(*dest)).collect();
    let all_banks: f64 = (0..banks.len()).map(zipf).sum();
    let (mut listed, mut natures) = (Vec::new(), Vec::new());
    let since = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    let since_ms = if partners.cold_start { since } else { 0 };
    for dest in 0..partners.count {
        let notices = scenario.load.notice_share * zipf(dest.into()) / all;
        let place = banks.iter().position(|bank| *bank == dest);
        let orders = place.map_or(0.0, |n| (1.0 - scenario.load.notice_share) * zipf(n) / all_banks);
        let limit = ((notices + orders) * scenario.load.per_s * partners.headroom).max(partners.least_per_s);
        for n in 0..partners.endpoints {
            listed.push(Listed {
                name: format!("s-{dest:03}-{n}"),
                zone: ZONES[(usize::from(dest) + n) % 2],
                kind: KINDS[usize::from(place.is_none())],
                group: dest,
                status: "active",
                weight: limit,
                since_ms,
            });
        }
        natures.push(Nature {
            dest,
            limit,
            work: partners.work_ms / 1000.0,
            error_share: partners.error_share,
            tells_wait: partners.tells_wait,
            refused_count: place.is_some(),
            cold_share: partners.cold_share,
            warm: micros(partners.warm_s),
            window: micros(scenario.notice.window_s),
            cold_start: partners.cold_start,
        });
    }
    (listed, natures)
}

fn zone(sender: usize) -> usize {
    sender % 2
}

/// Relays from one sender to all endpoints, in the list's order.
type Lines = Vec<(u16, Relay)>;

struct World {
    lines: Vec<Lines>,
    platform: Vec<Relay>,
    agents: Vec<Arc<Agent>>,
    partners: Vec<Arc<Partner>>,
    relays: Relays,
    listed: Vec<Listed>,
    /// The list's version and which destinations drain in it.
    version: Mutex<(u64, Vec<u16>)>,
    news: Mutex<ChaCha8Rng>,
}

impl World {
    /// Makes these the conditions of all that is not a process.
    fn apply(&self, conditions: &Conditions) {
        self.relays.condition(conditions.datagrams.clone());
        for (links, lines) in conditions.connections.iter().zip(&self.lines) {
            for (dest, relay) in lines {
                relay.condition(links[usize::from(*dest)]);
            }
        }
        for (condition, partner) in conditions.partners.iter().zip(&self.partners) {
            partner.condition(*condition);
        }
        for (condition, agent) in conditions.discovery.iter().zip(&self.agents) {
            agent.condition(*condition);
        }
        let Ok(mut version) = self.version.lock() else { return };
        if version.1 != conditions.draining {
            *version = (version.0 + 1, conditions.draining.clone());
            let mut endpoints = self.listed.clone();
            for dest in &conditions.draining {
                if let Some(first) = endpoints.iter_mut().find(|listed| listed.group == *dest) {
                    first.status = "leaving";
                }
            }
            let list = List { index: version.0, endpoints };
            for agent in &self.agents {
                let delay = self.news.lock().map_or(0, |mut rng| rng.random_range(NEWS_MS.0..=NEWS_MS.1));
                agent.update(list.clone(), delay * 1000);
            }
        }
    }
}

async fn build(
    scenario: &Scenario,
    seed: u64,
    block: &Block,
    registry: &Arc<Registry>,
    recorder: &Recorder,
) -> io::Result<World> {
    let (listed, natures) = destinations(scenario);
    let calls = Arc::new(AtomicU64::new(0));
    let out: Arc<Vec<AtomicUsize>> = Arc::new((0..scenario.senders).map(|_| AtomicUsize::new(0)).collect());
    let partner = |nature: Nature| {
        let own = seed ^ (0x7000 + u64::from(nature.dest));
        Partner::new(nature, registry.clone(), recorder.clone(), calls.clone(), out.clone(), own)
    };
    let partners: Vec<Arc<Partner>> = natures.into_iter().map(partner).collect();
    let endpoint = |listed: &Listed| {
        partners[usize::from(listed.group)].endpoint(listed.name.clone(), scenario.partners.endpoints)
    };
    let endpoints: Vec<_> = listed.iter().map(endpoint).collect();
    let host = block.world();
    let service = Service::new(scenario.discovery.calls_per_s, recorder.clone());
    let (mut lines, mut platform, mut agents) = (Vec::new(), Vec::new(), Vec::new());
    for sender in 0..scenario.senders {
        let mut own: Lines = Vec::with_capacity(listed.len());
        for (n, (listed, endpoint)) in listed.iter().zip(&endpoints).enumerate() {
            let same = listed.zone == ZONES[zone(sender)];
            let usual = if same { scenario.network.same_ms } else { scenario.network.cross_ms };
            let endpoint = endpoint.clone();
            let arrived = move |conduit: tcp::Conduit| {
                tokio::spawn(endpoint.clone().serve(sender, conduit));
            };
            let own_seed = seed ^ ((sender as u64) << 32 | n as u64);
            own.push((listed.group, Relay::open(host, usual, recorder.clone(), own_seed, arrived).await?));
        }
        let addresses: HashMap<String, _> = listed
            .iter()
            .zip(&own)
            .map(|(listed, (_, relay))| (listed.name.clone(), relay.address))
            .collect();
        let list = List { index: discovery::FIRST, endpoints: listed.clone() };
        let (service, registry) = (service.clone(), registry.clone());
        let agent = Agent::new(sender, addresses, list, service, registry, recorder.clone());
        let serving = agent.clone();
        let arrived = move |conduit: tcp::Conduit| {
            tokio::spawn(serving.clone().serve(conduit));
        };
        // The agent is on the sender's own machine.
        platform.push(Relay::open(host, [0.0, 0.1], recorder.clone(), seed, arrived).await?);
        agents.push(agent);
        lines.push(own);
    }
    let usual = |a: usize, b: usize| match zone(a) == zone(b) {
        true => scenario.network.peer_same_ms,
        false => scenario.network.peer_cross_ms,
    };
    let n = scenario.senders;
    let usual = (0..n).map(|a| (0..n).map(|b| usual(a, b)).collect()).collect();
    let peers: Vec<_> = (0..n).map(|sender| block.peer_listen(sender)).collect();
    let relays = Relays::open(host, &peers, usual, recorder.clone(), seed).await?;
    let version = Mutex::new((discovery::FIRST, vec![]));
    let news = Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ 0x6e65_7773));
    Ok(World { lines, platform, agents, partners, relays, listed, version, news })
}

/// The places of the senders: their folders, configurations and held sockets.
fn places(play: &Play, block: &Block, world: &World, held: bool) -> io::Result<Vec<Place>> {
    let scenario = &play.scenario;
    let common = settings(scenario, &ZONES, &KINDS);
    let mut places = Vec::with_capacity(scenario.senders);
    for sender in 0..scenario.senders {
        let folder = play.out.join(format!("sender-{sender}"));
        if folder.exists() {
            std::fs::remove_dir_all(&folder)?;
        }
        std::fs::create_dir_all(&folder)?;
        let folder = folder.canonicalize()?;
        let mut settings = common.clone();
        settings["rank"] = json!(sender);
        settings["locality"] = json!(zone(sender));
        let own = block.peer_listen(sender);
        let addresses = Addresses {
            listen: block.listen(sender),
            discovery: world.platform[sender].address,
            peer_listen: own,
            peers: world.relays.peers(sender, own),
            peers_all: world.relays.peers_all(sender),
        };
        let mut config = document(sender, play.seed, &addresses, settings);
        for (name, section) in &scenario.sections {
            config[name.as_str()] = serde_json::to_value(section)?;
        }
        let held = match held {
            true => {
                let listener = std::net::TcpListener::bind(block.listen(sender))?;
                listener.set_nonblocking(true)?;
                Some(listener)
            }
            false => None,
        };
        places.push(Place { folder, config, held });
    }
    Ok(places)
}

async fn run(
    play: &Play,
    recorder: &Recorder,
    faults: &[crate::scenario::Fault],
    troubles: &Arc<Mutex<Vec<String>>>,
) -> io::Result<()> {
    let scenario = &play.scenario;
    let block = Arc::new(Block::claim()?);
    let registry: Arc<Registry> = Arc::default();
    let world = Arc::new(build(scenario, play.seed, &block, &registry, recorder).await?);
    let held = faults.iter().any(|fault| fault.kind == crate::scenario::Kind::Handover);
    let places = places(play, &block, &world, held)?;
    let (at, known) = (block.clone(), world.clone());
    let behind = scenario.discovery.behind;
    let tier = Arc::new(Tier::new(
        play.binary.clone(),
        places,
        move |sender, generation| at.mgmt(sender, generation),
        move |sender| known.agents[sender].known(behind),
        recorder.clone(),
        scenario.log,
    )?);
    let mut starting = tokio::task::JoinSet::new();
    let begin = recorder.now() + LEAD;
    let early = scenario.senders.saturating_sub(scenario.start.joins);
    for sender in 0..scenario.senders {
        let (tier, recorder) = (tier.clone(), recorder.clone());
        let at = if sender < early { 0.0 } else { scenario.start.joins_at_s };
        starting.spawn(async move {
            recorder.until(begin + micros(at)).await;
            tier.start(sender, false).await
        });
    }
    if scenario.start.early {
        drive(play, recorder, faults, troubles, &world, &tier, &registry, &block, begin).await;
    }
    while let Some(started) = starting.join_next().await {
        if let (Ok(Err(e)), Ok(mut troubles)) = (started, troubles.lock()) {
            troubles.push(format!("{e} ({})", e.code()));
        }
    }
    if !scenario.start.early && troubles.lock().is_ok_and(|troubles| troubles.is_empty()) {
        let begin = recorder.now() + LEAD;
        drive(play, recorder, faults, troubles, &world, &tier, &registry, &block, begin).await;
    }
    tier.end().await;
    Ok(())
}

#[allow(clippy::too_many_arguments)]
async fn drive(
    play: &Play,
    recorder: &Recorder,
    faults: &[crate::scenario::Fault],
    troubles: &Arc<Mutex<Vec<String>>>,
    world: &Arc<World>,
    tier: &Arc<Tier>,
    registry: &Arc<Registry>,
    block: &Block,
    begin: Micros,
) {
    let scenario = &play.scenario;
    let (changed, owed) = (world.clone(), registry.clone());
    let struck = Struck {
        tier: tier.clone(),
        apply: Box::new(move |conditions| changed.apply(conditions)),
        lost: Box::new(move |sender| orphan(&owed, sender)),
        size: (scenario.senders, scenario.partners.count),
        recorder: recorder.clone(),
        troubles: troubles.clone(),
    };
    let listens = (0..scenario.senders).map(|sender| block.listen(sender)).collect();
    let clients = Clients::new(scenario, listens, registry.clone(), recorder.clone());
    let mut looking = clients.watch();
    let mut viewing = views::watch(tier, scenario.senders, recorder);
    let arriving = arrivals(scenario, play.seed, |t| nemesis::load(faults, t));
    let bar = progress(play, scenario.length_s);
    let (shown, counted, clock) = (bar.clone(), clients.clone(), recorder.clone());
    let ticking = tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(200)).await;
            shown.set_position(clock.now().saturating_sub(begin) / 1_000_000);
            shown.set_message(format!("{} messages not over", counted.open()));
        }
    });
    let struck = tokio::spawn(nemesis::play(Arc::new(struck), faults.to_vec(), begin));
    let readers = Arc::new(Readers {
        clients: clients.clone(),
        tier: tier.clone(),
        recorder: recorder.clone(),
        senders: scenario.senders,
        times: (begin, micros(scenario.length_s)),
        partners: scenario.partners.count,
    });
    let mut reading = sessions::play(&readers, scenario, play.seed);
    clients.play(arriving, play.seed, begin).await;
    while reading.join_next().await.is_some() {}
    clients.over().await;
    // Every fault that ends has ended before the run does.
    let _ = struck.await;
    // So have the views come to rest, where there are any.
    let settled = Duration::from_micros(view_period(scenario).unwrap_or(0) * VIEW_SETTLES);
    tokio::time::sleep(AFTER + settled).await;
    viewing.abort_all();
    ticking.abort();
    looking.abort_all();
    bar.finish_and_clear();
}

/// What a sender held goes to others, but for what may have run and may not be repeated.
fn orphan(registry: &Registry, sender: usize) {
    for id in registry.owed(sender) {
        let gone = registry.with(&id, |message| message.class == 1 && message.called);
        registry.end(&id, if gone == Some(true) { End::Failed } else { End::Orphaned });
    }
}

fn progress(play: &Play, length_s: f64) -> ProgressBar {
    if !play.progress {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(length_s.ceil() as u64);
    let style = "{spinner} {wide_bar} {pos}/{len} s  {msg}";
    bar.set_style(ProgressStyle::with_template(style).unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}

/// Reads a history and judges it again, alone.
///
/// # Errors
/// Fails when it can't be read.
pub fn judge(file: &Path) -> io::Result<(Vec<Breach>, Figures)> {
    let history = History::read(file)?;
    Ok((check(&history), Figures::of(&history)))
}

/// The longest that a run may take until it is given up, whatever is wrong.
pub fn bound(scenario: &Scenario) -> Micros {
    let lives = micros(scenario.notice.deadline_s.max(scenario.disbursement.deadline_s));
    let faults = scenario.fault.iter().map(|f| f.at_s + f.for_s.unwrap_or(0.0)).fold(0.0, f64::max);
    let restarts = crate::world::senders::max_restart_time() * scenario.senders as Micros;
    micros(scenario.length_s.max(faults)) + lives + restarts + 60_000_000
}
