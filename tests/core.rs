//! The core of a node without wire formats and sockets: which answers, launches and calls it produces, and when.

mod common;

use bytes::Bytes;
use common::core::{Core, route};
use holdlift::idempotency::HandoverRole;
use holdlift::node::{Answer, FailureReason, IncomingRequest, Input, Output, Worker};
use holdlift::time::Arrival;
use holdlift::{Micros, Outcome};

fn run_ended(request_number: u32, outcome: Outcome) -> Input {
    run_ended_after(request_number, outcome, None)
}

/// The end of a run, with the duration that the agent reports, ms.
fn run_ended_after(request_number: u32, outcome: Outcome, duration_ms: Option<u64>) -> Input {
    let result = Bytes::from(format!("result {request_number}"));
    let duration = duration_ms.map(Micros::from_millis);
    Input::RunEnded { name: format!("r{request_number}"), outcome, result, duration }
}

fn answers(out: &[Output]) -> Vec<(u32, Answer)> {
    let numbered_answer = |output: &Output| match output {
        Output::Answer(route, answer, _) => Some((route.request_number, answer.clone())),
        _ => None,
    };
    out.iter().filter_map(numbered_answer).collect()
}

fn launches(out: &[Output]) -> usize {
    out.iter().filter(|o| matches!(o, Output::Launch { .. })).count()
}

/// Guards against an endless wake-up loop: a drain request that came before the agent was connected left a step due forever.
#[test]
fn no_deadline_is_due_before_the_start_even_after_a_drain_request() {
    let mut core = Core::new();
    let out = core.advance(
        vec![Input::DrainRequested(core.now + Micros::from_millis(900)), core.request(1, 0, None)],
        1,
    );
    assert!(out.contains(&Output::HealthChanged(false)) && out.contains(&Output::AnnounceDrain));
    assert_eq!(answers(&out), [(1, Answer::Refused { retry_after: Micros(0), is_final: false })]);
    assert_eq!(core.node.next_deadline(), None);
}

#[test]
fn a_result_is_delivered_once_and_unchanged() {
    let mut core = Core::started();
    let out = core.advance(vec![core.request(1, 2, None)], 10);
    assert_eq!((launches(&out), core.node.pending_answers()), (1, 1));
    let out = core.advance(
        vec![run_ended(1, Outcome::Good), run_ended(1, Outcome::Good), run_ended(9, Outcome::Good)],
        10,
    );
    assert_eq!(answers(&out), [(1, Answer::Completed(Bytes::from_static(b"result 1")))]);
    assert_eq!(core.node.pending_answers(), 0);
}

/// A cancellation and a result arrive together, in either order. There is at most one answer, and no request stays open.
#[test]
fn a_cancellation_and_a_result_in_either_order_leave_no_open_request() {
    for (first, second, count) in [
        (Input::RequestCancelled(route(1)), run_ended(1, Outcome::Good), 0),
        (run_ended(1, Outcome::Good), Input::RequestCancelled(route(1)), 1),
    ] {
        let mut core = Core::started();
        core.advance(vec![core.request(1, 2, None)], 10);
        let out = core.advance(vec![first, second], 50);
        assert_eq!((answers(&out).len(), core.node.pending_answers()), (count, 0));
    }
}

/// Each request is answered by its deadline, 3 s after its arrival, even if the agent never reports the end of a run.
#[test]
fn an_unresponsive_agent_delays_no_answer_beyond_the_deadline() {
    let mut core = Core::started();
    let requests = (1..=20).map(|i| core.request(i, 2, None)).collect();
    let out = core.advance(requests, 3_000);
    let mut answered: Vec<u32> = answers(&out).iter().map(|a| a.0).collect();
    answered.sort_unstable();
    assert_eq!(answered, (1..=20).collect::<Vec<_>>());
    let late =
        answers(&out).iter().filter(|a| a.1 == Answer::Failed(FailureReason::DeadlineExceeded)).count();
    assert!(late > 0 && late == launches(&out), "{late}");
}

