//! Changes of the settings under load.

mod common;
mod net;

use std::collections::BTreeMap;
use std::time::Duration;

use holdlift::settings::{from_json, lacking};
use net::*;
use proptest::prelude::*;
use serde_json::{Value, json};
use tokio::time::sleep;

fn class(name: &str, effect: &str, deadline_ms: u64) -> Value {
    json!({"name": name, "effect": effect, "aim-us": 3_000_000, "points": 1.0, "deadline-us": deadline_ms * 1000,
        "late-worth": 0.0, "memory-span-us": 5_000_000})
}

/// A reload adds and removes classes: open requests keep their class and deadline, a removed class is unknown from then on,
/// and a new class is accepted at once, on connections that were already open.
#[tokio::test]
async fn a_reload_adds_and_removes_classes_and_keeps_open_requests() {
    let (agents, agent) = bind().await;
    let farm = Farm::new(4);
    tokio::spawn(farm.clone().agent(agents));
    let mut settings = settings(4, 3_000, 6_000);
    let setup = Setup { settings: settings.clone(), agent: Some(agent), ..Setup::default() };
    let node = setup.start().await;
    node.ready().await;
    let mut c = Caller::connect(node.msgpack).await;
    // Open at the reload: a request of a class that is removed, and one of a class whose deadline becomes shorter than its run.
    c.ask(1, "proof", fields("p1", &[]), "gate p1").await;
    c.ask(2, "quote", fields("q1", &[]), "gate q1").await;
    c.ask(3, "rush", fields("r0", &[]), "1 r0").await;
    assert_eq!(c.answer().await.map(|a| (a.id, a.word)), Some((3, "Error".to_owned())));
    settings["classes"] = json!([
        class("quote", "retryable", 200),
        class("book-job", "fragile", 6_000),
        class("rush", "retryable", 6_000)
    ]);
    node.reconfigure(&[("settings", settings)]);
    node.reload().await;
    // The open requests continue for longer than the new deadline.
    sleep(Duration::from_millis(300)).await;
    farm.open_gate();
    let mut results = BTreeMap::new();
    c.ask(10, "rush", fields("r1", &[]), "1 r1").await;
    c.ask(900, "proof", fields("p2", &[]), "1 p2").await;
    c.ask(901, "quote", fields("q2", &[]), "600 q2").await;
    while ![1, 2, 10, 900, 901].iter().all(|id| results.contains_key(id)) {
        let a = c.answer().await.expect("the request is answered");
        results.insert(a.id, a.word);
    }
    let want = [(1, "ok"), (2, "ok"), (10, "ok"), (900, "Error")];
    assert!(want.iter().all(|(id, w)| results[id] == *w), "{results:?}");
    assert_ne!(
        results[&901], "ok",
        "the new deadline applies to requests that arrive after the reload: {results:?}"
    );
    let (_, good, log) = node.leave().await;
    assert!(good && log.contains("reloads=1") && log.contains("reloads_failed=0"), "{log}");
}

