//! All decisions of a sender. The types, events and actions that it uses are defined in `src/interface.rs`.
//! A three-state circuit breaker per destination decides the ordinary path of every message. All sends pass
//! [`Policy::dispatch`] and [`Policy::admit`]; all final answers pass [`Policy::answer`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};

use crate::interface::*;
use crate::note::{Note, Topic};

/// Consecutive errors or failed connections that open a breaker.
const MAX_FAILURES: u32 = 5;
/// Consecutive time-outs that open a breaker.
const MAX_TIMEOUTS: u32 = 20;
/// Maximum time from the last failure to the trial call.
const MAX_RESET_TIMEOUT: Micros = 5_000_000;
/// Calls without an answer for far longer than usual, and no answer to any other since, that open a breaker.
const MAX_SILENT_CALLS: u32 = 2;
/// Consecutive failures after which the next success counts as the return from an outage.
const OUTAGE_FAILURES: u32 = 2;
/// Fraction of its part of a cold destination's capacity that this sender uses.
const RAMP_MARGIN: f64 = 0.9;
/// All senders together may make this many calls per overload window at any cold destination, however little
/// it can take; a tier of up to this many senders keeps idle connections for the full time.
const FEW_SENDERS: usize = 3;
/// Factor applied to the pace at a refusal.
const PACE_CUT_FACTOR: f64 = 0.85;
/// Relative growth of the pace per aim, one aim after the last cut.
const PACE_GROWTH: f64 = 0.3;
/// An advertised limit this many times as high as at the last refusal has risen.
const LIMIT_RISE_FACTOR: f64 = 1.5;
/// Fraction of an advertised limit that all senders together plan to use: reports are off by some percent,
/// and refused calls count against the limit as well.
const LIMIT_MARGIN: f64 = 0.95;
/// How far ahead of the advertised limit the planned calls may run.
const LIMIT_AHEAD: Micros = 500_000;
/// A tier of up to this many senders is notified of every planned call; in a larger one, a note stands for
/// proportionally more calls.
const SENDERS_PER_NOTE: usize = 32;
/// A reported limit that differs from the known one by more than this factor, up or down, has changed.
const LIMIT_CHANGE_FACTOR: f64 = 1.5;
/// Handing back an accepted message that never ran costs this fraction of its worth while more than this
/// fraction of its time is left.
const EARLY_FRACTION: f64 = 0.3;
/// Load that each further message adds to a call at a cold destination, as a fraction of one call.
const BATCHED_MESSAGE_LOAD: f64 = 0.25;
/// Time from the end of a process until the next one repeats outstanding attempts, including the connection.
const RESTART_TIME: Micros = 2_000_000;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    #[default]
    Closed,
    Open,
    HalfOpen,
}

/// Three-state circuit breaker: counts failures and time-outs and determines when a trial is due.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Breaker {
    state: State,
    failures: u32,
    timeouts: u32,
    last_failed: Micros,
    /// Time from the last failure to the trial; grows with each failed trial.
    #[serde(rename = "reset")]
    reset_timeout: Micros,
    #[serde(rename = "trial")]
    trial_call: Option<u64>,
}

impl Breaker {
    fn trial_due(&self) -> Micros {
        if self.state == State::Open { self.last_failed + self.reset_timeout } else { 0 }
    }

    /// Whether a call may be sent now. An open breaker whose reset time is over becomes half-open.
    fn allows(&mut self, now: Micros) -> bool {
        if self.state == State::Open && now >= self.trial_due() {
            self.state = State::HalfOpen;
        }
        self.state == State::Closed || (self.state == State::HalfOpen && self.trial_call.is_none())
    }

    /// The first trial comes after half an aim, and after twice the time following each failed trial, because
    /// the five seconds of [`MAX_RESET_TIMEOUT`] are longer than most aims.
    fn open(&mut self, now: Micros, aim: Micros) {
        let trial_failed = self.state == State::HalfOpen;
        let reset_timeout = if trial_failed { self.reset_timeout * 2 } else { aim / 2 };
        self.reset_timeout = reset_timeout.min(MAX_RESET_TIMEOUT);
        self.state = State::Open;
        self.last_failed = now;
        self.failures = 0;
        self.timeouts = 0;
    }

    fn record(&mut self, call: u64, outcome: Outcome, now: Micros, aim: Micros) {
        let is_trial = self.trial_call.take_if(|trial| *trial == call).is_some();
        match outcome {
            // A late answer to a call sent before the breaker opened proves as much as a trial's.
            Outcome::Delivered => {
                self.failures = 0;
                self.timeouts = 0;
                self.state = State::Closed;
                self.trial_call = None;
                return;
            }
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => self.failures += 1,
            Outcome::TimedOut => self.timeouts += 1,
            Outcome::Full(_) | Outcome::Cancelled | Outcome::Moot { .. } => return,
        }
        self.last_failed = now;
        if is_trial || self.failures >= MAX_FAILURES || self.timeouts >= MAX_TIMEOUTS {
            self.open(now, aim);
        }
    }
}

/// Health and pace of one route, which has a breaker of its own, as this sender has observed them.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Route {
    breaker: Breaker,
    /// End of a requested wait (Retry-After), or of this sender's own pause after a refusal without one.
    /// Nothing is sent before.
    wait_until: Micros,
    /// Refusals as full since the last success.
    #[serde(rename = "fulls")]
    refusals: u32,
    /// When the last one was counted.
    #[serde(rename = "full_at")]
    refused_at: Micros,
    #[serde(rename = "bad_run")]
    consecutive_failures: u32,
    /// This sender's part of a cold destination's capacity, if one was given; otherwise all parts are equal.
    #[serde(rename = "part")]
    capacity_part: Option<f64>,
    /// When the destination first answered after an outage.
    cold_since: Option<Micros>,
    /// When the outage was first seen: the time of sending of its first failed call.
    #[serde(rename = "bad_since")]
    outage_since: Micros,
    /// Calls per second that the ramp after an outage allows.
    #[serde(rename = "ramp")]
    ramp_rate: f64,
    /// Calls until this sender's next turn in the ramp.
    #[serde(rename = "turn")]
    calls_until_turn: f64,
    /// When `calls_until_turn` was last updated.
    #[serde(rename = "turn_at")]
    turn_updated_at: Micros,
    #[serde(rename = "out")]
    outstanding: usize,
    /// Time and load of the recent sends, for the ramp.
    #[serde(rename = "sent")]
    recent_sends: VecDeque<(Micros, f64)>,
    /// Calls served here while the route was healthy and the seconds that this took, both decaying; and when
    /// they were last updated.
    #[serde(rename = "served")]
    healthy_service: (f64, f64, Micros),
    /// Advertised limit in calls per second from all senders, by a load report or the list; 0 if there is
    /// none.
    #[serde(rename = "told")]
    advertised: f64,
    /// The limit in the last load report, whatever the list has said since.
    reported: f64,
    /// Until when the limit is used up by the planned calls of this sender and those announced by the others.
    #[serde(rename = "booked")]
    booked_until: Micros,
    /// When this sender's planned call may be sent.
    #[serde(rename = "slot")]
    planned_at: Option<Micros>,
    /// Pace in calls per second; infinite until the first refusal.
    pace: f64,
    /// Calls that the pace allows now.
    credit: f64,
    /// When `credit` was last updated.
    #[serde(rename = "credit_at")]
    credit_updated_at: Micros,
    /// Recent rate of served calls per second, and when it was last updated.
    #[serde(rename = "granted")]
    served_rate: (f64, Micros),
    /// When the pace was last cut. It is cut once for all refusals of calls sent before a cut.
    #[serde(rename = "cut_at")]
    pace_cut_at: Micros,
    /// The advertised limit at that cut; infinite while there was none, so that no limit counts as risen.
    #[serde(rename = "told_at_cut")]
    advertised_at_cut: f64,
    /// When the pace last grew.
    #[serde(rename = "grown_at")]
    pace_grown_at: Micros,
    /// Mean answer time and its mean deviation.
    #[serde(rename = "usual")]
    answer_time: Option<(f64, f64)>,
    /// When the last answer came.
    answered_at: Micros,
    /// A call was lost and nothing has been delivered since.
    #[serde(rename = "late")]
    lost_call: bool,
    delivered_at: Micros,
}

