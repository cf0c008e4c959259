//! The link between two processes of a node: a Unix socket at a path that both know, over which the incumbent passes its
//! listeners to the successor and both exchange messages.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use tokio::io::Interest;
use tokio::net::{TcpListener, UdpSocket, UnixListener, UnixStream};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Decoder, Encoder, Framed};
use tracing::{debug, info, warn};

use super::{MessageBatch, PEER_TIMEOUT, PeerLinkEvent, ProcessDescriptor, SuccessorHello};
use crate::runtime::Event;
use crate::service::NodeOrder;
use crate::service::handover::{
    HandoverCodec, HandoverError, HandoverMessage, MAX_LISTENERS, PeerFeatures, SharedZoneStatuses,
};

/// What the incumbent gives to a successor that it accepts.
pub(in crate::runtime) struct Welcome {
    pub order: NodeOrder,
    pub listeners: Vec<(SocketAddr, Rc<TcpListener>)>,
    pub coap_socket: Option<Rc<UdpSocket>>,
    pub zones: Option<SharedZoneStatuses>,
    pub features: PeerFeatures,
    pub outgoing: mpsc::Receiver<MessageBatch>,
    /// Ends the link.
    pub give_up: Rc<Notify>,
}

/// What a successor has received from the incumbent.
pub(in crate::runtime) struct Inherited {
    /// The operators' last order to the node.
    pub order: NodeOrder,
    /// The incumbent's listeners.
    pub listeners: Vec<std::net::TcpListener>,
    /// The socket of the incumbent's CoAP front.
    pub coap_socket: Option<std::net::UdpSocket>,
    /// The statuses of the zones that the incumbent follows.
    pub zones: Option<SharedZoneStatuses>,
    /// What the two processes exchange beyond writes.
    pub features: PeerFeatures,
    /// The incumbent.
    pub process: Option<ProcessDescriptor>,
    pub link: Framed<UnixStream, HandoverCodec>,
}

/// The path of the Unix socket on which a node's incumbent accepts successors: in the folder `TMPDIR`, which the platform
/// keeps for the node. `None` if `TMPDIR` is not set; there is no handover then.
pub(in crate::runtime) fn socket_path(name: &str, listen: Option<SocketAddr>) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|d| !d.is_empty())?;
    // A node's name may hold any character, such as a path separator. The file must stay in the folder.
    let plain: String =
        name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).take(32).collect();
    let port = listen.map_or(0, |address| address.port());
    Some(PathBuf::from(folder).join(format!("holdlift-{plain}-{port}.sock")))
}

/// What came of the attempt to take over from an incumbent.
pub(in crate::runtime) enum Takeover {
    /// The incumbent has accepted this process as its successor.
    Accepted(Box<Inherited>),
    /// Another process of this node is there, or was there a moment ago, and nothing is known of what it does.
    Impossible(Option<ProcessDescriptor>),
    /// No process of this node is there.
    NoIncumbent,
}

/// Asks the incumbent process, if there is one, to accept this process as its successor. If it does not, this process has to
/// open its own listeners.
pub(in crate::runtime) async fn request_handover(path: &Path, hello: HandoverMessage) -> Takeover {
    let mut process = None;
    let handover = timeout(PEER_TIMEOUT, async {
        let stream = UnixStream::connect(path).await?;
        process = ProcessDescriptor::of_peer(&stream);
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
            Takeover::Accepted(Box::new(Inherited { process, ..inherited }))
        }
        Ok(Ok(None)) => {
            warn!("another process serves and has a successor already, or is leaving; listening beside it");
            Takeover::Impossible(process)
        }
        // No process listens at the path, as with most starts.
        Ok(Err(HandoverError::Io(e)))
            if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) =>
        {
            debug!("{}: no process to take over from: {e}", path.display());
            Takeover::NoIncumbent
        }
        Ok(Err(HandoverError::Io(e))) => {
            debug!("{}: no process to take over from: {e}", path.display());
            Takeover::Impossible(process)
        }
        Ok(Err(e)) => {
            warn!("{}: {e}; listening by itself", path.display());
            Takeover::Impossible(process)
        }
        Err(_) => {
            warn!("{}: the incumbent process did not answer in time; listening by itself", path.display());
            Takeover::Impossible(process)
        }
    }
}

