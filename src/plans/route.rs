//! Which sender a log is read at. Decisions rest on hints: who announced how far it has a log, what the view says, what
//! an estimate says that it costs. A hint that is wrong costs a detour. What an answer is worth is decided on the
//! position that the answering sender states with it ([`Need::met`]), never here.
//!
//! The order, per log: a summary that covers the need and says that nothing is there; the cheapest of the senders that
//! can keep the level and stand well; the owner, then an adopter; whoever may have it, but stands badly; a replica that is
//! behind; waiting; the end.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::interface::Micros;
use crate::membership::{MembershipView, State};
use crate::status::{LogId, Positions, Rank, Watermark};

/// Senders that are considered for one log: more of them are not looked at.
pub const MAX_HOLDERS: usize = 16;
/// A sender that came into the view less than this ago is starting, microseconds.
pub const STARTING: Micros = 5_000_000;

/// What a sender is to a log, as far as it is known here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It writes it, or did.
    Owner,
    /// It has taken over what the owner had in hand, and has both covers' facts.
    Adopter,
    /// It gets it from the owner.
    Replica,
}

/// Somebody who may hold a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// Who.
    pub rank: Rank,
    /// What it is to the log.
    pub role: Role,
    /// How far, as it announced; nothing if it did not.
    pub reached: Watermark,
}

/// A log that may hold rows, with those who may hold the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    /// Which.
    pub id: LogId,
    /// Who, besides its owner's rank, which is always considered; [`MAX_HOLDERS`] at most.
    pub holders: Vec<Holder>,
    /// A summary covers the log so far, and says that no row is in it.
    pub empty: Option<Watermark>,
}

/// What a route is chosen by.
pub struct RouteContext<'a> {
    /// This sender.
    pub own: Rank,
    /// How far this sender has the logs that it keeps.
    pub here: &'a Positions,
    /// The view, if there is one.
    pub facts: Option<&'a MembershipView>,
    /// Who may hold which log.
    pub logs: &'a [Log],
    /// What it costs to read a log at a sender, by estimate; any unit, the less the better.
    pub cost: &'a dyn Fn(Rank, LogId) -> u64,
    /// Whether a sender has more to do than it can.
    pub busy: &'a dyn Fn(Rank) -> bool,
}

/// What an answer must be worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Need {
    /// Anything.
    Any,
    /// Nothing had happened beyond it then or later, by the owner's clock, Unix microseconds.
    Since(Micros),
    /// All changes up to this number.
    Upto(u64),
    /// All that there is: the owner's own word, since the token overflowed and does not name the log.
    All,
}

/// What a sender states of a log that it is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HolderReply {
    /// It has it so far.
    Has(Watermark),
    /// It is the owner, in another life: nobody writes this log any more.
    Over,
    /// It has nothing of it.
    Nothing,
    /// It can't say yet: it reads its folder, or takes over and lacks a cover's facts.
    NotYet,
    /// It did not answer in time.
    Silent,
}

impl Need {
    /// Whether what a sender states keeps it. This is the proof; hints go through [`Need::hoped`].
    pub fn met(self, log: LogId, from: Rank, reached: Watermark) -> bool {
        match self {
            Self::Any => true,
            Self::Since(then) => reached.as_of >= then,
            Self::Upto(number) => reached.upto >= number,
            Self::All => from == log.owner,
        }
    }

    fn hoped(self, log: LogId, holder: &Holder) -> bool {
        self.met(log, holder.rank, holder.reached)
    }
}

/// Where a log is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase", tag = "route", content = "at")]
pub enum Route {
    /// Nowhere: nothing is in it.
    NotTouched,
    /// At this sender.
    Here,
    /// At another one that holds it.
    At(Rank),
    /// At its owner.
    Owner(Rank),
    /// At the one that took over from its owner.
    Adopter(Rank),
    /// Nowhere yet, until then at most, microseconds.
    Wait(Micros),
    /// Nowhere any more: the owner has begun another life, and nobody who may have what is needed has it.
    Lost,
    /// Nowhere in time.
    Late,
}

