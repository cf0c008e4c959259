//! The I/O of a hot restart: the successor process takes over from the incumbent process of the same node with the
//! protocol of [`crate::service::handover`].
//!
//! No failure here keeps a node from starting and serving. A process opens its own listeners if it has no Unix socket, if
//! the socket's path holds a stale socket or another file, if the peer does not speak the protocol, or if the peer dies
//! during the handover.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use tokio::io::Interest;
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Decoder, Encoder, Framed};
use tracing::{debug, info, warn};

use super::{Event, Runtime};
use crate::idempotency::{Change, HandoverRole};
use crate::interface::Micros;
use crate::node::Input;
use crate::service::handover::{HandoverCodec, HandoverError, HandoverMessage, MAX_LISTENERS, WIRE_NOW};
use crate::time::process;

/// How long each process waits for the other's first message, and the successor for `TakeoverConfirmed`. A platform that
/// replaces a process gives the successor a few seconds to start; an incumbent that hangs must not use them up.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Capacity of the queue to the other process, in batches of messages. The link is dropped when the queue is full.
const QUEUE_BATCHES: usize = 1024;
/// Upper bound on the longest request deadline in the estimate of the time until the platform kills a process that has had
/// the notice to leave.
const MAX_COUNTED_DEADLINE: Micros = Micros::from_millis(3_000);
/// The platform kills a process no sooner than this long after the longest deadline, counted from the notice to leave.
const KILL_MARGIN: Micros = Micros::from_millis(700);
/// A replaced process without open requests stays for this long, for requests that callers sent before they learned that
/// it drains.
const LATE_REQUEST_GRACE: Micros = Micros::from_millis(250);

/// Each process's share of the machine while both serve.
const MACHINE_SHARE_OF_EACH: f64 = 0.5;

/// Messages that are sent to the other process with one flush.
type MessageBatch = Vec<HandoverMessage>;

/// An event of the link to the other process, for the core's task. The link number tells the current link from earlier
/// ones.
pub(super) enum PeerLinkEvent {
    /// A successor has connected. The accepted handover is sent to it through `welcome`; dropping `welcome` rejects the
    /// successor.
    Hello { link_id: u64, name: String, listen: Option<SocketAddr>, welcome: oneshot::Sender<Welcome> },
    /// A message has arrived on this link.
    Message(u64, HandoverMessage),
    /// This link has ended, for this reason.
    LinkEnded(u64, &'static str),
    /// The successor's wait for `TakeoverConfirmed` has timed out.
    ConfirmationTimeout,
}

/// What the incumbent gives to a successor that it accepts.
pub(super) struct Welcome {
    is_out_of_service: bool,
    listeners: Vec<(SocketAddr, Rc<TcpListener>)>,
    outgoing: mpsc::Receiver<MessageBatch>,
}

/// The link to the other process, as the core's task keeps it.
pub(super) struct PeerLink {
    id: u64,
    outgoing: mpsc::Sender<MessageBatch>,
    /// This process is the successor, and the other one the incumbent.
    is_successor: bool,
    /// The successor has sent `Ready`.
    is_ready: bool,
}

/// What a successor has received from the incumbent.
pub(super) struct Inherited {
    /// An operator has taken the node out of service.
    pub is_out_of_service: bool,
    /// The incumbent's listeners.
    pub listeners: Vec<std::net::TcpListener>,
    link: Framed<UnixStream, HandoverCodec>,
}

/// The path of the Unix socket on which a node's incumbent accepts successors: in the folder `TMPDIR`, which the platform
/// keeps for the node. `None` if `TMPDIR` is not set; there is no handover then.
pub(super) fn socket_path(name: &str, listen: Option<SocketAddr>) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|d| !d.is_empty())?;
    // A node's name may hold any character, such as a path separator. The file must stay in the folder.
    let plain: String =
        name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).take(32).collect();
    let port = listen.map_or(0, |address| address.port());
    Some(PathBuf::from(folder).join(format!("holdlift-{plain}-{port}.sock")))
}

