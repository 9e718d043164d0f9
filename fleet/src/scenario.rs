//! Scenario files in TOML. An invalid one is rejected with every invalid key.

use std::fmt;

use serde::{Deserialize, Serialize};

pub use crate::ledger::reads::Level;

/// Maximum senders of a run.
pub const MAX_SENDERS: usize = 300;
/// Maximum faults of a scenario.
pub const MAX_FAULTS: usize = 200;
/// Maximum destinations of a run.
pub const MAX_PARTNERS: u16 = 60;

/// A scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Its purpose, in a sentence.
    #[serde(default)]
    pub about: String,
    /// Duration of the clients' load, seconds; the run lasts until every message has ended.
    pub length_s: f64,
    /// Senders, 1 to [`MAX_SENDERS`]; every second one is in the second zone.
    pub senders: usize,
    /// The senders' log level.
    #[serde(default)]
    pub log: LogLevel,
    /// Maximum lateness of the bench itself at the 99th percentile; above it the run is not trustworthy.
    #[serde(default = "lateness")]
    pub lateness_ms: f64,
    /// How the senders are started.
    #[serde(default)]
    pub start: Start,
    /// The list service.
    #[serde(default)]
    pub discovery: Discovery,
    /// The clients' load.
    #[serde(default)]
    pub load: Load,
    /// Times of the class `notice`.
    #[serde(default = "notice")]
    pub notice: Times,
    /// Times of the class `disbursement`.
    #[serde(default = "disbursement")]
    pub disbursement: Times,
    /// The destinations.
    #[serde(default)]
    pub partners: Partners,
    /// Delays of the links without faults.
    #[serde(default)]
    pub network: Network,
    /// Sections for optional parts of the sender, copied into its configuration unchanged.
    #[serde(default, skip_serializing_if = "toml::Table::is_empty")]
    pub sections: toml::Table,
    /// Clients that query the status of their messages.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sessions: Vec<Sessions>,
    /// Random faults, drawn from the seed, in addition to the listed ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mix: Option<Mix>,
    /// Listed faults.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fault: Vec<Fault>,
}

fn lateness() -> f64 {
    20.0
}

/// Clients with sessions, of one tenant: each hands in messages at one sender and queries their status at
/// others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sessions {
    /// The tenant, by name.
    pub tenant: String,
    /// Consistency level of its reads; must agree with the section `plans`.
    #[serde(default)]
    pub level: Level,
    /// Maximum staleness, for `bounded`.
    #[serde(default = "staleness")]
    pub staleness_ms: u64,
    /// Number of sessions.
    pub count: usize,
    /// Messages per second, over all sessions.
    pub per_s: f64,
    /// Reads after each message, each at another sender.
    #[serde(default = "reads")]
    pub reads: u32,
    /// Wait before each read, milliseconds.
    #[serde(default = "every")]
    pub every_ms: u64,
}

fn staleness() -> u64 {
    5_000
}

fn reads() -> u32 {
    3
}

fn every() -> u64 {
    50
}

/// Maximum tenants with sessions, and maximum sessions of each.
const MAX_SESSIONS: (usize, usize) = (8, 200);

/// The senders' log level. At `debug` each message can be traced afterwards; with hundreds of senders that is
/// too much.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Every event of each message.
    #[default]
    Debug,
    /// Rare events.
    Info,
    /// Problems only.
    Warn,
}

impl LogLevel {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Debug => "debug",
            Self::Info => "info",
            Self::Warn => "warn",
        }
    }
}

/// How the senders are started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Start {
    /// Clients and faults count their time from the start of the first process instead of the readiness of
    /// all senders.
    pub early: bool,
    /// Number of senders, the last ones, that are started later than the others; only with `early`.
    pub joins: usize,
    /// Delay of their start, seconds.
    pub joins_at_s: f64,
}

/// The list service behind the senders' agents.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Calls that it accepts in any second from all senders together; the rest is answered 503. 0 is no
    /// limit.
    pub calls_per_s: u32,
    /// Age of the list that a sender starts with, in changes.
    pub behind: usize,
    /// Senders are configured to poll the whole list instead of watching it.
    pub asked: bool,
}

