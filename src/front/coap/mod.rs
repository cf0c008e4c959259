//! The CoAP front: takes datagrams, answers and the current time; returns datagrams to send and requests for the core. It
//! does no input or output of its own.
//!
//! It handles what UDP allows: a duplicate never runs a request twice; lost responses are retransmitted; an address that
//! may be forged is sent no more than three times the bytes received from it, and all such addresses together hold no
//! more than a quarter of the exchange table; every table has a bound, at which requests are refused.

mod addresses;
mod ask;
pub mod blocks;
pub mod message;
mod refused;
mod reply;
pub mod transfer;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use coap_lite::{MessageType, RequestType, ResponseType};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::config::coap::CoapConfig;
use crate::front::uwsgi::UwsgiConfig;
use crate::front::{CurrentSettings, Wire, uwsgi};
use crate::interface::{ClassSettings, Effect, IndexedList, Micros};
use crate::node::{Answer, FailureReason, IncomingRequest, Input, ReferenceScope, ResponseRoute, Worker};
use addresses::{HashUse, SECRET_BYTES};
use blocks::{Blocks, TransferKey, Upload};
use message::{Block, Datagram, Request, Response, empty, option, uint};
use refused::RefusedMessages;
use reply::{SZX_MAX, code_of, reply_of, result_block, success_code, szx_for};

/// RFC 7252 section 4.8: how long the first transmission waits for its acknowledgement, and the largest random factor
/// by which that is stretched.
const ACK_TIMEOUT: Micros = Micros::from_millis(2_000);
const ACK_RANDOM: f64 = 1.5;
/// Most retransmissions of one message.
const MAX_RETRANSMIT: u32 = 4;
/// How long a duplicate of a confirmable message may arrive after it (section 4.8.2).
pub const EXCHANGE_LIFETIME: Micros = Micros::from_millis(247_000);
/// How long a duplicate of a non-confirmable message may arrive after it (section 4.8.2).
pub const NON_LIFETIME: Micros = Micros::from_millis(145_000);
/// A request without a response after this long is acknowledged by an empty message: well below the peer's ACK_TIMEOUT,
/// so that the peer does not retransmit.
const EMPTY_ACK_DELAY: Micros = Micros::from_millis(200);
/// Unverified addresses may hold one exchange in this many of the table.
const UNVERIFIED_DIVISOR: usize = 4;
/// Most bytes sent to an unverified address, as a multiple of the bytes received from it (RFC 9175 section 2.4).
const AMPLIFICATION_MAX: usize = 3;
/// Bytes of the largest response with a block of 16 bytes, including the 4-byte header, the token and the options.
const RESPONSE_MIN_BYTES: usize = 64;
/// After how many seconds a peer may retry a request refused because a table is full.
const FULL_RETRY_AFTER_S: u32 = 5;
/// The path at which the classes are listed (RFC 6690).
const CORE_PATH: &str = "/.well-known/core";

/// An effect for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// Pass an input to the core.
    ToCore(Input),
}

/// Event counters since the start of the front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Datagrams ignored because they are not valid CoAP.
    pub noise: u64,
    /// Messages rejected with a reset.
    pub rejected: u64,
    /// Duplicate requests, handled by their exchange.
    pub duplicates: u64,
    /// Requests refused because the exchange table was full, the peer had too many open, or the message was refused before.
    pub full: u64,
    /// Requests answered by a demand for an Echo, to verify the address.
    pub echoes: u64,
    /// Retransmissions.
    pub again: u64,
    /// Responses given up after the last retransmission.
    pub undelivered: u64,
}

/// The peer and its message id.
type ExchangeKey = (SocketAddr, u16);

/// The state of a request.
#[derive(Debug)]
enum ExchangeState {
    /// Submitted to the core; `acked` once the empty acknowledgement has been sent, which is due at `empty_ack_at` if at all.
    Open { acked: bool, empty_ack_at: Option<Micros> },
    /// Answered: by these bytes, or by a separate response where there are none.
    Done(Option<Rc<Vec<u8>>>),
}

