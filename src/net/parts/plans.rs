//! Reads by plan in the running sender: each read is split by log, routed as `myrtleyard::plans` decides, and
//! assembled from the answers of the status index.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use hyper::StatusCode;
use myrtleyard::estimate::budget_lease::REQUEST_INTERVAL;
use myrtleyard::estimate::charged::ChargedQuery;
use myrtleyard::estimate::decide::{Decided, LimitExceeded};
use myrtleyard::estimate::{Decision, Reason};
use myrtleyard::interface::Micros;
use myrtleyard::membership::{MembershipView, tier_of};
use myrtleyard::plans::limits::{Denied, Plans, Tally};
use myrtleyard::plans::route::{Holder, HolderReply, Log, MAX_HOLDERS, Need, Role, Route, RouteContext};
use myrtleyard::plans::session::{Ask, Ended, Outcome, Read, Verdict};
use myrtleyard::plans::token::Token;
use myrtleyard::plans::{Fallback, Level, Plan, limits};
use myrtleyard::status::query::{Answer, LogRead, Missing, MissingReason, QueryRejected, Routes, Touched};
use myrtleyard::status::shards::key_of;
use myrtleyard::status::{Entry, Generation, LogId, Positions, Query, Rank, Watermark};
use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::super::config::Config;
use super::super::control::{Reply, StatusCall};
use super::super::journal::AcceptedMessage;
use super::Part;
use super::estimate::EstimatePart;
use super::status::{StatusPart, rejected};

/// Maximum number of reads under way.
const MAX_READS: usize = 64;
/// How long before a query's time is up the index has to answer, so that its answer arrives in time,
/// microseconds.
const MARGIN: Micros = 30_000;
/// Extra cost of reading at a sender that is not a chosen replica of the log, microseconds: the time that a
/// detour takes if that sender does not answer in time.
const NOT_REPLICA_COST: Micros = 150_000;
/// How often a read that waits for a share of its tenant's budget checks for it, microseconds.
const BUDGET_CHECK_INTERVAL: Micros = 20_000;
/// Number of candidate replicas of a log that are considered besides its owner. A replica further down the
/// order, chosen because too many better candidates are away, is not queried.
const MAX_CANDIDATES: usize = MAX_HOLDERS - 1;
/// Stands for an owner's current generation, whichever it is. Real generations are drawn from 1 on.
const ANY_GENERATION: Generation = Generation(0);

/// An answer of the index, with its rows and what it states about them.
type SharedAnswer = Rc<Answer>;

/// The other parts that a read needs: the index, the facts of the membership view, and the estimates.
type Context<'a> = (&'a mut StatusPart, Option<&'a MembershipView>, &'a mut EstimatePart);

/// A read that is admitted by its plan and waits for its tenant's budget.
struct QueuedRead {
    query: Query,
    plan: Plan,
    token: Token,
    /// Whether the answer is to contain routes, and the estimate.
    include: (bool, bool),
    begun: Micros,
    within: Micros,
    reply: oneshot::Sender<Reply>,
}

/// A read under way.
struct ActiveRead {
    core: Read<SharedAnswer>,
    query: Query,
    plan: String,
    token: Token,
    logs: Vec<LogId>,
    include: (bool, bool),
    charged: ChargedQuery,
    cut: Option<LimitExceeded>,
    begun: Micros,
    reply: oneshot::Sender<Reply>,
    log_reads: Vec<LogRead>,
    touched: Vec<Touched>,
    missing: Vec<Missing>,
}

/// A query to the index: the read that it belongs to, and which log is queried at which sender.
struct IndexQuery {
    read: u64,
    logs: Vec<(LogId, Need, Rank, u32)>,
}

