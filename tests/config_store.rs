//! Tests of configuration versions, changes and snapshots through the public interface.

#[path = "config_store_model/records.rs"]
mod records;

use std::collections::BTreeMap;

use holdlift::config_store::{
    AUTHOR_MAX, AssemblyProgress, BudgetRecord, BudgetScope, BudgetUnit, ChangeError, ChangeSet,
    ConfigVersion, ENDPOINTS_MAX, Endpoint, FIGURE_MAX, FLEET_NAME_MAX, Figure, History, LEDGER, NAME_MAX,
    NOTE_MAX, Name, Record, RecordKey, RecordKind, RetentionPolicy, Revision, Snapshot, SnapshotAssembler,
    Transaction, ZONE_NAME_MAX, ZONES_MAX, diff, file_format,
};
use holdlift::{Micros, Settings};
use proptest::prelude::*;
use records::*;

/// The settings file of a node, which the versioned configuration overlays.
fn file_settings() -> Settings {
    Settings {
        cores: 4,
        memory_kb: 1e6,
        run_memory_factor: 2.0,
        max_runs_per_core: 3.0,
        classes: vec![class_record("of-the-file", 1.0).settings()].into(),
        ..Settings::default()
    }
}

fn sample_records() -> Vec<Record> {
    vec![
        class("quote", 3.0),
        class("book", 5.0),
        tenant("acme", 20.0),
        tenant("blue", 30.0),
        tier("rates", 7001),
        zone("z0", 40),
        budget("rates-all", BudgetScope::Tier(name("rates")), 40),
        budget("acme-quota", BudgetScope::Tenant(name("acme")), 20),
    ]
}

#[test]
fn store_bounds_match_fleet_zone_and_tier_bounds() {
    assert_eq!(FLEET_NAME_MAX, holdlift::fleet::NAME_MAX);
    assert_eq!(ZONES_MAX, holdlift::zone::MAX_ZONES);
    assert_eq!(LEDGER, holdlift::config::tiers::LEDGER);
    assert_eq!(ZONE_NAME_MAX + "zone/".len(), FLEET_NAME_MAX);
}

