use super::*;
use crate::config_store::{CanaryFailure, ChangeAuthor, Name, Record, RolloutDecision, ZoneRecord};

fn zone(n: u32) -> Record {
    let name = Name::new(&format!("z{}", n % 7)).expect("the zone's name is valid");
    Record::Zone(ZoneRecord { name, capacity: n + 1 })
}

/// A placeholder for the encoded ledger, which precedes the configuration in a snapshot.
const LEDGER_BYTES: &[u8] = b"book";

/// A snapshot must restore the newest version and all versions that a rollback can return to, and damage must be detected.
#[test]
fn a_snapshot_restores_all_retained_versions() {
    let mut history = History::new(ConfigVersion::default(), CONFIG_RETENTION);
    assert_eq!(
        append_history(LEDGER_BYTES.to_vec(), &history).expect("the empty history is encoded"),
        LEDGER_BYTES,
        "an empty history adds no bytes"
    );
    for n in 0..CONFIG_RETENTION.changes as u32 + 20 {
        let change = ChangeSet::draft(history.newest(), vec![zone(n)], Vec::new(), ChangeAuthor::default())
            .expect("the change is valid");
        history.apply(&change).expect("the change applies to the newest version");
    }
    let bytes = append_history(LEDGER_BYTES.to_vec(), &history).expect("the history is encoded");
    let restored = read_history(&bytes[LEDGER_BYTES.len()..]).expect("the history is decoded");
    assert_eq!((restored.newest(), restored.oldest()), (history.newest(), history.oldest()));
    assert!(restored.oldest().revision() > Revision(0), "the oldest versions are dropped");
    assert!(restored.changes().eq(history.changes()));
    assert_eq!(
        read_history(&[]).expect("empty bytes decode as an empty history").newest(),
        &ConfigVersion::default()
    );
    for position in [5, bytes.len() / 2, bytes.len() - 2] {
        let mut damaged = bytes[LEDGER_BYTES.len()..].to_vec();
        let at = position.min(damaged.len() - 1);
        damaged[at] ^= 0x55;
        assert!(read_history(&damaged).is_err(), "damage of byte {at} is not detected");
    }
}

/// A snapshot must restore the rollout decisions, also where the approved version is older than all retained versions. A
/// snapshot written before canary rollouts existed is read with its newest version approved.
#[test]
fn a_snapshot_restores_the_rollout_decisions() {
    let mut history = History::new(ConfigVersion::default(), CONFIG_RETENTION);
    let apply_change = |history: &mut History, n: u32| {
        let change = ChangeSet::draft(history.newest(), vec![zone(n)], Vec::new(), ChangeAuthor::default())
            .expect("the change is valid");
        history.apply(&change).expect("the change applies to the newest version");
    };
    let restored = |history: &History| {
        let bytes = append_history(Vec::new(), history).expect("the history is encoded");
        read_history(&bytes).expect("the history is decoded")
    };
    apply_change(&mut history, 0);
    assert_eq!(restored(&history).approved(), &ConfigVersion::default(), "no version is approved");
    apply_change(&mut history, 1);
    assert_eq!(history.apply_decision(&RolloutDecision::Approved(Revision(2))), Ok(Revision(2)));
    apply_change(&mut history, 2);
    let failures = [
        ("n1".to_owned(), CanaryFailure::Rejected("no".to_owned())),
        ("n2".to_owned(), CanaryFailure::Restarted),
    ];
    let halted = RolloutHalted { revision: Revision(3), failures: failures.into() };
    assert_eq!(history.apply_decision(&RolloutDecision::Halted(halted.clone())), Ok(Revision(3)));
    assert_eq!(
        (restored(&history).approved(), restored(&history).halted()),
        (history.approved(), Some(&halted))
    );
    for n in 0..CONFIG_RETENTION.changes as u32 + 20 {
        apply_change(&mut history, n + 3);
    }
    assert!(
        history.oldest().revision() > Revision(2),
        "the approved version is older than all retained versions"
    );
    assert_eq!(
        (restored(&history).approved(), restored(&history).halted()),
        (history.approved(), Some(&halted))
    );
    assert_eq!(restored(&history).approved().revision(), Revision(2));
    // The former format: without the rollout decisions.
    let bytes = append_history(Vec::new(), &history).expect("the history is encoded");
    let (_, rest) =
        postcard::take_from_bytes::<VersionInventory>(&bytes).expect("the version inventory is decoded");
    let former = read_history(&bytes[..bytes.len() - rest.len()]).expect("the former format is decoded");
    assert_eq!((former.approved(), former.halted()), (history.newest(), None));
}
