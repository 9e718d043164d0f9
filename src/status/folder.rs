//! Storage of a log in the state folder: append-only segments. The oldest segment is removed once its current
//! entries have been written again at the end, a few changes at a time, so that no single write is long.
//!
//! Sans I/O: this module returns steps, which the caller carries out in order.

use std::collections::VecDeque;

use super::log::Log;
use crate::interface::Micros;

/// Number of segments into which the capacity is divided.
const SEGMENTS: u64 = 16;
/// Maximum number of changes of the oldest segment that are examined in one write.
const MAX_EXAMINED_PER_WRITE: usize = 64;
/// Minimum capacity, bytes; a smaller one is not used.
pub const MIN_ROOM: u64 = 64 * 1024;

/// The part of the capacity that segments may use; the rest is reserved for rewriting the whole log beside
/// them.
fn usable_bytes(capacity: u64) -> u64 {
    capacity / 3 * 2
}

/// An operation in the folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Create the segment with this number and this content.
    Begin(u64, Vec<u8>),
    /// Append this content to the segment.
    Append(u64, Vec<u8>),
    /// Truncate the segment to zero bytes.
    Empty(u64),
    /// Remove the segment.
    Remove(u64),
}

#[derive(Debug)]
struct Segment {
    at: u64,
    bytes: u64,
    /// Numbers of its changes; those whose message changed again are garbage.
    numbers: Vec<u64>,
}

/// The segments of a log.
#[derive(Debug)]
pub struct Segments {
    capacity: u64,
    boot: u64,
    list: VecDeque<Segment>,
    next: u64,
    /// How many changes of the oldest segment have been examined.
    examined: usize,
    /// The horizon in the header of the newest segment.
    horizon: Micros,
}

impl Segments {
    /// Starts without segments. At most `capacity` bytes are used; `next` is the number of the first segment,
    /// greater than all existing ones.
    pub fn new(capacity: u64, boot: u64, next: u64) -> Self {
        Self { capacity: usable_bytes(capacity), boot, list: VecDeque::new(), next, examined: 0, horizon: 0 }
    }

    /// Memory limit for a log that is stored here: a change takes less than half as much space in the folder
    /// as in memory, and the current entries must take less than half of the capacity.
    pub fn max_log_bytes(capacity: u64) -> usize {
        usize::try_from(usable_bytes(capacity) / 5 * 4).unwrap_or(usize::MAX)
    }

    /// Bytes used in the folder.
    pub fn bytes(&self) -> u64 {
        self.list.iter().map(|segment| segment.bytes).sum()
    }

    /// Numbers of the existing segments.
    pub fn numbers(&self) -> impl Iterator<Item = u64> {
        self.list.iter().map(|segment| segment.at)
    }

    /// Begins a new segment with the whole content of the log; removes the earlier segments and those that
    /// `old` names.
    pub fn begin(&mut self, log: &mut Log, old: impl IntoIterator<Item = u64>) -> Vec<Step> {
        log.unwritten();
        let mut steps = Vec::new();
        self.begin_segment(log, &mut steps);
        let numbers: Vec<u64> = log.numbers().collect();
        let frames = numbers.iter().filter_map(|number| log.frame_of(*number));
        self.append(frames.flatten().collect(), numbers, false, &mut steps);
        let before: Vec<u64> = self.list.drain(..self.list.len() - 1).map(|segment| segment.at).collect();
        steps.extend(before.into_iter().chain(old).map(Step::Remove));
        self.examined = 0;
        steps
    }

    fn begin_segment(&mut self, log: &Log, steps: &mut Vec<Step>) {
        self.horizon = log.table().known_since();
        self.append(log.head(self.boot), Vec::new(), true, steps);
    }

    fn append(&mut self, bytes: Vec<u8>, numbers: Vec<u64>, begin: bool, steps: &mut Vec<Step>) {
        if begin {
            self.list.push_back(Segment { at: self.next, bytes: 0, numbers: Vec::new() });
            self.next += 1;
        }
        let Some(last) = self.list.back_mut() else { return };
        last.bytes += bytes.len() as u64;
        last.numbers.extend(numbers);
        steps.push(if begin { Step::Begin(last.at, bytes) } else { Step::Append(last.at, bytes) });
    }

    /// Writes the unwritten changes, and frees space.
    pub fn write(&mut self, log: &mut Log) -> Vec<Step> {
        let mut steps = Vec::new();
        let fresh = log.unwritten();
        if !fresh.numbers.is_empty() {
            let full = self.list.back().is_none_or(|last| last.bytes >= self.capacity / SEGMENTS);
            if full {
                self.begin_segment(log, &mut steps);
            }
            self.append(fresh.bytes, fresh.numbers, false, &mut steps);
        }
        self.compact(log, &mut steps);
        steps
    }

    fn compact(&mut self, log: &Log, steps: &mut Vec<Step>) {
        // Each segment at most once per call.
        for _ in 0..self.list.len() {
            let total = self.bytes();
            let nearly_full = total > self.capacity / SEGMENTS * (SEGMENTS - 2);
            if self.list.len() < 2 || total <= self.capacity / 4 * 3 {
                return;
            }
            let Some(oldest) = self.list.front() else { return };
            let work = if nearly_full { usize::MAX } else { MAX_EXAMINED_PER_WRITE };
            let upto = self.examined.saturating_add(work).min(oldest.numbers.len());
            let batch: Vec<u64> = oldest.numbers[self.examined..upto].to_vec();
            let all_examined = upto == oldest.numbers.len();
            let (mut bytes, mut numbers) = (Vec::new(), Vec::new());
            for number in batch {
                if let Some(frame) = log.frame_of(number) {
                    bytes.extend(frame);
                    numbers.push(number);
                }
            }
            self.examined = upto;
            if !numbers.is_empty() {
                self.append(bytes, numbers, false, steps);
            }
            if !all_examined {
                return;
            }
            self.examined = 0;
            if log.table().known_since() > self.horizon {
                // The entries that the log dropped go with the segment: the new horizon has to be written
                // before.
                self.begin_segment(log, steps);
            }
            steps.extend(self.list.pop_front().map(|oldest| Step::Remove(oldest.at)));
            if !nearly_full {
                return;
            }
        }
    }
}