/// Maximum of [`Discovery::behind`].
pub const MAX_BEHIND: usize = 20;

/// Arrivals: a Poisson process, open loop.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Messages per second, over all senders.
    pub per_s: f64,
    /// Start of the load, seconds.
    pub from_s: f64,
    /// Share of class `notice`.
    pub notice_share: f64,
    /// Exponent of the Zipf distribution over senders and destinations; 0 is uniform.
    pub skew: f64,
    /// Size of a body in bytes.
    pub body_bytes: usize,
    /// Retries after a refusal.
    pub retries: u32,
    /// Explicit arrivals instead of random ones: second, sender, class (0 `notice`, 1 `disbursement`) and
    /// destination.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub trace: Vec<(f64, usize, usize, u16)>,
}

/// Maximum arrivals of a trace.
pub const MAX_TRACED: usize = 200_000;

impl Default for Load {
    fn default() -> Self {
        Self {
            per_s: 40.0,
            from_s: 0.0,
            notice_share: 0.64,
            skew: 0.5,
            body_bytes: 200,
            retries: 1,
            trace: vec![],
        }
    }
}

/// Times of a class, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Times {
    /// Time within which delivery is wanted.
    pub aim_s: f64,
    /// Time after which a message is given up.
    pub deadline_s: f64,
    /// How long a destination remembers a key; not used for `disbursement`.
    #[serde(default = "window")]
    pub window_s: f64,
}

fn window() -> f64 {
    15.0
}

fn notice() -> Times {
    Times { aim_s: 3.0, deadline_s: 28.0, window_s: 15.0 }
}

fn disbursement() -> Times {
    Times { aim_s: 3.0, deadline_s: 16.0, window_s: 15.0 }
}

/// Destinations: every third is of kind `bank-partner`, the only kind that accepts disbursements.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Partners {
    /// Number of destinations.
    pub count: u16,
    /// Endpoints of each destination.
    pub endpoints: usize,
    /// The limit of each destination, as a multiple of the calls that it receives at this load.
    pub headroom: f64,
    /// Minimum limit, calls per second.
    pub least_per_s: f64,
    /// Mean time of a call, milliseconds.
    pub work_ms: f64,
    /// Share of calls that fail without a fault.
    pub error_share: f64,
    /// Share of refusals with Retry-After.
    pub tells_wait: f64,
    /// Share of its capacity with which a destination returns from an outage.
    pub cold_share: f64,
    /// Time until it is warm, seconds.
    pub warm_s: f64,
    /// All endpoints start cold at the begin of the run, which `since_ms` reports.
    pub cold_start: bool,
}

/// Whether a destination is of kind `bank-partner`.
pub fn bank(dest: u16) -> bool {
    dest.is_multiple_of(3)
}

impl Default for Partners {
    fn default() -> Self {
        Self {
            count: 9,
            endpoints: 2,
            headroom: 2.0,
            least_per_s: 4.0,
            work_ms: 90.0,
            error_share: 0.005,
            tells_wait: 0.5,
            cold_share: 0.2,
            warm_s: 10.0,
            cold_start: false,
        }
    }
}

/// One-way delays in milliseconds, each drawn uniformly from its range.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Calls within a zone.
    pub same_ms: [f64; 2],
    /// Calls from one zone to the other.
    pub cross_ms: [f64; 2],
    /// Datagrams within a zone.
    pub peer_same_ms: [f64; 2],
    /// Datagrams from one zone to the other.
    pub peer_cross_ms: [f64; 2],
}

impl Default for Network {
    fn default() -> Self {
        Self {
            same_ms: [1.0, 4.0],
            cross_ms: [68.0, 110.0],
            peer_same_ms: [3.1, 21.0],
            peer_cross_ms: [68.0, 110.0],
        }
    }
}

/// Random faults, drawn from the seed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// The kinds of fault.
    pub name: MixName,
    /// The number of faults.
    pub faults: usize,
}

/// Named mixes of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MixName {
    /// Processes that are killed, stopped, restarted or handed over.
    Processes,
    /// Links that lose, delay or duplicate datagrams, or are cut.
    Links,
    /// Destinations that fail, refuse calls, or don't answer.
    Partners,
    /// All of these, and discovery.
    All,
}

