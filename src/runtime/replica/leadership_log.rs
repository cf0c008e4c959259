//! Logs each time that this replica begins or ceases to lead.

use std::sync::Arc;

use tokio::time::{MissedTickBehavior, interval};
use tracing::info;

use super::MAINTENANCE_INTERVAL;
use super::server::ReplicaServer;

/// The leadership that was last logged: the term in which the replica led, or `None`.
#[derive(Debug, Default)]
struct LoggedLeadership(Option<u64>);

impl LoggedLeadership {
    /// Records the current leadership and returns the text to log, or `None` where nothing has changed. A replica that
    /// loses and regains the lead between two checks leads in another term, and that term is logged: otherwise a reader of
    /// the logs would take the replica that led in between for the leader.
    fn update(&mut self, leading_term: Option<u64>) -> Option<String> {
        match (leading_term, std::mem::replace(&mut self.0, leading_term)) {
            (current, previous) if current == previous => None,
            (Some(term), _) => Some(format!("leads in term {term}")),
            (None, _) => Some("no longer leads".to_owned()),
        }
    }
}

/// Logs changes of leadership. This is a separate task, as other tasks wait for proposals, longest while leadership is lost.
pub(super) async fn log_leadership(server: Arc<ReplicaServer>) {
    let (mut ticks, mut logged) = (interval(MAINTENANCE_INTERVAL), LoggedLeadership::default());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Some(change) = logged.update(server.leading_term()) {
            info!("replica {} {change}", server.name);
        }
    }
}

#[cfg(test)]
mod tests;
