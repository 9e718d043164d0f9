//! A stream whose bytes are counted and bounded, as a whole and between one entry and the next.

use std::cell::Cell;
use std::io::{self, Read};

/// How far a stream was read.
#[derive(Debug, Default)]
pub struct Progress {
    /// Bytes that came so far.
    read: Cell<u64>,
    /// Bytes that had come at the last mark.
    marked: Cell<u64>,
}

impl Progress {
    /// Bytes that came so far.
    pub fn read(&self) -> u64 {
        self.read.get()
    }

    /// Notes that an entry, or the name of a member, was read.
    pub fn mark(&self) {
        self.marked.set(self.read.get());
    }

    /// Bytes that came since the last mark.
    pub fn unmarked(&self) -> u64 {
        self.read.get() - self.marked.get()
    }
}

/// A stream that fails once more bytes came than may.
#[derive(Debug)]
pub struct CountingReader<'progress, R> {
    /// Where bytes come from.
    pub source: R,
    /// How far it was read.
    pub progress: &'progress Progress,
    /// Bytes at most.
    pub most: u64,
    /// Bytes at most since the last mark.
    pub most_unmarked: u64,
}

impl<R: Read> Read for CountingReader<'_, R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let read = self.source.read(buffer)?;
        self.progress.read.set(self.progress.read() + read as u64);
        if self.progress.read() > self.most || self.progress.unmarked() > self.most_unmarked {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        Ok(read)
    }
}
