//! The adapter program on handwritten transcripts of the simulator's protocol.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const PARAMS: &str = r#"{"accounts": [{"name": "acme", "quota-per-s": 50.0, "share": 1.0}], "classes": [{"name": "read", "effect": "retryable", "aim-us": 1000000, "deadline-us": 3000000, "points": 1.0, "late-worth": 0.0, "memory-span-us": 0}, {"name": "order", "effect": "dedup", "aim-us": 1000000, "deadline-us": 3000000, "points": 4.0, "late-worth": 0.0, "memory-span-us": 5000000}], "contract": {"answer-slack-us": 60000, "cold-from": 0.2, "cold-us": 1000000, "drain-grace-us": 1000000, "fall-multiple": 4.0, "fall-us": 1500000}, "domain": {"below": "silent", "cores": 2, "memory-kb": 50000.0, "run-mem-factor": 8.0, "entry-kb": 50.0, "halt": "silent", "say": "silent", "senders": 2, "a-new-key": [1, 2]}, "limits": {"retry-after": true, "max-retry-after-us": 1000000}, "replicas-of-me": 3, "round-us": 4000, "later": null}"#;

fn adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_holdlift-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading early on malformed input.
    let _ = child.stdin.take().expect("standard input is piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

/// The batch that opens the instance `backend-3`.
fn open_batch() -> String {
    format!(
        "TICK moment-us=1000000 seq=1\nABOUT who=backend-3\nOPEN_INSTANCE random-seed=7 params={PARAMS}\nEOF_BATCH\n"
    )
}

/// Standard output of a run that opens the instance and then reads these lines.
fn run_transcript(rest: &str) -> String {
    let out = adapter(&format!("{}{rest}", open_batch()));
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    String::from_utf8(out.stdout).expect("the output is UTF-8")
}

/// Standard error of a run that must fail.
fn error_of(input: &str) -> String {
    let out = adapter(input);
    assert!(!out.status.success());
    let text = String::from_utf8(out.stderr).expect("the output is UTF-8");
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

/// Reply to [`open_batch`].
const OPENED: &str =
    "ON_BEHALF who=backend-3\nREPORT_HEALTH stored=1 on=1\nSET_TIMER nonce=0 offset-us=15000\nEND seq=1\n";

#[test]
fn empty_input_has_no_reply_and_empty_batches_only_end() {
    let out = adapter("");
    assert!(out.status.success() && out.stdout.is_empty());
    let out = adapter("TICK moment-us=5 seq=1\nEOF_BATCH\n\nTICK seq=2 moment-us=9\nEOF_BATCH\n");
    assert_eq!(String::from_utf8_lossy(&out.stdout), "END seq=1\nEND seq=2\n");
}

#[test]
fn a_request_runs_and_ends() {
    let got = run_transcript(
        "TICK moment-us=1004000 seq=2\nABOUT who=backend-3\nASK tid=4294967295 lane=read owner=acme object=user:a=b drop-dead-us=1900000 work-us=12000 footprint=24.5 place=0.25 attrs=1 who=17 backlog-time-us=1850 brand-new=1\nTIMEOUT_FIRED nonce=0 feedback=core_use:0.62,on_cores:3,heap_share:0.41,links:120,other:1\nEOF_BATCH\nTICK moment-us=1030000 seq=3\nABOUT who=backend-3\nWOUND_UP tid=4294967295 outcome=GOOD lag-us=26000\nEOF_BATCH\n",
    );
    let wanted = "ON_BEHALF who=backend-3\nSET_TIMER nonce=0 offset-us=15000\nBEGIN tid=4294967295\nEND seq=2\nEND seq=3\n";
    assert_eq!(got, format!("{OPENED}{wanted}"));
}

#[test]
fn keyed_requests_are_kept_joined_and_refused_after_a_drain() {
    let got = run_transcript(
        "TICK moment-us=1004000 seq=2\nABOUT who=backend-3\nASK tid=1 lane=order owner=0 footprint=20 place=0.9 attrs=4 who=1\nASK tid=2 lane=order footprint=20 place=0.9 attrs=6 who=1 repeats=1\nEOF_BATCH\nTICK moment-us=1008000 seq=3\nABOUT who=backend-3\nASK tid=3 lane=order footprint=20 place=0.9 who=1 repeats=2\nNOTICE drop-dead-us=9000000\nEOF_BATCH\nTICK moment-us=2100000 seq=4\nABOUT who=backend-3\nASK tid=4 lane=read footprint=20 place=0.1 who=1\nEOF_BATCH\n",
    );
    // The second attempt replaces the first, which has not run.
    assert!(got.contains("SAY_NO tid=1 give-up=1 wait-us=150000\n"), "{got}");
    assert!(got.contains("STORE_KEY tid=2 span-us=5023000\n"), "{got}");
    assert!(got.contains("BEGIN tid=2\n") && got.contains("JOIN tid=3\n"), "{got}");
    assert!(got.contains("REPORT_HEALTH stored=1 on=0\n"), "{got}");
    // The process stops at 9 s; the settings limit the retry advice to 1 s.
    assert!(got.contains("SAY_NO tid=4 give-up=0 wait-us=1000000\n"), "{got}");
}

#[test]
fn an_instance_halted_and_opened_in_one_batch_starts_anew() {
    let again = format!(
        "TICK moment-us=2000000 seq=2\nABOUT who=backend-3\nHALT\nOPEN_INSTANCE random-seed=8 params={PARAMS}\nEOF_BATCH\nTICK moment-us=2004000 seq=3\nABOUT who=backend-3\nHALT\nEOF_BATCH\n"
    );
    assert_eq!(run_transcript(&again), format!("{OPENED}{}END seq=3\n", OPENED.replace("seq=1", "seq=2")));
}

#[test]
fn malformed_input_ends_with_one_error_line() {
    let tick = "TICK moment-us=2000000 seq=2\nABOUT who=backend-3\n";
    for (line, reason) in [
        ("ASK tid=x lane=read footprint=1 place=0", "line 7: tid is not a whole number: 'x'"),
        ("ASK tid=4294967296 lane=read footprint=1 place=0", "line 7: tid is out of range"),
        ("ASK tid=1 lane=nope footprint=1 place=0", "line 7: unknown class 'nope'"),
        ("ASK tid=1 lane=read owner=nobody footprint=1 place=0", "line 7: unknown tenant 'nobody'"),
        ("ASK tid=1 lane=read place=0", "line 7: footprint is missing"),
        ("WOUND_UP tid=1 outcome=WELL", "line 7: unknown outcome 'WELL'"),
        ("WOUND_UP tid", "line 7: no value in 'tid'"),
        ("TIMEOUT_FIRED nonce=0 feedback=core_use", "line 7: 'core_use' is not a gauge"),
        ("DANCE tid=1", "line 7: unknown message 'DANCE'"),
        ("TICK moment-us=1 seq=3", "line 7: TICK within a batch"),
        ("OPEN_INSTANCE random-seed=1 params={", "line 7: params is not JSON"),
        ("OPEN_INSTANCE random-seed=1 params={}", "line 7: domain.cores is missing"),
    ] {
        let text = error_of(&format!("{}{tick}{line}\nEOF_BATCH\n", open_batch()));
        assert!(text.contains(reason), "{line}: {text}");
    }
    assert!(error_of("EOF_BATCH\n").contains("line 1: EOF_BATCH outside a batch"));
    assert!(
        error_of(&open_batch().replace("\"cores\": 2", "\"cores\": 0"))
            .contains("line 3: settings: no cores")
    );
    assert!(error_of("TICK moment-us=1 seq=1\n").contains("input ends within a batch"));
    assert!(error_of("TICK moment-us=1 se").contains("input ends within a line"));
}
