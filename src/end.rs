//! Every way in which a connection can end, and what each proves about the work sent over it.

use thiserror::Error;

use crate::interface::Outcome;

/// Why a connection, of whatever kind and in whichever direction, is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum End {
    /// The peer closed between two messages.
    #[error("closed by the peer")]
    Closed,
    /// The peer closed within a message.
    #[error("cut off within a message")]
    CutOff,
    /// The transport broke.
    #[error("reset")]
    Reset,
    /// Nobody listens there.
    #[error("connection refused")]
    Refused,
    /// No connection could be made, for another reason than a refusal.
    #[error("unreachable")]
    Unreachable,
    /// What was read is not the protocol.
    #[error("malformed")]
    Malformed,
    /// A message is larger than allowed.
    #[error("oversized")]
    Oversized,
    /// A message did not arrive whole in time.
    #[error("message timed out")]
    Slow,
    /// The peer does not read what it is sent.
    #[error("peer does not read")]
    Stalled,
    /// This side gave up waiting for an answer.
    #[error("given up")]
    Abandoned,
    /// This side closed it as idle.
    #[error("idle")]
    Idle,
    /// This side closed it as nothing was ever asked on it.
    #[error("nothing asked")]
    Silent,
    /// This side closed it to make room for others, or took it in no more.
    #[error("crowded out")]
    Crowded,
    /// This side did not take it in, as its source has its share of connections.
    #[error("source at its limit")]
    Excess,
    /// This side closed it after too many messages in a row that were not fit to be taken in.
    #[error("unruly")]
    Unruly,
    /// This side closed it as the process leaves or the connection has served its one request.
    #[error("finished")]
    Finished,
    /// This side did not send what it was made for, as its share of the fleet's whole had ended.
    #[error("share ended before anything was sent")]
    Lapsed,
}

impl End {
    /// All ends, for counting.
    pub const ALL: [End; 17] = [
        End::Closed,
        End::CutOff,
        End::Reset,
        End::Refused,
        End::Unreachable,
        End::Malformed,
        End::Oversized,
        End::Slow,
        End::Stalled,
        End::Abandoned,
        End::Idle,
        End::Silent,
        End::Crowded,
        End::Excess,
        End::Unruly,
        End::Finished,
        End::Lapsed,
    ];

    /// What the module is told of work whose connection ended so before an answer. Only a connection that was
    /// never made proves that nothing ran; `End` carries no such proof once a byte may have left.
    pub fn outcome(self) -> Outcome {
        match self {
            End::Refused | End::Unreachable => Outcome::Unreachable,
            End::Abandoned | End::Slow => Outcome::Late,
            End::Malformed | End::Oversized => Outcome::Bad,
            End::Closed | End::CutOff | End::Reset | End::Stalled | End::Finished => Outcome::Reset,
            // Nothing was sent on it for this work.
            End::Lapsed => Outcome::Full,
            End::Idle | End::Silent | End::Crowded | End::Excess | End::Unruly => Outcome::Reset,
        }
    }

    /// The end that a failed attempt to connect stands for.
    pub fn of_connect(e: &std::io::Error) -> End {
        if e.kind() == std::io::ErrorKind::ConnectionRefused { End::Refused } else { End::Unreachable }
    }
}

impl From<std::io::Error> for End {
    fn from(e: std::io::Error) -> End {
        match e.kind() {
            std::io::ErrorKind::UnexpectedEof => End::CutOff,
            std::io::ErrorKind::TimedOut => End::Slow,
            _ => End::Reset,
        }
    }
}
