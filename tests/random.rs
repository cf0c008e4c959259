//! Seeded random event sequences against a small keeper of the rules' books.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use holdlift::*;

/// A small generator, so that sequences never change with a library.
struct Lots(u64);

impl Lots {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
    fn part(&mut self) -> f64 {
        self.below(1_000_000) as f64 / 1e6
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum At {
    Held,
    Joined,
    Running,
    Parked,
    Calling,
    Paused,
}

struct Book {
    at: At,
    class: usize,
    kb: f64,
    arrived: Micros,
    due: Micros,
    answered: bool,
    ran: bool,
    logical: u32,
}

fn play(seed: u64, settings: Settings) -> (usize, usize, usize) {
    let mut lots = Lots(seed);
    let mut s = PolicyUnderTest::new(settings.clone());
    let mut books: BTreeMap<u32, Book> = BTreeMap::new();
    // Keyed requests by subject: when the try that ran arrived, and the entry (try, end).
    let mut ran_at: BTreeMap<u32, (Micros, u32)> = BTreeMap::new();
    let mut entry: BTreeMap<u32, (u32, Micros)> = BTreeMap::new();
    let mut entry_ends: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut next = 1;
    let mut notice: Option<(Micros, Micros)> = None;
    // Stopped work: its end is reported with the next batch.
    let mut stopped: BTreeSet<u32> = BTreeSet::new();
    let (mut total_runs, mut total_answers, mut total_pauses) = (0, 0, 0);
    for round in 0..6_000u64 {
        let now = s.now + Micros::from_millis(5);
        let mut events = Vec::new();
        if round % 3 == 0 {
            let busy =
                if books.values().any(|b| b.at == At::Running) { 0.6 + 0.4 * lots.part() } else { 0.05 };
            events.push(Event::Timer(TimerToken(0), Gauges { busy: Some(busy), ..Gauges::default() }));
        }
        if round == 5_000 {
            notice = Some((now, now + Micros::from_millis(3_000)));
            events.push(Event::Drain(now + Micros::from_millis(3_000)));
        }
        let storm = if (round / 700) % 2 == 1 { 5 } else { 20 };
        while lots.below(storm) == 0 && round < 5_500 {
            let class = lots.below(3) as usize;
            let backlog = Micros::from_millis(lots.below(6) * lots.below(60));
            let logical = if class == 1 { lots.below(40) } else { 1_000 + u64::from(next) } as u32;
            let arrived = now - backlog;
            // A try that ran is named by all that reach the machine within its window, however late they are read,
            // also where a newer try, from after that window, has an entry by then.
            let repeats = ran_at
                .get(&logical)
                .filter(|(a, _)| *a + Micros::from_millis(5_000) >= arrived)
                .map(|r| RequestId(r.1))
                .or_else(|| {
                    entry.get(&logical).filter(|(_, end)| *end >= arrived).map(|(id, _)| RequestId(*id))
                })
                .or_else(|| {
                    books
                        .iter()
                        .find(|(_, b)| b.logical == logical && b.at == At::Held)
                        .map(|(id, _)| RequestId(*id))
                });
            let due = (lots.below(2) == 0).then(|| now + Micros::from_millis(100 + lots.below(2_500)));
            let r = Request {
                unread_time: backlog,
                due,
                repeats,
                held_kb: 5.0 + 30.0 * lots.part(),
                rank: lots.part(),
                ..request(next, class)
            };
            let mut owed = due.unwrap_or(arrived + settings.classes[class].deadline).max(now);
            if let Some((_, stop)) = notice {
                owed = owed.min(stop);
            }
            books.insert(
                next,
                Book {
                    at: At::Held,
                    class,
                    kb: r.held_kb,
                    arrived,
                    due: owed,
                    answered: false,
                    ran: false,
                    logical,
                },
            );
            events.push(Event::Arrived(r));
            next += 1;
        }
        if let Some((_, stop)) = notice {
            for b in books.values_mut() {
                b.due = b.due.min(stop);
            }
        }
        for id in std::mem::take(&mut stopped) {
            if books.get(&id).is_some_and(|b| b.answered) {
                books.remove(&id);
            }
            events.push(Event::RunEnded(RequestId(id), Outcome::Cancelled, Micros(1)));
        }
        let mut gone = Vec::new();
        for (id, b) in &mut books {
            let tid = RequestId(*id);
            if b.arrived + Micros::from_millis(5) > now {
                continue;
            }
            match b.at {
                At::Running if lots.below(30) == 0 => {
                    if settings.classes[b.class].may_call && lots.below(2) == 0 {
                        events.push(Event::CallRequested(tid));
                        b.at = At::Parked;
                        continue;
                    }
                    let outcome = if lots.below(8) == 0 { Outcome::Bad } else { Outcome::Good };
                    events.push(Event::RunEnded(tid, outcome, Micros::from_millis(150)));
                    total_answers += usize::from(!b.answered);
                    gone.push(*id);
                }
                At::Parked if b.answered => {
                    events.push(Event::RunEnded(tid, Outcome::Cancelled, Micros(1)));
                    gone.push(*id);
                }
                At::Joined if lots.below(20) == 0 => {
                    events.push(Event::RunEnded(tid, Outcome::Good, Micros(1)));
                    total_answers += 1;
                    gone.push(*id);
                }
                At::Calling if lots.below(15) == 0 => {
                    let o =
                        [Outcome::Good, Outcome::Good, Outcome::Full, Outcome::Late][lots.below(4) as usize];
                    b.at = if o == Outcome::Good { At::Running } else { At::Parked };
                    events.push(Event::CallEnded(tid, o, Micros::from_millis(20)));
                }
                _ if !b.answered && lots.below(400) == 0 => {
                    events.push(Event::Cancelled(tid));
                    b.answered = true;
                    total_answers += 1;
                    if matches!(b.at, At::Held | At::Joined | At::Paused) {
                        gone.push(*id);
                    }
                }
                _ => {}
            }
        }
        for id in gone {
            books.remove(&id);
        }
        let actions = s.at(5, &events);
        for a in &actions {
            match a {
                Action::Run(id) => {
                    let b = books.get_mut(&id.0).expect("runs what it has");
                    if b.at == At::Paused {
                        b.at = At::Running;
                        continue;
                    }
                    assert_eq!(b.at, At::Held, "seed {seed}: {id:?} starts from the hold");
                    assert!(!b.answered && !b.ran);
                    if let Some((at, _)) = notice {
                        assert!(b.arrived < at + settings.drain_grace, "seed {seed}: started past the grace");
                    }
                    if settings.classes[b.class].effect == Effect::Dedup {
                        if let Some((arrived, _)) = ran_at.get(&b.logical) {
                            assert!(
                                *arrived + settings.classes[b.class].window < b.arrived,
                                "seed {seed}: {id:?} runs within the window of another try"
                            );
                        }
                        ran_at.insert(b.logical, (b.arrived, id.0));
                    }
                    (b.at, b.ran) = (At::Running, true);
                    total_runs += 1;
                }
                Action::Join(id) => {
                    let b = books.get_mut(&id.0).expect("joins what it has");
                    assert_eq!(b.at, At::Held);
                    b.at = At::Joined;
                }
                Action::Call(id, _) => {
                    let b = books.get_mut(&id.0).expect("calls for what it has");
                    assert_eq!(b.at, At::Parked);
                    b.at = At::Calling;
                }
                Action::Fail(id) | Action::Refuse { id, .. } => {
                    let b = books.get_mut(&id.0).expect("answers what it has");
                    assert!(!b.answered, "seed {seed}: {id:?} answered twice");
                    if matches!(a, Action::Refuse { .. }) {
                        assert!(!b.ran, "seed {seed}: {id:?} ran and was turned away");
                    }
                    b.answered = true;
                    total_answers += 1;
                    if matches!(b.at, At::Held | At::Joined | At::Paused) {
                        books.remove(&id.0);
                    }
                }
                Action::Stop(id) => {
                    let b = books.get_mut(&id.0).expect("stops what it has");
                    assert_ne!(settings.stop_mode, StopMode::None);
                    if !b.answered {
                        assert_eq!(
                            settings.stop_mode,
                            StopMode::Freeze,
                            "seed {seed}: progress of owed work is lost"
                        );
                        assert_eq!(settings.classes[b.class].effect, Effect::Retryable);
                        total_pauses += 1;
                        b.at = At::Paused;
                    }
                    stopped.insert(id.0);
                }
                Action::RetainKey(id, span) => {
                    entry_ends.insert(id.0, now + *span);
                    if let Some(b) = books.get(&id.0) {
                        entry.insert(b.logical, (id.0, now + *span));
                    }
                }
                Action::ForgetKey(id) => {
                    entry_ends.remove(&id.0);
                    entry.retain(|_, e| e.0 != id.0);
                }
                _ => {}
            }
        }
        for (id, b) in &books {
            assert!(b.answered || now <= b.due, "seed {seed}: {id} ({:?}) is overdue", b.at);
        }
        entry_ends.retain(|_, end| *end > now);
        let begun = |b: &&Book| !matches!(b.at, At::Held | At::Joined);
        let memory: f64 =
            books.values().map(|b| if begun(&b) { b.kb * settings.run_memory_factor } else { b.kb }).sum();
        let memory = memory + entry_ends.len() as f64 * settings.key_entry_kb;
        assert!(memory <= settings.memory_kb, "seed {seed}: {memory} kB");
        let crowd = books.values().filter(|b| b.at == At::Running).count() as f64;
        let speed = if settings.is_cold {
            (settings.cold_speed
                + (1.0 - settings.cold_speed) * (round as f64 * 0.005) / settings.warm_up_time.as_secs_f64())
            .min(1.0)
        } else {
            1.0
        };
        let most = (1.0 + (settings.max_runs_per_core - 1.0) * speed) * f64::from(settings.cores);
        assert!(crowd <= most, "seed {seed}: {crowd} on the cores");
        if let Some((_, stop)) = notice {
            assert!(now < stop || books.values().all(|b| b.answered), "seed {seed}: unanswered at the stop");
        }
    }
    (total_runs, total_answers, total_pauses)
}

#[test]
fn random_sequences_keep_the_rules() {
    let mut seed = 1;
    for halt in [StopMode::None, StopMode::Discard, StopMode::Freeze] {
        for signal in [LoadSignal::None, LoadSignal::MinimumRank, LoadSignal::Allowance, LoadSignal::Weight] {
            for (cold, calls, memory_kb) in [
                (false, false, 20_000.0),
                (true, false, 3_000.0),
                (false, true, 6_000.0),
                (true, true, 20_000.0),
            ] {
                let mut s = Settings {
                    stop_mode: halt,
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
                let (runs, answers, pauses) = play(seed, s);
                assert_eq!(pauses > 0, halt == StopMode::Freeze, "seed {seed}: {pauses} pauses");
                assert!(runs > 100 && answers > 200, "seed {seed}: {runs} runs, {answers} answers");
                seed += 1;
            }
        }
    }
}

#[test]
fn equal_events_give_equal_actions() {
    let make = || {
        let mut s = PolicyUnderTest::new(settings());
        let mut lots = Lots(3);
        let mut all = Vec::new();
        for i in 0..500 {
            let r = Request { rank: lots.part(), ..request(i, lots.below(3) as usize) };
            all.extend(s.arrive(lots.below(20), &[r]));
        }
        all
    };
    assert_eq!(make(), make());
}
