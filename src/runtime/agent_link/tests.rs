use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use super::*;

/// More than the buffers of both sockets hold, in pieces that fit into the queue.
const PIECE_BYTES: usize = 64 << 10;
const PIECES: usize = 512;

/// Guards against review case 1 where the event loop gives up a link itself, as its queue is full: what the socket has not accepted
/// by then is sent on the next link, so it must never leave on this one, although it is queued.
#[tokio::test(flavor = "current_thread")]
async fn an_abandoned_link_writes_nothing_that_it_has_not_counted() {
    LocalSet::new().run_until(abandon_a_full_link()).await;
}

async fn abandon_a_full_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    let stream = TcpStream::connect(address).await.expect("the listener accepts");
    let (mut agent, _) = listener.accept().await.expect("the listener accepts");
    let (events, mut received) = mpsc::channel(8);
    let task = tokio::task::spawn_local(run_link(1, stream, events));
    let Some(Event::AgentLinked(link)) = received.recv().await else { panic!("the link is not reported") };
    for _ in 0..PIECES {
        link.queue.try_send(Bytes::from(vec![b'x'; PIECE_BYTES])).expect("the queue has room");
    }
    // The agent reads nothing, so the socket accepts no more after a while.
    let mut accepted = 0;
    loop {
        sleep(Duration::from_millis(20)).await;
        if std::mem::replace(&mut accepted, link.accepted_bytes()) == link.accepted_bytes() && accepted > 0 {
            break;
        }
    }
    assert!(accepted < (PIECES * PIECE_BYTES) as u64, "the buffers hold all of it");
    drop(link);
    // The agent reads on; the link's task could write again.
    let mut read = Vec::new();
    agent.read_to_end(&mut read).await.expect("the link is closed");
    assert_eq!(read.len() as u64, accepted);
    assert!(matches!(task.await, Ok(End::Reset | End::Stalled)));
}
