//! Who of a tier is there: SWIM (Das, Gupta, Motivala, 2002) with suspicion, incarnation numbers and
//! infection-style dissemination, and Lifeguard's local health awareness. A state machine without I/O: time,
//! randomness and datagrams are passed in, datagrams come out. What it says is a view that may be wrong; nothing
//! that a message's fate hangs on may go by it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// A member: its place in the configured list of the tier.
pub type Rank = u16;

/// The most members of a tier.
pub const MOST_MEMBERS: usize = 1024;
/// No datagram is longer.
pub const LONGEST: usize = 256;
/// Claims that one datagram carries: 14 bytes of head and 9 for each.
const MOST_CLAIMS: usize = 24;
/// First byte of the envelope; the senders' short notes begin otherwise, and are shorter than any.
pub const MAGIC: u8 = 0xa7;
const VERSION: u8 = 1;
const HEAD: usize = 14;
const CLAIM: usize = 9;
/// Others that are asked to probe for us.
const INDIRECT: usize = 3;
/// A claim is passed on so many times the logarithm of the tier.
const RETELL: u32 = 3;
/// The shortest suspicion, in periods, for each power of ten of the tier; and the longest, in shortest ones.
const SUSPICION: f64 = 4.0;
const SUSPICION_SPAN: f64 = 6.0;
/// Further accusers that bring a suspicion down to its shortest.
const ACCUSERS: usize = 3;
/// Lifeguard: how much slower a member that finds itself slow probes, at most.
const MOST_UNWELL: u32 = 8;
/// Every so many periods a piece of the whole view goes to somebody, and somebody dead is asked after.
const SYNC_EVERY: u64 = 4;
/// A member that has heard nothing for so many periods is isolated: it declares nobody dead.
pub const ISOLATED_AFTER: Micros = 4;
/// An incarnation further ahead of the wall clock is nobody's.
const LEAP: u32 = 7 * 86_400;

/// What is said of a member. Of two claims the one of the higher incarnation holds, and of the same incarnation
/// the one that stands later here: the order in which claims come does not matter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Configured, and never heard of.
    Joining,
    /// It answers.
    Alive,
    /// It did not answer somebody, and may still refute that.
    Suspect,
    /// It did not refute it in time.
    Dead,
    /// It said that it goes.
    Left,
}

impl State {
    fn of(byte: u8) -> Option<Self> {
        [Self::Joining, Self::Alive, Self::Suspect, Self::Dead, Self::Left].get(usize::from(byte)).copied()
    }
}

/// A claim about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// About whom.
    pub member: Rank,
    /// Of which of its lives; it rises when the member restarts or refutes.
    pub incarnation: u32,
    /// What.
    pub state: State,
    /// Who found that out.
    pub by: Rank,
}

impl Claim {
    fn order(&self) -> (u32, State) {
        (self.incarnation, self.state)
    }
}

/// What is known of a member.
#[derive(Debug, Clone)]
pub struct Member {
    /// The claim that holds.
    pub claim: Claim,
    /// Since when.
    pub since: Micros,
    /// When it was last heard itself.
    pub heard: Option<Micros>,
    /// How often the claim is still to be passed on.
    retell: u32,
    accusers: BTreeSet<Rank>,
}

/// How the protocol runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// One member is probed in each.
    #[serde(default = "one_second")]
    pub period_ms: u32,
}

fn one_second() -> u32 {
    1000
}

/// The shortest and the longest period, in milliseconds.
pub const PERIODS_MS: (u32, u32) = (50, 60_000);

/// Datagrams, counted.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Sent, and their bytes.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Read.
    pub received: u64,
    /// Bytes read.
    pub received_bytes: u64,
    /// Dropped: cut, of another length, or with something that is nothing.
    pub unreadable: u64,
    /// Dropped: another tier's, or not from whom it says.
    pub foreign: u64,
    /// Skipped: of a later version or a kind that is not known here.
    pub unknown: u64,
    /// Claims dropped for an incarnation that nobody can have.
    pub absurd: u64,
}

/// Datagrams to be sent, each to one member.
pub type Out = Vec<(Rank, Vec<u8>)>;

const PING: u8 = 1;
const ACK: u8 = 2;
const ASK: u8 = 3;
const SYNC: u8 = 4;

