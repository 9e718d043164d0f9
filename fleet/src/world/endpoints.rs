//! Destinations and their endpoints: limits, queues, ways to fail, cold returns, and every effect taken down.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::Semaphore;

use super::http::{Reader, Request, answer};
use super::{End, Registry};
use crate::Micros;
use crate::ledger::{CallEnd, Recorder, What};
use crate::links::tcp::Conduit;

/// How long a cold destination bears too much, and how many times what it can do that is.
pub const FALL_FOR: Micros = 3_000_000;
/// See [`FALL_FOR`].
pub const FALL_MULTIPLE: f64 = 2.0;
/// Calls that a cold destination bears in [`FALL_FOR`] where the settings allow it so many: the protocol's
/// slack.
fn bears(allowed: f64) -> f64 {
    allowed + 3.0 * allowed.sqrt() + 3.0
}

/// What a destination can do over its limit.
const SPARE: f64 = 1.3;
/// Seconds of its limit that may come at once.
const BURST_S: f64 = 1.0;
/// Calls that may wait at an endpoint for each that is served.
const QUEUE: usize = 4;
/// The wait that is told, milliseconds.
const WAIT_MS: (u64, u64) = (400, 900);
/// Of calls that fail, the share that took effect all the same.
const FAILED_RAN: f64 = 0.3;
/// Attempts for a message at most.
pub const TRY_LIMIT: usize = 6;
/// Calls that a sender may have out.
pub const SLOTS: usize = 40;
/// Messages of a batch at most.
pub const BATCH: usize = 20;

/// How a destination fares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Condition {
    /// It takes no connections; the links see to that.
    pub down: bool,
    /// It refuses all.
    pub shut: bool,
    /// It does not answer.
    pub silent: bool,
    /// It answers what can't be read.
    pub wrong: bool,
    /// Share of calls that fail.
    pub failing: f64,
    /// How many times as long calls take.
    pub slow: f64,
    /// Its limit, of the usual.
    pub limit: f64,
}

impl Default for Condition {
    fn default() -> Self {
        Self { down: false, shut: false, silent: false, wrong: false, failing: 0.0, slow: 1.0, limit: 1.0 }
    }
}

impl Condition {
    fn outage(&self) -> bool {
        self.down || self.shut || self.silent || self.failing >= 0.5
    }
}

/// What does not change about a destination.
#[derive(Debug, Clone)]
pub struct Nature {
    /// Its number.
    pub dest: u16,
    /// Calls a second that it takes from all senders together.
    pub limit: f64,
    /// Mean time of a call, seconds.
    pub work: f64,
    /// Share of calls that fail when nothing is wrong.
    pub error_share: f64,
    /// Share of refusals that tell a wait.
    pub tells_wait: f64,
    /// Refused calls use up the limit too.
    pub refused_count: bool,
    /// Share of its capacity with which it comes back.
    pub cold_share: f64,
    /// Until it is warm.
    pub warm: Micros,
    /// For how long it remembers a key.
    pub window: Micros,
    /// It starts with the run, and is cold then.
    pub cold_start: bool,
}

struct State {
    condition: Condition,
    tokens: f64,
    filled: Micros,
    cold_since: Option<Micros>,
    /// Since it came back: calls, and by whom.
    recent: VecDeque<(Micros, usize)>,
    fallen: bool,
    /// Senders that saw it fail during the outage.
    knew: HashSet<usize>,
    keys: HashMap<String, Micros>,
    rng: ChaCha8Rng,
}

/// A destination.
pub struct Partner {
    nature: Nature,
    state: Mutex<State>,
    registry: Arc<Registry>,
    recorder: Recorder,
    calls: Arc<AtomicU64>,
    /// Calls that each sender has out, at all destinations.
    out: Arc<Vec<AtomicUsize>>,
}

/// One of its endpoints.
pub struct Endpoint {
    /// Its name.
    pub name: String,
    partner: Arc<Partner>,
    servers: Semaphore,
    waiting: AtomicUsize,
    room: usize,
}

#[derive(Deserialize)]
struct Item {
    id: String,
    #[serde(default)]
    key: Option<String>,
    body: String,
}

/// A message of a call.
struct Sent {
    id: String,
    key: Option<String>,
    body: Vec<u8>,
}

/// What becomes of a call before it is served.
enum Fate {
    Refused(Option<Micros>),
    Busy,
    Silent,
    Wrong,
    Fails,
    Served(f64),
}

/// A call that is out, for as long as it lives.
struct Out(Arc<Vec<AtomicUsize>>, usize);

impl Drop for Out {
    fn drop(&mut self) {
        self.0[self.1].fetch_sub(1, Ordering::Relaxed);
    }
}

