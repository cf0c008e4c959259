use super::*;

fn tracker() -> LeaderTracker {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let replicas = (0..3).map(|number| (format!("k{number}"), address(7_000 + number))).collect();
    LeaderTracker::new(LeaseInstant(0), replicas, 4)
}

#[test]
fn an_unanswered_request_goes_to_the_next_replica_with_backoff() {
    let (mut tracker, lease_duration) = (tracker(), Micros::from_millis(3_000));
    assert_eq!(
        tracker.next_request_at(lease_duration),
        LeaseInstant(u64::MAX),
        "no response is pending before the first request"
    );
    let (mut now, mut used) = (LeaseInstant(0), Vec::new());
    for _ in 0..5 {
        tracker.record_request(now, vec![1]);
        used.push((
            tracker.current().expect("the tracker has replicas").port(),
            (tracker.next_request_at(lease_duration) - now).0 / 1_000,
        ));
        now = tracker.next_request_at(lease_duration);
    }
    assert_eq!(used, [(7_001, 150), (7_002, 300), (7_000, 600), (7_001, 750), (7_002, 750)]);
    tracker.record_response();
    assert_eq!(tracker.next_request_at(lease_duration), LeaseInstant(u64::MAX));
    tracker.record_request(now, vec![2]);
    assert_eq!(
        tracker.current().expect("the tracker has replicas").port(),
        7_002,
        "the next request goes to the replica that responded"
    );
}

#[test]
fn a_request_is_redirected_at_most_twice() {
    let mut tracker = tracker();
    tracker.record_request(LeaseInstant(0), vec![1]);
    assert!(!tracker.follow_leader(Some("k1")), "the request went to k1 already");
    assert!(!tracker.follow_leader(Some("k9")) && !tracker.follow_leader(None), "the leader is unknown");
    assert!(tracker.follow_leader(Some("k0")) && tracker.follow_leader(Some("k1")));
    assert!(!tracker.follow_leader(Some("k2")), "the request was redirected twice already");
    tracker.record_request(LeaseInstant(9), vec![2]);
    assert!(tracker.follow_leader(Some("k0")), "the next request may be redirected again");
}
