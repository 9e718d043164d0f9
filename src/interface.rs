//! Interface of the decision module: settings, events and actions as plain data.
//!
//! Times are microseconds on the clock of the events. The module uses no other clock.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Identifies a message at this sender. An id is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u32);

/// Identifies an endpoint by its address and port. The module does not interpret the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub [u8; 6]);

/// Identifies a destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DestinationId(pub u32);

/// Identifies a route, which has a breaker of its own: a destination, or one endpoint of it where each
/// endpoint is a route.
pub type RouteId = (DestinationId, Option<EndpointId>);

/// The endpoints among which a repeat of a key is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupScope {
    /// All endpoints of the destination.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The one endpoint. A group that is not known is read as this, the narrowest one.
    Endpoint,
}

/// What repeating a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Repeats do no harm.
    Repeatable,
    /// The destination drops repeats for a while after the first attempt that may have run.
    Keyed {
        /// Which endpoints drop repeats.
        group: DedupScope,
        /// For how long they do.
        window: Micros,
    },
    /// The message must never take effect twice.
    Once,
}

impl Effect {
    /// The effect that allows only what both allow: it applies to a message that was accepted under one and
    /// is sent under the other.
    pub fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Once, _) | (_, Self::Once) => Self::Once,
            (Self::Repeatable, effect) | (effect, Self::Repeatable) => effect,
            (Self::Keyed { group: a, window }, Self::Keyed { group: b, window: other }) => {
                let group = match (a, b) {
                    (DedupScope::Endpoint, _) | (_, DedupScope::Endpoint) => DedupScope::Endpoint,
                    (DedupScope::Zone, _) | (_, DedupScope::Zone) => DedupScope::Zone,
                    (DedupScope::All, DedupScope::All) => DedupScope::All,
                };
                Self::Keyed { group, window: window.min(other) }
            }
        }
    }
}

/// How the worth of a message falls after its aim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decay {
    /// Linearly, down to the late worth at the deadline.
    #[default]
    #[serde(rename = "Line")]
    Linear,
    /// By half with each further aim, but not below the late worth.
    #[serde(rename = "Halves")]
    Exponential,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// What repeating a message does.
    pub effect: Effect,
    /// A message that is delivered within this time has its full worth.
    pub aim: Micros,
    /// Maximum time for delivery.
    pub deadline: Micros,
    /// Worth of a message that is delivered in time.
    pub worth: f64,
    /// Share of the worth that is left at the deadline.
    pub late_worth: f64,
    /// Messages with the same key are sent one at a time, in order.
    pub in_order: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name that identifies the tenant in changed settings; empty if it was given none.
    #[serde(default)]
    pub name: String,
    /// The tenant's share, in messages per second over all senders.
    pub quota: f64,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kind {
    /// Each endpoint is a route, with its own limit, pace and outages.
    #[serde(rename = "routes_apart")]
    pub route_per_endpoint: bool,
    /// Maximum number of messages in one call.
    #[serde(rename = "bundle")]
    pub max_batch: usize,
}

impl Default for Kind {
    /// One route for all endpoints, and one message per call.
    fn default() -> Self {
        Self { route_per_endpoint: false, max_batch: 1 }
    }
}

/// Meaning of the weight in an entry of the list of endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Weights {
    /// None.
    #[default]
    None,
    /// Limit in calls per second from all senders together.
    Nominal,
    /// The same, but up to half too high or too low.
    Rough,
}

/// Parameters of the rules that a sender has to keep.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// A final answer is still valid this long after the deadline.
    pub answer_slack: Micros,
    /// Where the list is only sent on request: maximum time without a request.
    pub ask_every: Option<Micros>,
    /// Minimum share of its capacity that a destination has when it returns from an outage.
    pub cold_share: f64,
    /// Maximum time after which the destination has its full capacity again.
    pub warm_within: Micros,
    /// A destination fails when it is sent this multiple of its present capacity for `overload_for`.
    pub fall_multiple: f64,
    /// The overload window: time for which a destination withstands `fall_multiple`.
    pub overload_for: Micros,
    /// Time within which sends to a draining or removed endpoint must stop.
    pub drain_grace: Micros,
    /// Pause of an ordered key after an attempt that may still be running.
    pub order_pause: Micros,
}

