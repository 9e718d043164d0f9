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
struct Leg<R> {
    need: Need,
    /// The replies since the last pause.
    said: BTreeMap<Rank, HolderReply>,
    /// The sender that was asked, until when its answer is waited for, and the number of the request.
    asked: Option<(Rank, Micros, u32)>,
    /// Number of the last request before the owner replied that the generation has ended.
    over: Option<u32>,
    /// When it is tried again.
    rests: Option<Micros>,
    rested: bool,
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
    until: Micros,
    end: Micros,
    /// Number of requests so far.
    asks: u32,
    /// Positions shown of logs that were not requested.
    came: Token,
    legs: BTreeMap<LogId, Leg<R>>,
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
#[error("{0} logs may hold rows, where {MAX_LOGS} are the most: ask for ids, or a shorter time")]
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
        let leg = |log: LogId| Leg {
            need: need(log),
            said: BTreeMap::new(),
            asked: None,
            over: None,
            rests: None,
            rested: false,
            asks: 0,
            hops: Vec::new(),
            best: None,
            shown: 0,
            verdict: None,
        };
        let named = token.logs().map(|(log, _)| log);
        let legs: BTreeMap<LogId, Leg<R>> =
            logs.into_iter().chain(named).map(|log| (log, leg(log))).collect();
        if legs.len() > MAX_LOGS {
            return Err(TooManyLogs(legs.len()));
        }
        let end = now.saturating_add(within.min(ANSWER_WITHIN));
        let until = now.saturating_add(Micros::from(plan.wait_ms) * 1000).min(end);
        Ok(Self {
            level: plan.level,
            otherwise: plan.otherwise,
            token,
            until,
            end,
            asks: 0,
            came: Token::default(),
            legs,
        })
    }

    /// When [`Read::step`] has to be called next without an answer; none if the read has ended.
    pub fn due(&self) -> Option<Micros> {
        let open = self.legs.values().filter(|leg| leg.verdict.is_none());
        open.map(|leg| leg.asked.map(|asked| asked.1).or(leg.rests).unwrap_or(0).min(self.end)).min()
    }

    /// Whether all logs have a result.
    pub fn is_over(&self) -> bool {
        self.legs.values().all(|leg| leg.verdict.is_some())
    }

    /// Advances the read: senders that did not answer in time are routed around. Returns the requests to
    /// send, one per sender.
    pub fn step(&mut self, now: Micros, world: &RouteContext<'_>) -> Vec<Ask> {
        let mut asks: BTreeMap<Rank, Ask> = BTreeMap::new();
        let number = &mut self.asks;
        for (log, leg) in self.legs.iter_mut().filter(|leg| leg.1.verdict.is_none()) {
            if let Some((rank, ..)) = leg.asked.take_if(|asked| asked.1 <= now) {
                leg.said.insert(rank, HolderReply::Silent);
            }
            if now >= self.end {
                leg.ends(Verdict::Late, Hop { route: Route::Late, reason: Reason::TimeUp });
                continue;
            }
            if leg.asked.is_some() || leg.rests.is_some_and(|rests| now < rests) {
                continue;
            }
            if leg.rests.take().is_some() {
                leg.rested = true;
                // Replies that cannot change any more are retained: another generation of the owner, and the
                // owner's watermark of its log.
                leg.said.retain(|rank, said| {
                    *rank == log.owner && matches!(said, HolderReply::Over | HolderReply::Has(_))
                });
            }
            let progress =
                Progress { need: leg.need, replies: &leg.said, again: leg.rested, until: self.until };
            let (route, reason) = route(*log, progress, world, now);
            let hop = Hop { route, reason };
            match route {
                Route::NotTouched => leg.ends(Verdict::NotTouched, hop),
                Route::Lost => leg.ends(Verdict::Lost, hop),
                Route::Late => leg.ends(Verdict::Late, hop),
                Route::Wait(until) => {
                    leg.hops(hop);
                    leg.rests = Some(now.saturating_add(PAUSE).min(until));
                }
                Route::Here | Route::At(_) | Route::Owner(_) | Route::Adopter(_) => {
                    let Some(to) = route.asks(world.own) else { continue };
                    if leg.asks == MAX_ASKS {
                        leg.ends(Verdict::Late, Hop { route: Route::Late, reason: Reason::Often });
                        continue;
                    }
                    let by = now.saturating_add(ASK_WITHIN).min(self.end);
                    let ask = asks.entry(to).or_insert_with(|| {
                        *number += 1;
                        Ask { number: *number, to, logs: Vec::new(), by }
                    });
                    leg.asks += 1;
                    leg.asked = Some((to, by, ask.number));
                    leg.hops(hop);
                    ask.logs.push((*log, leg.need));
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
        let Some(leg) = self.legs.get_mut(&log) else { return };
        // Counts even if the answer is not used: its rows may be shown for another log that came with it.
        leg.shown = leg.shown.max(shown);
        if leg.verdict.is_some() {
            return;
        }
        leg.asked.take_if(|asked| asked.2 == number);
        if stated == HolderReply::Over && from == log.owner && leg.over.is_none() {
            // Other senders may have received more of the log since they answered, but receive nothing more
            // from now on: they are asked again, so that only what is really lost is reported as lost.
            leg.said.clear();
            leg.over = Some(asks);
        }
        let reached = match stated {
            HolderReply::Has(reached) => Some(reached).filter(|reached| leg.need.met(log, from, *reached)),
            _ => None,
        };
        // An insufficient reply from before the owner's may be sufficient by now.
        let old = from != log.owner && leg.over.is_some_and(|over| number <= over);
        if reached.is_none() && old {
            return;
        }
        leg.said.insert(from, stated);
        let HolderReply::Has(told) = stated else { return };
        if reached.is_some() || leg.best.as_ref().is_none_or(|best| best.1.upto < told.upto) {
            leg.best = Some((from, told, rows));
        }
        if reached.is_some() {
            leg.verdict = Some(Verdict::Kept);
        }
    }

    /// Rows of another log, up to this number, came with those of the requested logs.
    pub fn record_shown(&mut self, log: LogId, shown: u64) {
        if self.level == Level::Session {
            self.came.observe(log, shown);
        }
    }

    /// The read has used up its allowance: logs without a result count as late.
    pub fn cut(&mut self) {
        for leg in self.legs.values_mut().filter(|leg| leg.verdict.is_none()) {
            leg.ends(Verdict::Late, Hop { route: Route::Late, reason: Reason::Cut });
        }
    }

    /// The result of the read, once it is over.
    pub fn ended(self) -> Ended<R> {
        let kept = |leg: &Leg<R>| matches!(leg.verdict, Some(Verdict::Kept | Verdict::NotTouched));
        let outcome = match self.otherwise {
            _ if self.legs.values().all(kept) => Outcome::Kept,
            // This level promises no more than the nearest data.
            _ if self.level == Level::Any => Outcome::Less,
            Fallback::TellStale => Outcome::Less,
            Fallback::Refuse => Outcome::Refused,
        };
        let lost = self.legs.iter().filter(|leg| leg.1.verdict == Some(Verdict::Lost));
        let lost: Vec<LogId> = lost.map(|leg| *leg.0).collect();
        let mut token = self.token;
        let mut parts = Vec::with_capacity(self.legs.len());
        for (log, leg) in self.legs {
            let answer = leg.best.filter(|_| outcome != Outcome::Refused);
            if outcome != Outcome::Refused && leg.shown > 0 && self.level == Level::Session {
                // Everything that was shown counts, even beyond the request and beyond the position up to
                // which the sender is complete; also what was filtered out, since its absence was shown.
                let upto = answer.as_ref().map_or(0, |(_, reached, _)| reached.upto);
                token.observe(log, leg.shown.max(upto));
            }
            let verdict = leg.verdict.unwrap_or(Verdict::Late);
            parts.push(Part { log, need: leg.need, verdict, hops: leg.hops, answer });
        }
        if outcome != Outcome::Refused {
            token.merge(&self.came);
        }
        let without_lost = if lost.is_empty() { None } else { token.without(&lost) };
        Ended { outcome, level: self.level, parts, token, without_lost }
    }
}

impl<R> Leg<R> {
    fn ends(&mut self, verdict: Verdict, hop: Hop) {
        self.verdict = Some(verdict);
        self.hops(hop);
    }

    /// Keeps the first steps and the last one.
    fn hops(&mut self, hop: Hop) {
        self.hops.truncate(MAX_ASKS);
        self.hops.push(hop);
    }
}
