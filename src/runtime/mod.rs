//! Runs a node on real sockets. The event loop owns the core and carries out its outputs; each socket belongs to a small task
//! that exchanges messages with the event loop over a bounded channel. All decisions about requests are the core's.

mod agent_link;
mod agent_session;
pub mod clock;
mod coap;
mod connections;
mod console;
mod departure;
mod dependency_calls;
mod door;
mod fleet;
mod hot_restart;
mod listeners;
mod reload;
pub mod replica;
mod signals;

pub use door::set_socket_options;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};
use tracing::info;

use agent_link::AgentLink;
use departure::EXIT_BEFORE_STOP;
use dependency_calls::DependencyCalls;
use hot_restart::Takeover;
use signals::{Signal, Signals};

use crate::agent::{Agent, Command, Notice};
use crate::config::Config;
use crate::config::edge::Edge;
use crate::config::tiers::Tiers;
use crate::dependencies::AttemptId;
use crate::directory::{self, Mode};
use crate::door::{ConnectionAdmission, ListenerId};
use crate::end::End;
use crate::fleet::datagram::FleetMessage;
use crate::front::Wire;
use crate::front::coap::Coap;
use crate::front::driver::{ConnectionEvent, SharedAdmission};
use crate::front::uwsgi::UwsgiConfig;
use crate::front::{CurrentSettings, Reply};
use crate::interface::{Effect, Micros, Outcome, Settings};
use crate::ledger::CallEnd;
use crate::log::LogRateLimiter;
use crate::node::{Input, Node, NodeOptions, Output, Worker};
use crate::service::{DirectoryReport, Service};
use crate::time::process;
use crate::upstream::uwsgi::{self, Servers};

/// All requests are answered and the sockets are closed this long before the platform stops the process after its notice to
/// leave.
const ANSWERED_BEFORE_STOP: Micros = Micros::from_millis(300);
/// Events queued for the event loop, and events handled in one turn; tasks wait while the queue is full.
const EVENT_QUEUE_MAX: usize = 1024;
/// Interval at which the event loop checks whether the last connections' tasks have ended, once all sockets are closed.
const FINISHING_CHECK_INTERVAL: Micros = Micros::from_millis(10);
/// Longest wait of the event loop when no timer is set, µs.
const IDLE_WAIT_US: u64 = 1_000_000;

/// An event that a task sends to the event loop. A link number tells the current agent link from earlier ones.
enum Event {
    Connection(ConnectionEvent),
    Accepted(door::AcceptedConnection),
    ListenerFull(ListenerId),
    AgentLinked(AgentLink),
    AgentNotice(u64, Notice),
    AgentUnlinked(u64, End),
    /// The agent has moved and can be reached at its new address. The link in use is to be drained, and the sender used once
    /// that is done or can't be.
    AgentMoving(oneshot::Sender<()>),
    CallEnded(AttemptId, CallEnd),
    FleetDatagram(FleetMessage),
    /// A version of the configuration is ready to be put in force.
    VersionReady,
    RunEnded(String, Outcome, Bytes),
    Handover(hot_restart::PeerLinkEvent),
    Datagrams(Vec<(SocketAddr, Bytes)>),
    /// The task that receives datagrams has ended, and all that it has read is in earlier events.
    CoapReadingStopped,
    ConfigRead(Box<Result<reload::PreparedConfig, reload::ReloadError>>),
    /// The CoAP socket could not be bound; it is time for another attempt.
    RetryCoapBind,
}

impl From<ConnectionEvent> for Event {
    fn from(e: ConnectionEvent) -> Event {
        Event::Connection(e)
    }
}

/// A listener's name in the log, and the protocol of its connections.
struct ListenerInfo {
    name: String,
    wire: Wire,
}

