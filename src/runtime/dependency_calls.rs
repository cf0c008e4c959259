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
use crate::fleet::lease::holder::ReleaseEvidence;
use crate::interface::{ClassId, Micros, Outcome};
use crate::ledger::{Call, Pool};
use crate::node::Input;
use crate::time::process;
use crate::upstream::uwsgi;

/// The platform's own tier is always the first.
const LEDGER: TierId = TierId(0);

/// Replaced clients that may still have open calls at a time; more would mean reloads without end.
const DRAINING_CLIENTS_MAX: usize = 8;

/// A run's call that the core has placed.
pub(super) struct RunCall {
    pub ticket: u64,
    pub name: String,
    pub class: ClassId,
    pub nth: u32,
    pub deadline: Micros,
    pub body: Bytes,
    pub at_most_once: bool,
    pub is_retry: bool,
}

/// A stage of calls that come before a run.
pub(super) struct PrefetchStage {
    pub ticket: u64,
    pub name: String,
    pub class: ClassId,
    pub deadline: Micros,
    /// The request as its server will receive it.
    pub packet: Bytes,
}

/// What is sent for a call.
#[derive(Clone)]
struct Payload {
    name: String,
    body: Bytes,
    at_most_once: bool,
}

/// The calls to the tiers: the clients that decide, and the connections and tasks that carry the attempts.
pub(super) struct DependencyCalls {
    client: DependencyClient,
    /// Clients that were replaced while calls were open, until these have ended.
    draining: Vec<DependencyClient>,
    tiers: Tiers,
    tier_names: Vec<String>,
    /// Idle connections by endpoint.
    pools: HashMap<SocketAddr, Pool>,
    idle_per_endpoint: usize,
    /// By the call's ticket.
    payloads: HashMap<u64, Payload>,
    tasks: HashMap<AttemptId, JoinHandle<()>>,
    /// A buffer that is reused.
    actions: Vec<CallAction>,
    prefetcher: Prefetcher,
    /// The fleet whose budgets bound the calls.
    fleet: Option<Rc<Fleet>>,
}

impl DependencyCalls {
    /// Calls by these tiers and plans; `idle` connections are kept over all endpoints.
    pub fn new(now: Micros, tiers: &Tiers, idle: usize, seed: u64) -> DependencyCalls {
        let endpoints = tiers.plans.tiers.iter().map(|tier| tier.endpoints.len()).sum::<usize>().max(1);
        DependencyCalls {
            tier_names: tier_names(tiers),
            client: DependencyClient::new(now, tiers.plans.clone(), seed),
            draining: Vec::new(),
            tiers: tiers.clone(),
            pools: HashMap::new(),
            idle_per_endpoint: (idle / endpoints).max(1),
            payloads: HashMap::new(),
            tasks: HashMap::new(),
            actions: Vec::new(),
            prefetcher: Prefetcher::default(),
            fleet: None,
        }
    }

    /// Has each call take a permit of the fleet's budgets, from now on.
    pub fn set_fleet(&mut self, fleet: Rc<Fleet>) {
        self.client.set_quota(fleet.shares(&self.tiers));
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

    /// Takes out what was prefetched for a request whose run begins.
    pub fn take_prefetched(&mut self, name: &str) -> PrefetchResult {
        self.prefetcher.take_result(name)
    }

    /// The operator's file of the tiers.
    pub fn file(&self) -> Option<&Path> {
        self.tiers.file.as_deref()
    }

    /// When the clients' timers are next due.
    pub fn next_timeout(&self) -> Option<Micros> {
        std::iter::once(&self.client).chain(&self.draining).filter_map(DependencyClient::next_timeout).min()
    }

    /// Replaces tiers and plans; the former ones are left in `tiers`. Open calls end as they were planned; what was known of
    /// the former tiers is dropped. Returns false, and changes nothing, while too many clients are draining.
    pub fn replace(&mut self, now: Micros, tiers: &mut Tiers) -> bool {
        // Without plans the client does not use the class's index.
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
            self.client.set_quota(fleet.shares(tiers));
            self.client.set_routes(fleet.routes(tiers));
        }
        self.draining.push(former);
        self.tier_names = tier_names(tiers);
        let is_used =
            |address: &SocketAddr| tiers.plans.tiers.iter().any(|tier| tier.endpoints.contains(address));
        self.pools.retain(|address, _| is_used(address));
        std::mem::swap(&mut self.tiers, tiers);
        true
    }

    /// Whether too many clients are draining for one more replacement.
    pub fn is_busy(&mut self) -> bool {
        self.draining.retain(|client| client.open_calls() > 0);
        self.draining.len() >= DRAINING_CLIENTS_MAX
    }

    /// Hands an event to the client in use and the draining ones: only the one that knows the call acts on it.
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

