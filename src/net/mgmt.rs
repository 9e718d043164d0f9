//! The HTTP server for operators. It has a listener of its own, so that neither clients nor load delay it. A
//! connection carries one call. Idle connections are closed early because their number is limited.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use myrtleyard::check;
use myrtleyard::error_code::CodedError;
use myrtleyard::interface::Micros;
use myrtleyard::status::Query;
use percent_encoding::percent_decode_str;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc::UnboundedSender, oneshot, watch};
use tokio::time::{Instant, timeout};

use super::body::{self, CopyError};
use super::config::{self, InForce};
use super::control::{ControlRequest, Reply, StatusCall};
use super::counters::Counters;
use super::errors::CallError;
use super::intake::{ClientStream, SESSION_TOKEN, closing, linger, plain, readiness};
use super::{Inbound, ServiceState};

/// Maximum number of connections at a time.
pub const PLACES: usize = 16;
/// Time limit for a request's head. Answers are due within 1 s of the call, also for a caller that first
/// waits for the connection of a silent one to be closed.
const HEAD_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum duration of a lingering close: a silent caller's connection is freed 500 ms after it was accepted.
const LINGER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit from accepting a connection to the end of the answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
const MAX_HEAD: usize = 8 * 1024;
/// Time limit for a body after its head.
const BODY_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of the body of a call that names endpoints, bytes.
const MAX_CALL_BODY: usize = 16 * 1024;
/// Maximum size of a query, bytes. A query with the maximum number of ids fits in it.
const MAX_QUERY_BODY: usize = 32 * 1024;

/// Time from accepting a connection until a query's answer is due. The rest of the time limit is for writing
/// it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(820);
/// Path prefix of a single message's status; the id follows.
const MESSAGE_STATUS_PATH: &str = "/control/status/message/";

/// The management server.
pub struct Mgmt {
    standing: watch::Receiver<ServiceState>,
    counters: Rc<Counters>,
    in_force: InForce,
    inbound: UnboundedSender<Inbound>,
}

impl Mgmt {
    /// Creates the state shared by all calls.
    pub fn new(
        standing: watch::Receiver<ServiceState>,
        counters: Rc<Counters>,
        in_force: InForce,
        inbound: UnboundedSender<Inbound>,
    ) -> Self {
        Self { standing, counters, in_force, inbound }
    }

