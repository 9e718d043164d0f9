//! The HTTP server for clients: submission of messages, and readiness.

mod head;
mod stream;

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use myrtleyard::interface::Micros;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, copy, sink};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc::UnboundedSender, oneshot, watch};
use tokio::time::{Instant, timeout};

use super::body;
use super::counters::{ClientEvent, Counters};
use super::journal::AcceptedMessage;
use super::memory::{BufferBudget, Reservation};
use super::names::Names;
use super::{BODY_LIMIT, Clock, Inbound, STOP_WITHIN, ServiceState};
use head::{HeadError, SubmissionHead};
pub use stream::{ClientPresence, ClientStream};

/// A connection that brings no complete request head within this time is closed, so that idle peers do not
/// use up the connection limit. The platform drops idle connections after 2 s, and requires an answer or a
/// close within 3 s of connecting.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2250);
/// How long a process that was asked to end keeps connections alive. Clients go on using a connection that
/// stays open until the process is killed, even if that loses their last requests. After this time each
/// answer closes its connection, and idle ones reach `HEAD_TIMEOUT` before the process ends, so that no
/// connection is closed while a request may be on its way.
const KEEP_ALIVE_WHILE_STOPPING: Duration = Duration::from_micros(STOP_WITHIN)
    .saturating_sub(HEAD_TIMEOUT)
    .saturating_sub(LINGER_TIMEOUT)
    .saturating_sub(Duration::from_millis(50));
/// Maximum duration of a lingering close. No client waits longer than 400 ms for its answer, so a client
/// whose request crossed the close has given up by then, and a misbehaving peer is disconnected within 3 s of
/// connecting.
const LINGER_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of bytes that a lingering close reads and discards: several requests of maximum length. The
/// connection of a peer that sends more, as in a flood, is reset.
const MAX_LINGER_BYTES: u64 = 16 * BODY_LIMIT as u64;
/// Time limit for a request's body after its head: no client waits longer than 400 ms for its answer.
const BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// A body up to this length is read without a reservation: it is part of what a connection may take. Bytes.
const SHORT_BODY: usize = 4 * 1024;
/// Time limit for reserving memory for a body. The client hears of a refusal before it gives up.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of a request's head, bytes; a longer one is rejected unread. This also bounds the buffer of a
/// connection, because bodies are read in pieces.
const MAX_HEAD: usize = 16 * 1024;

/// Header with a session token: the position that the session's reads must include. See `docs/plans.md`.
pub const SESSION_TOKEN: &str = "session-token";

/// A message that a client submits, with the channel for its answer.
#[derive(Debug)]
pub struct Submission {
    /// The message.
    pub taken: AcceptedMessage,
    /// Position of its class in the settings.
    pub class: usize,
    /// Receives the answer.
    pub answer: oneshot::Sender<Answer>,
    /// Whether the client is still there; `None` for a message that was handed in to another process.
    pub presence: Option<ClientPresence>,
}

/// Why a body is not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyError {
    /// It is truncated, or longer than [`BODY_LIMIT`].
    Invalid,
    /// It did not arrive within [`BODY_TIMEOUT`].
    Late,
    /// There was no memory for it within [`RESERVE_TIMEOUT`].
    NoMemory,
}

/// The answer to a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The message is accepted: the sender is responsible for it until it ends.
    Taken,
    /// Not accepted. The message can safely be submitted again, preferably after this many microseconds.
    Refused(Micros),
    /// The submission failed.
    Failed,
    /// Accepted, with a session token, because the tenant's plan has sessions.
    TakenAt(String),
}

/// State shared by all client connections.
pub struct Intake {
    clock: Clock,
    names: Rc<RefCell<Names>>,
    inbound: UnboundedSender<Inbound>,
    standing: watch::Receiver<ServiceState>,
    counters: Rc<Counters>,
    /// Memory for long bodies.
    bodies: BufferBudget,
    /// When the process was asked to end.
    stopping: Cell<Option<Instant>>,
    open: Cell<usize>,
}

/// Reports to the driver, when dropped, that a client disconnected before its answer.
struct Withdrawal<'a> {
    id: Option<String>,
    inbound: &'a UnboundedSender<Inbound>,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let _ = self.inbound.send(Inbound::Withdrawn(id));
        }
    }
}

/// A plain-text answer of one line.
pub fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// The answer to a readiness call.
pub fn readiness(standing: ServiceState) -> Response<Full<Bytes>> {
    let ready = standing == ServiceState::InService;
    plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, standing.status_line())
}

