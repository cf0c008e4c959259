//! `holdlift config`: shows, changes and rolls back the configuration that the fleet's replicas store.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand};
use holdlift::config::fleet::Fleet;
use holdlift::config_store::{
    CanaryFailure, ChangeAuthor, ChangeError, ChangeSet, ConfigVersion, Record, RecordKind, Revision, diff,
    file_format,
};
use holdlift::runtime::replica::client::{ReplicaClient, ReplicaClientError, RolloutStatus, VersionSummary};
use serde_json::{Value, json};

use super::{CommandResult, GlobalOptions};

/// Limit on the record names printed for each kind of change.
const NAMES_MAX: usize = 6;
/// Interval between two queries of the rollout status.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Print the settings in force, each with its unit, default and source.
    Show,
    /// Have the fleet's classes and tenants be those of a file: the whole, as the platform's file has them.
    Apply(ApplyArgs),
    /// Print the last versions: number, digest, what they changed, by whom, when and why.
    History {
        /// So many at the most.
        #[arg(long, default_value_t = 20)]
        last: u32,
    },
    /// Have the records of a former version back, as a new version.
    Rollback {
        /// The former version.
        to: u64,
        #[command(flatten)]
        by: AuthorArgs,
    },
    /// Let a version go to all nodes that is stopped, or still on trial, whatever the first nodes have made of it.
    Release {
        /// The version.
        version: u64,
        #[command(flatten)]
        by: AuthorArgs,
    },
    /// Print how many nodes have which version in force, who lags, and which version is stopped and why.
    Where {
        /// As JSON.
        #[arg(long)]
        json: bool,
        /// Wait until no node lags, so many seconds at the most.
        #[arg(long, value_name = "SECONDS")]
        wait: Option<u64>,
    },
    /// Print the newest version as a file to change and to apply.
    Export,
}

#[derive(Args)]
pub struct AuthorArgs {
    /// Who makes the change; the system's user where none is given.
    #[arg(long, value_name = "NAME")]
    by: Option<String>,
    /// Why.
    #[arg(long, value_name = "TEXT", default_value = "")]
    note: String,
}

#[derive(Args)]
pub struct ApplyArgs {
    /// The file: JSON, all classes and tenants.
    file: PathBuf,
    /// The version that the file was made for; the file's own "revision" where none is given.
    #[arg(long, value_name = "NUMBER")]
    base: Option<u64>,
    /// Print what it would change, and change nothing.
    #[arg(long)]
    dry_run: bool,
    #[command(flatten)]
    by: AuthorArgs,
}

impl AuthorArgs {
    /// The author, note and current time, for the version history.
    fn change_author(&self) -> ChangeAuthor {
        let author = self.by.clone().or_else(|| std::env::var("USER").ok()).unwrap_or_default();
        let at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_secs());
        ChangeAuthor { author, note: self.note.clone(), at }
    }
}

pub fn run(options: &GlobalOptions, command: &ConfigCommand) -> CommandResult {
    let file = options.fleet.as_deref().ok_or("the fleet's configuration needs --fleet FILE")?;
    let fleet = Fleet::load(file, None)?;
    if fleet.catalog.is_none() {
        return Err(
            format!("{}: has no [catalog]: this fleet agrees on no configuration", file.display()).into()
        );
    }
    let client = ReplicaClient::new(&fleet);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        match command {
            ConfigCommand::Show => Ok(()),
            ConfigCommand::Apply(args) => apply(&client, args).await,
            ConfigCommand::History { last } => history(&client, *last).await,
            ConfigCommand::Rollback { to, by } => {
                let revision = client.rollback(Revision(*to), &by.change_author()).await?;
                println!("agreed: version {revision} has the records of version {to}");
                Ok(())
            }
            ConfigCommand::Release { version, by } => {
                let revision = client.release(Revision(*version), &by.change_author()).await?;
                println!("agreed: all nodes may have version {revision}");
                Ok(())
            }
            ConfigCommand::Where { json, wait } => print_rollout_status(&client, *json, *wait).await,
            ConfigCommand::Export => {
                println!("{}", serde_json::to_string_pretty(&export(&client.fetch_latest().await?))?);
                Ok(())
            }
        }
    })
}

/// The version that a file was made for, from its key "revision".
fn base_revision(text: &str) -> Option<Revision> {
    #[derive(serde::Deserialize)]
    struct RevisionField {
        revision: Option<u64>,
    }
    serde_json::from_str::<RevisionField>(text).ok()?.revision.map(Revision)
}