/// The reads part.
pub struct PlansPart {
    plans: Plans,
    /// Whether the section is present. If it is removed, reads under way still complete.
    enabled: bool,
    own: Rank,
    size: usize,
    tier: u32,
    next: u64,
    active: BTreeMap<u64, ActiveRead>,
    queries: BTreeMap<u64, IndexQuery>,
    /// Reads that wait for a share of their tenant's budget, at most [`MAX_READS`] together with those under
    /// way, and when they check again.
    waiting: Vec<QueuedRead>,
    check_at: Micros,
}

impl PlansPart {
    /// Creates the part; `None` without its section or without the index.
    pub fn open(config: &Config) -> Option<Self> {
        let section = config.plans.clone()?;
        config.status.as_ref()?;
        let own = config.rank()?;
        let tier = config.membership.as_ref().map_or(0, |membership| tier_of(&membership.tier));
        let (active, queries) = (BTreeMap::new(), BTreeMap::new());
        let size = config.peers.len();
        let (plans, waiting) = (Plans::new(section), Vec::new());
        Some(Self { plans, enabled: true, own, size, tier, next: 0, active, queries, waiting, check_at: 0 })
    }

    /// Applies a changed configuration.
    pub fn apply_config(&mut self, config: &Config) {
        self.enabled = config.plans.is_some();
        self.plans.adopt(config.plans.clone().unwrap_or_default());
    }

    /// Whether the section is present.
    pub fn is_on(&self) -> bool {
        self.enabled
    }

    /// The session token that a client gets with its 202, if its tenant's plan has sessions and the message
    /// is in the index.
    pub fn token(&self, message: &AcceptedMessage, status: &StatusPart) -> Option<String> {
        let tenant = message.owner.as_deref().unwrap_or_default();
        if !self.enabled || !self.plans.entitled(tenant) {
            return None;
        }
        let held = status.core.log().table().get(&key_of(tenant, &message.id))?;
        let mut token = Token::default();
        token.observe(status.core.own_log(), held.number);
        Some(token.text(self.tier))
    }

    /// Begins a read, or replies with the reason why it is denied.
    pub fn begin(
        &mut self,
        call: StatusCall,
        (now, within): (Micros, Micros),
        reply: oneshot::Sender<Reply>,
        context: Context<'_>,
    ) {
        let StatusCall { query, token, route, estimate } = call;
        let admitted = self.plans.admit(&query.tenant, token.as_deref(), self.tier, now);
        let (plan, token) = match admitted {
            Ok(admitted) => admitted,
            Err(denied) => {
                let (tenant, code) = (&query.tenant, denied.code());
                tracing::info!(tenant, code, "read denied");
                return drop(reply.send(denial_reply(&denied)));
            }
        };
        if self.active.len() + self.waiting.len() >= MAX_READS {
            return drop(reply.send(rejected(&QueryRejected::Busy)));
        }
        let include = (route, route || estimate);
        let queued = QueuedRead { query, plan, token, include, begun: now, within, reply };
        self.start_or_queue(queued, now, context);
    }

    /// Denies a read and replies with the reason.
    fn deny(&mut self, queued: QueuedRead, denied: &Denied) {
        let (tenant, code) = (&queued.query.tenant, denied.code());
        tracing::info!(tenant, code, "read denied");
        self.plans.denied(tenant);
        // The send fails if the caller is gone.
        let _ = queued.reply.send(denial_reply(denied));
    }

