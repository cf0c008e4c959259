//! The inputs and outputs of the core, independent of any wire format.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::idempotency::Change;
use crate::interface::{ClassId, Gauges, Micros, Outcome, TenantId};
use crate::time::Arrival;

/// The name of a front. Answers go back through the front by which the request came. Results are shared within one front
/// only, as they are encoded in its wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FrontId(pub &'static str);

impl fmt::Display for FrontId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// The kind of worker that runs a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Worker {
    /// The agent on this machine, which measures its cores.
    Agent,
    /// Servers that declare slots. The use of their cores is not measured.
    Servers,
}

/// In which processes the name of a request is unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReferenceScope {
    /// In every process of this node: the sender chose the name.
    AllProcesses,
    /// In this process only, which chose the name.
    ThisProcess,
}

/// Where the answer to a request or a health check goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResponseRoute {
    /// The front.
    pub front: FrontId,
    /// The connection.
    pub connection: u64,
    /// The request's number on that connection.
    pub request_number: u32,
}

/// A request, as a front has read it.
#[derive(Clone, Debug, PartialEq)]
pub struct IncomingRequest {
    /// Names this attempt, here and to its worker.
    pub name: String,
    /// In which processes that name is unique.
    pub reference_scope: ReferenceScope,
    /// The kind of worker that runs it.
    pub worker: Worker,
    /// Whether calls are made for it before its run begins.
    pub needs_prefetch: bool,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Whether it exceeds its tenant's quota over the whole fleet.
    pub is_over_quota: bool,
    /// In a class that deduplicates by key, the idempotency key; in other classes, the subject of a read.
    pub key: Option<String>,
    /// Expected work on a standard core.
    pub expected_work: Option<Micros>,
    /// Kilobytes of memory while it is queued.
    pub held_kb: f64,
    /// Its position by priority, 0 to under 1.
    pub rank: f64,
    /// Whether it is a further attempt or a second copy.
    pub is_retry: bool,
    /// The caller's number.
    pub caller: u32,
    /// When it reached the machine.
    pub arrived: Arrival,
    /// How long its caller waits, counted from the arrival, if the caller states it; at most its class's deadline.
    pub time_limit: Option<Micros>,
    /// Its body, unchanged.
    pub body: Bytes,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FailureReason {
    /// Its run failed, or a call that it needs did.
    RunFailed,
    /// It ran out of time.
    DeadlineExceeded,
    /// Its class is unknown.
    UnknownClass,
    /// Its fields are invalid.
    BadRequest,
    /// Too many requests are open on its connection.
    TooManyRequests,
    /// It repeats a write that may have run.
    RepeatedWrite,
    /// Its idempotency key belongs to a request with another body.
    KeyConflict,
}

impl FailureReason {
    /// The name of this reason in counters and log lines.
    pub(super) fn printed_name(self) -> &'static str {
        match self {
            FailureReason::RunFailed => "Run",
            FailureReason::DeadlineExceeded => "Late",
            FailureReason::UnknownClass => "UnknownClass",
            FailureReason::BadRequest => "BadRequest",
            FailureReason::TooManyRequests => "TooMany",
            FailureReason::RepeatedWrite => "Repeat",
            FailureReason::KeyConflict => "Conflict",
        }
    }
}

/// The one final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result, unchanged.
    Completed(Bytes),
    /// Refused: this attempt never ran.
    Refused {
        /// How long the caller should wait before it tries again; zero if the refusal gives no advice.
        retry_after: Micros,
        /// Whether the caller should not try another server.
        is_final: bool,
    },
    /// Failed. The work may have run.
    Failed(FailureReason),
}

impl fmt::Display for Answer {
    /// The answer's kind and reason, for logs; never a result.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Answer::Completed(result) => write!(f, "completed, {} bytes", result.len()),
            Answer::Refused { retry_after, is_final } => {
                write!(f, "refused, retry after {} ms, final {is_final}", retry_after.0 / 1_000)
            }
            Answer::Failed(reason) => write!(f, "failed: {}", reason.printed_name()),
        }
    }
}

