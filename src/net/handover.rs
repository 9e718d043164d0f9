//! The handover between two processes of one sender, which lets a new version take over under load. The state
//! folder belongs to the process that holds the lock file in it. The new process requests the folder over a
//! socket there: the old process stops accepting connections and starting calls, sends its complete state,
//! and releases the lock. Afterwards it forwards what still happens in it: ends of calls, and requests on
//! open client connections. So at any time a single decision module makes all decisions.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use myrtleyard::interface::{EndpointId, Event, MessageId, Micros, Outcome, Settings};
use myrtleyard::policy::Policy;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::calls::Calls;
use super::control::Reply;
use super::errors::CallError;
use super::intake::{Answer, Intake, Submission};
use super::journal::AcceptedMessage;
use super::listing::KnownEndpoint;
use super::names::Names;
use super::working_set::WorkingSet;
use super::{AttemptEnd, Clock, Inbound, STOP_WITHIN, ServiceState};

/// Lock file, held by the process that owns the folder.
const LOCK: &str = "owner";
/// Socket on which the next process requests the folder.
const SOCKET: &str = "successor";
/// The request. A peer that sends anything else gets no answer.
const REQUEST: &[u8; 10] = b"take over\n";
/// Time limit for the transfer of the old process's state.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before a held lock is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Time limit for writing one forwarded frame.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a frame, bytes.
const MAX_FRAME: u32 = 16 << 20;

/// The complete state of a sender apart from its journal. Fields are encoded by name, so that versions may
/// differ in the fields that they add.
#[derive(Deserialize)]
pub struct HandoverState {
    /// Time on the old process's clock.
    pub now: Micros,
    /// The decision module after its last turn.
    pub policy: Policy,
    /// The settings in force.
    pub settings: Settings,
    /// The names in them.
    pub names: Names,
    /// Endpoints by id.
    pub endpoints: HashMap<EndpointId, KnownEndpoint>,
    /// Endpoint ids by name.
    pub ids: HashMap<String, EndpointId>,
    /// Number of endpoint ids assigned.
    pub given: u64,
    /// Version of the endpoint list.
    pub index: u64,
    /// Timers that the module has set.
    pub timers: BTreeSet<(Micros, u64)>,
    /// Number of the next message.
    pub next_message: u32,
    /// Numbers of the messages held, by `Req-Id`.
    pub held: HashMap<String, u32>,
    /// Number of attempts begun for each message held.
    pub attempts: HashMap<u32, u16>,
    /// The resident destinations of a long list; in an older process all are resident.
    #[serde(default)]
    pub working: WorkingSet,
}

/// [`HandoverState`] as the old process serializes it, by reference.
#[derive(Serialize)]
pub struct HandoverStateRef<'a> {
    /// See [`HandoverState`] for this and the following fields.
    pub now: Micros,
    /// The module.
    pub policy: &'a Policy,
    /// The settings in force.
    pub settings: &'a Settings,
    /// The names in them.
    pub names: &'a Names,
    /// Endpoints by id.
    pub endpoints: &'a HashMap<EndpointId, KnownEndpoint>,
    /// Endpoint ids by name.
    pub ids: &'a HashMap<String, EndpointId>,
    /// Number of endpoint ids assigned.
    pub given: u64,
    /// Version of the endpoint list.
    pub index: u64,
    /// Timers that the module has set.
    pub timers: &'a BTreeSet<(Micros, u64)>,
    /// Number of the next message.
    pub next_message: u32,
    /// Numbers of the messages held, by `Req-Id`.
    pub held: &'a HashMap<String, u32>,
    /// Number of attempts begun for each message held.
    pub attempts: &'a HashMap<u32, u16>,
    /// The resident destinations of a long list.
    pub working: &'a WorkingSet,
    /// Names of the endpoints that the module treats as drained by operators; older versions require the
    /// field.
    pub drained: BTreeSet<String>,
}

/// Events that the old process forwards to the new one.
#[derive(Serialize, Deserialize)]
enum ForwardedEvent {
    #[serde(rename = "HandedIn")]
    Submitted {
        number: u64,
        taken: AcceptedMessage,
        owner: Option<String>,
        class: usize,
    },
    Withdrawn(String),
    #[serde(rename = "CallOver")]
    CallEnded(Vec<AttemptEnd>),
    #[serde(rename = "Wait")]
    RetryAfter(EndpointId, Micros),
    Probed(EndpointId, Outcome, Vec<f32>),
}

