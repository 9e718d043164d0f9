//! Figures of a history: what became of each message, when, and what it took.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::checker::{Reading, Try};
use super::{History, What};
use crate::Micros;

/// A message that had so much time left when its sender was lost could still be delivered by another.
const LEFT: Micros = 3_000_000;

/// What became of a message, all its tries together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// Delivered within its aim.
    InTime,
    /// Delivered later.
    Late,
    /// Refused, for the last time.
    Deferred,
    /// Failed.
    Failed,
    /// It had no end that anybody heard of.
    Without,
}

/// Figures of one class, or of all.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Tally {
    /// Messages.
    pub messages: u64,
    /// Delivered within the aim.
    pub in_time: u64,
    /// Delivered later.
    pub late: u64,
    /// Refused for the last time.
    pub deferred: u64,
    /// Failed.
    pub failed: u64,
    /// Without an end.
    pub without: u64,
    /// From the time that it was meant to be handed in until it was delivered, ms: median, 90th, 99th
    /// percentile, most.
    pub latency_ms: [f64; 4],
}

/// One second of a run, by the time that messages were meant to be handed in.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Second {
    /// What became of them: in time, late, deferred, failed, without an end.
    pub fates: [u64; 5],
    /// Messages taken on that have no end yet, at the second's end.
    pub owed: u64,
    /// Datagrams sent between senders.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// Figures of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    /// All messages.
    pub all: Tally,
    /// By class.
    pub classes: BTreeMap<String, Tally>,
    /// By second.
    pub seconds: Vec<Second>,
    /// Messages owed by a sender that went for good or lost its folder.
    pub orphaned: u64,
    /// Of these, delivered or ended in their time all the same.
    pub orphaned_ended: u64,
    /// Of these, delivered.
    pub orphaned_delivered: u64,
    /// Orphaned with three seconds or more left, and no call of their owner's that must not be repeated.
    pub deliverable: u64,
    /// Of these, delivered.
    pub deliverable_delivered: u64,
    /// From the loss of an orphaned message's sender to its first call by another, ms, in order.
    pub takeover_ms: Vec<f64>,
    /// Tries that a message took on the average.
    pub tries: f64,
    /// Calls that came to endpoints.
    pub calls: u64,
    /// Effects that a destination dropped by their key.
    pub repeats: u64,
    /// Notices that told an end a second time.
    pub second_notices: u64,
    /// Datagrams sent, their bytes, those that arrived, and those given up by the bench.
    pub datagrams: [u64; 4],
    /// What the start of the tier took.
    pub start: super::starts::Starts,
    /// Reads, by plan.
    pub reads: Vec<super::reads::Reads>,
    /// What the senders said of each other, where they keep a view.
    pub views: super::views::Views,
    /// The run's length, seconds.
    pub length_s: f64,
}

fn fate(class_aim: Micros, tries: &[&Try]) -> (Fate, Option<Micros>) {
    let Some(first) = tries.first() else { return (Fate::Without, None) };
    if let Some(at) = tries.iter().filter(|seen| seen.void.is_none()).filter_map(|seen| seen.delivered).min()
    {
        let took = at.saturating_sub(first.meant);
        return (if took <= class_aim { Fate::InTime } else { Fate::Late }, Some(took));
    }
    // The last try that counts says how it ended.
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

    /// A count as a share of all messages, in a hundred.
    pub fn share(&self, count: u64) -> f64 {
        if self.messages == 0 { 0.0 } else { count as f64 * 100.0 / self.messages as f64 }
    }
}

impl Figures {
    /// Of this history.
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
            let (fate, took) = fate(class.aim, tries);
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
                    if reading.deliverable(seen, once, LEFT) {
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
