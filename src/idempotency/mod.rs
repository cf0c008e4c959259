//! The idempotency store: makes sure that a write with a key runs at most once within its window.
//!
//! The store remembers recent attempts and their outcomes, and decides what a further attempt of the same key gets. It
//! does no I/O.
//!
//! An attempt is remembered from the time it is read until every attempt sent within its window has passed its
//! deadline. The rule is checked twice: when a further attempt is read ([`IdempotencyStore::verdict`]), and again
//! immediately before a launch ([`IdempotencyStore::launch`]), regardless of what was decided in between.
//!
//! | the earlier attempt of the key, within its window | a further attempt |
//! |---|---|
//! | is queued, running or paused, or awaits the incumbent's answer | waits for it |
//! | succeeded | gets its result |
//! | failed, was halted, or its result is no longer stored | fails |
//! | belongs to the other process and has not ended | fails |
//! | was refused before it ran | runs |
//! | has another body | fails, because one key stands for one request |
//!
//! During a hot restart two processes share what they know. An attempt of the other process counts as running from the
//! time that process accepted it. Messages take time to arrive, and attempts of one key may reach both processes in the
//! meantime. The incumbent therefore decides for both: it accepts its own attempts, and the successor asks first
//! ([`Accepted::AwaitsIncumbent`]). The answer follows all earlier messages about attempts.
//!
//! A full table refuses new attempts; an attempt that may have run is never dropped within its window. Results have a
//! separate byte budget: when it is exceeded, the oldest results are dropped, and further attempts of their keys fail.

mod attempt;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use bytes::Bytes;

use crate::interface::Micros;
pub use attempt::{Attempt, Change, Fingerprint, IdempotencyKey, Progress};

/// Most attempts stored at a time: one minute of writes at the highest rate observed on one node.
pub const ATTEMPTS_MAX: usize = 16_384;
/// Most bytes of stored results: room for about two thousand of the largest.
pub const RESULT_BYTES_MAX: usize = 8 << 20;

/// The role of this process in a hot restart of its node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HandoverRole {
    /// No hot restart is in progress.
    #[default]
    Alone,
    /// The process that serves and has a successor.
    Incumbent,
    /// The process that takes over.
    Successor,
}

/// How an attempt that has been read proceeds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No stored attempt prevents it from running.
    New,
    /// It waits for the named attempt, which this process has.
    Wait(String),
    /// An earlier attempt succeeded; it gets that result.
    Result(Bytes),
    /// It fails: an earlier attempt may have run, and no result is available.
    Failed,
    /// It fails: its key belongs to a request with another body.
    Conflict,
}

impl fmt::Display for Verdict {
    /// The verdict as logged. Contents of results are never logged.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verdict::New => write!(f, "new"),
            Verdict::Wait(name) => write!(f, "waits for request {name}"),
            Verdict::Result(result) => write!(f, "has a result of {} bytes", result.len()),
            Verdict::Failed => write!(f, "an earlier attempt may have run"),
            Verdict::Conflict => write!(f, "its key belongs to another body"),
        }
    }
}

/// Whether an attempt may proceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Accepted {
    /// It is stored and may proceed.
    MayProceed,
    /// The incumbent has been asked. The attempt must not run before the incumbent allows it.
    AwaitsIncumbent,
    /// The table is full: the attempt has not been stored and must not run.
    Full,
}

/// Why a launch is withheld.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LaunchWithheld {
    /// The named attempt of the same key has run, and this one was sent within its window.
    OtherAttemptRan(String),
    /// This attempt itself has run already.
    AlreadyRan,
    /// The incumbent has been asked about this attempt and has not answered.
    AwaitingIncumbent,
    /// This process has not accepted an attempt of this name.
    Unknown,
}

impl fmt::Display for LaunchWithheld {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LaunchWithheld::OtherAttemptRan(name) => write!(f, "request {name} of the same key has run"),
            LaunchWithheld::AlreadyRan => write!(f, "it has run already"),
            LaunchWithheld::AwaitingIncumbent => write!(f, "the other process has not answered"),
            LaunchWithheld::Unknown => write!(f, "this process has not accepted it"),
        }
    }
}

