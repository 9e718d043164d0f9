//! Estimates at the running sender: there where the status index is. `myrtleyard::estimate` is the estimator itself.

use myrtleyard::estimate::estimator::{Estimator, Told};
use myrtleyard::interface::Micros;
use myrtleyard::membership::{Facts, tier_of};
use myrtleyard::status::Query;
use serde_json::{Value, json};

use super::super::config::Config;
use super::{Out, Part};

/// The longest that a query may take, microseconds: all calls there are answered within a second.
const WITHIN: Micros = 800_000;

/// The part.
pub struct Estimating {
    /// The estimator.
    pub core: Estimator,
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
        Some(Self { core, due: now })
    }

    /// The configuration has changed.
    pub fn adopt(&mut self, config: &Config) {
        self.core.adopt(config.plans.clone().unwrap_or_default());
    }

    /// Takes the view as it is now.
    pub fn look(&mut self, facts: Option<Facts>) {
        facts.into_iter().for_each(|facts| self.core.look(facts));
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
