//! The thin driver between a front's state machine and its socket.
//!
//! It has no clock of its own: what is late, too slow or in the way is the door's to say ([`crate::door`]). A sender
//! that the door lets rest has its socket taken off the system's list of things to watch, so that no byte of it wakes
//! anybody until the door has it looked at.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, timeout};
use tokio_util::codec::Decoder;

use crate::door::{
    ConnectionAdmission, ConnectionCommand, ConnectionId, ConnectionReport, READ_CHUNK_BYTES, ReadInstruction,
};
use crate::end::End;
use crate::front::Wire;
use crate::front::socket::Stream;
use crate::front::{Out, Reply, Session};
use crate::interface::Micros;
use crate::node::Input;
use crate::stream::is_transient;
use crate::time::process;

/// How long a peer may take to read its last words.
const LAST_WORDS: Duration = Duration::from_secs(5);
/// Bytes that are read off after the last words at the most: who goes on sending is not waited for.
const LINGER_MAX: usize = 256 << 10;
/// Times that a connection is looked at once more before this side closes it, at the most: who goes on asking where it
/// has been told not to would else never be closed.
const LAST_LOOKS: u32 = 16;
/// The pause behind a call that failed in passing, and how many of them in a row a connection bears: a second of them.
const FAILURE_PAUSE: Duration = Duration::from_millis(5);
const FAILURES_MAX: u32 = 200;

/// What a connection tells the runtime.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// Something happened on it.
    Input(Input),
    /// It is over.
    Closed {
        /// Its front.
        wire: Wire,
        /// The connection.
        conn: u64,
        /// Why.
        end: End,
    },
}

/// The door, as all connections' drivers and the runtime share it.
#[derive(Clone)]
pub struct SharedAdmission {
    door: Rc<RefCell<ConnectionAdmission>>,
    /// Rings when the door wants to be swept sooner than the runtime thinks.
    bell: Rc<Notify>,
    /// Where bytes are read to before it is known whose they are; one for all.
    scratch: Rc<RefCell<Vec<u8>>>,
}

impl SharedAdmission {
    /// Before this door.
    pub fn new(door: ConnectionAdmission) -> SharedAdmission {
        SharedAdmission {
            door: Rc::new(RefCell::new(door)),
            bell: Rc::default(),
            scratch: Rc::new(RefCell::new(vec![0; READ_CHUNK_BYTES])),
        }
    }

    /// Asks or tells the door.
    pub fn with<T>(&self, f: impl FnOnce(&mut ConnectionAdmission) -> T) -> T {
        let mut door = self.door.borrow_mut();
        let told = f(&mut door);
        if door.needs_earlier_sweep() {
            self.bell.notify_one();
        }
        told
    }

    /// How long until the door is to be swept.
    pub fn time_until_sweep(&self) -> Micros {
        self.door.borrow_mut().time_until_sweep()
    }

    /// Waits until the door wants to be swept sooner than it said.
    pub async fn earlier_sweep_needed(&self) {
        self.bell.notified().await;
    }
}

/// One connection: its state machine, its socket, and a buffer a direction.
struct Conn<S: Session> {
    id: ConnectionId,
    session: S,
    codec: S::Codec,
    stream: Stream,
    input: BytesMut,
    out: Out,
    doorman: SharedAdmission,
    owed_max: usize,
    /// The socket has been looked at since the last report.
    looked: bool,
    /// There is something to read and no room for it.
    blocked: bool,
    /// Since the last report to the door.
    fresh: usize,
    parts: usize,
    whole: usize,
    asked: usize,
    answered: usize,
    reported_taken: u64,
    /// When something was last said in either direction.
    traffic: Instant,
    /// The peer has said all that it will.
    ended: bool,
    /// And that is no reason to leave.
    deaf: bool,
    /// To close when all is answered, as it has served its purpose.
    finishing: bool,
    /// The same, as the process leaves: what has come in by then is answered too.
    leaving: bool,
    /// Reading is over for this reason, and the connection is once all that was read is answered and sent.
    settled: Option<End>,
    /// Somebody wants it closed for this reason; what has come in meanwhile may speak against that.
    wanted: Option<End>,
    /// Looks that may still be taken before it is closed.
    last_looks: u32,
    /// Calls that failed in passing, since the last that went well.
    failures: u32,
    /// The next one waits a moment.
    paused: bool,
}

