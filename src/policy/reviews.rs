//! Reviews of requests: requests that are due are answered, and those that can no longer be served are
//! dropped.

use super::{Policy, TICK_MS};
use crate::interface::{Action, Effect, Micros, RequestId, StopMode};
use crate::request_state::{RequestPhase, RequestState};

/// Multiple of the expected run that must fit into the time left, on idle cores.
const FIT_IDLE: f64 = 0.3;
/// The same for a first attempt on busy cores. A first attempt that is refused early may be served elsewhere,
/// so it is admitted only if nine runs in ten would end in time.
const FIT_BUSY: f64 = 2.4;
/// The same for a further attempt on busy cores. It is mostly lost if refused, so it is admitted if it is
/// more likely than not to end in time.
const FIT_BUSY_RETRY: f64 = 1.2;
/// Fraction of the time from arrival to due time that a request waits in the queue before it may be refused
/// as hopeless.
const MIN_WAIT: f64 = 0.05;
/// Fraction of memory in use above which queued requests are refused.
const MEMORY_QUEUE: f64 = 0.93;

impl Policy {
    /// The last time at which an answer has any value.
    fn useful_until(&self, request: &RequestState) -> Micros {
        let class = &self.settings.classes[request.class];
        let is_late_useful = class.late_weight > 0.0;
        request.due.min(if is_late_useful { request.arrived + class.deadline } else { request.objective })
    }

    /// Reviews the requests whose review is due.
    pub(super) fn review_requests(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(id) = self.reviews.pop_due(now) {
            match self.requests.get(&id).filter(|request| !request.is_answered).map(|request| request.phase) {
                Some(RequestPhase::Queued) => self.review_queued(now, id, out),
                Some(_) => self.review_begun(now, id, out),
                None => {}
            }
        }
    }

    /// Refuses a queued request that cannot end in time.
    fn review_queued(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let useful = self.useful_until(request);
        let fit_busy = if request.is_retry { FIT_BUSY_RETRY } else { FIT_BUSY };
        let fit = FIT_IDLE + (fit_busy - FIT_IDLE) * self.capacity.busy.powi(2).min(1.0);
        let needed = Micros::from_secs_f64(self.expected.run_of(request) * fit);
        if now + Micros::from_millis(2 * TICK_MS) >= request.due || now + needed >= useful {
            return self.refuse_hopeless(id, out);
        }
        let next = (useful - needed).min(request.due - Micros::from_millis(2 * TICK_MS));
        self.reviews.schedule(id, next.max(now + Micros(1)));
    }

    /// Fails a request that is due, or one whose answer has lost its value and whose work can be stopped.
    fn review_begun(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let useful = self.useful_until(request);
        let last_answer = request.due - Micros::from_millis(2 * TICK_MS);
        let can_stop = request.phase != RequestPhase::Joined
            && (self.settings.stop_mode != StopMode::None || request.phase != RequestPhase::Running)
            && self.settings.classes[request.class].effect == Effect::Retryable;
        if now + Micros::from_millis(2 * TICK_MS) >= request.due || (can_stop && now >= useful) {
            return self.fail(id, out);
        }
        let next = if can_stop { useful.min(last_answer) } else { last_answer };
        self.reviews.schedule(id, next.max(now + Micros(1)));
    }

    /// Refuses, lowest rank first, requests that have waited and cannot start in time, and requests for which
    /// memory does not suffice.
    pub(super) fn shed_queue(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(id) = self.queue.lowest() {
            let Some(request) = self.requests.get(&id) else { break };
            let useful_s = (self.useful_until(request) - now).as_secs_f64();
            let left_s = useful_s - self.expected.run_of(request);
            let min_wait = Micros::from_secs_f64((request.due - request.arrived).as_secs_f64() * MIN_WAIT);
            if now < request.arrived + min_wait || self.queue_time_s() <= left_s.max(0.0) {
                break;
            }
            self.refuse_hopeless(id, out);
        }
        while self.memory_kb() > self.settings.memory_kb * MEMORY_QUEUE {
            let Some(id) = self.queue.lowest() else { break };
            self.refuse(id, false, out);
        }
    }
}
