//! Reads according to a tenant's plan: how fresh an answer must be, what it may cost, and which sender gives
//! it. Read-your-writes is a feature of the plan. This module holds the settings of plans; its submodules
//! hold tokens and routing. No I/O.

pub mod adopted;
pub mod limits;
pub mod route;
pub mod session;
pub mod token;

use serde::{Deserialize, Serialize};

/// The freshness of a tenant's reads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// The nearest data, with its age.
    #[default]
    Any,
    /// Not older than `staleness_ms`.
    Bounded,
    /// Read-your-writes and monotonic reads, by session tokens.
    Session,
}

impl Level {
    /// The name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::Any => "any",
            Self::Bounded => "bounded",
            Self::Session => "session",
        }
    }
}

/// What happens to a read that cannot reach its level within `wait_ms`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fallback {
    /// The read is refused; the answer says what is missing.
    #[default]
    Refuse,
    /// The read is answered with the data available, and the answer says that it is less than the level
    /// requires.
    TellStale,
}

/// The plan of a tenant. The section `plans` holds one for each tenant by name, and `default`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The freshness of reads.
    #[serde(default)]
    pub level: Level,
    /// For level `bounded`: maximum age of an answer, milliseconds.
    #[serde(default = "staleness")]
    pub staleness_ms: u32,
    /// How long a read may wait for a sender to catch up, milliseconds; the answer is due within 1 s.
    #[serde(default = "wait")]
    pub wait_ms: u32,
    /// What happens to the read after that time.
    #[serde(default, rename = "or")]
    pub otherwise: Fallback,
    /// Reads per second at one sender.
    #[serde(default = "reads")]
    pub reads_per_s: u32,
    /// Queries per minute in the whole fleet.
    #[serde(default = "queries")]
    pub queries_per_min: u32,
    /// Maximum number of shards that one query may touch.
    #[serde(default = "shards")]
    pub shards: u32,
    /// Maximum number of bytes that all queries of a minute may read in the whole fleet.
    #[serde(default = "bytes")]
    pub bytes_per_min: u64,
}

/// Bounds of `wait_ms`.
pub const WAIT_MS: (u32, u32) = (0, 800);
/// Bounds of `staleness_ms`.
pub const STALENESS_MS: (u32, u32) = (10, 3_600_000);
/// Maximum number of plans.
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

/// The section `plans` of the settings: plans by tenant name, and `default` for the others. It requires
/// `status`.
pub type Config = std::collections::BTreeMap<String, Plan>;
