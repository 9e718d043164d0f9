//! Whose plan it is, what it entitles to, and how many reads a second it bears at one sender. Rates are held by the
//! generic cell rate algorithm (ITU-T I.371): one time per tenant, and a tenant at rest needs none.

use std::collections::BTreeMap;

use serde::Serialize;

use super::session::{Outcome, Verdict};
use super::token::{Token, TokenError};
use super::{Config, Level, Plan};
use crate::coded_error;
use crate::error_code::CodedError;
use crate::interface::Micros;

/// Tenants whose rate and counts are kept at most.
pub const MAX_TENANTS: usize = 1_024;
/// Whoever does not fit shares this one's rate and counts. No tenant is called so.
pub const OTHERS: &str = "(others)";
/// The plan of those that have none of their own.
pub const DEFAULT: &str = "default";
/// A second's reads may come at once, microseconds.
const BURST: Micros = 1_000_000;

/// Why a read is not begun.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// It came with a token, and its plan has no sessions.
    #[error("plan {plan} has level {level}: reads with a session token need level session")]
    NoSession {
        /// The plan by its key in the section `plans`.
        plan: String,
        /// Its level.
        level: &'static str,
    },
    /// Its token can't be read.
    #[error("{0}")]
    Token(#[from] TokenError),
    /// The tenant's reads of this second are used up at this sender.
    #[error("plan {plan} allows {reads_per_s} reads a second; the next one in {after_ms} ms")]
    Rate {
        /// The plan by its key in the section `plans`.
        plan: String,
        /// Its rate.
        reads_per_s: u32,
        /// When there is room again, milliseconds.
        after_ms: u64,
    },
    /// The tenant's budget of this minute is used up or lent elsewhere, at the whole fleet.
    #[error("the {what} of this minute that plan {plan} allows are used up or lent; again in {after_ms} ms")]
    Later {
        /// The plan by its key in the section `plans`.
        plan: String,
        /// Queries or bytes.
        what: &'static str,
        /// When there may be room again, milliseconds.
        after_ms: u64,
    },
    /// It may touch more shards than a read may.
    #[error("the read may touch {most} shards, and plan {plan} allows {allowed}")]
    Shards {
        /// The plan by its key in the section `plans`.
        plan: String,
        /// What it may touch.
        most: u64,
        /// What it may.
        allowed: u32,
    },
    /// It may read more bytes than a whole minute has.
    #[error("the read may take {most} bytes, and plan {plan} allows {allowed} a minute")]
    Bytes {
        /// The plan by its key in the section `plans`.
        plan: String,
        /// What it may read.
        most: u64,
        /// What all reads of a minute may.
        allowed: u64,
    },
}

impl Denied {
    /// A stable name.
    pub fn code(&self) -> &'static str {
        CodedError::code(self)
    }

    /// What an operator can do.
    pub fn remedy(&self) -> &'static str {
        CodedError::remedy(self)
    }

    /// When it may be asked again, milliseconds; nothing if that alone does not help.
    pub fn again_ms(&self) -> Option<u64> {
        match self {
            Self::Rate { after_ms, .. } | Self::Later { after_ms, .. } => Some(*after_ms),
            _ => None,
        }
    }
}

coded_error! { Denied {
    NoSession => "plan_no_session", "read without a token, or give the tenant a plan with level session and send SIGHUP";
    Rate => "plan_rate", "have the tenant read less often, or raise reads_per_s and send SIGHUP";
    Later => "plan_later", "wait for again_ms, or raise queries_per_min or bytes_per_min and send SIGHUP";
    Shards => "plan_shards", "ask for ids or a shorter time, or raise shards and send SIGHUP";
    Bytes => "plan_bytes", "ask for ids or a shorter time, or raise bytes_per_min and send SIGHUP";
    ..Token;
} }

