//! The thin driver between a front's state machine and its socket.

use std::pin::pin;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::StreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::FramedRead;

use crate::end::End;
use crate::front::{Reply, Session};
use crate::interface::Micros;
use crate::node::{Input, Wire};

/// Bytes owed to a peer beyond which nothing more is read from it, at the least and at the most: an answer of the
/// platform fits several times, and no peer needs more to be kept busy.
const OWED: std::ops::RangeInclusive<usize> = 16 << 10..=256 << 10;
/// How long a peer may take to read its last words.
const LAST_WORDS: Duration = Duration::from_secs(5);
/// A peer that takes no byte for this long is cut off.
const STALL: Duration = Duration::from_secs(15);
/// How long the last words may take to be read once everything is sent.
const LINGER: Duration = Duration::from_millis(150);
/// Bytes that are read off in that time at the most: who goes on sending is not waited for.
const LINGER_MAX: usize = 256 << 10;
/// How often a connection on which nothing is awaited is looked at, in case a message has been begun.
const LOOK: Duration = Duration::from_secs(1);
/// The buffer that a connection starts with, each direction.
const BUFFER: usize = 4 << 10;

/// What a connection tells the runtime.
#[derive(Debug)]
pub enum FromConn {
    /// Something happened on it.
    Input(Input),
    /// It is over.
    Closed {
        /// Its front.
        wire: Wire,
        /// The connection.
        conn: u64,
        /// Why.
        end: End,
    },
}

/// The Unix clock, µs.
pub fn unix_now() -> Micros {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    Micros(u64::try_from(now.as_micros()).unwrap_or(u64::MAX))
}

/// What a peer may be owed at a time, where so many connections share this part of memory.
pub fn owed_max(bytes: usize, connections: usize) -> usize {
    (bytes / connections.max(1)).clamp(*OWED.start(), *OWED.end())
}

/// Carries one connection from its first byte to its end.
///
/// Reading stops, and the peer is slowed by TCP, while too much is owed to it; the rest of the node goes on. One
/// `BytesMut` a direction stands for the ring buffer: it takes in at its end and gives off at its front, and
/// reclaims the room in front when it needs more.
pub async fn serve<S: Session, E: From<FromConn>>(
    (wire, conn): (Wire, u64),
    stream: TcpStream,
    mut session: S,
    codec: S::Codec,
    events: mpsc::Sender<E>,
    replies: mpsc::Receiver<Reply>,
    owed_max: usize,
) {
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut reads = FramedRead::with_capacity(read, codec, BUFFER);
    let mut out = BytesMut::with_capacity(BUFFER);
    let mut sent = false;
    let end =
        carry(&mut session, &mut reads, (&mut write, &mut sent), &mut out, &events, (replies, owed_max))
            .await;
    // The runtime hears of the end before the last bytes are sent off: whoever waited on it waits no longer.
    let _ = events.send(FromConn::Closed { wire, conn, end }.into()).await;
    if matches!(end, End::Reset | End::Stalled) {
        return;
    }
    session.complain(end, &mut out);
    if out.is_empty() && !sent {
        // There is no last answer that a reset could take along; the descriptor is wanted elsewhere.
        return;
    }
    let mut read = reads.into_inner();
    // Closing with input unread would reset the connection and take the last answer with it.
    let _ = timeout(LAST_WORDS, write.write_all_buf(&mut out)).await;
    let _ = write.shutdown().await;
    let mut sink = BytesMut::with_capacity(BUFFER);
    let rest = async {
        let mut most = LINGER_MAX;
        while let Ok(n @ 1..) = read.read_buf(&mut sink).await {
            sink.clear();
            most = most.saturating_sub(n);
            if most == 0 {
                return;
            }
        }
    };
    let _ = timeout(LINGER, rest).await;
}

async fn carry<S: Session, E: From<FromConn>>(
    session: &mut S,
    reads: &mut FramedRead<tokio::net::tcp::OwnedReadHalf, S::Codec>,
    (write, sent): (&mut tokio::net::tcp::OwnedWriteHalf, &mut bool),
    out: &mut BytesMut,
    events: &mpsc::Sender<E>,
    (mut replies, owed_max): (mpsc::Receiver<Reply>, usize),
) -> End {
    let (mut traffic, mut taken) = (Instant::now(), Instant::now());
    // Since when the next message is awaited, or was first seen begun.
    let mut since = Instant::now();
    let mut begun = false;
    let (mut finishing, mut deaf) = (false, false);
    loop {
        let over = session.over();
        if let Some(end) = over.or(finishing.then_some(End::Finished))
            && session.open() == 0
            && out.is_empty()
        {
            return end;
        }
        let now = Instant::now();
        if out.is_empty() {
            taken = now;
        }
        // What this side does not read for now is not awaited.
        let reading = !deaf && over.is_none() && out.len() < owed_max;
        let midway = !reads.read_buffer().is_empty();
        if !reading || (midway && !begun && session.patience(false).is_none()) {
            since = now;
        }
        begun = midway;
        let patience = session.patience(begun).filter(|_| reading).map(|(p, _)| since + p);
        let wake = patience.unwrap_or(now + LOOK).min(taken + STALL);
        let mut sleep = pin!(sleep_until(wake));
        tokio::select! {
            biased;
            taking = write.write_buf(out), if !out.is_empty() => match taking {
                Ok(0) | Err(_) => return End::Reset,
                Ok(_) => (taken, *sent) = (Instant::now(), true),
            },
            reply = replies.recv(), if out.len() < owed_max => match reply {
                // The runtime let go of the connection.
                None => return End::Stalled,
                Some(Reply::CloseIdle(span)) => {
                    // A request that is still coming in, however slowly, is not idleness.
                    let midway = session.midway() || !reads.read_buffer().is_empty();
                    let idle = !midway && traffic.elapsed().as_micros() >= u128::from(span.0);
                    if idle && session.open() == 0 && out.is_empty() {
                        return End::Idle;
                    }
                }
                Some(Reply::MakeRoom) => {
                    // A first message halfway in gives way, or many such would lock everybody out.
                    if session.open() == 0 && out.is_empty() && !session.midway() {
                        return End::Crowded;
                    }
                }
                Some(reply) => {
                    traffic = Instant::now();
                    finishing |= reply == Reply::Finish;
                    finishing |= session.write(reply, out);
                }
            },
            item = reads.next(), if reading => match item {
                Some(Ok(item)) => {
                    traffic = Instant::now();
                    match session.read(unix_now(), item, out) {
                        Ok(None) => {}
                        Ok(Some(input)) => {
                            if events.send(FromConn::Input(input).into()).await.is_err() {
                                return End::Finished;
                            }
                        }
                        Err(end) => return end,
                    }
                    (since, begun) = (Instant::now(), false);
                }
                Some(Err(end)) => return end,
                None if session.eof_is_gone() || session.open() == 0 => return End::Closed,
                // It has said all it will and still reads.
                None => deaf = true,
            },
            () = &mut sleep => {
                if !out.is_empty() && taken.elapsed() >= STALL {
                    return End::Stalled;
                }
                // Whether anything came meanwhile makes the difference between the ends.
                let end = session.patience(!reads.read_buffer().is_empty());
                if let Some((_, end)) = end.filter(|_| patience.is_some_and(|p| p <= Instant::now())) {
                    return end;
                }
            }
        }
    }
}
