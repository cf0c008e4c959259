//! Answers without a result: refusals, failures, and the answers that must be given before the process is
//! stopped.

use super::{Policy, STOP_MARGIN, TICK_MS};
use crate::interface::{Action, Effect, Micros, RequestId, StopMode};
use crate::request_state::{RequestPhase, update_mean};

/// The fraction of refusals that may be retried elsewhere is one minus this multiple of the fraction refused
/// here.
const ELSEWHERE_REDUCTION: f64 = 2.0;

impl Policy {
    /// Refuses a request that cannot be served in time here, and lets callers retry some of them elsewhere.
    ///
    /// A slow machine should pass work on, but an overloaded fleet should not read the same requests again on
    /// every server. The fraction refused here distinguishes the two: the greater it is, the fewer refusals
    /// may be retried. A slow machine that refuses nearly everything therefore passes on less than it should.
    pub(super) fn refuse_hopeless(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.elsewhere_credit += (1.0 - ELSEWHERE_REDUCTION * self.refused_share).max(0.0);
        let may_retry_elsewhere = self.elsewhere_credit >= 1.0;
        self.elsewhere_credit -= f64::from(u8::from(may_retry_elsewhere));
        self.refuse(id, !may_retry_elsewhere, out);
    }

    /// Refuses a queued request, with advice when the caller should retry.
    pub(super) fn refuse(&mut self, id: RequestId, is_final: bool, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.phase != RequestPhase::Queued || request.is_answered {
            return;
        }
        update_mean(&mut self.refused_share, 1.0);
        let wait = Micros::from_secs_f64(self.queue_time_s()).max(Micros::from_millis(TICK_MS));
        // A draining server accepts no more requests. Callers are advised to wait until it has stopped, as
        // otherwise they would retry every few ms.
        let stop = self.stop_at.filter(|_| self.drain_requested.is_some());
        let wait = stop.map_or(wait, |stop| wait.max(stop - self.last_step));
        let retry_after = wait.min(self.settings.retry_after_max);
        out.push(Action::Refuse { id, is_final, retry_after });
        self.release_key(id, out);
        self.remove(id);
    }

    /// Fails a request. Running work that cannot be stopped continues, and counts as load until it ends.
    pub(super) fn fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.report_failure(id, out);
        let Some(request) = self.requests.get(&id) else { return };
        let (phase, order, class) = (request.phase, request.order, request.class);
        if phase == RequestPhase::Calling {
            self.expected.call_unanswered(class, self.last_step - request.call_placed);
        }
        match phase {
            RequestPhase::Queued => {
                self.release_key(id, out);
                self.remove(id);
            }
            RequestPhase::Joined | RequestPhase::Paused => self.remove(id),
            RequestPhase::Running if self.settings.stop_mode != StopMode::None => {
                // Keyed work continues because a repeat will need its outcome, and so does work that other
                // requests have joined.
                let is_retryable = self.settings.classes[class].effect == Effect::Retryable;
                if is_retryable && !self.has_joined_followers(id) {
                    out.push(Action::Stop(id));
                }
            }
            _ => {
                self.awaiting_call.remove(&(order, id));
            }
        }
    }

    fn has_joined_followers(&self, id: RequestId) -> bool {
        let is_joined = |id| self.requests.get(id).is_some_and(|r| r.phase == RequestPhase::Joined);
        self.requests.get(&id).is_some_and(|request| request.followers.iter().any(is_joined))
    }

    /// Answers a request with a failure, unless it is answered.
    pub(super) fn report_failure(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(request) = self.requests.get_mut(&id).filter(|request| !request.is_answered) {
            request.is_answered = true;
            out.push(Action::Fail(id));
        }
    }

    /// Handles a request whose caller has left: like a failure, but without an answer.
    pub(super) fn cancel(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_answered = true;
            self.fail(id, out);
        }
    }

    /// Starts a drain: health checks fail from now on, and the process is stopped at `stop`.
    pub(super) fn drain(&mut self, now: Micros, stop: Micros, out: &mut Vec<Action>) {
        self.drain_requested.get_or_insert(now);
        out.push(Action::Health { stored: true, good: false });
        out.push(Action::Log(format!("drain: {} queued, {} begun", self.queue.len(), self.begun)));
        self.stop_by(now, stop);
    }

    /// Moves due times so that every request is answered before the process is stopped at `stop`.
    pub(super) fn stop_by(&mut self, now: Micros, stop: Micros) {
        self.stop_at.get_or_insert(stop);
        let last_answer = stop - STOP_MARGIN;
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.reviews.schedule(id, now);
            if let Some(request) = self.requests.get_mut(&id) {
                request.due = request.due.min(last_answer);
            }
        }
    }
}
