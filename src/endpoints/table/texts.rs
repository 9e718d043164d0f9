//! Byte strings packed one behind the other, found by a position of four bytes.

use super::capacity;

/// A length of this or more is written in the four bytes behind it.
const LONG: u8 = u8::MAX;

/// Bytes beside a string at most: its length.
const LENGTH: usize = 5;

/// Packed byte strings. None is ever taken out.
#[derive(Debug, Default)]
pub struct Texts {
    bytes: Vec<u8>,
}

impl Texts {
    /// Adds a string and tells its position. `None`, and nothing is added, when positions would end: the strings
    /// then take over 4 GiB.
    pub fn put(&mut self, text: &[u8]) -> Option<u32> {
        let position = u32::try_from(self.bytes.len()).ok()?;
        let length = u32::try_from(text.len()).ok()?;
        capacity::reserve(&mut self.bytes, LENGTH + text.len());
        match u8::try_from(length) {
            Ok(short) if short < LONG => self.bytes.push(short),
            _ => {
                self.bytes.push(LONG);
                self.bytes.extend(length.to_le_bytes());
            }
        }
        self.bytes.extend_from_slice(text);
        Some(position)
    }

    /// The string at a position that [`Texts::put`] told.
    pub fn get(&self, position: u32) -> &[u8] {
        let from = &self.bytes[position as usize..];
        match from[0] {
            LONG => {
                let length = u32::from_le_bytes([from[1], from[2], from[3], from[4]]);
                &from[5..5 + length as usize]
            }
            short => &from[1..1 + usize::from(short)],
        }
    }

    /// The string at a position, which was put in as a `str`.
    pub fn string(&self, position: u32) -> String {
        String::from_utf8_lossy(self.get(position)).into_owned()
    }

    /// Bytes written, and so held.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }
}
