//! Devices of the CoAP front while a process is replaced.

use coap_lite::{MessageClass, MessageType, Packet, RequestType};
use tokio::net::UdpSocket;

use super::*;

const BLOCK2: u16 = 23;
const ECHO: u16 = 252;

/// A node with a CoAP front, and the server behind it.
struct DeviceNode {
    node: Node,
    server: Arc<Farm>,
    coap: SocketAddr,
}

impl DeviceNode {
    async fn start() -> DeviceNode {
        let (listener, server) = bind().await;
        let farm = Farm::new(2);
        tokio::spawn(farm.clone().uwsgi(listener));
        let coap = free().await;
        let setup =
            Setup { settings: settings(2, 3_000, 6_000), slots: 8, stop_ms: 4_000, ..Setup::default() };
        let node = Setup { servers: vec![server], edge: Some(edge(coap, 0)), ..setup }.start().await;
        node.ready().await;
        // What starts from here on does not know what a process before it has run.
        std::fs::write(node.folder().join("edge.toml"), edge(coap, 247_000)).expect("a file");
        DeviceNode { node, server: farm, coap }
    }

    fn runs(&self, name: &str) -> u32 {
        self.server.runs.lock().unwrap().get(name).copied().unwrap_or(0)
    }

    /// A process that takes over from this one, ready.
    async fn succeed(&self) -> Node {
        succeed(&self.node).await
    }
}

async fn succeed(node: &Node) -> Node {
    let (_farm, agent) = start_agent(true).await;
    let successor = node.succeed(agent).await;
    successor.ready().await;
    successor
}

fn edge(at: SocketAddr, quiet_ms: u64) -> String {
    format!("[coap]\nlisten = \"{at}\"\nquiet_ms = {quiet_ms}\n[coap.classes]\n\"/jobs\" = \"book-job\"\n")
}

/// A device: one socket, from which each message is sent until there is a response to it.
struct Device {
    socket: UdpSocket,
    node: SocketAddr,
}

impl Device {
    async fn new(node: SocketAddr) -> Device {
        Device { socket: UdpSocket::bind("127.0.0.1:0").await.expect("a port"), node }
    }

    async fn send(&self, message: &Packet) {
        let bytes = message.to_bytes_unlimited().expect("the message can be encoded");
        // An error is that of an earlier datagram; the next one is sent all the same.
        let _ = self.socket.send_to(&bytes, self.node).await;
    }

    /// The response with this token, whether it comes with the acknowledgement or by itself.
    async fn receive(&self, token: &[u8]) -> Option<Packet> {
        let mut buffer = [0; 2_048];
        loop {
            let received = self.socket.recv_from(&mut buffer);
            let n = tokio::time::timeout(Duration::from_millis(400), received).await.ok()?.ok()?.0;
            let response = Packet::from_bytes(&buffer[..n]).expect("a valid message");
            if response.header.get_type() == MessageType::Confirmable {
                let _ = self.socket.send_to(&[0x60, 0, buffer[2], buffer[3]], self.node).await;
            }
            if response.header.code != MessageClass::Empty && response.get_token() == token {
                return Some(response);
            }
        }
    }

    /// Sends a message until its response comes.
    async fn request(&self, message: &Packet) -> Packet {
        within("a response", async {
            loop {
                self.send(message).await;
                if let Some(response) = self.receive(message.get_token()).await {
                    return response;
                }
            }
        })
        .await
    }
}

/// A confirmable POST to /jobs. The query lets the front respond at once to an address that it has not verified.
fn write(id: u16, body: &str) -> Packet {
    let mut p = Packet::new();
    p.header.set_version(1);
    p.header.set_type(MessageType::Confirmable);
    p.header.code = MessageClass::Request(RequestType::Post);
    p.header.message_id = id;
    p.set_token(id.to_be_bytes().to_vec());
    p.add_option(11.into(), b"jobs".to_vec());
    p.add_option(15.into(), vec![b'p'; 250]);
    p.payload = body.as_bytes().to_vec();
    p
}

