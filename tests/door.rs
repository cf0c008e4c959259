//! Connection admission without sockets: tables of cases, and properties that hold for any sequence of events.

use std::net::{IpAddr, Ipv4Addr};

use holdlift::Micros;
use holdlift::door::profile::{Pace, Profile, Progress};
use holdlift::door::sources::SourceLimits;
use holdlift::door::*;
use holdlift::end::End;
use proptest::prelude::*;

const DEADLINE_MS: u64 = 14_000;
/// The least rate of [`Profile::PATIENT`], bytes per second.
const LEAST_RATE: u64 = 30;

fn ms(x: u64) -> Micros {
    Micros::from_millis(x)
}

fn settings(profile: Profile, connections_max: usize) -> AdmissionSettings {
    let listeners = vec![ListenerSettings { profile, connections_max, partial_message_max: 4_096 }];
    AdmissionSettings {
        listeners,
        partial_bytes_max: 16_384,
        unsent_bytes_max: 100_000,
        sources: SourceLimits::NONE,
    }
}

fn address(n: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + n))
}

/// The report of a connection that sends nothing while a message is awaited.
const SILENT_PEER: ConnectionReport = ConnectionReport {
    bytes_read: 0,
    completed_parts: 0,
    completed_messages: 0,
    submitted_requests: 0,
    answers_received: 0,
    bytes_sent: 0,
    partial_bytes: 0,
    missing_bytes: None,
    is_sheltered: false,
    open_requests: 0,
    unsent_bytes: 0,
    was_read: false,
    is_blocked: false,
    is_reading_stopped: false,
    patience: Some((ms_const(2_500), End::Silent)),
    deadline: ms_const(DEADLINE_MS),
};

const fn ms_const(x: u64) -> Micros {
    Micros::from_millis(x)
}

fn partial_message(bytes_read: usize, partial_bytes: usize) -> ConnectionReport {
    ConnectionReport {
        bytes_read,
        partial_bytes,
        was_read: true,
        patience: Some((ms(2_500), End::Slow)),
        ..SILENT_PEER
    }
}

fn whole_message() -> ConnectionReport {
    ConnectionReport {
        bytes_read: 10,
        completed_parts: 1,
        completed_messages: 1,
        submitted_requests: 1,
        open_requests: 1,
        patience: None,
        ..SILENT_PEER
    }
}

fn answered() -> ConnectionReport {
    ConnectionReport { answers_received: 1, patience: None, ..SILENT_PEER }
}

/// Connection admission with a clock that the test advances.
struct Harness {
    admission: ConnectionAdmission,
    now: Micros,
}

impl Harness {
    fn new(settings: AdmissionSettings) -> Harness {
        Harness { admission: ConnectionAdmission::new(settings), now: ms(1_000_000) }
    }

    /// Admits a connection of this source address and reports it as silent.
    fn connect(&mut self, from: u32) -> ConnectionId {
        match self.admission.admit(self.now, ListenerId(0), address(from)) {
            AdmissionDecision::Admit(id) | AdmissionDecision::Replace { admitted: id, .. } => {
                let _ = self.admission.report(self.now, id, &SILENT_PEER);
                id
            }
            AdmissionDecision::Reject(end) => panic!("{end}"),
        }
    }

    fn report(&mut self, id: ConnectionId, r: &ConnectionReport) -> ReadInstruction {
        self.admission.report(self.now, id, r)
    }

    /// Advances the time in steps of 10 ms and collects the commands that fall due.
    fn advance(&mut self, span_ms: u64) -> Vec<(ConnectionId, ConnectionCommand)> {
        let mut all = Vec::new();
        for _ in 0..span_ms / 10 {
            self.now = self.now + ms(10);
            all.extend(self.admission.sweep(self.now));
        }
        all
    }
}

fn closes(all: &[(ConnectionId, ConnectionCommand)]) -> Vec<(ConnectionId, End)> {
    let end = |(id, v): &(ConnectionId, ConnectionCommand)| {
        if let ConnectionCommand::Close(e) = v { Some((*id, *e)) } else { None }
    };
    all.iter().filter_map(end).collect()
}

/// The unsent bytes allowed per connection are an equal part of the budget, within fixed bounds.
#[test]
fn the_unsent_bytes_budget_is_divided_by_the_connection_limit() {
    for (megabytes, connections_max, expected) in
        [(32, 272, 30_840), (192, 752, 66_930), (4, 1_000, 16 << 10)]
    {
        let settings = AdmissionSettings {
            unsent_bytes_max: (megabytes << 20) / 4,
            ..settings(Profile::STRICT, connections_max)
        };
        assert_eq!(ConnectionAdmission::new(settings).unsent_max(), expected);
    }
}

