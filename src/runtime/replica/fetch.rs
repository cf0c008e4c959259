//! The client with which a node fetches configuration versions from one replica.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use super::protocol::config::{ConfigRequest, ConfigResponse};
use super::protocol::{ReplicaConnection, ReplicaRequest, ReplicaResponse};
use crate::config_store::{Advertised, Digest, FetchRequest, FetchResponse, Revision};
use crate::interface::Micros;

/// How long a node waits before its next request to a replica that serves too many nodes.
const BUSY_RETRY_AFTER: Micros = Micros::from_millis(200);

/// A replica's response to a fetch.
pub enum FetchResult {
    /// Encoded changes. Decoding them takes long, so the caller chooses the thread that does it.
    Changes(Vec<Vec<u8>>),
    /// Any other response, in the form that [`crate::config_store::Follower`] takes.
    Response(FetchResponse),
}

/// A node's connection to one replica, for as long as there is something to fetch.
pub struct Fetcher {
    connection: ReplicaConnection,
}

impl Fetcher {
    /// A fetcher for the replica at an address; connects with the first request.
    #[must_use]
    pub fn new(address: SocketAddr) -> Fetcher {
        Fetcher { connection: ReplicaConnection::to(Some(address)) }
    }

    /// Bytes of frames sent and received so far, of requests that had a response.
    #[must_use]
    pub fn transferred_bytes(&self) -> (u64, u64) {
        let transferred = self.connection.transferred_bytes();
        (transferred.sent, transferred.received)
    }

    /// Fetches changes or chunks of a version later than `above` and no later than `to`. Any failure, including no response
    /// `within` the time limit, is [`FetchResponse::Failed`].
    pub async fn fetch(
        &mut self,
        request: FetchRequest,
        (above, to): (Revision, Revision),
        within: Duration,
    ) -> FetchResult {
        let request = match request {
            FetchRequest::Changes { since } => ConfigRequest::Changes { since, to },
            FetchRequest::Chunks { revision, from_chunk } => {
                ConfigRequest::Chunks { revision, from_chunk, above: Some(above), to }
            }
        };
        FetchResult::Response(match self.request(request, within).await {
            Some(ConfigResponse::Changes(changes)) => return FetchResult::Changes(changes),
            Some(ConfigResponse::Chunks(chunks)) => {
                FetchResponse::Chunks(chunks.into_iter().map(Bytes::from).collect())
            }
            Some(ConfigResponse::Snapshot) => FetchResponse::SnapshotRequired,
            Some(ConfigResponse::SnapshotGone) => FetchResponse::SnapshotExpired,
            Some(ConfigResponse::NothingNewer) => FetchResponse::NothingNewer,
            Some(ConfigResponse::Busy) => FetchResponse::RetryAfter(BUSY_RETRY_AFTER),
            _ => FetchResponse::Failed,
        })
    }

    /// The replica's newest version that all nodes may have, or version 0 where its fleet has no configuration. `None`
    /// without a valid response `within` the time limit.
    pub async fn newest(&mut self, within: Duration) -> Option<Advertised> {
        match self.request(ConfigRequest::Newest, within).await? {
            ConfigResponse::Head { revision, digest, .. } => Some(Advertised { revision, digest }),
            ConfigResponse::Disabled => {
                Some(Advertised { revision: Revision::default(), digest: Digest::default() })
            }
            _ => None,
        }
    }

    async fn request(&mut self, request: ConfigRequest, within: Duration) -> Option<ConfigResponse> {
        match self.connection.request(&ReplicaRequest::Config(request), within).await {
            Ok(ReplicaResponse::Config(response)) => Some(response),
            _ => None,
        }
    }
}
