//! HTTP calls to endpoints: connection reuse, single messages, batches and probes. A request is written once
//! and never repeated by this module. Whether its last byte can have left decides how a failed call is
//! reported.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use myrtleyard::interface::{EndpointId, Event, MessageId, Micros, Outcome, RouteId};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc::UnboundedSender, oneshot};
use tokio::time::{Instant, timeout, timeout_at};

use super::counters::Counters;
use super::{AttemptEnd, BODY_LIMIT, Inbound, socket};

/// Size of a connection's read buffer, which also bounds the head of a response. Bytes.
const CALL_BUFFER: usize = 8 * 1024;
/// Maximum number of connections whose responses are read to their end after their calls have ended. Further
/// ones are closed.
const MAX_DRAINED_CONNECTIONS: usize = 32;
/// Time for reading a response body without meaning, so that the connection can be reused; after that the
/// connection is closed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of response bytes kept for recognizing the status line; a longer line is not recognized.
const STATUS_LINE_BYTES: usize = 64;

/// Bytes seen on a connection, as far as they matter for the outcome of a call.
#[derive(Default)]
struct Traffic {
    written: Cell<u64>,
    /// The first bytes of the response to the last request.
    answer: RefCell<Vec<u8>>,
    /// Messages to be counted once their request is written completely.
    due: RefCell<Option<UncountedMessages>>,
    /// The call that uses the connection.
    state: RefCell<Weak<CallState>>,
    /// The next read peeks at the socket to see whether the idle connection is still clean.
    check_idle: Cell<bool>,
}

/// Messages of a request that is being written.
struct UncountedMessages {
    messages: usize,
    /// Bytes written on the connection before it.
    before: u64,
    /// The length of its body.
    length: u64,
    counters: Rc<Counters>,
}

impl Traffic {
    /// To be called when all buffered bytes are written. A request is complete once more than its body's
    /// length was written: the head has at least one byte and goes first, and both are buffered together.
    fn flushed(&self) {
        let whole = |due: &mut UncountedMessages| self.written.get() > due.before + due.length;
        if let Some(due) = self.due.borrow_mut().take_if(whole) {
            due.counters.count_sent(due.messages);
            if let Some(state) = self.state.borrow().upgrade() {
                state.fully_written.set(true);
            }
        }
    }

    /// Whether the status line of the response says 200, even if the rest can't be read. A truncated line
    /// does not count.
    fn has_ok_status(&self) -> bool {
        let answer = self.answer.borrow();
        answer.contains(&b'\n')
            && answer.starts_with(b"HTTP/1.")
            && answer.get(8..12) == Some(b" 200")
            && answer.get(12).is_some_and(u8::is_ascii_whitespace)
    }
}

/// A stream that records its traffic.
struct CountedStream {
    stream: TcpStream,
    traffic: Rc<Traffic>,
}