fn code(response: &Packet) -> String {
    response.header.code.to_string()
}

/// Fetches the rest of a result whose first block a device has; the whole result.
async fn fetch_rest(device: &Device, first: &Packet, from_id: u16) -> Vec<u8> {
    let (mut result, mut id) = (first.payload.clone(), from_id);
    let mut response = first.clone();
    loop {
        let block = response.get_first_option(BLOCK2.into()).expect("a block");
        let value = block.iter().fold(0u32, |n, byte| n << 8 | u32::from(*byte));
        if value & 8 == 0 {
            return result;
        }
        let next = ((value >> 4) + 1) << 4 | value & 7;
        let mut message = write(id, "");
        message.add_option(BLOCK2.into(), next.to_be_bytes()[2..].to_vec());
        if let Some(echo) = first.get_first_option(ECHO.into()) {
            message.add_option(ECHO.into(), echo.clone());
        }
        response = device.request(&message).await;
        assert_eq!(code(&response), "2.04", "block {} of a result", value >> 4);
        result.extend_from_slice(&response.payload);
        id += 1;
    }
}

/// Devices that fetched a result in blocks while the process was replaced got 4.08 from the next one and never the rest (review/8).
/// Two replacements in a row, between any two blocks.
#[tokio::test]
async fn a_result_is_fetched_in_blocks_across_two_replacements() {
    let n = DeviceNode::start().await;
    let device = Device::new(n.coap).await;
    let body = format!("1 {}", "r".repeat(1_200));
    let first = device.request(&write(1, &body)).await;
    assert!(first.get_first_option(BLOCK2.into()).is_some());
    let second_process = n.succeed().await;
    let leaving = tokio::spawn(n.node.leave());
    let whole = fetch_rest(&device, &first, 10).await;
    assert_eq!(whole.len(), "done ".len() + 1_200);
    let (_, good, log) = leaving.await.expect("the incumbent leaves");
    assert!(good && log.contains("coap: the successor has the front"), "{log}");
    let third_process = succeed(&second_process).await;
    assert!(second_process.leave().await.1);
    assert_eq!(fetch_rest(&device, &first, 100).await, whole);
    assert_eq!(device.request(&write(1, &body)).await.payload, first.payload);
    drop(third_process);
}

/// A device whose response was lost sent its write again after a replacement and was told 5.03, nothing has run (review/9). The
/// exchange is the next process's, and new writes are served at once.
#[tokio::test]
async fn a_write_that_has_run_is_answered_again_after_each_of_two_replacements() {
    let n = DeviceNode::start().await;
    let device = Device::new(n.coap).await;
    assert_eq!(code(&device.request(&write(1, "1 a")).await), "2.04");
    let second_process = n.succeed().await;
    assert!(n.node.leave().await.1);
    let again = device.request(&write(1, "1 a")).await;
    assert_eq!((code(&again), &again.payload[..]), ("2.04".to_owned(), &b"done a"[..]));
    assert_eq!(code(&device.request(&write(2, "1 b")).await), "2.04");
    let third_process = succeed(&second_process).await;
    assert!(second_process.leave().await.1);
    for (id, body, done) in [(1, "1 a", b"done a"), (2, "1 b", b"done b")] {
        assert_eq!(device.request(&write(id, body)).await.payload, done);
    }
    let runs = |name: &str| n.server.runs.lock().unwrap().get(name).copied();
    assert_eq!((runs("a"), runs("b")), (Some(1), Some(1)));
    drop(third_process);
}