/// An invalid file is refused as a whole: the settings stay as they are, and the log has the reason.
#[tokio::test]
async fn an_invalid_file_changes_nothing_and_its_reason_is_logged() {
    let (agents, agent) = bind().await;
    tokio::spawn(Farm::new(2).agent(agents));
    let setup = Setup { settings: settings(2, 3_000, 6_000), agent: Some(agent), ..Setup::default() };
    let node = setup.start().await;
    node.ready().await;
    let good = node.configuration();
    let edited = |pointer: &str, value: Value| {
        let mut config: Value = serde_json::from_str(&good).expect("the configuration is JSON");
        *config.pointer_mut(pointer).expect("the pointer names a value") = value;
        config.to_string()
    };
    let without = |pointer: &str, key: &str| {
        let mut config: Value = serde_json::from_str(&good).expect("the configuration is JSON");
        config
            .pointer_mut(pointer)
            .and_then(Value::as_object_mut)
            .expect("the pointer names an object")
            .remove(key)
            .expect("the key is present");
        config.to_string()
    };
    let deadline = "/settings/classes/1/deadline-us";
    let twice = json!([class("quote", "retryable", 9), class("quote", "fragile", 9)]);
    let table = [
        (String::new(), "EOF"),
        (good[..good.len() / 2].to_owned(), "EOF"),
        ("[]".to_owned(), "invalid"),
        (without("", "settings"), "missing field `settings`"),
        (without("", "agent"), "'agent' is lacking"),
        (without("/settings", "domain"), "is missing"),
        (without("/settings", "limits"), "'settings.limits' is lacking"),
        (without("/settings/domain", "entry-kb"), "'settings.domain.entry-kb' is lacking"),
        (without("/settings/classes/2", "late-worth"), "'settings.classes.2.late-worth' is lacking"),
        (without("/settings/classes/0", "deadline-us"), "class.deadline-us is missing"),
        (edited(deadline, json!(0)), "class deadline"),
        (edited(deadline, json!(-5)), "class deadline"),
        (edited(deadline, json!("soon")), "class.deadline-us is missing or of the wrong kind"),
        (edited(deadline, json!(null)), "class.deadline-us is missing or of the wrong kind"),
        (edited("/settings/classes", json!([])), "no classes"),
        (edited("/settings/classes", twice), "there twice"),
        (edited("/settings/domain/cores", json!(0)), "no cores"),
    ];
    for (text, _) in &table {
        node.configure(text);
        node.reload().await;
        let mut c = Caller::connect(node.msgpack).await;
        c.ask(1, "proof", fields("p", &[]), "1 p").await;
        assert_eq!(c.answer().await.expect("the request is answered").word, "ok", "{text}");
    }
    node.configure(&good);
    node.reload().await;
    let (_, left, log) = node.leave().await;
    let reasons: Vec<&str> = log.lines().filter(|l| l.contains("nothing changed")).collect();
    assert_eq!(reasons.len(), table.len(), "{log}");
    for ((text, want), reason) in table.iter().zip(reasons) {
        assert!(reason.to_lowercase().contains(&want.to_lowercase()), "{want}: {reason} for {text}");
    }
    assert!(
        left && log.contains("reloads=1") && log.contains(&format!("reloads_failed={}", table.len())),
        "{log}"
    );
}

#[test]
fn only_missing_required_keys_are_reported() {
    let was = json!({"a": 1, "aim-stretch": 2, "list": [{"x": 1, "y": 2}, {"x": 1}], "o": {"k": null}});
    let table = [
        (json!({"a": 5, "list": [{"x": 3}], "o": {"k": 1}}), None),
        (json!({"a": 5, "list": [], "o": {"k": 1}, "more": 1}), None),
        (json!({"a": 5, "list": [{"x": 1}, {"y": 3}], "o": {"k": 1}}), Some("list.1.x")),
        (json!({"a": 5, "list": [], "o": {}}), Some("o.k")),
        (json!({"list": [], "o": {"k": 1}}), Some("a")),
    ];
    for (is, want) in table {
        assert_eq!(lacking(&was, &is).as_deref(), want, "{is}");
    }
}