/// A fault; [`Kind::keys`] has the keys of each kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Its kind.
    pub kind: Kind,
    /// When it begins, seconds.
    pub at_s: f64,
    /// Its duration, seconds; without it the fault is permanent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub for_s: Option<f64>,
    /// Number of senders, the first ones, that it affects, or that it separates from the others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first: Option<usize>,
    /// Affected senders, from 0; for links the sending ones. Empty means all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub senders: Vec<usize>,
    /// Receiving senders. Empty means all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub to: Vec<usize>,
    /// Groups of senders that can't reach each other.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub groups: Vec<Vec<usize>>,
    /// Affected destinations. Empty means all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub partners: Vec<u16>,
    /// Seconds between one sender and the next.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub every_s: Option<f64>,
    /// The state folder is emptied before the next start.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub folder_lost: bool,
    /// How a destination, a link or discovery fails.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mode: Option<Mode>,
    /// Affected share of datagrams or calls.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// Factor of the change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<f64>,
    /// Added delay, milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<f64>,
    /// The fault alternates between on and off at this period, milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub flap_ms: Option<f64>,
    /// It affects the other direction too.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub both_ways: bool,
}

/// Kinds of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// SIGKILL; restarted after `for_s`, or never.
    Kill,
    /// SIGTERM, SIGKILL 3.7 s later if needed, restarted 0.6 s after its end.
    Restart,
    /// SIGSTOP, and SIGCONT after `for_s`.
    Stop,
    /// A new process is started beside the old one and takes over.
    Handover,
    /// Datagrams from `senders` to `to`.
    Link,
    /// Senders reach only those of their own group.
    Partition,
    /// Discovery, at `senders`.
    Discovery,
    /// Connections from `senders` to `partners`.
    Wire,
    /// Destinations.
    Partner,
    /// The limit of destinations is `factor` times the usual.
    Limit,
    /// The first endpoint of each of `partners` drains and leaves the list, and returns.
    Drain,
    /// Clients hand in `factor` times the usual load.
    Load,
}

/// The mode of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Datagrams: `share` of them are lost; all without a share.
    Drop,
    /// Datagrams: `share` of them are duplicated.
    Repeat,
    /// Datagrams: `share` of them are delayed by up to `delay_ms`, so that later ones overtake them.
    Reorder,
    /// Datagrams: `share` of them have a corrupted byte.
    Spoil,
    /// Datagrams: `share` of them are truncated.
    Short,
    /// Datagrams and connections: delayed by `delay_ms`. Discovery: list changes are delayed by it.
    Delay,
    /// Connections are reset, and new ones refused.
    Cut,
    /// Connections: no bytes pass. Discovery and destinations: no answer.
    Silent,
    /// Destinations: no connection is accepted.
    Down,
    /// Destinations: every call is refused, some with Retry-After. Discovery: every call is answered 503.
    Shut,
    /// Destinations: `share` of the calls fail quickly.
    Failing,
    /// Destinations: calls take `factor` times as long. Discovery: answers come `delay_ms` later.
    Slow,
    /// Destinations: quick, malformed answers.
    Wrong,
    /// Discovery: answers are truncated.
    Half,
    /// Discovery: its version has gone back by [`BACK_BY`].
    Back,
    /// Discovery: lists are indented JSON.
    Indent,
}

/// Number of versions by which a list goes back.
pub const BACK_BY: u64 = 10;

