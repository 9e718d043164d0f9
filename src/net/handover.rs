//! The handover between two processes of one sender, so that a new version takes over under load. The folder
//! that lasts belongs to the process that holds a lock in it. The new process asks the old one for it over a
//! socket there: the old one stops taking connections and beginning calls, tells all that it knows, and
//! lets go of the lock. What still happens there is passed on: ends of calls, and what clients bring
//! over the connections that they have. So every decision is made by one module at any time.

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
use super::intake::{Answer, HandedIn, Intake};
use super::journal::Taken;
use super::listing::Known;
use super::names::Names;
use super::refusals::NoCall;
use super::working::Working;
use super::{AttemptOver, Clock, Inbound, STOP_WITHIN, Standing};

/// Held by the process that the folder belongs to.
const LOCK: &str = "owner";
/// Where the next process asks.
const SOCKET: &str = "successor";
/// What it says first: whoever else connects there gets nothing.
const ASK: &[u8; 10] = b"take over\n";
/// How long the old process may take to tell what it knows.
const TOLD_WITHIN: Duration = Duration::from_secs(2);
/// Rest before the next look at a lock that is held.
const AGAIN: Duration = Duration::from_millis(20);
/// How long what is passed on may take to be written.
const PASSED_WITHIN: Duration = Duration::from_millis(500);
/// A longer frame is not read.
const FRAME_LIMIT: u32 = 16 << 20;

/// All that a sender knows beside its journal. It goes by the names of its fields, so that versions may
/// differ in what they add.
#[derive(Deserialize)]
pub struct Knowledge {
    /// The old process's clock.
    pub now: Micros,
    /// The module, as it stands after its last turn.
    pub policy: Policy,
    /// The settings in force.
    pub settings: Settings,
    /// The names in them.
    pub names: Names,
    /// Endpoints by id.
    pub endpoints: HashMap<EndpointId, Known>,
    /// Ids by name.
    pub ids: HashMap<String, EndpointId>,
    /// Ids given out.
    pub given: u64,
    /// The list's version.
    pub index: u64,
    /// Reminders that the module asked for.
    pub timers: BTreeSet<(Micros, u64)>,
    /// The next message's number.
    pub next_message: u32,
    /// Messages held, by `Req-Id`.
    pub held: HashMap<String, u32>,
    /// Attempts begun for each.
    pub attempts: HashMap<u32, u16>,
    /// Which destinations of a long list are resident; an older process has all.
    #[serde(default)]
    pub working: Working,
}

/// The same, as the old process has it.
#[derive(Serialize)]
pub struct Knowing<'a> {
    /// See [`Knowledge`], for this and what follows.
    pub now: Micros,
    /// The module.
    pub policy: &'a Policy,
    /// The settings in force.
    pub settings: &'a Settings,
    /// The names in them.
    pub names: &'a Names,
    /// Endpoints by id.
    pub endpoints: &'a HashMap<EndpointId, Known>,
    /// Ids by name.
    pub ids: &'a HashMap<String, EndpointId>,
    /// Ids given out.
    pub given: u64,
    /// The list's version.
    pub index: u64,
    /// Reminders that the module asked for.
    pub timers: &'a BTreeSet<(Micros, u64)>,
    /// The next message's number.
    pub next_message: u32,
    /// Messages held, by `Req-Id`.
    pub held: &'a HashMap<String, u32>,
    /// Attempts begun for each.
    pub attempts: &'a HashMap<u32, u16>,
    /// Which destinations of a long list are resident.
    pub working: &'a Working,
    /// Names of the endpoints that the module takes for drained by operators; an older version asks for them.
    pub drained: BTreeSet<String>,
}

/// What the old process passes on.
#[derive(Serialize, Deserialize)]
enum Told {
    HandedIn { number: u64, taken: Taken, owner: Option<String>, class: usize },
    Withdrawn(String),
    CallOver(Vec<AttemptOver>),
    Wait(EndpointId, Micros),
    Probed(EndpointId, Outcome, Vec<f32>),
}

/// What the new process has the old one do.
#[derive(Debug, Serialize, Deserialize)]
pub enum Order {
    /// Answer the client that handed this in.
    Answer(u64, Answer),
    /// Call an attempt off.
    Cancel(MessageId, u16),
}

/// What is written for a value; what would not be read is not written either.
fn frame<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let body = rmp_serde::to_vec_named(value).map_err(io::Error::other)?;
    let length = u32::try_from(body.len()).ok().filter(|length| *length <= FRAME_LIMIT);
    let length = length.ok_or_else(|| io::Error::other(format!("a frame of {} bytes", body.len())))?;
    let mut frame = length.to_le_bytes().to_vec();
    frame.extend(body);
    Ok(frame)
}

async fn write_frame<T: Serialize>(to: &mut (impl AsyncWrite + Unpin), value: &T) -> io::Result<()> {
    to.write_all(&frame(value)?).await
}

async fn read_frame<T: DeserializeOwned>(from: &mut (impl AsyncRead + Unpin)) -> io::Result<T> {
    let length = from.read_u32_le().await?;
    if length > FRAME_LIMIT {
        return Err(io::Error::other(format!("a frame of {length} bytes")));
    }
    let mut body = vec![0; length as usize];
    from.read_exact(&mut body).await?;
    rmp_serde::from_slice(&body).map_err(io::Error::other)
}