    /// Begins a read if its estimate and its tenant's budget allow it, or queues it until the requested share
    /// of the budget arrives.
    fn start_or_queue(&mut self, mut queued: QueuedRead, now: Micros, context: Context<'_>) {
        let name = self.plans.of(&queued.query.tenant).0.to_owned();
        let estimator = context.2;
        let begun = ChargedQuery::begin(&mut estimator.core, now, &queued.query);
        // Sends the budget messages now.
        estimator.wake_now(now);
        let charged = match begun {
            Ok(charged) => charged,
            Err(decided) => {
                if let Decision::Later { after, .. } = decided.decision {
                    let until = queued.begun + queued.within.min(Micros::from(queued.plan.wait_ms) * 1000);
                    let comes = after <= REQUEST_INTERVAL || now.saturating_add(after) <= until;
                    if now < until && comes && !queued.reply.is_closed() {
                        self.check_at = now + BUDGET_CHECK_INTERVAL;
                        self.waiting.push(queued);
                        return;
                    }
                    estimator.core.count_later();
                }
                let denied = denied(name, &queued.plan, &decided);
                return self.deny(queued, &denied);
            }
        };
        if let Decision::Narrowed { from, reason } = charged.decided.decision {
            let seen = queued.token.overflowed() || queued.token.logs().next().is_some();
            if seen && queued.plan.otherwise == Fallback::Refuse {
                // What the session has already seen must not be left out.
                let estimate = estimator.core.predict(now, &queued.query);
                let whole = Decided { decision: Decision::Refused { reason }, estimate };
                let denied = denied(name, &queued.plan, &whole);
                charged.end(&mut estimator.core, now, Ok(None));
                return self.deny(queued, &denied);
            }
            queued.query.from = from;
        }
        let QueuedRead { query, plan, token, include, begun, within, reply } = queued;
        let within = within.saturating_sub(now.saturating_sub(begun));
        let context = (context.0, context.1, estimator);
        let logs = self.logs(&token, context.0, now);
        let core = match Read::begin(&plan, token.clone(), logs.iter().copied(), now, within) {
            Ok(core) => core,
            Err(too_wide) => {
                charged.end(&mut context.2.core, now, Ok(None));
                let remedy = "query by ids, or for a shorter time range";
                return drop(reply.send(Reply::error_with_code(
                    StatusCode::BAD_REQUEST,
                    "read_wide",
                    too_wide,
                    remedy,
                )));
            }
        };
        let plan = name;
        let (log_reads, touched, missing) = (Vec::new(), Vec::new(), Vec::new());
        let cut = None;
        let active = ActiveRead {
            core,
            query,
            plan,
            token,
            logs,
            include,
            charged,
            cut,
            begun,
            reply,
            log_reads,
            touched,
            missing,
        };
        self.next += 1;
        self.active.insert(self.next, active);
        self.advance(now, Vec::new(), context);
    }

    /// The logs that a read consists of: those that its token names, and the current log of each owner,
    /// whichever its generation is, unless the token names the only log of that owner known here.
    fn logs(&self, token: &Token, status: &StatusPart, now: Micros) -> Vec<LogId> {
        let positions = status.core.positions(now);
        let hints = status.core.hints().values();
        let mut known: BTreeMap<Rank, Vec<LogId>> = BTreeMap::new();
        for log in positions.keys().chain(hints.flat_map(BTreeMap::keys)) {
            let of = known.entry(log.owner).or_default();
            if !of.contains(log) {
                of.push(*log);
            }
        }
        let named = |owner: Rank| match known.get(&owner).map(Vec::as_slice) {
            Some([only]) => token.upto(*only).is_some(),
            _ => false,
        };
        let owners = (0..self.size).filter_map(|rank| Rank::try_from(rank).ok());
        let owners = owners.filter(|owner| token.overflowed() || !named(*owner));
        let any = owners.map(|owner| LogId { owner, generation: ANY_GENERATION });
        any.chain(token.logs().map(|(log, _)| log)).collect()
    }