/// An exponentially decaying rate of events per second, with the time constant `span`, after a further event.
fn decayed_rate(rate: (f64, Micros), now: Micros, span: Micros, event: f64) -> (f64, Micros) {
    let span = span.max(1) as f64;
    let (rate, updated_at) = rate;
    let decay = (-(now.saturating_sub(updated_at) as f64) / span).exp();
    (rate * decay + event * 1e6 / span, now)
}

/// When a message with this deadline should be delivered; a class's aim may lie beyond its deadline.
fn aim_of(class: &Class, deadline: Micros) -> Micros {
    (deadline + class.aim).saturating_sub(class.deadline).min(deadline)
}

/// Load that a message adds to a cold destination, depending on whether it joins a call or starts one.
fn message_load(joins: bool) -> f64 {
    if joins { BATCHED_MESSAGE_LOAD } else { 1.0 }
}

/// Range of all ids that routes of a destination can have.
fn routes_to(destination: DestinationId) -> RangeInclusive<RouteId> {
    (destination, None)..=(destination, Some(EndpointId([u8::MAX; 6])))
}

/// Number of planned calls that one note stands for, since each receiver of a note has a price.
fn calls_per_note(senders: usize) -> usize {
    (senders / SENDERS_PER_NOTE).max(1)
}

impl Route {
    fn new(now: Micros) -> Self {
        Self {
            pace: f64::INFINITY,
            advertised_at_cut: f64::INFINITY,
            credit: 1.0,
            credit_updated_at: now,
            healthy_service: (0.0, 0.0, now),
            served_rate: (0.0, now),
            answered_at: now,
            delivered_at: now,
            ..Self::default()
        }
    }

    /// Drops the advertised limits: they were given in another form and do not apply to the current one.
    pub fn clear_advertised_limit(&mut self) {
        self.advertised = 0.0;
        self.reported = 0.0;
    }

    /// Whether nothing in it is binding and nothing was learned but decaying estimates (see
    /// `docs/findings/working-set.md`).
    fn is_as_new(&self, rules: &Rules, now: Micros) -> bool {
        let no_failures =
            !self.is_failing() && self.refusals + self.breaker.failures + self.breaker.timeouts == 0;
        let no_wait =
            self.wait_until.max(self.booked_until) <= now && self.planned_at.is_none_or(|at| at <= now);
        let no_limit = self.pace.is_infinite() && self.reported == 0.0;
        let no_recent_sends = self.recent_sends.back().is_none_or(|send| send.0 + rules.overload_for <= now);
        no_failures && no_wait && no_limit && no_recent_sends && self.cold_share(rules, now).is_none()
    }

    fn is_failing(&self) -> bool {
        self.consecutive_failures > 0 || self.lost_call || self.breaker.state != State::Closed
    }

    /// Whether the failures since the last success look like an outage. A destination that has shut down
    /// refuses as full, without any success, for longer than the window of a limit; it returns as cold as any
    /// other.
    fn looks_down(&self, rules: &Rules, now: Micros) -> bool {
        self.consecutive_failures >= self.outage_failures(rules, now)
            || self.breaker.state != State::Closed
            || (self.refusals >= MAX_FAILURES && now >= self.outage_since + rules.overload_for)
    }

    /// Number of consecutive failures that look like an outage. At a destination that is still cold, one is
    /// enough: a half-failing destination has successes in between, and the warm-up counts from the end of
    /// the outage.
    fn outage_failures(&self, rules: &Rules, now: Micros) -> u32 {
        let cold = self.cold_since.is_some_and(|since| now < since + rules.warm_within);
        if cold { 1 } else { OUTAGE_FAILURES }
    }

    /// A sender that sends little never sees several failures in a row: one failure, or two refusals, with
    /// nothing delivered for an overload window hold it back until the next success. A single refusal is most
    /// often caused by a limit, and the next call, sent alone after a pause, shows whether it was: a
    /// destination that has shut down refuses that one as well.
    fn is_suspect(&self, rules: &Rules, now: Micros) -> bool {
        self.consecutive_failures + self.refusals / 2 > 0 && now >= self.delivered_at + rules.overload_for
    }

    /// Protects a returning destination from overload: the share of its capacity to count on, if it may be
    /// cold. It may have returned unnoticed while this sender still counts failures.
    fn cold_share(&self, rules: &Rules, now: Micros) -> Option<f64> {
        if self.looks_down(rules, now) || self.is_suspect(rules, now) {
            return Some(rules.cold_share);
        }
        let warmed_up = now.saturating_sub(self.cold_since?) as f64 / rules.warm_within.max(1) as f64;
        (warmed_up < 1.0).then_some(rules.cold_share + (1.0 - rules.cold_share) * warmed_up)
    }

    /// Calls per second that were served here while the route was healthy.
    fn healthy_rate(&self, rules: &Rules) -> f64 {
        self.healthy_service.0 / (self.healthy_service.1 + rules.overload_for as f64 / 1e6)
    }

    /// Whether the ramp after an outage allows a further message, with `waiting` messages held for the
    /// destination. Protects against many senders that send little each: all held messages came since the
    /// outage began, so one message stands for a rate of one over the time since. A rate below one call per
    /// overload window is sent at random times. This delays messages where few senders have anything to send.
    fn ramp_allows(
        &mut self,
        settings: &Settings,
        now: Micros,
        joins: bool,
        waiting: f64,
        random: f64,
    ) -> bool {
        let rules = &settings.rules;
        while self.recent_sends.front().is_some_and(|send| send.0 + rules.overload_for <= now) {
            self.recent_sends.pop_front();
        }
        let updated_at = std::mem::replace(&mut self.turn_updated_at, now);
        let Some(share) = self.cold_share(rules, now) else {
            self.calls_until_turn = 0.0;
            self.capacity_part = None;
            return true;
        };
        let waiting_rate = waiting * 1e6 / (now.saturating_sub(self.outage_since)).max(1) as f64;
        let own_rate = match self.capacity_part.filter(|_| self.advertised > 0.0) {
            Some(part) => self.advertised * part,
            None => self.healthy_rate(rules).max(self.advertised / settings.senders as f64).max(waiting_rate),
        };
        let window = rules.overload_for as f64 / 1e6;
        let min_rate = FEW_SENDERS as f64 / (settings.senders as f64 * window);
        self.ramp_rate = (rules.fall_multiple * share * own_rate * RAMP_MARGIN).max(min_rate);
        let recent_load: f64 = self.recent_sends.iter().map(|send| send.1).sum();
        if self.ramp_rate * window > 0.999 {
            return recent_load == 0.0 || recent_load + message_load(joins) <= self.ramp_rate * window;
        }
        if self.calls_until_turn <= 0.0 {
            self.calls_until_turn = 2.0 * random;
        } else {
            self.calls_until_turn -= self.ramp_rate * (now - updated_at) as f64 / 1e6;
        }
        self.calls_until_turn <= 0.0
    }

    /// Time without an answer after which a call here counts as silent.
    fn silence_timeout(&self, aim: Micros) -> Micros {
        match self.answer_time {
            Some((mean, deviation)) => ((mean + 5.0 * deviation) as Micros).clamp(aim / 16, aim),
            None => aim / 2,
        }
    }

    /// Detects a destination that accepts calls and answers none, whatever the cause, long before time-outs
    /// would: the call was sent since the last answer and has waited for too long. A slow destination
    /// answers.
    fn is_silent(&self, sent: Micros, aim: Micros, now: Micros) -> bool {
        sent >= self.answered_at && sent + self.silence_timeout(aim) <= now
    }

    /// How long to wait for an answer that the connection or the endpoint may have lost; the call holds a
    /// slot until then. Where a repeat is harmless this is well below the aim, and grows with each attempt,
    /// so that a slow answer gets through. After an outage answers take longer, and the aim applies.
    fn call_timeout(
        &self,
        rules: &Rules,
        effect: Effect,
        earlier: usize,
        aim: Micros,
        now: Micros,
    ) -> Micros {
        let uncertain =
            self.answer_time.is_none() || self.is_failing() || self.cold_share(rules, now).is_some();
        if effect == Effect::Once || uncertain {
            return aim;
        }
        (self.silence_timeout(aim) / 2 * (3 << earlier.min(4))).min(aim)
    }

