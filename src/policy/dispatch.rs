//! Selects the requests that start next, within the start limit N, the cores, the survivable runs and memory.

use super::{MEMORY_START, Policy};
use crate::interface::{Action, Effect, Micros, Outcome, RequestId, StopMode};
use crate::request_state::{ORDERS, RequestPhase, update_mean};

/// Running requests per core. Batches of events follow each other so closely that a core is never idle for
/// long, and more runs would only share cores.
pub(super) const RUNS_PER_CORE: f64 = 1.0;
/// Running requests per core that reading cannot displace, so that part of the cores always serves.
const MIN_RUNS_PER_CORE: f64 = 0.3;
/// Fraction of the survivable runs that may be begun at a time.
const SURVIVABLE_USE: f64 = 0.75;

impl Policy {
    /// Lower bound of the server's speed, as a fraction of its full speed.
    pub(super) fn speed(&self, now: Micros) -> f64 {
        let settings = &self.settings;
        if !settings.is_cold || settings.warm_up_time.0 == 0 {
            return 1.0;
        }
        let elapsed = (now - self.started_at.unwrap_or(now)).as_secs_f64();
        let part = (elapsed / settings.warm_up_time.as_secs_f64()).min(1.0);
        settings.cold_speed + (1.0 - settings.cold_speed) * part
    }

    /// Removes a request from the running ones, without waiting for the next gauge.
    pub(super) fn leave_cores(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.running.remove(&(request.order, id)) {
            self.on_cores = self.on_cores.map(|count| (count - 1.0).max(0.0));
        }
    }

    /// Adds a request to the running ones, without waiting for the next gauge.
    pub(super) fn enter_cores(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.phase = RequestPhase::Running;
        self.running.insert((request.order, id));
        self.on_cores = self.on_cores.map(|count| count + 1.0);
    }

    /// Whether one more request may run. The gauge does not count runs that wait for a disk.
    fn has_free_core(&self) -> bool {
        let cores = f64::from(self.settings.cores);
        let running = self.running.len() as f64;
        // Tasks that read requests count once MIN_RUNS_PER_CORE run. Many reads and runs at once would slow
        // each other down, and reading would fall behind.
        let has_enough_runs = running >= cores * MIN_RUNS_PER_CORE;
        let in_use =
            self.on_cores.map_or(running, |count| if has_enough_runs { count } else { count.min(running) });
        in_use < cores * RUNS_PER_CORE
    }

    /// Most running requests that the server can sustain at its present speed.
    pub(super) fn survivable_runs(&self, now: Micros) -> f64 {
        let above_one = (self.settings.max_runs_per_core - 1.0).max(0.0) * self.speed(now);
        (1.0 + above_one) * f64::from(self.settings.cores)
    }

    /// Whether one more run may begin. Paused requests and those that wait for calls count too, as all of
    /// them may return to the cores at once.
    fn may_begin_run(&self, now: Micros) -> bool {
        self.begun as f64 + 1.0 <= (self.survivable_runs(now) * SURVIVABLE_USE).max(1.0)
    }

    /// Whether `order` is higher than `other` by at least the width of one class's rank range.
    fn outranks(&self, order: i64, other: i64) -> bool {
        (order - other) as f64 >= ORDERS / self.settings.active_class_count() as f64
    }

    /// The running request to pause for a queued request of this order, if work can be paused. This lets
    /// urgent work overtake long work of low value on few cores, at the cost of memory for paused work.
    fn preemptible(&self, order: i64) -> Option<RequestId> {
        let lowest = *self.running.first().filter(|_| self.settings.stop_mode == StopMode::Freeze)?;
        let class = &self.settings.classes[self.requests.get(&lowest.1)?.class];
        (class.effect == Effect::Retryable && self.outranks(order, lowest.0)).then_some(lowest.1)
    }

    /// The order that a request which may call must exceed to start. Lower ones would only wait for their
    /// calls.
    fn min_calling_order(&self) -> i64 {
        let limit = self.call_limit().max(1.0) as usize;
        self.awaiting_call.iter().rev().nth(limit - 1).map_or(i64::MIN, |waiting| waiting.0)
    }

