//! Tests that all nodes adopt the newest version in spite of failures of nodes, of replicas and of the network between them.

use holdlift_lab::rig::net::Fault;
use holdlift_lab::standin::{Caller, fields};

use super::*;

/// The number of nodes of a test cluster.
pub const NODES: usize = 6;

impl Cluster {
    /// Starts [`NODES`] nodes, all with version 1 in force.
    pub async fn with_nodes(seed: u64) -> Cluster {
        let cluster = Cluster::start(NODES, seed).await;
        cluster.apply_first_version().await;
        cluster.wait_for_version(&cluster.all_nodes(), 1).await;
        cluster
    }

    /// The part of a node's report that describes its version in force.
    pub async fn version_report(&self, i: usize) -> Value {
        self.report(i).await.map(|r| r["catalog"].clone()).unwrap_or_default()
    }

    /// Waits until these nodes have that version in force, and asserts that its digest is the one that the replicas list.
    pub async fn wait_for_version(&self, nodes: &[usize], revision: u64) {
        let what = format!("version {revision} on {nodes:?}");
        self.until(&what, async || {
            for i in nodes {
                if self.version_report(*i).await["revision"] != revision {
                    return false;
                }
            }
            true
        })
        .await;
        let rows = self.history(*nodes.first().expect("at least one node is given")).await;
        let row = rows
            .iter()
            .find(|r| r.revision == Revision(revision))
            .expect("the revision is listed in the history");
        for i in nodes {
            assert_eq!(self.version_report(*i).await["digest"], row.digest.to_string(), "node {i}");
        }
    }

    /// The versions that a node has had in force, in the order of its log.
    pub fn adopted_versions(&self, i: usize) -> Vec<u64> {
        let log = self.log(&format!("n{i}"));
        let number = |l: &str| l.split(" in force: ").next()?.rsplit(' ').next()?.parse().ok();
        log.lines().filter(|l| l.contains(" in force: ")).filter_map(number).collect()
    }

    /// Asserts that no node has gone back to a lower revision.
    pub fn assert_versions_never_decrease(&self) {
        for i in self.all_nodes() {
            let versions = self.adopted_versions(i);
            // A restarted process begins with the newest approved version, so the log of all its processes is sorted too.
            assert!(versions.is_sorted(), "node {i}: {versions:?}");
        }
    }
}

/// All nodes adopt the first and then the second version, and the replicas list them as having it.
#[tokio::test]
async fn the_first_changes_reach_all_nodes() {
    let cluster = Cluster::start(NODES, 51).await;
    assert_eq!(cluster.version_report(0).await["revision"], 0, "the node has its own file only");
    cluster.apply_first_version().await;
    cluster.wait_for_version(&cluster.all_nodes(), 1).await;
    assert_eq!(cluster.set_quotas(0, &[("acme", 5.0), ("new", 3.0)]).await, Revision(2));
    let (success, output) = cluster.config(0, &["where", "--wait", "60"]).await;
    assert!(
        success && output.contains("newest: version 2") && output.contains("version 2: 6 nodes"),
        "{output}"
    );
    cluster.wait_for_version(&cluster.all_nodes(), 2).await;
    assert_eq!(cluster.version_report(3).await["tenants"], 3);
    cluster.assert_versions_never_decrease();
}

