//! Dependency tiers: the operator's file, and calls over real sockets.

mod net;

use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use net::*;
use tokio::time::sleep;

fn run_holdlift(dir: &std::path::Path, args: &[&str]) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_holdlift"));
    command.args(args).current_dir(dir).env_remove("PROXY_NAME").env_remove("PROXY_LISTEN");
    let out = command.env("PROXY_CONFIG", "config.json").output().unwrap();
    (out.status.success(), String::from_utf8([out.stdout, out.stderr].concat()).unwrap())
}

#[test]
fn plans_are_read_and_refused() {
    let dir = std::env::temp_dir().join(format!("holdlift-tiers-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let config =
        serde_json::json!({"name": "n0", "ledger": "127.0.0.1:9042", "settings": settings(2, 1_000, 2_000)});
    std::fs::write(dir.join("config.json"), config.to_string()).unwrap();
    let shipped = std::fs::read_to_string("deploy/tiers.toml").unwrap();
    std::fs::write(dir.join("tiers.toml"), &shipped).unwrap();
    let (good, text) = run_holdlift(&dir, &["--tiers", "tiers.toml", "tiers"]);
    assert!(good, "{text}");
    let plans = text.lines().filter(|l| !l.starts_with("  ") || l.contains("limit_") || l.contains("tries"));
    let mut seen: Vec<String> = plans.map(str::to_owned).collect();
    let write =
        "[[classes.book-job]]            # a write is sent once and has no fall-back\ntier = \"ledger\"";
    let cases = [
        ("tier = \"rates\"\n", "tier = \"rate\"\n", "an unknown tier"),
        ("[[classes.quote]]", "[[classes.quotes]]", "an unknown class"),
        ("{ tier = \"rates-backup\" }", "{ tier = \"rates\" }", "a circle"),
        (
            "{ tier = \"rates-backup\" }",
            "{ tier = \"rates-backup\" }, { tier = \"rates-backup\" }",
            "the same twice",
        ),
        ("{ last_good_ms = 60000 }", "{ last_good_ms = 0 }", "no age"),
        ("{ fixed = \"none\" }", "{ fix = \"none\" }", "an unknown step"),
        ("cap_ms = 800", "cap_ms = 8000", "a budget over the deadline"),
        ("share = 0.5 ", "share = 1.5 ", "more than there is"),
        (
            write,
            "[[classes.book-job]]\ntier = \"ledger\"\nfallback = [{ fixed = \"x\" }]",
            "a fall-back on a write",
        ),
        ("\"127.0.0.1:7101\"", "\"backup\"", "no address"),
        ("\"127.0.0.1:7002\"", "\"127.0.0.1:7001\"", "an address twice"),
        ("limit_most = 8 ", "limit_most = 0 ", "a limit of nothing"),
        ("tries = 2", "tries = 2\nlimit_least = 100", "bounds that cross"),
        ("[tiers.ledger] ", "[tiers.ledger]\nendpoints = [\"127.0.0.1:1\"] ", "an address for the ledger"),
        ("hedge_at = 0.95", "hedge_by = 0.95", "a misspelt setting"),
        (
            "[[gather.quote]]\nname = \"offers\"",
            "[[gather.quotes]]\nname = \"offers\"",
            "an unknown class to gather for",
        ),
        ("name = \"rates\"", "name = \"the rates\"", "a name that no var can have"),
        ("name = \"offers\"", "name = \"RATES\"", "a name twice"),
        ("name = \"rates\"", "name = \"rates\"\nbeside = true", "beside nothing"),
        (
            "tier = \"rates-backup\"\ncap_ms = 200",
            "tier = \"offers\"\ncap_ms = 200",
            "an unknown tier to gather from",
        ),
        ("share = 0.4 ", "share = 0 ", "no share"),
        ("cap_ms = 600", "cap_ms = 2001", "a gather budget over the deadline"),
        ("beside = true ", "beside = false\ncap_ms = 1500 ", "a key twice"),
        (
            "cap_ms = 200\nneeded = false                  # left out where it gives nothing in its time\nbeside = true",
            "cap_ms = 1500\nneeded = false\nbeside = false",
            "stages over the deadline",
        ),
        ("needed = true ", "needed = \"yes\" ", "no yes or no"),
        ("send = \"QUERY_STRING\"", "send = \"\"", "nothing to send"),
    ];
    for (from, to, what) in cases {
        assert!(shipped.contains(from), "{from}");
        std::fs::write(dir.join("tiers.toml"), shipped.replacen(from, to, 1)).unwrap();
        let (good, text) = run_holdlift(&dir, &["check", "--tiers", "tiers.toml"]);
        assert!(!good, "{what}: {text}");
        seen.push(format!("{what}: {}", text.trim_end()));
    }
    let _ = std::fs::remove_dir_all(dir);
    insta::assert_snapshot!(seen.join("\n"));
}

/// The calls of runs follow the plan: a failed call is retried and falls back, and the call of a write is sent once.
#[tokio::test]
async fn calls_follow_the_plan_with_retries_and_fallbacks() {
    let farm = Farm::new(4);
    let (listener, agent) = bind().await;
    tokio::spawn(farm.clone().agent(listener));
    let heard: Heard = Arc::new(Mutex::new(Vec::new()));
    let mut at = Vec::new();
    let good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let bad = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";
    for (tier, reply) in [("ledger", bad), ("sick", bad), ("backup", good)] {
        let (listener, address) = bind().await;
        tokio::spawn(http(listener, tier, heard.clone(), reply));
        at.push(address);
    }
    let tiers = format!(
        "[tiers.sick]\nendpoints = [\"{}\"]\ntries = 2\nretry_share = 1.0\nretry_burst = 5\nbreaker_failures = 0.5\n\
         breaker_calls = 6\nbreaker_open_ms = 60000\nbreaker_open_most_ms = 60000\n\
         [tiers.backup]\nendpoints = [\"{}\"]\n[[classes.quote]]\ntier = \"sick\"\ncap_ms = 1000\n\
         fallback = [{{ tier = \"backup\" }}]\n[[classes.proof]]\ntier = \"sick\"\nfallback = [{{ fixed = \"none\" }}]\n",
        at[1], at[2]
    );
    let mut settings = settings(4, 5_000, 10_000);
    settings["domain"]["below"] = "tier".into();
    settings["domain"]["class-calls"] = serde_json::json!([true, true, true]);
    settings["domain"]["worth-without"] = serde_json::json!([0.0, 0.0, 0.0]);
    let setup =
        Setup { settings, agent: Some(agent), ledger: Some(at[0]), tiers: Some(tiers), ..Setup::default() };
    let node = setup.start().await;
    let mut caller = Caller::connect(node.msgpack).await;
    caller.healthy().await;
    let mut answers = Vec::new();
    for (i, class) in ["quote", "quote", "proof", "quote", "quote", "book-job"].into_iter().enumerate() {
        let name = format!("r{i}");
        caller.ask(1_000 + i as i128, class, fields(&name, &[]), &format!("1 call {name}")).await;
        answers.push(caller.answer().await.unwrap().word);
    }
    sleep(Duration::from_millis(50)).await;
    let count = |tier| heard.lock().unwrap().iter().filter(|call| call.0 == tier).count();
    assert_eq!(answers, ["ok", "ok", "ok", "ok", "ok", "Error"]);
    // Two attempts per call until six have failed and the circuit breaker opens. The write's one call went to the ledger.
    assert_eq!((count("sick"), count("backup"), count("ledger")), (6, 4, 1));
    let (_, good, log) = node.leave().await;
    assert!(good && log.contains("breaker Closed -> Open: 6 of 6 calls failed"), "{log}");
    assert!(log.contains("tier ledger: circuit=Closed") && log.contains("in_doubt=1"), "{log}");
    assert!(log.contains("tier sick: circuit=Open") && log.contains("first_attempts=3 retries=3"), "{log}");
}

/// After SIGHUP new calls follow the changed file, and open calls end as they were planned; an invalid file changes nothing.
#[tokio::test]
async fn a_reload_of_the_tiers_loses_no_call() {
    let farm = Farm::new(4);
    let (listener, agent) = bind().await;
    tokio::spawn(farm.clone().agent(listener));
    let mut all = Vec::new();
    for _ in 0..2 {
        let tier = Tier::new(4, Duration::from_millis(1_500), 0.0);
        let (listener, address) = bind().await;
        tokio::spawn(tier.clone().serve(listener));
        all.push((tier, address));
    }
    let file = |address: std::net::SocketAddr| {
        format!("[tiers.t]\nendpoints = [\"{address}\"]\n[[classes.quote]]\ntier = \"t\"\n")
    };
    let mut settings = settings(4, 9_000, 18_000);
    settings["domain"]["below"] = "tier".into();
    settings["domain"]["class-calls"] = serde_json::json!([true, true, true]);
    let tiers = Some(file(all[0].1));
    let setup = Setup { settings, agent: Some(agent), tiers, ..Setup::default() };
    let node = setup.start().await;
    let mut caller = Caller::connect(node.msgpack).await;
    caller.healthy().await;
    let reached = |tier: &Arc<Tier>, name: &str| tier.effects.lock().unwrap().contains_key(name);
    for (id, name, at, text) in
        [(1_001, "first", 0, file(all[1].1)), (1_002, "second", 1, "[tiers.t]\nendpoints = 7\n".to_owned())]
    {
        caller.ask(id, "quote", fields(name, &[]), &format!("1 call {name}")).await;
        within("the call reaches its tier", async {
            while !reached(&all[at].0, name) {
                sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
        node.retier(&text);
        node.reload().await;
    }
    caller.ask(1_003, "quote", fields("third", &[]), "1 call third").await;
    for _ in 0..3 {
        assert_eq!(caller.answer().await.unwrap().word, "ok");
    }
    assert!(
        !reached(&all[0].0, "third") && reached(&all[1].0, "third"),
        "the invalid file must not change the tiers"
    );
    let (_, good, log) = node.leave().await;
    assert!(good && log.contains("endpoints: is missing or no list") && log.contains("reloads=1"), "{log}");
}
