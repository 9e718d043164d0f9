//! What clients ask: to take a message, and whether the sender is ready.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use myrtleyard::interface::Micros;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy, sink};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc::UnboundedSender, oneshot, watch};
use tokio::time::{Instant, timeout};

use super::journal::Taken;
use super::names::Names;
use super::{BODY_LIMIT, Clock, Inbound, STOP_WITHIN, Standing};

/// Guards the places for clients: a connection that brings no request for so long is closed. The platform
/// lets idle ones go after 2 s, and wants an answer or a close 3 s after connecting.
const HEAD_WITHIN: Duration = Duration::from_millis(2250);
/// A process that was asked to end keeps connections for so long. Clients go on using each that stays open until the
/// process is killed, whatever that does to their last requests. So from then on each answer ends its connection, and
/// what stands idle has gone by `HEAD_WITHIN` before the end: none is closed that a request may be on its way over.
const KEPT_WHILE_STOPPING: Duration = Duration::from_micros(STOP_WITHIN)
    .saturating_sub(HEAD_WITHIN)
    .saturating_sub(LINGER_WITHIN)
    .saturating_sub(Duration::from_millis(50));
/// A lingering close lasts so long at most: no client waits longer than 400 ms for its answer, so that one whose
/// request crossed the close has gone by then, and a bad peer is let go 3 s after connecting.
const LINGER_WITHIN: Duration = Duration::from_millis(400);
/// Bytes that a lingering close reads and discards at most: some of the longest requests. Whoever sends more, as
/// floods do, finds its connection reset, which is an end, too.
const LINGER_BYTES: u64 = 16 * BODY_LIMIT as u64;
/// How long a body may take after its head: no client waits longer than 400 ms for its answer.
const BODY_WITHIN: Duration = Duration::from_millis(500);

/// A longer head is refused unread. It bounds what a connection buffers, too: bodies pass through in pieces.
const HEAD_LIMIT: usize = 16 * 1024;

/// Says what a session must not be shown less than; `docs/plans.md`.
pub const SESSION_TOKEN: &str = "session-token";

/// A message that a client hands in, and where its answer goes.
#[derive(Debug)]
pub struct HandedIn {
    /// The message.
    pub taken: Taken,
    /// Its class's position in the settings.
    pub class: usize,
    /// Waits for the answer.
    pub answer: oneshot::Sender<Answer>,
}

/// What the client hears.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The sender owes the message its end.
    Taken,
    /// Handing it in again is harmless, best after so many microseconds.
    Refused(Micros),
    /// Failed.
    Failed,
    /// Taken, with a session token, since the tenant's plan has sessions.
    TakenAt(String),
}

/// What all client connections share.
pub struct Intake {
    clock: Clock,
    names: Rc<RefCell<Names>>,
    inbound: UnboundedSender<Inbound>,
    standing: watch::Receiver<Standing>,
    /// Since when the process is asked to end.
    stopping: Cell<Option<Instant>>,
    open: Cell<usize>,
}

/// Tells the driver that a client went away before its answer.
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

/// An answer of one line.
pub fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Whether clients are welcome.
pub fn readiness(standing: Standing) -> Response<Full<Bytes>> {
    let ready = standing == Standing::InService;
    plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, standing.said())
}

/// The last answer on its connection.
pub fn closing(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// A header's text, if it is there and visible ASCII.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim).filter(|text| !text.is_empty())
}

/// Lingering close: a close over bytes that nobody has read resets the connection, and the reset takes along what
/// the client has not read yet, be it a 202. So the sending side ends first, and what still comes is read, never
/// parsed, until the client has closed, too, or for so long.
pub async fn linger(mut stream: TcpStream, within: Duration) {
    // Fails where the client has gone already: nothing can be lost then.
    if stream.shutdown().await.is_ok() {
        let mut rest = stream.take(LINGER_BYTES);
        let _ = timeout(within, copy(&mut rest, &mut sink())).await;
    }
}

impl Intake {
    /// What connections share.
    pub fn new(
        clock: Clock,
        names: Rc<RefCell<Names>>,
        inbound: UnboundedSender<Inbound>,
        standing: watch::Receiver<Standing>,
    ) -> Self {
        Self { clock, names, inbound, standing, stopping: Cell::default(), open: Cell::new(0) }
    }

    /// Client connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Takes connections for as long as the process runs, `most` at a time.
    pub async fn listen(self: Rc<Self>, listener: Rc<TcpListener>, most: usize) {
        let places = std::sync::Arc::new(Semaphore::new(most));
        let noted = self.clone();
        tokio::task::spawn_local(async move {
            let mut standing = noted.standing.clone();
            if standing.wait_for(|standing| *standing == Standing::Stopping).await.is_ok() {
                noted.stopping.set(Some(Instant::now()));
            }
        });
        loop {
            let Ok(place) = places.clone().acquire_owned().await else { return };
            let Ok((stream, _)) = listener.accept().await else {
                // Out of descriptors, say: it must not spin.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            self.clone().admit(stream, Some(place));
        }
    }

    /// Serves a connection. It counts as open from here on, not only once its task has begun to run: the process
    /// may look whether it can end before that.
    fn admit(self: Rc<Self>, stream: TcpStream, place: Option<OwnedSemaphorePermit>) {
        self.open.set(self.open.get() + 1);
        tokio::task::spawn_local(async move {
            self.serve(stream).await;
            self.open.set(self.open.get() - 1);
            drop(place);
        });
    }

    /// Serves what the listen backlog still holds, `most` connections at once: closing the listener would reset them,
    /// with the requests that their clients have written already.
    pub async fn admit_waiting(self: &Rc<Self>, door: &TcpListener, most: usize) {
        // What has come since the runtime last looked at its sockets is seen when it looks again.
        tokio::task::yield_now().await;
        let mut look = Context::from_waker(Waker::noop());
        for _ in 0..most {
            let Poll::Ready(Ok((stream, _))) = door.poll_accept(&mut look) else { return };
            self.clone().admit(stream, None);
        }
    }

    async fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| self.answer(request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_WITHIN)
            .max_buf_size(HEAD_LIMIT)
            .serve_connection(TokioIo::new(&mut stream), service);
        // Nothing ends it but its client, its own time or an answer.
        let _ = connection.await;
        linger(stream, LINGER_WITHIN).await;
    }

