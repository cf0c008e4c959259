//! The control address: accepts its connections and answers a call on each.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::{info, warn};

use super::fleet::Fleet;
use crate::console::{Answer, Call, Console, Fault};
use crate::log::LogRateLimiter;
use crate::service::{Service, ServiceOrder};

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

/// Time limit for the other process of the node to confirm an order: shorter than a caller waits.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(800);

/// How far an order has reached that this process has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderReach {
    /// It is in force in all processes of the node that run.
    Node,
    /// The node's other process is of a build that can't be told of orders.
    ThisProcess,
}

/// An order that is in force in this process and whose caller waits for its answer.
pub(super) type PendingOrder = oneshot::Sender<OrderReach>;

/// The service state, shared by the event loop and the console.
#[derive(Clone, Default)]
pub(super) struct SharedService {
    service: Rc<RefCell<Service>>,
    order_notify: Rc<Notify>,
    /// Orders of which the event loop has not told the node's other process yet. At most one for each connection.
    new_orders: Rc<RefCell<Vec<PendingOrder>>>,
    /// Counts the orders without an answer: each holds a clone.
    unanswered_orders: Rc<()>,
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

    /// The orders that the node's other process has to be told of.
    pub fn take_new_orders(&self) -> Vec<PendingOrder> {
        self.new_orders.take()
    }

    /// Whether an order waits for its answer.
    pub fn has_unanswered_order(&self) -> bool {
        Rc::strong_count(&self.unanswered_orders) > 1
    }

    /// Applies an order to this process, and answers once every other process of the node that runs has it in force too: each of
    /// them may answer for the node, and go on to do so alone.
    async fn carry_out_order(&self, order: ServiceOrder) -> Answer {
        if let Err(refusal) = self.with(|s| s.apply_order(order)) {
            warn!("console: {order:?} not carried out: {refusal}");
            return Answer::failure(409, refusal.to_string());
        }
        let (revision, state) = self.with(|s| (s.order().revision, s.state()));
        info!(revision, "console: {order:?}");
        let (confirm, confirmed) = oneshot::channel();
        self.new_orders.borrow_mut().push(confirm);
        self.order_notify.notify_one();
        match timeout(CONFIRMATION_TIMEOUT, confirmed).await {
            Ok(Ok(OrderReach::Node)) => Answer::success(format!("{state:?}")),
            Ok(Ok(OrderReach::ThisProcess)) => {
                warn!(revision, "console: {order:?} in force in this process only");
                Answer::failure(
                    503,
                    "in force in this process only: the node's other process is of an earlier build and has to be ordered too",
                )
            }
            Ok(Err(_)) | Err(_) => {
                warn!(revision, "console: {order:?} not confirmed by another process of this node");
                Answer::failure(
                    503,
                    "in force in this process; another process of the node has not confirmed it: give the order again, or order that one too",
                )
            }
        }
    }

    /// Answers a call.
    async fn answer(&self, call: Call) -> Answer {
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
            Call::Order(order) => self.carry_out_order(order).await,
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
    // Held until the answer is sent, so that the process does not end before it.
    let unanswered = matches!(call, Ok(Call::Order(_))).then(|| shared.unanswered_orders.clone());
    let answer = match call {
        Ok(call) => shared.answer(call).await,
        Err(fault) => Answer::from(fault),
    };
    let send_answer = async {
        stream.write_all(&answer.bytes()).await?;
        stream.shutdown().await?;
        drop(unanswered);
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