/// A queued request keeps the deadline of the settings under which it arrived, and runs once a core is free.
#[test]
fn a_queued_request_keeps_its_deadline_across_a_settings_change() {
    use common::{PolicyUnderTest, answers, ended, request, runs};
    use holdlift::settings::slots::merge_settings;
    use holdlift::{Event, Micros, Outcome};
    let mut in_force = common::settings();
    in_force.classes[0].late_weight = 0.2;
    let mut server = PolicyUnderTest::new(in_force.clone());
    let first = runs(&server.arrive(0, &[request(1, 0), request(2, 0), request(3, 0)]));
    assert_eq!(first, [3, 2], "two cores");
    let mut new_settings = in_force.clone();
    new_settings.classes[0].deadline = Micros::from_millis(100);
    let change =
        merge_settings(&in_force, new_settings, |_| false).expect("a slot is free for the changed class");
    assert!(answers(&server.at(0, &[Event::SettingsChanged(Box::new(change))])).is_empty());
    assert!(answers(&server.idle(450, 0.5)).is_empty());
    assert_eq!(runs(&server.at(15, &[ended(3, Outcome::Good)])), [1]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// A reload with any mix of classes neither loses nor changes an open request: each gets exactly one answer, no later
    /// than the deadline it had on arrival, whatever settings come meanwhile.
    #[test]
    fn no_reload_changes_an_open_request(
        steps in proptest::collection::vec((0u8..4, 0usize..4, 1u64..6, 0u8..15), 10..60),
    ) {
        use holdlift::node::{IncomingRequest, FrontId, Input, ReferenceScope, Node, NodeOptions, ResponseRoute, Output, Worker};
        use holdlift::{ClassId, Micros, Outcome};
        let ms = Micros::from_millis;
        let options = NodeOptions { has_agent: true, server_slots: 0, servers_share_cores: false, shares_reads: true, seed: 1 };
        let first = from_json(&settings(2, 1_000, 2_000)).expect("the test settings are readable");
        let (mut node, mut out) = (Node::new(first, options), Vec::new());
        let mut now = ms(1_000_000);
        node.start(now, false, &mut out).expect("the node starts with valid settings");
        let (mut due, mut answers, mut next) = (BTreeMap::new(), BTreeMap::new(), 0u32);
        let mut running: Vec<String> = Vec::new();
        for (operation, which, size, mask) in steps {
            match operation {
                0 | 1 => {
                    let names = ["quote", "proof", "book-job", "rush"];
                    if let Some(class) = node.settings().class(names[which]) {
                        next += 1;
                        let origin = ResponseRoute { front: FrontId("one"), connection: 1, request_number: next };
                        due.insert(next, (now + node.settings().classes[class.0].deadline, names[which]));
                        let request = IncomingRequest { name: format!("r{next}"), reference_scope: ReferenceScope::AllProcesses, worker: Worker::Agent, needs_prefetch: false, class, tenant: None, is_over_quota: false, key: None, expected_work: None,
                            held_kb: 20.0, rank: 0.5, is_retry: false, caller: 1, arrived: holdlift::time::Arrival::now(now), time_limit: None, body: bytes::Bytes::new() };
                        node.handle_input(now, Input::RequestReceived(origin, Box::new(request)), &mut out);
                    }
                }
                2 => {
                    let classes: Vec<Value> = ["quote", "proof", "book-job", "rush"].iter().enumerate()
                        .filter(|(i, _)| mask & (1 << i) != 0 || *i == which)
                        .map(|(_, n)| class(n, if *n == "book-job" { "fragile" } else { "retryable" }, size * 300))
                        .collect();
                    let mut new_settings = settings(2, 1_000, 2_000);
                    new_settings["classes"] = Value::Array(classes);
                    if let Ok(change) = node.plan_settings_change(now, from_json(&new_settings).expect("the changed settings are readable")) {
                        node.apply_settings(now, change, &mut out);
                    }
                }
                _ => if !running.is_empty() {
                    let name = running.remove(which % running.len());
                    let end = Input::RunEnded { name, outcome: Outcome::Good, result: bytes::Bytes::new(), duration: None };
                    node.handle_input(now, end, &mut out);
                }
            }
            for _ in 0..size * 4 {
                now = now + ms(5);
                node.advance(now, &mut out);
                for o in out.drain(..) {
                    match o {
                        Output::Launch { name, class: ClassId(i), .. } => {
                            let request: u32 = name[1..].parse().expect("a request's name is r and its number");
                            prop_assert_eq!(&node.settings().classes[i].name, due[&request].1, "a run keeps the class of its arrival");
                            running.push(name);
                        }
                        Output::Answer(o, _, _) => *answers.entry(o.request_number).or_insert(0) += 1,
                        Output::SampleGauges(tag) => node.handle_input(now, Input::GaugesSampled(tag, holdlift::Gauges::default()), &mut Vec::new()),
                        _ => {}
                    }
                }
                for (request, (due, _)) in &due {
                    prop_assert!(now <= *due + ms(20) || answers.contains_key(request), "request {request} is answered by its deadline");
                }
            }
        }
        prop_assert!(answers.values().all(|n| *n == 1));
    }
}
