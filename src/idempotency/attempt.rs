//! What is known of one attempt of a write, and what crosses to another process about it.

use bytes::Bytes;

use crate::interface::Micros;

/// What links the attempts of one request: the key that its client gave, within the front and the class it came by. The class is
/// known by its name and not its number, which a reload may change; fronts do not share, as a result is in the form of its
/// front's wire.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IdempotencyKey {
    /// The front's name.
    pub front: String,
    /// The class's name.
    pub class: String,
    /// The client's key.
    pub key: String,
}

impl IdempotencyKey {
    /// Names the key in logs, which must not hold what clients send.
    #[must_use]
    pub fn digest(&self) -> String {
        let Fingerprint(bytes) = Fingerprint::of(self.key.as_bytes());
        bytes[..4].iter().map(|b| format!("{b:02x}")).collect()
    }
}

/// What tells one body from another: the first bytes of its BLAKE3 hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// That of a body.
    #[must_use]
    pub fn of(body: &[u8]) -> Fingerprint {
        let hash = blake3::hash(body);
        let mut first = [0; 16];
        first.copy_from_slice(&hash.as_bytes()[..16]);
        Fingerprint(first)
    }
}

/// One attempt of a write, as it has been read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its name, which no other attempt has.
    pub name: String,
    /// What links it to others; nothing where its class links none.
    pub key: Option<IdempotencyKey>,
    /// That of its body.
    pub fingerprint: Fingerprint,
    /// The earliest time at which it may have been written.
    pub earliest: Micros,
    /// Where it runs, no other attempt of its key that was written before then may.
    pub window_end: Micros,
    /// It is known until then: nothing that was written within its window can be read and still be in time later.
    pub keep_until: Micros,
}

impl Attempt {
    /// The same on another clock, which shows `to` where this one shows `from`.
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

/// Where an attempt of another process has got to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It is held, or it runs.
    Open,
    /// It ended well, with this result.
    Good(Bytes),
    /// It ended otherwise and may have had its effect, or its result is not there any more.
    Bad,
}

/// What crosses to another process about one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was taken in, or has got further.
    Known(Attempt, Progress),
    /// It never ran, and will not.
    Forgotten {
        /// Its name.
        name: String,
    },
    /// The successor has read a write that a key links: may it be taken in?
    Asked(Attempt),
    /// The incumbent's answer: it may.
    Granted {
        /// Its name.
        name: String,
    },
    /// The incumbent's answer: the incumbent has another attempt of it, of which it has told.
    Taken {
        /// Its name.
        name: String,
    },
}

impl Change {
    /// The same on another clock; see [`Attempt::rebased`].
    #[must_use]
    pub fn rebased(self, from: Micros, to: Micros) -> Change {
        match self {
            Change::Known(attempt, progress) => Change::Known(attempt.rebased(from, to), progress),
            Change::Asked(attempt) => Change::Asked(attempt.rebased(from, to)),
            other => other,
        }
    }
}
