//! The agreed book: who holds how much of each whole. Every keeper applies the same entries in the same order and comes to
//! the same book; no clock is read here.
//!
//! Amounts grow in one place ([`Book::apply`] on asks), by no more than what is free. They shrink only by what their
//! holder says it holds, once it has seen the last grant, or by an [`Entry::Expire`] that no later ask has overtaken.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::divide::{Claim, divide};
use super::packed::Packed;
use super::{BUDGETS_MAX, Holder, NAME_MAX, Scope};
use crate::catalog::Verdict;
use crate::zone::{Change, Lines, Order};

/// Leases of one budget. Who comes beyond gets none; several times the nodes that a fleet is built for, so that old
/// incarnations fit beside new ones.
const LEASES_MAX: usize = 16_384;
/// So many entries pass before another node is first where pieces do not come out even. At the most some 50 entries come a
/// second, so that is 5 s or more: several leases, and no flutter.
const TURN: u64 = 256;

/// What a holder says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Who.
    pub holder: Holder,
    /// Numbers its asks, from 1.
    pub seq: u64,
    /// The last ask whose answer it has taken, or all before which it renounces: it takes no answer to one up to this.
    pub seen: u64,
    /// It has a lease that lasts. One that has none may not hear what it is told, so it gets the floor and no more.
    pub live: bool,
    /// Against other nodes.
    pub weight: u32,
    /// It has had the notice to leave: it wants what it still needs, and no surplus.
    pub leaving: bool,
    /// Budget by budget.
    pub lines: Vec<AskLine>,
}

/// One budget of an ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskLine {
    /// Its name.
    pub budget: String,
    /// From this ask on it spends within this, until it is told otherwise.
    pub holds: u32,
    /// What it could use.
    pub wants: u32,
}

/// A whole, as the operators say.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Whole {
    /// Its name.
    pub budget: String,
    /// Pieces over all nodes.
    pub whole: u32,
    /// What each node gets at least.
    pub floor: u32,
    /// What it depends on.
    pub scope: Scope,
}

/// A lease that has ended by a keeper's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stale {
    /// Whose.
    pub holder: Holder,
    /// Of which budget.
    pub budget: String,
    /// Its last ask, as far as that keeper knew.
    pub seq: u64,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The wholes are these from now on.
    Wholes(Vec<Whole>),
    /// Leases are renewed, and what is free is given out.
    Asks(Vec<Ask>),
    /// Leases are struck off.
    Expire(Vec<Stale>),
    /// Zones stand otherwise.
    Zones(Change),
    /// An operator says how a zone is to stand.
    Order {
        /// Which.
        zone: String,
        /// How.
        order: Order,
    },
    /// The configuration is to change. The book only counts it: what becomes of it is [`super::keeper::Keeper`]'s.
    Change(Packed),
    /// A version of the configuration may go to all nodes, or spreads no further. As above, the book only counts it.
    Verdict(Verdict),
}

/// The answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// To whom.
    pub holder: Holder,
    /// To which ask.
    pub seq: u64,
    /// The book's count of entries.
    pub epoch: u64,
    /// Budget by budget.
    pub lines: Vec<ToldLine>,
}

/// One budget of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldLine {
    /// Its name.
    pub budget: String,
    /// What the book has for the holder.
    pub amount: u32,
    /// What it is to come down to; the amount where nothing is wanted back.
    pub target: u32,
}

/// What one holder has of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Pieces that nobody else can have.
    pub amount: u32,
    /// What it wanted last.
    pub wants: u32,
    /// Its last ask.
    pub seq: u64,
    weight: u32,
    /// The ask that was last answered with more than before.
    granted: u64,
    /// When it came, by the book's count: the latest process of a name is the one that goes on.
    since: u64,
    /// When it asked last, by the book's count.
    asked: u64,
    live: bool,
    leaving: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Sheet {
    /// As operators say.
    told: Whole,
    /// As the zones stand.
    whole: u32,
    floor: u32,
    leases: BTreeMap<Holder, Lease>,
}