/// Settings of one instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Classes of message.
    pub classes: Vec<Class>,
    /// Positions of classes of earlier settings, which apply only to messages already held.
    #[serde(default)]
    pub retired: BTreeSet<usize>,
    /// Tenants, if any.
    pub tenants: Vec<Tenant>,
    /// Kinds of destination.
    pub kinds: Vec<Kind>,
    /// Toll of each zone for messages that are accepted there by an endpoint that is a route of its own.
    pub tolls: Vec<f64>,
    /// How the worth of messages falls after the aim.
    pub decay: Decay,
    /// Maximum number of outstanding calls.
    pub slots: usize,
    /// Maximum number of held messages.
    pub max_open: usize,
    /// Maximum number of attempts for one message.
    pub try_limit: u32,
    /// A message may have two outstanding attempts.
    pub second_copies: bool,
    /// Outstanding attempts may be cancelled.
    pub cancelling: bool,
    /// Endpoints may be probed.
    pub probing: bool,
    /// Notes may be sent to the other senders.
    #[serde(default)]
    pub peers: bool,
    /// Price of a probe, in the unit of a message's worth.
    pub probe_price: f64,
    /// Price of a call that is refused above a limit, in the same unit.
    pub refused_price: f64,
    /// Time-out for setting up a connection.
    pub connect_timeout: Micros,
    /// Time after which an idle connection closes by itself; `Micros::MAX` if it does not.
    pub idle_close: Micros,
    /// Maximum Retry-After that clients observe.
    pub max_retry_after: Micros,
    /// The list of endpoints is only sent on request.
    #[serde(rename = "must_ask")]
    pub list_on_request: bool,
    /// Meaning of an endpoint's weight.
    pub weights: Weights,
    /// Share of its worth that a message beyond its tenant's share keeps.
    pub over_share_worth: f64,
    /// Positions of `x0` (share of the limit that is left) and `x1` (limit in calls per second) in a load
    /// report.
    pub report: (Option<usize>, Option<usize>),
    /// Number of senders in this tier.
    pub senders: usize,
    /// Minimum time between two batches of events.
    pub period: Micros,
    /// Parameters of the rules.
    pub rules: Rules,
}

impl Settings {
    /// The shortest aim of all classes that new messages may have, in microseconds; 0 if there is none.
    pub fn shortest_aim(&self) -> Micros {
        let classes = self.classes.iter().enumerate().filter(|(at, _)| !self.retired.contains(at));
        classes.map(|(_, class)| class.aim).min().unwrap_or(0)
    }

    /// Position in these settings of each tenant of earlier ones, by its name; `usize::MAX` if it is not in
    /// them or has no name.
    pub fn tenant_positions(&self, before: &Self) -> Vec<usize> {
        let same = |old: &Tenant, new: &Tenant| !old.name.is_empty() && new.name == old.name;
        let place = |old: &Tenant| self.tenants.iter().position(|new| same(old, new));
        before.tenants.iter().map(|old| place(old).unwrap_or(usize::MAX)).collect()
    }

    /// Where the list is only sent on request: the time in which every sender requests it once. All senders
    /// share one discovery service, which takes few calls at a time and must serve each sender once within
    /// `ask_every`, including the time of its answer.
    pub fn list_request_round(&self) -> Micros {
        let every = self.rules.ask_every.unwrap_or(0);
        (every / 140 * self.senders as Micros).clamp(every / 10, every / 10 * 7)
    }

