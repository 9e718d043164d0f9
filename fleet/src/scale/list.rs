//! Destinations in the list of a real sender, up to all of the design size: whether it takes them, and at what cost.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::agent::endpoints;
use super::figure::Figure;
use super::process::{self, Sender, Wish};
use super::record::Measured;
use super::talk::{Client, Handed};
use super::{Point, Unmeasured};

/// The list has to be taken within this time.
const TAKEN_WITHIN: Duration = Duration::from_secs(40);
/// A list that was asked for so often and not taken is refused.
const REFUSED_AFTER: u64 = 20;
/// The sender is then watched for so long, and for so long in a smoke run.
const WATCHED: [Duration; 2] = [Duration::from_secs(5), Duration::from_secs(1)];
/// A message to the last destination has to reach it within this time.
const DELIVERED_WITHIN: Duration = Duration::from_secs(5);
/// A message's time, milliseconds.
const DEADLINE_MS: u64 = 10_000;

/// Measures a point.
pub fn measure(point: &Point) -> Result<Measured, Unmeasured> {
    process::with_sender(point, &Wish::alone(point.size), async |sender| measured(point, sender).await)
}

async fn measured(point: &Point, sender: &mut Sender) -> Result<Measured, Unmeasured> {
    sender.start().await?;
    let mut measured = Measured::default();
    let figures = &mut measured.figures;
    let all = endpoints(point.size);
    let settled = || async {
        let refused = sender.agent.calls.load(Ordering::Relaxed) >= REFUSED_AFTER;
        Ok(refused || sender.counter("cluster_size").await? == all)
    };
    if !sender.until(TAKEN_WITHIN, settled).await? {
        measured.refused = Some(format!("not taken within {} s", TAKEN_WITHIN.as_secs()));
    }
    let listed = sender.counter("cluster_size").await?;
    let usage = sender.usage()?;
    figures.insert(Figure::Listed, listed as f64);
    figures.insert(Figure::CpuStart, usage.processor_us);
    if listed == all {
        figures.insert(Figure::Taken, sender.age_s());
    } else if measured.refused.is_none() {
        measured.refused = Some(format!("asked for {REFUSED_AFTER} times and not taken"));
    }
    let watched = WATCHED[usize::from(point.smoke)];
    let figures = &mut measured.figures;
    let of_agent = || [&sender.agent.calls, &sender.agent.bytes].map(|count| count.load(Ordering::Relaxed));
    let (before, begun) = (of_agent(), Instant::now());
    let usage = sender.usage()?;
    tokio::time::sleep(watched).await;
    let (after, seconds, later) = (of_agent(), begun.elapsed().as_secs_f64(), sender.usage()?);
    figures.insert(Figure::Calls, (after[0] - before[0]) as f64 / seconds);
    figures.insert(Figure::CallBytes, (after[1] - before[1]) as f64 / seconds);
    figures.insert(Figure::CpuPerSecond, (later.processor_us - usage.processor_us) / seconds);
    figures.insert(Figure::Resident, later.resident as f64);
    figures.insert(Figure::Peak, later.peak as f64);
    let delivered = delivered(point, sender).await?;
    figures.insert(Figure::Delivered, f64::from(u8::from(delivered)));
    Ok(measured)
}

/// Hands a message for the last destination in, and looks whether it gets there.
async fn delivered(point: &Point, sender: &Sender) -> Result<bool, Unmeasured> {
    let id = format!("last-{}", point.seed);
    let mut client = Client::connect(sender.listen(0)).await?;
    let message = Handed {
        id: &id,
        class: "notice",
        destination: point.size - 1,
        deadline_ms: DEADLINE_MS,
        body: b"last",
    };
    client.hand(&message).await;
    let there = || async { Ok(sender.agent.last().as_deref() == Some(id.as_str())) };
    sender.until(DELIVERED_WITHIN, there).await
}
