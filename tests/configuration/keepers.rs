//! Tests of what the replicas agree on and store, and of what the commands and the client report to operators.

use holdlift_lab::rig::net::Fault;

use super::*;

/// A change is applied, listed and rolled back, and it is still listed after all replicas have been killed and restarted.
#[tokio::test]
async fn an_agreed_change_is_listed_and_survives_a_restart_of_all_replicas() {
    let mut cluster = Cluster::start(1, 41).await;
    cluster.apply_first_version().await;
    let again = cluster.file("again.json", &config_file(&[("acme", 50.0), ("other", 0.0)]).to_string());
    let again = again.display().to_string();
    let (success, output) = cluster.config(0, &["apply", &again, "--base", "1"]).await;
    assert!(success && output.contains("nothing to change"), "{output}");
    let next = cluster.file("next.json", &config_file(&[("acme", 20.0), ("third", 5.0)]).to_string());
    let next = next.display().to_string();
    let (success, output) = cluster.config(0, &["apply", &next, "--base", "1", "--dry-run"]).await;
    assert!(
        success && output.contains("tenant: 1 changed: acme") && output.contains("1 removed: other"),
        "{output}"
    );
    assert_eq!(cluster.history(0).await.len(), 1, "a dry run changes nothing");
    let (success, output) =
        cluster.config(0, &["apply", &next, "--base", "1", "--by", "south", "--note", "less"]).await;
    assert!(success && output.contains("agreed: version 2"), "{output}");
    let before = cluster.history(0).await;
    for k in cluster.keepers() {
        cluster.kill(k);
    }
    for k in cluster.keepers() {
        cluster.restart(k);
    }
    let after = cluster.history(0).await;
    assert_eq!(after, before);
    assert_eq!((after[1].author.as_str(), after[1].note.as_str(), after[1].set), ("south", "less", 2));
    let (success, output) = cluster.config(0, &["rollback", "1", "--by", "north"]).await;
    assert!(success && output.contains("version 3 has the records of version 1"), "{output}");
    let rows = cluster.history(0).await;
    assert_eq!(revision_numbers(&rows), [1, 2, 3]);
    assert_eq!(rows[2].digest, rows[0].digest, "the rolled-back version has the digest of version 1");
    let (_, output) = cluster.config(0, &["history"]).await;
    assert!(output.contains("south") && output.contains("less"), "{output}");
    let (success, output) = cluster.config(0, &["rollback", "9"]).await;
    assert!(!success && output.contains("not kept"), "{output}");
}

/// of two operators who edit the same version, the second is told the author of the first change, and nothing of the second
/// change is applied. A file without a base version is rejected with a request for `--base`.
#[tokio::test]
async fn the_second_of_two_changes_for_one_base_is_rejected() {
    let cluster = Cluster::start(1, 42).await;
    cluster.apply_first_version().await;
    let (success, exported) = cluster.config(0, &["export"]).await;
    let exported = exported.split_once('{').map(|(_, rest)| format!("{{{rest}")).unwrap_or_default();
    let exported: Value = serde_json::from_str(&exported).expect("the text is valid JSON");
    assert!(success && exported["revision"] == 1);
    let edited_file = |q: f64| {
        let mut file = exported.clone();
        file["accounts"][0]["quota-per-s"] = q.into();
        cluster.file(&format!("{q}.json"), &file.to_string()).display().to_string()
    };
    let (success, output) = cluster.config(0, &["apply", &edited_file(10.0), "--by", "north"]).await;
    assert!(success && output.contains("agreed: version 2"), "{output}");
    let (success, output) = cluster.config(0, &["apply", &edited_file(11.0), "--by", "south"]).await;
    assert!(!success && output.contains("overtaken") && output.contains("version 2 by north"), "{output}");
    let bare = cluster.file("bare.json", &config_file(&[("acme", 1.0)]).to_string()).display().to_string();
    let (success, output) = cluster.config(0, &["apply", &bare]).await;
    assert!(!success && output.contains("--base 2"), "{output}");
    // Both propose at the same time, each on the version that was the newest when it was fetched.
    let (a, b) = (cluster.operator(0), cluster.operator(0));
    let now = a.fetch_latest().await.expect("the newest version can be fetched");
    let (first, second) = (quota_change(&now, &[("acme", 30.0)]), quota_change(&now, &[("acme", 31.0)]));
    let (first, second) = tokio::join!(a.propose(&first), b.propose(&second));
    let lost = match (first, second) {
        (Ok(Revision(3)), Err(lost)) | (Err(lost), Ok(Revision(3))) => lost,
        other => panic!("exactly one of the two changes is agreed: {other:?}"),
    };
    assert!(matches!(lost, ReplicaClientError::Refused(_)), "{lost}");
    assert_eq!(revision_numbers(&cluster.history(0).await), [1, 2, 3]);
}

