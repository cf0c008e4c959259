//! The messages between two processes of a node as they are sent: a head in JSON, and bytes that follow it.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{HandoverError, HandoverMessage, PeerFeatures, SharedZoneStatuses, VERSION};
use crate::idempotency::{Attempt, Change, Fingerprint, IdempotencyKey, Progress};
use crate::interface::Micros;
use crate::service::lifecycle::NodeOrder;
use crate::zone::ZoneStatusMap;

/// A message's head, as it is sent.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) enum WireHead {
    Hello {
        version: u32,
        name: String,
        listen: Option<SocketAddr>,
    },
    Welcome {
        version: u32,
        #[serde(rename = "aside")]
        out_of_service: bool,
        listeners: Vec<SocketAddr>,
    },
    Busy,
    Ready,
    #[serde(rename = "yours")]
    TakeoverConfirmed,
    Known {
        attempt: WireAttempt,
        progress: WireProgress,
    },
    Forgotten {
        name: String,
    },
    Asked {
        attempt: WireAttempt,
    },
    Granted {
        name: String,
    },
    Taken {
        name: String,
    },
    Order(WireOrder),
    Zones(WireZones),
    Barrier {
        id: u64,
    },
    BarrierPassed {
        id: u64,
    },
    Coap {
        last: bool,
    },
    CoapReleased,
}

/// What follows the head of `Hello`. Former builds ignore it; features of later builds are ignored here.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct HelloExtension {
    features: PeerFeatures,
}

/// What follows the head of `Welcome`, if features were agreed on.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct WelcomeExtension {
    features: PeerFeatures,
    order_revision: u64,
    coap_socket: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    zones: Option<WireZones>,
}

/// An order, as it is sent.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct WireOrder {
    #[serde(rename = "aside")]
    out_of_service: bool,
    revision: u64,
}

/// The statuses of the zones, as they are sent.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct WireZones {
    age_us: u64,
    statuses: ZoneStatusMap,
}

impl From<SharedZoneStatuses> for WireZones {
    fn from(zones: SharedZoneStatuses) -> WireZones {
        WireZones { age_us: zones.age.0, statuses: zones.statuses }
    }
}

impl From<WireZones> for SharedZoneStatuses {
    fn from(wire: WireZones) -> SharedZoneStatuses {
        SharedZoneStatuses { age: Micros(wire.age_us), statuses: wire.statuses }
    }
}

/// An attempt, as it is sent.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct WireAttempt {
    name: String,
    key: Option<WireKey>,
    fingerprint: [u8; 16],
    earliest: u64,
    window_end: u64,
    keep_until: u64,
}

/// Front, class and key, as they are sent: a JSON array.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireKey(String, String, String);

impl From<Attempt> for WireAttempt {
    fn from(attempt: Attempt) -> WireAttempt {
        WireAttempt {
            name: attempt.name,
            key: attempt.key.map(|key| WireKey(key.front, key.class, key.key)),
            fingerprint: attempt.fingerprint.0,
            earliest: attempt.earliest.0,
            window_end: attempt.window_end.0,
            keep_until: attempt.keep_until.0,
        }
    }
}

impl From<WireAttempt> for Attempt {
    fn from(wire: WireAttempt) -> Attempt {
        Attempt {
            name: wire.name,
            key: wire.key.map(|WireKey(front, class, key)| IdempotencyKey { front, class, key }),
            fingerprint: Fingerprint(wire.fingerprint),
            earliest: Micros(wire.earliest),
            window_end: Micros(wire.window_end),
            keep_until: Micros(wire.keep_until),
        }
    }
}

/// The progress of a write, as it is sent. The result of a good write follows the head.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum WireProgress {
    Open,
    Good,
    Bad,
}

/// An extension as the bytes that follow a head: none without any feature, as former builds expect.
fn extension_bytes(features: PeerFeatures, extension: &impl Serialize) -> Result<Bytes, HandoverError> {
    if features == PeerFeatures::default() {
        return Ok(Bytes::new());
    }
    Ok(serde_json::to_vec(extension)?.into())
}

/// The extension in the bytes that follow a head.
fn extension<T: Default + for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, HandoverError> {
    if bytes.is_empty() { Ok(T::default()) } else { Ok(serde_json::from_slice(bytes)?) }
}

