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
const RESET_TIMEOUT: Micros = 5_000_000;
/// Calls without an answer for far longer than usual, and no answer to any other since, that open a breaker.
const MAX_SILENT: u32 = 2;
/// Consecutive failures after which the next success counts as the return from an outage.
const OUTAGE_RUN: u32 = 2;
/// Fraction of its part of a cold destination's capacity that this sender uses.
const RAMP_MARGIN: f64 = 0.9;
/// All senders together may make this many calls per overload window at any cold destination, however little
/// it can take; a tier of up to this many senders keeps idle connections for the full time.
const FEW_SENDERS: usize = 3;
/// Factor applied to the pace at a refusal.
const PACE_CUT: f64 = 0.85;
/// Relative growth of the pace per aim, one aim after the last cut.
const PACE_GROWTH: f64 = 0.3;
/// An advertised limit this many times as high as at the last refusal has risen.
const TOLD_RISE: f64 = 1.5;
/// Fraction of an advertised limit that all senders together plan to use: reports are off by some percent,
/// and refused calls count against the limit as well.
const LIMIT_MARGIN: f64 = 0.95;
/// How far ahead of the advertised limit the planned calls may run.
const LIMIT_AHEAD: Micros = 500_000;
/// A tier of up to this many senders is notified of every planned call; in a larger one, a note stands for
/// proportionally more calls.
const NOTE_SENDERS: usize = 32;
/// A reported limit that differs from the known one by more than this factor, up or down, has changed.
const LIMIT_CHANGE: f64 = 1.5;
/// Handing back an accepted message that never ran costs this fraction of its worth while more than this
/// fraction of its time is left.
const EARLY: f64 = 0.3;
/// Load that each further message adds to a call at a cold destination, as a fraction of one call.
const BUNDLE_WEIGHT: f64 = 0.25;
/// Time from the end of a process until the next one repeats outstanding attempts, including the connection.
const RESTART: Micros = 2_000_000;

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
    reset: Micros,
    trial: Option<u64>,
}

impl Breaker {
    fn due(&self) -> Micros {
        if self.state == State::Open { self.last_failed + self.reset } else { 0 }
    }

    /// Whether a call may be sent now. An open breaker whose reset time is over becomes half-open.
    fn allows(&mut self, now: Micros) -> bool {
        if self.state == State::Open && now >= self.due() {
            self.state = State::HalfOpen;
        }
        self.state == State::Closed || (self.state == State::HalfOpen && self.trial.is_none())
    }

    /// The first trial comes after half an aim, and after twice the time following each failed trial, because
    /// the five seconds of [`RESET_TIMEOUT`] are longer than most aims.
    fn open(&mut self, now: Micros, aim: Micros) {
        let again = self.state == State::HalfOpen;
        self.reset = if again { self.reset * 2 } else { aim / 2 }.min(RESET_TIMEOUT);
        self.state = State::Open;
        self.last_failed = now;
        (self.failures, self.timeouts) = (0, 0);
    }

