//! What the senders of a tier tell one another of a destination's limit. A note is a hint: one that is lost, late,
//! repeated or false moves the time of a call, and nothing else hangs on it.

use crate::interface::DestinationId;

/// Added to a topic's byte where the destination's number takes four bytes: senders of earlier versions, which know
/// numbers of two bytes alone, ignore such a note.
const WIDE: u8 = 0x20;
/// Units of a limit in a note, per call a second.
const LIMIT_UNITS: f64 = 8.0;

/// What a note is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Topic {
    /// A call is planned.
    Turn = 0x11,
    /// The limit is used up.
    Full = 0x12,
    /// The limit has changed.
    Limit = 0x13,
}

impl Topic {
    fn of(byte: u8) -> Option<Self> {
        [Self::Turn, Self::Full, Self::Limit].into_iter().find(|topic| *topic as u8 == byte)
    }
}

/// A note, as senders exchange it in one datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Note {
    /// What it is about.
    pub topic: Topic,
    /// The destination.
    pub destination: DestinationId,
    /// Calls a second that the destination takes; 0 unless the topic is [`Topic::Limit`].
    pub limit: f64,
}

impl Note {
    /// The note's bytes: a byte for the topic, the destination's number in two bytes or, where it needs them, in four,
    /// and for [`Topic::Limit`] two more; numbers have their low byte first.
    pub fn encode(self) -> Vec<u8> {
        let number = self.destination.0;
        let mut content = match u16::try_from(number) {
            Ok(short) => [&[self.topic as u8][..], &short.to_le_bytes()].concat(),
            Err(_) => [&[self.topic as u8 + WIDE][..], &number.to_le_bytes()].concat(),
        };
        if self.topic == Topic::Limit {
            content.extend(((self.limit * LIMIT_UNITS) as u16).to_le_bytes());
        }
        content
    }

    /// The note in these bytes, if it is one.
    pub fn decode(content: &[u8]) -> Option<Self> {
        let (first, rest) = content.split_first()?;
        let (topic, number, rest) = match Topic::of(*first) {
            Some(topic) => {
                let (number, rest) = rest.split_first_chunk()?;
                (topic, u32::from(u16::from_le_bytes(*number)), rest)
            }
            None => {
                let (number, rest) = rest.split_first_chunk()?;
                (Topic::of(first.checked_sub(WIDE)?)?, u32::from_le_bytes(*number), rest)
            }
        };
        let limit = match (topic, rest) {
            (Topic::Turn | Topic::Full, []) => 0.0,
            (Topic::Limit, [low, high]) => f64::from(u16::from_le_bytes([*low, *high])) / LIMIT_UNITS,
            _ => return None,
        };
        Some(Self { topic, destination: DestinationId(number), limit })
    }
}

#[cfg(test)]
mod tests;
