//! Settings alone define a deployment: a node works by the names and values of any generated settings, and the program's
//! source contains no name of a real deployment.

mod common;

use holdlift::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

/// Random settings: names, classes, effects, deadlines, windows, tenants, costs and limits.
fn random_settings(seed: u64) -> Value {
    let mut r = ChaCha8Rng::seed_from_u64(seed);
    let word = |r: &mut ChaCha8Rng| -> String {
        (0..r.random_range(3..12)).map(|_| char::from(r.random_range(b'a'..=b'z'))).collect()
    };
    let classes: Vec<Value> = (0..r.random_range(1..9))
        .map(|i| {
            let deadline = r.random_range(200_000..20_000_000u64);
            json!({"name": format!("{}-{i}", word(&mut r)), "aim-us": deadline / r.random_range(1..6u64),
                "effect": (["retryable", "dedup", "fragile"][r.random_range(0..3)]), "deadline-us": deadline,
                "points": r.random_range(0.5..9.0), "late-worth": r.random_range(0.0..1.0),
                "memory-span-us": r.random_range(50_000..8_000_000u64)})
        })
        .collect();
    let tenants: Vec<Value> = (0..r.random_range(0..9))
        .map(|i| json!({"name": format!("{}-{i}", word(&mut r)), "quota-per-s": r.random_range(1.0..90.0), "share": 0.1}))
        .collect();
    json!({"accounts": tenants, "classes": classes,
        "contract": {"answer-slack-us": 60_000, "cold-from": r.random_range(0.1..0.9),
            "cold-us": r.random_range(100_000..17_000_000u64), "drain-grace-us": r.random_range(0..4_000_000u64),
            "fall-multiple": r.random_range(1.5..12.0), "fall-us": r.random_range(200_000..4_000_000u64)},
        "domain": {"below": "silent", "cores": r.random_range(1..24u32), "cold": r.random_bool(0.5),
            "memory-kb": r.random_range(20_000.0..900_000.0), "run-mem-factor": r.random_range(1.0..17.0),
            "entry-kb": r.random_range(1.0..90.0), "halt": (["silent", "discard", "freeze"][r.random_range(0..3)]),
            "say": (["silent", "floor", "allowance", "weight"][r.random_range(0..4)]), "senders": r.random_range(0..200u32),
            "fresh-for-us": r.random_range(0..400_000u64), "idle-us": 30_000_000},
        "limits": {"retry-after": r.random_bool(0.5), "max-retry-after-us": r.random_range(0..2_000_000u64)},
        "replicas-of-me": r.random_range(0..40u32), "round-us": 5_000})
}

