//! A hollow node's part in the agreed configuration: the program's own [`Follower`], its datagrams, and its fetches by the
//! keepers' streams with the bytes that a node's have, driven as `src/runtime/fleet/catalog.rs` drives a node's.
//!
//! What it leaves out: settings are not built over a version, and nothing is swapped. The nodes of a host share what is the
//! same for all: a version that one of them has come to is everybody's copy, and a snapshot is taken apart once. Each other
//! node fetches all of its chunks too, and they have to be the same byte for byte.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use holdlift::Micros;
use holdlift::config::fleet::RolloutSettings;
use holdlift::config_store::{
    Advertised, AssemblyProgress, ChangeSet, ConfigVersion, FetchOutcome, FetchRequest, FetchResponse,
    FetchSchedule, Follower, Revision, SnapshotAssembler,
};
use holdlift::fleet::LeaseInstant;
use holdlift::fleet::version_status::VersionStatus;
use holdlift::runtime::clock::LeaseClock;
use holdlift::runtime::replica::fetch::{FetchResult, Fetcher};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout};

use super::hollow::{Hollow, World};

/// As a node does: a line to a keeper that is not used for so long is closed,
const IDLE: Duration = Duration::from_millis(100);
/// a keeper may take so long to say which version there is where a node starts,
const NEWEST: Duration = Duration::from_millis(500);
/// and so long passes until all are asked again.
const NEWEST_AGAIN: Duration = Duration::from_millis(50);
/// Snapshots that a host keeps: keepers pack one each, of versions of their own.
const SNAPSHOTS: usize = 4;

/// What a keeper's stream gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum How {
    /// Changes.
    Changes,
    /// Chunks of a snapshot.
    Chunks,
    /// Too many are served now.
    Later,
    /// The newest version, to one that starts.
    Newest,
    /// None of that, as it is told to come later or had no answer in time.
    NoNewest,
    /// That the changes are kept no more, or the snapshot is not, or that there is nothing newer.
    Nothing,
    /// No answer, or none of use.
    Failed,
}

/// One ask by a stream, and what came of it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Fetched {
    /// Which keeper, in the order of the fleet's file.
    pub keeper: usize,
    /// When it was asked and when the answer was there, µs by the clock that all processes of the machine share.
    pub span: (u64, u64),
    /// Bytes of frames, sent and received.
    pub bytes: (u64, u64),
    /// What it gave.
    pub how: How,
}

/// A version is in force on a node.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Reached {
    /// Which node.
    pub node: usize,
    /// The version.
    pub revision: u64,
    /// The first 64 bits of its digest.
    pub digest: u64,
    /// When, µs by that clock.
    pub at: u64,
}

/// Bytes of the nodes of a host, by datagrams and streams: sent and received.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Flow {
    /// All nodes together.
    pub all: (u64, u64),
    /// The most of one node in one second.
    pub worst: (u64, u64),
}

/// What the nodes of a host did with the configuration since the last look.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Versions {
    /// Versions that came in force.
    pub reached: Vec<Reached>,
    /// Asks by streams.
    pub fetched: Vec<Fetched>,
    /// Bytes.
    pub flow: Flow,
    /// Nodes that started without the newest version, as it did not come in time.
    pub alone: u64,
    /// Chunks that were other than those of the same version from elsewhere.
    pub unlike: u64,
}

impl Versions {
    /// What another host saw, too.
    pub fn add(&mut self, other: Versions) {
        self.reached.extend(other.reached);
        self.fetched.extend(other.fetched);
        let (a, b) = (&mut self.flow, other.flow);
        a.all = (a.all.0 + b.all.0, a.all.1 + b.all.1);
        a.worst = (a.worst.0.max(b.worst.0), a.worst.1.max(b.worst.1));
        self.alone += other.alone;
        self.unlike += other.unlike;
    }
}

/// What the nodes of a host have in common.
#[derive(Default)]
pub struct Shared {
    /// The newest version that any of them has come to.
    pub newest: ConfigVersion,
    snapshots: BTreeMap<Revision, Same>,
    /// What they did since the last look.
    pub versions: Versions,
}

/// A snapshot as the first node that got it had it.
#[derive(Default)]
struct Same {
    chunks: Vec<Bytes>,
    assembly: SnapshotAssembler,
    whole: Option<ConfigVersion>,
}

/// Counts a node's bytes by seconds.
#[derive(Default)]
pub struct Meter {
    second: Cell<u64>,
    now: Cell<(u64, u64)>,
}

