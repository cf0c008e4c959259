//! Several processes of the program in three zones with a service in each, and faults between them: the fleet leaves a
//! failed zone and returns to it by one common decision. Each service counts itself the calls beyond its capacity.

mod faults;
mod orders;
mod replacing;
mod unmoved;

use std::time::Duration;

use holdlift_lab::rig::load::Load;
use holdlift_lab::rig::net::Fault;
use holdlift_lab::rig::{Plan, Rig, Zoned};
use holdlift_lab::{Caller, Mood};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::sleep;

/// Rigs that run at the same time. Each starts nine processes.
static RIG_PERMITS: Semaphore = Semaphore::const_new(2);
const CUT: Fault = Fault::CUT;
/// Calls that the service of a zone can serve at the same time.
const ZONE_CAPACITY: u32 = 24;
/// Requests a second at each node: a quarter of the capacity of the services.
const NODE_RATE: f64 = 30.0;
/// Time that a cold service takes to reach its full capacity.
const WARM_UP: Duration = Duration::from_secs(6);

/// A rig with three zones under load.
struct ZonedFleet {
    rig: Rig,
    load: Load,
    _rig_permit: SemaphorePermit<'static>,
}

fn zone_plan() -> Zoned {
    Zoned {
        decided: true,
        bears: ZONE_CAPACITY,
        out_ms: 1_500,
        step_ms: 500,
        trust_ms: 4_000,
        at_once: false,
    }
}

fn plan(seed: u64) -> Plan {
    Plan {
        nodes: 6,
        seed,
        budgets: Vec::new(),
        base_ms: 60,
        service: Some((ZONE_CAPACITY as usize, 1.0)),
        zoned: Some(zone_plan()),
        // A call that hangs times out, and each node ejects an endpoint for 500 ms after five failures in a row.
        tier: "eject_failures = 5\neject_ms = 500\n",
        ..Plan::default()
    }
}

impl ZonedFleet {
    /// Starts six nodes and three replicas in three zones under load, and waits until every node sees every zone in.
    async fn start(plan: Plan) -> ZonedFleet {
        let rig_permit = RIG_PERMITS.acquire().await.expect("the semaphore for rigs is never closed");
        let (seed, nodes) = (plan.seed, plan.nodes);
        let rig = plan.start().await;
        let load = Load::start(&rig, &vec![NODE_RATE; nodes], seed);
        let fleet = ZonedFleet { rig, load, _rig_permit: rig_permit };
        for zone in 0..3 {
            fleet.until_all_see(&fleet.rig.all_nodes(), zone, "in").await;
        }
        // The nodes collect the evidence of a whole window.
        fleet.run_for_ms(1_700).await;
        fleet
    }

    /// Waits until all these nodes see a zone in this state.
    async fn until_all_see(&self, nodes: &[usize], zone: usize, state: &str) {
        let what = format!("nodes {nodes:?} see zone z{zone} in state {state}");
        self.rig
            .until(&what, async || {
                for i in nodes {
                    if self.rig.life(*i, zone).await.as_deref() != Some(state) {
                        return false;
                    }
                }
                true
            })
            .await;
    }

    /// Waits until one node sees a zone in this state.
    async fn until_one_sees(&self, node: usize, zone: usize, state: &str) {
        self.until_all_see(&[node], zone, state).await;
    }

    /// Keeps the load running for some time.
    async fn run_for_ms(&self, ms: u64) {
        sleep(Duration::from_millis(ms)).await;
    }

    /// Makes the service of a zone healthy again, with the low capacity of a cold start.
    fn recover_cold(&self, zone: usize) {
        self.rig.tiers[zone].warm_in(WARM_UP);
        self.rig.tiers[zone].be(Mood::Fine);
    }

    /// Calls that the service of a zone has begun so far.
    fn calls_begun(&self, zone: usize) -> u64 {
        self.rig.tiers[zone].counts.counted().all
    }

    /// Log lines of all nodes by which a zone goes out.
    fn logged_zone_exits(&self) -> Vec<String> {
        let goes_out = |l: &&str| l.contains("-> out");
        let exits_at = |i: usize| {
            self.rig.log(&format!("n{i}")).lines().filter(goes_out).map(str::to_owned).collect::<Vec<_>>()
        };
        self.rig.all_nodes().into_iter().flat_map(exits_at).collect()
    }

    /// Asserts that no node has left a zone, and that node 0 sees every zone in or suspect.
    async fn assert_no_zone_left(&self) {
        assert_eq!(self.logged_zone_exits(), [""; 0]);
        for zone in 0..3 {
            let state = self.rig.life(0, zone).await;
            assert!(matches!(state.as_deref(), Some("in" | "suspect")), "node 0 sees z{zone} as {state:?}");
        }
    }
}
