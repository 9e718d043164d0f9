//! Estimates what a planned run of messages will take: calls, attempts, bytes, connections and time, and
//! whether it fits into the tenant's share. It uses what the decision module knows of each destination:
//! advertised limits, what all senders have reported of them, this sender's pace, backlog and breaker.
//!
//! A run is handed in at one sender and sent as fast as it is accepted. Where a limit is advertised, this
//! sender has all of it at best and an equal part of it among all senders at worst; where none is, its pace
//! counts, or its slots divided by the answer time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::learned::{BAND, Track, log};
use super::{Doubt, Interval};
use crate::coded_error;
use crate::interface::{DestinationId, DestinationSummary, Micros, RouteSummary, Settings};

/// Maximum destinations of one run.
pub const MAX_DESTINATIONS: usize = 1_024;
/// Maximum classes whose runs are learned from.
const MAX_CLASSES: usize = 64;
/// Approximate bytes of a call's head and its answer.
const CALL_BYTES: u64 = 320;
/// Approximate bytes of a message in a batch beside its body; the body is base64, four bytes for three.
const BATCH_ENTRY_BYTES: u64 = 64;
/// Part of an advertised limit that all senders together plan to use.
const LIMIT_MARGIN: f64 = 0.95;
/// Answer time assumed until one has been measured, microseconds.
const DEFAULT_ANSWER_TIME: f64 = 100_000.0;
/// Part of a batch that is filled where messages wait, until calibration has enough samples.
const BATCH_FILL: f64 = 0.7;

/// A planned run.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// The class, by name.
    pub class: String,
    /// The tenant, by name; empty for none.
    #[serde(default)]
    pub tenant: String,
    /// The destinations, among which the messages are spread evenly.
    pub destinations: Vec<u32>,
    /// Number of messages.
    pub messages: u64,
    /// Bytes of a body.
    #[serde(default)]
    pub body_bytes: u64,
    /// The time over which they are handed in, milliseconds; 0 for all at once.
    #[serde(default)]
    pub over_ms: u64,
}

/// Why a run can't be estimated.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RunError {
    /// The class is not in the settings.
    #[error("there is no class {0}")]
    Class(String),
    /// The tenant is not in the settings.
    #[error("there is no tenant {0}")]
    Tenant(String),
    /// There is no destination, or too many.
    #[error("run names {0} destinations; 1 to 1024 are allowed")]
    Destinations(usize),
    /// A destination has no endpoints.
    #[error("destination {0} has no endpoint in the list")]
    Nowhere(u32),
}

coded_error! { RunError {
    Class => "estimate.class", "name one of settings.classes";
    Tenant => "estimate.tenant", "name one of settings.realms";
    Destinations => "estimate.destinations", "name between 1 and 1024 destinations, or split the run";
    Nowhere => "estimate.nowhere", "see GET /control/endpoints; wait until discovery lists one, or omit it";
} }

/// Whether a run fits into its tenant's share, as far as this sender can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "share")]
pub enum Fits {
    /// It fits now.
    Now,
    /// It fits once the rate of recent messages has decayed.
    After {
        /// Microseconds from now.
        after: Micros,
    },
    /// It fits only if it is handed in more slowly.
    Over {
        /// Over this time, milliseconds.
        over_ms: u64,
    },
}

/// What a run is predicted to take.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Planned {
    /// Endpoints that may be called.
    pub endpoints: u64,
    /// Calls; a batch is one call.
    pub calls: Interval,
    /// Attempts, one for each message of a call.
    pub attempts: Interval,
    /// Bytes on the wire, in both directions.
    pub wire_bytes: Interval,
    /// Connections in use at the same time.
    pub connections: Interval,
    /// Microseconds until all messages are delivered.
    pub time: Interval,
    /// Whether all are delivered within the class's deadline.
    pub in_time: bool,
    /// Destinations that accept nothing now, and for how much longer, microseconds.
    pub shut: BTreeMap<u32, Micros>,
    /// Whether it fits into the tenant's share.
    #[serde(flatten)]
    pub fits: Fits,
    /// Why the intervals are uncertain.
    pub doubts: Vec<Doubt>,
}

/// What a run really took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunTimes {
    /// Calls, attempts, bytes on the wire, microseconds.
    pub figures: [u64; 4],
}

/// Calibration of runs by class: what they really took in relation to the prediction.
#[derive(Debug, Default)]
pub struct Runs(BTreeMap<String, [Track; 4]>);

