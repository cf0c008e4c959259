//! The operator's edge file: the listeners, and the connection profile that applies to each.
//!
//! Without the file there are the platform's listener and, where its file is given, the uwsgi front's. Both use the
//! `strict` profile, and the admission limits follow from the node's memory and descriptors.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use super::coap::CoapConfig;
use super::doc::Doc;
use super::knobs::{self, Knob};
use super::{Config, ConfigError};
use crate::door::profile::{Pace, Profile};
use crate::door::sources::SourceLimits;
use crate::door::{AdmissionSettings, ListenerSettings};
use crate::front::Wire;
use crate::front::msgpack::FRAME_MAX;
use crate::front::uwsgi::UwsgiConfig;
use crate::interface::Settings;

/// Descriptors that the process itself needs whatever its limit: standard streams, the runtime's and the signals',
/// listeners, and links to other services while they reconnect. With a low limit, a quarter of the descriptors is less.
const RESERVED_DESCRIPTORS: usize = 28;
/// Descriptors per listener beyond its connection limit: a new connection is accepted before the connection that is
/// evicted for it has closed.
pub const SPARE_DESCRIPTORS: usize = 16;
/// Limit on the listeners in a file; more are taken as a mistake.
const LISTENERS_MAX: usize = 32;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    /// The uwsgi front's file; a relative path starts at the folder of this file.
    uwsgi: Option<PathBuf>,
    #[serde(default)]
    limits: BTreeMap<String, toml::Value>,
    #[serde(default)]
    profiles: BTreeMap<String, BTreeMap<String, toml::Value>>,
    #[serde(default)]
    listeners: Vec<ListenerFile>,
    coap: Option<CoapConfig>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListenerFile {
    name: String,
    front: Front,
    listen: String,
    #[serde(default = "strict")]
    profile: String,
    connections: usize,
}

fn strict() -> String {
    "strict".to_owned()
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Front {
    Msgpack,
    Uwsgi,
}

/// Admission limits that the file sets; `None` where it leaves one out.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Partially received messages of all connections, KiB.
    pub half_in_kb: Option<f64>,
    /// Unsent replies of all connections, KiB.
    pub owed_kb: Option<f64>,
    /// Open connections of one source.
    pub source_connections: Option<f64>,
    /// New connections of one source per second.
    pub source_arrivals: Option<f64>,
    /// New connections of one source at once.
    pub source_burst: Option<f64>,
    /// Leading bits of an IPv4 address that identify a source.
    pub source_prefix_v4: Option<f64>,
    /// Leading bits of an IPv6 address that identify a source.
    pub source_prefix_v6: Option<f64>,
}

macro_rules! limit {
    ($key:ident, $unit:literal, $least:literal ..= $most:literal, $what:literal) => {
        Knob {
            key: stringify!($key),
            unit: $unit,
            least: $least,
            most: $most,
            what: $what,
            get: |l| l.$key,
            set: |l, x| {
                l.$key = Some(x);
                true
            },
        }
    };
}

/// The settings of the table `[limits]`.
pub const LIMITS: &[Knob<Limits>] = &[
    limit!(half_in_kb, "KiB", 64.0..=16_777_216.0, "bytes half in, all connections; an eighth of the memory"),
    limit!(
        owed_kb,
        "KiB",
        64.0..=16_777_216.0,
        "bytes owed to peers, all connections; a quarter of the memory"
    ),
    limit!(source_connections, "", 1.0..=1e6, "connections of one source; no bound if not set"),
    limit!(source_arrivals, "1/s", 0.1..=1e6, "new connections of one source; no bound if not set"),
    limit!(source_burst, "", 1.0..=1e6, "new connections of one source at once; ten seconds' worth"),
    limit!(source_prefix_v4, "bits", 8.0..=32.0, "of an IPv4 address that tell sources apart; 32"),
    limit!(source_prefix_v6, "bits", 16.0..=128.0, "of an IPv6 address that tell sources apart; 64"),
];

