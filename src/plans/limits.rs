//! The plans of tenants, what they permit, and the limit of reads per second at one sender. Rates are
//! enforced by the generic cell rate algorithm (ITU-T I.371): one time per tenant, and none for an idle
//! tenant.

use std::collections::BTreeMap;

use serde::Serialize;

use super::session::{Outcome, Verdict};
use super::token::{Token, TokenError};
use super::{Config, Level, Plan};
use crate::coded_error;
use crate::error_code::CodedError;
use crate::interface::Micros;

/// Maximum number of tenants with a rate and counters of their own.
pub const MAX_TENANTS: usize = 1_024;
/// Tenants beyond the maximum share the rate and counters of this name. No tenant has this name.
pub const OTHERS: &str = "(others)";
/// The plan of tenants that have none of their own.
pub const DEFAULT: &str = "default";
/// The reads of one second may come at once, microseconds.
const BURST: Micros = 1_000_000;

/// Why a read is rejected before it begins.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// It has a session token, but its plan has no sessions.
    #[error("plan {plan} has level {level}: reads with a session token need level session")]
    NoSession {
        /// The plan by its key in the section `plans`.
        plan: String,
        /// Its level.
        level: &'static str,
    },
    /// Its token cannot be decoded.
    #[error("{0}")]
    Token(#[from] TokenError),
    /// The tenant's reads of this second at this sender are used up.
    #[error("plan {plan} allows {reads_per_s} reads per second; retry in {after_ms} ms")]
    Rate {
        /// The plan by its key in the section `plans`.
        plan: String,
        /// Its rate.
        reads_per_s: u32,
        /// When the next read is possible, milliseconds.
        after_ms: u64,
    },
    /// The tenant's budget of this minute for the whole fleet is used up or leased to other senders.
    #[error(
        "the {what} that plan {plan} allows in this minute are used up or leased to other senders; \
         retry in {after_ms} ms"
    )]
    Later {
        /// The plan by its key in the section `plans`.
        plan: String,
        /// Queries or bytes.
        what: &'static str,
        /// When budget may be available again, milliseconds.
        after_ms: u64,
    },
    /// It may touch more shards than a read is allowed.
    #[error("the read may touch {most} shards, and plan {plan} allows {allowed}")]
    Shards {
        /// The plan by its key in the section `plans`.
        plan: String,
        /// The number of shards that it may touch.
        most: u64,
        /// The number allowed.
        allowed: u32,
    },
    /// It may read more bytes than are allowed in a whole minute.
    #[error("the read may take {most} bytes, and plan {plan} allows {allowed} per minute")]
    Bytes {
        /// The plan by its key in the section `plans`.
        plan: String,
        /// The number of bytes that it may read.
        most: u64,
        /// The number allowed for all reads of a minute.
        allowed: u64,
    },
}

impl Denied {
    /// The stable error code.
    pub fn code(&self) -> &'static str {
        CodedError::code(self)
    }

    /// What an operator can do.
    pub fn remedy(&self) -> &'static str {
        CodedError::remedy(self)
    }

    /// When the read may be retried, milliseconds; none if waiting alone does not help.
    pub fn again_ms(&self) -> Option<u64> {
        match self {
            Self::Rate { after_ms, .. } | Self::Later { after_ms, .. } => Some(*after_ms),
            _ => None,
        }
    }
}

coded_error! { Denied {
    NoSession => "plan_no_session",
        "read without a token, or give the tenant a plan with level session and send SIGHUP";
    Rate => "plan_rate", "have the tenant read less often, or raise reads_per_s and send SIGHUP";
    Later => "plan_later", "wait for again_ms, or raise queries_per_min or bytes_per_min and send SIGHUP";
    Shards => "plan_shards", "ask for ids or a shorter time, or raise shards and send SIGHUP";
    Bytes => "plan_bytes", "ask for ids or a shorter time, or raise bytes_per_min and send SIGHUP";
    ..Token;
} }

/// Counters of one tenant's reads at one level, since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Reads that met the plan.
    pub kept: u64,
    /// Reads answered with less, which the answer stated.
    pub less: u64,
    /// Reads refused because the answer would have been less.
    pub refused: u64,
    /// Reads rejected before they began: no session in the plan, an invalid token, too many reads, or too
    /// large a read.
    pub denied: u64,
    /// Logs read here.
    pub here: u64,
    /// Requests to other senders.
    pub asked: u64,
    /// Number of times that a log had to wait.
    pub waits: u64,
    /// Logs reported as late.
    pub late: u64,
    /// Logs reported as lost.
    pub lost: u64,
}

/// What a finished read adds to the counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Logs read here.
    pub here: u64,
    /// Requests to other senders.
    pub asked: u64,
    /// Number of times that a log had to wait.
    pub waits: u64,
}

/// The plans of all tenants, and counters of their reads at this sender.
#[derive(Debug, Default)]
pub struct Plans {
    config: Config,
    fallback: Plan,
    /// When a tenant's bucket is full again; a tenant without an entry has a full one.
    full_at: BTreeMap<String, Micros>,
    counts: BTreeMap<(String, Level), Counts>,
}