/// The leading replica is killed after a change is agreed and before it replies: the change is stored once, the operator's call
/// reports an unknown outcome, and proposing the same change again is refused.
#[tokio::test]
async fn a_change_whose_leader_dies_before_replying_is_stored_once_and_reported_unknown() {
    let mut cluster = Cluster::start(2, 43).await;
    cluster.apply_first_version().await;
    let leader = cluster.leader().expect("a replica leads");
    let client = cluster.operator(0);
    let now = client.fetch_latest().await.expect("the newest version can be fetched");
    let change = quota_change(&now, &[("acme", 7.0)]);
    // Requests still reach the leader; its replies are lost.
    cluster.net.one_way(&[leader], &[0], Fault::CUT);
    let proposed = change.clone();
    let proposing = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the Tokio runtime builds");
        runtime.block_on(client.propose(&proposed))
    });
    cluster
        .until("all replicas log version 2", async || {
            cluster
                .keepers()
                .iter()
                .filter(|k| cluster.log(&cluster.procs[**k].name).contains("version 2"))
                .count()
                == 3
        })
        .await;
    cluster.kill(leader);
    let outcome =
        tokio::task::spawn_blocking(|| proposing.join().expect("the proposing thread does not panic"))
            .await
            .expect("the blocking task completes");
    cluster.net.heal();
    assert!(matches!(outcome, Err(ReplicaClientError::Unknown)), "{outcome:?}");
    assert_eq!(revision_numbers(&cluster.history(0).await), [1, 2]);
    let other = cluster.operator(0);
    assert_eq!(
        other.fetch_latest().await.expect("the newest version can be fetched").revision(),
        Revision(2)
    );
    let again = other.propose(&change).await;
    assert!(matches!(again, Err(ReplicaClientError::Refused(_))), "{again:?}");
    cluster.restart(leader);
    assert_eq!(cluster.set_quotas(0, &[("acme", 8.0)]).await, Revision(3));
    assert_eq!(revision_numbers(&cluster.history(1).await), [1, 2, 3]);
}

/// Changes with a wrong base, a wrong digest or a record to remove that does not exist are refused with the reason and alter
/// nothing. Errors in a file are reported with the line.
#[tokio::test]
async fn invalid_changes_and_files_are_rejected_with_the_reason() {
    let cluster = Cluster::start(1, 44).await;
    cluster.apply_first_version().await;
    let client = cluster.operator(0);
    let now = client.fetch_latest().await.expect("the newest version can be fetched");
    let valid = quota_change(&now, &[("acme", 1.0)]);
    let gap = ChangeSet { base: Revision(7), ..valid.clone() };
    let old = ChangeSet { base: Revision(0), ..valid.clone() };
    let other = ChangeSet { digest: quota_change(&now, &[("acme", 2.0)]).digest, ..valid.clone() };
    let absent = ChangeSet {
        remove: vec![tenant_record("missing", 0.0).key()],
        ..ChangeSet { set: Vec::new(), ..valid.clone() }
    };
    let cases = [(gap, "missing"), (old, "in force already"), (other, "digest"), (absent, "not there")];
    for (change, reason) in cases {
        let output = client.propose(&change).await.expect_err(reason).to_string();
        assert!(output.contains(reason), "{output}");
    }
    assert_eq!(
        client.fetch_latest().await.expect("the newest version can be fetched"),
        now,
        "nothing has changed"
    );
    let files: [(&str, &str); 3] = [
        ("\"deadline-us\":3000000", "\"deadline-us\":0"),
        ("\"effect\":\"fragile\"", "\"effect\":\"brittle\""),
        ("\"quota-per-s\":50.0", "\"quota-per-s\":-1.0"),
    ];
    let text = serde_json::to_string_pretty(&config_file(&[("acme", 50.0)]))
        .expect("the text is valid JSON")
        .replace("\": ", "\":");
    for (from, to) in files {
        assert!(text.contains(from), "{from}");
        let bad = text.replacen(from, to, 1);
        let at = bad.lines().position(|l| l.contains(to)).expect("the replaced text is in the file") + 1;
        let path = cluster.file("bad.json", &bad).display().to_string();
        let (success, output) = cluster.config(0, &["apply", &path, "--base", "1"]).await;
        // The reported line is the start of the record, at most 12 lines above the error.
        let line = output.split("bad.json:").nth(1).and_then(|l| l.split(':').next()?.parse::<usize>().ok());
        assert!(!success && line.is_some_and(|l| l <= at && at - l <= 12), "{to}: {output}");
    }
    assert_eq!(revision_numbers(&cluster.history(0).await), [1]);
}

