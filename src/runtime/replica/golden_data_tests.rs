//! A replica's data folder that was written by the program of commit b89e4bc is read the same by this one.
//!
//! The whole content is put into words and compared with `expected.txt` beside the fixture. The words are written out here
//! and come from no identifier: a rename in the program changes none of them, and whatever else changes one of them has changed
//! what replicas read.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::Read;
use std::path::{Path, PathBuf};

use openraft::storage::{RaftLogStorage, RaftStateMachine};
use openraft::{EntryPayload, LogId, Membership, RaftLogReader};

use super::*;
use crate::config_store::{
    CanaryFailure, ChangeAuthor, ChangeSet, ConfigVersion, History, Record, RecordKind, Revision,
    RolloutDecision,
};
use crate::fleet::compressed_change::CompressedChange;
use crate::fleet::lease::budget::golden_tests;
use crate::fleet::lease::ledger::{BudgetCapacity, LeaseLedger, LeaseRequest};
use crate::fleet::{CapacityScope, LeaseBounds, LeaseHolderId, LeaseInstant};
use crate::interface::{Effect, Micros};
use crate::zone::{ZoneOrder, ZoneState, ZoneStatus};

const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/replica-b89e4bc");
/// Entries of lease requests that are put into words, of the last ones.
const REQUESTS_SHOWN: usize = 6;

/// The fixture's folder, unpacked; gone with its test.
struct UnpackedFixture(PathBuf);

impl UnpackedFixture {
    fn new(name: &str) -> UnpackedFixture {
        let folder = std::env::temp_dir().join(format!("holdlift-golden-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("book.redb"), file_bytes()).expect("a file");
        UnpackedFixture(folder)
    }
}

impl Drop for UnpackedFixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn file_bytes() -> Vec<u8> {
    let packed = std::fs::File::open(Path::new(FIXTURE).join("book.redb.gz")).expect("the fixture");
    let mut bytes = Vec::new();
    flate2::read::GzDecoder::new(packed).read_to_end(&mut bytes).expect("whole");
    bytes
}

/// A replica of that folder as it is after its snapshot, before the log is applied.
fn replica(folder: &Path) -> (LogStore, StateMachineStore, Arc<Mutex<ReplicaState>>) {
    let store = LogStore::open(folder).expect("the folder opens");
    let ms = Micros::from_millis;
    let bounds = LeaseBounds { lease_duration: ms(1_000), drift: 0.01, transit: ms(20) };
    let replica_state = Arc::new(Mutex::new(ReplicaState::new(bounds, Vec::new())));
    let (config_changed, _) = watch::channel(());
    let machine =
        StateMachineStore::load(store.clone(), replica_state.clone(), LeaseClock::new(1.0), config_changed);
    (store, machine.expect("the snapshot is read"), replica_state)
}

fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

fn log_id_text(log_id: LogId<u64>) -> String {
    format!(
        "entry {} of term {} by replica {}",
        log_id.index, log_id.leader_id.term, log_id.leader_id.node_id
    )
}

fn optional_log_id_text(log_id: Option<LogId<u64>>) -> String {
    log_id.map_or_else(|| "none".to_owned(), log_id_text)
}

fn holder_text(of: &LeaseHolderId) -> String {
    format!("{} process {}", of.name, of.incarnation)
}

fn capacity_text(of: &BudgetCapacity) -> String {
    let scope = match &of.scope {
        CapacityScope::Fixed => "fixed".to_owned(),
        CapacityScope::Zones => "of all zones together".to_owned(),
        CapacityScope::Zone(zone) => format!("of zone {zone}"),
    };
    format!("{}: {} in all, {} for each node at least, {scope}", of.budget, of.capacity, of.min_share)
}

fn zone_order_text(order: ZoneOrder) -> &'static str {
    match order {
        ZoneOrder::Leave => "leave",
        ZoneOrder::Return => "return",
        ZoneOrder::Hold => "hold",
    }
}

fn zone_text(of: &ZoneStatus) -> String {
    let state = match of.state {
        ZoneState::In => "in service",
        ZoneState::Suspect => "suspect",
        ZoneState::Out => "out of service",
        ZoneState::Probing => "probing",
        ZoneState::Returning => "returning",
    };
    let order = of.order.map_or("none", zone_order_text);
    let ZoneStatus { zone, weight, consecutive_failures: times, .. } = of;
    format!("{zone}: {state}, weight {weight} of 1000, {times} failures in a row, order {order}")
}

fn change_text(of: &ChangeSet) -> String {
    format!(
        "version {} from version {}: {} set, {} removed, digest {}, by {}, at {}, note \"{}\"",
        of.resulting_revision(),
        of.base,
        of.set.len(),
        of.remove.len(),
        of.digest,
        of.author,
        of.at,
        of.note
    )
}

fn failures_text(of: &BTreeMap<String, CanaryFailure>) -> String {
    let one = |(node, failure): (&String, &CanaryFailure)| match failure {
        CanaryFailure::Rejected(why) => format!("{node} refused it ({why})"),
        CanaryFailure::Unresponsive => format!("{node} fell silent"),
        CanaryFailure::Restarted => format!("{node} started again"),
    };
    of.iter().map(one).collect::<Vec<_>>().join(", ")
}

fn record_kind_text(of: RecordKind) -> &'static str {
    match of {
        RecordKind::Class => "class",
        RecordKind::Tenant => "tenant",
        RecordKind::Tier => "tier",
        RecordKind::Zone => "zone",
        RecordKind::Budget => "budget",
    }
}

