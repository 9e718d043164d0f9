//! One run: builds the environment, starts the senders, runs faults and clients, and checks the history.

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
use crate::nemesis::{self, Conditions, Targets};
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
/// Range of the delay of list changes to a sender, milliseconds.
const LIST_DELAY_MS: (u64, u64) = (200, 900);
/// Worker threads of a run with up to [`FEW`] senders, and of one with more.
const WORKERS: (usize, usize) = (3, 6);
/// See [`WORKERS`].
const FEW: usize = 30;
/// Protocol periods that membership views have to converge after everything else has ended.
const VIEW_SETTLES: Micros = 15;
/// Time from the end of the set-up until clients and faults begin.
const LEAD: Micros = 200_000;
/// Time to wait, after the last message has ended, for events that must not occur.
const GRACE: Duration = Duration::from_millis(500);

/// The parameters of a run.
#[derive(Debug, Clone)]
pub struct Play {
    /// The scenario.
    pub scenario: Scenario,
    /// The seed of arrivals, of random faults, and of each party's random choices.
    pub seed: u64,
    /// The sender's program.
    pub binary: PathBuf,
    /// Folder for the history, the logs and the report.
    pub out: PathBuf,
    /// Whether to show a progress bar.
    pub progress: bool,
}

/// The result of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Violations of the rules.
    pub broken: Vec<Breach>,
    /// Why the run is not trustworthy, if it is not.
    pub doubt: Option<String>,
    /// Senders that failed to start or restart, with their last log lines.
    pub troubles: Vec<String>,
    /// Statistics.
    pub figures: Figures,
    /// Lateness of the bench itself, microseconds: median, 99th percentile, maximum.
    pub lateness_us: [u64; 3],
    /// Descriptions of the faults.
    pub faults: Vec<String>,
    /// Resource use of the run.
    pub cost: Cost,
}

impl Outcome {
    /// The run's exit code: 0 no rule was broken, 1 a rule was broken, 3 the run is not trustworthy.
    pub fn code(&self) -> u8 {
        match (&self.doubt, self.broken.is_empty() && self.troubles.is_empty()) {
            (Some(_), _) => 3,
            (None, true) => 0,
            (None, false) => 1,
        }
    }
}

