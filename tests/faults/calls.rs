//! System calls fail in the ways that their pages document as passing. The table says what becomes of each; none ends the process,
//! and no request that was read goes without its answer.

use holdlift::front::msgpack::pack::{Value, text};
use holdlift_lab::shim::{Call, SHORT};
use holdlift_lab::*;

use crate::started;

const EPERM: i64 = 1;
const EINTR: i64 = 4;
const ENOMEM: i64 = 12;
const ENFILE: i64 = 23;
const EMFILE: i64 = 24;
const EPROTO: i64 = 71;
const EOPNOTSUPP: i64 = 95;
const EADDRNOTAVAIL: i64 = 99;
const ENETDOWN: i64 = 100;
const ENETUNREACH: i64 = 101;
const ECONNABORTED: i64 = 103;
const ECONNRESET: i64 = 104;
const ENOBUFS: i64 = 105;
const ETIMEDOUT: i64 = 110;
const EHOSTUNREACH: i64 = 113;

/// How often a call fails before it works again.
const TIMES: i64 = 3;

/// Accepting fails: a later try takes the connection that waits in the queue, and its request is answered.
#[tokio::test]
async fn accepting_that_fails_is_tried_again() {
    let (shim, node, mut link, _agents) = started().await;
    let faults = [
        ECONNABORTED,
        EMFILE,
        ENFILE,
        ENOBUFS,
        ENOMEM,
        EINTR,
        EPROTO,
        EPERM,
        ENETDOWN,
        EOPNOTSUPP,
        EHOSTUNREACH,
        ENETUNREACH,
        ETIMEDOUT,
    ];
    for (n, errno) in faults.into_iter().enumerate() {
        shim.fail(Call::Accept, errno, TIMES);
        let name = format!("r{n}");
        let mut caller = Caller::connect(node.msgpack).await;
        caller.ask(1, "proof", fields(&name, &[]), "body").await;
        assert_eq!(link.next_command().await, Some(format!("launch {name} proof 4")), "errno {errno}");
        link.say(&format!("outcome {} {name} ok 3.5 4\r\ndone\r\n", n + 1)).await;
        assert_eq!(caller.answer().await.expect("an answer").word, "ok", "errno {errno}");
        assert_eq!(shim.left(Call::Accept), 0, "errno {errno}: accepting did not fail");
    }
    let rest = tokio::spawn(link.rest());
    let (_, good, log) = node.leave().await;
    assert!(good, "{log}");
    rest.await.expect("read");
}

/// The link to the agent cannot be made for a while: the node goes on trying, and serves once it is there.
#[tokio::test]
async fn a_link_that_cannot_be_made_is_tried_again() {
    let faults = [
        (Call::Connect, [EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH, ENOBUFS, EINTR]),
        (Call::Socket, [EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR, ENOBUFS]),
    ];
    for (call, errors) in faults {
        for errno in errors {
            let (shim, node, link, agents) = started().await;
            let mut caller = Caller::connect(node.msgpack).await;
            caller.healthy().await;
            shim.fail(call, errno, TIMES);
            drop(link);
            let links = tokio::spawn(async move {
                let mut link = ScriptedLink::accept(&agents).await;
                link.greet("").await;
                link.rest().await
            });
            let again = within("the fault", async {
                while shim.left(call) > 0 {
                    tokio::time::sleep(std::time::Duration::from_millis(2)).await;
                }
            });
            again.await;
            assert!(caller.health(1_000).await, "{call:?}, errno {errno}");
            let (_, good, log) = node.leave().await;
            assert!(good && log.contains("links=2"), "{call:?}, errno {errno}: {log}");
            links.await.expect("a second link");
        }
    }
}

/// Reads and writes are short or interrupted, the wait is interrupted: every request is read whole and answered once.
#[tokio::test]
async fn short_and_interrupted_calls_change_nothing() {
    for (call, fault) in [
        (Call::Recv, SHORT),
        (Call::Send, SHORT),
        (Call::Recv, EINTR),
        (Call::Send, EINTR),
        (Call::EpollWait, EINTR),
    ] {
        let (shim, node, mut link, _agents) = started().await;
        let mut caller = Caller::connect(node.msgpack).await;
        caller.healthy().await;
        for n in 1..=3 {
            shim.fail(call, fault, 400);
            let name = format!("r{n}");
            caller.ask(100 + n, "proof", fields(&name, &[]), "body").await;
            assert_eq!(link.next_command().await, Some(format!("launch {name} proof 4")), "{call:?} {fault}");
            link.say(&format!("outcome {n} {name} ok 3.5 4\r\ndone\r\n")).await;
            let answer = caller.answer().await.expect("an answer");
            assert_eq!((answer.id, answer.word.as_str()), (100 + n, "ok"), "{call:?} {fault}");
        }
        shim.fail(call, 0, 0);
        let rest = tokio::spawn(link.rest());
        let (_, good, log) = node.leave().await;
        assert!(good, "{call:?} {fault}: {log}");
        rest.await.expect("read");
    }
}