#[derive(Debug)]
struct Exchange {
    state: ExchangeState,
    token: Vec<u8>,
    confirmable: bool,
    verified: bool,
}

/// A request submitted to the core and not yet answered.
#[derive(Debug)]
struct OpenRequest {
    key: ExchangeKey,
    method: RequestType,
    transfer: TransferKey,
    block1: Option<Block>,
    block2: Option<Block>,
    size: usize,
}

/// A separate response that waits for its acknowledgement.
#[derive(Debug)]
struct UnackedResponse {
    bytes: Rc<Vec<u8>>,
    retransmissions: u32,
    timeout: Micros,
    retransmit_at: Micros,
}

#[derive(Debug, Default)]
struct Peer {
    /// The peer's open requests.
    open: usize,
    /// The response it has not acknowledged yet, and those queued behind it (NSTART is 1).
    unacked: Option<(u16, UnackedResponse)>,
    queue: VecDeque<(u16, Rc<Vec<u8>>)>,
}

impl Peer {
    /// Open requests and unacknowledged responses. Counting both keeps a peer that never acknowledges from being served
    /// without bound.
    fn outstanding(&self) -> usize {
        self.open + self.queue.len() + usize::from(self.unacked.is_some())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// An exchange expires.
    ExpireExchange(ExchangeKey),
    /// The empty acknowledgement of a request is due, if the request is still open.
    EmptyAck(ExchangeKey),
    /// A response is to be retransmitted.
    Retransmit(SocketAddr, u16),
    /// The verification of an address may have expired.
    ExpireVerification(SocketAddr),
}

/// The state machine of the CoAP front.
pub struct Coap {
    settings: CurrentSettings,
    config: Rc<CoapConfig>,
    uwsgi: Rc<UwsgiConfig>,
    /// Until then a duplicate may arrive of a write that the previous process accepted, so writes are refused.
    writes_refused_until: Micros,
    /// Until then a write may be one that another process of the node has run, of which this one knows nothing. Such writes fail.
    writes_unknown_until: Micros,
    exchanges: HashMap<ExchangeKey, Exchange>,
    open: HashMap<u64, OpenRequest>,
    peers: HashMap<SocketAddr, Peer>,
    /// Until when each verified address counts as verified.
    verified: HashMap<SocketAddr, Micros>,
    /// The exchanges of unverified addresses.
    unverified_exchanges: usize,
    /// Until then every request without a valid Echo is answered by a demand for one.
    echo_demanded_until: Micros,
    /// The messages recently refused without an exchange.
    refused: RefusedMessages,
    blocks: Blocks,
    timers: BTreeSet<(Micros, Timer)>,
    last_request_number: u64,
    /// The last request of the process that this front was taken over from; 0 if it was not.
    last_transferred_number: u64,
    last_message_id: u16,
    /// The key of Echo values and of the refused messages' hashes.
    secret: [u8; SECRET_BYTES],
    /// Time by which Echo values are made, less this process's clock.
    echo_offset: Micros,
    /// The list of classes as links, with the classes from which it was made.
    links: Option<(IndexedList<ClassSettings>, Bytes)>,
    rng: ChaCha8Rng,
    /// Event counters.
    pub tally: Tally,
}

impl Coap {
    /// A front without exchanges. `seed` determines the message ids and the retransmission timeouts.
    pub fn new(
        settings: CurrentSettings,
        config: Rc<CoapConfig>,
        uwsgi: Rc<UwsgiConfig>,
        seed: u64,
        now: Micros,
    ) -> Coap {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Coap {
            blocks: Blocks::new(config.body_bytes, config.uploads_bytes, config.results_bytes),
            writes_refused_until: now + Micros::from_millis(config.quiet_ms),
            writes_unknown_until: Micros(0),
            settings,
            config,
            uwsgi,
            exchanges: HashMap::new(),
            open: HashMap::new(),
            peers: HashMap::new(),
            verified: HashMap::new(),
            unverified_exchanges: 0,
            echo_demanded_until: Micros(0),
            refused: RefusedMessages::new(EXCHANGE_LIFETIME),
            timers: BTreeSet::new(),
            last_request_number: 0,
            last_transferred_number: 0,
            last_message_id: rng.random(),
            secret: rand::random(),
            echo_offset: Micros(0),
            links: None,
            rng,
            tally: Tally::default(),
        }
    }

