//! One read, from its plan to its end: each log that may contain matching rows is routed and requested, and
//! each answer is checked against the requirement of the read. An insufficient answer does not count: the log
//! is routed again, a bounded number of times. Rows and the watermark that proves them are always handled
//! together.
//!
//! A read keeps the plan with which it began. It ends within [`ANSWER_WITHIN`] in any case.

use std::collections::BTreeMap;

use serde::Serialize;

use super::route::{HolderReply, Need, Progress, Reason, Route, RouteContext, route};
use super::token::Token;
use super::{Fallback, Level, Plan};
use crate::interface::Micros;
use crate::status::{LogId, Rank, Watermark};

/// Maximum duration of a read, microseconds. Its answer is due within 1 s.
pub const ANSWER_WITHIN: Micros = 800_000;
/// A sender that has not answered after this time is routed around, microseconds.
pub const ASK_WITHIN: Micros = 150_000;
/// Delay before a log that cannot be read yet is tried again, microseconds.
pub const PAUSE: Micros = 40_000;
/// Maximum number of requests for one log.
pub const MAX_ASKS: usize = 24;
/// Maximum number of logs that one read touches.
pub const MAX_LOGS: usize = 4_096;

/// A request that a read has to send.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ask {
    /// Its number within the read, which the answer repeats.
    pub number: u32,
    /// The sender to ask; may be this one.
    pub to: Rank,
    /// The logs to read, with the requirement for each.
    pub logs: Vec<(LogId, Need)>,
    /// How long its answer is waited for.
    pub by: Micros,
}

/// A step in the routing of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
pub struct Hop {
    /// The route.
    #[serde(flatten)]
    pub route: Route,
    /// The reason for it.
    pub reason: Reason,
}

/// The result of reading one log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It was read, and the answer meets the requirement.
    Kept,
    /// It contains no matching row.
    NotTouched,
    /// No sender can meet the requirement in time; one may later.
    Late,
    /// The requirement can never be met: the owner started another generation, and no sender holds the needed
    /// changes.
    Lost,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LogState<R> {
    need: Need,
    /// The replies since the last pause.
    replies: BTreeMap<Rank, HolderReply>,
    /// The sender that was asked, until when its answer is waited for, and the number of the request.
    asked: Option<(Rank, Micros, u32)>,
    /// Number of the last request before the owner replied that the generation has ended.
    asks_before_over: Option<u32>,
    /// When it is tried again.
    retry_at: Option<Micros>,
    retried: bool,
    asks: usize,
    hops: Vec<Hop>,
    /// The most advanced answer, with its rows.
    best: Option<(Rank, Watermark, R)>,
    /// The greatest number that any answer may have shown: rows of several logs may have come together.
    shown: u64,
    verdict: Option<Verdict>,
}

/// A read in progress. `R` is the content of an answer for one log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Read<R> {
    level: Level,
    otherwise: Fallback,
    token: Token,
    wait_until: Micros,
    end: Micros,
    /// Number of requests so far.
    asks: u32,
    /// Positions shown of logs that were not requested.
    shown_elsewhere: Token,
    states: BTreeMap<LogId, LogState<R>>,
}

/// The outcome of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All of it meets the plan.
    Kept,
    /// It is less than the plan requires; the answer says what is missing.
    Less,
    /// Nothing is shown; the answer says why.
    Refused,
}

/// One log of a read that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Part<R> {
    /// The log.
    pub log: LogId,
    /// The requirement.
    pub need: Need,
    /// The result.
    pub verdict: Verdict,
    /// The routing steps.
    pub hops: Vec<Hop>,
    /// The sender that answered, its watermark, and the content of the answer; none for a refused read.
    pub answer: Option<(Rank, Watermark, R)>,
}

/// A read that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ended<R> {
    /// The outcome.
    pub outcome: Outcome,
    /// The level.
    pub level: Level,
    /// The logs of the read.
    pub parts: Vec<Part<R>>,
    /// The token for the next read of this session. It is empty at levels other than `session`.
    pub token: Token,
    /// The same token without the lost logs, for a client that continues without them; none if no log is lost
    /// or the token overflowed.
    pub without_lost: Option<Token>,
}

/// More logs than [`MAX_LOGS`] may contain matching rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error(
    "{0} logs may contain matching rows, more than the maximum of {MAX_LOGS}: \
     query by ids or a shorter time range"
)]
pub struct TooManyLogs(pub usize);

