//! Connection admission: which connections are accepted, how fast each one must send and read, and which one is evicted
//! to make room for another.
//!
//! It keeps an account of each connection: what the connection holds (bytes of an unfinished message, bytes of answers
//! that are not sent yet, a descriptor, and since when) and the credit that it has earned by making progress. It does no
//! I/O and is told the time; each connection's driver reports to it and follows the instruction that it returns, and the
//! runtime carries out the commands that [`ConnectionAdmission::sweep`] returns.
//!
//! It protects the node against senders that trickle or stall and meanwhile hold memory and descriptors, large numbers
//! of connections that send nothing, many connections of one source, peers that do not read their answers, and a clock
//! that jumps. It closes no connection for being slow that keeps the least rate, and the bytes of unfinished messages
//! never exceed their budget.

pub mod profile;
pub mod sources;
mod tab;

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

use crate::end::End;
use crate::interface::Micros;
use profile::Profile;
use sources::{SourceLimitExceeded, SourceLimits, Sources};
pub use tab::ConnectionCommand;
use tab::{ConnectionAccount, READ_PAUSE_MIN, ReadState};

/// Identifies a connection of any listener; numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A listener's index in [`AdmissionSettings::listeners`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId(pub usize);

/// A connection that has submitted no request for this long is evicted before any other.
const FIRST_REQUEST_GRACE: Micros = Micros::from_millis(200);
/// Evictions that may be in progress at a time. The shortage that they relieve lasts only a moment.
const PENDING_EVICTIONS_MAX: usize = 4;
/// Largest step of the admission's own time between two calls; the runtime calls at least once a second. A larger step
/// comes from a clock that jumped or a machine that was suspended, and is not counted as any connection's delay.
const TIME_STEP_MAX: Micros = Micros::from_millis(2_000);
/// A [`ConnectionCommand::ReadNow`] that led to no report is repeated after this long.
const READ_COMMAND_RETRY: Micros = Micros::from_millis(1_000);
/// A connection that has added to its message within this time is not evicted to free the budget.
const MESSAGE_STALL_MIN: Micros = Micros::from_millis(1_000);
/// Shortest time between two searches for a connection to evict, as each search visits every connection.
const EVICTION_SEARCH_INTERVAL: Micros = Micros::from_millis(20);
/// Bytes that are read from a connection at a time.
pub const READ_CHUNK_BYTES: usize = 16 << 10;
/// Lower and upper bound of the unsent bytes of one connection beyond which nothing more is read from it: the lower one
/// holds several of the platform's answers, and no peer needs more than the upper one to be kept busy.
const UNSENT_BYTES_PER_CONNECTION: std::ops::RangeInclusive<usize> = 16 << 10..=256 << 10;

/// The limits of one listener.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListenerSettings {
    /// What is expected of its connections.
    pub profile: Profile,
    /// Concurrent connections, 1 or more.
    pub connections_max: usize,
    /// Bytes of one unfinished request: no more than a queued request costs.
    pub partial_message_max: usize,
}

/// The settings of connection admission.
#[derive(Clone, Debug)]
pub struct AdmissionSettings {
    /// The listeners.
    pub listeners: Vec<ListenerSettings>,
    /// Bytes of unfinished messages over all connections; at least the largest `partial_message_max` of the listeners.
    pub partial_bytes_max: usize,
    /// Bytes of unsent answers over all connections.
    pub unsent_bytes_max: usize,
    /// Limits for one source.
    pub sources: SourceLimits,
}

