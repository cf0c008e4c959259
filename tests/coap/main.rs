//! The CoAP front: exchanges of datagrams with a simulated clock, and a node on a real socket.

mod links;
#[path = "../net/mod.rs"]
mod net;
mod script;
mod transfer;

use std::time::Duration;

use bytes::Bytes;
use coap_lite::{MessageType, Packet, RequestType};
use holdlift::Micros;
use holdlift::front::coap::message::{option, uint};
use holdlift::front::coap::{EXCHANGE_LIFETIME, Output};
use holdlift::node::{Answer, FailureReason};
use net::*;
use script::*;

/// The message layer of RFC 7252: sections 4.2, 4.3, 5.2 and the examples of its appendix A.
#[test]
fn each_message_type_gets_its_reply() {
    // Piggybacked.
    let mut f = TestFront::new("");
    assert!(f.exchange(&get(1, "/quote")).is_empty());
    assert_eq!(f.answer(1, &served("22.3")), ["ACK 1 2.05 \"22.3\""]);
    // Not confirmable.
    let mut non = get(2, "/quote");
    non.header.set_type(MessageType::NonConfirmable);
    assert!(f.exchange(&non).is_empty());
    assert_eq!(f.answer(2, &served("22.3")), ["NON 2.05 \"22.3\""]);
    // A ping, messages that are not requests, and invalid datagrams.
    let ping = [0x40, 0, 0, 9];
    let table: [(&str, &[u8], &[&str]); 8] = [
        ("a ping", &ping, &["RST 9"]),
        ("an empty one that is not confirmable", &[0x50, 0, 0, 9], &[]),
        ("a response", &[0x40, 0x45, 0, 9], &["RST 9"]),
        ("another version", &[0x80, 1, 0, 9], &[]),
        ("cut off", &[0x40, 1, 0], &[]),
        ("a token of nine", &[0x49, 1, 0, 9, 1, 2, 3, 4, 5, 6, 7, 8, 9], &["RST 9"]),
        ("a marker without a payload", &[0x40, 1, 0, 9, 0xff], &["RST 9"]),
        ("an option that is cut off", &[0x40, 1, 0, 9, 0xb5, b'q'], &["RST 9"]),
    ];
    for (what, datagram, want) in table {
        let responses: Vec<String> = f.receive(peer(1), datagram).iter().map(|(_, b)| summary(b)).collect();
        assert_eq!(responses, want, "{what}");
    }
    assert_eq!(f.submitted.len(), 2);
}

/// A slow response: an empty ACK after 200 ms, then a separate response, retransmitted 4 times, first after 2 to 3 s and
/// with doubled waits; one separate response at a time for each peer.
#[test]
fn slow_responses_are_sent_separately_one_at_a_time() {
    let mut f = TestFront::new("");
    f.exchange(&get(1, "/quote"));
    f.exchange(&get(2, "/quote"));
    assert_eq!(f.advance(ms(1_000)), [(200, "ACK 1".to_owned()), (200, "ACK 2".to_owned())]);
    let first = f.answer(1, &served("a"));
    assert_eq!(first, ["CON 2.05 \"a\""]);
    assert!(f.answer(2, &served("b")).is_empty(), "the first has not been acknowledged");
    let again = f.advance(ms(200_000));
    let (of_a, of_b): (Vec<_>, Vec<_>) = again.iter().partition(|(_, s)| s.contains('a'));
    let gaps: Vec<u64> = of_a.windows(2).map(|w| w[1].0 - w[0].0).collect();
    assert!((2_000..=3_000).contains(&of_a[0].0), "{of_a:?}");
    assert_eq!(gaps.len(), 3);
    assert!(gaps.iter().zip([2, 4, 8]).all(|(g, n)| g.abs_diff(of_a[0].0 * n) <= 1), "{of_a:?}");
    assert!(of_b.len() >= 2 && of_b[0].0 > of_a[3].0, "the second goes out when the first is given up");
    assert_eq!((f.coap.tally.again, f.coap.tally.undelivered), (8, 2));
    assert!(f.coap.idle());
    // An acknowledged response is not sent again; nor is one that was reset.
    for (kind, id) in [(2, 3), (3, 4)] {
        f.exchange(&get(id, "/quote"));
        f.advance(ms(300));
        let mut out = Vec::new();
        f.coap.answer(f.now, u64::from(id), &served("c"), &mut out);
        let Output::Send(_, sent) = &out[0] else { panic!("{out:?}") };
        f.receive(peer(1), &[0x40 | kind << 4, 0, sent[2], sent[3]]);
        assert!(f.coap.idle() && f.advance(ms(50_000)).is_empty());
    }
}

