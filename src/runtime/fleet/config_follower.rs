//! The configuration on the side of a node: notes which version is advertised, fetches it from a replica, and has it put in
//! force.
//!
//! All of that happens alongside requests: responses are taken in by small steps, settings are built on another thread, and
//! only the swap is the core's. Any replica may serve, as what one has applied is agreed; after a failure the next one is used.
//! No version is fetched beyond the one that was advertised to this node: the leader decides which nodes have it first.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc};
use tokio::task::{spawn_blocking, yield_now};
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

use super::{Fleet, version_settings};
use crate::config::Config;
use crate::config::fleet::RolloutSettings;
use crate::config::tiers::Tiers;
use crate::config_store::{
    Advertised, ChangeSet, ConfigVersion, FetchOutcome, FetchRequest, FetchResponse, FetchSchedule, Follower,
    RecordKind, Revision, VersionRejected,
};
use crate::fleet::datagram::FleetMessage;
use crate::fleet::version_status::VersionStatus;
use crate::interface::{Micros, Settings};
use crate::runtime::Event;
use crate::runtime::replica::fetch::{FetchResult, Fetcher};

/// Between two attempts to put a version in force that the work in progress leaves no room for.
const POSTPONED_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// A connection to a replica that stays unused for longer is closed: it holds a permit that another node could use.
const IDLE_CONNECTION_MAX: Duration = Duration::from_millis(100);
/// Time limit for one replica to name its newest version to a node that starts.
const NEWEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Between two rounds of asking all replicas for the newest version.
const NEWEST_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Pause of a node that starts, while its follower has no next poll.
const START_POLL_INTERVAL: Micros = Micros(10_000);
/// Longest wait without a poll; a notification ends it earlier.
const FOLLOW_WAIT_MAX: Duration = Duration::from_secs(3_600);

/// What a node has of the configuration.
pub(super) struct ConfigFollower {
    follower: RefCell<Follower>,
    spread: RolloutSettings,
    schedule: FetchSchedule,
    /// Wakes the task that fetches.
    wake: Notify,
    /// Index of the replica that serves this node.
    replica_index: Cell<usize>,
    /// The version that is ready was postponed.
    is_postponed: Cell<bool>,
    /// Files that differed from the version in force when they were read again.
    file_conflicts: Cell<u64>,
}

impl ConfigFollower {
    /// With nothing fetched. `jitter` spreads the nodes over the replicas and over time.
    pub(super) fn new(spread: RolloutSettings, jitter: u64, replica_count: usize) -> ConfigFollower {
        let schedule = FetchSchedule { spread: spread.within, ..FetchSchedule::default() };
        ConfigFollower {
            follower: RefCell::new(Follower::new(schedule, jitter, ConfigVersion::default())),
            spread,
            schedule,
            wake: Notify::new(),
            replica_index: Cell::new((jitter % replica_count.max(1) as u64) as usize),
            is_postponed: Cell::new(false),
            file_conflicts: Cell::new(0),
        }
    }

    fn replica_address(&self, fleet: &Fleet) -> SocketAddr {
        fleet.leader.borrow().nth_replica(self.replica_index.get())
    }

    /// Fetches, and takes in the response step by step. After a failure the next replica is used.
    async fn fetch(
        &self,
        fleet: &Fleet,
        connection: &mut Option<Fetcher>,
        request: FetchRequest,
    ) -> FetchOutcome {
        let time_limit = Duration::from_micros(self.schedule.response_timeout.0);
        let bounds = {
            let follower = self.follower.borrow();
            let in_force = follower.in_force().revision();
            (in_force, follower.newest().map_or(in_force, |newest| newest.revision))
        };
        let fetcher = connection.get_or_insert_with(|| Fetcher::new(self.replica_address(fleet)));
        let response = match fetcher.fetch(request, bounds, time_limit).await {
            FetchResult::Response(response) => response,
            FetchResult::Changes(changes) => {
                spawn_blocking(move || decode_changes(&changes)).await.unwrap_or(FetchResponse::Failed)
            }
        };
        if matches!(
            response,
            FetchResponse::Failed
                | FetchResponse::RetryAfter(_)
                | FetchResponse::NothingNewer
                | FetchResponse::SnapshotExpired
        ) {
            *connection = None;
            self.replica_index.set(self.replica_index.get().wrapping_add(1));
        }
        let outcome = self.follower.borrow_mut().receive_response(fleet.now_us(), response);
        self.take_in(fleet, outcome).await
    }

    /// Takes in the rest of a response, one step a turn of the event loop.
    async fn take_in(&self, fleet: &Fleet, mut outcome: FetchOutcome) -> FetchOutcome {
        while outcome == FetchOutcome::InProgress {
            yield_now().await;
            outcome = self.follower.borrow_mut().process_response(fleet.now_us());
        }
        outcome
    }

