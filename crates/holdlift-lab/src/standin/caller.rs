//! A caller that speaks the platform's MessagePack-RPC.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use holdlift::front::msgpack::{ValueCodec, pack};
use pack::{Value, text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio_util::codec::Decoder;

use super::{unix_ms, within};

/// A caller's connection.
pub struct Caller {
    stream: TcpStream,
    buffer: BytesMut,
    codec: ValueCodec,
}

pub fn map(fields: &[(&str, &str)]) -> Value {
    Value::Map(fields.iter().map(|(k, v)| (text(*k), text(*v))).collect())
}

/// The fields of a request that is fit, with `more` over them.
pub fn fields(name: &str, more: &[(&str, &str)]) -> Value {
    let since = unix_ms().to_string();
    let mut all = BTreeMap::from([
        ("ref", name),
        ("since", &since),
        ("sender", "1"),
        ("project", "acme"),
        ("room", "20"),
        ("class_rank", "0.5"),
    ]);
    all.extend(more.iter().copied());
    map(&all.into_iter().filter(|(_, v)| !v.is_empty()).collect::<Vec<_>>())
}

/// How a request was answered: `ok`, or the error's word; and the body or nothing; and the fields.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub id: i128,
    pub word: String,
    pub body: Bytes,
    pub fields: String,
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Caller {
        Caller::on(TcpStream::connect(address).await.expect("a connection"))
    }

    /// On a connection that is made.
    pub fn on(stream: TcpStream) -> Caller {
        Caller { stream, buffer: BytesMut::new(), codec: ValueCodec::default() }
    }

    pub async fn send(&mut self, message: Value) {
        let mut out = BytesMut::new();
        pack::write(&mut out, &message);
        self.raw(&out).await;
    }

    pub async fn raw(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    pub async fn ask(&mut self, id: i128, class: &str, fields: Value, body: &str) {
        let body = Value::Bin(Bytes::copy_from_slice(body.as_bytes()));
        let params = Value::Array(vec![fields, body]);
        self.send(Value::Array(vec![Value::Int(0), Value::Int(id), text(class), params])).await;
    }

    pub async fn cancel(&mut self, id: i128) {
        let params = Value::Array(vec![Value::Int(id)]);
        self.send(Value::Array(vec![Value::Int(2), text("cancel"), params])).await;
    }

    /// Whether a health check, deep or not, comes back good.
    pub async fn health(&mut self, id: i128) -> bool {
        let params = Value::Array(vec![map(&[])]);
        self.send(Value::Array(vec![Value::Int(0), Value::Int(id), text("health"), params])).await;
        loop {
            let Some(Value::Array(m)) = self.next().await else { panic!("no answer") };
            // Past notifications.
            if let [Value::Int(1), _, _, result] = &m[..] {
                return matches!(result, Value::Array(r) if r[0] == Value::Bool(true));
            }
        }
    }

    /// Waits until a health check, numbered from 1, comes back good.
    pub async fn healthy(&mut self) {
        within("a good check", async {
            let mut id = 1;
            while !self.health(id).await {
                id += 1;
                sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
    }

    /// The next message; nothing once the connection has ended.
    pub async fn next(&mut self) -> Option<Value> {
        loop {
            if let Some(v) = self.codec.decode(&mut self.buffer).expect("MessagePack") {
                return Some(v);
            }
            if within("a message", self.stream.read_buf(&mut self.buffer)).await.ok()? == 0 {
                return None;
            }
        }
    }

    /// Waits for the notification that no new requests are wanted here.
    pub async fn last_call(&mut self) {
        while let Some(message) = self.next().await {
            if matches!(&message, Value::Array(m) if m[0] == Value::Int(2) && m[1].text() == Some("lastCall"))
            {
                return;
            }
        }
        panic!("no last call");
    }

    /// The next answer, past notifications.
    pub async fn answer(&mut self) -> Option<Answer> {
        loop {
            let Value::Array(m) = self.next().await? else { panic!("no message") };
            if let [Value::Int(1), Value::Int(id), error, result] = &m[..] {
                let (word, body, fields) = match (error, result) {
                    (Value::Nil, Value::Array(r)) => match &r[..] {
                        [Value::Bin(b), f] => ("ok".to_owned(), b.clone(), f.clone()),
                        other => panic!("{other:?}"),
                    },
                    (Value::Array(e), Value::Nil) => {
                        (e[0].text().expect("a word").to_owned(), Bytes::new(), e[1].clone())
                    }
                    other => panic!("{other:?}"),
                };
                return Some(Answer { id: *id, word, body, fields: format!("{fields:?}") });
            }
        }
    }
}
