//! Where connections come in.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::sleep;
use tracing::warn;

use super::Event;
use crate::door::GateId;
use crate::door::profile::Profile;
use crate::log::Seldom;

/// A connection that has come in, with the permit that it holds until its descriptor is free again.
pub(super) struct Newcomer {
    pub gate: GateId,
    pub stream: TcpStream,
    pub from: SocketAddr,
    pub permit: OwnedSemaphorePermit,
}

/// Connections that wait to be accepted, as the standard library has it.
const BACKLOG: u32 = 1024;

/// Listens so that a second process of this node may listen beside this one (`SO_REUSEPORT`); where the system refuses
/// that, alone.
///
/// # Errors
/// The system's reason.
pub(super) fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
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
    gate: GateId,
    listener: Rc<TcpListener>,
    room: Arc<Semaphore>,
    events: mpsc::Sender<Event>,
) {
    let seldom = Seldom::default();
    loop {
        if room.available_permits() == 0 {
            let _ = events.send(Event::Full(gate)).await;
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
                if let Some(held) = seldom.now() {
                    warn!(gate = gate.0, held, "accept: {e}");
                }
                let _ = events.send(Event::Full(gate)).await;
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// The next connection that waits in a listener's queue, if any: what is there when the listener closes would be reset,
/// and its callers have been told that it is accepted.
pub(super) fn queued(listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
    // Asked of the system itself, as the reactor may not know of it yet.
    let (socket, from) = SockRef::from(listener).accept().ok()?;
    socket.set_nonblocking(true).ok()?;
    Some((TcpStream::from_std(socket.into()).ok()?, from.as_socket()?))
}

/// Sets on a socket what its profile asks of the system: how a peer that went without a word is found, and how much
/// of an answer the system takes in before the peer has.
///
/// # Errors
/// The system's reason; the connection is served without.
pub fn tune(stream: &TcpStream, profile: &Profile) -> std::io::Result<()> {
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