struct Runtime {
    node: Node,
    settings: CurrentSettings,
    gauge_names: Vec<String>,
    agent: Agent,
    /// The agent link in use.
    agent_link: Option<AgentLink>,
    /// Permits the link's task to replace the link, once that is drained.
    agent_move: Option<oneshot::Sender<()>>,
    connections: HashMap<u64, connections::ConnectionHandle>,
    /// By [`ListenerId`].
    listener_infos: Vec<ListenerInfo>,
    admission: SharedAdmission,
    /// Limits log lines that a peer can cause.
    log_limiter: LogRateLimiter,
    calls: DependencyCalls,
    /// The uwsgi front's settings, and the upstream servers.
    uwsgi: Option<(Rc<UwsgiConfig>, Servers)>,
    /// Tasks of the runs on upstream servers, by the request's name.
    runs: HashMap<String, JoinHandle<()>>,
    /// The mode that is reported to the directory.
    mode: watch::Sender<Mode>,
    /// Whether this process serves.
    service: console::SharedService,
    /// Whether the core considers the node healthy.
    is_healthy: bool,
    /// The configuration file as it was last read.
    config: Config,
    /// The reload in progress.
    reload_in_progress: Option<reload::ReloadInProgress>,
    /// The file's settings, without the version that is in force over them. Empty on a node that follows no versions, as its
    /// settings in force are the file's.
    file_settings: Settings,
    /// The agent's address, for the task that keeps the link.
    agent_address: watch::Sender<Option<SocketAddr>>,
    /// The directory's address, for the task that reports to it.
    directory_address: watch::Sender<Option<SocketAddr>>,
    events: mpsc::Sender<Event>,
    coap: Option<coap::CoapDriver>,
    /// The fleet that this process belongs to, if any.
    fleet: Option<Rc<fleet::Fleet>>,
    /// Counts the connections' tasks: each holds a clone. A task may outlive its entry in `connections` to send its last bytes.
    connection_task_count: Rc<()>,
    /// When the platform stops the process; `None` before the notice to leave.
    stop_at: Option<Micros>,
    /// Listeners to open: at once or, in a successor, once the agent is connected and the incumbent has confirmed.
    pending_listeners: Vec<listeners::PendingListener>,
    listeners: Vec<listeners::OpenListener>,
    /// Listeners that a successor has received from the incumbent.
    inherited_listeners: Vec<(SocketAddr, TcpListener)>,
    /// The link to the other process of this node during a hot restart.
    peer_process: Option<hot_restart::PeerLink>,
    /// Operators' orders of which another process of this node may not know yet.
    order_confirmations: hot_restart::OrderConfirmations,
    /// When this process, as the incumbent, was replaced by its successor.
    replaced_at: Option<Micros>,
    /// All listeners are closed, and the connections' last bytes are being sent.
    is_finishing: bool,
    outputs: Vec<Output>,
}

/// Runs a node until it has had the notice to leave and has answered its requests.
///
/// # Errors
/// A socket that can't be opened, or settings that the core refuses.
pub async fn run(
    config: Config,
    settings: Settings,
    edge: Edge,
    tiers: Tiers,
    fleet: Option<crate::config::fleet::Fleet>,
) -> Result<(), Box<dyn std::error::Error>> {
    let (sender, mut events) = mpsc::channel(EVENT_QUEUE_MAX);
    let (mode, mode_changes) = watch::channel(Mode::Silent);
    let signals = Signals::new()?;
    let is_cold = settings.is_cold;
    let fleet = match fleet {
        Some(file) => Some(Rc::new(fleet::Fleet::open(file, &config.name).await?)),
        None => None,
    };
    // The newest version of the replicas is in force from the start, if it arrives in time.
    let is_following = fleet.as_ref().is_some_and(|fleet| fleet.is_following_versions());
    let file_settings = if is_following { settings.clone() } else { Settings::default() };
    let (settings, tiers) = match &fleet {
        Some(fleet) => fleet.initial_settings(settings, tiers, &config).await,
        None => (settings, tiers),
    };
    let mut runtime = Runtime::new(config, settings, &edge, &tiers, mode, sender);
    runtime.file_settings = file_settings;
    runtime.create_coap_front(&edge);
    runtime.plan_listeners(&edge.listeners, edge.caller_connections_max(runtime.config.limits.sockets));
    if let Some(fleet) = fleet {
        runtime.join_fleet(fleet);
    }
    runtime.take_over_or_open().await?;
    runtime.start_work(is_cold)?;
    runtime.start_reporting(mode_changes).await?;
    runtime.serve(&signals, &mut events).await?;
    if let Some(fleet) = &runtime.fleet {
        fleet.shut_down();
    }
    runtime.log_counters();
    Ok(())
}

