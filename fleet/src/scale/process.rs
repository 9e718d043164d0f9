//! A real sender, or several, beside an agent for their list and, where wanted, other members.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tempfile::TempDir;

use super::agent::{Agent, KINDS, Manner, ZONES};
use super::machine::{self, Threads, Usage};
use super::talk;
use super::{Point, Unmeasured};
use crate::ledger::{Head, Recorder};
use crate::scenario::{LogLevel, Scenario};
use crate::world::senders::{ADDRESSES, Addresses, Block, Place, Tier, document, settings};

/// Between two looks at the sender.
const LOOK: Duration = Duration::from_millis(100);
/// The bench's usual deployment, which these senders are of.
const SCENARIO: &str = "name = \"scale\"\nlength_s = 1\nsenders = 1";

/// What a point wants of its sender.
pub struct Wish {
    /// Destinations in the agent's list.
    pub destinations: u64,
    /// How the endpoints behave.
    pub manner: Manner,
    /// Senders of the tier, itself among them.
    pub members: usize,
    /// Those of them that are real processes, the first ones.
    pub real: usize,
    /// Changes the configuration before it is written.
    pub change: Box<dyn Fn(&mut Value)>,
}

impl Wish {
    /// A sender alone in its tier, with endpoints that take all, configured as usual.
    pub fn alone(destinations: u64) -> Self {
        Self { destinations, manner: Manner::Take, members: 1, real: 1, change: Box::new(|_| ()) }
    }
}

/// A sender that runs, and what it meets.
pub struct Sender {
    tier: Tier,
    /// Its agent, and its endpoints.
    pub agent: Arc<Agent>,
    /// All senders of the tier, itself first.
    pub peers: Vec<SocketAddr>,
    folder: TempDir,
    begun: Instant,
    block: Arc<Block>,
    real: usize,
}

/// The settings of the bench's senders, in the protocol's form.
pub fn usual_settings(rank: usize, members: usize) -> Value {
    let mut scenario = Scenario::read(SCENARIO).unwrap_or_else(|wrong| unreachable!("{wrong:?}"));
    scenario.senders = members;
    let mut settings = settings(&scenario, &ZONES, &KINDS);
    settings["rank"] = json!(rank);
    settings["locality"] = json!(rank % ZONES.len());
    settings
}

/// A member's socket, of its own among all on this machine.
fn member(block: &Block, number: usize) -> SocketAddr {
    let mut address = block.peer_listen(number % ADDRESSES);
    address.set_port(address.port() + (number / ADDRESSES) as u16);
    address
}

fn head(seed: u64) -> Head {
    Head {
        scenario: "scale".to_owned(),
        seed,
        senders: 1,
        classes: Vec::new(),
        try_limit: 0,
        drain_grace: 0,
        view_period: None,
        plans: Vec::new(),
    }
}

impl Sender {
    /// Places a sender; it is started by [`Sender::start`].
    ///
    /// # Errors
    /// Fails when an address or a folder is not to be had.
    pub async fn place(point: &Point, wish: &Wish) -> Result<Self, Unmeasured> {
        let block = Arc::new(Block::claim()?);
        let agent = Agent::serve(block.world(), wish.destinations, wish.manner).await?;
        let peers: Vec<SocketAddr> = (0..wish.members).map(|number| member(&block, number)).collect();
        let folder = tempfile::tempdir()?;
        let mut places = Vec::with_capacity(wish.real);
        for rank in 0..wish.real {
            let addresses = Addresses {
                listen: block.listen(rank),
                discovery: agent.address,
                peer_listen: peers[rank],
                peers: peers.clone(),
                peers_all: SocketAddr::new(block.world(), 9),
            };
            let settings = usual_settings(rank, wish.members);
            let mut config = document(rank, point.seed, &addresses, settings);
            (wish.change)(&mut config);
            places.push(Place { folder: folder.path().join(rank.to_string()), config, held: None });
        }
        let (recorder, _) = Recorder::begin(&folder.path().join("history.jsonl"), &head(point.seed))?;
        let (at, known) = (block.clone(), agent.clone());
        let tier = Tier::new(
            point.binary.clone(),
            places,
            move |sender, generation| at.mgmt(sender, generation),
            move |_| known.known(),
            recorder,
            LogLevel::Info,
        )?;
        Ok(Self { tier, agent, peers, folder, begun: Instant::now(), block, real: wish.real })
    }

