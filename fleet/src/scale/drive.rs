//! A client that hands messages in at a fixed rate, whatever the answers: on a thread of its own, each message by a task of
//! its own, on connections that are kept.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use super::ends::Ends;
use super::talk::{Client, Handed};

/// The answer to a message that is taken on.
pub const ACCEPTED: u16 = 202;
/// A connection that was not used for so long is not used again: the sender may close it.
const IDLE_MOST: Duration = Duration::from_secs(1);

/// What is handed in, and how.
pub struct Plan {
    /// The sender.
    pub address: SocketAddr,
    /// Messages a second.
    pub rate: u64,
    /// Destinations, which are drawn uniformly.
    pub destinations: u64,
    /// Of the draws.
    pub seed: u64,
    /// A message's time.
    pub time: Duration,
}

/// A message that was answered, or was not.
pub struct Answer {
    /// When it was handed in.
    pub at: Instant,
    /// How long the answer took, microseconds.
    pub took_us: f64,
    /// The answer's status; nothing where none came.
    pub status: Option<u16>,
}

/// A client at work.
pub struct Drive {
    over: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Answer>>,
}

/// What the tasks of a client share.
struct Shared {
    plan: Plan,
    ends: Arc<Ends>,
    kept: Mutex<Vec<(Client, Instant)>>,
    answers: Mutex<Vec<Answer>>,
}

impl Drive {
    /// Begins.
    ///
    /// # Errors
    /// Fails when there can be no thread or no runtime.
    pub fn begin(plan: Plan, ends: Arc<Ends>) -> io::Result<Self> {
        let over = Arc::new(AtomicBool::new(false));
        let watched = over.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let shared = Shared { plan, ends, kept: Mutex::default(), answers: Mutex::default() };
        let run = move || runtime.block_on(drive(Arc::new(shared), &watched));
        let thread = std::thread::Builder::new().name("drive".into()).spawn(run)?;
        Ok(Self { over, thread })
    }

    /// Hands nothing in any more; all answers, once the last has come.
    pub fn end(self) -> Vec<Answer> {
        self.over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

async fn drive(shared: Arc<Shared>, over: &AtomicBool) -> Vec<Answer> {
    let every = Duration::from_secs_f64(1.0 / shared.plan.rate as f64);
    let mut random = fastrand::Rng::with_seed(shared.plan.seed);
    let mut due = tokio::time::Instant::now();
    let mut tasks = JoinSet::new();
    while !over.load(Ordering::Relaxed) {
        tokio::time::sleep_until(due).await;
        due += every;
        tasks.spawn(shared.clone().hand(random.u64(0..shared.plan.destinations)));
        while tasks.try_join_next().is_some() {}
    }
    tasks.join_all().await;
    shared.answers.lock().map_or_else(|_| Vec::new(), |mut answers| std::mem::take(&mut *answers))
}

impl Shared {
    /// Hands one message in.
    async fn hand(self: Arc<Self>, destination: u64) {
        let id = self.ends.handed(destination);
        let at = Instant::now();
        let status = self.status(&id, destination).await;
        if status == Some(ACCEPTED) {
            self.ends.taken(&id);
        }
        if let Ok(mut answers) = self.answers.lock() {
            answers.push(Answer { at, took_us: at.elapsed().as_secs_f64() * 1e6, status });
        }
    }

    async fn status(&self, id: &str, destination: u64) -> Option<u16> {
        let mut client = match self.kept() {
            Some(client) => client,
            None => Client::connect(self.plan.address).await.ok()?,
        };
        let body = destination.to_string();
        let message = Handed {
            id,
            class: "notice",
            destination,
            deadline_ms: self.plan.time.as_millis() as u64,
            body: body.as_bytes(),
        };
        let status = client.hand(&message).await?;
        self.kept.lock().ok()?.push((client, Instant::now()));
        Some(status)
    }

    /// The connection that was used last, if that was of late.
    fn kept(&self) -> Option<Client> {
        let (client, used) = self.kept.lock().ok()?.pop()?;
        (used.elapsed() < IDLE_MOST).then_some(client)
    }
}