/// The book.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Book {
    /// Entries applied so far.
    pub epoch: u64,
    sheets: BTreeMap<String, Sheet>,
    zones: Lines,
}

impl Sheet {
    fn lent(&self) -> u64 {
        self.leases.values().map(|l| u64::from(l.amount)).sum()
    }

    /// What each lease should have, in the leases' order. Processes of one name count as one; the latest has what the
    /// others leave.
    fn targets(&self, turn: u64) -> Vec<u32> {
        let all: Vec<(&Holder, &Lease)> = self.leases.iter().collect();
        let needs = |l: &Lease| l.wants.min(l.amount);
        // Who leaves and has no successor takes no part in the surplus: it keeps what it needs.
        let nodes: Vec<(&[(&Holder, &Lease)], bool)> = all
            .chunk_by(|a, b| a.0.name == b.0.name)
            .map(|node| (node, node.iter().any(|(_, l)| !l.leaving)))
            .collect();
        let gone = nodes.iter().filter(|n| !n.1).flat_map(|n| n.0);
        let gone = gone.fold(0u32, |sum, (_, l)| sum.saturating_add(needs(l)));
        let claims: Vec<Claim> = nodes
            .iter()
            .filter(|n| n.1)
            .map(|(node, _)| Claim {
                weight: node.iter().map(|(_, l)| l.weight).max().unwrap_or(1),
                wants: node.iter().fold(0, |sum, (_, l)| sum.saturating_add(l.wants)),
            })
            .collect();
        let mut shares = divide(self.whole.saturating_sub(gone), self.floor, &claims, turn).into_iter();
        let mut targets = Vec::with_capacity(all.len());
        for (node, stays) in nodes {
            let first = targets.len();
            targets.extend(node.iter().map(|(_, l)| needs(l)));
            let latest = (0..node.len()).filter(|&i| !node[i].1.leaving);
            let latest = latest.max_by_key(|&i| (node[i].1.since, node[i].0.incarnation));
            if let Some(latest) = latest.filter(|_| stays) {
                let share = shares.next().unwrap_or(0);
                let others = node.iter().enumerate().filter(|(i, _)| *i != latest);
                let others = others.fold(0u32, |sum, (_, (_, l))| sum.saturating_add(l.amount));
                // What a former process holds counts for the node, but a newcomer is not left with nothing for that.
                targets[first + latest] = share.saturating_sub(others).max(self.floor.min(share));
            }
        }
        targets
    }

    /// Gives out what is free to those who asked in this entry and are short of their target; the answers' lines.
    fn give(&mut self, epoch: u64) -> Vec<(Holder, u64, u32, u32)> {
        let targets = self.targets(epoch / TURN);
        let (lent, floor) = (self.lent(), self.floor.max(1));
        let (mut free, over) =
            (u64::from(self.whole).saturating_sub(lent) as u32, lent > u64::from(self.whole));
        let mut leases: Vec<(&Holder, &mut Lease)> = self.leases.iter_mut().collect();
        // Shares go back only where somebody is short by more than a rounding, so that they do not flutter.
        let short = leases.iter().zip(&targets).any(|((_, l), &target)| {
            target > l.amount.saturating_add(target / 10) && (l.amount == 0 || target > l.amount + 1)
        });
        let mut askers: Vec<usize> = (0..leases.len()).filter(|&i| leases[i].1.asked == epoch).collect();
        askers.sort_by_key(|&i| leases[i].1.amount);
        let mut lines = Vec::with_capacity(askers.len());
        for i in askers {
            let (target, (holder, lease)) = (targets[i], &mut leases[i]);
            let may = if lease.live { target } else { target.min(floor) };
            let more = may.saturating_sub(lease.amount).min(free);
            if more > 0 {
                (lease.amount, lease.granted) = (lease.amount + more, lease.seq);
                free -= more;
            }
            let back = lease.amount > target && (short || over || lease.leaving);
            lines.push((holder.clone(), lease.seq, lease.amount, if back { target } else { lease.amount }));
        }
        self.leases.retain(|_, l| !(l.leaving && l.amount == 0));
        lines
    }
}

