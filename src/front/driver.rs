//! The driver between a front's state machine and its socket.
//!
//! It keeps no timeouts of its own: connection admission ([`crate::door`]) decides which connections are late, too slow
//! or to be closed for room. While admission pauses a connection, its socket is deregistered from the reactor, so that
//! incoming bytes cause no wakeup until admission orders a read.

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
use crate::front::{OutputBuffer, Reply, Session};
use crate::interface::Micros;
use crate::node::Input;
use crate::stream::is_transient;
use crate::time::process;

/// How long the final bytes may take to be written before the connection is dropped.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Most bytes that are read and discarded after the final write: a peer that goes on sending is not waited for.
const LINGER_MAX_BYTES: usize = 256 << 10;
/// Most extra reads of a connection before this side closes it: a peer that sends requests in spite of the notice to
/// leave would otherwise keep the connection open for ever.
const FINAL_READS_MAX: u32 = 16;
/// The pause after a socket call that failed transiently, and how many such failures in a row a connection survives:
/// the pauses together last one second.
const FAILURE_PAUSE: Duration = Duration::from_millis(5);
const FAILURES_MAX: u32 = 200;

/// An event that a connection reports to the runtime.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// A message was read from it.
    Input(Input),
    /// The connection has ended.
    Closed {
        /// The protocol of its front.
        wire: Wire,
        /// The number of the connection.
        conn: u64,
        /// Why it ended.
        end: End,
    },
}

/// Connection admission, shared by the drivers of all connections and the runtime.
#[derive(Clone)]
pub struct SharedAdmission {
    admission: Rc<RefCell<ConnectionAdmission>>,
    /// Notified when admission needs a sweep earlier than the runtime has scheduled it.
    earlier_sweep: Rc<Notify>,
    /// The read buffer that all connections share, as each read is copied out of it at once.
    scratch: Rc<RefCell<Vec<u8>>>,
}

impl SharedAdmission {
    /// Shares `admission`.
    pub fn new(admission: ConnectionAdmission) -> SharedAdmission {
        SharedAdmission {
            admission: Rc::new(RefCell::new(admission)),
            earlier_sweep: Rc::default(),
            scratch: Rc::new(RefCell::new(vec![0; READ_CHUNK_BYTES])),
        }
    }

    /// Runs `f` on the shared admission state, and wakes the runtime where that calls for an earlier sweep.
    pub fn with<T>(&self, f: impl FnOnce(&mut ConnectionAdmission) -> T) -> T {
        let mut admission = self.admission.borrow_mut();
        let result = f(&mut admission);
        if admission.needs_earlier_sweep() {
            self.earlier_sweep.notify_one();
        }
        result
    }

    /// How long until admission needs its next sweep.
    pub fn time_until_sweep(&self) -> Micros {
        self.admission.borrow_mut().time_until_sweep()
    }

    /// Waits until admission needs a sweep earlier than [`SharedAdmission::time_until_sweep`] last returned.
    pub async fn earlier_sweep_needed(&self) {
        self.earlier_sweep.notified().await;
    }
}

/// One connection: its state machine, its socket, and one buffer for each direction.
struct Conn<S: Session> {
    id: ConnectionId,
    session: S,
    codec: S::Codec,
    stream: Stream,
    input: BytesMut,
    out: OutputBuffer,
    admission: SharedAdmission,
    unsent_max: usize,
    /// The socket has been read since the last report.
    socket_read: bool,
    /// Bytes are waiting in the socket and the read allowance is zero.
    blocked: bool,
    /// Counts since the last report to admission.
    bytes_read: usize,
    completed_parts: usize,
    completed_messages: usize,
    submitted_requests: usize,
    answers_received: usize,
    reported_sent: u64,
    /// When a message last passed in either direction.
    last_traffic: Instant,
    /// The peer has closed its sending side.
    read_ended: bool,
    /// The peer has closed its sending side and still reads its answers, so the connection stays open.
    half_closed: bool,
    /// To close when every request is answered, as the session needs the connection no longer.
    finishing: bool,
    /// The same, because the process leaves: requests that have arrived by then are answered too.
    leaving: bool,
    /// Reading has stopped for this reason; the connection closes once every request read is answered and sent.
    read_stopped: Option<End>,
    /// A close was requested for this reason; data that arrived meanwhile may cancel it.
    requested_close: Option<End>,
    /// Extra reads that may still be made before this side closes the connection.
    final_reads_left: u32,
    /// Transient failures of socket calls since the last call that succeeded.
    failures: u32,
    /// The next socket call waits for [`FAILURE_PAUSE`].
    paused: bool,
}

