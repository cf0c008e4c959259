use proptest::prelude::*;

use super::*;
use crate::fleet::LeaseHolderId;
use crate::fleet::lease::ledger::BudgetDemand;

/// The largest lease request: all budgets, and the longest names and numbers.
fn largest_request() -> FleetMessage {
    let demand = |i: usize| BudgetDemand { budget: format!("{i:032}"), retained: u32::MAX, demand: u32::MAX };
    let demands = (0..crate::fleet::BUDGETS_MAX).map(demand).collect();
    let holder = LeaseHolderId { name: "n".repeat(crate::fleet::NAME_MAX), incarnation: u64::MAX };
    FleetMessage::LeaseRequest(LeaseRequest {
        holder,
        seq: u64::MAX,
        acknowledged_seq: u64::MAX,
        has_valid_lease: true,
        weight: u32::MAX,
        is_leaving: true,
        demands,
    })
}

#[test]
fn corrupt_frames_and_those_of_other_fleets_or_versions_are_rejected() {
    let codec = DatagramCodec::for_fleet("one-fleet");
    let good = codec.encode(&largest_request()).expect("the largest request fits");
    assert_eq!(codec.decode(&good), Ok(largest_request()));
    assert_eq!(DatagramCodec::for_fleet("other").decode(&good), Err(DatagramError::OtherFleet));
    let changed = |at: usize, by: u8| {
        let mut bytes = good.clone();
        bytes[at] ^= by;
        codec.decode(&bytes)
    };
    for (at, error) in [
        (0, DatagramError::NotAFrame),
        (2, DatagramError::UnsupportedVersion),
        (5, DatagramError::OtherFleet),
        (9, DatagramError::Corrupt),
    ] {
        assert_eq!(changed(at, 0x40), Err(error), "byte {at}");
    }
    assert_eq!(codec.decode(&good[..good.len() - 1]), Err(DatagramError::Corrupt));
    assert_eq!(codec.decode(b"GET / HTTP/1.1"), Err(DatagramError::NotAFrame));
    assert_eq!(codec.decode(b""), Err(DatagramError::NotAFrame));
    assert_eq!(codec.encode(&FleetMessage::Gossip(vec![0; FRAME_MAX])), Err(DatagramError::TooLarge));
}

proptest! {
    /// Random bytes are rejected without a panic.
    #[test]
    fn random_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(DatagramCodec::for_fleet("one-fleet").decode(&bytes).is_err());
    }
}

/// A version status with the longest name and the longest reason fits a frame.
#[test]
fn the_largest_version_status_fits() {
    use crate::fleet::version_status::REASON_MAX;
    let holder = LeaseHolderId { name: "n".repeat(crate::fleet::NAME_MAX), incarnation: u64::MAX };
    let refused = Some((Revision(u64::MAX), "x".repeat(10 * REASON_MAX)));
    let status =
        FleetMessage::VersionStatus(VersionStatus::new(holder, (Revision(u64::MAX), u64::MAX), refused));
    let codec = DatagramCodec::for_fleet("one-fleet");
    let frame = codec.encode(&status).expect("the largest version status fits");
    assert_eq!(codec.decode(&frame), Ok(status));
}