impl CountedStream {
    /// Returns the read result of an idle connection that was closed or reset, or that has received bytes
    /// without a request; `None` if it is clean. The runtime learns of these only when it next polls its
    /// sockets, which may be after a request was written: the request would then fail as a reset, or take
    /// those bytes for its response.
    fn peek_idle(&self) -> Option<io::Result<()>> {
        // The duplicate shares the non-blocking socket. Without a free descriptor, the runtime's knowledge
        // has to do.
        let socket = std::net::TcpStream::from(self.stream.as_fd().try_clone_to_owned().ok()?);
        let peeked = loop {
            match socket.peek(&mut [0]) {
                Err(why) if why.kind() == io::ErrorKind::Interrupted => {}
                peeked => break peeked,
            }
        };
        match peeked {
            Ok(0) => Some(Ok(())),
            Ok(_) => Some(Err(io::Error::other("unexpected bytes on an idle connection"))),
            Err(why) if why.kind() == io::ErrorKind::WouldBlock => None,
            Err(why) => Some(Err(why)),
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.traffic.check_idle.take()
            && let Some(end) = self.peek_idle()
        {
            return Poll::Ready(end);
        }
        let before = buf.filled().len();
        let poll = socket::poll_read(&self.stream, cx, buf);
        let mut answer = self.traffic.answer.borrow_mut();
        let wanted = STATUS_LINE_BYTES - answer.len();
        answer.extend(buf.filled()[before..].iter().take(wanted));
        poll
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let state = self.traffic.state.borrow().upgrade();
        if state.as_ref().is_some_and(|state| state.stale()) {
            return Poll::Ready(Err(io::Error::other(
                "a message in the request was given up or is too late",
            )));
        }
        let poll = socket::poll_write(&self.stream, cx, buf);
        if let Poll::Ready(Ok(n)) = &poll {
            let written = &self.traffic.written;
            written.set(written.get() + *n as u64);
            if let Some(state) = state.filter(|_| *n > 0) {
                state.write_started.set(true);
            }
        }
        poll
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_flush(cx);
        if let Poll::Ready(Ok(())) = &poll {
            self.traffic.flushed();
        }
        poll
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

type HttpConnection = Pin<Box<Connection<TokioIo<CountedStream>, Full<Bytes>>>>;

/// A connection for one request at a time. It is polled only together with a request, so that dropping it
/// closes its socket immediately.
pub struct Conn {
    sender: SendRequest<Full<Bytes>>,
    driver: Option<HttpConnection>,
    traffic: Rc<Traffic>,
}

impl Conn {
    /// Opens a connection to an endpoint.
    ///
    /// # Errors
    /// Fails when none is made.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Self::open_with_buffer(address, CALL_BUFFER).await
    }

    /// Opens a connection with a read buffer of this size, which also bounds the head of a response. Bytes.
    ///
    /// # Errors
    /// Fails when none is made.
    pub async fn open_with_buffer(address: SocketAddr, buffer: usize) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let traffic = Rc::new(Traffic::default());
        let io = TokioIo::new(CountedStream { stream, traffic: traffic.clone() });
        let handshake = Builder::new().read_buf_exact_size(Some(buffer)).handshake(io).await;
        let (sender, driver) = handshake.map_err(io::Error::other)?;
        Ok(Self { sender, driver: Some(Box::pin(driver)), traffic })
    }

    /// Polls a future together with the connection, on whose I/O it depends.
    async fn drive<F: Future>(driver: &mut Option<HttpConnection>, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(output);
            }
            if driver.as_mut().is_some_and(|d| d.as_mut().poll(cx).is_ready()) {
                *driver = None;
            }
            future.as_mut().poll(cx)
        })
        .await
    }

    /// Whether another request may be written on a connection that was idle: the peer has neither closed it
    /// nor sent anything up to now, by a check of the socket itself.
    pub async fn still_usable(&mut self) -> bool {
        self.traffic.check_idle.set(true);
        self.usable().await
    }

    /// Whether another request may be written: the peer has not closed the connection, as far as the runtime
    /// knows.
    pub async fn usable(&mut self) -> bool {
        let driver = &mut self.driver;
        let open =
            poll_fn(|cx| Poll::Ready(driver.as_mut().is_some_and(|d| d.as_mut().poll(cx).is_pending())));
        open.await && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// Fails when the connection breaks.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, ()> {
        self.traffic.answer.borrow_mut().clear();
        let sent = self.sender.try_send_request(request);
        Self::drive(&mut self.driver, sent).await.map_err(|_| ())
    }

    /// Reads the next bytes of a response body; `None` at its end.
    ///
    /// # Errors
    /// Fails when it breaks off.
    pub async fn next_chunk(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, ()> {
        loop {
            let frame = match Self::drive(&mut self.driver, body.frame()).await {
                Some(frame) => frame.map_err(|_| ())?,
                None => return Ok(None),
            };
            // Trailers are ignored.
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
    }

    /// Reads the rest of a response body. The chunks are copied, since each of them keeps the whole buffer
    /// that it was read into.
    ///
    /// # Errors
    /// Fails when it breaks off or is longer than the limit for bodies.
    pub async fn body(&mut self, mut body: Incoming) -> Result<Bytes, ()> {
        let mut whole = Vec::new();
        while let Some(chunk) = self.next_chunk(&mut body).await? {
            if whole.len() + chunk.len() > BODY_LIMIT {
                return Err(());
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.into())
    }

    /// Reads the rest of a response body and discards it.
    ///
    /// # Errors
    /// Fails when it breaks off or is longer than the limit for bodies.
    async fn discard(&mut self, mut body: Incoming) -> Result<(), ()> {
        let mut discarded = 0;
        while let Some(chunk) = self.next_chunk(&mut body).await? {
            discarded += chunk.len();
            if discarded > BODY_LIMIT {
                return Err(());
            }
        }
        Ok(())
    }
}

/// The connection target of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Target {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    /// The route that its Retry-After applies to.
    pub route: RouteId,
}

/// A message of a call.
#[derive(Debug, Clone)]
pub struct CallMessage {
    pub message: MessageId,
    /// The attempt's number.
    pub attempt: u16,
    /// Its `Req-Id`.
    pub id: String,
    /// Its `Idempotency-Key`.
    pub key: Option<String>,
    pub body: Bytes,
    /// The message is not written after this time, nor is its outcome waited for, unless other messages in
    /// the call have longer.
    pub until: Instant,
    /// Nor is it written after this time, though a response may still come later: a repeat must reach the
    /// endpoint before the endpoint forgets its key.
    pub write_by: Instant,
}

/// Limits on calls and connections.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Connect timeout.
    pub connect: Micros,
    /// Endpoints close connections that were idle for this long.
    pub idle: Micros,
    /// Maximum number of connections to endpoints, including idle ones.
    pub connections: usize,
    /// Names of the fields of a load report.
    pub report: Vec<String>,
}

