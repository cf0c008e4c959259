//! A node whose wall clock is stepped and whose system calls fail while it serves. A preloaded library injects the faults, so the
//! tests run the unmodified program and observe it from outside.

mod calls;
mod clock;

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::mpsc;

use holdlift_lab::*;
use serde_json::{Value, json};

/// Settings with deadlines of 2 s, in which the class `book-job` is keyed with a window of 3 s.
fn keyed_settings() -> Value {
    let mut settings = settings(2, 1_900, 2_000);
    settings["classes"][2]["effect"] = json!("dedup");
    settings["classes"][2]["memory-span-us"] = json!(3_000_000);
    settings
}

/// How the agent of a test treats a launched run.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RunBehavior {
    /// The run succeeds at once.
    Succeed,
    /// The run never ends.
    NeverEnd,
}

/// Starts an agent on this link; returns the names of the requests that it launches.
fn spawn_agent(mut link: ScriptedLink, behavior: RunBehavior) -> mpsc::UnboundedReceiver<String> {
    let (launches, launched) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut notices = 0;
        while let Some(command) = link.command().await {
            let words: Vec<&str> = command.split(' ').collect();
            let ["launch", name, ..] = words[..] else { continue };
            notices += 1;
            if behavior == RunBehavior::Succeed {
                link.say(&format!("outcome {notices} {name} ok 3.5 4\r\ndone\r\n")).await;
            }
            let _ = launches.send(name.to_owned());
        }
    });
    launched
}

/// Starts a node with a fault injector. Returns the injector, the node, its greeted agent link, which the test scripts, and the
/// listener for further agent links.
async fn start_node_with_shim() -> (Arc<Shim>, Node, ScriptedLink, TcpListener) {
    let shim = Arc::new(Shim::new());
    let (agents, agent) = bind().await;
    let setup = Setup {
        settings: keyed_settings(),
        agent: Some(agent),
        shim: Some(shim.clone()),
        ..Setup::default()
    };
    let starting = tokio::spawn(setup.start());
    let mut link = ScriptedLink::accept(&agents).await;
    link.greet("").await;
    (shim, starting.await.expect("the node starts"), link, agents)
}
