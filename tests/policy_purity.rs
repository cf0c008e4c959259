//! The decision module stays a pure state machine: its source uses no I/O, reads no clock and draws no random numbers
//! from outside, so that the same events at the same times always give the same actions.

use std::fs;
use std::path::{Path, PathBuf};

const MAX_LINE_CHARS: usize = 110;

/// Paths that the decision module may use, besides its own modules and primitive types.
const ALLOWED_PATHS: [&str; 4] = ["std::collections", "std::mem", "crate::interface", "crate::request_state"];

const PRIMITIVE_TYPES: [&str; 7] = ["f64", "i64", "u8", "u32", "u64", "usize", "bool"];

/// Identifiers that may not occur in the code at all, also not in a path that the allowed ones lead to.
const FORBIDDEN_WORDS: [&str; 42] = [
    // I/O, processes and threads.
    "io",
    "fs",
    "net",
    "os",
    "env",
    "process",
    "thread",
    "tokio",
    "socket2",
    "rustix",
    "libc",
    "mio",
    "redb",
    "tracing",
    "log",
    "print",
    "println",
    "eprint",
    "eprintln",
    "dbg",
    // Clocks.
    "time",
    "Instant",
    "SystemTime",
    "UNIX_EPOCH",
    "now_utc",
    "now_local",
    "chrono",
    // Random numbers. The hash tables of std seed themselves from the operating system.
    "rand",
    "rng",
    "thread_rng",
    "getrandom",
    "fastrand",
    "OsRng",
    "RandomState",
    "HashMap",
    "HashSet",
    "hash_map",
    "hash_set",
    // Ways around the checks of this test.
    "extern",
    "include",
    "unsafe",
    "path",
];

fn policy_modules() -> Vec<PathBuf> {
    let folder = fs::read_dir("src/policy").expect("the folder of the decision module can be listed");
    folder.map(|entry| entry.expect("an entry of src/policy can be read").path()).collect()
}

fn source(file: &Path) -> String {
    fs::read_to_string(file).unwrap_or_else(|error| panic!("{}: {error}", file.display()))
}

/// The source without comment lines, and with type arguments (`sum::<f64>`) detached from paths.
fn code(file: &Path) -> String {
    let text = source(file);
    text.lines()
        .filter(|line| !line.trim_start().starts_with("//"))
        .collect::<Vec<_>>()
        .join("\n")
        .replace("::<", "<")
}

/// Identifiers and paths in order, each path with its `::`. `a::{b, c::d}` gives `a::`, `b` and `c::d`.
fn paths(code: &str) -> Vec<&str> {
    let is_path_char = |c: char| c.is_alphanumeric() || c == '_' || c == ':';
    code.split(|c| !is_path_char(c))
        .map(|word| word.trim_start_matches(':'))
        .map(|word| word.strip_suffix(':').filter(|rest| !rest.ends_with(':')).unwrap_or(word))
        .filter(|word| word.starts_with(|c: char| c.is_alphabetic() || c == '_'))
        .collect()
}

fn is_allowed_path(path: &str, own_modules: &[String], is_submodule: bool) -> bool {
    let segments: Vec<&str> = path.split("::").collect();
    let root = segments[0];
    let is_listed =
        ALLOWED_PATHS.iter().any(|allowed| path == *allowed || path.starts_with(&format!("{allowed}::")));
    // In mod.rs and request_state.rs `super` is the whole crate.
    let is_parent = root == "super" && is_submodule && segments.get(1) != Some(&"super");
    is_listed
        || is_parent
        || PRIMITIVE_TYPES.contains(&root)
        || own_modules.iter().any(|module| module == root)
}

/// Everything in a file that the decision module may not use.
fn violations(file: &Path, own_modules: &[String]) -> Vec<String> {
    let is_submodule = file.starts_with("src/policy") && !file.ends_with("mod.rs");
    let code = code(file);
    let mut found = Vec::new();
    let mut previous = "";
    for path in paths(&code) {
        let is_path = path.contains("::") || previous == "use";
        let starts_in_lower_case = path.starts_with(|c: char| c.is_lowercase() || c == '_');
        if is_path && starts_in_lower_case && !is_allowed_path(path, own_modules, is_submodule) {
            found.push(format!("{}: path {path}", file.display()));
        }
        for word in path.split("::").filter(|word| FORBIDDEN_WORDS.contains(word)) {
            found.push(format!("{}: {word}", file.display()));
        }
        previous = path;
    }
    found
}

#[test]
fn decision_module_uses_no_io_no_clock_and_no_outside_randomness() {
    let mut files = policy_modules();
    assert!(files.iter().any(|file| file.ends_with("mod.rs")), "src/policy/mod.rs is missing: {files:?}");
    let own_modules: Vec<String> =
        files.iter().filter_map(|file| Some(file.file_stem()?.to_str()?.to_owned())).collect();
    files.push(PathBuf::from("src/request_state.rs"));
    let found: Vec<String> = files.iter().flat_map(|file| violations(file, &own_modules)).collect();
    assert!(found.is_empty(), "the decision module must stay free of I/O, clocks and randomness: {found:#?}");
}

#[test]
fn lines_of_the_decision_module_have_at_most_110_characters() {
    for file in policy_modules() {
        for (index, line) in source(&file).lines().enumerate() {
            let length = line.chars().count();
            assert!(
                length <= MAX_LINE_CHARS,
                "{} line {} has {length} characters",
                file.display(),
                index + 1
            );
        }
    }
}
