//! What a door expects of those who come through a gate: one profile a gate.

use crate::interface::Micros;

/// How long a message may take to come in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// The fixed patience that the front's session states, as the platform's protocol wants it.
    Fixed,
    /// By progress: a message may take its time as long as it comes in at a least rate.
    Progress(Progress),
}

/// The terms of [`Pace::Progress`].
///
/// A sender starts a message with a credit of `least_rate * grace` bytes. Each byte that comes adds one, each second
/// takes `least_rate` away, and the credit never stands above `least_rate * burst`. Who has none left is closed.
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
    /// How long a connection may say nothing before its first byte, 0.1 to 600 s.
    pub silence: Micros,
    /// How long a slow sender's socket is left alone between two looks at it, up to 30 s; 0 reads every byte as it
    /// comes. Where a message tells its length the look comes when it should be whole; where it does not, after a
    /// quarter of this.
    pub rest: Micros,
}

/// How answers are taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Taking {
    /// A peer that takes no byte for this long is cut off, 0.1 to 600 s.
    pub stall: Micros,
    /// How long all that is owed to a peer may take to be sent, from the moment something is; none sets no bound.
    pub longest: Option<Micros>,
}

/// How a peer that went without a word is found by the system: keepalive probes while nothing is sent, and the user
/// time-out (RFC 5482) while something is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Liveness {
    /// Silence before the first probe, and between two, 1 to 3,600 s.
    pub probe: Micros,
    /// Unacknowledged bytes or probes end the connection after this long, 1 to 3,600 s.
    pub timeout: Micros,
}

/// What is expected of the connections of one gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// Of senders.
    pub pace: Pace,
    /// Of readers.
    pub taking: Taking,
    /// Whether and how the system looks for peers that are gone.
    pub liveness: Option<Liveness>,
    /// The system's own buffer for what is sent, bytes; none leaves it to the system. A small one makes the pace at
    /// which a peer takes its answer show here, and bounds what a slow reader holds in the system.
    pub send_buffer: Option<usize>,
    /// How long to wait for the peer's own close once all is sent, so that no reset overtakes the last answer.
    pub linger: Micros,
}

impl Profile {
    /// The platform's terms, exactly: fixed patience, 15 s for a stalled reader, nothing asked of the system.
    pub const STRICT: Profile = Profile {
        pace: Pace::Fixed,
        taking: Taking { stall: Micros::from_millis(15_000), longest: None },
        liveness: None,
        send_buffer: None,
        linger: Micros::from_millis(150),
    };

    /// For links that the operator calls poor.
    pub const PATIENT: Profile = Profile {
        pace: Pace::Progress(Progress {
            least_rate: 30,
            grace: Micros::from_millis(10_000),
            burst: Micros::from_millis(20_000),
            longest: 4.0,
            silence: Micros::from_millis(5_000),
            rest: Micros::from_millis(4_000),
        }),
        taking: Taking { stall: Micros::from_millis(20_000), longest: Some(Micros::from_millis(120_000)) },
        liveness: Some(Liveness { probe: Micros::from_millis(10_000), timeout: Micros::from_millis(30_000) }),
        send_buffer: Some(32 << 10),
        linger: Micros::from_millis(2_000),
    };

    pub(super) fn progress(&self) -> Option<&Progress> {
        match &self.pace {
            Pace::Fixed => None,
            Pace::Progress(p) => Some(p),
        }
    }
}
