//! Which processes are up: SWIM membership (Das et al., 2002) by `foca`, and anti-entropy for updates that gossip missed.
//!
//! It is a failure detector and may be wrong: no permit or lease is freed because of it. A process that was only stopped
//! refutes its failure under a new incarnation. Invariant: an old incarnation never replaces a newer one.
//!
//! With gossip alone some processes miss updates, and a partitioned fleet would stay partitioned after the network heals. So
//! each process fetches missing members from others (`anti_entropy`), and announces itself to the replicas that it does not
//! know (`docs/design/membership.md`). No I/O; the caller passes datagrams and the time.

mod anti_entropy;

pub use self::anti_entropy::ANTI_ENTROPY_PREFIX;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{AccumulatingRuntime, Foca, Identity, NoCustomBroadcast, PeriodicParams, PostcardCodec, Timer};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use self::anti_entropy::{KnownMember, PartitionDigests, RepairEnvelope, RepairMessage, RepairSchedule};
use crate::fleet::LeaseInstant;
use crate::fleet::datagram::FRAME_MAX;
use crate::interface::Micros;

/// Most members; further ones are not added. Two to three times the largest fleet.
const MEMBERS_MAX: usize = 16_384;
/// Largest membership message, bytes; the rest of the frame is for its header and checksum.
const MESSAGE_MAX: usize = FRAME_MAX - 32;
/// Interval at which a process probes one other process.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time that a probe's acknowledgement may take before other members are asked to probe the same one.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a member is suspected before it counts as down.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Times that each process gossips an update. With more, updates would fill the frames for minutes after all processes have
/// started. A process that misses an update fetches it by anti-entropy.
const TRANSMISSIONS: u8 = 5;
/// Time for which a member that is down is remembered, so that an old update does not bring it back.
const REMEMBER_DOWN: Duration = Duration::from_secs(60);
/// Intervals of `foca`'s periodic messages, ms.
const ANNOUNCE_INTERVAL_MS: u64 = 10_000;
const ANNOUNCE_TO_DOWN_INTERVAL_MS: u64 = 5_000;
const GOSSIP_INTERVAL_MS: u64 = 500;
/// Interval at which a process that knows no member announces itself to a replica: the first announcement may be lost.
const ANNOUNCE_ALONE_INTERVAL: Micros = Micros::from_millis(1_000);
/// Mean interval at which a process that knows members, but not all replicas, announces itself to an unknown replica.
const ANNOUNCE_UNKNOWN_INTERVAL: Micros = Micros::from_millis(10_000);

/// The role of a process in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// The process serves requests.
    Node,
    /// The process replicates the lease ledger.
    Replica,
}

impl Role {
    /// Returns the role's name on the control address and in log lines.
    #[must_use]
    pub fn control_name(self) -> &'static str {
        match self {
            Role::Node => "node",
            Role::Replica => "keeper",
        }
    }
}

/// One process of the fleet, as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the process.
    pub name: String,
    /// Time of the process's start, µs of Unix time, plus one for each refutation.
    pub incarnation: u64,
    /// Address at which the process receives datagrams.
    pub addr: SocketAddr,
    /// Role of the process in the fleet.
    pub role: Role,
    /// Zone of the process; may be empty.
    pub zone: String,
    /// Region of the process; may be empty.
    pub region: String,
}

impl Member {
    /// Returns a replica of which only the configured name and address are known.
    #[must_use]
    pub fn seed(name: &str, addr: SocketAddr) -> Member {
        let (zone, region) = (String::new(), String::new());
        Member { name: name.to_owned(), incarnation: 0, addr, role: Role::Replica, zone, region }
    }
}

impl Identity for Member {
    /// The address and the hash of the name, as it is compared with those of all members for each update.
    type Addr = (SocketAddr, u64);

    fn renew(&self) -> Option<Member> {
        Some(Member { incarnation: self.incarnation.saturating_add(1), ..self.clone() })
    }

