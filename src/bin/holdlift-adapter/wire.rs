//! The wire's words to and from the library's types. Translates only.

use std::fmt::Write;

use holdlift::{
    Action, Below, ClassSettings, Effect, Event, Gauges, Halt, Micros, Outcome, Request, RequestId, Settings,
    Signal, TenantSettings, TimerToken,
};
use serde_json::Value;

/// The name=value pairs of one line.
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

/// Splits a line into its name and pairs. `text` names the one field that runs to the line's end.
pub fn split(line: &str) -> Result<(&str, Fields<'_>), String> {
    let (name, mut rest) = line.split_once(' ').unwrap_or((line, ""));
    let mut pairs = Vec::new();
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=').ok_or_else(|| format!("no value in '{rest}'"))?;
        if key.is_empty() || key.contains(' ') {
            return Err(format!("'{key}' is not a field name"));
        }
        let (value, next) =
            if key == "params" { (after, "") } else { after.split_once(' ').unwrap_or((after, "")) };
        pairs.push((key, value));
        rest = next;
    }
    Ok((name, Fields(pairs)))
}

impl<'a> Fields<'a> {
    pub fn get(&self, key: &str) -> Option<&'a str> {
        self.0.iter().find(|(k, _)| *k == key).map(|(_, v)| *v)
    }

    pub fn text(&self, key: &str) -> Result<&'a str, String> {
        self.get(key).filter(|v| !v.is_empty()).ok_or_else(|| format!("{key} is missing"))
    }

    pub fn opt_int(&self, key: &str) -> Result<Option<u64>, String> {
        let parse = |v: &str| v.parse().map_err(|_| format!("{key} is not a whole number: '{v}'"));
        self.get(key).map(parse).transpose()
    }

    pub fn int(&self, key: &str) -> Result<u64, String> {
        self.opt_int(key)?.ok_or_else(|| format!("{key} is missing"))
    }

    fn number(&self, key: &str) -> Result<f64, String> {
        let v = self.text(key)?;
        v.parse::<f64>().ok().filter(|x| x.is_finite()).ok_or_else(|| format!("{key} is not a number: '{v}'"))
    }

    fn id(&self, key: &str) -> Result<RequestId, String> {
        u32::try_from(self.int(key)?).map(RequestId).map_err(|_| format!("{key} is out of range"))
    }
}

fn outcome(f: &Fields) -> Result<Outcome, String> {
    Ok(match f.text("outcome")? {
        "GOOD" => Outcome::Good,
        "BAD" => Outcome::Bad,
        "FULL" => Outcome::Full,
        "LATE" => Outcome::Late,
        "NOCONN" => Outcome::Unreachable,
        "RST" => Outcome::Reset,
        "CXL" => Outcome::Cancelled,
        "NOP" => Outcome::Moot,
        other => return Err(format!("unknown outcome '{other}'")),
    })
}

fn gauges(text: &str) -> Result<Gauges, String> {
    let mut g = Gauges::default();
    for pair in text.split(',').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or_else(|| format!("'{pair}' is not a gauge"))?;
        let value = value.parse::<f64>().map_err(|_| format!("gauge {name} is not a number: '{value}'"))?;
        match name {
            "core_use" => g.busy = Some(value),
            "on_cores" => g.on_cores = Some(value),
            "heap_share" => g.memory = Some(value),
            "links" => g.connections = Some(value),
            _ => {}
        }
    }
    Ok(g)
}

