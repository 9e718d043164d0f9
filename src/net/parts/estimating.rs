//! Estimates at the running sender: there where the status index is. `myrtleyard::estimate` is the estimator itself.

use std::collections::BTreeMap;

use myrtleyard::channel::SEGMENT;
use myrtleyard::estimate::estimator::{Estimator, Told};
use myrtleyard::estimate::learned::{Basis, Touched};
use myrtleyard::interface::Micros;
use myrtleyard::membership::tier_of;
use myrtleyard::status::query::Answer;
use myrtleyard::status::{self, Query};
use serde_json::{Value, json};

use super::super::config::Config;
use super::indexing::Indexing;
use super::view::View;
use super::{Out, Part};

/// The longest that a query may take, microseconds: all calls there are answered within a second.
const WITHIN: Micros = 800_000;

/// Queries under way at most whose answers are learned from.
const MOST_UNDER_WAY: usize = 256;

/// The part.
pub struct Estimating {
    /// The estimator.
    pub core: Estimator,
    /// What was said of queries that are under way.
    under_way: BTreeMap<u64, Basis>,
    /// Its next call, so that it looks at the view each time.
    due: Micros,
}

impl Estimating {
    /// As the configuration has it; nothing without the section `status`.
    pub fn open(config: &Config, now: Micros) -> Option<Self> {
        let (section, membership) = (config.status.as_ref()?, config.membership.as_ref()?);
        let (own, tier) = (config.rank()?, tier_of(&membership.tier));
        let span = Micros::from(section.span_s) * 1_000_000;
        let plans = config.plans.clone().unwrap_or_default();
        let core = Estimator::new(own, config.peers.len(), tier, span, plans, config.seed, now);
        Some(Self { core, under_way: BTreeMap::new(), due: now })
    }

    /// The configuration has changed.
    pub fn adopt(&mut self, config: &Config) {
        self.core.adopt(config.plans.clone().unwrap_or_default());
    }

    /// Takes the view as it is now, and has own shards summarised, each when it is time.
    pub fn look(&mut self, now: Micros, view: Option<&View>, mut indexing: Option<&mut Indexing>) {
        for (number, answer) in indexing.iter_mut().flat_map(|part| part.answered.drain(..)) {
            self.answered(number, &answer);
        }
        if now < self.due && !self.core.makes(now) {
            return;
        }
        view.into_iter().for_each(|view| self.core.look(view.facts(now)));
        if let Some(index) = indexing.map(|indexing| &indexing.core).filter(|_| self.core.makes(now)) {
            self.core.summarise(now, now, (index.own_log(), index.last()), || index.own_entries());
        }
    }

    /// A query is under way; what its answer takes is learned from.
    pub fn asked(&mut self, number: u64, basis: Basis) {
        if self.under_way.len() < MOST_UNDER_WAY {
            self.under_way.insert(number, basis);
        }
    }

    /// Has the part called at once: a budget was asked for.
    pub fn wake(&mut self, now: Micros) {
        self.due = now;
    }

    /// It was answered. A partial answer tells nothing of what a whole one takes.
    fn answered(&mut self, number: u64, answer: &Answer) {
        let Some(basis) = self.under_way.remove(&number).filter(|_| !answer.partial) else { return };
        let sum = |of: fn(&status::query::Touched) -> u64| answer.touched.iter().map(of).sum::<u64>();
        let wire = sum(|touched| touched.wire_bytes);
        // In the order of `Figure`; datagrams as their bytes tell.
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

    /// What a query will touch, and what would become of it. The sender's clock is Unix time.
    pub fn told(&self, now: Micros, query: &Query) -> Told {
        self.core.told(now, now, query, WITHIN)
    }
}

impl Part for Estimating {
    fn due(&self) -> Option<Micros> {
        Some(self.due.min(self.core.due()))
    }

    fn tick(&mut self, now: Micros, out: &mut Out) {
        self.core.tick(now, out);
        self.due = now + 1_000_000;
    }

    fn datagram(&mut self, now: Micros, from: u16, bytes: &[u8], out: &mut Out) -> bool {
        let own = self.core.claims(bytes);
        if own {
            self.core.receive(now, from, bytes);
            self.core.flush(now, out);
        }
        own
    }

    fn report(&self, now: Micros) -> Value {
        let (told, datagrams) = self.core.traffic();
        let owners: Vec<Value> = self.core.known.all().map(|held| {
            let catalogue = &held.catalogue;
            json!({"owner": catalogue.log.owner, "upto": catalogue.version.upto, "age_ms": held.age(now) / 1000,
                   "spans": catalogue.spans.len(), "summaries": held.summaries.len(), "over": held.over.is_some()})
        }).collect();
        json!({"owners": owners, "bytes": self.core.known.bytes(), "gossip": told, "datagrams": datagrams,
               "queries": self.core.counts})
    }
}
