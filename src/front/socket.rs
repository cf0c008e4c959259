//! The socket of a connection, registered with the reactor or not.

use std::io;

use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// A socket that is registered with the reactor, is not, or has failed to change over.
pub(super) enum Stream {
    Registered(TcpStream),
    Deregistered(std::net::TcpStream),
    Broken,
}

impl Stream {
    pub(super) fn deregister(&mut self) {
        *self = match std::mem::replace(self, Stream::Broken) {
            Stream::Registered(s) => s.into_std().map_or(Stream::Broken, Stream::Deregistered),
            unchanged => unchanged,
        };
    }

    pub(super) fn register(&mut self) {
        *self = match std::mem::replace(self, Stream::Broken) {
            Stream::Deregistered(s) => TcpStream::from_std(s).map_or(Stream::Broken, Stream::Registered),
            unchanged => unchanged,
        };
    }

    pub(super) fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        match self {
            Stream::Registered(s) => s.try_read(to),
            Stream::Deregistered(s) => io::Read::read(s, to),
            Stream::Broken => Err(io::ErrorKind::ConnectionReset.into()),
        }
    }

    /// Reads from the operating system without the reactor's readiness, which may lag behind data that has just arrived.
    pub(super) fn read_now(&mut self, to: &mut [u8]) -> io::Result<usize> {
        match self {
            Stream::Registered(s) => io::Read::read(&mut &*SockRef::from(&*s), to),
            deregistered => deregistered.read(to),
        }
    }

    /// Peeks at one byte: 0 at the end of the input, 1 where a byte can be read.
    pub(super) fn peek(&self) -> io::Result<usize> {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        match self {
            Stream::Registered(s) => SockRef::from(s).peek(&mut byte),
            Stream::Deregistered(s) => SockRef::from(s).peek(&mut byte),
            Stream::Broken => Err(io::ErrorKind::ConnectionReset.into()),
        }
    }

    pub(super) fn write(&mut self, from: &[u8]) -> io::Result<usize> {
        self.register();
        match self {
            Stream::Registered(s) => s.try_write(from),
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
            // The read or write that follows reports an error of the socket.
            Stream::Registered(s) => _ = s.ready(interest).await,
            Stream::Deregistered(_) => std::future::pending().await,
            Stream::Broken => {}
        }
    }
}
