//! Versions that the first nodes can't bear: they spread no further, the others stay with the last good one, and operators see
//! it and say how it goes on. Of six nodes one goes first.

use super::nodes::NODES;
use super::*;

/// Long enough that a first node which ends is killed well before it has lived with the version.
const SLOW: &str = "spread_ms = 300\nhold_ms = 4000\npatience_ms = 5000\n";
/// The same, and no node is lost for a while.
const PATIENT: &str = "spread_ms = 300\nhold_ms = 4000\npatience_ms = 20000\n";

impl Scene {
    async fn tried_nodes(seed: u64, catalog: &'static str) -> Scene {
        let s = Scene::tried(NODES, seed, catalog).await;
        s.found().await;
        s.all(&s.all_nodes(), 1).await;
        s
    }

    /// Waits until a node has that version in force; the first one that has.
    pub async fn one_with(&self, revision: u64) -> usize {
        let has = || self.all_nodes().into_iter().find(|i| self.past(*i).contains(&revision));
        self.until("one has it", async || has().is_some()).await;
        has().expect("it had it just now")
    }

    /// Waits until operators are told that a version is stopped; all that they are told.
    async fn stopped(&self, revision: u64) -> String {
        let mut last = String::new();
        self.until("it is stopped", async || {
            last = self.config(0, &["where"]).await.1;
            last.contains(&format!("stopped: version {revision} spreads no further"))
        })
        .await;
        last
    }

    /// Nodes that had a version in force or tried to.
    fn tried_by(&self, revision: u64) -> Vec<usize> {
        let refused = format!(" version {revision}: ");
        let tried =
            |i: &usize| self.past(*i).contains(&revision) || self.log(&format!("n{i}")).contains(&refused);
        self.all_nodes().into_iter().filter(tried).collect()
    }
}

/// A change that the keepers agree on and no node can work with, as its own file of tiers names a class that would be gone: the
/// first node keeps the last good one and says why, and no other is ever told of it; not by another leader, and not when it
/// starts. The next good one is in force everywhere.
#[tokio::test]
async fn a_version_that_the_first_nodes_refuse() {
    let mut s = Scene::with_nodes(59).await;
    let mut file = whole(&[("acme", 50.0), ("other", 0.0)]);
    file["classes"].as_array_mut().expect("a list").truncate(2);
    let path = s.file("poison.json", &file.to_string()).display().to_string();
    let (good, said) = s.config(0, &["apply", &path, "--base", "1"]).await;
    assert!(good && said.contains("class: 1 removed: book-job"), "{said}");
    let said = s.stopped(2).await;
    assert!(said.contains("can't have it: ") && said.contains("book-job"), "{said}");
    let first = s.tried_by(2);
    assert_eq!(first.len(), 1, "{first:?}");
    let (good, said) = s.config(0, &["where", "--wait", "60"]).await;
    assert!(!good && said.contains("version 2 is stopped"), "{said}");
    // Another leads, and a node starts.
    let leader = s.leader().expect("a leader");
    s.kill(leader);
    s.until("another leads", async || s.leader().is_some_and(|l| l != leader)).await;
    let cold = (first[0] + 1) % NODES;
    s.restart(cold);
    s.ready(cold).await;
    assert_eq!(s.version(cold).await["revision"], 1, "a node that starts has the last good one");
    let said = s.stopped(2).await;
    assert!(said.contains("the others stay with version 1"), "{said}");
    s.all(&s.all_nodes(), 1).await;
    assert_eq!(s.tried_by(2), first);
    let (good, said) = s.config(0, &["rollback", "1"]).await;
    assert!(good, "{said}");
    s.all(&s.all_nodes(), 3).await;
    let (good, said) = s.config(0, &["where", "--wait", "60"]).await;
    assert!(good && !said.contains("stopped:"), "{said}");
    s.until("it is known to be good", async || !s.config(0, &["where"]).await.1.contains("on trial:")).await;
    assert_eq!(s.tried_by(2), first);
}

