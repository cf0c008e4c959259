//! The link does what it says, to the byte, and the same each time.

use std::time::{Duration, Instant};

use holdlift_lab::bind;
use holdlift_lab::link::{Impairment, Link};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Echoes what it reads until the end, then closes.
async fn echo() -> std::net::SocketAddr {
    let (listener, address) = bind().await;
    tokio::spawn(async move {
        while let Ok((mut s, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut got = Vec::new();
                let _ = s.read_to_end(&mut got).await;
                let _ = s.write_all(&got).await;
            });
        }
    });
    address
}

async fn through(i: Impairment, bytes: &[u8]) -> (Vec<u8>, Duration) {
    let link = Link::to(echo().await, i, 7).await;
    let start = Instant::now();
    let mut s = TcpStream::connect(link.address).await.unwrap();
    s.write_all(bytes).await.unwrap();
    s.shutdown().await.unwrap();
    let mut got = Vec::new();
    let _ = timeout(Duration::from_secs(10), s.read_to_end(&mut got)).await;
    (got, start.elapsed())
}

#[tokio::test]
async fn what_passes_passes_whole_and_late() {
    let bytes: Vec<u8> = (0..3_000u32).map(|i| i as u8).collect();
    let delay = Impairment { delay_ms: 50, jitter_ms: 20, ..Impairment::default() };
    let cases = [
        (Impairment::default(), 0),
        (delay, 100),
        (Impairment { rate: 10_000, ..delay }, 700),
        (Impairment { stall_after: Some(1_000), stall_ms: 300, ..Impairment::default() }, 300),
        (Impairment { loss: 0.3, ..delay }, 100),
    ];
    for (i, least) in cases {
        for _ in 0..8 {
            let (got, took) = through(i, &bytes).await;
            assert!(got == bytes, "{i:?}: {} bytes", got.len());
            assert!(took >= Duration::from_millis(least), "{i:?}: {took:?}");
        }
    }
}

#[tokio::test]
async fn what_is_cut_does_not_pass() {
    let bytes = [1; 3_000];
    let reset = Impairment { reset_after: Some(1_000), ..Impairment::default() };
    assert_eq!(through(reset, &bytes).await.0.len(), 0);
    let vanish = Impairment { vanish_after: Some(1_000), held_ms: 400, ..Impairment::default() };
    let (got, took) = through(vanish, &bytes).await;
    assert!(got.is_empty() && took >= Duration::from_millis(400), "{took:?}");
}
