//! The subset of HTTP/1.1 that the ledger and the directory use: one call on a connection.

use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::end::End;

/// Most bytes of the head of a response.
const HEAD_MAX: usize = 8 << 10;
/// Most bytes of the body of a response.
const BODY_MAX: usize = 64 << 10;
/// Most interim (1xx) responses before a response; servers send two or three at the most.
const INTERIM_MAX: u32 = 16;

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Whether the response proves that the call never ran (`X-Untouched: 1`).
    pub untouched: bool,
    /// The body; empty where the response has none.
    pub body: Bytes,
}

/// Decodes the responses of a connection.
#[derive(Debug, Default)]
pub struct ResponseCodec {
    /// Interim responses received for the call in progress.
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
        // An interim response has only a head; the final response follows. Treating it as final ended the call without a
        // result. `101 Switching Protocols` is final, and no call here requests it.
        if (100..200).contains(&status) && status != 101 {
            self.interim += 1;
            if self.interim > INTERIM_MAX {
                return Err(End::Oversized);
            }
            src.advance(at);
            return self.decode(src);
        }
        let mut length = None;
        let mut untouched = false;
        for h in head.headers.iter() {
            let value = std::str::from_utf8(h.value).map_err(|_| End::Malformed)?.trim();
            if h.name.eq_ignore_ascii_case("content-length") {
                let n: usize = value.parse().map_err(|_| End::Malformed)?;
                if length.is_some_and(|l| l != n) {
                    return Err(End::Malformed);
                }
                length = Some(n);
            } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
                // Chunked bodies are not supported; reading one as a plain body would pass its framing on as data.
                return Err(End::Malformed);
            } else if h.name.eq_ignore_ascii_case("x-untouched") {
                untouched = value == "1";
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
        let mut response = src.split_to(at + length);
        let body = response.split_off(at).freeze();
        Ok(Some(Response { status, untouched, body }))
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Response>, End> {
        match self.decode(src)? {
            Some(r) => Ok(Some(r)),
            None if src.is_empty() => Ok(None),
            None => Err(End::CutOff),
        }
    }
}
