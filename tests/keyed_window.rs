//! Repeats of a keyed write: one run within the window that the settings name, counted from the arrival of the try that ran,
//! the same result to each try, and the key free again behind it; however short the window, and whatever reads may share.

mod common;

use bytes::Bytes;
use common::core::Core;
use holdlift::node::{Answer, FailureReason, Input, Output};
use holdlift::{Micros, Outcome, Settings};

fn ms(x: u64) -> Micros {
    Micros::from_millis(x)
}

/// A core whose class of keyed writes has this window and deadline, and whose reads are fresh for so long.
fn core(window: u64, deadline: u64, fresh: u64) -> Core {
    let mut settings = Settings { fresh_for: ms(fresh), ..common::settings() };
    (settings.classes[1].window, settings.classes[1].deadline) = (ms(window), ms(deadline));
    Core::with(settings).start()
}

fn ask(c: &Core, call: u32, key: &str) -> Input {
    c.request(call, 1, Some(key))
}

fn ended(call: u32, end: Outcome) -> Input {
    let result = Bytes::from(format!("result {call}"));
    Input::RunEnded { name: format!("r{call}"), outcome: end, result, duration: None }
}

/// Launches by name, and answers by call.
fn seen(out: &[Output]) -> (Vec<String>, Vec<(u32, Answer)>) {
    let launched = out.iter().filter_map(|o| match o {
        Output::Launch { name, .. } => Some(name.clone()),
        _ => None,
    });
    let answered = out.iter().filter_map(|o| match o {
        Output::Answer(o, a, _) => Some((o.request_number, a.clone())),
        _ => None,
    });
    (launched.collect(), answered.collect())
}

fn served(call: u32, by: u32) -> (u32, Answer) {
    (call, Answer::Completed(Bytes::from(format!("result {by}"))))
}

/// Windows from far shorter than a deadline to longer; reads that share their results for no time, a short one, a long one.
const WINDOWS: [(u64, u64, u64); 5] =
    [(5_000, 3_000, 0), (5_000, 3_000, 200), (400, 3_000, 0), (400, 3_000, 60_000), (400, 500, 0)];

#[test]
fn a_repeat_within_the_window_has_the_result_and_does_not_run() {
    for (window, deadline, fresh) in WINDOWS {
        let mut c = core(window, deadline, fresh);
        let first = ask(&c, 1, "k");
        assert_eq!(seen(&c.advance(vec![first], 10)), (vec!["r1".to_owned()], vec![]));
        let while_it_runs = ask(&c, 2, "k");
        let out = c.advance(vec![while_it_runs, ended(1, Outcome::Good)], 20);
        let (launched, mut answered) = seen(&out);
        answered.sort_by_key(|a| a.0);
        assert_eq!((launched, answered), (vec![], vec![served(1, 1), served(2, 1)]), "{window} {fresh}");
        c.advance(vec![], window - 100);
        let late = ask(&c, 3, "k");
        assert_eq!(
            seen(&c.advance(vec![late], 20)),
            (vec![], vec![served(3, 1)]),
            "{window} {deadline} {fresh}"
        );
        // Another key is another write.
        let other = ask(&c, 4, "l");
        assert_eq!(seen(&c.advance(vec![other], 20)).0, ["r4"]);
    }
}

/// Time limits count 50 ms longer, and so does the window: what comes in these has the result and does not run.
#[test]
fn the_window_is_kept_50_ms_longer() {
    for (window, deadline, fresh) in WINDOWS {
        for (behind, runs) in [(40, false), (60, true)] {
            let mut c = core(window, deadline, fresh);
            let first = ask(&c, 1, "k");
            let start = c.now;
            c.advance(vec![first], 10);
            c.advance(vec![ended(1, Outcome::Good)], 10);
            c.advance(vec![], window - 100);
            c.now = start + ms(window + behind);
            let next = ask(&c, 2, "k");
            let (launched, answered) = seen(&c.advance(vec![next], 20));
            assert_eq!(launched.is_empty(), !runs, "{window} {deadline} {fresh} {behind}");
            assert_eq!(answered == [served(2, 1)], !runs, "{window} {deadline} {fresh} {behind}");
        }
    }
}

#[test]
fn behind_the_window_the_key_is_free() {
    for (window, deadline, fresh) in WINDOWS {
        let mut c = core(window, deadline, fresh);
        let first = ask(&c, 1, "k");
        c.advance(vec![first], 10);
        assert_eq!(seen(&c.advance(vec![ended(1, Outcome::Good)], 10)).1, [served(1, 1)]);
        c.advance(vec![], window + 100);
        let next = ask(&c, 2, "k");
        assert_eq!(
            seen(&c.advance(vec![next], 20)),
            (vec!["r2".to_owned()], vec![]),
            "{window} {deadline} {fresh}"
        );
        assert_eq!(seen(&c.advance(vec![ended(2, Outcome::Good)], 10)).1, [served(2, 2)]);
    }
}

#[test]
fn a_repeat_of_a_run_that_failed_fails_and_does_not_run() {
    for (window, deadline, fresh) in WINDOWS {
        let mut c = core(window, deadline, fresh);
        let first = ask(&c, 1, "k");
        c.advance(vec![first], 10);
        assert_eq!(
            seen(&c.advance(vec![ended(1, Outcome::Bad)], 10)).1,
            [(1, Answer::Failed(FailureReason::RunFailed))]
        );
        let again = ask(&c, 2, "k");
        let (launched, answered) = seen(&c.advance(vec![again], 20));
        assert!(launched.is_empty() && matches!(answered[..], [(2, Answer::Failed(_))]), "{answered:?}");
        c.advance(vec![], window + 100);
        let next = ask(&c, 3, "k");
        assert_eq!(seen(&c.advance(vec![next], 20)).0, ["r3"], "{window} {deadline} {fresh}");
    }
}

/// What another process of this node told of counts for its window too: within it a repeat runs nowhere, behind it the key is
/// another write's.
#[test]
fn a_window_that_another_process_told_of() {
    use holdlift::idempotency::{Attempt, Change, Fingerprint, IdempotencyKey, Progress};
    for (window, deadline, fresh) in WINDOWS {
        for (late, runs) in [(window - 100, false), (window + 100, true)] {
            let mut c = core(window, deadline, fresh);
            let key =
                IdempotencyKey { front: "one".to_owned(), class: "order".to_owned(), key: "k".to_owned() };
            let window_end = c.now + ms(window);
            let other = Attempt {
                name: "r9".to_owned(),
                key: Some(key),
                fingerprint: Fingerprint::of(b"body"),
                earliest: c.now,
                window_end,
                keep_until: window_end + ms(deadline),
            };
            let result = Bytes::from_static(b"result 9");
            c.advance(vec![Input::ChangeReceived(Change::Known(other, Progress::Good(result)))], late);
            let repeat = ask(&c, 1, "k");
            let (launched, answered) = seen(&c.advance(vec![repeat], 20));
            if runs {
                assert_eq!(
                    (launched, answered),
                    (vec!["r1".to_owned()], vec![]),
                    "{window} {deadline} {late}"
                );
            } else {
                assert_eq!((launched, answered), (vec![], vec![served(1, 9)]), "{window} {deadline} {late}");
            }
        }
    }
}
