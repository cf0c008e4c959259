//! Every decision of holdlift, for one server. The types it speaks in are in `src/interface.rs`.
//!
//! Read in this order: constants; `next_n`, the paper's update of N; `Control`, which counts starts and
//! measures occupancy; `Policy`, which keeps the hold and the guards of the four rules.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::*;
use crate::state::{Entries, Job, Phase, Usual, follow};

// Control, in the paper's terms. "Paper's" values are its own; "ours" are open in the design.
/// Call Control Period, s (ours): as short as rounding N down allows, so that a spent N is soon renewed.
const CC_PERIOD: f64 = 1.0;
/// Call Control Periods in one update interval OPPUI (ours): a gauge of half a second needs a few.
const PERIODS_PER_OPPUI: u32 = 2;
/// Entries of the start program in a period (ours); max.calls.per.entry is N's even part of one.
const ENTRIES: f64 = 10.0;
/// max.occup, busy share (ours): the run bound absorbs peaks, so the margin can be thinner than 0.95.
const MAX_OCCUP: f64 = 0.97;
/// occ.too.high, busy share (ours), as close above max.occup as the paper's.
const OCC_TOO_HIGH: f64 = 0.99;
/// addl.decrement, fraction (ours): half the paper's, as intervals are shorter.
const ADDL_DECREMENT: f64 = 0.05;
/// max.increase, fraction (paper's default on the design page).
const MAX_INCREASE: f64 = 0.1;
/// max.decrease, requests (paper's): an absolute step.
const MAX_DECREASE: f64 = 1.0;
/// min.occup, busy share (ours; the paper has 0.75): reading alone can take that, and N must not bind then.
const MIN_OCCUP: f64 = 0.92;
/// min.fraction.calls, fraction of N (paper's).
const MIN_FRACTION_CALLS: f64 = 0.75;
/// Least occupancy above overhead that the ratio may divide by (design page).
const MIN_SPREAD: f64 = 0.05;

// The hold and the guards (all ours).
/// Housekeeping timer, ms: a quarter of the tightest answer slack seen in practice.
const TICK_MS: u64 = 15;
/// Everything is answered this long before the process is stopped.
const STOP_MARGIN: Micros = Micros::from_millis(4 * TICK_MS);
/// Running requests on the cores, per core: one each; batches follow so closely that more only share cores.
const RUN_PER_CORE: f64 = 1.0;
/// Running requests per core that reading cannot take away: part of the cores goes on serving.
const LEAST_RUNS: f64 = 0.3;
/// Calls in hand per core, where no share of what lies below is told.
const CALLS_PER_CORE: f64 = 4.0;
/// Part of the survivable crowd that may be used.
const CROWD_USE: f64 = 0.75;
/// Part of memory beyond which nothing starts, and beyond which held work is turned away.
const MEMORY_START: f64 = 0.85;
const MEMORY_HOLD: f64 = 0.93;
/// Part of the expected run that must fit into the time left: on idle cores, and on busy ones. A first try
/// that is turned away soon may still be served elsewhere, so it is let in only where nine runs in ten would
/// end in time; a further one has been elsewhere, and turned away again it is mostly lost: more likely in
/// time than not is enough.
const FIT_IDLE: f64 = 0.3;
const FIT_BUSY: f64 = 2.4;
const FIT_BUSY_AGAIN: f64 = 1.2;
/// Fraction of its time that a request waits in the hold before it may be turned away as hopeless.
const RIPE: f64 = 0.05;
/// Part of the told dependency share used, as it slows well before it falls; what comes on top for each root
/// of that, as the smaller a share, the more of it lies idle by chance; and the most.
const DEPENDENCY_USE: f64 = 0.2;
const DEPENDENCY_SPREAD: f64 = 0.3;
const DEPENDENCY_MOST: f64 = 0.5;
/// Times the slowest good call of late that a call which may be made again is waited for, twice as long
/// after each failure, where calls go unanswered. Elsewhere that throws slow answers away when repeats hurt.
const CALL_PATIENCE: f64 = 2.0;
/// Part of its aim a class may wait in the hold, on average, before callers are asked to send less.
const WAIT_PART: f64 = 0.3;
/// Least allowance, requests over all callers: enough to notice that pressure has gone.
const LEAST_ALLOWANCE: f64 = 1.0;
/// Seconds between changes of the free value.
const SIGNAL_EVERY: f64 = 0.2;
/// Ranks by which the floor rises for each unit of pressure, slowly as callers lag, and falls without.
const FLOOR_STEP: f64 = 0.015;
const FLOOR_FALL: f64 = 0.04;
/// What is shed may be tried elsewhere less often by this multiple of the share refused here.
const WALK_CUT: f64 = 2.0;
/// Open connections per core from which idle ones are closed, and after how long without traffic.
const LINKS_PER_CORE: f64 = 8.0;
const LINK_IDLE: Micros = Micros::from_millis(3_000);