/// Serves one connection from its first byte to its end.
///
/// While too many bytes are waiting to be sent to the peer, reading stops, so that TCP flow control slows the peer;
/// other connections are not affected.
pub async fn serve<S: Session, E: From<ConnectionEvent>>(
    (wire, id): (Wire, ConnectionId),
    stream: TcpStream,
    session: S,
    codec: S::Codec,
    events: mpsc::Sender<E>,
    replies: mpsc::Receiver<Reply>,
    (admission, linger): (SharedAdmission, Duration),
) {
    let _ = stream.set_nodelay(true);
    let mut conn = Conn {
        id,
        session,
        codec,
        stream: Stream::Registered(stream),
        input: BytesMut::new(),
        out: OutputBuffer::new(),
        unsent_max: admission.with(|a| a.unsent_max()),
        admission: admission.clone(),
        socket_read: false,
        blocked: false,
        bytes_read: 0,
        completed_parts: 0,
        completed_messages: 0,
        submitted_requests: 0,
        answers_received: 0,
        reported_sent: 0,
        last_traffic: Instant::now(),
        read_ended: false,
        half_closed: false,
        finishing: false,
        leaving: false,
        failures: 0,
        paused: false,
        read_stopped: None,
        requested_close: None,
        final_reads_left: FINAL_READS_MAX,
    };
    let end = conn.run(&events, replies).await;
    admission.with(|a| a.connection_closed(process::now(), id, 0));
    // The runtime learns of the end before the final bytes are sent, so that it need not wait for them.
    let _ = events.send(ConnectionEvent::Closed { wire, conn: id.0, end }.into()).await;
    let undelivered = conn.close_socket(end, linger).await;
    admission.with(|a| a.counters.undelivered += undelivered);
}

