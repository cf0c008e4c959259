use proptest::collection::vec;
use proptest::prelude::*;

use super::*;

const AT: Micros = Micros(1_000);
/// Beyond all windows, before all ends.
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

fn cross(changes: Vec<Change>, to: &mut Store) -> Vec<Received> {
    changes.into_iter().map(|c| to.receive(AT, c)).collect()
}

fn launched(s: &mut Store, name: &str) {
    assert_eq!(s.launch(name), Ok(()));
}

type Life = fn(&mut Store);

/// Where the first attempt has got to, and what a further one gets here and in the successor.
fn lives() -> [(&'static str, Life, Verdict, Verdict); 7] {
    let wait = || Verdict::Wait("a".to_owned());
    let result = || Verdict::Result(done());
    [
        ("held", |_| {}, wait(), Verdict::Failed),
        ("running", |s| launched(s, "a"), wait(), Verdict::Failed),
        (
            "ended well",
            |s| {
                launched(s, "a");
                s.ended("a", Some(&done()));
                s.settled("a");
            },
            result(),
            result(),
        ),
        (
            "ended badly",
            |s| {
                launched(s, "a");
                s.ended("a", None);
                s.settled("a");
            },
            Verdict::Failed,
            Verdict::Failed,
        ),
        (
            "given up while paused",
            |s| {
                launched(s, "a");
                s.settled("a");
            },
            Verdict::Failed,
            Verdict::Failed,
        ),
        ("turned away", |s| s.settled("a"), Verdict::New, Verdict::New),
        (
            "void",
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
fn what_a_further_attempt_gets() {
    for (what, live, here, there) in lives() {
        for told_before in [true, false] {
            let (mut old, mut new) = (Store::default(), Store::default());
            if told_before {
                cross(old.share(AT, Side::Incumbent), &mut new);
            }
            assert_eq!(old.accept(AT, attempt("a", "k")), Accepted::Go);
            live(&mut old);
            let news = if told_before { old.changes() } else { old.share(AT, Side::Incumbent) };
            cross(news, &mut new);
            for (s, want) in [(&mut old, &here), (&mut new, &there)] {
                assert_eq!(s.verdict(AT, &attempt("b", "k")), *want, "{what}, by key");
                assert_eq!(s.verdict(AT, &attempt("b", "l")), Verdict::New, "{what}, another key");
                assert_eq!(s.verdict(AT, &without_key("b")), Verdict::New, "{what}, no key");
                let behind = Attempt { earliest: WINDOW_END, ..attempt("b", "k") };
                assert_eq!(s.verdict(AT, &behind), Verdict::New, "{what}, behind its window");
                let inside = Attempt { earliest: WINDOW_END - Micros(1), ..attempt("b", "k") };
                assert_eq!(s.verdict(KEEP_UNTIL - Micros(1), &inside), *want, "{what}, read late");
                let other_body = Attempt { fingerprint: Fingerprint::of(b"other"), ..attempt("b", "k") };
                let conflict = if *want == Verdict::New { Verdict::New } else { Verdict::Conflict };
                assert_eq!(s.verdict(AT, &other_body), conflict, "{what}, another body");
            }
        }
    }
}

/// The same name again: a name stands for one attempt, with a key or without.
#[test]
fn a_name_that_has_been_used() {
    for first in [attempt("a", "k"), without_key("a")] {
        let mut s = Store::default();
        assert_eq!(s.accept(AT, first.clone()), Accepted::Go);
        launched(&mut s, "a");
        s.ended("a", Some(&done()));
        let want = if first.key.is_some() { Verdict::Result(done()) } else { Verdict::Failed };
        assert_eq!(s.verdict(AT, &first), want);
        assert_eq!(s.verdict(AT, &attempt("a", "l")), Verdict::Failed);
        assert_eq!(s.verdict(KEEP_UNTIL, &first), Verdict::New);
    }
}

/// Whatever was decided before: one launch of a key leaves in its window.
#[test]
fn launches_that_do_not_leave() {
    let mut s = Store::default();
    assert_eq!(s.launch("a"), Err(Withheld::Unknown));
    for name in ["a", "b"] {
        assert_eq!(s.accept(AT, attempt(name, "k")), Accepted::Go);
    }
    launched(&mut s, "a");
    assert_eq!(s.launch("a"), Err(Withheld::Again));
    assert_eq!(s.launch("b"), Err(Withheld::Ran("a".to_owned())));
    s.ended("a", None);
    assert_eq!(s.launch("b"), Err(Withheld::Ran("a".to_owned())));
    s.share(AT, Side::Successor);
    assert_eq!(s.accept(AT, attempt("c", "l")), Accepted::Ask);
    assert_eq!(s.launch("c"), Err(Withheld::Asking));
    cross(vec![Change::Granted { name: "c".to_owned() }], &mut s);
    launched(&mut s, "c");
    cross(vec![Change::Known(attempt("d", "m"), Progress::Open)], &mut s);
    assert_eq!(s.launch("d"), Err(Withheld::Unknown));
}

/// A full table turns new attempts away and drops none; results have a budget of their own.
#[test]
fn what_is_known_is_bounded() {
    let mut s = Store::default();
    let big = Bytes::from(vec![0; 64 << 10]);
    for n in 0..ATTEMPTS_MAX {
        assert_eq!(s.accept(AT, attempt(&n.to_string(), &n.to_string())), Accepted::Go);
        launched(&mut s, &n.to_string());
        s.ended(&n.to_string(), Some(&big));
    }
    assert_eq!(s.accept(AT, attempt("more", "k")), Accepted::Full);
    assert_eq!(s.accept_here(AT, attempt("more", "k")), Accepted::Full);
    assert_eq!((s.len(), s.by_end.len()), (ATTEMPTS_MAX, ATTEMPTS_MAX));
    assert!(s.result_bytes() <= RESULT_BYTES_MAX && s.results.len() == RESULT_BYTES_MAX / big.len());
    assert_eq!(s.verdict(AT, &attempt("x", "0")), Verdict::Failed);
    let mut new = Store::default();
    cross(s.share(AT, Side::Incumbent), &mut new);
    assert_eq!(new.verdict(AT, &attempt("x", "0")), Verdict::Failed, "its result is gone in both");
    let last = (ATTEMPTS_MAX - 1).to_string();
    assert_eq!(s.verdict(AT, &attempt("x", &last)), Verdict::Result(big));
    assert_eq!(s.accept(KEEP_UNTIL, attempt("more", "k")), Accepted::Go);
    assert_eq!((s.len(), s.by_key.len(), s.results.len(), s.result_bytes()), (1, 1, 0, 0));
}

/// What the other process says changes nothing of what this one took in itself.
#[test]
fn own_knowledge_wins() {
    let mut s = Store::default();
    assert_eq!(s.accept(AT, attempt("a", "k")), Accepted::Go);
    launched(&mut s, "a");
    let news = [
        Change::Forgotten { name: "a".to_owned() },
        Change::Known(attempt("a", "l"), Progress::Bad),
        Change::Granted { name: "a".to_owned() },
        Change::Taken { name: "a".to_owned() },
    ];
    assert!(cross(news.to_vec(), &mut s).iter().all(|r| *r == Received::Noted));
    assert_eq!(s.verdict(AT, &attempt("b", "k")), Verdict::Wait("a".to_owned()));
}

/// A reload that lengthens a window lengthens it for what has run; one that shortens it does not.
#[test]
fn a_reload_never_ends_a_window_early() {
    for (window, inside) in [(20_000, true), (1_000, false)] {
        let mut s = Store::default();
        assert_eq!(s.accept(AT, attempt("a", "k")), Accepted::Go);
        launched(&mut s, "a");
        s.extend_windows(|class| (class == "order").then_some(Micros(window)));
        let early = Attempt { earliest: WINDOW_END - Micros(1), ..attempt("b", "k") };
        assert_eq!(s.verdict(AT, &early), Verdict::Wait("a".to_owned()));
        let late = Attempt { earliest: AT + Micros(19_000), ..attempt("b", "k") };
        assert_eq!(s.verdict(KEEP_UNTIL, &late) == Verdict::Wait("a".to_owned()), inside);
        assert_eq!(s.accept(KEEP_UNTIL, late), Accepted::Go);
        assert_eq!(s.len(), if inside { 2 } else { 1 });
    }
}

/// What a successor that asks is answered, by what the incumbent has of that key.
#[test]
fn what_the_incumbent_answers() {
    let table: [(&str, Life, bool); 6] = [
        ("nothing", |_| {}, true),
        ("held", |s| _ = s.accept(AT, attempt("a", "k")), false),
        (
            "ended",
            |s| {
                _ = s.accept(AT, attempt("a", "k"));
                launched(s, "a");
                s.ended("a", None);
                s.settled("a");
            },
            false,
        ),
        (
            "turned away",
            |s| {
                _ = s.accept(AT, attempt("a", "k"));
                s.settled("a");
            },
            true,
        ),
        ("another key", |s| _ = s.accept(AT, attempt("a", "l")), true),
        (
            "one whose window is over",
            |s| _ = s.accept(AT, Attempt { window_end: AT, ..attempt("a", "k") }),
            true,
        ),
    ];
    for (what, live, granted) in table {
        let (mut old, mut new) = (Store::default(), Store::default());
        old.share(AT, Side::Incumbent);
        new.share(AT, Side::Successor);
        live(&mut old);
        assert_eq!(new.accept(AT, attempt("b", "k")), Accepted::Ask);
        cross(new.changes(), &mut old);
        let want = if granted { Received::Granted("b".to_owned()) } else { Received::Taken("b".to_owned()) };
        assert_eq!(cross(old.changes(), &mut new).pop(), Some(want), "{what}");
        // Told of it, the incumbent fails a further attempt by itself.
        assert_eq!(
            old.verdict(AT, &attempt("c", "k")) == Verdict::Failed,
            granted || what == "ended",
            "{what}"
        );
    }
}

/// Nobody answers: one that was asked for goes on when the other is gone, and is given back when it is given up.
#[test]
fn what_was_asked_for_and_never_answered() {
    let (mut old, mut new) = (Store::default(), Store::default());
    old.share(AT, Side::Incumbent);
    new.share(AT, Side::Successor);
    assert_eq!(new.accept(AT, attempt("a", "k")), Accepted::Ask);
    assert_eq!(new.accept(AT, attempt("b", "l")), Accepted::Ask);
    cross(new.changes(), &mut old);
    new.settled("a");
    cross(new.changes(), &mut old);
    assert_eq!(old.verdict(AT, &attempt("c", "k")), Verdict::New);
    assert_eq!(new.part(), ["b"]);
    assert!(new.part().is_empty());
    // An answer that comes after all says nothing any more.
    assert_eq!(cross(old.changes(), &mut new), [Received::Noted, Received::Noted]);
}

/// Times cross as spans: each process has a clock of its own.
#[test]
fn times_cross_to_another_clock() {
    let rebased = attempt("a", "k").rebased(Micros(1_500), Micros(70_000));
    assert_eq!(
        (rebased.earliest, rebased.window_end, rebased.keep_until),
        (Micros(69_500), Micros(77_500), Micros(80_500))
    );
    assert_eq!(rebased.rebased(Micros(70_000), Micros(1_500)), attempt("a", "k"));
}

/// One run of a key, as the plain list of the model has it.
struct Run {
    key: usize,
    body: u8,
    written: u64,
}

const WINDOW: u64 = 100;
const DEADLINE: u64 = 60;

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// Against a plain list of all runs, for ever: whatever the order of readings, launches, ends, stops and clock, no attempt
    /// runs that was written within the window of a run of its key, and each result given is that of a run of its key and body.
    #[test]
    fn nothing_runs_twice_within_a_window(
        events in vec((0..8u8, 0..3usize, 0..2u8, 0..40u64), 1..120)
    ) {
        let mut s = Store::default();
        let (mut now, mut runs) = (10_000u64, Vec::<Run>::new());
        // In hand, and of these those that run: name, key, body, written, running.
        let mut hand: Vec<(String, usize, u8, u64, bool)> = Vec::new();
        for (n, (what, k, body, x)) in events.into_iter().enumerate() {
            now += x / 4;
            // What is in hand is answered by its deadline.
            hand.retain(|h| {
                let over = h.3 + DEADLINE <= now;
                if over {
                    if h.4 { s.ended(&h.0, None); }
                    s.settled(&h.0);
                }
                !over
            });
            match what {
                // An attempt is read, up to its deadline after it was written.
                0..=3 => {
                    let written = now - x.min(DEADLINE - 1);
                    let a = Attempt {
                        name: format!("t{n}"),
                        key: Some(key(&k.to_string())),
                        fingerprint: Fingerprint::of(&[body]),
                        earliest: Micros(written),
                        window_end: Micros(written + WINDOW),
                        keep_until: Micros(written + WINDOW + DEADLINE + 1),
                    };
                    match s.verdict(Micros(now), &a) {
                        Verdict::Result(r) => prop_assert_eq!(r, Bytes::from(format!("{k} {body}"))),
                        Verdict::Failed | Verdict::Conflict => {}
                        Verdict::Wait(name) => {
                            let other = hand.iter().find(|h| h.0 == name);
                            prop_assert!(other.is_some_and(|h| (h.1, h.2) == (k, body)), "waits for what is not there");
                            prop_assert_eq!(s.accept(Micros(now), a), Accepted::Go);
                            hand.push((format!("t{n}"), k, body, written, false));
                        }
                        Verdict::New => {
                            prop_assert_eq!(s.accept(Micros(now), a), Accepted::Go);
                            hand.push((format!("t{n}"), k, body, written, false));
                        }
                    }
                }
                // The module starts whatever it likes.
                4 | 5 => for h in hand.iter_mut().filter(|h| h.1 == k) {
                    let again = runs.iter().any(|r| r.key == k && h.3 < r.written + WINDOW);
                    let left = s.launch(&h.0).is_ok();
                    prop_assert!(!(left && (again || h.4)), "a second run");
                    prop_assert!(left || again || h.4, "a launch withheld for nothing");
                    if left {
                        h.4 = true;
                        runs.push(Run { key: k, body: h.2, written: h.3 });
                    }
                },
                // Runs end, and what is held is turned away.
                6 => hand.retain(|h| {
                    if h.1 == k && h.4 {
                        s.ended(&h.0, Some(&Bytes::from(format!("{} {}", h.1, h.2))));
                        s.settled(&h.0);
                    }
                    !(h.1 == k && h.4)
                }),
                _ => hand.retain(|h| {
                    if h.1 == k && !h.4 { s.settled(&h.0); }
                    h.1 != k || h.4
                }),
            }
            prop_assert!(runs.iter().all(|r| r.body < 2));
        }
    }

    /// Attempts of one key reach both processes in any order while news is under way for any time: one of them may run
    /// it, and what that one turned away unrun the other may.
    #[test]
    fn one_key_never_runs_in_both(plays in vec((0..6u8, 0..2usize), 1..60)) {
        let mut both = [Store::default(), Store::default()];
        both[0].share(AT, Side::Incumbent);
        both[1].share(AT, Side::Successor);
        // News under way from each, and what each has in hand: the name, and whether it runs.
        let mut ways = [std::collections::VecDeque::new(), std::collections::VecDeque::new()];
        let mut hands: [Vec<(String, bool)>; 2] = Default::default();
        let mut ran = [false; 2];
        for (n, (what, who)) in plays.into_iter().enumerate() {
            let s = &mut both[who];
            match what {
                0 | 1 => {
                    let a = attempt(&format!("t{n}"), "k");
                    if s.verdict(AT, &a) == Verdict::New && s.accept(AT, a) == Accepted::Go {
                        hands[who].push((format!("t{n}"), false));
                    }
                }
                // What is in hand starts, or is turned away unrun.
                2 => for (name, runs) in &mut hands[who] {
                    if s.launch(name).is_ok() {
                        (*runs, ran[who]) = (true, true);
                    }
                },
                3 => hands[who].retain(|(name, runs)| {
                    if !runs {
                        s.settled(name);
                    }
                    *runs
                }),
                // News arrives.
                _ => {
                    if let Some(change) = ways[1 - who].pop_front()
                        && let Received::Granted(name) = both[who].receive(AT, change)
                    {
                        hands[who].push((name, false));
                    }
                }
            }
            for (s, way) in both.iter_mut().zip(&mut ways) {
                way.extend(s.changes());
            }
            prop_assert!(!(ran[0] && ran[1]), "both have run it");
        }
    }
}