/// What the caller must do about a message from the other process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum ChangeOutcome {
    /// Nothing; the message has been recorded.
    Recorded,
    /// The incumbent allows the named attempt, which may now proceed.
    Granted(String),
    /// The incumbent refuses the named attempt; the store no longer has it.
    Taken(String),
}

/// How far an attempt has progressed.
#[derive(Clone, Debug, PartialEq, Eq)]
enum AttemptState {
    /// No run has been started for it.
    Queued,
    /// The incumbent has been asked about it and has not answered.
    AwaitingIncumbent,
    /// A run has been started and has not ended. It may be paused.
    Running,
    /// Its run succeeded; holds the result while that is stored.
    Good(Option<Bytes>),
    /// Its run failed and may have had its effect.
    Bad,
}

impl AttemptState {
    /// Whether a run has been started.
    fn ran(&self) -> bool {
        !matches!(self, AttemptState::Queued | AttemptState::AwaitingIncumbent)
    }

    fn result_len(&self) -> usize {
        match self {
            AttemptState::Good(Some(result)) => result.len(),
            _ => 0,
        }
    }
}

#[derive(Debug)]
struct AttemptRecord {
    attempt: Attempt,
    state: AttemptState,
    /// Whether the other process reported it. This process never launches such an attempt.
    inherited: bool,
    /// Whether it is kept from the other process.
    local_only: bool,
    /// Its position in `IdempotencyStore::results`, if its result is stored.
    result_position: Option<u64>,
}

impl AttemptRecord {
    fn own(attempt: Attempt, state: AttemptState) -> AttemptRecord {
        AttemptRecord { attempt, state, inherited: false, local_only: false, result_position: None }
    }

    fn inherited(attempt: Attempt) -> AttemptRecord {
        AttemptRecord { inherited: true, ..AttemptRecord::own(attempt, AttemptState::Running) }
    }
}

/// The table of recent attempts of writes.
#[derive(Debug, Default)]
pub struct IdempotencyStore {
    entries: HashMap<String, AttemptRecord>,
    by_key: HashMap<IdempotencyKey, Vec<String>>,
    by_end: BTreeSet<(Micros, String)>,
    /// Names of the attempts whose results are stored, oldest first.
    results: BTreeMap<u64, String>,
    result_bytes: usize,
    latest_result_position: u64,
    role: HandoverRole,
    /// Messages for the other process since [`IdempotencyStore::take_changes`] last returned them; `None` while there
    /// is no other process.
    changes: Option<Vec<Change>>,
}

impl IdempotencyStore {
    /// Decides how an attempt that has just been read proceeds.
    #[must_use]
    pub fn verdict(&mut self, now: Micros, attempt: &Attempt) -> Verdict {
        self.remove_expired(now);
        match self.entries.get(&attempt.name) {
            // The same name again: only an attempt with the same key may share the result.
            Some(e) if e.attempt.key.is_none() || e.attempt.key != attempt.key => Verdict::Failed,
            Some(e) if e.attempt.fingerprint != attempt.fingerprint => Verdict::Conflict,
            Some(AttemptRecord { state: AttemptState::Good(Some(result)), .. }) => {
                Verdict::Result(result.clone())
            }
            Some(_) => Verdict::Failed,
            None => self.verdict_by_key(attempt),
        }
    }

    /// Decides how an attempt proceeds, from the other stored attempts of its key alone.
    #[must_use]
    pub fn verdict_by_key(&self, attempt: &Attempt) -> Verdict {
        let others = || self.other_attempts(attempt);
        if others().any(|e| e.attempt.fingerprint != attempt.fingerprint) {
            return Verdict::Conflict;
        }
        let result = others().find_map(|e| match &e.state {
            AttemptState::Good(result) => result.clone(),
            _ => None,
        });
        if let Some(result) = result {
            return Verdict::Result(result);
        }
        if let Some(run) = others().find(|e| e.state == AttemptState::Running && !e.inherited) {
            return Verdict::Wait(run.attempt.name.clone());
        }
        if others().any(|e| e.state.ran()) {
            return Verdict::Failed;
        }
        others().last().map_or(Verdict::New, |e| Verdict::Wait(e.attempt.name.clone()))
    }

