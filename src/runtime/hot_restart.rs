//! Taking over from a process of this node that still serves, and being taken over from: the driver of
//! [`crate::service::handover`].
//!
//! Whatever goes wrong here, a node starts and serves: without a Unix socket, with a stale or foreign file in its place,
//! with a peer that is no holder, or one that dies half way, it listens by itself.

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
use crate::idempotency::{Change, Side};
use crate::interface::Micros;
use crate::node::Input;
use crate::service::handover::{HandoverCodec, HandoverError, HandoverMessage, MAX_LISTENERS, WIRE_NOW};
use crate::time::process;

/// How long either side waits for the other's first words, and the heir for the word that it may take clients. A platform
/// that replaces a process gives it seconds; a holder that hangs must not use them up.
const PATIENCE: Duration = Duration::from_millis(800);
/// Batches of messages on their way to the other process. It is dropped if it lags behind further.
const QUEUE: usize = 1024;
/// The notice to leave comes at least this long before a process is killed, where deadlines are longer.
const LONGEST: Micros = Micros::from_millis(3_000);
/// And this much more than the longest deadline.
const SLACK: Micros = Micros::from_millis(700);
/// A replaced process that holds nothing more stays this long, for requests that crossed its last call.
const CROSSED: Micros = Micros::from_millis(250);

/// Each process's part of the machine while there are two.
const HALF: f64 = 0.5;

/// What one process says to the other, in batches.
type Said = Vec<HandoverMessage>;

/// What reaches the core's task from the other process. The number tells one link from another.
pub(super) enum PeerProcess {
    /// An heir is there. It gets what it is welcomed with, or nothing.
    Hello { n: u64, name: String, listen: Option<SocketAddr>, welcome: oneshot::Sender<Welcome> },
    /// It says something.
    Said(u64, HandoverMessage),
    /// The link is over.
    Gone(u64, &'static str),
    /// The holder has been waited for long enough.
    Waited,
}

/// What an heir is welcomed with.
pub(super) struct Welcome {
    aside: bool,
    listeners: Vec<(SocketAddr, Rc<TcpListener>)>,
    queue: mpsc::Receiver<Said>,
}

/// The other process, as the core's task knows it.
pub(super) struct Link {
    n: u64,
    queue: mpsc::Sender<Said>,
    /// This one is the heir, and the other the holder.
    heir: bool,
    /// The heir could take clients.
    ready: bool,
}

/// What an heir has got.
pub(super) struct Inherited {
    pub aside: bool,
    pub listeners: Vec<std::net::TcpListener>,
    link: Framed<UnixStream, HandoverCodec>,
}

/// Where the processes of a node meet: in the folder that the platform keeps for it. Without one they don't.
pub(super) fn socket_path(name: &str, listen: Option<SocketAddr>) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|d| !d.is_empty())?;
    // A name may hold anything; the file's must not lead elsewhere.
    let plain: String =
        name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).take(32).collect();
    let port = listen.map_or(0, |at| at.port());
    Some(PathBuf::from(folder).join(format!("holdlift-{plain}-{port}.sock")))
}

/// Asks the process that serves, if there is one, to be its heir.
pub(super) async fn request_handover(
    place: &Path,
    name: &str,
    listen: Option<SocketAddr>,
) -> Option<Inherited> {
    let said = timeout(PATIENCE, async {
        let stream = UnixStream::connect(place).await?;
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
        welcomed(stream).await
    });
    match said.await {
        Ok(Ok(Some(inherited))) => {
            info!("takes over from a process that serves: {} listeners", inherited.listeners.len());
            Some(inherited)
        }
        Ok(Ok(None)) => {
            warn!("another process serves and has an heir already, or leaves; listening beside it");
            None
        }
        // Nobody is there, which is how most starts are.
        Ok(Err(HandoverError::Io(e))) => {
            debug!("{}: {e}", place.display());
            None
        }
        Ok(Err(e)) => {
            warn!("{}: {e}; listening by itself", place.display());
            None
        }
        Err(_) => {
            warn!("{}: no welcome; listening by itself", place.display());
            None
        }
    }
}

