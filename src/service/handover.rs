//! The protocol between two processes of one node while the second takes over from the first: messages and framing.
//!
//! The process that serves is the *incumbent*, the one started beside it the *successor*. The successor sends `Hello` and gets
//! a `Welcome` with the incumbent's listeners and service state, then the writes that the incumbent knows. It sends `Ready`
//! once it can take clients, and takes them when it gets `TakeoverConfirmed`. From then on a notice to leave makes the
//! incumbent hand over. Each sends the other its writes until one of them ends, and the successor asks the incumbent about
//! each write that an idempotency key links.
//!
//! A message of another version or another protocol, or beyond the size limits, is an error that ends the link; each process
//! then goes on as if there were no other. This module handles no sockets and no descriptors: `runtime::hot_restart` does.

use std::net::SocketAddr;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder};

use crate::idempotency::{Attempt, Change, Fingerprint, IdempotencyKey, Progress};
use crate::interface::Micros;

/// The protocol version. Messages of any other version are errors.
pub const VERSION: u32 = 3;
/// The time of sending in the times that messages carry, µs: they are relative to it, as each process has its own monotonic
/// clock. See [`Attempt::rebased`].
pub const WIRE_NOW: Micros = Micros::from_millis(10 * 86_400_000);
/// Largest JSON head of a message, bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Largest result after a head, bytes. A result of the platform has at most 4 KiB.
const MAX_RESULT_BYTES: usize = 64 << 10;
/// The two lengths in front of each message, bytes.
const LENGTHS_BYTES: usize = 8;
/// Maximum number of listeners that are passed on. The system passes at most 253 descriptors in one message, and a
/// configuration names at most 32 listeners.
pub const MAX_LISTENERS: usize = 40;

/// One message between the incumbent and the successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandoverMessage {
    /// The successor's first message.
    Hello {
        /// The node's name.
        name: String,
        /// Where its callers connect.
        listen: Option<SocketAddr>,
    },
    /// The incumbent's first message. Its listeners' descriptors come with it, in this order.
    Welcome {
        /// An operator has taken the node out of service.
        out_of_service: bool,
        /// The address of each listener.
        listeners: Vec<SocketAddr>,
    },
    /// The incumbent has a successor already, or is leaving.
    Busy,
    /// The successor can take clients.
    Ready,
    /// The incumbent knows that the successor is ready: the successor takes clients, and a notice to leave hands over to it.
    TakeoverConfirmed,
    /// A change to a write, from either process.
    Write(Change),
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

/// A message's head, as it is sent.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum WireHead {
    Hello {
        version: u32,
        name: String,
        listen: Option<SocketAddr>,
    },
    Welcome {
        version: u32,
        #[serde(rename = "aside")]
        out_of_service: bool,
        listeners: Vec<SocketAddr>,
    },
    Busy,
    Ready,
    #[serde(rename = "yours")]
    TakeoverConfirmed,
    Known {
        attempt: WireAttempt,
        progress: WireProgress,
    },
    Forgotten {
        name: String,
    },
    Asked {
        attempt: WireAttempt,
    },
    Granted {
        name: String,
    },
    Taken {
        name: String,
    },
}

/// An attempt, as it is sent.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct WireAttempt {
    name: String,
    key: Option<WireKey>,
    fingerprint: [u8; 16],
    earliest: u64,
    window_end: u64,
    keep_until: u64,
}

/// Front, class and key, as they are sent: a JSON array.
#[derive(Debug, Serialize, Deserialize)]
struct WireKey(String, String, String);

impl From<Attempt> for WireAttempt {
    fn from(attempt: Attempt) -> WireAttempt {
        WireAttempt {
            name: attempt.name,
            key: attempt.key.map(|key| WireKey(key.front, key.class, key.key)),
            fingerprint: attempt.fingerprint.0,
            earliest: attempt.earliest.0,
            window_end: attempt.window_end.0,
            keep_until: attempt.keep_until.0,
        }
    }
}

impl From<WireAttempt> for Attempt {
    fn from(wire: WireAttempt) -> Attempt {
        Attempt {
            name: wire.name,
            key: wire.key.map(|WireKey(front, class, key)| IdempotencyKey { front, class, key }),
            fingerprint: Fingerprint(wire.fingerprint),
            earliest: Micros(wire.earliest),
            window_end: Micros(wire.window_end),
            keep_until: Micros(wire.keep_until),
        }
    }
}

/// The progress of a write, as it is sent. The result of a good write follows the head.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum WireProgress {
    Open,
    Good,
    Bad,
}

/// The head of a message and the result that follows it, which is empty if there is none.
fn to_head(message: HandoverMessage) -> (WireHead, Bytes) {
    let head = match message {
        HandoverMessage::Hello { name, listen } => WireHead::Hello { version: VERSION, name, listen },
        HandoverMessage::Welcome { out_of_service, listeners } => {
            WireHead::Welcome { version: VERSION, out_of_service, listeners }
        }
        HandoverMessage::Busy => WireHead::Busy,
        HandoverMessage::Ready => WireHead::Ready,
        HandoverMessage::TakeoverConfirmed => WireHead::TakeoverConfirmed,
        HandoverMessage::Write(Change::Forgotten { name }) => WireHead::Forgotten { name },
        HandoverMessage::Write(Change::Asked(attempt)) => WireHead::Asked { attempt: attempt.into() },
        HandoverMessage::Write(Change::Granted { name }) => WireHead::Granted { name },
        HandoverMessage::Write(Change::Taken { name }) => WireHead::Taken { name },
        HandoverMessage::Write(Change::Known(attempt, progress)) => {
            let (progress, result) = match progress {
                Progress::Open => (WireProgress::Open, Bytes::new()),
                Progress::Bad => (WireProgress::Bad, Bytes::new()),
                Progress::Good(result) => (WireProgress::Good, result),
            };
            return (WireHead::Known { attempt: attempt.into(), progress }, result);
        }
    };
    (head, Bytes::new())
}

/// The message of a head and the result that follows it.
fn from_head(head: WireHead, result: Bytes) -> Result<HandoverMessage, HandoverError> {
    Ok(match head {
        WireHead::Hello { version, name, listen } => {
            check_version(version)?;
            HandoverMessage::Hello { name, listen }
        }
        WireHead::Welcome { version, out_of_service, listeners } => {
            check_version(version)?;
            HandoverMessage::Welcome { out_of_service, listeners }
        }
        WireHead::Busy => HandoverMessage::Busy,
        WireHead::Ready => HandoverMessage::Ready,
        WireHead::TakeoverConfirmed => HandoverMessage::TakeoverConfirmed,
        WireHead::Forgotten { name } => HandoverMessage::Write(Change::Forgotten { name }),
        WireHead::Asked { attempt } => HandoverMessage::Write(Change::Asked(attempt.into())),
        WireHead::Granted { name } => HandoverMessage::Write(Change::Granted { name }),
        WireHead::Taken { name } => HandoverMessage::Write(Change::Taken { name }),
        WireHead::Known { attempt, progress } => {
            let progress = match progress {
                WireProgress::Open => Progress::Open,
                WireProgress::Good => Progress::Good(result),
                WireProgress::Bad => Progress::Bad,
            };
            HandoverMessage::Write(Change::Known(attempt.into(), progress))
        }
    })
}

fn check_version(version: u32) -> Result<(), HandoverError> {
    if version == VERSION { Ok(()) } else { Err(HandoverError::UnsupportedVersion(version)) }
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
        let (head, result) = to_head(message);
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
