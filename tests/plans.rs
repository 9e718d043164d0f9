//! Unit tests of tokens, routes, reads and limits of plans.

use std::collections::BTreeMap;

use myrtleyard::interface::Micros;
use myrtleyard::membership::{MemberView, MembershipView, State};
use myrtleyard::plans::limits::{Denied, MAX_TENANTS, OTHERS, Plans, Tally};
use myrtleyard::plans::route::{Holder, HolderReply, Log, Reason, Role, Route, RouteContext};
use myrtleyard::plans::session::{ANSWER_WITHIN, ASK_WITHIN, Ask, Ended, Outcome, Read, Verdict};
use myrtleyard::plans::token::{MAX_LOGS, MAX_TOKEN_LEN, Token, TokenError, VERSION};
use myrtleyard::plans::{Config, Fallback, Level, Plan};
use myrtleyard::status::{Generation, LogId, Positions, Rank, Watermark};
use proptest::prelude::*;

const TIER: u32 = 77;
const NOW: Micros = 100_000_000;

fn log(owner: Rank, generation: u64) -> LogId {
    LogId { owner, generation: Generation(generation) }
}

fn token(logs: &[(Rank, u64, u64)]) -> Token {
    let mut token = Token::default();
    logs.iter().for_each(|(owner, generation, upto)| token.observe(log(*owner, *generation), *upto));
    token
}

fn any_token() -> impl Strategy<Value = Token> {
    // Around the maximum size, and far from it; few generations, so that logs coincide.
    let few = prop::collection::vec((0..9u16, 0..3u64, 1..9u64), 0..9);
    let many = prop::collection::vec((0..80u16, 0..2u64, 1..u64::MAX), 0..200);
    prop_oneof![few, many].prop_map(|logs| token(&logs))
}

fn merged(one: &Token, other: &Token) -> Token {
    let mut both = one.clone();
    both.merge(other);
    both
}

proptest! {
    /// Guards against a session token that depends on the order or repetition of reads, also at its maximum
    /// size.
    #[test]
    fn merging_tokens_is_commutative_associative_and_idempotent(
        a in any_token(),
        b in any_token(),
        c in any_token(),
    ) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        let both = merged(&a, &b);
        prop_assert!(both.covers(&a) && both.covers(&b));
        for (log, upto) in a.logs().chain(b.logs()) {
            prop_assert!(both.upto(log).map_or(both.overflowed(), |held| held >= upto));
        }
        prop_assert!(both.logs().count() <= MAX_LOGS);
    }

    /// Guards against a token that a header, a proxy or a client has changed: it is accepted as a whole or
    /// not at all.
    #[test]
    fn changed_token_is_read_as_written_or_rejected(
        a in any_token(),
        at in any::<prop::sample::Index>(),
        with in 0..64u8,
    ) {
        let text = a.text(TIER);
        prop_assert!(text.len() <= MAX_TOKEN_LEN);
        prop_assert_eq!(Token::read(&text, TIER), Ok(a));
        prop_assert_eq!(Token::read(&text, TIER + 1), Err(TokenError::Foreign));
        for end in 0..text.len() {
            prop_assert!(Token::read(&text[..end], TIER).is_err(), "cut at {}", end);
        }
        let mut spoilt = text.clone().into_bytes();
        let at = at.index(spoilt.len());
        spoilt[at] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"[usize::from(with)];
        let spoilt = String::from_utf8(spoilt).unwrap_or_default();
        prop_assert!(spoilt == text || Token::read(&spoilt, TIER).is_err());
    }

    #[test]
    fn any_text_is_rejected_or_read_as_a_token(text in ".{0,200}") {
        prop_assert!(Token::read(&text, TIER).is_err());
    }
}

#[test]
fn each_kind_of_invalid_token_has_its_code() {
    let text = token(&[(1, 2, 3)]).text(TIER);
    let kind = |text: &str| Token::read(text, TIER).err().map(TokenError::code);
    assert_eq!(kind(&"A".repeat(MAX_TOKEN_LEN + 1)), Some("token_long"));
    assert_eq!(kind("not a token!"), Some("token_text"));
    assert_eq!(kind(&text[..text.len() - 4]), Some("token_cut"));
    assert_eq!(kind(""), Some("token_cut"));
    assert_eq!(Token::read("____________________", TIER), Err(TokenError::Version(255)));
    assert_ne!(VERSION, 255);
    assert_eq!(Token::read(&text, TIER + 1).err().map(TokenError::code), Some("token_foreign"));
}

