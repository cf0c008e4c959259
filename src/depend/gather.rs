//! Calls that are made before a run, for workers that can ask for none themselves: which go out when, what is left out, and
//! when a request has what it needs. No I/O; told the time.
//!
//! It guards against an enriching call that uses up the time of a needed one or of the run, replies that outgrow what a
//! request may hold, and a plan that changes while a request is halfway through it.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;

use super::plan::GatherCall;
use crate::interface::{Micros, Outcome};

/// Bytes of all replies that one request gathers: they go to its server as vars, and a packet holds 64 KiB of these beside
/// the request's own, up to 16 KiB of them by the operator's file.
pub const REPLIES_MAX: usize = 32 << 10;

/// A call of a gather stage. Its numbers are apart from the core's: the highest bit is set in them.
const TICKET: u64 = 1 << 63;

/// What has been gathered for a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Gathered {
    /// The plan's name of a call, and its reply.
    pub replies: Vec<(String, Bytes)>,
    /// Enriching calls that were left out.
    pub missing: Vec<String>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Make a call, and say how it ended. It is over at `until`, whatever has come by then.
    Place {
        /// This call.
        ticket: u64,
        /// The request.
        name: String,
        /// Which call of the plan.
        nth: usize,
        /// Its end.
        until: Micros,
        /// What it is.
        call: Arc<[GatherCall]>,
    },
    /// Nobody waits for that call any more.
    Drop(u64),
    /// The stage is over.
    Over {
        /// The core's number for it.
        ticket: u64,
        /// How.
        outcome: Outcome,
        /// Another stage follows.
        more: bool,
    },
}

#[derive(Clone, Debug, PartialEq)]
enum Part {
    /// Not made yet, or failed and to be made again.
    Open,
    /// Under way.
    Out(u64),
    Got(Bytes),
    Missing,
}

#[derive(Debug)]
struct Gathering {
    plan: Arc<[GatherCall]>,
    parts: Vec<Part>,
    /// The first call of the stage that is next or under way.
    at: usize,
    /// The core's number for that stage, while it is under way.
    stage: Option<u64>,
    /// How its latest needed call ended that gave nothing.
    failed: Option<Outcome>,
}

impl Gathering {
    /// The calls of the stage.
    fn stage(&self) -> std::ops::Range<usize> {
        let more = self.plan.iter().skip(self.at + 1).take_while(|c| c.beside).count();
        self.at..(self.at + 1 + more).min(self.plan.len())
    }

    fn bytes(&self) -> usize {
        self.parts.iter().map(|p| if let Part::Got(b) = p { b.len() } else { 0 }).sum()
    }
}

/// All requests that gather.
#[derive(Debug, Default)]
pub struct Gatherer {
    open: HashMap<String, Gathering>,
    /// Calls under way: of which request, and which of its plan.
    out: HashMap<u64, (String, usize)>,
    /// Stages under way, by the core's number.
    stages: HashMap<u64, String>,
    next: u64,
    /// Requests that went on without an enriching call.
    pub partial: u64,
}

impl Gatherer {
    /// Whether that call is one of a stage.
    pub fn is_part(ticket: u64) -> bool {
        ticket & TICKET != 0
    }

    /// Whether that call is still waited for.
    pub fn waits_for(&self, ticket: u64) -> bool {
        self.out.contains_key(&ticket)
    }

    /// Requests that gather.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Begins a request's next stage, or what failed of it once more. The plan counts with the first one only.
    pub fn begin(
        &mut self,
        now: Micros,
        name: &str,
        ticket: u64,
        until: Micros,
        plan: &Arc<[GatherCall]>,
        out: &mut Vec<Step>,
    ) {
        let g = self.open.entry(name.to_owned()).or_insert_with(|| Gathering {
            parts: vec![Part::Open; plan.len()],
            plan: plan.clone(),
            at: 0,
            stage: None,
            failed: None,
        });
        g.stage = Some(ticket);
        g.failed = None;
        self.stages.insert(ticket, name.to_owned());
        let left = until - now;
        for nth in g.stage() {
            if g.parts[nth] != Part::Open {
                continue;
            }
            let c = &g.plan[nth];
            let whole = Micros((left.0 as f64 * c.share) as u64).min(c.cap).min(left);
            self.next += 1;
            let ticket = TICKET | self.next;
            g.parts[nth] = Part::Out(ticket);
            self.out.insert(ticket, (name.to_owned(), nth));
            let call = g.plan.clone();
            out.push(Step::Place { ticket, name: name.to_owned(), nth, until: now + whole, call });
        }
        self.conclude(name, out);
    }

