//! The page of figures against the runs that are kept: each figure of its tables names a run and is that run's, verdicts
//! agree with figure and limit, sums add up, and what comes of a partial run says so.
//!
//! A row's `run` cell is one of
//! - `RUN:KEY`, a figure of a run; `RUN:SERIES@X`, what was measured at a size; `RUN:SERIES~X`, what the fit says there;
//!   `RUN:SERIES^Y`, the size at which the fit meets that limit;
//! - `= TERM + TERM`, a sum, each term one of the above or another row's id, with a number before it at will (`3 x N1`);
//! - `-`, not measured.

use std::collections::{BTreeMap, BTreeSet};

use super::record::{Run, Series};

/// What is wrong, and in which line of the page; the first is 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub line: usize,
    pub what: String,
}

/// Columns that each table with figures has; others may stand between them.
const COLUMNS: [&str; 7] = ["id", "figure", "limit", "slope", "extrapolated", "run", "verdict"];
/// A table that begins with this column says what is asked for, and has no measured figure.
const ASKED: &str = "asked";
/// Sums of sums of sums: a page with more is one that goes round in a circle.
const DEPTH: usize = 6;
/// A fit that leaves more, as a share of the mean, says nothing of other sizes.
const UNCLEAR: f64 = 0.3;

#[derive(Clone, Debug, Default)]
struct Row {
    line: usize,
    cells: BTreeMap<&'static str, String>,
}

/// A number with its unit, in the base unit of its kind.
#[derive(Clone, Debug, PartialEq)]
struct Amount {
    value: f64,
    unit: String,
}

/// What a run cell comes to.
#[derive(Clone, Debug, Default)]
struct Found {
    value: f64,
    unit: String,
    slope: Option<&'static str>,
    beyond: Option<f64>,
    partial: bool,
    rows: BTreeSet<String>,
}

impl Row {
    fn cell(&self, name: &str) -> &str {
        self.cells.get(name).map_or("", String::as_str)
    }
}

/// All that is wrong with a page.
#[must_use]
pub fn check(page: &str, runs: &[Run]) -> Vec<Fault> {
    let (rows, mut faults) = rows(page);
    let mut by_id: BTreeMap<&str, &Row> = BTreeMap::new();
    for row in &rows {
        if by_id.insert(row.cell("id"), row).is_some() || row.cell("id").is_empty() {
            faults.push(Fault { line: row.line, what: format!("id \"{}\" is not its own", row.cell("id")) });
        }
    }
    if rows.is_empty() {
        faults.push(Fault { line: 1, what: "no table with figures".into() });
    }
    for row in &rows {
        if let Err(what) = judge(row, &by_id, runs) {
            faults.push(Fault { line: row.line, what: format!("{}: {what}", row.cell("id")) });
        }
    }
    faults.sort_by_key(|f| f.line);
    faults
}

fn cells(line: &str) -> Vec<String> {
    let inner = line.trim().trim_start_matches('|').trim_end_matches('|');
    inner.split('|').map(|c| c.trim().trim_matches('`').trim().to_owned()).collect()
}

/// The rows of all tables that have figures, and tables that have none of the columns that they need.
fn rows(page: &str) -> (Vec<Row>, Vec<Fault>) {
    let (mut rows, mut faults) = (Vec::new(), Vec::new());
    let lines: Vec<&str> = page.lines().collect();
    let mut i = 0;
    while i < lines.len() {
        if !lines[i].trim_start().starts_with('|') {
            i += 1;
            continue;
        }
        let (head, first) = (cells(lines[i]), i);
        let mut body = Vec::new();
        i += 1;
        while i < lines.len() && lines[i].trim_start().starts_with('|') {
            body.push((i + 1, cells(lines[i])));
            i += 1;
        }
        if head.first().is_some_and(|h| h == ASKED) {
            continue;
        }
        let places: Vec<Option<usize>> = COLUMNS.iter().map(|c| head.iter().position(|h| h == c)).collect();
        if let Some(lacks) = COLUMNS.iter().zip(&places).find(|(_, p)| p.is_none()) {
            faults.push(Fault { line: first + 1, what: format!("a table without the column {}", lacks.0) });
            continue;
        }
        for (line, body) in body.into_iter().skip(1) {
            if body.len() != head.len() {
                faults
                    .push(Fault { line, what: format!("{} cells under {} columns", body.len(), head.len()) });
                continue;
            }
            let of = |(c, p): (&&'static str, &Option<usize>)| {
                (*c, p.map_or_else(String::new, |p| body[p].clone()))
            };
            rows.push(Row { line, cells: COLUMNS.iter().zip(&places).map(of).collect() });
        }
    }
    (rows, faults)
}

