//! The overload-control decisions of one server, as a state machine driven by events and their times.
//!
//! It reads no clock, draws no random numbers and does no I/O. The state that it keeps about requests is
//! defined in [`crate::request_state`].

mod answers;
mod arrivals;
mod capacity;
mod dispatch;
mod downstream_calls;
mod load_signal;
mod reviews;

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{
    Action, Event, EventError, LoadSignal, Micros, RequestId, Settings, SettingsChange, SettingsError,
    TimerToken,
};
use crate::request_state::{
    DependencyCalls, ExpectedDurations, RequestPhase, RequestQueue, RequestState, RetainedKeys,
    ReviewSchedule,
};
use capacity::CapacityController;
pub use capacity::{IntervalMeasurements, next_start_limit};

/// Period of the housekeeping timer, ms: a quarter of the tightest answer slack seen in practice.
const TICK_MS: u64 = 15;
/// Every request is answered this long before the process is stopped.
const STOP_MARGIN: Micros = Micros::from_millis(4 * TICK_MS);
/// Fraction of memory in use above which no request starts.
const MEMORY_START: f64 = 0.85;

/// The decision module of one server. The caller passes it every event and carries out every action.
#[derive(Default)]
pub struct Policy {
    settings: Settings,
    capacity: CapacityController,
    started_at: Option<Micros>,
    requests: BTreeMap<RequestId, RequestState>,
    queue: RequestQueue,
    reviews: ReviewSchedule,
    /// Outcomes of keyed work until its window has passed: `true` if it succeeded or still runs.
    keyed_outcomes: BTreeMap<RequestId, bool>,
    retained_keys: RetainedKeys,
    requests_kb: f64,
    /// Running requests, lowest order first.
    running: BTreeSet<(i64, RequestId)>,
    /// Paused requests, lowest order first.
    paused: BTreeSet<(i64, RequestId)>,
    /// Requests that have started and not ended.
    begun: usize,
    /// Tasks on the cores: the latest gauge, adjusted for runs that started or ended since.
    on_cores: Option<f64>,
    /// Requests whose call waits to be placed, lowest order first.
    awaiting_call: BTreeSet<(i64, RequestId)>,
    calls: DependencyCalls,
    last_step: Micros,
    expected: ExpectedDurations,
    /// The load signal that callers read; not a number until the first is set.
    load_signal: f64,
    load_signal_at: Micros,
    /// Running mean of the time that requests waited unread, s.
    mean_unread_s: f64,
    /// Fraction refused of the requests that were recently started or refused.
    refused_share: f64,
    /// Accumulated permission to retry refused requests elsewhere; each such refusal uses one unit.
    elsewhere_credit: f64,
    drain_requested: Option<Micros>,
    /// When the process is stopped, if it drains or has been replaced.
    stop_at: Option<Micros>,
    overload_logged: Micros,
    /// Callers seen while the server was cold.
    callers: BTreeSet<u32>,
}

impl Policy {
    /// A new instance that has seen no events. It draws no random numbers, so the seed has no effect.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn new(settings: Settings, _seed: u64) -> Result<Policy, SettingsError> {
        settings.validate()?;
        // A cold start sets the start limit low, as the algorithm does after a reload.
        let cold_limit = (f64::from(settings.cores) * settings.cold_speed).ceil().max(1.0) as u32;
        let limit = settings.is_cold.then_some(cold_limit);
        Ok(Policy {
            capacity: CapacityController::new(limit),
            expected: ExpectedDurations::new(&settings),
            load_signal: f64::NAN,
            settings,
            ..Policy::default()
        })
    }

    /// Handles a batch of events of one time and appends the resulting actions to `out`. Call it once with no
    /// events right after the start. Events about unknown and finished requests are ignored.
    ///
    /// # Errors
    /// An event does not fit the settings. No event of the batch has been handled then.
    pub fn step(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) -> Result<(), EventError> {
        for event in events {
            event.validate(&self.settings)?;
        }
        if self.started_at.is_none() {
            self.begin(now, out);
        }
        self.expire(now);
        // Two attempts of one request may arrive in one batch, so all are queued before any is linked.
        let mut arrived = Vec::new();
        for event in events {
            match event {
                Event::Arrived(request) => {
                    self.receive(now, request);
                    arrived.push(request.id);
                }
                Event::Cancelled(id) => self.cancel(*id, out),
                Event::Drain(stop) => self.drain(now, *stop, out),
                Event::SuccessorStarted(stop) => self.stop_by(now, *stop),
                Event::CallRequested(id) => self.call_requested(*id),
                Event::RunEnded(id, outcome, lag) => self.run_ended(now, *id, *outcome, *lag, out),
                Event::CallEnded(id, outcome, lag) => self.call_ended(now, *id, *outcome, *lag, out),
                Event::Timer(_, gauges) => self.handle_timer(now, gauges, out),
                Event::SettingsChanged(change) => self.apply_settings(change),
            }
        }
        for id in arrived {
            self.link(now, id, out);
        }
        self.capacity.advance(now);
        self.review_requests(now, out);
        self.shed_queue(now, out);
        self.place_calls(now, out);
        self.start_requests(now, out);
        Ok(())
    }

    fn begin(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.started_at = Some(now);
        self.capacity.period_start = now;
        (self.last_step, self.load_signal_at) = (now, now);
        out.push(Action::Health { stored: true, good: true });
        out.push(Action::Timer(TimerToken(0), Micros::from_millis(TICK_MS)));
        // The first answer of a cold server must carry the load signal already.
        if self.settings.load_signal == LoadSignal::Allowance && self.speed(now) < 1.0 {
            self.update_load_signal(now, out);
        }
    }

    /// Applies new settings. Measurements and requests remain valid because a changed class gets another
    /// slot.
    fn apply_settings(&mut self, change: &SettingsChange) {
        self.settings = change.settings.clone();
        self.expected.apply_settings(&self.settings, &change.previous_classes);
    }

    /// Advances the means and removes retained keys that have ended.
    fn expire(&mut self, now: Micros) {
        self.calls.advance(now, now - self.last_step, self.settings.dependency_window);
        self.last_step = now;
        while let Some(id) = self.retained_keys.pop_ended(now) {
            self.keyed_outcomes.remove(&id);
        }
    }

    /// Memory in use, kilobytes: queued, running and paused requests, and retained keys.
    fn memory_kb(&self) -> f64 {
        self.requests_kb + self.retained_keys.len() as f64 * self.settings.key_entry_kb
    }

    fn leave_queue(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            self.queue.remove(id, request);
        }
    }

    /// Forgets a request, wherever it is.
    fn remove(&mut self, id: RequestId) {
        self.leave_queue(id);
        self.leave_cores(id);
        let Some(request) = self.requests.remove(&id) else { return };
        self.reviews.remove(id);
        self.awaiting_call.remove(&(request.order, id));
        self.paused.remove(&(request.order, id));
        if request.has_begun() {
            self.requests_kb -= request.kb * self.settings.run_memory_factor;
            self.begun -= 1;
            self.calls.in_progress -= usize::from(request.phase == RequestPhase::Calling);
        } else {
            self.requests_kb -= request.kb;
        }
    }
}
