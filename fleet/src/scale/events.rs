//! Events a second at a real sender whose endpoints take each at once. Clients hand in by the clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::figure::Figure;
use super::process::{self, Sender, Wish};
use super::record::Measured;
use super::talk::{Client, Handed};
use super::{Point, Unmeasured};

/// Destinations of the sender.
pub const DESTINATIONS: u64 = 1_000;
/// Clients, each on a connection of its own.
pub const CLIENTS: u64 = 8;
/// Bytes of a message's body.
const BODY: usize = 512;
/// A message's time, milliseconds.
const DEADLINE_MS: u64 = 10_000;
/// Before it is measured, the load goes on for so long.
const WARM: Duration = Duration::from_secs(2);
/// It is measured for so long, and for so long in a smoke run.
const MEASURED: [Duration; 2] = [Duration::from_secs(8), Duration::from_secs(1)];

/// What the clients did.
#[derive(Default)]
pub struct Count {
    /// Messages that were handed in.
    pub handed: AtomicU64,
    /// Those that were taken on.
    pub taken: AtomicU64,
}

/// Measures a point.
pub fn measure(point: &Point) -> Result<Measured, Unmeasured> {
    process::with_sender(point, &Wish::alone(DESTINATIONS), async |sender| measured(point, sender).await)
}

async fn measured(point: &Point, sender: &mut Sender) -> Result<Measured, Unmeasured> {
    sender.start().await?;
    let count = Arc::new(Count::default());
    for number in 0..CLIENTS {
        let client = Client::connect(sender.listen(0)).await?;
        tokio::spawn(load(client, number, point.clone(), count.clone()));
    }
    tokio::time::sleep(if point.smoke { Duration::ZERO } else { WARM }).await;
    let load = |count: &AtomicU64| count.load(Ordering::Relaxed) as f64;
    let (handed, taken, called) = (load(&count.handed), load(&count.taken), load(&sender.agent.called));
    let connections = load(&sender.agent.connections);
    let (usage, begun) = (sender.usage()?, Instant::now());
    tokio::time::sleep(MEASURED[usize::from(point.smoke)]).await;
    let (later, seconds) = (sender.usage()?, begun.elapsed().as_secs_f64());
    let (handed, taken) = (load(&count.handed) - handed, load(&count.taken) - taken);
    let (called, connections) =
        (load(&sender.agent.called) - called, load(&sender.agent.connections) - connections);
    let processor = later.processor_us - usage.processor_us;
    let journal = std::fs::metadata(sender.folder().join("state").join("journal"))?.len();
    let mut measured = Measured::default();
    measured.figures.extend([
        (Figure::Handed, handed / seconds),
        (Figure::Accepted, taken / handed.max(1.0)),
        (Figure::Attempts, called / seconds),
        (Figure::Reused, 1.0 - connections / called.max(1.0)),
        (Figure::CpuPerSecond, processor / seconds),
        (Figure::CpuEach, processor / handed.max(1.0)),
        (Figure::Resident, later.resident as f64),
        (Figure::Peak, later.peak as f64),
        (Figure::JournalBytes, journal as f64),
        (Figure::Written, (later.written - usage.written) as f64 / seconds),
    ]);
    Ok(measured)
}

/// Hands messages in at this client's part of the rate, for as long as the run lasts.
pub async fn load(mut client: Client, number: u64, point: Point, count: Arc<Count>) {
    let every = Duration::from_secs_f64(CLIENTS as f64 / point.size as f64);
    let phase = (number % CLIENTS) as f64 / CLIENTS as f64;
    let mut due = tokio::time::Instant::now() + every.mul_f64(phase);
    let mut random = fastrand::Rng::with_seed(point.seed.wrapping_mul(CLIENTS) + number);
    for turn in 0_u64.. {
        tokio::time::sleep_until(due).await;
        due += every;
        let id = format!("event-{}-{number}-{turn}", point.seed);
        let message = Handed {
            id: &id,
            class: "notice",
            destination: random.u64(0..DESTINATIONS),
            deadline_ms: DEADLINE_MS,
            body: &[b'x'; BODY],
        };
        count.handed.fetch_add(1, Ordering::Relaxed);
        match client.hand(&message).await {
            Some(200 | 202) => count.taken.fetch_add(1, Ordering::Relaxed),
            Some(_) => 0,
            None => return,
        };
    }
}
