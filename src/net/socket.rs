//! Reads and writes of a connection's socket that rely on no more than the system promises. A call that a signal
//! interrupted is made again, and a short transfer says nothing about what is left: the runtime's own streams
//! take it for the end of what is there, and would wait for more.

use std::io;
use std::task::{Context, Poll, ready};

use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Whether the socket was not ready after all, or a signal interrupted the call.
fn is_to_be_repeated(why: &io::Error) -> bool {
    matches!(why.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Reads what has arrived, or registers the task to be woken.
pub fn poll_read(socket: &TcpStream, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
    loop {
        ready!(socket.poll_read_ready(cx))?;
        match socket.try_read_buf(buf) {
            Ok(_) => return Poll::Ready(Ok(())),
            Err(why) if is_to_be_repeated(&why) => {}
            Err(why) => return Poll::Ready(Err(why)),
        }
    }
}

/// Writes as much as the system takes, or registers the task to be woken.
pub fn poll_write(socket: &TcpStream, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
    loop {
        ready!(socket.poll_write_ready(cx))?;
        match socket.try_write(bytes) {
            Err(why) if is_to_be_repeated(&why) => {}
            written => return Poll::Ready(written),
        }
    }
}
