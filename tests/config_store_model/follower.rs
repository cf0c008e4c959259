//! Tests of a single follower: when it sends requests, against the bounds of its schedule, and which versions it adopts.

use holdlift::Micros;
use holdlift::config_store::{
    Advertised, ChangeError, ChangeSet, ConfigVersion, FetchOutcome, FetchRequest, FetchResponse,
    FetchSchedule, Follower, Revision, Snapshot, VersionRejected,
};

use crate::records::{author, class, classes_and_tenants, tenant, version_of};

const MS: u64 = 1_000;

/// The version after `base`, with one class changed to this weight, and the change that leads to it.
fn next_version(base: &ConfigVersion, weight: f64) -> (ConfigVersion, ChangeSet) {
    let change = ChangeSet::draft(base, vec![class("changed", weight)], vec![], author())
        .expect("the records differ from the base version");
    let mut after = base.clone();
    after.apply(&change).expect("a drafted change applies to its base version");
    (after, change)
}

fn advertised(version: &ConfigVersion) -> Advertised {
    Advertised { revision: version.revision(), digest: version.digest() }
}

fn at(ms: u64) -> Micros {
    Micros(ms * MS)
}

/// Processes the response to its end and returns the final outcome.
fn process_fully(f: &mut Follower, now: Micros) -> FetchOutcome {
    loop {
        match f.process_response(now) {
            FetchOutcome::InProgress => {}
            outcome => return outcome,
        }
    }
}

/// Advances to the follower's next request and returns its time and the request. An outstanding request times out before that.
fn next_request(f: &mut Follower) -> (Micros, FetchRequest) {
    loop {
        let when = f.next_timeout().expect("the follower has a timeout pending");
        if let Some(fetch) = f.poll_request(when) {
            return (when, fetch);
        }
    }
}

/// 900 followers that receive an advertisement at the same time spread their requests evenly over the schedule's spread.
#[test]
fn requests_of_many_followers_spread_evenly_over_the_schedule() {
    let (schedule, first) = (FetchSchedule::default(), version_of(vec![class("a", 1.0)]));
    let (second, _) = next_version(&first, 2.0);
    let mut tenths = [0; 10];
    for seed in 0..900 {
        let mut f = Follower::new(schedule, seed, first.clone());
        f.receive_advertisement(at(1_000), advertised(&second));
        // A repeated advertisement does not postpone the request.
        let due = f.next_timeout().expect("the follower lacks the advertised version");
        f.receive_advertisement(at(1_001), advertised(&second));
        assert_eq!(f.next_timeout(), Some(due));
        assert_eq!(
            f.poll_request(Micros(due.0.saturating_sub(1)).max(at(1_000))),
            None.filter(|_| due > at(1_000))
        );
        tenths[((due.0 - 1_000 * MS) * 10 / schedule.spread.0) as usize] += 1;
    }
    assert!(tenths.iter().all(|n| (60..=120).contains(n)), "{tenths:?}");
}

/// Without an answer for ten minutes a follower retries with increasing delays and at most one outstanding request.
#[test]
fn unanswered_requests_back_off_with_one_outstanding_at_a_time() {
    let (schedule, first) = (FetchSchedule::default(), version_of(vec![class("a", 1.0)]));
    let (second, change) = next_version(&first, 2.0);
    let mut f = Follower::new(schedule, 7, first);
    f.receive_advertisement(at(0), advertised(&second));
    let (mut n, mut last, mut longest) = (0u64, Micros(0), Micros(0));
    while let Some(when) = f.next_timeout().filter(|t| *t < at(600_000)) {
        if f.poll_request(when).is_some() {
            assert_eq!(f.poll_request(when), None, "at most one request is outstanding");
            longest = longest.max(when - last);
            (n, last) = (n + 1, when);
        }
    }
    let cycle = schedule.response_timeout + schedule.retry_max;
    assert!(longest <= cycle, "{longest:?}");
    let least = 600_000 * MS / (schedule.response_timeout.0 + schedule.retry_max.0 / 2);
    assert!((600_000 * MS / cycle.0..=least + 6).contains(&n), "{n} requests");
    // The first answer is accepted, and the delay of the next request is back within the spread.
    let (when, _) = next_request(&mut f);
    assert_eq!(f.receive_response(when, FetchResponse::Changes(vec![change])), FetchOutcome::InProgress);
    assert_eq!(process_fully(&mut f, when), FetchOutcome::Ready);
    let _ = f.confirm_adopted(when);
    let (third, _) = next_version(&second, 3.0);
    f.receive_advertisement(when, advertised(&third));
    assert!(f.next_timeout().expect("a request is due") <= when + schedule.spread);
}

