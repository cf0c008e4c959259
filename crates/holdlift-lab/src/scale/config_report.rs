//! What the runs of `scale config` come to: series by nodes and by records, and figures.

use std::collections::HashMap;

use super::config_scene::{Applied, Seen};
use super::fleet::Table;
use super::hollow_config::{Fetched, How};
use super::node::callers::{Done, quantile, sum_up};
use super::record::Run;

/// All that is measured; each entry is printed as it comes.
#[derive(Default)]
pub struct Book {
    nodes: Table,
    records: Table,
    figures: Vec<(String, f64, &'static str)>,
}

/// What the names of all that is measured without the mechanism have in them.
pub const PLAIN: &str = "by file and signal";

/// What a series goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum By {
    /// Nodes.
    Nodes(usize),
    /// Records of the configuration.
    Records(usize),
    /// One figure, whose name begins so.
    Once(&'static str),
}

impl Book {
    /// Measurements of a series at a size, or the mean of them as a figure. Nothing where there are none.
    pub fn enter(&mut self, by: By, name: &str, unit: &'static str, measured: &[f64]) {
        if measured.is_empty() {
            return;
        }
        let mean = measured.iter().sum::<f64>() / measured.len() as f64;
        let most = measured.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        println!("  {name}: {mean:.4} {unit} ({} measured, most {most:.4})", measured.len());
        match by {
            By::Nodes(n) => self.nodes.enter(name, unit, n as f64, measured),
            // Of its own name, as rows of pages name a series by that alone.
            By::Records(n) => {
                let name = if name.contains(PLAIN) { name.to_owned() } else { format!("by records: {name}") };
                self.records.enter(&name, unit, n as f64, measured);
            }
            By::Once(event) => self.figures.push((format!("{event}: {name}"), mean, unit)),
        }
    }

    /// Enters all in a run.
    pub fn write(&self, run: &mut Run) {
        run.series.clear();
        self.nodes.write_by(run, "nodes");
        self.records.write_by(run, "records");
        for (name, value, unit) in &self.figures {
            run.figure(name, *value, unit);
        }
    }

    /// When a change was in force: for each change the median, the 99th of 100 and the last node, from the command's start
    /// and from the agreement.
    pub fn spread(
        &mut self,
        by: By,
        applied: &[Applied],
        seen: &Seen,
        nodes: &[usize],
        agreed: &HashMap<u64, u64>,
    ) {
        let mut rows: [Vec<f64>; 6] = Default::default();
        let (mut until_agreed, mut lacking) = (Vec::new(), 0);
        for change in applied {
            let first = seen.first(change.revision);
            let at: Vec<u64> = nodes.iter().filter_map(|n| first.get(n).copied()).collect();
            lacking += nodes.len() - at.len();
            let agreed = agreed.get(&change.revision).copied();
            if let Some(agreed) = agreed {
                until_agreed.push(agreed.saturating_sub(change.span.0) as f64 / 1e6);
            }
            for (row, from) in [(0, Some(change.span.0)), (3, agreed)] {
                let Some(from) = from.filter(|_| !at.is_empty()) else { continue };
                let mut spans: Vec<f64> = at.iter().map(|t| t.saturating_sub(from) as f64 / 1e6).collect();
                spans.sort_by(f64::total_cmp);
                for (i, share) in [0.5, 0.99, 1.0].into_iter().enumerate() {
                    rows[row + i].push(quantile(&spans, share));
                }
            }
        }
        let worst = |row: &[f64]| row.iter().copied().fold(0.0, f64::max);
        let (last, last_agreed) = (worst(&rows[2]), worst(&rows[5]));
        for (row, (from, what)) in rows.iter().zip([
            ("apply", "median node"),
            ("apply", "99 of 100 nodes"),
            ("apply", "last node"),
            ("agreement", "median node"),
            ("agreement", "99 of 100 nodes"),
            ("agreement", "last node"),
        ]) {
            self.enter(by, &format!("in force, from {from}: {what}"), "s", row);
        }
        self.enter(by, "in force, from apply: last node, worst of all changes", "s", &[last]);
        self.enter(by, "in force, from agreement: last node, worst of all changes", "s", &[last_agreed]);
        self.enter(by, "from apply to agreement", "s", &until_agreed);
        self.enter(
            by,
            "nodes and changes that were not in force within the wait",
            "times",
            &[lacking as f64],
        );
        let again: u32 = applied.iter().map(|a| a.again).sum();
        self.enter(by, "changes that were brought again", "times", &[f64::from(again)]);
    }

    /// What nodes fetched by keepers' streams, over that many changes.
    pub fn fetched(&mut self, by: By, fetched: &[Fetched], changes: usize) {
        let each = changes.max(1) as f64;
        let bytes = fetched.iter().map(|f| f.bytes.0 + f.bytes.1).sum::<u64>();
        self.enter(by, "streams to hollow nodes, a change", "KB", &[bytes as f64 / each / 1e3]);
        let count = |how: How| fetched.iter().filter(|f| f.how == how).count() as f64 / each;
        self.enter(by, "asks by stream, a change", "asks", &[fetched.len() as f64 / each]);
        self.enter(by, "asks that were told to come later, a change", "asks", &[count(How::Later)]);
        self.enter(by, "asks that failed, a change", "asks", &[count(How::Failed)]);
        self.enter(
            by,
            "asks under way at one keeper at a time, most",
            "asks",
            &[most_at_once(fetched.iter().filter(|f| matches!(f.how, How::Changes | How::Chunks)))],
        );
    }

    /// What came of requests at a real node.
    pub fn requests(&mut self, by: By, when: &str, done: &[Done]) {
        let told = sum_up(done);
        let mut enter = |what: &str, unit, v: f64| {
            self.enter(by, &format!("requests at a real node, {when}: {what}"), unit, &[v]);
        };
        enter("added time, 99 of 100", "ms", told.added_us[1] / 1e3);
        enter("added time, the longest", "ms", told.added_us[2] / 1e3);
        enter("served", "share", told.served);
        enter("the lab's own lateness, 99 of 100", "ms", told.late_us / 1e3);
    }
}

/// The most asks that one keeper had under way at one moment.
pub fn most_at_once<'a>(fetched: impl Iterator<Item = &'a Fetched>) -> f64 {
    let mut by_keeper: HashMap<usize, Vec<(u64, i64)>> = HashMap::new();
    for f in fetched {
        let all = by_keeper.entry(f.keeper).or_default();
        all.extend([(f.span.0, 1), (f.span.1, -1)]);
    }
    let mut most = 0;
    for all in by_keeper.values_mut() {
        // One that ends in the moment in which another begins is not beside it.
        all.sort_unstable();
        let mut now = 0;
        for (_, by) in all {
            now += *by;
            most = most.max(now);
        }
    }
    most as f64
}
