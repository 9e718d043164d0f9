//! Chooses the sender at which a log is read. Decisions rest on hints: the watermarks that senders announced,
//! the membership view, the estimated cost. A wrong hint costs a detour. Whether an answer is sufficient is
//! decided by the watermark that the answering sender states with it ([`Need::met`]), never here.
//!
//! The order, per log: a summary that covers the need and says that nothing is there; the cheapest of the
//! healthy senders that can meet the level; the owner, then an adopter; a sender that may have it, but is not
//! healthy; a replica that is behind; waiting; the end.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::interface::Micros;
use crate::membership::{MembershipView, State};
use crate::status::{LogId, Positions, Rank, Watermark};

/// Maximum number of senders considered for one log.
pub const MAX_HOLDERS: usize = 16;
/// A sender that joined the membership view less than this ago counts as starting, microseconds.
pub const STARTING: Micros = 5_000_000;

/// The role of a sender for a log, as far as it is known here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It writes the log, or did.
    Owner,
    /// It has taken over the pending messages of the owner, and has the log records of both backups.
    Adopter,
    /// It receives the log from the owner.
    Replica,
}

/// A sender that may hold a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// The sender.
    pub rank: Rank,
    /// Its role for the log.
    pub role: Role,
    /// The watermark that it announced; zero if it did not.
    pub reached: Watermark,
}

/// A log that may contain matching rows, with the senders that may hold it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    /// The log.
    pub id: LogId,
    /// The senders that may hold it, at most [`MAX_HOLDERS`]; the owner is always considered.
    pub holders: Vec<Holder>,
    /// The watermark up to which a summary covers the log and says that it contains no matching row.
    pub empty: Option<Watermark>,
}

/// The information by which a route is chosen.
pub struct RouteContext<'a> {
    /// This sender.
    pub own: Rank,
    /// The watermarks of the logs that this sender holds.
    pub here: &'a Positions,
    /// The membership view, if there is one.
    pub facts: Option<&'a MembershipView>,
    /// The logs, with the senders that may hold them.
    pub logs: &'a [Log],
    /// Estimated cost of reading a log at a sender, in any unit; less is better.
    pub cost: &'a dyn Fn(Rank, LogId) -> u64,
    /// Whether a sender is overloaded.
    pub busy: &'a dyn Fn(Rank) -> bool,
}

/// The requirement that an answer for a log must meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Need {
    /// None.
    Any,
    /// The watermark must be at least this recent: by the owner's clock, nothing beyond it had happened at
    /// this time, Unix microseconds.
    Since(Micros),
    /// All changes up to this number.
    Upto(u64),
    /// All changes, as confirmed by the owner itself: the token overflowed and does not name the log.
    All,
}

/// A sender's reply for a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HolderReply {
    /// It holds the log up to this watermark.
    Has(Watermark),
    /// It is the owner, in another generation: no sender writes this log any more.
    Over,
    /// It holds nothing of the log.
    Nothing,
    /// It cannot answer yet: it is reading its folder, or is taking over and lacks the log records of a
    /// backup.
    NotYet,
    /// It did not answer in time.
    Silent,
}

impl Need {
    /// Whether a stated watermark meets the requirement. This is the proof; hints are checked by
    /// [`Need::may_meet`].
    pub fn met(self, log: LogId, from: Rank, reached: Watermark) -> bool {
        match self {
            Self::Any => true,
            Self::Since(then) => reached.as_of >= then,
            Self::Upto(number) => reached.upto >= number,
            Self::All => from == log.owner,
        }
    }

    fn may_meet(self, log: LogId, holder: &Holder) -> bool {
        self.met(log, holder.rank, holder.reached)
    }
}

/// Where a log is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase", tag = "route", content = "at")]
pub enum Route {
    /// Nowhere: it contains no matching row.
    NotTouched,
    /// At this sender.
    Here,
    /// At another sender that holds it.
    At(Rank),
    /// At its owner.
    Owner(Rank),
    /// At the sender that took over from its owner.
    Adopter(Rank),
    /// Not yet; waits at most until this time, microseconds.
    Wait(Micros),
    /// Not possible any more: the owner has started another generation, and no sender that may hold the
    /// needed changes has them.
    Lost,
    /// Not possible in time.
    Late,
}