impl Runs {
    /// Learns from a run that has ended. `raw` is what [`plan`] returned with `told`, in the order of its
    /// intervals.
    pub fn learn(&mut self, class: &str, raw: [f64; 4], told: &Planned, took: RunTimes) {
        if !self.0.contains_key(class) && self.0.len() >= MAX_CLASSES {
            return;
        }
        let tracks = self.0.entry(class.to_owned()).or_insert([Track::new(BAND); 4]);
        let told = [told.calls, told.attempts, told.wire_bytes, told.time];
        for ((track, raw), (told, took)) in tracks.iter_mut().zip(raw).zip(told.iter().zip(took.figures)) {
            track.learn(log(took as f64) - log(raw), told.holds(took));
        }
    }
}

/// Calls per second that a route accepts from this sender: worst case, expected, best case.
fn rates(route: &RouteSummary, settings: &Settings) -> [f64; 3] {
    let took = route.answer_time.map_or(DEFAULT_ANSWER_TIME, |(mean, _)| mean.max(1.0));
    let slots = (settings.slots * 3 / 4).max(1) as f64 * 1e6 / took;
    let senders = settings.senders.max(1) as f64;
    let mut rates = match route.limit {
        limit if limit > 0.0 => {
            let all = limit * LIMIT_MARGIN;
            // The other senders use an unknown part of the limit.
            [all / senders, all / senders.sqrt(), all]
        }
        _ => [slots / 4.0, slots / 2.0, slots],
    };
    let bound = if route.pace.is_finite() { route.pace } else { slots };
    rates[0] = rates[0].min(bound);
    rates[1] = rates[1].min(bound).min(slots);
    rates[2] = rates[2].min(slots);
    if let Some(share) = route.cold_share {
        let ramp =
            (settings.rules.fall_multiple * share * route.served_rate.max(route.limit / senders)).max(0.1);
        rates = [rates[0].min(ramp), rates[1].min(ramp), rates[2]];
    }
    rates.map(|rate| rate.max(0.01))
}

/// Prediction for one destination: worst case, expected, best case.
struct DestinationPlan {
    calls: [f64; 3],
    time: [f64; 3],
    connections: f64,
    shut: Micros,
}

fn plan_destination(
    outlook: &DestinationSummary,
    messages: f64,
    now: Micros,
    settings: &Settings,
) -> DestinationPlan {
    let bundle = outlook.max_batch.max(1) as f64;
    let each = outlook.routes.iter().map(|route| rates(route, settings));
    let rate = each.fold([0.0; 3], |sum, rate| [sum[0] + rate[0], sum[1] + rate[1], sum[2] + rate[2]]);
    let rate = if outlook.routes.is_empty() { [1.0, 4.0, 16.0] } else { rate };
    let shut = outlook.routes.iter().map(|route| route.blocked_until.saturating_sub(now)).min().unwrap_or(0);
    let deviations = |times: f64| {
        let took = outlook
            .routes
            .iter()
            .map(|route| route.answer_time.unwrap_or((DEFAULT_ANSWER_TIME, DEFAULT_ANSWER_TIME)));
        took.map(|(mean, off)| mean + times * off).fold(0.0, f64::max) / 1e6
    };
    let filled = (bundle * BATCH_FILL).max(1.0);
    let calls = [messages, messages / filled, (messages / bundle).ceil()];
    let waiting = outlook.backlog as f64;
    let wait = shut as f64 / 1e6;
    // The trial of an open breaker may fail again, and the breaker then stays open twice as long.
    let worst = if shut > 0 { 3.0 * wait + 1.0 } else { 0.0 };
    let time = [
        worst + (waiting + calls[0]) / rate[0] + deviations(5.0),
        wait + (waiting / filled + calls[1]) / rate[1] + deviations(1.0),
        wait + calls[2] / rate[2] + deviations(0.0) / 2.0,
    ];
    let busy = rate[1] * deviations(0.0);
    let connections = busy.min(calls[1]).clamp(1.0, (settings.slots as f64).max(1.0));
    DestinationPlan { calls, time, connections, shut }
}