/// A follower fetches missing changes, ignores unsolicited or repeated responses and advertisements of older versions, and
/// adopts only the version that was advertised to it.
#[test]
fn a_follower_fetches_missing_changes_and_adopts_only_the_advertised_version() {
    let first = version_of(vec![class("a", 1.0)]);
    let (second, to_second) = next_version(&first, 2.0);
    let (third, to_third) = next_version(&second, 3.0);
    let mut f = Follower::new(FetchSchedule::default(), 1, first.clone());
    assert_eq!(
        (f.next_timeout(), f.poll_request(at(0)), f.time_since_current(at(0))),
        (None, None, None),
        "no version has been advertised"
    );
    f.receive_advertisement(at(10), advertised(&first));
    assert_eq!(f.time_since_current(at(40)), Some(Micros(30 * MS)));
    assert_eq!(
        f.receive_response(at(40), FetchResponse::Changes(vec![to_second.clone()])),
        FetchOutcome::Ignored,
        "no request is outstanding"
    );
    f.receive_advertisement(at(50), advertised(&third));
    f.receive_advertisement(at(60), advertised(&second));
    assert_eq!(f.newest(), Some(advertised(&third)), "an advertisement of an older version is ignored");
    f.receive_advertisement(at(70), advertised(&first));
    assert_eq!(
        f.time_since_current(at(110)),
        Some(Micros(100 * MS)),
        "an advertisement of the version in force is not newer than the known one"
    );
    let (when, fetch) = next_request(&mut f);
    assert_eq!(fetch, FetchRequest::Changes { since: Revision(1) });
    // The response holds only a part of the changes. The intermediate version was not advertised, so it is not adopted, and the
    // remaining changes are requested at once.
    assert_eq!(
        f.receive_response(when, FetchResponse::Changes(vec![to_second.clone()])),
        FetchOutcome::InProgress
    );
    assert_eq!(
        f.receive_response(when, FetchResponse::Changes(vec![to_third.clone()])),
        FetchOutcome::Ignored,
        "one request accepts one response"
    );
    assert_eq!(f.poll_request(when), None, "the response is still being processed");
    assert_eq!(process_fully(&mut f, when), FetchOutcome::RequestAgain);
    assert_eq!((f.in_force(), f.ready()), (&first, None), "version 3 was advertised, version 2 was not");
    assert_eq!(f.poll_request(when), Some(FetchRequest::Changes { since: Revision(2) }));
    // A repeated change brings no progress, so the next request is delayed.
    assert_eq!(
        f.receive_response(when, FetchResponse::Changes(vec![to_second.clone()])),
        FetchOutcome::InProgress
    );
    assert_eq!(process_fully(&mut f, when), FetchOutcome::RequestAgain);
    assert!(f.next_timeout().is_some_and(|due| due > when));
    let (when, fetch) = next_request(&mut f);
    assert_eq!(fetch, FetchRequest::Changes { since: Revision(2) });
    // Both changes arrive in one response, each of them twice.
    let twice = vec![to_second.clone(), to_second, to_third.clone(), to_third.clone()];
    assert_eq!(f.receive_response(when, FetchResponse::Changes(twice)), FetchOutcome::InProgress);
    assert_eq!(process_fully(&mut f, when), FetchOutcome::Ready);
    assert_eq!(
        (f.in_force(), f.ready()),
        (&first, Some(&third)),
        "the version is adopted only once the caller confirms it"
    );
    assert_eq!(f.confirm_adopted(when), Some(first.clone()));
    assert_eq!((f.in_force(), f.time_since_current(when)), (&third, Some(Micros(0))));
    f.receive_advertisement(when, advertised(&second));
    assert_eq!(f.next_timeout(), None, "an older version is never requested");
}

/// A version that the node cannot adopt is reported and not requested again; a later version replaces it.
#[test]
fn a_rejected_version_is_not_fetched_again_and_a_later_one_replaces_it() {
    let first = version_of(vec![class("a", 1.0)]);
    let (second, to_second) = next_version(&first, 2.0);
    let (third, to_third) = next_version(&second, 3.0);
    let mut f = Follower::new(FetchSchedule::default(), 1, first.clone());
    f.receive_advertisement(at(0), advertised(&second));
    let (when, _) = next_request(&mut f);
    let _ = f.receive_response(when, FetchResponse::Changes(vec![to_second]));
    assert_eq!(process_fully(&mut f, when), FetchOutcome::Ready);
    f.reject_ready(when, "no slots".to_owned());
    assert_eq!(f.in_force(), &first);
    assert_eq!(f.rejection(), Some(&VersionRejected::Settings(Revision(2), "no slots".to_owned())));
    f.receive_advertisement(when + at(1), advertised(&second));
    assert_eq!(
        (f.next_timeout(), f.poll_request(at(60_000))),
        (None, None),
        "a rejected version is not requested again"
    );
    f.receive_advertisement(at(60_000), advertised(&third));
    let (when, fetch) = next_request(&mut f);
    assert_eq!(
        fetch,
        FetchRequest::Changes { since: Revision(2) },
        "the request starts from the rejected version, which is held though not in force"
    );
    let _ = f.receive_response(when, FetchResponse::Changes(vec![to_third]));
    assert_eq!(process_fully(&mut f, when), FetchOutcome::Ready);
    let _ = f.confirm_adopted(when);
    assert_eq!((f.in_force(), f.rejection()), (&third, None));
}