/// One listener.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Its name in logs and counters.
    pub name: String,
    /// Protocol of its front.
    pub wire: Wire,
    /// Address that it listens on.
    pub listen: SocketAddr,
    /// Name of the profile.
    pub profile_name: String,
    /// Timeouts and pace that apply to its connections.
    pub profile: Profile,
    /// Limit on open connections; `None` derives it from the node's descriptors.
    pub connections: Option<usize>,
}

/// The checked settings of the edge.
#[derive(Clone, Debug, Default)]
pub struct Edge {
    /// The edge file, where one is given.
    pub doc: Option<Doc>,
    /// The admission limits that the file sets.
    pub limits: Limits,
    /// The profiles by name, with the built-in `strict` and `patient` where an edge file is given.
    pub profiles: BTreeMap<String, Profile>,
    /// Listeners of the file, and the uwsgi front's own; the platform's listener is not included.
    pub listeners: Vec<Listener>,
    /// The uwsgi front's settings, where it is in use.
    pub uwsgi: Option<UwsgiConfig>,
    /// The CoAP front's settings, where it is in use.
    pub coap: Option<CoapConfig>,
}

impl Edge {
    /// Loads the edge file and the uwsgi front's file; each is optional.
    ///
    /// # Errors
    /// The first invalid value, with its file and line and what is allowed.
    pub fn load(
        edge: Option<&Path>,
        uwsgi: Option<&Path>,
        config: &Config,
        settings: &Settings,
    ) -> Result<Edge, ConfigError> {
        let doc = edge.map(Doc::open).transpose()?;
        let file: Option<File> = doc.as_ref().map(Doc::read).transpose()?;
        let referenced = file
            .as_ref()
            .and_then(|f| f.uwsgi.as_ref())
            .map(|p| edge.and_then(Path::parent).unwrap_or(Path::new("")).join(p));
        let uwsgi = uwsgi.map(Path::to_owned).or(referenced);
        let uwsgi = uwsgi.map(|path| UwsgiConfig::load(&path, settings)).transpose()?;
        let mut loaded = Edge { uwsgi, ..Edge::default() };
        if let (Some(doc), Some(mut file)) = (&doc, file) {
            loaded.coap = file.coap.take();
            loaded.check_coap(doc, settings)?;
            loaded.apply_file(doc, file)?;
        }
        let listed = |l: &[Listener], at| l.iter().any(|l| l.listen == at);
        if let Some(u) = loaded.uwsgi.as_ref().filter(|u| !listed(&loaded.listeners, u.listen)) {
            loaded.listeners.push(Listener {
                name: "uwsgi".to_owned(),
                wire: Wire::Uwsgi,
                listen: u.listen,
                profile_name: strict(),
                profile: Profile::STRICT,
                connections: Some(u.limits.connections.min(config.limits.sockets / 8).max(1)),
            });
        }
        loaded.doc = doc;
        loaded.check_descriptors(config)?;
        Ok(loaded)
    }

    fn check_coap(&self, doc: &Doc, settings: &Settings) -> Result<(), ConfigError> {
        let Some(coap) = &self.coap else { return Ok(()) };
        let Some(u) = &self.uwsgi else {
            let reason = "needs the uwsgi front's file, whose servers do its work; set uwsgi = \"uwsgi.toml\" at the top";
            return Err(doc.bad(&["coap"], reason));
        };
        // A held request must fit into the memory that is reserved for it.
        coap.check(doc, settings, (u.limits.room_kb * 1024.0) as usize)
    }

