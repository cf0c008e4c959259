//! The CoAP front: fed datagrams, answers and the time; says what to send and what has been asked. It knows no socket.
//!
//! It guards against what UDP brings: duplicates, which never run anything twice; losses, mended by retransmission; addresses
//! that are not the sender's, which get no more than three times what they sent and hold no more than a quarter of the
//! table; and peers without end, as every table has a bound and new ones are turned away at it.

mod ask;
pub mod blocks;
pub mod message;
mod refused;
mod reply;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};
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
use blocks::{Blocks, Place, Upload};
use message::{Block, Datagram, Request, Response, empty, option, uint};
use refused::Refused;
use reply::{SZX_MOST, code_of, good, part, reply_of, szx_for};

/// RFC 7252 section 4.8: how long an acknowledgement is awaited at first, us, and how far that is drawn out at random.
const ACK_TIMEOUT: Micros = Micros::from_millis(2_000);
const ACK_RANDOM: f64 = 1.5;
/// Retransmissions of one message.
const MAX_RETRANSMIT: u32 = 4;
/// How long a duplicate of a confirmable message may come, and of another (section 4.8.2).
pub const EXCHANGE_LIFETIME: Micros = Micros::from_millis(247_000);
/// Of a message that is not confirmable.
pub const NON_LIFETIME: Micros = Micros::from_millis(145_000);
/// A response that is not there after this long is announced by an empty acknowledgement: well under the peer's ACK_TIMEOUT.
const PROCESSING: Micros = Micros::from_millis(200);
/// Part of the table that addresses may hold which have not proved themselves.
const UNPROVED_PART: usize = 4;
/// What an address may be sent that has not, as a multiple of what it sent (RFC 9175 section 2.4).
const AMPLIFY: usize = 3;
/// Bytes of the largest response that has a block of 16 bytes: 4 and the token before its options.
const LEAST: usize = 64;
/// How long an address counts as proved.
const PROVED: Micros = Micros::from_millis(600_000);
/// Two of these long an Echo is good for.
const ECHO_SPAN: u64 = 60_000_000;
/// Seconds to stay away where the table is full.
const FULL_WAIT: u32 = 5;
/// Where the classes are listed (RFC 6690).
const CORE: &str = "/.well-known/core";

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// Tell the core.
    ToCore(Input),
}

/// What has been counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Datagrams that are none of CoAP's.
    pub noise: u64,
    /// Messages rejected with a reset.
    pub rejected: u64,
    /// Duplicates, answered from their exchange.
    pub duplicates: u64,
    /// Requests turned away as the table was full, or the peer had too many open.
    pub full: u64,
    /// Addresses that were asked to prove themselves first.
    pub echoes: u64,
    /// Retransmissions.
    pub again: u64,
    /// Responses that were never acknowledged.
    pub undelivered: u64,
}

type Key = (SocketAddr, u16);

/// Where a request has got to.
#[derive(Debug)]
enum State {
    /// The core has it; it has been acknowledged, or not yet.
    Open { acked: bool },
    /// It has been answered with these bytes, or by a response of its own.
    Done(Option<Rc<Vec<u8>>>),
}

#[derive(Debug)]
struct Exchange {
    state: State,
    token: Vec<u8>,
    confirmable: bool,
    proved: bool,
}

/// A request that the core has.
#[derive(Debug)]
struct Open {
    key: Key,
    method: RequestType,
    place: Place,
    block1: Option<Block>,
    block2: Option<Block>,
    size: usize,
}

/// A response of its own that awaits its acknowledgement.
#[derive(Debug)]
struct Sent {
    bytes: Rc<Vec<u8>>,
    tries: u32,
    wait: Micros,
    at: Micros,
}

#[derive(Debug, Default)]
struct Peer {
    /// Requests that the core has of it.
    open: usize,
    /// The response that it has not acknowledged yet, and those that wait behind (NSTART is 1).
    sent: Option<(u16, Sent)>,
    queue: VecDeque<(u16, Rc<Vec<u8>>)>,
}

