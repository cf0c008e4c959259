//! Membership by nodes, on a network in memory: all start at once and make themselves known to three keepers, as the
//! program does.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use holdlift::Micros;
use holdlift::fleet::Tick;
use holdlift::fleet::members::{Member, Members, Role, Step};
use holdlift::fleet::talk::{Framing, Talk};

use super::code::{Figures, cpu, rss_kb};

const KEEPERS: usize = 3;
const STEP_MS: u64 = 10;
/// A datagram's way.
const WAY: Micros = Micros(500);
/// What all know is looked at that often.
const LOOK_MS: u64 = 250;
/// Who knows nobody says again that it is there.
const AGAIN_MS: u64 = 1_000;
/// The start, which is measured by itself.
const START_MS: u64 = 60_000;
/// News of the start is passed on for so long, ms a node and beside that; at rest from there on, measured for so long.
const CALM_MS: u64 = 140;
const CALM_LEAST_MS: u64 = 15_000;
const MEASURED_MS: u64 = 20_000;
/// Beyond so many nodes only the start is played: the rest would take many minutes.
const REST_NODES_MAX: usize = 600;

fn member(i: usize) -> Member {
    let at = SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8 + 1], 7_400));
    let role = if i < KEEPERS { Role::Keeper } else { Role::Node };
    let name = if i < KEEPERS { format!("keeper-{i}") } else { format!("intake-{i}") };
    let zone = format!("zone-{}", i % 6);
    Member { name, incarnation: 1_764_000_000_000_000, at, role, zone, region: format!("region-{}", i % 2) }
}

/// A keeper as one that has not been heard of yet is spoken to.
fn seed(i: usize) -> Member {
    Member { incarnation: 0, zone: String::new(), region: String::new(), ..member(i) }
}

struct Net {
    all: Vec<Members>,
    places: HashMap<SocketAddr, usize>,
    framing: Framing,
    way: VecDeque<(usize, Vec<u8>)>,
    /// Sent and taken in by each in this second, bytes; the most of one keeper, and of one node.
    second: Vec<u64>,
    peak: [u64; 2],
    messages: u64,
    bytes: u64,
}

impl Net {
    fn post(&mut self, from: usize, steps: Vec<Step>) {
        for step in steps {
            let Step::Send(to, message) = step else { continue };
            let Ok(frame) = self.framing.frame(&Talk::Swim(message)) else { continue };
            let Some(&place) = self.places.get(&to.at) else { continue };
            (self.messages, self.bytes) = (self.messages + 1, self.bytes + frame.len() as u64);
            self.second[from] += frame.len() as u64;
            self.way.push_back((place, frame));
        }
    }

    fn carry(&mut self, now: Tick) {
        while let Some((to, frame)) = self.way.pop_front() {
            let Ok(Talk::Swim(message)) = self.framing.read(&frame) else { continue };
            let mut out = Vec::new();
            self.second[to] += frame.len() as u64;
            self.all[to].take(now, &message, &mut out);
            self.post(to, out);
        }
    }

    fn step(&mut self, ms: u64) {
        let now = Tick(ms * 1_000);
        for i in 0..self.all.len() {
            let mut out = Vec::new();
            if ms.is_multiple_of(AGAIN_MS) && self.all[i].others().next().is_none() {
                (0..KEEPERS).filter(|k| *k != i).for_each(|k| self.all[i].announce(now, seed(k), &mut out));
            }
            if self.all[i].deadline().is_some_and(|at| at <= now) {
                self.all[i].sweep(now, &mut out);
            }
            self.post(i, out);
        }
        self.carry(now + WAY);
        if (ms + STEP_MS).is_multiple_of(1_000) {
            let (keepers, nodes) = self.second.split_at(KEEPERS);
            for (peak, of) in self.peak.iter_mut().zip([keepers, nodes]) {
                *peak = of.iter().copied().max().unwrap_or(0).max(*peak);
            }
            self.second.fill(0);
        }
    }

    /// How many others the one that knows fewest knows.
    fn least(&self) -> usize {
        self.all.iter().map(|m| m.others().count()).min().unwrap_or(0)
    }
}

pub(super) fn measure(nodes: usize, from: u64) -> Figures {
    let n = nodes + KEEPERS;
    let before = rss_kb();
    let all: Vec<Members> = (0..n).map(|i| Members::new(member(i), from * 100_000 + i as u64)).collect();
    let places = (0..n).map(|i| (member(i).at, i)).collect();
    let mut net = Net {
        all,
        places,
        framing: Framing::of("fleet"),
        way: VecDeque::new(),
        second: vec![0; n],
        peak: [0; 2],
        messages: 0,
        bytes: 0,
    };
    let (mut all_know, mut nearly, mut figures) = (None, None, Figures::new());
    let mut put = |name: &str, v: f64| figures.insert(name.to_owned(), v);
    let began = cpu();
    let mut from = (0, 0, began);
    let rests = nodes <= REST_NODES_MAX;
    let calm = (CALM_MS * nodes as u64 + CALM_LEAST_MS).next_multiple_of(1_000);
    let end = if rests { START_MS.max(calm + MEASURED_MS) } else { START_MS };
    for ms in (0..=end).step_by(STEP_MS as usize) {
        if rests && ms == end - MEASURED_MS {
            from = (net.messages, net.bytes, cpu());
        }
        net.step(ms);
        if all_know.is_none() && ms.is_multiple_of(LOOK_MS) {
            let least = net.least() + 1;
            if least * 100 >= n * 99 {
                nearly.get_or_insert(ms);
            }
            if least == n {
                all_know = Some(ms);
            }
        }
        if ms == START_MS {
            let seconds = n as f64 * START_MS as f64 / 1e3;
            put("first_minute.unknown_to_one", (n - 1 - net.least()) as f64);
            put("first_minute.sent_kb_per_s", net.bytes as f64 / seconds / 1e3);
            put("first_minute.cpu_percent", (cpu() - began).as_secs_f64() / seconds * 100.0);
        }
    }
    let seconds = n as f64 * MEASURED_MS as f64 / 1e3;
    if rests {
        put("rest.messages_per_s", (net.messages - from.0) as f64 / seconds);
        put("rest.sent_kb_per_s", (net.bytes - from.1) as f64 / seconds / 1e3);
        put("rest.cpu_percent", (cpu() - from.2).as_secs_f64() / seconds * 100.0);
    }
    put("start.keeper_peak_kb_per_s", net.peak[0] as f64 / 1e3);
    put("start.node_peak_kb_per_s", net.peak[1] as f64 / 1e3);
    put("memory_kb", (rss_kb() - before) / n as f64);
    if let Some(ms) = nearly {
        put("all_know_99_of_100_s", ms as f64 / 1e3);
    }
    if let Some(ms) = all_know {
        put("all_know_all_s", ms as f64 / 1e3);
    }
    figures
}
