//! TCP streams whose system calls may be cut short, interrupted, or fail in passing.
//!
//! | a read or write | here |
//! |---|---|
//! | does a part of its work | goes on until the system says that it would block |
//! | EINTR | is made again |
//! | ENOBUFS, ENOMEM, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ENETDOWN, EHOSTDOWN | on a caller's connection is made again after a pause, a bounded number of times ([`is_passing`]); on a link, which is made anew, is its end |
//! | anything else | is the end of the connection |

use std::io;
use std::ops::Deref;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use rustix::io::Errno;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a failed read or write may work when it is made again: the system was short of something, or a route was away, or
/// the connection is over and the next call says so.
#[must_use]
pub fn is_passing(e: &io::Error) -> bool {
    let passing = [
        Errno::INTR,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::TIMEDOUT,
        Errno::HOSTUNREACH,
        Errno::NETUNREACH,
        Errno::NETDOWN,
        Errno::HOSTDOWN,
    ];
    passing.iter().any(|errno| e.raw_os_error() == Some(errno.raw_os_error()))
}

/// A stream that is read and written until the system says that it would block. tokio's own takes a short read for the last one
/// until there is news, which a call that was cut short for another reason does not bring.
#[derive(Debug)]
pub struct SteadyStream(TcpStream);

impl SteadyStream {
    /// Over this stream.
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
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, to: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            match self.0.try_read(to.initialize_unfilled()) {
                Ok(n) => {
                    to.advance(n);
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
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            match self.0.try_write(from) {
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