    fn record_answer_time(&mut self, took: Micros) {
        let took = took as f64;
        let (mean, deviation) = self.answer_time.unwrap_or((took, took / 2.0));
        let new_mean = mean + (took - mean) / 8.0;
        let new_deviation = deviation + ((took - mean).abs() - deviation) / 8.0;
        self.answer_time = Some((new_mean, new_deviation));
    }

    /// Learns the pace of a destination that refuses: the rate it served recently, or this sender's part of
    /// the advertised limit, and less with each refusal. Other senders, which this one cannot see, use the
    /// same limit.
    fn cut_pace(&mut self, settings: &Settings, now: Micros, aim: Micros) {
        self.refill_credit(now);
        self.credit = self.credit.min(0.0);
        if now < self.pace_cut_at + aim / 8 {
            return;
        }
        self.pace_cut_at = now;
        self.advertised_at_cut = self.advertised;
        let served_rate = decayed_rate(self.served_rate, now, aim, 0.0).0;
        let known_rate = served_rate.max(self.advertised / settings.senders as f64);
        self.pace = (self.pace.min(known_rate) * PACE_CUT_FACTOR).max(2e6 / aim.max(1) as f64);
    }

    /// Calls per second that all senders together may make, as far as it is known; 0 if it is not.
    fn limit(&self) -> f64 {
        if self.reported > 0.0 { self.reported } else { self.advertised }
    }

    /// Plans another call at a destination with an advertised limit; returns when it may be sent.
    fn plan_call(&mut self, now: Micros, senders: usize) -> Micros {
        let interval = 1e6 / (self.limit() * LIMIT_MARGIN);
        let at = now.max(self.booked_until.saturating_sub(LIMIT_AHEAD));
        // No sender has more than one call planned, so whatever the notes say, this sender's turn comes
        // within one round of all senders.
        let round = (interval * senders as f64) as Micros;
        self.booked_until = (self.booked_until.max(now) + interval as Micros).min(now + LIMIT_AHEAD + round);
        at
    }

    fn refill_credit(&mut self, now: Micros) {
        let gained = self.pace * (now - self.credit_updated_at) as f64 / 1e6;
        let max_credit = 1.0 + self.pace / 4.0;
        self.credit = if self.pace.is_finite() { (self.credit + gained).min(max_credit) } else { 1.0 };
        self.credit_updated_at = now;
    }

    fn record(&mut self, settings: &Settings, call: u64, sent: Micros, outcome: Outcome, now: Micros) {
        let aim = settings.shortest_aim();
        if self.consecutive_failures + self.refusals == 0 {
            self.outage_since = sent;
        }
        match outcome {
            Outcome::Delivered => {
                // A breaker that was opened by silence for less than an overload window was no outage.
                let brief = self.consecutive_failures < self.outage_failures(&settings.rules, now)
                    && now < self.delivered_at + settings.rules.overload_for;
                if self.looks_down(&settings.rules, now) && !brief {
                    self.cold_since = Some(now);
                } else if self.cold_share(&settings.rules, now).is_none() {
                    let span = settings.rules.warm_within.max(1) as f64 / 1e6;
                    let decay = (-((now - self.healthy_service.2) as f64) / 1e6 / span).exp();
                    self.healthy_service.0 = self.healthy_service.0 * decay + 1.0;
                    self.healthy_service.1 = self.healthy_service.1 * decay + span * (1.0 - decay);
                }
                self.healthy_service.2 = now;
                self.delivered_at = now;
                self.lost_call = false;
                self.served_rate = decayed_rate(self.served_rate, now, aim, 1.0);
                let last_change = self.pace_grown_at.max(self.pace_cut_at);
                let step = now.saturating_sub(last_change) as f64 / aim.max(1) as f64;
                // Beyond this sender's part of an advertised limit there is little to gain.
                let beyond_part =
                    self.advertised > 0.0 && self.pace > self.advertised / settings.senders as f64;
                // The pace grows faster the longer there has been no refusal.
                let since_cut = now.saturating_sub(self.pace_cut_at) as f64 / aim.max(1) as f64;
                let growth = since_cut.min(if beyond_part { 0.5 } else { 4.0 });
                self.pace *= 1.0 + PACE_GROWTH * growth * step.min(1.0);
                self.pace_grown_at = now;
                self.consecutive_failures = 0;
                self.refusals = 0;
            }
            // Refusals of calls that were outstanding together count once.
            Outcome::Full(wait) if sent > self.refused_at => {
                self.refused_at = now;
                self.cut_pace(settings, now, aim);
                if wait.is_none() {
                    let pause = (aim / 32) << self.refusals.min(4);
                    self.wait_until = self.wait_until.max(now + pause);
                }
                self.refusals += 1;
            }
            // Answers have come since the call was sent, so that the call was lost and not the destination: a
            // lossy path, or a single call that hangs, must not be taken for an outage.
            Outcome::TimedOut if sent < self.answered_at => {
                self.breaker.record(call, Outcome::Cancelled, now, aim);
                self.lost_call = true;
                // The answer would have taken at least this long: without these samples, time-outs would keep
                // the mean answer time from growing.
                self.record_answer_time(now - sent);
                return;
            }
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset | Outcome::TimedOut => {
                self.consecutive_failures += 1
            }
            Outcome::Full(_) | Outcome::Cancelled | Outcome::Moot { .. } => {}
        }
        self.breaker.record(call, outcome, now, aim);
    }
}

#[derive(Default, Serialize, Deserialize)]
struct Endpoint {
    destination: DestinationId,
    zone: u16,
    kind: Kind,
    ready: bool,
    #[serde(rename = "out")]
    outstanding: usize,
    #[serde(rename = "bad_run")]
    consecutive_failures: u32,
    /// When the last call was sent.
    sent_at: Micros,
    /// Time between the last call and the one before it.
    #[serde(rename = "gap")]
    send_interval: Micros,
}

/// A message that this sender has accepted and not yet given a final answer to.
#[derive(Serialize, Deserialize)]
struct Held {
    message: Message,
    deadline: Micros,
    aim: Micros,
    attempts: u32,
    #[serde(rename = "out")]
    outstanding: u32,
    /// Attempts that may have run or are outstanding: number, time of sending, endpoint.
    may_have_run: Vec<(u16, Micros, EndpointId)>,
    /// Set until it is confirmed that no other sender owns the message: when the first attempt of that sender
    /// may have begun, at an endpoint that is not known.
    #[serde(default)]
    unconfirmed_since: Option<Micros>,
}

/// A call in progress. It holds a slot until all its messages have their outcomes.
#[derive(Serialize, Deserialize)]
struct Call {
    route: RouteId,
    endpoint: EndpointId,
    sent: Micros,
    /// Messages without an outcome.
    #[serde(rename = "messages")]
    unresolved_messages: usize,
    /// Its outcome has been recorded.
    #[serde(rename = "judged")]
    outcome_recorded: bool,
}

/// Messages of one ordered key, in the order in which they were accepted.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct OrderedQueue {
    waiting: VecDeque<MessageId>,
    #[serde(rename = "out")]
    outstanding: BTreeSet<(MessageId, u16)>,
    /// The key is paused until then for all messages but this one, an attempt of which ended unclearly.
    #[serde(rename = "rest")]
    pause: (Micros, Option<MessageId>),
}

