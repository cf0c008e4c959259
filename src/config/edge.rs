//! The operator's file of the edge: which listeners there are, and what is expected of those who come to each.
//!
//! Without such a file there are the platform's listener and, where its file is given, the uwsgi front's, both under
//! the `strict` profile, and the door's limits follow from the node's memory and descriptors.

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

/// Descriptors that this side needs whatever its limit: streams of the process, the runtime's and the signals', listeners,
/// and links to the other parties as they are made anew. A quarter of very few descriptors is less.
const OWN: usize = 28;
/// Descriptors kept from connections that stay, for those that come and go: a newcomer is taken in before the one
/// that makes room for it has closed.
pub const SPARE: usize = 16;
/// Listeners in a file: more are a mistake.
const LISTENERS_MAX: usize = 32;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    /// The uwsgi front's file, by a path that starts at this one.
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

/// The door's limits, where the file sets them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Bytes half in, KiB.
    pub half_in_kb: Option<f64>,
    /// Bytes owed to peers, KiB.
    pub owed_kb: Option<f64>,
    /// Connections of one source.
    pub source_connections: Option<f64>,
    /// New connections of one source a second.
    pub source_arrivals: Option<f64>,
    /// And at once.
    pub source_burst: Option<f64>,
    /// Bits of an IPv4 address.
    pub source_prefix_v4: Option<f64>,
    /// Bits of an IPv6 address.
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

/// The figures of the limits.
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
    /// Its front.
    pub wire: Wire,
    /// Where.
    pub listen: SocketAddr,
    /// The profile's name.
    pub profile_name: String,
    /// The profile.
    pub profile: Profile,
    /// Connections at a time; without a figure they follow from the node's descriptors.
    pub connections: Option<usize>,
}

/// The edge as it is to be.
#[derive(Clone, Debug, Default)]
pub struct Edge {
    /// The file, where there is one.
    pub doc: Option<Doc>,
    /// The limits.
    pub limits: Limits,
    /// The profiles by name, `strict` and `patient` among them where they are used.
    pub profiles: BTreeMap<String, Profile>,
    /// Listeners of the file, and the uwsgi front's own; the platform's is not among them.
    pub listeners: Vec<Listener>,
    /// The uwsgi front.
    pub uwsgi: Option<UwsgiConfig>,
    /// The CoAP front.
    pub coap: Option<CoapConfig>,
}

impl Edge {
    /// What the files say, one or both or none of them.
    ///
    /// # Errors
    /// What is wrong, in which file and line, and what would be right.
    pub fn load(
        edge: Option<&Path>,
        uwsgi: Option<&Path>,
        config: &Config,
        settings: &Settings,
    ) -> Result<Edge, ConfigError> {
        let doc = edge.map(Doc::open).transpose()?;
        let file: Option<File> = doc.as_ref().map(Doc::read).transpose()?;
        let named = file
            .as_ref()
            .and_then(|f| f.uwsgi.as_ref())
            .map(|p| edge.and_then(Path::parent).unwrap_or(Path::new("")).join(p));
        let uwsgi = uwsgi.map(Path::to_owned).or(named);
        let uwsgi = uwsgi.map(|path| UwsgiConfig::load(&path, settings)).transpose()?;
        let mut all = Edge { uwsgi, ..Edge::default() };
        if let (Some(doc), Some(mut file)) = (&doc, file) {
            all.coap = file.coap.take();
            all.check_coap(doc, settings)?;
            all.take(doc, file)?;
        }
        let listed = |l: &[Listener], at| l.iter().any(|l| l.listen == at);
        if let Some(u) = all.uwsgi.as_ref().filter(|u| !listed(&all.listeners, u.listen)) {
            all.listeners.push(Listener {
                name: "uwsgi".to_owned(),
                wire: Wire::Uwsgi,
                listen: u.listen,
                profile_name: strict(),
                profile: Profile::STRICT,
                connections: Some(u.limits.connections.min(config.limits.sockets / 8).max(1)),
            });
        }
        all.doc = doc;
        all.check_room(config)?;
        Ok(all)
    }