struct Idle {
    conn: Conn,
    since: Instant,
}

/// The messages that share one call. Each of them may be given up until the request's last byte is written:
/// before the first byte, the others are sent without it; after that, the whole call is aborted. In both
/// cases nothing that was given up has run.
struct CallState {
    endpoint: EndpointId,
    /// Ends the call, and all its messages, with this outcome; works once.
    abort_sender: Cell<Option<oneshot::Sender<Outcome>>>,
    /// At least one byte of the request was handed to the socket.
    write_started: Cell<bool>,
    /// The complete request was handed to the socket.
    fully_written: Cell<bool>,
    /// Attempts given up before that: they never run.
    excluded: RefCell<BTreeSet<(MessageId, u16)>>,
    /// The composed request contains such an attempt.
    has_excluded: Cell<bool>,
    /// The time by which the composed request must be written, if it contains a repeat that is bound to one.
    write_by: Cell<Option<Instant>>,
    /// Number of messages in the composed request.
    messages: Cell<usize>,
    /// The traffic of the connection that carries the request.
    traffic: RefCell<Option<Rc<Traffic>>>,
}

impl CallState {
    fn new(endpoint: EndpointId) -> (Rc<Self>, oneshot::Receiver<Outcome>) {
        let (abort_sender, aborted) = oneshot::channel();
        let state = Self {
            endpoint,
            abort_sender: Cell::new(Some(abort_sender)),
            write_started: Cell::new(false),
            fully_written: Cell::new(false),
            excluded: RefCell::default(),
            has_excluded: Cell::new(false),
            write_by: Cell::new(None),
            messages: Cell::new(0),
            traffic: RefCell::default(),
        };
        (Rc::new(state), aborted)
    }

    fn end(&self, outcome: Outcome) {
        if let Some(abort_sender) = self.abort_sender.take() {
            let _ = abort_sender.send(outcome);
        }
    }

    /// Whether the request must not be written as composed, or not any further.
    fn stale(&self) -> bool {
        let late = || self.write_started.get() && self.write_by.get().is_some_and(|by| by <= Instant::now());
        !self.fully_written.get() && (self.has_excluded.get() || late())
    }

    /// Excludes an attempt from the request. Returns false once the last byte is written. A partly written
    /// request is aborted together with its connection: the endpoint never receives its end, so nothing of it
    /// runs.
    fn exclude(&self, attempt: (MessageId, u16)) -> bool {
        if self.fully_written.get() {
            return false;
        }
        self.excluded.borrow_mut().insert(attempt);
        self.has_excluded.set(true);
        if self.write_started.get() {
            self.end(Outcome::Moot { no_slot: false });
        }
        true
    }

