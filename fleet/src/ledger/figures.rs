//! Statistics of a history: the outcome of each message, its latency, and the work it took.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::checker::{Reading, Try};
use super::{History, What};
use crate::Micros;

/// Minimum time to the deadline at the loss of its sender for a message to count as still deliverable by
/// another.
const MIN_TIME_LEFT: Micros = 3_000_000;

/// The outcome of a message over all its tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// Delivered within its aim.
    InTime,
    /// Delivered after its aim.
    Late,
    /// Its last try was refused or deferred.
    Deferred,
    /// Failed.
    Failed,
    /// No end was reported for it.
    Without,
}

/// Statistics of one class, or of all classes.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Tally {
    /// Messages.
    pub messages: u64,
    /// Delivered within the aim.
    pub in_time: u64,
    /// Delivered after the aim.
    pub late: u64,
    /// Their last try was refused or deferred.
    pub deferred: u64,
    /// Failed.
    pub failed: u64,
    /// Without a reported end.
    pub without: u64,
    /// From the scheduled hand-in to the delivery, ms: median, 90th percentile, 99th percentile, maximum.
    pub latency_ms: [f64; 4],
}

/// One second of a run; messages belong to the second of their scheduled hand-in.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Second {
    /// Messages by outcome: in time, late, deferred, failed, without an end.
    pub fates: [u64; 5],
    /// Accepted messages without an end, counted in each second until they end.
    pub owed: u64,
    /// Datagrams sent between senders.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// Statistics of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    /// All messages.
    pub all: Tally,
    /// By class.
    pub classes: BTreeMap<String, Tally>,
    /// By second.
    pub seconds: Vec<Second>,
    /// Messages that were in hand at a sender when it left for good or lost its state folder.
    pub orphaned: u64,
    /// Of these, delivered or otherwise ended in time.
    pub orphaned_ended: u64,
    /// Of these, delivered.
    pub orphaned_delivered: u64,
    /// Orphaned with at least three seconds left, and without a call of their owner's that must not be
    /// repeated.
    pub deliverable: u64,
    /// Of these, delivered.
    pub deliverable_delivered: u64,
    /// From the loss of an orphaned message's sender to its first call by another sender, ms, sorted.
    pub takeover_ms: Vec<f64>,
    /// Mean number of tries per message.
    pub tries: f64,
    /// Calls that arrived at endpoints.
    pub calls: u64,
    /// Effects that a destination dropped as duplicates by their key.
    pub repeats: u64,
    /// Notices that repeated an end already reported.
    pub second_notices: u64,
    /// Datagrams sent, their bytes, datagrams that arrived, and datagrams dropped by the bench.
    pub datagrams: [u64; 4],
    /// Statistics of the start of the tier.
    pub start: super::starts::Starts,
    /// Statistics of the reads, by plan.
    pub reads: Vec<super::reads::Reads>,
    /// Statistics of the membership views, where the senders keep them.
    pub views: super::views::Views,
    /// The run's length, seconds.
    pub length_s: f64,
}

fn outcome(class_aim: Micros, tries: &[&Try]) -> (Fate, Option<Micros>) {
    let Some(first) = tries.first() else { return (Fate::Without, None) };
    if let Some(at) = tries.iter().filter(|seen| seen.void.is_none()).filter_map(|seen| seen.delivered).min()
    {
        let took = at.saturating_sub(first.meant);
        return (if took <= class_aim { Fate::InTime } else { Fate::Late }, Some(took));
    }
    // The last try that counts determines the outcome.
    let Some(last) = tries.iter().rfind(|seen| seen.void.is_none()) else { return (Fate::Without, None) };
    let noticed = last.notices.first().map(|notice| notice.2.as_str());
    let fate = match (last.heard, noticed) {
        (Some((_, 429 | 503)), _) | (_, Some("deferred")) => Fate::Deferred,
        (_, Some(_)) => Fate::Failed,
        (Some((_, 200 | 202 | 0)), None) | (None, None) => Fate::Without,
        (Some(_), None) => Fate::Failed,
    };
    (fate, None)
}

impl Tally {
    fn add(&mut self, fate: Fate) {
        self.messages += 1;
        *match fate {
            Fate::InTime => &mut self.in_time,
            Fate::Late => &mut self.late,
            Fate::Deferred => &mut self.deferred,
            Fate::Failed => &mut self.failed,
            Fate::Without => &mut self.without,
        } += 1;
    }

