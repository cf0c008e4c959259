//! What one node makes of the zones: where its calls may go, what they cost there, and whether it stands aside itself.
//!
//! An older epoch never undoes a newer one. A node that has heard nothing for a while goes by its own evidence only: it
//! uses all zones again, and what leaves an endpoint out is its own ejection.

use super::evidence::{End, Seen, Sight};
use super::{FULL, Life, Line, Lines};
use crate::interface::Micros;

/// How often a node sums up what it saw: a fault is known to the keepers within that.
pub const SUM_UP: Micros = Micros::from_millis(250);
/// From this weight on the nodes of a zone that returns take callers again.
const TAKES_CALLERS: u16 = FULL / 2;

/// What calls to a zone are spent from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cost {
    /// Nothing but what the tier costs.
    Free,
    /// The zone's own budget.
    Lent,
    /// Nothing goes there.
    Closed,
}

/// The zones, as one node knows them.
#[derive(Clone, Debug)]
pub struct View {
    names: Vec<String>,
    own: Option<usize>,
    /// For so long what was told holds without a word.
    trust: Micros,
    told: Lines,
    /// By place in `names`; those that have not been told of are in.
    lives: Vec<(Life, u16)>,
    heard: Option<Micros>,
    sight: Sight,
    summed: Micros,
    /// It has said that it goes by its own evidence.
    blind: bool,
}

impl View {
    /// Of these zones; `own` may be none of them.
    #[must_use]
    pub fn new(now: Micros, names: Vec<String>, own: &str, trust: Micros) -> View {
        View {
            own: names.iter().position(|n| n == own),
            trust,
            told: Lines::default(),
            lives: vec![(Life::In, FULL); names.len()],
            heard: None,
            sight: Sight::new(now, names.len()),
            summed: now,
            blind: false,
            names,
        }
    }

    /// The place of a zone.
    #[must_use]
    pub fn place(&self, zone: &str) -> Option<usize> {
        self.names.iter().position(|n| n == zone)
    }

    /// What was told last.
    #[must_use]
    pub fn lines(&self) -> &Lines {
        &self.told
    }

    /// A keeper has said how the zones stand; what has changed. What is older than what is known changes nothing.
    pub fn told(&mut self, now: Micros, lines: &Lines) -> Vec<(Line, Line)> {
        if lines.epoch < self.told.epoch {
            return Vec::new();
        }
        self.heard = Some(now);
        if lines.epoch == self.told.epoch {
            return Vec::new();
        }
        let fresh = |l: &Line| self.told.of(&l.zone).cloned().unwrap_or_else(|| Line::new(&l.zone));
        let news = lines.all.iter().map(|l| (fresh(l), l.clone())).filter(|(was, is)| was != is).collect();
        self.told = lines.clone();
        for (name, life) in self.names.iter().zip(&mut self.lives) {
            *life = lines.of(name).map_or((Life::In, FULL), |l| (l.life, l.weight));
        }
        news
    }

    /// Whether nothing has been heard for too long.
    #[must_use]
    pub fn is_blind(&self, now: Micros) -> bool {
        self.heard.is_none_or(|at| at + self.trust <= now)
    }

    /// Whether that has just changed, and to what.
    pub fn turned(&mut self, now: Micros) -> Option<bool> {
        let blind = self.is_blind(now) && self.heard.is_some();
        (std::mem::replace(&mut self.blind, blind) != blind).then_some(blind)
    }

    /// What a call to a zone costs, and how much of the zone is used.
    #[must_use]
    pub fn cost(&self, now: Micros, zone: usize) -> (Cost, u16) {
        if self.is_blind(now) {
            return (Cost::Free, FULL);
        }
        match self.lives.get(zone).copied().unwrap_or((Life::In, FULL)) {
            (Life::In | Life::Suspect, _) => (Cost::Free, FULL),
            (Life::Out, _) => (Cost::Closed, 0),
            // A probe is drawn as seldom as the least weight; its budget says how many there are.
            (Life::Probing | Life::Returning, weight) => (Cost::Lent, weight.max(1)),
        }
    }

    /// Whether this node's own zone is out, so that it should take no callers.
    #[must_use]
    pub fn stands_aside(&self, now: Micros) -> bool {
        let own = self.own.and_then(|z| self.lives.get(z)).filter(|_| !self.is_blind(now));
        match own {
            Some((Life::Out | Life::Probing, _)) => true,
            Some((Life::Returning, weight)) => *weight < TAKES_CALLERS,
            _ => false,
        }
    }

    /// A call has gone to a zone.
    pub fn begun(&mut self, now: Micros, zone: usize) {
        self.sight.begun(now, zone);
    }

    /// And has ended.
    pub fn ended(&mut self, now: Micros, zone: usize, began: Micros, end: End) {
        self.sight.ended(now, zone, began, end);
    }

    /// When it is to be summed up next.
    #[must_use]
    pub fn due(&self) -> Micros {
        self.summed + SUM_UP
    }

    /// What was seen, once it is due.
    pub fn sum_up(&mut self, now: Micros) -> Option<Vec<Seen>> {
        if now < self.due() {
            return None;
        }
        self.summed = now;
        Some(self.sight.sum_up(now, &self.names))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(n: u64) -> Micros {
        Micros::from_millis(n)
    }

    fn lines(epoch: u64, life: Life, weight: u16) -> Lines {
        Lines { epoch, all: vec![Line { life, weight, ..Line::new("a") }, Line::new("b")] }
    }

    #[test]
    fn what_a_node_does_by_what_it_is_told() {
        let names = vec!["a".to_owned(), "b".to_owned()];
        let mut v = View::new(ms(0), names, "a", ms(1_000));
        assert_eq!(v.cost(ms(1), 0), (Cost::Free, FULL), "nothing is known yet");
        let table = [
            (Life::In, FULL, Cost::Free, FULL, false),
            (Life::Suspect, FULL, Cost::Free, FULL, false),
            (Life::Out, 0, Cost::Closed, 0, true),
            (Life::Probing, 0, Cost::Lent, 1, true),
            (Life::Returning, 400, Cost::Lent, 400, true),
            (Life::Returning, 500, Cost::Lent, 500, false),
        ];
        for (epoch, (life, weight, cost, drawn, aside)) in (1u64..).zip(table) {
            v.told(ms(10), &lines(epoch, life, weight));
            assert_eq!((v.cost(ms(11), 0), v.stands_aside(ms(11))), ((cost, drawn), aside), "{life}");
            assert_eq!(v.cost(ms(11), 1), (Cost::Free, FULL));
        }
        assert_eq!(v.told(ms(20), &lines(3, Life::Out, 0)), [], "an older epoch undoes nothing");
        assert_eq!(v.cost(ms(21), 0), (Cost::Lent, 500));
        assert_eq!(v.told(ms(30), &lines(7, Life::Out, 0)).len(), 1);
        assert_eq!((v.cost(ms(1_029), 0).0, v.turned(ms(1_029))), (Cost::Closed, None));
        assert_eq!(
            (v.cost(ms(1_030), 0).0, v.stands_aside(ms(1_030))),
            (Cost::Free, false),
            "by its own evidence"
        );
        assert_eq!((v.turned(ms(1_030)), v.turned(ms(1_031))), (Some(true), None), "and says so, once");
        v.told(ms(1_040), &lines(7, Life::Out, 0));
        assert_eq!((v.cost(ms(1_041), 0).0, v.turned(ms(1_041))), (Cost::Closed, Some(false)));
    }
}