impl Peer {
    /// Requests that are open, and responses that it has not acknowledged: one that never does gets no more.
    fn owed(&self) -> usize {
        self.open + self.queue.len() + usize::from(self.sent.is_some())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// An exchange may be forgotten.
    Forget(Key),
    /// A request is still open: its empty acknowledgement.
    Ack(Key),
    /// A response has not been acknowledged.
    Again(SocketAddr, u16),
    /// An address has not shown itself for long.
    Unproved(SocketAddr),
}

/// The front.
pub struct Coap {
    settings: CurrentSettings,
    config: Rc<CoapConfig>,
    uwsgi: Rc<UwsgiConfig>,
    /// Until then a duplicate of a write may come that the process before this one took in.
    quiet_until: Micros,
    exchanges: HashMap<Key, Exchange>,
    open: HashMap<u64, Open>,
    peers: HashMap<SocketAddr, Peer>,
    proved: HashMap<SocketAddr, Micros>,
    /// Exchanges of addresses that have not proved themselves.
    unproved: usize,
    /// Until then whoever gives no Echo is asked for one.
    demand_until: Micros,
    /// Messages of late that were turned away without an exchange.
    refused: Refused,
    blocks: Blocks,
    due: BTreeSet<(Micros, Due)>,
    next: u64,
    next_id: u16,
    secret: RandomState,
    /// The classes as links, and of which classes they are.
    links: Option<(IndexedList<ClassSettings>, Bytes)>,
    draws: ChaCha8Rng,
    /// What has been counted.
    pub tally: Tally,
}

impl Coap {
    /// A fresh front; `seed` for message ids and waits.
    pub fn new(
        settings: CurrentSettings,
        config: Rc<CoapConfig>,
        uwsgi: Rc<UwsgiConfig>,
        seed: u64,
        now: Micros,
    ) -> Coap {
        let mut draws = ChaCha8Rng::seed_from_u64(seed);
        Coap {
            blocks: Blocks::new(config.body_bytes, config.uploads_bytes, config.results_bytes),
            quiet_until: now + Micros::from_millis(config.quiet_ms),
            settings,
            config,
            uwsgi,
            exchanges: HashMap::new(),
            open: HashMap::new(),
            peers: HashMap::new(),
            proved: HashMap::new(),
            unproved: 0,
            demand_until: Micros(0),
            refused: Refused::new(EXCHANGE_LIFETIME),
            due: BTreeSet::new(),
            next: 0,
            next_id: draws.random(),
            secret: RandomState::new(),
            links: None,
            draws,
            tally: Tally::default(),
        }
    }

    /// Where devices send to.
    pub fn listen(&self) -> SocketAddr {
        self.config.listen
    }

    /// When [`Coap::sweep`] is to be called.
    pub fn deadline(&self) -> Option<Micros> {
        [self.due.first().map(|d| d.0), self.blocks.deadline()].into_iter().flatten().min()
    }

    /// Exchanges known, requests open, and bytes held of uploads and of results.
    pub fn holds(&self) -> (usize, usize, (usize, usize)) {
        (self.exchanges.len(), self.open.len(), self.blocks.held())
    }

    /// Whether every response that is owed has been sent and acknowledged, or given up.
    pub fn idle(&self) -> bool {
        self.open.is_empty() && self.peers.values().all(|p| p.sent.is_none())
    }