impl Route {
    /// Whom it asks, if anybody.
    pub fn asks(self, own: Rank) -> Option<Rank> {
        match self {
            Self::Here => Some(own),
            Self::At(rank) | Self::Owner(rank) | Self::Adopter(rank) => Some(rank),
            Self::NotTouched | Self::Wait(_) | Self::Lost | Self::Late => None,
        }
    }
}

/// Why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// A summary that covers what is needed says that no row is there.
    Summary,
    /// The cheapest of those that can keep the level, as far as is known.
    Cheapest,
    /// Nobody else is known to keep the level.
    OnlyOwner,
    /// The token overflowed and does not name this log.
    Overflowed,
    /// The owner did not help, and it has taken over.
    TookOver,
    /// It is suspect, starting, gone by the view, or has too much to do; but nobody better is left.
    LastResort,
    /// It was behind, and may have caught up.
    CatchUp,
    /// The owner's life is over: it may have what is left.
    Remains,
    /// All were asked, and are behind or silent.
    Behind,
    /// The time to wait is over.
    TimeUp,
    /// It was asked as often as is allowed.
    Often,
    /// The owner and all that may hold it have said that they have less.
    Gone,
    /// The read has taken as much as it may.
    Cut,
}

/// How a sender stands: the lesser, the better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    Well,
    Strained,
    Suspect,
    Away,
}

fn standing(world: &RouteContext<'_>, rank: Rank, now: Micros) -> Standing {
    if rank == world.own {
        return Standing::Well;
    }
    let Some(facts) = world.facts else {
        return if (world.busy)(rank) { Standing::Strained } else { Standing::Well };
    };
    let Some(fact) = facts.members.get(usize::from(rank)) else { return Standing::Away };
    match fact.state {
        State::Alive if now < fact.since.saturating_add(STARTING) || (world.busy)(rank) => Standing::Strained,
        State::Alive => Standing::Well,
        State::Joining => Standing::Strained,
        State::Suspect => Standing::Suspect,
        State::Dead | State::Left => Standing::Away,
    }
}

/// What is known of one log's read so far.
#[derive(Debug, Clone, Copy)]
pub struct Progress<'a> {
    /// What it must be worth.
    pub need: Need,
    /// What those who were asked have said, in this round.
    pub replies: &'a BTreeMap<Rank, HolderReply>,
    /// It has waited before: who is behind by the hints is asked, too.
    pub again: bool,
    /// Until when it may wait.
    pub until: Micros,
}

/// Everybody who may hold the log, the owner's rank among them, each once.
fn holders(log: LogId, world: &RouteContext<'_>) -> Vec<Holder> {
    let none = Watermark { upto: 0, as_of: 0 };
    let mut all: BTreeMap<Rank, Holder> = BTreeMap::new();
    all.insert(log.owner, Holder { rank: log.owner, role: Role::Owner, reached: none });
    let known = world.logs.iter().find(|known| known.id == log);
    for holder in known.into_iter().flat_map(|known| &known.holders).take(MAX_HOLDERS) {
        let role = if holder.rank == log.owner { Role::Owner } else { holder.role };
        all.insert(holder.rank, Holder { role, ..*holder });
    }
    if let Some(reached) = world.here.get(&log) {
        let role = if world.own == log.owner { Role::Owner } else { Role::Replica };
        let here = all.entry(world.own).or_insert(Holder { rank: world.own, role, reached: *reached });
        here.reached = *reached;
    }
    all.into_values().collect()
}

