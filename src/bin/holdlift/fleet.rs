//! `holdlift fleet`: what a running node knows of its fleet, by its control address.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use clap::{Args, Subcommand};
use holdlift::config::Config;
use serde_json::Value;

use super::Ended;

/// How long the node may take.
const PATIENCE: Duration = Duration::from_secs(3);

#[derive(Subcommand)]
pub enum Ask {
    /// Who is there.
    Members(Form),
    /// What this node holds of each whole, and what of it is out.
    Budgets(Form),
}

#[derive(Args)]
pub struct Form {
    /// The node's control address; the configuration's where none is given.
    #[arg(long, value_name = "ADDRESS")]
    console: Option<SocketAddr>,
    /// As JSON.
    #[arg(long)]
    json: bool,
}

pub fn run(ask: &Ask) -> Ended {
    let (key, form) = match ask {
        Ask::Members(form) => ("members", form),
        Ask::Budgets(form) => ("budgets", form),
    };
    let at = match form.console {
        Some(at) => at,
        None => Config::from_env()?.0.console.ok_or("the configuration names no console")?,
    };
    let all = fetch(at)?;
    let rows = all[key].as_array().ok_or("the node says nothing of that")?;
    if form.json {
        println!("{}", serde_json::to_string_pretty(&all[key])?);
        return Ok(());
    }
    println!("fleet {}, {}, book at entry {}", text(&all["fleet"]), text(&all["me"]), text(&all["epoch"]));
    let Some(first) = rows.first().and_then(Value::as_object) else { return Ok(()) };
    let columns: Vec<&String> = first.keys().collect();
    let cells: Vec<Vec<String>> =
        rows.iter().map(|r| columns.iter().map(|c| text(&r[c.as_str()])).collect()).collect();
    let wide = |i: usize| cells.iter().map(|r| r[i].len()).chain([columns[i].len()]).max().unwrap_or(0);
    let line = |row: Vec<&str>| {
        let padded: Vec<String> =
            row.iter().enumerate().map(|(i, c)| format!("{c:<width$}", width = wide(i))).collect();
        println!("{}", padded.join("  ").trim_end());
    };
    line(columns.iter().map(|c| c.as_str()).collect());
    cells.iter().for_each(|r| line(r.iter().map(String::as_str).collect()));
    Ok(())
}

fn text(v: &Value) -> String {
    v.as_str().map_or_else(|| v.to_string(), str::to_owned)
}

fn fetch(at: SocketAddr) -> Result<Value, Box<dyn std::error::Error>> {
    let mut stream = TcpStream::connect_timeout(&at, PATIENCE).map_err(|e| format!("{at}: {e}"))?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(b"GET /control/fleet HTTP/1.1\r\nHost: node\r\n\r\n")?;
    let mut said = String::new();
    stream.read_to_string(&mut said)?;
    let (head, body) = said.split_once("\r\n\r\n").ok_or("no answer")?;
    if head.split(' ').nth(1) != Some("200") {
        return Err(body.trim_end().into());
    }
    Ok(serde_json::from_str(body)?)
}
