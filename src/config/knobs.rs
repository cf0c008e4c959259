//! Tables of numeric settings. Each entry has a unit, range and meaning, and the same table serves to read, check and
//! show the settings.

use std::collections::BTreeMap;

use super::ConfigError;
use super::doc::Doc;
use crate::door::profile::{Liveness, Pace, Profile, Progress};
use crate::front::uwsgi::UwsgiConfig;
use crate::interface::Micros;

/// One numeric setting of a `T`.
pub struct Knob<T> {
    /// Its key, with dots where it is in a nested table.
    pub key: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// Least allowed value.
    pub least: f64,
    /// Greatest allowed value.
    pub most: f64,
    /// Its meaning, for messages.
    pub what: &'static str,
    /// Reads it; `None` where it does not apply or is not set.
    pub get: fn(&T) -> Option<f64>,
    /// Sets it; returns false where it does not apply.
    pub set: fn(&mut T, f64) -> bool,
}

impl<T> Knob<T> {
    /// The allowed range with its unit, as messages show it.
    pub fn range(&self) -> String {
        format!("{} to {} {}", self.least, self.most, self.unit).trim_end().to_owned()
    }

    /// Checks a value against the range.
    ///
    /// # Errors
    /// The value and the range that it must be in.
    pub fn check(&self, value: f64) -> Result<f64, String> {
        if value.is_finite() && (self.least..=self.most).contains(&value) {
            return Ok(value);
        }
        Err(format!("is {value}; it must be {} ({})", self.range(), self.what))
    }
}

/// Writes the values of a TOML table into a `T`; an unknown key is an error.
///
/// # Errors
/// The first unknown key or invalid value, with its line.
pub fn apply<T>(
    doc: &Doc,
    table_path: &[&str],
    values: &BTreeMap<String, toml::Value>,
    knobs: &[Knob<T>],
    to: &mut T,
) -> Result<(), ConfigError> {
    for (key, value) in values {
        let at: Vec<&str> = table_path.iter().copied().chain([key.as_str()]).collect();
        let Some(knob) = knobs.iter().find(|k| k.key == key) else {
            let known: Vec<&str> = knobs.iter().map(|k| k.key).collect();
            return Err(doc.bad(&at, format!("no such setting; there are: {}", known.join(", "))));
        };
        let number = match value {
            toml::Value::Integer(n) => *n as f64,
            toml::Value::Float(x) => *x,
            other => {
                let found = other.type_str();
                return Err(doc.bad(&at, format!("is a {found}; it must be a number, {}", knob.range())));
            }
        };
        let number = knob.check(number).map_err(|reason| doc.bad(&at, reason))?;
        if !(knob.set)(to, number) {
            return Err(doc.bad(&at, "does not apply to this profile; base it on \"patient\""));
        }
    }
    Ok(())
}

fn ms(x: f64) -> Micros {
    Micros::from_secs_f64(x / 1e3)
}

fn as_ms(x: Micros) -> f64 {
    x.0 as f64 / 1e3
}

/// Changes a profile's progress settings; false where its pace is fixed.
fn set_progress(p: &mut Profile, f: impl FnOnce(&mut Progress)) -> bool {
    match &mut p.pace {
        Pace::Progress(g) => {
            f(g);
            true
        }
        Pace::Fixed => false,
    }
}

/// Reads a profile's progress settings; `None` where its pace is fixed.
fn get_progress(p: &Profile, f: impl FnOnce(&Progress) -> f64) -> Option<f64> {
    match &p.pace {
        Pace::Progress(g) => Some(f(g)),
        Pace::Fixed => None,
    }
}

/// The profile's liveness settings, set to their defaults first where it has none.
fn liveness(p: &mut Profile) -> &mut Liveness {
    let defaults = Liveness { probe: Micros::from_millis(10_000), timeout: Micros::from_millis(30_000) };
    p.liveness.get_or_insert(defaults)
}

macro_rules! knob {
    ($key:literal, $unit:literal, $least:literal ..= $most:literal, $what:literal, $get:expr, $set:expr) => {
        Knob { key: $key, unit: $unit, least: $least, most: $most, what: $what, get: $get, set: $set }
    };
}