impl Plans {
    /// Plans from the section of the settings.
    pub fn new(config: Config) -> Self {
        Self { config, ..Self::default() }
    }

    /// Applies a changed section. Reads in progress keep the plan with which they began; rates continue.
    pub fn adopt(&mut self, config: Config) {
        self.config = config;
    }

    /// A tenant's plan, with its key.
    pub fn of<'a>(&'a self, tenant: &'a str) -> (&'a str, &'a Plan) {
        let own = self.config.get(tenant).filter(|_| tenant != DEFAULT).map(|plan| (tenant, plan));
        own.unwrap_or_else(|| (DEFAULT, self.config.get(DEFAULT).unwrap_or(&self.fallback)))
    }

    /// Whether a tenant's 202 answers carry a token.
    pub fn entitled(&self, tenant: &str) -> bool {
        self.of(tenant).1.level == Level::Session
    }

    /// Admits a read; returns its plan and its decoded token.
    ///
    /// # Errors
    /// The reason why it is rejected. A read that is rejected because of its plan or token is not charged to
    /// the rate.
    pub fn admit(
        &mut self,
        tenant: &str,
        token: Option<&str>,
        tier: u32,
        now: Micros,
    ) -> Result<(Plan, Token), Denied> {
        let (name, plan) = self.of(tenant);
        let (name, plan) = (name.to_owned(), plan.clone());
        let admitted = match token {
            Some(_) if plan.level != Level::Session => {
                Err(Denied::NoSession { plan: name, level: plan.level.name() })
            }
            Some(text) => Token::read(text, tier).map_err(Denied::from),
            None => Ok(Token::default()),
        };
        let admitted = admitted.and_then(|token| {
            self.charge(tenant, plan.reads_per_s, now).map_err(|after| {
                let (plan, after_ms) = (self.of(tenant).0.to_owned(), after.div_ceil(1000));
                Denied::Rate { plan, reads_per_s: self.of(tenant).1.reads_per_s, after_ms }
            })?;
            Ok(token)
        });
        if admitted.is_err() {
            self.count(tenant, plan.level).denied += 1;
        }
        admitted.map(|token| (plan, token))
    }

    fn charge(&mut self, tenant: &str, reads_per_s: u32, now: Micros) -> Result<(), Micros> {
        let interval = (BURST / Micros::from(reads_per_s.max(1))).max(1);
        if !self.full_at.contains_key(tenant) && self.full_at.len() >= MAX_TENANTS {
            // Idle tenants need no entry.
            self.full_at.retain(|_, full_at| *full_at > now);
        }
        let known = self.full_at.contains_key(tenant) || self.full_at.len() < MAX_TENANTS;
        let full_at = self.full_at.entry(if known { tenant } else { OTHERS }.to_owned()).or_default();
        // A clock that stepped back must not block a tenant for longer than a burst.
        *full_at = (*full_at).clamp(now, now.saturating_add(BURST));
        let after = full_at.saturating_add(interval);
        if after > now.saturating_add(BURST) {
            return Err(after - now - BURST);
        }
        *full_at = after;
        Ok(())
    }

    /// Counts an admitted read that is not run because of its estimated cost.
    pub fn denied(&mut self, tenant: &str) {
        let level = self.of(tenant).1.level;
        self.count(tenant, level).denied += 1;
    }

    fn count(&mut self, tenant: &str, level: Level) -> &mut Counts {
        let key = (tenant.to_owned(), level);
        let known = self.counts.contains_key(&key) || self.counts.len() < MAX_TENANTS;
        self.counts.entry(if known { key } else { (OTHERS.to_owned(), level) }).or_default()
    }

    /// Counts a read that has ended.
    pub fn ended(
        &mut self,
        tenant: &str,
        level: Level,
        outcome: Outcome,
        verdicts: impl Iterator<Item = Verdict>,
        tally: Tally,
    ) {
        let counts = self.count(tenant, level);
        match outcome {
            Outcome::Kept => counts.kept += 1,
            Outcome::Less => counts.less += 1,
            Outcome::Refused => counts.refused += 1,
        }
        counts.here += tally.here;
        counts.asked += tally.asked;
        counts.waits += tally.waits;
        for verdict in verdicts {
            match verdict {
                Verdict::Late => counts.late += 1,
                Verdict::Lost => counts.lost += 1,
                Verdict::Kept | Verdict::NotTouched => {}
            }
        }
    }

    /// Counters by tenant and level.
    pub fn counts(&self) -> impl Iterator<Item = (&str, Level, &Counts)> {
        self.counts.iter().map(|((tenant, level), counts)| (tenant.as_str(), *level, counts))
    }

    /// The plans in force, by their keys.
    pub fn in_force(&self) -> impl Iterator<Item = (&str, &Plan)> {
        self.config.iter().map(|(name, plan)| (name.as_str(), plan))
    }
}