/// The platform's terms: a first message within 2.5 s, and a begun one within the same time, even if bytes still arrive.
#[test]
fn strict_profile_closes_silent_and_slow_connections_after_fixed_patience() {
    let mut harness = Harness::new(settings(Profile::STRICT, 8));
    let (silent, slow, answered_once) = (harness.connect(1), harness.connect(2), harness.connect(3));
    let _ = harness.report(answered_once, &whole_message());
    let _ = harness.report(answered_once, &answered());
    let mut ends = Vec::new();
    for i in 0..30 {
        ends.extend(closes(&harness.advance(100)).into_iter().map(|(id, end)| (id, end, i)));
        if i < 20 {
            assert_eq!(harness.report(slow, &partial_message(1, 1 + i)), ReadInstruction::Read);
        }
    }
    assert_eq!(ends, [(silent, End::Silent, 24), (slow, End::Slow, 24)]);
}

#[test]
fn patient_profile_closes_only_connections_that_fall_below_the_least_rate() {
    // Bytes per second, how long the link stalls after 10 s, and whether the connection is still open after 40 s.
    let cases = [(60, 0, true), (60, 8, true), (31, 0, true), (1, 0, false), (60, 25, false), (0, 0, false)];
    for (rate, stall, stays_open) in cases {
        let mut harness = Harness::new(settings(Profile::PATIENT, 8));
        let id = harness.connect(1);
        let (mut partial_bytes, mut pending, mut end) = (1, 0, None);
        let mut instruction = harness.report(id, &partial_message(1, 1));
        for second in 0..40u64 {
            let stalled = (10..10 + stall).contains(&second);
            for _ in 0..10 {
                pending += if stalled { 0 } else { rate / 10 + usize::from(rate % 10 > 0) };
                let due = harness.advance(100);
                if let Some(&(_, e)) = closes(&due).first() {
                    end = end.or(Some(e));
                }
                let is_due = due.contains(&(id, ConnectionCommand::ReadNow));
                if end.is_none() && (is_due || (instruction == ReadInstruction::Read && pending > 0)) {
                    partial_bytes += pending;
                    instruction = harness.report(id, &partial_message(pending, partial_bytes));
                    pending = 0;
                    if let ReadInstruction::Close(e) = instruction {
                        end = Some(e);
                    }
                }
            }
        }
        assert_eq!(end, (!stays_open).then_some(End::Slow), "{rate} bytes/s, stalled {stall} s");
    }
}

/// A sender at exactly the least rate is closed at four times the deadline of the request's class.
#[test]
fn a_message_at_the_least_rate_is_closed_at_its_longest_time() {
    let mut harness = Harness::new(settings(Profile::PATIENT, 8));
    let id = harness.connect(1);
    let _ = harness.report(id, &partial_message(1, 1));
    let mut seconds = 0;
    while closes(&harness.advance(1_000)).is_empty() {
        seconds += 1;
        assert!(
            !matches!(
                harness.report(id, &partial_message(LEAST_RATE as usize, 100)),
                ReadInstruction::Close(_)
            ) && seconds < 100
        );
    }
    // Four times the deadline.
    assert_eq!(seconds, 4 * DEADLINE_MS / 1000 - 1);
}

/// A slow sender is read when its message should be complete; a fast one is read as it sends.
#[test]
fn slow_senders_are_read_less_often() {
    let mut harness = Harness::new(settings(Profile::PATIENT, 8));
    let (slow, fast, known) = (harness.connect(1), harness.connect(2), harness.connect(3));
    for id in [slow, fast, known] {
        assert_eq!(harness.report(id, &partial_message(1, 1)), ReadInstruction::Read);
    }
    assert!(harness.advance(600).is_empty());
    assert_eq!(harness.report(fast, &partial_message(20_000, 4_000)), ReadInstruction::Read);
    assert_eq!(harness.report(slow, &partial_message(1, 2)), ReadInstruction::Pause);
    // 60 bytes in 600 ms, 40 missing: the pause is 400 ms and 1/16 of it.
    assert_eq!(
        harness.report(known, &ConnectionReport { missing_bytes: Some(40), ..partial_message(59, 60) }),
        ReadInstruction::Pause
    );
    assert_eq!(harness.advance(400), []);
    assert_eq!(harness.advance(50), [(known, ConnectionCommand::ReadNow)]);
    // A report that was not caused by a read does not postpone the next read.
    assert_eq!(
        harness.report(slow, &ConnectionReport { was_read: false, ..partial_message(0, 2) }),
        ReadInstruction::Pause
    );
    let commands = harness.advance(1_560);
    assert!(
        commands.contains(&(slow, ConnectionCommand::ReadNow)) && !commands.iter().any(|l| l.0 == fast),
        "{commands:?}"
    );
}

