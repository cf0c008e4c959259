use super::*;

#[test]
fn a_refused_message_is_known_for_at_least_one_span_and_at_most_two() {
    let span = Micros(100);
    for at in 0..100 {
        let mut r = RefusedMessages::new(span);
        r.insert(Micros(1_000), 1);
        let inserted = Micros(1_000 + at);
        r.insert(inserted, 0xdead_beef_0000_0007);
        for age in 0..=100 {
            assert!(r.contains(inserted + Micros(age), 0xdead_beef_0000_0007), "{at} {age}");
        }
        assert!(!r.contains(inserted + Micros(200), 0xdead_beef_0000_0007), "{at}");
        assert!(!r.contains(inserted, 9));
    }
}
