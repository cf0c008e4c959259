//! The socket of the CoAP front ([`crate::front::coap`]): receives datagrams in batches, and sends them as the socket accepts
//! them.

mod handover;

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use tracing::{info, warn};

use super::{Event, Runtime};
use crate::front::coap::{Coap, Output};
use crate::interface::Micros;
use crate::node::Input;
use crate::time::process;

/// Datagrams received at a time: enough to make the cost of one event small, and few enough that other events are not delayed.
const BATCH_MAX: usize = 64;
/// Largest datagram, bytes. No message of the front is larger; a longer datagram is truncated and then rejected.
const DATAGRAM_MAX: usize = 2_048;
/// Datagrams queued until the socket accepts them. Further ones are dropped, as on any lossy link; the protocol retransmits
/// those that need an acknowledgement.
const SEND_QUEUE_MAX: usize = 1_024;

/// Pause between two attempts to send the queued datagrams.
const SEND_RETRY_INTERVAL: Micros = Micros::from_millis(1);
/// Pause between two attempts to bind the socket.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Which process of the node answers devices, as this one knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ownership {
    /// This process.
    Owner,
    /// This one, the incumbent, until all that it has read is handled.
    StopsReading,
    /// None: the incumbent has sent the front's state and waits until the successor has it.
    AwaitsReceipt,
    /// The successor of this process, or none if it has ended.
    PassedOn,
    /// The incumbent; this process has not got the front's state.
    AwaitsState,
    /// None: this process, the successor, has the state, and the incumbent has not given up the socket.
    AwaitsRelease,
}

/// The CoAP front with its socket and the queue of datagrams to send.
pub(super) struct CoapDriver {
    front: Coap,
    ownership: Ownership,
    /// This process takes clients, so that the socket is to be open if the front is its own.
    is_listening: bool,
    /// A first attempt to bind the socket has failed, most likely as another process of the node had the address.
    was_address_in_use: bool,
    /// None before it is bound and after it is closed.
    socket: Option<Rc<UdpSocket>>,
    /// The incumbent's socket, not read from before the front is taken over.
    inherited_socket: Option<std::net::UdpSocket>,
    /// The front's state has turned out to be too large to pass on, so this process keeps it until it ends.
    is_too_large_to_pass: bool,
    /// The bytes of a transfer from the incumbent that is not complete.
    incoming: Vec<u8>,
    receive_task: Option<JoinHandle<()>>,
    /// Ends the task that receives datagrams.
    stop_reading: Rc<Notify>,
    send_queue: VecDeque<(SocketAddr, Vec<u8>)>,
    /// Datagrams dropped because the queue was full.
    lost: u64,
    /// A reused buffer.
    outputs: Vec<Output>,
}

impl CoapDriver {
    pub fn new(front: Coap) -> CoapDriver {
        CoapDriver {
            front,
            ownership: Ownership::Owner,
            is_listening: false,
            was_address_in_use: false,
            socket: None,
            inherited_socket: None,
            is_too_large_to_pass: false,
            incoming: Vec::new(),
            receive_task: None,
            stop_reading: Rc::default(),
            send_queue: VecDeque::new(),
            lost: 0,
            outputs: Vec::new(),
        }
    }

    /// Waits for the front of the incumbent, with a copy of its socket if that is open.
    pub fn await_incumbent(&mut self, socket: Option<std::net::UdpSocket>) {
        let is_at_address = |s: &std::net::UdpSocket| s.local_addr().ok() == Some(self.front.listen());
        self.inherited_socket = socket.filter(is_at_address);
        self.ownership = Ownership::AwaitsState;
    }

    /// Records that a process of this node may have run writes of which this one knows nothing.
    pub fn mark_unaccounted(&mut self, now: Micros) {
        self.front.mark_unaccounted(now);
    }

    /// The socket, for a successor.
    pub fn socket(&self) -> Option<Rc<UdpSocket>> {
        self.socket.clone()
    }

    /// When the front's next timer is due, or the queued datagrams are to be sent again.
    pub fn next_timeout(&self, now: Micros) -> Option<Micros> {
        let can_flush = self.socket.is_some() && !self.send_queue.is_empty();
        let flush = can_flush.then(|| now + SEND_RETRY_INTERVAL);
        let timer = self.front.deadline().filter(|_| self.runs_timers());
        [timer, flush].into_iter().flatten().min()
    }

    fn runs_timers(&self) -> bool {
        matches!(self.ownership, Ownership::Owner | Ownership::StopsReading)
    }

    /// Starts to receive, if the socket is open.
    fn start_reading(&mut self, events: mpsc::Sender<Event>) {
        if let Some(socket) = self.socket.clone() {
            self.stop_reading = Rc::default();
            let receive = receive_datagrams(socket, self.stop_reading.clone(), events);
            self.receive_task = Some(tokio::task::spawn_local(receive));
        }
    }

    /// Logs the front's counters.
    pub fn log_counters(&self) {
        let (exchanges, open, (uploads, results)) = self.front.holds();
        let counters = self.front.tally;
        info!(
            "coap: exchanges={exchanges} open={open} uploads={uploads} results={results} noise={} rejected={} \
             duplicates={} full={} echoes={} again={} undelivered={} lost={}",
            counters.noise,
            counters.rejected,
            counters.duplicates,
            counters.full,
            counters.echoes,
            counters.again,
            counters.undelivered,
            self.lost
        );
    }

