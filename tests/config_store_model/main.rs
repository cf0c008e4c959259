//! Model test of how versions spread, in virtual time with one agreed order of changes. Replicas lag, restart and lose their
//! disks; nodes are paused, killed and replaced; messages are lost, delayed, duplicated and damaged; regions are partitioned.
//! After every step a node's revision has not decreased, and its records in force are exactly those agreed under that revision.
//! Once all faults end, all nodes converge to the newest version.
//!
//! `HOLDLIFT_SEEDS=A..B` selects other seeds than the default ones; a failing seed is printed and can be replayed.

mod canary;
mod follower;
mod model;
mod records;

use holdlift_lab::seeds;
use model::{EventCounts, Model};

#[test]
fn all_nodes_converge_to_the_newest_version_and_none_mixes_versions() {
    let seeds = seeds::told(1..25);
    let n = seeds.end - seeds.start;
    let mut total = EventCounts::default();
    seeds::play(seeds, |seed| Model::new(seed).run()).iter().for_each(|t| total.add(t));
    println!("{n} seeds: {total:?}");
    // Each kind of event and fault must have occurred often enough for the run to be meaningful.
    if n >= 24 {
        assert!(total.changes > 10 * n && total.adopted > 50 * n && total.rollbacks > n / 4, "{total:?}");
        assert!(total.snapshots > n && total.damaged > n / 4 && total.declined > n / 4, "{total:?}");
        assert!(
            total.killed > n && total.paused > n / 2 && total.partitions > n / 4 && total.retry_later > n / 4,
            "{total:?}"
        );
    }
}
