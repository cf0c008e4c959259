//! Proposes lease requests as log entries, and answers them once their entry is committed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{sleep, timeout};

use super::PROPOSAL_TIMEOUT;
use super::server::ReplicaServer;
use crate::fleet::LeaseHolderId;
use crate::fleet::datagram::{DatagramCodec, FleetMessage};
use crate::fleet::lease::ledger::{LeaseRequest, LedgerEntry};
use crate::fleet::lease::request_batcher::RequestBatcher;

/// Requests that arrive within this interval share one entry: at most 50 entries per second, however many nodes send
/// requests.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Most entries in flight at a time: without a majority of replicas they would accumulate.
const PROPOSALS_IN_FLIGHT_MAX: usize = 8;

/// A lease request and the address that it came from.
type AddressedRequest = (LeaseRequest, SocketAddr);

/// Requests that share one entry, and the addresses for their responses.
struct RequestBatch {
    requests: Vec<LeaseRequest>,
    reply_to: HashMap<LeaseHolderId, SocketAddr>,
}

/// Proposes the lease requests of each [`BATCH_INTERVAL`] as one entry, until all senders of the queue are dropped.
pub(super) async fn propose_lease_requests(
    server: Arc<ReplicaServer>,
    socket: Arc<UdpSocket>,
    mut queue: mpsc::Receiver<AddressedRequest>,
) {
    let proposals = Arc::new(Semaphore::new(PROPOSALS_IN_FLIGHT_MAX));
    let mut batcher = RequestBatcher::default();
    loop {
        // Requests that the batcher has deferred become due even if no other request arrives.
        let first = match batcher.is_empty() {
            true => queue.recv().await,
            false => timeout(BATCH_INTERVAL, queue.recv()).await.unwrap_or(None),
        };
        if first.is_none() && queue.is_closed() {
            return;
        }
        if first.is_some() {
            sleep(BATCH_INTERVAL).await;
        }
        let Ok(permit) = proposals.clone().acquire_owned().await else { return };
        let batch = collect_batch(&server, &mut batcher, first, &mut queue);
        if batch.requests.is_empty() {
            continue;
        }
        tokio::spawn(commit_batch(server.clone(), socket.clone(), batch, permit));
    }
}

/// Moves requests from the queue to the batcher, as many as fit, and returns those that are due.
fn collect_batch(
    server: &ReplicaServer,
    batcher: &mut RequestBatcher<SocketAddr>,
    first: Option<AddressedRequest>,
    queue: &mut mpsc::Receiver<AddressedRequest>,
) -> RequestBatch {
    let mut next = first;
    {
        let state = server.state();
        let mut free_slots = batcher.remaining_capacity();
        while let Some((request, address)) = next {
            batcher.push(state.ledger(), request, address);
            free_slots = free_slots.saturating_sub(1);
            next = if free_slots > 0 { queue.try_recv().ok() } else { None };
        }
    }
    let mut batch = RequestBatch { requests: Vec::new(), reply_to: HashMap::new() };
    for (request, address) in batcher.take_due(server.clock.now()) {
        batch.reply_to.insert(request.holder.clone(), address);
        batch.requests.push(request);
    }
    batch
}

/// Commits a batch and sends the responses. Without a commit in time nothing is lost: the nodes repeat their requests, and
/// an entry that is committed later finds its requests superseded.
async fn commit_batch(
    server: Arc<ReplicaServer>,
    socket: Arc<UdpSocket>,
    batch: RequestBatch,
    permit: OwnedSemaphorePermit,
) {
    let codec = DatagramCodec::for_fleet(&server.fleet.name);
    let entry = LedgerEntry::LeaseRequests(batch.requests);
    if let Ok(Ok(committed)) = timeout(PROPOSAL_TIMEOUT, server.raft.client_write(entry)).await {
        server.note_committed();
        for response in committed.data.lease_responses {
            let Some(address) = batch.reply_to.get(&response.holder) else { continue };
            if let Ok(frame) = codec.encode(&FleetMessage::LeaseResponse(response)) {
                let _ = socket.try_send_to(&frame, *address);
            }
        }
    }
    drop(permit);
}
