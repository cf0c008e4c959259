//! Requests that arrive while the node closes their connection. A real connection driver runs on a loopback socket; the bytes
//! received and the command to close are both there before the driver starts. `docs/design/crossings.md` lists the cases.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use holdlift::Micros;
use holdlift::config::edge::Edge;
use holdlift::door::{
    AdmissionDecision, AdmissionSettings, ConnectionAdmission, ConnectionCommand, ConnectionId, ListenerId,
    ListenerSettings, profile::Profile,
};
use holdlift::end::End;
use holdlift::front::driver::{self, ConnectionEvent, SharedAdmission};
use holdlift::front::msgpack::{Caller, ValueCodec, pack};
use holdlift::front::{CurrentSettings, Reply, Wire};
use holdlift::node::{Answer, Input, ResponseRoute};
use holdlift::time::process;
use holdlift_lab::{fields, settings, within};
use pack::{Value, text};
use tokio::sync::mpsc;
use tokio_util::codec::Decoder;

/// A connection of the MessagePack front, whose driver has not been started yet.
struct PendingConnection {
    caller: TcpStream,
    stream: TcpStream,
    doorman: SharedAdmission,
    id: ConnectionId,
    replies: mpsc::Sender<Reply>,
    inbox: mpsc::Receiver<Reply>,
}

/// The requests that the driver reported in order, the answers that the caller read until the end, and the reason for the close.
#[derive(Debug)]
struct ConnectionRecord {
    requested: Vec<u32>,
    answered: Vec<i128>,
    end: End,
}

/// A MessagePack request with this id.
fn request_bytes(id: i128) -> Vec<u8> {
    let body = Value::Bin(Bytes::from_static(b"1 x"));
    let params = Value::Array(vec![fields(&format!("r{id}"), &[]), body]);
    let mut out = BytesMut::new();
    pack::write(&mut out, &Value::Array(vec![Value::Int(0), Value::Int(id), text("quote"), params]));
    out.to_vec()
}

impl PendingConnection {
    fn new() -> PendingConnection {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a loopback port can be bound");
        let caller = TcpStream::connect(listener.local_addr().expect("a bound listener has an address"))
            .expect("the listener accepts a connection");
        caller.set_read_timeout(Some(Duration::from_secs(20))).expect("the read timeout can be set");
        let stream = listener.accept().expect("the connection can be accepted").0;
        let gate =
            ListenerSettings { profile: Profile::STRICT, connections_max: 8, partial_message_max: 64 << 10 };
        let mut door = ConnectionAdmission::new(AdmissionSettings {
            listeners: vec![gate],
            partial_bytes_max: 1 << 20,
            unsent_bytes_max: 1 << 20,
            sources: Edge::default().admission_settings(&config()).sources,
        });
        let from = stream.peer_addr().expect("a connected stream has a peer address").ip();
        let AdmissionDecision::Admit(id) = door.admit(process::now(), ListenerId(0), from) else {
            panic!("the first connection must be admitted");
        };
        let (replies, inbox) = mpsc::channel(96);
        PendingConnection { caller, stream, doorman: SharedAdmission::new(door), id, replies, inbox }
    }

    /// Writes as the caller, and waits until the node's socket holds `expected_len` unread bytes.
    fn write(&mut self, bytes: &[u8], expected_len: usize) {
        self.caller.write_all(bytes).expect("the caller can write");
        let mut unread = vec![0; expected_len];
        while self.stream.peek(&mut unread).expect("the node's socket can be read") < expected_len {}
    }

    /// Queues a reply or command for the driver.
    fn queue_reply(&self, reply: Reply) {
        self.replies.try_send(reply).expect("the driver's queue has room");
    }

