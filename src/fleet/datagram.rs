//! The datagrams between the processes of a fleet, and the checks after which they are decoded or dropped.
//!
//! A frame is a magic number, a version, a reserved byte, a tag of the fleet's name, the message (postcard) and a checksum
//! over all of it. That tells other fleets, other programs and corruption apart. It is no protection against an attacker:
//! the network between the processes has to be trusted.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config_store::{Digest, Revision};
use crate::fleet::lease::ledger::{LeaseRequest, LeaseResponse};
use crate::fleet::version_status::VersionStatus;
use crate::zone::health_report::ZoneHealthReport;
use crate::zone::{ZoneOrder, ZoneStatusMap};

/// Largest frame, bytes: a lease request for all budgets fits, and it needs no fragmentation on any link.
pub const FRAME_MAX: usize = 1_400;
const MAGIC: [u8; 2] = *b"hf";
/// The protocol version, byte 2 of a frame.
const VERSION: u8 = 1;
/// Bytes of a frame before the message: magic number, version, reserved byte and fleet tag.
const HEADER_BYTES: usize = 8;
/// Bytes of the checksum after the message.
const CHECKSUM_BYTES: usize = 4;

/// One message. Its variants are encoded by their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Node to replica: requests or renews leases.
    LeaseRequest(LeaseRequest),
    /// Replica to node: the response.
    LeaseResponse(LeaseResponse),
    /// From a replica that does not lead, in answer to a lease request.
    NotLeader {
        /// Number of the request that this answers.
        seq: u64,
        /// Name of the leader, if the replica knows it.
        leader: Option<String>,
    },
    /// Between any two processes: a message of the membership protocol.
    Gossip(Vec<u8>),
    /// Node to replica: the health of the zones as the node observed it.
    ZoneHealth {
        /// Name of the node.
        node: String,
        /// The node's own zone.
        zone: String,
        /// Epoch of the zone status that the node has.
        epoch: u64,
        /// One report per zone.
        reports: Vec<ZoneHealthReport>,
    },
    /// Replica to node: the status of the zones; empty where the node has that epoch.
    Zones(ZoneStatusMap),
    /// To a replica: an operator's order for a zone.
    ZoneOrder {
        /// Name of the zone.
        zone: String,
        /// The ordered state.
        order: ZoneOrder,
    },
    /// From a replica: why an operator's order is not carried out.
    OrderRejected(String),
    /// Node to replica: which version of the configuration is in force.
    VersionStatus(VersionStatus),
    /// Replica to node: the newest version of the configuration that the node may have.
    NewestVersion {
        /// Number of the version.
        revision: Revision,
        /// Digest of the version.
        digest: Digest,
    },
}

/// Why a datagram is dropped, or can't be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// Not a frame of this protocol.
    #[error("not a fleet datagram")]
    NotAFrame,
    /// The frame has another protocol version.
    #[error("unsupported protocol version")]
    UnsupportedVersion,
    /// The frame has the tag of another fleet.
    #[error("datagram of another fleet")]
    OtherFleet,
    /// The checksum does not match, or the message can't be decoded.
    #[error("corrupt datagram")]
    Corrupt,
    /// The frame would be larger than [`FRAME_MAX`].
    #[error("message exceeds the largest datagram")]
    TooLarge,
}

/// Encodes and decodes the frames of one fleet.
#[derive(Clone, Copy, Debug)]
pub struct DatagramCodec {
    fleet_tag: u32,
}

impl DatagramCodec {
    /// Returns the codec of the fleet of that name.
    #[must_use]
    pub fn for_fleet(fleet: &str) -> DatagramCodec {
        DatagramCodec { fleet_tag: crc32fast::hash(fleet.as_bytes()) }
    }

    /// Encodes a message as a frame.
    ///
    /// # Errors
    /// [`DatagramError::TooLarge`] above [`FRAME_MAX`].
    pub fn encode(&self, message: &FleetMessage) -> Result<Vec<u8>, DatagramError> {
        let mut frame = Vec::with_capacity(256);
        frame.extend_from_slice(&MAGIC);
        frame.extend_from_slice(&[VERSION, 0]);
        frame.extend_from_slice(&self.fleet_tag.to_be_bytes());
        let mut frame = postcard::to_extend(message, frame).map_err(|_| DatagramError::TooLarge)?;
        frame.extend_from_slice(&crc32fast::hash(&frame).to_be_bytes());
        if frame.len() > FRAME_MAX { Err(DatagramError::TooLarge) } else { Ok(frame) }
    }

    /// Decodes the message of a frame.
    ///
    /// # Errors
    /// The reason why the bytes are not a message of this fleet.
    pub fn decode(&self, bytes: &[u8]) -> Result<FleetMessage, DatagramError> {
        let is_size_valid = (HEADER_BYTES + CHECKSUM_BYTES..=FRAME_MAX).contains(&bytes.len());
        if !is_size_valid || bytes[..2] != MAGIC {
            return Err(DatagramError::NotAFrame);
        }
        if bytes[2] != VERSION {
            return Err(DatagramError::UnsupportedVersion);
        }
        if bytes[4..HEADER_BYTES] != self.fleet_tag.to_be_bytes() {
            return Err(DatagramError::OtherFleet);
        }
        let (body, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
        if crc32fast::hash(body).to_be_bytes() != checksum {
            return Err(DatagramError::Corrupt);
        }
        postcard::from_bytes(&body[HEADER_BYTES..]).map_err(|_| DatagramError::Corrupt)
    }
}

#[cfg(test)]
mod tests;
