//! Tests of the versioned configuration over real processes with network faults: the replicas agree on versions and the nodes
//! adopt them. The tests wait for events, never for a fixed time.

mod faults;
mod guard;
mod keepers;
mod nodes;

use holdlift::config::fleet::Fleet;
use holdlift::config_store::{ChangeAuthor, ChangeSet, ConfigVersion, Name, Record, Revision, TenantRecord};
use holdlift::runtime::replica::client::{ReplicaClient, ReplicaClientError, VersionSummary};
use holdlift_lab::rig::{Plan, Rig};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Limits how many test clusters run at a time.
static CLUSTER_PERMITS: Semaphore = Semaphore::const_new(3);

/// A running test cluster and its permit to run.
struct Cluster {
    rig: Rig,
    _permit: SemaphorePermit<'static>,
}

impl std::ops::Deref for Cluster {
    type Target = Rig;
    fn deref(&self) -> &Rig {
        &self.rig
    }
}

impl std::ops::DerefMut for Cluster {
    fn deref_mut(&mut self) -> &mut Rig {
        &mut self.rig
    }
}

impl Cluster {
    /// Starts nodes in 4 zones of 2 regions and 3 replicas, and waits until a replica leads. The patience of 15 s keeps a node
    /// that a busy machine delays for some seconds from counting as unresponsive.
    async fn start(nodes: usize, seed: u64) -> Cluster {
        Cluster::start_with_catalog(nodes, seed, "spread_ms = 300\nhold_ms = 300\npatience_ms = 15000\n")
            .await
    }

    /// Like [`Cluster::start`], with these lines in the table `[catalog]`.
    async fn start_with_catalog(nodes: usize, seed: u64, catalog: &'static str) -> Cluster {
        let permit = CLUSTER_PERMITS.acquire().await.expect("the semaphore stays open");
        let catalog = Some(catalog);
        let plan = Plan { nodes, zones: 4, regions: 2, seed, catalog, ..Plan::default() };
        let rig = plan.start().await;
        rig.until("a replica leads", async || rig.leader().is_some()).await;
        Cluster { rig, _permit: permit }
    }

    /// An operator's client that uses the network links of process `i`.
    fn operator(&self, i: usize) -> ReplicaClient {
        ReplicaClient::new(&Fleet::load(&self.fleet_file(i), None).expect("the fleet file is valid"))
    }

    /// The versions that the replicas list now.
    async fn history(&self, i: usize) -> Vec<VersionSummary> {
        self.operator(i).history(256).await.expect("the history can be fetched").0
    }

    /// Proposes a change on the newest version that sets these tenants' quotas, and returns its revision.
    async fn set_quotas(&self, i: usize, quotas: &[(&str, f64)]) -> Revision {
        let client = self.operator(i);
        let now = client.fetch_latest().await.expect("the newest version can be fetched");
        client.propose(&quota_change(&now, quotas)).await.expect("the change is agreed")
    }

    /// Applies the first version by `holdlift config apply`, with the classes and tenants of the nodes' own files.
    async fn apply_first_version(&self) {
        let file = self.file("first.json", &config_file(&[("acme", 50.0), ("other", 0.0)]).to_string());
        let (success, output) =
            self.config(0, &["apply", &file.display().to_string(), "--by", "north"]).await;
        assert!(success && output.contains("agreed: version 1"), "{output}");
    }
}

/// An operator's configuration file with the classes of the nodes and these tenants.
fn config_file(quotas: &[(&str, f64)]) -> Value {
    let mut settings = holdlift_lab::node::settings(8, 2_000, 3_000);
    let accounts: Vec<Value> =
        quotas.iter().map(|(n, q)| json!({"name": n, "quota-per-s": q, "share": 1.0})).collect();
    settings["accounts"] = accounts.into();
    settings["domain"]["class-calls"] = json!([true, true, true]);
    settings["domain"]["worth-without"] = json!([0.3, 0.5, 0.0]);
    settings
}

fn tenant_record(name: &str, quota: f64) -> Record {
    let quota_per_s = quota.try_into().expect("the quota is within its bounds");
    Record::Tenant(TenantRecord {
        name: Name::new(name).expect("the name is within its bounds"),
        quota_per_s,
    })
}

/// A change for the version `now` that sets these tenants' quotas.
fn quota_change(now: &ConfigVersion, quotas: &[(&str, f64)]) -> ChangeSet {
    let set = quotas.iter().map(|(n, q)| tenant_record(n, *q)).collect();
    ChangeSet::draft(now, set, Vec::new(), change_author("cleo"))
        .expect("the change is valid for its base version")
}

fn change_author(author: &str) -> ChangeAuthor {
    ChangeAuthor { author: author.to_owned(), note: "a test".to_owned(), at: 1_800_000_000 }
}

fn revision_numbers(rows: &[VersionSummary]) -> Vec<u64> {
    rows.iter().map(|r| r.revision.0).collect()
}