    /// Runs the driver to its end. Each request is answered as soon as the driver reports it. `before_last` is sent to the
    /// driver just before the answer to the last of the `expected` requests.
    async fn run(self, expected: usize, before_last: Option<Reply>) -> ConnectionRecord {
        let PendingConnection { mut caller, stream, doorman, id, replies, inbox } = self;
        stream.set_nonblocking(true).expect("the stream can be made non-blocking");
        let reader = std::thread::spawn(move || {
            let (mut bytes, mut answered, mut codec) = (BytesMut::new(), Vec::new(), ValueCodec::default());
            let mut buffer = [0; 4096];
            while let Ok(n @ 1..) = caller.read(&mut buffer) {
                bytes.extend_from_slice(&buffer[..n]);
                while let Some(Value::Array(message)) =
                    codec.decode(&mut bytes).expect("the node writes valid MessagePack")
                {
                    if let [Value::Int(1), Value::Int(id), ..] = message[..] {
                        answered.push(id);
                    }
                }
            }
            answered
        });
        let local = tokio::task::LocalSet::new();
        let (requested, end) = local
            .run_until(async {
                let settings = holdlift::settings::from_json(&settings(2, 3_000, 6_000))
                    .expect("the settings are valid");
                let session = Caller::new(id.0, CurrentSettings::new(settings), process::arrivals());
                let (events, mut reported) = mpsc::channel::<ConnectionEvent>(64);
                let stream = tokio::net::TcpStream::from_std(stream)
                    .expect("the stream can be registered with the runtime");
                let with = (doorman, Duration::from_millis(50));
                let codec = ValueCodec::default();
                let conn = (Wire::Msgpack, id);
                tokio::task::spawn_local(driver::serve(conn, stream, session, codec, events, inbox, with));
                let (mut requested, mut before_last) = (Vec::new(), before_last);
                loop {
                    match within("an event of the driver", reported.recv())
                        .await
                        .expect("the driver reports the close before it ends")
                    {
                        ConnectionEvent::Input(Input::RequestReceived(
                            ResponseRoute { request_number, .. },
                            _,
                        )) => {
                            requested.push(request_number);
                            // Sent before the answer, so that a request is open when the driver handles it.
                            if requested.len() == expected
                                && let Some(reply) = before_last.take()
                            {
                                replies.send(reply).await.expect("the driver is running");
                            }
                            let route = ResponseRoute {
                                front: Wire::Msgpack.front(),
                                connection: id.0,
                                request_number,
                            };
                            let answer = Answer::Completed(Bytes::from_static(b"done"));
                            replies
                                .send(Reply::Answer(route, answer, None))
                                .await
                                .expect("the driver is running");
                        }
                        ConnectionEvent::Input(_) => {}
                        ConnectionEvent::Closed { end, .. } => break (requested, end),
                    }
                }
            })
            .await;
        // The driver writes its last bytes while the local task set runs on.
        let answered = local.run_until(tokio::task::spawn_blocking(move || {
            reader.join().expect("the reader thread does not panic")
        }));
        ConnectionRecord {
            requested,
            answered: answered.await.expect("the joining task does not panic"),
            end,
        }
    }
}

fn config() -> holdlift::config::Config {
    let json = serde_json::json!({"name": "n0", "settings": settings(2, 3_000, 6_000)});
    serde_json::from_value(json).expect("the JSON is a valid configuration")
}

/// A complete request lies unread on an idle connection when the node decides to close the connection. The request is answered,
/// whatever the reason for the close.
#[tokio::test]
async fn a_complete_unread_request_is_answered_despite_a_close() {
    let closes = [
        ("leaving", Reply::Finish),
        ("idle", Reply::CloseIdle(Micros(0))),
        ("without any request", Reply::Admission(ConnectionCommand::Close(End::Silent))),
        ("too slow", Reply::Admission(ConnectionCommand::Close(End::Slow))),
        ("crowded out", Reply::Admission(ConnectionCommand::Close(End::Crowded))),
    ];
    for (reason, close) in closes {
        let mut connection = PendingConnection::new();
        let bytes = request_bytes(1);
        connection.write(&bytes, bytes.len());
        connection.queue_reply(close);
        // A connection that stays open is finished once the driver has reported the request.
        let record = connection.run(1, Some(Reply::Finish)).await;
        assert_eq!(
            (record.requested, record.answered, record.end),
            (vec![1], vec![1], End::Finished),
            "{reason}"
        );
    }
}

