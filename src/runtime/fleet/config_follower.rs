//! A node's side of the configuration: tracks the advertised version, fetches it from a replica, and has the event loop put
//! it in force.
//!
//! The node serves requests meanwhile: responses are processed in small steps, settings are built on another thread, and the
//! event loop only swaps them. Any replica may serve a version, as a replica applies only agreed versions; after a failure
//! the next replica is used. No version is fetched beyond the one that was advertised to this node, because the leader
//! decides which nodes get a version first.

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

/// Pause between two attempts to put a version in force while open work prevents it.
const POSTPONED_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// A connection to a replica that stays unused for longer is closed: it holds a permit that another node could use.
const IDLE_CONNECTION_MAX: Duration = Duration::from_millis(100);
/// Time limit for one replica to name its newest version to a node that starts.
const NEWEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two rounds of requests to all replicas for the newest version.
const NEWEST_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Pause of a starting node whose follower has scheduled no poll, µs.
const START_POLL_INTERVAL: Micros = Micros(10_000);
/// Longest wait without a poll; a notification ends it earlier.
const FOLLOW_WAIT_MAX: Duration = Duration::from_secs(3_600);

/// A node's copy of the replicated configuration, and the schedule by which it follows new versions.
pub(super) struct ConfigFollower {
    follower: RefCell<Follower>,
    spread: RolloutSettings,
    schedule: FetchSchedule,
    /// Wakes the task that fetches.
    wake: Notify,
    /// Index of the replica that serves this node.
    replica_index: Cell<usize>,
    /// Putting the ready version in force was postponed.
    is_postponed: Cell<bool>,
    /// Files that differed from the version in force when they were read again.
    file_conflicts: Cell<u64>,
}

impl ConfigFollower {
    /// A follower that has fetched nothing. `jitter` spreads the nodes over the replicas and over time.
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

