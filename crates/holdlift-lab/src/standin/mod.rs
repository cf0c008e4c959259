//! Stand-ins on loopback for all that a node talks to. Each is small, bounded, and ends with what started it.
//! One farm of cores does the work of the agent's and the uwsgi server's stand-ins.

mod caller;
mod count;
mod farm;
mod gateway;
mod parties;
mod script;
mod tier;

pub use caller::{Answer, Caller, fields, map};
pub use count::{Count, Counted};
pub use farm::Farm;
pub use gateway::{exchange, packet, read_packet, read_reply};
pub use parties::{Heard, http};
pub use script::ScriptedLink;
pub use tier::{Mood, Tier};

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// How long anything may take before a test gives up.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Waits for something, within bounds.
///
/// # Panics
/// Where it does not come.
pub async fn within<T>(what: &str, f: impl Future<Output = T>) -> T {
    timeout(PATIENCE, f).await.unwrap_or_else(|_| panic!("{what}: nothing within {PATIENCE:?}"))
}

/// The Unix clock, ms.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis()
}

/// Each on a loopback address of its own: a port that is given back for a node to take is nobody else's meanwhile.
pub async fn bind() -> (TcpListener, SocketAddr) {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let (n, pid) = (COUNT.fetch_add(1, Ordering::SeqCst), std::process::id());
    let ip = Ipv4Addr::new(127, 16 + (pid >> 8) as u8 % 64, pid as u8, 1 + (n % 250) as u8);
    let listener = TcpListener::bind((ip, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A port that nobody listens on.
pub async fn free() -> SocketAddr {
    bind().await.1
}

/// A connection whose own buffer is small, and whose segments are those of a real link: loopback's own are so large that
/// a small buffer hardly ever has room for one.
///
/// # Errors
/// The system's reason.
pub async fn connect_slow(to: SocketAddr, buffer: usize) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    let own = socket2::SockRef::from(&socket);
    own.set_recv_buffer_size(buffer)?;
    own.set_tcp_mss(1_400)?;
    socket.connect(to).await
}
