//! One replica's copy of the lease ledger and of the configuration, and which leases have expired by its own clock.
//!
//! The consensus engine hands over entries as they are committed. This records when **this replica** applied each request,
//! which is never before the request was sent. A replica that restarts, or loads another's ledger, counts every lease as
//! renewed at that moment.
//!
//! Invariant: what a committed entry changes depends on the entry and the state before it alone. No I/O, no clock.

use std::collections::HashMap;

use crate::config_store::{ConfigVersion, History, RetentionPolicy, Revision};
use crate::fleet::compressed_change::CompressedChange;
use crate::fleet::lease::ledger::{BudgetCapacity, ExpiredLease, LeaseLedger, LeaseResponse, LedgerEntry};
use crate::fleet::lease::renewals::RenewalTracker;
use crate::fleet::{Budget, LeaseBounds, LeaseHolderId, LeaseInstant};

/// Most expired leases in one entry, which keeps the entry small. The next search finds the others.
const EXPIRED_PER_ENTRY_MAX: usize = 512;

/// Versions of the configuration that a replica retains, for rollbacks and for sending nodes the changes since their
/// version.
pub const CONFIG_RETENTION: RetentionPolicy = RetentionPolicy { changes: 256, bytes: 4 << 20 };

/// The outcome of a change or of a rollout decision: the version that it created or decided on, or the reason why it was
/// rejected. All replicas have the same outcome.
pub type ApplyOutcome = Result<Revision, String>;

/// The replicated state of one replica.
#[derive(Debug)]
pub struct ReplicaState {
    bounds: LeaseBounds,
    budgets: Vec<Budget>,
    ledger: LeaseLedger,
    /// By budget, when this replica applied the last request of each lease.
    renewals: HashMap<String, RenewalTracker>,
    /// Versions of the configuration.
    history: History,
    /// Bytes of changes applied since a snapshot was last due.
    change_bytes: usize,
}

impl ReplicaState {
    /// Returns a state with an empty ledger and no configuration.
    #[must_use]
    pub fn new(bounds: LeaseBounds, budgets: Vec<Budget>) -> ReplicaState {
        let history = History::new(ConfigVersion::default(), CONFIG_RETENTION);
        ReplicaState {
            bounds,
            budgets,
            ledger: LeaseLedger::default(),
            renewals: HashMap::new(),
            history,
            change_bytes: 0,
        }
    }

    /// Returns the versions of the configuration.
    #[must_use]
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Replaces the versions by those of another replica or of this replica's disk.
    pub fn load_history(&mut self, history: History) {
        self.history = history;
    }

    /// Returns the lease ledger.
    #[must_use]
    pub fn ledger(&self) -> &LeaseLedger {
        &self.ledger
    }

    /// Replaces the ledger by another replica's, or one from this replica's disk. The age of its leases is not known, so
    /// each counts as renewed now.
    pub fn load_ledger(&mut self, now: LeaseInstant, ledger: LeaseLedger) {
        self.ledger = ledger;
        self.renewals.clear();
        for (budget, holder, lease) in self.ledger.leases() {
            let renewals = self.renewals.entry(budget.to_owned()).or_default();
            renewals.record(now, holder, lease.seq);
        }
    }

    /// Applies a committed change. Every replica has the same version before it, so all accept it or all reject it.
    fn apply_change(&mut self, compressed: &CompressedChange) -> ApplyOutcome {
        self.change_bytes = self.change_bytes.saturating_add(compressed.len());
        let change = compressed.decompress().map_err(|error| error.to_string())?;
        let summary = self.history.apply(&change).map_err(|error| error.to_string())?;
        Ok(summary.revision)
    }

    /// Returns whether more than `bytes_max` bytes of changes have been applied since this last returned true. The caller
    /// then takes a snapshot: the consensus engine counts entries only, and changes are large.
    pub fn take_snapshot_due(&mut self, bytes_max: usize) -> bool {
        let is_due = self.change_bytes > bytes_max;
        if is_due {
            self.change_bytes = 0;
        }
        is_due
    }