/// Reads the holder's first message and the descriptors that come with it.
async fn welcomed(stream: UnixStream) -> Result<Option<Inherited>, HandoverError> {
    let (mut input, mut passed) = (BytesMut::new(), Vec::new());
    let (aside, addresses) = loop {
        let mut buffer = [0; 4096];
        let n = stream.async_io(Interest::READABLE, || receive(&stream, &mut buffer, &mut passed)).await?;
        if n == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        input.extend_from_slice(&buffer[..n]);
        match HandoverCodec.decode(&mut input)? {
            Some(HandoverMessage::Welcome { out_of_service: aside, listeners }) => break (aside, listeners),
            Some(_) => return Ok(None),
            None => {}
        }
    };
    let listeners: Vec<_> = passed.into_iter().map(std::net::TcpListener::from).collect();
    // What is not the listener that it is said to be is not used.
    let same = listeners.iter().map(|l| l.local_addr().ok()).eq(addresses.into_iter().map(Some));
    let mut link = Framed::new(stream, HandoverCodec);
    link.read_buffer_mut().extend_from_slice(&input);
    Ok(Some(Inherited { aside, listeners: if same { listeners } else { Vec::new() }, link }))
}

fn receive(stream: &UnixStream, buffer: &mut [u8], passed: &mut Vec<OwnedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let got = recvmsg(stream, &mut [IoSliceMut::new(buffer)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(fds) = message {
            passed.extend(fds);
        }
    }
    Ok(got.bytes)
}

/// Welcomes heirs at the node's place for as long as the process lives. Where there can be no such place the node serves
/// without.
pub(super) async fn welcome(place: PathBuf, events: mpsc::Sender<Event>) {
    let listener = match take_place(&place) {
        Ok(listener) => listener,
        Err(e) => return warn!("{}: {e}; a successor will listen beside this process", place.display()),
    };
    let mut n = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PATIENCE).await;
            continue;
        };
        n += 1;
        tokio::task::spawn_local(serve_heir(n, stream, events.clone()));
    }
}

/// Listens at the place, which another process may have left behind. Under another name first, so that nobody ever finds
/// a place where nobody listens.
fn take_place(place: &Path) -> io::Result<UnixListener> {
    use std::os::unix::fs::FileTypeExt;
    let there = std::fs::symlink_metadata(place);
    if there.is_ok_and(|m| !m.file_type().is_socket()) {
        return Err(io::Error::other("a file that is no socket is in the way"));
    }
    let own = place.with_extension(std::process::id().to_string());
    // One of a former process under the same number.
    let _ = std::fs::remove_file(&own);
    let listener = UnixListener::bind(&own)?;
    std::fs::rename(&own, place)?;
    Ok(listener)
}

async fn serve_heir(n: u64, stream: UnixStream, events: mpsc::Sender<Event>) {
    let mut link = Framed::new(stream, HandoverCodec);
    let Ok(Some(Ok(HandoverMessage::Hello { name, listen }))) = timeout(PATIENCE, link.next()).await else {
        return;
    };
    let (welcome, welcomed) = oneshot::channel();
    if events.send(Event::Handover(PeerProcess::Hello { n, name, listen, welcome })).await.is_err() {
        return;
    }
    let Ok(w) = welcomed.await else {
        let _ = timeout(PATIENCE, link.send(HandoverMessage::Busy)).await;
        return;
    };
    let (listeners, rights): (Vec<_>, Vec<_>) = w.listeners.iter().map(|(at, l)| (*at, l.as_fd())).unzip();
    let mut bytes = BytesMut::new();
    let first = HandoverMessage::Welcome { out_of_service: w.aside, listeners };
    let sent = match HandoverCodec.encode(first, &mut bytes) {
        Ok(()) => {
            let stream = link.get_ref();
            let pass = stream.async_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                if !control.push(SendAncillaryMessage::ScmRights(&rights)) {
                    return Err(io::Error::other("too many listeners"));
                }
                Ok(sendmsg(stream, &[IoSlice::new(&bytes)], &mut control, SendFlags::NOSIGNAL)?)
            });
            matches!(timeout(PATIENCE, pass).await, Ok(Ok(n)) if n == bytes.len())
        }
        Err(_) => false,
    };
    drop(w.listeners);
    if sent {
        talk(n, link, w.queue, events).await;
    } else {
        let _ = events.send(Event::Handover(PeerProcess::Gone(n, "no welcome could be sent"))).await;
    }
}

