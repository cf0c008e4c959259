//! Runs of requests: started, paused, resumed and ended.
//!
//! [`Node::launch`] is the only function that sends a run to a worker. It consults the idempotency store, so that no write
//! runs twice.

use bytes::Bytes;
use tracing::debug;

use super::message::{Answer, FailureReason, Output, Worker};
use super::request_table::ExecutionState;
use super::shared_reads::CachedRead;
use super::{Node, intake};
use crate::idempotency::{LaunchWithheld, Verdict};
use crate::interface::{Event, Micros, Outcome, RequestId, StopMode};

/// How a run ended, as its worker reports it.
pub(super) struct RunEnd {
    pub(super) outcome: Outcome,
    /// How long the run took, if the worker measures that.
    pub(super) duration: Option<Micros>,
    /// Empty unless the outcome is good.
    pub(super) result: Bytes,
}

impl RunEnd {
    /// The end of a run that no worker has begun.
    pub(super) fn not_begun() -> RunEnd {
        RunEnd { outcome: Outcome::Moot, duration: None, result: Bytes::new() }
    }
}

impl Node {
    /// Starts a queued request, with its prefetch if it needs one, or resumes a paused run.
    pub(super) fn run(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.is_answered) else {
            return self.events.push(Event::RunEnded(id, Outcome::Moot, Micros(0)));
        };
        let was_paused = request.state == ExecutionState::Paused;
        if !was_paused && request.state != ExecutionState::Queued {
            return;
        }
        request.state = ExecutionState::Running;
        request.since = now;
        if was_paused {
            self.counters.resumed_runs += 1;
            debug!(request = %request.name, "resumed");
            return out.push(Output::ResumeRun(request.name.clone()));
        }
        if request.needs_prefetch {
            return self.begin_prefetch(id);
        }
        self.launch(now, id, out);
    }

    /// Hands the work of a request to its worker.
    pub(super) fn launch(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.attempt.is_some()
            && let Err(reason) = self.idempotency.launch(&request.name)
        {
            return self.withhold_launch(now, id, &reason, out);
        }
        debug!(request = %request.name, "launched");
        self.counters.launched += 1;
        self.slots_in_use += u32::from(request.worker == Worker::Servers);
        let (worker, name, class, body) =
            (request.worker, request.name.clone(), request.class, request.body.clone());
        out.push(Output::Launch { worker, name, class, body });
    }

    /// Answers a request whose launch would run a write twice.
    fn withhold_launch(
        &mut self,
        now: Micros,
        id: RequestId,
        reason: &LaunchWithheld,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.state = ExecutionState::Queued;
        self.counters.withheld_launches += 1;
        let attempt = request.attempt.as_ref();
        let key =
            attempt.and_then(|attempt| attempt.key.as_ref()).map_or_else(String::new, |key| key.digest());
        out.push(Output::Log(format!("launch withheld: request {}, key {key}, {reason}", request.name)));
        self.events.push(Event::RunEnded(id, Outcome::Moot, Micros(0)));
        let verdict = attempt.map_or(Verdict::Failed, |attempt| self.idempotency.verdict_by_key(attempt));
        self.answer(now, id, intake::answer_to_repeat(&verdict), out);
        self.remove_if_settled(now, id, out);
    }

    /// Handles the end of a run. The result goes to its caller, to the requests that joined it, and to the stores.
    pub(super) fn run_ended(&mut self, now: Micros, id: RequestId, end: RunEnd, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.state != ExecutionState::Running {
            return;
        }
        self.counters.ended_runs += 1;
        request.requested_call = None;
        request.is_in_doubt = false;
        request.state = ExecutionState::Queued;
        let since = request.since;
        if request.worker == Worker::Servers {
            self.slots_in_use = self.slots_in_use.saturating_sub(1);
        }
        if let Some(call_id) = request.call_id.take() {
            self.calls.remove(&call_id);
            out.push(Output::AbandonCall(call_id));
        }
        let can_pause = self.settings.stop_mode == StopMode::Freeze && request.worker == Worker::Agent;
        let was_stopped = end.outcome == Outcome::Cancelled && std::mem::take(&mut request.is_stopping);
        if was_stopped && can_pause && !request.is_answered {
            request.state = ExecutionState::Paused;
            self.counters.paused_runs += 1;
            debug!(request = %request.name, "paused");
            return self.events.push(Event::RunEnded(id, end.outcome, now - since));
        }
        debug!(request = %request.name, end = ?end.outcome, "run ended");
        let joiners = std::mem::take(&mut request.joiners);
        let shared = self.record_run_end(now, id, since, &end);
        self.answer_after_run(now, id, end, out);
        for joiner in joiners {
            self.finish_join(now, joiner, shared.clone(), out);
        }
        self.remove_if_settled(now, id, out);
    }

    /// Records the end of a run in the stores and notifies the decision module. Returns the result, if there is one.
    fn record_run_end(
        &mut self,
        now: Micros,
        id: RequestId,
        since: Micros,
        end: &RunEnd,
    ) -> Option<CachedRead> {
        let name = &self.requests.get(&id)?.name;
        let result = (end.outcome == Outcome::Good).then_some(&end.result);
        if end.outcome == Outcome::Moot {
            self.idempotency.never_ran(name);
        } else {
            self.idempotency.ended(name, result);
        }
        // The core records when it sent the launch, and the worker how long the run took. The run cannot have begun before
        // the launch, so this time is never later than the real end.
        let made_at = end.duration.map_or(now, |duration| (since + duration).min(now));
        let shared = result.map(|result| CachedRead { result: result.clone(), made_at });
        self.shared_reads.record_end(id, shared.clone());
        // The decision module distinguishes four outcomes of a run.
        let reported = match end.outcome {
            Outcome::Good | Outcome::Cancelled | Outcome::Moot => end.outcome,
            _ => Outcome::Bad,
        };
        self.events.push(Event::RunEnded(id, reported, now - since));
        shared
    }

    /// Answers the request of a run that has ended. A run that was stopped or not begun leaves the answer to the
    /// decision module.
    fn answer_after_run(&mut self, now: Micros, id: RequestId, end: RunEnd, out: &mut Vec<Output>) {
        let answer = match end.outcome {
            Outcome::Good => Answer::Completed(end.result),
            Outcome::Cancelled | Outcome::Moot => return,
            Outcome::Late => Answer::Failed(FailureReason::DeadlineExceeded),
            _ => Answer::Failed(FailureReason::RunFailed),
        };
        self.answer(now, id, answer, out);
    }
}