impl Kind {
    /// The keys of a fault of this kind beside `kind` and `at_s`: required and optional ones.
    fn keys(self) -> (&'static [&'static str], &'static [&'static str]) {
        match self {
            Self::Kill => (&[], &["for_s", "senders", "first", "every_s", "folder_lost"]),
            Self::Restart | Self::Handover => (&[], &["senders", "first", "every_s"]),
            Self::Stop => (&["for_s"], &["senders", "first", "every_s"]),
            Self::Link => {
                (&["mode"], &["for_s", "senders", "to", "share", "delay_ms", "flap_ms", "both_ways"])
            }
            Self::Partition => (&[], &["for_s", "groups", "first"]),
            Self::Discovery => (&["mode", "for_s"], &["senders", "first", "delay_ms"]),
            Self::Wire => (&["mode", "for_s"], &["senders", "partners", "delay_ms"]),
            Self::Partner => (&["mode"], &["for_s", "partners", "share", "factor"]),
            Self::Limit | Self::Load => (&["factor"], &["for_s", "partners"]),
            Self::Drain => (&["partners"], &["for_s"]),
        }
    }

    /// The modes that a fault of this kind can have.
    pub fn modes(self) -> &'static [Mode] {
        use Mode::*;
        match self {
            Self::Link => &[Drop, Repeat, Reorder, Spoil, Short, Delay],
            Self::Discovery => &[Silent, Delay, Shut, Slow, Half, Back, Indent],
            Self::Wire => &[Cut, Silent, Delay],
            Self::Partner => &[Down, Shut, Failing, Slow, Silent, Wrong],
            _ => &[],
        }
    }

    /// A random mode of this kind.
    pub fn any_mode(self, rng: &mut impl rand::Rng) -> Option<Mode> {
        rand::seq::IndexedRandom::choose(self.modes(), rng).copied()
    }
}

impl Fault {
    /// Creates a fault of this kind at this time, without further keys.
    pub fn new(kind: Kind, at_s: f64) -> Self {
        Self {
            kind,
            at_s,
            for_s: None,
            first: None,
            senders: vec![],
            to: vec![],
            groups: vec![],
            partners: vec![],
            every_s: None,
            folder_lost: false,
            mode: None,
            share: None,
            factor: None,
            delay_ms: None,
            flap_ms: None,
            both_ways: false,
        }
    }

    /// The senders that it affects, out of `senders`.
    pub fn affected(&self, senders: usize) -> Vec<usize> {
        match self.first {
            Some(first) => (0..first.min(senders)).collect(),
            None if self.senders.is_empty() => (0..senders).collect(),
            None => self.senders.clone(),
        }
    }

    /// The side of a partition that a sender is on.
    pub fn side(&self, sender: usize) -> Option<usize> {
        match self.first {
            Some(first) => Some(usize::from(sender >= first)),
            None => self.groups.iter().position(|group| group.contains(&sender)),
        }
    }

    fn given(&self) -> Vec<&'static str> {
        [
            ("for_s", self.for_s.is_some()),
            ("first", self.first.is_some()),
            ("senders", !self.senders.is_empty()),
            ("to", !self.to.is_empty()),
            ("groups", !self.groups.is_empty()),
            ("partners", !self.partners.is_empty()),
            ("every_s", self.every_s.is_some()),
            ("folder_lost", self.folder_lost),
            ("mode", self.mode.is_some()),
            ("share", self.share.is_some()),
            ("factor", self.factor.is_some()),
            ("delay_ms", self.delay_ms.is_some()),
            ("flap_ms", self.flap_ms.is_some()),
            ("both_ways", self.both_ways),
        ]
        .into_iter()
        .filter_map(|(key, given)| given.then_some(key))
        .collect()
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The scenario file's form on one line, so that a reader can run the fault again.
        let text = toml::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(text.trim_end().replace('\n', ", ").as_str())
    }
}

/// An invalid key of a scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidKey {
    /// The key's path.
    pub key: String,
    /// The value found.
    pub value: String,
    /// The value expected.
    pub expected: String,
}

impl fmt::Display for InvalidKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}: expected {}", self.key, self.value, self.expected)
    }
}

impl Scenario {
    /// Parses and validates a scenario.
    ///
    /// # Errors
    /// Returns every invalid key, or only the first error if the text is not TOML of this form.
    pub fn read(text: &str) -> Result<Self, Vec<InvalidKey>> {
        let scenario: Self = toml::from_str(text).map_err(|e| {
            let place = e.span().and_then(|span| text.get(..span.start)).map_or(1, |t| t.lines().count());
            let expected = e.message().replace('\n', " ");
            vec![InvalidKey { key: format!("line {place}"), value: "what stands there".into(), expected }]
        })?;
        let invalid = scenario.validate();
        if invalid.is_empty() { Ok(scenario) } else { Err(invalid) }
    }

    /// The scenario as TOML.
    ///
    /// # Errors
    /// Fails when a section can't be serialized.
    pub fn text(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }

