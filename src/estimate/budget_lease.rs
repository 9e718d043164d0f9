//! A tenant's budget holds for the whole fleet. Parts of it are granted to senders as leases that expire
//! (Gray and Cheriton, 1989).
//!
//! - *The lender* is one living member for each tenant, chosen by rendezvous hashing (Thaler and Ravishankar,
//!   1998).
//! - *The amount*: what it has granted within the last [`WINDOW`] never exceeds the budget. The window is a
//!   minute plus the lifetime of a lease by the lender's clock, so what is *used* in any minute does not
//!   exceed the budget either.
//! - *A lease* expires [`LEASE_TIME`] after the borrower requested it, by the borrower's clock; for the
//!   lender it lasts a quarter longer, counted from the later time of the grant. Clocks may differ by any
//!   offset, and by a quarter in rate. Only monotonic clocks are used.
//! - *A new lender* does not know what its predecessor granted, so the amount that it may grant grows from an
//!   eighth of the budget to all of it over a window.
//! - *The minority side of a partition* grants only its share by members of the tier, which is less than
//!   half.
//!
//! So with one lender no minute uses more than the budget. With a partition, or with lenders that succeed
//! each other, a minute uses at most twice the budget plus an eighth of it for each further lender.

use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use super::Reason;
use crate::interface::Micros;
use crate::membership::{MemberView, MembershipView, Rank, State};
use crate::plans::Plan;

/// Lifetime of a lease for its borrower, from its request.
pub const LEASE_TIME: Micros = 10_000_000;
/// Lifetime of a lease for the lender, from its grant.
pub const LENDER_LEASE_TIME: Micros = LEASE_TIME / 4 * 5;
/// Period in which the amount granted never exceeds the budget.
pub const WINDOW: Micros = 60_000_000 + LENDER_LEASE_TIME;
/// A new lender may grant one part in this many of the budget at once.
pub const FIRST_PART: u64 = 8;
/// Minimum time between two requests of a borrower for one tenant.
pub const REQUEST_INTERVAL: Micros = 200_000;
/// Maximum tenants for which a sender borrows, and for which it lends.
pub const MAX_TENANTS: usize = 512;
/// Maximum leases of one tenant that a lender counts in a window.
pub const MAX_PIECES: usize = 4_096;
/// Maximum leases of one tenant that a borrower holds.
const MAX_LEASES: usize = 16;
/// Maximum membership changes that are remembered; with more, the time before them counts as unknown.
const MAX_CHANGES: usize = 16;
/// Maximum length of a tenant's name, bytes.
const MAX_NAME_LEN: usize = 255;

/// The cost of a query, or an amount of budget.
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

    fn minus(self, other: Self) -> Self {
        Self {
            queries: self.queries.saturating_sub(other.queries),
            bytes: self.bytes.saturating_sub(other.bytes),
        }
    }

    fn min(self, other: Self) -> Self {
        Self { queries: self.queries.min(other.queries), bytes: self.bytes.min(other.bytes) }
    }

    fn covers(self, other: Self) -> bool {
        self.queries >= other.queries && self.bytes >= other.bytes
    }

    /// The fraction `of` / `all` of it, without overflow.
    fn part(self, of: u64, all: u64) -> Self {
        let part = |figure: u64| (u128::from(figure) * u128::from(of) / u128::from(all.max(1))) as u64;
        Self { queries: part(self.queries), bytes: part(self.bytes) }
    }

    /// A plan's budget for a minute.
    pub fn of_plan(plan: &Plan) -> Self {
        Self { queries: plan.queries_per_min.into(), bytes: plan.bytes_per_min }
    }
}

