//! What all tasks of a replica share: its identity, its clock, the replicated state, and the services on top of it.
//!
//! The replicated state changes through agreed entries only (and the budgets through a reload). No lock is held over an await.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::net::UdpSocket;

use super::config_service::ConfigService;
use super::store::LogStore;
use super::zone_coordinator::ZoneCoordinator;
use super::{RaftHandle, lock, replica_id};
use crate::config::fleet::Fleet;
use crate::fleet::LeaseInstant;
use crate::fleet::datagram::{DatagramCodec, FleetMessage};
use crate::fleet::membership::{Members, MembershipAction};
use crate::fleet::replica_state::ReplicaState;
use crate::interface::Micros;
use crate::runtime::clock::LeaseClock;
use crate::runtime::fleet::log_membership_change;

/// How long a commit confirms this replica's leadership. One that is cut off from the majority goes on believing that it
/// leads; nodes send requests once a second at the least, so that a real leader commits as often.
const LEADERSHIP_CONFIRMED_FOR: Micros = Micros::from_millis(2_000);

/// A running replica.
pub(super) struct ReplicaServer {
    pub(super) name: String,
    pub(super) fleet: Fleet,
    pub(super) clock: LeaseClock,
    state: Arc<Mutex<ReplicaState>>,
    pub(super) raft: RaftHandle,
    pub(super) log_store: LogStore,
    members: Mutex<Members>,
    /// None where the fleet's file has no zones.
    pub(super) zone_coordinator: Option<Mutex<ZoneCoordinator>>,
    pub(super) config_service: ConfigService,
    /// When a majority last committed an entry of this replica, µs of the lease clock.
    last_committed_us: AtomicU64,
}

impl ReplicaServer {
    pub(super) fn new(
        name: String,
        fleet: Fleet,
        clock: LeaseClock,
        state: Arc<Mutex<ReplicaState>>,
        raft: RaftHandle,
        log_store: LogStore,
        members: Members,
    ) -> ReplicaServer {
        ReplicaServer {
            zone_coordinator: fleet.zones.as_ref().map(ZoneCoordinator::new),
            name,
            fleet,
            clock,
            state,
            raft,
            log_store,
            members: Mutex::new(members),
            config_service: ConfigService::default(),
            last_committed_us: AtomicU64::default(),
        }
    }

    /// The replicated state, as far as it has been applied here.
    pub(super) fn state(&self) -> MutexGuard<'_, ReplicaState> {
        lock(&self.state)
    }

    /// The fleet's members, as known here.
    pub(super) fn members(&self) -> MutexGuard<'_, Members> {
        lock(&self.members)
    }

    /// Feeds the membership an event and carries out the actions that it returns.
    pub(super) fn drive_membership(
        &self,
        socket: &UdpSocket,
        feed: impl FnOnce(&mut Members, LeaseInstant, &mut Vec<MembershipAction>),
    ) {
        let (codec, mut actions) = (DatagramCodec::for_fleet(&self.fleet.name), Vec::new());
        let mut members = self.members();
        feed(&mut members, self.clock.now(), &mut actions);
        for action in actions {
            match action {
                MembershipAction::Send(to, bytes) => {
                    let address = self.fleet.here.reach.get(&to.name).copied().unwrap_or(to.addr);
                    if let Ok(frame) = codec.encode(&FleetMessage::Gossip(bytes)) {
                        let _ = socket.try_send_to(&frame, address);
                    }
                }
                MembershipAction::Notify(change) => log_membership_change(&change),
            }
        }
    }

    /// The replica that leads, as far as this one knows.
    pub(super) fn leader(&self) -> Option<String> {
        let leader_id = self.raft.metrics().borrow().current_leader?;
        self.fleet.keepers.keys().find(|name| replica_id(name) == leader_id).cloned()
    }

    /// The term in which this replica leads, if it does.
    pub(super) fn leading_term(&self) -> Option<u64> {
        let metrics = self.raft.metrics();
        let current = metrics.borrow();
        (current.current_leader == Some(replica_id(&self.name))).then_some(current.current_term)
    }

    /// Whether this replica believes that it leads.
    pub(super) fn is_leader(&self) -> bool {
        self.leader().is_some_and(|leader| leader == self.name)
    }

    /// A majority has committed an entry of this replica.
    pub(super) fn note_committed(&self) {
        self.last_committed_us.store(self.clock.now().0, Ordering::SeqCst);
    }

    /// Whether this replica leads, and a majority has confirmed it within [`LEADERSHIP_CONFIRMED_FOR`].
    pub(super) fn is_confirmed_leader(&self) -> bool {
        let last_committed = LeaseInstant(self.last_committed_us.load(Ordering::SeqCst));
        self.is_leader() && self.clock.now() - last_committed <= LEADERSHIP_CONFIRMED_FOR
    }

    /// The address at which this replica reaches another.
    pub(super) fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.fleet.here.reach.get(name).or_else(|| self.fleet.keepers.get(name)).copied()
    }
}