/// Each kind of invalid change is rejected with its reason, and the version in force stays unchanged, also when the change is
/// applied in single steps.
#[test]
fn an_invalid_change_is_rejected_and_leaves_the_version_unchanged() {
    let mut now = version_of(sample_records());
    let second = ChangeSet::draft(&now, vec![tenant("coral", 1.0)], Vec::new(), author())
        .expect("the change is valid for its base version");
    now.apply(&second).expect("a valid change applies to its base version");
    // Each change also sets a valid record, which must not be applied.
    let valid_tenant = || tenant("dune", 7.0);
    let change_with = |set: Vec<Record>, remove: Vec<RecordKey>| {
        let mut all = vec![valid_tenant()];
        all.extend(set);
        ChangeSet { base: now.revision(), set: all, remove, digest: now.digest(), ..second.clone() }
    };
    let key_of = key;
    let valid_change = ChangeSet::draft(&now, vec![valid_tenant()], Vec::new(), author())
        .expect("the change is valid for its base version");
    let by_zone = BudgetRecord {
        scales_with_zones: true,
        ..budget_record("rates-all", BudgetScope::Tier(name("rates")), 40)
    };
    let mut without_deadline = class_record("bare", 1.0);
    without_deadline.deadline = Micros(0);
    let zones: Vec<Record> = (0..ZONES_MAX).map(|i| zone(&format!("zone-{i}"), 1)).collect();
    let tenants = || now.records_of_kind(RecordKind::Tenant).map(Record::key);
    let classes = || now.records_of_kind(RecordKind::Class).map(Record::key);
    let wrong_digest = ChangeSet { digest: second.digest, ..valid_change.clone() };
    type RejectionCase = (ChangeSet, fn(&ChangeError) -> bool);
    let table: Vec<RejectionCase> = vec![
        (ChangeSet { base: Revision(3), ..valid_change.clone() }, |r| {
            *r == ChangeError::Gap { base: Revision(3), in_force: Revision(2) }
        }),
        (ChangeSet { base: Revision(1), ..valid_change.clone() }, |r| {
            *r == ChangeError::Outdated { base: Revision(1), in_force: Revision(2) }
        }),
        (second.clone(), |r| matches!(r, ChangeError::Outdated { .. })),
        (
            wrong_digest,
            |r| matches!(r, ChangeError::DigestMismatch { expected, actual } if expected != actual),
        ),
        (ChangeSet { set: Vec::new(), ..valid_change.clone() }, |r| *r == ChangeError::Empty),
        (change_with(vec![], vec![key_of(RecordKind::Tenant, "missing")]), |r| {
            matches!(r, ChangeError::RecordNotFound(_))
        }),
        (change_with(vec![], vec![key_of(RecordKind::Class, "acme")]), |r| {
            matches!(r, ChangeError::RecordNotFound(_))
        }),
        (change_with(vec![valid_tenant()], vec![]), |r| matches!(r, ChangeError::DuplicateRecord(_))),
        (change_with(vec![tenant("blue", 1.0)], vec![key_of(RecordKind::Tenant, "blue")]), |r| {
            matches!(r, ChangeError::DuplicateRecord(_))
        }),
        (change_with(vec![], vec![key_of(RecordKind::Tenant, "blue"); 2]), |r| {
            matches!(r, ChangeError::DuplicateRecord(_))
        }),
        (
            change_with(vec![Record::Class(without_deadline)], vec![]),
            |r| matches!(r, ChangeError::InvalidRecord { error, .. } if error.field == "deadline"),
        ),
        (change_with(vec![budget("x", BudgetScope::Tier(name("tides")), 1)], vec![]), |r| {
            matches!(r, ChangeError::MissingReference { .. })
        }),
        (change_with(vec![budget("x", BudgetScope::Tenant(name("rates")), 1)], vec![]), |r| {
            matches!(r, ChangeError::MissingReference { .. })
        }),
        (change_with(vec![], vec![key_of(RecordKind::Tier, "rates")]), |r| {
            matches!(r, ChangeError::StillReferenced { references: 1, .. })
        }),
        (change_with(vec![], vec![key_of(RecordKind::Tenant, "acme")]), |r| {
            matches!(r, ChangeError::StillReferenced { references: 1, .. })
        }),
        (change_with(vec![budget("x", BudgetScope::Tenant(name("acme")), 1)], vec![]), |r| {
            matches!(r, ChangeError::DuplicateTenantBudget(_))
        }),
        (change_with(vec![Record::Budget(by_zone.clone())], vec![key_of(RecordKind::Zone, "z0")]), |r| {
            *r == ChangeError::NoZones
        }),
        (change_with(vec![], classes().collect()), |r| *r == ChangeError::NoClasses),
        (change_with(zones, vec![]), |r| {
            *r == ChangeError::TooManyRecords { kind: RecordKind::Zone, count: ZONES_MAX + 1, max: ZONES_MAX }
        }),
        (ChangeSet { author: "a".repeat(AUTHOR_MAX + 1), ..valid_change.clone() }, |r| {
            matches!(r, ChangeError::TooLarge(_))
        }),
        (ChangeSet { note: "a".repeat(NOTE_MAX + 1), ..valid_change.clone() }, |r| {
            matches!(r, ChangeError::TooLarge(_))
        }),
    ];
    for (i, (change, is_expected)) in table.iter().enumerate() {
        let mut after = now.clone();
        let refused = after.apply(change).expect_err("an invalid change is rejected");
        assert!(is_expected(&refused), "row {i}: {refused:?}");
        assert_eq!(after, now, "row {i}: the version in force has changed");
        // Applied in steps of one record, the change is rejected with the same error.
        let stepped = Transaction::begin(&now, change.clone()).and_then(|mut transaction| {
            loop {
                if let Some(done) = transaction.step(1)? {
                    return Ok(done.0);
                }
            }
        });
        assert_eq!(stepped.expect_err("an invalid change is rejected"), refused, "row {i}");
    }
    assert_eq!(
        now.clone().apply(&valid_change).map(|a| (a.revision, a.records_set, a.records_removed)),
        Ok((Revision(3), 1, 0))
    );
    // Changes that are rejected alone are accepted together with the records they depend on.
    let all = vec![key_of(RecordKind::Budget, "acme-quota"), key_of(RecordKind::Tenant, "acme")];
    assert!(ChangeSet::draft(&now, vec![], all, author()).is_ok());
    let both = vec![budget("x", BudgetScope::Tier(name("tides")), 1), tier("tides", 7009)];
    assert!(ChangeSet::draft(&now, both, vec![], author()).is_ok());
    let ledger = budget("x", BudgetScope::Tier(name(LEDGER)), 1);
    assert!(ChangeSet::draft(&now, vec![ledger], vec![], author()).is_ok(), "the ledger tier always exists");
    let quotas = vec![key_of(RecordKind::Budget, "acme-quota")];
    let everything: Vec<RecordKey> = classes().chain(tenants()).chain(quotas).collect();
    assert!(
        ChangeSet::draft(&now, vec![], everything, author()).is_ok(),
        "without classes and tenants those of the settings file apply"
    );
}