impl<S: Session> Conn<S> {
    async fn run<E: From<ConnectionEvent>>(
        &mut self,
        events: &mpsc::Sender<E>,
        mut replies: mpsc::Receiver<Reply>,
    ) -> End {
        loop {
            if let Some(end) = self.decode_messages(events).await {
                return end;
            }
            if let Some(end) = self.send() {
                return end;
            }
            if let Some(end) = self.requested_close.take().filter(|end| self.confirms_close(*end)) {
                return end;
            }
            let over = self.reading_over();
            if let Some(end) = over.or(self.finishing.then_some(End::Finished))
                && self.is_settled()
            {
                return end;
            }
            if self.leaving && self.is_settled() {
                if self.final_reads_left == 0 || !self.read_before_close() {
                    return End::Finished;
                }
                self.final_reads_left -= 1;
                continue;
            }
            let held_back = self.half_closed || over.is_some() || self.out.len() >= self.unsent_max;
            let reading = match self.report(held_back) {
                ReadInstruction::Close(end) if self.is_settled() || end == End::Crowded => return end,
                ReadInstruction::Close(end) => {
                    self.stop_reading(end);
                    false
                }
                ReadInstruction::Read => !held_back,
                ReadInstruction::Pause => false,
            };
            match (reading, self.is_settled() && !held_back) {
                (true, _) => self.stream.register(),
                (false, true) => self.stream.deregister(),
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
            let read_now = match reply {
                None => reading,
                // The runtime dropped its end of the channel.
                Some(None) => return End::Stalled,
                Some(Some(reply)) => {
                    let mut read_now = self.handle_reply(reply);
                    while let Ok(more) = replies.try_recv() {
                        read_now |= self.handle_reply(more);
                    }
                    read_now && !held_back
                }
            };
            if read_now && let Some(end) = self.read_socket() {
                return end;
            }
        }
    }

    /// Whether every request is answered and every answer sent.
    fn is_settled(&self) -> bool {
        self.out.is_empty() && self.session.open_requests() == 0
    }

    /// Why nothing more is read, where reading is over.
    fn reading_over(&self) -> Option<End> {
        self.session.reading_over().or(self.read_stopped)
    }

    /// Whether a requested close is carried out, now that the data which had arrived has been read. A connection that
    /// has sent a request meanwhile stays open. One that was silent or idle stays open from its first byte on; one that
    /// was too slow or was closed for room, only for a complete message. Requests read before are answered first.
    fn confirms_close(&mut self, end: End) -> bool {
        let message_begun = self.session.request_partially_read() || !self.input.is_empty();
        match end {
            End::Stalled => true,
            End::Slow if self.completed_parts > 0 && !message_begun => false,
            End::Slow if !self.is_settled() => {
                self.stop_reading(end);
                false
            }
            End::Slow => true,
            End::Silent | End::Idle => !message_begun && self.is_settled() && self.completed_parts == 0,
            _ => self.is_settled() && self.submitted_requests == 0,
        }
    }

    /// Reads what has arrived by now, before this side closes. False where nothing could be read.
    fn read_before_close(&mut self) -> bool {
        let most = self.admission.with(|a| a.read_allowance(self.id)).min(READ_CHUNK_BYTES);
        if most == 0 || self.read_ended {
            return false;
        }
        let scratch = self.admission.scratch.clone();
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
                self.bytes_read += n;
                self.socket_read = true;
                true
            }
            _ => false,
        }
    }

    /// Decodes the bytes read into messages, for as long as the output buffer has room for their answers.
    async fn decode_messages<E: From<ConnectionEvent>>(&mut self, events: &mpsc::Sender<E>) -> Option<End> {
        loop {
            if self.half_closed || self.reading_over().is_some() || self.out.len() >= self.unsent_max {
                return None;
            }
            // An empty body is complete without a further byte, so the codec runs on an empty buffer too.
            let item = if self.read_ended {
                self.codec.decode_eof(&mut self.input)
            } else {
                self.codec.decode(&mut self.input)
            };
            match item {
                Ok(Some(item)) => {
                    self.last_traffic = Instant::now();
                    self.completed_parts += 1;
                    let input = match self.session.read(process::now(), item, &mut self.out) {
                        Ok(input) => input,
                        Err(end) => return self.reject_input(end),
                    };
                    self.completed_messages += usize::from(!self.session.request_partially_read());
                    if let Some(input) = input {
                        self.submitted_requests += usize::from(!matches!(input, Input::RequestRejected(_)));
                        if events.send(ConnectionEvent::Input(input).into()).await.is_err() {
                            return Some(End::Finished);
                        }
                    }
                }
                Ok(None) if !self.read_ended => return None,
                Ok(None) if self.session.eof_is_disconnect() || self.session.open_requests() == 0 => {
                    return Some(End::Closed);
                }
                // The peer has closed its sending side and still reads.
                Ok(None) => self.half_closed = true,
                // A peer that is gone in the middle of a message does not wait for the answers to earlier requests.
                Err(end) if self.read_ended && self.session.eof_is_disconnect() => return Some(end),
                Err(end) => return self.reject_input(end),
            }
        }
    }

    /// Ends the connection after input that can't be decoded, once earlier requests are answered.
    fn reject_input(&mut self, end: End) -> Option<End> {
        if self.is_settled() {
            return Some(end);
        }
        self.stop_reading(end);
        None
    }

    /// Stops reading; the first reason given is kept. The memory of a partial message is freed.
    fn stop_reading(&mut self, end: End) {
        self.read_stopped.get_or_insert(end);
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
                Err(e) => return self.socket_failed(&e),
            }
        }
        None
    }

    /// Ends the connection after a failed socket call, unless the failure is transient: requests already read still
    /// need their answers, and a shortage of the system is no fault of the connection.
    fn socket_failed(&mut self, e: &io::Error) -> Option<End> {
        if e.kind() == io::ErrorKind::Interrupted {
            return None;
        }
        self.failures += 1;
        self.paused = true;
        (!is_transient(e) || self.failures > FAILURES_MAX).then_some(End::Reset)
    }

    fn report(&mut self, held_back: bool) -> ReadInstruction {
        let partial_bytes = self.input.len() + self.session.partial_bytes();
        let sent = self.out.sent_bytes();
        let report = ConnectionReport {
            bytes_read: std::mem::take(&mut self.bytes_read),
            completed_parts: std::mem::take(&mut self.completed_parts),
            completed_messages: std::mem::take(&mut self.completed_messages),
            submitted_requests: std::mem::take(&mut self.submitted_requests),
            answers_received: std::mem::take(&mut self.answers_received),
            bytes_sent: usize::try_from(sent - self.reported_sent).unwrap_or(usize::MAX),
            partial_bytes,
            missing_bytes: self.session.missing_bytes(&self.input),
            is_sheltered: self.session.request_partially_read(),
            open_requests: self.session.open_requests(),
            unsent_bytes: self.out.len(),
            was_read: std::mem::take(&mut self.socket_read),
            is_blocked: std::mem::take(&mut self.blocked),
            is_reading_stopped: held_back,
            patience: self
                .session
                .read_timeout(!self.input.is_empty())
                .map(|(p, end)| (Micros(u64::try_from(p.as_micros()).unwrap_or(u64::MAX)), end)),
            deadline: self.session.deadline(),
        };
        self.reported_sent = sent;
        let id = self.id;
        self.admission.with(|a| {
            a.counters.wakes += 1;
            a.report(process::now(), id, &report)
        })
    }

    /// Handles a reply of the runtime. True where the socket is to be read.
    fn handle_reply(&mut self, reply: Reply) -> bool {
        match reply {
            Reply::CloseIdle(span) => {
                // A connection with a partial request is not idle, however slowly the request arrives.
                let has_partial_request = self.session.request_partially_read() || !self.input.is_empty();
                let idle =
                    !has_partial_request && self.last_traffic.elapsed().as_micros() >= u128::from(span.0);
                if idle && self.is_settled() {
                    self.request_close(End::Idle);
                }
                false
            }
            Reply::Admission(ConnectionCommand::ReadNow) => true,
            Reply::Admission(ConnectionCommand::Close(end)) => {
                self.request_close(end);
                false
            }
            Reply::Finish => {
                self.leaving = true;
                false
            }
            reply => {
                self.last_traffic = Instant::now();
                let answer = matches!(reply, Reply::Answer(..) | Reply::Health(..));
                self.answers_received += usize::from(answer);
                let before = self.out.len();
                self.finishing |= self.session.write(reply, &mut self.out);
                if answer && self.out.len() > before {
                    self.out.mark_answer_end();
                }
                false
            }
        }
    }

    /// Requests a close; what has arrived in the socket by now is read first.
    fn request_close(&mut self, end: End) {
        self.read_before_close();
        self.requested_close = Some(end);
    }

    /// Reads once, up to the allowance that admission grants at present.
    fn read_socket(&mut self) -> Option<End> {
        self.socket_read = true;
        let most = self.admission.with(|a| a.read_allowance(self.id)).min(READ_CHUNK_BYTES);
        if most == 0 {
            match self.stream.peek() {
                Ok(0) => self.read_ended = true,
                Ok(_) => self.blocked = true,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return self.socket_failed(&e),
            }
            return None;
        }
        let scratch = self.admission.scratch.clone();
        let mut scratch = scratch.borrow_mut();
        match self.stream.read(&mut scratch[..most]) {
            Ok(0) => self.read_ended = true,
            Ok(n) => {
                self.input.extend_from_slice(&scratch[..n]);
                self.bytes_read += n;
                self.failures = 0;
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return self.socket_failed(&e),
        }
        None
    }

    /// Sends the final bytes and waits up to `linger` for the peer's close: closing with input unread would reset the
    /// connection and could lose the last answer. Returns the number of answers known not to have been delivered.
    async fn close_socket(&mut self, end: End, linger: Duration) -> u64 {
        if matches!(end, End::Reset | End::Stalled) {
            return self.out.undelivered();
        }
        self.session.write_error_response(end, &mut self.out);
        if self.out.is_empty() && self.out.sent_bytes() == 0 {
            // A reset can lose no answer here, so the descriptor is freed at once for other connections.
            return 0;
        }
        self.stream.register();
        let Stream::Registered(stream) = &mut self.stream else { return self.out.undelivered() };
        let out = &mut self.out;
        let final_write = async {
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
        if !matches!(timeout(FINAL_WRITE_TIMEOUT, final_write).await, Ok(Ok(()))) {
            return self.out.undelivered();
        }
        self.input.clear();
        let (input, mut most) = (&mut self.input, LINGER_MAX_BYTES);
        let drain_input = async {
            loop {
                match stream.read_buf(input).await {
                    Ok(0) => return 0,
                    // The reset discarded the bytes that were in flight.
                    Err(_) => return 1,
                    Ok(n) => most = most.saturating_sub(n),
                }
                input.clear();
                if most == 0 {
                    return 0;
                }
            }
        };
        timeout(linger, drain_input).await.unwrap_or(0)
    }
}
