//! Whether a version spreads further: a few nodes go first, and the others follow once these have lived with it for a while.
//!
//! What it guards against: a change that can be applied, and that nodes can't work with or die of, in force on all of them
//! within seconds. It holds such a version back; those that have it already go on with it until a later one, as nothing
//! leads back. It is free of I/O, told the time, and kept by whoever tells nodes what is agreed; one that begins anew tries
//! the newest version once more.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

use super::Revision;
use crate::interface::Micros;

/// Versions of a first node that are on trial at a time; what comes beyond is tried with a later one.
const HAD_MAX: usize = 64;
/// Most nodes that are known; more are not told apart from those that are not first.
const NODES_MAX: usize = 16_384;

/// How a guard tries a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Nodes that go first, at most; never more than a quarter of those that are there, and one at least.
    pub first: usize,
    /// A first node is good once it has had the version in force for so long.
    pub hold: Micros,
    /// One that says nothing for so long is lost. One that neither takes it over nor refuses it makes room for another.
    pub patience: Micros,
    /// So many that refuse it, are lost or begin anew stop it; fewer where fewer go first.
    pub bad: usize,
}

impl Default for Trial {
    /// Of nodes that say twice a second what they have, the first are done some 1.5 s after a change.
    fn default() -> Trial {
        Trial { first: 8, hold: Micros::from_millis(750), patience: Micros::from_millis(2_500), bad: 3 }
    }
}

/// What went wrong with a first node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Harm {
    /// It can't take the version over.
    Refused(String),
    /// It has said nothing for as long as [`Trial::patience`].
    Lost,
    /// Another process has its name: it died, and began anew.
    Anew,
}

/// A version that spreads no further, and on which nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stopped {
    /// Which.
    pub revision: Revision,
    /// What happened to the first nodes.
    pub harm: BTreeMap<String, Harm>,
}

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report<'a> {
    /// Its name.
    pub node: &'a str,
    /// Drawn at its process's start.
    pub incarnation: u64,
    /// What it has in force.
    pub in_force: Revision,
    /// What it has refused, and why.
    pub refused: Option<(Revision, &'a str)>,
}

#[derive(Clone, Debug)]
struct Seen {
    incarnation: u64,
    in_force: Revision,
    last: Micros,
}

#[derive(Clone, Debug)]
struct First {
    incarnation: u64,
    /// When it came to what it has, or was chosen.
    moved: Micros,
    /// What it has had in force, and since when; later ones last.
    had: VecDeque<(Revision, Micros)>,
    /// The newest of these that it has lived with.
    good: Revision,
}

/// The first nodes have the newest version always: each is judged by how long it has been there, so that a change does not
/// wait for the trial of the one before.
#[derive(Clone, Debug)]
struct Trying {
    /// The newest that they were told of.
    revision: Revision,
    first: BTreeMap<String, First>,
    harm: BTreeMap<String, Harm>,
    /// They took too long, and are not chosen again.
    slow: Vec<String>,
}

/// The state of one who tells nodes what is agreed.
#[derive(Debug)]
pub struct Guard {
    trial: Trial,
    nodes: BTreeMap<String, Seen>,
    newest: Revision,
    /// All nodes may have this.
    good: Revision,
    trying: Option<Trying>,
    stopped: Option<Stopped>,
}

impl Guard {
    /// With that version for all.
    #[must_use]
    pub fn new(trial: Trial, good: Revision) -> Guard {
        Guard { trial, nodes: BTreeMap::new(), newest: good, good, trying: None, stopped: None }
    }

    /// A version is agreed. It is tried at once, with those that are being tried.
    pub fn agreed(&mut self, now: Micros, revision: Revision) {
        self.newest = self.newest.max(revision);
        if let Some(trying) = &mut self.trying {
            trying.revision = self.newest;
        }
        self.look(now);
    }

    /// An operator says that a version that was stopped may spread.
    pub fn release(&mut self, now: Micros, revision: Revision) {
        if self.stopped.as_ref().is_some_and(|s| s.revision == revision) {
            (self.stopped, self.good) = (None, self.good.max(revision));
            self.look(now);
        }
    }

    /// A node says what it has.
    pub fn heard(&mut self, now: Micros, report: &Report<'_>) {
        let Report { node, incarnation, in_force, refused } = report;
        let room = self.nodes.len() < NODES_MAX;
        match self.nodes.get_mut(*node) {
            Some(seen) => {
                (seen.incarnation, seen.in_force, seen.last) = (*incarnation, *in_force, now);
            }
            None if room => {
                let seen = Seen { incarnation: *incarnation, in_force: *in_force, last: now };
                self.nodes.insert((*node).to_owned(), seen);
            }
            None => {}
        }
        let floor = self.floor();
        if let Some(trying) = &mut self.trying
            && let Some(first) = trying.first.get_mut(*node)
        {
            let newer = first.had.back().is_none_or(|(last, _)| in_force > last) && *in_force > floor;
            if newer && first.incarnation == *incarnation && first.had.len() < HAD_MAX {
                first.had.push_back((*in_force, now));
                first.moved = now;
            }
            if let Some((_, why)) = refused.filter(|(revision, _)| *revision > floor) {
                trying.harm.insert((*node).to_owned(), Harm::Refused(why.to_owned()));
            }
        }
        self.look(now);
    }

