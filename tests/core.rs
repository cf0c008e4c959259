//! The core without a wire or a socket: what it owes, and when.

mod common;

use bytes::Bytes;
use common::core::{Core, origin};
use holdlift::idempotency::HandoverRole;
use holdlift::node::{Answer, FailureReason, IncomingRequest, Input, Output, Worker};
use holdlift::time::Arrival;
use holdlift::{Micros, Outcome};

fn ended(call: u32, end: Outcome) -> Input {
    took(call, end, None)
}

/// The same, with how long the run took, ms, as the agent says.
fn took(call: u32, end: Outcome, ms: Option<u64>) -> Input {
    let result = Bytes::from(format!("result {call}"));
    Input::RunEnded { name: format!("r{call}"), outcome: end, result, duration: ms.map(Micros::from_millis) }
}

fn answers(out: &[Output]) -> Vec<(u32, Answer)> {
    let one =
        |o: &Output| if let Output::Answer(o, a, _) = o { Some((o.request_number, a.clone())) } else { None };
    out.iter().filter_map(one).collect()
}

fn launches(out: &[Output]) -> usize {
    out.iter().filter(|o| matches!(o, Output::Launch { .. })).count()
}

/// A notice to leave that came before the agent once woke the node without end.
#[test]
fn nothing_is_due_before_the_start() {
    let mut core = Core::new();
    let out =
        core.after(vec![Input::DrainRequested(core.now + Micros::from_millis(900)), core.ask(1, 0, None)], 1);
    assert!(out.contains(&Output::HealthChanged(false)) && out.contains(&Output::AnnounceDrain));
    assert_eq!(answers(&out), [(1, Answer::Refused { retry_after: Micros(0), is_final: false })]);
    assert_eq!(core.node.next_deadline(), None);
}

#[test]
fn a_result_is_given_once_and_unchanged() {
    let mut core = Core::started();
    let out = core.after(vec![core.ask(1, 2, None)], 10);
    assert_eq!((launches(&out), core.node.pending_answers()), (1, 1));
    let out = core.after(vec![ended(1, Outcome::Good), ended(1, Outcome::Good), ended(9, Outcome::Good)], 10);
    assert_eq!(answers(&out), [(1, Answer::Completed(Bytes::from_static(b"result 1")))]);
    assert_eq!(core.node.pending_answers(), 0);
}

/// A cancel that crosses the result, either way round, leaves no second answer and nothing behind.
#[test]
fn cancels_and_results_may_cross() {
    for (first, second, count) in [
        (Input::RequestCancelled(origin(1)), ended(1, Outcome::Good), 0),
        (ended(1, Outcome::Good), Input::RequestCancelled(origin(1)), 1),
    ] {
        let mut core = Core::started();
        core.after(vec![core.ask(1, 2, None)], 10);
        let out = core.after(vec![first, second], 50);
        assert_eq!((answers(&out).len(), core.node.pending_answers()), (count, 0));
    }
}

/// Whatever becomes of the agent, each request is answered by its due time, 3 s after it came.
#[test]
fn a_silent_agent_delays_no_answer() {
    let mut core = Core::started();
    let asks = (1..=20).map(|i| core.ask(i, 2, None)).collect();
    let out = core.after(asks, 3_000);
    let mut calls: Vec<u32> = answers(&out).iter().map(|a| a.0).collect();
    calls.sort_unstable();
    assert_eq!(calls, (1..=20).collect::<Vec<_>>());
    let late =
        answers(&out).iter().filter(|a| a.1 == Answer::Failed(FailureReason::DeadlineExceeded)).count();
    assert!(late > 0 && late == launches(&out), "{late}");
}