/// The decision module of one sender.
#[derive(Default, Serialize, Deserialize)]
pub struct Policy {
    settings: Settings,
    #[serde(skip)]
    rng: fastrand::Rng,
    now: Micros,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Endpoints by destination, so that a batch does not visit those that no message is held for.
    #[serde(rename = "cells")]
    endpoints_by_destination: BTreeMap<DestinationId, BTreeSet<EndpointId>>,
    routes: BTreeMap<RouteId, Route>,
    held: BTreeMap<MessageId, Held>,
    /// Call and ordered key of each attempt without an outcome. An attempt may outlive its message.
    #[serde(rename = "flights")]
    attempts_out: BTreeMap<(MessageId, u16), (u64, Option<u64>)>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    #[serde(rename = "lines")]
    ordered_queues: BTreeMap<u64, OrderedQueue>,
    /// When to request the list of endpoints (again).
    #[serde(rename = "ask_at")]
    list_request_at: Option<Micros>,
    /// Consecutive failed requests for the list.
    #[serde(default, rename = "asks_failed")]
    failed_list_requests: u32,
    /// When the pending timer goes off.
    #[serde(rename = "reminder")]
    timer_at: Option<Micros>,
    /// Connections that are used less often than once in this time are closed after use.
    #[serde(rename = "keep")]
    keep_idle_for: Micros,
    /// Notes to the other senders, sent at the end of the batch.
    #[serde(skip)]
    pending_notes: BTreeSet<(Topic, DestinationId)>,
    /// When this process will end, once that is known.
    #[serde(rename = "stop_at")]
    process_ends_at: Option<Micros>,
    /// Attempts cannot be recorded, so none may begin.
    #[serde(skip)]
    storage_failing: bool,
    /// While out of service: when all held messages must have ended, if a time was given.
    #[serde(default, rename = "drain_by")]
    drain_deadline: Option<Micros>,
    /// Recent rate of messages per second from each tenant at this sender, and when it was last updated.
    #[serde(rename = "tenants")]
    tenant_rates: Vec<(f64, Micros)>,
}

