//! [`DependencyClient`]: the open calls, their attempts and their timers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::call::{AttemptId, CallAction, CallIndex, CallRequest, TierCounters};
use super::call_plan::{CallPlan, CallPlans, Fallback, TierId};
use super::circuit_breaker::CircuitState;
use super::load_balancer::{EndpointId, EndpointPool};
use super::quota::{FleetQuota, RetryFunding};
use super::retry_budget::RetryCredit;
use super::tier::{AttemptKind, Placement, PlacementContext, PlacementError, Tier, never_ran};
use super::zone_routing::{ZoneCall, ZoneRoutes};
use crate::fleet::lease::holder::{Permit, ReleaseEvidence};
use crate::interface::{Micros, Outcome};

/// Attempts of one call over all tiers of its plan, whatever the plan says.
const ATTEMPTS_MAX: u32 = 12;
/// Cached replies for fallbacks: one for each call of each class. The tier's codec bounds the size of one.
const CACHED_REPLIES_MAX: usize = 1_024;
/// How long the credit of a first attempt lasts where retries are funded by the whole fleet: a common budget window.
const RETRY_CREDIT_WINDOW: Micros = Micros::from_millis(1_000);

#[derive(Debug)]
struct Attempt {
    ticket: u64,
    tier: TierId,
    endpoint: EndpointId,
    started_at: Micros,
    /// The client's epoch at the start: an outcome from a former set of endpoints is not counted for the present one.
    epoch: u64,
    /// The permit that it holds on the fleet's budgets.
    permit: Option<Permit>,
    /// Neither a retry nor a hedge: it earns retry credit.
    is_first: bool,
    zone_call: Option<ZoneCall>,
}

#[derive(Debug)]
struct OpenCall {
    request: CallRequest,
    plan: CallPlan,
    /// Index of the next of the plan's fallbacks.
    next_fallback: usize,
    /// The tier that the call is at now.
    tier: TierId,
    /// When that tier's time is up.
    tier_deadline: Micros,
    tier_attempts: u32,
    total_attempts: u32,
    in_flight: Vec<AttemptId>,
    tried_endpoints: Vec<EndpointId>,
    last_outcome: Outcome,
}

/// What falls due for a call, by its ticket. Timers of one instant run in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Hedge(u64),
    TierDeadline(u64),
}

/// Places calls on tiers. Owns each tier's state, the open calls and their attempts.
#[derive(Debug)]
pub struct DependencyClient {
    plans: CallPlans,
    tiers: Vec<Tier>,
    /// Grows each time that a tier's endpoints are replaced.
    epoch: u64,
    open_calls: HashMap<u64, OpenCall>,
    attempts: HashMap<AttemptId, Attempt>,
    last_attempt_id: u64,
    timers: BTreeSet<(Micros, Timer)>,
    /// The last good reply by class and call, with the time it came.
    cached_replies: BTreeMap<(usize, CallIndex), (Micros, Bytes)>,
    rng: ChaCha8Rng,
    quota: Option<FleetQuota>,
    routes: Option<ZoneRoutes>,
}

impl DependencyClient {
    /// A client with these plans; `seed` is for the random choice of endpoints.
    pub fn new(now: Micros, plans: CallPlans, seed: u64) -> DependencyClient {
        DependencyClient {
            tiers: plans.tiers.iter().map(|settings| Tier::new(now, settings.clone())).collect(),
            plans,
            epoch: 0,
            open_calls: HashMap::new(),
            attempts: HashMap::new(),
            last_attempt_id: 0,
            timers: BTreeSet::new(),
            cached_replies: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            quota: None,
            routes: None,
        }
    }

    /// Restricts calls to the endpoints that the zones allow, from now on.
    pub fn set_routes(&mut self, routes: Option<ZoneRoutes>) {
        self.routes = routes;
    }

    /// Has each call take a permit from this quota, from now on.
    pub fn set_quota(&mut self, quota: FleetQuota) {
        for (index, tier) in self.tiers.iter_mut().enumerate() {
            let is_funded = quota.funds_retries(TierId(index));
            tier.retry_credit =
                is_funded.then(|| RetryCredit::new(tier.settings.retry.share, RETRY_CREDIT_WINDOW));
        }
        self.quota = Some(quota);
    }

