//! Reports to the directory: what happens where it is down, slow, breaks off, or says more than it was asked.

mod net;

use std::collections::BTreeSet;
use std::time::Duration;

use holdlift::directory::{Mode, ReportSchedule, report};
use net::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const YES: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

/// Reads one report off a connection; nothing where it ends before one is whole.
async fn heard(s: &mut TcpStream) -> Option<String> {
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

async fn next(directory: &TcpListener) -> TcpStream {
    within("a connection", directory.accept()).await.expect("accepted").0
}

fn reporting(at: std::net::SocketAddr, mode: Mode) -> (watch::Sender<Mode>, impl Future<Output = ()>) {
    let (address, (said, watched)) = (watch::channel(Some(at)), watch::channel(mode));
    let reports = async move {
        let keep = address.0;
        report(address.1, "n0".to_owned(), watched, 7).await;
        drop(keep);
    };
    (said, reports)
}

/// Whatever a directory does with a report, the next one comes, on a connection of its own where the former may be
/// spoilt: an answer that nobody asked for is not taken for the answer to a later report.
#[tokio::test]
async fn reports_go_on_whatever_the_directory_does() {
    let spoilt: [(&str, &[u8]); 6] = [
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
    for (what, bytes) in spoilt {
        let (directory, at) = bind().await;
        let (_said, reports) = reporting(at, Mode::Open);
        let talk = async {
            let mut first = next(&directory).await;
            assert_eq!(heard(&mut first).await.as_deref(), Some(r#"{"mode":"open"}"#), "{what}");
            first.write_all(bytes).await.expect("written");
            if !what.starts_with("a second") && !what.starts_with("half") {
                first.shutdown().await.expect("shut");
            }
            // Had the former connection been used again, nobody would come here.
            let mut second = next(&directory).await;
            assert_eq!(heard(&mut second).await.as_deref(), Some(r#"{"mode":"open"}"#), "{what}");
            assert_eq!(heard(&mut first).await, None, "{what}: a report that nobody answered");
        };
        tokio::select! { () = reports => panic!("over"), () = talk => {} }
    }
}

/// The news that this node takes no work waits for no answer to an earlier report, and goes out on another connection.
#[tokio::test]
async fn leaving_waits_for_no_answer() {
    let (directory, at) = bind().await;
    let (said, reports) = reporting(at, Mode::Open);
    let talk = async {
        let mut first = next(&directory).await;
        heard(&mut first).await.expect("a report");
        said.send(Mode::Closed).expect("listened to");
        let mut second = next(&directory).await;
        assert_eq!(heard(&mut second).await.as_deref(), Some(r#"{"mode":"closed"}"#));
        second.write_all(YES).await.expect("written");
        // A quiet list stays closed: the same word again.
        assert_eq!(heard(&mut second).await.as_deref(), Some(r#"{"mode":"closed"}"#));
    };
    tokio::select! { () = reports => panic!("over"), () = talk => {} }
}

/// Nodes that lost the directory at one moment do not come back to it at one, and none stays away for long; those that
/// report do so within a third of what an entry lasts.
#[test]
fn reports_are_spread() {
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
        // After a good one the pauses are short again.
        assert!(n.report_ended(false).expect("a pause") <= ms(150));
    }
}