    /// Advances all reads: checks answers of the index, and queries the logs that are still open.
    pub fn advance(&mut self, now: Micros, answers: Vec<(u64, Answer)>, context: Context<'_>) {
        let (status, view, estimator) = context;
        for (number, answer) in answers {
            self.answered(number, answer);
        }
        let numbers: Vec<u64> = self.active.keys().copied().collect();
        for number in numbers {
            let Some(active) = self.active.get_mut(&number) else { continue };
            let (logs, here) = holders(&active.logs, self.own, status, now);
            if let Err(cut) = active.charged.check()
                && !active.core.is_over()
            {
                active.core.cut();
                active.cut = Some(cut);
            }
            let own = self.own;
            let owners: BTreeSet<Rank> = active.logs.iter().map(|log| log.owner).collect();
            let chosen: BTreeMap<Rank, Vec<Rank>> =
                owners.into_iter().map(|owner| (owner, status.core.replicas_of(owner))).collect();
            let cost = |rank: Rank, log: LogId| {
                let of = chosen.get(&log.owner).is_some_and(|of| of.contains(&rank)) || rank == log.owner;
                let more = if of || rank == own { 0 } else { NOT_REPLICA_COST };
                estimator.core.price(now, rank).saturating_add(more)
            };
            let world =
                RouteContext { own, here: &here, facts: view, logs: &logs, cost: &cost, busy: &|_| false };
            let asks = active.core.step(now, &world);
            if active.core.is_over() {
                if let Some(active) = self.active.remove(&number) {
                    self.end(active, now, estimator);
                }
            } else if let Err(why) = self.ask(number, asks, now, status)
                && let Some(active) = self.active.remove(&number)
            {
                active.charged.end(&mut estimator.core, now, Ok(None));
                // The send fails if the caller is gone.
                let _ = active.reply.send(rejected(&why));
            }
        }
    }

    /// Retries the reads that wait for budget.
    pub fn retry_waiting(&mut self, now: Micros, (status, view, estimator): Context<'_>) {
        if now < self.check_at {
            return;
        }
        for queued in std::mem::take(&mut self.waiting) {
            self.start_or_queue(queued, now, (&mut *status, view, &mut *estimator));
        }
    }

    /// Queries the index, whose routes are by owner. If two logs of one owner go to different senders, that
    /// takes two queries.
    fn ask(
        &mut self,
        read: u64,
        asks: Vec<Ask>,
        now: Micros,
        status: &mut StatusPart,
    ) -> Result<(), QueryRejected> {
        let Some(active) = self.active.get(&read) else { return Ok(()) };
        let mut batches: Vec<(Routes, IndexQuery, Micros)> = Vec::new();
        for Ask { number, to, logs, by } in asks {
            for (log, need) in logs {
                let fits = |routes: &Routes| routes.0.get(&log.owner).is_none_or(|to_whom| to_whom == &[to]);
                let at = batches.iter().position(|batch| fits(&batch.0)).unwrap_or(batches.len());
                if at == batches.len() {
                    batches.push((Routes::default(), IndexQuery { read, logs: Vec::new() }, by));
                }
                batches[at].0.0.insert(log.owner, vec![to]);
                batches[at].1.logs.push((log, need, to, number));
            }
        }
        for (routes, index_query, by) in batches {
            // A message's state is known only after all logs are joined, so the states are filtered later.
            let query = Query { states: Vec::new(), ..active.query.clone() };
            let within = by.saturating_sub(now).saturating_sub(MARGIN).max(MARGIN);
            let number = status.core.ask(now, query, routes, within)?;
            self.queries.insert(number, index_query);
        }
        Ok(())
    }

    fn answered(&mut self, number: u64, answer: Answer) {
        let Some(IndexQuery { read, logs }) = self.queries.remove(&number) else { return };
        let Some(active) = self.active.get_mut(&read) else { return };
        active.charged.touched(&answer.touched);
        let answer = Rc::new(answer);
        active.log_reads.extend(answer.logs.iter().cloned());
        active.touched.extend(answer.touched.iter().cloned());
        active.missing.extend(answer.missing.iter().cloned());
        for log_read in
            answer.logs.iter().filter(|log_read| !logs.iter().any(|asked| asked.0 == log_read.log))
        {
            if log_read.shown > 0 {
                active.core.record_shown(log_read.log, log_read.shown.max(log_read.reached.upto));
            }
        }
        for (log, need, from, number) in logs {
            let (holder_reply, shown) = holder_reply(&answer, log, need, from);
            active.core.answered((from, number), log, holder_reply, (shown, answer.clone()));
        }
    }