/// Without a majority of replicas a proposal is not reported as agreed; once the majority is back, changes are agreed again.
#[tokio::test]
async fn without_a_replica_majority_no_change_is_reported_as_agreed() {
    let mut cluster = Cluster::start(1, 45).await;
    cluster.apply_first_version().await;
    let now = cluster.operator(0).fetch_latest().await.expect("the newest version can be fetched");
    let leader = cluster.leader().expect("a replica leads");
    let others: Vec<usize> = cluster.keepers().into_iter().filter(|k| *k != leader).collect();
    others.iter().for_each(|k| cluster.kill(*k));
    let outcome = cluster.operator(0).propose(&quota_change(&now, &[("acme", 3.0)])).await;
    assert!(
        matches!(
            outcome,
            Err(ReplicaClientError::Refused(_)
                | ReplicaClientError::NoLeader(_)
                | ReplicaClientError::Unknown)
        ),
        "{outcome:?}"
    );
    others.iter().for_each(|k| cluster.restart(*k));
    let rows = cluster.history(0).await;
    // The change may have become a version only if its outcome was reported as unknown.
    assert!(
        revision_numbers(&rows) == [1] || matches!(outcome, Err(ReplicaClientError::Unknown)),
        "{outcome:?} {rows:?}"
    );
    let before = rows.len() as u64;
    assert_eq!(cluster.set_quotas(0, &[("acme", 4.0)]).await, Revision(before + 1));
}

/// A replica is down during one change of 5,000 records and a hundred small ones. After it has caught up it serves the newest
/// version, with only the one other replica that a majority needs.
#[tokio::test]
async fn a_replica_that_missed_many_changes_catches_up() {
    let mut cluster = Cluster::start(1, 46).await;
    cluster.apply_first_version().await;
    let leader = cluster.leader().expect("a replica leads");
    let absent = cluster.keepers().into_iter().find(|k| *k != leader).expect("another replica exists");
    cluster.kill(absent);
    let names: Vec<String> = (0..5_000).map(|n| format!("tenant-{n}")).collect();
    let many: Vec<(&str, f64)> = names.iter().map(|n| (n.as_str(), 5.0)).collect();
    assert_eq!(cluster.set_quotas(0, &many).await, Revision(2));
    let client = cluster.operator(0);
    let mut now = client.fetch_latest().await.expect("the newest version can be fetched");
    for n in 0..100u32 {
        let change = quota_change(&now, &[("acme", f64::from(n))]);
        assert_eq!(client.propose(&change).await.expect("the change is agreed"), Revision(u64::from(n) + 3));
        now.apply(&change).expect("the change applies to the version it was drafted for");
    }
    cluster.restart(absent);
    // The former leader is killed and restarted and the third replica stays down, so the majority needs this one.
    let third =
        cluster.keepers().into_iter().find(|k| *k != leader && *k != absent).expect("a third replica exists");
    cluster
        .until("the replica has caught up", async || {
            cluster.log(&cluster.procs[absent].name).contains("version 102")
        })
        .await;
    cluster.kill(third);
    cluster.kill(leader);
    cluster.restart(leader);
    let newest = cluster.operator(0).fetch_latest().await.expect("the newest version can be fetched");
    assert_eq!((newest.revision(), newest.digest()), (Revision(102), now.digest()));
    assert_eq!(newest.len(), now.len());
}