    /// The outcome of one message, given the outcome of its call.
    fn outcome_of(&self, part: &CallMessage, outcome: Outcome) -> Outcome {
        let excluded = self.excluded.borrow().contains(&(part.message, part.attempt));
        // A failed connect is reported in any case, even if nobody waits for the message any more.
        if excluded && outcome != Outcome::ConnectFailed { Outcome::Moot { no_slot: false } } else { outcome }
    }

    /// The outcome of a call whose response is incomplete: for a single message, a status line with 200 is
    /// enough for a delivery.
    fn outcome_without_response(&self, outcome: Outcome) -> Outcome {
        let reported = self.traffic.borrow().as_ref().is_some_and(|traffic| traffic.has_ok_status());
        if reported && self.messages.get() == 1 { Outcome::Delivered } else { outcome }
    }

    /// Composes the request, at the time when it can be written; `None` if no message is left.
    fn compose(&self, target: Target, parts: &[CallMessage], until: Instant) -> Option<Composed> {
        let now = Instant::now();
        let late = parts.iter().filter(|part| part.until.min(part.write_by) <= now);
        self.excluded.borrow_mut().extend(late.map(|part| (part.message, part.attempt)));
        self.has_excluded.set(false);
        let excluded = self.excluded.borrow();
        let parts = parts.iter().filter(|part| !excluded.contains(&(part.message, part.attempt)));
        let parts: Vec<&CallMessage> = parts.collect();
        let bound = parts.iter().filter(|part| part.write_by < part.until).map(|part| part.write_by);
        self.write_by.set(bound.min());
        let left = until.saturating_duration_since(now).as_millis().max(1);
        let request = Request::builder()
            .method(Method::POST)
            .header("host", target.address.to_string())
            .header("req-deadline-ms", left.to_string());
        let (request, body) = match *parts {
            [] => return None,
            [part] => {
                let request = request.uri("/v1/messages").header("req-id", &part.id);
                let request = match &part.key {
                    Some(key) => request.header("idempotency-key", key),
                    None => request,
                };
                (request, part.body.clone())
            }
            _ => {
                let batch = parts.iter().map(|p| BatchPart {
                    id: &p.id,
                    key: p.key.as_deref(),
                    body: STANDARD.encode(&p.body),
                });
                let body = serde_json::to_vec(&batch.collect::<Vec<_>>()).ok()?;
                let request = request.uri("/v1/messages:batch").header("content-type", "application/json");
                (request, Bytes::from(body))
            }
        };
        let (length, messages) = (body.len(), parts.len());
        // Ids and keys were received as header values, so they are valid ones.
        Some(Composed { request: request.body(Full::new(body)).ok()?, length, messages })
    }
}

/// A request, the length of its body, and the number of messages in it.
struct Composed {
    request: Request<Full<Bytes>>,
    length: usize,
    messages: usize,
}

struct Shared {
    limits: RefCell<Limits>,
    counters: Rc<Counters>,
    inbound: UnboundedSender<Inbound>,
    idle: RefCell<HashMap<Target, Vec<Idle>>>,
    /// Number of connections in use.
    busy: Cell<usize>,
    /// Number of connections whose responses are read to their end after their calls have ended.
    drained: Cell<usize>,
    /// Requested waits by route, until when. They are checked again before writing, since a connection may
    /// come up long after its call was decided.
    waits: RefCell<HashMap<RouteId, Instant>>,
    /// The call of each attempt in flight.
    out: RefCell<BTreeMap<(MessageId, u16), Rc<CallState>>>,
}

/// All calls in flight and all idle connections.
#[derive(Clone)]
pub struct Calls(Rc<Shared>);

#[derive(Serialize)]
struct BatchPart<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

#[derive(Deserialize)]
struct BatchEnd {
    id: String,
    state: String,
}

