//! `holdlift check`: checks whether a node can start with these files.

use super::{CommandResult, GlobalOptions};

pub fn run(options: &GlobalOptions) -> CommandResult {
    let (config, settings, edge, tiers) = options.read_node_files()?;
    let hosts = edge.uwsgi.as_ref().map_or(0, |u| u.hosts.len());
    println!("good: node {}, {hosts} uwsgi servers", config.name);
    for l in &edge.listeners {
        let connections = l.connections.unwrap_or(0);
        println!(
            "  {}: {:?} on {}, {} profile, {connections} connections",
            l.name, l.wire, l.listen, l.profile_name
        );
    }
    if let Some(coap) = &edge.coap {
        println!("  coap: on {}, {} exchanges", coap.listen, coap.exchanges);
    }
    if options.tiers.is_some() {
        let calls: usize = tiers.plans.classes.iter().map(Vec::len).sum();
        println!("  {} tiers, {calls} planned calls", tiers.plans.tiers.len());
    }
    if let Some(fleet) = options.read_fleet(&tiers, &settings)? {
        let (budgets, replicas) = (fleet.budgets.len(), fleet.keepers.len());
        println!("  fleet {}: {budgets} budgets, {replicas} keepers", fleet.name);
    }
    Ok(())
}