/// Carries messages both ways until the link ends.
async fn talk(
    n: u64,
    link: Framed<UnixStream, HandoverCodec>,
    mut queue: mpsc::Receiver<Said>,
    events: mpsc::Sender<Event>,
) {
    let (mut sink, mut stream) = link.split();
    let write = async {
        while let Some(all) = queue.recv().await {
            for message in all {
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
                    if events.send(Event::Handover(PeerProcess::Said(n, message))).await.is_err() {
                        return "dropped";
                    }
                }
                Some(Err(HandoverError::Io(_))) | None => return "closed",
                Some(Err(_)) => return "what it says is no message",
            }
        }
    };
    let why = tokio::select! {
        why = write => why,
        why = read => why,
    };
    let _ = events.send(Event::Handover(PeerProcess::Gone(n, why))).await;
}

/// Changes as they cross: each process has a monotonic clock of its own, so times cross as spans around [`WIRE_NOW`].
fn to_wire(now: Micros, changes: Vec<Change>) -> Said {
    changes.into_iter().map(|change| HandoverMessage::Write(change.rebased(now, WIRE_NOW))).collect()
}

impl Runtime {
    /// This process is the heir of one that serves: what it got holds, and it listens once its work is up.
    pub(super) fn become_successor(&mut self, inherited: Inherited) {
        if inherited.aside {
            // Its holder was told to stand aside, and so was the node.
            let _ = self.service.with(|s| s.apply_order(crate::service::ServiceOrder::OutOfService));
        }
        for l in inherited.listeners {
            let at = l.local_addr();
            if let (Ok(at), Ok(())) = (at, l.set_nonblocking(true))
                && let Ok(l) = TcpListener::from_std(l)
            {
                self.inherited_listeners.push((at, l));
            }
        }
        let (queue, said) = mpsc::channel(QUEUE);
        let now = process::now();
        self.node.set_machine_share(now, HALF, &mut self.outputs);
        let known = to_wire(now, self.node.idempotency.share(now, Side::Successor));
        let _ = queue.try_send(known);
        self.peer_process = Some(Link { n: 0, queue, heir: true, ready: false });
        tokio::task::spawn_local(talk(0, inherited.link, said, self.events.clone()));
    }

    /// The work is up: an heir tells its holder before it says so to anybody else, as the
    /// holder's notice may follow at once.
    pub(super) fn start_taking_clients(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        match &mut self.peer_process {
            Some(link) if link.heir && !link.ready => {
                link.ready = true;
                let _ = link.queue.try_send(vec![HandoverMessage::Ready]);
                let events = self.events.clone();
                tokio::task::spawn_local(async move {
                    sleep(PATIENCE).await;
                    let _ = events.send(Event::Handover(PeerProcess::Waited)).await;
                });
            }
            Some(link) if link.heir => {}
            _ => self.up()?,
        }
        Ok(())
    }

