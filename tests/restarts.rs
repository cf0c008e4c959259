//! Pairs of events that coincide while requests are in progress, such as a notice to leave, a lost agent link, a cancellation and
//! the end of a run. The process is suspended, both events happen, and it resumes and may handle them in either order. Each
//! request gets one final answer, and no write is launched twice. `docs/design/crossings.md` lists the cases.

mod net;

use net::*;
use tokio::net::TcpListener;

/// A node with one running write, whose agent link is scripted by the test.
struct RunningWrite {
    node: Node,
    agents: TcpListener,
    link: Option<ScriptedLink>,
    caller: Caller,
}

/// The agent's notice that the write has succeeded.
const RUN_SUCCEEDED: &str = "outcome 1 w1 ok 3.5 4\r\ndone\r\n";

impl RunningWrite {
    async fn new() -> RunningWrite {
        let (agents, agent) = bind().await;
        let setup = Setup { settings: settings(2, 3_000, 6_000), agent: Some(agent), ..Setup::default() };
        let starting = tokio::spawn(setup.start());
        let mut link = ScriptedLink::accept(&agents).await;
        assert_eq!(link.subscribed, 0);
        link.greet("").await;
        let node = starting.await.expect("the node starts");
        let mut caller = Caller::connect(node.msgpack).await;
        caller.ask(1, "book-job", fields("w1", &[]), "a write").await;
        assert_eq!(link.command().await.as_deref(), Some("launch w1 book-job 7"));
        RunningWrite { node, agents, link: Some(link), caller }
    }

    /// All answers, with their request ids, that the caller receives until its connection ends.
    async fn answers(&mut self) -> Vec<(i128, String)> {
        let mut answers = Vec::new();
        while let Some(answer) = self.caller.answer().await {
            answers.push((answer.id, answer.word));
        }
        answers
    }
}

fn ok(id: i128) -> (i128, String) {
    (id, "ok".to_owned())
}

/// The end of the run and the notice to leave come together.
#[tokio::test]
async fn a_run_end_with_a_notice_to_leave_is_answered() {
    let mut scenario = RunningWrite::new().await;
    scenario.node.freeze().await;
    scenario.link.as_mut().expect("the scenario has an agent link").say(RUN_SUCCEEDED).await;
    scenario.node.signal("-TERM");
    scenario.node.thaw();
    let rest = tokio::spawn(scenario.link.take().expect("the scenario has an agent link").rest());
    assert_eq!(scenario.answers().await, [ok(1)]);
    let (good, log) = scenario.node.ended().await;
    assert!(good && log.contains("served=1"), "{log}");
    assert_eq!(
        rest.await.expect("the scripted link does not panic"),
        Vec::<String>::new(),
        "the node sent another command to the agent"
    );
}

/// The end of the run and the cancellation of its request come together. An answer is allowed; a second launch is not.
#[tokio::test]
async fn a_run_end_with_a_cancellation_launches_nothing_again() {
    let mut scenario = RunningWrite::new().await;
    scenario.node.freeze().await;
    scenario.caller.cancel(1).await;
    scenario.link.as_mut().expect("the scenario has an agent link").say(RUN_SUCCEEDED).await;
    scenario.node.thaw();
    let rest = tokio::spawn(scenario.link.take().expect("the scenario has an agent link").rest());
    // The connection still serves requests.
    scenario.caller.ask(2, "dance", fields("x", &[]), "").await;
    let (_, good, log) = scenario.node.leave().await;
    let mut answered = Vec::new();
    while let Some(answer) = scenario.caller.answer().await {
        answered.push(answer.id);
    }
    assert!(answered == [2] || answered == [1, 2], "{answered:?}");
    assert!(good && log.contains("launched=1"), "{log}");
    assert!(
        !rest
            .await
            .expect("the scripted link does not panic")
            .iter()
            .any(|command| command.starts_with("launch"))
    );
}