/// Carries one connection from its first byte to its end.
///
/// Reading stops, and the peer is slowed by TCP, while too much is owed to it; the rest of the node goes on.
pub async fn serve<S: Session, E: From<ConnectionEvent>>(
    (wire, id): (Wire, ConnectionId),
    stream: TcpStream,
    session: S,
    codec: S::Codec,
    events: mpsc::Sender<E>,
    replies: mpsc::Receiver<Reply>,
    (doorman, linger): (SharedAdmission, Duration),
) {
    let _ = stream.set_nodelay(true);
    let mut conn = Conn {
        id,
        session,
        codec,
        stream: Stream::Live(stream),
        input: BytesMut::new(),
        out: Out::new(),
        owed_max: doorman.with(|d| d.unsent_max()),
        doorman: doorman.clone(),
        looked: false,
        blocked: false,
        fresh: 0,
        parts: 0,
        whole: 0,
        asked: 0,
        answered: 0,
        reported_taken: 0,
        traffic: Instant::now(),
        ended: false,
        deaf: false,
        finishing: false,
        leaving: false,
        failures: 0,
        paused: false,
        settled: None,
        wanted: None,
        last_looks: LAST_LOOKS,
    };
    let end = conn.carry(&events, replies).await;
    doorman.with(|d| d.connection_closed(process::now(), id, 0));
    // The runtime hears of the end before the last bytes are sent off: whoever waited on it waits no longer.
    let _ = events.send(ConnectionEvent::Closed { wire, conn: id.0, end }.into()).await;
    let undelivered = conn.part(end, linger).await;
    doorman.with(|d| d.counters.undelivered += undelivered);
}

