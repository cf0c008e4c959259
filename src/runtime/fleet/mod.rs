//! This process as a member of its fleet: carries datagrams between it, the replicas of the lease ledger, and other members.
//!
//! [`LeaseHolder`] decides how much of a budget may be used, [`LeaderTracker`] which replica receives requests, and
//! [`Members`] which processes are members. No function here waits for a response: the next datagram makes up for a
//! lost one.

mod config_follower;
mod status_report;
pub(super) mod version_settings;
mod zone_follower;

pub(super) use config_follower::follow_versions;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::{debug, info, warn};

use super::clock::LeaseClock;
use super::{Event, Runtime};
use crate::config::fleet as fleet_config;
use crate::config::tiers::Tiers;
use crate::config_store::Advertised;
use crate::dependencies::quota::FleetQuota;
use crate::fleet::datagram::{DatagramCodec, FRAME_MAX, FleetMessage};
use crate::fleet::leader_tracker::LeaderTracker;
use crate::fleet::lease::holder::LeaseHolder;
use crate::fleet::membership::{Member, Members, MembershipAction, MembershipChange, Role};
use crate::fleet::{LeaseHolderId, LeaseInstant, NAME_MAX};
use crate::interface::{Micros, Settings, TenantId};
use crate::log::LogRateLimiter;
use crate::time::process;
use crate::zone::status_cache::ZoneStatusCache;
use config_follower::ConfigFollower;

/// Pause after a failed receive, which is often caused by a peer's closed port.
const RECEIVE_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Why a node can't join its fleet.
#[derive(Debug, thiserror::Error)]
pub(super) enum FleetError {
    /// The node's name does not fit a datagram.
    #[error("the name of a node in a fleet must have 1 to {NAME_MAX} bytes; \"{0}\" does not")]
    Name(String),
    /// The socket could not be bound at the address in the fleet's file.
    #[error("fleet {address}: {reason}")]
    Bind { address: SocketAddr, reason: std::io::Error },
    /// The socket could not be bound at a free port, or its address can't be read.
    #[error(transparent)]
    Socket(#[from] std::io::Error),
}

/// This process's membership of its fleet: its leases, the other members, the zones and the followed configuration.
pub(super) struct Fleet {
    config: fleet_config::Fleet,
    clock: LeaseClock,
    lease_holder: Rc<RefCell<LeaseHolder>>,
    /// The instant at which calls take permits; see [`Fleet::refresh_clock`].
    permit_time: Rc<Cell<LeaseInstant>>,
    /// The budget of each tenant that has a quota.
    budget_by_tenant: RefCell<HashMap<TenantId, usize>>,
    members: RefCell<Members>,
    socket: UdpSocket,
    codec: DatagramCodec,
    leader: RefCell<LeaderTracker>,
    /// Datagrams that were malformed or not meant for a node.
    dropped: Cell<u64>,
    log_limiter: LogRateLimiter,
    /// None where the fleet has no zones.
    zone_status: Option<Rc<RefCell<ZoneStatusCache>>>,
    /// Why the last zone order was not carried out.
    order_rejection: RefCell<Option<String>>,
    /// None where the fleet agrees on no configuration.
    config_follower: Option<ConfigFollower>,
}

/// Receives datagrams for as long as the process lives. Malformed ones are counted and dropped.
pub(super) async fn receive_datagrams(fleet: Rc<Fleet>, events: mpsc::Sender<Event>) {
    let mut buffer = [0; FRAME_MAX + 1];
    loop {
        let Ok((length, from)) = fleet.socket.recv_from(&mut buffer).await else {
            // The error concerns one peer; datagrams of others still arrive.
            sleep(RECEIVE_RETRY_INTERVAL).await;
            continue;
        };
        match fleet.codec.decode(&buffer[..length]) {
            Ok(message) => {
                if events.send(Event::FleetDatagram(message)).await.is_err() {
                    return;
                }
            }
            Err(e) => {
                fleet.dropped.set(fleet.dropped.get() + 1);
                if fleet.log_limiter.permit().is_some() {
                    warn!("datagram from {from}: {e}; {} dropped so far", fleet.dropped.get());
                }
            }
        }
    }
}

impl Fleet {
    /// Binds the socket and prepares leases, membership, zones and configuration. Nothing is sent yet.
    ///
    /// # Errors
    /// [`FleetError`].
    pub async fn open(config: fleet_config::Fleet, name: &str) -> Result<Fleet, FleetError> {
        if !(1..=NAME_MAX).contains(&name.len()) {
            return Err(FleetError::Name(name.to_owned()));
        }
        let socket = bind_socket(config.here.listen).await?;
        let address = socket.local_addr()?;
        let clock = LeaseClock::new(config.here.clock_speed);
        let (now, incarnation) = (clock.now(), process::wall().0);
        let holder = LeaseHolderId { name: name.to_owned(), incarnation };
        let lease_holder =
            LeaseHolder::new(now, holder, config.here.weight, config.bounds, &config.all_budgets());
        let own = Member {
            name: name.to_owned(),
            incarnation,
            addr: address,
            role: Role::Node,
            zone: config.here.zone.clone(),
            region: config.here.region.clone(),
        };
        let replicas = reachable_replicas(&config);
        info!(
            "fleet {}: {name} on {address}, {} budgets, {} replicas",
            config.name,
            config.budgets.len(),
            replicas.len()
        );
        let seeds = config.keepers.iter().map(|(replica, address)| Member::seed(replica, *address));
        let members = Members::new(own, incarnation).with_replicas(seeds);
        let config_follower =
            config.catalog.map(|spread| ConfigFollower::new(spread, incarnation, replicas.len()));
        let leader = LeaderTracker::new(now, replicas, incarnation);
        Ok(Fleet {
            codec: DatagramCodec::for_fleet(&config.name),
            clock,
            lease_holder: Rc::new(RefCell::new(lease_holder)),
            permit_time: Rc::new(Cell::new(now)),
            budget_by_tenant: RefCell::default(),
            members: RefCell::new(members),
            socket,
            leader: RefCell::new(leader),
            dropped: Cell::new(0),
            log_limiter: LogRateLimiter::default(),
            zone_status: zone_follower::zone_status_cache(&config, Micros(now.0)),
            order_rejection: RefCell::default(),
            config_follower,
            config,
        })
    }

