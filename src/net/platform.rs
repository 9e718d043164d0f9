//! The platform: the watch on the list of endpoints, and notices of messages that ended undelivered.

mod arrival;

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
use myrtleyard::interface::{Event, MessageId, Settings};
use myrtleyard::start::Failed;
use myrtleyard::told::Told;
use serde::Serialize;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout, timeout_at};

use super::calls::Conn;
use super::figures::Figures;
use super::journal::GivenUp;
use super::listing::version;
use super::parts::starting::Pace;
use super::{BODY_LIMIT, Inbound};
use arrival::{Arrival, Begun};

/// How long an answer may take where all senders ask the one discovery: that turns away what has waited for 2 s.
/// A poll that is silent for longer is broken, and what it missed counts as told 6 s after it fell silent.
const POLL_WITHIN: Duration = Duration::from_millis(2500);
/// Whatever came of a call, what discovery has and can be reached for counts as told so much later.
const TOLD_WITHIN: Duration = Duration::from_secs(6);
/// Where all senders ask the one discovery, an answer that comes at all comes within this time.
const ANSWERED_WITHIN: Duration = Duration::from_secs(2);
/// What the way there and back, the timers and the next turn of the driver may take besides.
const POLL_SLACK: Duration = Duration::from_millis(250);
/// Bounds on how long a watch is held, whatever the settings say: with its slack twice the longest, silent twice in a
/// row, is below 6 s, and once below the 4 s after which news counts as told where discovery has moved.
const SHORTEST_HOLD: Duration = Duration::from_millis(500);
const LONGEST_HOLD: Duration = Duration::from_secs(2);
/// How long a watch is held that is asked of one service for all senders, where a call a second of each would be too
/// much; what it tells counts as told once it is written.
const SHARED_HOLD: Duration = Duration::from_secs(20);
/// How much later a watch's answer may come at most: what it misses counts as told 2 s after its wait is over.
const WATCH_SLACK: Duration = Duration::from_millis(1500);
/// Rest before a failed watch or notice is asked for or sent again: a watch goes on if it comes back within 200 ms.
const AGAIN: Duration = Duration::from_millis(50);
/// Doublings of [`AGAIN`] after refused lists at most; the rest is bounded by [`rest_after_refusal`] before that.
const MOST_DOUBLINGS: u32 = 10;
/// Rest after short refused lists of an agent at most: news that comes in a row of them is told that much later, and
/// calls there cost nothing.
const MOST_AT_AGENT: Duration = Duration::from_secs(1);
/// Characters of an error that go into a line of the log.
const SHOWN: usize = 200;
/// How long a notice may take; it is sent again after that.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// One request to the platform, and the head of its answer, on a kept connection or a new one. The platform may close a
/// kept one just as the request goes out: that is no failure, and the request, which does no harm twice, goes out on a
/// new one.
///
/// # Errors
/// Fails when no connection is made, or it breaks before the answer's head.
async fn answered(
    kept: &mut Option<Conn>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Conn, Response<Incoming>), ()> {
    // Bytes that nothing asked for must not be taken for the answer.
    let usable = match kept.take() {
        Some(mut conn) => conn.still_usable().await.then_some(conn),
        None => None,
    };
    let asked = Instant::now();
    let crossed = match usable {
        Some(mut conn) => match conn.send(request.clone()).await {
            Ok(answer) => Some((conn, answer)),
            // That broke while it waited, which is an answer of a kind: all senders asking anew at once is none.
            Err(()) if asked.elapsed() > AGAIN => return Err(()),
            Err(()) => None,
        },
        None => None,
    };
    match crossed {
        Some(answered) => Ok(answered),
        None => {
            let mut conn = Conn::open(address).await.map_err(|_| ())?;
            let answer = conn.send(request).await?;
            Ok((conn, answer))
        }
    }
}

