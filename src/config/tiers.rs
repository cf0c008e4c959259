//! The operator's tiers file: the downstream tiers' endpoints and limits, and the calls of each class.
//!
//! The platform's ledger is always present as the tier `ledger`. Without a file it is the only tier, with the platform's plan.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;

use super::doc::{Doc, few};
use super::gather;
use super::knobs::{self, Knob};
use super::{Config, ConfigError};
use crate::dependencies::call_plan::{CallPlan, CallPlans, Fallback, TierId, TierSettings};
use crate::interface::{ClassId, ClassSettings, Effect, IndexedList, Micros, Settings};

/// Name of the platform's own tier.
pub const LEDGER: &str = "ledger";
/// Limit on tiers in a file, endpoints of a tier, calls of a class and fallbacks of a call; more are taken as a mistake.
pub(super) const MOST: usize = 64;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    tiers: BTreeMap<String, BTreeMap<String, toml::Value>>,
    #[serde(default)]
    classes: BTreeMap<String, Vec<CallFile>>,
    #[serde(default)]
    gather: BTreeMap<String, Vec<gather::CallFile>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CallFile {
    tier: String,
    #[serde(default = "full_share")]
    share: f64,
    cap_ms: Option<f64>,
    #[serde(default)]
    fallback: Vec<FallbackFile>,
}

