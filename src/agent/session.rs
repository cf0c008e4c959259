//! The node's side of the agent protocol across all links: which commands have arrived, and what a new link sends again.
//!
//! A link may break while commands are in flight, and the protocol does not acknowledge commands. What a notice does not
//! prove to have arrived is in one of two states:
//!
//! | state | known by | on the next link |
//! |---|---|---|
//! | never sent | the broken link's socket had not accepted its last byte | sent |
//! | in doubt | the socket had accepted it | sent again if it is idempotent ([`Command::is_idempotent`]); otherwise never, and reported as [`CommandInDoubt`] |
//!
//! No time enters into this, and no answer of the agent makes a command in doubt safe to repeat: whatever the agent
//! reports may have changed by the time at which the repetition arrives.

use std::collections::VecDeque;

use bytes::BytesMut;

use super::{Command, Notice, write_command};

/// Most `sample` questions remembered as proof of delivery: about one second of questions to an agent that answers none.
/// The answer to a later question proves the same.
const PENDING_SAMPLES_MAX: usize = 64;

/// A command that the agent may or may not have carried out, and that is never sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandInDoubt {
    /// The launch of the named request, which must not run twice.
    Launch(String),
    /// The reply to a call of the named request's run.
    Reply {
        /// The request.
        name: String,
        /// The number of the notice that requested the call.
        notice_id: u64,
    },
}

impl CommandInDoubt {
    /// `None` for commands that may be repeated.
    fn of(name: &str, command: &Command) -> Option<CommandInDoubt> {
        match command {
            command if command.is_idempotent() => None,
            Command::Launch { .. } => Some(CommandInDoubt::Launch(name.to_owned())),
            Command::Deliver { notice_id, .. } => {
                Some(CommandInDoubt::Reply { name: name.to_owned(), notice_id: *notice_id })
            }
            Command::Freeze | Command::Thaw | Command::Forgo(_) => None,
        }
    }
}

/// How far a command without proof of delivery has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Transmission {
    /// No link's socket has accepted its last byte.
    NotSent,
    /// It ends at this offset in the bytes of the current link.
    OnLink { end: u64 },
    /// The socket of a link that was lost had accepted it.
    InDoubt,
}

#[derive(Debug)]
struct PendingCommand {
    name: String,
    command: Command,
    transmission: Transmission,
}

#[derive(Debug)]
enum Unproven {
    Command(PendingCommand),
    /// A `sample` question; its answer proves that everything sent before it has arrived.
    Sample(String),
}

impl Unproven {
    /// Whether it is a command that no link has carried.
    fn is_kept_for_next_link(&self) -> bool {
        matches!(self, Unproven::Command(pending) if pending.transmission == Transmission::NotSent)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    Down,
    /// The subscription is sent and the greeting not yet received.
    Subscribed,
    /// The greeting is received; the notices missed while the link was down are still arriving.
    Replaying,
    Ready,
    /// The node is about to move to another link. Commands are kept, and the answer to a question proves those sent.
    Draining,
    /// Every command sent on the link has been proved to have arrived.
    Drained,
}

/// The node's side of the protocol, across all links. It does no input or output of its own: it appends what is to be sent
/// to a buffer.
///
/// No command is sent on a new link before the notices missed meanwhile have been read, as they may prove that a command
/// has arrived. The agent does not mark their end; the node sends a `sample` question right after the greeting, whose
/// answer comes after them.
#[derive(Debug)]
pub struct Agent {
    /// The highest sequence number received.
    last_notice: u64,
    state: LinkState,
    unproven: VecDeque<Unproven>,
    /// Commands found to be in doubt, until [`Agent::take_in_doubt`].
    in_doubt: Vec<CommandInDoubt>,
    barriers: u64,
    /// Bytes appended for the current link.
    link_bytes: u64,
}

impl Default for Agent {
    fn default() -> Self {
        Agent {
            last_notice: 0,
            state: LinkState::Down,
            unproven: VecDeque::new(),
            in_doubt: Vec::new(),
            barriers: 0,
            link_bytes: 0,
        }
    }
}

impl Agent {
    /// Handles a new link: subscribes to the notices after the last one received.
    pub fn linked(&mut self, out: &mut BytesMut) {
        self.state = LinkState::Subscribed;
        self.link_bytes = 0;
        self.append_line(&format!("subscribe {}", self.last_notice), out);
    }

    /// Handles the loss of the link, whose socket has accepted `accepted_bytes` of what was appended for it. Commands
    /// without proof of delivery are kept.
    pub fn lost(&mut self, accepted_bytes: u64) {
        self.state = LinkState::Down;
        self.unproven.retain(|unproven| matches!(unproven, Unproven::Command(_)));
        for unproven in &mut self.unproven {
            if let Unproven::Command(pending) = unproven
                && let Transmission::OnLink { end } = pending.transmission
            {
                pending.transmission =
                    if end <= accepted_bytes { Transmission::InDoubt } else { Transmission::NotSent };
            }
        }
    }