/// Reads one event addressed to an instance with these settings.
pub fn event(name: &str, f: &Fields, s: &Settings) -> Result<Event, String> {
    Ok(match name {
        "ASK" => {
            let lane = f.text("lane")?;
            let attrs = f.opt_int("attrs")?.unwrap_or(0);
            let tenant = match f.get("owner") {
                None | Some("" | "0") => None,
                Some(t) => Some(s.tenant(t).ok_or_else(|| format!("unknown tenant '{t}'"))?),
            };
            let repeats = match f.opt_int("repeats")? {
                None | Some(0) => None,
                Some(_) => Some(f.id("repeats")?),
            };
            Event::Arrived(Request {
                id: f.id("tid")?,
                class: s.class(lane).ok_or_else(|| format!("unknown class '{lane}'"))?,
                tenant,
                keyed: f.get("object").is_some_and(|k| !k.is_empty()),
                due: f.opt_int("drop-dead-us")?.filter(|d| *d > 0).map(Micros),
                work: f.opt_int("work-us")?.filter(|w| *w > 0 && attrs & 1 != 0).map(Micros),
                held_kb: f.number("footprint")?,
                rank: f.number("place")?,
                retry: attrs & 2 != 0,
                write: attrs & 4 != 0,
                caller: f.opt_int("who")?.unwrap_or(0).min(u64::from(u32::MAX)) as u32,
                backlog: Micros(f.opt_int("backlog-time-us")?.unwrap_or(0)),
                repeats,
            })
        }
        "CLIENT_GONE" => Event::Gone(f.id("tid")?),
        "NOTICE" => Event::Drain(Micros(f.int("drop-dead-us")?)),
        "NEEDS" => Event::NeedsCall(f.id("tid")?),
        "WOUND_UP" => Event::Ended(f.id("tid")?, outcome(f)?, Micros(f.opt_int("lag-us")?.unwrap_or(0))),
        "DEP_REPLY" => Event::CallEnded(f.id("tid")?, outcome(f)?, Micros(f.opt_int("lag-us")?.unwrap_or(0))),
        "TIMEOUT_FIRED" => {
            let nonce = f.text("nonce")?;
            let token = nonce.parse().map_err(|_| format!("unknown timer '{nonce}'"))?;
            Event::Timer(TimerToken(token), gauges(f.get("feedback").unwrap_or(""))?)
        }
        other => return Err(format!("unknown message '{other}'")),
    })
}

/// Writes one action.
pub fn action(out: &mut String, a: &Action) {
    let flag = |b: bool| u8::from(b);
    let written = match a {
        Action::Run(id) => writeln!(out, "BEGIN tid={}", id.0),
        Action::Call(id, at) => writeln!(out, "INVOKE tid={} expire-at-us={}", id.0, at.0),
        Action::Skip(id) => writeln!(out, "BYPASS tid={}", id.0),
        Action::Fail(id) => writeln!(out, "FAIL tid={}", id.0),
        Action::Refuse { id, give_up, wait } => {
            let _ = write!(out, "SAY_NO tid={} give-up={}", id.0, flag(*give_up));
            if wait.0 > 0 {
                let _ = write!(out, " wait-us={}", wait.0);
            }
            writeln!(out)
        }
        Action::Stop(id) => writeln!(out, "STOP tid={}", id.0),
        Action::Join(id) => writeln!(out, "JOIN tid={}", id.0),
        Action::Keep(id, span) => writeln!(out, "STORE_KEY tid={} span-us={}", id.0, span.0),
        Action::Forget(id) => writeln!(out, "UNPIN tid={}", id.0),
        Action::Health { stored, good } => {
            writeln!(out, "REPORT_HEALTH stored={} on={}", flag(*stored), flag(*good))
        }
        Action::Signal(level) => writeln!(out, "HINT_OUT level={level}"),
        Action::CloseIdle(span) => writeln!(out, "IDLE span-us={}", span.0),
        Action::Timer(token, after) => writeln!(out, "SET_TIMER nonce={} offset-us={}", token.0, after.0),
        Action::Log(text) => writeln!(out, "PRINT reason-text={}", text.replace(['\n', '\r'], " ")),
    };
    debug_assert!(written.is_ok());
}

struct Node<'a>(&'a Value, &'static str);

impl Node<'_> {
    fn get(&self, key: &str) -> Option<&Value> {
        self.0.get(key).filter(|v| !v.is_null())
    }

    fn missing(&self, key: &str) -> String {
        format!("{}.{key} is missing or of the wrong kind", self.1)
    }

    /// A required number.
    fn num(&self, key: &str) -> Result<f64, String> {
        self.get(key).and_then(Value::as_f64).ok_or_else(|| self.missing(key))
    }

    /// A number that a site may leave out where the feature is absent.
    fn num_or_zero(&self, key: &str) -> Result<f64, String> {
        if self.get(key).is_none() { Ok(0.0) } else { self.num(key) }
    }

    fn micros(&self, key: &str) -> Result<Micros, String> {
        let v = self.num_or_zero(key)?;
        if v < 0.0 { Err(format!("{}.{key} is negative", self.1)) } else { Ok(Micros(v as u64)) }
    }

    fn flag(&self, key: &str) -> Result<bool, String> {
        match self.get(key) {
            None => Ok(false),
            Some(Value::Bool(b)) => Ok(*b),
            Some(v) => v.as_f64().map(|x| x != 0.0).ok_or_else(|| self.missing(key)),
        }
    }

    fn text(&self, key: &str) -> Result<&str, String> {
        self.get(key).and_then(Value::as_str).ok_or_else(|| self.missing(key))
    }

    fn word(&self, key: &str) -> Result<&str, String> {
        if self.get(key).is_none() { Ok("silent") } else { self.text(key) }
    }

    fn count(&self, key: &str) -> Result<u32, String> {
        let v = self.num_or_zero(key)?;
        if (0.0..=f64::from(u32::MAX)).contains(&v) { Ok(v as u32) } else { Err(self.missing(key)) }
    }

    fn list(&self, key: &str) -> Result<&[Value], String> {
        match self.get(key) {
            None => Ok(&[]),
            Some(v) => v.as_array().map(Vec::as_slice).ok_or_else(|| self.missing(key)),
        }
    }
}

