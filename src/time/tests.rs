use super::*;

const LONGEST: Micros = Micros::from_millis(3_000);
const HOUR_MS: i64 = 3_600_000;

fn ms(x: u64) -> Micros {
    Micros::from_millis(x)
}

/// A node's clocks, and callers who read the wall clock that is not stepped, or the one that is.
struct Clocks {
    clock: WallClock,
    /// Real time since the start, ms.
    at: u64,
    /// What the wall clock is ahead by, ms.
    ahead: i64,
}

const WALL_MS: i64 = 1_764_576_000_000;

impl Clocks {
    fn new() -> Clocks {
        let mut clocks = Clocks { clock: WallClock::default(), at: 10_000_000, ahead: 0 };
        clocks.look();
        clocks
    }

    fn wall(&self) -> WallTime {
        WallTime::from_millis((WALL_MS + self.at as i64 + self.ahead) as u64)
    }

    fn look(&mut self) {
        let wall = self.wall();
        self.clock.observe(ms(self.at), wall);
    }

    fn step(&mut self, ms: i64) {
        self.ahead += ms;
        self.look();
    }

    /// The age of a request that is read now, ms.
    fn age(&mut self, since: WallTime) -> u64 {
        let now = ms(self.at);
        (now - self.clock.arrival(now, since, LONGEST).at).0 / 1_000
    }
}

const STEPS_MS: [i64; 8] = [30, -30, 2_000, -2_000, 5_000, -5_000, HOUR_MS, -HOUR_MS];

/// A request is written, the clock is stepped, the request is read: its age is the real one, whichever way the step went.
#[test]
fn a_step_between_writing_and_reading_changes_no_age() {
    for step in STEPS_MS {
        let mut c = Clocks::new();
        let since = c.wall();
        c.at += 15;
        c.step(step);
        assert_eq!(c.age(since), 15, "stepped by {step}");
    }
}

/// After the step callers may write by the stepped clock, which is that of the whole machine, or by another's.
#[test]
fn requests_behind_a_step_have_their_age_by_either_clock() {
    for step in STEPS_MS {
        for theirs_too in [true, false] {
            let mut c = Clocks::new();
            c.step(step);
            c.at += 500;
            c.look();
            let ahead = c.ahead;
            c.ahead = if theirs_too { ahead } else { 0 };
            let since = c.wall();
            c.ahead = ahead;
            c.at += 20;
            c.look();
            assert_eq!(c.age(since), 20, "stepped by {step}, callers too: {theirs_too}");
        }
    }
}

/// Times that cannot be: ahead of the clock, and far behind it while nothing shows that the clocks agree.
#[test]
fn an_age_that_cannot_be_counts_from_the_reading() {
    let mut c = Clocks::new();
    let ahead = WallTime::from_millis(c.wall().0 / 1_000 + 700);
    assert_eq!(c.age(ahead), 0);
    let hour_ago = WallTime::from_millis(c.wall().0 / 1_000 - HOUR_MS as u64);
    assert_eq!(c.age(hour_ago), 0);
    assert_eq!(c.age(WallTime(0)), 0);
    assert_eq!(c.age(WallTime(u64::MAX)), 0);
}

/// A process that was stopped for longer than anybody waits reads what is stale by then, and takes it for that.
#[test]
fn what_is_stale_is_told_from_another_clock() {
    let mut c = Clocks::new();
    let fresh = c.wall();
    c.at += 10;
    assert_eq!(c.age(fresh), 10);
    let written = c.wall();
    c.at += 9_000;
    c.look();
    assert_eq!(c.age(written), 9_000);
}

proptest::proptest! {
    /// However the clock is stepped, the earliest arrival is never later than the writing.
    #[test]
    fn the_earliest_arrival_is_not_after_the_writing(
        steps in proptest::collection::vec((-HOUR_MS..HOUR_MS, 1..4_000u64), 0..3), waits in 0..900u64,
    ) {
        let mut c = Clocks::new();
        for (step, pause) in steps {
            c.step(step);
            c.at += pause;
        }
        c.look();
        let (since, written) = (c.wall(), ms(c.at));
        c.at += waits;
        c.look();
        let arrival = c.clock.arrival(ms(c.at), since, LONGEST);
        proptest::prop_assert!(arrival.earliest <= written);
        proptest::prop_assert!(arrival.earliest <= arrival.at);
    }
}