/// Counts of one tenant's reads at one level, since the process began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Worth what the plan says.
    pub kept: u64,
    /// Less, and told so.
    pub less: u64,
    /// Refused, since it would have been less.
    pub refused: u64,
    /// Not begun: no session in the plan, an unreadable token, too many, or too large.
    pub denied: u64,
    /// Logs read here.
    pub here: u64,
    /// Questions to other senders.
    pub asked: u64,
    /// Times that a log had to wait.
    pub waits: u64,
    /// Logs told as late.
    pub late: u64,
    /// Logs told as lost.
    pub lost: u64,
}

/// What a read that has ended adds to the counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Logs read here.
    pub here: u64,
    /// Questions to other senders.
    pub asked: u64,
    /// Times that a log had to wait.
    pub waits: u64,
}

/// All tenants' plans and what has become of their reads at this sender.
#[derive(Debug, Default)]
pub struct Plans {
    config: Config,
    fallback: Plan,
    /// When a tenant's bucket is full again; who is not in it, has a full one.
    full_at: BTreeMap<String, Micros>,
    counts: BTreeMap<(String, Level), Counts>,
}

impl Plans {
    /// With the section as it is.
    pub fn new(config: Config) -> Self {
        Self { config, ..Self::default() }
    }

    /// The section has changed. Reads under way keep what they began with; rates count on.
    pub fn adopt(&mut self, config: Config) {
        self.config = config;
    }

    /// A tenant's plan, with its key.
    pub fn of<'a>(&'a self, tenant: &'a str) -> (&'a str, &'a Plan) {
        let own = self.config.get(tenant).filter(|_| tenant != DEFAULT).map(|plan| (tenant, plan));
        own.unwrap_or_else(|| (DEFAULT, self.config.get(DEFAULT).unwrap_or(&self.fallback)))
    }

    /// Whether a tenant's 202 carries a token.
    pub fn entitled(&self, tenant: &str) -> bool {
        self.of(tenant).1.level == Level::Session
    }

    /// Lets a read begin: its plan, and its token as read.
    ///
    /// # Errors
    /// Tells why it does not begin; its rate is not charged for what its plan or its token keeps back.
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
        let each = (BURST / Micros::from(reads_per_s.max(1))).max(1);
        if !self.full_at.contains_key(tenant) && self.full_at.len() >= MAX_TENANTS {
            // Who is at rest needs no place.
            self.full_at.retain(|_, full_at| *full_at > now);
        }
        let known = self.full_at.contains_key(tenant) || self.full_at.len() < MAX_TENANTS;
        let full_at = self.full_at.entry(if known { tenant } else { OTHERS }.to_owned()).or_default();
        // A clock that stepped back must not keep anybody waiting for longer than a burst.
        *full_at = (*full_at).clamp(now, now.saturating_add(BURST));
        let after = full_at.saturating_add(each);
        if after > now.saturating_add(BURST) {
            return Err(after - now - BURST);
        }
        *full_at = after;
        Ok(())
    }

    /// A read that was let begin is not run, by what it would cost.
    pub fn denied(&mut self, tenant: &str) {
        let level = self.of(tenant).1.level;
        self.count(tenant, level).denied += 1;
    }

    fn count(&mut self, tenant: &str, level: Level) -> &mut Counts {
        let key = (tenant.to_owned(), level);
        let known = self.counts.contains_key(&key) || self.counts.len() < MAX_TENANTS;
        self.counts.entry(if known { key } else { (OTHERS.to_owned(), level) }).or_default()
    }

    /// A read has ended.
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

    /// Counts by tenant and level.
    pub fn counts(&self) -> impl Iterator<Item = (&str, Level, &Counts)> {
        self.counts.iter().map(|((tenant, level), counts)| (tenant.as_str(), *level, counts))
    }

    /// The plans in force, by their keys.
    pub fn in_force(&self) -> impl Iterator<Item = (&str, &Plan)> {
        self.config.iter().map(|(name, plan)| (name.as_str(), plan))
    }
}
