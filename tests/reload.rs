//! Reloads of the configuration under load.

mod net;

use std::sync::atomic::Ordering;
use std::time::Duration;

use net::*;
use tokio::time::sleep;

/// A reload on SIGHUP keeps running work and moves to the agent, ledger and directory of the new file; an invalid file
/// changes nothing. SIGHUP once ended the process.
#[tokio::test]
async fn a_reload_moves_to_the_new_agent_ledger_and_directory() {
    let heard = Heard::default();
    let farm = Farm::new(2);
    let mut addresses = Vec::new();
    for generation in ["old", "new"] {
        let ((agents, agent), (ledgers, ledger), (directories, lookup)) =
            (bind().await, bind().await, bind().await);
        tokio::spawn(farm.clone().agent(agents));
        tokio::spawn(http(
            ledgers,
            generation,
            heard.clone(),
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
        ));
        // The old directory never answers, which must not delay the report to the new one.
        let reply = if generation == "new" { "HTTP/1.1 204 No Content\r\n\r\n" } else { "" };
        tokio::spawn(http(directories, generation, heard.clone(), reply));
        addresses.push((agent, ledger, lookup));
    }
    let (agent, ledger, lookup) = addresses[0];
    let [agent, ledger, lookup] = [agent, ledger, lookup].map(Some);
    let setup = Setup { settings: settings(2, 3_000, 6_000), agent, ledger, lookup, ..Setup::default() };
    let node = setup.start().await;
    let mut c = Caller::connect(node.msgpack).await;
    c.healthy().await;
    c.ask(1_000, "book-job", fields("w1", &[]), "gate w1").await;
    c.ask(1_001, "quote", fields("q1", &[]), "1 call q1").await;
    assert_eq!(c.answer().await.expect("the request is answered").id, 1_001);
    node.reconfigure(&[("agent", "nowhere".into())]);
    node.reload().await;
    let (agent, ledger, lookup) = addresses[1];
    let [agent, ledger, lookup] = [agent, ledger, lookup].map(|a| a.to_string().into());
    node.reconfigure(&[("agent", agent), ("ledger", ledger), ("lookup", lookup)]);
    node.reload().await;
    within("the new directory", async {
        while !heard.lock().unwrap().iter().any(|h| h.0 == "new") {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    assert_eq!(farm.running.load(Ordering::SeqCst), 1, "the reload leaves the running work alone");
    farm.open_gate();
    c.ask(1_002, "quote", fields("q2", &[]), "1 call q2").await;
    let mut answers = vec![
        c.answer().await.expect("the request is answered"),
        c.answer().await.expect("the request is answered"),
    ];
    answers.sort_by_key(|a| a.id);
    let answers: Vec<_> = answers.into_iter().map(|a| (a.id, a.word, a.body)).collect();
    let ok = |id, body: &'static str| (id, "ok".to_owned(), body.into());
    assert_eq!(answers, [ok(1_000, "done w1"), ok(1_002, "done q2")]);
    let mut launches = farm.launches.lock().unwrap().clone();
    launches.sort();
    assert_eq!(launches, ["q1", "q2", "w1"], "nothing is launched twice");
    let posts: Vec<_> = heard.lock().unwrap().iter().filter(|h| h.1.starts_with("POST")).cloned().collect();
    assert_eq!(posts.iter().map(|p| p.0).collect::<Vec<_>>(), ["old", "new"]);
    let (_, good, log) = node.leave().await;
    assert!(good && log.contains("reloads=1") && log.contains("links=2"), "{log}");
    assert!(log.contains("nothing changed"), "{log}");
    let last = heard.lock().unwrap().last().cloned().expect("the directory received a report");
    assert_eq!(last, ("new", r#"PUT /dir/nodes/n0 HTTP/1.1 {"mode":"closed"}"#.to_owned()));
}

/// Drain during a move to an agent address that nothing listens on, and a flood of invalid requests: open requests are
/// answered and the process ends in time.
#[tokio::test]
async fn a_drain_during_an_agent_move_and_a_flood_answers_open_requests() {
    let (agents, agent) = bind().await;
    let farm = Farm::new(2);
    tokio::spawn(farm.clone().agent(agents));
    let node =
        Setup { settings: settings(2, 3_000, 6_000), agent: Some(agent), ..Setup::default() }.start().await;
    let mut c = Caller::connect(node.msgpack).await;
    c.healthy().await;
    c.ask(1_000, "book-job", fields("w1", &[]), "300 w1").await;
    c.ask(1_001, "book-job", fields("w2", &[]), "9000 w2").await;
    within("both runs", async {
        while farm.running.load(Ordering::SeqCst) < 2 {
            sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
    node.reconfigure(&[("agent", free().await.to_string().into())]);
    node.signal("-HUP");
    let flood = node.msgpack;
    let flood = tokio::spawn(async move {
        loop {
            let mut c = Caller::connect(flood).await;
            for id in 0..500 {
                c.ask(id, "dance", fields("r", &[]), "").await;
            }
        }
    });
    node.reloaded(1).await;
    let leaving = tokio::spawn(node.leave());
    let mut answers = vec![
        c.answer().await.expect("the request is answered"),
        c.answer().await.expect("the request is answered"),
    ];
    answers.sort_by_key(|a| a.id);
    let answers: Vec<_> = answers.into_iter().map(|a| (a.id, a.word)).collect();
    assert_eq!(answers, [(1_000, "ok".to_owned()), (1_001, "Error".to_owned())]);
    let (took, good, log) = leaving.await.expect("the node ended");
    flood.abort();
    assert!(good && took < BY_ITSELF, "{took:?} {log}");
    assert!(log.contains("reloads=1") && log.contains("links=1"), "{log}");
}
