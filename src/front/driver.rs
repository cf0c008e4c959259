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

/// Bytes owed to a peer beyond which nothing more is read from it.
const OWED_MAX: usize = 256 << 10;
/// A peer that takes no byte for this long is cut off.
const STALL: Duration = Duration::from_secs(15);
/// How long the last words may take to be read once everything is sent.
const LINGER: Duration = Duration::from_millis(150);
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
) {
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut reads = FramedRead::with_capacity(read, codec, BUFFER);
    let mut out = BytesMut::with_capacity(BUFFER);
    let end = carry(&mut session, &mut reads, &mut write, &mut out, &events, replies).await;
    // The runtime hears of the end before the last bytes are sent off: whoever waited on it waits no longer.
    let _ = events.send(FromConn::Closed { wire, conn, end }.into()).await;
    if matches!(end, End::Reset | End::Stalled) {
        return;
    }
    session.complain(end, &mut out);
    let mut read = reads.into_inner();
    // Closing with input unread would reset the connection and take the last answer with it.
    let _ = timeout(STALL, write.write_all_buf(&mut out)).await;
    let _ = write.shutdown().await;
    let mut sink = BytesMut::with_capacity(BUFFER);
    let rest = async {
        while matches!(read.read_buf(&mut sink).await, Ok(n) if n > 0) {
            sink.clear();
        }
    };
    let _ = timeout(LINGER, rest).await;
}

async fn carry<S: Session, E: From<FromConn>>(
    session: &mut S,
    reads: &mut FramedRead<tokio::net::tcp::OwnedReadHalf, S::Codec>,
    write: &mut tokio::net::tcp::OwnedWriteHalf,
    out: &mut BytesMut,
    events: &mpsc::Sender<E>,
    mut replies: mpsc::Receiver<Reply>,
) -> End {
    let (mut traffic, mut taken) = (Instant::now(), Instant::now());
    let (mut finishing, mut deaf) = (false, false);
    loop {
        if (finishing || session.finished()) && session.open() == 0 && out.is_empty() {
            return End::Finished;
        }
        if out.is_empty() {
            taken = Instant::now();
        }
        let patience = session.patience().filter(|_| !deaf).map(|p| traffic + p);
        let wake = patience.unwrap_or(taken + STALL).min(taken + STALL);
        let mut sleep = pin!(sleep_until(wake));
        tokio::select! {
            biased;
            sent = write.write_buf(out), if !out.is_empty() => match sent {
                Ok(0) | Err(_) => return End::Reset,
                Ok(_) => taken = Instant::now(),
            },
            reply = replies.recv(), if out.len() < OWED_MAX => match reply {
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
                Some(reply) => {
                    traffic = Instant::now();
                    finishing |= reply == Reply::Finish;
                    finishing |= session.write(reply, out);
                }
            },
            item = reads.next(), if !deaf && out.len() < OWED_MAX => match item {
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
                if patience.is_some_and(|p| p <= Instant::now()) {
                    return End::Slow;
                }
            }
        }
    }
}