/// Marks a response as the last one on its connection.
pub fn closing(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// The answer to a request whose head is no valid submission.
fn invalid_head(why: HeadError) -> Response<Full<Bytes>> {
    let status = match why {
        HeadError::TransferCoding => StatusCode::LENGTH_REQUIRED,
        _ => StatusCode::BAD_REQUEST,
    };
    let mut response = plain(status, "");
    *response.body_mut() = Full::new(Bytes::from(why.to_string()));
    if why == HeadError::TransferCoding { closing(response) } else { response }
}

/// The answer to a request whose body is not read.
fn unread_body(why: BodyError) -> Response<Full<Bytes>> {
    match why {
        BodyError::Invalid => plain(StatusCode::BAD_REQUEST, "the body is truncated or longer than 64 KiB\n"),
        BodyError::Late => plain(StatusCode::REQUEST_TIMEOUT, "the body did not arrive within 500 ms\n"),
        BodyError::NoMemory => refused(0),
    }
}

/// The answer that the message may be submitted again, preferably after this many microseconds.
fn refused(again: Micros) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
    if again > 0 {
        let seconds = format!("{:.3}", again as f64 / 1e6);
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
    }
    response
}

/// The answer to a submission that the driver has decided on.
fn decided(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Taken => plain(StatusCode::ACCEPTED, ""),
        Answer::TakenAt(token) => {
            let mut response = plain(StatusCode::ACCEPTED, "");
            if let Ok(token) = HeaderValue::from_str(&token) {
                response.headers_mut().insert(SESSION_TOKEN, token);
            }
            response
        }
        Answer::Refused(again) => refused(again),
        Answer::Failed => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
    }
}

/// Closes a connection in a lingering way. Closing while received bytes are unread resets the connection, and
/// the reset discards what the client has not read yet, which may be a 202. So the sending side is shut down
/// first, and incoming bytes are read, but not parsed, until the client closes or `within` has passed.
pub async fn linger(mut stream: impl AsyncRead + AsyncWrite + Unpin, limit: Duration) {
    // Fails if the client is already gone; then nothing can be lost.
    if stream.shutdown().await.is_ok() {
        let mut rest = stream.take(MAX_LINGER_BYTES);
        let _ = timeout(limit, copy(&mut rest, &mut sink())).await;
    }
}

impl Intake {
    /// Creates the shared state.
    pub fn new(
        clock: Clock,
        names: Rc<RefCell<Names>>,
        inbound: UnboundedSender<Inbound>,
        standing: watch::Receiver<ServiceState>,
        counters: Rc<Counters>,
        bodies: BufferBudget,
    ) -> Self {
        let (stopping, open) = (Cell::default(), Cell::new(0));
        Self { clock, names, inbound, standing, counters, bodies, stopping, open }
    }

    /// Number of open client connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Accepts connections for as long as the process runs, at most `max_connections` at a time.
    pub async fn listen(self: Rc<Self>, listener: Rc<TcpListener>, max_connections: usize) {
        let permits = std::sync::Arc::new(Semaphore::new(max_connections));
        let intake = self.clone();
        tokio::task::spawn_local(async move {
            let mut standing = intake.standing.clone();
            if standing.wait_for(|standing| *standing == ServiceState::Stopping).await.is_ok() {
                intake.stopping.set(Some(Instant::now()));
            }
        });
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else { return };
            let Ok((stream, _)) = listener.accept().await else {
                // For example out of descriptors. The pause keeps the loop from spinning.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            self.clone().admit(stream, Some(permit));
        }
    }

    /// Serves a connection in a task of its own. It counts as open from here on, not only once the task runs,
    /// because the process may check whether it can end before that.
    fn admit(self: Rc<Self>, stream: TcpStream, permit: Option<OwnedSemaphorePermit>) {
        self.set_open(self.open.get() + 1);
        tokio::task::spawn_local(async move {
            self.serve(ClientStream::new(stream)).await;
            self.set_open(self.open.get() - 1);
            drop(permit);
        });
    }

    fn set_open(&self, connections: usize) {
        self.open.set(connections);
        self.counters.set_client_connections(connections);
    }

    /// Serves up to `max_connections` connections that are still in the listen backlog. Closing the listener
    /// would reset them, together with the requests that their clients have already written.
    pub async fn admit_backlog(self: &Rc<Self>, listener: &TcpListener, max_connections: usize) {
        // Lets the runtime poll its sockets again, so that connections that have arrived since are seen.
        tokio::task::yield_now().await;
        let mut context = Context::from_waker(Waker::noop());
        for _ in 0..max_connections {
            let Poll::Ready(Ok((stream, _))) = listener.poll_accept(&mut context) else { return };
            self.clone().admit(stream, None);
        }
    }

