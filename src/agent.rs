//! The render farm agent's line protocol: what is said and heard on a link, and what survives a lost one.

use std::collections::VecDeque;

use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::end::End;
use crate::interface::{Gauges, Outcome};

/// Longest line, and largest block behind one.
const LINE_MAX: usize = 4 << 10;
const BLOCK_MAX: usize = 64 << 10;

/// Questions whose answers are awaited as proof. A second of an agent that answers none; later ones prove as much.
const MARKS_MAX: usize = 64;

/// What the agent says.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The agent is up, and was started cold or warm.
    Greeting {
        /// It started cold.
        cold: bool,
        /// How long ago, ms.
        ms: f64,
    },
    /// A run is over.
    Outcome {
        /// The notice's number.
        n: u64,
        /// The request.
        name: String,
        /// How it ended.
        end: Outcome,
        /// How long it took, ms.
        ms: f64,
        /// The result, where it went well.
        result: Bytes,
    },
    /// A run waits for a call.
    Request {
        /// The notice's number.
        n: u64,
        /// The request.
        name: String,
        /// The call's body.
        body: Bytes,
    },
    /// The gauges, in the order of the settings.
    Sampled {
        /// The word that came with the question.
        tag: String,
        /// The values.
        values: Vec<f64>,
    },
    /// A deep check is done.
    Exercised {
        /// The word that came with the question.
        tag: String,
        /// It went well.
        ok: bool,
    },
    /// A command was not carried out.
    Refusal {
        /// The command.
        command: String,
        /// The request.
        name: String,
    },
    /// A remark with no meaning, which has a number all the same.
    Aside {
        /// The notice's number.
        n: u64,
    },
}

