//! The node on real sockets: the event loop, which owns the core and carries out its outputs, and small tasks around it that
//! own a socket each and talk to it over a bounded channel. It decides nothing about requests.

mod agent_link;
pub mod clock;
mod coap;
mod connections;
mod console;
mod dependency_calls;
mod door;
mod fleet;
mod hot_restart;
mod listeners;
mod reload;
pub mod replica;
mod signals;

pub use door::tune;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};
use tracing::{info, warn};

use dependency_calls::DependencyCalls;
use signals::{Signal, Signals};

use crate::agent::{Agent, Command, Notice, gauges};
use crate::config::Config;
use crate::config::edge::Edge;
use crate::config::tiers::Tiers;
use crate::dependencies::AttemptId;
use crate::directory::{self, Mode};
use crate::door::{ConnectionAdmission, ListenerId};
use crate::end::End;
use crate::fleet::datagram::FleetMessage;
use crate::fleet::lease::holder::ReleaseEvidence;
use crate::front::Wire;
use crate::front::coap::Coap;
use crate::front::driver::{Doorman, FromConn};
use crate::front::uwsgi::UwsgiConfig;
use crate::front::{InForce, Reply};
use crate::interface::{Micros, Outcome, Settings};
use crate::log::LogRateLimiter;
use crate::node::{Input, Node, NodeOptions, Output, Worker};
use crate::service::{DirectoryReport, Service};
use crate::time::process;
use crate::upstream::uwsgi::{self, Servers};

/// After the notice to leave, everything is answered this long before the process is stopped, and sockets are closed.
const ANSWERED_BEFORE_STOP: Micros = Micros::from_millis(300);
/// The process has exited this long before it would be stopped.
const EXIT_BEFORE_STOP: Micros = Micros::from_millis(80);
/// Events queued for the event loop; tasks wait when it is full.
const EVENT_QUEUE_MAX: usize = 1024;

/// What reaches the event loop.
enum Event {
    Connection(FromConn),
    Accepted(door::Newcomer),
    ListenerFull(ListenerId),
    AgentLinked(u64, mpsc::Sender<Bytes>),
    AgentNotice(u64, Notice),
    AgentUnlinked(u64, End),
    CallEnded(AttemptId, (Outcome, Bytes, ReleaseEvidence)),
    Fleet(FleetMessage),
    /// A version of the configuration has come.
    Version,
    RunEnded(String, Outcome, Bytes),
    Handover(hot_restart::PeerLinkEvent),
    Datagrams(Vec<(SocketAddr, Bytes)>),
    FilesRead(Box<Result<reload::Told, reload::TurnedDown>>),
    OpenCoap,
}

impl From<FromConn> for Event {
    fn from(e: FromConn) -> Event {
        Event::Connection(e)
    }
}

/// A listener, as the runtime needs it.
struct Gate {
    name: String,
    wire: Wire,
}

