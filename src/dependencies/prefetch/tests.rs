use super::*;
use crate::dependencies::call_plan::{CallPlan, TierId};

const AT: Micros = Micros(1_000);

/// A plan with one call per letter: a capital letter is a required call, and a `+` before it starts the call together
/// with the previous one.
fn plan(text: &str) -> Arc<[PrefetchCall]> {
    let mut starts_with_previous = false;
    let mut all = Vec::new();
    for letter in text.chars() {
        if std::mem::replace(&mut starts_with_previous, letter == '+') || letter != '+' {
            let call = CallPlan {
                tier: TierId(0),
                time_share: 1.0,
                time_cap: Micros(u64::MAX),
                fallbacks: Vec::new(),
                has_effect: false,
            };
            let (is_required, starts_with_previous) =
                (letter.is_uppercase(), text.contains(&format!("+{letter}")));
            let name = letter.to_string();
            all.push(PrefetchCall {
                name,
                call,
                time_share: 0.5,
                time_cap: Micros(400),
                is_required,
                starts_with_previous,
                send: None,
            });
        }
    }
    Arc::from(all)
}

/// The actions in short form: `a@450` starts call `a` with its deadline, `-a` cancels it, `=Good` ends the last stage and
/// `=Good+` another one.
fn describe(actions: Vec<PrefetchAction>, names: &mut HashMap<u64, String>) -> String {
    let describe_action = |action| match action {
        PrefetchAction::StartCall { ticket, index, deadline, plan, .. } => {
            names.insert(ticket, plan[index].name.clone());
            format!("{}@{}", plan[index].name, deadline.0 - AT.0)
        }
        PrefetchAction::CancelCall(ticket) => format!("-{}", names[&ticket]),
        PrefetchAction::StageFinished { outcome, has_more, .. } => {
            format!("={outcome:?}{}", if has_more { "+" } else { "" })
        }
    };
    actions.into_iter().map(describe_action).collect::<Vec<_>>().join(" ")
}

/// Plan, events, expected actions, and expected result: replies and missing calls around a `|`.
///
/// Events: `>` the core starts the next stage, or the same one again; a letter names the call that the next sign ends: `!`
/// with a good reply, `?` with a failure, `#` with a good reply that is too large; `.` the stage's time is up.
#[test]
fn stages_start_calls_and_end_with_the_expected_results() {
    let table = [
        ("", ">", "=Good", "|"),
        ("A", ">A!", "A@400 =Good", "A|"),
        ("A", ">A?>A!", "A@400 =Bad A@400 =Good", "A|"),
        ("a", ">a?", "a@400 =Good", "|a"),
        ("AB", ">A!>B!", "A@400 =Good+ B@400 =Good", "A,B|"),
        ("Ab", ">A!>.", "A@400 =Good+ b@400 -b =Good", "A|b"),
        ("A+b+c", ">b!A!c?", "A@400 b@400 c@400 =Good", "A,b|c"),
        ("A+b", ">A?", "A@400 b@400 -b =Bad", ""),
        ("A+b", ">b!A?>A!", "A@400 b@400 =Bad A@400 =Good", "A,b|"),
        ("A+b", ">b!.", "A@400 b@400 -A =Late", ""),
        ("A+b", ">A!.", "A@400 b@400 -b =Good", "A|b"),
        ("A", ">A#", "A@400 =Bad", ""),
        ("ab", ">a#>b!", "a@400 =Good+ b@400 =Good", "b|a"),
    ];
    for (text, events, expected_actions, expected_result) in table {
        let (mut prefetcher, mut names, mut out) = (Prefetcher::default(), HashMap::new(), Vec::new());
        let (mut number, mut letter) = (0, ' ');
        for event in events.chars() {
            let mut actions = Vec::new();
            let ticket_of = |l: char, names: &HashMap<u64, String>, prefetcher: &Prefetcher| {
                let mut all =
                    names.iter().filter(|(t, n)| prefetcher.is_waiting_for(**t) && **n == l.to_string());
                *all.next().expect("the call is in flight").0
            };
            match event {
                '>' => {
                    number += 1;
                    prefetcher.start_stage(AT, "r", number, AT + Micros(1_000), &plan(text), &mut actions);
                }
                '.' => prefetcher.expire_stage(number, &mut actions),
                '!' => prefetcher.call_ended(
                    ticket_of(letter, &names, &prefetcher),
                    Outcome::Good,
                    letter.to_string().into(),
                    &mut actions,
                ),
                '?' => prefetcher.call_ended(
                    ticket_of(letter, &names, &prefetcher),
                    Outcome::Bad,
                    Bytes::new(),
                    &mut actions,
                ),
                '#' => {
                    let too_large = Bytes::from(vec![0; REPLIES_MAX + 1]);
                    prefetcher.call_ended(
                        ticket_of(letter, &names, &prefetcher),
                        Outcome::Good,
                        too_large,
                        &mut actions,
                    );
                }
                l => letter = l,
            }
            assert!(prefetcher.is_consistent(), "{text} {events}");
            out.push(describe(actions, &mut names));
        }
        out.retain(|s| !s.is_empty());
        assert_eq!(out.join(" "), expected_actions, "{text} {events}");
        if !expected_result.is_empty() {
            let all = prefetcher.take_result("r");
            let replies: Vec<String> = all.replies.into_iter().map(|(n, _)| n).collect();
            assert_eq!(
                format!("{}|{}", replies.join(","), all.missing.join(",")),
                expected_result,
                "{text} {events}"
            );
        }
        prefetcher.cancel_request("r", &mut Vec::new());
        assert!(
            prefetcher.open_requests() == 0
                && prefetcher.in_flight.is_empty()
                && prefetcher.stages.is_empty(),
            "{text} {events}"
        );
    }
}

