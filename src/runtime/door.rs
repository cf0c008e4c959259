//! Where connections come in.

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

/// A connection that has come in, with the permit that it holds until its descriptor is free again.
pub(super) struct Newcomer {
    pub gate: ListenerId,
    pub stream: TcpStream,
    pub from: SocketAddr,
    pub permit: OwnedSemaphorePermit,
}

/// Connections that wait to be accepted, as the standard library has it.
const BACKLOG: u32 = 1024;
/// Failures in a row that are looked past when a listener's queue is emptied.
const ACCEPTS_MAX: usize = 64;
/// How often a listener is opened anew where the system refuses it, and the pause between: a second.
const LISTENS_MAX: usize = 50;
const LISTEN_PAUSE: Duration = Duration::from_millis(20);

/// Listens at an address, over failures that pass: the system is short of something, or the address is not there yet. What is wrong
/// for good, such as an address that another program has, is said at once.
///
/// # Errors
/// The system's reason.
pub(super) fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let passes = |e: &std::io::Error| {
        let short = [Errno::MFILE, Errno::NFILE, Errno::ADDRNOTAVAIL];
        is_transient(e) || short.iter().any(|errno| e.raw_os_error() == Some(errno.raw_os_error()))
    };
    for _ in 1..LISTENS_MAX {
        match try_listen(at) {
            Err(e) if passes(&e) => {
                warn!("{at}: {e}; trying again");
                // Nobody is served yet, so nobody waits for this.
                std::thread::sleep(LISTEN_PAUSE);
            }
            done => return done,
        }
    }
    try_listen(at)
}

/// Listens so that a second process of this node may listen beside this one (`SO_REUSEPORT`); where the system refuses
/// that, alone.
///
/// # Errors
/// The system's reason.
fn try_listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if let Err(e) = socket.set_reuseport(true) {
        warn!("{at}: no second process can listen beside this one: {e}");
    }
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Accepts connections, as many at a time as there are permits. Each holds one until its descriptor is free again, so
/// that what waits for the core, or sends its last bytes, counts too.
pub(super) async fn accept(
    gate: ListenerId,
    listener: Rc<TcpListener>,
    room: Arc<Semaphore>,
    events: mpsc::Sender<Event>,
) {
    let seldom = LogRateLimiter::default();
    loop {
        if room.available_permits() == 0 {
            let _ = events.send(Event::ListenerFull(gate)).await;
        }
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        // The way to the core is there before a connection is taken off the queue: this task may be ended at each wait,
        // and one that was accepted and not handed on would be reset with what it had asked.
        let Ok(way) = events.reserve().await else { return };
        match listener.accept().await {
            Ok((stream, from)) => way.send(Event::Accepted(Newcomer { gate, stream, from, permit })),
            // Out of descriptors, or the peer is gone already. Accepting again at once would spin.
            Err(e) => {
                drop(way);
                if let Some(held) = seldom.permit() {
                    warn!(gate = gate.0, held, "accept: {e}");
                }
                let _ = events.send(Event::ListenerFull(gate)).await;
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// The next connection that waits in a listener's queue, if any: what is there when the listener closes would be reset,
/// and its callers have been told that it is accepted.
pub(super) fn queued(listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
    for _ in 0..ACCEPTS_MAX {
        // Asked of the system itself, as the reactor may not know of it yet.
        match SockRef::from(listener).accept() {
            Ok((socket, from)) => {
                socket.set_nonblocking(true).ok()?;
                return Some((TcpStream::from_std(socket.into()).ok()?, from.as_socket()?));
            }
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return None,
            // One that is gone already, or a failure that passes: others wait behind it.
            Err(_) => {}
        }
    }
    None
}

/// Sets on a socket what its profile asks of the system: how a peer that went without a word is found, and how much
/// of an answer the system takes in before the peer has.
///
/// # Errors
/// The system's reason; the connection is served without.
pub fn set_socket_options(stream: &TcpStream, profile: &Profile) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    if let Some(l) = &profile.liveness {
        let (probe, timeout) = (Duration::from_micros(l.probe.0), Duration::from_micros(l.timeout.0));
        socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(probe).with_interval(probe))?;
        // It bounds the probes too, and what is sent and never acknowledged.
        socket.set_tcp_user_timeout(Some(timeout))?;
    }
    if let Some(bytes) = profile.send_buffer {
        socket.set_send_buffer_size(bytes)?;
    }
    Ok(())
}
