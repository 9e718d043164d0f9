//! The shipping decision module in virtual time: messages come to it, its attempts end, and its reminders come due.

use std::collections::{BTreeMap, HashMap};

use myrtleyard::interface::*;
use myrtleyard::policy::Policy;

use super::Unmeasured;
use super::agent::{KINDS, endpoints, endpoints_of};
use super::process::usual_settings;

/// When the module's clock begins.
pub const START: Micros = 1_800_000_000_000_000;
/// An endpoint that is up answers after this time.
const ANSWERS_AFTER: Micros = 20_000;
/// The weight of each, calls a second.
const WEIGHT: f64 = 1000.0;

/// Something that happens later.
#[derive(Debug, Clone, Copy)]
enum Later {
    Ended(MessageId, u16),
    Probed(EndpointId),
    Reminder(u64),
}

/// Counts of what the module did.
#[derive(Debug, Clone, Copy, Default)]
pub struct Done {
    /// Attempts.
    pub attempts: u64,
    /// Those at destinations that are down.
    pub wasted: u64,
    /// Those at an endpoint with a connection that was kept: it answered no longer ago than `idle_close`, and the module
    /// has not had the connection closed.
    pub reused: u64,
    /// Messages to destinations that are down which ended, and their attempts.
    pub down_ended: (u64, u64),
    /// Turns of the module.
    pub turns: u64,
    /// Processor time of the module alone, microseconds.
    pub module_us: f64,
}

struct Attempted {
    endpoint: EndpointId,
    destination: DestinationId,
    begun: Micros,
    due: (Micros, u64),
}

/// A module and what it meets.
pub struct World {
    /// The module.
    pub policy: Policy,
    /// Its clock.
    pub now: Micros,
    /// What it did.
    pub done: Done,
    settings: Settings,
    down: Box<dyn Fn(DestinationId) -> bool>,
    later: BTreeMap<(Micros, u64), Later>,
    out: HashMap<(MessageId, u16), Attempted>,
    tries: HashMap<MessageId, (u16, DestinationId)>,
    /// When each endpoint last answered, on a connection that is kept from then on.
    answered: HashMap<EndpointId, Micros>,
    number: u64,
    next: u32,
}

/// The endpoint by destination and number.
fn endpoint(destination: u64, number: u64) -> EndpointId {
    let bytes = (destination * 2 + number + 1).to_be_bytes();
    EndpointId([bytes[2], bytes[3], bytes[4], bytes[5], bytes[6], bytes[7]])
}

/// The whole list of so many destinations.
fn list(destinations: u64) -> Vec<Entry> {
    let mut entries = Vec::with_capacity(endpoints(destinations) as usize);
    for destination in 0..destinations {
        for number in 0..endpoints_of(destination) {
            entries.push(Entry {
                endpoint: endpoint(destination, number),
                destination: DestinationId(destination as u32),
                zone: ((destination + number) % 2) as u16,
                kind: KINDS.len() - 1,
                weight: WEIGHT,
                listing: Listing::Ready,
            });
        }
    }
    entries
}

impl World {
    /// A module of the bench's usual settings, with so many destinations and room for so many messages.
    ///
    /// # Errors
    /// Fails where the bench's settings are not the module's.
    pub fn new(
        destinations: u64,
        room: u64,
        seed: u64,
        down: impl Fn(DestinationId) -> bool + 'static,
    ) -> Result<Self, Unmeasured> {
        let mut settings = usual_settings(0, 1);
        settings["limits"]["max_open"] = room.into();
        let settings = myrtleyard::wire::settings(settings.to_string().as_bytes())?;
        let mut world = Self {
            policy: Policy::new(settings.clone(), seed, START),
            now: START,
            done: Done::default(),
            settings,
            down: Box::new(down),
            later: BTreeMap::new(),
            out: HashMap::new(),
            tries: HashMap::new(),
            answered: HashMap::new(),
            number: 0,
            next: 0,
        };
        world.turn(&[Event::List(list(destinations))]);
        world.done = Done::default();
        Ok(world)
    }

    /// A message to a destination, of the first class, with all of that class's time.
    pub fn message(&mut self, destination: u64) -> Message {
        self.next += 1;
        Message {
            id: MessageId(self.next),
            class: 0,
            tenant: 0,
            key: None,
            time_left: self.settings.classes[0].deadline,
            hint: None,
            destination: DestinationId(destination as u32),
        }
    }

