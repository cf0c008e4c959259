//! Calls to the ledger: one HTTP/1.1 call at a time on a connection, with a small pool of idle connections.

use std::cell::{Cell, RefCell};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder, Framed};

use crate::end::End;
use crate::fleet::lease::holder::ReleaseEvidence;
use crate::http::{Response, ResponseCodec};
use crate::interface::Outcome;
use crate::stream::SteadyStream;

/// The ledger closes idle connections after 10 s; this side closes them well before, so that none is reused while the
/// ledger closes it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The least time between two calls on one connection. Anything that a ledger sends after a reply has arrived by then and
/// is detected; read during the next call, it would be mistaken for the answer to that call.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// The longest time to connect; the call's own limit applies as well.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// One call to the ledger.
#[derive(Clone, Debug)]
pub struct Call {
    /// The name of the request for which it is made.
    pub name: String,
    /// The time limit for its answer, ms.
    pub limit_ms: u64,
    /// The body, sent unchanged.
    pub body: Bytes,
    /// The call must not be made twice, so it gets a new connection: an idle one may be reset during the call, and then
    /// it is unknown whether the call ran.
    pub once: bool,
}

/// Encodes calls and decodes their responses.
#[derive(Debug, Default)]
pub struct LedgerCodec(ResponseCodec);

impl Encoder<&Call> for LedgerCodec {
    type Error = End;
    fn encode(&mut self, call: &Call, dst: &mut BytesMut) -> Result<(), End> {
        let (name, limit, len) = (&call.name, call.limit_ms, call.body.len());
        dst.extend_from_slice(
            format!("POST /post HTTP/1.1\r\nHost: ledger\r\nX-Txn-Ref: {name}\r\nX-Limit-Ms: {limit}\r\nContent-Length: {len}\r\n\r\n")
                .as_bytes(),
        );
        dst.extend_from_slice(&call.body);
        Ok(())
    }
}

impl Decoder for LedgerCodec {
    type Item = Response;
    type Error = End;
    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Response>, End> {
        self.0.decode(src)
    }
    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Response>, End> {
        self.0.decode_eof(src)
    }
}

/// The outcome of a call by its response.
pub fn outcome(r: &Response) -> Outcome {
    match (r.status, r.untouched) {
        (200, _) => Outcome::Good,
        (503, true) => Outcome::Full,
        (409, true) => Outcome::Moot,
        (504, _) => Outcome::Late,
        _ => Outcome::Bad,
    }
}

/// What a response proves about the work of its call. A timeout response (504) does not prove that the work has ended.
pub fn release_evidence(r: &Response) -> ReleaseEvidence {
    if outcome(r) == Outcome::Late { ReleaseEvidence::Unknown } else { ReleaseEvidence::Answered }
}

type Connection = Framed<SteadyStream, LedgerCodec>;

/// The idle connections to one address, the most recently used last.
#[derive(Clone)]
pub struct Pool {
    address: Rc<Cell<Option<SocketAddr>>>,
    idle: Rc<RefCell<Vec<(Instant, Connection)>>>,
    most: usize,
    reuse_delay: Duration,
}

impl Pool {
    /// An empty pool that keeps at most `most` idle connections. Without an address every call fails as unreachable.
    pub fn new(address: impl Into<Option<SocketAddr>>, most: usize) -> Pool {
        Pool {
            address: Rc::new(Cell::new(address.into())),
            idle: Rc::default(),
            most,
            reuse_delay: REUSE_DELAY,
        }
    }

    /// The same pool with another least time between two calls on one connection.
    pub fn resting(self, reuse_delay: Duration) -> Pool {
        Pool { reuse_delay, ..self }
    }

    /// Changes the address. Calls in flight finish at the old address; new calls go to the new one.
    pub fn move_to(&self, address: Option<SocketAddr>) {
        if self.address.replace(address) != address {
            self.idle.borrow_mut().clear();
        }
    }

    /// The number of idle connections in the pool.
    pub fn idle(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Drops connections that have been idle for 5 s.
    pub fn sweep(&self) {
        self.idle.borrow_mut().retain(|(since, _)| since.elapsed() < IDLE_TIMEOUT);
    }

    fn take_idle_connection(&self) -> Option<Connection> {
        self.sweep();
        loop {
            let mut idle = self.idle.borrow_mut();
            let reusable = idle.iter().rposition(|(since, _)| since.elapsed() >= self.reuse_delay)?;
            let (_, link) = idle.remove(reusable);
            // A connection that has ended, or on which unrequested bytes have arrived, can't be reused. The check peeks at
            // the socket itself, as tokio's readiness is only as recent as its last poll.
            let peeked = SockRef::from(&**link.get_ref()).peek(&mut [MaybeUninit::uninit()]);
            let silent = peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
            if silent && link.read_buffer().is_empty() {
                return Some(link);
            }
        }
    }

    /// Makes a call and waits for its end. Dropping the future closes the connection, which abandons the call.
    pub async fn call(&self, call: &Call) -> (Outcome, Bytes) {
        let (end, body, _) = self.call_while(call, || true).await;
        (end, body)
    }

    /// Makes a call if `may` is true just before its first byte is sent; also returns what its end proves about its work.
    pub async fn call_while(&self, call: &Call, may: impl Fn() -> bool) -> (Outcome, Bytes, ReleaseEvidence) {
        match self.attempt(call, may).await {
            Ok(r) => (outcome(&r), r.body.clone(), release_evidence(&r)),
            Err(end @ (End::Refused | End::Unreachable | End::Lapsed)) => {
                (end.outcome(), Bytes::new(), ReleaseEvidence::NotSent)
            }
            Err(end) => (end.outcome(), Bytes::new(), ReleaseEvidence::Unknown),
        }
    }

    async fn attempt(&self, call: &Call, may: impl Fn() -> bool) -> Result<Response, End> {
        let address = self.address.get().ok_or(End::Unreachable)?;
        let idle = if call.once { None } else { self.take_idle_connection() };
        let mut link = match idle {
            Some(link) => link,
            None => {
                let made = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
                let stream = made.map_err(|_| End::Unreachable)?.map_err(|e| End::of_connect(&e))?;
                let _ = stream.set_nodelay(true);
                Framed::with_capacity(SteadyStream::new(stream), LedgerCodec::default(), 4 << 10)
            }
        };
        if !may() {
            return Err(End::Lapsed);
        }
        // From here on bytes may have been sent: a failure proves nothing about the work, and nothing is sent twice.
        link.send(call).await?;
        let r = link.next().await.ok_or(End::Closed)??;
        // Not kept: a connection to a former address, one with bytes after the reply, and one made for a call that must
        // not be made twice, as each such call would add one to the pool.
        let is_current_address = self.address.get() == Some(address);
        let clean = link.read_buffer().is_empty();
        if r.keep_alive && is_current_address && clean && !call.once && self.idle.borrow().len() < self.most {
            self.idle.borrow_mut().push((Instant::now(), link));
        }
        Ok(r)
    }
}

#[cfg(test)]
mod tests;
