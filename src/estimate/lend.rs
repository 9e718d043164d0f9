//! A tenant's budget is the whole fleet's, and lent to senders in pieces that lapse, as with leases (Gray and Cheriton,
//! 1989).
//!
//! - *Who lends*: one living member for each tenant, by rendezvous hashing (Thaler and Ravishankar, 1998).
//! - *How much*: what it lent within the last [`WINDOW`] never exceeds the budget. The window is a minute and a piece's
//!   life by the lender's clock, so that what is *used* in any minute does not either.
//! - *A piece* lapses [`LIFE`] after its borrower asked, by the borrower's clock; for the lender it lasts a quarter
//!   longer, counted from later. Clocks may differ by any offset, and by a quarter in pace. Only clocks that never go
//!   back are used.
//! - *A new lender* does not know what the one before it lent: what it may have lent grows from an eighth of the budget
//!   to all of it over a window.
//! - *The lesser side of a split* lends its part by members of the tier, which is under half.
//!
//! So with one lender no minute uses more than the budget; with a split, or lenders that follow each other, twice the
//! budget and an eighth of it for each further lender at most.

use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use super::Reason;
use crate::interface::Micros;
use crate::membership::{Fact, Facts, Rank, State};
use crate::plans::Plan;

/// A piece's life for its borrower, from when it asked.
pub const LIFE: Micros = 10_000_000;
/// The same for the lender, from when it lent.
pub const LENT: Micros = LIFE / 4 * 5;
/// What was lent within it is within the budget.
pub const WINDOW: Micros = 60_000_000 + LENT;
/// Part of the budget that a new lender may lend at once.
pub const FIRST: u64 = 8;
/// A borrower asks for one tenant so often at most.
pub const ASK_EVERY: Micros = 200_000;
/// Tenants that a sender borrows or lends for at most.
pub const MOST_TENANTS: usize = 512;
/// Pieces of one tenant that count in a window at most.
pub const MOST_PIECES: usize = 4_096;
/// Pieces of one tenant that a borrower has at most.
const MOST_OWNED: usize = 16;
/// Changes of who is there that are looked back at; with more, the time before them counts for unknown.
const MOST_CHANGES: usize = 16;
/// A longer name is no tenant's.
const LONGEST_NAME: usize = 255;

/// What something costs, or how much there is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// Queries.
    pub queries: u64,
    /// Bytes read.
    pub bytes: u64,
}

impl Cost {
    fn plus(self, other: Self) -> Self {
        Self {
            queries: self.queries.saturating_add(other.queries),
            bytes: self.bytes.saturating_add(other.bytes),
        }
    }

    fn less(self, other: Self) -> Self {
        Self {
            queries: self.queries.saturating_sub(other.queries),
            bytes: self.bytes.saturating_sub(other.bytes),
        }
    }

    fn least(self, other: Self) -> Self {
        Self { queries: self.queries.min(other.queries), bytes: self.bytes.min(other.bytes) }
    }

    fn covers(self, other: Self) -> bool {
        self.queries >= other.queries && self.bytes >= other.bytes
    }

    /// So many of so many parts of it, without overflow.
    fn part(self, of: u64, all: u64) -> Self {
        let part = |figure: u64| (u128::from(figure) * u128::from(of) / u128::from(all.max(1))) as u64;
        Self { queries: part(self.queries), bytes: part(self.bytes) }
    }

    /// A plan's, for a minute.
    pub fn of_plan(plan: &Plan) -> Self {
        Self { queries: plan.queries_per_min.into(), bytes: plan.bytes_per_min }
    }
}

