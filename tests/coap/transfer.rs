//! The state of the front as it passes from one process to the next: what a device is told does not depend on it.

use std::net::SocketAddr;

use holdlift::front::coap::transfer::{EXCHANGES_MAX, ForwardedAnswer, FrontTransfer};

use super::*;

/// Passes the state of a front to a new one, as bytes, as the next process gets it. The new one's clock and settings are its own.
fn pass_on(from: &TestFront) -> TestFront {
    pass_on_to(from, "quiet_ms = 247000")
}

fn pass_on_to(from: &TestFront, settings: &str) -> TestFront {
    let mut next = TestFront::new(settings);
    next.now = from.now;
    let bytes =
        FrontTransfer::State(Box::new(from.coap.export(from.now))).encode().expect("it is within the bounds");
    let Some(FrontTransfer::State(state)) = FrontTransfer::decode(&bytes) else {
        panic!("a state was encoded")
    };
    next.coap.import(next.now, *state);
    next
}

/// A step of a device or of the core.
type Step = fn(&mut TestFront) -> Vec<String>;

fn texts(sent: Vec<(u64, String)>) -> Vec<String> {
    sent.into_iter().map(|(_, text)| text).collect()
}

/// Everything that a front remembers of a device: open and answered exchanges, separate responses, uploads, results, proofs of
/// the address. Messages whose number the front chooses have no number in their text.
const STEPS: [(&str, Step); 17] = [
    ("a write", |f| f.exchange(&post(1, "/jobs", b"1 a"))),
    ("its answer", |f| f.answer(1, &served("done a"))),
    ("its duplicate", |f| f.exchange(&post(1, "/jobs", b"1 a"))),
    ("a slow read", |f| f.exchange(&get(2, "/quote"))),
    ("a second one", |f| f.exchange(&get(3, "/quote"))),
    ("their empty acknowledgements", |f| texts(f.advance(ms(250)))),
    ("the first answer", |f| f.answer(2, &served("b"))),
    ("the second answer, queued", |f| f.answer(3, &served("c"))),
    ("retransmissions, until both are given up", |f| {
        let sent = texts(f.advance(ms(200_000)));
        // The waits are random, so only their number is the same.
        vec![format!("{} and {}", sent.iter().filter(|t| t.contains('b')).count(), sent.len())]
    }),
    ("half an upload", |f| {
        f.exchange(&with(post(4, "/jobs", &[b'x'; 32]), option::BLOCK1, block(0, true, 1)))
    }),
    ("its other half", |f| f.exchange(&with(post(5, "/jobs", b"y"), option::BLOCK1, block(1, false, 1)))),
    ("a large result", |f| f.answer(5, &served(&"r".repeat(900)))),
    ("its second block", |f| f.exchange(&with(post(6, "/jobs", b""), option::BLOCK2, block(1, false, 4)))),
    ("a message id with another token", |f| {
        let mut other = post(1, "/jobs", b"1 z");
        other.set_token(vec![9]);
        f.exchange(&other)
    }),
    ("the first write once more", |f| f.exchange(&post(1, "/jobs", b"1 a"))),
    ("a new write", |f| f.exchange(&post(7, "/jobs", b"1 d"))),
    ("a failure", |f| f.answer(7, &Answer::Failed(FailureReason::RunFailed))),
];

/// A device that fetched a result in blocks or sent its message again was told 4.08 or 5.03 by the next process (review/8,
/// review/9). Here the front passes on before each step of a script, and twice in a row; every reply is that of a front that stays.
#[test]
fn a_front_that_is_passed_on_replies_as_one_that_stays() {
    let mut stays = TestFront::new("quiet_ms = 0");
    let expected: Vec<Vec<String>> = STEPS.iter().map(|(_, step)| step(&mut stays)).collect();
    assert_eq!(expected[2], ["ACK 1 2.04 \"done a\""]);
    assert!(expected[12][0].contains("2.04"), "{expected:?}");
    for moment in 0..STEPS.len() {
        for times in 1..=2 {
            let mut front = TestFront::new("quiet_ms = 0");
            for (at, ((what, step), expected)) in STEPS.iter().zip(&expected).enumerate() {
                if (moment..moment + times).contains(&at) {
                    front = pass_on(&front);
                }
                assert_eq!(
                    step(&mut front),
                    *expected,
                    "{what}, passed on before step {moment}, {times} times"
                );
            }
        }
    }
}

