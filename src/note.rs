//! Notes that the senders of a tier exchange about the limit of a destination. A note is a hint: one that is
//! lost, late, repeated or wrong changes the time of a call and affects nothing else.

use crate::interface::DestinationId;

/// Added to the topic's byte if the destination's number takes four bytes. Senders of earlier versions, which
/// know only numbers of two bytes, ignore such a note.
const WIDE_NUMBER_OFFSET: u8 = 0x20;
/// Units of the limit in a note, per call per second.
const LIMIT_UNITS_PER_CALL: f64 = 8.0;

/// Subject of a note.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Topic {
    /// A call is planned.
    PlannedCall = 0x11,
    /// The limit is exhausted.
    LimitReached = 0x12,
    /// The limit has changed.
    LimitChanged = 0x13,
}

impl Topic {
    fn from_byte(byte: u8) -> Option<Self> {
        [Self::PlannedCall, Self::LimitReached, Self::LimitChanged]
            .into_iter()
            .find(|topic| *topic as u8 == byte)
    }
}

/// A note, which is sent in one datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Note {
    /// Its subject.
    pub topic: Topic,
    /// The destination that it is about.
    pub destination: DestinationId,
    /// Limit of the destination in calls per second; 0 unless the topic is [`Topic::LimitChanged`].
    pub limit: f64,
}

impl Note {
    /// Encodes the note: a byte for the topic, the destination's number in two bytes or, if it needs them, in
    /// four, and for [`Topic::LimitChanged`] two bytes for the limit. Numbers are little-endian.
    pub fn encode(self) -> Vec<u8> {
        let number = self.destination.0;
        let mut content = match u16::try_from(number) {
            Ok(short) => [&[self.topic as u8][..], &short.to_le_bytes()].concat(),
            Err(_) => [&[self.topic as u8 + WIDE_NUMBER_OFFSET][..], &number.to_le_bytes()].concat(),
        };
        if self.topic == Topic::LimitChanged {
            content.extend(((self.limit * LIMIT_UNITS_PER_CALL) as u16).to_le_bytes());
        }
        content
    }

    /// Decodes a note; `None` if the bytes are not exactly one note.
    pub fn decode(content: &[u8]) -> Option<Self> {
        let (first, rest) = content.split_first()?;
        let (topic, number, rest) = match Topic::from_byte(*first) {
            Some(topic) => {
                let (number, rest) = rest.split_first_chunk()?;
                (topic, u32::from(u16::from_le_bytes(*number)), rest)
            }
            None => {
                let (number, rest) = rest.split_first_chunk()?;
                (Topic::from_byte(first.checked_sub(WIDE_NUMBER_OFFSET)?)?, u32::from_le_bytes(*number), rest)
            }
        };
        let limit = match (topic, rest) {
            (Topic::PlannedCall | Topic::LimitReached, []) => 0.0,
            (Topic::LimitChanged, [low, high]) => {
                f64::from(u16::from_le_bytes([*low, *high])) / LIMIT_UNITS_PER_CALL
            }
            _ => return None,
        };
        Some(Self { topic, destination: DestinationId(number), limit })
    }
}

#[cfg(test)]
mod tests;
