//! Results as tables and charts.

use std::fmt::Write;
use std::path::Path;

use plotters::prelude::*;

use crate::experiment::{Experiment, RunResult, Verdict, interval};

fn pm(all: &[f64], digits: usize) -> String {
    let (mean, half) = interval(all);
    if all.len() < 2 { format!("{mean:.digits$}") } else { format!("{mean:.digits$} ± {half:.digits$}") }
}

/// A Markdown page of an experiment.
pub fn markdown(name: &str, e: &Experiment, results: &[RunResult], verdicts: &[Verdict]) -> String {
    let mut t = format!("# {name}\n\n{}\n\n", e.about);
    let seeds = results.first().map_or(0, |r| r.rss_mb.len());
    let _ = writeln!(t, "{} s a run, {seeds} seed(s); intervals are 95% over the seeds.\n", e.seconds);
    t += "| run | group | asked | served | share | refused | lost | p50 ms | p99 ms |\n|---|---|---|---|---|---|---|---|---|\n";
    for r in results {
        for (g, x) in &r.groups {
            let _ = writeln!(
                t,
                "| {} | {g} | {} | {} | {} | {} | {} | {} | {} |",
                r.name,
                x.asked,
                x.served,
                pm(&x.shares, 3),
                x.refused,
                x.lost,
                x.latency_ms[0],
                x.latency_ms[2]
            );
        }
    }
    t += "\n| run | memory MB | share of a core | wake-ups/s | half in, most | undelivered |\n|---|---|---|---|---|---|\n";
    for r in results {
        let c = |n: &str| r.counters.get(n).map_or_else(|| "-".to_owned(), |v| format!("{v}"));
        let _ = writeln!(
            t,
            "| {} | {} | {} | {} | {} | {} |",
            r.name,
            pm(&r.rss_mb, 1),
            pm(&r.cpu, 3),
            pm(&r.wakes, 0),
            c("door.half_in_most"),
            c("door.undelivered")
        );
    }
    t += "\n| claim | figure | bound | |\n|---|---|---|---|\n";
    for v in verdicts {
        let _ = writeln!(t, "| {} | {:.4} | {} | {} |", v.says, v.figure, v.bound, word(v));
    }
    t
}

/// `kept` or `broken`.
pub fn word(v: &Verdict) -> &'static str {
    if v.kept { "kept" } else { "broken" }
}

/// A chart of latency by percentile, a line for each run and group that was served.
///
/// # Errors
/// What the drawing library says.
pub fn chart(path: &Path, title: &str, results: &[RunResult]) -> Result<(), Box<dyn std::error::Error>> {
    let lines: Vec<(String, &[(f64, u64)])> = results
        .iter()
        .flat_map(|r| r.groups.iter().map(move |(g, x)| (format!("{} {g}", r.name), &x.curve[..])))
        .filter(|(_, c)| !c.is_empty())
        .collect();
    let most = lines.iter().flat_map(|(_, c)| c.iter().map(|p| p.1)).max().unwrap_or(1).max(2);
    let root = SVGBackend::new(path, (900, 520)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0f64..100f64, (1f64..most as f64 * 1.1).log_scale())?;
    chart.configure_mesh().x_desc("percentile").y_desc("ms from the intended send time").draw()?;
    for (i, (name, curve)) in lines.iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(
                curve.iter().map(|(p, ms)| (*p, *ms as f64)),
                colour.stroke_width(2),
            ))?
            .label(name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE.mix(0.8)).draw()?;
    root.present()?;
    Ok(())
}