/// Commands of the new process to the old one.
#[derive(Debug, Serialize, Deserialize)]
pub enum SuccessorCommand {
    /// Answer the client whose submission was forwarded under this number.
    Answer(u64, Answer),
    /// Cancel an attempt.
    Cancel(MessageId, u16),
}

/// Encodes a value as a frame. Fails for a value that the reader would reject as too long.
fn frame<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let body = rmp_serde::to_vec_named(value).map_err(io::Error::other)?;
    let length = u32::try_from(body.len()).ok().filter(|length| *length <= MAX_FRAME);
    let length = length.ok_or_else(|| io::Error::other(too_long(body.len())))?;
    let mut frame = length.to_le_bytes().to_vec();
    frame.extend(body);
    Ok(frame)
}

fn too_long(length: impl std::fmt::Display) -> String {
    format!("handover frame of {length} bytes is over the limit of {MAX_FRAME} bytes")
}

async fn write_frame<T: Serialize>(to: &mut (impl AsyncWrite + Unpin), value: &T) -> io::Result<()> {
    to.write_all(&frame(value)?).await
}

async fn read_frame<T: DeserializeOwned>(from: &mut (impl AsyncRead + Unpin)) -> io::Result<T> {
    let length = from.read_u32_le().await?;
    if length > MAX_FRAME {
        return Err(io::Error::other(too_long(length)));
    }
    let mut body = vec![0; length as usize];
    from.read_exact(&mut body).await?;
    rmp_serde::from_slice(&body).map_err(io::Error::other)
}

