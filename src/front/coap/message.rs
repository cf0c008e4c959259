//! CoAP messages (RFC 7252 section 3) and block options (RFC 7959), on top of `coap-lite`.
//!
//! Adds what `coap-lite` does not cover: it accepts other versions and a payload marker without a payload, and its block
//! numbers have only 12 bits.

use coap_lite::{MessageClass, MessageType, Packet, RequestType, ResponseType};
use serde::{Deserialize, Serialize};

/// Option numbers (RFC 7252 section 5.10, RFC 7959, RFC 9175).
pub mod option {
    /// Elective: the version tag of a result.
    pub const ETAG: u16 = 4;
    /// Critical: the host of the resource.
    pub const URI_HOST: u16 = 3;
    /// Critical: the port of the resource.
    pub const URI_PORT: u16 = 7;
    /// Critical: one segment of the path.
    pub const URI_PATH: u16 = 11;
    /// Elective: the media type of the payload.
    pub const CONTENT_FORMAT: u16 = 12;
    /// Elective: how long a response is fresh, s; with 5.03, when to retry.
    pub const MAX_AGE: u16 = 14;
    /// Critical: one argument of the query.
    pub const URI_QUERY: u16 = 15;
    /// Critical: the media type that the client accepts.
    pub const ACCEPT: u16 = 17;
    /// Critical: which block of the result.
    pub const BLOCK2: u16 = 23;
    /// Critical: which block of the body.
    pub const BLOCK1: u16 = 27;
    /// Elective: the size of the complete result, bytes.
    pub const SIZE2: u16 = 28;
    /// Critical: the absolute URI of a request to a proxy.
    pub const PROXY_URI: u16 = 35;
    /// Elective: the size of the largest body accepted, bytes.
    pub const SIZE1: u16 = 60;
    /// Elective: proves that the sender receives at its source address.
    pub const ECHO: u16 = 252;
    /// Elective: distinguishes uploads to one resource.
    pub const REQUEST_TAG: u16 = 292;
}

/// The critical options that are supported.
const SUPPORTED_CRITICAL: [u16; 7] = [
    option::URI_HOST,
    option::URI_PORT,
    option::URI_PATH,
    option::URI_QUERY,
    option::ACCEPT,
    option::BLOCK2,
    option::BLOCK1,
];

/// A datagram, by how it is to be handled.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// Not valid CoAP; to be ignored.
    Noise,
    /// To be rejected with a reset of this message id.
    Reject(u16),
    /// An acknowledgement of this message id. A response in it is ignored, as the node sends no requests.
    Ack(u16),
    /// A reset of this message id.
    Reset(u16),
    /// A request, which may still have a fault.
    Request(Request),
}

/// A parsed request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The message id.
    pub id: u16,
    /// Whether it must be acknowledged.
    pub confirmable: bool,
    /// The token, which the response repeats.
    pub token: Vec<u8>,
    /// The method; unknown ones are [`RequestType::UnKnown`].
    pub method: RequestType,
    /// The path, with a slash before each segment.
    pub path: String,
    /// The arguments of the query.
    pub query: Vec<String>,
    /// Which block of the body the payload is.
    pub block1: Option<Block>,
    /// Which block of the result is requested.
    pub block2: Option<Block>,
    /// The Request-Tag, which distinguishes uploads to one resource; empty if absent.
    pub tag: Vec<u8>,
    /// The Echo value that the peer returns; empty if absent.
    pub echo: Vec<u8>,
    /// The payload, empty if absent.
    pub payload: Vec<u8>,
    /// The error response that it gets whatever it requests, if any.
    pub fault: Option<ResponseType>,
    /// The size of the datagram, bytes.
    pub size: usize,
}

/// The value of a block option.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// The block number, below 2^20.
    pub num: u32,
    /// Whether more blocks follow.
    pub more: bool,
    /// The size exponent: the block size is 2^(szx + 4) bytes; 7 is reserved.
    pub szx: u8,
}

impl Block {
    /// Parses the value of an option; none where it is too long or its size exponent is reserved.
    pub fn read(value: &[u8]) -> Option<Block> {
        if value.len() > 3 {
            return None;
        }
        let n = value.iter().fold(0u32, |n, b| n << 8 | u32::from(*b));
        let szx = (n & 7) as u8;
        (szx < 7).then_some(Block { num: n >> 4, more: n & 8 != 0, szx })
    }

    /// Encodes the value of the option.
    pub fn write(self) -> Vec<u8> {
        uint(self.num << 4 | u32::from(self.more) << 3 | u32::from(self.szx))
    }

    /// The size of a block, bytes.
    pub fn size(self) -> usize {
        1 << (self.szx + 4)
    }

    /// The offset of the block in the body, bytes.
    pub fn offset(self) -> usize {
        self.num as usize * self.size()
    }
}

/// Encodes a number as CoAP options do: big-endian, without leading zero bytes.
pub fn uint(n: u32) -> Vec<u8> {
    n.to_be_bytes().into_iter().skip_while(|b| *b == 0).collect()
}