impl Route {
    /// The sender to ask, if any.
    pub fn asks(self, own: Rank) -> Option<Rank> {
        match self {
            Self::Here => Some(own),
            Self::At(rank) | Self::Owner(rank) | Self::Adopter(rank) => Some(rank),
            Self::NotTouched | Self::Wait(_) | Self::Lost | Self::Late => None,
        }
    }
}

/// The reason for a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// A summary that covers the need says that no matching row is there.
    Summary,
    /// The cheapest of the senders that can meet the need, as far as is known.
    Cheapest,
    /// No other sender is known to meet the need.
    OnlyOwner,
    /// The token overflowed and does not name this log.
    Overflowed,
    /// The owner could not answer, and the sender asked has taken over.
    TookOver,
    /// It is suspect, starting, gone according to the membership view, or overloaded, but no better sender is
    /// left.
    LastResort,
    /// It was behind, and may have caught up.
    CatchUp,
    /// The log's generation has ended: the sender asked may hold what remains.
    Remains,
    /// All senders were asked, and are behind or silent.
    Behind,
    /// The time to wait is over.
    TimeUp,
    /// The log was requested as often as is allowed.
    Often,
    /// The owner and all senders that may hold the log have replied that they have less.
    Gone,
    /// The read has used up its allowance.
    Cut,
}

/// The health of a sender; smaller is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Health {
    Healthy,
    Strained,
    Suspect,
    Unreachable,
}

fn health(context: &RouteContext<'_>, rank: Rank, now: Micros) -> Health {
    if rank == context.own {
        return Health::Healthy;
    }
    let Some(facts) = context.facts else {
        return if (context.busy)(rank) { Health::Strained } else { Health::Healthy };
    };
    let Some(member) = facts.members.get(usize::from(rank)) else { return Health::Unreachable };
    match member.state {
        State::Alive if now < member.since.saturating_add(STARTING) || (context.busy)(rank) => {
            Health::Strained
        }
        State::Alive => Health::Healthy,
        State::Joining => Health::Strained,
        State::Suspect => Health::Suspect,
        State::Dead | State::Left => Health::Unreachable,
    }
}

/// The progress of reading one log.
#[derive(Debug, Clone, Copy)]
pub struct Progress<'a> {
    /// The requirement.
    pub need: Need,
    /// The replies in this round.
    pub replies: &'a BTreeMap<Rank, HolderReply>,
    /// The read has waited before: senders that are behind according to the hints are asked, too.
    pub again: bool,
    /// Until when it may wait.
    pub until: Micros,
}

/// All senders that may hold the log, including its owner, each once.
fn holders(log: LogId, context: &RouteContext<'_>) -> Vec<Holder> {
    let none = Watermark { upto: 0, as_of: 0 };
    let mut all: BTreeMap<Rank, Holder> = BTreeMap::new();
    all.insert(log.owner, Holder { rank: log.owner, role: Role::Owner, reached: none });
    let known = context.logs.iter().find(|known| known.id == log);
    for holder in known.into_iter().flat_map(|known| &known.holders).take(MAX_HOLDERS) {
        let role = if holder.rank == log.owner { Role::Owner } else { holder.role };
        all.insert(holder.rank, Holder { role, ..*holder });
    }
    if let Some(reached) = context.here.get(&log) {
        let role = if context.own == log.owner { Role::Owner } else { Role::Replica };
        let here = all.entry(context.own).or_insert(Holder { rank: context.own, role, reached: *reached });
        here.reached = *reached;
    }
    all.into_values().collect()
}