/// The same message ten times, before and after its answer, also when the ACK was lost: the core gets one request, and
/// each duplicate gets the reply of the first. A reused id with another token is an error of the peer and is reset.
#[test]
fn duplicates_submit_no_request() {
    let mut f = TestFront::new("");
    let write = post(5, "/jobs", b"1 w");
    for _ in 0..10 {
        assert!(f.exchange(&write).is_empty());
    }
    f.advance(ms(300));
    for _ in 0..10 {
        assert_eq!(f.exchange(&write), ["ACK 5"]);
    }
    f.answer(1, &served("w"));
    assert_eq!(f.exchange(&write), ["ACK 5"], "the response is sent separately");
    let quick = post(6, "/jobs", b"1 x");
    f.exchange(&quick);
    f.answer(2, &served("x"));
    for _ in 0..10 {
        assert_eq!(f.exchange(&quick), ["ACK 6 2.04 \"x\""]);
    }
    let mut other = post(6, "/jobs", b"1 y");
    other.set_token(vec![9, 9]);
    assert_eq!(f.exchange(&other), ["RST 6"]);
    assert_eq!(f.submitted.len(), 2);
    // The last time at which the message is a duplicate, and the first at which it is a new message.
    f.advance(EXCHANGE_LIFETIME - ms(301));
    assert_eq!(f.exchange(&quick), ["ACK 6 2.04 \"x\""]);
    f.advance(ms(301));
    assert!(f.exchange(&quick).is_empty());
    assert_eq!(f.submitted.len(), 3);
}

/// Invalid requests get their error codes and do not reach the core.
#[test]
fn invalid_requests_get_error_codes() {
    let mut f = TestFront::new("");
    let long = vec![b'x'; 20_000];
    let table = [
        ("no such class", get(1, "/dance"), "ACK 1 4.04"),
        ("a read of a write", get(2, "/jobs"), "ACK 2 4.05"),
        ("another method", confirmable(3, RequestType::Delete, "/quote"), "ACK 3 4.05"),
        ("an unknown critical option", with(get(4, "/quote"), 9, vec![1]), "ACK 4 4.02"),
        ("a condition", with(get(5, "/quote"), 1, vec![1]), "ACK 5 4.02"),
        ("a proxy's address", with(get(6, "/quote"), option::PROXY_URI, b"coap://x".to_vec()), "ACK 6 5.05"),
        ("a reserved block size", with(post(7, "/jobs", b"x"), option::BLOCK1, vec![7]), "ACK 7 4.00"),
        ("a rank beyond", with(get(8, "/quote"), option::URI_QUERY, b"rank=2".to_vec()), "ACK 8 4.00"),
        ("a path that is no text", with(get(9, "/quote"), option::URI_PATH, vec![0xff]), "ACK 9 4.00"),
        ("too large", post(10, "/jobs", &long), "ACK 10 4.13 size1=16384"),
        ("a part of no result", with(get(11, "/quote"), option::BLOCK2, block(3, false, 2)), "ACK 11 4.08"),
    ];
    for (what, p, want) in table {
        assert_eq!(f.exchange(&p), [want], "{what}");
    }
    assert!(f.submitted.is_empty());
    let answers = [
        (Answer::Refused { retry_after: ms(2_500), is_final: false }, "5.03 age=3"),
        (Answer::Failed(FailureReason::DeadlineExceeded), "5.04"),
        (Answer::Failed(FailureReason::RunFailed), "5.02"),
        (Answer::Failed(FailureReason::RepeatedWrite), "5.02"),
        (Answer::Completed(Bytes::from_static(b"HTTP/1.1 404 No\r\n\r\n")), "4.04"),
        (Answer::Completed(Bytes::from_static(b"Status: 201 Made\r\n\r\n")), "2.01"),
        (Answer::Completed(Bytes::from_static(b"nonsense")), "5.02"),
    ];
    for (n, (answer, want)) in answers.into_iter().enumerate() {
        f.exchange(&get(100 + n as u16, "/quote"));
        assert_eq!(
            f.answer(f.submitted.last().expect("a request was submitted").0, &answer),
            [format!("ACK {} {want}", 100 + n)]
        );
    }
    // After a start, duplicates may arrive of writes that the previous process accepted.
    let mut f = TestFront::new("quiet_ms = 5000");
    assert_eq!(f.exchange(&post(1, "/jobs", b"w")), ["ACK 1 5.03 age=5"]);
    assert!(f.exchange(&get(2, "/quote")).is_empty());
    f.advance(ms(5_000));
    assert!(f.exchange(&post(3, "/jobs", b"w")).is_empty());
    assert_eq!(f.submitted.len(), 2);
}

