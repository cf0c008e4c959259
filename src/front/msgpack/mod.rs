//! The platform's protocol: MessagePack-RPC.

pub mod pack;

use std::collections::HashSet;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::end::End;
use crate::front::Wire;
use crate::front::{CurrentSettings, OutputBuffer, Reply, Session};
use crate::interface::{ClassSettings, Effect, Micros};
use crate::node::{Answer, FailureReason, IncomingRequest, Input, ReferenceScope, ResponseRoute, Worker};
use crate::time::{Arrivals, WallTime};
use pack::{PackError, Reader, Value, text};

/// Largest message, bytes: many times a body of 2 KiB with its fields.
pub const FRAME_MAX: usize = 32 << 10;
/// Largest body of a request, bytes.
const BODY_MAX: usize = 2 << 10;
/// Longest `replay`, bytes: twice the length that the protocol uses.
const REPLAY_MAX: usize = 64;
/// Most open requests on one connection, health checks included.
const OPEN_MAX: usize = 32;
/// Rejected requests in a row after which nothing more is read from a connection: twice as many as a caller may have
/// open, since a caller may have sent that many before it sees the first error.
const REJECTED_MAX: u32 = 2 * OPEN_MAX as u32;
/// The time from connecting to the first message, and from the first byte of a message to its last. Callers connect
/// when they have a request to send; a connection without one must be closed within 3 s.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Decodes a connection's bytes into values.
#[derive(Debug, Default)]
pub struct ValueCodec {
    /// The length of the buffer when it last held no complete value.
    incomplete_bytes: usize,
}

impl Decoder for ValueCodec {
    type Item = Value;
    type Error = End;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Value>, End> {
        if src.is_empty() || src.len() <= self.incomplete_bytes {
            return Ok(None);
        }
        let bytes = src.split().freeze();
        let mut reader = Reader::new(&bytes);
        let read = reader.read();
        let used = reader.used();
        let rest_start = if read.is_ok() { used } else { 0 };
        let len = bytes.len();
        // The value holds slices of the bytes read, so only the remaining bytes go back into the buffer.
        src.extend_from_slice(&bytes[rest_start..]);
        self.incomplete_bytes = 0;
        match read {
            Ok(v) => Ok(Some(v)),
            Err(PackError::Invalid) => Err(End::Malformed),
            Err(PackError::Incomplete) if len > FRAME_MAX => Err(End::Oversized),
            Err(PackError::Incomplete) => {
                self.incomplete_bytes = len;
                Ok(None)
            }
        }
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Value>, End> {
        match self.decode(src)? {
            Some(v) => Ok(Some(v)),
            None if src.is_empty() => Ok(None),
            None => Err(End::CutOff),
        }
    }
}

/// The session of one caller's connection.
pub struct Caller {
    conn: u64,
    settings: CurrentSettings,
    arrivals: Arrivals,
    open: HashSet<u32>,
    last_call_sent: bool,
    /// A complete message has been read.
    message_read: bool,
    /// Requests rejected since the last that was accepted.
    rejected_in_row: u32,
}

impl Caller {
    /// The session of the new connection `conn`.
    pub fn new(conn: u64, settings: CurrentSettings, arrivals: Arrivals) -> Caller {
        let open = HashSet::new();
        Caller {
            conn,
            settings,
            arrivals,
            open,
            last_call_sent: false,
            message_read: false,
            rejected_in_row: 0,
        }
    }

    fn origin(&self, call: u32) -> ResponseRoute {
        ResponseRoute { front: Wire::Msgpack.front(), connection: self.conn, request_number: call }
    }

    fn request(
        &mut self,
        now: Micros,
        id: u32,
        method: &Value,
        params: &Value,
        out: &mut OutputBuffer,
    ) -> Result<Option<Input>, End> {
        if self.open.contains(&id) {
            // The answers to two requests with one id could not be told apart.
            return Err(End::Malformed);
        }
        let Value::Array(params) = params else { return Err(End::Malformed) };
        let origin = self.origin(id);
        let read = match (method.text(), &params[..]) {
            _ if self.open.len() >= OPEN_MAX => Err(FailureReason::TooManyRequests),
            (Some("health"), [fields, ..]) => {
                let deep = field(fields, "inner").is_some_and(|v| v == "1");
                Ok(Input::HealthCheck { route: origin, is_deep: deep })
            }
            (Some("health"), []) => Ok(Input::HealthCheck { route: origin, is_deep: false }),
            (Some(class), [fields, Value::Bin(body)]) => self
                .parse_request(now, class, fields, body)
                .map(|request| Input::RequestReceived(origin, Box::new(request))),
            _ => Err(FailureReason::BadRequest),
        };
        match read {
            Ok(input) => {
                self.open.insert(id);
                self.rejected_in_row = 0;
                Ok(Some(input))
            }
            Err(why) => {
                self.rejected_in_row += 1;
                write_answer(out, id, &Answer::Failed(why), None);
                Ok(Some(Input::RequestRejected(why)))
            }
        }
    }

