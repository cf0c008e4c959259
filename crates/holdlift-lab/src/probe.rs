//! What a process uses, as the system tells it.

use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Figures of a process over a span.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Most resident memory, KiB.
    pub rss_kb: f64,
    /// Processor time, share of one core.
    pub cpu: f64,
    /// Times that it waited and was woken, per second.
    pub wakes: f64,
}

fn field(text: &str, name: &str) -> f64 {
    let line = text.lines().find(|l| l.starts_with(name));
    line.and_then(|l| l.split_whitespace().nth(1)).and_then(|v| v.parse().ok()).unwrap_or(0.0)
}

/// Resident KiB, processor seconds, and voluntary switches so far.
pub fn now(pid: u32) -> (f64, f64, f64) {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name in brackets may hold spaces; user and system time are the 12th and 13th behind it, in hundredths.
    let ticks: f64 = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|t| t.parse::<f64>().ok())
        .sum();
    (field(&status, "VmRSS:"), ticks / 100.0, field(&status, "voluntary_ctxt_switches:"))
}

/// Watches a process for a span.
pub async fn watch(pid: u32, span: Duration) -> Usage {
    let (start, first) = (Instant::now(), now(pid));
    let mut usage = Usage::default();
    while start.elapsed() < span {
        usage.rss_kb = usage.rss_kb.max(now(pid).0);
        sleep(Duration::from_millis(100)).await;
    }
    let (last, secs) = (now(pid), start.elapsed().as_secs_f64());
    usage.cpu = (last.1 - first.1) / secs;
    usage.wakes = (last.2 - first.2) / secs;
    usage
}