/// Requests that run at the notice get their answers through the process that has the front by then, and new ones run there.
#[tokio::test]
async fn a_request_that_runs_at_the_notice_is_answered_once() {
    let n = DeviceNode::start().await;
    let device = Device::new(n.coap).await;
    let gated = write(1, "gate a");
    within("the run", async {
        while n.runs("a") == 0 {
            device.send(&gated).await;
            sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
    let successor = n.succeed().await;
    let server = n.server.clone();
    let leaving = tokio::spawn(n.node.leave());
    assert_eq!(code(&device.request(&write(2, "1 b")).await), "2.04");
    server.open_gate();
    let response = within("the answer", async {
        loop {
            if let Some(response) = device.receive(gated.get_token()).await {
                return response;
            }
        }
    })
    .await;
    assert_eq!((code(&response), &response.payload[..]), ("2.04".to_owned(), &b"done a"[..]));
    let (took, good, log) = leaving.await.expect("the incumbent leaves");
    assert!(good && took < BY_ITSELF, "{took:?}: {log}");
    assert_eq!(server.runs.lock().unwrap().get("a"), Some(&1));
    drop(successor);
}

/// The notice comes before the successor is ready: the front passes on with the drain's end, and the successor answers from it
/// once it takes clients.
#[tokio::test]
async fn a_successor_that_is_not_ready_at_the_notice_gets_the_front() {
    let (listener, server) = bind().await;
    let farm = Farm::new(2);
    tokio::spawn(farm.clone().uwsgi(listener));
    let ((_old, agent), (new, next)) = (start_agent(true).await, start_agent(false).await);
    let coap = free().await;
    let setup = Setup { settings: settings(2, 3_000, 6_000), slots: 8, stop_ms: 2_000, ..Setup::default() };
    let setup = Setup { servers: vec![server], edge: Some(edge(coap, 0)), ..setup };
    let incumbent = Setup { agent: Some(agent), ..setup }.start().await;
    incumbent.ready().await;
    std::fs::write(incumbent.folder().join("edge.toml"), edge(coap, 247_000)).expect("a file");
    let device = Device::new(coap).await;
    assert_eq!(code(&device.request(&write(1, "1 a")).await), "2.04");
    let successor = incumbent.succeed(next).await;
    answers_not_ready(&successor).await;
    let (_, good, log) = incumbent.leave().await;
    assert!(good && log.contains("drain: "), "{log}");
    new.asleep.store(false, Ordering::SeqCst);
    successor.ready().await;
    let again = device.request(&write(1, "1 a")).await;
    assert_eq!((code(&again), &again.payload[..]), ("2.04".to_owned(), &b"done a"[..]), "{log}");
    assert_eq!(farm.runs.lock().unwrap().get("a"), Some(&1));
}

/// A successor that takes over the sockets of an incumbent that is killed, and one whose incumbent can't pass the front on, know
/// nothing of the devices' writes: they fail, as they may have run, and are not refused.
#[tokio::test]
async fn writes_of_a_process_that_passed_nothing_on_fail() {
    let n = DeviceNode::start().await;
    let device = Device::new(n.coap).await;
    assert_eq!(code(&device.request(&write(1, "1 a")).await), "2.04");
    let successor = n.succeed().await;
    // Killed without notice.
    drop(n.node);
    assert_eq!(code(&device.request(&write(1, "1 a")).await), "5.02");
    assert_eq!(n.server.runs.lock().unwrap().get("a"), Some(&1));
    drop(successor);
}

/// A successor that dies takes nothing with it: the incumbent goes on with its front, and passes it to the next one.
#[tokio::test]
async fn the_front_stays_with_the_incumbent_of_a_successor_that_dies() {
    let n = DeviceNode::start().await;
    let device = Device::new(n.coap).await;
    assert_eq!(code(&device.request(&write(1, "1 a")).await), "2.04");
    drop(n.succeed().await);
    assert_eq!(device.request(&write(1, "1 a")).await.payload, b"done a");
    assert_eq!(code(&device.request(&write(2, "1 b")).await), "2.04");
    let successor = n.succeed().await;
    assert!(n.node.leave().await.1);
    for (id, body, done) in [(1, "1 a", b"done a"), (2, "1 b", b"done b")] {
        assert_eq!(device.request(&write(id, body)).await.payload, done);
    }
    drop(successor);
}

/// The successor stands still while the front is on its way: it answers when it goes on, from the whole state.
#[tokio::test]
async fn a_front_reaches_a_successor_that_stands_still() {
    let n = DeviceNode::start().await;
    let device = Device::new(n.coap).await;
    assert_eq!(code(&device.request(&write(1, "1 a")).await), "2.04");
    let successor = n.succeed().await;
    successor.freeze().await;
    let leaving = tokio::spawn(n.node.leave());
    sleep(Duration::from_millis(600)).await;
    device.send(&write(2, "1 b")).await;
    successor.thaw();
    assert_eq!(device.request(&write(1, "1 a")).await.payload, b"done a");
    assert_eq!(device.request(&write(2, "1 b")).await.payload, b"done b");
    assert!(leaving.await.expect("the incumbent leaves").1);
    let runs = n.server.runs.lock().unwrap().clone();
    assert_eq!((runs.get("a"), runs.get("b")), (Some(&1), Some(&1)));
}

/// Bodies in blocks, lost responses and results in blocks that meet the notice at any moment: each step of each device is tried at a moment of
/// its own around the notice, and none is told anything but what one process would have told it (review/8, review/9).
#[tokio::test]
async fn the_notice_may_come_at_any_moment_of_an_exchange() {
    const BLOCK1: u16 = 27;
    /// Between the devices' first steps, ms; the notice comes in the middle of them.
    const SPACING_MS: u64 = 12;
    const DEVICES: u64 = 30;
    let n = DeviceNode::start().await;
    let successor = n.succeed().await;
    let coap = n.coap;
    let part = |id: u16, bytes: &[u8], block: u8| {
        let mut message = write(id, "");
        message.payload = bytes.to_vec();
        message.add_option(BLOCK1.into(), vec![block]);
        message
    };
    let devices: Vec<_> = (0..DEVICES)
        .map(|i| {
            tokio::spawn(async move {
                let device = Device::new(coap).await;
                sleep(Duration::from_millis(i * SPACING_MS)).await;
                // A body of two blocks of 64 bytes, the second of which is short.
                let body = format!("1 {}", "b".repeat(80));
                let first = device.request(&part(1, &body.as_bytes()[..64], 0b1010)).await;
                assert_eq!(code(&first), "2.31", "the first block of device {i}");
                let last = device.request(&part(2, &body.as_bytes()[64..], 0b1_0010)).await;
                assert_eq!(code(&last), "2.04", "the last block of device {i}");
                assert_eq!(last.payload.len(), "done ".len() + 80);
                // A response that is lost: the message comes again, whether it has run by then or not.
                let lost = write(3, &format!("30 lost{i}"));
                device.send(&lost).await;
                sleep(Duration::from_millis(i % 5 * 10)).await;
                let again = device.request(&lost).await;
                assert_eq!(code(&again), "2.04", "the write of device {i} that is sent again");
                let large = device.request(&write(4, &format!("1 {}", "r".repeat(600)))).await;
                assert_eq!(code(&large), "2.04", "the large result of device {i}");
                assert_eq!(fetch_rest(&device, &large, 10).await.len(), "done ".len() + 600, "device {i}");
            })
        })
        .collect();
    sleep(Duration::from_millis(DEVICES * SPACING_MS / 2)).await;
    let (_, good, log) = n.node.leave().await;
    for device in devices {
        device.await.expect("each device was told the same as by one process");
    }
    assert!(good && log.contains("coap: the successor has the front"), "{log}");
    let runs = n.server.runs.lock().unwrap().clone();
    for i in 0..DEVICES {
        assert_eq!(runs.get(&format!("lost{i}")), Some(&1), "runs of the write of device {i}");
    }
    drop(successor);
}
