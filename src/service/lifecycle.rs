//! The service state of one process: starting, in service, out of service, leaving, replaced.
//!
//! An order to go out of service is kept apart from the notice to leave: out of service, every request is still decided and
//! served. A replaced process no longer reports for the node, as its successor does. The state does no I/O; the runtime opens
//! the listeners and sends the reports.

use std::fmt;

/// The service state of a process, as the platform sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceState {
    /// The agent is not connected yet, or the listeners are not open.
    #[default]
    Starting,
    /// The process takes clients.
    InService,
    /// The process takes clients but asks the directory to send no more. Requests are decided and served as in service.
    OutOfService,
    /// The process has had the notice to leave.
    Leaving,
    /// The process has had the notice to leave, and a successor serves the node.
    Replaced,
}

/// An operator's order to change the service state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceOrder {
    /// Ask the directory to send no more clients, and go on serving.
    OutOfService,
    /// Take clients as usual again.
    InService,
}

/// The last order that a process of the node has accepted. It concerns the node, so its processes tell it each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeOrder {
    /// The node is to be out of service.
    pub is_out_of_service: bool,
    /// Number of orders up to this one, over all processes of the node that have told each other of them.
    pub revision: u64,
}

/// Why an order is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceOrderError {
    /// The process is leaving, which cannot be undone.
    Leaving,
    /// A successor serves the node and takes its orders.
    Replaced,
}

impl fmt::Display for ServiceOrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ServiceOrderError::Leaving => "leaving: this process has had the notice to leave",
            ServiceOrderError::Replaced => {
                "replaced: another process serves in this one's place and takes its orders"
            }
        })
    }
}

/// What this process reports to the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryReport {
    /// No report: the process does not report for the node yet, or no longer does.
    Silent,
    /// The node takes work.
    Open,
    /// The node takes no work.
    Closed,
}

/// How the process ends, once it has had the notice to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    Leaving,
    Replaced,
}

/// The service state of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Service {
    /// The listeners are open and the agent is connected.
    is_serving: bool,
    /// The last order of an operator to the node.
    order: NodeOrder,
    /// The fleet has taken the node's zone out of service.
    is_zone_out: bool,
    departure: Option<Departure>,
}

impl Service {
    /// The present state.
    pub fn state(&self) -> ServiceState {
        match (self.departure, self.is_serving, self.order.is_out_of_service || self.is_zone_out) {
            (Some(Departure::Leaving), ..) => ServiceState::Leaving,
            (Some(Departure::Replaced), ..) => ServiceState::Replaced,
            (None, false, _) => ServiceState::Starting,
            (None, true, false) => ServiceState::InService,
            (None, true, true) => ServiceState::OutOfService,
        }
    }

    /// Records that the process takes clients from now on.
    pub fn start_serving(&mut self) {
        self.is_serving = true;
    }

    /// Carries out an order. One that is in force already succeeds and changes nothing; one that comes while the process is
    /// starting holds once it serves.
    ///
    /// # Errors
    /// The process has had the notice to leave.
    pub fn apply_order(&mut self, order: ServiceOrder) -> Result<(), ServiceOrderError> {
        match self.departure {
            Some(Departure::Leaving) => return Err(ServiceOrderError::Leaving),
            Some(Departure::Replaced) => return Err(ServiceOrderError::Replaced),
            None => {
                let is_out_of_service = order == ServiceOrder::OutOfService;
                self.order = NodeOrder { is_out_of_service, revision: self.order.revision + 1 };
            }
        }
        Ok(())
    }

    /// The last order to the node, which the node's other processes have to know.
    pub fn order(&self) -> NodeOrder {
        self.order
    }

    /// Takes over the order of the incumbent, as a successor that has accepted none itself.
    pub fn inherit_order(&mut self, order: NodeOrder) {
        self.order = order;
    }

    /// Records an order that the node's other process has accepted; true if it replaces the one known here. It holds in every
    /// state, as it concerns the node. Of two orders that the processes have accepted at once, both take the successor's.
    pub fn receive_order(&mut self, order: NodeOrder, is_from_successor: bool) -> bool {
        let known = self.order.revision;
        let is_newer = order.revision > known || (order.revision == known && is_from_successor);
        is_newer && std::mem::replace(&mut self.order, order) != order
    }

    /// Records the notice to leave; `is_replaced` where a successor takes clients. Only the first notice counts.
    pub fn start_departure(&mut self, is_replaced: bool) {
        self.departure.get_or_insert(if is_replaced { Departure::Replaced } else { Departure::Leaving });
    }

    /// Whether this process takes clients: the answer to a readiness check.
    pub fn is_ready(&self) -> bool {
        matches!(self.state(), ServiceState::InService | ServiceState::OutOfService)
    }

    /// The answer to a health check where all else is well. A replaced process still answers for the node, which is healthy
    /// unless it was out of service.
    pub fn is_healthy(&self) -> bool {
        matches!(self.state(), ServiceState::InService | ServiceState::Replaced)
            && !self.order.is_out_of_service
            && !self.is_zone_out
    }

    /// The report to the directory; `takes_work` is the decision module's own view of the node's health. A replaced process reports nothing, as it
    /// would contradict its successor.
    pub fn directory_report(&self, takes_work: bool) -> DirectoryReport {
        match self.state() {
            ServiceState::Starting | ServiceState::Replaced => DirectoryReport::Silent,
            ServiceState::InService if takes_work => DirectoryReport::Open,
            ServiceState::InService | ServiceState::OutOfService | ServiceState::Leaving => {
                DirectoryReport::Closed
            }
        }
    }

    /// Records whether the fleet has taken the node's zone out of service; returns whether that has changed. An operator's
    /// order is not affected.
    pub fn set_zone_out(&mut self, is_zone_out: bool) -> bool {
        std::mem::replace(&mut self.is_zone_out, is_zone_out) != is_zone_out
    }
}

#[cfg(test)]
mod tests;