    /// Where clients of one of the real senders hand in.
    pub fn listen(&self, rank: usize) -> SocketAddr {
        self.block.listen(rank)
    }

    /// Starts all that are real, one after another, and waits until each takes clients.
    ///
    /// # Errors
    /// Tells, with its last lines, that it does not start.
    pub async fn start(&mut self) -> Result<(), Unmeasured> {
        self.begun = Instant::now();
        for rank in 0..self.real {
            self.tier.start(rank, true).await?;
        }
        Ok(())
    }

    /// Time since it was started, seconds.
    pub fn age_s(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// What the first sender takes of the machine.
    ///
    /// # Errors
    /// Fails when it has gone.
    pub fn usage(&self) -> Result<Usage, Unmeasured> {
        Ok(Usage::of(self.id()?)?)
    }

    /// The first sender's processor time, thread by thread.
    ///
    /// # Errors
    /// Fails when it has gone.
    pub fn threads(&self) -> Result<Threads, Unmeasured> {
        Ok(Threads::of(self.id()?)?)
    }

    /// Counts the first sender's peak of memory anew from now on.
    ///
    /// # Errors
    /// Fails when it has gone.
    pub fn reset_peak(&self) -> Result<(), Unmeasured> {
        Ok(machine::reset_peak(self.id()?)?)
    }

    fn id(&self) -> Result<u32, Unmeasured> {
        self.tier.id(0).ok_or(Unmeasured::Late("the sender's process"))
    }

    /// What operators read at a path of the first sender.
    ///
    /// # Errors
    /// Fails when it does not answer with JSON.
    pub async fn told(&self, path: &str) -> Result<Value, Unmeasured> {
        self.told_by(0, path).await
    }

    /// What operators read at a path of one of the real senders.
    ///
    /// # Errors
    /// Fails when it does not answer with JSON.
    pub async fn told_by(&self, rank: usize, path: &str) -> Result<Value, Unmeasured> {
        let unread = || Unmeasured::Answer(path.to_owned());
        let (address, _) = self.tier.mgmt(rank).ok_or_else(unread)?;
        talk::get(address, path).await.ok_or_else(unread)
    }

    /// A figure of its counters.
    ///
    /// # Errors
    /// Fails when it does not tell it.
    pub async fn counter(&self, name: &str) -> Result<u64, Unmeasured> {
        let counters = self.told("/control/counters").await?;
        counters[name].as_u64().ok_or_else(|| Unmeasured::Answer(format!("the counter {name}")))
    }

    /// Looks until it is so; nothing if it is not within this time.
    ///
    /// # Errors
    /// As the look.
    pub async fn until<L>(&self, within: Duration, so: impl Fn() -> L) -> Result<bool, Unmeasured>
    where
        L: Future<Output = Result<bool, Unmeasured>>,
    {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if so().await? {
                return Ok(true);
            }
            tokio::time::sleep(LOOK).await;
        }
        Ok(false)
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        self.tier.signal(0, signal);
    }

    /// The first sender's folder, with its configuration, its log and what lasts.
    pub fn folder(&self) -> PathBuf {
        self.folder.path().join("0")
    }

    /// Kills it and waits for its end.
    pub async fn end(self) {
        self.tier.end().await;
    }
}

/// Measures a point with a sender that is placed as wished, and ends it whatever came of that.
///
/// # Errors
/// As the measurement, or when there can be no sender.
pub fn with_sender<T>(
    point: &Point,
    wish: &Wish,
    measured: impl AsyncFnOnce(&mut Sender) -> Result<T, Unmeasured>,
) -> Result<T, Unmeasured> {
    run(async {
        let mut sender = Sender::place(point, wish).await?;
        let measured = measured(&mut sender).await;
        sender.end().await;
        measured
    })
}

/// Runs a point with its sender in a runtime of its own.
///
/// # Errors
/// As the run, or when there can be no runtime.
pub fn run<T>(point: impl Future<Output = Result<T, Unmeasured>>) -> Result<T, Unmeasured> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let ended = runtime.block_on(point);
    runtime.shutdown_timeout(Duration::from_secs(1));
    ended
}