    /// Stored attempts of the same key within whose windows this attempt was sent.
    fn other_attempts<'a>(&'a self, attempt: &'a Attempt) -> impl Iterator<Item = &'a AttemptRecord> {
        let names = attempt.key.as_ref().and_then(|key| self.by_key.get(key)).into_iter().flatten();
        let others = names.filter(|name| **name != attempt.name).filter_map(|name| self.entries.get(name));
        others.filter(|e| attempt.earliest < e.attempt.window_end)
    }

    /// Stores an attempt that may run, or that waits for an attempt that may run.
    pub fn accept(&mut self, now: Micros, attempt: Attempt) -> Accepted {
        let must_ask = self.role == HandoverRole::Successor;
        let state = if must_ask { AttemptState::AwaitingIncumbent } else { AttemptState::Queued };
        if !self.has_room(now) {
            return Accepted::Full;
        }
        let name = attempt.name.clone();
        self.insert(AttemptRecord::own(attempt.clone(), state));
        match &mut self.changes {
            Some(changes) if must_ask => {
                changes.push(Change::Asked(attempt));
                Accepted::AwaitsIncumbent
            }
            _ => {
                self.queue_change(&name);
                Accepted::MayProceed
            }
        }
    }

    /// Like [`IdempotencyStore::accept`], for an attempt whose name may also be the name of an attempt in the other
    /// process. The other process receives no messages about it.
    pub fn accept_unshared(&mut self, now: Micros, attempt: Attempt) -> Accepted {
        if !self.has_room(now) {
            return Accepted::Full;
        }
        self.insert(AttemptRecord { local_only: true, ..AttemptRecord::own(attempt, AttemptState::Queued) });
        Accepted::MayProceed
    }

    /// Removes expired attempts, and returns whether another one fits.
    fn has_room(&mut self, now: Micros) -> bool {
        self.remove_expired(now);
        self.entries.len() < ATTEMPTS_MAX
    }

    /// Records the launch of an attempt's run. Every launch must pass this check.
    ///
    /// # Errors
    /// The reason why the attempt must not be launched. The store is unchanged then.
    pub fn launch(&mut self, name: &str) -> Result<(), LaunchWithheld> {
        let entry = self.entries.get(name).filter(|e| !e.inherited).ok_or(LaunchWithheld::Unknown)?;
        match entry.state {
            AttemptState::Queued => {}
            AttemptState::AwaitingIncumbent => return Err(LaunchWithheld::AwaitingIncumbent),
            _ => return Err(LaunchWithheld::AlreadyRan),
        }
        if let Some(other) = self.other_attempts(&entry.attempt).find(|e| e.state.ran()) {
            return Err(LaunchWithheld::OtherAttemptRan(other.attempt.name.clone()));
        }
        self.set_state(name, AttemptState::Running);
        Ok(())
    }

    /// Records the end of an attempt's run; `result` is `None` if the run failed.
    pub fn ended(&mut self, name: &str, result: Option<&Bytes>) {
        let Some(e) = self.entries.get(name).filter(|e| !e.inherited) else { return };
        // A result without a key is not stored: only a key links further attempts to it.
        let state = match result {
            Some(result) => AttemptState::Good(e.attempt.key.is_some().then(|| result.clone())),
            None => AttemptState::Bad,
        };
        self.set_state(name, state);
        self.queue_change(name);
    }

    /// Records that a launched run was never started, so that the attempt may be launched again.
    pub fn never_ran(&mut self, name: &str) {
        if self.entries.get(name).is_some_and(|e| !e.inherited) {
            self.set_state(name, AttemptState::Queued);
        }
    }