async fn apply(client: &ReplicaClient, args: &ApplyArgs) -> CommandResult {
    let name = args.file.display().to_string();
    let text = std::fs::read_to_string(&args.file).map_err(|e| format!("{name}: {e}"))?;
    let file = file_format::parse(&name, &text)?;
    let made_for = args.base.map(Revision).or_else(|| base_revision(&text));
    let current = client.fetch_latest().await?;
    let newest = current.revision();
    match made_for {
        Some(base) if base != newest => return Err(overtaken_error(client, base, newest).await.into()),
        None if newest != Revision::default() => {
            return Err(format!(
                "{name}: says no version that it was made for, and {newest} is the newest; right would be a file from \
                 `holdlift config export`, which says \"revision\", or --base {newest} where it has all of that version"
            )
            .into());
        }
        _ => {}
    }
    let change = match diff(&current, &file.records, &file.covered_kinds, args.by.change_author()) {
        Ok(change) => change,
        Err(ChangeError::Empty) => {
            println!("nothing to change: version {newest} has all of {name}");
            return Ok(());
        }
        Err(refused) => return Err(file.locate_error(&refused).into()),
    };
    print!("{}", change_summary(&current, &change));
    if args.dry_run {
        println!("not proposed; it would be version {}", change.resulting_revision());
        return Ok(());
    }
    match client.propose(&change).await {
        Ok(revision) => {
            println!("agreed: version {revision}, digest {}", change.digest);
            Ok(())
        }
        Err(ReplicaClientError::Refused(reason)) => {
            // Another change was agreed first, or the replicas reject this one.
            let newest = client.history(1).await.ok().and_then(|(rows, _)| rows.last().map(|r| r.revision));
            match newest.filter(|n| *n != change.base) {
                Some(newest) => Err(overtaken_error(client, change.base, newest).await.into()),
                None => Err(reason.into()),
            }
        }
        Err(error) => Err(error.into()),
    }
}

/// The error for a file that was made for a version that is no longer the newest.
async fn overtaken_error(client: &ReplicaClient, base: Revision, newest: Revision) -> String {
    let rows = client.history(64).await.map(|(rows, _)| rows).unwrap_or_default();
    let since: Vec<String> = rows
        .iter()
        .filter(|r| r.revision > base)
        .rev()
        .take(3)
        .map(|r| format!("version {} by {}", r.revision, author_label(&r.author)))
        .collect();
    let since = if since.is_empty() { String::new() } else { format!(": {}", since.join(", ")) };
    format!(
        "overtaken: made for version {base}, and {newest} is the newest{since}; nothing was changed; make the change again \
         on what `holdlift config export` prints"
    )
}

/// The author as printed, with a substitute for an empty name.
fn author_label(author: &str) -> &str {
    if author.is_empty() { "somebody" } else { author }
}

/// A change's counts and first record names, one line for each kind.
fn change_summary(current: &ConfigVersion, change: &ChangeSet) -> String {
    let mut names_by_change: BTreeMap<(RecordKind, &str), Vec<&str>> = BTreeMap::new();
    for record in &change.set {
        let what = if current.get(&record.key()).is_some() { "changed" } else { "new" };
        names_by_change.entry((record.kind(), what)).or_default().push(record.name().as_str());
    }
    for key in &change.remove {
        names_by_change.entry((key.kind, "removed")).or_default().push(key.name.as_str());
    }
    let mut text = String::new();
    for ((kind, what), names) in names_by_change {
        let first_names = names.iter().take(NAMES_MAX).copied().collect::<Vec<_>>().join(", ");
        let more = if names.len() > NAMES_MAX { ", ..." } else { "" };
        text += &format!("  {kind}: {} {what}: {first_names}{more}\n", names.len());
    }
    text
}

async fn history(client: &ReplicaClient, last: u32) -> CommandResult {
    let (rows, oldest) = client.history(last).await?;
    if rows.is_empty() {
        println!("no versions: the nodes' own files are in force");
        return Ok(());
    }
    for VersionSummary { revision, digest, set, removed, author, note, at } in rows {
        println!(
            "{revision:>6}  {digest}  {set:>5} set  {removed:>5} removed  at {at}  {}  {note}",
            author_label(&author)
        );
    }
    println!("`holdlift config rollback` can go back to version {oldest} and later");
    Ok(())
}