impl<S: Session> Conn<S> {
    async fn carry<E: From<ConnectionEvent>>(
        &mut self,
        events: &mpsc::Sender<E>,
        mut replies: mpsc::Receiver<Reply>,
    ) -> End {
        loop {
            if let Some(end) = self.messages(events).await {
                return end;
            }
            if let Some(end) = self.send() {
                return end;
            }
            if let Some(end) = self.wanted.take().filter(|end| self.goes(*end)) {
                return end;
            }
            let over = self.over();
            if let Some(end) = over.or(self.finishing.then_some(End::Finished))
                && self.quiet()
            {
                return end;
            }
            if self.leaving && self.quiet() {
                if self.last_looks == 0 || !self.look_once_more() {
                    return End::Finished;
                }
                self.last_looks -= 1;
                continue;
            }
            let held_back = self.deaf || over.is_some() || self.out.len() >= self.owed_max;
            let reading = match self.report(held_back) {
                ReadInstruction::Close(end) if self.quiet() || end == End::Crowded => return end,
                ReadInstruction::Close(end) => {
                    self.settle(end);
                    false
                }
                ReadInstruction::Read => !held_back,
                ReadInstruction::Pause => false,
            };
            match (reading, self.quiet() && !held_back) {
                (true, _) => self.stream.wake(),
                (false, true) => self.stream.rest(),
                (false, false) => {}
            }
            let sending = !self.out.is_empty();
            if std::mem::take(&mut self.paused) {
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
            let reply = tokio::select! {
                biased;
                reply = replies.recv() => Some(reply),
                () = self.stream.ready(reading, sending) => None,
            };
            let looking = match reply {
                None => reading,
                // The runtime let go of the connection.
                Some(None) => return End::Stalled,
                Some(Some(reply)) => {
                    let mut look = self.hear(reply);
                    while let Ok(more) = replies.try_recv() {
                        look |= self.hear(more);
                    }
                    look && !held_back
                }
            };
            if looking && let Some(end) = self.take_in() {
                return end;
            }
        }
    }

    /// Nothing is owed to the peer.
    fn quiet(&self) -> bool {
        self.out.is_empty() && self.session.open() == 0
    }

    /// Why nothing more is read, if so.
    fn over(&self) -> Option<End> {
        self.session.over().or(self.settled)
    }

    /// Whether a connection that is to be closed is, now that what had come in by then has been read. Who has asked
    /// meanwhile stays; who was only silent stays for the first byte, who was too slow or in the way for a whole message.
    /// What was read whole before is answered first.
    fn goes(&mut self, end: End) -> bool {
        let begun = self.session.midway() || !self.input.is_empty();
        match end {
            End::Stalled => true,
            End::Slow if self.parts > 0 && !begun => false,
            End::Slow if !self.quiet() => {
                self.settle(end);
                false
            }
            End::Slow => true,
            End::Silent | End::Idle => !begun && self.quiet() && self.parts == 0,
            _ => self.quiet() && self.asked == 0,
        }
    }

    /// Reads what has come in by now, before this side closes. False where there is nothing.
    fn look_once_more(&mut self) -> bool {
        let most = self.doorman.with(|d| d.read_allowance(self.id)).min(READ_CHUNK_BYTES);
        if most == 0 || self.ended {
            return false;
        }
        let scratch = self.doorman.scratch.clone();
        let mut scratch = scratch.borrow_mut();
        let mut read = self.stream.read_now(&mut scratch[..most]);
        for _ in 0..FAILURES_MAX {
            if !read.as_ref().is_err_and(is_transient) {
                break;
            }
            read = self.stream.read_now(&mut scratch[..most]);
        }
        match read {
            Ok(n @ 1..) => {
                self.input.extend_from_slice(&scratch[..n]);
                self.fresh += n;
                self.looked = true;
                true
            }
            _ => false,
        }
    }

    /// Cuts what has come in into messages, for as long as there is room for what they are answered.
    async fn messages<E: From<ConnectionEvent>>(&mut self, events: &mpsc::Sender<E>) -> Option<End> {
        loop {
            if self.deaf || self.over().is_some() || self.out.len() >= self.owed_max {
                return None;
            }
            // An empty body is whole without a further byte, so the codec is asked also where there is none.
            let item = if self.ended {
                self.codec.decode_eof(&mut self.input)
            } else {
                self.codec.decode(&mut self.input)
            };
            match item {
                Ok(Some(item)) => {
                    self.traffic = Instant::now();
                    self.parts += 1;
                    let input = match self.session.read(process::now(), item, &mut self.out) {
                        Ok(input) => input,
                        Err(end) => return self.unreadable(end),
                    };
                    self.whole += usize::from(!self.session.midway());
                    if let Some(input) = input {
                        self.asked += usize::from(!matches!(input, Input::RequestRejected(_)));
                        if events.send(ConnectionEvent::Input(input).into()).await.is_err() {
                            return Some(End::Finished);
                        }
                    }
                }
                Ok(None) if !self.ended => return None,
                Ok(None) if self.session.eof_is_gone() || self.session.open() == 0 => {
                    return Some(End::Closed);
                }
                // It has said all it will and still reads.
                Ok(None) => self.deaf = true,
                // Who has gone in the midst of a message waits for nothing that it asked before.
                Err(end) if self.ended && self.session.eof_is_gone() => return Some(end),
                Err(end) => return self.unreadable(end),
            }
        }
    }

    /// What can't be read is the end of the connection, once what was read whole before is answered.
    fn unreadable(&mut self, end: End) -> Option<End> {
        if self.quiet() {
            return Some(end);
        }
        self.settle(end);
        None
    }

    /// Nothing more is read, for the first of the reasons that come; what is left of a message gives its room back.
    fn settle(&mut self, end: End) {
        self.settled.get_or_insert(end);
        self.input = BytesMut::new();
    }

    fn send(&mut self) -> Option<End> {
        while !self.out.is_empty() {
            match self.stream.write(self.out.chunk()) {
                Ok(0) => return Some(End::Reset),
                Ok(n) => {
                    self.out.advance(n);
                    self.failures = 0;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
                Err(e) => return self.failed(&e),
            }
        }
        None
    }

    /// A call has failed: the end of the connection, unless the failure may pass. What has been read is owed its answer, and a
    /// connection is not ended for what ails the system.
    fn failed(&mut self, e: &io::Error) -> Option<End> {
        if e.kind() == io::ErrorKind::Interrupted {
            return None;
        }
        self.failures += 1;
        self.paused = true;
        (!is_transient(e) || self.failures > FAILURES_MAX).then_some(End::Reset)
    }

    fn report(&mut self, held_back: bool) -> ReadInstruction {
        let half_in = self.input.len() + self.session.kept();
        let taken = self.out.taken();
        let report = ConnectionReport {
            bytes_read: std::mem::take(&mut self.fresh),
            completed_parts: std::mem::take(&mut self.parts),
            completed_messages: std::mem::take(&mut self.whole),
            submitted_requests: std::mem::take(&mut self.asked),
            answers_received: std::mem::take(&mut self.answered),
            bytes_sent: usize::try_from(taken - self.reported_taken).unwrap_or(usize::MAX),
            partial_bytes: half_in,
            missing_bytes: self.session.missing(&self.input),
            is_sheltered: self.session.midway(),
            open_requests: self.session.open(),
            unsent_bytes: self.out.len(),
            was_read: std::mem::take(&mut self.looked),
            is_blocked: std::mem::take(&mut self.blocked),
            is_reading_stopped: held_back,
            patience: self
                .session
                .patience(!self.input.is_empty())
                .map(|(p, end)| (Micros(u64::try_from(p.as_micros()).unwrap_or(u64::MAX)), end)),
            deadline: self.session.deadline(),
        };
        self.reported_taken = taken;
        let id = self.id;
        self.doorman.with(|d| {
            d.counters.wakes += 1;
            d.report(process::now(), id, &report)
        })
    }

    /// Takes what the core has to say. Whether the socket is to be looked at.
    fn hear(&mut self, reply: Reply) -> bool {
        match reply {
            Reply::CloseIdle(span) => {
                // A request that is still coming in, however slowly, is not idleness.
                let midway = self.session.midway() || !self.input.is_empty();
                let idle = !midway && self.traffic.elapsed().as_micros() >= u128::from(span.0);
                if idle && self.quiet() {
                    self.close(End::Idle);
                }
                false
            }
            Reply::Admission(ConnectionCommand::ReadNow) => true,
            Reply::Admission(ConnectionCommand::Close(end)) => {
                self.close(end);
                false
            }
            Reply::Finish => {
                self.leaving = true;
                false
            }
            reply => {
                self.traffic = Instant::now();
                let answer = matches!(reply, Reply::Answer(..) | Reply::Health(..));
                self.answered += usize::from(answer);
                let before = self.out.len();
                self.finishing |= self.session.write(reply, &mut self.out);
                if answer && self.out.len() > before {
                    self.out.answered();
                }
                false
            }
        }
    }

    /// Somebody wants it closed: what the system has taken in by now is read first.
    fn close(&mut self, end: End) {
        self.look_once_more();
        self.wanted = Some(end);
    }

    /// Reads once, as much as the door allows at this moment.
    fn take_in(&mut self) -> Option<End> {
        self.looked = true;
        let most = self.doorman.with(|d| d.read_allowance(self.id)).min(READ_CHUNK_BYTES);
        if most == 0 {
            match self.stream.peek() {
                Ok(0) => self.ended = true,
                Ok(_) => self.blocked = true,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return self.failed(&e),
            }
            return None;
        }
        let scratch = self.doorman.scratch.clone();
        let mut scratch = scratch.borrow_mut();
        match self.stream.read(&mut scratch[..most]) {
            Ok(0) => self.ended = true,
            Ok(n) => {
                self.input.extend_from_slice(&scratch[..n]);
                self.fresh += n;
                self.failures = 0;
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return self.failed(&e),
        }
        None
    }

    /// Says the last words and waits a moment for the peer's close: closing with input unread would reset the
    /// connection and take the last answer with it. How many answers were, as far as is known, not taken.
    async fn part(&mut self, end: End, linger: Duration) -> u64 {
        if matches!(end, End::Reset | End::Stalled) {
            return self.out.undelivered();
        }
        self.session.complain(end, &mut self.out);
        if self.out.is_empty() && self.out.taken() == 0 {
            // There is no last answer that a reset could take along; the descriptor is wanted elsewhere.
            return 0;
        }
        self.stream.wake();
        let Stream::Live(stream) = &mut self.stream else { return self.out.undelivered() };
        let out = &mut self.out;
        let words = async {
            while !out.is_empty() {
                match stream.try_write(out.chunk()) {
                    Ok(n) => out.advance(n),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
                    Err(e) if is_transient(&e) => tokio::time::sleep(FAILURE_PAUSE).await,
                    Err(e) => return Err(e),
                }
            }
            stream.shutdown().await
        };
        if !matches!(timeout(LAST_WORDS, words).await, Ok(Ok(()))) {
            return self.out.undelivered();
        }
        self.input.clear();
        let (input, mut most) = (&mut self.input, LINGER_MAX);
        let rest = async {
            loop {
                match stream.read_buf(input).await {
                    Ok(0) => return 0,
                    // The reset took what was on its way with it.
                    Err(_) => return 1,
                    Ok(n) => most = most.saturating_sub(n),
                }
                input.clear();
                if most == 0 {
                    return 0;
                }
            }
        };
        timeout(linger, rest).await.unwrap_or(0)
    }
}
