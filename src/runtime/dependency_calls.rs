//! Carries out the actions of the dependency client and of the prefetcher ([`crate::dependencies`]): connections, tasks and
//! timers of the calls to the tiers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use tokio::task::JoinHandle;
use tracing::{info, warn};

use super::fleet::Fleet;
use super::{Event, Runtime};
use crate::config::tiers::Tiers;
use crate::dependencies::call_plan::{CallPlans, TierId};
use crate::dependencies::prefetch::{PrefetchAction, PrefetchResult, Prefetcher};
use crate::dependencies::{AttemptId, CallAction, CallIndex, CallRequest, DependencyClient};
use crate::fleet::LeaseInstant;
use crate::interface::{ClassId, Micros};
use crate::ledger::{self, Call, CallEnd};
use crate::node::Input;
use crate::time::process;
use crate::upstream::uwsgi;

/// The ledger, which is the platform's own tier, always has the first index.
const LEDGER: TierId = TierId(0);

/// Replaced clients that may have open calls at a time; more are reached only by reloads that follow each other without end.
const DRAINING_CLIENTS_MAX: usize = 8;

/// A call that a run has requested and the core has accepted.
pub(super) struct RunCall {
    /// The core's id of the call.
    pub ticket: u64,
    pub name: String,
    pub class: ClassId,
    /// Index of the call within its run.
    pub index: u32,
    pub deadline: Micros,
    pub body: Bytes,
    pub at_most_once: bool,
    pub is_retry: bool,
}

/// A stage of calls that are made before a run starts.
pub(super) struct PrefetchStage {
    pub ticket: u64,
    pub name: String,
    pub class: ClassId,
    pub deadline: Micros,
    /// The request as its server will receive it.
    pub packet: Bytes,
}

/// The content of a call, which is the same in each attempt.
#[derive(Clone)]
struct CallPayload {
    name: String,
    body: Bytes,
}

/// The calls to the tiers: the clients that decide, and the connections and tasks that carry the attempts.
pub(super) struct DependencyCalls {
    client: DependencyClient,
    /// Clients that were replaced while they had open calls, until these calls have ended.
    draining: Vec<DependencyClient>,
    tiers: Tiers,
    tier_names: Vec<String>,
    /// The content of each open call, by its ticket.
    payloads: HashMap<u64, CallPayload>,
    tasks: HashMap<AttemptId, JoinHandle<()>>,
    /// A reused buffer, to avoid an allocation for each event.
    actions: Vec<CallAction>,
    prefetcher: Prefetcher,
    /// The fleet whose budgets bound the calls.
    fleet: Option<Rc<Fleet>>,
}

impl DependencyCalls {
    /// Makes calls by these tiers and plans.
    pub fn new(now: Micros, tiers: &Tiers, seed: u64) -> DependencyCalls {
        DependencyCalls {
            tier_names: tier_names(tiers),
            client: DependencyClient::new(now, tiers.plans.clone(), seed),
            draining: Vec::new(),
            tiers: tiers.clone(),
            payloads: HashMap::new(),
            tasks: HashMap::new(),
            actions: Vec::new(),
            prefetcher: Prefetcher::default(),
            fleet: None,
        }
    }

    /// From now on each call takes a permit from the fleet's budgets, and the fleet's zones decide its endpoint.
    pub fn set_fleet(&mut self, fleet: Rc<Fleet>) {
        self.client.set_quota(fleet.quota(&self.tiers));
        self.client.set_routes(fleet.routes(&self.tiers));
        self.fleet = Some(fleet);
    }

    /// Reads the lease clock for the permits that are taken next.
    fn read_lease_clock(&self) {
        if let Some(fleet) = &self.fleet {
            fleet.refresh_clock();
        }
    }

    /// Whether calls are made before the runs of a class.
    pub fn has_prefetch(&self, class: ClassId) -> bool {
        self.tiers.plans.prefetch(class.0).is_some()
    }