impl Meter {
    /// So many were sent and received at that moment.
    pub fn count(&self, flow: &RefCell<Flow>, at: LeaseInstant, (sent, received): (u64, u64)) {
        let second = at.0 / 1_000_000;
        let now = if self.second.replace(second) == second { self.now.get() } else { (0, 0) };
        let now = (now.0 + sent, now.1 + received);
        self.now.set(now);
        let mut flow = flow.borrow_mut();
        flow.all = (flow.all.0 + sent, flow.all.1 + received);
        flow.worst = (flow.worst.0.max(now.0), flow.worst.1.max(now.1));
    }
}

/// What a node has of the configuration.
pub struct Following {
    world: Rc<World>,
    node: usize,
    lot: u64,
    spread: RolloutSettings,
    follower: RefCell<Follower>,
    bell: Notify,
    to: Cell<usize>,
    clock: LeaseClock,
    /// How far a snapshot that comes in chunks is.
    snapshot: Cell<Option<(Revision, u32)>>,
    /// Its bytes.
    pub meter: Meter,
}

/// What a node begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Begin {
    /// The newest version that its host knows.
    Warm,
    /// Nothing: it fetches the newest version before anything else, as a process that starts does.
    Cold,
}

fn pace(spread: RolloutSettings) -> FetchSchedule {
    FetchSchedule { spread: spread.within, ..FetchSchedule::default() }
}

impl Following {
    /// That of a node; `lot` tells it from others.
    #[must_use]
    pub fn new(world: Rc<World>, node: usize, lot: u64, spread: RolloutSettings, begin: Begin) -> Following {
        let version = match begin {
            Begin::Warm => world.catalog.borrow().newest.clone(),
            Begin::Cold => ConfigVersion::default(),
        };
        let keepers = world.fleet.keepers.len().max(1) as u64;
        Following {
            follower: RefCell::new(Follower::new(pace(spread), lot, version)),
            to: Cell::new((lot % keepers) as usize),
            world,
            node,
            lot,
            spread,
            bell: Notify::new(),
            clock: LeaseClock::new(1.0),
            snapshot: Cell::new(None),
            meter: Meter::default(),
        }
    }

    fn now(&self) -> Micros {
        self.clock.now() - LeaseInstant(0)
    }

    fn keepers(&self) -> Vec<SocketAddr> {
        self.world.fleet.keepers.values().copied().collect()
    }

    /// A keeper says which version it has.
    pub fn heard(&self, heard: Advertised) {
        self.follower.borrow_mut().receive_advertisement(self.now(), heard);
        self.bell.notify_one();
    }

    /// What the node says of itself beside its asks.
    #[must_use]
    pub fn standing(&self, holder: &holdlift::fleet::LeaseHolderId) -> VersionStatus {
        let follower = self.follower.borrow();
        let here = follower.in_force();
        let refused = follower.rejection().map(|why| (here.revision(), why.to_string()));
        VersionStatus::new(holder.clone(), (here.revision(), here.digest().first_64_bits()), refused)
    }

    fn note(&self, keeper: usize, from: LeaseInstant, bytes: (u64, u64), how: How) {
        let now = self.clock.now();
        self.meter.count(&self.world.flow, now, bytes);
        let fetched = Fetched { keeper, span: (from.0, now.0), bytes, how };
        self.world.catalog.borrow_mut().versions.fetched.push(fetched);
    }

    /// One ask by a line, which is made where there is none.
    async fn ask(&self, line: &mut Option<Fetcher>, what: FetchRequest) -> FetchResult {
        let (keepers, from) = (self.keepers(), self.clock.now());
        let to = self.to.get() % keepers.len().max(1);
        let patience = Duration::from_micros(pace(self.spread).response_timeout.0);
        let span = {
            let follower = self.follower.borrow();
            let here = follower.in_force().revision();
            (here, follower.newest().map_or(here, |n| n.revision))
        };
        let fetcher = line.get_or_insert_with(|| Fetcher::new(keepers[to]));
        let before = fetcher.transferred_bytes();
        let got = fetcher.fetch(what, span, patience).await;
        let after = fetcher.transferred_bytes();
        let how = match &got {
            FetchResult::Changes(_) => How::Changes,
            FetchResult::Response(FetchResponse::Chunks(_)) => How::Chunks,
            FetchResult::Response(FetchResponse::RetryAfter(_)) => How::Later,
            FetchResult::Response(
                FetchResponse::SnapshotRequired
                | FetchResponse::SnapshotExpired
                | FetchResponse::NothingNewer,
            ) => How::Nothing,
            FetchResult::Response(_) => How::Failed,
        };
        self.note(to, from, (after.0 - before.0, after.1 - before.1), how);
        if matches!(
            &got,
            FetchResult::Response(
                FetchResponse::Failed
                    | FetchResponse::RetryAfter(_)
                    | FetchResponse::NothingNewer
                    | FetchResponse::SnapshotExpired
            )
        ) {
            *line = None;
            self.to.set(self.to.get().wrapping_add(1));
        }
        got
    }