struct Probe {
    member: Rank,
    sequence: u32,
    asked: bool,
    ask_at: Micros,
    until: Micros,
}

/// One member's part of the protocol, and its view.
pub struct Membership {
    own: Rank,
    tier: u32,
    period: Micros,
    rng: fastrand::Rng,
    members: Vec<Member>,
    /// Whom to probe next, in a random order that is drawn anew when it has been gone through.
    order: Vec<Rank>,
    probe: Option<Probe>,
    /// Probes made for others: sequence of ours, who asked, theirs, until when.
    helping: Vec<(u32, Rank, u32, Micros)>,
    sequence: u32,
    next_probe: Micros,
    rounds: u64,
    unwell: u32,
    heard_any: Micros,
    leaving: bool,
    /// The highest incarnation that a member can have now.
    ceiling: u32,
    /// Rises with each change of what is known of anybody.
    pub version: u64,
    /// Datagrams so far.
    pub counts: Counts,
}

/// Tells tiers apart that are wrongly given one address.
pub fn tier_of(members: &[String]) -> u32 {
    crc32fast::hash(members.join("\n").as_bytes())
}

impl Membership {
    /// A member of a tier of `size`, in the life that began at this Unix time.
    pub fn new(
        config: Config,
        own: Rank,
        size: usize,
        tier: u32,
        unix: Micros,
        seed: u64,
        now: Micros,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let period = Micros::from(config.period_ms.clamp(PERIODS_MS.0, PERIODS_MS.1)) * 1000;
        let incarnation = u32::try_from(unix / 1_000_000).unwrap_or(u32::MAX - LEAP);
        let claim = |member| Claim { member, incarnation: 0, state: State::Joining, by: own };
        let member = |rank| Member {
            claim: claim(rank),
            since: now,
            heard: None,
            retell: 0,
            accusers: BTreeSet::new(),
        };
        let mut members: Vec<Member> = (0..size.min(MOST_MEMBERS) as Rank).map(member).collect();
        if let Some(this) = members.get_mut(usize::from(own)) {
            this.claim = Claim { member: own, incarnation, state: State::Alive, by: own };
        }
        Self {
            own,
            tier,
            period,
            members,
            order: Vec::new(),
            probe: None,
            helping: Vec::new(),
            sequence: rng.u32(..),
            // Starts do not march in step.
            next_probe: now + rng.u64(0..period),
            rounds: 0,
            unwell: 0,
            heard_any: now,
            leaving: false,
            ceiling: incarnation.saturating_add(LEAP),
            version: 0,
            counts: Counts::default(),
            rng,
        }
    }

    /// All members, by rank.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// What holds of a member.
    pub fn state(&self, rank: Rank) -> Option<State> {
        self.members.get(usize::from(rank)).map(|member| member.claim.state)
    }

    /// Members seen alive, this one among them.
    pub fn alive(&self) -> usize {
        self.members.iter().filter(|member| member.claim.state == State::Alive).count()
    }

    /// Nothing has been heard for so long that what this member says of others means nothing.
    pub fn isolated(&self, now: Micros) -> bool {
        let others = self.members.iter().any(|m| m.claim.member != self.own && m.claim.state != State::Left);
        others && now >= self.heard_any + ISOLATED_AFTER * self.period
    }

    /// Fewer than half of those that have not left are seen alive.
    pub fn minority(&self) -> bool {
        let there = self.members.iter().filter(|member| member.claim.state != State::Left).count();
        self.alive() * 2 < there
    }

    /// When the next tick is due.
    pub fn due(&self, now: Micros) -> Micros {
        let probe = self.probe.iter().map(|p| if p.asked { p.until } else { p.ask_at.min(p.until) });
        let suspects = self.members.iter().filter(|member| member.claim.state == State::Suspect);
        // By the time that it is isolated it declares nobody dead, and hearing something is an event of its own.
        let isolated = self.heard_any + ISOLATED_AFTER * self.period;
        let suspects =
            suspects.map(|member| member.since + self.suspicion(member)).filter(|at| now.max(*at) < isolated);
        probe.chain(suspects).chain([self.next_probe]).min().unwrap_or(self.next_probe)
    }

