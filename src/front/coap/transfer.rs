//! The state of the CoAP front as it passes from one process of a node to the next.
//!
//! A front has one owner: the process that passes its state on answers no device afterwards, and the one that takes it over goes
//! on as if it had been there before. Times cross as spans, as each process has its own clock. What does not fit into the bounds
//! is left out, the oldest first; for as long as a write may be a duplicate of one that was left out, the new owner answers it
//! as failed.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use coap_lite::MessageClass;
use serde::{Deserialize, Serialize};

use super::blocks::BlocksState;
use super::message::Block;
use super::refused::RefusedState;
use super::{Coap, Exchange, ExchangeKey, ExchangeState, OpenRequest, Output, Peer, Timer, UnackedResponse};
use crate::interface::Micros;
use crate::node::{Answer, FailureReason};

/// The format of [`FrontTransfer`]. Two processes pass a front on only if both have the same.
pub const TRANSFER_FORMAT: u32 = 1;
/// Most exchanges that are passed on.
pub const EXCHANGES_MAX: usize = 131_072;
/// Most bytes of the exchanges that are passed on, with their responses.
const EXCHANGE_BYTES_MAX: usize = 16 << 20;
/// Most separate responses that are passed on, and their bytes.
pub const RESPONSES_MAX: usize = 16_384;
const RESPONSE_BYTES_MAX: usize = 8 << 20;
/// Most verified addresses that are passed on.
pub const VERIFIED_MAX: usize = 131_072;
/// Bytes of an exchange without its token and response, about.
const EXCHANGE_OVERHEAD_BYTES: usize = 32;
/// Most bytes of a transfer: state or answer.
pub const TRANSFER_BYTES_MAX: usize = 48 << 20;

/// What the process that passes its front on sends to the one that takes it over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FrontTransfer {
    /// The front's state.
    State(Box<FrontState>),
    /// The answer to a request that was open when the state was sent.
    Answer {
        /// The request's number in the front.
        number: u64,
        /// Its answer.
        answer: ForwardedAnswer,
    },
}

impl FrontTransfer {
    /// Encodes the transfer; `None` if it has more than [`TRANSFER_BYTES_MAX`] bytes, as only one with very many open requests has.
    #[must_use]
    pub fn encode(&self) -> Option<Bytes> {
        let bytes = postcard::to_allocvec(self).ok()?;
        (bytes.len() <= TRANSFER_BYTES_MAX).then(|| bytes.into())
    }

    /// Decodes a transfer; `None` if the bytes are not exactly one.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<FrontTransfer> {
        let (transfer, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(transfer)
    }
}

/// An answer of the core, as it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ForwardedAnswer {
    /// See [`Answer::Completed`].
    Completed(Vec<u8>),
    /// See [`Answer::Refused`].
    Refused {
        /// How long the peer should wait.
        retry_after: Micros,
        /// Whether it should not try again.
        is_final: bool,
    },
    /// See [`Answer::Failed`].
    Failed(FailureReason),
}

impl From<&Answer> for ForwardedAnswer {
    fn from(answer: &Answer) -> ForwardedAnswer {
        match answer {
            Answer::Completed(result) => ForwardedAnswer::Completed(result.to_vec()),
            Answer::Refused { retry_after, is_final } => {
                ForwardedAnswer::Refused { retry_after: *retry_after, is_final: *is_final }
            }
            Answer::Failed(reason) => ForwardedAnswer::Failed(*reason),
        }
    }
}

impl From<ForwardedAnswer> for Answer {
    fn from(answer: ForwardedAnswer) -> Answer {
        match answer {
            ForwardedAnswer::Completed(result) => Answer::Completed(result.into()),
            ForwardedAnswer::Refused { retry_after, is_final } => Answer::Refused { retry_after, is_final },
            ForwardedAnswer::Failed(reason) => Answer::Failed(reason),
        }
    }
}

