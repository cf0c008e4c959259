//! Membership by nodes, on a network in memory: starts, losses, and two regions that lose each other and find each other
//! again, each with its time and bytes.

use super::code::{Figures, cpu, rss_kb};
use super::members_net::{Carried, KEEPERS, Net, Repair, Start};

/// What all know is looked at that often.
const LOOK_MS: u64 = 250;
/// The start, which is measured by itself.
const START_MS: u64 = 60_000;
/// News of the start is passed on for so long; at rest from there on, measured for so long.
const CALM_MS: u64 = 30_000;
const REST_MS: u64 = 20_000;
/// Nothing is waited for any longer.
const LONGEST_MS: u64 = 120_000;
/// Regions lose each other for so long.
const CUT_MS: u64 = 180_000;
/// A rack, and a zone at the size that is planned for.
const GONE: [usize; 2] = [40, 150];

/// All scenes at one size; of a thousand datagrams so many are lost.
pub(super) fn measure(nodes: usize, seed: u64, lost: u32) -> Figures {
    let start = Start { nodes, within_ms: 0, lost, repair: Repair::Carried, seed };
    let mut figures = Figures::new();
    let before = rss_kb();
    let mut net = at_once(start, &mut figures);
    figures.insert("memory_kb".into(), (rss_kb() - before) / (nodes + KEEPERS) as f64);
    cut(&mut net, nodes, &mut figures);
    drop(net);
    let mut net = Net::new(Start { within_ms: 10_000, ..start });
    let took = net.until_whole(LOOK_MS, LONGEST_MS);
    event("within10", &mut net, nodes, took, &mut figures);
    net.run(CALM_MS);
    for gone in GONE {
        net.carried();
        net.kill(gone.min(nodes / 6));
        let took = net.until_whole(LOOK_MS, LONGEST_MS);
        event(&format!("loss{gone}"), &mut net, nodes, took, &mut figures);
        net.run(CALM_MS);
    }
    match lost {
        0 => figures,
        _ => figures
            .into_iter()
            .map(|(name, v)| (format!("lost{}.{name}", f64::from(lost) / 10.0), v))
            .collect(),
    }
}

/// What an event cost, and how long it was until all knew what was so; without a time where not all did.
fn event(name: &str, net: &mut Net, nodes: usize, took: Option<u64>, figures: &mut Figures) {
    let (carried, census) = (net.carried(), net.census());
    let mut put = |figure: &str, v: f64| figures.insert(format!("{name}.{figure}"), v);
    if let Some(ms) = took {
        put("all_know_s", ms as f64 / 1e3);
    }
    put("wrong_pairs", (census.unknown + census.extra) as f64);
    put("sent_kb_per_s", mean(carried, nodes));
    put("node_peak_kb_per_s", carried.node_peak as f64 / 1e3);
    put("keeper_peak_kb_per_s", carried.keeper_peak as f64 / 1e3);
}

/// Sent by one, KB a second.
fn mean(carried: Carried, nodes: usize) -> f64 {
    carried.bytes as f64 / (nodes + KEEPERS) as f64 / carried.ms as f64
}

/// All start in the same moment; the first minute, and the rest.
fn at_once(start: Start, figures: &mut Figures) -> Net {
    let (n, mut net) = ((start.nodes + KEEPERS) as f64, Net::new(start));
    let (mut all_know, mut nearly) = (None, None);
    let mut put = |name: &str, v: f64| figures.insert(name.to_owned(), v);
    let began = cpu();
    while net.ms() < START_MS {
        net.run(LOOK_MS);
        if all_know.is_none() {
            let worst = net.census().worst as f64;
            if worst <= n * 0.01 {
                nearly.get_or_insert(net.ms());
            }
            if worst == 0.0 {
                all_know = Some(net.ms());
            }
        }
    }
    let carried = net.carried();
    let seconds = n * START_MS as f64 / 1e3;
    put("first_minute.unknown_to_one", net.census().worst as f64);
    put("first_minute.sent_kb_per_s", mean(carried, start.nodes));
    put("first_minute.cpu_percent", (cpu() - began).as_secs_f64() / seconds * 100.0);
    put("start.keeper_peak_kb_per_s", carried.keeper_peak as f64 / 1e3);
    put("start.node_peak_kb_per_s", carried.node_peak as f64 / 1e3);
    if let Some(ms) = nearly {
        put("all_know_99_of_100_s", ms as f64 / 1e3);
    }
    if let Some(ms) = all_know {
        put("all_know_all_s", ms as f64 / 1e3);
    }
    net.run(CALM_MS);
    net.carried();
    let began = cpu();
    net.run(REST_MS);
    let (carried, seconds) = (net.carried(), n * REST_MS as f64 / 1e3);
    put("rest.messages_per_s", carried.messages as f64 / seconds);
    put("rest.sent_kb_per_s", mean(carried, start.nodes));
    put("rest.cpu_percent", (cpu() - began).as_secs_f64() / seconds * 100.0);
    net
}

/// The regions lose each other, and find each other again.
fn cut(net: &mut Net, nodes: usize, figures: &mut Figures) {
    let began = net.ms();
    net.cut(true);
    let took = net.until_whole(LOOK_MS, CUT_MS);
    event("cut", net, nodes, took, figures);
    net.run((began + CUT_MS).saturating_sub(net.ms()));
    net.carried();
    net.cut(false);
    let took = net.until_whole(LOOK_MS, LONGEST_MS);
    event("healed", net, nodes, took, figures);
}
