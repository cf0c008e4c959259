//! Gauges read at each timer, and the load signal that asks callers to send less.

use super::dispatch::RUNS_PER_CORE;
use super::{Policy, TICK_MS};
use crate::interface::{Action, Gauges, LoadSignal, Micros, TimerToken};

/// Mean queueing time, as a fraction of a class's latency objective, above which callers are to send less.
const QUEUE_PART: f64 = 0.3;
/// Least allowance, requests over all callers: enough to notice that the pressure has ended.
const MIN_ALLOWANCE: f64 = 1.0;
/// Seconds between changes of the load signal.
const SIGNAL_PERIOD_S: f64 = 0.2;
/// Rise of the minimum rank per unit of pressure and signal period. Slow, because callers react late.
const RANK_RISE: f64 = 0.015;
/// Fall of the minimum rank per signal period without any pressure.
const RANK_FALL: f64 = 0.04;
/// Open connections per core above which idle ones are closed.
const CONNECTIONS_PER_CORE: f64 = 8.0;
/// How long a connection must have been without traffic to be closed then.
const CONNECTION_IDLE: Micros = Micros::from_millis(3_000);
/// Overload is logged above this pressure.
const LOGGED_PRESSURE: f64 = 2.0;
/// Least time between two logs of overload, seconds.
const LOG_PERIOD_S: f64 = 5.0;

impl Policy {
    /// Records the gauges, updates the load signal when it is due, and requests the next timer.
    pub(super) fn handle_timer(&mut self, now: Micros, gauges: &Gauges, out: &mut Vec<Action>) {
        out.push(Action::Timer(TimerToken(0), Micros::from_millis(TICK_MS)));
        self.on_cores = gauges.on_cores;
        if let Some(busy) = gauges.busy {
            self.capacity.record_busy(busy, self.begun > 0);
        }
        if (now - self.load_signal_at).as_secs_f64() >= SIGNAL_PERIOD_S {
            self.load_signal_at = now;
            // Idle connections use up the connection limit and can exclude callers; closing them costs new
            // handshakes.
            let max_connections = CONNECTIONS_PER_CORE * f64::from(self.settings.cores);
            if gauges.connections.is_some_and(|open| open > max_connections) {
                out.push(Action::CloseIdleConnections(CONNECTION_IDLE.min(self.settings.idle_max)));
            }
            self.update_load_signal(now, out);
        }
    }

    /// Expected time to run everything queued, s.
    pub(super) fn queue_time_s(&self) -> f64 {
        let slots = f64::from(self.settings.cores).max(self.begun as f64);
        self.queue.len() as f64 * self.expected.run / slots
    }

    /// Sets the load signal so that the queue stays short; requests that are not sent cost no reading.
    pub(super) fn update_load_signal(&mut self, now: Micros, out: &mut Vec<Action>) {
        // Time spent unread reveals a slow or hung machine, or many retries at once.
        let classes = self.settings.active_class_count() as f64;
        let target_s = QUEUE_PART * self.settings.classes.summary().latency_objectives_s / classes;
        let pressure = (self.queue_time_s() + self.mean_unread_s) / target_s.max(1e-3);
        let previous = self.load_signal;
        self.load_signal = match self.settings.load_signal {
            LoadSignal::None => return,
            LoadSignal::MinimumRank => self.next_minimum_rank(pressure, target_s, classes),
            LoadSignal::Allowance => self.next_allowance(now, pressure),
            LoadSignal::Weight => (1.0 / pressure.max(1.0)).max(0.1),
        };
        if previous.is_nan() || (previous - self.load_signal).abs() > 1e-3 {
            out.push(Action::SetLoadSignal((self.load_signal * 1000.0).round() / 1000.0));
        }
        if pressure > LOGGED_PRESSURE && (now - self.overload_logged).as_secs_f64() > LOG_PERIOD_S {
            self.overload_logged = now;
            out.push(Action::Log(self.overload_message()));
        }
    }

    fn next_minimum_rank(&self, pressure: f64, target_s: f64, classes: f64) -> f64 {
        // The highest class is excluded only while even reading does not keep up.
        let highest = if self.mean_unread_s > target_s { 1.0 } else { 1.0 - 1.0 / classes };
        let rise = RANK_RISE * pressure.min(3.0);
        let step = if pressure > 1.0 { rise } else { RANK_FALL * (pressure - 1.0) };
        let previous = if self.load_signal.is_nan() { 0.0 } else { self.load_signal };
        (previous + step).clamp(0.0, highest)
    }

    fn next_allowance(&self, now: Micros, pressure: f64) -> f64 {
        let all_runs = f64::from(self.settings.cores) * RUNS_PER_CORE;
        let callers = f64::from(self.settings.callers.max(1));
        let initial = 4.0 * all_runs / callers;
        let factor = if pressure > 1.0 { 0.85 } else { 1.0 + 0.15 * (1.0 - pressure) };
        let next = if self.load_signal.is_nan() { initial } else { self.load_signal * factor };
        next.clamp(MIN_ALLOWANCE / callers, initial.max(all_runs)).min(self.cold_allowance(now))
    }

    /// The largest allowance of each caller of a cold server: all callers together, including those seen
    /// since the start, may send as much as the server survives now. A warm server is protected by its
    /// pressure instead.
    fn cold_allowance(&self, now: Micros) -> f64 {
        let callers = self.callers.len().max(self.settings.callers as usize).max(1) as f64;
        if self.speed(now) < 1.0 { self.survivable_runs(now) / callers } else { f64::INFINITY }
    }

    fn overload_message(&self) -> String {
        let (limit, busy, queued) = (self.capacity.limit, self.capacity.busy, self.queue.len());
        let work = format!("N {limit:?}, {queued} queued, {} begun, busy {busy:.2}", self.begun);
        let (unread_s, signal) = (self.mean_unread_s, self.load_signal);
        format!("overload: {work}, unread {unread_s:.2} s, load signal {signal:.2}")
    }
}
