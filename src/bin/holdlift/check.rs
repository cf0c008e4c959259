//! `holdlift check`: whether a node could start with these files.

use super::{Ended, Told};

pub fn run(told: &Told) -> Ended {
    let (config, settings, edge, tiers) = told.read()?;
    let hosts = edge.uwsgi.as_ref().map_or(0, |u| u.hosts.len());
    println!("good: node {}, {hosts} uwsgi servers", config.name);
    for l in &edge.listeners {
        let room = l.connections.unwrap_or(0);
        println!(
            "  {}: {:?} on {}, {} profile, {room} connections",
            l.name, l.wire, l.listen, l.profile_name
        );
    }
    if let Some(coap) = &edge.coap {
        println!("  coap: on {}, {} exchanges", coap.listen, coap.exchanges);
    }
    if told.tiers.is_some() {
        let calls: usize = tiers.plans.classes.iter().map(Vec::len).sum();
        println!("  {} tiers, {calls} planned calls", tiers.plans.tiers.len());
    }
    if let Some(fleet) = told.fleet(&tiers, &settings)? {
        let (budgets, keepers) = (fleet.budgets.len(), fleet.keepers.len());
        println!("  fleet {}: {budgets} budgets, {keepers} keepers", fleet.name);
    }
    Ok(())
}
