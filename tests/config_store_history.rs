//! Tests of encoded versions, of the bounded history that a replica keeps, and of operators' configuration files.

#[path = "config_store_model/records.rs"]
mod records;

use std::fmt::Write;

use holdlift::config_store::{
    AssemblyProgress, CHUNK_BYTES_MAX, CHUNK_RECORDS, ChangeError, ChangeSet, ChangesSince, ConfigVersion,
    DecodeError, ENDPOINTS_MAX, Endpoint, History, NAME_MAX, Record, RecordKey, RecordKind, RetentionPolicy,
    Revision, Snapshot, SnapshotAssembler, SnapshotWriter, VersionUnavailable, diff, file_format,
};
use holdlift::{Settings, TenantSettings};
use records::*;

fn unpack(snapshot: &Snapshot) -> ConfigVersion {
    let mut assembly = SnapshotAssembler::new();
    let mut last = None;
    for chunk in &snapshot.chunks {
        last = Some(assembly.add_chunk(chunk).expect("the data is intact"));
    }
    match last {
        Some(AssemblyProgress::Complete(all)) => *all,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_snapshot_is_split_into_bounded_chunks_and_reassembled() {
    let all = version_of(classes_and_tenants(1_300, 900));
    let snapshot = Snapshot::pack(&all);
    assert_eq!(snapshot.chunks.len(), 2_200usize.div_ceil(CHUNK_RECORDS));
    assert!(snapshot.chunks.iter().all(|c| c.len() <= CHUNK_BYTES_MAX));
    assert_eq!(unpack(&snapshot), all);
    // Changes applied while the snapshot is written chunk by chunk are not part of it.
    let (mut writer, mut now) = (SnapshotWriter::new(&all), all.clone());
    let stepped = loop {
        let change = ChangeSet::draft(&now, vec![tenant("late", now.revision().0 as f64)], vec![], author());
        now.apply(&change.expect("the change is valid for its base version"))
            .expect("a drafted change applies to its base version");
        if let Some(done) = writer.write_chunk() {
            break done;
        }
    };
    assert_eq!(stepped, snapshot);
    // A version without records is packed too.
    let mut emptied = version_of(vec![class("a", 1.0)]);
    let remove_all = ChangeSet::draft(&emptied, vec![], vec![key(RecordKind::Class, "a")], author())
        .expect("the change is valid for its base version");
    emptied.apply(&remove_all).expect("a drafted change applies to its base version");
    assert_eq!(unpack(&Snapshot::pack(&emptied)), emptied);
}

/// Records of the largest allowed size fit into chunks of bounded size.
#[test]
fn records_of_the_largest_size_fit_into_snapshot_chunks() {
    let long = |i: usize| format!("{i:03}{}", "x".repeat(NAME_MAX - 3));
    let tiers = (0..200).map(|i| {
        let at = |p: u16| Endpoint {
            address: (std::net::Ipv6Addr::LOCALHOST, 1_000 * p).into(),
            zone: Some(name(&long(usize::from(p)))),
        };
        let mut t = tier_record(&long(i), 1);
        t.endpoints = (0..ENDPOINTS_MAX as u16).map(at).collect();
        Record::Tier(Box::new(t))
    });
    let all = version_of(tiers.collect());
    let snapshot = Snapshot::pack(&all);
    assert!(snapshot.chunks.iter().all(|c| c.len() <= CHUNK_BYTES_MAX));
    assert_eq!(unpack(&snapshot), all);
}

/// A chunk that is damaged or not the next one is rejected without loss of the chunks before it; the right one is accepted
/// afterwards.
#[test]
fn damaged_or_out_of_order_chunks_are_rejected_without_losing_progress() {
    let all = version_of(classes_and_tenants(700, 900));
    let mut other = all.clone();
    let change = ChangeSet::draft(&all, vec![tenant("new", 1.0)], vec![], author())
        .expect("the change is valid for its base version");
    other.apply(&change).expect("a drafted change applies to its base version");
    let (chunks, others) = (Snapshot::pack(&all).chunks, Snapshot::pack(&other).chunks);
    assert_eq!(chunks.len(), 4);
    let mut assembly = SnapshotAssembler::new();
    assert_eq!(assembly.add_chunk(&chunks[1]), Err(DecodeError::OutOfOrder), "the first chunk comes first");
    for (i, chunk) in chunks.iter().enumerate() {
        let cut = &chunk[..chunk.len() - 1];
        assert_eq!(assembly.add_chunk(cut), Err(DecodeError::Checksum));
        assert_eq!(assembly.add_chunk(&chunk[..7]), Err(DecodeError::Length));
        if i > 0 {
            assert_eq!(
                assembly.add_chunk(&chunks[i - 1]),
                Err(DecodeError::OutOfOrder),
                "the chunk was added before"
            );
            assert_eq!(
                assembly.add_chunk(&others[i]),
                Err(DecodeError::OutOfOrder),
                "the chunk belongs to another version"
            );
            assert_eq!(assembly.revision(), Some(all.revision()));
        }
        match assembly.add_chunk(chunk) {
            Ok(AssemblyProgress::NextChunk(n)) => assert_eq!(n as usize, i + 1),
            Ok(AssemblyProgress::Complete(done)) => assert!(i == 3 && *done == all),
            Err(why) => panic!("{why}"),
        }
    }
}

/// Forged chunks with a valid checksum are rejected by the checks behind the checksum.
#[test]
fn forged_chunks_with_a_valid_checksum_are_rejected() {
    use flate2::write::DeflateEncoder;
    use std::io::Write;
    let all = version_of(classes_and_tenants(3, 0));
    let records: Vec<Record> = all.records().cloned().collect();
    let chunk =
        |records: &[Record], claimed_len: Option<u32>, padding: usize, digest: [u8; 32], magic: [u8; 4]| {
            let mut raw: Vec<u8> = Vec::new();
            for r in records {
                raw = postcard::to_extend(r, raw).expect("writing to memory succeeds");
            }
            raw.resize(raw.len() + padding, 0);
            let mut out = magic.to_vec();
            out.extend_from_slice(&1u64.to_be_bytes());
            out.extend_from_slice(&digest);
            out.extend_from_slice(&0u32.to_be_bytes());
            out.extend_from_slice(&claimed_len.unwrap_or(raw.len() as u32).to_be_bytes());
            let mut packer = DeflateEncoder::new(out, flate2::Compression::best());
            packer.write_all(&raw).expect("writing to memory succeeds");
            let body = packer.finish().expect("writing to memory succeeds");
            [&body[..], &blake3::hash(&body).as_bytes()[..8]].concat()
        };
    let (d, h) = (all.digest().to_bytes(), *b"hc\x01\x01");
    let assemble = |bytes: Vec<u8>| {
        SnapshotAssembler::new()
            .add_chunk(&bytes)
            .map(|p| matches!(p, AssemblyProgress::Complete(w) if *w == all))
    };
    assert_eq!(assemble(chunk(&records, None, 0, d, h)), Ok(true), "an unaltered chunk is accepted");
    let (mut reversed, twice) = (records.clone(), [&records[..1], &records[..1]].concat());
    reversed.reverse();
    let mut without_deadline = class_record("route-00000/v0", 1.0);
    without_deadline.deadline = holdlift::Micros(0);
    let tenants = [tenant("a", 1.0)];
    // The first unpacks to far more than the length it claims. The second is also truncated behind that point: a decoder that
    // reads to the end would report only the truncation.
    let bomb = chunk(&records, Some(100), 64 << 20, d, h);
    let truncated_bomb =
        [&bomb[..bomb.len() - 28], &blake3::hash(&bomb[..bomb.len() - 28]).as_bytes()[..8]].concat();
    let table = [
        (chunk(&records, None, 0, [0; 32], h), DecodeError::DigestMismatch),
        (chunk(&records[..2], None, 0, d, h), DecodeError::DigestMismatch),
        (chunk(&reversed, None, 0, d, h), DecodeError::InvalidVersion),
        (chunk(&twice, None, 0, d, h), DecodeError::InvalidVersion),
        (chunk(&[Record::Class(without_deadline)], None, 0, d, h), DecodeError::InvalidVersion),
        (chunk(&tenants, None, 0, d, h), DecodeError::InvalidVersion),
        (chunk(&records, None, 3, d, h), DecodeError::Malformed),
        (chunk(&records, Some(1), 0, d, h), DecodeError::UnpackedTooLarge),
        (chunk(&records, Some(9_000), 0, d, h), DecodeError::Malformed),
        (chunk(&records, Some(u32::MAX), 0, d, h), DecodeError::UnpackedTooLarge),
        (chunk(&records, Some(100), 64 << 20, d, h), DecodeError::UnpackedTooLarge),
        (truncated_bomb, DecodeError::UnpackedTooLarge),
        (chunk(&[], None, 0, d, *b"hc\x01\x00"), DecodeError::Malformed),
        (chunk(&records, None, 0, d, *b"hc\x02\x01"), DecodeError::UnknownFormat),
        (chunk(&records, None, 0, d, *b"hd\x01\x01"), DecodeError::UnknownFormat),
        (chunk(&records, None, 0, d, *b"hc\x01\x02"), DecodeError::UnknownFormat),
        (vec![0; CHUNK_BYTES_MAX + 1], DecodeError::Length),
    ];
    for (i, (bytes, why)) in table.into_iter().enumerate() {
        assert_eq!(assemble(bytes), Err(why), "row {i}");
    }
}

#[test]
fn a_history_is_bounded_and_serves_changes_since_retained_revisions() {
    let first = version_of(vec![class("a", 1.0)]);
    let mut history = History::new(first, RetentionPolicy { changes: 4, bytes: 100_000 });
    let mut versions = vec![history.newest().clone()];
    for n in 0..9 {
        let change =
            ChangeSet::draft(history.newest(), vec![class("a", f64::from(n) + 2.0)], vec![], author());
        history
            .apply(&change.expect("the records differ from the base version"))
            .expect("a drafted change applies to its base version");
        versions.push(history.newest().clone());
    }
    let (r, all) = (Revision, usize::MAX);
    assert_eq!((history.oldest().revision(), history.newest().revision()), (r(6), r(10)));
    for v in &versions {
        assert_eq!(history.version(v.revision()), Some(v).filter(|v| v.revision() >= r(6)));
    }
    assert_eq!((history.version(r(11)), history.version(r(0))), (None, None));
    assert_eq!(history.changes_since(r(10), r(10), all), ChangesSince::UpToDate);
    assert_eq!(history.changes_since(r(11), r(10), all), ChangesSince::Ahead);
    assert_eq!(history.changes_since(r(5), r(10), all), ChangesSince::SnapshotRequired);
    assert_eq!(
        history.changes_since(r(8), r(7), all),
        ChangesSince::UpToDate,
        "the approved revision is older than the reader's"
    );
    for (from, to, bytes, expected) in [
        (6, 10, all, &[7, 8, 9, 10][..]),
        (9, 10, all, &[10]),
        (9, 99, all, &[10]),
        (6, 8, all, &[7, 8]),
        (6, 10, 1, &[7]),
        (6, 10, 250, &[7, 8]),
    ] {
        let ChangesSince::Changes(encoded) = history.changes_since(r(from), r(to), bytes) else {
            panic!("{from} to {to}")
        };
        let changes: Vec<ChangeSet> =
            encoded.iter().map(|b| ChangeSet::decode(b).expect("the data is intact")).collect();
        let numbers: Vec<u64> = changes.iter().map(|c| c.resulting_revision().0).collect();
        assert_eq!(numbers, expected, "{from} to {to} in {bytes}");
        let mut at = history.version(r(from)).expect("the revision is retained").clone();
        changes
            .iter()
            .for_each(|c| _ = at.apply(c).expect("the change follows the version it is applied to"));
        assert_eq!(Some(&at), history.version(at.revision()));
    }
    // The retained changes rebuild the newest version from the oldest one.
    let mut rebuilt = History::new(history.oldest().clone(), RetentionPolicy::default());
    history
        .changes()
        .for_each(|c| _ = rebuilt.apply(c).expect("the change follows the version it is applied to"));
    assert_eq!(rebuilt.newest(), history.newest());
    // A rollback restores old records under a new revision.
    let back = history.draft_rollback(r(7), author()).expect("the revision is retained");
    assert_eq!((back.base, &back.set[..]), (r(10), &[class("a", 7.0)][..]));
    history.apply(&back).expect("a drafted change applies to its base version");
    assert_eq!(history.newest().revision(), r(11));
    assert!(history.newest().has_same_records(&versions[6]));
    assert_eq!(
        history.draft_rollback(r(11), author()),
        Err(VersionUnavailable::ChangeRejected(ChangeError::Empty))
    );
    let unknown = VersionUnavailable::NotRetained { requested: r(6), oldest: r(7), newest: r(11) };
    assert_eq!(history.draft_rollback(r(6), author()), Err(unknown));
    // The newest change is retained even if it exceeds the byte limit.
    let mut small = History::new(ConfigVersion::default(), RetentionPolicy { changes: 9, bytes: 10 });
    for n in 1..4 {
        let change = ChangeSet::draft(small.newest(), vec![class("a", f64::from(n))], vec![], author());
        small
            .apply(&change.expect("the records differ from the base version"))
            .expect("a drafted change applies to its base version");
        assert_eq!(small.changes().count(), 1);
    }
    // Of two changes drafted for the same base the second is rejected, and none of its records are applied.
    let change = |x| {
        ChangeSet::draft(small.newest(), vec![class("b", x)], vec![], author())
            .expect("the records differ from the base version")
    };
    let (first_change, second_change) = (change(1.0), change(2.0));
    small.apply(&first_change).expect("the first of the two changes applies");
    assert_eq!(small.apply(&second_change), Err(ChangeError::Outdated { base: r(3), in_force: r(4) }));
    assert_eq!(small.newest().get(&key(RecordKind::Class, "b")), Some(&class("b", 1.0)));
}

// ---- operators' configuration files ----

const FILE: &str = r#"{
  "domain": {
    "cores": 4, "memory-kb": 1000.0, "run-mem-factor": 2.0,
    "class-calls": [true, 0, 1.0], "worth-without": [0.5, 0.25]
  },
  "contract": {"cold-from": 0.5, "fall-multiple": 3.0},
  "classes": [
    {"name": "quote", "aim-us": 50000, "deadline-us": 400000, "late-worth": 0.25, "points": 3, "effect": "retryable"},
    {"name": "book", "aim-us": 80000.0, "aim-stretch": 1.5, "deadline-us": 900000, "points": 5,
     "effect": "dedup", "memory-span-us": 30000000},
    {"name": "audit", "aim-us": 1, "deadline-us": 2, "points": 0.5, "effect": "fragile", "late-worth": null}
  ],
  "accounts": [
    {"name": "acme", "quota-per-s": 20},
    {"name": "blue"}
  ]
}"#;

#[test]
fn a_configuration_file_parses_like_the_settings_file() {
    let settings = holdlift::settings::from_text(FILE).expect("the file is valid");
    let parsed = file_format::parse("ops.json", FILE).expect("the file is valid");
    let all = version_of(parsed.records.clone());
    let mut expected = settings.clone();
    expected.classes.sort_by(|a, b| a.name.cmp(&b.name));
    assert_eq!(all.settings(&settings), expected);
    let other = Settings {
        classes: Vec::new().into(),
        tenants: vec![TenantSettings { name: "of the file".to_owned(), quota_per_s: 1.0 }].into(),
        ..settings.clone()
    };
    assert_eq!(all.settings(&other), expected, "the version replaces the file's own classes and tenants");
    assert_eq!(
        ConfigVersion::default().settings(&other),
        other,
        "without classes in the version the file's own apply"
    );
    let lines: Vec<usize> = parsed.records.iter().map(|r| parsed.lines[&r.key()]).collect();
    assert_eq!(lines, [8, 9, 11, 14, 15]);
    // The platform's configuration file nests the same settings under `settings`.
    let platform = format!("{{\n \"name\": \"n1\",\n \"settings\": {FILE}\n}}");
    let nested = file_format::parse("p.json", &platform).expect("the file is valid");
    assert_eq!(nested.records, parsed.records);
    assert_eq!(nested.lines[&key(RecordKind::Tenant, "blue")], 17);
    // Record kinds that the file covers are replaced; all others stay.
    let mut now = all.clone();
    let more = vec![tier("rates", 7001), tenant("old", 1.0)];
    now.apply(
        &ChangeSet::draft(&now, more, vec![], author()).expect("the change is valid for its base version"),
    )
    .expect("a drafted change applies to its base version");
    let change = diff(&now, &parsed.records, &parsed.covered_kinds, author())
        .expect("the records differ from the base version");
    assert_eq!((&change.set[..], &change.remove[..]), (&[][..], &[key(RecordKind::Tenant, "old")][..]));
    assert_eq!(diff(&all, &parsed.records, &parsed.covered_kinds, author()), Err(ChangeError::Empty));
    // A file without a list of tenants removes none.
    let without_tenants = file_format::parse("ops.json", &FILE.replacen("\"accounts\"", "\"others\"", 1))
        .expect("the file is valid");
    assert_eq!(
        diff(&all, &without_tenants.records, &without_tenants.covered_kinds, author()),
        Err(ChangeError::Empty)
    );
}

#[test]
fn errors_in_a_file_name_the_line_and_the_cause() {
    let cases = [
        ("\"points\": 3,", "\"points\": \"3\","),
        ("\"points\": 3,", ""),
        ("\"points\": 3,", "\"points\": -3,"),
        ("\"points\": 3,", "\"points\": 1e15,"),
        ("\"effect\": \"dedup\"", "\"effect\": \"dedupe\""),
        ("\"deadline-us\": 900000", "\"deadline-us\": 0"),
        ("\"aim-us\": 80000.0", "\"aim-us\": -1"),
        ("\"name\": \"audit\"", "\"name\": \"book\""),
        ("\"name\": \"audit\"", "\"name\": \"\""),
        ("\"quota-per-s\": 20", "\"quota-per-s\": -20"),
        ("\"quota-per-s\": 20", "\"quota-per-s\": \"many\""),
        ("\"quota-per-s\": 20", "\"quota-per-s\": 20 20"),
        ("{\"name\": \"blue\"}", "7"),
        ("\"classes\"", "\"routes\""),
        ("\"accounts\": [", "\"accounts\": {"),
    ];
    let mut seen = String::new();
    for (from, to) in cases {
        assert!(FILE.contains(from), "{from}");
        let error = file_format::parse("ops.json", &FILE.replacen(from, to, 1)).expect_err(to);
        writeln!(seen, "{to}: {error}").expect("writing to memory succeeds");
    }
    insta::assert_snapshot!("what_is_wrong_is_said_with_its_line", seen);
}

/// The error of a rejected change is located at the line of the file that caused it, or at line 1 if the record is not in it.
#[test]
fn a_rejected_change_is_located_in_its_file() {
    let parsed = file_format::parse("ops.json", FILE).expect("the file is valid");
    let mut now = version_of(parsed.records.clone());
    let quota = budget("acme-quota", holdlift::config_store::BudgetScope::Tenant(name("acme")), 20);
    now.apply(
        &ChangeSet::draft(&now, vec![quota], vec![], author())
            .expect("the change is valid for its base version"),
    )
    .expect("a drafted change applies to its base version");
    let without_acme = FILE.replacen("{\"name\": \"acme\", \"quota-per-s\": 20},", "", 1);
    let without_acme = file_format::parse("ops.json", &without_acme).expect("the file is valid");
    let refused = diff(&now, &without_acme.records, &without_acme.covered_kinds, author())
        .expect_err("a tenant with a budget cannot be removed");
    assert!(matches!(
        &refused,
        ChangeError::StillReferenced { key: RecordKey { kind: RecordKind::Tenant, .. }, references: 1 }
    ));
    assert_eq!(without_acme.locate_error(&refused).line, 1, "the record is not in the file");
    let twice = ChangeError::DuplicateRecord(key(RecordKind::Class, "book"));
    assert_eq!(parsed.locate_error(&twice).to_string(), "ops.json:9: class \"book\" is in the change twice");
}
