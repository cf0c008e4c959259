//! The control interface: HTTP/1.1 with one call per connection, as a state machine that is fed bytes and uses no sockets.
//!
//! It guards against unbounded heads, bodies that are unbounded or without a stated length, fragmented calls, and clients
//! that meant to reach another service.

use bytes::BytesMut;

use crate::fleet::NAME_MAX;
use crate::service::ServiceOrder;
use crate::zone;

/// Limit on a call's head, bytes; every valid call is far smaller.
pub const HEAD_MAX: usize = 4 << 10;
/// Limit on a body, bytes. No call needs a body, but clients send an empty JSON object and the like.
pub const BODY_MAX: usize = 4 << 10;
/// Limit on the headers in a head.
const HEADERS_MAX: usize = 32;

/// A call to the control interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process accepts clients.
    Ready,
    /// This process's view of its fleet.
    Fleet,
    /// The version of the fleet's configuration in force in this process.
    Catalog,
    /// An order to take this node out of service or return it.
    Order(ServiceOrder),
    /// An order to the fleet about the zone of this name.
    Zone(zone::ZoneOrder, String),
}

/// Why a call is refused before it is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is not HTTP/1.1, its length is invalid, or the connection ended before the call was complete.
    Malformed,
    /// The path is unknown.
    NotFound,
    /// The path takes another method.
    MethodNotAllowed {
        /// The method that it takes.
        allow: &'static str,
    },
    /// It was not complete in time.
    TimedOut,
    /// It has a body without a Content-Length.
    LengthRequired,
    /// Its body exceeds [`BODY_MAX`].
    BodyTooLarge,
    /// Its head exceeds [`HEAD_MAX`] or has too many headers.
    HeadTooLarge,
}

/// The answer to a call: an HTTP status and one line of text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    status: u16,
    allow: Option<&'static str>,
    text: String,
}

impl Answer {
    /// An answer with status 200.
    pub fn success(text: impl Into<String>) -> Answer {
        Answer { status: 200, allow: None, text: text.into() }
    }

    /// An answer with an error status: the call is refused in the current state.
    pub fn failure(status: u16, text: impl Into<String>) -> Answer {
        Answer { status, allow: None, text: text.into() }
    }

    /// The bytes to send, after which the connection is closed.
    pub fn bytes(&self) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            409 => "Conflict",
            411 => "Length Required",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            _ => "Service Unavailable",
        };
        let allow = self.allow.map_or(String::new(), |a| format!("Allow: {a}\r\n"));
        format!(
            "HTTP/1.1 {} {reason}\r\n{allow}Content-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}\n",
            self.status,
            self.text.len() + 1,
            self.text
        )
        .into_bytes()
    }
}

impl From<Fault> for Answer {
    fn from(fault: Fault) -> Answer {
        let (status, allow, text) = match fault {
            Fault::Malformed => (400, None, "not an HTTP/1.1 call"),
            Fault::NotFound => {
                (404, None, "no such call; there are ready, out-of-service, in-service, fleet, catalog")
            }
            Fault::MethodNotAllowed { allow } => (405, Some(allow), "this call takes another method"),
            Fault::TimedOut => (408, None, "the call was not whole in time"),
            Fault::LengthRequired => (411, None, "a body needs a Content-Length"),
            Fault::BodyTooLarge => (413, None, "the body is too large; no call needs one"),
            Fault::HeadTooLarge => (431, None, "the head is too large"),
        };
        Answer { status, allow, text: text.to_owned() }
    }
}

/// The part of one connection's call that has been received.
#[derive(Debug, Default)]
pub struct Console {
    input: BytesMut,
}

impl Console {
    /// Adds received bytes, and returns the call or fault once it is known. Bytes after it are ignored.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<Call, Fault>> {
        self.input.extend_from_slice(bytes);
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut head = httparse::Request::new(&mut headers);
        let head_length = match head.parse(&self.input) {
            Err(httparse::Error::TooManyHeaders) => return Some(Err(Fault::HeadTooLarge)),
            Err(_) => return Some(Err(Fault::Malformed)),
            Ok(httparse::Status::Complete(length)) if length <= HEAD_MAX => length,
            Ok(httparse::Status::Partial) if self.input.len() <= HEAD_MAX => return None,
            Ok(_) => return Some(Err(Fault::HeadTooLarge)),
        };
        let call = match call(head.method.unwrap_or(""), head.path.unwrap_or("")) {
            Ok(call) => call,
            fault => return Some(fault),
        };
        match body_length(head.headers) {
            // A call is complete only with its body: closing a socket with unread bytes could discard the answer.
            Ok(length) if self.input.len() < head_length + length => None,
            Ok(_) => Some(Ok(call)),
            Err(fault) => Some(Err(fault)),
        }
    }

    /// The fault of a connection that the peer has closed; `None` if it sent nothing.
    pub fn ended(&self) -> Option<Fault> {
        (!self.input.is_empty()).then_some(Fault::Malformed)
    }
}

fn call(method: &str, path: &str) -> Result<Call, Fault> {
    let path = path.split('?').next().unwrap_or("");
    let (allow, call) = match path {
        "/control/ready" => ("GET", Call::Ready),
        "/control/fleet" => ("GET", Call::Fleet),
        "/control/catalog" => ("GET", Call::Catalog),
        "/control/out-of-service" => ("POST", Call::Order(ServiceOrder::OutOfService)),
        "/control/in-service" => ("POST", Call::Order(ServiceOrder::InService)),
        path => ("POST", zone_call(path).ok_or(Fault::NotFound)?),
    };
    if method == allow { Ok(call) } else { Err(Fault::MethodNotAllowed { allow }) }
}

/// Parses `/control/zones/ORDER/NAME`, where ORDER is leave, return or hold.
fn zone_call(path: &str) -> Option<Call> {
    let (order, name) = path.strip_prefix("/control/zones/")?.split_once('/')?;
    let order = match order {
        "leave" => zone::ZoneOrder::Leave,
        "return" => zone::ZoneOrder::Return,
        "hold" => zone::ZoneOrder::Hold,
        _ => return None,
    };
    let fits = (1..=NAME_MAX).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    fits.then(|| Call::Zone(order, name.to_owned()))
}

/// Length of the body that follows a head, bytes.
fn body_length(headers: &[httparse::Header<'_>]) -> Result<usize, Fault> {
    let mut length = None;
    for h in headers {
        if h.name.eq_ignore_ascii_case("content-length") {
            let value = std::str::from_utf8(h.value).ok().map(str::trim);
            let digits = value.filter(|v| !v.is_empty() && v.bytes().all(|b| b.is_ascii_digit()));
            // A length that overflows the integer type means a body that is too large.
            let n = digits.ok_or(Fault::Malformed)?.parse().unwrap_or(usize::MAX);
            if length.is_some_and(|l| l != n) {
                return Err(Fault::Malformed);
            }
            length = Some(n);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(Fault::LengthRequired);
        }
    }
    let length = length.unwrap_or(0);
    if length > BODY_MAX { Err(Fault::BodyTooLarge) } else { Ok(length) }
}

#[cfg(test)]
mod tests;
