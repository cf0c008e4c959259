use proptest::prelude::*;

use super::*;

#[test]
fn retry_credit_expires_with_its_window() {
    let mut credit = RetryCredit::new(0.5, Micros(800));
    assert!(!credit.try_retry(Micros(0)), "a new process starts without credit");
    credit.record_first_attempt(Micros(0));
    credit.record_first_attempt(Micros(10));
    assert!(credit.try_retry(Micros(20)));
    assert!(!credit.try_retry(Micros(20)));
    credit.record_first_attempt(Micros(30));
    credit.record_first_attempt(Micros(40));
    assert!(!credit.try_retry(Micros(1_000)), "the credit has expired");
}

proptest! {
    /// For any sequence of attempts: the retries in any span are at most the share of the first attempts in that span and
    /// the window before.
    #[test]
    fn retries_are_a_share_of_first_attempts(
        share in 0.05f64..1.0,
        steps in proptest::collection::vec((0u64..400, any::<bool>()), 1..200),
    ) {
        let window = 1_000;
        let mut credit = RetryCredit::new(share, Micros(window));
        let (mut now, mut firsts, mut retries) = (0, Vec::new(), Vec::new());
        for (gap, is_first) in steps {
            now += gap;
            if is_first {
                credit.record_first_attempt(Micros(now));
                firsts.push(now);
            } else if credit.try_retry(Micros(now)) {
                retries.push(now);
            }
        }
        for (i, from) in retries.iter().enumerate() {
            for (n, to) in retries[i..].iter().enumerate() {
                let earned = firsts.iter().filter(|f| **f <= *to && **f + window >= *from).count();
                prop_assert!((n + 1) as f64 <= share * earned as f64 + 1e-6);
            }
        }
    }
}
