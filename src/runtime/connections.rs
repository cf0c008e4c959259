//! The connections of the fronts: taken in, told things, closed.

use std::time::Duration;

use tokio::sync::mpsc;
use tracing::{debug, warn};

use super::Runtime;
use super::door::{Newcomer, tune};
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

/// Messages on their way to one connection.
const REPLIES: usize = 96;

/// What the runtime knows of a connection.
pub(super) struct Conn {
    wire: Wire,
    replies: mpsc::Sender<Reply>,
}

impl Runtime {
    pub(super) fn accepted(&mut self, new: Newcomer) {
        let now = process::now();
        let Newcomer { gate, stream, from, permit } = new;
        let wire = self.gates[gate.0].wire;
        let id = match self.doorman.with(|d| d.admit(now, gate, from.ip())) {
            AdmissionDecision::Admit(id) => id,
            AdmissionDecision::Replace { admitted, evicted } => {
                self.whisper(evicted, ConnectionCommand::Close(End::Crowded));
                admitted
            }
            AdmissionDecision::Reject(end) => {
                *self.node.counters.closed.entry((wire.front(), end)).or_default() += 1;
                if let Some(held) = self.log_limiter.permit() {
                    debug!(gate = %self.gates[gate.0].name, %from, held, "not taken in: {end}");
                }
                return;
            }
        };
        let profile = self.doorman.with(|d| *d.profile(gate));
        if let Err(e) = tune(&stream, &profile)
            && let Some(held) = self.log_limiter.permit()
        {
            warn!(conn = id.0, held, "socket options: {e}");
        }
        let (replies, inbox) = mpsc::channel(REPLIES);
        self.connections.insert(id.0, Conn { wire, replies });
        self.node.open_connections = self.connections.len();
        debug!(conn = id.0, gate = %self.gates[gate.0].name, %from, "taken in");
        let (events, settings) = (self.events.clone(), self.settings.clone());
        let held = (permit, self.alive.clone());
        let with = (self.doorman.clone(), Duration::from_micros(profile.linger.0));
        match (wire, &self.uwsgi) {
            (Wire::Uwsgi, Some((u, _))) => {
                let session = Gateway::new(id.0, settings, u.clone());
                let codec = Gateway::codec(u);
                tokio::task::spawn_local(async move {
                    driver::serve((wire, id), stream, session, codec, events, inbox, with).await;
                    drop(held);
                });
            }
            _ => {
                let session = Caller::new(id.0, settings, process::arrivals());
                let codec = ValueCodec::default();
                tokio::task::spawn_local(async move {
                    driver::serve((wire, id), stream, session, codec, events, inbox, with).await;
                    drop(held);
                });
            }
        }
        if self.is_finishing {
            // All others have been told already.
            self.tell(id.0, Reply::Finish);
        }
    }

    /// Nobody can come in through a gate before somebody goes.
    pub(super) fn full(&mut self, gate: ListenerId) {
        let now = process::now();
        for evicted in self.doorman.with(|d| d.evict_for_listener(now, gate)) {
            self.whisper(evicted, ConnectionCommand::Close(End::Crowded));
        }
    }

    /// Carries out what has fallen due at the door.
    pub(super) fn sweep_door(&mut self) {
        let now = process::now();
        for (id, verdict) in self.doorman.with(|d| d.sweep(now)) {
            self.whisper(id, verdict);
        }
    }

    fn whisper(&mut self, id: ConnectionId, verdict: ConnectionCommand) {
        let full = self
            .connections
            .get(&id.0)
            .is_some_and(|c| c.replies.try_send(Reply::Admission(verdict)).is_err());
        if full && verdict != ConnectionCommand::ReadNow {
            // It does not read its answers: dropping the sender ends it.
            self.connections.remove(&id.0);
        }
    }

    /// A request as the tiers' file plans it, and as its member's share of the fleet has it.
    pub(super) fn planned(&self, mut ask: Box<IncomingRequest>) -> Box<IncomingRequest> {
        // Only an agent's runs can ask for calls themselves.
        ask.needs_prefetch = ask.worker == Worker::Servers && self.calls.has_prefetch(ask.class);
        ask.is_over_quota = self.fleet.as_ref().zip(ask.tenant).is_some_and(|(f, t)| f.charge_tenant(t));
        ask
    }

    pub(super) fn conn_said(&mut self, now: Micros, said: ConnectionEvent) {
        match said {
            ConnectionEvent::Input(mut input) => {
                if let Input::RequestReceived(origin, ask) = input {
                    input = Input::RequestReceived(origin, self.planned(ask));
                }
                let origin = if let Input::RequestReceived(o, _) = &input { Some(*o) } else { None };
                self.node.handle_input(now, input, &mut self.outputs);
                if let Some(o) = origin.filter(|_| self.stop_at.is_some()) {
                    // A connection made after the notice learns of it with its first request.
                    self.tell(o.connection, Reply::LastCall);
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

    pub(super) fn tell(&mut self, conn: u64, reply: Reply) {
        let full = self.connections.get(&conn).is_some_and(|c| c.replies.try_send(reply).is_err());
        if full {
            // It does not read its answers: dropping the sender ends it.
            if let Some(held) = self.log_limiter.permit() {
                warn!(conn, held, "answers pile up; closed");
            }
            self.connections.remove(&conn);
        }
    }

    pub(super) fn tell_all(&mut self, reply: impl Fn(Wire) -> Reply) {
        let all: Vec<(u64, Wire)> = self.connections.iter().map(|(n, c)| (*n, c.wire)).collect();
        for (conn, wire) in all {
            self.tell(conn, reply(wire));
        }
    }

    /// Only those that may be idle are woken. One that is told in vain, as its queue is full, loses nothing.
    pub(super) fn close_idle(&mut self, now: Micros, span: Micros) {
        for id in self.doorman.with(|d| d.idle_connections(now, span)) {
            if let Some(c) = self.connections.get(&id.0) {
                let _ = c.replies.try_send(Reply::CloseIdle(span));
            }
        }
    }
}