    /// The queued request to start next, if survivable runs, the call limit and memory allow one.
    fn next_queued(&self, now: Micros) -> Option<(i64, RequestId)> {
        let highest = self.queue.highest(self.min_calling_order());
        let (order, id) = highest.filter(|_| self.may_begin_run(now))?;
        let added_kb = self.requests.get(&id)?.kb * (self.settings.run_memory_factor - 1.0);
        let fits = self.begun == 0 || self.memory_kb() + added_kb <= self.settings.memory_kb * MEMORY_START;
        fits.then_some((order, id))
    }

    /// Starts queued requests, highest rank first, as far as N allows, and resumes paused ones.
    pub(super) fn start_requests(&mut self, now: Micros, out: &mut Vec<Action>) {
        loop {
            let is_core_free = self.has_free_core();
            let next = self.next_queued(now);
            let preempted = next.filter(|_| !is_core_free).and_then(|next| self.preemptible(next.0));
            let queued =
                next.filter(|_| (is_core_free || preempted.is_some()) && self.capacity.allows_start(now));
            let is_outranked = |order| queued.is_some_and(|queued| self.outranks(queued.0, order));
            let resumed = self.paused.last().copied().filter(|paused| !is_outranked(paused.0));
            match (queued, resumed) {
                // A paused request was counted in N when it first started.
                (_, Some((order, id))) if is_core_free => {
                    self.paused.remove(&(order, id));
                    out.push(Action::Run(id));
                    self.enter_cores(id);
                }
                (Some((_, id)), _) => {
                    if let Some(preempted) = preempted {
                        out.push(Action::Stop(preempted));
                        self.leave_cores(preempted);
                        self.requests.entry(preempted).and_modify(|r| r.phase = RequestPhase::Pausing);
                    }
                    self.begin_run(now, id, out);
                }
                _ => return,
            }
        }
    }

    /// Starts a queued request; requests that wait for it join it.
    fn begin_run(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        self.leave_queue(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        out.push(Action::Run(id));
        update_mean(&mut self.refused_share, 0.0);
        self.requests_kb += request.kb * (self.settings.run_memory_factor - 1.0);
        self.begun += 1;
        self.capacity.count_start();
        let followers = std::mem::take(&mut request.followers);
        if self.settings.classes[request.class].effect == Effect::Dedup {
            self.keyed_outcomes.insert(id, true);
        }
        self.enter_cores(id);
        self.reviews.schedule(id, now + Micros(1));
        for follower in followers {
            if self.requests.get(&follower).is_some_and(|f| f.phase == RequestPhase::Queued) {
                self.join(follower, id, out);
            }
        }
    }

    /// Handles the end of a run, or of the wait of a joined request.
    pub(super) fn run_ended(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        duration: Micros,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let phase = request.phase;
        if phase == RequestPhase::Pausing && outcome == Outcome::Cancelled && !request.is_answered {
            request.phase = RequestPhase::Paused;
            self.paused.insert((request.order, id));
            return;
        }
        if phase != RequestPhase::Joined && phase != RequestPhase::Queued {
            self.record_run(now, id, outcome == Outcome::Good, duration, out);
        }
        if phase == RequestPhase::Calling {
            self.calls.abandon(now + self.settings.call_linger);
        }
        if matches!(outcome, Outcome::Cancelled | Outcome::Moot) {
            self.report_failure(id, out);
        }
        self.remove(id);
    }

    /// Records the duration of a run for its class and the outcome for its key.
    fn record_run(
        &mut self,
        now: Micros,
        id: RequestId,
        is_good: bool,
        duration: Micros,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let effect = self.settings.classes[request.class].effect;
        let retains_read = request.retains_key && effect == Effect::Retryable;
        if is_good {
            self.expected.run_succeeded(request.class, duration, request.hint);
        }
        if effect == Effect::Dedup && self.retained_keys.contains(id) {
            self.keyed_outcomes.insert(id, is_good);
        } else {
            self.keyed_outcomes.remove(&id);
        }
        if retains_read && is_good && self.retained_keys.contains(id) {
            self.retain_key(now, id, self.settings.fresh_for, out);
        } else if retains_read {
            self.release_key(id, out);
        }
    }
}
