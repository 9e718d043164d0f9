//! The configuration of a sender: environment variables and the configuration file.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;

use myrtleyard::check::{self, Fault, split};
use myrtleyard::coded_error;
use myrtleyard::drain::Marks;
use myrtleyard::endpoints::Bounds;
use myrtleyard::endpoints::reader::List;
use myrtleyard::interface::Settings;
use myrtleyard::membership;
use myrtleyard::plans;
use myrtleyard::start;
use myrtleyard::status;
use myrtleyard::takeover;
use myrtleyard::takeover::groups::DurableState;
use serde::Deserialize;
use serde_json::Value;

use super::listing::{ListBody, list_version};
use super::memory;
use super::names::Names;

/// The configuration of a sender.
#[derive(Debug)]
pub struct Config {
    /// Name of the sender.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// The state folder.
    pub state: PathBuf,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Maximum number of open file descriptors.
    pub sockets: usize,
    /// Limit of the process's memory, bytes.
    pub memory: u64,
    /// Maximum size of the state folder, bytes.
    pub disk: u64,
    /// The management address, if operators have one.
    pub mgmt: Option<SocketAddr>,
    /// Address on which datagrams of other senders arrive, if there are any.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of the senders, by rank.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all senders.
    pub peers_all: Option<SocketAddr>,
    /// The last known list of endpoints. Used only at startup, so it is empty after a reload.
    pub known: List,
    /// Draining of endpoints, if enabled.
    pub draining: Option<Draining>,
    /// The membership view, if enabled.
    pub membership: Option<membership::Config>,
    /// Replication of messages to backups, if enabled.
    pub takeover: Option<takeover::Config>,
    /// Coordination of simultaneous starts, if enabled.
    pub start: Option<start::Config>,
    /// The status index, if enabled.
    pub status: Option<status::Config>,
    /// Plans by tenant, if enabled.
    pub plans: Option<plans::Config>,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of classes, kinds and zones, in the order of the settings.
    pub names: Names,
    /// The document as read, with a long list of endpoints replaced by its length and checksum.
    pub document: Value,
}

impl Config {
    /// Rank of this sender in its tier.
    pub fn rank(&self) -> Option<u16> {
        let own = self.peers.iter().position(|peer| Some(*peer) == self.peer_listen)?;
        u16::try_from(own).ok()
    }
}

/// The section that enables the draining of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Draining {
    /// Maximum number of marked endpoints.
    #[serde(default = "some_marks")]
    pub max_marks: usize,
}

fn some_marks() -> usize {
    64
}

/// The document in force, shared with the code that compares other documents with it.
pub type InForce = Rc<RefCell<Arc<Value>>>;

#[derive(Deserialize)]
struct RawLimits {
    #[serde(default = "plenty")]
    sockets: usize,
    memory_mb: Option<f64>,
    disk_mb: f64,
}

fn plenty() -> usize {
    1024
}

#[derive(Deserialize)]
struct Raw {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: RawLimits,
    #[serde(default)]
    mgmt: Option<SocketAddr>,
    #[serde(default)]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    peers_all: Option<SocketAddr>,
    #[serde(default)]
    known: ListBody,
    #[serde(default)]
    draining: Option<Draining>,
    #[serde(default)]
    membership: Option<membership::Config>,
    #[serde(default)]
    takeover: Option<takeover::Config>,
    #[serde(default)]
    start: Option<start::Config>,
    #[serde(default)]
    status: Option<status::Config>,
    #[serde(default)]
    plans: Option<plans::Config>,
    settings: Value,
}

