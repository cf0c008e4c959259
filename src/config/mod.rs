//! What the platform tells a node when it starts it.

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

use serde::Deserialize;
use thiserror::Error;

use crate::interface::{Settings, SettingsError};

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
        /// The system's reason.
        source: std::io::Error,
    },
    /// The file is not what it should be.
    #[error("{path}: {reason}")]
    Parse {
        /// The file.
        path: String,
        /// What is wrong, with its place where known.
        reason: String,
    },
    /// One value in the file is not what it should be.
    #[error("{path}:{line}: {reason}")]
    At {
        /// The file.
        path: String,
        /// The line, from 1.
        line: usize,
        /// What is wrong, and what would be right.
        reason: String,
    },
    /// The module can't work with these settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// What the program itself may use.
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
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// The node's name, the same after a restart.
    pub name: String,
    /// Where callers connect.
    pub listen: Option<SocketAddr>,
    /// The render farm agent.
    pub agent: Option<SocketAddr>,
    /// The directory.
    pub lookup: Option<SocketAddr>,
    /// The ledger; the last tier has none.
    pub ledger: Option<SocketAddr>,
    /// The control address; without one there is no console.
    pub console: Option<SocketAddr>,
    /// For random numbers.
    #[serde(default)]
    pub seed: String,
    /// From SIGTERM to SIGKILL, ms.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u64,
    /// The program's own limits.
    #[serde(default)]
    pub limits: Limits,
    /// The module's settings, still as JSON.
    settings: serde_json::Value,
    /// The whole file.
    #[serde(skip)]
    file: serde_json::Value,
}

fn default_stop_ms() -> u64 {
    3_000
}

/// Descriptors that the system gives this process.
fn descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.and_then(|n| usize::try_from(n).ok()).unwrap_or(usize::MAX)
}

/// Reads a whole text file.
pub(crate) fn read_text(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path)
        .map_err(|source| ConfigError::Read { path: path.display().to_string(), source })
}

impl Config {
    /// Reads the file that `PROXY_CONFIG` names; `PROXY_NAME`, `PROXY_LISTEN` and `PROXY_CONSOLE` win over it.
    ///
    /// # Errors
    /// What is missing or wrong, and where.
    pub fn from_env() -> Result<(Config, Settings), ConfigError> {
        let path = std::env::var_os("PROXY_CONFIG").ok_or(ConfigError::Missing("PROXY_CONFIG"))?;
        let path = Path::new(&path);
        let bad = |reason: String| ConfigError::Parse { path: path.display().to_string(), reason };
        let text = read_text(path)?;
        let mut config: Config = serde_json::from_str(&text).map_err(|e| bad(e.to_string()))?;
        config.file = serde_json::from_str(&text).map_err(|e| bad(e.to_string()))?;
        if let Ok(name) = std::env::var("PROXY_NAME") {
            config.name = name;
        }
        // The platform's figure and the system's own: what binds first is what there is to divide.
        config.limits.sockets = config.limits.sockets.min(descriptors());
        let address = |name| match std::env::var(name) {
            Ok(at) => at.parse().map(Some).map_err(|_| bad(format!("{name} is no address: '{at}'"))),
            Err(_) => Ok(None),
        };
        config.listen = address("PROXY_LISTEN")?.or(config.listen);
        config.console = address("PROXY_CONSOLE")?.or(config.console);
        let settings = crate::settings::from_json(&config.settings).map_err(bad)?;
        settings.validate()?;
        settings.prepare();
        Ok((config, settings))
    }

    /// Whether another reading of the file tells of the same node: all that only a restart can change.
    pub fn same_node(&self, other: &Config) -> bool {
        let of = |c: &Config| (c.name.clone(), c.listen, c.console, c.limits.memory_mb, c.limits.sockets);
        of(self) == of(other)
    }

    /// The first key of this file that another one, which is to take its place, lacks.
    pub fn lacking(&self, told: &Config) -> Option<String> {
        crate::settings::lacking(&self.file, &told.file)
    }

    /// Takes over the settings, and all else of another reading of the file that can change under load.
    pub fn take_over(&mut self, told: Config) {
        let Config { name, listen, console, limits, seed, .. } = self.clone();
        *self = Config { name, listen, console, limits, seed, ..told };
    }

    /// The names of the agent's gauges, in their order.
    pub fn gauge_names(&self) -> Vec<String> {
        let names = self.settings.pointer("/domain/meters").and_then(|v| v.as_array());
        names.into_iter().flatten().filter_map(|v| v.as_str().map(str::to_owned)).collect()
    }

    /// The module's settings, as JSON.
    pub fn module_settings(&self) -> &serde_json::Value {
        &self.settings
    }

    /// Whether callers come here, and not a tier above.
    pub fn is_entry(&self) -> bool {
        self.settings.get("tier").and_then(serde_json::Value::as_u64).unwrap_or(0) == 0
    }

    /// The seed as a number; any text will do.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or(0)
    }

    /// A number that tells this process from others of its fleet: a platform may give all of them one seed.
    pub fn lot(&self) -> u64 {
        use std::hash::{Hash, Hasher};
        let mut hasher = std::hash::DefaultHasher::new();
        (&self.seed, &self.name, std::process::id()).hash(&mut hasher);
        hasher.finish()
    }
}
