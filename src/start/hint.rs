//! What senders that start tell each other in one datagram. It may be lost, late, repeated or false: it moves the time
//! of a call to the list service, and nothing else hangs on it.

use crate::channel::START;

/// Second byte: no datagram of a channel has it.
const KIND: u8 = 0x21;
const HEAD: usize = 23;
const SUM: usize = 4;
/// Destinations that a hint tells of at most.
pub const MAX_HELD: usize = 48;
const ANSWER: u8 = 1;
const CONFIRMED: u8 = 2;

/// A hint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hint {
    /// Its sender wants one back.
    pub answer: bool,
    /// Its sender has had an answer of the list service in this life.
    pub confirmed: bool,
    /// How long its process has run, seconds, up to what the field holds.
    pub age_s: u16,
    /// The version of its list.
    pub version: u64,
    /// How often, as a power of two in quarters, its own calls to the list service failed of late.
    pub trouble: u8,
    /// Calls a second that it believes the list service to bear, in eighths.
    pub capacity: u32,
    /// Destinations, and the messages that it holds for each: the first [`MAX_HELD`]. A destination whose number
    /// needs more than two bytes is left out.
    pub held: Vec<(u32, u16)>,
}

impl Hint {
    /// As a datagram of the tier with that checksum.
    pub fn write(&self, tier: u32) -> Vec<u8> {
        let mut bytes = vec![START, KIND];
        bytes.extend(tier.to_le_bytes());
        bytes.push(if self.answer { ANSWER } else { 0 } | if self.confirmed { CONFIRMED } else { 0 });
        bytes.extend(self.age_s.to_le_bytes());
        bytes.extend(self.version.to_le_bytes());
        bytes.push(self.trouble);
        bytes.extend(self.capacity.to_le_bytes());
        let short = self.held.iter().filter_map(|(to, count)| Some((u16::try_from(*to).ok()?, *count)));
        let held: Vec<(u16, u16)> = short.take(MAX_HELD).collect();
        bytes.push(held.len() as u8);
        for (to, count) in held {
            bytes.extend([to.to_le_bytes(), count.to_le_bytes()].as_flattened());
        }
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        bytes
    }

    /// Whether a datagram is a hint, sound or not.
    pub fn accepts(bytes: &[u8]) -> bool {
        bytes.starts_with(&[START, KIND])
    }

    /// What a sound datagram of that tier says.
    pub fn read(bytes: &[u8], tier: u32) -> Option<Self> {
        let (body, sum) = bytes.split_at_checked(bytes.len().checked_sub(SUM)?)?;
        let (head, held) = body.split_at_checked(HEAD)?;
        let (held, odd) = held.as_chunks::<4>();
        let sound = crc32fast::hash(body).to_le_bytes() == sum && body[2..6] == tier.to_le_bytes();
        let sound = sound && odd.is_empty() && held.len() == usize::from(head[22]) && held.len() <= MAX_HELD;
        sound.then_some(Self {
            answer: body[6] & ANSWER != 0,
            confirmed: body[6] & CONFIRMED != 0,
            age_s: u16::from_le_bytes([body[7], body[8]]),
            version: u64::from_le_bytes(body[9..17].try_into().ok()?),
            trouble: body[17],
            capacity: u32::from_le_bytes(body[18..22].try_into().ok()?),
            held: held
                .iter()
                .map(|[a, b, c, d]| (u16::from_le_bytes([*a, *b]).into(), u16::from_le_bytes([*c, *d])))
                .collect(),
        })
    }
}

#[cfg(test)]
mod tests;