    /// Releases an attempt's permit as far as the evidence allows. To be called before [`DependencyClient::attempt_ended`].
    pub fn release_permit(&mut self, now: Micros, id: AttemptId, evidence: ReleaseEvidence) {
        let (Some(quota), Some(attempt)) = (&self.quota, self.attempts.get_mut(&id)) else { return };
        if let Some(permit) = attempt.permit.take() {
            quota.release(&permit, evidence);
        }
        // A first attempt earns retry credit only once the service has answered it.
        let has_earned = attempt.is_first && evidence == ReleaseEvidence::Answered;
        if let Some(credit) = self.tiers[attempt.tier.0].retry_credit.as_mut().filter(|_| has_earned) {
            credit.record_first_attempt(now);
        }
    }

    /// A client with other plans. The attempt ids of the two never collide: this one may still start attempts for its open calls.
    #[must_use]
    pub fn successor(&self, now: Micros, plans: CallPlans) -> DependencyClient {
        let mut successor = DependencyClient::new(now, plans, 0);
        successor.rng = self.rng.clone();
        successor.quota = self.quota.clone();
        successor.routes = self.routes.clone();
        for tier in &mut successor.tiers {
            let none = EndpointPool::new(&[], tier.settings.outlier_ejection);
            let previous = self.tiers.iter().find(|former| former.settings.name == tier.settings.name);
            tier.endpoints.inherit_slow_start(previous.map_or(&none, |former| &former.endpoints));
        }
        successor.last_attempt_id =
            self.last_attempt_id + (self.open_calls.len() as u64 + 1) * u64::from(ATTEMPTS_MAX);
        successor
    }

    /// Replaces a tier's endpoints. Attempts in flight end where they are; none is started there any more.
    pub fn set_tier_endpoints(&mut self, tier: TierId, endpoints: &[SocketAddr]) {
        let Some(tier) = self.tiers.get_mut(tier.0) else { return };
        if tier.settings.endpoints != endpoints {
            self.epoch += 1;
            tier.settings.endpoints = endpoints.to_vec();
            let pool = EndpointPool::new(endpoints, tier.settings.outlier_ejection)
                .with_slow_start(tier.settings.slow_start);
            let previous = std::mem::replace(&mut tier.endpoints, pool);
            tier.endpoints.inherit_slow_start(&previous);
        }
    }

    /// Number of open calls.
    pub fn open_calls(&self) -> usize {
        self.open_calls.len()
    }

    /// Each tier's name, counters, circuit breaker state and concurrency limit.
    pub fn counters(&self) -> impl Iterator<Item = (&str, TierCounters, CircuitState, u32)> {
        self.tiers.iter().map(|tier| {
            let (state, limit) = (tier.circuit_breaker.state(), tier.limit.limit());
            (tier.settings.name.as_str(), tier.counters, state, limit)
        })
    }