/// One request to the platform, on a connection that is kept if all went well.
///
/// # Errors
/// Fails when no connection is made, or the answer breaks off or is longer than an answer may be.
async fn ask(
    kept: &mut Option<Conn>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), ()> {
    let (mut conn, answer) = answered(kept, address, request).await?;
    let (head, body) = answer.into_parts();
    let body = conn.body(body).await?;
    if conn.usable().await {
        *kept = Some(conn);
    }
    Ok((head.status, body))
}

/// Rest after a poll that brought no list and took so long: by chance, since all senders may have failed together, and
/// from half of what may be to all of it, so that 300 of them ask some 110 times a second at most on average. What
/// changed just after the failed poll went out is told by the answer to the next one: both waits, the rest between
/// them and the slack come to [`TOLD_WITHIN`]. The last failure decides alone: discovery may have come back as the
/// failed poll went out, however many failed before.
fn rest_after_failure(took: Duration, luck: f64) -> Duration {
    // A long list that is not taken may take longer than a poll may be silent; what it cost must not come again at once.
    let most = (TOLD_WITHIN - ANSWERED_WITHIN - POLL_SLACK).saturating_sub(took.min(POLL_WITHIN));
    most.mul_f64(0.5 + luck / 2.0)
}

/// Rest after a list that came and was not taken, in a row of so many, from a call that took so long; `patience` is that
/// of the next call. It doubles from [`AGAIN`] on: a single one costs no more than a failed call. What changed just after
/// the refused call went out is told by the answer to the next one: both waits, the rest between them and the slack come
/// to [`TOLD_WITHIN`]. A call that took longer than its patience brought a long list, and what changed at its beginning is
/// overdue; the time from its end on counts there. The longest patience of a watch at an agent stands for that of a watch
/// that a service for all senders holds, since either tells what it has at once.
fn rest_after_refusal(refused: u32, took: Duration, patience: Duration) -> Duration {
    let at_agent = patience <= LONGEST_HOLD + WATCH_SLACK;
    let patience = patience.min(LONGEST_HOLD + WATCH_SLACK);
    let short = took <= patience + POLL_SLACK;
    let spent = if short { took } else { Duration::ZERO };
    let most = (TOLD_WITHIN - POLL_SLACK).saturating_sub(spent + patience);
    let most = if short && at_agent { most.min(MOST_AT_AGENT) } else { most };
    let doubled = AGAIN * (1 << refused.saturating_sub(1).min(MOST_DOUBLINGS));
    doubled.min(most).max(AGAIN)
}

/// What the module wants of the list.
#[derive(Debug, Default)]
pub struct Wanted {
    /// All of it, now.
    pub whole: Notify,
    /// To be told of it from now on, for the first time.
    pub watch: Notify,
    /// It is to be followed otherwise from now on, since the settings changed; then all of it is wanted, too.
    pub otherwise: RefCell<Option<Following>>,
}

/// How the list is followed.
#[derive(Debug)]
pub enum Following {
    /// By a watch from the version that is known, held for so long. It is asked of an agent on this machine, at
    /// no cost, and what the agent has counts as told at once: whether the watch has fallen silent, or the agent
    /// was and is back, must be found out well before sends to an endpoint that leaves have to cease.
    Watch(u64, Duration),
    /// By asking for the whole list, and again after about such a rest. A watch would be answered, and asked
    /// for again, by all senders at once at each change, and discovery has not the room for that; what changes
    /// just after the answer to a watch that does not go on counts as told all the same.
    Ask(Duration, fastrand::Rng),
}

impl Following {
    /// As the settings have it; `shared` where one service answers all senders' watches, not an agent on this machine.
    pub fn new(settings: &Settings, shared: bool, known: u64, seed: u64) -> Self {
        match settings.must_ask {
            true => Self::Ask(Duration::from_micros(settings.ask_round()), fastrand::Rng::with_seed(seed)),
            false if shared => Self::Watch(known, SHARED_HOLD),
            false => {
                let hold = Duration::from_micros(settings.rules.drain_grace / 2);
                Self::Watch(known, hold.clamp(SHORTEST_HOLD, LONGEST_HOLD))
            }
        }
    }

