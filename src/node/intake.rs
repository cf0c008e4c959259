//! Intake of requests, and queries to the incumbent process of this node about writes.
//!
//! During a restart two processes serve one node. The successor asks the incumbent before it runs a write, so that two
//! attempts of one write that reach both processes run once.

use tracing::debug;

use super::deadlines::Deadline;
use super::message::{
    Answer, FailureReason, FrontId, IncomingRequest, Output, ReferenceScope, ResponseRoute,
};
use super::request_table::{ExecutionState, RequestEntry};
use super::{ANSWER_MARGIN, Node, SAMPLE_TIMEOUT};
use crate::idempotency::{Accepted, Attempt, Change, ChangeOutcome, Fingerprint, IdempotencyKey, Verdict};
use crate::interface::{ClassSettings, Effect, Event, Micros, Request, RequestId};

/// How long the incumbent's answer is awaited. The incumbent answers in its next event loop iteration, within a few ms; if it
/// stalls for longer, the caller is better served by another node.
const INCUMBENT_QUERY_TIMEOUT: Micros = Micros::from_millis(250);
/// The answer before the decision module has started.
const NOT_STARTED: Answer = Answer::Refused { retry_after: Micros(0), is_final: false };
/// The answer when the idempotency store is full. Another node may have room now, and this node will have room later.
const STORE_FULL: Answer = Answer::Refused { retry_after: Micros::from_millis(1_000), is_final: false };
/// The answer to a request that is read after its caller's deadline.
const EXPIRED: Answer = Answer::Refused { retry_after: Micros(0), is_final: true };
/// How much longer than its class's setting an idempotency window lasts. The protocol allows each time limit this much.
pub(super) const WINDOW_SLACK: Micros = Micros::from_millis(50);
/// How long after its deadline a request may be read and still count as in time.
const LATE_READ_MARGIN: Micros = Micros::from_millis(1_000);

impl Node {
    /// Handles a request that a front has read: answers it at once, asks the incumbent about it, or passes it to the
    /// decision module.
    pub(super) fn receive_request(
        &mut self,
        now: Micros,
        route: ResponseRoute,
        incoming: IncomingRequest,
        out: &mut Vec<Output>,
    ) {
        *self.counters.received.entry(route.front).or_default() += 1;
        if self.policy.is_none() {
            return self.answer_untabled(&incoming.name, route, NOT_STARTED, out);
        }
        let id = RequestId(self.next_id);
        let class = &self.settings.classes[incoming.class.0.min(self.settings.classes.len() - 1)];
        let due = due_time(now, &incoming, class);
        let request = policy_request(now, id, &incoming, class, due);
        // Two runs with the same name could not be distinguished.
        let is_valid = Event::Arrived(request.clone()).validate(&self.settings).is_ok();
        if !is_valid || self.by_name.contains_key(&incoming.name) {
            let answer = Answer::Failed(FailureReason::BadRequest);
            return self.answer_untabled(&incoming.name, route, answer, out);
        }
        let attempt = write_attempt(&incoming, class, route.front, due);
        if let Some(answer) = self.answer_at_once(now, attempt.as_ref(), due) {
            return self.answer_untabled(&incoming.name, route, answer, out);
        }
        let accepted = match attempt.clone() {
            Some(attempt) => self.accept_attempt(now, incoming.reference_scope, attempt),
            None => Accepted::MayProceed,
        };
        if accepted == Accepted::Full {
            return self.answer_untabled(&incoming.name, route, STORE_FULL, out);
        }
        self.insert_request(now, id, route, incoming, attempt, due);
        if accepted == Accepted::AwaitsIncumbent {
            self.counters.incumbent_queries += 1;
            self.incumbent_queries.insert(id, request);
            self.deadlines.insert((now + INCUMBENT_QUERY_TIMEOUT, Deadline::IncumbentQuery(id)));
        } else {
            self.admit(now, request);
        }
    }

    /// The answer to a request that needs no run: a repeat of a known write, or a request whose deadline has passed.
    fn answer_at_once(&mut self, now: Micros, attempt: Option<&Attempt>, due: Micros) -> Option<Answer> {
        let mut may_have_run = false;
        if let Some(attempt) = attempt {
            let verdict = self.idempotency.verdict(now, attempt);
            let key = attempt.key.as_ref().map(IdempotencyKey::digest).unwrap_or_default();
            debug!(request = %attempt.name, key, "write read: {verdict}");
            if !matches!(verdict, Verdict::New | Verdict::Wait(_)) {
                return Some(answer_to_repeat(&verdict));
            }
            may_have_run = verdict != Verdict::New;
        }
        if due > now {
            return None;
        }
        // A refusal states that nothing ran, but the first attempt may have run.
        Some(if may_have_run { Answer::Failed(FailureReason::DeadlineExceeded) } else { EXPIRED })
    }

