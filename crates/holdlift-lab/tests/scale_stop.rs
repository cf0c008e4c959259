//! A scale run that is ended half way stops all that it started, and keeps what it measured as partial. It needs the program
//! beside the lab's, as `cargo test --workspace` builds it.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use holdlift_lab::scale::Run;

/// Processes that were started in a folder of the rig of that process, or as a host of hollow nodes by it.
fn left_over(of: u32) -> Vec<String> {
    let all = std::fs::read_dir("/proc").expect("a table of processes").flatten();
    let line = |p: &Path| std::fs::read_to_string(p.join("cmdline")).unwrap_or_default().replace('\0', " ");
    let rig = format!("holdlift-rig-{of}-");
    let host = |p: &Path| {
        let status = std::fs::read_to_string(p.join("status")).unwrap_or_default();
        status.contains(&format!("PPid:\t{of}\n"))
    };
    all.filter(|p| line(&p.path()).contains(&rig) || host(&p.path())).map(|p| line(&p.path())).collect()
}

/// Starts a run, ends it once it has said that, and looks at what is left; the run as it was kept.
fn ended_half_way(name: &str, args: &[&str], once_said: &str, processes: usize) -> Run {
    let folder = std::env::temp_dir().join(format!("holdlift-scale-{name}-{}", std::process::id()));
    let mut run = Command::new(env!("CARGO_BIN_EXE_holdlift-lab"))
        .args(args)
        .args(["--name", name, "--keep"])
        .arg(&folder)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the lab starts");
    let pid = run.id();
    let mut lines = BufReader::new(run.stdout.take().expect("its output")).lines();
    let first = lines.by_ref().map_while(Result::ok).find(|l| l.contains(once_said));
    assert!(first.is_some(), "the first size is measured");
    assert!(left_over(pid).len() >= processes, "{:?}", left_over(pid));
    assert!(Command::new("kill").args(["-TERM", &pid.to_string()]).status().expect("kill").success());
    let status = run.wait().expect("it ends");
    assert_eq!(status.code(), Some(2), "partial is no success");
    let kept = Run::load(&folder.join(format!("{name}.json"))).expect("kept");
    assert!(kept.partial);
    // Hosts end with their standard input, a moment after.
    let start = Instant::now();
    while !left_over(pid).is_empty() && start.elapsed() < Duration::from_secs(20) {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(left_over(pid), Vec::<String>::new());
    std::fs::remove_dir_all(&folder).expect("its folder");
    kept
}

#[test]
fn a_run_that_is_ended_half_way_is_partial_and_leaves_nothing() {
    let args = ["scale", "fleet", "--sizes", "10,20", "--seconds", "3", "--real", "2", "--hosts", "2"];
    // Two nodes, three keepers, two hosts.
    let kept = ended_half_way("stopped", &args, "all known", 7);
    assert!(!kept.series.is_empty() && kept.series.iter().all(|s| s.points.len() == 1), "{:?}", kept.series);
}

#[test]
fn a_run_of_changes_that_is_ended_half_way_is_partial_and_leaves_nothing() {
    let args = "scale config --sizes 10,20 --parts nodes --real 3 --hosts 2 --classes 20 --tenants 40 --of 2 --changes 1 \
                --every 500 --rest 2 --join 1";
    let args: Vec<&str> = args.split_whitespace().collect();
    // Three nodes, three keepers, two hosts.
    let kept = ended_half_way("stopped-config", &args, "20 nodes:", 8);
    assert!(!kept.series.is_empty() && kept.series.iter().all(|s| s.points.len() == 1), "{:?}", kept.series);
}

/// What the machine does not bear is said before anything is started.
#[test]
fn a_run_that_is_too_large_is_refused_before_it_starts() {
    let out = Command::new("/bin/sh")
        .args(["-c", "ulimit -n 1500; exec \"$0\" \"$@\"", env!("CARGO_BIN_EXE_holdlift-lab")])
        .args(["scale", "fleet", "--sizes", "100,3000", "--hosts", "1"])
        .output()
        .expect("the lab runs");
    let said = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(1), "{said}");
    assert!(said.contains("descriptors in one process") && said.contains("hollow nodes would fit"), "{said}");
}