fn record_text(of: &Record) -> String {
    match of {
        Record::Class(c) => {
            let effect = match c.effect {
                Effect::Retryable => "retryable",
                Effect::Dedup => "deduplicated",
                Effect::Fragile => "fragile",
            };
            format!(
                "class {}: target {} us, target stretch {}, deadline {} us, value when late {}, value {}, {effect}, \
                 retry window {} us, calls below {}, value without a call {}",
                c.name.as_str(),
                c.latency_objective.0,
                c.objective_stretch.get(),
                c.deadline.0,
                c.late_weight.get(),
                c.weight.get(),
                c.repeat_window.0,
                yes_or_no(c.may_call_dependencies),
                c.weight_without_call.get()
            )
        }
        Record::Tenant(t) => format!("tenant {}: quota {} a second", t.name.as_str(), t.quota_per_s.get()),
        other => format!("{} {}", record_kind_text(other.kind()), other.name().as_str()),
    }
}

/// An entry's kind and its content.
fn ledger_entry_text(of: &LedgerEntry) -> (&'static str, String) {
    match of {
        LedgerEntry::Capacities(all) => {
            ("capacities", all.iter().map(capacity_text).collect::<Vec<_>>().join("; "))
        }
        LedgerEntry::LeaseRequests(all) => {
            ("lease requests", all.iter().map(lease_request_text).collect::<Vec<_>>().join("; "))
        }
        LedgerEntry::ExpireLeases(all) => {
            let one = |s: &crate::fleet::lease::ledger::ExpiredLease| {
                format!("{} of {}, last request {}", s.budget, holder_text(&s.holder), s.seq)
            };
            ("expired leases", all.iter().map(one).collect::<Vec<_>>().join("; "))
        }
        LedgerEntry::ZoneUpdate(c) => {
            let zones: Vec<String> = c.statuses.iter().map(zone_text).collect();
            ("zone states", format!("decided on epoch {}: {}", c.base_epoch, zones.join("; ")))
        }
        LedgerEntry::ZoneOrder { zone, order } => {
            ("zone order", format!("{zone}: {}", zone_order_text(*order)))
        }
        LedgerEntry::ConfigChange(packed) => {
            ("configuration change", change_text(&packed.decompress().expect("a change")))
        }
        LedgerEntry::RolloutDecision(RolloutDecision::Approved(of)) => {
            ("rollout decision", format!("version {of} may go to all nodes"))
        }
        LedgerEntry::RolloutDecision(RolloutDecision::Halted(s)) => {
            ("rollout decision", format!("version {} is stopped: {}", s.revision, failures_text(&s.failures)))
        }
    }
}

fn lease_request_text(of: &LeaseRequest) -> String {
    let one = |l: &crate::fleet::lease::ledger::BudgetDemand| {
        format!("{} holds {} wants {}", l.budget, l.retained, l.demand)
    };
    let lines: Vec<String> = of.demands.iter().map(one).collect();
    format!(
        "{} request {}, has seen {}, valid lease {}, weight {}, leaving {} [{}]",
        holder_text(&of.holder),
        of.seq,
        of.acknowledged_seq,
        yes_or_no(of.has_valid_lease),
        of.weight,
        yes_or_no(of.is_leaving),
        lines.join(", ")
    )
}