/// The head of a message and the bytes that follow it, which are empty if there are none.
pub(super) fn to_head(message: HandoverMessage) -> Result<(WireHead, Bytes), HandoverError> {
    let head = match message {
        HandoverMessage::Hello { name, listen, features } => {
            let extension = extension_bytes(features, &HelloExtension { features })?;
            return Ok((WireHead::Hello { version: VERSION, name, listen }, extension));
        }
        HandoverMessage::Welcome { order, listeners, has_coap_socket, zones, features } => {
            let extension = WelcomeExtension {
                features,
                order_revision: order.revision,
                coap_socket: has_coap_socket,
                zones: zones.map(WireZones::from),
            };
            let extension = extension_bytes(features, &extension)?;
            let out_of_service = order.is_out_of_service;
            return Ok((WireHead::Welcome { version: VERSION, out_of_service, listeners }, extension));
        }
        HandoverMessage::Busy => WireHead::Busy,
        HandoverMessage::Ready => WireHead::Ready,
        HandoverMessage::TakeoverConfirmed => WireHead::TakeoverConfirmed,
        HandoverMessage::Write(Change::Forgotten { name }) => WireHead::Forgotten { name },
        HandoverMessage::Write(Change::Asked(attempt)) => WireHead::Asked { attempt: attempt.into() },
        HandoverMessage::Write(Change::Granted { name }) => WireHead::Granted { name },
        HandoverMessage::Write(Change::Taken { name }) => WireHead::Taken { name },
        HandoverMessage::Write(Change::Known(attempt, progress)) => {
            let (progress, result) = match progress {
                Progress::Open => (WireProgress::Open, Bytes::new()),
                Progress::Bad => (WireProgress::Bad, Bytes::new()),
                Progress::Good(result) => (WireProgress::Good, result),
            };
            return Ok((WireHead::Known { attempt: attempt.into(), progress }, result));
        }
        HandoverMessage::Order(NodeOrder { is_out_of_service, revision }) => {
            WireHead::Order(WireOrder { out_of_service: is_out_of_service, revision })
        }
        HandoverMessage::Zones(zones) => WireHead::Zones(zones.into()),
        HandoverMessage::Barrier(id) => WireHead::Barrier { id },
        HandoverMessage::BarrierPassed(id) => WireHead::BarrierPassed { id },
        HandoverMessage::CoapPart { is_last, bytes } => return Ok((WireHead::Coap { last: is_last }, bytes)),
        HandoverMessage::CoapReleased => WireHead::CoapReleased,
    };
    Ok((head, Bytes::new()))
}

/// The message of a head and the bytes that follow it.
pub(super) fn from_head(head: WireHead, result: Bytes) -> Result<HandoverMessage, HandoverError> {
    Ok(match head {
        WireHead::Hello { version, name, listen } => {
            check_version(version)?;
            let HelloExtension { features } = extension(&result)?;
            HandoverMessage::Hello { name, listen, features }
        }
        WireHead::Welcome { version, out_of_service, listeners } => {
            check_version(version)?;
            let WelcomeExtension { features, order_revision, coap_socket, zones } = extension(&result)?;
            HandoverMessage::Welcome {
                order: NodeOrder { is_out_of_service: out_of_service, revision: order_revision },
                listeners,
                has_coap_socket: coap_socket,
                zones: zones.map(SharedZoneStatuses::from),
                features,
            }
        }
        WireHead::Busy => HandoverMessage::Busy,
        WireHead::Ready => HandoverMessage::Ready,
        WireHead::TakeoverConfirmed => HandoverMessage::TakeoverConfirmed,
        WireHead::Forgotten { name } => HandoverMessage::Write(Change::Forgotten { name }),
        WireHead::Asked { attempt } => HandoverMessage::Write(Change::Asked(attempt.into())),
        WireHead::Granted { name } => HandoverMessage::Write(Change::Granted { name }),
        WireHead::Taken { name } => HandoverMessage::Write(Change::Taken { name }),
        WireHead::Known { attempt, progress } => {
            let progress = match progress {
                WireProgress::Open => Progress::Open,
                WireProgress::Good => Progress::Good(result),
                WireProgress::Bad => Progress::Bad,
            };
            HandoverMessage::Write(Change::Known(attempt.into(), progress))
        }
        WireHead::Order(WireOrder { out_of_service, revision }) => {
            HandoverMessage::Order(NodeOrder { is_out_of_service: out_of_service, revision })
        }
        WireHead::Zones(zones) => HandoverMessage::Zones(zones.into()),
        WireHead::Barrier { id } => HandoverMessage::Barrier(id),
        WireHead::BarrierPassed { id } => HandoverMessage::BarrierPassed(id),
        WireHead::Coap { last } => HandoverMessage::CoapPart { is_last: last, bytes: result },
        WireHead::CoapReleased => HandoverMessage::CoapReleased,
    })
}

fn check_version(version: u32) -> Result<(), HandoverError> {
    if version == VERSION { Ok(()) } else { Err(HandoverError::UnsupportedVersion(version)) }
}
