//! Bytes that cross the moment in which this side closes a connection: a real driver on a loopback socket, with what has
//! come in and what it is told both there before it takes its first step. The table is `docs/design/crossings.md`.

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
use holdlift::front::driver::{self, Doorman, FromConn};
use holdlift::front::msgpack::{Caller, ValueCodec, pack};
use holdlift::front::{InForce, Reply, Wire};
use holdlift::node::{Answer, Input, ResponseRoute};
use holdlift::time::process;
use holdlift_lab::{fields, settings, within};
use pack::{Value, text};
use tokio::sync::mpsc;
use tokio_util::codec::Decoder;

/// One connection of the platform's front, whose driver has not been started yet.
struct Crossing {
    caller: TcpStream,
    stream: TcpStream,
    doorman: Doorman,
    id: ConnectionId,
    replies: mpsc::Sender<Reply>,
    inbox: mpsc::Receiver<Reply>,
}

/// What the driver told, in its order, and what the caller read until the end.
#[derive(Debug)]
struct Seen {
    asked: Vec<u32>,
    answered: Vec<i128>,
    end: End,
}

fn ask(id: i128) -> Vec<u8> {
    let body = Value::Bin(Bytes::from_static(b"1 x"));
    let params = Value::Array(vec![fields(&format!("r{id}"), &[]), body]);
    let mut out = BytesMut::new();
    pack::write(&mut out, &Value::Array(vec![Value::Int(0), Value::Int(id), text("quote"), params]));
    out.to_vec()
}

impl Crossing {
    fn new() -> Crossing {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let caller = TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
        caller.set_read_timeout(Some(Duration::from_secs(20))).expect("set");
        let stream = listener.accept().expect("accepted").0;
        let gate =
            ListenerSettings { profile: Profile::STRICT, connections_max: 8, partial_message_max: 64 << 10 };
        let mut door = ConnectionAdmission::new(AdmissionSettings {
            listeners: vec![gate],
            partial_bytes_max: 1 << 20,
            unsent_bytes_max: 1 << 20,
            sources: Edge::default().door(&config()).sources,
        });
        let from = stream.peer_addr().expect("an address").ip();
        let AdmissionDecision::Admit(id) = door.admit(process::now(), ListenerId(0), from) else {
            panic!("no room")
        };
        let (replies, inbox) = mpsc::channel(96);
        Crossing { caller, stream, doorman: Doorman::new(door), id, replies, inbox }
    }

    /// The caller writes, and the system has it at the node's side.
    fn write(&mut self, bytes: &[u8], all: usize) {
        self.caller.write_all(bytes).expect("written");
        let mut there = vec![0; all];
        while self.stream.peek(&mut there).expect("there") < all {}
    }

    fn told(&self, reply: Reply) {
        self.replies.try_send(reply).expect("room");
    }

    /// Runs the driver to its end: each request is answered when the core hears of it, and just before the answer to the
    /// last one that is to come `then` is said.
    async fn run(self, expected: usize, then: Option<Reply>) -> Seen {
        let Crossing { mut caller, stream, doorman, id, replies, inbox } = self;
        stream.set_nonblocking(true).expect("set");
        let reader = std::thread::spawn(move || {
            let (mut bytes, mut all, mut codec) = (BytesMut::new(), Vec::new(), ValueCodec::default());
            let mut buffer = [0; 4096];
            while let Ok(n @ 1..) = caller.read(&mut buffer) {
                bytes.extend_from_slice(&buffer[..n]);
                while let Some(Value::Array(m)) = codec.decode(&mut bytes).expect("MessagePack") {
                    if let [Value::Int(1), Value::Int(id), ..] = m[..] {
                        all.push(id);
                    }
                }
            }
            all
        });
        let local = tokio::task::LocalSet::new();
        let (asked, end) = local
            .run_until(async {
                let settings = holdlift::settings::from_json(&settings(2, 3_000, 6_000)).expect("settings");
                let session = Caller::new(id.0, InForce::new(settings), process::arrivals());
                let (events, mut said) = mpsc::channel::<FromConn>(64);
                let stream = tokio::net::TcpStream::from_std(stream).expect("a socket");
                let with = (doorman, Duration::from_millis(50));
                let codec = ValueCodec::default();
                let conn = (Wire::Msgpack, id);
                tokio::task::spawn_local(driver::serve(conn, stream, session, codec, events, inbox, with));
                let (mut asked, mut then) = (Vec::new(), then);
                loop {
                    match within("the driver's word", said.recv()).await.expect("an end comes first") {
                        FromConn::Input(Input::RequestReceived(
                            ResponseRoute { request_number: call, .. },
                            _,
                        )) => {
                            asked.push(call);
                            // Ahead of the answer, so that something is open when it is heard.
                            if asked.len() == expected
                                && let Some(reply) = then.take()
                            {
                                replies.send(reply).await.expect("open");
                            }
                            let origin = ResponseRoute {
                                front: Wire::Msgpack.front(),
                                connection: id.0,
                                request_number: call,
                            };
                            let served = Answer::Completed(Bytes::from_static(b"done"));
                            replies.send(Reply::Answer(origin, served, None)).await.expect("open");
                        }
                        FromConn::Input(_) => {}
                        FromConn::Closed { end, .. } => break (asked, end),
                    }
                }
            })
            .await;
        // The driver's last words go out while the set is driven on.
        let answered = local.run_until(tokio::task::spawn_blocking(move || reader.join().expect("read")));
        Seen { asked, answered: answered.await.expect("joined"), end }
    }
}

