//! Faults under a node: the control file of the preloaded `holdlift-shim`, written while the process runs.

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Numbers in the control file, as the shim has them.
const SLOTS: usize = 32;
const SLOT: usize = size_of::<i64>();

/// A fault that is none: the call does its work on one byte.
pub const SHORT: i64 = -1;

/// A call that can be made to fail, at the place that the shim gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Accept = 1,
    Connect,
    Socket,
    Recv,
    Send,
    EpollWait,
    Sync,
}

/// The faults of one process, and of those that it is started with.
pub struct Shim {
    path: PathBuf,
    file: File,
}

impl Shim {
    /// None yet.
    pub fn new() -> Shim {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let n = COUNT.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("holdlift-shim-{}-{n}", std::process::id()));
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&path);
        let file = file.expect("a control file");
        file.set_len((SLOTS * SLOT) as u64).expect("room");
        Shim { path, file }
    }

    /// The library, where the tests are built.
    ///
    /// # Panics
    /// It is not there.
    pub(crate) fn library() -> PathBuf {
        let here = std::env::current_exe().expect("a program");
        let folders = here.ancestors().skip(1).take(2);
        let library = folders.flat_map(|dir| [dir.to_owned(), dir.join("deps")]);
        let found = library.map(|dir| dir.join("libholdlift_shim.so")).find(|p| p.is_file());
        found.expect("the shim is built")
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    fn set(&self, slot: usize, value: i64) {
        self.file.write_all_at(&value.to_ne_bytes(), (slot * SLOT) as u64).expect("written");
    }

    fn get(&self, slot: usize) -> i64 {
        let mut bytes = [0; SLOT];
        self.file.read_exact_at(&mut bytes, (slot * SLOT) as u64).expect("read");
        i64::from_ne_bytes(bytes)
    }

    /// The wall clock is ahead of the machine's by this, ms.
    pub fn step_clock(&self, ms: i64) {
        self.set(0, ms * 1_000);
    }

    /// The next so many of these calls fail with that error number, or do their work on one byte ([`SHORT`]).
    pub fn fail(&self, call: Call, fault: i64, times: i64) {
        self.set(2 * call as usize, fault);
        self.set(2 * call as usize + 1, times);
    }

    /// How many of them are still to fail.
    pub fn left(&self, call: Call) -> i64 {
        self.get(2 * call as usize + 1)
    }
}

impl Default for Shim {
    fn default() -> Self {
        Shim::new()
    }
}

impl Drop for Shim {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
