//! Many hollow nodes to one host, told what to do by [`Order`]s and answering each with one [`Report`].

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use holdlift::config::fleet::Fleet;
use holdlift::fleet::LeaseInstant;
use holdlift::fleet::datagram::DatagramCodec;
use holdlift::runtime::replica::client::ReplicaClient;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use super::hollow::{FOLLOWED, Hollow, Real, World, live};
use super::hollow_config::{Begin, Versions, follow};

/// What nodes say beside what this run is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Speaks {
    /// All that a node says.
    All,
    /// Asks, and where they stand with the configuration; nothing of who is there.
    Asks,
}

/// How a host is set up.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    /// The fleet's file, as a keeper has it.
    pub file: PathBuf,
    /// Hollow nodes at the most, over all hosts; their names are `h0` to one below that.
    pub most: usize,
    /// Zones that nodes go round, by their numbers.
    pub zones: usize,
    /// The real processes.
    pub real: Vec<Real>,
    /// Each node wants tokens of the first budget that often, ms; 0 for never.
    pub demand_ms: u64,
    /// What nodes say.
    pub speaks: Speaks,
}

/// What a host is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Order {
    /// First of all.
    Setup(Setup),
    /// These nodes, by number and incarnation, are started evenly over a span. Reported at once.
    Join(Vec<(usize, u64)>, Duration, Begin),
    /// The newest version is fetched, and is what warm nodes begin with.
    Found,
    /// What the nodes did with the configuration; it is handed over.
    Versions,
    /// These are gone without a word.
    Kill(Vec<usize>),
    /// These go by their own will.
    Leave(Vec<usize>),
    /// The regions don't hear each other, or do again.
    Cut(bool),
    /// Who should be there, by region and place: an incarnation, or 0 for who is gone.
    Census([Vec<u64>; 2]),
    /// All that was counted so far; the followed sums are handed over.
    Read,
}

/// What it answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Report {
    /// Done.
    Done,
    /// Who knows whom.
    Census(Census),
    /// What was counted.
    Read(Box<(Counts, Sums)>),
    /// What was done with the configuration.
    Versions(Box<Versions>),
    /// It could not be done.
    Failed(String),
}

/// How well nodes know who is there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Census {
    /// Nodes that were asked.
    pub nodes: u32,
    /// Those of them that know all that are there, and none that is gone.
    pub right: u32,
    /// Pairs of a node and one that it does not know.
    pub missing: u64,
    /// Pairs of a node and one that it takes for there but is gone.
    pub extra: u64,
    /// The most that one node does not know.
    pub worst: u32,
}

impl Census {
    /// Both together.
    #[must_use]
    pub fn and(self, other: Census) -> Census {
        Census {
            nodes: self.nodes + other.nodes,
            right: self.right + other.right,
            missing: self.missing + other.missing,
            extra: self.extra + other.extra,
            worst: self.worst.max(other.worst),
        }
    }

    /// Whether all know all.
    #[must_use]
    pub fn whole(&self) -> bool {
        self.nodes > 0 && self.right == self.nodes
    }
}

/// Messages and their bytes, as a datagram holds them: without the 28 bytes that IP and UDP put before each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Carried {
    /// Messages.
    pub messages: u64,
    /// Bytes.
    pub bytes: u64,
}

impl Carried {
    fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }

    /// Both together.
    #[must_use]
    pub fn and(self, other: Carried) -> Carried {
        Carried { messages: self.messages + other.messages, bytes: self.bytes + other.bytes }
    }

    /// What came since.
    #[must_use]
    pub fn since(self, before: Carried) -> Carried {
        Carried { messages: self.messages - before.messages, bytes: self.bytes - before.bytes }
    }
}

/// What the nodes of a host have carried.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Sent to each real process, and to other hollow nodes at the end.
    pub to: Vec<Carried>,
    /// Received from each, likewise.
    pub from: Vec<Carried>,
    /// Sent and received by kind.
    pub kinds: BTreeMap<String, (Carried, Carried)>,
    /// Dropped for the cut between the regions.
    pub cut: u64,
    /// The system did not take them at once.
    pub unsent: u64,
    /// Too large for a frame, or of no use.
    pub too_large: u64,
    /// Not for a node, or no message.
    pub strange: u64,
    /// What membership could not use.
    pub unused: u64,
    /// Times that a node was taken for gone and said that it is not.
    pub refuted: u64,
    /// Nodes that live.
    pub alive: u64,
}