    /// A copy of the clock by which leases expire.
    pub fn clock(&self) -> LeaseClock {
        self.clock
    }

    /// Reads the lease clock once; calls take their permits at that instant until the next refresh.
    pub fn refresh_clock(&self) {
        self.permit_time.set(self.clock.now());
    }

    /// The budgets that calls to these tiers take permits from.
    pub fn quota(&self, tiers: &Tiers) -> FleetQuota {
        FleetQuota::new(self.lease_holder.clone(), self.permit_time.clone(), self.config.quota_by_tier(tiers))
    }

    /// Maps the tenants of the settings in force to the budgets of their quotas.
    pub fn update_tenant_budgets(&self, settings: &Settings) {
        *self.budget_by_tenant.borrow_mut() = self.config.budget_by_tenant(settings);
    }

    /// Takes a permit for a tenant's request from the tenant's quota, if it has one, at the lease clock's current time. True if
    /// no permit was left.
    pub fn charge_tenant(&self, tenant: TenantId) -> bool {
        let budget = self.budget_by_tenant.borrow().get(&tenant).copied();
        budget.is_some_and(|budget| {
            self.lease_holder.borrow_mut().acquire(self.clock.now(), &[budget]).is_err()
        })
    }

    fn lease_request_due(&self) -> LeaseInstant {
        self.lease_holder
            .borrow()
            .next_request_at()
            .min(self.leader.borrow().next_request_at(self.config.bounds.lease_duration))
    }

    /// How long until the next timer is due.
    pub fn time_to_next_timer(&self) -> Micros {
        let members = self.members.borrow().next_timeout().unwrap_or(LeaseInstant(u64::MAX));
        (self.lease_request_due().min(members) - self.clock.now()).min(self.time_to_zone_timer())
    }

    /// Handles the notice to leave: this process takes no new leases.
    pub fn begin_leaving(&self) {
        self.lease_holder.borrow_mut().start_drain();
    }

    /// Returns the unused part of all leases and notifies the other members, as the process ends.
    pub fn shut_down(&self) {
        self.lease_holder.borrow_mut().close();
        self.request_leases();
        // Sent to all replicas as well: it can't be repeated later, and if it is lost the lease has to expire.
        let leader = self.leader.borrow();
        for address in leader.replica_addrs() {
            let _ = self.socket.try_send_to(leader.frame(), address);
        }
        let mut actions = Vec::new();
        self.members.borrow_mut().leave(self.clock.now(), &mut actions);
        self.carry_out(actions);
    }

    fn request_leases(&self) {
        let now = self.clock.now();
        let request = self.lease_holder.borrow_mut().next_request(now);
        let Ok(frame) = self.codec.encode(&FleetMessage::LeaseRequest(request)) else { return };
        let mut leader = self.leader.borrow_mut();
        leader.record_request(now, frame);
        self.send_to_leader(&leader);
        drop(leader);
        self.report_version();
    }

    fn send_to_leader(&self, leader: &LeaderTracker) {
        if let Some(address) = leader.current() {
            let _ = self.socket.try_send_to(leader.frame(), address);
        }
    }

