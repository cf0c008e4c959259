//! The little HTTP/1.1 that the ledger and the directory speak: one call at a time on a connection.

use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::end::End;

/// Most bytes of a response's head, and of its body.
const HEAD_MAX: usize = 8 << 10;
const BODY_MAX: usize = 64 << 10;
/// Most interim answers ahead of one response; they need no more than two or three.
const INTERIM_MAX: u32 = 16;

/// One whole response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Its status code.
    pub status: u16,
    /// It proves that the call never ran.
    pub untouched: bool,
    /// The connection may carry another call.
    pub keep_alive: bool,
    /// Its body.
    pub body: Bytes,
}

/// Reads responses off a connection.
#[derive(Debug, Default)]
pub struct ResponseCodec {
    /// Interim answers ahead of the one that is awaited.
    interim: u32,
}

impl Decoder for ResponseCodec {
    type Item = Response;
    type Error = End;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Response>, End> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut headers);
        let at = match head.parse(src).map_err(|_| End::Malformed)? {
            httparse::Status::Partial if src.len() > HEAD_MAX => return Err(End::Oversized),
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(at) => at,
        };
        let status = head.code.ok_or(End::Malformed)?;
        // An interim answer has a head alone, and the answer itself is still to come. Taken for the answer, it ended
        // the call without one; `Switching Protocols` is final, and nobody here asks for it.
        if (100..200).contains(&status) && status != 101 {
            self.interim += 1;
            if self.interim > INTERIM_MAX {
                return Err(End::Oversized);
            }
            src.advance(at);
            return self.decode(src);
        }
        let mut length = None;
        let (mut untouched, mut keep_alive) = (false, head.version == Some(1));
        for h in head.headers.iter() {
            let value = std::str::from_utf8(h.value).map_err(|_| End::Malformed)?.trim();
            if h.name.eq_ignore_ascii_case("content-length") {
                let n: usize = value.parse().map_err(|_| End::Malformed)?;
                if length.is_some_and(|l| l != n) {
                    return Err(End::Malformed);
                }
                length = Some(n);
            } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
                // Nothing here sends chunks; taking them for a body would pass the framing on as data.
                return Err(End::Malformed);
            } else if h.name.eq_ignore_ascii_case("x-untouched") {
                untouched = value == "1";
            } else if h.name.eq_ignore_ascii_case("connection") && value.eq_ignore_ascii_case("close") {
                keep_alive = false;
            }
        }
        let length = match length {
            Some(n) => n,
            None if status == 204 || status == 304 => 0,
            None => return Err(End::Malformed),
        };
        if length > BODY_MAX {
            return Err(End::Oversized);
        }
        if src.len() < at + length {
            return Ok(None);
        }
        self.interim = 0;
        let mut whole = src.split_to(at + length);
        let body = whole.split_off(at).freeze();
        Ok(Some(Response { status, untouched, keep_alive, body }))
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Response>, End> {
        match self.decode(src)? {
            Some(r) => Ok(Some(r)),
            None if src.is_empty() => Ok(None),
            None => Err(End::CutOff),
        }
    }
}
