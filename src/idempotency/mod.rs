//! The one owner of the rule that a write runs once: attempts of late, what became of them, and what a further attempt gets.
//! No I/O.
//!
//! An attempt is known from its reading until nothing that was written within its window can still come. It is asked about
//! twice: as a further attempt is read ([`Store::verdict`]), and at the one place where a launch leaves ([`Store::launch`]),
//! whatever was decided in between.
//!
//! | the earlier attempt of the key, in its window | a further one gets |
//! |---|---|
//! | is held, runs, is paused, or is asked of the other process | waits for it |
//! | ended well | its result |
//! | ended otherwise, was halted, or its result is gone | a failure |
//! | belongs to another process and has not ended | a failure |
//! | was turned away before it ran | runs |
//! | has another body | a failure: one key stands for one request |
//!
//! What another process has told of counts from the moment that it took the attempt in. News takes time to cross, and two
//! attempts of one key may reach both processes meanwhile. So while there are two, one decides: the incumbent takes its own in, the
//! successor asks first ([`Accepted::Ask`]) and is told in the order of the news.
//!
//! A full table turns new attempts away; one that may have run is never dropped within its window. Results have a budget of
//! their own: beyond it the oldest goes, and further attempts of it fail.

mod attempt;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use bytes::Bytes;

use crate::interface::Micros;
pub use attempt::{Attempt, Change, Fingerprint, IdempotencyKey, Progress};

/// Attempts known at a time, at most: a minute of writes at the fastest rate that a node has been seen to take.
pub const ATTEMPTS_MAX: usize = 16_384;
/// Bytes of results kept, at most: some two thousand of the largest.
pub const RESULT_BYTES_MAX: usize = 8 << 20;

/// Which of a node's processes this is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Side {
    /// The only one.
    #[default]
    Alone,
    /// The one that serves, with a successor.
    Incumbent,
    /// The one that takes over.
    Successor,
}

/// What an attempt that has been read gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing known keeps it from running.
    New,
    /// It waits for that attempt of this process.
    Wait(String),
    /// It has this result.
    Result(Bytes),
    /// An earlier one may have run, and there is no result to give.
    Failed,
    /// Its key belongs to a request with another body.
    Conflict,
}

impl fmt::Display for Verdict {
    /// The verdict for logs; never a result.
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

/// Whether an attempt may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Accepted {
    /// It is taken in.
    Go,
    /// The incumbent has been asked. Until it has answered nothing may run.
    Ask,
    /// The table is full; nothing is known of it, and nothing may run.
    Full,
}

/// Why a launch may not leave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// That attempt of the same key has run, and this one came within its window.
    Ran(String),
    /// This attempt itself has run.
    Again,
    /// The incumbent has been asked and has not answered.
    Asking,
    /// Nothing is known of it.
    Unknown,
}

impl fmt::Display for Withheld {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Withheld::Ran(name) => write!(f, "request {name} of the same key has run"),
            Withheld::Again => write!(f, "it has run"),
            Withheld::Asking => write!(f, "the other process has not answered"),
            Withheld::Unknown => write!(f, "nothing is known of it"),
        }
    }
}

/// What comes of news from the other process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum Received {
    /// It is noted.
    Noted,
    /// The attempt of that name, which has been asked for, may go on.
    Granted(String),
    /// It may not.
    Taken(String),
}

/// Where an attempt has got to.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Nothing has been started for it.
    Held,
    /// The incumbent has been asked for it.
    Asking,
    /// A run has been started and has not ended; a paused one is one of them.
    Running,
    /// A run ended well; the result, while it is kept.
    Good(Option<Bytes>),
    /// A run ended otherwise.
    Bad,
}

impl State {
    fn ran(&self) -> bool {
        !matches!(self, State::Held | State::Asking)
    }

    fn result_len(&self) -> usize {
        match self {
            State::Good(Some(result)) => result.len(),
            _ => 0,
        }
    }
}

