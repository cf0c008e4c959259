//! Reloads the configuration while the node serves: the new one is read, compared and validated as a whole, and then put in
//! force in one step. It comes from the platform's file, or as a version that the fleet's replicas have agreed on, which is
//! applied over the file as it was last read.
//!
//! A file may have megabytes. It is read, and its changes are prepared, on a separate thread; the event loop only puts them
//! in force, at a cost that depends on what changes. One reload runs at a time. A request to reload that comes meanwhile
//! causes another one afterwards, so that the file's latest content is in force in the end.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc as threads;

use thiserror::Error;
use tokio::sync::oneshot;
use tracing::{info, warn};

use super::fleet::version_settings;
use super::{Event, Runtime};
use crate::config::doc::few;
use crate::config::tiers::Tiers;
use crate::config::{Config, ConfigError};
use crate::config_store::{ConfigVersion, Revision};
use crate::interface::{ClassId, Micros, Settings, SettingsChange, SettingsError};
use crate::settings::shape::Shape;
use crate::settings::slots::{SlotsExhausted, merge_settings};
use crate::time::process;

/// Why a new configuration is rejected. The configuration in force is unchanged.
#[derive(Debug, Error)]
pub(super) enum ReloadError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("'{0}' is lacking; a file has all keys that the one in force has")]
    MissingKey(String),
    #[error("an agent can be added or removed by a restart only")]
    AgentAddedOrRemoved,
    #[error("calls of earlier tiers and classes are still open; retry after they have ended")]
    OpenCalls,
    #[error(transparent)]
    NoFreeSlots(#[from] SlotsExhausted),
    #[error(transparent)]
    Version(#[from] SettingsError),
    #[error("the thread that reads the file can't be started: {0}")]
    ThreadNotStarted(std::io::Error),
    #[error("the thread that reads the configuration ended without a result")]
    ThreadEnded,
}

impl ReloadError {
    /// Whether the same configuration may be accepted at a later attempt.
    fn is_transient(&self) -> bool {
        matches!(
            self,
            ReloadError::OpenCalls
                | ReloadError::NoFreeSlots(_)
                | ReloadError::ThreadNotStarted(_)
                | ReloadError::ThreadEnded
        )
    }
}

/// Where the new settings come from.
enum ConfigSource {
    /// The file, with the version in force applied over it, if there is one.
    File(Option<ConfigVersion>),
    /// A version, applied over the settings of the file as it was last read.
    Version(ConfigVersion, Box<Settings>),
}

/// The parts of the configuration in force that are needed to prepare a new one. None of them changes before the reload ends,
/// as only one runs at a time.
struct ReloadInput {
    source: ConfigSource,
    /// The ledger's address in the file as it was last read.
    ledger: Option<SocketAddr>,
    settings: Settings,
    shape: Arc<Shape>,
    has_agent: bool,
    tiers_file: Option<PathBuf>,
    /// Slots of retired classes that may be reused.
    free_slots: BTreeSet<ClassId>,
}

/// A configuration that has been read and validated, and can be put in force.
pub(super) struct PreparedConfig {
    /// The file's content and its settings; `None` if only a version is put in force.
    file: Option<(Config, Settings)>,
    /// How many classes and how many tenants differ between the file and the version in force.
    conflicts: (usize, usize),
    /// The change of the settings; `None` if they are equal to those in force.
    settings_change: Option<SettingsChange>,
    tiers: Tiers,
}

/// Memory that the thread of a reload frees instead of the event loop: replaced settings, and parts of a file that are not
/// used. The names of 28,000 tenants are as many allocations, and freeing them takes 1 to 2 ms.
type DiscardedMemory = Box<dyn Send>;

/// A reload whose configuration is being prepared.
pub(super) struct ReloadInProgress {
    /// The version to put in force; `None` if the file is reloaded.
    version: Option<Revision>,
    /// Another reload of the file was requested meanwhile.
    is_requested_again: bool,
    discard: threads::Sender<DiscardedMemory>,
}

impl ReloadInput {
    /// Reads, combines and validates the new configuration.
    fn prepare(self) -> Result<PreparedConfig, ReloadError> {
        let mut conflicts = (0, 0);
        let (file, ledger, settings) = match self.source {
            ConfigSource::Version(version, file) => {
                (None, self.ledger, version_settings::apply_version(&version, &file)?)
            }
            ConfigSource::File(version) => {
                let read = Config::from_env_over(&self.shape)?;
                if let Some(key) = read.lacking {
                    return Err(ReloadError::MissingKey(key));
                }
                if read.config.agent.is_some() != self.has_agent {
                    return Err(ReloadError::AgentAddedOrRemoved);
                }
                let settings = match version {
                    Some(version) => {
                        conflicts = version_settings::count_differences(&version, &read.settings);
                        version_settings::apply_version(&version, &read.settings)?
                    }
                    None => read.settings.clone(),
                };
                let ledger = read.config.ledger;
                (Some((read.config, read.settings)), ledger, settings)
            }
        };
        let change = merge_settings(&self.settings, settings, |class| self.free_slots.contains(&class))?;
        let tiers = Tiers::load_with(self.tiers_file.as_deref(), ledger, &change.settings)?;
        let has_changed = change.settings != self.settings;
        Ok(PreparedConfig { file, conflicts, settings_change: has_changed.then_some(change), tiers })
    }
}

impl Runtime {
    /// Starts a reload of the file. The core gets the settings, and the tasks that keep links get the addresses. The node's
    /// identity (its name, the addresses it listens at, its limits) stays as it was at the start. An invalid file changes
    /// nothing.
    pub(super) fn reload(&mut self) {
        if let Some(reload) = &mut self.reload_in_progress {
            reload.is_requested_again = true;
            return;
        }
        let version = self.fleet.as_ref().and_then(|f| f.version_in_force());
        self.start_reload(ConfigSource::File(version), None);
    }

    /// Starts a reload that puts the ready version in force over the file as it was last read. A reload in progress comes first.
    pub(super) fn adopt_ready_version(&mut self) {
        if self.reload_in_progress.is_some() {
            return;
        }
        let Some(ready) = self.fleet.as_ref().and_then(|f| f.ready_version()) else { return };
        let revision = ready.revision();
        let file = Box::new(self.file_settings.clone());
        self.start_reload(ConfigSource::Version(ready, file), Some(revision));
    }

    /// Prepares a configuration on a new thread, which sends the result as an event.
    fn start_reload(&mut self, source: ConfigSource, version: Option<Revision>) {
        let input = ReloadInput {
            source,
            ledger: self.config.ledger,
            settings: self.node.settings().clone(),
            shape: self.config.shape(),
            has_agent: self.config.agent.is_some(),
            tiers_file: self.calls.tiers_file().map(ToOwned::to_owned),
            free_slots: self.node.free_class_slots(process::now()),
        };
        let ((result_sender, result), (discard, discarded)) =
            (oneshot::channel(), threads::channel::<DiscardedMemory>());
        let thread = std::thread::Builder::new().name("reload".to_owned()).spawn(move || {
            // Fails only if the event loop has ended.
            let _ = result_sender.send(input.prepare());
            discarded.into_iter().for_each(drop);
        });
        if let Err(e) = thread {
            return self.finish_reload(version, Err(ReloadError::ThreadNotStarted(e)));
        }
        self.reload_in_progress = Some(ReloadInProgress { version, is_requested_again: false, discard });
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let result = result.await.unwrap_or(Err(ReloadError::ThreadEnded));
            let _ = events.send(Event::ConfigRead(Box::new(result))).await;
        });
    }

    /// Puts the prepared configuration in force, and starts the reload that was requested meanwhile, if any.
    pub(super) fn handle_config_read(&mut self, prepared: Result<PreparedConfig, ReloadError>) {
        let Some(reload) = self.reload_in_progress.take() else { return };
        let result = prepared.and_then(|prepared| self.put_in_force(prepared, &reload.discard));
        self.finish_reload(reload.version, result);
        if reload.is_requested_again {
            self.reload();
        }
        if reload.version.is_none() {
            // A version may have become ready while the file was read.
            self.adopt_ready_version();
        }
    }

    /// Reports the result of a reload: that of a version to the fleet, that of the file in the counters and the log.
    fn finish_reload(&mut self, version: Option<Revision>, result: Result<(), ReloadError>) {
        let (Some(_), Some(fleet)) = (version, &self.fleet) else { return self.count_reload(result) };
        match result {
            Ok(()) => fleet.confirm_version_adopted(),
            // Open work prevents the change for now.
            Err(e) if e.is_transient() => fleet.postpone_version(),
            Err(e) => fleet.reject_version(e.to_string()),
        }
    }

    fn count_reload(&mut self, result: Result<(), ReloadError>) {
        match result {
            Ok(()) => self.node.counters.reloads += 1,
            Err(e) => {
                self.node.counters.reloads_failed += 1;
                warn!("reload: {e}; nothing changed");
            }
        }
    }

    /// Puts a prepared configuration in force, or changes nothing and returns an error.
    fn put_in_force(
        &mut self,
        prepared: PreparedConfig,
        discard: &threads::Sender<DiscardedMemory>,
    ) -> Result<(), ReloadError> {
        if prepared.settings_change.is_some() && self.calls.is_busy() {
            let _ = discard.send(Box::new(prepared));
            return Err(ReloadError::OpenCalls);
        }
        let PreparedConfig { file, conflicts, settings_change, mut tiers } = prepared;
        // No step from here on can fail.
        let (now, former) = (process::now(), self.node.settings().clone());
        if let Some(change) = settings_change {
            self.node.apply_settings(now, change, &mut self.outputs);
            self.settings.set(self.node.settings().clone());
            if let Some(fleet) = &self.fleet {
                fleet.update_tenant_budgets(self.node.settings());
            }
        }
        if let (Some(fleet), 1..) = (&self.fleet, conflicts.0 + conflicts.1) {
            fleet.record_file_conflict(conflicts);
        }
        let Some((config, file_settings)) = file else {
            self.replace_tiers(now, &mut tiers);
            let _ = discard.send(Box::new((former, tiers)));
            return Ok(());
        };
        let unused_settings = if self.fleet.as_ref().is_some_and(|f| f.is_following_versions()) {
            std::mem::replace(&mut self.file_settings, file_settings)
        } else {
            file_settings
        };
        if !config.same_node(&self.config) {
            warn!("reload: name, listen, console and limits change with a restart only");
        }
        let (agent, ledger, lookup) = (config.agent, config.ledger, config.lookup);
        self.calls.move_ledger(self.config.ledger, ledger);
        self.config.take_over(config);
        self.gauge_names = self.config.gauge_names();
        let has_moved = |address: &mut Option<SocketAddr>, to| std::mem::replace(address, to) != to;
        self.agent_address.send_if_modified(|address| has_moved(address, agent));
        self.directory_address.send_if_modified(|address| has_moved(address, lookup));
        self.replace_tiers(now, &mut tiers);
        // If the thread has ended they are freed here.
        let _ = discard.send(Box::new((former, tiers, unused_settings)));
        let address_text =
            |address: Option<SocketAddr>| address.map_or("none".to_owned(), |address| address.to_string());
        let classes = few(self.node.settings().active_classes().map(|c| c.name.as_str()));
        info!(
            "reload: agent {}, ledger {}, lookup {}, classes {classes}",
            address_text(agent),
            address_text(ledger),
            address_text(lookup)
        );
        Ok(())
    }

    /// Replaces the tiers unless too many earlier ones still have open calls; the former ones are left in `tiers`.
    fn replace_tiers(&mut self, now: Micros, tiers: &mut Tiers) {
        if !self.calls.replace(now, tiers) {
            warn!("reload: calls of earlier tiers are still open; the tiers are unchanged");
        }
    }
}