/// With nothing in hand the node is due at the module's ticks and at nothing else: once its gauges are there, nobody is woken
/// for the time until which they would have been awaited.
#[test]
fn at_rest_only_the_ticks_are_due() {
    let mut core = Core::started();
    core.after(Vec::new(), 100);
    let (mut looks, mut ticks) = (0, 0);
    let until = core.now + Micros::from_millis(3_000);
    while core.now < until {
        core.now = core.now.max(core.node.next_deadline().expect("a tick"));
        let mut out = Vec::new();
        core.node.advance(core.now, &mut out);
        looks += 1;
        for o in out {
            let Output::SampleGauges(tag) = o else { continue };
            ticks += 1;
            // The answer is an event of its own, and has the module take its tick.
            core.now = core.now + Micros::from_millis(1);
            core.node.handle_input(
                core.now,
                Input::GaugesSampled(tag, holdlift::Gauges::default()),
                &mut Vec::new(),
            );
            core.node.advance(core.now, &mut Vec::new());
        }
    }
    assert!(ticks > 150, "{ticks}");
    assert_eq!(looks, ticks);
}

/// A read is served with the result of another that is under way or fresh, and not with a stale one.
#[test]
fn fresh_reads_are_shared() {
    let mut core = Core::started();
    let mut out = core.after(vec![core.ask(1, 0, Some("k"))], 10);
    out.extend(core.after(vec![core.ask(2, 0, Some("k")), core.ask(3, 0, Some("other"))], 10));
    out.extend(core.after(vec![ended(1, Outcome::Good)], 100));
    out.extend(core.after(vec![core.ask(4, 0, Some("k"))], 150));
    assert_eq!(launches(&out), 2);
    let result = Answer::Completed(Bytes::from_static(b"result 1"));
    assert_eq!(answers(&out), [(1, result.clone()), (2, result.clone()), (4, result)]);
    let out = core.after(vec![core.ask(5, 0, Some("k"))], 10);
    assert_eq!(launches(&out), 1, "260 ms are too old");
}

/// Those that wait for a read that fails, or whose caller leaves before it has run, fail or run for themselves.
#[test]
fn a_failed_read_leaves_nobody_waiting() {
    let mut core = Core::started();
    core.after(vec![core.ask(1, 0, Some("k"))], 10);
    core.after(vec![core.ask(2, 0, Some("k"))], 10);
    let out = core.after(vec![ended(1, Outcome::Bad)], 10);
    assert_eq!(
        answers(&out),
        [(1, Answer::Failed(FailureReason::RunFailed)), (2, Answer::Failed(FailureReason::RunFailed))]
    );
    assert_eq!(core.node.pending_answers(), 0);
}

/// A result is as old as the agent says, not as the news of it: while a process stood still, a read came more than the fresh
/// time (200 ms) after the result had been made. It was served with it, be it read behind the late news or before.
#[test]
fn late_news_of_a_result_makes_it_no_fresher() {
    for (arrived_ms, before, want) in [
        (150, true, Answer::Completed(Bytes::from_static(b"result 1"))),
        (150, false, Answer::Completed(Bytes::from_static(b"result 1"))),
        (320, true, Answer::Failed(FailureReason::RunFailed)),
        (320, false, Answer::Completed(Bytes::from_static(b"result 2"))),
    ] {
        let mut core = Core::started();
        let start = core.now;
        let first = core.ask(1, 0, Some("k"));
        assert_eq!(launches(&core.after(vec![first], 20)), 1);
        // It took 100 ms; the news of it comes after 400.
        core.now = start + Micros::from_millis(400);
        let Input::RequestReceived(origin, ask) = core.ask(2, 0, Some("k")) else { panic!("a request") };
        let arrived = Arrival::now(start + Micros::from_millis(arrived_ms));
        let second = Input::RequestReceived(origin, Box::new(IncomingRequest { arrived, ..*ask }));
        let news = took(1, Outcome::Good, Some(100));
        let mut out = if before {
            let mut out = core.after(vec![second], 10);
            out.extend(core.after(vec![news], 10));
            out
        } else {
            core.after(vec![news, second], 20)
        };
        out.extend(core.after(vec![ended(2, Outcome::Good)], 10));
        let of = answers(&out).into_iter().find(|a| a.0 == 2).map(|a| a.1);
        assert_eq!(of, Some(want), "came after {arrived_ms} ms, read before the news: {before}");
    }
}