/// A proof of the address and the Echo that a device holds are good at the next process; so is the demand for one behind a flood, and
/// a message that was refused stays refused.
#[test]
fn proofs_of_addresses_and_refusals_pass_on() {
    let mut f = TestFront::new("exchanges = 64\nquiet_ms = 0");
    let small = message(MessageType::Confirmable, 1, &[1], RequestType::Get, "/quote");
    let demand = f.receive(peer(1), &bytes(&small));
    let echo = Packet::from_bytes(&demand[0].1).expect("a valid message");
    let echo = echo.get_first_option(option::ECHO.into()).expect("an Echo").clone();
    f.now = f.now + ms(30_000);
    let mut next = pass_on_to(&f, "exchanges = 64");
    let mut proven = message(MessageType::Confirmable, 2, &[2], RequestType::Get, "/quote");
    proven.add_option(option::ECHO.into(), echo);
    assert!(next.exchange(&proven).is_empty(), "the Echo of the process before is valid");
    assert_eq!(next.answer(1, &served("b")), ["ACK 2 2.05 \"b\""]);
    let mut last = pass_on_to(&next, "exchanges = 64");
    let mut again = message(MessageType::Confirmable, 3, &[3], RequestType::Get, "/quote");
    again.add_option(option::URI_QUERY.into(), vec![b'p'; 40]);
    assert!(last.exchange(&again).is_empty(), "the address stays verified");
    // A flood: refused messages stay refused, and requests without an Echo get a demand.
    let mut flooded = TestFront::new("exchanges = 64\nquiet_ms = 0\npeer_requests = 1");
    assert!(flooded.exchange(&get(1, "/quote")).is_empty());
    assert_eq!(flooded.exchange(&get(2, "/quote")), ["ACK 2 4.29 age=1"]);
    for n in 2..40 {
        flooded.receive(peer(n), &bytes(&get(1, "/quote")));
    }
    let mut next = pass_on_to(&flooded, "exchanges = 64\npeer_requests = 1");
    assert_eq!(next.answer(1, &served("a")), ["ACK 1 2.05 \"a\""]);
    let late = next.receive(peer(1), &bytes(&get(2, "/quote")));
    assert!(!summary(&late[0].1).contains("2.05") && next.submitted.is_empty(), "{late:?}");
    let demanded = next.receive(peer(60), &bytes(&get(1, "/quote")));
    assert_eq!(summary(&demanded[0].1), "ACK 1 4.01");
}

/// Requests that are open when the front passes on get the answers that the process before passes on, each once; those whose answers
/// will not come fail.
#[test]
fn open_requests_get_their_answers_at_the_next_process() {
    let mut f = TestFront::new("");
    f.exchange(&post(1, "/jobs", b"1 a"));
    f.exchange(&post(2, "/jobs", b"1 b"));
    let mut next = pass_on(&f);
    let transfer = FrontTransfer::Answer { number: 1, answer: ForwardedAnswer::from(&served("a")) };
    let Some(FrontTransfer::Answer { number, answer }) =
        FrontTransfer::decode(&transfer.encode().expect("it is within the bounds"))
    else {
        panic!("an answer was encoded")
    };
    assert_eq!(next.answer(number, &Answer::from(answer)), ["ACK 1 2.04 \"a\""]);
    // A request of its own is not answered with those of the process before.
    assert!(next.exchange(&post(3, "/jobs", b"1 c")).is_empty());
    let mut out = Vec::new();
    next.coap.fail_transferred(next.now, &mut out);
    let failed: Vec<String> = next.record(out).iter().map(|(_, b)| summary(b)).collect();
    assert_eq!(failed, ["ACK 2 5.02"]);
    assert_eq!(next.exchange(&post(2, "/jobs", b"1 b")), ["ACK 2 5.02"]);
    assert_eq!(next.submitted.len(), 1);
    assert_eq!(next.answer(next.submitted[0].0, &served("c")), ["ACK 3 2.04 \"c\""]);
}

/// A front that does not know what another process has run fails writes, as that may have run them, and goes on to serve reads.
#[test]
fn writes_that_can_t_be_accounted_for_fail_and_are_not_refused() {
    let mut f = TestFront::new("quiet_ms = 5000");
    f.coap.mark_unaccounted(f.now);
    assert_eq!(f.exchange(&post(1, "/jobs", b"1 a")), ["ACK 1 5.02"]);
    assert!(f.exchange(&get(2, "/quote")).is_empty());
    f.advance(ms(4_999));
    let mut next = pass_on(&f);
    assert_eq!(
        next.exchange(&post(3, "/jobs", b"1 a")),
        ["ACK 3 5.02"],
        "the next process does not know either"
    );
    next.advance(ms(2));
    assert!(next.exchange(&post(4, "/jobs", b"1 a")).is_empty());
    assert_eq!(next.exchange(&post(1, "/jobs", b"1 a")), ["ACK 1 5.02"]);
}

