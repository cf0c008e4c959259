//! State of the decision module ([`crate::policy`]): requests, their queue, retained keys and measured durations.
//!
//! This module only keeps records; decisions are made in [`crate::policy`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::{ClassId, ClassSettings, Micros, Request, RequestId, Settings};

/// Weight of a new sample in running means.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Fraction of a maximum or a count that remains after each new sample: half after some 700 samples.
const DECAY: f64 = 0.999;
/// A call that takes longer than this multiple of the slowest successful call counts as never answered.
const NEVER_ANSWERED: f64 = 3.0;
/// Number of steps of a request's integer order within the ranks 0 to 1.
pub(crate) const ORDERS: f64 = 1e12;
/// Expected duration of a run or a call before any has ended, as a fraction of the latency objective.
const INITIAL_DURATION: f64 = 0.15;

/// Moves a running mean towards a new sample.
pub(crate) fn update_mean(mean: &mut f64, sample: f64) {
    *mean += (sample - *mean) * SAMPLE_WEIGHT;
}

fn initial_duration(class: &ClassSettings) -> f64 {
    class.latency_objective.as_secs_f64() * INITIAL_DURATION
}

/// How long runs and calls are expected to take, s: running means over all runs and for each class.
#[derive(Default)]
pub(crate) struct ExpectedDurations {
    /// From the start to the end of a run, over all classes.
    pub run: f64,
    class_run: Vec<f64>,
    /// Mean hinted work of the runs measured, s; zero until there is a hint.
    class_hint: Vec<f64>,
    /// Duration of the slowest recent successful call of each class, s.
    pub slowest_call: Vec<f64>,
    /// Number of recent calls that were never answered; decays with each successful call.
    pub unanswered_calls: f64,
}

impl ExpectedDurations {
    /// Before anything has run, runs and calls are expected to take a small part of the latency objective.
    pub fn new(settings: &Settings) -> ExpectedDurations {
        let class_run: Vec<f64> = settings.classes.iter().map(initial_duration).collect();
        let run = class_run.iter().sum::<f64>() / class_run.len() as f64;
        ExpectedDurations {
            run,
            class_hint: vec![0.0; settings.classes.len()],
            slowest_call: class_run.clone(),
            class_run,
            unanswered_calls: 0.0,
        }
    }

    /// Applies new settings: each new class slot starts with the measurements of its previous slot, if it has one.
    pub fn apply_settings(&mut self, settings: &Settings, previous: &[(ClassId, Option<ClassId>)]) {
        for values in [&mut self.class_run, &mut self.class_hint, &mut self.slowest_call] {
            values.resize(settings.classes.len(), 0.0);
        }
        for &(ClassId(to), from) in previous {
            let initial = initial_duration(&settings.classes[to]);
            let inherited = |values: &[f64], initial| from.map_or(initial, |from| values[from.0]);
            self.class_run[to] = inherited(&self.class_run, initial);
            self.class_hint[to] = inherited(&self.class_hint, 0.0);
            self.slowest_call[to] = inherited(&self.slowest_call, initial);
        }
    }

    /// The expected duration of a request's run, s.
    pub fn run_of(&self, request: &RequestState) -> f64 {
        // Hints err by as much as work varies, so a large hint counts for half its excess (in logarithms).
        let usual = self.class_hint[request.class];
        let factor = request.hint.filter(|_| usual > 0.0).map_or(1.0, |hint| (hint / usual).sqrt());
        self.class_run[request.class] * factor
    }

    /// Records a call that succeeded after `duration`.
    pub fn call_succeeded(&mut self, class: usize, duration: Micros) {
        let slowest = &mut self.slowest_call[class];
        *slowest = (*slowest * DECAY).max(duration.as_secs_f64());
        self.unanswered_calls *= DECAY;
    }