    /// Takes in a datagram.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        match message::read(bytes) {
            Datagram::Noise => self.tally.noise += 1,
            Datagram::Reject(id) => {
                self.tally.rejected += 1;
                out.push(Output::Send(from, empty(MessageType::Reset, id)));
            }
            Datagram::Ack(id) => {
                // Nobody else knows an id that was drawn here.
                if self.acknowledged(now, from, id, out) {
                    self.prove(now, from);
                }
            }
            Datagram::Reset(id) => _ = self.acknowledged(now, from, id, out),
            Datagram::Request(r) => self.request(now, from, r, out),
        }
    }

    fn request(&mut self, now: Micros, from: SocketAddr, r: Request, out: &mut Vec<Output>) {
        let key = (from, r.id);
        let given = self.echo_is_good(now, from, &r.echo);
        if given {
            self.prove(now, from);
        }
        if let Some(x) = self.exchanges.get(&key) {
            self.tally.duplicates += 1;
            if x.token != r.token {
                // Another request under an id that a duplicate of the first may still come under.
                self.tally.rejected += 1;
                return out.push(Output::Send(from, empty(MessageType::Reset, r.id)));
            }
            match &x.state {
                State::Done(Some(bytes)) => out.push(Output::Send(from, bytes.to_vec())),
                State::Done(None) | State::Open { acked: true, .. } if x.confirmable => {
                    out.push(Output::Send(from, empty(MessageType::Acknowledgement, r.id)));
                }
                _ => {}
            }
            return;
        }
        let proved = self.proved.get(&from).is_some_and(|until| *until > now);
        let full = self.exchanges.len() >= self.config.exchanges;
        if !given {
            // What is told to prove its address is told so for as long as a duplicate may come, whatever has changed
            // meanwhile: its sender asks anew, under another id.
            let small = r.size * AMPLIFY < LEAST;
            if !proved && (full || self.unproved >= self.config.exchanges / UNPROVED_PART) {
                self.demand_until = now + EXCHANGE_LIFETIME;
            }
            if small || now < self.demand_until {
                self.tally.echoes += 1;
                let echo =
                    Response::plain(ResponseType::Unauthorized).with(option::ECHO, self.echo(now, from));
                return self.stateless(from, &r, &echo, out);
            }
        }
        let hash = self.secret.hash_one(key);
        let wait = if full || self.refused.has(now, hash) {
            Some(Response::wait(ResponseType::ServiceUnavailable, FULL_WAIT))
        } else if self.peers.get(&from).is_some_and(|p| p.owed() >= self.config.peer_requests) {
            Some(Response::wait(ResponseType::TooManyRequests, 1))
        } else {
            None
        };
        if let Some(wait) = wait {
            self.tally.full += 1;
            self.refused.note(now, hash);
            return self.stateless(from, &r, &wait, out);
        }
        let life = if r.confirmable { EXCHANGE_LIFETIME } else { NON_LIFETIME };
        self.next += 1;
        let number = self.next;
        let exchange = Exchange {
            state: State::Open { acked: false },
            token: r.token.clone(),
            confirmable: r.confirmable,
            proved,
        };
        self.unproved += usize::from(!proved);
        self.exchanges.insert(key, exchange);
        self.due.insert((now + life, Due::Forget(key)));
        let place = (from, format!("{:?} {}?{}", r.method, r.path, r.query.join("&")), r.tag.clone());
        let open = Open { key, method: r.method, place, block1: r.block1, block2: r.block2, size: r.size };
        match self.decide(now, &r, &open.place, number) {
            Ok(ask) => {
                if r.confirmable {
                    self.due.insert((now + PROCESSING, Due::Ack(key)));
                }
                self.open.insert(number, open);
                self.peers.entry(from).or_default().open += 1;
                let origin =
                    ResponseRoute { front: Wire::Coap.front(), connection: number, request_number: 0 };
                out.push(Output::ToCore(Input::RequestReceived(origin, Box::new(ask))));
            }
            Err((response, why)) => {
                out.extend(why.map(|why| Output::ToCore(Input::RequestRejected(why))));
                self.respond(now, &open, response, out);
            }
        }
    }

    /// The core's answer to a request.
    pub fn answer(&mut self, now: Micros, number: u64, answer: &Answer, out: &mut Vec<Output>) {
        let Some(open) = self.open.remove(&number) else { return };
        let (from, _) = open.key;
        if let Some(p) = self.peers.get_mut(&from) {
            p.open = p.open.saturating_sub(1);
        }
        let room = self.room(now, from, open.size);
        let response = match answer {
            Answer::Completed(reply) => match reply_of(reply) {
                Some((status, body)) => {
                    let code = code_of(status, open.method);
                    self.result(now, &open.place, open.block2, body, code, room).0
                }
                None => Response::plain(ResponseType::BadGateway),
            },
            Answer::Refused { retry_after: wait, .. } => {
                let least = Micros::from_millis(self.uwsgi.timeouts.retry_after_ms);
                let secs = (*wait).max(least).0.div_ceil(1_000_000).max(1);
                Response::wait(ResponseType::ServiceUnavailable, u32::try_from(secs).unwrap_or(u32::MAX))
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

    /// A result as a response: whole, or its first block where it is too large for one or for its address.
    fn result(
        &mut self,
        now: Micros,
        place: &Place,
        asked: Option<Block>,
        body: Bytes,
        code: ResponseType,
        room: usize,
    ) -> (Response, Option<FailureReason>) {
        let szx = szx_for(asked.map_or(SZX_MOST, |b| b.szx), room);
        let first = Block { num: 0, more: false, szx };
        if body.len() <= first.size() && asked.is_none_or(|b| body.len() <= b.size()) {
            return (Response { payload: body.to_vec(), ..Response::plain(code) }, None);
        }
        let etag = self.blocks.keep(now, place, body.clone());
        (part(&body, etag, first, szx, code), None)
    }

    /// Bytes that an address may be sent for a request of that size.
    fn room(&self, now: Micros, to: SocketAddr, size: usize) -> usize {
        let proved = self.proved.get(&to).is_some_and(|until| *until > now);
        if proved { usize::MAX } else { size * AMPLIFY }
    }

    /// Answers a request and keeps the answer for its duplicates.
    fn respond(&mut self, now: Micros, open: &Open, mut response: Response, out: &mut Vec<Output>) {
        let (from, id) = open.key;
        let Some(x) = self.exchanges.get(&open.key) else { return };
        let (token, confirmable, proved) = (x.token.clone(), x.confirmable, self.proved.contains_key(&from));
        let acked = matches!(x.state, State::Open { acked: true, .. });
        if !proved {
            response = response.with(option::ECHO, self.echo(now, from));
        }
        let state = if !confirmable {
            let bytes = Rc::new(response.write(MessageType::NonConfirmable, self.fresh_id(), &token));
            out.push(Output::Send(from, bytes.to_vec()));
            State::Done(Some(bytes))
        } else if !acked {
            let bytes = Rc::new(response.write(MessageType::Acknowledgement, id, &token));
            out.push(Output::Send(from, bytes.to_vec()));
            State::Done(Some(bytes))
        } else {
            let own = self.fresh_id();
            let bytes = Rc::new(response.write(MessageType::Confirmable, own, &token));
            self.peers.entry(from).or_default().queue.push_back((own, bytes));
            self.send_next(now, from, out);
            State::Done(None)
        };
        if let Some(x) = self.exchanges.get_mut(&open.key) {
            x.state = state;
        }
        self.tidy(from);
    }

    /// Sends the next response of its own to a peer that has acknowledged the one before.
    fn send_next(&mut self, now: Micros, to: SocketAddr, out: &mut Vec<Output>) {
        let Some(p) = self.peers.get_mut(&to).filter(|p| p.sent.is_none()) else { return };
        let Some((id, bytes)) = p.queue.pop_front() else { return };
        let wait = ACK_TIMEOUT.as_secs_f64() * self.draws.random_range(1.0..ACK_RANDOM);
        let wait = Micros::from_secs_f64(wait);
        out.push(Output::Send(to, bytes.to_vec()));
        p.sent = Some((id, Sent { bytes, tries: 0, wait, at: now + wait }));
        self.due.insert((now + wait, Due::Again(to, id)));
    }

    /// A peer has acknowledged or reset a response. False where it was none that is awaited.
    fn acknowledged(&mut self, now: Micros, from: SocketAddr, id: u16, out: &mut Vec<Output>) -> bool {
        let Some(p) = self.peers.get_mut(&from) else { return false };
        let Some((_, sent)) = p.sent.take_if(|(own, _)| *own == id) else { return false };
        self.due.remove(&(sent.at, Due::Again(from, id)));
        self.send_next(now, from, out);
        self.tidy(from);
        true
    }

    /// Says something without knowing of it afterwards.
    fn stateless(&mut self, to: SocketAddr, r: &Request, response: &Response, out: &mut Vec<Output>) {
        let (kind, id) = if r.confirmable {
            (MessageType::Acknowledgement, r.id)
        } else {
            (MessageType::NonConfirmable, self.fresh_id())
        };
        out.push(Output::Send(to, response.write(kind, id, &r.token)));
    }

    /// Carries out what has fallen due.
    pub fn sweep(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.blocks.sweep(now);
        while let Some((_, due)) = self.due.first().copied().filter(|d| d.0 <= now) {
            self.due.pop_first();
            match due {
                Due::Forget(key) => {
                    // One that the core still has is kept until it is answered.
                    match self.exchanges.get(&key).map(|x| &x.state) {
                        Some(State::Open { .. }) => _ = self.due.insert((now + PROCESSING, Due::Forget(key))),
                        _ => {
                            let gone = self.exchanges.remove(&key);
                            self.unproved -= usize::from(gone.is_some_and(|x| !x.proved));
                        }
                    }
                }
                Due::Ack(key) => {
                    if let Some(State::Open { acked, .. }) =
                        self.exchanges.get_mut(&key).map(|x| &mut x.state)
                    {
                        *acked = true;
                        out.push(Output::Send(key.0, empty(MessageType::Acknowledgement, key.1)));
                    }
                }
                Due::Again(to, id) => {
                    let Some(p) = self.peers.get_mut(&to) else { continue };
                    let Some((_, sent)) = p.sent.as_mut().filter(|(own, _)| *own == id) else { continue };
                    if sent.tries >= MAX_RETRANSMIT {
                        self.tally.undelivered += 1;
                        p.sent = None;
                        self.send_next(now, to, out);
                        self.tidy(to);
                        continue;
                    }
                    sent.tries += 1;
                    sent.wait = Micros(sent.wait.0 * 2);
                    sent.at = now + sent.wait;
                    self.tally.again += 1;
                    out.push(Output::Send(to, sent.bytes.to_vec()));
                    self.due.insert((sent.at, Due::Again(to, id)));
                }
                Due::Unproved(from) => {
                    if let Some(until) = self.proved.get(&from).copied() {
                        if until <= now {
                            self.proved.remove(&from);
                        } else {
                            self.due.insert((until, Due::Unproved(from)));
                        }
                    }
                }
            }
        }
    }

    /// Forgets a peer of whom nothing is known.
    fn tidy(&mut self, from: SocketAddr) {
        if self.peers.get(&from).is_some_and(|p| p.owed() == 0) {
            self.peers.remove(&from);
        }
    }

    fn fresh_id(&mut self) -> u16 {
        self.next_id = self.next_id.wrapping_add(1);
        self.next_id
    }

    // ---- addresses ----

    /// An address is its sender's.
    fn prove(&mut self, now: Micros, from: SocketAddr) {
        let until = now + PROVED;
        // As many as the table has exchanges: more could have nothing open.
        let room = self.proved.len() < self.config.exchanges;
        if let Some(known) = self.proved.get_mut(&from) {
            *known = until;
        } else if room {
            self.proved.insert(from, until);
            self.due.insert((until, Due::Unproved(from)));
        }
    }

    /// What an address has to give back. A keyed hash that a stranger can't guess, good for one span or two.
    fn echo(&self, now: Micros, to: SocketAddr) -> Vec<u8> {
        self.secret.hash_one((to, now.0 / ECHO_SPAN)).to_be_bytes().to_vec()
    }

    fn echo_is_good(&self, now: Micros, from: SocketAddr, echo: &[u8]) -> bool {
        let span = now.0 / ECHO_SPAN;
        let of = |span: u64| self.secret.hash_one((from, span)).to_be_bytes();
        echo == of(span) || echo == of(span.saturating_sub(1))
    }
}