/// A class that only a version defines is served once the version is in force and refused after a rollback. A request held
/// during the rollback is answered under the class it arrived with.
#[tokio::test]
async fn requests_are_handled_by_the_version_in_force() {
    let cluster = Cluster::with_nodes(52).await;
    let send_request = async |class: &str, n: i128| {
        let mut caller =
            Caller::connect(cluster.procs[4].callers.expect("the process is a node with a caller address"))
                .await;
        caller.ask(n, class, fields(&format!("r-{n}"), &[("project", "acme")]), &format!("1 r-{n}")).await;
        caller.answer().await.expect("the request is answered").word
    };
    assert_ne!(send_request("extra", 1).await, "ok", "the class does not exist yet");
    let mut file = config_file(&[("acme", 50.0)]);
    let mut extra = file["classes"][0].clone();
    extra["name"] = "extra".into();
    file["classes"].as_array_mut().expect("the field is a list").push(extra);
    file["domain"]["class-calls"].as_array_mut().expect("the field is a list").push(false.into());
    file["domain"]["worth-without"].as_array_mut().expect("the field is a list").push(0.0.into());
    let path = cluster.file("extra.json", &file.to_string()).display().to_string();
    let (success, output) = cluster.config(0, &["apply", &path, "--base", "1"]).await;
    assert!(success && output.contains("class: 1 new: extra"), "{output}");
    cluster.wait_for_version(&cluster.all_nodes(), 2).await;
    assert_eq!(send_request("extra", 2).await, "ok");
    // The node holds this request while its class is removed.
    let mut held =
        Caller::connect(cluster.procs[4].callers.expect("the process is a node with a caller address")).await;
    held.ask(3, "extra", fields("r-3", &[("project", "acme")]), "gate r-3").await;
    let standin = cluster.farms.of(4);
    cluster
        .until("the held request runs", async || {
            standin.running.load(std::sync::atomic::Ordering::SeqCst) == 1
        })
        .await;
    let (success, output) = cluster.config(0, &["rollback", "1"]).await;
    assert!(success, "{output}");
    cluster.wait_for_version(&cluster.all_nodes(), 3).await;
    assert_ne!(send_request("extra", 4).await, "ok", "the class no longer exists");
    standin.open_gate();
    assert_eq!(held.answer().await.expect("the request is answered").word, "ok");
    cluster.assert_versions_never_decrease();
}

/// The leading replica is killed after a change is agreed and before it notifies any node: all nodes get the change from the
/// other replicas.
#[tokio::test]
async fn all_nodes_get_a_change_whose_leader_is_killed_before_it_notifies_them() {
    let mut cluster = Cluster::with_nodes(53).await;
    let leader = cluster.leader().expect("a replica leads");
    let client = cluster.operator(0);
    let now = client.fetch_latest().await.expect("the newest version can be fetched");
    cluster.net.one_way(&[leader], &cluster.all_nodes(), Fault::CUT);
    let change = quota_change(&now, &[("acme", 7.0)]);
    let proposing = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the Tokio runtime builds");
        runtime.block_on(client.propose(&change)).is_ok()
    });
    cluster
        .until("all replicas log version 2", async || {
            cluster
                .keepers()
                .iter()
                .filter(|k| cluster.log(&cluster.procs[**k].name).contains("version 2"))
                .count()
                == 3
        })
        .await;
    cluster.kill(leader);
    cluster.wait_for_version(&cluster.all_nodes(), 2).await;
    assert!(
        !proposing.join().expect("the proposing thread does not panic"),
        "the proposal is not confirmed to the operator"
    );
    cluster.assert_versions_never_decrease();
}

/// A rollback to version 1 reaches all nodes as version 3 with the records of version 1; the revision never decreases.
#[tokio::test]
async fn a_rollback_reaches_all_nodes_as_a_new_version() {
    let cluster = Cluster::with_nodes(54).await;
    let first_digest = cluster.version_report(2).await["digest"].clone();
    assert_eq!(cluster.set_quotas(0, &[("acme", 1.0), ("more", 1.0)]).await, Revision(2));
    cluster.wait_for_version(&cluster.all_nodes(), 2).await;
    let (success, output) = cluster.config(1, &["rollback", "1"]).await;
    assert!(success && output.contains("version 3"), "{output}");
    cluster.wait_for_version(&cluster.all_nodes(), 3).await;
    for i in cluster.all_nodes() {
        assert_eq!(cluster.version_report(i).await["digest"], first_digest);
        assert_eq!(cluster.adopted_versions(i), [1, 2, 3]);
    }
}

/// A node that is paused while versions are agreed is the only one listed as lagging, and adopts the newest version when it
/// resumes.
#[tokio::test]
async fn a_paused_node_is_listed_as_lagging_and_catches_up() {
    let cluster = Cluster::with_nodes(55).await;
    cluster.stop(2);
    for n in 2..=4u32 {
        assert_eq!(cluster.set_quotas(0, &[("acme", f64::from(n))]).await, Revision(u64::from(n)));
    }
    cluster.wait_for_version(&[0, 1, 3, 4, 5], 4).await;
    cluster
        .until("the paused node is listed as lagging", async || {
            let (_, output) = cluster.config(0, &["where"]).await;
            output.contains("lags: n2 at version 1") && output.matches("lags:").count() == 1
        })
        .await;
    cluster.go_on(2);
    cluster.wait_for_version(&cluster.all_nodes(), 4).await;
    let (success, output) = cluster.config(0, &["where", "--wait", "60"]).await;
    assert!(success && !output.contains("lags:"), "{output}");
    cluster.assert_versions_never_decrease();
}