/// Messages between borrowers and lenders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BudgetMessage {
    /// Requests a lease.
    #[serde(rename = "Ask")]
    Request {
        /// The tenant.
        tenant: String,
        /// Identifies the request among those of this borrower.
        serial: u64,
        /// The amount needed at once.
        cost: Cost,
        /// The amount wanted.
        wanted: Cost,
    },
    /// Grants a lease, possibly of less than was wanted, or of nothing.
    #[serde(rename = "Lend")]
    Grant {
        /// The tenant.
        tenant: String,
        /// The request that it answers.
        serial: u64,
        /// The amount granted.
        cost: Cost,
        /// If the budget is short: when there may be more, microseconds from now.
        after: Micros,
    },
    /// Returns what is not needed of a lease; the borrower no longer uses it.
    #[serde(rename = "Back")]
    Return {
        /// The tenant.
        tenant: String,
        /// The request by which the lease was granted.
        serial: u64,
        /// The amount returned.
        cost: Cost,
    },
}

/// There is not enough budget at this sender now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Insufficient {
    /// When there may be enough, microseconds from now.
    pub after: Micros,
    /// What is short.
    pub reason: Reason,
}

/// What a query was charged, by lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    tenant: String,
    taken: Vec<(u64, Cost)>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    serial: u64,
    left: Cost,
    until: Micros,
}

/// What a borrower holds of one tenant's budget.
#[derive(Debug, Default)]
struct BorrowerAccount {
    leases: Vec<Lease>,
    /// Serial and time of the pending request.
    asked: Option<(u64, Micros)>,
    /// The lender has no more before this time.
    short_until: Micros,
    /// What was charged since the last request.
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

/// What a lender has granted of one tenant's budget.
#[derive(Debug, Default)]
struct Ledger {
    loans: VecDeque<Loan>,
    granted: Cost,
}

/// One sender's part in all budgets, as borrower and as lender.
#[derive(Debug)]
pub struct Budgets {
    own: Rank,
    serial: u64,
    accounts: BTreeMap<String, BorrowerAccount>,
    ledgers: BTreeMap<String, Ledger>,
    /// Start of the time for which the set of living members is known.
    since: Micros,
    /// The living members now.
    living: Vec<Rank>,
    /// Earlier sets of living members within a window, each with the time at which it ended.
    before: VecDeque<(Micros, Vec<Rank>)>,
    out: Vec<(Rank, BudgetMessage)>,
}

/// Members that may lend: this one, and those that are alive or suspected.
fn living(view: &MembershipView) -> Vec<Rank> {
    let there = |(rank, fact): &(usize, &MemberView)| {
        *rank == usize::from(view.own) || matches!(fact.state, State::Alive | State::Suspect)
    };
    view.members.iter().enumerate().filter(there).map(|(rank, _)| rank as Rank).collect()
}

/// The member that lends a tenant's budget; `None` if `living` is empty.
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
    /// Budgets without any lease. Serials begin at a random number, so that those of an earlier process match
    /// nothing.
    pub fn new(own: Rank, seed: u64, now: Micros) -> Self {
        Self {
            own,
            serial: fastrand::Rng::with_seed(seed).u64(1..u64::MAX / 2),
            accounts: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            since: now,
            living: vec![own],
            before: VecDeque::new(),
            out: Vec::new(),
        }
    }

    /// Records a change of the set of living members.
    fn update_living(&mut self, now: Micros, view: &MembershipView) {
        let living = living(view);
        if living != self.living {
            self.before.push_back((now, std::mem::replace(&mut self.living, living)));
        }
        let old = |until: Micros| now >= until.saturating_add(WINDOW);
        while self.before.front().is_some_and(|(until, _)| old(*until)) || self.before.len() > MAX_CHANGES {
            if let Some((until, _)) = self.before.pop_front() {
                self.since = self.since.max(if old(until) { self.since } else { until });
            }
        }
    }

    /// For how long this sender has been the lender of a tenant's budget, as far as it knows.
    fn tenure(&self, now: Micros, tenant: &str) -> Micros {
        let others = self.before.iter().filter(|(_, living)| lender(tenant, living) != Some(self.own));
        now.saturating_sub(others.map(|(until, _)| *until).max().unwrap_or(0).max(self.since))
    }

    /// Takes the messages queued since the last call. Each is delivered once or never.
    pub fn take_messages(&mut self) -> Vec<(Rank, BudgetMessage)> {
        std::mem::take(&mut self.out)
    }