    /// How long before the end of a keyed class's idempotency window the last repeat must be written, so that
    /// it is read while the key is remembered. This is a quarter of the time that a connection may take, or
    /// of a quarter of the window if that is shorter. The set-up of the connection is not included, because a
    /// repeat that it delays beyond the window is not written.
    pub fn repeat_margin(&self, window: Micros) -> Micros {
        self.connect_timeout.min(window / 4) / 4
    }
}

/// State of an endpoint in the list. It says nothing about the endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Messages may be sent.
    Ready,
    /// No new messages may be sent.
    Draining,
    /// Removed from the list.
    Gone,
}

/// An entry of the list of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination it belongs to.
    pub destination: DestinationId,
    /// Its zone.
    pub zone: u16,
    /// Its kind, a position in [`Settings::kinds`].
    pub kind: usize,
    /// Its weight; see [`Weights`].
    pub weight: f64,
    /// Its state.
    pub listing: Listing,
}

/// A message that was submitted to this sender, which must give it exactly one final answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Its id.
    pub id: MessageId,
    /// Its class, a position in [`Settings::classes`].
    pub class: usize,
    /// Its tenant, a position in [`Settings::tenants`].
    pub tenant: usize,
    /// The key of its order, if any.
    pub key: Option<u64>,
    /// Time until its deadline.
    pub time_left: Micros,
    /// An estimate of the call's duration.
    pub hint: Option<Micros>,
    /// Its destination.
    pub destination: DestinationId,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Delivered,
    /// The destination answered with an error.
    Error,
    /// Refused as full without being processed, with the requested wait, if any.
    Full(Option<Micros>),
    /// No answer before the time-out.
    TimedOut,
    /// The connection could not be set up.
    ConnectFailed,
    /// The connection broke during the call.
    Reset,
    /// Cancelled by this sender.
    Cancelled,
    /// The attempt was not sent at all.
    Moot {
        /// No slot was free.
        no_slot: bool,
    },
}

impl Outcome {
    /// Whether the outcome proves that the attempt never took effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full(_) | Self::ConnectFailed | Self::Moot { .. })
    }
}

/// An event since the last batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message was submitted.
    Accepted(Message),
    /// The journal cannot be written (`true`), or can be written again: no attempt may begin without its record.
    StorageFailing(bool),
    /// A message that an earlier process of this sender accepted is taken up again.
    Resumed {
        /// The message, with its remaining time.
        message: Message,
        /// Number of attempts so far.
        attempts: u32,
        /// The attempts that may have run: how long ago each began, and its endpoint.
        may_have_run: Vec<(Micros, EndpointId)>,
        /// Set if another sender may have come to own the message: how long ago its first attempt may have
        /// begun. [`Event::OwnershipConfirmed`] rules that out.
        unconfirmed: Option<Micros>,
    },
    /// No other sender has come to own the message, or can: no attempt was made but those that are known.
    OwnershipConfirmed(MessageId),
    /// This process ends at that time; the next one takes up the remaining messages.
    Stopping(Micros),
    /// New settings that apply from now on. The position of a class never changes, so that held messages keep
    /// the class that they came with; a class that is new or has changed gets a new position.
    Settings(Box<Settings>),
    /// Operators took this sender out of service or put it back into service.
    Service {
        /// Whether the sender is in service and new messages are wanted.
        wanted: bool,
        /// If it is not: when all held messages must have ended, if a time was given.
        until: Option<Micros>,
    },
    /// An endpoint requested a wait (Retry-After) in some answer.
    RetryAfter {
        /// The endpoint.
        endpoint: EndpointId,
        /// Time for which nothing may be sent to its destination.
        wait: Micros,
    },
    /// An attempt ended.
    Ended {
        /// The message.
        message: MessageId,
        /// The attempt's number, from 0.
        attempt: u16,
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Whether the message has its final answer with this.
        terminal: bool,
        /// Time since the attempt was sent.
        took: Micros,
        /// The load report; empty if there was none.
        report: Vec<f32>,
    },
    /// A streamed answer has begun: from now on the attempt belongs to the client.
    Streaming {
        /// The message.
        message: MessageId,
    },
    /// The client has withdrawn the message.
    Withdrawn(MessageId),
    /// The whole list of endpoints; an endpoint that is not in it is gone.
    List(Vec<Entry>),
    /// Changed entries of the list.
    Changes(Vec<Entry>),
    /// A request for the list failed, or the watch broke.
    ListFailed,
    /// A probe ended.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The load report; empty if there was none.
        report: Vec<f32>,
    },
    /// A destination has returned from an outage, as this or another sender saw. A hint gives this sender its
    /// part of the calls that the destination can take from all senders while it is cold.
    ReturnedCold {
        /// The destination.
        destination: DestinationId,
        /// Time since it returned.
        ago: Micros,
        /// From 0 to 1; the parts of all senders add up to about 1.
        part: f64,
    },
    /// A note from another sender.
    Note {
        /// The rank of that sender.
        from: u16,
        /// The encoded note.
        content: Vec<u8>,
    },
    /// A timer set by [`Action::SetTimer`] went off, with its token.
    Timer(u64),
}

