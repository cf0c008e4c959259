//! What a version, a change and a snapshot cost, by the number of records: one, two, three and four quarters of 8,300 classes
//! and 28,000 tenants.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use holdlift::config_store::{
    AssemblyProgress, ChangeAuthor, ChangeSet, ConfigVersion, Record, Snapshot, SnapshotAssembler,
};
use holdlift::{Micros, Settings};

#[path = "../tests/config_store_model/records.rs"]
mod records;

const WHOLE: (usize, usize) = (8_300, 28_000);
const QUARTERS: [usize; 4] = [1, 2, 3, 4];

fn drafted(of: &ConfigVersion, set: Vec<Record>) -> ChangeSet {
    ChangeSet::draft(of, set, Vec::new(), ChangeAuthor::default()).expect("differs")
}

/// Resident memory of this process, KB.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Sizes, which are no times: memory of one version, of a second one, and bytes of snapshots and changes.
fn sizes() {
    for part in QUARTERS {
        let (classes, tenants) = (WHOLE.0 * part / 4, WHOLE.1 * part / 4);
        let records = records::classes_and_tenants(classes, tenants);
        let before = resident();
        let one = records::version_of(records);
        let after = resident();
        let (mut two, mut n) = (one.clone(), 0);
        while n < 1_000 {
            let change = drafted(&two, vec![records::tenant("tenant-000007", 1e6 + f64::from(n))]);
            two.apply(&change).expect("as drafted");
            n += 1;
        }
        let snapshot = Snapshot::pack(&one);
        let change =
            drafted(&one, vec![records::tenant("tenant-000007", 1.5)]).encode().expect("small").len();
        let many: Vec<Record> =
            (0..5_000).map(|i| records::tenant(&format!("tenant-{i:06x}"), 1.5)).collect();
        let large = drafted(&one, many).encode().expect("small").len();
        println!(
            "{classes} classes + {tenants} tenants: {} KB resident for one version more, snapshot {} B in {} chunks, \
             a change of one record {change} B, of 5,000 {large} B",
            after.saturating_sub(before),
            snapshot.encoded_bytes(),
            snapshot.chunks.len(),
        );
        black_box((&one, &two));
    }
}

fn costs(c: &mut Criterion) {
    sizes();
    let mut group = c.benchmark_group("catalog");
    group
        .sample_size(10)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(800));
    for part in QUARTERS {
        let (classes, tenants) = (WHOLE.0 * part / 4, WHOLE.1 * part / 4);
        let all = records::version_of(records::classes_and_tenants(classes, tenants));
        let base = Settings { cores: 4, min_batch_gap: Micros(1), ..Settings::default() };
        let one = drafted(&all, vec![records::tenant("tenant-000007", 1.5)]);
        let many = (0..5_000).map(|i| records::tenant(&format!("tenant-{i:06x}"), 1.5));
        let many = drafted(&all, many.collect());
        let id = |what| BenchmarkId::new(what, classes + tenants);
        for (what, change) in [("apply 1 record", &one), ("apply 5000 records", &many)] {
            group.bench_function(id(what), |b| {
                b.iter_batched(|| all.clone(), |mut a| a.apply(change).map(|_| a), BatchSize::SmallInput);
            });
        }
        group.bench_function(id("settings"), |b| b.iter(|| black_box(all.settings(&base))));
        group.bench_function(id("snapshot, pack"), |b| b.iter(|| black_box(Snapshot::pack(&all))));
        let snapshot = Snapshot::pack(&all);
        group.bench_function(id("snapshot, take"), |b| {
            b.iter(|| {
                let mut assembly = SnapshotAssembler::new();
                for chunk in &snapshot.chunks {
                    if let AssemblyProgress::Complete(all) = assembly.add_chunk(chunk).expect("whole") {
                        black_box(all);
                    }
                }
            });
        });
        group.bench_function(id("snapshot, take one chunk"), |b| {
            b.iter(|| black_box(SnapshotAssembler::new().add_chunk(&snapshot.chunks[0]).expect("whole")));
        });
    }
    group.finish();
}

criterion_group!(benches, costs);
criterion_main!(benches);
