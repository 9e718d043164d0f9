//! The platform: the watch on the list of endpoints, and notices of messages that ended undelivered.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use myrtleyard::endpoints::reader::List;
use myrtleyard::interface::{Event, MessageId, Settings};
use myrtleyard::start::Failed;
use serde::Serialize;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout};

use super::calls::Conn;
use super::journal::GivenUp;
use super::listing::ListBody;
use super::parts::starting::Pace;
use super::{BODY_LIMIT, Inbound};

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
/// How long a notice may take; it is sent again after that.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// One request to the platform, on a connection that is kept if all went well. The platform may close a kept one just
/// as the request goes out: that is no failure, and the request, which does no harm twice, goes out on a new one.
///
/// # Errors
/// Fails when no connection is made, or the answer breaks off or is longer than an answer may be.
async fn ask(
    kept: &mut Option<Conn>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), ()> {
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
    let (mut conn, answer) = match crossed {
        Some(answered) => answered,
        None => {
            let mut conn = Conn::open(address).await.map_err(|_| ())?;
            let answer = conn.send(request).await?;
            (conn, answer)
        }
    };
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
    let most = (TOLD_WITHIN - ANSWERED_WITHIN - POLL_SLACK).saturating_sub(took);
    most.mul_f64(0.5 + luck / 2.0)
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
    mut discovery: watch::Receiver<SocketAddr>,
    mut following: Following,
    pace: Option<Rc<Pace>>,
    wanted: Rc<Wanted>,
    inbound: UnboundedSender<Inbound>,
) {
    let mut whole = false;
    let mut conn = None;
    // Where the connection leads: that discovery moves may come to be known in any wait.
    let mut asked_at = *discovery.borrow();
    if matches!(following, Following::Ask(..)) {
        wanted.watch.notified().await;
    }
    loop {
        following = wanted.otherwise.take().unwrap_or(following);
        if let Some(pace) = &pace {
            whole |= pace.turn().await;
        }
        let address = *discovery.borrow_and_update();
        if address != asked_at {
            (conn, asked_at) = (None, address);
        }
        let path = match following {
            Following::Watch(from, hold) if !whole => {
                format!("/v1/endpoints?from={from}&hold_ms={}", hold.as_millis())
            }
            _ => "/v1/endpoints".to_owned(),
        };
        let Ok(request) = Request::get(path).header("host", address.to_string()).body(Full::default()) else {
            return;
        };
        let asked = Instant::now();
        // The whole list is told at once, whoever tells it.
        let patience = if whole { following.patience().min(POLL_WITHIN) } else { following.patience() };
        let answer = tokio::select! {
            answer = timeout(patience, ask(&mut conn, address, request)) => answer,
            () = wanted.whole.notified() => {
                whole = true;
                continue;
            }
            Ok(()) = discovery.changed() => {
                conn = None;
                pace.iter().for_each(|pace| pace.moved());
                continue;
            }
        };
        let broken = !matches!(answer, Ok(Ok(_)));
        let list = match answer {
            Ok(Ok((StatusCode::OK, body))) => serde_json::from_slice::<ListBody>(&body).ok(),
            _ => None,
        };
        if let (Some(pace), Following::Watch(from, _)) = (&pace, &following) {
            let failed = if broken { Failed::Silence } else { Failed::Answer };
            pace.ended(list.as_ref().map(|list| list.index != *from).ok_or(failed));
        }
        // All of the list is owed until it has come.
        whole &= list.is_none();
        let rest = match (&list, &mut following) {
            (Some(list), Following::Watch(from, _)) => {
                // Versions begin anew, and what lies between is not in these changes.
                whole = !list.snapshot && list.index < *from;
                *from = list.index;
                Duration::ZERO
            }
            (Some(_), Following::Ask(rest, rng)) => rest.mul_f64(0.86 + 0.28 * rng.f64()),
            (None, Following::Watch(..)) => AGAIN,
            (None, Following::Ask(_, rng)) => rest_after_failure(asked.elapsed(), rng.f64()),
        };
        if list.is_none() {
            conn = None;
        }
        let said = match list {
            Some(list) => Some(Inbound::Listed(List::Entries(list))),
            // The module's rule is the wire's, where the next poll may come later.
            None if matches!(following, Following::Ask(..)) => None,
            None => Some(Inbound::Event(Event::ListFailed)),
        };
        if said.is_some_and(|said| inbound.send(said).is_err()) {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(rest) => {}
            () = wanted.whole.notified() => whole = true,
            Ok(()) = discovery.changed() => conn = None,
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
