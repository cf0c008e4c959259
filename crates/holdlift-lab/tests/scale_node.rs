//! The scale run of one real node: what it refuses before it starts, what it leaves behind, and counts that no machine's
//! speed changes.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use holdlift_lab::scale::Run;
use holdlift_lab::scale::node::deployment::{Deployment, with_quota};
use holdlift_lab::scale::node::pulse::{longest, longest_within};

const BOUND: Duration = Duration::from_secs(60);

/// A folder that is gone with its test.
struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Dir {
        let dir = std::env::temp_dir().join(format!("holdlift-scale-test-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        Dir(dir)
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn lab(dir: &Path, args: &[&str]) -> Child {
    Command::new(env!("CARGO_BIN_EXE_holdlift-lab"))
        .args(["scale", "node", "--keep"])
        .arg(dir.join("kept"))
        .args(args)
        // Where it makes the folders of its nodes.
        .env("TMPDIR", dir)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the lab starts")
}

fn ended(mut child: Child) -> Output {
    let until = Instant::now() + BOUND;
    while child.try_wait().expect("a status").is_none() {
        if Instant::now() > until {
            let _ = child.kill();
            panic!("the lab has not ended");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    child.wait_with_output().expect("output")
}

/// Nodes that a process has started and that live; it asks for the commit by a process too.
fn nodes(of: u32) -> Vec<u32> {
    let mut all = Vec::new();
    for task in std::fs::read_dir(format!("/proc/{of}/task")).into_iter().flatten().flatten() {
        let told = std::fs::read_to_string(task.path().join("children")).unwrap_or_default();
        all.extend(told.split_whitespace().filter_map(|p| p.parse::<u32>().ok()));
    }
    let name = |pid: &u32| std::fs::read_to_string(format!("/proc/{pid}/comm")).unwrap_or_default();
    all.retain(|pid| name(pid).trim() == "holdlift");
    all
}

#[test]
fn what_does_not_fit_is_refused_before_anything_starts() {
    let dir = Dir::new("large");
    let table: [(&[&str], &[&str]); 4] = [
        (&["--only", "full", "--callers", "900", "--descriptors", "1024"], &["1028", "1024", "up to 896"]),
        (&["--only", "callers", "--callers", "900", "--descriptors", "1024"], &["1264", "1024", "up to 720"]),
        (
            &["--only", "both", "--classes", "50000", "--tenants", "200000", "--memory-mb", "1000"],
            &["may need", "1000 are allowed", "th of each would fit"],
        ),
        (&["--only", "tenants", "--tenants", "200001"], &["200001 is not in 1..=200000"]),
    ];
    for (args, says) in table {
        let out = ended(lab(&dir.0, args));
        let said = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success(), "{args:?}");
        says.iter().for_each(|s| assert!(said.contains(s), "{args:?}: {said}"));
        assert!(!dir.0.join("kept").exists(), "{args:?}: something was kept");
    }
    // What it says would fit does.
    for (part, callers) in [("full", "896"), ("callers", "720")] {
        let args =
            ["--only", part, "--callers", callers, "--descriptors", "1024", "--program", "no-such-program"];
        let out = ended(lab(&dir.0, &args));
        assert!(String::from_utf8_lossy(&out.stderr).contains("no such program"), "{part}");
    }
}

/// A deployment is made by its seed, and what changes in a file is what was to change.
#[test]
fn deployments_come_by_their_seed() {
    let (a, b) = (Deployment::new(400, 500, 256, 3), Deployment::new(400, 500, 256, 3));
    assert_eq!((&a.classes, &a.tenants), (&b.classes, &b.tenants));
    assert_ne!(a.tenants, Deployment::new(400, 500, 256, 4).tenants);
    let at = "127.0.0.1:1".parse().expect("an address");
    let config = a.config(at, at);
    let settings = holdlift::settings::from_json(&config["settings"]).expect("fit settings");
    settings.validate().expect("good settings");
    assert_eq!((settings.classes.len(), settings.tenants.len()), (400, 500));
    let changed: serde_json::Value = serde_json::from_str(&with_quota(&config, 499, 7.0)).expect("JSON");
    let other = holdlift::settings::from_json(&changed["settings"]).expect("fit settings");
    let differ = |(a, b): &(&_, &_)| a != b;
    assert_eq!(settings.tenants.iter().zip(&other.tenants).filter(differ).count(), 1);
    assert_eq!(settings.classes, other.classes);
}

/// Ended half way it stops what it started, removes its folders, and what it keeps says that it is partial.
#[test]
fn ended_half_way_it_leaves_nothing_running() {
    let dir = Dir::new("ended");
    let child = lab(&dir.0, &["--only", "tenants", "--repeats", "10", "--name", "half"]);
    let (pid, until) = (child.id(), Instant::now() + BOUND);
    let node = loop {
        if let Some(&node) = nodes(pid).first() {
            break node;
        }
        assert!(Instant::now() < until, "it starts no node");
        std::thread::sleep(Duration::from_millis(2));
    };
    let to = i32::try_from(pid).ok().and_then(rustix::process::Pid::from_raw).expect("a process");
    rustix::process::kill_process(to, rustix::process::Signal::TERM).expect("a signal");
    let out = ended(child);
    assert!(!out.status.success());
    assert!(!Path::new(&format!("/proc/{node}")).exists(), "node {node} runs on");
    let run = Run::load(&dir.0.join("kept/half.json")).expect("a run");
    assert!(run.partial);
    let left: Vec<_> =
        std::fs::read_dir(&dir.0).expect("a folder").flatten().map(|e| e.file_name()).collect();
    assert_eq!(left, ["kept"]);
}

/// Messages, bytes and what becomes of changes, by size: no time is claimed.
#[test]
fn counts_by_size() {
    let dir = Dir::new("counts");
    let args = [
        "--only",
        "classes,tenants",
        "--classes",
        "10,20,40,80",
        "--tenants",
        "10,400,800,1600",
        "--rates",
        "100",
        "--repeats",
        "1",
        "--changes",
        "1",
        "--span",
        "0.25",
        "--name",
        "short",
    ];
    let out = ended(lab(&dir.0, &args));
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let run = Run::load(&dir.0.join("kept/short.json")).expect("a run");
    assert!(!run.partial);
    let points = |name: &str| {
        let s = run.series.iter().find(|s| s.name == name);
        s.unwrap_or_else(|| panic!("no {name}")).points.clone()
    };
    for axis in ["classes", "tenants"] {
        // Everybody is served, and a request is one message in and one out on either side of the node, however many
        // names there are. What is sent at rest comes on top.
        for p in points(&format!("now.{axis}.r100_served")) {
            assert!((p.y - 1.0).abs() < 1e-9, "{axis}: {} of 1 served with {}", p.y, p.x);
        }
        for way in ["in", "out"] {
            for p in points(&format!("now.{axis}.r100_{way}_per_request")) {
                assert!((2.0..3.5).contains(&p.y), "{axis}: {} messages {way} a request with {}", p.y, p.x);
            }
        }
        for p in points(&format!("now.{axis}.change_taken")) {
            assert!((p.y - 1.0).abs() < 1e-9, "{axis}: a change was turned down with {}", p.x);
        }
        // A record is as many bytes at any size.
        let bytes = points(&format!("now.{axis}.file_bytes"));
        let each: Vec<f64> = bytes.windows(2).map(|w| (w[1].y - w[0].y) / (w[1].x - w[0].x)).collect();
        let (least, most) =
            (each.iter().copied().fold(f64::MAX, f64::min), each.iter().copied().fold(0.0, f64::max));
        assert!(least > 40.0 && most < 200.0 && most / least < 1.2, "{axis}: {each:?} bytes a record");
    }
}

/// A beat under way as a change is told belongs to the change, and to no span without one.
#[test]
fn what_is_under_way_belongs_to_the_change() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let beats = [(at(0), at(1)), (at(10), at(13)), (at(19), at(519)), (at(520), at(521))];
    assert_eq!(longest_within(&beats, at(5), at(20)), Some(3.0));
    assert_eq!(longest(&beats, at(20), at(530)), Some(500.0));
    assert_eq!(longest_within(&beats, at(522), at(530)), None);
}