    /// The address on which the front listens.
    pub fn listen(&self) -> SocketAddr {
        self.config.listen
    }

    /// When [`Coap::sweep`] must be called next; none while nothing is due.
    pub fn deadline(&self) -> Option<Micros> {
        [self.timers.first().map(|d| d.0), self.blocks.deadline()].into_iter().flatten().min()
    }

    /// The number of exchanges, of open requests, and the bytes held of uploads and of results.
    pub fn holds(&self) -> (usize, usize, (usize, usize)) {
        (self.exchanges.len(), self.open.len(), self.blocks.held_bytes())
    }

    /// Whether every request is answered and every separate response acknowledged or given up.
    pub fn idle(&self) -> bool {
        self.open.is_empty() && self.peers.values().all(|p| p.unacked.is_none())
    }

    /// Records that another process of this node may have run writes until now of which this one knows nothing: for as long as
    /// their duplicates may come, writes fail.
    pub fn mark_unaccounted(&mut self, now: Micros) {
        self.writes_unknown_until = now + Micros::from_millis(self.config.quiet_ms);
    }

    /// Handles a datagram.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        match message::read(bytes) {
            Datagram::Noise => self.tally.noise += 1,
            Datagram::Reject(id) => {
                self.tally.rejected += 1;
                out.push(Output::Send(from, empty(MessageType::Reset, id)));
            }
            Datagram::Ack(id) => {
                // Only the receiver of the response knows its random message id, so the address is genuine.
                if self.acknowledge(now, from, id, out) {
                    self.verify_address(now, from);
                }
            }
            Datagram::Reset(id) => _ = self.acknowledge(now, from, id, out),
            Datagram::Request(r) => self.request(now, from, r, out),
        }
    }

    fn request(&mut self, now: Micros, from: SocketAddr, r: Request, out: &mut Vec<Output>) {
        let key = (from, r.id);
        let has_valid_echo = self.is_valid_echo(now, from, &r.echo);
        if has_valid_echo {
            self.verify_address(now, from);
        }
        if let Some(x) = self.exchanges.get(&key) {
            self.tally.duplicates += 1;
            if x.token != r.token {
                // A different request that reuses a message id while duplicates of the first may still arrive.
                self.tally.rejected += 1;
                return out.push(Output::Send(from, empty(MessageType::Reset, r.id)));
            }
            match &x.state {
                ExchangeState::Done(Some(bytes)) => out.push(Output::Send(from, bytes.to_vec())),
                ExchangeState::Done(None) | ExchangeState::Open { acked: true, .. } if x.confirmable => {
                    out.push(Output::Send(from, empty(MessageType::Acknowledgement, r.id)));
                }
                _ => {}
            }
            return;
        }
        let verified = self.verified.get(&from).is_some_and(|until| *until > now);
        let full = self.exchanges.len() >= self.config.exchanges;
        if !has_valid_echo {
            // Once a request has been answered by a demand for an Echo, its duplicates get the same answer for as long as
            // they may arrive, even if the table has room by then: the sender repeats the request under another id.
            let too_small = r.size * AMPLIFICATION_MAX < RESPONSE_MIN_BYTES;
            if !verified && (full || self.unverified_exchanges >= self.config.exchanges / UNVERIFIED_DIVISOR)
            {
                self.echo_demanded_until = now + EXCHANGE_LIFETIME;
            }
            if too_small || now < self.echo_demanded_until {
                self.tally.echoes += 1;
                let demand =
                    Response::plain(ResponseType::Unauthorized).with(option::ECHO, self.echo(now, from));
                return self.respond_without_exchange(from, &r, &demand, out);
            }
        }
        let hash = self.keyed_hash(HashUse::RefusedMessage, from, u64::from(r.id));
        let refusal = if full || self.refused.contains(now, hash) {
            Some(Response::retry_after(ResponseType::ServiceUnavailable, FULL_RETRY_AFTER_S))
        } else if self.peers.get(&from).is_some_and(|p| p.outstanding() >= self.config.peer_requests) {
            Some(Response::retry_after(ResponseType::TooManyRequests, 1))
        } else {
            None
        };
        if let Some(refusal) = refusal {
            self.tally.full += 1;
            self.refused.insert(now, hash);
            return self.respond_without_exchange(from, &r, &refusal, out);
        }
        let lifetime = if r.confirmable { EXCHANGE_LIFETIME } else { NON_LIFETIME };
        self.last_request_number += 1;
        let number = self.last_request_number;
        let exchange = Exchange {
            state: ExchangeState::Open { acked: false, empty_ack_at: None },
            token: r.token.clone(),
            confirmable: r.confirmable,
            verified,
        };
        self.unverified_exchanges += usize::from(!verified);
        self.exchanges.insert(key, exchange);
        self.timers.insert((now + lifetime, Timer::ExpireExchange(key)));
        let transfer = (from, format!("{:?} {}?{}", r.method, r.path, r.query.join("&")), r.tag.clone());
        let open =
            OpenRequest { key, method: r.method, transfer, block1: r.block1, block2: r.block2, size: r.size };
        match self.build_request(now, &r, &open.transfer, number) {
            Ok(request) => {
                if r.confirmable {
                    self.schedule_empty_ack(now, key);
                }
                self.open.insert(number, open);
                self.peers.entry(from).or_default().open += 1;
                let origin =
                    ResponseRoute { front: Wire::Coap.front(), connection: number, request_number: 0 };
                out.push(Output::ToCore(Input::RequestReceived(origin, Box::new(request))));
            }
            Err((response, why)) => {
                out.extend(why.map(|why| Output::ToCore(Input::RequestRejected(why))));
                self.respond(now, &open, response, out);
            }
        }
    }

    fn schedule_empty_ack(&mut self, now: Micros, key: ExchangeKey) {
        let at = now + EMPTY_ACK_DELAY;
        self.timers.insert((at, Timer::EmptyAck(key)));
        if let Some(x) = self.exchanges.get_mut(&key) {
            x.state = ExchangeState::Open { acked: false, empty_ack_at: Some(at) };
        }
    }

    /// Sends the core's answer to the open request `number`.
    pub fn answer(&mut self, now: Micros, number: u64, answer: &Answer, out: &mut Vec<Output>) {
        let Some(open) = self.open.remove(&number) else { return };
        let (from, _) = open.key;
        if let Some(p) = self.peers.get_mut(&from) {
            p.open = p.open.saturating_sub(1);
        }
        let room = self.response_allowance(now, from, open.size);
        let response = match answer {
            Answer::Completed(reply) => match reply_of(reply) {
                Some((status, body)) => {
                    let code = code_of(status, open.method);
                    self.result(now, &open.transfer, open.block2, body, code, room).0
                }
                None => Response::plain(ResponseType::BadGateway),
            },
            Answer::Refused { retry_after: wait, .. } => {
                let least = Micros::from_millis(self.uwsgi.timeouts.retry_after_ms);
                let secs = (*wait).max(least).0.div_ceil(1_000_000).max(1);
                Response::retry_after(
                    ResponseType::ServiceUnavailable,
                    u32::try_from(secs).unwrap_or(u32::MAX),
                )
            }
            Answer::Failed(why) => Response::plain(match why {
                FailureReason::DeadlineExceeded => ResponseType::GatewayTimeout,
                FailureReason::RunFailed | FailureReason::RepeatedWrite => ResponseType::BadGateway,
                FailureReason::KeyConflict => ResponseType::Conflict,
                FailureReason::UnknownClass => ResponseType::NotFound,
                FailureReason::BadRequest => ResponseType::BadRequest,
                FailureReason::TooManyRequests => ResponseType::TooManyRequests,
            }),
        };
        let response = match open.block1 {
            Some(b) => response.with(option::BLOCK1, Block { more: false, ..b }.write()),
            None => response,
        };
        self.respond(now, &open, response, out);
    }

    /// Makes the response for a result: the complete result, or its first block where the result exceeds the requested
    /// block size or the bytes allowed to its address.
    fn result(
        &mut self,
        now: Micros,
        transfer: &TransferKey,
        requested: Option<Block>,
        body: Bytes,
        code: ResponseType,
        room: usize,
    ) -> (Response, Option<FailureReason>) {
        let szx = szx_for(requested.map_or(SZX_MAX, |b| b.szx), room);
        let first = Block { num: 0, more: false, szx };
        if body.len() <= first.size() && requested.is_none_or(|b| body.len() <= b.size()) {
            return (Response { payload: body.to_vec(), ..Response::plain(code) }, None);
        }
        let etag = self.blocks.store_result(now, transfer, body.clone());
        (result_block(&body, etag, first, szx, code), None)
    }

    /// The bytes that may be sent to an address in response to a request of `size` bytes.
    fn response_allowance(&self, now: Micros, to: SocketAddr, size: usize) -> usize {
        let verified = self.verified.get(&to).is_some_and(|until| *until > now);
        if verified { usize::MAX } else { size * AMPLIFICATION_MAX }
    }

    /// Responds to a request and stores the response for its duplicates.
    fn respond(&mut self, now: Micros, open: &OpenRequest, mut response: Response, out: &mut Vec<Output>) {
        let (from, id) = open.key;
        let Some(x) = self.exchanges.get(&open.key) else { return };
        let (token, confirmable, verified) =
            (x.token.clone(), x.confirmable, self.verified.contains_key(&from));
        let acked = matches!(x.state, ExchangeState::Open { acked: true, .. });
        if !verified {
            response = response.with(option::ECHO, self.echo(now, from));
        }
        let state = if !confirmable {
            let bytes = Rc::new(response.write(MessageType::NonConfirmable, self.next_message_id(), &token));
            out.push(Output::Send(from, bytes.to_vec()));
            ExchangeState::Done(Some(bytes))
        } else if !acked {
            let bytes = Rc::new(response.write(MessageType::Acknowledgement, id, &token));
            out.push(Output::Send(from, bytes.to_vec()));
            ExchangeState::Done(Some(bytes))
        } else {
            let own = self.next_message_id();
            let bytes = Rc::new(response.write(MessageType::Confirmable, own, &token));
            self.peers.entry(from).or_default().queue.push_back((own, bytes));
            self.send_next_queued(now, from, out);
            ExchangeState::Done(None)
        };
        if let Some(x) = self.exchanges.get_mut(&open.key) {
            x.state = state;
        }
        self.remove_idle_peer(from);
    }

    /// Sends the next queued separate response, unless the peer has yet to acknowledge one.
    fn send_next_queued(&mut self, now: Micros, to: SocketAddr, out: &mut Vec<Output>) {
        let Some(p) = self.peers.get_mut(&to).filter(|p| p.unacked.is_none()) else { return };
        let Some((id, bytes)) = p.queue.pop_front() else { return };
        let timeout = ACK_TIMEOUT.as_secs_f64() * self.rng.random_range(1.0..ACK_RANDOM);
        let timeout = Micros::from_secs_f64(timeout);
        out.push(Output::Send(to, bytes.to_vec()));
        p.unacked =
            Some((id, UnackedResponse { bytes, retransmissions: 0, timeout, retransmit_at: now + timeout }));
        self.timers.insert((now + timeout, Timer::Retransmit(to, id)));
    }

    /// Handles the acknowledgement or reset of a response. False where no response with this id is unacknowledged.
    fn acknowledge(&mut self, now: Micros, from: SocketAddr, id: u16, out: &mut Vec<Output>) -> bool {
        let Some(p) = self.peers.get_mut(&from) else { return false };
        let Some((_, sent)) = p.unacked.take_if(|(own, _)| *own == id) else { return false };
        self.timers.remove(&(sent.retransmit_at, Timer::Retransmit(from, id)));
        self.send_next_queued(now, from, out);
        self.remove_idle_peer(from);
        true
    }

    /// Responds without storing an exchange.
    fn respond_without_exchange(
        &mut self,
        to: SocketAddr,
        r: &Request,
        response: &Response,
        out: &mut Vec<Output>,
    ) {
        let (kind, id) = if r.confirmable {
            (MessageType::Acknowledgement, r.id)
        } else {
            (MessageType::NonConfirmable, self.next_message_id())
        };
        out.push(Output::Send(to, response.write(kind, id, &r.token)));
    }

    /// Handles the timers that are due: expiry, empty acknowledgements and retransmissions.
    pub fn sweep(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.blocks.sweep(now);
        while let Some((_, timer)) = self.timers.first().copied().filter(|d| d.0 <= now) {
            self.timers.pop_first();
            match timer {
                Timer::ExpireExchange(key) => {
                    // The exchange of an open request is kept until it is answered.
                    match self.exchanges.get(&key).map(|x| &x.state) {
                        Some(ExchangeState::Open { .. }) => {
                            _ = self.timers.insert((now + EMPTY_ACK_DELAY, Timer::ExpireExchange(key)))
                        }
                        _ => {
                            let removed = self.exchanges.remove(&key);
                            self.unverified_exchanges -= usize::from(removed.is_some_and(|x| !x.verified));
                        }
                    }
                }
                Timer::EmptyAck(key) => {
                    if let Some(ExchangeState::Open { acked, .. }) =
                        self.exchanges.get_mut(&key).map(|x| &mut x.state)
                    {
                        *acked = true;
                        out.push(Output::Send(key.0, empty(MessageType::Acknowledgement, key.1)));
                    }
                }
                Timer::Retransmit(to, id) => {
                    let Some(p) = self.peers.get_mut(&to) else { continue };
                    let Some((_, sent)) = p.unacked.as_mut().filter(|(own, _)| *own == id) else { continue };
                    if sent.retransmissions >= MAX_RETRANSMIT {
                        self.tally.undelivered += 1;
                        p.unacked = None;
                        self.send_next_queued(now, to, out);
                        self.remove_idle_peer(to);
                        continue;
                    }
                    sent.retransmissions += 1;
                    sent.timeout = Micros(sent.timeout.0 * 2);
                    sent.retransmit_at = now + sent.timeout;
                    self.tally.again += 1;
                    out.push(Output::Send(to, sent.bytes.to_vec()));
                    self.timers.insert((sent.retransmit_at, Timer::Retransmit(to, id)));
                }
                Timer::ExpireVerification(from) => {
                    if let Some(until) = self.verified.get(&from).copied() {
                        if until <= now {
                            self.verified.remove(&from);
                        } else {
                            self.timers.insert((until, Timer::ExpireVerification(from)));
                        }
                    }
                }
            }
        }
    }

    /// Removes a peer without open requests and unacknowledged responses.
    fn remove_idle_peer(&mut self, from: SocketAddr) {
        if self.peers.get(&from).is_some_and(|p| p.outstanding() == 0) {
            self.peers.remove(&from);
        }
    }

    fn next_message_id(&mut self) -> u16 {
        self.last_message_id = self.last_message_id.wrapping_add(1);
        self.last_message_id
    }
}
