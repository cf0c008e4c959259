use proptest::collection::vec;
use proptest::prelude::*;

use super::*;

const AT: Micros = Micros(1_000);
const WINDOW_END: Micros = Micros(9_000);
const KEEP_UNTIL: Micros = Micros(12_000);

fn key(key: &str) -> IdempotencyKey {
    IdempotencyKey { front: "one".to_owned(), class: "order".to_owned(), key: key.to_owned() }
}

fn attempt(name: &str, k: &str) -> Attempt {
    Attempt {
        name: name.to_owned(),
        key: Some(key(k)),
        fingerprint: Fingerprint::of(b"body"),
        earliest: AT,
        window_end: WINDOW_END,
        keep_until: KEEP_UNTIL,
    }
}

fn without_key(name: &str) -> Attempt {
    Attempt { key: None, ..attempt(name, "") }
}

fn done() -> Bytes {
    Bytes::from_static(b"done")
}

/// Delivers messages to the other process's store.
fn deliver(changes: Vec<Change>, to: &mut IdempotencyStore) -> Vec<ChangeOutcome> {
    changes.into_iter().map(|c| to.receive(AT, c)).collect()
}

fn launched(s: &mut IdempotencyStore, name: &str) {
    assert_eq!(s.launch(name), Ok(()));
}

type History = fn(&mut IdempotencyStore);

