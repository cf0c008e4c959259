//! The settings in force, each with its unit, default and source.

use std::fmt;
use std::path::Path;

use serde_json::Value;

use super::Config;
use super::edge::{Edge, LIMITS, Limits};
use super::knobs::{Knob, PROFILE, UWSGI};
use crate::door::profile::Profile;
use crate::front::uwsgi::UwsgiConfig;

/// One setting.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Its full name.
    pub name: String,
    /// Its value in force.
    pub value: String,
    /// Its unit; empty where it has none.
    pub unit: String,
    /// Its default value.
    pub default: String,
    /// Source of the value: a file and line, a variable, or `default`.
    pub source: String,
}

/// All settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rows(pub Vec<Row>);

impl fmt::Display for Rows {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let head = ["setting", "value", "unit", "default", "source"].map(str::to_owned);
        let cells = |r: &Row| [&r.name, &r.value, &r.unit, &r.default, &r.source].map(Clone::clone);
        let all: Vec<[String; 5]> = std::iter::once(head).chain(self.0.iter().map(cells)).collect();
        let column_width = |c: usize| all.iter().map(|r| r[c].chars().count()).max().unwrap_or(0);
        let widths = [column_width(0), column_width(1), column_width(2), column_width(3)];
        for row in &all {
            for (cell, width) in row.iter().zip(widths) {
                write!(f, "{cell:width$}  ")?;
            }
            writeln!(f, "{}", row[4])?;
        }
        Ok(())
    }
}

impl Rows {
    fn add(
        &mut self,
        name: String,
        value: Option<String>,
        unit: &str,
        default: Option<String>,
        source: String,
    ) {
        let text = |v: Option<String>| v.unwrap_or_else(|| "-".to_owned());
        self.0.push(Row { name, value: text(value), unit: unit.to_owned(), default: text(default), source });
    }

    fn knobs<T>(
        &mut self,
        prefix: &str,
        knobs: &[Knob<T>],
        values: &T,
        defaults: &T,
        source: impl Fn(&str) -> Option<String>,
    ) {
        let text = |x: Option<f64>| x.map(|x| format!("{x}"));
        for k in knobs {
            let (value, default) = ((k.get)(values), (k.get)(defaults));
            if value.is_none() && default.is_none() && source(k.key).is_none() {
                continue;
            }
            let from = source(k.key).unwrap_or_else(|| "default".to_owned());
            self.add(format!("{prefix}{}", k.key), text(value), k.unit, text(default), from);
        }
    }
}

/// The unit that the suffix of a platform setting's name tells; empty without one.
fn unit(name: &str) -> &'static str {
    let ends =
        [("-us", "us"), ("_ms", "ms"), ("-kb", "KB"), ("_mb", "MB"), ("-per-s", "1/s"), ("memory_mb", "MB")];
    ends.iter().find(|(end, _)| name.ends_with(end)).map_or("", |(_, unit)| unit)
}

fn flatten(rows: &mut Rows, name: &str, value: &Value, source: &str) {
    match value {
        Value::Object(map) => {
            map.iter().for_each(|(k, v)| flatten(rows, &format!("{name}.{k}"), v, source));
        }
        Value::Array(list) if list.iter().any(Value::is_object) => {
            for v in list {
                let label = v.get("name").and_then(Value::as_str).unwrap_or("?");
                flatten(rows, &format!("{name}[{label}]"), v, source);
            }
        }
        other => rows.add(name.to_owned(), Some(other.to_string()), unit(name), None, source.to_owned()),
    }
}

