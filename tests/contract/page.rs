//! A caller written from the protocol page alone: MessagePack by its published format, fields by the page's table. It shares
//! no code with the program, so a name that the program gets wrong is wrong here only if the page is.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use holdlift_lab::{unix_ms, within};

/// A request of a caller, as the page's table of fields has it.
#[derive(Clone)]
pub struct Request {
    pub class: &'static str,
    pub fields: BTreeMap<&'static str, String>,
    pub body: Vec<u8>,
}

impl Request {
    /// A request that came to the machine just now, with the fields that the page has for every class.
    pub fn new(class: &'static str, reference: &str) -> Request {
        let fields = BTreeMap::from([
            ("ref", reference.to_owned()),
            ("since", unix_ms().to_string()),
            ("sender", "4".to_owned()),
            ("room", "24.5".to_owned()),
            ("class_rank", "0.6250".to_owned()),
        ]);
        Request { class, fields, body: b"body".to_vec() }
    }

    pub fn with(mut self, field: &'static str, value: &str) -> Request {
        self.fields.insert(field, value.to_owned());
        self
    }

    pub fn without(mut self, field: &'static str) -> Request {
        self.fields.remove(field);
        self
    }

    pub fn body(mut self, body: &str) -> Request {
        self.body = body.as_bytes().to_vec();
        self
    }
}

/// How a request was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Served(Vec<u8>),
    /// The error `Full`: this attempt never ran.
    Refused,
    /// Any other error.
    Failed,
}

/// A caller's connection.
pub struct PageCaller {
    stream: TcpStream,
    input: Vec<u8>,
}

impl PageCaller {
    pub async fn connect(to: SocketAddr) -> PageCaller {
        PageCaller { stream: TcpStream::connect(to).await.expect("connected"), input: Vec::new() }
    }

    /// `[0, ID, CLASS, [FIELDS, BODY]]`
    pub async fn send(&mut self, id: u32, request: &Request) {
        let mut out = vec![0x94, 0x00, 0xce];
        out.extend(id.to_be_bytes());
        string(&mut out, request.class);
        out.push(0x92);
        out.push(0x80 | request.fields.len() as u8);
        for (name, value) in &request.fields {
            string(&mut out, name);
            string(&mut out, value);
        }
        out.push(0xc5);
        out.extend((request.body.len() as u16).to_be_bytes());
        out.extend(&request.body);
        self.stream.write_all(&out).await.expect("written");
    }

    /// The next answer and its id, past notifications; nothing once the connection has ended.
    pub async fn answer(&mut self) -> Option<(u32, Reply)> {
        loop {
            let message = self.message().await?;
            let Item::List(parts) = message else { panic!("no message: {message:?}") };
            if let [Item::Number(1), Item::Number(id), error, result] = &parts[..] {
                return Some((*id as u32, reply(error, result)));
            }
        }
    }

    async fn message(&mut self) -> Option<Item> {
        loop {
            let mut rest = &self.input[..];
            if let Some(item) = item(&mut rest) {
                let used = self.input.len() - rest.len();
                self.input.drain(..used);
                return Some(item);
            }
            let mut part = [0; 4096];
            let n = within("an answer", self.stream.read(&mut part)).await.unwrap_or(0);
            if n == 0 {
                return None;
            }
            self.input.extend(&part[..n]);
        }
    }
}

fn reply(error: &Item, result: &Item) -> Reply {
    match (error, result) {
        (Item::Nil, Item::List(parts)) => match &parts[..] {
            [Item::Bytes(body), Item::Map(_)] => Reply::Served(body.clone()),
            other => panic!("no result: {other:?}"),
        },
        (Item::List(parts), Item::Nil) => match &parts[..] {
            [Item::Text(word), Item::Map(_)] if word == "Full" => Reply::Refused,
            [Item::Text(_), Item::Map(_)] => Reply::Failed,
            other => panic!("no error: {other:?}"),
        },
        other => panic!("no answer: {other:?}"),
    }
}

fn string(out: &mut Vec<u8>, text: &str) {
    out.push(0xd9);
    out.push(u8::try_from(text.len()).expect("a short text"));
    out.extend(text.as_bytes());
}

/// A MessagePack value, as far as answers hold any.
#[derive(Clone, Debug, PartialEq)]
enum Item {
    Nil,
    Bool,
    Number(u64),
    Text(String),
    Bytes(Vec<u8>),
    List(Vec<Item>),
    Map(usize),
}

fn take<'a>(rest: &mut &'a [u8], n: usize) -> Option<&'a [u8]> {
    let (taken, left) = rest.split_at_checked(n)?;
    *rest = left;
    Some(taken)
}

fn length(rest: &mut &[u8], bytes: usize) -> Option<usize> {
    Some(take(rest, bytes)?.iter().fold(0, |n, b| n << 8 | usize::from(*b)))
}

fn list(rest: &mut &[u8], n: usize) -> Option<Item> {
    (0..n).map(|_| item(rest)).collect::<Option<_>>().map(Item::List)
}

fn map(rest: &mut &[u8], n: usize) -> Option<Item> {
    (0..2 * n).try_for_each(|_| item(rest).map(drop)).map(|()| Item::Map(n))
}

/// The next value; nothing while it is not there whole.
fn item(rest: &mut &[u8]) -> Option<Item> {
    let text = |bytes: &[u8]| Item::Text(String::from_utf8_lossy(bytes).into_owned());
    Some(match take(rest, 1)?[0] {
        0xc0 => Item::Nil,
        0xc2 | 0xc3 => Item::Bool,
        n @ 0..=0x7f => Item::Number(u64::from(n)),
        size @ 0xcc..=0xcf => Item::Number(length(rest, 1 << (size - 0xcc))? as u64),
        size @ 0xc4..=0xc6 => {
            let n = length(rest, 1 << (size - 0xc4))?;
            Item::Bytes(take(rest, n)?.to_vec())
        }
        n @ 0xa0..=0xbf => text(take(rest, usize::from(n & 0x1f))?),
        size @ 0xd9..=0xdb => {
            let n = length(rest, 1 << (size - 0xd9))?;
            text(take(rest, n)?)
        }
        n @ 0x90..=0x9f => list(rest, usize::from(n & 0xf))?,
        0xdc => {
            let n = length(rest, 2)?;
            list(rest, n)?
        }
        n @ 0x80..=0x8f => map(rest, usize::from(n & 0xf))?,
        0xde => {
            let n = length(rest, 2)?;
            map(rest, n)?
        }
        other => panic!("a value that no answer holds: {other:#x}"),
    })
}