impl Calls {
    /// Creates an empty set of calls, and a task that closes idle connections in time.
    pub fn new(limits: Limits, counters: Rc<Counters>, inbound: UnboundedSender<Inbound>) -> Self {
        let limits = RefCell::new(limits);
        let (idle, busy, drained) = (RefCell::default(), Cell::new(0), Cell::new(0));
        let (waits, out) = (RefCell::default(), RefCell::default());
        let calls = Self(Rc::new(Shared { limits, counters, inbound, idle, busy, drained, waits, out }));
        let sweeper = calls.clone();
        tokio::task::spawn_local(async move {
            let mut tick = tokio::time::interval(Duration::from_millis(250));
            loop {
                tick.tick().await;
                let shared = &sweeper.0;
                shared.idle.borrow_mut().retain(|_, conns| {
                    conns.retain(|idle| shared.is_reusable(idle));
                    !conns.is_empty()
                });
            }
        });
        calls
    }

    /// Puts new limits in force.
    pub fn set_limits(&self, limits: Limits) {
        self.0.limits.replace(limits);
    }

    /// Notes a requested wait: nothing is written on the route before it is over, whatever was decided
    /// earlier.
    pub fn hold(&self, route: RouteId, wait: Micros) {
        self.0.hold(route, wait);
    }

    /// Number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.0.out.borrow().len()
    }

    /// Starts a call with one or more messages; its end is reported as [`Inbound::CallEnded`]. Until its last
    /// byte is written, each message may be given up and then never runs.
    pub fn start(&self, target: Target, parts: Vec<CallMessage>) {
        let shared = self.0.clone();
        let (state, aborted) = CallState::new(target.endpoint);
        for part in &parts {
            shared.out.borrow_mut().insert((part.message, part.attempt), state.clone());
        }
        let begun = Instant::now();
        let until = parts.iter().map(|part| part.until).max().unwrap_or(begun);
        tokio::task::spawn_local(async move {
            let rest = tokio::select! {
                // A cancelled call must not get written first.
                biased;
                Ok(outcome) = aborted => {
                    shared.report_end(&state, &parts, begun, outcome);
                    None
                }
                result = timeout_at(until, shared.call(target, &state, &parts, until)) => match result {
                    Ok(Ok(answered)) => {
                        shared.report_ends(&state, &parts, begun, &answered);
                        answered.rest
                    }
                    Ok(Err(outcome)) => {
                        shared.report_end(&state, &parts, begun, state.outcome_without_response(outcome));
                        None
                    }
                    Err(_) => {
                        let ran = state.fully_written.get();
                        let outcome = if ran { Outcome::TimedOut } else { Outcome::ConnectFailed };
                        shared.report_end(&state, &parts, begun, state.outcome_without_response(outcome));
                        None
                    }
                },
            };
            if let Some((conn, body)) = rest {
                shared.finish(target, conn, body).await;
            }
        });
    }

    /// Cancels an attempt by closing its connection, together with all messages in the same call.
    pub fn cancel(&self, message: MessageId, attempt: u16) {
        if let Some(state) = self.0.out.borrow().get(&(message, attempt)) {
            state.end(Outcome::Cancelled);
        }
    }

    /// Gives a message up: nothing more of it is written, whatever else is in its calls. Returns the attempts
    /// that were in flight and never run.
    pub fn give_up(&self, message: MessageId) -> Vec<u16> {
        let out = self.0.out.borrow();
        let attempts = out.range((message, 0)..=(message, u16::MAX));
        attempts.filter(|(id, state)| state.exclude(**id)).map(|(id, _)| id.1).collect()
    }

    /// Ends the calls that are not completely written yet, for all endpoints that must not be called any
    /// more.
    pub fn abort_unwritten(&self, over: impl Fn(EndpointId) -> bool) {
        let out = self.0.out.borrow();
        let unwritten = out.values().filter(|state| !state.fully_written.get() && over(state.endpoint));
        unwritten.for_each(|state| state.end(Outcome::Moot { no_slot: false }));
    }

    /// Probes an endpoint; the result is reported as [`Event::Probed`].
    pub fn probe(&self, target: Target) {
        let shared = self.0.clone();
        tokio::task::spawn_local(async move {
            let path = if shared.limits.borrow().report.is_empty() { "/health" } else { "/status/load" };
            let within = Duration::from_micros(shared.limits.borrow().connect);
            let (state, _) = CallState::new(target.endpoint);
            let until = Instant::now() + within;
            let host = target.address.to_string();
            let compose = || {
                let request = Request::get(path).header("host", &host).body(Full::default()).ok()?;
                Some(Composed { request, length: 0, messages: 0 })
            };
            let probed = async {
                let (mut conn, answer) = shared.exchange(target, &state, compose, until).await?;
                let (head, body) = answer.into_parts();
                let body = conn.0.body(body).await.map_err(|()| Outcome::Reset)?;
                shared.keep_idle(target, conn).await;
                let mut report = shared.report(&head.headers);
                if report.is_empty() {
                    report = std::str::from_utf8(&body).map_or(vec![], |text| shared.fields(text));
                }
                Ok((outcome(head.status, &head.headers, 1), report))
            };
            let (outcome, report) = match timeout(within, probed).await {
                Ok(Ok(seen)) => seen,
                Ok(Err(outcome)) => (outcome, vec![]),
                Err(_) if state.write_started.get() => (Outcome::TimedOut, vec![]),
                Err(_) => (Outcome::ConnectFailed, vec![]),
            };
            let endpoint = target.endpoint;
            let _ = shared.inbound.send(Inbound::Event(Event::Probed { endpoint, outcome, report }));
        });
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.0.idle.borrow_mut().clear();
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.0.idle.borrow_mut().retain(|target, _| target.endpoint != endpoint);
    }
}

