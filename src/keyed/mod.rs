//! Writes that were taken in lately, and what became of them: what a repeat of one is told, here or in a process that takes
//! over. No I/O.
//!
//! It guards against one thing: a write that runs twice. A write is known by its name, and where its class links its
//! tries by their key too. What another process has told of counts from the moment that it took the write in: whether it
//! runs it is not for this one to know in time, so a repeat fails here, which promises nothing.
//!
//! News takes time to cross, and two tries of one key may reach both processes meanwhile. So while there are two, one of
//! them decides: the holder takes its own in, the heir asks first ([`Taking::Ask`]) and is told in the order of the news.

use std::collections::{BTreeSet, HashMap};

use bytes::Bytes;

use crate::interface::Micros;

/// Writes known at a time, at most: a minute of them at the fastest rate that a node has been seen to take. Beyond that the
/// one whose time ends first goes.
pub const WRITES_MAX: usize = 16_384;

/// What links the tries of a write: its class's name and its key. Not the class's number, which a reload may change.
pub type Subject = (String, String);

/// Where a write has got to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// It is held, or it runs.
    Open,
    /// It ended well, with this result.
    Good(Bytes),
    /// It ended otherwise, and may have had its effect.
    Bad,
}

/// What crosses to another process about one write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was taken in, or has got further.
    Known {
        /// Its name.
        name: String,
        /// What links its tries.
        subject: Option<Subject>,
        /// A repeat that comes until then may be one of it.
        until: Micros,
        /// Where it has got to.
        work: Work,
    },
    /// It never ran, and will not.
    Forgotten {
        /// Its name.
        name: String,
    },
    /// The heir has read a write that a key links: may it be taken in?
    Asked {
        /// Its name.
        name: String,
        /// What links its tries.
        subject: Subject,
        /// A repeat that comes until then may be one of it.
        until: Micros,
    },
    /// The holder's answer: it may.
    Granted {
        /// Its name.
        name: String,
    },
    /// The holder's answer: the holder has another try of it, of which it has told.
    Taken {
        /// Its name.
        name: String,
    },
}

/// Which of a node's processes this is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Side {
    /// The only one.
    #[default]
    Alone,
    /// The one that serves, with an heir.
    Holder,
    /// The one that takes over.
    Heir,
}

/// Whether a write may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Taking {
    /// It is taken in.
    Go,
    /// The holder has been asked. Until it has answered nothing may run.
    Ask,
}

/// What comes of news from the other process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum Heard {
    /// It is noted.
    Noted,
    /// The write of that name, which has been asked for, may go on.
    Granted(String),
    /// It may not: [`Writes::told`] says what it repeats.
    Taken(String),
}

#[derive(Debug)]
struct Entry {
    subject: Option<Subject>,
    until: Micros,
    work: Work,
    ran: bool,
    /// Another process told of it.
    inherited: bool,
    /// The holder has been asked for it.
    asking: bool,
}

impl Entry {
    fn new(subject: Option<Subject>, until: Micros) -> Entry {
        Entry { subject, until, work: Work::Open, ran: false, inherited: false, asking: false }
    }
}

/// The table of writes.
#[derive(Debug, Default)]
pub struct Writes {
    entries: HashMap<String, Entry>,
    /// All tries of a subject that another process told of, and that this one took in itself: one that is turned away
    /// unrun must not hide an earlier one that ran.
    inherited: HashMap<Subject, Vec<String>>,
    own: HashMap<Subject, Vec<String>>,
    side: Side,
    by_end: BTreeSet<(Micros, String)>,
    /// What has changed here since it was last asked for, while somebody wants to know.
    changes: Option<Vec<Change>>,
}

impl Writes {
    /// A write has been read that repeats nothing known ([`Writes::past`]).
    pub fn take(&mut self, now: Micros, name: &str, subject: Option<Subject>, until: Micros) -> Taking {
        self.sweep(now);
        let ask = subject.clone().filter(|_| self.side == Side::Heir);
        self.insert(name, Entry { asking: ask.is_some(), ..Entry::new(subject, until) });
        match (ask, &mut self.changes) {
            (Some(subject), Some(changes)) => {
                changes.push(Change::Asked { name: name.to_owned(), subject, until });
                Taking::Ask
            }
            _ => {
                self.note(name);
                Taking::Go
            }
        }
    }

    /// Its run has been started.
    pub fn started(&mut self, name: &str) {
        if let Some(e) = self.entries.get_mut(name) {
            e.ran = true;
        }
    }

    /// Its run is over; `result` where it went well.
    pub fn ended(&mut self, name: &str, result: Option<&Bytes>) {
        let Some(e) = self.entries.get_mut(name).filter(|e| !e.inherited) else { return };
        // A result is of use only where a repeat can be told by its key.
        let kept = result.map(|r| if e.subject.is_some() { r.clone() } else { Bytes::new() });
        e.work = kept.map_or(Work::Bad, Work::Good);
        self.note(name);
    }

    /// Nothing was started for it, whatever was asked.
    pub fn never_ran(&mut self, name: &str) {
        if let Some(e) = self.entries.get_mut(name) {
            e.ran = false;
        }
    }

    /// It is answered, and nothing runs for it: if nothing ever did, a repeat may.
    pub fn settled(&mut self, name: &str) {
        if self.entries.get(name).is_some_and(|e| !e.ran && !e.inherited) {
            self.remove(name);
            if let Some(changes) = &mut self.changes {
                changes.push(Change::Forgotten { name: name.to_owned() });
            }
        }
    }

