//! What a sender is told at its start: the environment and the configuration file.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;

use myrtleyard::check::{self, Fault, apart};
use myrtleyard::drain::Marks;
use myrtleyard::endpoints::Bounds;
use myrtleyard::endpoints::reader::List;
use myrtleyard::interface::Settings;
use myrtleyard::membership;
use myrtleyard::plans;
use myrtleyard::start;
use myrtleyard::status;
use myrtleyard::takeover;
use myrtleyard::takeover::lots::Memory;
use myrtleyard::told;
use serde::Deserialize;
use serde_json::Value;

use super::listing::{ListBody, version};
use super::names::Names;

/// All that the sender is told.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Discovery.
    pub discovery: SocketAddr,
    /// The folder that lasts.
    pub state: PathBuf,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that may be held.
    pub sockets: usize,
    /// Bytes that the folder that lasts may hold.
    pub disk: u64,
    /// Where operators call, if they do.
    pub mgmt: Option<SocketAddr>,
    /// Where notes arrive, if there are any.
    pub peer_listen: Option<SocketAddr>,
    /// The senders' addresses by their numbers.
    pub peers: Vec<SocketAddr>,
    /// Reaches all senders.
    pub peers_all: Option<SocketAddr>,
    /// The list of endpoints as last known; none where the configuration is read again, since it is for a start.
    pub known: List,
    /// Draining of endpoints, where it is on.
    pub draining: Option<Draining>,
    /// The view of the fleet, where it is on.
    pub membership: Option<membership::Config>,
    /// Covers for what is in hand, where they are on.
    pub takeover: Option<takeover::Config>,
    /// Starts with others at once, where that is on.
    pub start: Option<start::Config>,
    /// The status index, where it is on.
    pub status: Option<status::Config>,
    /// Plans by tenant, where they are on.
    pub plans: Option<plans::Config>,
    /// The module's settings.
    pub settings: Settings,
    /// Names of classes, kinds and zones, in the settings' order.
    pub names: Names,
    /// The file as it was read; a long list of endpoints is left out, and told by its length and checksum.
    pub document: Value,
}

impl Config {
    /// This sender's number among those of its tier.
    pub fn rank(&self) -> Option<u16> {
        let own = self.peers.iter().position(|peer| Some(*peer) == self.peer_listen)?;
        u16::try_from(own).ok()
    }
}

/// The section that turns on the draining of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Draining {
    /// Endpoints that may be marked at a time.
    #[serde(default = "some_marks")]
    pub max_marks: usize,
}

fn some_marks() -> usize {
    64
}

/// The document in force, for those who hold another against it.
pub type InForce = Rc<RefCell<Arc<Value>>>;