/// Counts a connection as in use until it is dropped.
struct InUse(Rc<Shared>);

impl InUse {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.busy.set(shared.busy.get() + 1);
        Self(shared.clone())
    }
}

impl Drop for InUse {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
    }
}

/// A connection in use.
struct Busy(Conn, InUse);

/// The response to a call, read as far as it matters.
struct CallResult {
    ends: Vec<(Outcome, bool)>,
    report: Vec<f32>,
    rest: Option<(Busy, Option<Incoming>)>,
}

impl Shared {
    fn hold(&self, route: RouteId, wait: Micros) {
        let now = Instant::now();
        let until = now + Duration::from_micros(wait);
        let mut waits = self.waits.borrow_mut();
        waits.retain(|_, until| *until > now);
        waits.entry(route).and_modify(|reported| *reported = until.max(*reported)).or_insert(until);
    }

    fn is_held(&self, route: RouteId) -> bool {
        self.waits.borrow().get(&route).is_some_and(|until| *until > Instant::now())
    }

    fn is_reusable(&self, idle: &Idle) -> bool {
        // A margin, so that nothing is written to a connection that the endpoint is just closing.
        idle.since.elapsed().as_micros() < u128::from(self.limits.borrow().idle / 5 * 4)
    }

    fn pop_idle(&self, target: Target) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&target)?;
        conns.retain(|idle| self.is_reusable(idle));
        Some(conns.pop()?.conn)
    }

    /// At the connection limit, closes the connection that has been idle the longest.
    fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let count: usize = idle.values().map(Vec::len).sum();
        if count > 0 && count + self.busy.get() >= self.limits.borrow().connections {
            let oldest = idle.iter().filter_map(|(l, c)| Some((c.first()?.since, *l))).min_by_key(|o| o.0);
            if let Some(conns) = oldest.and_then(|o| idle.get_mut(&o.1)) {
                conns.remove(0);
            }
        }
    }

    async fn connect(
        self: &Rc<Self>,
        target: Target,
        until: Instant,
        may_reuse: bool,
    ) -> Result<(Busy, bool), Outcome> {
        let in_use = InUse::new(self);
        while let Some(mut conn) = may_reuse.then(|| self.pop_idle(target)).flatten() {
            if conn.still_usable().await {
                return Ok((Busy(conn, in_use), true));
            }
        }
        self.close_oldest_idle();
        let until = until.min(Instant::now() + Duration::from_micros(self.limits.borrow().connect));
        match timeout_at(until, Conn::open(target.address)).await {
            Ok(Ok(conn)) => Ok((Busy(conn, in_use), false)),
            _ => Err(Outcome::ConnectFailed),
        }
    }

    /// Sends one request, which is composed when it can be written, and returns the head of its response.
    async fn exchange(
        self: &Rc<Self>,
        target: Target,
        state: &Rc<CallState>,
        compose: impl Fn() -> Option<Composed>,
        until: Instant,
    ) -> Result<(Busy, Response<Incoming>), Outcome> {
        let mut may_reuse = true;
        loop {
            let (mut conn, reused) = self.connect(target, until, may_reuse).await?;
            // There is no await from here to the first write; if that write is delayed, `state` prevents an
            // outdated one.
            let composed = if self.is_held(target.route) { None } else { compose() };
            let Some(Composed { request, length, messages }) = composed else {
                self.keep_idle(target, conn).await;
                return Err(Outcome::Moot { no_slot: false });
            };
            let traffic = conn.0.traffic.clone();
            let before = traffic.written.get();
            let counters = self.counters.clone();
            traffic.due.replace(Some(UncountedMessages {
                messages,
                before,
                length: length as u64,
                counters,
            }));
            traffic.state.replace(Rc::downgrade(state));
            state.messages.set(messages);
            state.traffic.replace(Some(traffic.clone()));
            match conn.0.send(request).await {
                Ok(answer) => return Ok((conn, answer)),
                // The peer had closed the connection, or a message was given up, and nothing was written:
                // trying again sends no second copy. A given-up message causes one retry at most, so their
                // number is bounded.
                Err(()) if (reused || state.stale()) && traffic.written.get() == before => {
                    may_reuse &= !reused;
                    state.traffic.replace(None);
                }
                // A request truncated before its last byte never runs.
                Err(()) if !state.fully_written.get() => return Err(Outcome::ConnectFailed),
                Err(()) => return Err(Outcome::Reset),
            }
        }
    }

    async fn call(
        self: &Rc<Self>,
        target: Target,
        state: &Rc<CallState>,
        parts: &[CallMessage],
        until: Instant,
    ) -> Result<CallResult, Outcome> {
        let compose = || state.compose(target, parts, until);
        let (mut conn, answer) = self.exchange(target, state, compose, until).await?;
        let (head, body) = answer.into_parts();
        let (report, wait) = (self.report(&head.headers), requested_wait(&head.headers));
        if let Some(wait) = wait {
            // The wait binds from here on, even if the rest of the response is lost.
            let _ = self.inbound.send(Inbound::Event(Event::RetryAfter { endpoint: target.endpoint, wait }));
            self.hold(target.route, wait);
        }
        if state.messages.get() > 1 && head.status == StatusCode::OK {
            let body = conn.0.body(body).await.map_err(|()| Outcome::Reset)?;
            let reported: Vec<BatchEnd> = serde_json::from_slice(&body).unwrap_or_default();
            let states: HashMap<&str, &str> =
                reported.iter().map(|end| (end.id.as_str(), end.state.as_str())).collect();
            let end = |p: &CallMessage| match states.get(p.id.as_str()).copied() {
                Some("ok") => (Outcome::Delivered, false),
                Some("later") => (Outcome::Full(wait), false),
                Some("gone") => (Outcome::Moot { no_slot: false }, true),
                Some("exhausted") => (Outcome::Moot { no_slot: false }, false),
                // A message that is missing from the response, or has an unknown state, may have run.
                _ => (Outcome::Error, false),
            };
            let ends = parts.iter().map(end).collect();
            return Ok(CallResult { ends, report, rest: Some((conn, None)) });
        }
        let messages = state.messages.get();
        // If the response came before the request was written completely, the connection is closed, so that
        // the rest is not sent.
        let rest = state.fully_written.get().then_some((conn, Some(body)));
        let gone = head.status == StatusCode::GONE && messages == 1;
        let end = (outcome(head.status, &head.headers, messages), gone);
        Ok(CallResult { ends: vec![end; parts.len()], report, rest })
    }

    fn report_end(&self, state: &CallState, parts: &[CallMessage], begun: Instant, outcome: Outcome) {
        let ends = vec![(outcome, false); parts.len()];
        self.report_ends(state, parts, begun, &CallResult { ends, report: vec![], rest: None });
    }

    fn report_ends(&self, state: &CallState, parts: &[CallMessage], begun: Instant, answered: &CallResult) {
        let took = begun.elapsed().as_micros() as Micros;
        let endpoint = state.endpoint;
        let mut over = Vec::with_capacity(parts.len());
        for (part, (outcome, gone)) in parts.iter().zip(&answered.ends) {
            let (message, attempt) = (part.message, part.attempt);
            self.out.borrow_mut().remove(&(message, attempt));
            let excluded = state.excluded.borrow().contains(&(message, attempt));
            // The endpoint knows nothing of a message that was not written, which is therefore still owed.
            let gone = *gone && !excluded;
            let (outcome, report) = (state.outcome_of(part, *outcome), answered.report.clone());
            over.push(AttemptEnd { message, attempt, endpoint, outcome, gone, took, report });
        }
        let _ = self.inbound.send(Inbound::CallEnded(over));
    }

    /// Reads the rest of a response, so that its connection can be reused. A connection whose response does
    /// not end in time, or for which there is no capacity, is closed.
    async fn finish(self: &Rc<Self>, target: Target, mut conn: Busy, body: Option<Incoming>) {
        if let Some(body) = body.filter(|body| !body.is_end_stream()) {
            if self.drained.get() >= MAX_DRAINED_CONNECTIONS {
                return;
            }
            self.drained.set(self.drained.get() + 1);
            let ended = timeout(DRAIN_TIMEOUT, conn.0.discard(body)).await;
            self.drained.set(self.drained.get() - 1);
            if !matches!(ended, Ok(Ok(()))) {
                return;
            }
        }
        self.keep_idle(target, conn).await;
    }

    async fn keep_idle(self: &Rc<Self>, target: Target, conn: Busy) {
        let Busy(mut conn, in_use) = conn;
        if !conn.usable().await {
            return;
        }
        drop(in_use);
        self.idle.borrow_mut().entry(target).or_default().push(Idle { conn, since: Instant::now() });
    }

    fn report(&self, headers: &HeaderMap) -> Vec<f32> {
        let text = headers.get("srv-load").and_then(|v| v.to_str().ok());
        text.map_or(vec![], |text| self.fields(text))
    }

    fn fields(&self, text: &str) -> Vec<f32> {
        let pairs: Vec<(&str, f32)> = text
            .split(',')
            .filter_map(|pair| pair.split_once('='))
            .filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)))
            .filter(|(_, value): &(&str, f32)| value.is_finite())
            .collect();
        if pairs.is_empty() {
            return vec![];
        }
        let find = |name: &String| pairs.iter().find(|p| p.0 == name).map_or(0.0, |p| p.1);
        self.limits.borrow().report.iter().map(find).collect()
    }
}

