//! `holdlift fleet`: what a running node knows of its fleet, by its control address.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use holdlift::config::Config;
use serde_json::Value;

use super::Ended;

/// How long the node may take.
const PATIENCE: Duration = Duration::from_secs(3);
/// Between two looks whether an order is in force.
const LOOK: Duration = Duration::from_millis(50);

#[derive(Subcommand)]
pub enum Ask {
    /// Who is there.
    Members(Form),
    /// What this node holds of each whole, and what of it is out.
    Budgets(Form),
    /// How the zones stand.
    Zones(Form),
    /// Have the whole fleet leave a zone, and stay out of it.
    Leave(ZoneForm),
    /// Have the fleet go back to a zone, by the usual pace; evidence counts again.
    Return(ZoneForm),
    /// Have a zone stay as it stands, whatever the evidence.
    Hold(ZoneForm),
}

#[derive(Args)]
pub struct ZoneForm {
    /// The zone.
    zone: String,
    /// The control address of any node; the configuration's where none is given.
    #[arg(long, value_name = "ADDRESS")]
    console: Option<SocketAddr>,
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
        Ask::Zones(form) => ("zones", form),
        Ask::Leave(form) => return order("leave", form),
        Ask::Return(form) => return order("return", form),
        Ask::Hold(form) => return order("hold", form),
    };
    let all = fetch(console(form.console)?, "GET", "fleet")?;
    let all: Value = serde_json::from_str(&all)?;
    let told = if key == "zones" { &all[key][key] } else { &all[key] };
    let rows = told.as_array().ok_or("the node says nothing of that")?;
    if form.json {
        println!("{}", serde_json::to_string_pretty(&all[key])?);
        return Ok(());
    }
    println!("fleet {}, {}, book at entry {}", text(&all["fleet"]), text(&all["me"]), text(&all["epoch"]));
    if key == "zones" {
        let blind = all[key]["own_evidence"] == true;
        let by = if blind { "; no keeper heard: this node goes by its own evidence" } else { "" };
        println!("zones at epoch {}{by}", text(&all[key]["epoch"]));
    }
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

fn console(told: Option<SocketAddr>) -> Result<SocketAddr, Box<dyn std::error::Error>> {
    match told {
        Some(at) => Ok(at),
        None => Ok(Config::from_env()?.0.console.ok_or("the configuration names no console")?),
    }
}

/// Gives an order by a node, and waits until that node has heard that it is agreed.
fn order(what: &str, form: &ZoneForm) -> Ended {
    let at = console(form.console)?;
    let zones = || -> Result<Value, Box<dyn std::error::Error>> {
        let all: Value = serde_json::from_str(&fetch(at, "GET", "fleet")?)?;
        Ok(all["zones"].clone())
    };
    let before = zones()?;
    fetch(at, "POST", &format!("zones/{what}/{}", form.zone))?;
    let by = Instant::now() + PATIENCE;
    while Instant::now() < by {
        let now = zones()?;
        if let Some(reason) = now["refused"].as_str() {
            return Err(format!("not carried out: {reason}").into());
        }
        if now["epoch"] != before["epoch"]
            && let Some(line) =
                now["zones"].as_array().and_then(|l| l.iter().find(|l| l["zone"] == form.zone.as_str()))
        {
            println!("zone {}: {} at epoch {}", form.zone, text(&line["life"]), text(&now["epoch"]));
            return Ok(());
        }
        std::thread::sleep(LOOK);
    }
    Err("asked, but not heard to be agreed; look at `holdlift fleet zones`, and at the keepers".into())
}

fn fetch(at: SocketAddr, method: &str, call: &str) -> Result<String, Box<dyn std::error::Error>> {
    let mut stream = TcpStream::connect_timeout(&at, PATIENCE).map_err(|e| format!("{at}: {e}"))?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(format!("{method} /control/{call} HTTP/1.1\r\nHost: node\r\n\r\n").as_bytes())?;
    let mut said = String::new();
    stream.read_to_string(&mut said)?;
    let (head, body) = said.split_once("\r\n\r\n").ok_or("no answer")?;
    if head.split(' ').nth(1) != Some("200") {
        return Err(body.trim_end().into());
    }
    Ok(body.to_owned())
}
