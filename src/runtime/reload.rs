//! Another configuration under load: read, checked whole, taken over.

use std::net::SocketAddr;

use thiserror::Error;
use tracing::{info, warn};

use super::Runtime;
use crate::config::doc::few;
use crate::config::tiers::Tiers;
use crate::config::{Config, ConfigError};
use crate::settings::slots::Full;

/// Why another configuration is turned down. Whatever it is, nothing has changed.
#[derive(Debug, Error)]
enum TurnedDown {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("'{0}' is lacking; a file has all keys that the one in force has")]
    Lacking(String),
    #[error("an agent can't come or go without a restart")]
    Agent,
    #[error("calls of earlier tiers and classes are still under way; try again when they have ended")]
    Calls,
    #[error(transparent)]
    Slots(#[from] Full),
}

impl Runtime {
    /// Reads the configuration again. The settings go to the module, the addresses to those who hold links; what a node
    /// is (its name, where it listens, its own limits) stays as it was at the start. A file that is no good changes
    /// nothing.
    pub(super) fn reload(&mut self) {
        match self.read_again() {
            Ok(()) => self.node.counters.reloads += 1,
            Err(e) => {
                self.node.counters.reloads_failed += 1;
                warn!("reload: {e}; nothing changed");
            }
        }
    }

    fn read_again(&mut self) -> Result<(), TurnedDown> {
        let (told, settings) = Config::from_env()?;
        if let Some(key) = self.config.lacking(&told) {
            return Err(TurnedDown::Lacking(key));
        }
        if told.agent.is_some() != self.config.agent.is_some() {
            return Err(TurnedDown::Agent);
        }
        if told.module_settings() != self.config.module_settings() && self.calls.busy() {
            return Err(TurnedDown::Calls);
        }
        let now = self.clock.now();
        let retune = self.node.plan_retune(now, settings)?;
        let tiers = Tiers::load(self.calls.file(), &told, &retune.settings)?;
        // From here on nothing can go wrong.
        if told.module_settings() != self.config.module_settings() {
            self.node.retune(now, retune, &mut self.out);
            self.settings.set(self.node.settings().clone());
            if let Some(fleet) = &self.fleet {
                fleet.know(self.node.settings());
            }
        }
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
        if !self.calls.replace(now, &tiers) {
            warn!("reload: calls of earlier tiers are still under way; the tiers stay as they were");
        }
        let said = |at: Option<SocketAddr>| at.map_or("none".to_owned(), |at| at.to_string());
        let classes = few(self.node.settings().live().map(|c| c.name.as_str()));
        info!(
            "reload: agent {}, ledger {}, lookup {}, classes {classes}",
            said(agent),
            said(ledger),
            said(lookup)
        );
        Ok(())
    }
}