    fn parse_request(
        &self,
        now: Micros,
        class: &str,
        fields: &Value,
        body: &Bytes,
    ) -> Result<IncomingRequest, FailureReason> {
        let s = self.settings.get();
        let class = s.class(class).ok_or(FailureReason::UnknownClass)?;
        let required = |name| field(fields, name).ok_or(FailureReason::BadRequest);
        let number =
            |v: &str| v.parse::<f64>().ok().filter(|x| x.is_finite()).ok_or(FailureReason::BadRequest);
        let name = required("ref")?;
        // The name is one word of a line sent to the agent: a space or control character would break the line.
        let is_plain_word = (1..=64).contains(&name.len()) && name.bytes().all(|b| b.is_ascii_graphic());
        let since: u64 = required("since")?.parse().map_err(|_| FailureReason::BadRequest)?;
        let time_limit = field(fields, "allow").map(parse_time_limit).transpose()?;
        let tenant = match field(fields, "project") {
            None | Some("") => None,
            Some(t) => Some(s.tenant(t).ok_or(FailureReason::BadRequest)?),
        };
        let held_kb = number(required("room")?)?;
        let rank = number(required("class_rank")?)?;
        let work = field(fields, "effort").map(number).transpose()?.filter(|ms| *ms > 0.0);
        if !is_plain_word
            || body.len() > BODY_MAX
            || !(held_kb > 0.0 && held_kb < 2_000.0 && (0.0..1.0).contains(&rank))
        {
            return Err(FailureReason::BadRequest);
        }
        Ok(IncomingRequest {
            name: name.to_owned(),
            reference_scope: ReferenceScope::AllProcesses,
            worker: Worker::Agent,
            needs_prefetch: false,
            class,
            tenant,
            is_over_quota: false,
            key: request_key(&s.classes[class.0], fields)?.map(str::to_owned),
            expected_work: work.map(|ms| Micros::from_secs_f64(ms / 1e3)),
            held_kb,
            rank,
            is_retry: field(fields, "dup") == Some("1"),
            caller: field(fields, "sender").and_then(|v| v.parse().ok()).unwrap_or(0),
            arrived: self.arrivals.arrival(now, WallTime::from_millis(since), s.longest_deadline()),
            time_limit,
            // A copy, so that a held request does not keep the whole input buffer in memory.
            body: Bytes::copy_from_slice(body),
        })
    }
}

/// Parses how long a caller waits: milliseconds, with or without a fraction.
fn parse_time_limit(text: &str) -> Result<Micros, FailureReason> {
    let ms =
        text.parse().ok().filter(|ms: &f64| ms.is_finite() && *ms >= 0.0).ok_or(FailureReason::BadRequest)?;
    Ok(Micros::from_secs_f64(ms / 1e3))
}

/// The key that links a request to others, by the effect of its class: every attempt of a keyed write must carry its
/// `replay` key; a read may carry `lookup`, the subject by which reads are coalesced; other writes have no key.
fn request_key<'a>(class: &ClassSettings, fields: &'a Value) -> Result<Option<&'a str>, FailureReason> {
    match class.effect {
        Effect::Dedup => {
            let replay = field(fields, "replay").ok_or(FailureReason::BadRequest)?;
            let is_valid =
                (1..=REPLAY_MAX).contains(&replay.len()) && replay.bytes().all(|b| b.is_ascii_graphic());
            if is_valid { Ok(Some(replay)) } else { Err(FailureReason::BadRequest) }
        }
        Effect::Retryable => Ok(field(fields, "lookup").filter(|k| !k.is_empty())),
        Effect::Fragile => Ok(None),
    }
}