fn membership_text(of: &Membership<u64, BasicNode>) -> String {
    let voters: Vec<String> = of.voter_ids().map(|v| v.to_string()).collect();
    let nodes: Vec<String> = of.nodes().map(|(n, node)| format!("{n} at {}", node.addr)).collect();
    format!("voters {}; replicas {}", voters.join(", "), nodes.join(", "))
}

fn version_text(of: &ConfigVersion) -> String {
    format!("version {}, digest {}", of.revision(), of.digest())
}

/// The agreed state.
fn write_state(out: &mut String, ledger: &LeaseLedger, history: &History) {
    let mut line = |text: String| writeln!(out, "  {text}").expect("memory");
    line(format!("entries of the ledger: {}", ledger.epoch));
    for budget_capacity in ledger.capacities() {
        line(format!("capacity {}", capacity_text(&budget_capacity)));
    }
    for (budget, capacity, leased) in ledger.usage() {
        line(format!("budget {budget}: {capacity} as the zones are, {leased} leased"));
    }
    for (budget, of, lease) in ledger.leases() {
        line(format!("lease on {budget} of {}: {}", holder_text(of), golden_tests::in_words(lease)));
    }
    line(format!("zones, epoch {}", ledger.zones().epoch));
    for of in &ledger.zones().statuses {
        line(format!("zone {}", zone_text(of)));
    }
    line(format!("oldest configuration: {}", version_text(history.oldest())));
    for of in history.changes() {
        line(format!("configuration {}", change_text(of)));
        for set in &of.set {
            line(format!("  sets {}", record_text(set)));
        }
        for key in &of.remove {
            line(format!("  removes {} {}", record_kind_text(key.kind), key.name.as_str()));
        }
    }
    line(format!("newest configuration: {}", version_text(history.newest())));
    for of in history.newest().records() {
        line(format!("  {}", record_text(of)));
    }
    line(format!("configuration for all nodes: {}", version_text(history.approved())));
    let stopped = history.halted().map(|s| format!("version {}: {}", s.revision, failures_text(&s.failures)));
    line(format!("stopped configuration: {}", stopped.unwrap_or_else(|| "none".to_owned())));
}

fn write_replica_state(out: &mut String, title: &str, replica_state: &Mutex<ReplicaState>) {
    writeln!(out, "{title}").expect("memory");
    let replica_state = replica_state.lock().expect("no panic");
    write_state(out, replica_state.ledger(), replica_state.history());
}

/// All that is in a replica's folder, in words.
async fn folder_text(folder: &Path) -> String {
    let (mut store, mut machine, replica_state) = replica(folder);
    let mut out = String::new();
    writeln!(out, "founding: {}", store.bootstrap_id().expect("read").expect("it has one")).expect("memory");
    let vote = store.read_vote().await.expect("read").expect("it has one");
    let (term, by) = (vote.leader_id.term, vote.leader_id.node_id);
    writeln!(out, "vote: term {term}, for replica {by}, of a majority {}", yes_or_no(vote.committed))
        .expect("memory");
    let log = store.get_log_state().await.expect("read");
    writeln!(out, "log removed up to: {}", optional_log_id_text(log.last_purged_log_id)).expect("memory");
    writeln!(out, "log ends with: {}", optional_log_id_text(log.last_log_id)).expect("memory");

    let snapshot = machine.get_current_snapshot().await.expect("read").expect("it has one");
    writeln!(
        out,
        "snapshot: {}, up to {}",
        snapshot.meta.snapshot_id,
        optional_log_id_text(snapshot.meta.last_log_id)
    )
    .expect("memory");
    let of = &snapshot.meta.last_membership;
    writeln!(
        out,
        "  membership of {}: {}",
        optional_log_id_text(*of.log_id()),
        membership_text(of.membership())
    )
    .expect("memory");
    write_replica_state(&mut out, "state in the snapshot", &replica_state);

    let entries = store.try_get_log_entries(0..).await.expect("read");
    write_log_entries(&mut out, &entries);
    let from = snapshot.meta.last_log_id.map_or(0, |l| l.index + 1);
    let later: Vec<_> = entries.into_iter().filter(|e| e.log_id.index >= from).collect();
    let results = machine.apply(later).await.expect("applied");
    let rejections: Vec<String> =
        results.into_iter().filter_map(|result| result.apply_outcome?.err()).collect();
    writeln!(out, "refused when the log is applied: {}", rejections.join(", ")).expect("memory");
    write_replica_state(&mut out, "state after the log", &replica_state);
    out
}

