//! What connection admission expects of the connections of a listener: one profile per listener.

use crate::interface::Micros;

/// How long a message may take to arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// The fixed patience that the front's session states, as the platform's protocol requires.
    Fixed,
    /// By progress: a message may take long as long as it arrives at a least rate.
    Progress(Progress),
}

/// The terms of [`Pace::Progress`].
///
/// A sender starts a message with a credit of `least_rate * grace` bytes. Each byte that comes adds one, each second
/// subtracts `least_rate`, and the credit never exceeds `least_rate * burst`. A connection without credit is closed.
/// So a sender that keeps the least rate in every span as long as the grace is never closed before `longest`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// Bytes per second, 1 to 1,000,000.
    pub least_rate: u64,
    /// How long a sender may be silent at its message's start, 0.1 to 600 s.
    pub grace: Micros,
    /// The longest silence that progress can earn, from the grace on to 3,600 s.
    pub burst: Micros,
    /// A message may take this many times its class's deadline, 0.1 to 100. A class that is not known yet counts as
    /// the one with the longest deadline.
    pub longest: f64,
    /// How long a connection may send nothing before its first byte, 0.1 to 600 s.
    pub silence: Micros,
    /// The longest time between two reads of a slow sender's socket, up to 30 s; 0 reads every byte as it comes. Where
    /// a message states its length it is read when it should be complete; where it does not, after a quarter of this.
    pub rest: Micros,
}

/// How fast a peer must accept its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendLimits {
    /// A peer that accepts no byte for this long is disconnected, 0.1 to 600 s.
    pub stall: Micros,
    /// How long all unsent bytes may take to be sent, from when there first are any; `None` sets no bound.
    pub longest: Option<Micros>,
}

/// How the operating system detects a peer that vanished without closing: keepalive probes while nothing is sent, and
/// the TCP user timeout (RFC 5482) while data is unacknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Liveness {
    /// Silence before the first probe, and the interval between probes, 1 to 3,600 s.
    pub probe: Micros,
    /// Unacknowledged bytes or probes end the connection after this long, 1 to 3,600 s.
    pub timeout: Micros,
}

/// What is expected of the connections of one listener.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// How long a message may take to arrive.
    pub pace: Pace,
    /// How fast a peer must accept its answers.
    pub send_limits: SendLimits,
    /// Whether and how the operating system detects vanished peers.
    pub liveness: Option<Liveness>,
    /// The socket's send buffer, bytes; `None` leaves it to the operating system. A small one lets this process see how
    /// fast a peer accepts its answer, and bounds the kernel memory that a slow reader holds.
    pub send_buffer: Option<usize>,
    /// How long to wait for the peer's close once all is sent, so that no reset discards the last answer.
    pub linger: Micros,
}

impl Profile {
    /// Exactly the platform's terms: fixed patience, 15 s for a stalled reader, no socket options.
    pub const STRICT: Profile = Profile {
        pace: Pace::Fixed,
        send_limits: SendLimits { stall: Micros::from_millis(15_000), longest: None },
        liveness: None,
        send_buffer: None,
        linger: Micros::from_millis(150),
    };

    /// For links that the operator declares poor.
    pub const PATIENT: Profile = Profile {
        pace: Pace::Progress(Progress {
            least_rate: 30,
            grace: Micros::from_millis(10_000),
            burst: Micros::from_millis(20_000),
            longest: 4.0,
            silence: Micros::from_millis(5_000),
            rest: Micros::from_millis(4_000),
        }),
        send_limits: SendLimits {
            stall: Micros::from_millis(20_000),
            longest: Some(Micros::from_millis(120_000)),
        },
        liveness: Some(Liveness { probe: Micros::from_millis(10_000), timeout: Micros::from_millis(30_000) }),
        send_buffer: Some(32 << 10),
        linger: Micros::from_millis(2_000),
    };

    pub(super) fn progress(&self) -> Option<&Progress> {
        match &self.pace {
            Pace::Fixed => None,
            Pace::Progress(progress) => Some(progress),
        }
    }
}