    /// Accepts calls for as long as the process runs.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(PLACES));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else { return };
            let Ok((stream, _)) = listener.accept().await else {
                // For example out of descriptors. The pause keeps the loop from spinning.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let mgmt = self.clone();
            tokio::task::spawn_local(async move {
                // A call that exceeds the time limit is dropped.
                let _ = timeout(CALL_TIMEOUT, mgmt.serve(stream)).await;
                drop(permit);
            });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let mut stream = ClientStream::new(stream);
        let begun = Instant::now();
        let service = service_fn(|request| self.answer(request, begun));
        // An aborted call needs no handling here; it is up to the caller.
        let _ = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD)
            .keep_alive(false)
            .serve_connection(TokioIo::new(&mut stream), service)
            .await;
        linger(stream, LINGER_TIMEOUT).await;
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        begun: Instant,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let get = request.method() == Method::GET;
        let post = request.method() == Method::POST;
        let path = request.uri().path().to_owned();
        Ok(closing(match path.as_str() {
            "/control/ready" if get => readiness(*self.standing.borrow()),
            "/control/counters" if get => {
                let mut response = Response::new(Full::new(Bytes::from(self.counters.json())));
                response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                response
            }
            "/control/out-of-service" if post => match drain_time(request.uri().query()) {
                Ok(None) => self.service(false).await,
                Ok(within) => self.forward(ControlRequest::OutOfService(within)).await,
                Err(why) => to_response(Reply::call_error(&why)),
            },
            "/control/in-service" if post => self.service(true).await,
            "/control/drain" if get => self.forward(ControlRequest::Drain).await,
            "/control/endpoints" if get => self.forward(ControlRequest::Endpoints).await,
            "/control/members" if get => self.forward(ControlRequest::Members).await,
            "/control/takeover" if get => self.forward(ControlRequest::Takeover).await,
            "/control/estimate" if get => self.forward(ControlRequest::Estimates).await,
            "/control/estimate" if post => {
                self.forward_with_body(request, |body| Ok(ControlRequest::Estimate(body.to_vec()))).await
            }
            "/control/status" if get => self.forward(ControlRequest::Status).await,
            "/control/plans" if get => self.forward(ControlRequest::Plans).await,
            "/control/status/query" if post => {
                let token = session_token(&request);
                let wants =
                    |what| request.uri().query().is_some_and(|q| q.split('&').any(|pair| pair == what));
                let (route, estimate) = (wants("route=1"), wants("estimate=1"));
                match read_body(request, MAX_QUERY_BODY).await {
                    Ok(body) => match serde_json::from_slice(&body) {
                        Ok(query) => self.status(StatusCall { query, token, route, estimate }, begun).await,
                        Err(e) => to_response(Reply::call_error(&CallError::Query(e))),
                    },
                    Err(reply) => to_response(reply),
                }
            }
            path if get && path.starts_with(MESSAGE_STATUS_PATH) => {
                match one_message(path, request.uri().query()) {
                    Some((query, (route, estimate))) => {
                        let token = session_token(&request);
                        self.status(StatusCall { query, token, route, estimate }, begun).await
                    }
                    None => to_response(Reply::call_error(&CallError::Message)),
                }
            }
            "/control/start" if get => self.forward(ControlRequest::Start).await,
            "/control/endpoints/drain" if post => {
                self.forward_with_body(request, |body| parse_json(body).map(ControlRequest::DrainEndpoints))
                    .await
            }
            "/control/endpoints/restore" if post => {
                self.forward_with_body(request, |body| parse_json(body).map(ControlRequest::RestoreEndpoints))
                    .await
            }
            "/control/config/check" if post => to_response(self.check(request).await),
            "/control/ready" | "/control/counters" | "/control/drain" | "/control/endpoints"
            | "/control/members" | "/control/takeover" | "/control/start" | "/control/status"
            | "/control/plans" => not_allowed("GET"),
            path if path.starts_with(MESSAGE_STATUS_PATH) => not_allowed("GET"),
            "/control/out-of-service"
            | "/control/in-service"
            | "/control/endpoints/drain"
            | "/control/endpoints/restore"
            | "/control/status/query"
            | "/control/config/check" => not_allowed("POST"),
            "/control/estimate" => not_allowed("GET, POST"),
            _ => plain(StatusCode::NOT_FOUND, "not found\n"),
        }))
    }

    /// Puts the process in or out of service, and answers once that is done.
    async fn service(&self, wanted: bool) -> Response<Full<Bytes>> {
        let (done, how) = oneshot::channel();
        let _ = self.inbound.send(Inbound::Service(wanted, done));
        match how.await {
            Ok(now @ (ServiceState::InService | ServiceState::OutOfService)) => {
                plain(StatusCode::OK, now.status_line())
            }
            // A process that is stopping or has handed over does not return to service.
            Ok(now) => plain(StatusCode::CONFLICT, now.status_line()),
            Err(_) => plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
        }
    }

    /// Forwards a request to the driver and answers with its reply. While the process is starting there is no
    /// driver to ask.
    async fn forward(&self, control_request: ControlRequest) -> Response<Full<Bytes>> {
        if *self.standing.borrow() == ServiceState::Starting {
            return to_response(Reply::call_error(&CallError::Starting));
        }
        let (reply, replied) = oneshot::channel();
        let _ = self.inbound.send(Inbound::Control(control_request, reply));
        let gone = || Reply::call_error(&CallError::Stopping);
        to_response(replied.await.unwrap_or_else(|_| gone()))
    }

    /// Queries the status index of the tier, within what is left of the call's time limit.
    async fn status(&self, call: StatusCall, begun: Instant) -> Response<Full<Bytes>> {
        if *self.standing.borrow() == ServiceState::Starting {
            return to_response(Reply::call_error(&CallError::Starting));
        }
        let within = ANSWER_TIMEOUT.saturating_sub(begun.elapsed()).as_micros() as Micros;
        let (reply, replied) = oneshot::channel();
        let _ = self.inbound.send(Inbound::StatusQuery(Box::new(call), within, reply));
        let gone = || Reply::call_error(&CallError::Stopping);
        to_response(replied.await.unwrap_or_else(|_| gone()))
    }

    /// Like [`Mgmt::forward`], for a call with a body. Nothing is done before the whole body is read.
    async fn forward_with_body(
        &self,
        request: Request<Incoming>,
        read: impl FnOnce(&[u8]) -> Result<ControlRequest, CallError>,
    ) -> Response<Full<Bytes>> {
        match read_body(request, MAX_CALL_BODY).await {
            Ok(body) => match read(&body) {
                Ok(control_request) => self.forward(control_request).await,
                Err(why) => to_response(Reply::call_error(&why)),
            },
            Err(reply) => to_response(reply),
        }
    }

    /// Checks a configuration: its faults, or what it would change. It is not applied and not counted.
    async fn check(&self, request: Request<Incoming>) -> Reply {
        let text = match read_body(request, check::MAX_DOCUMENT_BYTES).await {
            Ok(text) => text,
            Err(reply) => return reply,
        };
        let in_force = self.in_force.borrow().clone();
        // Runs outside the event loop that serves clients: a large document takes milliseconds.
        let checked = tokio::task::spawn_blocking(move || {
            config::check(&text, Some(&in_force)).map(|config| check::changes(&in_force, &config.document))
        });
        match checked.await {
            Ok(Ok(changes)) => Reply::ok(&json!({"valid": true, "changes": changes})),
            Ok(Err(faults)) => {
                let why = CallError::Faults(faults.len());
                let body = json!({"valid": false, "faults": faults, "code": why.code(),
                                  "error": why.to_string(), "remedy": why.remedy()});
                Reply::new(why.status(), &body)
            }
            Err(e) => Reply::call_error(&CallError::Check(e)),
        }
    }
}

