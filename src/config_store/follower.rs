//! The state of a node that follows the newest version: when it sends which request, and how it processes responses.
//!
//! The caller passes in advertisements and responses, sends what [`Follower::poll_request`] returns, builds the settings of
//! a version that is ready on another thread, and then reports whether the version is in force
//! ([`Follower::confirm_adopted`]) or can't be ([`Follower::reject_ready`]).
//!
//! Invariants: the revision in force only increases; a version is put in force completely or not at all; at most one
//! request is in flight; the time between requests is bounded and jittered. There is no I/O and no clock: callers pass the
//! time.

use std::collections::VecDeque;

use bytes::Bytes;

use super::change_set::ChangeSet;
use super::error::{ChangeError, DecodeError};
use super::fetch::{Advertised, FetchOutcome, FetchRequest, FetchResponse, FetchSchedule, VersionRejected};
use super::identity::Revision;
use super::snapshot_codec::{AssemblyProgress, SnapshotAssembler};
use super::transaction::Transaction;
use super::version::ConfigVersion;
use crate::interface::Micros;

/// Records of a change that are processed in one step.
const RECORDS_PER_STEP: usize = 256;
/// Most changes that are accepted in one response; replicas send far fewer.
const CHANGES_PER_RESPONSE_MAX: usize = 4_096;
/// Largest exponent of the retry wait, against overflow: [`FetchSchedule::retry_max`] limits the wait long before.
const RETRY_EXPONENT_MAX: u32 = 16;

/// A request without a response so far.
#[derive(Clone, Copy, Debug)]
struct InFlightRequest {
    request: FetchRequest,
    times_out_at: Micros,
    /// The newest advertised version when the request was sent.
    newest: Revision,
}

/// The remaining changes of a response, and the version after the changes applied so far.
#[derive(Debug)]
struct ChangesInProgress {
    version: ConfigVersion,
    remaining: VecDeque<ChangeSet>,
    transaction: Option<Box<Transaction>>,
}

/// The unprocessed part of a response.
#[derive(Debug)]
enum ResponseInProgress {
    Changes(ChangesInProgress),
    Chunks(VecDeque<Bytes>),
}

/// The state of one node.
#[derive(Debug)]
pub struct Follower {
    schedule: FetchSchedule,
    jitter_seed: u64,
    jitter_draws: u64,
    in_force: ConfigVersion,
    newest: Option<Advertised>,
    /// When the version in force was last known to be the newest.
    current_at: Option<Micros>,
    /// When to send the next request, where a later version is known.
    request_at: Option<Micros>,
    in_flight: Option<InFlightRequest>,
    /// The newest advertised version when the response that is in progress or ready was requested.
    target: Revision,
    response: Option<ResponseInProgress>,
    ready: Option<ConfigVersion>,
    /// Failed requests since the last that succeeded.
    consecutive_failures: u32,
    /// Whether a snapshot has to be fetched, as changes can't be applied or are no longer retained.
    needs_snapshot: bool,
    assembler: Option<SnapshotAssembler>,
    /// This version and those before it are not put in force any more.
    rejected_up_to: Option<Revision>,
    /// A version that later changes are applied to, but that is not put in force: it is rejected or not the advertised one.
    intermediate: Option<ConfigVersion>,
    rejection: Option<VersionRejected>,
}

impl Follower {
    /// A follower with a version in force. `jitter_seed` must differ between processes, so that their requests spread in
    /// time.
    #[must_use]
    pub fn new(schedule: FetchSchedule, jitter_seed: u64, in_force: ConfigVersion) -> Follower {
        Follower {
            schedule,
            jitter_seed,
            jitter_draws: 0,
            target: in_force.revision(),
            in_force,
            newest: None,
            current_at: None,
            request_at: None,
            in_flight: None,
            response: None,
            ready: None,
            consecutive_failures: 0,
            needs_snapshot: false,
            assembler: None,
            rejected_up_to: None,
            intermediate: None,
            rejection: None,
        }
    }

