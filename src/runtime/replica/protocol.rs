//! The stream protocol of replicas: Raft's calls and the bootstrap, each message in a length-prefixed frame. Nodes and
//! operators' commands use the same protocol for configuration requests ([`config`]).
//!
//! The encoding depends on the order of variants and fields, so neither may be reordered.

pub mod config;

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, Unreachable};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{AnyError, BasicNode};
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::Raft;

type NodeId = u64;
type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Largest frame, bytes: more than a Raft snapshot's chunk of 3 MiB and the fields sent with it.
const FRAME_MAX: usize = 8 << 20;
/// Bytes of the length prefix of a frame.
const FRAME_HEADER_BYTES: u64 = 4;
/// Most bytes of entries in one call: as many as a slow link carries within Raft's time limit for the call.
pub const ENTRIES_BYTES_MAX: usize = 1 << 20;
/// Time limit for connecting; Raft's own limit for a call applies as well.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between Raft's attempts to reach a replica that refuses connections.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(100);

/// A request to a replica.
#[derive(Serialize, Deserialize)]
pub enum ReplicaRequest {
    /// Asks the replica to join the bootstrap with this id.
    JoinBootstrap(u64),
    /// Raft's call that appends log entries, or none as a heartbeat.
    AppendEntries(AppendEntriesRequest<Raft>),
    /// Raft's call that requests a vote.
    Vote(VoteRequest<NodeId>),
    /// Raft's call that sends a part of a snapshot.
    InstallSnapshot(InstallSnapshotRequest<Raft>),
    /// A configuration request from a node or a command.
    Config(config::ConfigRequest),
}

/// A replica's response.
#[derive(Serialize, Deserialize)]
pub enum ReplicaResponse {
    /// Whether the replica joins the bootstrap, or has joined it before.
    BootstrapJoined(bool),
    /// Raft's response to [`ReplicaRequest::AppendEntries`].
    AppendEntries(AppendEntriesResponse<NodeId>),
    /// Raft's response to [`ReplicaRequest::Vote`].
    Vote(VoteResponse<NodeId>),
    /// Raft's response to [`ReplicaRequest::InstallSnapshot`].
    InstallSnapshot(InstallSnapshotResponse<NodeId>),
    /// The replica has joined no bootstrap, or Raft refuses the call; the reason.
    Rejected(String),
    /// The response to a configuration request.
    Config(config::ConfigResponse),
}

/// Splits a stream into length-prefixed frames of at most 8 MiB.
pub fn frame_stream(stream: TcpStream) -> FramedStream {
    let _ = stream.set_nodelay(true);
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX).new_framed(stream)
}

/// Encodes a message as the content of one frame.
///
/// # Errors
/// The message can't be encoded.
pub fn encode_message(message: &impl Serialize) -> std::io::Result<Bytes> {
    postcard::to_allocvec(message).map(Bytes::from).map_err(Error::other)
}

/// Bytes of frames, including their length prefixes.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransferredBytes {
    /// Bytes of requests.
    pub sent: u64,
    /// Bytes of responses.
    pub received: u64,
}

/// A connection to one replica. It carries one call at a time; a call that fails closes it, so that no response is matched
/// to another call.
pub struct ReplicaConnection {
    address: Option<SocketAddr>,
    stream: Option<FramedStream>,
    transferred: TransferredBytes,
}

/// The result of a call with a response, and the stream for the next call.
struct CompletedCall {
    stream: FramedStream,
    response: ReplicaResponse,
    transferred: TransferredBytes,
}

impl ReplicaConnection {
    /// A connection to an address, established with the first call. Without an address each call fails.
    pub fn to(address: Option<SocketAddr>) -> ReplicaConnection {
        ReplicaConnection { address, stream: None, transferred: TransferredBytes::default() }
    }

    /// Bytes so far of calls that had a response.
    pub fn transferred_bytes(&self) -> TransferredBytes {
        self.transferred
    }