    /// Moves the ledger to another address. Calls in flight end where they are, and their connections with them.
    pub fn move_ledger(&mut self, from: Option<SocketAddr>, to: Option<SocketAddr>) {
        if from == to {
            return;
        }
        if let Some(from) = from {
            // Connections in use return to a pool that nobody uses any more.
            self.pools.remove(&from);
        }
        let to: Vec<SocketAddr> = to.into_iter().collect();
        self.client.set_tier_endpoints(LEDGER, &to);
        self.draining.iter_mut().for_each(|client| client.set_tier_endpoints(LEDGER, &to));
        self.tiers.plans.tiers[LEDGER.0].endpoints = to;
    }

    /// Logs the counters. Those of the platform's ledger alone are among the core's.
    pub fn print(&self) {
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
    /// Starts a run's call.
    pub(super) fn start_run_call(&mut self, now: Micros, call: RunCall) {
        let request = CallRequest {
            ticket: call.ticket,
            class: call.class.0,
            index: CallIndex::Run(call.nth as usize),
            deadline: call.deadline,
            at_most_once: call.at_most_once,
            is_retry: call.is_retry,
        };
        let payload = Payload { name: call.name, body: call.body, at_most_once: call.at_most_once };
        self.calls.payloads.insert(call.ticket, payload);
        let mut actions = std::mem::take(&mut self.calls.actions);
        self.calls.read_lease_clock();
        self.calls.client.start_call(now, request, &mut actions);
        self.apply_call_actions(now, actions);
    }

    /// Takes the outcome of an attempt, and what it proves to whoever counts it downstream.
    pub(super) fn call_attempt_ended(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        (outcome, body, evidence): (Outcome, Bytes, ReleaseEvidence),
    ) {
        // One that was cancelled in the same turn has nothing more to say.
        if self.calls.tasks.remove(&attempt).is_none() {
            return;
        }
        let actions = self.calls.for_each_client(|client, actions| {
            client.release_permit(now, attempt, evidence);
            client.attempt_ended(now, attempt, outcome, body.clone(), actions);
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

    /// Ends a stage whose time is up.
    pub(super) fn expire_prefetch_stage(&mut self, now: Micros, ticket: u64) {
        let mut actions = Vec::new();
        self.calls.prefetcher.expire_stage(ticket, &mut actions);
        self.apply_prefetch_actions(now, ClassId(0), &Bytes::new(), actions);
    }

    /// Drops what was prefetched for a request that is over.
    pub(super) fn cancel_prefetch(&mut self, now: Micros, name: &str) {
        let mut actions = Vec::new();
        self.calls.prefetcher.cancel_request(name, &mut actions);
        self.apply_prefetch_actions(now, ClassId(0), &Bytes::new(), actions);
    }

    /// `class` and `packet` are needed for calls that start, which only the start of a stage causes.
    fn apply_prefetch_actions(
        &mut self,
        now: Micros,
        class: ClassId,
        packet: &Bytes,
        actions: Vec<PrefetchAction>,
    ) {
        for action in actions {
            match action {
                // One started before it may have failed at once.
                PrefetchAction::StartCall { ticket, .. } if !self.calls.prefetcher.is_waiting_for(ticket) => {
                }
                PrefetchAction::StartCall { ticket, name, index, deadline, plan } => {
                    // Concurrent calls of one request need names of their own, as the tier knows calls by name.
                    let name = format!("{name}.{}", plan[index].name);
                    let body = uwsgi::call_body(packet, plan[index].send.as_deref());
                    let payload = Payload { name, body, at_most_once: false };
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

    /// Cancels an open call.
    pub(super) fn cancel_call(&mut self, now: Micros, ticket: u64) {
        self.calls.payloads.remove(&ticket);
        let actions = self.calls.for_each_client(|client, actions| client.cancel_call(now, ticket, actions));
        self.apply_call_actions(now, actions);
    }

    /// Runs the timers that have fallen due.
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

    /// Spawns the task of one attempt. It reads the lease clock once more before it writes.
    fn spawn_attempt(
        &mut self,
        attempt: AttemptId,
        address: SocketAddr,
        payload: Payload,
        timeout: Micros,
        send_before: Option<LeaseInstant>,
    ) {
        let call = Call {
            name: payload.name,
            limit_ms: timeout.0.div_ceil(1000).max(1),
            body: payload.body,
            once: payload.at_most_once,
        };
        let idle = self.calls.idle_per_endpoint;
        let pool = self.calls.pools.entry(address).or_insert_with(|| Pool::new(address, idle)).clone();
        let events = self.events.clone();
        let clock = self.calls.fleet.as_ref().map(|fleet| fleet.clock());
        let task = tokio::task::spawn_local(async move {
            let may_send = || send_before.zip(clock).is_none_or(|(end, clock)| clock.now() < end);
            let result = pool.call_while(&call, may_send).await;
            let _ = events.send(Event::CallEnded(attempt, result)).await;
        });
        self.calls.tasks.insert(attempt, task);
    }
}