async fn print_rollout_status(client: &ReplicaClient, as_json: bool, wait: Option<u64>) -> CommandResult {
    let deadline = std::time::Instant::now() + Duration::from_secs(wait.unwrap_or(0));
    let all = loop {
        let all = client.rollout_status().await?;
        let nodes: u32 = all.counts.iter().map(|c| c.1).sum();
        let all_reached = all.lagging + all.waiting == 0 && nodes > 0;
        // A stopped rollout makes no progress, so the wait ends.
        if all_reached || is_halted(&all) || std::time::Instant::now() >= deadline {
            break all;
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
    };
    if as_json {
        println!("{}", serde_json::to_string_pretty(&all)?);
    } else {
        print!("{}", status_text(&all));
    }
    if wait.is_some() && is_halted(&all) {
        return Err(format!("version {} is stopped", all.newest).into());
    }
    if wait.is_some() && all.lagging + all.waiting > 0 {
        return Err(format!("{} nodes still lag, {} still wait", all.lagging, all.waiting).into());
    }
    Ok(())
}

/// Whether the rollout of the newest version is halted.
fn is_halted(all: &RolloutStatus) -> bool {
    all.halted.as_ref().is_some_and(|s| s.revision == all.newest)
}

/// The versions that are stopped or on trial, with the reasons.
fn held_versions(all: &RolloutStatus) -> String {
    let mut text = String::new();
    if let Some(s) = &all.halted {
        text += &format!(
            "stopped: version {} spreads no further; the others stay with version {}; `holdlift config release {}` lets \
             it go on, `apply` or `rollback` bring a later one\n",
            s.revision, all.released, s.revision
        );
        for (node, failure) in &s.failures {
            text += &match failure {
                CanaryFailure::Rejected(why) => format!("  {node} can't have it: {why}\n"),
                CanaryFailure::Unresponsive => format!("  {node} has fallen silent with it\n"),
                CanaryFailure::Restarted => format!("  {node} has ended with it and begun anew\n"),
            };
        }
    }
    if all.released < all.newest && !is_halted(all) {
        let first =
            if all.canary_nodes.is_empty() { "no node yet".to_owned() } else { all.canary_nodes.join(", ") };
        text += &format!(
            "on trial: version {} goes first to {first}; all others wait with version {}\n",
            all.newest, all.released
        );
    }
    text
}

/// The rollout status as text.
fn status_text(all: &RolloutStatus) -> String {
    let nodes: u32 = all.counts.iter().map(|c| c.1).sum();
    let agreed = all.agreed_ms.map_or(String::new(), |ms| format!(", agreed {:.1} s ago", ms as f64 / 1e3));
    let last = match all.last_reached_ms {
        Some(ms) if all.lagging + all.waiting == 0 => {
            format!("; the last had it after {:.2} s", ms as f64 / 1e3)
        }
        Some(ms) => format!("; the last of those that have it had it after {:.2} s", ms as f64 / 1e3),
        None => String::new(),
    };
    let mut text = format!("newest: version {}{agreed}; {nodes} nodes{last}\n", all.newest);
    for (revision, n) in &all.counts {
        text += &format!("  version {revision}: {n} nodes\n");
    }
    text += &held_versions(all);
    for l in &all.lagging_nodes {
        let why = l.refused.as_ref().map_or(String::new(), |(of, why)| format!("; can't have {of}: {why}"));
        let seen_s = l.last_seen_ms as f64 / 1e3;
        text += &format!("  lags: {} at version {}, heard {seen_s:.1} s ago{why}\n", l.name, l.revision);
    }
    let listed = u32::try_from(all.lagging_nodes.len()).unwrap_or(u32::MAX);
    if all.lagging > listed {
        text += &format!("  and {} more\n", all.lagging - listed);
    }
    for name in &all.diverged {
        text += &format!(
            "  {name} has another digest under that number: restart it, and report this to the maintainers\n"
        );
    }
    text
}

/// Converts a version into the JSON file that `apply` reads.
fn export(catalog: &ConfigVersion) -> Value {
    let (mut classes, mut calls, mut weights_without_call, mut accounts) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for record in catalog.records() {
        match record {
            Record::Class(c) => {
                let effect = match c.effect {
                    holdlift::Effect::Retryable => "retryable",
                    holdlift::Effect::Dedup => "dedup",
                    holdlift::Effect::Fragile => "fragile",
                };
                classes.push(json!({"name": c.name.as_str(), "effect": effect, "aim-us": c.latency_objective.0,
                    "aim-stretch": c.objective_stretch.get(), "deadline-us": c.deadline.0,
                    "late-worth": c.late_weight.get(), "points": c.weight.get(), "memory-span-us": c.repeat_window.0}));
                calls.push(c.may_call_dependencies);
                weights_without_call.push(c.weight_without_call.get());
            }
            Record::Tenant(t) => {
                accounts.push(json!({"name": t.name.as_str(), "quota-per-s": t.quota_per_s.get()}));
            }
            _ => {}
        }
    }
    json!({"revision": catalog.revision().0, "classes": classes, "accounts": accounts,
        "domain": {"class-calls": calls, "worth-without": weights_without_call}})
}