/// Steps of the order in the hold within the ranks 0 to 1.
const ORDERS: f64 = 1e12;
/// What one update interval measured.
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    /// Mean busy share of the cores.
    pub occup: f64,
    /// Busy share at light load.
    pub overhead: f64,
    /// Mean starts per control period.
    pub starts: f64,
    /// N during the interval; `None` before the first update.
    pub n: Option<u32>,
    /// Whether the cap held a request back.
    pub bound: bool,
}

/// N for the next interval, by the paper's section 2 as mapped on the design page; at least 1.
pub fn next_n(i: Interval) -> Option<u32> {
    let down = |x: f64| Some((x + 1e-9).floor().clamp(1.0, 1e9) as u32);
    let spread = i.occup - i.overhead;
    let prelim = (MAX_OCCUP - i.overhead).max(0.0) / spread * i.starts;
    let Some(past) = i.n else {
        // Uncapped until an interval says something about the ratio.
        let silent = spread < MIN_SPREAD || i.starts <= 0.0 || i.occup < MIN_OCCUP;
        return if silent { None } else { down(prelim) };
    };
    let past = f64::from(past);
    if i.occup < MIN_OCCUP && i.starts < MIN_FRACTION_CALLS * past {
        return i.n;
    }
    // The most that N may rise; by a whole request where the fraction would be less than one.
    let step_up = if MAX_INCREASE * past < 1.0 { past + 1.0 } else { past * (1.0 + MAX_INCREASE) };
    if spread < MIN_SPREAD {
        return down(step_up);
    }
    let floor = past - MAX_DECREASE;
    if i.occup >= OCC_TOO_HIGH {
        return down(prelim.max(floor) * (1.0 - ADDL_DECREMENT));
    }
    if !i.bound {
        return down(prelim.max(i.starts));
    }
    down(prelim.clamp(floor, step_up))
}

/// N, the period it caps, and the occupancy it follows.
#[derive(Default)]
struct Control {
    n: Option<u32>,
    period_from: Micros,
    in_period: u32,
    periods: u32,
    in_interval: u32,
    bound: bool,
    busy: f64,
    busy_sum: f64,
    samples: u32,
    overhead: f64,
}

impl Control {
    /// Ends periods and intervals that have passed.
    fn advance(&mut self, now: Micros) {
        if (now - self.period_from).as_secs_f64() < CC_PERIOD {
            return;
        }
        self.period_from = now;
        self.in_period = 0;
        self.periods += 1;
        if self.periods >= PERIODS_PER_OPPUI && self.samples > 0 {
            self.n = next_n(Interval {
                occup: self.busy_sum / f64::from(self.samples),
                overhead: self.overhead,
                starts: f64::from(self.in_interval) / f64::from(self.periods),
                n: self.n,
                bound: self.bound,
            });
            (self.periods, self.in_interval, self.bound, self.busy_sum, self.samples) = (0, 0, false, 0.0, 0);
        }
    }

    /// Whether one more may start in this entry. The cap binds only above min.occup.
    fn allows(&mut self, now: Micros) -> bool {
        let Some(n) = self.n else { return true };
        let entry = ((now - self.period_from).as_secs_f64() / CC_PERIOD * ENTRIES).floor() + 1.0;
        let room = f64::from(self.in_period) < (f64::from(n) * (entry / ENTRIES).min(1.0)).ceil();
        if !room && self.busy >= MIN_OCCUP {
            self.bound = true;
            return false;
        }
        true
    }
}

/// The decision module of one server: feed it every event, carry out every action.
#[derive(Default)]
pub struct Policy {
    s: Settings,
    control: Control,
    begun_at: Option<Micros>,
    jobs: BTreeMap<RequestId, Job>,
    /// Held requests of each class, lowest order first.
    hold: Vec<BTreeSet<(i64, RequestId)>>,
    /// When to look at each request again.
    checks: BTreeSet<(Micros, RequestId)>,
    /// Outcomes of keyed work that ran, until its window has passed: `true` for well or still going.
    outcomes: BTreeMap<RequestId, bool>,
    entries: Entries,
    requests_kb: f64,
    /// Running requests, lowest order first.
    running: BTreeSet<(i64, RequestId)>,
    /// Paused requests, lowest order first.
    paused: BTreeSet<(i64, RequestId)>,
    begun: usize,
    gauge: Option<f64>,
    /// Calls waiting to be placed, by order.
    parked: BTreeSet<(i64, RequestId)>,
    calling: usize,
    /// When abandoned calls leave the dependency's hands at the latest.
    lingering: VecDeque<Micros>,
    calls_mean: f64,
    calls_at: Micros,
    usual: Usual,
    signal: f64,
    signal_at: Micros,
    /// Mean time that requests waited unread, s.
    unread: f64,
    /// Share of requests turned away, of those started or turned away lately.
    refused: f64,
    walk_credit: f64,
    /// When the notice to leave came, and when the process is stopped, with a notice or replaced.
    notice: Option<Micros>,
    stop: Option<Micros>,
    last_log: Micros,
}