    /// Fetches, and takes in what comes, step by step.
    async fn fetch(&self, line: &mut Option<Fetcher>, what: FetchRequest) -> FetchOutcome {
        // A snapshot that broke off goes on where it broke.
        let so_far = self.snapshot.get().filter(|_| matches!(what, FetchRequest::Chunks { .. }));
        let mut what =
            so_far.map_or(what, |(of, from)| FetchRequest::Chunks { revision: Some(of), from_chunk: from });
        let given = loop {
            match self.ask(line, what).await {
                FetchResult::Changes(all) => break read(&all),
                FetchResult::Response(FetchResponse::Chunks(all)) => match self.take(&all) {
                    Ok(Some(whole)) => {
                        self.snapshot.set(None);
                        self.begin_anew(whole);
                        return FetchOutcome::RequestAgain;
                    }
                    Ok(None) => {
                        let Some((of, from)) = self.snapshot.get() else { break FetchResponse::Failed };
                        what = FetchRequest::Chunks { revision: Some(of), from_chunk: from };
                    }
                    Err(()) => {
                        self.snapshot.set(None);
                        self.world.catalog.borrow_mut().versions.unlike += 1;
                        break FetchResponse::Failed;
                    }
                },
                FetchResult::Response(FetchResponse::SnapshotExpired) => {
                    self.snapshot.set(None);
                    break FetchResponse::SnapshotExpired;
                }
                FetchResult::Response(given) => break given,
            }
            yield_now().await;
        };
        let took = self.follower.borrow_mut().receive_response(self.now(), given);
        self.take_in(took).await
    }

    /// Takes in the rest of an answer.
    async fn take_in(&self, mut took: FetchOutcome) -> FetchOutcome {
        while took == FetchOutcome::InProgress {
            yield_now().await;
            took = self.follower.borrow_mut().process_response(self.now());
        }
        took
    }

    /// Takes chunks in: the first node of the host that has one takes it apart, for all others it has to be the same.
    fn take(&self, all: &[Bytes]) -> Result<Option<ConfigVersion>, ()> {
        let mut shared = self.world.catalog.borrow_mut();
        let mut whole = None;
        for chunk in all {
            // The head's version and number, as `src/catalog/snapshot.rs` writes them.
            let of = chunk.get(4..12).and_then(|b| b.try_into().ok()).map(u64::from_be_bytes).ok_or(())?;
            let of = Revision(of);
            let next = match self.snapshot.get() {
                Some((known, next)) if known == of => next,
                _ => 0,
            };
            if !shared.snapshots.contains_key(&of) && shared.snapshots.len() >= SNAPSHOTS {
                shared.snapshots.pop_first();
            }
            let same = shared.snapshots.entry(of).or_default();
            match same.chunks.get(next as usize) {
                Some(known) if known == chunk => {}
                Some(_) => return Err(()),
                None => {
                    if let AssemblyProgress::Complete(catalog) =
                        same.assembly.add_chunk(chunk).map_err(drop)?
                    {
                        same.whole = Some(*catalog);
                    }
                    same.chunks.push(chunk.clone());
                }
            }
            self.snapshot.set(Some((of, next + 1)));
            whole = same.whole.clone().filter(|_| next as usize + 1 == same.chunks.len());
        }
        Ok(whole)
    }

    /// A snapshot is there: the node goes on from it. What was heard of later versions is not forgotten, and what lies
    /// between is asked for at once, as the rest of one answer is.
    fn begin_anew(&self, version: ConfigVersion) {
        let now = self.now();
        let mut follower = self.follower.borrow_mut();
        if version.revision() <= follower.in_force().revision() {
            let _ = follower.receive_response(now, FetchResponse::NothingNewer);
            return;
        }
        let newest = follower.newest();
        let at_once = newest.is_some_and(|n| n.revision > version.revision());
        let mut pace = pace(self.spread);
        if at_once {
            pace.spread = Micros(0);
        }
        *follower = Follower::new(pace, self.lot, version);
        if let Some(heard) = newest {
            follower.receive_advertisement(now, heard);
        }
        drop(follower);
        self.in_force();
    }

