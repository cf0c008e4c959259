//! Prefetching: calls that are made before a run, for workers that can make none themselves. Decides which calls start when,
//! which are left out, and when a request has what it needs. No I/O; told the time.
//!
//! A plan is fixed for a request when its first stage begins. An optional call that fails is left out; a required one fails its
//! stage, which may be started again and keeps the replies that have come.

use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;

use bytes::Bytes;

use super::call_plan::PrefetchCall;
use crate::interface::{Micros, Outcome};

/// Bytes of all replies prefetched for one request: they are sent to its server as vars, and a uwsgi packet holds 64 KiB of
/// these beside the request's own, which are up to 16 KiB.
pub const REPLIES_MAX: usize = 32 << 10;

/// Marks the tickets of prefetch calls: the core's own tickets never have this bit.
const TICKET_MARK: u64 = 1 << 63;

/// What has been prefetched for a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefetchResult {
    /// The name of each call in the plan, and its reply.
    pub replies: Vec<(String, Bytes)>,
    /// Names of the optional calls that were left out.
    pub missing: Vec<String>,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum PrefetchAction {
    /// Start a call and report its outcome. It ends at `deadline`, with or without a reply.
    StartCall {
        /// Identifies the call.
        ticket: u64,
        /// The request's name.
        name: String,
        /// The call's index in the plan.
        index: usize,
        /// When the call ends.
        deadline: Micros,
        /// The plan.
        plan: Arc<[PrefetchCall]>,
    },
    /// Cancel a call; its outcome is not awaited.
    CancelCall(u64),
    /// A stage has ended.
    StageFinished {
        /// The core's ticket of the stage.
        ticket: u64,
        /// Its outcome.
        outcome: Outcome,
        /// Another stage follows.
        has_more: bool,
    },
}

#[derive(Clone, Debug, PartialEq)]
enum CallState {
    /// Not started yet, or failed and to be started again.
    Pending,
    /// In flight, with its ticket.
    InFlight(u64),
    Received(Bytes),
    Missing,
}

/// The prefetch of one request.
#[derive(Debug)]
struct RequestPrefetch {
    plan: Arc<[PrefetchCall]>,
    /// The state of each call of the plan.
    calls: Vec<CallState>,
    /// Index of the first call of the stage that is next or in flight.
    stage_start: usize,
    /// The core's ticket of the stage in flight.
    stage_ticket: Option<u64>,
    /// Outcome of the last required call that failed in this stage.
    failure: Option<Outcome>,
}

impl RequestPrefetch {
    fn new(plan: Arc<[PrefetchCall]>) -> RequestPrefetch {
        RequestPrefetch {
            calls: vec![CallState::Pending; plan.len()],
            plan,
            stage_start: 0,
            stage_ticket: None,
            failure: None,
        }
    }

    /// Indexes of the calls of the stage.
    fn stage(&self) -> Range<usize> {
        let rest = self.plan.iter().skip(self.stage_start + 1);
        let concurrent = rest.take_while(|call| call.starts_with_previous).count();
        self.stage_start..(self.stage_start + 1 + concurrent).min(self.plan.len())
    }

    fn received_bytes(&self) -> usize {
        let size = |call: &CallState| if let CallState::Received(reply) = call { reply.len() } else { 0 };
        self.calls.iter().map(size).sum()
    }

    fn has_calls_in_flight(&self) -> bool {
        self.stage().any(|index| matches!(self.calls[index], CallState::InFlight(_)))
    }
}

/// The prefetches of all requests.
#[derive(Debug, Default)]
pub struct Prefetcher {
    /// By the request's name.
    requests: HashMap<String, RequestPrefetch>,
    /// Calls in flight by ticket: the request's name and the call's index in its plan.
    in_flight: HashMap<u64, (String, usize)>,
    /// Stages in flight by the core's ticket: the request's name.
    stages: HashMap<u64, String>,
    last_ticket: u64,
    /// Requests that went on without an optional call.
    pub partial_results: u64,
}

impl Prefetcher {
    /// Whether a ticket is that of a prefetch call.
    pub fn is_prefetch_ticket(ticket: u64) -> bool {
        ticket & TICKET_MARK != 0
    }

    /// Whether a call's outcome is still awaited.
    pub fn is_waiting_for(&self, ticket: u64) -> bool {
        self.in_flight.contains_key(&ticket)
    }

