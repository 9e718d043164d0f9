//! A real sender with a list of so many destinations: what the list takes of it at rest, while it changes and while it comes
//! anew, and whether each message has its one end under the load of the design size.

use std::time::{Duration, Instant};

use super::agent::{Manner, endpoints};
use super::design::{DESTINATIONS, SENDER_EVENTS_PER_S};
use super::drive::{ACCEPTED, Answer, Drive, Plan};
use super::figure::Figure;
use super::members::quantile;
use super::process::{self, Sender, Wish};
use super::record::Measured;
use super::{Point, Unmeasured};

/// Destinations of the sender whose memory is the base.
pub const BASE: u64 = 30;
/// A list has to be taken within this time, and all changes.
const TAKEN_WITHIN: Duration = Duration::from_secs(30);
/// Between two looks at the agent.
const LOOK: Duration = Duration::from_millis(10);
/// Whole lists under load.
const SNAPSHOTS: usize = 3;
/// So long after its time a message without an end is lost.
const LOST_AFTER: Duration = Duration::from_secs(1);
/// The share of hand-ins that are answered within the latency.
const P99: f64 = 0.99;

/// How long the parts of a run are.
struct Parts {
    /// After a list was taken, before memory is looked at.
    settle: Duration,
    /// At rest.
    idle: Duration,
    /// Changes of the list, and the time between two of them.
    changes: u32,
    every: Duration,
    /// Load before latency is looked at.
    warm: Duration,
    /// Load while the list stays as it is.
    calm: Duration,
    /// Load at each whole list, at least.
    snapshot: Duration,
    /// Load in all, at least.
    load: Duration,
    /// A message's time.
    time: Duration,
}

/// At the design size.
const DESIGN: Parts = Parts {
    settle: Duration::from_secs(1),
    idle: Duration::from_secs(5),
    changes: 20,
    every: Duration::from_secs(1),
    warm: Duration::from_secs(2),
    calm: Duration::from_secs(5),
    snapshot: Duration::from_secs(1),
    load: Duration::from_secs(120),
    time: Duration::from_secs(5),
};
/// At smaller sizes.
const SMALLER: Parts = Parts {
    idle: Duration::from_secs(3),
    changes: 4,
    warm: Duration::from_secs(1),
    calm: Duration::from_secs(3),
    load: Duration::from_secs(8),
    ..DESIGN
};
/// In a smoke run.
const SMOKE: Parts = Parts {
    settle: Duration::from_millis(100),
    idle: Duration::from_millis(200),
    changes: 2,
    every: Duration::from_millis(100),
    warm: Duration::ZERO,
    calm: Duration::from_millis(200),
    snapshot: Duration::from_millis(100),
    load: Duration::from_millis(800),
    time: Duration::from_millis(600),
};

/// Measures a point.
pub fn measure(point: &Point) -> Result<Measured, Unmeasured> {
    let parts = match point.size {
        _ if point.smoke => &SMOKE,
        DESTINATIONS => &DESIGN,
        _ => &SMALLER,
    };
    process::run(async {
        let mut base = placed(point, BASE).await?;
        let resident = resident(&mut base, BASE, parts).await;
        base.end().await;
        let resident = resident?.ok_or(Unmeasured::Late("the list of the base"))?;
        let mut sender = placed(point, point.size).await?;
        let measured = measured(point, parts, resident, &mut sender).await;
        sender.end().await;
        measured
    })
}

async fn placed(point: &Point, destinations: u64) -> Result<Sender, Unmeasured> {
    let wish = Wish { manner: Manner::Each, ..Wish::alone(destinations) };
    Sender::place(point, &wish).await
}

/// Starts a sender and waits for its list; when that was taken, in seconds, and with which processor time, or nothing if it
/// was not.
async fn started(sender: &mut Sender, destinations: u64) -> Result<Option<(f64, f64)>, Unmeasured> {
    sender.start().await?;
    let all = endpoints(destinations);
    let listed = || async { Ok(sender.counter("cluster_size").await? == all) };
    if !sender.until(TAKEN_WITHIN, listed).await? {
        return Ok(None);
    }
    Ok(Some((sender.age_s(), sender.usage()?.processor_us)))
}

/// Resident memory of a sender after its first list.
async fn resident(sender: &mut Sender, destinations: u64, parts: &Parts) -> Result<Option<f64>, Unmeasured> {
    if started(sender, destinations).await?.is_none() {
        return Ok(None);
    }
    tokio::time::sleep(parts.settle).await;
    Ok(Some(sender.usage()?.resident as f64))
}

async fn measured(
    point: &Point,
    parts: &Parts,
    base: f64,
    sender: &mut Sender,
) -> Result<Measured, Unmeasured> {
    let mut measured = Measured::default();
    let Some((taken, processor)) = started(sender, point.size).await? else {
        measured.refused = Some(format!("not taken within {} s", TAKEN_WITHIN.as_secs()));
        return Ok(measured);
    };
    tokio::time::sleep(parts.settle).await;
    let figures = &mut measured.figures;
    figures.extend([
        (Figure::Taken, taken),
        (Figure::CpuStart, processor),
        (Figure::ResidentOver, sender.usage()?.resident as f64 - base),
        (Figure::CpuPerSecond, idle(parts, sender).await?),
        (Figure::CpuChanges, changing(parts, sender).await?),
    ]);
    sender.reset_peak()?;
    renewed(sender).await?;
    tokio::time::sleep(parts.settle).await;
    figures.insert(Figure::PeakOver, sender.usage()?.peak as f64 - base);
    figures.extend(loaded(point, parts, sender).await?);
    Ok(measured)
}