/// The first node dies right after it has the version in force: the others never have it. Its next process starts with the last
/// good one. An operator who knows better lets it go on, and all have it.
#[tokio::test]
async fn a_version_that_the_first_nodes_die_of() {
    let mut s = Scene::tried_nodes(61, SLOW).await;
    assert_eq!(s.set(0, &[("acme", 6.0)]).await, Revision(2));
    let first = s.one_with(2).await;
    s.kill(first);
    let said = s.stopped(2).await;
    assert!(said.contains(&format!("n{first} has fallen silent with it")), "{said}");
    assert_eq!(s.tried_by(2), [first]);
    s.restart(first);
    s.ready(first).await;
    assert_eq!(s.version(first).await["revision"], 1, "it starts with the last good one");
    s.all(&s.all_nodes(), 1).await;
    let (good, said) = s.config(0, &["release", "3"]).await;
    assert!(!good && said.contains("there is no version 3"), "{said}");
    let (good, said) = s.config(0, &["release", "2", "--by", "north", "--note", "the rack was moved"]).await;
    assert!(good && said.contains("all nodes may have version 2"), "{said}");
    s.all(&s.all_nodes(), 2).await;
    let (good, said) = s.config(0, &["release", "2"]).await;
    assert!(!good && said.contains("already"), "{said}");
}

/// The same with a supervisor that starts it anew at once.
#[tokio::test]
async fn a_first_node_that_begins_anew() {
    let mut s = Scene::tried_nodes(62, SLOW).await;
    assert_eq!(s.set(0, &[("acme", 6.0)]).await, Revision(2));
    let first = s.one_with(2).await;
    s.restart(first);
    let said = s.stopped(2).await;
    assert!(said.contains(&format!("n{first} has ended with it and begun anew")), "{said}");
    assert_eq!(s.tried_by(2), [first]);
    s.all(&s.all_nodes(), 1).await;
}

/// The leading keeper is killed while a version is on trial: the next one tries it in its turn, and all have it.
#[tokio::test]
async fn the_leading_keeper_is_killed_during_a_trial() {
    let mut s = Scene::tried_nodes(63, PATIENT).await;
    assert_eq!(s.set(0, &[("acme", 6.0)]).await, Revision(2));
    s.one_with(2).await;
    let leader = s.leader().expect("a leader");
    s.kill(leader);
    assert!(s.tried_by(2).len() < NODES, "it was on trial still");
    s.all(&s.all_nodes(), 2).await;
    s.only_forward();
}

/// Back to the former version while a version is on trial: that is a third one, and who was not first never has the second.
#[tokio::test]
async fn a_rollback_during_a_trial() {
    let s = Scene::tried_nodes(64, PATIENT).await;
    assert_eq!(s.set(0, &[("acme", 6.0)]).await, Revision(2));
    let first = s.one_with(2).await;
    let (good, said) = s.config(0, &["rollback", "1"]).await;
    assert!(good && said.contains("version 3"), "{said}");
    s.all(&s.all_nodes(), 3).await;
    assert_eq!(s.tried_by(2), [first]);
    s.only_forward();
}

/// A first node has its notice to leave while a version is on trial: that is no harm, and another goes first.
#[tokio::test]
async fn a_first_node_leaves_during_a_trial() {
    let mut s = Scene::tried_nodes(65, SLOW).await;
    assert_eq!(s.set(0, &[("acme", 6.0)]).await, Revision(2));
    let first = s.one_with(2).await;
    s.leave(first).await;
    let others: Vec<usize> = s.all_nodes().into_iter().filter(|i| *i != first).collect();
    s.all(&others, 2).await;
    let (_, said) = s.config(0, &["where"]).await;
    assert!(!said.contains("stopped:"), "{said}");
}

/// A first node is replaced while a version is on trial, so that two processes have its name: that is no harm either.
#[tokio::test]
async fn a_first_node_is_replaced_during_a_trial() {
    let mut s = Scene::tried_nodes(66, SLOW).await;
    assert_eq!(s.set(0, &[("acme", 6.0)]).await, Revision(2));
    let first = s.one_with(2).await;
    s.replace(first).await;
    s.all(&s.all_nodes(), 2).await;
    let (_, said) = s.config(0, &["where"]).await;
    assert!(!said.contains("stopped:"), "{said}");
}
