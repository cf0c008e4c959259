//! The I/O of a hot restart: the successor process takes over from the incumbent process of the same node with the
//! protocol of [`crate::service::handover`].
//!
//! No failure here keeps a node from starting and serving. A process opens its own listeners if it has no Unix socket, if
//! the socket's path holds a stale socket or another file, if the peer does not speak the protocol, or if the peer dies
//! during the handover.

mod link;
mod orders;
mod processes;
mod zones;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::sleep;
use tracing::{info, warn};

pub(super) use link::{Inherited, Takeover, Welcome, request_handover, socket_path};
pub(super) use orders::OrderConfirmations;
pub(super) use processes::ProcessDescriptor;

use super::console::PendingOrder;
use super::{Event, Runtime};
use crate::idempotency::{Change, HandoverRole};
use crate::interface::Micros;
use crate::node::Input;
use crate::service::handover::{HandoverMessage, PeerFeatures, WIRE_NOW};
use crate::time::process;
use link::{accept_successors, exchange_messages};

/// What every process of this build exchanges with another process of its node, beyond writes.
const FEATURES: PeerFeatures = PeerFeatures { orders: true, coap_format: 0, zones: false };
/// How long each process waits for the other's first message, and the successor for `TakeoverConfirmed`. A platform that
/// replaces a process gives the successor a few seconds to start; an incumbent that hangs must not use them up.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Capacity of the queue to the other process, in batches of messages. The link is given up when the queue is full.
const QUEUE_BATCHES: usize = 1024;
/// Upper bound on the longest request deadline in the estimate of the time until the platform kills a process that has had
/// the notice to leave.
const MAX_COUNTED_DEADLINE: Micros = Micros::from_millis(3_000);
/// The platform kills a process no sooner than this long after the longest deadline, counted from the notice to leave.
const KILL_MARGIN: Micros = Micros::from_millis(700);
/// A replaced process without open requests stays for this long, for requests that callers sent before they learned that
/// it drains.
const LATE_REQUEST_GRACE: Micros = Micros::from_millis(250);

/// The number of the link to the incumbent. Those to successors are counted from 1.
pub(super) const INCUMBENT_LINK: u64 = 0;
/// Each process's share of the machine while both serve.
const MACHINE_SHARE_OF_EACH: f64 = 0.5;

/// Messages that are sent to the other process with one flush.
type MessageBatch = Vec<HandoverMessage>;

/// The first message of a successor. The accepted handover is sent to it through `welcome`; dropping `welcome` rejects it.
pub(super) struct SuccessorHello {
    link_id: u64,
    name: String,
    listen: Option<SocketAddr>,
    features: PeerFeatures,
    process: Option<ProcessDescriptor>,
    welcome: oneshot::Sender<Welcome>,
}

/// An event of the link to the other process, for the core's task. The link number tells the current link from earlier
/// ones.
pub(super) enum PeerLinkEvent {
    /// A successor has connected.
    Hello(SuccessorHello),
    /// A message has arrived on this link.
    Message(u64, HandoverMessage),
    /// This link has ended, for this reason.
    LinkEnded(u64, &'static str),
    /// The process at the other end of this link has ended.
    ProcessEnded(u64),
    /// The successor's wait for `TakeoverConfirmed` has timed out.
    ConfirmationTimeout,
}

/// The link to the other process, as the core's task keeps it.
pub(super) struct PeerLink {
    id: u64,
    outgoing: mpsc::Sender<MessageBatch>,
    /// Ends the link, as this process gives it up.
    give_up: Rc<Notify>,
    is_given_up: bool,
    /// This process is the successor, and the other one the incumbent.
    is_successor: bool,
    /// The successor has sent `Ready`.
    is_ready: bool,
    /// What the two processes exchange beyond writes.
    features: PeerFeatures,
    /// The epoch of the zones' statuses that the other process was told last.
    told_zone_epoch: u64,
    /// Barriers that the other process has not passed yet, and what waits for that.
    barriers: BTreeMap<u64, BarrierWaiter>,
    last_barrier: u64,
    /// The barrier before the end of this process, if nothing has been sent behind it.
    departure_barrier: Option<u64>,
}

/// What waits until the other process has handled all messages up to a barrier.
pub(super) enum BarrierWaiter {
    /// The callers of these orders, who get their answers then.
    Orders(Vec<PendingOrder>),
    /// The CoAP front, whose state the other process has then.
    CoapFront,
    /// The end of this process.
    Departure,
}

impl PeerLink {
    fn new(
        id: u64,
        is_successor: bool,
        features: PeerFeatures,
        outgoing: mpsc::Sender<MessageBatch>,
    ) -> PeerLink {
        PeerLink {
            id,
            outgoing,
            give_up: Rc::default(),
            is_given_up: false,
            is_successor,
            is_ready: false,
            features,
            told_zone_epoch: 0,
            barriers: BTreeMap::new(),
            last_barrier: 0,
            departure_barrier: None,
        }
    }

