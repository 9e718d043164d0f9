//! A reader that counts its bytes and limits them, in total and between one entry and the next.

use std::cell::Cell;
use std::io::{self, Read};

/// Progress of reading a stream.
#[derive(Debug, Default)]
pub struct Progress {
    /// Bytes read so far.
    read: Cell<u64>,
    /// Bytes read up to the last mark.
    marked: Cell<u64>,
}

impl Progress {
    /// Bytes read so far.
    pub fn read(&self) -> u64 {
        self.read.get()
    }

    /// Sets a mark: an entry, or the name of a member, was read.
    pub fn mark(&self) {
        self.marked.set(self.read.get());
    }

    /// Bytes read since the last mark.
    pub fn unmarked(&self) -> u64 {
        self.read.get() - self.marked.get()
    }
}

/// A reader that fails once more bytes were read than allowed.
#[derive(Debug)]
pub struct CountingReader<'progress, R> {
    /// The underlying stream.
    pub source: R,
    /// Progress of reading it.
    pub progress: &'progress Progress,
    /// Maximum number of bytes.
    pub most: u64,
    /// Maximum number of bytes since the last mark.
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
