use super::*;

const AT: Micros = Micros(1_000);
const UNTIL: Micros = Micros(9_000);

fn subject(key: &str) -> Option<Subject> {
    Some(("order".to_owned(), key.to_owned()))
}

/// A successor that was told of a write at this point of its life, and what a repeat is told there: by name, by key.
#[test]
fn what_a_repeat_is_told_by_the_successor() {
    type Life = fn(&mut Writes);
    let good = Bytes::from_static(b"done");
    let table: [(&str, Life, Option<Work>); 5] = [
        ("held", |_| {}, Some(Work::Open)),
        ("running", |w| w.started("a"), Some(Work::Open)),
        (
            "ended well",
            |w| {
                w.started("a");
                w.ended("a", Some(&Bytes::from_static(b"done")));
                w.settled("a");
            },
            Some(Work::Good(good)),
        ),
        (
            "ended badly",
            |w| {
                w.started("a");
                w.ended("a", None);
                w.settled("a");
            },
            Some(Work::Bad),
        ),
        ("turned away", |w| w.settled("a"), None),
    ];
    for (what, live, want) in table {
        for told_before in [true, false] {
            let (mut old, mut new) = (Writes::default(), Writes::default());
            if told_before {
                cross(&mut old.share(AT, Side::Holder), &mut new);
            }
            assert_eq!(old.take(AT, "a", subject("k"), UNTIL), Taking::Go);
            live(&mut old);
            cross(&mut if told_before { old.changes() } else { old.share(AT, Side::Holder) }, &mut new);
            assert_eq!(new.past(AT, AT, "a", None), want.as_ref(), "{what}, by name");
            assert_eq!(new.past(AT, AT, "b", subject("k").as_ref()), want.as_ref(), "{what}, by key");
            assert_eq!(new.past(AT, AT, "b", subject("l").as_ref()), None, "{what}, another key");
            assert_eq!(new.past(UNTIL, UNTIL, "a", None), None, "{what}, after its time");
        }
    }
}

#[test]
fn what_is_known_is_bounded_and_own_knowledge_wins() {
    let mut w = Writes::default();
    for n in 0..WRITES_MAX + 10 {
        assert_eq!(w.take(AT, &n.to_string(), None, UNTIL + Micros(n as u64)), Taking::Go);
    }
    assert_eq!((w.len(), w.by_end.len()), (WRITES_MAX, WRITES_MAX));
    assert!(w.past(AT, AT, "0", None).is_none() && w.past(AT, AT, "10", None).is_some());
    assert_eq!(w.hear(AT, Change::Forgotten { name: "10".to_owned() }), Heard::Noted);
    assert!(w.past(AT, AT, "10", None).is_some());
    assert_eq!(w.take(Micros(u64::MAX), "last", None, Micros(u64::MAX)), Taking::Go);
    assert_eq!(w.len(), 1);
    assert!(w.own.is_empty() && w.inherited.is_empty());
}

/// What an heir that asks is answered, by what the holder has of that key.
#[test]
fn what_the_holder_answers() {
    type Life = fn(&mut Writes);
    let table: [(&str, Life, bool); 6] = [
        ("nothing", |_| {}, true),
        ("held", |w| _ = w.take(AT, "a", subject("k"), UNTIL), false),
        (
            "ended",
            |w| {
                _ = w.take(AT, "a", subject("k"), UNTIL);
                w.started("a");
                w.ended("a", None);
                w.settled("a");
            },
            false,
        ),
        (
            "turned away",
            |w| {
                _ = w.take(AT, "a", subject("k"), UNTIL);
                w.settled("a");
            },
            true,
        ),
        ("another key", |w| _ = w.take(AT, "a", subject("l"), UNTIL), true),
        ("one whose time is over", |w| _ = w.take(Micros(1), "a", subject("k"), AT), true),
    ];
    for (what, live, granted) in table {
        let (mut old, mut new) = (Writes::default(), Writes::default());
        old.share(AT, Side::Holder);
        new.share(AT, Side::Heir);
        live(&mut old);
        assert_eq!(new.take(AT, "b", subject("k"), UNTIL), Taking::Ask);
        cross(&mut new.changes(), &mut old);
        let want = if granted { Heard::Granted("b".to_owned()) } else { Heard::Taken("b".to_owned()) };
        assert_eq!(cross(&mut old.changes(), &mut new).pop(), Some(want), "{what}");
        // Told of it, the holder fails a repeat by itself.
        assert_eq!(old.past(AT, AT, "c", subject("k").as_ref()).is_some(), granted, "{what}");
    }
}

/// Nobody answers: one that was asked for goes on when the other is gone, and is given back when it is given up.
#[test]
fn what_was_asked_for_and_never_answered() {
    let (mut old, mut new) = (Writes::default(), Writes::default());
    old.share(AT, Side::Holder);
    new.share(AT, Side::Heir);
    assert_eq!(new.take(AT, "a", subject("k"), UNTIL), Taking::Ask);
    assert_eq!(new.take(AT, "b", subject("l"), UNTIL), Taking::Ask);
    cross(&mut new.changes(), &mut old);
    new.settled("a");
    cross(&mut new.changes(), &mut old);
    assert!(old.past(AT, AT, "c", subject("k").as_ref()).is_none());
    assert_eq!(new.part(), ["b"]);
    assert!(new.part().is_empty());
    // An answer that comes after all says nothing any more.
    assert_eq!(cross(&mut old.changes(), &mut new), [Heard::Noted, Heard::Noted]);
}

proptest::proptest! {
    /// Tries of one key reach both processes in any order while news is under way for any time: one of them may run
    /// it, and what that one turned away unrun the other may.
    #[test]
    fn one_key_never_runs_in_both(plays in proptest::collection::vec((0..6u8, 0..2usize), 1..60)) {
        let mut both = [Writes::default(), Writes::default()];
        both[0].share(AT, Side::Holder);
        both[1].share(AT, Side::Heir);
        // News under way from each, and what each has in hand: the name, and whether it runs.
        let mut ways = [std::collections::VecDeque::new(), std::collections::VecDeque::new()];
        let mut hands: [Vec<(String, bool)>; 2] = Default::default();
        let mut ran = [false; 2];
        for (n, (what, who)) in plays.into_iter().enumerate() {
            let w = &mut both[who];
            match what {
                // A try. What is in hand here already is linked to it by the core and never runs twice.
                0 | 1 => {
                    let (name, s) = (format!("t{n}"), subject("k"));
                    if hands[who].is_empty() && w.past(AT, AT, &name, s.as_ref()).is_none()
                        && w.take(AT, &name, s, UNTIL) == Taking::Go
                    {
                        hands[who].push((name, false));
                    }
                }
                // What is in hand starts, or is turned away unrun.
                2 => for (name, runs) in &mut hands[who] {
                    (*runs, ran[who]) = (true, true);
                    w.started(name);
                },
                3 => hands[who].retain(|(name, runs)| {
                    if !runs {
                        w.settled(name);
                    }
                    *runs
                }),
                // News arrives.
                _ => {
                    if let Some(change) = ways[1 - who].pop_front()
                        && let Heard::Granted(name) = both[who].hear(AT, change)
                    {
                        hands[who].push((name, false));
                    }
                }
            }
            for (w, way) in both.iter_mut().zip(&mut ways) {
                way.extend(w.changes());
            }
            proptest::prop_assert!(!(ran[0] && ran[1]), "both have run it");
        }
    }
}

fn cross(changes: &mut Vec<Change>, to: &mut Writes) -> Vec<Heard> {
    changes.drain(..).map(|c| to.hear(AT, c)).collect()
}