/// More exchanges than may pass on: the last ones do, and while duplicates of the others may come unknown writes fail.
#[test]
fn what_passes_on_is_bounded() {
    let more = 50;
    let mut f = TestFront::new("exchanges = 200000\nquiet_ms = 0");
    let answered = |f: &mut TestFront, n: usize| {
        let from = SocketAddr::from(([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 5_683));
        // Each sender gives back its Echo, so that unverified addresses do not fill their part of the table.
        let demand =
            f.receive(from, &bytes(&message(MessageType::Confirmable, 1, &[], RequestType::Get, "/quote")));
        let echo = Packet::from_bytes(&demand[0].1).expect("a valid message");
        let mut request = post(2, "/jobs", b"1 a");
        request.add_option(
            option::ECHO.into(),
            echo.get_first_option(option::ECHO.into()).expect("an Echo").clone(),
        );
        f.receive(from, &bytes(&request));
        let number = f.submitted.pop().expect("submitted").0;
        f.answer(number, &Answer::Failed(FailureReason::RunFailed));
        (from, request)
    };
    let first = answered(&mut f, 0);
    f.now = f.now + ms(1_000);
    let mut last = None;
    for n in 1..EXCHANGES_MAX + more {
        last = Some(answered(&mut f, n));
    }
    let state = f.coap.export(f.now);
    assert_eq!(state.counts(), (EXCHANGES_MAX, 0));
    let mut next = TestFront::new("exchanges = 200000\nquiet_ms = 0");
    next.now = f.now;
    next.coap.import(next.now, state);
    let (from, request) = last.expect("there are some");
    for (from, request) in [first, (from, request)] {
        let reply = next.receive(from, &bytes(&request));
        assert!(summary(&reply[0].1).starts_with("ACK 2 5.02"), "none is refused, and none runs");
    }
    assert!(next.submitted.is_empty());
    next.advance(EXCHANGE_LIFETIME);
    assert!(next.exchange(&post(9, "/jobs", b"1 new")).is_empty(), "from then on writes are served");
}

/// Uploads with long paths, unacknowledged responses and requests that run, more than may pass on: what passes on keeps to the bound in
/// bytes, and a front whose open requests alone exceed it passes on not at all.
#[test]
fn a_front_at_every_bound_fits_into_a_transfer() {
    let limits = "exchanges = 200000\nquiet_ms = 0\nuploads_bytes = 16777216\nresults_bytes = 16777216";
    let mut f = TestFront::new(limits);
    let from = |n: u32| SocketAddr::from((n.to_be_bytes(), 5_683));
    let prove = |f: &mut TestFront, n: u32, mut request: Packet| {
        let small = message(MessageType::Confirmable, 1, &[], RequestType::Get, "/quote");
        let demand = Packet::from_bytes(&f.receive(from(n), &bytes(&small))[0].1).expect("a valid message");
        let echo = demand.get_first_option(option::ECHO.into()).expect("an Echo").clone();
        request.add_option(option::ECHO.into(), echo);
        f.receive(from(n), &bytes(&request))
    };
    let long = |id: u16| {
        let mut request = post(id, "/jobs", b"1 a");
        request.add_option(option::URI_QUERY.into(), vec![b'q'; 250]);
        request.add_option(option::URI_QUERY.into(), vec![b'q'; 250]);
        request
    };
    // Half uploads of 16 bytes, whose keys are far longer.
    for n in 0..24_000 {
        let mut half = with(long(2), option::BLOCK1, block(0, true, 0));
        half.payload = vec![b'x'; 16];
        assert_eq!(summary(&prove(&mut f, n, half)[0].1), "ACK 2 2.31 b1=0+/0");
    }
    // Separate responses that nobody acknowledges, each with the first block of a result.
    for n in 0..20_000 {
        prove(&mut f, 100_000 + n, post(2, "/jobs", b"1 a"));
    }
    f.advance(ms(250));
    let open: Vec<u64> = f.submitted.drain(..).map(|submitted| submitted.0).collect();
    for number in open {
        f.answer(number, &served(&"r".repeat(1_000)));
    }
    let encode = |f: &TestFront| FrontTransfer::State(Box::new(f.coap.export(f.now))).encode();
    let bytes_at_the_bounds = encode(&f).expect("it is within the bounds").len();
    assert!((24 << 20..27 << 20).contains(&bytes_at_the_bounds), "{bytes_at_the_bounds} bytes");
    for n in 0..36_000 {
        prove(&mut f, 200_000 + n, long(2));
    }
    assert_eq!(encode(&f), None, "36,000 open requests with their paths");
}

/// Bytes that are not a transfer, or are cut short, are none.
#[test]
fn malformed_transfers_are_rejected() {
    let mut f = TestFront::new("");
    f.exchange(&post(1, "/jobs", b"1 a"));
    let whole =
        FrontTransfer::State(Box::new(f.coap.export(f.now))).encode().expect("it is within the bounds");
    for length in 0..whole.len() {
        assert_eq!(FrontTransfer::decode(&whole[..length]), None, "{length} bytes");
    }
    assert_eq!(FrontTransfer::decode(&[&whole[..], &[0]].concat()), None);
    assert_eq!(FrontTransfer::decode(&[9; 64]), None);
}