fn upstream_servers(uwsgi: &UwsgiConfig) -> Servers {
    let connect_timeout = Duration::from_millis(uwsgi.timeouts.connect_ms);
    let run_timeout = Duration::from_millis(uwsgi.timeouts.run_ms);
    Servers::new(&uwsgi.hosts, connect_timeout, run_timeout, uwsgi.limits.reply_bytes)
}

impl Runtime {
    /// A runtime without open sockets or tasks.
    fn new(
        config: Config,
        settings: Settings,
        edge: &Edge,
        tiers: &Tiers,
        mode: watch::Sender<Mode>,
        events: mpsc::Sender<Event>,
    ) -> Runtime {
        let uwsgi = edge.uwsgi.clone();
        let options = NodeOptions {
            has_agent: config.agent.is_some(),
            server_slots: uwsgi.iter().flat_map(|file| &file.hosts).map(|host| host.slots).sum(),
            servers_share_cores: uwsgi.as_ref().is_some_and(|file| file.shared_cores),
            shares_reads: config.is_entry(),
            seed: config.seed(),
        };
        Runtime {
            node: Node::new(settings.clone(), options),
            settings: CurrentSettings::new(settings),
            gauge_names: config.gauge_names(),
            agent: Agent::default(),
            agent_link: None,
            agent_move: None,
            connections: HashMap::new(),
            listener_infos: Vec::new(),
            admission: SharedAdmission::new(ConnectionAdmission::new(edge.admission_settings(&config))),
            log_limiter: LogRateLimiter::default(),
            calls: DependencyCalls::new(process::now(), tiers, config.process_seed()),
            coap: None,
            fleet: None,
            uwsgi: uwsgi.map(|file| (Rc::new(file.clone()), upstream_servers(&file))),
            runs: HashMap::new(),
            mode,
            service: console::SharedService::default(),
            is_healthy: true,
            agent_address: watch::channel(config.agent).0,
            directory_address: watch::channel(config.lookup).0,
            config,
            reload_in_progress: None,
            file_settings: Settings::default(),
            events,
            connection_task_count: Rc::default(),
            stop_at: None,
            pending_listeners: Vec::new(),
            listeners: Vec::new(),
            inherited_listeners: Vec::new(),
            peer_process: None,
            order_confirmations: hot_restart::OrderConfirmations::default(),
            replaced_at: None,
            is_finishing: false,
            outputs: Vec::new(),
        }
    }

    /// Creates the CoAP front, if the file has one; its socket opens with the listeners.
    fn create_coap_front(&mut self, edge: &Edge) {
        if let (Some(coap), Some((uwsgi, _))) = (edge.coap.clone(), &self.uwsgi) {
            let seed = self.config.seed();
            let front = Coap::new(self.settings.clone(), Rc::new(coap), uwsgi.clone(), seed, process::now());
            self.coap = Some(coap::CoapDriver::new(front));
        }
    }

    /// Starts the tasks that receive the fleet's datagrams and versions, and bounds calls by the fleet's budgets.
    fn join_fleet(&mut self, fleet: Rc<fleet::Fleet>) {
        tokio::task::spawn_local(fleet::receive_datagrams(fleet.clone(), self.events.clone()));
        tokio::task::spawn_local(fleet::follow_versions(fleet.clone(), self.events.clone()));
        fleet.update_tenant_budgets(self.node.settings());
        self.calls.set_fleet(fleet.clone());
        self.service.set_fleet(fleet.clone());
        self.fleet = Some(fleet);
    }

    /// Takes over from an incumbent process of this node or, if there is none, opens the listeners.
    async fn take_over_or_open(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        let path = hot_restart::socket_path(&self.config.name, self.config.listen);
        let takeover = match &path {
            Some(path) => {
                let hello = self.hello();
                hot_restart::request_handover(path, hello).await
            }
            None => Takeover::NoIncumbent,
        };
        match takeover {
            Takeover::Accepted(inherited) => {
                self.become_successor(*inherited);
                return Ok(());
            }
            Takeover::Impossible(process) => {
                self.watch_process(hot_restart::INCUMBENT_LINK, process);
                // Another process of this node has run, or runs, whose writes by devices are not known here.
                let now = process::now();
                self.coap.iter_mut().for_each(|driver| driver.mark_unaccounted(now));
            }
            Takeover::NoIncumbent => {}
        }
        self.open_listeners()?;
        self.await_successors();
        Ok(())
    }

