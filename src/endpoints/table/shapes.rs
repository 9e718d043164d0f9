//! Attributes that many endpoints share, stored once: zone, kind, status and weight.

use indexmap::IndexSet;

use super::super::listing::Listing;
use super::LEFT;

/// Memory that an [`IndexSet`] takes for an item beyond the item itself, bytes: its hash, and its place in
/// the table of positions.
const SET_OVERHEAD: usize = 16;

/// Attributes that an endpoint shares with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Shape {
    zone: u32,
    kind: u32,
    status: u32,
    /// The bits of the weight, since equal numbers can have different bits (0.0 and -0.0), and NaN is not
    /// equal to itself.
    weight: u64,
    /// Whether the status is `left`.
    pub left: bool,
    /// Whether the address is stored as a text, since it does not fit in six bytes.
    pub address_is_text: bool,
    /// Whether the time is stored as a text of eight bytes, since it does not fit in six.
    pub since_is_text: bool,
}

/// All shapes, by number.
#[derive(Debug, Default)]
pub struct Shapes {
    words: IndexSet<Box<str>>,
    word_bytes: usize,
    shapes: IndexSet<Shape>,
}

impl Shapes {
    /// Returns the number of an entry's shape, adding it if it is new.
    pub fn number(&mut self, entry: &Listing, address_is_text: bool, since_is_text: bool) -> u32 {
        let shape = Shape {
            zone: self.word(&entry.zone),
            kind: self.word(&entry.kind),
            status: self.word(&entry.status),
            weight: entry.weight.to_bits(),
            left: entry.status == LEFT,
            address_is_text,
            since_is_text,
        };
        position(self.shapes.insert_full(shape).0)
    }

    /// The shape with this number.
    pub fn get(&self, number: u32) -> Shape {
        self.shapes[number as usize]
    }

    /// An entry with this shape, without a name, address, destination or time.
    pub fn entry(&self, shape: Shape) -> Listing {
        Listing {
            name: String::new(),
            address: String::new(),
            zone: self.words[shape.zone as usize].to_string(),
            kind: self.words[shape.kind as usize].to_string(),
            group: 0,
            status: self.words[shape.status as usize].to_string(),
            weight: f64::from_bits(shape.weight),
            since_ms: 0,
        }
    }

    /// Approximate heap memory in bytes.
    pub fn heap_bytes(&self) -> usize {
        let words = self.words.capacity() * (size_of::<Box<str>>() + SET_OVERHEAD);
        let shapes = self.shapes.capacity() * (size_of::<Shape>() + SET_OVERHEAD);
        words + self.word_bytes + shapes
    }

    fn word(&mut self, word: &str) -> u32 {
        if let Some(known) = self.words.get_index_of(word) {
            return position(known);
        }
        self.word_bytes += word.len();
        position(self.words.insert_full(word.into()).0)
    }
}

/// Converts a position. It always fits: an entry adds at most one shape and three words, and a store has
/// fewer entries than `u32::MAX / 4`.
fn position(position: usize) -> u32 {
    u32::try_from(position).unwrap_or(u32::MAX)
}