/// Guards against a smaller position that enters a token that overflowed and has free entries again.
#[test]
fn overflowed_token_requires_the_owner_and_never_a_smaller_position() {
    let mut full = Token::default();
    (0..=MAX_LOGS as u16).for_each(|owner| full.observe(log(owner, 1), 9));
    let left_out = log(MAX_LOGS as u16, 1);
    assert!(full.overflowed() && full.upto(left_out).is_none());
    full.observe(left_out, 3);
    assert_eq!(full.upto(left_out), None);
    assert_eq!(full.without(&[log(0, 1)]), None);
    let read = Token::read(&full.text(TIER), TIER);
    assert_eq!(read.as_ref(), Ok(&full));
    // No replica is sufficient for it, however advanced; its owner is.
    let mut tier = Tier::new(&[(left_out, 1, 99), (left_out, left_out.owner, 3)]);
    tier.size = 200;
    let ended = tier.read(&plan(Level::Session), &full, &[left_out]);
    let part = ended.parts.iter().find(|part| part.log == left_out);
    assert_eq!(
        part.and_then(|part| part.hops.first()).map(|hop| hop.route),
        Some(Route::Owner(left_out.owner))
    );
    assert_eq!(part.map(|part| part.verdict), Some(Verdict::Kept));
}

fn plan(level: Level) -> Plan {
    Plan { level, ..Plan::default() }
}

/// A tier with the actual data and the hints about it, by log and sender. Time advances only while a sender
/// is silent.
struct Tier {
    has: BTreeMap<(LogId, Rank), u64>,
    hints: BTreeMap<(LogId, Rank), u64>,
    roles: BTreeMap<Rank, Role>,
    states: BTreeMap<Rank, State>,
    costs: BTreeMap<Rank, u64>,
    silent: Vec<Rank>,
    /// Logs whose owner has started another generation.
    over: Vec<LogId>,
    empty: Option<Watermark>,
    own: Rank,
    size: usize,
    as_of: Micros,
    asks: Vec<Ask>,
    took: Micros,
    /// From this time on a sender holds the log up to this number.
    later: Option<(Micros, LogId, Rank, u64)>,
}

impl Tier {
    fn new(has: &[(LogId, Rank, u64)]) -> Self {
        let has: BTreeMap<_, _> = has.iter().map(|(log, rank, upto)| ((*log, *rank), *upto)).collect();
        Self {
            hints: has.clone(),
            has,
            roles: BTreeMap::new(),
            states: BTreeMap::new(),
            costs: BTreeMap::new(),
            silent: vec![],
            over: vec![],
            empty: None,
            own: 9,
            size: 10,
            as_of: NOW,
            asks: vec![],
            took: 0,
            later: None,
        }
    }

    fn reached(&self, upto: u64) -> Watermark {
        Watermark { upto, as_of: self.as_of }
    }

    fn read(&mut self, plan: &Plan, token: &Token, logs: &[LogId]) -> Ended<u64> {
        let read = Read::begin(plan, token.clone(), logs.iter().copied(), NOW, ANSWER_WITHIN);
        let Ok(mut read) = read else { unreachable!("few logs") };
        let mut now = NOW;
        for _ in 0..1_000 {
            if let Some((_, log, rank, upto)) = self.later.take_if(|later| later.0 <= now - NOW) {
                self.has.insert((log, rank), upto);
            }
            let state = |rank: Rank| self.states.get(&rank).copied().unwrap_or(State::Alive);
            let fact = |rank| MemberView {
                state: state(rank as Rank),
                since: 0,
                incarnation: 1,
                same_zone: rank % 2 == 0,
            };
            let members = (0..self.size).map(fact).collect();
            let facts = MembershipView { own: self.own, members, isolated: false, minority: false };
            let role = |rank| self.roles.get(&rank).copied().unwrap_or(Role::Replica);
            let holders = |id: LogId| {
                let of = self.hints.iter().filter(|hint| hint.0.0 == id);
                of.map(|((_, rank), upto)| Holder {
                    rank: *rank,
                    role: role(*rank),
                    reached: self.reached(*upto),
                })
                .collect()
            };
            let logs: Vec<Log> =
                logs.iter().map(|id| Log { id: *id, holders: holders(*id), empty: self.empty }).collect();
            let own = self.has.iter().filter(|has| has.0.1 == self.own);
            let here: Positions = own.map(|has| (has.0.0, self.reached(*has.1))).collect();
            let cost = |rank, _| self.costs.get(&rank).copied().unwrap_or(100);
            let world = RouteContext {
                own: self.own,
                here: &here,
                facts: Some(&facts),
                logs: &logs,
                cost: &cost,
                busy: &|_| false,
            };
            let asks = read.step(now, &world);
            if read.is_over() {
                break;
            }
            let all_silent = asks.iter().all(|ask| self.silent.contains(&ask.to));
            for ask in &asks {
                for (log, _) in ask.logs.iter().filter(|_| !self.silent.contains(&ask.to)) {
                    let stated = match self.has.get(&(*log, ask.to)) {
                        _ if ask.to == log.owner && self.over.contains(log) => HolderReply::Over,
                        Some(upto) => HolderReply::Has(self.reached(*upto)),
                        None => HolderReply::Nothing,
                    };
                    read.answered((ask.to, ask.number), *log, stated, (1, u64::from(ask.to)));
                }
            }
            self.asks.extend(asks);
            if all_silent {
                now = read.due().unwrap_or(now).max(now);
            }
        }
        assert!(read.is_over() && now <= NOW + ANSWER_WITHIN, "a read ends in time");
        self.took = now - NOW;
        read.ended()
    }
}

