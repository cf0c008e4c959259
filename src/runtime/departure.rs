//! How a process leaves: the notice, what it does about its successor, and when it may end.

use std::rc::Rc;

use tracing::info;

use super::{ANSWERED_BEFORE_STOP, Runtime, coap};
use crate::interface::Micros;
use crate::node::Input;
use crate::time::process;

/// The process exits at the latest this long before the platform would stop it.
pub(super) const EXIT_BEFORE_STOP: Micros = Micros::from_millis(80);

impl Runtime {
    /// Handles the notice to leave. With a ready successor this process hands over; otherwise it drains.
    pub(super) fn begin_leaving(&mut self) {
        let now = process::now();
        if let Some(fleet) = &self.fleet {
            fleet.begin_leaving();
        }
        let has_successor = self.has_ready_successor();
        self.service.with(|s| s.start_departure(has_successor));
        if has_successor {
            // Queued connections are not lost: the successor has the same listeners.
            self.close_listeners();
            self.pass_coap_on();
            let stop = self.earliest_kill(now);
            (self.stop_at, self.replaced_at) = (Some(stop), Some(now));
            info!(
                "replaced: {} answers owed, {} connections",
                self.node.pending_answers(),
                self.connections.len()
            );
            self.node.handle_input(
                now,
                Input::SuccessorStarted(stop - ANSWERED_BEFORE_STOP),
                &mut self.outputs,
            );
            return self.publish_mode();
        }
        let stop = self.earliest_kill(now);
        self.stop_at = Some(stop);
        self.node.handle_input(now, Input::DrainRequested(stop - ANSWERED_BEFORE_STOP), &mut self.outputs);
    }

    /// Whether the process can exit: after the last connection's task and once the node's other process, if there is one, has
    /// handled all that it was sent, or shortly before the platform stops the process.
    /// `is_queue_empty`: no event waits, such as a connection that was accepted just before the listeners closed.
    pub(super) fn has_finished(&mut self, is_queue_empty: bool) -> bool {
        let Some(stop) = self.stop_at.filter(|_| self.is_finishing) else { return false };
        let has_closed = is_queue_empty
            && self.connections.is_empty()
            && Rc::strong_count(&self.connection_task_count) == 1
            && !self.service.has_unanswered_order()
            && !self.coap.as_ref().is_some_and(coap::CoapDriver::is_passing_on);
        (has_closed && self.is_peer_up_to_date()) || process::now() >= stop - EXIT_BEFORE_STOP
    }
}