/// An event that the core handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A front has read a request.
    RequestReceived(ResponseRoute, Box<IncomingRequest>),
    /// A front has answered an invalid request itself.
    RequestRejected(FailureReason),
    /// The caller of a request waits no longer.
    RequestCancelled(ResponseRoute),
    /// A front connection has closed, which cancels all requests on it.
    ConnectionClosed(FrontId, u64),
    /// A health check.
    HealthCheck {
        /// Where the answer goes.
        route: ResponseRoute,
        /// Whether the check must do work, instead of reporting the stored state.
        is_deep: bool,
    },
    /// A run has ended.
    RunEnded {
        /// The request.
        name: String,
        /// How it ended.
        outcome: Outcome,
        /// The result if it succeeded, else empty.
        result: Bytes,
        /// How long it took, if the worker measures that.
        duration: Option<Micros>,
    },
    /// A run has requested a call to a dependency and waits for the reply.
    CallRequested {
        /// The request.
        name: String,
        /// The number of the agent's notice.
        notice_id: u64,
        /// The call's body.
        body: Bytes,
    },
    /// The worker refused the launch of the named request.
    LaunchRefused(String),
    /// A link broke behind the launch of the named request: its run may have begun and even ended, or may never begin. It
    /// is not launched again.
    LaunchInDoubt(String),
    /// A link broke behind the reply to a call: the run may have received it, or may wait for it. It is not sent again.
    ReplyInDoubt {
        /// The request.
        name: String,
        /// The number of the notice that requested the call.
        notice_id: u64,
    },
    /// The agent refused a command other than a launch.
    CommandRefused,
    /// The gauges that were requested under this tag.
    GaugesSampled(String, Gauges),
    /// The deep health check with this tag has ended; `true` if it succeeded.
    DeepCheckEnded(String, bool),
    /// A call to a dependency has ended.
    CallEnded {
        /// The call.
        call_id: u64,
        /// How it ended.
        outcome: Outcome,
        /// The reply; empty if there is none.
        body: Bytes,
        /// Whether anything was sent for it.
        was_sent: bool,
    },
    /// A stage of the calls before a run has ended.
    PrefetchStageEnded {
        /// The call number that identifies the stage.
        call_id: u64,
        /// How it ended.
        outcome: Outcome,
        /// Whether another stage follows.
        has_more: bool,
    },
    /// The process has had the notice to leave and is stopped at this time.
    DrainRequested(Micros),
    /// A successor process now serves the node. This process completes its open requests and is stopped at this time.
    SuccessorStarted(Micros),
    /// Another process of this node reports a change to a write.
    ChangeReceived(Change),
    /// The other process of this node has ended, or the link to it has.
    PeerProcessEnded,
}

/// An action for the runtime to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send the answer to a request, with the load signal.
    Answer(ResponseRoute, Answer, Option<f64>),
    /// Answer a health check, with the load signal.
    HealthResponse(ResponseRoute, bool, Option<f64>),
    /// Start a run.
    Launch {
        /// The kind of worker.
        worker: Worker,
        /// The request.
        name: String,
        /// Its class.
        class: ClassId,
        /// Its body.
        body: Bytes,
    },
    /// Stop a run.
    StopRun(Worker, String),
    /// Resume a paused run on the agent.
    ResumeRun(String),
    /// Give a run the reply to its call.
    DeliverReply {
        /// The request.
        name: String,
        /// The number of the notice that requested the call.
        notice_id: u64,
        /// The reply, unchanged.
        reply: Bytes,
    },
    /// Let a run continue without the call that it requested with this notice number.
    SkipCall(String, u64),
    /// Ask the agent for its gauges, under this tag.
    SampleGauges(String),
    /// Ask the agent for a deep health check, under this tag.
    RunDeepCheck(String),
    /// Place a call to a dependency.
    PlaceCall {
        /// The call number, unique in this process.
        call_id: u64,
        /// The request that it is made for.
        name: String,
        /// The request's class.
        class: ClassId,
        /// The index of the call among the request's calls, from 0.
        call_index: u32,
        /// When it is abandoned.
        deadline: Micros,
        /// Its body.
        body: Bytes,
        /// Whether it must not be made twice.
        is_one_shot: bool,
        /// Whether an earlier attempt of this call has sent anything.
        is_repeat: bool,
    },
    /// Make the calls of the next prefetch stage.
    Prefetch {
        /// The call number that identifies the stage.
        call_id: u64,
        /// The request.
        name: String,
        /// Its class.
        class: ClassId,
        /// When the stage ends, with the replies received by then.
        deadline: Micros,
        /// The request's body.
        body: Bytes,
    },
    /// End a prefetch stage now; the value is its call number.
    EndPrefetchStage(u64),
    /// Drop the replies and calls of a request's prefetch.
    CancelPrefetch(String),
    /// Abandon the call with this number.
    AbandonCall(u64),
    /// Report this health to health checks and the directory from now on; `true` if the node is healthy.
    HealthChanged(bool),
    /// Close connections that have been idle for this long.
    CloseIdleConnections(Micros),
    /// Ask callers on open connections for no further requests.
    AnnounceDrain,
    /// Write a line to the log.
    Log(String),
}

/// Options of the core beyond the settings of the decision module.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Whether there is an agent, which provides gauges.
    pub has_agent: bool,
    /// Number of slots that the servers declare in total; 0 without such servers.
    pub server_slots: u32,
    /// Whether those servers run on the agent's cores, so that its gauges cover them.
    pub servers_share_cores: bool,
    /// Whether reads may be answered with each other's results. Only callers' requests may: a call from the tier above
    /// is one step of one run, and the second call of a run does not repeat its first, even with equal class and key.
    pub shares_reads: bool,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
}
