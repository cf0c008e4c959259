//! Prefetch calls before uwsgi runs, over real sockets: required and optional ones, with healthy and failing tiers.

mod net;

use std::sync::Arc;
use std::time::Duration;

use net::*;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

/// The stand-ins that the node calls.
struct Services {
    farm: Arc<Farm>,
    rates: Arc<Tier>,
    offers: Arc<Tier>,
}

const TIERS: &str = r#"
[tiers.rates]
endpoints = ["{rates}"]
[tiers.offers]
endpoints = ["{offers}"]
[[gather.quote]]
name = "rates"
tier = "rates"
cap_ms = 1500
fallback = [{ fixed = "flat" }]
send = "CLASS"
[[gather.quote]]
name = "offers"
tier = "offers"
cap_ms = 400
needed = false
beside = true
[[gather.book-job]]
name = "rates"
tier = "rates"
cap_ms = 600
"#;

async fn node() -> (Node, Services) {
    node_with("").await
}

/// A node with these additional settings of the tier `rates`.
async fn node_with(rates_settings: &str) -> (Node, Services) {
    let ((servers, server), (rates, r), (offers, o)) = (bind().await, bind().await, bind().await);
    let tier = || Tier::new(8, Duration::from_millis(5), 0.0);
    let services = Services { farm: Farm::new(4), rates: tier(), offers: tier() };
    tokio::spawn(services.farm.clone().uwsgi(servers));
    tokio::spawn(services.rates.clone().serve(rates));
    tokio::spawn(services.offers.clone().serve(offers));
    let tiers = TIERS.replace("[tiers.offers]", &format!("{rates_settings}\n[tiers.offers]"));
    let tiers = tiers.replace("{rates}", &r.to_string()).replace("{offers}", &o.to_string());
    let settings = settings(4, 4_000, 8_000);
    let setup = Setup {
        settings,
        servers: vec![server],
        slots: 4,
        tiers: Some(tiers),
        stop_ms: 6_000,
        ..Setup::default()
    };
    (setup.start().await, services)
}

/// What the client receives (status, and the header that names the missing replies) and which vars the server receives, by
/// the behaviour of the tiers.
#[tokio::test]
async fn required_calls_decide_the_status_and_optional_calls_may_be_missing() {
    let (node, services) = node().await;
    use Mood::*;
    let good = "HTTP/1.1 200 OK";
    let unavailable = "HTTP/1.1 503 Service Unavailable";
    let table = [
        (
            "quote",
            Fine,
            Fine,
            good,
            "",
            "HOLDLIFT_CALL_RATES=good HOLDLIFT_CALL_OFFERS=good HOLDLIFT_MISSING=",
        ),
        ("quote", Fine, Errors, good, "offers", "HOLDLIFT_CALL_RATES=good HOLDLIFT_MISSING=offers"),
        ("quote", Fine, Hangs, good, "offers", "HOLDLIFT_CALL_RATES=good HOLDLIFT_MISSING=offers"),
        ("quote", Errors, Sheds, good, "offers", "HOLDLIFT_CALL_RATES=flat HOLDLIFT_MISSING=offers"),
        ("quote", Hangs, Resets, good, "offers", "HOLDLIFT_CALL_RATES=flat HOLDLIFT_MISSING=offers"),
        ("book-job", Fine, Errors, good, "", "HOLDLIFT_CALL_RATES=good HOLDLIFT_MISSING="),
        ("book-job", Errors, Fine, unavailable, "", ""),
        ("book-job", Hangs, Fine, unavailable, "", ""),
        ("book-job", Resets, Fine, unavailable, "", ""),
        ("proof", Errors, Errors, good, "", ""),
    ];
    for (n, (class, rates, offers, status, missing, vars_received)) in table.into_iter().enumerate() {
        services.rates.be(rates);
        services.offers.be(offers);
        let what = format!("{class}, rates {rates:?}, offers {offers:?}");
        // A client can't forge a tier's reply.
        let vars = [("CLASS", class), ("HOLDLIFT_CALL_OFFERS", "mine"), ("HOLDLIFT_MISSING", "mine")];
        let vars = if class == "proof" { &vars[..1] } else { &vars };
        let (line, rest) = exchange(node.uwsgi, &packet(vars, format!("1 t{n}").as_bytes())).await;
        assert_eq!(line, status, "{what}");
        assert_eq!(rest.contains("Retry-After: "), status == unavailable, "{what}: {rest}");
        let header = format!("X-Holdlift-Partial: {missing}\r\n");
        assert_eq!(rest.contains("X-Holdlift-Partial: "), !missing.is_empty(), "{what}: {rest}");
        assert!(missing.is_empty() || rest.contains(&header), "{what}: {rest}");
        assert_eq!(rest.ends_with(&format!("\r\n\r\ndone t{n}")), status == good, "{what}: {rest}");
        let seen = services.farm.told.lock().unwrap().get(&format!("t{n}")).cloned();
        assert_eq!(seen, (status == good).then(|| vars_received.to_owned()), "{what}");
    }
    let (_, good, log) = node.leave().await;
    assert!(good && log.contains("gathers=9") && log.contains("prefetch: partial=4 open=0"), "{log}");
}

