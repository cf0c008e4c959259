//! One dependency tier: its endpoints, limits and counters, and where an attempt at it is placed.

use std::net::SocketAddr;

use rand_chacha::ChaCha8Rng;

use super::call::TierCounters;
use super::call_plan::{TierId, TierSettings};
use super::circuit_breaker::CircuitBreaker;
use super::concurrency_limit::{ConcurrencyLimit, CongestionSignal};
use super::latency_window::LatencyWindow;
use super::load_balancer::{EndpointId, EndpointPool};
use super::quota::{FleetQuota, RetryFunding};
use super::retry_budget::{RetryBudget, RetryCredit};
use super::zone_routing::ZoneRoutes;
use crate::fleet::lease::holder::{Permit, PermitError};
use crate::interface::{Micros, Outcome};

/// Latency samples in the window before a hedged request is sent.
const HEDGE_SAMPLES_MIN: u64 = 50;

/// Whether an outcome proves that the call never ran.
pub(super) fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Unreachable | Outcome::Full | Outcome::Moot)
}

/// How an attempt came to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptKind {
    /// The first at the call's own tier.
    First,
    /// After a failure, at the same tier.
    Retry,
    /// Concurrent with a slow one.
    Hedge,
    /// The first at another tier that serves as the fallback.
    Fallback,
}

/// What bounds an attempt from outside its tier, and the source of randomness.
pub(super) struct PlacementContext<'a> {
    pub routes: Option<&'a ZoneRoutes>,
    pub quota: Option<&'a FleetQuota>,
    pub rng: &'a mut ChaCha8Rng,
}

/// Where an attempt goes, and the permit that it holds on the fleet's budgets.
pub(super) struct Placement {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub permit: Option<Permit>,
}

/// Why an attempt was not placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementError {
    /// An endpoint could have been called; the tier's bounds or the fleet's budgets did not allow it.
    pub has_endpoint: bool,
    /// The fleet's budgets refused it.
    pub is_quota_exhausted: bool,
}

/// The state of one tier. The caller counts attempts in and out by [`Tier::attempt_started`] and [`Tier::record_outcome`].
#[derive(Debug)]
pub(super) struct Tier {
    pub settings: TierSettings,
    pub endpoints: EndpointPool,
    pub limit: ConcurrencyLimit,
    pub circuit_breaker: CircuitBreaker,
    pub retry_budget: RetryBudget,
    /// Replaces the retry budget where retries are funded by the whole fleet.
    pub retry_credit: Option<RetryCredit>,
    pub latencies: LatencyWindow,
    pub in_flight: u32,
    pub counters: TierCounters,
}

impl Tier {
    /// An idle tier.
    pub fn new(now: Micros, settings: TierSettings) -> Tier {
        let endpoints = EndpointPool::new(&settings.endpoints, settings.outlier_ejection);
        Tier {
            endpoints: endpoints.with_slow_start(settings.slow_start),
            limit: ConcurrencyLimit::new(settings.limit),
            circuit_breaker: CircuitBreaker::new(now, settings.circuit_breaker),
            retry_budget: RetryBudget::new(settings.retry.share, settings.retry.burst),
            retry_credit: None,
            latencies: LatencyWindow::new(now, settings.latency_window),
            in_flight: 0,
            counters: TierCounters::default(),
            settings,
        }
    }

    /// Whether one more retry is allowed, and how it is funded. Takes it from this process's budget where that has one.
    pub fn try_retry(&mut self, now: Micros) -> Option<RetryFunding> {
        let Some(credit) = &mut self.retry_credit else {
            return self.retry_budget.try_retry().then_some(RetryFunding::ProcessCredit);
        };
        let is_earned = credit.try_retry(now);
        Some(if is_earned { RetryFunding::ProcessCredit } else { RetryFunding::FleetBudget })
    }

