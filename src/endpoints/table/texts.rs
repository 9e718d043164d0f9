//! Byte strings stored back to back, found by a position of four bytes.

use super::capacity;

/// Marks a string of at least this length; its length is in the four bytes after the mark.
const LONG: u8 = u8::MAX;

/// Maximum overhead of a string, bytes: its length.
const LENGTH: usize = 5;

/// Packed byte strings. They are never removed.
#[derive(Debug, Default)]
pub struct Texts {
    bytes: Vec<u8>,
}

impl Texts {
    /// Adds a string and returns its position. Returns `None`, and adds nothing, if the position does not fit
    /// in four bytes: the strings then take over 4 GiB.
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

    /// The string at a position that [`Texts::put`] returned.
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

    /// The string at a position, which was added from a `str`.
    pub fn string(&self, position: u32) -> String {
        String::from_utf8_lossy(self.get(position)).into_owned()
    }

    /// Number of bytes written, which is the resident memory.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }
}