    fn run_timers(&self) {
        let now = self.clock.now();
        if self.lease_request_due() <= now {
            self.request_leases();
        }
        let mut actions = Vec::new();
        self.members.borrow_mut().run_due_timers(now, &mut actions);
        self.carry_out(actions);
        self.report_zone_health();
    }

    fn handle_message(&self, message: FleetMessage) {
        match message {
            FleetMessage::LeaseResponse(response) => {
                let before: Vec<u32> = self.limits();
                if !self.lease_holder.borrow_mut().accept_response(&response) {
                    return;
                }
                self.leader.borrow_mut().record_response();
                let after = self.limits();
                if before != after {
                    debug!(epoch = response.epoch, "lease limits {before:?} -> {after:?}");
                }
            }
            FleetMessage::NotLeader { leader: name, .. } => {
                let mut leader = self.leader.borrow_mut();
                if leader.follow_leader(name.as_deref()) {
                    self.send_to_leader(&leader);
                }
            }
            FleetMessage::Gossip(bytes) => {
                let mut actions = Vec::new();
                self.members.borrow_mut().handle_message(self.clock.now(), &bytes, &mut actions);
                self.carry_out(actions);
            }
            FleetMessage::Zones(statuses) => self.update_zone_statuses(&statuses),
            FleetMessage::OrderRejected(reason) => {
                warn!("zone order not carried out: {reason}");
                self.order_rejection.replace(Some(reason));
            }
            FleetMessage::NewestVersion { revision, digest } => {
                self.receive_advertisement(Advertised { revision, digest });
            }
            FleetMessage::LeaseRequest(_)
            | FleetMessage::ZoneHealth { .. }
            | FleetMessage::ZoneOrder { .. }
            | FleetMessage::VersionStatus(_) => {
                self.dropped.set(self.dropped.get() + 1);
            }
        }
    }

    fn limits(&self) -> Vec<u32> {
        let lease_holder = self.lease_holder.borrow();
        lease_holder.status(self.clock.now()).map(|(_, status)| status.limit).collect()
    }

    fn carry_out(&self, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send(to, bytes) => {
                    let address = self.config.here.reach.get(&to.name).copied().unwrap_or(to.addr);
                    if let Ok(frame) = self.codec.encode(&FleetMessage::Gossip(bytes)) {
                        let _ = self.socket.try_send_to(&frame, address);
                    }
                }
                MembershipAction::Notify(change) => log_membership_change(&change),
            }
        }
    }
}

/// Binds a socket at that address, or at a free port if the address is in use, most likely by the process that this one
/// replaces.
async fn bind_socket(address: SocketAddr) -> Result<UdpSocket, FleetError> {
    match UdpSocket::bind(address).await {
        Ok(socket) => Ok(socket),
        Err(e) if e.kind() == ErrorKind::AddrInUse => Ok(UdpSocket::bind((address.ip(), 0)).await?),
        Err(reason) => Err(FleetError::Bind { address, reason }),
    }
}

/// The replicas' names and the addresses at which this process reaches them.
fn reachable_replicas(config: &fleet_config::Fleet) -> Vec<(String, SocketAddr)> {
    let reach = &config.here.reach;
    config.keepers.iter().map(|(name, address)| (name.clone(), *reach.get(name).unwrap_or(address))).collect()
}

/// Logs a change of the fleet's membership.
pub(super) fn log_membership_change(change: &MembershipChange) {
    match change {
        MembershipChange::Up(member) => {
            info!(name = %member.name, zone = %member.zone, incarnation = member.incarnation, "member up")
        }
        MembershipChange::Down(member) => {
            info!(name = %member.name, zone = %member.zone, incarnation = member.incarnation, "member down")
        }
        MembershipChange::Refuted => info!("suspected as failed by others; refuted"),
    }
}

impl Runtime {
    /// Handles a datagram of the fleet, if this process belongs to one.
    pub(super) fn handle_fleet_message(&mut self, message: FleetMessage) {
        if let Some(fleet) = &self.fleet {
            fleet.handle_message(message);
        }
    }

    /// Runs the fleet's due timers, and takes this node out of service or back with its zone.
    pub(super) fn run_fleet_timers(&mut self) {
        if let Some(fleet) = &self.fleet {
            fleet.run_timers();
            self.follow_own_zone();
        }
    }

    /// Takes this node out of service or back, as its zone is.
    pub(super) fn follow_own_zone(&mut self) {
        let Some(fleet) = &self.fleet else { return };
        let out_of_service = fleet.is_out_of_service();
        if self.service.with(|s| s.set_zone_out(out_of_service)) {
            let state =
                if out_of_service { "is out of service, as its zone is out" } else { "is in service again" };
            info!("zone: this node {state}");
            self.publish_mode();
        }
    }
}