    /// Starts the task that keeps the agent's link; the core starts once the agent is connected, or at once without an agent.
    fn start_work(&mut self, is_cold: bool) -> Result<(), Box<dyn std::error::Error>> {
        if self.config.agent.is_some() {
            let address = self.agent_address.subscribe();
            tokio::task::spawn_local(agent_link::maintain_link(address, self.events.clone()));
            return Ok(());
        }
        self.start_core(is_cold)
    }

    /// Starts the reports to the directory, and listens at the control address if there is one.
    async fn start_reporting(&self, mode: watch::Receiver<Mode>) -> Result<(), Box<dyn std::error::Error>> {
        let directory = self.directory_address.subscribe();
        let (name, jitter) = (self.config.name.clone(), self.config.process_seed());
        tokio::task::spawn_local(directory::report(directory, name, mode, jitter));
        if let Some(at) = self.config.console {
            let listener = TcpListener::bind(at).await.map_err(|e| format!("console {at}: {e}"))?;
            tokio::task::spawn_local(console::serve(listener, self.service.clone()));
        }
        Ok(())
    }

    /// The event loop. Each iteration handles the events that are ready, runs the due timers and advances the core. Returns once
    /// all is answered and closed after the notice to leave.
    async fn serve(
        &mut self,
        signals: &Signals,
        events: &mut mpsc::Receiver<Event>,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let (admission, service) = (self.admission.clone(), self.service.clone());
        loop {
            let wake_at = self.next_wake_at(process::now());
            tokio::select! {
                biased;
                signal = signals.next() => self.handle_signal(signal),
                event = events.recv() => self.handle_ready_events(event, events)?,
                () = admission.earlier_sweep_needed() => {}
                () = service.order_applied() => {}
                () = sleep_until(wake_at) => {}
            }
            self.send_new_orders();
            self.run_admission_timers();
            self.run_due_call_timers();
            self.run_coap_timers();
            self.run_fleet_timers();
            self.share_zones();
            self.advance_core();
            if self.has_finished(events.is_empty()) {
                return Ok(());
            }
        }
    }

    /// Handles an event and those that are ready behind it, at most [`EVENT_QUEUE_MAX`], before the core advances once.
    fn handle_ready_events(
        &mut self,
        first: Option<Event>,
        events: &mut mpsc::Receiver<Event>,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let mut next = first;
        let mut remaining = EVENT_QUEUE_MAX;
        while let Some(event) = next {
            self.handle_event(event)?;
            remaining -= 1;
            next = if remaining > 0 { events.try_recv().ok() } else { None };
        }
        Ok(())
    }

    fn handle_signal(&mut self, signal: Signal) {
        match signal {
            Signal::Leave if self.stop_at.is_none() => self.begin_leaving(),
            Signal::Leave => {}
            Signal::Reload => self.reload(),
            Signal::Print => self.log_counters(),
        }
    }

    /// Logs the counters of the core, the calls, the CoAP front and the connections.
    fn log_counters(&self) {
        info!("counters: {}", self.node.counters);
        let (counters, (unfinished_input, unsent_output), connections, sources) =
            self.admission.with(|a| (a.counters, a.buffered_bytes(), a.len(), a.source_count()));
        self.calls.log_counters();
        if let Some(driver) = &self.coap {
            driver.log_counters();
        }
        info!(
            "door: conns={connections} sources={sources} half_in={unfinished_input} owed={unsent_output} {counters}"
        );
    }

    /// When the event loop next has to run without an event: at the earliest timer, or after [`IDLE_WAIT_US`].
    fn next_wake_at(&self, now: Micros) -> Instant {
        // Once all is closed, the loop polls for the end of the last connections' tasks.
        let finishing_check = now + FINISHING_CHECK_INTERVAL;
        let stop = self.stop_at.map(|stop| {
            if self.is_finishing {
                finishing_check.min(stop - EXIT_BEFORE_STOP)
            } else {
                stop - ANSWERED_BEFORE_STOP
            }
        });
        let coap = self.coap.as_ref().and_then(|driver| driver.next_timeout(now));
        let next_timer =
            [self.node.next_deadline(), self.calls.next_timeout(), coap, stop].into_iter().flatten().min();
        let fleet = self.fleet.as_ref().map_or(u64::MAX, |f| f.time_to_next_timer().0);
        let wait = next_timer
            .map_or(IDLE_WAIT_US, |at| (at - now).0)
            .min(self.admission.time_until_sweep().0)
            .min(fleet);
        Instant::now() + Duration::from_micros(wait)
    }