/// Bodies in blocks (RFC 7959 section 3.2), in order and out of order.
#[test]
fn uploads_in_blocks_are_assembled_or_rejected() {
    let part = |id, num: u32, more, fill: u8| {
        with(post(id, "/jobs", &[fill; 32][..if more { 32 } else { 5 }]), option::BLOCK1, block(num, more, 1))
    };
    let tagged = |p, tag: u8| with(p, option::REQUEST_TAG, vec![tag]);
    let mut f = TestFront::new("body_bytes = 100\nuploads_bytes = 160");
    assert_eq!(f.exchange(&part(1, 0, true, b'a')), ["ACK 1 2.31 b1=0+/1"]);
    assert_eq!(f.exchange(&part(2, 1, true, b'b')), ["ACK 2 2.31 b1=1+/1"]);
    // Repeated under another id after its answer was lost.
    assert_eq!(f.exchange(&part(3, 1, true, b'b')), ["ACK 3 2.31 b1=1+/1"]);
    assert!(f.exchange(&part(4, 2, false, b'c')).is_empty());
    let body = format!("{}{}{}", "a".repeat(32), "b".repeat(32), "c".repeat(5));
    assert!(f.submitted[0].1.ends_with(&body), "{:?}", f.submitted[0].1);
    let number = f.submitted[0].0;
    assert_eq!(f.answer(number, &served("ok")), ["ACK 4 2.04 \"ok\" b1=2/1"]);
    // A gap, a block out of order, a block shorter than its stated size, a smaller block size at a matching offset.
    assert_eq!(f.exchange(&part(5, 1, true, b'x')), ["ACK 5 4.08"]);
    f.exchange(&part(6, 0, true, b'a'));
    assert_eq!(f.exchange(&part(7, 2, true, b'x')), ["ACK 7 4.08"]);
    let mut short_one = part(8, 1, true, b'b');
    short_one.payload.truncate(9);
    assert_eq!(f.exchange(&short_one), ["ACK 8 4.00"]);
    let small = with(post(9, "/jobs", &[b's'; 16]), option::BLOCK1, block(2, true, 0));
    assert_eq!(f.exchange(&small), ["ACK 9 2.31 b1=2+/0"]);
    // Two uploads to one path, distinguished by their Request-Tags.
    assert_eq!(f.exchange(&tagged(part(10, 0, true, b'p'), 1)), ["ACK 10 2.31 b1=0+/1"]);
    assert_eq!(f.exchange(&tagged(part(11, 0, true, b'q'), 2)), ["ACK 11 2.31 b1=0+/1"]);
    assert!(f.exchange(&tagged(part(12, 1, false, b'p'), 1)).is_empty());
    assert!(f.submitted[1].1.ends_with(&format!("{}ppppp", "p".repeat(32))));
    assert!(f.exchange(&tagged(part(13, 1, false, b'q'), 2)).is_empty());
    assert!(f.submitted[2].1.ends_with(&format!("{}qqqqq", "q".repeat(32))));
    // A body too large at its last block; a full upload budget; and a stalled upload, which is dropped.
    f.exchange(&part(14, 0, true, b'a'));
    f.exchange(&part(15, 1, true, b'a'));
    f.exchange(&part(16, 2, true, b'a'));
    assert_eq!(f.exchange(&part(17, 3, true, b'a')), ["ACK 17 4.13 size1=100"]);
    for n in 0..5 {
        assert_eq!(
            f.exchange(&tagged(part(20 + n, 0, true, b'a'), n as u8)),
            [format!("ACK {} 2.31 b1=0+/1", 20 + n)]
        );
    }
    assert_eq!(f.exchange(&tagged(part(30, 0, true, b'a'), 30)), ["ACK 30 5.03 age=5"]);
    assert_eq!(f.coap.holds().2.0, 160);
    f.advance(ms(60_000));
    assert_eq!(f.coap.holds().2.0, 0);
}