/// A change whose digest does not match is rejected entirely and reported. The follower then requests a snapshot, in parts, and
/// resumes where the transfer was cut off.
#[test]
fn a_change_that_does_not_apply_is_replaced_by_a_resumable_snapshot() {
    let first = version_of(classes_and_tenants(800, 800));
    let (second, mut wrong) = next_version(&first, 2.0);
    wrong.set.push(tenant("slipped-in", 1.0));
    let mut f = Follower::new(FetchSchedule::default(), 1, first.clone());
    f.receive_advertisement(at(0), advertised(&second));
    let (when, _) = next_request(&mut f);
    let _ = f.receive_response(when, FetchResponse::Changes(vec![wrong]));
    assert_eq!(process_fully(&mut f, when), FetchOutcome::RequestAgain);
    assert_eq!(f.in_force(), &first);
    assert!(matches!(
        f.rejection(),
        Some(VersionRejected::Change(Revision(2), ChangeError::DigestMismatch { .. }))
    ));
    let chunks = Snapshot::pack(&second).chunks;
    let (when, fetch) = next_request(&mut f);
    assert_eq!(fetch, FetchRequest::Chunks { revision: None, from_chunk: 0 });
    let cut = vec![chunks[0].clone(), chunks[1].slice(..chunks[1].len() / 2)];
    let _ = f.receive_response(when, FetchResponse::Chunks(cut));
    assert_eq!(process_fully(&mut f, when), FetchOutcome::RequestAgain);
    let (when, fetch) = next_request(&mut f);
    assert_eq!(
        fetch,
        FetchRequest::Chunks { revision: Some(Revision(2)), from_chunk: 1 },
        "chunks received before the cut are kept"
    );
    assert_eq!(f.receive_response(when, FetchResponse::SnapshotExpired), FetchOutcome::RequestAgain);
    let (when, fetch) = next_request(&mut f);
    assert_eq!(fetch, FetchRequest::Chunks { revision: None, from_chunk: 0 });
    let _ = f.receive_response(when, FetchResponse::Chunks(chunks[..2].to_vec()));
    assert_eq!(process_fully(&mut f, when), FetchOutcome::RequestAgain);
    let (again, fetch) = next_request(&mut f);
    assert!(
        again == when && fetch == FetchRequest::Chunks { revision: Some(Revision(2)), from_chunk: 2 },
        "the remaining chunks are requested without delay"
    );
    let _ = f.receive_response(when, FetchResponse::Chunks(chunks[2..].to_vec()));
    assert_eq!(process_fully(&mut f, when), FetchOutcome::Ready);
    let _ = f.confirm_adopted(when);
    assert_eq!((f.in_force(), f.rejection()), (&second, None));
}

/// Two contents under one revision are reported as diverged, and the follower does not replace its content under that revision.
#[test]
fn two_contents_under_one_revision_are_reported_as_diverged() {
    let first = version_of(vec![class("a", 1.0)]);
    let (second, _) = next_version(&first, 2.0);
    let (other, to_other) = next_version(&first, 9.0);
    let mut f = Follower::new(FetchSchedule::default(), 1, second.clone());
    f.receive_advertisement(at(0), advertised(&other));
    assert!(matches!(f.rejection(), Some(VersionRejected::Diverged(Revision(2), ..))));
    assert_eq!((f.in_force(), f.next_timeout()), (&second, None));
    // A version whose digest differs from the advertised one is not adopted either.
    let mut f = Follower::new(FetchSchedule::default(), 1, first.clone());
    f.receive_advertisement(at(0), advertised(&second));
    let (when, _) = next_request(&mut f);
    let _ = f.receive_response(when, FetchResponse::Changes(vec![to_other]));
    assert_eq!(process_fully(&mut f, when), FetchOutcome::RequestAgain);
    assert!(matches!(f.rejection(), Some(VersionRejected::Diverged(Revision(2), ..))));
    assert_eq!((f.in_force(), f.ready()), (&first, None));
}