    /// A call of a stage has ended.
    pub fn ended(&mut self, ticket: u64, outcome: Outcome, body: Bytes, out: &mut Vec<Step>) {
        let Some((name, nth)) = self.out.remove(&ticket) else { return };
        let Some(g) = self.open.get_mut(&name) else { return };
        let fits = g.bytes() + body.len() <= REPLIES_MAX;
        g.parts[nth] = match outcome {
            Outcome::Good if fits => Part::Got(body),
            _ if !g.plan[nth].needed => Part::Missing,
            _ => {
                // What is too large does not get smaller by being asked for again.
                g.failed = Some(if outcome == Outcome::Good { Outcome::Bad } else { outcome });
                Part::Open
            }
        };
        self.conclude(&name, out);
    }

    /// The core waits for a stage no longer: what has come by now must do.
    pub fn expire(&mut self, ticket: u64, out: &mut Vec<Step>) {
        let Some(name) = self.stages.get(&ticket).cloned() else { return };
        let Some(g) = self.open.get_mut(&name) else { return };
        for nth in g.stage() {
            if let Part::Out(ticket) = g.parts[nth] {
                self.out.remove(&ticket);
                out.push(Step::Drop(ticket));
                let needed = g.plan[nth].needed;
                g.parts[nth] = if needed { Part::Open } else { Part::Missing };
                g.failed = if needed { Some(Outcome::Late) } else { g.failed };
            }
        }
        self.conclude(&name, out);
    }

    /// A request is over, and nothing that was gathered for it is of use.
    pub fn abandon(&mut self, name: &str, out: &mut Vec<Step>) {
        let Some(g) = self.open.remove(name) else { return };
        g.stage.map(|ticket| self.stages.remove(&ticket));
        for part in g.parts {
            if let Part::Out(ticket) = part {
                self.out.remove(&ticket);
                out.push(Step::Drop(ticket));
            }
        }
    }

    /// What was gathered for a request whose run begins.
    pub fn take(&mut self, name: &str) -> Gathered {
        let Some(g) = self.open.remove(name) else { return Gathered::default() };
        let mut all = Gathered::default();
        for (call, part) in g.plan.iter().zip(g.parts) {
            match part {
                Part::Got(reply) => all.replies.push((call.name.clone(), reply)),
                _ => all.missing.push(call.name.clone()),
            }
        }
        self.partial += u64::from(!all.missing.is_empty());
        all
    }

    /// Ends a stage that has what it needs, or can't have it.
    fn conclude(&mut self, name: &str, out: &mut Vec<Step>) {
        let Some(g) = self.open.get_mut(name) else { return };
        let Some(ticket) = g.stage else { return };
        let stage = g.stage();
        let out_still = stage.clone().any(|n| matches!(g.parts[n], Part::Out(_)));
        let outcome = match g.failed {
            None if out_still => return,
            None => Outcome::Good,
            // The others are of no use without it, now; what has come is kept for another try.
            Some(end) => {
                for n in stage.clone() {
                    if let Part::Out(ticket) = g.parts[n] {
                        self.out.remove(&ticket);
                        out.push(Step::Drop(ticket));
                        g.parts[n] = Part::Open;
                    }
                }
                end
            }
        };
        if outcome == Outcome::Good {
            g.at = stage.end;
        }
        g.stage = None;
        self.stages.remove(&ticket);
        let more = outcome == Outcome::Good && g.at < g.plan.len();
        out.push(Step::Over { ticket, outcome, more });
    }

