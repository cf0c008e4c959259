//! One hollow node: the program's own decision code and wire form of the fleet (who is there, shares, zones), on a real
//! socket, and nothing else. It is driven as `src/runtime/fleet` drives a node's part, at the same paces.
//!
//! What it leaves out: requests and all that serves them, settings, the console, the process of its own and what that
//! costs, warnings and logs. Its zones see one good call each in every summary, its shares are spent by a made-up demand.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use holdlift::Micros;
use holdlift::config::fleet::Fleet;
use holdlift::config_store::Advertised;
use holdlift::fleet::datagram::{DatagramCodec, FRAME_MAX, FleetMessage};
use holdlift::fleet::leader_tracker::LeaderTracker;
use holdlift::fleet::lease::holder::{LeaseHolder, Permit, ReleaseEvidence};
use holdlift::fleet::membership::{Member, Members, MembershipAction, MembershipChange, Role};
use holdlift::fleet::{LeaseHolderId, LeaseInstant};
use holdlift::runtime::clock::LeaseClock;
use holdlift::zone::health_report::CallResult;
use holdlift::zone::status_cache::ZoneStatusCache;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::hollow_config::{Begin, Flow, Following, Shared};
use super::hollow_host::{Counts, Setup, Speaks, Sums};

/// Budgets whose shares are followed from moment to moment.
pub const FOLLOWED: usize = 2;
/// A spending of the made-up demand ends well after so long.
const CALL: Micros = Micros::from_millis(300);
/// And a call into a zone.
const ZONE_CALL: Micros = Micros::from_millis(5);
/// Most tokens that one node wants at a time.
const WANTS: u32 = 4;

/// What all nodes of one host share.
pub struct World {
    /// The fleet's file, as a keeper reads it.
    pub fleet: Fleet,
    /// Frames of that fleet.
    pub framing: DatagramCodec,
    /// How it was set up.
    pub setup: Setup,
    /// Real processes by where they take datagrams, and their places in [`Counts`].
    pub real: HashMap<SocketAddr, usize>,
    /// The two regions don't hear each other.
    pub cut: Cell<bool>,
    /// What was carried.
    pub counts: RefCell<Counts>,
    /// What may be spent, over all nodes of the host, from moment to moment.
    pub sums: RefCell<Sums>,
    /// What the nodes have of the configuration in common.
    pub catalog: RefCell<Shared>,
    /// Bytes of all of them.
    pub flow: RefCell<Flow>,
}

/// The loopback address of the hollow nodes of a zone: it says in which zone whoever speaks from it is.
#[must_use]
pub fn address_of(zone: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 200, u8::try_from(zone).unwrap_or(u8::MAX), 1))
}

/// The region that a zone is in: zones go round two regions.
#[must_use]
pub fn side_of(zone: usize) -> usize {
    zone % 2
}

impl World {
    /// The region of whoever is at that address; of a stranger none.
    #[must_use]
    pub fn side(&self, at: SocketAddr) -> Option<usize> {
        if let Some(i) = self.real.get(&at) {
            return self.setup.real.get(*i).map(|r| side_of(r.zone));
        }
        match at.ip() {
            IpAddr::V4(ip) if ip.octets()[..2] == [127, 200] => Some(side_of(usize::from(ip.octets()[2]))),
            _ => None,
        }
    }

    /// The place of a member by its name: hollow nodes first, then real nodes, then keepers.
    #[must_use]
    pub fn place(&self, name: &str) -> Option<usize> {
        let n: usize = name.get(1..)?.parse().ok()?;
        match name.as_bytes()[0] {
            b'h' if n < self.setup.most => Some(n),
            _ => self.setup.real.iter().position(|r| r.name == name).map(|i| self.setup.most + i),
        }
    }
}

/// One node.
pub struct Hollow {
    world: Rc<World>,
    clock: LeaseClock,
    side: usize,
    zone: String,
    /// Its socket.
    pub socket: Rc<UdpSocket>,
    purse: LeaseHolder,
    members: Members,
    view: Option<ZoneStatusCache>,
    line: LeaderTracker,
    /// By place, the incarnation that is known to be there; 0 for nobody.
    known: Vec<u64>,
    /// What it may spend of each followed budget, as last noted, and when that lease ends.
    may: [(u32, LeaseInstant); FOLLOWED],
    /// Its part in the configuration, where the fleet agrees on one.
    pub following: Option<Rc<Following>>,
    draws: ChaCha8Rng,
    spend: LeaseInstant,
    out: BTreeMap<LeaseInstant, Vec<Permit>>,
}

/// One real process, as hollow nodes know it beforehand.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Real {
    /// Its name.
    pub name: String,
    /// Where it takes datagrams.
    pub at: SocketAddr,
    /// Its zone.
    pub zone: usize,
}