/// Under any settings, every request has one answer by its class's deadline, no work that must not be repeated runs twice,
/// no request that arrives after the drain grace starts, and memory stays within the settings' limit.
#[test]
fn random_settings_are_respected_in_deadlines_effects_grace_and_memory() {
    for seed in 0..60 {
        let json = random_settings(seed);
        let s = holdlift::settings::from_json(&json).expect("random settings are readable");
        s.validate().expect("random settings are valid");
        for (c, t) in s.classes.iter().zip(json["classes"].as_array().expect("classes are a list")) {
            assert_eq!(
                (c.name.as_str(), c.deadline.0),
                (t["name"].as_str().unwrap(), t["deadline-us"].as_u64().unwrap())
            );
            assert_eq!(c.window.0, t["memory-span-us"].as_u64().unwrap());
        }
        let mut r = ChaCha8Rng::seed_from_u64(seed);
        let mut policy = Policy::new(s.clone(), seed).expect("the policy accepts valid settings");
        // Per request id: arrival time, deadline and class; then the counts of its answers and starts.
        let mut requests: Vec<(Micros, Micros, usize)> = Vec::new();
        let (mut answers, mut starts) = (vec![0u32; 4_000], vec![0u32; 4_000]);
        // Memory of each request, kB, while it is held, runs or is paused; and the expiry of each retained key.
        let (mut memory_kb_of, mut retained_keys) = (vec![0.0f64; 4_000], std::collections::BTreeMap::new());
        let (mut running, mut events): (Vec<(Micros, RequestId, Micros)>, Vec<Event>) =
            (Vec::new(), Vec::new());
        let (start, notice) = (Micros(1_000_000), Micros(9_000_000));
        let longest = s.longest_deadline();
        let (mut timers, mut open, mut seen) = (Vec::new(), Vec::new(), 0);
        let mut now = start;
        while now < notice + longest + Micros(400_000) {
            if now < notice + s.drain_grace + Micros(300_000) && requests.len() < 3_900 {
                for _ in 0..r.random_range(0..4) {
                    let class = r.random_range(0..s.classes.len());
                    let id = requests.len() as u32;
                    requests.push((now, now + s.classes[class].deadline, class));
                    let rank = r.random_range(0.0..1.0);
                    let held_kb = r.random_range(1.0..40.0);
                    memory_kb_of[id as usize] = held_kb;
                    events.push(Event::Arrived(Request { rank, held_kb, ..common::request(id, class) }));
                }
            }
            if now == notice {
                events.push(Event::Drain(notice + longest + Micros(300_000)));
            }
            running.retain(|(at, id, lag)| {
                if *at <= now {
                    events.push(Event::RunEnded(*id, Outcome::Good, *lag));
                    // A request that failed meanwhile has its answer already, and its run went on to its end.
                    answers[id.0 as usize] = answers[id.0 as usize].max(1);
                    memory_kb_of[id.0 as usize] = 0.0;
                }
                *at > now
            });
            timers.retain(|(at, token)| {
                if *at <= now {
                    events.push(Event::Timer(*token, Gauges::default()));
                }
                *at > now
            });
            let mut out = Vec::new();
            policy.step(now, &events, &mut out).expect("the events are consistent with the policy's state");
            events.clear();
            for action in out {
                match action {
                    Action::Run(id) => {
                        starts[id.0 as usize] += 1;
                        if starts[id.0 as usize] == 1 {
                            memory_kb_of[id.0 as usize] *= s.run_memory_factor;
                        }
                        let (arrived, ..) = requests[id.0 as usize];
                        let late = arrived >= notice + s.drain_grace;
                        assert!(
                            !late,
                            "seed {seed}: {id:?} arrived at {arrived:?}, after the grace, and ran"
                        );
                        let lag = Micros(r.random_range(1_000..200_000));
                        running.push((now + lag, id, lag));
                    }
                    Action::Refuse { id, .. } => {
                        answers[id.0 as usize] += 1;
                        memory_kb_of[id.0 as usize] = 0.0;
                        assert_eq!(starts[id.0 as usize], 0, "seed {seed}: {id:?} ran and was refused");
                    }
                    Action::Fail(id) => {
                        answers[id.0 as usize] += 1;
                        if !running.iter().any(|(_, of, _)| *of == id) {
                            memory_kb_of[id.0 as usize] = 0.0;
                        }
                    }
                    Action::Stop(id) => {
                        if let Some(i) = running.iter().position(|(_, of, _)| *of == id) {
                            running.swap_remove(i);
                            events.push(Event::RunEnded(id, Outcome::Cancelled, Micros(1)));
                            if answers[id.0 as usize] > 0 {
                                memory_kb_of[id.0 as usize] = 0.0;
                            }
                        }
                    }
                    Action::RetainKey(id, span) => _ = retained_keys.insert(id, now + span),
                    Action::ForgetKey(id) => _ = retained_keys.remove(&id),
                    Action::Timer(token, after) => timers.push((now + after, token)),
                    _ => {}
                }
            }
            retained_keys.retain(|_, until| *until > now);
            let memory = memory_kb_of[..requests.len()].iter().sum::<f64>()
                + retained_keys.len() as f64 * s.key_entry_kb;
            assert!(memory <= s.memory_kb, "seed {seed}: {memory:.0} of {:.0} kB", s.memory_kb);
            open.extend(seen..requests.len());
            seen = requests.len();
            open.retain(|id| {
                let (given, (_, due, class)) = (answers[*id], requests[*id]);
                assert!(given == 1 || now < due + s.answer_slack, "seed {seed}: {id} has no answer in time");
                let may_run_again =
                    s.stop_mode == StopMode::Freeze || s.classes[class].effect == Effect::Retryable;
                assert!(starts[*id] <= 1 || may_run_again, "seed {seed}: {id} started {} times", starts[*id]);
                given == 0
            });
            now = now + Micros(5_000);
        }
        assert!(answers.iter().all(|n| *n <= 1), "seed {seed}: more than one answer");
        assert!(requests.len() > 500, "seed {seed}: {} requests", requests.len());
    }
}

/// No name of an operator's deployment occurs in the program's source or its deployment file.
#[test]
fn the_source_contains_no_name_of_a_deployment() {
    let mut names = Vec::new();
    for entry in std::fs::read_dir("deploy/sites").expect("deploy/sites is readable") {
        let path = entry.expect("the folder entry is readable").path();
        if path.extension().is_none_or(|e| e != "toml") {
            continue;
        }
        let site: toml::Value =
            toml::from_str(&std::fs::read_to_string(&path).expect("the file is readable"))
                .expect("the site file is TOML");
        names.push(site["name"].as_str().expect("the entry has a name").to_owned());
        for list in ["class", "tenant", "tier"] {
            let of = site.get(list).and_then(toml::Value::as_array).into_iter().flatten();
            names.extend(of.map(|v| v["name"].as_str().expect("the entry has a name").to_owned()));
        }
    }
    // Further names of deployments that have no file under deploy/sites.
    names.extend(
        ["cetak", "lautoka", "sinar", "book-job", "order-gate", "job-desk", "tramites"].map(str::to_owned),
    );
    assert!(names.len() > 25, "{names:?}");
    // These names are also ordinary words, which comments may use.
    names.retain(|n| !["track", "tariff", "manifest", "customs"].contains(&n.as_str()));
    let mut folders = vec![std::path::PathBuf::from("src")];
    let mut files = vec![std::path::PathBuf::from("deploy/balancer.toml")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("the folder is readable") {
            let path = entry.expect("the folder entry is readable").path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|e| e == "rs") {
                files.push(path);
            }
        }
    }
    for file in files {
        let text = std::fs::read_to_string(&file).expect("the file is readable");
        for name in &names {
            assert!(!text.contains(name.as_str()), "{}: {name}", file.display());
        }
    }
}
