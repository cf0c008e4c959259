//! Settings that change under load.

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

/// Classes come and go: what is in hand keeps its class and deadline, a dropped class is unknown from then on, a new one is
/// taken at once, on connections that were there before.
#[tokio::test]
async fn classes_come_and_go_under_load() {
    let (agents, agent) = bind().await;
    let farm = Farm::new(4);
    tokio::spawn(farm.clone().agent(agents));
    let mut settings = settings(4, 3_000, 6_000);
    let setup = Setup { settings: settings.clone(), agent: Some(agent), ..Setup::default() };
    let node = setup.start().await;
    node.ready().await;
    let mut c = Caller::connect(node.msgpack).await;
    // In hand at the reload: one of a class that goes, one of a class whose deadline shrinks under what its run takes.
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
    // What was in hand goes on for longer than the new deadline.
    sleep(Duration::from_millis(300)).await;
    farm.open_gate();
    let mut words = BTreeMap::new();
    c.ask(10, "rush", fields("r1", &[]), "1 r1").await;
    c.ask(900, "proof", fields("p2", &[]), "1 p2").await;
    c.ask(901, "quote", fields("q2", &[]), "600 q2").await;
    while ![1, 2, 10, 900, 901].iter().all(|id| words.contains_key(id)) {
        let a = c.answer().await.expect("an answer");
        words.insert(a.id, a.word);
    }
    let want = [(1, "ok"), (2, "ok"), (10, "ok"), (900, "Error")];
    assert!(want.iter().all(|(id, w)| words[id] == *w), "{words:?}");
    assert_ne!(words[&901], "ok", "the new deadline holds for what comes under it: {words:?}");
    let (_, good, log) = node.leave().await;
    assert!(good && log.contains("reloads=1") && log.contains("reloads_failed=0"), "{log}");
}

/// Files that are turned down whole, and the reason that is logged for each.
#[tokio::test]
async fn bad_files_change_nothing() {
    let (agents, agent) = bind().await;
    tokio::spawn(Farm::new(2).agent(agents));
    let setup = Setup { settings: settings(2, 3_000, 6_000), agent: Some(agent), ..Setup::default() };
    let node = setup.start().await;
    node.ready().await;
    let good = node.configuration();
    let edited = |pointer: &str, value: Value| {
        let mut config: Value = serde_json::from_str(&good).expect("JSON");
        *config.pointer_mut(pointer).expect("a place") = value;
        config.to_string()
    };
    let without = |pointer: &str, key: &str| {
        let mut config: Value = serde_json::from_str(&good).expect("JSON");
        config
            .pointer_mut(pointer)
            .and_then(Value::as_object_mut)
            .expect("an object")
            .remove(key)
            .expect("a key");
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
        assert_eq!(c.answer().await.expect("an answer").word, "ok", "{text}");
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
fn optional_keys_may_come_and_go() {
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

/// A request that waits in the hold is judged by the settings it came with, and runs once there is a core.
#[test]
fn what_waits_keeps_its_time() {
    use common::{PolicyUnderTest, answers, ended, request, runs};
    use holdlift::settings::slots::put_over;
    use holdlift::{Event, Micros, Outcome};
    let mut was = common::settings();
    was.classes[0].late_weight = 0.2;
    let mut server = PolicyUnderTest::new(was.clone());
    let first = runs(&server.arrive(0, &[request(1, 0), request(2, 0), request(3, 0)]));
    assert_eq!(first, [3, 2], "two cores");
    let mut told = was.clone();
    told.classes[0].deadline = Micros::from_millis(100);
    let retune = put_over(&was, told, |_| false).expect("room");
    assert!(answers(&server.at(0, &[Event::SettingsChanged(Box::new(retune))])).is_empty());
    assert!(answers(&server.idle(450, 0.5)).is_empty());
    assert_eq!(runs(&server.at(15, &[ended(3, Outcome::Good)])), [1]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// A reload with any mix of classes loses no request and changes none in hand: each gets exactly one answer, at the
    /// latest when it was due as it came, whatever is told meanwhile.
    #[test]
    fn no_reload_touches_what_is_in_hand(
        steps in proptest::collection::vec((0u8..4, 0usize..4, 1u64..6, 0u8..15), 10..60),
    ) {
        use holdlift::node::{IncomingRequest, FrontId, Input, ReferenceScope, Node, NodeOptions, ResponseRoute, Output, Worker};
        use holdlift::{ClassId, Micros, Outcome};
        let ms = Micros::from_millis;
        let options = NodeOptions { has_agent: true, server_slots: 0, servers_share_cores: false, shares_reads: true, seed: 1 };
        let first = from_json(&settings(2, 1_000, 2_000)).expect("settings");
        let (mut node, mut out) = (Node::new(first, options), Vec::new());
        let mut now = ms(1_000_000);
        node.start(now, false, &mut out).expect("settings");
        let (mut due, mut answers, mut next) = (BTreeMap::new(), BTreeMap::new(), 0u32);
        let mut running: Vec<String> = Vec::new();
        for (what, which, size, mask) in steps {
            match what {
                0 | 1 => {
                    let names = ["quote", "proof", "book-job", "rush"];
                    if let Some(class) = node.settings().class(names[which]) {
                        next += 1;
                        let origin = ResponseRoute { front: FrontId("one"), connection: 1, request_number: next };
                        due.insert(next, (now + node.settings().classes[class.0].deadline, names[which]));
                        let ask = IncomingRequest { name: format!("r{next}"), reference_scope: ReferenceScope::AllProcesses, worker: Worker::Agent, needs_prefetch: false, class, tenant: None, is_over_quota: false, key: None, expected_work: None,
                            held_kb: 20.0, rank: 0.5, is_retry: false, caller: 1, arrived: holdlift::time::Arrival::now(now), time_limit: None, body: bytes::Bytes::new() };
                        node.handle_input(now, Input::RequestReceived(origin, Box::new(ask)), &mut out);
                    }
                }
                2 => {
                    let classes: Vec<Value> = ["quote", "proof", "book-job", "rush"].iter().enumerate()
                        .filter(|(i, _)| mask & (1 << i) != 0 || *i == which)
                        .map(|(_, n)| class(n, if *n == "book-job" { "fragile" } else { "retryable" }, size * 300))
                        .collect();
                    let mut told = settings(2, 1_000, 2_000);
                    told["classes"] = Value::Array(classes);
                    if let Ok(retune) = node.plan_settings_change(now, from_json(&told).expect("settings")) {
                        node.apply_settings(now, retune, &mut out);
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
                            let call: u32 = name[1..].parse().expect("a number");
                            prop_assert_eq!(&node.settings().classes[i].name, due[&call].1, "its class is its own still");
                            running.push(name);
                        }
                        Output::Answer(o, _, _) => *answers.entry(o.request_number).or_insert(0) += 1,
                        Output::SampleGauges(tag) => node.handle_input(now, Input::GaugesSampled(tag, holdlift::Gauges::default()), &mut Vec::new()),
                        _ => {}
                    }
                }
                for (call, (due, _)) in &due {
                    prop_assert!(now <= *due + ms(20) || answers.contains_key(call), "{call} has its answer when due");
                }
            }
        }
        prop_assert!(answers.values().all(|n| *n == 1));
    }
}