    fn end(&mut self, active: ActiveRead, now: Micros, estimator: &mut EstimatePart) {
        let ActiveRead {
            core,
            query,
            plan,
            token,
            include,
            begun,
            reply: to,
            log_reads,
            touched,
            missing,
            ..
        } = active;
        let (charged, cut) = (active.charged, active.cut);
        let ended = core.ended();
        let (tenant, level, outcome) = (query.tenant.clone(), ended.level, ended.outcome);
        let tally = tally(&ended);
        let verdicts = ended.parts.iter().map(|part| part.verdict);
        self.plans.ended(&tenant, level, outcome, verdicts, tally);
        let named = |verdict| parts_with(&ended, verdict);
        let (lost, late) = (named(Verdict::Lost), named(Verdict::Late));
        let took_us = now.saturating_sub(begun);
        let Tally { here, asked, waits } = tally;
        match outcome {
            Outcome::Kept => {
                tracing::debug!(tenant, plan, ?level, here, asked, waits, took_us, "read by plan completed");
            }
            Outcome::Less | Outcome::Refused => {
                let (lost, late) = (lost.len(), late.len());
                tracing::info!(
                    tenant,
                    plan,
                    ?level,
                    ?outcome,
                    here,
                    asked,
                    waits,
                    lost,
                    late,
                    took_us,
                    "read by plan incomplete or refused"
                );
            }
        }
        let mut read = json!({"plan": plan, "level": level, "outcome": outcome, "lost": lost, "late": late});
        if token.overflowed() {
            read["overflowed"] = json!(true);
        }
        if let Some(without) = &ended.without_lost {
            read["token_without_lost"] = json!(without.text(self.tier));
        }
        let estimate = estimate(&charged);
        let omitted = omitted(&charged.decided.decision);
        if let Some(omitted) = &omitted {
            read["left_out"] = omitted.clone();
        }
        if let Some(cut) = &cut {
            read["cut"] = json!(cut.to_string());
        }
        if include.0 {
            read["routes"] = routes(&ended);
        }
        let session = (level == Level::Session).then(|| ended.token.text(self.tier));
        let mut whole = Ok(None);
        touched.iter().for_each(|link| estimator.core.learned.link(link.server, link.took_us));
        let mut reply = if let (Some(cut), Outcome::Refused) = (cut, outcome) {
            let (code, remedy) = ("plan_cut", "query by ids, for a shorter time range, or in several parts");
            let body = json!({"code": code, "error": cut.to_string(), "remedy": remedy, "read": read});
            Reply::new(StatusCode::PAYLOAD_TOO_LARGE, &body)
        } else if outcome == Outcome::Refused {
            incomplete_reply(&lost, &late, &read)
        } else {
            let oldest = ended.parts.iter().filter_map(|part| part.answer.as_ref());
            let oldest = oldest.map(|answer| answer.1.as_of).min();
            read["age_ms"] = json!(oldest.map(|oldest| now.saturating_sub(oldest) / 1000));
            let mut answer = combine(&query, &ended, (log_reads, touched, missing));
            answer.took_us = took_us;
            // A caller that looks at this field only must see that there may be more rows.
            answer.partial |= omitted.is_some();
            if outcome == Outcome::Kept {
                whole = Ok(Some((answer.rows.len() as u64, took_us)));
            }
            let mut body = serde_json::to_value(&answer).unwrap_or_default();
            body["read"] = read;
            if include.1 {
                body["estimate"] = estimate;
            }
            Reply::ok(&body)
        };
        charged.end(&mut estimator.core, now, cut.map_or(whole, Err));
        reply.token = session;
        // The send fails if the caller is gone.
        let _ = to.send(reply);
    }
}

impl Part for PlansPart {
    fn due(&self) -> Option<Micros> {
        let looks = (!self.waiting.is_empty()).then_some(self.check_at);
        self.active.values().filter_map(|active| active.core.due()).chain(looks).min()
    }

