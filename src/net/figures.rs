//! What operators read: counts since the process began, kept where the events happen, and how things stand.

use std::cell::RefCell;
use std::collections::BTreeMap;

use serde::Serialize;

use super::journal::GivenUp;
use super::names::Names;

/// How a message ended here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Delivered.
    Answered,
    /// Refused or handed back.
    Deferred,
    /// Failed.
    Errored,
}

impl From<GivenUp> for End {
    fn from(how: GivenUp) -> Self {
        match how {
            GivenUp::Deferred(_) => Self::Deferred,
            GivenUp::Undeliverable => Self::Errored,
        }
    }
}

/// How things stand after a turn.
#[derive(Debug, Default, Clone, Copy, Serialize)]
pub struct Now {
    /// Messages taken that have not ended.
    pub current: usize,
    /// Endpoints in the list.
    pub cluster_size: usize,
    /// Those of them that are avoided, of resident destinations.
    pub cluster_unhealthy: usize,
    /// Destinations that the decision module knows.
    pub resident: usize,
    /// States of destinations that had left and were dropped, since there were too many.
    pub forgotten: u64,
}

/// What became of lists of endpoints that discovery told.
#[derive(Debug, Default, Clone, Copy, Serialize)]
struct Lists {
    /// Those that came and were not taken.
    refused: u64,
    /// Those of them since the last one that was taken.
    refused_in_a_row: u32,
    /// The code of the last one's error.
    last_error: Option<&'static str>,
    /// Entries of the last whole list that was taken.
    endpoints: usize,
    /// The version of the last list that was taken.
    index: u64,
}

impl Lists {
    /// Nothing has to be told of them.
    fn are_all_taken(&self) -> bool {
        self.refused == 0
    }
}

#[derive(Debug, Default, Serialize)]
struct Counts {
    answered: BTreeMap<String, u64>,
    deferred: BTreeMap<String, u64>,
    errored: BTreeMap<String, u64>,
    sends: u64,
    conf_loaded: u64,
    conf_invalid: u64,
    #[serde(skip_serializing_if = "Lists::are_all_taken")]
    list: Lists,
    #[serde(flatten)]
    now: Now,
}

impl Counts {
    fn of(&mut self, end: End) -> &mut BTreeMap<String, u64> {
        match end {
            End::Answered => &mut self.answered,
            End::Deferred => &mut self.deferred,
            End::Errored => &mut self.errored,
        }
    }
}

/// All figures of a process.
#[derive(Debug, Default)]
pub struct Figures(RefCell<Counts>);

impl Figures {
    /// Names the classes that messages may come for, so that each stands there from the start.
    pub fn name(&self, names: &Names) {
        let mut counts = self.0.borrow_mut();
        for end in [End::Answered, End::Deferred, End::Errored] {
            for class in &names.classes {
                counts.of(end).entry(class.clone()).or_default();
            }
        }
    }

    /// A message of this class ended.
    pub fn ended(&self, class: &str, end: End) {
        *self.0.borrow_mut().of(end).entry(class.to_owned()).or_default() += 1;
    }

    /// So many messages were written whole to an endpoint.
    pub fn sent(&self, messages: usize) {
        self.0.borrow_mut().sends += messages as u64;
    }

    /// A file was taken at SIGHUP, or turned down.
    pub fn reloaded(&self, taken: bool) {
        let mut counts = self.0.borrow_mut();
        *if taken { &mut counts.conf_loaded } else { &mut counts.conf_invalid } += 1;
    }

    /// A list of this version was taken; of so many entries, if it was a whole one.
    pub fn list_taken(&self, index: u64, endpoints: Option<usize>) {
        let list = &mut self.0.borrow_mut().list;
        list.index = index;
        list.refused_in_a_row = 0;
        list.endpoints = endpoints.unwrap_or(list.endpoints);
    }

    /// A list came that was not taken, for the reason of this code. How many these are in a row.
    pub fn list_refused(&self, code: &'static str) -> u32 {
        let list = &mut self.0.borrow_mut().list;
        list.refused += 1;
        list.refused_in_a_row += 1;
        list.last_error = Some(code);
        list.refused_in_a_row
    }

    /// How things stand from now on.
    pub fn stand(&self, now: Now) {
        self.0.borrow_mut().now = now;
    }

    /// What was held is another process's.
    pub fn handed_over(&self) {
        self.0.borrow_mut().now.current = 0;
    }

    /// All of them at this moment, as JSON.
    pub fn json(&self) -> Vec<u8> {
        serde_json::to_vec(&*self.0.borrow()).unwrap_or_default()
    }
}