/// Executes a run in its own runtime, so that no task of it continues in the next run. The folder is created
/// if needed; files of an earlier run in it are replaced.
///
/// # Errors
/// Fails when the folder, an address or a program is not available; faults of a sender are not errors.
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
    // Ends the processes that an aborted run has left behind.
    runtime.shutdown_timeout(Duration::from_secs(2));
    let cost = Cost { descriptors: descriptors.max(), ..Cost::now().since(&before, &play.out) };
    let (lateness, dropped) = (recorder.lateness(), recorder.dropped());
    recorder.see(What::Over);
    writer.join().unwrap_or_else(|_| Err(io::Error::other("the writer of the history failed")))?;
    let ended = over.is_ok();
    over.unwrap_or(Ok(()))?;
    let history = History::read(&file)?;
    let max_lateness = micros(scenario.lateness_ms / 1000.0);
    let doubt = match () {
        () if !ended => Some("the run did not end within its time limit".to_owned()),
        () if lateness[1] > max_lateness => Some(format!(
            "the bench was {:.1} ms late at the 99th percentile, over {} ms",
            lateness[1] as f64 / 1000.0,
            scenario.lateness_ms
        )),
        () if dropped > 0 => Some(format!("{dropped} entries of the history were dropped")),
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

/// The protocol period of the senders' membership, if the scenario enables it.
fn view_period(scenario: &Scenario) -> Option<Micros> {
    let section = scenario.sections.get("membership")?;
    let period = section.get("period_ms").and_then(toml::Value::as_integer).unwrap_or(1000);
    Some(period.max(1) as Micros * 1000)
}

/// The list of endpoints, and the properties of each destination.
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

/// Relays from one sender to all endpoints, in the order of the list.
type EndpointRelays = Vec<(u16, Relay)>;

struct World {
    endpoint_relays: Vec<EndpointRelays>,
    platform: Vec<Relay>,
    agents: Vec<Arc<Agent>>,
    partners: Vec<Arc<Partner>>,
    relays: Relays,
    listed: Vec<Listed>,
    /// The list's version, and the destinations with a draining endpoint in it.
    version: Mutex<(u64, Vec<u16>)>,
    /// Draws the delays of list changes.
    list_delays: Mutex<ChaCha8Rng>,
}

impl World {
    /// Applies the conditions to everything except processes.
    fn apply(&self, conditions: &Conditions) {
        self.relays.condition(conditions.datagrams.clone());
        for (links, relays) in conditions.connections.iter().zip(&self.endpoint_relays) {
            for (dest, relay) in relays {
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
                let delay = self
                    .list_delays
                    .lock()
                    .map_or(0, |mut rng| rng.random_range(LIST_DELAY_MS.0..=LIST_DELAY_MS.1));
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
    let (mut endpoint_relays, mut platform, mut agents) = (Vec::new(), Vec::new(), Vec::new());
    for sender in 0..scenario.senders {
        let mut own: EndpointRelays = Vec::with_capacity(listed.len());
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
        endpoint_relays.push(own);
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
    let list_delays = Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ 0x6e65_7773));
    Ok(World { endpoint_relays, platform, agents, partners, relays, listed, version, list_delays })
}

/// Creates the senders' folders, configurations and held sockets.
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
    let targets = Targets {
        tier: tier.clone(),
        apply: Box::new(move |conditions| changed.apply(conditions)),
        lost: Box::new(move |sender| orphan(&owed, sender)),
        size: (scenario.senders, scenario.partners.count),
        recorder: recorder.clone(),
        troubles: troubles.clone(),
    };
    let listens = (0..scenario.senders).map(|sender| block.listen(sender)).collect();
    let clients = Clients::new(scenario, listens, registry.clone(), recorder.clone());
    let mut polling = clients.watch();
    let mut viewing = views::watch(tier, scenario.senders, recorder);
    let arriving = arrivals(scenario, play.seed, |t| nemesis::load(faults, t));
    let bar = progress(play, scenario.length_s);
    let (shown, counted, clock) = (bar.clone(), clients.clone(), recorder.clone());
    let ticking = tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(200)).await;
            shown.set_position(clock.now().saturating_sub(begin) / 1_000_000);
            shown.set_message(format!("{} messages not ended", counted.open()));
        }
    });
    let injecting = tokio::spawn(nemesis::play(Arc::new(targets), faults.to_vec(), begin));
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
    // The run lasts until every fault that ends has ended.
    let _ = injecting.await;
    // It also lasts until the membership views have converged, where there are any.
    let settled = Duration::from_micros(view_period(scenario).unwrap_or(0) * VIEW_SETTLES);
    tokio::time::sleep(GRACE + settled).await;
    viewing.abort_all();
    ticking.abort();
    polling.abort_all();
    bar.finish_and_clear();
}

/// Ends the messages of a lost sender: clients hand them in elsewhere, except at-most-once messages that may
/// have run.
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

/// Reads a history and checks it again, independently of a run.
///
/// # Errors
/// Fails when it can't be read.
pub fn judge(file: &Path) -> io::Result<(Vec<Breach>, Figures)> {
    let history = History::read(file)?;
    Ok((check(&history), Figures::of(&history)))
}

/// Maximum duration of a run, after which it is aborted.
pub fn bound(scenario: &Scenario) -> Micros {
    let lives = micros(scenario.notice.deadline_s.max(scenario.disbursement.deadline_s));
    let faults = scenario.fault.iter().map(|f| f.at_s + f.for_s.unwrap_or(0.0)).fold(0.0, f64::max);
    let restarts = crate::world::senders::max_restart_time() * scenario.senders as Micros;
    micros(scenario.length_s.max(faults)) + lives + restarts + 60_000_000
}
