//! The link to the agent: connects, reconnects after a failure, and moves to a new address.

use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::{Buf, Bytes};
use futures_util::StreamExt;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};
use tokio_util::codec::FramedRead;

use super::Event;
use crate::agent::NoticeCodec;
use crate::end::End;
use crate::stream::SteadyStream;

/// Time limit for connecting to the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the next attempt to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(20);
/// A link on which a message can't be written for this long is replaced by a new one.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for the old link to be drained before a move. The old agent may be gone, and keeps its links for 1.5 s at most.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Messages queued for the agent on one link.
const QUEUE_MAX: usize = 1024;

/// The task of an open link; returns why the link ended.
type LinkFuture = Pin<Box<dyn Future<Output = End>>>;

/// What the event loop and the link's task know of what is written.
#[derive(Default)]
struct WriteProgress {
    accepted_bytes: Cell<u64>,
    /// The event loop has given up the link; nothing more is written.
    is_abandoned: Cell<bool>,
}

/// The event loop's end of an open link. Once it is dropped, the link's socket accepts nothing more, whatever is queued.
pub(super) struct AgentLink {
    /// Distinguishes the link from earlier ones.
    pub number: u64,
    /// What is to be written, in order.
    pub queue: mpsc::Sender<Bytes>,
    progress: Rc<WriteProgress>,
}

impl AgentLink {
    /// How many of the bytes queued for the link its socket has accepted. A command of which the socket has not accepted the
    /// last byte has not reached the agent.
    pub fn accepted_bytes(&self) -> u64 {
        self.progress.accepted_bytes.get()
    }
}

impl Drop for AgentLink {
    fn drop(&mut self) {
        self.progress.is_abandoned.set(true);
    }
}

/// Keeps a link to the agent open until the agent's address is removed or the event loop ends. Each link has its own number.
///
/// When the agent's address changes, the old link is kept until the new one is connected, so that no notice waits for a
/// connection, and until it is drained, so that the move leaves no command in doubt. It is dropped just before the new one
/// subscribes.
pub(super) async fn maintain_link(
    mut address: watch::Receiver<Option<SocketAddr>>,
    events: mpsc::Sender<Event>,
) {
    let mut link_number = 0;
    let mut link: Option<LinkFuture> = None;
    loop {
        let Some(target) = *address.borrow_and_update() else { return };
        let connected = tokio::select! {
            connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)) => connected,
            is_loop_running = link_ended(link_number, &mut link, &events) => if is_loop_running { continue } else { return },
            moved = address.changed() => if moved.is_ok() { continue } else { return },
        };
        if let Ok(Ok(stream)) = connected {
            if link.is_some() && !drain_link(link_number, &mut link, &events).await {
                return;
            }
            link_number += 1;
            link = Some(Box::pin(run_link(link_number, stream, events.clone())));
            tokio::select! {
                is_loop_running = link_ended(link_number, &mut link, &events) => if !is_loop_running { return },
                moved = address.changed() => if moved.is_ok() { continue } else { return },
            }
        }
        tokio::select! {
            () = sleep(RECONNECT_INTERVAL) => {}
            is_loop_running = link_ended(link_number, &mut link, &events) => if !is_loop_running { return },
        }
    }
}

/// Waits until everything sent on the open link is proved to have arrived, or the link has ended, but only for
/// [`DRAIN_TIMEOUT`]. False if the event loop has ended.
async fn drain_link(link_number: u64, link: &mut Option<LinkFuture>, events: &mpsc::Sender<Event>) -> bool {
    let (drained, is_drained) = oneshot::channel();
    if events.send(Event::AgentMoving(drained)).await.is_err() {
        return false;
    }
    tokio::select! {
        _ = timeout(DRAIN_TIMEOUT, is_drained) => true,
        is_loop_running = link_ended(link_number, link, events) => is_loop_running,
    }
}

/// Waits for the end of the open link and reports it to the event loop; waits forever if no link is open. False if the event
/// loop has ended.
async fn link_ended(link_number: u64, link: &mut Option<LinkFuture>, events: &mpsc::Sender<Event>) -> bool {
    let Some(open_link) = link else { return std::future::pending().await };
    let end = open_link.await;
    *link = None;
    events.send(Event::AgentUnlinked(link_number, end)).await.is_ok()
}

/// Carries messages both ways until the link ends, and returns why it ended.
async fn run_link(link_number: u64, stream: TcpStream, events: mpsc::Sender<Event>) -> End {
    let _ = stream.set_nodelay(true);
    let (read, mut write) = tokio::io::split(SteadyStream::new(stream));
    let mut notices = FramedRead::with_capacity(read, NoticeCodec, 16 << 10);
    let (sender, mut queue) = mpsc::channel::<Bytes>(QUEUE_MAX);
    let progress = Rc::new(WriteProgress::default());
    let link = AgentLink { number: link_number, queue: sender, progress: progress.clone() };
    if events.send(Event::AgentLinked(link)).await.is_err() {
        return End::Finished;
    }
    let writer = async {
        while let Some(bytes) = queue.recv().await {
            // The new link that follows a timeout sends the commands that this one's socket has not accepted.
            match timeout(WRITE_TIMEOUT, write_counted(&mut write, bytes, &progress)).await {
                Ok(Ok(())) => {}
                Ok(Err(e)) => return End::from(e),
                Err(_) => return End::Stalled,
            }
        }
        End::Stalled
    };
    let reader = async {
        loop {
            match notices.next().await {
                Some(Ok(notice)) => {
                    if events.send(Event::AgentNotice(link_number, notice)).await.is_err() {
                        return End::Finished;
                    }
                }
                Some(Err(end)) => return end,
                None => return End::Closed,
            }
        }
    };
    tokio::select! {
        end = writer => end,
        end = reader => end,
    }
}

/// Writes all bytes, and counts those that the socket accepts in the same poll in which it accepts them. Ends before the next
/// byte once the link is abandoned.
async fn write_counted(
    write: &mut (impl AsyncWrite + Unpin),
    mut bytes: Bytes,
    progress: &WriteProgress,
) -> std::io::Result<()> {
    while bytes.has_remaining() {
        let written = poll_fn(|context| {
            if progress.is_abandoned.get() {
                return Poll::Ready(Err(ErrorKind::ConnectionAborted.into()));
            }
            Pin::new(&mut *write).poll_write(context, &bytes)
        })
        .await?;
        if written == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        progress.accepted_bytes.set(progress.accepted_bytes.get() + written as u64);
        bytes.advance(written);
    }
    Ok(())
}

#[cfg(test)]
mod tests;