/// The Retry-After of a response in seconds, if it can be parsed.
fn retry_after(headers: &HeaderMap) -> Option<f64> {
    headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()
}

/// The wait requested by a response, in seconds with decimals; invalid values are ignored.
fn requested_wait(headers: &HeaderMap) -> Option<Micros> {
    // No destination needs a wait of more than an hour.
    let seconds = retry_after(headers)?;
    (seconds > 0.0).then(|| (seconds.min(3600.0) * 1e6).ceil() as Micros)
}

/// The outcome of a call with this number of messages. A status outside the protocol counts as an error: the
/// call may have run.
fn outcome(status: StatusCode, headers: &HeaderMap, messages: usize) -> Outcome {
    match status.as_u16() {
        200 => Outcome::Delivered,
        429 if retry_after(headers).is_none() => Outcome::Error,
        429 => Outcome::Full(requested_wait(headers)),
        503 if headers.get("x-line-busy").is_some_and(|v| v.as_bytes() == b"1") => {
            Outcome::Moot { no_slot: true }
        }
        503 => Outcome::Full(requested_wait(headers)),
        // The message was not processed, or the batch was rejected as a whole: it never ran. Of 410 and 504,
        // batches report per message instead.
        410 | 504 if messages <= 1 => Outcome::Moot { no_slot: false },
        400 | 413 if messages > 1 => Outcome::Moot { no_slot: false },
        _ => Outcome::Error,
    }
}

#[cfg(test)]
mod tests;
