//! The bytes of the streams between replicas, of those with nodes and commands, and of the engine's log entries.

use std::collections::BTreeMap;

use futures_util::SinkExt;
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{CommittedLeaderId, EntryPayload, LogId, Membership, SnapshotMeta, StoredMembership, Vote};
use tokio::io::AsyncReadExt;

use super::protocol::config::{ChangeSignature, ConfigRequest, ConfigResponse, VersionSummary};
use super::protocol::{ReplicaRequest as Request, ReplicaResponse as Response};
use super::*;
use crate::config_store::{
    CanaryFailure, ChangeAuthor, ChangeSet, ConfigVersion, Digest, Name, Record, Revision, RolloutHalted,
};
use crate::fleet::compressed_change::CompressedChange;
use crate::fleet::lease::ledger::{BudgetCapacity, BudgetGrant};
use crate::fleet::version_status::{LaggingNode, RolloutStatus};
use crate::fleet::{CapacityScope, LeaseHolderId};
use crate::pinned::{Codec, Pinned, names, plain};

/// For types without equality: the same bytes, which all fields are in. That the variant is the same one shows in the
/// pinned bytes.
fn same_bytes<T: Serialize>(a: &T, b: &T) -> bool {
    postcard::to_allocvec(a).expect("bytes") == postcard::to_allocvec(b).expect("bytes")
}

fn log_id(term: u64, index: u64) -> LogId<u64> {
    LogId::new(CommittedLeaderId::new(term, 500), index)
}

fn membership() -> Membership<u64, BasicNode> {
    let nodes: BTreeMap<u64, BasicNode> =
        [(500, BasicNode::new("10.0.0.1:7401")), (600, BasicNode::new("10.0.0.2:7401"))].into();
    Membership::new(vec![[500, 600].into()], nodes)
}

fn snapshot_meta() -> SnapshotMeta<u64, BasicNode> {
    SnapshotMeta {
        last_log_id: Some(log_id(3, 1_000)),
        last_membership: StoredMembership::new(Some(log_id(2, 900)), membership()),
        snapshot_id: "3-500-1000".into(),
    }
}

fn raft_entries() -> Vec<openraft::Entry<Raft>> {
    let capacity =
        BudgetCapacity { budget: "orders".into(), capacity: 400, min_share: 3, scope: CapacityScope::Fixed };
    [
        EntryPayload::Blank,
        EntryPayload::Normal(LedgerEntry::Capacities(vec![capacity])),
        EntryPayload::Membership(membership()),
    ]
    .into_iter()
    .zip(1_000..)
    .map(|(payload, index)| openraft::Entry { log_id: log_id(3, index), payload })
    .collect()
}

fn digest() -> Digest {
    let bytes = postcard::to_allocvec(&[11u64, 222, 3_333, 44_444]).expect("bytes");
    postcard::from_bytes(&bytes).expect("a digest")
}

fn compressed_change() -> CompressedChange {
    let zone = crate::config_store::ZoneRecord { name: Name::new("east").expect("a name"), capacity: 240 };
    let by = ChangeAuthor { author: "ops".into(), note: "first".into(), at: 1_800_000_000 };
    let change = ChangeSet::draft(&ConfigVersion::default(), vec![Record::Zone(zone)], Vec::new(), by);
    CompressedChange::compress(&change.expect("a change")).expect("packed")
}

fn signature() -> ChangeSignature {
    ChangeSignature("ops".into(), "why".into(), 1_800_000_000)
}

fn config_requests() -> Vec<(&'static str, ConfigRequest)> {
    let (since, to) = (Revision(300), Revision(301));
    vec![
        ("", ConfigRequest::Changes { since, to }),
        ("", ConfigRequest::Chunks { revision: Some(Revision(299)), from_chunk: 7, above: Some(since), to }),
        ("any", ConfigRequest::Chunks { revision: None, from_chunk: 0, above: None, to }),
        ("", ConfigRequest::Head),
        ("", ConfigRequest::Propose(compressed_change())),
        ("", ConfigRequest::History(20)),
        ("", ConfigRequest::Rollback(since, signature())),
        ("", ConfigRequest::RolloutStatus),
        ("", ConfigRequest::Newest),
        ("", ConfigRequest::Release(since, signature())),
    ]
}

fn halted() -> RolloutHalted {
    let failures = [
        ("node-1", CanaryFailure::Rejected("no room".into())),
        ("node-2", CanaryFailure::Unresponsive),
        ("node-3", CanaryFailure::Restarted),
    ];
    RolloutHalted {
        revision: Revision(302),
        failures: failures.map(|(node, failure)| (node.to_owned(), failure)).into(),
    }
}

