//! The protocol between two processes of one node while the second takes over from the first: messages and framing.
//!
//! The process that serves is the *incumbent*, the one started beside it the *successor*. The successor sends `Hello` and gets
//! a `Welcome` with the incumbent's listeners and service state, then the writes that the incumbent knows. It sends `Ready`
//! once it can take clients, and takes them when it gets `TakeoverConfirmed`. From then on a notice to leave makes the
//! incumbent hand over. Each sends the other its writes until one of them ends, and the successor asks the incumbent about
//! each write that an idempotency key links.
//!
//! What the two exchange beyond writes depends on the features of both, which `Hello` offers and `Welcome` agrees on in the bytes
//! behind their heads. A process of a former build ignores such bytes and sends none, so that nothing is sent to it that it does
//! not know. A [barrier](HandoverMessage::Barrier) tells the sender that the other process has handled all before it.
//!
//! A message of another version or another protocol, or beyond the size limits, is an error that ends the link; each process
//! then goes on as if there were no other. This module handles no sockets and no descriptors: `runtime::hot_restart` does.

mod features;
mod wire;

use std::net::SocketAddr;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder};

pub use features::PeerFeatures;

use super::lifecycle::NodeOrder;
use crate::idempotency::Change;
use crate::interface::Micros;
use crate::zone::ZoneStatusMap;
use wire::{from_head, to_head};

/// The protocol version. Messages of any other version are errors.
pub const VERSION: u32 = 3;
/// The time of sending in the times that messages carry, µs: they are relative to it, as each process has its own monotonic
/// clock. See [`rebased`](crate::idempotency::Attempt::rebased).
pub const WIRE_NOW: Micros = Micros::from_millis(10 * 86_400_000);
/// Largest JSON head of a message, bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Most bytes after a head. A result of the platform has at most 4 KiB.
pub const MAX_RESULT_BYTES: usize = 64 << 10;
/// The two lengths in front of each message, bytes.
const LENGTHS_BYTES: usize = 8;
/// Maximum number of listeners that are passed on. The system passes at most 253 descriptors in one message, and a
/// configuration names at most 32 listeners.
pub const MAX_LISTENERS: usize = 40;

/// The statuses of the fleet's zones as a process of the node has received them. A fleet's datagram bounds their size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedZoneStatuses {
    /// The time since.
    pub age: Micros,
    /// The statuses.
    pub statuses: ZoneStatusMap,
}

/// One message between the incumbent and the successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandoverMessage {
    /// The successor's first message.
    Hello {
        /// The node's name.
        name: String,
        /// Where its callers connect.
        listen: Option<SocketAddr>,
        /// What it can exchange beyond writes.
        features: PeerFeatures,
    },
    /// The incumbent's first message. Its listeners' descriptors come with it, in this order.
    Welcome {
        /// The operators' last order to the node.
        order: NodeOrder,
        /// The address of each listener.
        listeners: Vec<SocketAddr>,
        /// The descriptor of the CoAP front's socket comes behind those of the listeners.
        has_coap_socket: bool,
        /// The statuses of the zones that the incumbent follows.
        zones: Option<SharedZoneStatuses>,
        /// What the two exchange beyond writes: what both of them can.
        features: PeerFeatures,
    },
    /// The incumbent has a successor already, or is leaving.
    Busy,
    /// The successor can take clients.
    Ready,
    /// The incumbent knows that the successor is ready: the successor takes clients, and a notice to leave hands over to it.
    TakeoverConfirmed,
    /// A change to a write, from either process.
    Write(Change),
    /// An operator's order that the sender has accepted for the node.
    Order(NodeOrder),
    /// Newer statuses of the zones.
    Zones(SharedZoneStatuses),
    /// Asks the other process to confirm that it has handled all messages before this one.
    Barrier(u64),
    /// The sender has handled all messages before the barrier of this number.
    BarrierPassed(u64),
    /// A part of what passes the CoAP front from the incumbent to the successor: its state, then the answers of requests that were
    /// open in it.
    CoapPart {
        /// It completes the state or the answer.
        is_last: bool,
        /// At most [`MAX_RESULT_BYTES`].
        bytes: Bytes,
    },
    /// The incumbent has given up the socket of the CoAP front.
    CoapReleased,
}

/// Why a message cannot be sent or read.
#[derive(Debug, Error)]
pub enum HandoverError {
    /// The link broke.
    #[error("link: {0}")]
    Io(#[from] std::io::Error),
    /// The message exceeds the size limits; its length in bytes.
    #[error("a message of {0} bytes exceeds the size limits")]
    TooLong(usize),
    /// The bytes are not a message of this protocol.
    #[error("not a handover message: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The peer speaks another protocol version.
    #[error("version {0}, not {VERSION}")]
    UnsupportedVersion(u32),
}

fn check_lengths(head_bytes: usize, result_bytes: usize) -> Result<(), HandoverError> {
    if head_bytes > MAX_HEAD_BYTES || result_bytes > MAX_RESULT_BYTES {
        return Err(HandoverError::TooLong(head_bytes.max(result_bytes)));
    }
    Ok(())
}

/// Frames messages: two lengths of four bytes, a head in JSON, and the result, which may be empty.
#[derive(Debug, Default)]
pub struct HandoverCodec;

impl Encoder<HandoverMessage> for HandoverCodec {
    type Error = HandoverError;

    fn encode(&mut self, message: HandoverMessage, dst: &mut BytesMut) -> Result<(), HandoverError> {
        let (head, result) = to_head(message)?;
        let head = serde_json::to_vec(&head)?;
        check_lengths(head.len(), result.len())?;
        dst.put_u32(head.len() as u32);
        dst.put_u32(result.len() as u32);
        dst.extend_from_slice(&head);
        dst.extend_from_slice(&result);
        Ok(())
    }
}

impl Decoder for HandoverCodec {
    type Item = HandoverMessage;
    type Error = HandoverError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<HandoverMessage>, HandoverError> {
        let Some(mut lengths) = src.get(..LENGTHS_BYTES) else { return Ok(None) };
        let (head_bytes, result_bytes) = (lengths.get_u32() as usize, lengths.get_u32() as usize);
        check_lengths(head_bytes, result_bytes)?;
        if src.len() < LENGTHS_BYTES + head_bytes + result_bytes {
            return Ok(None);
        }
        src.advance(LENGTHS_BYTES);
        let head = serde_json::from_slice(&src.split_to(head_bytes))?;
        let result = src.split_to(result_bytes).freeze();
        from_head(head, result).map(Some)
    }
}

#[cfg(test)]
mod tests;