/// What senders say to each other of budgets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Note {
    /// A piece is wanted.
    Ask {
        /// For whose queries.
        tenant: String,
        /// Tells this ask from others of this borrower.
        serial: u64,
        /// What is needed at once.
        cost: Cost,
        /// What is wanted.
        wanted: Cost,
    },
    /// A piece, less than what was wanted or nothing.
    Lend {
        /// For whose queries.
        tenant: String,
        /// The ask that it answers.
        serial: u64,
        /// How much.
        cost: Cost,
        /// If it is short: when there may be more, microseconds from now.
        after: Micros,
    },
    /// What is not needed of a piece; it is not used any more.
    Back {
        /// Whose queries it was for.
        tenant: String,
        /// Which one.
        serial: u64,
        /// How much.
        cost: Cost,
    },
}

/// There is not enough now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Short {
    /// When there may be, microseconds from now.
    pub after: Micros,
    /// What is short.
    pub reason: Reason,
}

/// What was taken out of which pieces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    tenant: String,
    taken: Vec<(u64, Cost)>,
}

#[derive(Debug, Clone, Copy)]
struct Piece {
    serial: u64,
    left: Cost,
    until: Micros,
}

/// What a borrower has of one tenant's budget.
#[derive(Debug, Default)]
struct Purse {
    pieces: Vec<Piece>,
    /// What it asked for last, and when.
    asked: Option<(u64, Micros)>,
    /// Nothing more is there before then.
    short_until: Micros,
    /// What was charged since the last piece came.
    used: Cost,
    touched: Micros,
}

#[derive(Debug, Clone, Copy)]
struct Loan {
    at: Micros,
    to: Rank,
    serial: u64,
    cost: Cost,
}

/// What a lender has lent of one tenant's budget.
#[derive(Debug, Default)]
struct Ledger {
    loans: VecDeque<Loan>,
    lent: Cost,
}

/// One sender's part in all budgets.
#[derive(Debug)]
pub struct Budgets {
    own: Rank,
    serial: u64,
    purses: BTreeMap<String, Purse>,
    ledgers: BTreeMap<String, Ledger>,
    /// Since when it is known who was there.
    since: Micros,
    /// Who is there now.
    living: Vec<Rank>,
    /// Who was there before, within a window, and until when.
    before: VecDeque<(Micros, Vec<Rank>)>,
    out: Vec<(Rank, Note)>,
}

/// Members that may lend: this one, and those that are not held for gone.
fn living(facts: &Facts) -> Vec<Rank> {
    let there = |(rank, fact): &(usize, &Fact)| {
        *rank == usize::from(facts.own) || matches!(fact.state, State::Alive | State::Suspect)
    };
    facts.members.iter().enumerate().filter(there).map(|(rank, _)| rank as Rank).collect()
}

/// Which of these lends a tenant's budget; none if nobody is there.
pub fn lender(tenant: &str, living: &[Rank]) -> Option<Rank> {
    let weight = |rank: &Rank| {
        let mut hasher = SipHasher13::new();
        hasher.write(tenant.as_bytes());
        hasher.write(&rank.to_le_bytes());
        (hasher.finish(), *rank)
    };
    living.iter().map(weight).max().map(|(_, rank)| rank)
}

impl Budgets {
    /// Nothing is lent or borrowed. Serials begin by chance, so that an earlier process's mean nothing.
    pub fn new(own: Rank, seed: u64, now: Micros) -> Self {
        Self {
            own,
            serial: fastrand::Rng::with_seed(seed).u64(1..u64::MAX / 2),
            purses: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            since: now,
            living: vec![own],
            before: VecDeque::new(),
            out: Vec::new(),
        }
    }

    /// Looks who is there.
    fn look(&mut self, now: Micros, facts: &Facts) {
        let living = living(facts);
        if living != self.living {
            self.before.push_back((now, std::mem::replace(&mut self.living, living)));
        }
        let old = |until: Micros| now >= until.saturating_add(WINDOW);
        while self.before.front().is_some_and(|(until, _)| old(*until)) || self.before.len() > MOST_CHANGES {
            if let Some((until, _)) = self.before.pop_front() {
                self.since = self.since.max(if old(until) { self.since } else { until });
            }
        }
    }