fn write_log_entries(out: &mut String, entries: &[openraft::Entry<Raft>]) {
    let words = |e: &openraft::Entry<Raft>| match &e.payload {
        EntryPayload::Blank => ("a leader's first entry", String::new()),
        EntryPayload::Membership(m) => ("membership", membership_text(m)),
        EntryPayload::Normal(of) => ledger_entry_text(of),
    };
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for e in entries {
        *counts.entry(words(e).0).or_default() += 1;
    }
    writeln!(out, "log: {} entries", entries.len()).expect("memory");
    for (kind, count) in &counts {
        writeln!(out, "  {kind}: {count}").expect("memory");
    }
    let many = ["lease requests", "zone order"];
    let mut left: BTreeMap<&str, usize> =
        many.iter().map(|k| (*k, counts.get(k).map_or(0, |n| n.saturating_sub(REQUESTS_SHOWN)))).collect();
    for e in entries {
        let (kind, text) = words(e);
        match left.get_mut(kind) {
            Some(n) if *n > 0 => *n -= 1,
            _ => writeln!(out, "  {}: {kind}: {text}", log_id_text(e.log_id)).expect("memory"),
        }
    }
}

/// The fixture is the file that the program of that commit wrote, and not one written anew.
#[test]
fn the_fixture_has_the_size_and_checksum_of_its_creation() {
    let bytes = file_bytes();
    assert_eq!((bytes.len(), crc32fast::hash(&bytes)), (17_346_560, 2_355_118_027));
}

/// Founding, vote, log, snapshot, leases, capacities, zones and versions.
#[tokio::test]
async fn a_folder_written_by_an_earlier_program_is_read_the_same() {
    let folder = UnpackedFixture::new("read");
    let seen = folder_text(&folder.0).await;
    let expected = std::fs::read_to_string(Path::new(FIXTURE).join("expected.txt")).expect("a file");
    if seen != expected {
        let (mut differing, mut wanted) = (String::new(), expected.lines());
        for line in seen.lines() {
            let should = wanted.next().unwrap_or("(nothing)");
            if line != should && differing.len() < 4_000 {
                writeln!(differing, "expected: {should}\n    read: {line}").expect("memory");
            }
        }
        let missing = wanted.count();
        panic!("the folder is read otherwise, and {missing} lines are missing:\n{differing}");
    }
}

/// A rollback to a version from before the snapshot is agreed, and makes the records of that version.
#[tokio::test]
async fn a_rollback_on_a_folder_of_an_earlier_program_restores_the_version() {
    let folder = UnpackedFixture::new("rollback");
    let (mut store, mut machine, replica_state) = replica(&folder.0);
    let applied = machine.applied_state().await.expect("read").0.map_or(0, |l| l.index + 1);
    let entries = store.try_get_log_entries(applied..).await.expect("read");
    machine.apply(entries).await.expect("applied");
    let mut replica_state = replica_state.lock().expect("no panic");
    let by = ChangeAuthor { author: "north".to_owned(), note: "back".to_owned(), at: 1_800_000_000 };
    let back = replica_state.history().draft_rollback(Revision(2), by).expect("version 2 is kept");
    assert_eq!(
        change_text(&back),
        "version 6 from version 5: 3 set, 1 removed, digest dc5ac018e69dbe4f, by north, at 1800000000, note \"back\""
    );
    let (lease_responses, outcome) = replica_state.apply_with_outcome(
        LeaseInstant(1),
        &LedgerEntry::ConfigChange(CompressedChange::compress(&back).expect("packed")),
    );
    assert_eq!((lease_responses, outcome), (Vec::new(), Some(Ok(Revision(6)))));
    assert_eq!(version_text(replica_state.history().newest()), "version 6, digest dc5ac018e69dbe4f");
}