    /// A count as a percentage of all messages.
    pub fn share(&self, count: u64) -> f64 {
        if self.messages == 0 { 0.0 } else { count as f64 * 100.0 / self.messages as f64 }
    }
}

impl Figures {
    /// Computes the statistics of a history.
    pub fn of(history: &History) -> Self {
        let reading = Reading::of(history);
        let views = super::views::read(history).0;
        let mut figures = Self { length_s: reading.over as f64 / 1e6, views, ..Self::default() };
        let seconds = (reading.over / 1_000_000 + 1).min(24 * 3600) as usize;
        figures.seconds = vec![Second::default(); seconds];
        let mut roots: BTreeMap<&str, Vec<&Try>> = BTreeMap::new();
        for seen in reading.tries.values() {
            roots.entry(&seen.root).or_default().push(seen);
        }
        let mut messages = Vec::with_capacity(roots.len());
        let mut latencies: BTreeMap<Option<&str>, Histogram<u64>> = BTreeMap::new();
        for tries in roots.values() {
            let class = tries.first().and_then(|seen| history.head.classes.get(seen.class));
            let Some(class) = class else { continue };
            let (fate, took) = outcome(class.aim, tries);
            figures.all.add(fate);
            messages.push((tries.first().map_or(0, |seen| seen.meant), fate == Fate::InTime));
            figures.classes.entry(class.name.clone()).or_default().add(fate);
            if let Some(took) = took {
                for part in [None, Some(class.name.as_str())] {
                    if let Ok(new) = Histogram::new_with_max(3_600_000_000, 3) {
                        latencies.entry(part).or_insert(new).saturating_record(took);
                    }
                }
            }
            let second = tries.first().map_or(0, |seen| seen.meant / 1_000_000) as usize;
            if let Some(second) = figures.seconds.get_mut(second) {
                second.fates[fate as usize] += 1;
            }
        }
        for (part, histogram) in &latencies {
            let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
            let latency = [at(0.5), at(0.9), at(0.99), histogram.max() as f64 / 1000.0];
            match part {
                None => figures.all.latency_ms = latency,
                Some(name) => figures.classes.entry((*name).to_owned()).or_default().latency_ms = latency,
            }
        }
        messages.sort_unstable();
        figures.reads = super::reads::figures(history);
        figures.start = super::starts::read(history, &reading, &messages);
        figures.tries = reading.tries.len() as f64 / roots.len().max(1) as f64;
        figures.calls = reading.calls.len() as u64;
        for seen in reading.tries.values() {
            figures.second_notices += seen.notices.len().saturating_sub(1) as u64;
            if seen.taken() {
                let from = seen.heard.map_or(0, |heard| heard.0 / 1_000_000) as usize;
                let until = seen.ended().map_or(seconds as u64, |ended| ended / 1_000_000) as usize;
                for second in figures.seconds.get_mut(from..until.min(seconds)).into_iter().flatten() {
                    second.owed += 1;
                }
                if let Some(lost) = reading.orphaned_at(seen) {
                    figures.orphaned += 1;
                    figures.orphaned_ended +=
                        u64::from(seen.ended().is_some_and(|at| at <= seen.deadline + 350_000));
                    figures.orphaned_delivered +=
                        u64::from(seen.delivered.is_some_and(|at| at <= seen.deadline));
                    let once = history.head.classes.get(seen.class).is_some_and(|class| class.once);
                    if reading.deliverable(seen, once, MIN_TIME_LEFT) {
                        figures.deliverable += 1;
                        figures.deliverable_delivered +=
                            u64::from(seen.delivered.is_some_and(|at| at <= seen.deadline));
                    }
                    if let Some(called) = reading.called_elsewhere(seen) {
                        figures.takeover_ms.push((called - lost) as f64 / 1000.0);
                    }
                }
            }
        }
        figures.takeover_ms.sort_by(f64::total_cmp);
        for entry in &history.entries {
            match &entry.what {
                What::Effect { repeat: true, .. } => figures.repeats += 1,
                What::Datagrams { sent, bytes, arrived, overflow } => {
                    for (sum, more) in figures.datagrams.iter_mut().zip([sent, bytes, arrived, overflow]) {
                        *sum += more;
                    }
                    if let Some(second) = figures.seconds.get_mut((entry.t / 1_000_000) as usize) {
                        second.datagrams += sent;
                        second.bytes += bytes;
                    }
                }
                _ => {}
            }
        }
        figures
    }
}