/// Asks the incumbent process, if there is one, to accept this process as its successor. `None` if this process has to open
/// its own listeners.
pub(super) async fn request_handover(
    path: &Path,
    name: &str,
    listen: Option<SocketAddr>,
) -> Option<Inherited> {
    let handover = timeout(PEER_TIMEOUT, async {
        let stream = UnixStream::connect(path).await?;
        let hello = HandoverMessage::Hello { name: name.to_owned(), listen };
        let mut bytes = BytesMut::new();
        HandoverCodec.encode(hello, &mut bytes)?;
        let mut sent = 0;
        while sent < bytes.len() {
            stream.writable().await?;
            match stream.try_write(&bytes[sent..]) {
                Ok(n) => sent += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e.into()),
            }
        }
        receive_welcome(stream).await
    });
    match handover.await {
        Ok(Ok(Some(inherited))) => {
            info!("takes over from a process that serves: {} listeners", inherited.listeners.len());
            Some(inherited)
        }
        Ok(Ok(None)) => {
            warn!("another process serves and has a successor already, or is leaving; listening beside it");
            None
        }
        // No process listens at the path, as with most starts.
        Ok(Err(HandoverError::Io(e))) => {
            debug!("{}: no process to take over from: {e}", path.display());
            None
        }
        Ok(Err(e)) => {
            warn!("{}: {e}; listening by itself", path.display());
            None
        }
        Err(_) => {
            warn!("{}: the incumbent process did not answer in time; listening by itself", path.display());
            None
        }
    }
}

/// Reads the incumbent's first message and the descriptors that come with it. `None` if the incumbent rejects the successor.
async fn receive_welcome(stream: UnixStream) -> Result<Option<Inherited>, HandoverError> {
    let (mut input, mut descriptors) = (BytesMut::new(), Vec::new());
    let (is_out_of_service, addresses) = loop {
        let mut buffer = [0; 4096];
        let n =
            stream.async_io(Interest::READABLE, || receive(&stream, &mut buffer, &mut descriptors)).await?;
        if n == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        input.extend_from_slice(&buffer[..n]);
        match HandoverCodec.decode(&mut input)? {
            Some(HandoverMessage::Welcome { out_of_service, listeners }) => {
                break (out_of_service, listeners);
            }
            Some(_) => return Ok(None),
            None => {}
        }
    };
    let listeners: Vec<_> = descriptors.into_iter().map(std::net::TcpListener::from).collect();
    // Descriptors that are not listeners at the announced addresses are not used.
    let match_addresses = listeners.iter().map(|l| l.local_addr().ok()).eq(addresses.into_iter().map(Some));
    let mut link = Framed::new(stream, HandoverCodec);
    link.read_buffer_mut().extend_from_slice(&input);
    let listeners = if match_addresses { listeners } else { Vec::new() };
    Ok(Some(Inherited { is_out_of_service, listeners, link }))
}

/// Reads bytes and the descriptors that come with them.
fn receive(stream: &UnixStream, buffer: &mut [u8], descriptors: &mut Vec<OwnedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let received = recvmsg(stream, &mut [IoSliceMut::new(buffer)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(fds) = message {
            descriptors.extend(fds);
        }
    }
    Ok(received.bytes)
}

/// Accepts successors at the node's socket path for as long as the process lives. If the socket can't be opened the node
/// serves without it, and a successor opens its own listeners.
pub(super) async fn accept_successors(path: PathBuf, events: mpsc::Sender<Event>) {
    let listener = match bind_socket(&path) {
        Ok(listener) => listener,
        Err(e) => return warn!("{}: {e}; a successor will listen beside this process", path.display()),
    };
    let mut link_id = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PEER_TIMEOUT).await;
            continue;
        };
        link_id += 1;
        tokio::task::spawn_local(serve_successor(link_id, stream, events.clone()));
    }
}

