//! The zone coordination of a replica: collects the nodes' reports, evaluates them while this replica leads, and notifies
//! all nodes of a committed change at once.
//!
//! The zones' statuses are replicated. The reports and the nodes' addresses are not: a new leader collects them again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use tokio::net::UdpSocket;
use tokio::time::timeout;
use tracing::{info, warn};

use super::server::ReplicaServer;
use super::{PROPOSAL_TIMEOUT, lock};
use crate::config::zones::Zones;
use crate::fleet::datagram::{DatagramCodec, FleetMessage};
use crate::fleet::lease::ledger::LedgerEntry;
use crate::interface::Micros;
use crate::zone::health_evaluator::{TransitionReason, ZoneHealthEvaluator};
use crate::zone::health_report::ZoneHealthReport;
use crate::zone::{ZoneOrder, ZoneOrderError, ZoneStatusMap};

/// Most nodes that are notified: several times the largest supported fleet.
const NOTIFIED_NODES_MAX: usize = 16_384;

/// The nodes' reports of zone health, and the nodes' addresses.
pub(super) struct ZoneCoordinator {
    evaluator: ZoneHealthEvaluator,
    /// The address of each node's last report.
    node_addresses: HashMap<String, SocketAddr>,
}

/// The sender of zone health reports.
pub(super) struct ZoneReportSource<'a> {
    pub address: SocketAddr,
    pub node: &'a str,
    /// The node's own zone.
    pub zone: &'a str,
}

/// Why an operator's order was not carried out.
#[derive(Debug, thiserror::Error)]
pub(super) enum OrderRejection {
    /// The zones' current statuses do not allow the order.
    #[error(transparent)]
    NotAllowed(#[from] ZoneOrderError),
    /// The order was not committed within [`PROPOSAL_TIMEOUT`].
    #[error("no majority of keepers has committed the order in time")]
    NoMajority,
}

impl ZoneCoordinator {
    pub fn new(zones: &Zones) -> Mutex<ZoneCoordinator> {
        Mutex::new(ZoneCoordinator {
            evaluator: ZoneHealthEvaluator::new(zones.evaluation.clone()),
            node_addresses: HashMap::new(),
        })
    }
}

impl ReplicaServer {
    /// Calls a function with the coordinator; `None` where the fleet has no zones.
    fn with_zones<T>(&self, f: impl FnOnce(&mut ZoneCoordinator) -> T) -> Option<T> {
        let coordinator = self.zone_coordinator.as_ref()?;
        Some(f(&mut lock(coordinator)))
    }

    fn zone_statuses(&self) -> ZoneStatusMap {
        self.state().ledger().zones().clone()
    }

    /// Applies changed settings. Earlier reports are then dropped; nodes repeat them within a second.
    pub(super) fn reload_zones(&self, zones: &Zones) {
        self.with_zones(|coordinator| {
            if *coordinator.evaluator.settings() != zones.evaluation {
                coordinator.evaluator = ZoneHealthEvaluator::new(zones.evaluation.clone());
            }
        });
    }

    /// Records a node's reports. Returns the answer with the zones' epoch, and their statuses where the node knows another
    /// epoch; `None` where the fleet has no zones.
    pub(super) fn note_zone_reports(
        &self,
        source: &ZoneReportSource<'_>,
        known_epoch: u64,
        reports: &[ZoneHealthReport],
    ) -> Option<FleetMessage> {
        let now = Micros(self.clock.now().0);
        self.with_zones(|coordinator| {
            coordinator.evaluator.record_report(now, source.node, source.zone, reports);
            let addresses = &mut coordinator.node_addresses;
            if addresses.len() < NOTIFIED_NODES_MAX || addresses.contains_key(source.node) {
                addresses.insert(source.node.to_owned(), source.address);
            }
        })?;
        let statuses = self.zone_statuses();
        Some(FleetMessage::Zones(if statuses.epoch == known_epoch {
            ZoneStatusMap { epoch: known_epoch, statuses: Vec::new() }
        } else {
            statuses
        }))
    }

    /// Sends the zones' statuses to all nodes.
    fn notify_zone_statuses(&self, socket: &UdpSocket) {
        let message = FleetMessage::Zones(self.zone_statuses());
        let Ok(frame) = DatagramCodec::for_fleet(&self.fleet.name).encode(&message) else { return };
        self.with_zones(|coordinator| {
            for address in coordinator.node_addresses.values() {
                let _ = socket.try_send_to(&frame, *address);
            }
        });
    }

    /// Evaluates the reports and commits a change of the statuses; called by the leader only. A change that is not
    /// committed is evaluated again at the next call.
    pub(super) async fn evaluate_zones(&self, socket: &UdpSocket) {
        let (now, statuses) = (Micros(self.clock.now().0), self.zone_statuses());
        let evaluated = self.with_zones(|coordinator| coordinator.evaluator.evaluate(now, &statuses));
        let Some((update, reasons)) = evaluated.flatten() else { return };
        let entry = LedgerEntry::ZoneUpdate(update);
        if !matches!(timeout(PROPOSAL_TIMEOUT, self.raft.client_write(entry)).await, Ok(Ok(_))) {
            return;
        }
        self.notify_zone_statuses(socket);
        let epoch = self.zone_statuses().epoch;
        reasons.iter().for_each(|reason| log_transition(epoch, reason));
    }

    /// Commits an operator's order for a zone and notifies the nodes.
    ///
    /// # Errors
    /// [`OrderRejection`]; after [`OrderRejection::NoMajority`] it may still be committed later.
    pub(super) async fn order_zone(
        &self,
        socket: &UdpSocket,
        zone: String,
        order: ZoneOrder,
    ) -> Result<(), OrderRejection> {
        if let Err(e) = self.zone_statuses().apply_order(&zone, order) {
            warn!(%zone, "order {order:?} not carried out: {e}");
            return Err(e.into());
        }
        info!(%zone, "order {order:?}");
        let entry = LedgerEntry::ZoneOrder { zone, order };
        match timeout(PROPOSAL_TIMEOUT, self.raft.client_write(entry)).await {
            Ok(Ok(_)) => {
                self.notify_zone_statuses(socket);
                Ok(())
            }
            _ => Err(OrderRejection::NoMajority),
        }
    }
}

fn log_transition(epoch: u64, reason: &TransitionReason) {
    info!(
        zone = %reason.zone,
        epoch,
        nodes_failing = reason.node_votes.0,
        nodes_well = reason.node_votes.1,
        calls = reason.call_counts.0,
        calls_failed = reason.call_counts.1,
        speed = format!("{:.2}", reason.speed),
        "zone {} {} -> {} {}",
        reason.from.0,
        reason.from.1,
        reason.to.0,
        reason.to.1
    );
}
