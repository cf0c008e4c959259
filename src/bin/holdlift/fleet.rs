//! `holdlift fleet`: shows a running node's view of its fleet and sends zone orders, both through its control address.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use holdlift::config::Config;
use serde_json::Value;

use super::CommandResult;

/// Time limit for connecting to the node, for its answer, and for an order to be agreed.
const NODE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between two queries whether an order is agreed.
const ORDER_POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Subcommand)]
pub enum FleetCommand {
    /// Who is there.
    Members(ViewArgs),
    /// What this node holds of each whole, and what of it is out.
    Budgets(ViewArgs),
    /// How the zones stand.
    Zones(ViewArgs),
    /// Have the whole fleet leave a zone, and stay out of it.
    Leave(ZoneArgs),
    /// Have the fleet go back to a zone, by the usual pace; evidence counts again.
    Return(ZoneArgs),
    /// Have a zone stay as it stands, whatever the evidence.
    Hold(ZoneArgs),
}

#[derive(Args)]
pub struct ZoneArgs {
    /// The zone.
    zone: String,
    /// The control address of any node; the configuration's where none is given.
    #[arg(long, value_name = "ADDRESS")]
    console: Option<SocketAddr>,
}

#[derive(Args)]
pub struct ViewArgs {
    /// The node's control address; the configuration's where none is given.
    #[arg(long, value_name = "ADDRESS")]
    console: Option<SocketAddr>,
    /// As JSON.
    #[arg(long)]
    json: bool,
}

pub fn run(command: &FleetCommand) -> CommandResult {
    let (key, args) = match command {
        FleetCommand::Members(args) => ("members", args),
        FleetCommand::Budgets(args) => ("budgets", args),
        FleetCommand::Zones(args) => ("zones", args),
        FleetCommand::Leave(args) => return send_order("leave", args),
        FleetCommand::Return(args) => return send_order("return", args),
        FleetCommand::Hold(args) => return send_order("hold", args),
    };
    let all = fetch(control_address(args.console)?, "GET", "fleet")?;
    let all: Value = serde_json::from_str(&all)?;
    let listing = if key == "zones" { &all[key][key] } else { &all[key] };
    let rows = listing.as_array().ok_or("the node's response has no such list")?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&all[key])?);
        return Ok(());
    }
    println!("fleet {}, {}, book at entry {}", text(&all["fleet"]), text(&all["me"]), text(&all["epoch"]));
    if key == "zones" {
        let uses_own_evidence = all[key]["own_evidence"] == true;
        let source =
            if uses_own_evidence { "; no keeper heard: this node goes by its own evidence" } else { "" };
        println!("zones at epoch {}{source}", text(&all[key]["epoch"]));
    }
    let Some(first) = rows.first().and_then(Value::as_object) else { return Ok(()) };
    let columns: Vec<&String> = first.keys().collect();
    let cells: Vec<Vec<String>> =
        rows.iter().map(|r| columns.iter().map(|c| text(&r[c.as_str()])).collect()).collect();
    let column_width =
        |i: usize| cells.iter().map(|r| r[i].len()).chain([columns[i].len()]).max().unwrap_or(0);
    let print_row = |row: Vec<&str>| {
        let padded: Vec<String> =
            row.iter().enumerate().map(|(i, c)| format!("{c:<width$}", width = column_width(i))).collect();
        println!("{}", padded.join("  ").trim_end());
    };
    print_row(columns.iter().map(|c| c.as_str()).collect());
    cells.iter().for_each(|r| print_row(r.iter().map(String::as_str).collect()));
    Ok(())
}

/// A JSON value as a table cell: strings without quotes.
fn text(v: &Value) -> String {
    v.as_str().map_or_else(|| v.to_string(), str::to_owned)
}

/// The control address: the given one, or else the configuration's.
fn control_address(given: Option<SocketAddr>) -> Result<SocketAddr, Box<dyn std::error::Error>> {
    match given {
        Some(at) => Ok(at),
        None => Ok(Config::from_env()?.0.console.ok_or("the configuration names no console")?),
    }
}

/// Sends a zone order to a node, and waits until the node reports that the order is agreed.
fn send_order(what: &str, args: &ZoneArgs) -> CommandResult {
    let at = control_address(args.console)?;
    let zones = || -> Result<Value, Box<dyn std::error::Error>> {
        let all: Value = serde_json::from_str(&fetch(at, "GET", "fleet")?)?;
        Ok(all["zones"].clone())
    };
    let before = zones()?;
    fetch(at, "POST", &format!("zones/{what}/{}", args.zone))?;
    let deadline = Instant::now() + NODE_TIMEOUT;
    while Instant::now() < deadline {
        let now = zones()?;
        if let Some(reason) = now["refused"].as_str() {
            return Err(format!("not carried out: {reason}").into());
        }
        if now["epoch"] != before["epoch"]
            && let Some(line) =
                now["zones"].as_array().and_then(|l| l.iter().find(|l| l["zone"] == args.zone.as_str()))
        {
            println!("zone {}: {} at epoch {}", args.zone, text(&line["life"]), text(&now["epoch"]));
            return Ok(());
        }
        std::thread::sleep(ORDER_POLL_INTERVAL);
    }
    Err("the order was sent, but the node did not report its agreement in time; see `holdlift fleet zones` and the replicas".into())
}

/// Makes one call to a node's control address and returns the body; a status other than 200 is an error with that body.
fn fetch(at: SocketAddr, method: &str, call: &str) -> Result<String, Box<dyn std::error::Error>> {
    let mut stream = TcpStream::connect_timeout(&at, NODE_TIMEOUT).map_err(|e| format!("{at}: {e}"))?;
    stream.set_read_timeout(Some(NODE_TIMEOUT))?;
    stream.write_all(format!("{method} /control/{call} HTTP/1.1\r\nHost: node\r\n\r\n").as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    let (head, body) = response
        .split_once("\r\n\r\n")
        .ok_or("the node closed the connection without a complete HTTP response")?;
    if head.split(' ').nth(1) != Some("200") {
        return Err(body.trim_end().into());
    }
    Ok(body.to_owned())
}