impl Policy {
    /// A fresh instance that knows only its settings. No lots are drawn, so the seed changes nothing.
    pub fn new(settings: Settings, _seed: u64) -> Result<Policy, SettingsError> {
        settings.validate()?;
        let s = settings;
        // Cold starts reset N low, as the paper does on reload.
        let n = s.cold.then(|| (f64::from(s.cores) * s.cold_from).ceil().max(1.0) as u32);
        Ok(Policy {
            control: Control { n, ..Control::default() },
            hold: vec![BTreeSet::new(); s.classes.len()],
            usual: Usual::new(&s),
            signal: f64::NAN,
            s,
            ..Policy::default()
        })
    }

    /// Takes a batch of events at one clock time and appends the actions they call for. Call it once with no
    /// events right after the start. Unknown and finished requests are ignored.
    ///
    /// # Errors
    /// An event that does not fit the settings; nothing of the batch has been acted on then.
    pub fn step(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) -> Result<(), EventError> {
        for e in events {
            e.validate(&self.s)?;
        }
        if self.begun_at.is_none() {
            self.begun_at = Some(now);
            self.control.period_from = now;
            (self.calls_at, self.signal_at) = (now, now);
            out.push(Action::Health { stored: true, good: true });
            out.push(Action::Timer(TimerToken(0), Micros::from_millis(TICK_MS)));
        }
        self.expire(now);
        // Both tries of one request may come in one batch: all are taken in before any is linked.
        let mut fresh = Vec::new();
        for e in events {
            match e {
                Event::Arrived(r) => {
                    self.arrive(now, r);
                    fresh.push(r.id);
                }
                Event::Gone(id) => self.gone(*id, out),
                Event::Drain(stop) => self.drain(now, *stop, out),
                Event::Succeeded(stop) => self.hurry(now, *stop),
                Event::NeedsCall(id) => self.needs_call(*id),
                Event::Ended(id, outcome, lag) => self.ended(now, *id, *outcome, *lag, out),
                Event::CallEnded(id, outcome, lag) => self.call_ended(now, *id, *outcome, *lag, out),
                Event::Timer(_, g) => self.tick(now, g, out),
                Event::Retuned(r) => self.retune(r),
            }
        }
        for id in fresh {
            self.link(now, id, out);
        }
        self.control.advance(now);
        self.look(now, out);
        self.shed(now, out);
        self.place_calls(now, out);
        self.start(now, out);
        Ok(())
    }

    /// Takes over other settings. What was learned stays, and so does all that is in hand: a class that has
    /// changed has another slot.
    fn retune(&mut self, r: &Retune) {
        self.s = r.settings.clone();
        self.hold.resize(self.s.classes.len(), BTreeSet::new());
        self.usual.retune(&self.s, &r.former);
    }

    // ---- arrivals and repeats ----

    fn arrive(&mut self, now: Micros, r: &Request) {
        if self.jobs.contains_key(&r.id) {
            return;
        }
        let c = &self.s.classes[r.class.0];
        let arrived = now - r.backlog;
        let mut due = r.due.filter(|d| d.0 > 0).unwrap_or(arrived + c.deadline).max(now);
        if let Some(stop) = self.stop {
            due = due.min(stop - STOP_MARGIN);
        }
        let hint = r.work.map(Micros::as_secs_f64);
        let stretch = Micros::from_secs_f64(hint.unwrap_or(0.0) * c.aim_stretch);
        follow(&mut self.unread, r.backlog.as_secs_f64());
        self.requests_kb += r.held_kb;
        let order = (r.rank.clamp(0.0, 1.0) * ORDERS) as i64;
        let job = Job {
            class: r.class.0,
            order,
            kb: r.held_kb,
            arrived,
            due,
            aim: arrived + (c.aim + stretch).min(c.deadline),
            hint,
            check: now,
            repeats: r.repeats,
            again: r.retry,
            keeps: match c.effect {
                Effect::Dedup => true,
                Effect::Retryable => self.s.fresh_for.0 > 0 && r.keyed && !r.write,
                Effect::Fragile => false,
            },
            ..Job::default()
        };
        self.jobs.insert(r.id, job);
        self.checks.insert((now, r.id));
        self.hold[r.class.0].insert((order, r.id));
    }

    fn take_from_hold(&mut self, id: RequestId) {
        if let Some(j) = self.jobs.get(&id) {
            self.hold[j.class].remove(&(j.order, id));
        }
    }

    fn held(&self) -> usize {
        self.hold.iter().map(BTreeSet::len).sum()
    }

