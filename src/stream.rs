//! TCP streams that handle short, interrupted and temporarily failing system calls.
//!
//! | a read or write | how it is handled |
//! |---|---|
//! | transfers only a part of the bytes | is continued until the system reports that it would block |
//! | fails with EINTR | is repeated |
//! | fails with ENOBUFS, ENOMEM, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ENETDOWN or EHOSTDOWN | is repeated after a pause, a bounded number of times, on a caller's connection ([`is_transient`]); ends a link to another service, which is then connected again |
//! | fails with any other error | ends the connection |

use std::io;
use std::ops::Deref;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use rustix::io::Errno;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a failed read or write may succeed when it is repeated. The system lacked a resource, or a route was down for a
/// while; if the connection has ended instead, the next call reports it.
#[must_use]
pub fn is_transient(e: &io::Error) -> bool {
    let transient = [
        Errno::INTR,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::TIMEDOUT,
        Errno::HOSTUNREACH,
        Errno::NETUNREACH,
        Errno::NETDOWN,
        Errno::HOSTDOWN,
    ];
    transient.iter().any(|errno| e.raw_os_error() == Some(errno.raw_os_error()))
}

/// A stream that is read and written until the system reports that it would block. Tokio's stream takes a short read as a
/// sign that the socket is drained and waits for the next readiness event. After a call that was short for another reason no
/// such event comes.
#[derive(Debug)]
pub struct SteadyStream(TcpStream);

impl SteadyStream {
    /// Wraps a connected stream.
    #[must_use]
    pub fn new(stream: TcpStream) -> SteadyStream {
        SteadyStream(stream)
    }
}

impl Deref for SteadyStream {
    type Target = TcpStream;

    fn deref(&self) -> &TcpStream {
        &self.0
    }
}

impl AsyncRead for SteadyStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            match self.0.try_read(buffer.initialize_unfilled()) {
                Ok(n) => {
                    buffer.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => ready!(self.0.poll_read_ready(cx))?,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for SteadyStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            match self.0.try_write(bytes) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => ready!(self.0.poll_write_ready(cx))?,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
