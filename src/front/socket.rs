//! A connection's socket: on the reactor, or resting off it.

use std::io;

use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// A socket, watched by the system or left alone.
pub(super) enum Stream {
    Live(TcpStream),
    Resting(std::net::TcpStream),
    Broken,
}

impl Stream {
    pub(super) fn rest(&mut self) {
        *self = match std::mem::replace(self, Stream::Broken) {
            Stream::Live(s) => s.into_std().map_or(Stream::Broken, Stream::Resting),
            same => same,
        };
    }

    pub(super) fn wake(&mut self) {
        *self = match std::mem::replace(self, Stream::Broken) {
            Stream::Resting(s) => TcpStream::from_std(s).map_or(Stream::Broken, Stream::Live),
            same => same,
        };
    }

    pub(super) fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        match self {
            Stream::Live(s) => s.try_read(to),
            Stream::Resting(s) => io::Read::read(s, to),
            Stream::Broken => Err(io::ErrorKind::ConnectionReset.into()),
        }
    }

    /// The same, asked of the system itself: what has come in the instant of a close is not known to the reactor yet.
    pub(super) fn read_now(&mut self, to: &mut [u8]) -> io::Result<usize> {
        match self {
            Stream::Live(s) => io::Read::read(&mut &*SockRef::from(&*s), to),
            resting => resting.read(to),
        }
    }

    /// Whether there is something to read, or the end, without reading it.
    pub(super) fn peek(&self) -> io::Result<usize> {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        match self {
            Stream::Live(s) => SockRef::from(s).peek(&mut byte),
            Stream::Resting(s) => SockRef::from(s).peek(&mut byte),
            Stream::Broken => Err(io::ErrorKind::ConnectionReset.into()),
        }
    }

    pub(super) fn write(&mut self, from: &[u8]) -> io::Result<usize> {
        self.wake();
        match self {
            Stream::Live(s) => s.try_write(from),
            _ => Err(io::ErrorKind::ConnectionReset.into()),
        }
    }

    pub(super) async fn ready(&self, read: bool, write: bool) {
        let interest = match (read, write) {
            (true, true) => Interest::READABLE | Interest::WRITABLE,
            (true, false) => Interest::READABLE,
            (false, true) => Interest::WRITABLE,
            (false, false) => return std::future::pending().await,
        };
        match self {
            // An error shows in the read or write that follows.
            Stream::Live(s) => _ = s.ready(interest).await,
            Stream::Resting(_) => std::future::pending().await,
            Stream::Broken => {}
        }
    }
}