fn number(text: &str) -> Result<f64, String> {
    text.replace(',', "").parse().map_err(|_| format!("\"{text}\" is no number"))
}

/// The unit that others of its kind are compared in, and by what one of it is multiplied.
fn base(unit: &str) -> (&str, f64) {
    match unit {
        "B/s" => ("B/s", 1.0),
        "KB/s" => ("B/s", 1e3),
        "MB/s" => ("B/s", 1e6),
        "B" => ("B", 1.0),
        "KB" => ("B", 1e3),
        "MB" => ("B", 1e6),
        "us" => ("s", 1e-6),
        "ms" => ("s", 1e-3),
        "% of a core" => ("%", 1.0),
        other => (other, 1.0),
    }
}

fn amount(text: &str) -> Result<Amount, String> {
    let (value, unit) = text.split_once(' ').unwrap_or((text, ""));
    let (unit, times) = base(unit.trim());
    Ok(Amount { value: number(value)? * times, unit: unit.to_owned() })
}

/// Half of the last digit that is printed, in the base unit.
fn half_digit(text: &str) -> f64 {
    let (value, unit) = text.split_once(' ').unwrap_or((text, ""));
    let digits = value.split_once('.').map_or(0, |(_, d)| d.len());
    0.500_001 * 10f64.powi(-(digits as i32)) * base(unit.trim()).1
}

fn judge(row: &Row, rows: &BTreeMap<&str, &Row>, runs: &[Run]) -> Result<(), String> {
    let (figure, limit, verdict) = (row.cell("figure"), row.cell("limit"), row.cell("verdict"));
    let (said, partial) = verdict.strip_suffix(", partial").map_or((verdict, false), |v| (v, true));
    if row.cell("run") == "-" {
        return match (figure, verdict) {
            ("-", "not measured") => Ok(()),
            ("-", _) => Err(format!("\"{verdict}\" without a run")),
            _ => Err(format!("the figure {figure} names no run")),
        };
    }
    let found = find(row.cell("run"), rows, runs, 0)?;
    let printed = amount(figure)?;
    let (unit, times) = base(&found.unit);
    let value = found.value * times;
    if unit != printed.unit {
        return Err(format!("{figure} is in another unit than the run's {}", found.unit));
    }
    if (value - printed.value).abs() > half_digit(figure) {
        return Err(format!("{figure} is not the run's {:.6} {}", found.value, found.unit));
    }
    if partial != found.partial {
        let what =
            if found.partial { "is of a partial run and does not say so" } else { "is of no partial run" };
        return Err(format!("the figure {what}"));
    }
    let slope = found.slope.unwrap_or("-");
    if slope != row.cell("slope") {
        return Err(format!("the slope is \"{slope}\", not \"{}\"", row.cell("slope")));
    }
    extrapolated(row.cell("extrapolated"), found.beyond)?;
    if limit == "-" {
        return match said.strip_prefix("in ") {
            Some(id) => {
                let sum = rows.get(id).ok_or_else(|| format!("there is no row {id}"))?;
                let sum = find(sum.cell("run"), rows, runs, 0)?;
                match sum.rows.contains(row.cell("id")) {
                    true => Ok(()),
                    false => Err(format!("it is not in the sum of {id}")),
                }
            }
            None if said == "no limit" => Ok(()),
            None => Err(format!("\"{verdict}\" without a limit")),
        };
    }
    let (least, text) = limit.strip_prefix(">= ").map_or((false, limit), |t| (true, t));
    let bound = amount(text)?;
    if bound.unit != unit {
        return Err(format!("the limit {limit} is in another unit than {figure}"));
    }
    let fits = if least { value >= bound.value } else { value <= bound.value };
    let right = if fits { "fits" } else { "doesn't fit" };
    if said == right {
        Ok(())
    } else {
        Err(format!("{figure} against {limit} {right}, and the row says \"{said}\""))
    }
}

