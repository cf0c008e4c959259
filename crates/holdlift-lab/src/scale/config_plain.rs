//! The way without the mechanism: each node's whole file is written, and the node has its signal, one after the other, as a
//! script would do it. No keepers, no fleet.

use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::Error;
use super::config_load::{self, Load};
use super::config_report::{Book, By};
use super::config_scene::{Records, Whole, now, reloads};
use super::node::deployment::QUOTA;
use crate::rig::{Plan, Rig};

/// Longest that one change may take.
const BOUND: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(20);

/// Nodes that read files.
pub struct Plain {
    rig: Rig,
    configs: Vec<Value>,
    load: Option<Load>,
}

impl Plain {
    /// So many real nodes.
    ///
    /// # Errors
    /// A file can't be read.
    pub async fn start(nodes: usize) -> Result<Plain, Error> {
        let rig = Plan { nodes, keepers: 0, log: "info", seed: 30, ..Plan::default() }.start().await;
        Ok(Plain { rig, configs: Vec::new(), load: None })
    }

    /// One change: all files written and all nodes signalled; from there to the last in force, s.
    async fn change(&mut self, whole: &Whole) -> Result<f64, Error> {
        let texts: Vec<String> = self
            .configs
            .iter_mut()
            .map(|config| {
                for key in ["classes", "accounts"] {
                    config["settings"][key] = whole.settings[key].clone();
                }
                for key in ["class-calls", "worth-without"] {
                    config["settings"]["domain"][key] = whole.settings["domain"][key].clone();
                }
                config.to_string()
            })
            .collect();
        let log = |rig: &Rig, i: usize| reloads(&rig.log(&rig.procs[i].name));
        let before: Vec<usize> = (0..texts.len()).map(|i| log(&self.rig, i).len()).collect();
        let (began, start) = (now(), Instant::now());
        for (i, text) in texts.iter().enumerate() {
            std::fs::write(self.rig.folder(i).join("config.json"), text)?;
            self.rig.signal(i, "-HUP");
        }
        loop {
            let last: Vec<Option<u64>> =
                before.iter().enumerate().map(|(i, n)| log(&self.rig, i).get(*n).copied()).collect();
            if let Some(last) = last.into_iter().collect::<Option<Vec<u64>>>() {
                let last = last.into_iter().max().unwrap_or(began);
                return Ok(last.saturating_sub(began) as f64 / 1e6);
            }
            if start.elapsed() > BOUND {
                return Err("a node did not read its file".into());
            }
            sleep(LOOK).await;
        }
    }

    /// Changes at one size of the whole, every so often.
    ///
    /// # Errors
    /// A node did not read its file.
    pub async fn measure(
        &mut self,
        book: &mut Book,
        records: Records,
        fleet: usize,
        (changes, every): (usize, Duration),
        seed: u64,
    ) -> Result<(), Error> {
        let mut whole = Whole::new(records, seed);
        if self.configs.is_empty() {
            let told = Whole::new(records, seed).told;
            self.load = Some(Load::before(&self.rig, told).await?);
            for i in 0..self.rig.nodes {
                let text = std::fs::read_to_string(self.rig.folder(i).join("config.json"))?;
                self.configs.push(serde_json::from_str(&text)?);
            }
        }
        println!("without the mechanism, {} records:", records.all());
        self.change(&whole).await?;
        let mut load = self.load.take().ok_or("no load")?;
        let (rest, _) = load.play(every * 2).await;
        let playing = load.play(every * u32::try_from(changes).unwrap_or(1));
        let mut spans = Vec::new();
        let changing = async {
            for n in 0..changes {
                let due = Instant::now() + every;
                whole.set(n * 7_919, QUOTA - 1.0 - n as f64);
                spans.push(self.change(&whole).await?);
                tokio::time::sleep_until(due).await;
            }
            Ok::<(), Error>(())
        };
        let ((done, beats), changed) = tokio::join!(playing, changing);
        changed?;
        let by = By::Records(records.all());
        let nodes = self.configs.len();
        book.enter(by, &format!("by file and signal: in force on the last of {nodes} nodes"), "s", &spans);
        let bytes = self.configs[0].to_string().len() as f64;
        book.enter(by, "by file and signal: bytes of the file", "MB", &[bytes / 1e6]);
        let all = bytes * fleet as f64 / 1e6;
        book.enter(by, &format!("by file and signal: bytes of a change, {fleet} nodes"), "MB", &[all]);
        book.requests(by, "by file and signal, without changes", &rest);
        book.requests(by, "by file and signal, with changes", &done);
        if let Some(ms) = config_load::longest(&beats) {
            book.enter(by, "by file and signal: a real node was at something else, longest", "ms", &[ms]);
        }
        self.load = Some(load);
        Ok(())
    }
}