    fn check_coap(&self, doc: &Doc, settings: &Settings) -> Result<(), ConfigError> {
        let Some(coap) = &self.coap else { return Ok(()) };
        let Some(u) = &self.uwsgi else {
            let reason = "needs the uwsgi front's file, whose servers do its work; set uwsgi = \"uwsgi.toml\" at the top";
            return Err(doc.bad(&["coap"], reason));
        };
        // A held request costs no more than what is booked for it.
        coap.check(doc, settings, (u.limits.room_kb * 1024.0) as usize)
    }

    fn take(&mut self, doc: &Doc, file: File) -> Result<(), ConfigError> {
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
            let way = ["profiles", name.as_str()];
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
                return Err(doc.bad(&way, "is the platform's own and stays as it is; choose another name"));
            }
            let mut profile = base;
            knobs::apply(doc, &way, &values, knobs::PROFILE, &mut profile)?;
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
            self.listener(doc, &i.to_string(), l)?;
        }
        Ok(())
    }

    fn listener(&mut self, doc: &Doc, i: &str, l: ListenerFile) -> Result<(), ConfigError> {
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
            // A half-read request costs no more than a held one.
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

    /// An eighth of the descriptors is left for what this side opens.
    fn check_room(&self, config: &Config) -> Result<(), ConfigError> {
        let Some(doc) = &self.doc else { return Ok(()) };
        let sockets = config.limits.sockets;
        let most = (sockets * 7 / 8).saturating_sub(SPARE * (self.listeners.len() + 1) + 1);
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

    /// Connections of callers at a time, `OWN` left free at the least. They open at most half of the descriptors, and others come on top; a quarter
    /// is left for what this side opens, and an eighth, or what their listeners ask for, for others where there are any.
    pub fn caller_room(&self, sockets: usize) -> usize {
        let asked: usize = self.listeners.iter().map(|l| l.connections.unwrap_or(0) + SPARE).sum();
        let others = if self.listeners.is_empty() { 0 } else { sockets / 8 };
        let left = (sockets * 7 / 8).saturating_sub(asked).min(sockets.saturating_sub(OWN));
        (sockets * 3 / 4).saturating_sub(others).min(left).saturating_sub(SPARE).max(1)
    }

    /// What the door is to work with: the platform's gate, then the others in their order.
    pub fn door(&self, config: &Config) -> AdmissionSettings {
        let memory = (config.limits.memory_mb << 20) as usize;
        let callers = ListenerSettings {
            profile: Profile::STRICT,
            connections_max: self.caller_room(config.limits.sockets),
            partial_message_max: 2 * FRAME_MAX,
        };
        let gate = |l: &Listener| ListenerSettings {
            profile: l.profile,
            connections_max: l.connections.unwrap_or(1),
            partial_message_max: match (&self.uwsgi, l.wire) {
                (Some(u), Wire::Uwsgi) => u.largest_request_bytes(),
                _ => 2 * FRAME_MAX,
            },
        };
        let gates: Vec<ListenerSettings> =
            std::iter::once(callers).chain(self.listeners.iter().map(gate)).collect();
        let l = &self.limits;
        let bytes = |kb: Option<f64>, or: usize| kb.map_or(or, |kb| (kb * 1024.0) as usize);
        let largest = gates.iter().map(|g| g.partial_message_max).max().unwrap_or(0);
        AdmissionSettings {
            // The eldest message must always have room to become whole.
            partial_bytes_max: bytes(l.half_in_kb, memory / 8).max(2 * largest),
            unsent_bytes_max: bytes(l.owed_kb, memory / 4),
            sources: SourceLimits {
                connections: l.source_connections.map(|n| n as usize),
                arrivals: l.source_arrivals.map(|r| (r, l.source_burst.unwrap_or(10.0 * r).max(1.0))),
                prefix_v4: l.source_prefix_v4.map_or(32, |b| b as u8),
                prefix_v6: l.source_prefix_v6.map_or(64, |b| b as u8),
            },
            listeners: gates,
        }
    }
}
