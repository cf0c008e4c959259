//! The control address: where its connections come in, and the driver of each.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::{info, warn};

use super::fleet::Fleet;
use crate::console::{Answer, Call, Console, Fault};
use crate::log::LogRateLimiter;
use crate::service::Service;

/// Connections at a time: a few operators and the platform's checks. The eldest makes room for one more.
const ROOM: usize = 16;
/// Descriptors held back for the console, so that it answers when the node has used up all others.
const HELD_BACK: usize = 4;
/// How long a call may take to be whole: longer than any caller waits, short enough that silent ones do not pile up.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// How long an answer may take to be taken, and the peer's close behind it.
const LAST_WORDS: Duration = Duration::from_secs(1);
/// Bytes that are read off behind a call that is answered already.
const LINGER_MAX: usize = 64 << 10;

/// The service state, as the core's task and the console share it.
#[derive(Clone, Default)]
pub(super) struct Shared {
    service: Rc<RefCell<Service>>,
    bell: Rc<Notify>,
    fleet: Rc<RefCell<Option<Rc<Fleet>>>>,
}

impl Shared {
    /// The fleet that this process belongs to.
    pub fn join(&self, fleet: Rc<Fleet>) {
        self.fleet.replace(Some(fleet));
    }

    /// Asks or tells the service state.
    pub fn with<T>(&self, f: impl FnOnce(&mut Service) -> T) -> T {
        f(&mut self.service.borrow_mut())
    }

    /// Waits for an order of the console.
    pub async fn rung(&self) {
        self.bell.notified().await;
    }

    /// Answers a call. An order is in force with its answer, not a turn of the core later.
    fn answer(&self, call: Call) -> Answer {
        match call {
            Call::Ready => {
                let (ready, state) = self.with(|s| (s.is_ready(), s.state()));
                if ready {
                    Answer::success(format!("{state:?}"))
                } else {
                    Answer::failure(503, format!("{state:?}"))
                }
            }
            Call::Fleet => match &*self.fleet.borrow() {
                Some(fleet) => Answer::success(fleet.status_report().to_string()),
                None => Answer::failure(404, "this process belongs to no fleet"),
            },
            Call::Catalog => match self.fleet.borrow().as_ref().and_then(|f| f.version_report()) {
                Some(version) => Answer::success(version.to_string()),
                None => Answer::failure(404, "this process's fleet agrees on no configuration"),
            },
            Call::Zone(order, zone) => match &*self.fleet.borrow() {
                Some(fleet) if fleet.send_zone_order(&zone, order) => {
                    info!("console: {order:?} {zone}");
                    Answer::success("the keepers are asked")
                }
                _ => Answer::failure(404, "this process knows of no zones"),
            },
            Call::Order(order) => match self.with(|s| s.apply_order(order)) {
                Ok(()) => {
                    info!("console: {order:?}");
                    self.bell.notify_one();
                    Answer::success(format!("{:?}", self.with(|s| s.state())))
                }
                Err(refusal) => {
                    warn!("console: {order:?} not carried out: {refusal}");
                    Answer::failure(409, refusal.to_string())
                }
            },
        }
    }
}

/// Copies of the console's own listener that hold descriptors back for its connections.
struct HeldBack {
    listener: Rc<TcpListener>,
    copies: RefCell<Vec<socket2::Socket>>,
}

impl HeldBack {
    /// Holds back as many as are to be, or as the system still gives.
    fn fill(&self) {
        let mut copies = self.copies.borrow_mut();
        while copies.len() < HELD_BACK
            && let Ok(copy) = socket2::SockRef::from(&*self.listener).try_clone()
        {
            copies.push(copy);
        }
    }

    /// Lets go of one; false where there is none.
    fn release(&self) -> bool {
        self.copies.borrow_mut().pop().is_some()
    }
}

/// Answers calls for as long as the process lives. Each connection has a task of its own, so that one that says nothing
/// holds up nobody.
pub(super) async fn listen(listener: TcpListener, shared: Shared) {
    let seldom = LogRateLimiter::default();
    let mut open: VecDeque<JoinHandle<()>> = VecDeque::new();
    let listener = Rc::new(listener);
    let held_back = Rc::new(HeldBack { listener: listener.clone(), copies: RefCell::default() });
    held_back.fill();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                open.retain(|t| !t.is_finished());
                if open.len() >= ROOM
                    && let Some(eldest) = open.pop_front()
                {
                    eldest.abort();
                }
                let (shared, held_back) = (shared.clone(), held_back.clone());
                open.push_back(tokio::task::spawn_local(async move {
                    talk(stream, shared).await;
                    // Its descriptor is free at this moment, and nobody else has had a turn to take it.
                    held_back.fill();
                }));
            }
            // Most likely out of descriptors. One that was held back goes, and accepting again at once finds it free.
            Err(_) if held_back.release() => {}
            Err(e) => {
                if let Some(held) = seldom.permit() {
                    warn!(held, "console: accept: {e}");
                }
                sleep(Duration::from_millis(20)).await;
                held_back.fill();
            }
        }
    }
}

async fn talk(mut stream: TcpStream, shared: Shared) {
    let by = Instant::now() + PATIENCE;
    let _ = stream.set_nodelay(true);
    let mut console = Console::default();
    let mut buffer = [0; 1024];
    let said = loop {
        match timeout_at(by, stream.read(&mut buffer)).await {
            Err(_) => break Err(Fault::TimedOut),
            Ok(Err(_)) => return,
            Ok(Ok(0)) => match console.ended() {
                Some(fault) => break Err(fault),
                None => return,
            },
            Ok(Ok(n)) => {
                if let Some(said) = console.feed(&buffer[..n]) {
                    break said;
                }
            }
        }
    };
    let answer = said.map_or_else(Answer::from, |call| shared.answer(call));
    let words = async {
        stream.write_all(&answer.bytes()).await?;
        stream.shutdown().await?;
        // What is still coming in would turn the close into a reset that takes the answer with it.
        let mut most = LINGER_MAX;
        while most > 0 {
            match stream.read(&mut buffer).await? {
                0 => break,
                n => most = most.saturating_sub(n),
            }
        }
        Ok::<(), std::io::Error>(())
    };
    let _ = timeout(LAST_WORDS, words).await;
}
