//! Tables of cases for the parsers of bytes and files.

use bytes::{Bytes, BytesMut};
use holdlift::agent::NoticeCodec;
use holdlift::end::End;
use holdlift::front::msgpack::{ValueCodec, pack};
use holdlift::front::uwsgi::packet::{self, PacketCodec};
use holdlift::http::ResponseCodec;
use holdlift::inventory;
use holdlift::upstream::uwsgi::ReplyCodec;
use tokio_util::codec::Decoder;

/// The items and the end that a codec decodes from `bytes` in one piece; feeding them byte by byte must give the same.
fn decode_all<D: Decoder<Error = End>>(make: impl Fn() -> D, bytes: &[u8]) -> String
where
    D::Item: std::fmt::Debug,
{
    let feed = |step: usize| {
        let (mut codec, mut buffer, mut seen) = (make(), BytesMut::new(), Vec::new());
        for chunk in bytes.chunks(step) {
            buffer.extend_from_slice(chunk);
            loop {
                match codec.decode(&mut buffer) {
                    Ok(Some(item)) => seen.push(format!("{item:?}")),
                    Ok(None) => break,
                    Err(end) => return [seen, vec![format!("{end:?}")]].concat().join("; "),
                }
            }
        }
        match codec.decode_eof(&mut buffer) {
            Ok(Some(item)) => seen.push(format!("{item:?}")),
            Ok(None) => {}
            Err(end) => seen.push(format!("{end:?}")),
        }
        seen.join("; ")
    };
    let whole = feed(bytes.len().max(1));
    assert_eq!(whole, feed(1), "byte by byte: {bytes:?}");
    whole
}

#[test]
fn messagepack_values() {
    let seen: Vec<String> = [
        &b"\x94\x00\x07\xa5quote\x92\x81\xa1a\xa1b\xc4\x02\x00\xff"[..],
        b"\xc0\xc3\x05\xff\xd0\x80\xcd\x01\x00\xcb\x3f\xf8\0\0\0\0\0\0",
        b"\xd9\x02hi\xda\x00\x01x\xdc\x00\x01\x01\xde\x00\x01\x01\x02",
        b"\xc7\x01\x05x\xd4\x01\x00",
        b"\xc1",
        b"\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x01",
        b"\xdd\xff\xff\xff\xff",
        b"\xc6\xff\xff\xff\xff",
        b"\x92\x01",
    ]
    .iter()
    .map(|b| decode_all(ValueCodec::default, b))
    .collect();
    insta::assert_snapshot!(seen.join("\n"));
    let endless = [&b"\xc6\x7f\xff\xff\xff"[..], &[0; 40 << 10]].concat();
    assert_eq!(ValueCodec::default().decode(&mut BytesMut::from(&endless[..])), Err(End::Oversized));
}

#[test]
fn messagepack_writes_what_it_reads() {
    for n in [0, 31, 32, 255, 256, 70_000] {
        let value = pack::Value::Array(vec![
            pack::Value::Bin(Bytes::from(vec![7; n])),
            pack::text("x".repeat(n)),
            pack::Value::Int(n as i128 - 300),
            pack::Value::Array(vec![pack::Value::Nil; n.min(70)]),
        ]);
        let mut out = BytesMut::new();
        pack::write(&mut out, &value);
        assert_eq!(pack::Reader::new(&out.freeze()).read(), Ok(value));
    }
}

#[test]
fn agent_notices() {
    let seen: Vec<String> = [
        "greeting cold 12.5\r\nsampled t 0.5 3 0.25 7\r\nexercised t ok\r\naside 4 no meaning at all\r\n",
        "outcome 9 9b1f03aa5c7e2d41 ok 18.532 4\r\na\r\nb\r\nrequest 10 77 0\r\n\r\n",
        "outcome 59 478a474c97cf6a20 halted 1321.065 0\r\n\r\nrefusal launch 77\r\nrefusal sample\r\n",
        "outcome 1 x ok 1 2\r\nab--",
        "outcome 1 x ok 1 99999999\r\n",
        "outcome x x ok 1 0\r\n",
        "outcome 1 x well 1 0\r\n\r\n",
        "outcome 1 x ok 1",
        "dance\r\n",
    ]
    .iter()
    .map(|t| decode_all(NoticeCodec::default, t.as_bytes()))
    .collect();
    insta::assert_snapshot!(seen.join("\n"));
}

#[test]
fn http_responses() {
    let seen: Vec<String> = [
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 503 Busy\r\nx-untouched: 1\r\ncontent-length: 0\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nno length",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
        "SSH-2.0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
        "HTTP/1.1 101 Switch\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nab",
        &"HTTP/1.1 100 Continue\r\n\r\n".repeat(17),
        &format!("HTTP/1.1 200 OK\r\n{}", "X: y\r\n".repeat(2_000)),
    ]
    .iter()
    .map(|t| decode_all(ResponseCodec::default, t.as_bytes()))
    .collect();
    insta::assert_snapshot!(seen.join("\n"));
}

