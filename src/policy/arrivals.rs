//! Arriving requests: queueing, links to the requests that they repeat, and keys retained for repeats.

use super::{MEMORY_START, Policy, STOP_MARGIN, TICK_MS};
use crate::interface::{Action, Effect, Micros, Request, RequestId};
use crate::request_state::{RequestPhase, RequestState, update_mean};

/// Most callers that a cold server counts individually; bounds the memory that callers can use.
const MAX_CALLERS: usize = 1_024;

impl Policy {
    /// Queues a request that has just been read.
    pub(super) fn receive(&mut self, now: Micros, request: &Request) {
        if self.requests.contains_key(&request.id) {
            return;
        }
        let class = &self.settings.classes[request.class.0];
        let mut state = RequestState::new(now, request, class);
        if let Some(stop) = self.stop_at {
            state.due = state.due.min(stop - STOP_MARGIN);
        }
        state.retains_key = match class.effect {
            Effect::Dedup => true,
            Effect::Retryable => self.settings.fresh_for.0 > 0 && request.has_key && !request.is_write,
            Effect::Fragile => false,
        };
        update_mean(&mut self.mean_unread_s, request.unread_time.as_secs_f64());
        if self.callers.len() < MAX_CALLERS && self.speed(now) < 1.0 {
            self.callers.insert(request.caller);
        }
        self.requests_kb += state.kb;
        self.queue.insert(request.id, &state);
        self.requests.insert(request.id, state);
        self.reviews.schedule(request.id, now);
    }

    /// Decides whether a new request stays queued, joins the request that it repeats, or is answered at once.
    pub(super) fn link(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.phase != RequestPhase::Queued || request.is_answered {
            return;
        }
        // Requests that arrive after the grace of the drain never run.
        let grace = self.settings.drain_grace;
        if self.drain_requested.is_some_and(|requested| request.arrived >= requested + grace) {
            return self.refuse(id, false, out);
        }
        let effect = self.settings.classes[request.class].effect;
        if let Some(first) = request.repeats.filter(|first| *first != id) {
            match (effect, self.requests.get(&first).map(|first| first.phase)) {
                (Effect::Dedup, Some(RequestPhase::Queued)) => {
                    // Neither has run: the newer attempt replaces the older one, for which the caller no
                    // longer waits.
                    self.refuse(first, true, out);
                }
                (Effect::Dedup, None) if self.keyed_outcomes.get(&first) == Some(&false) => {
                    return self.fail(id, out);
                }
                (_, Some(RequestPhase::Queued)) => {
                    // A read waits behind the read it repeats.
                    if let Some(first) = self.requests.get_mut(&first) {
                        first.followers.push(id);
                    }
                    return;
                }
                _ => return self.join(id, first, out),
            }
        }
        self.retain_key_on_arrival(now, id, effect, out);
    }

    /// Retains the key of a new request. Keyed work is refused where memory does not suffice.
    fn retain_key_on_arrival(&mut self, now: Micros, id: RequestId, effect: Effect, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| request.retains_key) else { return };
        let memory_kb = self.memory_kb() + self.settings.key_entry_kb;
        let has_room = memory_kb <= self.settings.memory_kb * MEMORY_START;
        let margin = Micros(2 * self.settings.min_batch_gap.0) + Micros::from_millis(TICK_MS);
        match effect {
            Effect::Dedup if !has_room => self.refuse(id, false, out),
            Effect::Dedup => {
                let window = self.settings.classes[request.class].window;
                let span = (request.arrived + window + margin) - now;
                self.retain_key(now, id, span.max(margin), out);
            }
            _ if has_room => {
                let span = (request.due + self.settings.fresh_for) - now;
                self.retain_key(now, id, span, out);
            }
            _ => {}
        }
    }

    /// Answers a request with the outcome of `first`, the request that it repeats.
    pub(super) fn join(&mut self, id: RequestId, first: RequestId, out: &mut Vec<Action>) {
        self.leave_queue(id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = RequestPhase::Joined;
            out.push(Action::Join(id));
        }
        if let Some(first) = self.requests.get_mut(&first) {
            first.followers.push(id);
        }
        self.reviews.schedule(id, Micros(0));
    }

    /// Retains the key of a request for `span`.
    pub(super) fn retain_key(&mut self, now: Micros, id: RequestId, span: Micros, out: &mut Vec<Action>) {
        out.push(Action::RetainKey(id, span));
        // The entry counts towards memory for two batch gaps longer than it is retained, so that memory use
        // is never underestimated.
        self.retained_keys.insert(id, now + span + Micros(2 * self.settings.min_batch_gap.0));
    }

    /// Drops the key of a request that never ran.
    pub(super) fn release_key(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.retained_keys.remove(id) {
            out.push(Action::ForgetKey(id));
        }
    }
}
