//! Repeats of a keyed write run once within the class's window, which starts at the arrival of the attempt that ran.
//! Each attempt gets the same result, and the key is free after the window. This holds for any length of the window and
//! for any time for which reads share results.

mod common;

use bytes::Bytes;
use common::core::Core;
use holdlift::node::{Answer, FailureReason, Input, Output};
use holdlift::{Micros, Outcome, Settings};

fn ms(x: u64) -> Micros {
    Micros::from_millis(x)
}

/// A core whose class of keyed writes has this window and deadline, and whose read results may be shared for `fresh`;
/// all in ms.
fn core(window: u64, deadline: u64, fresh: u64) -> Core {
    let mut settings = Settings { fresh_for: ms(fresh), ..common::settings() };
    (settings.classes[1].window, settings.classes[1].deadline) = (ms(window), ms(deadline));
    Core::with(settings).start()
}

fn keyed_write(c: &Core, call: u32, key: &str) -> Input {
    c.request(call, 1, Some(key))
}

fn ended(call: u32, end: Outcome) -> Input {
    let result = Bytes::from(format!("result {call}"));
    Input::RunEnded { name: format!("r{call}"), outcome: end, result, duration: None }
}

/// The names of launched runs, and the answers by call number.
fn launches_and_answers(out: &[Output]) -> (Vec<String>, Vec<(u32, Answer)>) {
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

/// Window, deadline and read sharing time, ms: windows from far shorter than the deadline to longer, and no, short and
/// long sharing.
const WINDOWS: [(u64, u64, u64); 5] =
    [(5_000, 3_000, 0), (5_000, 3_000, 200), (400, 3_000, 0), (400, 3_000, 60_000), (400, 500, 0)];

#[test]
fn a_repeat_within_the_window_gets_the_result_and_does_not_run() {
    for (window, deadline, fresh) in WINDOWS {
        let mut c = core(window, deadline, fresh);
        let first = keyed_write(&c, 1, "k");
        assert_eq!(launches_and_answers(&c.advance(vec![first], 10)), (vec!["r1".to_owned()], vec![]));
        let while_it_runs = keyed_write(&c, 2, "k");
        let out = c.advance(vec![while_it_runs, ended(1, Outcome::Good)], 20);
        let (launched, mut answered) = launches_and_answers(&out);
        answered.sort_by_key(|a| a.0);
        assert_eq!((launched, answered), (vec![], vec![served(1, 1), served(2, 1)]), "{window} {fresh}");
        c.advance(vec![], window - 100);
        let late = keyed_write(&c, 3, "k");
        assert_eq!(
            launches_and_answers(&c.advance(vec![late], 20)),
            (vec![], vec![served(3, 1)]),
            "{window} {deadline} {fresh}"
        );
        // A write with another key is a different write.
        let other = keyed_write(&c, 4, "l");
        assert_eq!(launches_and_answers(&c.advance(vec![other], 20)).0, ["r4"]);
    }
}

/// Every time limit of the protocol has a tolerance of 50 ms, and so has the window: a repeat that arrives within the
/// tolerance gets the result and does not run.
#[test]
fn the_window_has_a_tolerance_of_50_ms() {
    for (window, deadline, fresh) in WINDOWS {
        for (late_by, runs) in [(40, false), (60, true)] {
            let mut c = core(window, deadline, fresh);
            let first = keyed_write(&c, 1, "k");
            let start = c.now;
            c.advance(vec![first], 10);
            c.advance(vec![ended(1, Outcome::Good)], 10);
            c.advance(vec![], window - 100);
            c.now = start + ms(window + late_by);
            let next = keyed_write(&c, 2, "k");
            let (launched, answered) = launches_and_answers(&c.advance(vec![next], 20));
            assert_eq!(launched.is_empty(), !runs, "{window} {deadline} {fresh} {late_by}");
            assert_eq!(answered == [served(2, 1)], !runs, "{window} {deadline} {fresh} {late_by}");
        }
    }
}

#[test]
fn after_the_window_the_key_is_free() {
    for (window, deadline, fresh) in WINDOWS {
        let mut c = core(window, deadline, fresh);
        let first = keyed_write(&c, 1, "k");
        c.advance(vec![first], 10);
        assert_eq!(launches_and_answers(&c.advance(vec![ended(1, Outcome::Good)], 10)).1, [served(1, 1)]);
        c.advance(vec![], window + 100);
        let next = keyed_write(&c, 2, "k");
        assert_eq!(
            launches_and_answers(&c.advance(vec![next], 20)),
            (vec!["r2".to_owned()], vec![]),
            "{window} {deadline} {fresh}"
        );
        assert_eq!(launches_and_answers(&c.advance(vec![ended(2, Outcome::Good)], 10)).1, [served(2, 2)]);
    }
}

#[test]
fn a_repeat_of_a_run_that_failed_fails_and_does_not_run() {
    for (window, deadline, fresh) in WINDOWS {
        let mut c = core(window, deadline, fresh);
        let first = keyed_write(&c, 1, "k");
        c.advance(vec![first], 10);
        assert_eq!(
            launches_and_answers(&c.advance(vec![ended(1, Outcome::Bad)], 10)).1,
            [(1, Answer::Failed(FailureReason::RunFailed))]
        );
        let again = keyed_write(&c, 2, "k");
        let (launched, answered) = launches_and_answers(&c.advance(vec![again], 20));
        assert!(launched.is_empty() && matches!(answered[..], [(2, Answer::Failed(_))]), "{answered:?}");
        c.advance(vec![], window + 100);
        let next = keyed_write(&c, 3, "k");
        assert_eq!(launches_and_answers(&c.advance(vec![next], 20)).0, ["r3"], "{window} {deadline} {fresh}");
    }
}

/// A run reported by another process of this node has a window too: within it no repeat runs, and after it the key is
/// free.
#[test]
fn the_window_of_a_run_in_another_process_applies_here() {
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
            let repeat = keyed_write(&c, 1, "k");
            let (launched, answered) = launches_and_answers(&c.advance(vec![repeat], 20));
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