    /// After how long an answer is taken not to come.
    fn patience(&self) -> Duration {
        match self {
            Self::Watch(_, hold) => *hold + (*hold * 2 / 5).min(WATCH_SLACK),
            Self::Ask(..) => POLL_WITHIN,
        }
    }
}

/// Follows the list for as long as the process runs. Moves when discovery does. Where there is a pace, each call but
/// one for the whole list waits for its turn.
pub async fn follow(
    discovery: watch::Receiver<SocketAddr>,
    following: Following,
    pace: Option<Rc<Pace>>,
    wanted: Rc<Wanted>,
    figures: Rc<Figures>,
    inbound: UnboundedSender<Inbound>,
) {
    let address = *discovery.borrow();
    let (conn, whole, refused, bounds) = (None, false, 0, Bounds::default());
    let follower = Follower {
        discovery,
        following,
        pace,
        wanted,
        figures,
        inbound,
        bounds,
        conn,
        address,
        whole,
        refused,
    };
    follower.run().await;
}

/// What a call that was not interrupted brought.
#[derive(Debug)]
enum Brought {
    /// A list.
    List(List),
    /// The beginning of an answer that should be a list, and is none.
    Refused(ListError),
    /// No answer, or another one.
    Failed(Failed),
}

impl Brought {
    /// As the pace counts it.
    fn failed(&self) -> Option<Failed> {
        match self {
            Self::List(_) => None,
            Self::Refused(ListError::Cut(_)) => Some(Failed::Silence),
            Self::Refused(_) => Some(Failed::Answer),
            Self::Failed(how) => Some(*how),
        }
    }
}

/// Makes a call, and waits for the first bytes of its list.
async fn begin(
    conn: &mut Option<Conn>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    until: Instant,
    bounds: Bounds,
) -> Result<Begun, Brought> {
    let silent = Brought::Failed(Failed::Silence);
    let Ok(Ok((mut conn, answer))) = timeout_at(until, answered(conn, address, request)).await else {
        return Err(silent);
    };
    let (head, body) = answer.into_parts();
    if head.status != StatusCode::OK {
        let whole = timeout_at(until, conn.body(body)).await;
        return Err(if matches!(whole, Ok(Ok(_))) { Brought::Failed(Failed::Answer) } else { silent });
    }
    Arrival::new(conn, body, until, bounds).begin().await.map_err(Brought::Refused)
}

/// Whoever follows the list, between two calls.
struct Follower {
    discovery: watch::Receiver<SocketAddr>,
    following: Following,
    pace: Option<Rc<Pace>>,
    wanted: Rc<Wanted>,
    figures: Rc<Figures>,
    inbound: UnboundedSender<Inbound>,
    bounds: Bounds,
    conn: Option<Conn>,
    /// Where the connection leads: that discovery moves may come to be known in any wait.
    address: SocketAddr,
    /// The whole list is owed until it has come.
    whole: bool,
    /// Lists refused since the last one that was taken, at the same address.
    refused: u32,
}

impl Follower {
    /// Ends with the process, or when nobody hears of the list any more.
    async fn run(mut self) {
        if matches!(self.following, Following::Ask(..)) {
            self.wanted.watch.notified().await;
        }
        loop {
            self.prepare().await;
            let Some(request) = self.request() else { return };
            let asked = Instant::now();
            let Some(brought) = self.call(request).await else { continue };
            self.count(&brought);
            let rest = match &brought {
                Brought::List(list) => self.rest_after_list(list),
                Brought::Refused(why) => self.rest_after_refused(why, asked.elapsed()),
                Brought::Failed(_) => self.rest_after_failed(asked.elapsed()),
            };
            if !self.tell(brought) {
                return;
            }
            self.rest(rest).await;
        }
    }

    /// Waits for the next call's turn, and sees how and where it is to be made.
    async fn prepare(&mut self) {
        if let Some(otherwise) = self.wanted.otherwise.take() {
            self.following = otherwise;
        }
        if let Some(pace) = &self.pace {
            self.whole |= pace.turn().await;
        }
        let address = *self.discovery.borrow_and_update();
        if address != self.address {
            (self.conn, self.address) = (None, address);
            self.refused = 0;
        }
    }