    /// Decides what a newly read request is to others of the same kind, and whether it may be held at all.
    fn link(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(j) = self.jobs.get(&id) else { return };
        if j.phase != Phase::Held || j.answered {
            return;
        }
        // Safe drain: what came too long after the notice never runs.
        if self.notice.is_some_and(|at| j.arrived >= at + self.s.drain_grace) {
            return self.refuse(id, false, out);
        }
        let effect = self.s.classes[j.class].effect;
        if let Some(first) = j.repeats.filter(|f| *f != id) {
            match (effect, self.jobs.get(&first).map(|f| f.phase)) {
                (Effect::Dedup, Some(Phase::Held)) => {
                    // Neither has run: the newer try takes the older one's place, whose caller has moved on.
                    self.refuse(first, true, out);
                }
                (Effect::Dedup, None) if self.outcomes.get(&first) == Some(&false) => {
                    return self.fail(id, out);
                }
                (_, Some(Phase::Held)) => {
                    // A read waits behind the read it repeats.
                    if let Some(f) = self.jobs.get_mut(&first) {
                        f.followers.push(id);
                    }
                    return;
                }
                _ => return self.join(id, first, out),
            }
        }
        let Some(j) = self.jobs.get(&id) else { return };
        if !j.keeps {
            return;
        }
        let room = self.memory() + self.s.key_entry_kb <= self.s.memory_kb * MEMORY_START;
        let margin = Micros(2 * self.s.round.0) + Micros::from_millis(TICK_MS);
        match effect {
            Effect::Dedup => {
                if !room {
                    return self.refuse(id, false, out);
                }
                let span = (j.arrived + self.s.classes[j.class].window + margin) - now;
                self.keep(now, id, span.max(margin), out);
            }
            _ if room => {
                let span = (j.due + self.s.fresh_for) - now;
                self.keep(now, id, span, out);
            }
            _ => {}
        }
    }

    fn join(&mut self, id: RequestId, first: RequestId, out: &mut Vec<Action>) {
        self.take_from_hold(id);
        if let Some(j) = self.jobs.get_mut(&id) {
            j.phase = Phase::Joined;
            out.push(Action::Join(id));
        }
        if let Some(f) = self.jobs.get_mut(&first) {
            f.followers.push(id);
        }
        self.look_at(id, Micros(0));
    }

    fn keep(&mut self, now: Micros, id: RequestId, span: Micros, out: &mut Vec<Action>) {
        out.push(Action::Keep(id, span));
        // Our count outlives the entry by a batch, so that memory is never underestimated.
        self.entries.insert(id, now + span + Micros(2 * self.s.round.0));
    }

    fn expire(&mut self, now: Micros) {
        // Calls in hand since the last step count in their mean before any of them ends.
        let in_hand = self.calls_in_hand();
        let window = self.s.dependency_window.as_secs_f64().max(1e-3);
        self.calls_mean +=
            (in_hand - self.calls_mean) * (1.0 - (-(now - self.calls_at).as_secs_f64() / window).exp());
        self.calls_at = now;
        while let Some(id) = self.entries.pop_ended(now) {
            self.outcomes.remove(&id);
        }
        while self.lingering.front().is_some_and(|t| *t <= now) {
            self.lingering.pop_front();
        }
    }

    /// Memory in use, kilobytes: held, running and paused requests, and kept keys.
    fn memory(&self) -> f64 {
        self.requests_kb + self.entries.len() as f64 * self.s.key_entry_kb
    }

    // ---- answers ----

    /// Forgets a request that holds nothing any more.
    fn remove(&mut self, id: RequestId) {
        self.take_from_hold(id);
        self.leave_cores(id);
        let Some(j) = self.jobs.remove(&id) else { return };
        self.checks.remove(&(j.check, id));
        self.parked.remove(&(j.order, id));
        self.paused.remove(&(j.order, id));
        match j.phase {
            Phase::Held | Phase::Joined => self.requests_kb -= j.kb,
            phase => {
                self.requests_kb -= j.kb * self.s.run_memory_factor;
                self.begun -= 1;
                if phase == Phase::Calling {
                    self.calling -= 1;
                }
            }
        }
    }

    /// Refuses what is hopeless here; a part may be tried elsewhere. Guards against two opposite losses: work
    /// that a slow machine turns away while others have room, and a fleet that is full and drowns in reading
    /// the same requests again. The share refused here tells them apart: the more, the fewer may move on.
    /// Should also catch bursts; hurts beside one machine so slow that it refuses nearly everything.
    fn turn_away(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.walk_credit += (1.0 - WALK_CUT * self.refused).max(0.0);
        let on = self.walk_credit >= 1.0;
        self.walk_credit -= f64::from(u8::from(on));
        self.refuse(id, !on, out);
    }

    fn refuse(&mut self, id: RequestId, give_up: bool, out: &mut Vec<Action>) {
        if self.jobs.get(&id).is_some_and(|j| j.phase == Phase::Held && !j.answered) {
            follow(&mut self.refused, 1.0);
            let wait = Micros::from_secs_f64(self.drain_time()).max(Micros::from_millis(TICK_MS));
            // One that leaves takes nothing any more: without a word on that, callers come back every few ms.
            let stop = self.stop.filter(|_| self.notice.is_some());
            let wait = stop.map_or(wait, |stop| wait.max(stop - self.calls_at));
            out.push(Action::Refuse { id, give_up, wait: wait.min(self.s.retry_after_max) });
            self.unkeep(id, out);
            self.remove(id);
        }
    }

