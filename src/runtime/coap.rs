//! The socket of the CoAP front ([`crate::front::coap`]): receives datagrams in batches, and sends them as the socket accepts
//! them.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tracing::{info, warn};

use super::{Event, Runtime};
use crate::front::coap::{Coap, Output};
use crate::interface::Micros;
use crate::node::{Answer, Input};
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

/// The CoAP front with its socket and the queue of datagrams to send.
pub(super) struct CoapDriver {
    front: Coap,
    /// None before it is bound and after it is closed.
    socket: Option<Rc<UdpSocket>>,
    receive_task: Option<JoinHandle<()>>,
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
            socket: None,
            receive_task: None,
            send_queue: VecDeque::new(),
            lost: 0,
            outputs: Vec::new(),
        }
    }

    /// When the front's next timer is due, or the queued datagrams are to be sent again.
    pub fn next_timeout(&self, now: Micros) -> Option<Micros> {
        let flush = (!self.send_queue.is_empty()).then(|| now + SEND_RETRY_INTERVAL);
        [self.front.deadline(), flush].into_iter().flatten().min()
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

    /// Sends queued datagrams until the socket accepts no more. Drops them if there is no socket.
    fn flush(&mut self) {
        let Some(socket) = &self.socket else { return self.send_queue.clear() };
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
async fn receive_datagrams(socket: Rc<UdpSocket>, events: mpsc::Sender<Event>) {
    let mut buffer = [0; DATAGRAM_MAX];
    loop {
        if socket.readable().await.is_err() {
            return;
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
}

impl Runtime {
    /// Binds the front's socket, if there is a CoAP front. While another process of the node has the address, binding fails and
    /// is retried: two processes that shared the address would each receive only part of each exchange.
    pub(super) fn open_coap(&mut self) {
        let (Some(driver), events) = (&mut self.coap, self.events.clone()) else { return };
        if driver.socket.is_some() {
            return;
        }
        let address = driver.front.listen();
        let bound = std::net::UdpSocket::bind(address).and_then(|socket| {
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        });
        match bound {
            Ok(socket) => {
                let socket = Rc::new(socket);
                driver.receive_task =
                    Some(tokio::task::spawn_local(receive_datagrams(socket.clone(), events)));
                driver.socket = Some(socket);
            }
            Err(e) => {
                warn!("coap {address}: {e}; trying again");
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(BIND_RETRY_INTERVAL).await;
                    let _ = events.send(Event::RetryCoapBind).await;
                });
            }
        }
    }

    /// Sends the queued datagrams and closes the socket. All exchanges are answered by now, and acknowledgements that arrive
    /// later are not needed.
    pub(super) fn close_coap(&mut self) {
        if let Some(driver) = &mut self.coap {
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

    /// Passes the answer to the request with this number to the front.
    pub(super) fn answer_coap(&mut self, now: Micros, number: u64, answer: &Answer) {
        self.with_coap(now, |front, out| front.answer(now, number, answer, out));
    }

    /// Runs the front's due timers and sends the queued datagrams.
    pub(super) fn run_coap_timers(&mut self) {
        let now = process::now();
        self.with_coap(now, |front, out| front.sweep(now, out));
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