/// One connection's reads or writes fail: that connection ends, the others and the process do not, and what its caller had asked
/// is over with it.
#[tokio::test]
async fn a_failing_connection_ends_alone() {
    for (call, errno) in [
        (Call::Recv, ECONNRESET),
        (Call::Recv, ETIMEDOUT),
        (Call::Recv, EHOSTUNREACH),
        (Call::Recv, ENOMEM),
        (Call::Send, ECONNRESET),
        (Call::Send, ENOBUFS),
        (Call::Send, ENOMEM),
    ] {
        let (shim, node, link, agents) = started().await;
        let mut caller = Caller::connect(node.msgpack).await;
        caller.healthy().await;
        let links = tokio::spawn(async move {
            link.rest().await;
            loop {
                let mut link = ScriptedLink::accept(&agents).await;
                link.greet("").await;
                link.rest().await;
            }
        });
        // Whose call it is that fails is not known: the agent's link may be the one, and is made again.
        shim.fail(call, errno, 2);
        within("the fault", async {
            while shim.left(call) > 0 {
                let mut other = Caller::connect(node.msgpack).await;
                other.raw(&[0x94]).await;
                tokio::time::sleep(std::time::Duration::from_millis(2)).await;
            }
        })
        .await;
        let mut other = Caller::connect(node.msgpack).await;
        other.healthy().await;
        let (_, good, log) = node.leave().await;
        assert!(good, "{call:?}, errno {errno}: {log}");
        links.abort();
    }
}

/// Calls fail in passing while a request is in hand on a connection that goes on asking: the connection lives on, and the request has
/// its answer on it. The agent's link, whose calls fail as well, is made anew and tells again how the run ended.
#[tokio::test]
async fn a_request_in_hand_outlasts_failures_that_pass() {
    let faults = [
        (Call::Recv, ENOMEM),
        (Call::Recv, ETIMEDOUT),
        (Call::Recv, EHOSTUNREACH),
        (Call::Send, ENOBUFS),
        (Call::Send, ENOMEM),
    ];
    for (call, errno) in faults {
        let (shim, node, mut link, agents) = started().await;
        let mut caller = Caller::connect(node.msgpack).await;
        caller.ask(1, "proof", fields("r1", &[]), "body").await;
        assert_eq!(link.next_command().await.as_deref(), Some("launch r1 proof 4"));
        let (end, ended) = tokio::sync::oneshot::channel::<()>();
        let links = tokio::spawn(async move {
            tokio::select! {
                _ = link.rest() => {}
                _ = ended => {}
            }
            let agents = std::sync::Arc::new(agents);
            loop {
                let agents = agents.clone();
                // A link that fails while it is made is no failure of the test: the next one is made anew.
                let _ = tokio::spawn(async move {
                    let mut link = ScriptedLink::accept(&agents).await;
                    let missed = if link.subscribed == 0 { "outcome 1 r1 ok 3.5 4\r\ndone\r\n" } else { "" };
                    link.greet(missed).await;
                    link.rest().await;
                })
                .await;
            }
        });
        shim.fail(call, errno, 20);
        for id in 100..140 {
            let params = Value::Array(vec![map(&[])]);
            let check = vec![Value::Int(0), Value::Int(id), text("health"), params];
            caller.send(Value::Array(check)).await;
            tokio::time::sleep(std::time::Duration::from_millis(3)).await;
        }
        drop(end);
        let word = within("the answer", async {
            loop {
                let Some(Value::Array(message)) = caller.next().await else { return None };
                if message[1] == Value::Int(1) {
                    return Some(message[2].clone());
                }
            }
        });
        assert_eq!(word.await, Some(Value::Nil), "{call:?}, errno {errno}");
        shim.fail(call, 0, 0);
        let (_, good, log) = node.leave().await;
        assert!(good, "{call:?}, errno {errno}: {log}");
        links.abort();
    }
}

/// Signals come while reads are interrupted or the system is short of memory: each is taken, and the process lives.
#[tokio::test]
async fn signals_are_taken_while_reads_fail() {
    for errno in [EINTR, ENOMEM] {
        let (shim, node, link, _agents) = started().await;
        let rest = tokio::spawn(link.rest());
        shim.fail(Call::Recv, errno, 5);
        node.reload().await;
        shim.fail(Call::Recv, errno, 5);
        let (_, good, log) = node.leave().await;
        assert!(good, "errno {errno}: {log}");
        rest.abort();
    }
}
