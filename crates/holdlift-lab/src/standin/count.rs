//! What a service counts of itself, by its own clock: the oracle of what a fleet may do together.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Calls under way and starts in a sliding window, over all who call.
#[derive(Debug)]
pub struct Count(Mutex<State>);

#[derive(Clone, Copy, Debug)]
struct Whole {
    slots: u32,
    starts: u32,
    /// Further tries in a window beyond their share of the first ones, and that share.
    further: Option<(u32, f64)>,
}

/// First tries of so many windows may have earned the further ones of one: their own, the one before, and one for the ways
/// there and back.
const EARNING: u32 = 3;

#[derive(Debug)]
struct State {
    window: Duration,
    whole: Whole,
    under_way: u32,
    most: u32,
    starts: VecDeque<Instant>,
    firsts: VecDeque<Instant>,
    again: VecDeque<Instant>,
    all_again: u64,
    most_starts: u32,
    excess: u32,
    all: u64,
    /// Slots times seconds, up to then.
    area: f64,
    since: Instant,
}

/// What was counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Counted {
    /// Now.
    pub under_way: u32,
    /// The most under way at a time.
    pub most: u32,
    /// The most starts in a window.
    pub most_starts: u32,
    /// Calls that came when a whole was all out.
    pub excess: u32,
    /// All starts, and further tries among them.
    pub all: u64,
    pub again: u64,
    /// Slots times seconds so far.
    pub area: f64,
}

impl Default for Count {
    fn default() -> Count {
        Count(Mutex::new(State {
            window: Duration::from_secs(1),
            whole: Whole { slots: u32::MAX, starts: u32::MAX, further: None },
            under_way: 0,
            most: 0,
            starts: VecDeque::new(),
            firsts: VecDeque::new(),
            again: VecDeque::new(),
            all_again: 0,
            most_starts: 0,
            excess: 0,
            all: 0,
            area: 0.0,
            since: Instant::now(),
        }))
    }
}

impl Count {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// More than that is an excess, from now on.
    pub fn allow(&self, slots: u32, starts: u32) {
        let mut s = self.state();
        (s.whole.slots, s.whole.starts) = (slots, starts);
    }

    /// More further tries in a window than that, and than this share of first ones, is an excess from now on.
    pub fn allow_further(&self, whole: u32, share: f64) {
        self.state().whole.further = Some((whole, share));
    }

    /// A call has come in whole, for the first time or again.
    pub fn begin(&self, again: bool) -> u32 {
        let (now, mut s) = (Instant::now(), self.state());
        s.settle(now);
        s.under_way += 1;
        s.all += 1;
        s.most = s.most.max(s.under_way);
        let window = s.window;
        let since = |all: &mut VecDeque<Instant>, span: Duration| {
            while all.front().is_some_and(|t| now.duration_since(*t) >= span) {
                all.pop_front();
            }
        };
        since(&mut s.starts, window);
        since(&mut s.again, window);
        since(&mut s.firsts, window * EARNING);
        s.starts.push_back(now);
        if again {
            s.again.push_back(now);
            s.all_again += 1;
        } else {
            s.firsts.push_back(now);
        }
        let further = s.whole.further.is_some_and(|(whole, share)| {
            again && s.again.len() as f64 > f64::from(whole) + share * s.firsts.len() as f64
        });
        s.most_starts = s.most_starts.max(s.starts.len() as u32);
        let over = further || s.under_way > s.whole.slots || s.starts.len() as u32 > s.whole.starts;
        s.excess += u32::from(over);
        s.under_way
    }

    /// A call is over, whether anybody still waits for it or not.
    pub fn end(&self) {
        let (now, mut s) = (Instant::now(), self.state());
        s.settle(now);
        s.under_way -= 1;
    }

    /// So far.
    pub fn counted(&self) -> Counted {
        let (now, mut s) = (Instant::now(), self.state());
        s.settle(now);
        Counted {
            under_way: s.under_way,
            most: s.most,
            most_starts: s.most_starts,
            excess: s.excess,
            all: s.all,
            again: s.all_again,
            area: s.area,
        }
    }
}

impl State {
    fn settle(&mut self, now: Instant) {
        self.area += f64::from(self.under_way) * now.duration_since(self.since).as_secs_f64();
        self.since = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_excess_is_seen() {
        let count = Count::default();
        count.allow(2, 3);
        for (begins, excess) in [(true, 0), (true, 0), (true, 1), (false, 1), (false, 1), (true, 2)] {
            if begins {
                count.begin(false);
            } else {
                count.end();
            }
            assert_eq!(count.counted().excess, excess);
        }
        assert_eq!((count.counted().most, count.counted().most_starts), (3, 4));
    }

    #[test]
    fn further_tries_beyond_their_whole_and_their_share_are_seen() {
        let count = Count::default();
        count.allow_further(1, 0.5);
        for (again, excess) in
            [(false, 0), (true, 0), (true, 1), (false, 1), (true, 2), (false, 2), (false, 2)]
        {
            count.begin(again);
            assert_eq!(count.counted().excess, excess);
        }
        assert_eq!(count.counted().again, 3);
    }
}
