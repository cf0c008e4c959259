use super::*;
use crate::interface::ClassSettings;

fn class(name: &str, deadline: u64) -> ClassSettings {
    ClassSettings { name: name.to_owned(), deadline: Micros(deadline), ..ClassSettings::default() }
}

fn settings_of(classes: &[(&str, u64)]) -> Settings {
    let classes = classes.iter().map(|(n, d)| class(n, *d)).collect();
    Settings { classes, ..Settings::default() }
}

fn slot_list(s: &Settings) -> String {
    let one =
        |c: &ClassSettings| format!("{}{}{}", c.name, c.deadline.0, if c.is_retired { "-" } else { "" });
    s.classes.iter().map(one).collect::<Vec<_>>().join(" ")
}

/// Reloads in sequence, and the slots after each; `free` lists the retired slots without requests.
#[test]
fn retired_slots_are_reused_only_once_they_are_free() {
    type Row<'a> = (&'a [(&'a str, u64)], &'a [usize], &'a str, &'a [(usize, Option<usize>)]);
    let table: [Row<'_>; 6] = [
        (&[("a", 1), ("b", 1)], &[], "a1 b1", &[]),
        (&[("b", 1), ("a", 1)], &[], "a1 b1", &[]),
        (&[("a", 2), ("b", 1)], &[], "a1- b1 a2", &[(2, Some(0))]),
        (&[("a", 2), ("c", 1)], &[], "a1- b1- a2 c1", &[(3, None)]),
        (&[("a", 2), ("c", 1), ("d", 1)], &[1], "a1- d1 a2 c1", &[(1, None)]),
        (&[("a", 1), ("c", 3)], &[], "a1- d1- a2- c1- a1 c3", &[(4, Some(2)), (5, Some(3))]),
    ];
    let mut s = settings_of(&[("a", 1), ("b", 1)]);
    for (classes, free, want, former) in table {
        let r = merge_settings(&s, settings_of(classes), |c| free.contains(&c.0))
            .expect("a slot is free for each changed class");
        assert_eq!(slot_list(&r.settings), want);
        let slots: Vec<_> = r.previous_classes.iter().map(|(to, from)| (to.0, from.map(|f| f.0))).collect();
        assert_eq!(slots, former, "{want}");
        s = r.settings;
    }
}

/// The greatest allowed number of classes changes at once, and then again before any request is answered.
#[test]
fn a_change_that_needs_more_slots_than_the_limit_is_refused() {
    let all = |deadline, more: &[(&str, u64)]| {
        let names: Vec<String> = (more.len()..CLASSES_MAX).map(|i| format!("c{i}")).collect();
        let classes = names.iter().map(|n| (n.as_str(), deadline)).chain(more.iter().copied());
        settings_of(&classes.collect::<Vec<_>>())
    };
    let mut s = all(1, &[]);
    s = merge_settings(&s, all(2, &[]), |_| false).expect("a slot is free for each changed class").settings;
    assert_eq!(s.classes.len(), SLOTS_MAX);
    assert!(
        merge_settings(&s, all(2, &[]), |_| false).is_ok_and(|r| r.settings.classes.is_same_copy(&s.classes))
    );
    assert_eq!(merge_settings(&s, all(2, &[("d", 1)]), |_| false), Err(SlotsExhausted));
    assert!(merge_settings(&s, all(2, &[("d", 1)]), |c| c.0 == 7).is_ok());
    assert_eq!(merge_settings(&s, all(2, &[("d", 1), ("e", 1)]), |c| c.0 == 7), Err(SlotsExhausted));
}