    /// Fetches until a version is ready to be put in force.
    async fn fetch_until_ready(&self, fleet: &Fleet) {
        let mut connection = None;
        loop {
            let now = fleet.now_us();
            let request = self.follower.borrow_mut().poll_request(now);
            match request {
                Some(request) => {
                    // A replica that lags serves less than the newest version: the rest is fetched later.
                    if self.fetch(fleet, &mut connection, request).await == FetchOutcome::Ready {
                        return;
                    }
                }
                None => {
                    let next = self.follower.borrow().next_timeout().unwrap_or(now + START_POLL_INTERVAL);
                    sleep(Duration::from_micros((next - now).0 + 1)).await;
                }
            }
        }
    }
}

fn decode_changes(changes: &[Vec<u8>]) -> FetchResponse {
    changes
        .iter()
        .map(|bytes| ChangeSet::decode(bytes))
        .collect::<Result<_, _>>()
        .map_or(FetchResponse::Failed, FetchResponse::Changes)
}

/// Follows the agreed versions for as long as the process lives.
pub(in crate::runtime) async fn follow_versions(fleet: Rc<Fleet>, events: mpsc::Sender<Event>) {
    let Some(config) = &fleet.config_follower else { return };
    let mut connection = None;
    // A start that ran out of time may have left a response half taken in, and nothing else is requested before its end.
    if config.take_in(&fleet, FetchOutcome::InProgress).await == FetchOutcome::Ready
        && events.send(Event::Version).await.is_err()
    {
        return;
    }
    loop {
        if config.is_postponed.take() {
            sleep(POSTPONED_RETRY_INTERVAL).await;
            if events.send(Event::Version).await.is_err() {
                return;
            }
        }
        let now = fleet.now_us();
        let request = config.follower.borrow_mut().poll_request(now);
        if let Some(request) = request {
            if config.fetch(&fleet, &mut connection, request).await == FetchOutcome::Ready
                && events.send(Event::Version).await.is_err()
            {
                return;
            }
            continue;
        }
        let next = config.follower.borrow().next_timeout();
        let wait = next.map_or(FOLLOW_WAIT_MAX, |at| Duration::from_micros((at - now).0 + 1));
        if wait > IDLE_CONNECTION_MAX {
            connection = None;
        }
        let _ = timeout(wait, config.wake.notified()).await;
    }
}

impl Fleet {
    /// This node's report of its version.
    fn version_status(&self) -> Option<FleetMessage> {
        let follower = self.config_follower.as_ref()?.follower.borrow();
        let in_force = follower.in_force();
        let refused =
            follower.rejection().map(|rejected| (rejected_revision(rejected), rejected.to_string()));
        let version = (in_force.revision(), in_force.digest().first_64_bits());
        let holder = self.lease_holder.borrow().holder().clone();
        Some(FleetMessage::VersionStatus(VersionStatus::new(holder, version, refused)))
    }

    /// Reports this node's version to the leader.
    pub(super) fn report_version(&self) {
        let Some(Ok(frame)) = self.version_status().map(|status| self.codec.encode(&status)) else { return };
        if let Some(address) = self.leader.borrow().current() {
            let _ = self.socket.try_send_to(&frame, address);
        }
    }

    /// A replica advertises the version that this node may have.
    pub(super) fn version_advertised(&self, advertised: Advertised) {
        let Some(config) = &self.config_follower else { return };
        config.follower.borrow_mut().receive_advertisement(self.now_us(), advertised);
        config.wake.notify_one();
    }

    /// The settings and tiers that the process starts with: the newest version over its file's settings, with the tiers that fit
    /// them, or the file's alone.
    pub async fn initial_settings(&self, file: Settings, tiers: Tiers, config: &Config) -> (Settings, Tiers) {
        let Some(settings) = self.fetch_initial_settings(&file).await else { return (file, tiers) };
        match Tiers::load(tiers.file.as_deref(), config, &settings) {
            Ok(tiers) => {
                self.version_adopted();
                (settings, tiers)
            }
            Err(e) => {
                self.reject_version(e.to_string());
                (file, tiers)
            }
        }
    }

    /// The newest version over a file's settings; none where it has not come within the configured time.
    async fn fetch_initial_settings(&self, file: &Settings) -> Option<Settings> {
        let config = self.config_follower.as_ref()?;
        let start = Instant::now();
        let time_left = || Duration::from_micros(config.spread.start.0).saturating_sub(start.elapsed());
        let Ok(newest) = timeout(time_left(), self.newest_advertised()).await else {
            warn!("version: no replica reports the newest; this node starts with its own file");
            return None;
        };
        if newest.revision == Revision::default() {
            return None;
        }
        config.follower.borrow_mut().receive_advertisement(self.now_us(), newest);
        if timeout(time_left(), config.fetch_until_ready(self)).await.is_err() {
            warn!("version {}: did not come in time; this node starts with its own file", newest.revision);
        }
        let ready = config.follower.borrow().ready().cloned()?;
        match version_settings::apply_version(&ready, file) {
            Ok(settings) => Some(settings),
            Err(e) => {
                self.reject_version(e.to_string());
                None
            }
        }
    }

