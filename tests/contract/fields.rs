//! Each field of the page's table: absent, malformed and out of range, in a class of each effect, by deployments of several
//! shapes. A request that is not fit gets one final answer and never runs.

use holdlift_lab::*;
use serde_json::{Value, json};

use crate::page::{PageCaller, Reply, Request};
use crate::{KEY, started};

/// What comes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Runs,
    Fails,
    Refused,
}

const SAFE: &str = "leer";
const KEYED: &str = "pagar";
const UNSAFE: &str = "borrar";

/// Deployments: of the first one's shape, of the second one's, and two that neither has. Class names are theirs alone.
fn deployments() -> Vec<(&'static str, Value)> {
    let base = || {
        let mut all = settings(2, 3_000, 6_000);
        for (i, (name, effect)) in
            [(SAFE, "retryable"), (KEYED, "dedup"), (UNSAFE, "fragile")].into_iter().enumerate()
        {
            all["classes"][i]["name"] = json!(name);
            all["classes"][i]["effect"] = json!(effect);
        }
        all
    };
    let with = |changes: &[(&str, Value)], tenants: Value| {
        let mut all = base();
        all["accounts"] = tenants;
        for (key, value) in changes {
            all["domain"][*key] = value.clone();
        }
        all
    };
    let tenants = json!([{"name": "acme", "quota-per-s": 50.0, "share": 1.0}]);
    vec![
        ("tenants, a floor, nothing halts", with(&[], tenants.clone())),
        (
            "no tenants, an allowance, runs are paused, deadlines are passed on",
            with(
                &[
                    ("say", json!("allowance")),
                    ("halt", json!("freeze")),
                    ("passes-deadline", json!(true)),
                    ("cancel-seen", json!(false)),
                    ("fresh-for-us", json!(0)),
                ],
                json!([]),
            ),
        ),
        (
            "weights, runs are discarded, one core",
            with(&[("say", json!("weight")), ("halt", json!("discard")), ("cores", json!(1))], tenants),
        ),
        (
            "nothing is said, keys cost nothing",
            with(&[("say", json!("silent")), ("entry-kb", json!(0))], json!([])),
        ),
    ]
}

/// What a row does to a request that is fit.
type Change = fn(Request) -> Request;

fn ago(request: Request, ms: u128) -> Request {
    let since = (unix_ms() - ms).to_string();
    request.with("since", &since)
}

