//! Calls that running requests make to dependencies, as the core accounts for them. Retries, time limits and the
//! choice of an endpoint belong to [`crate::dependencies`].

use bytes::Bytes;

use super::Node;
use super::deadlines::Deadline;
use super::message::Output;
use crate::interface::{Effect, Event, Micros, Outcome, RequestId};

impl Node {
    /// Places the call that a request waits for. The call is abandoned at `deadline`; a deadline of zero means the class's
    /// deadline, counted from now.
    pub(super) fn place_call(&mut self, now: Micros, id: RequestId, deadline: Micros, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.call_id.is_none()) else {
            return;
        };
        let Some(call) = &request.requested_call else { return };
        let class_settings = &self.settings.classes[request.class.0];
        let deadline = if deadline.0 == 0 { now + class_settings.deadline } else { deadline };
        self.next_call_id += 1;
        let call_id = self.next_call_id;
        request.call_id = Some(call_id);
        self.counters.calls += 1;
        self.calls.insert(call_id, (id, now));
        self.deadlines.insert((deadline, Deadline::Call(call_id)));
        let is_one_shot = class_settings.effect != Effect::Retryable;
        let (name, class) = (request.name.clone(), request.class);
        out.push(if request.is_prefetching {
            Output::Prefetch { call_id, name, class, deadline, body: request.body.clone() }
        } else {
            let call_index = request.call_count.saturating_sub(1);
            let (body, is_repeat) = (call.body.clone(), request.was_call_sent);
            Output::PlaceCall { call_id, name, class, call_index, deadline, body, is_one_shot, is_repeat }
        });
    }

    /// Handles the end of a call. A reply goes to the run at once; after a failure the decision module chooses what follows.
    pub(super) fn call_ended(
        &mut self,
        now: Micros,
        call_id: u64,
        outcome: Outcome,
        reply: Bytes,
        was_sent: bool,
        out: &mut Vec<Output>,
    ) {
        let Some((id, placed)) = self.calls.remove(&call_id) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        (request.call_id, request.was_call_sent) = (None, request.was_call_sent | was_sent);
        if outcome == Outcome::Good {
            let notice_id = request.requested_call.take().map_or(0, |call| call.notice_id);
            self.counters.successful_calls += 1;
            out.push(Output::DeliverReply { name: request.name.clone(), notice_id, reply });
        }
        self.events.push(Event::CallEnded(id, outcome, now - placed));
    }
}