    /// Records a call that had no answer after `duration`, when its request ended.
    pub fn call_unanswered(&mut self, class: usize, duration: Micros) {
        if duration.as_secs_f64() > NEVER_ANSWERED * self.slowest_call[class] {
            self.unanswered_calls += 1.0;
        }
    }

    /// Records a run that succeeded after `duration`.
    pub fn run_succeeded(&mut self, class: usize, duration: Micros, hint: Option<f64>) {
        update_mean(&mut self.run, duration.as_secs_f64());
        update_mean(&mut self.class_run[class], duration.as_secs_f64());
        if let Some(hint) = hint.filter(|hint| *hint > 0.0) {
            let mean = &mut self.class_hint[class];
            *mean = if *mean > 0.0 { *mean + (hint - *mean) * SAMPLE_WEIGHT } else { hint };
        }
    }
}

/// The phase of a request between its arrival and its end.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    #[default]
    Queued,
    /// It waits for the outcome of the request that it repeats.
    Joined,
    Running,
    /// It waits for its call to be placed.
    AwaitingCall,
    /// Its call is in progress.
    Calling,
    /// Its worker has been instructed to pause it and has not confirmed that.
    Pausing,
    Paused,
}

/// One request that has arrived and not ended.
#[derive(Default)]
pub(crate) struct RequestState {
    pub class: usize,
    /// Its order among the requests, by rank.
    pub order: i64,
    pub kb: f64,
    pub arrived: Micros,
    /// The time by which it must be answered.
    pub due: Micros,
    /// Until this time an answer has its full value, as far as this server can determine.
    pub objective: Micros,
    /// Hinted work, s.
    pub hint: Option<f64>,
    pub phase: RequestPhase,
    pub is_answered: bool,
    /// The request that it repeats.
    pub repeats: Option<RequestId>,
    /// Requests that wait for its outcome.
    pub followers: Vec<RequestId>,
    pub failed_calls: u32,
    /// When its latest call was placed.
    pub call_placed: Micros,
    pub retains_key: bool,
    /// Whether it is a further attempt.
    pub is_retry: bool,
    pub may_call: bool,
}

impl RequestState {
    /// A request that has just been read, queued.
    pub fn new(now: Micros, request: &Request, class: &ClassSettings) -> RequestState {
        let arrived = now - request.unread_time;
        let hint = request.expected_work.map(Micros::as_secs_f64);
        let stretch = Micros::from_secs_f64(hint.unwrap_or(0.0) * class.objective_stretch);
        // Requests beyond their tenant's quota come after all others, by rank among themselves.
        let rank = request.rank.clamp(0.0, 1.0) - f64::from(u8::from(request.is_over_quota));
        RequestState {
            class: request.class.0,
            order: (rank * ORDERS) as i64,
            kb: request.held_kb,
            arrived,
            due: request.due.filter(|due| due.0 > 0).unwrap_or(arrived + class.deadline).max(now),
            objective: arrived + (class.latency_objective + stretch).min(class.deadline),
            hint,
            repeats: request.repeats,
            is_retry: request.is_retry,
            may_call: class.may_call,
            ..RequestState::default()
        }
    }

    /// Whether its work has started. A request that has joined another does no work of its own.
    pub fn has_begun(&self) -> bool {
        self.phase != RequestPhase::Queued && self.phase != RequestPhase::Joined
    }
}

/// Queued requests sorted by order, in two sets: those that make no calls, and those that may.
#[derive(Default)]
pub(crate) struct RequestQueue([BTreeSet<(i64, RequestId)>; 2]);

impl RequestQueue {
    pub fn insert(&mut self, id: RequestId, request: &RequestState) {
        self.0[usize::from(request.may_call)].insert((request.order, id));
    }

    pub fn remove(&mut self, id: RequestId, request: &RequestState) {
        self.0[usize::from(request.may_call)].remove(&(request.order, id));
    }

    pub fn len(&self) -> usize {
        self.0.iter().map(BTreeSet::len).sum()
    }

