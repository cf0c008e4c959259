use super::*;

const LONGEST: Micros = Micros::from_millis(3_000);
const HOUR_MS: i64 = 3_600_000;

fn ms(x: u64) -> Micros {
    Micros::from_millis(x)
}

/// A node's clocks in simulated time. Callers read the same wall clock as the node, or one that is not stepped.
struct SimulatedClocks {
    clock: WallClock,
    /// Real time since the start, ms.
    at: u64,
    /// By how much steps have put the wall clock ahead, ms.
    ahead: i64,
}

/// The wall clock at the start, ms since 1970.
const WALL_MS: i64 = 1_764_576_000_000;

impl SimulatedClocks {
    fn new() -> SimulatedClocks {
        let mut clocks = SimulatedClocks { clock: WallClock::default(), at: 10_000_000, ahead: 0 };
        clocks.observe();
        clocks
    }

    fn wall(&self) -> WallTime {
        WallTime::from_millis((WALL_MS + self.at as i64 + self.ahead) as u64)
    }

    fn observe(&mut self) {
        let wall = self.wall();
        self.clock.observe(ms(self.at), wall);
    }

    fn step(&mut self, ms: i64) {
        self.ahead += ms;
        self.observe();
    }

    /// The age of a request that is read now, ms.
    fn age(&mut self, since: WallTime) -> u64 {
        let now = ms(self.at);
        (now - self.clock.arrival(now, since, LONGEST).at).0 / 1_000
    }
}

const STEPS_MS: [i64; 8] = [30, -30, 2_000, -2_000, 5_000, -5_000, HOUR_MS, -HOUR_MS];

/// A request is written, the clock is stepped in either direction, and the request is read. Its age must be the real one.
#[test]
fn a_clock_step_between_writing_and_reading_a_request_does_not_change_its_age() {
    for step in STEPS_MS {
        let mut clocks = SimulatedClocks::new();
        let since = clocks.wall();
        clocks.at += 15;
        clocks.step(step);
        assert_eq!(clocks.age(since), 15, "stepped by {step}");
    }
}

/// After a step callers may use the stepped clock, if they run on the same machine, or a clock that was not stepped.
#[test]
fn requests_after_a_step_have_the_right_age_by_the_stepped_and_the_unstepped_clock() {
    for step in STEPS_MS {
        for callers_too in [true, false] {
            let mut clocks = SimulatedClocks::new();
            clocks.step(step);
            clocks.at += 500;
            clocks.observe();
            let ahead = clocks.ahead;
            clocks.ahead = if callers_too { ahead } else { 0 };
            let since = clocks.wall();
            clocks.ahead = ahead;
            clocks.at += 20;
            clocks.observe();
            assert_eq!(clocks.age(since), 20, "stepped by {step}, callers too: {callers_too}");
        }
    }
}

/// Implausible times: ahead of the clock, or far behind it while no earlier request shows that the clocks agree.
#[test]
fn a_request_with_an_implausible_time_counts_as_arrived_when_it_is_read() {
    let mut clocks = SimulatedClocks::new();
    let ahead = WallTime::from_millis(clocks.wall().0 / 1_000 + 700);
    assert_eq!(clocks.age(ahead), 0);
    let hour_ago = WallTime::from_millis(clocks.wall().0 / 1_000 - HOUR_MS as u64);
    assert_eq!(clocks.age(hour_ago), 0);
    assert_eq!(clocks.age(WallTime(0)), 0);
    assert_eq!(clocks.age(WallTime(u64::MAX)), 0);
}

/// A process that was suspended for longer than any caller waits reads a stale request. It must not take the request's time
/// for that of another clock.
#[test]
fn a_stale_request_keeps_its_age_while_the_clocks_agree() {
    let mut clocks = SimulatedClocks::new();
    let fresh = clocks.wall();
    clocks.at += 10;
    assert_eq!(clocks.age(fresh), 10);
    let written = clocks.wall();
    clocks.at += 9_000;
    clocks.observe();
    assert_eq!(clocks.age(written), 9_000);
}

proptest::proptest! {
    /// However the clock is stepped, the earliest arrival is not later than the time at which the request was written.
    #[test]
    fn the_earliest_arrival_is_not_later_than_the_writing_of_the_request(
        steps in proptest::collection::vec((-HOUR_MS..HOUR_MS, 1..4_000u64), 0..3), waits in 0..900u64,
    ) {
        let mut clocks = SimulatedClocks::new();
        for (step, pause) in steps {
            clocks.step(step);
            clocks.at += pause;
        }
        clocks.observe();
        let (since, written) = (clocks.wall(), ms(clocks.at));
        clocks.at += waits;
        clocks.observe();
        let arrival = clocks.clock.arrival(ms(clocks.at), since, LONGEST);
        proptest::prop_assert!(arrival.earliest <= written);
        proptest::prop_assert!(arrival.earliest <= arrival.at);
    }
}
