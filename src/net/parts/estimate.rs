//! Cost estimates in the running sender; enabled together with the status index. `myrtleyard::estimate` is
//! the estimator itself.

use std::collections::BTreeMap;

use myrtleyard::channel::SEGMENT;
use myrtleyard::estimate::estimator::{Estimator, QueryEstimate};
use myrtleyard::estimate::learned::{Basis, Touched};
use myrtleyard::interface::Micros;
use myrtleyard::membership::tier_of;
use myrtleyard::status::query::Answer;
use myrtleyard::status::{self, Query};
use serde_json::{Value, json};

use super::super::config::Config;
use super::membership::MembershipPart;
use super::status::StatusPart;
use super::{Out, Part};

/// Maximum duration of a query, microseconds: every management call is answered within a second.
const QUERY_TIME_LIMIT: Micros = 800_000;

/// Maximum number of running queries whose answers are learned from.
const MAX_UNDER_WAY: usize = 256;

/// The estimates part.
pub struct EstimatePart {
    /// The estimator.
    pub core: Estimator,
    /// The basis of the predictions for running queries, by query number.
    under_way: BTreeMap<u64, Basis>,
    /// Time of the next call, which also updates the membership view.
    due: Micros,
}

impl EstimatePart {
    /// Creates the part; `None` without the section `status`.
    pub fn open(config: &Config, now: Micros) -> Option<Self> {
        let (section, membership) = (config.status.as_ref()?, config.membership.as_ref()?);
        let (own, tier) = (config.rank()?, tier_of(&membership.tier));
        let span = Micros::from(section.span_s) * 1_000_000;
        let plans = config.plans.clone().unwrap_or_default();
        let core = Estimator::new(own, config.peers.len(), tier, span, plans, config.seed, now);
        Some(Self { core, under_way: BTreeMap::new(), due: now })
    }

    /// Applies a changed configuration.
    pub fn apply_config(&mut self, config: &Config) {
        self.core.adopt(config.plans.clone().unwrap_or_default());
    }

    /// Updates the membership view, and summarizes this sender's own shards when that is due.
    pub fn update_view(
        &mut self,
        now: Micros,
        view: Option<&MembershipPart>,
        mut status_part: Option<&mut StatusPart>,
    ) {
        for (number, answer) in status_part.iter_mut().flat_map(|part| part.answered.drain(..)) {
            self.answered(number, &answer);
        }
        if now < self.due && !self.core.summaries_due(now) {
            return;
        }
        view.into_iter().for_each(|view| self.core.set_view(view.view(now)));
        if let Some(index) =
            status_part.map(|status_part| &status_part.core).filter(|_| self.core.summaries_due(now))
        {
            self.core.summarise(now, now, (index.own_log(), index.last()), || index.own_entries());
        }
    }

    /// A query was started; the estimator learns from the cost of its answer.
    pub fn query_started(&mut self, number: u64, basis: Basis) {
        if self.under_way.len() < MAX_UNDER_WAY {
            self.under_way.insert(number, basis);
        }
    }

    /// Schedules the part's next call at once, because a budget was requested.
    pub fn wake_now(&mut self, now: Micros) {
        self.due = now;
    }

    /// A query was answered. A partial answer is ignored: it says nothing about the cost of a complete one.
    fn answered(&mut self, number: u64, answer: &Answer) {
        let Some(basis) = self.under_way.remove(&number).filter(|_| !answer.partial) else { return };
        let sum = |of: fn(&status::query::Touched) -> u64| answer.touched.iter().map(of).sum::<u64>();
        let wire = sum(|touched| touched.wire_bytes);
        // In the order of `Figure`. The number of datagrams is computed from the bytes.
        let figures = [
            sum(|touched| touched.shards.into()),
            sum(|touched| touched.entries),
            sum(|touched| touched.bytes),
            wire,
            wire.div_ceil(SEGMENT as u64),
            answer.rows.len() as u64,
        ];
        self.core.learned.learn(&basis, &Touched { figures, took: answer.took_us });
        answer.touched.iter().for_each(|touched| self.core.learned.link(touched.server, touched.took_us));
    }

    /// Predicts what a query would touch, and how it would be decided. The sender's clock is Unix time.
    pub fn estimate(&self, now: Micros, query: &Query) -> QueryEstimate {
        self.core.estimate(now, now, query, QUERY_TIME_LIMIT)
    }
}

impl Part for EstimatePart {
    fn due(&self) -> Option<Micros> {
        Some(self.due.min(self.core.due()))
    }

    fn tick(&mut self, now: Micros, out: &mut Out) {
        self.core.tick(now, out);
        self.due = now + 1_000_000;
    }

    fn datagram(&mut self, now: Micros, from: u16, bytes: &[u8], out: &mut Out) -> bool {
        let own = self.core.accepts(bytes);
        if own {
            self.core.receive(now, from, bytes);
            self.core.flush(now, out);
        }
        own
    }

    fn report(&self, now: Micros) -> Value {
        let (gossip, datagrams) = self.core.traffic();
        let owners: Vec<Value> = self
            .core
            .known
            .all()
            .map(|held| {
                let catalogue = &held.catalogue;
                json!({"owner": catalogue.log.owner, "upto": catalogue.version.upto,
                   "age_ms": held.age(now) / 1000, "spans": catalogue.spans.len(),
                   "summaries": held.summaries.len(), "over": held.over.is_some()})
            })
            .collect();
        json!({"owners": owners, "bytes": self.core.known.bytes(), "gossip": gossip, "datagrams": datagrams,
               "queries": self.core.counts})
    }
}
