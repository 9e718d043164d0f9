//! Reads the body of a list while it arrives: a short one in place, a longer one on a blocking thread, so
//! that the event loop neither parses its text nor holds more than [`MAX_QUEUED`] chunks of it.

use std::io::{self, Read};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use myrtleyard::endpoints::reader::{self, List};
use myrtleyard::endpoints::{Bounds, ListError};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

use super::super::calls::Conn;

/// Up to this number of bytes, a body is collected and read in place.
pub const INLINE: usize = 256 << 10;
/// The minimum rate of a body beyond [`INLINE`] after its call's timeout, in bytes per second.
pub const MIN_RATE: u64 = 4_000_000;
/// Maximum number of chunks queued for the thread. A chunk is the result of one read of the connection:
/// 64 KiB at most.
const MAX_QUEUED: usize = 8;

/// A body in transfer, with its connection.
pub struct IncomingBody {
    conn: Conn,
    body: Incoming,
    /// When the call's timeout is over.
    until: Instant,
    bounds: Bounds,
    /// Bytes received so far.
    received: u64,
}

/// A body after its first [`INLINE`] bytes.
pub enum BodyStart {
    /// It ended within them: the list, and the connection.
    Short(List, Conn),
    /// It is longer.
    Long(Long),
}

/// A body that is longer than [`INLINE`].
pub struct Long {
    body: IncomingBody,
    first: Bytes,
}

impl IncomingBody {
    /// A body that must be complete by `until`, plus the time that [`MIN_RATE`] grants to a long one.
    pub fn new(conn: Conn, body: Incoming, until: Instant, bounds: Bounds) -> Self {
        Self { conn, body, until, bounds, received: 0 }
    }

    /// Collects up to [`INLINE`] bytes of the body, and reads it if it ends within them.
    ///
    /// # Errors
    /// Fails when the body is truncated, arrives too slowly, or is not a list within the bounds.
    pub async fn begin(mut self) -> Result<BodyStart, ListError> {
        let mut text = Vec::new();
        while let Some(chunk) = self.chunk().await? {
            text.extend_from_slice(&chunk);
            if text.len() > INLINE {
                return Ok(BodyStart::Long(Long { body: self, first: text.into() }));
            }
        }
        let list = reader::read(text.as_slice(), &self.bounds)?;
        Ok(BodyStart::Short(list, self.conn))
    }

    /// The time by which the next bytes must arrive.
    fn deadline(&self) -> Instant {
        let beyond = self.received.saturating_sub(INLINE as u64);
        self.until + Duration::from_micros(beyond.saturating_mul(1_000_000) / MIN_RATE)
    }

    /// The next bytes, or `None` at the end.
    async fn chunk(&mut self) -> Result<Option<Bytes>, ListError> {
        let chunk = timeout_at(self.deadline(), self.conn.next_chunk(&mut self.body)).await;
        let Ok(Ok(chunk)) = chunk else { return Err(ListError::Truncated(self.received)) };
        self.received += chunk.as_ref().map_or(0, |chunk| chunk.len() as u64);
        if self.received > self.bounds.bytes {
            return Err(ListError::Bytes(self.bounds.bytes));
        }
        Ok(chunk)
    }
}

impl Long {
    /// Reads the body on a blocking thread, which receives its chunks as they arrive and ends with this
    /// future. Returns the list and the connection.
    ///
    /// # Errors
    /// Fails when the body is truncated, arrives too slowly, or is not a list within the bounds.
    pub async fn read(mut self) -> Result<(List, Conn), ListError> {
        let (chunks, waiting) = channel(MAX_QUEUED);
        let bounds = self.body.bounds;
        let thread = tokio::task::spawn_blocking(move || reader::read(BodyText::new(waiting), &bounds));
        let passed_on = self.pass_on(&chunks).await?;
        // The channel must stay open until the thread has ended, which takes a closed channel for a truncated
        // body.
        let list = thread.await.map_err(|why| ListError::Malformed(why.to_string()))??;
        if !passed_on {
            return Err(ListError::Malformed("there is text after the end of the list".to_owned()));
        }
        Ok((list, self.body.conn))
    }

    /// Passes the body on to the thread. Returns whether the thread accepted all of it.
    async fn pass_on(&mut self, chunks: &Sender<Chunk>) -> Result<bool, ListError> {
        let mut next = Some(std::mem::take(&mut self.first));
        while let Some(text) = next {
            if !self.send_chunk(chunks, Chunk::Text(text)).await {
                return Ok(false);
            }
            // Data that has already arrived must not keep the event loop from its other tasks.
            yield_now().await;
            next = self.body.chunk().await?;
        }
        Ok(self.send_chunk(chunks, Chunk::End).await)
    }

    /// Sends a chunk to the thread, and returns whether the thread accepted it. Time spent waiting for queue
    /// capacity extends the body's deadline.
    async fn send_chunk(&mut self, chunks: &Sender<Chunk>, chunk: Chunk) -> bool {
        let begun = Instant::now();
        let taken = chunks.send(chunk).await.is_ok();
        self.body.until += begun.elapsed();
        taken
    }
}

/// A message to the thread.
enum Chunk {
    Text(Bytes),
    End,
}

/// The text of a body, as the thread reads it.
struct BodyText {
    chunks: Receiver<Chunk>,
    /// The rest of the last chunk.
    left: Bytes,
    ended: bool,
}

impl BodyText {
    fn new(chunks: Receiver<Chunk>) -> Self {
        Self { chunks, left: Bytes::new(), ended: false }
    }

    /// Waits for the next chunk.
    ///
    /// # Errors
    /// Fails when the sender is gone before the body's end, even if chunks are queued.
    fn next(&mut self) -> io::Result<()> {
        let chunk = if self.chunks.is_closed() { None } else { self.chunks.blocking_recv() };
        match chunk {
            Some(Chunk::Text(text)) => self.left = text,
            Some(Chunk::End) => self.ended = true,
            None => return Err(io::ErrorKind::UnexpectedEof.into()),
        }
        Ok(())
    }
}

impl Read for BodyText {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        while self.left.is_empty() && !self.ended {
            self.next()?;
        }
        let length = self.left.len().min(to.len());
        to[..length].copy_from_slice(&self.left.split_to(length));
        Ok(length)
    }
}

#[cfg(test)]
mod tests;