#[test]
fn the_largest_revision_has_no_successor() {
    // Changes alone assign revisions, so the largest one can only come from a snapshot's header; this tests the type itself.
    assert_eq!(Revision(u64::MAX).next(), None);
    assert_eq!(Revision(7).next(), Some(Revision(8)));
}

#[test]
fn names_and_figures_outside_their_bounds_are_rejected() {
    for (text, good) in [
        ("a", true),
        ("", false),
        ("with blank and \u{e9}", true),
        ("a\nb", false),
        ("\u{7f}", false),
        (&"n".repeat(NAME_MAX), true),
        (&"n".repeat(NAME_MAX + 1), false),
    ] {
        assert_eq!(Name::new(text).is_ok(), good, "{text:?}");
    }
    for (x, good) in [
        (0.0, true),
        (-0.0, true),
        (0.1, true),
        (FIGURE_MAX, true),
        (FIGURE_MAX * 1.001, false),
        (-1e-300, false),
        (f64::NAN, false),
        (f64::INFINITY, false),
        (f64::NEG_INFINITY, false),
    ] {
        assert_eq!(Figure::new(x).is_ok(), good, "{x}");
    }
    assert_eq!(
        figure(-0.0).get().to_bits(),
        0,
        "negative zero is normalized, or equal records would have two digests"
    );
}

