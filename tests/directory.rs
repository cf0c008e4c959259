//! Reports to a directory that is down, slow, breaks off, or sends more than it was asked for.

mod net;

use std::collections::BTreeSet;
use std::time::Duration;

use holdlift::directory::{Mode, ReportSchedule, report};
use net::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const ACCEPTED: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

/// Reads one report from a connection; none where the connection ends before it is complete.
async fn read_report(s: &mut TcpStream) -> Option<String> {
    let mut all = Vec::new();
    loop {
        let mut buffer = [0; 1024];
        let n = within("a report", s.read(&mut buffer)).await.ok().filter(|n| *n > 0)?;
        all.extend_from_slice(&buffer[..n]);
        let text = String::from_utf8_lossy(&all).into_owned();
        if text.ends_with('}') {
            return Some(text.lines().last().unwrap_or("").to_owned());
        }
    }
}

async fn accept(directory: &TcpListener) -> TcpStream {
    within("a connection", directory.accept()).await.expect("the listener accepts a connection").0
}

fn start_reports(at: std::net::SocketAddr, mode: Mode) -> (watch::Sender<Mode>, impl Future<Output = ()>) {
    let (address, (mode_sender, watched)) = (watch::channel(Some(at)), watch::channel(mode));
    let reports = async move {
        let address_sender = address.0;
        report(address.1, "n0".to_owned(), watched, 7).await;
        drop(address_sender);
    };
    (mode_sender, reports)
}

/// Whatever a directory does with a report, the next report follows, on a connection of its own: an unrequested response is not
/// taken for the response to a later report.
#[tokio::test]
async fn reports_go_on_whatever_the_directory_does() {
    let responses: [(&str, &[u8]); 7] = [
        // The cause of review case 2: the connection was used again, and what came on it later answered a later report.
        ("one answer on a connection that stays open", ACCEPTED),
        (
            "a second answer behind the first",
            b"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
        ),
        ("half an answer behind the first", b"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 2"),
        ("an answer that breaks off", b"HTTP/1.1 20"),
        ("no HTTP", b"+OK\r\n\r\n"),
        ("a close without an answer", b""),
        ("an answer, then a close", b"HTTP/1.1 204 No Content\r\n\r\n"),
    ];
    for (what, bytes) in responses {
        let (directory, at) = bind().await;
        let (_mode_sender, reports) = start_reports(at, Mode::Open);
        let talk = async {
            let mut first = accept(&directory).await;
            assert_eq!(read_report(&mut first).await.as_deref(), Some(r#"{"mode":"open"}"#), "{what}");
            first.write_all(bytes).await.expect("the response is written");
            let stays_open = ["one answer", "a second", "half"].iter().any(|start| what.starts_with(start));
            if !stays_open {
                first.shutdown().await.expect("the sending side is closed");
            }
            // If the old connection were reused, no second one would be made.
            let mut second = accept(&directory).await;
            assert_eq!(read_report(&mut second).await.as_deref(), Some(r#"{"mode":"open"}"#), "{what}");
            assert_eq!(read_report(&mut first).await, None, "{what}: a report on the old connection");
        };
        tokio::select! { () = reports => panic!("the reports end while the mode is still watched"), () = talk => {} }
    }
}

/// The report that this node takes no work does not wait for the response to an earlier report; it goes out on a new
/// connection.
#[tokio::test]
async fn the_report_of_leaving_does_not_wait_for_an_earlier_response() {
    let (directory, at) = bind().await;
    let (mode_sender, reports) = start_reports(at, Mode::Open);
    let talk = async {
        let mut first = accept(&directory).await;
        read_report(&mut first).await.expect("the first report is complete");
        mode_sender.send(Mode::Closed).expect("the reporter watches the mode");
        let mut second = accept(&directory).await;
        assert_eq!(read_report(&mut second).await.as_deref(), Some(r#"{"mode":"closed"}"#));
        second.write_all(ACCEPTED).await.expect("the response is written");
        // The next report repeats the mode.
        let mut third = accept(&directory).await;
        assert_eq!(read_report(&mut third).await.as_deref(), Some(r#"{"mode":"closed"}"#));
    };
    tokio::select! { () = reports => panic!("the reports end while the mode is still watched"), () = talk => {} }
}

/// Nodes that lost the directory at the same time retry at different times and soon; nodes whose reports succeed repeat
/// them within a third of an entry's lifetime.
#[test]
fn retries_and_reports_of_many_nodes_are_spread_over_time() {
    let ms = Duration::from_millis;
    let mut nodes: Vec<ReportSchedule> = (0..300).map(ReportSchedule::new).collect();
    for failed in 0..12 {
        let pauses: Vec<Duration> = nodes.iter_mut().filter_map(|n| n.report_ended(false)).collect();
        let slots: BTreeSet<u128> = pauses.iter().map(|p| p.as_millis() / 10).collect();
        let (least, most) = [(50, 150), (100, 300), (200, 600)][failed.min(2)];
        assert!(pauses.iter().all(|p| (ms(least)..=ms(most)).contains(p)), "{failed}");
        assert!(
            pauses.len() == 300 && slots.len() * 12 > (most - least) as usize,
            "{failed}: {}",
            slots.len()
        );
    }
    for n in &mut nodes {
        assert_eq!(n.report_ended(true), None);
        assert!((ms(800)..=ms(1_000)).contains(&n.interval()));
        // After a success the retry pauses are short again.
        assert!(n.report_ended(false).expect("a failed report is followed by a pause") <= ms(150));
    }
}
