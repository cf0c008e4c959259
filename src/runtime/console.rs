//! The control address: accepts its connections and answers a call on each.

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

/// Connections at a time: a few operators and the platform's checks. At this bound the oldest is closed for a new one.
const CONNECTIONS_MAX: usize = 16;
/// Descriptors reserved for the console, so that it answers when the node has used all others.
const RESERVED_DESCRIPTORS: usize = 4;
/// Time limit for receiving a complete call: longer than any caller waits, and short enough that silent connections do not
/// accumulate.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time limit for sending an answer and for the peer's close after it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that are read and discarded after a call that has been answered.
const DISCARDED_BYTES_MAX: usize = 64 << 10;

/// Pause after a failure to accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The service state, shared by the event loop and the console.
#[derive(Clone, Default)]
pub(super) struct SharedService {
    service: Rc<RefCell<Service>>,
    order_notify: Rc<Notify>,
    fleet: Rc<RefCell<Option<Rc<Fleet>>>>,
}

impl SharedService {
    /// Sets the fleet that this process belongs to, so that the console answers calls about it.
    pub fn set_fleet(&self, fleet: Rc<Fleet>) {
        self.fleet.replace(Some(fleet));
    }

    /// Calls a function with the service state.
    pub fn with<T>(&self, f: impl FnOnce(&mut Service) -> T) -> T {
        f(&mut self.service.borrow_mut())
    }

    /// Waits until the console has applied an order.
    pub async fn order_applied(&self) {
        self.order_notify.notified().await;
    }

    /// Answers a call. An order is applied before it is answered, not in a later iteration of the event loop.
    fn answer(&self, call: Call) -> Answer {
        match call {
            Call::Ready => {
                let (is_ready, state) = self.with(|s| (s.is_ready(), s.state()));
                if is_ready {
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
                    self.order_notify.notify_one();
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

/// Duplicates of the console's listener. Each occupies a descriptor that can be freed for a connection of the console.
struct ReservedDescriptors {
    listener: Rc<TcpListener>,
    copies: RefCell<Vec<socket2::Socket>>,
}

impl ReservedDescriptors {
    /// Reserves descriptors up to [`RESERVED_DESCRIPTORS`], or as many as the system grants.
    fn fill(&self) {
        let mut copies = self.copies.borrow_mut();
        while copies.len() < RESERVED_DESCRIPTORS
            && let Ok(copy) = socket2::SockRef::from(&*self.listener).try_clone()
        {
            copies.push(copy);
        }
    }

    /// Frees one descriptor. False if none is reserved.
    fn release(&self) -> bool {
        self.copies.borrow_mut().pop().is_some()
    }
}

/// Answers calls for as long as the process lives. Each connection has its own task, so that a silent connection does not delay
/// others.
pub(super) async fn serve(listener: TcpListener, shared: SharedService) {
    let log_limiter = LogRateLimiter::default();
    let mut open: VecDeque<JoinHandle<()>> = VecDeque::new();
    let listener = Rc::new(listener);
    let reserved = Rc::new(ReservedDescriptors { listener: listener.clone(), copies: RefCell::default() });
    reserved.fill();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                open.retain(|task| !task.is_finished());
                if open.len() >= CONNECTIONS_MAX
                    && let Some(oldest) = open.pop_front()
                {
                    oldest.abort();
                }
                let (shared, reserved) = (shared.clone(), reserved.clone());
                open.push_back(tokio::task::spawn_local(async move {
                    serve_connection(stream, shared).await;
                    // The connection's descriptor has just been freed, and no other task has run and could have taken it.
                    reserved.fill();
                }));
            }
            // Most likely no descriptor is free. A reserved one is freed, and the immediate retry can use it.
            Err(_) if reserved.release() => {}
            Err(e) => {
                if let Some(suppressed) = log_limiter.permit() {
                    warn!(suppressed, "console: accept: {e}");
                }
                sleep(ACCEPT_RETRY_INTERVAL).await;
                reserved.fill();
            }
        }
    }
}

/// Reads one call, answers it and closes the connection.
async fn serve_connection(mut stream: TcpStream, shared: SharedService) {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let _ = stream.set_nodelay(true);
    let mut console = Console::default();
    let mut buffer = [0; 1024];
    let call = loop {
        match timeout_at(deadline, stream.read(&mut buffer)).await {
            Err(_) => break Err(Fault::TimedOut),
            Ok(Err(_)) => return,
            Ok(Ok(0)) => match console.ended() {
                Some(fault) => break Err(fault),
                None => return,
            },
            Ok(Ok(n)) => {
                if let Some(call) = console.feed(&buffer[..n]) {
                    break call;
                }
            }
        }
    };
    let answer = call.map_or_else(Answer::from, |call| shared.answer(call));
    let send_answer = async {
        stream.write_all(&answer.bytes()).await?;
        stream.shutdown().await?;
        // Closing with unread bytes would send a reset, and the peer could lose the answer.
        let mut remaining = DISCARDED_BYTES_MAX;
        while remaining > 0 {
            match stream.read(&mut buffer).await? {
                0 => break,
                n => remaining = remaining.saturating_sub(n),
            }
        }
        Ok::<(), std::io::Error>(())
    };
    let _ = timeout(ANSWER_TIMEOUT, send_answer).await;
}
