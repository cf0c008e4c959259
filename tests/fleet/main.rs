//! Fleet-wide budgets, with several processes of the program and faults between them. The downstream service counts the
//! calls by its own clock; that count never exceeds the capacity of the budget.

mod faults;
mod keepers;
mod shares;

use std::time::Duration;

use holdlift_lab::Counted;
use holdlift_lab::rig::load::Load;
use holdlift_lab::rig::{BOUND, Plan, Rig, Whole};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::sleep;

/// Rigs that run at the same time. Each starts at least eight processes.
static RIG_PERMITS: Semaphore = Semaphore::const_new(3);
/// Requests a second for each node; the demand of each node is far above the capacity.
const HIGH_RATES: [f64; 5] = [45.0; 5];

/// Request rates with nearly all of the demand at one node. The rates of the other nodes are so low that their demand
/// stays near zero even if a slow machine makes each of their calls take seconds.
fn rates_mostly_at(node: usize) -> [f64; 5] {
    std::array::from_fn(|i| if i == node { 150.0 } else { 0.2 })
}

/// A rig under load. Its downstream service checks the capacity from the start on.
struct LoadedFleet {
    rig: Rig,
    load: Load,
    capacity: u32,
    /// The budget limits starts in a window instead of calls under way.
    limits_starts: bool,
    _rig_permit: SemaphorePermit<'static>,
}

impl LoadedFleet {
    /// Starts five nodes and three replicas, and waits until the whole capacity of the first budget is leased.
    async fn start(plan: Plan) -> LoadedFleet {
        let rig_permit = RIG_PERMITS.acquire().await.expect("the semaphore for rigs is never closed");
        let (seed, first) = (plan.seed, plan.budgets[0]);
        let rig = plan.start().await;
        let (capacity, limits_starts) = match first {
            Whole::Slots { slots, .. } => {
                rig.tier.counts.allow(slots, u32::MAX);
                (slots, false)
            }
            Whole::Starts(starts) => {
                rig.tier.counts.allow(u32::MAX, starts);
                (starts, true)
            }
            other => panic!("the downstream service does not count {other:?}"),
        };
        let load = Load::start(&rig, &HIGH_RATES, seed);
        let fleet = LoadedFleet { rig, load, capacity, limits_starts, _rig_permit: rig_permit };
        fleet.until_limits_total(&fleet.rig.all_nodes(), u64::from(capacity)).await;
        fleet
    }

    /// Waits until the limits that these nodes report add up to `least` or more.
    async fn until_limits_total(&self, nodes: &[usize], least: u64) {
        let what = format!("limits of {nodes:?} add up to at least {least}");
        self.rig
            .until(&what, async || {
                let limits = self.rig.limits().await;
                nodes.iter().map(|i| limits[*i]).sum::<u64>() >= least
            })
            .await;
    }

    /// Waits until each of these nodes reports a limit of `least` or more.
    async fn until_each_limit_is(&self, nodes: &[usize], least: u64) {
        let what = format!("limit of at least {least} at each of {nodes:?}");
        self.rig
            .until(&what, async || {
                let limits = self.rig.limits().await;
                nodes.iter().all(|i| limits[*i] >= least)
            })
            .await;
    }

    /// Waits until each of these nodes reports a limit of zero.
    async fn until_limits_are_zero(&self, nodes: &[usize]) {
        let what = format!("limit of zero at each of {nodes:?}");
        self.rig
            .until(&what, async || {
                let limits = self.rig.limits().await;
                nodes.iter().all(|i| limits[*i] == 0)
            })
            .await;
    }

    /// Keeps the load running for some time, so that an excess over the capacity can show.
    async fn run_for_ms(&self, ms: u64) {
        sleep(Duration::from_millis(ms)).await;
    }

    /// Asserts that the service never counted more than the capacity. Waits first until four fifths of the capacity
    /// have been in use at once; with less use the test could not see an excess.
    async fn assert_capacity_never_exceeded(&self) {
        let count = || self.rig.tier.counts.counted();
        let most = |c: Counted| if self.limits_starts { c.most_starts } else { c.most };
        self.rig
            .until("four fifths of the capacity in use at once", async || {
                most(count()) * 5 >= self.capacity * 4
            })
            .await;
        assert_eq!(count().excess, 0, "{:?}", count());
    }
}
