//! The platform: following the list of endpoints, and notices of messages that ended undelivered.

mod list_body;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use myrtleyard::endpoints::reader::List;
use myrtleyard::endpoints::{Bounds, ListError};
use myrtleyard::error_code::CodedError;
use myrtleyard::interface::{Event, MessageId, Settings};
use myrtleyard::start::CallFailure;
use serde::Serialize;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout, timeout_at};

use super::calls::Conn;
use super::counters::Counters;
use super::journal::GivenUp;
use super::listing::list_version;
use super::parts::start::ListPacer;
use super::{BODY_LIMIT, Inbound};
use list_body::{BodyStart, IncomingBody};

/// Timeout of a poll, if all senders poll one discovery, which rejects requests that have waited for 2 s. A
/// poll that is silent for longer is broken, and what it missed counts as reported 6 s after it fell silent.
const POLL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Whatever became of a call, what discovery has while it is reachable counts as reported this much later.
const REPORTED_WITHIN: Duration = Duration::from_secs(6);
/// If all senders poll one discovery, it answers within this time or not at all.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(2);
/// Allowance for the network round trip, timers and the driver's next iteration.
const POLL_SLACK: Duration = Duration::from_millis(250);
/// Bounds on the hold time of a watch, whatever the settings say. The longest hold with its slack, silent
/// twice in a row, is below 6 s; silent once, it is below the 4 s after which an update counts as reported if
/// discovery has moved.
const MIN_HOLD_TIME: Duration = Duration::from_millis(500);
const MAX_HOLD_TIME: Duration = Duration::from_secs(2);
/// Hold time of a watch at one service for all senders, where one call per second from each would be too much
/// load. What the service reports counts as reported once it is written.
const SHARED_HOLD_TIME: Duration = Duration::from_secs(20);
/// Maximum delay of a watch's response after its hold time: what the watch misses counts as reported 2 s
/// after its hold time is over.
const WATCH_SLACK: Duration = Duration::from_millis(1500);
/// Pause before a failed watch or notice is retried: a watch counts as continued if it is renewed within 200
/// ms.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of doublings of [`RETRY_PAUSE`] after refused lists; [`pause_after_refusal`] limits the
/// pause before that is reached.
const MAX_DOUBLINGS: u32 = 10;
/// Maximum pause after refused short lists from an agent: updates that follow a run of them are delayed by
/// this much, and calls to an agent cost nothing.
const MAX_PAUSE_AT_AGENT: Duration = Duration::from_secs(1);
/// Maximum length of an error text in a log line, in characters.
const MAX_ERROR_CHARS: usize = 200;
/// Size of a connection's read buffer, which also bounds the head of a response: lists may be long. Bytes.
const PLATFORM_BUFFER: usize = 64 * 1024;
/// Timeout of a notice, after which it is sent again.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends one request to the platform, on a kept connection or a new one, and returns the head of the
/// response. The platform may close a kept connection just as the request goes out: that is no failure, and
/// the request, which is harmless if repeated, is sent again on a new connection.
///
/// # Errors
/// Fails when no connection is made, or it breaks before the head of the response.
async fn send_request(
    kept_conn: &mut Option<Conn>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Conn, Response<Incoming>), ()> {
    // Bytes that came without a request must not be taken for the response.
    let usable = match kept_conn.take() {
        Some(mut conn) => conn.still_usable().await.then_some(conn),
        None => None,
    };
    let sent_at = Instant::now();
    let on_kept = match usable {
        Some(mut conn) => match conn.send(request.clone()).await {
            Ok(answer) => Some((conn, answer)),
            // The connection broke while the request was waiting, which counts as a response: an immediate
            // retry would have all senders ask again at the same time.
            Err(()) if sent_at.elapsed() > RETRY_PAUSE => return Err(()),
            Err(()) => None,
        },
        None => None,
    };
    match on_kept {
        Some(answered) => Ok(answered),
        None => {
            let mut conn = Conn::open_with_buffer(address, PLATFORM_BUFFER).await.map_err(|_| ())?;
            let answer = conn.send(request).await?;
            Ok((conn, answer))
        }
    }
}

