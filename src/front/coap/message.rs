//! CoAP messages (RFC 7252 section 3) and block options (RFC 7959), by `coap-lite` where it goes far enough.
//!
//! It guards against what that one lets pass: other versions, a payload marker with nothing behind it, and block numbers of
//! more than 12 bits.

use coap_lite::{MessageClass, MessageType, Packet, RequestType, ResponseType};

/// Option numbers (RFC 7252 section 5.10, RFC 7959, RFC 9175).
pub mod option {
    /// Elective: the tag of a result.
    pub const ETAG: u16 = 4;
    /// Critical.
    pub const URI_HOST: u16 = 3;
    /// Critical.
    pub const URI_PORT: u16 = 7;
    /// Critical.
    pub const URI_PATH: u16 = 11;
    /// Elective.
    pub const CONTENT_FORMAT: u16 = 12;
    /// Elective: s.
    pub const MAX_AGE: u16 = 14;
    /// Critical.
    pub const URI_QUERY: u16 = 15;
    /// Critical.
    pub const ACCEPT: u16 = 17;
    /// Critical: which block of the result.
    pub const BLOCK2: u16 = 23;
    /// Critical: which block of the body.
    pub const BLOCK1: u16 = 27;
    /// Elective: the whole result's size.
    pub const SIZE2: u16 = 28;
    /// Critical.
    pub const PROXY_URI: u16 = 35;
    /// Elective: the largest body.
    pub const SIZE1: u16 = 60;
    /// Elective: proves that an address is the sender's.
    pub const ECHO: u16 = 252;
    /// Elective: tells uploads to one resource apart.
    pub const REQUEST_TAG: u16 = 292;
}

/// Critical options that are understood.
const CRITICAL: [u16; 7] = [
    option::URI_HOST,
    option::URI_PORT,
    option::URI_PATH,
    option::URI_QUERY,
    option::ACCEPT,
    option::BLOCK2,
    option::BLOCK1,
];

/// What a datagram is.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// Not to be answered.
    Noise,
    /// Rejected with a reset of this message id.
    Reject(u16),
    /// An acknowledgement, empty or with a response to a request that nobody here makes.
    Ack(u16),
    /// A reset.
    Reset(u16),
    /// A request.
    Request(Request),
}

/// A request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its message id.
    pub id: u16,
    /// It wants an acknowledgement.
    pub confirmable: bool,
    /// Its token.
    pub token: Vec<u8>,
    /// Its method; unknown ones are [`RequestType::UnKnown`].
    pub method: RequestType,
    /// Its path, with a slash before each part.
    pub path: String,
    /// Its query's parts.
    pub query: Vec<String>,
    /// Which block of the body it brings.
    pub block1: Option<Block>,
    /// Which block of the result it asks for.
    pub block2: Option<Block>,
    /// Tells uploads apart.
    pub tag: Vec<u8>,
    /// What it gives back of ours.
    pub echo: Vec<u8>,
    /// Its payload.
    pub payload: Vec<u8>,
    /// Why it can't be served whatever it asks for.
    pub fault: Option<ResponseType>,
    /// Bytes of the datagram.
    pub size: usize,
}

/// A block option.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// Its number, below 2^20.
    pub num: u32,
    /// More follow.
    pub more: bool,
    /// Its size is 2 to the power of this and 4; 7 is reserved.
    pub szx: u8,
}

impl Block {
    /// Reads an option's value; nothing where it is none.
    pub fn read(value: &[u8]) -> Option<Block> {
        if value.len() > 3 {
            return None;
        }
        let n = value.iter().fold(0u32, |n, b| n << 8 | u32::from(*b));
        let szx = (n & 7) as u8;
        (szx < 7).then_some(Block { num: n >> 4, more: n & 8 != 0, szx })
    }

    /// The option's value.
    pub fn write(self) -> Vec<u8> {
        uint(self.num << 4 | u32::from(self.more) << 3 | u32::from(self.szx))
    }

    /// Bytes of a block.
    pub fn size(self) -> usize {
        1 << (self.szx + 4)
    }

    /// Where it begins.
    pub fn offset(self) -> usize {
        self.num as usize * self.size()
    }
}

/// A number as options have it: as few bytes as it takes.
pub fn uint(n: u32) -> Vec<u8> {
    n.to_be_bytes().into_iter().skip_while(|b| *b == 0).collect()
}

/// Reads a datagram.
pub fn read(bytes: &[u8]) -> Datagram {
    // Another version is silently ignored (section 3); so is what has no whole header.
    let Some(&[first, _, high, low]) = bytes.first_chunk::<4>() else { return Datagram::Noise };
    if first >> 6 != 1 {
        return Datagram::Noise;
    }
    let id = u16::from_be_bytes([high, low]);
    let confirmable = first & 0x30 == 0;
    let reject = if confirmable { Datagram::Reject(id) } else { Datagram::Noise };
    let Ok(packet) = Packet::from_bytes(bytes) else { return reject };
    // A marker must have a payload behind it.
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
        // An empty confirmable message is a ping; what is no request is rejected alike.
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
    let unknown = packet.options().any(|(n, _)| n % 2 == 1 && !CRITICAL.contains(n));
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

/// Whether the bytes end in a payload marker, rather than in an option's value of that byte.
fn ends_in_marker(bytes: &[u8], packet: &Packet) -> bool {
    let whole = packet.to_bytes_unlimited().map_or(0, |b| b.len());
    bytes.last() == Some(&0xff) && whole < bytes.len()
}

/// A response, before it has a message id.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Its code.
    pub code: ResponseType,
    /// Its options.
    pub options: Vec<(u16, Vec<u8>)>,
    /// Its payload.
    pub payload: Vec<u8>,
}

impl Response {
    /// With no options and no payload.
    pub fn plain(code: ResponseType) -> Response {
        Response { code, options: Vec::new(), payload: Vec::new() }
    }

    /// Turned away for so many seconds.
    pub fn wait(code: ResponseType, seconds: u32) -> Response {
        Response { options: vec![(option::MAX_AGE, uint(seconds))], ..Response::plain(code) }
    }

    /// With an option more.
    #[must_use]
    pub fn with(mut self, number: u16, value: Vec<u8>) -> Response {
        self.options.push((number, value));
        self
    }

    /// As a datagram.
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
        // All of it is made here, of a size that fits.
        p.to_bytes_unlimited().unwrap_or_default()
    }
}

/// An empty message.
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