struct Runtime {
    node: Node,
    settings: InForce,
    gauge_names: Vec<String>,
    agent: Agent,
    /// The link in use and its number.
    link: Option<(u64, mpsc::Sender<Bytes>)>,
    connections: HashMap<u64, connections::Conn>,
    gates: Vec<Gate>,
    doorman: Doorman,
    /// For log lines that a peer can cause.
    log_limiter: LogRateLimiter,
    calls: DependencyCalls,
    /// The uwsgi front's file, and the servers behind it.
    uwsgi: Option<(Rc<UwsgiConfig>, Servers)>,
    runs: HashMap<String, JoinHandle<()>>,
    mode: watch::Sender<Mode>,
    /// Whether this process serves, and the module's own word on it.
    service: console::Shared,
    is_healthy: bool,
    /// What the file said when it was last read, and those who follow its addresses.
    config: Config,
    /// A file that is being read, to take its place.
    reading: Option<reload::Reading>,
    /// Its settings, whatever is in force over them; where no version ever is, they are not kept a second time.
    file_settings: Settings,
    agent_at: watch::Sender<Option<SocketAddr>>,
    lookup_at: watch::Sender<Option<SocketAddr>>,
    events: mpsc::Sender<Event>,
    /// The CoAP front.
    coap: Option<coap::Driver>,
    /// The fleet that this process belongs to.
    fleet: Option<Rc<fleet::Fleet>>,
    /// Held by each connection's task, which may outlive its entry to send its last bytes.
    alive: Rc<()>,
    /// When the process is stopped, once that is known.
    stop_at: Option<Micros>,
    /// Listeners to open once the work is up or, where nobody serves yet, at once.
    pending_listeners: Vec<listeners::Opening>,
    listeners: Vec<listeners::Open>,
    /// Listeners of a process that this one takes over from.
    inherited_listeners: Vec<(SocketAddr, TcpListener)>,
    /// The other process of this node, while one takes over from the other.
    peer_process: Option<hot_restart::PeerLink>,
    /// When this process was replaced.
    replaced_at: Option<Micros>,
    /// All is closed, and pending bytes are being sent.
    is_finishing: bool,
    outputs: Vec<Output>,
}

/// Runs a node until it has been notified to leave and has left.
///
/// # Errors
/// What kept it from starting.
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
    // What the replicas hold is in force from the start on, if it comes in time.
    let is_following = fleet.as_ref().is_some_and(|fleet| fleet.is_following_versions());
    let file_settings = if is_following { settings.clone() } else { Settings::default() };
    let (settings, tiers) = match &fleet {
        Some(fleet) => fleet.initial_settings(settings, tiers, &config).await,
        None => (settings, tiers),
    };
    let mut runtime = Runtime::new(config, settings, &edge, &tiers, mode, sender);
    runtime.file_settings = file_settings;
    runtime.open_coap_front(&edge);
    runtime.plan(&edge.listeners, edge.caller_connections_max(runtime.config.limits.sockets));
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
    runtime.print();
    Ok(())
}

fn servers(u: &UwsgiConfig) -> Servers {
    let ms = Duration::from_millis;
    Servers::new(&u.hosts, ms(u.timeouts.connect_ms), ms(u.timeouts.run_ms), u.limits.reply_bytes)
}