/// Sends one request to the platform and reads the response. The connection is kept if it can be reused.
///
/// # Errors
/// Fails when no connection is made, or the response is truncated or too long.
async fn exchange(
    kept_conn: &mut Option<Conn>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), ()> {
    let (mut conn, answer) = send_request(kept_conn, address, request).await?;
    let (head, body) = answer.into_parts();
    let body = conn.body(body).await?;
    if conn.usable().await {
        *kept_conn = Some(conn);
    }
    Ok((head.status, body))
}

/// The pause after a poll that took `elapsed` and brought no list. It is random between half of the allowed
/// maximum and all of it, since all senders may have failed together: 300 of them then poll some 110 times a
/// second at most on average. A change just after the failed poll was sent is reported by the response to the
/// next poll: both waits, the pause between them and the slack add up to [`REPORTED_WITHIN`]. Only the last
/// failure counts, however many came before: discovery may have come back just as the failed poll was sent.
fn pause_after_failure(elapsed: Duration, random: f64) -> Duration {
    // A long list that is refused may take longer than a poll's timeout; it must not be transferred again
    // immediately.
    let max = (REPORTED_WITHIN - MAX_ANSWER_TIME - POLL_SLACK).saturating_sub(elapsed.min(POLL_TIMEOUT));
    max.mul_f64(0.5 + random / 2.0)
}

/// The pause after a list that was received and refused, the `refused`th in a row, from a call that took
/// `elapsed`; `call_timeout` is the timeout of the next call. The pause starts at [`RETRY_PAUSE`] and
/// doubles: a single refusal costs no more than a failed call. A change just after the refused call was sent
/// is reported by the response to the next one: both waits, the pause between them and the slack add up to
/// [`REPORTED_WITHIN`]. A call that took longer than its timeout transferred a long list, and what changed at
/// its beginning is overdue already; there the time counts from its end. For a watch held by a service for
/// all senders, the longest timeout of a watch at an agent is used instead, since both report what they have
/// immediately.
fn pause_after_refusal(refused: u32, elapsed: Duration, call_timeout: Duration) -> Duration {
    let at_agent = call_timeout <= MAX_HOLD_TIME + WATCH_SLACK;
    let call_timeout = call_timeout.min(MAX_HOLD_TIME + WATCH_SLACK);
    let short = elapsed <= call_timeout + POLL_SLACK;
    let spent = if short { elapsed } else { Duration::ZERO };
    let max = (REPORTED_WITHIN - POLL_SLACK).saturating_sub(spent + call_timeout);
    let max = if short && at_agent { max.min(MAX_PAUSE_AT_AGENT) } else { max };
    let doubled = RETRY_PAUSE * (1 << refused.saturating_sub(1).min(MAX_DOUBLINGS));
    doubled.min(max).max(RETRY_PAUSE)
}

/// Requests of the driver to the task that follows the list.
#[derive(Debug, Default)]
pub struct ListRequests {
    /// Fetch the complete list now.
    pub fetch: Notify,
    /// Start following the list.
    pub watch: Notify,
    /// Follow the list in this way from now on, since the settings changed; the complete list is fetched
    /// then, too.
    pub new_mode: RefCell<Option<Following>>,
}

/// How the list is followed.
#[derive(Debug)]
pub enum Following {
    /// By a watch from the known version, with this hold time. It goes to an agent on this machine, which
    /// costs nothing, and what the agent has counts as reported immediately. A watch that fell silent, or an
    /// agent that was away and is back, must therefore be detected well before calls to a leaving endpoint
    /// have to cease.
    Watch(u64, Duration),
    /// By fetching the complete list, with about this pause between fetches. A watch would be answered, and
    /// renewed, by all senders at the same moment at each change, for which discovery has no capacity; and
    /// what changes just after the response to a watch that is not renewed counts as reported all the same.
    Poll(Duration, fastrand::Rng),
}

impl Following {
    /// As the settings say; `shared` if one service answers the watches of all senders, rather than an agent
    /// on this machine.
    pub fn new(settings: &Settings, shared: bool, known: u64, seed: u64) -> Self {
        match settings.list_on_request {
            true => Self::Poll(
                Duration::from_micros(settings.list_request_round()),
                fastrand::Rng::with_seed(seed),
            ),
            false if shared => Self::Watch(known, SHARED_HOLD_TIME),
            false => {
                let hold = Duration::from_micros(settings.rules.drain_grace / 2);
                Self::Watch(known, hold.clamp(MIN_HOLD_TIME, MAX_HOLD_TIME))
            }
        }
    }

