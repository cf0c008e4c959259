//! One step of the decision module, and how each of its actions is carried out.

use super::deadlines::Deadline;
use super::message::{Answer, FailureReason, Output};
use super::prefetch::NOT_RUN;
use super::request_table::{ExecutionState, RequestEntry};
use super::{Node, shared_reads};
use crate::interface::{Action, Effect, Micros, RequestId};

/// A failure this close to the caller's deadline, or after it, is reported as an expired deadline.
const DEADLINE_MARGIN: Micros = Micros::from_millis(100);

impl Node {
    /// Passes all collected events to the decision module and carries out its actions in order.
    pub(super) fn step_policy(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(policy) = self.policy.as_mut() else { return };
        self.counters.policy_steps += 1;
        self.last_step = now;
        let events = std::mem::take(&mut self.events);
        let mut actions = std::mem::take(&mut self.actions);
        if let Err(error) = policy.step(now, &events, &mut actions) {
            // Each event is validated before it is queued. If an invalid one gets here all the same, the backstop answers the
            // requests of its batch.
            out.push(Output::Log(format!("the decision module rejected a batch of events: {error}")));
        }
        for action in actions.drain(..) {
            self.carry_out(now, action, out);
        }
        // The emptied vector keeps its allocation for the next step.
        self.actions = actions;
    }

    fn carry_out(&mut self, now: Micros, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Run(id) => self.run(now, id, out),
            Action::Call(id, deadline) => self.place_call(now, id, deadline, out),
            Action::SkipCall(id) => self.skip_call(now, id, out),
            Action::Fail(id) => self.fail_request(now, id, out),
            Action::Refuse { id, is_final, retry_after } => {
                self.refuse_request(now, id, Answer::Refused { retry_after, is_final }, out);
            }
            Action::Stop(id) => self.stop_run(now, id, out),
            Action::Join(id) => self.start_join(now, id, out),
            Action::RetainKey(id, span) => self.share_read(now, id, span),
            Action::ForgetKey(id) => self.shared_reads.forget(id),
            Action::Health { stored, good } => {
                self.answers_health_from_store = stored;
                self.is_healthy = good && !self.is_draining;
                out.push(Output::HealthChanged(self.is_healthy));
            }
            Action::SetLoadSignal(value) => self.load_signal = Some(value),
            Action::CloseIdleConnections(idle_time) => out.push(Output::CloseIdleConnections(idle_time)),
            Action::Timer(token, after) => {
                self.deadlines.insert((now + after, Deadline::PolicyTimer(token)));
            }
            Action::Log(text) => out.push(Output::Log(text)),
        }
    }

    fn skip_call(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.is_prefetching {
            return self.skip_prefetch_stage(now, id, out);
        }
        if let Some(call) = request.requested_call.take() {
            out.push(Output::SkipCall(request.name.clone(), call.notice_id));
        }
    }

    fn fail_request(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let request = self.requests.get(&id);
        let answer = if request.is_some_and(|request| request.is_prefetching) {
            NOT_RUN
        } else if request.is_some_and(|request| now + DEADLINE_MARGIN >= request.due) {
            Answer::Failed(FailureReason::DeadlineExceeded)
        } else {
            Answer::Failed(FailureReason::RunFailed)
        };
        self.answer(now, id, answer, out);
        self.remove_if_settled(now, id, out);
    }

    /// Refuses a request. A refusal states that nothing ran, so a request whose run has begun fails instead; the
    /// decision module does not refuse such requests.
    fn refuse_request(&mut self, now: Micros, id: RequestId, refusal: Answer, out: &mut Vec<Output>) {
        let has_run_begun = |request: &RequestEntry| {
            matches!(request.state, ExecutionState::Running | ExecutionState::Paused)
                && !request.is_prefetching
        };
        let has_run = self.requests.get(&id).is_some_and(has_run_begun);
        let answer = if has_run { Answer::Failed(FailureReason::RunFailed) } else { refusal };
        self.answer(now, id, answer, out);
        self.remove_if_settled(now, id, out);
    }

    fn stop_run(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.is_prefetching {
            self.cancel_prefetch(now, id, out);
        } else if request.state == ExecutionState::Running {
            request.is_stopping = true;
            out.push(Output::StopRun(request.worker, request.name.clone()));
        }
    }

    /// Lets other requests share the result of a read for `span`. Results of writes are kept by the idempotency store,
    /// independently of this action.
    fn share_read(&mut self, now: Micros, id: RequestId, span: Micros) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.class.0];
        if class.effect != Effect::Retryable {
            return;
        }
        let subject = request.key.clone().map(|key| (request.route.front, class.name.clone(), key));
        let until = now + span;
        self.shared_reads.insert_or_renew(id, subject, until);
        self.deadlines.insert((until + shared_reads::LATE_READ_MARGIN, Deadline::SharedRead(id)));
    }
}