#[derive(Debug)]
struct Entry {
    attempt: Attempt,
    state: State,
    /// Another process told of it.
    inherited: bool,
    /// The other process is not told of it.
    here: bool,
    /// Its place among the results kept.
    result: Option<u64>,
}

impl Entry {
    fn own(attempt: Attempt, state: State) -> Entry {
        Entry { attempt, state, inherited: false, here: false, result: None }
    }

    fn inherited(attempt: Attempt) -> Entry {
        Entry { inherited: true, ..Entry::own(attempt, State::Running) }
    }
}

/// The table of attempts.
#[derive(Debug, Default)]
pub struct Store {
    entries: HashMap<String, Entry>,
    by_key: HashMap<IdempotencyKey, Vec<String>>,
    by_end: BTreeSet<(Micros, String)>,
    /// Whose results are kept, the oldest first.
    results: BTreeMap<u64, String>,
    result_bytes: usize,
    next_result: u64,
    side: Side,
    /// What has changed here since it was last asked for, while somebody wants to know.
    changes: Option<Vec<Change>>,
}

impl Store {
    /// What an attempt that has been read gets.
    #[must_use]
    pub fn verdict(&mut self, now: Micros, attempt: &Attempt) -> Verdict {
        self.sweep(now);
        match self.entries.get(&attempt.name) {
            // Its name has been used before. Only what a key links shares a result.
            Some(e) if e.attempt.key.is_none() || e.attempt.key != attempt.key => Verdict::Failed,
            Some(e) if e.attempt.fingerprint != attempt.fingerprint => Verdict::Conflict,
            Some(Entry { state: State::Good(Some(result)), .. }) => Verdict::Result(result.clone()),
            Some(_) => Verdict::Failed,
            None => self.verdict_by_key(attempt),
        }
    }

    /// What an attempt gets by the others of its key.
    #[must_use]
    pub fn verdict_by_key(&self, attempt: &Attempt) -> Verdict {
        let others = || self.others(attempt);
        if others().any(|e| e.attempt.fingerprint != attempt.fingerprint) {
            return Verdict::Conflict;
        }
        let result = others().find_map(|e| match &e.state {
            State::Good(result) => result.clone(),
            _ => None,
        });
        if let Some(result) = result {
            return Verdict::Result(result);
        }
        if let Some(run) = others().find(|e| e.state == State::Running && !e.inherited) {
            return Verdict::Wait(run.attempt.name.clone());
        }
        if others().any(|e| e.state.ran()) {
            return Verdict::Failed;
        }
        others().last().map_or(Verdict::New, |e| Verdict::Wait(e.attempt.name.clone()))
    }

    /// Other attempts of its key within whose window it was written.
    fn others<'a>(&'a self, attempt: &'a Attempt) -> impl Iterator<Item = &'a Entry> {
        let names = attempt.key.as_ref().and_then(|key| self.by_key.get(key)).into_iter().flatten();
        let others = names.filter(|name| **name != attempt.name).filter_map(|name| self.entries.get(name));
        others.filter(|e| attempt.earliest < e.attempt.window_end)
    }

    /// An attempt has been read that may run, or waits for one that does.
    pub fn accept(&mut self, now: Micros, attempt: Attempt) -> Accepted {
        let ask = self.side == Side::Successor;
        let state = if ask { State::Asking } else { State::Held };
        if !self.make_room(now) {
            return Accepted::Full;
        }
        let name = attempt.name.clone();
        self.insert(Entry::own(attempt.clone(), state));
        match &mut self.changes {
            Some(changes) if ask => {
                changes.push(Change::Asked(attempt));
                Accepted::Ask
            }
            _ => {
                self.note(&name);
                Accepted::Go
            }
        }
    }

