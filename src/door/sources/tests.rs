use super::*;
use std::net::Ipv4Addr;

const LIMITS: SourceLimits =
    SourceLimits { connections: Some(2), arrivals: Some((1.0, 3.0)), prefix_v4: 24, prefix_v6: 64 };

fn ms(x: u64) -> Micros {
    Micros::from_millis(x)
}

#[test]
fn addresses_of_one_network_map_to_the_same_source() {
    let cases = [
        ("10.1.2.3", "10.1.2.200", true),
        ("10.1.2.3", "10.1.3.3", false),
        ("::ffff:10.1.2.3", "10.1.2.9", true),
        ("2001:db8::1", "2001:db8::ffff:1", true),
        ("2001:db8::1", "2001:db8:0:1::1", false),
    ];
    for (a, b, same) in cases {
        let source = |text: &str| LIMITS.source(text.parse().expect("the test's addresses are valid"));
        assert_eq!(source(a) == source(b), same, "{a} {b}");
    }
}

#[test]
fn a_source_is_limited_in_connections_and_in_connections_per_second() {
    let mut sources = Sources::new(LIMITS);
    let source = sources.source_of("10.0.0.1".parse().expect("the test's address is valid"));
    for _ in 0..2 {
        assert_eq!(sources.check_limits(ms(0), source), Ok(()));
        sources.connection_opened(ms(0), source);
    }
    assert_eq!(sources.check_limits(ms(0), source), Err(SourceLimitExceeded::Connections));
    sources.connection_closed(ms(0), source);
    assert_eq!(sources.check_limits(ms(0), source), Ok(()));
    sources.connection_opened(ms(0), source);
    sources.connection_closed(ms(0), source);
    // The burst of three is used up; the allowance grows by one connection per second.
    assert_eq!(sources.check_limits(ms(500), source), Err(SourceLimitExceeded::Arrivals));
    assert_eq!(sources.check_limits(ms(1_000), source), Ok(()));
}

#[test]
fn memory_is_bounded_under_a_hundred_thousand_addresses() {
    let mut sources = Sources::new(SourceLimits { prefix_v4: 32, ..LIMITS });
    for i in 0..100_000u32 {
        let source = sources.source_of(IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + i)));
        assert_eq!(sources.check_limits(ms(u64::from(i)), source), Ok(()));
        sources.connection_opened(ms(u64::from(i)), source);
        sources.connection_closed(ms(u64::from(i) + 1), source);
        assert!(sources.len() <= IDLE_SOURCES_MAX + 1 && sources.idle.len() <= sources.len());
    }
    let mut unlimited = Sources::new(SourceLimits::NONE);
    let a = unlimited.source_of("10.0.0.1".parse().expect("the test's address is valid"));
    unlimited.connection_opened(ms(0), a);
    unlimited.connection_closed(ms(0), a);
    assert!(unlimited.is_empty());
}
