//! The account of one connection: what it holds, the credit that it has earned, and its deadlines.

use super::profile::{Pace, Profile, Progress};
use super::sources::Source;
use super::{ConnectionId, ConnectionReport, ListenerId};
use crate::end::End;
use crate::interface::Micros;

/// Credit per byte. Credit is kept in bytes times microseconds, so that a rate times a span needs no rounding.
const CREDIT_PER_BYTE: i64 = 1_000_000;
/// A sender at this rate or above, bytes per second, is read as it sends: its message is complete within moments.
const FAST_SENDER_RATE: u64 = 8 << 10;
/// A sender is read as it sends for this long before its rate is judged.
const RATE_MEASUREMENT_MIN: Micros = Micros::from_millis(500);
/// The shortest pause between two reads of a slow sender: reading more often would save no wake-ups.
pub(super) const READ_PAUSE_MIN: Micros = Micros::from_millis(50);

/// Whether a connection is read, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadState {
    /// It is read as it sends.
    Active,
    /// The sender is slow, and its socket is read at this time.
    Paused(Micros),
    /// The budget of unfinished messages has no room for what it sends.
    WaitingForBudget,
}

#[derive(Debug)]
pub(super) struct ConnectionAccount {
    pub listener: ListenerId,
    pub source: Source,
    pub profile: Profile,
    /// When it was accepted, or last submitted a request or received an answer.
    pub last_activity: Micros,
    /// It has submitted a request.
    pub has_submitted: bool,
    /// It has been chosen for eviction.
    pub is_evicted: bool,
    /// When bytes last came from it.
    last_byte_at: Micros,
    last_report_at: Micros,
    // Copies of the last report's values.
    pub partial_bytes: usize,
    pub open_requests: usize,
    pub unsent_bytes: usize,
    pub is_sheltered: bool,
    pub missing_bytes: Option<usize>,
    pub patience: Option<(Micros, End)>,
    pub read_state: ReadState,
    /// When its unfinished message began to arrive.
    pub message_started_at: Option<Micros>,
    /// Bytes of that message that have arrived.
    message_bytes: u64,
    /// How long that message has waited for the budget.
    budget_wait: Micros,
    /// Credit in bytes times µs, as of `credit_updated_at`.
    credit: i64,
    credit_updated_at: Micros,
    /// When its message must be complete.
    message_deadline: Option<Micros>,
    /// Since when the next message is awaited, or was first seen begun, under fixed patience.
    awaited_since: Micros,
    /// Since when it has had unsent bytes.
    unsent_since: Option<Micros>,
    /// When the peer last accepted bytes, or nothing was left to send.
    pub last_send_progress: Micros,
    /// The time of this connection's entry among the admission's deadlines.
    pub scheduled_at: Option<Micros>,
}

impl ConnectionAccount {
    pub fn new(now: Micros, listener: ListenerId, source: Source, profile: Profile) -> ConnectionAccount {
        ConnectionAccount {
            listener,
            source,
            profile,
            last_activity: now,
            has_submitted: false,
            is_evicted: false,
            last_byte_at: now,
            last_report_at: now,
            partial_bytes: 0,
            open_requests: 0,
            unsent_bytes: 0,
            is_sheltered: false,
            missing_bytes: None,
            patience: None,
            read_state: ReadState::Active,
            message_started_at: None,
            message_bytes: 0,
            budget_wait: Micros(0),
            credit: 0,
            credit_updated_at: now,
            message_deadline: None,
            awaited_since: now,
            unsent_since: None,
            last_send_progress: now,
            scheduled_at: None,
        }
    }

    /// Updates the account from a connection's report.
    pub fn apply_report(&mut self, now: Micros, report: &ConnectionReport) {
        if report.submitted_requests > 0 {
            (self.last_activity, self.has_submitted, self.is_evicted) = (now, true, false);
        }
        if report.completed_messages > 0 {
            (self.message_started_at, self.message_deadline) = (None, None);
        }
        if report.answers_received > 0 {
            self.last_activity = now;
        }
        self.last_report_at = now;
        if report.bytes_read > 0 {
            self.last_byte_at = now;
        }
        let is_partial = report.partial_bytes > 0;
        self.charge_elapsed_time(now);
        match (is_partial, self.message_started_at) {
            (false, _) => (self.message_started_at, self.message_deadline) = (None, None),
            (true, None) => self.begin_message(now, report.bytes_read.min(report.partial_bytes)),
            (true, Some(_)) => {
                self.message_bytes += report.bytes_read as u64;
                if let Some(progress) = self.profile.progress() {
                    let credit_max = progress.least_rate as i64 * progress.burst.0 as i64;
                    self.credit = (self.credit + report.bytes_read as i64 * CREDIT_PER_BYTE).min(credit_max);
                }
            }
        }
        if let (Some(progress), Some(started_at)) = (self.profile.progress(), self.message_started_at) {
            let span = Micros::from_secs_f64(report.deadline.as_secs_f64() * progress.longest);
            // The class sets the time once it is known; until then the longest deadline of all classes did.
            self.message_deadline = Some(started_at + span);
        }
        // A message is not awaited while this side does not read.
        if report.completed_parts > 0
            || report.is_reading_stopped
            || self.read_state == ReadState::WaitingForBudget
        {
            self.awaited_since = now;
        }
        if report.bytes_sent > 0 || report.unsent_bytes == 0 {
            self.last_send_progress = now;
        }
        self.unsent_since = if report.unsent_bytes == 0 { None } else { self.unsent_since.or(Some(now)) };
        (self.partial_bytes, self.open_requests, self.unsent_bytes) =
            (report.partial_bytes, report.open_requests, report.unsent_bytes);
        (self.is_sheltered, self.missing_bytes) = (report.is_sheltered, report.missing_bytes);
        self.patience = report.patience.filter(|_| !report.is_reading_stopped);
    }

