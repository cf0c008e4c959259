//! A gateway that speaks uwsgi, and the server's side of reading a packet.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use holdlift::front::uwsgi::packet::{self, PacketCodec, Part};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;

use super::within;

pub async fn read_packet(stream: &mut TcpStream) -> Option<(packet::Vars, Bytes)> {
    let mut codec = PacketCodec::new(1 << 16, 1 << 20);
    let (mut buffer, mut head) = (BytesMut::new(), None);
    loop {
        match codec.decode(&mut buffer).expect("a packet") {
            Some(Part::Head(_, vars)) => head = Some(vars),
            Some(Part::Body(body)) => return Some((head.expect("a head"), body)),
            None if stream.read_buf(&mut buffer).await.ok()? == 0 => return None,
            None => {}
        }
    }
}

pub fn packet(vars: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let length = body.len().to_string();
    let mut all: Vec<(&str, &[u8])> = vec![("CONTENT_LENGTH", length.as_bytes())];
    all.extend(vars.iter().map(|(k, v)| (*k, v.as_bytes())));
    let mut out = BytesMut::new();
    packet::write(&all, &mut out).expect("vars that fit");
    out.extend_from_slice(body);
    out.to_vec()
}

/// Sends bytes to the uwsgi front and reads until it closes: the status line and the rest.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> (String, String) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let _ = stream.write_all(bytes).await;
    read_reply(&mut stream).await
}

pub async fn read_reply(stream: &mut TcpStream) -> (String, String) {
    let mut got = Vec::new();
    let _ = within("a reply", stream.read_to_end(&mut got)).await;
    let text = String::from_utf8_lossy(&got).into_owned();
    let (line, rest) = text.split_once("\r\n").unwrap_or((&text, ""));
    (line.to_owned(), rest.to_owned())
}