impl Counts {
    fn new(real: usize) -> Counts {
        let none = vec![Carried::default(); real + 1];
        Counts { to: none.clone(), from: none, ..Counts::default() }
    }

    /// A datagram has left for a real process, or for a hollow node.
    pub fn sent(&mut self, to: Option<usize>, kind: &str, bytes: u64) {
        let last = self.to.len() - 1;
        self.to[to.unwrap_or(last)].add(bytes);
        self.kind(kind).0.add(bytes);
    }

    /// One has come from there.
    pub fn received(&mut self, from: Option<usize>, kind: &str, bytes: u64) {
        let last = self.from.len() - 1;
        self.from[from.unwrap_or(last)].add(bytes);
        self.kind(kind).1.add(bytes);
    }

    fn kind(&mut self, kind: &str) -> &mut (Carried, Carried) {
        if !self.kinds.contains_key(kind) {
            self.kinds.insert(kind.to_owned(), Default::default());
        }
        self.kinds.get_mut(kind).expect("it was put there")
    }

    /// Both hosts' together.
    #[must_use]
    pub fn and(mut self, other: &Counts) -> Counts {
        let add = |a: &mut Vec<Carried>, b: &[Carried]| {
            a.resize(a.len().max(b.len()), Carried::default());
            a.iter_mut().zip(b).for_each(|(a, b)| *a = a.and(*b));
        };
        add(&mut self.to, &other.to);
        add(&mut self.from, &other.from);
        for (kind, (sent, received)) in &other.kinds {
            let both = self.kind(kind);
            *both = (both.0.and(*sent), both.1.and(*received));
        }
        self.cut += other.cut;
        self.unsent += other.unsent;
        self.too_large += other.too_large;
        self.strange += other.strange;
        self.unused += other.unused;
        self.refuted += other.refuted;
        self.alive += other.alive;
        self
    }
}

/// How what may be spent of the followed budgets has changed, by the clock that all processes of the machine share.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Sums {
    /// When (µs), which budget, by how much.
    pub changes: Vec<(u64, usize, i64)>,
}

/// Changes that are kept between two reads; beyond them the sums are not known, which [`Report::Failed`] says.
const CHANGES_MAX: usize = 4_000_000;

impl Sums {
    /// Some node may spend more or less from then on.
    pub fn change(&mut self, budget: usize, at: LeaseInstant, by: i64) {
        if by != 0 && self.changes.len() < CHANGES_MAX {
            self.changes.push((at.0, budget, by));
        }
    }

    /// The most that might be spent at one moment, for each followed budget, beginning with what could be before; and
    /// what could be at the end.
    #[must_use]
    pub fn most(mut self, before: [i64; FOLLOWED]) -> ([i64; FOLLOWED], [i64; FOLLOWED]) {
        // What is given back in a moment is counted before what is given out in it.
        self.changes.sort_by_key(|(at, budget, by)| (*at, *budget, *by));
        let (mut now, mut most) = (before, before);
        for (_, budget, by) in self.changes {
            now[budget] += by;
            most[budget] = most[budget].max(now[budget]);
        }
        (most, now)
    }
}

struct Place {
    node: Rc<RefCell<Hollow>>,
    task: JoinHandle<()>,
}

/// Runs a node until its task is dropped.
async fn run(node: Rc<RefCell<Hollow>>, begin: Begin) {
    let following = node.borrow().following.clone();
    if let (Some(following), Begin::Cold) = (following, begin) {
        following.start().await;
    }
    tokio::join!(live(node.clone()), follow(node));
}

struct Host {
    world: Rc<World>,
    nodes: Rc<RefCell<BTreeMap<usize, Place>>>,
    /// Nodes that could not be started, and why the last.
    failed: Rc<RefCell<Option<String>>>,
}

impl Host {
    fn new(setup: Setup) -> Result<Host, String> {
        let fleet = Fleet::load(&setup.file, None).map_err(|e| e.to_string())?;
        let framing = DatagramCodec::for_fleet(&fleet.name);
        let real: HashMap<_, _> = setup.real.iter().enumerate().map(|(i, r)| (r.at, i)).collect();
        let counts = RefCell::new(Counts::new(setup.real.len()));
        let (cut, sums) = (Cell::new(false), RefCell::default());
        let (catalog, flow) = (RefCell::default(), RefCell::default());
        let world = Rc::new(World { fleet, framing, setup, real, cut, counts, sums, catalog, flow });
        Ok(Host { world, nodes: Rc::default(), failed: Rc::default() })
    }