    pub(super) fn handle_peer_process(
        &mut self,
        now: Micros,
        kin: PeerProcess,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let this = |link: &Option<Link>, n| link.as_ref().is_some_and(|l| l.n == n);
        match kin {
            PeerProcess::Hello { n, name, listen, welcome } => {
                let same = name == self.config.name && listen == self.config.listen;
                if self.peer_process.is_some() || self.stop_at.is_some() || !same {
                    warn!("an heir was sent away: name {name}, same node {same}");
                    return Ok(());
                }
                info!("an heir is there");
                let (queue, said) = mpsc::channel(QUEUE);
                let known = to_wire(now, self.node.idempotency.share(now, Side::Incumbent));
                let _ = queue.try_send(known);
                self.peer_process = Some(Link { n, queue, heir: false, ready: false });
                let listeners = self.listeners.iter().map(|o| (o.at, o.listener.clone())).collect();
                let aside = self.service.with(|s| s.is_out_by_order());
                let _ = welcome.send(Welcome { aside, listeners, queue: said });
            }
            PeerProcess::Said(n, message) if this(&self.peer_process, n) => match message {
                HandoverMessage::Write(change) => {
                    let change = change.rebased(WIRE_NOW, now);
                    self.node.handle_input(now, Input::ChangeReceived(change), &mut self.outputs);
                }
                HandoverMessage::Ready => {
                    if let Some(link) = self.peer_process.as_mut().filter(|l| !l.heir) {
                        info!("the heir takes clients; a notice to leave replaces this process from here on");
                        link.ready = true;
                        let _ = link.queue.try_send(vec![HandoverMessage::TakeoverConfirmed]);
                        self.node.set_machine_share(now, HALF, &mut self.outputs);
                    }
                }
                HandoverMessage::TakeoverConfirmed if self.peer_process.as_ref().is_some_and(|l| l.heir) => {
                    self.up()?
                }
                _ => {}
            },
            PeerProcess::Gone(n, why) if this(&self.peer_process, n) => {
                let heir = self.peer_process.take().is_some_and(|l| l.heir);
                self.node.handle_input(now, Input::PeerProcessEnded, &mut self.outputs);
                self.node.set_machine_share(now, 1.0, &mut self.outputs);
                info!("the {} is gone: {why}", if heir { "process before this one" } else { "heir" });
                if heir {
                    if self.node.is_started() && self.stop_at.is_none() {
                        self.up()?;
                    }
                    self.await_successors();
                }
            }
            PeerProcess::Waited
                if self.peer_process.as_ref().is_some_and(|l| l.heir)
                    && !self.service.with(|s| s.is_ready()) =>
            {
                warn!("the process before this one does not answer; taking clients");
                self.up()?;
            }
            PeerProcess::Said(..) | PeerProcess::Gone(..) | PeerProcess::Waited => {}
        }
        Ok(())
    }

    /// Waits for heirs of its own from now on.
    pub(super) fn await_successors(&mut self) {
        if let Some(place) = socket_path(&self.config.name, self.config.listen) {
            tokio::task::spawn_local(welcome(place, self.events.clone()));
        }
    }

    /// Tells the other process, if there is one, of writes.
    pub(super) fn send_write_changes(&mut self) {
        let Some(link) = &self.peer_process else { return };
        let changes = to_wire(process::now(), self.node.idempotency.changes());
        if !changes.is_empty() && link.queue.try_send(changes).is_err() {
            warn!("the other process of this node lags behind; the link is dropped");
            self.peer_process = None;
            let now = process::now();
            self.node.handle_input(now, Input::PeerProcessEnded, &mut self.outputs);
            self.node.set_machine_share(now, 1.0, &mut self.outputs);
        }
    }

    /// Whether a notice to leave would be a replacement.
    pub(super) fn has_ready_successor(&self) -> bool {
        self.peer_process.as_ref().is_some_and(|l| !l.heir && l.ready)
    }

    /// The earliest time at which this process may be killed, if the notice to leave comes now, replaced or not.
    pub(super) fn earliest_kill(&self, now: Micros) -> Micros {
        let most = self.settings.get().longest_deadline().min(LONGEST) + SLACK;
        now + Micros::from_millis(self.config.stop_ms).min(most)
    }

    /// Whether a replaced process has nothing more to do.
    pub(super) fn has_handed_over(&self, now: Micros) -> bool {
        self.replaced_at.is_some_and(|at| now >= at + CROSSED) && self.node.is_idle()
    }
}