    /// Chooses an endpoint and takes a permit for it. The permit is taken last, once nothing else stands in the way. A zone
    /// that is returning to service and whose budget is exhausted is excluded, and another endpoint is chosen.
    ///
    /// # Errors
    /// No endpoint is available, `is_admitted` is false, or the fleet's budgets are exhausted.
    pub fn place_attempt(
        &mut self,
        now: Micros,
        tier: TierId,
        tried: &[EndpointId],
        is_admitted: bool,
        funding: RetryFunding,
        context: &mut PlacementContext<'_>,
    ) -> Result<Placement, PlacementError> {
        let mut exhausted_zones = Vec::new();
        let endpoint_count = self.endpoints.counts(now).1;
        loop {
            let allowed = context
                .routes
                .map(|routes| routes.allowed_endpoints(tier, endpoint_count, &exhausted_zones, context.rng));
            let endpoint = self.endpoints.choose(now, tried, allowed.as_deref(), context.rng);
            let target =
                endpoint.filter(|_| is_admitted).and_then(|id| Some((id, self.endpoints.address(id)?)));
            let Some((id, address)) = target else {
                return Err(PlacementError { has_endpoint: endpoint.is_some(), is_quota_exhausted: false });
            };
            let recovery = context.routes.and_then(|routes| routes.recovery_budget(tier, id));
            let permit = match context.quota {
                Some(quota) => quota.acquire(tier, funding, recovery.map(|(_, budget)| budget)),
                None => Ok(None),
            };
            match (permit, recovery) {
                (Ok(permit), _) => return Ok(Placement { endpoint: id, address, permit }),
                (
                    Err(PermitError::Exhausted(budget) | PermitError::LeaseExpired(budget)),
                    Some((zone, of_zone)),
                ) if budget == of_zone => {
                    exhausted_zones.push(zone);
                }
                (Err(_), _) => {
                    return Err(PlacementError { has_endpoint: true, is_quota_exhausted: true });
                }
            }
        }
    }

    /// Counts an attempt that starts.
    pub fn attempt_started(&mut self, now: Micros, kind: AttemptKind, endpoint: EndpointId) {
        match kind {
            AttemptKind::First => {
                self.counters.first_attempts += 1;
                self.retry_budget.record_first_attempt();
            }
            AttemptKind::Fallback => {
                self.counters.fallbacks += 1;
                self.retry_budget.record_first_attempt();
            }
            AttemptKind::Retry => self.counters.retries += 1,
            AttemptKind::Hedge => self.counters.hedges += 1,
        }
        self.in_flight += 1;
        self.circuit_breaker.call_started();
        self.endpoints.call_started(now, endpoint);
    }

    /// How long to wait for an attempt before it is hedged; `None` if the tier does not hedge or knows too few latencies.
    pub fn hedge_delay(&mut self, now: Micros) -> Option<Micros> {
        let quantile = self.settings.retry.hedge?;
        if self.latencies.sample_count(now) < HEDGE_SAMPLES_MIN {
            return None;
        }
        self.latencies.quantile(now, quantile)
    }

    /// Counts an outcome and updates latencies and limit. Returns whether the attempt succeeded.
    pub fn record_outcome(&mut self, now: Micros, started_at: Micros, outcome: Outcome) -> bool {
        let latency = now - started_at;
        match outcome {
            Outcome::Good => self.counters.succeeded += 1,
            Outcome::Late => self.counters.timed_out += 1,
            outcome if never_ran(outcome) => self.counters.never_ran += 1,
            _ => self.counters.failed += 1,
        }
        let has_succeeded = matches!(outcome, Outcome::Good | Outcome::Moot);
        if has_succeeded {
            self.latencies.record(now, latency);
        }
        let signal = match outcome {
            Outcome::Full | Outcome::Late => CongestionSignal::Congested,
            _ => CongestionSignal::Latency(latency),
        };
        // The latency of an immediate failure does not show how loaded the tier is.
        if has_succeeded || signal == CongestionSignal::Congested {
            self.limit.record_call(now, started_at, self.in_flight + 1, signal);
        }
        has_succeeded
    }
}