/// Why a configuration cannot be loaded or reloaded.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// An environment variable is not valid UTF-8.
    #[error("{name}: {why}")]
    Variable {
        /// Name of the variable.
        name: &'static str,
        /// The cause.
        why: std::env::VarError,
    },
    /// A required environment variable is missing.
    #[error("environment variable {0} is not set")]
    Unset(&'static str),
    /// `NODE_LISTEN_FD` is not the number of an inherited descriptor.
    #[error("NODE_LISTEN_FD={0}: not the number of an inherited descriptor")]
    Descriptor(String),
    /// An environment variable is not an address.
    #[error("{name}={text}: {why}")]
    Address {
        /// Name of the variable.
        name: &'static str,
        /// Its value.
        text: String,
        /// The cause.
        why: std::net::AddrParseError,
    },
    /// The file cannot be read.
    #[error("cannot read {path}: {why}")]
    File {
        /// Path of the file.
        path: String,
        /// The cause.
        why: std::io::Error,
    },
    /// The document has faults.
    #[error("{path}: {}", joined(faults))]
    Faults {
        /// Path of the file.
        path: String,
        /// All of its faults.
        faults: Vec<Fault>,
    },
    /// The reading task ended early.
    #[error("the configuration was not read to its end: {0}")]
    Stopped(#[from] tokio::task::JoinError),
}

coded_error! { ConfigError {
    Variable => "config.variable", "set the variable to UTF-8 text";
    Unset => "config.unset", "set the variable as described in docs/configuration.md";
    Descriptor => "config.descriptor", "set it to an inherited descriptor's number, over 2, or unset it";
    Address => "config.address", "set it to IP:PORT, or unset it to use the address in the file";
    File => "config.file", "check that NODE_CONFIG names the file and that the sender may read it";
    Faults => "config.faults", "correct each key named; test the file with --check before you apply it";
    Stopped => "config.stopped", "send SIGHUP again; if it persists, report it to the developers";
} }

fn joined(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("; ")
}

fn variable(name: &'static str) -> Result<Option<String>, ConfigError> {
    match std::env::var(name) {
        Ok(text) => Ok(Some(text)),
        Err(std::env::VarError::NotPresent) => Ok(None),
        Err(why) => Err(ConfigError::Variable { name, why }),
    }
}

/// The inherited descriptor on which the platform listens for clients, if there is one.
///
/// # Errors
/// Fails when the variable is not the number of an inherited descriptor.
pub fn inherited_listener_fd() -> Result<Option<RawFd>, ConfigError> {
    let parse = |text: String| {
        let number = text.parse().ok().filter(|fd| *fd > 2);
        number.ok_or(ConfigError::Descriptor(text))
    };
    variable("NODE_LISTEN_FD")?.map(parse).transpose()
}

fn address(name: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
    let parse = |text: String| text.parse().map_err(|why| ConfigError::Address { name, text, why });
    variable(name)?.map(parse).transpose()
}

/// Reads the environment and the configuration file that it names.
///
/// # Errors
/// Fails, with a message of one line, when something required is missing or cannot be read.
pub fn read() -> Result<Config, ConfigError> {
    let state = variable("NODE_STATE")?.ok_or(ConfigError::Unset("NODE_STATE"))?;
    let config = load(None)?;
    Ok(Config {
        name: variable("NODE_NAME")?.unwrap_or(config.name),
        listen: address("NODE_LISTEN")?.unwrap_or(config.listen),
        discovery: address("NODE_DISCOVERY")?.unwrap_or(config.discovery),
        mgmt: address("NODE_MGMT")?.or(config.mgmt),
        state: state.into(),
        ..config
    })
}

/// Reads the configuration file again; it may change while the process runs.
///
/// # Errors
/// Fails, with a message of one line, when the file cannot be read or lacks a key of the document in force.
pub fn reload(in_force: &Value) -> Result<Config, ConfigError> {
    let config = load(Some(in_force))?;
    Ok(Config { known: List::Entries(ListBody::default()), ..config })
}

/// Reads a configuration file, up to one byte more than the maximum size, so that a longer file is noticed.
///
/// # Errors
/// Fails when the file cannot be read.
pub fn read_file(path: &Path) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    let max_bytes = split::max_bytes(&Bounds::default());
    File::open(path)?.take(max_bytes + 1).read_to_end(&mut text)?;
    Ok(text)
}

fn load(in_force: Option<&Value>) -> Result<Config, ConfigError> {
    let path = variable("NODE_CONFIG")?.ok_or(ConfigError::Unset("NODE_CONFIG"))?;
    let text = match read_file(path.as_ref()) {
        Ok(text) => text,
        Err(why) => return Err(ConfigError::File { path, why }),
    };
    check(&text, in_force).map_err(|faults| ConfigError::Faults { path, faults })
}

