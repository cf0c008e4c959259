//! The door: who may come in, at what pace, and who makes room for whom.
//!
//! It keeps an account of each connection: what it holds (bytes half in, bytes owed, a descriptor, since when) and
//! what it has earned by making progress. It does no I/O and is told the time; each connection's driver reports to it
//! and does what it is told, and the runtime carries out what [`Door::sweep`] says.
//!
//! What it guards against: senders that trickle or stall and hold memory and descriptors meanwhile, crowds that say
//! nothing, many connections of one source, readers that take nothing, and a clock that jumps. It closes nobody for
//! being slow who keeps the least rate, and it never lets what is half in exceed its budget.

pub mod profile;
pub mod sources;
mod tab;

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

use crate::end::End;
use crate::interface::Micros;
use profile::Profile;
use sources::{Excess, SourceLimits, Sources};
pub use tab::Verdict;
use tab::{REST_MIN, Still, Tab};

/// A connection of any gate; numbers are never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// A listener, by its place in [`DoorSettings::gates`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GateId(pub usize);

/// A connection that has asked nothing for this long gives way to any other.
const MUTE: Micros = Micros::from_millis(200);
/// Connections that are told to make room at a time when nobody can come in: room is short for a moment only.
const GOING: usize = 4;
/// The door's own time goes on by this much at most between two calls; the runtime calls at least each second. What
/// goes beyond is a clock that jumped or a machine that stood still, and is charged to nobody.
const STEP_MAX: Micros = Micros::from_millis(2_000);
/// A look that was ordered and led to no report is ordered again after this long.
const LOOK_AGAIN: Micros = Micros::from_millis(1_000);
/// Who adds to its message within this time is not in the way of the budget.
const SILENT: Micros = Micros::from_millis(1_000);
/// Who is to make room in the budget is sought this often at most, as it takes a look at everybody.
const SEEK: Micros = Micros::from_millis(20);
/// Bytes that are read from a connection at a time.
pub const CHUNK: usize = 16 << 10;
/// Bytes owed to a peer beyond which nothing more is read from it, at the least and at the most: an answer of the
/// platform fits several times, and no peer needs more to be kept busy.
const OWED: std::ops::RangeInclusive<usize> = 16 << 10..=256 << 10;

/// What a gate allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateSettings {
    /// What is expected of those who come through it.
    pub profile: Profile,
    /// Connections at a time, 1 or more.
    pub room: usize,
    /// Bytes of one half-read request: no more than a held request costs.
    pub half_in: usize,
}

/// What the door works with.
#[derive(Clone, Debug)]
pub struct DoorSettings {
    /// The gates.
    pub gates: Vec<GateSettings>,
    /// Bytes half in, over all connections; at least the largest `half_in` of the gates.
    pub half_in: usize,
    /// Bytes owed to peers, over all connections.
    pub owed: usize,
    /// Limits for one source.
    pub sources: SourceLimits,
}

/// What a connection's driver has to say. Figures are of now unless they say otherwise.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Bytes read since the last report.
    pub fresh: usize,
    /// Parts of messages that have become whole since, and whole messages among them.
    pub parts: usize,
    /// Messages that have become whole since.
    pub whole: usize,
    /// Of those, the ones that the core was given.
    pub asked: usize,
    /// Answers that have been taken from the core since.
    pub answered: usize,
    /// Bytes that the peer has taken since.
    pub taken: usize,
    /// Bytes of an unfinished message.
    pub half_in: usize,
    /// Bytes that the message still lacks, where that is known.
    pub missing: Option<usize>,
    /// A half-read request that is not given up to make room, under fixed patience.
    pub sheltered: bool,
    /// Requests open.
    pub open: usize,
    /// Bytes of answers not sent yet.
    pub owed: usize,
    /// The socket has been looked at since the last report.
    pub looked: bool,
    /// There is something to read for which the budget has no room.
    pub blocked: bool,
    /// This side reads nothing of its own accord.
    pub held_back: bool,
    /// Under fixed patience, how long the next message may take and the end if it does not come. Under progress it
    /// only tells whether one is awaited.
    pub patience: Option<(Micros, End)>,
    /// The deadline of the request's class; the longest of all while it is not known.
    pub deadline: Micros,
}

