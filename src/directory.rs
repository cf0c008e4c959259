//! Reports to the directory, through which callers find this node.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::{Decoder, Encoder, Framed};

use crate::end::End;
use crate::http::{Response, ResponseCodec};

/// An entry lapses 3 s after its last report.
const EVERY: Duration = Duration::from_millis(900);
/// A report that takes longer is tried anew.
const PATIENCE: Duration = Duration::from_millis(800);

/// The pause after a report that failed.
const AGAIN: Duration = Duration::from_millis(100);

/// What the directory is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Nothing yet: the agent is not up.
    Silent,
    /// Takes work.
    Open,
    /// Takes no work.
    Closed,
}

/// Writes reports and reads their answers.
#[derive(Debug, Default)]
pub struct ReportCodec(ResponseCodec);

impl Encoder<(&str, Mode)> for ReportCodec {
    type Error = End;
    fn encode(&mut self, (name, mode): (&str, Mode), dst: &mut BytesMut) -> Result<(), End> {
        let body = if mode == Mode::Open { r#"{"mode":"open"}"# } else { r#"{"mode":"closed"}"# };
        let text = format!(
            "PUT /dir/nodes/{name} HTTP/1.1\r\nHost: directory\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        dst.extend_from_slice(&Bytes::from(text));
        Ok(())
    }
}

impl Decoder for ReportCodec {
    type Item = Response;
    type Error = End;
    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Response>, End> {
        self.0.decode(src)
    }
}

/// Reports each second, and at once whenever the mode or the directory's address changes, until the mode's sender is
/// gone.
///
/// Reports start at a steady pace, whether or not the one before has been answered: an entry lapses 3 s after the last
/// report, and one that nobody answers must not hold up the next, nor the news that this node leaves.
pub async fn report(
    mut address: watch::Receiver<Option<SocketAddr>>,
    name: String,
    mut mode: watch::Receiver<Mode>,
) {
    let mut link: Option<Framed<TcpStream, ReportCodec>> = None;
    let mut last = None;
    loop {
        let (at, now) = (*address.borrow_and_update(), *mode.borrow_and_update());
        if last != at {
            // A connection to where the directory was is of no more use.
            (last, link) = (at, None);
        }
        let next = Instant::now() + EVERY;
        let told = async {
            let Some(at) = at.filter(|_| now != Mode::Silent) else { return std::future::pending().await };
            let told = timeout(PATIENCE, tell(at, &name, now, &mut link)).await;
            matches!(told, Ok(Ok(())))
        };
        let mut wake = next;
        tokio::select! {
            changed = mode.changed() => if changed.is_err() { return } else { continue },
            changed = address.changed() => if changed.is_err() { return } else { continue },
            good = told => if !good { wake = next.min(Instant::now() + AGAIN) },
        }
        tokio::select! {
            changed = mode.changed() => if changed.is_err() { return },
            changed = address.changed() => if changed.is_err() { return },
            () = sleep_until(wake) => {}
        }
    }
}

async fn tell(
    address: SocketAddr,
    name: &str,
    mode: Mode,
    link: &mut Option<Framed<TcpStream, ReportCodec>>,
) -> Result<(), End> {
    let mut framed = match link.take() {
        Some(framed) => framed,
        None => {
            let stream = TcpStream::connect(address).await.map_err(|e| End::of_connect(&e))?;
            Framed::with_capacity(stream, ReportCodec::default(), 1 << 10)
        }
    };
    framed.send((name, mode)).await?;
    let r = framed.next().await.ok_or(End::Closed)??;
    if r.keep_alive {
        *link = Some(framed);
    }
    if r.status == 204 { Ok(()) } else { Err(End::Malformed) }
}
