//! Settings of any size: lookups and merges cost no more than an index allows and give the results of a linear search.

use std::cell::Cell;

use holdlift::config::doc::few;
use holdlift::settings::shape::Shape;
use holdlift::settings::slots::merge_settings;
use holdlift::settings::{from_text, lacking};
use holdlift::{
    CLASSES_MAX, ClassId, ClassSettings, IndexedEntry, IndexedList, Micros, Settings, SettingsError,
    TenantSettings,
};
use proptest::prelude::*;
use serde_json::Value;

thread_local! {
    static NAMES_READ: Cell<u32> = const { Cell::new(0) };
}

/// An entry that counts how often its name is read.
#[derive(Clone)]
struct CountedEntry(String);

impl IndexedEntry for CountedEntry {
    type Summary = ();

    fn name(&self) -> &str {
        NAMES_READ.set(NAMES_READ.get() + 1);
        &self.0
    }

    fn summarize(_: &[Self]) {}
}

/// A lookup reads about as many names as the list's length has bits: for 100 times the entries, 7 more names.
#[test]
fn a_lookup_by_name_reads_a_logarithmic_number_of_names() {
    for (n, most) in [(280u32, 12), (28_000, 18)] {
        let list: IndexedList<CountedEntry> = (0..n).map(|i| CountedEntry(format!("tenant-{i}"))).collect();
        list.build_index();
        for i in [0, 1, n / 2, n - 1] {
            NAMES_READ.set(0);
            assert_eq!(list.find(&format!("tenant-{i}")), Some(i as usize));
            assert!(NAMES_READ.get() <= most, "{} names of {n} were read", NAMES_READ.get());
        }
        NAMES_READ.set(0);
        assert_eq!(list.find("absent"), None);
        assert!(NAMES_READ.get() <= most, "{} names of {n} were read", NAMES_READ.get());
    }
}

/// Changing a clone of a list leaves the original and its index as they were.
#[test]
fn a_changed_clone_has_its_own_entries_and_index() {
    let was: IndexedList<TenantSettings> = ["b", "a"].map(tenant).into_iter().collect();
    let mut is = was.clone();
    assert!(is.is_same_copy(&was) && is.find("a") == Some(1));
    is[1].name = "c".to_owned();
    is.push(tenant("a"));
    assert_eq!(["a", "b", "c"].map(|n| is.find(n)), [Some(2), Some(0), Some(1)]);
    assert_eq!(["a", "b", "c"].map(|n| was.find(n)), [Some(1), Some(0), None]);
    assert!(!is.is_same_copy(&was));
}

#[test]
fn more_classes_than_the_limit_are_refused() {
    let with_classes = |n: usize| Settings {
        cores: 1,
        memory_kb: 1.0,
        run_memory_factor: 1.0,
        max_runs_per_core: 1.0,
        classes: (0..n).map(|i| class(&format!("c{i}"), 1, 1.0, false)).collect(),
        ..Settings::default()
    };
    assert_eq!(with_classes(CLASSES_MAX).validate(), Ok(()));
    let error = with_classes(CLASSES_MAX + 1).validate().expect_err("one class above the limit is refused");
    assert_eq!(error, SettingsError::TooManyClasses(20_001));
    assert_eq!(error.to_string(), "settings: 20001 classes; there may be 20000 at most");
}

#[test]
fn a_message_lists_eight_names_and_counts_the_rest() {
    let names: Vec<String> = (0..28_000).map(|i| format!("t{i}")).collect();
    let listed = |n: usize| few(names[..n].iter().map(String::as_str));
    assert_eq!(listed(0), "");
    assert_eq!(listed(2), "t0, t1");
    assert_eq!(listed(8), "t0, t1, t2, t3, t4, t5, t6, t7");
    assert_eq!(listed(28_000), "t0, t1, t2, t3, t4, t5, t6, t7 and 27992 more");
}

fn tenant(name: &str) -> TenantSettings {
    TenantSettings { name: name.to_owned(), quota_per_s: 1.0 }
}

fn class(name: &str, deadline: u64, weight: f64, retired: bool) -> ClassSettings {
    let deadline = Micros(deadline);
    ClassSettings {
        name: name.to_owned(),
        deadline,
        latency_objective: deadline,
        priority_weight: weight,
        is_retired: retired,
        ..Default::default()
    }
}

