//! The operators' files through the command line: valid files are accepted, invalid values are refused with their line, and
//! the settings in force are shown.

mod net;

use std::path::PathBuf;
use std::process::Command;

use net::*;

/// A temporary folder with a node's configuration files; removed on drop.
struct Files(PathBuf);

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Files {
    fn new(name: &str, sockets: usize) -> Files {
        let dir = std::env::temp_dir().join(format!("holdlift-edge-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let config = serde_json::json!({"name": "n0", "listen": "127.0.0.1:5050", "settings": settings(2, 1_000, 2_000),
            "limits": {"memory_mb": 64, "sockets": sockets}});
        std::fs::write(dir.join("config.json"), config.to_string()).unwrap();
        for file in ["uwsgi.toml", "inventory.yaml"] {
            std::fs::copy(format!("deploy/{file}"), dir.join(file)).unwrap();
        }
        Files(dir)
    }

    /// Runs `holdlift` in the folder; returns whether it succeeded, and its standard output and error.
    fn run(&self, args: &[&str]) -> (bool, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_holdlift"));
        command
            .args(args)
            .current_dir(&self.0)
            .env_remove("PROXY_NAME")
            .env("PROXY_LISTEN", "127.0.0.1:5051");
        let out = command.env("PROXY_CONFIG", "config.json").output().unwrap();
        (out.status.success(), String::from_utf8([out.stdout, out.stderr].concat()).unwrap())
    }
}

#[test]
fn what_is_wrong_is_named_with_its_line() {
    let files = Files::new("bad", 512);
    let shipped = std::fs::read_to_string("deploy/edge.toml").unwrap();
    let cases: [(&str, &str, &str); 23] = [
        ("least_rate = 30", "least_rate = 0", "a rate of nothing"),
        ("least_rate = 30", "least_rate = \"fast\"", "a word for a number"),
        ("least_rate = 30", "lest_rate = 30", "a misspelt setting"),
        ("grace_ms = 12000", "grace_ms = nan", "no number"),
        ("grace_ms = 12000", "grace_ms = 30000\nburst_ms = 20000", "a burst under the grace"),
        ("base = \"patient\"", "base = \"kind\"", "an unknown base"),
        ("base = \"patient\"", "base = \"strict\"", "progress on a fixed base"),
        ("[profiles.field]", "[profiles.strict]", "the platform's profile"),
        ("profile = \"field\"", "profile = \"fields\"", "an unknown profile"),
        ("front = \"uwsgi\"", "front = \"http\"", "an unknown front"),
        ("listen = \"127.0.0.1:3032\"", "listen = \"everywhere\"", "no address"),
        ("connections = 256", "connections = 0", "no connections"),
        ("connections = 256", "connections = 600", "more than there are descriptors"),
        ("connections = 256", "connections = 256\ncolour = 1", "an unknown key"),
        ("source_arrivals = 50 ", "# ", "a burst of no rate"),
        ("half_in_kb = 4096", "half_in_kb = 1", "too small a budget"),
        ("uwsgi = \"uwsgi.toml\"", "", "no file for the front"),
        ("listen = \"127.0.0.1:5683\"", "listen = \"devices\"", "no address for devices"),
        ("exchanges = 65536", "exchanges = 10", "too few exchanges"),
        ("body_bytes = 16384", "body_bytes = 100000", "a body that costs more than is booked"),
        ("uploads_bytes = 4194304", "uploads_bytes = 1024", "uploads under one body"),
        ("\"/jobs\" = \"book-job\"", "\"jobs\" = \"book-job\"", "no path"),
        ("\"/jobs\" = \"book-job\"", "\"/jobs\" = \"jobs\"", "an unknown class for a path"),
    ];
    let mut seen = Vec::new();
    for (from, to, what) in cases {
        assert!(shipped.contains(from), "{from}");
        std::fs::write(files.0.join("edge.toml"), shipped.replace(from, to)).unwrap();
        let (good, text) = files.run(&["--edge", "edge.toml", "check"]);
        assert!(!good, "{what}: {text}");
        seen.push(format!("{what}: {}", text.trim_end()));
    }
    std::fs::write(files.0.join("edge.toml"), &shipped).unwrap();
    let front = std::fs::read_to_string("deploy/uwsgi.toml").unwrap();
    for (from, to, what) in [
        ("room_kb = 84.0", "room_kb = 32.0", "a request that costs more than is booked"),
        ("header_ms = 5000", "header_ms = 0", "no time for a header"),
        ("\"/proof\" = \"proof\"", "\"/proof\" = \"proofs\"", "an unknown class"),
    ] {
        assert!(front.contains(from), "{from}");
        std::fs::write(files.0.join("uwsgi.toml"), front.replace(from, to)).unwrap();
        let (good, text) = files.run(&["check", "--edge", "edge.toml"]);
        assert!(!good, "{what}: {text}");
        seen.push(format!("{what}: {}", text.trim_end()));
    }
    insta::assert_snapshot!(seen.join("\n"));
}

#[test]
fn what_is_in_force_is_shown() {
    let files = Files::new("show", 512);
    std::fs::copy("deploy/edge.toml", files.0.join("edge.toml")).unwrap();
    let (good, text) = files.run(&["config", "show", "--edge", "edge.toml"]);
    assert!(good, "{text}");
    let is_compared =
        |line: &&str| !line.starts_with("settings.") || line.contains("quote") || line.contains("round");
    insta::assert_snapshot!(
        text.lines().filter(is_compared).map(str::trim_end).collect::<Vec<_>>().join("\n")
    );
    let (good, text) = files.run(&["check", "--edge", "edge.toml"]);
    assert!(
        good && text.contains("field: Uwsgi on 127.0.0.1:3032, field profile, 256 connections"),
        "{text}"
    );
    let (good, text) = files.run(&["check"]);
    assert!(good && text == "good: node n0, 0 uwsgi servers\n", "{text}");
    let (good, text) = files.run(&["--log", "x=loud", "check"]);
    assert!(!good && text.contains("right would be"), "{text}");
}