    /// The timeout of a call.
    fn call_timeout(&self) -> Duration {
        match self {
            Self::Watch(_, hold) => *hold + (*hold * 2 / 5).min(WATCH_SLACK),
            Self::Poll(..) => POLL_TIMEOUT,
        }
    }
}

/// Follows the list for as long as the process runs, and at its new address if discovery moves. If there is a
/// pace, every call waits for its turn, except one that asks for the complete list.
pub async fn follow(
    discovery: watch::Receiver<SocketAddr>,
    following: Following,
    pace: Option<Rc<ListPacer>>,
    requests: Rc<ListRequests>,
    counters: Rc<Counters>,
    inbound: UnboundedSender<Inbound>,
) {
    let address = *discovery.borrow();
    let (conn, need_complete, refused, bounds) = (None, false, 0, Bounds::default());
    let follower = Follower {
        discovery,
        following,
        pace,
        requests,
        counters,
        inbound,
        bounds,
        conn,
        address,
        need_complete,
        refused,
    };
    follower.run().await;
}

/// The result of a call that was not interrupted.
#[derive(Debug)]
enum FetchResult {
    List(List),
    /// A response that started as a list and is not a valid one.
    Refused(ListError),
    /// No response, or one that is not a list.
    Failed(CallFailure),
}

impl FetchResult {
    /// The failure as the pace counts it.
    fn failed(&self) -> Option<CallFailure> {
        match self {
            Self::List(_) => None,
            Self::Refused(ListError::Truncated(_)) => Some(CallFailure::NoAnswer),
            Self::Refused(_) => Some(CallFailure::Rejected),
            Self::Failed(how) => Some(*how),
        }
    }
}

/// Makes a call, and waits for the first bytes of its list.
async fn begin_call(
    conn: &mut Option<Conn>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    until: Instant,
    bounds: Bounds,
) -> Result<BodyStart, FetchResult> {
    let silent = FetchResult::Failed(CallFailure::NoAnswer);
    let Ok(Ok((mut conn, answer))) = timeout_at(until, send_request(conn, address, request)).await else {
        return Err(silent);
    };
    let (head, body) = answer.into_parts();
    if head.status != StatusCode::OK {
        let whole = timeout_at(until, conn.body(body)).await;
        return Err(if matches!(whole, Ok(Ok(_))) {
            FetchResult::Failed(CallFailure::Rejected)
        } else {
            silent
        });
    }
    IncomingBody::new(conn, body, until, bounds).begin().await.map_err(FetchResult::Refused)
}

/// The state of the task that follows the list.
struct Follower {
    discovery: watch::Receiver<SocketAddr>,
    following: Following,
    pace: Option<Rc<ListPacer>>,
    requests: Rc<ListRequests>,
    counters: Rc<Counters>,
    inbound: UnboundedSender<Inbound>,
    bounds: Bounds,
    conn: Option<Conn>,
    /// The address of the connection; a move of discovery may be noticed in any wait.
    address: SocketAddr,
    /// The complete list is needed, and fetched until it has arrived.
    need_complete: bool,
    /// Number of lists refused since the last accepted one, at the same address.
    refused: u32,
}

impl Follower {
    /// Runs until the process ends or the driver is gone.
    async fn run(mut self) {
        if matches!(self.following, Following::Poll(..)) {
            self.requests.watch.notified().await;
        }
        loop {
            self.prepare().await;
            let Some(request) = self.request() else { return };
            let sent_at = Instant::now();
            let Some(result) = self.call(request).await else { continue };
            self.report_to_pace(&result);
            let pause = match &result {
                FetchResult::List(list) => self.list_accepted(list),
                FetchResult::Refused(why) => self.list_refused(why, sent_at.elapsed()),
                FetchResult::Failed(_) => self.call_failed(sent_at.elapsed()),
            };
            if !self.report(result) {
                return;
            }
            self.pause(pause).await;
        }
    }

    /// Waits for the next call's turn, then updates how and where it is made.
    async fn prepare(&mut self) {
        if let Some(new_mode) = self.requests.new_mode.take() {
            self.following = new_mode;
        }
        if let Some(pace) = &self.pace {
            self.need_complete |= pace.wait_turn().await;
        }
        let address = *self.discovery.borrow_and_update();
        if address != self.address {
            (self.conn, self.address) = (None, address);
            self.refused = 0;
        }
    }