    fn enqueue(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        if self.send_queue.len() >= SEND_QUEUE_MAX {
            self.lost += 1;
            return;
        }
        self.send_queue.push_back((to, bytes));
    }

    /// Sends queued datagrams until the socket accepts no more. Without a socket they wait for the one of the incumbent, or are
    /// dropped.
    fn flush(&mut self) {
        let Some(socket) = &self.socket else {
            if self.ownership != Ownership::AwaitsRelease {
                self.send_queue.clear();
            }
            return;
        };
        while let Some((to, bytes)) = self.send_queue.front() {
            match socket.try_send_to(bytes, *to) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // An error for an unreachable peer is ignored: the peer is handled like one that does not answer.
                _ => _ = self.send_queue.pop_front(),
            }
        }
    }
}

/// Receives datagrams in batches for as long as the socket lives. The event queue is bounded; while it is full, datagrams
/// wait in the system's receive buffer, and the system drops those that exceed it.
async fn receive_datagrams(socket: Rc<UdpSocket>, stop: Rc<Notify>, events: mpsc::Sender<Event>) {
    let mut buffer = [0; DATAGRAM_MAX];
    loop {
        let readable = tokio::select! {
            biased;
            () = stop.notified() => break,
            readable = socket.readable() => readable,
        };
        if readable.is_err() {
            break;
        }
        let mut batch = Vec::new();
        while batch.len() < BATCH_MAX
            && let Ok((n, from)) = socket.try_recv_from(&mut buffer)
        {
            batch.push((from, Bytes::copy_from_slice(&buffer[..n])));
        }
        if !batch.is_empty() && events.send(Event::Datagrams(batch)).await.is_err() {
            return;
        }
    }
    drop(socket);
    let _ = events.send(Event::CoapReadingStopped).await;
}

impl Runtime {
    /// Opens the front's socket, if there is a CoAP front, from now on; at once if the front is this process's own.
    pub(super) fn listen_for_devices(&mut self) {
        if let Some(driver) = &mut self.coap {
            driver.is_listening = true;
            self.open_coap_if_listening();
        }
    }

    /// Opens the front's socket if this process takes clients and owns the front: the incumbent's socket, or one that is bound
    /// here. While another process of the node has the address, binding fails and is retried: two processes that shared the
    /// address would each receive only part of each exchange.
    pub(super) fn open_coap_if_listening(&mut self) {
        let (Some(driver), events) = (&mut self.coap, self.events.clone()) else { return };
        if driver.socket.is_some() || !driver.is_listening || driver.ownership != Ownership::Owner {
            return;
        }
        let address = driver.front.listen();
        let inherited = driver.inherited_socket.take();
        let bound = inherited.map_or_else(|| std::net::UdpSocket::bind(address), Ok).and_then(|socket| {
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        });
        match bound {
            Ok(socket) => {
                if std::mem::take(&mut driver.was_address_in_use) {
                    // The process that had the address may have run writes until it closed its socket.
                    driver.front.mark_unaccounted(process::now());
                }
                driver.socket = Some(Rc::new(socket));
                driver.start_reading(events);
                driver.flush();
            }
            Err(e) => {
                driver.was_address_in_use = true;
                warn!("coap {address}: {e}; trying again");
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(BIND_RETRY_INTERVAL).await;
                    let _ = events.send(Event::RetryCoapBind).await;
                });
            }
        }
    }

    /// Passes the front on to a successor that can take it, or sends the queued datagrams and closes the socket: all exchanges are
    /// answered by now.
    pub(super) fn close_coap(&mut self) {
        if self.pass_coap_on() {
            return;
        }
        if let Some(driver) = self.coap.as_mut().filter(|d| d.ownership == Ownership::Owner) {
            if let Some(task) = driver.receive_task.take() {
                task.abort();
            }
            driver.flush();
            driver.socket = None;
        }
    }

    /// Passes received datagrams to the front.
    pub(super) fn handle_datagrams(&mut self, now: Micros, batch: Vec<(SocketAddr, Bytes)>) {
        for (from, bytes) in batch {
            self.with_coap(now, |front, out| front.receive(now, from, &bytes, out));
        }
    }

    /// Runs the front's due timers and sends the queued datagrams.
    pub(super) fn run_coap_timers(&mut self) {
        let now = process::now();
        if self.coap.as_ref().is_some_and(CoapDriver::runs_timers) {
            self.with_coap(now, |front, out| front.sweep(now, out));
        }
        if let Some(driver) = &mut self.coap {
            driver.flush();
        }
    }

    /// Calls a function with the front and carries out the outputs that it adds.
    fn with_coap(&mut self, now: Micros, f: impl FnOnce(&mut Coap, &mut Vec<Output>)) {
        let Some(driver) = &mut self.coap else { return };
        let mut outputs = std::mem::take(&mut driver.outputs);
        f(&mut driver.front, &mut outputs);
        for output in outputs.drain(..) {
            match output {
                Output::Send(to, bytes) => {
                    if let Some(driver) = &mut self.coap {
                        driver.enqueue(to, bytes);
                    }
                }
                Output::ToCore(Input::RequestReceived(origin, request)) => {
                    let request = self.plan_request(request);
                    self.node.handle_input(now, Input::RequestReceived(origin, request), &mut self.outputs);
                }
                Output::ToCore(input) => self.node.handle_input(now, input, &mut self.outputs),
            }
        }
        if let Some(driver) = &mut self.coap {
            driver.outputs = outputs;
        }
    }
}