    /// The same for an attempt whose name no other process can tell from its own: the other process is not told of it.
    pub fn accept_here(&mut self, now: Micros, attempt: Attempt) -> Accepted {
        if !self.make_room(now) {
            return Accepted::Full;
        }
        self.insert(Entry { here: true, ..Entry::own(attempt, State::Held) });
        Accepted::Go
    }

    fn make_room(&mut self, now: Micros) -> bool {
        self.sweep(now);
        self.entries.len() < ATTEMPTS_MAX
    }

    /// The one gate of launches: from here on its run counts as started.
    ///
    /// # Errors
    /// Why the launch may not leave. Nothing has changed then.
    pub fn launch(&mut self, name: &str) -> Result<(), Withheld> {
        let entry = self.entries.get(name).filter(|e| !e.inherited).ok_or(Withheld::Unknown)?;
        match entry.state {
            State::Held => {}
            State::Asking => return Err(Withheld::Asking),
            _ => return Err(Withheld::Again),
        }
        if let Some(other) = self.others(&entry.attempt).find(|e| e.state.ran()) {
            return Err(Withheld::Ran(other.attempt.name.clone()));
        }
        self.set_state(name, State::Running);
        Ok(())
    }

    /// Its run is over; `result` where it went well.
    pub fn ended(&mut self, name: &str, result: Option<&Bytes>) {
        let Some(e) = self.entries.get(name).filter(|e| !e.inherited) else { return };
        // A result is of use only where a further attempt can be told by its key.
        let state = match result {
            Some(result) => State::Good(e.attempt.key.is_some().then(|| result.clone())),
            None => State::Bad,
        };
        self.set_state(name, state);
        self.note(name);
    }

    /// Nothing was started for it, whatever was asked.
    pub fn never_ran(&mut self, name: &str) {
        if self.entries.get(name).is_some_and(|e| !e.inherited) {
            self.set_state(name, State::Held);
        }
    }

    /// It is answered, and nothing goes on for it: if nothing ever did, a further attempt may run. A run that is not over by
    /// then, as it was paused, never will be.
    pub fn settled(&mut self, name: &str) {
        let Some(e) = self.entries.get(name).filter(|e| !e.inherited) else { return };
        if e.state == State::Running {
            return self.ended(name, None);
        }
        if e.state.ran() {
            return;
        }
        let told = !e.here;
        self.remove(name);
        if told && let Some(changes) = &mut self.changes {
            changes.push(Change::Forgotten { name: name.to_owned() });
        }
    }