    /// What a write of this name and subject repeats, if anything that is over here or was told of by another process.
    /// A repeat by key of a write of this process is the table of kept keys' to link. By key it is one as far as `end`, the
    /// time to which it would be known itself, less its window: one that arrived behind the window is another write.
    pub fn past(&self, now: Micros, end: Micros, name: &str, subject: Option<&Subject>) -> Option<&Work> {
        let by_name = self.entries.get(name).filter(|e| e.until > now).map(|e| &e.work);
        by_name.or_else(|| self.told(end.max(now), subject?))
    }

    /// Where the tries of a subject that another process told of have got to, of those that are known beyond that time: to a
    /// result, if one of them has.
    pub fn told(&self, end: Micros, subject: &Subject) -> Option<&Work> {
        let works = || self.tries(end, self.inherited.get(subject)).map(|e| &e.work);
        works().find(|w| matches!(w, Work::Good(_))).or_else(|| works().last())
    }

    fn tries(&self, now: Micros, names: Option<&Vec<String>>) -> impl Iterator<Item = &Entry> {
        let all = names.into_iter().flatten().filter_map(|name| self.entries.get(name));
        all.filter(move |e| e.until > now)
    }

    /// All that is known and not over, and from now on each change is kept for [`Writes::changes`].
    pub fn share(&mut self, now: Micros, side: Side) -> Vec<Change> {
        self.sweep(now);
        self.side = side;
        self.changes = Some(Vec::new());
        self.entries.keys().filter_map(|name| self.known(name)).collect()
    }

    /// The other process is gone: what it has told counts, and nobody wants to know of changes any more. Gives the
    /// names of writes that it was still asked for, which nobody but this one can run now.
    pub fn part(&mut self) -> Vec<String> {
        (self.side, self.changes) = (Side::Alone, None);
        let asked = |(name, e): (&String, &mut Entry)| std::mem::take(&mut e.asking).then(|| name.clone());
        self.entries.iter_mut().filter_map(asked).collect()
    }

    /// What has changed since this was last asked.
    pub fn changes(&mut self) -> Vec<Change> {
        self.changes.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Another process tells of a write. What this one took in itself it knows better.
    pub fn hear(&mut self, now: Micros, change: Change) -> Heard {
        self.sweep(now);
        match change {
            Change::Known { name, subject, until, work } => {
                if self.entries.get(&name).is_none_or(|e| e.inherited) {
                    self.insert(
                        &name,
                        Entry { ran: true, inherited: true, work, ..Entry::new(subject, until) },
                    );
                }
            }
            Change::Forgotten { name } => {
                if self.entries.get(&name).is_some_and(|e| e.inherited) {
                    self.remove(&name);
                }
            }
            Change::Asked { name, subject, until } => {
                let mine = self.tries(now, self.own.get(&subject)).next().is_some();
                let taken = mine || self.entries.contains_key(&name);
                let answer = if taken {
                    Change::Taken { name }
                } else {
                    let entry = Entry { ran: true, inherited: true, ..Entry::new(Some(subject), until) };
                    self.insert(&name, entry);
                    Change::Granted { name }
                };
                // Behind all news of what it took in before, so that whoever asked knows what it repeats.
                if let Some(changes) = &mut self.changes {
                    changes.push(answer);
                }
            }
            Change::Granted { name } => {
                if let Some(e) = self.entries.get_mut(&name).filter(|e| e.asking) {
                    e.asking = false;
                    return Heard::Granted(name);
                }
            }
            Change::Taken { name } => {
                if self.entries.get(&name).is_some_and(|e| e.asking) {
                    self.remove(&name);
                    return Heard::Taken(name);
                }
            }
        }
        Heard::Noted
    }

    /// Writes known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn known(&self, name: &str) -> Option<Change> {
        let e = self.entries.get(name)?;
        let (subject, until, work) = (e.subject.clone(), e.until, e.work.clone());
        Some(Change::Known { name: name.to_owned(), subject, until, work })
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

    fn insert(&mut self, name: &str, entry: Entry) {
        self.remove(name);
        while self.entries.len() >= WRITES_MAX
            && let Some((_, eldest)) = self.by_end.first().cloned()
        {
            self.remove(&eldest);
        }
        self.by_end.insert((entry.until, name.to_owned()));
        if let Some(s) = entry.subject.clone() {
            let tries = if entry.inherited { &mut self.inherited } else { &mut self.own };
            tries.entry(s).or_default().push(name.to_owned());
        }
        self.entries.insert(name.to_owned(), entry);
    }

    fn remove(&mut self, name: &str) {
        let Some(e) = self.entries.remove(name) else { return };
        self.by_end.remove(&(e.until, name.to_owned()));
        let tries = if e.inherited { &mut self.inherited } else { &mut self.own };
        if let Some(s) = e.subject
            && let Some(names) = tries.get_mut(&s)
        {
            names.retain(|n| n != name);
            if names.is_empty() {
                tries.remove(&s);
            }
        }
    }

    fn sweep(&mut self, now: Micros) {
        while let Some((until, name)) = self.by_end.first().filter(|e| e.0 <= now).cloned() {
            debug_assert!(until <= now);
            self.remove(&name);
        }
    }
}

#[cfg(test)]
mod tests;
