//! The platform's configuration file, and the operator's files that complete it.

pub mod coap;
pub mod doc;
pub mod edge;
pub mod fleet;
mod gather;
pub mod knobs;
pub mod show;
pub mod tiers;
pub mod zones;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use serde::Deserialize;
use thiserror::Error;

use crate::interface::{Settings, SettingsError};
use crate::settings::shape::Shape;
use crate::settings::told::RawSettings;

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A variable that must be set is not.
    #[error("{0} is not set")]
    Missing(&'static str),
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file is malformed.
    #[error("{path}: {reason}")]
    Parse {
        /// The file.
        path: String,
        /// What is wrong, with its position where known.
        reason: String,
    },
    /// One value in the file is invalid.
    #[error("{path}:{line}: {reason}")]
    At {
        /// The file.
        path: String,
        /// The line, from 1.
        line: usize,
        /// What is wrong, and what is allowed.
        reason: String,
    },
    /// The decision module rejects these settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory, MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}

/// The platform's configuration file.
#[derive(Debug, Deserialize)]
pub struct Config {
    /// The node's name, which stays the same across restarts.
    pub name: String,
    /// Address that callers connect to.
    pub listen: Option<SocketAddr>,
    /// Address of the agent that executes runs.
    pub agent: Option<SocketAddr>,
    /// Address of the directory.
    pub lookup: Option<SocketAddr>,
    /// Address of the ledger; the last tier has none.
    pub ledger: Option<SocketAddr>,
    /// Address of the control interface; without one there is none.
    pub console: Option<SocketAddr>,
    /// Seed of random numbers, in hexadecimal.
    #[serde(default)]
    pub seed: String,
    /// Time from SIGTERM to SIGKILL, ms.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u64,
    /// The program's own limits.
    #[serde(default)]
    pub limits: Limits,
    /// The decision module's settings, until they are converted.
    settings: RawSettings,
    /// The names of the agent's gauges.
    #[serde(skip)]
    gauge_names: Vec<String>,
    /// Whether callers connect to this node.
    #[serde(skip)]
    is_entry: bool,
    /// All keys of the file.
    #[serde(skip)]
    shape: Arc<Shape>,
}

/// The file, read and checked.
#[derive(Debug)]
pub struct Read {
    /// The platform's configuration.
    pub config: Config,
    /// The decision module's settings, validated and indexed.
    pub settings: Settings,
    /// The first key that the file in force has and this one lacks.
    pub lacking: Option<String>,
}

fn default_stop_ms() -> u64 {
    3_000
}

/// The operating system's limit on this process's descriptors.
fn descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.and_then(|n| usize::try_from(n).ok()).unwrap_or(usize::MAX)
}

/// Reads a text file completely.
pub(crate) fn read_text(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path)
        .map_err(|source| ConfigError::Read { path: path.display().to_string(), source })
}

impl Config {
    /// Reads the file that `PROXY_CONFIG` names; `PROXY_NAME`, `PROXY_LISTEN` and `PROXY_CONSOLE` override it.
    ///
    /// # Errors
    /// What is missing or invalid, and where.
    pub fn from_env() -> Result<(Config, Settings), ConfigError> {
        Config::from_env_over(&Shape::default()).map(|read| (read.config, read.settings))
    }

    /// Reads it again while a file with the keys `in_force` is in use.
    ///
    /// # Errors
    /// What is missing or invalid, and where.
    pub fn from_env_over(in_force: &Shape) -> Result<Read, ConfigError> {
        let path = std::env::var_os("PROXY_CONFIG").ok_or(ConfigError::Missing("PROXY_CONFIG"))?;
        let path = Path::new(&path);
        let bad = |reason: String| ConfigError::Parse { path: path.display().to_string(), reason };
        let text = read_text(path)?;
        let mut config: Config = serde_json::from_str(&text).map_err(|e| bad(e.to_string()))?;
        let json = |e: serde_json::Error| bad(e.to_string());
        config.shape = Arc::new(serde_json::from_str(&text).map_err(json)?);
        let lacking = in_force.lacking(&mut serde_json::Deserializer::from_str(&text)).map_err(json)?;
        drop(text);
        if let Ok(name) = std::env::var("PROXY_NAME") {
            config.name = name;
        }
        // The lower of the platform's limit and the operating system's is the number of descriptors to divide.
        config.limits.sockets = config.limits.sockets.min(descriptors());
        let address = |name| match std::env::var(name) {
            Ok(at) => at.parse().map(Some).map_err(|_| bad(format!("{name} is no address: '{at}'"))),
            Err(_) => Ok(None),
        };
        config.listen = address("PROXY_LISTEN")?.or(config.listen);
        config.console = address("PROXY_CONSOLE")?.or(config.console);
        let raw = std::mem::take(&mut config.settings);
        (config.gauge_names, config.is_entry) = (raw.gauge_names(), raw.is_entry());
        let settings = crate::settings::from_raw(raw).map_err(bad)?;
        settings.validate()?;
        settings.build_indexes();
        Ok(Read { config, settings, lacking })
    }

    /// Whether both agree on all values that only a restart can change.
    pub fn same_node(&self, other: &Config) -> bool {
        let fixed = |c: &Config| (c.name.clone(), c.listen, c.console, c.limits.memory_mb, c.limits.sockets);
        fixed(self) == fixed(other)
    }

    /// All keys of the file; a file that replaces it must have each of them.
    pub fn shape(&self) -> Arc<Shape> {
        self.shape.clone()
    }

    /// Replaces all values that can change without a restart by those of a newer reading of the file.
    pub fn take_over(&mut self, newer: Config) {
        let Config { agent, lookup, ledger, stop_ms, settings, gauge_names, is_entry, shape, .. } = newer;
        (self.agent, self.lookup, self.ledger, self.stop_ms) = (agent, lookup, ledger, stop_ms);
        (self.settings, self.gauge_names, self.is_entry, self.shape) =
            (settings, gauge_names, is_entry, shape);
    }

    /// The names of the agent's gauges, in their order.
    pub fn gauge_names(&self) -> Vec<String> {
        self.gauge_names.clone()
    }

    /// Whether callers connect to this node, rather than an upstream tier.
    pub fn is_entry(&self) -> bool {
        self.is_entry
    }

    /// The seed as a number; 0 where it is not hexadecimal.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or(0)
    }

    /// A number that differs between the processes of a fleet, as a platform may give all of them one seed.
    pub fn process_seed(&self) -> u64 {
        use std::hash::{Hash, Hasher};
        let mut hasher = std::hash::DefaultHasher::new();
        (&self.seed, &self.name, std::process::id()).hash(&mut hasher);
        hasher.finish()
    }
}
