//! Requests that are taken in, and those that another process of this node is asked for first.

use super::*;
use crate::keyed::{Change, Subject as Key};

/// How long the other process is awaited. It answers within its next turn, a few ms; beyond a stall of that kind the caller
/// does better elsewhere, and as nothing ran here it may.
const CLAIM_WAIT: Micros = Micros::from_millis(250);

impl Node {
    pub(super) fn asked(&mut self, now: Micros, origin: Origin, ask: Ask, out: &mut Vec<Output>) {
        *self.counters.asked.entry(origin.front).or_default() += 1;
        if self.policy.is_none() {
            self.counters.refused += 1;
            let answer = Answer::Refused { wait: Micros(0), last: false };
            return out.push(Output::Answer(origin, answer, self.pressure));
        }
        let id = RequestId(self.next_id);
        let c = &self.settings.classes[ask.class.0.min(self.settings.classes.len() - 1)];
        let write = c.effect != Effect::Retryable;
        let (deadline, window) = (c.deadline, c.window);
        let told_apart = write && ask.named == Named::Everywhere;
        let linked = ask.key.clone().filter(|_| c.effect == Effect::Dedup).map(|key| (c.name.clone(), key));
        let request = Request {
            id,
            class: ask.class,
            tenant: ask.tenant,
            over_share: ask.over_share,
            keyed: ask.key.is_some(),
            due: None,
            work: ask.work,
            held_kb: ask.held_kb,
            rank: ask.rank,
            retry: ask.retry,
            write,
            caller: ask.caller,
            backlog: now - ask.arrived,
            repeats: None,
        };
        // A name in use would mix up two runs.
        let fits = Event::Arrived(request.clone()).validate(&self.settings).is_ok();
        if !fits || self.by_name.contains_key(&ask.name) {
            *self.counters.failed.entry(Why::BadRequest).or_default() += 1;
            return out.push(Output::Answer(origin, Answer::Failed(Why::BadRequest), self.pressure));
        }
        let end = ask.arrived + deadline;
        if let Some(past) = self.writes.past(now, end, &ask.name, linked.as_ref()).filter(|_| told_apart) {
            let answer = repeated(past, linked.is_some());
            match &answer {
                Answer::Served(_) => self.counters.served += 1,
                _ => *self.counters.failed.entry(Why::Repeat).or_default() += 1,
            }
            return out.push(Output::Answer(origin, answer, self.pressure));
        }
        self.next_id = self.next_id.wrapping_add(1).max(1);
        let due = (ask.arrived + deadline).max(now);
        let backstop = (due - BACKSTOP).max(now + SAMPLE_WAIT);
        self.due.insert((backstop, Due::Answer(id)));
        self.by_origin.insert(origin, id);
        self.by_name.insert(ask.name.clone(), id);
        let entry = Entry {
            origin,
            name: ask.name,
            named: ask.named,
            worker: ask.worker,
            gathers: ask.gathers,
            gathering: false,
            class: ask.class,
            key: ask.key,
            body: ask.body,
            arrived: ask.arrived,
            due,
            backstop,
            repeats: None,
            answered: false,
            run: Run::Held,
            since: now,
            wants: None,
            calls: 0,
            tried: false,
            ticket: None,
            joiners: Vec::new(),
        };
        let taking = if told_apart {
            self.writes.take(now, &entry.name, linked, entry.arrived + deadline + window)
        } else {
            Taking::Go
        };
        self.comes_under(entry.class);
        self.table.insert(id, entry);
        match taking {
            Taking::Go => self.admit(now, request),
            Taking::Ask => {
                self.counters.claims += 1;
                self.claims.insert(id, request);
                self.due.insert((now + CLAIM_WAIT, Due::Claim(id)));
            }
        }
    }

    /// Hands a request to the module.
    fn admit(&mut self, now: Micros, request: Request) {
        let key = self.linked(request.id);
        let Some(e) = self.table.get_mut(&request.id) else { return };
        // Reads are shared in the entry tier only; tries of one keyed write are one everywhere.
        let name = &self.settings.classes[e.class.0].name;
        let linked = self.options.share_reads || key.is_some();
        let subject = e.key.clone().filter(|_| linked).map(|k| (e.origin.front, name.clone(), k));
        let kept = subject.and_then(|s| self.keys.repeated(e.arrived, self.settings.fresh_for, &s));
        let (arrived, window) = (e.arrived, self.settings.classes[e.class.0].window);
        // The table of kept keys knows a try once the module has had its turn; another may be read in the same one.
        let former = key.and_then(|key| self.tries.insert(key, request.id));
        let former = former.filter(|f| self.table.get(f).is_some_and(|f| arrived < f.arrived + window));
        let Some(e) = self.table.get_mut(&request.id) else { return };
        e.repeats = kept.or(former);
        let (backlog, repeats) = (now - e.arrived, e.repeats);
        self.events.push(Event::Arrived(Request { backlog, repeats, ..request }));
    }

    // ---- claims ----

    /// The other process of this node says something.
    pub(super) fn heard(&mut self, now: Micros, change: Change, out: &mut Vec<Output>) {
        match self.writes.hear(now, change) {
            Heard::Noted => {}
            Heard::Granted(name) => self.granted(now, &name, out),
            Heard::Taken(name) => {
                if let Some(&id) = self.by_name.get(&name) {
                    self.turn_down(now, id, out);
                }
            }
        }
    }

    /// A write that the other process was asked for may go on.
    pub(super) fn granted(&mut self, now: Micros, name: &str, out: &mut Vec<Output>) {
        let Some(&id) = self.by_name.get(name) else { return };
        let Some(request) = self.claims.remove(&id) else { return };
        if self.linked(id).is_some_and(|key| self.writes.told(self.known_for(now, id), &key).is_some()) {
            // The one that knows is gone, and what it told of last was a try of this.
            return self.turn_down(now, id, out);
        }
        self.admit(now, request);
    }

    /// The time to which a write is known, less its window: what other tries of it are known beyond.
    fn known_for(&self, now: Micros, id: RequestId) -> Micros {
        let own = self.table.get(&id).map(|e| e.arrived + self.settings.classes[e.class.0].deadline);
        own.unwrap_or(now).max(now)
    }

    /// What links the tries of a request, if its class is of that kind.
    pub(super) fn linked(&self, id: RequestId) -> Option<Key> {
        let e = self.table.get(&id)?;
        let c = &self.settings.classes[e.class.0];
        let linked = c.effect == Effect::Dedup && e.named == Named::Everywhere;
        Some((c.name.clone(), e.key.clone().filter(|_| linked)?))
    }

    /// Another process has taken in what this write repeats.
    fn turn_down(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let past = self.linked(id).and_then(|key| self.writes.told(self.known_for(now, id), &key).cloned());
        self.claims.remove(&id);
        self.answer(now, id, repeated(&past.unwrap_or(Work::Open), true), out);
        self.settle(now, id, out);
    }

    /// The other process has not answered. Nothing ran here, and nothing will.
    pub(super) fn claim_late(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        if self.claims.remove(&id).is_some() {
            self.counters.claims_late += 1;
            self.answer(now, id, Answer::Refused { wait: CLAIM_WAIT, last: false }, out);
            self.settle(now, id, out);
        }
    }
}

/// What a repeat is told of a write that may have run, here or in another process of this node. Only what its key links
/// shares the result.
fn repeated(past: &Work, linked: bool) -> Answer {
    match past {
        Work::Good(result) if linked => Answer::Served(result.clone()),
        _ => Answer::Failed(Why::Repeat),
    }
}