    /// For how long this sender has been the one that lends a tenant's budget, as far as it knows.
    fn tenure(&self, now: Micros, tenant: &str) -> Micros {
        let others = self.before.iter().filter(|(_, living)| lender(tenant, living) != Some(self.own));
        now.saturating_sub(others.map(|(until, _)| *until).max().unwrap_or(0).max(self.since))
    }

    /// What is to be said since the last call. The receiver hears it once, or never.
    pub fn said(&mut self) -> Vec<(Rank, Note)> {
        std::mem::take(&mut self.out)
    }

    /// What is left here of a tenant's budget.
    pub fn left(&self, now: Micros, tenant: &str) -> Cost {
        let pieces = self.purses.get(tenant).into_iter().flat_map(|purse| &purse.pieces);
        let live = pieces.filter(|piece| now < piece.until);
        live.fold(Cost::default(), |sum, piece| sum.plus(piece.left))
    }

    /// Has a piece of a tenant's budget there for a query of that cost, or asks for one. Whether it is there.
    ///
    /// # Errors
    /// Says when there may be enough, and what is short.
    pub fn want(
        &mut self,
        now: Micros,
        facts: &Facts,
        tenant: &str,
        plan: &Plan,
        cost: Cost,
    ) -> Result<(), Short> {
        let left = self.left(now, tenant);
        let lasts = self.left(now.saturating_add(LIFE / 4), tenant);
        if let Some(purse) = self.purses.get_mut(tenant) {
            purse.touched = now;
        }
        if !lasts.covers(cost) {
            // What lapses soon is asked for anew before queries wait for it.
            let asked = self.borrow(now, facts, tenant, plan, cost.less(lasts));
            if !self.left(now, tenant).covers(cost) {
                let reason = if left.queries < cost.queries { Reason::Queries } else { Reason::Budget };
                return Err(Short { after: asked, reason });
            }
        }
        Ok(())
    }

    /// Asks for a piece that covers the need, unless it was just asked for. When there may be one, microseconds from now.
    fn borrow(&mut self, now: Micros, facts: &Facts, tenant: &str, plan: &Plan, need: Cost) -> Micros {
        let known = self.purses.contains_key(tenant);
        if tenant.len() > LONGEST_NAME || (!known && self.purses.len() >= MOST_TENANTS) {
            return LIFE;
        }
        self.look(now, facts);
        let Some(to) = lender(tenant, &self.living) else { return ASK_EVERY };
        let purse = self.purses.entry(tenant.to_owned()).or_default();
        purse.touched = now;
        purse.pieces.retain(|piece| now < piece.until);
        if now < purse.short_until {
            return purse.short_until - now;
        }
        if purse.asked.is_some_and(|(_, at)| now < at.saturating_add(ASK_EVERY)) {
            return ASK_EVERY;
        }
        self.serial = self.serial.wrapping_add(1);
        let serial = self.serial;
        purse.asked = Some((serial, now));
        // As much again as since the last piece, and a hundredth of all, so that few asks are needed.
        let wanted = need.plus(purse.used).plus(Cost::of_plan(plan).part(1, 100));
        purse.used = Cost::default();
        if to == self.own {
            let (cost, after) = self.lend(now, facts, to, tenant, serial, (need, wanted), plan);
            self.lent(now, tenant, serial, cost, after);
        } else {
            let tenant = tenant.to_owned();
            self.out.push((to, Note::Ask { tenant, serial, cost: need, wanted }));
        }
        let until = self.purses.get(tenant).map_or(0, |purse| purse.short_until);
        until.saturating_sub(now).max(ASK_EVERY)
    }

    /// Whether there is enough for a query of that cost, or may be once it is asked for. Asks nobody.
    ///
    /// # Errors
    /// Says when there may be enough, and what is short.
    pub fn foresee(&self, now: Micros, tenant: &str, cost: Cost) -> Result<(), Short> {
        let left = self.left(now, tenant);
        let until = self.purses.get(tenant).map_or(0, |purse| purse.short_until);
        if left.covers(cost) || now >= until {
            return Ok(());
        }
        let reason = if left.queries < cost.queries { Reason::Queries } else { Reason::Budget };
        Err(Short { after: until - now, reason })
    }