    /// Composes the request of the next call.
    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let path = match self.following {
            Following::Watch(from, hold) if !self.need_complete => {
                format!("/v1/endpoints?from={from}&hold_ms={}", hold.as_millis())
            }
            _ => "/v1/endpoints".to_owned(),
        };
        Request::get(path).header("host", self.address.to_string()).body(Full::default()).ok()
    }

    /// The timeout of the next call.
    fn call_timeout(&self) -> Duration {
        let call_timeout = self.following.call_timeout();
        // The complete list is sent immediately by an agent and by a service.
        if self.need_complete { call_timeout.min(POLL_TIMEOUT) } else { call_timeout }
    }

    /// Makes a call; `None` if it was interrupted because another one is needed immediately.
    async fn call(&mut self, request: Request<Full<Bytes>>) -> Option<FetchResult> {
        let until = Instant::now() + self.call_timeout();
        let begun = tokio::select! {
            begun = begin_call(&mut self.conn, self.address, request, until, self.bounds) => begun,
            () = self.requests.fetch.notified() => {
                self.need_complete = true;
                return None;
            }
            Ok(()) = self.discovery.changed() => {
                self.discovery_moved();
                return None;
            }
        };
        match begun {
            Ok(BodyStart::Short(list, conn)) => Some(self.received(list, conn).await),
            Ok(BodyStart::Long(long)) => self.read_long_list(long).await,
            Err(result) => Some(result),
        }
    }

    /// Reads a long list; `None` if discovery moves meanwhile. A request for the complete list waits for its
    /// end: otherwise a list whose transfer takes longer than the interval of such requests would never
    /// arrive.
    async fn read_long_list(&mut self, long: list_body::Long) -> Option<FetchResult> {
        let read = tokio::select! {
            read = long.read() => read,
            Ok(()) = self.discovery.changed() => {
                self.discovery_moved();
                return None;
            }
        };
        match read {
            Ok((list, conn)) => Some(self.received(list, conn).await),
            Err(why) => Some(FetchResult::Refused(why)),
        }
    }

    /// A complete list was received on this connection, which is kept if it can be reused.
    async fn received(&mut self, list: List, mut conn: Conn) -> FetchResult {
        if conn.usable().await {
            self.conn = Some(conn);
        }
        FetchResult::List(list)
    }

    fn discovery_moved(&mut self) {
        self.conn = None;
        self.pace.iter().for_each(|pace| pace.service_moved());
    }

    /// Reports the result of a call to the pace.
    fn report_to_pace(&self, result: &FetchResult) {
        let (Some(pace), Following::Watch(from, _)) = (&self.pace, &self.following) else { return };
        pace.call_ended(match (result, result.failed()) {
            (FetchResult::List(list), _) => Ok(list_version(list).0 != *from),
            (_, failed) => Err(failed.unwrap_or(CallFailure::Rejected)),
        });
    }

    /// Records an accepted list. Returns the pause before the next call.
    fn list_accepted(&mut self, list: &List) -> Duration {
        let (index, endpoints) = list_version(list);
        self.counters.count_list_accepted(index, endpoints);
        (self.need_complete, self.refused) = (false, 0);
        match &mut self.following {
            Following::Watch(from, _) => {
                // The versions were restarted, and the updates in between are not in these changes.
                self.need_complete = endpoints.is_none() && index < *from;
                *from = index;
                Duration::ZERO
            }
            Following::Poll(pause, rng) => pause.mul_f64(0.86 + 0.28 * rng.f64()),
        }
    }

    /// Records a refused list, from a call that took `elapsed`. Returns the pause before the next call.
    fn list_refused(&mut self, why: &ListError, elapsed: Duration) -> Duration {
        let (code, remedy) = (why.code(), why.remedy());
        let refused = self.counters.count_list_refused(code);
        let shown: String =
            why.to_string().replace(['\n', '\r'], " ").chars().take(MAX_ERROR_CHARS).collect();
        tracing::warn!(
            code,
            remedy,
            refused,
            "a list of endpoints is refused, the previous one stays in force: {shown}"
        );
        // The complete list may be longer than a list of changes.
        self.need_complete |= matches!(why, ListError::Changes(_));
        if matches!(self.following, Following::Poll(..)) {
            return self.call_failed(elapsed);
        }
        self.conn = None;
        self.refused = self.refused.saturating_add(1);
        pause_after_refusal(self.refused, elapsed, self.call_timeout())
    }

    /// Records a call that failed after `elapsed`. Returns the pause before the next one.
    fn call_failed(&mut self, elapsed: Duration) -> Duration {
        self.conn = None;
        match &mut self.following {
            Following::Watch(..) => RETRY_PAUSE,
            Following::Poll(_, rng) => pause_after_failure(elapsed, rng.f64()),
        }
    }

    /// Reports the result of a call to the driver. Returns false if the driver is gone.
    fn report(&self, result: FetchResult) -> bool {
        let notification = match result {
            FetchResult::List(list) => Inbound::ListReceived(list),
            // A failed poll is not reported: the module's retry rule is made for the simulator's adapter,
            // where the next poll may come later. Here this task polls again by itself.
            _ if matches!(self.following, Following::Poll(..)) => return true,
            _ => Inbound::Event(Event::ListFailed),
        };
        self.inbound.send(notification).is_ok()
    }

    /// Pauses, unless a call is needed earlier.
    async fn pause(&mut self, pause: Duration) {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.requests.fetch.notified() => self.need_complete = true,
            Ok(()) = self.discovery.changed() => self.conn = None,
        }
    }
}