impl Policy {
    /// Creates the module of a sender that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let list_request_in = rng.u64(0..=settings.list_request_round());
        Self {
            list_request_at: settings.list_on_request.then_some(now + list_request_in),
            tenant_rates: vec![(0.0, now); settings.tenants.len()],
            keep_idle_for: settings.idle_close,
            settings,
            rng,
            now,
            ..Self::default()
        }
    }

    /// Continues with the state of an earlier process of this sender; when this process will end is not
    /// known.
    pub fn after_handover(self, seed: u64) -> Self {
        let list_request_at = self.settings.list_on_request.then_some(self.now);
        Self {
            rng: fastrand::Rng::with_seed(seed),
            process_ends_at: None,
            drain_deadline: None,
            list_request_at,
            ..self
        }
    }

    /// Attempts without an outcome, and the endpoint of each.
    pub fn outstanding_attempts(&self) -> impl Iterator<Item = (MessageId, u16, EndpointId)> + '_ {
        self.attempts_out.iter().filter_map(|((message, attempt), (call, _))| {
            Some((*message, *attempt, self.calls.get(call)?.endpoint))
        })
    }

    /// Applies all events of the batch, then decides once.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        for event in events {
            match event {
                Event::Accepted(message) => self.hold(message),
                Event::Resumed { message, attempts, may_have_run, unconfirmed } => {
                    self.resume(message, *attempts, may_have_run, *unconfirmed);
                }
                Event::OwnershipConfirmed(message) => {
                    if let Some(held) = self.held.get_mut(message) {
                        held.unconfirmed_since = None;
                    }
                }
                Event::Stopping(at) => self.process_ends_at = Some(*at),
                Event::RetryAfter { endpoint, wait } => {
                    if let Some(route) = self.route_of(*endpoint).and_then(|id| self.routes.get_mut(&id)) {
                        route.wait_until = route.wait_until.max(now + wait);
                    }
                }
                Event::Ended { message, attempt, endpoint, outcome, terminal, report, .. } => {
                    self.record_report(*endpoint, report);
                    self.attempt_ended(*message, *attempt, *outcome, *terminal);
                }
                Event::Withdrawn(message) => self.remove_message(*message),
                Event::List(entries) => {
                    self.endpoints.values_mut().for_each(|e| e.ready = false);
                    self.update_list(entries);
                }
                Event::Changes(entries) => self.update_list(entries),
                Event::ListFailed if self.settings.list_on_request => {
                    // Asks again well within the interval after which this sender would be deemed informed.
                    let every = self.settings.rules.ask_every.unwrap_or(MAX_RESET_TIMEOUT);
                    let pause = (self.settings.list_request_round() << self.failed_list_requests.min(6))
                        .min(every / 2);
                    self.failed_list_requests += 1;
                    self.list_request_at = Some(now + pause + self.rng.u64(0..=pause));
                }
                Event::Probed { endpoint, report, .. } => self.record_report(*endpoint, report),
                Event::Settings(settings) => self.apply_settings(settings),
                // Held messages continue, and messages that still come on open connections are accepted:
                // another sender would only get them later. They end by the drain's deadline, if it has one.
                Event::StorageFailing(failing) => self.storage_failing = *failing,
                Event::Service { wanted, until } => self.drain_deadline = until.filter(|_| !wanted),
                Event::Note { content, .. } => self.apply_note(content),
                Event::ReturnedCold { destination, ago, part } => self.mark_cold(*destination, *ago, *part),
                Event::Streaming { .. } | Event::ListFailed | Event::Timer(_) => {}
            }
        }
        if self.list_request_at.take_if(|at| *at <= now).is_some() {
            actions.push(Action::Watch);
        }
        let aim = self.settings.shortest_aim();
        let mut silent_calls = BTreeMap::new();
        for call in self.calls.values().filter(|call| !call.outcome_recorded) {
            let Some(route) = self.routes.get_mut(&call.route) else { continue };
            let count: &mut u32 = silent_calls.entry(call.route).or_default();
            *count += u32::from(route.is_silent(call.sent, aim, now));
            if route.breaker.state == State::Closed && *count >= MAX_SILENT_CALLS {
                route.breaker.open(now, aim);
            }
        }
        self.answer_undeliverable(actions);
        self.shed_load(actions);
        if !self.storage_failing {
            self.dispatch(actions);
        }
        self.close_idle(events, actions);
        self.set_timer(actions);
        let notes = std::mem::take(&mut self.pending_notes);
        for (topic, destination) in notes.into_iter().filter(|_| self.settings.peers) {
            let limit = self.routes.get(&(destination, None)).map_or(0.0, |route| route.reported);
            actions.push(Action::SendNote { to: None, content: Note { topic, destination, limit }.encode() });
        }
    }

    /// Number of messages without a final answer.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Summary of the state of a destination and a tenant, for estimates; no decision depends on it.
    pub fn destination_summary(&self, to: DestinationId, tenant: usize) -> DestinationSummary {
        let rules = &self.settings.rules;
        let aim = self.settings.shortest_aim();
        let now = self.now;
        let routes = self.routes.range(routes_to(to)).map(|(_, r)| {
            let rates = [r.limit(), r.pace, r.healthy_rate(rules)];
            RouteSummary::new(
                rates,
                r.wait_until.max(r.breaker.trial_due()),
                r.cold_share(rules, now),
                r.answer_time,
            )
        });
        let backlog = self.held.values().filter(|held| held.message.destination == to).count();
        let tenant_rate =
            self.tenant_rates.get(tenant).map_or(0.0, |rate| decayed_rate(*rate, now, aim, 0.0).0);
        DestinationSummary { backlog, tenant_rate, routes: routes.collect(), ..DestinationSummary::default() }
    }

    /// Number of listed endpoints that a breaker keeps messages from.
    pub fn unhealthy_endpoints(&self) -> usize {
        let not_closed = |id: &RouteId| self.routes.get(id).is_some_and(|r| r.breaker.state != State::Closed);
        let routes = self.endpoints.iter().filter(|(_, e)| e.ready).filter_map(|(id, _)| self.route_of(*id));
        routes.filter(not_closed).count()
    }

    /// Whether a held message has the class at this position.
    pub fn holds_class(&self, class: usize) -> bool {
        self.held.values().any(|held| held.message.class == class)
    }

    /// The position of a message's class, if the message is held.
    pub fn class_of(&self, message: MessageId) -> Option<usize> {
        Some(self.held.get(&message)?.message.class)
    }

    /// Evicts a destination and what was learned of it. Returns the routes that are not as good as new, for
    /// [`Self::load_destination`] to restore; none while a message for it is held or a call to it is
    /// outstanding.
    pub fn evict(&mut self, destination: DestinationId, now: Micros) -> Option<Vec<(RouteId, Route)>> {
        let held = self.held.values().any(|held| held.message.destination == destination);
        if held || self.calls.values().any(|call| call.route.0 == destination) {
            return None;
        }
        for id in self.endpoints_by_destination.remove(&destination).iter().flatten() {
            self.endpoints.remove(id);
        }
        let rules = &self.settings.rules;
        let mut routes: Vec<_> = self.routes.extract_if(routes_to(destination), |_, _| true).collect();
        for (_, route) in &mut routes {
            route.recent_sends.retain(|send| send.0 + rules.overload_for > now);
        }
        Some(routes.into_iter().filter(|(_, route)| !route.is_as_new(rules, now)).collect())
    }

    /// Loads a destination that is about to be listed with these routes. A route that was not kept counts as
    /// known and idle since the beginning of time. Where routes were merged or split in the meantime, a
    /// requested wait binds all routes that it may apply to.
    pub fn load_destination(
        &mut self,
        routes: impl IntoIterator<Item = RouteId>,
        mut kept: BTreeMap<RouteId, Route>,
    ) {
        let waits: Vec<(RouteId, Micros)> = kept.iter().map(|(id, route)| (*id, route.wait_until)).collect();
        for id in routes {
            let binding = waits.iter().filter(|(at, _)| *at == id || at.1.is_none() || id.1.is_none());
            let mut route = kept.remove(&id).unwrap_or_else(|| Route::new(0));
            route.wait_until = binding.map(|wait| wait.1).max().unwrap_or(0);
            self.routes.entry(id).or_insert(route);
        }
    }

    /// Held messages keep their aim, deadline, class and tenant; everything else follows the new settings.
    /// This includes the limit on attempts: a message that has had more is answered.
    fn apply_settings(&mut self, settings: &Settings) {
        // The rates follow the tenants' names, since their positions may have changed.
        let positions = settings.tenant_positions(&self.settings);
        let no_rates = vec![(0.0, self.now); settings.tenants.len()];
        let earlier_rates = std::mem::replace(&mut self.tenant_rates, no_rates);
        for (earlier, position) in earlier_rates.into_iter().zip(&positions) {
            if let Some(rate) = self.tenant_rates.get_mut(*position) {
                *rate = earlier;
            }
        }
        for held in self.held.values_mut() {
            held.message.tenant = positions.get(held.message.tenant).copied().unwrap_or(usize::MAX);
        }
        if settings.idle_close != self.settings.idle_close {
            self.keep_idle_for = settings.idle_close;
        }
        if (settings.weights, settings.report) != (self.settings.weights, self.settings.report) {
            self.routes.values_mut().for_each(Route::clear_advertised_limit);
        }
        self.settings = settings.clone();
    }

    /// Takes up a message that an earlier process had accepted; its attempts that may have run still count.
    fn resume(
        &mut self,
        message: &Message,
        attempts: u32,
        may_have_run: &[(Micros, EndpointId)],
        unconfirmed: Option<Micros>,
    ) {
        self.hold(message);
        let Some(held) = self.held.get_mut(&message.id) else { return };
        held.attempts = attempts;
        held.message.time_left += 1; // It was accepted before this batch.
        held.unconfirmed_since = unconfirmed.map(|ago| self.now.saturating_sub(ago));
        // No attempt of this process has this number, so that none of their outcomes removes one of these.
        for (ago, endpoint) in may_have_run {
            held.may_have_run.push((u16::MAX, self.now.saturating_sub(*ago), *endpoint));
        }
    }

    fn hold(&mut self, message: &Message) {
        let Some(class) = self.settings.classes.get(message.class) else { return };
        let deadline = self.now + message.time_left;
        if let Some(rate) = self.tenant_rates.get_mut(message.tenant) {
            *rate = decayed_rate(*rate, self.now, class.aim, 1.0);
        }
        if class.in_order
            && let Some(key) = message.key
        {
            self.ordered_queues.entry(key).or_default().waiting.push_back(message.id);
        }
        let held = Held {
            message: message.clone(),
            deadline,
            aim: aim_of(class, deadline),
            attempts: 0,
            outstanding: 0,
            may_have_run: Vec::new(),
            unconfirmed_since: None,
        };
        self.held.insert(message.id, held);
    }

    fn update_list(&mut self, entries: &[Entry]) {
        self.failed_list_requests = 0;
        for entry in entries {
            let kind = self.settings.kinds.get(entry.kind).copied().unwrap_or_default();
            let before = self.route_of(entry.endpoint).and_then(|id| self.routes.get(&id));
            let wait_until = before.map_or(0, |route| route.wait_until);
            let endpoint = self.endpoints.entry(entry.endpoint).or_insert_with(|| Endpoint {
                destination: entry.destination,
                send_interval: Micros::MAX,
                ..Endpoint::default()
            });
            endpoint.zone = entry.zone;
            endpoint.kind = kind;
            endpoint.ready = entry.listing == Listing::Ready;
            self.endpoints_by_destination.entry(endpoint.destination).or_default().insert(entry.endpoint);
            let id = (entry.destination, kind.route_per_endpoint.then_some(entry.endpoint));
            let route = self.routes.entry(id).or_insert_with(|| Route::new(self.now));
            // The kind may have changed between one route and a route per endpoint: a requested wait binds
            // either way.
            route.wait_until = route.wait_until.max(wait_until);
            route.advertised = match self.settings.weights {
                Weights::None => route.advertised,
                Weights::Nominal => entry.weight,
                Weights::Rough => entry.weight / 1.5,
            };
        }
    }

    /// The route of an endpoint, to which a wait requested by the endpoint applies.
    pub fn route_of(&self, endpoint: EndpointId) -> Option<RouteId> {
        let e = self.endpoints.get(&endpoint)?;
        Some((e.destination, e.kind.route_per_endpoint.then_some(endpoint)))
    }

    fn record_report(&mut self, endpoint: EndpointId, report: &[f32]) {
        let limit = self.settings.report.1.and_then(|at| report.get(at)).copied().unwrap_or(0.0);
        let Some(id) = self.route_of(endpoint).filter(|_| limit > 0.0) else { return };
        let Some(route) = self.routes.get_mut(&id) else { return };
        route.advertised = f64::from(limit);
        let limit = route.advertised;
        let known = std::mem::replace(&mut route.reported, limit);
        let changed = limit > known * LIMIT_CHANGE_FACTOR || limit * LIMIT_CHANGE_FACTOR < known;
        if changed && known > 0.0 {
            self.pending_notes.insert((Topic::LimitChanged, id.0));
        }
        // A pace learned below a limit does not hold once the limit has risen by more than reports are off.
        if route.advertised > route.advertised_at_cut * LIMIT_RISE_FACTOR {
            route.refill_credit(self.now);
            route.pace = route.pace.max(route.advertised / self.settings.senders as f64 * PACE_CUT_FACTOR);
            route.advertised_at_cut = f64::INFINITY;
        }
    }

    /// Applies a note from another sender. A wrong note costs a wait of at most one round of all senders.
    fn apply_note(&mut self, content: &[u8]) {
        let Some(Note { topic, destination, limit }) = Note::decode(content) else { return };
        let now = self.now;
        let senders = self.settings.senders;
        let route = self.routes.get_mut(&(destination, None));
        let Some(route) = route.filter(|r| r.limit() > 0.0) else { return };
        match topic {
            Topic::PlannedCall => {
                for _ in 0..calls_per_note(senders) {
                    route.plan_call(now, senders);
                }
            }
            // The limit is used up, including the calls that may run ahead of it.
            Topic::LimitReached => route.booked_until = route.booked_until.max(now + LIMIT_AHEAD),
            Topic::LimitChanged if limit > 0.0 => route.reported = limit,
            Topic::LimitChanged => {}
        }
    }

    /// Marks a destination as cold since it returned, unless it is known to have returned later.
    fn mark_cold(&mut self, destination: DestinationId, ago: Micros, part: f64) {
        let since = Some(self.now.saturating_sub(ago));
        for (_, route) in self.routes.range_mut(routes_to(destination)) {
            route.cold_since = route.cold_since.max(since);
            route.capacity_part = Some(part);
        }
    }

    fn attempt_ended(&mut self, id: MessageId, attempt: u16, outcome: Outcome, terminal: bool) {
        let Some((call_id, key)) = self.attempts_out.remove(&(id, attempt)) else { return };
        let now = self.now;
        if let Some(call) = self.calls.get_mut(&call_id) {
            // The messages of a call share one outcome, which counts once. A message that was not sent says
            // nothing about the call, unless none of its messages was.
            call.unresolved_messages -= 1;
            let done = call.unresolved_messages == 0;
            let first = !call.outcome_recorded && (done || !matches!(outcome, Outcome::Moot { .. }));
            call.outcome_recorded |= first;
            if let Some(route) = self.routes.get_mut(&call.route) {
                route.outstanding -= usize::from(done);
                // Each message of a call may come with a requested wait of its own.
                if let Outcome::Full(Some(wait)) = outcome {
                    route.wait_until = route.wait_until.max(now + wait);
                }
                if first && matches!(outcome, Outcome::Full(_)) && self.settings.peers {
                    if route.booked_until < now + LIMIT_AHEAD / 2 && call.route.1.is_none() {
                        self.pending_notes.insert((Topic::LimitReached, call.route.0));
                    }
                    route.booked_until = route.booked_until.max(now + LIMIT_AHEAD);
                }
                if first {
                    if matches!(outcome, Outcome::Delivered | Outcome::Error) {
                        route.record_answer_time(now - call.sent);
                        route.answered_at = now;
                    }
                    route.record(&self.settings, call_id, call.sent, outcome, now);
                }
            }
            if let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) {
                endpoint.outstanding -= usize::from(done);
                match outcome {
                    Outcome::Delivered => endpoint.consecutive_failures = 0,
                    Outcome::Full(_) | Outcome::Cancelled | Outcome::Moot { .. } => {}
                    _ => endpoint.consecutive_failures += u32::from(first),
                }
            }
            if done {
                self.calls.remove(&call_id);
            }
        }
        if let Some(queue) = key.and_then(|key| self.ordered_queues.get_mut(&key)) {
            queue.outstanding.remove(&(id, attempt));
            if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
                queue.pause = (now + self.settings.rules.order_pause, Some(id));
            }
        }
        if let Some(held) = self.held.get_mut(&id) {
            held.outstanding -= 1;
            held.may_have_run.retain(|a| a.0 != attempt || !outcome.never_ran());
        }
        if terminal {
            self.remove_message(id);
        }
    }

    /// Drops a message that has ended; its outstanding attempts keep their slots until their outcomes come.
    fn remove_message(&mut self, id: MessageId) {
        let Some(held) = self.held.remove(&id) else { return };
        if let Some(queue) = held.message.key.and_then(|key| self.ordered_queues.get_mut(&key)) {
            queue.waiting.retain(|message| *message != id);
        }
    }

    /// When a held message must be answered at the latest: two periods before its deadline, or the drain's.
    fn answer_by(&self, held: &Held) -> Micros {
        let until = self.drain_deadline.unwrap_or(Micros::MAX).min(held.deadline);
        until.saturating_sub(2 * self.settings.period)
    }

    /// In a drain with a deadline: the last time at which a call for the message could still be answered.
    fn send_by(&self, held: &Held) -> Micros {
        let aim = self.settings.classes[held.message.class].aim;
        let shortest = self.ready_routes_of(held).map(|route| route.silence_timeout(aim)).min().unwrap_or(0);
        self.answer_by(held).saturating_sub(shortest)
    }

    /// Enforces the rule on effects: whether a further attempt at this endpoint is harmless.
    fn repeat_allowed(&self, held: &Held, endpoint: EndpointId) -> bool {
        self.other_owner_allows(held) && self.known_attempts_allow(held, endpoint)
    }

    /// Whether an attempt is harmless even if another sender owns the message and has attempted it.
    fn other_owner_allows(&self, held: &Held) -> bool {
        let Some(since) = held.unconfirmed_since else { return true };
        match self.settings.classes[held.message.class].effect {
            Effect::Repeatable => true,
            Effect::Keyed { group: DedupScope::All, window } => {
                self.now + self.settings.repeat_margin(window) < since + window
            }
            // The endpoint that the other sender would have chosen is not known.
            Effect::Keyed { .. } | Effect::Once => false,
        }
    }

    /// Whether an attempt at this endpoint is harmless after those that are known.
    fn known_attempts_allow(&self, held: &Held, endpoint: EndpointId) -> bool {
        let Some(first) = held.may_have_run.iter().min_by_key(|a| a.1) else { return true };
        match self.settings.classes[held.message.class].effect {
            Effect::Repeatable => true,
            Effect::Once => false,
            Effect::Keyed { group, window } => {
                // The repeat must arrive while the key is remembered.
                let margin = self.settings.repeat_margin(window);
                // Two endpoints in zones that the settings do not name may be in different ones.
                let zone = |e: EndpointId| self.endpoints.get(&e).map_or(u16::MAX, |e| e.zone);
                self.now + margin < first.1 + window
                    && held.may_have_run.iter().all(|a| match group {
                        DedupScope::All => true,
                        DedupScope::Zone => a.2 == endpoint || zone(a.2).min(u16::MAX - 1) == zone(endpoint),
                        DedupScope::Endpoint => a.2 == endpoint,
                    })
            }
        }
    }

    /// The only place that decides on a final answer: refused where that is harmless, failed otherwise.
    fn answer(&mut self, id: MessageId, retry_after: Micros, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get(&id) else { return };
        let repeatable = self.settings.classes[held.message.class].effect == Effect::Repeatable;
        actions.push(if held.may_have_run.is_empty() || repeatable {
            Action::Refuse { message: id, retry_after: retry_after.min(self.settings.max_retry_after) }
        } else {
            Action::Fail(id)
        });
        self.remove_message(id);
    }

    /// Whether known attempts forbid every further one. A message that only waits for the confirmation of its
    /// ownership is not stuck.
    fn is_stuck(&self, held: &Held) -> bool {
        if held.may_have_run.is_empty() {
            return false;
        }
        // An endpoint that is not known yet after a restart may still be listed.
        let unlisted = held.may_have_run.iter().map(|attempt| attempt.2);
        let unlisted = unlisted.filter(|endpoint| !self.endpoints.contains_key(endpoint));
        let mut endpoints = self.endpoints_of(held).map(|endpoint| endpoint.0).chain(unlisted);
        match self.settings.classes[held.message.class].effect {
            Effect::Repeatable => false,
            Effect::Once => true,
            Effect::Keyed { .. } => !endpoints.any(|endpoint| self.known_attempts_allow(held, endpoint)),
        }
    }

    /// Answers messages that can no longer be delivered.
    fn answer_undeliverable(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let mut undeliverable = Vec::new();
        for (id, held) in &self.held {
            if now >= self.answer_by(held) {
                // A client whose message a drain cuts short can go to another sender at once.
                undeliverable.push((*id, self.drain_deadline.map_or(0, |_| self.settings.period)));
            } else if held.outstanding == 0 {
                // Held until the trial, unless the deadline comes first. A drain with a deadline keeps no
                // message that can't be sent and answered before it: no endpoint, a requested wait, too
                // little time.
                let (latest, max_wait_until) = match self.drain_deadline {
                    Some(_) => (self.send_by(held), Micros::MAX),
                    None => (self.answer_by(held), 0),
                };
                let due = |r: &Route| r.breaker.trial_due().max(r.wait_until.min(max_wait_until));
                let earliest = self.ready_routes_of(held).map(due).min().unwrap_or(max_wait_until);
                // A message that was never sent is not handed back early because of a breaker.
                let may_refuse_early = self.drain_deadline.is_some() || held.attempts > 0;
                let too_late = earliest.max(max_wait_until.min(now)) > latest
                    && (may_refuse_early || self.early_refusal_cost(held) == 0.0);
                if self.is_stuck(held) || held.attempts >= self.settings.try_limit || too_late {
                    let min_retry_after = max_wait_until.min(self.settings.period);
                    undeliverable.push((*id, earliest.saturating_sub(now).max(min_retry_after)));
                }
            }
        }
        for (id, retry_after) in undeliverable {
            self.answer(id, retry_after, actions);
        }
    }

    /// Fraction of its worth that a tenant's message keeps when it may be beyond the tenant's share, as far
    /// as one sender can tell.
    fn share_factor(&self, tenant: usize) -> f64 {
        let (Some(rate), Some(tenant)) = (self.tenant_rates.get(tenant), self.settings.tenants.get(tenant))
        else {
            return 1.0;
        };
        let senders = self.settings.senders as f64;
        let all_rates: f64 = self.tenant_rates.iter().map(|rate| rate.0 * senders).sum();
        let all_quotas: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota).sum();
        // A sender that is busier than others gets more from every tenant: only the proportions between the
        // tenants show which of them is beyond its share.
        let total = rate.0 * senders / (all_rates / all_quotas.max(1e-9)).max(1.0);
        let within = if total > tenant.quota { tenant.quota / total } else { 1.0 };
        within + (1.0 - within) * self.settings.over_share_worth
    }

    /// Worth of a message that is delivered at that time.
    fn worth_at(&self, held: &Held, at: Micros) -> f64 {
        let class = &self.settings.classes[held.message.class];
        let late = at.saturating_sub(held.aim) as f64;
        let span = held.deadline.saturating_sub(held.aim).max(1) as f64;
        let factor = match self.settings.decay {
            _ if at >= held.deadline => 0.0,
            Decay::Exponential => 0.5f64.powf(late / class.aim.max(1) as f64).max(class.late_worth),
            Decay::Linear => 1.0 - (1.0 - class.late_worth) * late / span,
        };
        class.worth * factor * self.share_factor(held.message.tenant)
    }

    /// Protects the buffer from filling with messages that a few destinations cannot take, when messages for
    /// the others would be refused on arrival. Refuses the messages of least worth at the time at which they
    /// can expect to be sent.
    fn shed_load(&mut self, actions: &mut Vec<Action>) {
        let reserve = (self.settings.max_open / 16).max(1);
        let excess = (self.held.len() + reserve).saturating_sub(self.settings.max_open);
        if excess == 0 {
            return;
        }
        let now = self.now;
        let backlogs = self.backlogs();
        let mut candidates = Vec::new();
        for (id, held) in self.held.iter().filter(|(_, h)| h.outstanding == 0 && h.may_have_run.is_empty()) {
            let backlog = backlogs.get(&held.message.destination).copied().unwrap_or(0.0);
            // An outage is assumed to last as long again as it has, and a backlog to go at the recent rate.
            let waits = self.ready_routes_of(held).map(|route| {
                let rules = &self.settings.rules;
                let outage = if route.looks_down(rules, now) { now - route.answered_at.min(now) } else { 0 };
                let rate = route.served_rate.0.max(route.healthy_rate(rules)).max(0.1);
                outage + (backlog / rate * 1e6) as Micros
            });
            let wait = waits.min().unwrap_or(Micros::MAX / 4);
            let worth = self.worth_at(held, now.saturating_add(wait)) + self.early_refusal_cost(held);
            candidates.push(((worth * 1e6) as u64, held.aim, *id, wait));
        }
        candidates.sort_unstable();
        for (_, _, id, wait) in candidates.into_iter().take(excess) {
            self.answer(id, wait, actions);
        }
    }

    /// Cost of handing a message back now, in addition to its worth. It is 0 once that is no longer early,
    /// for a message of this very batch, which is not accepted yet, and where there is a reason: a requested
    /// wait lasts beyond the early time, or no attempt is left.
    fn early_refusal_cost(&self, held: &Held) -> f64 {
        let time_left = held.message.time_left;
        let early_until = held.deadline - (time_left as f64 * EARLY_FRACTION) as Micros;
        let wait_until = self.ready_routes_of(held).map(|route| route.wait_until).min();
        let long_wait = wait_until.is_some_and(|at| at > early_until);
        let new = held.deadline == self.now + time_left;
        let no_attempts_left = held.attempts >= self.settings.try_limit;
        if new || long_wait || self.now >= early_until || no_attempts_left {
            return 0.0;
        }
        let worth = self.settings.classes[held.message.class].worth * self.share_factor(held.message.tenant);
        EARLY_FRACTION * worth
    }

    /// Number of waiting messages for each destination.
    fn backlogs(&self) -> BTreeMap<DestinationId, f64> {
        let mut backlogs = BTreeMap::new();
        for held in self.held.values().filter(|held| held.outstanding == 0) {
            *backlogs.entry(held.message.destination).or_default() += 1.0;
        }
        backlogs
    }

    /// Routes of the ready endpoints of the message's destination.
    fn ready_routes_of<'a>(&'a self, held: &'a Held) -> impl Iterator<Item = &'a Route> + 'a {
        self.endpoints_of(held)
            .filter(|(_, e)| e.ready)
            .filter_map(|(id, _)| self.routes.get(&self.route_of(id)?))
    }

    /// Endpoints of the message's destination, in any state.
    fn endpoints_of<'a>(&'a self, held: &Held) -> impl Iterator<Item = (EndpointId, &'a Endpoint)> + 'a {
        let ids = self.endpoints_by_destination.get(&held.message.destination).into_iter().flatten();
        ids.filter_map(|id| Some((*id, self.endpoints.get(id)?)))
    }

    /// The only path on which messages are sent.
    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let goes_last = |held: &Held| now > held.aim || self.share_factor(held.message.tenant) < 0.5;
        let waiting = self.held.iter().filter(|(_, held)| held.outstanding == 0);
        let mut queue: Vec<_> = waiting.map(|(id, held)| (goes_last(held), held.aim, *id)).collect();
        queue.sort_unstable();
        // Calls begun in this batch, which later messages to the same endpoint join.
        let mut begun: BTreeMap<EndpointId, (u64, usize)> = BTreeMap::new();
        let backlogs = self.backlogs();
        for (_, _, id) in queue {
            let held = &self.held[&id];
            let backlog = backlogs[&held.message.destination];
            let mut choices: Vec<_> = self
                .endpoints_of(held)
                .filter(|(_, e)| e.ready)
                .map(|(id, e)| {
                    let joins = begun.get(&id).is_some_and(|(_, messages)| *messages < e.kind.max_batch);
                    let toll = self.settings.tolls.get(e.zone as usize).copied().unwrap_or(0.0);
                    let toll = if e.kind.route_per_endpoint { (toll * 1e6) as u64 } else { 0 };
                    (!joins, e.consecutive_failures, toll, e.outstanding, id)
                })
                .collect();
            for (_, _, _, outstanding, _) in &mut choices {
                *outstanding = *outstanding * 256 + self.rng.usize(0..256);
            }
            choices.sort_unstable();
            // The message goes to the first endpoint that admits it.
            for (_, _, _, _, endpoint) in choices {
                if self.admit(id, endpoint, backlog, &mut begun, actions) {
                    break;
                }
            }
        }
    }

    /// Checks all conditions of a send, each in this one place; sends if all are met.
    fn admit(
        &mut self,
        id: MessageId,
        endpoint_id: EndpointId,
        backlog: f64,
        begun: &mut BTreeMap<EndpointId, (u64, usize)>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let now = self.now;
        let (Some(held), Some(endpoint)) = (self.held.get(&id), self.endpoints.get(&endpoint_id)) else {
            return false;
        };
        let class = &self.settings.classes[held.message.class];
        // No message is lost or sent after its end; drains are observed; no message has two attempts at once.
        let answer_by = self.answer_by(held);
        let not_sendable =
            now >= answer_by || held.attempts >= self.settings.try_limit || held.outstanding > 0;
        let not_usable = !endpoint.ready || endpoint.destination != held.message.destination;
        // No effect takes place twice.
        if not_sendable || not_usable || !self.repeat_allowed(held, endpoint_id) {
            return false;
        }
        // Messages of an ordered key go in order.
        let key = held.message.key.filter(|_| class.in_order);
        if let Some(queue) = key.and_then(|key| self.ordered_queues.get(&key)) {
            let (pause_until, unless) = queue.pause;
            let paused = now < pause_until && unless != Some(id);
            let other_outstanding = queue.outstanding.iter().any(|(message, _)| *message != id);
            if queue.waiting.front() != Some(&id) || paused || other_outstanding {
                return false;
            }
        }
        let route_id = (endpoint.destination, endpoint.kind.route_per_endpoint.then_some(endpoint_id));
        let Some(route) = self.routes.get_mut(&route_id) else { return false };
        // When this process ends, no attempt may be outstanding that the next process must not repeat, unless
        // the message may have run already.
        let binds = |end: &Micros| match class.effect {
            Effect::Repeatable => false,
            Effect::Once => true,
            Effect::Keyed { window, .. } => {
                held.may_have_run.is_empty() && end + RESTART_TIME >= now + window
            }
        };
        let end = self.process_ends_at.filter(binds).unwrap_or(Micros::MAX);
        let drain_end = self.drain_deadline.map_or(Micros::MAX, |_| answer_by);
        if now.saturating_add(route.silence_timeout(class.aim)) > end.min(drain_end) {
            return false;
        }
        let joined =
            begun.get(&endpoint_id).copied().filter(|(_, messages)| *messages < endpoint.kind.max_batch);
        route.refill_credit(now);
        // Requested waits and this sender's own pauses are observed; a destination that has refused gets one
        // call at a time until it accepts one.
        let paused = now < route.wait_until || (route.refusals > 0 && route.outstanding > 0);
        if paused || (joined.is_none() && route.credit < 1.0) {
            return false;
        }
        // The ramp after an outage.
        if !route.ramp_allows(&self.settings, now, joined.is_some(), backlog, self.rng.f64()) {
            return false;
        }
        // There is a free slot, also within the destination's share of them. No message joins a trial.
        let slots = self.settings.slots;
        let share = if route.is_failing() { slots / 2 } else { slots * 3 / 4 };
        let no_slot = self.calls.len() >= slots || route.outstanding >= share.max(1);
        if joined.map_or(no_slot, |_| route.breaker.state != State::Closed) {
            return false;
        }
        // A trial has enough time to be answered: one that its message's deadline cuts short proves nothing,
        // and would keep the breaker open.
        let earlier = held.may_have_run.len();
        let wait = route.call_timeout(&self.settings.rules, class.effect, earlier, class.aim, now);
        let timeout = wait.min(answer_by - now).min(end - now).max(1);
        if route.breaker.state != State::Closed && timeout < route.silence_timeout(class.aim) {
            return false;
        }
        // It is this sender's turn among all senders at an advertised limit.
        let shared = self.settings.peers && self.settings.senders > 1 && route_id.1.is_none();
        if joined.is_none() && shared && route.limit() > 0.0 && route.breaker.state == State::Closed {
            let planned_at = match route.planned_at.filter(|at| now < at + LIMIT_AHEAD) {
                Some(at) => at,
                None => {
                    if self.rng.usize(0..calls_per_note(self.settings.senders)) == 0 {
                        self.pending_notes.insert((Topic::PlannedCall, route_id.0));
                    }
                    route.plan_call(now, self.settings.senders)
                }
            };
            route.planned_at = Some(planned_at);
            if now < planned_at {
                return false;
            }
        }
        // The breaker decides last, because it counts the calls that it allows.
        if joined.is_none() && !route.breaker.allows(now) {
            return false;
        }
        let call = joined.map_or(self.next_call, |(call, _)| call);
        route.recent_sends.push_back((now, message_load(joined.is_some())));
        if joined.is_none() {
            self.next_call += 1;
            route.outstanding += 1;
            route.credit -= 1.0;
            route.planned_at = None;
            if route.breaker.state == State::HalfOpen {
                route.breaker.trial_call = Some(call);
            }
        }
        begun.insert(endpoint_id, (call, joined.map_or(1, |(_, messages)| messages + 1)));
        let new = Call {
            route: route_id,
            endpoint: endpoint_id,
            sent: now,
            unresolved_messages: 0,
            outcome_recorded: false,
        };
        self.calls.entry(call).or_insert(new).unresolved_messages += 1;
        if joined.is_none()
            && let Some(endpoint) = self.endpoints.get_mut(&endpoint_id)
        {
            endpoint.outstanding += 1;
            endpoint.send_interval = now - endpoint.sent_at;
            endpoint.sent_at = now;
        }
        if let Some(held) = self.held.get_mut(&id) {
            let attempt = held.attempts as u16;
            held.attempts += 1;
            held.outstanding += 1;
            held.may_have_run.push((attempt, now, endpoint_id));
            if let Some(queue) = key.and_then(|key| self.ordered_queues.get_mut(&key)) {
                queue.outstanding.insert((id, attempt));
            }
            self.attempts_out.insert((id, attempt), (call, key));
            actions.push(Action::Attempt { message: id, endpoint: endpoint_id, timeout });
        }
        true
    }

    /// Protects an endpoint's connection table from idle connections: closes those that would not be used
    /// again before they close by themselves. A failed connect halves the time for which they are kept. This
    /// costs additional handshakes.
    fn close_idle(&mut self, events: &[Event], actions: &mut Vec<Action>) {
        let max_idle = self.settings.idle_close;
        let few = FEW_SENDERS as Micros;
        let senders = self.settings.senders.max(1) as Micros;
        for event in events {
            let Event::Ended { endpoint: id, outcome, .. } = event else { continue };
            if *outcome == Outcome::ConnectFailed {
                let min_idle = max_idle / (senders * senders) * few * few;
                self.keep_idle_for = (self.keep_idle_for / 2).max(min_idle).min(max_idle);
            } else if *outcome == Outcome::Delivered {
                let longer = self.keep_idle_for.saturating_add(self.keep_idle_for / 32 + 1);
                self.keep_idle_for = longer.min(max_idle);
            }
            if self
                .endpoints
                .get(id)
                .is_some_and(|e| e.outstanding == 0 && e.send_interval > self.keep_idle_for)
            {
                actions.push(Action::CloseIdle(*id));
            }
        }
    }

    /// Sets a timer for the next time at which a decision can become due without an event.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        self.ordered_queues
            .retain(|_, q| !q.waiting.is_empty() || !q.outstanding.is_empty() || q.pause.0 > now);
        let messages = self.held.values().map(|held| match self.drain_deadline {
            Some(_) if held.outstanding == 0 => self.send_by(held) + 1,
            _ => self.answer_by(held),
        });
        let aim = self.settings.shortest_aim();
        let silent = self.calls.values().filter(|call| !call.outcome_recorded);
        let silent = silent.filter_map(|c| Some(c.sent + self.routes.get(&c.route)?.silence_timeout(aim)));
        let backlogs = self.backlogs();
        let routes = backlogs.keys().flat_map(|d| self.routes.range(routes_to(*d))).flat_map(|(_, r)| {
            let credit = r.credit_updated_at + ((1.0 - r.credit).max(0.0) / r.pace * 1e6).ceil() as Micros;
            let ramp = r.recent_sends.front().map_or(0, |send| send.0 + self.settings.rules.overload_for);
            let wait = (r.calls_until_turn / r.ramp_rate.max(1e-6) * 1e6) as Micros + self.settings.period;
            let turn = if r.calls_until_turn > 0.0 { r.turn_updated_at + wait } else { 0 };
            [r.wait_until, r.breaker.trial_due(), ramp, credit, turn, r.planned_at.unwrap_or(0)]
        });
        let pauses = self.ordered_queues.values().map(|queue| queue.pause.0);
        let all = messages.chain(silent).chain(routes).chain(pauses).chain(self.list_request_at);
        let Some(next) = all.filter(|at| *at > now).min() else { return };
        if self.timer_at.is_none_or(|at| at <= now || next < at) {
            self.timer_at = Some(next);
            actions.push(Action::SetTimer { at: next, token: 0 });
        }
    }
}