/// The page's fields, for a class of each effect alike unless the row names one.
const ROWS: &[(&str, Option<&str>, Change, Outcome)] = &[
    ("as it should be", None, |r| r, Outcome::Runs),
    ("no ref", None, |r| r.without("ref"), Outcome::Fails),
    ("a ref of two words", None, |r| r.with("ref", "a b"), Outcome::Fails),
    ("a ref that breaks the agent's line", None, |r| r.with("ref", "a\r\nfreeze b"), Outcome::Fails),
    ("no since", None, |r| r.without("since"), Outcome::Fails),
    ("a since that is no number", None, |r| r.with("since", "now"), Outcome::Fails),
    ("a since below zero", None, |r| r.with("since", "-1"), Outcome::Fails),
    ("a since ahead of the clock", None, |r| r.with("since", "9999999999999"), Outcome::Runs),
    ("no room", None, |r| r.without("room"), Outcome::Fails),
    ("no memory at all", None, |r| r.with("room", "0"), Outcome::Fails),
    ("too much memory", None, |r| r.with("room", "2000"), Outcome::Fails),
    ("no rank", None, |r| r.without("class_rank"), Outcome::Fails),
    ("a rank of one", None, |r| r.with("class_rank", "1"), Outcome::Fails),
    ("a rank that is no number", None, |r| r.with("class_rank", "NaN"), Outcome::Fails),
    ("a tenant that there is not", None, |r| r.with("project", "nobody"), Outcome::Fails),
    ("a hint of work", None, |r| r.with("effort", "12.50"), Outcome::Runs),
    ("a hint that is no number", None, |r| r.with("effort", "much"), Outcome::Fails),
    ("a further attempt", None, |r| r.with("dup", "1"), Outcome::Runs),
    ("an unknown field", None, |r| r.with("colour", "red"), Outcome::Runs),
    ("a body of 2 KiB", None, |r| r.body(&"x".repeat(2 << 10)), Outcome::Runs),
    ("a larger body", None, |r| r.body(&"x".repeat((2 << 10) + 1)), Outcome::Fails),
    ("allow", None, |r| r.with("allow", "1500"), Outcome::Runs),
    ("an allow with a fraction", None, |r| r.with("allow", "1500.5"), Outcome::Runs),
    ("an allow far too large", None, |r| r.with("allow", "99999999999999999999"), Outcome::Runs),
    ("an allow of nothing", None, |r| r.with("allow", "0"), Outcome::Refused),
    ("an allow gone by", None, |r| ago(r, 700).with("allow", "400"), Outcome::Refused),
    ("an allow below zero", None, |r| r.with("allow", "-1"), Outcome::Fails),
    ("an allow without end", None, |r| r.with("allow", "inf"), Outcome::Fails),
    ("an allow that is no number", None, |r| r.with("allow", "soon"), Outcome::Fails),
    ("an empty allow", None, |r| r.with("allow", ""), Outcome::Fails),
    ("no replay", Some(KEYED), |r| r.without("replay"), Outcome::Fails),
    (
        "a lookup in place of a replay",
        Some(KEYED),
        |r| r.without("replay").with("lookup", "k"),
        Outcome::Fails,
    ),
    ("an empty replay", Some(KEYED), |r| r.with("replay", ""), Outcome::Fails),
    ("a replay of two words", Some(KEYED), |r| r.with("replay", "a b"), Outcome::Fails),
    ("a replay too long", Some(KEYED), |r| r.with("replay", &"f".repeat(65)), Outcome::Fails),
    ("a replay in another class", Some(SAFE), |r| r.with("replay", KEY), Outcome::Runs),
    ("the same replay in a class that links nothing", Some(UNSAFE), |r| r.with("replay", KEY), Outcome::Runs),
];

#[tokio::test]
async fn each_field_in_each_class_and_deployment() {
    for (deployment, settings) in deployments() {
        let (node, mut link) = started(settings).await;
        let mut caller = PageCaller::connect(node.msgpack).await;
        let (mut id, mut notices) = (0, 0);
        for class in [SAFE, KEYED, UNSAFE] {
            for (what, only, change, want) in ROWS {
                if only.is_some_and(|only| only != class) {
                    continue;
                }
                id += 1;
                let request = Request::new(class, &format!("r{id}"));
                let replay = format!("{id:032x}");
                let request = if class == KEYED { request.with("replay", &replay) } else { request };
                let request = change(request);
                caller.send(id, &request).await;
                if *want == Outcome::Runs {
                    let launch = format!("launch r{id} {class} {}", request.body.len());
                    assert_eq!(link.next_command().await, Some(launch), "{deployment}: {class}: {what}");
                    notices += 1;
                    link.say(&format!("outcome {notices} r{id} ok 3.5 4\r\ndone\r\n")).await;
                }
                let reply = match want {
                    Outcome::Runs => Reply::Served(b"done".to_vec()),
                    Outcome::Fails => Reply::Failed,
                    Outcome::Refused => Reply::Refused,
                };
                assert_eq!(caller.answer().await, Some((id, reply)), "{deployment}: {class}: {what}");
            }
        }
        let rest = tokio::spawn(link.rest());
        let (_, good, log) = node.leave().await;
        assert!(good, "{deployment}: {log}");
        assert_eq!(
            rest.await.expect("read"),
            Vec::<String>::new(),
            "{deployment}: nothing else was launched"
        );
    }
}