fn config() -> holdlift::config::Config {
    let json = serde_json::json!({"name": "n0", "settings": settings(2, 3_000, 6_000)});
    serde_json::from_value(json).expect("a configuration")
}

/// A whole request lies unread on a resting connection when this side wants it closed: it is answered, whoever wants it.
#[tokio::test]
async fn a_request_that_crosses_a_close_is_answered() {
    let closes = [
        ("leaving", Reply::Finish),
        ("idle", Reply::CloseIdle(Micros(0))),
        ("nothing asked", Reply::Door(ConnectionCommand::Close(End::Silent))),
        ("too slow", Reply::Door(ConnectionCommand::Close(End::Slow))),
        ("in the way", Reply::Door(ConnectionCommand::Close(End::Crowded))),
    ];
    for (why, close) in closes {
        let mut c = Crossing::new();
        let bytes = ask(1);
        c.write(&bytes, bytes.len());
        c.told(close);
        // Those that stay are ended when the request has been heard of.
        let seen = c.run(1, Some(Reply::Finish)).await;
        assert_eq!((seen.asked, seen.answered, seen.end), (vec![1], vec![1], End::Finished), "{why}");
    }
}

/// Two in a row, the second one in the instant in which the first one's answer leaves and the process with it.
#[tokio::test]
async fn requests_up_to_the_last_look_are_answered() {
    let mut c = Crossing::new();
    let bytes = [ask(1), ask(2), ask(3)].concat();
    c.write(&bytes, bytes.len());
    c.told(Reply::Finish);
    let seen = c.run(3, None).await;
    assert_eq!((seen.asked, seen.answered, seen.end), (vec![1, 2, 3], vec![1, 2, 3], End::Finished));
}

/// Half a line stays half a line: who leaves or makes room does not wait for the rest, and nothing of it is a request.
#[tokio::test]
async fn half_a_line_is_no_request() {
    let closes = [
        (Reply::Finish, End::Finished),
        (Reply::Door(ConnectionCommand::Close(End::Crowded)), End::Crowded),
        (Reply::Door(ConnectionCommand::Close(End::Slow)), End::Slow),
    ];
    for (close, end) in closes {
        let mut c = Crossing::new();
        let bytes = ask(1);
        c.write(&bytes[..bytes.len() / 2], bytes.len() / 2);
        c.told(close);
        let seen = c.run(0, None).await;
        assert_eq!((seen.asked, seen.answered, seen.end), (vec![], vec![], end));
    }
}

/// One byte of a request speaks against idleness, and the rest of it is waited for.
#[tokio::test]
async fn a_first_byte_keeps_an_idle_connection() {
    for close in [Reply::CloseIdle(Micros(0)), Reply::Door(ConnectionCommand::Close(End::Silent))] {
        let mut c = Crossing::new();
        let bytes = ask(1);
        c.write(&bytes[..1], 1);
        c.told(close);
        let mut rest = c.caller.try_clone().expect("a copy");
        let (early, late) = (bytes[1..].to_vec(), c.replies.clone());
        // Room for all but one says that the driver has taken the word and decided on it.
        let writer = tokio::spawn(async move {
            while late.capacity() < late.max_capacity() {
                tokio::task::yield_now().await;
            }
            rest.write_all(&early).expect("written");
        });
        let seen = c.run(1, Some(Reply::Finish)).await;
        writer.await.expect("written");
        assert_eq!((seen.asked, seen.answered, seen.end), (vec![1], vec![1], End::Finished));
    }
}

/// What can't be read ends its connection by its own end, once what was read whole before has its answer; nothing behind
/// it is taken in.
#[tokio::test]
async fn what_was_read_before_nonsense_is_answered() {
    let oversized = [&b"\xc6\x7f\xff\xff\xff"[..], &vec![0; 40 << 10]].concat();
    let nonsense: [(&str, Vec<u8>, End); 4] = [
        ("no MessagePack", b"\xc1".to_vec(), End::Malformed),
        ("no message", b"\x93\x01\x02\x03".to_vec(), End::Malformed),
        ("an id in use", ask(1), End::Malformed),
        ("too large", oversized, End::Oversized),
    ];
    for (what, bytes, end) in nonsense {
        let mut c = Crossing::new();
        let first = ask(1);
        let all = [&first[..], &bytes, &ask(2)].concat();
        let there = all.len();
        c.write(&all, there);
        let seen = c.run(1, None).await;
        assert_eq!((seen.asked, seen.answered, seen.end), (vec![1], vec![1], end), "{what}");
    }
}

/// A message that does not become whole in its time ends the connection, but not what is open on it.
#[tokio::test]
async fn what_was_read_before_half_a_line_is_answered() {
    let mut c = Crossing::new();
    let all = [ask(1), ask(2)[..9].to_vec()].concat();
    c.write(&all, all.len());
    let seen = c.run(1, Some(Reply::Door(ConnectionCommand::Close(End::Slow)))).await;
    assert_eq!((seen.asked, seen.answered, seen.end), (vec![1], vec![1], End::Slow));
}