/// Binds the node's socket, in place of one that an earlier process has left behind. The socket is bound under another name
/// and then renamed, so that a successor never finds a socket without a listener.
fn bind_socket(path: &Path) -> io::Result<UnixListener> {
    use std::os::unix::fs::FileTypeExt;
    let existing = std::fs::symlink_metadata(path);
    if existing.is_ok_and(|m| !m.file_type().is_socket()) {
        return Err(io::Error::other("a file that is no socket is in the way"));
    }
    let temporary = path.with_extension(std::process::id().to_string());
    // An earlier process with the same id may have left its file behind.
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    std::fs::rename(&temporary, path)?;
    Ok(listener)
}

/// Sends the welcome to a successor that the core accepts, and exchanges messages with it from then on.
async fn serve_successor(link_id: u64, stream: UnixStream, events: mpsc::Sender<Event>) {
    let mut link = Framed::new(stream, HandoverCodec);
    let Ok(Some(Ok(HandoverMessage::Hello { name, listen }))) = timeout(PEER_TIMEOUT, link.next()).await
    else {
        return;
    };
    let (welcome, decision) = oneshot::channel();
    if events.send(Event::Handover(PeerLinkEvent::Hello { link_id, name, listen, welcome })).await.is_err() {
        return;
    }
    let Ok(welcome) = decision.await else {
        let _ = timeout(PEER_TIMEOUT, link.send(HandoverMessage::Busy)).await;
        return;
    };
    let (listeners, descriptors): (Vec<_>, Vec<_>) =
        welcome.listeners.iter().map(|(address, listener)| (*address, listener.as_fd())).unzip();
    let mut bytes = BytesMut::new();
    let first = HandoverMessage::Welcome { out_of_service: welcome.is_out_of_service, listeners };
    let sent = match HandoverCodec.encode(first, &mut bytes) {
        Ok(()) => {
            let stream = link.get_ref();
            let send = stream.async_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                if !control.push(SendAncillaryMessage::ScmRights(&descriptors)) {
                    return Err(io::Error::other("too many listeners to pass to the successor"));
                }
                Ok(sendmsg(stream, &[IoSlice::new(&bytes)], &mut control, SendFlags::NOSIGNAL)?)
            });
            matches!(timeout(PEER_TIMEOUT, send).await, Ok(Ok(n)) if n == bytes.len())
        }
        Err(_) => false,
    };
    drop(welcome.listeners);
    if sent {
        exchange_messages(link_id, link, welcome.outgoing, events).await;
    } else {
        let _ = events
            .send(Event::Handover(PeerLinkEvent::LinkEnded(link_id, "the welcome could not be sent")))
            .await;
    }
}

/// Carries messages both ways until the link ends.
async fn exchange_messages(
    link_id: u64,
    link: Framed<UnixStream, HandoverCodec>,
    mut outgoing: mpsc::Receiver<MessageBatch>,
    events: mpsc::Sender<Event>,
) {
    let (mut sink, mut stream) = link.split();
    let write = async {
        while let Some(batch) = outgoing.recv().await {
            for message in batch {
                if sink.feed(message).await.is_err() {
                    return "can't be written to";
                }
            }
            if sink.flush().await.is_err() {
                return "can't be written to";
            }
        }
        "dropped"
    };
    let read = async {
        loop {
            match stream.next().await {
                Some(Ok(message)) => {
                    if events.send(Event::Handover(PeerLinkEvent::Message(link_id, message))).await.is_err() {
                        return "dropped";
                    }
                }
                Some(Err(HandoverError::Io(_))) | None => return "closed",
                Some(Err(_)) => return "received bytes that are not a handover message",
            }
        }
    };
    let reason = tokio::select! {
        reason = write => reason,
        reason = read => reason,
    };
    let _ = events.send(Event::Handover(PeerLinkEvent::LinkEnded(link_id, reason))).await;
}

