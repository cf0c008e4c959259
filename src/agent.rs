//! The render farm agent's line protocol: the commands sent and the notices received. [`Agent`] is the node's side of it
//! across all links.

mod session;

use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::end::End;
use crate::interface::{Gauges, Outcome};
pub use session::{Agent, CommandInDoubt};

/// The longest line, bytes.
const LINE_MAX: usize = 4 << 10;
/// The largest block of data after a line, bytes.
const BLOCK_MAX: usize = 64 << 10;

/// A message from the agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The agent is up, after a cold or warm start.
    Greeting {
        /// Whether the start was cold.
        cold: bool,
        /// The time since the start, ms.
        ms: f64,
    },
    /// A run is over.
    Outcome {
        /// The sequence number of the notice.
        n: u64,
        /// The name of the request.
        name: String,
        /// How the run ended.
        end: Outcome,
        /// The duration of the run, ms.
        ms: f64,
        /// The result of a run that succeeded, otherwise empty.
        result: Bytes,
    },
    /// A run waits for the reply to a call.
    Request {
        /// The sequence number of the notice.
        n: u64,
        /// The name of the request.
        name: String,
        /// The body of the call.
        body: Bytes,
    },
    /// The gauges, in the order of the settings.
    Sampled {
        /// The tag of the question that this answers.
        tag: String,
        /// The values of the gauges.
        values: Vec<f64>,
    },
    /// A deep check has ended.
    Exercised {
        /// The tag of the question that this answers.
        tag: String,
        /// Whether it succeeded.
        ok: bool,
    },
    /// A command was not carried out.
    Refusal {
        /// The name of the command.
        command: String,
        /// The name of the request.
        name: String,
    },
    /// A notice without meaning to the node; it has a sequence number like the others.
    Aside {
        /// The sequence number of the notice.
        n: u64,
    },
}

/// Decodes the notices of a link. It keeps no state between calls beyond the buffer.
#[derive(Debug, Default)]
pub struct NoticeCodec;