    fn begin_message(&mut self, now: Micros, bytes: usize) {
        if self.patience.is_none() {
            self.awaited_since = now;
        }
        (self.message_started_at, self.message_bytes, self.credit_updated_at, self.budget_wait) =
            (Some(now), bytes as u64, now, Micros(0));
        if let Some(progress) = self.profile.progress() {
            self.credit =
                progress.least_rate as i64 * progress.grace.0 as i64 + bytes as i64 * CREDIT_PER_BYTE;
        }
    }

    /// Subtracts the least rate from the credit for the time since the last update, unless the connection waited for
    /// the budget.
    fn charge_elapsed_time(&mut self, now: Micros) {
        let span = now - self.credit_updated_at;
        self.credit_updated_at = now;
        if self.read_state == ReadState::WaitingForBudget {
            self.budget_wait = self.budget_wait + span;
            return;
        }
        if let (Some(progress), Some(_)) = (self.profile.progress(), self.message_started_at) {
            self.credit = self.credit.saturating_sub(progress.least_rate as i64 * span.0 as i64);
        }
    }

    /// Ends the wait for the budget: the socket is read now, and the wait costs no credit.
    pub fn resume_reading(&mut self, now: Micros) {
        self.charge_elapsed_time(now);
        (self.read_state, self.awaited_since) = (ReadState::Paused(now), now);
    }

    /// When the credit is used up if no further byte comes.
    fn credit_exhausted_at(&self, progress: &Progress) -> Micros {
        if self.credit < 0 {
            return self.credit_updated_at - Micros(1);
        }
        self.credit_updated_at + Micros((self.credit / progress.least_rate as i64) as u64)
    }

    /// Whether the sender of an unfinished message is protected from eviction: it has at least half of the credit that
    /// a message begins with, or is sheltered under fixed patience.
    pub fn is_protected(&self) -> bool {
        match self.profile.progress() {
            Some(progress) if self.partial_bytes > 0 => {
                self.credit * 2 >= progress.least_rate as i64 * progress.grace.0 as i64
            }
            Some(_) => false,
            None => self.is_sheltered,
        }
    }

    /// How long the socket of a slow sender need not be read. `None` for a fast sender, and for one that may have sent
    /// all that it will.
    pub fn read_pause(&self, now: Micros) -> Option<Micros> {
        let progress = self.profile.progress().filter(|progress| progress.rest.0 > 0)?;
        let sent_for = Some(now - self.message_started_at? - self.budget_wait)
            .filter(|span| *span >= RATE_MEASUREMENT_MIN)?;
        if self.open_requests > 0 || self.unsent_bytes > 0 {
            return None;
        }
        let rate = self.message_bytes.saturating_mul(1_000_000) / sent_for.0.max(1);
        if rate >= FAST_SENDER_RATE {
            return None;
        }
        // Where the missing length is known, the socket is read when the message should be complete, and 1/16 later, as
        // a read that comes too early needs another.
        let remaining_us =
            self.missing_bytes.map(|missing| (missing as u64).saturating_mul(1_000_000) / rate.max(1));
        // Where it is not known, the answer may be late by a quarter of the longest pause.
        let pause = remaining_us.map_or(Micros(progress.rest.0 / 4), |us| Micros(us.saturating_add(us / 16)));
        Some(pause.clamp(READ_PAUSE_MIN, progress.rest.max(READ_PAUSE_MIN)))
    }

    /// The earliest time at which this connection may need a command.
    pub fn next_deadline(&self) -> Option<Micros> {
        let mut all = [None; 6];
        if let ReadState::Paused(until) = self.read_state {
            all[0] = Some(until);
        }
        let is_waiting = self.read_state == ReadState::WaitingForBudget;
        match &self.profile.pace {
            Pace::Fixed if is_waiting => {}
            Pace::Fixed => all[1] = self.patience.map(|(span, _)| self.awaited_since + span),
            Pace::Progress(progress) if self.message_started_at.is_some() => {
                all[1] = (!is_waiting).then(|| self.credit_exhausted_at(progress) + Micros(1));
                all[2] = self.message_deadline;
            }
            Pace::Progress(progress) => {
                all[1] = self.is_silent().then(|| self.last_activity + progress.silence);
            }
        }
        if let Some(since) = self.unsent_since {
            all[3] = Some(self.last_send_progress + self.profile.send_limits.stall);
            all[4] = self.profile.send_limits.longest.map(|longest| since + longest);
        }
        all.into_iter().flatten().min()
    }