    /// The amount of a tenant's budget that is left at this sender.
    pub fn remaining(&self, now: Micros, tenant: &str) -> Cost {
        let leases = self.accounts.get(tenant).into_iter().flat_map(|account| &account.leases);
        let live = leases.filter(|lease| now < lease.until);
        live.fold(Cost::default(), |sum, lease| sum.plus(lease.left))
    }

    /// Checks that the leases here cover a query of that cost; if they don't, or soon won't, requests another
    /// lease.
    ///
    /// # Errors
    /// Says when there may be enough, and what is short.
    pub fn reserve(
        &mut self,
        now: Micros,
        view: &MembershipView,
        tenant: &str,
        plan: &Plan,
        cost: Cost,
    ) -> Result<(), Insufficient> {
        let left = self.remaining(now, tenant);
        let lasts = self.remaining(now.saturating_add(LEASE_TIME / 4), tenant);
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.touched = now;
        }
        if !lasts.covers(cost) {
            // A lease that expires soon is replaced before queries have to wait for it.
            let asked = self.borrow(now, view, tenant, plan, cost.minus(lasts));
            if !self.remaining(now, tenant).covers(cost) {
                let reason = if left.queries < cost.queries { Reason::Queries } else { Reason::Budget };
                return Err(Insufficient { after: asked, reason });
            }
        }
        Ok(())
    }

    /// Requests a lease that covers the need, unless one was just requested. Returns when it may arrive,
    /// microseconds from now.
    fn borrow(
        &mut self,
        now: Micros,
        view: &MembershipView,
        tenant: &str,
        plan: &Plan,
        need: Cost,
    ) -> Micros {
        let known = self.accounts.contains_key(tenant);
        if tenant.len() > MAX_NAME_LEN || (!known && self.accounts.len() >= MAX_TENANTS) {
            return LEASE_TIME;
        }
        self.update_living(now, view);
        let Some(to) = lender(tenant, &self.living) else { return REQUEST_INTERVAL };
        let account = self.accounts.entry(tenant.to_owned()).or_default();
        account.touched = now;
        account.leases.retain(|lease| now < lease.until);
        if now < account.short_until {
            return account.short_until - now;
        }
        if account.asked.is_some_and(|(_, at)| now < at.saturating_add(REQUEST_INTERVAL)) {
            return REQUEST_INTERVAL;
        }
        self.serial = self.serial.wrapping_add(1);
        let serial = self.serial;
        account.asked = Some((serial, now));
        // Asks for as much again as was used since the last lease, plus a hundredth of the budget, to save
        // requests.
        let wanted = need.plus(account.used).plus(Cost::of_plan(plan).part(1, 100));
        account.used = Cost::default();
        if to == self.own {
            let (cost, after) = self.grant(now, view, to, tenant, serial, (need, wanted), plan);
            self.accept_grant(now, tenant, serial, cost, after);
        } else {
            let tenant = tenant.to_owned();
            self.out.push((to, BudgetMessage::Request { tenant, serial, cost: need, wanted }));
        }
        let until = self.accounts.get(tenant).map_or(0, |account| account.short_until);
        until.saturating_sub(now).max(REQUEST_INTERVAL)
    }

    /// Checks whether there is enough for a query of that cost, or may be once it is requested. Sends no
    /// request.
    ///
    /// # Errors
    /// Says when there may be enough, and what is short.
    pub fn check(&self, now: Micros, tenant: &str, cost: Cost) -> Result<(), Insufficient> {
        let left = self.remaining(now, tenant);
        let until = self.accounts.get(tenant).map_or(0, |account| account.short_until);
        if left.covers(cost) || now >= until {
            return Ok(());
        }
        let reason = if left.queries < cost.queries { Reason::Queries } else { Reason::Budget };
        Err(Insufficient { after: until - now, reason })
    }

    /// Charges a query's cost to the leases here.
    ///
    /// # Errors
    /// Says what is short; [`Budgets::reserve`] requests it.
    pub fn charge(&mut self, now: Micros, tenant: &str, cost: Cost) -> Result<Charge, Insufficient> {
        let left = self.remaining(now, tenant);
        if !left.covers(cost) {
            let reason = if left.queries < cost.queries { Reason::Queries } else { Reason::Budget };
            return Err(Insufficient { after: REQUEST_INTERVAL, reason });
        }
        let mut charge = Charge { tenant: tenant.to_owned(), taken: Vec::new() };
        let Some(account) = self.accounts.get_mut(tenant) else { return Ok(charge) };
        account.used = account.used.plus(cost);
        account.leases.sort_by_key(|lease| lease.until);
        let mut rest = cost;
        for lease in account.leases.iter_mut().filter(|lease| now < lease.until) {
            let taken = lease.left.min(rest);
            if taken != Cost::default() {
                (lease.left, rest) = (lease.left.minus(taken), rest.minus(taken));
                charge.taken.push((lease.serial, taken));
            }
        }
        Ok(charge)
    }

    /// Settles the charge of a query that has ended: what it did not use goes back to its leases unless they
    /// have expired; what it used beyond its charge is taken from the leases that are held.
    pub fn settle(&mut self, now: Micros, charge: Charge, used: Cost) {
        let Some(account) = self.accounts.get_mut(&charge.tenant) else { return };
        let all = charge.taken.iter().fold(Cost::default(), |sum, (_, taken)| sum.plus(*taken));
        let mut over = all.minus(used);
        // Use beyond the charge reduces what later queries have, as far as there is anything left.
        let mut more = used.minus(all);
        account.used = account.used.plus(more);
        for lease in account.leases.iter_mut().filter(|lease| now < lease.until) {
            let taken = lease.left.min(more);
            (lease.left, more) = (lease.left.minus(taken), more.minus(taken));
        }
        account.used = account.used.minus(over);
        for (serial, taken) in charge.taken {
            let back = taken.min(over);
            over = over.minus(back);
            let live = account.leases.iter_mut().find(|lease| lease.serial == serial && now < lease.until);
            if let Some(lease) = live {
                lease.left = lease.left.plus(back);
            }
        }
    }

    /// Handles a grant, which may be of nothing.
    fn accept_grant(&mut self, now: Micros, tenant: &str, serial: u64, cost: Cost, after: Micros) {
        let Some(account) = self.accounts.get_mut(tenant) else { return };
        let Some((_, at)) = account.asked.take_if(|(asked, _)| *asked == serial) else { return };
        let until = at.saturating_add(LEASE_TIME);
        if after > 0 {
            account.short_until = now.saturating_add(after.min(WINDOW));
        }
        if cost != Cost::default() && now < until && account.leases.len() < MAX_LEASES {
            account.leases.push(Lease { serial, left: cost, until });
        }
    }

    /// Grants what may be granted; nothing if this sender is not the lender by its own membership view.
    #[expect(clippy::too_many_arguments, reason = "the fields of a request, and what decides on it")]
    fn grant(
        &mut self,
        now: Micros,
        view: &MembershipView,
        to: Rank,
        tenant: &str,
        serial: u64,
        (need, wanted): (Cost, Cost),
        plan: &Plan,
    ) -> (Cost, Micros) {
        let known = self.ledgers.contains_key(tenant);
        self.update_living(now, view);
        if lender(tenant, &self.living) != Some(self.own) || (!known && self.ledgers.len() >= MAX_TENANTS) {
            return (Cost::default(), 0);
        }
        let tenure = self.tenure(now, tenant);
        let ledger = self.ledgers.entry(tenant.to_owned()).or_default();
        ledger.expire_loans(now);
        if let Some(before) = ledger.loans.iter().rev().find(|loan| loan.to == to && loan.serial == serial) {
            return (before.cost, 0);
        }
        let mut budget = Cost::of_plan(plan);
        if view.minority {
            let there = |state| matches!(state, State::Alive | State::Suspect);
            let living = view.members.iter().filter(|fact| there(fact.state)).count().max(1);
            budget = budget.part(living as u64, view.members.len() as u64);
        }
        if tenure < WINDOW {
            budget = budget.part(tenure.max(WINDOW / FIRST_PART), WINDOW);
        }
        let left = budget.minus(ledger.granted);
        if !left.covers(need) || ledger.loans.len() >= MAX_PIECES {
            let first = ledger
                .loans
                .front()
                .map_or(WINDOW / FIRST_PART, |loan| (loan.at.saturating_add(WINDOW)).saturating_sub(now));
            // While the amount that may be granted grows, there is more before the first loan leaves the
            // window.
            let after = if tenure < WINDOW { first.min(REQUEST_INTERVAL * 5) } else { first };
            return (Cost::default(), after.max(REQUEST_INTERVAL));
        }
        let cost = wanted.min(left);
        ledger.loans.push_back(Loan { at: now, to, serial, cost });
        ledger.granted = ledger.granted.plus(cost);
        (cost, 0)
    }

    /// Handles a message of another sender. `plan` gives a tenant's plan at this sender.
    pub fn receive(
        &mut self,
        now: Micros,
        view: &MembershipView,
        from: Rank,
        message: BudgetMessage,
        plan: impl Fn(&str) -> Plan,
    ) {
        match message {
            BudgetMessage::Request { tenant, serial, cost, wanted } => {
                if tenant.len() > MAX_NAME_LEN {
                    return;
                }
                let plan = plan(&tenant);
                let (cost, after) = self.grant(now, view, from, &tenant, serial, (cost, wanted), &plan);
                self.out.push((from, BudgetMessage::Grant { tenant, serial, cost, after }));
            }
            BudgetMessage::Grant { tenant, serial, cost, after } => {
                self.accept_grant(now, &tenant, serial, cost, after)
            }
            BudgetMessage::Return { tenant, serial, cost } => {
                if let Some(ledger) = self.ledgers.get_mut(&tenant) {
                    ledger.take_back(from, serial, cost);
                }
            }
        }
    }

    /// Periodic work: returns leases that are not used, and forgets what has expired.
    pub fn tick(&mut self, now: Micros, view: &MembershipView) {
        self.update_living(now, view);
        for (tenant, account) in &mut self.accounts {
            account.leases.retain(|lease| now < lease.until);
            if now < account.touched.saturating_add(LEASE_TIME / 2) {
                continue;
            }
            let to = lender(tenant, &self.living);
            for Lease { serial, left: cost, .. } in account.leases.drain(..) {
                match to {
                    Some(to) if to == self.own => {
                        let ledger = self.ledgers.get_mut(tenant);
                        ledger.into_iter().for_each(|ledger| ledger.take_back(to, serial, cost));
                    }
                    Some(to) if cost != Cost::default() => {
                        self.out.push((to, BudgetMessage::Return { tenant: tenant.clone(), serial, cost }));
                    }
                    _ => {}
                }
            }
        }
        let idle = |account: &BorrowerAccount| {
            now >= account.touched.saturating_add(WINDOW) && now >= account.short_until
        };
        self.accounts.retain(|_, account| !idle(account));
        self.ledgers.values_mut().for_each(|ledger| ledger.expire_loans(now));
        self.ledgers.retain(|_, ledger| !ledger.loans.is_empty());
    }
}

impl Ledger {
    fn expire_loans(&mut self, now: Micros) {
        while let Some(loan) = self.loans.front().filter(|loan| now >= loan.at.saturating_add(WINDOW)) {
            self.granted = self.granted.minus(loan.cost);
            self.loans.pop_front();
        }
    }

    fn take_back(&mut self, from: Rank, serial: u64, cost: Cost) {
        if let Some(loan) = self.loans.iter_mut().find(|loan| loan.to == from && loan.serial == serial) {
            let back = loan.cost.min(cost);
            loan.cost = loan.cost.minus(back);
            self.granted = self.granted.minus(back);
        }
    }
}
