//! Parts of the model: clocks, events with the heap order of their times, and counters of what happened.

use holdlift::fleet::LeaseInstant;
use holdlift::fleet::lease::holder::ReleaseEvidence;
use holdlift::fleet::lease::ledger::{LeaseRequest, LeaseResponse, LedgerEntry};

/// Counts of what happened in one run, or in several runs together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Permits that nodes acquired.
    pub permits: u64,
    /// Calls without a permit, for lack of leased capacity.
    pub refused: u64,
    /// Calls not sent because their send deadline had passed.
    pub not_sent: u64,
    /// Calls whose outcome the node never learned.
    pub unknown_outcomes: u64,
    pub expired_leases: u64,
    pub committed_entries: u64,
}

impl Tally {
    pub fn add(&mut self, other: &Tally) {
        self.permits += other.permits;
        self.refused += other.refused;
        self.not_sent += other.not_sent;
        self.unknown_outcomes += other.unknown_outcomes;
        self.expired_leases += other.expired_leases;
        self.committed_entries += other.committed_entries;
    }
}

/// A clock with a start value and a speed relative to real time.
#[derive(Clone, Copy)]
pub struct Clock {
    /// Reading at real time 0, in microseconds.
    pub start: u64,
    pub speed: f64,
}

impl Clock {
    /// The clock's reading at a real time in microseconds.
    pub fn lease_instant(&self, real_us: u64) -> LeaseInstant {
        LeaseInstant(self.start + (real_us as f64 * self.speed) as u64)
    }

    /// The real time in microseconds at which the clock shows `reading`.
    pub fn real_time(&self, reading: LeaseInstant) -> u64 {
        (reading.0.saturating_sub(self.start) as f64 / self.speed) as u64
    }
}

/// An event and its time. The earliest event compares as the greatest, so that a max-heap yields it first.
pub struct ScheduledEvent<T> {
    pub at_us: u64,
    /// Breaks ties: of two events at one time the one scheduled first comes first.
    pub sequence: u64,
    pub event: T,
}

impl<T> PartialEq for ScheduledEvent<T> {
    fn eq(&self, other: &ScheduledEvent<T>) -> bool {
        self.sequence == other.sequence
    }
}

impl<T> Eq for ScheduledEvent<T> {}

impl<T> PartialOrd for ScheduledEvent<T> {
    fn partial_cmp(&self, other: &ScheduledEvent<T>) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for ScheduledEvent<T> {
    fn cmp(&self, other: &ScheduledEvent<T>) -> std::cmp::Ordering {
        (other.at_us, other.sequence).cmp(&(self.at_us, self.sequence))
    }
}

/// An event of the model. Nodes and replicas are named by their index.
#[derive(Clone, Debug)]
pub enum Event {
    /// A node may send a lease request: node, incarnation.
    SendLeaseRequest(usize, u64),
    /// A request at a node needs a downstream call: node, incarnation.
    StartCall(usize, u64),
    /// A node sends a call if its permit still allows it: node, call, latest time at which the service may begin it.
    SendCall(usize, u64, u64),
    /// The downstream service begins a call.
    CallBegins {
        node: usize,
        incarnation: u64,
        call: u64,
        until: u64,
    },
    /// The downstream service ends a call.
    CallEnds {
        node: usize,
        incarnation: u64,
        call: u64,
    },
    /// A node learns that a call has ended, or that its outcome stays unknown.
    CallOutcome {
        node: usize,
        incarnation: u64,
        call: u64,
        evidence: ReleaseEvidence,
    },
    /// A lease request arrives at a replica.
    RequestArrives(usize, LeaseRequest),
    /// A lease response arrives at a node: node, incarnation, response.
    ResponseArrives(usize, u64, LeaseResponse),
    /// A replica proposes the lease requests that it has collected.
    ProposeBatch(usize),
    /// A replica looks for capacity changes and expired leases.
    CheckExpiry(usize),
    /// A majority has the proposal, if its proposer still leads.
    EntryCommitted {
        replica: usize,
        term: u64,
        entry: LedgerEntry,
    },
    /// A replica applies the log up to a number of entries.
    ApplyLog(usize, usize),
    /// A replica takes the lead if there is no leader.
    BecomeLeader(usize),
    InjectFault,
}