/// The end of the run comes, and then the link ends. The end of the run counts, and the new link subscribes to later notices.
#[tokio::test]
async fn a_run_end_before_a_lost_link_counts_once() {
    let mut scenario = RunningWrite::new().await;
    scenario.node.freeze().await;
    scenario.link.as_mut().expect("the scenario has an agent link").say(RUN_SUCCEEDED).await;
    scenario.link = None;
    scenario.node.thaw();
    let mut link = ScriptedLink::accept(&scenario.agents).await;
    // If the node has not read the end of the run, the agent repeats it, and it counts once.
    let missed = if link.subscribed == 0 { RUN_SUCCEEDED } else { "" };
    link.greet(missed).await;
    assert_eq!(scenario.caller.answer().await.map(|a| (a.id, a.word)), Some(ok(1)));
    let rest = tokio::spawn(link.rest());
    let (_, good, log) = scenario.node.leave().await;
    assert!(good && log.contains("served=1"), "{log}");
    assert_eq!(rest.await.expect("the scripted link does not panic"), Vec::<String>::new());
}

/// The link breaks in the middle of the notice that the run has ended, and the notice to leave comes. The agent repeats its notice
/// on a new link, and the request is answered before the process ends.
#[tokio::test]
async fn a_link_that_breaks_within_a_notice_with_a_notice_to_leave_loses_no_answer() {
    let mut scenario = RunningWrite::new().await;
    scenario.node.freeze().await;
    scenario.link.as_mut().expect("the scenario has an agent link").say(&RUN_SUCCEEDED[..24]).await;
    scenario.link = None;
    scenario.node.signal("-TERM");
    scenario.node.thaw();
    let mut link = ScriptedLink::accept(&scenario.agents).await;
    assert_eq!(link.subscribed, 0, "an incomplete notice does not count as read");
    link.greet(RUN_SUCCEEDED).await;
    let rest = tokio::spawn(link.rest());
    assert_eq!(scenario.answers().await, [ok(1)]);
    let (good, log) = scenario.node.ended().await;
    assert!(good && log.contains("links=2"), "{log}");
    assert_eq!(rest.await.expect("the scripted link does not panic"), Vec::<String>::new());
}

/// The link breaks before the agent has confirmed the launch, a cancellation comes, and the replay on the new link reports the end of
/// the run. Nothing is launched again.
#[tokio::test]
async fn a_lost_link_with_a_cancellation_and_a_replay_launches_nothing_again() {
    let mut scenario = RunningWrite::new().await;
    scenario.node.freeze().await;
    scenario.link = None;
    scenario.caller.cancel(1).await;
    scenario.node.thaw();
    let mut link = ScriptedLink::accept(&scenario.agents).await;
    link.greet(RUN_SUCCEEDED).await;
    let rest = tokio::spawn(link.rest());
    let (_, good, log) = scenario.node.leave().await;
    assert!(good, "{log}");
    assert!(
        !rest
            .await
            .expect("the scripted link does not panic")
            .iter()
            .any(|command| command.starts_with("launch")),
        "{log}"
    );
}

/// Guards against review case 1: the link breaks behind the launch of a write, and its run ends only after the agent has
/// answered the question on the new link. The agent keeps no record of the run, so a second launch would run it again.
#[tokio::test]
async fn a_write_whose_run_ends_behind_the_replay_is_not_launched_again() {
    let mut scenario = RunningWrite::new().await;
    scenario.link = None;
    let mut link = ScriptedLink::accept(&scenario.agents).await;
    link.greet("").await;
    // The next command shows that the node has handled the answer.
    scenario.caller.ask(2, "quote", fields("r2", &[]), "read").await;
    assert_eq!(link.next_command().await.as_deref(), Some("launch r2 quote 4"));
    link.say(RUN_SUCCEEDED).await;
    assert_eq!(scenario.caller.answer().await.map(|a| (a.id, a.word)), Some(ok(1)));
    link.say("outcome 2 r2 ok 1.0 4\r\ndone\r\n").await;
    assert_eq!(scenario.caller.answer().await.map(|a| (a.id, a.word)), Some(ok(2)));
    let rest = tokio::spawn(link.rest());
    let (_, good, log) = scenario.node.leave().await;
    assert!(good && log.contains("launches_in_doubt=1"), "{log}");
    assert_eq!(rest.await.expect("the scripted link does not panic"), Vec::<String>::new());
}

