//! Runs of which a broken agent link leaves open whether they go on.
//!
//! A command that must not be carried out twice is not sent again once the agent may have received it. The run is then
//! waited for: a notice about it decides. Where the command was lost no notice comes, and the run counts as ended at its
//! request's deadline, as one that may have had its effect.

use tracing::warn;

use super::message::Output;
use super::request_table::ExecutionState;
use super::{Node, RunEnd};
use crate::interface::{Micros, Outcome, RequestId};

impl Node {
    /// Handles a launch that may have been lost.
    pub(super) fn launch_in_doubt(&mut self, now: Micros, name: &str, out: &mut Vec<Output>) {
        self.counters.launches_in_doubt += 1;
        warn!(request = %name, "launch in doubt after a lost link; not repeated");
        self.await_run_in_doubt(now, name, out);
    }

    /// Handles the reply to a call that may have been lost. Where the class allows it, the run is told to continue without
    /// the call: that names the call, and so has no effect on a run that has received the reply.
    pub(super) fn reply_in_doubt(&mut self, now: Micros, name: &str, notice_id: u64, out: &mut Vec<Output>) {
        self.counters.replies_in_doubt += 1;
        warn!(request = %name, notice = notice_id, "reply in doubt after a lost link; not repeated");
        let Some(request) = self.by_name.get(name).and_then(|id| self.requests.get(id)) else { return };
        if self.settings.classes[request.class.0].weight_without_call > 0.0 {
            out.push(Output::SkipCall(name.to_owned(), notice_id));
        }
        self.await_run_in_doubt(now, name, out);
    }

    fn await_run_in_doubt(&mut self, now: Micros, name: &str, out: &mut Vec<Output>) {
        let Some(&id) = self.by_name.get(name) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_in_doubt = request.state == ExecutionState::Running;
        if now >= request.backstop {
            self.end_run_in_doubt(now, id, out);
        }
    }

    /// Ends the wait for a run in doubt, at its request's deadline: nothing that it could still do is in time.
    pub(super) fn end_run_in_doubt(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        if self.requests.get(&id).is_some_and(|request| request.is_answered && request.is_in_doubt) {
            let end = RunEnd { outcome: Outcome::Cancelled, ..RunEnd::not_begun() };
            self.run_ended(now, id, end, out);
        }
    }
}