    /// A random duration below `limit`: SplitMix64 over the process's seed and the number of draws.
    fn draw_jitter(&mut self, limit: Micros) -> Micros {
        self.jitter_draws = self.jitter_draws.wrapping_add(1);
        let mut bits = self.jitter_seed.wrapping_add(self.jitter_draws.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^= bits >> 31;
        Micros(((u128::from(bits) * u128::from(limit.0)) >> 64) as u64)
    }

    /// Processes a replica's advertisement of an agreed version. A version older than the newest known one comes from a
    /// replica that lags, and is ignored.
    pub fn receive_advertisement(&mut self, now: Micros, advertised: Advertised) {
        let in_force = self.in_force.revision();
        if advertised.revision == in_force {
            if advertised.digest != self.in_force.digest() {
                // Revisions only increase, so only a snapshot of a later version repairs this.
                let digest = self.in_force.digest();
                self.rejection = Some(VersionRejected::Diverged(in_force, digest, advertised.digest));
                self.needs_snapshot = true;
                return;
            }
            if !self.is_behind() {
                self.current_at = Some(now);
            }
        }
        if self.newest.is_none_or(|newest| advertised.revision > newest.revision) {
            self.newest = Some(advertised);
            if self.is_behind() && self.request_at.is_none() {
                self.request_at = Some(now + self.draw_jitter(self.schedule.spread));
            }
        }
    }

    /// Whether there is a later version that may be put in force.
    fn is_behind(&self) -> bool {
        self.newest.map(|newest| newest.revision) > self.settled_revision()
    }

    /// The latest version that is in force or rejected.
    fn settled_revision(&self) -> Option<Revision> {
        self.rejected_up_to.max(Some(self.in_force.revision()))
    }

    /// The version that the next changes are applied to.
    fn changes_base(&self) -> &ConfigVersion {
        self.intermediate.as_ref().unwrap_or(&self.in_force)
    }

    /// The request to send now; `None` while one is in flight, a response is in progress, or nothing is due.
    #[must_use]
    pub fn poll_request(&mut self, now: Micros) -> Option<FetchRequest> {
        if self.in_flight.is_some_and(|in_flight| now >= in_flight.times_out_at) {
            self.fail_request(now);
        }
        let newest = self.newest?.revision;
        if self.in_flight.is_some() || self.response.is_some() || self.ready.is_some() || !self.is_behind() {
            return None;
        }
        if self.request_at.is_some_and(|request_at| now < request_at) {
            return None;
        }
        self.request_at = None;
        let request = self.next_request();
        let times_out_at = now + self.schedule.response_timeout;
        self.in_flight = Some(InFlightRequest { request, times_out_at, newest });
        Some(request)
    }

    fn next_request(&self) -> FetchRequest {
        let since = self.changes_base().revision();
        if self.needs_snapshot || since == Revision::default() {
            let assembler = self.assembler.as_ref();
            FetchRequest::Chunks {
                revision: assembler.and_then(SnapshotAssembler::revision),
                from_chunk: assembler.map_or(0, SnapshotAssembler::next_chunk),
            }
        } else {
            FetchRequest::Changes { since }
        }
    }

    /// The time of the next call of [`Follower::poll_request`] that may have an effect, if nothing is received before.
    #[must_use]
    pub fn next_timeout(&self) -> Option<Micros> {
        if let Some(in_flight) = self.in_flight {
            return Some(in_flight.times_out_at);
        }
        let is_waiting = self.response.is_none() && self.ready.is_none() && self.is_behind();
        is_waiting.then(|| self.request_at.unwrap_or_default())
    }

    /// Ends a request that failed or whose response had no use, and schedules the next one with exponential backoff and
    /// jitter.
    fn fail_request(&mut self, now: Micros) {
        (self.in_flight, self.response) = (None, None);
        let factor = 1 << self.consecutive_failures.min(RETRY_EXPONENT_MAX);
        let wait = self.schedule.retry_initial.0.saturating_mul(factor).min(self.schedule.retry_max.0);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let half = Micros(wait / 2);
        self.request_at = Some(now + half + self.draw_jitter(Micros(wait - half.0)));
    }

    /// Takes the response to the request in flight, or its failure.
    pub fn receive_response(&mut self, now: Micros, response: FetchResponse) -> FetchOutcome {
        let Some(in_flight) = self.in_flight.take() else { return FetchOutcome::Ignored };
        self.target = in_flight.newest;
        match (in_flight.request, response) {
            (FetchRequest::Changes { .. }, FetchResponse::Changes(changes))
                if !changes.is_empty() && changes.len() <= CHANGES_PER_RESPONSE_MAX =>
            {
                let version = self.changes_base().clone();
                self.continue_changes(version, changes.into(), None)
            }
            (FetchRequest::Chunks { .. }, FetchResponse::Chunks(chunks)) if !chunks.is_empty() => {
                self.response = Some(ResponseInProgress::Chunks(chunks.into()));
                FetchOutcome::InProgress
            }
            (FetchRequest::Changes { .. }, FetchResponse::SnapshotRequired) => {
                (self.needs_snapshot, self.assembler) = (true, None);
                self.request_at = Some(now);
                FetchOutcome::RequestAgain
            }
            (FetchRequest::Chunks { .. }, FetchResponse::SnapshotExpired) => {
                self.assembler = None;
                self.request_at = Some(now + self.draw_jitter(self.schedule.retry_initial));
                FetchOutcome::RequestAgain
            }
            (_, FetchResponse::RetryAfter(wait)) => {
                // The replica works but is overloaded: the wait is the one it asks for, bounded and jittered, without
                // backoff.
                let wait = wait.min(self.schedule.retry_max);
                self.request_at = Some(now + wait + self.draw_jitter(self.schedule.retry_initial));
                FetchOutcome::RequestAgain
            }
            _ => {
                self.fail_request(now);
                FetchOutcome::RequestAgain
            }
        }
    }

    /// Processes a bounded part of a response: up to a few hundred records. To be called again while it returns
    /// [`FetchOutcome::InProgress`].
    pub fn process_response(&mut self, now: Micros) -> FetchOutcome {
        match self.response.take() {
            None => FetchOutcome::Ignored,
            Some(ResponseInProgress::Changes(changes)) => self.process_changes(now, changes),
            Some(ResponseInProgress::Chunks(chunks)) => self.process_chunk(now, chunks),
        }
    }

    fn continue_changes(
        &mut self,
        version: ConfigVersion,
        remaining: VecDeque<ChangeSet>,
        transaction: Option<Box<Transaction>>,
    ) -> FetchOutcome {
        let changes = ChangesInProgress { version, remaining, transaction };
        self.response = Some(ResponseInProgress::Changes(changes));
        FetchOutcome::InProgress
    }

    fn process_changes(&mut self, now: Micros, changes: ChangesInProgress) -> FetchOutcome {
        let ChangesInProgress { version, mut remaining, transaction } = changes;
        let mut transaction = match transaction {
            Some(transaction) => transaction,
            None => {
                let Some(change) = remaining.pop_front() else {
                    return self.handle_fetched_version(now, version);
                };
                if change.base < version.revision() {
                    // The change is a duplicate, or an earlier response contained it.
                    return self.continue_changes(version, remaining, None);
                }
                match Transaction::begin(&version, change) {
                    Ok(transaction) => Box::new(transaction),
                    Err(error) => return self.reject_change(now, version, error),
                }
            }
        };
        match transaction.step(RECORDS_PER_STEP) {
            Ok(None) => self.continue_changes(version, remaining, Some(transaction)),
            Ok(Some((next, _))) => self.continue_changes(next, remaining, None),
            Err(error) => self.reject_change(now, version, error),
        }
    }

    /// Handles a change that can't be applied: the changes before it remain applied, and a snapshot is fetched next, unless
    /// changes are merely missing.
    fn reject_change(&mut self, now: Micros, version: ConfigVersion, error: ChangeError) -> FetchOutcome {
        if !matches!(error, ChangeError::Gap { .. }) {
            let revision = Revision(version.revision().0.saturating_add(1));
            self.rejection = Some(VersionRejected::Change(revision, error));
            self.needs_snapshot = true;
        }
        self.fail_request(now);
        if version.revision() > self.changes_base().revision() {
            self.handle_fetched_version(now, version)
        } else {
            FetchOutcome::RequestAgain
        }
    }

    /// Handles the version that results from a response's changes or chunks.
    fn handle_fetched_version(&mut self, now: Micros, version: ConfigVersion) -> FetchOutcome {
        let revision = version.revision();
        if revision <= self.in_force.revision() {
            self.fail_request(now);
            return FetchOutcome::RequestAgain;
        }
        // Nodes may be unable to run with a version before the advertised one: it only serves as the base of later changes.
        let is_rejected = self.rejected_up_to.is_some_and(|rejected| revision <= rejected);
        if revision < self.target || is_rejected {
            if self.intermediate.as_ref().is_some_and(|known| known.revision() >= revision) {
                self.fail_request(now);
            }
            self.intermediate = Some(version);
            return FetchOutcome::RequestAgain;
        }
        let advertised = self.newest.filter(|newest| newest.revision == revision);
        if let Some(advertised) = advertised.filter(|newest| newest.digest != version.digest()) {
            let digest = version.digest();
            self.rejection = Some(VersionRejected::Diverged(revision, digest, advertised.digest));
            self.needs_snapshot = true;
            self.fail_request(now);
            return FetchOutcome::RequestAgain;
        }
        self.ready = Some(version);
        FetchOutcome::Ready
    }

    fn process_chunk(&mut self, now: Micros, mut remaining: VecDeque<Bytes>) -> FetchOutcome {
        let Some(chunk) = remaining.pop_front() else {
            // The response is complete; the next part of the snapshot is requested at once.
            (self.request_at, self.consecutive_failures) = (Some(now), 0);
            return FetchOutcome::RequestAgain;
        };
        let assembler = self.assembler.get_or_insert_default();
        let progress = assembler.add_chunk(&chunk);
        let revision = assembler.revision();
        match progress {
            Ok(AssemblyProgress::NextChunk(_)) if revision <= self.settled_revision() => {
                // The snapshot is outdated: the replica that sent it lags.
                self.assembler = None;
                self.fail_request(now);
                FetchOutcome::RequestAgain
            }
            Ok(AssemblyProgress::NextChunk(_)) => {
                self.response = Some(ResponseInProgress::Chunks(remaining));
                FetchOutcome::InProgress
            }
            Ok(AssemblyProgress::Complete(version)) => {
                (self.assembler, self.needs_snapshot) = (None, false);
                self.handle_fetched_version(now, *version)
            }
            Err(error) => self.reject_snapshot(now, revision, error),
        }
    }

    fn reject_snapshot(
        &mut self,
        now: Micros,
        revision: Option<Revision>,
        error: DecodeError,
    ) -> FetchOutcome {
        if !matches!(error, DecodeError::Length | DecodeError::Checksum) {
            self.assembler = None;
        }
        if error == DecodeError::InvalidVersion {
            // The same chunks would fail again, so this version is not fetched again.
            self.rejected_up_to = self.rejected_up_to.max(revision.or(Some(self.target)));
        }
        self.rejection = Some(VersionRejected::Snapshot(error));
        self.fail_request(now);
        FetchOutcome::RequestAgain
    }

    /// The version that is ready to be put in force, if any.
    #[must_use]
    pub fn ready(&self) -> Option<&ConfigVersion> {
        self.ready.as_ref()
    }

    /// Confirms that the version that was ready is in force. Returns the previous one: after a snapshot the two share no
    /// records, so the caller can drop it on a thread that serves no requests.
    pub fn confirm_adopted(&mut self, now: Micros) -> Option<ConfigVersion> {
        let version = self.ready.take()?;
        if version.revision() <= self.in_force.revision() {
            return None;
        }
        let previous = std::mem::replace(&mut self.in_force, version);
        (self.consecutive_failures, self.needs_snapshot, self.rejection) = (0, false, None);
        (self.intermediate, self.assembler) = (None, None);
        self.rejected_up_to = self.rejected_up_to.filter(|rejected| *rejected > self.in_force.revision());
        self.schedule_next(now);
        Some(previous)
    }

    /// Records that the version that was ready can't be put in force. It is not requested again; later versions are.
    pub fn reject_ready(&mut self, now: Micros, reason: String) {
        let Some(version) = self.ready.take() else { return };
        let revision = version.revision();
        self.rejection = Some(VersionRejected::Settings(revision, reason));
        self.rejected_up_to = self.rejected_up_to.max(Some(revision));
        self.intermediate = Some(version);
        self.schedule_next(now);
    }

    /// Schedules the next request if a newer version is known: at once where a response contained only a part, otherwise
    /// with jitter.
    fn schedule_next(&mut self, now: Micros) {
        if !self.is_behind() {
            self.request_at = None;
            if self.newest.is_some_and(|newest| newest.revision == self.in_force.revision()) {
                self.current_at = Some(now);
            }
        } else if self.settled_revision() < Some(self.target) {
            self.request_at = Some(now);
        } else if self.request_at.is_none() {
            self.request_at = Some(now + self.draw_jitter(self.schedule.spread));
        }
    }

    /// The version in force.
    #[must_use]
    pub fn in_force(&self) -> &ConfigVersion {
        &self.in_force
    }

    /// The newest version that was advertised.
    #[must_use]
    pub fn newest(&self) -> Option<Advertised> {
        self.newest
    }

    /// Why the last rejected version could not be put in force; `None` again once a later version is in force.
    #[must_use]
    pub fn rejection(&self) -> Option<&VersionRejected> {
        self.rejection.as_ref()
    }

    /// The time since the version in force was last known to be the newest; `None` if it never was.
    #[must_use]
    pub fn time_since_current(&self, now: Micros) -> Option<Micros> {
        self.current_at.map(|at| now - at)
    }
}