/// The settings of a connection profile.
pub const PROFILE: &[Knob<Profile>] = &[
    knob!(
        "least_rate",
        "bytes/s",
        1.0..=1e6,
        "below it a message earns no more time",
        |p| get_progress(p, |g| g.least_rate as f64),
        |p, x| set_progress(p, |g| g.least_rate = x as u64)
    ),
    knob!(
        "grace_ms",
        "ms",
        100.0..=600_000.0,
        "silence that a message starts with credit for",
        |p| get_progress(p, |g| as_ms(g.grace)),
        |p, x| set_progress(p, |g| g.grace = ms(x))
    ),
    knob!(
        "burst_ms",
        "ms",
        100.0..=3_600_000.0,
        "longest silence that progress can earn; the grace at least",
        |p| get_progress(p, |g| as_ms(g.burst)),
        |p, x| set_progress(p, |g| g.burst = ms(x))
    ),
    knob!(
        "longest",
        "x deadline",
        0.1..=100.0,
        "time for one message, as a multiple of its class's deadline",
        |p| get_progress(p, |g| g.longest),
        |p, x| set_progress(p, |g| g.longest = x)
    ),
    knob!(
        "silence_ms",
        "ms",
        100.0..=600_000.0,
        "time before the first byte",
        |p| get_progress(p, |g| as_ms(g.silence)),
        |p, x| set_progress(p, |g| g.silence = ms(x))
    ),
    knob!(
        "rest_ms",
        "ms",
        0.0..=30_000.0,
        "longest time between two looks at a slow sender; 0 for none",
        |p| get_progress(p, |g| as_ms(g.rest)),
        |p, x| set_progress(p, |g| g.rest = ms(x))
    ),
    knob!(
        "stall_ms",
        "ms",
        100.0..=600_000.0,
        "a reader that takes nothing for so long is cut off",
        |p| Some(as_ms(p.send_limits.stall)),
        |p, x| {
            p.send_limits.stall = ms(x);
            true
        }
    ),
    knob!(
        "answer_ms",
        "ms",
        100.0..=3_600_000.0,
        "time for all that is owed to be taken; no bound if not set",
        |p| p.send_limits.longest.map(as_ms),
        |p, x| {
            p.send_limits.longest = Some(ms(x));
            true
        }
    ),
    knob!(
        "probe_ms",
        "ms",
        1_000.0..=3_600_000.0,
        "silence before the system probes a peer; none if not set",
        |p| p.liveness.map(|l| as_ms(l.probe)),
        |p, x| {
            liveness(p).probe = ms(x);
            true
        }
    ),
    knob!(
        "gone_ms",
        "ms",
        1_000.0..=3_600_000.0,
        "a peer that acknowledges nothing for so long is gone",
        |p| p.liveness.map(|l| as_ms(l.timeout)),
        |p, x| {
            liveness(p).timeout = ms(x);
            true
        }
    ),
    knob!(
        "send_buffer_kb",
        "KiB",
        4.0..=16_384.0,
        "the system's buffer for answers; its own choice if not set",
        |p| p.send_buffer.map(|b| b as f64 / 1024.0),
        |p, x| {
            p.send_buffer = Some((x * 1024.0) as usize);
            true
        }
    ),
    knob!(
        "linger_ms",
        "ms",
        0.0..=60_000.0,
        "wait for the peer's close once all is sent",
        |p| Some(as_ms(p.linger)),
        |p, x| {
            p.linger = ms(x);
            true
        }
    ),
];

/// The settings of the uwsgi front's file.
pub const UWSGI: &[Knob<UwsgiConfig>] = &[
    knob!(
        "limits.connections",
        "",
        1.0..=100_000.0,
        "gateways' connections at a time",
        |u| Some(u.limits.connections as f64),
        |u, x| {
            u.limits.connections = x as usize;
            true
        }
    ),
    knob!(
        "limits.vars_bytes",
        "bytes",
        1.0..=65_535.0,
        "a request's vars",
        |u| Some(u.limits.vars_bytes as f64),
        |u, x| {
            u.limits.vars_bytes = x as usize;
            true
        }
    ),
    knob!(
        "limits.body_bytes",
        "bytes",
        0.0..=67_108_864.0,
        "a request's body",
        |u| Some(u.limits.body_bytes as f64),
        |u, x| {
            u.limits.body_bytes = x as usize;
            true
        }
    ),
    knob!(
        "limits.reply_bytes",
        "bytes",
        64.0..=268_435_456.0,
        "a server's reply",
        |u| Some(u.limits.reply_bytes as f64),
        |u, x| {
            u.limits.reply_bytes = x as usize;
            true
        }
    ),
    knob!(
        "limits.room_kb",
        "KiB",
        0.1..=100_000.0,
        "booked by the module for a held request",
        |u| Some(u.limits.room_kb),
        |u, x| {
            u.limits.room_kb = x;
            true
        }
    ),
    knob!(
        "timeouts.header_ms",
        "ms",
        1.0..=3_600_000.0,
        "a request's header and vars, under fixed patience",
        |u| Some(u.timeouts.header_ms as f64),
        |u, x| {
            u.timeouts.header_ms = x as u64;
            true
        }
    ),
    knob!(
        "timeouts.body_ms",
        "ms",
        1.0..=3_600_000.0,
        "a request's body, under fixed patience",
        |u| Some(u.timeouts.body_ms as f64),
        |u, x| {
            u.timeouts.body_ms = x as u64;
            true
        }
    ),
    knob!(
        "timeouts.connect_ms",
        "ms",
        1.0..=600_000.0,
        "a connection to a server",
        |u| Some(u.timeouts.connect_ms as f64),
        |u, x| {
            u.timeouts.connect_ms = x as u64;
            true
        }
    ),
    knob!(
        "timeouts.run_ms",
        "ms",
        1.0..=3_600_000.0,
        "a server's reply, whoever still waits for it",
        |u| Some(u.timeouts.run_ms as f64),
        |u, x| {
            u.timeouts.run_ms = x as u64;
            true
        }
    ),
    knob!(
        "timeouts.retry_after_ms",
        "ms",
        0.0..=3_600_000.0,
        "least Retry-After of a refusal",
        |u| Some(u.timeouts.retry_after_ms as f64),
        |u, x| {
            u.timeouts.retry_after_ms = x as u64;
            true
        }
    ),
];