/// Checks each indexed result against a linear search of the whole lists.
fn agrees_with_search(s: &Settings) -> Result<(), TestCaseError> {
    for name in NAMES.iter().copied().chain([""]) {
        let class = s.classes.iter().position(|c| c.name == name && !c.is_retired);
        prop_assert_eq!(s.class(name), class.map(ClassId), "class {}", name);
        let tenant = s.tenants.iter().position(|t| t.name == name);
        prop_assert_eq!(s.tenant(name).map(|t| t.0), tenant, "tenant {}", name);
    }
    let longest = s.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    prop_assert_eq!(s.longest_deadline(), longest);
    prop_assert_eq!(s.active_class_count(), s.active_classes().count());
    prop_assert_eq!(
        s.classes.summary().latency_objectives_s,
        s.active_classes().map(|c| c.latency_objective.as_secs_f64()).sum::<f64>()
    );
    for c in 0..s.classes.len() {
        let weight = |c: usize| s.classes[c].priority_weight;
        let lower = (0..s.classes.len()).filter(|o| (weight(*o), *o) < (weight(c), c)).count();
        prop_assert_eq!(s.rank(ClassId(c)), (lower as f64 + 0.5) / s.classes.len() as f64, "rank of {}", c);
    }
    Ok(())
}

const NAMES: [&str; 7] = ["a", "ab", "b", "ba", "quote", "z", "Z"];

fn lists() -> impl Strategy<Value = (Vec<ClassSettings>, Vec<TenantSettings>)> {
    let one = (0..NAMES.len(), 1u64..4, -1i8..3, any::<bool>());
    let weight = |w: i8| if w < 0 { -0.0 } else { f64::from(w) };
    let of = move |(n, deadline, w, retired): (usize, u64, i8, bool)| {
        class(NAMES[n], deadline, weight(w), retired)
    };
    let tenants = proptest::collection::vec(0..NAMES.len(), 0..12);
    (
        proptest::collection::vec(one.prop_map(of), 0..12),
        tenants.prop_map(|t| t.into_iter().map(|n| tenant(NAMES[n])).collect()),
    )
}

proptest! {
    /// Of several entries with one name the first is found; retired classes are not found.
    #[test]
    fn an_index_finds_what_a_search_finds((classes, tenants) in lists()) {
        let s = Settings { classes: classes.into(), tenants: tenants.into(), ..Settings::default() };
        agrees_with_search(&s)?;
    }

    /// The same holds after any sequence of reloads, and the settings of a slot in use never change.
    #[test]
    fn after_any_reloads_the_index_agrees_and_used_slots_are_unchanged(reloads in proptest::collection::vec((lists(), any::<u64>()), 1..8)) {
        let mut s = Settings::default();
        for ((mut classes, tenants), free) in reloads {
            classes.iter_mut().for_each(|c| c.is_retired = false);
            let mut seen = std::collections::HashSet::new();
            classes.retain(|c| seen.insert(c.name.clone()));
            let want = classes.clone();
            let new_settings = Settings { classes: classes.into(), tenants: tenants.into(), ..Settings::default() };
            let free = |c: ClassId| free >> (c.0 % 64) & 1 == 1;
            let r = merge_settings(&s, new_settings.clone(), free).expect("a slot is free for each changed class");
            agrees_with_search(&r.settings)?;
            let mut live: Vec<_> = r.settings.active_classes().cloned().collect();
            let mut want = want;
            live.sort_by(|a, b| a.name.cmp(&b.name));
            want.sort_by(|a, b| a.name.cmp(&b.name));
            prop_assert_eq!(live, want);
            prop_assert_eq!(&r.settings.tenants, &new_settings.tenants);
            let new: Vec<usize> = r.previous_classes.iter().map(|(to, _)| to.0).collect();
            for (i, was) in s.classes.iter().enumerate() {
                let is = &r.settings.classes[i];
                if new.contains(&i) {
                    prop_assert!(was.is_retired && free(ClassId(i)), "slot {} was in use", i);
                } else {
                    prop_assert_eq!(&ClassSettings { is_retired: is.is_retired, ..was.clone() }, is);
                    prop_assert_eq!(r.retired.contains(&ClassId(i)), is.is_retired && !was.is_retired);
                }
            }
            if r.previous_classes.is_empty() && r.retired.is_empty() {
                prop_assert!(r.settings.classes.is_same_copy(&s.classes), "unchanged classes are not copied");
            }
            s = r.settings;
        }
    }
}