/// Reads the incumbent's first message and the descriptors that come with it. `None` if the incumbent rejects the successor.
async fn receive_welcome(stream: UnixStream) -> Result<Option<Inherited>, HandoverError> {
    let (mut input, mut descriptors) = (BytesMut::new(), Vec::new());
    let (order, addresses, has_coap_socket, zones, features) = loop {
        let mut buffer = [0; 4096];
        let n =
            stream.async_io(Interest::READABLE, || receive(&stream, &mut buffer, &mut descriptors)).await?;
        if n == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        input.extend_from_slice(&buffer[..n]);
        match HandoverCodec.decode(&mut input)? {
            Some(HandoverMessage::Welcome { order, listeners, has_coap_socket, zones, features }) => {
                break (order, listeners, has_coap_socket, zones, features);
            }
            Some(_) => return Ok(None),
            None => {}
        }
    };
    // It comes behind the listeners.
    let coap_socket = descriptors.pop_if(|_| has_coap_socket).map(std::net::UdpSocket::from);
    let listeners: Vec<_> = descriptors.into_iter().map(std::net::TcpListener::from).collect();
    // Descriptors that are not listeners at the announced addresses are not used.
    let match_addresses = listeners.iter().map(|l| l.local_addr().ok()).eq(addresses.into_iter().map(Some));
    let mut link = Framed::new(stream, HandoverCodec);
    link.read_buffer_mut().extend_from_slice(&input);
    let listeners = if match_addresses { listeners } else { Vec::new() };
    Ok(Some(Inherited { order, listeners, coap_socket, zones, features, process: None, link }))
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
    let process = ProcessDescriptor::of_peer(&stream);
    let mut link = Framed::new(stream, HandoverCodec);
    let Ok(Some(Ok(HandoverMessage::Hello { name, listen, features }))) =
        timeout(PEER_TIMEOUT, link.next()).await
    else {
        return;
    };
    let (welcome, decision) = oneshot::channel();
    let hello = SuccessorHello { link_id, name, listen, features, process, welcome };
    if events.send(Event::Handover(PeerLinkEvent::Hello(hello))).await.is_err() {
        return;
    }
    let Ok(welcome) = decision.await else {
        let _ = timeout(PEER_TIMEOUT, link.send(HandoverMessage::Busy)).await;
        return;
    };
    let (listeners, mut descriptors): (Vec<_>, Vec<_>) =
        welcome.listeners.iter().map(|(address, listener)| (*address, listener.as_fd())).unzip();
    let mut bytes = BytesMut::new();
    let (order, zones, features) = (welcome.order, welcome.zones, welcome.features);
    let has_coap_socket = welcome.coap_socket.is_some();
    descriptors.extend(welcome.coap_socket.as_ref().map(|socket| socket.as_fd()));
    let first = HandoverMessage::Welcome { order, listeners, has_coap_socket, zones, features };
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
    drop((welcome.listeners, welcome.coap_socket));
    if sent {
        exchange_messages(link_id, link, welcome.outgoing, welcome.give_up, events).await;
    } else {
        let _ = events
            .send(Event::Handover(PeerLinkEvent::LinkEnded(link_id, "the welcome could not be sent")))
            .await;
    }
}

/// Carries messages both ways until the link ends or this process gives it up.
pub(super) async fn exchange_messages(
    link_id: u64,
    link: Framed<UnixStream, HandoverCodec>,
    mut outgoing: mpsc::Receiver<MessageBatch>,
    give_up: Rc<Notify>,
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
        () = give_up.notified() => "given up",
    };
    drop((sink, stream));
    let _ = events.send(Event::Handover(PeerLinkEvent::LinkEnded(link_id, reason))).await;
}