/// The text of the named field; none where the field is absent or not text.
fn field<'a>(fields: &'a Value, name: &str) -> Option<&'a str> {
    let Value::Map(pairs) = fields else { return None };
    pairs.iter().find(|(k, _)| k.text() == Some(name)).and_then(|(_, v)| v.text())
}

fn fields(pressure: Option<f64>, more: &[(&str, String)]) -> Value {
    let pressure_field = pressure.map(|p| ("pressure", format!("{p}")));
    let all = pressure_field.into_iter().chain(more.iter().cloned());
    Value::Map(all.map(|(k, v)| (text(k), text(v))).collect())
}

fn write_answer(out: &mut OutputBuffer, id: u32, a: &Answer, pressure: Option<f64>) {
    let (error, result) = match a {
        Answer::Completed(body) => {
            (Value::Nil, Value::Array(vec![Value::Bin(body.clone()), fields(pressure, &[])]))
        }
        Answer::Refused { retry_after: wait, is_final: last } => {
            let mut more = Vec::new();
            if wait.0 > 0 {
                more.push(("cooldown", wait.0.div_ceil(1000).to_string()));
            }
            if *last {
                more.push(("nowhere", "1".to_owned()));
            }
            (Value::Array(vec![text("Full"), fields(pressure, &more)]), Value::Nil)
        }
        Answer::Failed(_) => (Value::Array(vec![text("Error"), fields(pressure, &[])]), Value::Nil),
    };
    out.write(|b| {
        pack::write(b, &Value::Array(vec![Value::Int(1), Value::Int(i128::from(id)), error, result]))
    });
}

impl Session for Caller {
    type Codec = ValueCodec;

    fn read(&mut self, now: Micros, item: Value, out: &mut OutputBuffer) -> Result<Option<Input>, End> {
        let Value::Array(parts) = item else { return Err(End::Malformed) };
        self.message_read = true;
        let id = |v: &Value| match v {
            Value::Int(n) => u32::try_from(*n).ok(),
            _ => None,
        };
        match &parts[..] {
            [Value::Int(0), n, method, params] => {
                let id = id(n).ok_or(End::Malformed)?;
                self.request(now, id, method, params, out)
            }
            [Value::Int(2), method, Value::Array(params)] => match (method.text(), &params[..]) {
                // A cancel that crosses its answer on the way finds no open request.
                (Some("cancel"), [n]) => {
                    let id = id(n).ok_or(End::Malformed)?;
                    Ok(self.open.remove(&id).then(|| Input::RequestCancelled(self.origin(id))))
                }
                _ => Ok(None),
            },
            _ => Err(End::Malformed),
        }
    }

    fn write(&mut self, reply: Reply, out: &mut OutputBuffer) -> bool {
        match reply {
            Reply::Answer(o, a, pressure) => {
                if self.open.remove(&o.request_number) {
                    write_answer(out, o.request_number, &a, pressure);
                }
            }
            Reply::Health(o, ok, pressure) => {
                if self.open.remove(&o.request_number) {
                    let result = Value::Array(vec![Value::Bool(ok), fields(pressure, &[])]);
                    let id = Value::Int(i128::from(o.request_number));
                    out.write(|b| pack::write(b, &Value::Array(vec![Value::Int(1), id, Value::Nil, result])));
                }
            }
            Reply::LastCall => {
                if !std::mem::replace(&mut self.last_call_sent, true) {
                    out.write(|b| {
                        pack::write(
                            b,
                            &Value::Array(vec![Value::Int(2), text("lastCall"), Value::Array(vec![])]),
                        )
                    });
                }
            }
            Reply::CloseIdle(_) | Reply::Admission(_) | Reply::Finish => return self.open.is_empty(),
        }
        false
    }

    fn open_requests(&self) -> usize {
        self.open.len()
    }

    fn reading_over(&self) -> Option<End> {
        (self.rejected_in_row >= REJECTED_MAX).then_some(End::Unruly)
    }

    fn deadline(&self) -> Micros {
        self.settings.get().longest_deadline()
    }

    fn read_timeout(&self, begun: bool) -> Option<(Duration, End)> {
        let end = if begun { End::Slow } else { End::Silent };
        (begun || !self.message_read).then_some((MESSAGE_TIMEOUT, end))
    }
}