/// A peer that accepts nothing of its answer is disconnected; one that accepts it slowly has a bounded time.
#[test]
fn peers_that_stall_or_read_too_slowly_are_disconnected() {
    for (profile, bytes_per_second, after) in
        [(Profile::STRICT, 0, 15), (Profile::PATIENT, 0, 20), (Profile::PATIENT, 100, 120)]
    {
        let mut harness = Harness::new(settings(profile, 8));
        let id = harness.connect(1);
        let unsent = |bytes_sent| ConnectionReport {
            bytes_sent,
            unsent_bytes: 50_000,
            answers_received: 0,
            patience: None,
            ..SILENT_PEER
        };
        let _ = harness.report(id, &unsent(0));
        let mut seconds = 0;
        let end = loop {
            if let Some(&(_, end)) = closes(&harness.advance(1_000)).first() {
                break end;
            }
            seconds += 1;
            assert!(seconds < 200);
            let _ = harness.report(id, &unsent(bytes_per_second));
        };
        assert_eq!((end, seconds + 1), (End::Stalled, after));
    }
}

#[test]
fn eviction_prefers_silent_then_idle_then_slow_connections() {
    let mut harness = Harness::new(settings(Profile::PATIENT, 6));
    let (with_open_request, idle, silent) = (harness.connect(1), harness.connect(2), harness.connect(3));
    let (behind, keeps_pace, new) = (harness.connect(4), harness.connect(5), harness.connect(6));
    let _ = harness.report(with_open_request, &whole_message());
    let _ = harness.report(idle, &whole_message());
    let _ = harness.report(idle, &answered());
    for id in [behind, keeps_pace] {
        let _ = harness.report(id, &partial_message(1, 1));
    }
    harness.advance(7_000);
    for id in [behind, keeps_pace] {
        let bytes = if id == keeps_pace { 400 } else { 1 };
        let _ = harness.report(id, &partial_message(bytes, 1 + bytes));
    }
    // The silent connection has been due for closing by now; later ones take its place.
    let _ = silent;
    harness.admission.connection_closed(harness.now, silent, 0);
    harness.admission.connection_closed(harness.now, new, 0);
    let (silent_later, newest) = (harness.connect(7), harness.connect(8));
    harness.advance(1_300);
    let _ = newest;
    let mut evictions = Vec::new();
    for from in 20..30 {
        match harness.admission.admit(harness.now, ListenerId(0), address(from)) {
            AdmissionDecision::Replace { evicted, .. } => evictions.push(evicted),
            other => {
                assert_eq!(other, AdmissionDecision::Reject(End::Crowded));
                break;
            }
        }
    }
    // New connections are evicted after all others; those with an open request or enough credit never are.
    assert_eq!(evictions[..4], [silent_later, newest, idle, behind]);
    assert!(!evictions.contains(&with_open_request) && !evictions.contains(&keeps_pace));
}

/// A source at its connection limit replaces one of its own connections or is rejected; other sources are not affected.
#[test]
fn a_source_at_its_limit_evicts_only_its_own_connections() {
    let sources = SourceLimits { connections: Some(3), ..SourceLimits::NONE };
    let mut harness = Harness::new(AdmissionSettings { sources, ..settings(Profile::PATIENT, 8) });
    let other = harness.connect(1);
    let same_source: Vec<ConnectionId> = (0..3).map(|_| harness.connect(9)).collect();
    let _ = harness.report(same_source[0], &whole_message());
    harness.advance(300);
    let AdmissionDecision::Replace { evicted, admitted } =
        harness.admission.admit(harness.now, ListenerId(0), address(9))
    else {
        panic!("the source's new connection replaces none of its own")
    };
    assert!(evicted == same_source[1] || evicted == same_source[2]);
    let _ = other;
    for id in [same_source[1], same_source[2], admitted] {
        let _ = harness.report(id, &whole_message());
    }
    harness.admission.connection_closed(harness.now, evicted, 0);
    let last = harness.connect(1);
    let _ = harness.report(last, &whole_message());
    let mut refused = 0;
    for _ in 0..5 {
        refused += u32::from(
            harness.admission.admit(harness.now, ListenerId(0), address(9))
                == AdmissionDecision::Reject(End::Excess),
        );
    }
    assert!(refused == 5 && harness.admission.counters.excess == u64::from(refused), "{refused}");
}

