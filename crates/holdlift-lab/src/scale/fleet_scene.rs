//! Real keepers and nodes with hollow ones around them: starts them, tells them what to do, and reads off what they did.

use std::collections::HashMap;
use std::time::Duration;

use holdlift::config::fleet::Fleet;
use tokio::time::{Instant, sleep};

use super::fleet_watch::{self, Reading, Size};
use super::hollow::{FOLLOWED, Real, side_of};
use super::hollow_config::Begin;
use super::hollow_host::{Carried, Census, Counts, Order, Report, Setup, Speaks, Sums};
use super::hollow_shell::Host;
use crate::rig::net::{self, Fault};
use crate::rig::{Plan, Rig, Whole, Zoned};

/// Why a run did not come to its end.
pub type Failure = Box<dyn std::error::Error>;

/// Zones; even ones are in one region, odd ones in the other.
pub const ZONES: usize = 6;
/// How often it is looked whether all know all.
const LOOK: Duration = Duration::from_millis(200);

/// What there is.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Real node processes.
    pub real: usize,
    /// Real keepers.
    pub keepers: usize,
    /// Hollow nodes at the most.
    pub hollow: usize,
    /// Hosts of hollow nodes.
    pub hosts: usize,
    /// Hosts are processes of their own, not threads.
    pub processes: bool,
    /// Budgets, those of the zones' returns among them: 8 to 24.
    pub budgets: usize,
    /// Pieces of each budget but the zones'.
    pub whole: u32,
    /// Each hollow node wants tokens of the first budget that often, ms; 0 for never.
    pub demand_ms: u64,
    /// For all that is drawn.
    pub seed: u64,
    /// What hollow nodes say; where that is not all, zones are labels only.
    pub speaks: Speaks,
    /// Lines of the table `[catalog]`, where the configuration is agreed.
    pub catalog: Option<&'static str>,
    /// Records of the largest configuration.
    pub records: usize,
}

/// All of it; it ends with this.
pub struct Scene {
    /// Real nodes, then keepers.
    pub rig: Rig,
    hosts: Vec<Host>,
    layout: Layout,
    /// By place (hollow, real nodes, keepers), the least incarnation that is there; 0 for who is gone.
    pub there: Vec<u64>,
    cut: bool,
    wholes: [u32; FOLLOWED],
    now: [i64; FOLLOWED],
    sums: Vec<(u64, usize, i64)>,
    incarnations: u64,
}

/// What all processes have used and carried so far.
#[derive(Clone, Debug)]
pub struct Look {
    at: Instant,
    /// Of each real process.
    pub procs: Vec<Reading>,
    /// Of each host that is a process.
    pub hosts: Vec<Reading>,
    /// What the hollow nodes counted.
    pub counts: Counts,
    links: HashMap<(usize, usize), net::Carried>,
    /// Bytes of each keeper's book on disk.
    pub books: Vec<u64>,
    /// Datagrams dropped for want of room in a queue: of each real process, and of all hollow nodes.
    pub dropped: Vec<u64>,
}

/// One real process over a span.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Share of a core.
    pub cpu: f64,
    /// Resident memory at the end, KiB.
    pub rss_kb: f64,
    /// Wakes a second.
    pub wakes: f64,
    /// Datagrams and their bytes a second, sent.
    pub sent: (f64, f64),
    /// And received.
    pub received: (f64, f64),
    /// Bytes a second of the keepers' streams, both ways.
    pub streamed: f64,
    /// Bytes a second that it had written to disk.
    pub written: f64,
    /// Datagrams that its queue had no room for.
    pub dropped: u64,
}

/// How long it took until all knew all.
#[derive(Clone, Copy, Debug, Default)]
pub struct Known {
    /// Until 99 of 100 nodes did, s.
    pub most_s: Option<f64>,
    /// Until all did, s.
    pub all_s: Option<f64>,
    /// The last look.
    pub last: Census,
}

