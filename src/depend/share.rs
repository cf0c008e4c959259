//! The fleet's wholes as one more bound on calls: what of them this process may spend, by tier.
//!
//! A tier's own limit still adapts below it. Where there is no fleet there is no [`Shares`], and nothing is asked.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use super::plan::TierId;
use crate::fleet::Tick;
use crate::fleet::purse::{Proof, Purse, Short, Spent};

/// The purse, the moment that whoever drives the desk has just read, and which budgets a tier's calls are spent from.
#[derive(Clone, Debug)]
pub struct Shares {
    purse: Rc<RefCell<Purse>>,
    now: Rc<Cell<Tick>>,
    tiers: Rc<[Vec<usize>]>,
}

impl Shares {
    /// Budgets by tier are places in the purse.
    #[must_use]
    pub fn new(purse: Rc<RefCell<Purse>>, now: Rc<Cell<Tick>>, tiers: Vec<Vec<usize>>) -> Shares {
        Shares { purse, now, tiers: tiers.into() }
    }

    /// Takes what one call to a tier costs; nothing where no budget is on it.
    ///
    /// # Errors
    /// The share is short.
    pub fn spend(&self, tier: TierId) -> Result<Option<Spent>, Short> {
        match self.tiers.get(tier.0) {
            Some(budgets) if !budgets.is_empty() => {
                self.purse.borrow_mut().spend(self.now.get(), budgets).map(Some)
            }
            _ => Ok(None),
        }
    }

    /// What is known of a call's end.
    pub fn ended(&self, spent: &Spent, proof: Proof) {
        self.purse.borrow_mut().ended(spent, proof);
    }
}