/// Reads the settings object of a start.
pub fn settings(json: &str) -> Result<Settings, String> {
    let root: Value = serde_json::from_str(json).map_err(|e| format!("params is not JSON: {e}"))?;
    let none = Value::Null;
    let at = |key: &'static str| Node(root.get(key).unwrap_or(&none), key);
    let (top, domain, contract) = (Node(&root, "params"), at("domain"), at("contract"));
    let (limits, callers) = (at("limits"), at("callers"));
    let (class_calls, without) = (domain.list("class-calls")?, domain.list("worth-without")?);
    let mut classes = Vec::new();
    for (i, c) in top.list("classes")?.iter().enumerate() {
        let c = Node(c, "class");
        classes.push(ClassSettings {
            name: c.text("name")?.to_owned(),
            aim: Micros(c.num("aim-us")?.max(0.0) as u64),
            aim_stretch: c.num_or_zero("aim-stretch")?,
            deadline: Micros(c.num("deadline-us")?.max(0.0) as u64),
            late_worth: c.num_or_zero("late-worth")?,
            worth: c.num("points")?,
            effect: match c.text("effect")? {
                "retryable" => Effect::Retryable,
                "dedup" => Effect::Dedup,
                "fragile" => Effect::Fragile,
                other => return Err(format!("unknown effect '{other}'")),
            },
            window: c.micros("memory-span-us")?,
            calls: class_calls.get(i).is_some_and(|v| v.as_bool().unwrap_or(v.as_f64() == Some(1.0))),
            worth_without_call: without.get(i).and_then(Value::as_f64).unwrap_or(0.0),
        });
    }
    let mut tenants = Vec::new();
    for t in top.list("accounts")? {
        let t = Node(t, "account");
        tenants.push(TenantSettings {
            name: t.text("name")?.to_owned(),
            quota_per_s: t.num_or_zero("quota-per-s")?,
        });
    }
    Ok(Settings {
        cores: domain.num("cores").and_then(|_| domain.count("cores"))?,
        memory_kb: domain.num("memory-kb")?,
        run_memory_factor: domain.num("run-mem-factor")?,
        key_entry_kb: domain.num_or_zero("entry-kb")?,
        classes,
        tenants,
        over_share_worth: top.num_or_zero("over-share-worth")?,
        worth_by_work: top.word("counted-by")? == "work",
        marks_retries: callers.flag("marks-retry")?,
        cold: domain.flag("cold")?,
        replicas: top.count("replicas-of-me")?,
        senders: domain.count("senders")?,
        halt: match domain.word("halt")? {
            "silent" => Halt::None,
            "discard" => Halt::Discard,
            "freeze" => Halt::Freeze,
            other => return Err(format!("unknown halt '{other}'")),
        },
        signal: match domain.word("say")? {
            "silent" => Signal::None,
            "floor" => Signal::Floor,
            "allowance" => Signal::Allowance,
            "weight" => Signal::Weight,
            other => return Err(format!("unknown say '{other}'")),
        },
        signal_heeded: domain.micros("heeded-us")?,
        below: match domain.word("below")? {
            "silent" => Below::Nothing,
            "one_for_all" => Below::Shared,
            "tier" => Below::Tier,
            other => return Err(format!("unknown below '{other}'")),
        },
        dependency_share: domain.num_or_zero("dep-share")?,
        dependency_window: domain.micros("dep-window-us")?,
        call_linger: domain.micros("linger-us")?,
        fresh_for: domain.micros("fresh-for-us")?,
        deep_checks: domain.flag("deep-checks")?,
        readiness: domain.flag("readiness")?,
        idle_max: domain.micros("idle-us")?,
        retry_after: limits.flag("retry-after")?,
        retry_after_max: limits.micros("max-retry-after-us")?,
        answer_slack: contract.micros("answer-slack-us")?,
        cold_from: contract.num("cold-from")?,
        cold_for: contract.micros("cold-us")?,
        drain_grace: contract.micros("drain-grace-us")?,
        crowd_per_core: contract.num("fall-multiple")?,
        crowd_window: contract.micros("fall-us")?,
        round: top.micros("round-us")?,
    })
}