proptest::proptest! {
    /// For any order of call outcomes, expired stages and cancelled requests: no stage ends twice, a run that begins has
    /// all required replies, and no state is left over.
    #[test]
    fn stages_end_once_and_no_state_is_left_for_any_order_of_events(
        text in "([aAbB]\\+?[cC]?[dD]?){0,2}",
        events in proptest::collection::vec((0..5u8, 0..8usize), 0..80),
    ) {
        let plan = plan(text.trim_end_matches('+'));
        let mut prefetcher = Prefetcher::default();
        let (mut in_flight, mut stages): (Vec<u64>, HashMap<u64, String>) = Default::default();
        let (mut number, mut done) = (0, Vec::new());
        for (event, which) in events {
            let (name, mut actions) = (format!("r{}", which % 3), Vec::new());
            match event {
                0 if !stages.values().any(|n| *n == name) => {
                    number += 1;
                    stages.insert(number, name.clone());
                    prefetcher.start_stage(AT, &name, number, AT + Micros(900), &plan, &mut actions);
                }
                1 if !in_flight.is_empty() => {
                    let t = in_flight.swap_remove(which % in_flight.len());
                    prefetcher.call_ended(t, Outcome::Good, Bytes::from_static(b"x"), &mut actions);
                }
                2 if !in_flight.is_empty() => {
                    let t = in_flight.swap_remove(which % in_flight.len());
                    prefetcher.call_ended(t, Outcome::Bad, Bytes::new(), &mut actions);
                }
                3 => {
                    if let Some((t, _)) = stages.iter().nth(which) {
                        prefetcher.expire_stage(*t, &mut actions);
                    }
                }
                _ => {
                    prefetcher.cancel_request(&name, &mut actions);
                    stages.retain(|_, n| *n != name);
                }
            }
            for action in actions {
                match action {
                    PrefetchAction::StartCall { ticket, deadline, .. } => {
                        proptest::prop_assert!(deadline <= AT + Micros(400));
                        in_flight.push(ticket);
                    }
                    PrefetchAction::CancelCall(t) => in_flight.retain(|l| *l != t),
                    PrefetchAction::StageFinished { ticket, outcome, has_more } => {
                        let name = stages.remove(&ticket);
                        proptest::prop_assert!(name.is_some(), "a stage ended twice");
                        if outcome == Outcome::Good && !has_more {
                            done.extend(name);
                        }
                    }
                }
            }
            for name in done.drain(..) {
                let missing = prefetcher.take_result(&name).missing;
                let is_required = plan.iter().any(|call| call.is_required && missing.contains(&call.name));
                proptest::prop_assert!(!is_required, "a run begins without a required reply");
            }
            proptest::prop_assert!(prefetcher.is_consistent());
        }
        for n in 0..3 {
            prefetcher.cancel_request(&format!("r{n}"), &mut Vec::new());
        }
        proptest::prop_assert!(prefetcher.open_requests() == 0 && prefetcher.in_flight.is_empty() && prefetcher.stages.is_empty());
    }
}