impl Hollow {
    /// Opens the socket; it knows nobody yet.
    ///
    /// # Errors
    /// No socket.
    pub async fn open(
        world: Rc<World>,
        index: usize,
        incarnation: u64,
        begin: Begin,
    ) -> std::io::Result<Hollow> {
        let zone = index % world.setup.zones.max(1);
        let socket = UdpSocket::bind((address_of(zone), 0)).await?;
        let (name, label) = (format!("h{index}"), format!("z{zone}"));
        let clock = LeaseClock::new(1.0);
        let now = clock.now();
        let told = &world.fleet;
        let holder = LeaseHolderId { name: name.clone(), incarnation };
        let purse = LeaseHolder::new(now, holder, 1, told.bounds, &told.all_budgets());
        let me = Member {
            name,
            incarnation,
            addr: socket.local_addr()?,
            role: Role::Node,
            zone: label.clone(),
            region: format!("r{}", side_of(zone)),
        };
        let keepers = told.keepers.iter().map(|(k, at)| (k.clone(), *at)).collect();
        let view = told.zones.as_ref().map(|z| {
            let names = z.evaluation.zones.clone();
            ZoneStatusCache::new(micros(now), names, &label, z.decision_lifetime)
        });
        let following = told
            .catalog
            .map(|spread| Rc::new(Following::new(world.clone(), index, incarnation, spread, begin)));
        let all = world.setup.most + world.setup.real.len();
        let mut draws = ChaCha8Rng::seed_from_u64(incarnation);
        let spend = match world.setup.demand_ms {
            0 => LeaseInstant(u64::MAX),
            ms => now + Micros(draws.random_range(0..ms * 1_000)),
        };
        Ok(Hollow {
            clock,
            side: side_of(zone),
            zone: label,
            socket: Rc::new(socket),
            purse,
            members: Members::new(me, incarnation)
                .with_replicas(told.keepers.iter().map(|(k, at)| Member::seed(k, *at))),
            view,
            line: LeaderTracker::new(now, keepers, incarnation),
            known: vec![0; all],
            may: [(0, LeaseInstant(0)); FOLLOWED],
            following,
            draws,
            spend,
            out: BTreeMap::new(),
            world,
        })
    }

    /// When [`Hollow::sweep`] is to be called.
    fn due(&self) -> LeaseInstant {
        let lasts = self.world.fleet.bounds.lease_duration;
        let line = self.purse.next_request_at().min(self.line.next_request_at(lasts));
        let never = LeaseInstant(u64::MAX);
        let members = match self.world.setup.speaks {
            Speaks::All => self.members.next_timeout().unwrap_or(never),
            Speaks::Asks => never,
        };
        let zones = self.view.as_ref().map_or(LeaseInstant(u64::MAX), |v| LeaseInstant(v.next_report_at().0));
        let back = self.out.first_key_value().map_or(LeaseInstant(u64::MAX), |(at, _)| *at);
        line.min(members).min(zones).min(self.spend).min(back)
    }

    /// Notes what it may spend, for the sum over all nodes: what the lease lasts for, and what is out.
    fn note(&mut self, now: LeaseInstant) {
        let mut sums = self.world.sums.borrow_mut();
        for (i, (_, s)) in self.purse.status(now).take(FOLLOWED).enumerate() {
            let (was, ends) = self.may[i];
            let may = s.limit.max(s.in_use);
            if may != was {
                // A lease that has ended meanwhile ended then.
                let at = if s.lease_remaining.0 == 0 && ends < now { ends } else { now };
                sums.change(i, at, i64::from(may) - i64::from(was));
            }
            self.may[i] = (may, now + s.lease_remaining);
        }
    }

    fn send(&self, talk: &FleetMessage, at: SocketAddr) {
        match self.world.framing.encode(talk) {
            Ok(encode) => self.send_frame(&encode, kind(talk), at),
            Err(_) => self.world.counts.borrow_mut().too_large += 1,
        }
    }

    fn send_frame(&self, frame: &[u8], kind: &'static str, at: SocketAddr) {
        let mut counts = self.world.counts.borrow_mut();
        if self.world.cut.get() && self.world.side(at).is_some_and(|s| s != self.side) {
            counts.cut += 1;
            return;
        }
        let to = self.world.real.get(&at).copied();
        match self.socket.try_send_to(frame, at) {
            Ok(n) => {
                counts.sent(to, kind, n as u64);
                self.count((n as u64, 0));
            }
            Err(_) => counts.unsent += 1,
        }
    }

