//! The connections of the fronts: admission, events from their tasks, and messages to them.

use std::time::Duration;

use tokio::sync::mpsc;
use tracing::{debug, warn};

use super::Runtime;
use super::door::{AcceptedConnection, set_socket_options};
use crate::door::{AdmissionDecision, ConnectionCommand, ConnectionId, ListenerId};
use crate::end::End;
use crate::front::Reply;
use crate::front::Wire;
use crate::front::driver::{self, ConnectionEvent};
use crate::front::msgpack::{Caller, ValueCodec};
use crate::front::uwsgi::Gateway;
use crate::interface::Micros;
use crate::node::{IncomingRequest, Input, Worker};
use crate::time::process;

/// Messages queued for one connection's task. A connection whose queue is full is closed.
const REPLY_QUEUE_MAX: usize = 96;

/// An open connection, as the event loop keeps it.
pub(super) struct ConnectionHandle {
    wire: Wire,
    replies: mpsc::Sender<Reply>,
}

impl Runtime {
    /// Admits an accepted connection and starts its task; closes it if it is rejected.
    pub(super) fn serve_connection(&mut self, accepted: AcceptedConnection) {
        let now = process::now();
        let AcceptedConnection { listener, stream, peer_address, permit } = accepted;
        let wire = self.listener_infos[listener.0].wire;
        let id = match self.admission.with(|a| a.admit(now, listener, peer_address.ip())) {
            AdmissionDecision::Admit(id) => id,
            AdmissionDecision::Replace { admitted, evicted } => {
                self.send_connection_command(evicted, ConnectionCommand::Close(End::Crowded));
                admitted
            }
            AdmissionDecision::Reject(end) => {
                *self.node.counters.closed.entry((wire.front(), end)).or_default() += 1;
                if let Some(suppressed) = self.log_limiter.permit() {
                    debug!(
                        listener = %self.listener_infos[listener.0].name,
                        from = %peer_address,
                        suppressed,
                        "connection rejected: {end}"
                    );
                }
                return;
            }
        };
        let profile = self.admission.with(|a| *a.profile(listener));
        if let Err(e) = set_socket_options(&stream, &profile)
            && let Some(suppressed) = self.log_limiter.permit()
        {
            warn!(conn = id.0, suppressed, "socket options not set: {e}");
        }
        let (replies, inbox) = mpsc::channel(REPLY_QUEUE_MAX);
        self.connections.insert(id.0, ConnectionHandle { wire, replies });
        self.node.open_connections = self.connections.len();
        let listener_name = &self.listener_infos[listener.0].name;
        debug!(conn = id.0, listener = %listener_name, from = %peer_address, "connection admitted");
        let (events, settings) = (self.events.clone(), self.settings.clone());
        // Dropped when the connection's task ends.
        let held = (permit, self.connection_task_count.clone());
        let context = (self.admission.clone(), Duration::from_micros(profile.linger.0));
        match (wire, &self.uwsgi) {
            (Wire::Uwsgi, Some((u, _))) => {
                let session = Gateway::new(id.0, settings, u.clone());
                let codec = Gateway::codec(u);
                tokio::task::spawn_local(async move {
                    driver::serve((wire, id), stream, session, codec, events, inbox, context).await;
                    drop(held);
                });
            }
            _ => {
                let session = Caller::new(id.0, settings, process::arrivals());
                let codec = ValueCodec::default();
                tokio::task::spawn_local(async move {
                    driver::serve((wire, id), stream, session, codec, events, inbox, context).await;
                    drop(held);
                });
            }
        }
        if self.is_finishing {
            // All other connections have had this message already.
            self.send_reply(id.0, Reply::Finish);
        }
    }

    /// Closes connections of a listener that has no room for another one.
    pub(super) fn evict_for_listener(&mut self, listener: ListenerId) {
        let now = process::now();
        for evicted in self.admission.with(|a| a.evict_for_listener(now, listener)) {
            self.send_connection_command(evicted, ConnectionCommand::Close(End::Crowded));
        }
    }

