use super::*;

#[test]
fn messages_split_at_any_byte_are_decoded_and_malformed_ones_are_errors() {
    let attempt = || Attempt {
        name: "9b1f".into(),
        key: Some(IdempotencyKey { front: "one".into(), class: "order".into(), key: "a b\r\n".into() }),
        fingerprint: Fingerprint::of(b"body"),
        earliest: Micros(3),
        window_end: Micros(5),
        keep_until: Micros(7),
    };
    let known = |progress| Change::Known(attempt(), progress);
    let all = [
        HandoverMessage::Hello { name: "n3".into(), listen: None },
        HandoverMessage::Welcome {
            out_of_service: true,
            listeners: vec!["127.0.0.1:5050".parse().expect("the literal is a socket address")],
        },
        HandoverMessage::Busy,
        HandoverMessage::Ready,
        HandoverMessage::TakeoverConfirmed,
        HandoverMessage::Write(known(Progress::Open)),
        HandoverMessage::Write(known(Progress::Bad)),
        HandoverMessage::Write(known(Progress::Good(Bytes::from_static(b"\0\xff{}")))),
        HandoverMessage::Write(Change::Forgotten { name: "9b1f".into() }),
        HandoverMessage::Write(Change::Asked(attempt())),
        HandoverMessage::Write(Change::Granted { name: "9b1f".into() }),
        HandoverMessage::Write(Change::Taken { name: "9b1f".into() }),
    ];
    let (mut bytes, mut received, mut decoded) = (BytesMut::new(), BytesMut::new(), Vec::new());
    all.iter().for_each(|message| {
        HandoverCodec.encode(message.clone(), &mut bytes).expect("each message is within the size limits")
    });
    for byte in bytes {
        received.put_u8(byte);
        decoded.extend(HandoverCodec.decode(&mut received).expect("the bytes are valid messages"));
    }
    assert_eq!(decoded, all);
    let framed = |json: &str| [&(json.len() as u32).to_be_bytes()[..], &[0; 4], json.as_bytes()].concat();
    let malformed: [(&str, Vec<u8>); 5] = [
        ("another protocol", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("lengths above the limits", vec![0xff; 64]),
        ("JSON that is not a message", framed(r#"{"sing":1}"#)),
        ("invalid JSON", framed("]")),
        ("another version", framed(r#"{"hello":{"version":1,"name":"n3","listen":null}}"#)),
    ];
    for (what, bytes) in malformed {
        assert!(HandoverCodec.decode(&mut BytesMut::from(&bytes[..])).is_err(), "{what}");
    }
}