    /// Removes and returns the prefetched responses for a request whose run begins.
    pub fn take_prefetched(&mut self, name: &str) -> PrefetchResult {
        self.prefetcher.take_result(name)
    }

    /// The path of the operator's tiers file, if there is one.
    pub fn tiers_file(&self) -> Option<&Path> {
        self.tiers.file.as_deref()
    }

    /// When the next timer of a client is due.
    pub fn next_timeout(&self) -> Option<Micros> {
        std::iter::once(&self.client).chain(&self.draining).filter_map(DependencyClient::next_timeout).min()
    }

    /// Replaces tiers and plans; the former ones are left in `tiers`. Open calls end by the plans that they started with; the
    /// state of circuits, limits and endpoints is not carried over to the new tiers. Returns false, and changes nothing, while too many clients are
    /// draining.
    pub fn replace(&mut self, now: Micros, tiers: &mut Tiers) -> bool {
        // A client without plans does not use class indexes, so that other classes make no difference to it.
        let has_same_classes = tiers.same_classes(&self.tiers) || tiers.plans.classes.is_empty();
        if tiers.plans == self.tiers.plans && has_same_classes {
            std::mem::swap(&mut self.tiers, tiers);
            return true;
        }
        if self.is_busy() {
            return false;
        }
        let placeholder = DependencyClient::new(now, CallPlans::platform(None), 0);
        let former = std::mem::replace(&mut self.client, placeholder);
        self.client = former.successor(now, tiers.plans.clone());
        if let Some(fleet) = &self.fleet {
            self.client.set_quota(fleet.quota(tiers));
            self.client.set_routes(fleet.routes(tiers));
        }
        self.draining.push(former);
        self.tier_names = tier_names(tiers);
        std::mem::swap(&mut self.tiers, tiers);
        true
    }

    /// Whether too many clients are draining for one more replacement.
    pub fn is_busy(&mut self) -> bool {
        self.draining.retain(|client| client.open_calls() > 0);
        self.draining.len() >= DRAINING_CLIENTS_MAX
    }

    /// Passes an event to the current client and the draining ones; only the client that has the call acts on it.
    fn for_each_client(
        &mut self,
        mut handle: impl FnMut(&mut DependencyClient, &mut Vec<CallAction>),
    ) -> Vec<CallAction> {
        self.read_lease_clock();
        let mut actions = std::mem::take(&mut self.actions);
        for client in std::iter::once(&mut self.client).chain(&mut self.draining) {
            handle(client, &mut actions);
        }
        self.draining.retain(|client| client.open_calls() > 0);
        actions
    }

    /// Moves the ledger to another address. Calls in flight end at the former address.
    pub fn move_ledger(&mut self, from: Option<SocketAddr>, to: Option<SocketAddr>) {
        if from == to {
            return;
        }
        let to: Vec<SocketAddr> = to.into_iter().collect();
        self.client.set_tier_endpoints(LEDGER, &to);
        self.draining.iter_mut().for_each(|client| client.set_tier_endpoints(LEDGER, &to));
        self.tiers.plans.tiers[LEDGER.0].endpoints = to;
    }

    /// Logs the counters of all tiers. If the ledger is the only tier, its counters are among those of the core instead.
    pub fn log_counters(&self) {
        if self.prefetcher.partial_results > 0 {
            info!(
                "prefetch: partial={} open={}",
                self.prefetcher.partial_results,
                self.prefetcher.open_requests()
            );
        }
        if let Some(fleet) = &self.fleet {
            fleet.log_counters();
        }
        if self.tier_names.len() < 2 {
            return;
        }
        for (name, counters, circuit, limit) in self.client.counters() {
            info!(
                "tier {name}: circuit={circuit:?} limit={limit} first_attempts={} retries={} hedges={} fallbacks={} \
                 succeeded={} never_ran={} failed={} timed_out={} rejected={} ejected={} in_doubt={}",
                counters.first_attempts,
                counters.retries,
                counters.hedges,
                counters.fallbacks,
                counters.succeeded,
                counters.never_ran,
                counters.failed,
                counters.timed_out,
                counters.rejected,
                counters.ejected,
                counters.in_doubt
            );
        }
    }
}