/// A node has the newest approved version when it accepts its first client. Without any replica it starts with its own file and
/// logs that.
#[tokio::test]
async fn a_starting_node_has_the_newest_approved_version_before_it_serves() {
    let mut cluster = Cluster::with_nodes(56).await;
    cluster.kill(3);
    let names: Vec<String> = (0..500).map(|n| format!("tenant-{n}")).collect();
    let many: Vec<(&str, f64)> = names.iter().map(|n| (n.as_str(), 5.0)).collect();
    assert_eq!(cluster.set_quotas(0, &many).await, Revision(2));
    assert_eq!(cluster.set_quotas(0, &[("acme", 9.0)]).await, Revision(3));
    // The version is approved, since the other nodes have run with it.
    cluster.wait_for_version(&[0, 1, 2, 4, 5], 3).await;
    cluster.restart(3);
    cluster.ready(3).await;
    let first = cluster.version_report(3).await;
    assert_eq!((first["revision"].as_u64(), first["tenants"].as_u64()), (Some(3), Some(502)), "{first}");
    // Without any replica the node serves with its own file and logs that.
    cluster.keepers().into_iter().for_each(|k| cluster.kill(k));
    cluster.restart(3);
    cluster.ready(3).await;
    assert_eq!(cluster.version_report(3).await["revision"], 0);
    assert!(cluster.log("n3").contains("starts with its own file"));
    cluster.keepers().into_iter().for_each(|k| cluster.restart(k));
    cluster.wait_for_version(&cluster.all_nodes(), 3).await;
}

/// A node whose startup fetch times out while it processes a response serves with its own file and adopts the newest version
/// afterwards.
#[tokio::test]
async fn a_node_whose_startup_fetch_times_out_serves_its_file_and_catches_up() {
    let permit = CLUSTER_PERMITS.acquire().await.expect("the semaphore stays open");
    let rig = Plan { nodes: 1, seed: 59, catalog: Some("spread_ms = 0\n"), ..Plan::default() }.start().await;
    let mut cluster = Cluster { rig, _permit: permit };
    cluster.until("a replica leads", async || cluster.leader().is_some()).await;
    cluster.apply_first_version().await;
    let names: Vec<String> = (0..12_000).map(|n| format!("tenant-{n}")).collect();
    let many: Vec<(&str, f64)> = names.iter().map(|n| (n.as_str(), 5.0)).collect();
    assert_eq!(cluster.set_quotas(0, &many).await, Revision(2));
    cluster.wait_for_version(&[0], 2).await;
    // The only node is the canary. If it were killed before the version is approved, that would count as a failure of the
    // version.
    cluster
        .until("version 2 is approved", async || {
            let (_, output) = cluster.config(0, &["where", "--json"]).await;
            serde_json::from_str::<Value>(&output).is_ok_and(|w| w["good"] == 2)
        })
        .await;
    let file = cluster.fleet_file(0);
    let text = std::fs::read_to_string(&file).expect("the fleet file is readable");
    let head =
        text.split("[catalog]").next().expect("the file has a head before the table [catalog]").to_owned();
    let mut timed_out_starts = 0;
    // The range of timeouts makes some of them expire while chunks are processed, on fast and on slow machines.
    for ms in [20, 40, 60, 80, 120, 160, 240, 320, 480, 640, 960] {
        cluster.kill(0);
        std::fs::write(&file, format!("{head}[catalog]\nspread_ms = 0\nstart_ms = {ms}\n"))
            .expect("the fleet file can be written");
        cluster.restart(0);
        cluster.ready(0).await;
        timed_out_starts += usize::from(cluster.version_report(0).await["revision"] != 2);
        cluster.wait_for_version(&[0], 2).await;
    }
    assert!(timed_out_starts > 0, "no startup fetch timed out");
}

