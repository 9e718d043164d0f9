//! Calls to endpoints: connections kept and reused, single messages, batches and probes. A request is
//! written once and never again by itself; how it fared is told by whether its last byte can have left.

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
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Connection, SendRequest};
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use myrtleyard::interface::{EndpointId, Event, MessageId, Micros, Outcome, RouteId};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc::UnboundedSender, oneshot};
use tokio::time::{Instant, timeout, timeout_at};

use super::figures::Figures;
use super::{AttemptOver, Inbound};

/// An answer of more bytes than this is not read to its end.
const ANSWER_LIMIT: usize = 1 << 20;
/// How long the meaningless rest of an answer may take before its connection is given up.
const REST_OF_ANSWER: Duration = Duration::from_secs(1);

/// So many bytes of an answer are kept to tell its first line; a longer line is not taken for one.
const FIRST_LINE_LIMIT: usize = 64;

/// What went over a connection, as far as it tells how a call fared.
#[derive(Default)]
struct Traffic {
    written: Cell<u64>,
    /// How the answer to the last request begins.
    answer: RefCell<Vec<u8>>,
    /// Messages to be counted once they are written whole.
    due: RefCell<Option<Due>>,
    /// The call that the connection is used for.
    load: RefCell<Weak<Load>>,
    /// The next read asks the socket itself whether it is as idle as it should be.
    asks: Cell<bool>,
}

/// Messages of a request that is being written.
struct Due {
    messages: usize,
    /// What had been written before it.
    before: u64,
    /// The length of its body.
    length: u64,
    figures: Rc<Figures>,
}

impl Traffic {
    /// All that was buffered is written. A head of at least a byte goes before the body, and both are buffered
    /// together.
    fn flushed(&self) {
        let whole = |due: &mut Due| self.written.get() > due.before + due.length;
        if let Some(due) = self.due.borrow_mut().take_if(whole) {
            due.figures.sent(due.messages);
            if let Some(load) = self.load.borrow().upgrade() {
                load.whole.set(true);
            }
        }
    }

    /// Whether the first line of the answer says 200, whatever can be read of the rest. A line that breaks off is
    /// none yet.
    fn says_delivered(&self) -> bool {
        let answer = self.answer.borrow();
        answer.contains(&b'\n')
            && answer.starts_with(b"HTTP/1.")
            && answer.get(8..12) == Some(b" 200")
            && answer.get(12).is_some_and(u8::is_ascii_whitespace)
    }
}

/// A stream that notes what goes over it.
struct Counted {
    stream: TcpStream,
    traffic: Rc<Traffic>,
}

impl Counted {
    /// Whether an idle connection was closed, broke, or has bytes that no request asked for; as a read tells it.
    /// The runtime hears of that when it next looks at its sockets, which may be after a request was written:
    /// that would end as a reset, or take those bytes for its answer.
    fn spoilt(&self) -> Option<io::Result<()>> {
        // Shares the socket, which does not block. With no descriptor left what the runtime knows has to do.
        let socket = std::net::TcpStream::from(self.stream.as_fd().try_clone_to_owned().ok()?);
        match socket.peek(&mut [0]) {
            Ok(0) => Some(Ok(())),
            Ok(_) => Some(Err(io::Error::other("bytes that no request asked for"))),
            Err(why) if why.kind() == io::ErrorKind::WouldBlock => None,
            Err(why) => Some(Err(why)),
        }
    }
}