    fn validate(&self) -> Vec<InvalidKey> {
        let mut all = Vec::new();
        let mut check_range = |key: &str, value: f64, low: f64, high: f64| {
            if !(low..=high).contains(&value) {
                let expected = format!("{low} to {high}");
                all.push(InvalidKey { key: key.into(), value: value.to_string(), expected });
            }
        };
        check_range("length_s", self.length_s, 1.0, 3600.0);
        check_range("senders", self.senders as f64, 1.0, MAX_SENDERS as f64);
        check_range("lateness_ms", self.lateness_ms, 1.0, 10_000.0);
        check_range("start.joins", self.start.joins as f64, 0.0, self.senders.saturating_sub(1) as f64);
        check_range("start.joins_at_s", self.start.joins_at_s, 0.0, 600.0);
        check_range("discovery.calls_per_s", self.discovery.calls_per_s.into(), 0.0, 100_000.0);
        check_range("discovery.behind", self.discovery.behind as f64, 0.0, MAX_BEHIND as f64);
        check_range("load.per_s", self.load.per_s, 0.0, 2000.0);
        check_range("load.from_s", self.load.from_s, 0.0, self.length_s.max(0.0));
        check_range("load.notice_share", self.load.notice_share, 0.0, 1.0);
        check_range("load.skew", self.load.skew, 0.0, 3.0);
        check_range("load.body_bytes", self.load.body_bytes as f64, 0.0, 65536.0);
        check_range("load.retries", self.load.retries.into(), 0.0, 10.0);
        for (name, times) in [("notice", self.notice), ("disbursement", self.disbursement)] {
            check_range(&format!("{name}.aim_s"), times.aim_s, 0.1, 600.0);
            check_range(&format!("{name}.deadline_s"), times.deadline_s, times.aim_s, 600.0);
            check_range(&format!("{name}.window_s"), times.window_s, 0.1, 3600.0);
        }
        let partners = &self.partners;
        check_range("partners.count", partners.count.into(), 1.0, MAX_PARTNERS.into());
        check_range("partners.endpoints", partners.endpoints as f64, 1.0, 4.0);
        check_range("partners.headroom", partners.headroom, 0.1, 100.0);
        check_range("partners.least_per_s", partners.least_per_s, 0.1, 10_000.0);
        check_range("partners.work_ms", partners.work_ms, 0.1, 60_000.0);
        check_range("partners.error_share", partners.error_share, 0.0, 1.0);
        check_range("partners.tells_wait", partners.tells_wait, 0.0, 1.0);
        check_range("partners.cold_share", partners.cold_share, 0.01, 1.0);
        check_range("partners.warm_s", partners.warm_s, 0.0, 600.0);
        let network = &self.network;
        for (name, range) in [
            ("same_ms", network.same_ms),
            ("cross_ms", network.cross_ms),
            ("peer_same_ms", network.peer_same_ms),
            ("peer_cross_ms", network.peer_cross_ms),
        ] {
            check_range(&format!("network.{name}[0]"), range[0], 0.0, 10_000.0);
            check_range(&format!("network.{name}[1]"), range[1], range[0], 10_000.0);
        }
        check_range("number of sessions", self.sessions.len() as f64, 0.0, MAX_SESSIONS.0 as f64);
        for (n, sessions) in self.sessions.iter().enumerate() {
            check_range(&format!("sessions[{n}].count"), sessions.count as f64, 1.0, MAX_SESSIONS.1 as f64);
            check_range(&format!("sessions[{n}].per_s"), sessions.per_s, 0.01, 1000.0);
            check_range(&format!("sessions[{n}].reads"), sessions.reads.into(), 0.0, 100.0);
            check_range(&format!("sessions[{n}].every_ms"), sessions.every_ms as f64, 0.0, 60_000.0);
            check_range(
                &format!("sessions[{n}].staleness_ms"),
                sessions.staleness_ms as f64,
                10.0,
                3_600_000.0,
            );
        }
        if let Some(mix) = &self.mix {
            check_range("mix.faults", mix.faults as f64, 0.0, MAX_FAULTS as f64);
        }
        check_range("number of faults", self.fault.len() as f64, 0.0, MAX_FAULTS as f64);
        if self.start.joins > 0 && !self.start.early {
            let (key, value) = ("start.joins".into(), self.start.joins.to_string());
            all.push(InvalidKey { key, value, expected: "nothing, where start.early is not set".into() });
        }
        for (n, fault) in self.fault.iter().enumerate() {
            all.extend(self.validate_fault(&format!("fault[{n}]"), fault));
        }
        if self.load.trace.len() > MAX_TRACED {
            let (value, expected) = (self.load.trace.len().to_string(), format!("{MAX_TRACED} at most"));
            all.push(InvalidKey { key: "load.trace".into(), value, expected });
        }
        for (n, (at, sender, class, dest)) in self.load.trace.iter().enumerate() {
            let bank = *class == 0 || bank(*dest);
            let there = *sender < self.senders && *class < 2 && *dest < self.partners.count && bank;
            if !there || !(0.0..=self.length_s).contains(at) {
                let value = format!("[{at}, {sender}, {class}, {dest}]");
                let expected =
                    "a second of the run, a sender, 0 or 1, and a destination that takes the class".into();
                all.push(InvalidKey { key: format!("load.trace[{n}]"), value, expected });
            }
        }
        for part in self.sections.keys() {
            let own = ["name", "listen", "discovery", "seed", "limits", "known", "settings", "mgmt", "peers"];
            if own.contains(&part.as_str()) || part.starts_with("peer") {
                let expected = "an optional part of the sender".into();
                all.push(InvalidKey { key: format!("sections.{part}"), value: "a section".into(), expected });
            }
        }
        all
    }

