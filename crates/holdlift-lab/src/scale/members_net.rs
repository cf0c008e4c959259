//! A network in memory for membership: the program's decision code by nodes, told a time that only this file moves on.
//! Datagrams are lost by chance, between the halves of a cut, and where nobody is. The same seed plays the same.

use std::collections::VecDeque;
use std::net::SocketAddr;

use holdlift::Micros;
use holdlift::fleet::LeaseInstant;
use holdlift::fleet::datagram::{DatagramCodec, FleetMessage};
use holdlift::fleet::membership::{ANTI_ENTROPY_PREFIX, Member, Members, MembershipAction, Role};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The first of all are keepers.
pub const KEEPERS: usize = 3;
const STEP_MS: u64 = 10;
/// A datagram's way.
const WAY: Micros = Micros(500);
/// Places in a third number of an address.
const IN_A_NET: usize = 250;

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / IN_A_NET) as u8, (i % IN_A_NET) as u8 + 1], 7_400))
}

fn place(at: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(at) = at else { return None };
    let [_, _, net, host] = at.ip().octets();
    Some(usize::from(net) * IN_A_NET + usize::from(host).checked_sub(1)?)
}

fn member(i: usize) -> Member {
    let role = if i < KEEPERS { Role::Replica } else { Role::Node };
    let name = if i < KEEPERS { format!("keeper-{i}") } else { format!("intake-{i}") };
    let zone = format!("zone-{}", i % 6);
    let region = format!("region-{}", side(i));
    Member { name, incarnation: 1_764_000_000_000_000, addr: address(i), role, zone, region }
}

fn one(i: usize, seed: u64) -> Members {
    let keepers = (0..KEEPERS).map(member).map(|k| Member::seed(&k.name, k.addr));
    Members::new(member(i), seed * 100_000 + i as u64).with_replicas(keepers)
}

/// The region of a place: the keepers are in both.
fn side(i: usize) -> usize {
    i % 2
}

/// What becomes of the messages by which members fetch what they lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repair {
    /// They are carried as all others.
    Carried,
    /// Half of the nodes drop them, as a program does that does not know them.
    HalfKnowIt,
    /// They are lost: gossip alone.
    Lost,
}

/// How a fleet starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// Nodes beside the keepers.
    pub nodes: usize,
    /// They start within so long, keepers at once.
    pub within_ms: u64,
    /// Of a thousand datagrams so many are lost.
    pub lost: u32,
    /// Messages of repair.
    pub repair: Repair,
    /// Of all draws.
    pub seed: u64,
}

/// Who does not see what is so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Census {
    /// Pairs of a living one and another living one on its side that it does not know.
    pub unknown: usize,
    /// Pairs of a living one and one that it takes to be there, and that is gone or beyond the cut.
    pub extra: usize,
    /// Of what the one that knows fewest does not know: how many.
    pub worst: usize,
}

impl Census {
    /// All know all, and nobody else.
    #[must_use]
    pub fn whole(self) -> bool {
        self.unknown == 0 && self.extra == 0
    }
}

/// What was carried since the last look.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Carried {
    /// Milliseconds.
    pub ms: u64,
    /// Sent, by all.
    pub messages: u64,
    /// Bytes of these frames, without the 28 of UDP and IP.
    pub bytes: u64,
    /// Sent and taken in by one keeper in its worst second, bytes.
    pub keeper_peak: u64,
    /// The same of one node.
    pub node_peak: u64,
}

/// The fleet and its network.
pub struct Net {
    all: Vec<Members>,
    /// When each starts; `None` where it has been killed.
    from: Vec<Option<u64>>,
    ms: u64,
    cut: bool,
    lost: u32,
    repair: Repair,
    draws: ChaCha8Rng,
    framing: DatagramCodec,
    way: VecDeque<(usize, usize, Vec<u8>)>,
    /// Sent and taken in by each in this second, bytes.
    second: Vec<u64>,
    carried: Carried,
}

impl Net {
    /// Nobody has started yet.
    #[must_use]
    pub fn new(start: Start) -> Net {
        let n = start.nodes + KEEPERS;
        let mut draws = ChaCha8Rng::seed_from_u64(start.seed);
        let mut from = |i| match start.within_ms {
            within if within > 0 && i >= KEEPERS => Some(draws.random_range(0..within)),
            _ => Some(0),
        };
        Net {
            from: (0..n).map(&mut from).collect(),
            all: (0..n).map(|i| one(i, start.seed)).collect(),
            ms: 0,
            cut: false,
            lost: start.lost,
            repair: start.repair,
            draws,
            framing: DatagramCodec::for_fleet("fleet"),
            way: VecDeque::new(),
            second: vec![0; n],
            carried: Carried::default(),
        }
    }