    /// The next call.
    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let path = match self.following {
            Following::Watch(from, hold) if !self.whole => {
                format!("/v1/endpoints?from={from}&hold_ms={}", hold.as_millis())
            }
            _ => "/v1/endpoints".to_owned(),
        };
        Request::get(path).header("host", self.address.to_string()).body(Full::default()).ok()
    }

    /// After how long the next call's answer is taken not to come.
    fn patience(&self) -> Duration {
        let patience = self.following.patience();
        // The whole list is told at once, whoever tells it.
        if self.whole { patience.min(POLL_WITHIN) } else { patience }
    }

    /// Makes a call; nothing when it was interrupted, since another one is wanted at once.
    async fn call(&mut self, request: Request<Full<Bytes>>) -> Option<Brought> {
        let until = Instant::now() + self.patience();
        let begun = tokio::select! {
            begun = begin(&mut self.conn, self.address, request, until, self.bounds) => begun,
            () = self.wanted.whole.notified() => {
                self.whole = true;
                return None;
            }
            Ok(()) = self.discovery.changed() => {
                self.moved();
                return None;
            }
        };
        match begun {
            Ok(Begun::Short(list, conn)) => Some(self.came(list, conn).await),
            Ok(Begun::Long(long)) => self.long(long).await,
            Err(brought) => Some(brought),
        }
    }

    /// Reads a long list; nothing when discovery moves meanwhile. That the whole list is wanted waits for its end: a
    /// list that takes longer to come than it takes until the next wish for it would never come.
    async fn long(&mut self, long: arrival::Long) -> Option<Brought> {
        let read = tokio::select! {
            read = long.read() => read,
            Ok(()) = self.discovery.changed() => {
                self.moved();
                return None;
            }
        };
        match read {
            Ok((list, conn)) => Some(self.came(list, conn).await),
            Err(why) => Some(Brought::Refused(why)),
        }
    }

    /// A list came whole on this connection, which is kept if it may be.
    async fn came(&mut self, list: List, mut conn: Conn) -> Brought {
        if conn.usable().await {
            self.conn = Some(conn);
        }
        Brought::List(list)
    }

    /// Discovery has moved.
    fn moved(&mut self) {
        self.conn = None;
        self.pace.iter().for_each(|pace| pace.moved());
    }

    /// Tells the pace how a call ended.
    fn count(&self, brought: &Brought) {
        let (Some(pace), Following::Watch(from, _)) = (&self.pace, &self.following) else { return };
        pace.ended(match (brought, brought.failed()) {
            (Brought::List(list), _) => Ok(version(list).0 != *from),
            (_, failed) => Err(failed.unwrap_or(Failed::Answer)),
        });
    }

    /// Takes note of a list that is taken. How long to rest before the next call.
    fn rest_after_list(&mut self, list: &List) -> Duration {
        let (index, endpoints) = version(list);
        self.figures.list_taken(index, endpoints);
        (self.whole, self.refused) = (false, 0);
        match &mut self.following {
            Following::Watch(from, _) => {
                // Versions begin anew, and what lies between is not in these changes.
                self.whole = endpoints.is_none() && index < *from;
                *from = index;
                Duration::ZERO
            }
            Following::Ask(rest, rng) => rest.mul_f64(0.86 + 0.28 * rng.f64()),
        }
    }

    /// Takes note of a list that is not taken, from a call that took so long. How long to rest before the next call.
    fn rest_after_refused(&mut self, why: &ListError, took: Duration) -> Duration {
        let (code, remedy) = (why.code(), why.remedy());
        let refused = self.figures.list_refused(code);
        let shown: String = why.to_string().replace(['\n', '\r'], " ").chars().take(SHOWN).collect();
        tracing::warn!(
            code,
            remedy,
            refused,
            "a list of endpoints is not taken; the one before stays: {shown}"
        );
        // The whole list may be longer than a list of changes.
        self.whole |= matches!(why, ListError::Changes(_));
        if matches!(self.following, Following::Ask(..)) {
            return self.rest_after_failed(took);
        }
        self.conn = None;
        self.refused = self.refused.saturating_add(1);
        rest_after_refusal(self.refused, took, self.patience())
    }

    /// Takes note of a call that failed after so long. How long to rest before the next one.
    fn rest_after_failed(&mut self, took: Duration) -> Duration {
        self.conn = None;
        match &mut self.following {
            Following::Watch(..) => AGAIN,
            Following::Ask(_, rng) => rest_after_failure(took, rng.f64()),
        }
    }

    /// Tells the driver what a call brought; whether it still hears that.
    fn tell(&self, brought: Brought) -> bool {
        let said = match brought {
            Brought::List(list) => Inbound::Listed(list),
            // The module's rule is the wire's, where the next poll may come later.
            _ if matches!(self.following, Following::Ask(..)) => return true,
            _ => Inbound::Event(Event::ListFailed),
        };
        self.inbound.send(said).is_ok()
    }

    /// Rests, unless a call is wanted before.
    async fn rest(&mut self, rest: Duration) {
        tokio::select! {
            () = tokio::time::sleep(rest) => {}
            () = self.wanted.whole.notified() => self.whole = true,
            Ok(()) = self.discovery.changed() => self.conn = None,
        }
    }
}

