//! What a real process has used so far, by the system's own figures, and whether the machine bears a run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;

use thiserror::Error;

use crate::probe;

/// Most processes that a run may have at a time.
pub const PROCESSES_MAX: usize = 299;
/// Most memory that a run may take, MB.
pub const MEMORY_MAX_MB: usize = 8_000;

/// What one process has used since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    /// Processor time, user's and system's, s.
    pub cpu_s: f64,
    /// Resident memory, KiB.
    pub rss_kb: f64,
    /// Times that one of its threads waited and was woken.
    pub wakes: f64,
    /// Bytes that it had the system write to disk.
    pub written: f64,
}

/// Reads a process; nothing of it where it is gone.
#[must_use]
pub fn read(pid: u32) -> Reading {
    let (rss_kb, cpu_s, _) = probe::now(pid);
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let wakes = tasks.map(|t| value(&t.path().join("status"), "voluntary_ctxt_switches:")).sum();
    let written = value(Path::new(&format!("/proc/{pid}/io")), "write_bytes:");
    Reading { cpu_s, rss_kb, wakes, written }
}

fn value(file: &Path, name: &str) -> f64 {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with(name));
    line.and_then(|l| l.split_whitespace().nth(1)).and_then(|v| v.parse().ok()).unwrap_or(0.0)
}

/// Datagrams that the system has dropped for want of room in a socket's queue, by where the socket is.
#[must_use]
pub fn dropped() -> HashMap<SocketAddr, u64> {
    let table = std::fs::read_to_string("/proc/net/udp").unwrap_or_default();
    let row = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let (ip, port) = words.get(1)?.split_once(':')?;
        let ip = u32::from_str_radix(ip, 16).ok()?.to_le_bytes();
        let at = SocketAddr::from((ip, u16::from_str_radix(port, 16).ok()?));
        Some((at, words.last()?.parse().ok()?))
    };
    table.lines().skip(1).filter_map(row).collect()
}

/// Bytes of all files in a folder.
#[must_use]
pub fn on_disk(folder: &Path) -> u64 {
    let all = std::fs::read_dir(folder).into_iter().flatten().flatten();
    all.map(|f| match f.metadata() {
        Ok(m) if m.is_dir() => on_disk(&f.path()),
        Ok(m) => m.len(),
        Err(_) => 0,
    })
    .sum()
}

/// What a run needs of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Needs {
    /// Processes at a time.
    pub processes: usize,
    /// Descriptors of the process that has the most.
    pub descriptors: usize,
    /// Memory, MB.
    pub memory_mb: usize,
}

/// What a run is made of, as far as the machine is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Hollow nodes.
    pub hollow: usize,
    /// Hosts of hollow nodes.
    pub hosts: usize,
    /// Real processes: nodes and keepers.
    pub real: usize,
    /// Records of the configuration that all of them have.
    pub records: usize,
}

/// Why a run is not started.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "{hollow} hollow nodes in {hosts} hosts would need {need} {what}; {have} may be used; {fits} hollow nodes would fit"
)]
pub struct TooMuch {
    hollow: usize,
    hosts: usize,
    need: usize,
    what: &'static str,
    have: usize,
    fits: usize,
}

impl Size {
    /// What it needs. Each process has some 1.5 KB for a record, with a second version and what is on its way (measured: 50
    /// MB of a host with 36,300). A hollow node has some 100 KB of its own and a member's 0.5 KB for each other one (measured: 0.46 MB
    /// with 900), a real process under 40 MB; a link between two real ones takes six descriptors of the one that carries
    /// them all.
    #[must_use]
    pub fn needs(&self) -> Needs {
        let node_kb = 100 + (self.hollow + self.real) / 2;
        let each = self.hollow.div_ceil(self.hosts.max(1));
        Needs {
            processes: self.real + self.hosts + 1,
            descriptors: (each + 64).max(self.real * self.real * 6 + 512),
            memory_mb: self.hollow * node_kb / 1_000
                + self.real * 40
                + self.records * 3 / 2 * (self.hosts + self.real) / 1_000
                + 200,
        }
    }

    /// Whether the machine bears it.
    ///
    /// # Errors
    /// What there is too little of, and how many hollow nodes would fit.
    pub fn fits(&self, have: Needs) -> Result<(), TooMuch> {
        let lack = |size: &Size| {
            let need = size.needs();
            [
                (need.processes, have.processes, "processes"),
                (need.descriptors, have.descriptors, "descriptors in one process"),
                (need.memory_mb, have.memory_mb, "MB of memory"),
            ]
            .into_iter()
            .find(|(need, have, _)| need > have)
        };
        let Some((need, have, what)) = lack(self) else { return Ok(()) };
        let mut fits = self.hollow;
        while fits > 0 && lack(&Size { hollow: fits, ..*self }).is_some() {
            fits -= 1;
        }
        Err(TooMuch { hollow: self.hollow, hosts: self.hosts, need, what, have, fits })
    }
}

/// What may be used on this machine now.
#[must_use]
pub fn allowed() -> Needs {
    let files = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let free_mb = value(Path::new("/proc/meminfo"), "MemAvailable:") / 1_024.0;
    Needs {
        processes: PROCESSES_MAX,
        descriptors: files.map_or(usize::MAX, |n| usize::try_from(n).unwrap_or(usize::MAX)),
        memory_mb: MEMORY_MAX_MB.min(free_mb as usize),
    }
}