impl AsyncRead for Counted {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.traffic.asks.take()
            && let Some(spoilt) = self.spoilt()
        {
            return Poll::Ready(spoilt);
        }
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let mut answer = self.traffic.answer.borrow_mut();
        let wanted = FIRST_LINE_LIMIT - answer.len();
        answer.extend(buf.filled()[before..].iter().take(wanted));
        poll
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let load = self.traffic.load.borrow().upgrade();
        if load.as_ref().is_some_and(|load| load.stale()) {
            return Poll::Ready(Err(io::Error::other("a message is over")));
        }
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = &poll {
            let written = &self.traffic.written;
            written.set(written.get() + *n as u64);
            if let Some(load) = load.filter(|_| *n > 0) {
                load.begun.set(true);
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

type Wire = Pin<Box<Connection<TokioIo<Counted>, Full<Bytes>>>>;

/// A connection for one request at a time. It is driven only along with a request, so that dropping it
/// closes its socket there and then.
pub struct Conn {
    sender: SendRequest<Full<Bytes>>,
    driver: Option<Wire>,
    traffic: Rc<Traffic>,
}

impl Conn {
    /// Opens a connection.
    ///
    /// # Errors
    /// Fails when none is made.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let traffic = Rc::new(Traffic::default());
        let io = TokioIo::new(Counted { stream, traffic: traffic.clone() });
        let (sender, driver) = hyper::client::conn::http1::handshake(io).await.map_err(io::Error::other)?;
        Ok(Self { sender, driver: Some(Box::pin(driver)), traffic })
    }

    /// Runs a future that needs this connection's bytes to move.
    async fn drive<F: Future>(driver: &mut Option<Wire>, future: F) -> F::Output {
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

    /// Whether a further request may be written on a connection that stood idle: up to now the other side has
    /// neither closed it nor written anything.
    pub async fn still_usable(&mut self) -> bool {
        self.traffic.asks.set(true);
        self.usable().await
    }

    /// Whether a further request may be written: the other side has not closed, as far as is known.
    pub async fn usable(&mut self) -> bool {
        let driver = &mut self.driver;
        let open =
            poll_fn(|cx| Poll::Ready(driver.as_mut().is_some_and(|d| d.as_mut().poll(cx).is_pending())));
        open.await && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Fails when the connection breaks.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, ()> {
        self.traffic.answer.borrow_mut().clear();
        let sent = self.sender.try_send_request(request);
        Self::drive(&mut self.driver, sent).await.map_err(|_| ())
    }

    /// Reads the next bytes of an answer; there are none at its end.
    ///
    /// # Errors
    /// Fails when it breaks off.
    pub async fn piece(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, ()> {
        loop {
            let frame = match Self::drive(&mut self.driver, body.frame()).await {
                Some(frame) => frame.map_err(|_| ())?,
                None => return Ok(None),
            };
            // Trailers mean nothing.
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
    }

    /// Reads the rest of an answer.
    ///
    /// # Errors
    /// Fails when it breaks off or is too long.
    pub async fn body(&mut self, body: Incoming) -> Result<Bytes, ()> {
        let whole = Limited::new(body, ANSWER_LIMIT).collect();
        Self::drive(&mut self.driver, whole).await.map(|b| b.to_bytes()).map_err(|_| ())
    }
}

/// Where an endpoint is dialled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Line {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// What a wait that it tells is about.
    pub route: RouteId,
}

/// A message of a call.
#[derive(Debug, Clone)]
pub struct Part {
    /// The message.
    pub message: MessageId,
    /// The attempt's number.
    pub attempt: u16,
    /// Its `Req-Id`.
    pub id: String,
    /// Its `Idempotency-Key`.
    pub key: Option<String>,
    /// Its body.
    pub body: Bytes,
    /// It is not written later, nor waited for after that unless others travel along that are.
    pub until: Instant,
    /// Nor is it written later than this, though an answer may be: a repeat must come before its key is forgotten.
    pub write_by: Instant,
}

/// Limits that calls keep to.
#[derive(Debug, Clone)]
pub struct Limits {
    /// A connection not made within this time has failed.
    pub connect: Micros,
    /// Endpoints close connections that stood idle so long.
    pub idle: Micros,
    /// Connections to endpoints at most, idle ones counted.
    pub connections: usize,
    /// Names of a load report's fields.
    pub report: Vec<String>,
}

struct Idle {
    conn: Conn,
    since: Instant,
}

/// What travels as one call. Each of its messages may come to be over until the request's last byte is written:
/// before its first the others go without it, after that they come back with it, and none of them has run.
struct Load {
    endpoint: EndpointId,
    /// Ends the call so, with all that travel along; works once.
    off: Cell<Option<oneshot::Sender<Outcome>>>,
    /// A byte of the request may have left.
    begun: Cell<bool>,
    /// The request was handed to the socket up to its last byte.
    whole: Cell<bool>,
    /// Attempts that were over before that: they never run.
    left_out: RefCell<BTreeSet<(MessageId, u16)>>,
    /// The request that was composed has one of them.
    outdated: Cell<bool>,
    /// Until when the request that was composed may be written, if a message in it is a repeat that must come in time.
    write_by: Cell<Option<Instant>>,
    /// Messages in the request that was composed.
    messages: Cell<usize>,
    /// The connection that the request goes over.
    traffic: RefCell<Option<Rc<Traffic>>>,
}

impl Load {
    fn new(endpoint: EndpointId) -> (Rc<Self>, oneshot::Receiver<Outcome>) {
        let (off, called_off) = oneshot::channel();
        let load = Self {
            endpoint,
            off: Cell::new(Some(off)),
            begun: Cell::new(false),
            whole: Cell::new(false),
            left_out: RefCell::default(),
            outdated: Cell::new(false),
            write_by: Cell::new(None),
            messages: Cell::new(0),
            traffic: RefCell::default(),
        };
        (Rc::new(load), called_off)
    }

    fn end(&self, outcome: Outcome) {
        if let Some(off) = self.off.take() {
            let _ = off.send(outcome);
        }
    }

    /// Whether the request must not be written as it is, or any further.
    fn stale(&self) -> bool {
        let late = || self.begun.get() && self.write_by.get().is_some_and(|by| by <= Instant::now());
        !self.whole.get() && (self.outdated.get() || late())
    }

    /// False once its last byte is written. What was begun ends there, with its connection: what the socket still
    /// passes on lacks the end, so that nothing of it runs.
    fn leave_out(&self, attempt: (MessageId, u16)) -> bool {
        if self.whole.get() {
            return false;
        }
        self.left_out.borrow_mut().insert(attempt);
        self.outdated.set(true);
        if self.begun.get() {
            self.end(Outcome::Moot { no_slot: false });
        }
        true
    }

    /// How one of its messages fared whose call ended so.
    fn end_of(&self, part: &Part, outcome: Outcome) -> Outcome {
        let left_out = self.left_out.borrow().contains(&(part.message, part.attempt));
        // That no connection was made is to be known, whoever is still there to wait for it.
        if left_out && outcome != Outcome::ConnectFailed { Outcome::Moot { no_slot: false } } else { outcome }
    }

    /// How a call ended whose answer did not come or can't be read: for a single message a first line with
    /// 200 is true by itself.
    fn unread(&self, outcome: Outcome) -> Outcome {
        let told = self.traffic.borrow().as_ref().is_some_and(|traffic| traffic.says_delivered());
        if told && self.messages.get() == 1 { Outcome::Delivered } else { outcome }
    }

    /// What is written, decided when it can be.
    fn compose(&self, line: Line, parts: &[Part], until: Instant) -> Option<Composed> {
        let now = Instant::now();
        let late = parts.iter().filter(|part| part.until.min(part.write_by) <= now);
        self.left_out.borrow_mut().extend(late.map(|part| (part.message, part.attempt)));
        self.outdated.set(false);
        let left_out = self.left_out.borrow();
        let parts = parts.iter().filter(|part| !left_out.contains(&(part.message, part.attempt)));
        let parts: Vec<&Part> = parts.collect();
        let bound = parts.iter().filter(|part| part.write_by < part.until).map(|part| part.write_by);
        self.write_by.set(bound.min());
        let left = until.saturating_duration_since(now).as_millis().max(1);
        let request = Request::builder()
            .method(Method::POST)
            .header("host", line.address.to_string())
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
        // Ids and keys came as header values, so that they can go as such.
        Some(Composed { request: request.body(Full::new(body)).ok()?, length, messages })
    }
}

/// A request, its body's length, and the messages in it.
struct Composed {
    request: Request<Full<Bytes>>,
    length: usize,
    messages: usize,
}

struct Shared {
    limits: RefCell<Limits>,
    figures: Rc<Figures>,
    inbound: UnboundedSender<Inbound>,
    idle: RefCell<HashMap<Line, Vec<Idle>>>,
    /// Connections that are in use.
    busy: Cell<usize>,
    /// Waits that were told. A connection may come up long after its call was decided on.
    waits: RefCell<HashMap<RouteId, Instant>>,
    /// For each attempt that is out, what it travels with.
    out: RefCell<BTreeMap<(MessageId, u16), Rc<Load>>>,
}

/// All calls that are out and the connections that stand idle.
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
    /// No calls yet. Idle connections are looked after by a task of their own.
    pub fn new(limits: Limits, figures: Rc<Figures>, inbound: UnboundedSender<Inbound>) -> Self {
        let limits = RefCell::new(limits);
        let (idle, busy, out) = (RefCell::default(), Cell::new(0), RefCell::default());
        let waits = RefCell::default();
        let calls = Self(Rc::new(Shared { limits, figures, inbound, idle, busy, waits, out }));
        let swept = calls.clone();
        tokio::task::spawn_local(async move {
            let mut tick = tokio::time::interval(Duration::from_millis(250));
            loop {
                tick.tick().await;
                let shared = &swept.0;
                shared.idle.borrow_mut().retain(|_, conns| {
                    conns.retain(|idle| shared.fresh(idle));
                    !conns.is_empty()
                });
            }
        });
        calls
    }

    /// Keeps to these from now on.
    pub fn adopt(&self, limits: Limits) {
        self.0.limits.replace(limits);
    }

    /// A wait was told: nothing more is written there before it is over, whatever was decided before.
    pub fn hold(&self, route: RouteId, wait: Micros) {
        self.0.hold(route, wait);
    }

    /// Attempts that are out.
    pub fn out(&self) -> usize {
        self.0.out.borrow().len()
    }

    /// Starts a call with one message or several; its end comes as [`Inbound::CallOver`]. Until its last byte is
    /// written any of the messages may be given up, and never runs then.
    pub fn start(&self, line: Line, parts: Vec<Part>) {
        let shared = self.0.clone();
        let (load, called_off) = Load::new(line.endpoint);
        for part in &parts {
            shared.out.borrow_mut().insert((part.message, part.attempt), load.clone());
        }
        let begun = Instant::now();
        let until = parts.iter().map(|part| part.until).max().unwrap_or(begun);
        tokio::task::spawn_local(async move {
            let rest = tokio::select! {
                // What is called off must not come to be written first.
                biased;
                Ok(outcome) = called_off => {
                    shared.report_end(&load, &parts, begun, outcome);
                    None
                }
                result = timeout_at(until, shared.call(line, &load, &parts, until)) => match result {
                    Ok(Ok(answered)) => {
                        shared.report_ends(&load, &parts, begun, &answered);
                        answered.rest
                    }
                    Ok(Err(outcome)) => {
                        shared.report_end(&load, &parts, begun, load.unread(outcome));
                        None
                    }
                    Err(_) => {
                        let ran = load.whole.get();
                        let outcome = if ran { Outcome::TimedOut } else { Outcome::ConnectFailed };
                        shared.report_end(&load, &parts, begun, load.unread(outcome));
                        None
                    }
                },
            };
            if let Some((conn, body)) = rest {
                shared.finish(line, conn, body).await;
            }
        });
    }

    /// Calls an attempt off by closing its connection, with all that travel along.
    pub fn cancel(&self, message: MessageId, attempt: u16) {
        if let Some(load) = self.0.out.borrow().get(&(message, attempt)) {
            load.end(Outcome::Cancelled);
        }
    }

    /// A message is over here: from now on nothing more of it is written, whatever travels along. Returns the
    /// attempts that were out and never run.
    pub fn give_up(&self, message: MessageId) -> Vec<u16> {
        let out = self.0.out.borrow();
        let attempts = out.range((message, 0)..=(message, u16::MAX));
        attempts.filter(|(id, load)| load.leave_out(**id)).map(|(id, _)| id.1).collect()
    }

    /// Ends the calls that are not written whole yet, of all endpoints that are not to be called any more.
    pub fn withdraw(&self, over: impl Fn(EndpointId) -> bool) {
        let out = self.0.out.borrow();
        let unwritten = out.values().filter(|load| !load.whole.get() && over(load.endpoint));
        unwritten.for_each(|load| load.end(Outcome::Moot { no_slot: false }));
    }

    /// Probes an endpoint; the result comes as [`Event::Probed`].
    pub fn probe(&self, line: Line) {
        let shared = self.0.clone();
        tokio::task::spawn_local(async move {
            let path = if shared.limits.borrow().report.is_empty() { "/health" } else { "/status/load" };
            let within = Duration::from_micros(shared.limits.borrow().connect);
            let (load, _) = Load::new(line.endpoint);
            let until = Instant::now() + within;
            let host = line.address.to_string();
            let compose = || {
                let request = Request::get(path).header("host", &host).body(Full::default()).ok()?;
                Some(Composed { request, length: 0, messages: 0 })
            };
            let asked = async {
                let (mut conn, answer) = shared.exchange(line, &load, compose, until).await?;
                let (head, body) = answer.into_parts();
                let body = conn.0.body(body).await.map_err(|()| Outcome::Reset)?;
                shared.keep(line, conn).await;
                let mut report = shared.report(&head.headers);
                if report.is_empty() {
                    report = std::str::from_utf8(&body).map_or(vec![], |text| shared.fields(text));
                }
                Ok((outcome(head.status, &head.headers, 1), report))
            };
            let (outcome, report) = match timeout(within, asked).await {
                Ok(Ok(seen)) => seen,
                Ok(Err(outcome)) => (outcome, vec![]),
                Err(_) if load.begun.get() => (Outcome::TimedOut, vec![]),
                Err(_) => (Outcome::ConnectFailed, vec![]),
            };
            let endpoint = line.endpoint;
            let _ = shared.inbound.send(Inbound::Event(Event::Probed { endpoint, outcome, report }));
        });
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.0.idle.borrow_mut().clear();
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.0.idle.borrow_mut().retain(|line, _| line.endpoint != endpoint);
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

/// An answer to a call, read as far as it has a meaning.
struct Answered {
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
        waits.entry(route).and_modify(|told| *told = until.max(*told)).or_insert(until);
    }

    fn held(&self, route: RouteId) -> bool {
        self.waits.borrow().get(&route).is_some_and(|until| *until > Instant::now())
    }

    fn fresh(&self, idle: &Idle) -> bool {
        // Guards against writing to a connection that the endpoint closes at that moment.
        idle.since.elapsed().as_micros() < u128::from(self.limits.borrow().idle / 5 * 4)
    }

    fn take_idle(&self, line: Line) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&line)?;
        conns.retain(|idle| self.fresh(idle));
        Some(conns.pop()?.conn)
    }

    /// Makes room for one more connection by closing the one that has been idle the longest.
    fn make_room(&self) {
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
        line: Line,
        until: Instant,
        may_reuse: bool,
    ) -> Result<(Busy, bool), Outcome> {
        let in_use = InUse::new(self);
        while let Some(mut conn) = may_reuse.then(|| self.take_idle(line)).flatten() {
            if conn.still_usable().await {
                return Ok((Busy(conn, in_use), true));
            }
        }
        self.make_room();
        let until = until.min(Instant::now() + Duration::from_micros(self.limits.borrow().connect));
        match timeout_at(until, Conn::open(line.address)).await {
            Ok(Ok(conn)) => Ok((Busy(conn, in_use), false)),
            _ => Err(Outcome::ConnectFailed),
        }
    }

    /// One request, composed once it can be written, and the head of its answer.
    async fn exchange(
        self: &Rc<Self>,
        line: Line,
        load: &Rc<Load>,
        compose: impl Fn() -> Option<Composed>,
        until: Instant,
    ) -> Result<(Busy, Response<Incoming>), Outcome> {
        let mut may_reuse = true;
        loop {
            let (mut conn, reused) = self.connect(line, until, may_reuse).await?;
            // Nothing is waited for from here to the first byte; should that not go at once, `load` guards it.
            let composed = if self.held(line.route) { None } else { compose() };
            let Some(Composed { request, length, messages }) = composed else {
                self.keep(line, conn).await;
                return Err(Outcome::Moot { no_slot: false });
            };
            let traffic = conn.0.traffic.clone();
            let before = traffic.written.get();
            let figures = self.figures.clone();
            traffic.due.replace(Some(Due { messages, before, length: length as u64, figures }));
            traffic.load.replace(Rc::downgrade(load));
            load.messages.set(messages);
            load.traffic.replace(Some(traffic.clone()));
            match conn.0.send(request).await {
                Ok(answer) => return Ok((conn, answer)),
                // The other side had closed it, or a message was over, and nothing was written: a new one is no
                // second copy. At most so many as there are messages are over.
                Err(()) if (reused || load.stale()) && traffic.written.get() == before => {
                    may_reuse &= !reused;
                    load.traffic.replace(None);
                }
                // What was cut before its last byte never runs.
                Err(()) if !load.whole.get() => return Err(Outcome::ConnectFailed),
                Err(()) => return Err(Outcome::Reset),
            }
        }
    }

    async fn call(
        self: &Rc<Self>,
        line: Line,
        load: &Rc<Load>,
        parts: &[Part],
        until: Instant,
    ) -> Result<Answered, Outcome> {
        let compose = || load.compose(line, parts, until);
        let (mut conn, answer) = self.exchange(line, load, compose, until).await?;
        let (head, body) = answer.into_parts();
        let (report, wait) = (self.report(&head.headers), told_wait(&head.headers));
        if let Some(wait) = wait {
            // It binds from here, whatever becomes of the rest of the answer.
            let _ = self.inbound.send(Inbound::Event(Event::Wait { endpoint: line.endpoint, wait }));
            self.hold(line.route, wait);
        }
        if load.messages.get() > 1 && head.status == StatusCode::OK {
            let body = conn.0.body(body).await.map_err(|()| Outcome::Reset)?;
            let told: Vec<BatchEnd> = serde_json::from_slice(&body).unwrap_or_default();
            let states: HashMap<&str, &str> =
                told.iter().map(|end| (end.id.as_str(), end.state.as_str())).collect();
            let end = |p: &Part| match states.get(p.id.as_str()).copied() {
                Some("ok") => (Outcome::Delivered, false),
                Some("later") => (Outcome::Full(wait), false),
                Some("gone") => (Outcome::Moot { no_slot: false }, true),
                Some("exhausted") => (Outcome::Moot { no_slot: false }, false),
                // What is not told, or can't be read, may have run.
                _ => (Outcome::Error, false),
            };
            let ends = parts.iter().map(end).collect();
            return Ok(Answered { ends, report, rest: Some((conn, None)) });
        }
        let messages = load.messages.get();
        // An answer that came before its request was written whole: the rest must not follow its end.
        let rest = load.whole.get().then_some((conn, Some(body)));
        let gone = head.status == StatusCode::GONE && messages == 1;
        let end = (outcome(head.status, &head.headers, messages), gone);
        Ok(Answered { ends: vec![end; parts.len()], report, rest })
    }

    fn report_end(&self, load: &Load, parts: &[Part], begun: Instant, outcome: Outcome) {
        let ends = vec![(outcome, false); parts.len()];
        self.report_ends(load, parts, begun, &Answered { ends, report: vec![], rest: None });
    }

    fn report_ends(&self, load: &Load, parts: &[Part], begun: Instant, answered: &Answered) {
        let took = begun.elapsed().as_micros() as Micros;
        let endpoint = load.endpoint;
        let mut over = Vec::with_capacity(parts.len());
        for (part, (outcome, gone)) in parts.iter().zip(&answered.ends) {
            let (message, attempt) = (part.message, part.attempt);
            self.out.borrow_mut().remove(&(message, attempt));
            let left_out = load.left_out.borrow().contains(&(message, attempt));
            // An endpoint knows nothing of what was not written: that one is still owed its end.
            let gone = *gone && !left_out;
            let (outcome, report) = (load.end_of(part, *outcome), answered.report.clone());
            over.push(AttemptOver { message, attempt, endpoint, outcome, gone, took, report });
        }
        let _ = self.inbound.send(Inbound::CallOver(over));
    }

    /// Reads what is left of an answer, so that its connection can be used again.
    async fn finish(self: &Rc<Self>, line: Line, mut conn: Busy, body: Option<Incoming>) {
        if let Some(body) = body
            && !matches!(timeout(REST_OF_ANSWER, conn.0.body(body)).await, Ok(Ok(_)))
        {
            return;
        }
        self.keep(line, conn).await;
    }

    async fn keep(self: &Rc<Self>, line: Line, conn: Busy) {
        let Busy(mut conn, in_use) = conn;
        if !conn.usable().await {
            return;
        }
        drop(in_use);
        self.idle.borrow_mut().entry(line).or_default().push(Idle { conn, since: Instant::now() });
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

/// The seconds that an answer tells to stay away, if that can be read.
fn retry_after(headers: &HeaderMap) -> Option<f64> {
    headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()
}

/// The wait that an answer tells, in seconds with decimals; strange ones are none.
fn told_wait(headers: &HeaderMap) -> Option<Micros> {
    // No destination means a wait of more than an hour.
    let seconds = retry_after(headers)?;
    (seconds > 0.0).then(|| (seconds.min(3600.0) * 1e6).ceil() as Micros)
}

/// How a call with so many messages ended. What the protocol does not have there was not to be read: it may have run.
fn outcome(status: StatusCode, headers: &HeaderMap, messages: usize) -> Outcome {
    match status.as_u16() {
        200 => Outcome::Delivered,
        429 if retry_after(headers).is_none() => Outcome::Error,
        429 => Outcome::Full(told_wait(headers)),
        503 if headers.get("x-line-busy").is_some_and(|v| v.as_bytes() == b"1") => {
            Outcome::Moot { no_slot: true }
        }
        503 => Outcome::Full(told_wait(headers)),
        // Not sent, or a batch that was not taken whole: it never ran. Of a batch each message's end tells that.
        410 | 504 if messages <= 1 => Outcome::Moot { no_slot: false },
        400 | 413 if messages > 1 => Outcome::Moot { no_slot: false },
        _ => Outcome::Error,
    }
}

#[cfg(test)]
mod tests;