impl Book {
    /// Applies an entry; the answers to the asks in it, where they are news.
    #[must_use]
    pub fn apply(&mut self, entry: &Entry) -> Vec<Told> {
        self.epoch += 1;
        match entry {
            Entry::Wholes(all) => {
                self.wholes(all);
                Vec::new()
            }
            Entry::Expire(all) => {
                for s in all {
                    let Some(sheet) = self.sheets.get_mut(&s.budget) else { continue };
                    if sheet.leases.get(&s.holder).is_some_and(|l| l.seq == s.seq) {
                        sheet.leases.remove(&s.holder);
                    }
                }
                Vec::new()
            }
            Entry::Asks(asks) => self.asks(asks),
            Entry::Zones(change) => {
                if self.zones.apply(change) {
                    self.scale();
                }
                Vec::new()
            }
            // Whoever proposes it has been told why where it can't be carried out.
            Entry::Order { zone, order } => {
                if self.zones.order(zone, *order).is_ok() {
                    self.scale();
                }
                Vec::new()
            }
            Entry::Change(_) | Entry::Verdict(_) => Vec::new(),
        }
    }

    /// The wholes as the zones stand now.
    fn scale(&mut self) {
        for sheet in self.sheets.values_mut() {
            sheet.whole = sheet.told.scope.of(sheet.told.whole, &self.zones);
        }
    }

    /// How the zones stand.
    #[must_use]
    pub fn zones(&self) -> &Lines {
        &self.zones
    }

    /// A budget that is named no more keeps its leases until they have ended, and lends nothing.
    fn wholes(&mut self, all: &[Whole]) {
        self.sheets.retain(|name, s| !s.leases.is_empty() || all.iter().any(|w| w.budget == *name));
        self.sheets.values_mut().for_each(|s| (s.told.whole, s.floor) = (0, 0));
        for w in all.iter().filter(|w| w.budget.len() <= NAME_MAX).take(BUDGETS_MAX) {
            let sheet = self.sheets.entry(w.budget.clone()).or_default();
            (sheet.told, sheet.floor) = (w.clone(), w.floor);
        }
        self.scale();
    }

    fn asks(&mut self, asks: &[Ask]) -> Vec<Told> {
        let epoch = self.epoch;
        for ask in asks.iter().filter(|a| a.holder.name.len() <= NAME_MAX) {
            for line in ask.lines.iter().take(BUDGETS_MAX) {
                let Some(sheet) = self.sheets.get_mut(&line.budget) else { continue };
                if !sheet.leases.contains_key(&ask.holder) && sheet.leases.len() >= LEASES_MAX {
                    continue;
                }
                let lease = sheet.leases.entry(ask.holder.clone()).or_insert(Lease {
                    amount: 0,
                    wants: 0,
                    seq: 0,
                    weight: 1,
                    granted: 0,
                    since: epoch,
                    asked: epoch,
                    live: false,
                    leaving: false,
                });
                // One that comes twice, or behind a later one, says nothing any more.
                if ask.seq <= lease.seq {
                    continue;
                }
                (lease.seq, lease.asked) = (ask.seq, epoch);
                // While a grant may be on its way the holder does not know all that it may spend.
                if ask.seen >= lease.granted {
                    lease.amount = lease.amount.min(line.holds);
                }
                (lease.wants, lease.weight) = (line.wants, ask.weight);
                (lease.live, lease.leaving) = (ask.live, ask.leaving);
            }
        }
        let mut told: BTreeMap<Holder, Told> = BTreeMap::new();
        for (budget, sheet) in &mut self.sheets {
            if !sheet.leases.values().any(|l| l.asked == epoch) {
                continue;
            }
            for (holder, seq, amount, target) in sheet.give(epoch) {
                let line = ToldLine { budget: budget.clone(), amount, target };
                let fresh = || Told { holder: holder.clone(), seq, epoch, lines: Vec::new() };
                told.entry(holder.clone()).or_insert_with(fresh).lines.push(line);
            }
        }
        told.into_values().collect()
    }

