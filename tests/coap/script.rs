//! A CoAP front with a simulated clock, and a short text form of datagrams.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use coap_lite::{MessageClass, MessageType, Packet, RequestType};
use holdlift::Micros;
use holdlift::front::CurrentSettings;
use holdlift::front::coap::message::{Block, option};
use holdlift::front::coap::{Coap, Output};
use holdlift::node::{Answer, FailureReason, Input};
use holdlift::settings::from_json;

use crate::net::settings;

const UWSGI: &str = "listen = \"127.0.0.1:1\"\ninventory = \"x\"\n[vars]\nclass = \"PATH_INFO\"\n";

pub fn peer(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, 1], n))
}

pub fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

/// A front, its clock, and the requests it has submitted to the core and rejected.
pub struct TestFront {
    pub coap: Coap,
    pub now: Micros,
    pub submitted: Vec<(u64, String)>,
    pub rejected: Vec<FailureReason>,
}

impl TestFront {
    pub fn new(more: &str) -> TestFront {
        let quiet = if more.contains("quiet_ms") { "" } else { "quiet_ms = 0\n" };
        let text = format!(
            "listen = \"127.0.0.1:5683\"\n{quiet}{more}\n[classes]\n\"/jobs\" = \"book-job\"\n[query]\nrank = \"rank\"\n"
        );
        let config = toml::from_str(&text).expect("the configuration text is valid");
        let settings =
            CurrentSettings::new(from_json(&settings(2, 3_000, 6_000)).expect("the test settings are valid"));
        let uwsgi = toml::from_str(UWSGI).expect("the configuration text is valid");
        let now = ms(1_000_000_000);
        let coap = Coap::new(settings, Rc::new(config), Rc::new(uwsgi), 7, now);
        TestFront { coap, now, submitted: Vec::new(), rejected: Vec::new() }
    }

    pub fn record(&mut self, out: Vec<Output>) -> Vec<(SocketAddr, Vec<u8>)> {
        let mut sent = Vec::new();
        for o in out {
            match o {
                Output::Send(to, bytes) => sent.push((to, bytes)),
                Output::ToCore(Input::RequestReceived(o, request)) => {
                    self.submitted.push((o.connection, String::from_utf8_lossy(&request.body).into_owned()));
                }
                Output::ToCore(Input::RequestRejected(why)) => self.rejected.push(why),
                Output::ToCore(other) => panic!("{other:?}"),
            }
        }
        sent
    }

    pub fn receive(&mut self, from: SocketAddr, bytes: &[u8]) -> Vec<(SocketAddr, Vec<u8>)> {
        let mut out = Vec::new();
        self.coap.receive(self.now, from, bytes, &mut out);
        self.record(out)
    }

    /// Delivers a message of the first peer; returns the datagrams sent in response, as text.
    pub fn exchange(&mut self, p: &Packet) -> Vec<String> {
        self.receive(peer(1), &bytes(p)).iter().map(|(_, b)| summary(b)).collect()
    }

    pub fn answer(&mut self, number: u64, a: &Answer) -> Vec<String> {
        let mut out = Vec::new();
        self.coap.answer(self.now, number, a, &mut out);
        self.record(out).iter().map(|(_, b)| summary(b)).collect()
    }

    /// Advances the clock; returns the datagrams sent by timers, with their time since the call, ms.
    pub fn advance(&mut self, span: Micros) -> Vec<(u64, String)> {
        let (start, end) = (self.now, self.now + span);
        let mut all = Vec::new();
        while let Some(at) = self.coap.deadline().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            let mut out = Vec::new();
            self.coap.sweep(self.now, &mut out);
            let sent = self.record(out);
            all.extend(sent.iter().map(|(_, b)| ((self.now - start).0 / 1000, summary(b))));
        }
        self.now = end;
        all
    }
}

pub fn message(kind: MessageType, id: u16, token: &[u8], method: RequestType, path: &str) -> Packet {
    let mut p = Packet::new();
    p.header.set_version(1);
    p.header.set_type(kind);
    p.header.code = MessageClass::Request(method);
    p.header.message_id = id;
    p.set_token(token.to_vec());
    for part in path.split('/').filter(|s| !s.is_empty()) {
        p.add_option(option::URI_PATH.into(), part.as_bytes().to_vec());
    }
    p
}

/// A confirmable request, with a padded query so that the amplification limit allows an immediate response.
pub fn confirmable(id: u16, method: RequestType, path: &str) -> Packet {
    let mut p = message(MessageType::Confirmable, id, &id.to_be_bytes(), method, path);
    p.add_option(option::URI_QUERY.into(), vec![b'p'; 250]);
    p
}

pub fn get(id: u16, path: &str) -> Packet {
    confirmable(id, RequestType::Get, path)
}

pub fn post(id: u16, path: &str, body: &[u8]) -> Packet {
    let mut p = confirmable(id, RequestType::Post, path);
    p.payload = body.to_vec();
    p
}

pub fn with(mut p: Packet, number: u16, value: Vec<u8>) -> Packet {
    p.add_option(number.into(), value);
    p
}

pub fn block(num: u32, more: bool, szx: u8) -> Vec<u8> {
    Block { num, more, szx }.write()
}

pub fn bytes(p: &Packet) -> Vec<u8> {
    p.to_bytes_unlimited().expect("the test message can be encoded")
}

/// A datagram as text, such as `ACK 7 2.05 "body" b2=0+/5`: type, message id (omitted where the front chose it), code,
/// payload, block options and the tested numeric options.
pub fn summary(b: &[u8]) -> String {
    let p = Packet::from_bytes(b).expect("the front sends valid messages");
    let kind = match p.header.get_type() {
        MessageType::Confirmable => "CON".to_owned(),
        MessageType::NonConfirmable => "NON".to_owned(),
        MessageType::Acknowledgement => format!("ACK {}", p.header.message_id),
        MessageType::Reset => format!("RST {}", p.header.message_id),
    };
    let mut t = kind;
    if p.header.code != MessageClass::Empty {
        t += &format!(" {}", p.header.code);
    }
    if !p.payload.is_empty() {
        t += &format!(" {:?}", String::from_utf8_lossy(&p.payload));
    }
    for (n, name) in [(option::BLOCK1, "b1"), (option::BLOCK2, "b2")] {
        if let Some(v) = p.get_first_option(n.into()) {
            let b = Block::read(v).expect("the front sends valid block options");
            t += &format!(" {name}={}{}/{}", b.num, if b.more { "+" } else { "" }, b.szx);
        }
    }
    for (n, name) in [(option::MAX_AGE, "age"), (option::SIZE2, "size2"), (option::SIZE1, "size1")] {
        if let Some(v) = p.get_first_option(n.into()) {
            t += &format!(" {name}={}", v.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)));
        }
    }
    t
}

pub fn served(body: &str) -> Answer {
    Answer::Completed(Bytes::from(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())))
}