fn first(ended: &Ended<u64>) -> Option<(Route, Reason)> {
    ended.parts.first().and_then(|part| part.hops.first()).map(|hop| (hop.route, hop.reason))
}

/// Guards the order of routes, case by case.
#[test]
fn route_takes_the_cheapest_sender_that_meets_the_level() {
    let id = log(0, 1);
    let needs = token(&[(0, 1, 5)]);
    let tier = || Tier::new(&[(id, 0, 9), (id, 1, 5), (id, 2, 7), (id, 3, 4), (id, 9, 4)]);
    let session = plan(Level::Session);
    let route = |mut tier: Tier| first(&tier.read(&session, &needs, &[id]));
    // At equal cost, a sender of the same zone.
    assert_eq!(route(tier()), Some((Route::Owner(0), Reason::Cheapest)));
    let mut dear = tier();
    dear.costs = [(0, 500), (1, 20), (2, 30), (3, 1)].into();
    assert_eq!(route(dear), Some((Route::At(1), Reason::Cheapest)));
    let mut here = tier();
    here.has.insert((id, 9), 5);
    here.costs = [(9, 0)].into();
    assert_eq!(route(here), Some((Route::Here, Reason::Cheapest)));
    let mut suspect = tier();
    suspect.costs = [(0, 500), (1, 20), (2, 30)].into();
    suspect.states = [(1, State::Suspect), (2, State::Dead)].into();
    assert_eq!(route(suspect), Some((Route::Owner(0), Reason::Cheapest)));
    let mut adopted = tier();
    adopted.states = [(0, State::Dead), (1, State::Dead), (2, State::Dead)].into();
    adopted.roles = [(4, Role::Adopter)].into();
    adopted.has.insert((id, 4), 6);
    adopted.hints.insert((id, 4), 0);
    assert_eq!(route(adopted), Some((Route::Adopter(4), Reason::TookOver)));
    let mut empty = tier();
    empty.empty = Some(Watermark { upto: 5, as_of: 0 });
    assert_eq!(route(empty), Some((Route::NotTouched, Reason::Summary)));
    let mut old_summary = tier();
    old_summary.empty = Some(Watermark { upto: 4, as_of: 0 });
    assert_eq!(route(old_summary), Some((Route::Owner(0), Reason::Cheapest)));
}

/// Guards against answers decided by hints: what counts is the watermark that comes with the rows.
#[test]
fn wrong_hint_causes_only_a_detour() {
    let id = log(0, 1);
    let mut tier = Tier::new(&[(id, 0, 9), (id, 1, 4)]);
    tier.hints = [((id, 1), 1_000), ((id, 2), 1_000)].into();
    tier.costs = [(1, 1), (2, 2)].into();
    let ended = tier.read(&plan(Level::Session), &token(&[(0, 1, 5)]), &[id]);
    assert_eq!(ended.outcome, Outcome::Kept);
    assert_eq!(tier.asks.iter().map(|ask| ask.to).collect::<Vec<_>>(), [1, 2, 0]);
    assert_eq!(ended.parts[0].answer.as_ref().map(|answer| (answer.0, answer.1.upto)), Some((0, 9)));
    assert_eq!(ended.token, token(&[(0, 1, 9)]), "what was shown beyond the token is in the next one");
    // A sender that the view holds to be dead is asked in the end: the view may be wrong, too.
    tier.states = [(0, State::Dead)].into();
    assert_eq!(tier.read(&plan(Level::Session), &token(&[(0, 1, 5)]), &[id]).outcome, Outcome::Kept);
}

