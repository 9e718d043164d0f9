//! The environment of the senders as the protocol defines it (discovery, endpoints, clients), and the sender
//! processes.

pub mod clients;
pub mod discovery;
pub mod endpoints;
pub mod http;
pub mod senders;
pub mod sessions;
pub mod views;

use std::collections::HashMap;
use std::sync::Mutex;

use crate::Micros;

/// A message as handed in, with its progress.
#[derive(Debug, Clone)]
pub struct Message {
    /// The id of its first try.
    pub root: String,
    /// The sender that it was handed in at.
    pub sender: usize,
    /// Its class.
    pub class: usize,
    /// Its destination.
    pub dest: u16,
    /// Its key.
    pub key: Option<String>,
    /// A digest of its body.
    pub body: u32,
    /// Latest time of delivery.
    pub deadline: Micros,
    /// The client was told that it is accepted.
    pub taken: bool,
    /// The client gave up: nobody waits for its end.
    pub void: bool,
    /// An endpoint received a call with it.
    pub called: bool,
    /// Number of calls with it.
    pub calls: u32,
    /// It was delivered, or a notice has arrived.
    pub ended: bool,
    /// It was delivered.
    pub delivered: bool,
}

/// How a message ended, as its client sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Delivered.
    Delivered,
    /// Failed: it is not retried.
    Failed,
    /// Refused: it may be handed in again, after the given time if there is one.
    Deferred(Option<Micros>),
    /// Lost with its sender's state folder: it is handed in at another sender.
    Orphaned,
}

/// All messages of a run, by id. Its size is bounded by what the clients hand in.
#[derive(Default)]
pub struct Registry {
    messages: Mutex<HashMap<String, Message>>,
    ends: Mutex<HashMap<String, tokio::sync::oneshot::Sender<End>>>,
}

impl Registry {
    /// Registers a message; the receiver yields its end.
    pub fn offer(&self, id: &str, message: Message) -> tokio::sync::oneshot::Receiver<End> {
        let (told, end) = tokio::sync::oneshot::channel();
        if let (Ok(mut messages), Ok(mut ends)) = (self.messages.lock(), self.ends.lock()) {
            messages.insert(id.to_owned(), message);
            ends.insert(id.to_owned(), told);
        }
        end
    }

    /// Reads or changes a message.
    pub fn with<T>(&self, id: &str, look: impl FnOnce(&mut Message) -> T) -> Option<T> {
        self.messages.lock().ok()?.get_mut(id).map(look)
    }

    /// Ends a message; only the first end is sent to its client.
    pub fn end(&self, id: &str, end: End) {
        self.with(id, |message| {
            message.ended = true;
            message.delivered |= end == End::Delivered;
        });
        let waiting = self.ends.lock().ok().and_then(|mut ends| ends.remove(id));
        if let Some(waiting) = waiting {
            let _ = waiting.send(end);
        }
    }

    /// Accepted messages of a sender that have not ended.
    pub fn owed(&self, sender: usize) -> Vec<String> {
        let Ok(messages) = self.messages.lock() else { return vec![] };
        let owed = messages.iter().filter(|(_, m)| m.sender == sender && m.taken && !m.void && !m.ended);
        owed.map(|(id, _)| id.clone()).collect()
    }
}
