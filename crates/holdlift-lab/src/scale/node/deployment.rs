//! A made-up deployment of a size: the platform's file for a node with so many classes and tenants, by a seed.
//!
//! Names are of unlike lengths with common beginnings, as operators' are: that is what a search or a hash has to read.

use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use serde_json::{Value, json};

/// Services that the classes are divided among.
pub const SERVICES: usize = 350;
/// Requests a second that a tenant may have until a change: more than any load of the lab asks for.
pub const QUOTA: f64 = 5_000.0;
/// Cores of the farm behind the node: enough that nothing waits for one.
const CORES: u32 = 16;

/// What a node is told.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Names of the classes, in the file's order.
    pub classes: Vec<String>,
    /// Names of the tenants, in the file's order.
    pub tenants: Vec<String>,
    /// The node's own limit on descriptors.
    pub sockets: usize,
}

impl Deployment {
    /// A deployment of this size; the same seed gives the same names.
    pub fn new(classes: usize, tenants: usize, sockets: usize, seed: u64) -> Deployment {
        let mut draws = ChaCha12Rng::seed_from_u64(seed);
        let mut tail = |least: usize, most: usize| {
            let length = draws.random_range(least..=most);
            (0..length).map(|_| char::from(draws.random_range(b'a'..=b'z'))).collect::<String>()
        };
        let class = |i: usize, tail: String| format!("svc-{:03}.route-{i:05}-{tail}", i % SERVICES);
        Deployment {
            classes: (0..classes).map(|i| class(i, tail(2, 14))).collect(),
            tenants: (0..tenants).map(|i| format!("tenant-{i:05}-{}", tail(2, 14))).collect(),
            sockets,
        }
    }

    /// The whole file, with these addresses.
    pub fn config(&self, listen: SocketAddr, agent: SocketAddr) -> Value {
        let mut settings = crate::settings(CORES, 1_000, 3_000);
        let class = |(i, name): (usize, &String)| {
            // Every third one must not run twice; none has a key or makes a call.
            let effect = if i % 3 == 2 { "fragile" } else { "retryable" };
            json!({"name": name, "effect": effect, "aim-us": 1_000_000, "points": 1.0 + (i % 5) as f64,
                "deadline-us": 3_000_000, "late-worth": 0.0, "memory-span-us": 5_000_000})
        };
        settings["classes"] = self.classes.iter().enumerate().map(class).collect();
        let tenant = |name: &String| json!({"name": name, "quota-per-s": QUOTA, "share": 1.0});
        settings["accounts"] = self.tenants.iter().map(tenant).collect();
        json!({"name": "n0", "listen": listen, "agent": agent, "seed": "07", "stop_ms": 2_000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets}, "settings": settings})
    }
}

/// The text of a file in which one tenant's quota is another.
pub fn with_quota(config: &Value, tenant: usize, per_s: f64) -> String {
    let mut told = config.clone();
    told["settings"]["accounts"][tenant]["quota-per-s"] = per_s.into();
    told.to_string()
}

/// The text of a file in which one class's aim is another.
pub fn with_aim(config: &Value, class: usize, us: u64) -> String {
    let mut told = config.clone();
    told["settings"]["classes"][class]["aim-us"] = us.into();
    told.to_string()
}
