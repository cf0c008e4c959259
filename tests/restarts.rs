//! What crosses a notice to leave, a lost link, a cancel and an answer, with requests in flight: the process is stopped by the
//! system, two things happen, and it goes on with both before it, in whichever order it takes them. One final answer each,
//! and no write is launched twice. The table is `docs/design/crossings.md`.

mod net;

use net::*;
use tokio::net::TcpListener;

/// A node with one write under way, on a link that a test holds in its hand.
struct Scene {
    node: Node,
    agents: TcpListener,
    link: Option<ScriptedLink>,
    caller: Caller,
}

const DONE: &str = "outcome 1 w1 ok 3.5 4\r\ndone\r\n";

impl Scene {
    async fn new() -> Scene {
        let (agents, agent) = bind().await;
        let setup = Setup { settings: settings(2, 3_000, 6_000), agent: Some(agent), ..Setup::default() };
        let starting = tokio::spawn(setup.start());
        let mut link = ScriptedLink::accept(&agents).await;
        assert_eq!(link.subscribed, 0);
        link.greet("").await;
        let node = starting.await.expect("started");
        let mut caller = Caller::connect(node.msgpack).await;
        caller.ask(1, "book-job", fields("w1", &[]), "a write").await;
        assert_eq!(link.command().await.as_deref(), Some("launch w1 book-job 7"));
        Scene { node, agents, link: Some(link), caller }
    }

    /// All answers that the caller gets until its connection ends, by id.
    async fn answers(&mut self) -> Vec<(i128, String)> {
        let mut all = Vec::new();
        while let Some(a) = self.caller.answer().await {
            all.push((a.id, a.word));
        }
        all
    }
}

fn ok(id: i128) -> (i128, String) {
    (id, "ok".to_owned())
}

/// The run's end and the notice to leave.
#[tokio::test]
async fn an_outcome_and_the_notice() {
    let mut s = Scene::new().await;
    s.node.freeze().await;
    s.link.as_mut().expect("a link").say(DONE).await;
    s.node.signal("-TERM");
    s.node.thaw();
    let rest = tokio::spawn(s.link.take().expect("a link").rest());
    assert_eq!(s.answers().await, [ok(1)]);
    let (good, log) = s.node.ended().await;
    assert!(good && log.contains("served=1"), "{log}");
    assert_eq!(rest.await.expect("read"), Vec::<String>::new(), "nothing more was launched");
}

/// The run's end and the cancel of its request: an answer is no harm, a second launch would be.
#[tokio::test]
async fn an_outcome_and_a_cancel() {
    let mut s = Scene::new().await;
    s.node.freeze().await;
    s.caller.cancel(1).await;
    s.link.as_mut().expect("a link").say(DONE).await;
    s.node.thaw();
    let rest = tokio::spawn(s.link.take().expect("a link").rest());
    // The connection is as good as before.
    s.caller.ask(2, "dance", fields("x", &[]), "").await;
    let (_, good, log) = s.node.leave().await;
    let mut all = Vec::new();
    while let Some(a) = s.caller.answer().await {
        all.push(a.id);
    }
    assert!(all == [2] || all == [1, 2], "{all:?}");
    assert!(good && log.contains("launched=1"), "{log}");
    assert!(!rest.await.expect("read").iter().any(|c| c.starts_with("launch")));
}

/// The run's end and the end of the link behind it: the end counts, and the new link asks for what comes after.
#[tokio::test]
async fn an_outcome_and_a_lost_link() {
    let mut s = Scene::new().await;
    s.node.freeze().await;
    s.link.as_mut().expect("a link").say(DONE).await;
    s.link = None;
    s.node.thaw();
    let mut link = ScriptedLink::accept(&s.agents).await;
    // Should the end not have been read, it is said again, and counts once.
    let missed = if link.subscribed == 0 { DONE } else { "" };
    link.greet(missed).await;
    assert_eq!(s.caller.answer().await.map(|a| (a.id, a.word)), Some(ok(1)));
    let rest = tokio::spawn(link.rest());
    let (_, good, log) = s.node.leave().await;
    assert!(good && log.contains("served=1"), "{log}");
    assert_eq!(rest.await.expect("read"), Vec::<String>::new());
}

/// Half of the run's end, then the link breaks off and the notice to leave comes: the rest is heard on a new link, and the
/// request has its answer before the process goes.
#[tokio::test]
async fn a_link_that_breaks_off_and_the_notice() {
    let mut s = Scene::new().await;
    s.node.freeze().await;
    s.link.as_mut().expect("a link").say(&DONE[..24]).await;
    s.link = None;
    s.node.signal("-TERM");
    s.node.thaw();
    let mut link = ScriptedLink::accept(&s.agents).await;
    assert_eq!(link.subscribed, 0, "half a notice has not been read");
    link.greet(DONE).await;
    let rest = tokio::spawn(link.rest());
    assert_eq!(s.answers().await, [ok(1)]);
    let (good, log) = s.node.ended().await;
    assert!(good && log.contains("links=2"), "{log}");
    assert_eq!(rest.await.expect("read"), Vec::<String>::new());
}

