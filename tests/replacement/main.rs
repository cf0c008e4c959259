//! What a node's two processes tell each other in a replacement, beyond writes: on real sockets, with several processes.

mod devices;
mod former_build;
mod links;
#[path = "../net/mod.rs"]
mod net;
mod orders;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use net::*;
use tokio::time::sleep;

/// Starts a simulated agent with two cores; returns it and its address. `greets` false: it accepts links and greets nobody.
async fn start_agent(greets: bool) -> (Arc<Farm>, SocketAddr) {
    let (agents, address) = bind().await;
    let farm = Farm::new(2);
    farm.asleep.store(!greets, Ordering::SeqCst);
    tokio::spawn(farm.clone().agent(agents));
    (farm, address)
}

/// Waits until a process that is not ready yet answers at its control address. It has had its welcome by then.
async fn answers_not_ready(node: &Node) {
    within("an answer at the control address", async {
        while node.control("GET", "ready").await != Some(503) {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

/// The answer to a health check on a new connection, of whichever process accepts it.
async fn health(address: SocketAddr) -> bool {
    Caller::connect(address).await.health(1).await
}
