//! A model of fleet-wide budgets in virtual time. Clocks run at different speeds, messages are lost, late and
//! duplicated, nodes are stopped, killed and restarted, and replicas lose the lead. After every event the calls that
//! the downstream service counts must be within the capacities.
//!
//! `HOLDLIFT_SEEDS=A..B` runs these seeds in place of the default range. A seed that fails is printed and can be
//! replayed.

mod model;
mod parts;
mod talk;

use holdlift_lab::seeds;
use model::Model;
use parts::Tally;

#[test]
fn the_service_never_counts_more_than_the_capacity() {
    let seeds = seeds::told(0..240);
    let count = seeds.end - seeds.start;
    let mut sum = Tally::default();
    seeds::play(seeds, |seed| Model::new(seed).run()).iter().for_each(|t| sum.add(t));
    println!("{count} seeds: {sum:?}");
    // Without permits, refusals, expired leases and unknown outcomes the runs would not exercise the limits.
    assert!(sum.permits > 1_000 * count.min(100), "{sum:?}");
    assert!(
        sum.expired_leases > 0 && sum.not_sent > 0 && sum.unknown_outcomes > 0 && sum.refused > 0,
        "{sum:?}"
    );
}
