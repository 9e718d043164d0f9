//! Statistics of a start of the whole tier: list calls, connections, cold destinations that were overloaded,
//! and the time until service was back to normal. The start is the last one before which no sender ran.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::Serialize;

use super::checker::Reading;
use super::{Asked, CallEnd, Entry, History, What};
use crate::Micros;

const S: Micros = 1_000_000;
/// Time from a sender's start over which its list calls are counted.
const LIST_CALLS_FOR: Micros = 10 * S;
/// Time from the start over which the first messages are counted.
const FIRST_MESSAGES_FOR: Micros = 30 * S;
/// Service is back to normal once its share in time, over every span of [`OVER`], stays at this fraction of
/// the final share or above.
const AS_USUAL: f64 = 0.95;
/// See [`AS_USUAL`].
const OVER: Micros = 3 * S;

/// A destination that was overloaded.
#[derive(Debug, Clone, Serialize)]
pub struct Fall {
    /// The destination.
    pub dest: u16,
    /// Time from the start, seconds.
    pub at_s: f64,
    /// Number of senders that contributed to the overload, and of their calls.
    pub senders: usize,
    /// See `senders`.
    pub calls: u64,
}

/// Statistics of a start.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Starts {
    /// Begin of the start, seconds of the run.
    pub at_s: f64,
    /// Senders that were started from then on.
    pub senders: usize,
    /// List calls.
    pub list_calls: u64,
    /// Maximum of list calls within one second.
    pub list_worst_second: u64,
    /// List calls per sender in the first ten seconds after its start: mean and maximum.
    pub list_first: (f64, u64),
    /// List calls that were rejected.
    pub list_turned_away: u64,
    /// List calls without an answer because the service was silent.
    pub list_silent: u64,
    /// New connections to endpoints.
    pub connections: u64,
    /// Maximum of new connections to one endpoint within one second.
    pub connections_worst: u64,
    /// Destinations that were overloaded.
    pub falls: Vec<Fall>,
    /// Calls that were refused.
    pub refused: u64,
    /// Calls that were neither refused nor delivered anything.
    pub wasted: u64,
    /// From a process's start until it accepts clients, ms: median, 99th percentile, maximum. Where hundreds
    /// start, readiness is polled every tenth of a second.
    pub ready_ms: [f64; 3],
    /// From the start until the last was ready, seconds.
    pub all_ready_s: f64,
    /// Processes that never became ready, and were not asked to end.
    pub never_ready: usize,
    /// Messages of the first thirty seconds, and how many of them were in time.
    pub first: (u64, u64),
    /// Time from the start until the share in time stays at 95 % of the last third's share or above.
    pub as_usual_s: Option<f64>,
}

impl Starts {
    /// Percentage in time of the messages of the first thirty seconds.
    pub fn in_time(&self) -> f64 {
        if self.first.0 == 0 { 0.0 } else { self.first.1 as f64 * 100.0 / self.first.0 as f64 }
    }
}

/// The maximum number of events within any window of one second.
fn max_per_second(times: &[Micros]) -> u64 {
    let mut from = 0;
    let counts = times.iter().enumerate().map(|(n, t)| {
        while times[from] + S <= *t {
            from += 1;
        }
        n - from + 1
    });
    counts.max().unwrap_or(0) as u64
}

/// The begin of the last start of the whole tier.
fn origin(entries: &[Entry]) -> Option<Micros> {
    let mut running: BTreeSet<(usize, u32)> = BTreeSet::new();
    let mut at = None;
    for Entry { t, what } in entries {
        match what {
            What::Started { sender, generation, .. } => {
                if running.is_empty() {
                    at = Some(*t);
                }
                running.insert((*sender, *generation));
            }
            What::Ended { sender, generation, .. } => drop(running.remove(&(*sender, *generation))),
            _ => {}
        }
    }
    at
}