    /// Records that the attempt has been answered and no work continues for it. An attempt that never ran is forgotten,
    /// so that a further one may run. A run that has not ended by now was paused and will never end; it counts as
    /// failed.
    pub fn settled(&mut self, name: &str) {
        let Some(e) = self.entries.get(name).filter(|e| !e.inherited) else { return };
        if e.state == AttemptState::Running {
            return self.ended(name, None);
        }
        if e.state.ran() {
            return;
        }
        let is_shared = !e.local_only;
        self.remove(name);
        if is_shared && let Some(changes) = &mut self.changes {
            changes.push(Change::Forgotten { name: name.to_owned() });
        }
    }

    /// Extends the windows of stored attempts to the length that `window` gives for their class. Windows are never
    /// shortened.
    pub fn extend_windows(&mut self, window: impl Fn(&str) -> Option<Micros>) {
        let longer = |e: &AttemptRecord| {
            let window = window(&e.attempt.key.as_ref()?.class)?;
            let more = (e.attempt.earliest + window) - e.attempt.window_end;
            (more.0 > 0).then(|| (e.attempt.name.clone(), more))
        };
        let longer: Vec<(String, Micros)> = self.entries.values().filter_map(longer).collect();
        for (name, more) in longer {
            let Some(e) = self.entries.get_mut(&name) else { continue };
            self.by_end.remove(&(e.attempt.keep_until, name.clone()));
            e.attempt.window_end = e.attempt.window_end + more;
            e.attempt.keep_until = e.attempt.keep_until + more;
            self.by_end.insert((e.attempt.keep_until, name));
        }
    }

    // ---- hot restart with two processes ----

    /// Starts a hot restart in the given role. Returns messages about all stored attempts; later changes are collected
    /// for [`IdempotencyStore::take_changes`].
    pub fn start_sharing(&mut self, now: Micros, role: HandoverRole) -> Vec<Change> {
        self.remove_expired(now);
        self.role = role;
        self.changes = Some(Vec::new());
        self.entries.keys().filter_map(|name| self.change_for(name)).collect()
    }

    /// Ends the hot restart, because the other process has exited. What it reported still counts. Returns the names of
    /// attempts that still awaited its answer; this process may run them now.
    pub fn end_sharing(&mut self) -> Vec<String> {
        (self.role, self.changes) = (HandoverRole::Alone, None);
        let mut unanswered = Vec::new();
        for (name, e) in &mut self.entries {
            if e.state == AttemptState::AwaitingIncumbent {
                e.state = AttemptState::Queued;
                unanswered.push(name.clone());
            }
        }
        unanswered
    }

    /// Takes the messages for the other process that have been collected since the previous call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.changes.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Handles a message from the other process. It never changes an attempt that this process accepted itself, except
    /// for one that awaits the incumbent's answer.
    pub fn receive(&mut self, now: Micros, change: Change) -> ChangeOutcome {
        self.remove_expired(now);
        match change {
            Change::Known(attempt, progress) => self.record_inherited(attempt, progress),
            Change::Forgotten { name } => {
                if self.entries.get(&name).is_some_and(|e| e.inherited) {
                    self.remove(&name);
                }
            }
            Change::Asked(attempt) => self.answer_successor(attempt),
            Change::Granted { name } => {
                if self.entries.get(&name).is_some_and(|e| e.state == AttemptState::AwaitingIncumbent) {
                    self.set_state(&name, AttemptState::Queued);
                    return ChangeOutcome::Granted(name);
                }
            }
            Change::Taken { name } => {
                if self.entries.get(&name).is_some_and(|e| e.state == AttemptState::AwaitingIncumbent) {
                    self.remove(&name);
                    return ChangeOutcome::Taken(name);
                }
            }
        }
        ChangeOutcome::Recorded
    }

    fn record_inherited(&mut self, attempt: Attempt, progress: Progress) {
        if self.entries.get(&attempt.name).is_some_and(|e| !e.inherited) {
            return;
        }
        let state = match progress {
            Progress::Open => AttemptState::Running,
            Progress::Good(result) => AttemptState::Good(attempt.key.is_some().then_some(result)),
            Progress::Bad => AttemptState::Bad,
        };
        let name = attempt.name.clone();
        self.insert(AttemptRecord::inherited(attempt));
        self.set_state(&name, state);
    }