    /// A class's window is this long from now on, for what is known already too, unless it was longer.
    pub fn extend_windows(&mut self, window: impl Fn(&str) -> Option<Micros>) {
        let longer = |e: &Entry| {
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

    // ---- two processes ----

    /// All that is known and not over, and from now on each change is kept for [`Store::changes`].
    pub fn share(&mut self, now: Micros, side: Side) -> Vec<Change> {
        self.sweep(now);
        self.side = side;
        self.changes = Some(Vec::new());
        self.entries.keys().filter_map(|name| self.known(name)).collect()
    }

    /// The other process is gone: what it has told counts, and nobody wants to know of changes any more. Gives the names of
    /// attempts that it was still asked for, which nobody but this one can run now.
    pub fn part(&mut self) -> Vec<String> {
        (self.side, self.changes) = (Side::Alone, None);
        let mut asked = Vec::new();
        for (name, e) in &mut self.entries {
            if e.state == State::Asking {
                e.state = State::Held;
                asked.push(name.clone());
            }
        }
        asked
    }

    /// What has changed since this was last asked.
    pub fn changes(&mut self) -> Vec<Change> {
        self.changes.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Another process tells of an attempt. What this one took in itself it knows better.
    pub fn receive(&mut self, now: Micros, change: Change) -> Received {
        self.sweep(now);
        match change {
            Change::Known(attempt, progress) => self.inherit(attempt, progress),
            Change::Forgotten { name } => {
                if self.entries.get(&name).is_some_and(|e| e.inherited) {
                    self.remove(&name);
                }
            }
            Change::Asked(attempt) => self.asked(attempt),
            Change::Granted { name } => {
                if self.entries.get(&name).is_some_and(|e| e.state == State::Asking) {
                    self.set_state(&name, State::Held);
                    return Received::Granted(name);
                }
            }
            Change::Taken { name } => {
                if self.entries.get(&name).is_some_and(|e| e.state == State::Asking) {
                    self.remove(&name);
                    return Received::Taken(name);
                }
            }
        }
        Received::Noted
    }

    fn inherit(&mut self, attempt: Attempt, progress: Progress) {
        if self.entries.get(&attempt.name).is_some_and(|e| !e.inherited) {
            return;
        }
        let state = match progress {
            Progress::Open => State::Running,
            Progress::Good(result) => State::Good(attempt.key.is_some().then_some(result)),
            Progress::Bad => State::Bad,
        };
        let name = attempt.name.clone();
        self.insert(Entry::inherited(attempt));
        self.set_state(&name, state);
    }

    /// The successor asks for an attempt. The answer stands behind all news of what was taken in before, so that whoever asked
    /// knows what it repeats.
    fn asked(&mut self, attempt: Attempt) {
        let mine = self.others(&attempt).any(|e| !e.inherited);
        let name = attempt.name.clone();
        let answer = if mine || self.entries.contains_key(&name) {
            Change::Taken { name }
        } else {
            self.insert(Entry::inherited(attempt));
            Change::Granted { name }
        };
        if let Some(changes) = &mut self.changes {
            changes.push(answer);
        }
    }

    // ---- the table ----

    /// Attempts known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of results kept.
    #[must_use]
    pub fn result_bytes(&self) -> usize {
        self.result_bytes
    }

    fn known(&self, name: &str) -> Option<Change> {
        let e = self.entries.get(name).filter(|e| !e.here)?;
        let progress = match &e.state {
            State::Held | State::Asking | State::Running => Progress::Open,
            State::Good(Some(result)) => Progress::Good(result.clone()),
            State::Good(None) if e.attempt.key.is_none() => Progress::Good(Bytes::new()),
            State::Good(None) | State::Bad => Progress::Bad,
        };
        Some(Change::Known(e.attempt.clone(), progress))
    }

    fn note(&mut self, name: &str) {
        if self.changes.is_none() {
            return;
        }
        let change = self.known(name);
        if let Some(changes) = &mut self.changes {
            changes.extend(change);
        }
    }

    fn set_state(&mut self, name: &str, state: State) {
        let Some(e) = self.entries.get_mut(name) else { return };
        if let Some(place) = e.result.take() {
            self.results.remove(&place);
            self.result_bytes -= e.state.result_len();
        }
        e.state = state;
        if e.state.result_len() > 0 {
            self.next_result += 1;
            e.result = Some(self.next_result);
            self.result_bytes += e.state.result_len();
            self.results.insert(self.next_result, name.to_owned());
        }
        self.bound_results();
    }

    fn bound_results(&mut self) {
        while self.result_bytes > RESULT_BYTES_MAX
            && let Some((_, oldest)) = self.results.first_key_value()
        {
            let oldest = oldest.clone();
            self.set_state(&oldest, State::Good(None));
        }
    }

    fn insert(&mut self, entry: Entry) {
        let name = entry.attempt.name.clone();
        self.remove(&name);
        self.by_end.insert((entry.attempt.keep_until, name.clone()));
        if let Some(key) = &entry.attempt.key {
            self.by_key.entry(key.clone()).or_default().push(name.clone());
        }
        self.entries.insert(name, entry);
    }

    fn remove(&mut self, name: &str) {
        self.set_state(name, State::Bad);
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

    fn sweep(&mut self, now: Micros) {
        while let Some((_, name)) = self.by_end.first().filter(|e| e.0 <= now).cloned() {
            self.remove(&name);
        }
    }
}

#[cfg(test)]
mod tests;
