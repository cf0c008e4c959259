//! The update of the start limit N, against values calculated by hand from section 2 of the published algorithm.
//!
//! Parameters: max.occup 0.97, occ.too.high 0.99, addl.decrement 0.05, max.increase 0.1, max.decrease 1, min.occup
//! 0.92.

use holdlift::{IntervalMeasurements, next_start_limit};

fn limit(occupancy: f64, overhead: f64, starts: f64, limit: Option<u32>, was_limited: bool) -> Option<u32> {
    next_start_limit(IntervalMeasurements { occupancy, overhead, starts, limit, was_limited })
}

#[test]
fn first_update_uses_the_ratio_without_clamps() {
    // (0.97 - 0.07) / (0.95 - 0.07) x 22 = 22.5, rounded down.
    assert_eq!(limit(0.95, 0.07, 22.0, None, false), Some(22));
    // (0.97 - 0) / (0.96 - 0) x 30 = 30.3
    assert_eq!(limit(0.96, 0.0, 30.0, None, false), Some(30));
}

#[test]
fn no_limit_is_set_under_light_load_or_without_starts() {
    assert_eq!(limit(0.5, 0.0, 10.0, None, false), None);
    assert_eq!(limit(0.95, 0.94, 10.0, None, false), None);
    assert_eq!(limit(0.95, 0.0, 0.0, None, false), None);
}

#[test]
fn upward_clamp_applies_only_if_the_limit_delayed_starts() {
    // 0.97 / 0.5 x 20 = 38.8, clamped to 20 x 1.1 = 22.
    assert_eq!(limit(0.5, 0.0, 20.0, Some(20), true), Some(22));
    // Not clamped if the limit delayed no start.
    assert_eq!(limit(0.5, 0.0, 20.0, Some(20), false), Some(38));
}

#[test]
fn limit_falls_by_one_request_at_most() {
    // 0.97 / 0.98 x 15 = 14.8, not below 20 - 1.
    assert_eq!(limit(0.98, 0.0, 15.0, Some(20), true), Some(19));
}

#[test]
fn too_high_occupancy_applies_the_additional_decrement() {
    // max(0.97 / 1.0 x 40 = 38.8, 39) x 0.95 = 37.05
    assert_eq!(limit(1.0, 0.0, 40.0, Some(40), true), Some(37));
    // It also applies if the limit delayed no start.
    assert_eq!(limit(1.0, 0.0, 40.0, Some(40), false), Some(37));
}

#[test]
fn a_small_limit_rises_by_one_request() {
    // The preliminary limit is 0.97 / 0.6 x 5 = 8.1, and 0.1 x 5 < 1.
    assert_eq!(limit(0.6, 0.0, 5.0, Some(5), true), Some(6));
    // The preliminary limit is less than one above the previous one: 0.97 / 0.93 x 5 = 5.2, within the clamps, rounded
    // down.
    assert_eq!(limit(0.93, 0.0, 5.0, Some(5), true), Some(5));
}

#[test]
fn limit_is_unchanged_at_low_occupancy_with_few_starts() {
    // 0.3 busy and 7 < 0.75 x 10 starts.
    assert_eq!(limit(0.3, 0.0, 7.0, Some(10), true), Some(10));
    // 8 starts are more than 0.75 x 10: 0.97 / 0.3 x 8 = 25.8, clamped to 11.
    assert_eq!(limit(0.3, 0.0, 8.0, Some(10), true), Some(11));
}

#[test]
fn occupancy_close_to_overhead_raises_the_limit_by_its_largest_step() {
    assert_eq!(limit(0.96, 0.93, 20.0, Some(20), true), Some(22));
    assert_eq!(limit(0.96, 0.93, 4.0, Some(4), true), Some(5));
}

#[test]
fn limit_is_never_below_one() {
    assert_eq!(limit(1.0, 0.0, 1.0, Some(1), true), Some(1));
}

#[test]
fn limits_up_to_five_change_by_whole_requests() {
    // 0.97 / 1.0 x 5 = 4.85, not below 4; x 0.95 = 4.6.
    assert_eq!(limit(1.0, 0.0, 5.0, Some(5), true), Some(4));
    // 0.97 x 4 = 3.88 x 0.95 = 3.7; 0.97 x 3 = 2.91 x 0.95 = 2.8; 0.97 x 2 = 1.94 x 0.95 = 1.8.
    assert_eq!(limit(1.0, 0.0, 4.0, Some(4), true), Some(3));
    assert_eq!(limit(1.0, 0.0, 3.0, Some(3), true), Some(2));
    assert_eq!(limit(1.0, 0.0, 2.0, Some(2), true), Some(1));
    // Below occ.too.high 0.97 / 0.98 x 3 = 2.97 is rounded down, although the clamp allows 3.
    assert_eq!(limit(0.98, 0.0, 3.0, Some(3), true), Some(2));
    // Back up by one: 0.97 / 0.8 x 1 = 1.2 is not a whole request more, 0.97 / 0.48 x 1 = 2.02 is.
    assert_eq!(limit(0.8, 0.0, 1.0, Some(1), true), Some(1));
    assert_eq!(limit(0.48, 0.0, 1.0, Some(1), true), Some(2));
    // Two and a half starts a period, measured over two: 0.97 / 0.6 x 2.5 = 4.04, one step up from 3.
    assert_eq!(limit(0.6, 0.0, 2.5, Some(3), true), Some(4));
}

#[test]
fn large_limits_rise_by_the_fraction_and_fall_by_one_request() {
    // 0.97 / 0.5 x 300 = 582, clamped to 330; 0.97 / 0.98 x 300 = 296.9, not below 299.
    assert_eq!(limit(0.5, 0.0, 300.0, Some(300), true), Some(330));
    assert_eq!(limit(0.98, 0.0, 300.0, Some(300), true), Some(299));
    // max(0.97 x 300 = 291, 299) x 0.95 = 284.05
    assert_eq!(limit(1.0, 0.0, 300.0, Some(300), true), Some(284));
}
