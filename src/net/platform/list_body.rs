//! Reads the body of a list while it arrives: a short one in place, a longer one on a blocking thread, so
//! that the event loop neither parses its text nor holds more than [`WAITING`] chunks of it.

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
/// Maximum number of chunks queued for the thread. A chunk is the result of one read of the connection: some
/// 400 KiB at most.
const WAITING: usize = 8;

/// A body in transfer, with its connection.
pub struct Arrival {
    conn: Conn,
    body: Incoming,
    /// When the call's timeout is over.
    until: Instant,
    bounds: Bounds,
    /// Bytes received so far.
    received: u64,
}

/// A body after its first [`INLINE`] bytes.
pub enum Begun {
    /// It ended within them: the list, and the connection.
    Short(List, Conn),
    /// It is longer.
    Long(Long),
}

/// A body that is longer than [`INLINE`].
pub struct Long {
    arrival: Arrival,
    first: Bytes,
}

impl Arrival {
    /// A body that must be complete by `until`, plus the time that [`MIN_RATE`] grants to a long one.
    pub fn new(conn: Conn, body: Incoming, until: Instant, bounds: Bounds) -> Self {
        Self { conn, body, until, bounds, received: 0 }
    }

    /// Collects up to [`INLINE`] bytes of the body, and reads it if it ends within them.
    ///
    /// # Errors
    /// Fails when the body is truncated, arrives too slowly, or is not a list within the bounds.
    pub async fn begin(mut self) -> Result<Begun, ListError> {
        let mut text = Vec::new();
        while let Some(piece) = self.piece().await? {
            text.extend_from_slice(&piece);
            if text.len() > INLINE {
                return Ok(Begun::Long(Long { arrival: self, first: text.into() }));
            }
        }
        let list = reader::read(text.as_slice(), &self.bounds)?;
        Ok(Begun::Short(list, self.conn))
    }

    /// The time by which the next bytes must arrive.
    fn deadline(&self) -> Instant {
        let beyond = self.received.saturating_sub(INLINE as u64);
        self.until + Duration::from_micros(beyond.saturating_mul(1_000_000) / MIN_RATE)
    }

    /// The next bytes, or `None` at the end.
    async fn piece(&mut self) -> Result<Option<Bytes>, ListError> {
        let piece = timeout_at(self.deadline(), self.conn.piece(&mut self.body)).await;
        let Ok(Ok(piece)) = piece else { return Err(ListError::Truncated(self.received)) };
        self.received += piece.as_ref().map_or(0, |piece| piece.len() as u64);
        if self.received > self.bounds.bytes {
            return Err(ListError::Bytes(self.bounds.bytes));
        }
        Ok(piece)
    }
}

impl Long {
    /// Reads the body on a blocking thread, which receives its chunks as they arrive and ends with this
    /// future. Returns the list and the connection.
    ///
    /// # Errors
    /// Fails when the body is truncated, arrives too slowly, or is not a list within the bounds.
    pub async fn read(mut self) -> Result<(List, Conn), ListError> {
        let (pieces, waiting) = channel(WAITING);
        let bounds = self.arrival.bounds;
        let thread = tokio::task::spawn_blocking(move || reader::read(Text::new(waiting), &bounds));
        let passed_on = self.pass_on(&pieces).await?;
        // The channel must stay open until the thread has ended, which takes a closed channel for a truncated
        // body.
        let list = thread.await.map_err(|why| ListError::Malformed(why.to_string()))??;
        if !passed_on {
            return Err(ListError::Malformed("there is text after the end of the list".to_owned()));
        }
        Ok((list, self.arrival.conn))
    }

    /// Passes the body on to the thread. Returns whether the thread accepted all of it.
    async fn pass_on(&mut self, pieces: &Sender<Piece>) -> Result<bool, ListError> {
        let mut next = Some(std::mem::take(&mut self.first));
        while let Some(text) = next {
            if !self.give(pieces, Piece::Text(text)).await {
                return Ok(false);
            }
            // Data that has already arrived must not keep the event loop from its other tasks.
            yield_now().await;
            next = self.arrival.piece().await?;
        }
        Ok(self.give(pieces, Piece::End).await)
    }

    /// Sends a chunk to the thread, and returns whether the thread accepted it. Time spent waiting for queue
    /// capacity extends the body's deadline.
    async fn give(&mut self, pieces: &Sender<Piece>, piece: Piece) -> bool {
        let begun = Instant::now();
        let taken = pieces.send(piece).await.is_ok();
        self.arrival.until += begun.elapsed();
        taken
    }
}

/// A message to the thread.
enum Piece {
    Text(Bytes),
    End,
}

/// The text of a body, as the thread reads it.
struct Text {
    pieces: Receiver<Piece>,
    /// The rest of the last chunk.
    left: Bytes,
    ended: bool,
}

impl Text {
    fn new(pieces: Receiver<Piece>) -> Self {
        Self { pieces, left: Bytes::new(), ended: false }
    }

    /// Waits for the next chunk.
    ///
    /// # Errors
    /// Fails when the sender is gone before the body's end, even if chunks are queued.
    fn next(&mut self) -> io::Result<()> {
        let piece = if self.pieces.is_closed() { None } else { self.pieces.blocking_recv() };
        match piece {
            Some(Piece::Text(text)) => self.left = text,
            Some(Piece::End) => self.ended = true,
            None => return Err(io::ErrorKind::UnexpectedEof.into()),
        }
        Ok(())
    }
}

impl Read for Text {
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