/// Results in blocks (RFC 7959 section 3.1): the first with ETag and size, the rest from the stored result, in the block
/// size that the peer requests; dropped when they are not fetched.
#[test]
fn results_are_fetched_in_blocks() {
    let mut f = TestFront::new("");
    let body: String = ('a'..='z').collect::<String>().repeat(30);
    f.exchange(&with(get(1, "/quote"), option::BLOCK2, block(0, false, 4)));
    let first = f.answer(1, &served(&body));
    assert!(first[0].starts_with("ACK 1 2.05") && first[0].ends_with("b2=0+/4 size2=780"), "{first:?}");
    let mut got = body[..256].to_owned();
    for n in 1..4u16 {
        let p = with(get(1 + n, "/quote"), option::BLOCK2, block(u32::from(n), false, 4));
        let response = f.exchange(&p).remove(0);
        let more = if n < 3 { "+" } else { "" };
        assert!(response.ends_with(&format!("b2={n}{more}/4 size2=780")), "{response}");
        got += response.split('"').nth(1).expect("the block has a payload");
    }
    assert_eq!(got, body);
    assert_eq!(f.submitted.len(), 1, "later blocks submit no request");
    // A block past the end; another block size at the same offset; a peer without a stored result.
    assert_eq!(f.exchange(&with(get(9, "/quote"), option::BLOCK2, block(4, false, 4))), ["ACK 9 4.02"]);
    let p = with(get(10, "/quote"), option::BLOCK2, block(24, false, 1));
    assert!(f.exchange(&p)[0].contains(&format!("{:?} b2=24/1", &body[768..])), "{:?}", f.exchange(&p));
    let other = f.receive(peer(2), &bytes(&with(get(11, "/quote"), option::BLOCK2, block(1, false, 4))));
    assert_eq!(summary(&other[0].1), "ACK 11 4.08");
    f.advance(ms(60_000));
    assert_eq!(f.exchange(&with(get(12, "/quote"), option::BLOCK2, block(1, false, 4))), ["ACK 12 4.08"]);
    // The list of classes (RFC 6690).
    let list = f.exchange(&get(13, "/.well-known/core")).remove(0);
    assert!(
        list.contains("</quote>;rt=\\\"holdlift.read\\\"")
            && list.contains("</jobs>;rt=\\\"holdlift.write\\\""),
        "{list}"
    );
}

