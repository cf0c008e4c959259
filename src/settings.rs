//! The settings object, in the form that the simulator and the platform's configuration file share.

pub mod shape;
pub mod slots;
pub mod told;

use serde::Deserialize;
use serde_json::Value;

use crate::interface::{Downstream, LoadSignal, Micros, Settings, StopMode};
pub use shape::lacking;
use told::RawSettings;

/// Longest time that callers leave a connection idle, where the settings don't set it.
const DEFAULT_IDLE_MAX: Micros = Micros::from_millis(30_000);

/// A JSON object, and the name that error messages give it.
struct NamedObject<'a>(&'a Value, &'static str);

impl NamedObject<'_> {
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

    /// A number that a site may leave out where it does not use the feature; 0 then.
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

    /// A keyword; `silent`, which turns the feature off, where it is left out.
    fn keyword(&self, key: &str) -> Result<&str, String> {
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

/// Reads a settings object from its JSON text.
///
/// # Errors
/// Text that is not JSON, or a field that is missing or of the wrong kind.
pub fn from_text(json: &str) -> Result<Settings, String> {
    let raw: RawSettings = serde_json::from_str(json).map_err(|e| format!("params is not JSON: {e}"))?;
    from_raw(raw)
}

/// Reads a settings object from a JSON value.
///
/// # Errors
/// Names the first field that is missing or of the wrong kind.
pub fn from_json(root: &Value) -> Result<Settings, String> {
    from_raw(RawSettings::deserialize(root).map_err(|e| e.to_string())?)
}

/// Converts a deserialized settings object.
///
/// # Errors
/// Names the first field that is missing or of the wrong kind.
pub fn from_raw(RawSettings { rest, classes, tenants }: RawSettings) -> Result<Settings, String> {
    let (root, absent) = (&rest, Value::Null);
    let at = |key: &'static str| NamedObject(root.get(key).unwrap_or(&absent), key);
    let (top, domain, contract) = (NamedObject(root, "params"), at("domain"), at("contract"));
    let (limits, callers) = (at("limits"), at("callers"));
    let (class_calls, weights_without_call) = (domain.list("class-calls")?, domain.list("worth-without")?);
    let mut classes = classes?;
    for (i, c) in classes.iter_mut().enumerate() {
        c.may_call = class_calls.get(i).is_some_and(|v| v.as_bool().unwrap_or(v.as_f64() == Some(1.0)));
        c.weight_without_call = weights_without_call.get(i).and_then(Value::as_f64).unwrap_or(0.0);
    }
    let mut tenants = tenants?;
    classes.shrink_to_fit();
    tenants.shrink_to_fit();
    let (classes, tenants) = (classes.into(), tenants.into());
    Ok(Settings {
        cores: domain.num("cores").and_then(|_| domain.count("cores"))?,
        memory_kb: domain.num("memory-kb")?,
        run_memory_factor: domain.num("run-mem-factor")?,
        key_entry_kb: domain.num_or_zero("entry-kb")?,
        classes,
        tenants,
        over_quota_weight: top.num_or_zero("over-share-worth")?,
        weighs_by_work: top.keyword("counted-by")? == "work",
        marks_retries: callers.flag("marks-retry")?,
        is_cold: domain.flag("cold")?,
        replicas: top.count("replicas-of-me")?,
        replica_index: if top.get("me").is_some() { Some(top.count("me")?) } else { None },
        callers: domain.count("senders")?,
        stop_mode: match domain.keyword("halt")? {
            "silent" => StopMode::None,
            "discard" => StopMode::Discard,
            "freeze" => StopMode::Freeze,
            other => return Err(format!("unknown halt '{other}'")),
        },
        load_signal: match domain.keyword("say")? {
            "silent" => LoadSignal::None,
            "floor" => LoadSignal::MinimumRank,
            "allowance" => LoadSignal::Allowance,
            "weight" => LoadSignal::Weight,
            other => return Err(format!("unknown say '{other}'")),
        },
        signal_lifetime: domain.micros("heeded-us")?,
        downstream: match domain.keyword("below")? {
            "silent" => Downstream::Nothing,
            "one_for_all" => Downstream::Shared,
            "tier" => Downstream::Tier,
            other => return Err(format!("unknown below '{other}'")),
        },
        dependency_share: domain.num_or_zero("dep-share")?,
        dependency_window: domain.micros("dep-window-us")?,
        call_linger: domain.micros("linger-us")?,
        fresh_for: domain.micros("fresh-for-us")?,
        deep_checks: domain.flag("deep-checks")?,
        readiness: domain.flag("readiness")?,
        // Zero means that it is left out; as a time limit it would close each connection as soon as it is made.
        idle_max: Some(domain.micros("idle-us")?).filter(|t| t.0 > 0).unwrap_or(DEFAULT_IDLE_MAX),
        is_retry_after_sent: limits.flag("retry-after")?,
        retry_after_max: limits.micros("max-retry-after-us")?,
        answer_slack: contract.micros("answer-slack-us")?,
        cold_speed: contract.num("cold-from")?,
        warm_up_time: contract.micros("cold-us")?,
        drain_grace: contract.micros("drain-grace-us")?,
        max_runs_per_core: contract.num("fall-multiple")?,
        runs_window: contract.micros("fall-us")?,
        min_batch_gap: top.micros("round-us")?,
    })
}
