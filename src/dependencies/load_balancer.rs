//! The endpoints of one tier: which of them a call goes to, and which are ejected as outliers for a while.
//!
//! Of two endpoints drawn at random, the one with fewer calls in flight, weighted by latency, is chosen (Mitzenmacher, "The
//! Power of Two Choices in Randomized Load Balancing", 2001). An endpoint is ejected after failures in a row; a share of the
//! endpoints is never ejected.

use std::net::SocketAddr;

use rand::{Rng, RngExt};

use super::slow_start::{SlowStart, SlowStartSettings};
use crate::interface::{Micros, Outcome};

/// Weight of a new latency in the moving average.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;
/// Largest multiple of the base duration that an ejection lasts.
const EJECTION_FACTOR_MAX: u32 = 6;

/// The settings of outlier ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierEjectionSettings {
    /// Failures in a row after which an endpoint is ejected; `None` never ejects one.
    pub consecutive_failures: Option<u32>,
    /// Duration of the first ejection; each further one lasts as much longer.
    pub base_duration: Micros,
    /// Share of the endpoints that is never ejected, 0 to 1; at least one endpoint.
    pub min_available_share: f64,
}

#[derive(Clone, Debug)]
struct Endpoint {
    address: SocketAddr,
    in_flight: u32,
    /// Moving average of the latency of successful calls, µs; 0 before the first.
    latency: f64,
    consecutive_failures: u32,
    /// Ejections in a row: the factor of the next one's duration.
    ejections: u32,
    ejected_until: Option<Micros>,
    slow_start: SlowStart,
}

impl Endpoint {
    fn new(address: SocketAddr) -> Endpoint {
        Endpoint {
            address,
            in_flight: 0,
            latency: 0.0,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: None,
            slow_start: SlowStart::warm(),
        }
    }

    fn is_available(&self, now: Micros) -> bool {
        self.ejected_until.is_none_or(|until| now >= until)
    }

    /// Expected cost of one more call: the calls in flight weighted by latency.
    fn cost(&self) -> f64 {
        f64::from(self.in_flight + 1) * self.latency.max(1.0)
    }

    /// Only successful calls count towards the latency: an endpoint that fails fast must not attract calls by it.
    fn record_success(&mut self, now: Micros, latency: Micros) {
        self.consecutive_failures = 0;
        self.ejections = self.ejections.saturating_sub(u32::from(self.is_available(now)));
        let latency = latency.0 as f64;
        self.latency = if self.latency == 0.0 {
            latency
        } else {
            self.latency * (1.0 - LATENCY_EWMA_WEIGHT) + latency * LATENCY_EWMA_WEIGHT
        };
    }

    fn eject(&mut self, now: Micros, base_duration: Micros) {
        self.ejections = (self.ejections + 1).min(EJECTION_FACTOR_MAX);
        self.consecutive_failures = 0;
        self.ejected_until = Some(now + Micros(base_duration.0 * u64::from(self.ejections)));
    }
}

/// An endpoint's index in its pool; indexes stay while calls are in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub usize);

/// All endpoints of a tier.
#[derive(Clone, Debug)]
pub struct EndpointPool {
    endpoints: Vec<Endpoint>,
    settings: OutlierEjectionSettings,
    slow_start: SlowStartSettings,
}

impl EndpointPool {
    /// A pool of these addresses, none of them in slow start.
    pub fn new(addresses: &[SocketAddr], settings: OutlierEjectionSettings) -> EndpointPool {
        let endpoints = addresses.iter().map(|address| Endpoint::new(*address)).collect();
        EndpointPool { endpoints, settings, slow_start: SlowStartSettings::OFF }
    }

    /// The same pool with slow start.
    #[must_use]
    pub fn with_slow_start(self, slow_start: SlowStartSettings) -> EndpointPool {
        EndpointPool { slow_start, ..self }
    }

    /// Takes over the slow start of a previous pool: an address that was not in it may be warming up.
    pub fn inherit_slow_start(&mut self, previous: &EndpointPool) {
        for endpoint in &mut self.endpoints {
            let known = previous.endpoints.iter().find(|other| other.address == endpoint.address);
            endpoint.slow_start = known.map_or(SlowStart::unverified(), |other| other.slow_start);
        }
    }

    /// The address of an endpoint.
    pub fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.endpoints.get(id.0).map(|endpoint| endpoint.address)
    }

    /// The number of endpoints that are not ejected, and of all.
    pub fn counts(&self, now: Micros) -> (usize, usize) {
        let available = self.endpoints.iter().filter(|endpoint| endpoint.is_available(now)).count();
        (available, self.endpoints.len())
    }

    /// Chooses the endpoint for a call: one of the `allowed` if given, and none of `tried` if there is another.
    pub fn choose(
        &mut self,
        now: Micros,
        tried: &[EndpointId],
        allowed: Option<&[bool]>,
        rng: &mut impl Rng,
    ) -> Option<EndpointId> {
        let candidates = self.candidates(now, allowed, rng);
        let untried: Vec<usize> =
            candidates.iter().copied().filter(|index| !tried.contains(&EndpointId(*index))).collect();
        let from = if untried.is_empty() { candidates } else { untried };
        if from.is_empty() {
            return None;
        }
        let mut draw = || from[rng.random_range(0..from.len())];
        let (first, second) = (draw(), draw());
        let is_first_cheaper = self.endpoints[first].cost() <= self.endpoints[second].cost();
        Some(EndpointId(if is_first_cheaper { first } else { second }))
    }

    /// Indexes of the endpoints that are available, admitted by slow start and allowed.
    fn candidates(&mut self, now: Micros, allowed: Option<&[bool]>, rng: &mut impl Rng) -> Vec<usize> {
        let is_allowed =
            |index: usize| allowed.is_none_or(|flags| flags.get(index).copied().unwrap_or(false));
        let mut candidates = Vec::new();
        for (index, endpoint) in self.endpoints.iter_mut().enumerate() {
            // Slow start is asked of every available endpoint, as it draws its slot when first asked.
            let is_admitted =
                endpoint.is_available(now) && endpoint.slow_start.admits(now, &self.slow_start, rng);
            if is_admitted && is_allowed(index) {
                candidates.push(index);
            }
        }
        candidates
    }

    /// Counts a call that starts.
    pub fn call_started(&mut self, now: Micros, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id.0) {
            endpoint.in_flight += 1;
            endpoint.slow_start.call_started(now, &self.slow_start);
        }
    }

    /// Counts out a call that was cancelled for no fault of the endpoint.
    pub fn call_cancelled(&mut self, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id.0) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Takes the outcome of a call. Returns whether the endpoint is ejected by it.
    pub fn call_ended(&mut self, now: Micros, id: EndpointId, latency: Micros, outcome: Outcome) -> bool {
        let has_failed = !matches!(outcome, Outcome::Good | Outcome::Moot);
        let (available, total) = self.counts(now);
        let never_ejected = ((total as f64 * self.settings.min_available_share).ceil() as usize).max(1);
        let Some(endpoint) = self.endpoints.get_mut(id.0) else { return false };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        endpoint.slow_start.call_ended(now, &self.slow_start, outcome);
        if !has_failed {
            endpoint.record_success(now, latency);
            return false;
        }
        endpoint.consecutive_failures += 1;
        let is_outlier =
            self.settings.consecutive_failures.is_some_and(|most| endpoint.consecutive_failures >= most);
        let is_ejected = is_outlier && endpoint.is_available(now) && available > never_ejected;
        if is_ejected {
            endpoint.eject(now, self.settings.base_duration);
        }
        is_ejected
    }
}
