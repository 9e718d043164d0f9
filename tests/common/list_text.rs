//! A list of endpoints of any size in discovery's format, generated while it is read.

use std::io::{self, Read, Write};

use myrtleyard::endpoints::listing::Listing;

/// Bytes generated at a time, similar to reads from a connection.
const PIECE: usize = 16 << 10;

/// The size of a list.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of endpoints.
    pub endpoints: u32,
    /// Number of destinations, if there are at least as many endpoints.
    pub destinations: u32,
}

/// The largest list that a sender is designed for.
pub const DESIGN: Size = Size { endpoints: 558_000, destinations: 310_000 };

impl Size {
    /// The unique name of the endpoint with this number.
    pub fn name(self, number: u32) -> String {
        // Names differ because the factor is odd.
        format!("s-{:08x}", number.wrapping_mul(2_654_435_761))
    }

    /// The endpoint with this number.
    pub fn entry(self, number: u32) -> Listing {
        let [_, high, middle, low] = number.to_be_bytes();
        Listing {
            name: self.name(number),
            address: format!("10.{high}.{middle}.{low}:{}", 8000 + number % 1000),
            zone: format!("zone-{}", number % 12),
            kind: if number.is_multiple_of(9) { "wide" } else { "plain" }.to_owned(),
            group: number.wrapping_mul(7919) % self.destinations,
            status: if number.is_multiple_of(50) { "leaving" } else { "active" }.to_owned(),
            weight: if number.is_multiple_of(4) { 0.5 } else { 1.0 },
            since_ms: if number.is_multiple_of(20) { 1_796_000_000_000 + u64::from(number) } else { 0 },
        }
    }
}

/// The JSON text of a list, generated while it is read.
#[derive(Debug)]
pub struct Text {
    size: Size,
    next: u32,
    piece: Vec<u8>,
    taken: usize,
}

impl Text {
    /// The text of a snapshot of this size.
    pub fn new(size: Size) -> Self {
        let piece = br#"{"index":9,"snapshot":true,"endpoints":["#.to_vec();
        Self { size, next: 0, piece, taken: 0 }
    }

    fn write_piece(&mut self) -> io::Result<()> {
        self.piece.clear();
        self.taken = 0;
        while self.next < self.size.endpoints && self.piece.len() < PIECE {
            self.write_entry()?;
            self.next += 1;
            let behind: &[u8] = if self.next == self.size.endpoints { b"]}" } else { b"," };
            self.piece.extend_from_slice(behind);
        }
        Ok(())
    }

    fn write_entry(&mut self) -> io::Result<()> {
        let Listing { name, address, zone, kind, group, status, weight, since_ms } =
            self.size.entry(self.next);
        write!(
            self.piece,
            r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"{kind}","group":{group},"status":"{status}","weight":{weight:?},"since_ms":{since_ms}}}"#
        )
    }
}

impl Read for Text {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.taken == self.piece.len() {
            self.write_piece()?;
        }
        let read = (&self.piece[self.taken..]).read(buffer)?;
        self.taken += read;
        Ok(read)
    }
}