#[test]
fn silent_sender_is_routed_around() {
    let id = log(0, 1);
    let mut tier = Tier::new(&[(id, 0, 9), (id, 1, 9)]);
    (tier.costs, tier.silent) = ([(1, 1)].into(), vec![1]);
    let ended = tier.read(&plan(Level::Session), &token(&[(0, 1, 5)]), &[id]);
    assert_eq!((ended.outcome, tier.took), (Outcome::Kept, ASK_WITHIN));
}

#[test]
fn lagging_replica_is_waited_for_up_to_wait_ms() {
    let id = log(0, 1);
    let lagging = || {
        let mut tier = Tier::new(&[(id, 0, 9), (id, 1, 4)]);
        (tier.silent, tier.states) = (vec![0], [(0, State::Dead)].into());
        tier
    };
    let mut tier = lagging();
    tier.later = Some((200_000, id, 1, 6));
    let session = Plan { wait_ms: 600, ..plan(Level::Session) };
    let ended = tier.read(&session, &token(&[(0, 1, 5)]), &[id]);
    assert_eq!(ended.outcome, Outcome::Kept);
    assert!(
        ended.parts[0].hops.iter().any(|hop| hop.route == Route::Wait(NOW + 600_000)),
        "{:?}",
        ended.parts
    );
    let mut tier = lagging();
    let ended = tier.read(&session, &token(&[(0, 1, 5)]), &[id]);
    assert_eq!((ended.outcome, ended.parts[0].verdict), (Outcome::Refused, Verdict::Late));
    assert_eq!((&ended.parts[0].answer, &ended.token), (&None, &token(&[(0, 1, 5)])));
    let stale = Plan { otherwise: Fallback::TellStale, ..session };
    let ended = lagging().read(&stale, &token(&[(0, 1, 5)]), &[id]);
    assert_eq!(ended.outcome, Outcome::Less);
    assert_eq!(ended.parts[0].answer.as_ref().map(|answer| answer.1.upto), Some(4));
    assert_eq!(ended.token, token(&[(0, 1, 5)]), "less was shown, and the token asks for no less");
}

/// Guards the distinction between what may still arrive and what cannot.
#[test]
fn lost_logs_are_distinguished_from_late_ones() {
    let id = log(0, 1);
    let needs = token(&[(0, 1, 5), (4, 1, 2)]);
    let tier = || {
        let mut tier = Tier::new(&[(id, 1, 4), (id, 2, 3), (log(4, 1), 4, 2)]);
        tier.over = vec![id];
        tier
    };
    let verdict = |ended: &Ended<u64>| ended.parts.iter().map(|part| part.verdict).collect::<Vec<_>>();
    let ended = tier().read(&plan(Level::Session), &needs, &[id]);
    assert_eq!((ended.outcome, verdict(&ended)), (Outcome::Refused, vec![Verdict::Lost, Verdict::Kept]));
    assert_eq!((ended.token, ended.without_lost), (needs.clone(), Some(token(&[(4, 1, 2)]))));
    // A sender that does not answer may have it.
    let mut silent = tier();
    silent.silent = vec![2];
    let ended = silent.read(&plan(Level::Session), &needs, &[id]);
    assert_eq!(verdict(&ended), [Verdict::Late, Verdict::Kept]);
    // One replica has it, though its hint says less.
    let mut kept = tier();
    kept.has.insert((id, 2), 5);
    assert_eq!(kept.read(&plan(Level::Session), &needs, &[id]).outcome, Outcome::Kept);
    // The owner, in the log's own generation, has less: no other sender writes it.
    let mut owner = Tier::new(&[(id, 0, 4)]);
    let ended = owner.read(&plan(Level::Session), &token(&[(0, 1, 5)]), &[id]);
    assert_eq!(verdict(&ended), [Verdict::Lost]);
}