/// Parses and checks a configuration, also against the document in force if there is one. Startup, SIGHUP,
/// the operators' check call and the command line all use this function.
///
/// # Errors
/// Returns all faults of the document.
pub fn check(text: &[u8], in_force: Option<&Value>) -> Result<Config, Vec<Fault>> {
    let bounds = Bounds::default();
    let apart = split::split(text, &bounds)?;
    let document = check::read(&apart.text)?;
    let mut faults = check::faults(&document);
    let index = document["known"]["index"].as_u64().unwrap_or(0);
    let known = apart.list.map(|list| split::read(list, index, &bounds)).transpose();
    let known = known.unwrap_or_else(|fault| {
        faults.push(fault);
        None
    });
    if let Some(in_force) = in_force {
        let missing = check::missing_keys(&document, in_force);
        let known: BTreeSet<String> = faults.iter().map(|fault| fault.key.clone()).collect();
        faults.extend(missing.into_iter().filter(|fault| !known.contains(&fault.key)));
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    let mut config = build(document).map_err(|(key, why)| {
        vec![Fault { key: key.to_owned(), value: why, expected: "a valid value".to_owned() }]
    })?;
    if let (Some(known), Some(list)) = (known, apart.list) {
        let endpoints = list_version(&known).1.unwrap_or(0);
        let summary = format!("{endpoints} endpoints, CRC-32 {:08x}", crc32fast::hash(list));
        config.document["known"]["endpoints"] = summary.into();
        config.known = known;
    }
    Ok(config)
}

/// Builds the configuration and checks what the table of keys cannot express; this is the only other place
/// with checks.
fn build(document: Value) -> Result<Config, (&'static str, String)> {
    let raw = Raw::deserialize(&document).map_err(|e| ("", e.to_string()))?;
    let settings = serde_json::to_vec(&raw.settings).map_err(|e| ("settings", e.to_string()))?;
    let settings = myrtleyard::wire::settings(&settings).map_err(|e| ("settings", e.to_string()))?;
    let texts = |list: &Value, field: Option<&str>| {
        let entries = list.as_array().map(Vec::as_slice).unwrap_or_default();
        let name = |e: &serde_json::Value| {
            let name = field.map_or(Some(e), |f| e.get(f));
            name.and_then(Value::as_str).unwrap_or_default().to_owned()
        };
        entries.iter().map(name).collect::<Vec<_>>()
    };
    let s = &raw.settings;
    let names = Names {
        classes: texts(&s["classes"], Some("name")),
        retired: BTreeSet::new(),
        tenants: texts(&s["realms"], Some("name")),
        kinds: texts(&s["skus"], None),
        zones: texts(&s["azs"], None),
        report: texts(&s["load_report"]["fields"], None),
    };
    let disk = (raw.limits.disk_mb * 1e6) as u64;
    if let Some(Draining { max_marks }) = raw.draining
        && Marks::max_bytes(max_marks) > disk / 4
    {
        return Err(("draining.max_marks", format!("{max_marks}, which needs over a quarter of disk_mb,")));
    }
    let own_listed = raw.peer_listen.is_some_and(|own| raw.peers.contains(&own));
    if raw.membership.is_some() && (!own_listed || raw.peers.len() > membership::MAX_MEMBERS) {
        let why = "a section with peers that lack peer_listen or number over 1,024".to_owned();
        return Err(("membership", why));
    }
    if raw.takeover.is_some() {
        if !own_listed || !(3..=membership::MAX_MEMBERS).contains(&raw.peers.len()) {
            let why = "a section with peers that lack peer_listen or number under 3 or over 1,024".to_owned();
            return Err(("takeover", why));
        }
        if DurableState::MAX_BYTES > disk / 4 {
            return Err(("takeover", "a section that needs over a quarter of disk_mb".to_owned()));
        }
    }
    if raw.start.is_some() {
        if raw.membership.is_none() {
            return Err(("start", "a section without the required section membership".to_owned()));
        }
        if start::cached_list::MAX_FOLDER_BYTES > disk / 4 {
            return Err(("start", "a section that needs over a quarter of disk_mb".to_owned()));
        }
    }
    if raw.status.is_some() && raw.membership.is_none() {
        return Err(("status", "a section without the required section membership".to_owned()));
    }
    if let Some(plans) = &raw.plans {
        if raw.status.is_none() {
            return Err(("plans", "a section without the required section status".to_owned()));
        }
        let unknown = |name: &&String| *name != "default" && !names.tenants.contains(name);
        if let Some(name) = plans.keys().find(unknown) {
            return Err(("plans", format!("{name}, which is not a tenant in settings.realms,")));
        }
    }
    Ok(Config {
        name: raw.name,
        listen: raw.listen,
        discovery: raw.discovery,
        state: PathBuf::new(),
        seed: u64::from_str_radix(&raw.seed, 16).map_err(|e| ("seed", e.to_string()))?,
        sockets: raw.limits.sockets,
        memory: raw.limits.memory_mb.map_or(memory::DEFAULT_LIMIT, |megabytes| (megabytes * 1e6) as u64),
        disk,
        mgmt: raw.mgmt,
        peer_listen: raw.peer_listen,
        peers: raw.peers,
        peers_all: raw.peers_all,
        known: List::Entries(raw.known),
        draining: raw.draining,
        membership: raw.membership,
        takeover: raw.takeover,
        start: raw.start,
        status: raw.status,
        plans: raw.plans,
        settings,
        names,
        document,
    })
}

#[cfg(test)]
mod tests;
