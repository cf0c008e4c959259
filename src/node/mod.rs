//! The core of a node: requests, attempts and outcomes.
//!
//! A state machine without I/O: it receives [`Input`]s and the time, and returns [`Output`]s that the runtime carries out.
//! It handles no wire formats and no sockets. Every decision about load belongs to the decision module ([`Policy`]); the
//! core accounts for requests, runs and calls, and carries out the module's actions.
//!
//! Invariants: a request gets one answer, at the latest at its backstop; a refused request never ran; a write that the
//! idempotency store knows is launched once.

mod coalescing;
mod counters;
mod deadlines;
mod downstream_calls;
mod gauges;
mod in_doubt;
mod intake;
mod launch;
mod message;
mod policy_actions;
mod prefetch;
mod reconfigure;
mod request_table;
mod shared_reads;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::idempotency::IdempotencyStore;
use crate::interface::{
    Action, ClassId, Event, Micros, Outcome, Request, RequestId, Settings, SettingsError, TimerToken,
};
use crate::policy::Policy;
pub use counters::Counters;
use deadlines::Deadline;
use launch::RunEnd;
pub use message::{
    Answer, FailureReason, FrontId, IncomingRequest, Input, NodeOptions, Output, ReferenceScope,
    ResponseRoute, Worker,
};
use request_table::{ExecutionState, RequestEntry, RequestedCall};
use shared_reads::SharedReads;

/// How long a timer waits for the agent's gauges. This is well below the decision module's tick, so that an unresponsive
/// agent delays no deadline.
const SAMPLE_TIMEOUT: Micros = Micros::from_millis(8);
/// How long a deep health check may take.
const DEEP_CHECK_TIMEOUT: Micros = Micros::from_millis(1_000);
/// The core answers a request this long before its deadline if the decision module has not. The module itself answers 30 ms
/// before the deadline.
const ANSWER_MARGIN: Micros = Micros::from_millis(8);

/// The core of a node. See the module's documentation for what it guarantees.
pub struct Node {
    settings: Settings,
    options: NodeOptions,
    /// `None` until [`Node::start`].
    policy: Option<Policy>,
    /// Events for the next step of the decision module.
    events: Vec<Event>,
    /// Empty between steps; kept for its allocation.
    actions: Vec<Action>,
    last_step: Micros,
    requests: BTreeMap<RequestId, RequestEntry>,
    /// Requests whose answer is pending.
    by_route: BTreeMap<ResponseRoute, RequestId>,
    by_name: HashMap<String, RequestId>,
    next_id: u32,
    shared_reads: SharedReads,
    deadlines: BTreeSet<(Micros, Deadline)>,
    /// Gauges requested from the agent, by tag number: the timer, and the time until which it waits.
    gauge_samples: HashMap<u64, (TimerToken, Micros)>,
    /// Deep health checks in progress, by tag number: where to answer, and the time until which the answer is awaited.
    deep_checks: HashMap<u64, (ResponseRoute, Micros)>,
    next_tag: u64,
    /// Calls in progress, by call number: the request, and when the call was placed.
    calls: HashMap<u64, (RequestId, Micros)>,
    next_call_id: u64,
    /// The load signal for callers, once the decision module has set one.
    load_signal: Option<f64>,
    answers_health_from_store: bool,
    is_healthy: bool,
    is_draining: bool,
    /// Requests that wait for the incumbent process's answer. They have not been passed to the decision module yet.
    incumbent_queries: BTreeMap<RequestId, Request>,
    /// When each retired class slot was retired.
    retired_classes: BTreeMap<ClassId, Micros>,
    /// Requests in the table by class slot; slots past its end have none.
    requests_per_class: Vec<u32>,
    /// This process's share of the machine, 0 to 1.
    machine_share: f64,
    /// Runs on servers that declare slots.
    slots_in_use: u32,
    slot_samples: VecDeque<(Micros, f64)>,
    /// Recent writes, here and in the process that this one replaces or that replaces it.
    pub idempotency: IdempotencyStore,
    /// Open front connections, as the runtime counts them.
    pub open_connections: usize,
    /// Counts since the start.
    pub counters: Counters,
}

impl Node {
    /// A node whose worker is not available yet. Until [`Node::start`] it refuses every request.
    pub fn new(settings: Settings, options: NodeOptions) -> Node {
        Node {
            settings,
            options,
            policy: None,
            events: Vec::new(),
            actions: Vec::new(),
            last_step: Micros(0),
            requests: BTreeMap::new(),
            by_route: BTreeMap::new(),
            by_name: HashMap::new(),
            next_id: 1,
            shared_reads: SharedReads::default(),
            deadlines: BTreeSet::new(),
            gauge_samples: HashMap::new(),
            deep_checks: HashMap::new(),
            next_tag: 0,
            calls: HashMap::new(),
            next_call_id: 0,
            load_signal: None,
            answers_health_from_store: false,
            is_healthy: true,
            is_draining: false,
            incumbent_queries: BTreeMap::new(),
            retired_classes: BTreeMap::new(),
            requests_per_class: Vec::new(),
            machine_share: 1.0,
            slots_in_use: 0,
            slot_samples: VecDeque::new(),
            idempotency: IdempotencyStore::default(),
            open_connections: 0,
            counters: Counters::default(),
        }
    }