    /// Number of requests with a prefetch under way.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Starts a request's next stage, or again what failed of it. Only the first stage's plan counts.
    pub fn start_stage(
        &mut self,
        now: Micros,
        name: &str,
        ticket: u64,
        deadline: Micros,
        plan: &Arc<[PrefetchCall]>,
        out: &mut Vec<PrefetchAction>,
    ) {
        let request =
            self.requests.entry(name.to_owned()).or_insert_with(|| RequestPrefetch::new(plan.clone()));
        request.stage_ticket = Some(ticket);
        request.failure = None;
        self.stages.insert(ticket, name.to_owned());
        let time_left = deadline - now;
        for index in request.stage() {
            if request.calls[index] != CallState::Pending {
                continue;
            }
            self.last_ticket += 1;
            let ticket = TICKET_MARK | self.last_ticket;
            request.calls[index] = CallState::InFlight(ticket);
            self.in_flight.insert(ticket, (name.to_owned(), index));
            let deadline = now + request.plan[index].time_limit(time_left);
            let plan = request.plan.clone();
            out.push(PrefetchAction::StartCall { ticket, name: name.to_owned(), index, deadline, plan });
        }
        self.finish_stage_if_ready(name, out);
    }

    /// Takes a call's outcome.
    pub fn call_ended(&mut self, ticket: u64, outcome: Outcome, body: Bytes, out: &mut Vec<PrefetchAction>) {
        let Some((name, index)) = self.in_flight.remove(&ticket) else { return };
        let Some(request) = self.requests.get_mut(&name) else { return };
        let is_small_enough = request.received_bytes() + body.len() <= REPLIES_MAX;
        request.calls[index] = match outcome {
            Outcome::Good if is_small_enough => CallState::Received(body),
            _ if !request.plan[index].is_required => CallState::Missing,
            _ => {
                // A reply that is too large would be too large again.
                let failure = if outcome == Outcome::Good { Outcome::Bad } else { outcome };
                request.failure = Some(failure);
                CallState::Pending
            }
        };
        self.finish_stage_if_ready(&name, out);
    }

    /// Ends a stage whose time is up with the replies that have come.
    pub fn expire_stage(&mut self, ticket: u64, out: &mut Vec<PrefetchAction>) {
        let Some(name) = self.stages.get(&ticket).cloned() else { return };
        let Some(request) = self.requests.get_mut(&name) else { return };
        for index in request.stage() {
            if let CallState::InFlight(ticket) = request.calls[index] {
                self.in_flight.remove(&ticket);
                out.push(PrefetchAction::CancelCall(ticket));
                if request.plan[index].is_required {
                    request.calls[index] = CallState::Pending;
                    request.failure = Some(Outcome::Late);
                } else {
                    request.calls[index] = CallState::Missing;
                }
            }
        }
        self.finish_stage_if_ready(&name, out);
    }

    /// Drops the prefetch of a request that is over.
    pub fn cancel_request(&mut self, name: &str, out: &mut Vec<PrefetchAction>) {
        let Some(request) = self.requests.remove(name) else { return };
        if let Some(ticket) = request.stage_ticket {
            self.stages.remove(&ticket);
        }
        for call in request.calls {
            if let CallState::InFlight(ticket) = call {
                self.in_flight.remove(&ticket);
                out.push(PrefetchAction::CancelCall(ticket));
            }
        }
    }

    /// Takes out what was prefetched for a request whose run begins.
    pub fn take_result(&mut self, name: &str) -> PrefetchResult {
        let mut result = PrefetchResult::default();
        let Some(request) = self.requests.remove(name) else { return result };
        for (call, state) in request.plan.iter().zip(request.calls) {
            match state {
                CallState::Received(reply) => result.replies.push((call.name.clone(), reply)),
                _ => result.missing.push(call.name.clone()),
            }
        }
        self.partial_results += u64::from(!result.missing.is_empty());
        result
    }

    /// Ends a stage that has what it needs, or cannot have it.
    fn finish_stage_if_ready(&mut self, name: &str, out: &mut Vec<PrefetchAction>) {
        let Some(request) = self.requests.get_mut(name) else { return };
        let Some(ticket) = request.stage_ticket else { return };
        let stage = request.stage();
        let outcome = match request.failure {
            None if request.has_calls_in_flight() => return,
            None => Outcome::Good,
            // The other calls are of no use without the failed one now; replies are kept for another attempt.
            Some(failure) => {
                for index in stage.clone() {
                    if let CallState::InFlight(ticket) = request.calls[index] {
                        self.in_flight.remove(&ticket);
                        out.push(PrefetchAction::CancelCall(ticket));
                        request.calls[index] = CallState::Pending;
                    }
                }
                failure
            }
        };
        if outcome == Outcome::Good {
            request.stage_start = stage.end;
        }
        request.stage_ticket = None;
        self.stages.remove(&ticket);
        let has_more = outcome == Outcome::Good && request.stage_start < request.plan.len();
        out.push(PrefetchAction::StageFinished { ticket, outcome, has_more });
    }

    /// Whether nothing is kept beyond the requests with a prefetch under way.
    #[cfg(test)]
    fn is_consistent(&self) -> bool {
        use std::collections::BTreeSet;
        let expected: BTreeSet<u64> =
            self.requests.values().filter_map(|request| request.stage_ticket).collect();
        self.stages.keys().copied().collect::<BTreeSet<_>>() == expected
            && self.in_flight.values().all(|(name, _)| self.requests.contains_key(name))
    }
}

#[cfg(test)]
mod tests;
