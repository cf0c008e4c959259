//! What lies on a replica's disk: the tables and keys of its file, and a snapshot with the configuration behind the ledger.

use std::collections::BTreeMap;

use openraft::{CommittedLeaderId, EntryPayload, Membership, StoredMembership};

use super::*;
use crate::config_store::{
    CanaryFailure, ChangeAuthor, ChangeSet, ConfigVersion, History, Name, Record, Revision, RolloutDecision,
    RolloutHalted, ZoneRecord,
};
use crate::fleet::CapacityScope;
use crate::fleet::lease::ledger::{BudgetCapacity, LeaseLedger, LedgerEntry};
use crate::fleet::replica_state::CONFIG_RETENTION;
use crate::pinned::{Codec, Pinned, plain};
use crate::runtime::replica::state_machine::SnapshotCopy;
use crate::runtime::replica::version_inventory;

fn log_id(index: u64) -> LogId<NodeId> {
    LogId::new(CommittedLeaderId::new(3, 500), index)
}

fn meta() -> SnapshotMeta<NodeId, BasicNode> {
    let nodes: BTreeMap<NodeId, BasicNode> = [(500, BasicNode::new("10.0.0.1:7401"))].into();
    SnapshotMeta {
        last_log_id: Some(log_id(1_000)),
        last_membership: StoredMembership::new(Some(log_id(900)), Membership::new(vec![[500].into()], nodes)),
        snapshot_id: "3-500-1000".into(),
    }
}

fn next_change(from: &ConfigVersion, zone: &str) -> ChangeSet {
    let zone = ZoneRecord { name: Name::new(zone).expect("a name"), capacity: 240 };
    let by = ChangeAuthor { author: "ops".into(), note: "why".into(), at: 1_800_000_000 };
    ChangeSet::draft(from, vec![Record::Zone(zone)], Vec::new(), by).expect("a change")
}

/// Three versions, the second of which all nodes may have.
fn history() -> History {
    let mut history = History::new(ConfigVersion::default(), CONFIG_RETENTION);
    for zone in ["east", "west", "north"] {
        let change = next_change(history.newest(), zone);
        history.apply(&change).expect("applied");
    }
    history.apply_decision(&RolloutDecision::Approved(Revision(2))).expect("a verdict");
    history
}

fn halted() -> RolloutHalted {
    let failures = [
        ("node-1", CanaryFailure::Rejected("no room".into())),
        ("node-2", CanaryFailure::Unresponsive),
        ("node-3", CanaryFailure::Restarted),
    ];
    RolloutHalted {
        revision: Revision(3),
        failures: failures.map(|(node, failure)| (node.to_owned(), failure)).into(),
    }
}

/// With a version halted, and the one that all nodes may have older than all that are kept.
fn history_with_old_approved_version() -> History {
    let complete = history();
    let approved = complete.version(Revision(1)).expect("kept").clone();
    let mut history = History::new(complete.version(Revision(2)).expect("kept").clone(), CONFIG_RETENTION);
    history.apply(&next_change(history.newest(), "north")).expect("applied");
    history.restore_decisions(approved, Some(halted()));
    history
}

fn same_history(a: &History, b: &History) -> bool {
    let all = |h: &History| (h.changes().cloned().collect::<Vec<_>>(), h.halted().cloned());
    a.newest() == b.newest() && a.oldest() == b.oldest() && a.approved() == b.approved() && all(a) == all(b)
}

fn same_snapshot(a: &StoredSnapshot, b: &StoredSnapshot) -> bool {
    a.meta == b.meta && a.bytes == b.bytes
}

fn ledger() -> LeaseLedger {
    let mut ledger = LeaseLedger::default();
    let capacity =
        BudgetCapacity { budget: "orders".into(), capacity: 400, min_share: 3, scope: CapacityScope::Fixed };
    let _ = ledger.apply(&LedgerEntry::Capacities(vec![capacity]));
    ledger
}

#[test]
fn a_stored_snapshot_has_the_pinned_bytes() {
    let mut pinned = Pinned::of("stored-snapshot");
    let history_codec = Codec::<History> {
        encode: |history| version_inventory::append_history(Vec::new(), history).expect("bytes"),
        decode: |bytes| version_inventory::read_history(bytes).ok(),
    };
    let empty = History::new(ConfigVersion::default(), CONFIG_RETENTION);
    pinned.value_by("configuration-none", &empty, &history_codec, same_history);
    pinned.value_by("configuration-three-versions", &history(), &history_codec, same_history);
    pinned.value_by(
        "configuration-halted",
        &history_with_old_approved_version(),
        &history_codec,
        same_history,
    );

    let bytes = postcard::to_allocvec(&ledger()).expect("bytes");
    let bytes = version_inventory::append_history(bytes, &history()).expect("bytes");
    pinned.value_by("snapshot", &StoredSnapshot { meta: meta(), bytes }, &plain(), same_snapshot);
    pinned.finish();
}

/// Every table and key that the program writes, read without its names.
#[tokio::test]
async fn the_replicas_file_has_the_pinned_tables_and_keys() {
    let mut pinned = Pinned::of("replica-file");
    let folder = std::env::temp_dir().join(format!("holdlift-golden-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut store = LogStore::open(&folder).expect("a disk");
    store.join_bootstrap(0x0123_4567_89ab_cdef).expect("written");
    store.save_vote(&Vote::new(4, 600)).await.expect("written");
    let entry: openraft::Entry<Raft> =
        openraft::Entry { log_id: log_id(1_001), payload: EntryPayload::Blank };
    let entry = postcard::to_allocvec(&entry).expect("bytes");
    store.write(|log, _| Ok(log.insert(1_001, &entry[..]).map(drop)?)).expect("written");
    store.purge(log_id(1_000)).await.expect("written");
    SnapshotCopy { meta: meta(), ledger: ledger(), history: history(), log_store: store.clone() }
        .write()
        .expect("written");
    drop(store);

    let byte_codec = Codec::<Vec<u8>> { encode: Vec::clone, decode: |bytes| Some(bytes.to_vec()) };
    let file = Database::open(folder.join("book.redb")).expect("the file");
    let read = file.begin_read().expect("a look");
    let mut tables: Vec<String> = {
        use redb::TableHandle as _;
        read.list_tables().expect("tables").map(|t| t.name().to_owned()).collect()
    };
    tables.sort();
    pinned.value("table-names", &tables, &plain());
    let log = read.open_table(TableDefinition::<u64, &[u8]>::new("log")).expect("the log");
    for row in log.iter().expect("rows") {
        let (index, bytes) = row.expect("a row");
        pinned.value(&format!("log-{}", index.value()), &bytes.value().to_vec(), &byte_codec);
    }
    let meta = read.open_table(TableDefinition::<&str, &[u8]>::new("meta")).expect("the rest");
    for row in meta.iter().expect("rows") {
        let (key, bytes) = row.expect("a row");
        pinned.value(&format!("meta-{}", key.value()), &bytes.value().to_vec(), &byte_codec);
    }
    drop((log, meta, read, file));
    let _ = std::fs::remove_dir_all(&folder);
    pinned.finish();
}