    fn report(&self, _now: Micros) -> Value {
        let counts = self
            .plans
            .counts()
            .map(|(tenant, level, counts)| json!({"tenant": tenant, "level": level, "counts": counts}));
        let plans: BTreeMap<&str, Value> = self
            .plans
            .in_force()
            .map(|(name, plan)| {
                let plan = json!({"level": plan.level, "staleness_ms": plan.staleness_ms,
                                  "wait_ms": plan.wait_ms, "or": plan.otherwise,
                                  "reads_per_s": plan.reads_per_s,
                                  "queries_per_min": plan.queries_per_min, "shards": plan.shards,
                                  "bytes_per_min": plan.bytes_per_min});
                (name, plan)
            })
            .collect();
        json!({"plans": plans, "reads": counts.collect::<Vec<_>>(), "under_way": self.active.len(),
               "waiting": self.waiting.len(),
               "bounds": {"reads": MAX_READS, "tenants": limits::MAX_TENANTS}})
    }
}

/// What a queried sender states about a log, by the answer of the index, and the position up to which the
/// answer may have shown the log.
fn holder_reply(answer: &Answer, log: LogId, need: Need, from: Rank) -> (HolderReply, u64) {
    let of: Vec<&LogRead> = answer
        .logs
        .iter()
        .filter(|log_read| log_read.log.owner == log.owner && log_read.server == from)
        .collect();
    let Some(first) = of.first() else {
        let silent = answer
            .missing
            .iter()
            .any(|missing| missing.owner == log.owner && !matches!(missing.why, MissingReason::NotHeld));
        return (if silent { HolderReply::Silent } else { HolderReply::Nothing }, 0);
    };
    let owner = from == log.owner;
    if log.generation == ANY_GENERATION {
        // An owner reports its current generation first. Positions shown are counted per log, not here.
        let newest = of.iter().max_by_key(|log_read| log_read.reached.as_of).unwrap_or(first);
        return match owner {
            true => (HolderReply::Has(first.reached), 0),
            // The replica has no claim about the log yet.
            false if newest.reached.as_of == 0 => (HolderReply::Nothing, 0),
            false => (HolderReply::Has(newest.reached), 0),
        };
    }
    match of.iter().find(|log_read| log_read.log == log) {
        // The owner has got back from replicas what they stored of its earlier generation. That may be
        // enough for the read, but it is not complete.
        Some(log_read) if owner && first.log != log => match need {
            Need::Upto(_) if need.met(log, from, log_read.reached) => {
                (HolderReply::Has(log_read.reached), log_read.shown)
            }
            _ => (HolderReply::Over, log_read.shown),
        },
        Some(log_read) if !owner && log_read.reached.as_of == 0 => (HolderReply::Nothing, log_read.shown),
        Some(log_read) => (HolderReply::Has(log_read.reached), log_read.shown),
        None if owner => (HolderReply::Over, 0),
        None => (HolderReply::Nothing, 0),
    }
}

/// The senders that may hold each log, with their positions: possible replicas by the index, and senders that
/// have announced the log. Second, the positions of the logs in this sender.
fn holders(logs: &[LogId], own: Rank, status: &StatusPart, now: Micros) -> (Vec<Log>, Positions) {
    let index = &status.core;
    let positions = index.positions(now);
    let none = Watermark { upto: 0, as_of: 0 };
    let reached = |positions: &Positions, log: LogId| match log.generation {
        ANY_GENERATION => {
            let of = positions.iter().filter(|held| held.0.owner == log.owner);
            of.map(|held| *held.1).max_by_key(|reached| reached.as_of)
        }
        _ => positions.get(&log).copied(),
    };
    let mut here = Positions::new();
    let holders = |log: &LogId| {
        let mut ranks = index.candidates_of(log.owner, MAX_CANDIDATES);
        ranks.push(log.owner);
        ranks.extend(index.hints().iter().filter(|hint| reached(hint.1, *log).is_some()).map(|hint| *hint.0));
        ranks.sort_unstable();
        ranks.dedup();
        ranks.retain(|rank| *rank != own);
        let holder = |rank: Rank| {
            let role = if rank == log.owner { Role::Owner } else { Role::Replica };
            let reached = index.hints().get(&rank).and_then(|hint| reached(hint, *log));
            Holder { rank, role, reached: reached.unwrap_or(none) }
        };
        Log { id: *log, holders: ranks.into_iter().map(holder).collect(), empty: None }
    };
    let all = logs.iter().map(holders).collect();
    for log in logs {
        here.extend(reached(&positions, *log).map(|reached| (*log, reached)));
    }
    (all, here)
}