    /// Takes a query's cost out of what is left here.
    ///
    /// # Errors
    /// Says what is short; [`Budgets::want`] has it brought.
    pub fn charge(&mut self, now: Micros, tenant: &str, cost: Cost) -> Result<Charge, Short> {
        let left = self.left(now, tenant);
        if !left.covers(cost) {
            let reason = if left.queries < cost.queries { Reason::Queries } else { Reason::Budget };
            return Err(Short { after: ASK_EVERY, reason });
        }
        let mut charge = Charge { tenant: tenant.to_owned(), taken: Vec::new() };
        let Some(purse) = self.purses.get_mut(tenant) else { return Ok(charge) };
        purse.used = purse.used.plus(cost);
        purse.pieces.sort_by_key(|piece| piece.until);
        let mut rest = cost;
        for piece in purse.pieces.iter_mut().filter(|piece| now < piece.until) {
            let taken = piece.left.least(rest);
            if taken != Cost::default() {
                (piece.left, rest) = (piece.left.less(taken), rest.less(taken));
                charge.taken.push((piece.serial, taken));
            }
        }
        Ok(charge)
    }

    /// A query that was charged has ended: what it did not use goes back to its pieces, as far as they live; what it used
    /// beyond its charge is taken out of those that are here.
    pub fn settle(&mut self, now: Micros, charge: Charge, used: Cost) {
        let Some(purse) = self.purses.get_mut(&charge.tenant) else { return };
        let all = charge.taken.iter().fold(Cost::default(), |sum, (_, taken)| sum.plus(*taken));
        let mut over = all.less(used);
        // What it took beyond its charge is the next ones' loss, as far as anything is here.
        let mut more = used.less(all);
        purse.used = purse.used.plus(more);
        for piece in purse.pieces.iter_mut().filter(|piece| now < piece.until) {
            let taken = piece.left.least(more);
            (piece.left, more) = (piece.left.less(taken), more.less(taken));
        }
        purse.used = purse.used.less(over);
        for (serial, taken) in charge.taken {
            let back = taken.least(over);
            over = over.less(back);
            let live = purse.pieces.iter_mut().find(|piece| piece.serial == serial && now < piece.until);
            if let Some(piece) = live {
                piece.left = piece.left.plus(back);
            }
        }
    }

    /// A piece has come, or nothing.
    fn lent(&mut self, now: Micros, tenant: &str, serial: u64, cost: Cost, after: Micros) {
        let Some(purse) = self.purses.get_mut(tenant) else { return };
        let Some((_, at)) = purse.asked.take_if(|(asked, _)| *asked == serial) else { return };
        let until = at.saturating_add(LIFE);
        if after > 0 {
            purse.short_until = now.saturating_add(after.min(WINDOW));
        }
        if cost != Cost::default() && now < until && purse.pieces.len() < MOST_OWNED {
            purse.pieces.push(Piece { serial, left: cost, until });
        }
    }