/// Where a log is read next.
pub fn route(log: LogId, progress: Progress<'_>, world: &RouteContext<'_>, now: Micros) -> (Route, Reason) {
    let Progress { need, replies: said, again, until } = progress;
    let empty = world.logs.iter().find(|known| known.id == log).and_then(|known| known.empty);
    // Only the owner's own word is worth all of it.
    if need != Need::All && empty.is_some_and(|empty| need.met(log, log.owner, empty)) {
        return (Route::NotTouched, Reason::Summary);
    }
    let all = holders(log, world);
    let left: Vec<&Holder> = all.iter().filter(|holder| !said.contains_key(&holder.rank)).collect();
    let price = |holder: &&&Holder| {
        let near = world.facts.and_then(|facts| facts.members.get(usize::from(holder.rank)));
        let far = holder.rank != world.own && !near.is_some_and(|fact| fact.same_zone);
        (standing(world, holder.rank, now), (world.cost)(holder.rank, log), far, holder.rank)
    };
    let well = |holder: &&&Holder| standing(world, holder.rank, now) <= Standing::Well;
    let to = |holder: &Holder, reason| {
        let route = match holder.role {
            _ if holder.rank == world.own => Route::Here,
            Role::Owner => Route::Owner(holder.rank),
            Role::Adopter => Route::Adopter(holder.rank),
            Role::Replica => Route::At(holder.rank),
        };
        (route, reason)
    };
    let hoped = |holder: &&&Holder| need.hoped(log, holder);
    // One that is known to hold nothing of the log can't answer for it, whatever the level is.
    let holds = |holder: &&&Holder| holder.reached.upto > 0 || holder.reached.as_of > 0;
    if let Some(cheapest) = left.iter().filter(hoped).filter(holds).filter(well).min_by_key(price) {
        let reason = if need == Need::All { Reason::Overflowed } else { Reason::Cheapest };
        return to(cheapest, reason);
    }
    let reachable = |holder: &&&Holder| standing(world, holder.rank, now) < Standing::Away;
    if let Some(owner) = left.iter().filter(|h| h.role == Role::Owner).find(reachable) {
        let reason = if need == Need::All { Reason::Overflowed } else { Reason::OnlyOwner };
        return to(owner, reason);
    }
    if let Some(adopter) = left.iter().filter(|h| h.role == Role::Adopter).min_by_key(price) {
        return to(adopter, Reason::TookOver);
    }
    if let Some(doubtful) = left.iter().filter(hoped).filter(holds).min_by_key(price) {
        return to(doubtful, Reason::LastResort);
    }
    if let Some(owner) = left.iter().find(|holder| holder.role == Role::Owner) {
        return to(owner, Reason::LastResort);
    }
    let over = said.get(&log.owner) == Some(&HolderReply::Over);
    // Whoever is furthest, first: what the hints say may be old.
    let furthest = |holder: &&&Holder| (u64::MAX - holder.reached.upto, price(holder));
    if let Some(behind) = left.iter().filter(|_| over || again || need == Need::Any).min_by_key(furthest) {
        return to(behind, if over { Reason::Remains } else { Reason::CatchUp });
    }
    if lost(log, need, said, &all) {
        (Route::Lost, Reason::Gone)
    } else if now < until {
        (Route::Wait(until), Reason::Behind)
    } else {
        (Route::Late, Reason::TimeUp)
    }
}

/// Whether nobody can ever have what is needed: the owner says so, by being in another life, and all others that may
/// hold the log have said since then that they have less; or the owner, in the log's own life, has less. Whoever was not
/// heard may still have it.
fn lost(log: LogId, need: Need, said: &BTreeMap<Rank, HolderReply>, all: &[Holder]) -> bool {
    if matches!(need, Need::Any | Need::Since(_)) && said.get(&log.owner) != Some(&HolderReply::Over) {
        return false;
    }
    match said.get(&log.owner) {
        Some(HolderReply::Has(_)) => true,
        Some(HolderReply::Over) => all.iter().all(|holder| {
            let said = said.get(&holder.rank);
            matches!(said, Some(HolderReply::Has(_) | HolderReply::Over | HolderReply::Nothing))
        }),
        _ => false,
    }
}