/// Each field of a record that is out of range is rejected with an error that names the field.
#[test]
fn a_record_field_out_of_range_is_rejected_by_name() {
    let tier = |f: fn(&mut holdlift::config_store::TierRecord)| {
        let mut t = tier_record("t", 7001);
        f(&mut t);
        Record::Tier(Box::new(t))
    };
    let budget = |f: fn(&mut BudgetRecord)| {
        let mut b = budget_record("b", BudgetScope::Tier(name("t")), 40);
        f(&mut b);
        Record::Budget(b)
    };
    let class = |f: fn(&mut holdlift::config_store::ClassRecord)| {
        let mut c = class_record("c", 1.0);
        f(&mut c);
        Record::Class(c)
    };
    const FOUR_HUNDRED_DAYS: Micros = Micros(400 * 86_400 * 1_000_000);
    let table = [
        (class(|c| c.deadline = Micros(0)), "deadline"),
        (class(|c| c.deadline = FOUR_HUNDRED_DAYS), "deadline"),
        (class(|c| c.latency_objective = FOUR_HUNDRED_DAYS), "aim"),
        (class(|c| c.repeat_window = FOUR_HUNDRED_DAYS), "window"),
        (zone("z", 0), "bears"),
        (zone("z", 1_000_001), "bears"),
        (zone(&"z".repeat(ZONE_NAME_MAX + 1), 1), "name"),
        (tier(|t| t.endpoints.clear()), "endpoints"),
        (tier(|t| t.endpoints = vec![t.endpoints[0].clone(); 2]), "endpoints"),
        (tier(|t| t.name = name(LEDGER)), "endpoints"),
        (
            tier(|t| {
                let at = |p| Endpoint { address: ([127, 0, 0, 1], p).into(), zone: None };
                t.endpoints = (1..=ENDPOINTS_MAX as u16 + 1).map(at).collect();
            }),
            "endpoints",
        ),
        (tier(|t| t.limit_start = Some(figure(0.5))), "limit_start"),
        (tier(|t| t.limit_most = Some(figure(2e9))), "limit_most"),
        (tier(|t| t.breaker_failures = Some(figure(1.1))), "breaker_failures"),
        (tier(|t| t.breaker_open = Some(Micros(9_999))), "breaker_open"),
        (tier(|t| t.eject_failures = Some(0)), "eject_failures"),
        (tier(|t| t.slow_start_calls = Some(figure(0.0))), "slow_start_calls"),
        (tier(|t| t.slow_start_window = Some(Micros(1))), "slow_start_window"),
        (tier(|t| t.slow_start = Some(Micros::from_millis(3_600_001))), "slow_start"),
        (tier(|t| t.tries = Some(6)), "tries"),
        (tier(|t| t.retry_share = Some(figure(1.5))), "retry_share"),
        (tier(|t| t.retry_burst = Some(figure(10_001.0))), "retry_burst"),
        (tier(|t| t.hedge_at = Some(figure(1.0))), "hedge_at"),
        (budget(|b| b.name = name(&"b".repeat(FLEET_NAME_MAX + 1))), "name"),
        (budget(|b| b.capacity = 1_000_001), "whole"),
        (budget(|b| b.min_share = 41), "floor"),
        (budget(|b| b.unit = BudgetUnit::InFlight { max_duration: Micros(1) }), "longest"),
        (budget(|b| b.unit = BudgetUnit::Rate { window: Micros(1) }), "window"),
        (
            budget(|b| {
                b.unit = BudgetUnit::InFlight { max_duration: Micros::from_millis(500) };
                b.scope = BudgetScope::Retries(name("t"));
            }),
            "counts",
        ),
    ];
    for (record, field) in table {
        let error = record.check().expect_err(field);
        assert_eq!(error.field, field, "{error}");
    }
    for record in [class(|_| {}), tier(|_| {}), budget(|_| {}), zone("z", 1)] {
        assert_eq!(record.check(), Ok(()));
    }
}

// ---- comparison with a plain map as the model ----

type RecordMap = BTreeMap<RecordKey, Record>;

/// Whether the records form a valid version, decided by a walk over all of them.
fn is_valid(all: &RecordMap) -> bool {
    let of = |kind| all.values().filter(move |r| r.kind() == kind);
    let budgets =
        of(RecordKind::Budget).filter_map(|r| if let Record::Budget(b) = r { Some(b) } else { None });
    let budgets: Vec<&BudgetRecord> = budgets.collect();
    let scope_exists = |scope: &BudgetScope| {
        let key = scope.key();
        (key.kind == RecordKind::Tier && key.name.as_str() == LEDGER) || all.contains_key(&key)
    };
    let only_tenant_budget = |b: &&BudgetRecord| {
        !matches!(b.scope, BudgetScope::Tenant(_))
            || budgets.iter().filter(|o| o.scope == b.scope).count() == 1
    };
    all.values().all(|r| r.check().is_ok())
        && budgets.iter().all(|b| scope_exists(&b.scope))
        && budgets.iter().all(only_tenant_budget)
        && (of(RecordKind::Zone).count() > 0 || budgets.iter().all(|b| !b.scales_with_zones))
        && (of(RecordKind::Class).count() > 0 || of(RecordKind::Tenant).count() == 0)
}