/// The settings in force of a node, from the platform's file, the edge file and the uwsgi front's file.
pub fn rows(config: &Config, edge: &Edge, file: &Path) -> Rows {
    let mut all = Rows::default();
    let json: Value =
        std::fs::read_to_string(file).ok().and_then(|t| serde_json::from_str(&t).ok()).unwrap_or_default();
    let path = file.display().to_string();
    let from = |key: &str, var: Option<&str>| match var.filter(|v| std::env::var_os(v).is_some()) {
        Some(var) => var.to_owned(),
        None if json.pointer(key).is_some() => path.clone(),
        None => "default".to_owned(),
    };
    let address = |a: Option<std::net::SocketAddr>| a.map(|a| a.to_string());
    let mut add = |name: &str, value: Option<String>, unit: &str, default: Option<&str>, source: String| {
        all.add(name.to_owned(), value, unit, default.map(str::to_owned), source);
    };
    add("name", Some(config.name.clone()), "", None, from("/name", Some("PROXY_NAME")));
    add("listen", address(config.listen), "", None, from("/listen", Some("PROXY_LISTEN")));
    add("console", address(config.console), "", Some("none"), from("/console", Some("PROXY_CONSOLE")));
    add("agent", address(config.agent), "", None, from("/agent", None));
    add("ledger", address(config.ledger), "", None, from("/ledger", None));
    add("lookup", address(config.lookup), "", None, from("/lookup", None));
    add("stop_ms", Some(config.stop_ms.to_string()), "ms", Some("3000"), from("/stop_ms", None));
    let l = &config.limits;
    add(
        "limits.memory_mb",
        Some(l.memory_mb.to_string()),
        "MB",
        Some("192"),
        from("/limits/memory_mb", None),
    );
    add("limits.sockets", Some(l.sockets.to_string()), "", Some("1024"), from("/limits/sockets", None));
    flatten(&mut all, "settings", json.get("settings").unwrap_or(&Value::Null), &path);
    let at = |key_path: &[&str]| {
        edge.doc.as_ref().and_then(|d| Some(format!("{}:{}", d.path.display(), d.line(key_path)?)))
    };
    all.knobs("edge.limits.", LIMITS, &edge.limits, &Limits::default(), |k| at(&["limits", k]));
    let admission = edge.admission_settings(config);
    all.add(
        "door.half_in".into(),
        Some(admission.partial_bytes_max.to_string()),
        "bytes",
        None,
        "in force".into(),
    );
    all.add(
        "door.owed".into(),
        Some(admission.unsent_bytes_max.to_string()),
        "bytes",
        None,
        "in force".into(),
    );
    all.add(
        "door.callers".into(),
        Some(admission.listeners[0].connections_max.to_string()),
        "",
        None,
        "in force".into(),
    );
    for (name, p) in &edge.profiles {
        let strict = at(&["profiles", name, "base"])
            .is_some_and(|_| matches!(p.pace, crate::door::profile::Pace::Fixed));
        let base = if strict || name == "strict" { Profile::STRICT } else { Profile::PATIENT };
        all.knobs(&format!("profiles.{name}."), PROFILE, p, &base, |k| at(&["profiles", name, k]));
    }
    for (i, l) in edge.listeners.iter().enumerate() {
        let i = i.to_string();
        let source = at(&["listeners", &i, "name"]).unwrap_or_else(|| "the uwsgi front's file".to_owned());
        let value = format!("{:?} {} {} {}", l.wire, l.listen, l.profile_name, l.connections.unwrap_or(0));
        all.add(format!("listeners.{}", l.name), Some(value), "", None, source);
    }
    if let Some(c) = &edge.coap {
        let figures: [(&str, String, &str, Option<u64>); 7] = [
            ("listen", c.listen.to_string(), "", None),
            ("quiet_ms", c.quiet_ms.to_string(), "ms", Some(247_000)),
            ("exchanges", c.exchanges.to_string(), "", Some(65_536)),
            ("peer_requests", c.peer_requests.to_string(), "", Some(8)),
            ("body_bytes", c.body_bytes.to_string(), "bytes", Some(16 << 10)),
            ("uploads_bytes", c.uploads_bytes.to_string(), "bytes", Some(4 << 20)),
            ("results_bytes", c.results_bytes.to_string(), "bytes", Some(8 << 20)),
        ];
        for (key, value, unit, default) in figures {
            let source = at(&["coap", key]).unwrap_or_else(|| "default".to_owned());
            all.add(format!("coap.{key}"), Some(value), unit, default.map(|d| d.to_string()), source);
        }
    }
    if let Some(u) = &edge.uwsgi {
        let line = |key: &str| {
            let doc = u.doc.as_ref()?;
            let key_path: Vec<&str> = key.split('.').collect();
            Some(format!("{}:{}", doc.path.display(), doc.line(&key_path)?))
        };
        let mut defaults = u.clone();
        (defaults.limits, defaults.timeouts) = Default::default();
        all.knobs::<UwsgiConfig>("uwsgi.", UWSGI, u, &defaults, line);
        let source = |key: &str| line(key).unwrap_or_else(|| "default".to_owned());
        all.add("uwsgi.group".into(), Some(u.group.clone()), "", Some("all".into()), source("group"));
        all.add(
            "uwsgi.hosts".into(),
            Some(u.hosts.len().to_string()),
            "",
            None,
            u.inventory.display().to_string(),
        );
    }
    all
}