/// What a driver does next about reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Order {
    /// Read as soon as there is something, as much as [`Door::may_read`] says then.
    Read,
    /// Leave the socket alone until a [`Verdict::Look`].
    Rest,
    /// It is over.
    Close(End),
}

/// Whether a connection is taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Admission {
    /// It is, under that number.
    Enter(ConnId),
    /// It is, and another makes room for it.
    Swap {
        /// The new one.
        enter: ConnId,
        /// The one that goes.
        goes: ConnId,
    },
    /// It is not.
    Refuse(End),
}

/// What the door has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Most bytes half in at a time.
    pub half_in_most: usize,
    /// Most bytes owed at a time.
    pub owed_most: usize,
    /// Rests ordered.
    pub rests: u64,
    /// Looks ordered.
    pub looks: u64,
    /// Reads held back as the budget was used up.
    pub waits: u64,
    /// Connections that made room, told by the door.
    pub crowded: u64,
    /// Connections not taken in as their source had its share.
    pub excess: u64,
    /// Turns of connections' tasks.
    pub wakes: u64,
    /// Answers that were given and, as far as is known, not taken.
    pub undelivered: u64,
}

impl std::fmt::Display for Tally {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Tally { half_in_most, owed_most, rests, looks, waits, crowded, excess, wakes, undelivered } =
            self;
        write!(
            f,
            "half_in_most={half_in_most} owed_most={owed_most} rests={rests} looks={looks} waits={waits} "
        )?;
        write!(f, "crowded={crowded} excess={excess} wakes={wakes} undelivered={undelivered}")
    }
}

/// The door.
#[derive(Debug)]
pub struct Door {
    settings: DoorSettings,
    owed_max: usize,
    tabs: HashMap<ConnId, Tab>,
    counts: Vec<usize>,
    next: u64,
    sources: Sources,
    /// When each connection is to be thought of again, one entry a connection.
    due: BTreeSet<(Micros, ConnId)>,
    /// Messages half in, eldest first.
    midway: BTreeSet<(Micros, ConnId)>,
    /// Who waits for room in the budget, first come first.
    waiting: BTreeSet<(Micros, ConnId)>,
    half_in: usize,
    owed: usize,
    /// The door's own time, and the clock's when it was last told.
    time: Micros,
    told: Option<Micros>,
    /// When the runtime will sweep.
    armed: Micros,
    /// When somebody was last sought to make room in the budget.
    sought: Option<Micros>,
    sentenced: Vec<(ConnId, Verdict)>,
    /// What has been counted.
    pub tally: Tally,
}