    /// Queues messages; false if the queue is full or the link has ended.
    fn send(&mut self, batch: MessageBatch) -> bool {
        self.departure_barrier = None;
        !self.is_given_up && self.outgoing.try_send(batch).is_ok()
    }

    /// Queues messages and a barrier behind them; see [`PeerLink::send`].
    fn send_with_barrier(&mut self, mut batch: MessageBatch, waiter: BarrierWaiter) -> bool {
        self.last_barrier += 1;
        self.barriers.insert(self.last_barrier, waiter);
        batch.push(HandoverMessage::Barrier(self.last_barrier));
        self.send(batch)
    }
}

/// Changes in the form in which they are sent. Each process has its own monotonic clock, so times are sent relative to the
/// time of sending, which is [`WIRE_NOW`] in the message.
fn to_wire(now: Micros, changes: Vec<Change>) -> MessageBatch {
    changes.into_iter().map(|change| HandoverMessage::Write(change.rebased(now, WIRE_NOW))).collect()
}

impl Runtime {
    /// What this process exchanges with another process of its node, beyond writes.
    fn features(&self) -> PeerFeatures {
        PeerFeatures { coap_format: self.coap_transfer_format(), zones: self.fleet.is_some(), ..FEATURES }
    }

    /// The first message to an incumbent.
    pub(super) fn hello(&self) -> HandoverMessage {
        let (name, listen) = (self.config.name.clone(), self.config.listen);
        HandoverMessage::Hello { name, listen, features: self.features() }
    }

    /// Makes this process the successor of a serving incumbent. It takes over the inherited listeners and service state, and
    /// listens once its agent is connected.
    pub(super) fn become_successor(&mut self, inherited: Inherited) {
        self.service.with(|s| s.inherit_order(inherited.order));
        if let Some(zones) = &inherited.zones {
            self.receive_zones(zones);
        }
        for listener in inherited.listeners {
            let address = listener.local_addr();
            if let (Ok(address), Ok(())) = (address, listener.set_nonblocking(true))
                && let Ok(listener) = TcpListener::from_std(listener)
            {
                self.inherited_listeners.push((address, listener));
            }
        }
        let (outgoing, outgoing_receiver) = mpsc::channel(QUEUE_BATCHES);
        let now = process::now();
        if let Some(driver) = &mut self.coap {
            if inherited.features.coap_format != 0 {
                driver.await_incumbent(inherited.coap_socket);
            } else if inherited.features == PeerFeatures::default() {
                // An earlier build passes no front on, and may have one.
                driver.mark_unaccounted(now);
            }
        }
        self.node.set_machine_share(now, MACHINE_SHARE_OF_EACH, &mut self.outputs);
        let known_writes = to_wire(now, self.node.idempotency.start_sharing(now, HandoverRole::Successor));
        let _ = outgoing.try_send(known_writes);
        let link = PeerLink::new(INCUMBENT_LINK, true, inherited.features, outgoing);
        let (give_up, events) = (link.give_up.clone(), self.events.clone());
        self.peer_process = Some(link);
        self.watch_process(INCUMBENT_LINK, inherited.process);
        let exchange = exchange_messages(INCUMBENT_LINK, inherited.link, outgoing_receiver, give_up, events);
        tokio::task::spawn_local(exchange);
    }

    /// Starts to take clients, now that the agent is connected. A successor first sends `Ready` to its incumbent and does
    /// not report itself ready elsewhere before the confirmation, as the incumbent's notice to leave may follow that report
    /// at once.
    pub(super) fn start_taking_clients(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        match &mut self.peer_process {
            Some(link) if link.is_successor && !link.is_ready => {
                link.is_ready = true;
                let _ = link.outgoing.try_send(vec![HandoverMessage::Ready]);
                let events = self.events.clone();
                tokio::task::spawn_local(async move {
                    sleep(PEER_TIMEOUT).await;
                    let _ = events.send(Event::Handover(PeerLinkEvent::ConfirmationTimeout)).await;
                });
            }
            Some(link) if link.is_successor => {}
            _ => self.start_serving()?,
        }
        Ok(())
    }