    /// Whether a connection is good for more than the answer at hand.
    fn keeps(&self) -> bool {
        match *self.standing.borrow() {
            Standing::InService => true,
            Standing::Stopping => self.stopping.get().is_none_or(|at| at.elapsed() < KEPT_WHILE_STOPPING),
            // Whoever still comes to a sender that sends clients elsewhere gets one answer a connection.
            Standing::Starting | Standing::OutOfService | Standing::HandedOver => false,
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let response = match (request.method(), request.uri().path()) {
            // Whoever only looks keeps no place from those who hand in.
            (&Method::GET, "/ready") => closing(readiness(*self.standing.borrow())),
            (&Method::POST, _) => self.hand_in(request).await,
            _ => plain(StatusCode::NOT_FOUND, "not found\n"),
        };
        Ok(if self.keeps() { response } else { closing(response) })
    }

    /// Guards against anything that a client may write: what can't be meant as a message gets 400.
    async fn hand_in(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let came = self.clock.now();
        let (head, body) = request.into_parts();
        let bad = |what| plain(StatusCode::BAD_REQUEST, what);
        // Guards against a request hidden in another's body: hyper shows no length beside a transfer coding,
        // so that the two can't be told to agree, and what follows on the connection can't be trusted.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return closing(plain(StatusCode::LENGTH_REQUIRED, "Content-Length is required\n"));
        }
        let Some(id) = text(&head.headers, "req-id") else { return bad("Req-Id is missing\n") };
        let path = head.uri.path_and_query().map_or("", |path| path.as_str()).trim_start_matches('/');
        let kind = text(&head.headers, "req-kind").unwrap_or(path);
        let class = self.names.borrow().class(kind).filter(|_| kind == path);
        let Some(class) = class else {
            return bad("Req-Kind or the path names no class\n");
        };
        let owner = text(&head.headers, "req-owner").map(str::to_owned);
        if !self.names.borrow().owns(owner.as_deref()) {
            return bad("Req-Owner names no tenant\n");
        }
        let destination = text(&head.headers, "x-consignee").and_then(|pairs| {
            let mut pairs = pairs.split([',', ';']).filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| name.trim() == "dest")?.1.trim().parse().ok()
        });
        let Some(destination) = destination else { return bad("X-Consignee names no dest\n") };
        let left = text(&head.headers, "req-deadline-ms").and_then(|ms| ms.parse::<u32>().ok());
        let Some(left) = left else { return bad("Req-Deadline-Ms is no time\n") };
        let key = match head.headers.get("idempotency-key") {
            Some(_) => match text(&head.headers, "idempotency-key") {
                Some(key) => Some(key.to_owned()),
                None => return bad("Idempotency-Key can't be read\n"),
            },
            None => None,
        };
        let id = id.to_owned();
        let body = match timeout(BODY_WITHIN, Limited::new(body, BODY_LIMIT).collect()).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => return bad("the body can't be read or is over 64 KiB\n"),
            Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body took too long\n"),
        };
        let deadline = came + Micros::from(left) * 1000;
        let class_name = kind.to_owned();
        let body = body.to_bytes();
        let id_said = id.clone();
        // What repeating it does is for the settings to say that are in force when it is taken on.
        let effect = None;
        let taken = Taken { id: id_said, key, class: class_name, owner, effect, destination, deadline, body };
        let mut withdrawal = Withdrawal { id: Some(id), inbound: &self.inbound };
        let (answer, answered) = oneshot::channel();
        let _ = self.inbound.send(Inbound::HandedIn(HandedIn { taken, class, answer }));
        let answered = answered.await;
        withdrawal.id = None;
        match answered {
            Ok(Answer::Taken) => plain(StatusCode::ACCEPTED, ""),
            Ok(Answer::TakenAt(token)) => {
                let mut response = plain(StatusCode::ACCEPTED, "");
                if let Ok(token) = HeaderValue::from_str(&token) {
                    response.headers_mut().insert(SESSION_TOKEN, token);
                }
                response
            }
            Ok(Answer::Refused(again)) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
                if again > 0 {
                    let seconds = format!("{:.3}", again as f64 / 1e6);
                    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                        response.headers_mut().insert(RETRY_AFTER, seconds);
                    }
                }
                response
            }
            Ok(Answer::Failed) | Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
        }
    }
}

#[cfg(test)]
mod tests;