    /// Fetches the newest version, which the nodes that join later begin with.
    async fn found(&self) -> Report {
        match ReplicaClient::new(&self.world.fleet).fetch_latest().await {
            Ok(catalog) => {
                self.world.catalog.borrow_mut().newest = catalog;
                Report::Done
            }
            Err(e) => Report::Failed(e.to_string()),
        }
    }

    fn join(&self, nodes: Vec<(usize, u64)>, over: Duration, begin: Begin) {
        let (world, all, failed) = (self.world.clone(), self.nodes.clone(), self.failed.clone());
        let each = over / u32::try_from(nodes.len().max(1)).unwrap_or(1);
        spawn_local(async move {
            for (index, incarnation) in nodes {
                match Hollow::open(world.clone(), index, incarnation, begin).await {
                    Ok(node) => {
                        let node = Rc::new(RefCell::new(node));
                        let task = spawn_local(run(node.clone(), begin));
                        all.borrow_mut().insert(index, Place { node, task });
                    }
                    Err(e) => *failed.borrow_mut() = Some(format!("h{index}: {e}")),
                }
                sleep(each).await;
            }
        });
    }

    fn end(&self, nodes: &[usize], how: fn(&mut Hollow)) {
        for index in nodes {
            let Some(place) = self.nodes.borrow_mut().remove(index) else { continue };
            place.task.abort();
            let mut node = place.node.borrow_mut();
            how(&mut node);
            self.world.counts.borrow_mut().unused += node.dropped();
        }
    }

    fn census(&self, expected: &[Vec<u64>; 2]) -> Census {
        let mut all = Census::default();
        for (index, place) in self.nodes.borrow().iter() {
            let (missing, extra) = place.node.borrow().census(expected, *index);
            all = all.and(Census {
                nodes: 1,
                right: u32::from(missing + extra == 0),
                missing: u64::from(missing),
                extra: u64::from(extra),
                worst: missing,
            });
        }
        all
    }

    fn obey(&self, order: Order) -> Report {
        if let Some(why) = self.failed.borrow().clone() {
            return Report::Failed(why);
        }
        match order {
            Order::Setup(_) => return Report::Failed("set up twice".to_owned()),
            Order::Found => return Report::Failed("not here".to_owned()),
            Order::Join(nodes, over, begin) => self.join(nodes, over, begin),
            Order::Versions => {
                let mut versions = std::mem::take(&mut self.world.catalog.borrow_mut().versions);
                versions.flow = self.world.flow.take();
                return Report::Versions(Box::new(versions));
            }
            Order::Kill(nodes) => self.end(&nodes, Hollow::killed),
            Order::Leave(nodes) => self.end(&nodes, Hollow::leave),
            Order::Cut(cut) => self.world.cut.set(cut),
            Order::Census(expected) => return Report::Census(self.census(&expected)),
            Order::Read => {
                let sums = self.world.sums.take();
                if sums.changes.len() >= CHANGES_MAX {
                    return Report::Failed("more changes of shares than are kept".to_owned());
                }
                let mut counts = self.world.counts.borrow().clone();
                let nodes = self.nodes.borrow();
                counts.unused += nodes.values().map(|p| p.node.borrow().dropped()).sum::<u64>();
                counts.alive = nodes.len() as u64;
                return Report::Read(Box::new((counts, sums)));
            }
        }
        Report::Done
    }
}

/// Does as it is told until nobody tells it any more; within a [`tokio::task::LocalSet`].
pub async fn serve(mut orders: mpsc::Receiver<Order>, reports: mpsc::Sender<Report>) {
    let mut host = None;
    while let Some(order) = orders.recv().await {
        let report = match (&host, order) {
            (None, Order::Setup(setup)) => match Host::new(setup) {
                Ok(new) => {
                    host = Some(new);
                    Report::Done
                }
                Err(why) => Report::Failed(why),
            },
            (None, _) => Report::Failed("not set up".to_owned()),
            (Some(host), Order::Found) => host.found().await,
            (Some(host), order) => host.obey(order),
        };
        if reports.send(report).await.is_err() {
            return;
        }
    }
}
