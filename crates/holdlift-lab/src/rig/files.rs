//! The files that a rig's processes are started with.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use super::{Plan, Whole};
use crate::node::settings;

impl Plan {
    pub(super) fn fleet_file(
        &self,
        at: &[SocketAddr],
        (zone, region): (&str, Option<usize>),
        here: SocketAddr,
        reach: &BTreeMap<String, SocketAddr>,
        speed: f64,
    ) -> String {
        let mut t = format!(
            "[fleet]\nname = \"rig\"\nlease_ms = {}\ndrift = {:?}\ntransit_ms = {}\n[here]\nlisten = \"{here}\"\n\
             zone = \"{zone}\"\ndrill_clock_speed = {speed:?}\n[here.reach]\n",
            self.lease_ms, self.drift, self.transit_ms
        );
        if let Some(region) = region {
            t = t.replacen("drill_clock_speed", &format!("region = \"r{region}\"\ndrill_clock_speed"), 1);
        }
        for (name, at) in reach {
            t += &format!("{name} = \"{at}\"\n");
        }
        t += "[keepers]\n";
        for (k, at) in at[self.nodes..].iter().enumerate() {
            t += &format!("k{k} = \"{at}\"\n");
        }
        let catalog = self.catalog.map_or(String::new(), |lines| format!("[catalog]\n{lines}"));
        t + &self.zones_file() + &self.budgets_file() + &self.further + &catalog
    }

    fn zones_file(&self) -> String {
        let Some(z) = self.zoned.filter(|z| z.decided) else { return String::new() };
        let mut t = format!(
            "[zones]\nlongest_ms = 1500\nout_ms = {}\nstep_ms = {}\ntrust_ms = {}\n[zones.bears]\n",
            z.out_ms, z.step_ms, z.trust_ms
        );
        (0..self.zones).for_each(|i| t += &format!("z{i} = {}\n", z.bears));
        if z.at_once {
            t = t.replace("[zones]\n", "[zones]\ndrill_at_once = true\n");
        }
        t
    }

    pub(super) fn budgets_file(&self) -> String {
        let one = |w: &Whole| match w {
            Whole::Slots { slots, longest_ms } => {
                format!("[budgets.at-once]\ntier = \"below\"\nslots = {slots}\nlongest_ms = {longest_ms}\n")
            }
            Whole::ByZone { slots, longest_ms } => format!(
                "[budgets.at-once]\ntier = \"below\"\nslots = {slots}\nlongest_ms = {longest_ms}\nby_zone = true\n"
            ),
            Whole::Starts(starts) => format!("[budgets.starts]\ntier = \"below\"\nstarts = {starts}\n"),
            Whole::Further(n) => format!("[budgets.again]\ntier = \"below\"\nfurther = {n}\n"),
            Whole::Member(n) => format!("[budgets.quota]\nmember = \"acme\"\nstarts = {n}\n"),
        };
        self.budgets.iter().map(one).collect()
    }

    pub(super) fn node_files(
        &self,
        dir: &Path,
        name: &str,
        (callers, console, agent): (SocketAddr, SocketAddr, SocketAddr),
        below: &[SocketAddr],
    ) {
        let mut s = settings(8, 2_000, 3_000);
        s["domain"]["below"] = "tier".into();
        s["replicas-of-me"] = self.nodes.into();
        s["me"] = name[1..].parse::<u32>().expect("a node's number").into();
        let other = serde_json::json!({"name": "other", "quota-per-s": 0.0, "share": 0.0});
        s["accounts"].as_array_mut().expect("a list").push(other);
        s["domain"]["class-calls"] = serde_json::json!([true, true, true]);
        s["domain"]["worth-without"] = serde_json::json!([0.3, 0.5, 0.0]);
        let config = serde_json::json!({"name": name, "listen": callers, "agent": agent, "console": console,
            "seed": format!("{:02x}", self.seed % 256), "stop_ms": 4_000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024}, "settings": s});
        std::fs::write(dir.join("config.json"), config.to_string()).expect("a file");
        let limit = self.limit.map_or(String::new(), |l| format!("limit_most = {l}\nlimit_start = {l}\n"));
        let classes: String =
            ["quote", "proof", "book-job"].map(|c| format!("[[classes.{c}]]\ntier = \"below\"\n")).concat();
        let (tries, share, burst) = self.tries;
        let tries = format!("tries = {tries}\nretry_share = {share:?}\nretry_burst = {burst}\n");
        let endpoints: Vec<String> = below.iter().map(SocketAddr::to_string).collect();
        let labels: Vec<String> = (0..below.len()).map(|z| format!("z{z}")).collect();
        let labels = self.zoned.map_or(String::new(), |_| format!("zones = {labels:?}\n"));
        let own = self.tier;
        let tiers = format!("[tiers.below]\nendpoints = {endpoints:?}\n{labels}{own}{limit}{tries}{classes}");
        std::fs::write(dir.join("tiers.toml"), tiers).expect("a file");
    }
}

impl super::Rig {
    /// Writes other wholes into all files and has the keepers read them.
    pub fn rebudget(&mut self, budgets: Vec<Whole>) {
        let former = self.plan.budgets_file();
        self.plan.budgets = budgets;
        let now = self.plan.budgets_file();
        for p in &self.procs {
            let file = p.folder.join("fleet.toml");
            let text = std::fs::read_to_string(&file).expect("a file").replace(&former, &now);
            std::fs::write(&file, text).expect("a file");
        }
        self.keepers().into_iter().for_each(|k| self.signal(k, "-HUP"));
    }
}
