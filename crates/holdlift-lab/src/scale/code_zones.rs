//! The judge of zones by nodes, and a node's purse by budgets, with what its messages weigh.

use std::hint::black_box;

use holdlift::Micros;
use holdlift::fleet::datagram::{DatagramCodec, FleetMessage};
use holdlift::fleet::lease::holder::{LeaseHolder, ReleaseEvidence};
use holdlift::fleet::lease::ledger::{BudgetDemand, BudgetGrant, LeaseRequest, LeaseResponse};
use holdlift::fleet::{LeaseHolderId, LeaseInstant, NAME_MAX};
use holdlift::zone::ZoneStatusMap;
use holdlift::zone::health_evaluator::{EvaluatorSettings, ZoneHealthEvaluator};
use holdlift::zone::health_report::ZoneHealthReport;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::code::{Figures, cpu, rss_kb};
use super::code_book::{PACE_S, bounds, budgets};

const ZONES: usize = 6;
/// Summaries of a node a second, and looks of the judge.
const SUMMARIES: f64 = 4.0;
const LOOKS: f64 = 10.0;

fn seen(draws: &mut ChaCha8Rng) -> Vec<ZoneHealthReport> {
    let one = |z| {
        let calls = draws.random_range(20..60);
        ZoneHealthReport {
            zone: format!("zone-{z}"),
            calls,
            failed: u32::from(draws.random::<f64>() < 0.1),
            mean_us: 5_000,
        }
    };
    (0..ZONES).map(one).collect()
}

/// All nodes report four times a second, for ten seconds; the judge looks ten times a second.
pub(super) fn judge(nodes: usize, seed: u64) -> Figures {
    let mut draws = ChaCha8Rng::seed_from_u64(seed);
    let settings = EvaluatorSettings {
        zones: (0..ZONES).map(|z| format!("zone-{z}")).collect(),
        max_out_share: 0.34,
        first_out_duration: Micros::from_millis(10_000),
        max_out_duration: Micros::from_millis(600_000),
        return_step: Micros::from_millis(1_000),
        returns_at_full_weight: false,
    };
    let reports: Vec<(String, String, Vec<ZoneHealthReport>)> = (0..nodes)
        .map(|i| (format!("intake-{i}"), format!("zone-{}", i % ZONES), seen(&mut draws)))
        .collect();
    let before = rss_kb();
    let (mut judge, mut lines) = (ZoneHealthEvaluator::new(settings), ZoneStatusMap::default());
    let seconds = 10;
    let start = cpu();
    for look in 0..seconds * LOOKS as u64 {
        let now = Micros::from_millis(1_000 + look * 100);
        // Each node's turn comes every two and a half looks.
        for (i, (node, zone, seen)) in reports.iter().enumerate() {
            if (look * 2 + i as u64) % 5 < 2 {
                judge.record_report(now, node, zone, seen);
            }
        }
        if let Some((change, _)) = judge.evaluate(now, &lines) {
            let _ = lines.apply(&change);
        }
    }
    let took = (cpu() - start).as_secs_f64();
    let memory = rss_kb() - before;
    let start = cpu();
    for _ in 0..20 {
        black_box(judge.evaluate(Micros::from_millis(11_000), &lines));
    }
    let look = (cpu() - start).as_secs_f64() / 20.0;
    let report = FleetMessage::ZoneHealth {
        node: "intake-899".into(),
        zone: "zone-5".into(),
        epoch: 1_000,
        reports: reports.first().map(|r| r.2.clone()).unwrap_or_default(),
    };
    let bytes = DatagramCodec::for_fleet("fleet").encode(&report).map_or(0, |f| f.len()) as f64;
    Figures::from([
        ("cpu_percent".to_owned(), took / seconds as f64 * 100.0),
        ("look_us".to_owned(), look * 1e6),
        ("memory_kb".to_owned(), memory),
        ("summary_bytes".to_owned(), bytes),
        ("node.sent_bytes_per_s".to_owned(), bytes * SUMMARIES),
        ("keeper.taken_bytes_per_s".to_owned(), bytes * SUMMARIES * nodes as f64),
    ])
}

/// An ask with the longest names and the largest numbers that there may be.
fn largest(budgets: usize) -> LeaseRequest {
    let line =
        |i: usize| BudgetDemand { budget: format!("{i:0NAME_MAX$}"), retained: u32::MAX, demand: u32::MAX };
    LeaseRequest {
        holder: LeaseHolderId { name: "n".repeat(NAME_MAX), incarnation: u64::MAX },
        seq: u64::MAX,
        acknowledged_seq: u64::MAX,
        has_valid_lease: true,
        weight: u32::MAX,
        is_leaving: true,
        demands: (0..budgets).map(line).collect(),
    }
}

/// One node's purse: what a call spends, an ask and its answer, and the bytes of both.
pub(super) fn purse(n: usize) -> Figures {
    let all = budgets(n, 900);
    let holder = LeaseHolderId { name: "intake-899".into(), incarnation: 1_764_000_000_000_000 };
    let before = rss_kb();
    let mut purses: Vec<LeaseHolder> =
        (0..200).map(|_| LeaseHolder::new(LeaseInstant(0), holder.clone(), 1, bounds(), &all)).collect();
    let memory = (rss_kb() - before) / purses.len() as f64;
    let Some(mut purse) = purses.pop() else { return Figures::new() };
    let (mut asked, mut spent) = (0.0, 0.0);
    let (rounds, calls) = (2_000u64, 20);
    let framing = DatagramCodec::for_fleet("fleet");
    let (mut ask_bytes, mut told_bytes) = (0, 0);
    for round in 0..rounds {
        let now = LeaseInstant(1_000_000 + round * 100_000);
        let start = cpu();
        let ask = purse.next_request(now);
        let line =
            |b: &holdlift::fleet::Budget| BudgetGrant { budget: b.name.clone(), amount: 20, target: 20 };
        let told = LeaseResponse {
            holder: holder.clone(),
            seq: ask.seq,
            epoch: round,
            grants: all.iter().map(line).collect(),
        };
        let frame = framing.encode(&FleetMessage::LeaseRequest(ask)).unwrap_or_default();
        let heard = framing.encode(&FleetMessage::LeaseResponse(told.clone())).unwrap_or_default();
        purse.accept_response(&told);
        asked += (cpu() - start).as_secs_f64();
        (ask_bytes, told_bytes) = (frame.len(), heard.len());
        let start = cpu();
        for call in 0..calls {
            let now = now + Micros(call * 1_000);
            // A call falls under its tier's budget.
            if let Ok(s) = purse.acquire(now, &[call as usize % n]) {
                purse.release(&s, ReleaseEvidence::Answered);
            }
        }
        spent += (cpu() - start).as_secs_f64();
    }
    let asked_s = asked / rounds as f64;
    let largest = framing.encode(&FleetMessage::LeaseRequest(largest(n))).map_or(0, |f| f.len());
    Figures::from([
        ("ask_and_answer_us".to_owned(), asked_s * 1e6),
        ("ask_percent".to_owned(), asked_s / PACE_S * 100.0),
        ("spend_us".to_owned(), spent / (rounds * calls) as f64 * 1e6),
        ("memory_kb".to_owned(), memory),
        ("ask_bytes".to_owned(), ask_bytes as f64),
        ("told_bytes".to_owned(), told_bytes as f64),
        ("node.sent_bytes_per_s".to_owned(), ask_bytes as f64 / PACE_S),
        ("node.taken_bytes_per_s".to_owned(), told_bytes as f64 / PACE_S),
        ("largest_ask_bytes".to_owned(), largest as f64),
    ])
}
