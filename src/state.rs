//! What the policy remembers of requests and kept keys. Bookkeeping only; no decision is taken here.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{Micros, RequestId};

/// Where a request is.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Phase {
    #[default]
    Held,
    Joined,
    Running,
    /// Waits for its call to be placed.
    Parked,
    Calling,
    /// Asked to pause, not yet confirmed.
    Pausing,
    Paused,
}

#[derive(Default)]
pub(crate) struct Job {
    pub class: usize,
    /// Order in the hold, by rank.
    pub order: i64,
    pub kb: f64,
    pub arrived: Micros,
    /// An answer is owed by then.
    pub due: Micros,
    /// Full worth until then, as far as this server can know.
    pub aim: Micros,
    /// Hinted work, s.
    pub hint: Option<f64>,
    pub phase: Phase,
    pub answered: bool,
    pub check: Micros,
    /// The request it repeats.
    pub repeats: Option<RequestId>,
    /// Requests that wait for its outcome.
    pub followers: Vec<RequestId>,
    pub calls_failed: u32,
    pub keeps: bool,
}

/// Kept keys and when each entry ends.
#[derive(Default)]
pub(crate) struct Entries {
    by_end: BTreeSet<(Micros, RequestId)>,
    ends: BTreeMap<RequestId, Micros>,
}

impl Entries {
    pub fn insert(&mut self, id: RequestId, end: Micros) {
        self.remove(id);
        self.by_end.insert((end, id));
        self.ends.insert(id, end);
    }

    /// Whether there was an entry.
    pub fn remove(&mut self, id: RequestId) -> bool {
        self.ends.remove(&id).is_some_and(|end| self.by_end.remove(&(end, id)))
    }

    pub fn contains(&self, id: RequestId) -> bool {
        self.ends.contains_key(&id)
    }

    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Removes one entry that has ended.
    pub fn pop_ended(&mut self, now: Micros) -> Option<RequestId> {
        let (end, id) = *self.by_end.first()?;
        (end <= now && self.remove(id)).then_some(id)
    }
}
