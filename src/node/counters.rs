//! Counters of the requests, runs and calls of a node.

use std::collections::BTreeMap;
use std::fmt;

use super::message::{Answer, FailureReason, FrontId};
use crate::end::End;

/// Counts since the start, printed on request and at exit. `Display` prints each count under its established name, which
/// operators' tools match and which is not always the field's name.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Requests read, by front. Printed as `asked.FRONT`.
    pub received: BTreeMap<FrontId, u64>,
    /// Requests that a front rejected as invalid, by reason. Printed as `unfit.REASON`.
    pub rejected: BTreeMap<FailureReason, u64>,
    /// Health checks. Printed as `checks`.
    pub health_checks: u64,
    /// Requests whose caller left before the answer. Printed as `gone`.
    pub cancelled: u64,
    /// Answers with a result. Printed as `served`.
    pub completed: u64,
    /// Of those, answers with the result of another request. Printed as `shared`.
    pub shared_results: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed, by reason. Printed as `failed.REASON`.
    pub failed: BTreeMap<FailureReason, u64>,
    /// Answers that the core gave in place of the decision module. Printed as `backstop`.
    pub backstop_answers: u64,
    /// Runs launched.
    pub launched: u64,
    /// Launches withheld because they would have run a write twice. Printed as `withheld`.
    pub withheld_launches: u64,
    /// Runs paused. Printed as `paused`.
    pub paused_runs: u64,
    /// Paused runs resumed. Printed as `thawed`.
    pub resumed_runs: u64,
    /// Runs ended. Printed as `ended`.
    pub ended_runs: u64,
    /// Calls placed to dependencies.
    pub calls: u64,
    /// Of those, calls that succeeded. Printed as `calls_good`.
    pub successful_calls: u64,
    /// Requests with calls before their run. Printed as `gathers`.
    pub prefetches: u64,
    /// Commands that the agent refused. Printed as `refusals`.
    pub refused_commands: u64,
    /// Connections made to the agent. Printed as `links`.
    pub agent_links: u64,
    /// Launches that a broken link left in doubt and that were not repeated. Printed as `launches_in_doubt`.
    pub launches_in_doubt: u64,
    /// Replies to calls that a broken link left in doubt and that were not repeated. Printed as `replies_in_doubt`.
    pub replies_in_doubt: u64,
    /// Changed configurations that were read and applied.
    pub reloads: u64,
    /// Changed configurations that were read and rejected.
    pub reloads_failed: u64,
    /// Writes about which the incumbent process was asked. Printed as `claims`.
    pub incumbent_queries: u64,
    /// Of those, writes whose query was not answered in time. Printed as `claims_late`.
    pub incumbent_query_timeouts: u64,
    /// Steps of the decision module. Printed as `steps`.
    pub policy_steps: u64,
    /// Front connections closed, by front and reason. Printed as `closed.FRONT.REASON`.
    pub closed: BTreeMap<(FrontId, End), u64>,
    /// Requests cut off before they had been read completely. Printed as `cut_off`.
    pub truncated_requests: u64,
}

impl Counters {
    /// Counts an answer by its kind.
    pub(super) fn count_answer(&mut self, answer: &Answer) {
        match answer {
            Answer::Completed(_) => self.completed += 1,
            Answer::Refused { .. } => self.refused += 1,
            Answer::Failed(reason) => *self.failed.entry(*reason).or_default() += 1,
        }
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (front, count) in &self.received {
            write!(f, "asked.{front}={count} ")?;
        }
        for (reason, count) in &self.rejected {
            write!(f, "unfit.{}={count} ", reason.printed_name())?;
        }
        for (reason, count) in &self.failed {
            write!(f, "failed.{}={count} ", reason.printed_name())?;
        }
        for ((front, end), count) in &self.closed {
            write!(f, "closed.{front}.{end:?}={count} ")?;
        }
        let printed = [
            ("checks", self.health_checks),
            ("gone", self.cancelled),
            ("served", self.completed),
            ("shared", self.shared_results),
            ("refused", self.refused),
            ("backstop", self.backstop_answers),
            ("launched", self.launched),
            ("ended", self.ended_runs),
            ("calls", self.calls),
            ("calls_good", self.successful_calls),
            ("refusals", self.refused_commands),
            ("links", self.agent_links),
            ("launches_in_doubt", self.launches_in_doubt),
            ("replies_in_doubt", self.replies_in_doubt),
            ("reloads", self.reloads),
            ("reloads_failed", self.reloads_failed),
            ("steps", self.policy_steps),
            ("cut_off", self.truncated_requests),
            ("claims", self.incumbent_queries),
            ("claims_late", self.incumbent_query_timeouts),
            ("gathers", self.prefetches),
            ("withheld", self.withheld_launches),
            ("paused", self.paused_runs),
        ];
        for (name, count) in printed {
            write!(f, "{name}={count} ")?;
        }
        write!(f, "thawed={}", self.resumed_runs)
    }
}