impl Runtime {
    /// A runtime that has opened nothing yet.
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
        let idle_connections = config.limits.sockets / 16;
        Runtime {
            node: Node::new(settings.clone(), options),
            settings: InForce::new(settings),
            gauge_names: config.gauge_names(),
            agent: Agent::default(),
            link: None,
            connections: HashMap::new(),
            gates: Vec::new(),
            doorman: Doorman::new(ConnectionAdmission::new(edge.admission_settings(&config))),
            log_limiter: LogRateLimiter::default(),
            calls: DependencyCalls::new(process::now(), tiers, idle_connections, config.process_seed()),
            coap: None,
            fleet: None,
            uwsgi: uwsgi.map(|file| (Rc::new(file.clone()), servers(&file))),
            runs: HashMap::new(),
            mode,
            service: console::Shared::default(),
            is_healthy: true,
            agent_at: watch::channel(config.agent).0,
            lookup_at: watch::channel(config.lookup).0,
            config,
            reading: None,
            file_settings: Settings::default(),
            events,
            alive: Rc::default(),
            stop_at: None,
            pending_listeners: Vec::new(),
            listeners: Vec::new(),
            inherited_listeners: Vec::new(),
            peer_process: None,
            replaced_at: None,
            is_finishing: false,
            outputs: Vec::new(),
        }
    }

    /// Makes the CoAP front, if the file has one; its socket opens with the listeners.
    fn open_coap_front(&mut self, edge: &Edge) {
        if let (Some(coap), Some((uwsgi, _))) = (edge.coap.clone(), &self.uwsgi) {
            let seed = self.config.seed();
            let front = Coap::new(self.settings.clone(), Rc::new(coap), uwsgi.clone(), seed, process::now());
            self.coap = Some(coap::Driver::new(front));
        }
    }

    /// Starts the tasks that hear the fleet, and bounds calls by its budgets.
    fn join_fleet(&mut self, fleet: Rc<fleet::Fleet>) {
        tokio::task::spawn_local(fleet::receive_datagrams(fleet.clone(), self.events.clone()));
        tokio::task::spawn_local(fleet::follow_versions(fleet.clone(), self.events.clone()));
        fleet.update_tenant_budgets(self.node.settings());
        self.calls.set_fleet(fleet.clone());
        self.service.join(fleet.clone());
        self.fleet = Some(fleet);
    }

    /// Takes over from a process of this node that serves, or opens the listeners where there is none.
    async fn take_over_or_open(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        let path = hot_restart::socket_path(&self.config.name, self.config.listen);
        let incumbent = match &path {
            Some(path) => hot_restart::request_handover(path, &self.config.name, self.config.listen).await,
            None => None,
        };
        match incumbent {
            Some(inherited) => self.become_successor(inherited),
            None => {
                self.open()?;
                self.await_successors();
            }
        }
        Ok(())
    }

    /// Has the agent's link made; without an agent the work starts at once.
    fn start_work(&mut self, is_cold: bool) -> Result<(), Box<dyn std::error::Error>> {
        if self.config.agent.is_some() {
            let address = self.agent_at.subscribe();
            tokio::task::spawn_local(agent_link::keep(address, self.events.clone()));
            return Ok(());
        }
        self.start(is_cold)
    }

    /// Starts the reports to the directory, and the control address if there is one.
    async fn start_reporting(&self, mode: watch::Receiver<Mode>) -> Result<(), Box<dyn std::error::Error>> {
        let directory = self.lookup_at.subscribe();
        let (name, lot) = (self.config.name.clone(), self.config.process_seed());
        tokio::task::spawn_local(directory::report(directory, name, mode, lot));
        if let Some(at) = self.config.console {
            let listener = TcpListener::bind(at).await.map_err(|e| format!("console {at}: {e}"))?;
            tokio::task::spawn_local(console::listen(listener, self.service.clone()));
        }
        Ok(())
    }

    /// The event loop: takes what is ready, then one turn of the core; until all is closed after the notice to leave.
    async fn serve(
        &mut self,
        signals: &Signals,
        events: &mut mpsc::Receiver<Event>,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let (doorman, service) = (self.doorman.clone(), self.service.clone());
        loop {
            let wake = self.wake(process::now());
            tokio::select! {
                biased;
                signal = signals.next() => self.signalled(signal),
                event = events.recv() => self.take_ready(event, events)?,
                () = doorman.rung() => {}
                () = service.rung() => self.list(),
                () = sleep_until(wake) => {}
            }
            self.sweep_door();
            self.run_due_call_timers();
            self.sweep_coap();
            self.run_fleet_timers();
            self.turn();
            if self.left(events.is_empty()) {
                return Ok(());
            }
        }
    }

    /// Takes an event and all others that are ready, up to a bound: they make one turn.
    fn take_ready(
        &mut self,
        first: Option<Event>,
        events: &mut mpsc::Receiver<Event>,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let mut next = first;
        let mut most = EVENT_QUEUE_MAX;
        while let Some(event) = next {
            self.take(event)?;
            most -= 1;
            next = if most > 0 { events.try_recv().ok() } else { None };
        }
        Ok(())
    }

    fn signalled(&mut self, signal: Signal) {
        match signal {
            Signal::Leave if self.stop_at.is_none() => self.leave(),
            Signal::Leave => {}
            Signal::Reload => self.reload(),
            Signal::Print => self.print(),
        }
    }

    /// Prints what has been counted.
    fn print(&self) {
        info!("counters: {}", self.node.counters);
        let (tally, (half_in, owed), conns, sources) =
            self.doorman.with(|d| (d.counters, d.buffered_bytes(), d.len(), d.source_count()));
        self.calls.print();
        if let Some(driver) = &self.coap {
            driver.print();
        }
        info!("door: conns={conns} sources={sources} half_in={half_in} owed={owed} {tally}");
    }

    fn wake(&self, now: Micros) -> Instant {
        // Once all is closed, the last connections' tasks are looked after until they are done.
        let look = now + Micros::from_millis(10);
        let stop = self.stop_at.map(|s| {
            if self.is_finishing { look.min(s - EXIT_BEFORE_STOP) } else { s - ANSWERED_BEFORE_STOP }
        });
        let coap = self.coap.as_ref().and_then(|d| d.deadline(now));
        let at =
            [self.node.next_deadline(), self.calls.next_timeout(), coap, stop].into_iter().flatten().min();
        let fleet = self.fleet.as_ref().map_or(u64::MAX, |f| f.time_to_next_timer().0);
        let wait = at.map_or(1_000_000, |at| (at - now).0).min(self.doorman.wait().0).min(fleet);
        Instant::now() + Duration::from_micros(wait)
    }

    fn start(&mut self, cold: bool) -> Result<(), Box<dyn std::error::Error>> {
        let now = process::now();
        self.node.start(now, cold, &mut self.outputs)?;
        if self.stop_at.is_none() {
            self.start_taking_clients()?;
        }
        Ok(())
    }

    /// Takes clients from now on, unless the notice to leave has come first. Nobody is taken in before, to be told that there
    /// is no service yet.
    fn up(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        if self.stop_at.is_some() {
            return Ok(());
        }
        self.open()?;
        self.service.with(Service::start_serving);
        self.list();
        Ok(())
    }

    /// Tells the directory where this process stands.
    fn list(&self) {
        let mode = match self.service.with(|s| s.directory_report(self.is_healthy)) {
            DirectoryReport::Silent => Mode::Silent,
            DirectoryReport::Open => Mode::Open,
            DirectoryReport::Closed => Mode::Closed,
        };
        self.mode.send_if_modified(|m| std::mem::replace(m, mode) != mode);
    }

    fn turn(&mut self) {
        let now = process::now();
        self.node.advance(now, &mut self.outputs);
        self.dispatch(now);
        self.send_write_changes();
        let over = self.stop_at.is_some_and(|s| now >= s - ANSWERED_BEFORE_STOP) || self.has_handed_over(now);
        if over && !std::mem::replace(&mut self.is_finishing, true) {
            self.tell_all(|_| Reply::Finish);
            self.empty_queues();
            self.close();
            self.close_coap();
        }
    }

    /// The notice to leave.
    fn leave(&mut self) {
        let now = process::now();
        if let Some(fleet) = &self.fleet {
            fleet.begin_leaving();
        }
        let succeeded = self.has_ready_successor();
        self.service.with(|s| s.start_departure(succeeded));
        if succeeded {
            // The queue of connections lives on in the heir, which has the same listeners.
            self.close();
            let stop = self.earliest_kill(now);
            (self.stop_at, self.replaced_at) = (Some(stop), Some(now));
            info!(
                "replaced: {} answers owed, {} connections",
                self.node.pending_answers(),
                self.connections.len()
            );
            self.node.handle_input(
                now,
                Input::SuccessorStarted(stop - ANSWERED_BEFORE_STOP),
                &mut self.outputs,
            );
            return self.list();
        }
        let stop = self.earliest_kill(now);
        self.stop_at = Some(stop);
        self.node.handle_input(now, Input::DrainRequested(stop - ANSWERED_BEFORE_STOP), &mut self.outputs);
    }

    /// Whether nothing is left to do before the process is stopped; `heard` where nothing waits for the core, such as a
    /// connection that was accepted in the last moment.
    fn left(&mut self, heard: bool) -> bool {
        let Some(stop) = self.stop_at else { return false };
        let done = heard && self.connections.is_empty() && Rc::strong_count(&self.alive) == 1;
        self.is_finishing && (done || process::now() >= stop - EXIT_BEFORE_STOP)
    }

    fn take(&mut self, event: Event) -> Result<(), Box<dyn std::error::Error>> {
        let now = process::now();
        match event {
            Event::Connection(said) => self.conn_said(now, said),
            Event::Accepted(new) => self.accepted(new),
            Event::ListenerFull(gate) => self.full(gate),
            Event::Fleet(talk) => self.handle_fleet_message(talk),
            Event::Version => self.version_ready(),
            Event::AgentLinked(n, sender) => {
                if self.link.replace((n, sender)).is_some() {
                    // Moved: what the old link still held is asked for again on this one.
                    self.agent.lost();
                }
                self.node.counters.agent_links += 1;
                let mut out = BytesMut::new();
                self.agent.linked(&mut out);
                self.say(out);
            }
            Event::AgentUnlinked(n, end) => {
                if self.link.as_ref().is_some_and(|l| l.0 == n) {
                    warn!("agent link: {end}");
                    self.link = None;
                    self.agent.lost();
                }
            }
            Event::AgentNotice(n, notice) => {
                if self.link.as_ref().is_some_and(|l| l.0 == n) {
                    self.said(now, notice)?;
                }
            }
            Event::Handover(event) => self.handle_peer_link_event(now, event)?,
            Event::Datagrams(batch) => self.datagrams(now, batch),
            Event::FilesRead(told) => self.told(*told),
            Event::OpenCoap if self.stop_at.is_none() => self.open_coap(),
            Event::OpenCoap => {}
            Event::CallEnded(attempt, ended) => self.call_attempt_ended(now, attempt, ended),
            Event::RunEnded(name, end, result) => {
                if self.runs.remove(&name).is_some() {
                    self.node.handle_input(
                        now,
                        Input::RunEnded { name, outcome: end, result, duration: None },
                        &mut self.outputs,
                    );
                }
            }
        }
        // What is said while things are taken in must not wait behind the rest of them.
        self.dispatch(now);
        Ok(())
    }

    fn said(&mut self, now: Micros, notice: Notice) -> Result<(), Box<dyn std::error::Error>> {
        let mut out = BytesMut::new();
        let news = self.agent.hear(notice, &mut out);
        self.say(out);
        let input = match news {
            None => return Ok(()),
            Some(Notice::Greeting { cold, .. }) => {
                if !self.node.is_started() {
                    self.start(cold)?;
                }
                return Ok(());
            }
            Some(Notice::Outcome { name, end, result, ms, .. }) => {
                let took = Some(Micros::from_secs_f64(ms / 1e3));
                Input::RunEnded { name, outcome: end, result, duration: took }
            }
            Some(Notice::Request { n, name, body }) => Input::CallRequested { name, notice_id: n, body },
            Some(Notice::Sampled { tag, values }) => {
                Input::GaugesSampled(tag, gauges(&self.gauge_names, &values))
            }
            Some(Notice::Exercised { tag, ok }) => Input::DeepCheckEnded(tag, ok),
            Some(Notice::Refusal { command, name }) => {
                warn!(request = %name, "agent refused: {command} {name}");
                if command == "launch" { Input::LaunchRefused(name) } else { Input::CommandRefused }
            }
            Some(Notice::Aside { .. }) => return Ok(()),
        };
        self.node.handle_input(now, input, &mut self.outputs);
        Ok(())
    }

    fn say(&mut self, out: BytesMut) {
        let Some((n, link)) = &self.link else { return };
        if !out.is_empty() && link.try_send(out.freeze()).is_err() {
            // It reads nothing: a new link replays what this one may have lost.
            warn!(link = n, "agent link {n}: {}", End::Stalled);
            self.link = None;
            self.agent.lost();
        }
    }

    fn dispatch(&mut self, now: Micros) {
        let mut to_agent = BytesMut::new();
        // What is carried out may say more itself.
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                self.carry_out(now, output, &mut to_agent);
            }
        }
        self.say(to_agent);
    }

    fn carry_out(&mut self, now: Micros, output: Output, to_agent: &mut BytesMut) {
        match output {
            Output::Answer(o, answer, _) if o.front == Wire::Coap.front() => {
                self.answer_coap(now, o.connection, &answer);
            }
            Output::Answer(o, answer, pressure) => {
                self.tell(o.connection, Reply::Answer(o, answer, pressure))
            }
            Output::HealthResponse(o, ok, pressure) => {
                let ok = ok && self.service.with(|s| s.is_healthy());
                self.tell(o.connection, Reply::Health(o, ok, pressure));
            }
            Output::Launch { worker: Worker::Agent, name, class, body } => {
                let class = self.settings.get().classes[class.0].name.clone();
                self.agent.command(&name, Command::Launch { class, body }, to_agent);
            }
            Output::Launch { worker: Worker::Servers, name, body, .. } => self.run_upstream(name, body),
            Output::StopRun(Worker::Agent, name) => {
                self.agent.command(&name, Command::Freeze, to_agent);
            }
            Output::StopRun(Worker::Servers, name) => {
                // The server may go on; here nobody waits for it any more.
                if let Some(run) = self.runs.remove(&name) {
                    run.abort();
                    let end = Input::RunEnded {
                        name,
                        outcome: Outcome::Cancelled,
                        result: Bytes::new(),
                        duration: None,
                    };
                    self.node.handle_input(now, end, &mut self.outputs);
                }
            }
            Output::ResumeRun(name) => self.agent.command(&name, Command::Thaw, to_agent),
            Output::DeliverReply(name, body) => {
                self.agent.command(&name, Command::Deliver(body), to_agent);
            }
            Output::SkipCall(name, n) => self.agent.command(&name, Command::Forgo(n), to_agent),
            // Without a link nobody answers; the core waits only so long.
            Output::SampleGauges(tag) => _ = self.agent.ask("sample", &tag, to_agent),
            Output::RunDeepCheck(tag) => _ = self.agent.ask("exercise", &tag, to_agent),
            Output::PlaceCall {
                call_id: ticket,
                name,
                class,
                call_index: nth,
                deadline: until,
                body,
                is_one_shot: once,
                is_repeat: again,
            } => {
                self.start_run_call(
                    now,
                    dependency_calls::RunCall {
                        ticket,
                        name,
                        class,
                        nth,
                        deadline: until,
                        body,
                        at_most_once: once,
                        is_retry: again,
                    },
                );
            }
            Output::AbandonCall(ticket) => self.cancel_call(now, ticket),
            Output::Prefetch { call_id: ticket, name, class, deadline: until, body } => {
                self.start_prefetch_stage(
                    now,
                    dependency_calls::PrefetchStage { ticket, name, class, deadline: until, packet: body },
                );
            }
            Output::EndPrefetchStage(ticket) => self.expire_prefetch_stage(now, ticket),
            Output::CancelPrefetch(name) => self.cancel_prefetch(now, &name),
            Output::HealthChanged(good) => {
                self.is_healthy = good;
                self.list();
            }
            Output::CloseIdleConnections(span) => self.close_idle(now, span),
            Output::AnnounceDrain => self.tell_all(|_| Reply::LastCall),
            Output::Log(text) => info!("{text}"),
        }
    }

    fn run_upstream(&mut self, name: String, packet: Bytes) {
        let Some((_, servers)) = &self.uwsgi else { return };
        let (events, servers, run) = (self.events.clone(), servers.clone(), name.clone());
        let gathered = self.calls.take_prefetched(&name);
        let task = tokio::task::spawn_local(async move {
            let (end, reply) = match uwsgi::with_prefetched_vars(packet, &gathered) {
                Some(packet) => servers.run(packet).await,
                None => (Outcome::Bad, Bytes::new()),
            };
            let reply = if end == Outcome::Good { uwsgi::mark_partial(reply, &gathered) } else { reply };
            let _ = events.send(Event::RunEnded(run, end, reply)).await;
        });
        self.runs.insert(name, task);
    }
}
