//! When this replica applied the last request of each lease of one budget, the oldest first.
//!
//! A search for expired leases visits expired leases only, and a renewal moves its own lease to the end. Other modules
//! hold the leases and decide when one counts as expired.

use std::collections::{BTreeMap, HashMap};

use crate::fleet::{LeaseHolderId, LeaseInstant};
use crate::interface::Micros;

/// Renewals of the leases of one budget.
///
/// Invariant: each holder has one entry in each of the two maps.
#[derive(Debug, Default)]
pub struct RenewalTracker {
    by_holder: HashMap<LeaseHolderId, Renewal>,
    /// Holders by the time of application and a serial number, as several renewals may be applied at one instant.
    by_age: BTreeMap<(LeaseInstant, u64), LeaseHolderId>,
    next_serial: u64,
}

#[derive(Clone, Copy, Debug)]
struct Renewal {
    seq: u64,
    applied_at: LeaseInstant,
    serial: u64,
}

impl RenewalTracker {
    /// Records that request `seq` of the holder was applied at `now`. A duplicate does not change the lease's age.
    pub fn record(&mut self, now: LeaseInstant, holder: &LeaseHolderId, seq: u64) {
        let renewal = Renewal { seq, applied_at: now, serial: self.next_serial };
        let holder = match self.by_holder.get_mut(holder) {
            Some(previous) if previous.seq == seq => return,
            Some(current) => {
                let previous = std::mem::replace(current, renewal);
                let key = (previous.applied_at, previous.serial);
                self.by_age.remove(&key).unwrap_or_else(|| holder.clone())
            }
            None => {
                self.by_holder.insert(holder.clone(), renewal);
                holder.clone()
            }
        };
        self.next_serial += 1;
        self.by_age.insert((now, renewal.serial), holder);
    }

    /// Removes a lease that does not exist any more.
    pub fn remove(&mut self, holder: &LeaseHolderId) {
        if let Some(renewal) = self.by_holder.remove(holder) {
            self.by_age.remove(&(renewal.applied_at, renewal.serial));
        }
    }

    /// Returns the leases whose last request was applied more than `age` ago, the oldest first, with that request's number.
    pub fn older_than(&self, now: LeaseInstant, age: Micros) -> impl Iterator<Item = (&LeaseHolderId, u64)> {
        let old = self.by_age.iter().take_while(move |((applied_at, _), _)| now - *applied_at > age);
        old.filter_map(|(_, holder)| Some((holder, self.by_holder.get(holder)?.seq)))
    }
}