/// Ownership of the state folder; dropping it releases the lock.
pub struct FolderLock(#[expect(dead_code, reason = "the lock is held while the file is open")] File);

/// The old process and its state.
pub struct Predecessor {
    /// Its state when it handed over.
    pub state: Box<HandoverState>,
    /// The connection to it.
    pub link: Link,
}

/// The connection to the old process.
pub struct Link(UnixStream);

/// Waits until this process owns the folder; returns at once if no other process owns it.
///
/// # Errors
/// Fails when the folder cannot be written.
pub async fn acquire_folder(folder: &Path) -> io::Result<(FolderLock, Option<Predecessor>)> {
    std::fs::create_dir_all(folder)?;
    let lock = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(LOCK))?;
    let mut predecessor = None;
    let mut warned = false;
    loop {
        match lock.try_lock() {
            Ok(()) => return Ok((FolderLock(lock), predecessor)),
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(e)) => return Err(e),
        }
        predecessor = match timeout(TRANSFER_TIMEOUT, request_state(folder)).await {
            Ok(Ok(found)) => Some(found),
            // The owner is about to end, is not ready yet, or has a version whose state cannot be decoded.
            // The lock then shows when it has ended, and the journal holds what it left.
            Ok(Err(_)) | Err(_) => None,
        };
        if predecessor.is_none() && !std::mem::replace(&mut warned, true) {
            tracing::warn!("the running process does not hand over its state; waiting until it ends");
        }
        if predecessor.is_none() {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn request_state(folder: &Path) -> io::Result<Predecessor> {
    let mut stream = UnixStream::connect(folder.join(SOCKET)).await?;
    stream.write_all(REQUEST).await?;
    let knowledge = Box::new(read_frame(&mut stream).await?);
    Ok(Predecessor { state: knowledge, link: Link(stream) })
}

impl Link {
    /// Forwards the old process's events to the driver until that process is gone. Calls that were still out
    /// then may have run.
    pub fn follow(
        self,
        inbound: UnboundedSender<Inbound>,
        outstanding: Vec<AttemptEnd>,
    ) -> (UnboundedSender<SuccessorCommand>, JoinHandle<()>) {
        let (from, to) = self.0.into_split();
        let (orders, ordered) = unbounded_channel();
        tokio::task::spawn_local(write_frames(to, ordered));
        (orders.clone(), tokio::task::spawn_local(forward_events(from, orders, inbound, outstanding)))
    }
}

async fn forward_events(
    mut from: OwnedReadHalf,
    orders: UnboundedSender<SuccessorCommand>,
    inbound: UnboundedSender<Inbound>,
    mut outstanding: Vec<AttemptEnd>,
) {
    let mut waiting: HashMap<String, JoinHandle<()>> = HashMap::new();
    while let Ok(forwarded) = read_frame(&mut from).await {
        let event = match forwarded {
            ForwardedEvent::Submitted { number, taken, owner, class } => {
                let taken = AcceptedMessage { owner, ..taken };
                let (answer, answered) = oneshot::channel();
                let (id, orders) = (taken.id.clone(), orders.clone());
                waiting.retain(|_, task| !task.is_finished());
                waiting.insert(
                    id,
                    tokio::task::spawn_local(async move {
                        if let Ok(answer) = answered.await {
                            let _ = orders.send(SuccessorCommand::Answer(number, answer));
                        }
                    }),
                );
                Inbound::Submitted(Submission { taken, class, answer, presence: None })
            }
            ForwardedEvent::Withdrawn(id) => {
                // The client is gone. The driver must find the answer channel closed when it handles the
                // event.
                if let Some(task) = waiting.remove(&id) {
                    task.abort();
                    let _ = task.await;
                }
                Inbound::Withdrawn(id)
            }
            ForwardedEvent::CallEnded(ends) => {
                let ended =
                    |o: &AttemptEnd| ends.iter().any(|e| (e.message, e.attempt) == (o.message, o.attempt));
                outstanding.retain(|o| !ended(o));
                Inbound::CallEnded(ends)
            }
            ForwardedEvent::RetryAfter(endpoint, wait) => {
                Inbound::Event(Event::RetryAfter { endpoint, wait })
            }
            ForwardedEvent::Probed(endpoint, outcome, report) => {
                Inbound::Event(Event::Probed { endpoint, outcome, report })
            }
        };
        let _ = inbound.send(event);
    }
    let _ = inbound.send(Inbound::CallEnded(outstanding));
}

async fn write_frames<T: Serialize>(mut to: OwnedWriteHalf, mut values: UnboundedReceiver<T>) {
    while let Some(value) = values.recv().await {
        if !matches!(timeout(FORWARD_TIMEOUT, write_frame(&mut to, &value)).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Waits until the next process requests the folder.
pub async fn wait_for_successor(folder: &Path) -> io::Result<UnixStream> {
    let path = folder.join(SOCKET);
    // A socket left by an earlier process is stale.
    let _ = std::fs::remove_file(&path);
    let listener = UnixListener::bind(path)?;
    loop {
        let (mut stream, _) = listener.accept().await?;
        let mut request = [0; REQUEST.len()];
        let received = timeout(FORWARD_TIMEOUT, stream.read_exact(&mut request)).await;
        if matches!(received, Ok(Ok(_))) && request == *REQUEST {
            return Ok(stream);
        }
    }
}

/// A new process that has received this process's state except for the last byte. Without that byte it can do
/// nothing, and the old process can continue as if there had been no request.
pub struct PreparedHandover {
    stream: UnixStream,
    last: u8,
}

/// Sends the state to the new process, except for the last byte.
///
/// # Errors
/// Fails if the new process is gone or does not read, or if the state exceeds the frame limit; then nothing
/// has changed.
pub async fn prepare_handover(
    mut stream: UnixStream,
    knowledge: &impl Serialize,
) -> io::Result<PreparedHandover> {
    let mut frame = frame(knowledge)?;
    let last = frame.pop().unwrap_or_default();
    timeout(TRANSFER_TIMEOUT, stream.write_all(&frame)).await??;
    // The write succeeds even if the peer has closed and the state is only in the socket's buffer.
    match stream.try_read(&mut [0]) {
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(PreparedHandover { stream, last }),
        Err(e) => Err(e),
        Ok(_) => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

/// What the old process still runs after the handover, until it ends.
pub struct Relay {
    /// The process's clock.
    pub clock: Clock,
    /// Client connections.
    pub intake: Rc<Intake>,
    /// Calls that are out.
    pub calls: Calls,
    /// When the process is killed, if it has been asked to end.
    pub stop_at: Option<Micros>,
    /// Sender for the events of the tasks.
    pub inbound: UnboundedSender<Inbound>,
}

impl Relay {
    /// Releases the folder to the new process and forwards all further events to it.
    pub async fn run(
        mut self,
        prepared: PreparedHandover,
        claim: FolderLock,
        mut events: UnboundedReceiver<Inbound>,
    ) {
        let PreparedHandover { mut stream, last } = prepared;
        // The lock is free before the new process can read the last byte.
        drop(claim);
        if !matches!(timeout(TRANSFER_TIMEOUT, stream.write_all(&[last])).await, Ok(Ok(()))) {
            tracing::warn!("the new process did not complete the takeover; the journal is left to it");
            return;
        }
        let (mut from, to) = stream.into_split();
        let (forward, forwarded) = unbounded_channel();
        tokio::task::spawn_local(write_frames(to, forwarded));
        let inbound = self.inbound.clone();
        tokio::task::spawn_local(async move {
            while let Ok(order) = read_frame(&mut from).await {
                let _ = inbound.send(Inbound::SuccessorCommand(Some(order)));
            }
            let _ = inbound.send(Inbound::SuccessorCommand(None));
        });
        let mut waiting: BTreeMap<u64, oneshot::Sender<Answer>> = BTreeMap::new();
        let mut submissions = 0;
        loop {
            let inbound = match self.stop_at {
                // The process ends shortly after its last work is done, or when its time is up.
                Some(at) => {
                    let idle = self.intake.open() == 0 && self.calls.in_flight() == 0 && waiting.is_empty();
                    if idle && events.is_empty() || self.clock.now() >= at {
                        // Leaves time for the last forwarded frame to be written.
                        tokio::time::sleep(RETRY_PAUSE).await;
                        return;
                    }
                    match timeout(RETRY_PAUSE, events.recv()).await {
                        Ok(inbound) => inbound,
                        Err(_) => continue,
                    }
                }
                None => events.recv().await,
            };
            let Some(inbound) = inbound else { return };
            let event = match inbound {
                Inbound::Submitted(Submission { taken, class, answer, presence }) => {
                    if presence.is_some_and(|presence| presence.has_left()) {
                        continue;
                    }
                    submissions += 1;
                    waiting.insert(submissions, answer);
                    let owner = taken.owner.clone();
                    ForwardedEvent::Submitted { number: submissions, taken, owner, class }
                }
                Inbound::Withdrawn(id) => {
                    waiting.retain(|_, answer| !answer.is_closed());
                    ForwardedEvent::Withdrawn(id)
                }
                Inbound::CallEnded(ends) => ForwardedEvent::CallEnded(ends),
                Inbound::Event(Event::RetryAfter { endpoint, wait }) => {
                    ForwardedEvent::RetryAfter(endpoint, wait)
                }
                Inbound::Event(Event::Probed { endpoint, outcome, report }) => {
                    ForwardedEvent::Probed(endpoint, outcome, report)
                }
                Inbound::SuccessorCommand(Some(SuccessorCommand::Answer(number, answer))) => {
                    // A client that no longer waits has been reported as withdrawn.
                    waiting.remove(&number).map(|waiting| waiting.send(answer));
                    continue;
                }
                Inbound::SuccessorCommand(Some(SuccessorCommand::Cancel(message, attempt))) => {
                    self.calls.cancel(message, attempt);
                    continue;
                }
                // The new process is gone. The journal holds every message that has not ended.
                Inbound::SuccessorCommand(None) => return,
                Inbound::Terminate => {
                    self.stop_at.get_or_insert(self.clock.now() + STOP_WITHIN);
                    continue;
                }
                Inbound::Service(_, done) => {
                    let _ = done.send(ServiceState::HandedOver);
                    continue;
                }
                Inbound::Control(_, reply) | Inbound::StatusQuery(_, _, reply) => {
                    let _ = reply.send(Reply::call_error(&CallError::HandedOver));
                    continue;
                }
                // Left to the new process, which has its own watch of the list, notices and configuration.
                Inbound::Event(_)
                | Inbound::Datagram(..)
                | Inbound::ListReceived(_)
                | Inbound::NoticesAcknowledged(_)
                | Inbound::Reloaded(_)
                | Inbound::Successor(_) => continue,
            };
            let _ = forward.send(event);
        }
    }
}

#[cfg(test)]
mod tests;