impl Partner {
    /// A destination in its usual condition.
    pub fn new(
        nature: Nature,
        registry: Arc<Registry>,
        recorder: Recorder,
        calls: Arc<AtomicU64>,
        out: Arc<Vec<AtomicUsize>>,
        seed: u64,
    ) -> Arc<Self> {
        let state = State {
            condition: Condition::default(),
            tokens: nature.limit * BURST_S,
            filled: 0,
            cold_since: nature.cold_start.then(|| recorder.now()),
            recent: VecDeque::new(),
            fallen: false,
            knew: HashSet::new(),
            keys: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Arc::new(Self { nature, state: Mutex::new(state), registry, recorder, calls, out })
    }

    /// One of its endpoints.
    pub fn endpoint(self: &Arc<Self>, name: String, endpoints: usize) -> Arc<Endpoint> {
        let busy = self.nature.limit * SPARE * self.nature.work / endpoints as f64;
        let servers = (busy.ceil() as usize).max(2);
        let waiting = AtomicUsize::new(0);
        let room = servers * QUEUE;
        Arc::new(Endpoint { name, partner: self.clone(), servers: Semaphore::new(servers), waiting, room })
    }

    /// How it fares from now on. It comes back from an outage cold.
    pub fn condition(&self, condition: Condition) {
        let Ok(mut state) = self.state.lock() else { return };
        let (before, now) = (state.condition.outage(), condition.outage());
        state.condition = condition;
        if now && !before {
            state.knew.clear();
            state.cold_since = None;
        }
        if before && !now {
            state.cold_since = Some(self.recorder.now());
            state.recent.clear();
            self.recorder.see(What::Cold { dest: self.nature.dest });
        }
    }

    /// Its capacity now, of the usual.
    fn share(&self, state: &State, now: Micros) -> f64 {
        let Some(since) = state.cold_since else { return 1.0 };
        let warm = (now - since) as f64 / self.nature.warm.max(1) as f64;
        self.nature.cold_share + (1.0 - self.nature.cold_share) * warm.min(1.0)
    }

    /// Whether a call is let in, and how it fares.
    fn fate(&self, sender: usize, now: Micros) -> Fate {
        let Ok(mut guard) = self.state.lock() else { return Fate::Silent };
        let state = &mut *guard;
        // Tasks come to the lock in another order than they looked at the clock.
        let now = now.max(state.filled).max(state.cold_since.unwrap_or(0));
        let share = self.share(state, now);
        if let Some(since) = state.cold_since {
            state.recent.push_back((now, sender));
            while state.recent.front().is_some_and(|call| call.0 + FALL_FOR < now) {
                state.recent.pop_front();
            }
            let able = self.nature.limit * state.condition.limit * SPARE * share;
            let bears = bears(FALL_MULTIPLE * able * FALL_FOR as f64 / 1e6);
            if !state.fallen && state.recent.len() as f64 > bears {
                state.fallen = true;
                let mut by: BTreeMap<usize, u64> = BTreeMap::new();
                state.recent.iter().for_each(|call| *by.entry(call.1).or_default() += 1);
                let knew = &state.knew;
                let by = by.into_iter().map(|(sender, calls)| (sender, calls, knew.contains(&sender)));
                self.recorder.see(What::Fell { dest: self.nature.dest, by: by.collect() });
            }
            if !state.fallen && now - since > self.nature.warm + FALL_FOR {
                state.cold_since = None;
            }
        }
        if state.fallen {
            return Fate::Refused(None);
        }
        let condition = state.condition;
        if condition.outage() {
            state.knew.insert(sender);
        }
        let rate = self.nature.limit * condition.limit * share;
        let gained = (now - state.filled) as f64 / 1e6 * rate;
        state.tokens = (state.tokens + gained).min((rate * BURST_S).max(1.0));
        state.filled = now;
        let refused = condition.shut || state.tokens < 1.0;
        if !refused || self.nature.refused_count {
            // What is refused can take it below nothing, but not for ever.
            state.tokens = (state.tokens - 1.0).max(-rate * BURST_S);
        }
        if refused {
            let tells = state.rng.random_bool(self.nature.tells_wait);
            let wait = state.rng.random_range(WAIT_MS.0..=WAIT_MS.1) * 1000;
            return Fate::Refused(tells.then_some(wait));
        }
        if condition.silent {
            return Fate::Silent;
        }
        if condition.wrong {
            return Fate::Wrong;
        }
        if state.rng.random_bool(condition.failing.max(self.nature.error_share).min(1.0)) {
            return Fate::Fails;
        }
        let noise = LogNormal::new(-0.125, 0.5).map_or(1.0, |law| law.sample(&mut state.rng));
        Fate::Served(self.nature.work * noise * condition.slow / share.max(0.05))
    }

    /// Takes effect, unless its key is remembered.
    fn effect(&self, call: u64, sent: &Sent, now: Micros) {
        let Ok(mut state) = self.state.lock() else { return };
        let window = self.nature.window;
        let mut repeat = false;
        if let Some(key) = &sent.key {
            let first = state.keys.entry(key.clone()).or_insert(now);
            repeat = *first != now && now <= *first + window;
            if !repeat {
                *first = now;
            }
        }
        // Keys are forgotten when their time is over, so that the memory is bounded by the window.
        if state.keys.len().is_multiple_of(1024) {
            state.keys.retain(|_, first| now <= *first + window);
        }
        drop(state);
        self.recorder.see(What::Effect { call, id: sent.id.clone(), repeat });
    }

    fn report(&self) -> String {
        let Ok(state) = self.state.lock() else { return String::new() };
        let limit = self.nature.limit * state.condition.limit;
        let left = (state.tokens / (limit * BURST_S).max(1.0)).clamp(0.0, 1.0);
        format!("x0={left:.3},x1={limit:.2}")
    }
}

impl Endpoint {
    /// Serves one connection of a sender to its end.
    pub async fn serve(self: Arc<Self>, sender: usize, mut conduit: Conduit) {
        self.partner.recorder.see(What::Connected { sender, endpoint: self.name.clone() });
        let mut reader = Reader::default();
        while let Some(request) = reader.next(&mut conduit).await {
            let load = [("Srv-Load", self.partner.report())];
            let plain = match (request.method.as_str(), request.path.as_str()) {
                ("POST", "/v1/messages") => None,
                ("POST", "/v1/messages:batch") => None,
                ("GET", "/health") | ("GET", "/status/load") => {
                    match self.partner.fate(sender, self.partner.recorder.now()) {
                        Fate::Silent => std::future::pending().await,
                        Fate::Refused(_) | Fate::Busy | Fate::Fails | Fate::Wrong => Some(503),
                        Fate::Served(_) => Some(200),
                    }
                }
                _ => Some(404),
            };
            if let Some(status) = plain {
                if conduit.send(answer(status, &load, b"")).await.is_none() {
                    return;
                }
            } else if !self.call(sender, request, &mut conduit).await {
                return;
            }
        }
    }

