//! Reads by a tenant's plan: how fresh an answer has to be, what it may cost, and which sender gives it. Read-your-writes
//! is a feature of the plan. Here are the words; the rooms below hold tokens and routing. No I/O.

pub mod adopted;
pub mod limits;
pub mod route;
pub mod session;
pub mod token;

use serde::{Deserialize, Serialize};

/// How fresh a tenant's reads are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Whatever is nearest, with its age.
    #[default]
    Any,
    /// Not older than `staleness_ms`.
    Bounded,
    /// Read-your-writes and monotonic reads, by tokens.
    Session,
}

impl Level {
    /// As in the configuration.
    pub fn name(self) -> &'static str {
        match self {
            Self::Any => "any",
            Self::Bounded => "bounded",
            Self::Session => "session",
        }
    }
}

/// What becomes of a read that can't have its level within `wait_ms`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fallback {
    /// It is refused, and says what is missing.
    #[default]
    Refuse,
    /// It is answered with what there is, and says that it is less.
    TellStale,
}

/// One tenant's plan. The section `plans` holds one for each tenant by name, and `default`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// How fresh reads are.
    #[serde(default)]
    pub level: Level,
    /// For `bounded`: answers are not older, milliseconds.
    #[serde(default = "staleness")]
    pub staleness_ms: u32,
    /// How long a read may wait for a sender to catch up, milliseconds; the answer is due within 1 s.
    #[serde(default = "wait")]
    pub wait_ms: u32,
    /// What becomes of it then.
    #[serde(default, rename = "or")]
    pub otherwise: Fallback,
    /// Reads a second at one sender.
    #[serde(default = "reads")]
    pub reads_per_s: u32,
    /// Queries a minute at the whole fleet.
    #[serde(default = "queries")]
    pub queries_per_min: u32,
    /// Shards that one query may touch.
    #[serde(default = "shards")]
    pub shards: u32,
    /// Bytes that all queries of a minute may read at the whole fleet.
    #[serde(default = "bytes")]
    pub bytes_per_min: u64,
}

/// Bounds of `wait_ms`.
pub const WAIT_MS: (u32, u32) = (0, 800);
/// Bounds of `staleness_ms`.
pub const STALENESS_MS: (u32, u32) = (10, 3_600_000);
/// Plans at most.
pub const MAX_PLANS: usize = 256;

fn staleness() -> u32 {
    5_000
}

fn wait() -> u32 {
    300
}

fn reads() -> u32 {
    50
}

fn queries() -> u32 {
    600
}

fn shards() -> u32 {
    4_096
}

fn bytes() -> u64 {
    64 << 20
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            level: Level::Any,
            staleness_ms: staleness(),
            wait_ms: wait(),
            otherwise: Fallback::Refuse,
            reads_per_s: reads(),
            queries_per_min: queries(),
            shards: shards(),
            bytes_per_min: bytes(),
        }
    }
}

/// The section `plans`: each tenant's by name, and `default` for the others. It needs `status`.
pub type Config = std::collections::BTreeMap<String, Plan>;