    /// The wholes, as last agreed.
    pub fn wholes_now(&self) -> impl Iterator<Item = Whole> {
        self.sheets.values().filter(|s| s.told.whole > 0 || s.leases.is_empty()).map(|s| s.told.clone())
    }

    /// One holder's lease.
    #[must_use]
    pub fn lease(&self, budget: &str, holder: &Holder) -> Option<&Lease> {
        self.sheets.get(budget)?.leases.get(holder)
    }

    /// All leases, by budget.
    pub fn leases(&self) -> impl Iterator<Item = (&str, &Holder, &Lease)> {
        self.sheets.iter().flat_map(|(b, s)| s.leases.iter().map(move |(h, l)| (b.as_str(), h, l)))
    }

    /// Whole and what is lent of it, by budget.
    pub fn sums(&self) -> impl Iterator<Item = (&str, u32, u64)> {
        self.sheets.iter().map(|(b, s)| (b.as_str(), s.whole, s.lent()))
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::zone::{Life, Line};

    fn holder(n: u8) -> Holder {
        Holder { name: format!("n{}", n / 2), incarnation: u64::from(n % 2) }
    }

    fn ask(n: u8, seq: u64, seen: u64, holds: u32, wants: u32) -> Ask {
        let lines = vec![AskLine { budget: "b".to_owned(), holds, wants }];
        Ask { holder: holder(n), seq, seen, live: seen > 0, weight: 1, leaving: false, lines }
    }

    fn book(whole: u32) -> Book {
        let mut book = Book::default();
        let _ = book.apply(&Entry::Wholes(vec![Whole {
            budget: "b".to_owned(),
            whole,
            floor: 1,
            scope: Scope::Fixed,
        }]));
        book
    }

    fn amounts(told: &[Told]) -> Vec<(u64, u32, u32)> {
        told.iter().map(|t| (t.seq, t.lines[0].amount, t.lines[0].target)).collect()
    }

    /// One holder's story: what it says, and what it is told.
    #[test]
    fn a_lease_step_by_step() {
        let mut b = book(10);
        let mut say = |a: Ask| amounts(&b.apply(&Entry::Asks(vec![a])));
        assert_eq!(say(ask(0, 1, 0, 0, 8)), [(1, 1, 1)], "the floor, as nobody knows whether it hears");
        assert_eq!(say(ask(0, 2, 1, 1, 8)), [(2, 10, 10)], "all, as nobody else wants any");
        assert_eq!(say(ask(0, 2, 1, 1, 8)), [], "the same ask again says nothing");
        assert_eq!(say(ask(0, 1, 1, 0, 0)), [], "nor does an older one");
        assert_eq!(
            say(ask(0, 3, 1, 0, 8)),
            [(3, 10, 10)],
            "the grant of 2 may be on its way: nothing is lowered"
        );
        assert_eq!(say(ask(2, 1, 0, 0, 8)), [(1, 0, 0)], "nothing is free for another node");
        assert_eq!(say(ask(0, 4, 3, 10, 8)), [(4, 10, 5)], "so some is asked back");
        assert_eq!(say(ask(0, 5, 4, 7, 8)), [(5, 7, 5)], "two of it are still out");
        assert_eq!(say(ask(2, 2, 1, 0, 8)), [(2, 3, 3)], "the other has what was given back");
        let stale = |seq| Entry::Expire(vec![Stale { holder: holder(0), budget: "b".to_owned(), seq }]);
        let _ = b.apply(&stale(4));
        assert!(b.lease("b", &holder(0)).is_some(), "it was renewed since");
        let _ = b.apply(&stale(5));
        assert!(b.lease("b", &holder(0)).is_none());
    }

    #[test]
    fn processes_of_one_name_count_as_one() {
        let mut b = book(12);
        // Each says what it has heard, until nothing moves.
        let mut seqs = [0u64; 3];
        for _ in 0..6 {
            for (i, n) in [0u8, 1, 2].into_iter().enumerate() {
                seqs[i] += 1;
                let has = b.lease("b", &holder(n)).map_or(0, |l| l.amount);
                // The former process of n0 needs two, and gives the rest back.
                let (wants, holds) = if n == 0 { (2, has.min(2)) } else { (9, has) };
                let _ = b.apply(&Entry::Asks(vec![ask(n, seqs[i], seqs[i] - 1, holds, wants)]));
            }
        }
        let has = |n| b.lease("b", &holder(n)).map_or(0, |l| l.amount);
        assert_eq!(has(0) + has(1), has(2), "{} and {} against {}", has(0), has(1), has(2));
    }

    /// A zone that is out takes its part of a whole away; what it lends while it returns follows its weight.
    #[test]
    fn wholes_follow_the_zones() {
        let mut b = Book::default();
        let whole = |budget: &str, whole, scope| Whole { budget: budget.to_owned(), whole, floor: 0, scope };
        let all = vec![
            whole("at-once", 240, Scope::Zones),
            whole("starts", 50, Scope::Fixed),
            whole("zone/a", 80, Scope::Zone("a".to_owned())),
        ];
        let _ = b.apply(&Entry::Wholes(all.clone()));
        let table = [
            (Life::In, 1_000, [240, 50, 0]),
            (Life::Suspect, 1_000, [240, 50, 0]),
            (Life::Out, 0, [160, 50, 0]),
            (Life::Probing, 0, [160, 50, 2]),
            (Life::Returning, 50, [164, 50, 4]),
            (Life::Returning, 500, [200, 50, 40]),
        ];
        for (on, (life, weight, wholes)) in table.into_iter().enumerate() {
            let a = Line { life, weight, ..Line::new("a") };
            let change = Change { on: on as u64, lines: vec![a, Line::new("b"), Line::new("c")] };
            let _ = b.apply(&Entry::Zones(change.clone()));
            let _ = b.apply(&Entry::Zones(change));
            assert_eq!(b.sums().map(|s| s.1).collect::<Vec<_>>(), wholes, "{life}");
            assert_eq!(b.wholes_now().collect::<Vec<_>>(), all, "what was told stays");
        }
        let _ = b.apply(&Entry::Order { zone: "a".to_owned(), order: Order::Leave });
        assert_eq!(b.sums().map(|s| s.1).collect::<Vec<_>>(), [160, 50, 0]);
    }

    proptest! {
        /// Whatever is asked, in whatever order, and whatever is struck off: no more is lent than there is.
        #[test]
        fn no_more_is_lent_than_there_is(
            whole in 0u32..30,
            entries in proptest::collection::vec(
                (0u8..12, 0u64..40, 0u64..40, 0u32..40, 0u32..40, any::<bool>(), 0u8..8), 0..200),
        ) {
            let mut b = book(whole);
            for (n, seq, seen, holds, wants, leaving, kind) in entries {
                let _ = b.apply(&if kind == 0 {
                    Entry::Expire(vec![Stale { holder: holder(n), budget: "b".to_owned(), seq }])
                } else {
                    Entry::Asks(vec![Ask { leaving, ..ask(n, seq, seen, holds, wants) }])
                });
                for (_, whole, lent) in b.sums() {
                    prop_assert!(lent <= u64::from(whole));
                }
            }
        }
    }
}
