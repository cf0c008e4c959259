//! An operator's order to go out of service, given to the old process while its successor waits for its agent.
#[path = "../standins-2/kit.rs"]
mod kit;
use kit::*;

const SETTINGS: &str = r#"{"accounts": [],
 "areas": ["cdmx-norte", "queretaro"], "az": "cdmx-norte", "callers": {"marks-retry": true},
 "classes": [
  {"aim-us": 3100000, "deadline-us": 10000000, "effect": "retryable", "late-worth": 0.0, "memory-span-us": 5000000, "name": "vista-previa", "points": 1.0},
  {"aim-us": 1700000, "deadline-us": 6200000, "effect": "retryable", "late-worth": 0.0, "memory-span-us": 5000000, "name": "validacion", "points": 1.0},
  {"aim-us": 3300000, "deadline-us": 10000000, "effect": "dedup", "late-worth": 0.0, "memory-span-us": 30969000, "name": "expediente", "points": 3.0}],
 "contract": {"answer-slack-us": 100000, "cold-from": 0.21, "cold-us": 18000000, "drain-grace-us": 1800000, "fall-multiple": 6.0, "fall-us": 2000000},
 "counted-by": "request",
 "domain": {"below": "silent", "cancel-seen": false, "class-calls": [false, false, false], "cold": false, "cores": 6, "deep-checks": true,
  "dep-share": 0.0, "dep-window-us": 5000000, "entry-kb": 40.0, "fresh-for-us": 0, "halt": "freeze", "heeded-us": 1000000, "idle-us": 30000000,
  "linger-us": 200000, "memory-kb": 27000.0, "meters": ["core_use", "on_cores", "heap_share", "links"], "passes-deadline": true, "readiness": true,
  "run-mem-factor": 8.0, "say": "allowance", "senders": 3, "worth-without": [0.0, 0.0, 0.0]},
 "limits": {"cpu-us-per-request": 0.0, "cpu-us-per-s": 60350, "max-retry-after-us": 1000000, "retry-after": true},
 "me": 3, "over-share-worth": 1.0, "replicas-of-me": 11, "round-us": 5000, "tier": 0, "tiers": ["convertidores"], "workload": "server"}"#;

/// How long after the order a health check may still be answered as good, ms; 50 ms are added as to every limit.
const LIMIT: f64 = 4_050.0;
/// How long the successor's agent takes to come up, ms: the successor says yes well within the 6 s of the page.
const AGENT_COMES_UP: u64 = 2_500;

fn plan(_: &str, _: &[u8]) -> Vec<f64> {
    vec![300.0]
}

fn connect(label: &str, to: std::net::SocketAddr) -> Option<Caller> {
    Caller::connect(label, to).ok()
}

fn main() {
    watchdog(100);
    let farm = Farm::new(6.0, plan, true);
    let (lookup, reports) = directory();
    let listen = free();
    let setup = |label: &'static str, withheld: u64| NodeSetup {
        label,
        listen,
        agent: Some(farm.endpoint(withheld).1),
        ledger: None,
        lookup,
        stop_ms: 3_200,
        settings: SETTINGS,
        args: "",
    };
    let old = setup("old", 0).start();
    old.wait_ready(10_000);
    sleep_ms(1_000);
    let new = trouble().then(|| setup("new", AGENT_COMES_UP).start());
    sleep_ms(1_000);
    // The order, to the process that serves.
    let status = old.control("POST", "/control/out-of-service");
    let ordered = ms();
    note(format!("out-of-service: {status}"));
    if !(200..300).contains(&status) {
        cannot("the order was not accepted");
    }
    // The platform asks every 0.1 s, on connections of their own; the successor gets its yes and the old process its SIGTERM.
    let mut replaced = false;
    let mut checks: Vec<(f64, bool)> = Vec::new();
    while ms() < ordered + 9_000.0 {
        if let Some(new) = new.as_ref().filter(|_| !replaced)
            && new.control("GET", "/control/ready") == 200
        {
            note("new says that it takes clients");
            old.signal("TERM");
            replaced = true;
        }
        if let Some(mut c) = connect("health", listen) {
            let _ = c.check(false);
            let until = ms() + 1_000.0;
            while c.health.lock().expect("health").is_empty() && c.ended.lock().expect("ended").is_none() && ms() < until {
                sleep_ms(2);
            }
            if let Some((at, good)) = c.health.lock().expect("health").first().copied() {
                note(format!("health check: {good}, {:.0} ms after the order", at - ordered));
                checks.push((at - ordered, good));
            }
            c.close();
        }
        sleep_ms(100);
    }
    if trouble() && !replaced {
        cannot("the successor never said yes");
    }
    let late_good: Vec<f64> = checks.iter().filter(|c| c.1 && c.0 > LIMIT).map(|c| c.0).collect();
    let late_open = reports.lock().expect("reports").iter().filter(|r| r.1 == "open" && r.0 > ordered + LIMIT).count();
    note(format!(
        "checks after the limit: {}, good ones: {}, reports 'open' after the limit: {late_open}",
        checks.iter().filter(|c| c.0 > LIMIT).count(),
        late_good.len()
    ));
    if let Some(first) = late_good.first() {
        finish(1, &format!("drain: a good health answer {first:.0} ms after the accepted order out-of-service"));
    }
    if !checks.iter().any(|c| c.0 > LIMIT) {
        cannot("no health check was answered after the limit");
    }
    finish(0, "all health answers after the order's limit were bad")
}