fn extrapolated(cell: &str, beyond: Option<f64>) -> Result<(), String> {
    let wrong = |right: &str| Err(format!("extrapolated is \"{right}\", not \"{cell}\""));
    match beyond {
        Some(times) if times > 1.0 + 1e-9 => {
            let said = cell.strip_prefix("x ").map(|t| (number(t), half_digit(t)));
            match said {
                Some((Ok(said), half)) if (said - times).abs() <= half => Ok(()),
                _ => wrong(&format!("x {times:.2}")),
            }
        }
        Some(_) if cell != "no" => wrong("no"),
        None if cell != "-" => wrong("-"),
        _ => Ok(()),
    }
}

fn find(cell: &str, rows: &BTreeMap<&str, &Row>, runs: &[Run], depth: usize) -> Result<Found, String> {
    if depth > DEPTH {
        return Err("its sum goes round in a circle".into());
    }
    let Some(sum) = cell.strip_prefix('=') else { return reference(cell, runs) };
    let mut all: Option<Found> = None;
    for term in sum.split(" + ").map(str::trim) {
        let (times, what) = match term.split_once(" x ") {
            Some((times, what)) => (number(times)?, what.trim()),
            None => (1.0, term),
        };
        let one = match rows.get(what) {
            Some(row) if row.cell("run") == "-" => return Err(format!("{what} is not measured")),
            Some(row) => {
                // What the row prints counts, so that a reader who adds up comes to the same.
                let mut one = find(row.cell("run"), rows, runs, depth + 1)?;
                one.rows.insert(what.to_owned());
                one
            }
            None if what.contains(':') => reference(what, runs)?,
            None => return Err(format!("there is no row {what}")),
        };
        let (unit, to_base) = base(&one.unit);
        let sum = all.get_or_insert_with(|| Found { unit: unit.to_owned(), ..Found::default() });
        if sum.unit != unit {
            return Err(format!("{what} is in {unit}, what stands before it in {}", sum.unit));
        }
        sum.value += times * one.value * to_base;
        sum.partial |= one.partial;
        // A sum reaches as far beyond what was measured as that of its parts that does so most.
        sum.beyond = [sum.beyond, one.beyond].into_iter().flatten().reduce(f64::max);
        sum.rows.extend(one.rows);
    }
    all.ok_or_else(|| "an empty sum".to_owned())
}

fn series<'a>(run: &'a Run, name: &str) -> Result<&'a Series, String> {
    run.series.iter().find(|s| s.name == name).ok_or_else(|| format!("{} has no series {name}", run.name))
}

fn reference(cell: &str, runs: &[Run]) -> Result<Found, String> {
    let (name, key) = cell.split_once(':').ok_or_else(|| format!("\"{cell}\" names no run"))?;
    let run = runs.iter().find(|r| r.name == name).ok_or_else(|| format!("no run {name} is kept"))?;
    let found = Found { partial: run.partial, ..Found::default() };
    let Some(at) = key.find(['@', '~', '^']) else {
        let figure = run.figures.get(key).ok_or_else(|| format!("{name} has no figure {key}"))?;
        return Ok(Found { value: figure.value, unit: figure.unit.clone(), ..found });
    };
    let (series, x) = (series(run, &key[..at])?, number(&key[at + 1..])?);
    let clear = series.fit.filter(|f| f.residual <= UNCLEAR);
    let slope = Some(match (series.fit, clear) {
        (None, _) => "none",
        (_, None) => "unclear",
        (_, Some(fit)) => fit.form.word(),
    });
    let found = Found { unit: series.unit.clone(), slope, ..found };
    if key[at..].starts_with('@') {
        let point = series.points.iter().find(|p| p.x == x);
        let point = point.ok_or_else(|| format!("{} was not measured at {x}", series.name))?;
        return Ok(Found { value: point.y, beyond: Some(0.0), ..found });
    }
    let fit = clear.ok_or_else(|| format!("{} has no fit that says so", series.name))?;
    if key[at..].starts_with('~') {
        return Ok(Found { value: fit.at(x), beyond: Some(fit.beyond(x)), ..found });
    }
    let size = fit.meets(x).ok_or_else(|| format!("{} never meets {x}", series.name))?;
    Ok(Found { value: size, unit: series.x.clone(), beyond: Some(fit.beyond(size)), ..found })
}