    fn count(&self, bytes: (u64, u64)) {
        if let Some(f) = &self.following {
            f.meter.count(&self.world.flow, self.clock.now(), bytes);
        }
    }

    /// Tells the keeper that is asked which version is in force here.
    pub fn stand(&self) {
        if let (Some(f), Some(to)) = (&self.following, self.line.current()) {
            self.send(&FleetMessage::VersionStatus(f.standing(self.purse.holder())), to);
        }
    }

    fn ask(&mut self, now: LeaseInstant) {
        let ask = FleetMessage::LeaseRequest(self.purse.next_request(now));
        let Ok(frame) = self.world.framing.encode(&ask) else {
            self.world.counts.borrow_mut().too_large += 1;
            return;
        };
        self.line.record_request(now, frame);
        if let Some(at) = self.line.current() {
            self.send_frame(self.line.frame(), kind(&ask), at);
        }
        self.stand();
    }

    /// Does what has fallen due.
    pub fn sweep(&mut self) {
        let now = self.clock.now();
        self.note(now);
        while let Some(due) = self.out.first_entry().filter(|d| *d.key() <= now) {
            for spent in due.remove() {
                self.purse.release(&spent, ReleaseEvidence::Answered);
            }
        }
        if self.spend <= now {
            self.spend(now);
        }
        if self.purse.next_request_at().min(self.line.next_request_at(self.world.fleet.bounds.lease_duration))
            <= now
        {
            self.ask(now);
        }
        self.note(now);
        if self.world.setup.speaks == Speaks::All {
            self.sweep_members(now);
        }
        self.sweep_zones(now);
    }

    fn sweep_members(&mut self, now: LeaseInstant) {
        let mut steps = Vec::new();
        self.members.run_due_timers(now, &mut steps);
        self.carry(steps);
    }

    /// A made-up demand on the first budget: half of the time some tokens, which are back once their calls have ended.
    fn spend(&mut self, now: LeaseInstant) {
        self.spend = now + Micros::from_millis(self.world.setup.demand_ms);
        if self.draws.random::<f64>() < 0.5 {
            return;
        }
        for _ in 0..self.draws.random_range(1..=WANTS) {
            if let Ok(spent) = self.purse.acquire(now, &[0]) {
                self.out.entry(now + CALL).or_default().push(spent);
            }
        }
    }

    fn sweep_zones(&mut self, now: LeaseInstant) {
        let at = micros(now);
        let Some(view) = self.view.as_mut() else { return };
        if at < view.next_report_at() {
            return;
        }
        for zone in 0..self.world.setup.zones {
            let began = at - ZONE_CALL;
            view.record_call_start(began, zone);
            view.record_call_end(at, zone, began, CallResult::Success);
        }
        let Some(seen) = view.take_report(at) else { return };
        let saw = FleetMessage::ZoneHealth {
            node: self.purse.holder().name.clone(),
            zone: self.zone.clone(),
            epoch: view.statuses().epoch,
            reports: seen,
        };
        if let Some(to) = self.line.current() {
            self.send(&saw, to);
        }
    }

    fn carry(&mut self, steps: Vec<MembershipAction>) {
        for step in steps {
            match step {
                MembershipAction::Send(to, bytes) => self.send(&FleetMessage::Gossip(bytes), to.addr),
                MembershipAction::Notify(MembershipChange::Up(m)) => {
                    if let Some(i) = self.world.place(&m.name) {
                        self.known[i] = self.known[i].max(m.incarnation);
                    }
                }
                MembershipAction::Notify(MembershipChange::Down(m)) => {
                    if let Some(i) = self.world.place(&m.name).filter(|i| self.known[*i] <= m.incarnation) {
                        self.known[i] = 0;
                    }
                }
                MembershipAction::Notify(MembershipChange::Refuted) => {
                    self.world.counts.borrow_mut().refuted += 1
                }
            }
        }
    }