/// An unverified address is sent at most three times the bytes received from it, and must first return an Echo where its
/// request is very small. A flood of unverified addresses holds at most a quarter of the exchange table.
#[test]
fn unverified_addresses_are_limited_until_they_return_an_echo() {
    let mut f = TestFront::new("exchanges = 64");
    let small = message(MessageType::Confirmable, 1, &[1], RequestType::Get, "/quote");
    let sent = f.receive(peer(1), &bytes(&small));
    let response = Packet::from_bytes(&sent[0].1).expect("the front sends valid messages");
    assert_eq!((summary(&sent[0].1).as_str(), f.submitted.len(), f.coap.holds().0), ("ACK 1 4.01", 0, 0));
    assert!(sent[0].1.len() <= 3 * bytes(&small).len());
    let echo =
        response.get_first_option(option::ECHO.into()).expect("the response carries an Echo option").clone();
    let again = |id, echo| {
        with(message(MessageType::Confirmable, id, &[1], RequestType::Get, "/quote"), option::ECHO, echo)
    };
    // The Echo of another address is not valid.
    assert_eq!(summary(&f.receive(peer(2), &bytes(&again(2, echo.clone())))[0].1), "ACK 2 4.01");
    assert!(f.receive(peer(1), &bytes(&again(3, echo.clone()))).is_empty());
    assert_eq!(f.submitted.len(), 1);
    // An unverified address gets a small block of a large result.
    let mut padded = message(MessageType::Confirmable, 4, &[1], RequestType::Get, "/quote");
    padded.add_option(option::URI_QUERY.into(), vec![b'p'; 40]);
    f.receive(peer(3), &bytes(&padded));
    let mut out = Vec::new();
    f.coap.answer(f.now, 2, &served(&"x".repeat(4_000)), &mut out);
    let Output::Send(_, answer) = &out[0] else { panic!("{out:?}") };
    assert!(answer.len() <= 3 * bytes(&padded).len(), "{} for {}", answer.len(), bytes(&padded).len());
    assert!(summary(answer).contains("b2=0+/"));
    // A flood of unverified addresses.
    for n in 10..2_000 {
        let responses = f.receive(peer(n), &bytes(&get(n, "/quote")));
        assert!(responses.iter().all(|(_, b)| b.len() <= 3 * bytes(&get(n, "/quote")).len()));
    }
    assert_eq!(
        f.coap.holds().0,
        64 / 4 + 1,
        "a quarter of the table, and the exchange of the verified address"
    );
    assert!(f.coap.tally.echoes > 1_900);
    // A verified address is still admitted.
    assert!(f.receive(peer(1), &bytes(&again(50, echo))).is_empty());
}

/// A message was refused without an exchange, and its sender repeated the request under another id: a late duplicate of
/// the refused message must not run as well. The reason may be a missing Echo, a full table or too many open requests.
#[test]
fn a_late_duplicate_of_a_refused_message_never_runs() {
    let small = |id| message(MessageType::Confirmable, id, &[1], RequestType::Post, "/jobs");
    let echo_of = |bytes: &[u8]| {
        let p = Packet::from_bytes(bytes).expect("the front sends valid messages");
        p.get_first_option(option::ECHO.into()).expect("the response carries an Echo option").clone()
    };
    // Refused for a missing Echo, as the message is small.
    let mut f = TestFront::new("");
    let echo = echo_of(&f.receive(peer(1), &bytes(&small(1)))[0].1);
    assert!(f.receive(peer(1), &bytes(&with(small(2), option::ECHO, echo.clone()))).is_empty());
    assert_eq!(summary(&f.receive(peer(1), &bytes(&small(1)))[0].1), "ACK 1 4.01");
    assert_eq!(f.submitted.len(), 1);
    // Refused for a missing Echo while many unverified exchanges are open; these have expired when the duplicate arrives.
    let mut f = TestFront::new("exchanges = 64");
    for n in 10..26 {
        f.receive(peer(n), &bytes(&get(n, "/quote")));
    }
    let first = post(1, "/jobs", b"w");
    let echo = echo_of(&f.receive(peer(1), &bytes(&first))[0].1);
    f.submitted
        .iter()
        .map(|a| a.0)
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|n| _ = f.answer(n, &served("x")));
    f.advance(EXCHANGE_LIFETIME - ms(1));
    assert!(f.receive(peer(1), &bytes(&with(post(2, "/jobs", b"w"), option::ECHO, echo))).len() <= 1);
    let submitted_before = f.submitted.len();
    assert_eq!(summary(&f.receive(peer(1), &bytes(&first))[0].1), "ACK 1 4.01");
    assert_eq!(f.submitted.len(), submitted_before);
    // Refused for too many open requests, of which none is open when the duplicate arrives.
    let mut f = TestFront::new("peer_requests = 1");
    f.exchange(&get(1, "/quote"));
    let first = post(2, "/jobs", b"w");
    assert_eq!(f.exchange(&first), ["ACK 2 4.29 age=1"]);
    f.answer(1, &served("x"));
    assert!(f.exchange(&post(3, "/jobs", b"w")).is_empty());
    f.answer(2, &served("x"));
    assert_eq!(f.exchange(&first), ["ACK 2 5.03 age=5"]);
    assert_eq!(f.submitted.len(), 2);
    f.advance(Micros(2 * EXCHANGE_LIFETIME.0));
    assert!(f.exchange(&first).is_empty(), "after two lifetimes it is a new message");
}

