//! The node's listeners: planning, opening and closing them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use super::{ListenerInfo, Runtime, door};
use crate::config::edge::{Listener, SPARE_DESCRIPTORS};
use crate::door::ListenerId;
use crate::front::Wire;

/// A listener that is to be opened.
pub(super) struct PendingListener {
    pub id: ListenerId,
    pub address: SocketAddr,
    /// Connections at a time, without the spare ones.
    pub connections_max: usize,
}

/// A listener that is open.
pub(super) struct OpenListener {
    pub id: ListenerId,
    pub address: SocketAddr,
    pub listener: Rc<TcpListener>,
    /// One for each connection that may be open.
    pub permits: Arc<Semaphore>,
    /// The task that accepts connections.
    pub task: JoinHandle<()>,
}

impl Runtime {
    /// Plans the listeners. The platform's opens last, so that a process that accepts connections there does so on all.
    pub(super) fn plan_listeners(&mut self, others: &[Listener], callers_max: usize) {
        self.listener_infos.push(ListenerInfo { name: "callers".to_owned(), wire: Wire::Msgpack });
        self.listener_infos
            .extend(others.iter().map(|l| ListenerInfo { name: l.name.clone(), wire: l.wire }));
        let platform = self.config.listen.map(|address| PendingListener {
            id: ListenerId(0),
            address,
            connections_max: callers_max,
        });
        let other = |(i, l): (usize, &Listener)| PendingListener {
            id: ListenerId(i + 1),
            address: l.listen,
            connections_max: l.connections.unwrap_or(1),
        };
        self.pending_listeners = others.iter().enumerate().map(other).chain(platform).collect();
    }

    /// Opens the pending listeners, with the sockets that the incumbent has passed where there are any, and the CoAP socket.
    ///
    /// # Errors
    /// An address that can't be listened at.
    pub(super) fn open_listeners(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        for PendingListener { id, address, connections_max } in std::mem::take(&mut self.pending_listeners) {
            let inherited = self.inherited_listeners.iter().position(|(inherited, _)| *inherited == address);
            let listener = match inherited {
                Some(i) => self.inherited_listeners.swap_remove(i).1,
                None => door::listen_with_retries(address)
                    .map_err(|e| format!("{} {address}: {e}", self.listener_infos[id.0].name))?,
            };
            let listener = Rc::new(listener);
            let permits = Arc::new(Semaphore::new(connections_max + SPARE_DESCRIPTORS));
            let accept = door::accept_connections(id, listener.clone(), permits.clone(), self.events.clone());
            let task = tokio::task::spawn_local(accept);
            self.listeners.push(OpenListener { id, address, listener, permits, task });
        }
        self.listen_for_devices();
        // Inherited listeners that this node's configuration no longer has. Their queued connections are reset when the
        // incumbent closes them too.
        self.inherited_listeners.clear();
        Ok(())
    }

    /// Stops accepting and closes the listeners. Queued connections are reset unless another process has the same listener.
    pub(super) fn close_listeners(&mut self) {
        self.listeners.drain(..).for_each(|l| l.task.abort());
        self.pending_listeners.clear();
    }

    /// Closes the listeners, and first accepts the connections in their queues as far as there are permits, as the others are
    /// reset.
    pub(super) fn accept_queued_connections(&mut self) {
        for l in &self.listeners {
            l.task.abort();
        }
        for OpenListener { id, listener, permits, .. } in std::mem::take(&mut self.listeners) {
            while let Ok(permit) = permits.clone().try_acquire_owned()
                && let Some((stream, peer_address)) = door::accept_queued(&listener)
            {
                self.serve_connection(door::AcceptedConnection {
                    listener: id,
                    stream,
                    peer_address,
                    permit,
                });
            }
        }
    }
}
