//! Another configuration under load: read and compared beside those who serve, checked whole, taken over at once. It comes from
//! the platform's file, or as a version that the fleet's keepers agreed on, over what the file said last.
//!
//! A file may be megabytes. It is read, and what it changes is made ready, on a thread of its own; the task that serves only
//! puts it in force, at the price of what changes. One file is read at a time: whoever asks meanwhile has it read once more
//! behind that, so that what a file says last is in force in the end.

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

/// Why another configuration is turned down. Whatever it is, nothing has changed.
#[derive(Debug, Error)]
pub(super) enum TurnedDown {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("'{0}' is lacking; a file has all keys that the one in force has")]
    Lacking(String),
    #[error("an agent can't come or go without a restart")]
    Agent,
    #[error("calls of earlier tiers and classes are still under way; try again when they have ended")]
    Calls,
    #[error(transparent)]
    Slots(#[from] SlotsExhausted),
    #[error(transparent)]
    Version(#[from] SettingsError),
    #[error("no thread to read the file with: {0}")]
    Thread(std::io::Error),
    #[error("the reading broke off")]
    BrokenOff,
}

impl TurnedDown {
    /// It may go when it is tried again.
    fn passes(&self) -> bool {
        matches!(
            self,
            TurnedDown::Calls | TurnedDown::Slots(_) | TurnedDown::Thread(_) | TurnedDown::BrokenOff
        )
    }
}

/// Where other settings come from.
enum Source {
    /// The file, under the version in force, if there is one.
    File(Option<ConfigVersion>),
    /// A version, over what the file said last.
    Version(ConfigVersion, Box<Settings>),
}

/// What is needed of what is in force to read another file. None of it changes until that is taken over.
struct Before {
    source: Source,
    /// Where the ledger is, by the file that was read last.
    ledger: Option<SocketAddr>,
    settings: Settings,
    shape: Arc<Shape>,
    agent: bool,
    tiers: Option<PathBuf>,
    /// Retired slots that may be used again.
    free: BTreeSet<ClassId>,
}

/// What a file comes to.
pub(super) struct Told {
    /// What the file says, and its settings; nothing where it was not read.
    file: Option<(Config, Settings)>,
    /// Classes and tenants of the file that the version in force has otherwise.
    otherwise: (usize, usize),
    /// Other settings, if they are.
    retune: Option<SettingsChange>,
    tiers: Tiers,
}

/// What is in force no more, and what of a file never is: the thread that read the file frees it. Names of 28,000 tenants are as
/// many blocks, and freeing them takes a ms or two.
type Former = Box<dyn Send>;

/// A file is being read.
pub(super) struct Reading {
    /// It is no file, but that version.
    version: Option<Revision>,
    /// It has been asked for again meanwhile.
    again: bool,
    discard: threads::Sender<Former>,
}

impl Before {
    fn read(self) -> Result<Told, TurnedDown> {
        let mut otherwise = (0, 0);
        let (file, ledger, settings) = match self.source {
            Source::Version(version, file) => {
                (None, self.ledger, version_settings::apply_version(&version, &file)?)
            }
            Source::File(version) => {
                let read = Config::from_env_over(&self.shape)?;
                if let Some(key) = read.lacking {
                    return Err(TurnedDown::Lacking(key));
                }
                if read.config.agent.is_some() != self.agent {
                    return Err(TurnedDown::Agent);
                }
                let settings = match version {
                    Some(version) => {
                        otherwise = version_settings::count_differences(&version, &read.settings);
                        version_settings::apply_version(&version, &read.settings)?
                    }
                    None => read.settings.clone(),
                };
                let ledger = read.config.ledger;
                (Some((read.config, read.settings)), ledger, settings)
            }
        };
        let retune = merge_settings(&self.settings, settings, |class| self.free.contains(&class))?;
        let tiers = Tiers::load_with(self.tiers.as_deref(), ledger, &retune.settings)?;
        let changed = retune.settings != self.settings;
        Ok(Told { file, otherwise, retune: changed.then_some(retune), tiers })
    }
}

impl Runtime {
    /// Has the configuration read again. The settings go to the module, the addresses to those who hold links; what a node
    /// is (its name, where it listens, its own limits) stays as it was at the start. A file that is no good changes
    /// nothing.
    pub(super) fn reload(&mut self) {
        if let Some(reading) = &mut self.reading {
            reading.again = true;
            return;
        }
        let version = self.fleet.as_ref().and_then(|f| f.version_in_force());
        self.read(Source::File(version), None);
    }

    /// A version is ready to be put in force: by the same way, over what the file said last. Behind a file that is being read.
    pub(super) fn version_ready(&mut self) {
        if self.reading.is_some() {
            return;
        }
        let Some(ready) = self.fleet.as_ref().and_then(|f| f.ready_version()) else { return };
        let of = ready.revision();
        let file = Box::new(self.file_settings.clone());
        self.read(Source::Version(ready, file), Some(of));
    }

    fn read(&mut self, source: Source, version: Option<Revision>) {
        let before = Before {
            source,
            ledger: self.config.ledger,
            settings: self.node.settings().clone(),
            shape: self.config.shape(),
            agent: self.config.agent.is_some(),
            tiers: self.calls.file().map(ToOwned::to_owned),
            free: self.node.free_class_slots(process::now()),
        };
        let ((tell, told), (discard, discarded)) = (oneshot::channel(), threads::channel::<Former>());
        let thread = std::thread::Builder::new().name("reload".to_owned()).spawn(move || {
            // Whoever is not there any more to hear of it has ended.
            let _ = tell.send(before.read());
            discarded.into_iter().for_each(drop);
        });
        if let Err(e) = thread {
            return self.over(version, Err(TurnedDown::Thread(e)));
        }
        self.reading = Some(Reading { version, again: false, discard });
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let told = told.await.unwrap_or(Err(TurnedDown::BrokenOff));
            let _ = events.send(Event::FilesRead(Box::new(told))).await;
        });
    }

    /// The configuration has been read.
    pub(super) fn told(&mut self, told: Result<Told, TurnedDown>) {
        let Some(reading) = self.reading.take() else { return };
        let done = told.and_then(|told| self.take_over(told, &reading.discard));
        self.over(reading.version, done);
        if reading.again {
            self.reload();
        }
        if reading.version.is_none() {
            // One that came while the file was read.
            self.version_ready();
        }
    }

    /// What came of it is said to whom it concerns.
    fn over(&mut self, version: Option<Revision>, done: Result<(), TurnedDown>) {
        let (Some(_), Some(fleet)) = (version, &self.fleet) else { return self.count_reload(done) };
        match done {
            Ok(()) => fleet.version_adopted(),
            // What is in hand leaves no room for it yet.
            Err(e) if e.passes() => fleet.postpone_version(),
            Err(e) => fleet.reject_version(e.to_string()),
        }
    }

    fn count_reload(&mut self, done: Result<(), TurnedDown>) {
        match done {
            Ok(()) => self.node.counters.reloads += 1,
            Err(e) => {
                self.node.counters.reloads_failed += 1;
                warn!("reload: {e}; nothing changed");
            }
        }
    }

    /// All of it from now on.
    fn take_over(&mut self, told: Told, discard: &threads::Sender<Former>) -> Result<(), TurnedDown> {
        if told.retune.is_some() && self.calls.is_busy() {
            let _ = discard.send(Box::new(told));
            return Err(TurnedDown::Calls);
        }
        let Told { file, otherwise, retune, mut tiers } = told;
        // From here on nothing can go wrong.
        let (now, former) = (process::now(), self.node.settings().clone());
        if let Some(retune) = retune {
            self.node.apply_settings(now, retune, &mut self.outputs);
            self.settings.set(self.node.settings().clone());
            if let Some(fleet) = &self.fleet {
                fleet.update_tenant_budgets(self.node.settings());
            }
        }
        if let (Some(fleet), 1..) = (&self.fleet, otherwise.0 + otherwise.1) {
            fleet.note_file_conflict(otherwise);
        }
        let Some((told, file_settings)) = file else {
            self.replace_tiers(now, &mut tiers);
            let _ = discard.send(Box::new((former, tiers)));
            return Ok(());
        };
        let file = if self.fleet.as_ref().is_some_and(|f| f.is_following_versions()) {
            std::mem::replace(&mut self.file_settings, file_settings)
        } else {
            file_settings
        };
        if !told.same_node(&self.config) {
            warn!("reload: name, listen, console and limits change with a restart only");
        }
        let (agent, ledger, lookup) = (told.agent, told.ledger, told.lookup);
        self.calls.move_ledger(self.config.ledger, ledger);
        self.config.take_over(told);
        self.gauge_names = self.config.gauge_names();
        let moved = |at: &mut Option<SocketAddr>, to| std::mem::replace(at, to) != to;
        self.agent_at.send_if_modified(|at| moved(at, agent));
        self.lookup_at.send_if_modified(|at| moved(at, lookup));
        self.replace_tiers(now, &mut tiers);
        // Without its thread it is freed here.
        let _ = discard.send(Box::new((former, tiers, file)));
        let said = |at: Option<SocketAddr>| at.map_or("none".to_owned(), |at| at.to_string());
        let classes = few(self.node.settings().active_classes().map(|c| c.name.as_str()));
        info!(
            "reload: agent {}, ledger {}, lookup {}, classes {classes}",
            said(agent),
            said(ledger),
            said(lookup)
        );
        Ok(())
    }

    /// Other tiers, if calls under way leave room for them; what is used no more takes their place here.
    fn replace_tiers(&mut self, now: Micros, tiers: &mut Tiers) {
        if !self.calls.replace(now, tiers) {
            warn!("reload: calls of earlier tiers are still under way; the tiers stay as they were");
        }
    }
}
