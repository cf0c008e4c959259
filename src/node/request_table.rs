//! The table of a node's requests: their entries, their one answer and their removal.
//!
//! A request stays in the table until it is answered and its work has stopped. Each request is answered at most once.

use bytes::Bytes;
use tracing::debug;

use super::Node;
use super::deadlines::Deadline;
use super::message::{Answer, Output, ResponseRoute, Worker};
use crate::idempotency::Attempt;
use crate::interface::{ClassId, Event, Micros, RequestId};

/// The state of the work of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExecutionState {
    /// The work has not begun, or it has ended.
    Queued,
    /// The request waits for the result of another one.
    Joined,
    /// The work has begun, with a run or with calls before one.
    Running,
    /// The agent has confirmed that the run is paused; resuming it continues the same run.
    Paused,
}

/// One request in the table.
#[derive(Debug)]
pub(super) struct RequestEntry {
    pub(super) route: ResponseRoute,
    /// Names this attempt to the worker, the other processes of this node and the log.
    pub(super) name: String,
    pub(super) worker: Worker,
    /// Calls are made before the run.
    pub(super) needs_prefetch: bool,
    /// The calls before the run are in progress; the run has not begun.
    pub(super) is_prefetching: bool,
    pub(super) class: ClassId,
    /// The subject of a read, or the idempotency key of a keyed write.
    pub(super) key: Option<String>,
    /// Set for writes that are identified by name or by key.
    pub(super) attempt: Option<Attempt>,
    pub(super) body: Bytes,
    pub(super) arrived: Micros,
    /// The time until which the caller waits.
    pub(super) due: Micros,
    /// When the core answers in place of the decision module.
    pub(super) backstop: Micros,
    /// The request whose result this one may share.
    pub(super) repeats: Option<RequestId>,
    pub(super) is_answered: bool,
    pub(super) state: ExecutionState,
    /// The worker has been asked to stop the run.
    pub(super) is_stopping: bool,
    /// A lost command leaves open whether the run goes on; a notice about it decides.
    pub(super) is_in_doubt: bool,
    /// When the present state began.
    pub(super) since: Micros,
    /// The call that the run waits for.
    pub(super) requested_call: Option<RequestedCall>,
    /// Calls that the run has asked for, or prefetch stages reached.
    pub(super) call_count: u32,
    /// Anything has been sent for the latest of these calls.
    pub(super) was_call_sent: bool,
    /// The call in progress for this request.
    pub(super) call_id: Option<u64>,
    /// Requests that wait for the result of this one.
    pub(super) joiners: Vec<RequestId>,
}

/// A call that a run has asked for and not received a reply to.
#[derive(Debug)]
pub(super) struct RequestedCall {
    /// The number of the agent's notice; 0 for calls before the run.
    pub(super) notice_id: u64,
    pub(super) body: Bytes,
}

impl Node {
    /// Handles a caller that no longer waits for its request. Work that is shared or must not be repeated goes on.
    pub(super) fn cancel_request(&mut self, now: Micros, route: ResponseRoute, out: &mut Vec<Output>) {
        let Some(id) = self.by_route.remove(&route) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_answered = true;
        debug!(request = %request.name, run = ?request.state, "cancelled by its caller");
        self.counters.cancelled += 1;
        self.events.push(Event::Cancelled(id));
        self.cancel_prefetch(now, id, out);
        self.remove_if_settled(now, id, out);
    }

    /// Sends the answer of a request, unless it has been answered or its caller has left.
    pub(super) fn answer(&mut self, now: Micros, id: RequestId, answer: Answer, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.is_answered) else { return };
        request.is_answered = true;
        self.by_route.remove(&request.route);
        debug!(request = %request.name, run = ?request.state, "answered: {answer}");
        self.counters.count_answer(&answer);
        out.push(Output::Answer(request.route, answer, self.load_signal));
        self.cancel_prefetch(now, id, out);
    }

    /// Removes a request that is answered and not running. Requests that wait for its result fail, as the
    /// result can no longer come.
    pub(super) fn remove_if_settled(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let is_open =
            |request: &RequestEntry| !request.is_answered || request.state == ExecutionState::Running;
        if self.requests.get(&id).is_none_or(is_open) {
            return;
        }
        let Some(request) = self.requests.remove(&id) else { return };
        self.requests_per_class[request.class.0] -= 1;
        self.by_name.remove(&request.name);
        self.incumbent_queries.remove(&id);
        self.idempotency.settled(&request.name);
        self.deadlines.remove(&(request.backstop, Deadline::Answer(id)));
        for joiner in request.joiners {
            self.finish_join(now, joiner, None, out);
        }
    }
}
