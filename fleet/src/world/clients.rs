//! Clients: open-loop arrivals, retries after a refusal, and fail-over when a sender dies. Latency counts
//! from the scheduled hand-in of a message.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use super::endpoints::digest;
use super::{End, Message, Registry};
use crate::ledger::{Recorder, What};
use crate::scenario::{Scenario, bank};
use crate::{Micros, micros};

/// Time that a client waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Range of the wait before a message of a dead sender is handed in again, milliseconds.
const FAILOVER_MS: (u64, u64) = (400, 1500);
/// Range of the wait before a retry after a refusal, milliseconds.
const BACKOFF_MS: (u64, u64) = (640, 1300);
/// Maximum retries because of dead senders, in addition to those after refusals.
const MAX_LOST_TRIES: u32 = 4;
/// Time between two readiness checks of a sender.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Checks at that interval that must go unanswered before a sender counts as dead.
const UNANSWERED_CHECKS: u32 = 10;
/// Maximum readiness checks per second over all senders: with hundreds of senders each is checked less often.
const MAX_CHECKS_PER_S: usize = 300;
/// Maximum idle connections kept per sender.
const MAX_IDLE: usize = 64;
/// Time after its deadline during which a client still waits for a message's end.
const LISTEN_ON: Micros = 3_000_000;
/// Maximum bytes of an answer's head and body.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// A scheduled hand-in of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// When.
    pub at: Micros,
    /// The sender, unless it is down.
    pub home: usize,
    /// Its class.
    pub class: usize,
    /// Its destination.
    pub dest: u16,
}

