//! Seeds of a model, played on a few threads: the one that fails is named, and replays.

use std::ops::Range;
use std::panic::{RefUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU64, Ordering};

/// The seeds that `HOLDLIFT_SEEDS=A..B` asks for, or these.
///
/// # Panics
/// Where they are no range.
#[must_use]
pub fn told(usual: Range<u64>) -> Range<u64> {
    let Ok(told) = std::env::var("HOLDLIFT_SEEDS") else { return usual };
    let (a, b) = told.split_once("..").expect("A..B");
    a.parse().expect("a seed")..b.parse().expect("a seed")
}

/// Plays them all on at most four threads; what they came to, in no order.
///
/// # Panics
/// Where a seed fails; the others are not played to the end then.
pub fn play<T: Send>(seeds: Range<u64>, one: impl Fn(u64) -> T + Sync + RefUnwindSafe) -> Vec<T> {
    let next = AtomicU64::new(seeds.start);
    let work = || {
        let mut all = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::SeqCst);
            if seed >= seeds.end {
                return all;
            }
            match catch_unwind(|| one(seed)) {
                Ok(came) => all.push(came),
                Err(_) => {
                    next.store(seeds.end, Ordering::SeqCst);
                    panic!("seed {seed}: replay with HOLDLIFT_SEEDS={seed}..{}", seed + 1)
                }
            }
        }
    };
    let threads = std::thread::available_parallelism().map_or(4, |n| n.get().min(4));
    std::thread::scope(|s| {
        let all: Vec<_> = (0..threads).map(|_| s.spawn(work)).collect();
        all.into_iter().flat_map(|t| t.join().expect("all seeds hold")).collect()
    })
}