    /// Lends what may be lent: as the lender by this sender's view, or not at all.
    #[expect(clippy::too_many_arguments, reason = "an ask as it came, and what it is judged by")]
    fn lend(
        &mut self,
        now: Micros,
        facts: &Facts,
        to: Rank,
        tenant: &str,
        serial: u64,
        (need, wanted): (Cost, Cost),
        plan: &Plan,
    ) -> (Cost, Micros) {
        let known = self.ledgers.contains_key(tenant);
        self.look(now, facts);
        if lender(tenant, &self.living) != Some(self.own) || (!known && self.ledgers.len() >= MOST_TENANTS) {
            return (Cost::default(), 0);
        }
        let tenure = self.tenure(now, tenant);
        let ledger = self.ledgers.entry(tenant.to_owned()).or_default();
        ledger.fade(now);
        if let Some(before) = ledger.loans.iter().rev().find(|loan| loan.to == to && loan.serial == serial) {
            return (before.cost, 0);
        }
        let mut budget = Cost::of_plan(plan);
        if facts.minority {
            let there = |state| matches!(state, State::Alive | State::Suspect);
            let living = facts.members.iter().filter(|fact| there(fact.state)).count().max(1);
            budget = budget.part(living as u64, facts.members.len() as u64);
        }
        if tenure < WINDOW {
            budget = budget.part(tenure.max(WINDOW / FIRST), WINDOW);
        }
        let left = budget.less(ledger.lent);
        if !left.covers(need) || ledger.loans.len() >= MOST_PIECES {
            let first = ledger
                .loans
                .front()
                .map_or(WINDOW / FIRST, |loan| (loan.at.saturating_add(WINDOW)).saturating_sub(now));
            // While what may be lent grows, there is more before the first piece counts no longer.
            let after = if tenure < WINDOW { first.min(ASK_EVERY * 5) } else { first };
            return (Cost::default(), after.max(ASK_EVERY));
        }
        let cost = wanted.least(left);
        ledger.loans.push_back(Loan { at: now, to, serial, cost });
        ledger.lent = ledger.lent.plus(cost);
        (cost, 0)
    }

    /// Another sender has said something. `plan` is the tenant's here.
    pub fn receive(
        &mut self,
        now: Micros,
        facts: &Facts,
        from: Rank,
        note: Note,
        plan: impl Fn(&str) -> Plan,
    ) {
        match note {
            Note::Ask { tenant, serial, cost, wanted } => {
                if tenant.len() > LONGEST_NAME {
                    return;
                }
                let plan = plan(&tenant);
                let (cost, after) = self.lend(now, facts, from, &tenant, serial, (cost, wanted), &plan);
                self.out.push((from, Note::Lend { tenant, serial, cost, after }));
            }
            Note::Lend { tenant, serial, cost, after } => self.lent(now, &tenant, serial, cost, after),
            Note::Back { tenant, serial, cost } => {
                if let Some(ledger) = self.ledgers.get_mut(&tenant) {
                    ledger.back(from, serial, cost);
                }
            }
        }
    }

    /// Now and then: what is not used goes back, and what has lapsed is forgotten.
    pub fn tick(&mut self, now: Micros, facts: &Facts) {
        self.look(now, facts);
        for (tenant, purse) in &mut self.purses {
            purse.pieces.retain(|piece| now < piece.until);
            if now < purse.touched.saturating_add(LIFE / 2) {
                continue;
            }
            let to = lender(tenant, &self.living);
            for Piece { serial, left: cost, .. } in purse.pieces.drain(..) {
                match to {
                    Some(to) if to == self.own => {
                        let ledger = self.ledgers.get_mut(tenant);
                        ledger.into_iter().for_each(|ledger| ledger.back(to, serial, cost));
                    }
                    Some(to) if cost != Cost::default() => {
                        self.out.push((to, Note::Back { tenant: tenant.clone(), serial, cost }));
                    }
                    _ => {}
                }
            }
        }
        let idle = |purse: &Purse| now >= purse.touched.saturating_add(WINDOW) && now >= purse.short_until;
        self.purses.retain(|_, purse| !idle(purse));
        self.ledgers.values_mut().for_each(|ledger| ledger.fade(now));
        self.ledgers.retain(|_, ledger| !ledger.loans.is_empty());
    }
}

impl Ledger {
    fn fade(&mut self, now: Micros) {
        while let Some(loan) = self.loans.front().filter(|loan| now >= loan.at.saturating_add(WINDOW)) {
            self.lent = self.lent.less(loan.cost);
            self.loans.pop_front();
        }
    }

    fn back(&mut self, from: Rank, serial: u64, cost: Cost) {
        if let Some(loan) = self.loans.iter_mut().find(|loan| loan.to == from && loan.serial == serial) {
            let back = loan.cost.least(cost);
            loan.cost = loan.cost.less(back);
            self.lent = self.lent.less(back);
        }
    }
}
