//! The scale run's short form: hollow nodes beside real nodes and keepers. What is claimed are counts, messages and bytes;
//! times and shares of a core are for the long form on a machine that does nothing else.

use std::time::Duration;

use holdlift::fleet::Tick;
use holdlift_lab::rig::BOUND;
use holdlift_lab::scale::fleet_scene::{Layout, Look, Scene};
use holdlift_lab::scale::fleet_watch::{Needs, Size};
use holdlift_lab::scale::hollow_host::{Carried, Sums};
use tokio::time::sleep;

fn layout(hollow: usize, demand_ms: u64) -> Layout {
    Layout {
        real: 2,
        keepers: 3,
        hollow,
        hosts: 2,
        processes: false,
        budgets: 24,
        whole: 2 * hollow as u32,
        demand_ms,
        seed: 28,
    }
}

async fn all_know_all(scene: &mut Scene, nodes: usize, when: &str) {
    let known = scene.known(nodes, BOUND).await.expect("hosts");
    assert!(known.last.whole() && known.last.nodes as usize == nodes, "{when}: {:?}", known.last);
}

/// Of one kind, sent by all hollow nodes between two looks.
fn sent(before: &Look, after: &Look, kind: &str) -> Carried {
    let of = |look: &Look| look.counts.kinds.get(kind).map(|k| k.0).unwrap_or_default();
    of(after).since(of(before))
}

/// What a node says is as much, however many there are; and what a keeper hears is that times the nodes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_a_node_says_does_not_grow_with_the_fleet() {
    let most = 48;
    let mut scene = layout(most, 0).start().await.expect("the machine bears it");
    let (mut joined, mut seen) = (0, Vec::new());
    for size in [most / 3, most] {
        let new: Vec<usize> = (joined..size).collect();
        joined = size;
        scene.join(&new, Duration::from_secs(1)).await.expect("hosts");
        all_know_all(&mut scene, size, "joined").await;
        let before = scene.look().await.expect("hosts");
        sleep(Duration::from_secs(4)).await;
        let after = scene.look().await.expect("hosts");
        seen.push((size as f64, before, after));
    }
    for (size, before, after) in &seen {
        let (ask, saw, swim) =
            (sent(before, after, "ask"), sent(before, after, "saw"), sent(before, after, "swim"));
        assert!(ask.messages > 0 && saw.messages > 0 && swim.messages > 0, "{size}: they speak");
        // Twenty-four budgets with their names, and six zones: known to the byte but for the lengths of numbers.
        let mean = |c: Carried| c.bytes as f64 / c.messages as f64;
        assert!((300.0..700.0).contains(&mean(ask)), "{size}: an ask has {} bytes", mean(ask));
        assert!((40.0..140.0).contains(&mean(saw)), "{size}: a summary has {} bytes", mean(saw));
        let told = after.counts.kinds["told"].1.since(before.counts.kinds["told"].1);
        let slack = *size as u64 * 2;
        assert!(told.messages <= ask.messages + slack, "{size}: {told:?} for {ask:?}: an ask has one answer");
        assert_eq!((after.counts.strange, after.counts.too_large), (0, 0), "{size}");
        let leader = scene.rig.leader().expect("one leads");
        let heard = after.counts.to[leader].since(before.counts.to[leader]);
        assert!(
            heard.messages as f64 >= 0.5 * (ask.messages + saw.messages) as f64,
            "{size}: the leading keeper hears most of {ask:?} and {saw:?}: {heard:?}"
        );
    }
    let a_node = |(size, before, after): &(f64, Look, Look)| {
        let of = |look: &Look| {
            look.counts.kinds.values().fold(Carried::default(), |sum, (sent, _)| sum.and(*sent))
        };
        let c = of(after).since(of(before));
        (c.messages as f64 / size, c.bytes as f64 / size)
    };
    let (few, many) = (a_node(&seen[0]), a_node(&seen[1]));
    // Three times the nodes: a cost that grew with them would be three times as much.
    assert!(many.0 < few.0 * 2.0, "messages of a node: {few:?} and {many:?}");
    assert!(many.1 < few.1 * 2.0, "bytes of a node: {few:?} and {many:?}");
}