    pub fn lowest(&self) -> Option<RequestId> {
        self.0.iter().filter_map(|part| part.first()).min().map(|first| first.1)
    }

    /// The request with the highest order. A request that may call is considered only if its order is above
    /// `min_calling_order`.
    pub fn highest(&self, min_calling_order: i64) -> Option<(i64, RequestId)> {
        let [plain, calling] = &self.0;
        plain.last().max(calling.last().filter(|last| last.0 > min_calling_order)).copied()
    }
}

/// Requests whose keys are retained, and when each retention ends.
#[derive(Default)]
pub(crate) struct RetainedKeys {
    by_end: BTreeSet<(Micros, RequestId)>,
    ends: BTreeMap<RequestId, Micros>,
}

impl RetainedKeys {
    pub fn insert(&mut self, id: RequestId, end: Micros) {
        self.remove(id);
        self.by_end.insert((end, id));
        self.ends.insert(id, end);
    }

    /// Returns whether there was an entry.
    pub fn remove(&mut self, id: RequestId) -> bool {
        self.ends.remove(&id).is_some_and(|end| self.by_end.remove(&(end, id)))
    }

    pub fn contains(&self, id: RequestId) -> bool {
        self.ends.contains_key(&id)
    }

    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Removes one entry that has ended.
    pub fn pop_ended(&mut self, now: Micros) -> Option<RequestId> {
        let (end, id) = *self.by_end.first()?;
        (end <= now && self.remove(id)).then_some(id)
    }
}

/// When each request is reviewed next.
#[derive(Default)]
pub(crate) struct ReviewSchedule {
    by_time: BTreeSet<(Micros, RequestId)>,
    times: BTreeMap<RequestId, Micros>,
}

impl ReviewSchedule {
    /// Enters a request, or moves its review.
    pub fn schedule(&mut self, id: RequestId, when: Micros) {
        if let Some(previous) = self.times.insert(id, when) {
            self.by_time.remove(&(previous, id));
        }
        self.by_time.insert((when, id));
    }

    /// Removes a request.
    pub fn remove(&mut self, id: RequestId) {
        if let Some(when) = self.times.remove(&id) {
            self.by_time.remove(&(when, id));
        }
    }

    /// Takes the next review that is due by `now`. The request has no review until it is scheduled again.
    pub fn pop_due(&mut self, now: Micros) -> Option<RequestId> {
        let (when, id) = *self.by_time.first()?;
        (when <= now && self.by_time.remove(&(when, id))).then_some(id)
    }
}

/// Calls that the dependency works on.
#[derive(Default)]
pub(crate) struct DependencyCalls {
    /// Calls placed and neither ended nor abandoned.
    pub in_progress: usize,
    /// For each abandoned call, the latest time at which the dependency ends it.
    abandoned: VecDeque<Micros>,
    /// The mean of [`DependencyCalls::count`] over the window of [`DependencyCalls::advance`].
    pub mean: f64,
}

impl DependencyCalls {
    /// Calls that the dependency works on, abandoned ones included.
    pub fn count(&self) -> f64 {
        (self.in_progress + self.abandoned.len()) as f64
    }

    /// Records an abandoned call, on which the dependency works until `end` at the latest.
    pub fn abandon(&mut self, end: Micros) {
        self.abandoned.push_back(end);
    }

    /// Advances by `elapsed`: updates the mean over `window`, and forgets abandoned calls that have ended.
    pub fn advance(&mut self, now: Micros, elapsed: Micros, window: Micros) {
        // The mean is updated before ended calls are removed, so that calls since the last step count in it.
        let window = window.as_secs_f64().max(1e-3);
        self.mean += (self.count() - self.mean) * (1.0 - (-elapsed.as_secs_f64() / window).exp());
        while self.abandoned.front().is_some_and(|end| *end <= now) {
            self.abandoned.pop_front();
        }
    }
}