#[test]
fn bounded_reads_respect_staleness_and_any_reads_return_what_exists() {
    let id = log(0, 1);
    let bounded = Plan { staleness_ms: 100, ..plan(Level::Bounded) };
    let mut tier = Tier::new(&[(id, 0, 9), (id, 1, 4)]);
    assert_eq!(tier.read(&bounded, &Token::default(), &[id]).outcome, Outcome::Kept);
    tier.as_of = NOW - 100_001;
    assert_eq!(tier.read(&bounded, &Token::default(), &[id]).outcome, Outcome::Refused);
    let any = tier.read(&plan(Level::Any), &token(&[(0, 1, 1_000)]), &[id]);
    assert_eq!((any.outcome, &any.token), (Outcome::Kept, &Token::default()));
    tier.silent = vec![0, 1];
    assert_eq!(tier.read(&plan(Level::Any), &Token::default(), &[id]).outcome, Outcome::Less);
}

#[test]
fn reads_are_admitted_by_session_level_and_rate() {
    let session = Plan { level: Level::Session, reads_per_s: 10, ..Plan::default() };
    let config: Config = [("bank".to_owned(), session), ("default".to_owned(), plan(Level::Any))].into();
    let mut plans = Plans::new(config.clone());
    assert!(plans.entitled("bank") && !plans.entitled("shop") && !plans.entitled("default"));
    let text = token(&[(1, 2, 3)]).text(TIER);
    let denied = plans.admit("shop", Some(&text), TIER, NOW);
    assert_eq!(denied, Err(Denied::NoSession { plan: "default".into(), level: "any" }));
    assert_eq!(plans.admit("bank", Some("x!"), TIER, NOW), Err(Denied::Token(TokenError::Text)));
    let mut admitted = |at| (0..30).filter(|_| plans.admit("bank", Some(&text), TIER, at).is_ok()).count();
    assert_eq!([admitted(NOW), admitted(NOW + 500_000), admitted(NOW + 9_000_000)], [10, 5, 10]);
    // A clock that steps back blocks no tenant for longer than a burst.
    assert_eq!([admitted(NOW - 50_000_000), admitted(NOW - 49_000_000)], [0, 10]);
    // Old tokens stay valid over a change of plans, and reads in progress keep their plan.
    plans.adopt([("bank".to_owned(), plan(Level::Any))].into());
    assert!(matches!(plans.admit("bank", Some(&text), TIER, NOW), Err(Denied::NoSession { .. })));
    plans.adopt(config);
    assert_eq!(
        plans.admit("bank", Some(&text), TIER, NOW + 60_000_000).map(|a| a.1),
        Ok(token(&[(1, 2, 3)]))
    );
}

#[test]
fn tenants_beyond_the_maximum_share_one_entry() {
    let mut plans = Plans::new([("default".to_owned(), Plan { reads_per_s: 1, ..Plan::default() })].into());
    for tenant in 0..MAX_TENANTS + 50 {
        let admitted = plans.admit(&format!("t{tenant}"), None, TIER, NOW).is_ok();
        assert_eq!(admitted, tenant <= MAX_TENANTS, "tenant {tenant}");
        let tally = Tally { asked: 2, ..Tally::default() };
        plans.ended(&format!("t{tenant}"), Level::Any, Outcome::Less, [Verdict::Late].into_iter(), tally);
    }
    assert!(plans.counts().count() <= MAX_TENANTS + 3);
    let others = plans.counts().find(|counts| counts.0 == OTHERS).map(|counts| *counts.2);
    assert!(
        others.is_some_and(|c| c.less == 50 && c.late == 50 && c.asked == 100 && c.denied > 0),
        "{others:?}"
    );
    // An idle tenant frees its entry.
    assert!(plans.admit("new", None, TIER, NOW + 10_000_000).is_ok());
}

/// Guards monotonic reads: rows of a log that already has its answer may be shown with those of another log.
#[test]
fn rows_shown_with_a_later_answer_count_for_the_session() {
    let log = LogId { owner: 1, generation: Generation(7) };
    let plan = Plan { level: Level::Session, ..Plan::default() };
    let Ok(mut read) = Read::begin(&plan, Token::default(), [log], NOW, ANSWER_WITHIN) else {
        unreachable!("one log")
    };
    let has = |upto| HolderReply::Has(Watermark { upto, as_of: NOW });
    read.answered((1, 1), log, has(5), (5, 0u64));
    read.answered((2, 2), log, has(9), (9, 0));
    assert_eq!(read.ended().token.upto(log), Some(9));
}