/// Reference for [`lacking`]: compares two complete JSON values.
fn lacking_of_both(in_force: &Value, replacement: &Value) -> Option<String> {
    match (in_force, replacement) {
        (Value::Object(a), Value::Object(b)) => a.iter().find_map(|(key, was)| match b.get(key) {
            None if ["aim-stretch", "passes-deadline"].contains(&key.as_str()) => None,
            None => Some(key.clone()),
            Some(is) => lacking_of_both(was, is).map(|rest| format!("{key}.{rest}")),
        }),
        (Value::Array(a), Value::Array(b)) => {
            let mut common = a.first()?.as_object()?.clone();
            for other in &a[1..] {
                common.retain(|key, _| other.get(key).is_some());
            }
            let common = Value::Object(common);
            b.iter()
                .enumerate()
                .find_map(|(i, x)| lacking_of_both(&common, x).map(|rest| format!("{i}.{rest}")))
        }
        _ => None,
    }
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        (-3i64..3).prop_map(Value::from),
        (-2.0..2.0).prop_map(Value::from),
        "[ab]".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 48, 5, |inner| {
        let key = prop_oneof![Just("aim-stretch".to_owned()), "[a-d]".prop_map(|k| k)];
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..5).prop_map(Value::from),
            proptest::collection::btree_map(key, inner, 0..5).prop_map(|m| m.into_iter().collect()),
        ]
    })
}

/// A copy of a value with some keys and elements left out.
fn with_parts_removed(value: &Value, draws: &mut u64) -> Value {
    let mut draw = || {
        *draws = draws.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (*draws >> 60) > 1
    };
    match value {
        Value::Object(map) => {
            let kept: Vec<_> = map.iter().filter(|_| draw()).collect();
            kept.into_iter().map(|(k, v)| (k.clone(), with_parts_removed(v, draws))).collect()
        }
        Value::Array(list) => {
            let kept: Vec<_> = list.iter().filter(|_| draw()).collect();
            kept.into_iter().map(|v| with_parts_removed(v, draws)).collect()
        }
        other => other.clone(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// The kept [`Shape`] of a file finds the same missing key, with the same path, as a comparison of complete values,
    /// both for a parsed value and for text.
    #[test]
    fn a_shape_finds_the_missing_key_that_a_full_comparison_finds(was in any_json(), other in any_json(), mut draws in any::<u64>()) {
        for is in [with_parts_removed(&was, &mut draws), other] {
            let want = lacking_of_both(&was, &is);
            prop_assert_eq!(lacking(&was, &is), want.clone());
            let shape: Shape = serde_json::from_str(&was.to_string()).expect("a serialized value is JSON");
            let text = is.to_string();
            let found = shape.lacking(&mut serde_json::Deserializer::from_str(&text)).expect("a serialized value is JSON");
            prop_assert_eq!(found, want);
        }
    }
}

/// A syntax error is reported before any invalid value, wherever each is in the text.
#[test]
fn a_syntax_error_is_reported_before_an_invalid_value() {
    let table = [
        (
            r#"{"classes": [{"name": 1}], "accounts": [}"#,
            "params is not JSON: expected value at line 1 column 41",
        ),
        (r#"{"classes": [{"name": 1}"#, "params is not JSON: EOF while parsing a list at line 1 column 24"),
        (
            r#"{"classes": [{"name": 1}], "domain": {"class-calls": 1}}"#,
            "domain.class-calls is missing or of the wrong kind",
        ),
        (r#"{"accounts": [{}], "classes": [{"name": 1}]}"#, "class.name is missing or of the wrong kind"),
        (r#"{"accounts": [{}], "classes": null}"#, "account.name is missing or of the wrong kind"),
        (r#"{"accounts": {"a": [1]}, "classes": []}"#, "params.accounts is missing or of the wrong kind"),
        (r#"{"classes": 7}"#, "params.classes is missing or of the wrong kind"),
        (r#"{"classes": [], "accounts": []}"#, "domain.cores is missing or of the wrong kind"),
        ("7", "domain.cores is missing or of the wrong kind"),
        ("[[1], {}]", "domain.cores is missing or of the wrong kind"),
    ];
    for (text, want) in table {
        assert_eq!(from_text(text).expect_err(text), want, "{text}");
    }
}
