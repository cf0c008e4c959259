use super::*;
use crate::fleet::book::Entry;

/// A call to a keeper that lacks much holds what fits it, and one entry at the least, however large.
#[tokio::test]
async fn entries_for_one_call_are_bounded() {
    let folder = std::env::temp_dir().join(format!("holdlift-store-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut disk = Disk::open(&folder).expect("a disk");
    let packed = |n: usize| postcard::from_bytes(&postcard::to_allocvec(&vec![7u8; n]).expect("bytes"));
    let sizes = [100, wire::ENTRIES_MAX / 2, wire::ENTRIES_MAX / 2, 3 * wire::ENTRIES_MAX, 100, 100];
    disk.write(|log, _| {
        for (i, size) in sizes.iter().enumerate() {
            let entry: openraft::Entry<Raft> = openraft::Entry {
                log_id: LogId::new(openraft::CommittedLeaderId::new(1, 1), i as u64),
                payload: EntryPayload::Normal(Entry::Change(packed(*size).expect("bytes"))),
            };
            log.insert(i as u64, &postcard::to_allocvec(&entry)?[..])?;
        }
        Ok(())
    })
    .expect("written");
    let mut from = 0;
    let mut calls = Vec::new();
    while from < sizes.len() as u64 {
        let entries = disk.limited_get_log_entries(from, sizes.len() as u64).await.expect("read");
        from += entries.len() as u64;
        calls.push(entries.len());
    }
    assert_eq!(calls, [2, 1, 1, 2]);
    assert_eq!(disk.try_get_log_entries(0..6).await.expect("read").len(), 6, "all, where all are asked for");
    let _ = std::fs::remove_dir_all(&folder);
}
