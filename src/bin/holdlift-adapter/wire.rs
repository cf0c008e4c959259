//! Translation between the lines of the simulator's protocol and the library's types.

use std::fmt::Write;

use holdlift::{Action, Event, Gauges, Micros, Outcome, Request, RequestId, Settings, TimerToken};

/// The `name=value` pairs of one line.
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

/// Splits a line into its name and pairs. The value of `params` runs to the end of the line, spaces included.
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
    /// The value of a field, which may be empty.
    pub fn get(&self, key: &str) -> Option<&'a str> {
        self.0.iter().find(|(k, _)| *k == key).map(|(_, v)| *v)
    }

    /// The value of a field that must not be empty.
    pub fn text(&self, key: &str) -> Result<&'a str, String> {
        self.get(key).filter(|v| !v.is_empty()).ok_or_else(|| format!("{key} is missing"))
    }

    /// A whole number, where the field is present.
    pub fn opt_int(&self, key: &str) -> Result<Option<u64>, String> {
        let parse = |v: &str| v.parse().map_err(|_| format!("{key} is not a whole number: '{v}'"));
        self.get(key).map(parse).transpose()
    }

    /// A whole number that must be present.
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
                is_over_quota: false,
                has_key: f.get("object").is_some_and(|k| !k.is_empty()),
                due: f.opt_int("drop-dead-us")?.filter(|d| *d > 0).map(Micros),
                expected_work: f.opt_int("work-us")?.filter(|w| *w > 0 && attrs & 1 != 0).map(Micros),
                held_kb: f.number("footprint")?,
                rank: f.number("place")?,
                is_retry: attrs & 2 != 0,
                is_write: attrs & 4 != 0,
                caller: f.opt_int("who")?.unwrap_or(0).min(u64::from(u32::MAX)) as u32,
                unread_time: Micros(f.opt_int("backlog-time-us")?.unwrap_or(0)),
                repeats,
            })
        }
        "CLIENT_GONE" => Event::Cancelled(f.id("tid")?),
        "NOTICE" => Event::Drain(Micros(f.int("drop-dead-us")?)),
        "NEEDS" => Event::CallRequested(f.id("tid")?),
        "WOUND_UP" => Event::RunEnded(f.id("tid")?, outcome(f)?, Micros(f.opt_int("lag-us")?.unwrap_or(0))),
        "DEP_REPLY" => Event::CallEnded(f.id("tid")?, outcome(f)?, Micros(f.opt_int("lag-us")?.unwrap_or(0))),
        "TIMEOUT_FIRED" => {
            let nonce = f.text("nonce")?;
            let token = nonce.parse().map_err(|_| format!("unknown timer '{nonce}'"))?;
            Event::Timer(TimerToken(token), gauges(f.get("feedback").unwrap_or(""))?)
        }
        other => return Err(format!("unknown message '{other}'")),
    })
}

/// Appends one action as a line.
pub fn action(out: &mut String, a: &Action) {
    let flag = |b: bool| u8::from(b);
    let written = match a {
        Action::Run(id) => writeln!(out, "BEGIN tid={}", id.0),
        Action::Call(id, at) => writeln!(out, "INVOKE tid={} expire-at-us={}", id.0, at.0),
        Action::SkipCall(id) => writeln!(out, "BYPASS tid={}", id.0),
        Action::Fail(id) => writeln!(out, "FAIL tid={}", id.0),
        Action::Refuse { id, is_final, retry_after } => {
            let _ = write!(out, "SAY_NO tid={} give-up={}", id.0, flag(*is_final));
            if retry_after.0 > 0 {
                let _ = write!(out, " wait-us={}", retry_after.0);
            }
            writeln!(out)
        }
        Action::Stop(id) => writeln!(out, "STOP tid={}", id.0),
        Action::Join(id) => writeln!(out, "JOIN tid={}", id.0),
        Action::RetainKey(id, span) => writeln!(out, "STORE_KEY tid={} span-us={}", id.0, span.0),
        Action::ForgetKey(id) => writeln!(out, "UNPIN tid={}", id.0),
        Action::Health { stored, good } => {
            writeln!(out, "REPORT_HEALTH stored={} on={}", flag(*stored), flag(*good))
        }
        Action::SetLoadSignal(level) => writeln!(out, "HINT_OUT level={level}"),
        Action::CloseIdleConnections(span) => writeln!(out, "IDLE span-us={}", span.0),
        Action::Timer(token, after) => writeln!(out, "SET_TIMER nonce={} offset-us={}", token.0, after.0),
        Action::Log(text) => writeln!(out, "PRINT reason-text={}", text.replace(['\n', '\r'], " ")),
    };
    debug_assert!(written.is_ok());
}
