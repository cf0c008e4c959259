//! One attempt of a write, and the messages about attempts that two processes of a node exchange in a hot restart.

use bytes::Bytes;

use crate::interface::Micros;

/// Links the attempts of one request: the key that the client sent, scoped to a front and a class.
///
/// The class is stored by name because a reload may change its number. Fronts do not share keys because a result is
/// encoded in the wire format of its front.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IdempotencyKey {
    /// Name of the front that received the request.
    pub front: String,
    /// Name of the request's class.
    pub class: String,
    /// The key that the client sent.
    pub key: String,
}

impl IdempotencyKey {
    /// A short hash (8 hex digits) that identifies the key in logs, which must not contain data sent by clients.
    #[must_use]
    pub fn digest(&self) -> String {
        let Fingerprint(bytes) = Fingerprint::of(self.key.as_bytes());
        bytes[..4].iter().map(|b| format!("{b:02x}")).collect()
    }
}

/// Identifies a request body: the first 16 bytes of its BLAKE3 hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Computes the fingerprint of a request body.
    #[must_use]
    pub fn of(body: &[u8]) -> Fingerprint {
        let hash = blake3::hash(body);
        let mut first = [0; 16];
        first.copy_from_slice(&hash.as_bytes()[..16]);
        Fingerprint(first)
    }
}

/// One attempt of a write, with the times at which it matters to other attempts of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Unique name of this attempt.
    pub name: String,
    /// The key that links it to other attempts; `None` if its class does not deduplicate.
    pub key: Option<IdempotencyKey>,
    /// Fingerprint of its body.
    pub fingerprint: Fingerprint,
    /// The earliest time at which the client may have sent it.
    pub earliest: Micros,
    /// Once this attempt runs, no other attempt of its key that was sent before this time may run.
    pub window_end: Micros,
    /// The store remembers the attempt until this time. An attempt that was sent within the window and is read later
    /// than this has passed its deadline.
    pub keep_until: Micros,
}

impl Attempt {
    /// Converts its times to another process's clock, which shows `to` when this process's clock shows `from`.
    #[must_use]
    pub fn rebased(self, from: Micros, to: Micros) -> Attempt {
        let rebase = |at: Micros| at + to - from;
        Attempt {
            earliest: rebase(self.earliest),
            window_end: rebase(self.window_end),
            keep_until: rebase(self.keep_until),
            ..self
        }
    }
}

/// How far an attempt of the other process has progressed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It is queued or running.
    Open,
    /// Its run succeeded with this result.
    Good(Bytes),
    /// Its run failed and may have had its effect, or its result is no longer stored.
    Bad,
}

/// A message about one attempt to the other process of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The sender has accepted the attempt, or the attempt has progressed.
    Known(Attempt, Progress),
    /// The attempt never ran and never will.
    Forgotten {
        /// Name of the attempt.
        name: String,
    },
    /// The successor asks the incumbent whether it may accept this attempt of a write with a key.
    Asked(Attempt),
    /// The incumbent allows the successor to accept the attempt.
    Granted {
        /// Name of the attempt.
        name: String,
    },
    /// The incumbent refuses, because it has another attempt of the same key, which an earlier message described.
    Taken {
        /// Name of the attempt.
        name: String,
    },
}

impl Change {
    /// Converts the times in the message to another process's clock; see [`Attempt::rebased`].
    #[must_use]
    pub fn rebased(self, from: Micros, to: Micros) -> Change {
        match self {
            Change::Known(attempt, progress) => Change::Known(attempt.rebased(from, to), progress),
            Change::Asked(attempt) => Change::Asked(attempt.rebased(from, to)),
            other => other,
        }
    }
}