    /// Runs the due timers of connection admission, and sends the resulting commands to the connections.
    pub(super) fn run_admission_timers(&mut self) {
        let now = process::now();
        for (id, command) in self.admission.with(|a| a.sweep(now)) {
            self.send_connection_command(id, command);
        }
    }

    /// Sends a command of connection admission. A connection whose queue is full is closed instead, unless the command only
    /// asks it to read.
    fn send_connection_command(&mut self, id: ConnectionId, command: ConnectionCommand) {
        let is_full = self
            .connections
            .get(&id.0)
            .is_some_and(|c| c.replies.try_send(Reply::Admission(command)).is_err());
        if is_full && command != ConnectionCommand::ReadNow {
            // The peer does not read its answers: dropping the sender ends the connection's task.
            self.connections.remove(&id.0);
        }
    }

    /// Completes a request: whether calls are prefetched for it, and whether its tenant is over its quota in the fleet.
    pub(super) fn plan_request(&self, mut request: Box<IncomingRequest>) -> Box<IncomingRequest> {
        // An agent's runs request their calls themselves.
        request.needs_prefetch = request.worker == Worker::Servers && self.calls.has_prefetch(request.class);
        request.is_over_quota = self
            .fleet
            .as_ref()
            .zip(request.tenant)
            .is_some_and(|(fleet, tenant)| fleet.charge_tenant(tenant));
        request
    }

    /// Handles an event from a connection's task: an input for the core, or the end of the connection.
    pub(super) fn handle_connection_event(&mut self, now: Micros, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Input(mut input) => {
                if let Input::RequestReceived(origin, request) = input {
                    input = Input::RequestReceived(origin, self.plan_request(request));
                }
                let origin = if let Input::RequestReceived(o, _) = &input { Some(*o) } else { None };
                self.node.handle_input(now, input, &mut self.outputs);
                if let Some(o) = origin.filter(|_| self.stop_at.is_some()) {
                    // A connection made after the notice to leave gets the last call with its first request.
                    self.send_reply(o.connection, Reply::LastCall);
                }
            }
            ConnectionEvent::Closed { wire, conn, end } => {
                debug!(conn, ?wire, "{end}");
                self.connections.remove(&conn);
                self.node.open_connections = self.connections.len();
                *self.node.counters.closed.entry((wire.front(), end)).or_default() += 1;
                self.node.counters.truncated_requests += u64::from(matches!(end, End::CutOff | End::Slow));
                self.node.handle_input(now, Input::ConnectionClosed(wire.front(), conn), &mut self.outputs);
            }
        }
    }

    /// Queues a message for a connection's task. A connection whose queue is full is closed.
    pub(super) fn send_reply(&mut self, conn: u64, reply: Reply) {
        let is_full = self.connections.get(&conn).is_some_and(|c| c.replies.try_send(reply).is_err());
        if is_full {
            // The peer does not read its answers: dropping the sender ends the connection's task.
            if let Some(suppressed) = self.log_limiter.permit() {
                warn!(conn, suppressed, "the queue of replies is full; connection closed");
            }
            self.connections.remove(&conn);
        }
    }

    /// Queues a message for each connection.
    pub(super) fn send_reply_to_all(&mut self, reply: impl Fn(Wire) -> Reply) {
        let all: Vec<(u64, Wire)> = self.connections.iter().map(|(n, c)| (*n, c.wire)).collect();
        for (conn, wire) in all {
            self.send_reply(conn, reply(wire));
        }
    }

    /// Closes connections that have been idle for `span`. Only the tasks of connections that may be idle are woken; the message
    /// to a task whose queue is full is dropped, which does no harm.
    pub(super) fn close_idle_connections(&mut self, now: Micros, span: Micros) {
        for id in self.admission.with(|a| a.idle_connections(now, span)) {
            if let Some(connection) = self.connections.get(&id.0) {
                let _ = connection.replies.try_send(Reply::CloseIdle(span));
            }
        }
    }
}