    fn apply_file(&mut self, doc: &Doc, file: File) -> Result<(), ConfigError> {
        knobs::apply(doc, &["limits"], &file.limits, LIMITS, &mut self.limits)?;
        if self.limits.source_burst.is_some() && self.limits.source_arrivals.is_none() {
            return Err(
                doc.bad(&["limits", "source_burst"], "means nothing without source_arrivals; set both")
            );
        }
        self.profiles = BTreeMap::from([
            ("strict".to_owned(), Profile::STRICT),
            ("patient".to_owned(), Profile::PATIENT),
        ]);
        for (name, mut values) in file.profiles {
            let key_path = ["profiles", name.as_str()];
            let base = match values.remove("base") {
                None => Profile::PATIENT,
                Some(toml::Value::String(b)) if b == "strict" => Profile::STRICT,
                Some(toml::Value::String(b)) if b == "patient" => Profile::PATIENT,
                Some(other) => {
                    let reason = format!("is {other}; it must be \"strict\" or \"patient\"");
                    return Err(doc.bad(&["profiles", &name, "base"], reason));
                }
            };
            if name == "strict" {
                return Err(
                    doc.bad(&key_path, "is the platform's own and stays as it is; choose another name")
                );
            }
            let mut profile = base;
            knobs::apply(doc, &key_path, &values, knobs::PROFILE, &mut profile)?;
            if let Pace::Progress(p) = &mut profile.pace
                && p.burst < p.grace
            {
                if values.contains_key("burst_ms") {
                    let reason = format!("must be grace_ms ({} ms) at least", p.grace.0 / 1000);
                    return Err(doc.bad(&["profiles", &name, "burst_ms"], reason));
                }
                p.burst = p.grace;
            }
            self.profiles.insert(name, profile);
        }
        if file.listeners.len() > LISTENERS_MAX {
            return Err(doc.bad(&["listeners"], format!("there may be {LISTENERS_MAX} at most")));
        }
        for (i, l) in file.listeners.into_iter().enumerate() {
            self.add_listener(doc, &i.to_string(), l)?;
        }
        Ok(())
    }

    fn add_listener(&mut self, doc: &Doc, i: &str, l: ListenerFile) -> Result<(), ConfigError> {
        let at = |key| ["listeners", i, key];
        let Ok(listen) = l.listen.parse::<SocketAddr>() else {
            let reason = format!(
                "\"{}\" is no address; right would be \"127.0.0.1:3032\" or \"[::1]:3032\"",
                l.listen
            );
            return Err(doc.bad(&at("listen"), reason));
        };
        let Some(profile) = self.profiles.get(&l.profile) else {
            let known: Vec<&str> = self.profiles.keys().map(String::as_str).collect();
            let reason = format!("there is no profile \"{}\"; there are: {}", l.profile, known.join(", "));
            return Err(doc.bad(&at("profile"), reason));
        };
        if self.listeners.iter().any(|o| o.name == l.name) {
            return Err(doc.bad(&at("name"), format!("\"{}\" is taken by another listener", l.name)));
        }
        if self.listeners.iter().any(|o| o.listen == listen) {
            return Err(doc.bad(&at("listen"), format!("{listen} is taken by another listener")));
        }
        if l.connections == 0 {
            return Err(doc.bad(&at("connections"), "must be 1 or more"));
        }
        let wire = match l.front {
            Front::Msgpack => Wire::Msgpack,
            Front::Uwsgi => Wire::Uwsgi,
        };
        if wire == Wire::Uwsgi {
            let Some(u) = &self.uwsgi else {
                let reason = "needs the uwsgi front's file; set uwsgi = \"uwsgi.toml\" at the top";
                return Err(doc.bad(&at("front"), reason));
            };
            // A partially received request must not use more memory than is reserved for a held one.
            let (most, room) = (u.largest_request_bytes(), (u.limits.room_kb * 1024.0) as usize);
            if matches!(profile.pace, Pace::Progress(_)) && most > room {
                let reason = format!(
                    "a request may be {most} bytes (limits.vars_bytes + limits.body_bytes of the uwsgi file) and is \
                     booked with {room}; set limits.room_kb to {} or more there, or lower the other two",
                    most.div_ceil(1024)
                );
                return Err(doc.bad(&at("profile"), reason));
            }
        }
        self.listeners.push(Listener {
            name: l.name,
            wire,
            listen,
            profile_name: l.profile.clone(),
            profile: *profile,
            connections: Some(l.connections),
        });
        Ok(())
    }

