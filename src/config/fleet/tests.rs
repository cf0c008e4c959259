use super::*;

const GOOD: &str = include_str!("../../../deploy/fleet.toml");

fn read(text: &str) -> Result<Fleet, ConfigError> {
    Fleet::read(&Doc::of(Path::new("fleet.toml"), text), None)
}

#[test]
fn the_shipped_fleet_file_is_valid() {
    let fleet = read(GOOD).expect("the shipped fleet file is valid");
    assert_eq!(fleet.keepers.len(), 3);
    assert_eq!(fleet.budgets.len(), 4);
}

/// `[catalog]` is commented out in the shipped file. Uncommented, it is valid and equals the defaults, and values outside
/// the allowed ranges are refused with their line.
#[test]
fn the_catalog_table_has_defaults_and_refuses_values_out_of_range() {
    assert_eq!(read(GOOD).expect("the shipped fleet file is valid").catalog, None);
    let on = GOOD.replace("# [catalog]", "[catalog]").replace("# spread_ms", "spread_ms");
    let on = on.replace("# start_ms", "start_ms").replace("# served", "served");
    let on = on.replace("# first", "first").replace("# bad", "bad").replace("# hold_ms", "hold_ms");
    let on = on.replace("# patience_ms", "patience_ms");
    let defaults = RolloutSettings {
        within: Micros::from_millis(1_000),
        start: Micros::from_millis(3_000),
        served: 32,
        trial: CanaryPolicy::default(),
    };
    assert_eq!(read(&on).expect("the file with [catalog] uncommented is valid").catalog, Some(defaults));
    assert_eq!(
        read(&format!("{GOOD}\n[catalog]\n")).expect("an empty [catalog] is valid").catalog,
        Some(defaults),
        "an empty [catalog] has the defaults"
    );
    for (from, to) in [
        ("spread_ms = 1000", "spread_ms = -1"),
        ("start_ms = 3000", "start_ms = 60001"),
        ("served = 32 ", "served = 0 "),
        ("served = 32 ", "serves = 32 "),
        ("first = 8 ", "first = 65 "),
        ("bad = 3 ", "bad = 9 "),
        ("hold_ms = 750 ", "hold_ms = -1 "),
        ("patience_ms = 2500 ", "patience_ms = 1999 "),
    ] {
        let bad = on.replacen(from, to, 1);
        let line = bad.lines().position(|l| l.starts_with(to)).expect("the changed line is in the file") + 1;
        let error = read(&bad).expect_err(to).to_string();
        assert!(error.starts_with(&format!("fleet.toml:{line}: ")), "{to}: {error}");
    }
}

#[test]
fn what_is_wrong_is_said_with_its_line() {
    let cases = [
        ("lease_ms = 3000", "lease_ms = 30"),
        ("drift = 0.01", "drift = 0.5"),
        ("transit_ms = 100", "transit_ms = 0"),
        ("k2 = \"127.0.0.1:7502\"\n", ""),
        ("k2 = \"127.0.0.1:7502\"", "k2 = \"127.0.0.1:7501\""),
        ("k2 = \"127.0.0.1:7502\"", "k2 = \"k2\""),
        ("slots = 40", "slots = 40\nstarts = 4"),
        ("longest_ms = 3000", "window_ms = 3000"),
        ("longest_ms = 3000", "longest_ms = 50"),
        ("starts = 200", "starts = 2000000"),
        ("floor = 1", "floor = 41"),
        ("tier = \"rates\"\nslots", "tier = \"rates\"\nmember = \"m\"\nslots"),
        ("member = \"a-member\"\nstarts", "member = \"a-member\"\nfurther"),
        ("tier = \"rates\"\nfurther = 10", "tier = \"rates\"\nstarts = 5\nfurther = 10"),
        ("zone = \"jkt-a\"", "zones = \"jkt-a\""),
        ("by_zone = true", "by_zones = true"),
        ("out_most = 0.34", "out_most = 1"),
        ("step_ms = 1000", "step_ms = 1"),
        ("jkt-b = 14", "jkt-b = 0"),
        ("longest_ms = 3000                # no call into", "longest_ms = 1 # no call into"),
        ("weight = 1", "weight = 0"),
    ];
    let mut seen = Vec::new();
    for (from, to) in cases {
        assert!(GOOD.contains(from), "{from}");
        let error = read(&GOOD.replacen(from, to, 1)).expect_err(to);
        seen.push(format!("{to:?}: {error}"));
    }
    insta::assert_snapshot!(seen.join("\n"));
}