    /// Sends a request and waits for its response.
    ///
    /// # Errors
    /// The network's reason, or [`ErrorKind::TimedOut`] after `within`.
    pub async fn request(
        &mut self,
        request: &ReplicaRequest,
        within: Duration,
    ) -> std::io::Result<ReplicaResponse> {
        let stream = self.stream.take();
        let call = timeout(within, self.call(stream, request))
            .await
            .map_err(|_| Error::from(ErrorKind::TimedOut))??;
        self.stream = Some(call.stream);
        self.transferred.sent += call.transferred.sent;
        self.transferred.received += call.transferred.received;
        Ok(call.response)
    }

    async fn call(
        &self,
        stream: Option<FramedStream>,
        request: &ReplicaRequest,
    ) -> std::io::Result<CompletedCall> {
        let mut stream = match (stream, self.address) {
            (Some(stream), _) => stream,
            (None, Some(address)) => {
                frame_stream(timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??)
            }
            (None, None) => return Err(ErrorKind::AddrNotAvailable.into()),
        };
        let message = encode_message(request)?;
        let sent = FRAME_HEADER_BYTES + message.len() as u64;
        stream.send(message).await?;
        let frame = stream.next().await.ok_or(ErrorKind::UnexpectedEof)??;
        let transferred = TransferredBytes { sent, received: FRAME_HEADER_BYTES + frame.len() as u64 };
        let response = postcard::from_bytes(&frame).map_err(Error::other)?;
        Ok(CompletedCall { stream, response, transferred })
    }
}

/// The address at which this replica reaches each other replica.
#[derive(Clone)]
pub struct ReplicaNetwork(pub BTreeMap<NodeId, SocketAddr>);

impl RaftNetworkFactory<Raft> for ReplicaNetwork {
    type Network = ReplicaConnection;

    async fn new_client(&mut self, target: NodeId, _: &BasicNode) -> ReplicaConnection {
        ReplicaConnection::to(self.0.get(&target).copied())
    }
}

type CallError<E = openraft::error::Infallible> = RPCError<NodeId, BasicNode, RaftError<NodeId, E>>;

fn transport_error<E: std::error::Error>(e: &Error) -> CallError<E> {
    // No process listens at the address: Raft waits for UNREACHABLE_BACKOFF before it tries again.
    match e.kind() {
        ErrorKind::ConnectionRefused => RPCError::Unreachable(Unreachable::new(e)),
        _ => RPCError::Network(NetworkError::new(e)),
    }
}

fn unexpected_response<E: std::error::Error>(response: ReplicaResponse) -> CallError<E> {
    let reason = match response {
        ReplicaResponse::Rejected(reason) => reason,
        _ => "the response does not match the request".to_owned(),
    };
    RPCError::Network(NetworkError::from(AnyError::error(reason)))
}

impl RaftNetwork<Raft> for ReplicaConnection {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Raft>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<NodeId>, CallError> {
        let request = ReplicaRequest::AppendEntries(rpc);
        match self.request(&request, option.hard_ttl()).await.map_err(|e| transport_error(&e))? {
            ReplicaResponse::AppendEntries(response) => Ok(response),
            other => Err(unexpected_response(other)),
        }
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Raft>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<NodeId>, CallError<InstallSnapshotError>> {
        let request = ReplicaRequest::InstallSnapshot(rpc);
        match self.request(&request, option.hard_ttl()).await.map_err(|e| transport_error(&e))? {
            ReplicaResponse::InstallSnapshot(response) => Ok(response),
            other => Err(unexpected_response(other)),
        }
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<NodeId>,
        option: RPCOption,
    ) -> Result<VoteResponse<NodeId>, CallError> {
        let request = ReplicaRequest::Vote(rpc);
        match self.request(&request, option.hard_ttl()).await.map_err(|e| transport_error(&e))? {
            ReplicaResponse::Vote(response) => Ok(response),
            other => Err(unexpected_response(other)),
        }
    }

    fn backoff(&self) -> openraft::network::Backoff {
        openraft::network::Backoff::new(std::iter::repeat(UNREACHABLE_BACKOFF))
    }
}
