//! Seeded random event sequences against a reference model, which records each request and checks every action against
//! the rules of the decision module.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use holdlift::*;

/// A small random number generator of its own, so that the sequences of a seed never change with a library.
struct Generator(u64);

impl Generator {
    /// A number below `n`.
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
    /// A fraction from 0 up to but excluding 1.
    fn fraction(&mut self) -> f64 {
        self.below(1_000_000) as f64 / 1e6
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Phase {
    Queued,
    Joined,
    Running,
    AwaitingCall,
    Calling,
    Paused,
}

/// What the model records of one open request.
struct RequestRecord {
    phase: Phase,
    class: usize,
    kb: f64,
    arrived: Micros,
    due: Micros,
    answered: bool,
    ran: bool,
    /// Attempts of one request have the same subject.
    subject: u32,
}

/// Runs one random sequence; returns the numbers of runs, answers and pauses.
fn check_random_sequence(seed: u64, settings: Settings) -> (usize, usize, usize) {
    let mut generator = Generator(seed);
    let mut s = PolicyUnderTest::new(settings.clone());
    let mut requests: BTreeMap<u32, RequestRecord> = BTreeMap::new();
    // By subject: when the attempt that ran arrived and its number, and the attempt whose key is retained and until
    // when.
    let mut ran_at: BTreeMap<u32, (Micros, u32)> = BTreeMap::new();
    let mut retained: BTreeMap<u32, (u32, Micros)> = BTreeMap::new();
    let mut retention_ends: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut next = 1;
    // When the drain was requested, and when the process is stopped.
    let mut drain: Option<(Micros, Micros)> = None;
    // Runs that are being stopped; their end is reported with the next batch.
    let mut stopped: BTreeSet<u32> = BTreeSet::new();
    let (mut total_runs, mut total_answers, mut total_pauses) = (0, 0, 0);
    for round in 0..6_000u64 {
        let now = s.now + Micros::from_millis(5);
        let mut events = Vec::new();
        if round % 3 == 0 {
            let busy = if requests.values().any(|record| record.phase == Phase::Running) {
                0.6 + 0.4 * generator.fraction()
            } else {
                0.05
            };
            events.push(Event::Timer(TimerToken(0), Gauges { busy: Some(busy), ..Gauges::default() }));
        }
        if round == 5_000 {
            drain = Some((now, now + Micros::from_millis(3_000)));
            events.push(Event::Drain(now + Micros::from_millis(3_000)));
        }
        let arrival_odds = if (round / 700) % 2 == 1 { 5 } else { 20 };
        while generator.below(arrival_odds) == 0 && round < 5_500 {
            let class = generator.below(3) as usize;
            let unread_time = Micros::from_millis(generator.below(6) * generator.below(60));
            let subject = if class == 1 { generator.below(40) } else { 1_000 + u64::from(next) } as u32;
            let arrived = now - unread_time;
            // A request repeats the attempt that ran if it reaches the machine within that attempt's window, however
            // late it is read, and even if a newer attempt from after that window has a retained key by then.
            let repeats = ran_at
                .get(&subject)
                .filter(|(ran_arrived, _)| *ran_arrived + Micros::from_millis(5_000) >= arrived)
                .map(|r| RequestId(r.1))
                .or_else(|| {
                    retained.get(&subject).filter(|(_, end)| *end >= arrived).map(|(id, _)| RequestId(*id))
                })
                .or_else(|| {
                    requests
                        .iter()
                        .find(|(_, record)| record.subject == subject && record.phase == Phase::Queued)
                        .map(|(id, _)| RequestId(*id))
                });
            let due =
                (generator.below(2) == 0).then(|| now + Micros::from_millis(100 + generator.below(2_500)));
            let r = Request {
                unread_time,
                due,
                repeats,
                held_kb: 5.0 + 30.0 * generator.fraction(),
                rank: generator.fraction(),
                ..request(next, class)
            };
            let mut answer_by = due.unwrap_or(arrived + settings.classes[class].deadline).max(now);
            if let Some((_, stop)) = drain {
                answer_by = answer_by.min(stop);
            }
            requests.insert(
                next,
                RequestRecord {
                    phase: Phase::Queued,
                    class,
                    kb: r.held_kb,
                    arrived,
                    due: answer_by,
                    answered: false,
                    ran: false,
                    subject,
                },
            );
            events.push(Event::Arrived(r));
            next += 1;
        }
        if let Some((_, stop)) = drain {
            for record in requests.values_mut() {
                record.due = record.due.min(stop);
            }
        }
        for id in std::mem::take(&mut stopped) {
            if requests.get(&id).is_some_and(|record| record.answered) {
                requests.remove(&id);
            }
            events.push(Event::RunEnded(RequestId(id), Outcome::Cancelled, Micros(1)));
        }
        let mut ended = Vec::new();
        for (id, record) in &mut requests {
            let tid = RequestId(*id);
            if record.arrived + Micros::from_millis(5) > now {
                continue;
            }
            match record.phase {
                Phase::Running if generator.below(30) == 0 => {
                    if settings.classes[record.class].may_call && generator.below(2) == 0 {
                        events.push(Event::CallRequested(tid));
                        record.phase = Phase::AwaitingCall;
                        continue;
                    }
                    let outcome = if generator.below(8) == 0 { Outcome::Bad } else { Outcome::Good };
                    events.push(Event::RunEnded(tid, outcome, Micros::from_millis(150)));
                    total_answers += usize::from(!record.answered);
                    ended.push(*id);
                }
                Phase::AwaitingCall if record.answered => {
                    events.push(Event::RunEnded(tid, Outcome::Cancelled, Micros(1)));
                    ended.push(*id);
                }
                Phase::Joined if generator.below(20) == 0 => {
                    events.push(Event::RunEnded(tid, Outcome::Good, Micros(1)));
                    total_answers += 1;
                    ended.push(*id);
                }
                Phase::Calling if generator.below(15) == 0 => {
                    let o = [Outcome::Good, Outcome::Good, Outcome::Full, Outcome::Late]
                        [generator.below(4) as usize];
                    record.phase = if o == Outcome::Good { Phase::Running } else { Phase::AwaitingCall };
                    events.push(Event::CallEnded(tid, o, Micros::from_millis(20)));
                }
                _ if !record.answered && generator.below(400) == 0 => {
                    events.push(Event::Cancelled(tid));
                    record.answered = true;
                    total_answers += 1;
                    if matches!(record.phase, Phase::Queued | Phase::Joined | Phase::Paused) {
                        ended.push(*id);
                    }
                }
                _ => {}
            }
        }
        for id in ended {
            requests.remove(&id);
        }
        let actions = s.at(5, &events);
        for a in &actions {
            match a {
                Action::Run(id) => {
                    let record = requests.get_mut(&id.0).expect("a run starts only for an open request");
                    if record.phase == Phase::Paused {
                        record.phase = Phase::Running;
                        continue;
                    }
                    assert_eq!(record.phase, Phase::Queued, "seed {seed}: {id:?} starts from the queue");
                    assert!(!record.answered && !record.ran);
                    if let Some((requested, _)) = drain {
                        assert!(
                            record.arrived < requested + settings.drain_grace,
                            "seed {seed}: {id:?} started although it arrived after the drain grace"
                        );
                    }
                    if settings.classes[record.class].effect == Effect::Dedup {
                        if let Some((arrived, _)) = ran_at.get(&record.subject) {
                            assert!(
                                *arrived + settings.classes[record.class].window < record.arrived,
                                "seed {seed}: {id:?} runs within the window of another attempt"
                            );
                        }
                        ran_at.insert(record.subject, (record.arrived, id.0));
                    }
                    (record.phase, record.ran) = (Phase::Running, true);
                    total_runs += 1;
                }
                Action::Join(id) => {
                    let record = requests.get_mut(&id.0).expect("only an open request joins another");
                    assert_eq!(record.phase, Phase::Queued);
                    record.phase = Phase::Joined;
                }
                Action::Call(id, _) => {
                    let record = requests.get_mut(&id.0).expect("a call is placed only for an open request");
                    assert_eq!(record.phase, Phase::AwaitingCall);
                    record.phase = Phase::Calling;
                }
                Action::Fail(id) | Action::Refuse { id, .. } => {
                    let record = requests.get_mut(&id.0).expect("only an open request is answered");
                    assert!(!record.answered, "seed {seed}: {id:?} answered twice");
                    if matches!(a, Action::Refuse { .. }) {
                        assert!(!record.ran, "seed {seed}: {id:?} ran and was refused");
                    }
                    record.answered = true;
                    total_answers += 1;
                    if matches!(record.phase, Phase::Queued | Phase::Joined | Phase::Paused) {
                        requests.remove(&id.0);
                    }
                }
                Action::Stop(id) => {
                    let record = requests.get_mut(&id.0).expect("only an open request is stopped");
                    assert_ne!(settings.stop_mode, StopMode::None);
                    if !record.answered {
                        assert_eq!(
                            settings.stop_mode,
                            StopMode::Freeze,
                            "seed {seed}: unanswered work lost its progress"
                        );
                        assert_eq!(settings.classes[record.class].effect, Effect::Retryable);
                        total_pauses += 1;
                        record.phase = Phase::Paused;
                    }
                    stopped.insert(id.0);
                }
                Action::RetainKey(id, span) => {
                    retention_ends.insert(id.0, now + *span);
                    if let Some(record) = requests.get(&id.0) {
                        retained.insert(record.subject, (id.0, now + *span));
                    }
                }
                Action::ForgetKey(id) => {
                    retention_ends.remove(&id.0);
                    retained.retain(|_, e| e.0 != id.0);
                }
                _ => {}
            }
        }
        for (id, record) in &requests {
            assert!(
                record.answered || now <= record.due,
                "seed {seed}: request {id} ({:?}) is overdue",
                record.phase
            );
        }
        retention_ends.retain(|_, end| *end > now);
        let begun = |record: &&RequestRecord| !matches!(record.phase, Phase::Queued | Phase::Joined);
        let memory: f64 = requests
            .values()
            .map(|record| if begun(&record) { record.kb * settings.run_memory_factor } else { record.kb })
            .sum();
        let memory = memory + retention_ends.len() as f64 * settings.key_entry_kb;
        assert!(memory <= settings.memory_kb, "seed {seed}: {memory} kB exceed the memory");
        let running = requests.values().filter(|record| record.phase == Phase::Running).count() as f64;
        let speed = if settings.is_cold {
            (settings.cold_speed
                + (1.0 - settings.cold_speed) * (round as f64 * 0.005) / settings.warm_up_time.as_secs_f64())
            .min(1.0)
        } else {
            1.0
        };
        let survivable = (1.0 + (settings.max_runs_per_core - 1.0) * speed) * f64::from(settings.cores);
        assert!(running <= survivable, "seed {seed}: {running} requests run on the cores");
        if let Some((_, stop)) = drain {
            assert!(
                now < stop || requests.values().all(|record| record.answered),
                "seed {seed}: a request is unanswered at the stop"
            );
        }
    }
    (total_runs, total_answers, total_pauses)
}

#[test]
fn random_event_sequences_keep_the_rules_under_all_settings() {
    let mut seed = 1;
    for stop_mode in [StopMode::None, StopMode::Discard, StopMode::Freeze] {
        for signal in [LoadSignal::None, LoadSignal::MinimumRank, LoadSignal::Allowance, LoadSignal::Weight] {
            for (cold, calls, memory_kb) in [
                (false, false, 20_000.0),
                (true, false, 3_000.0),
                (false, true, 6_000.0),
                (true, true, 20_000.0),
            ] {
                let mut s = Settings {
                    stop_mode,
                    load_signal: signal,
                    is_cold: cold,
                    memory_kb,
                    key_entry_kb: 30.0,
                    ..settings()
                };
                if calls {
                    (s.downstream, s.dependency_share) = (Downstream::Shared, 4.0);
                    s.classes.iter_mut().for_each(|c| c.may_call = true);
                }
                s.classes[1].late_weight = 0.2;
                let (runs, answers, pauses) = check_random_sequence(seed, s);
                assert_eq!(pauses > 0, stop_mode == StopMode::Freeze, "seed {seed}: {pauses} pauses");
                assert!(runs > 100 && answers > 200, "seed {seed}: {runs} runs, {answers} answers");
                seed += 1;
            }
        }
    }
}

#[test]
fn equal_event_sequences_give_equal_actions() {
    let run_sequence = || {
        let mut s = PolicyUnderTest::new(settings());
        let mut generator = Generator(3);
        let mut all = Vec::new();
        for i in 0..500 {
            let r = Request { rank: generator.fraction(), ..request(i, generator.below(3) as usize) };
            all.extend(s.arrive(generator.below(20), &[r]));
        }
        all
    };
    assert_eq!(run_sequence(), run_sequence());
}