/// Processor time in a second of rest.
async fn idle(parts: &Parts, sender: &Sender) -> Result<f64, Unmeasured> {
    let (before, begun) = (sender.threads()?, Instant::now());
    tokio::time::sleep(parts.idle).await;
    Ok(sender.threads()?.since(&before) / begun.elapsed().as_secs_f64())
}

/// Processor time in a second while the list changes.
async fn changing(parts: &Parts, sender: &Sender) -> Result<f64, Unmeasured> {
    let (before, begun) = (sender.threads()?, Instant::now());
    let mut index = 0;
    for _ in 0..parts.changes {
        index = sender.agent.renew(false);
        tokio::time::sleep(parts.every).await;
    }
    let spent = sender.threads()?.since(&before) / begun.elapsed().as_secs_f64();
    known(sender, index).await?;
    Ok(spent)
}

/// Has the whole list come anew; until when it was taken, in seconds.
async fn renewed(sender: &Sender) -> Result<f64, Unmeasured> {
    let begun = Instant::now();
    known(sender, sender.agent.renew(true)).await?;
    Ok(begun.elapsed().as_secs_f64())
}

/// Waits until the sender has a version.
async fn known(sender: &Sender, index: u64) -> Result<(), Unmeasured> {
    let end = Instant::now() + TAKEN_WITHIN;
    while sender.agent.known_index() < index {
        if Instant::now() > end {
            return Err(Unmeasured::Late("a version of the list"));
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}

/// The figures of the load.
async fn loaded(point: &Point, parts: &Parts, sender: &Sender) -> Result<Vec<(Figure, f64)>, Unmeasured> {
    let plan = Plan {
        address: sender.listen(0),
        rate: SENDER_EVENTS_PER_S,
        destinations: point.size,
        seed: point.seed,
        time: parts.time,
    };
    let begun = Instant::now();
    let drive = Drive::begin(plan, sender.agent.ends.clone())?;
    tokio::time::sleep(parts.warm).await;
    let calm = [(Instant::now(), Instant::now() + parts.calm)];
    tokio::time::sleep(parts.calm).await;
    let (mut snapshots, mut took) = (Vec::new(), Vec::new());
    for _ in 0..SNAPSHOTS {
        let from = Instant::now();
        took.push(renewed(sender).await?);
        tokio::time::sleep(parts.snapshot.saturating_sub(from.elapsed())).await;
        snapshots.push((from, Instant::now()));
        tokio::time::sleep(parts.settle).await;
    }
    tokio::time::sleep(parts.load.saturating_sub(begun.elapsed())).await;
    let (resident, working) = (sender.usage()?.resident, sender.counter("resident").await?);
    let seconds = begun.elapsed().as_secs_f64();
    let answers = tokio::task::spawn_blocking(|| drive.end()).await.map_err(std::io::Error::other)?;
    tokio::time::sleep(parts.time + LOST_AFTER).await;
    let (calm, snapshot) = (p99(&answers, &calm), p99(&answers, &snapshots));
    let handed = answers.len() as f64;
    let count = |status| answers.iter().filter(|answer| answer.status == status).count() as f64;
    let mut figures = vec![
        (Figure::SnapshotTaken, quantile(&took, 0.5)),
        (Figure::CalmP99, calm),
        (Figure::SnapshotP99, snapshot),
        (Figure::P99Ratio, snapshot / calm.max(1.0)),
        (Figure::LoadedFor, seconds),
        (Figure::Handed, handed / seconds),
        (Figure::Accepted, count(Some(ACCEPTED)) / handed.max(1.0)),
        (Figure::Unanswered, count(None)),
        (Figure::LoadedResident, resident as f64),
        (Figure::WorkingSet, working as f64),
    ];
    figures.extend(ended(parts, sender));
    Ok(figures)
}

/// The 99th percentile of the answers' times, of messages that were handed in within these spans, microseconds.
fn p99(answers: &[Answer], spans: &[(Instant, Instant)]) -> f64 {
    let within = |answer: &&Answer| spans.iter().any(|(from, to)| (*from..*to).contains(&answer.at));
    let took: Vec<f64> = answers.iter().filter(within).map(|answer| answer.took_us).collect();
    quantile(&took, P99)
}

/// What became of the messages.
fn ended(parts: &Parts, sender: &Sender) -> [(Figure, f64); 7] {
    let judged = sender.agent.ends.judged(parts.time);
    [
        (Figure::Answered202, judged.taken),
        (Figure::EndDelivered, judged.delivered),
        (Figure::EndNotice, judged.noticed),
        (Figure::EndLost, judged.lost),
        (Figure::EndLate, judged.late),
        (Figure::EndTwice, judged.twice),
        (Figure::Misdirected, judged.misdirected),
    ]
    .map(|(figure, count)| (figure, count as f64))
}