    /// The newest version that any replica names. A replica that has only just started may not have applied all that was agreed,
    /// so all of them are asked.
    async fn newest_advertised(&self) -> Advertised {
        loop {
            let replicas: Vec<SocketAddr> = self.leader.borrow().replica_addrs().collect();
            let requests = replicas.into_iter().map(async |at| Fetcher::new(at).newest(NEWEST_TIMEOUT).await);
            let responses = futures_util::future::join_all(requests).await;
            if let Some(newest) = responses.into_iter().flatten().max_by_key(|answer| answer.revision) {
                return newest;
            }
            sleep(NEWEST_RETRY_INTERVAL).await;
        }
    }

    /// The version that was ready is in force.
    pub fn version_adopted(&self) {
        let Some(config) = &self.config_follower else { return };
        let former = config.follower.borrow_mut().confirm_adopted(self.now_us());
        let (revision, digest, classes, tenants) = {
            let follower = config.follower.borrow();
            let in_force = follower.in_force();
            (
                in_force.revision(),
                in_force.digest(),
                in_force.count(RecordKind::Class),
                in_force.count(RecordKind::Tenant),
            )
        };
        info!(%digest, "version {revision} in force: {classes} classes, {tenants} tenants");
        config.wake.notify_one();
        // On another thread: after a snapshot no part of it is shared, and freeing it takes a while.
        drop(spawn_blocking(move || drop(former)));
        self.report_version();
    }

    /// The version that was ready can't be put in force; the one in force stays.
    pub fn reject_version(&self, reason: String) {
        let Some(config) = &self.config_follower else { return };
        let ready = config.follower.borrow().ready().map(ConfigVersion::revision);
        warn!("version {}: {reason}; the one in force stays", ready.unwrap_or_default());
        config.follower.borrow_mut().reject_ready(self.now_us(), reason);
        config.wake.notify_one();
        self.report_version();
    }

    /// Whether versions of the configuration come to this node.
    pub fn is_following_versions(&self) -> bool {
        self.config_follower.is_some()
    }

    /// The version in force, where there is one.
    pub fn version_in_force(&self) -> Option<ConfigVersion> {
        let follower = self.config_follower.as_ref()?.follower.borrow();
        Some(follower.in_force().clone()).filter(|version| version.revision() > Revision::default())
    }

    /// The version that is ready to be put in force.
    pub fn ready_version(&self) -> Option<ConfigVersion> {
        self.config_follower.as_ref()?.follower.borrow().ready().cloned()
    }

    /// The version that was ready can't be put in force yet.
    pub fn postpone_version(&self) {
        let Some(config) = &self.config_follower else { return };
        config.is_postponed.set(true);
        config.wake.notify_one();
    }

    /// A file that was read again has so many classes and tenants otherwise than the version in force, which wins: the file's are
    /// not put in force, as no replica has agreed to them.
    pub fn note_file_conflict(&self, (classes, tenants): (usize, usize)) {
        let Some(config) = &self.config_follower else { return };
        config.file_conflicts.set(config.file_conflicts.get() + 1);
        let in_force = config.follower.borrow().in_force().revision();
        warn!(
            "reload: the file says otherwise than version {in_force}, which wins: {classes} classes, {tenants} tenants"
        );
    }

    /// The configuration's part of the control address's answer. Its keys are an interface.
    pub fn version_report(&self) -> Option<Value> {
        let config = self.config_follower.as_ref()?;
        let follower = config.follower.borrow();
        let in_force = follower.in_force();
        Some(json!({"revision": in_force.revision().0, "digest": in_force.digest().to_string(),
            "newest": follower.newest().map(|newest| newest.revision.0),
            "age_ms": follower.time_since_current(self.now_us()).map(|age| age.0 / 1_000),
            "classes": in_force.count(RecordKind::Class), "tenants": in_force.count(RecordKind::Tenant),
            "refused": follower.rejection().map(ToString::to_string),
            "file_disagreed": config.file_conflicts.get()}))
    }
}

fn rejected_revision(rejected: &VersionRejected) -> Revision {
    match rejected {
        VersionRejected::Change(of, _)
        | VersionRejected::Settings(of, _)
        | VersionRejected::Diverged(of, ..) => *of,
        VersionRejected::Snapshot(_) => Revision::default(),
    }
}