fn tier_names(tiers: &Tiers) -> Vec<String> {
    tiers.plans.tiers.iter().map(|tier| tier.name.clone()).collect()
}

impl Runtime {
    /// Starts a call that a run has requested.
    pub(super) fn start_run_call(&mut self, now: Micros, call: RunCall) {
        let request = CallRequest {
            ticket: call.ticket,
            class: call.class.0,
            index: CallIndex::Run(call.index as usize),
            deadline: call.deadline,
            at_most_once: call.at_most_once,
            is_retry: call.is_retry,
        };
        let payload = CallPayload { name: call.name, body: call.body };
        self.calls.payloads.insert(call.ticket, payload);
        let mut actions = std::mem::take(&mut self.calls.actions);
        self.calls.read_lease_clock();
        self.calls.client.start_call(now, request, &mut actions);
        self.apply_call_actions(now, actions);
    }

    /// Handles the end of an attempt. Its evidence says when the attempt's permit from the fleet's budgets may be released.
    pub(super) fn call_attempt_ended(&mut self, now: Micros, attempt: AttemptId, end: CallEnd) {
        // The result of an attempt that was cancelled in the same turn is ignored.
        if self.calls.tasks.remove(&attempt).is_none() {
            return;
        }
        let actions = self.calls.for_each_client(|client, actions| {
            client.release_permit(now, attempt, end.evidence);
            client.attempt_ended(now, attempt, end.outcome, end.body.clone(), actions);
        });
        self.apply_call_actions(now, actions);
    }

    /// Starts a request's next stage of calls before its run.
    pub(super) fn start_prefetch_stage(&mut self, now: Micros, stage: PrefetchStage) {
        let mut actions = Vec::new();
        let empty = Arc::from([]);
        let plan = self.calls.tiers.plans.prefetch(stage.class.0).unwrap_or(&empty);
        let PrefetchStage { ticket, name, class, deadline, packet } = stage;
        self.calls.prefetcher.start_stage(now, &name, ticket, deadline, plan, &mut actions);
        self.apply_prefetch_actions(now, class, &packet, actions);
    }

    /// Ends a stage whose deadline has passed.
    pub(super) fn expire_prefetch_stage(&mut self, now: Micros, ticket: u64) {
        let mut actions = Vec::new();
        self.calls.prefetcher.expire_stage(ticket, &mut actions);
        self.apply_prefetch_actions(now, ClassId(0), &Bytes::new(), actions);
    }

    /// Cancels the open calls and drops the prefetched responses of a request that has ended.
    pub(super) fn cancel_prefetch(&mut self, now: Micros, name: &str) {
        let mut actions = Vec::new();
        self.calls.prefetcher.cancel_request(name, &mut actions);
        self.apply_prefetch_actions(now, ClassId(0), &Bytes::new(), actions);
    }

    /// Carries out the prefetcher's actions. `class` and `packet` are used only by calls that start, which happens only at the
    /// start of a stage.
    fn apply_prefetch_actions(
        &mut self,
        now: Micros,
        class: ClassId,
        packet: &Bytes,
        actions: Vec<PrefetchAction>,
    ) {
        for action in actions {
            match action {
                // An earlier call of the stage may have failed at once and cancelled this one.
                PrefetchAction::StartCall { ticket, .. } if !self.calls.prefetcher.is_waiting_for(ticket) => {
                }
                PrefetchAction::StartCall { ticket, name, index, deadline, plan } => {
                    // Concurrent calls of one request need distinct names, as the tier identifies calls by name.
                    let name = format!("{name}.{}", plan[index].name);
                    let body = uwsgi::call_body(packet, plan[index].send.as_deref());
                    let payload = CallPayload { name, body };
                    self.calls.payloads.insert(ticket, payload);
                    let request = CallRequest {
                        ticket,
                        class: class.0,
                        index: CallIndex::Prefetch(index),
                        deadline,
                        at_most_once: false,
                        is_retry: false,
                    };
                    let mut actions = std::mem::take(&mut self.calls.actions);
                    self.calls.read_lease_clock();
                    let plan = plan[index].call.clone();
                    self.calls.client.start_call_with_plan(now, request, plan, &mut actions);
                    self.apply_call_actions(now, actions);
                }
                PrefetchAction::CancelCall(ticket) => self.cancel_call(now, ticket),
                PrefetchAction::StageFinished { ticket, outcome, has_more } => {
                    let input = Input::PrefetchStageEnded { call_id: ticket, outcome, has_more };
                    self.node.handle_input(now, input, &mut self.outputs);
                }
            }
        }
    }