    /// Lets time pass until then, and then hands these in.
    pub fn pass(&mut self, until: Micros, then: Vec<Event>) {
        while let Some((at, _)) = self.later.keys().next().copied()
            && at < until
        {
            self.now = self.now.max(at) + self.settings.period;
            let events = self.due();
            self.turn(&events);
        }
        self.now = self.now.max(until);
        let mut events = self.due();
        events.extend(then);
        self.turn(&events);
    }

    /// What has come due.
    fn due(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(entry) = self.later.first_entry()
            && entry.key().0 <= self.now
        {
            events.extend(match entry.remove() {
                Later::Ended(message, attempt) => self.ended(message, attempt, None),
                Later::Reminder(token) => Some(Event::Timer(token)),
                Later::Probed(endpoint) => {
                    Some(Event::Probed { endpoint, outcome: Outcome::TimedOut, report: Vec::new() })
                }
            });
        }
        events
    }

    /// The end of an attempt, called off or by itself.
    fn ended(&mut self, message: MessageId, attempt: u16, cancelled: Option<Outcome>) -> Option<Event> {
        let out = self.out.remove(&(message, attempt))?;
        let down = (self.down)(out.destination);
        let outcome = if down { Outcome::ConnectFailed } else { Outcome::Delivered };
        let outcome = cancelled.unwrap_or(outcome);
        let terminal = outcome == Outcome::Delivered;
        if terminal {
            self.over(message);
            self.answered.insert(out.endpoint, self.now);
        }
        let (endpoint, took) = (out.endpoint, self.now - out.begun);
        Some(Event::Ended { message, attempt, endpoint, outcome, terminal, took, report: Vec::new() })
    }

    /// A message has its final answer.
    fn over(&mut self, message: MessageId) {
        let Some((tries, destination)) = self.tries.remove(&message) else { return };
        if (self.down)(destination) {
            let (messages, attempts) = &mut self.done.down_ended;
            *messages += 1;
            *attempts += u64::from(tries);
        }
    }

    fn schedule(&mut self, at: Micros, what: Later) -> (Micros, u64) {
        self.number += 1;
        self.later.insert((at, self.number), what);
        (at, self.number)
    }

    /// One turn of the module, and all that it asks for.
    pub fn turn(&mut self, events: &[Event]) {
        for event in events {
            if let Event::Accepted(message) = event {
                self.tries.insert(message.id, (0, message.destination));
            }
        }
        let (mut actions, begun) = (Vec::new(), processor_us());
        self.policy.handle(self.now, events, &mut actions);
        self.done.module_us += processor_us() - begun;
        self.done.turns += 1;
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Attempt { message, endpoint, .. } => self.attempt(message, endpoint),
            Action::Refuse { message, .. } | Action::Fail(message) => self.over(message),
            Action::Cancel { message, attempt } => {
                if let Some(out) = self.out.get(&(message, attempt)) {
                    self.later.remove(&out.due);
                    let event = self.ended(message, attempt, Some(Outcome::Cancelled));
                    self.turn(&event.into_iter().collect::<Vec<_>>());
                }
            }
            Action::Probe(endpoint) => drop(self.schedule(self.now + ANSWERS_AFTER, Later::Probed(endpoint))),
            Action::SetTimer { at, token } => drop(self.schedule(at, Later::Reminder(token))),
            Action::CloseIdle(endpoint) => drop(self.answered.remove(&endpoint)),
            Action::Watch | Action::FetchList | Action::SendNote { .. } | Action::Log(_) => {}
        }
    }

    fn attempt(&mut self, message: MessageId, endpoint: EndpointId) {
        let Some((tries, destination)) = self.tries.get_mut(&message) else { return };
        let (attempt, destination) = (*tries, *destination);
        *tries += 1;
        let down = (self.down)(destination);
        let kept = self.settings.idle_close;
        let before = self.answered.get(&endpoint);
        self.done.attempts += 1;
        self.done.wasted += u64::from(down);
        self.done.reused += u64::from(before.is_some_and(|at| self.now < at + kept));
        let takes = if down { self.settings.connect_timeout } else { ANSWERS_AFTER };
        let due = self.schedule(self.now + takes, Later::Ended(message, attempt));
        let attempted = Attempted { endpoint, destination, begun: self.now, due };
        self.out.insert((message, attempt), attempted);
    }
}

/// Processor time of this thread, microseconds.
fn processor_us() -> f64 {
    use nix::sys::resource::{UsageWho, getrusage};
    use nix::sys::time::TimeValLike;
    getrusage(UsageWho::RUSAGE_THREAD)
        .map_or(0.0, |usage| (usage.user_time() + usage.system_time()).num_microseconds() as f64)
}
