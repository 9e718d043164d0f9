//! The body of a list, read while it arrives: a short one in place, a longer one on a blocking thread, so that the event
//! loop neither parses its text nor holds more of it than [`WAITING`] pieces.

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

/// Bytes up to which a body is collected and read in place.
pub const INLINE: usize = 256 << 10;
/// Bytes a second at which a body beyond [`INLINE`] must arrive at least, once its call's patience is over.
pub const LEAST_RATE: u64 = 4_000_000;
/// Pieces that wait for the thread at most. A piece is what one read of the connection gave: some 400 KiB at most.
const WAITING: usize = 8;

/// A body that arrives, with the connection that it arrives on.
pub struct Arrival {
    conn: Conn,
    body: Incoming,
    /// When the call's patience is over.
    until: Instant,
    bounds: Bounds,
    /// Bytes that have come.
    received: u64,
}

/// How a body goes on from its first [`INLINE`] bytes.
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
    /// A body that must have come by `until`, but for the time that [`LEAST_RATE`] gives a long one.
    pub fn new(conn: Conn, body: Incoming, until: Instant, bounds: Bounds) -> Self {
        Self { conn, body, until, bounds, received: 0 }
    }

    /// Collects the body up to [`INLINE`] bytes, and reads it if it ends within them.
    ///
    /// # Errors
    /// Fails when the body breaks off, comes too slowly, or is not a list within the bounds.
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

    /// When the next bytes must have come.
    fn deadline(&self) -> Instant {
        let beyond = self.received.saturating_sub(INLINE as u64);
        self.until + Duration::from_micros(beyond.saturating_mul(1_000_000) / LEAST_RATE)
    }

    /// The next bytes, or nothing at the end.
    async fn piece(&mut self) -> Result<Option<Bytes>, ListError> {
        let piece = timeout_at(self.deadline(), self.conn.piece(&mut self.body)).await;
        let Ok(Ok(piece)) = piece else { return Err(ListError::Cut(self.received)) };
        self.received += piece.as_ref().map_or(0, |piece| piece.len() as u64);
        if self.received > self.bounds.bytes {
            return Err(ListError::Bytes(self.bounds.bytes));
        }
        Ok(piece)
    }
}

impl Long {
    /// Reads the body on a blocking thread, to which its pieces go as they arrive; the thread ends with this future.
    /// The list, and the connection.
    ///
    /// # Errors
    /// Fails when the body breaks off, comes too slowly, or is not a list within the bounds.
    pub async fn read(mut self) -> Result<(List, Conn), ListError> {
        let (pieces, waiting) = channel(WAITING);
        let bounds = self.arrival.bounds;
        let thread = tokio::task::spawn_blocking(move || reader::read(Text::new(waiting), &bounds));
        let passed_on = self.pass_on(&pieces).await?;
        // The channel stays open until the thread has ended: it takes a closed one for a body that was cut.
        let list = thread.await.map_err(|why| ListError::Malformed(why.to_string()))??;
        if !passed_on {
            return Err(ListError::Malformed("text follows the list's end".to_owned()));
        }
        Ok((list, self.arrival.conn))
    }

    /// Passes the body on to the thread. Whether it took all of it.
    async fn pass_on(&mut self, pieces: &Sender<Piece>) -> Result<bool, ListError> {
        let mut next = Some(std::mem::take(&mut self.first));
        while let Some(text) = next {
            if !self.give(pieces, Piece::Text(text)).await {
                return Ok(false);
            }
            // What is there already must not keep the loop from its other tasks.
            yield_now().await;
            next = self.arrival.piece().await?;
        }
        Ok(self.give(pieces, Piece::End).await)
    }

    /// Gives the thread a piece; whether it takes it. Time that it takes to have room is not the body's.
    async fn give(&mut self, pieces: &Sender<Piece>, piece: Piece) -> bool {
        let begun = Instant::now();
        let taken = pieces.send(piece).await.is_ok();
        self.arrival.until += begun.elapsed();
        taken
    }
}

/// What goes to the thread.
enum Piece {
    Text(Bytes),
    End,
}

/// The text of a body, as the thread reads it.
struct Text {
    pieces: Receiver<Piece>,
    /// What is left of the last piece.
    left: Bytes,
    ended: bool,
}

impl Text {
    fn new(pieces: Receiver<Piece>) -> Self {
        Self { pieces, left: Bytes::new(), ended: false }
    }

    /// Waits for the next piece.
    ///
    /// # Errors
    /// Fails when the sender is gone before the body's end, even if pieces wait.
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
