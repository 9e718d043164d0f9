//! The counters and gauges that operators read: counts since the process began, incremented where the events
//! happen, and gauges of the current state.

use std::cell::RefCell;
use std::collections::BTreeMap;

use serde::Serialize;

use super::journal::GivenUp;
use super::memory;
use super::names::Names;

/// How a message ended at this sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageEnd {
    /// Delivered.
    Answered,
    /// Refused, or returned to the platform.
    Deferred,
    /// Failed.
    Errored,
}

impl From<GivenUp> for MessageEnd {
    fn from(how: GivenUp) -> Self {
        match how {
            GivenUp::Deferred(_) => Self::Deferred,
            GivenUp::Undeliverable => Self::Errored,
        }
    }
}

/// Gauges of the state after a turn.
#[derive(Debug, Default, Clone, Copy, Serialize)]
pub struct Gauges {
    /// Accepted messages that have not ended.
    pub current: usize,
    /// Endpoints in the list.
    pub cluster_size: usize,
    /// Endpoints of resident destinations that are avoided.
    pub cluster_unhealthy: usize,
    /// Destinations that the decision module knows.
    pub resident: usize,
    /// States of evicted destinations that were dropped because there were too many.
    pub forgotten: u64,
}

/// Counts of the endpoint lists received from discovery.
#[derive(Debug, Default, Clone, Copy, Serialize)]
struct Lists {
    /// Lists received and rejected.
    refused: u64,
    /// Lists rejected since the last accepted one.
    refused_in_a_row: u32,
    /// Error code of the last rejected list.
    last_error: Option<&'static str>,
    /// Number of entries of the last complete list that was accepted.
    endpoints: usize,
    /// Version of the last accepted list.
    index: u64,
}

impl Lists {
    /// Whether no list has been rejected, so that the section is left out.
    fn are_all_taken(&self) -> bool {
        self.refused == 0
    }
}

/// Something that happened with a client's request, apart from the message's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientEvent {
    /// The request was no valid message.
    Invalid,
    /// Its body did not arrive in time.
    Late,
    /// It was refused for want of memory.
    NoMemory,
    /// Its client left before it was accepted.
    Departed,
    /// Its id is that of a message in hand or of one that ended recently.
    Repeated,
}

/// Counts of client connections and requests.
#[derive(Debug, Default, Clone, Copy, Serialize)]
struct Clients {
    /// Connections that are open now.
    connected: usize,
    /// Requests that were no valid messages.
    invalid: u64,
    /// Requests whose body did not arrive in time.
    late: u64,
    /// Requests refused for want of memory.
    no_memory: u64,
    /// Requests whose client left before they were accepted.
    departed: u64,
    /// Requests with the id of a message in hand or of one that ended recently.
    repeated: u64,
}

/// Memory of the process, bytes.
#[derive(Debug, Default, Clone, Copy, Serialize)]
struct Memory {
    /// The configured limit.
    limit: u64,
    /// What was resident when the counters were read; 0 if the system does not tell.
    resident: u64,
}

#[derive(Debug, Default, Serialize)]
struct Counts {
    answered: BTreeMap<String, u64>,
    deferred: BTreeMap<String, u64>,
    errored: BTreeMap<String, u64>,
    sends: u64,
    conf_loaded: u64,
    conf_invalid: u64,
    clients: Clients,
    memory: Memory,
    #[serde(skip_serializing_if = "Lists::are_all_taken")]
    list: Lists,
    #[serde(flatten)]
    now: Gauges,
}

impl Counts {
    fn by_end(&mut self, end: MessageEnd) -> &mut BTreeMap<String, u64> {
        match end {
            MessageEnd::Answered => &mut self.answered,
            MessageEnd::Deferred => &mut self.deferred,
            MessageEnd::Errored => &mut self.errored,
        }
    }
}

/// All counters and gauges of a process.
#[derive(Debug, Default)]
pub struct Counters(RefCell<Counts>);

impl Counters {
    /// Creates the counters of all classes, so that each class is present from the start.
    pub fn register_classes(&self, names: &Names) {
        let mut counts = self.0.borrow_mut();
        for end in [MessageEnd::Answered, MessageEnd::Deferred, MessageEnd::Errored] {
            for class in &names.classes {
                counts.by_end(end).entry(class.clone()).or_default();
            }
        }
    }

    /// Counts the end of a message of this class.
    pub fn count_ended(&self, class: &str, end: MessageEnd) {
        *self.0.borrow_mut().by_end(end).entry(class.to_owned()).or_default() += 1;
    }

    /// Counts messages that were completely written to an endpoint.
    pub fn count_sent(&self, messages: usize) {
        self.0.borrow_mut().sends += messages as u64;
    }

    /// Counts an event of a client's request.
    pub fn count_client(&self, event: ClientEvent) {
        let clients = &mut self.0.borrow_mut().clients;
        let count = match event {
            ClientEvent::Invalid => &mut clients.invalid,
            ClientEvent::Late => &mut clients.late,
            ClientEvent::NoMemory => &mut clients.no_memory,
            ClientEvent::Departed => &mut clients.departed,
            ClientEvent::Repeated => &mut clients.repeated,
        };
        *count += 1;
    }

    /// Sets the number of open client connections.
    pub fn set_client_connections(&self, connections: usize) {
        self.0.borrow_mut().clients.connected = connections;
    }

    /// Sets the configured memory limit, bytes.
    pub fn set_memory_limit(&self, limit: u64) {
        self.0.borrow_mut().memory.limit = limit;
    }

    /// Counts a configuration that was applied or rejected at SIGHUP.
    pub fn count_reload(&self, taken: bool) {
        let mut counts = self.0.borrow_mut();
        *if taken { &mut counts.conf_loaded } else { &mut counts.conf_invalid } += 1;
    }

    /// Counts an accepted list of this version; `endpoints` is its number of entries if it is a complete one.
    pub fn count_list_accepted(&self, index: u64, endpoints: Option<usize>) {
        let list = &mut self.0.borrow_mut().list;
        list.index = index;
        list.refused_in_a_row = 0;
        list.endpoints = endpoints.unwrap_or(list.endpoints);
    }

    /// Counts a rejected list with this error code. Returns the number of rejections in a row.
    pub fn count_list_refused(&self, code: &'static str) -> u32 {
        let list = &mut self.0.borrow_mut().list;
        list.refused += 1;
        list.refused_in_a_row += 1;
        list.last_error = Some(code);
        list.refused_in_a_row
    }

    /// Sets the gauges.
    pub fn set_gauges(&self, now: Gauges) {
        self.0.borrow_mut().now = now;
    }

    /// Resets the number of messages held, which now belong to another process.
    pub fn handed_over(&self) {
        self.0.borrow_mut().now.current = 0;
    }

    /// The current values as JSON.
    pub fn json(&self) -> Vec<u8> {
        self.0.borrow_mut().memory.resident = memory::resident().unwrap_or_default();
        serde_json::to_vec(&*self.0.borrow()).unwrap_or_default()
    }
}