impl<R: Clone> Read<R> {
    /// Begins a read at a plan's level over the logs that may contain matching rows, and all logs that the
    /// token names. It ends after `within` microseconds, or after [`ANSWER_WITHIN`] if that is less.
    ///
    /// # Errors
    /// There are too many logs.
    pub fn begin(
        plan: &Plan,
        token: Token,
        logs: impl IntoIterator<Item = LogId>,
        now: Micros,
        within: Micros,
    ) -> Result<Self, TooManyLogs> {
        let token = if plan.level == Level::Session { token } else { Token::default() };
        let need = |log: LogId| match plan.level {
            Level::Any => Need::Any,
            Level::Bounded => Need::Since(now.saturating_sub(Micros::from(plan.staleness_ms) * 1000)),
            Level::Session => match token.upto(log) {
                Some(upto) => Need::Upto(upto),
                None if token.overflowed() => Need::All,
                None => Need::Any,
            },
        };
        let state = |log: LogId| LogState {
            need: need(log),
            replies: BTreeMap::new(),
            asked: None,
            asks_before_over: None,
            retry_at: None,
            retried: false,
            asks: 0,
            hops: Vec::new(),
            best: None,
            shown: 0,
            verdict: None,
        };
        let named = token.logs().map(|(log, _)| log);
        let states: BTreeMap<LogId, LogState<R>> =
            logs.into_iter().chain(named).map(|log| (log, state(log))).collect();
        if states.len() > MAX_LOGS {
            return Err(TooManyLogs(states.len()));
        }
        let end = now.saturating_add(within.min(ANSWER_WITHIN));
        let until = now.saturating_add(Micros::from(plan.wait_ms) * 1000).min(end);
        Ok(Self {
            level: plan.level,
            otherwise: plan.otherwise,
            token,
            wait_until: until,
            end,
            asks: 0,
            shown_elsewhere: Token::default(),
            states,
        })
    }

    /// When [`Read::step`] has to be called next without an answer; none if the read has ended.
    pub fn due(&self) -> Option<Micros> {
        let open = self.states.values().filter(|state| state.verdict.is_none());
        open.map(|state| state.asked.map(|asked| asked.1).or(state.retry_at).unwrap_or(0).min(self.end)).min()
    }

    /// Whether all logs have a result.
    pub fn is_over(&self) -> bool {
        self.states.values().all(|state| state.verdict.is_some())
    }

    /// Advances the read: senders that did not answer in time are routed around. Returns the requests to
    /// send, one per sender.
    pub fn step(&mut self, now: Micros, context: &RouteContext<'_>) -> Vec<Ask> {
        let mut asks: BTreeMap<Rank, Ask> = BTreeMap::new();
        let number = &mut self.asks;
        for (log, state) in self.states.iter_mut().filter(|state| state.1.verdict.is_none()) {
            if let Some((rank, ..)) = state.asked.take_if(|asked| asked.1 <= now) {
                state.replies.insert(rank, HolderReply::Silent);
            }
            if now >= self.end {
                state.finish(Verdict::Late, Hop { route: Route::Late, reason: Reason::TimeUp });
                continue;
            }
            if state.asked.is_some() || state.retry_at.is_some_and(|retry_at| now < retry_at) {
                continue;
            }
            if state.retry_at.take().is_some() {
                state.retried = true;
                // Replies that cannot change any more are retained: another generation of the owner, and the
                // owner's watermark of its log.
                state.replies.retain(|rank, reply| {
                    *rank == log.owner && matches!(reply, HolderReply::Over | HolderReply::Has(_))
                });
            }
            let progress = Progress {
                need: state.need,
                replies: &state.replies,
                again: state.retried,
                until: self.wait_until,
            };
            let (route, reason) = route(*log, progress, context, now);
            let hop = Hop { route, reason };
            match route {
                Route::NotTouched => state.finish(Verdict::NotTouched, hop),
                Route::Lost => state.finish(Verdict::Lost, hop),
                Route::Late => state.finish(Verdict::Late, hop),
                Route::Wait(until) => {
                    state.add_hop(hop);
                    state.retry_at = Some(now.saturating_add(PAUSE).min(until));
                }
                Route::Here | Route::At(_) | Route::Owner(_) | Route::Adopter(_) => {
                    let Some(to) = route.asks(context.own) else { continue };
                    if state.asks == MAX_ASKS {
                        state.finish(Verdict::Late, Hop { route: Route::Late, reason: Reason::Often });
                        continue;
                    }
                    let by = now.saturating_add(ASK_WITHIN).min(self.end);
                    let ask = asks.entry(to).or_insert_with(|| {
                        *number += 1;
                        Ask { number: *number, to, logs: Vec::new(), by }
                    });
                    state.asks += 1;
                    state.asked = Some((to, by, ask.number));
                    state.add_hop(hop);
                    ask.logs.push((*log, state.need));
                }
            }
        }
        asks.into_values().collect()
    }