fn tally(ended: &Ended<SharedAnswer>) -> Tally {
    let mut tally = Tally::default();
    for hop in ended.parts.iter().flat_map(|part| &part.hops) {
        match hop.route {
            Route::Here => tally.here += 1,
            Route::At(_) | Route::Owner(_) | Route::Adopter(_) => tally.asked += 1,
            Route::Wait(_) => tally.waits += 1,
            Route::NotTouched | Route::Lost | Route::Late => {}
        }
    }
    tally
}

fn parts_with(ended: &Ended<SharedAnswer>, verdict: Verdict) -> Vec<Value> {
    let parts = ended.parts.iter().filter(|part| part.verdict == verdict);
    parts.map(|part| json!({"log": part.log, "need": part.need})).collect()
}

fn routes(ended: &Ended<SharedAnswer>) -> Value {
    let parts = ended.parts.iter().map(|part| {
        let answer = part.answer.as_ref();
        let (server, reached) = (answer.map(|answer| answer.0), answer.map(|answer| answer.1));
        json!({"owner": part.log.owner, "life": part.log.generation, "need": part.need,
               "verdict": part.verdict, "hops": part.hops, "server": server, "reached": reached})
    });
    Value::Array(parts.collect())
}

fn denial_reply(denied: &Denied) -> Reply {
    let status = match denied {
        Denied::NoSession { .. } | Denied::Shards { .. } => StatusCode::FORBIDDEN,
        Denied::Token(_) => StatusCode::BAD_REQUEST,
        Denied::Rate { .. } | Denied::Later { .. } => StatusCode::TOO_MANY_REQUESTS,
        Denied::Bytes { .. } => StatusCode::PAYLOAD_TOO_LARGE,
    };
    let mut body = json!({"code": denied.code(), "error": denied.to_string(), "remedy": denied.remedy()});
    if let Some(again_ms) = denied.again_ms() {
        body["again_ms"] = json!(again_ms);
    }
    Reply::new(status, &body)
}

/// The reason why a read does not run as requested.
fn denied(plan: String, of: &Plan, decided: &Decided) -> Denied {
    let prediction = &decided.estimate.prediction;
    match decided.decision {
        Decision::Later { after, reason } => {
            let what = if reason == Reason::Queries { "queries" } else { "bytes" };
            Denied::Later { plan, what, after_ms: after.div_ceil(1000) }
        }
        Decision::Refused { reason: Reason::Shards } => {
            Denied::Shards { plan, most: prediction.shards.most, allowed: of.shards }
        }
        _ => Denied::Bytes { plan, most: prediction.bytes.most, allowed: of.bytes_per_min },
    }
}

/// What was left out of a narrowed read.
fn omitted(decision: &Decision) -> Option<Value> {
    match decision {
        Decision::Narrowed { from, reason } => Some(json!({"before": from, "reason": reason})),
        _ => None,
    }
}

/// The predicted cost of a read, the decision, and the actual cost.
fn estimate(charged: &ChargedQuery) -> Value {
    let (decided, (shards, bytes)) = (&charged.decided, charged.read());
    let prediction = &decided.estimate.prediction;
    json!({"shards": prediction.shards, "bytes": prediction.bytes, "bound": prediction.bound,
           "decision": decided.decision, "read": {"shards": shards, "bytes": bytes}})
}

