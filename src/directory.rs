//! Reports to the directory, through which callers find this node.

use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::{Decoder, Encoder, Framed};

use crate::end::End;
use crate::http::{Response, ResponseCodec};
use crate::stream::SteadyStream;

/// Between the starts of two reports, in the mean: an entry lapses 3 s after its last report, and one of three may fail.
const EVERY: Duration = Duration::from_millis(900);
/// Part of it by which it varies, so that nodes that were started together, or all found the directory again at one
/// moment, do not go on reporting at one moment.
const SPREAD: f64 = 0.1;
/// A report that takes longer is tried anew.
const PATIENCE: Duration = Duration::from_millis(800);

/// The pause after a report that failed, in the mean; twice as long after each further one, up to the most. It is drawn
/// between half and one and a half of that.
const AGAIN: Duration = Duration::from_millis(100);
const AGAIN_MOST: Duration = Duration::from_millis(400);

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

/// When reports are made: how long each is waited behind.
#[derive(Debug)]
pub struct ReportSchedule {
    draws: ChaCha8Rng,
    failed: u32,
}

impl ReportSchedule {
    /// Of one node; the seed tells it from others.
    pub fn new(seed: u64) -> ReportSchedule {
        ReportSchedule { draws: ChaCha8Rng::seed_from_u64(seed), failed: 0 }
    }

    /// From a report's start to the next one's, where it went well.
    pub fn interval(&mut self) -> Duration {
        EVERY.mul_f64(self.draws.random_range(1.0 - SPREAD..=1.0 + SPREAD))
    }

    /// A report has ended, well or not; after one that failed, the pause behind it.
    pub fn report_ended(&mut self, good: bool) -> Option<Duration> {
        if good {
            self.failed = 0;
            return None;
        }
        let mean = AGAIN.saturating_mul(1 << self.failed.min(8)).min(AGAIN_MOST);
        self.failed = self.failed.saturating_add(1);
        Some(mean.mul_f64(self.draws.random_range(0.5..1.5)))
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
    seed: u64,
) {
    let mut pace = ReportSchedule::new(seed);
    let mut link: Option<Framed<SteadyStream, ReportCodec>> = None;
    let mut last = None;
    loop {
        let (at, now) = (*address.borrow_and_update(), *mode.borrow_and_update());
        if last != at {
            // A connection to where the directory was is of no more use.
            (last, link) = (at, None);
        }
        let next = Instant::now() + pace.interval();
        let told = async {
            let Some(at) = at.filter(|_| now != Mode::Silent) else { return std::future::pending().await };
            let told = timeout(PATIENCE, tell(at, &name, now, &mut link)).await;
            matches!(told, Ok(Ok(())))
        };
        let mut wake = next;
        tokio::select! {
            changed = mode.changed() => if changed.is_err() { return } else { continue },
            changed = address.changed() => if changed.is_err() { return } else { continue },
            good = told => if let Some(pause) = pace.report_ended(good) {
                wake = next.min(Instant::now() + pause);
            },
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
    link: &mut Option<Framed<SteadyStream, ReportCodec>>,
) -> Result<(), End> {
    // What lies there already, an end or an answer that nobody asked for, would be taken for the answer to this report.
    let fresh = |l: &Framed<SteadyStream, ReportCodec>| {
        let nothing = SockRef::from(&**l.get_ref()).peek(&mut [MaybeUninit::uninit()]);
        l.read_buffer().is_empty() && nothing.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    };
    let mut framed = match link.take().filter(fresh) {
        Some(framed) => framed,
        None => {
            let stream = TcpStream::connect(address).await.map_err(|e| End::of_connect(&e))?;
            let _ = stream.set_nodelay(true);
            Framed::with_capacity(SteadyStream::new(stream), ReportCodec::default(), 1 << 10)
        }
    };
    framed.send((name, mode)).await?;
    let r = framed.next().await.ok_or(End::Closed)??;
    if r.keep_alive {
        *link = Some(framed);
    }
    if r.status == 204 { Ok(()) } else { Err(End::Malformed) }
}