    /// The newest version that a node may be told of.
    #[must_use]
    pub fn may(&self, node: &str) -> Revision {
        match &self.trying {
            Some(t) if t.first.contains_key(node) => t.revision,
            _ => self.good,
        }
    }

    /// What lies behind: neither what all may have nor what was stopped is tried any more, though some have it or refuse it still.
    fn floor(&self) -> Revision {
        self.stopped.as_ref().map_or(self.good, |s| s.revision.max(self.good))
    }

    /// The version that all nodes may have.
    #[must_use]
    pub fn good(&self) -> Revision {
        self.good
    }

    /// The version that is stopped, until a later one is tried.
    #[must_use]
    pub fn stopped(&self) -> Option<&Stopped> {
        self.stopped.as_ref()
    }

    /// What each node had in force when it was heard last, and how long ago that was.
    pub fn nodes(&self, now: Micros) -> impl Iterator<Item = (&str, Revision, Micros)> {
        self.nodes.iter().map(move |(name, seen)| (name.as_str(), seen.in_force, now - seen.last))
    }

    /// Takes the time into account: to be called now and then, a few times a second.
    pub fn look(&mut self, now: Micros) {
        // Who has not been heard for ten times the patience is gone, or will be new.
        let gone = Micros(self.trial.patience.0.saturating_mul(10));
        let stale = self.nodes.values().any(|seen| now - seen.last > gone);
        if stale {
            self.nodes.retain(|_, seen| now - seen.last <= gone);
        }
        if self.trying.is_none() && self.newest > self.floor() {
            let (first, harm) = (BTreeMap::new(), BTreeMap::new());
            self.trying = Some(Trying { revision: self.newest, first, harm, slow: Vec::new() });
        }
        let Some(mut trying) = self.trying.take() else { return };
        self.judge(now, &mut trying);
        let there = self.nodes.values().filter(|seen| now - seen.last <= self.trial.patience).count();
        let wanted = (there / 4).clamp(1, self.trial.first.max(1));
        if trying.harm.len() >= self.trial.bad.min(wanted).max(1) {
            self.stopped = Some(Stopped { revision: trying.revision, harm: trying.harm });
            return self.look(now);
        }
        // One of four may still be on its way: the version that all others have lived with, or a later one.
        let well = trying.first.iter().filter(|(name, _)| !trying.harm.contains_key(*name));
        let mut good: Vec<Revision> = well.map(|(_, f)| f.good).collect();
        good.sort_unstable_by(|a, b| b.cmp(a));
        let enough = (wanted - wanted / 4).max(1);
        if let Some(good) = good.get(enough - 1).filter(|good| **good > self.good) {
            (self.good, self.stopped) = (*good, None);
            if self.good >= trying.revision {
                return;
            }
            // What befell others by then is not this version's doing; a day's deaths must not add up over many changes.
            trying.first.retain(|name, _| !trying.harm.contains_key(name));
            trying.harm.clear();
            trying.slow.clear();
        }
        self.choose(now, &mut trying, wanted);
        self.trying = Some(trying);
    }

    /// How the first nodes are.
    fn judge(&mut self, now: Micros, trying: &mut Trying) {
        let Trial { hold, patience, .. } = self.trial;
        let (revision, harm, slow) = (trying.revision, &mut trying.harm, &mut trying.slow);
        trying.first.retain(|name, first| {
            let harmed = match self.nodes.get(name) {
                None => Harm::Lost,
                Some(seen) if now - seen.last > patience => Harm::Lost,
                Some(seen) if seen.incarnation != first.incarnation => Harm::Anew,
                Some(seen) => {
                    // It has said so twice, the hold apart: one that dies of it at once says it once at the most.
                    while let Some((had, _)) = first.had.pop_front_if(|(_, at)| seen.last - *at >= hold) {
                        first.good = had;
                    }
                    // It is there, and neither takes it over nor refuses it.
                    let late = seen.in_force < revision && seen.last - first.moved > patience;
                    if late && !harm.contains_key(name) {
                        slow.push(name.clone());
                        return false;
                    }
                    return true;
                }
            };
            harm.entry(name.clone()).or_insert(harmed);
            true
        });
    }

    /// Fills up those who go first, by a lot that is another one for each version.
    fn choose(&self, now: Micros, trying: &mut Trying, wanted: usize) {
        let well = trying.first.keys().filter(|name| !trying.harm.contains_key(*name)).count();
        let open = wanted.saturating_sub(well);
        if open == 0 {
            return;
        }
        let lot = |name: &str| {
            let mut hasher = std::hash::DefaultHasher::new();
            (trying.revision, name).hash(&mut hasher);
            hasher.finish()
        };
        let may = |name: &String, seen: &Seen| {
            now - seen.last <= self.trial.patience
                && !trying.first.contains_key(name)
                && !trying.slow.contains(name)
        };
        let mut all: Vec<(u64, &String)> = self
            .nodes
            .iter()
            .filter(|(name, seen)| may(name, seen))
            .map(|(name, _)| (lot(name), name))
            .collect();
        all.sort_unstable();
        let chosen: Vec<String> = all.into_iter().take(open).map(|(_, name)| name.clone()).collect();
        for name in chosen {
            let incarnation = self.nodes.get(&name).map_or(0, |seen| seen.incarnation);
            let (had, good) = (VecDeque::new(), Revision::default());
            trying.first.insert(name, First { incarnation, moved: now, had, good });
        }
    }
}
