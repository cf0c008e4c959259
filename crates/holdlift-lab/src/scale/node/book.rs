//! What has been measured, by series and size, until it is entered in a run.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::super::{Point, Run};

/// Measurements so far.
#[derive(Debug, Default)]
pub struct Book {
    /// By the name of a series, `PROGRAM.AXIS.FIGURE`: the unit, and by size what each repeat gave.
    series: BTreeMap<String, (&'static str, BTreeMap<u32, Vec<f64>>)>,
    /// By the name of a figure, the same without a size.
    figures: BTreeMap<String, (&'static str, Vec<f64>)>,
}

impl Book {
    /// Notes a measurement of a series.
    pub fn point(&mut self, series: &str, unit: &'static str, x: u32, y: f64) {
        let (_, points) = self.series.entry(series.to_owned()).or_insert_with(|| (unit, BTreeMap::new()));
        points.entry(x).or_default().push(y);
    }

    /// Notes a measurement that belongs to no series.
    pub fn figure(&mut self, name: &str, unit: &'static str, y: f64) {
        self.figures.entry(name.to_owned()).or_insert_with(|| (unit, Vec::new())).1.push(y);
    }

    /// Enters all in a run: each series, its largest size as a figure, and the figures.
    pub fn enter(&self, run: &mut Run) {
        for (name, (unit, points)) in &self.series {
            let axis = name.split('.').nth(1).unwrap_or("size").to_owned();
            let points: Vec<Point> = points.iter().map(|(x, ys)| Point::of(f64::from(*x), ys)).collect();
            if let Some(last) = points.last() {
                run.figure(name, last.y, unit);
                run.figure(&format!("{name}.spread"), last.spread, unit);
            }
            run.series(name, &axis, unit, points);
        }
        for (name, (unit, ys)) in &self.figures {
            let p = Point::of(0.0, ys);
            run.figure(name, p.y, unit);
            run.figure(&format!("{name}.spread"), p.spread, unit);
        }
    }

    /// A line for each series and figure.
    pub fn table(&self) -> String {
        let mut t = String::new();
        for (name, (unit, points)) in &self.series {
            let said = points.iter().map(|(x, ys)| {
                let p = Point::of(f64::from(*x), ys);
                format!("{x}: {:.4} +- {:.4}", p.y, p.spread)
            });
            let _ = writeln!(t, "{name} [{unit}]  {}", said.collect::<Vec<_>>().join("   "));
        }
        for (name, (unit, ys)) in &self.figures {
            let p = Point::of(0.0, ys);
            let _ = writeln!(t, "{name} [{unit}]  {:.4} +- {:.4}", p.y, p.spread);
        }
        t
    }
}