/// Changes in the form in which they are sent. Each process has its own monotonic clock, so times are sent relative to the
/// time of sending, which is [`WIRE_NOW`] in the message.
fn to_wire(now: Micros, changes: Vec<Change>) -> MessageBatch {
    changes.into_iter().map(|change| HandoverMessage::Write(change.rebased(now, WIRE_NOW))).collect()
}

impl Runtime {
    /// Makes this process the successor of a serving incumbent. It takes over the inherited listeners and service state, and
    /// listens once its agent is connected.
    pub(super) fn become_successor(&mut self, inherited: Inherited) {
        if inherited.is_out_of_service {
            // An order to the incumbent to go out of service concerns the whole node.
            let _ = self.service.with(|s| s.apply_order(crate::service::ServiceOrder::OutOfService));
        }
        for listener in inherited.listeners {
            let address = listener.local_addr();
            if let (Ok(address), Ok(())) = (address, listener.set_nonblocking(true))
                && let Ok(listener) = TcpListener::from_std(listener)
            {
                self.inherited_listeners.push((address, listener));
            }
        }
        let (outgoing, outgoing_receiver) = mpsc::channel(QUEUE_BATCHES);
        let now = process::now();
        self.node.set_machine_share(now, MACHINE_SHARE_OF_EACH, &mut self.outputs);
        let known_writes = to_wire(now, self.node.idempotency.start_sharing(now, HandoverRole::Successor));
        let _ = outgoing.try_send(known_writes);
        self.peer_process = Some(PeerLink { id: 0, outgoing, is_successor: true, is_ready: false });
        let events = self.events.clone();
        tokio::task::spawn_local(exchange_messages(0, inherited.link, outgoing_receiver, events));
    }

    /// Starts to take clients, now that the agent is connected. A successor first sends `Ready` to its incumbent and does
    /// not report itself ready elsewhere before the confirmation, as the incumbent's notice to leave may follow that report
    /// at once.
    pub(super) fn start_taking_clients(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        match &mut self.peer_process {
            Some(link) if link.is_successor && !link.is_ready => {
                link.is_ready = true;
                let _ = link.outgoing.try_send(vec![HandoverMessage::Ready]);
                let events = self.events.clone();
                tokio::task::spawn_local(async move {
                    sleep(PEER_TIMEOUT).await;
                    let _ = events.send(Event::Handover(PeerLinkEvent::ConfirmationTimeout)).await;
                });
            }
            Some(link) if link.is_successor => {}
            _ => self.start_serving()?,
        }
        Ok(())
    }

