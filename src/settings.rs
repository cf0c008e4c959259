//! The settings object, as the simulator and the platform's configuration both give it.

pub mod slots;

use std::collections::HashSet;

use serde_json::Value;

use crate::interface::{Below, ClassSettings, Effect, Halt, Micros, Settings, Signal, TenantSettings};

/// How long callers leave a connection idle where the settings do not say.
const IDLE_MAX: Micros = Micros::from_millis(30_000);

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

/// Reads the settings object of a start from its text.
///
/// # Errors
/// Text that is not JSON, or a field that is missing or of the wrong kind.
pub fn from_text(json: &str) -> Result<Settings, String> {
    let root: Value = serde_json::from_str(json).map_err(|e| format!("params is not JSON: {e}"))?;
    from_json(&root)
}

/// Reads the settings object of a start.
///
/// # Errors
/// Names the first field that is missing or of the wrong kind.
pub fn from_json(root: &Value) -> Result<Settings, String> {
    let none = Value::Null;
    let at = |key: &'static str| Node(root.get(key).unwrap_or(&none), key);
    let (top, domain, contract) = (Node(root, "params"), at("domain"), at("contract"));
    let (limits, callers) = (at("limits"), at("callers"));
    let (class_calls, without) = (domain.list("class-calls")?, domain.list("worth-without")?);
    let (mut classes, mut seen) = (Vec::new(), HashSet::new());
    for (i, c) in top.list("classes")?.iter().enumerate() {
        let c = Node(c, "class");
        let name = c.text("name")?;
        if !seen.insert(name.to_owned()) {
            return Err(format!("class '{name}' is there twice"));
        }
        classes.push(ClassSettings {
            name: name.to_owned(),
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
            retired: false,
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
    let (classes, tenants) = (classes.into(), tenants.into());
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
        me: if top.get("me").is_some() { Some(top.count("me")?) } else { None },
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
        // Left out, it tells nothing; taken as no time at all it would close whoever has just connected.
        idle_max: Some(domain.micros("idle-us")?).filter(|t| t.0 > 0).unwrap_or(IDLE_MAX),
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

/// Keys that the wire's page calls optional.
const OPTIONAL: [&str; 2] = ["aim-stretch", "passes-deadline"];

/// The first key that one object has and another, which is to take its place, lacks: how a file that was cut down or written by
/// hand shows. Elements of a list need what all elements have that it replaces.
pub fn lacking(in_force: &Value, told: &Value) -> Option<String> {
    match (in_force, told) {
        (Value::Object(a), Value::Object(b)) => a.iter().find_map(|(key, was)| match b.get(key) {
            None if OPTIONAL.contains(&key.as_str()) => None,
            None => Some(key.clone()),
            Some(is) => lacking(was, is).map(|rest| format!("{key}.{rest}")),
        }),
        (Value::Array(a), Value::Array(b)) => {
            let mut common = a.first()?.as_object()?.clone();
            for other in &a[1..] {
                common.retain(|key, _| other.get(key).is_some());
            }
            let common = Value::Object(common);
            b.iter().enumerate().find_map(|(i, x)| lacking(&common, x).map(|rest| format!("{i}.{rest}")))
        }
        // Of another kind than it was: what reads it says so.
        _ => None,
    }
}
