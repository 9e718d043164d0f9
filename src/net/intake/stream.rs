//! A client's connection: its socket, shared with those who must know whether the client is still there, and
//! closed if the client does not read its answers.

use std::io;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use super::super::socket;

/// A connection whose client leaves its answers unread for this long is closed. No client waits longer than
/// 400 ms for its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// A client's connection.
pub struct ClientStream {
    socket: Rc<TcpStream>,
    /// Runs while a write waits for the client to read.
    write_timeout: Option<Pin<Box<Sleep>>>,
}

/// Knows whether the client of a connection is still there.
#[derive(Debug, Clone)]
pub struct ClientPresence(Weak<TcpStream>);

impl ClientPresence {
    /// Whether the client has closed its connection, or its side of it, as far as the runtime knows. That is
    /// known before what the client wrote last has been read.
    pub fn has_left(&self) -> bool {
        let Some(socket) = self.0.upgrade() else { return true };
        let readiness = pin!(socket.ready(Interest::READABLE));
        match readiness.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(readiness)) => readiness.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }
}

impl ClientStream {
    /// Wraps an accepted connection.
    pub fn new(socket: TcpStream) -> Self {
        // Without it small answers wait for the client's acknowledgements; the connection serves either way.
        let _ = socket.set_nodelay(true);
        Self { socket: Rc::new(socket), write_timeout: None }
    }

    /// Knows whether the client is still there.
    pub fn presence(&self) -> ClientPresence {
        ClientPresence(Rc::downgrade(&self.socket))
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        socket::poll_read(&self.socket, cx, buf)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if let Poll::Ready(written) = socket::poll_write(&self.socket, cx, bytes) {
            self.write_timeout = None;
            return Poll::Ready(written);
        }
        let timeout = self.write_timeout.get_or_insert_with(|| Box::pin(sleep(WRITE_TIMEOUT)));
        ready!(timeout.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.socket).shutdown(Shutdown::Write))
    }
}