    /// Prepares a move to another link: keeps further commands, and asks a question whose answer proves that those sent have
    /// arrived. See [`Agent::is_drained`].
    pub fn drain(&mut self, out: &mut BytesMut) {
        if self.ready() {
            self.state = LinkState::Draining;
            self.ask_barrier(out);
        }
    }

    /// Whether the link can be replaced without leaving a command of it in doubt.
    pub fn is_drained(&self) -> bool {
        !matches!(self.state, LinkState::Ready | LinkState::Draining)
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
        let mut pending =
            PendingCommand { name: name.to_owned(), command, transmission: Transmission::NotSent };
        if self.ready() {
            append_command(&mut pending, &mut self.link_bytes, out);
        }
        self.unproven.push_back(Unproven::Command(pending));
    }

    /// Sends a question: for the gauges (`sample`) or a deep check (`exercise`). False where the link is not ready and
    /// the question is not sent.
    pub fn ask(&mut self, verb: &str, tag: &str, out: &mut BytesMut) -> bool {
        if self.ready() {
            self.append_line(&format!("{verb} {tag}"), out);
            let samples = self.unproven.iter().filter(|s| matches!(s, Unproven::Sample(_))).count();
            if verb == "sample" && samples < PENDING_SAMPLES_MAX {
                self.unproven.push_back(Unproven::Sample(tag.to_owned()));
            }
        }
        self.ready()
    }

    /// Removes and returns the commands that have been found to be in doubt since the last call. Nothing more is sent for
    /// them.
    pub fn take_in_doubt(&mut self) -> Vec<CommandInDoubt> {
        std::mem::take(&mut self.in_doubt)
    }

    fn append_line(&mut self, line: &str, out: &mut BytesMut) {
        out.extend_from_slice(line.as_bytes());
        out.extend_from_slice(b"\r\n");
        self.link_bytes += line.len() as u64 + 2;
    }

    /// Asks a question under a new tag, whose answer comes after all notices and commands before it.
    fn ask_barrier(&mut self, out: &mut BytesMut) {
        self.barriers += 1;
        self.append_line(&format!("sample {}", self.barrier_tag()), out);
    }

    fn barrier_tag(&self) -> String {
        format!("barrier-{}", self.barriers)
    }

    /// Handles the answer to the latest question of [`Agent::ask_barrier`].
    fn barrier_passed(&mut self, out: &mut BytesMut) {
        match self.state {
            LinkState::Replaying => {
                self.state = LinkState::Ready;
                self.send_pending(out);
            }
            LinkState::Draining => {
                self.state = LinkState::Drained;
                self.unproven.retain(Unproven::is_kept_for_next_link);
            }
            LinkState::Down | LinkState::Subscribed | LinkState::Ready | LinkState::Drained => {}
        }
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
                self.state = LinkState::Replaying;
                self.ask_barrier(out);
            }
            Notice::Sampled { tag, .. } if *tag == self.barrier_tag() => {
                self.barrier_passed(out);
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

    /// Sends, in order, the commands that were never sent and those that may be repeated. The others leave the list.
    fn send_pending(&mut self, out: &mut BytesMut) {
        for unproven in std::mem::take(&mut self.unproven) {
            let Unproven::Command(mut pending) = unproven else { continue };
            let doubt = match pending.transmission {
                Transmission::InDoubt => CommandInDoubt::of(&pending.name, &pending.command),
                Transmission::NotSent | Transmission::OnLink { .. } => None,
            };
            if let Some(doubt) = doubt {
                self.in_doubt.push(doubt);
                continue;
            }
            append_command(&mut pending, &mut self.link_bytes, out);
            self.unproven.push_back(Unproven::Command(pending));
        }
    }

    fn drop_proven(&mut self, request: &str, is_proven: impl Fn(&Command) -> bool) {
        self.unproven.retain(|unproven| match unproven {
            Unproven::Command(pending) => pending.name != request || !is_proven(&pending.command),
            Unproven::Sample(_) => true,
        });
    }
}

/// Appends a command to the bytes of the current link, of which there have been `link_bytes` so far.
fn append_command(pending: &mut PendingCommand, link_bytes: &mut u64, out: &mut BytesMut) {
    let before = out.len();
    write_command(out, &pending.name, &pending.command);
    *link_bytes += (out.len() - before) as u64;
    pending.transmission = Transmission::OnLink { end: *link_bytes };
}