    /// Applies a committed entry. Returns the responses to lease requests, and the outcome of an entry about the
    /// configuration.
    pub fn apply_with_outcome(
        &mut self,
        now: LeaseInstant,
        entry: &LedgerEntry,
    ) -> (Vec<LeaseResponse>, Option<ApplyOutcome>) {
        let outcome = match entry {
            LedgerEntry::ConfigChange(compressed) => Some(self.apply_change(compressed)),
            LedgerEntry::RolloutDecision(decision) => {
                Some(self.history.apply_decision(decision).map_err(|error| error.to_string()))
            }
            _ => None,
        };
        (self.apply(now, entry), outcome)
    }

    /// Applies a committed entry to the ledger alone. Returns the responses to lease requests.
    #[must_use]
    pub fn apply(&mut self, now: LeaseInstant, entry: &LedgerEntry) -> Vec<LeaseResponse> {
        let responses = self.ledger.apply(entry);
        match entry {
            LedgerEntry::LeaseRequests(requests) => {
                for request in requests {
                    for demand in &request.demands {
                        self.record_renewal(now, &demand.budget, &request.holder);
                    }
                }
            }
            LedgerEntry::ExpireLeases(expired) => {
                for lease in expired {
                    self.record_renewal(now, &lease.budget, &lease.holder);
                }
            }
            LedgerEntry::Capacities(_) => {
                let ledger = &self.ledger;
                self.renewals.retain(|budget, _| ledger.usage().any(|(name, ..)| name == budget));
            }
            LedgerEntry::ZoneUpdate(_)
            | LedgerEntry::ZoneOrder { .. }
            | LedgerEntry::ConfigChange(_)
            | LedgerEntry::RolloutDecision(_) => {}
        }
        responses
    }

    /// Records when the last request of a lease was applied, or removes a lease that does not exist any more.
    fn record_renewal(&mut self, now: LeaseInstant, budget: &str, holder: &LeaseHolderId) {
        let Some(lease) = self.ledger.lease(budget, holder) else {
            if let Some(renewals) = self.renewals.get_mut(budget) {
                renewals.remove(holder);
            }
            return;
        };
        let renewals = match self.renewals.get_mut(budget) {
            Some(renewals) => renewals,
            None => self.renewals.entry(budget.to_owned()).or_default(),
        };
        renewals.record(now, holder, lease.seq);
    }

    /// Replaces the configured bounds and budgets.
    pub fn update_budgets(&mut self, bounds: LeaseBounds, budgets: Vec<Budget>) {
        (self.bounds, self.budgets) = (bounds, budgets);
    }

    /// Returns the entry that sets the capacities, where those of the ledger differ from this replica's configuration.
    #[must_use]
    pub fn pending_capacities(&self) -> Option<LedgerEntry> {
        let mut configured: Vec<BudgetCapacity> = self.budgets.iter().map(Budget::to_capacity).collect();
        configured.sort_by(|left, right| left.budget.cmp(&right.budget));
        let agreed: Vec<BudgetCapacity> = self.ledger.capacities().collect();
        (configured != agreed).then_some(LedgerEntry::Capacities(configured))
    }

    /// Returns the entry that removes leases which have expired together with all permits drawn from them. It has at most
    /// `EXPIRED_PER_ENTRY_MAX` leases, of each budget the oldest first.
    #[must_use]
    pub fn expired_leases(&self, now: LeaseInstant) -> Option<LedgerEntry> {
        let lifetimes = self.budgets.iter().map(|budget| self.bounds.permit_lifetime(budget.kind));
        let longest_lifetime = lifetimes.max().unwrap_or_default();
        let mut expired = Vec::new();
        for (name, renewals) in &self.renewals {
            // The permit lifetime of a budget that is not configured any more is unknown: use the longest.
            let budget = self.budgets.iter().find(|budget| budget.name == *name);
            let permit_lifetime =
                budget.map_or(longest_lifetime, |budget| self.bounds.permit_lifetime(budget.kind));
            let age = self.bounds.with_drift_margin(self.bounds.lease_duration) + permit_lifetime;
            let room = EXPIRED_PER_ENTRY_MAX - expired.len();
            for (holder, seq) in renewals.older_than(now, age).take(room) {
                expired.push(ExpiredLease { holder: holder.clone(), budget: name.clone(), seq });
            }
        }
        expired.sort_by(|left, right| (&left.budget, &left.holder).cmp(&(&right.budget, &right.holder)));
        (!expired.is_empty()).then_some(LedgerEntry::ExpireLeases(expired))
    }
}

#[cfg(test)]
mod tests;