    /// Starts the core, and accepts connections unless the notice to leave has come. `cold`: the agent was started cold, or the
    /// settings say so.
    fn start_core(&mut self, cold: bool) -> Result<(), Box<dyn std::error::Error>> {
        let now = process::now();
        self.node.start(now, cold, &mut self.outputs)?;
        if self.stop_at.is_none() {
            self.start_taking_clients()?;
        }
        Ok(())
    }

    /// Opens the listeners and reports the node as serving, unless the notice to leave has come. The listeners open only now
    /// so that no connection is accepted and then refused because the node does not serve yet.
    fn start_serving(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        if self.stop_at.is_some() {
            return Ok(());
        }
        self.open_listeners()?;
        self.service.with(Service::start_serving);
        self.publish_mode();
        Ok(())
    }

    /// Updates the mode that is reported to the directory.
    fn publish_mode(&self) {
        let mode = match self.service.with(|s| s.directory_report(self.is_healthy)) {
            DirectoryReport::Silent => Mode::Silent,
            DirectoryReport::Open => Mode::Open,
            DirectoryReport::Closed => Mode::Closed,
        };
        self.mode.send_if_modified(|m| std::mem::replace(m, mode) != mode);
    }

    /// Advances the core and carries out its outputs. Starts to close once the answers are due or the handover is complete.
    fn advance_core(&mut self) {
        let now = process::now();
        self.node.advance(now, &mut self.outputs);
        self.carry_out_outputs(now);
        self.send_write_changes();
        let is_time_to_close =
            self.stop_at.is_some_and(|s| now >= s - ANSWERED_BEFORE_STOP) || self.has_handed_over(now);
        if is_time_to_close && !std::mem::replace(&mut self.is_finishing, true) {
            self.send_reply_to_all(|_| Reply::Finish);
            self.accept_queued_connections();
            self.close_listeners();
            self.close_coap();
        }
    }

    fn handle_event(&mut self, event: Event) -> Result<(), Box<dyn std::error::Error>> {
        let now = process::now();
        match event {
            Event::Connection(event) => self.handle_connection_event(now, event),
            Event::Accepted(accepted) => self.serve_connection(accepted),
            Event::ListenerFull(listener) => self.evict_for_listener(listener),
            Event::FleetDatagram(message) => self.handle_fleet_message(message),
            Event::VersionReady => self.adopt_ready_version(),
            Event::AgentLinked(link) => self.use_agent_link(link),
            Event::AgentUnlinked(link_number, end) => self.agent_link_ended(link_number, end),
            Event::AgentNotice(link_number, notice) => self.handle_agent_notice(now, link_number, notice)?,
            Event::AgentMoving(drained) => self.begin_agent_move(drained),
            Event::Handover(event) => self.handle_peer_link_event(now, event)?,
            Event::Datagrams(batch) => self.handle_datagrams(now, batch),
            Event::ConfigRead(result) => self.handle_config_read(*result),
            Event::CoapReadingStopped => self.coap_reading_stopped(),
            Event::RetryCoapBind if self.stop_at.is_none() => self.open_coap_if_listening(),
            Event::RetryCoapBind => {}
            Event::CallEnded(attempt, end) => self.call_attempt_ended(now, attempt, end),
            Event::RunEnded(name, outcome, result) => {
                if self.runs.remove(&name).is_some() {
                    self.node.handle_input(
                        now,
                        Input::RunEnded { name, outcome, result, duration: None },
                        &mut self.outputs,
                    );
                }
            }
        }
        // The outputs of an event must not wait for the other events of this turn.
        self.carry_out_outputs(now);
        Ok(())
    }