/// Chooses where a log is read next.
pub fn route(log: LogId, progress: Progress<'_>, context: &RouteContext<'_>, now: Micros) -> (Route, Reason) {
    let Progress { need, replies, again, until } = progress;
    let empty = context.logs.iter().find(|known| known.id == log).and_then(|known| known.empty);
    // `Need::All` can only be met by the owner itself.
    if need != Need::All && empty.is_some_and(|empty| need.met(log, log.owner, empty)) {
        return (Route::NotTouched, Reason::Summary);
    }
    let all = holders(log, context);
    let left: Vec<&Holder> = all.iter().filter(|holder| !replies.contains_key(&holder.rank)).collect();
    let price = |holder: &&&Holder| {
        let member = context.facts.and_then(|facts| facts.members.get(usize::from(holder.rank)));
        let far = holder.rank != context.own && !member.is_some_and(|member| member.same_zone);
        (health(context, holder.rank, now), (context.cost)(holder.rank, log), far, holder.rank)
    };
    let healthy = |holder: &&&Holder| health(context, holder.rank, now) <= Health::Healthy;
    let to = |holder: &Holder, reason| {
        let route = match holder.role {
            _ if holder.rank == context.own => Route::Here,
            Role::Owner => Route::Owner(holder.rank),
            Role::Adopter => Route::Adopter(holder.rank),
            Role::Replica => Route::At(holder.rank),
        };
        (route, reason)
    };
    let may_meet = |holder: &&&Holder| need.may_meet(log, holder);
    // A sender that is known to hold nothing of the log cannot answer for it at any level.
    let holds = |holder: &&&Holder| holder.reached.upto > 0 || holder.reached.as_of > 0;
    if let Some(cheapest) = left.iter().filter(may_meet).filter(holds).filter(healthy).min_by_key(price) {
        let reason = if need == Need::All { Reason::Overflowed } else { Reason::Cheapest };
        return to(cheapest, reason);
    }
    let reachable = |holder: &&&Holder| health(context, holder.rank, now) < Health::Unreachable;
    if let Some(owner) = left.iter().filter(|h| h.role == Role::Owner).find(reachable) {
        let reason = if need == Need::All { Reason::Overflowed } else { Reason::OnlyOwner };
        return to(owner, reason);
    }
    if let Some(adopter) = left.iter().filter(|h| h.role == Role::Adopter).min_by_key(price) {
        return to(adopter, Reason::TookOver);
    }
    if let Some(doubtful) = left.iter().filter(may_meet).filter(holds).min_by_key(price) {
        return to(doubtful, Reason::LastResort);
    }
    if let Some(owner) = left.iter().find(|holder| holder.role == Role::Owner) {
        return to(owner, Reason::LastResort);
    }
    let over = replies.get(&log.owner) == Some(&HolderReply::Over);
    // The most advanced sender first: hints may be outdated.
    let furthest = |holder: &&&Holder| (u64::MAX - holder.reached.upto, price(holder));
    if let Some(behind) = left.iter().filter(|_| over || again || need == Need::Any).min_by_key(furthest) {
        return to(behind, if over { Reason::Remains } else { Reason::CatchUp });
    }
    if lost(log, need, replies, &all) {
        (Route::Lost, Reason::Gone)
    } else if now < until {
        (Route::Wait(until), Reason::Behind)
    } else {
        (Route::Late, Reason::TimeUp)
    }
}

/// Whether the needed changes are lost for good. Either the owner replied that it is in another generation,
/// and all others that may hold the log have replied since then that they have less; or the owner, in the
/// log's own generation, has less. A sender without a reply may still hold them.
fn lost(log: LogId, need: Need, replies: &BTreeMap<Rank, HolderReply>, all: &[Holder]) -> bool {
    if matches!(need, Need::Any | Need::Since(_)) && replies.get(&log.owner) != Some(&HolderReply::Over) {
        return false;
    }
    match replies.get(&log.owner) {
        Some(HolderReply::Has(_)) => true,
        Some(HolderReply::Over) => all.iter().all(|holder| {
            let reply = replies.get(&holder.rank);
            matches!(reply, Some(HolderReply::Has(_) | HolderReply::Over | HolderReply::Nothing))
        }),
        _ => false,
    }
}