    /// A message is awaited, no byte of it has come and no request is open: the peer is the one that is silent.
    fn is_silent(&self) -> bool {
        self.patience.is_some() && self.partial_bytes == 0 && self.open_requests == 0
    }

    /// The command that is due for this connection now, if any.
    pub fn due_command(&mut self, now: Micros) -> Option<ConnectionCommand> {
        if let Some(since) = self.unsent_since {
            let is_over = self.profile.send_limits.longest.is_some_and(|longest| now >= since + longest);
            if is_over || now >= self.last_send_progress + self.profile.send_limits.stall {
                return Some(ConnectionCommand::Close(End::Stalled));
            }
        }
        if let (Pace::Progress(_), Some(deadline)) = (&self.profile.pace, self.message_deadline)
            && now >= deadline
        {
            return Some(ConnectionCommand::Close(End::Slow));
        }
        match (self.read_state, &self.profile.pace) {
            (ReadState::Paused(until), _) if now >= until => Some(ConnectionCommand::ReadNow),
            (ReadState::WaitingForBudget, _) => None,
            (_, Pace::Fixed) => {
                let (span, end) = self.patience?;
                (now >= self.awaited_since + span).then_some(ConnectionCommand::Close(end))
            }
            // Bytes that are not read yet may have earned credit, so the socket is read before it is closed.
            (_, Pace::Progress(_)) if self.message_started_at.is_some() => {
                self.is_credit_exhausted(now).then_some(ConnectionCommand::ReadNow)
            }
            (_, Pace::Progress(progress)) => (self.is_silent()
                && now >= self.last_activity + progress.silence)
                .then_some(ConnectionCommand::Close(End::Silent)),
        }
    }

    /// Whether the credit is used up, not counting bytes that are not read yet.
    pub fn is_credit_exhausted(&self, now: Micros) -> bool {
        self.message_started_at.is_some()
            && self.profile.progress().is_some_and(|progress| now > self.credit_exhausted_at(progress))
    }

    /// How strongly it burdens the used-up budget of unfinished messages: the bytes that it holds, times how long no
    /// further byte has come. `None` for one that has added to its message within `stall_min`, waits for the budget
    /// itself, has an open request or unsent bytes, or is already evicted.
    pub fn eviction_weight(&self, now: Micros, stall_min: Micros) -> Option<u128> {
        // Bytes that come during a pause are not known before the next read.
        let until = if let ReadState::Paused(_) = self.read_state { self.last_report_at } else { now };
        let silence = until - self.last_byte_at;
        let is_exempt = self.is_evicted
            || self.open_requests > 0
            || self.unsent_bytes > 0
            || self.read_state == ReadState::WaitingForBudget;
        (!is_exempt && self.partial_bytes > 0 && silence >= stall_min)
            .then(|| self.partial_bytes as u128 * u128::from(silence.0))
    }

    /// The order in which connections are evicted, smallest first; `None` for one that is not evicted.
    ///
    /// 0. It has submitted no request for a while and sends nothing. 1. It has submitted requests and is idle. 2. It has
    ///    an unfinished message and too little credit; the least credit goes first. 3. It was just accepted. One that
    ///    has an open request or unsent bytes stays, and so does one whose unfinished message keeps pace. Within a rank
    ///    the one that has been in that state for longest goes first.
    pub fn eviction_order(
        &self,
        now: Micros,
        first_request_grace: Micros,
        spare_new: bool,
        id: ConnectionId,
    ) -> Option<(u8, u64, ConnectionId)> {
        // On a poor link the first byte takes longer.
        let grace = self
            .profile
            .progress()
            .map_or(first_request_grace, |progress| first_request_grace.max(Micros(progress.silence.0 / 4)));
        let is_new = !self.has_submitted && now - self.last_activity < grace;
        if self.is_evicted
            || self.open_requests > 0
            || self.unsent_bytes > 0
            || (spare_new && is_new)
            || self.is_protected()
        {
            return None;
        }
        if self.profile.progress().is_some() && self.partial_bytes > 0 {
            // A negative credit counts as 0: that connection is closed for being slow anyway.
            return Some((2, u64::try_from(self.credit).unwrap_or(0), id));
        }
        let rank = match (self.has_submitted, is_new) {
            (false, false) => 0,
            (true, _) => 1,
            (false, true) => 3,
        };
        Some((rank, self.last_activity.0, id))
    }
}

/// A command to a connection's driver that is not the reply to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionCommand {
    /// Read the socket and report.
    ReadNow,
    /// Close the connection.
    Close(End),
}