/// Time that the clock jumps over, or during which the machine was suspended, closes no connection.
#[test]
fn a_clock_jump_closes_no_connection() {
    for profile in [Profile::STRICT, Profile::PATIENT] {
        let mut harness = Harness::new(settings(profile, 8));
        let id = harness.connect(1);
        let _ = harness.report(id, &partial_message(1, 1));
        harness.now = harness.now + ms(600_000);
        assert_eq!(closes(&harness.admission.sweep(harness.now)), []);
        // After a jump back, admission time stands still until the clock is where it was.
        harness.now = harness.now - ms(300_000);
        assert_eq!(closes(&harness.advance(5_000)), []);
    }
}

/// With the budget of unfinished messages used up, the oldest message always has room, so every message is completed.
#[test]
fn every_sender_completes_its_message_under_a_full_budget() {
    let mut harness = Harness::new(settings(Profile::PATIENT, 32));
    let ids: Vec<ConnectionId> = (0..12).map(|i| harness.connect(i)).collect();
    let (mut partial_bytes, mut done, mut closed) = ([0usize; 12], 0, 0);
    // Each sends 3,000 bytes as fast as it may; the budget is 16 KiB.
    let mut instructions = [ReadInstruction::Read; 12];
    for round in 0..4_000 {
        let due = harness.advance(10);
        for (i, id) in ids.iter().enumerate() {
            let is_due = due.contains(&(*id, ConnectionCommand::ReadNow));
            if due.iter().any(|(d, v)| d == id && matches!(v, ConnectionCommand::Close(_))) {
                harness.admission.connection_closed(harness.now, *id, 0);
                (closed, instructions[i]) = (closed + 1, ReadInstruction::Close(End::Crowded));
            }
            if matches!(instructions[i], ReadInstruction::Close(_))
                || !(is_due || instructions[i] == ReadInstruction::Read)
            {
                continue;
            }
            let n = harness.admission.read_allowance(*id).min(100 + round % 50).min(3_000 - partial_bytes[i]);
            partial_bytes[i] += n;
            instructions[i] = if partial_bytes[i] == 3_000 {
                done += 1;
                let _ = harness.report(*id, &ConnectionReport { bytes_read: n, ..whole_message() });
                ReadInstruction::Close(End::Finished)
            } else {
                harness.report(
                    *id,
                    &ConnectionReport {
                        missing_bytes: Some(3_000 - partial_bytes[i]),
                        is_blocked: n == 0,
                        ..partial_message(n, partial_bytes[i])
                    },
                )
            };
            assert!(
                harness.admission.buffered_bytes().0 <= 16_384,
                "{:?}",
                harness.admission.buffered_bytes()
            );
        }
    }
    assert_eq!((done, closed), (12, 0), "{instructions:?}");
}

/// Senders that fill the budget and then stop are evicted for one that sends, long before their own time is up.
#[test]
fn stalled_senders_are_evicted_when_the_budget_is_full() {
    let mut harness = Harness::new(settings(Profile::PATIENT, 32));
    let stalled_senders: Vec<ConnectionId> = (0..8).map(|i| harness.connect(i)).collect();
    let mut held = 0;
    for id in &stalled_senders {
        while harness.admission.read_allowance(*id) > 0 {
            let n = harness.admission.read_allowance(*id).min(2_000 - held % 2_000);
            held += n;
            let _ = harness.report(*id, &partial_message(n, n));
            if held % 2_000 == 0 {
                break;
            }
        }
    }
    let active = harness.connect(50);
    assert_eq!(harness.admission.read_allowance(active), 0);
    assert_eq!(
        harness.report(active, &ConnectionReport { is_blocked: true, ..partial_message(0, 0) }),
        ReadInstruction::Pause
    );
    let mut closed = Vec::new();
    for _ in 0..300 {
        for (id, command) in harness.advance(10) {
            match command {
                ConnectionCommand::Close(end) => {
                    closed.push((id, end));
                    harness.admission.connection_closed(harness.now, id, 0);
                }
                ConnectionCommand::ReadNow if id == active => {
                    assert!(harness.admission.read_allowance(active) > 0 && !closed.is_empty());
                    assert!(
                        closed.iter().all(|(id, end)| stalled_senders.contains(id) && *end == End::Crowded)
                    );
                    return;
                }
                ConnectionCommand::ReadNow => {}
            }
        }
    }
    panic!("the sender that waits for the budget is never resumed");
}

