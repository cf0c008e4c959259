//! The agent's session in the event loop: links, moves, notices, and the bytes queued for the link in use.

use bytes::BytesMut;
use tokio::sync::oneshot;
use tracing::warn;

use super::Runtime;
use super::agent_link::AgentLink;
use crate::agent::{CommandInDoubt, Notice, gauges};
use crate::end::End;
use crate::interface::Micros;
use crate::node::Input;

impl Runtime {
    /// Uses a new link from here on. On a move the old link is still there.
    pub(super) fn use_agent_link(&mut self, link: AgentLink) {
        self.drop_agent_link();
        self.agent_link = Some(link);
        self.node.counters.agent_links += 1;
        let mut out = BytesMut::new();
        self.agent.linked(&mut out);
        self.send_to_agent(out);
    }

    /// Handles the end of a link; of the one in use if the number is its own.
    pub(super) fn agent_link_ended(&mut self, link_number: u64, end: End) {
        if self.is_agent_link(link_number) {
            warn!("agent link: {end}");
            self.drop_agent_link();
        }
    }

    /// Drains the link in use, as the agent has moved. `drained` is used once that is done or can't be.
    pub(super) fn begin_agent_move(&mut self, drained: oneshot::Sender<()>) {
        let mut out = BytesMut::new();
        self.agent.drain(&mut out);
        self.agent_move = Some(drained);
        self.send_to_agent(out);
        self.permit_agent_move();
    }

    fn is_agent_link(&self, link_number: u64) -> bool {
        self.agent_link.as_ref().is_some_and(|link| link.number == link_number)
    }

    /// Passes a notice to the session, and what it reports of runs, gauges and checks to the core. Notices of earlier links are
    /// ignored: the agent repeats them on the one in use.
    pub(super) fn handle_agent_notice(
        &mut self,
        now: Micros,
        link_number: u64,
        notice: Notice,
    ) -> Result<(), Box<dyn std::error::Error>> {
        if !self.is_agent_link(link_number) {
            return Ok(());
        }
        let mut out = BytesMut::new();
        let new_notice = self.agent.handle_notice(notice, &mut out);
        self.send_to_agent(out);
        self.report_commands_in_doubt(now);
        self.permit_agent_move();
        let input = match new_notice {
            None => return Ok(()),
            Some(Notice::Greeting { cold, .. }) => {
                if !self.node.is_started() {
                    self.start_core(cold)?;
                }
                return Ok(());
            }
            Some(Notice::Outcome { name, end, result, ms, .. }) => {
                let duration = Some(Micros::from_secs_f64(ms / 1e3));
                Input::RunEnded { name, outcome: end, result, duration }
            }
            Some(Notice::Request { n, name, body }) => Input::CallRequested { name, notice_id: n, body },
            Some(Notice::Sampled { tag, values }) => {
                Input::GaugesSampled(tag, gauges(&self.gauge_names, &values))
            }
            Some(Notice::Exercised { tag, ok }) => Input::DeepCheckEnded(tag, ok),
            Some(Notice::Refusal { command, name }) => {
                warn!(request = %name, "agent refused: {command} {name}");
                if command == "launch" { Input::LaunchRefused(name) } else { Input::CommandRefused }
            }
            Some(Notice::Aside { .. }) => return Ok(()),
        };
        self.node.handle_input(now, input, &mut self.outputs);
        Ok(())
    }

    /// Queues bytes for the agent. Without a link there are none, as the agent's session keeps its commands.
    pub(super) fn send_to_agent(&mut self, out: BytesMut) {
        let Some(link) = &self.agent_link else { return };
        if !out.is_empty() && link.queue.try_send(out.freeze()).is_err() {
            // The agent reads nothing; a new link sends what this one's socket has not accepted.
            warn!(link = link.number, "agent link {}: {}", link.number, End::Stalled);
            self.drop_agent_link();
        }
    }

    /// Lets the link's task move to the agent's new address, once the link in use is drained.
    fn permit_agent_move(&mut self) {
        if self.agent.is_drained()
            && let Some(drained) = self.agent_move.take()
        {
            // Fails only if the task has stopped waiting.
            let _ = drained.send(());
        }
    }

    fn drop_agent_link(&mut self) {
        if let Some(link) = self.agent_link.take() {
            self.agent.lost(link.accepted_bytes());
        }
    }

    /// Notifies the core of the commands that a broken link leaves in doubt.
    fn report_commands_in_doubt(&mut self, now: Micros) {
        for command in self.agent.take_in_doubt() {
            let input = match command {
                CommandInDoubt::Launch(name) => Input::LaunchInDoubt(name),
                CommandInDoubt::Reply { name, notice_id } => Input::ReplyInDoubt { name, notice_id },
            };
            self.node.handle_input(now, input, &mut self.outputs);
        }
    }
}