/// The agent moves while the launch of a write has no proof of delivery. The old link is drained, so that the move leaves no
/// command in doubt. If the old agent does not answer, the move goes on, and the launch is not repeated.
#[tokio::test]
async fn a_move_of_the_agent_drains_the_old_link_and_launches_nothing_again() {
    for old_agent_answers in [true, false] {
        let mut scenario = RunningWrite::new().await;
        let (new_agents, new_agent) = bind().await;
        scenario.node.reconfigure(&[("agent", new_agent.to_string().into())]);
        scenario.node.signal("-HUP");
        let old_link = scenario.link.take().expect("the scenario has an agent link");
        let (answering, silent) =
            if old_agent_answers { (Some(old_link), None) } else { (None, Some(old_link)) };
        let rest_of_old = tokio::spawn(async move {
            match answering {
                Some(link) => link.rest().await,
                None => Vec::new(),
            }
        });
        let mut link = ScriptedLink::accept(&new_agents).await;
        link.greet("").await;
        link.say(RUN_SUCCEEDED).await;
        assert_eq!(scenario.caller.answer().await.map(|a| (a.id, a.word)), Some(ok(1)));
        let rest = tokio::spawn(link.rest());
        let (_, good, log) = scenario.node.leave().await;
        let in_doubt = format!("launches_in_doubt={} ", u32::from(!old_agent_answers));
        assert!(good && log.contains(&in_doubt) && log.contains("links=2"), "{log}");
        drop(silent);
        for commands in [rest, rest_of_old] {
            assert_eq!(commands.await.expect("the scripted link does not panic"), Vec::<String>::new());
        }
    }
}

/// A request, an incomplete request and the notice to leave come together. The complete request gets one answer within the grace
/// period, the incomplete one does not count as a request, and the process ends by itself.
#[tokio::test]
async fn a_complete_and_an_incomplete_request_with_a_notice_to_leave() {
    let mut scenario = RunningWrite::new().await;
    scenario.node.freeze().await;
    scenario.caller.ask(2, "book-job", fields("w2", &[]), "b").await;
    scenario.caller.raw(b"\x94\x00\x03\xa8book").await;
    scenario.node.signal("-TERM");
    scenario.node.thaw();
    let mut link = scenario.link.take().expect("the scenario has an agent link");
    link.say(RUN_SUCCEEDED).await;
    let rest = tokio::spawn(async move {
        while let Some(command) = link.command().await {
            if command.starts_with("launch w2 ") {
                link.say("outcome 2 w2 ok 1.0 4\r\ndone\r\n").await;
            } else {
                assert!(!command.starts_with("launch"), "{command}");
            }
        }
    });
    let mut answers = scenario.answers().await;
    answers.sort();
    assert!(answers.len() == 2 && answers[0] == ok(1) && answers[1].0 == 2, "{answers:?}");
    let (good, log) = scenario.node.ended().await;
    assert!(good && log.contains("asked.Msgpack=2"), "{log}");
    rest.await.expect("the scripted link does not panic");
}