/// An action that the sender has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the message to an endpoint.
    Attempt {
        /// The message.
        message: MessageId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Time-out of the attempt.
        timeout: Micros,
    },
    /// Final answer: the message is refused; submitting it again is harmless.
    Refuse {
        /// The message.
        message: MessageId,
        /// Retry-After for the client; 0 for none.
        retry_after: Micros,
    },
    /// Final answer: the message has failed.
    Fail(MessageId),
    /// Stop waiting for the outcome of an attempt.
    Cancel {
        /// The message.
        message: MessageId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Probe an endpoint.
    Probe(EndpointId),
    /// Close idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Subscribe to changes of the list.
    Watch,
    /// Request the whole list once.
    FetchList,
    /// Send a note to one other sender, or to all.
    SendNote {
        /// Rank of the receiver; `None` for all.
        to: Option<u16>,
        /// The encoded note, at most 256 bytes.
        content: Vec<u8>,
    },
    /// Set a timer that causes an [`Event::Timer`].
    SetTimer {
        /// When it goes off.
        at: Micros,
        /// Identifies the timer; chosen by the module.
        token: u64,
    },
    /// Write a line to the log.
    Log(String),
}

/// Summary of the state of one route, for estimates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteSummary {
    /// Advertised limit in calls per second from all senders together; 0 if there is none.
    pub limit: f64,
    /// Maximum calls per second of this sender; infinite until the first refusal.
    pub pace: f64,
    /// Calls per second that were served while the route was healthy.
    pub served_rate: f64,
    /// Nothing is sent before this time.
    pub blocked_until: Micros,
    /// The share of its capacity to count on, if it may be cold.
    pub cold_share: Option<f64>,
    /// Mean answer time and its mean deviation, in microseconds.
    pub answer_time: Option<(f64, f64)>,
}

impl RouteSummary {
    /// Creates a summary from the limit, the pace and the served rate, in calls per second, and the other
    /// fields.
    pub fn new(
        [limit, pace, served_rate]: [f64; 3],
        blocked_until: Micros,
        cold_share: Option<f64>,
        answer_time: Option<(f64, f64)>,
    ) -> Self {
        Self { limit, pace, served_rate, blocked_until, cold_share, answer_time }
    }
}

/// Summary of the state of a destination and of a tenant's traffic, for estimates.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DestinationSummary {
    /// Number of listed endpoints; filled in by the owner of the list, as is the next field.
    pub endpoints: usize,
    /// Maximum number of messages in one call.
    pub max_batch: usize,
    /// Number of messages held for the destination.
    pub backlog: usize,
    /// Recent rate of messages per second that the tenant submitted to this sender.
    pub tenant_rate: f64,
    /// Routes of the destination: one, or one for each endpoint where each endpoint is a route.
    pub routes: Vec<RouteSummary>,
}