/// A message's end that the platform is owed.
#[derive(Debug)]
pub struct Notice {
    /// The message.
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

fn line(notice: &Notice) -> Vec<u8> {
    let (status, again) = match notice.how {
        GivenUp::Deferred(again) => ("deferred", Some(again.div_ceil(1000)).filter(|ms| *ms > 0)),
        GivenUp::Undeliverable => ("undeliverable", None),
    };
    let mut line =
        serde_json::to_vec(&NoticeLine { id: &notice.id, status, again_ms: again }).unwrap_or_default();
    line.push(b'\n');
    line
}

/// Sends notices, each until the platform has it.
pub async fn notices(
    mut discovery: watch::Receiver<SocketAddr>,
    mut notices: UnboundedReceiver<Notice>,
    inbound: UnboundedSender<Inbound>,
) {
    let mut owed: BTreeMap<MessageId, Vec<u8>> = BTreeMap::new();
    let mut conn: Option<Conn> = None;
    let mut most = usize::MAX;
    loop {
        if owed.is_empty() {
            let Some(notice) = notices.recv().await else { return };
            owed.insert(notice.message, line(&notice));
        }
        while let Ok(notice) = notices.try_recv() {
            owed.insert(notice.message, line(&notice));
        }
        if discovery.has_changed().unwrap_or(false) {
            conn = None;
        }
        let address = *discovery.borrow_and_update();
        let (mut body, mut told) = (Vec::new(), Vec::new());
        for (message, line) in owed.iter().take(most) {
            if !body.is_empty() && body.len() + line.len() > BODY_LIMIT {
                break;
            }
            body.extend(line);
            told.push(*message);
        }
        let request = Request::post("/reports")
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)));
        let Ok(request) = request else { return };
        match timeout(NOTICE_TIMEOUT, ask(&mut conn, address, request)).await {
            Ok(Ok((StatusCode::NO_CONTENT, _))) => {
                owed.retain(|message, _| !told.contains(message));
                most = usize::MAX;
                if inbound.send(Inbound::NoticesKept(told)).is_err() {
                    return;
                }
            }
            // One line that can't be read must not keep the others back.
            Ok(Ok((StatusCode::BAD_REQUEST, _))) if told.len() > 1 => most = 1,
            Ok(Ok((StatusCode::BAD_REQUEST, _))) => {
                tracing::warn!("the platform does not read a notice; dropped");
                owed.retain(|message, _| !told.contains(message));
                let _ = inbound.send(Inbound::NoticesKept(told));
            }
            _ => {
                conn = None;
                tokio::time::sleep(AGAIN).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
