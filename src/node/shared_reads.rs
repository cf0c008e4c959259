//! Reads that share a result: the current request for each subject, and the fresh results.
//!
//! Attempts of writes are linked by [`crate::idempotency`], not here.

use std::collections::HashMap;

use bytes::Bytes;

use crate::interface::{Micros, RequestId};
use crate::node::FrontId;

/// What identifies the subject of a read: the front, the class's name and the key. A result is encoded in the wire format of
/// its front, so fronts do not share results. After a reload a class's number may refer to another class; its name does not.
pub(super) type ReadSubject = (FrontId, String, String);

/// The result of a read and when it was made. This process may have received it later.
#[derive(Clone, Debug)]
pub(super) struct CachedRead {
    /// The result, unchanged.
    pub(super) result: Bytes,
    /// When the run that made it ended.
    pub(super) made_at: Micros,
}

/// The state of the run behind an entry.
#[derive(Clone, Debug)]
enum ReadState {
    /// The run has not ended.
    Pending,
    Completed(CachedRead),
    Failed,
}

#[derive(Debug)]
struct SharedRead {
    id: RequestId,
    /// A request that reached the machine before this time may share, however late it is read.
    until: Micros,
    state: ReadState,
}

/// An entry is retained for this long after its end, for requests that reached the machine before it and are read late.
pub(super) const LATE_READ_MARGIN: Micros = Micros::from_millis(1_000);

/// Shared reads by subject and by request. Each request has one entry at most, and each subject one request.
#[derive(Debug, Default)]
pub(super) struct SharedReads {
    reads: HashMap<ReadSubject, SharedRead>,
    subjects: HashMap<RequestId, ReadSubject>,
}

impl SharedReads {
    /// Adds an entry for a request, or moves the end of its entry to `until`. A newer request replaces the one of its subject.
    pub(super) fn insert_or_renew(&mut self, id: RequestId, subject: Option<ReadSubject>, until: Micros) {
        if let Some(subject) = self.subjects.get(&id).cloned() {
            if let Some(read) = self.reads.get_mut(&subject) {
                read.until = until;
            }
            return;
        }
        let Some(subject) = subject else { return };
        let read = SharedRead { id, until, state: ReadState::Pending };
        if let Some(replaced) = self.reads.insert(subject.clone(), read) {
            self.subjects.remove(&replaced.id);
        }
        self.subjects.insert(id, subject);
    }

    /// Removes the entry of a request.
    pub(super) fn forget(&mut self, id: RequestId) {
        if let Some(subject) = self.subjects.remove(&id) {
            self.reads.remove(&subject);
        }
    }

    /// Removes the entry of a request if it has ended; otherwise returns when to check again.
    pub(super) fn expire(&mut self, now: Micros, id: RequestId) -> Option<Micros> {
        let expires = self.read_of(id)?.until + LATE_READ_MARGIN;
        if expires <= now {
            self.forget(id);
            return None;
        }
        Some(expires)
    }

    /// Records that the run behind an entry has ended, with a result or without one.
    pub(super) fn record_end(&mut self, id: RequestId, result: Option<CachedRead>) {
        if let Some(read) = self.subjects.get(&id).and_then(|subject| self.reads.get_mut(subject)) {
            read.state = result.map_or(ReadState::Failed, ReadState::Completed);
        }
    }

    /// The request whose result a new one may share: one whose run goes on, or one whose result was still fresh when
    /// the new request arrived.
    pub(super) fn find_shareable(
        &self,
        arrived: Micros,
        fresh_for: Micros,
        subject: &ReadSubject,
    ) -> Option<RequestId> {
        let read = self.reads.get(subject).filter(|read| arrived < read.until)?;
        match &read.state {
            ReadState::Pending => Some(read.id),
            ReadState::Completed(cached) => (arrived <= cached.made_at + fresh_for).then_some(read.id),
            ReadState::Failed => None,
        }
    }

    /// The result of a request, if its run has ended well and its entry is retained.
    pub(super) fn result(&self, id: RequestId) -> Option<CachedRead> {
        match &self.read_of(id)?.state {
            ReadState::Completed(cached) => Some(cached.clone()),
            _ => None,
        }
    }

    fn read_of(&self, id: RequestId) -> Option<&SharedRead> {
        self.subjects.get(&id).and_then(|subject| self.reads.get(subject))
    }
}
