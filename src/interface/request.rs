//! A request as the decision module sees it.

use super::{ClassId, Micros, TenantId};

/// Identifies one attempt of a request within the lifetime of one server process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// A request that has been read and is queued.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifies this attempt.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if tenants are configured.
    pub tenant: Option<TenantId>,
    /// Whether it exceeds its tenant's quota over all servers, if quotas are counted.
    pub is_over_quota: bool,
    /// Whether it has a key: the subject of a read, or the idempotency key of a write.
    pub has_key: bool,
    /// When its caller stops waiting, if the caller has sent that.
    pub due: Option<Micros>,
    /// Expected work on a standard core, if the caller has sent a hint.
    pub expected_work: Option<Micros>,
    /// Memory that it uses while queued, kilobytes.
    pub held_kb: f64,
    /// Rank by priority weight, from 0 up to but excluding 1.
    pub rank: f64,
    /// Whether it is marked as a further attempt or a second copy.
    pub is_retry: bool,
    /// Whether it is a write.
    pub is_write: bool,
    /// Number that identifies the caller.
    pub caller: u32,
    /// Time from when it reached the machine until it was read.
    pub unread_time: Micros,
    /// The request with a retained key that this one repeats.
    pub repeats: Option<RequestId>,
}