/// The folder is this process's own for as long as this is kept.
pub struct Claim(#[expect(dead_code, reason = "the lock is held while the file is open")] File);

/// The old process, and what it knew.
pub struct Predecessor {
    /// What it knew.
    pub knowledge: Box<Knowledge>,
    /// The way to it.
    pub link: Link,
}

/// The way to the old process.
pub struct Link(UnixStream);

/// Waits until the folder belongs to this process: at once, unless another one has it.
///
/// # Errors
/// Fails when the folder can't be written.
pub async fn claim(folder: &Path) -> io::Result<(Claim, Option<Predecessor>)> {
    std::fs::create_dir_all(folder)?;
    let lock = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(LOCK))?;
    let mut predecessor = None;
    let mut said = false;
    loop {
        match lock.try_lock() {
            Ok(()) => return Ok((Claim(lock), predecessor)),
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(e)) => return Err(e),
        }
        predecessor = match timeout(TOLD_WITHIN, ask(folder)).await {
            Ok(Ok(told)) => Some(told),
            // It is on its way out, not up yet, or of a version that can't be read: the lock tells when it
            // has gone, and the journal what it left.
            Ok(Err(_)) | Err(_) => None,
        };
        if predecessor.is_none() && !std::mem::replace(&mut said, true) {
            tracing::warn!("the process before does not hand over; this one waits for its end");
        }
        if predecessor.is_none() {
            tokio::time::sleep(AGAIN).await;
        }
    }
}

async fn ask(folder: &Path) -> io::Result<Predecessor> {
    let mut stream = UnixStream::connect(folder.join(SOCKET)).await?;
    stream.write_all(ASK).await?;
    let knowledge = Box::new(read_frame(&mut stream).await?);
    Ok(Predecessor { knowledge, link: Link(stream) })
}

impl Link {
    /// Has what still happens at the old process told to the driver, until it is gone. What it had out then
    /// may have run.
    pub fn follow(
        self,
        inbound: UnboundedSender<Inbound>,
        out: Vec<AttemptOver>,
    ) -> (UnboundedSender<Order>, JoinHandle<()>) {
        let (from, to) = self.0.into_split();
        let (orders, ordered) = unbounded_channel();
        tokio::task::spawn_local(pass_on(to, ordered));
        (orders.clone(), tokio::task::spawn_local(follow(from, orders, inbound, out)))
    }
}

async fn follow(
    mut from: OwnedReadHalf,
    orders: UnboundedSender<Order>,
    inbound: UnboundedSender<Inbound>,
    mut out: Vec<AttemptOver>,
) {
    let mut waiting: HashMap<String, JoinHandle<()>> = HashMap::new();
    while let Ok(told) = read_frame(&mut from).await {
        let said = match told {
            Told::HandedIn { number, taken, owner, class } => {
                let taken = Taken { owner, ..taken };
                let (answer, answered) = oneshot::channel();
                let (id, orders) = (taken.id.clone(), orders.clone());
                waiting.retain(|_, task| !task.is_finished());
                waiting.insert(
                    id,
                    tokio::task::spawn_local(async move {
                        if let Ok(answer) = answered.await {
                            let _ = orders.send(Order::Answer(number, answer));
                        }
                    }),
                );
                Inbound::HandedIn(HandedIn { taken, class, answer })
            }
            Told::Withdrawn(id) => {
                // Nobody waits any more, and the driver must find it so.
                if let Some(task) = waiting.remove(&id) {
                    task.abort();
                    let _ = task.await;
                }
                Inbound::Withdrawn(id)
            }
            Told::CallOver(ends) => {
                let ended =
                    |o: &AttemptOver| ends.iter().any(|e| (e.message, e.attempt) == (o.message, o.attempt));
                out.retain(|o| !ended(o));
                Inbound::CallOver(ends)
            }
            Told::Wait(endpoint, wait) => Inbound::Event(Event::Wait { endpoint, wait }),
            Told::Probed(endpoint, outcome, report) => {
                Inbound::Event(Event::Probed { endpoint, outcome, report })
            }
        };
        let _ = inbound.send(said);
    }
    let _ = inbound.send(Inbound::CallOver(out));
}