    /// Handles an event of the link to the other process. Events of earlier links are ignored.
    pub(super) fn handle_peer_link_event(
        &mut self,
        now: Micros,
        event: PeerLinkEvent,
    ) -> Result<(), Box<dyn std::error::Error>> {
        match event {
            PeerLinkEvent::Hello(hello) => self.answer_hello(now, hello),
            PeerLinkEvent::Message(id, message) if self.usable_link().is_some_and(|l| l.id == id) => {
                self.handle_peer_message(now, message)?;
            }
            PeerLinkEvent::LinkEnded(id, reason)
                if self.peer_process.as_ref().is_some_and(|l| l.id == id) =>
            {
                self.peer_link_ended(now, reason)?;
            }
            PeerLinkEvent::ProcessEnded(id) => self.process_ended(id),
            PeerLinkEvent::ConfirmationTimeout if self.has_incumbent() && !self.is_ready() => {
                warn!("the process before this one does not answer; taking clients");
                self.start_serving()?;
            }
            PeerLinkEvent::Message(..)
            | PeerLinkEvent::LinkEnded(..)
            | PeerLinkEvent::ConfirmationTimeout => {}
        }
        Ok(())
    }

    fn has_incumbent(&self) -> bool {
        self.peer_process.as_ref().is_some_and(|link| link.is_successor)
    }

    fn is_ready(&self) -> bool {
        self.service.with(|s| s.is_ready())
    }

    /// Accepts a successor, or rejects it by dropping the way to its welcome.
    fn answer_hello(&mut self, now: Micros, hello: SuccessorHello) {
        let SuccessorHello { link_id, name, listen, features, process, welcome } = hello;
        let is_same_node = name == self.config.name && listen == self.config.listen;
        if is_same_node {
            self.watch_process(link_id, process);
        }
        if self.peer_process.is_some() || self.stop_at.is_some() || !is_same_node {
            return warn!("a successor was rejected: name {name}, same node {is_same_node}");
        }
        info!("an heir is there");
        let (outgoing, outgoing_receiver) = mpsc::channel(QUEUE_BATCHES);
        let known_writes = to_wire(now, self.node.idempotency.start_sharing(now, HandoverRole::Incumbent));
        let _ = outgoing.try_send(known_writes);
        let features = self.features().shared_with(features);
        let link = PeerLink::new(link_id, false, features, outgoing);
        let give_up = link.give_up.clone();
        self.peer_process = Some(link);
        // Later orders and statuses follow the welcome on the link.
        let (order, zones) = (self.service.with(|s| s.order()), self.zones_for_peer());
        let coap = self.coap.as_ref().filter(|_| features.coap_format != 0);
        let _ = welcome.send(Welcome {
            order,
            zones,
            listeners: self.listeners.iter().map(|o| (o.address, o.listener.clone())).collect(),
            coap_socket: coap.and_then(|driver| driver.socket()),
            features,
            outgoing: outgoing_receiver,
            give_up,
        });
    }

    fn handle_peer_message(
        &mut self,
        now: Micros,
        message: HandoverMessage,
    ) -> Result<(), Box<dyn std::error::Error>> {
        match message {
            HandoverMessage::Write(change) => {
                let change = change.rebased(WIRE_NOW, now);
                self.node.handle_input(now, Input::ChangeReceived(change), &mut self.outputs);
            }
            HandoverMessage::Ready => self.successor_ready(now),
            HandoverMessage::TakeoverConfirmed if self.has_incumbent() => self.start_serving()?,
            HandoverMessage::Order(order) => self.receive_order(order),
            HandoverMessage::Zones(zones) => self.receive_zones(&zones),
            HandoverMessage::Barrier(id) => self.send_to_peer(vec![HandoverMessage::BarrierPassed(id)]),
            HandoverMessage::BarrierPassed(id) => self.pass_barrier(id),
            HandoverMessage::CoapPart { is_last, bytes } => self.receive_coap_part(now, is_last, &bytes),
            HandoverMessage::CoapReleased => self.coap_released(),
            HandoverMessage::Hello { .. }
            | HandoverMessage::Welcome { .. }
            | HandoverMessage::Busy
            | HandoverMessage::TakeoverConfirmed => {}
        }
        Ok(())
    }

    fn successor_ready(&mut self, now: Micros) {
        let Some(link) = self.peer_process.as_mut().filter(|link| !link.is_successor) else { return };
        info!("the heir takes clients; a notice to leave replaces this process from here on");
        link.is_ready = true;
        let _ = link.outgoing.try_send(vec![HandoverMessage::TakeoverConfirmed]);
        self.node.set_machine_share(now, MACHINE_SHARE_OF_EACH, &mut self.outputs);
    }

