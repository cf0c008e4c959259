//! The node's listeners: planned, opened, closed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use super::{Gate, Runtime, door};
use crate::config::edge::{Listener, SPARE_DESCRIPTORS};
use crate::door::ListenerId;
use crate::front::Wire;

/// A listener that is to be opened.
pub(super) struct Opening {
    pub gate: ListenerId,
    pub at: SocketAddr,
    /// Connections at a time.
    pub room: usize,
}

/// A listener that is open.
pub(super) struct Open {
    pub gate: ListenerId,
    pub at: SocketAddr,
    pub listener: Rc<TcpListener>,
    pub room: Arc<Semaphore>,
    pub task: JoinHandle<()>,
}

impl Runtime {
    /// Names the listeners. The platform's comes last, so that who is met on that one is met on all.
    pub(super) fn plan(&mut self, others: &[Listener], callers: usize) {
        self.gates.push(Gate { name: "callers".to_owned(), wire: Wire::Msgpack });
        self.gates.extend(others.iter().map(|l| Gate { name: l.name.clone(), wire: l.wire }));
        let platform = self.config.listen.map(|at| Opening { gate: ListenerId(0), at, room: callers });
        let other = |(i, l): (usize, &Listener)| Opening {
            gate: ListenerId(i + 1),
            at: l.listen,
            room: l.connections.unwrap_or(1),
        };
        self.pending_listeners = others.iter().enumerate().map(other).chain(platform).collect();
    }

    /// Starts to listen, where that is not done yet.
    pub(super) fn open(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        for Opening { gate, at, room } in std::mem::take(&mut self.pending_listeners) {
            let given = self.inherited_listeners.iter().position(|(there, _)| *there == at);
            let listener = match given {
                Some(i) => self.inherited_listeners.swap_remove(i).1,
                None => door::listen(at).map_err(|e| format!("{} {at}: {e}", self.gates[gate.0].name))?,
            };
            let listener = Rc::new(listener);
            let room = Arc::new(Semaphore::new(room + SPARE_DESCRIPTORS));
            let accept = door::accept(gate, listener.clone(), room.clone(), self.events.clone());
            self.listeners.push(Open { gate, at, listener, room, task: tokio::task::spawn_local(accept) });
        }
        self.open_coap();
        // A listener that this node has no more use for: its queue ends with the process that had it.
        self.inherited_listeners.clear();
        Ok(())
    }

    pub(super) fn close(&mut self) {
        self.listeners.drain(..).for_each(|l| l.task.abort());
        self.pending_listeners.clear();
    }

    /// Takes in who waits in the listeners' queues, as far as there is room: they close with the listeners.
    pub(super) fn empty_queues(&mut self) {
        for l in &self.listeners {
            l.task.abort();
        }
        for Open { gate, listener, room, .. } in std::mem::take(&mut self.listeners) {
            while let Ok(permit) = room.clone().try_acquire_owned()
                && let Some((stream, from)) = door::queued(&listener)
            {
                self.accepted(door::Newcomer { gate, stream, from, permit });
            }
        }
    }
}