/// What a connection's driver reports. Figures are current values unless stated otherwise.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionReport {
    /// Bytes read since the last report.
    pub bytes_read: usize,
    /// Parts of messages completed since the last report; whole messages count too.
    pub completed_parts: usize,
    /// Messages completed since the last report.
    pub completed_messages: usize,
    /// Those of them that were submitted to the core.
    pub submitted_requests: usize,
    /// Answers received from the core since the last report.
    pub answers_received: usize,
    /// Bytes that the peer has accepted since the last report.
    pub bytes_sent: usize,
    /// Bytes of an unfinished message.
    pub partial_bytes: usize,
    /// Bytes that the unfinished message still lacks, where that is known.
    pub missing_bytes: Option<usize>,
    /// An unfinished request that is not given up to make room, under fixed patience.
    pub is_sheltered: bool,
    /// Requests that are not answered yet.
    pub open_requests: usize,
    /// Bytes of answers not sent yet.
    pub unsent_bytes: usize,
    /// The socket has been read since the last report.
    pub was_read: bool,
    /// The socket has data for which the budget has no room.
    pub is_blocked: bool,
    /// This side has stopped reading on its own initiative.
    pub is_reading_stopped: bool,
    /// Under fixed patience, how long the next message may take and the reason to close if it does not come. Under
    /// progress, only whether a message is awaited.
    pub patience: Option<(Micros, End)>,
    /// The deadline of the request's class; the longest of all classes while the class is not known.
    pub deadline: Micros,
}

/// What a driver does next about reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum ReadInstruction {
    /// Read as soon as there is data, up to [`ConnectionAdmission::read_allowance`] at that time.
    Read,
    /// Do not read before a [`ConnectionCommand::ReadNow`].
    Pause,
    /// Close the connection.
    Close(End),
}

/// Whether a new connection is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum AdmissionDecision {
    /// It is accepted under this id.
    Admit(ConnectionId),
    /// It is accepted, and another connection is evicted for it.
    Replace {
        /// The new connection.
        admitted: ConnectionId,
        /// The connection to close.
        evicted: ConnectionId,
    },
    /// It is rejected.
    Reject(End),
}

/// Counters since the process started, and high-water marks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounters {
    /// Most bytes of unfinished messages at a time.
    pub half_in_most: usize,
    /// Most bytes of unsent answers at a time.
    pub owed_most: usize,
    /// Pauses of slow senders.
    pub rests: u64,
    /// [`ConnectionCommand::ReadNow`] commands issued.
    pub looks: u64,
    /// Reads held back as the budget was used up.
    pub waits: u64,
    /// Connections evicted by admission control.
    pub crowded: u64,
    /// Connections rejected as their source was at a limit.
    pub excess: u64,
    /// Wake-ups of connections' tasks.
    pub wakes: u64,
    /// Answers that were given and, as far as is known, did not reach the peer.
    pub undelivered: u64,
}

impl std::fmt::Display for AdmissionCounters {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let AdmissionCounters {
            half_in_most,
            owed_most,
            rests,
            looks,
            waits,
            crowded,
            excess,
            wakes,
            undelivered,
        } = self;
        write!(
            f,
            "half_in_most={half_in_most} owed_most={owed_most} rests={rests} looks={looks} waits={waits} "
        )?;
        write!(f, "crowded={crowded} excess={excess} wakes={wakes} undelivered={undelivered}")
    }
}

/// The admission control of all connections of one process.
#[derive(Debug)]
pub struct ConnectionAdmission {
    settings: AdmissionSettings,
    unsent_max: usize,
    accounts: HashMap<ConnectionId, ConnectionAccount>,
    /// Number of connections of each listener.
    connection_counts: Vec<usize>,
    last_connection_id: u64,
    sources: Sources,
    /// When each connection is to be checked again, one entry per connection.
    deadlines: BTreeSet<(Micros, ConnectionId)>,
    /// Connections with an unfinished message, by when it began.
    partial_messages: BTreeSet<(Micros, ConnectionId)>,
    /// Connections that wait for room in the budget of unfinished messages, oldest first.
    waiting_for_budget: BTreeSet<(Micros, ConnectionId)>,
    partial_bytes: usize,
    unsent_bytes: usize,
    /// The admission's own time, which advances by at most [`TIME_STEP_MAX`] per call.
    time: Micros,
    /// The latest clock reading passed in.
    last_clock: Option<Micros>,
    /// When the runtime will sweep.
    next_sweep: Micros,
    /// When a connection to evict was last searched for.
    last_eviction_search: Option<Micros>,
    /// Commands that the next sweep returns.
    pending_commands: Vec<(ConnectionId, ConnectionCommand)>,
    /// Counters for the log and the console.
    pub counters: AdmissionCounters,
}