    /// Handles a sender's reply to a request for one of its logs, however late: the reply and its rows.
    /// `shown` is the greatest number of a change that may be in the rows, or may be the reason that a row is
    /// missing; it may be beyond the stated watermark, and is 0 if no entry of the tenant was examined.
    pub fn answered(
        &mut self,
        (from, number): (Rank, u32),
        log: LogId,
        stated: HolderReply,
        (shown, rows): (u64, R),
    ) {
        let asks = self.asks;
        let Some(state) = self.states.get_mut(&log) else { return };
        // Counts even if the answer is not used: its rows may be shown for another log that came with it.
        state.shown = state.shown.max(shown);
        if state.verdict.is_some() {
            return;
        }
        state.asked.take_if(|asked| asked.2 == number);
        if stated == HolderReply::Over && from == log.owner && state.asks_before_over.is_none() {
            // Other senders may have received more of the log since they answered, but receive nothing more
            // from now on: they are asked again, so that only what is really lost is reported as lost.
            state.replies.clear();
            state.asks_before_over = Some(asks);
        }
        let reached = match stated {
            HolderReply::Has(reached) => Some(reached).filter(|reached| state.need.met(log, from, *reached)),
            _ => None,
        };
        // An insufficient reply from before the owner's may be sufficient by now.
        let old = from != log.owner && state.asks_before_over.is_some_and(|over| number <= over);
        if reached.is_none() && old {
            return;
        }
        state.replies.insert(from, stated);
        let HolderReply::Has(told) = stated else { return };
        if reached.is_some() || state.best.as_ref().is_none_or(|best| best.1.upto < told.upto) {
            state.best = Some((from, told, rows));
        }
        if reached.is_some() {
            state.verdict = Some(Verdict::Kept);
        }
    }

    /// Rows of another log, up to this number, came with those of the requested logs.
    pub fn record_shown(&mut self, log: LogId, shown: u64) {
        if self.level == Level::Session {
            self.shown_elsewhere.observe(log, shown);
        }
    }

    /// The read has used up its allowance: logs without a result count as late.
    pub fn cut(&mut self) {
        for state in self.states.values_mut().filter(|state| state.verdict.is_none()) {
            state.finish(Verdict::Late, Hop { route: Route::Late, reason: Reason::Cut });
        }
    }

    /// The result of the read, once it is over.
    pub fn ended(self) -> Ended<R> {
        let kept = |state: &LogState<R>| matches!(state.verdict, Some(Verdict::Kept | Verdict::NotTouched));
        let outcome = match self.otherwise {
            _ if self.states.values().all(kept) => Outcome::Kept,
            // This level promises no more than the nearest data.
            _ if self.level == Level::Any => Outcome::Less,
            Fallback::TellStale => Outcome::Less,
            Fallback::Refuse => Outcome::Refused,
        };
        let lost = self.states.iter().filter(|state| state.1.verdict == Some(Verdict::Lost));
        let lost: Vec<LogId> = lost.map(|state| *state.0).collect();
        let mut token = self.token;
        let mut parts = Vec::with_capacity(self.states.len());
        for (log, state) in self.states {
            let answer = state.best.filter(|_| outcome != Outcome::Refused);
            if outcome != Outcome::Refused && state.shown > 0 && self.level == Level::Session {
                // Everything that was shown counts, even beyond the request and beyond the position up to
                // which the sender is complete; also what was filtered out, since its absence was shown.
                let upto = answer.as_ref().map_or(0, |(_, reached, _)| reached.upto);
                token.observe(log, state.shown.max(upto));
            }
            let verdict = state.verdict.unwrap_or(Verdict::Late);
            parts.push(Part { log, need: state.need, verdict, hops: state.hops, answer });
        }
        if outcome != Outcome::Refused {
            token.merge(&self.shown_elsewhere);
        }
        let without_lost = if lost.is_empty() { None } else { token.without(&lost) };
        Ended { outcome, level: self.level, parts, token, without_lost }
    }
}

impl<R> LogState<R> {
    fn finish(&mut self, verdict: Verdict, hop: Hop) {
        self.verdict = Some(verdict);
        self.add_hop(hop);
    }

    /// Keeps the first steps and the last one.
    fn add_hop(&mut self, hop: Hop) {
        self.hops.truncate(MAX_ASKS);
        self.hops.push(hop);
    }
}
