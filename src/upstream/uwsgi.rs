//! Runs on the inventory's uwsgi servers: one connection per run; the request packet and the reply are passed on unchanged
//! except for prefetched replies.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Framed};

use crate::dependencies::prefetch::PrefetchResult;
use crate::end::End;
use crate::front::uwsgi::packet::{self, HEADER, Vars};
use crate::interface::Outcome;
use crate::inventory::Host;
use crate::stream::SteadyStream;

/// Largest head of a reply, bytes.
const HEAD_MAX: usize = 16 << 10;

/// Collects a server's reply, which ends with the connection or after its Content-Length.
#[derive(Debug)]
pub struct ReplyCodec {
    /// Largest reply, bytes.
    reply_max: usize,
    /// The request was a HEAD: its reply may state a length and has no body.
    has_no_body: bool,
}

impl ReplyCodec {
    /// A codec for one reply of at most `reply_max` bytes; `has_no_body` for the reply to a HEAD request.
    pub fn new(reply_max: usize, has_no_body: bool) -> ReplyCodec {
        ReplyCodec { reply_max, has_no_body }
    }

    /// Length of the head, and of the whole reply where it is stated; `None` while the head is incomplete.
    fn head(src: &[u8]) -> Result<Option<(usize, Option<usize>)>, End> {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        // Servers answer with an HTTP status line or, like a CGI program, with headers alone.
        let mut response = httparse::Response::new(&mut headers);
        let (read, headers): (_, &[httparse::Header]) =
            if src.starts_with(b"HTTP/") || b"HTTP/".starts_with(src) {
                (response.parse(src), response.headers)
            } else {
                match httparse::parse_headers(src, response.headers) {
                    Ok(httparse::Status::Complete((at, h))) => (Ok(httparse::Status::Complete(at)), h),
                    Ok(httparse::Status::Partial) => (Ok(httparse::Status::Partial), &[]),
                    Err(e) => (Err(e), &[]),
                }
            };
        let at = match read.map_err(|_| End::Malformed)? {
            httparse::Status::Partial if src.len() > HEAD_MAX => return Err(End::Oversized),
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(at) => at,
        };
        let mut length = None;
        for h in headers.iter().filter(|h| h.name.eq_ignore_ascii_case("content-length")) {
            let text = std::str::from_utf8(h.value).map_err(|_| End::Malformed)?;
            let value: usize = text.trim().parse().map_err(|_| End::Malformed)?;
            if length.is_some_and(|l| l != value) {
                return Err(End::Malformed);
            }
            length = Some(value);
        }
        Ok(Some((at, length.map(|l| at.saturating_add(l)))))
    }
}