impl ConnectionAdmission {
    /// Admission control without connections.
    pub fn new(settings: AdmissionSettings) -> ConnectionAdmission {
        let connections_max: usize = settings.listeners.iter().map(|listener| listener.connections_max).sum();
        ConnectionAdmission {
            unsent_max: (settings.unsent_bytes_max / connections_max.max(1))
                .clamp(*UNSENT_BYTES_PER_CONNECTION.start(), *UNSENT_BYTES_PER_CONNECTION.end()),
            connection_counts: vec![0; settings.listeners.len()],
            sources: Sources::new(settings.sources),
            settings,
            accounts: HashMap::new(),
            last_connection_id: 0,
            deadlines: BTreeSet::new(),
            partial_messages: BTreeSet::new(),
            waiting_for_budget: BTreeSet::new(),
            partial_bytes: 0,
            unsent_bytes: 0,
            time: Micros(0),
            last_clock: None,
            next_sweep: Micros(0),
            last_eviction_search: None,
            pending_commands: Vec::new(),
            counters: AdmissionCounters::default(),
        }
    }

    /// Unsent bytes of one connection beyond which nothing more is read from it.
    pub fn unsent_max(&self) -> usize {
        self.unsent_max
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Bytes of unfinished messages and bytes of unsent answers, over all connections.
    pub fn buffered_bytes(&self) -> (usize, usize) {
        (self.partial_bytes, self.unsent_bytes)
    }

    /// Number of sources that are remembered.
    pub fn source_count(&self) -> usize {
        self.sources.len()
    }

    /// The profile of a listener.
    pub fn profile(&self, listener: ListenerId) -> &Profile {
        &self.settings.listeners[listener.0].profile
    }

    /// Advances the admission's own time to a clock reading and returns it.
    fn advance_time(&mut self, now: Micros) -> Micros {
        let last = self.last_clock.unwrap_or(now);
        self.time = self.time + (now - last).min(TIME_STEP_MAX);
        self.last_clock = Some(last.max(now));
        self.time
    }

    /// Decides about a new connection of a listener.
    pub fn admit(&mut self, now: Micros, listener: ListenerId, from: IpAddr) -> AdmissionDecision {
        let now = self.advance_time(now);
        let source = self.sources.source_of(from);
        let exceeded = self.sources.check_limits(now, source).err();
        let is_full =
            self.connection_counts[listener.0] >= self.settings.listeners[listener.0].connections_max;
        let evicted = match (exceeded, is_full) {
            (Some(SourceLimitExceeded::Arrivals), _) => {
                self.counters.excess += 1;
                return AdmissionDecision::Reject(End::Excess);
            }
            // A connection of the same source is evicted, or the new one is rejected.
            (Some(SourceLimitExceeded::Connections), _) => {
                match self.eviction_candidate(now, false, |account| account.source == source) {
                    Some(evicted) => Some(evicted),
                    None => {
                        self.counters.excess += 1;
                        return AdmissionDecision::Reject(End::Excess);
                    }
                }
            }
            (None, true) => match self.eviction_candidate(now, false, |account| account.listener == listener)
            {
                Some(evicted) => Some(evicted),
                // All are waiting for an answer: an immediate rejection tells the caller to use another node.
                None => return AdmissionDecision::Reject(End::Crowded),
            },
            (None, false) => None,
        };
        self.sources.connection_opened(now, source);
        self.last_connection_id += 1;
        let admitted = ConnectionId(self.last_connection_id);
        let profile = self.settings.listeners[listener.0].profile;
        self.accounts.insert(admitted, ConnectionAccount::new(now, listener, source, profile));
        self.connection_counts[listener.0] += 1;
        match evicted {
            Some(evicted) => {
                self.mark_evicted(evicted);
                AdmissionDecision::Replace { admitted, evicted }
            }
            None => AdmissionDecision::Admit(admitted),
        }
    }

    /// Chooses the connections to close when a listener can accept none for want of descriptors. A connection that was
    /// just accepted may be about to submit a request and stays.
    pub fn evict_for_listener(&mut self, now: Micros, listener: ListenerId) -> Vec<ConnectionId> {
        let now = self.advance_time(now);
        let pending = self.accounts.values().filter(|account| account.is_evicted).count();
        let mut all_evicted = Vec::new();
        for _ in pending..PENDING_EVICTIONS_MAX {
            let Some(evicted) = self.eviction_candidate(now, true, |account| account.listener == listener)
            else {
                break;
            };
            self.mark_evicted(evicted);
            all_evicted.push(evicted);
        }
        all_evicted
    }

    fn eviction_candidate(
        &self,
        now: Micros,
        spare_new: bool,
        is_eligible: impl Fn(&ConnectionAccount) -> bool,
    ) -> Option<ConnectionId> {
        let eligible = self.accounts.iter().filter(|(_, account)| is_eligible(account));
        eligible
            .filter_map(|(id, account)| account.eviction_order(now, FIRST_REQUEST_GRACE, spare_new, *id))
            .min()
            .map(|order| order.2)
    }

    fn mark_evicted(&mut self, id: ConnectionId) {
        self.counters.crowded += 1;
        if let Some(account) = self.accounts.get_mut(&id) {
            account.is_evicted = true;
        }
    }

    /// Takes a connection's report and tells its driver whether to read.
    pub fn report(&mut self, now: Micros, id: ConnectionId, report: &ConnectionReport) -> ReadInstruction {
        let now = self.advance_time(now);
        let Some(mut account) = self.accounts.remove(&id) else {
            return ReadInstruction::Close(End::Crowded);
        };
        self.partial_bytes = self.partial_bytes + report.partial_bytes - account.partial_bytes;
        self.unsent_bytes = self.unsent_bytes + report.unsent_bytes - account.unsent_bytes;
        self.counters.half_in_most = self.counters.half_in_most.max(self.partial_bytes);
        self.counters.owed_most = self.counters.owed_most.max(self.unsent_bytes);
        if let Some(started_at) = account.message_started_at {
            self.partial_messages.remove(&(started_at, id));
            self.waiting_for_budget.remove(&(started_at, id));
        }
        account.apply_report(now, report);
        if let Some(started_at) = account.message_started_at {
            self.partial_messages.insert((started_at, id));
        }
        let instruction = self.read_instruction(now, id, &mut account, report);
        self.schedule(id, &mut account);
        self.accounts.insert(id, account);
        self.free_partial_budget(now);
        self.free_unsent_budget(now);
        instruction
    }

    fn read_instruction(
        &mut self,
        now: Micros,
        id: ConnectionId,
        account: &mut ConnectionAccount,
        report: &ConnectionReport,
    ) -> ReadInstruction {
        match account.read_state {
            // Another event does not end the pause; else frequent events would postpone the read for ever.
            ReadState::Paused(until)
                if !report.was_read && until > now && account.message_started_at.is_some() =>
            {
                return ReadInstruction::Pause;
            }
            _ => account.read_state = ReadState::Active,
        }
        let allowance = self.allowance_of(id, account);
        let message_max = self.settings.listeners[account.listener.0].partial_message_max;
        if allowance == 0 && account.partial_bytes >= message_max {
            return ReadInstruction::Close(End::Oversized);
        }
        if allowance == 0 && report.is_blocked {
            self.counters.waits += 1;
            account.read_state = ReadState::WaitingForBudget;
            self.waiting_for_budget.insert((account.message_started_at.unwrap_or(now), id));
            return ReadInstruction::Pause;
        }
        if account.is_credit_exhausted(now) && !report.is_reading_stopped {
            // A sender is slow only if the socket was read and the data was not there.
            if report.was_read {
                return ReadInstruction::Close(End::Slow);
            }
            account.read_state = ReadState::Paused(now);
            return ReadInstruction::Pause;
        }
        if let Some(pause) = account.read_pause(now).filter(|_| !report.is_reading_stopped) {
            self.counters.rests += 1;
            account.read_state = ReadState::Paused(now + pause);
            return ReadInstruction::Pause;
        }
        if allowance == 0 {
            // Whether the socket has data is not known before the next read.
            account.read_state = ReadState::Paused(now + READ_PAUSE_MIN);
            return ReadInstruction::Pause;
        }
        ReadInstruction::Read
    }

    /// Bytes that may be read from a connection now.
    pub fn read_allowance(&self, id: ConnectionId) -> usize {
        self.accounts.get(&id).map_or(0, |account| self.allowance_of(id, account))
    }

    /// Bytes that may be read from a connection now, so that unfinished messages stay within their budget. A part of the
    /// budget as large as the largest message is reserved for the oldest message, so that one can always be completed.
    fn allowance_of(&self, id: ConnectionId, account: &ConnectionAccount) -> usize {
        let message_max = self.settings.listeners[account.listener.0].partial_message_max;
        let reserve =
            self.settings.listeners.iter().map(|listener| listener.partial_message_max).max().unwrap_or(0);
        let is_oldest = self.partial_messages.first().is_none_or(|(_, first)| *first == id);
        let budget = if is_oldest {
            self.settings.partial_bytes_max
        } else {
            self.settings.partial_bytes_max.saturating_sub(reserve)
        };
        let message_rest = message_max.saturating_sub(account.partial_bytes);
        message_rest.min(budget.saturating_sub(self.partial_bytes)).min(READ_CHUNK_BYTES)
    }

    /// Where a connection waits for room in the budget of unfinished messages: resumes it if there is room, else evicts
    /// the connection whose bytes held, times how long its message has not grown, are the most.
    fn free_partial_budget(&mut self, now: Micros) {
        let Some(&(started_at, first)) = self.waiting_for_budget.first() else { return };
        let allowance = self.accounts.get(&first).map_or(0, |account| self.allowance_of(first, account));
        if allowance > 0 {
            self.waiting_for_budget.remove(&(started_at, first));
            if let Some(mut account) = self.accounts.remove(&first) {
                account.resume_reading(now);
                self.schedule(first, &mut account);
                self.accounts.insert(first, account);
            }
            return;
        }
        if !self.may_search_for_eviction(now) {
            return;
        }
        let weights = self
            .accounts
            .iter()
            .filter_map(|(id, account)| Some((account.eviction_weight(now, MESSAGE_STALL_MIN)?, *id)));
        if let Some((_, evicted)) = weights.max() {
            self.mark_evicted(evicted);
            self.pending_commands.push((evicted, ConnectionCommand::Close(End::Crowded)));
        }
    }

    /// Where the budget of unsent answers is exceeded: closes the connection whose peer has accepted nothing for longest.
    fn free_unsent_budget(&mut self, now: Micros) {
        if self.unsent_bytes <= self.settings.unsent_bytes_max || !self.may_search_for_eviction(now) {
            return;
        }
        let readers =
            self.accounts.iter().filter(|(_, account)| account.unsent_bytes > 0 && !account.is_evicted);
        let slowest = readers
            .min_by_key(|(id, account)| (account.last_send_progress, usize::MAX - account.unsent_bytes, **id))
            .map(|(id, _)| *id);
        if let Some(slowest) = slowest {
            self.mark_evicted(slowest);
            self.pending_commands.push((slowest, ConnectionCommand::Close(End::Stalled)));
        }
    }

    /// Whether the search interval has passed and fewer than [`PENDING_EVICTIONS_MAX`] evictions are in progress.
    fn may_search_for_eviction(&mut self, now: Micros) -> bool {
        if self.last_eviction_search.is_some_and(|last| now < last + EVICTION_SEARCH_INTERVAL) {
            return false;
        }
        self.last_eviction_search = Some(now);
        self.accounts.values().filter(|account| account.is_evicted).count() < PENDING_EVICTIONS_MAX
    }

    fn schedule(&mut self, id: ConnectionId, account: &mut ConnectionAccount) {
        let next = account.next_deadline();
        // An entry that comes too early is checked and rescheduled; moving it at each byte would cost more.
        if next.is_some_and(|next| account.scheduled_at.is_none_or(|scheduled| next < scheduled)) {
            if let Some(old) = account.scheduled_at.take() {
                self.deadlines.remove(&(old, id));
            }
            account.scheduled_at = next;
            self.deadlines.extend(next.map(|next| (next, id)));
        }
    }

    /// Schedules a connection's next check, no earlier than `earliest`.
    fn reschedule(&mut self, id: ConnectionId, account: &mut ConnectionAccount, earliest: Micros) {
        account.scheduled_at = account.next_deadline().map(|next| next.max(earliest));
        self.deadlines.extend(account.scheduled_at.map(|scheduled| (scheduled, id)));
    }

    /// How long until [`ConnectionAdmission::sweep`] is to be called, from the last call that passed the time; at most
    /// one second.
    pub fn time_until_sweep(&mut self) -> Micros {
        let immediate = (!self.pending_commands.is_empty()).then_some(self.time);
        let first = immediate
            .or(self.deadlines.first().map(|deadline| deadline.0))
            .unwrap_or(self.time + READ_COMMAND_RETRY);
        self.next_sweep = first.min(self.time + READ_COMMAND_RETRY);
        self.next_sweep - self.time
    }

    /// Whether [`ConnectionAdmission::sweep`] is to be called sooner than [`ConnectionAdmission::time_until_sweep`]
    /// returned.
    pub fn needs_earlier_sweep(&self) -> bool {
        !self.pending_commands.is_empty()
            || self.deadlines.first().is_some_and(|deadline| deadline.0 < self.next_sweep)
    }

    /// Checks the connections that have fallen due and returns the commands for them.
    pub fn sweep(&mut self, now: Micros) -> Vec<(ConnectionId, ConnectionCommand)> {
        let now = self.advance_time(now);
        self.free_partial_budget(now);
        let mut commands = std::mem::take(&mut self.pending_commands);
        while let Some(&(when, id)) = self.deadlines.first() {
            if when > now {
                break;
            }
            self.deadlines.pop_first();
            let Some(mut account) = self.accounts.remove(&id) else { continue };
            account.scheduled_at = None;
            match account.due_command(now) {
                Some(ConnectionCommand::ReadNow) => {
                    self.counters.looks += 1;
                    // A command that gets lost is issued again.
                    account.read_state = ReadState::Paused(now + READ_COMMAND_RETRY);
                    self.reschedule(id, &mut account, now + READ_COMMAND_RETRY);
                    commands.push((id, ConnectionCommand::ReadNow));
                }
                Some(close) => commands.push((id, close)),
                // The minimum delay keeps a rescheduled entry from falling due again in this sweep.
                None => self.reschedule(id, &mut account, now + READ_PAUSE_MIN),
            }
            self.accounts.insert(id, account);
        }
        commands
    }

    /// The connections without activity for `span` that hold neither an unfinished message, an open request nor unsent
    /// bytes: those that the decision module may mean when it has idle connections closed.
    pub fn idle_connections(&mut self, now: Micros, span: Micros) -> Vec<ConnectionId> {
        let now = self.advance_time(now);
        let is_idle = |account: &ConnectionAccount| {
            account.last_activity + span <= now
                && account.partial_bytes == 0
                && account.open_requests == 0
                && account.unsent_bytes == 0
        };
        self.accounts.iter().filter(|(_, account)| is_idle(account)).map(|(id, _)| *id).collect()
    }

    /// Removes a connection that has closed, with the number of its answers that did not reach the peer.
    pub fn connection_closed(&mut self, now: Micros, id: ConnectionId, undelivered: u64) {
        let now = self.advance_time(now);
        self.counters.undelivered += undelivered;
        let Some(account) = self.accounts.remove(&id) else { return };
        self.partial_bytes -= account.partial_bytes;
        self.unsent_bytes -= account.unsent_bytes;
        self.connection_counts[account.listener.0] -= 1;
        self.sources.connection_closed(now, account.source);
        if let Some(started_at) = account.message_started_at {
            self.partial_messages.remove(&(started_at, id));
            self.waiting_for_budget.remove(&(started_at, id));
        }
        if let Some(scheduled) = account.scheduled_at {
            self.deadlines.remove(&(scheduled, id));
        }
        self.free_partial_budget(now);
    }
}