    /// Frees the entry of a request that never ran.
    fn unkeep(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.entries.remove(id) {
            out.push(Action::Forget(id));
        }
    }

    /// Answers without a promise. Running work goes on unless it can be stopped, and counts till it ends.
    fn fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(j) = self.jobs.get_mut(&id) else { return };
        if !j.answered {
            out.push(Action::Fail(id));
            j.answered = true;
        }
        let (phase, order, class) = (j.phase, j.order, j.class);
        if phase == Phase::Calling {
            self.usual.not_answered(class, self.calls_at - j.called);
        }
        match phase {
            Phase::Held | Phase::Joined | Phase::Paused => {
                if phase == Phase::Held {
                    self.unkeep(id, out);
                }
                self.remove(id);
            }
            Phase::Running if self.s.halt != Halt::None => {
                // Not keyed work, whose repeat will ask for its outcome, nor what others wait for.
                let joined = |f: &RequestId| self.jobs.get(f).is_some_and(|f| f.phase == Phase::Joined);
                let wanted = self.jobs.get(&id).is_some_and(|j| j.followers.iter().any(joined));
                if self.s.classes[class].effect == Effect::Retryable && !wanted {
                    out.push(Action::Stop(id));
                }
            }
            _ => {
                self.parked.remove(&(order, id));
            }
        }
    }

    fn gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(j) = self.jobs.get_mut(&id) {
            j.answered = true;
            self.fail(id, out);
        }
    }

    fn drain(&mut self, now: Micros, stop: Micros, out: &mut Vec<Action>) {
        self.notice.get_or_insert(now);
        out.push(Action::Health { stored: true, good: false });
        out.push(Action::Log(format!("drain: {} held, {} begun", self.held(), self.begun)));
        self.hurry(now, stop);
    }

    /// All is answered before the process is stopped.
    fn hurry(&mut self, now: Micros, stop: Micros) {
        self.stop.get_or_insert(stop);
        let last = stop - STOP_MARGIN;
        let ids: Vec<RequestId> = self.jobs.keys().copied().collect();
        for id in ids {
            self.look_at(id, now);
            if let Some(j) = self.jobs.get_mut(&id) {
                j.due = j.due.min(last);
            }
        }
    }

    // ---- time ----

    fn look_at(&mut self, id: RequestId, when: Micros) {
        let Some(j) = self.jobs.get_mut(&id) else { return };
        self.checks.remove(&(j.check, id));
        j.check = when;
        self.checks.insert((when, id));
    }

    /// Expected time from start to end, s.
    fn run_time(&self, j: &Job) -> f64 {
        // Hints err by as much as work varies, so a large one tells of half its excess (in logarithms).
        let usual = self.usual.class_hint[j.class];
        self.usual.class_lag[j.class] * j.hint.filter(|_| usual > 0.0).map_or(1.0, |h| (h / usual).sqrt())
    }

    /// Last moment at which an answer is worth anything.
    fn useful_until(&self, j: &Job) -> Micros {
        let c = &self.s.classes[j.class];
        j.due.min(if c.late_worth > 0.0 { j.arrived + c.deadline } else { j.aim })
    }

    /// Answers what is due and drops what can no longer be served in time.
    fn look(&mut self, now: Micros, out: &mut Vec<Action>) {
        let soon = now + Micros::from_millis(2 * TICK_MS);
        while let Some(&(when, id)) = self.checks.first() {
            if when > now {
                break;
            }
            self.checks.pop_first();
            let Some(j) = self.jobs.get(&id).filter(|j| !j.answered) else { continue };
            let useful = self.useful_until(j);
            let last_answer = j.due - Micros::from_millis(2 * TICK_MS);
            match j.phase {
                Phase::Held => {
                    let most = if j.again { FIT_BUSY_AGAIN } else { FIT_BUSY };
                    let fit = FIT_IDLE + (most - FIT_IDLE) * self.control.busy.powi(2).min(1.0);
                    let need = Micros::from_secs_f64(self.run_time(j) * fit);
                    if soon >= j.due || now + need >= useful {
                        self.turn_away(id, out);
                        continue;
                    }
                    let next = (useful - need).min(last_answer);
                    self.look_at(id, next.max(now + Micros(1)));
                }
                _ => {
                    // Running work that can no longer earn anything frees its core where that is possible.
                    let stoppable = j.phase != Phase::Joined
                        && (self.s.halt != Halt::None || j.phase != Phase::Running)
                        && self.s.classes[j.class].effect == Effect::Retryable;
                    if soon >= j.due || (stoppable && now >= useful) {
                        self.fail(id, out);
                        continue;
                    }
                    let next = if stoppable { useful.min(last_answer) } else { last_answer };
                    self.look_at(id, next.max(now + Micros(1)));
                }
            }
        }
    }

    fn tick(&mut self, now: Micros, g: &Gauges, out: &mut Vec<Action>) {
        out.push(Action::Timer(TimerToken(0), Micros::from_millis(TICK_MS)));
        self.gauge = g.on_cores;
        if let Some(busy) = g.busy {
            let c = &mut self.control;
            c.busy = busy;
            c.busy_sum += busy;
            c.samples += 1;
            // Light load: nothing has been started for a whole gauge window.
            if self.begun == 0 && c.in_interval == 0 && c.periods > 0 {
                c.overhead = if c.overhead > 0.0 { c.overhead.min(busy) } else { busy };
            }
        }
        if (now - self.signal_at).as_secs_f64() >= SIGNAL_EVERY {
            self.signal_at = now;
            // Idle connections cost capacity and can lock callers out; handshakes are the price.
            if g.connections.is_some_and(|n| n > LINKS_PER_CORE * f64::from(self.s.cores)) {
                out.push(Action::CloseIdle(LINK_IDLE.min(self.s.idle_max)));
            }
            self.speak(now, out);
        }
    }

    /// Time that the hold needs to drain, s.
    fn drain_time(&self) -> f64 {
        self.held() as f64 * self.usual.lag / f64::from(self.s.cores).max(self.begun as f64)
    }

    /// Sets the free value so that the hold stays short: what is not sent costs no reading.
    fn speak(&mut self, now: Micros, out: &mut Vec<Action>) {
        // Time spent unread tells of a slow or hung machine, or of a storm of retries.
        let (aims, classes) = (self.s.live().map(|c| c.aim.as_secs_f64()), self.s.live().count() as f64);
        let target = WAIT_PART * aims.sum::<f64>() / classes;
        let pressure = (self.drain_time() + self.unread) / target.max(1e-3);
        let old = self.signal;
        let full = f64::from(self.s.cores) * RUN_PER_CORE;
        self.signal = match self.s.signal {
            Signal::None => return,
            Signal::Floor => {
                // The best class is shut out only where even reading does not keep up.
                let top = if self.unread > target { 1.0 } else { 1.0 - 1.0 / classes };
                let up = FLOOR_STEP * pressure.min(3.0);
                let step = if pressure > 1.0 { up } else { FLOOR_FALL * (pressure - 1.0) };
                (if old.is_nan() { 0.0 } else { old } + step).clamp(0.0, top)
            }
            Signal::Allowance => {
                let senders = f64::from(self.s.senders.max(1));
                let begin = 4.0 * full / senders;
                let scale = if pressure > 1.0 { 0.85 } else { 1.0 + 0.15 * (1.0 - pressure) };
                (if old.is_nan() { begin } else { old * scale })
                    .clamp(LEAST_ALLOWANCE / senders, begin.max(full))
            }
            Signal::Weight => (1.0 / pressure.max(1.0)).max(0.1),
        };
        if old.is_nan() || (old - self.signal).abs() > 1e-3 {
            out.push(Action::Signal((self.signal * 1000.0).round() / 1000.0));
        }
        if pressure > 2.0 && (now - self.last_log).as_secs_f64() > 5.0 {
            self.last_log = now;
            let (n, busy, held, begun) = (self.control.n, self.control.busy, self.held(), self.begun);
            let (unread, says) = (self.unread, self.signal);
            let what = format!("N {n:?}, {held} held, {begun} begun, busy {busy:.2}");
            out.push(Action::Log(format!("overload: {what}, unread {unread:.2} s, says {says:.2}")));
        }
    }

    // ---- shedding ----

    /// Turns away, lowest worth first, what has waited and cannot start in time, and what memory cannot hold.
    fn shed(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(id) = self.lowest_held() {
            let Some(j) = self.jobs.get(&id) else { break };
            let left = (self.useful_until(j) - now).as_secs_f64() - self.run_time(j);
            let ripe_at = j.arrived + Micros::from_secs_f64((j.due - j.arrived).as_secs_f64() * RIPE);
            if now < ripe_at || self.drain_time() <= left.max(0.0) {
                break;
            }
            self.turn_away(id, out);
        }
        while self.memory() > self.s.memory_kb * MEMORY_HOLD {
            let Some(id) = self.lowest_held() else { break };
            self.refuse(id, false, out);
        }
    }

    fn lowest_held(&self) -> Option<RequestId> {
        self.hold.iter().filter_map(|h| h.first()).min().map(|h| h.1)
    }

    // ---- starts ----

    /// Fraction of full speed that the server is sure to have.
    fn speed(&self, now: Micros) -> f64 {
        if !self.s.cold || self.s.cold_for.0 == 0 {
            return 1.0;
        }
        let part =
            ((now - self.begun_at.unwrap_or(now)).as_secs_f64() / self.s.cold_for.as_secs_f64()).min(1.0);
        self.s.cold_from + (1.0 - self.s.cold_from) * part
    }

    /// Takes a request off the cores, ahead of the next gauge.
    fn leave_cores(&mut self, id: RequestId) {
        let Some(j) = self.jobs.get(&id) else { return };
        if self.running.remove(&(j.order, id)) {
            self.gauge = self.gauge.map(|g| (g - 1.0).max(0.0));
        }
    }

    fn enter_cores(&mut self, id: RequestId) {
        let Some(j) = self.jobs.get_mut(&id) else { return };
        j.phase = Phase::Running;
        self.running.insert((j.order, id));
        self.gauge = self.gauge.map(|g| g + 1.0);
    }

    /// Whether the cores take one more. Requests that wait for a disk are not on them, as the gauge shows.
    fn core_free(&self) -> bool {
        let cores = f64::from(self.s.cores);
        let running = self.running.len() as f64;
        // Reading counts as soon as LEAST_RUNS a core run: a storm of reads and runs together thrash the
        // cores, and reading falls behind. Acts where much is read; hurts where cores then idle.
        let enough = running >= cores * LEAST_RUNS;
        self.gauge.map_or(running, |g| if enough { g } else { g.min(running) }) < cores * RUN_PER_CORE
    }

    /// Whether the crowd takes one more: all that is begun counts, as it may all come back at once.
    fn crowd_free(&self, now: Micros) -> bool {
        let above_one = (self.s.crowd_per_core - 1.0).max(0.0) * self.speed(now);
        self.begun as f64 + 1.0 <= ((1.0 + above_one) * f64::from(self.s.cores) * CROWD_USE).max(1.0)
    }

    /// Whether one order is so much higher than another as to come from a better class, or nearly so.
    fn outranks(&self, a: i64, b: i64) -> bool {
        (a - b) as f64 >= ORDERS / self.s.live().count() as f64
    }

    /// Running work to pause for a held request of this order, where work can be paused. Guards urgent work
    /// against long work of low worth on few cores; hurts where paused work fills the memory.
    fn gives_way(&self, order: i64) -> Option<RequestId> {
        let may = |id| self.jobs.get(id).is_some_and(|j| self.s.classes[j.class].effect == Effect::Retryable);
        let lowest = self.running.first().filter(|r| self.s.halt == Halt::Freeze && may(&r.1));
        lowest.filter(|r| self.outranks(order, r.0)).map(|r| r.1)
    }

    /// Order above which a request that calls may start: those parked already would else be served first,
    /// and more of their kind would only wait there. Acts where what lies below cannot keep up.
    fn call_line(&self) -> i64 {
        let bound = self.call_bound().max(1.0) as usize;
        self.parked.iter().rev().nth(bound - 1).map_or(i64::MIN, |p| p.0)
    }

    /// The held request to start next, as far as the crowd, calls and memory allow one.
    fn next_held(&self, now: Micros) -> Option<(i64, RequestId)> {
        let line = self.call_line();
        let heads = (0..self.hold.len()).filter_map(|c| self.hold[c].last().map(|h| (c, h)));
        let best = heads.filter(|(c, h)| h.0 > line || !self.s.classes[*c].calls).map(|(_, h)| h).max();
        let &(order, id) = best.filter(|_| self.crowd_free(now))?;
        let more = self.jobs.get(&id)?.kb * (self.s.run_memory_factor - 1.0);
        let fits = self.begun == 0 || self.memory() + more <= self.s.memory_kb * MEMORY_START;
        fits.then_some((order, id))
    }

    /// Starts held requests, highest rank first, as far as N allows, and takes up paused ones.
    fn start(&mut self, now: Micros, out: &mut Vec<Action>) {
        loop {
            let free = self.core_free();
            let next = self.next_held(now);
            let low = next.filter(|_| !free).and_then(|h| self.gives_way(h.0));
            let held = next.filter(|_| (free || low.is_some()) && self.control.allows(now));
            let resumed =
                self.paused.last().copied().filter(|p| !held.is_some_and(|h| self.outranks(h.0, p.0)));
            match (held, resumed) {
                // A paused request was counted in N when it first started.
                (_, Some((order, id))) if free => {
                    self.paused.remove(&(order, id));
                    out.push(Action::Run(id));
                    self.enter_cores(id);
                }
                (Some((_, id)), _) => {
                    if let Some(low) = low {
                        out.push(Action::Stop(low));
                        self.leave_cores(low);
                        self.jobs.entry(low).and_modify(|j| j.phase = Phase::Pausing);
                    }
                    self.run(now, id, out);
                }
                _ => return,
            }
        }
    }

    fn run(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        self.take_from_hold(id);
        let Some(j) = self.jobs.get_mut(&id) else { return };
        out.push(Action::Run(id));
        follow(&mut self.refused, 0.0);
        self.requests_kb += j.kb * (self.s.run_memory_factor - 1.0);
        self.begun += 1;
        self.control.in_period += 1;
        self.control.in_interval += 1;
        let followers = std::mem::take(&mut j.followers);
        if self.s.classes[j.class].effect == Effect::Dedup {
            self.outcomes.insert(id, true);
        }
        self.enter_cores(id);
        self.look_at(id, now + Micros(1));
        for f in followers {
            if self.jobs.get(&f).is_some_and(|f| f.phase == Phase::Held) {
                self.join(f, id, out);
            }
        }
    }

    fn ended(&mut self, now: Micros, id: RequestId, outcome: Outcome, lag: Micros, out: &mut Vec<Action>) {
        let Some(j) = self.jobs.get_mut(&id) else { return };
        if j.phase == Phase::Pausing && outcome == Outcome::Cancelled && !j.answered {
            j.phase = Phase::Paused;
            self.paused.insert((j.order, id));
            return;
        }
        let good = outcome == Outcome::Good;
        let effect = self.s.classes[j.class].effect;
        if j.phase != Phase::Joined && j.phase != Phase::Held {
            if good {
                self.usual.ran(j.class, lag, j.hint);
            }
            if effect == Effect::Dedup && self.entries.contains(id) {
                self.outcomes.insert(id, good);
            } else {
                self.outcomes.remove(&id);
            }
            if j.keeps && effect == Effect::Retryable {
                if good && self.entries.contains(id) {
                    self.keep(now, id, self.s.fresh_for, out);
                } else {
                    self.unkeep(id, out);
                }
            }
        }
        if let Some(j) = self.jobs.get_mut(&id) {
            if j.phase == Phase::Calling {
                self.lingering.push_back(now + self.s.call_linger);
            }
            if matches!(outcome, Outcome::Cancelled | Outcome::Moot) && !j.answered {
                j.answered = true;
                out.push(Action::Fail(id));
            }
            self.remove(id);
        }
    }

    // ---- calls below ----

    /// How many calls this server may have in hand: its part of what the shared dependency survives.
    fn call_bound(&self) -> f64 {
        if self.s.below == Below::Shared && self.s.dependency_share > 0.0 {
            let mean = self.s.dependency_share * DEPENDENCY_USE;
            (mean + DEPENDENCY_SPREAD * mean.sqrt()).min(self.s.dependency_share * DEPENDENCY_MOST)
        } else {
            f64::from(self.s.cores) * CALLS_PER_CORE
        }
    }

    /// Calls in the dependency's hands, abandoned ones included.
    fn calls_in_hand(&self) -> f64 {
        (self.calling + self.lingering.len()) as f64
    }

    fn needs_call(&mut self, id: RequestId) {
        let Some(j) = self.jobs.get_mut(&id) else { return };
        if matches!(j.phase, Phase::Running | Phase::Pausing) {
            j.phase = Phase::Parked;
            if !j.answered {
                self.parked.insert((j.order, id));
            }
            self.leave_cores(id);
        }
    }

    /// When a call is given up: with its request, unless some go unanswered and this one may be made again.
    fn call_until(&self, now: Micros, j: &Job) -> Micros {
        let patience = self.usual.slow_call[j.class] * CALL_PATIENCE * f64::from(1 << j.calls_failed.min(4));
        let again = self.s.classes[j.class].effect == Effect::Retryable && self.usual.unanswered > 1.0;
        if again { j.due.min(now + Micros::from_secs_f64(patience)) } else { j.due }
    }

    fn place_calls(&mut self, now: Micros, out: &mut Vec<Action>) {
        let bound = self.call_bound();
        while let Some(&(order, id)) = self.parked.last() {
            let in_hand = self.calls_in_hand();
            // The part of the share below a whole call is kept as a mean over the dependency's window.
            if in_hand >= bound.ceil() || (in_hand >= bound.floor() && self.calls_mean > bound) {
                return;
            }
            self.parked.remove(&(order, id));
            let Some(j) = self.jobs.get_mut(&id) else { continue };
            (j.phase, j.called) = (Phase::Calling, now);
            self.calling += 1;
            let until = self.jobs.get(&id).map_or(now, |j| self.call_until(now, j));
            out.push(Action::Call(id, until.max(now + Micros(1))));
        }
    }

    fn call_ended(&mut self, now: Micros, id: RequestId, o: Outcome, lag: Micros, out: &mut Vec<Action>) {
        let Some(j) = self.jobs.get_mut(&id) else { return };
        if j.phase != Phase::Calling {
            return;
        }
        self.calling -= 1;
        if o == Outcome::Good {
            self.usual.called(j.class, lag);
            self.enter_cores(id);
            return;
        }
        j.phase = Phase::Parked;
        j.calls_failed += 1;
        if o == Outcome::Late {
            self.lingering.push_back(now + self.s.call_linger);
        }
        let again = o.never_ran() || self.s.classes[j.class].effect == Effect::Retryable;
        if !again || j.calls_failed > 3 || j.answered {
            self.fail(id, out);
        } else {
            self.parked.insert((j.order, id));
        }
    }
}
