//! A node whose clock is stepped and whose system calls fail while it serves. The faults come from a preloaded library, so the
//! program is the one that runs anywhere, and what is promised is seen from outside.

mod calls;
mod clock;

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::mpsc;

use holdlift_lab::*;
use serde_json::{Value, json};

/// A deployment with deadlines of 2 s, whose class `book-job` is keyed with a window of 3 s.
fn deployment() -> Value {
    let mut settings = settings(2, 1_900, 2_000);
    settings["classes"][2]["effect"] = json!("dedup");
    settings["classes"][2]["memory-span-us"] = json!(3_000_000);
    settings
}

/// What the agent of a test does with a launch.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Runs {
    /// It ends well at once.
    End,
    /// It never ends.
    Never,
}

/// An agent that takes each launch and tells of it.
fn agent(mut link: ScriptedLink, runs: Runs) -> mpsc::UnboundedReceiver<String> {
    let (launches, seen) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut notices = 0;
        while let Some(command) = link.command().await {
            let words: Vec<&str> = command.split(' ').collect();
            let ["launch", name, ..] = words[..] else { continue };
            notices += 1;
            if runs == Runs::End {
                link.say(&format!("outcome {notices} {name} ok 3.5 4\r\ndone\r\n")).await;
            }
            let _ = launches.send(name.to_owned());
        }
    });
    seen
}

/// A node over a shim, its link to an agent that a test speaks for, and where that agent listens.
async fn started() -> (Arc<Shim>, Node, ScriptedLink, TcpListener) {
    let shim = Arc::new(Shim::new());
    let (agents, agent) = bind().await;
    let setup =
        Setup { settings: deployment(), agent: Some(agent), shim: Some(shim.clone()), ..Setup::default() };
    let starting = tokio::spawn(setup.start());
    let mut link = ScriptedLink::accept(&agents).await;
    link.greet("").await;
    (shim, starting.await.expect("started"), link, agents)
}