/// A full table, or a peer at its limit, refuses new requests, and still answers duplicates.
#[test]
fn a_full_table_refuses_new_requests_and_answers_duplicates() {
    let mut f = TestFront::new("exchanges = 64\npeer_requests = 3");
    let echo = Packet::from_bytes(
        &f.receive(peer(1), &bytes(&message(MessageType::Confirmable, 1, &[1], RequestType::Get, "/quote")))
            [0]
        .1,
    )
    .expect("the front sends valid messages")
    .get_first_option(option::ECHO.into())
    .expect("the response carries an Echo option")
    .clone();
    let one = |id| with(get(id, "/quote"), option::ECHO, echo.clone());
    for id in 10..13 {
        assert!(f.exchange(&one(id)).is_empty());
    }
    assert_eq!(f.exchange(&one(13)), ["ACK 13 4.29 age=1"]);
    for n in 1..=3 {
        f.answer(n, &served("x"));
    }
    for id in 20..81 {
        f.exchange(&one(id));
        let number = f.submitted.last().expect("a request was submitted").0;
        f.answer(number, &served("x"));
    }
    assert_eq!(f.coap.holds().0, 64);
    assert_eq!(f.exchange(&one(90)), ["ACK 90 5.03 age=5"]);
    assert_eq!(f.exchange(&one(10)), ["ACK 10 2.05 \"x\""]);
    f.advance(EXCHANGE_LIFETIME);
    assert_eq!(f.coap.holds().0, 0);
}

/// A device that restarts and reuses its tokens, and one whose address changes in the middle of an upload.
#[test]
fn reused_tokens_and_changed_addresses_mix_no_requests() {
    let mut f = TestFront::new("");
    for id in [1, 2] {
        let mut p = post(id, "/jobs", format!("1 r{id}").as_bytes());
        p.set_token(vec![7]);
        assert!(f.exchange(&p).is_empty());
    }
    assert_eq!(f.submitted.len(), 2, "two messages are two requests, whatever their tokens");
    assert_eq!(f.answer(2, &served("b")), ["ACK 2 2.04 \"b\""]);
    assert_eq!(f.answer(1, &served("a")), ["ACK 1 2.04 \"a\""]);
    let part = |id, num| with(post(id, "/jobs", &[b'x'; 32]), option::BLOCK1, block(num, true, 1));
    assert_eq!(f.exchange(&part(3, 0)), ["ACK 3 2.31 b1=0+/1"]);
    let moved = f.receive(peer(2), &bytes(&part(4, 1)));
    assert_eq!(summary(&moved[0].1), "ACK 4 4.08", "an upload does not follow the device to a new address");
    assert_eq!(f.exchange(&part(5, 1)), ["ACK 5 2.31 b1=1+/1"], "the upload of the old address is unchanged");
}

