//! What two processes of a node can exchange beyond writes.

use serde::{Deserialize, Serialize};

/// The exchanges that a process knows. Features of later builds are ignored when they are read, so that each build can offer
/// all that it has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct PeerFeatures {
    /// Barriers, and operators' orders that either process has accepted.
    pub orders: bool,
    /// The format in which a CoAP front passes from the incumbent to the successor; 0 without such a front.
    pub coap_format: u32,
    /// The statuses of the fleet's zones, of a node that follows them.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub zones: bool,
}

impl PeerFeatures {
    /// The features that both processes have.
    #[must_use]
    pub fn shared_with(self, other: PeerFeatures) -> PeerFeatures {
        let orders = self.orders && other.orders;
        let has_same_format = orders && self.coap_format == other.coap_format;
        PeerFeatures {
            orders,
            coap_format: if has_same_format { self.coap_format } else { 0 },
            zones: orders && self.zones && other.zones,
        }
    }
}