#[derive(Clone, Debug)]
enum AdmissionEvent {
    Connect(u32),
    Send(usize, usize),
    Submit(usize),
    Answer(usize, usize),
    AcceptBytes(usize, usize),
    Disconnect(usize),
    Wait(u64),
}

fn admission_event() -> impl Strategy<Value = AdmissionEvent> {
    prop_oneof![
        (0u32..20).prop_map(AdmissionEvent::Connect),
        (0usize..12, 1usize..5_000).prop_map(|(i, n)| AdmissionEvent::Send(i, n)),
        (0usize..12).prop_map(AdmissionEvent::Submit),
        (0usize..12, 1usize..30_000).prop_map(|(i, n)| AdmissionEvent::Answer(i, n)),
        (0usize..12, 1usize..30_000).prop_map(|(i, n)| AdmissionEvent::AcceptBytes(i, n)),
        (0usize..12).prop_map(AdmissionEvent::Disconnect),
        (1u64..4_000).prop_map(AdmissionEvent::Wait),
    ]
}

/// Applies the events and returns every decision as text; checks the invariants after each event.
fn run_events(events: &[AdmissionEvent], profile: Profile) -> Vec<String> {
    let sources = SourceLimits { connections: Some(4), arrivals: Some((2.0, 5.0)), ..SourceLimits::NONE };
    let settings = AdmissionSettings { sources, ..settings(profile, 10) };
    let (mut admission, mut now, mut decisions) = (ConnectionAdmission::new(settings), ms(5_000), Vec::new());
    // Open connections: id, partial bytes, unsent bytes, open requests.
    let mut connections: Vec<(ConnectionId, usize, usize, usize)> = Vec::new();
    for event in events {
        let len = connections.len().max(1);
        let connection_at = |i: usize| connections.get(i % len).copied();
        let mut report = |admission: &mut ConnectionAdmission,
                          c: (ConnectionId, usize, usize, usize),
                          r: ConnectionReport| {
            let all = ConnectionReport { partial_bytes: c.1, unsent_bytes: c.2, open_requests: c.3, ..r };
            let instruction = admission.report(now, c.0, &all);
            decisions.push(format!("{instruction:?}"));
            instruction
        };
        let mut change = None;
        match event {
            AdmissionEvent::Connect(from) => {
                let decision = admission.admit(now, ListenerId(0), address(*from));
                decisions.push(format!("{decision:?}"));
                if let AdmissionDecision::Admit(id) | AdmissionDecision::Replace { admitted: id, .. } =
                    decision
                {
                    connections.push((id, 0, 0, 0));
                }
                if let AdmissionDecision::Replace { evicted, .. } = decision {
                    let at = connections
                        .iter()
                        .position(|c| c.0 == evicted)
                        .expect("admission names only open connections");
                    assert!(
                        connections[at].3 == 0 && connections[at].2 == 0,
                        "a connection with an open request or unsent bytes is not evicted"
                    );
                    admission.connection_closed(now, evicted, 0);
                    connections.remove(at);
                }
                assert!(connections.len() <= 10);
            }
            AdmissionEvent::Send(i, n) => {
                if let Some(mut c) = connection_at(*i) {
                    let n = admission.read_allowance(c.0).min(*n);
                    c.1 += n;
                    let instruction = report(&mut admission, c, partial_message(n, c.1));
                    change = Some((c, matches!(instruction, ReadInstruction::Close(_))));
                }
            }
            AdmissionEvent::Submit(i) => {
                if let Some(mut c) = connection_at(*i) {
                    (c.1, c.3) = (0, c.3 + 1);
                    let instruction = report(&mut admission, c, whole_message());
                    change = Some((c, matches!(instruction, ReadInstruction::Close(_))));
                }
            }
            AdmissionEvent::Answer(i, n) => {
                if let Some(mut c) = connection_at(*i).filter(|c| c.3 > 0) {
                    (c.2, c.3) = (c.2 + n, c.3 - 1);
                    let instruction = report(&mut admission, c, answered());
                    change = Some((c, matches!(instruction, ReadInstruction::Close(_))));
                }
            }
            AdmissionEvent::AcceptBytes(i, n) => {
                if let Some(mut c) = connection_at(*i) {
                    let n = c.2.min(*n);
                    c.2 -= n;
                    let instruction =
                        report(&mut admission, c, ConnectionReport { bytes_sent: n, ..SILENT_PEER });
                    change = Some((c, matches!(instruction, ReadInstruction::Close(_))));
                }
            }
            AdmissionEvent::Disconnect(i) => change = connection_at(*i).map(|c| (c, true)),
            AdmissionEvent::Wait(span) => {
                now = now + ms(*span);
                let due = admission.sweep(now);
                decisions.push(format!("{due:?}"));
                for (id, end) in closes(&due) {
                    assert_ne!(end, End::Finished);
                    if let Some(at) = connections.iter().position(|c| c.0 == id) {
                        admission.connection_closed(now, id, 0);
                        connections.remove(at);
                    }
                }
            }
        }
        if let Some((c, is_closed)) = change {
            let at =
                connections.iter().position(|o| o.0 == c.0).expect("admission names only open connections");
            connections[at] = c;
            if is_closed {
                admission.connection_closed(now, c.0, 0);
                connections.remove(at);
            }
        }
        let sum = connections.iter().fold((0, 0), |s, c| (s.0 + c.1, s.1 + c.2));
        assert_eq!(admission.buffered_bytes(), sum, "the totals equal the sums over the connections");
        assert!(sum.0 <= 16_384, "unfinished messages exceed their budget: {sum:?}");
        assert!(connections.iter().all(|c| c.1 <= 4_096), "a message exceeds the listener's limit");
        assert_eq!(admission.len(), connections.len());
    }
    for c in connections {
        admission.connection_closed(now, c.0, 0);
    }
    assert_eq!((admission.buffered_bytes(), admission.len()), ((0, 0), 0));
    decisions
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Budgets are never exceeded, the totals are right, and the same events lead to the same decisions.
    #[test]
    fn budgets_hold_and_decisions_repeat_for_any_sequence_of_events(events in prop::collection::vec(admission_event(), 1..200), patient in any::<bool>()) {
        let profile = if patient { Profile::PATIENT } else { Profile::STRICT };
        prop_assert_eq!(run_events(&events, profile), run_events(&events, profile));
    }

    /// A sender at the least rate or above, with silences no longer than the grace, is not closed before its longest time.
    #[test]
    fn senders_that_keep_the_least_rate_are_never_closed(
        rate in LEAST_RATE..400, stalls in prop::collection::vec((0u64..3_000, 0u64..9_000), 0..4), known in any::<bool>(),
    ) {
        let progress = Progress { longest: 100.0, ..match Profile::PATIENT.pace {
            Pace::Progress(p) => p,
            Pace::Fixed => unreachable!("Profile::PATIENT paces senders by progress"),
        }};
        let profile = Profile { pace: Pace::Progress(progress), ..Profile::PATIENT };
        let size = 1_500u64;
        let mut s = settings(profile, 4);
        s.listeners[0].partial_message_max = size as usize;
        let mut harness = Harness::new(s);
        let id = harness.connect(1);
        // Bytes that have arrived by each time: the sender keeps its rate, and a stall of the link only delays them.
        let mut arrived = vec![0u64];
        let (mut at, mut stalled_spans) = (0u64, Vec::new());
        for (after, span) in &stalls {
            at += after + 10_000;
            stalled_spans.push((at, at + span));
            at += span;
        }
        let mut instruction = harness.report(id, &partial_message(1, 1));
        let mut read = 1u64;
        for t in (0..120_000u64).step_by(100) {
            let stalled = stalled_spans.iter().any(|(a, b)| (*a..*b).contains(&t));
            let last = *arrived.last().expect("the list of arrivals is never empty");
            arrived.push(if stalled { last } else { (1 + rate * t / 1_000).min(size) });
            let have = *arrived.last().expect("the list of arrivals is never empty");
            let due = harness.advance(100);
            prop_assert_eq!(closes(&due), vec![], "{} ms, {} of {}", t, read, have);
            if due.contains(&(id, ConnectionCommand::ReadNow)) || (instruction == ReadInstruction::Read && have > read) {
                let bytes = (have - read) as usize;
                read = have;
                if read == size {
                    return Ok(());
                }
                let missing_bytes = known.then_some((size - read) as usize);
                instruction = harness.report(id, &ConnectionReport { missing_bytes, ..partial_message(bytes, read as usize) });
                prop_assert!(!matches!(instruction, ReadInstruction::Close(_)), "{} ms, {} of {}", t, read, have);
            }
        }
        prop_assert!(false, "the message is never complete: {} of {}", read, size);
    }
}
