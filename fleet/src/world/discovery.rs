//! Discovery and the receiver of notices, as an agent on each sender's own machine. Where the scenario sets a
//! limit, the agents forward list calls to one service, which accepts that many in any second and rejects the
//! rest.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::watch;

use super::http::{Reader, Request, answer};
use super::{End, Registry};
use crate::Micros;
use crate::ledger::{Recorder, What};
use crate::links::tcp::Conduit;
use crate::scenario::BACK_BY;

/// Maximum hold time of a watch, milliseconds.
const MAX_HOLD_MS: u64 = 60_000;

/// An endpoint as listed by discovery.
#[derive(Debug, Clone)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Its zone's name.
    pub zone: &'static str,
    /// Its kind's name.
    pub kind: &'static str,
    /// Its destination.
    pub group: u16,
    /// `active` or `leaving`.
    pub status: &'static str,
    /// A rough rate for its destination, calls per second.
    pub weight: f64,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    pub since_ms: u64,
}

/// The version of the list at the start of a run.
pub const FIRST: u64 = 41;
/// A truncated list lacks one part in this many.
const TRUNCATED_PART: usize = 2;

/// The list as it was `changes` changes ago: every second change is an endpoint that has joined since, at a
/// destination with further endpoints; the others are changed weights.
pub fn older(list: &List, changes: usize) -> List {
    let (mut index, mut endpoints) = (list.index, list.endpoints.clone());
    for change in 0..changes {
        index = index.saturating_sub(1);
        let others = |listed: &Listed| endpoints.iter().filter(|other| other.group == listed.group).count();
        let joined = endpoints.iter().rposition(|listed| change % 2 == 0 && others(listed) > 1);
        match joined {
            Some(place) => drop(endpoints.remove(place)),
            None => {
                let place = change % endpoints.len().max(1);
                endpoints.iter_mut().skip(place).take(1).for_each(|listed| listed.weight /= 2.0);
            }
        }
    }
    List { index, endpoints }
}

/// The list service behind the agents.
pub struct Service {
    /// Calls that it accepts in any second; 0 is no limit.
    calls_per_s: usize,
    /// Times of the calls accepted in the last second.
    accepted: Mutex<VecDeque<Micros>>,
    recorder: Recorder,
}

impl Service {
    /// A service that accepts this many calls in any second.
    pub fn new(calls_per_s: u32, recorder: Recorder) -> Arc<Self> {
        Arc::new(Self { calls_per_s: calls_per_s as usize, accepted: Mutex::default(), recorder })
    }

    /// Whether the service accepts a call; records the call.
    fn accept(&self, sender: usize, held: bool, condition: Condition) -> bool {
        let Ok(mut accepted) = self.accepted.lock() else { return false };
        let now = self.recorder.now();
        while accepted.front().is_some_and(|at| at + 1_000_000 <= now) {
            accepted.pop_front();
        }
        let has_capacity = self.calls_per_s == 0 || accepted.len() < self.calls_per_s;
        let status = match () {
            () if condition.silent => 0,
            () if condition.shut || !has_capacity => 503,
            () => 200,
        };
        if status == 200 && self.calls_per_s > 0 {
            accepted.push_back(now);
        }
        self.recorder.saw(now, What::ListCall { sender, held, status });
        status != 503
    }
}

/// A list, by version.
#[derive(Debug, Clone)]
pub struct List {
    /// Its version.
    pub index: u64,
    /// Its entries.
    pub endpoints: Vec<Listed>,
}

/// Faults of discovery at one sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Condition {
    /// List calls get no answer, but notices are accepted.
    pub silent: bool,
    /// Added delay of list changes.
    pub delay: Micros,
    /// Every list call is rejected.
    pub shut: bool,
    /// Added delay of every list.
    pub slow: Micros,
    /// Lists are truncated, and their connection ends.
    pub half: bool,
    /// The list's version has gone back.
    pub back: bool,
    /// Lists are indented JSON.
    pub indent: bool,
}

/// The agent of one sender.
pub struct Agent {
    sender: usize,
    /// The addresses at which this sender dials the endpoints, by name.
    addresses: HashMap<String, SocketAddr>,
    list: watch::Sender<List>,
    service: Arc<Service>,
    condition: Arc<RwLock<Condition>>,
    silent: watch::Sender<bool>,
    registry: Arc<Registry>,
    recorder: Recorder,
}

impl Agent {
    /// Creates an agent with this list.
    pub fn new(
        sender: usize,
        addresses: HashMap<String, SocketAddr>,
        list: List,
        service: Arc<Service>,
        registry: Arc<Registry>,
        recorder: Recorder,
    ) -> Arc<Self> {
        let (list, silent) = (watch::Sender::new(list), watch::Sender::new(false));
        let condition = Arc::default();
        Arc::new(Self { sender, addresses, list, service, condition, silent, registry, recorder })
    }