    async fn work(&self, seconds: f64) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let permit = self.servers.acquire().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        drop(permit);
    }

    /// One call; whether the connection goes on.
    async fn call(self: &Arc<Self>, sender: usize, request: Request, conduit: &mut Conduit) -> bool {
        let partner = &self.partner;
        let Some(sent) = messages(&request) else {
            return conduit.send(answer(400, &[], b"")).await.is_some();
        };
        let call = partner.calls.fetch_add(1, Ordering::Relaxed);
        partner.out[sender].fetch_add(1, Ordering::Relaxed);
        let mut out = Some(Out(partner.out.clone(), sender));
        partner.recorder.see(What::Call {
            call,
            sender,
            endpoint: self.name.clone(),
            dest: partner.nature.dest,
            ids: sent.iter().map(|sent| sent.id.clone()).collect(),
            first: request.first,
            last: request.last,
        });
        let batch = request.path.ends_with(":batch");
        // Those that are over, or have had all their attempts, or were never handed in like this, don't run.
        let mut ends = Vec::with_capacity(sent.len());
        for sent in &sent {
            ends.push(partner.registry.with(&sent.id, |message| {
                message.called = true;
                message.calls += 1;
                let same = message.body == digest(&sent.body) && message.key == sent.key;
                match () {
                    () if !same || message.dest != partner.nature.dest => "error",
                    () if message.delivered => "ok",
                    () if message.ended => "gone",
                    () if message.calls as usize > TRY_LIMIT => "exhausted",
                    () => "",
                }
            }));
        }
        let mut ends: Vec<&'static str> = ends.into_iter().map(|end| end.unwrap_or("error")).collect();
        let now = partner.recorder.now();
        let fate = match partner.out[sender].load(Ordering::Relaxed) > SLOTS {
            true => Fate::Busy,
            false => partner.fate(sender, now),
        };
        let fate = match fate {
            Fate::Served(_) if self.waiting.load(Ordering::Relaxed) >= self.room => Fate::Refused(None),
            fate => fate,
        };
        let refused = |mut headers: Vec<(&str, String)>, wait: Option<Micros>, status| {
            headers.push(("Srv-Load", partner.report()));
            if let Some(wait) = wait {
                headers.push(("Retry-After", format!("{:.3}", wait as f64 / 1e6)));
            }
            (answer(status, &headers, b""), status, vec![CallEnd::Never; sent.len()], wait)
        };
        let (bytes, status, said, wait) = match fate {
            Fate::Refused(Some(wait)) => refused(vec![], Some(wait), 429),
            Fate::Refused(None) => refused(vec![], None, 503),
            Fate::Busy => refused(vec![("X-Line-Busy", "1".to_owned())], None, 503),
            Fate::Silent => {
                // It holds the slot until the sender gives the call up.
                while conduit.receive().await.is_some() {}
                return false;
            }
            Fate::Wrong => {
                let ends = vec![CallEnd::Maybe; sent.len()];
                ("HTP 2oo what\r\n\r\n".into(), 0, ends, None)
            }
            Fate::Fails => {
                let ran = partner.state.lock().is_ok_and(|mut state| state.rng.random_bool(FAILED_RAN));
                for (sent, _) in sent.iter().zip(&ends).filter(|(_, end)| ran && end.is_empty()) {
                    partner.effect(call, sent, now);
                }
                (
                    answer(500, &[("Srv-Load", partner.report())], b""),
                    500,
                    vec![CallEnd::Maybe; sent.len()],
                    None,
                )
            }
            Fate::Served(work) => {
                // Each further message of a batch is a little work.
                let work = work * (1.0 + 0.1 * (sent.len() - 1) as f64);
                let mut service = std::pin::pin!(self.work(work));
                loop {
                    tokio::select! {
                        () = &mut service => break,
                        // A call runs to its end even if the sender has gone; its slot is free then.
                        piece = conduit.receive(), if out.is_some() => if piece.is_none() {
                            out = None;
                        },
                    }
                }
                let done = partner.recorder.now();
                for (sent, end) in sent.iter().zip(&mut ends).filter(|(_, end)| end.is_empty()) {
                    partner.effect(call, sent, done);
                    *end = "ok";
                }
                let said = ends.iter().map(|end| match *end {
                    "ok" => CallEnd::Done,
                    "error" => CallEnd::Maybe,
                    _ => CallEnd::Never,
                });
                let said: Vec<CallEnd> = said.collect();
                let load = [("Srv-Load", partner.report())];
                let (bytes, status) = match (batch, ends.first()) {
                    (true, _) => {
                        let items = sent.iter().zip(&ends);
                        let items: Vec<_> = items.map(|(s, end)| json!({"id": s.id, "state": end})).collect();
                        (answer(200, &load, json!(items).to_string().as_bytes()), 200)
                    }
                    (false, Some(&"ok")) => (answer(200, &load, b""), 200),
                    (false, Some(&"gone")) => (answer(410, &load, b""), 410),
                    (false, Some(&"exhausted")) => (answer(504, &load, b""), 504),
                    (false, _) => (answer(400, &load, b""), 400),
                };
                (bytes, status, said, None)
            }
        };
        let written = partner.recorder.now();
        // Its slot is free once the answer is written.
        drop(out);
        let arrived = conduit.send(bytes).await;
        let Some(arrived) = arrived else { return false };
        for (sent, _) in sent.iter().zip(&said).filter(|(_, end)| **end == CallEnd::Done) {
            partner.registry.end(&sent.id, End::Delivered);
        }
        // What is written counts as delivered, but a wait binds only whom it reached.
        let wait = wait.filter(|_| arrived.heard);
        partner.recorder.saw(arrived.at, What::Answered { call, status, written, wait, ends: said });
        status != 0
    }
}

/// The messages of a call; nothing if it can't be read, is empty, or names one twice.
fn messages(request: &Request) -> Option<Vec<Sent>> {
    if !request.path.ends_with(":batch") {
        let id = request.headers.get("req-id")?.clone();
        let key = request.headers.get("idempotency-key").cloned();
        return Some(vec![Sent { id, key, body: request.body.clone() }]);
    }
    let items: Vec<Item> = serde_json::from_slice(&request.body).ok()?;
    let names: HashSet<&str> = items.iter().map(|item| item.id.as_str()).collect();
    if items.is_empty() || items.len() > BATCH || names.len() < items.len() {
        return None;
    }
    let read = |item: Item| Some(Sent { id: item.id, key: item.key, body: STANDARD.decode(item.body).ok()? });
    items.into_iter().map(read).collect()
}

/// A digest of a body, to hold what arrives against what was handed in (FNV-1a, 32 bits).
pub fn digest(body: &[u8]) -> u32 {
    body.iter().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193))
}