    /// How long a suspicion stands: shorter the more accuse, longer the larger the tier.
    fn suspicion(&self, member: &Member) -> Micros {
        let tier = self.members.len().max(10) as f64;
        let least = SUSPICION * tier.log10() * self.period as f64;
        let wanted = ACCUSERS.min(self.members.len().saturating_sub(2));
        if wanted == 0 {
            return least as Micros;
        }
        let further = member.accusers.len().saturating_sub(1).min(wanted) as f64;
        let part = (further + 1.0).ln() / (wanted as f64 + 1.0).ln();
        (least * (SUSPICION_SPAN - (SUSPICION_SPAN - 1.0) * part)) as Micros
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros, out: &mut Out) {
        self.helping.retain(|help| help.3 > now);
        if let Some(probe) = &mut self.probe {
            let (member, sequence) = (probe.member, probe.sequence);
            if !probe.asked && now >= probe.ask_at && now < probe.until {
                probe.asked = true;
                for helper in self.some(INDIRECT, &[member]) {
                    self.send(helper, ASK, sequence, member, out);
                }
            }
            if self.probe.as_ref().is_some_and(|probe| now >= probe.until) {
                self.probe = None;
                self.unwell = (self.unwell + 1).min(MOST_UNWELL);
                let incarnation = self.members[usize::from(member)].claim.incarnation;
                // Who was never heard of can't have gone, and who is gone is not accused again.
                if self.state(member) == Some(State::Alive) || self.state(member) == Some(State::Suspect) {
                    let by = self.own;
                    self.learn(Claim { member, incarnation, state: State::Suspect, by }, now);
                }
            }
        }
        // A member that hears nobody is the one that is cut off.
        if !self.isolated(now) {
            let over: Vec<Claim> = self
                .members
                .iter()
                .filter(|m| m.claim.state == State::Suspect && now >= m.since + self.suspicion(m))
                .map(|m| Claim { state: State::Dead, by: self.own, ..m.claim })
                .collect();
            over.into_iter().for_each(|claim| self.learn(claim, now));
        }
        if now >= self.next_probe && self.probe.is_none() {
            self.round(now, out);
        }
    }

