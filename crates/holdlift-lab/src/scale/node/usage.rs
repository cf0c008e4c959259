//! What a process has used so far, as the system tells it: differences of two readings make a figure.

use std::time::Instant;

/// One reading.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// When it was taken.
    pub at: Instant,
    /// Processor time of all its threads that live, user and system, us.
    pub cpu_us: f64,
    /// Times that its threads waited and were woken.
    pub wakes: f64,
    /// Resident memory, KiB.
    pub rss_kb: f64,
    /// Most resident memory since the start or [`reset_peak`], KiB.
    pub peak_kb: f64,
}

fn field(text: &str, name: &str) -> Option<f64> {
    text.lines().find(|l| l.starts_with(name))?.split_whitespace().nth(1)?.parse().ok()
}

/// Processor time of one thread, us: to the ns where the scheduler tells it, else to the hundredth of a second.
fn cpu_us(thread: &std::path::Path) -> Option<f64> {
    if let Ok(text) = std::fs::read_to_string(thread.join("schedstat"))
        && let Some(ns) = text.split_whitespace().next().and_then(|n| n.parse::<f64>().ok())
    {
        return Some(ns / 1e3);
    }
    let stat = std::fs::read_to_string(thread.join("stat")).ok()?;
    // The name in brackets may hold spaces; user and system time are the 12th and 13th behind it.
    let behind = stat.rsplit(')').next()?.split_whitespace().skip(11).take(2);
    Some(behind.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() * 1e4)
}

impl Usage {
    /// Reads what a process has used; nothing where it is gone.
    pub fn of(pid: u32) -> Option<Usage> {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let (mut cpu, mut wakes) = (0.0, 0.0);
        for thread in std::fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
            cpu += cpu_us(&thread.path()).unwrap_or(0.0);
            let told = std::fs::read_to_string(thread.path().join("status")).unwrap_or_default();
            wakes += field(&told, "voluntary_ctxt_switches:").unwrap_or(0.0);
        }
        Some(Usage {
            at: Instant::now(),
            cpu_us: cpu,
            wakes,
            rss_kb: field(&status, "VmRSS:")?,
            peak_kb: field(&status, "VmHWM:")?,
        })
    }

    /// Share of one core since an earlier reading.
    pub fn share_since(&self, earlier: &Usage) -> f64 {
        self.cpu_since(earlier) / self.seconds_since(earlier) / 1e6
    }

    /// Processor time since an earlier reading, us.
    pub fn cpu_since(&self, earlier: &Usage) -> f64 {
        (self.cpu_us - earlier.cpu_us).max(0.0)
    }

    /// Wakes a second since an earlier reading.
    pub fn wakes_since(&self, earlier: &Usage) -> f64 {
        (self.wakes - earlier.wakes).max(0.0) / self.seconds_since(earlier)
    }

    /// s since an earlier reading.
    pub fn seconds_since(&self, earlier: &Usage) -> f64 {
        self.at.duration_since(earlier.at).as_secs_f64().max(1e-3)
    }
}

/// Has the system count a process's most resident memory from here on; false where it doesn't let us.
pub fn reset_peak(pid: u32) -> bool {
    std::fs::write(format!("/proc/{pid}/clear_refs"), "5").is_ok()
}

/// Memory that the system could give without swapping, MB.
pub fn available_mb() -> Option<f64> {
    let told = std::fs::read_to_string("/proc/meminfo").ok()?;
    field(&told, "MemAvailable:").map(|kb| kb / 1024.0)
}

/// Descriptors that a process of ours may have.
pub fn descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.and_then(|n| usize::try_from(n).ok()).unwrap_or(usize::MAX)
}
