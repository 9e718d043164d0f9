//! What a sender meets, from the protocol: discovery, endpoints and clients, and the senders as processes.

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

/// A message as it was handed in, for those who have to know what it was.
#[derive(Debug, Clone)]
pub struct Message {
    /// The id of its first try.
    pub root: String,
    /// The sender that it was handed to.
    pub sender: usize,
    /// Its class.
    pub class: usize,
    /// Its destination.
    pub dest: u16,
    /// Its key.
    pub key: Option<String>,
    /// A digest of its body.
    pub body: u32,
    /// Until when it may be delivered.
    pub deadline: Micros,
    /// The client has heard that it is taken on.
    pub taken: bool,
    /// The client has gone away: its end is awaited by nobody.
    pub void: bool,
    /// A call with it has come.
    pub called: bool,
    /// Calls with it.
    pub calls: u32,
    /// It is delivered, or a notice has come.
    pub ended: bool,
    /// It is delivered.
    pub delivered: bool,
}

/// How a message ended, for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Delivered.
    Delivered,
    /// Failed: it does not come again.
    Failed,
    /// Refused: it may be handed in again, after so long if that was told.
    Deferred(Option<Micros>),
    /// Lost with its sender's folder: it is handed to another.
    Orphaned,
}

/// All messages of a run, by id. Bounded by what the clients hand in.
#[derive(Default)]
pub struct Registry {
    messages: Mutex<HashMap<String, Message>>,
    ends: Mutex<HashMap<String, tokio::sync::oneshot::Sender<End>>>,
}

impl Registry {
    /// A message is handed in; its client is told its end.
    pub fn offer(&self, id: &str, message: Message) -> tokio::sync::oneshot::Receiver<End> {
        let (told, end) = tokio::sync::oneshot::channel();
        if let (Ok(mut messages), Ok(mut ends)) = (self.messages.lock(), self.ends.lock()) {
            messages.insert(id.to_owned(), message);
            ends.insert(id.to_owned(), told);
        }
        end
    }

    /// Looks at a message, or changes it.
    pub fn with<T>(&self, id: &str, look: impl FnOnce(&mut Message) -> T) -> Option<T> {
        self.messages.lock().ok()?.get_mut(id).map(look)
    }

    /// A message has its end; only the first is told.
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

    /// Messages that a sender owes.
    pub fn owed(&self, sender: usize) -> Vec<String> {
        let Ok(messages) = self.messages.lock() else { return vec![] };
        let owed = messages.iter().filter(|(_, m)| m.sender == sender && m.taken && !m.void && !m.ended);
        owed.map(|(id, _)| id.clone()).collect()
    }
}
