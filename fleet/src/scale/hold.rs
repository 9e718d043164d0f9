//! Messages in hand at a real sender whose endpoints never answer: bytes of the journal and of memory for each, and
//! where the journal's room ends.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde_json::{Value, json};

use super::agent::Manner;
use super::figure::Figure;
use super::process::{self, Sender, Wish};
use super::record::Measured;
use super::talk::{Client, Handed};
use super::{Point, Unmeasured};

/// Destinations of the sender.
const DESTINATIONS: u64 = 100;
/// Clients that hand in at a time: each turn of the sender takes one message of each.
const CLIENTS: u64 = 200;
/// Bytes of a message's body.
const BODY: usize = 512;
/// A message's time, microseconds: none ends while it is measured.
const LASTS_US: u64 = 3_600_000_000;
/// Room of the journal where that is not what is measured, megabytes.
const ROOMY_MB: u64 = 2_000;
/// Messages that the module may hold: more than any point has.
const MAX_OPEN: u64 = 4_000_000;
/// The status of a message that was taken on.
const TAKEN: u16 = 202;

/// Measures a point of [`super::Axis::Journal`].
pub fn journal(point: &Point) -> Result<Measured, Unmeasured> {
    held(point, ROOMY_MB, point.size)
}

/// Measures a point of [`super::Axis::Disk`].
pub fn disk(point: &Point) -> Result<Measured, Unmeasured> {
    held(point, point.size, u64::MAX)
}

fn held(point: &Point, disk_mb: u64, messages: u64) -> Result<Measured, Unmeasured> {
    let change = move |config: &mut Value| {
        config["limits"]["disk_mb"] = json!(disk_mb);
        config["settings"]["limits"]["max_open"] = json!(MAX_OPEN);
        config["settings"]["classes"][0]["hard_limit_us"] = json!(LASTS_US);
        config["settings"]["classes"][0]["dedup_window_us"] = json!(LASTS_US);
    };
    let wish = Wish { manner: Manner::Silent, change: Box::new(change), ..Wish::alone(DESTINATIONS) };
    process::with_sender(point, &wish, async |sender| measured(point, sender, messages).await)
}

async fn measured(point: &Point, sender: &mut Sender, messages: u64) -> Result<Measured, Unmeasured> {
    sender.start().await?;
    let empty = sender.usage()?;
    let next = Arc::new(AtomicU64::new(0));
    let mut clients = tokio::task::JoinSet::new();
    for _ in 0..CLIENTS {
        let client = Client::connect(sender.listen(0)).await?;
        clients.spawn(fill(client, next.clone(), messages, point.seed));
    }
    let mut taken = 0;
    while let Some(one) = clients.join_next().await {
        taken += one.unwrap_or(0);
    }
    let usage = sender.usage()?;
    let in_hand = sender.counter("current").await? as f64;
    let journal = std::fs::metadata(sender.folder().join("state").join("journal"))?.len() as f64;
    let added = usage.resident.saturating_sub(empty.resident) as f64;
    let mut measured = Measured::default();
    measured.figures.extend([
        (Figure::InHand, in_hand),
        (Figure::JournalBytes, journal),
        (Figure::JournalEach, journal / in_hand.max(1.0)),
        (Figure::Resident, usage.resident as f64),
        (Figure::Peak, usage.peak as f64),
        (Figure::ResidentEach, added / in_hand.max(1.0)),
        (Figure::CpuEach, (usage.processor_us - empty.processor_us) / taken.max(1) as f64),
    ]);
    if messages != u64::MAX && taken < messages {
        measured.refused = Some(format!("{taken} of {messages} messages were taken on"));
    }
    Ok(measured)
}

/// Hands messages in until all are, or one is refused; tells how many were taken on.
async fn fill(mut client: Client, next: Arc<AtomicU64>, messages: u64, seed: u64) -> u64 {
    let mut taken = 0;
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= messages {
            return taken;
        }
        let id = format!("held-{seed}-{number}");
        let message = Handed {
            id: &id,
            class: "notice",
            destination: number % DESTINATIONS,
            deadline_ms: LASTS_US / 1000,
            body: &[b'x'; BODY],
        };
        if client.hand(&message).await != Some(TAKEN) {
            next.store(u64::MAX / 2, Ordering::Relaxed);
            return taken;
        }
        taken += 1;
    }
}
