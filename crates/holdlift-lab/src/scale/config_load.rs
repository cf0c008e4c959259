//! Light load on one real node of a rig, and a pulse at another: how long a request waits while something changes.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::Error;
use super::node::agent::Agent;
use super::node::callers::{Callers, Done};
use super::node::deployment::Deployment;
use super::node::pulse::{Beat, Pulse};
use crate::rig::Rig;
use crate::standin::bind;

/// Requests a second: an intake node's usual load.
pub const PER_S: f64 = 256.0;
/// What a run takes at the agent.
const SERVICE: Duration = Duration::from_millis(3);
const CONNECTIONS: usize = 32;
/// Longest that the node is waited for to find its other agent.
const LINK: Duration = Duration::from_secs(10);
/// The node that is asked, and the one whose pulse is felt; neither counts for what nodes use.
const ASKED: usize = 0;
const FELT: usize = 1;
/// Nodes from here on have no load.
pub const QUIET: usize = 2;

/// The load.
pub struct Load {
    callers: Callers,
    told: Arc<Deployment>,
    at: std::net::SocketAddr,
    felt: std::net::SocketAddr,
    serving: JoinHandle<()>,
    seed: u64,
}

impl Drop for Load {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

impl Load {
    /// Gives the node an agent whose times are known; by SIGHUP, as an agent that moves.
    ///
    /// # Errors
    /// The node does not come to it.
    pub async fn before(rig: &Rig, told: Deployment) -> Result<Load, Error> {
        let agent = Agent::new(SERVICE);
        let (listener, agent_at) = bind().await;
        let serving = tokio::spawn(agent.clone().serve(listener));
        rig.retell(ASKED, |config| config["agent"] = agent_at.to_string().into());
        let start = Instant::now();
        while agent.heard.counted().0 == 0.0 {
            if start.elapsed() > LINK {
                return Err("a node does not come to its other agent".into());
            }
            sleep(Duration::from_millis(20)).await;
        }
        let at = |i: usize| rig.procs.get(i).and_then(|p| p.callers).ok_or("a rig with few nodes");
        let (at, felt) = (at(ASKED)?, at(FELT)?);
        Ok(Load { callers: Callers::new(agent), told: Arc::new(told), at, felt, serving, seed: 1 })
    }

    /// Asks for a span; what came of the requests, and the pulse of another node. Connections that ended are made anew.
    pub async fn play(&mut self, span: Duration) -> (Vec<Done>, Vec<Beat>) {
        self.seed += 1;
        let lack = CONNECTIONS.saturating_sub(self.callers.alive());
        if lack > 0 {
            self.callers.connect(self.at, lack, &self.told, self.seed).await;
        }
        let pulse = Pulse::feel(self.felt);
        let done = self.callers.play(PER_S, span, &self.told, self.seed).await;
        (done, pulse.end().await)
    }
}

/// The longest beat, ms.
#[must_use]
pub fn longest(beats: &[Beat]) -> Option<f64> {
    beats.iter().map(|(sent, answered)| (*answered - *sent).as_secs_f64() * 1e3).max_by(f64::total_cmp)
}