    /// What is ready is in force from now on.
    fn adopt(&self) {
        drop(self.follower.borrow_mut().confirm_adopted(self.now()));
        self.in_force();
    }

    fn in_force(&self) {
        let mut follower = self.follower.borrow_mut();
        let here = follower.in_force().clone();
        let mut shared = self.world.catalog.borrow_mut();
        shared.versions.reached.push(Reached {
            node: self.node,
            revision: here.revision().0,
            digest: here.digest().first_64_bits(),
            at: self.clock.now().0,
        });
        if here.revision() > shared.newest.revision() {
            shared.newest = here;
            return;
        }
        // Another node's copy of the same: this one's own goes, or 900 nodes would have 900 wholes in few processes.
        let same = (here.revision(), here.digest()) == (shared.newest.revision(), shared.newest.digest());
        let newest = follower.newest().filter(|n| n.revision == here.revision());
        if let (true, Some(heard)) = (same, newest) {
            let lot = self.lot ^ here.revision().0.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            *follower = Follower::new(pace(self.spread), lot, shared.newest.clone());
            follower.receive_advertisement(self.now(), heard);
        }
    }

    /// The highest number that any keeper says; all are asked at once.
    async fn newest(&self) -> Option<Advertised> {
        let asked = self.keepers().into_iter().enumerate().map(async |(keeper, at)| {
            let (from, mut fetcher) = (self.clock.now(), Fetcher::new(at));
            let heard = fetcher.newest(NEWEST).await;
            let how = if heard.is_some() { How::Newest } else { How::NoNewest };
            self.note(keeper, from, fetcher.transferred_bytes(), how);
            heard
        });
        futures_util::future::join_all(asked).await.into_iter().flatten().max_by_key(|h| h.revision)
    }

    /// Comes to the newest version before anything else, as a process that starts does, or goes without it.
    pub async fn start(&self) {
        let (begun, within) = (Instant::now(), Duration::from_micros(self.spread.start.0));
        let heard = timeout(within, async {
            loop {
                if let Some(heard) = self.newest().await {
                    return heard;
                }
                sleep(NEWEST_AGAIN).await;
            }
        })
        .await;
        let Ok(heard) = heard else {
            self.world.catalog.borrow_mut().versions.alone += 1;
            return;
        };
        if heard.revision == Revision::default() {
            return;
        }
        self.follower.borrow_mut().receive_advertisement(self.now(), heard);
        let fetched = async {
            let mut line = None;
            while self.follower.borrow().in_force().revision() < heard.revision {
                self.step(&mut line).await;
            }
        };
        if timeout(within.saturating_sub(begun.elapsed()), fetched).await.is_err() {
            self.world.catalog.borrow_mut().versions.alone += 1;
        }
    }

    /// Does what the follower says next, or waits; true where another version came in force.
    async fn step(&self, line: &mut Option<Fetcher>) -> bool {
        let now = self.now();
        let fetch = self.follower.borrow_mut().poll_request(now);
        let before = self.follower.borrow().in_force().revision();
        if let Some(fetch) = fetch {
            if self.fetch(line, fetch).await == FetchOutcome::Ready {
                self.adopt();
            }
            return self.follower.borrow().in_force().revision() > before;
        }
        let next = self.follower.borrow().next_timeout();
        let wait = next.map_or(Duration::from_secs(3_600), |at| Duration::from_micros((at - now).0 + 1));
        // A line that is not in use holds a place at a keeper that another node could have.
        if wait > IDLE {
            *line = None;
        }
        let _ = timeout(wait, self.bell.notified()).await;
        false
    }
}

fn read(all: &[Vec<u8>]) -> FetchResponse {
    let read: Result<Vec<ChangeSet>, _> = all.iter().map(|bytes| ChangeSet::decode(bytes)).collect();
    read.map_or(FetchResponse::Failed, FetchResponse::Changes)
}

/// Follows the agreed versions until the task is dropped.
pub async fn follow(me: Rc<RefCell<Hollow>>) {
    let Some(following) = me.borrow().following.clone() else { return };
    let mut line = None;
    // A start that ran out of time may have left an answer half taken in.
    if following.take_in(FetchOutcome::InProgress).await == FetchOutcome::Ready {
        following.adopt();
    }
    loop {
        if following.step(&mut line).await {
            me.borrow().stand();
        }
    }
}