fn rollout_status() -> RolloutStatus {
    RolloutStatus {
        newest: Revision(303),
        agreed_ms: Some(1_500),
        counts: vec![(Revision(303), 4), (Revision(300), 50)],
        lagging_nodes: vec![
            LaggingNode {
                name: "node-1".into(),
                revision: Revision(299),
                last_seen_ms: 700,
                refused: Some((Revision(303), "no room".into())),
            },
            LaggingNode { name: "node-2".into(), revision: Revision(298), last_seen_ms: 800, refused: None },
        ],
        lagging: 2,
        released: Revision(301),
        waiting: 50,
        canary_nodes: vec!["node-4".into()],
        halted: Some(halted()),
        last_reached_ms: Some(900),
        diverged: vec!["node-5".into()],
    }
}

fn config_responses() -> Vec<(&'static str, ConfigResponse)> {
    let row = VersionSummary {
        revision: Revision(300),
        digest: digest(),
        set: 5,
        removed: 2,
        author: "ops".into(),
        note: "why".into(),
        at: 1_800_000_000,
    };
    let head =
        |leads, leader| ConfigResponse::Head { revision: Revision(300), digest: digest(), leads, leader };
    vec![
        ("", ConfigResponse::Changes(vec![vec![1, 2, 255], vec![3]])),
        ("", ConfigResponse::Chunks(vec![vec![4, 5, 255]])),
        ("", ConfigResponse::Snapshot),
        ("", ConfigResponse::SnapshotGone),
        ("", ConfigResponse::NothingNewer),
        ("", ConfigResponse::Busy),
        ("leader", head(true, None)),
        ("follower", head(false, Some("replica-2".into()))),
        ("", ConfigResponse::Agreed(Revision(301))),
        ("", ConfigResponse::Refused("it changes nothing".into())),
        ("", ConfigResponse::NotLeader(Some("replica-2".into()))),
        ("unknown", ConfigResponse::NotLeader(None)),
        ("", ConfigResponse::Unknown),
        ("", ConfigResponse::History(vec![row], Revision(7))),
        ("", ConfigResponse::RolloutStatus(rollout_status())),
        ("before-all-changes", ConfigResponse::RolloutStatus(RolloutStatus::default())),
        ("", ConfigResponse::Disabled),
    ]
}

#[test]
fn every_call_between_replicas_has_the_pinned_bytes() {
    let mut pinned = Pinned::of("replica-streams");
    let vote = Vote::new_committed(3, 500);
    let names = names!(Request {
        Request::JoinBootstrap(_) => "bootstrap-request",
        Request::AppendEntries(_) => "append-request",
        Request::Vote(_) => "vote-request",
        Request::InstallSnapshot(_) => "snapshot-request",
        Request::Config(_) => "configuration-request",
    });
    let values = [
        ("", Request::JoinBootstrap(0x0123_4567_89ab_cdef)),
        (
            "",
            Request::AppendEntries(AppendEntriesRequest {
                vote,
                prev_log_id: Some(log_id(2, 999)),
                entries: raft_entries(),
                leader_commit: Some(log_id(2, 998)),
            }),
        ),
        (
            "heartbeat",
            Request::AppendEntries(AppendEntriesRequest {
                vote,
                prev_log_id: None,
                entries: Vec::new(),
                leader_commit: None,
            }),
        ),
        ("", Request::Vote(VoteRequest::new(Vote::new(4, 600), Some(log_id(3, 1_000))))),
        (
            "",
            Request::InstallSnapshot(InstallSnapshotRequest {
                vote,
                meta: snapshot_meta(),
                offset: 70_000,
                data: vec![1, 2, 255],
                done: true,
            }),
        ),
        ("", Request::Config(ConfigRequest::Head)),
    ];
    pinned.variants_by(&names, &values, &plain(), same_bytes);

    let names = names!(Response {
        Response::BootstrapJoined(_) => "bootstrap-response",
        Response::AppendEntries(AppendEntriesResponse::Success) => "append-response-success",
        Response::AppendEntries(AppendEntriesResponse::PartialSuccess(_)) => "append-response-partial",
        Response::AppendEntries(AppendEntriesResponse::Conflict) => "append-response-conflict",
        Response::AppendEntries(AppendEntriesResponse::HigherVote(_)) => "append-response-higher-vote",
        Response::Vote(_) => "vote-response",
        Response::InstallSnapshot(_) => "snapshot-response",
        Response::Rejected(_) => "rejected",
        Response::Config(_) => "configuration-response",
    });
    let values = [
        ("", Response::BootstrapJoined(true)),
        ("", Response::AppendEntries(AppendEntriesResponse::Success)),
        ("", Response::AppendEntries(AppendEntriesResponse::PartialSuccess(Some(log_id(3, 1_000))))),
        ("", Response::AppendEntries(AppendEntriesResponse::Conflict)),
        ("", Response::AppendEntries(AppendEntriesResponse::HigherVote(Vote::new(5, 600)))),
        ("", Response::Vote(VoteResponse::new(Vote::new(4, 600), Some(log_id(3, 1_000)), true))),
        ("", Response::InstallSnapshot(InstallSnapshotResponse { vote })),
        ("", Response::Rejected("no such founding".into())),
        ("", Response::Config(ConfigResponse::Disabled)),
    ];
    pinned.variants_by(&names, &values, &plain(), same_bytes);
    pinned.finish();
}