/// A reload of a valid or an invalid configuration and the notice to leave come together. The process answers and leaves as without
/// the reload.
#[tokio::test]
async fn a_reload_with_a_notice_to_leave_does_not_disturb_the_departure() {
    for text in [None, Some("{\"name\":"), Some("")] {
        let mut scenario = RunningWrite::new().await;
        scenario.node.freeze().await;
        match text {
            None => scenario.node.reconfigure(&[("stop_ms", 1_500.into())]),
            Some(text) => scenario.node.configure(text),
        }
        scenario.node.signal("-HUP");
        scenario.node.signal("-TERM");
        scenario.link.as_mut().expect("the scenario has an agent link").say(RUN_SUCCEEDED).await;
        scenario.node.thaw();
        let rest = tokio::spawn(scenario.link.take().expect("the scenario has an agent link").rest());
        assert_eq!(scenario.answers().await, [ok(1)]);
        let (good, log) = scenario.node.ended().await;
        let expected_count = if text.is_none() { "reloads=1" } else { "reloads_failed=1" };
        assert!(good && log.contains(expected_count), "{log}");
        assert_eq!(rest.await.expect("the scripted link does not panic"), Vec::<String>::new());
    }
}

/// A caller disconnects as its write ends. The node serves other callers as before.
#[tokio::test]
async fn a_caller_that_disconnects_as_its_run_ends_disturbs_no_other_caller() {
    let mut scenario = RunningWrite::new().await;
    scenario.node.freeze().await;
    scenario.link.as_mut().expect("the scenario has an agent link").say(RUN_SUCCEEDED).await;
    let disconnected = std::mem::replace(&mut scenario.caller, Caller::connect(scenario.node.msgpack).await);
    drop(disconnected);
    scenario.node.thaw();
    let mut link = scenario.link.take().expect("the scenario has an agent link");
    scenario.caller.ask(1, "quote", fields("r2", &[]), "c").await;
    assert_eq!(link.command().await.as_deref(), Some("launch r2 quote 1"));
    link.say("outcome 2 r2 ok 1.0 4\r\ndone\r\n").await;
    let rest = tokio::spawn(link.rest());
    assert_eq!(scenario.caller.answer().await.map(|a| (a.id, a.word)), Some(ok(1)));
    let (_, good, log) = scenario.node.leave().await;
    assert!(good && log.contains("launched=2"), "{log}");
    assert_eq!(rest.await.expect("the scripted link does not panic"), Vec::<String>::new());
}

/// A connection that waits in the listener's queue when the listener closes is accepted and answered. The listener closes 300 ms
/// before the process is stopped, and the process ends 80 ms before it is stopped. The test suspends the process until the first of
/// these times. If a busy machine lets it resume only after the second, the trial is repeated, up to six times.
#[tokio::test]
async fn a_connection_in_the_queue_of_a_closing_listener_is_answered() {
    const STOP_MS: u128 = 1_500;
    for _ in 0..6 {
        let (agents, agent) = bind().await;
        let setup = Setup { settings: settings(2, 3_000, 6_000), agent: Some(agent), ..Setup::default() };
        let starting = tokio::spawn(Setup { stop_ms: STOP_MS as u64, ..setup }.start());
        let mut link = ScriptedLink::accept(&agents).await;
        link.greet("").await;
        let rest = tokio::spawn(link.rest());
        let node = starting.await.expect("the node starts");
        let mut early = Caller::connect(node.msgpack).await;
        early.healthy().await;
        node.signal("-TERM");
        early.last_call().await;
        let notice = unix_ms();
        node.freeze().await;
        let mut late = Caller::connect(node.msgpack).await;
        late.ask(1, "quote", fields("late", &[]), "1 x").await;
        while unix_ms() < notice + STOP_MS - 290 {
            tokio::task::yield_now().await;
        }
        node.thaw();
        let answer = late.answer().await.map(|a| (a.id, a.word));
        let (good, log) = node.ended().await;
        assert!(
            good && !rest
                .await
                .expect("the scripted link does not panic")
                .iter()
                .any(|command| command.starts_with("launch")),
            "{log}"
        );
        if answer.is_some() {
            return assert_eq!(answer, Some((1, "Full".to_owned())), "{log}");
        }
    }
    panic!("the late connection was reset or not answered in each of six trials");
}
