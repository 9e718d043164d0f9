//! One read, from its plan to its end: each log that may hold rows is routed, asked for, and its answer checked against
//! what the read has to be worth. An answer that is worth less is no answer: the log is routed anew, a bounded number of
//! times. Rows and the position that proves them come and go together.
//!
//! A read keeps the plan that it began with. It ends within [`ANSWER_WITHIN`], whatever happens.

use std::collections::BTreeMap;

use serde::Serialize;

use super::route::{HolderReply, Need, Progress, Reason, Route, RouteContext, route};
use super::token::Token;
use super::{Fallback, Level, Plan};
use crate::interface::Micros;
use crate::status::{LogId, Rank, Watermark};

/// From the beginning of a read to its end at most, microseconds. Its answer is due within 1 s.
pub const ANSWER_WITHIN: Micros = 800_000;
/// Who has not answered after so long is routed round, microseconds.
pub const ASK_WITHIN: Micros = 150_000;
/// How long a log that can't be read yet rests before it is looked at again, microseconds.
pub const PAUSE: Micros = 40_000;
/// Times that one log is asked for at most.
pub const MAX_ASKS: usize = 24;
/// Logs that one read touches at most.
pub const MAX_LOGS: usize = 4_096;

/// Something to be done for a read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ask {
    /// Its number in this read, which its answer comes with.
    pub number: u32,
    /// Whom to ask; this sender too.
    pub to: Rank,
    /// For these logs, and what each must be worth.
    pub logs: Vec<(LogId, Need)>,
    /// Until when its answer is waited for.
    pub by: Micros,
}

/// A step of a log's way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
pub struct Hop {
    /// Where it went,
    #[serde(flatten)]
    pub route: Route,
    /// and why.
    pub reason: Reason,
}

/// What became of one log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It was read, and is worth what it has to be.
    Kept,
    /// Nothing is in it.
    NotTouched,
    /// Nobody can reach the need in time; somebody may later.
    Late,
    /// Nobody ever will: the owner began another life, and nobody kept what is needed.
    Lost,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Leg<R> {
    need: Need,
    /// What those asked have said, since the last rest.
    said: BTreeMap<Rank, HolderReply>,
    /// Who is asked, until when, and by which question.
    asked: Option<(Rank, Micros, u32)>,
    /// The last question from before the owner said that its life is over.
    over: Option<u32>,
    /// When it is looked at again.
    rests: Option<Micros>,
    rested: bool,
    asks: usize,
    hops: Vec<Hop>,
    /// The furthest answer, with its rows.
    best: Option<(Rank, Watermark, R)>,
    /// The greatest number that any answer may have shown: rows of several logs may have come together.
    shown: u64,
    verdict: Option<Verdict>,
}

/// A read under way. `R` is what an answer has for one log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Read<R> {
    level: Level,
    otherwise: Fallback,
    token: Token,
    until: Micros,
    end: Micros,
    /// Questions so far.
    asks: u32,
    /// Seen in logs that were not asked for.
    came: Token,
    legs: BTreeMap<LogId, Leg<R>>,
}

/// How a read has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All of it is worth what the plan says.
    Kept,
    /// There is less, and it is told what.
    Less,
    /// Nothing is shown; it is told why.
    Refused,
}

/// One log of a read that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Part<R> {
    /// Which.
    pub log: LogId,
    /// What it had to be worth.
    pub need: Need,
    /// What became of it.
    pub verdict: Verdict,
    /// Its way.
    pub hops: Vec<Hop>,
    /// Who answered, how far it had the log, and what it gave; nothing for a refused read.
    pub answer: Option<(Rank, Watermark, R)>,
}

/// A read that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ended<R> {
    /// How.
    pub outcome: Outcome,
    /// At which level.
    pub level: Level,
    /// All of its logs.
    pub parts: Vec<Part<R>>,
    /// What the next read of this session must not be older than. It was empty, and stays so, at other levels.
    pub token: Token,
    /// The same without the logs that are lost, for a client that goes on without them; if some are, and the token did
    /// not overflow.
    pub without_lost: Option<Token>,
}

/// More logs than [`MAX_LOGS`] may hold rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{0} logs may hold rows, where {MAX_LOGS} are the most: ask for ids, or a shorter time")]
pub struct TooManyLogs(pub usize);

impl<R: Clone> Read<R> {
    /// Begins one at a plan's level over the logs that may hold rows, and all that the token names. It ends after
    /// `within` microseconds, or [`ANSWER_WITHIN`] if that is less.
    ///
    /// # Errors
    /// There are too many.
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

    /// When it wants to go on without an answer; nothing if it has ended.
    pub fn due(&self) -> Option<Micros> {
        let open = self.legs.values().filter(|leg| leg.verdict.is_none());
        open.map(|leg| leg.asked.map(|asked| asked.1).or(leg.rests).unwrap_or(0).min(self.end)).min()
    }

    /// Whether all is known that will be.
    pub fn is_over(&self) -> bool {
        self.legs.values().all(|leg| leg.verdict.is_some())
    }

    /// Goes on: whoever did not answer in time is routed round. What comes back is to be asked for, one question per
    /// sender.
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
                // What can't change any more is kept: another life of the owner, and how far the owner had its log.
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

    /// A sender has answered a question for one of its logs, however late: what it states, and its rows. `shown` is the
    /// greatest number of a change that may be in them, or be the reason that something is not, which may be beyond the
    /// position that it states; 0 if it looked at nothing of the tenant's.
    pub fn answered(
        &mut self,
        (from, number): (Rank, u32),
        log: LogId,
        stated: HolderReply,
        (shown, rows): (u64, R),
    ) {
        let asks = self.asks;
        let Some(leg) = self.legs.get_mut(&log) else { return };
        // Whatever becomes of the answer here: its rows may be shown for another log that came with it.
        leg.shown = leg.shown.max(shown);
        if leg.verdict.is_some() {
            return;
        }
        leg.asked.take_if(|asked| asked.2 == number);
        if stated == HolderReply::Over && from == log.owner && leg.over.is_none() {
            // Others may have got more of it since they answered, but get nothing more from now on: they are asked
            // again, so that what is told as lost is.
            leg.said.clear();
            leg.over = Some(asks);
        }
        let reached = match stated {
            HolderReply::Has(reached) => Some(reached).filter(|reached| leg.need.met(log, from, *reached)),
            _ => None,
        };
        // What was less before the owner's word may be more since.
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

    /// With the rows of logs that were asked for came those of another one, up to this number.
    pub fn record_shown(&mut self, log: LogId, shown: u64) {
        if self.level == Level::Session {
            self.came.observe(log, shown);
        }
    }

    /// It has read as much as it may: what is open counts as late.
    pub fn cut(&mut self) {
        for leg in self.legs.values_mut().filter(|leg| leg.verdict.is_none()) {
            leg.ends(Verdict::Late, Hop { route: Route::Late, reason: Reason::Cut });
        }
    }

    /// What it has come to, once it is over.
    pub fn ended(self) -> Ended<R> {
        let kept = |leg: &Leg<R>| matches!(leg.verdict, Some(Verdict::Kept | Verdict::NotTouched));
        let outcome = match self.otherwise {
            _ if self.legs.values().all(kept) => Outcome::Kept,
            // The nearest there is is all that this level promises.
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
                // All that it was shown, beyond what it asked for and beyond what the sender has without gaps. What was
                // filtered out counts, since its absence was shown.
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

    /// The first ones and the last one are kept.
    fn hops(&mut self, hop: Hop) {
        self.hops.truncate(MAX_ASKS);
        self.hops.push(hop);
    }
}
