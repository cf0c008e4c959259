//! A warming server under the sum of the calls of all processes: it receives at most its capacity of N calls, give or take
//! chance, from two processes as from thirty. An excess over N of up to twice the square root of N, plus 2, counts as chance.

mod common;

use std::collections::VecDeque;
use std::sync::atomic::Ordering;

use holdlift::dependencies::slow_start::{SlowStart, SlowStartSettings};
use holdlift::*;
use holdlift_lab::rig::Plan;
use holdlift_lab::rig::load::Load;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: u64 = 1_000;

/// The most calls out of a capacity of `n` that chance explains.
fn most_by_chance(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

/// When a process tries to call.
#[derive(Clone, Copy, Debug)]
enum Demand {
    /// At any time.
    Always,
    /// Not before the server is back, then at any time: all processes start in the same instant.
    AtOnce,
    /// For 2 s, then not for 3 s; all processes in step.
    Bursts,
}

/// Simulates processes that call one server, which is unreachable for 3 s and then, for 10 s, has a capacity of `n` calls
/// per second. Returns the most calls that it received in any second, and the total. With `has_indexes` each process has
/// an index, and the slots are spread evenly.
fn calls_received(
    processes: u32,
    n: f64,
    (seed, has_indexes): (u64, bool),
    demand: Demand,
) -> (usize, usize) {
    let settings = |index: u32| SlowStartSettings {
        calls_per_window: Some(n),
        window: Micros::from_millis(1_000),
        duration: Micros::from_millis(10_000),
        processes,
        process_index: has_indexes.then_some(index),
    };
    let mut all: Vec<(SlowStart, SlowStartSettings, ChaCha8Rng)> = (0..processes)
        .map(|i| {
            (SlowStart::unverified(), settings(i), ChaCha8Rng::seed_from_u64(seed * 1_000 + u64::from(i)))
        })
        .collect();
    let (mut window, mut worst, mut total) = (VecDeque::new(), 0, 0);
    for now in (0..13_000).map(|ms| Micros(ms * MS)) {
        let is_up = now >= Micros(3_000 * MS);
        let has_demand = match demand {
            Demand::Always => true,
            Demand::AtOnce => is_up,
            Demand::Bursts => now.0 / MS % 5_000 < 2_000,
        };
        if !has_demand {
            continue;
        }
        for (slow_start, settings, rng) in &mut all {
            // As many calls in one instant as slow start admits.
            for _ in 0..64 {
                if !slow_start.admits(now, settings, rng) {
                    break;
                }
                slow_start.call_started(now, settings);
                slow_start.call_ended(
                    now,
                    settings,
                    if is_up { Outcome::Good } else { Outcome::Unreachable },
                );
                if is_up {
                    window.push_back(now);
                    total += 1;
                }
            }
        }
        while window.front().is_some_and(|t| *t + Micros(1_000 * MS) <= now) {
            window.pop_front();
        }
        worst = worst.max(window.len());
    }
    (worst, total)
}

/// A warming tier receives at most N calls per second, give or take chance, from all processes together, whenever they call;
/// where they always have calls it receives most of N, so that it warms up. Processes without an index use slots at random
/// phases and call less often.
#[test]
fn a_warming_tier_receives_at_most_its_capacity_from_all_processes_together() {
    for processes in [2, 5, 20, 30] {
        for n in [3.0, 8.0, 16.5, 40.0] {
            for seed in 0..10 {
                for demand in [Demand::Always, Demand::AtOnce, Demand::Bursts] {
                    let (worst, total) = calls_received(processes, n, (seed, true), demand);
                    assert!(
                        worst as f64 <= most_by_chance(n),
                        "{processes} processes, N {n}, seed {seed}, {demand:?}: {worst} in a second"
                    );
                    let without_index = calls_received(processes, n, (seed, false), demand).0;
                    assert!(
                        without_index as f64 <= most_by_chance(n),
                        "{processes} processes without an index, N {n}, seed {seed}, {demand:?}: {without_index} in a second"
                    );
                    let bursts = matches!(demand, Demand::Bursts);
                    assert!(bursts || total as f64 >= 10.0 * (n - n.sqrt() - 1.0), "{processes} {n} {total}");
                }
            }
        }
    }
}

/// An endpoint that stays reachable is called without restriction; one that refused a connection is in slow start until its
/// warm-up is over.
#[test]
fn slow_start_applies_only_to_endpoints_that_may_be_warming_up() {
    // A tenth of the capacity is left to chance: 1.8 calls per second, of which this process has a quarter.
    let s = SlowStartSettings {
        calls_per_window: Some(2.0),
        processes: 4,
        process_index: Some(2),
        ..SlowStartSettings::OFF
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let ms = Micros::from_millis;
    let mut slow_start = SlowStart::warm();
    for now in 0..50 {
        assert!(slow_start.admits(ms(now), &s, &mut rng));
        slow_start.call_started(ms(now), &s);
        slow_start.call_ended(ms(now), &s, if now % 2 == 0 { Outcome::Bad } else { Outcome::Reset });
    }
    slow_start.call_ended(ms(50), &s, Outcome::Unreachable);
    let mut slots = Vec::new();
    for now in 51..20_000 {
        if slow_start.admits(ms(now), &s, &mut rng) {
            slow_start.call_started(ms(now), &s);
            slow_start.call_ended(ms(now), &s, Outcome::Good);
            slots.push(now);
        }
    }
    // One call in 2.2 s during the 10 s after the first contact; then one each millisecond.
    let cold: Vec<u64> = slots.iter().copied().filter(|t| *t < slots[0] + 10_000).collect();
    assert_eq!(cold.len(), 5, "{cold:?}");
    assert!(cold.windows(2).all(|w| (2_222..2_225).contains(&(w[1] - w[0]))));
    assert_eq!(slots.len() as u64 - 5, 20_000 - (slots[0] + 10_000));
}

/// Simulates a warming intake node and its callers, and returns by how many requests the node at most exceeds its capacity
/// and chance. Each caller always has requests, keeps to the allowance that the node signalled last, rounds its fraction up
/// or down by a random number of its own, and is replaced by another caller after a while. A new caller learns the
/// allowance from a health check, which carries the same figure, before its first request.
fn requests_over_capacity(callers: u32, seed: u64) -> f64 {
    let settings = Settings {
        cores: 6,
        memory_kb: 1e9,
        max_runs_per_core: 8.0,
        is_cold: true,
        cold_speed: 0.25,
        warm_up_time: Micros::from_millis(10_000),
        callers,
        load_signal: LoadSignal::Allowance,
        ..common::settings()
    };
    let cores = f64::from(settings.cores);
    let mut policy = Policy::new(settings.clone(), seed).expect("the settings are valid");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut allowance, mut last_request, mut worst) = (None, 0, f64::MIN);
    // Id, random rounding offset and open requests of each caller.
    let mut all: Vec<(u32, f64, u32)> = (0..callers).map(|n| (n, rng.random_range(0.0..1.0), 0)).collect();
    let mut caller_of: std::collections::BTreeMap<RequestId, u32> = Default::default();
    let mut running: Vec<(Micros, RequestId)> = Vec::new();
    let mut events = Vec::new();
    for now in (0..9_000).step_by(5).map(|ms| Micros(ms * MS)) {
        let mut done = Vec::new();
        running.retain(|(at, id)| {
            if *at <= now {
                done.push(*id);
            }
            *at > now
        });
        for id in done {
            events.push(Event::RunEnded(id, Outcome::Good, Micros::from_millis(400)));
            if let Some(c) = caller_of.remove(&id)
                && let Some(c) = all.iter_mut().find(|a| a.0 == c)
            {
                c.2 -= 1;
            }
        }
        let mut out = Vec::new();
        policy.step(now, &events, &mut out).expect("the events are consistent with the module's state");
        events.clear();
        for action in out {
            match action {
                Action::SetLoadSignal(value) => allowance = Some(value),
                Action::Run(id) => running.push((now + Micros::from_millis(400), id)),
                Action::Refuse { id, .. } | Action::Fail(id) => {
                    if let Some(c) = caller_of.remove(&id)
                        && let Some(c) = all.iter_mut().find(|a| a.0 == c)
                    {
                        c.2 -= 1;
                    }
                }
                Action::Timer(token, _) if now.0 % (15 * MS) == 0 => {
                    let g =
                        Gauges { busy: Some(0.5), on_cores: Some(running.len() as f64), ..Gauges::default() };
                    events.push(Event::Timer(token, g));
                }
                Action::Timer(token, _) => {
                    events.push(Event::Timer(token, Gauges::default()));
                }
                _ => {}
            }
        }
        let allowance: f64 = allowance.expect("a warming node signals its allowance in its first step");
        for (i, c) in all.iter_mut().enumerate() {
            // In one of 2,000 steps, a caller without open requests is replaced by another.
            if c.2 == 0 && rng.random_bool(0.0005) {
                *c = (callers + (now.0 / 5_000) as u32 * 256 + i as u32, rng.random_range(0.0..1.0), 0);
            }
            while c.2 < (allowance + c.1).floor() as u32 {
                last_request += 1;
                let r = Request { caller: c.0, rank: 0.5, ..common::request(last_request, 0) };
                (c.2, _) = (c.2 + 1, caller_of.insert(r.id, c.0));
                events.push(Event::Arrived(r));
            }
        }
        let speed = settings.cold_speed + (1.0 - settings.cold_speed) * now.as_secs_f64() / 10.0;
        let n = cores * (1.0 + (settings.max_runs_per_core - 1.0) * speed);
        worst = worst.max(caller_of.len() as f64 - most_by_chance(n));
    }
    worst
}

/// The allowances of a warming node's callers together stay within the node's capacity at that time, for any number of
/// callers and while callers are replaced.
#[test]
fn allowances_of_a_warming_node_stay_within_its_capacity() {
    for callers in [2, 5, 20, 30, 150] {
        for seed in 0..10 {
            let excess = requests_over_capacity(callers, seed);
            assert!(excess <= 0.0, "{callers} callers, seed {seed}: {excess:.1} requests over capacity");
        }
    }
}

/// Twenty processes of the program, each with more calls than the warming service can take from all of them: the service is
/// killed and comes back. From its first call on it receives its capacity, give or take chance, in any second while it warms
/// up; then it receives all calls.
#[tokio::test]
async fn a_restarted_service_warms_up_under_twenty_processes() {
    const N: f64 = 20.0;
    const TIER: &str = "slow_start_calls = 20\nslow_start_window_ms = 1000\nslow_start_ms = 4000\n";
    let plan = Plan { nodes: 20, zones: 1, keepers: 0, base_ms: 5, tier: TIER, ..Plan::default() };
    let rig = plan.start().await;
    let load = Load::start(&rig, &[8.0; 20], 3);
    rig.until("calls are made at the full rate", async || {
        f64::from(rig.tier.counts.counted().most_starts) > 2.0 * most_by_chance(N)
    })
    .await;
    rig.tier.stand(false);
    let asked = load.tally.asked.load(Ordering::SeqCst);
    // By then each node has found the service unreachable: about 20 requests at each have needed a call.
    rig.until("all nodes have found the service unreachable", async || {
        load.tally.asked.load(Ordering::SeqCst) > asked + 400
    })
    .await;
    let before = rig.tier.counts.counted();
    rig.tier.counts.allow(u32::MAX, most_by_chance(N) as u32);
    rig.tier.stand(true);
    let restarted_at = std::time::Instant::now();
    rig.until("the restarted service receives its first call", async || {
        rig.tier.counts.counted().all > before.all
    })
    .await;
    rig.until("most of the warm-up time is over", async || restarted_at.elapsed().as_millis() > 3_500).await;
    let warming = rig.tier.counts.counted();
    assert_eq!(warming.excess, before.excess, "{} calls during the warm-up", warming.all - before.all);
    assert!(
        (warming.all - before.all) as f64 > N,
        "too few calls during the warm-up: {}",
        warming.all - before.all
    );
    rig.until("calls are made at the full rate again", async || rig.tier.counts.counted().excess > 0).await;
}