/// During a partition of two regions the one with a majority of replicas agrees on changes. The other keeps its version, and its
/// operators are told that no replica leads. After the partition all nodes converge.
#[tokio::test]
async fn only_the_region_with_a_replica_majority_changes_during_a_partition() {
    let cluster = Cluster::with_nodes(57).await;
    let (far, near) = cluster.region(1);
    assert_eq!(
        (&far[..], &near[..]),
        (&[1, 3, 5, 7][..], &[0, 2, 4, 6, 8][..]),
        "two of the three replicas are in the near region"
    );
    cluster.net.between(&far, &near, Fault::CUT);
    let mut agreed = None;
    cluster
        .until("the near region agrees on a change", async || {
            let client = cluster.operator(0);
            if let Ok(now) = client.fetch_latest().await {
                agreed = client.propose(&quota_change(&now, &[("acme", 4.0)])).await.ok();
            }
            agreed.is_some()
        })
        .await;
    assert_eq!(agreed, Some(Revision(2)));
    cluster.wait_for_version(&[0, 2, 4], 2).await;
    let (success, output) = cluster.config(1, &["rollback", "1"]).await;
    assert!(!success && output.contains("no keeper that leads"), "{output}");
    for i in [1, 3, 5] {
        let report = cluster.version_report(i).await;
        assert_eq!(report["revision"], 1, "the node keeps its version");
    }
    cluster.net.heal();
    cluster.wait_for_version(&cluster.all_nodes(), 2).await;
    let (success, output) = cluster.config(1, &["where", "--wait", "60"]).await;
    assert!(success, "{output}");
    cluster.assert_versions_never_decrease();
}

/// A settings file is reloaded while a version arrives: the version wins for classes and tenants, the file for all else, and
/// the disagreement is logged and counted.
#[tokio::test]
async fn a_reload_concurrent_with_a_version_keeps_the_agreed_classes_and_tenants() {
    let cluster = Cluster::with_nodes(58).await;
    for n in 2..=6u32 {
        let quota = f64::from(n);
        assert_eq!(cluster.set_quotas(0, &[("acme", quota)]).await, Revision(u64::from(n)));
        // Signals that arrive while a file is read cause only one more read, so each reload waits for the one before.
        cluster
            .until("the previous reload is counted", async || {
                cluster.version_report(1).await["file_disagreed"] == n - 2
            })
            .await;
        cluster.retell(1, |config| {
            config["settings"]["accounts"][0]["quota-per-s"] = (quota + 0.5).into();
            config["settings"]["over-share-worth"] = (quota / 10.0).into();
        });
    }
    cluster.wait_for_version(&cluster.all_nodes(), 6).await;
    cluster
        .until("each of the five reloads is counted", async || {
            cluster.version_report(1).await["file_disagreed"] == 5
        })
        .await;
    assert_eq!(cluster.version_report(0).await["file_disagreed"], 0);
    assert!(cluster.log("n1").contains("the file says otherwise than version"));
    cluster.wait_for_version(&cluster.all_nodes(), 6).await;
    cluster.assert_versions_never_decrease();
}

/// After one change of 5,000 records and a hundred small ones in a row all nodes adopt the newest version, with or without
/// the intermediate ones.
#[tokio::test]
async fn all_nodes_converge_after_one_large_change_and_many_small_ones() {
    let cluster = Cluster::with_nodes(60).await;
    let names: Vec<String> = (0..5_000).map(|n| format!("tenant-{n}")).collect();
    let many: Vec<(&str, f64)> = names.iter().map(|n| (n.as_str(), 5.0)).collect();
    assert_eq!(cluster.set_quotas(0, &many).await, Revision(2));
    cluster.wait_for_version(&cluster.all_nodes(), 2).await;
    let client = cluster.operator(1);
    let mut now = client.fetch_latest().await.expect("the newest version can be fetched");
    for n in 0..100u32 {
        let change = quota_change(&now, &[("acme", f64::from(n))]);
        assert_eq!(client.propose(&change).await.expect("the change is agreed"), Revision(u64::from(n) + 3));
        now.apply(&change).expect("the change applies to the version it was drafted for");
    }
    cluster.wait_for_version(&cluster.all_nodes(), 102).await;
    assert_eq!(cluster.version_report(5).await["tenants"], 5_002);
    cluster.assert_versions_never_decrease();
}