#[test]
fn uwsgi_packets() {
    let of = |vars: &[(&str, &[u8])]| {
        let mut out = BytesMut::new();
        packet::write(vars, &mut out).expect("the vars fit into a packet");
        out.to_vec()
    };
    let good = of(&[("A", b"1"), ("CONTENT_LENGTH", b"3")]);
    let seen: Vec<String> = [
        [&good[..], b"a\0c trailing"].concat(),
        of(&[]),
        of(&[("CONTENT_LENGTH", b"")]),
        of(&[("CONTENT_LENGTH", b"+3")]),
        of(&[("CONTENT_LENGTH", b"101")]),
        of(&[("CONTENT_LENGTH", b"99999999999999999999999999")]),
        of(&[("", b"x")]),
        of(&[("BIG", &[b'x'; 200])]),
        vec![5, 0, 0, 0],
        vec![0, 0, 0, 1],
        vec![0, 3, 0, 0, 9, 0, b'x'],
        vec![0, 1],
        vec![],
        good[..good.len() - 2].to_vec(),
        [&good[..], b"a"].concat(),
    ]
    .iter()
    .map(|b| decode_all(|| PacketCodec::new(128, 100), b))
    .collect();
    insta::assert_snapshot!(seen.join("\n"));
}

#[test]
fn uwsgi_replies() {
    let seen: Vec<String> = [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
        "HTTP/1.0 200 OK\r\n\r\nuntil the end",
        "Status: 201 Created\r\nX: y\r\n\r\nmade",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 two\r\n\r\n",
        "",
    ]
    .iter()
    .map(|t| decode_all(|| ReplyCodec::new(100, false), t.as_bytes()))
    .collect();
    insta::assert_snapshot!(seen.join("\n"));
    let bare = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n";
    assert!(decode_all(|| ReplyCodec::new(100, true), bare.as_bytes()).contains("Content-Length: 500"));
}

#[test]
fn inventories() {
    let yaml = |t: &str| inventory::parse("hosts.yaml", t, false, "web");
    let csv = |t: &str| inventory::parse("hosts.csv", t, true, "web");
    let seen: Vec<String> = [
        yaml("all:\n  vars: {ansible_port: 1, slots: 3}\n  children:\n    web:\n      vars: {ansible_port: 2}\n      hosts:\n        a: {ansible_host: 127.0.0.1}\n        b: {ansible_host: 127.0.0.2, ansible_port: 9, ansible_user: x, tags: [y]}\n"),
        yaml("web:\n  children:\n    inner:\n      hosts:\n        127.0.0.[8:10]:\n      vars: {ansible_port: 5}\n"),
        yaml("web:\n  hosts:\n    a: {ansible_host: 127.0.0.1, ansible_port: 1}\n    a: {ansible_host: 127.0.0.2, ansible_port: 1}\n"),
        yaml("web:\n  hosts:\n    a: {ansible_host: 127.0.0.1, ansible_port: 1}\n    b: {ansible_host: 127.0.0.1, ansible_port: 1}\n"),
        yaml("web:\n  hosts:\n    a: {ansible_host: 127.0.0.1, ansible_port: 1}\nold:\n  hosts:\n    a: {ansible_host: 127.0.0.9}\n"),
        yaml("web:\n  hosts:\n    a:\n      ansible_host: 127.0.0.1\n      ansible_port: 70000\n"),
        yaml("web:\n  hosts:\n    a: {ansible_host: 127.0.0.1}\n"),
        yaml("web:\n  hosts:\n    a: {ansible_host: gate.example, ansible_port: 1}\n"),
        yaml("web:\n  children:\n    low:\n      children:\n        web:\n"),
        yaml("web:\n  hots: {}\n"),
        yaml("web: [a]\n"),
        yaml("web:\n  hosts: {a: {ansible_host: 1"),
        yaml("other:\n  hosts:\n"),
        yaml("web:\n  hosts:\n    a[3:1]:\n"),
        csv("name,group,ansible_host,ansible_port,slots\na,web,127.0.0.1,3031,4\nb,web,127.0.0.2,3031,\nc,db,127.0.0.3,1,1\n"),
        csv("name,color\na,red\n"),
        csv("group,ansible_port\nweb,1\n"),
        csv("name,name\na,b\n"),
        csv("name,group,ansible_host,ansible_port\na,web,127.0.0.1,1\n\na,web,127.0.0.2,1\n"),
        csv("name,group,ansible_host,ansible_port\na,web,127.0.0.1,0\n"),
        csv("name,group,ansible_host,ansible_port,slots\na,web,127.0.0.1,1,none\n"),
        csv("name,group,ansible_host,ansible_port\na,web,127.0.0.1\n"),
        csv("name,group,ansible_host,ansible_port\n,web,127.0.0.1,1\n"),
    ]
    .into_iter()
    .map(|r| match r {
        Ok(hosts) => hosts.iter().map(|h| format!("{} {} x{}", h.name, h.address, h.slots)).collect::<Vec<_>>().join(", "),
        Err(e) => e.to_string(),
    })
    .collect();
    insta::assert_snapshot!(seen.join("\n"));
}
