use super::*;

fn status(name: &str, incarnation: u64, revision: u64) -> VersionStatus {
    let holder = LeaseHolderId { name: name.to_owned(), incarnation };
    VersionStatus::new(holder, (Revision(revision), revision * 7), None)
}

fn at(ms: u64) -> LeaseInstant {
    LeaseInstant(ms * 1_000)
}

#[test]
fn lagging_nodes_are_reported_until_they_have_the_version() {
    let mut table = VersionStatusTable::default();
    table.set_newest(at(0), (Revision(4), 28), false);
    for n in ["a", "b", "c"] {
        table.record(at(10), status(n, 1, 4));
    }
    let before = table.report(at(20), Revision(4));
    assert_eq!((before.counts, before.lagging, before.last_reached_ms), (vec![(Revision(4), 3)], 0, None));
    table.set_newest(at(100), (Revision(5), 35), true);
    table.record(at(300), status("a", 1, 5));
    table.record(at(350), status("b", 1, 4));
    let during = table.report(at(400), Revision(5));
    assert_eq!(during.counts, [(Revision(5), 1), (Revision(4), 2)]);
    let lagging: Vec<(&str, u64)> =
        during.lagging_nodes.iter().map(|node| (node.name.as_str(), node.last_seen_ms)).collect();
    assert_eq!((lagging, during.last_reached_ms), (vec![("b", 50), ("c", 390)], Some(200)));
    table.record(at(700), status("b", 1, 5));
    // An older report that arrives late does not take the version back.
    table.record(at(800), status("b", 1, 4));
    table.record(at(1_600), status("c", 1, 5));
    // A repeated report does not change when the node reached the version.
    table.record(at(2_600), status("a", 1, 5));
    let after = table.report(at(2_700), Revision(5));
    assert_eq!((after.lagging, after.last_reached_ms, after.agreed_ms), (0, Some(1_500), Some(2_600)));
    assert_eq!(after.counts, [(Revision(5), 3)]);
}

/// During a canary rollout, nodes with the released version are waiting and not lagging. A node that refused the new version
/// is lagging.
#[test]
fn a_node_that_waits_for_a_canary_rollout_is_not_lagging() {
    let mut table = VersionStatusTable::default();
    table.set_newest(at(0), (Revision(5), 35), true);
    table.record(at(10), status("first", 1, 5));
    table.record(at(10), status("old", 1, 3));
    table.record(at(10), status("waits", 1, 4));
    let mut refuses = status("refuses", 1, 4);
    refuses.refused = Some((Revision(5), "the class is unknown".to_owned()));
    table.record(at(10), refuses);
    let report = table.report(at(20), Revision(4));
    let lagging: Vec<&str> = report.lagging_nodes.iter().map(|node| node.name.as_str()).collect();
    assert_eq!((lagging, report.lagging, report.waiting), (vec!["old", "refuses"], 2, 1));
    assert_eq!(
        (table.report(at(20), Revision(5)).lagging, table.report(at(20), Revision(5)).waiting),
        (3, 0)
    );
}

/// A process that a later one of its name has replaced is not lagging once it is silent; one without a successor is until it
/// is forgotten.
#[test]
fn replaced_and_forgotten_processes_are_not_lagging() {
    let mut table = VersionStatusTable::default();
    table.set_newest(at(0), (Revision(1), 7), true);
    table.record(at(0), status("a", 1, 0));
    table.record(at(0), status("b", 1, 0));
    table.record(at(1_000), status("a", 2, 1));
    assert_eq!(
        table.report(at(2_000), Revision(1)).lagging,
        2,
        "the former process of a has reported recently, and so has b"
    );
    table.record(at(8_000), status("a", 2, 1));
    let silent = table.report(at(8_000), Revision(1));
    assert_eq!(silent.lagging_nodes.iter().map(|node| node.name.as_str()).collect::<Vec<_>>(), ["b"]);
    table.record(at(700_000), status("a", 2, 1));
    assert_eq!(
        table.report(at(700_000), Revision(1)).lagging,
        0,
        "b has been silent for longer than FORGET_AFTER"
    );
}

/// A node with another digest of the newest version is reported, and the table has at most `NODES_MAX` processes.
#[test]
fn other_digests_are_reported_and_the_table_is_bounded() {
    let mut table = VersionStatusTable::default();
    table.set_newest(at(0), (Revision(1), 7), true);
    let mut diverged = status("odd", 1, 1);
    diverged.digest = 8;
    table.record(at(1), diverged);
    assert_eq!(table.report(at(2), Revision(1)).diverged, ["odd"]);
    for n in 0..NODES_MAX as u64 + 10 {
        table.record(at(3), status("crowd", n + 2, 0));
    }
    assert_eq!(table.rows.len(), NODES_MAX);
    let report = table.report(at(4), Revision(1));
    assert_eq!(report.lagging_nodes.len(), REPORTED_NODES_MAX);
    let long = VersionStatus::new(
        LeaseHolderId { name: "x".into(), incarnation: 1 },
        (Revision(1), 1),
        Some((Revision(2), "ä".repeat(REASON_MAX))),
    );
    assert!(
        long.refused.is_some_and(|(_, reason)| reason.len() <= REASON_MAX && reason.len() + 2 > REASON_MAX)
    );
}