/// A record from a small set of names, so that names collide often.
fn record_strategy() -> impl Strategy<Value = Record> {
    let of = prop_oneof![
        (0u8..3).prop_map(|i| BudgetScope::Tier(name(&format!("r{i}")))),
        (0u8..3).prop_map(|i| BudgetScope::Retries(name(&format!("r{i}")))),
        (0u8..4).prop_map(|i| BudgetScope::Tenant(name(&format!("t{i}")))),
        Just(BudgetScope::Tier(name(LEDGER))),
    ];
    prop_oneof![
        3 => (0u8..4, 0u8..3).prop_map(|(i, x)| class(&format!("c{i}"), f64::from(x))),
        3 => (0u8..4, 0u8..3).prop_map(|(i, x)| tenant(&format!("t{i}"), f64::from(x))),
        2 => (0u8..3, 1u16..3).prop_map(|(i, x)| tier(&format!("r{i}"), x)),
        1 => (0u8..2, 0u32..3).prop_map(|(i, x)| zone(&format!("z{i}"), x)),
        3 => (0u8..4, of, 0u32..3, any::<bool>()).prop_map(|(i, of, whole, by_zone)| {
            Record::Budget(BudgetRecord { scales_with_zones: by_zone, ..budget_record(&format!("b{i}"), of, whole) })
        }),
    ]
}

fn key_strategy() -> impl Strategy<Value = RecordKey> {
    (0usize..5, 0u8..4).prop_map(|(kind, i)| {
        let letter = ["c", "t", "r", "z", "b"][kind];
        key(RecordKind::ALL[kind], &format!("{letter}{i}"))
    })
}

/// The same records set on an empty configuration by one change; none if the version is empty.
fn rebuilt_from_records(all: &ConfigVersion) -> Option<ConfigVersion> {
    let records: Vec<Record> = all.records().cloned().collect();
    (!records.is_empty()).then(|| version_of(records))
}