/// Several complete requests lie unread when the process is about to leave. The later ones are read only after the first answer is
/// written, and all are answered.
#[tokio::test]
async fn all_requests_received_before_the_last_read_are_answered() {
    let mut connection = PendingConnection::new();
    let bytes = [request_bytes(1), request_bytes(2), request_bytes(3)].concat();
    connection.write(&bytes, bytes.len());
    connection.queue_reply(Reply::Finish);
    let record = connection.run(3, None).await;
    assert_eq!(
        (record.requested, record.answered, record.end),
        (vec![1, 2, 3], vec![1, 2, 3], End::Finished)
    );
}

/// A close for leaving, crowding or slowness does not wait for the rest of an incomplete message, which is not taken for a request.
#[tokio::test]
async fn an_incomplete_message_is_dropped_by_a_close_and_is_not_a_request() {
    let closes = [
        (Reply::Finish, End::Finished),
        (Reply::Admission(ConnectionCommand::Close(End::Crowded)), End::Crowded),
        (Reply::Admission(ConnectionCommand::Close(End::Slow)), End::Slow),
    ];
    for (close, end) in closes {
        let mut connection = PendingConnection::new();
        let bytes = request_bytes(1);
        connection.write(&bytes[..bytes.len() / 2], bytes.len() / 2);
        connection.queue_reply(close);
        let record = connection.run(0, None).await;
        assert_eq!((record.requested, record.answered, record.end), (vec![], vec![], end));
    }
}

/// A connection with the first byte of a request is not idle: it stays open for the rest of the request.
#[tokio::test]
async fn the_first_byte_of_a_request_keeps_a_connection_from_closing_as_idle() {
    for close in [Reply::CloseIdle(Micros(0)), Reply::Admission(ConnectionCommand::Close(End::Silent))] {
        let mut connection = PendingConnection::new();
        let bytes = request_bytes(1);
        connection.write(&bytes[..1], 1);
        connection.queue_reply(close);
        let mut caller = connection.caller.try_clone().expect("the caller's stream can be cloned");
        let (rest_of_request, queue) = (bytes[1..].to_vec(), connection.replies.clone());
        // Once the queue is empty, the driver has taken the command and acted on it.
        let writer = tokio::spawn(async move {
            while queue.capacity() < queue.max_capacity() {
                tokio::task::yield_now().await;
            }
            caller.write_all(&rest_of_request).expect("the caller can write");
        });
        let record = connection.run(1, Some(Reply::Finish)).await;
        writer.await.expect("the writing task does not panic");
        assert_eq!((record.requested, record.answered, record.end), (vec![1], vec![1], End::Finished));
    }
}

/// Bytes that cannot be parsed end their connection with a specific reason, after the requests read before them are answered. No
/// request after them is read.
#[tokio::test]
async fn requests_before_invalid_bytes_are_answered_and_those_after_are_not_read() {
    let oversized = [&b"\xc6\x7f\xff\xff\xff"[..], &vec![0; 40 << 10]].concat();
    let invalid: [(&str, Vec<u8>, End); 4] = [
        ("invalid MessagePack", b"\xc1".to_vec(), End::Malformed),
        ("not a request or cancellation", b"\x93\x01\x02\x03".to_vec(), End::Malformed),
        ("a request id that is already open", request_bytes(1), End::Malformed),
        ("too large", oversized, End::Oversized),
    ];
    for (what, bytes, end) in invalid {
        let mut connection = PendingConnection::new();
        let first = request_bytes(1);
        let stream = [&first[..], &bytes, &request_bytes(2)].concat();
        let len = stream.len();
        connection.write(&stream, len);
        let record = connection.run(1, None).await;
        assert_eq!((record.requested, record.answered, record.end), (vec![1], vec![1], end), "{what}");
    }
}

/// A message that is not complete in time ends the connection, after the open requests on it are answered.
#[tokio::test]
async fn requests_before_an_incomplete_message_are_answered() {
    let mut connection = PendingConnection::new();
    let stream = [request_bytes(1), request_bytes(2)[..9].to_vec()].concat();
    connection.write(&stream, stream.len());
    let record = connection.run(1, Some(Reply::Admission(ConnectionCommand::Close(End::Slow)))).await;
    assert_eq!((record.requested, record.answered, record.end), (vec![1], vec![1], End::Slow));
}