impl Layout {
    /// Starts the real processes and the hosts, which have no node yet.
    ///
    /// # Errors
    /// The machine does not bear it, or something could not be started.
    pub async fn start(self) -> Result<Scene, Failure> {
        let size = Size {
            hollow: self.hollow,
            hosts: self.hosts.max(1),
            real: self.real + self.keepers,
            records: self.records,
        };
        size.fits(fleet_watch::allowed())?;
        // One budget and those of the zones' returns are there anyway.
        let zones = if self.speaks == Speaks::All { ZONES } else { 0 };
        let further = (0..self.budgets.saturating_sub(zones + 1))
            .map(|b| format!("[budgets.budget-of-room-{b:02}]\ntier = \"below\"\nstarts = {}\n", self.whole));
        let zoned = Zoned {
            decided: true,
            bears: self.whole.div_ceil(ZONES as u32),
            out_ms: 2_000,
            step_ms: 1_000,
            trust_ms: 10_000,
            at_once: false,
        };
        let plan = Plan {
            nodes: self.real,
            keepers: self.keepers,
            zones: ZONES,
            seed: self.seed,
            lease_ms: 3_000,
            drift: 0.01,
            transit_ms: 100,
            budgets: vec![Whole::Slots { slots: self.whole, longest_ms: 1_500 }],
            zoned: (self.speaks == Speaks::All).then_some(zoned),
            further: further.collect(),
            log: "info,openraft=off",
            catalog: self.catalog,
            ..Plan::default()
        };
        let rig = plan.start().await;
        let real = (0..rig.procs.len()).map(|i| Real {
            name: rig.procs[i].name.clone(),
            at: rig.procs[i].at,
            zone: i % ZONES,
        });
        let setup = Setup {
            file: rig.folder(self.real).join("fleet.toml"),
            most: self.hollow,
            zones: ZONES,
            real: real.collect(),
            demand_ms: self.demand_ms,
            speaks: self.speaks,
        };
        let told = Fleet::load(&setup.file, None)?.all_budgets();
        let mut hosts = Vec::new();
        for _ in 0..self.hosts.max(1) {
            let mut host = if self.processes { Host::process()? } else { Host::thread() };
            host.tell(Order::Setup(setup.clone())).await?;
            hosts.push(host);
        }
        let mut there = vec![0; self.hollow];
        there.resize(self.hollow + rig.procs.len(), 1);
        let wholes = std::array::from_fn(|i| told.get(i).map_or(0, |b| b.capacity));
        let (now, sums, incarnations) = ([0; FOLLOWED], Vec::new(), 0);
        Ok(Scene { rig, hosts, layout: self, there, cut: false, wholes, now, sums, incarnations })
    }
}

impl Scene {
    /// The numbers of the real processes' places.
    fn place(&self, proc: usize) -> usize {
        self.layout.hollow + proc
    }

    /// Hollow nodes that are there.
    #[must_use]
    pub fn hollow(&self) -> Vec<usize> {
        (0..self.layout.hollow).filter(|i| self.there[*i] > 0).collect()
    }

    /// Hollow nodes of a zone that are there.
    #[must_use]
    pub fn zone(&self, zone: usize) -> Vec<usize> {
        self.hollow().into_iter().filter(|i| i % ZONES == zone).collect()
    }