/// A device, a node and a server on real sockets: a write runs once however often it is sent, and the counters show it.
#[tokio::test]
async fn a_write_sent_repeatedly_over_udp_runs_once() {
    let (listener, server) = bind().await;
    let farm = Farm::new(2);
    tokio::spawn(farm.clone().uwsgi(listener));
    let at = free().await;
    let edge = format!("[coap]\nlisten = \"{at}\"\nquiet_ms = 0\n[coap.classes]\n\"/jobs\" = \"book-job\"\n");
    let settings = settings(2, 3_000, 6_000);
    let node = Setup { settings, servers: vec![server], slots: 2, edge: Some(edge), ..Setup::default() }
        .start()
        .await;
    let device = tokio::net::UdpSocket::bind("127.0.0.1:0").await.expect("a local UDP socket can be bound");
    let request = async |p: &Packet| {
        // The UDP socket is bound shortly after the first listener, so the first datagrams may be lost.
        let mut buffer = [0; 2_048];
        within("a response", async {
            loop {
                let _ = device.send_to(&bytes(p), at).await;
                if let Ok(Ok((n, _))) =
                    tokio::time::timeout(Duration::from_millis(500), device.recv_from(&mut buffer)).await
                {
                    let got = summary(&buffer[..n]);
                    // A response that comes late may belong to an earlier message, which was sent more than once by then.
                    let acknowledgement = format!("ACK {}", p.header.message_id);
                    if got.starts_with(&format!("{acknowledgement} ")) {
                        return got;
                    }
                    assert!(got == acknowledgement || got.starts_with("ACK 1 "), "{got}");
                }
            }
        })
        .await
    };
    assert_eq!(request(&get(1, "/quote")).await.split('"').next(), Some("ACK 1 2.05 "));
    let write = post(2, "/jobs", b"20 w");
    for _ in 0..5 {
        assert_eq!(request(&write).await, "ACK 2 2.04 \"done w\"");
    }
    assert_eq!(farm.runs.lock().unwrap().get("w"), Some(&1));
    let (took, good, log) = node.leave().await;
    assert!(good && took < BY_ITSELF, "{log}");
    assert!(
        log.contains("asked.Coap=2")
            && log.contains("coap: exchanges=2 open=0")
            && log.contains("duplicates="),
        "{log}"
    );
    assert_eq!(uint(0), Vec::<u8>::new());
}

/// After the notice to leave, an open exchange is answered, and a request after the grace period is refused and never
/// runs.
#[tokio::test]
async fn draining_answers_an_open_exchange_and_refuses_late_requests() {
    let (listener, server) = bind().await;
    let farm = Farm::new(2);
    tokio::spawn(farm.clone().uwsgi(listener));
    let at = free().await;
    let edge = format!("[coap]\nlisten = \"{at}\"\nquiet_ms = 0\n[coap.classes]\n\"/jobs\" = \"book-job\"\n");
    let setup =
        Setup { settings: settings(2, 3_000, 6_000), servers: vec![server], slots: 2, ..Setup::default() };
    let node = Setup { edge: Some(edge), stop_ms: 4_000, ..setup }.start().await;
    let device = tokio::net::UdpSocket::bind("127.0.0.1:0").await.expect("a local UDP socket can be bound");
    within("the run", async {
        while farm.runs.lock().unwrap().is_empty() {
            let _ = device.send_to(&bytes(&post(1, "/jobs", b"gate w")), at).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
    // The grace period of 0.3 s counts from when the node has the notice, which it passes on to its callers.
    let mut caller = Caller::connect(node.msgpack).await;
    caller.healthy().await;
    let leaving = tokio::spawn(node.leave());
    caller.last_call().await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    let _ = device.send_to(&bytes(&post(2, "/jobs", b"1 late")), at).await;
    let (mut seen, mut buffer) = (Vec::new(), [0; 2_048]);
    let mut open = true;
    while seen.len() < 2 {
        let (n, _) =
            within("an answer", device.recv_from(&mut buffer)).await.expect("the socket receives a datagram");
        let got = summary(&buffer[..n]);
        if got.starts_with("CON") {
            let ack = [0x60, 0, buffer[2], buffer[3]];
            let _ = device.send_to(&ack, at).await;
        }
        if got != "ACK 1" && got != "ACK 2" && !seen.contains(&got) {
            seen.push(got);
        }
        if std::mem::take(&mut open) {
            farm.open_gate();
        }
    }
    seen.sort();
    assert!(seen[0].starts_with("ACK 2 5.03 age=") && seen[1] == "CON 2.04 \"done w\"", "{seen:?}");
    assert!(!farm.runs.lock().unwrap().contains_key("late"));
    let (took, good, log) = leaving.await.expect("the task that stops the node ends without a panic");
    assert!(good && took < BY_ITSELF, "{log}");
}
