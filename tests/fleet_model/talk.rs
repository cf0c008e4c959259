//! Membership traffic of one node in datagrams and bytes a second, in fleets of 12 and of 300 nodes.

use std::collections::HashMap;

use holdlift::Micros;
use holdlift::fleet::LeaseInstant;
use holdlift::fleet::datagram::{DatagramCodec, FleetMessage};
use holdlift::fleet::membership::{Member, Members, MembershipAction, Role};

fn member(i: usize) -> Member {
    let addr = std::net::SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8 + 1], 7_400));
    let (zone, region) = (format!("jkt-{}", i % 3), "jkt".to_owned());
    Member {
        name: format!("intake-{i}"),
        incarnation: 1_764_000_000_000_000,
        addr,
        role: Role::Node,
        zone,
        region,
    }
}

/// Runs only the membership protocol of `n` nodes. Returns the datagrams and the bytes that each node sends a second
/// after 40 s, and the share of all other members that the nodes know.
fn membership_traffic(n: usize) -> (f64, f64, f64) {
    let codec = DatagramCodec::for_fleet("cetak");
    let mut all: Vec<Members> = (0..n).map(|i| Members::new(member(i), i as u64)).collect();
    let index_by_addr: HashMap<_, _> = (0..n).map(|i| (member(i).addr, i)).collect();
    let (mut datagrams, mut bytes) = (0u64, 0u64);
    let (settle_ms, measure_ms) = (40_000, 20_000);
    for ms in (0..settle_ms + measure_ms).step_by(10) {
        let now = LeaseInstant(ms * 1_000);
        let mut queue = Vec::new();
        for (i, m) in all.iter_mut().enumerate() {
            let mut actions = Vec::new();
            if ms == 10 * i as u64 && i > 0 {
                m.announce(now, member(0), &mut actions);
            }
            m.run_due_timers(now, &mut actions);
            queue.extend(actions);
        }
        while let Some(action) = queue.pop() {
            let MembershipAction::Send(to, message) = action else { continue };
            let frame = codec
                .encode(&FleetMessage::Gossip(message.clone()))
                .expect("a gossip message fits a datagram");
            if ms >= settle_ms {
                (datagrams, bytes) = (datagrams + 1, bytes + frame.len() as u64);
            }
            all[index_by_addr[&to.addr]].handle_message(now + Micros(500), &message, &mut queue);
        }
    }
    let known: usize = all.iter().map(|m| m.peers().count()).sum();
    let node_seconds = (n as u64 * measure_ms / 1_000) as f64;
    (datagrams as f64 / node_seconds, bytes as f64 / node_seconds, known as f64 / (n * (n - 1)) as f64)
}

/// The traffic of a node does not grow with the fleet, except that a change is sent to a few more members.
#[test]
fn membership_traffic_of_a_node_does_not_grow_with_the_fleet() {
    let (few, many) = (membership_traffic(12), membership_traffic(300));
    println!("12: {few:.2?}; 300: {many:.2?} (datagrams/s, bytes/s, share of the others known)");
    assert!(
        few.2 > 0.99 && many.2 > 0.99,
        "the nodes must know at least 99 % of the others: {few:?} {many:?}"
    );
    assert!(
        many.0 < few.0 * 1.5 && many.1 < few.1 * 3.0,
        "datagrams/s, bytes/s at 12 nodes {few:?}, at 300 nodes {many:?}"
    );
}
