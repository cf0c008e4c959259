//! Compatibility of stored data: a replica started on a copy of a data folder written by the build of commit b89e4bc serves the
//! same versions and can roll back to an old one.

use std::io::Read;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_holdlift");
const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/replica-b89e4bc");

/// A replica process on a copy of the fixture; dropping it kills the process and deletes its folder.
struct Replica {
    folder: PathBuf,
    child: Child,
}

impl Replica {
    fn start(name: &str) -> Replica {
        let folder = std::env::temp_dir().join(format!("holdlift-golden-{name}-{}", std::process::id()));
        let data = folder.join("data");
        std::fs::create_dir_all(&data).expect("the data folder can be created");
        let packed = std::fs::File::open(Path::new(FIXTURE).join("book.redb.gz"))
            .expect("the fixture's database can be opened");
        let mut bytes = Vec::new();
        flate2::read::GzDecoder::new(packed).read_to_end(&mut bytes).expect("the fixture's database unpacks");
        std::fs::write(data.join("book.redb"), bytes).expect("the database copy can be written");
        let port =
            TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port exists").port();
        let fleet = std::fs::read_to_string(Path::new(FIXTURE).join("fleet.toml"))
            .expect("the fixture's fleet file is readable");
        let fleet = fleet.replace("127.0.0.1:7501", &format!("127.0.0.1:{port}"));
        std::fs::write(folder.join("fleet.toml"), fleet).expect("the fleet file can be written");
        let log = std::fs::File::create(folder.join("log")).expect("the log file can be created");
        let mut command = Command::new(PROGRAM);
        command.args(["keeper", "k1", "--data"]).arg(&data).arg("--fleet").arg(folder.join("fleet.toml"));
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the replica process starts");
        Replica { folder, child }
    }

    /// Runs `holdlift config` and returns its standard output.
    fn run_config(&self, args: &[&str]) -> String {
        let mut command = Command::new(PROGRAM);
        command.arg("config").args(args).arg("--fleet").arg(self.folder.join("fleet.toml"));
        let output = command.output().expect("the config command runs");
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        assert!(
            output.status.success(),
            "{args:?}: {stdout}{}\nthe replica: {log}",
            String::from_utf8_lossy(&output.stderr)
        );
        stdout
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn fixture(name: &str) -> String {
    std::fs::read_to_string(Path::new(FIXTURE).join(name)).expect("the fixture's file is readable")
}

/// The history and the exported newest version are those that the build of that commit printed.
#[test]
fn a_replica_on_the_data_folder_of_an_older_build_serves_its_versions() {
    let replica = Replica::start("serves");
    assert_eq!(replica.run_config(&["history"]), fixture("history.txt"));
    assert_eq!(replica.run_config(&["export"]), fixture("export.txt"));
}

/// A rollback to version 2, which only the stored snapshot holds, becomes version 6 with the digest of version 2.
#[test]
fn a_replica_on_the_data_folder_of_an_older_build_rolls_back() {
    let replica = Replica::start("rollback");
    let stdout = replica.run_config(&["rollback", "2", "--by", "north", "--note", "golden"]);
    assert_eq!(stdout, "agreed: version 6 has the records of version 2\n");
    let rows = replica.run_config(&["history"]);
    let column = |row: usize, n: usize| rows.lines().nth(row).and_then(|r| r.split_whitespace().nth(n));
    assert_eq!((column(5, 0), column(1, 0)), (Some("6"), Some("2")), "{rows}");
    assert_eq!(column(5, 1), column(1, 1), "{rows}");
    let expected_rows = fixture("history.txt");
    for (row, expected) in rows.lines().zip(expected_rows.lines()).take(5) {
        assert_eq!(row, expected);
    }
}
