//! A process and one of a build that exchanges nothing beyond writes, as each side of a replacement.

use std::io::{IoSlice, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;

use super::*;

/// Heads that builds without features know; each of them ends the link at any other.
const KNOWN_HEADS: [&str; 10] =
    ["hello", "welcome", "busy", "ready", "yours", "known", "forgotten", "asked", "granted", "taken"];

/// A link as a former build reads it: it fails at a head that such a build does not know.
struct FormerLink(UnixStream);

impl FormerLink {
    fn on(stream: UnixStream) -> FormerLink {
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
        FormerLink(stream)
    }

    fn send(&mut self, head: &str) {
        let mut bytes = (head.len() as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(&[0; 4]);
        bytes.extend_from_slice(head.as_bytes());
        self.0.write_all(&bytes).expect("the other process reads");
    }

    /// The next head and the number of bytes behind it; none at the link's end.
    fn receive(&mut self) -> Option<(String, usize)> {
        let mut lengths = [0; 8];
        self.0.read_exact(&mut lengths).ok()?;
        let length =
            |at: usize| u32::from_be_bytes(lengths[at..at + 4].try_into().expect("four bytes")) as usize;
        let (mut head, mut rest) = (vec![0; length(0)], vec![0; length(4)]);
        self.0.read_exact(&mut head).ok()?;
        self.0.read_exact(&mut rest).ok()?;
        let head = String::from_utf8(head).expect("JSON");
        let name = head.split('"').nth(1).expect("a name");
        assert!(KNOWN_HEADS.contains(&name), "a former build would end the link at {head}");
        Some((head, rest.len()))
    }

    /// Reads on until the link ends, on a thread of its own.
    fn receive_rest(mut self) -> std::thread::JoinHandle<Vec<String>> {
        std::thread::spawn(move || std::iter::from_fn(|| self.receive()).map(|(head, _)| head).collect())
    }
}

fn socket_path(node: &Node) -> PathBuf {
    node.folder().join(format!("holdlift-n0-{}.sock", node.msgpack.port()))
}

fn hello(node: &Node) -> String {
    format!(r#"{{"hello":{{"version":3,"name":"n0","listen":"{}"}}}}"#, node.msgpack)
}

/// A successor of a former build gets the welcome and the messages of that build, and none that would end its link. An order says
/// that the other process does not know of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_of_a_former_build_is_sent_nothing_that_it_does_not_know() {
    let (_farm, agent) = start_agent(true).await;
    let setup = Setup { settings: settings(2, 3_000, 6_000), stop_ms: 4_000, ..Setup::default() };
    let incumbent = Setup { agent: Some(agent), ..setup }.start().await;
    incumbent.ready().await;
    let mut link = FormerLink::on(UnixStream::connect(socket_path(&incumbent)).expect("the node's socket"));
    link.send(&hello(&incumbent));
    let (welcome, behind) = link.receive().expect("a welcome");
    assert!(welcome.starts_with(r#"{"welcome":{"version":3,"aside":false,"listeners":["#), "{welcome}");
    assert_eq!(behind, 0, "a former build expects nothing behind the head");
    link.send(r#""ready""#);
    assert_eq!(link.receive(), Some((r#""yours""#.to_owned(), 0)));
    let rest = link.receive_rest();
    assert_eq!(incumbent.control("POST", "out-of-service").await, Some(503));
    let mut caller = Caller::connect(incumbent.msgpack).await;
    assert!(!caller.health(1).await, "in force in the process that was ordered");
    caller.ask(2, "book-job", fields("w", &[]), "1 w").await;
    assert_eq!(caller.answer().await.expect("the request is answered").word, "ok");
    drop(caller);
    let (_, good, log) = incumbent.leave().await;
    assert!(good && log.contains("replaced: "), "{log}");
    let heads = rest.join().expect("only known heads came");
    assert!(heads.iter().any(|head| head.contains(r#""name":"w""#)), "writes cross as before: {heads:?}");
}

/// An incumbent of a former build gets the hello that it knows, and no other message that would end its link. Its service state
/// and writes cross.
#[tokio::test(flavor = "multi_thread")]
async fn an_incumbent_of_a_former_build_is_sent_nothing_that_it_does_not_know() {
    let ((_farm, agent), (_next, next)) = (start_agent(true).await, start_agent(true).await);
    let setup = Setup { settings: settings(2, 3_000, 6_000), stop_ms: 4_000, ..Setup::default() };
    let node = Setup { agent: Some(agent), ..setup }.start().await;
    node.ready().await;
    let at = node.msgpack;
    // The scripted incumbent stands where the process's own socket was, with a listener of its own.
    std::fs::remove_file(socket_path(&node)).expect("the node's socket");
    let listener = UnixListener::bind(socket_path(&node)).expect("the socket can be bound");
    let callers = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = callers.local_addr().expect("an address");
    let accept = std::thread::spawn(move || FormerLink::on(listener.accept().expect("a successor").0));
    let successor = node.succeed(next).await;
    let mut link = accept.join().expect("the successor connects");
    let (head, _) = link.receive().expect("a hello");
    assert_eq!(head, hello(&node));
    send_welcome(&link.0, address, &callers);
    assert_eq!(link.receive(), Some((r#""ready""#.to_owned(), 0)));
    link.send(r#""yours""#);
    let stop = link.0.try_clone().expect("a second handle");
    let rest = link.receive_rest();
    successor.ready().await;
    // The process whose place the scripted incumbent took answers no more checks.
    drop(node);
    assert!(!health(at).await, "out of service, as the incumbent was");
    assert_eq!(successor.control("POST", "in-service").await, Some(503), "the other process can't be told");
    assert!(health(at).await);
    stop.shutdown(std::net::Shutdown::Both).expect("the link ends");
    rest.join().expect("only known heads came");
    // The link has ended and the process at its other end, this test, has not.
    for order in ["out-of-service", "in-service"] {
        assert_eq!(successor.control("POST", order).await, Some(503), "a process runs that can't be told");
        assert_eq!(health(at).await, order == "in-service", "in force in the process that was ordered");
    }
}

/// Sends the welcome of a former build that is out of service, with a listener.
fn send_welcome(link: &UnixStream, address: SocketAddr, listener: &std::net::TcpListener) {
    use std::os::fd::AsFd;
    let head = format!(r#"{{"welcome":{{"version":3,"aside":true,"listeners":["{address}"]}}}}"#);
    let mut bytes = (head.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&[0; 4]);
    bytes.extend_from_slice(head.as_bytes());
    let mut space = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = rustix::net::SendAncillaryBuffer::new(&mut space);
    let descriptors = [listener.as_fd()];
    assert!(control.push(rustix::net::SendAncillaryMessage::ScmRights(&descriptors)));
    rustix::net::sendmsg(link, &[IoSlice::new(&bytes)], &mut control, rustix::net::SendFlags::NOSIGNAL)
        .expect("the welcome is sent");
}
