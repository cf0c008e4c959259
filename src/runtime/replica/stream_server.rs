//! Serves the streams of other replicas, of nodes that fetch the configuration, and of operators' commands.
//!
//! Each kind of peer has separate permits, so that many nodes fetching at once do not block the replicas. A stream without a
//! request for [`IDLE_TIMEOUT`] is closed, except a replica's.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};
use tracing::warn;

use super::protocol::config::ConfigResponse;
use super::protocol::{ReplicaRequest, ReplicaResponse, encode_message, frame_stream};
use super::server::ReplicaServer;

/// Most streams of other replicas at a time; each replica has one, and possibly some that are closing.
const REPLICA_STREAMS_MAX: usize = 64;
/// Most streams of operators' commands at a time.
const COMMAND_STREAMS_MAX: usize = 8;
/// Most streams whose first request has not been received.
const NEW_STREAMS_MAX: usize = 256;
/// Time limit for a stream's first request, and for each further request of a node or a command, including the write of the
/// response before it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait after a failed accept, as the cause (often no free file descriptors) tends to persist.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The permits to serve a stream, by kind of peer.
struct StreamPermits {
    replicas: Arc<Semaphore>,
    nodes: Arc<Semaphore>,
    commands: Arc<Semaphore>,
}

impl StreamPermits {
    /// Permits for `nodes` streams of nodes, and the fixed numbers of the other kinds.
    fn new(nodes: usize) -> StreamPermits {
        let permits = |count| Arc::new(Semaphore::new(count));
        StreamPermits {
            replicas: permits(REPLICA_STREAMS_MAX),
            nodes: permits(nodes),
            commands: permits(COMMAND_STREAMS_MAX),
        }
    }

    /// A permit for the peer that sent this request. A replica waits for a permit; other peers get `None` where none is
    /// free.
    async fn acquire(&self, request: &ReplicaRequest) -> Option<OwnedSemaphorePermit> {
        match request {
            ReplicaRequest::Config(request) if request.uses_node_permit() => {
                self.nodes.clone().try_acquire_owned().ok()
            }
            ReplicaRequest::Config(_) => self.commands.clone().try_acquire_owned().ok(),
            _ => self.replicas.clone().acquire_owned().await.ok(),
        }
    }
}

/// Accepts streams until the task is aborted.
pub(super) async fn serve(server: Arc<ReplicaServer>, listener: TcpListener) {
    let new_streams = Arc::new(Semaphore::new(NEW_STREAMS_MAX));
    let nodes = server.fleet.catalog.map_or(COMMAND_STREAMS_MAX, |settings| settings.served);
    let permits = Arc::new(StreamPermits::new(nodes));
    loop {
        let Ok(new_stream) = new_streams.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let (server, permits) = (server.clone(), permits.clone());
                tokio::spawn(async move { serve_stream(&server, &permits, stream, new_stream).await });
            }
            Err(e) => {
                warn!("accept: {e}");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Answers one stream's requests until it is closed or idle for too long.
async fn serve_stream(
    server: &ReplicaServer,
    permits: &StreamPermits,
    stream: TcpStream,
    new_stream: OwnedSemaphorePermit,
) {
    let mut stream = frame_stream(stream);
    let Ok(Some(Ok(frame))) = timeout(IDLE_TIMEOUT, stream.next()).await else { return };
    let Ok(mut request) = postcard::from_bytes::<ReplicaRequest>(&frame) else { return };
    let permit = permits.acquire(&request).await;
    drop(new_stream);
    let Some(_permit) = permit else {
        if let Ok(bytes) = encode_message(&ReplicaResponse::Config(ConfigResponse::Busy)) {
            let _ = timeout(IDLE_TIMEOUT, stream.send(bytes)).await;
        }
        return;
    };
    let is_replica = !matches!(request, ReplicaRequest::Config(_));
    loop {
        let Ok(bytes) = encode_message(&answer(server, request).await) else { return };
        // Replicas keep their streams open; nodes and commands close theirs.
        let next = async {
            stream.send(bytes).await.ok()?;
            stream.next().await?.ok()
        };
        let frame = if is_replica { next.await } else { timeout(IDLE_TIMEOUT, next).await.ok().flatten() };
        let Some(Ok(next)) = frame.map(|frame| postcard::from_bytes::<ReplicaRequest>(&frame)) else {
            return;
        };
        // A permit is valid for one kind of peer: a stream that changes its kind is closed.
        if matches!(next, ReplicaRequest::Config(_)) == is_replica {
            return;
        }
        request = next;
    }
}

async fn answer(server: &ReplicaServer, request: ReplicaRequest) -> ReplicaResponse {
    let joined = match server.log_store.bootstrap_id() {
        Ok(joined) => joined,
        Err(e) => return reject(&e),
    };
    if joined.is_none() && !matches!(request, ReplicaRequest::JoinBootstrap(_)) {
        return ReplicaResponse::Rejected(
            "this keeper has joined no bootstrap and can't answer requests".to_owned(),
        );
    }
    match request {
        ReplicaRequest::JoinBootstrap(bootstrap_id) => {
            let is_blank = server.log_store.is_blank().unwrap_or(false);
            let may_join = joined == Some(bootstrap_id) || is_blank;
            ReplicaResponse::BootstrapJoined(
                may_join && server.log_store.join_bootstrap(bootstrap_id).is_ok(),
            )
        }
        ReplicaRequest::AppendEntries(rpc) => {
            server.raft.append_entries(rpc).await.map_or_else(|e| reject(&e), ReplicaResponse::AppendEntries)
        }
        ReplicaRequest::Vote(rpc) => {
            server.raft.vote(rpc).await.map_or_else(|e| reject(&e), ReplicaResponse::Vote)
        }
        ReplicaRequest::InstallSnapshot(rpc) => server
            .raft
            .install_snapshot(rpc)
            .await
            .map_or_else(|e| reject(&e), ReplicaResponse::InstallSnapshot),
        ReplicaRequest::Config(request) => {
            ReplicaResponse::Config(server.answer_config_request(request).await)
        }
    }
}

fn reject(reason: &dyn Display) -> ReplicaResponse {
    ReplicaResponse::Rejected(reason.to_string())
}