#[derive(Deserialize)]
struct RawLimits {
    #[serde(default = "plenty")]
    sockets: usize,
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

/// Why there is no configuration, or none that is taken instead of the one in force.
#[derive(Debug, thiserror::Error)]
pub enum Wrong {
    /// A variable of the environment that is not text.
    #[error("{name}: {why}")]
    Variable {
        /// Its name.
        name: &'static str,
        /// What is wrong with it.
        why: std::env::VarError,
    },
    /// A variable that is needed.
    #[error("{0} is not set")]
    Unset(&'static str),
    /// `NODE_LISTEN_FD` is no number of one.
    #[error("NODE_LISTEN_FD={0}: no descriptor that can be listened on")]
    Descriptor(String),
    /// A variable that is no address.
    #[error("{name}={text}: {why}")]
    Address {
        /// Its name.
        name: &'static str,
        /// What it holds.
        text: String,
        /// What is wrong with it.
        why: std::net::AddrParseError,
    },
    /// The file can't be had.
    #[error("{path}: {why}")]
    File {
        /// Where it should be.
        path: String,
        /// Why not.
        why: std::io::Error,
    },
    /// The document has faults.
    #[error("{path}: {}", joined(faults))]
    Faults {
        /// Where it lies.
        path: String,
        /// All of them.
        faults: Vec<Fault>,
    },
    /// It was not read to its end.
    #[error("{0}")]
    Stopped(#[from] tokio::task::JoinError),
}

told! { Wrong {
    Variable => "config.variable", "set the variable to text in UTF-8";
    Unset => "config.unset", "set the variable, as docs/configuration.md has it";
    Descriptor => "config.descriptor", "set it to a number over 2 that the process inherits, or unset it";
    Address => "config.address", "set it to IP:PORT, or unset it so that the file's holds";
    File => "config.file", "see that NODE_CONFIG names the file and that the sender may read it";
    Faults => "config.faults", "mend each key that is named; try the file with --check before it is taken";
    Stopped => "config.stopped", "send SIGHUP again; if it stays so, tell the developers";
} }

fn joined(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("; ")
}

fn variable(name: &'static str) -> Result<Option<String>, Wrong> {
    match std::env::var(name) {
        Ok(text) => Ok(Some(text)),
        Err(std::env::VarError::NotPresent) => Ok(None),
        Err(why) => Err(Wrong::Variable { name, why }),
    }
}

/// The number of the descriptor that the platform listens on for clients, where it does.
///
/// # Errors
/// Fails when it is no number of one.
pub fn listening() -> Result<Option<RawFd>, Wrong> {
    let parse = |text: String| {
        let number = text.parse().ok().filter(|fd| *fd > 2);
        number.ok_or(Wrong::Descriptor(text))
    };
    variable("NODE_LISTEN_FD")?.map(parse).transpose()
}

fn address(name: &'static str) -> Result<Option<SocketAddr>, Wrong> {
    let parse = |text: String| text.parse().map_err(|why| Wrong::Address { name, text, why });
    variable(name)?.map(parse).transpose()
}

/// Reads the environment and the configuration that it names.
///
/// # Errors
/// Fails, in one line, when something needed is missing or cannot be read.
pub fn read() -> Result<Config, Wrong> {
    let state = variable("NODE_STATE")?.ok_or(Wrong::Unset("NODE_STATE"))?;
    let config = file(None)?;
    Ok(Config {
        name: variable("NODE_NAME")?.unwrap_or(config.name),
        listen: address("NODE_LISTEN")?.unwrap_or(config.listen),
        discovery: address("NODE_DISCOVERY")?.unwrap_or(config.discovery),
        mgmt: address("NODE_MGMT")?.or(config.mgmt),
        state: state.into(),
        ..config
    })
}

/// Reads the configuration again, which may change while the process runs.
///
/// # Errors
/// Fails, in one line, when the file cannot be read, or lacks a key of the document that is in force.
pub fn reread(in_force: &Value) -> Result<Config, Wrong> {
    let config = file(Some(in_force))?;
    Ok(Config { known: List::Entries(ListBody::default()), ..config })
}

/// The text of a configuration file, as far as one may be long and a byte more.
///
/// # Errors
/// Fails when it can't be read.
pub fn text(path: &Path) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    let most = apart::most_bytes(&Bounds::default());
    File::open(path)?.take(most + 1).read_to_end(&mut text)?;
    Ok(text)
}

fn file(in_force: Option<&Value>) -> Result<Config, Wrong> {
    let path = variable("NODE_CONFIG")?.ok_or(Wrong::Unset("NODE_CONFIG"))?;
    let text = match text(path.as_ref()) {
        Ok(text) => text,
        Err(why) => return Err(Wrong::File { path, why }),
    };
    check(&text, in_force).map_err(|faults| Wrong::Faults { path, faults })
}

/// Reads a configuration, and holds it against the one in force if there is one. Start, SIGHUP, the operators'
/// call and the command line all come here.
///
/// # Errors
/// Tells all that is wrong with it.
pub fn check(text: &[u8], in_force: Option<&Value>) -> Result<Config, Vec<Fault>> {
    let bounds = Bounds::default();
    let apart = apart::apart(text, &bounds)?;
    let document = check::read(&apart.text)?;
    let mut faults = check::faults(&document);
    let index = document["known"]["index"].as_u64().unwrap_or(0);
    let known = apart.list.map(|list| apart::read(list, index, &bounds)).transpose();
    let known = known.unwrap_or_else(|fault| {
        faults.push(fault);
        None
    });
    if let Some(in_force) = in_force {
        let lacking = check::lacking(&document, in_force);
        let known: BTreeSet<String> = faults.iter().map(|fault| fault.key.clone()).collect();
        faults.extend(lacking.into_iter().filter(|fault| !known.contains(&fault.key)));
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    let mut config = config(document).map_err(|(key, why)| {
        vec![Fault { key: key.to_owned(), value: why, expected: "what can be read".to_owned() }]
    })?;
    if let (Some(known), Some(list)) = (known, apart.list) {
        let endpoints = version(&known).1.unwrap_or(0);
        let said = format!("{endpoints} endpoints, CRC-32 {:08x}", crc32fast::hash(list));
        config.document["known"]["endpoints"] = said.into();
        config.known = known;
    }
    Ok(config)
}

/// What the table of keys does not know of is read here, and nowhere else.
fn config(document: Value) -> Result<Config, (&'static str, String)> {
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
        && Marks::room(max_marks) > disk / 4
    {
        return Err(("draining.max_marks", format!("{max_marks}, which takes over a quarter of disk_mb,")));
    }
    let own = raw.peer_listen.is_some_and(|own| raw.peers.contains(&own));
    if raw.membership.is_some() && (!own || raw.peers.len() > membership::MOST_MEMBERS) {
        let why = "is on, but peers do not hold peer_listen, or are over 1,024".to_owned();
        return Err(("membership", why));
    }
    if raw.takeover.is_some() {
        if !own || !(3..=membership::MOST_MEMBERS).contains(&raw.peers.len()) {
            let why = "is on, but peers do not hold peer_listen, or are under 3 or over 1,024".to_owned();
            return Err(("takeover", why));
        }
        if Memory::ROOM > disk / 4 {
            return Err(("takeover", "is on, and takes over a quarter of disk_mb".to_owned()));
        }
    }
    if raw.start.is_some() {
        if raw.membership.is_none() {
            return Err(("start", "is on without the section membership, which it needs,".to_owned()));
        }
        if start::kept::ROOM > disk / 4 {
            return Err(("start", "is on, and takes over a quarter of disk_mb".to_owned()));
        }
    }
    if raw.status.is_some() && raw.membership.is_none() {
        return Err(("status", "is on without the section membership, which it needs,".to_owned()));
    }
    if let Some(plans) = &raw.plans {
        if raw.status.is_none() {
            return Err(("plans", "is on without the section status, which it needs,".to_owned()));
        }
        let unknown = |name: &&String| *name != "default" && !names.tenants.contains(name);
        if let Some(name) = plans.keys().find(unknown) {
            return Err(("plans", format!("{name} names no tenant of settings.realms, and")));
        }
    }
    Ok(Config {
        name: raw.name,
        listen: raw.listen,
        discovery: raw.discovery,
        state: PathBuf::new(),
        seed: u64::from_str_radix(&raw.seed, 16).map_err(|e| ("seed", e.to_string()))?,
        sockets: raw.limits.sockets,
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