    /// Cancels a call and its attempts; no effect if the call has ended.
    pub(super) fn cancel_call(&mut self, now: Micros, ticket: u64) {
        self.calls.payloads.remove(&ticket);
        let actions = self.calls.for_each_client(|client, actions| client.cancel_call(now, ticket, actions));
        self.apply_call_actions(now, actions);
    }

    /// Runs the due timers of all clients: retries, hedges and deadlines.
    pub(super) fn run_due_call_timers(&mut self) {
        let now = process::now();
        let actions = self.calls.for_each_client(|client, actions| client.run_due_timers(now, actions));
        self.apply_call_actions(now, actions);
    }

    fn apply_call_actions(&mut self, now: Micros, mut actions: Vec<CallAction>) {
        for action in actions.drain(..) {
            match action {
                CallAction::StartAttempt { attempt, ticket, address, timeout, send_before } => {
                    let Some(payload) = self.calls.payloads.get(&ticket).cloned() else { continue };
                    self.spawn_attempt(attempt, address, payload, timeout, send_before);
                }
                CallAction::CancelAttempt(attempt) => {
                    if let Some(task) = self.calls.tasks.remove(&attempt) {
                        task.abort();
                    }
                }
                CallAction::CallFinished { ticket, outcome, body, was_attempted } => {
                    self.calls.payloads.remove(&ticket);
                    if Prefetcher::is_prefetch_ticket(ticket) {
                        let mut actions = Vec::new();
                        self.calls.prefetcher.call_ended(ticket, outcome, body, &mut actions);
                        self.apply_prefetch_actions(now, ClassId(0), &Bytes::new(), actions);
                        continue;
                    }
                    let input = Input::CallEnded { call_id: ticket, outcome, body, was_sent: was_attempted };
                    self.node.handle_input(now, input, &mut self.outputs);
                }
                CallAction::CircuitChanged(tier, change) => {
                    let name = self.calls.tier_names.get(tier.0).map_or("?", String::as_str);
                    warn!(
                        tier = %name,
                        "circuit breaker {:?} -> {:?}: {} of {} calls failed",
                        change.from,
                        change.to,
                        change.failed,
                        change.calls
                    );
                }
            }
        }
        self.calls.actions = actions;
    }

    /// Spawns the task of one attempt. The task reads the lease clock again before it writes, and does not send at or after
    /// `send_before`.
    fn spawn_attempt(
        &mut self,
        attempt: AttemptId,
        address: SocketAddr,
        payload: CallPayload,
        timeout: Micros,
        send_before: Option<LeaseInstant>,
    ) {
        let call = Call { name: payload.name, limit_ms: timeout.0.div_ceil(1000).max(1), body: payload.body };
        let events = self.events.clone();
        let clock = self.calls.fleet.as_ref().map(|fleet| fleet.clock());
        let task = tokio::task::spawn_local(async move {
            let may_send = || send_before.zip(clock).is_none_or(|(end, clock)| clock.now() < end);
            let end = ledger::call_while(address, &call, may_send).await;
            let _ = events.send(Event::CallEnded(attempt, end)).await;
        });
        self.calls.tasks.insert(attempt, task);
    }
}