    /// Answers the successor's question about an attempt. The answer is queued after the messages about all attempts
    /// accepted before, so that a refused successor already knows the attempt that its own one repeats.
    fn answer_successor(&mut self, attempt: Attempt) {
        let has_own_attempt = self.other_attempts(&attempt).any(|e| !e.inherited);
        let name = attempt.name.clone();
        let answer = if has_own_attempt || self.entries.contains_key(&name) {
            Change::Taken { name }
        } else {
            self.insert(AttemptRecord::inherited(attempt));
            Change::Granted { name }
        };
        if let Some(changes) = &mut self.changes {
            changes.push(answer);
        }
    }

    // ---- the table of attempts ----

    /// Number of stored attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no attempt is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of stored results.
    #[must_use]
    pub fn result_bytes(&self) -> usize {
        self.result_bytes
    }

    /// The message that describes a stored attempt to the other process; `None` if it is kept from that process.
    fn change_for(&self, name: &str) -> Option<Change> {
        let e = self.entries.get(name).filter(|e| !e.local_only)?;
        let progress = match &e.state {
            AttemptState::Queued | AttemptState::AwaitingIncumbent | AttemptState::Running => Progress::Open,
            AttemptState::Good(Some(result)) => Progress::Good(result.clone()),
            AttemptState::Good(None) if e.attempt.key.is_none() => Progress::Good(Bytes::new()),
            AttemptState::Good(None) | AttemptState::Bad => Progress::Bad,
        };
        Some(Change::Known(e.attempt.clone(), progress))
    }

    /// Queues a message about an attempt if there is another process.
    fn queue_change(&mut self, name: &str) {
        if self.changes.is_none() {
            return;
        }
        let change = self.change_for(name);
        if let Some(changes) = &mut self.changes {
            changes.extend(change);
        }
    }

    fn set_state(&mut self, name: &str, state: AttemptState) {
        let Some(e) = self.entries.get_mut(name) else { return };
        if let Some(position) = e.result_position.take() {
            self.results.remove(&position);
            self.result_bytes -= e.state.result_len();
        }
        e.state = state;
        if e.state.result_len() > 0 {
            self.latest_result_position += 1;
            e.result_position = Some(self.latest_result_position);
            self.result_bytes += e.state.result_len();
            self.results.insert(self.latest_result_position, name.to_owned());
        }
        self.enforce_result_budget();
    }

    /// Drops the oldest results while the byte budget is exceeded.
    fn enforce_result_budget(&mut self) {
        while self.result_bytes > RESULT_BYTES_MAX
            && let Some((_, oldest)) = self.results.first_key_value()
        {
            let oldest = oldest.clone();
            self.set_state(&oldest, AttemptState::Good(None));
        }
    }

    fn insert(&mut self, entry: AttemptRecord) {
        let name = entry.attempt.name.clone();
        self.remove(&name);
        self.by_end.insert((entry.attempt.keep_until, name.clone()));
        if let Some(key) = &entry.attempt.key {
            self.by_key.entry(key.clone()).or_default().push(name.clone());
        }
        self.entries.insert(name, entry);
    }

    fn remove(&mut self, name: &str) {
        self.set_state(name, AttemptState::Bad);
        let Some(e) = self.entries.remove(name) else { return };
        self.by_end.remove(&(e.attempt.keep_until, name.to_owned()));
        if let Some(key) = e.attempt.key
            && let Some(names) = self.by_key.get_mut(&key)
        {
            names.retain(|n| n != name);
            if names.is_empty() {
                self.by_key.remove(&key);
            }
        }
    }

    /// Removes the attempts that need not be remembered any longer.
    fn remove_expired(&mut self, now: Micros) {
        while let Some((_, name)) = self.by_end.first().filter(|e| e.0 <= now).cloned() {
            self.remove(&name);
        }
    }
}

#[cfg(test)]
mod tests;