/// A valid version that results from up to five changes; invalid drafts are skipped.
fn version_strategy() -> impl Strategy<Value = ConfigVersion> {
    let change =
        (proptest::collection::vec(record_strategy(), 0..8), proptest::collection::vec(key_strategy(), 0..3));
    proptest::collection::vec(change, 0..6).prop_map(|changes| {
        let mut all = ConfigVersion::default();
        for (set, remove) in changes {
            if let Ok(change) = ChangeSet::draft(&all, set, remove, author()) {
                all.apply(&change).expect("a drafted change applies to its base version");
            }
        }
        all
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// For any sequence of changes the store accepts exactly what the map model accepts, a rejected change alters nothing, and
    /// the digest depends only on the records.
    #[test]
    fn changes_agree_with_a_plain_map_model(
        changes in proptest::collection::vec(
            (proptest::collection::vec(record_strategy(), 0..6), proptest::collection::vec(key_strategy(), 0..3),
             prop_oneof![8 => Just(0i64), 1 => Just(-1), 1 => Just(1)], prop_oneof![8 => Just(true), 1 => Just(false)]),
            0..24),
    ) {
        let (mut all, mut plain) = (ConfigVersion::default(), RecordMap::new());
        for (set, remove, base_offset, digest_is_right) in changes {
            let mut after = plain.clone();
            let mut keys: Vec<RecordKey> = set.iter().map(Record::key).chain(remove.iter().cloned()).collect();
            let (n, all_removed_exist) = (keys.len(), remove.iter().all(|k| plain.contains_key(k)));
            keys.sort();
            keys.dedup();
            for k in &remove {
                after.remove(k);
            }
            after.extend(set.iter().map(|r| (r.key(), r.clone())));
            let is_valid_change = n > 0 && keys.len() == n && all_removed_exist && is_valid(&after);
            let draft = ChangeSet::draft(&all, set.clone(), remove.clone(), author());
            prop_assert_eq!(draft.is_ok(), is_valid_change, "{:?}", draft);
            let base = Revision(all.revision().0.saturating_add_signed(base_offset));
            let base_and_digest_match = base == all.revision() && digest_is_right;
            let mut change = draft.unwrap_or(ChangeSet {
                base, set, remove, digest: all.digest(), author: String::new(), note: String::new(), at: 0,
            });
            change.base = base;
            if !digest_is_right {
                change.digest = version_of(vec![class("else", 9.0)]).digest();
            }
            let before = all.clone();
            match all.apply(&change) {
                Ok(applied) => {
                    prop_assert!(is_valid_change && base_and_digest_match);
                    prop_assert_eq!(applied.revision, Revision(before.revision().0 + 1));
                    plain = after;
                }
                Err(_) => {
                    prop_assert!(!(is_valid_change && base_and_digest_match));
                    prop_assert_eq!(&all, &before);
                }
            }
            prop_assert!(all.records().eq(plain.values()));
            for kind in RecordKind::ALL {
                prop_assert_eq!(all.count(kind), plain.values().filter(|r| r.kind() == kind).count());
                prop_assert!(all.records_of_kind(kind).eq(plain.values().filter(|r| r.kind() == kind)));
            }
            if let Some(rebuilt) = rebuilt_from_records(&all) {
                prop_assert_eq!(rebuilt.digest(), all.digest());
                prop_assert!(rebuilt.has_same_records(&all));
            } else {
                prop_assert_eq!(all.digest(), ConfigVersion::default().digest());
            }
            prop_assert_eq!(all.settings(&file_settings()).validate(), Ok(()));
        }
    }

    /// The difference between a version and a complete set of records leads from one to the other, and a rollback undoes it.
    #[test]
    fn a_diff_leads_from_any_version_to_any_other_and_a_rollback_undoes_it(a in version_strategy(), b in version_strategy()) {
        let records: Vec<Record> = b.records().cloned().collect();
        match diff(&a, &records, &RecordKind::ALL, author()) {
            Err(why) => prop_assert!(why == ChangeError::Empty && a.has_same_records(&b), "{}", why),
            Ok(change) => {
                let mut after = a.clone();
                after.apply(&change).expect("a drafted change applies to its base version");
                prop_assert!(after.has_same_records(&b));
                prop_assert_eq!(after.digest(), b.digest());
                let same = |r: &Record| a.get(&r.key()) == Some(r);
                prop_assert!(!change.set.iter().any(same), "the change sets only records that differ");
                prop_assert_eq!(ChangeSet::decode(&change.encode().expect("the change is within the encoding limit")), Ok(change.clone()));
                let mut history = History::new(a.clone(), RetentionPolicy::default());
                history.apply(&change).expect("a drafted change applies to its base version");
                let back = history.draft_rollback(a.revision(), author()).expect("the revision is retained");
                history.apply(&back).expect("a drafted change applies to its base version");
                prop_assert!(history.newest().has_same_records(&a));
                prop_assert_eq!(history.newest().revision(), Revision(a.revision().0 + 2));
            }
        }
    }

    /// The same records have one digest whatever the order and grouping of the changes; with one record less it differs.
    #[test]
    fn the_digest_does_not_depend_on_record_order_or_grouping(n in 1usize..40, order in any::<u64>(), pieces in 1usize..6, other in 0usize..40) {
        let mut all = classes_and_tenants(n, n);
        let whole = version_of(all.clone());
        let mut x = order;
        for i in (1..all.len()).rev() {
            x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            all.swap(i, (x >> 33) as usize % (i + 1));
        }
        // Tenants are valid only once classes exist; any other order is allowed.
        all.sort_by_key(|r| r.kind() != RecordKind::Class);
        let mut stepwise = ConfigVersion::default();
        for part in all.chunks(all.len().div_ceil(pieces)) {
            let change = ChangeSet::draft(&stepwise, part.to_vec(), vec![], author()).expect("the change is valid for its base version");
            stepwise.apply(&change).expect("a drafted change applies to its base version");
        }
        prop_assert_eq!(stepwise.digest(), whole.digest());
        let mut less = all.clone();
        less.remove(other % all.len());
        if !less.is_empty() && (n > 1 || other % all.len() != 0) {
            prop_assert_ne!(version_of(less).digest(), whole.digest());
        }
    }

    /// A snapshot followed by the later changes yields the same version as all changes in sequence.
    #[test]
    fn a_snapshot_plus_later_changes_equals_all_changes(a in version_strategy(), later in proptest::collection::vec(record_strategy(), 0..10)) {
        let mut all = History::new(a.clone(), RetentionPolicy::default());
        for record in later {
            if let Ok(change) = ChangeSet::draft(all.newest(), vec![record], vec![], author()) {
                all.apply(&change).expect("a drafted change applies to its base version");
            }
        }
        let mut restored = unpack(&Snapshot::pack(&a));
        prop_assert_eq!(&restored, &a);
        for change in all.changes() {
            restored.apply(change).expect("the change follows the version it is applied to");
        }
        prop_assert_eq!(&restored, all.newest());
    }

    /// A flipped bit or a missing end makes encoded data unreadable. Arbitrary bytes, with or without a valid checksum, cause no
    /// panic.
    #[test]
    fn damaged_bytes_are_rejected_and_arbitrary_bytes_cause_no_panic(a in version_strategy(), at in any::<prop::sample::Index>(), bit in 0u8..8, cut in any::<bool>(),
                                junk in proptest::collection::vec(any::<u8>(), 0..300)) {
        let change = diff(&a, &sample_records(), &RecordKind::ALL, author()).expect("the records differ from the base version").encode().expect("the change is within the encoding limit");
        let chunk = Snapshot::pack(&a).chunks[0].to_vec();
        for bytes in [change, chunk] {
            let mut bytes = bytes;
            let i = at.index(bytes.len());
            if cut { bytes.truncate(i) } else { bytes[i] ^= 1 << bit }
            prop_assert!(ChangeSet::decode(&bytes).is_err());
            prop_assert!(SnapshotAssembler::new().add_chunk(&bytes).is_err());
        }
        let mut with_magic = b"hc\x01\x00".to_vec();
        with_magic.extend_from_slice(&junk);
        for bytes in [with_checksum(&junk), with_checksum(&with_magic), junk] {
            let _ = ChangeSet::decode(&bytes);
            let _ = SnapshotAssembler::new().add_chunk(&bytes);
            let _ = file_format::parse("f", &String::from_utf8_lossy(&bytes));
        }
    }
}

/// Bytes with a valid checksum, so that the checks behind the checksum are reached.
fn with_checksum(bytes: &[u8]) -> Vec<u8> {
    [bytes, &blake3::hash(bytes).as_bytes()[..8]].concat()
}

fn unpack(snapshot: &Snapshot) -> ConfigVersion {
    let mut assembly = SnapshotAssembler::new();
    for (i, chunk) in snapshot.chunks.iter().enumerate() {
        assert_eq!(assembly.next_chunk(), i as u32);
        match assembly.add_chunk(chunk).expect("the data is intact") {
            AssemblyProgress::Complete(all) => {
                assert_eq!(
                    i + 1,
                    snapshot.chunks.len(),
                    "the assembly is complete exactly at the last chunk"
                );
                return *all;
            }
            AssemblyProgress::NextChunk(n) => assert_eq!(n as usize, i + 1),
        }
    }
    panic!("the assembly is incomplete after the last chunk")
}

/// `config where --json` prints a halted version; its JSON names stay fixed whatever the Rust fields are called.
#[test]
fn a_halted_rollout_keeps_its_json_names() {
    use holdlift::config_store::{CanaryFailure, RolloutHalted};
    let failures = BTreeMap::from([
        ("n1".to_owned(), CanaryFailure::Rejected("no room".to_owned())),
        ("n2".to_owned(), CanaryFailure::Unresponsive),
        ("n3".to_owned(), CanaryFailure::Restarted),
    ]);
    let halted = RolloutHalted { revision: Revision(7), failures };
    let json = serde_json::to_string(&halted).expect("the halted rollout serializes to JSON");
    assert_eq!(json, r#"{"revision":7,"harm":{"n1":{"Refused":"no room"},"n2":"Lost","n3":"Anew"}}"#);
    assert_eq!(
        serde_json::from_str::<RolloutHalted>(&json).expect("the JSON parses as a halted rollout"),
        halted
    );
}
