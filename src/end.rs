//! The reasons for which a connection ends, and what each proves about the work sent over it.

use thiserror::Error;

use crate::interface::Outcome;

/// Why a connection of any kind, accepted or opened by this process, has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum End {
    /// The peer closed between two messages.
    #[error("closed by the peer")]
    Closed,
    /// The peer closed within a message.
    #[error("cut off within a message")]
    CutOff,
    /// The transport failed, for example with a TCP reset.
    #[error("reset")]
    Reset,
    /// The peer refused the connection: no process listens at the address.
    #[error("connection refused")]
    Refused,
    /// No connection could be made, for another reason than a refusal.
    #[error("unreachable")]
    Unreachable,
    /// The bytes read do not follow the protocol.
    #[error("malformed")]
    Malformed,
    /// A message is larger than allowed.
    #[error("oversized")]
    Oversized,
    /// A message did not arrive completely in time.
    #[error("message timed out")]
    Slow,
    /// The peer does not read what it is sent.
    #[error("peer does not read")]
    Stalled,
    /// This side gave up waiting for an answer.
    #[error("gave up waiting for an answer")]
    Abandoned,
    /// This side closed it as idle.
    #[error("idle")]
    Idle,
    /// This side closed it because no request ever came on it.
    #[error("no request received")]
    Silent,
    /// This side closed it to make room for other connections, or rejected it for lack of room.
    #[error("no room beside other connections")]
    Crowded,
    /// This side rejected it because its source address has reached its limit of connections.
    #[error("source address at its connection limit")]
    Excess,
    /// This side closed it after too many invalid messages in a row.
    #[error("unruly")]
    Unruly,
    /// This side closed it because the process leaves, or because the connection has served its one request.
    #[error("finished")]
    Finished,
    /// This side did not send the call for which it was made, because its share of the fleet-wide budget had expired.
    #[error("budget share expired before anything was sent")]
    Lapsed,
}

impl End {
    /// All reasons, for counting.
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

    /// The outcome reported to the decision module for work whose connection ended in this way before an answer. Only a
    /// connection that was never made proves that nothing ran: once a byte may have been sent, no reason proves it.
    pub fn outcome(self) -> Outcome {
        match self {
            End::Refused | End::Unreachable => Outcome::Unreachable,
            End::Abandoned | End::Slow => Outcome::Late,
            End::Malformed | End::Oversized => Outcome::Bad,
            End::Closed | End::CutOff | End::Reset | End::Stalled | End::Finished => Outcome::Reset,
            // Nothing was sent for this work.
            End::Lapsed => Outcome::Full,
            End::Idle | End::Silent | End::Crowded | End::Excess | End::Unruly => Outcome::Reset,
        }
    }

    /// The reason for a failed attempt to connect.
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
