//! Where operators call: a listener of its own, so that neither clients nor load keep them waiting. One call a
//! connection; who brings none is let go soon, since places are few.

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
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc::UnboundedSender, oneshot, watch};
use tokio::time::timeout;

use super::figures::Figures;
use super::intake::{closing, plain, readiness};
use super::{Inbound, Standing};

/// Callers at a time.
pub const PLACES: usize = 16;
/// An answer is due 1 s after the call: whoever waits for a place that a silent caller has still gets one.
const HEAD_WITHIN: Duration = Duration::from_millis(400);
/// From connecting to the end of the answer.
const CALL_WITHIN: Duration = Duration::from_millis(900);
const HEAD_LIMIT: usize = 8 * 1024;

/// What operators can ask for.
pub struct Mgmt {
    standing: watch::Receiver<Standing>,
    figures: Rc<Figures>,
    inbound: UnboundedSender<Inbound>,
}

impl Mgmt {
    /// What callers share.
    pub fn new(
        standing: watch::Receiver<Standing>,
        figures: Rc<Figures>,
        inbound: UnboundedSender<Inbound>,
    ) -> Self {
        Self { standing, figures, inbound }
    }

    /// Takes calls for as long as the process runs.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        let places = Arc::new(Semaphore::new(PLACES));
        loop {
            let Ok(place) = places.clone().acquire_owned().await else { return };
            let Ok((stream, _)) = listener.accept().await else {
                // Out of descriptors, say: it must not spin.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let mgmt = self.clone();
            tokio::task::spawn_local(async move {
                // Whoever is not done by then is not waited for.
                let _ = timeout(CALL_WITHIN, mgmt.serve(stream)).await;
                drop(place);
            });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| self.answer(request));
        // How a call breaks off is the caller's matter.
        let _ = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_WITHIN)
            .max_buf_size(HEAD_LIMIT)
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let get = request.method() == Method::GET;
        let post = request.method() == Method::POST;
        Ok(closing(match request.uri().path() {
            "/control/ready" if get => readiness(*self.standing.borrow()),
            "/control/counters" if get => {
                let mut response = Response::new(Full::new(Bytes::from(self.figures.json())));
                response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                response
            }
            "/control/out-of-service" if post => self.service(false).await,
            "/control/in-service" if post => self.service(true).await,
            "/control/ready" | "/control/counters" => not_allowed("GET"),
            "/control/out-of-service" | "/control/in-service" => not_allowed("POST"),
            _ => plain(StatusCode::NOT_FOUND, "not found\n"),
        }))
    }

    /// Yes once it is so.
    async fn service(&self, wanted: bool) -> Response<Full<Bytes>> {
        let (done, how) = oneshot::channel();
        let _ = self.inbound.send(Inbound::Service(wanted, done));
        match how.await {
            Ok(now @ (Standing::InService | Standing::OutOfService)) => plain(StatusCode::OK, now.said()),
            // A process that is on its way out does not come back.
            Ok(now) => plain(StatusCode::CONFLICT, now.said()),
            Err(_) => plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
        }
    }
}

fn not_allowed(allowed: &'static str) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::METHOD_NOT_ALLOWED, "another method is meant\n");
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

#[cfg(test)]
mod tests {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::time::Instant;

    use super::*;

    /// Guards the operators' answers against callers that take up every place and say nothing, or half.
    #[tokio::test(start_paused = true)]
    async fn a_call_is_answered_within_a_second_behind_silent_callers() -> std::io::Result<()> {
        let (inbound, _events) = tokio::sync::mpsc::unbounded_channel();
        let (_standing, standing) = watch::channel(Standing::InService);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let local = tokio::task::LocalSet::new();
        local.spawn_local(Rc::new(Mgmt::new(standing, Rc::default(), inbound)).listen(listener));
        local
            .run_until(async {
                let mut silent = Vec::new();
                for n in 0..PLACES {
                    let mut caller = TcpStream::connect(address).await?;
                    if n % 2 == 0 {
                        caller.write_all(b"GET /control/ready HT").await?;
                    }
                    silent.push(caller);
                }
                let begun = Instant::now();
                let mut caller = TcpStream::connect(address).await?;
                caller.write_all(b"GET /control/ready HTTP/1.1\r\nHost: mgmt\r\n\r\n").await?;
                let mut told = String::new();
                caller.read_to_string(&mut told).await?;
                assert!(told.starts_with("HTTP/1.1 200 "), "{told}");
                assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
                Ok(())
            })
            .await
    }
}
