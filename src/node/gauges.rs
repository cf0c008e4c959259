//! Health checks, and the load gauges that the decision module gets.

use super::deadlines::Deadline;
use super::message::{Output, ResponseRoute};
use super::{DEEP_CHECK_TIMEOUT, Node};
use crate::interface::{Event, Gauges, Micros};

/// The use of server slots is averaged over this span, as the agent does with its cores.
const SLOT_WINDOW: Micros = Micros::from_millis(500);

impl Node {
    /// Answers a health check from the stored state, or asks the agent to do work for a deep one.
    pub(super) fn check_health(
        &mut self,
        now: Micros,
        route: ResponseRoute,
        is_deep: bool,
        out: &mut Vec<Output>,
    ) {
        self.counters.health_checks += 1;
        if is_deep && self.is_started() && !self.answers_health_from_store && self.options.has_agent {
            self.next_tag += 1;
            let until = now + DEEP_CHECK_TIMEOUT;
            self.deep_checks.insert(self.next_tag, (route, until));
            self.deadlines.insert((until, Deadline::DeepCheck(self.next_tag)));
            return out.push(Output::RunDeepCheck(format!("e{}", self.next_tag)));
        }
        out.push(Output::HealthResponse(route, self.is_started() && self.is_healthy, self.load_signal));
    }

    /// Handles the agent's answer to a deep health check. Answers to unknown checks are ignored.
    pub(super) fn deep_check_ended(&mut self, tag: &str, succeeded: bool, out: &mut Vec<Output>) {
        let Some(check) = parse_tag(tag, 'e') else { return };
        let Some((route, until)) = self.deep_checks.remove(&check) else { return };
        self.deadlines.remove(&(until, Deadline::DeepCheck(check)));
        out.push(Output::HealthResponse(route, succeeded && self.is_healthy, self.load_signal));
    }

    /// Handles the gauges that the agent has sent for a timer. Gauges that come too late are ignored.
    pub(super) fn gauges_sampled(&mut self, now: Micros, tag: &str, agent_gauges: Gauges) {
        let Some(sample) = parse_tag(tag, 's') else { return };
        let Some((token, until)) = self.gauge_samples.remove(&sample) else { return };
        // The sample has arrived, so its timeout must not wake the node.
        self.deadlines.remove(&(until, Deadline::GaugeSample(sample)));
        let gauges = self.combine_gauges(now, Some(agent_gauges));
        self.events.push(Event::Timer(token, gauges));
    }

    /// The gauges for the decision module: those of the agent, if there is one, plus the share of servers that
    /// declare slots. That share is estimated as slots in use over slots declared, because nothing measures the servers'
    /// cores.
    pub(super) fn combine_gauges(&mut self, now: Micros, agent_gauges: Option<Gauges>) -> Gauges {
        if self.options.server_slots == 0 || (agent_gauges.is_some() && self.options.servers_share_cores) {
            return agent_gauges.unwrap_or_default();
        }
        let slot_use = f64::from(self.slots_in_use) / f64::from(self.options.server_slots);
        self.slot_samples.push_back((now, slot_use.min(1.0)));
        while self.slot_samples.front().is_some_and(|sample| sample.0 + SLOT_WINDOW < now) {
            self.slot_samples.pop_front();
        }
        let busy =
            self.slot_samples.iter().map(|sample| sample.1).sum::<f64>() / self.slot_samples.len() as f64;
        let on_cores = slot_use * f64::from(self.settings.cores);
        let agent = agent_gauges.unwrap_or_default();
        Gauges {
            busy: Some(agent.busy.unwrap_or(0.0).max(busy)),
            on_cores: Some(agent.on_cores.unwrap_or(0.0) + on_cores),
            memory: agent.memory,
            connections: agent.connections.or(Some(self.open_connections as f64)),
        }
    }
}

/// The number in a tag that this core has issued: one letter for the kind, then the number.
fn parse_tag(tag: &str, kind: char) -> Option<u64> {
    tag.strip_prefix(kind)?.parse().ok()
}