    /// So long has been played.
    #[must_use]
    pub fn ms(&self) -> u64 {
        self.ms
    }

    /// The regions don't hear each other from now on, or do again.
    pub fn cut(&mut self, cut: bool) {
        self.cut = cut;
    }

    /// So many nodes of one zone, all at once and without a word.
    pub fn kill(&mut self, nodes: usize) {
        let zone = (KEEPERS..self.all.len()).filter(|i| i % 6 == 4 && self.from[*i].is_some());
        let gone: Vec<usize> = zone.take(nodes).collect();
        gone.into_iter().for_each(|i| self.from[i] = None);
    }

    fn there(&self, i: usize) -> bool {
        self.from[i].is_some_and(|from| from <= self.ms)
    }

    fn apart(&self, i: usize, j: usize) -> bool {
        self.cut && side(i) != side(j)
    }

    fn post(&mut self, from: usize, steps: Vec<MembershipAction>) {
        for step in steps {
            let MembershipAction::Send(to, message) = step else { continue };
            let Ok(frame) = self.framing.encode(&FleetMessage::Gossip(message)) else { continue };
            let weight = frame.len() as u64;
            (self.carried.messages, self.carried.bytes) =
                (self.carried.messages + 1, self.carried.bytes + weight);
            self.second[from] += weight;
            let Some(to) = place(to.addr).filter(|to| *to < self.all.len()) else { continue };
            if self.lost > 0 && self.draws.random_range(0..1_000) < self.lost {
                continue;
            }
            self.way.push_back((from, to, frame));
        }
    }

    fn step(&mut self) {
        let now = LeaseInstant(self.ms * 1_000);
        for i in 0..self.all.len() {
            if !self.there(i) {
                continue;
            }
            let mut out = Vec::new();
            if self.all[i].next_timeout().is_some_and(|at| at <= now) {
                self.all[i].run_due_timers(now, &mut out);
            }
            self.post(i, out);
        }
        while let Some((from, to, frame)) = self.way.pop_front() {
            if !self.there(to) || self.apart(from, to) {
                continue;
            }
            self.second[to] += frame.len() as u64;
            let Ok(FleetMessage::Gossip(message)) = self.framing.decode(&frame) else { continue };
            let knows = match self.repair {
                Repair::Carried => true,
                Repair::HalfKnowIt => to % 4 < 2,
                Repair::Lost => false,
            };
            if !knows && message.starts_with(&ANTI_ENTROPY_PREFIX) {
                continue;
            }
            let mut out = Vec::new();
            self.all[to].handle_message(now + WAY, &message, &mut out);
            self.post(to, out);
        }
        self.ms += STEP_MS;
        self.carried.ms += STEP_MS;
        if self.ms.is_multiple_of(1_000) {
            let (keepers, nodes) = self.second.split_at(KEEPERS);
            let most = |of: &[u64]| of.iter().copied().max().unwrap_or(0);
            self.carried.keeper_peak = self.carried.keeper_peak.max(most(keepers));
            self.carried.node_peak = self.carried.node_peak.max(most(nodes));
            self.second.fill(0);
        }
    }

    /// Plays on for so long.
    pub fn run(&mut self, ms: u64) {
        let end = self.ms + ms;
        while self.ms < end {
            self.step();
        }
    }

    /// Plays until all know all, looking so often, for so long at the most: how long it took.
    pub fn until_whole(&mut self, every_ms: u64, most_ms: u64) -> Option<u64> {
        let began = self.ms;
        while self.ms - began < most_ms {
            self.run(every_ms);
            if self.census().whole() {
                return Some(self.ms - began);
            }
        }
        None
    }

    /// What was carried since the last call.
    pub fn carried(&mut self) -> Carried {
        std::mem::take(&mut self.carried)
    }

    /// All that are there, as each sees it.
    #[must_use]
    pub fn census(&self) -> Census {
        let mut sum = Census::default();
        let alive: Vec<bool> = (0..self.all.len()).map(|i| self.from[i].is_some()).collect();
        let on: Vec<usize> =
            [0, 1].map(|s| (0..alive.len()).filter(|i| alive[*i] && side(*i) == s).count()).to_vec();
        for i in (0..self.all.len()).filter(|i| alive[*i]) {
            let (mut right, mut extra) = (0, 0);
            for other in self.all[i].peers() {
                match place(other.addr) {
                    Some(j) if alive.get(j) == Some(&true) && !self.apart(i, j) => right += 1,
                    _ => extra += 1,
                }
            }
            let all = if self.cut { on[side(i)] } else { on[0] + on[1] };
            let unknown = (all - 1).saturating_sub(right);
            sum.unknown += unknown;
            sum.extra += extra;
            sum.worst = sum.worst.max(unknown);
        }
        sum
    }
}
