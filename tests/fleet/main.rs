//! Several processes of the program with faults between them: fleet-wide budgets. What is never exceeded is what the
//! service below counts, by its own clock.

mod faults;
mod keepers;
mod shares;

use std::time::Duration;

use holdlift_lab::Counted;
use holdlift_lab::rig::load::Load;
use holdlift_lab::rig::{BOUND, Plan, Rig, Whole};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::sleep;

/// Rigs at a time: each is eight processes and more.
static ROOM: Semaphore = Semaphore::const_new(3);
/// Demand far above the whole at each node.
const HIGH: [f64; 5] = [45.0; 5];

/// Nearly all of the demand at one node. The others ask so seldom that they want next to nothing even where the machine makes
/// each of their calls take seconds.
fn mostly_at(node: usize) -> [f64; 5] {
    std::array::from_fn(|i| if i == node { 150.0 } else { 0.2 })
}

/// A rig under load, whose service holds the fleet to the whole from the start on.
struct Scene {
    rig: Rig,
    load: Load,
    whole: u32,
    /// It counts starts, not calls under way.
    starts: bool,
    _room: SemaphorePermit<'static>,
}

impl Scene {
    /// Five nodes and three keepers, and the first whole all lent.
    async fn start(plan: Plan) -> Scene {
        let room = ROOM.acquire().await.expect("room");
        let (seed, first) = (plan.seed, plan.budgets[0]);
        let rig = plan.start().await;
        let (whole, starts) = match first {
            Whole::Slots { slots, .. } => {
                rig.tier.counts.allow(slots, u32::MAX);
                (slots, false)
            }
            Whole::Starts(starts) => {
                rig.tier.counts.allow(u32::MAX, starts);
                (starts, true)
            }
            other => panic!("{other:?} is not counted as calls below"),
        };
        let load = Load::start(&rig, &HIGH, seed);
        let scene = Scene { rig, load, whole, starts, _room: room };
        scene.lent(&scene.rig.all_nodes(), u64::from(whole)).await;
        scene
    }

    /// Waits until so much of the whole is lent to these nodes, by their own word.
    async fn lent(&self, nodes: &[usize], least: u64) {
        let what = format!("{least} lent to {nodes:?}");
        self.rig
            .until(&what, async || {
                let all = self.rig.limits().await;
                nodes.iter().map(|i| all[*i]).sum::<u64>() >= least
            })
            .await;
    }

    /// Waits until each of these nodes may spend so much.
    async fn each(&self, nodes: &[usize], least: u64) {
        let what = format!("{least} for each of {nodes:?}");
        self.rig
            .until(&what, async || {
                let all = self.rig.limits().await;
                nodes.iter().all(|i| all[*i] >= least)
            })
            .await;
    }

    /// Waits until these nodes may spend nothing.
    async fn none(&self, nodes: &[usize]) {
        let what = format!("nothing for {nodes:?}");
        self.rig
            .until(&what, async || {
                let all = self.rig.limits().await;
                nodes.iter().all(|i| all[*i] == 0)
            })
            .await;
    }

    /// Some time under the load, for a breach to show.
    async fn go_on(&self, ms: u64) {
        sleep(Duration::from_millis(ms)).await;
    }

    /// The promise; and that a breach would have shown, as the whole has been in use.
    async fn held(&self) {
        let count = || self.rig.tier.counts.counted();
        let most = |c: Counted| if self.starts { c.most_starts } else { c.most };
        self.rig.until("four fifths of the whole in use", async || most(count()) * 5 >= self.whole * 4).await;
        assert_eq!(count().excess, 0, "{:?}", count());
    }
}
