//! A stream whose bytes are counted and bounded.

use std::io::{self, Read};

/// Counts the bytes of a stream, and fails once there are more than may be.
#[derive(Debug)]
pub struct Counted<R> {
    source: R,
    most: u64,
    read: u64,
}

impl<R> Counted<R> {
    /// A stream of at most so many bytes.
    pub fn new(source: R, most: u64) -> Self {
        Self { source, most, read: 0 }
    }

    /// Bytes that came so far.
    pub fn read_so_far(&self) -> u64 {
        self.read
    }

    /// Whether more bytes came than may be.
    pub fn beyond(&self) -> bool {
        self.read > self.most
    }
}

impl<R: Read> Read for Counted<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.beyond() {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        let read = self.source.read(buffer)?;
        self.read += read as u64;
        if self.beyond() { Err(io::ErrorKind::FileTooLarge.into()) } else { Ok(read) }
    }
}
