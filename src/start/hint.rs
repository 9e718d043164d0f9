//! The datagram that starting senders exchange. It may be lost, late, repeated or false: it shifts the time
//! of a call to the list service, and nothing else depends on it.

use crate::channel::START;

/// Second byte, which no datagram of a channel has.
const KIND: u8 = 0x21;
const HEADER_LEN: usize = 23;
const CHECKSUM_LEN: usize = 4;
/// Maximum number of destinations in a hint.
pub const MAX_HELD: usize = 48;
const REPLY_REQUESTED: u8 = 1;
const CONFIRMED: u8 = 2;

/// A hint about its sender's start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hint {
    /// A hint is requested in reply.
    pub answer: bool,
    /// The list service has answered this process of the sender.
    pub confirmed: bool,
    /// Age of the sender's process, seconds, saturating at the field's maximum.
    pub age_s: u16,
    /// The version of the sender's list.
    pub version: u64,
    /// Widening due to the sender's own recently failed calls to the list service: the exponent of a power of
    /// two, in quarters.
    pub trouble: u8,
    /// The sender's estimate of the list service's capacity, in eighths of a call per second.
    pub capacity: u32,
    /// Destinations, and the number of messages that the sender holds for each. Only the first [`MAX_HELD`]
    /// are written. A destination whose number needs more than two bytes is left out.
    pub held: Vec<(u32, u16)>,
}

impl Hint {
    /// Encodes the hint as a datagram of the tier with this checksum.
    pub fn write(&self, tier: u32) -> Vec<u8> {
        let mut bytes = vec![START, KIND];
        bytes.extend(tier.to_le_bytes());
        bytes
            .push(if self.answer { REPLY_REQUESTED } else { 0 } | if self.confirmed { CONFIRMED } else { 0 });
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

    /// Whether a datagram is marked as a hint, valid or not.
    pub fn accepts(bytes: &[u8]) -> bool {
        bytes.starts_with(&[START, KIND])
    }

    /// Decodes a datagram. `None` if it is invalid or from another tier.
    pub fn read(bytes: &[u8], tier: u32) -> Option<Self> {
        let (body, sum) = bytes.split_at_checked(bytes.len().checked_sub(CHECKSUM_LEN)?)?;
        let (head, held) = body.split_at_checked(HEADER_LEN)?;
        let (held, odd) = held.as_chunks::<4>();
        let sound = crc32fast::hash(body).to_le_bytes() == sum && body[2..6] == tier.to_le_bytes();
        let sound = sound && odd.is_empty() && held.len() == usize::from(head[22]) && held.len() <= MAX_HELD;
        sound.then_some(Self {
            answer: body[6] & REPLY_REQUESTED != 0,
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
