use super::*;

#[test]
fn median_without_excludes_one_zone() {
    let ranked = RankedValues::new([(5.0, 0), (1.0, 1), (3.0, 2)].into_iter());
    for (zone, rest) in
        [(0, vec![1.0, 3.0]), (1, vec![5.0, 3.0]), (2, vec![5.0, 1.0]), (9, vec![5.0, 1.0, 3.0])]
    {
        assert_eq!(ranked.median_without(zone), median(rest), "{zone}");
    }
    assert_eq!(RankedValues::new([(5.0, 0)].into_iter()).median_without(0), None);
}