impl Decoder for ReplyCodec {
    type Item = Bytes;
    type Error = End;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Bytes>, End> {
        let head = Self::head(src)?;
        let total = head.and_then(|h| h.1).filter(|_| !self.has_no_body);
        if src.len().max(total.unwrap_or(0)) > self.reply_max {
            return Err(End::Oversized);
        }
        Ok(total.filter(|length| src.len() >= *length).map(|length| src.split_to(length).freeze()))
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Bytes>, End> {
        if src.is_empty() {
            return Ok(None);
        }
        if let Some(reply) = self.decode(src)? {
            return Ok(Some(reply));
        }
        match Self::head(src)? {
            Some((at, length)) if length.is_none() || (self.has_no_body && src.len() == at) => {
                Ok(Some(src.split().freeze()))
            }
            _ => Err(End::CutOff),
        }
    }
}

/// The body of a prefetch call: the value of a var of the request's packet, or the request's body.
pub fn call_body(packet: &Bytes, var: Option<&str>) -> Bytes {
    let end = vars_end(packet);
    match var {
        None => packet.slice(end..),
        Some(name) => {
            let vars = Vars::parse(packet.slice(HEADER.min(end)..end)).unwrap_or_default();
            vars.get(name).map_or_else(Bytes::new, Bytes::copy_from_slice)
        }
    }
}

/// Prefix of the vars that carry prefetched replies. A client's own vars of such names are not passed on: it could
/// otherwise forge a tier's reply.
const REPLY_VAR_PREFIX: &str = "HOLDLIFT_CALL_";
/// The var that names the optional calls that were left out.
const MISSING_VAR: &str = "HOLDLIFT_MISSING";

/// The packet with the prefetched replies added as vars; `None` where they do not fit into a packet.
pub fn with_prefetched_vars(packet: Bytes, prefetched: &PrefetchResult) -> Option<Bytes> {
    if prefetched.replies.is_empty() && prefetched.missing.is_empty() {
        return Some(packet);
    }
    let end = vars_end(&packet);
    let vars = Vars::parse(packet.slice(HEADER.min(end)..end)).ok()?;
    let is_reserved =
        |name: &[u8]| name.starts_with(REPLY_VAR_PREFIX.as_bytes()) || name == MISSING_VAR.as_bytes();
    let mut block: Vec<(Bytes, Bytes)> =
        vars.iter().filter(|(name, _)| !is_reserved(name)).cloned().collect();
    for (name, reply) in &prefetched.replies {
        block.push((format!("{REPLY_VAR_PREFIX}{}", name.to_ascii_uppercase()).into(), reply.clone()));
    }
    block.push((MISSING_VAR.into(), prefetched.missing.join(",").into()));
    let mut out = BytesMut::with_capacity(packet.len() + 1024);
    packet::write(&block, &mut out).ok()?;
    out.extend_from_slice(&packet[end..]);
    Some(out.freeze())
}

/// Adds a header that names the optional calls that were left out, if any. The rest of the reply is unchanged.
pub fn mark_partial(reply: Bytes, prefetched: &PrefetchResult) -> Bytes {
    if prefetched.missing.is_empty() {
        return reply;
    }
    // The header goes after the status line; a CGI-like reply has none.
    let first = reply.windows(2).position(|w| w == b"\r\n").map_or(0, |at| at + 2);
    let at = if reply.starts_with(b"HTTP/") { first } else { 0 };
    let line = format!("X-Holdlift-Partial: {}\r\n", prefetched.missing.join(","));
    let mut out = BytesMut::with_capacity(reply.len() + line.len());
    out.extend_from_slice(&reply[..at]);
    out.extend_from_slice(line.as_bytes());
    out.extend_from_slice(&reply[at..]);
    out.freeze()
}

fn vars_end(packet: &[u8]) -> usize {
    packet::head_length(packet).unwrap_or(0).min(packet.len())
}

struct Server {
    host: Host,
    slots_in_use: Cell<u32>,
}

/// A slot in use, released on drop.
struct OccupiedSlot(Rc<Server>);

impl OccupiedSlot {
    fn occupy(server: &Rc<Server>) -> OccupiedSlot {
        server.slots_in_use.set(server.slots_in_use.get() + 1);
        OccupiedSlot(server.clone())
    }
}

impl Drop for OccupiedSlot {
    fn drop(&mut self) {
        self.0.slots_in_use.set(self.0.slots_in_use.get().saturating_sub(1));
    }
}

/// The uwsgi servers of the inventory, with their slots in use.
#[derive(Clone)]
pub struct Servers {
    servers: Rc<Vec<Rc<Server>>>,
    connect_timeout: Duration,
    run_timeout: Duration,
    reply_max: usize,
}

impl Servers {
    /// Servers at these hosts, with timeouts for connecting and for a whole run, and the largest reply in bytes.
    pub fn new(
        hosts: &[Host],
        connect_timeout: Duration,
        run_timeout: Duration,
        reply_max: usize,
    ) -> Servers {
        let server = |h: &Host| Rc::new(Server { host: h.clone(), slots_in_use: Cell::new(0) });
        Servers {
            servers: Rc::new(hosts.iter().map(server).collect()),
            connect_timeout,
            run_timeout,
            reply_max,
        }
    }

    /// Sends a packet to the server with the smallest share of its slots in use and waits for the reply. A server that
    /// can't be reached has run nothing, so the next one is tried; once a byte may have left, none is. Dropping the future
    /// stops waiting.
    pub async fn run(&self, packet: Bytes) -> (Outcome, Bytes) {
        let mut untried: Vec<Rc<Server>> = self.servers.iter().cloned().collect();
        loop {
            let load = |s: &Server| f64::from(s.slots_in_use.get()) / f64::from(s.host.slots);
            let least_loaded =
                (0..untried.len()).min_by(|a, b| load(&untried[*a]).total_cmp(&load(&untried[*b])));
            // No server was reached, which proves that nothing has run.
            let Some(least_loaded) = least_loaded else { return (Outcome::Moot, Bytes::new()) };
            let server = untried.swap_remove(least_loaded);
            let _slot = OccupiedSlot::occupy(&server);
            let Ok(Ok(stream)) = timeout(self.connect_timeout, TcpStream::connect(server.host.address)).await
            else {
                continue;
            };
            return match timeout(self.run_timeout, self.exchange(stream, packet)).await {
                Ok(Ok(reply)) => (Outcome::Good, reply),
                Ok(Err(end)) => (end.outcome(), Bytes::new()),
                Err(_) => (End::Slow.outcome(), Bytes::new()),
            };
        }
    }

    async fn exchange(&self, stream: TcpStream, packet: Bytes) -> Result<Bytes, End> {
        let _ = stream.set_nodelay(true);
        let vars = Vars::parse(packet.slice(HEADER.min(packet.len())..vars_end(&packet)))?;
        let is_head = vars.get("REQUEST_METHOD") == Some(b"HEAD");
        let mut link = Framed::with_capacity(
            SteadyStream::new(stream),
            ReplyCodec::new(self.reply_max, is_head),
            8 << 10,
        );
        link.get_mut().write_all(&packet).await?;
        link.next().await.ok_or(End::Closed)?
    }
}
