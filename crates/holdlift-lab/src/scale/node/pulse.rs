//! A pulse: health checks one after the other, each answered on the spot and not in the module's next round. The longest
//! that one took is the longest that the node's one task was at something else, to a fraction of a ms.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use holdlift::front::msgpack::{ValueCodec, pack};
use pack::{Value, text};
use tokio_util::codec::Decoder;

use crate::standin::map;

/// Between an answer and the next check.
const REST: Duration = Duration::from_micros(300);
/// Longest that one answer is waited for.
const PATIENCE: Duration = Duration::from_secs(5);

/// One check: when it left, and when its answer was there.
pub type Beat = (Instant, Instant);

/// A pulse that is being felt, until it is dropped.
pub struct Pulse {
    halt: Arc<AtomicBool>,
    feeling: Option<JoinHandle<Vec<Beat>>>,
}

impl Drop for Pulse {
    fn drop(&mut self) {
        self.halt.store(true, Ordering::Relaxed);
    }
}

impl Pulse {
    /// Begins, on a connection of its own.
    pub fn feel(at: SocketAddr) -> Pulse {
        let halt = Arc::new(AtomicBool::new(false));
        let halted = halt.clone();
        Pulse { halt, feeling: Some(std::thread::spawn(move || beats(at, &halted).unwrap_or_default())) }
    }

    /// Ends; all beats so far, none where the connection could not be made or was lost.
    pub async fn end(mut self) -> Vec<Beat> {
        self.halt.store(true, Ordering::Relaxed);
        let Some(feeling) = self.feeling.take() else { return Vec::new() };
        tokio::task::spawn_blocking(move || feeling.join().unwrap_or_default()).await.unwrap_or_default()
    }
}

fn beats(at: SocketAddr, halted: &AtomicBool) -> std::io::Result<Vec<Beat>> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let (mut all, mut buffer, mut codec) = (Vec::new(), BytesMut::new(), ValueCodec::default());
    let mut chunk = [0; 1_024];
    let mut n = 0;
    while !halted.load(Ordering::Relaxed) {
        n += 1;
        let mut out = BytesMut::new();
        let params = Value::Array(vec![map(&[])]);
        pack::write(&mut out, &Value::Array(vec![Value::Int(0), Value::Int(n), text("health"), params]));
        let sent = Instant::now();
        stream.write_all(&out)?;
        loop {
            let said = codec.decode(&mut buffer).map_err(|_| std::io::ErrorKind::InvalidData)?;
            // Past notifications.
            if matches!(&said, Some(Value::Array(m)) if m.first() == Some(&Value::Int(1))) {
                break;
            }
            if said.is_none() {
                let read = stream.read(&mut chunk)?;
                if read == 0 {
                    return Ok(all);
                }
                buffer.extend_from_slice(&chunk[..read]);
            }
        }
        all.push((sent, Instant::now()));
        std::thread::sleep(REST);
    }
    Ok(all)
}

/// The longest that a beat under way between two moments took, ms.
pub fn longest(beats: &[Beat], from: Instant, to: Instant) -> Option<f64> {
    let meanwhile = beats.iter().filter(|(sent, answered)| *sent <= to && *answered >= from);
    meanwhile.map(|(sent, answered)| (*answered - *sent).as_secs_f64() * 1e3).max_by(f64::total_cmp)
}

/// The longest that a beat took which both left and was answered between two moments, ms.
pub fn longest_within(beats: &[Beat], from: Instant, to: Instant) -> Option<f64> {
    let within = beats.iter().filter(|(sent, answered)| *sent >= from && *answered <= to);
    within.map(|(sent, answered)| (*answered - *sent).as_secs_f64() * 1e3).max_by(f64::total_cmp)
}
