//! Settings and requests that tests share.
#![allow(dead_code)]

pub mod core;

use holdlift::*;

pub fn class(
    name: &str,
    effect: Effect,
    objective_ms: u64,
    deadline_ms: u64,
    priority_weight: f64,
) -> ClassSettings {
    ClassSettings {
        name: name.to_owned(),
        latency_objective: Micros::from_millis(objective_ms),
        deadline: Micros::from_millis(deadline_ms),
        priority_weight,
        effect,
        window: Micros::from_millis(5_000),
        ..ClassSettings::default()
    }
}

/// Settings for two cores. Class 0 is retryable, class 1 keyed, class 2 fragile.
pub fn settings() -> Settings {
    Settings {
        cores: 2,
        memory_kb: 100_000.0,
        run_memory_factor: 8.0,
        key_entry_kb: 100.0,
        classes: vec![
            class("read", Effect::Retryable, 1_000, 3_000, 1.0),
            class("order", Effect::Dedup, 1_000, 3_000, 4.0),
            class("push", Effect::Fragile, 1_000, 3_000, 2.0),
        ]
        .into(),
        replicas: 4,
        callers: 2,
        answer_slack: Micros::from_millis(60),
        cold_speed: 0.25,
        warm_up_time: Micros::from_millis(10_000),
        drain_grace: Micros::from_millis(1_000),
        max_runs_per_core: 3.0,
        runs_window: Micros::from_millis(1_500),
        is_retry_after_sent: true,
        retry_after_max: Micros::from_millis(1_000),
        min_batch_gap: Micros::from_millis(4),
        idle_max: Micros::from_millis(30_000),
        dependency_window: Micros::from_millis(5_000),
        call_linger: Micros::from_millis(200),
        ..Settings::default()
    }
}

pub fn request(id: u32, class: usize) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: None,
        is_over_quota: false,
        has_key: false,
        due: None,
        expected_work: None,
        held_kb: 20.0,
        rank: (class as f64 + 0.5) / 3.0,
        is_retry: false,
        is_write: class != 0,
        caller: 0,
        unread_time: Micros(0),
        repeats: None,
    }
}

/// A decision module in simulated time.
pub struct PolicyUnderTest {
    pub policy: Policy,
    pub now: Micros,
}

impl PolicyUnderTest {
    pub fn new(settings: Settings) -> PolicyUnderTest {
        let mut policy_under_test = PolicyUnderTest {
            policy: Policy::new(settings, 7).expect("the settings are valid"),
            now: Micros::from_millis(1_000_000),
        };
        policy_under_test.at(0, &[]);
        policy_under_test
    }

    /// Advances time by `ms`, then passes these events to the module in one step.
    pub fn at(&mut self, ms: u64, events: &[Event]) -> Vec<Action> {
        self.now = self.now + Micros::from_millis(ms);
        let mut out = Vec::new();
        self.policy.step(self.now, events, &mut out).expect("the events are valid");
        out
    }

    pub fn arrive(&mut self, ms: u64, requests: &[Request]) -> Vec<Action> {
        let events: Vec<Event> = requests.iter().cloned().map(Event::Arrived).collect();
        self.at(ms, &events)
    }

    /// Passes timer events every 15 ms for `ms`, with this share of busy cores, and collects the actions.
    pub fn idle(&mut self, ms: u64, busy: f64) -> Vec<Action> {
        let gauges = Gauges { busy: Some(busy), ..Gauges::default() };
        (0..ms / 15).flat_map(|_| self.at(15, &[Event::Timer(TimerToken(0), gauges)])).collect()
    }
}

pub fn runs(actions: &[Action]) -> Vec<u32> {
    actions.iter().filter_map(|a| if let Action::Run(id) = a { Some(id.0) } else { None }).collect()
}

/// Ids of the requests that these actions answer: failures as positive numbers, refusals as negative ones.
pub fn answers(actions: &[Action]) -> Vec<i64> {
    let answered_id = |action: &Action| match action {
        Action::Fail(id) => Some(i64::from(id.0)),
        Action::Refuse { id, .. } => Some(-i64::from(id.0)),
        _ => None,
    };
    actions.iter().filter_map(answered_id).collect()
}

pub fn ended(id: u32, outcome: Outcome) -> Event {
    Event::RunEnded(RequestId(id), outcome, Micros::from_millis(100))
}