    async fn serve(&self, mut stream: ClientStream) {
        let presence = stream.presence();
        let service = service_fn(|request| self.answer(request, &presence));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD)
            .serve_connection(TokioIo::new(&mut stream), service);
        // Errors are not reported: the client closed, a time limit passed, or an answer ended the connection.
        let _ = connection.await;
        linger(stream, LINGER_TIMEOUT).await;
    }

    /// Whether a connection stays open after the current answer.
    fn keeps_alive(&self) -> bool {
        match *self.standing.borrow() {
            ServiceState::InService => true,
            ServiceState::Stopping => {
                self.stopping.get().is_none_or(|at| at.elapsed() < KEEP_ALIVE_WHILE_STOPPING)
            }
            // Clients that still connect to a process that is not in service get one answer per connection.
            ServiceState::Starting | ServiceState::OutOfService | ServiceState::HandedOver => false,
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        presence: &ClientPresence,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let response = match (request.method(), request.uri().path()) {
            // A readiness check does not keep a connection that a submitting client could use.
            (&Method::GET, "/ready") => closing(readiness(*self.standing.borrow())),
            (&Method::POST, _) => self.submit(request, presence).await,
            _ => plain(StatusCode::NOT_FOUND, "not found\n"),
        };
        // A client that has written many requests at once must not keep others from theirs.
        tokio::task::yield_now().await;
        Ok(if self.keeps_alive() { response } else { closing(response) })
    }

    /// Handles a submission. Whatever a client may write, a request that is no valid message gets 4xx.
    async fn submit(&self, request: Request<Incoming>, presence: &ClientPresence) -> Response<Full<Bytes>> {
        let received_at = self.clock.now();
        let (head, body) = request.into_parts();
        let read = SubmissionHead::read(&head, &self.names.borrow());
        // It may be large, and the body may be long in coming.
        drop(head);
        let head = match read {
            Ok(head) => head,
            Err(why) => {
                self.counters.count_client(ClientEvent::Invalid);
                return invalid_head(why);
            }
        };
        let (body, _reservation) = match self.read_body(body).await {
            Ok(read) => read,
            Err(why) => {
                tracing::debug!(id = head.id, ?why, "request body not read");
                self.counters.count_client(ClientEvent::from(why));
                return unread_body(why);
            }
        };
        // Nobody would read the answer: its client hands the message in again, if at all.
        if presence.has_left() {
            tracing::debug!(id = head.id, "the client left before its message was accepted");
            self.counters.count_client(ClientEvent::Departed);
            return closing(refused(0));
        }
        self.hand_in(head, body, received_at, presence).await
    }

    /// Reads a body into a buffer of its own: a chunk keeps the whole buffer that it was read into.
    async fn read_body(&self, body: Incoming) -> Result<(Bytes, Option<Reservation>), BodyError> {
        let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        let length = length.filter(|length| *length <= BODY_LIMIT).ok_or(BodyError::Invalid)?;
        let reservation = match length {
            0..=SHORT_BODY => None,
            _ => {
                let reserved = timeout(RESERVE_TIMEOUT, self.bodies.reserve(length)).await;
                Some(reserved.ok().flatten().ok_or(BodyError::NoMemory)?)
            }
        };
        let read = timeout(BODY_TIMEOUT, body::copy(body, BODY_LIMIT)).await;
        let body = read.map_err(|_| BodyError::Late)?.map_err(|_| BodyError::Invalid)?;
        Ok((body, reservation))
    }

    /// Passes a message to the driver and waits for its decision.
    async fn hand_in(
        &self,
        head: SubmissionHead,
        body: Bytes,
        received_at: Micros,
        presence: &ClientPresence,
    ) -> Response<Full<Bytes>> {
        let SubmissionHead { id, key, class, class_name, owner, destination, time_left_ms } = head;
        let mut withdrawal = Withdrawal { id: Some(id.clone()), inbound: &self.inbound };
        let deadline = received_at + Micros::from(time_left_ms) * 1000;
        // The driver sets the effect from the settings that are in force when it accepts the message.
        let effect = None;
        let taken =
            AcceptedMessage { id, key, class: class_name, owner, effect, destination, deadline, body };
        let (answer, answered) = oneshot::channel();
        let presence = Some(presence.clone());
        let _ = self.inbound.send(Inbound::Submitted(Submission { taken, class, answer, presence }));
        let answered = answered.await;
        withdrawal.id = None;
        decided(answered.unwrap_or(Answer::Failed))
    }
}

impl From<BodyError> for ClientEvent {
    fn from(why: BodyError) -> Self {
        match why {
            BodyError::Invalid => Self::Invalid,
            BodyError::Late => Self::Late,
            BodyError::NoMemory => Self::NoMemory,
        }
    }
}

#[cfg(test)]
mod tests;
