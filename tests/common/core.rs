//! The core of a node without wire formats and sockets, in simulated time.

use bytes::Bytes;
use holdlift::node::{
    FrontId, IncomingRequest, Input, Node, NodeOptions, Output, ReferenceScope, ResponseRoute, Worker,
};
use holdlift::time::Arrival;
use holdlift::{ClassId, Gauges, Micros, Settings};

/// A core and its simulated time.
pub struct Core {
    pub node: Node,
    pub now: Micros,
}

/// The route of a request with this number, on the one connection of the tests.
pub fn route(request_number: u32) -> ResponseRoute {
    ResponseRoute { front: FrontId("one"), connection: 1, request_number }
}

impl Core {
    /// A core with these settings, which has not been started.
    pub fn with(settings: Settings) -> Core {
        let options = NodeOptions {
            has_agent: true,
            server_slots: 0,
            servers_share_cores: false,
            shares_reads: true,
            seed: 1,
        };
        Core { node: Node::new(settings, options), now: Micros::from_millis(1_000_000) }
    }

    /// A core that has not been started, whose reads are fresh for 200 ms.
    pub fn new() -> Core {
        Core::with(Settings { fresh_for: Micros::from_millis(200), ..super::settings() })
    }

    pub fn started() -> Core {
        Core::new().start()
    }

    pub fn start(mut self) -> Core {
        self.node.start(self.now, false, &mut Vec::new()).expect("the settings are valid");
        self
    }

    /// Handles these inputs, then advances time in steps of 1 ms. Gauges are delivered as soon as they are requested.
    pub fn advance(&mut self, inputs: Vec<Input>, ms: u64) -> Vec<Output> {
        let mut all = Vec::new();
        inputs.into_iter().for_each(|input| self.node.handle_input(self.now, input, &mut all));
        for _ in 0..=ms {
            let mut out = Vec::new();
            self.node.advance(self.now, &mut out);
            for output in &out {
                if let Output::SampleGauges(tag) = output {
                    self.node.handle_input(
                        self.now,
                        Input::GaugesSampled(tag.clone(), Gauges::default()),
                        &mut all,
                    );
                }
            }
            all.extend(out);
            self.now = self.now + Micros::from_millis(1);
        }
        all
    }

    /// A request that arrives now. It is named after its number.
    pub fn request(&self, request_number: u32, class: usize, key: Option<&str>) -> Input {
        let incoming = IncomingRequest {
            name: format!("r{request_number}"),
            reference_scope: ReferenceScope::AllProcesses,
            worker: Worker::Agent,
            needs_prefetch: false,
            class: ClassId(class),
            tenant: None,
            is_over_quota: false,
            key: key.map(str::to_owned),
            expected_work: None,
            held_kb: 20.0,
            rank: 0.5,
            is_retry: false,
            caller: 1,
            arrived: Arrival::now(self.now),
            time_limit: None,
            body: Bytes::from_static(b"body"),
        };
        Input::RequestReceived(route(request_number), Box::new(incoming))
    }
}