    /// Carries out the core's outputs, and those that arise meanwhile, in order.
    fn carry_out_outputs(&mut self, now: Micros) {
        let mut to_agent = BytesMut::new();
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                self.carry_out_output(now, output, &mut to_agent);
            }
        }
        self.send_to_agent(to_agent);
    }

    fn carry_out_output(&mut self, now: Micros, output: Output, to_agent: &mut BytesMut) {
        match output {
            Output::Answer(o, answer, _) if o.front == Wire::Coap.front() => {
                self.answer_coap(now, o.connection, &answer);
            }
            Output::Answer(o, answer, pressure) => {
                self.send_reply(o.connection, Reply::Answer(o, answer, pressure))
            }
            Output::HealthResponse(o, ok, pressure) => {
                let ok = ok && self.service.with(|s| s.is_healthy());
                self.send_reply(o.connection, Reply::Health(o, ok, pressure));
            }
            Output::Launch { worker: Worker::Agent, name, class, body } => {
                let settings = self.settings.get();
                let class = &settings.classes[class.0];
                let may_run_again = class.effect == Effect::Retryable;
                let launch = Command::Launch { class: class.name.clone(), body, may_run_again };
                self.agent.command(&name, launch, to_agent);
            }
            Output::Launch { worker: Worker::Servers, name, body, .. } => self.run_upstream(name, body),
            Output::StopRun(Worker::Agent, name) => {
                self.agent.command(&name, Command::Freeze, to_agent);
            }
            Output::StopRun(Worker::Servers, name) => {
                // The server may continue the run; its result is not awaited.
                if let Some(run) = self.runs.remove(&name) {
                    run.abort();
                    let input = Input::RunEnded {
                        name,
                        outcome: Outcome::Cancelled,
                        result: Bytes::new(),
                        duration: None,
                    };
                    self.node.handle_input(now, input, &mut self.outputs);
                }
            }
            Output::ResumeRun(name) => self.agent.command(&name, Command::Thaw, to_agent),
            Output::DeliverReply { name, notice_id, reply } => {
                self.agent.command(&name, Command::Deliver { notice_id, body: reply }, to_agent);
            }
            Output::SkipCall(name, n) => self.agent.command(&name, Command::Forgo(n), to_agent),
            // Without a link no answer comes; the core waits for a limited time.
            Output::SampleGauges(tag) => _ = self.agent.ask("sample", &tag, to_agent),
            Output::RunDeepCheck(tag) => _ = self.agent.ask("exercise", &tag, to_agent),
            Output::PlaceCall {
                call_id: ticket,
                name,
                class,
                call_index: index,
                deadline,
                body,
                is_one_shot: at_most_once,
                is_repeat: is_retry,
            } => {
                self.start_run_call(
                    now,
                    dependency_calls::RunCall {
                        ticket,
                        name,
                        class,
                        index,
                        deadline,
                        body,
                        at_most_once,
                        is_retry,
                    },
                );
            }
            Output::AbandonCall(ticket) => self.cancel_call(now, ticket),
            Output::Prefetch { call_id: ticket, name, class, deadline, body } => {
                self.start_prefetch_stage(
                    now,
                    dependency_calls::PrefetchStage { ticket, name, class, deadline, packet: body },
                );
            }
            Output::EndPrefetchStage(ticket) => self.expire_prefetch_stage(now, ticket),
            Output::CancelPrefetch(name) => self.cancel_prefetch(now, &name),
            Output::HealthChanged(is_healthy) => {
                self.is_healthy = is_healthy;
                self.publish_mode();
            }
            Output::CloseIdleConnections(span) => self.close_idle_connections(now, span),
            Output::AnnounceDrain => self.send_reply_to_all(|_| Reply::LastCall),
            Output::Log(text) => info!("{text}"),
        }
    }

    /// Runs a request on the upstream servers, in a task of its own.
    fn run_upstream(&mut self, name: String, packet: Bytes) {
        let Some((_, servers)) = &self.uwsgi else { return };
        let (events, servers, run) = (self.events.clone(), servers.clone(), name.clone());
        let prefetched = self.calls.take_prefetched(&name);
        let task = tokio::task::spawn_local(async move {
            let (outcome, reply) = match uwsgi::with_prefetched_vars(packet, &prefetched) {
                Some(packet) => servers.run(packet).await,
                None => (Outcome::Bad, Bytes::new()),
            };
            let reply =
                if outcome == Outcome::Good { uwsgi::mark_partial(reply, &prefetched) } else { reply };
            let _ = events.send(Event::RunEnded(run, outcome, reply)).await;
        });
        self.runs.insert(name, task);
    }
}
