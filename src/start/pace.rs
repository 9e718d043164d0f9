//! At which pace messages that an earlier process took on go into the module: those with the least time first, and all
//! of them soon enough to end in time. New messages wait for none of these.

use std::collections::VecDeque;

use crate::interface::Micros;

/// The last message goes in after so long at the latest.
pub const SPAN: Micros = 5_000_000;
/// None waits for longer than this part of the time that it has left.
const PART: Micros = 8;

/// Messages that wait for their turn.
#[derive(Debug, Default)]
pub struct Backlog {
    /// When each goes in, and its number, in order.
    waiting: VecDeque<(Micros, u32)>,
}

impl Backlog {
    /// Spreads messages, by their numbers, with the time at which each must have ended.
    pub fn new(messages: impl IntoIterator<Item = (u32, Micros)>, now: Micros) -> Self {
        let mut messages: Vec<(Micros, u32)> = messages.into_iter().map(|(n, end)| (end, n)).collect();
        messages.sort_unstable();
        let count = messages.len().max(1) as Micros;
        let turn = |(at, (end, number)): (usize, (Micros, u32))| {
            let even = SPAN * at as Micros / count;
            (now + even.min(end.saturating_sub(now) / PART), number)
        };
        // Both bounds rise with the time that is left, so that the order stays.
        Self { waiting: messages.into_iter().enumerate().map(turn).collect() }
    }

    /// When the next one goes in.
    pub fn due(&self) -> Option<Micros> {
        self.waiting.front().map(|next| next.0)
    }

    /// How many wait.
    pub fn left(&self) -> usize {
        self.waiting.len()
    }

    /// Those whose turn it is by then.
    pub fn take(&mut self, until: Micros) -> Vec<u32> {
        let count = self.waiting.iter().take_while(|(at, _)| *at <= until).count();
        self.waiting.drain(..count).map(|(_, number)| number).collect()
    }
}

#[cfg(test)]
mod tests;