/// Draws the arrivals of a run; `factor` gives the multiple of the usual load at a time.
pub fn arrivals(scenario: &Scenario, seed: u64, factor: impl Fn(f64) -> f64) -> Vec<Arrival> {
    if !scenario.load.trace.is_empty() {
        let arrival = |(at, home, class, dest): &(f64, usize, usize, u16)| Arrival {
            at: micros(*at),
            home: *home,
            class: *class,
            dest: *dest,
        };
        let mut all: Vec<Arrival> = scenario.load.trace.iter().map(arrival).collect();
        all.sort_by_key(|arrival| arrival.at);
        return all;
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut all = Vec::new();
    let (load, partners) = (&scenario.load, scenario.partners.count);
    let banks: Vec<u16> = (0..partners).filter(|dest| bank(*dest)).collect();
    let drawn = |n: usize, rng: &mut ChaCha8Rng| match Zipf::new(n as f64, load.skew) {
        Ok(law) => (law.sample(rng) as usize).clamp(1, n) - 1,
        Err(_) => rng.random_range(0..n),
    };
    let mut t = load.from_s;
    loop {
        let rate = load.per_s * factor(t);
        let Ok(gap) = Exp::new(rate) else { return all };
        // A rate of zero gives infinite gaps.
        t += f64::min(gap.sample(&mut rng), 3600.0);
        if t >= scenario.length_s {
            return all;
        }
        let notice = rng.random_bool(load.notice_share);
        let dest = match notice {
            true => drawn(usize::from(partners), &mut rng) as u16,
            false => banks[drawn(banks.len(), &mut rng)],
        };
        let home = drawn(scenario.senders, &mut rng);
        all.push(Arrival { at: micros(t), home, class: usize::from(!notice), dest });
    }
}

/// All clients of a run.
pub struct Clients {
    senders: Vec<SocketAddr>,
    usable: Vec<AtomicBool>,
    kept: Vec<Mutex<Vec<TcpStream>>>,
    registry: Arc<Registry>,
    recorder: Recorder,
    body_bytes: usize,
    retries: u32,
    /// Time from the scheduled hand-in to the deadline, by class.
    lifetimes: [Micros; 2],
    names: [&'static str; 2],
    open: AtomicUsize,
    done: watch::Sender<bool>,
}

/// The tenant of all messages that don't belong to a session.
pub const TENANT: &str = "weatherization";

/// Further headers of a request.
struct More<'a> {
    tenant: &'a str,
    /// Value of the retry header; empty for the first try.
    mark: &'a str,
}

enum HandIn {
    /// Accepted, with a session's token if the tenant's plan has them.
    Taken(Option<String>),
    Refused(Option<Micros>),
    Failed,
    Nobody,
}

impl Clients {
    /// Creates the clients of these senders.
    pub fn new(
        scenario: &Scenario,
        senders: Vec<SocketAddr>,
        registry: Arc<Registry>,
        recorder: Recorder,
    ) -> Arc<Self> {
        Arc::new(Self {
            usable: senders.iter().map(|_| AtomicBool::new(!scenario.start.early)).collect(),
            kept: senders.iter().map(|_| Mutex::default()).collect(),
            senders,
            registry,
            recorder,
            body_bytes: scenario.load.body_bytes,
            retries: scenario.load.retries,
            lifetimes: [scenario.notice, scenario.disbursement].map(|times| micros(times.deadline_s)),
            names: ["notice", "disbursement"],
            open: AtomicUsize::new(0),
            done: watch::Sender::new(false),
        })
    }

    /// Checks each sender's readiness during the run.
    pub fn watch(self: &Arc<Self>) -> tokio::task::JoinSet<()> {
        let mut looking = tokio::task::JoinSet::new();
        let every =
            CHECK_INTERVAL.max(Duration::from_secs(1) * self.senders.len() as u32 / MAX_CHECKS_PER_S as u32);
        let max_unanswered =
            (CHECK_INTERVAL * UNANSWERED_CHECKS).div_duration_f64(every).ceil().max(2.0) as u32;
        for sender in 0..self.senders.len() {
            let clients = self.clone();
            looking.spawn(async move {
                let mut unanswered = 0;
                // Spread over the interval instead of all at once.
                tokio::time::sleep(every.mul_f64(sender as f64 / clients.senders.len() as f64)).await;
                loop {
                    tokio::time::sleep(every).await;
                    match timeout(ANSWER_TIMEOUT, clients.is_ready(sender)).await.ok().flatten() {
                        Some(ready) => {
                            unanswered = 0;
                            clients.usable[sender].store(ready, Ordering::Relaxed);
                        }
                        None => unanswered += 1,
                    }
                    if unanswered >= max_unanswered {
                        clients.usable[sender].store(false, Ordering::Relaxed);
                    }
                }
            });
        }
        looking
    }

    async fn is_ready(&self, sender: usize) -> Option<bool> {
        let mut stream = TcpStream::connect(self.senders[sender]).await.ok()?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n").await.ok()?;
        Some(answer(&mut stream).await?.status == 200)
    }

    /// Hands in all messages at their times; returns once each has ended.
    pub async fn play(self: &Arc<Self>, arrivals: Vec<Arrival>, seed: u64, begin: Micros) {
        for (n, arrival) in arrivals.into_iter().enumerate() {
            self.recorder.until(begin + arrival.at).await;
            self.open.fetch_add(1, Ordering::Relaxed);
            let clients = self.clone();
            tokio::spawn(async move {
                clients.message(n, arrival, begin, ChaCha8Rng::seed_from_u64(seed ^ n as u64)).await;
                clients.open.fetch_sub(1, Ordering::Relaxed);
                clients.done.send_replace(true);
            });
        }
        self.over().await;
    }

    /// Waits until every message has ended.
    pub async fn over(&self) {
        let mut done = self.done.subscribe();
        let _ = done.wait_for(|_| self.open.load(Ordering::Relaxed) == 0).await;
    }

    /// Number of messages that have not ended.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// One message, from its first try to its end.
    async fn message(&self, n: usize, arrival: Arrival, begin: Micros, mut rng: ChaCha8Rng) {
        let root = format!("m{n}");
        let meant = begin + arrival.at;
        let deadline = meant + self.lifetimes[arrival.class];
        let key = (arrival.class == 0).then(|| format!("key-{n}"));
        let mut body = format!("message {n} ").into_bytes();
        body.resize(self.body_bytes.max(body.len()), b'.');
        let (mut refusals, mut losses, mut mark) = (0, 0, "");
        let mut at = arrival.home;
        for n in 0u32.. {
            if n > 0 || !self.usable[at].load(Ordering::Relaxed) {
                at = self.other(at, n > 0 && mark == "again", &mut rng);
            }
            let id = if n == 0 { root.clone() } else { format!("{root}-{n}") };
            let message = Message {
                root: root.clone(),
                sender: at,
                class: arrival.class,
                dest: arrival.dest,
                key: key.clone(),
                body: digest(&body),
                deadline,
                taken: false,
                void: false,
                called: false,
                calls: 0,
                ended: false,
                delivered: false,
            };
            let end = self.registry.offer(&id, message);
            self.recorder.see(What::Offered {
                id: id.clone(),
                root: root.clone(),
                sender: at,
                class: arrival.class,
                dest: arrival.dest,
                meant,
                deadline,
            });
            let more = More { tenant: TENANT, mark };
            let told = self.hand_in(at, &id, &arrival, key.as_deref(), deadline, &more, &body).await;
            let end = match told {
                HandIn::Taken(_) => {
                    let until = self.recorder.instant(deadline + LISTEN_ON);
                    match tokio::time::timeout_at(until, end).await {
                        Ok(Ok(end)) => end,
                        _ => End::Failed,
                    }
                }
                HandIn::Refused(again) => End::Deferred(again),
                HandIn::Failed => End::Failed,
                HandIn::Nobody => End::Orphaned,
            };
            let rest = match end {
                End::Delivered | End::Failed => break,
                End::Deferred(again) => {
                    refusals += 1;
                    if refusals > self.retries {
                        break;
                    }
                    mark = "1";
                    again.unwrap_or(0).max(rng.random_range(BACKOFF_MS.0..=BACKOFF_MS.1) * 1000)
                }
                End::Orphaned => {
                    losses += 1;
                    if losses > MAX_LOST_TRIES {
                        break;
                    }
                    mark = "again";
                    rng.random_range(FAILOVER_MS.0..=FAILOVER_MS.1) * 1000
                }
            };
            let next = self.recorder.now() + rest;
            if next >= deadline {
                break;
            }
            tokio::time::sleep_until(self.recorder.instant(next)).await;
        }
        self.recorder.see(What::Closed { root });
    }

    /// Hands in one message without retries; returns its token, if any, when it was accepted. Its end is
    /// awaited in the background.
    pub async fn once(self: &Arc<Self>, id: &str, arrival: &Arrival, tenant: &str) -> Option<Option<String>> {
        let at = arrival.home;
        let meant = self.recorder.now();
        let deadline = meant + self.lifetimes[arrival.class];
        let key = (arrival.class == 0).then(|| format!("key-{id}"));
        let mut body = format!("message {id} ").into_bytes();
        body.resize(self.body_bytes.max(body.len()), b'.');
        let message = Message {
            root: id.to_owned(),
            sender: at,
            class: arrival.class,
            dest: arrival.dest,
            key: key.clone(),
            body: digest(&body),
            deadline,
            taken: false,
            void: false,
            called: false,
            calls: 0,
            ended: false,
            delivered: false,
        };
        let end = self.registry.offer(id, message);
        let (class, dest) = (arrival.class, arrival.dest);
        let (own, root) = (id.to_owned(), id.to_owned());
        self.recorder.see(What::Offered { id: own, root, sender: at, class, dest, meant, deadline });
        let more = More { tenant, mark: "" };
        let told = self.hand_in(at, id, arrival, key.as_deref(), deadline, &more, &body).await;
        let root = id.to_owned();
        let HandIn::Taken(token) = told else {
            self.recorder.see(What::Closed { root });
            return None;
        };
        self.open.fetch_add(1, Ordering::Relaxed);
        let clients = self.clone();
        tokio::spawn(async move {
            let until = clients.recorder.instant(deadline + LISTEN_ON);
            let _ = tokio::time::timeout_at(until, end).await;
            clients.recorder.see(What::Closed { root });
            clients.open.fetch_sub(1, Ordering::Relaxed);
            clients.done.send_replace(true);
        });
        Some(token)
    }

    /// A usable sender: the given one unless it is to be avoided or is down, else another; the same if there
    /// is none.
    fn other(&self, at: usize, leave: bool, rng: &mut ChaCha8Rng) -> usize {
        if !leave && self.usable[at].load(Ordering::Relaxed) {
            return at;
        }
        let usable = |n: &usize| *n != at && self.usable[*n].load(Ordering::Relaxed);
        let others: Vec<usize> = (0..self.senders.len()).filter(usable).collect();
        if others.is_empty() { at } else { others[rng.random_range(0..others.len())] }
    }

    #[allow(clippy::too_many_arguments)]
    async fn hand_in(
        &self,
        at: usize,
        id: &str,
        arrival: &Arrival,
        key: Option<&str>,
        deadline: Micros,
        more: &More<'_>,
        body: &[u8],
    ) -> HandIn {
        let left = deadline.saturating_sub(self.recorder.now()) / 1000;
        let class = self.names[arrival.class];
        let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let (tenant, mark) = (more.tenant, more.mark);
        let mark = if mark.is_empty() { String::new() } else { format!("Req-Retry: {mark}\r\n") };
        let mut request = format!(
            "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n\
             Req-Owner: {tenant}\r\n{key}{mark}Req-Deadline-Ms: {left}\r\nX-Consignee: dest={}\r\n\
             Content-Length: {}\r\n\r\n",
            arrival.dest,
            body.len()
        )
        .into_bytes();
        request.extend_from_slice(body);
        let void = || {
            self.registry.with(id, |message| message.void = true);
            self.recorder.see(What::GaveUp { id: id.to_owned() });
            HandIn::Nobody
        };
        let kept = self.kept[at].lock().ok().and_then(|mut kept| kept.pop());
        let mut fresh = kept.is_none();
        let mut stream = match kept {
            Some(stream) => stream,
            None => match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.senders[at])).await {
                Ok(Ok(stream)) => stream,
                _ => return void(),
            },
        };
        loop {
            let _ = stream.set_nodelay(true);
            let asked = async {
                stream.write_all(&request).await.ok()?;
                answer(&mut stream).await
            };
            match timeout(ANSWER_TIMEOUT, asked).await {
                Err(_) => return void(),
                Ok(Some(Answer { status, headers, keep, .. })) => {
                    if let (true, Ok(mut kept)) = (keep, self.kept[at].lock())
                        && kept.len() < MAX_IDLE
                    {
                        kept.push(stream);
                    }
                    let taken = matches!(status, 200 | 202);
                    self.registry.with(id, |message| message.taken = taken);
                    self.recorder.see(What::Heard { id: id.to_owned(), status });
                    let again = headers.get("retry-after").and_then(|s| s.parse().ok()).map(micros);
                    return match status {
                        200 | 202 => HandIn::Taken(headers.get("session-token").cloned()),
                        429 | 503 => HandIn::Refused(again),
                        _ => HandIn::Failed,
                    };
                }
                Ok(None) if fresh => {
                    self.registry.with(id, |message| message.void = true);
                    self.recorder.see(What::Heard { id: id.to_owned(), status: 0 });
                    return HandIn::Nobody;
                }
                // The sender may close an idle connection while a request is in flight: it is sent again on a
                // new one.
                Ok(None) => {
                    fresh = true;
                    stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.senders[at])).await {
                        Ok(Ok(stream)) => stream,
                        _ => return void(),
                    };
                }
            }
        }
    }
}

/// An answer.
pub(super) struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: HashMap<String, String>,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection stays open.
    keep: bool,
}

/// The next answer on a connection; `None` if the connection ends before.
pub(super) async fn answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut buffer = Vec::with_capacity(512);
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut parsed = httparse::Response::new(&mut headers);
        if let httparse::Status::Complete(head) = parsed.parse(&buffer).ok()? {
            let status = parsed.code?;
            let headers: HashMap<String, String> = parsed
                .headers
                .iter()
                .map(|h| (h.name.to_ascii_lowercase(), String::from_utf8_lossy(h.value).into_owned()))
                .collect();
            let length = headers.get("content-length").map_or(Some(0), |n| n.parse::<usize>().ok())?;
            if buffer.len() >= head + length {
                let close = headers.get("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
                let body = buffer[head..head + length].to_vec();
                return Some(Answer { status, headers, body, keep: !close });
            }
        }
        if buffer.len() > MAX_ANSWER_BYTES || stream.read_buf(&mut buffer).await.ok()? == 0 {
            return None;
        }
    }
}
