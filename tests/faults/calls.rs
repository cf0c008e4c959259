//! System calls that fail with errors which their manual pages document as temporary. No such failure ends the process, and every
//! request that was read is answered.

use holdlift::front::msgpack::pack::{Value, text};
use holdlift_lab::shim::{Call, SHORT};
use holdlift_lab::*;

use crate::start_node_with_shim;

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

/// Number of failures of a system call before it succeeds again.
const FAILURE_COUNT: i64 = 3;

/// Accepting a connection fails. A later attempt accepts the connection, which waits in the queue, and its request is answered.
#[tokio::test]
async fn a_failed_accept_is_retried() {
    let (shim, node, mut link, _agents) = start_node_with_shim().await;
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
        shim.fail(Call::Accept, errno, FAILURE_COUNT);
        let name = format!("r{n}");
        let mut caller = Caller::connect(node.msgpack).await;
        caller.ask(1, "proof", fields(&name, &[]), "body").await;
        assert_eq!(link.next_command().await, Some(format!("launch {name} proof 4")), "errno {errno}");
        link.say(&format!("outcome {} {name} ok 3.5 4\r\ndone\r\n", n + 1)).await;
        assert_eq!(caller.answer().await.expect("the request is answered").word, "ok", "errno {errno}");
        assert_eq!(
            shim.left(Call::Accept),
            0,
            "errno {errno}: the accept calls have not failed as often as injected"
        );
    }
    let rest = tokio::spawn(link.rest());
    let (_, good, log) = node.leave().await;
    assert!(good, "{log}");
    rest.await.expect("the scripted link does not panic");
}

/// The node cannot connect to the agent for a while. It keeps trying, and serves once the link is established.
#[tokio::test]
async fn a_failed_connection_to_the_agent_is_retried() {
    let faults = [
        (Call::Connect, [EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH, ENOBUFS, EINTR]),
        (Call::Socket, [EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR, ENOBUFS]),
    ];
    for (call, errors) in faults {
        for errno in errors {
            let (shim, node, link, agents) = start_node_with_shim().await;
            let mut caller = Caller::connect(node.msgpack).await;
            caller.healthy().await;
            shim.fail(call, errno, FAILURE_COUNT);
            drop(link);
            let links = tokio::spawn(async move {
                let mut link = ScriptedLink::accept(&agents).await;
                link.greet("").await;
                link.rest().await
            });
            let injected = within("the injected failures", async {
                while shim.left(call) > 0 {
                    tokio::time::sleep(std::time::Duration::from_millis(2)).await;
                }
            });
            injected.await;
            assert!(caller.health(1_000).await, "{call:?}, errno {errno}");
            let (_, good, log) = node.leave().await;
            assert!(good && log.contains("links=2"), "{call:?}, errno {errno}: {log}");
            links.await.expect("the scripted agent does not panic");
        }
    }
}

/// Reads and writes are short or interrupted, or the wait for events is interrupted. Every request is read completely and answered
/// once.
#[tokio::test]
async fn short_and_interrupted_system_calls_lose_no_request() {
    for (call, fault) in [
        (Call::Recv, SHORT),
        (Call::Send, SHORT),
        (Call::Recv, EINTR),
        (Call::Send, EINTR),
        (Call::EpollWait, EINTR),
    ] {
        let (shim, node, mut link, _agents) = start_node_with_shim().await;
        let mut caller = Caller::connect(node.msgpack).await;
        caller.healthy().await;
        for n in 1..=3 {
            shim.fail(call, fault, 400);
            let name = format!("r{n}");
            caller.ask(100 + n, "proof", fields(&name, &[]), "body").await;
            assert_eq!(link.next_command().await, Some(format!("launch {name} proof 4")), "{call:?} {fault}");
            link.say(&format!("outcome {n} {name} ok 3.5 4\r\ndone\r\n")).await;
            let answer = caller.answer().await.expect("the request is answered");
            assert_eq!((answer.id, answer.word.as_str()), (100 + n, "ok"), "{call:?} {fault}");
        }
        shim.fail(call, 0, 0);
        let rest = tokio::spawn(link.rest());
        let (_, good, log) = node.leave().await;
        assert!(good, "{call:?} {fault}: {log}");
        rest.await.expect("the scripted link does not panic");
    }
}

/// Reads or writes of one connection fail. That connection ends, and with it the requests of its caller; the other connections and
/// the process do not end.
#[tokio::test]
async fn a_connection_whose_system_calls_fail_ends_alone() {
    for (call, errno) in [
        (Call::Recv, ECONNRESET),
        (Call::Recv, ETIMEDOUT),
        (Call::Recv, EHOSTUNREACH),
        (Call::Recv, ENOMEM),
        (Call::Send, ECONNRESET),
        (Call::Send, ENOBUFS),
        (Call::Send, ENOMEM),
    ] {
        let (shim, node, link, agents) = start_node_with_shim().await;
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
        // The failing call may belong to any connection, such as the agent link, which is then connected again.
        shim.fail(call, errno, 2);
        within("the injected failures", async {
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

/// System calls fail temporarily while a request is open on a connection that continues to send health checks. The connection stays
/// open, and the request is answered on it. Calls of the agent link fail as well; the link is connected again, and the agent repeats
/// how the run ended.
#[tokio::test]
async fn an_open_request_survives_transient_failures_of_its_connection() {
    let faults = [
        (Call::Recv, ENOMEM),
        (Call::Recv, ETIMEDOUT),
        (Call::Recv, EHOSTUNREACH),
        (Call::Send, ENOBUFS),
        (Call::Send, ENOMEM),
    ];
    for (call, errno) in faults {
        let (shim, node, mut link, agents) = start_node_with_shim().await;
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
                // A link may fail while it is established. The test then accepts the next one.
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
        let error = within("the answer", async {
            loop {
                let Some(Value::Array(message)) = caller.next().await else { return None };
                if message[1] == Value::Int(1) {
                    return Some(message[2].clone());
                }
            }
        });
        assert_eq!(error.await, Some(Value::Nil), "{call:?}, errno {errno}");
        shim.fail(call, 0, 0);
        let (_, good, log) = node.leave().await;
        assert!(good, "{call:?}, errno {errno}: {log}");
        links.abort();
    }
}

/// Signals come while reads are interrupted or the system is short of memory. The process handles each signal and does not crash.
#[tokio::test]
async fn signals_are_handled_while_reads_fail() {
    for errno in [EINTR, ENOMEM] {
        let (shim, node, link, _agents) = start_node_with_shim().await;
        let rest = tokio::spawn(link.rest());
        shim.fail(Call::Recv, errno, 5);
        node.reload().await;
        shim.fail(Call::Recv, errno, 5);
        let (_, good, log) = node.leave().await;
        assert!(good, "errno {errno}: {log}");
        rest.abort();
    }
}