    /// Takes a datagram in.
    pub fn take(&mut self, bytes: &[u8], from: SocketAddr) {
        if self.world.cut.get() && self.world.side(from).is_some_and(|s| s != self.side) {
            self.world.counts.borrow_mut().cut += 1;
            return;
        }
        let talk = self.world.framing.decode(bytes);
        let by = self.world.real.get(&from).copied();
        let what = talk.as_ref().map_or("strange", kind);
        self.world.counts.borrow_mut().received(by, what, bytes.len() as u64);
        self.count((0, bytes.len() as u64));
        let now = self.clock.now();
        match talk {
            Ok(FleetMessage::LeaseResponse(answer)) => {
                self.note(now);
                if self.purse.accept_response(&answer) {
                    self.line.record_response();
                }
                self.note(now);
            }
            Ok(FleetMessage::NotLeader { leader, .. }) => {
                if self.line.follow_leader(leader.as_deref())
                    && let Some(at) = self.line.current()
                {
                    self.send_frame(self.line.frame(), "ask", at);
                }
            }
            Ok(FleetMessage::Gossip(bytes)) => {
                let mut steps = Vec::new();
                self.members.handle_message(now, &bytes, &mut steps);
                self.carry(steps);
            }
            Ok(FleetMessage::Zones(lines)) => {
                if let Some(view) = &mut self.view {
                    let _ = view.receive_statuses(micros(now), &lines);
                }
            }
            Ok(FleetMessage::NewestVersion { revision, digest }) if self.following.is_some() => {
                if let Some(f) = &self.following {
                    f.heard(Advertised { revision, digest });
                }
            }
            Ok(
                FleetMessage::OrderRejected(_)
                | FleetMessage::LeaseRequest(_)
                | FleetMessage::ZoneHealth { .. }
                | FleetMessage::ZoneOrder { .. }
                | FleetMessage::VersionStatus(_)
                | FleetMessage::NewestVersion { .. },
            )
            | Err(_) => {
                self.world.counts.borrow_mut().strange += 1;
            }
        }
    }

    /// It goes by its own will: hands back what it has and says so.
    pub fn leave(&mut self) {
        let now = self.clock.now();
        self.note(now);
        self.purse.close();
        self.ask(now);
        for at in self.line.replica_addrs().collect::<Vec<_>>() {
            self.send_frame(self.line.frame(), "ask", at);
        }
        let mut steps = Vec::new();
        self.members.leave(now, &mut steps);
        self.carry(steps);
        self.end(now);
    }

    /// It is gone without a word: it spends nothing any more, and what is out still counts until its tail has ended.
    pub fn killed(&mut self) {
        let now = self.clock.now();
        self.note(now);
        self.end(now);
    }

    fn end(&mut self, now: LeaseInstant) {
        let mut sums = self.world.sums.borrow_mut();
        let bounds = self.world.fleet.bounds;
        for (i, (b, s)) in self.purse.status(now).take(FOLLOWED).enumerate() {
            sums.change(i, now, i64::from(s.in_use) - i64::from(self.may[i].0));
            sums.change(i, now + bounds.permit_lifetime(b.kind), -i64::from(s.in_use));
        }
        self.may = [(0, now); FOLLOWED];
    }

    /// Of those that should be there (by place; 0 for who is not), how many it does not know, and how many it knows
    /// that are gone.
    #[must_use]
    pub fn census(&self, expected: &[Vec<u64>; 2], me: usize) -> (u32, u32) {
        let (mut missing, mut extra) = (0, 0);
        for (i, (known, there)) in self.known.iter().zip(&expected[self.side]).enumerate() {
            if i == me {
                continue;
            }
            missing += u32::from(*there > 0 && known < there);
            extra += u32::from(*there == 0 && *known > 0);
        }
        (missing, extra)
    }

    /// Messages that its membership could not use.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.members.dropped
    }
}

/// A moment, as the zones' code counts it.
fn micros(now: LeaseInstant) -> Micros {
    now - LeaseInstant(0)
}

/// What a message is, for the counts.
fn kind(talk: &FleetMessage) -> &'static str {
    match talk {
        FleetMessage::LeaseRequest(_) => "ask",
        FleetMessage::LeaseResponse(_) => "told",
        FleetMessage::NotLeader { .. } => "elsewhere",
        FleetMessage::Gossip(_) => "swim",
        FleetMessage::ZoneHealth { .. } => "saw",
        FleetMessage::Zones(_) => "zones",
        FleetMessage::ZoneOrder { .. } | FleetMessage::OrderRejected(_) => "order",
        FleetMessage::VersionStatus(_) | FleetMessage::NewestVersion { .. } => "catalog",
    }
}

/// Runs a node until its task is dropped.
pub async fn live(me: Rc<RefCell<Hollow>>) {
    let socket = me.borrow().socket.clone();
    let clock = LeaseClock::new(1.0);
    let mut buffer = [0; FRAME_MAX + 1];
    loop {
        let wait = Duration::from_micros((me.borrow().due() - clock.now()).0);
        tokio::select! {
            got = socket.recv_from(&mut buffer) => {
                if let Ok((n, from)) = got {
                    me.borrow_mut().take(&buffer[..n], from);
                }
                // What came meanwhile is taken in the same turn.
                for _ in 0..32 {
                    let Ok((n, from)) = socket.try_recv_from(&mut buffer) else { break };
                    me.borrow_mut().take(&buffer[..n], from);
                }
            }
            () = sleep(wait) => {}
        }
        me.borrow_mut().sweep();
    }
}
