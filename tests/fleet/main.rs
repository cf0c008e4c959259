//! Several processes of the program with faults between them: fleet-wide budgets. What is never exceeded is what the
//! service below counts.

use std::time::Duration;

use holdlift_lab::rig::load::Load;
use holdlift_lab::rig::{Plan, Rig};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::sleep;

/// Rigs at a time: each is eight processes and more, and the machine has other tests to run.
static ROOM: Semaphore = Semaphore::const_new(2);

async fn room() -> SemaphorePermit<'static> {
    ROOM.acquire().await.expect("room")
}

/// Demand far above the whole at each node.
const HIGH: [f64; 5] = [120.0; 5];

/// A rig whose service holds the fleet to the whole from the start on.
async fn start(plan: Plan) -> Rig {
    let rig = plan.start().await;
    rig.tier.counts.allow(20, u32::MAX);
    rig
}

/// Waits until this much of the whole is lent to these nodes, by their own word.
async fn lent(rig: &Rig, nodes: &[usize], least: u64) {
    rig.until(&format!("{least} lent to {nodes:?}"), async || {
        let all = rig.limits().await;
        nodes.iter().map(|i| all[*i]).sum::<u64>() >= least
    })
    .await;
}

/// The promise, and that the test would see a breach of it: the whole was in use.
fn held(rig: &Rig) {
    let c = rig.tier.counts.counted();
    assert_eq!(c.excess, 0, "{c:?}");
    assert!(c.most >= 18, "the whole was hardly in use: {c:?}");
}

#[tokio::test]
async fn a_whole_is_divided_and_held() {
    let _room = room().await;
    let rig = start(Plan::default()).await;
    let load = Load::start(&rig, &HIGH, 1);
    lent(&rig, &rig.all_nodes(), 20).await;
    let limits = rig.limits().await;
    assert!(limits.iter().all(|l| *l >= 3), "even demand, even shares: {limits:?}");
    let before = rig.tier.counts.counted();
    sleep(Duration::from_secs(3)).await;
    let after = rig.tier.counts.counted();
    println!("{limits:?} {after:?} use {}", (after.area - before.area) / 3.0 / 20.0);
    println!("{:?}", load.tally);
    held(&rig);
}
