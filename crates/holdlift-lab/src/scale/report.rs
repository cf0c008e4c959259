//! The page and chart of all kept runs.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use plotters::prelude::*;

use super::record::{Run, Series};
use super::{Error, Fit};

/// Which runs, and where the page goes.
#[derive(clap::Args)]
pub struct Options {
    /// The folder of kept runs.
    runs: PathBuf,
    /// Write `scale.md` and `scale.svg` into this folder.
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
}

/// Charts a row, and their size.
const ACROSS: usize = 3;
const PANEL: (u32, u32) = (380, 240);
/// What is drawn: times, shares and memory. Bytes and counts are in the tables.
const DRAWN: [&str; 7] = ["%", "% of a core", "s", "ms", "KB", "MB", "KB/s"];

/// Writes the page and its charts.
///
/// # Errors
/// What can't be read or written; no run is kept.
pub fn run(options: &Options) -> Result<bool, Error> {
    let runs = Run::all(&options.runs)?;
    if runs.is_empty() {
        return Err(format!("no run is kept in {}", options.runs.display()).into());
    }
    std::fs::create_dir_all(&options.out)?;
    std::fs::write(options.out.join("scale.md"), markdown(&runs))?;
    chart(&options.out.join("scale.svg"), &runs)?;
    Ok(true)
}

/// A number as a table shows it: four digits that count.
fn short(v: f64) -> String {
    let digits = if v == 0.0 { 0 } else { (3 - v.abs().log10().floor() as i32).clamp(0, 6) };
    let text = format!("{v:.*}", digits as usize);
    if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.').to_owned() } else { text }
}

fn form(fit: &Fit) -> String {
    match fit.form {
        super::Form::Constant => format!("constant, {}", short(fit.a)),
        form => format!("{} + {} {}", short(fit.a), short(fit.b), form.word()),
    }
}

fn points(s: &Series) -> String {
    let one = |p: &super::Point| match p.spread {
        0.0 => format!("{}: {}", short(p.x), short(p.y)),
        spread => format!("{}: {} ± {}", short(p.x), short(p.y), short(spread)),
    };
    s.points.iter().map(one).collect::<Vec<_>>().join("; ")
}

/// All figures and series of all runs.
#[must_use]
pub fn markdown(runs: &[Run]) -> String {
    let mut t = String::from(
        "# Scale runs\n\nMade from the runs kept in `docs/results/scale` by\n`holdlift-lab scale report docs/results/scale --out \
         docs/results`; what they mean stands in [`docs/CAPACITY.md`](../CAPACITY.md).\n`±` is half of the range between \
         the least and the most measured. A fit has its form, its two numbers and what it leaves, as a share of\nthe \
         mean.\n\n![Series and their fits](scale.svg)\n",
    );
    for run in runs {
        let (m, part) = (&run.machine, if run.partial { " **Partial.**" } else { "" });
        let _ = writeln!(
            t,
            "\n## {}\n\n`{}`, commit {}, {}, {} cores, {} MB.{part}\n",
            run.name, run.command, run.commit, run.date, m.cores, m.memory_mb
        );
        if !run.left_out.is_empty() {
            t += "Left out, or beside the real thing:\n\n";
            run.left_out.iter().for_each(|l| {
                let _ = writeln!(t, "- {l}");
            });
            t += "\n";
        }
        if !run.figures.is_empty() {
            t += "| figure | value | unit |\n|---|---|---|\n";
            for (key, f) in &run.figures {
                let _ = writeln!(t, "| `{key}` | {} | {} |", short(f.value), f.unit);
            }
            t += "\n";
        }
        if !run.series.is_empty() {
            t += "| series | by | unit | measured | fit | leaves |\n|---|---|---|---|---|---|\n";
            for s in &run.series {
                let fit = s.fit.as_ref().map_or_else(|| "none".to_owned(), form);
                let leaves = s.fit.map_or_else(|| "-".to_owned(), |f| format!("{:.1}%", f.residual * 100.0));
                let _ =
                    writeln!(t, "| `{}` | {} | {} | {} | {fit} | {leaves} |", s.name, s.x, s.unit, points(s));
            }
        }
    }
    t
}

/// A panel for each series that grows: its points with their spread, and its fit.
///
/// # Errors
/// What the drawing library says.
pub fn chart(path: &Path, runs: &[Run]) -> Result<(), Error> {
    let grows = |s: &&Series| {
        DRAWN.contains(&s.unit.as_str()) && s.fit.is_some_and(|f| f.form != super::Form::Constant)
    };
    let all: Vec<(&str, &Series)> =
        runs.iter().flat_map(|r| r.series.iter().filter(grows).map(|s| (r.name.as_str(), s))).collect();
    let rows = all.len().div_ceil(ACROSS).max(1);
    let size = (PANEL.0 * ACROSS as u32, PANEL.1 * rows as u32);
    let root = SVGBackend::new(path, size).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, (run, series)) in root.split_evenly((rows, ACROSS)).iter().zip(all) {
        let Some(fit) = series.fit else { continue };
        let wide = fit.largest * 1.05;
        let tops = series.points.iter().map(|p| p.y + p.spread);
        let high = tops.chain([fit.at(fit.largest)]).fold(f64::MIN_POSITIVE, f64::max) * 1.1;
        let mut panel = ChartBuilder::on(area)
            .caption(format!("{run}: {}", series.name), ("sans-serif", 12))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(62)
            .build_cartesian_2d(0.0..wide, 0.0..high)?;
        panel
            .configure_mesh()
            .x_desc(&series.x)
            .y_desc(&series.unit)
            .x_labels(5)
            .y_labels(5)
            .y_label_formatter(&|y| short(*y))
            .x_label_formatter(&|x| short(*x))
            .disable_mesh()
            .draw()?;
        let line = (0..=40).map(|i| f64::from(i) / 40.0 * fit.largest).map(|x| (x, fit.at(x)));
        panel.draw_series(LineSeries::new(line, BLUE.stroke_width(1)))?;
        panel.draw_series(series.points.iter().map(|p| {
            PathElement::new([(p.x, (p.y - p.spread).max(0.0)), (p.x, p.y + p.spread)], RED.stroke_width(1))
        }))?;
        panel.draw_series(series.points.iter().map(|p| Circle::new((p.x, p.y), 3, RED.filled())))?;
    }
    root.present()?;
    Ok(())
}