/// Histories of a first attempt, each with the verdicts on a further one in the same process and in its successor.
fn histories() -> [(&'static str, History, Verdict, Verdict); 7] {
    let wait = || Verdict::Wait("a".to_owned());
    let result = || Verdict::Result(done());
    [
        ("queued", |_| {}, wait(), Verdict::Failed),
        ("running", |s| launched(s, "a"), wait(), Verdict::Failed),
        (
            "succeeded",
            |s| {
                launched(s, "a");
                s.ended("a", Some(&done()));
                s.settled("a");
            },
            result(),
            result(),
        ),
        (
            "failed",
            |s| {
                launched(s, "a");
                s.ended("a", None);
                s.settled("a");
            },
            Verdict::Failed,
            Verdict::Failed,
        ),
        (
            "answered while paused",
            |s| {
                launched(s, "a");
                s.settled("a");
            },
            Verdict::Failed,
            Verdict::Failed,
        ),
        ("refused before it ran", |s| s.settled("a"), Verdict::New, Verdict::New),
        (
            "launched but never started",
            |s| {
                launched(s, "a");
                s.never_ran("a");
                s.settled("a");
            },
            Verdict::New,
            Verdict::New,
        ),
    ]
}

#[test]
fn verdict_on_a_further_attempt_follows_the_history_of_the_first() {
    for (history, apply_history, own_verdict, successor_verdict) in histories() {
        for is_shared_before in [true, false] {
            let (mut old, mut new) = (IdempotencyStore::default(), IdempotencyStore::default());
            if is_shared_before {
                deliver(old.start_sharing(AT, HandoverRole::Incumbent), &mut new);
            }
            assert_eq!(old.accept(AT, attempt("a", "k")), Accepted::MayProceed);
            apply_history(&mut old);
            let messages = if is_shared_before {
                old.take_changes()
            } else {
                old.start_sharing(AT, HandoverRole::Incumbent)
            };
            deliver(messages, &mut new);
            for (s, want) in [(&mut old, &own_verdict), (&mut new, &successor_verdict)] {
                assert_eq!(s.verdict(AT, &attempt("b", "k")), *want, "{history}, by key");
                assert_eq!(s.verdict(AT, &attempt("b", "l")), Verdict::New, "{history}, another key");
                assert_eq!(s.verdict(AT, &without_key("b")), Verdict::New, "{history}, no key");
                let after_window = Attempt { earliest: WINDOW_END, ..attempt("b", "k") };
                assert_eq!(s.verdict(AT, &after_window), Verdict::New, "{history}, sent after the window");
                let within_window = Attempt { earliest: WINDOW_END - Micros(1), ..attempt("b", "k") };
                assert_eq!(s.verdict(KEEP_UNTIL - Micros(1), &within_window), *want, "{history}, read late");
                let other_body = Attempt { fingerprint: Fingerprint::of(b"other"), ..attempt("b", "k") };
                let conflict = if *want == Verdict::New { Verdict::New } else { Verdict::Conflict };
                assert_eq!(s.verdict(AT, &other_body), conflict, "{history}, another body");
            }
        }
    }
}

/// A name stands for one attempt, whether it has a key or not.
#[test]
fn a_name_used_again_shares_a_result_only_with_the_same_key() {
    for first in [attempt("a", "k"), without_key("a")] {
        let mut s = IdempotencyStore::default();
        assert_eq!(s.accept(AT, first.clone()), Accepted::MayProceed);
        launched(&mut s, "a");
        s.ended("a", Some(&done()));
        let want = if first.key.is_some() { Verdict::Result(done()) } else { Verdict::Failed };
        assert_eq!(s.verdict(AT, &first), want);
        assert_eq!(s.verdict(AT, &attempt("a", "l")), Verdict::Failed);
        assert_eq!(s.verdict(KEEP_UNTIL, &first), Verdict::New);
    }
}

/// At most one attempt of a key is launched within its window, regardless of earlier verdicts.
#[test]
fn launch_is_withheld_from_repeats_and_from_attempts_not_allowed_yet() {
    let mut s = IdempotencyStore::default();
    assert_eq!(s.launch("a"), Err(LaunchWithheld::Unknown));
    for name in ["a", "b"] {
        assert_eq!(s.accept(AT, attempt(name, "k")), Accepted::MayProceed);
    }
    launched(&mut s, "a");
    assert_eq!(s.launch("a"), Err(LaunchWithheld::AlreadyRan));
    assert_eq!(s.launch("b"), Err(LaunchWithheld::OtherAttemptRan("a".to_owned())));
    s.ended("a", None);
    assert_eq!(s.launch("b"), Err(LaunchWithheld::OtherAttemptRan("a".to_owned())));
    s.start_sharing(AT, HandoverRole::Successor);
    assert_eq!(s.accept(AT, attempt("c", "l")), Accepted::AwaitsIncumbent);
    assert_eq!(s.launch("c"), Err(LaunchWithheld::AwaitingIncumbent));
    deliver(vec![Change::Granted { name: "c".to_owned() }], &mut s);
    launched(&mut s, "c");
    deliver(vec![Change::Known(attempt("d", "m"), Progress::Open)], &mut s);
    assert_eq!(s.launch("d"), Err(LaunchWithheld::Unknown));
}

/// A full table refuses new attempts and drops none. Results have a separate byte budget.
#[test]
fn stored_attempts_and_result_bytes_are_bounded() {
    let mut s = IdempotencyStore::default();
    let big = Bytes::from(vec![0; 64 << 10]);
    for n in 0..ATTEMPTS_MAX {
        assert_eq!(s.accept(AT, attempt(&n.to_string(), &n.to_string())), Accepted::MayProceed);
        launched(&mut s, &n.to_string());
        s.ended(&n.to_string(), Some(&big));
    }
    assert_eq!(s.accept(AT, attempt("more", "k")), Accepted::Full);
    assert_eq!(s.accept_unshared(AT, attempt("more", "k")), Accepted::Full);
    assert_eq!((s.len(), s.by_end.len()), (ATTEMPTS_MAX, ATTEMPTS_MAX));
    assert!(s.result_bytes() <= RESULT_BYTES_MAX && s.results.len() == RESULT_BYTES_MAX / big.len());
    assert_eq!(s.verdict(AT, &attempt("x", "0")), Verdict::Failed);
    let mut new = IdempotencyStore::default();
    deliver(s.start_sharing(AT, HandoverRole::Incumbent), &mut new);
    assert_eq!(
        new.verdict(AT, &attempt("x", "0")),
        Verdict::Failed,
        "neither process has the result any longer"
    );
    let last = (ATTEMPTS_MAX - 1).to_string();
    assert_eq!(s.verdict(AT, &attempt("x", &last)), Verdict::Result(big));
    assert_eq!(s.accept(KEEP_UNTIL, attempt("more", "k")), Accepted::MayProceed);
    assert_eq!((s.len(), s.by_key.len(), s.results.len(), s.result_bytes()), (1, 1, 0, 0));
}

#[test]
fn messages_never_change_an_attempt_that_this_process_runs() {
    let mut s = IdempotencyStore::default();
    assert_eq!(s.accept(AT, attempt("a", "k")), Accepted::MayProceed);
    launched(&mut s, "a");
    let messages = [
        Change::Forgotten { name: "a".to_owned() },
        Change::Known(attempt("a", "l"), Progress::Bad),
        Change::Granted { name: "a".to_owned() },
        Change::Taken { name: "a".to_owned() },
    ];
    assert!(deliver(messages.to_vec(), &mut s).iter().all(|r| *r == ChangeOutcome::Recorded));
    assert_eq!(s.verdict(AT, &attempt("b", "k")), Verdict::Wait("a".to_owned()));
}

/// A reload that lengthens a class's window also lengthens it for attempts that have run; a shorter window leaves them
/// unchanged.
#[test]
fn a_reload_never_shortens_the_window_of_a_stored_attempt() {
    for (window, is_extended) in [(20_000, true), (1_000, false)] {
        let mut s = IdempotencyStore::default();
        assert_eq!(s.accept(AT, attempt("a", "k")), Accepted::MayProceed);
        launched(&mut s, "a");
        s.extend_windows(|class| (class == "order").then_some(Micros(window)));
        let early = Attempt { earliest: WINDOW_END - Micros(1), ..attempt("b", "k") };
        assert_eq!(s.verdict(AT, &early), Verdict::Wait("a".to_owned()));
        let late = Attempt { earliest: AT + Micros(19_000), ..attempt("b", "k") };
        assert_eq!(s.verdict(KEEP_UNTIL, &late) == Verdict::Wait("a".to_owned()), is_extended);
        assert_eq!(s.accept(KEEP_UNTIL, late), Accepted::MayProceed);
        assert_eq!(s.len(), if is_extended { 2 } else { 1 });
    }
}

#[test]
fn the_incumbent_allows_a_successor_attempt_unless_it_has_one_of_the_key() {
    let table: [(&str, History, bool); 6] = [
        ("no attempt", |_| {}, true),
        ("queued", |s| _ = s.accept(AT, attempt("a", "k")), false),
        (
            "failed",
            |s| {
                _ = s.accept(AT, attempt("a", "k"));
                launched(s, "a");
                s.ended("a", None);
                s.settled("a");
            },
            false,
        ),
        (
            "refused before it ran",
            |s| {
                _ = s.accept(AT, attempt("a", "k"));
                s.settled("a");
            },
            true,
        ),
        ("another key", |s| _ = s.accept(AT, attempt("a", "l")), true),
        (
            "an attempt whose window has ended",
            |s| _ = s.accept(AT, Attempt { window_end: AT, ..attempt("a", "k") }),
            true,
        ),
    ];
    for (history, apply_history, granted) in table {
        let (mut old, mut new) = (IdempotencyStore::default(), IdempotencyStore::default());
        old.start_sharing(AT, HandoverRole::Incumbent);
        new.start_sharing(AT, HandoverRole::Successor);
        apply_history(&mut old);
        assert_eq!(new.accept(AT, attempt("b", "k")), Accepted::AwaitsIncumbent);
        deliver(new.take_changes(), &mut old);
        let want = if granted {
            ChangeOutcome::Granted("b".to_owned())
        } else {
            ChangeOutcome::Taken("b".to_owned())
        };
        assert_eq!(deliver(old.take_changes(), &mut new).pop(), Some(want), "{history}");
        // The incumbent knows the attempt that it allowed, and fails a further one without asking.
        assert_eq!(
            old.verdict(AT, &attempt("c", "k")) == Verdict::Failed,
            granted || history == "failed",
            "{history}"
        );
    }
}

/// The incumbent exits without an answer: an attempt that still waits may run, and one that the successor has dropped
/// leaves no trace in the incumbent.
#[test]
fn unanswered_attempts_are_released_when_the_incumbent_exits() {
    let (mut old, mut new) = (IdempotencyStore::default(), IdempotencyStore::default());
    old.start_sharing(AT, HandoverRole::Incumbent);
    new.start_sharing(AT, HandoverRole::Successor);
    assert_eq!(new.accept(AT, attempt("a", "k")), Accepted::AwaitsIncumbent);
    assert_eq!(new.accept(AT, attempt("b", "l")), Accepted::AwaitsIncumbent);
    deliver(new.take_changes(), &mut old);
    new.settled("a");
    deliver(new.take_changes(), &mut old);
    assert_eq!(old.verdict(AT, &attempt("c", "k")), Verdict::New);
    assert_eq!(new.end_sharing(), ["b"]);
    assert!(new.end_sharing().is_empty());
    // Answers that arrive after that have no effect.
    assert_eq!(deliver(old.take_changes(), &mut new), [ChangeOutcome::Recorded, ChangeOutcome::Recorded]);
}

/// Each process has its own clock, so messages carry times relative to the sender's clock.
#[test]
fn rebased_times_keep_their_distance_from_the_clock() {
    let rebased = attempt("a", "k").rebased(Micros(1_500), Micros(70_000));
    assert_eq!(
        (rebased.earliest, rebased.window_end, rebased.keep_until),
        (Micros(69_500), Micros(77_500), Micros(80_500))
    );
    assert_eq!(rebased.rebased(Micros(70_000), Micros(1_500)), attempt("a", "k"));
}

/// One run of a key in the reference model.
struct Run {
    key: usize,
    body: u8,
    sent: u64,
}

const WINDOW: u64 = 100;
const DEADLINE: u64 = 60;

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// The reference model is a list of all runs that never forgets. In any order of arrivals, launches, ends and clock
    /// steps, no attempt runs that was sent within the window of a run of its key, and each result given comes from a
    /// run of the same key and body.
    #[test]
    fn no_key_runs_twice_within_a_window(
        events in vec((0..8u8, 0..3usize, 0..2u8, 0..40u64), 1..120)
    ) {
        let mut s = IdempotencyStore::default();
        let (mut now, mut runs) = (10_000u64, Vec::<Run>::new());
        // Open attempts: name, key, body, time sent, running.
        let mut open: Vec<(String, usize, u8, u64, bool)> = Vec::new();
        for (n, (event, k, body, x)) in events.into_iter().enumerate() {
            now += x / 4;
            // Open attempts are answered by their deadline.
            open.retain(|h| {
                let over = h.3 + DEADLINE <= now;
                if over {
                    if h.4 { s.ended(&h.0, None); }
                    s.settled(&h.0);
                }
                !over
            });
            match event {
                // An attempt is read, at most its deadline after it was sent.
                0..=3 => {
                    let sent = now - x.min(DEADLINE - 1);
                    let a = Attempt {
                        name: format!("t{n}"),
                        key: Some(key(&k.to_string())),
                        fingerprint: Fingerprint::of(&[body]),
                        earliest: Micros(sent),
                        window_end: Micros(sent + WINDOW),
                        keep_until: Micros(sent + WINDOW + DEADLINE + 1),
                    };
                    match s.verdict(Micros(now), &a) {
                        Verdict::Result(r) => prop_assert_eq!(r, Bytes::from(format!("{k} {body}"))),
                        Verdict::Failed | Verdict::Conflict => {}
                        Verdict::Wait(name) => {
                            let other = open.iter().find(|h| h.0 == name);
                            prop_assert!(other.is_some_and(|h| (h.1, h.2) == (k, body)), "waits for an attempt that is not open");
                            prop_assert_eq!(s.accept(Micros(now), a), Accepted::MayProceed);
                            open.push((format!("t{n}"), k, body, sent, false));
                        }
                        Verdict::New => {
                            prop_assert_eq!(s.accept(Micros(now), a), Accepted::MayProceed);
                            open.push((format!("t{n}"), k, body, sent, false));
                        }
                    }
                }
                // All open attempts of a key try to launch.
                4 | 5 => for h in open.iter_mut().filter(|h| h.1 == k) {
                    let is_repeat = runs.iter().any(|r| r.key == k && h.3 < r.sent + WINDOW);
                    let launched = s.launch(&h.0).is_ok();
                    prop_assert!(!(launched && (is_repeat || h.4)), "a second run was launched within the window");
                    prop_assert!(launched || is_repeat || h.4, "a launch was withheld although no run prevents it");
                    if launched {
                        h.4 = true;
                        runs.push(Run { key: k, body: h.2, sent: h.3 });
                    }
                },
                // Runs of a key succeed (6), or its queued attempts are refused (7).
                6 => open.retain(|h| {
                    if h.1 == k && h.4 {
                        s.ended(&h.0, Some(&Bytes::from(format!("{} {}", h.1, h.2))));
                        s.settled(&h.0);
                    }
                    !(h.1 == k && h.4)
                }),
                _ => open.retain(|h| {
                    if h.1 == k && !h.4 { s.settled(&h.0); }
                    h.1 != k || h.4
                }),
            }
            prop_assert!(runs.iter().all(|r| r.body < 2));
        }
    }

    /// Attempts of one key reach both processes in any order, and messages take any time to arrive. Only one of the
    /// processes runs the key; what one refused before it ran, the other may run.
    #[test]
    fn a_key_never_runs_in_both_processes(events in vec((0..6u8, 0..2usize), 1..60)) {
        let mut both = [IdempotencyStore::default(), IdempotencyStore::default()];
        both[0].start_sharing(AT, HandoverRole::Incumbent);
        both[1].start_sharing(AT, HandoverRole::Successor);
        // Messages under way from each process, and the open attempts of each: name, and whether it runs.
        let mut messages = [std::collections::VecDeque::new(), std::collections::VecDeque::new()];
        let mut open: [Vec<(String, bool)>; 2] = Default::default();
        let mut ran = [false; 2];
        for (n, (event, process)) in events.into_iter().enumerate() {
            let s = &mut both[process];
            match event {
                0 | 1 => {
                    let a = attempt(&format!("t{n}"), "k");
                    if s.verdict(AT, &a) == Verdict::New && s.accept(AT, a) == Accepted::MayProceed {
                        open[process].push((format!("t{n}"), false));
                    }
                }
                // Open attempts of the process are launched (2), or refused before they run (3).
                2 => for (name, runs) in &mut open[process] {
                    if s.launch(name).is_ok() {
                        (*runs, ran[process]) = (true, true);
                    }
                },
                3 => open[process].retain(|(name, runs)| {
                    if !runs {
                        s.settled(name);
                    }
                    *runs
                }),
                // A message arrives.
                _ => {
                    if let Some(change) = messages[1 - process].pop_front()
                        && let ChangeOutcome::Granted(name) = both[process].receive(AT, change)
                    {
                        open[process].push((name, false));
                    }
                }
            }
            for (s, queue) in both.iter_mut().zip(&mut messages) {
                queue.extend(s.take_changes());
            }
            prop_assert!(!(ran[0] && ran[1]), "both processes have run the key");
        }
    }
}
