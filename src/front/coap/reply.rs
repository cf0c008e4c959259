//! Translates a server's reply into a CoAP response.

use bytes::Bytes;
use coap_lite::{RequestType, ResponseType};

use super::RESPONSE_MIN_BYTES;
use super::message::{Block, Response, option, uint};

/// The size exponent of the largest block that is sent, 512 bytes: with its options it fits into one datagram on any
/// path.
pub(super) const SZX_MAX: u8 = 5;

/// The size exponent of the largest block, up to `requested`, that fits into `room` bytes with header, token and options.
pub(super) fn szx_for(requested: u8, room: usize) -> u8 {
    const OVERHEAD_BYTES: usize = RESPONSE_MIN_BYTES - 16;
    let fits = |szx: &u8| (1usize << (szx + 4)) + OVERHEAD_BYTES <= room;
    (0..=requested.min(SZX_MAX)).rev().find(fits).unwrap_or(0)
}

/// The response code for success of a method.
pub(super) fn success_code(method: RequestType) -> ResponseType {
    if method == RequestType::Get { ResponseType::Content } else { ResponseType::Changed }
}

/// One block of a result; 4.02 where the block begins past the end of the result.
pub(super) fn result_block(
    body: &Bytes,
    etag: u32,
    requested: Block,
    szx: u8,
    code: ResponseType,
) -> Response {
    let block = Block { szx: requested.szx.min(szx), ..requested };
    // Where the block sent is smaller than the one requested, its number is scaled so that the offset stays the same.
    let block = Block { num: (requested.offset() / block.size()) as u32, ..block };
    let at = block.offset();
    if at >= body.len() {
        return Response::plain(ResponseType::BadOption);
    }
    let end = (at + block.size()).min(body.len());
    let block = Block { more: end < body.len(), ..block };
    let payload = body[at..end].to_vec();
    Response { payload, ..Response::plain(code) }
        .with(option::ETAG, etag.to_be_bytes().to_vec())
        .with(option::BLOCK2, block.write())
        .with(option::SIZE2, uint(u32::try_from(body.len()).unwrap_or(u32::MAX)))
}

/// The status and body of a server's reply; none where its head can't be parsed.
pub(super) fn reply_of(reply: &Bytes) -> Option<(u16, Bytes)> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let (at, status) = if reply.starts_with(b"HTTP/") {
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(reply).ok()? {
            httparse::Status::Complete(at) => (at, head.code?),
            httparse::Status::Partial => return None,
        }
    } else {
        match httparse::parse_headers(reply, &mut headers).ok()? {
            httparse::Status::Complete((at, all)) => {
                let status = all.iter().find(|h| h.name.eq_ignore_ascii_case("status"));
                let text = status.and_then(|h| std::str::from_utf8(h.value).ok());
                (at, text.and_then(|t| t.split(' ').next()?.parse().ok()).unwrap_or(200))
            }
            httparse::Status::Partial => return None,
        }
    };
    Some((status, reply.slice(at..)))
}

/// The response code for an HTTP status: the mapping of RFC 8075 section 7, reversed.
pub(super) fn code_of(status: u16, method: RequestType) -> ResponseType {
    match status {
        201 => ResponseType::Created,
        200..=299 => success_code(method),
        401 => ResponseType::Unauthorized,
        403 => ResponseType::Forbidden,
        404 | 410 => ResponseType::NotFound,
        405 => ResponseType::MethodNotAllowed,
        406 => ResponseType::NotAcceptable,
        409 => ResponseType::Conflict,
        412 => ResponseType::PreconditionFailed,
        413 => ResponseType::RequestEntityTooLarge,
        415 => ResponseType::UnsupportedContentFormat,
        422 => ResponseType::UnprocessableEntity,
        429 => ResponseType::TooManyRequests,
        400..=499 => ResponseType::BadRequest,
        501 => ResponseType::NotImplemented,
        502 => ResponseType::BadGateway,
        503 => ResponseType::ServiceUnavailable,
        504 => ResponseType::GatewayTimeout,
        _ => ResponseType::InternalServerError,
    }
}