    /// When [`DependencyClient::run_due_timers`] is to be called next.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.timers.first().map(|timer| timer.0)
    }

    /// Starts a run's call by the plan of its class.
    pub fn start_call(&mut self, now: Micros, request: CallRequest, out: &mut Vec<CallAction>) {
        let plan = match request.index {
            CallIndex::Run(nth) => self.plans.call(request.class, nth).clone(),
            CallIndex::Prefetch(_) => self.plans.default_plan.clone(),
        };
        self.start_call_with_plan(now, request, plan, out);
    }

    /// Starts a call by a plan of its own: a prefetch stage goes on by the plan that it began with.
    pub fn start_call_with_plan(
        &mut self,
        now: Micros,
        request: CallRequest,
        mut plan: CallPlan,
        out: &mut Vec<CallAction>,
    ) {
        plan.has_effect |= request.at_most_once;
        let call = OpenCall {
            request,
            next_fallback: 0,
            tier: plan.tier,
            tier_deadline: now + plan.time_limit(request.deadline - now),
            plan,
            tier_attempts: 0,
            total_attempts: 0,
            in_flight: Vec::new(),
            tried_endpoints: Vec::new(),
            last_outcome: Outcome::Full,
        };
        self.open_calls.insert(request.ticket, call);
        self.start_first_attempt(now, request.ticket, AttemptKind::First, out);
    }

    /// Takes an attempt's outcome: the call ends, is retried, or falls back.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        id: AttemptId,
        outcome: Outcome,
        body: Bytes,
        out: &mut Vec<CallAction>,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.record_outcome(now, &attempt, Some(outcome), out);
        let Some(call) = self.open_calls.get_mut(&attempt.ticket) else { return };
        call.in_flight.retain(|other| *other != id);
        call.last_outcome = outcome;
        if outcome == Outcome::Good {
            self.cache_reply(now, attempt.ticket, &body);
            return self.finish_call(attempt.ticket, Outcome::Good, body, out);
        }
        // The reply is not needed any more, so neither a retry nor a fallback would help.
        if outcome == Outcome::Moot {
            return self.finish_call(attempt.ticket, outcome, Bytes::new(), out);
        }
        if call.plan.has_effect && outcome != Outcome::Unreachable {
            if !never_ran(outcome) {
                self.tiers[attempt.tier.0].counters.in_doubt += 1;
            }
            return self.finish_call(attempt.ticket, outcome, Bytes::new(), out);
        }
        // While a hedged attempt is in flight it may still succeed.
        if call.in_flight.is_empty() {
            self.retry_or_fall_back(now, attempt.ticket, out);
        }
    }

    /// Cancels a call whose run is over or out of time.
    pub fn cancel_call(&mut self, now: Micros, ticket: u64, out: &mut Vec<CallAction>) {
        let Some(call) = self.open_calls.remove(&ticket) else { return };
        let is_late = now >= call.request.deadline;
        for id in call.in_flight {
            if let Some(attempt) = self.attempts.remove(&id) {
                self.record_outcome(now, &attempt, is_late.then_some(Outcome::Late), out);
                self.tiers[attempt.tier.0].counters.in_doubt += u64::from(call.plan.has_effect);
            }
            out.push(CallAction::CancelAttempt(id));
        }
    }

    /// Runs the timers that have fallen due.
    pub fn run_due_timers(&mut self, now: Micros, out: &mut Vec<CallAction>) {
        while let Some(&(when, timer)) = self.timers.first() {
            if when > now {
                return;
            }
            self.timers.pop_first();
            match timer {
                Timer::Hedge(ticket) => self.hedge(now, ticket, out),
                Timer::TierDeadline(ticket) => self.end_tier_time(now, ticket, out),
            }
        }
    }

    /// Cancels the attempts of a call whose tier has used up its time, and falls back.
    fn end_tier_time(&mut self, now: Micros, ticket: u64, out: &mut Vec<CallAction>) {
        let Some(call) = self.open_calls.get_mut(&ticket).filter(|call| call.tier_deadline <= now) else {
            return;
        };
        // The core itself ends a run's call at the request's deadline.
        let is_ended_here = matches!(call.request.index, CallIndex::Prefetch(_))
            || call.tier_deadline < call.request.deadline;
        if call.plan.has_effect || !is_ended_here {
            return;
        }
        call.last_outcome = Outcome::Late;
        for id in std::mem::take(&mut call.in_flight) {
            if let Some(attempt) = self.attempts.remove(&id) {
                self.record_outcome(now, &attempt, Some(Outcome::Late), out);
            }
            out.push(CallAction::CancelAttempt(id));
        }
        self.fall_back(now, ticket, out);
    }

    /// Keeps a good reply if the call's plan may fall back on it.
    fn cache_reply(&mut self, now: Micros, ticket: u64, body: &Bytes) {
        let Some(call) = self.open_calls.get(&ticket) else { return };
        let key = (call.request.class, call.request.index);
        let is_cached =
            call.plan.fallbacks.iter().any(|fallback| matches!(fallback, Fallback::CachedReply(_)));
        let has_space =
            self.cached_replies.len() < CACHED_REPLIES_MAX || self.cached_replies.contains_key(&key);
        if is_cached && has_space {
            self.cached_replies.insert(key, (now, body.clone()));
        }
    }

    /// Starts a call's first attempt at a tier. A repeated call counts as a retry where retries are funded by the fleet.
    fn start_first_attempt(
        &mut self,
        now: Micros,
        ticket: u64,
        kind: AttemptKind,
        out: &mut Vec<CallAction>,
    ) {
        let Some(call) = self.open_calls.get(&ticket) else { return };
        let tier = &mut self.tiers[call.tier.0];
        let is_retry = call.request.is_retry && tier.retry_credit.is_some();
        let funding = if is_retry { tier.try_retry(now) } else { None };
        self.start_attempt(now, ticket, kind, funding.unwrap_or(RetryFunding::ProcessCredit), out);
    }

    /// Starts a second, concurrent attempt of a slow call, if the retry budget allows.
    fn hedge(&mut self, now: Micros, ticket: u64, out: &mut Vec<CallAction>) {
        let Some(call) = self.open_calls.get(&ticket) else { return };
        if call.in_flight.len() != 1 || call.plan.has_effect || now >= call.tier_deadline {
            return;
        }
        if let Some(funding) = self.tiers[call.tier.0].try_retry(now) {
            self.start_attempt(now, ticket, AttemptKind::Hedge, funding, out);
        }
    }

    /// Starts an attempt at the call's tier, or falls back where the tier does not admit it.
    fn start_attempt(
        &mut self,
        now: Micros,
        ticket: u64,
        kind: AttemptKind,
        funding: RetryFunding,
        out: &mut Vec<CallAction>,
    ) {
        let Some(call) = self.open_calls.get(&ticket) else { return };
        let tier = &mut self.tiers[call.tier.0];
        let (is_passing, transition) = tier.circuit_breaker.check(now);
        out.extend(transition.map(|change| CallAction::CircuitChanged(call.tier, change)));
        let is_admitted = is_passing
            && tier.limit.allows(tier.in_flight)
            && call.total_attempts < ATTEMPTS_MAX
            && now < call.tier_deadline;
        let mut context =
            PlacementContext { routes: self.routes.as_ref(), quota: self.quota.as_ref(), rng: &mut self.rng };
        let tried = &call.tried_endpoints;
        match tier.place_attempt(now, call.tier, tried, is_admitted, funding, &mut context) {
            Ok(placement) => self.send_attempt(now, ticket, kind, placement, out),
            Err(error) => {
                tier.counters.quota_exhausted += u64::from(error.is_quota_exhausted);
                if kind != AttemptKind::Hedge {
                    tier.counters.rejected += u64::from(!is_admitted);
                    self.fall_back_unplaced(now, ticket, kind, error, out);
                }
            }
        }
    }

    /// Falls back after an attempt that was not placed, and so never ran.
    fn fall_back_unplaced(
        &mut self,
        now: Micros,
        ticket: u64,
        kind: AttemptKind,
        error: PlacementError,
        out: &mut Vec<CallAction>,
    ) {
        let Some(call) = self.open_calls.get_mut(&ticket) else { return };
        // A retry keeps the outcome of the attempt before it; no endpoint at all equals a refused connection.
        call.last_outcome = match (kind, error.has_endpoint) {
            (AttemptKind::Retry, _) => call.last_outcome,
            (_, false) => Outcome::Unreachable,
            (_, true) => Outcome::Full,
        };
        self.fall_back(now, ticket, out);
    }

    /// Registers a placed attempt, has it sent and sets its timers.
    fn send_attempt(
        &mut self,
        now: Micros,
        ticket: u64,
        kind: AttemptKind,
        placement: Placement,
        out: &mut Vec<CallAction>,
    ) {
        let Some(call) = self.open_calls.get_mut(&ticket) else { return };
        let tier = &mut self.tiers[call.tier.0];
        let Placement { endpoint, address, permit } = placement;
        tier.attempt_started(now, kind, endpoint);
        self.last_attempt_id += 1;
        let id = AttemptId(self.last_attempt_id);
        let send_before = permit.as_ref().map(|held| held.send_deadline);
        let zone_call = self.routes.as_ref().and_then(|routes| routes.call_started(call.tier, endpoint));
        let attempt = Attempt {
            ticket,
            tier: call.tier,
            endpoint,
            started_at: now,
            epoch: self.epoch,
            permit,
            is_first: matches!(kind, AttemptKind::First | AttemptKind::Fallback) && !call.request.is_retry,
            zone_call,
        };
        self.attempts.insert(id, attempt);
        call.tier_attempts += 1;
        call.total_attempts += 1;
        call.tried_endpoints.push(endpoint);
        call.in_flight.push(id);
        let timeout = call.tier_deadline - now;
        out.push(CallAction::StartAttempt { attempt: id, ticket, address, timeout, send_before });
        self.timers.insert((call.tier_deadline, Timer::TierDeadline(ticket)));
        if kind != AttemptKind::Hedge
            && !call.plan.has_effect
            && let Some(delay) = tier.hedge_delay(now)
            && now + delay < call.tier_deadline
        {
            self.timers.insert((now + delay, Timer::Hedge(ticket)));
        }
    }

    /// After a failure: a retry at the same tier, if its budget allows, else the fallback.
    fn retry_or_fall_back(&mut self, now: Micros, ticket: u64, out: &mut Vec<CallAction>) {
        let Some(call) = self.open_calls.get(&ticket) else { return };
        let tier = &mut self.tiers[call.tier.0];
        let has_attempts = call.tier_attempts < tier.settings.retry.attempts_max && now < call.tier_deadline;
        match has_attempts.then(|| tier.try_retry(now)).flatten() {
            Some(funding) => self.start_attempt(now, ticket, AttemptKind::Retry, funding, out),
            None => self.fall_back(now, ticket, out),
        }
    }

    /// Takes the plan's next fallback, or ends the call with its last outcome.
    fn fall_back(&mut self, now: Micros, ticket: u64, out: &mut Vec<CallAction>) {
        let Some(call) = self.open_calls.get_mut(&ticket) else { return };
        let next = call.plan.fallbacks.get(call.next_fallback).cloned().filter(|_| !call.plan.has_effect);
        call.next_fallback += 1;
        match next {
            None => {
                let outcome = call.last_outcome;
                self.finish_call(ticket, outcome, Bytes::new(), out);
            }
            Some(Fallback::Fixed(body)) => self.finish_call(ticket, Outcome::Good, body, out),
            Some(Fallback::CachedReply(max_age)) => {
                let key = (call.request.class, call.request.index);
                let cached = self.cached_replies.get(&key).filter(|(at, _)| now - *at <= max_age);
                match cached.map(|(_, body)| body.clone()) {
                    Some(body) => self.finish_call(ticket, Outcome::Good, body, out),
                    None => self.fall_back(now, ticket, out),
                }
            }
            Some(Fallback::Tier(_)) if now >= call.request.deadline => self.fall_back(now, ticket, out),
            Some(Fallback::Tier(tier)) => {
                call.tier = tier;
                call.tier_deadline = call.request.deadline;
                call.tier_attempts = 0;
                call.tried_endpoints.clear();
                self.start_first_attempt(now, ticket, AttemptKind::Fallback, out);
            }
        }
    }

    /// Ends a call and cancels what is left of it.
    fn finish_call(&mut self, ticket: u64, outcome: Outcome, body: Bytes, out: &mut Vec<CallAction>) {
        let Some(call) = self.open_calls.remove(&ticket) else { return };
        for id in call.in_flight {
            if let Some(attempt) = self.attempts.remove(&id) {
                let tier = &mut self.tiers[attempt.tier.0];
                tier.in_flight = tier.in_flight.saturating_sub(1);
                self.release_attempt(&attempt);
            }
            out.push(CallAction::CancelAttempt(id));
        }
        let was_attempted = call.total_attempts > 0;
        out.push(CallAction::CallFinished { ticket, outcome, body, was_attempted });
    }

    /// Counts out a cancelled attempt at its zone, endpoint and circuit breaker; it counts as neither success nor failure.
    fn release_attempt(&mut self, attempt: &Attempt) {
        if let Some((routes, zone_call)) = self.routes.as_ref().zip(attempt.zone_call) {
            routes.call_ended(zone_call, None);
        }
        let tier = &mut self.tiers[attempt.tier.0];
        if attempt.epoch == self.epoch {
            tier.endpoints.call_cancelled(attempt.endpoint);
        }
        tier.circuit_breaker.call_cancelled();
    }

    /// Records an attempt's outcome for its tier, endpoint and zone; `None` if it was cancelled for no fault of theirs.
    fn record_outcome(
        &mut self,
        now: Micros,
        attempt: &Attempt,
        outcome: Option<Outcome>,
        out: &mut Vec<CallAction>,
    ) {
        let tier = &mut self.tiers[attempt.tier.0];
        tier.in_flight = tier.in_flight.saturating_sub(1);
        let Some(outcome) = outcome else { return self.release_attempt(attempt) };
        if let Some((routes, zone_call)) = self.routes.as_ref().zip(attempt.zone_call) {
            routes.call_ended(zone_call, Some(outcome));
        }
        let has_succeeded = tier.record_outcome(now, attempt.started_at, outcome);
        let transition = tier.circuit_breaker.call_ended(now, !has_succeeded);
        out.extend(transition.map(|change| CallAction::CircuitChanged(attempt.tier, change)));
        let latency = now - attempt.started_at;
        if attempt.epoch == self.epoch && tier.endpoints.call_ended(now, attempt.endpoint, latency, outcome) {
            tier.counters.ejected += 1;
        }
    }
}
