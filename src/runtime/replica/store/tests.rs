use openraft::EntryPayload;

use super::*;
use crate::fleet::lease::ledger::LedgerEntry;

/// A replica that lags is sent at most [`protocol::ENTRIES_BYTES_MAX`] of entries in a call, but at least one entry however
/// large.
#[tokio::test]
async fn entries_of_one_call_are_limited_by_bytes() {
    let folder = std::env::temp_dir().join(format!("holdlift-store-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder is created");
    let mut store = LogStore::open(&folder).expect("the log store opens");
    let compressed_change = |bytes: usize| {
        postcard::from_bytes(&postcard::to_allocvec(&vec![7u8; bytes]).expect("a byte vector is encoded"))
    };
    let sizes = [
        100,
        protocol::ENTRIES_BYTES_MAX / 2,
        protocol::ENTRIES_BYTES_MAX / 2,
        3 * protocol::ENTRIES_BYTES_MAX,
        100,
        100,
    ];
    store
        .write(|log, _| {
            for (index, size) in sizes.iter().enumerate() {
                let entry: openraft::Entry<Raft> = openraft::Entry {
                    log_id: LogId::new(openraft::CommittedLeaderId::new(1, 1), index as u64),
                    payload: EntryPayload::Normal(LedgerEntry::ConfigChange(
                        compressed_change(*size).expect("a byte vector decodes as a compressed change"),
                    )),
                };
                log.insert(index as u64, &postcard::to_allocvec(&entry)?[..])?;
            }
            Ok(())
        })
        .expect("the entries are written");
    let mut from = 0;
    let mut entries_per_call = Vec::new();
    while from < sizes.len() as u64 {
        let entries = store.limited_get_log_entries(from, sizes.len() as u64).await.expect("the log is read");
        from += entries.len() as u64;
        entries_per_call.push(entries.len());
    }
    assert_eq!(entries_per_call, [2, 1, 1, 2]);
    assert_eq!(
        store.try_get_log_entries(0..6).await.expect("the log is read").len(),
        6,
        "a read without a limit returns all entries"
    );
    let _ = std::fs::remove_dir_all(&folder);
}

/// The database's cache is limited, so that writing and reading a large file does not load all of it into memory.
#[test]
fn memory_stays_bounded_while_a_large_file_is_written_and_read() {
    let folder = std::env::temp_dir().join(format!("holdlift-cache-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder is created");
    let resident_mb = || {
        let text = std::fs::read_to_string("/proc/self/statm").expect("/proc/self/statm is readable");
        let pages: usize = text
            .split(' ')
            .nth(1)
            .and_then(|pages| pages.parse().ok())
            .expect("statm has the resident pages as its second field");
        (pages * 4_096) >> 20
    };
    let store = LogStore::open(&folder).expect("the log store opens");
    let before = resident_mb();
    let bytes = vec![7u8; 32 << 10];
    for batch in 0..160u64 {
        let write = |log: &mut redb::Table<u64, &[u8]>| {
            (0..32).try_for_each(|i| log.insert(batch * 32 + i, &bytes[..]).map(drop))
        };
        store.write(|log, _| Ok(write(log)?)).expect("a batch of entries is written");
    }
    let read = store.0.begin_read().expect("a read transaction begins");
    let table = read.open_table(LOG).expect("the log table exists");
    let sum: usize = table
        .range::<u64>(..)
        .expect("the log is scanned")
        .map(|row| row.expect("each row is read").1.value().len())
        .sum();
    assert_eq!(sum, 160 << 20);
    let growth_mb = resident_mb().saturating_sub(before);
    // Tests that run in the same process may add to the growth.
    assert!(growth_mb < 80, "resident memory grew by {growth_mb} MB for a file of {} MB", sum >> 20);
    let _ = std::fs::remove_dir_all(&folder);
}