impl Decoder for NoticeCodec {
    type Item = Notice;
    type Error = End;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Notice>, End> {
        let Some(at) = src.windows(2).position(|w| w == b"\r\n") else {
            return if src.len() > LINE_MAX { Err(End::Oversized) } else { Ok(None) };
        };
        let line = std::str::from_utf8(&src[..at]).map_err(|_| End::Malformed)?;
        let words: Vec<&str> = line.split(' ').collect();
        let block = match words[..] {
            ["outcome", _, _, _, _, length] | ["request", _, _, length] => {
                Some(parse_number(length)? as usize)
            }
            _ => None,
        };
        if block.is_some_and(|n| n > BLOCK_MAX) {
            return Err(End::Oversized);
        }
        let notice_bytes = at + 2 + block.map_or(0, |n| n + 2);
        if src.len() < notice_bytes {
            return Ok(None);
        }
        if block.is_some() && &src[notice_bytes - 2..notice_bytes] != b"\r\n" {
            return Err(End::Malformed);
        }
        let mut notice = parse_notice(&words)
            .inspect_err(|_| tracing::warn!("agent: line is not a valid notice: {line:?}"))?;
        let mut data = src.split_to(notice_bytes);
        if let Some(n) = block {
            data.advance(at + 2);
            data.truncate(n);
            if let Notice::Outcome { result: block, .. } | Notice::Request { body: block, .. } = &mut notice {
                *block = data.freeze();
            }
        }
        Ok(Some(notice))
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Notice>, End> {
        match self.decode(src)? {
            Some(notice) => Ok(Some(notice)),
            None if src.is_empty() => Ok(None),
            None => Err(End::CutOff),
        }
    }
}

fn parse_number(word: &str) -> Result<u64, End> {
    word.parse().map_err(|_| End::Malformed)
}

/// Parses milliseconds, which have a fraction. When they were parsed as integers, the outcome of the first run broke the
/// link, and its repetition after each reconnect broke every later link.
fn parse_ms(word: &str) -> Result<f64, End> {
    word.parse().ok().filter(|ms: &f64| ms.is_finite()).ok_or(End::Malformed)
}

fn parse_notice(words: &[&str]) -> Result<Notice, End> {
    Ok(match *words {
        ["greeting", state, ms] => Notice::Greeting { cold: state == "cold", ms: parse_ms(ms)? },
        ["outcome", n, name, end, ms, _] => Notice::Outcome {
            n: parse_number(n)?,
            name: name.to_owned(),
            end: match end {
                "ok" => Outcome::Good,
                "failed" => Outcome::Bad,
                "halted" => Outcome::Cancelled,
                "void" => Outcome::Moot,
                _ => return Err(End::Malformed),
            },
            ms: parse_ms(ms)?,
            result: Bytes::new(),
        },
        ["request", n, name, _] => {
            Notice::Request { n: parse_number(n)?, name: name.to_owned(), body: Bytes::new() }
        }
        ["sampled", tag, ref values @ ..] => {
            let values: Result<_, _> = values.iter().map(|v| v.parse().map_err(|_| End::Malformed)).collect();
            Notice::Sampled { tag: tag.to_owned(), values: values? }
        }
        ["exercised", tag, end] => Notice::Exercised { tag: tag.to_owned(), ok: end == "ok" },
        ["refusal", command, ref name @ ..] => {
            Notice::Refusal { command: command.to_owned(), name: name.first().unwrap_or(&"").to_string() }
        }
        ["aside", n, ..] => Notice::Aside { n: parse_number(n)? },
        _ => return Err(End::Malformed),
    })
}

/// A command about one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run it.
    Launch {
        /// Its class.
        class: String,
        /// Its body, unchanged.
        body: Bytes,
        /// Whether a second run does no harm, as for a read.
        may_run_again: bool,
    },
    /// Pause its run.
    Freeze,
    /// Resume its paused run.
    Thaw,
    /// Pass the reply to the call that its run waits for.
    Deliver {
        /// The number of the notice that requested the call. The command itself does not carry it.
        notice_id: u64,
        /// The reply, unchanged.
        body: Bytes,
    },
    /// Continue without the call that the notice of this number requested.
    Forgo(u64),
}

impl Command {
    /// Whether the command may be sent again although the agent may have carried it out, at whatever time it arrives.
    ///
    /// The agent keeps no record of runs that have ended, so a repeated launch starts a second run if the first one has
    /// ended. `deliver` does not name the call that it answers, so a repeated one answers the run's next call if the run
    /// has reached it. The other commands have no effect if they have been carried out before.
    fn is_idempotent(&self) -> bool {
        match self {
            Command::Launch { may_run_again, .. } => *may_run_again,
            Command::Deliver { .. } => false,
            Command::Freeze | Command::Thaw | Command::Forgo(_) => true,
        }
    }
}

fn write_command(out: &mut BytesMut, name: &str, command: &Command) {
    let (line, block) = match command {
        Command::Launch { class, body, .. } => {
            (format!("launch {name} {class} {}\r\n", body.len()), Some(body))
        }
        Command::Freeze => (format!("freeze {name}\r\n"), None),
        Command::Thaw => (format!("thaw {name}\r\n"), None),
        Command::Deliver { body, .. } => (format!("deliver {name} {}\r\n", body.len()), Some(body)),
        Command::Forgo(n) => (format!("forgo {name} {n}\r\n"), None),
    };
    out.extend_from_slice(line.as_bytes());
    if let Some(block) = block {
        out.extend_from_slice(block);
        out.extend_from_slice(b"\r\n");
    }
}

/// Assigns the values of a sample to gauges, by the gauge names in the settings, in the same order as the values.
pub fn gauges(names: &[String], values: &[f64]) -> Gauges {
    let value_of = |name: &str| names.iter().position(|n| n == name).and_then(|i| values.get(i)).copied();
    Gauges {
        busy: value_of("core_use"),
        on_cores: value_of("on_cores"),
        memory: value_of("heap_share"),
        connections: value_of("links"),
    }
}
