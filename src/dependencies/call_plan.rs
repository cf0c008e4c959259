//! The calls that a class makes: to which tiers, with which time limits, and with which fallbacks.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;

use super::circuit_breaker::CircuitBreakerSettings;
use super::concurrency_limit::ConcurrencyLimitSettings;
use super::load_balancer::OutlierEjectionSettings;
use super::slow_start::SlowStartSettings;
use crate::interface::Micros;

/// A tier's index in [`CallPlans::tiers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TierId(pub usize);

/// Retries and hedged requests at a tier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Attempts of one call at one tier, the first included, 1 to 5.
    pub attempts_max: u32,
    /// Retries as a share of first attempts, over all calls, 0 to 1.
    pub share: f64,
    /// Retries in one burst, 0 or more.
    pub burst: f64,
    /// A call that has taken longer than this quantile of the tier's latency is hedged; `None` never hedges.
    pub hedge: Option<f64>,
}

/// The settings of one tier.
#[derive(Clone, Debug, PartialEq)]
pub struct TierSettings {
    /// Its name.
    pub name: String,
    /// Its addresses.
    pub endpoints: Vec<SocketAddr>,
    /// The zone of each endpoint, in their order; empty if they have no labels.
    pub zones: Vec<String>,
    /// Its limit on concurrent calls.
    pub limit: ConcurrencyLimitSettings,
    /// Its circuit breaker.
    pub circuit_breaker: CircuitBreakerSettings,
    /// Its ejection of single endpoints.
    pub outlier_ejection: OutlierEjectionSettings,
    /// Slow start of endpoints that may be warming up.
    pub slow_start: SlowStartSettings,
    /// Its retries.
    pub retry: RetrySettings,
    /// The window over which its latency is measured.
    pub latency_window: Micros,
}

impl TierSettings {
    /// A tier without limit, circuit breaker, retries or hedging, as the platform's ledger is called.
    pub fn unlimited(name: &str, endpoints: Vec<SocketAddr>) -> TierSettings {
        let unlimited = 1e9;
        TierSettings {
            name: name.to_owned(),
            endpoints,
            zones: Vec::new(),
            limit: ConcurrencyLimitSettings {
                initial: unlimited,
                minimum: unlimited,
                maximum: unlimited,
                tolerance: 2.0,
            },
            circuit_breaker: CircuitBreakerSettings {
                failure_share: None,
                min_calls: 20,
                window: Micros::from_millis(10_000),
                open_duration: Micros::from_millis(1_000),
                open_duration_max: Micros::from_millis(30_000),
                probes: 2,
            },
            outlier_ejection: OutlierEjectionSettings {
                consecutive_failures: None,
                base_duration: Micros::from_millis(5_000),
                min_available_share: 0.5,
            },
            slow_start: SlowStartSettings::OFF,
            retry: RetrySettings { attempts_max: 1, share: 0.0, burst: 0.0, hedge: None },
            latency_window: Micros::from_millis(30_000),
        }
    }
}

/// What replaces the reply of a call's own tier.
#[derive(Clone, Debug, PartialEq)]
pub enum Fallback {
    /// The same call to another tier, within its limit and retry budget; a full one is skipped.
    Tier(TierId),
    /// The last good reply to the same call of the class, up to this age.
    CachedReply(Micros),
    /// A fixed reply.
    Fixed(Bytes),
}

/// One call of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct CallPlan {
    /// The tier.
    pub tier: TierId,
    /// The tier's share of the time left, above 0 to 1.
    pub time_share: f64,
    /// The upper bound of that time.
    pub time_cap: Micros,
    /// Fallbacks, in this order.
    pub fallbacks: Vec<Fallback>,
    /// It has a side effect: it is attempted once, and there is no fallback once a byte may have left.
    pub has_effect: bool,
}

/// The time of a call out of what is left: its share, at most its cap.
fn limited_time(left: Micros, share: f64, cap: Micros) -> Micros {
    Micros((left.0 as f64 * share) as u64).min(cap).min(left)
}

impl CallPlan {
    /// How long the call's own tier may take when this much time is left.
    #[must_use]
    pub fn time_limit(&self, left: Micros) -> Micros {
        limited_time(left, self.time_share, self.time_cap)
    }
}

/// One call that is made before a run.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefetchCall {
    /// The reply's name: `HOLDLIFT_CALL_` and this, in capitals.
    pub name: String,
    /// Its tier and fallbacks.
    pub call: CallPlan,
    /// Its share of the time left, fallbacks included, above 0 to 1.
    pub time_share: f64,
    /// The upper bound of that time.
    pub time_cap: Micros,
    /// There is no run without it; an optional call is left out.
    pub is_required: bool,
    /// It starts together with the call before it.
    pub starts_with_previous: bool,
    /// The var that is sent as its body; the request's body if `None`.
    pub send: Option<String>,
}

impl PrefetchCall {
    /// How long the call with its fallbacks may take when this much time is left.
    #[must_use]
    pub fn time_limit(&self, left: Micros) -> Micros {
        limited_time(left, self.time_share, self.time_cap)
    }
}

/// All tiers and plans.
#[derive(Clone, Debug, PartialEq)]
pub struct CallPlans {
    /// The tiers.
    pub tiers: Vec<TierSettings>,
    /// For each class of the settings its calls in order; a class without any uses `default_plan` for each.
    pub classes: Vec<Vec<CallPlan>>,
    /// For each class the calls that are made before its runs, for servers that can make none; may be shorter.
    pub prefetch: Vec<Arc<[PrefetchCall]>>,
    /// The plan of a call that no other plan names.
    pub default_plan: CallPlan,
}

impl CallPlans {
    /// The platform's plan: each call goes to the ledger, for as long as the decision module allows.
    pub fn platform(ledger: Option<SocketAddr>) -> CallPlans {
        CallPlans {
            tiers: vec![TierSettings::unlimited("ledger", ledger.into_iter().collect())],
            classes: Vec::new(),
            prefetch: Vec::new(),
            default_plan: CallPlan {
                tier: TierId(0),
                time_share: 1.0,
                time_cap: Micros(u64::MAX),
                fallbacks: Vec::new(),
                has_effect: false,
            },
        }
    }

    /// The plan of a class's nth call, from 0.
    pub fn call(&self, class: usize, nth: usize) -> &CallPlan {
        self.classes.get(class).and_then(|calls| calls.get(nth)).unwrap_or(&self.default_plan)
    }

    /// The calls that are made before a class's runs, if any.
    pub fn prefetch(&self, class: usize) -> Option<&Arc<[PrefetchCall]>> {
        self.prefetch.get(class).filter(|calls| !calls.is_empty())
    }
}
