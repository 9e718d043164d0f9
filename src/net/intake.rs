//! What clients ask: to take a message, and whether the sender is ready.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
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
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc::UnboundedSender, oneshot, watch};
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
const KEPT_WHILE_STOPPING: Duration =
    Duration::from_micros(STOP_WITHIN).saturating_sub(HEAD_WITHIN).saturating_sub(Duration::from_millis(50));
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
    pub async fn listen(self: Rc<Self>, listener: TcpListener, most: usize) {
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
            let intake = self.clone();
            tokio::task::spawn_local(async move {
                intake.open.set(intake.open.get() + 1);
                intake.serve(stream).await;
                intake.open.set(intake.open.get() - 1);
                drop(place);
            });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| self.answer(request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_WITHIN)
            .max_buf_size(HEAD_LIMIT)
            .serve_connection(TokioIo::new(stream), service);
        // Nothing ends it but its client, its own time or an answer: that crosses no request already written.
        let _ = connection.await;
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
mod tests {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    use super::*;

    /// What a peer is told that writes these pieces, half a second apart, and how long it is kept.
    async fn told(pieces: &[&str]) -> std::io::Result<(String, Duration)> {
        let (inbound, _events) = tokio::sync::mpsc::unbounded_channel();
        let names = Names { classes: vec!["order".into()], ..Names::default() };
        let (_standing, standing) = watch::channel(Standing::InService);
        let names = Rc::new(RefCell::new(names));
        let intake = Rc::new(Intake::new(Clock::new(), names, inbound, standing));
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let local = tokio::task::LocalSet::new();
        local.spawn_local(intake.listen(listener, 1));
        local
            .run_until(async {
                let mut peer = TcpStream::connect(address).await?;
                let begun = Instant::now();
                for (n, piece) in pieces.iter().enumerate() {
                    tokio::time::sleep(Duration::from_millis(if n == 0 { 0 } else { 500 })).await;
                    if peer.write_all(piece.as_bytes()).await.is_err() {
                        break;
                    }
                }
                let mut told = Vec::new();
                // That it closes is what counts, with a reset or without.
                let _ = timeout(Duration::from_secs(600), peer.read_to_end(&mut told)).await;
                Ok((String::from_utf8_lossy(&told).into_owned(), begun.elapsed()))
            })
            .await
    }

    /// Guards the places for clients against peers that bring nothing, or never come to an end.
    #[tokio::test(start_paused = true)]
    async fn whoever_brings_no_whole_request_is_answered_or_closed_in_time() -> std::io::Result<()> {
        let head = "POST /order HTTP/1.1\r\nReq-Id: a\r\nX-Consignee: dest=7\r\nReq-Deadline-Ms: 900\r\n";
        let begun = format!("{head}Content-Length: 9\r\n\r\nbody");
        let other = "GET /other HTTP/1.1\r\n\r\n";
        for (pieces, answer) in [
            (vec![], ""),
            (vec![head], ""),
            (head.split_inclusive('\n').collect(), ""),
            (vec![begun.as_str()], "HTTP/1.1 408"),
            (vec![begun.as_str(), "o", "f", " "], "HTTP/1.1 408"),
            (vec![other], "HTTP/1.1 404"),
        ] {
            let (told, kept) = told(&pieces).await?;
            assert!(told.starts_with(answer) && told.is_empty() == answer.is_empty(), "{pieces:?}: {told}");
            assert!(kept < Duration::from_secs(3), "{pieces:?}: {kept:?}");
            // The platform's clients may keep an idle connection for 2 s.
            assert!(answer != "HTTP/1.1 404" || kept > Duration::from_secs(2), "{pieces:?}: {kept:?}");
        }
        Ok(())
    }

    /// Guards the places for clients against those who look and stay.
    #[tokio::test(start_paused = true)]
    async fn a_look_at_readiness_keeps_no_connection() -> std::io::Result<()> {
        let (told, kept) = told(&["GET /ready HTTP/1.1\r\n\r\n"]).await?;
        assert!(told.starts_with("HTTP/1.1 200"), "{told}");
        assert!(kept < Duration::from_secs(1), "{kept:?}");
        Ok(())
    }

    /// Guards the memory against heads without end; whoever still writes may find the connection reset.
    #[tokio::test(start_paused = true)]
    async fn a_head_beyond_all_measure_is_refused() -> std::io::Result<()> {
        let pad = "p".repeat(200_000);
        let rest = "Req-Id: a\r\nX-Consignee: dest=7\r\nReq-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n";
        let (told, kept) = told(&[&format!("POST /order HTTP/1.1\r\nX-Pad: {pad}\r\n{rest}")]).await?;
        assert!(told.is_empty() || told.starts_with("HTTP/1.1 431"), "{told}");
        assert!(kept < Duration::from_secs(3), "{kept:?}");
        Ok(())
    }
}