    /// Records an attempt in the idempotency store. A name that is unique in this process only is not shared with the other
    /// process, which may have issued the same name.
    fn accept_attempt(&mut self, now: Micros, scope: ReferenceScope, attempt: Attempt) -> Accepted {
        match scope {
            ReferenceScope::AllProcesses => self.idempotency.accept(now, attempt),
            ReferenceScope::ThisProcess => self.idempotency.accept_unshared(now, attempt),
        }
    }

    /// Answers a request that is not in the request table.
    fn answer_untabled(&mut self, name: &str, route: ResponseRoute, answer: Answer, out: &mut Vec<Output>) {
        debug!(request = %name, "answered: {answer}");
        self.counters.count_answer(&answer);
        if matches!(answer, Answer::Completed(_)) {
            self.counters.shared_results += 1;
        }
        out.push(Output::Answer(route, answer, self.load_signal));
    }

    fn insert_request(
        &mut self,
        now: Micros,
        id: RequestId,
        route: ResponseRoute,
        incoming: IncomingRequest,
        attempt: Option<Attempt>,
        due: Micros,
    ) {
        self.next_id = self.next_id.wrapping_add(1).max(1);
        let backstop = (due - ANSWER_MARGIN).max(now + SAMPLE_TIMEOUT);
        self.deadlines.insert((backstop, Deadline::Answer(id)));
        self.by_route.insert(route, id);
        self.by_name.insert(incoming.name.clone(), id);
        self.count_in_class(incoming.class);
        let request = RequestEntry {
            route,
            name: incoming.name,
            worker: incoming.worker,
            needs_prefetch: incoming.needs_prefetch,
            is_prefetching: false,
            class: incoming.class,
            key: incoming.key,
            attempt,
            body: incoming.body,
            arrived: incoming.arrived.at,
            due,
            backstop,
            repeats: None,
            is_answered: false,
            state: ExecutionState::Queued,
            is_stopping: false,
            is_in_doubt: false,
            since: now,
            requested_call: None,
            call_count: 0,
            was_call_sent: false,
            call_id: None,
            joiners: Vec::new(),
        };
        self.requests.insert(id, request);
    }

    /// Passes a request to the decision module.
    fn admit(&mut self, now: Micros, request: Request) {
        let repeats = self.find_repeated(request.id);
        let Some(entry) = self.requests.get_mut(&request.id) else { return };
        entry.repeats = repeats;
        let unread_time = now - entry.arrived;
        self.events.push(Event::Arrived(Request { unread_time, repeats, ..request }));
    }

