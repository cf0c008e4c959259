//! Calls to dependencies: how many may be in progress, and when a call is placed, abandoned or repeated.

use super::Policy;
use crate::interface::{Action, Downstream, Effect, Micros, Outcome, RequestId};
use crate::request_state::{RequestPhase, RequestState};

/// Calls in progress per core if the server's share of the dependency is unknown.
const CALLS_PER_CORE: f64 = 4.0;
/// Fraction of the dependency share that is used on average: a dependency slows well before it fails.
const DEPENDENCY_USE: f64 = 0.2;
/// Added to that mean, in multiples of its square root: more of a small share lies idle by chance.
const DEPENDENCY_SPREAD: f64 = 0.3;
/// Largest fraction of the dependency share that is used.
const DEPENDENCY_MAX_USE: f64 = 0.5;
/// While calls go unanswered, a repeatable call is abandoned after this multiple of the slowest recent
/// successful call, doubled with each failure. At other times a timeout would discard slow answers.
const CALL_TIMEOUT: f64 = 2.0;
/// A request fails when more of its calls than this have failed.
const MAX_FAILED_CALLS: u32 = 3;

impl Policy {
    /// How many calls may be in progress: this server's part of the load that the shared dependency survives.
    pub(super) fn call_limit(&self) -> f64 {
        let share = self.settings.dependency_share;
        if self.settings.downstream == Downstream::Shared && share > 0.0 {
            let mean = share * DEPENDENCY_USE;
            (mean + DEPENDENCY_SPREAD * mean.sqrt()).min(share * DEPENDENCY_MAX_USE)
        } else {
            f64::from(self.settings.cores) * CALLS_PER_CORE
        }
    }

    /// Handles a running request that waits for its call to be placed.
    pub(super) fn call_requested(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if matches!(request.phase, RequestPhase::Running | RequestPhase::Pausing) {
            request.phase = RequestPhase::AwaitingCall;
            if !request.is_answered {
                self.awaiting_call.insert((request.order, id));
            }
            self.leave_cores(id);
        }
    }

    /// When a call is abandoned: at the due time of its request, or earlier while calls go unanswered.
    fn call_deadline(&self, now: Micros, request: &RequestState) -> Micros {
        let doubling = f64::from(1 << request.failed_calls.min(4));
        let timeout = self.expected.slowest_call[request.class] * CALL_TIMEOUT * doubling;
        let may_repeat = self.settings.classes[request.class].effect == Effect::Retryable;
        let is_timed = may_repeat && self.expected.unanswered_calls > 1.0;
        if is_timed { request.due.min(now + Micros::from_secs_f64(timeout)) } else { request.due }
    }

    /// Places waiting calls within the call limit, highest order first.
    pub(super) fn place_calls(&mut self, now: Micros, out: &mut Vec<Action>) {
        let limit = self.call_limit();
        while let Some(&(order, id)) = self.awaiting_call.last() {
            let calls = self.calls.count();
            // A limit that is not a whole number is kept as a mean over the dependency's window.
            if calls >= limit.ceil() || (calls >= limit.floor() && self.calls.mean > limit) {
                return;
            }
            self.awaiting_call.remove(&(order, id));
            let Some(request) = self.requests.get_mut(&id) else { continue };
            (request.phase, request.call_placed) = (RequestPhase::Calling, now);
            self.calls.in_progress += 1;
            let deadline = self.requests.get(&id).map_or(now, |request| self.call_deadline(now, request));
            out.push(Action::Call(id, deadline.max(now + Micros(1))));
        }
    }

    /// Handles the end of a call: the request continues, repeats the call or fails.
    pub(super) fn call_ended(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        duration: Micros,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.phase != RequestPhase::Calling {
            return;
        }
        self.calls.in_progress -= 1;
        if outcome == Outcome::Good {
            self.expected.call_succeeded(request.class, duration);
            self.enter_cores(id);
            return;
        }
        request.phase = RequestPhase::AwaitingCall;
        request.failed_calls += 1;
        if outcome == Outcome::Late {
            self.calls.abandon(now + self.settings.call_linger);
        }
        let effect = self.settings.classes[request.class].effect;
        let may_repeat = outcome.never_ran() || effect == Effect::Retryable;
        if !may_repeat || request.failed_calls > MAX_FAILED_CALLS || request.is_answered {
            self.fail(id, out);
        } else {
            self.awaiting_call.insert((request.order, id));
        }
    }
}
