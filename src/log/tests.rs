use super::*;

#[test]
fn repeated_lines_are_written_once_a_second_with_the_suppressed_count() {
    let (limiter, start) = (LogRateLimiter::default(), Instant::now());
    let at = |ms| limiter.permit_at(start + Duration::from_millis(ms));
    let written: Vec<_> = (0..2_500).filter_map(|ms| at(ms).map(|suppressed| (ms, suppressed))).collect();
    assert_eq!(written, [(0, 0), (1_000, 999), (2_000, 999)]);
}