    /// The request in progress, or the cached read, that a request repeats. Reads are shared in the entry tier only;
    /// attempts of one keyed write are linked in every tier.
    fn find_repeated(&self, id: RequestId) -> Option<RequestId> {
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.class.0];
        match &request.attempt {
            Some(attempt) => match self.idempotency.verdict_by_key(attempt) {
                Verdict::Wait(name) => self.by_name.get(&name).copied(),
                _ => None,
            },
            None if class.effect == Effect::Retryable && self.options.shares_reads => {
                let subject = (request.route.front, class.name.clone(), request.key.clone()?);
                self.shared_reads.find_shareable(request.arrived, self.settings.fresh_for, &subject)
            }
            None => None,
        }
    }

    // ---- queries to the incumbent process ----

    /// Handles a change to a write that the other process of this node has reported.
    pub(super) fn receive_change(&mut self, now: Micros, change: Change, out: &mut Vec<Output>) {
        match self.idempotency.receive(now, change) {
            ChangeOutcome::Recorded => {}
            ChangeOutcome::Granted(name) => self.write_granted(now, &name, out),
            ChangeOutcome::Taken(name) => {
                if let Some(&id) = self.by_name.get(&name) {
                    self.answer_repeat_of_peer(now, id, out);
                }
            }
        }
    }

    /// Handles the end of the other process: every write that awaits its answer may proceed.
    pub(super) fn peer_process_ended(&mut self, now: Micros, out: &mut Vec<Output>) {
        for name in self.idempotency.end_sharing() {
            self.write_granted(now, &name, out);
        }
    }

    /// Lets a write that awaits the other process's answer proceed, unless the latest change reported by that process was
    /// an attempt of the same write.
    fn write_granted(&mut self, now: Micros, name: &str, out: &mut Vec<Output>) {
        let Some(&id) = self.by_name.get(name) else { return };
        let Some(request) = self.incumbent_queries.remove(&id) else { return };
        match self.verdict_of(id) {
            Verdict::New | Verdict::Wait(_) => self.admit(now, request),
            _ => self.answer_repeat_of_peer(now, id, out),
        }
    }

    fn verdict_of(&self, id: RequestId) -> Verdict {
        let attempt = self.requests.get(&id).and_then(|request| request.attempt.as_ref());
        attempt.map_or(Verdict::New, |attempt| self.idempotency.verdict_by_key(attempt))
    }

    /// Answers a request that repeats a write which the other process has accepted.
    fn answer_repeat_of_peer(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let verdict = self.verdict_of(id);
        self.incumbent_queries.remove(&id);
        self.answer(now, id, answer_to_repeat(&verdict), out);
        self.remove_if_settled(now, id, out);
    }

    /// Answers a request for which the incumbent has not answered a query in time. Its work never runs in this process.
    pub(super) fn incumbent_query_expired(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        if self.incumbent_queries.remove(&id).is_none() {
            return;
        }
        self.counters.incumbent_query_timeouts += 1;
        let attempt = self.requests.get(&id).and_then(|request| request.attempt.as_ref());
        let answer = if attempt.is_some_and(|attempt| attempt.key.is_some()) {
            // Another attempt with the same key may have run there, so the answer must not state that the write never ran.
            Answer::Failed(FailureReason::DeadlineExceeded)
        } else {
            Answer::Refused { retry_after: INCUMBENT_QUERY_TIMEOUT, is_final: false }
        };
        self.answer(now, id, answer, out);
        self.remove_if_settled(now, id, out);
    }
}

/// The time until which the caller waits: after its stated limit, at most after its class's deadline, and not before `now`.
fn due_time(now: Micros, incoming: &IncomingRequest, class: &ClassSettings) -> Micros {
    let time_limit = incoming.time_limit.unwrap_or(class.deadline).min(class.deadline);
    (incoming.arrived.at + time_limit).max(now)
}

/// The request as the decision module sees it.
fn policy_request(
    now: Micros,
    id: RequestId,
    incoming: &IncomingRequest,
    class: &ClassSettings,
    due: Micros,
) -> Request {
    Request {
        id,
        class: incoming.class,
        tenant: incoming.tenant,
        is_over_quota: incoming.is_over_quota,
        has_key: incoming.key.is_some(),
        due: incoming.time_limit.map(|_| due),
        expected_work: incoming.expected_work,
        held_kb: incoming.held_kb,
        rank: incoming.rank,
        is_retry: incoming.is_retry,
        is_write: class.effect != Effect::Retryable,
        caller: incoming.caller,
        unread_time: now - incoming.arrived.at,
        repeats: None,
    }
}

/// What identifies a write: its name, where that is unique in all processes, and its key, in a class that deduplicates by
/// key. `None` for reads and for writes that nothing identifies.
fn write_attempt(
    incoming: &IncomingRequest,
    class: &ClassSettings,
    front: FrontId,
    due: Micros,
) -> Option<Attempt> {
    let key = incoming.key.as_ref().filter(|_| class.effect == Effect::Dedup).map(|key| IdempotencyKey {
        front: front.0.to_owned(),
        class: class.name.clone(),
        key: key.clone(),
    });
    let is_identified = incoming.reference_scope == ReferenceScope::AllProcesses || key.is_some();
    let window_end = incoming.arrived.at + class.window + WINDOW_SLACK;
    (class.effect != Effect::Retryable && is_identified).then(|| Attempt {
        name: incoming.name.clone(),
        key,
        fingerprint: Fingerprint::of(&incoming.body),
        earliest: incoming.arrived.earliest,
        window_end,
        keep_until: window_end.max(due) + class.deadline + LATE_READ_MARGIN,
    })
}

/// The answer to a further attempt of a write that may have run, here or in another process of this node.
pub(super) fn answer_to_repeat(verdict: &Verdict) -> Answer {
    match verdict {
        Verdict::Result(result) => Answer::Completed(result.clone()),
        Verdict::Conflict => Answer::Failed(FailureReason::KeyConflict),
        _ => Answer::Failed(FailureReason::RepeatedWrite),
    }
}
