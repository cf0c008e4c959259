use bytes::Bytes;

use super::*;
use crate::idempotency::{Attempt, Fingerprint, IdempotencyKey, Progress};
use crate::zone::ZoneStatus;

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
        HandoverMessage::Hello { name: "n3".into(), listen: None, features: PeerFeatures::default() },
        HandoverMessage::Hello { name: "n3".into(), listen: None, features: all_features() },
        HandoverMessage::Welcome {
            order: NodeOrder { is_out_of_service: true, revision: 0 },
            listeners: vec!["127.0.0.1:5050".parse().expect("the literal is a socket address")],
            has_coap_socket: false,
            zones: None,
            features: PeerFeatures::default(),
        },
        HandoverMessage::Welcome {
            order: NodeOrder { is_out_of_service: false, revision: 7 },
            listeners: Vec::new(),
            has_coap_socket: true,
            zones: Some(zones()),
            features: all_features(),
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
        HandoverMessage::Order(NodeOrder { is_out_of_service: true, revision: 8 }),
        HandoverMessage::Zones(zones()),
        HandoverMessage::Barrier(3),
        HandoverMessage::BarrierPassed(3),
        HandoverMessage::CoapPart { is_last: false, bytes: Bytes::from_static(b"\0state") },
        HandoverMessage::CoapReleased,
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

fn all_features() -> PeerFeatures {
    PeerFeatures { orders: true, coap_format: 1, zones: true }
}

fn zones() -> SharedZoneStatuses {
    let statuses = ["jkt-a", "jkt-b"].map(ZoneStatus::new).to_vec();
    SharedZoneStatuses { age: Micros(250_000), statuses: ZoneStatusMap { epoch: 7, statuses } }
}

/// A process of a former build reads the head alone, and offers and agrees on nothing.
#[test]
fn offers_of_features_do_not_change_the_head_and_later_features_are_ignored() {
    let hello = |features| HandoverMessage::Hello { name: "n3".into(), listen: None, features };
    let bytes = |features| {
        let mut bytes = BytesMut::new();
        HandoverCodec.encode(hello(features), &mut bytes).expect("the message is within the size limits");
        bytes
    };
    let (former, present) = (bytes(PeerFeatures::default()), bytes(all_features()));
    let head_bytes = former.len() - LENGTHS_BYTES;
    assert_eq!(former[4..LENGTHS_BYTES], [0; 4], "nothing follows the head");
    assert_eq!(present[LENGTHS_BYTES..][..head_bytes], former[LENGTHS_BYTES..]);
    let later = br#"{"features":{"orders":true,"coap-format":1,"zones":true,"telepathy":3},"mood":1}"#;
    let mut received = BytesMut::from(&former[..4]);
    received.put_u32(later.len() as u32);
    received.extend_from_slice(&former[LENGTHS_BYTES..]);
    received.extend_from_slice(later);
    let decoded = HandoverCodec.decode(&mut received).expect("unknown features are no error");
    assert_eq!(decoded, Some(hello(all_features())));
}

/// A front passes on only in a format that both processes have, and only with barriers.
#[test]
fn shared_features_are_those_of_both_processes() {
    let features = |orders, coap_format| PeerFeatures { orders, coap_format, zones: false };
    let follows_zones = |orders, zones| PeerFeatures { orders, coap_format: 0, zones };
    for (ours, theirs, shared) in [
        (features(true, 1), features(true, 1), features(true, 1)),
        (features(true, 1), features(true, 2), features(true, 0)),
        (features(true, 1), features(true, 0), features(true, 0)),
        (features(true, 1), features(false, 1), features(false, 0)),
        (features(true, 1), PeerFeatures::default(), PeerFeatures::default()),
        (follows_zones(true, true), follows_zones(true, true), follows_zones(true, true)),
        (follows_zones(true, true), follows_zones(true, false), follows_zones(true, false)),
        (follows_zones(true, true), follows_zones(false, true), follows_zones(false, false)),
    ] {
        assert_eq!((ours.shared_with(theirs), theirs.shared_with(ours)), (shared, shared));
    }
}