/// A rack is lost with the leading keeper, the regions lose each other and find each other again; all that live know it,
/// and what may be spent is never more than the whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn losses_and_a_cut_are_known_to_all_and_nothing_is_lent_twice() {
    let all = 36;
    let mut scene = layout(all, 300).start().await.expect("the machine bears it");
    let everybody: Vec<usize> = (0..all).collect();
    scene.join(&everybody, Duration::from_secs(2)).await.expect("hosts");
    all_know_all(&mut scene, all, "joined").await;
    let rack = scene.zone(1);
    let keeper = scene.kill_leader().expect("one leads");
    scene.kill(&rack).await.expect("hosts");
    all_know_all(&mut scene, all - rack.len(), "a rack and the leading keeper lost").await;
    scene.back(keeper);
    scene.join(&rack, Duration::from_secs(1)).await.expect("hosts");
    all_know_all(&mut scene, all, "back again").await;
    scene.cut(true).await.expect("hosts");
    all_know_all(&mut scene, all, "each region its own").await;
    assert!(scene.look().await.expect("hosts").counts.cut > 0, "something was cut");
    scene.cut(false).await.expect("hosts");
    all_know_all(&mut scene, all, "both regions again").await;
    let replaced: Vec<usize> = everybody.iter().copied().step_by(6).collect();
    scene.replace(&replaced).await.expect("hosts");
    all_know_all(&mut scene, all, "some replaced").await;
    let look = scene.look().await.expect("hosts");
    assert_eq!(look.counts.alive as usize, all);
    let (most, wholes) = scene.most();
    for (most, whole) in most.into_iter().zip(wholes.map(i64::from)) {
        assert!(most <= whole, "{most} of {whole} might be spent at one moment");
        assert!(most * 5 >= whole * 4, "{most} of {whole}: a breach would have shown");
    }
}

#[test]
fn the_most_at_one_moment_is_that_of_the_moment() {
    let sums = |changes: &[(u64, usize, i64)]| {
        let mut sums = Sums::default();
        changes.iter().for_each(|(at, budget, by)| sums.change(*budget, Tick(*at), *by));
        sums
    };
    type Changes = &'static [(u64, usize, i64)];
    let rows: [(&str, Changes, [i64; 2], [i64; 2]); 4] = [
        ("given back before it is given out", &[(1, 0, 5), (3, 0, 5), (2, 0, -5)], [5, 0], [5, 0]),
        ("given out while it is held", &[(1, 0, 5), (2, 0, 5), (3, 0, -5)], [10, 0], [5, 0]),
        ("in the same moment", &[(1, 0, 5), (2, 0, 5), (2, 0, -5)], [5, 0], [5, 0]),
        ("each budget by itself", &[(1, 0, 5), (1, 1, 7), (2, 1, -7)], [5, 7], [5, 0]),
    ];
    for (what, changes, most, now) in rows {
        assert_eq!(sums(changes).most([0; 2]), (most, now), "{what}");
    }
}

#[test]
fn a_run_that_the_machine_does_not_bear_is_refused_with_what_fits() {
    let size = Size { hollow: 900, hosts: 5, real: 15 };
    let plenty = Needs { processes: 299, descriptors: 20_000, memory_mb: 8_000 };
    assert_eq!(size.fits(plenty), Ok(()));
    let cases = [
        (Size { hosts: 300, ..size }, plenty),
        (size, Needs { memory_mb: 1_000, ..plenty }),
        (Size { hosts: 1, ..size }, Needs { descriptors: 1_800, ..plenty }),
        (Size { hosts: 1, hollow: 3_000, ..size }, Needs { descriptors: 2_000, ..plenty }),
    ];
    let said: Vec<String> =
        cases.iter().map(|(size, have)| size.fits(*have).expect_err("too much").to_string()).collect();
    let words = ["processes", "MB of memory", "descriptors", "descriptors"];
    for ((said, word), (size, have)) in said.iter().zip(words).zip(cases) {
        assert!(said.contains(word), "{said}");
        let fits: usize = said
            .rsplit("; ")
            .next()
            .and_then(|t| t.split(' ').next())
            .and_then(|n| n.parse().ok())
            .expect("a number");
        assert!(fits < size.hollow, "{said}");
        assert!(fits == 0 || Size { hollow: fits, ..size }.fits(have).is_ok(), "{said}");
        assert!(Size { hollow: fits + 1, ..size }.fits(have).is_err(), "{said}: more would fit");
    }
}
