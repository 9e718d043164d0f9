//! Paces the messages that an earlier process accepted into the decision module: those with the least time
//! left go first, and all of them soon enough to end in time. New messages do not wait for them.

use std::collections::VecDeque;

use crate::interface::Micros;

/// Time within which all messages are released.
pub const MAX_RELEASE_TIME: Micros = 5_000_000;
/// No message waits for longer than its remaining time divided by this.
const MAX_WAIT_DIVISOR: Micros = 8;

/// Messages that are not released yet.
#[derive(Debug, Default)]
pub struct Backlog {
    /// The release time and the number of each message, in order of time.
    waiting: VecDeque<(Micros, u32)>,
}

impl Backlog {
    /// Schedules messages, given as their numbers and the times by which they must have ended.
    pub fn new(messages: impl IntoIterator<Item = (u32, Micros)>, now: Micros) -> Self {
        let mut messages: Vec<(Micros, u32)> = messages.into_iter().map(|(n, end)| (end, n)).collect();
        messages.sort_unstable();
        let count = messages.len().max(1) as Micros;
        let turn = |(at, (end, number)): (usize, (Micros, u32))| {
            let even = MAX_RELEASE_TIME * at as Micros / count;
            (now + even.min(end.saturating_sub(now) / MAX_WAIT_DIVISOR), number)
        };
        // Both bounds grow with the remaining time, so the order is preserved.
        Self { waiting: messages.into_iter().enumerate().map(turn).collect() }
    }

    /// When the next message is released.
    pub fn due(&self) -> Option<Micros> {
        self.waiting.front().map(|next| next.0)
    }

    /// Number of messages not released yet.
    pub fn left(&self) -> usize {
        self.waiting.len()
    }

    /// Removes and returns the messages whose release time has come.
    pub fn take(&mut self, until: Micros) -> Vec<u32> {
        let count = self.waiting.iter().take_while(|(at, _)| *at <= until).count();
        self.waiting.drain(..count).map(|(_, number)| number).collect()
    }
}

#[cfg(test)]
mod tests;