/// Tries of one keyed write that are read in the same turn: the module's table of kept keys knows neither yet. Both once ran.
#[test]
fn tries_of_one_turn_run_once() {
    let mut core = Core::started();
    let asks = vec![core.ask(1, 1, Some("k")), core.ask(2, 1, Some("k")), core.ask(3, 1, Some("l"))];
    let mut out = core.after(asks, 10);
    let names: Vec<u32> = (1..=3).filter(|n| launched(&out, *n)).collect();
    assert_eq!(launches(&out), 2, "{names:?}");
    out.extend(core.after((1..=3).map(|n| ended(n, Outcome::Good)).collect(), 10));
    out.extend(core.after(vec![core.ask(4, 1, Some("k"))], 10));
    assert_eq!(launches(&out), 2);
    assert_eq!(core.node.pending_answers(), 0);
}

fn launched(out: &[Output], call: u32) -> bool {
    let name = format!("r{call}");
    out.iter().any(|o| matches!(o, Output::Launch { name: n, .. } if *n == name))
}

/// Two processes of one node, and what each has to tell the other.
fn pair() -> (Core, Core) {
    let (mut holder, mut heir) = (Core::started(), Core::started());
    let now = holder.now;
    holder.node.idempotency.start_sharing(now, HandoverRole::Incumbent);
    heir.node.idempotency.start_sharing(now, HandoverRole::Successor);
    (holder, heir)
}

fn news(from: &mut Core) -> Vec<Input> {
    from.node.idempotency.take_changes().into_iter().map(Input::ChangeReceived).collect()
}

/// Two tries of one keyed write reach both processes while news of neither has crossed. Both once ran.
#[test]
fn tries_that_meet_both_processes_run_once() {
    let (mut holder, mut heir) = pair();
    // In the heir first, by a little, which changes nothing.
    let mut there = heir.after(vec![heir.ask(1, 1, Some("k")), heir.ask(2, 1, Some("l"))], 5);
    assert_eq!(launches(&there), 0, "it asks first");
    let mut here = holder.after(vec![holder.ask(3, 1, Some("k"))], 5);
    here.extend(holder.after(news(&mut heir), 5));
    there.extend(heir.after(news(&mut holder), 5));
    assert_eq!((launched(&here, 3), launched(&there, 1), launched(&there, 2)), (true, false, true));
    assert_eq!(answers(&there), [(1, Answer::Failed(FailureReason::RepeatedWrite))]);
    // What the heir was granted fails here, and one that it asks for later gets what became of the first.
    here.extend(holder.after(vec![holder.ask(4, 1, Some("l")), ended(3, Outcome::Good)], 5));
    assert!(answers(&here).contains(&(4, Answer::Failed(FailureReason::RepeatedWrite))));
    there.extend(heir.after(news(&mut holder), 5));
    there.extend(heir.after(vec![heir.ask(5, 1, Some("k"))], 5));
    assert!(answers(&there).contains(&(5, Answer::Completed(Bytes::from_static(b"result 3")))));
    assert_eq!(launches(&here) + launches(&there), 2);
}

/// The same write that no key links, sent again with its name across a connection's end, meets the other process before the news
/// of it: the successor asks for these too.
#[test]
fn a_write_sent_again_to_the_other_process_runs_once() {
    for news_is_late in [true, false] {
        let (mut incumbent, mut successor) = pair();
        let mut here = incumbent.after(vec![incumbent.ask(1, 2, None)], 5);
        if !news_is_late {
            successor.after(news(&mut incumbent), 5);
        }
        let mut there = successor.after(vec![successor.ask(1, 2, None)], 5);
        here.extend(incumbent.after(news(&mut successor), 5));
        there.extend(successor.after(news(&mut incumbent), 5));
        assert_eq!((launches(&here), launches(&there)), (1, 0), "news is late: {news_is_late}");
        assert_eq!(
            answers(&there),
            [(1, Answer::Failed(FailureReason::RepeatedWrite))],
            "news is late: {news_is_late}"
        );
    }
}