/// A required call for a write whose tier fails intermittently: the decision module does not repeat the call, so only the
/// dependency client's own retries can save the run.
#[tokio::test]
async fn a_required_call_is_retried_only_by_the_dependency_client() {
    for (rates_settings, expected_rejections) in
        [("", 2), ("tries = 2\nretry_share = 1.0\nretry_burst = 5", 0)]
    {
        let (node, services) = node_with(rates_settings).await;
        services.rates.be(Mood::Spotty);
        let mut lines = Vec::new();
        for n in 0..24 {
            let body = format!("1 w{n}");
            lines.push(exchange(node.uwsgi, &packet(&[("CLASS", "book-job")], body.as_bytes())).await.0);
        }
        let rejected = lines.iter().filter(|l| l.contains("503")).count();
        assert_eq!(rejected, expected_rejections, "{rates_settings}: {lines:?}");
        assert_eq!(services.farm.runs.lock().unwrap().len(), 24 - expected_rejections, "{rates_settings}");
    }
}

/// A client that disconnects, a reload and the notice to leave, each during a prefetch stage: nothing runs for a disconnected
/// client, the stage keeps its plan, and all other requests are answered.
#[tokio::test]
async fn disconnect_reload_and_drain_during_a_prefetch_stage() {
    let (node, services) = node().await;
    services.rates.be(Mood::Hangs);
    let mut disconnecting =
        tokio::net::TcpStream::connect(node.uwsgi).await.expect("the node accepts the connection");
    disconnecting.write_all(&packet(&[("CLASS", "quote")], b"1 gone")).await.expect("the request is written");
    let await_call = |name: &'static str, services: &Services| {
        let rates = services.rates.clone();
        async move {
            within(name, async {
                while !rates.effects.lock().unwrap().keys().any(|k| k.ends_with(".rates")) {
                    sleep(Duration::from_millis(2)).await;
                }
            })
            .await;
            rates.effects.lock().unwrap().clear();
        }
    };
    await_call("the first call reaches its tier", &services).await;
    drop(disconnecting);
    let at = node.uwsgi;
    let asked = tokio::spawn(async move { exchange(at, &packet(&[("CLASS", "quote")], b"1 kept")).await });
    await_call("the second call reaches its tier", &services).await;
    // New requests have no prefetch calls from here on; the stage in flight keeps its plan.
    node.retier("");
    node.reload().await;
    let (line, _) = exchange(node.uwsgi, &packet(&[("CLASS", "book-job")], b"1 plain")).await;
    assert_eq!(line, "HTTP/1.1 200 OK");
    let leaving = tokio::spawn(node.leave());
    assert_eq!(asked.await.expect("the request task does not panic").0, "HTTP/1.1 200 OK");
    let vars_received = services.farm.told.lock().unwrap().clone();
    assert_eq!(
        vars_received.get("kept").map(String::as_str),
        Some("HOLDLIFT_CALL_RATES=flat HOLDLIFT_CALL_OFFERS=good HOLDLIFT_MISSING=")
    );
    assert_eq!(vars_received.get("plain").map(String::as_str), Some(""));
    assert!(!vars_received.contains_key("gone"));
    let (took, good, log) = leaving.await.expect("the drain task does not panic");
    assert!(good && took < BY_ITSELF && log.contains("gathers=2") && log.contains("reloads=1"), "{log}");
}