    /// The link has ended; whether the other process has is not known by that.
    fn peer_link_ended(&mut self, now: Micros, reason: &str) -> Result<(), Box<dyn std::error::Error>> {
        let Some(ended) = self.peer_process.take() else { return Ok(()) };
        self.node.handle_input(now, Input::PeerProcessEnded, &mut self.outputs);
        self.node.set_machine_share(now, 1.0, &mut self.outputs);
        let orders = ended.barriers.into_values().filter_map(|waiter| match waiter {
            BarrierWaiter::Orders(callers) => Some(callers),
            BarrierWaiter::CoapFront | BarrierWaiter::Departure => None,
        });
        self.confirm_orders(orders.flatten().collect());
        self.coap_peer_ended(now);
        let other = if ended.is_successor { "process before this one" } else { "successor" };
        info!("the {other} is gone: {reason}");
        if ended.is_successor {
            if self.node.is_started() && self.stop_at.is_none() {
                self.start_serving()?;
            }
            self.await_successors();
        }
        Ok(())
    }

    /// Accepts successors of this process from now on.
    pub(super) fn await_successors(&mut self) {
        if let Some(path) = socket_path(&self.config.name, self.config.listen) {
            tokio::task::spawn_local(accept_successors(path, self.events.clone()));
        }
    }

    /// Sends messages to the other process, if there is one. A link whose queue is full is given up.
    pub(super) fn send_to_peer(&mut self, batch: MessageBatch) {
        if self.peer_process.as_mut().is_some_and(|link| !link.send(batch)) {
            self.give_up_link("the other process takes too little");
        }
    }

    /// Sends messages and a barrier behind them; see [`Runtime::send_to_peer`].
    pub(super) fn send_with_barrier(&mut self, batch: MessageBatch, waiter: BarrierWaiter) {
        if self.peer_process.as_mut().is_some_and(|link| !link.send_with_barrier(batch, waiter)) {
            self.give_up_link("the other process takes too little");
        }
    }

    /// The link to the other process, unless this process has given it up.
    fn usable_link(&self) -> Option<&PeerLink> {
        self.peer_process.as_ref().filter(|link| !link.is_given_up)
    }

    /// Gives up the link to the other process. Nothing is sent or received on it any more, and its end follows as an event, so that
    /// it is handled as any other end of a link.
    pub(super) fn give_up_link(&mut self, reason: &str) {
        if let Some(link) = self.peer_process.as_mut().filter(|link| !link.is_given_up) {
            warn!("the link to the other process of this node is dropped: {reason}");
            link.is_given_up = true;
            link.give_up.notify_one();
        }
    }

    /// Sends the latest changes to writes to the other process, if there is one.
    pub(super) fn send_write_changes(&mut self) {
        if self.peer_process.is_none() {
            return;
        }
        let changes = to_wire(process::now(), self.node.idempotency.take_changes());
        if !changes.is_empty() {
            self.send_to_peer(changes);
        }
    }

    fn pass_barrier(&mut self, id: u64) {
        let waiter = self.peer_process.as_mut().and_then(|link| link.barriers.remove(&id));
        match waiter {
            Some(BarrierWaiter::Orders(callers)) => self.confirm_orders(callers),
            Some(BarrierWaiter::CoapFront) => self.coap_state_received(),
            Some(BarrierWaiter::Departure) | None => {}
        }
    }

    /// Whether the other process, if there is one, has handled all that this process has sent. Asks it if that is not known.
    pub(super) fn is_peer_up_to_date(&mut self) -> bool {
        let Some(link) = self.peer_process.as_mut().filter(|link| link.features.orders) else { return true };
        match link.departure_barrier {
            Some(id) => !link.barriers.contains_key(&id),
            None => {
                let is_sent = link.send_with_barrier(Vec::new(), BarrierWaiter::Departure);
                link.departure_barrier = Some(link.last_barrier);
                if !is_sent {
                    self.give_up_link("the other process takes too little");
                }
                false
            }
        }
    }

    /// Whether there is a successor that can take over the CoAP front.
    pub(super) fn can_pass_coap_on(&self) -> bool {
        self.usable_link().is_some_and(|link| !link.is_successor && link.features.coap_format != 0)
    }

    /// Whether a successor is ready, so that a notice to leave makes this process hand over to it.
    pub(super) fn has_ready_successor(&self) -> bool {
        self.usable_link().is_some_and(|l| !l.is_successor && l.is_ready)
    }

    /// The earliest time at which the platform may kill this process if the notice to leave comes now, whether or not the
    /// process is replaced.
    pub(super) fn earliest_kill(&self, now: Micros) -> Micros {
        let longest_wait = self.settings.get().longest_deadline().min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
        now + Micros::from_millis(self.config.stop_ms).min(longest_wait)
    }

    /// Whether this process is replaced, has no open request and has waited for late ones.
    pub(super) fn has_handed_over(&self, now: Micros) -> bool {
        self.replaced_at.is_some_and(|at| now >= at + LATE_REQUEST_GRACE) && self.node.is_idle()
    }
}