/// The holder does not answer: answered in 250 ms, and the holder may run it. A keyed one fails, as another attempt of it may have run
/// there; one that no key links is turned away. It goes: what was asked for runs.
#[test]
fn a_holder_that_does_not_answer() {
    let (mut holder, mut heir) = pair();
    let out = heir.after(vec![heir.ask(1, 1, Some("k")), heir.ask(7, 2, None)], 260);
    let turned_away = Answer::Refused { retry_after: Micros::from_millis(250), is_final: false };
    assert_eq!(answers(&out), [(1, Answer::Failed(FailureReason::DeadlineExceeded)), (7, turned_away)]);
    assert_eq!((heir.node.pending_answers(), heir.node.counters.incumbent_query_timeouts), (0, 2));
    holder.after(news(&mut heir), 1);
    assert_eq!(launches(&holder.after(vec![holder.ask(2, 1, Some("k"))], 5)), 1);
    let mut out = heir.after(news(&mut holder), 5);
    out.extend(heir.after(vec![heir.ask(3, 1, Some("k")), heir.ask(4, 1, Some("m"))], 5));
    out.extend(heir.after(vec![Input::RequestCancelled(origin(5)), Input::PeerProcessEnded], 5));
    assert_eq!(answers(&out), [(3, Answer::Failed(FailureReason::RepeatedWrite))]);
    assert!(launched(&out, 4) && launches(&out) == 1);
    // Alone it asks nobody.
    assert!(launched(&heir.after(vec![heir.ask(6, 1, Some("n"))], 5), 6));
}

/// Calls before a run: the work begins once the last stage has ended, and a request that ends before never ran, be it a
/// write: it is turned away and not failed.
#[test]
fn what_is_gathered_comes_before_the_run() {
    let gathers = |core: &Core, call| match core.ask(call, 2, None) {
        Input::RequestReceived(o, ask) => Input::RequestReceived(
            o,
            Box::new(IncomingRequest { needs_prefetch: true, worker: Worker::Servers, ..*ask }),
        ),
        other => other,
    };
    let tickets = |out: &[Output]| -> Vec<u64> {
        out.iter()
            .filter_map(
                |o| if let Output::Prefetch { call_id: ticket, .. } = o { Some(*ticket) } else { None },
            )
            .collect()
    };
    let scattered = |out: &[Output]| out.iter().filter(|o| matches!(o, Output::CancelPrefetch(_))).count();
    let unrun = Answer::Refused { retry_after: Micros(0), is_final: false };

    let mut core = Core::started();
    let out = core.after(vec![gathers(&core, 1)], 10);
    assert_eq!((launches(&out), tickets(&out)), (0, vec![1]));
    let out = core
        .after(vec![Input::PrefetchStageEnded { call_id: 1, outcome: Outcome::Good, has_more: true }], 10);
    assert_eq!((launches(&out), tickets(&out)), (0, vec![2]));
    let out = core
        .after(vec![Input::PrefetchStageEnded { call_id: 2, outcome: Outcome::Good, has_more: false }], 10);
    assert_eq!((launches(&out), tickets(&out)), (1, vec![]));
    let out = core.after(vec![ended(1, Outcome::Good)], 10);
    assert_eq!(answers(&out), [(1, Answer::Completed(Bytes::from_static(b"result 1")))]);

    // A needed call that may have failed in any way: the write itself never ran.
    let mut core = Core::started();
    core.after(vec![gathers(&core, 1)], 10);
    let out = core
        .after(vec![Input::PrefetchStageEnded { call_id: 1, outcome: Outcome::Bad, has_more: false }], 10);
    assert_eq!((answers(&out), scattered(&out)), (vec![(1, unrun.clone())], 1));
    assert!(core.node.is_idle());

    // Its caller leaves, or its time runs out.
    let mut core = Core::started();
    core.after(vec![gathers(&core, 1), gathers(&core, 2)], 10);
    let out = core.after(vec![Input::RequestCancelled(origin(1))], 10);
    assert_eq!((answers(&out).len(), scattered(&out)), (0, 1));
    let out = core.after(vec![], 3_000);
    assert_eq!((answers(&out), scattered(&out), launches(&out)), (vec![(2, unrun)], 1, 0));
    assert!(core.node.is_idle());
    // An end that comes after all says nothing any more.
    let out = core
        .after(vec![Input::PrefetchStageEnded { call_id: 2, outcome: Outcome::Good, has_more: false }], 10);
    assert_eq!(launches(&out), 0);
}