    fn record(&mut self, call: u64, outcome: Outcome, now: Micros, aim: Micros) {
        let trial = self.trial.take_if(|t| *t == call).is_some();
        match outcome {
            // A late answer to a call sent before the breaker opened proves as much as a trial's.
            Outcome::Delivered => {
                (self.failures, self.timeouts) = (0, 0);
                self.state = State::Closed;
                self.trial = None;
                return;
            }
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => self.failures += 1,
            Outcome::TimedOut => self.timeouts += 1,
            Outcome::Full(_) | Outcome::Cancelled | Outcome::Moot { .. } => return,
        }
        self.last_failed = now;
        if trial || self.failures >= MAX_FAILURES || self.timeouts >= MAX_TIMEOUTS {
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
    fulls: u32,
    /// When the last one was counted.
    full_at: Micros,
    bad_run: u32,
    /// This sender's part of a cold destination's capacity, if one was given; otherwise all parts are equal.
    part: Option<f64>,
    /// When the destination first answered after an outage.
    cold_since: Option<Micros>,
    /// When the outage was first seen: the time of sending of its first failed call.
    bad_since: Micros,
    /// Calls per second that the ramp after an outage allows.
    ramp: f64,
    /// Calls until this sender's next turn in the ramp.
    turn: f64,
    /// When `turn` was last updated.
    turn_at: Micros,
    out: usize,
    /// Time and load of the recent sends, for the ramp.
    sent: VecDeque<(Micros, f64)>,
    /// Calls served here while the route was healthy and the seconds that this took, both decaying; and when
    /// they were last updated.
    served: (f64, f64, Micros),
    /// Advertised limit in calls per second from all senders, by a load report or the list; 0 if there is
    /// none.
    told: f64,
    /// The limit in the last load report, whatever the list has said since.
    reported: f64,
    /// Until when the limit is used up by the planned calls of this sender and those announced by the others.
    booked: Micros,
    /// When this sender's planned call may be sent.
    slot: Option<Micros>,
    /// Pace in calls per second; infinite until the first refusal.
    pace: f64,
    /// Calls that the pace allows now.
    credit: f64,
    /// When `credit` was last updated.
    credit_at: Micros,
    /// Recent rate of served calls per second, and when it was last updated.
    granted: (f64, Micros),
    /// When the pace was last cut. It is cut once for all refusals of calls sent before a cut.
    cut_at: Micros,
    /// The advertised limit at that cut; infinite while there was none, so that no limit counts as risen.
    told_at_cut: f64,
    /// When the pace last grew.
    grown_at: Micros,
    /// Mean answer time and its mean deviation.
    usual: Option<(f64, f64)>,
    /// When the last answer came.
    answered_at: Micros,
    /// A call was lost and nothing has been delivered since.
    late: bool,
    delivered_at: Micros,
}

/// An exponentially decaying rate of events per second, with the time constant `span`, after a further event.
fn faded(rate: (f64, Micros), now: Micros, span: Micros, event: f64) -> (f64, Micros) {
    let span = span.max(1) as f64;
    let fade = (-(now.saturating_sub(rate.1) as f64) / span).exp();
    (rate.0 * fade + event * 1e6 / span, now)
}

/// Load that a message adds to a cold destination, depending on whether it joins a call or starts one.
fn weight(joins: bool) -> f64 {
    if joins { BUNDLE_WEIGHT } else { 1.0 }
}

/// Range of all ids that routes of a destination can have.
fn routes_to(destination: DestinationId) -> RangeInclusive<RouteId> {
    (destination, None)..=(destination, Some(EndpointId([u8::MAX; 6])))
}

/// Number of planned calls that one note stands for, since each receiver of a note has a price.
fn turns_a_note(senders: usize) -> usize {
    (senders / NOTE_SENDERS).max(1)
}

impl Route {
    fn new(now: Micros) -> Self {
        Self {
            pace: f64::INFINITY,
            told_at_cut: f64::INFINITY,
            credit: 1.0,
            credit_at: now,
            served: (0.0, 0.0, now),
            granted: (0.0, now),
            answered_at: now,
            delivered_at: now,
            ..Self::default()
        }
    }

    /// Drops the advertised limits: they were given in another form and do not apply to the current one.
    pub fn clear_advertised_limit(&mut self) {
        (self.told, self.reported) = (0.0, 0.0);
    }

    /// Whether nothing in it is binding and nothing was learned but decaying estimates (see
    /// `docs/findings/working-set.md`).
    fn as_new(&self, rules: &Rules, now: Micros) -> bool {
        let quiet = !self.failing() && self.fulls + self.breaker.failures + self.breaker.timeouts == 0;
        let free = self.wait_until.max(self.booked) <= now && self.slot.is_none_or(|at| at <= now);
        let unlearned = self.pace.is_infinite() && self.reported == 0.0;
        let over = self.sent.back().is_none_or(|s| s.0 + rules.overload_for <= now);
        quiet && free && unlearned && over && self.cold_share(rules, now).is_none()
    }

    fn failing(&self) -> bool {
        self.bad_run > 0 || self.late || self.breaker.state != State::Closed
    }

    /// Whether the failures since the last success look like an outage. A destination that has shut down
    /// refuses as full, without any success, for longer than the window of a limit; it returns as cold as any
    /// other.
    fn down(&self, rules: &Rules, now: Micros) -> bool {
        self.bad_run >= self.outage_run(rules, now)
            || self.breaker.state != State::Closed
            || (self.fulls >= MAX_FAILURES && now >= self.bad_since + rules.overload_for)
    }

    /// Number of consecutive failures that look like an outage. At a destination that is still cold, one is
    /// enough: a half-failing destination has successes in between, and the warm-up counts from the end of
    /// the outage.
    fn outage_run(&self, rules: &Rules, now: Micros) -> u32 {
        let cold = self.cold_since.is_some_and(|since| now < since + rules.warm_within);
        if cold { 1 } else { OUTAGE_RUN }
    }

    /// A sender that sends little never sees several failures in a row: one failure, or two refusals, with
    /// nothing delivered for an overload window hold it back until the next success. A single refusal is most
    /// often caused by a limit, and the next call, sent alone after a pause, shows whether it was: a
    /// destination that has shut down refuses that one as well.
    fn suspect(&self, rules: &Rules, now: Micros) -> bool {
        self.bad_run + self.fulls / 2 > 0 && now >= self.delivered_at + rules.overload_for
    }

    /// Protects a returning destination from overload: the share of its capacity to count on, if it may be
    /// cold. It may have returned unnoticed while this sender still counts failures.
    fn cold_share(&self, rules: &Rules, now: Micros) -> Option<f64> {
        if self.down(rules, now) || self.suspect(rules, now) {
            return Some(rules.cold_share);
        }
        let warm = now.saturating_sub(self.cold_since?) as f64 / rules.warm_within.max(1) as f64;
        (warm < 1.0).then_some(rules.cold_share + (1.0 - rules.cold_share) * warm)
    }

    /// Calls per second that were served here while the route was healthy.
    fn usual_rate(&self, rules: &Rules) -> f64 {
        self.served.0 / (self.served.1 + rules.overload_for as f64 / 1e6)
    }

    /// Whether the ramp after an outage allows a further message, with `held` messages waiting for the
    /// destination. Protects against many senders that send little each: all held messages came since the
    /// outage began, so one message stands for a rate of one over the time since. A rate below one call per
    /// overload window is sent at random times. This delays messages where few senders have anything to send.
    fn ramp_allows(&mut self, settings: &Settings, now: Micros, joins: bool, held: f64, luck: f64) -> bool {
        let rules = &settings.rules;
        while self.sent.front().is_some_and(|s| s.0 + rules.overload_for <= now) {
            self.sent.pop_front();
        }
        let since = std::mem::replace(&mut self.turn_at, now);
        let Some(share) = self.cold_share(rules, now) else {
            (self.turn, self.part) = (0.0, None);
            return true;
        };
        let part = held * 1e6 / (now.saturating_sub(self.bad_since)).max(1) as f64;
        let own = match self.part.filter(|_| self.told > 0.0) {
            Some(part) => self.told * part,
            None => self.usual_rate(rules).max(self.told / settings.senders as f64).max(part),
        };
        let seconds = rules.overload_for as f64 / 1e6;
        let least = FEW_SENDERS as f64 / (settings.senders as f64 * seconds);
        self.ramp = (rules.fall_multiple * share * own * RAMP_MARGIN).max(least);
        let spent: f64 = self.sent.iter().map(|s| s.1).sum();
        if self.ramp * seconds > 0.999 {
            return spent == 0.0 || spent + weight(joins) <= self.ramp * seconds;
        }
        if self.turn <= 0.0 {
            self.turn = 2.0 * luck;
        } else {
            self.turn -= self.ramp * (now - since) as f64 / 1e6;
        }
        self.turn <= 0.0
    }

    /// Time without an answer after which a call here counts as silent.
    fn patience(&self, aim: Micros) -> Micros {
        self.usual.map_or(aim / 2, |(mean, dev)| ((mean + 5.0 * dev) as Micros).clamp(aim / 16, aim))
    }

    /// Detects a destination that accepts calls and answers none, whatever the cause, long before time-outs
    /// would: the call was sent since the last answer and has waited for too long. A slow destination
    /// answers.
    fn silent(&self, sent: Micros, aim: Micros, now: Micros) -> bool {
        sent >= self.answered_at && sent + self.patience(aim) <= now
    }

    /// How long to wait for an answer that the connection or the endpoint may have lost; the call holds a
    /// slot until then. Where a repeat is harmless this is well below the aim, and grows with each attempt,
    /// so that a slow answer gets through. After an outage answers take longer, and the aim applies.
    fn time_out(&self, rules: &Rules, effect: Effect, tried: usize, aim: Micros, now: Micros) -> Micros {
        let unsure = self.usual.is_none() || self.failing() || self.cold_share(rules, now).is_some();
        if effect == Effect::Once || unsure {
            return aim;
        }
        (self.patience(aim) / 2 * (3 << tried.min(4))).min(aim)
    }

    fn note_took(&mut self, took: Micros) {
        let took = took as f64;
        let (mean, dev) = self.usual.unwrap_or((took, took / 2.0));
        self.usual = Some((mean + (took - mean) / 8.0, dev + ((took - mean).abs() - dev) / 8.0));
    }

    /// Learns the pace of a destination that refuses: the rate it served recently, or this sender's part of
    /// the advertised limit, and less with each refusal. Other senders, which this one cannot see, use the
    /// same limit.
    fn slow_down(&mut self, settings: &Settings, now: Micros, aim: Micros) {
        self.refill(now);
        self.credit = self.credit.min(0.0);
        if now < self.cut_at + aim / 8 {
            return;
        }
        self.cut_at = now;
        self.told_at_cut = self.told;
        let granted = faded(self.granted, now, aim, 0.0).0.max(self.told / settings.senders as f64);
        self.pace = (self.pace.min(granted) * PACE_CUT).max(2e6 / aim.max(1) as f64);
    }

    /// Calls per second that all senders together may make, as far as it is known; 0 if it is not.
    fn limit(&self) -> f64 {
        if self.reported > 0.0 { self.reported } else { self.told }
    }

    /// Plans another call at a destination with an advertised limit; returns when it may be sent.
    fn book(&mut self, now: Micros, senders: usize) -> Micros {
        let gap = 1e6 / (self.limit() * LIMIT_MARGIN);
        let at = now.max(self.booked.saturating_sub(LIMIT_AHEAD));
        // No sender has more than one call planned, so whatever the notes say, this sender's turn comes
        // within one round of all senders.
        let round = (gap * senders as f64) as Micros;
        self.booked = (self.booked.max(now) + gap as Micros).min(now + LIMIT_AHEAD + round);
        at
    }

    fn refill(&mut self, now: Micros) {
        let gained = self.pace * (now - self.credit_at) as f64 / 1e6;
        let most = 1.0 + self.pace / 4.0;
        self.credit = if self.pace.is_finite() { (self.credit + gained).min(most) } else { 1.0 };
        self.credit_at = now;
    }

    fn record(&mut self, settings: &Settings, call: u64, sent: Micros, outcome: Outcome, now: Micros) {
        let aim = settings.shortest_aim();
        if self.bad_run + self.fulls == 0 {
            self.bad_since = sent;
        }
        match outcome {
            Outcome::Delivered => {
                // A breaker that was opened by silence for less than an overload window was no outage.
                let brief = self.bad_run < self.outage_run(&settings.rules, now)
                    && now < self.delivered_at + settings.rules.overload_for;
                if self.down(&settings.rules, now) && !brief {
                    self.cold_since = Some(now);
                } else if self.cold_share(&settings.rules, now).is_none() {
                    let span = settings.rules.warm_within.max(1) as f64 / 1e6;
                    let fade = (-((now - self.served.2) as f64) / 1e6 / span).exp();
                    self.served.0 = self.served.0 * fade + 1.0;
                    self.served.1 = self.served.1 * fade + span * (1.0 - fade);
                }
                self.served.2 = now;
                self.delivered_at = now;
                self.late = false;
                self.granted = faded(self.granted, now, aim, 1.0);
                let step = now.saturating_sub(self.grown_at.max(self.cut_at)) as f64 / aim.max(1) as f64;
                // Beyond this sender's part of an advertised limit there is little to gain.
                let known = self.told > 0.0 && self.pace > self.told / settings.senders as f64;
                // The pace grows faster the longer there has been no refusal.
                let calm = now.saturating_sub(self.cut_at) as f64 / aim.max(1) as f64;
                let calm = calm.min(if known { 0.5 } else { 4.0 });
                self.pace *= 1.0 + PACE_GROWTH * calm * step.min(1.0);
                self.grown_at = now;
                (self.bad_run, self.fulls) = (0, 0);
            }
            // Refusals of calls that were outstanding together count once.
            Outcome::Full(wait) if sent > self.full_at => {
                self.full_at = now;
                self.slow_down(settings, now, aim);
                let pause = now + ((aim / 32) << self.fulls.min(4));
                self.wait_until = self.wait_until.max(if wait.is_none() { pause } else { 0 });
                self.fulls += 1;
            }
            // Answers have come since the call was sent, so that the call was lost and not the destination: a
            // lossy path, or a single call that hangs, must not be taken for an outage.
            Outcome::TimedOut if sent < self.answered_at => {
                self.breaker.record(call, Outcome::Cancelled, now, aim);
                self.late = true;
                // The answer would have taken at least this long: without these samples, time-outs would keep
                // the mean answer time from growing.
                self.note_took(now - sent);
                return;
            }
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset | Outcome::TimedOut => self.bad_run += 1,
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
    out: usize,
    bad_run: u32,
    /// When the last call was sent.
    sent_at: Micros,
    /// Time between the last call and the one before it.
    gap: Micros,
}

/// A message that this sender has accepted and not yet given a final answer to.
#[derive(Serialize, Deserialize)]
struct Held {
    message: Message,
    deadline: Micros,
    aim: Micros,
    attempts: u32,
    out: u32,
    /// Attempts that may have run or are outstanding: number, time of sending, endpoint.
    may_have_run: Vec<(u16, Micros, EndpointId)>,
}

/// A call in progress. It holds a slot until all its messages have their outcomes.
#[derive(Serialize, Deserialize)]
struct Call {
    route: RouteId,
    endpoint: EndpointId,
    sent: Micros,
    /// Messages without an outcome.
    messages: usize,
    /// Its outcome has been recorded.
    judged: bool,
}

/// Messages of one ordered key, in the order in which they were accepted.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Line {
    waiting: VecDeque<MessageId>,
    out: BTreeSet<(MessageId, u16)>,
    /// The key is paused until then for all messages but this one, an attempt of which ended unclearly.
    rest: (Micros, Option<MessageId>),
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
    cells: BTreeMap<DestinationId, BTreeSet<EndpointId>>,
    routes: BTreeMap<RouteId, Route>,
    held: BTreeMap<MessageId, Held>,
    /// Call and ordered key of each attempt without an outcome. An attempt may outlive its message.
    flights: BTreeMap<(MessageId, u16), (u64, Option<u64>)>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    lines: BTreeMap<u64, Line>,
    /// When to request the list of endpoints (again).
    ask_at: Option<Micros>,
    /// Consecutive failed requests for the list.
    #[serde(default)]
    asks_failed: u32,
    /// When the pending timer goes off.
    reminder: Option<Micros>,
    /// Connections that are used less often than once in this time are closed after use.
    keep: Micros,
    /// Notes to the other senders, sent at the end of the batch.
    #[serde(skip)]
    news: BTreeSet<(Topic, DestinationId)>,
    /// When this process will end, once that is known.
    stop_at: Option<Micros>,
    /// While out of service: when all held messages must have ended, if a time was given.
    #[serde(default)]
    drain_by: Option<Micros>,
    /// Recent rate of messages per second from each tenant at this sender, and when it was last updated.
    tenants: Vec<(f64, Micros)>,
}

impl Policy {
    /// Creates the module of a sender that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let turn = rng.u64(0..=settings.list_request_round());
        Self {
            ask_at: settings.list_on_request.then_some(now + turn),
            tenants: vec![(0.0, now); settings.tenants.len()],
            keep: settings.idle_close,
            settings,
            rng,
            now,
            ..Self::default()
        }
    }

    /// Continues with the state of an earlier process of this sender; when this process will end is not
    /// known.
    pub fn after_handover(self, seed: u64) -> Self {
        let ask_at = self.settings.list_on_request.then_some(self.now);
        Self { rng: fastrand::Rng::with_seed(seed), stop_at: None, drain_by: None, ask_at, ..self }
    }

    /// Attempts without an outcome, and the endpoint of each.
    pub fn outstanding_attempts(&self) -> impl Iterator<Item = (MessageId, u16, EndpointId)> + '_ {
        self.flights.iter().filter_map(|((message, attempt), (call, _))| {
            Some((*message, *attempt, self.calls.get(call)?.endpoint))
        })
    }

    /// Applies all events of the batch, then decides once.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        for event in events {
            match event {
                Event::Accepted(message) => self.hold(message),
                Event::Resumed { message, attempts, may_have_run } => {
                    self.resume(message, *attempts, may_have_run);
                }
                Event::Stopping(at) => self.stop_at = Some(*at),
                Event::RetryAfter { endpoint, wait } => {
                    if let Some(route) = self.route_of(*endpoint).and_then(|id| self.routes.get_mut(&id)) {
                        route.wait_until = route.wait_until.max(now + wait);
                    }
                }
                Event::Ended { message, attempt, endpoint, outcome, terminal, report, .. } => {
                    self.note_report(*endpoint, report);
                    self.ended(*message, *attempt, *outcome, *terminal);
                }
                Event::Withdrawn(message) => self.forget(*message),
                Event::List(entries) => {
                    self.endpoints.values_mut().for_each(|e| e.ready = false);
                    self.list(entries);
                }
                Event::Changes(entries) => self.list(entries),
                Event::ListFailed if self.settings.list_on_request => {
                    // Asks again well within the interval after which this sender would be deemed informed.
                    let every = self.settings.rules.ask_every.unwrap_or(RESET_TIMEOUT);
                    let pause =
                        (self.settings.list_request_round() << self.asks_failed.min(6)).min(every / 2);
                    self.asks_failed += 1;
                    self.ask_at = Some(now + pause + self.rng.u64(0..=pause));
                }
                Event::Probed { endpoint, report, .. } => self.note_report(*endpoint, report),
                Event::Settings(settings) => self.adopt(settings),
                // Held messages continue, and messages that still come on open connections are accepted:
                // another sender would only get them later. They end by the drain's deadline, if it has one.
                Event::Service { wanted, until } => self.drain_by = until.filter(|_| !wanted),
                Event::Note { content, .. } => self.note(content),
                Event::ReturnedCold { destination, ago, part } => self.cold(*destination, *ago, *part),
                Event::Streaming { .. } | Event::ListFailed | Event::Timer(_) => {}
            }
        }
        if self.ask_at.take_if(|at| *at <= now).is_some() {
            actions.push(Action::Watch);
        }
        let aim = self.settings.shortest_aim();
        let mut silent = BTreeMap::new();
        for call in self.calls.values().filter(|call| !call.judged) {
            let Some(route) = self.routes.get_mut(&call.route) else { continue };
            let count: &mut u32 = silent.entry(call.route).or_default();
            *count += u32::from(route.silent(call.sent, aim, now));
            if route.breaker.state == State::Closed && *count >= MAX_SILENT {
                route.breaker.open(now, aim);
            }
        }
        self.settle(actions);
        self.shed(actions);
        self.dispatch(actions);
        self.close_idle(events, actions);
        self.remind(actions);
        let news = std::mem::take(&mut self.news);
        for (topic, destination) in news.into_iter().filter(|_| self.settings.peers) {
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
        let (rules, aim, now) = (&self.settings.rules, self.settings.shortest_aim(), self.now);
        let routes = self.routes.range(routes_to(to)).map(|(_, r)| {
            let rates = [r.limit(), r.pace, r.usual_rate(rules)];
            RouteSummary::new(rates, r.wait_until.max(r.breaker.due()), r.cold_share(rules, now), r.usual)
        });
        let backlog = self.held.values().filter(|held| held.message.destination == to).count();
        let rate = self.tenants.get(tenant).map_or(0.0, |r| faded(*r, now, aim, 0.0).0);
        DestinationSummary {
            backlog,
            tenant_rate: rate,
            routes: routes.collect(),
            ..DestinationSummary::default()
        }
    }