    fn validate_fault(&self, at: &str, fault: &Fault) -> Vec<InvalidKey> {
        let mut all = Vec::new();
        let mut wrong = |key: &str, value: String, expected: String| {
            all.push(InvalidKey { key: format!("{at}.{key}"), value, expected });
        };
        let (required, optional) = fault.kind.keys();
        let given = fault.given();
        for key in required.iter().filter(|key| !given.contains(key)) {
            wrong(key, "nothing".into(), format!("a value, for {:?}", fault.kind));
        }
        for key in given.iter().filter(|key| !required.contains(key) && !optional.contains(key)) {
            wrong(key, "a value".into(), format!("nothing, for {:?}", fault.kind));
        }
        if fault.kind == Kind::Partition && fault.groups.is_empty() == fault.first.is_none() {
            wrong("groups", "what stands there".into(), "either groups or first".into());
        }
        if fault.first.is_some() && !fault.senders.is_empty() {
            wrong("first", "a value".into(), "nothing, beside senders".into());
        }
        if let Some(mode) = fault.mode
            && !fault.kind.modes().contains(&mode)
        {
            wrong("mode", format!("{mode:?}"), format!("one of {:?}", fault.kind.modes()));
        }
        let mut check_range = |key: &str, value: Option<f64>, low: f64, high: f64| {
            if let Some(value) = value
                && !(low..=high).contains(&value)
            {
                wrong(key, value.to_string(), format!("{low} to {high}"));
            }
        };
        check_range("at_s", Some(fault.at_s), 0.0, 3600.0);
        check_range("for_s", fault.for_s, 0.05, 3600.0);
        check_range("every_s", fault.every_s, 0.0, 600.0);
        check_range("first", fault.first.map(|n| n as f64), 1.0, self.senders as f64);
        check_range("share", fault.share, 0.0, 1.0);
        check_range("factor", fault.factor, 0.01, 100.0);
        check_range("delay_ms", fault.delay_ms, 0.0, 60_000.0);
        check_range("flap_ms", fault.flap_ms, 10.0, 60_000.0);
        let groups = fault.groups.iter().flatten();
        for sender in fault.senders.iter().chain(&fault.to).chain(groups).filter(|n| **n >= self.senders) {
            wrong("senders", sender.to_string(), format!("0 to {}", self.senders.saturating_sub(1)));
        }
        for partner in fault.partners.iter().filter(|n| **n >= self.partners.count) {
            wrong("partners", partner.to_string(), format!("0 to {}", self.partners.count.saturating_sub(1)));
        }
        all
    }
}