    /// Sets the faults from now on.
    pub fn condition(&self, condition: Condition) {
        if let Ok(mut current) = self.condition.write() {
            *current = condition;
        }
        self.silent.send_replace(condition.silent);
    }

    /// Updates the list, after the delay.
    pub fn update(self: &Arc<Self>, list: List, delay: Micros) {
        let added = self.condition.read().map_or(0, |condition| condition.delay);
        let agent = self.clone();
        tokio::spawn(async move {
            agent.recorder.until(agent.recorder.now() + delay + added).await;
            agent.list.send_if_modified(|current| {
                let newer = list.index > current.index;
                if newer {
                    *current = list;
                }
                newer
            });
        });
    }

    /// The list as sent to this sender.
    pub fn body(&self, list: &List) -> Value {
        let entries = list.endpoints.iter().filter_map(|listed| {
            let address = self.addresses.get(&listed.name)?.to_string();
            Some(json!({"name": listed.name, "address": address, "zone": listed.zone, "type": listed.kind,
                        "group": listed.group, "status": listed.status, "weight": listed.weight,
                        "since_ms": listed.since_ms}))
        });
        json!({"index": list.index, "snapshot": true, "endpoints": entries.collect::<Vec<_>>()})
    }

    /// The list as it was so many changes ago.
    pub fn known(&self, behind: usize) -> Value {
        self.body(&older(&self.list.borrow(), behind))
    }

    /// Serves one connection until it ends.
    pub async fn serve(self: Arc<Self>, mut conduit: Conduit) {
        let mut reader = Reader::default();
        while let Some(request) = reader.next(&mut conduit).await {
            let reply = match (request.method.as_str(), request.path.split('?').next()) {
                ("POST", Some("/reports")) => self.notices(&request.body, request.last),
                ("GET", Some("/v1/endpoints")) => match self.list(&request, &mut conduit).await {
                    Some(None) => continue,
                    Some(Some(status)) => status,
                    None => return,
                },
                _ => 404,
            };
            if conduit.send(answer(reply, &[], b"")).await.is_none() {
                return;
            }
        }
    }

    fn now(&self) -> Condition {
        self.condition.read().map_or_else(|_| Condition::default(), |condition| *condition)
    }

    /// Serves a list call: `None` if the connection ends with it, `Some(Some(status))` if it gets no list.
    #[allow(clippy::option_option)]
    async fn list(&self, request: &Request, conduit: &mut Conduit) -> Option<Option<u16>> {
        let hold = request.query("hold_ms").unwrap_or(0).min(MAX_HOLD_MS);
        if !self.service.accept(self.sender, hold > 0, self.now()) {
            return Some(Some(503));
        }
        let list = self.watched(request.query("from"), hold).await?;
        let condition = self.now();
        if condition.slow > 0 {
            tokio::time::sleep(Duration::from_micros(condition.slow)).await;
        }
        let body = self.body(&list);
        let text = if condition.indent { format!("{body:#}") } else { body.to_string() };
        let whole = answer(200, &[], text.as_bytes());
        if condition.half {
            let some = whole.slice(..whole.len() - text.len() / TRUNCATED_PART);
            conduit.send(some).await?;
            return None;
        }
        conduit.send(whole).await?;
        for listed in &list.endpoints {
            let (endpoint, status) = (listed.name.clone(), listed.status.to_owned());
            self.recorder.see(What::Told { sender: self.sender, endpoint, status });
        }
        Some(None)
    }

    /// Waits until the list is newer than version `from` or the hold time is over, and while discovery is
    /// silent.
    async fn watched(&self, from: Option<u64>, hold_ms: u64) -> Option<List> {
        let mut list = self.list.subscribe();
        let mut silent = self.silent.subscribe();
        let back = if self.now().back { BACK_BY } else { 0 };
        let newer = list.wait_for(|list| from.is_none_or(|from| list.index.saturating_sub(back) > from));
        // An unchanged list is sent again after the hold; an empty change would also be correct.
        let _ = tokio::time::timeout(Duration::from_millis(hold_ms), newer).await;
        silent.wait_for(|silent| !silent).await.ok()?;
        let mut list = self.list.borrow().clone();
        list.index = list.index.saturating_sub(back);
        Some(list)
    }

    fn notices(&self, body: &[u8], at: Micros) -> u16 {
        let lines: Result<Vec<Value>, _> =
            body.split(|b| *b == b'\n').filter(|l| !l.is_empty()).map(serde_json::from_slice).collect();
        let Ok(lines) = lines else { return 400 };
        for line in &lines {
            let (Some(id), Some(status)) = (line["id"].as_str(), line["status"].as_str()) else { return 400 };
            let end = match status {
                "undeliverable" => End::Failed,
                "deferred" => End::Deferred(line["again_ms"].as_u64().map(|ms| ms * 1000)),
                _ => return 400,
            };
            let (id, status) = (id.to_owned(), status.to_owned());
            self.registry.end(&id, end);
            self.recorder.saw(at, What::Notice { sender: self.sender, id, status });
        }
        204
    }
}
