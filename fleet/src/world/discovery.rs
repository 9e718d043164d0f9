//! Discovery and the place for notices, as an agent on each sender's own machine.

use std::net::SocketAddr;
use std::sync::{Arc, RwLock};

use serde_json::{Value, json};
use tokio::sync::watch;

use super::http::{Reader, answer};
use super::{End, Registry};
use crate::Micros;
use crate::ledger::{Recorder, What};
use crate::links::tcp::Conduit;

/// A watch is held so long at most, milliseconds.
const HOLD_MOST: u64 = 60_000;

/// An endpoint as discovery has it.
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
    /// A rough rate for its destination, calls a second.
    pub weight: f64,
}

/// A list, by version.
#[derive(Debug, Clone)]
pub struct List {
    /// Its version.
    pub index: u64,
    /// Its entries.
    pub endpoints: Vec<Listed>,
}

/// How discovery fares at a sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Condition {
    /// It does not answer, but takes notices.
    pub silent: bool,
    /// News come so much later.
    pub delay: Micros,
}

/// What one sender's agent knows.
pub struct Agent {
    sender: usize,
    /// The addresses at which this sender dials the endpoints, in the list's order.
    addresses: Vec<SocketAddr>,
    list: watch::Sender<List>,
    condition: Arc<RwLock<Condition>>,
    silent: watch::Sender<bool>,
    registry: Arc<Registry>,
    recorder: Recorder,
}

impl Agent {
    /// One that has this list.
    pub fn new(
        sender: usize,
        addresses: Vec<SocketAddr>,
        list: List,
        registry: Arc<Registry>,
        recorder: Recorder,
    ) -> Arc<Self> {
        let (list, silent) = (watch::Sender::new(list), watch::Sender::new(false));
        let condition = Arc::default();
        Arc::new(Self { sender, addresses, list, condition, silent, registry, recorder })
    }

    /// How it fares from now on.
    pub fn condition(&self, condition: Condition) {
        if let Ok(mut current) = self.condition.write() {
            *current = condition;
        }
        self.silent.send_replace(condition.silent);
    }

    /// News, which it has after its delay.
    pub fn news(self: &Arc<Self>, list: List, delay: Micros) {
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

    /// The list as this sender is written it.
    pub fn body(&self, list: &List) -> Value {
        let entries = list.endpoints.iter().zip(&self.addresses).map(|(listed, address)| {
            json!({"name": listed.name, "address": address.to_string(), "zone": listed.zone, "type": listed.kind,
                   "group": listed.group, "status": listed.status, "weight": listed.weight, "since_ms": 0})
        });
        json!({"index": list.index, "snapshot": true, "endpoints": entries.collect::<Vec<_>>()})
    }

    /// The list as it stands now.
    pub fn current(&self) -> Value {
        self.body(&self.list.borrow())
    }

    /// Serves one connection to its end.
    pub async fn serve(self: Arc<Self>, mut conduit: Conduit) {
        let mut reader = Reader::default();
        while let Some(request) = reader.next(&mut conduit).await {
            let reply = match (request.method.as_str(), request.path.split('?').next()) {
                ("POST", Some("/reports")) => self.notices(&request.body, request.last),
                ("GET", Some("/v1/endpoints")) => {
                    let hold = request.query("hold_ms").unwrap_or(0).min(HOLD_MOST);
                    let Some(list) = self.watched(request.query("from"), hold).await else { return };
                    let body = self.body(&list).to_string();
                    if conduit.send(answer(200, &[], body.as_bytes())).await.is_none() {
                        return;
                    }
                    for listed in &list.endpoints {
                        let (endpoint, status) = (listed.name.clone(), listed.status.to_owned());
                        self.recorder.see(What::Told { sender: self.sender, endpoint, status });
                    }
                    continue;
                }
                _ => 404,
            };
            if conduit.send(answer(reply, &[], b"")).await.is_none() {
                return;
            }
        }
    }

    /// The list, once it is newer than what is known or the watch has been held long enough. None is told
    /// while discovery is silent.
    async fn watched(&self, from: Option<u64>, hold_ms: u64) -> Option<List> {
        let mut list = self.list.subscribe();
        let mut silent = self.silent.subscribe();
        let newer = list.wait_for(|list| from.is_none_or(|from| list.index > from));
        // What is still the same after the hold is told again: an empty change would do as well.
        let _ = tokio::time::timeout(std::time::Duration::from_millis(hold_ms), newer).await;
        silent.wait_for(|silent| !silent).await.ok()?;
        Some(self.list.borrow().clone())
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