    /// Hosts of hollow nodes.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    pub(super) async fn tell(&mut self, host: usize, order: Order) -> Result<Report, Failure> {
        Ok(self.hosts[host].tell(order).await?)
    }

    fn of_host(&self, host: usize, nodes: &[usize]) -> Vec<usize> {
        nodes.iter().copied().filter(|i| i % self.hosts.len() == host).collect()
    }

    fn fresh(&mut self) -> u64 {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        self.incarnations = (self.incarnations + 1).max(unix.as_micros() as u64);
        self.incarnations
    }

    /// Starts hollow nodes evenly over a span; returns when all are told to.
    pub async fn join(&mut self, nodes: &[usize], over: Duration) -> Result<(), Failure> {
        self.begin(nodes, over, Begin::Warm).await
    }

    /// The same, with what they are to begin with.
    pub async fn begin(&mut self, nodes: &[usize], over: Duration, begin: Begin) -> Result<(), Failure> {
        for i in nodes {
            self.there[*i] = self.fresh();
        }
        for host in 0..self.hosts.len() {
            let of = self.of_host(host, nodes).into_iter().map(|i| (i, self.there[i])).collect();
            self.tell(host, Order::Join(of, over, begin)).await?;
        }
        Ok(())
    }

    /// Ends hollow nodes without a word.
    pub async fn kill(&mut self, nodes: &[usize]) -> Result<(), Failure> {
        nodes.iter().for_each(|i| self.there[*i] = 0);
        for host in 0..self.hosts.len() {
            let of = self.of_host(host, nodes);
            self.tell(host, Order::Kill(of)).await?;
        }
        Ok(())
    }

    /// Replaces hollow nodes: each goes by its own will, and another of its name comes at another address.
    pub async fn replace(&mut self, nodes: &[usize]) -> Result<(), Failure> {
        for host in 0..self.hosts.len() {
            let of = self.of_host(host, nodes);
            self.tell(host, Order::Leave(of)).await?;
        }
        self.join(nodes, Duration::ZERO).await
    }

    /// The real processes of each region.
    fn regions(&self) -> (Vec<usize>, Vec<usize>) {
        (0..self.rig.procs.len()).partition(|i| side_of(i % ZONES) == 0)
    }

    /// The regions lose each other, or find each other again.
    pub async fn cut(&mut self, cut: bool) -> Result<(), Failure> {
        self.cut = cut;
        let (some, others) = self.regions();
        self.rig.net.between(&some, &others, if cut { Fault::CUT } else { Fault::default() });
        for host in 0..self.hosts.len() {
            self.tell(host, Order::Cut(cut)).await?;
        }
        Ok(())
    }

    /// Kills the keeper that leads; its number.
    pub fn kill_leader(&mut self) -> Option<usize> {
        let k = self.rig.leader()?;
        self.rig.kill(k);
        let place = self.place(k);
        self.there[place] = 0;
        Some(k)
    }

    /// Starts a keeper again.
    pub fn back(&mut self, k: usize) {
        self.rig.restart(k);
        let place = self.place(k);
        self.there[place] = self.fresh();
    }

    /// Who should be known on each side.
    fn expected(&self) -> [Vec<u64>; 2] {
        let side =
            |i: usize| side_of(if i < self.layout.hollow { i } else { i - self.layout.hollow } % ZONES);
        std::array::from_fn(|s| {
            let seen = |(i, there): (usize, &u64)| if self.cut && side(i) != s { 0 } else { *there };
            self.there.iter().enumerate().map(seen).collect()
        })
    }

    /// How well the hollow nodes know who is there, the other region aside during a cut.
    pub async fn census(&mut self) -> Result<Census, Failure> {
        let (expected, mut all) = (self.expected(), Census::default());
        for host in 0..self.hosts.len() {
            if let Report::Census(census) = self.tell(host, Order::Census(expected.clone())).await? {
                all = all.and(census);
            }
        }
        Ok(all)
    }

    /// Waits until all hollow nodes know who is there; the time counts from now.
    pub async fn known(&mut self, nodes: usize, bound: Duration) -> Result<Known, Failure> {
        let (start, mut known) = (Instant::now(), Known::default());
        loop {
            known.last = self.census().await?;
            let (c, now) = (known.last, start.elapsed().as_secs_f64());
            if c.nodes as usize >= nodes {
                if u64::from(c.right) * 100 >= u64::from(c.nodes) * 99 {
                    known.most_s.get_or_insert(now);
                } else {
                    known.most_s = None;
                }
                if c.whole() {
                    known.all_s = Some(now);
                    return Ok(known);
                }
            }
            if start.elapsed() >= bound {
                return Ok(known);
            }
            sleep(LOOK).await;
        }
    }

    /// What all have used so far.
    pub async fn look(&mut self) -> Result<Look, Failure> {
        let mut counts = Counts::default();
        for host in 0..self.hosts.len() {
            if let Report::Read(read) = self.tell(host, Order::Read).await? {
                counts = counts.and(&read.0);
                self.sums.extend(read.1.changes);
            }
        }
        let drops = fleet_watch::dropped();
        let of = |p: &crate::rig::Proc| drops.get(&p.at).copied().unwrap_or(0);
        let mut dropped: Vec<u64> = self.rig.procs.iter().map(of).collect();
        let hollow = drops.iter().filter(|(at, _)| at.ip().to_string().starts_with("127.200."));
        dropped.push(hollow.map(|(_, n)| n).sum());
        let read = |pid: Option<u32>| pid.map_or(Reading::default(), fleet_watch::read);
        let book = |k: usize| fleet_watch::on_disk(&self.rig.folder(k).join("book"));
        Ok(Look {
            at: Instant::now(),
            procs: (0..self.rig.procs.len()).map(|i| read(self.rig.pid(i))).collect(),
            hosts: self.hosts.iter().map(|h| read(h.pid())).collect(),
            counts,
            links: self.rig.net.carried(),
            books: self.rig.keepers().into_iter().map(book).collect(),
            dropped,
        })
    }

    /// The most that might be spent of each followed budget at one moment since the last call, over all hollow nodes, and
    /// the wholes. All that was read off since is taken.
    pub fn most(&mut self) -> ([i64; FOLLOWED], [u32; FOLLOWED]) {
        let sums = Sums { changes: std::mem::take(&mut self.sums) };
        let (most, now) = sums.most(self.now);
        self.now = now;
        (most, self.wholes)
    }

    /// What the real nodes may spend of the first budget, by their own word.
    pub async fn real_limits(&self) -> u64 {
        self.rig.limits().await.iter().sum()
    }

    /// Members that each real node knows, itself among them; 0 where it does not answer.
    pub async fn real_members(&self) -> Vec<usize> {
        let mut all = Vec::new();
        for i in self.rig.all_nodes() {
            let report = self.rig.report(i).await;
            all.push(report.and_then(|r| Some(r["members"].as_array()?.len())).unwrap_or(0));
        }
        all
    }
}