    fn round(&mut self, now: Micros, out: &mut Out) {
        let slower = Micros::from(self.unwell + 1);
        self.next_probe = now + self.period * slower;
        self.rounds += 1;
        if self.rounds.is_multiple_of(SYNC_EVERY) {
            if let Some(to) = self.some(1, &[]).first().copied() {
                let piece = self.piece();
                self.write(to, SYNC, 0, 0, &piece, out);
            }
            // Both sides of a split that has healed hold each other for dead, and must ask to find out.
            let gone = |m: &&Member| {
                matches!(m.claim.state, State::Dead | State::Left) && m.claim.member != self.own
            };
            let gone: Vec<Rank> = self.members.iter().filter(gone).map(|m| m.claim.member).collect();
            if let Some(at) = (!gone.is_empty()).then(|| self.rng.usize(0..gone.len())) {
                let sequence = self.next_sequence();
                self.send(gone[at], PING, sequence, gone[at], out);
            }
        }
        let Some(member) = self.next_target() else { return };
        let sequence = self.next_sequence();
        self.send(member, PING, sequence, member, out);
        let ask_at = now + self.period * slower / 3;
        self.probe =
            Some(Probe { member, sequence, asked: false, ask_at, until: now + self.period * slower });
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Each member once in a random order, then all in another: nobody waits longer than two rounds of all.
    fn next_target(&mut self) -> Option<Rank> {
        let wanted = |this: &Self, rank: Rank| {
            rank != this.own && !matches!(this.state(rank), Some(State::Dead | State::Left) | None)
        };
        for _ in 0..2 {
            while let Some(rank) = self.order.pop() {
                if wanted(self, rank) {
                    return Some(rank);
                }
            }
            self.order = (0..self.members.len() as Rank).filter(|rank| wanted(self, *rank)).collect();
            self.rng.shuffle(&mut self.order);
        }
        None
    }

    /// A few members that may be there.
    fn some(&mut self, count: usize, but: &[Rank]) -> Vec<Rank> {
        let may = |m: &&Member| matches!(m.claim.state, State::Alive | State::Suspect);
        let may = self.members.iter().filter(may).map(|m| m.claim.member);
        let mut may: Vec<Rank> = may.filter(|rank| *rank != self.own && !but.contains(rank)).collect();
        self.rng.shuffle(&mut may);
        may.truncate(count);
        may
    }

    /// A random run of the view, as much as one datagram carries.
    fn piece(&mut self) -> Vec<Claim> {
        let size = self.members.len();
        let from = self.rng.usize(0..size.max(1));
        let run = (0..size.min(MOST_CLAIMS)).map(|at| self.members[(from + at) % size].claim);
        run.filter(|claim| claim.state != State::Joining).collect()
    }

    /// Tells some that this member goes, which is no death.
    pub fn leave(&mut self, now: Micros, out: &mut Out) {
        self.leaving = true;
        let claim = Claim { state: State::Left, ..self.members[usize::from(self.own)].claim };
        self.accept(claim, now);
        for to in self.some(2 * INDIRECT, &[]) {
            self.send(to, SYNC, 0, 0, out);
        }
    }

    /// Takes a datagram that came from a member's address.
    pub fn receive(&mut self, now: Micros, from: Rank, datagram: &[u8], unix: Micros, out: &mut Out) {
        self.counts.received += 1;
        self.counts.received_bytes += datagram.len() as u64;
        let seconds = u32::try_from(unix / 1_000_000).unwrap_or(u32::MAX);
        self.ceiling = self.ceiling.max(seconds.saturating_add(LEAP)).min(u32::MAX - 1);
        let u16_at = |at: usize| Some(u16::from_le_bytes(datagram.get(at..at + 2)?.try_into().ok()?));
        let u32_at = |at: usize| Some(u32::from_le_bytes(datagram.get(at..at + 4)?.try_into().ok()?));
        let (Some(tier), Some(sequence), Some(subject)) = (u32_at(2), u32_at(6), u16_at(10)) else {
            self.counts.unreadable += 1;
            return;
        };
        let (kind, version, count) = (datagram[1] & 0x0f, datagram[1] >> 4, datagram.get(13));
        if version != VERSION || !matches!(kind, PING | ACK | ASK | SYNC) {
            self.counts.unknown += 1;
            return;
        }
        if tier != self.tier || usize::from(from) >= self.members.len() || from == self.own {
            self.counts.foreign += 1;
            return;
        }
        let count = count.copied().map_or(usize::MAX, usize::from);
        if count == 0 || count > MOST_CLAIMS || datagram.len() != HEAD + count * CLAIM {
            self.counts.unreadable += 1;
            return;
        }
        let mut claims = Vec::with_capacity(count);
        for at in 0..count {
            let at = HEAD + at * CLAIM;
            let state = State::of(datagram[at + 6]);
            let (Some(member), Some(incarnation), Some(state), Some(by)) =
                (u16_at(at), u32_at(at + 2), state, u16_at(at + 7))
            else {
                self.counts.unreadable += 1;
                return;
            };
            claims.push(Claim { member, incarnation, state, by });
        }
        // The first claim is the writer's own: it can't be another's.
        if claims.first().is_none_or(|own| own.member != from) {
            self.counts.foreign += 1;
            return;
        }
        self.heard_any = now;
        self.members[usize::from(from)].heard = Some(now);
        for claim in claims {
            let sound = claim.incarnation <= self.ceiling && claim.state != State::Joining;
            if !sound || usize::from(claim.member) >= self.members.len() {
                self.counts.absurd += 1;
                continue;
            }
            self.learn(claim, now);
        }
        match kind {
            PING => self.send(from, ACK, sequence, self.own, out),
            // Bounded by the tier: whoever asks for more is not helped.
            ASK if subject != self.own
                && usize::from(subject) < self.members.len()
                && self.helping.len() < self.members.len() =>
            {
                let own = self.next_sequence();
                self.helping.push((own, from, sequence, now + self.period * 2));
                self.send(subject, PING, own, subject, out);
            }
            ACK => {
                if self.probe.as_ref().is_some_and(|probe| probe.sequence == sequence) {
                    self.probe = None;
                    self.unwell = self.unwell.saturating_sub(1);
                }
                if let Some(at) = self.helping.iter().position(|help| help.0 == sequence) {
                    let (_, asked, theirs, _) = self.helping.swap_remove(at);
                    self.send(asked, ACK, theirs, subject, out);
                }
            }
            _ => {}
        }
    }

    /// Takes a claim if it holds against what is known. One against this member itself is refuted.
    fn learn(&mut self, claim: Claim, now: Micros) {
        if claim.member == self.own {
            let own = self.members[usize::from(self.own)].claim;
            let accused =
                claim.order() > own.order() || (claim.order() == own.order() && claim.state != own.state);
            if accused && !self.leaving {
                self.unwell = (self.unwell + u32::from(claim.state == State::Suspect)).min(MOST_UNWELL);
                // The ceiling keeps this from running over, whatever is claimed.
                let incarnation = claim.incarnation.max(own.incarnation) + 1;
                self.accept(Claim { incarnation, state: State::Alive, member: self.own, by: self.own }, now);
            }
            return;
        }
        let retell = retells(self.members.len());
        let known = &mut self.members[usize::from(claim.member)];
        if claim.order() > known.claim.order() {
            self.accept(claim, now);
        } else if claim.order() == known.claim.order()
            && claim.state == State::Suspect
            && known.accusers.len() <= ACCUSERS
            && known.accusers.insert(claim.by)
        {
            // A further accuser is news.
            known.claim.by = claim.by;
            known.retell = retell;
        }
    }

    fn accept(&mut self, claim: Claim, now: Micros) {
        let retell = retells(self.members.len());
        let known = &mut self.members[usize::from(claim.member)];
        if known.claim.state != claim.state || claim.state == State::Suspect {
            known.since = now;
        }
        known.claim = claim;
        known.retell = retell;
        known.accusers = if claim.state == State::Suspect { [claim.by].into() } else { BTreeSet::new() };
        self.version += 1;
    }

    /// Sends what is to be said, with the news that has been told the least.
    fn send(&mut self, to: Rank, kind: u8, sequence: u32, subject: Rank, out: &mut Out) {
        let mut news: Vec<(u32, Rank)> = self
            .members
            .iter()
            .filter(|m| m.retell > 0 && m.claim.member != self.own)
            .map(|m| (m.retell, m.claim.member))
            .collect();
        news.sort_unstable_by(|a, b| b.cmp(a));
        // Whoever is accused hears of it first of all, so as to refute it.
        let accused = self.members.get(usize::from(to)).filter(|m| m.claim.state >= State::Suspect);
        let mut told: Vec<Rank> = accused.map(|m| m.claim.member).into_iter().collect();
        told.extend(news.into_iter().map(|(_, rank)| rank).filter(|rank| *rank != to));
        told.truncate(MOST_CLAIMS - 1);
        let claims: Vec<Claim> = told.iter().map(|rank| self.members[usize::from(*rank)].claim).collect();
        for rank in told {
            let member = &mut self.members[usize::from(rank)];
            member.retell = member.retell.saturating_sub(1);
        }
        self.write(to, kind, sequence, subject, &claims, out);
    }

    fn write(&mut self, to: Rank, kind: u8, sequence: u32, subject: Rank, claims: &[Claim], out: &mut Out) {
        let own = self.members[usize::from(self.own)].claim;
        let others = claims.iter().filter(|claim| claim.member != self.own).take(MOST_CLAIMS - 1);
        let claims: Vec<&Claim> = std::iter::once(&own).chain(others).collect();
        let mut datagram = vec![MAGIC, VERSION << 4 | kind];
        datagram.extend(self.tier.to_le_bytes());
        datagram.extend(sequence.to_le_bytes());
        datagram.extend(subject.to_le_bytes());
        // A byte for later.
        datagram.extend([0, claims.len() as u8]);
        for claim in claims {
            datagram.extend(claim.member.to_le_bytes());
            datagram.extend(claim.incarnation.to_le_bytes());
            datagram.push(claim.state as u8);
            datagram.extend(claim.by.to_le_bytes());
        }
        self.counts.sent += 1;
        self.counts.sent_bytes += datagram.len() as u64;
        out.push((to, datagram));
    }
}

fn retells(tier: usize) -> u32 {
    RETELL * (usize::BITS - tier.leading_zeros())
}
