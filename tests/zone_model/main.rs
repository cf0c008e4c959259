//! A model of the zone decisions in virtual time, with 6 to 5000 nodes that report what they observe. Zones fail
//! outright, slow down, fail in part, flap, are cut off or return cold, and replicas take over the lead without the
//! reports of the former leader.
//!
//! `HOLDLIFT_SEEDS=A..B` runs these seeds in place of the default range. A seed that fails is printed and can be
//! replayed.

mod fleet;

use fleet::{Fleet, Tally};
use holdlift_lab::seeds;

fn sum_tallies(tallies: &[Tally]) -> Tally {
    let add = |a: Tally, b: &Tally| Tally {
        zone_exits: a.zone_exits + b.zone_exits,
        zone_returns: a.zone_returns + b.zone_returns,
        takeovers: a.takeovers + b.takeovers,
        stale_changes: a.stale_changes + b.stale_changes,
        faults: a.faults + b.faults,
    };
    tallies.iter().fold(Tally::default(), add)
}

#[test]
fn a_fleet_leaves_failed_zones_and_returns_to_healthy_ones() {
    let seeds = seeds::told(0..80);
    let count = seeds.end - seeds.start;
    let sum = sum_tallies(&seeds::play(seeds, |seed| Fleet::new(seed, 6, 300).run()));
    println!("{count} seeds: {sum:?}");
    assert!(
        count < 50
            || (sum.zone_exits > count
                && sum.zone_returns > count
                && sum.takeovers > count
                && sum.stale_changes > 0),
        "{sum:?}"
    );
}

/// No zone fails, or all zones fail alike or are slow under the same load: the fleet leaves none of them, not even
/// during bursts of calls.
#[test]
fn no_zone_is_left_when_no_zone_is_at_fault() {
    let seeds = seeds::told(0..60);
    let sum = sum_tallies(&seeds::play(seeds, |seed| Fleet::new(seed, 6, 300).without_zone_faults().run()));
    assert_eq!(sum.zone_exits, 0, "{sum:?}");
}

#[test]
fn a_fleet_of_5000_nodes_leaves_and_returns() {
    let sum = sum_tallies(&seeds::play(0..1, |seed| Fleet::new(seed, 5_000, 5_000).run()));
    assert!(sum.zone_exits > 0 && sum.zone_returns > 0, "{sum:?}");
}
