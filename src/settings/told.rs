//! Deserialization of the settings object. Classes and tenants, of which there may be thousands, are converted one by one,
//! so that memory holds only the file's text, the converted settings and one JSON element at a time.

use std::collections::HashSet;
use std::fmt;

use serde::de::value::{MapAccessDeserializer, SeqAccessDeserializer};
use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, de};
use serde_json::{Map, Value};

use super::NamedObject;
use crate::interface::{ClassSettings, Effect, Micros, TenantSettings};

/// A list, or the reason why its first invalid element is rejected.
type List<T> = Result<Vec<T>, String>;

/// A settings object whose lists are converted and whose other values are still JSON.
#[derive(Debug)]
pub struct RawSettings {
    /// All values except the lists of classes and tenants.
    pub(super) rest: Value,
    pub(super) classes: List<ClassSettings>,
    pub(super) tenants: List<TenantSettings>,
}

impl Default for RawSettings {
    fn default() -> Self {
        RawSettings { rest: Value::Null, classes: Ok(Vec::new()), tenants: Ok(Vec::new()) }
    }
}

impl RawSettings {
    /// The names of the agent's gauges, in their order.
    pub fn gauge_names(&self) -> Vec<String> {
        let names = self.rest.pointer("/domain/meters").and_then(Value::as_array);
        names.into_iter().flatten().filter_map(|v| v.as_str().map(str::to_owned)).collect()
    }

    /// Whether callers connect to this node, rather than an upstream tier.
    pub fn is_entry(&self) -> bool {
        self.rest.get("tier").and_then(Value::as_u64).unwrap_or(0) == 0
    }
}

/// Reads one class; the values that `domain` holds for it are added later.
fn class(c: &Value, seen: &mut HashSet<String>) -> Result<ClassSettings, String> {
    let c = NamedObject(c, "class");
    let name = c.text("name")?;
    if !seen.insert(name.to_owned()) {
        return Err(format!("class '{name}' is there twice"));
    }
    Ok(ClassSettings {
        name: name.to_owned(),
        latency_objective: Micros(c.num("aim-us")?.max(0.0) as u64),
        objective_stretch: c.num_or_zero("aim-stretch")?,
        deadline: Micros(c.num("deadline-us")?.max(0.0) as u64),
        late_weight: c.num_or_zero("late-worth")?,
        priority_weight: c.num("points")?,
        effect: match c.text("effect")? {
            "retryable" => Effect::Retryable,
            "dedup" => Effect::Dedup,
            "fragile" => Effect::Fragile,
            other => return Err(format!("unknown effect '{other}'")),
        },
        window: c.micros("memory-span-us")?,
        ..ClassSettings::default()
    })
}

fn tenant(t: &Value) -> Result<TenantSettings, String> {
    let t = NamedObject(t, "account");
    Ok(TenantSettings { name: t.text("name")?.to_owned(), quota_per_s: t.num_or_zero("quota-per-s")? })
}

/// Converts a list's elements one by one; errors about a value that is not a list name `key`.
struct Elements<F> {
    key: &'static str,
    convert: F,
}

impl<'de, T, F: FnMut(&Value) -> Result<T, String>> DeserializeSeed<'de> for Elements<F> {
    type Value = List<T>;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<List<T>, D::Error> {
        d.deserialize_any(self)
    }
}

impl<F> Elements<F> {
    fn not_a_list<T, E>(&self) -> Result<List<T>, E> {
        Ok(Err(NamedObject(&Value::Null, "params").missing(self.key)))
    }
}

impl<'de, T, F: FnMut(&Value) -> Result<T, String>> Visitor<'de> for Elements<F> {
    type Value = List<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(mut self, mut seq: A) -> Result<List<T>, A::Error> {
        let mut all = Ok(Vec::new());
        // The rest is read even after an invalid element, as a JSON syntax error behind it is reported first.
        while let Some(element) = seq.next_element::<Value>()? {
            if let Ok(list) = &mut all {
                match (self.convert)(&element) {
                    Ok(one) => list.push(one),
                    Err(e) => all = Err(e),
                }
            }
        }
        Ok(all)
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<List<T>, A::Error> {
        Value::deserialize(MapAccessDeserializer::new(map))?;
        self.not_a_list()
    }

    fn visit_unit<E>(self) -> Result<List<T>, E> {
        Ok(Ok(Vec::new()))
    }

    fn visit_bool<E>(self, _: bool) -> Result<List<T>, E> {
        self.not_a_list()
    }

    fn visit_i64<E>(self, _: i64) -> Result<List<T>, E> {
        self.not_a_list()
    }

    fn visit_u64<E>(self, _: u64) -> Result<List<T>, E> {
        self.not_a_list()
    }

    fn visit_f64<E>(self, _: f64) -> Result<List<T>, E> {
        self.not_a_list()
    }

    fn visit_str<E>(self, _: &str) -> Result<List<T>, E> {
        self.not_a_list()
    }
}

impl<'de> Deserialize<'de> for RawSettings {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<RawSettings, D::Error> {
        d.deserialize_any(RawSettingsVisitor)
    }
}

struct RawSettingsVisitor;

/// A value that is not an object: conversion reports its missing fields.
fn not_an_object<E>(rest: impl Into<Value>) -> Result<RawSettings, E> {
    Ok(RawSettings { rest: rest.into(), ..RawSettings::default() })
}

impl<'de> Visitor<'de> for RawSettingsVisitor {
    type Value = RawSettings;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a settings object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<RawSettings, A::Error> {
        let (mut settings, mut rest) = (RawSettings::default(), Map::new());
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "classes" => {
                    let mut seen = HashSet::new();
                    let convert = |c: &Value| class(c, &mut seen);
                    settings.classes = map.next_value_seed(Elements { key: "classes", convert })?;
                }
                "accounts" => {
                    settings.tenants = map.next_value_seed(Elements { key: "accounts", convert: tenant })?;
                }
                _ => _ = rest.insert(key, map.next_value()?),
            }
        }
        settings.rest = Value::Object(rest);
        Ok(settings)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, seq: A) -> Result<RawSettings, A::Error> {
        not_an_object(Value::deserialize(SeqAccessDeserializer::new(seq))?)
    }

    fn visit_unit<E>(self) -> Result<RawSettings, E> {
        not_an_object(Value::Null)
    }

    fn visit_bool<E>(self, v: bool) -> Result<RawSettings, E> {
        not_an_object(v)
    }

    fn visit_i64<E>(self, v: i64) -> Result<RawSettings, E> {
        not_an_object(v)
    }

    fn visit_u64<E>(self, v: u64) -> Result<RawSettings, E> {
        not_an_object(v)
    }

    fn visit_f64<E>(self, v: f64) -> Result<RawSettings, E> {
        not_an_object(v)
    }

    fn visit_str<E: de::Error>(self, v: &str) -> Result<RawSettings, E> {
        not_an_object(v)
    }
}
