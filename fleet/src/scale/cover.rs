//! Events a second at each of three real senders that cover each other's messages: bytes between them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::events::{CLIENTS, Count, DESTINATIONS, load};
use super::figure::Figure;
use super::members::quantile;
use super::process::{self, Sender, Wish};
use super::record::Measured;
use super::talk::Client;
use super::{Point, Unmeasured};

/// Senders, which is the fewest that can cover each other.
const SENDERS: usize = 3;
/// All have to know each other within this time.
const KNOWN_WITHIN: Duration = Duration::from_secs(20);
/// Before it is measured, the load goes on for so long.
const WARM: Duration = Duration::from_secs(2);
/// It is measured for so long, and for so long in a smoke run.
const MEASURED: [Duration; 2] = [Duration::from_secs(6), Duration::from_secs(1)];

/// Measures a point.
pub fn measure(point: &Point) -> Result<Measured, Unmeasured> {
    let change = |config: &mut Value| {
        config["membership"] = json!({});
        config["takeover"] = json!({});
    };
    let alone = Wish::alone(DESTINATIONS);
    let wish = Wish { members: SENDERS, real: SENDERS, change: Box::new(change), ..alone };
    process::with_sender(point, &wish, async |sender| measured(point, sender).await)
}

/// Datagrams, bytes and covered messages of a sender.
type Sent = [f64; 3];

async fn sent(sender: &Sender) -> Result<Vec<Sent>, Unmeasured> {
    let mut all = Vec::with_capacity(SENDERS);
    for rank in 0..SENDERS {
        let told = sender.told_by(rank, "/control/takeover").await?;
        let figure = |value: &Value| value.as_f64().ok_or(Unmeasured::Answer("its counts".to_owned()));
        all.push([figure(&told["sent"][0])?, figure(&told["sent"][1])?, figure(&told["covered"])?]);
    }
    Ok(all)
}

async fn measured(point: &Point, sender: &mut Sender) -> Result<Measured, Unmeasured> {
    sender.start().await?;
    let whole = || async { Ok(sender.told("/control/members").await?["alive"] == json!(SENDERS)) };
    if !sender.until(KNOWN_WITHIN, whole).await? {
        return Err(Unmeasured::Late("a view that is whole"));
    }
    let count = Arc::new(Count::default());
    for number in 0..CLIENTS * SENDERS as u64 {
        let rank = (number / CLIENTS) as usize;
        let client = Client::connect(sender.listen(rank)).await?;
        tokio::spawn(load(client, number, point.clone(), count.clone()));
    }
    tokio::time::sleep(WARM).await;
    let handed = count.handed.load(Ordering::Relaxed) as f64;
    let (before, usage, begun) = (sent(sender).await?, sender.usage()?, Instant::now());
    tokio::time::sleep(MEASURED[usize::from(point.smoke)]).await;
    let (after, later, seconds) = (sent(sender).await?, sender.usage()?, begun.elapsed().as_secs_f64());
    let handed = count.handed.load(Ordering::Relaxed) as f64 - handed;
    let each = |at: usize| -> Vec<f64> {
        let senders = before.iter().zip(&after);
        senders.map(|(before, after)| (after[at] - before[at]) / seconds).collect()
    };
    let (bytes, covered) = (each(1), each(2));
    let mut measured = Measured::default();
    measured.figures.extend([
        (Figure::Handed, handed / seconds / SENDERS as f64),
        (Figure::Covered, covered.iter().sum::<f64>() * seconds / handed.max(1.0)),
        (Figure::SentMedian, quantile(&each(0), 0.5)),
        (Figure::SentBytesMedian, quantile(&bytes, 0.5)),
        (Figure::SentBytesWorst, quantile(&bytes, 1.0)),
        (Figure::SentBytesEach, bytes.iter().sum::<f64>() * seconds / handed.max(1.0)),
        (Figure::CpuPerSecond, (later.processor_us - usage.processor_us) / seconds),
        (Figure::Resident, later.resident as f64),
    ]);
    Ok(measured)
}