    /// Sends a request to the current replica and processes the response step by step. A failure, or a response without
    /// data, selects the next replica.
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
        self.process_response(fleet, outcome).await
    }

    /// Processes the rest of a response. Yields before each step, so that requests are served meanwhile.
    async fn process_response(&self, fleet: &Fleet, mut outcome: FetchOutcome) -> FetchOutcome {
        while outcome == FetchOutcome::InProgress {
            yield_now().await;
            outcome = self.follower.borrow_mut().process_response(fleet.now_us());
        }
        outcome
    }

    /// Sends requests until a version is ready to be put in force. Has no time limit of its own.
    async fn fetch_until_ready(&self, fleet: &Fleet) {
        let mut connection = None;
        loop {
            let now = fleet.now_us();
            let request = self.follower.borrow_mut().poll_request(now);
            match request {
                Some(request) => {
                    // A replica that lags serves a version below the newest; the rest is fetched later.
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

/// Follows the agreed versions for as long as the process lives. Returns at once if the fleet replicates no configuration.
pub(in crate::runtime) async fn follow_versions(fleet: Rc<Fleet>, events: mpsc::Sender<Event>) {
    let Some(config) = &fleet.config_follower else { return };
    let mut connection = None;
    // If the start timed out, a response may be partly processed; no further request is made until it is finished.
    if config.process_response(&fleet, FetchOutcome::InProgress).await == FetchOutcome::Ready
        && events.send(Event::VersionReady).await.is_err()
    {
        return;
    }
    loop {
        if config.is_postponed.take() {
            sleep(POSTPONED_RETRY_INTERVAL).await;
            if events.send(Event::VersionReady).await.is_err() {
                return;
            }
        }
        let now = fleet.now_us();
        let request = config.follower.borrow_mut().poll_request(now);
        if let Some(request) = request {
            if config.fetch(&fleet, &mut connection, request).await == FetchOutcome::Ready
                && events.send(Event::VersionReady).await.is_err()
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
    /// This node's report to the leader: the version in force and the last rejected one.
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

    /// Handles a replica's advertisement of the version that this node may fetch.
    pub(super) fn receive_advertisement(&self, advertised: Advertised) {
        let Some(config) = &self.config_follower else { return };
        config.follower.borrow_mut().receive_advertisement(self.now_us(), advertised);
        config.wake.notify_one();
    }

    /// The settings and tiers that the process starts with: the newest version applied over the file's settings, with tiers
    /// loaded for them; those of the file alone if no version arrives in time or the version is invalid.
    pub async fn initial_settings(&self, file: Settings, tiers: Tiers, config: &Config) -> (Settings, Tiers) {
        let Some(settings) = self.fetch_initial_settings(&file).await else { return (file, tiers) };
        match Tiers::load(tiers.file.as_deref(), config, &settings) {
            Ok(tiers) => {
                self.confirm_version_adopted();
                (settings, tiers)
            }
            Err(e) => {
                self.reject_version(e.to_string());
                (file, tiers)
            }
        }
    }

    /// The newest version applied over a file's settings. `None` if there is no version, if it did not arrive within the
    /// configured time, or if it is invalid.
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

    /// The newest version that any replica reports. All replicas are queried, as one that has just started may not have
    /// applied all agreed versions. Has no time limit of its own.
    async fn newest_advertised(&self) -> Advertised {
        loop {
            let replicas: Vec<SocketAddr> = self.leader.borrow().replica_addrs().collect();
            let requests = replicas.into_iter().map(async |at| Fetcher::new(at).newest(NEWEST_TIMEOUT).await);
            let responses = futures_util::future::join_all(requests).await;
            if let Some(newest) = responses.into_iter().flatten().max_by_key(|response| response.revision) {
                return newest;
            }
            sleep(NEWEST_RETRY_INTERVAL).await;
        }
    }

    /// Records that the ready version is in force now, and reports it to the leader.
    pub fn confirm_version_adopted(&self) {
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
        // Freed on another thread: after a snapshot the former version shares no part with the new one, and freeing all of
        // it would block the event loop.
        drop(spawn_blocking(move || drop(former)));
        self.report_version();
    }

    /// Rejects the ready version for this reason; the one in force stays. The rejection is reported to the leader.
    pub fn reject_version(&self, reason: String) {
        let Some(config) = &self.config_follower else { return };
        let ready = config.follower.borrow().ready().map(ConfigVersion::revision);
        warn!("version {}: {reason}; the one in force stays", ready.unwrap_or_default());
        config.follower.borrow_mut().reject_ready(self.now_us(), reason);
        config.wake.notify_one();
        self.report_version();
    }

    /// Whether this node follows the fleet's replicated configuration.
    pub fn is_following_versions(&self) -> bool {
        self.config_follower.is_some()
    }

    /// The version in force. `None` before the first one, or if the fleet replicates no configuration.
    pub fn version_in_force(&self) -> Option<ConfigVersion> {
        let follower = self.config_follower.as_ref()?.follower.borrow();
        Some(follower.in_force().clone()).filter(|version| version.revision() > Revision::default())
    }

    /// The version that is fetched completely and waits to be put in force.
    pub fn ready_version(&self) -> Option<ConfigVersion> {
        self.config_follower.as_ref()?.follower.borrow().ready().cloned()
    }

    /// Postpones the ready version: it is tried again after [`POSTPONED_RETRY_INTERVAL`].
    pub fn postpone_version(&self) {
        let Some(config) = &self.config_follower else { return };
        config.is_postponed.set(true);
        config.wake.notify_one();
    }

    /// Counts and logs that a file that was read again differs from the version in force in this many classes and tenants.
    /// The version wins: the file's classes and tenants are not put in force, as the replicas have not agreed on them.
    pub fn record_file_conflict(&self, (classes, tenants): (usize, usize)) {
        let Some(config) = &self.config_follower else { return };
        config.file_conflicts.set(config.file_conflicts.get() + 1);
        let in_force = config.follower.borrow().in_force().revision();
        warn!(
            "reload: the file says otherwise than version {in_force}, which wins: {classes} classes, {tenants} tenants"
        );
    }

    /// The configuration's part of the response at the control address. Its keys are an interface.
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
