//! Property tests of the CoAP front: any behaviour of the link, and any bytes received.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use coap_lite::{MessageClass, MessageType, Packet};
use holdlift::Micros;
use holdlift::front::coap::{EXCHANGE_LIFETIME, NON_LIFETIME};
use proptest::prelude::*;

use crate::script::*;

/// A device that retransmits until it is acknowledged, acknowledges each response, and records its answers by token.
struct Device {
    at: SocketAddr,
    waiting: BTreeMap<u16, (Vec<u8>, u32)>,
    answers: BTreeMap<Vec<u8>, Vec<Vec<u8>>>,
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Under loss, duplication and reordering: no request is submitted to the core twice, no device gets two different
    /// answers to one request, and no state is left after all lifetimes have expired.
    #[test]
    fn requests_run_once_under_loss_duplication_and_reordering(links in prop::collection::vec((0..10u8, 0..3_000u64), 20..300), lost in 0..4u8) {
        let mut f = TestFront::new("");
        let mut devices: Vec<Device> = (1..=3).map(|n| Device { at: peer(n), waiting: BTreeMap::new(), answers: BTreeMap::new() }).collect();
        // Datagrams in transit: true to the node, false to a device.
        let mut in_transit: VecDeque<(bool, SocketAddr, Vec<u8>)> = VecDeque::new();
        let mut id = 0u16;
        let mut submissions = BTreeMap::<String, u32>::new();
        let mut seen = 0;
        for (what, n) in links {
            match what {
                // A new request.
                0 | 1 => {
                    id += 1;
                    let d = &mut devices[n as usize % 3];
                    let p = bytes(&post(id, "/jobs", format!("1 j{id}").as_bytes()));
                    d.waiting.insert(id, (p.clone(), 0));
                    in_transit.push_back((true, d.at, p));
                }
                // Retransmissions.
                2 => for d in &mut devices {
                    for (p, tries) in d.waiting.values_mut().filter(|w| w.1 < 4) {
                        *tries += 1;
                        in_transit.push_back((true, d.at, p.clone()));
                    }
                },
                // The core answers one of the submitted requests.
                3 => if let Some((number, _)) = f.submitted.get(n as usize % f.submitted.len().max(1)).cloned() {
                    let mut out = Vec::new();
                    f.coap.answer(f.now, number, &served(&format!("r{number}")), &mut out);
                    for (to, b) in f.record(out) {
                        in_transit.push_back((false, to, b));
                    }
                },
                4 => {
                    let (end, mut out) = (f.now + ms(n), Vec::new());
                    while let Some(at) = f.coap.deadline().filter(|at| *at <= end) {
                        f.now = f.now.max(at);
                        f.coap.sweep(f.now, &mut out);
                    }
                    f.now = end;
                    for (to, b) in f.record(out) {
                        in_transit.push_back((false, to, b));
                    }
                }
                // The link delivers, loses, duplicates or reorders a datagram.
                _ => if !in_transit.is_empty() {
                    let i = n as usize % in_transit.len();
                    let (up, device, b) = in_transit.remove(i).expect("the index is below the number of datagrams");
                    if n % 7 == 0 {
                        in_transit.push_back((up, device, b.clone()));
                    }
                    if (n % 11) as u8 >= lost {
                        if up {
                            for (to, b) in f.receive(device, &b) {
                                in_transit.push_back((false, to, b));
                            }
                        } else {
                            let d = devices.iter_mut().find(|d| d.at == device).expect("every address belongs to a device");
                            let p = Packet::from_bytes(&b).expect("the front sends valid messages");
                            if p.header.get_type() == MessageType::Acknowledgement {
                                d.waiting.remove(&p.header.message_id);
                            }
                            if p.header.get_type() == MessageType::Confirmable {
                                let [high, low] = p.header.message_id.to_be_bytes();
                                in_transit.push_back((true, device, vec![0x60, 0, high, low]));
                            }
                            if p.header.code != MessageClass::Empty {
                                d.answers.entry(p.get_token().to_vec()).or_default().push(p.payload.clone());
                            }
                        }
                    }
                },
            }
            for (_, body) in &f.submitted[seen..] {
                *submissions.entry(body.clone()).or_default() += 1;
            }
            seen = f.submitted.len();
        }
        prop_assert!(submissions.values().all(|n| *n == 1), "submitted twice: {submissions:?}");
        for d in &devices {
            for (token, all) in &d.answers {
                prop_assert!(all.iter().all(|a| *a == all[0]), "two answers to {token:?}: {all:?}");
            }
        }
        let all: Vec<u64> = f.submitted.iter().map(|a| a.0).collect();
        for number in all {
            f.answer(number, &served("end"));
        }
        // Each device may wait for eight responses, each retransmitted for up to 93 s, one after the other.
        f.advance(Micros(8 * ms(93_000).0 + 2 * EXCHANGE_LIFETIME.0 + NON_LIFETIME.0));
        prop_assert!(f.coap.idle());
        prop_assert_eq!(f.coap.holds(), (0, 0, (0, 0)));
    }

    /// Any bytes cause no panic, and no table grows past its bound.
    #[test]
    fn any_bytes_stay_within_the_bounds(datagrams in prop::collection::vec((prop::collection::vec(any::<u8>(), 0..120), 0..4u16, any::<bool>()), 0..200)) {
        let mut f = TestFront::new("exchanges = 64\nuploads_bytes = 16384\nbody_bytes = 1024\nresults_bytes = 65536");
        for (mut b, n, like_request) in datagrams {
            // Half of them begin like a request.
            if like_request && b.len() > 4 {
                b[0] = 0x40 | (b[0] & 0x13);
                b[1] = 1 + b[1] % 4;
            }
            f.receive(peer(n), &b);
            f.now = f.now + ms(7);
            f.advance(ms(1));
        }
        let (exchanges, open, (uploads, results)) = f.coap.holds();
        prop_assert!(exchanges <= 64 && open <= 64 && uploads <= 16_384 && results <= 65_536);
    }
}
