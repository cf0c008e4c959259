//! The deadlines of everything that the core waits for, in one sorted set.
//!
//! This module makes no decisions about requests. It turns an expired deadline into an event, an output or an answer.

use bytes::Bytes;

use super::message::{Answer, FailureReason, Output};
use super::{Node, SAMPLE_TIMEOUT};
use crate::interface::{Event, Gauges, Micros, Outcome, RequestId, TimerToken};

/// What happens when a deadline expires. The order of the variants is the order in which deadlines of one instant expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Deadline {
    /// A timer of the decision module fires.
    PolicyTimer(TimerToken),
    /// The agent has not sent the gauges for a timer in time.
    GaugeSample(u64),
    /// A deep health check has not ended in time.
    DeepCheck(u64),
    /// A request must be answered and the decision module has not done so.
    Answer(RequestId),
    /// The incumbent process has not answered a query about a write in time.
    IncumbentQuery(RequestId),
    /// A call to a dependency has run out of time.
    Call(u64),
    /// A shared read may have become stale.
    SharedRead(RequestId),
}

impl Node {
    /// Handles an expired deadline.
    pub(super) fn handle_deadline(&mut self, now: Micros, deadline: Deadline, out: &mut Vec<Output>) {
        match deadline {
            Deadline::PolicyTimer(token) => self.policy_timer_expired(now, token, out),
            Deadline::GaugeSample(sample) => {
                // The timers of the decision module must not wait for an agent that hangs or a link that is down.
                if let Some((token, _)) = self.gauge_samples.remove(&sample) {
                    self.events.push(Event::Timer(token, Gauges::default()));
                }
            }
            Deadline::DeepCheck(check) => {
                if let Some((route, _)) = self.deep_checks.remove(&check) {
                    out.push(Output::HealthResponse(route, false, self.load_signal));
                }
            }
            Deadline::Answer(id) => self.answer_deadline_expired(now, id, out),
            Deadline::Call(call_id) => self.call_deadline_expired(now, call_id, out),
            Deadline::IncumbentQuery(id) => self.incumbent_query_expired(now, id, out),
            Deadline::SharedRead(id) => {
                if let Some(until) = self.shared_reads.expire(now, id) {
                    self.deadlines.insert((until, Deadline::SharedRead(id)));
                }
            }
        }
    }

    /// Fires a timer of the decision module. If there is an agent, the timer first waits for the agent's gauges.
    fn policy_timer_expired(&mut self, now: Micros, token: TimerToken, out: &mut Vec<Output>) {
        if self.options.has_agent {
            self.next_tag += 1;
            let until = now + SAMPLE_TIMEOUT;
            self.gauge_samples.insert(self.next_tag, (token, until));
            self.deadlines.insert((until, Deadline::GaugeSample(self.next_tag)));
            out.push(Output::SampleGauges(format!("s{}", self.next_tag)));
        } else {
            let gauges = self.combine_gauges(now, None);
            self.events.push(Event::Timer(token, gauges));
        }
    }

    /// Answers a request that the decision module has not answered in time.
    fn answer_deadline_expired(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        if self.requests.get(&id).is_some_and(|request| !request.is_answered) {
            self.counters.backstop_answers += 1;
            self.answer(now, id, Answer::Failed(FailureReason::DeadlineExceeded), out);
            self.events.push(Event::Cancelled(id));
            self.remove_if_settled(now, id, out);
        }
        self.end_run_in_doubt(now, id, out);
    }

    fn call_deadline_expired(&mut self, now: Micros, call_id: u64, out: &mut Vec<Output>) {
        let request = self.calls.get(&call_id).and_then(|(id, _)| self.requests.get(id));
        if request.is_some_and(|request| request.is_prefetching) {
            // The replies received so far may suffice.
            out.push(Output::EndPrefetchStage(call_id));
        } else if self.calls.contains_key(&call_id) {
            out.push(Output::AbandonCall(call_id));
            self.call_ended(now, call_id, Outcome::Late, Bytes::new(), true, out);
        }
    }
}
