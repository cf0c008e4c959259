//! The CoAP front's settings: table `[coap]` of the operator's edge file.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

use super::ConfigError;
use super::doc::{Doc, few};
use crate::interface::Settings;

/// The table `[coap]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoapConfig {
    /// UDP address that devices send to.
    #[serde(deserialize_with = "address")]
    pub listen: SocketAddr,
    /// Request paths, each with the name of the class it maps to.
    #[serde(default)]
    pub classes: BTreeMap<String, String>,
    /// Query parameters that carry request attributes.
    #[serde(default)]
    pub query: QueryNames,
    /// Time after a start during which writes are refused, ms. A duplicate of a write that the previous process accepted may
    /// still arrive and would run again. 0 is safe where no device retransmits a message across a restart.
    #[serde(default = "quiet_ms")]
    pub quiet_ms: u64,
    /// Limit on remembered exchanges; each is kept for at most 247 s.
    #[serde(default = "exchanges")]
    pub exchanges: usize,
    /// Limit on open requests of one peer.
    #[serde(default = "peer_requests")]
    pub peer_requests: usize,
    /// Limit on the size of a body, bytes.
    #[serde(default = "body_bytes")]
    pub body_bytes: usize,
    /// Limit on all incomplete uploads together, bytes.
    #[serde(default = "uploads_bytes")]
    pub uploads_bytes: usize,
    /// Limit on all results that wait to be fetched, bytes.
    #[serde(default = "results_bytes")]
    pub results_bytes: usize,
}

/// Names of query parameters; an attribute without a name is not read from the query.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueryNames {
    /// Parameter that names the tenant.
    pub tenant: Option<String>,
    /// Parameter with the rank, from 0 to below 1.
    pub rank: Option<String>,
    /// Parameter with the expected work, ms on one core.
    pub effort: Option<String>,
    /// Parameter with the key that a read refers to.
    pub key: Option<String>,
}

fn address<'de, D: serde::Deserializer<'de>>(d: D) -> Result<SocketAddr, D::Error> {
    let text = String::deserialize(d)?;
    let right = "right would be \"127.0.0.1:5683\" or \"[::1]:5683\"";
    text.parse().map_err(|_| serde::de::Error::custom(format!("\"{text}\" is no address; {right}")))
}

fn quiet_ms() -> u64 {
    247_000
}

fn exchanges() -> usize {
    65_536
}

fn peer_requests() -> usize {
    8
}

fn body_bytes() -> usize {
    16 << 10
}

fn uploads_bytes() -> usize {
    4 << 20
}

fn results_bytes() -> usize {
    8 << 20
}

impl CoapConfig {
    /// Checks paths, class names and ranges; `held_request_bytes` is the memory reserved for a held request.
    ///
    /// # Errors
    /// The first invalid value, with its line and what is allowed.
    pub(super) fn check(
        &self,
        doc: &Doc,
        settings: &Settings,
        held_request_bytes: usize,
    ) -> Result<(), ConfigError> {
        for (path, class) in &self.classes {
            let at = ["coap", "classes", path.as_str()];
            if !path.starts_with('/') {
                return Err(doc.bad(&at, format!("\"{path}\" is no path; right would be \"/{path}\"")));
            }
            if settings.class(class).is_none() {
                let known = few(settings.active_classes().map(|c| c.name.as_str()));
                let reason = format!("no class \"{class}\"; there are: {known}");
                return Err(doc.bad(&at, reason));
            }
        }
        let ranges = [
            ("exchanges", self.exchanges, 64, 4 << 20),
            ("peer_requests", self.peer_requests, 1, 1_000),
            ("body_bytes", self.body_bytes, 64, held_request_bytes),
            ("uploads_bytes", self.uploads_bytes, self.body_bytes, 1 << 30),
            ("results_bytes", self.results_bytes, 64 << 10, 1 << 30),
        ];
        for (key, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return Err(doc.bad(&["coap", key], format!("is {value}; it must be {least} to {most}")));
            }
        }
        Ok(())
    }
}
