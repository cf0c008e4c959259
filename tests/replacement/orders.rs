//! Orders of the control address while a process is replaced.

use super::*;

/// A process of the node.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Process {
    Incumbent,
    Successor,
}
use Process::{Incumbent, Successor};

const OUT: &str = "out-of-service";
const IN: &str = "in-service";

/// The orders that a node is given in a replacement. Each has to be in force with its answer.
#[derive(Debug, Default)]
struct Orders {
    before: Option<&'static str>,
    /// While the successor waits for its agent.
    waiting: Option<(Process, &'static str)>,
    /// While both serve.
    both_serve: Option<(Process, &'static str)>,
    /// To the successor, once the incumbent has the notice to leave.
    replaced: Option<&'static str>,
}

/// Replaces a process and gives the orders meanwhile. After each, all health checks that either process answers agree with it.
async fn play(orders: Orders) {
    let reports = Heard::default();
    let (directories, lookup) = bind().await;
    tokio::spawn(http(directories, "lookup", reports.clone(), "HTTP/1.1 204 No Content\r\n\r\n"));
    let ((old, agent), (new, next)) = (start_agent(true).await, start_agent(false).await);
    let setup = Setup { settings: settings(2, 3_000, 6_000), stop_ms: 4_000, ..Setup::default() };
    let incumbent = Setup { agent: Some(agent), lookup: Some(lookup), ..setup }.start().await;
    incumbent.ready().await;
    let at = incumbent.msgpack;
    // This connection is the incumbent's until that ends, and its request keeps the incumbent.
    let mut observer = Caller::connect(at).await;
    observer.healthy().await;
    observer.ask(100, "book-job", fields("w", &[]), "gate w").await;
    let mut expected = true;
    let mut next_id = 200;
    let mut give = async |node: &Node, order: &'static str, observer: &mut Caller| {
        assert_eq!(node.control("POST", order).await, Some(200), "{order}");
        expected = order == IN;
        for _ in 0..5 {
            next_id += 1;
            assert_eq!(observer.health(next_id).await, expected, "the incumbent after {order} of {orders:?}");
            assert_eq!(health(at).await, expected, "either process after {order} of {orders:?}");
        }
    };
    if let Some(order) = orders.before {
        give(&incumbent, order, &mut observer).await;
    }
    let successor = incumbent.succeed(next).await;
    answers_not_ready(&successor).await;
    let choose = |process| if process == Incumbent { &incumbent } else { &successor };
    if let Some((process, order)) = orders.waiting {
        give(choose(process), order, &mut observer).await;
    }
    new.asleep.store(false, Ordering::SeqCst);
    successor.ready().await;
    if let Some((process, order)) = orders.both_serve {
        give(choose(process), order, &mut observer).await;
    }
    let leaving = tokio::spawn(incumbent.leave());
    observer.last_call().await;
    if let Some(order) = orders.replaced {
        give(&successor, order, &mut observer).await;
    }
    old.open_gate();
    let (_, good, log) = leaving.await.expect("the incumbent leaves");
    assert!(good && log.contains("replaced: "), "{log}");
    for _ in 0..5 {
        assert_eq!(health(at).await, expected, "the successor alone, after {orders:?}");
    }
    let last_report = reports.lock().unwrap().last().map(|report| report.1.contains("open"));
    assert_eq!(last_report, Some(expected), "the last report to the directory, after {orders:?}");
}

/// An order that the incumbent accepts after its successor has its welcome was lost (review/7), and so was one that only the
/// successor was given: the other process went on to answer health checks against it.
#[tokio::test]
async fn an_accepted_order_holds_in_both_processes_whenever_it_is_given() {
    let none = Orders::default;
    let table = [
        Orders { waiting: Some((Incumbent, OUT)), ..none() },
        Orders { before: Some(OUT), waiting: Some((Incumbent, IN)), ..none() },
        Orders { waiting: Some((Successor, OUT)), ..none() },
        Orders { before: Some(OUT), both_serve: Some((Successor, IN)), ..none() },
        Orders { both_serve: Some((Incumbent, OUT)), ..none() },
        Orders { both_serve: Some((Successor, OUT)), replaced: Some(IN), ..none() },
        Orders { replaced: Some(OUT), ..none() },
        Orders { waiting: Some((Incumbent, OUT)), both_serve: Some((Incumbent, IN)), ..none() },
    ];
    futures_util::future::join_all(table.map(play)).await;
}

/// The order outlives the process that accepted it and the one after that.
#[tokio::test]
async fn an_accepted_order_outlasts_two_replacements_in_a_row() {
    let ((_first, agent), (second_agent, second)) = (start_agent(true).await, start_agent(false).await);
    let setup = Setup { settings: settings(2, 3_000, 6_000), stop_ms: 4_000, ..Setup::default() };
    let first_process = Setup { agent: Some(agent), ..setup }.start().await;
    first_process.ready().await;
    let at = first_process.msgpack;
    let second_process = first_process.succeed(second).await;
    answers_not_ready(&second_process).await;
    assert_eq!(first_process.control("POST", OUT).await, Some(200));
    second_agent.asleep.store(false, Ordering::SeqCst);
    second_process.ready().await;
    assert!(first_process.leave().await.1);
    let (_third, third) = start_agent(true).await;
    let third_process = second_process.succeed(third).await;
    third_process.ready().await;
    let (_, good, log) = second_process.leave().await;
    assert!(good && log.contains("replaced: "), "{log}");
    assert!(!health(at).await, "the third process must know the order");
    assert_eq!(third_process.control("POST", IN).await, Some(200));
    assert!(health(at).await);
}

/// While the other process stands still an order is in force here and not confirmed. It reaches the other process when that goes on,
/// and given again it is confirmed.
#[tokio::test]
async fn an_order_is_not_confirmed_while_the_other_process_stands_still() {
    let ((_old, agent), (_new, next)) = (start_agent(true).await, start_agent(true).await);
    let setup = Setup { settings: settings(2, 3_000, 6_000), stop_ms: 4_000, ..Setup::default() };
    let incumbent = Setup { agent: Some(agent), ..setup }.start().await;
    incumbent.ready().await;
    let at = incumbent.msgpack;
    let mut observer = Caller::connect(at).await;
    observer.healthy().await;
    let successor = incumbent.succeed(next).await;
    successor.ready().await;
    successor.freeze().await;
    assert_eq!(incumbent.control("POST", OUT).await, Some(503));
    assert!(!observer.health(900).await, "in force in the process that was ordered");
    successor.thaw();
    assert_eq!(incumbent.control("POST", OUT).await, Some(200));
    assert!(incumbent.leave().await.1);
    assert!(!health(at).await);
}

/// A successor that dies takes no order with it, and one that is left alone is the node.
#[tokio::test]
async fn an_order_outlives_the_process_that_accepted_it() {
    let ((_old, agent), (_new, next)) = (start_agent(true).await, start_agent(false).await);
    let setup = Setup { settings: settings(2, 3_000, 6_000), stop_ms: 4_000, ..Setup::default() };
    let incumbent = Setup { agent: Some(agent), ..setup }.start().await;
    incumbent.ready().await;
    let at = incumbent.msgpack;
    let successor = incumbent.succeed(next).await;
    answers_not_ready(&successor).await;
    assert_eq!(successor.control("POST", OUT).await, Some(200));
    drop(successor);
    assert!(!health(at).await);
    assert_eq!(incumbent.control("POST", IN).await, Some(200));
    let (_third, third) = start_agent(true).await;
    let successor = incumbent.succeed(third).await;
    successor.ready().await;
    assert_eq!(incumbent.control("POST", OUT).await, Some(200));
    // Killed without notice, right behind its answer.
    drop(incumbent);
    assert!(!health(at).await);
}

/// An order was confirmed where the link to the other process had been given up, as that one stood still while many writes were
/// reported to it: it went on to serve and knew nothing of the order (found while mending review/7).
#[tokio::test]
async fn an_order_is_not_confirmed_while_a_process_without_a_link_runs() {
    let ((_old, agent), (_new, next)) = (start_agent(true).await, start_agent(true).await);
    let setup = Setup { settings: settings(2, 3_000, 6_000), stop_ms: 4_000, ..Setup::default() };
    let incumbent = Setup { agent: Some(agent), ..setup }.start().await;
    incumbent.ready().await;
    let at = incumbent.msgpack;
    let mut caller = Caller::connect(at).await;
    caller.healthy().await;
    let successor = incumbent.succeed(next).await;
    successor.ready().await;
    successor.freeze().await;
    let mut id = 100;
    within("the link is given up", async {
        while !incumbent.log().contains("the link to the other process of this node is dropped") {
            id += 1;
            caller.ask(id, "book-job", fields(&format!("w{id}"), &[]), &format!("0 w{id}")).await;
            caller.answer().await.expect("the request is answered");
        }
    })
    .await;
    successor.thaw();
    assert_eq!(incumbent.control("POST", OUT).await, Some(503), "the successor runs and can't be told");
    assert!(!caller.health(10).await, "in force in the process that was ordered");
    assert_eq!(successor.control("POST", OUT).await, Some(503), "the incumbent runs and can't be told");
    for _ in 0..20 {
        assert!(!health(at).await, "in force in both, as both have been ordered");
    }
    // Killed without notice: no process is left that doesn't know.
    drop(successor);
    assert_eq!(incumbent.control("POST", OUT).await, Some(200));
    // The path to the node is its successor's, as after any end of a link.
    let (_third, third) = start_agent(true).await;
    incumbent.succeed(third).await.ready().await;
}

/// A process that finds a replacement under way serves beside the two, which can't tell it of orders: none is confirmed while it runs.
#[tokio::test]
async fn an_order_is_not_confirmed_while_a_rejected_process_runs() {
    let ((_first, agent), (_second, second)) = (start_agent(true).await, start_agent(true).await);
    let setup = Setup { settings: settings(2, 3_000, 6_000), stop_ms: 4_000, ..Setup::default() };
    let incumbent = Setup { agent: Some(agent), ..setup }.start().await;
    incumbent.ready().await;
    let successor = incumbent.succeed(second).await;
    successor.ready().await;
    assert_eq!(incumbent.control("POST", OUT).await, Some(200));
    assert_eq!(incumbent.control("POST", IN).await, Some(200));
    let (_third, third) = start_agent(true).await;
    let rejected = incumbent.succeed(third).await;
    rejected.ready().await;
    assert_eq!(incumbent.control("POST", OUT).await, Some(503), "the rejected process runs");
    assert_eq!(rejected.control("POST", OUT).await, Some(503), "the one that rejected it runs");
    drop(rejected);
    assert_eq!(incumbent.control("POST", OUT).await, Some(200));
    assert!(!health(incumbent.msgpack).await);
}

/// An order is lost where the successor can't take over: the incumbent stands still while that one starts, or the one replaced before
/// is still there and rejects it. Known to fail: the successor starts without asking again (review/3, KNOWN-RED.txt).
#[tokio::test]
async fn an_accepted_order_outlasts_a_successor_that_can_not_take_over() {
    let setup = || Setup { settings: settings(2, 3_000, 6_000), stop_ms: 4_000, ..Setup::default() };
    let ((_first, agent), (_second, second)) = (start_agent(true).await, start_agent(true).await);
    let incumbent = Setup { agent: Some(agent), ..setup() }.start().await;
    incumbent.ready().await;
    assert_eq!(incumbent.control("POST", OUT).await, Some(200));
    incumbent.freeze().await;
    let successor = incumbent.succeed(second).await;
    within("the successor gives up", async {
        while !successor.log().contains("listening by itself") {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    incumbent.thaw();
    successor.ready().await;
    assert!(incumbent.leave().await.1);
    let stood_still = health(successor.msgpack).await;
    drop(successor);

    let ((first, agent), (_second, second)) = (start_agent(true).await, start_agent(true).await);
    let first_process = Setup { agent: Some(agent), ..setup() }.start().await;
    first_process.ready().await;
    let mut caller = Caller::connect(first_process.msgpack).await;
    caller.healthy().await;
    caller.ask(2, "book-job", fields("w", &[]), "gate w").await;
    let second_process = first_process.succeed(second).await;
    second_process.ready().await;
    assert_eq!(second_process.control("POST", OUT).await, Some(200));
    let leaving = tokio::spawn(first_process.leave());
    caller.last_call().await;
    let (_third, third) = start_agent(true).await;
    let third_process = second_process.succeed(third).await;
    third_process.ready().await;
    first.open_gate();
    assert!(leaving.await.expect("the first process leaves").1);
    assert!(second_process.leave().await.1);
    let was_rejected = health(third_process.msgpack).await;
    assert_eq!((stood_still, was_rejected), (false, false), "health good (stood still, was rejected)");
}