    fn addr(&self) -> Self::Addr {
        (self.addr, anti_entropy::name_hash(&self.name))
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        self.incarnation > other.incarnation
    }
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A member is up.
    Up(Member),
    /// A member counts as down.
    Down(Member),
    /// Other members had counted this process as down, and it has refuted that.
    Refuted,
}

/// An action that the caller is to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send these bytes to that member.
    Send(Member, Vec<u8>),
    /// Report a change of the membership.
    Notify(MembershipChange),
}

/// The members, as this process knows them.
pub struct Members {
    foca: Foca<Member, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    /// Timers of `foca` by due time and a serial number.
    timers: BTreeMap<(LeaseInstant, u64), Timer<Member>>,
    last_timer: u64,
    runtime: AccumulatingRuntime<Member>,
    /// The fleet's replicas, whose addresses are configured.
    replicas: Vec<Member>,
    /// When this process next checks whether it knows all replicas.
    next_replica_check: LeaseInstant,
    repair: RepairSchedule,
    rng: ChaCha8Rng,
    has_left: bool,
    /// Messages that could not be decoded or handled, or arrived when the table was full.
    pub dropped: u64,
}

fn foca_config() -> foca::Config {
    let one = NonZeroUsize::MIN;
    let periodic = |ms| Some(PeriodicParams { frequency: Duration::from_millis(ms), num_members: one });
    foca::Config {
        probe_period: PROBE_INTERVAL,
        probe_rtt: PROBE_TIMEOUT,
        num_indirect_probes: NonZeroUsize::MIN.saturating_add(2),
        max_transmissions: NonZeroU8::MIN.saturating_add(TRANSMISSIONS - 1),
        suspect_to_down_after: SUSPECT_TIMEOUT,
        remove_down_after: Some(REMEMBER_DOWN),
        max_packet_size: NonZeroUsize::new(MESSAGE_MAX).unwrap_or(one),
        notify_down_members: true,
        periodic_announce: periodic(ANNOUNCE_INTERVAL_MS),
        periodic_announce_to_down_members: periodic(ANNOUNCE_TO_DOWN_INTERVAL_MS),
        periodic_gossip: periodic(GOSSIP_INTERVAL_MS),
    }
}

impl Members {
    /// Returns a table with this process alone. `seed` is for the random selection of peers.
    #[must_use]
    pub fn new(local_member: Member, seed: u64) -> Members {
        let foca_rng = ChaCha8Rng::seed_from_u64(seed);
        Members {
            foca: Foca::new(local_member, foca_config(), foca_rng, PostcardCodec),
            timers: BTreeMap::new(),
            last_timer: 0,
            runtime: AccumulatingRuntime::new(),
            replicas: Vec::new(),
            next_replica_check: LeaseInstant(0),
            repair: RepairSchedule::default(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            has_left: false,
            dropped: 0,
        }
    }

    /// Sets the fleet's replicas, except the one with this process's name. This process announces itself to those that it
    /// does not know.
    #[must_use]
    pub fn with_replicas(mut self, replicas: impl IntoIterator<Item = Member>) -> Members {
        let others = replicas.into_iter().filter(|replica| replica.name != self.local_member().name);
        self.replicas = others.collect();
        self
    }

    /// Returns this process.
    #[must_use]
    pub fn local_member(&self) -> &Member {
        self.foca.identity()
    }

    /// Returns the other members that count as up.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(foca::Member::id)
    }

    /// Announces this process to a member by its address; the member's incarnation need not be known.
    pub fn announce(&mut self, now: LeaseInstant, to: Member, actions: &mut Vec<MembershipAction>) {
        let result = self.foca.announce(to, &mut self.runtime);
        self.dropped += u64::from(result.is_err());
        self.collect_actions(now, actions);
    }

