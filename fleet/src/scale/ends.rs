//! Messages that were handed in and what became of each: deliveries at endpoints, notices at the agent.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde_json::Value;

/// The beginning of all ids.
const ID: &str = "traffic-";
/// An end that comes so long after a message's time is in time.
pub const GRACE: Duration = Duration::from_millis(300);

/// A message that was handed in.
struct Message {
    destination: u64,
    handed: Instant,
    taken: bool,
    delivered: u64,
    noticed: u64,
    ended: Option<Instant>,
}

#[derive(Default)]
struct Known {
    messages: Vec<Message>,
    misdirected: u64,
}

/// All messages of a run.
#[derive(Default)]
pub struct Ends(Mutex<Known>);

/// What became of the messages that were answered 202.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Judged {
    /// All of them.
    pub taken: u64,
    /// Those that were delivered.
    pub delivered: u64,
    /// Those that were told as ended undelivered.
    pub noticed: u64,
    /// Those without an end.
    pub lost: u64,
    /// Those whose end came too late.
    pub late: u64,
    /// Those with more than one delivery or notice.
    pub twice: u64,
    /// Deliveries that are nobody's, or another destination's.
    pub misdirected: u64,
}

impl Ends {
    /// A message is about to be handed in; its id.
    pub fn handed(&self, destination: u64) -> String {
        let Ok(mut known) = self.0.lock() else { return String::new() };
        let handed = Instant::now();
        let message = Message { destination, handed, taken: false, delivered: 0, noticed: 0, ended: None };
        known.messages.push(message);
        format!("{ID}{}", known.messages.len() - 1)
    }

    /// It was answered 202.
    pub fn taken(&self, id: &str) {
        self.seen(id, |message| message.taken = true);
    }

    /// An endpoint of a destination was called with it.
    pub fn delivered(&self, id: &str, destination: Option<u64>) {
        let right = self.seen(id, |message| {
            let right = destination == Some(message.destination);
            if right {
                message.delivered += 1;
                message.ended.get_or_insert_with(Instant::now);
            }
            right
        });
        if right != Some(true)
            && let Ok(mut known) = self.0.lock()
        {
            known.misdirected += 1;
        }
    }

    /// The agent was told of ends, a line each. Whether all could be read.
    pub fn noticed(&self, lines: &[u8]) -> bool {
        let lines = lines.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        lines.filter(|line| self.notice(line).is_none()).count() == 0
    }

    fn notice(&self, line: &[u8]) -> Option<()> {
        let told: Value = serde_json::from_slice(line).ok()?;
        self.seen(told["id"].as_str()?, |message| {
            message.noticed += 1;
            message.ended.get_or_insert_with(Instant::now);
        })
    }

    /// Changes a message by its id; nothing if it was never handed in.
    fn seen<T>(&self, id: &str, change: impl FnOnce(&mut Message) -> T) -> Option<T> {
        let number: usize = id.strip_prefix(ID)?.parse().ok()?;
        Some(change(self.0.lock().ok()?.messages.get_mut(number)?))
    }

    /// What became of those that were answered 202, if each has so long.
    pub fn judged(&self, time: Duration) -> Judged {
        let Ok(known) = self.0.lock() else { return Judged::default() };
        let mut judged = Judged { misdirected: known.misdirected, ..Judged::default() };
        for message in known.messages.iter().filter(|message| message.taken) {
            judged.taken += 1;
            judged.delivered += u64::from(message.delivered > 0);
            judged.noticed += u64::from(message.noticed > 0);
            judged.twice += u64::from(message.delivered + message.noticed > 1);
            match message.ended {
                None => judged.lost += 1,
                Some(ended) => judged.late += u64::from(ended > message.handed + time + GRACE),
            }
        }
        judged
    }
}