    /// Number of listed endpoints that a breaker keeps messages from.
    pub fn unhealthy_endpoints(&self) -> usize {
        let shut = |id: &RouteId| self.routes.get(id).is_some_and(|r| r.breaker.state != State::Closed);
        let routes = self.endpoints.iter().filter(|(_, e)| e.ready).filter_map(|(id, _)| self.route_of(*id));
        routes.filter(shut).count()
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
    /// [`Self::load_destination`] to restore; none while a message for it is held or a call to it is outstanding.
    pub fn evict(&mut self, destination: DestinationId, now: Micros) -> Option<Vec<(RouteId, Route)>> {
        let held = self.held.values().any(|held| held.message.destination == destination);
        if held || self.calls.values().any(|call| call.route.0 == destination) {
            return None;
        }
        self.cells.remove(&destination).iter().flatten().for_each(|id| _ = self.endpoints.remove(id));
        let rules = &self.settings.rules;
        let mut routes: Vec<_> = self.routes.extract_if(routes_to(destination), |_, _| true).collect();
        routes.iter_mut().for_each(|(_, route)| route.sent.retain(|s| s.0 + rules.overload_for > now));
        Some(routes.into_iter().filter(|(_, route)| !route.as_new(rules, now)).collect())
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
    fn adopt(&mut self, settings: &Settings) {
        // The rates follow the tenants' names, since their positions may have changed.
        let places = settings.tenants_after(&self.settings);
        let rates = std::mem::replace(&mut self.tenants, vec![(0.0, self.now); settings.tenants.len()]);
        for (rate, place) in rates.into_iter().zip(&places) {
            if let Some(now) = self.tenants.get_mut(*place) {
                *now = rate;
            }
        }
        for held in self.held.values_mut() {
            held.message.tenant = places.get(held.message.tenant).copied().unwrap_or(usize::MAX);
        }
        if settings.idle_close != self.settings.idle_close {
            self.keep = settings.idle_close;
        }
        if (settings.weights, settings.report) != (self.settings.weights, self.settings.report) {
            self.routes.values_mut().for_each(Route::clear_advertised_limit);
        }
        self.settings = settings.clone();
    }

    /// Takes up a message that an earlier process had accepted; its attempts that may have run still count.
    fn resume(&mut self, message: &Message, attempts: u32, may_have_run: &[(Micros, EndpointId)]) {
        self.hold(message);
        let Some(held) = self.held.get_mut(&message.id) else { return };
        held.attempts = attempts;
        held.message.time_left += 1; // It was accepted before this batch.
        // No attempt of this process has this number, so that none of their outcomes removes one of these.
        let earlier = may_have_run.iter().map(|a| (u16::MAX, self.now.saturating_sub(a.0), a.1));
        held.may_have_run.extend(earlier);
    }

    fn hold(&mut self, message: &Message) {
        let Some(class) = self.settings.classes.get(message.class) else { return };
        let deadline = self.now + message.time_left;
        if let Some(rate) = self.tenants.get_mut(message.tenant) {
            *rate = faded(*rate, self.now, class.aim, 1.0);
        }
        if let (true, Some(key)) = (class.in_order, message.key) {
            self.lines.entry(key).or_default().waiting.push_back(message.id);
        }
        let held = Held {
            message: message.clone(),
            deadline,
            aim: (deadline + class.aim).saturating_sub(class.deadline),
            attempts: 0,
            out: 0,
            may_have_run: Vec::new(),
        };
        self.held.insert(message.id, held);
    }

    fn list(&mut self, entries: &[Entry]) {
        self.asks_failed = 0;
        for entry in entries {
            let kind = self.settings.kinds.get(entry.kind).copied().unwrap_or_default();
            let before = self.route_of(entry.endpoint).and_then(|id| self.routes.get(&id));
            let wait_until = before.map_or(0, |route| route.wait_until);
            let endpoint = self.endpoints.entry(entry.endpoint).or_insert_with(|| Endpoint {
                destination: entry.destination,
                gap: Micros::MAX,
                ..Endpoint::default()
            });
            (endpoint.zone, endpoint.kind) = (entry.zone, kind);
            endpoint.ready = entry.listing == Listing::Ready;
            self.cells.entry(endpoint.destination).or_default().insert(entry.endpoint);
            let id = (entry.destination, kind.route_per_endpoint.then_some(entry.endpoint));
            let route = self.routes.entry(id).or_insert_with(|| Route::new(self.now));
            // The kind may have changed between one route and a route per endpoint: a requested wait binds
            // either way.
            route.wait_until = route.wait_until.max(wait_until);
            route.told = match self.settings.weights {
                Weights::None => route.told,
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

    fn note_report(&mut self, endpoint: EndpointId, report: &[f32]) {
        let limit = self.settings.report.1.and_then(|at| report.get(at)).copied().unwrap_or(0.0);
        let Some(id) = self.route_of(endpoint).filter(|_| limit > 0.0) else { return };
        let Some(route) = self.routes.get_mut(&id) else { return };
        route.told = f64::from(limit);
        let (known, limit) = (std::mem::replace(&mut route.reported, route.told), route.told);
        let changed = limit > known * LIMIT_CHANGE || limit * LIMIT_CHANGE < known;
        self.news.extend((changed && known > 0.0).then_some((Topic::Limit, id.0)));
        // A pace learned below a limit does not hold once the limit has risen by more than reports are off.
        if route.told > route.told_at_cut * TOLD_RISE {
            route.refill(self.now);
            route.pace = route.pace.max(route.told / self.settings.senders as f64 * PACE_CUT);
            route.told_at_cut = f64::INFINITY;
        }
    }

    /// Applies a note from another sender. A wrong note costs a wait of at most one round of all senders.
    fn note(&mut self, content: &[u8]) {
        let Some(Note { topic, destination, limit }) = Note::decode(content) else { return };
        let (now, senders) = (self.now, self.settings.senders);
        let route = self.routes.get_mut(&(destination, None));
        let Some(route) = route.filter(|r| r.limit() > 0.0) else { return };
        match topic {
            Topic::Turn => (0..turns_a_note(senders)).for_each(|_| _ = route.book(now, senders)),
            // The limit is used up, including the calls that may run ahead of it.
            Topic::Full => route.booked = route.booked.max(now + LIMIT_AHEAD),
            Topic::Limit => route.reported = if limit > 0.0 { limit } else { route.reported },
        }
    }

    /// Marks a destination as cold since it returned, unless it is known to have returned later.
    fn cold(&mut self, destination: DestinationId, ago: Micros, part: f64) {
        let since = Some(self.now.saturating_sub(ago));
        for (_, route) in self.routes.range_mut(routes_to(destination)) {
            (route.cold_since, route.part) = (route.cold_since.max(since), Some(part));
        }
    }

    fn ended(&mut self, id: MessageId, attempt: u16, outcome: Outcome, terminal: bool) {
        let Some(flight) = self.flights.remove(&(id, attempt)) else { return };
        let now = self.now;
        if let Some(call) = self.calls.get_mut(&flight.0) {
            // The messages of a call share one outcome, which counts once. A message that was not sent says
            // nothing about the call, unless none of its messages was.
            call.messages -= 1;
            let done = call.messages == 0;
            let first = !call.judged && (done || !matches!(outcome, Outcome::Moot { .. }));
            call.judged |= first;
            if let Some(route) = self.routes.get_mut(&call.route) {
                route.out -= usize::from(done);
                // Each message of a call may come with a requested wait of its own.
                if let Outcome::Full(Some(wait)) = outcome {
                    route.wait_until = route.wait_until.max(now + wait);
                }
                if let (true, Outcome::Full(_), true) = (first, outcome, self.settings.peers) {
                    let news = route.booked < now + LIMIT_AHEAD / 2 && call.route.1.is_none();
                    self.news.extend(news.then_some((Topic::Full, call.route.0)));
                    route.booked = route.booked.max(now + LIMIT_AHEAD);
                }
                if first {
                    if matches!(outcome, Outcome::Delivered | Outcome::Error) {
                        route.note_took(now - call.sent);
                        route.answered_at = now;
                    }
                    route.record(&self.settings, flight.0, call.sent, outcome, now);
                }
            }
            if let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) {
                endpoint.out -= usize::from(done);
                match outcome {
                    Outcome::Delivered => endpoint.bad_run = 0,
                    Outcome::Full(_) | Outcome::Cancelled | Outcome::Moot { .. } => {}
                    _ => endpoint.bad_run += u32::from(first),
                }
            }
            if done {
                self.calls.remove(&flight.0);
            }
        }
        if let Some(line) = flight.1.and_then(|key| self.lines.get_mut(&key)) {
            line.out.remove(&(id, attempt));
            if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
                line.rest = (now + self.settings.rules.order_pause, Some(id));
            }
        }
        if let Some(held) = self.held.get_mut(&id) {
            held.out -= 1;
            held.may_have_run.retain(|a| a.0 != attempt || !outcome.never_ran());
        }
        if terminal {
            self.forget(id);
        }
    }

    /// Drops a message that has ended; its outstanding attempts keep their slots until their outcomes come.
    fn forget(&mut self, id: MessageId) {
        let Some(held) = self.held.remove(&id) else { return };
        if let Some(line) = held.message.key.and_then(|key| self.lines.get_mut(&key)) {
            line.waiting.retain(|m| *m != id);
        }
    }

    /// When a held message must be answered at the latest: two periods before its deadline, or the drain's.
    fn last_call(&self, held: &Held) -> Micros {
        let until = self.drain_by.unwrap_or(Micros::MAX).min(held.deadline);
        until.saturating_sub(2 * self.settings.period)
    }

    /// In a drain with a deadline: the last time at which a call for the message could still be answered.
    fn last_start(&self, held: &Held) -> Micros {
        let aim = self.settings.classes[held.message.class].aim;
        let patience = self.usable(held).map(|route| route.patience(aim)).min().unwrap_or(0);
        self.last_call(held).saturating_sub(patience)
    }

    /// Enforces the rule on effects: whether a further attempt at this endpoint is harmless.
    fn repeat_allowed(&self, held: &Held, endpoint: EndpointId) -> bool {
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
        self.forget(id);
    }

    /// Answers messages that can no longer be delivered.
    fn settle(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let mut over = Vec::new();
        for (id, held) in &self.held {
            if now >= self.last_call(held) {
                // A client whose message a drain cuts short can go to another sender at once.
                over.push((*id, self.drain_by.map_or(0, |_| self.settings.period)));
            } else if held.out == 0 {
                let stuck = match self.settings.classes[held.message.class].effect {
                    Effect::Once => !held.may_have_run.is_empty(),
                    Effect::Keyed { .. } if !held.may_have_run.is_empty() => {
                        // An endpoint that is not known yet after a restart may still be listed.
                        let unlisted = held.may_have_run.iter().map(|a| a.2);
                        let unlisted = unlisted.filter(|e| !self.endpoints.contains_key(e));
                        !self.cell(held).map(|e| e.0).chain(unlisted).any(|e| self.repeat_allowed(held, e))
                    }
                    _ => false,
                };
                // Held until the trial, unless the deadline comes first. A drain with a deadline keeps no
                // message that can't be sent and answered before it: no endpoint, a requested wait, too
                // little time.
                let (last, until) = match self.drain_by {
                    Some(_) => (self.last_start(held), Micros::MAX),
                    None => (self.last_call(held), 0),
                };
                let due = |r: &Route| r.breaker.due().max(r.wait_until.min(until));
                let trial = self.usable(held).map(due).min().unwrap_or(until);
                // A message that was never sent is not handed back early because of a breaker.
                let called = self.drain_by.is_some() || held.attempts > 0;
                let late = trial.max(until.min(now)) > last && (called || self.early_price(held) == 0.0);
                if stuck || held.attempts >= self.settings.try_limit || late {
                    let least = until.min(self.settings.period);
                    over.push((*id, trial.saturating_sub(now).max(least)));
                }
            }
        }
        over.into_iter().for_each(|(id, retry_after)| self.answer(id, retry_after, actions));
    }

    /// Fraction of its worth that a tenant's message keeps when it may be beyond the tenant's share, as far
    /// as one sender can tell.
    fn within_share(&self, tenant: usize) -> f64 {
        let (Some(rate), Some(t)) = (self.tenants.get(tenant), self.settings.tenants.get(tenant)) else {
            return 1.0;
        };
        let senders = self.settings.senders as f64;
        let sent: f64 = self.tenants.iter().map(|rate| rate.0 * senders).sum();
        let quota: f64 = self.settings.tenants.iter().map(|t| t.quota).sum();
        // A sender that is busier than others gets more from every tenant: only the proportions between the
        // tenants show which of them is beyond its share.
        let total = rate.0 * senders / (sent / quota.max(1e-9)).max(1.0);
        let within = if total > t.quota { t.quota / total } else { 1.0 };
        within + (1.0 - within) * self.settings.over_share_worth
    }

    /// Worth of a message that is delivered at that time.
    fn worth_at(&self, held: &Held, at: Micros) -> f64 {
        let class = &self.settings.classes[held.message.class];
        let late = at.saturating_sub(held.aim) as f64;
        let span = (held.deadline - held.aim).max(1) as f64;
        let left = match self.settings.decay {
            _ if at >= held.deadline => 0.0,
            Decay::Exponential => 0.5f64.powf(late / class.aim.max(1) as f64).max(class.late_worth),
            Decay::Linear => 1.0 - (1.0 - class.late_worth) * late / span,
        };
        class.worth * left * self.within_share(held.message.tenant)
    }

    /// Protects the buffer from filling with messages that a few destinations cannot take, when messages for
    /// the others would be refused on arrival. Refuses the messages of least worth at the time at which they
    /// can expect to be sent.
    fn shed(&mut self, actions: &mut Vec<Action>) {
        let room = (self.settings.max_open / 16).max(1);
        let excess = (self.held.len() + room).saturating_sub(self.settings.max_open);
        if excess == 0 {
            return;
        }
        let now = self.now;
        let queued = self.backlog();
        let mut least = Vec::new();
        for (id, held) in self.held.iter().filter(|(_, h)| h.out == 0 && h.may_have_run.is_empty()) {
            let backlog = queued.get(&held.message.destination).copied().unwrap_or(0.0);
            // An outage is assumed to last as long again as it has, and a backlog to go at the recent rate.
            let wait = self.usable(held).map(|r| {
                let down = if r.down(&self.settings.rules, now) { now - r.answered_at.min(now) } else { 0 };
                down + (backlog / r.granted.0.max(r.usual_rate(&self.settings.rules)).max(0.1) * 1e6)
                    as Micros
            });
            let wait = wait.min().unwrap_or(Micros::MAX / 4);
            let worth = self.worth_at(held, now.saturating_add(wait)) + self.early_price(held);
            least.push(((worth * 1e6) as u64, held.aim, *id, wait));
        }
        least.sort_unstable();
        least.into_iter().take(excess).for_each(|(_, _, id, wait)| self.answer(id, wait, actions));
    }

    /// Cost of handing a message back now, in addition to its worth. It is 0 for a message of this very
    /// batch, which is not accepted yet, and where there is a reason: a requested wait lasts beyond the time
    /// in which handing back counts as early, or no attempt is left.
    fn early_price(&self, held: &Held) -> f64 {
        let time = held.message.time_left;
        let until = held.deadline - (time as f64 * EARLY) as Micros;
        let told = self.usable(held).map(|route| route.wait_until).min().is_some_and(|at| at > until);
        let fresh = held.deadline == self.now + time;
        let reason = fresh || told || self.now >= until || held.attempts >= self.settings.try_limit;
        let worth = self.settings.classes[held.message.class].worth * self.within_share(held.message.tenant);
        if reason { 0.0 } else { EARLY * worth }
    }

    /// Number of waiting messages for each destination.
    fn backlog(&self) -> BTreeMap<DestinationId, f64> {
        let mut backlog = BTreeMap::new();
        for held in self.held.values().filter(|held| held.out == 0) {
            *backlog.entry(held.message.destination).or_default() += 1.0;
        }
        backlog
    }

    /// Routes of the ready endpoints of the message's destination.
    fn usable<'a>(&'a self, held: &'a Held) -> impl Iterator<Item = &'a Route> + 'a {
        self.cell(held).filter(|(_, e)| e.ready).filter_map(|(id, _)| self.routes.get(&self.route_of(id)?))
    }

    /// Endpoints of the message's destination, in any state.
    fn cell<'a>(&'a self, held: &Held) -> impl Iterator<Item = (EndpointId, &'a Endpoint)> + 'a {
        let ids = self.cells.get(&held.message.destination).into_iter().flatten();
        ids.filter_map(|id| Some((*id, self.endpoints.get(id)?)))
    }

    /// The only path of every send.
    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let yields = |held: &Held| now > held.aim || self.within_share(held.message.tenant) < 0.5;
        let waiting = self.held.iter().filter(|(_, held)| held.out == 0);
        let mut queue: Vec<_> = waiting.map(|(id, held)| (yields(held), held.aim, *id)).collect();
        queue.sort_unstable();
        // Calls begun in this batch, which later messages to the same endpoint join.
        let mut begun: BTreeMap<EndpointId, (u64, usize)> = BTreeMap::new();
        let backlog = self.backlog();
        for (_, _, id) in queue {
            let held = &self.held[&id];
            let waiting = backlog[&held.message.destination];
            let mut choices: Vec<_> = self
                .cell(held)
                .filter(|(_, e)| e.ready)
                .map(|(id, e)| {
                    let joins = begun.get(&id).is_some_and(|b| b.1 < e.kind.max_batch);
                    let toll = self.settings.tolls.get(e.zone as usize).copied().unwrap_or(0.0);
                    let toll = if e.kind.route_per_endpoint { (toll * 1e6) as u64 } else { 0 };
                    (!joins, e.bad_run, toll, e.out, id)
                })
                .collect();
            choices.iter_mut().for_each(|choice| choice.3 = choice.3 * 256 + self.rng.usize(0..256));
            choices.sort_unstable();
            // The message goes to the first endpoint that admits it.
            choices.into_iter().any(|choice| self.admit(id, choice.4, waiting, &mut begun, actions));
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
        let last_call = self.last_call(held);
        let over = now >= last_call || held.attempts >= self.settings.try_limit || held.out > 0;
        let elsewhere = !endpoint.ready || endpoint.destination != held.message.destination;
        // No effect takes place twice.
        if over || elsewhere || !self.repeat_allowed(held, endpoint_id) {
            return false;
        }
        // Messages of an ordered key go in order.
        let key = held.message.key.filter(|_| class.in_order);
        if let Some(line) = key.and_then(|key| self.lines.get(&key)) {
            let resting = now < line.rest.0 && line.rest.1 != Some(id);
            if line.waiting.front() != Some(&id) || resting || line.out.iter().any(|o| o.0 != id) {
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
            Effect::Keyed { window, .. } => held.may_have_run.is_empty() && end + RESTART >= now + window,
        };
        let until = self.stop_at.filter(binds).unwrap_or(Micros::MAX);
        let drained = self.drain_by.map_or(Micros::MAX, |_| last_call);
        if now.saturating_add(route.patience(class.aim)) > until.min(drained) {
            return false;
        }
        let joined = begun.get(&endpoint_id).copied().filter(|b| b.1 < endpoint.kind.max_batch);
        route.refill(now);
        // Requested waits and this sender's own pauses are observed; a destination that has refused gets one
        // call at a time until it accepts one.
        let waits = now < route.wait_until || (route.fulls > 0 && route.out > 0);
        if waits || (joined.is_none() && route.credit < 1.0) {
            return false;
        }
        // The ramp after an outage.
        if !route.ramp_allows(&self.settings, now, joined.is_some(), backlog, self.rng.f64()) {
            return false;
        }
        // There is a free slot, also within the destination's share of them. No message joins a trial.
        let slots = self.settings.slots;
        let share = if route.failing() { slots / 2 } else { slots * 3 / 4 }.max(1);
        let no_slot = self.calls.len() >= slots || route.out >= share;
        if joined.map_or(no_slot, |_| route.breaker.state != State::Closed) {
            return false;
        }
        // A trial has enough time to be answered: one that its message's deadline cuts short proves nothing,
        // and would keep the breaker open.
        let tried = held.may_have_run.len();
        let wait = route.time_out(&self.settings.rules, class.effect, tried, class.aim, now);
        let timeout = wait.min(last_call - now).min(until - now).max(1);
        if route.breaker.state != State::Closed && timeout < route.patience(class.aim) {
            return false;
        }
        // It is this sender's turn among all senders at an advertised limit.
        let shared = self.settings.peers && self.settings.senders > 1 && route_id.1.is_none();
        if joined.is_none() && shared && route.limit() > 0.0 && route.breaker.state == State::Closed {
            let slot = route.slot.filter(|at| now < at + LIMIT_AHEAD);
            let at = slot.unwrap_or_else(|| {
                let told = self.rng.usize(0..turns_a_note(self.settings.senders)) == 0;
                self.news.extend(told.then_some((Topic::Turn, route_id.0)));
                route.book(now, self.settings.senders)
            });
            route.slot = Some(at);
            if now < at {
                return false;
            }
        }
        // The breaker decides last, because it counts the calls that it allows.
        if joined.is_none() && !route.breaker.allows(now) {
            return false;
        }
        let call = joined.map_or(self.next_call, |b| b.0);
        route.sent.push_back((now, weight(joined.is_some())));
        if joined.is_none() {
            self.next_call += 1;
            route.out += 1;
            route.credit -= 1.0;
            route.slot = None;
            if route.breaker.state == State::HalfOpen {
                route.breaker.trial = Some(call);
            }
        }
        begun.insert(endpoint_id, (call, joined.map_or(1, |b| b.1 + 1)));
        let new = Call { route: route_id, endpoint: endpoint_id, sent: now, messages: 0, judged: false };
        self.calls.entry(call).or_insert(new).messages += 1;
        if let (true, Some(e)) = (joined.is_none(), self.endpoints.get_mut(&endpoint_id)) {
            e.out += 1;
            (e.gap, e.sent_at) = (now - e.sent_at, now);
        }
        if let Some(held) = self.held.get_mut(&id) {
            let attempt = held.attempts as u16;
            held.attempts += 1;
            held.out += 1;
            held.may_have_run.push((attempt, now, endpoint_id));
            if let Some(line) = key.and_then(|key| self.lines.get_mut(&key)) {
                line.out.insert((id, attempt));
            }
            self.flights.insert((id, attempt), (call, key));
            actions.push(Action::Attempt { message: id, endpoint: endpoint_id, timeout });
        }
        true
    }

    /// Protects an endpoint's connection table from idle connections: closes those that would not be used
    /// again before they close by themselves. A failed connect halves the time for which they are kept. This
    /// costs additional handshakes.
    fn close_idle(&mut self, events: &[Event], actions: &mut Vec<Action>) {
        let (longest, few) = (self.settings.idle_close, FEW_SENDERS as Micros);
        let senders = self.settings.senders.max(1) as Micros;
        for event in events {
            let Event::Ended { endpoint: id, outcome, .. } = event else { continue };
            if *outcome == Outcome::ConnectFailed {
                self.keep = (self.keep / 2).max(longest / (senders * senders) * few * few).min(longest);
            } else if *outcome == Outcome::Delivered {
                self.keep = self.keep.saturating_add(self.keep / 32 + 1).min(longest);
            }
            if self.endpoints.get(id).is_some_and(|e| e.out == 0 && e.gap > self.keep) {
                actions.push(Action::CloseIdle(*id));
            }
        }
    }

    /// Sets a timer for the next time at which a decision can become due without an event.
    fn remind(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        self.lines.retain(|_, l| !l.waiting.is_empty() || !l.out.is_empty() || l.rest.0 > now);
        let messages = self.held.values().map(|held| match self.drain_by {
            Some(_) if held.out == 0 => self.last_start(held) + 1,
            _ => self.last_call(held),
        });
        let aim = self.settings.shortest_aim();
        let silent = self.calls.values().filter(|call| !call.judged);
        let silent = silent.filter_map(|c| Some(c.sent + self.routes.get(&c.route)?.patience(aim)));
        let wanted = self.backlog();
        let routes = wanted.keys().flat_map(|d| self.routes.range(routes_to(*d))).flat_map(|(_, r)| {
            let credit = r.credit_at + ((1.0 - r.credit).max(0.0) / r.pace * 1e6).ceil() as Micros;
            let ramp = r.sent.front().map_or(0, |s| s.0 + self.settings.rules.overload_for);
            let wait = (r.turn / r.ramp.max(1e-6) * 1e6) as Micros + self.settings.period;
            let turn = if r.turn > 0.0 { r.turn_at + wait } else { 0 };
            [r.wait_until, r.breaker.due(), ramp, credit, turn, r.slot.unwrap_or(0)]
        });
        let rests = self.lines.values().map(|line| line.rest.0);
        let all = messages.chain(silent).chain(routes).chain(rests).chain(self.ask_at);
        let Some(next) = all.filter(|at| *at > now).min() else { return };
        if self.reminder.is_none_or(|at| at <= now || next < at) {
            self.reminder = Some(next);
            actions.push(Action::SetTimer { at: next, token: 0 });
        }
    }
}