    /// Handles a message of another process.
    pub fn handle_message(&mut self, now: LeaseInstant, message: &[u8], actions: &mut Vec<MembershipAction>) {
        let is_full = self.foca.num_members() >= MEMBERS_MAX;
        match message.strip_prefix(&ANTI_ENTROPY_PREFIX) {
            Some(rest) if !self.has_left => match RepairEnvelope::decode(rest) {
                Some(envelope) if envelope.sender.addr() != self.local_member().addr() && !is_full => {
                    self.handle_repair(now, envelope, actions);
                }
                _ => self.dropped += 1,
            },
            Some(_) => {}
            None if is_full || self.foca.handle_data(message, &mut self.runtime).is_err() => {
                self.dropped += 1;
            }
            None => {}
        }
        self.collect_actions(now, actions);
    }

    /// Returns when [`Members::run_due_timers`] is to be called.
    #[must_use]
    pub fn next_timeout(&self) -> Option<LeaseInstant> {
        let timer = self.timers.first_key_value().map(|((at, _), _)| *at);
        let own = self.repair.next_request_at().min(self.next_replica_check);
        if self.has_left { timer } else { Some(timer.map_or(own, |at| at.min(own))) }
    }

    /// Runs the timers that are due at `now`, and sends the announcement and the list digest where they are due.
    pub fn run_due_timers(&mut self, now: LeaseInstant, actions: &mut Vec<MembershipAction>) {
        while let Some(due) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let timer = due.remove();
            self.dropped += u64::from(self.foca.handle_timer(timer, &mut self.runtime).is_err());
            self.collect_actions(now, actions);
        }
        if self.has_left {
            return;
        }
        if self.next_replica_check <= now {
            self.check_replicas(now, actions);
        }
        if self.repair.next_request_at() <= now {
            self.repair.record_request(now, self.rng.random());
            if let Some(peer) = self.foca.iter_members().map(foca::Member::id).choose(&mut self.rng) {
                let digest = PartitionDigests::of(self.members_up()).list_digest();
                self.send_repair(peer.clone(), RepairMessage::ListDigest(digest), actions);
            }
        }
    }

    /// Announces this process to a replica that it does not know. A process that knows no replica of another region may be
    /// partitioned from that region, and members there may have removed it. One side has to send first, and all processes
    /// know the replicas' addresses.
    fn check_replicas(&mut self, now: LeaseInstant, actions: &mut Vec<MembershipAction>) {
        let is_alone = self.foca.num_members() == 0;
        let is_unknown =
            |replica: &&Member| !self.foca.iter_members().any(|m| m.id().addr() == replica.addr());
        let unknown = self.replicas.iter().filter(is_unknown).choose(&mut self.rng).cloned();
        let wait = if is_alone {
            ANNOUNCE_ALONE_INTERVAL.0
        } else {
            ANNOUNCE_UNKNOWN_INTERVAL.0 / 2 + self.rng.random_range(0..ANNOUNCE_UNKNOWN_INTERVAL.0)
        };
        self.next_replica_check = now + Micros(wait);
        if let Some(replica) = unknown {
            self.announce(now, replica, actions);
        }
    }

    /// Returns all members that are up, including this process.
    fn members_up(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(self.local_member()).chain(self.peers())
    }

    fn send_repair(&self, to: Member, message: RepairMessage, actions: &mut Vec<MembershipAction>) {
        let envelope = RepairEnvelope { sender: self.local_member().clone(), message };
        actions.extend(envelope.encode().map(|bytes| MembershipAction::Send(to, bytes)));
    }

    /// Sends a response where the limit on bytes per second allows it. `reply_bytes` is the most that the receiver sends
    /// back; it counts against the limit too.
    fn respond_repair(
        &mut self,
        now: LeaseInstant,
        to: &Member,
        message: RepairMessage,
        reply_bytes: usize,
        actions: &mut Vec<MembershipAction>,
    ) {
        let envelope = RepairEnvelope { sender: self.local_member().clone(), message };
        let encoded = envelope.encode();
        if let Some(bytes) = encoded.filter(|b| self.repair.try_respond(now, b.len() + reply_bytes)) {
            actions.push(MembershipAction::Send(to.clone(), bytes));
        }
    }

    fn all_known(&self) -> impl Iterator<Item = KnownMember> {
        let local = KnownMember::Up(self.local_member().clone(), 0);
        let peers = self.foca.iter_membership_state().map(|member| match member.state() {
            foca::State::Down => KnownMember::Down(member.id().clone()),
            foca::State::Alive | foca::State::Suspect => {
                KnownMember::Up(member.id().clone(), member.incarnation())
            }
        });
        std::iter::once(local).chain(peers)
    }

    fn handle_repair(
        &mut self,
        now: LeaseInstant,
        RepairEnvelope { sender, message }: RepairEnvelope,
        actions: &mut Vec<MembershipAction>,
    ) {
        match message {
            RepairMessage::ListDigest(theirs) => {
                let digests = PartitionDigests::of(self.members_up());
                if digests.list_digest() != theirs {
                    let reply_bytes = anti_entropy::PARTITIONS_WANTED_MAX;
                    self.respond_repair(now, &sender, digests.into_message(), reply_bytes, actions);
                }
            }
            RepairMessage::PartitionDigests(theirs) => {
                let digests = PartitionDigests::of(self.members_up());
                let start = self.rng.random();
                let wanted = anti_entropy::partitions_wanted(&digests, &theirs, start, self.members_up());
                if let Some(message) = wanted {
                    self.send_repair(sender, message, actions);
                }
            }
            RepairMessage::PartitionsWanted(wanted) => {
                for message in anti_entropy::missing_members(&wanted, self.all_known()) {
                    self.respond_repair(now, &sender, message, 0, actions);
                }
            }
            RepairMessage::Members { labels, records, is_truncated } => {
                let received = anti_entropy::decode_records(&labels, records);
                self.learn_members(now, received, is_truncated);
            }
        }
    }

    /// Adds or updates the members that another process has sent.
    fn learn_members(
        &mut self,
        now: LeaseInstant,
        received: impl Iterator<Item = KnownMember>,
        is_truncated: bool,
    ) {
        let members_before = self.foca.num_members();
        let room = MEMBERS_MAX.saturating_sub(members_before);
        let updates = received.take(room).map(|known| match known {
            KnownMember::Up(member, refutations) => {
                foca::Member::new(member, refutations, foca::State::Alive)
            }
            KnownMember::Down(member) => foca::Member::down(member),
        });
        // The updates are not gossiped: a process that lacks them fetches them by anti-entropy.
        if self.foca.apply_many(updates, false, &mut self.runtime).is_err() {
            self.dropped += 1;
        }
        if is_truncated || self.foca.num_members() != members_before {
            let random = self.rng.random();
            self.repair.record_learned(now, random);
        }
    }

    /// Leaves the fleet and notifies other members.
    pub fn leave(&mut self, now: LeaseInstant, actions: &mut Vec<MembershipAction>) {
        self.has_left = true;
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.collect_actions(now, actions);
    }

    /// Moves what `foca` has produced to the timers and the actions.
    fn collect_actions(&mut self, now: LeaseInstant, actions: &mut Vec<MembershipAction>) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            actions.push(MembershipAction::Send(to, bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.last_timer += 1;
            let after = Micros(u64::try_from(after.as_micros()).unwrap_or(u64::MAX));
            self.timers.insert((now + after, self.last_timer), timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            use foca::OwnedNotification::{MemberDown, MemberUp, Rejoin, Rename};
            actions.push(MembershipAction::Notify(match notification {
                MemberUp(member) | Rename(_, member) => MembershipChange::Up(member),
                MemberDown(member) => MembershipChange::Down(member),
                Rejoin(_) => MembershipChange::Refuted,
                _ => continue,
            }));
        }
    }
}

#[cfg(test)]
mod tests;
