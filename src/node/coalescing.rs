//! Requests that are answered with the result of another request.

use super::Node;
use super::message::{Answer, FailureReason, Output};
use super::request_table::ExecutionState;
use super::shared_reads::CachedRead;
use crate::idempotency::Verdict;
use crate::interface::{Effect, Event, Micros, Outcome, RequestId};

impl Node {
    /// Ends a request that waited for the result of another. A read that arrived when the result was no longer fresh
    /// fails: the join was decided before the age of the result was known.
    pub(super) fn finish_join(
        &mut self,
        now: Micros,
        id: RequestId,
        shared: Option<CachedRead>,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.state != ExecutionState::Joined {
            return;
        }
        let lag = now - request.since;
        let joiners = std::mem::take(&mut request.joiners);
        let is_read = self.settings.classes[request.class.0].effect == Effect::Retryable;
        let is_fresh =
            |read: &CachedRead| !is_read || request.arrived <= read.made_at + self.settings.fresh_for;
        let (outcome, answer) = match shared.clone().filter(is_fresh) {
            Some(read) => {
                self.counters.shared_results += u64::from(!request.is_answered);
                (Outcome::Good, Answer::Completed(read.result))
            }
            None => (Outcome::Bad, Answer::Failed(FailureReason::RunFailed)),
        };
        self.events.push(Event::RunEnded(id, outcome, lag));
        self.answer(now, id, answer, out);
        for joiner in joiners {
            self.finish_join(now, joiner, shared.clone(), out);
        }
        self.remove_if_settled(now, id, out);
    }

    /// Makes a queued request wait for the result of the request that it repeats, or answers it with that result if the
    /// result exists.
    pub(super) fn start_join(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.is_answered || request.state != ExecutionState::Queued {
            return;
        }
        request.state = ExecutionState::Joined;
        request.since = now;
        let first = request.repeats.filter(|first| *first != id);
        if let Some(first) = first.and_then(|first| self.requests.get_mut(&first)) {
            return first.joiners.push(id);
        }
        let shared = self.result_of_repeated(now, id, first);
        self.finish_join(now, id, shared, out);
    }

    /// The result that a request waits for when the request that produced it has left the table.
    fn result_of_repeated(&self, now: Micros, id: RequestId, first: Option<RequestId>) -> Option<CachedRead> {
        let request = self.requests.get(&id)?;
        let Some(attempt) = &request.attempt else { return self.shared_reads.result(first?) };
        match self.idempotency.verdict_by_key(attempt) {
            Verdict::Result(result) => Some(CachedRead { result, made_at: now }),
            _ => None,
        }
    }
}