/// The state of a front. Spans count from the time at which it was taken.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FrontState {
    secret: [u8; 32],
    echo_time: Micros,
    echo_demanded_for: Micros,
    writes_refused_for: Micros,
    writes_unknown_for: Micros,
    last_request_number: u64,
    last_message_id: u16,
    exchanges: Vec<ExchangeRecord>,
    open: Vec<OpenRecord>,
    responses: Vec<ResponseRecord>,
    verified: Vec<(SocketAddr, Micros)>,
    blocks: BlocksState,
    refused: RefusedState,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ExchangeRecord {
    key: ExchangeKey,
    token: Vec<u8>,
    confirmable: bool,
    verified: bool,
    expires_in: Micros,
    progress: ExchangeProgress,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum ExchangeProgress {
    /// Not answered; the span until the empty acknowledgement is due, if that has not been sent.
    Open { acked: bool, empty_ack_in: Option<Micros> },
    /// Answered by these bytes, or by a separate response.
    Done(Option<Vec<u8>>),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct OpenRecord {
    number: u64,
    key: ExchangeKey,
    method: u8,
    resource: String,
    request_tag: Vec<u8>,
    block1: Option<Block>,
    block2: Option<Block>,
    size: usize,
}

/// A separate response that its peer has not acknowledged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ResponseRecord {
    to: SocketAddr,
    message_id: u16,
    bytes: Vec<u8>,
    /// Absent while it is queued behind another one.
    transmission: Option<Transmission>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Transmission {
    retransmissions: u32,
    timeout: Micros,
    retransmit_in: Micros,
}

impl FrontState {
    /// Number of exchanges, and of requests that were open.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.exchanges.len(), self.open.len())
    }
}

impl Coap {
    /// The state to pass to the next process. This front answers no device afterwards.
    #[must_use]
    pub fn export(&self, now: Micros) -> FrontState {
        let (exchanges, left_out_for) = self.export_exchanges(now);
        FrontState {
            secret: self.secret,
            echo_time: self.echo_time(now),
            echo_demanded_for: self.echo_demanded_until - now,
            writes_refused_for: self.writes_refused_until - now,
            writes_unknown_for: (self.writes_unknown_until - now).max(left_out_for),
            last_request_number: self.last_request_number,
            last_message_id: self.last_message_id,
            exchanges,
            open: self.open.iter().map(|(number, open)| OpenRecord::of(*number, open)).collect(),
            responses: self.export_responses(now),
            verified: self.export_verified(now),
            blocks: self.blocks.export(now),
            refused: self.refused.export(now),
        }
    }

    /// The exchanges within the bounds, and for how long a duplicate may come of one that is left out. Those that are not answered
    /// are never left out.
    fn export_exchanges(&self, now: Micros) -> (Vec<ExchangeRecord>, Micros) {
        let expiries = self.timers.iter().rev().filter_map(|(at, timer)| match timer {
            Timer::ExpireExchange(key) => Some((*key, *at - now)),
            _ => None,
        });
        let (mut records, mut bytes, mut left_out_for) = (Vec::new(), 0, Micros(0));
        // The one that expires last first.
        for (key, expires_in) in expiries {
            let Some(exchange) = self.exchanges.get(&key) else { continue };
            let response_bytes = match &exchange.state {
                ExchangeState::Done(Some(response)) => response.len(),
                _ => 0,
            };
            bytes += EXCHANGE_OVERHEAD_BYTES + exchange.token.len() + response_bytes;
            let is_open = matches!(exchange.state, ExchangeState::Open { .. });
            if !is_open && (records.len() >= EXCHANGES_MAX || bytes > EXCHANGE_BYTES_MAX) {
                left_out_for = left_out_for.max(expires_in);
                continue;
            }
            records.push(self.export_exchange(now, key, exchange, expires_in));
        }
        (records, left_out_for)
    }

    /// The separate responses within the bounds. One that is left out is as one that was lost on the way.
    fn export_responses(&self, now: Micros) -> Vec<ResponseRecord> {
        let mut bytes = 0;
        let responses = self.peers.iter().flat_map(|(to, peer)| responses_of(now, *to, peer));
        let is_within = |response: &ResponseRecord| {
            bytes += response.bytes.len();
            bytes <= RESPONSE_BYTES_MAX
        };
        responses.take(RESPONSES_MAX).take_while(is_within).collect()
    }

    /// The verified addresses within the bounds, those whose verification lasts longest. The others have to be verified again.
    fn export_verified(&self, now: Micros) -> Vec<(SocketAddr, Micros)> {
        let mut verified: Vec<_> = self.verified.iter().map(|(at, until)| (*at, *until - now)).collect();
        verified.sort_unstable_by_key(|(_, valid_for)| std::cmp::Reverse(*valid_for));
        verified.truncate(VERIFIED_MAX);
        verified
    }

    fn export_exchange(
        &self,
        now: Micros,
        key: ExchangeKey,
        exchange: &Exchange,
        expires_in: Micros,
    ) -> ExchangeRecord {
        let progress = match &exchange.state {
            ExchangeState::Done(response) => {
                ExchangeProgress::Done(response.as_ref().map(|bytes| bytes.to_vec()))
            }
            ExchangeState::Open { acked, empty_ack_at } => ExchangeProgress::Open {
                acked: *acked,
                empty_ack_in: empty_ack_at.filter(|_| !acked).map(|at| at - now),
            },
        };
        ExchangeRecord {
            key,
            token: exchange.token.clone(),
            confirmable: exchange.confirmable,
            verified: exchange.verified,
            expires_in,
            progress,
        }
    }

    /// Takes over the state of the process before. This front must not have received anything.
    pub fn import(&mut self, now: Micros, state: FrontState) {
        self.secret = state.secret;
        self.echo_offset = state.echo_time - now;
        self.echo_demanded_until = now + state.echo_demanded_for;
        self.writes_refused_until = now + state.writes_refused_for;
        self.writes_unknown_until = now + state.writes_unknown_for;
        self.last_request_number = state.last_request_number;
        self.last_transferred_number = state.last_request_number;
        self.last_message_id = state.last_message_id;
        for record in state.exchanges {
            self.import_exchange(now, record);
        }
        for record in state.open {
            self.peers.entry(record.key.0).or_default().open += 1;
            self.open.insert(record.number, record.into_open());
        }
        for record in state.responses {
            self.import_response(now, record);
        }
        for (address, valid_for) in state.verified {
            self.verified.insert(address, now + valid_for);
            self.timers.insert((now + valid_for, Timer::ExpireVerification(address)));
        }
        self.blocks.import(now, state.blocks);
        self.refused.import(now, state.refused);
    }

    fn import_exchange(&mut self, now: Micros, record: ExchangeRecord) {
        let state = match record.progress {
            ExchangeProgress::Done(response) => ExchangeState::Done(response.map(Rc::new)),
            ExchangeProgress::Open { acked, empty_ack_in } => {
                let empty_ack_at = empty_ack_in.map(|wait| now + wait);
                if let Some(at) = empty_ack_at {
                    self.timers.insert((at, Timer::EmptyAck(record.key)));
                }
                ExchangeState::Open { acked, empty_ack_at }
            }
        };
        self.timers.insert((now + record.expires_in, Timer::ExpireExchange(record.key)));
        self.unverified_exchanges += usize::from(!record.verified);
        let exchange = Exchange {
            state,
            token: record.token,
            confirmable: record.confirmable,
            verified: record.verified,
        };
        self.exchanges.insert(record.key, exchange);
    }

    fn import_response(&mut self, now: Micros, record: ResponseRecord) {
        let ResponseRecord { to, message_id, bytes, transmission } = record;
        let bytes = Rc::new(bytes);
        let peer = self.peers.entry(to).or_default();
        let Some(Transmission { retransmissions, timeout, retransmit_in }) = transmission else {
            return peer.queue.push_back((message_id, bytes));
        };
        let retransmit_at = now + retransmit_in;
        peer.unacked = Some((message_id, UnackedResponse { bytes, retransmissions, timeout, retransmit_at }));
        self.timers.insert((retransmit_at, Timer::Retransmit(to, message_id)));
    }

    /// Answers the requests that were open when the front was taken over and whose answers will not come, as the process that had
    /// them has ended. They may have run.
    pub fn fail_transferred(&mut self, now: Micros, out: &mut Vec<Output>) {
        let transferred = self.open.keys().filter(|number| **number <= self.last_transferred_number);
        for number in transferred.copied().collect::<Vec<_>>() {
            self.answer(now, number, &Answer::Failed(FailureReason::RunFailed), out);
        }
    }
}

impl OpenRecord {
    fn of(number: u64, open: &OpenRequest) -> OpenRecord {
        let (_, resource, request_tag) = open.transfer.clone();
        OpenRecord {
            number,
            key: open.key,
            method: MessageClass::Request(open.method).into(),
            resource,
            request_tag,
            block1: open.block1,
            block2: open.block2,
            size: open.size,
        }
    }

    fn into_open(self) -> OpenRequest {
        let method = match MessageClass::from(self.method) {
            MessageClass::Request(method) => method,
            _ => coap_lite::RequestType::UnKnown,
        };
        OpenRequest {
            key: self.key,
            method,
            transfer: (self.key.0, self.resource, self.request_tag),
            block1: self.block1,
            block2: self.block2,
            size: self.size,
        }
    }
}

/// A peer's responses in the order in which they are sent.
fn responses_of(now: Micros, to: SocketAddr, peer: &Peer) -> impl Iterator<Item = ResponseRecord> {
    let unacked = peer.unacked.iter().map(move |(message_id, sent)| ResponseRecord {
        to,
        message_id: *message_id,
        bytes: sent.bytes.to_vec(),
        transmission: Some(Transmission {
            retransmissions: sent.retransmissions,
            timeout: sent.timeout,
            retransmit_in: sent.retransmit_at - now,
        }),
    });
    let queued = peer.queue.iter().map(move |(message_id, bytes)| ResponseRecord {
        to,
        message_id: *message_id,
        bytes: bytes.to_vec(),
        transmission: None,
    });
    unacked.chain(queued)
}
