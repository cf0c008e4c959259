//! The replica that a process sends its lease requests to, when a request without a response is sent to the next replica,
//! and the redirect of a request that reached a replica which does not lead. No I/O.

use std::net::SocketAddr;

use crate::fleet::LeaseInstant;
use crate::interface::Micros;

/// Wait for the first response before the next replica is tried; it doubles up to a quarter of the lease duration.
const RETRY_AFTER: Micros = Micros::from_millis(150);
/// Most doublings of [`RETRY_AFTER`], plus one, so that the shift does not overflow.
const BACKOFF_STEPS_MAX: u32 = 8;
/// Most redirects of one request: it ends the loop of two replicas that name each other as leader.
const REDIRECTS_MAX: u32 = 2;

/// The replica that requests go to.
#[derive(Debug)]
pub struct LeaderTracker {
    replicas: Vec<(String, SocketAddr)>,
    /// Index of the replica in use.
    current: usize,
    /// Requests since the last response.
    unanswered: u32,
    last_request_at: LeaseInstant,
    /// The last request's frame.
    frame: Vec<u8>,
    /// Redirects of the last request.
    redirects: u32,
}

impl LeaderTracker {
    /// Takes the replicas by name and by the address at which this process reaches them. `random` selects the first, so
    /// that processes start with different ones.
    #[must_use]
    pub fn new(now: LeaseInstant, replicas: Vec<(String, SocketAddr)>, random: u64) -> LeaderTracker {
        let current = (random % replicas.len().max(1) as u64) as usize;
        LeaderTracker {
            replicas,
            current,
            unanswered: 0,
            last_request_at: now,
            frame: Vec::new(),
            redirects: 0,
        }
    }

    /// Returns when the next request is to be sent because the last one has no response; the largest instant if the last one
    /// has a response.
    #[must_use]
    pub fn next_request_at(&self, lease_duration: Micros) -> LeaseInstant {
        if self.unanswered == 0 {
            return LeaseInstant(u64::MAX);
        }
        let wait = RETRY_AFTER.0 << self.unanswered.min(BACKOFF_STEPS_MAX).saturating_sub(1);
        self.last_request_at + Micros(wait.min(lease_duration.0 / 4))
    }

    /// Records the next request's frame, which the caller sends to [`LeaderTracker::current`]: another replica than before
    /// if that one did not respond.
    pub fn record_request(&mut self, now: LeaseInstant, frame: Vec<u8>) {
        if self.unanswered > 0 {
            self.current = (self.current + 1) % self.replicas.len().max(1);
        }
        self.unanswered = self.unanswered.saturating_add(1);
        (self.last_request_at, self.redirects) = (now, 0);
        self.frame = frame;
    }

    /// Records that a response was accepted.
    pub fn record_response(&mut self) {
        self.unanswered = 0;
    }

    /// Selects the leader that another replica has named. Returns true where the last frame is to be sent again, to
    /// [`LeaderTracker::current`]; false where the leader is unknown, already in use, or the redirects are used up.
    #[must_use]
    pub fn follow_leader(&mut self, leader: Option<&str>) -> bool {
        let index = leader.and_then(|leader| self.replicas.iter().position(|(name, _)| name == leader));
        match index.filter(|index| *index != self.current && self.redirects < REDIRECTS_MAX) {
            Some(index) => {
                (self.current, self.redirects) = (index, self.redirects + 1);
                true
            }
            None => false,
        }
    }

    /// Returns the address of the replica in use.
    #[must_use]
    pub fn current(&self) -> Option<SocketAddr> {
        self.replicas.get(self.current).map(|(_, addr)| *addr)
    }

    /// Returns the addresses of all replicas.
    pub fn replica_addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.replicas.iter().map(|(_, addr)| *addr)
    }

    /// Returns the address of replica `number` modulo the count of replicas. The fleet's file names at least one replica.
    #[must_use]
    pub fn nth_replica(&self, number: usize) -> SocketAddr {
        self.replicas[number % self.replicas.len().max(1)].1
    }

    /// Returns the last request's frame; empty before the first.
    #[must_use]
    pub fn frame(&self) -> &[u8] {
        &self.frame
    }
}

#[cfg(test)]
mod tests;