/// Parses a datagram.
pub fn read(bytes: &[u8]) -> Datagram {
    // Another version is silently ignored (section 3); so is a datagram without a complete header.
    let Some(&[first, _, high, low]) = bytes.first_chunk::<4>() else { return Datagram::Noise };
    if first >> 6 != 1 {
        return Datagram::Noise;
    }
    let id = u16::from_be_bytes([high, low]);
    let confirmable = first & 0x30 == 0;
    let reject = if confirmable { Datagram::Reject(id) } else { Datagram::Noise };
    let Ok(packet) = Packet::from_bytes(bytes) else { return reject };
    // A payload marker without a payload is a format error (section 3).
    if packet.payload.is_empty() && bytes.len() > 4 && ends_in_marker(bytes, &packet) {
        return reject;
    }
    let empty = packet.header.code == MessageClass::Empty;
    match packet.header.get_type() {
        MessageType::Acknowledgement => return Datagram::Ack(id),
        MessageType::Reset => return Datagram::Reset(id),
        MessageType::Confirmable | MessageType::NonConfirmable => {}
    }
    let method = match packet.header.code {
        MessageClass::Request(method) if !empty => method,
        // An empty confirmable message is a ping, answered by a reset; so is any message that is not a request.
        _ => return reject,
    };
    let all = |number: u16| {
        let list = packet.options().find(|(n, _)| **n == number).map(|(_, list)| list);
        list.into_iter().flatten().cloned().collect::<Vec<Vec<u8>>>()
    };
    let first = |number| all(number).into_iter().next();
    let mut fault = None;
    let mut text = |number: u16| -> Vec<String> {
        let mut read = |v: Vec<u8>| String::from_utf8(v).map_err(|_| fault = Some(ResponseType::BadRequest));
        all(number).into_iter().filter_map(|v| read(v).ok()).collect()
    };
    let (path, query) = (text(option::URI_PATH), text(option::URI_QUERY));
    let mut block = |number: u16| {
        let block = first(number).map(|v| Block::read(&v));
        if block == Some(None) {
            fault = Some(ResponseType::BadRequest);
        }
        block.flatten()
    };
    let (block1, block2) = (block(option::BLOCK1), block(option::BLOCK2));
    let unknown = packet.options().any(|(n, _)| n % 2 == 1 && !SUPPORTED_CRITICAL.contains(n));
    if packet.options().any(|(n, _)| *n == option::PROXY_URI) {
        fault = Some(ResponseType::ProxyingNotSupported);
    } else if unknown {
        fault = Some(ResponseType::BadOption);
    }
    Datagram::Request(Request {
        id,
        confirmable,
        token: packet.get_token().to_vec(),
        method,
        path: path.iter().map(|p| format!("/{p}")).collect(),
        query,
        block1,
        block2,
        tag: first(option::REQUEST_TAG).unwrap_or_default(),
        echo: first(option::ECHO).unwrap_or_default(),
        payload: packet.payload.clone(),
        fault,
        size: bytes.len(),
    })
}

/// Whether the bytes end in a payload marker, rather than in an option value whose last byte equals the marker.
fn ends_in_marker(bytes: &[u8], packet: &Packet) -> bool {
    let encoded = packet.to_bytes_unlimited().map_or(0, |b| b.len());
    bytes.last() == Some(&0xff) && encoded < bytes.len()
}

/// A response without its message id, type and token.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The response code.
    pub code: ResponseType,
    /// Option numbers and values.
    pub options: Vec<(u16, Vec<u8>)>,
    /// The payload, empty for none.
    pub payload: Vec<u8>,
}

impl Response {
    /// A response without options and payload.
    pub fn plain(code: ResponseType) -> Response {
        Response { code, options: Vec::new(), payload: Vec::new() }
    }

    /// A refusal that asks the peer to wait so many seconds before it retries.
    pub fn retry_after(code: ResponseType, seconds: u32) -> Response {
        Response { options: vec![(option::MAX_AGE, uint(seconds))], ..Response::plain(code) }
    }

    /// Adds an option.
    #[must_use]
    pub fn with(mut self, number: u16, value: Vec<u8>) -> Response {
        self.options.push((number, value));
        self
    }

    /// Encodes the response as a datagram.
    pub fn write(&self, kind: MessageType, id: u16, token: &[u8]) -> Vec<u8> {
        let mut p = Packet::new();
        p.header.set_version(1);
        p.header.set_type(kind);
        p.header.code = MessageClass::Response(self.code);
        p.header.message_id = id;
        p.set_token(token.to_vec());
        for (number, value) in &self.options {
            p.add_option((*number).into(), value.clone());
        }
        p.payload.clone_from(&self.payload);
        // Encoding can't fail: options and payload are made by this front, within the limits of the format.
        p.to_bytes_unlimited().unwrap_or_default()
    }
}

/// Encodes an empty message.
pub fn empty(kind: MessageType, id: u16) -> Vec<u8> {
    let kind = match kind {
        MessageType::Confirmable => 0u8,
        MessageType::NonConfirmable => 1,
        MessageType::Acknowledgement => 2,
        MessageType::Reset => 3,
    };
    let [high, low] = id.to_be_bytes();
    vec![0x40 | kind << 4, 0, high, low]
}