    /// Nothing is kept beyond the requests that gather.
    #[cfg(test)]
    fn is_clean(&self) -> bool {
        let waits: std::collections::BTreeSet<u64> = self.open.values().filter_map(|g| g.stage).collect();
        self.stages.keys().copied().collect::<std::collections::BTreeSet<_>>() == waits
            && self.out.values().all(|(name, _)| self.open.contains_key(name))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::depend::plan::{CallPlan, TierId};

    const AT: Micros = Micros(1_000);

    /// Calls by a letter each: a capital one is needed, `+` before it is beside the one before.
    fn plan(text: &str) -> Arc<[GatherCall]> {
        let mut beside = false;
        let mut all = Vec::new();
        for c in text.chars() {
            if std::mem::replace(&mut beside, c == '+') || c != '+' {
                let call = CallPlan {
                    tier: TierId(0),
                    share: 1.0,
                    cap: Micros(u64::MAX),
                    fallback: Vec::new(),
                    effect: false,
                };
                let (needed, beside) = (c.is_uppercase(), text.contains(&format!("+{c}")));
                let name = c.to_string();
                all.push(GatherCall { name, call, share: 0.5, cap: Micros(400), needed, beside, send: None });
            }
        }
        Arc::from(all)
    }

    /// What is said, in short: `a@450` a call and its end, `-a` one dropped, `=Good` or `=Good+` the end of a stage.
    fn said(steps: Vec<Step>, names: &mut HashMap<u64, String>) -> String {
        let one = |s| match s {
            Step::Place { ticket, nth, until, call, .. } => {
                names.insert(ticket, call[nth].name.clone());
                format!("{}@{}", call[nth].name, until.0 - AT.0)
            }
            Step::Drop(ticket) => format!("-{}", names[&ticket]),
            Step::Over { outcome, more, .. } => format!("={outcome:?}{}", if more { "+" } else { "" }),
        };
        steps.into_iter().map(one).collect::<Vec<_>>().join(" ")
    }

    /// Plans, what happens in order (a letter and how it ended: `!` well, `?` badly, `#` well with too much; `.` the
    /// stage's time is over; `>` the core begins the next stage, or the same again), what is said, and what the server gets.
    #[test]
    fn stages() {
        let table = [
            ("", ">", "=Good", "|"),
            ("A", ">A!", "A@400 =Good", "A|"),
            ("A", ">A?>A!", "A@400 =Bad A@400 =Good", "A|"),
            ("a", ">a?", "a@400 =Good", "|a"),
            ("AB", ">A!>B!", "A@400 =Good+ B@400 =Good", "A,B|"),
            ("Ab", ">A!>.", "A@400 =Good+ b@400 -b =Good", "A|b"),
            ("A+b+c", ">b!A!c?", "A@400 b@400 c@400 =Good", "A,b|c"),
            ("A+b", ">A?", "A@400 b@400 -b =Bad", ""),
            ("A+b", ">b!A?>A!", "A@400 b@400 =Bad A@400 =Good", "A,b|"),
            ("A+b", ">b!.", "A@400 b@400 -A =Late", ""),
            ("A+b", ">A!.", "A@400 b@400 -b =Good", "A|b"),
            ("A", ">A#", "A@400 =Bad", ""),
            ("ab", ">a#>b!", "a@400 =Good+ b@400 =Good", "b|a"),
        ];
        for (text, plays, want, server) in table {
            let (mut g, mut names, mut out) = (Gatherer::default(), HashMap::new(), Vec::new());
            let (mut number, mut letter) = (0, ' ');
            for c in plays.chars() {
                let mut steps = Vec::new();
                let of = |l: char, names: &HashMap<u64, String>, g: &Gatherer| {
                    let mut all = names.iter().filter(|(t, n)| g.waits_for(**t) && **n == l.to_string());
                    *all.next().expect("a call under way").0
                };
                match c {
                    '>' => {
                        number += 1;
                        g.begin(AT, "r", number, AT + Micros(1_000), &plan(text), &mut steps);
                    }
                    '.' => g.expire(number, &mut steps),
                    '!' => {
                        g.ended(of(letter, &names, &g), Outcome::Good, letter.to_string().into(), &mut steps)
                    }
                    '?' => g.ended(of(letter, &names, &g), Outcome::Bad, Bytes::new(), &mut steps),
                    '#' => {
                        let much = Bytes::from(vec![0; REPLIES_MAX + 1]);
                        g.ended(of(letter, &names, &g), Outcome::Good, much, &mut steps);
                    }
                    l => letter = l,
                }
                assert!(g.is_clean(), "{text} {plays}");
                out.push(said(steps, &mut names));
            }
            out.retain(|s| !s.is_empty());
            assert_eq!(out.join(" "), want, "{text} {plays}");
            if !server.is_empty() {
                let all = g.take("r");
                let replies: Vec<String> = all.replies.into_iter().map(|(n, _)| n).collect();
                assert_eq!(
                    format!("{}|{}", replies.join(","), all.missing.join(",")),
                    server,
                    "{text} {plays}"
                );
            }
            g.abandon("r", &mut Vec::new());
            assert!(g.open() == 0 && g.out.is_empty() && g.stages.is_empty(), "{text} {plays}");
        }
    }

    proptest::proptest! {
        /// In whatever order calls end, time passes and requests go: no stage ends twice, a run that begins has all that is
        /// needed, and nothing is left behind.
        #[test]
        fn whatever_happens(
            text in "([aAbB]\\+?[cC]?[dD]?){0,2}",
            plays in proptest::collection::vec((0..5u8, 0..8usize), 0..80),
        ) {
            let plan = plan(text.trim_end_matches('+'));
            let mut g = Gatherer::default();
            let (mut live, mut stages): (Vec<u64>, HashMap<u64, String>) = Default::default();
            let (mut number, mut done) = (0, Vec::new());
            for (what, which) in plays {
                let (name, mut steps) = (format!("r{}", which % 3), Vec::new());
                match what {
                    0 if !stages.values().any(|n| *n == name) => {
                        number += 1;
                        stages.insert(number, name.clone());
                        g.begin(AT, &name, number, AT + Micros(900), &plan, &mut steps);
                    }
                    1 if !live.is_empty() => {
                        let t = live.swap_remove(which % live.len());
                        g.ended(t, Outcome::Good, Bytes::from_static(b"x"), &mut steps);
                    }
                    2 if !live.is_empty() => {
                        let t = live.swap_remove(which % live.len());
                        g.ended(t, Outcome::Bad, Bytes::new(), &mut steps);
                    }
                    3 => {
                        if let Some((t, _)) = stages.iter().nth(which) {
                            g.expire(*t, &mut steps);
                        }
                    }
                    _ => {
                        g.abandon(&name, &mut steps);
                        stages.retain(|_, n| *n != name);
                    }
                }
                for step in steps {
                    match step {
                        Step::Place { ticket, until, .. } => {
                            proptest::prop_assert!(until <= AT + Micros(400));
                            live.push(ticket);
                        }
                        Step::Drop(t) => live.retain(|l| *l != t),
                        Step::Over { ticket, outcome, more } => {
                            let name = stages.remove(&ticket);
                            proptest::prop_assert!(name.is_some(), "a stage ended twice");
                            if outcome == Outcome::Good && !more {
                                done.extend(name);
                            }
                        }
                    }
                }
                for name in done.drain(..) {
                    let missing = g.take(&name).missing;
                    let needed = plan.iter().any(|c| c.needed && missing.contains(&c.name));
                    proptest::prop_assert!(!needed, "it runs without what it needs");
                }
                proptest::prop_assert!(g.is_clean());
            }
            for n in 0..3 {
                g.abandon(&format!("r{n}"), &mut Vec::new());
            }
            proptest::prop_assert!(g.open() == 0 && g.out.is_empty() && g.stages.is_empty());
        }
    }
}