    /// Checks that the listeners leave an eighth of the descriptors for sockets that this process opens.
    fn check_descriptors(&self, config: &Config) -> Result<(), ConfigError> {
        let Some(doc) = &self.doc else { return Ok(()) };
        let sockets = config.limits.sockets;
        let most = (sockets * 7 / 8).saturating_sub(SPARE_DESCRIPTORS * (self.listeners.len() + 1) + 1);
        let mut sum = 0;
        for (i, l) in self.listeners.iter().enumerate() {
            sum += l.connections.unwrap_or(0);
            if sum > most {
                let reason = format!(
                    "the listeners ask for {sum} connections up to here; with limits.sockets = {sockets} there is \
                     room for {most}"
                );
                return Err(doc.bad(&["listeners", &i.to_string(), "connections"], reason));
            }
        }
        Ok(())
    }

    /// Limit on open connections of callers; at least `RESERVED_DESCRIPTORS` stay free. Callers open at most half of the
    /// descriptors, and other peers add to that. A quarter is left for sockets that this process opens. Where there are
    /// other listeners, they get an eighth, or as many as they ask for.
    pub fn caller_connections_max(&self, sockets: usize) -> usize {
        let asked: usize =
            self.listeners.iter().map(|l| l.connections.unwrap_or(0) + SPARE_DESCRIPTORS).sum();
        let others = if self.listeners.is_empty() { 0 } else { sockets / 8 };
        let unreserved =
            (sockets * 7 / 8).saturating_sub(asked).min(sockets.saturating_sub(RESERVED_DESCRIPTORS));
        (sockets * 3 / 4).saturating_sub(others).min(unreserved).saturating_sub(SPARE_DESCRIPTORS).max(1)
    }

    /// The admission settings: the platform's listener first, then the others in file order.
    pub fn admission_settings(&self, config: &Config) -> AdmissionSettings {
        let memory = (config.limits.memory_mb << 20) as usize;
        let callers = ListenerSettings {
            profile: Profile::STRICT,
            connections_max: self.caller_connections_max(config.limits.sockets),
            partial_message_max: 2 * FRAME_MAX,
        };
        let listener_settings = |l: &Listener| ListenerSettings {
            profile: l.profile,
            connections_max: l.connections.unwrap_or(1),
            partial_message_max: match (&self.uwsgi, l.wire) {
                (Some(u), Wire::Uwsgi) => u.largest_request_bytes(),
                _ => 2 * FRAME_MAX,
            },
        };
        let listeners: Vec<ListenerSettings> =
            std::iter::once(callers).chain(self.listeners.iter().map(listener_settings)).collect();
        let l = &self.limits;
        let bytes = |kb: Option<f64>, or: usize| kb.map_or(or, |kb| (kb * 1024.0) as usize);
        let largest = listeners.iter().map(|l| l.partial_message_max).max().unwrap_or(0);
        AdmissionSettings {
            // The oldest message must always have room to arrive completely.
            partial_bytes_max: bytes(l.half_in_kb, memory / 8).max(2 * largest),
            unsent_bytes_max: bytes(l.owed_kb, memory / 4),
            sources: SourceLimits {
                connections: l.source_connections.map(|n| n as usize),
                arrivals: l.source_arrivals.map(|r| (r, l.source_burst.unwrap_or(10.0 * r).max(1.0))),
                prefix_v4: l.source_prefix_v4.map_or(32, |b| b as u8),
                prefix_v6: l.source_prefix_v6.map_or(64, |b| b as u8),
            },
            listeners,
        }
    }
}