    /// Starts the decision module, once the worker is available. Later calls change nothing.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn start(&mut self, now: Micros, is_cold: bool, out: &mut Vec<Output>) -> Result<(), SettingsError> {
        if self.policy.is_none() {
            self.settings.is_cold = is_cold;
            self.policy = Some(Policy::new(self.settings.part(self.machine_share), self.options.seed)?);
            self.step_policy(now, out);
        }
        Ok(())
    }

    /// Whether the decision module has started.
    pub fn is_started(&self) -> bool {
        self.policy.is_some()
    }

    /// The number of requests whose answer is pending.
    pub fn pending_answers(&self) -> usize {
        self.by_route.len()
    }

    /// Whether no request is queued, running or unanswered.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether an answer is pending on a connection.
    pub fn has_pending_answer(&self, front: FrontId, connection: u64) -> bool {
        self.pending_on(front, connection).next().is_some()
    }

    /// The time by which [`Node::advance`] is to be called; `None` if nothing is due.
    pub fn next_deadline(&self) -> Option<Micros> {
        let due = self.deadlines.first().map(|(when, _)| *when);
        // No step is due before the decision module has started. Otherwise a drain request that comes before the start would
        // wake the node in an endless loop.
        let has_step = self.is_started() && !self.events.is_empty();
        let step = has_step.then_some(self.last_step + self.settings.min_batch_gap);
        [due, step].into_iter().flatten().min()
    }

    /// Handles one input. Results are passed on at once; the decision module receives its events with the next
    /// [`Node::advance`].
    pub fn handle_input(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::RequestReceived(route, incoming) => self.receive_request(now, route, *incoming, out),
            Input::RequestRejected(reason) => *self.counters.rejected.entry(reason).or_default() += 1,
            Input::RequestCancelled(route) => self.cancel_request(now, route, out),
            Input::ConnectionClosed(front, connection) => self.connection_closed(now, front, connection, out),
            Input::HealthCheck { route, is_deep } => self.check_health(now, route, is_deep, out),
            Input::RunEnded { name, outcome, result, duration } => {
                self.named_run_ended(now, &name, RunEnd { outcome, duration, result }, out);
            }
            Input::LaunchRefused(name) => {
                self.counters.refused_commands += 1;
                self.named_run_ended(now, &name, RunEnd::not_begun(), out);
            }
            Input::LaunchInDoubt(name) => self.launch_in_doubt(now, &name, out),
            Input::ReplyInDoubt { name, notice_id } => self.reply_in_doubt(now, &name, notice_id, out),
            Input::CommandRefused => self.counters.refused_commands += 1,
            Input::CallRequested { name, notice_id, body } => {
                self.call_requested(&name, RequestedCall { notice_id, body });
            }
            Input::GaugesSampled(tag, gauges) => self.gauges_sampled(now, &tag, gauges),
            Input::DeepCheckEnded(tag, succeeded) => self.deep_check_ended(&tag, succeeded, out),
            Input::CallEnded { call_id, outcome, body, was_sent } => {
                self.call_ended(now, call_id, outcome, body, was_sent, out);
            }
            Input::PrefetchStageEnded { call_id, outcome, has_more } => {
                self.prefetch_stage_ended(now, call_id, outcome, has_more, out);
            }
            Input::DrainRequested(stop) => self.begin_drain(stop, out),
            Input::SuccessorStarted(stop) => {
                self.events.push(Event::SuccessorStarted(stop));
                out.push(Output::AnnounceDrain);
            }
            Input::ChangeReceived(change) => self.receive_change(now, change, out),
            Input::PeerProcessEnded => self.peer_process_ended(now, out),
        }
    }

    /// Handles what is due and lets the decision module act, unless its latest step was too recent.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some(&(when, deadline)) = self.deadlines.first() {
            if when > now {
                break;
            }
            self.deadlines.pop_first();
            self.handle_deadline(now, deadline, out);
        }
        let is_step_allowed = now >= self.last_step + self.settings.min_batch_gap;
        if self.is_started() && !self.events.is_empty() && is_step_allowed {
            self.step_policy(now, out);
        }
    }

    /// The routes of pending answers on a connection.
    fn pending_on(&self, front: FrontId, connection: u64) -> impl Iterator<Item = ResponseRoute> {
        let route = |request_number| ResponseRoute { front, connection, request_number };
        self.by_route.range(route(0)..=route(u32::MAX)).map(|(route, _)| *route)
    }

    /// Cancels the requests and deep health checks of a front connection that has closed.
    fn connection_closed(&mut self, now: Micros, front: FrontId, connection: u64, out: &mut Vec<Output>) {
        let routes: Vec<ResponseRoute> = self.pending_on(front, connection).collect();
        for route in routes {
            self.cancel_request(now, route, out);
        }
        self.deep_checks.retain(|_, (route, _)| (route.front, route.connection) != (front, connection));
    }

    /// Handles the end of the run of a named request. Of a request that has left the table only a result is recorded, for
    /// further attempts of its key.
    fn named_run_ended(&mut self, now: Micros, name: &str, end: RunEnd, out: &mut Vec<Output>) {
        if let Some(&id) = self.by_name.get(name) {
            self.run_ended(now, id, end, out);
        } else if end.outcome == Outcome::Good {
            self.idempotency.ended(name, Some(&end.result));
        }
    }

    /// Records that a run waits for a call, and notifies the decision module.
    fn call_requested(&mut self, name: &str, call: RequestedCall) {
        let Some(&id) = self.by_name.get(name) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.state != ExecutionState::Running {
            return;
        }
        request.is_in_doubt = false;
        request.requested_call = Some(call);
        request.call_count = request.call_count.saturating_add(1);
        request.was_call_sent = false;
        self.events.push(Event::CallRequested(id));
    }

    /// Starts the drain of a process that is stopped at `stop`. Repeated calls change nothing.
    fn begin_drain(&mut self, stop: Micros, out: &mut Vec<Output>) {
        if !std::mem::replace(&mut self.is_draining, true) {
            self.events.push(Event::Drain(stop));
            self.is_healthy = false;
            out.push(Output::HealthChanged(false));
            out.push(Output::AnnounceDrain);
        }
    }
}
