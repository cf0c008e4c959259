//! Messages between two processes of one node: lengths, a head in JSON, and a result where there is one.

use bytes::{Bytes, BytesMut};
use holdlift::Micros;
use holdlift::idempotency::{Attempt, Change, Fingerprint, IdempotencyKey, Progress};
use holdlift::service::NodeOrder;
use holdlift::service::handover::{HandoverCodec, HandoverMessage, PeerFeatures, SharedZoneStatuses};
use holdlift::zone::{ZoneStatus, ZoneStatusMap};
use tokio_util::codec::{Decoder, Encoder};

use crate::pinned::{Codec, Pinned, names};

fn attempt(key: Option<IdempotencyKey>) -> Attempt {
    Attempt {
        name: "9b1f".into(),
        key,
        fingerprint: Fingerprint([0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 254, 255]),
        earliest: Micros(3),
        window_end: Micros(500),
        keep_until: Micros(70_000),
    }
}

fn keyed() -> Attempt {
    let key = IdempotencyKey { front: "rest".into(), class: "order".into(), key: "a b\r\n\"".into() };
    attempt(Some(key))
}

#[test]
fn every_handover_message_has_the_pinned_bytes() {
    let mut pinned = Pinned::of("handover");
    let codec = Codec::<HandoverMessage> {
        encode: |message| {
            let mut bytes = BytesMut::new();
            HandoverCodec.encode(message.clone(), &mut bytes).expect("it fits");
            bytes.to_vec()
        },
        decode: |bytes| {
            let mut bytes = BytesMut::from(bytes);
            let message = HandoverCodec.decode(&mut bytes).ok()??;
            bytes.is_empty().then_some(message)
        },
    };
    let names = names!(HandoverMessage {
        HandoverMessage::Hello { listen: Some(_), .. } => "hello",
        HandoverMessage::Hello { listen: None, .. } => "hello-without-address",
        HandoverMessage::Welcome { .. } => "welcome",
        HandoverMessage::Busy => "busy",
        HandoverMessage::Ready => "ready",
        HandoverMessage::TakeoverConfirmed => "takeover-confirmed",
        HandoverMessage::Write(Change::Known(_, Progress::Open)) => "write-known-running",
        HandoverMessage::Write(Change::Known(_, Progress::Good(_))) => "write-known-succeeded",
        HandoverMessage::Write(Change::Known(_, Progress::Bad)) => "write-known-failed",
        HandoverMessage::Write(Change::Forgotten { .. }) => "write-forgotten",
        HandoverMessage::Write(Change::Asked(_)) => "write-query",
        HandoverMessage::Write(Change::Granted { .. }) => "write-granted",
        HandoverMessage::Write(Change::Taken { .. }) => "write-taken",
        HandoverMessage::Order(_) => "order",
        HandoverMessage::Zones(_) => "zones",
        HandoverMessage::Barrier(_) => "barrier",
        HandoverMessage::BarrierPassed(_) => "barrier-passed",
        HandoverMessage::CoapPart { .. } => "coap-part",
        HandoverMessage::CoapReleased => "coap-released",
    });
    let address = |text: &str| text.parse().expect("an address");
    let name = || "9b1f".to_owned();
    let result = Bytes::from_static(b"\0\xff{}");
    let hello = |listen, features| HandoverMessage::Hello { name: "node-7".into(), listen, features };
    let zones = || SharedZoneStatuses {
        age: Micros(250_000),
        statuses: ZoneStatusMap { epoch: 7, statuses: vec![ZoneStatus::new("jkt-a")] },
    };
    let order = |is_out_of_service, revision| NodeOrder { is_out_of_service, revision };
    // Without features: the bytes of the builds that had none.
    let (none, all) = (PeerFeatures::default(), PeerFeatures { orders: true, coap_format: 1, zones: false });
    let with_zones = PeerFeatures { zones: true, ..all };
    let values = [
        ("", hello(Some(address("127.0.0.1:5050")), none)),
        ("features", hello(Some(address("127.0.0.1:5050")), all)),
        ("zones", hello(Some(address("127.0.0.1:5050")), with_zones)),
        ("", hello(None, none)),
        (
            "out-of-service",
            HandoverMessage::Welcome {
                order: order(true, 0),
                listeners: vec![address("127.0.0.1:5050"), address("[::1]:5051")],
                has_coap_socket: false,
                zones: None,
                features: none,
            },
        ),
        (
            "in-service",
            HandoverMessage::Welcome {
                order: order(false, 0),
                listeners: Vec::new(),
                has_coap_socket: false,
                zones: None,
                features: none,
            },
        ),
        (
            "features",
            HandoverMessage::Welcome {
                order: order(false, 5),
                listeners: Vec::new(),
                has_coap_socket: true,
                zones: None,
                features: all,
            },
        ),
        (
            "zones",
            HandoverMessage::Welcome {
                order: order(false, 5),
                listeners: Vec::new(),
                has_coap_socket: false,
                zones: Some(zones()),
                features: with_zones,
            },
        ),
        ("", HandoverMessage::Busy),
        ("", HandoverMessage::Ready),
        ("", HandoverMessage::TakeoverConfirmed),
        ("", HandoverMessage::Write(Change::Known(keyed(), Progress::Open))),
        ("without-key", HandoverMessage::Write(Change::Known(attempt(None), Progress::Open))),
        ("", HandoverMessage::Write(Change::Known(keyed(), Progress::Good(result)))),
        (
            "without-result",
            HandoverMessage::Write(Change::Known(attempt(None), Progress::Good(Bytes::new()))),
        ),
        ("", HandoverMessage::Write(Change::Known(keyed(), Progress::Bad))),
        ("", HandoverMessage::Write(Change::Forgotten { name: name() })),
        ("", HandoverMessage::Write(Change::Asked(keyed()))),
        ("", HandoverMessage::Write(Change::Granted { name: name() })),
        ("", HandoverMessage::Write(Change::Taken { name: name() })),
        ("", HandoverMessage::Order(order(true, 6))),
        ("", HandoverMessage::Zones(zones())),
        ("", HandoverMessage::Barrier(3)),
        ("", HandoverMessage::BarrierPassed(3)),
        ("", HandoverMessage::CoapPart { is_last: true, bytes: Bytes::from_static(b"\0state") }),
        ("", HandoverMessage::CoapReleased),
    ];
    pinned.variants(&names, &values, &codec);
    pinned.finish();
}