/// Builds the query for a single message from the id in the path and the tenant in the query string. Without
/// a tenant the query is for messages that have none.
fn one_message(path: &str, query: Option<&str>) -> Option<(Query, (bool, bool))> {
    let text = |text: &str| percent_decode_str(text).decode_utf8().ok().map(|text| text.into_owned());
    let id = text(path.strip_prefix(MESSAGE_STATUS_PATH)?).filter(|id| !id.is_empty())?;
    let (mut tenant, mut route, mut estimate) = (String::new(), false, false);
    for pair in query.into_iter().flat_map(|query| query.split('&')) {
        match pair.split_once('=')? {
            ("tenant", name) => tenant = text(name)?,
            ("route", "1") => route = true,
            ("estimate", "1") => estimate = true,
            _ => return None,
        }
    }
    Some((serde_json::from_value(json!({"tenant": tenant, "ids": [id]})).ok()?, (route, estimate)))
}

/// Reads the body of a call. Fails if it is truncated, late, or longer than `max_bytes` bytes.
async fn read_body(request: Request<Incoming>, max_bytes: usize) -> Result<Bytes, Reply> {
    let read = timeout(BODY_TIMEOUT, body::copy(request.into_body(), max_bytes)).await;
    let failed = match read {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(CopyError::TooLong)) => CallError::BodyLong(max_bytes),
        Ok(Err(CopyError::Truncated)) => CallError::BodyCut,
        Err(_) => CallError::BodyLate,
    };
    Err(Reply::call_error(&failed))
}

/// Parses the time limit of a drain: absent, or a whole number of milliseconds over 0.
fn drain_time(query: Option<&str>) -> Result<Option<Micros>, CallError> {
    let Some(query) = query else { return Ok(None) };
    let ms = query.strip_prefix("within_ms=").and_then(|ms| ms.parse::<u32>().ok()).filter(|ms| *ms > 0);
    let ms = ms.ok_or(CallError::Within)?;
    Ok(Some(Micros::from(ms) * 1000))
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    Ok(serde_json::from_slice(body)?)
}

fn to_response(reply: Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() = reply.status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(token) = reply.token.and_then(|token| HeaderValue::from_str(&token).ok()) {
        response.headers_mut().insert(SESSION_TOKEN, token);
    }
    response
}

/// The session token of a call. A value that is not visible ASCII becomes an empty token, which cannot be
/// decoded.
fn session_token(request: &Request<Incoming>) -> Option<String> {
    request.headers().get(SESSION_TOKEN).map(|token| token.to_str().unwrap_or_default().trim().to_owned())
}

fn not_allowed(allowed: &'static str) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n");
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

#[cfg(test)]
mod tests;