async fn pass_on<T: Serialize>(mut to: OwnedWriteHalf, mut values: UnboundedReceiver<T>) {
    while let Some(value) = values.recv().await {
        if !matches!(timeout(PASSED_WITHIN, write_frame(&mut to, &value)).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Waits for the next process to ask for the folder.
pub async fn successor(folder: &Path) -> io::Result<UnixStream> {
    let path = folder.join(SOCKET);
    // One that an earlier process left is nobody's.
    let _ = std::fs::remove_file(&path);
    let listener = UnixListener::bind(path)?;
    loop {
        let (mut stream, _) = listener.accept().await?;
        let mut asked = [0; ASK.len()];
        let heard = timeout(PASSED_WITHIN, stream.read_exact(&mut asked)).await;
        if matches!(heard, Ok(Ok(_))) && asked == *ASK {
            return Ok(stream);
        }
    }
}

/// A new process that has been told all but the last byte of what is known here: up to that byte it can do nothing,
/// and the old process can go on as if it had never asked.
pub struct Offered {
    stream: UnixStream,
    last: u8,
}

/// Tells the new process what is known, up to the last byte.
///
/// # Errors
/// Fails if it is gone, does not read, or could not read that much; then nothing has changed.
pub async fn offer(mut stream: UnixStream, knowledge: &impl Serialize) -> io::Result<Offered> {
    let mut frame = frame(knowledge)?;
    let last = frame.pop().unwrap_or_default();
    timeout(TOLD_WITHIN, stream.write_all(&frame)).await??;
    // What it closed with everything unread in its buffer was written all the same.
    match stream.try_read(&mut [0]) {
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(Offered { stream, last }),
        Err(e) => Err(e),
        Ok(_) => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

/// What the old process keeps until it is asked to end.
pub struct Relay {
    /// The process's clock.
    pub clock: Clock,
    /// Clients' connections.
    pub intake: Rc<Intake>,
    /// Calls that are out.
    pub calls: Calls,
    /// When the process is killed, if it was asked to end.
    pub stop_at: Option<Micros>,
    /// For the tasks.
    pub inbound: UnboundedSender<Inbound>,
}

impl Relay {
    /// Gives the new process the folder and passes on what still comes.
    pub async fn run(mut self, told: Offered, claim: Claim, mut events: UnboundedReceiver<Inbound>) {
        let Offered { mut stream, last } = told;
        // Whoever reads the last byte finds the lock free.
        drop(claim);
        if !matches!(timeout(TOLD_WITHIN, stream.write_all(&[last])).await, Ok(Ok(()))) {
            tracing::warn!("the new process did not take over; the journal is left to it");
            return;
        }
        let (mut from, to) = stream.into_split();
        let (tell, told) = unbounded_channel();
        tokio::task::spawn_local(pass_on(to, told));
        let inbound = self.inbound.clone();
        tokio::task::spawn_local(async move {
            while let Ok(order) = read_frame(&mut from).await {
                let _ = inbound.send(Inbound::Ordered(Some(order)));
            }
            let _ = inbound.send(Inbound::Ordered(None));
        });
        let mut waiting: BTreeMap<u64, oneshot::Sender<Answer>> = BTreeMap::new();
        let mut handed_in = 0;
        loop {
            let inbound = match self.stop_at {
                // It ends a moment after the last of its work, or when its time is up.
                Some(at) => {
                    let idle = self.intake.open() == 0 && self.calls.out() == 0 && waiting.is_empty();
                    if idle && events.is_empty() || self.clock.now() >= at {
                        // What was passed on last is on its way still.
                        tokio::time::sleep(AGAIN).await;
                        return;
                    }
                    match timeout(AGAIN, events.recv()).await {
                        Ok(inbound) => inbound,
                        Err(_) => continue,
                    }
                }
                None => events.recv().await,
            };
            let Some(inbound) = inbound else { return };
            let said = match inbound {
                Inbound::HandedIn(HandedIn { taken, class, answer }) => {
                    handed_in += 1;
                    waiting.insert(handed_in, answer);
                    let owner = taken.owner.clone();
                    Told::HandedIn { number: handed_in, taken, owner, class }
                }
                Inbound::Withdrawn(id) => {
                    waiting.retain(|_, answer| !answer.is_closed());
                    Told::Withdrawn(id)
                }
                Inbound::CallOver(ends) => Told::CallOver(ends),
                Inbound::Event(Event::Wait { endpoint, wait }) => Told::Wait(endpoint, wait),
                Inbound::Event(Event::Probed { endpoint, outcome, report }) => {
                    Told::Probed(endpoint, outcome, report)
                }
                Inbound::Ordered(Some(Order::Answer(number, answer))) => {
                    // Who does not wait any more has said so.
                    waiting.remove(&number).map(|waiting| waiting.send(answer));
                    continue;
                }
                Inbound::Ordered(Some(Order::Cancel(message, attempt))) => {
                    self.calls.cancel(message, attempt);
                    continue;
                }
                // Nobody is left to tell: the journal has all that is owed.
                Inbound::Ordered(None) => return,
                Inbound::Terminate => {
                    self.stop_at.get_or_insert(self.clock.now() + STOP_WITHIN);
                    continue;
                }
                Inbound::Service(_, done) => {
                    let _ = done.send(Standing::HandedOver);
                    continue;
                }
                Inbound::Control(_, reply) | Inbound::StatusQuery(_, _, reply) => {
                    let _ = reply.send(Reply::no(&NoCall::HandedOver));
                    continue;
                }
                // The new process's matters: it has a watch, notices and a configuration of its own.
                Inbound::Event(_)
                | Inbound::Datagram(..)
                | Inbound::Listed(_)
                | Inbound::NoticesKept(_)
                | Inbound::Reloaded(_)
                | Inbound::Successor(_) => continue,
            };
            let _ = tell.send(said);
        }
    }
}

#[cfg(test)]
mod tests;
