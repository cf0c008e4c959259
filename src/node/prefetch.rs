//! Calls that are made before a run begins, in stages.
//!
//! To the decision module each stage is one call of a run that has begun. The worker gets nothing until the last stage
//! has ended, so a request that ends before then is answered as one that never ran.

use bytes::Bytes;

use super::Node;
use super::message::{Answer, Output};
use super::request_table::{ExecutionState, RequestedCall};
use crate::interface::{Event, Micros, Outcome, RequestId};

/// The answer to a request whose run never began because a call before it failed. The front adds its own minimum delay.
pub(super) const NOT_RUN: Answer = Answer::Refused { retry_after: Micros(0), is_final: false };

impl Node {
    /// Makes a request that the decision module has started wait for its first prefetch stage.
    pub(super) fn begin_prefetch(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_prefetching = true;
        request.requested_call = Some(RequestedCall { notice_id: 0, body: Bytes::new() });
        self.counters.prefetches += 1;
        self.events.push(Event::CallRequested(id));
    }

    /// Handles the end of a stage. The next stage or the run follows; after a failure the decision module chooses.
    pub(super) fn prefetch_stage_ended(
        &mut self,
        now: Micros,
        call_id: u64,
        outcome: Outcome,
        has_more: bool,
        out: &mut Vec<Output>,
    ) {
        let Some((id, placed)) = self.calls.remove(&call_id) else { return };
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.is_prefetching) else {
            return;
        };
        request.call_id = None;
        self.events.push(Event::CallEnded(id, outcome, now - placed));
        if outcome != Outcome::Good {
            return;
        }
        self.counters.successful_calls += 1;
        if has_more {
            request.call_count = request.call_count.saturating_add(1);
            self.events.push(Event::CallRequested(id));
        } else {
            request.requested_call = None;
            request.is_prefetching = false;
            self.launch(now, id, out);
        }
    }

    /// Skips a stage, as the decision module has chosen. The stage starts and ends at once, so that only optional replies are
    /// missing.
    pub(super) fn skip_prefetch_stage(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.next_call_id += 1;
        let call_id = self.next_call_id;
        request.call_id = Some(call_id);
        self.calls.insert(call_id, (id, now));
        let (name, class, body) = (request.name.clone(), request.class, request.body.clone());
        out.push(Output::Prefetch { call_id, name, class, deadline: now, body });
        out.push(Output::EndPrefetchStage(call_id));
    }

    /// Ends the prefetch of a request that is answered, cancelled or stopped. Its run never began.
    pub(super) fn cancel_prefetch(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.is_prefetching) else {
            return;
        };
        request.is_prefetching = false;
        request.requested_call = None;
        request.state = ExecutionState::Queued;
        let lag = now - request.since;
        if let Some(call_id) = request.call_id.take() {
            self.calls.remove(&call_id);
        }
        let (name, joiners) = (request.name.clone(), std::mem::take(&mut request.joiners));
        out.push(Output::CancelPrefetch(name));
        self.events.push(Event::RunEnded(id, Outcome::Cancelled, lag));
        for joiner in joiners {
            self.finish_join(now, joiner, None, out);
        }
    }
}
