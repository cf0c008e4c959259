//! The render farm agent's line protocol: the commands sent, the notices received, and what is sent again after a link is
//! lost.

use std::collections::VecDeque;

use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::end::End;
use crate::interface::{Gauges, Outcome};

/// The longest line, bytes.
const LINE_MAX: usize = 4 << 10;
/// The largest block of data after a line, bytes.
const BLOCK_MAX: usize = 64 << 10;

/// Most `sample` questions remembered as proof of delivery: about one second of questions to an agent that answers none.
/// The answer to a later question proves the same.
const PENDING_SAMPLES_MAX: usize = 64;

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
    },
    /// Pause its run.
    Freeze,
    /// Resume its paused run.
    Thaw,
    /// Pass the reply to the call that its run waits for.
    Deliver(Bytes),
    /// Continue without the call that the notice of this number requested.
    Forgo(u64),
}

fn write_command(out: &mut BytesMut, name: &str, command: &Command) {
    let (line, block) = match command {
        Command::Launch { class, body } => (format!("launch {name} {class} {}\r\n", body.len()), Some(body)),
        Command::Freeze => (format!("freeze {name}\r\n"), None),
        Command::Thaw => (format!("thaw {name}\r\n"), None),
        Command::Deliver(body) => (format!("deliver {name} {}\r\n", body.len()), Some(body)),
        Command::Forgo(n) => (format!("forgo {name} {n}\r\n"), None),
    };
    out.extend_from_slice(line.as_bytes());
    if let Some(block) = block {
        out.extend_from_slice(block);
        out.extend_from_slice(b"\r\n");
    }
}

#[derive(Debug)]
enum Unproven {
    Command(String, Command),
    /// A `sample` question; its answer proves that everything sent before it has arrived.
    Sample(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    Down,
    /// The subscription is sent and the greeting not yet received.
    Subscribed,
    /// The greeting is received; the notices missed while the link was down are still arriving.
    Replaying,
    Ready,
}

/// The node's side of the protocol, across all links. It does no input or output of its own: it appends what is to be sent
/// to a buffer.
///
/// A link may break while commands are in flight. None is sent again before the notices missed meanwhile have been read:
/// otherwise a write that ended in between would be launched, and so run, a second time. The agent does not mark the end
/// of the missed notices; the node sends a `sample` question right after the greeting, whose answer comes after them.
/// Then only those commands are sent again whose delivery no later notice proves.
#[derive(Debug)]
pub struct Agent {
    /// The highest sequence number received.
    last_notice: u64,
    state: LinkState,
    unproven: VecDeque<Unproven>,
    barriers: u64,
}

impl Default for Agent {
    fn default() -> Self {
        Agent { last_notice: 0, state: LinkState::Down, unproven: VecDeque::new(), barriers: 0 }
    }
}

impl Agent {
    /// Handles a new link: subscribes to the notices after the last one received.
    pub fn linked(&mut self, out: &mut BytesMut) {
        self.state = LinkState::Subscribed;
        out.extend_from_slice(format!("subscribe {}\r\n", self.last_notice).as_bytes());
    }

    /// Handles the loss of the link; commands without proof of delivery are kept.
    pub fn lost(&mut self) {
        self.state = LinkState::Down;
        self.unproven.retain(|s| matches!(s, Unproven::Command(..)));
    }

    /// The number of commands and questions without proof of delivery.
    pub fn unproven(&self) -> usize {
        self.unproven.len()
    }

    /// Whether commands are sent at once, rather than kept for a later link.
    pub fn ready(&self) -> bool {
        self.state == LinkState::Ready
    }

    /// Sends a command, or keeps it until the link is ready.
    pub fn command(&mut self, name: &str, command: Command, out: &mut BytesMut) {
        if self.ready() {
            write_command(out, name, &command);
        }
        self.unproven.push_back(Unproven::Command(name.to_owned(), command));
    }

    /// Sends a question: for the gauges (`sample`) or a deep check (`exercise`). False where the link is not ready and
    /// the question is not sent.
    pub fn ask(&mut self, verb: &str, tag: &str, out: &mut BytesMut) -> bool {
        if self.ready() {
            out.extend_from_slice(format!("{verb} {tag}\r\n").as_bytes());
            let samples = self.unproven.iter().filter(|s| matches!(s, Unproven::Sample(_))).count();
            if verb == "sample" && samples < PENDING_SAMPLES_MAX {
                self.unproven.push_back(Unproven::Sample(tag.to_owned()));
            }
        }
        self.ready()
    }

    fn barrier_tag(&self) -> String {
        format!("barrier-{}", self.barriers)
    }

    /// Handles a notice; returns it unless it is a repetition or concerns only the protocol.
    pub fn handle_notice(&mut self, notice: Notice, out: &mut BytesMut) -> Option<Notice> {
        match &notice {
            Notice::Outcome { n, .. } | Notice::Request { n, .. } | Notice::Aside { n } => {
                if *n <= self.last_notice {
                    return None;
                }
                self.last_notice = *n;
            }
            _ => {}
        }
        match &notice {
            Notice::Greeting { .. } => {
                self.barriers += 1;
                self.state = LinkState::Replaying;
                out.extend_from_slice(format!("sample {}\r\n", self.barrier_tag()).as_bytes());
            }
            Notice::Sampled { tag, .. }
                if self.state == LinkState::Replaying && *tag == self.barrier_tag() =>
            {
                self.state = LinkState::Ready;
                for s in &self.unproven {
                    if let Unproven::Command(name, command) = s {
                        write_command(out, name, command);
                    }
                }
                return None;
            }
            Notice::Sampled { tag, .. } => {
                let at = self.unproven.iter().position(|s| matches!(s, Unproven::Sample(t) if t == tag));
                if let Some(at) = at {
                    self.unproven.drain(..=at);
                }
            }
            // The run has reached this call, so every earlier command for it but a pause has arrived.
            Notice::Request { name, .. } => {
                self.drop_proven(name, |c| !matches!(c, Command::Freeze));
            }
            Notice::Outcome { name, .. } => self.drop_proven(name, |_| true),
            Notice::Aside { .. } => return None,
            _ => {}
        }
        Some(notice)
    }

    fn drop_proven(&mut self, request: &str, is_proven: impl Fn(&Command) -> bool) {
        self.unproven.retain(|s| !matches!(s, Unproven::Command(name, c) if name == request && is_proven(c)));
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