impl Door {
    /// An empty house.
    pub fn new(settings: DoorSettings) -> Door {
        let room: usize = settings.gates.iter().map(|g| g.room).sum();
        Door {
            owed_max: (settings.owed / room.max(1)).clamp(*OWED.start(), *OWED.end()),
            counts: vec![0; settings.gates.len()],
            sources: Sources::new(settings.sources),
            settings,
            tabs: HashMap::new(),
            next: 0,
            due: BTreeSet::new(),
            midway: BTreeSet::new(),
            waiting: BTreeSet::new(),
            half_in: 0,
            owed: 0,
            time: Micros(0),
            told: None,
            armed: Micros(0),
            sought: None,
            sentenced: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// Bytes owed to one peer beyond which nothing more is read from it.
    pub fn owed_max(&self) -> usize {
        self.owed_max
    }

    /// Connections.
    pub fn len(&self) -> usize {
        self.tabs.len()
    }

    /// Whether nobody is there.
    pub fn is_empty(&self) -> bool {
        self.tabs.is_empty()
    }

    /// Bytes half in and bytes owed.
    pub fn holds(&self) -> (usize, usize) {
        (self.half_in, self.owed)
    }

    /// Sources known.
    pub fn sources(&self) -> usize {
        self.sources.len()
    }

    /// The profile of a gate.
    pub fn profile(&self, gate: GateId) -> &Profile {
        &self.settings.gates[gate.0].profile
    }

    fn tick(&mut self, now: Micros) -> Micros {
        let last = self.told.unwrap_or(now);
        self.time = self.time + (now - last).min(STEP_MAX);
        self.told = Some(last.max(now));
        self.time
    }

    /// A connection wants to come in through a gate.
    pub fn admit(&mut self, now: Micros, gate: GateId, from: IpAddr) -> Admission {
        let now = self.tick(now);
        let source = self.sources.of(from);
        let excess = self.sources.may_enter(now, source).err();
        let full = self.counts[gate.0] >= self.settings.gates[gate.0].room;
        let goes = match (excess, full) {
            (Some(Excess::Arrivals), _) => {
                self.tally.excess += 1;
                return Admission::Refuse(End::Excess);
            }
            // One of its own goes, or it does not come in.
            (Some(Excess::Connections), _) => match self.first_to_go(now, false, |t| t.source == source) {
                Some(goes) => Some(goes),
                None => {
                    self.tally.excess += 1;
                    return Admission::Refuse(End::Excess);
                }
            },
            (None, true) => match self.first_to_go(now, false, |t| t.gate == gate) {
                Some(goes) => Some(goes),
                // All are waiting for an answer: refusing this one at once tells its caller to go elsewhere.
                None => return Admission::Refuse(End::Crowded),
            },
            (None, false) => None,
        };
        self.sources.enter(now, source);
        self.next += 1;
        let enter = ConnId(self.next);
        let profile = self.settings.gates[gate.0].profile;
        self.tabs.insert(enter, Tab::new(now, gate, source, profile));
        self.counts[gate.0] += 1;
        match goes {
            Some(goes) => {
                self.show_out(goes);
                Admission::Swap { enter, goes }
            }
            None => Admission::Enter(enter),
        }
    }

    /// Nobody can come in through a gate before somebody goes, for want of descriptors: who is to go. Who has just
    /// come in may be about to ask and stays.
    pub fn full(&mut self, now: Micros, gate: GateId) -> Vec<ConnId> {
        let now = self.tick(now);
        let going = self.tabs.values().filter(|t| t.leaving).count();
        let mut all = Vec::new();
        for _ in going..GOING {
            let Some(goes) = self.first_to_go(now, true, |t| t.gate == gate) else { break };
            self.show_out(goes);
            all.push(goes);
        }
        all
    }

    fn first_to_go(&self, now: Micros, spare_new: bool, of: impl Fn(&Tab) -> bool) -> Option<ConnId> {
        let all = self.tabs.iter().filter(|(_, t)| of(t));
        all.filter_map(|(id, t)| t.place(now, MUTE, spare_new, *id)).min().map(|p| p.2)
    }

    fn show_out(&mut self, id: ConnId) {
        self.tally.crowded += 1;
        if let Some(t) = self.tabs.get_mut(&id) {
            t.leaving = true;
        }
    }

    /// A connection reports; what it is to do about reading.
    pub fn report(&mut self, now: Micros, id: ConnId, report: &Report) -> Order {
        let now = self.tick(now);
        let Some(mut tab) = self.tabs.remove(&id) else { return Order::Close(End::Crowded) };
        self.half_in = self.half_in + report.half_in - tab.half_in;
        self.owed = self.owed + report.owed - tab.owed;
        self.tally.half_in_most = self.tally.half_in_most.max(self.half_in);
        self.tally.owed_most = self.tally.owed_most.max(self.owed);
        if let Some(begun) = tab.begun {
            self.midway.remove(&(begun, id));
            self.waiting.remove(&(begun, id));
        }
        tab.note(now, report);
        if let Some(begun) = tab.begun {
            self.midway.insert((begun, id));
        }
        let order = self.order(now, id, &mut tab, report);
        self.schedule(id, &mut tab);
        self.tabs.insert(id, tab);
        self.make_way(now);
        self.lighten(now);
        order
    }

    fn order(&mut self, now: Micros, id: ConnId, tab: &mut Tab, r: &Report) -> Order {
        match tab.still {
            // Whatever else woke it, its rest goes on; else what wakes it often would put off its look for ever.
            Still::Resting(until) if !r.looked && until > now && tab.begun.is_some() => return Order::Rest,
            _ => tab.still = Still::No,
        }
        let room = self.allowance(id, tab);
        if room == 0 && tab.half_in >= self.settings.gates[tab.gate.0].half_in {
            return Order::Close(End::Oversized);
        }
        if room == 0 && r.blocked {
            self.tally.waits += 1;
            tab.still = Still::Waiting;
            self.waiting.insert((tab.begun.unwrap_or(now), id));
            return Order::Rest;
        }
        if tab.is_broke(now) && !r.held_back {
            // Only what was looked for and did not come is held against a sender.
            if r.looked {
                return Order::Close(End::Slow);
            }
            tab.still = Still::Resting(now);
            return Order::Rest;
        }
        if let Some(span) = tab.rest(now).filter(|_| !r.held_back) {
            self.tally.rests += 1;
            tab.still = Still::Resting(now + span);
            return Order::Rest;
        }
        if room == 0 {
            // Whether it has anything to say is not known; the next look tells.
            tab.still = Still::Resting(now + REST_MIN);
            return Order::Rest;
        }
        Order::Read
    }

    /// Bytes that may be read from a connection at this moment.
    pub fn may_read(&self, id: ConnId) -> usize {
        self.tabs.get(&id).map_or(0, |t| self.allowance(id, t))
    }

    /// Bytes that may be read from a connection now, so that what is half in stays within the budget. One message's
    /// worth of the budget is left to the eldest message, so that there is always one that can become whole.
    fn allowance(&self, id: ConnId, tab: &Tab) -> usize {
        let gate = self.settings.gates[tab.gate.0].half_in;
        let reserve = self.settings.gates.iter().map(|g| g.half_in).max().unwrap_or(0);
        let eldest = self.midway.first().is_none_or(|(_, first)| *first == id);
        let budget =
            if eldest { self.settings.half_in } else { self.settings.half_in.saturating_sub(reserve) };
        let own = gate.saturating_sub(tab.half_in);
        own.min(budget.saturating_sub(self.half_in)).min(CHUNK)
    }

    /// Where somebody waits for room in the budget: whoever holds most of it for longest without adding to its message
    /// makes some; and who waits is looked at as soon as there is some.
    fn make_way(&mut self, now: Micros) {
        let Some(&(begun, first)) = self.waiting.first() else { return };
        let room = self.tabs.get(&first).map_or(0, |t| self.allowance(first, t));
        if room > 0 {
            self.waiting.remove(&(begun, first));
            if let Some(mut tab) = self.tabs.remove(&first) {
                tab.resume(now);
                self.schedule(first, &mut tab);
                self.tabs.insert(first, tab);
            }
            return;
        }
        if !self.seek(now) {
            return;
        }
        let all = self.tabs.iter().filter_map(|(id, t)| Some((t.weight(now, SILENT)?, *id)));
        if let Some((_, goes)) = all.max() {
            self.show_out(goes);
            self.sentenced.push((goes, Verdict::Close(End::Crowded)));
        }
    }

    /// Where more is owed than there is room for: the reader that has taken nothing for longest is cut off.
    fn lighten(&mut self, now: Micros) {
        if self.owed <= self.settings.owed || !self.seek(now) {
            return;
        }
        let readers = self.tabs.iter().filter(|(_, t)| t.owed > 0 && !t.leaving);
        let worst = readers.min_by_key(|(id, t)| (t.taken, usize::MAX - t.owed, **id)).map(|(id, _)| *id);
        if let Some(worst) = worst {
            self.show_out(worst);
            self.sentenced.push((worst, Verdict::Close(End::Stalled)));
        }
    }

    /// Whether it is time to look at everybody again, and not too many are on their way out.
    fn seek(&mut self, now: Micros) -> bool {
        if self.sought.is_some_and(|s| now < s + SEEK) {
            return false;
        }
        self.sought = Some(now);
        self.tabs.values().filter(|t| t.leaving).count() < GOING
    }

    fn schedule(&mut self, id: ConnId, tab: &mut Tab) {
        let next = tab.next();
        // An entry that comes too early is looked at and put off; moving it at each byte would cost more.
        if next.is_some_and(|n| tab.due.is_none_or(|d| n < d)) {
            if let Some(old) = tab.due.take() {
                self.due.remove(&(old, id));
            }
            tab.due = next;
            self.due.extend(next.map(|n| (n, id)));
        }
    }

    fn put_off(&mut self, id: ConnId, tab: &mut Tab, least: Micros) {
        tab.due = tab.next().map(|n| n.max(least));
        self.due.extend(tab.due.map(|d| (d, id)));
    }

    /// How long until [`Door::sweep`] is to be called, from the last time that the door was told; a second at most.
    pub fn wait(&mut self) -> Micros {
        let sentenced = (!self.sentenced.is_empty()).then_some(self.time);
        let first = sentenced.or(self.due.first().map(|d| d.0)).unwrap_or(self.time + LOOK_AGAIN);
        self.armed = first.min(self.time + LOOK_AGAIN);
        self.armed - self.time
    }

    /// Whether [`Door::sweep`] is to be called sooner than [`Door::wait`] said.
    pub fn early(&self) -> bool {
        !self.sentenced.is_empty() || self.due.first().is_some_and(|d| d.0 < self.armed)
    }

    /// What has fallen due: whom to look at and whom to close.
    pub fn sweep(&mut self, now: Micros) -> Vec<(ConnId, Verdict)> {
        let now = self.tick(now);
        self.make_way(now);
        let mut all = std::mem::take(&mut self.sentenced);
        while let Some(&(when, id)) = self.due.first() {
            if when > now {
                break;
            }
            self.due.pop_first();
            let Some(mut tab) = self.tabs.remove(&id) else { continue };
            tab.due = None;
            match tab.verdict(now) {
                Some(Verdict::Look) => {
                    self.tally.looks += 1;
                    // Should the look get lost, it is ordered again.
                    tab.still = Still::Resting(now + LOOK_AGAIN);
                    self.put_off(id, &mut tab, now + LOOK_AGAIN);
                    all.push((id, Verdict::Look));
                }
                Some(close) => all.push((id, close)),
                // Nothing that is put off comes back in the same instant.
                None => self.put_off(id, &mut tab, now + REST_MIN),
            }
            self.tabs.insert(id, tab);
        }
        all
    }

    /// The module wants connections closed that have carried nothing for this long: those that may be meant.
    pub fn idle(&mut self, now: Micros, span: Micros) -> Vec<ConnId> {
        let now = self.tick(now);
        let idle = |t: &Tab| t.since + span <= now && t.half_in == 0 && t.open == 0 && t.owed == 0;
        self.tabs.iter().filter(|(_, t)| idle(t)).map(|(id, _)| *id).collect()
    }

    /// A connection is over, with so many answers that were not taken.
    pub fn left(&mut self, now: Micros, id: ConnId, undelivered: u64) {
        let now = self.tick(now);
        self.tally.undelivered += undelivered;
        let Some(tab) = self.tabs.remove(&id) else { return };
        self.half_in -= tab.half_in;
        self.owed -= tab.owed;
        self.counts[tab.gate.0] -= 1;
        self.sources.leave(now, tab.source);
        if let Some(begun) = tab.begun {
            self.midway.remove(&(begun, id));
            self.waiting.remove(&(begun, id));
        }
        if let Some(due) = tab.due {
            self.due.remove(&(due, id));
        }
        self.make_way(now);
    }
}
