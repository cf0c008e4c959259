//! Links between two processes of a node that one of them gives up.

use super::*;

/// A successor that gave up the link to an incumbent that stood still had no way back: it accepted no successor of its own, so that
/// the next replacement was a plain leave (found while mending review/7).
#[tokio::test]
async fn a_successor_that_gives_up_its_link_is_replaced_like_any_other() {
    let ((_old, agent), (_new, next)) = (start_agent(true).await, start_agent(true).await);
    let setup = Setup { settings: settings(2, 3_000, 6_000), stop_ms: 4_000, ..Setup::default() };
    let incumbent = Setup { agent: Some(agent), ..setup }.start().await;
    incumbent.ready().await;
    let successor = incumbent.succeed(next).await;
    successor.ready().await;
    incumbent.freeze().await;
    let mut callers = Vec::new();
    for _ in 0..8 {
        callers.push(Caller::connect(incumbent.msgpack).await);
    }
    // The successor asks the incumbent for each write, and gets no answer.
    within("the link is given up", async {
        for id in 0.. {
            if successor.log().contains("the link to the other process of this node is dropped") {
                break;
            }
            let caller = &mut callers[id as usize % 8];
            caller.ask(id, "book-job", fields(&format!("w{id}"), &[]), &format!("0 w{id}")).await;
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    drop(callers);
    incumbent.thaw();
    assert!(incumbent.leave().await.1);
    let (_third, third) = start_agent(true).await;
    let last = successor.succeed(third).await;
    last.ready().await;
    let (_, good, log) = successor.leave().await;
    assert!(good && log.contains("replaced: "), "{log}");
    let mut caller = Caller::connect(last.msgpack).await;
    caller.healthy().await;
}