    /// Handles an event of the link to the other process. Events of earlier links are ignored.
    pub(super) fn handle_peer_link_event(
        &mut self,
        now: Micros,
        event: PeerLinkEvent,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let is_current = |link: &Option<PeerLink>, id| link.as_ref().is_some_and(|l| l.id == id);
        match event {
            PeerLinkEvent::Hello { link_id, name, listen, welcome } => {
                let is_same_node = name == self.config.name && listen == self.config.listen;
                if self.peer_process.is_some() || self.stop_at.is_some() || !is_same_node {
                    warn!("a successor was rejected: name {name}, same node {is_same_node}");
                    return Ok(());
                }
                info!("an heir is there");
                let (outgoing, outgoing_receiver) = mpsc::channel(QUEUE_BATCHES);
                let known_writes =
                    to_wire(now, self.node.idempotency.start_sharing(now, HandoverRole::Incumbent));
                let _ = outgoing.try_send(known_writes);
                self.peer_process =
                    Some(PeerLink { id: link_id, outgoing, is_successor: false, is_ready: false });
                let listeners = self.listeners.iter().map(|o| (o.address, o.listener.clone())).collect();
                let is_out_of_service = self.service.with(|s| s.is_out_by_order());
                let _ = welcome.send(Welcome { is_out_of_service, listeners, outgoing: outgoing_receiver });
            }
            PeerLinkEvent::Message(id, message) if is_current(&self.peer_process, id) => match message {
                HandoverMessage::Write(change) => {
                    let change = change.rebased(WIRE_NOW, now);
                    self.node.handle_input(now, Input::ChangeReceived(change), &mut self.outputs);
                }
                HandoverMessage::Ready => {
                    if let Some(link) = self.peer_process.as_mut().filter(|l| !l.is_successor) {
                        info!("the heir takes clients; a notice to leave replaces this process from here on");
                        link.is_ready = true;
                        let _ = link.outgoing.try_send(vec![HandoverMessage::TakeoverConfirmed]);
                        self.node.set_machine_share(now, MACHINE_SHARE_OF_EACH, &mut self.outputs);
                    }
                }
                HandoverMessage::TakeoverConfirmed
                    if self.peer_process.as_ref().is_some_and(|l| l.is_successor) =>
                {
                    self.start_serving()?
                }
                _ => {}
            },
            PeerLinkEvent::LinkEnded(id, reason) if is_current(&self.peer_process, id) => {
                let was_successor = self.peer_process.take().is_some_and(|l| l.is_successor);
                self.node.handle_input(now, Input::PeerProcessEnded, &mut self.outputs);
                self.node.set_machine_share(now, 1.0, &mut self.outputs);
                info!(
                    "the {} is gone: {reason}",
                    if was_successor { "process before this one" } else { "successor" }
                );
                if was_successor {
                    if self.node.is_started() && self.stop_at.is_none() {
                        self.start_serving()?;
                    }
                    self.await_successors();
                }
            }
            PeerLinkEvent::ConfirmationTimeout
                if self.peer_process.as_ref().is_some_and(|l| l.is_successor)
                    && !self.service.with(|s| s.is_ready()) =>
            {
                warn!("the process before this one does not answer; taking clients");
                self.start_serving()?;
            }
            PeerLinkEvent::Message(..)
            | PeerLinkEvent::LinkEnded(..)
            | PeerLinkEvent::ConfirmationTimeout => {}
        }
        Ok(())
    }

    /// Accepts successors of this process from now on.
    pub(super) fn await_successors(&mut self) {
        if let Some(path) = socket_path(&self.config.name, self.config.listen) {
            tokio::task::spawn_local(accept_successors(path, self.events.clone()));
        }
    }

    /// Sends the latest changes to writes to the other process, if there is one. A link whose queue is full is dropped.
    pub(super) fn send_write_changes(&mut self) {
        let Some(link) = &self.peer_process else { return };
        let take_changes = to_wire(process::now(), self.node.idempotency.take_changes());
        if !take_changes.is_empty() && link.outgoing.try_send(take_changes).is_err() {
            warn!("the queue to the other process of this node is full; the link is dropped");
            self.peer_process = None;
            let now = process::now();
            self.node.handle_input(now, Input::PeerProcessEnded, &mut self.outputs);
            self.node.set_machine_share(now, 1.0, &mut self.outputs);
        }
    }

    /// Whether a successor is ready, so that a notice to leave makes this process hand over to it.
    pub(super) fn has_ready_successor(&self) -> bool {
        self.peer_process.as_ref().is_some_and(|l| !l.is_successor && l.is_ready)
    }

    /// The earliest time at which the platform may kill this process if the notice to leave comes now, whether or not the
    /// process is replaced.
    pub(super) fn earliest_kill(&self, now: Micros) -> Micros {
        let longest_wait = self.settings.get().longest_deadline().min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
        now + Micros::from_millis(self.config.stop_ms).min(longest_wait)
    }

    /// Whether this process is replaced, has no open request and has waited for late ones.
    pub(super) fn has_handed_over(&self, now: Micros) -> bool {
        self.replaced_at.is_some_and(|at| now >= at + LATE_REQUEST_GRACE) && self.node.is_idle()
    }
}