/// A message's outcome that must be reported to the platform.
#[derive(Debug)]
pub struct Notice {
    pub message: MessageId,
    /// Its `Req-Id`.
    pub id: String,
    /// How it ended.
    pub how: GivenUp,
}

#[derive(Serialize)]
struct NoticeLine<'a> {
    id: &'a str,
    status: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    again_ms: Option<u64>,
}

fn notice_line(notice: &Notice) -> Vec<u8> {
    let (status, again) = match notice.how {
        GivenUp::Deferred(again) => ("deferred", Some(again.div_ceil(1000)).filter(|ms| *ms > 0)),
        GivenUp::Undeliverable => ("undeliverable", None),
    };
    let mut line =
        serde_json::to_vec(&NoticeLine { id: &notice.id, status, again_ms: again }).unwrap_or_default();
    line.push(b'\n');
    line
}

/// Sends notices, each until the platform has accepted it.
pub async fn notices(
    mut discovery: watch::Receiver<SocketAddr>,
    mut notices: UnboundedReceiver<Notice>,
    inbound: UnboundedSender<Inbound>,
) {
    let mut unsent: BTreeMap<MessageId, Vec<u8>> = BTreeMap::new();
    let mut conn: Option<Conn> = None;
    let mut max = usize::MAX;
    loop {
        if unsent.is_empty() {
            let Some(notice) = notices.recv().await else { return };
            unsent.insert(notice.message, notice_line(&notice));
        }
        while let Ok(notice) = notices.try_recv() {
            unsent.insert(notice.message, notice_line(&notice));
        }
        if discovery.has_changed().unwrap_or(false) {
            conn = None;
        }
        let address = *discovery.borrow_and_update();
        let (mut body, mut sent) = (Vec::new(), Vec::new());
        for (message, line) in unsent.iter().take(max) {
            if !body.is_empty() && body.len() + line.len() > BODY_LIMIT {
                break;
            }
            body.extend(line);
            sent.push(*message);
        }
        let request = Request::post("/reports")
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)));
        let Ok(request) = request else { return };
        match timeout(NOTICE_TIMEOUT, exchange(&mut conn, address, request)).await {
            Ok(Ok((StatusCode::NO_CONTENT, _))) => {
                unsent.retain(|message, _| !sent.contains(message));
                max = usize::MAX;
                if inbound.send(Inbound::NoticesAcknowledged(sent)).is_err() {
                    return;
                }
            }
            // One line that the platform can't read must not block the others.
            Ok(Ok((StatusCode::BAD_REQUEST, _))) if sent.len() > 1 => max = 1,
            Ok(Ok((StatusCode::BAD_REQUEST, _))) => {
                tracing::warn!("the platform rejected a notice as malformed; the notice is dropped");
                unsent.retain(|message, _| !sent.contains(message));
                let _ = inbound.send(Inbound::NoticesAcknowledged(sent));
            }
            _ => {
                conn = None;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
