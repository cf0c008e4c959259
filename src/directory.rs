//! Reports to the directory, by which callers find this node.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::{Decoder, Encoder, Framed};

use crate::end::End;
use crate::http::{Response, ResponseCodec};
use crate::stream::SteadyStream;

/// Mean time between the starts of two reports: an entry lapses 3 s after its last report, and one report of three may
/// fail.
const REPORT_INTERVAL: Duration = Duration::from_millis(900);
/// The relative jitter of the interval, so that nodes which started together, or all reached the directory again at the
/// same time, do not keep reporting at the same time.
const INTERVAL_JITTER: f64 = 0.1;
/// A report that takes longer has failed and is retried.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Mean pause after a failed report; doubled after each further failure in a row, up to the maximum. The pause is drawn
/// between half and one and a half of the mean.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(400);

/// The state that is reported to the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Nothing is reported, as the agent is not up yet.
    Silent,
    /// The node accepts requests.
    Open,
    /// The node accepts no requests.
    Closed,
}

/// Encodes reports and decodes their responses.
#[derive(Debug, Default)]
pub struct ReportCodec(ResponseCodec);

impl Encoder<(&str, Mode)> for ReportCodec {
    type Error = End;
    fn encode(&mut self, (name, mode): (&str, Mode), dst: &mut BytesMut) -> Result<(), End> {
        let body = if mode == Mode::Open { r#"{"mode":"open"}"# } else { r#"{"mode":"closed"}"# };
        let text = format!(
            "PUT /dir/nodes/{name} HTTP/1.1\r\nHost: directory\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
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

/// The times between reports.
#[derive(Debug)]
pub struct ReportSchedule {
    rng: ChaCha8Rng,
    failures_in_row: u32,
}

impl ReportSchedule {
    /// The schedule of one node; the seed must differ between nodes.
    pub fn new(seed: u64) -> ReportSchedule {
        ReportSchedule { rng: ChaCha8Rng::seed_from_u64(seed), failures_in_row: 0 }
    }

    /// The time from the start of a report that succeeded to the start of the next.
    pub fn interval(&mut self) -> Duration {
        REPORT_INTERVAL.mul_f64(self.rng.random_range(1.0 - INTERVAL_JITTER..=1.0 + INTERVAL_JITTER))
    }

    /// Records the end of a report; returns the pause before the next one where it failed.
    pub fn report_ended(&mut self, succeeded: bool) -> Option<Duration> {
        if succeeded {
            self.failures_in_row = 0;
            return None;
        }
        let mean = RETRY_PAUSE.saturating_mul(1 << self.failures_in_row.min(8)).min(RETRY_PAUSE_MAX);
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        Some(mean.mul_f64(self.rng.random_range(0.5..1.5)))
    }
}

/// Reports about each second, and at once when the mode or the directory's address changes, until a sender of either is
/// dropped.
///
/// Reports start at a steady interval, whether or not the previous one was answered: an entry lapses 3 s after the last
/// report, and an unanswered report must not delay the next one, nor the report that this node leaves.
pub async fn report(
    mut address: watch::Receiver<Option<SocketAddr>>,
    name: String,
    mut mode: watch::Receiver<Mode>,
    seed: u64,
) {
    let mut schedule = ReportSchedule::new(seed);
    loop {
        let (at, now) = (*address.borrow_and_update(), *mode.borrow_and_update());
        let next = Instant::now() + schedule.interval();
        let reported = async {
            let Some(at) = at.filter(|_| now != Mode::Silent) else { return std::future::pending().await };
            let result = timeout(REPORT_TIMEOUT, send_report(at, &name, now)).await;
            matches!(result, Ok(Ok(())))
        };
        let mut wake = next;
        tokio::select! {
            changed = mode.changed() => if changed.is_err() { return } else { continue },
            changed = address.changed() => if changed.is_err() { return } else { continue },
            succeeded = reported => if let Some(pause) = schedule.report_ended(succeeded) {
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

/// Sends a report on a connection of its own: a response does not name its report, so one that comes late or twice on a
/// connection that is used again would be taken for the response to a later report.
async fn send_report(address: SocketAddr, name: &str, mode: Mode) -> Result<(), End> {
    let stream = TcpStream::connect(address).await.map_err(|e| End::of_connect(&e))?;
    let _ = stream.set_nodelay(true);
    let mut link = Framed::with_capacity(SteadyStream::new(stream), ReportCodec::default(), 1 << 10);
    link.send((name, mode)).await?;
    let response = link.next().await.ok_or(End::Closed)??;
    if response.status == 204 { Ok(()) } else { Err(End::Malformed) }
}
