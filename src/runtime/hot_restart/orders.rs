//! Orders of operators while the node has several processes.
//!
//! An order concerns the node, and each of its processes may answer for it. An order is confirmed once no other process of the
//! node runs that does not have it in force: the linked one says that it has, and one without a link can't be told, so that its end
//! is waited for. A caller whose order is not confirmed in time is told so.

use std::collections::BTreeSet;

use tracing::info;

use super::processes::{ProcessDescriptor, report_end};
use super::{BarrierWaiter, Runtime};
use crate::runtime::console::{OrderReach, PendingOrder};
use crate::service::NodeOrder;
use crate::service::handover::HandoverMessage;

/// Most processes of the node that are watched at a time. A replacement has one, and one that goes wrong a few more.
const WATCHED_PROCESSES_MAX: usize = 16;

/// The orders that are not confirmed yet, and the processes that their confirmation depends on.
#[derive(Debug, Default)]
pub(in crate::runtime) struct OrderConfirmations {
    /// The other processes of the node that this one has met and that run, by the number of their link, whether that lasts or not.
    running: BTreeSet<u64>,
    /// The callers of orders that the linked process, if there is one, has in force.
    waiting: Vec<PendingOrder>,
}

/// Answers the callers of orders.
fn answer(callers: Vec<PendingOrder>, reach: OrderReach) {
    // A caller that waits no longer has had its answer.
    callers.into_iter().for_each(|caller| _ = caller.send(reach));
}

impl Runtime {
    /// Takes note of another process of this node, until that ends.
    pub(in crate::runtime) fn watch_process(&mut self, link_id: u64, process: Option<ProcessDescriptor>) {
        let running = &mut self.order_confirmations.running;
        if let Some(process) = process
            && running.len() < WATCHED_PROCESSES_MAX
            && running.insert(link_id)
        {
            tokio::task::spawn_local(report_end(link_id, process, self.events.clone()));
        }
    }

    /// Another process of this node has ended.
    pub(super) fn process_ended(&mut self, link_id: u64) {
        self.order_confirmations.running.remove(&link_id);
        self.confirm_orders(Vec::new());
    }

    /// Tells the other process of the orders that this one has accepted since the last call.
    pub(in crate::runtime) fn send_new_orders(&mut self) {
        let pending = self.service.take_new_orders();
        if pending.is_empty() {
            return;
        }
        self.publish_mode();
        let order = self.service.with(|s| s.order());
        match self.usable_link() {
            Some(link) if link.features.orders => {
                self.send_with_barrier(vec![HandoverMessage::Order(order)], BarrierWaiter::Orders(pending));
            }
            Some(_) => answer(pending, OrderReach::ThisProcess),
            None => self.confirm_orders(pending),
        }
    }

    /// Answers the callers of these orders and of earlier ones once no process of the node runs that can't be told of them. The
    /// linked process, if there is one, has them in force.
    pub(super) fn confirm_orders(&mut self, callers: Vec<PendingOrder>) {
        let linked = self.usable_link().map(|link| link.id);
        let confirmations = &mut self.order_confirmations;
        confirmations.waiting.retain(|caller| !caller.is_closed());
        confirmations.waiting.extend(callers);
        if confirmations.running.iter().all(|id| Some(*id) == linked) {
            answer(std::mem::take(&mut confirmations.waiting), OrderReach::Node);
        }
    }

    /// Puts an order in force that the other process has accepted.
    pub(super) fn receive_order(&mut self, order: NodeOrder) {
        let is_from_successor = self.peer_process.as_ref().is_some_and(|link| !link.is_successor);
        if self.service.with(|s| s.receive_order(order, is_from_successor)) {
            let NodeOrder { is_out_of_service, revision } = order;
            info!(revision, is_out_of_service, "order of the other process of this node in force");
            self.publish_mode();
        }
    }
}
