//! Where connections come in.

use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::sleep;

use super::Event;
use crate::node::Wire;

/// Accepts connections, as many at a time as there are permits. Each holds one until its descriptor is free again, so
/// that what waits for the core, or sends its last bytes, counts too.
pub(super) async fn accept(
    wire: Wire,
    listener: TcpListener,
    room: std::sync::Arc<Semaphore>,
    events: mpsc::Sender<Event>,
) {
    loop {
        if room.available_permits() == 0 {
            let _ = events.send(Event::Full(wire)).await;
        }
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                if events.send(Event::Accepted(wire, stream, permit)).await.is_err() {
                    return;
                }
            }
            // Out of descriptors, or the peer is gone already. Accepting again at once would spin.
            Err(e) => {
                eprintln!("accept: {e}");
                let _ = events.send(Event::Full(wire)).await;
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}