/// Predicts what a run will take. Returns the raw values too, for [`Runs::learn`]. `class` and `tenant` are
/// its indexes in the settings; `outlook` gives the summary of a destination; `now` is the decision module's
/// clock.
///
/// # Errors
/// Says what is wrong with the run.
pub fn plan(
    run: &Run,
    (class, tenant): (Option<usize>, Option<usize>),
    settings: &Settings,
    runs: &Runs,
    now: Micros,
    outlook: impl Fn(DestinationId) -> DestinationSummary,
) -> Result<(Planned, [f64; 4]), RunError> {
    let class = class.and_then(|class| settings.classes.get(class));
    let class = class.ok_or_else(|| RunError::Class(run.class.clone()))?;
    if !(1..=MAX_DESTINATIONS).contains(&run.destinations.len()) {
        return Err(RunError::Destinations(run.destinations.len()));
    }
    let quota = match tenant.and_then(|tenant| settings.tenants.get(tenant)) {
        _ if run.tenant.is_empty() => None,
        Some(tenant) => Some(tenant.quota),
        None => return Err(RunError::Tenant(run.tenant.clone())),
    };
    let each = run.messages as f64 / run.destinations.len() as f64;
    let (mut endpoints, mut calls, mut connections) = (0u64, [0.0; 3], 0.0);
    let (mut time, mut shut, mut tenant_rate) = ([0.0f64; 3], BTreeMap::new(), 0.0);
    let (mut bytes, mut most_bytes, mut least_bytes) = (0.0, 0.0, 0.0);
    let (body, in_batch) =
        (run.body_bytes as f64, run.body_bytes as f64 * 4.0 / 3.0 + BATCH_ENTRY_BYTES as f64);
    for to in &run.destinations {
        let outlook = outlook(DestinationId(*to));
        if outlook.endpoints == 0 {
            return Err(RunError::Nowhere(*to));
        }
        endpoints = endpoints.saturating_add(outlook.endpoints as u64);
        tenant_rate = outlook.tenant_rate;
        let leg = plan_destination(&outlook, each, now, settings);
        for at in 0..3 {
            calls[at] += leg.calls[at];
            time[at] = time[at].max(leg.time[at]);
        }
        connections += leg.connections;
        if leg.shut > 0 {
            shut.insert(*to, leg.shut);
        }
        let message = if outlook.max_batch > 1 { in_batch } else { body };
        bytes += leg.calls[1] * CALL_BYTES as f64 + each * message;
        least_bytes += leg.calls[2] * CALL_BYTES as f64 + each * body;
        most_bytes +=
            (leg.calls[0] * CALL_BYTES as f64 + each * message) * f64::from(settings.try_limit.max(1));
    }
    let over = run.over_ms as f64 / 1e3;
    let time = time.map(|time| time.max(over) * 1e6);
    let raw = [calls[1], run.messages as f64, bytes, time[1]];
    let tries = f64::from(settings.try_limit.max(1));
    let ends = [
        (calls[2], calls[0] * tries),
        (run.messages as f64, run.messages as f64 * tries),
        (least_bytes, most_bytes),
        (time[2], time[0]),
    ];
    let tracks = runs.0.get(&run.class);
    let told = std::array::from_fn::<Interval, 4, _>(|at| {
        let structural =
            Interval { least: ends[at].0 as u64, expected: raw[at] as u64, most: ends[at].1 as u64 };
        let track = tracks.map_or(Track::new(BAND), |tracks| tracks[at]);
        track.interval(structural, raw[at], 0.0)
    });
    let [calls, attempts, wire_bytes, time] = told;
    let most = (connections * 2.0).ceil().min(settings.slots as f64) as u64;
    let used = connections.ceil() as u64;
    let missed = tracks.into_iter().flatten().filter_map(Track::widened).max();
    let planned = Planned {
        endpoints,
        calls,
        attempts,
        wire_bytes,
        connections: Interval { least: 1.min(used), expected: used.min(most), most },
        time,
        in_time: time.most <= class.deadline,
        shut,
        fits: fits(run, quota, tenant_rate, class.aim, settings.senders),
        doubts: missed.map(|wider| Doubt::Missed { wider }).into_iter().collect(),
    };
    Ok((planned, raw))
}

/// Compares a run with its tenant's share. A sender considers a share exceeded when the recent rate at this
/// sender times the number of senders is above the quota; the rate decays over an aim.
fn fits(run: &Run, quota: Option<f64>, rate: f64, aim: Micros, senders: usize) -> Fits {
    let Some(quota) = quota else { return Fits::Now };
    let part = quota / senders.max(1) as f64;
    let aim = aim.max(1) as f64 / 1e6;
    // A run handed in at once counts as spread over one aim.
    let own = run.messages as f64 / (run.over_ms as f64 / 1e3).max(aim);
    if own > part {
        return Fits::Over { over_ms: (run.messages as f64 / part.max(1e-9) * 1e3).ceil() as u64 };
    }
    if rate + own <= part {
        return Fits::Now;
    }
    let room = (part - own).max(part * 1e-3);
    Fits::After { after: (aim * (rate / room).ln().max(0.0) * 1e6) as Micros }
}