fn full_share() -> f64 {
    1.0
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(super) enum FallbackFile {
    Tier(String),
    LastGoodMs(f64),
    Fixed(String),
}

macro_rules! knob {
    ($key:literal, $unit:literal, $least:literal ..= $most:literal, $what:literal, $get:expr, $set:expr) => {
        Knob { key: $key, unit: $unit, least: $least, most: $most, what: $what, get: $get, set: $set }
    };
}

pub(super) fn ms(x: f64) -> Micros {
    Micros::from_secs_f64(x / 1e3)
}

pub(super) fn as_ms(x: Micros) -> f64 {
    x.0 as f64 / 1e3
}

/// The settings of a tier.
#[rustfmt::skip]
pub const TIER: &[Knob<TierSettings>] = &[
    knob!("limit_start", "calls", 1.0..=1e9, "calls under way at first",
        |t| Some(t.limit.initial), |t, x| { t.limit.initial = x; true }),
    knob!("limit_least", "calls", 1.0..=1e9, "calls under way at the least",
        |t| Some(t.limit.minimum), |t, x| { t.limit.minimum = x; true }),
    knob!("limit_most", "calls", 1.0..=1e9, "calls under way at the most",
        |t| Some(t.limit.maximum), |t, x| { t.limit.maximum = x; true }),
    knob!("tolerance", "x least latency", 1.05..=100.0, "a call slower than that is a sign of congestion",
        |t| Some(t.limit.tolerance), |t, x| { t.limit.tolerance = x; true }),
    knob!("breaker_failures", "share", 0.01..=1.0, "failures at which the breaker opens; never if not set",
        |t| t.circuit_breaker.failure_share, |t, x| { t.circuit_breaker.failure_share = Some(x); true }),
    knob!("breaker_calls", "calls", 1.0..=100_000.0, "calls in its window before it may open",
        |t| Some(f64::from(t.circuit_breaker.min_calls)), |t, x| { t.circuit_breaker.min_calls = x as u32; true }),
    knob!("breaker_window_ms", "ms", 100.0..=600_000.0, "its window",
        |t| Some(as_ms(t.circuit_breaker.window)), |t, x| { t.circuit_breaker.window = ms(x); true }),
    knob!("breaker_open_ms", "ms", 10.0..=600_000.0, "how long it stays open at first",
        |t| Some(as_ms(t.circuit_breaker.open_duration)), |t, x| { t.circuit_breaker.open_duration = ms(x); true }),
    knob!("breaker_open_most_ms", "ms", 10.0..=3_600_000.0, "and at the most",
        |t| Some(as_ms(t.circuit_breaker.open_duration_max)), |t, x| { t.circuit_breaker.open_duration_max = ms(x); true }),
    knob!("breaker_probes", "calls", 1.0..=1_000.0, "probes while it is half open",
        |t| Some(f64::from(t.circuit_breaker.probes)), |t, x| { t.circuit_breaker.probes = x as u32; true }),
    knob!("eject_failures", "calls", 1.0..=1_000.0, "failures in a row that leave an endpoint out; never if not set",
        |t| t.outlier_ejection.consecutive_failures.map(f64::from), |t, x| { t.outlier_ejection.consecutive_failures = Some(x as u32); true }),
    knob!("eject_ms", "ms", 10.0..=600_000.0, "for how long at first",
        |t| Some(as_ms(t.outlier_ejection.base_duration)), |t, x| { t.outlier_ejection.base_duration = ms(x); true }),
    knob!("eject_floor", "share", 0.0..=1.0, "share of the endpoints that stays in; one at least",
        |t| Some(t.outlier_ejection.min_available_share), |t, x| { t.outlier_ejection.min_available_share = x; true }),
    knob!("slow_start_calls", "calls", 0.01..=1e6, "calls that a cold endpoint bears in its window, of all nodes together; full pace if not set",
        |t| t.slow_start.calls_per_window, |t, x| { t.slow_start.calls_per_window = Some(x); true }),
    knob!("slow_start_window_ms", "ms", 10.0..=600_000.0, "that window",
        |t| Some(as_ms(t.slow_start.window)), |t, x| { t.slow_start.window = ms(x); true }),
    knob!("slow_start_ms", "ms", 10.0..=3_600_000.0, "how long an endpoint is cold once it has been reached again",
        |t| Some(as_ms(t.slow_start.duration)), |t, x| { t.slow_start.duration = ms(x); true }),
    knob!("tries", "tries", 1.0..=5.0, "tries of one call, the first among them",
        |t| Some(f64::from(t.retry.attempts_max)), |t, x| { t.retry.attempts_max = x as u32; true }),
    knob!("retry_share", "share", 0.0..=1.0, "further tries and copies as a share of first ones",
        |t| Some(t.retry.share), |t, x| { t.retry.share = x; true }),
    knob!("retry_burst", "tries", 0.0..=10_000.0, "further tries and copies at once",
        |t| Some(t.retry.burst), |t, x| { t.retry.burst = x; true }),
    knob!("hedge_at", "quantile", 0.5..=0.999, "latency after which a copy goes out; never if not set",
        |t| t.retry.hedge, |t, x| { t.retry.hedge = Some(x); true }),
    knob!("window_ms", "ms", 1_000.0..=600_000.0, "span over which latency is known",
        |t| Some(as_ms(t.latency_window)), |t, x| { t.latency_window = ms(x); true }),
];

/// The tiers and call plans in force.
#[derive(Clone, Debug)]
pub struct Tiers {
    /// The plans that calls follow.
    pub plans: CallPlans,
    /// The tiers file, where one is given.
    pub file: Option<PathBuf>,
    /// The classes of the settings that the plans belong to.
    pub classes: IndexedList<ClassSettings>,
}

impl Tiers {
    /// Loads the file; without one, the platform's plan applies.
    ///
    /// # Errors
    /// The first invalid value, with its line and what is allowed.
    pub fn load(path: Option<&Path>, config: &Config, settings: &Settings) -> Result<Tiers, ConfigError> {
        Tiers::load_with(path, config.ledger, settings)
    }

    /// As [`Tiers::load`], for a ledger at this address.
    ///
    /// # Errors
    /// As [`Tiers::load`].
    pub fn load_with(
        path: Option<&Path>,
        ledger: Option<SocketAddr>,
        settings: &Settings,
    ) -> Result<Tiers, ConfigError> {
        let mut plans = CallPlans::platform(ledger);
        if let Some(path) = path {
            let doc = Doc::open(path)?;
            let file: File = doc.read()?;
            tiers(&doc, file.tiers, &mut plans)?;
            // A node knows how many other nodes call the same tiers only from the platform's settings.
            for t in &mut plans.tiers {
                (t.slow_start.processes, t.slow_start.process_index) =
                    (settings.replicas.max(1), settings.replica_index);
            }
            plans.classes = vec![Vec::new(); settings.classes.len()];
            for (name, calls) in file.classes {
                class(&doc, &name, calls, settings, &mut plans)?;
            }
            plans.prefetch = vec![Arc::from([]); settings.classes.len()];
            for (name, calls) in file.gather {
                gather::class(&doc, &name, calls, settings, &mut plans)?;
            }
        }
        // Requests accepted under a class's former settings continue with the class's current plan.
        for (i, c) in settings.classes.iter().enumerate().filter(|(_, c)| c.is_retired) {
            if let (Some(now), false) = (settings.class(&c.name), plans.classes.is_empty()) {
                plans.classes[i] = plans.classes[now.0].clone();
                plans.prefetch[i] = plans.prefetch[now.0].clone();
            }
        }
        Ok(Tiers { plans, file: path.map(Path::to_owned), classes: settings.classes.clone() })
    }

    /// Whether each class index refers to a class of the same name in both.
    pub fn same_classes(&self, other: &Tiers) -> bool {
        let (a, b) = (&self.classes, &other.classes);
        a.is_same_copy(b) || (a.len() == b.len() && a.iter().zip(b).all(|(a, b)| a.name == b.name))
    }
}

fn tiers(
    doc: &Doc,
    all: BTreeMap<String, BTreeMap<String, toml::Value>>,
    plans: &mut CallPlans,
) -> Result<(), ConfigError> {
    if all.len() > MOST {
        return Err(doc.bad(&["tiers"], format!("there may be {MOST} at most")));
    }
    for (name, mut values) in all {
        let table_path = ["tiers", name.as_str()];
        let at = ["tiers", name.as_str(), "endpoints"];
        let endpoints = values.remove("endpoints");
        if name == LEDGER && endpoints.is_some() {
            return Err(doc.bad(&at, "the ledger is where the platform's configuration says; leave this out"));
        }
        let zones = values.remove("zones");
        let mut t = if name == LEDGER {
            plans.tiers[0].clone()
        } else {
            TierSettings::unlimited(&name, addresses(doc, &at, endpoints)?)
        };
        if let Some(zones) = zones {
            t.zones = endpoint_zones(doc, &["tiers", name.as_str(), "zones"], &zones, t.endpoints.len())?;
        }
        knobs::apply(doc, &table_path, &values, TIER, &mut t)?;
        let (l, b) = (&t.limit, &t.circuit_breaker);
        let wrong = [
            ("limit_least", l.minimum > l.maximum, format!("is above limit_most ({})", l.maximum)),
            (
                "breaker_open_ms",
                b.open_duration > b.open_duration_max,
                "is above breaker_open_most_ms".to_owned(),
            ),
        ];
        if let Some((key, _, reason)) = wrong.iter().find(|(key, bad, _)| *bad && values.contains_key(*key)) {
            return Err(doc.bad(&["tiers", &name, key], reason));
        }
        // Where only one bound is set, the values that it bounds move with it.
        t.limit.minimum = if values.contains_key("limit_least") { l.minimum } else { l.maximum.min(1.0) };
        if !values.keys().any(|k| k.starts_with("limit_")) {
            t.limit.minimum = t.limit.maximum;
        }
        t.limit.initial = t.limit.initial.clamp(t.limit.minimum, t.limit.maximum);
        t.circuit_breaker.open_duration_max =
            t.circuit_breaker.open_duration_max.max(t.circuit_breaker.open_duration);
        if name == LEDGER { plans.tiers[0] = t } else { plans.tiers.push(t) }
    }
    Ok(())
}

/// Reads the zone of each endpoint.
fn endpoint_zones(
    doc: &Doc,
    at: &[&str],
    value: &toml::Value,
    endpoints: usize,
) -> Result<Vec<String>, ConfigError> {
    let names = value.as_array().map(|l| l.iter().map(|v| v.as_str().map(str::to_owned)).collect());
    match names {
        Some(Some(names)) if Vec::len(&names) == endpoints => Ok(names),
        _ => Err(doc.bad(at, format!("must be a list of {endpoints} names, one for each endpoint"))),
    }
}

fn addresses(doc: &Doc, at: &[&str], value: Option<toml::Value>) -> Result<Vec<SocketAddr>, ConfigError> {
    let right = "right would be a list such as [\"127.0.0.1:7001\"]";
    let Some(toml::Value::Array(list)) = value else {
        return Err(doc.bad(at, format!("is missing or no list; {right}")));
    };
    if list.is_empty() || list.len() > MOST {
        return Err(doc.bad(at, format!("must hold 1 to {MOST} addresses")));
    }
    let mut all = Vec::new();
    for v in list {
        let text = v.as_str().unwrap_or_default();
        let address = text.parse().map_err(|_| doc.bad(at, format!("{v} is no address; {right}")))?;
        if all.contains(&address) {
            return Err(doc.bad(at, format!("{address} is there twice")));
        }
        all.push(address);
    }
    Ok(all)
}

pub(super) fn find(doc: &Doc, at: &[&str], name: &str, plans: &CallPlans) -> Result<TierId, ConfigError> {
    plans.tiers.iter().position(|t| t.name == name).map(TierId).ok_or_else(|| {
        let known: Vec<&str> = plans.tiers.iter().map(|t| t.name.as_str()).collect();
        doc.bad(at, format!("there is no tier \"{name}\"; there are: {}", known.join(", ")))
    })
}

fn class(
    doc: &Doc,
    name: &str,
    calls: Vec<CallFile>,
    settings: &Settings,
    plans: &mut CallPlans,
) -> Result<(), ConfigError> {
    let id = class_id(doc, &["classes", name], name, settings)?;
    if calls.len() > MOST {
        return Err(doc.bad(&["classes", name], format!("there may be {MOST} calls at most")));
    }
    let class = &settings.classes[id.0];
    let mut sum = 0.0;
    for (i, c) in calls.into_iter().enumerate() {
        let i = i.to_string();
        let at = |key| ["classes", name, &i, key];
        let tier = find(doc, &at("tier"), &c.tier, plans)?;
        let deadline = as_ms(class.deadline);
        let cap = time(doc, (&at("share"), c.share), (&at("cap_ms"), c.cap_ms), deadline)?;
        sum += c.cap_ms.unwrap_or(0.0);
        if sum > deadline {
            let reason =
                format!("the calls up to here may take {sum} ms; the class's deadline is {deadline} ms");
            return Err(doc.bad(&at("cap_ms"), reason));
        }
        let effect = class.effect != Effect::Retryable;
        if effect && !c.fallback.is_empty() {
            let reason = format!("{name} is a write: what may have run is not replaced; leave this out");
            return Err(doc.bad(&at("fallback"), reason));
        }
        let fallback = chain(doc, &at("fallback"), tier, c.fallback, plans)?;
        plans.classes[id.0].push(CallPlan {
            tier,
            time_share: c.share,
            time_cap: ms(cap),
            fallbacks: fallback,
            has_effect: effect,
        });
    }
    Ok(())
}

/// Finds the class of that name.
pub(super) fn class_id(
    doc: &Doc,
    at: &[&str],
    name: &str,
    settings: &Settings,
) -> Result<ClassId, ConfigError> {
    settings.class(name).ok_or_else(|| {
        let known = few(settings.active_classes().map(|c| c.name.as_str()));
        doc.bad(at, format!("there is no class \"{name}\"; there are: {known}"))
    })
}

/// A call's time limit, ms: its cap, or else the class's deadline. Also checks its share of the time left.
pub(super) fn time(
    doc: &Doc,
    (share_at, share): (&[&str], f64),
    (cap_at, cap): (&[&str], Option<f64>),
    deadline: f64,
) -> Result<f64, ConfigError> {
    if !(share > 0.0 && share <= 1.0) {
        return Err(doc.bad(share_at, format!("is {share}; it must be above 0 and 1 at the most")));
    }
    let cap = cap.unwrap_or(deadline);
    if !(cap >= 1.0 && cap <= deadline) {
        let reason = format!("is {cap}; it must be 1 ms to the class's deadline, {deadline} ms");
        return Err(doc.bad(cap_at, reason));
    }
    Ok(cap)
}

/// Reads the fallbacks for a call whose own tier returns no reply, in the order they are tried.
pub(super) fn chain(
    doc: &Doc,
    key_path: &[&str],
    tier: TierId,
    steps: Vec<FallbackFile>,
    plans: &CallPlans,
) -> Result<Vec<Fallback>, ConfigError> {
    if steps.len() > MOST {
        return Err(doc.bad(key_path, format!("there may be {MOST} steps at most")));
    }
    let mut fallback = Vec::new();
    for (n, f) in steps.into_iter().enumerate() {
        let n = n.to_string();
        let at: Vec<&str> = key_path.iter().copied().chain([n.as_str()]).collect();
        fallback.push(match f {
            FallbackFile::Tier(t) => {
                let other = find(doc, &at, &t, plans)?;
                if other == tier || fallback.contains(&Fallback::Tier(other)) {
                    let reason = format!("\"{t}\" has been tried by then; name another tier");
                    return Err(doc.bad(&at, reason));
                }
                Fallback::Tier(other)
            }
            FallbackFile::LastGoodMs(age) if age > 0.0 && age.is_finite() => Fallback::CachedReply(ms(age)),
            FallbackFile::LastGoodMs(age) => {
                return Err(doc.bad(&at, format!("last_good_ms is {age}; it must be above 0 ms")));
            }
            FallbackFile::Fixed(text) => Fallback::Fixed(Bytes::from(text)),
        });
    }
    Ok(fallback)
}

fn write_fallbacks(
    f: &mut fmt::Formatter<'_>,
    fallback: &[Fallback],
    name: &impl Fn(TierId) -> String,
) -> fmt::Result {
    for step in fallback {
        match step {
            Fallback::Tier(t) => write!(f, "; then {}", name(*t))?,
            Fallback::CachedReply(age) => write!(f, "; then the last good reply of {} ms", as_ms(*age))?,
            Fallback::Fixed(b) => write!(f, "; then \"{}\"", String::from_utf8_lossy(b))?,
        }
    }
    Ok(())
}

impl fmt::Display for Tiers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = |t: TierId| self.plans.tiers.get(t.0).map_or("?".to_owned(), |t| t.name.clone());
        for t in &self.plans.tiers {
            let at: Vec<String> = t.endpoints.iter().map(ToString::to_string).collect();
            writeln!(
                f,
                "tier {}: {}",
                t.name,
                if at.is_empty() { "nowhere".to_owned() } else { at.join(", ") }
            )?;
            for k in TIER {
                if let Some(v) = (k.get)(t) {
                    writeln!(f, "  {} = {v} {}", k.key, k.unit)?;
                }
            }
        }
        for (i, class) in self.classes.iter().enumerate() {
            let class = &class.name;
            let calls = self.plans.classes.get(i).map_or(&[][..], |c| &c[..]);
            for (n, c) in calls.iter().enumerate() {
                write!(f, "{class}, call {}: {}, {} of the time left", n + 1, name(c.tier), c.time_share)?;
                write!(f, ", {} ms at the most", as_ms(c.time_cap))?;
                write_fallbacks(f, &c.fallbacks, &name)?;
                writeln!(f, "{}", if c.has_effect { "; a write, sent once" } else { "" })?;
            }
            for g in self.plans.prefetch(i).map_or(&[][..], |g| g) {
                let (needed, beside) = (
                    if g.is_required { "needed" } else { "enriching" },
                    if g.starts_with_previous { ", beside the one before" } else { "" },
                );
                write!(f, "{class}, before a run: {} ({needed}{beside}): {}", g.name, name(g.call.tier))?;
                write!(f, ", {} of the time left, {} ms at the most", g.time_share, as_ms(g.time_cap))?;
                write_fallbacks(f, &g.call.fallbacks, &name)?;
                writeln!(f)?;
            }
            writeln!(
                f,
                "{class}, any further call: {}, for as long as the module allows",
                name(self.plans.default_plan.tier)
            )?;
        }
        Ok(())
    }
}