#[test]
fn every_call_about_the_configuration_has_the_pinned_bytes() {
    let mut pinned = Pinned::of("configuration-streams");
    let names = names!(ConfigRequest {
        ConfigRequest::Changes { .. } => "changes-request",
        ConfigRequest::Chunks { .. } => "chunks-request",
        ConfigRequest::Head => "head-request",
        ConfigRequest::Propose(_) => "propose-request",
        ConfigRequest::History(_) => "history-request",
        ConfigRequest::Rollback(..) => "rollback-request",
        ConfigRequest::RolloutStatus => "rollout-status-request",
        ConfigRequest::Newest => "newest-request",
        ConfigRequest::Release(..) => "release-request",
    });
    pinned.variants_by(&names, &config_requests(), &plain(), same_bytes);
    let names = names!(ConfigResponse {
        ConfigResponse::Changes(_) => "changes-response",
        ConfigResponse::Chunks(_) => "chunks-response",
        ConfigResponse::Snapshot => "snapshot-needed",
        ConfigResponse::SnapshotGone => "snapshot-gone",
        ConfigResponse::NothingNewer => "nothing-newer",
        ConfigResponse::Busy => "busy",
        ConfigResponse::Head { .. } => "head-response",
        ConfigResponse::Agreed(_) => "committed",
        ConfigResponse::Refused(_) => "rejected",
        ConfigResponse::NotLeader(_) => "redirect-to-leader",
        ConfigResponse::Unknown => "outcome-unknown",
        ConfigResponse::History(..) => "history-response",
        ConfigResponse::RolloutStatus(_) => "rollout-status-response",
        ConfigResponse::Disabled => "not-enabled",
    });
    pinned.variants_by(&names, &config_responses(), &plain(), same_bytes);
    pinned.finish();
}

#[tokio::test]
async fn a_stream_frame_has_its_length_before_it() {
    let mut pinned = Pinned::of("stream-frame");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    let client = tokio::net::TcpStream::connect(address).await.expect("a connection");
    let (mut accepted, _) = listener.accept().await.expect("a connection");
    let mut frames = protocol::frame_stream(client);
    let request = Request::Config(ConfigRequest::Head);
    frames.send(protocol::encode_message(&request).expect("bytes")).await.expect("sent");
    drop(frames);
    let mut sent = Vec::new();
    accepted.read_to_end(&mut sent).await.expect("read");
    let raw = Codec::<Vec<u8>> { encode: Vec::clone, decode: |bytes| Some(bytes.to_vec()) };
    pinned.value("head-request", &sent, &raw);
    pinned.finish();
}

#[test]
fn raft_records_have_the_pinned_bytes() {
    let mut pinned = Pinned::of("engine-records");
    type RaftEntry = openraft::Entry<Raft>;
    let names = names!(RaftEntry {
        RaftEntry { payload: EntryPayload::Blank, .. } => "entry-blank",
        RaftEntry { payload: EntryPayload::Normal(_), .. } => "entry-normal",
        RaftEntry { payload: EntryPayload::Membership(_), .. } => "entry-membership",
    });
    let entries: Vec<_> = raft_entries().into_iter().map(|entry| ("", entry)).collect();
    pinned.variants(&names, &entries, &plain());
    pinned.value("vote", &Vote::<u64>::new(4, 600), &plain());
    pinned.value("vote-committed", &Vote::<u64>::new_committed(3, 500), &plain());
    pinned.value("log-id", &log_id(3, 1_000), &plain());
    pinned.value("snapshot-meta", &snapshot_meta(), &plain());
    pinned.value("replica-id", &replica_id("replica-2"), &plain());

    let names = names!(EntryResult {
        EntryResult { apply_outcome: None, .. } => "outcome",
        EntryResult { apply_outcome: Some(Ok(_)), .. } => "outcome-change-applied",
        EntryResult { apply_outcome: Some(Err(_)), .. } => "outcome-change-rejected",
    });
    let lease_response = LeaseResponse {
        holder: LeaseHolderId { name: "node-7".into(), incarnation: 300 },
        seq: 41,
        epoch: 9_000,
        grants: vec![BudgetGrant { budget: "orders".into(), amount: 12, target: 10 }],
    };
    let values = [
        ("", EntryResult { lease_responses: vec![lease_response], apply_outcome: None }),
        ("", EntryResult { lease_responses: Vec::new(), apply_outcome: Some(Ok(Revision(301))) }),
        (
            "",
            EntryResult {
                lease_responses: Vec::new(),
                apply_outcome: Some(Err("it changes nothing".into())),
            },
        ),
    ];
    pinned.variants(&names, &values, &plain());
    pinned.finish();
}