/// The error reply to a read that would have shown less than its plan requires.
fn incomplete_reply(lost: &[Value], late: &[Value], read: &Value) -> Reply {
    let (status, code, error, remedy) = if lost.is_empty() {
        let error = format!("{} logs did not reach the position that the plan requires in time", late.len());
        let remedy = "read again; if it persists, check which owners are unavailable, or allow tell-stale";
        (StatusCode::SERVICE_UNAVAILABLE, "read_late", error, remedy)
    } else {
        let error = format!("data of {} logs that the session has seen is lost", lost.len());
        let remedy = "let the client continue with token_without_lost and submit missing messages again";
        (StatusCode::GONE, "read_lost", error, remedy)
    };
    Reply::new(status, &json!({"code": code, "error": error, "remedy": remedy, "read": read}))
}

/// Combines the answers of a read into one.
fn combine(
    query: &Query,
    ended: &Ended<SharedAnswer>,
    (log_reads, touched, missing): (Vec<LogRead>, Vec<Touched>, Vec<Missing>),
) -> Answer {
    let mut answers: Vec<&SharedAnswer> = Vec::new();
    let mut reached: Vec<Rank> = Vec::new();
    for (owner, (_, _, rows)) in
        ended.parts.iter().filter_map(|part| Some((part.log.owner, part.answer.as_ref()?)))
    {
        reached.push(owner);
        if !answers.iter().any(|known| Rc::ptr_eq(known, rows)) {
            answers.push(rows);
        }
    }
    let mut rows: BTreeMap<_, Entry> = BTreeMap::new();
    for entry in answers.iter().flat_map(|answer| &answer.rows) {
        match rows.get_mut(&key_of(&entry.tenant, &entry.id)) {
            Some(known) => known.join(entry),
            None => drop(rows.insert(key_of(&entry.tenant, &entry.id), entry.clone())),
        }
    }
    // An id that some answer does not list as unknown is known there, even if it is not among the rows for
    // another reason.
    let unknown: Vec<BTreeSet<&String>> =
        answers.iter().map(|answer| answer.not_known.iter().collect()).collect();
    let unknown = |id: &&String| unknown.iter().all(|unknown| unknown.contains(id));
    let not_known = query.ids.iter().filter(unknown).cloned().collect();
    let mut next = answers.iter().filter_map(|answer| answer.next.clone()).min();
    let mut rows: Vec<Entry> = rows.into_values().filter(|entry| query.wants(entry)).collect();
    rows.sort_by(|a, b| (a.taken_at, &a.id).cmp(&(b.taken_at, &b.id)));
    rows.retain(|entry| next.as_ref().is_none_or(|(at, id)| (entry.taken_at, &entry.id) <= (*at, id)));
    if rows.len() > query.limit as usize {
        rows.truncate(query.limit as usize);
        next = rows.last().map(|last| (last.taken_at, last.id.clone()));
    }
    let mut owners: Vec<Rank> = ended.parts.iter().map(|part| part.log.owner).collect();
    owners.sort_unstable();
    owners.dedup();
    reached.sort_unstable();
    reached.dedup();
    let mut named: Vec<Missing> = Vec::new();
    for missing in missing {
        let open = !reached.contains(&missing.owner);
        if open && !named.iter().any(|known| known.owner == missing.owner) {
            named.push(missing);
        }
    }
    let mut logs: Vec<LogRead> = Vec::new();
    for log_read in log_reads {
        if !logs.iter().any(|known| known.log == log_read.log && known.server == log_read.server) {
            logs.push(log_read);
        }
    }
    Answer {
        rows,
        next,
        partial: ended.outcome != Outcome::Kept,
        asked: owners.len(),
        reached: reached.len(),
        missing: named,
        known_since: answers.iter().map(|answer| answer.known_since).max().unwrap_or(0),
        logs,
        not_known,
        touched,
        took_us: 0,
    }
}
