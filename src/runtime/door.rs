//! Listening sockets: binding them, accepting connections, and the socket options of a connection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rustix::io::Errno;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::sleep;
use tracing::warn;

use super::Event;
use crate::door::ListenerId;
use crate::door::profile::Profile;
use crate::log::LogRateLimiter;
use crate::stream::is_transient;

/// An accepted connection, with the permit that it holds until its descriptor is closed.
pub(super) struct AcceptedConnection {
    pub listener: ListenerId,
    pub stream: TcpStream,
    pub peer_address: SocketAddr,
    pub permit: OwnedSemaphorePermit,
}

/// Connections that the system queues until they are accepted, as many as the standard library asks for.
const BACKLOG: u32 = 1024;
/// Consecutive failures to accept that are skipped while a listener's queue is emptied.
const ACCEPT_FAILURES_MAX: usize = 64;
/// Pause after a failure to accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Attempts to open a listener that fails with a transient error. With [`LISTEN_RETRY_INTERVAL`] they take one second.
const LISTEN_ATTEMPTS_MAX: usize = 50;
/// Pause between two attempts to open a listener.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Listens at an address. Transient failures are retried: the system lacks a resource, or the address does not exist yet.
/// Permanent ones, such as an address that another program uses, are returned at once.
///
/// # Errors
/// The system's error of the last attempt.
pub(super) fn listen_with_retries(at: SocketAddr) -> std::io::Result<TcpListener> {
    let is_retryable = |e: &std::io::Error| {
        let retryable = [Errno::MFILE, Errno::NFILE, Errno::ADDRNOTAVAIL];
        is_transient(e) || retryable.iter().any(|errno| e.raw_os_error() == Some(errno.raw_os_error()))
    };
    for _ in 1..LISTEN_ATTEMPTS_MAX {
        match try_listen(at) {
            Err(e) if is_retryable(&e) => {
                warn!("{at}: {e}; trying again");
                // Blocking the thread is harmless, as the node does not serve yet.
                std::thread::sleep(LISTEN_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
    try_listen(at)
}

/// Listens once, with `SO_REUSEPORT` so that a second process of this node can listen at the same address. If the system
/// refuses that option, listens without it.
///
/// # Errors
/// The system's error.
fn try_listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if let Err(e) = socket.set_reuseport(true) {
        warn!("{at}: no second process can listen beside this one: {e}");
    }
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Accepts connections, as many at a time as there are permits. Each holds a permit until its descriptor is closed, so
/// that connections that wait for the core or send their last bytes count too.
pub(super) async fn accept_connections(
    id: ListenerId,
    listener: Rc<TcpListener>,
    permits: Arc<Semaphore>,
    events: mpsc::Sender<Event>,
) {
    let log_limiter = LogRateLimiter::default();
    loop {
        if permits.available_permits() == 0 {
            let _ = events.send(Event::ListenerFull(id)).await;
        }
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        // A place in the event queue is reserved before a connection is accepted: this task may be aborted at any await, and
        // a connection that was accepted but not passed on would be reset and its requests lost.
        let Ok(event_permit) = events.reserve().await else { return };
        match listener.accept().await {
            Ok((stream, peer_address)) => {
                let connection = AcceptedConnection { listener: id, stream, peer_address, permit };
                event_permit.send(Event::Accepted(connection));
            }
            // No descriptor is free, or the peer has already closed the connection. An immediate retry would spin.
            Err(e) => {
                drop(event_permit);
                if let Some(suppressed) = log_limiter.permit() {
                    warn!(listener = id.0, suppressed, "accept: {e}");
                }
                let _ = events.send(Event::ListenerFull(id)).await;
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Accepts the next connection in a listener's queue, if there is one. Connections that are still queued when the listener
/// closes would be reset, though their callers see them as established.
pub(super) fn accept_queued(listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
    for _ in 0..ACCEPT_FAILURES_MAX {
        // Bypasses the reactor, which may not have seen the connection yet.
        match SockRef::from(listener).accept() {
            Ok((socket, from)) => {
                socket.set_nonblocking(true).ok()?;
                return Some((TcpStream::from_std(socket.into()).ok()?, from.as_socket()?));
            }
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return None,
            // The peer has closed this connection, or the failure is transient: others may be queued behind it.
            Err(_) => {}
        }
    }
    None
}

/// Sets the socket options of a connection's profile: keep-alive probes and the user timeout, which detect a peer that has
/// vanished, and the size of the send buffer.
///
/// # Errors
/// The system's error. The connection can be served without the options.
pub fn set_socket_options(stream: &TcpStream, profile: &Profile) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    if let Some(liveness) = &profile.liveness {
        let (probe, timeout) =
            (Duration::from_micros(liveness.probe.0), Duration::from_micros(liveness.timeout.0));
        socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(probe).with_interval(probe))?;
        // Bounds the time of unanswered probes as well as that of sent bytes that are not acknowledged.
        socket.set_tcp_user_timeout(Some(timeout))?;
    }
    if let Some(bytes) = profile.send_buffer {
        socket.set_send_buffer_size(bytes)?;
    }
    Ok(())
}