impl Look {
    /// Each real process since an earlier look.
    #[must_use]
    pub fn since(&self, before: &Look) -> Vec<Usage> {
        let secs = (self.at - before.at).as_secs_f64();
        let link = |look: &Look, i: usize, from: bool| {
            let of = look.links.iter().filter(|((a, b), _)| if from { *a == i } else { *b == i });
            of.fold((Carried::default(), 0), |(sum, streamed), (_, c)| {
                (sum.and(Carried { messages: c.datagrams, bytes: c.bytes }), streamed + c.streamed)
            })
        };
        let rate = |now: Carried, before: Carried| {
            let c = now.since(before);
            (c.messages as f64 / secs, c.bytes as f64 / secs)
        };
        let both = |look: &Look, i: usize, sent: bool| {
            let hollow = if sent { &look.counts.from } else { &look.counts.to };
            hollow.get(i).copied().unwrap_or_default().and(link(look, i, sent).0)
        };
        let streamed = |look: &Look, i: usize| link(look, i, true).1 + link(look, i, false).1;
        (0..self.procs.len())
            .map(|i| {
                let (now, then) = (&self.procs[i], &before.procs[i]);
                Usage {
                    cpu: (now.cpu_s - then.cpu_s) / secs,
                    rss_kb: now.rss_kb,
                    wakes: (now.wakes - then.wakes) / secs,
                    sent: rate(both(self, i, true), both(before, i, true)),
                    received: rate(both(self, i, false), both(before, i, false)),
                    streamed: (streamed(self, i) - streamed(before, i)) as f64 / secs,
                    written: (now.written - then.written) / secs,
                    dropped: self.dropped[i].saturating_sub(before.dropped[i]),
                }
            })
            .collect()
    }

    /// Processor time of all hosts together and of the busiest, in cores. A host is one thread: one that is busy all the
    /// time keeps no node's paces, and the run measures that instead.
    #[must_use]
    pub fn hosts_since(&self, before: &Look) -> (f64, f64) {
        let secs = self.secs(before);
        let each: Vec<f64> =
            self.hosts.iter().zip(&before.hosts).map(|(a, b)| (a.cpu_s - b.cpu_s) / secs).collect();
        (each.iter().sum(), each.iter().copied().fold(0.0, f64::max))
    }

    /// Seconds since an earlier look.
    #[must_use]
    pub fn secs(&self, before: &Look) -> f64 {
        (self.at - before.at).as_secs_f64()
    }
}
