//! Entries stored as rows of 24 bytes, with their texts beside them.

use std::cmp::Ordering;
use std::net::SocketAddrV4;

use super::super::listing::Listing;
use super::capacity;
use super::shapes::Shapes;
use super::texts::Texts;

/// Maximum number of rows: row numbers, and the numbers of shapes and words, fit in four bytes.
const MAX_ROWS: usize = (u32::MAX / 4) as usize;

/// A number that no shape has; it marks a deleted row.
const DELETED_SHAPE: u32 = u32::MAX;

/// Length of a row's time, and of its address (an IPv4 address and a port), bytes.
const FIELD_LEN: usize = 6;

/// An entry.
#[derive(Debug, Clone, Copy)]
pub struct Row {
    /// The destination.
    pub group: u32,
    /// Position of the name in the texts.
    name: u32,
    /// Number of the shape.
    shape: u32,
    /// The address, or the position of its text, as the shape tells.
    address: [u8; FIELD_LEN],
    /// The time in milliseconds, or the position of its eight bytes in the texts, as the shape tells.
    since: [u8; FIELD_LEN],
}

impl Row {
    /// Marks the row as deleted.
    pub fn mark_deleted(&mut self) {
        self.shape = DELETED_SHAPE;
    }

    /// Whether the row is marked as deleted.
    pub fn is_deleted(&self) -> bool {
        self.shape == DELETED_SHAPE
    }
}

/// Rows, and the texts and shapes that they refer to.
#[derive(Debug, Default)]
pub struct Store {
    /// The rows.
    pub rows: Vec<Row>,
    /// The names, and values that do not fit in a row.
    pub texts: Texts,
    shapes: Shapes,
}

impl Store {
    /// Adds an entry and returns its row number. Returns `None`, and adds no row, if the store is full, for
    /// example with texts of over 4 GiB.
    pub fn push(&mut self, entry: &Listing) -> Option<u32> {
        if self.rows.len() >= MAX_ROWS {
            return None;
        }
        let name = self.texts.put(entry.name.as_bytes())?;
        let row = self.row(name, entry)?;
        let number = u32::try_from(self.rows.len()).ok()?;
        capacity::reserve(&mut self.rows, 1);
        self.rows.push(row);
        Some(number)
    }

    /// Overwrites the row of the same name with an entry. Returns `None`, and leaves the row unchanged, if
    /// the store is full.
    pub fn replace(&mut self, number: u32, entry: &Listing) -> Option<()> {
        let name = self.rows[number as usize].name;
        self.rows[number as usize] = self.row(name, entry)?;
        Some(())
    }

    /// The name in a row.
    pub fn name(&self, row: &Row) -> &[u8] {
        self.texts.get(row.name)
    }

    /// Whether a row has the status `left`.
    pub fn left(&self, row: &Row) -> bool {
        self.shapes.get(row.shape).left
    }

    /// The entry in a row.
    pub fn entry(&self, row: &Row) -> Listing {
        let shape = self.shapes.get(row.shape);
        let mut entry = self.shapes.entry(shape);
        entry.name = self.texts.string(row.name);
        entry.group = row.group;
        entry.address = if shape.address_is_text {
            self.texts.string(place(row.address))
        } else {
            unpack_address(row.address)
        };
        entry.since_ms = if shape.since_is_text { self.long_since(row) } else { unpack_since(row.since) };
        entry
    }

    /// The order of rows: by destination, and by name within it.
    pub fn order(&self, one: &Row, other: &Row) -> Ordering {
        let by_name = || self.name(one).cmp(self.name(other));
        one.group.cmp(&other.group).then_with(by_name)
    }

    /// Sorts the rows.
    pub fn sort(&mut self) {
        let mut rows = std::mem::take(&mut self.rows);
        rows.sort_unstable_by(|one, other| self.order(one, other));
        self.rows = rows;
    }

    /// Approximate heap memory in bytes. Only written bytes count, since others are not resident.
    pub fn heap_bytes(&self) -> usize {
        self.rows.len() * size_of::<Row>() + self.texts.len() + self.shapes.heap_bytes()
    }

    fn row(&mut self, name: u32, entry: &Listing) -> Option<Row> {
        let address = pack_address(&entry.address);
        let since = pack_since(entry.since_ms);
        let shape = self.shapes.number(entry, address.is_none(), since.is_none());
        let address = match address {
            Some(address) => address,
            None => field(self.texts.put(entry.address.as_bytes())?),
        };
        let since = match since {
            Some(since) => since,
            None => field(self.texts.put(&entry.since_ms.to_be_bytes())?),
        };
        Some(Row { group: entry.group, name, shape, address, since })
    }

    fn long_since(&self, row: &Row) -> u64 {
        let bytes = self.texts.get(place(row.since));
        bytes.iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
    }
}

/// The bytes of an IPv4 address and port, if formatting them gives exactly this text again.
fn pack_address(text: &str) -> Option<[u8; FIELD_LEN]> {
    let address: SocketAddrV4 = text.parse().ok()?;
    let (_, port) = text.rsplit_once(':')?;
    // A port with leading zeros is the only text that parses and is not formatted the same.
    if port.len() > 1 && port.starts_with('0') {
        return None;
    }
    let ([a, b, c, d], [high, low]) = (address.ip().octets(), address.port().to_be_bytes());
    Some([a, b, c, d, high, low])
}

fn unpack_address([a, b, c, d, high, low]: [u8; FIELD_LEN]) -> String {
    SocketAddrV4::new([a, b, c, d].into(), u16::from_be_bytes([high, low])).to_string()
}

fn pack_since(since_ms: u64) -> Option<[u8; FIELD_LEN]> {
    match since_ms.to_be_bytes() {
        [0, 0, since @ ..] => Some(since),
        _ => None,
    }
}

fn unpack_since([a, b, c, d, e, f]: [u8; FIELD_LEN]) -> u64 {
    u64::from_be_bytes([0, 0, a, b, c, d, e, f])
}

fn field(place: u32) -> [u8; FIELD_LEN] {
    let [a, b, c, d] = place.to_be_bytes();
    [0, 0, a, b, c, d]
}

fn place([_, _, a, b, c, d]: [u8; FIELD_LEN]) -> u32 {
    u32::from_be_bytes([a, b, c, d])
}