/// A node without requests is due at the decision module's ticks only. Once the gauges for a tick have arrived, the node is not
/// woken again at the end of the time for which it would have waited for them.
#[test]
fn an_idle_node_is_due_only_at_the_ticks_of_the_decision_module() {
    let mut core = Core::started();
    core.advance(Vec::new(), 100);
    let (mut wakeups, mut ticks) = (0, 0);
    let until = core.now + Micros::from_millis(3_000);
    while core.now < until {
        core.now = core.now.max(core.node.next_deadline().expect("a started node always has a next tick"));
        let mut out = Vec::new();
        core.node.advance(core.now, &mut out);
        wakeups += 1;
        for output in out {
            let Output::SampleGauges(tag) = output else { continue };
            ticks += 1;
            // The gauges are an event of their own, with which the decision module handles its tick.
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
    assert_eq!(wakeups, ticks);
}

/// A read is answered with the result of another read that is running or fresh, but not with a stale result.
#[test]
fn reads_share_running_and_fresh_results_but_not_stale_ones() {
    let mut core = Core::started();
    let mut out = core.advance(vec![core.request(1, 0, Some("k"))], 10);
    out.extend(core.advance(vec![core.request(2, 0, Some("k")), core.request(3, 0, Some("other"))], 10));
    out.extend(core.advance(vec![run_ended(1, Outcome::Good)], 100));
    out.extend(core.advance(vec![core.request(4, 0, Some("k"))], 150));
    assert_eq!(launches(&out), 2);
    let result = Answer::Completed(Bytes::from_static(b"result 1"));
    assert_eq!(answers(&out), [(1, result.clone()), (2, result.clone()), (4, result)]);
    let out = core.advance(vec![core.request(5, 0, Some("k"))], 10);
    assert_eq!(launches(&out), 1, "a result that is 260 ms old is stale");
}

/// Requests that wait for the result of a read that fails are answered as failed, too.
#[test]
fn a_failed_read_fails_the_requests_that_wait_for_its_result() {
    let mut core = Core::started();
    core.advance(vec![core.request(1, 0, Some("k"))], 10);
    core.advance(vec![core.request(2, 0, Some("k"))], 10);
    let out = core.advance(vec![run_ended(1, Outcome::Bad)], 10);
    assert_eq!(
        answers(&out),
        [(1, Answer::Failed(FailureReason::RunFailed)), (2, Answer::Failed(FailureReason::RunFailed))]
    );
    assert_eq!(core.node.pending_answers(), 0);
}

/// The age of a result counts from the end of the run as the agent reports it, not from the arrival of the report. Guards against
/// this fault: a process was suspended, and a read that arrived more than the freshness time (200 ms) after the result was made was
/// answered with it, whether the read was handled before the delayed report or after it.
#[test]
fn a_delayed_report_of_a_result_does_not_make_it_fresher() {
    for (arrived_ms, read_before_report, expected) in [
        (150, true, Answer::Completed(Bytes::from_static(b"result 1"))),
        (150, false, Answer::Completed(Bytes::from_static(b"result 1"))),
        (320, true, Answer::Failed(FailureReason::RunFailed)),
        (320, false, Answer::Completed(Bytes::from_static(b"result 2"))),
    ] {
        let mut core = Core::started();
        let start = core.now;
        let first = core.request(1, 0, Some("k"));
        assert_eq!(launches(&core.advance(vec![first], 20)), 1);
        // The run took 100 ms; the report of it comes after 400 ms.
        core.now = start + Micros::from_millis(400);
        let Input::RequestReceived(route, incoming) = core.request(2, 0, Some("k")) else {
            panic!("Core::request returns a received request");
        };
        let arrived = Arrival::now(start + Micros::from_millis(arrived_ms));
        let second = Input::RequestReceived(route, Box::new(IncomingRequest { arrived, ..*incoming }));
        let report = run_ended_after(1, Outcome::Good, Some(100));
        let mut out = if read_before_report {
            let mut out = core.advance(vec![second], 10);
            out.extend(core.advance(vec![report], 10));
            out
        } else {
            core.advance(vec![report, second], 20)
        };
        out.extend(core.advance(vec![run_ended(2, Outcome::Good)], 10));
        let answer = answers(&out).into_iter().find(|a| a.0 == 2).map(|a| a.1);
        assert_eq!(
            answer,
            Some(expected),
            "arrived after {arrived_ms} ms, read before the report: {read_before_report}"
        );
    }
}

/// Guards against running a keyed write twice when two attempts of it are read in the same event loop iteration: the decision
/// module's table of retained keys holds neither of them yet.
#[test]
fn attempts_of_one_keyed_write_in_one_iteration_run_once() {
    let mut core = Core::started();
    let requests =
        vec![core.request(1, 1, Some("k")), core.request(2, 1, Some("k")), core.request(3, 1, Some("l"))];
    let mut out = core.advance(requests, 10);
    let launched_numbers: Vec<u32> = (1..=3).filter(|n| launched(&out, *n)).collect();
    assert_eq!(launches(&out), 2, "{launched_numbers:?}");
    out.extend(core.advance((1..=3).map(|n| run_ended(n, Outcome::Good)).collect(), 10));
    out.extend(core.advance(vec![core.request(4, 1, Some("k"))], 10));
    assert_eq!(launches(&out), 2);
    assert_eq!(core.node.pending_answers(), 0);
}

fn launched(out: &[Output], request_number: u32) -> bool {
    let expected = format!("r{request_number}");
    out.iter().any(|output| matches!(output, Output::Launch { name, .. } if *name == expected))
}

/// The incumbent and the successor of one node, each of which collects changes to writes for the other.
fn incumbent_and_successor() -> (Core, Core) {
    let (mut incumbent, mut successor) = (Core::started(), Core::started());
    let now = incumbent.now;
    incumbent.node.idempotency.start_sharing(now, HandoverRole::Incumbent);
    successor.node.idempotency.start_sharing(now, HandoverRole::Successor);
    (incumbent, successor)
}

/// The take_changes to writes that a process sends to the other one, as inputs of that one.
fn changes_from(from: &mut Core) -> Vec<Input> {
    from.node.idempotency.take_changes().into_iter().map(Input::ChangeReceived).collect()
}

/// Guards against running a keyed write in both processes: two attempts of it arrive, one at each process, before either process
/// has received the other's changes.
#[test]
fn attempts_of_one_keyed_write_at_both_processes_run_once() {
    let (mut incumbent, mut successor) = incumbent_and_successor();
    // The attempt at the successor comes slightly earlier, which makes no difference.
    let mut at_successor =
        successor.advance(vec![successor.request(1, 1, Some("k")), successor.request(2, 1, Some("l"))], 5);
    assert_eq!(launches(&at_successor), 0, "the successor asks the incumbent before it launches a write");
    let mut at_incumbent = incumbent.advance(vec![incumbent.request(3, 1, Some("k"))], 5);
    at_incumbent.extend(incumbent.advance(changes_from(&mut successor), 5));
    at_successor.extend(successor.advance(changes_from(&mut incumbent), 5));
    assert_eq!(
        (launched(&at_incumbent, 3), launched(&at_successor, 1), launched(&at_successor, 2)),
        (true, false, true)
    );
    assert_eq!(answers(&at_successor), [(1, Answer::Failed(FailureReason::RepeatedWrite))]);
    // A repeat of the write that the successor was granted fails at the incumbent. A later repeat at the successor gets the
    // result of the attempt that ran at the incumbent.
    at_incumbent
        .extend(incumbent.advance(vec![incumbent.request(4, 1, Some("l")), run_ended(3, Outcome::Good)], 5));
    assert!(answers(&at_incumbent).contains(&(4, Answer::Failed(FailureReason::RepeatedWrite))));
    at_successor.extend(successor.advance(changes_from(&mut incumbent), 5));
    at_successor.extend(successor.advance(vec![successor.request(5, 1, Some("k"))], 5));
    assert!(answers(&at_successor).contains(&(5, Answer::Completed(Bytes::from_static(b"result 3")))));
    assert_eq!(launches(&at_incumbent) + launches(&at_successor), 2);
}

/// A write without a key is sent again under the same name on a new connection, and reaches the successor before the incumbent's
/// report of it. The successor asks the incumbent about such writes, too.
#[test]
fn an_unkeyed_write_repeated_at_the_successor_runs_once() {
    for is_report_late in [true, false] {
        let (mut incumbent, mut successor) = incumbent_and_successor();
        let mut at_incumbent = incumbent.advance(vec![incumbent.request(1, 2, None)], 5);
        if !is_report_late {
            successor.advance(changes_from(&mut incumbent), 5);
        }
        let mut at_successor = successor.advance(vec![successor.request(1, 2, None)], 5);
        at_incumbent.extend(incumbent.advance(changes_from(&mut successor), 5));
        at_successor.extend(successor.advance(changes_from(&mut incumbent), 5));
        assert_eq!(
            (launches(&at_incumbent), launches(&at_successor)),
            (1, 0),
            "report is late: {is_report_late}"
        );
        assert_eq!(
            answers(&at_successor),
            [(1, Answer::Failed(FailureReason::RepeatedWrite))],
            "report is late: {is_report_late}"
        );
    }
}

/// If the incumbent does not answer a query, the successor answers the request after 250 ms, and the incumbent may still run the
/// write. A keyed write fails, because another attempt of it may have run at the incumbent; an unkeyed write is refused. When the
/// incumbent ends, the writes that await its answer run.
#[test]
fn an_unanswered_query_ends_after_its_timeout_and_pending_writes_run_when_the_incumbent_ends() {
    let (mut incumbent, mut successor) = incumbent_and_successor();
    let out = successor.advance(vec![successor.request(1, 1, Some("k")), successor.request(7, 2, None)], 260);
    let refused = Answer::Refused { retry_after: Micros::from_millis(250), is_final: false };
    assert_eq!(answers(&out), [(1, Answer::Failed(FailureReason::DeadlineExceeded)), (7, refused)]);
    assert_eq!((successor.node.pending_answers(), successor.node.counters.incumbent_query_timeouts), (0, 2));
    incumbent.advance(changes_from(&mut successor), 1);
    assert_eq!(launches(&incumbent.advance(vec![incumbent.request(2, 1, Some("k"))], 5)), 1);
    let mut out = successor.advance(changes_from(&mut incumbent), 5);
    out.extend(
        successor.advance(vec![successor.request(3, 1, Some("k")), successor.request(4, 1, Some("m"))], 5),
    );
    out.extend(successor.advance(vec![Input::RequestCancelled(route(5)), Input::PeerProcessEnded], 5));
    assert_eq!(answers(&out), [(3, Answer::Failed(FailureReason::RepeatedWrite))]);
    assert!(launched(&out, 4) && launches(&out) == 1);
    // Without an incumbent the successor launches writes without a query.
    assert!(launched(&successor.advance(vec![successor.request(6, 1, Some("n"))], 5), 6));
}

/// The run begins once the last prefetch stage has ended. A request that ends before then never ran, even if it is a write, so it
/// is refused instead of failed.
#[test]
fn a_run_begins_after_its_last_prefetch_stage_and_a_failed_prefetch_is_a_refusal() {
    let with_prefetch = |core: &Core, request_number| match core.request(request_number, 2, None) {
        Input::RequestReceived(route, incoming) => Input::RequestReceived(
            route,
            Box::new(IncomingRequest { needs_prefetch: true, worker: Worker::Servers, ..*incoming }),
        ),
        other => other,
    };
    let stages = |out: &[Output]| -> Vec<u64> {
        let call_id = |output: &Output| match output {
            Output::Prefetch { call_id, .. } => Some(*call_id),
            _ => None,
        };
        out.iter().filter_map(call_id).collect()
    };
    let cancelled_prefetches =
        |out: &[Output]| out.iter().filter(|o| matches!(o, Output::CancelPrefetch(_))).count();
    let not_run = Answer::Refused { retry_after: Micros(0), is_final: false };

    let mut core = Core::started();
    let out = core.advance(vec![with_prefetch(&core, 1)], 10);
    assert_eq!((launches(&out), stages(&out)), (0, vec![1]));
    let out = core
        .advance(vec![Input::PrefetchStageEnded { call_id: 1, outcome: Outcome::Good, has_more: true }], 10);
    assert_eq!((launches(&out), stages(&out)), (0, vec![2]));
    let out = core
        .advance(vec![Input::PrefetchStageEnded { call_id: 2, outcome: Outcome::Good, has_more: false }], 10);
    assert_eq!((launches(&out), stages(&out)), (1, vec![]));
    let out = core.advance(vec![run_ended(1, Outcome::Good)], 10);
    assert_eq!(answers(&out), [(1, Answer::Completed(Bytes::from_static(b"result 1")))]);

    // A required call has failed, in whatever way. The write itself never ran.
    let mut core = Core::started();
    core.advance(vec![with_prefetch(&core, 1)], 10);
    let out = core
        .advance(vec![Input::PrefetchStageEnded { call_id: 1, outcome: Outcome::Bad, has_more: false }], 10);
    assert_eq!((answers(&out), cancelled_prefetches(&out)), (vec![(1, not_run.clone())], 1));
    assert!(core.node.is_idle());

    // The caller leaves, or the request reaches its deadline.
    let mut core = Core::started();
    core.advance(vec![with_prefetch(&core, 1), with_prefetch(&core, 2)], 10);
    let out = core.advance(vec![Input::RequestCancelled(route(1))], 10);
    assert_eq!((answers(&out).len(), cancelled_prefetches(&out)), (0, 1));
    let out = core.advance(vec![], 3_000);
    assert_eq!((answers(&out), cancelled_prefetches(&out), launches(&out)), (vec![(2, not_run)], 1, 0));
    assert!(core.node.is_idle());
    // The end of a stage has no effect once its request has been answered.
    let out = core
        .advance(vec![Input::PrefetchStageEnded { call_id: 2, outcome: Outcome::Good, has_more: false }], 10);
    assert_eq!(launches(&out), 0);
}

fn launch_in_doubt(request_number: u32) -> Input {
    Input::LaunchInDoubt(format!("r{request_number}"))
}

/// Guards against review case 1: the launch of a write that a broken link leaves in doubt is not repeated. Its run is awaited
/// until the deadline, and a result that comes by then is the answer.
#[test]
fn a_launch_in_doubt_is_not_repeated_and_its_result_is_awaited() {
    for class in [1, 2] {
        let mut core = Core::started();
        assert_eq!(launches(&core.advance(vec![core.request(1, class, Some("k"))], 10)), 1);
        let out = core.advance(vec![launch_in_doubt(1)], 2_500);
        assert_eq!((launches(&out), answers(&out)), (0, vec![]), "class {class}");
        let out = core.advance(vec![run_ended(1, Outcome::Good)], 10);
        assert_eq!(answers(&out), [(1, Answer::Completed(Bytes::from_static(b"result 1")))], "class {class}");
        assert!(core.node.is_idle());
        assert_eq!(core.node.counters.launches_in_doubt, 1);
    }
}

/// A write whose launch was lost fails at its deadline. Nothing is kept of it but that it may have run: a further attempt of its
/// key fails, or gets the result if the run has ended well after all.
#[test]
fn a_lost_launch_leaves_no_run_behind_and_counts_as_one_that_may_have_run() {
    for ends_late in [false, true] {
        let mut core = Core::started();
        core.advance(vec![core.request(1, 1, Some("k"))], 10);
        let out = core.advance(vec![launch_in_doubt(1)], 3_000);
        assert_eq!(answers(&out), [(1, Answer::Failed(FailureReason::DeadlineExceeded))]);
        assert!(core.node.is_idle(), "the run is awaited beyond the deadline");
        let mut inputs = vec![run_ended(1, Outcome::Good)];
        inputs.retain(|_| ends_late);
        inputs.push(core.request(2, 1, Some("k")));
        let out = core.advance(inputs, 10);
        let expected = if ends_late {
            Answer::Completed(Bytes::from_static(b"result 1"))
        } else {
            Answer::Failed(FailureReason::RepeatedWrite)
        };
        assert_eq!((launches(&out), answers(&out)), (0, vec![(2, expected)]));
    }
}

/// The launch is found to be in doubt after the request's deadline, or after its caller has left, since the link was down for
/// so long: the run does not stay in the table.
#[test]
fn a_launch_found_in_doubt_after_the_answer_leaves_no_run_behind() {
    for is_cancelled in [false, true] {
        let mut core = Core::started();
        core.advance(vec![core.request(1, 2, None)], 10);
        let cancel = if is_cancelled { vec![Input::RequestCancelled(route(1))] } else { vec![] };
        core.advance(cancel, if is_cancelled { 10 } else { 3_100 });
        core.advance(vec![launch_in_doubt(1)], if is_cancelled { 3_100 } else { 1 });
        assert!(core.node.is_idle(), "cancelled: {is_cancelled}");
    }
}

/// Guards against review case 1 for replies to calls: one that a broken link leaves in doubt is not delivered again, as the run
/// may wait for its next call by then. The run is told to continue without that very call, where its class allows that.
#[test]
fn a_reply_in_doubt_is_replaced_by_leave_to_continue_without_that_call() {
    for (weight_without_call, may_skip) in [(0.5, true), (0.0, false)] {
        let mut settings = common::settings();
        settings.classes[0].may_call = true;
        settings.classes[0].weight_without_call = weight_without_call;
        let mut core = Core::with(settings).start();
        core.advance(vec![core.request(1, 0, None)], 10);
        let call = |notice_id| Input::CallRequested { name: "r1".to_owned(), notice_id, body: Bytes::new() };
        let out = core.advance(vec![call(5)], 10);
        let call_id = out.iter().find_map(|output| match output {
            Output::PlaceCall { call_id, .. } => Some(*call_id),
            _ => None,
        });
        let ended = Input::CallEnded {
            call_id: call_id.expect("a call is placed"),
            outcome: Outcome::Good,
            body: Bytes::from_static(b"reply"),
            was_sent: true,
        };
        let out = core.advance(vec![ended], 10);
        let reply = Bytes::from_static(b"reply");
        let delivered = Output::DeliverReply { name: "r1".to_owned(), notice_id: 5, reply };
        assert!(out.contains(&delivered), "{out:?}");
        let out = core.advance(vec![Input::ReplyInDoubt { name: "r1".to_owned(), notice_id: 5 }], 10);
        assert!(!out.iter().any(|output| matches!(output, Output::DeliverReply { .. })));
        assert_eq!(out.contains(&Output::SkipCall("r1".to_owned(), 5)), may_skip);
        // The run had received the reply and goes on as usual.
        let out = core.advance(vec![call(6)], 10);
        assert!(out.iter().any(|output| matches!(output, Output::PlaceCall { .. })));
        let out = core.advance(vec![run_ended(1, Outcome::Good)], 10);
        assert_eq!(answers(&out), [(1, Answer::Completed(Bytes::from_static(b"result 1")))]);
        assert!(core.node.is_idle());
    }
}
