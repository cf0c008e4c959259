//! The decisions on fleet-wide budgets, in a model: virtual time, clocks that run at different speeds, messages that are
//! lost, late and doubled, nodes that are stopped, killed and come back, keepers that lose the lead. What is counted is
//! what the service below counts, after every step.
//!
//! `HOLDLIFT_SEEDS=A..B` plays other seeds than the few of each run; a seed that fails is printed and replays.

mod model;
mod parts;
mod talk;

use holdlift_lab::seeds;
use model::Model;
use parts::Tally;

#[test]
fn never_more_than_the_whole() {
    let seeds = seeds::told(0..240);
    let n = seeds.end - seeds.start;
    let mut sum = Tally::default();
    seeds::play(seeds, |seed| Model::new(seed).play()).iter().for_each(|t| sum.add(t));
    println!("{n} seeds: {sum:?}");
    // A model in which nothing happens proves nothing.
    assert!(sum.spent > 1_000 * n.min(100), "{sum:?}");
    assert!(sum.expired > 0 && sum.unsent > 0 && sum.open > 0 && sum.short > 0, "{sum:?}");
}
