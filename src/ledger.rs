//! Calls to the ledger and the other tiers: each HTTP/1.1 call has a connection of its own.
//!
//! A reply does not name its call; only its place in the bytes of a connection does. What a peer may send behind a reply,
//! such as a second copy of it, can come at any time later, so a connection that has carried a call carries no other.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder, Framed};

use crate::end::End;
use crate::fleet::lease::holder::ReleaseEvidence;
use crate::http::{Response, ResponseCodec};
use crate::interface::Outcome;
use crate::stream::SteadyStream;

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
}

/// How a call has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallEnd {
    /// The outcome.
    pub outcome: Outcome,
    /// The reply; empty if there is none.
    pub body: Bytes,
    /// What the end proves about the call's work.
    pub evidence: ReleaseEvidence,
}

impl CallEnd {
    fn replied(response: Response) -> CallEnd {
        let (outcome, evidence) = (outcome(&response), release_evidence(&response));
        CallEnd { outcome, body: response.body, evidence }
    }

    fn without_reply(end: End) -> CallEnd {
        let evidence = match end {
            End::Refused | End::Unreachable | End::Lapsed => ReleaseEvidence::NotSent,
            _ => ReleaseEvidence::Unknown,
        };
        CallEnd { outcome: end.outcome(), body: Bytes::new(), evidence }
    }
}

/// Encodes calls and decodes their responses.
#[derive(Debug, Default)]
pub struct LedgerCodec(ResponseCodec);

impl Encoder<&Call> for LedgerCodec {
    type Error = End;
    fn encode(&mut self, call: &Call, dst: &mut BytesMut) -> Result<(), End> {
        let (name, limit, len) = (&call.name, call.limit_ms, call.body.len());
        dst.extend_from_slice(
            format!("POST /post HTTP/1.1\r\nHost: ledger\r\nX-Txn-Ref: {name}\r\nX-Limit-Ms: {limit}\r\nConnection: close\r\nContent-Length: {len}\r\n\r\n")
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

/// Makes a call on a connection of its own and waits for its end. Dropping the future closes the connection, which
/// abandons the call.
pub async fn call(address: SocketAddr, call: &Call) -> CallEnd {
    call_while(address, call, || true).await
}

/// Makes a call if `may_send` is true just before its first byte is sent.
pub async fn call_while(address: SocketAddr, call: &Call, may_send: impl Fn() -> bool) -> CallEnd {
    match exchange(address, call, may_send).await {
        Ok(response) => CallEnd::replied(response),
        Err(end) => CallEnd::without_reply(end),
    }
}

async fn exchange(address: SocketAddr, call: &Call, may_send: impl Fn() -> bool) -> Result<Response, End> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| End::Unreachable)?.map_err(|e| End::of_connect(&e))?;
    let _ = stream.set_nodelay(true);
    let mut link = Framed::with_capacity(SteadyStream::new(stream), LedgerCodec::default(), 4 << 10);
    if !may_send() {
        return Err(End::Lapsed);
    }
    // From here on bytes may have been sent: a failure proves nothing about the work, and nothing is sent twice.
    link.send(call).await?;
    let response = link.next().await.ok_or(End::Closed)??;
    close_at_once(link.get_ref());
    Ok(response)
}

/// Makes the close of a connection whose call has been answered a reset, which leaves no local port in TIME_WAIT. With a
/// connection for each call the ports would run out under load.
fn close_at_once(stream: &TcpStream) {
    // Where this fails, the connection is closed in the usual way.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

#[cfg(test)]
mod tests;
