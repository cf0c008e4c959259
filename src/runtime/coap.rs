//! The socket of the CoAP front ([`crate::front::coap`]): datagrams in, in batches; datagrams out, as the socket takes them.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

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

/// Datagrams that are taken in at a time: as many as make one turn worth while, and leave others their turn.
const BATCH: usize = 64;
/// The largest datagram that is read; no message of the front is larger, and what is longer is cut and then refused.
const LARGEST: usize = 2_048;
/// Datagrams that wait for the socket to take them. Beyond that they are lost, as on any link; what matters is sent again.
const WAITING: usize = 1_024;

pub(super) struct Driver {
    front: Coap,
    socket: Option<Rc<UdpSocket>>,
    reading: Option<JoinHandle<()>>,
    waiting: VecDeque<(SocketAddr, Vec<u8>)>,
    /// Datagrams that found no room.
    lost: u64,
    out: Vec<Output>,
}

impl Driver {
    pub fn new(front: Coap) -> Driver {
        Driver { front, socket: None, reading: None, waiting: VecDeque::new(), lost: 0, out: Vec::new() }
    }

    /// When the front is to be swept, or the socket to be tried again.
    pub fn deadline(&self, now: Micros) -> Option<Micros> {
        let flush = (!self.waiting.is_empty()).then(|| now + Micros::from_millis(1));
        [self.front.deadline(), flush].into_iter().flatten().min()
    }

    pub fn print(&self) {
        let (exchanges, open, (uploads, results)) = self.front.holds();
        let t = self.front.tally;
        info!(
            "coap: exchanges={exchanges} open={open} uploads={uploads} results={results} noise={} rejected={} \
             duplicates={} full={} echoes={} again={} undelivered={} lost={}",
            t.noise, t.rejected, t.duplicates, t.full, t.echoes, t.again, t.undelivered, self.lost
        );
    }

    fn send(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        if self.waiting.len() >= WAITING {
            self.lost += 1;
            return;
        }
        self.waiting.push_back((to, bytes));
    }

    fn flush(&mut self) {
        let Some(socket) = &self.socket else { return self.waiting.clear() };
        while let Some((to, bytes)) = self.waiting.front() {
            match socket.try_send_to(bytes, *to) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // A peer that can't be reached is like one that does not answer.
                _ => _ = self.waiting.pop_front(),
            }
        }
    }
}

/// Reads datagrams in batches for as long as the socket lives. The core's queue is bounded; while it is full, the system
/// drops what it has no room for.
async fn read(socket: Rc<UdpSocket>, events: mpsc::Sender<Event>) {
    let mut buffer = [0; LARGEST];
    loop {
        if socket.readable().await.is_err() {
            return;
        }
        let mut batch = Vec::new();
        while batch.len() < BATCH
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
    /// Binds the front's socket, where there is one to bind. Another process of the node that still has it keeps it: two that
    /// share it would each know half of the exchanges.
    pub(super) fn open_coap(&mut self) {
        let (Some(driver), events) = (&mut self.coap, self.events.clone()) else { return };
        if driver.socket.is_some() {
            return;
        }
        let at = driver.front.listen();
        let bound = std::net::UdpSocket::bind(at).and_then(|s| {
            s.set_nonblocking(true)?;
            UdpSocket::from_std(s)
        });
        match bound {
            Ok(socket) => {
                let socket = Rc::new(socket);
                driver.reading = Some(tokio::task::spawn_local(read(socket.clone(), events)));
                driver.socket = Some(socket);
            }
            Err(e) => {
                warn!("coap {at}: {e}; trying again");
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
                    let _ = events.send(Event::OpenCoap).await;
                });
            }
        }
    }

    /// Takes nothing more in; what is open is answered, and acknowledgements no longer matter.
    pub(super) fn close_coap(&mut self) {
        if let Some(driver) = &mut self.coap {
            if let Some(task) = driver.reading.take() {
                task.abort();
            }
            driver.flush();
            driver.socket = None;
        }
    }

    pub(super) fn datagrams(&mut self, now: Micros, batch: Vec<(SocketAddr, Bytes)>) {
        for (from, bytes) in batch {
            self.coap(now, |front, out| front.receive(now, from, &bytes, out));
        }
    }

    pub(super) fn answer_coap(&mut self, now: Micros, number: u64, answer: &Answer) {
        self.coap(now, |front, out| front.answer(now, number, answer, out));
    }

    pub(super) fn sweep_coap(&mut self) {
        let now = process::now();
        self.coap(now, |front, out| front.sweep(now, out));
        if let Some(driver) = &mut self.coap {
            driver.flush();
        }
    }

    fn coap(&mut self, now: Micros, f: impl FnOnce(&mut Coap, &mut Vec<Output>)) {
        let Some(driver) = &mut self.coap else { return };
        let mut out = std::mem::take(&mut driver.out);
        f(&mut driver.front, &mut out);
        for output in out.drain(..) {
            match output {
                Output::Send(to, bytes) => {
                    if let Some(driver) = &mut self.coap {
                        driver.send(to, bytes);
                    }
                }
                Output::ToCore(Input::RequestReceived(origin, ask)) => {
                    let ask = self.planned(ask);
                    self.node.handle_input(now, Input::RequestReceived(origin, ask), &mut self.outputs);
                }
                Output::ToCore(input) => self.node.handle_input(now, input, &mut self.outputs),
            }
        }
        if let Some(driver) = &mut self.coap {
            driver.out = out;
        }
    }
}