/// Time until service was back to normal; `messages` has each message's scheduled hand-in and whether it was
/// in time.
fn as_usual(origin: Micros, messages: &[(Micros, bool)]) -> Option<f64> {
    let (first, last) = (messages.first()?.0, messages.last()?.0);
    let share = |from: Micros, to: Micros| {
        let within = || messages.iter().filter(|m| (from..to).contains(&m.0));
        let all = within().count();
        (all > 0).then(|| within().filter(|m| m.1).count() as f64 / all as f64)
    };
    let settled = last - (last - first) / 3;
    let steady = share(settled, last + 1)?;
    // Service is normal after the last span below the threshold. The last third defines the final share, so
    // spans end before it.
    let spans = (0..).map(|n| origin + n * S).take_while(|from| from + OVER <= settled);
    let below = spans.filter(|from| share(*from, from + OVER).is_none_or(|now| now < steady * AS_USUAL));
    Some(below.last().map_or(0.0, |from| (from + S - origin) as f64 / S as f64))
}

/// Computes the statistics of a start; `messages` as for [`as_usual`], sorted.
pub fn read(history: &History, reading: &Reading, messages: &[(Micros, bool)]) -> Starts {
    let Some(origin) = origin(&history.entries) else { return Starts::default() };
    let mut starts = Starts { at_s: origin as f64 / S as f64, ..Starts::default() };
    let (mut list, mut begun) = (Vec::new(), HashMap::<usize, Micros>::new());
    let (mut own, mut up) = (HashMap::<usize, u64>::new(), Vec::new());
    let mut waiting: BTreeMap<(usize, u32), Micros> = BTreeMap::new();
    let mut connected: HashMap<&str, Vec<Micros>> = HashMap::new();
    for Entry { t, what } in history.entries.iter().filter(|entry| entry.t >= origin) {
        match what {
            What::Started { sender, generation, .. } => {
                begun.entry(*sender).or_insert(*t);
                waiting.insert((*sender, *generation), *t);
            }
            What::Ready { sender, generation } => {
                if let Some(since) = waiting.remove(&(*sender, *generation)) {
                    up.push((t - since) as f64 / 1000.0);
                    starts.all_ready_s = (t - origin) as f64 / S as f64;
                }
            }
            What::Ended { sender, generation, asked: Asked::Kill | Asked::Terminate, .. } => {
                waiting.remove(&(*sender, *generation));
            }
            What::ListCall { sender, status, .. } => {
                list.push(*t);
                starts.list_turned_away += u64::from(*status == 503);
                starts.list_silent += u64::from(*status == 0);
                if begun.get(sender).is_some_and(|since| *t < since + LIST_CALLS_FOR) {
                    *own.entry(*sender).or_default() += 1;
                }
            }
            What::Connected { endpoint, .. } => connected.entry(endpoint).or_default().push(*t),
            What::Fell { dest, by } => starts.falls.push(Fall {
                dest: *dest,
                at_s: (t - origin) as f64 / S as f64,
                senders: by.len(),
                calls: by.iter().map(|by| by.1).sum(),
            }),
            What::Answered { status, ends, .. } => {
                let refused = matches!(status, 429 | 503);
                starts.refused += u64::from(refused);
                starts.wasted += u64::from(!refused && !ends.contains(&CallEnd::Done));
            }
            _ => {}
        }
    }
    // Calls without an answer count as wasted too.
    let silent = reading.calls.values().filter(|call| call.came >= origin && call.answered.is_none());
    starts.wasted += silent.count() as u64;
    starts.senders = begun.len();
    starts.list_calls = list.len() as u64;
    starts.list_worst_second = max_per_second(&list);
    let mean = own.values().sum::<u64>() as f64 / begun.len().max(1) as f64;
    starts.list_first = (mean, own.values().copied().max().unwrap_or(0));
    starts.connections = connected.values().map(|times| times.len() as u64).sum();
    starts.connections_worst = connected.values().map(|times| max_per_second(times)).max().unwrap_or(0);
    up.sort_by(f64::total_cmp);
    let at = |share: f64| up.get(((up.len().max(1) - 1) as f64 * share) as usize).copied().unwrap_or(0.0);
    starts.ready_ms = [at(0.5), at(0.99), at(1.0)];
    starts.never_ready = waiting.len();
    let messages: Vec<_> = messages.iter().copied().filter(|message| message.0 >= origin).collect();
    for (_, in_time) in messages.iter().filter(|message| message.0 < origin + FIRST_MESSAGES_FOR) {
        starts.first.0 += 1;
        starts.first.1 += u64::from(*in_time);
    }
    starts.as_usual_s = as_usual(origin, &messages);
    starts
}