/// The link breaks with the launch unproven, a cancel comes, and the replay shows the end: nothing is launched again.
#[tokio::test]
async fn a_lost_link_a_cancel_and_a_replay() {
    let mut s = Scene::new().await;
    s.node.freeze().await;
    s.link = None;
    s.caller.cancel(1).await;
    s.node.thaw();
    let mut link = ScriptedLink::accept(&s.agents).await;
    link.greet(DONE).await;
    let rest = tokio::spawn(link.rest());
    let (_, good, log) = s.node.leave().await;
    assert!(good, "{log}");
    assert!(!rest.await.expect("read").iter().any(|c| c.starts_with("launch")), "{log}");
}

/// A request, the notice to leave and half of a further request: the first has its one answer within the grace, the half is
/// none, and the process goes by itself.
#[tokio::test]
async fn a_request_half_a_request_and_the_notice() {
    let mut s = Scene::new().await;
    s.node.freeze().await;
    s.caller.ask(2, "book-job", fields("w2", &[]), "b").await;
    s.caller.raw(b"\x94\x00\x03\xa8book").await;
    s.node.signal("-TERM");
    s.node.thaw();
    let mut link = s.link.take().expect("a link");
    link.say(DONE).await;
    let rest = tokio::spawn(async move {
        while let Some(command) = link.command().await {
            if command.starts_with("launch w2 ") {
                link.say("outcome 2 w2 ok 1.0 4\r\ndone\r\n").await;
            } else {
                assert!(!command.starts_with("launch"), "{command}");
            }
        }
    });
    let mut all = s.answers().await;
    all.sort();
    assert!(all.len() == 2 && all[0] == ok(1) && all[1].0 == 2, "{all:?}");
    let (good, log) = s.node.ended().await;
    assert!(good && log.contains("asked.Msgpack=2"), "{log}");
    rest.await.expect("read");
}

/// A changed file, a bad one, and the notice to leave, all at once: the process leaves as it would have, and answers.
#[tokio::test]
async fn a_reload_and_the_notice() {
    for text in [None, Some("{\"name\":"), Some("")] {
        let mut s = Scene::new().await;
        s.node.freeze().await;
        match text {
            None => s.node.reconfigure(&[("stop_ms", 1_500.into())]),
            Some(text) => s.node.configure(text),
        }
        s.node.signal("-HUP");
        s.node.signal("-TERM");
        s.link.as_mut().expect("a link").say(DONE).await;
        s.node.thaw();
        let rest = tokio::spawn(s.link.take().expect("a link").rest());
        assert_eq!(s.answers().await, [ok(1)]);
        let (good, log) = s.node.ended().await;
        let counted = if text.is_none() { "reloads=1" } else { "reloads_failed=1" };
        assert!(good && log.contains(counted), "{log}");
        assert_eq!(rest.await.expect("read"), Vec::<String>::new());
    }
}

/// The caller goes, and its write ends in the same moment: the node serves others as before.
#[tokio::test]
async fn a_caller_that_goes_and_an_outcome() {
    let mut s = Scene::new().await;
    s.node.freeze().await;
    s.link.as_mut().expect("a link").say(DONE).await;
    let gone = std::mem::replace(&mut s.caller, Caller::connect(s.node.msgpack).await);
    drop(gone);
    s.node.thaw();
    let mut link = s.link.take().expect("a link");
    s.caller.ask(1, "quote", fields("r2", &[]), "c").await;
    assert_eq!(link.command().await.as_deref(), Some("launch r2 quote 1"));
    link.say("outcome 2 r2 ok 1.0 4\r\ndone\r\n").await;
    let rest = tokio::spawn(link.rest());
    assert_eq!(s.caller.answer().await.map(|a| (a.id, a.word)), Some(ok(1)));
    let (_, good, log) = s.node.leave().await;
    assert!(good && log.contains("launched=2"), "{log}");
    assert_eq!(rest.await.expect("read"), Vec::<String>::new());
}

/// Who waits in the listener's queue as it closes is taken in and answered. The listener closes at a time, 300 ms before the
/// process is stopped, and 80 ms before that it is gone: the process stands still until the first of these. Where the machine
/// lets it go on only behind the second, the scene is played again.
#[tokio::test]
async fn who_waits_in_the_queue_as_it_closes() {
    const STOP: u128 = 1_500;
    for _ in 0..6 {
        let (agents, agent) = bind().await;
        let setup = Setup { settings: settings(2, 3_000, 6_000), agent: Some(agent), ..Setup::default() };
        let starting = tokio::spawn(Setup { stop_ms: STOP as u64, ..setup }.start());
        let mut link = ScriptedLink::accept(&agents).await;
        link.greet("").await;
        let rest = tokio::spawn(link.rest());
        let node = starting.await.expect("started");
        let mut told = Caller::connect(node.msgpack).await;
        told.healthy().await;
        node.signal("-TERM");
        told.last_call().await;
        let notice = unix_ms();
        node.freeze().await;
        let mut late = Caller::connect(node.msgpack).await;
        late.ask(1, "quote", fields("late", &[]), "1 x").await;
        while unix_ms() < notice + STOP - 290 {
            tokio::task::yield_now().await;
        }
        node.thaw();
        let answer = late.answer().await.map(|a| (a.id, a.word));
        let (good, log) = node.ended().await;
        assert!(good && !rest.await.expect("read").iter().any(|c| c.starts_with("launch")), "{log}");
        if answer.is_some() {
            return assert_eq!(answer, Some((1, "Full".to_owned())), "{log}");
        }
    }
    panic!("reset or unanswered in each of six scenes");
}
