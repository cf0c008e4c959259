//! A budget for further tries: they are a share of the first ones, so that they cannot multiply.

/// A token bucket. Each first try puts `share` of a token in, each further one takes a whole one out.
///
/// Whatever the order of calls, further tries never exceed `share * first tries + burst`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// With a share of 0 to 1 and a burst of 0 or more tries, which it starts with.
    pub fn new(share: f64, burst: f64) -> RetryBudget {
        RetryBudget { share: share.clamp(0.0, 1.0), burst: burst.max(0.0), tokens: burst.max(0.0) }
    }

    /// A first try is made.
    pub fn first(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Whether a further try may be made; it is paid for then.
    #[must_use]
    pub fn further(&mut self) -> bool {
        let may = self.tokens >= 1.0;
        if may {
            self.tokens -= 1.0;
        }
        may
    }

    /// Further tries that could be made now.
    pub fn left(&self) -> f64 {
        self.tokens
    }
}