/// Reads notices off a link. The state between calls is only what the buffer holds.
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
            ["outcome", _, _, _, _, length] | ["request", _, _, length] => Some(num(length)? as usize),
            _ => None,
        };
        if block.is_some_and(|n| n > BLOCK_MAX) {
            return Err(End::Oversized);
        }
        let whole = at + 2 + block.map_or(0, |n| n + 2);
        if src.len() < whole {
            return Ok(None);
        }
        if block.is_some() && &src[whole - 2..whole] != b"\r\n" {
            return Err(End::Malformed);
        }
        let mut notice = parse(&words).inspect_err(|_| tracing::warn!("agent: not a notice: {line:?}"))?;
        let mut taken = src.split_to(whole);
        if let Some(n) = block {
            taken.advance(at + 2);
            taken.truncate(n);
            if let Notice::Outcome { result: b, .. } | Notice::Request { body: b, .. } = &mut notice {
                *b = taken.freeze();
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

fn num(word: &str) -> Result<u64, End> {
    word.parse().map_err(|_| End::Malformed)
}

/// Milliseconds, which come with a fraction. Taken for whole ones, the first run to end broke the link, and its
/// replay broke every link after it.
fn span(word: &str) -> Result<f64, End> {
    word.parse().ok().filter(|ms: &f64| ms.is_finite()).ok_or(End::Malformed)
}

fn parse(words: &[&str]) -> Result<Notice, End> {
    Ok(match *words {
        ["greeting", state, ms] => Notice::Greeting { cold: state == "cold", ms: span(ms)? },
        ["outcome", n, name, end, ms, _] => Notice::Outcome {
            n: num(n)?,
            name: name.to_owned(),
            end: match end {
                "ok" => Outcome::Good,
                "failed" => Outcome::Bad,
                "halted" => Outcome::Cancelled,
                "void" => Outcome::Moot,
                _ => return Err(End::Malformed),
            },
            ms: span(ms)?,
            result: Bytes::new(),
        },
        ["request", n, name, _] => Notice::Request { n: num(n)?, name: name.to_owned(), body: Bytes::new() },
        ["sampled", tag, ref values @ ..] => {
            let values: Result<_, _> = values.iter().map(|v| v.parse().map_err(|_| End::Malformed)).collect();
            Notice::Sampled { tag: tag.to_owned(), values: values? }
        }
        ["exercised", tag, end] => Notice::Exercised { tag: tag.to_owned(), ok: end == "ok" },
        ["refusal", command, ref name @ ..] => {
            Notice::Refusal { command: command.to_owned(), name: name.first().unwrap_or(&"").to_string() }
        }
        ["aside", n, ..] => Notice::Aside { n: num(n)? },
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
        /// Its body, as it came.
        body: Bytes,
    },
    /// Stop its run.
    Freeze,
    /// Go on with its paused run.
    Thaw,
    /// The reply to the call that it waits for.
    Deliver(Bytes),
    /// Go on without the call that this notice asked for.
    Forgo(u64),
}

fn write(out: &mut BytesMut, name: &str, command: &Command) {
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
enum Sent {
    Command(String, Command),
    /// A question; its answer proves that all before it has arrived.
    Mark(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Down,
    /// Subscribed, not yet greeted.
    Subscribed,
    /// Greeted; the missed notices are still coming in.
    Replaying,
    Ready,
}

/// This side of the conversation, whatever link carries it. Knows no socket: it fills a buffer with what to say.
///
/// A link may break with commands under way. None is repeated before the notices missed meanwhile have been read
/// again, or a write that ended in between would be launched, and so run, a second time. The agent marks no end of
/// those notices; the answer to a question asked right after the greeting does, as it comes behind them. Then only
/// commands go out again that no later word proves to have arrived.
#[derive(Debug)]
pub struct Agent {
    last: u64,
    state: State,
    unproven: VecDeque<Sent>,
    barriers: u64,
}

impl Default for Agent {
    fn default() -> Self {
        Agent { last: 0, state: State::Down, unproven: VecDeque::new(), barriers: 0 }
    }
}

impl Agent {
    /// A link has been made.
    pub fn linked(&mut self, out: &mut BytesMut) {
        self.state = State::Subscribed;
        out.extend_from_slice(format!("subscribe {}\r\n", self.last).as_bytes());
    }

    /// The link is gone.
    pub fn lost(&mut self) {
        self.state = State::Down;
        self.unproven.retain(|s| matches!(s, Sent::Command(..)));
    }

    /// Commands and questions that nothing proves to have arrived yet.
    pub fn unproven(&self) -> usize {
        self.unproven.len()
    }

    /// Whether commands go out at once.
    pub fn ready(&self) -> bool {
        self.state == State::Ready
    }

    /// Sends a command, or keeps it until that is safe.
    pub fn command(&mut self, name: &str, command: Command, out: &mut BytesMut) {
        if self.ready() {
            write(out, name, &command);
        }
        self.unproven.push_back(Sent::Command(name.to_owned(), command));
    }

    /// Asks for the gauges (`sample`) or a deep check (`exercise`); false where no link can carry the question.
    pub fn ask(&mut self, verb: &str, tag: &str, out: &mut BytesMut) -> bool {
        if self.ready() {
            out.extend_from_slice(format!("{verb} {tag}\r\n").as_bytes());
            let marks = self.unproven.iter().filter(|s| matches!(s, Sent::Mark(_))).count();
            if verb == "sample" && marks < MARKS_MAX {
                self.unproven.push_back(Sent::Mark(tag.to_owned()));
            }
        }
        self.ready()
    }

    fn barrier(&self) -> String {
        format!("barrier-{}", self.barriers)
    }

    /// Takes a notice; gives it back where it is news for the core.
    pub fn handle_notice(&mut self, notice: Notice, out: &mut BytesMut) -> Option<Notice> {
        match &notice {
            Notice::Outcome { n, .. } | Notice::Request { n, .. } | Notice::Aside { n } => {
                if *n <= self.last {
                    return None;
                }
                self.last = *n;
            }
            _ => {}
        }
        match &notice {
            Notice::Greeting { .. } => {
                self.barriers += 1;
                self.state = State::Replaying;
                out.extend_from_slice(format!("sample {}\r\n", self.barrier()).as_bytes());
            }
            Notice::Sampled { tag, .. } if self.state == State::Replaying && *tag == self.barrier() => {
                self.state = State::Ready;
                for s in &self.unproven {
                    if let Sent::Command(name, command) = s {
                        write(out, name, command);
                    }
                }
                return None;
            }
            Notice::Sampled { tag, .. } => {
                let at = self.unproven.iter().position(|s| matches!(s, Sent::Mark(t) if t == tag));
                if let Some(at) = at {
                    self.unproven.drain(..=at);
                }
            }
            // The run has got as far as this: whatever led here has arrived.
            Notice::Request { name, .. } => {
                self.forget(name, |c| !matches!(c, Command::Freeze));
            }
            Notice::Outcome { name, .. } => self.forget(name, |_| true),
            Notice::Aside { .. } => return None,
            _ => {}
        }
        Some(notice)
    }

    fn forget(&mut self, of: &str, proven: impl Fn(&Command) -> bool) {
        self.unproven.retain(|s| !matches!(s, Sent::Command(name, c) if name == of && proven(c)));
    }
}

/// Gauges by the names that the settings give them.
pub fn gauges(names: &[String], values: &[f64]) -> Gauges {
    let of = |name: &str| names.iter().position(|n| n == name).and_then(|i| values.get(i)).copied();
    Gauges {
        busy: of("core_use"),
        on_cores: of("on_cores"),
        memory: of("heap_share"),
        connections: of("links"),
    }
}
