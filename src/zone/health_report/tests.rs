use super::*;

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

#[test]
fn calls_count_once_they_have_ended_or_are_stuck() {
    let names = ["a".to_owned(), "b".to_owned()];
    let mut observer = ZoneHealthObserver::new(ms(1_000), 2);
    for i in 0..10 {
        observer.record_call_start(ms(1_000 + i), 0);
        observer.record_call_start(ms(1_000 + i), 1);
        observer.record_call_end(ms(1_020 + i), 0, ms(1_000 + i), CallResult::Success);
    }
    observer.record_call_start(ms(1_010), 0);
    observer.record_call_end(ms(1_015), 0, ms(1_010), CallResult::Failure);
    observer.record_call_start(ms(1_010), 0);
    observer.record_call_end(ms(1_015), 0, ms(1_010), CallResult::Ignored);
    let mut report_at = |millis: u64| -> Vec<(u32, u32, u32)> {
        observer
            .report(ms(millis), &names)
            .iter()
            .map(|report| (report.calls, report.failed, report.mean_us))
            .collect()
    };
    assert_eq!(report_at(1_100), [(11, 1, 20_000), (0, 0, 0)], "the pending calls to b may still succeed");
    assert_eq!(report_at(1_305), [(11, 1, 20_000), (6, 6, 0)], "six calls to b are stuck");
    assert_eq!(
        report_at(3_000),
        [(0, 0, 0), (10, 10, 0)],
        "calls to a that ended before the window do not count"
    );
    for i in 0..10 {
        observer.record_call_end(ms(3_000), 1, ms(1_000 + i), CallResult::Failure);
    }
    assert_eq!(observer.report(ms(3_000), &names)[1].failed, 10, "each call counts once");
}
