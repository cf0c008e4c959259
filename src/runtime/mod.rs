//! The node on real sockets: one task that owns the core and hands on what it says, and small tasks around it.

mod door;
mod link;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use crate::agent::{Agent, Command, Notice, gauges};
use crate::config::Config;
use crate::directory::{self, Mode};
use crate::end::End;
use crate::front::Reply;
use crate::front::driver::{self, FromConn, unix_now};
use crate::front::msgpack::{Caller, ValueCodec};
use crate::front::uwsgi::{Gateway, UwsgiConfig};
use crate::interface::{Micros, Outcome, Settings};
use crate::ledger::{Call, Pool};
use crate::node::{Input, Node, Options, Output, Wire};
use crate::upstream::uwsgi::Servers;

/// From the notice on, everything is answered this long before the process is stopped, and sockets are closed.
const LEAVE: Micros = Micros::from_millis(300);
/// The process has exited this long before it would be stopped.
const GONE: Micros = Micros::from_millis(80);
/// Permits kept from connections that stay, for those that come and go: a newcomer is taken in before the one that
/// makes room for it has closed.
const SPARE: usize = 16;
/// Connections that are told to make room at a time when nobody can come in.
const GOING: usize = 4;
/// A connection that has asked nothing for this long gives way to any other.
const MUTE: Micros = Micros::from_millis(200);
/// Messages on their way to the core, and to one connection.
const EVENTS: usize = 1024;
const REPLIES: usize = 96;

/// What reaches the core's task.
enum Event {
    Conn(FromConn),
    Accepted(Wire, TcpStream, tokio::sync::OwnedSemaphorePermit),
    Full(Wire),
    Linked(u64, mpsc::Sender<Bytes>),
    Said(u64, Notice),
    Unlinked(u64, End),
    Called(u64, Outcome, Bytes),
    Ran(String, Outcome, Bytes),
}

impl From<FromConn> for Event {
    fn from(e: FromConn) -> Event {
        Event::Conn(e)
    }
}

/// A clock of Unix time that never goes back.
#[derive(Default)]
struct Clock(Micros);

impl Clock {
    fn now(&mut self) -> Micros {
        self.0 = self.0.max(unix_now());
        self.0
    }
}

struct Conn {
    wire: Wire,
    replies: mpsc::Sender<Reply>,
    /// When it was made, or last asked or was answered something.
    since: Micros,
    /// Something has been asked on it.
    asked: bool,
    /// It has been told to make room.
    leaving: bool,
}

struct Runtime {
    node: Node,
    clock: Clock,
    settings: Rc<Settings>,
    gauge_names: Vec<String>,
    agent: Agent,
    /// The link in use and its number.
    link: Option<(u64, mpsc::Sender<Bytes>)>,
    conns: HashMap<u64, Conn>,
    next_conn: u64,
    pool: Pool,
    calls: HashMap<u64, JoinHandle<()>>,
    /// The uwsgi front's file, and the servers behind it.
    uwsgi: Option<(Rc<UwsgiConfig>, Servers)>,
    runs: HashMap<String, JoinHandle<()>>,
    mode: watch::Sender<Mode>,
    /// What the file said when it was last read, and those who follow its addresses.
    config: Config,
    agent_at: watch::Sender<Option<SocketAddr>>,
    lookup_at: watch::Sender<Option<SocketAddr>>,
    events: mpsc::Sender<Event>,
    /// Held by each connection's task, which may outlive its entry to send its last bytes.
    alive: Rc<()>,
    /// When the process is stopped, once that is known.
    stop: Option<Micros>,
    listeners: Vec<JoinHandle<()>>,
    out: Vec<Output>,
}

/// Runs a node until it has been told to leave and has.
///
/// # Errors
/// What kept it from starting.
pub async fn run(
    config: Config,
    settings: Settings,
    uwsgi: Option<UwsgiConfig>,
) -> Result<(), Box<dyn std::error::Error>> {
    let (tx, mut events) = mpsc::channel(EVENTS);
    let (mode, watched) = watch::channel(Mode::Silent);
    let mut terminated = signal(SignalKind::terminate())?;
    let mut asked = signal(SignalKind::user_defined1())?;
    let mut changed = signal(SignalKind::hangup())?;
    let options = Options {
        agent: config.agent.is_some(),
        slots: uwsgi.iter().flat_map(|u| &u.hosts).map(|h| h.slots).sum(),
        shared_cores: uwsgi.as_ref().is_some_and(|u| u.shared_cores),
        share_reads: config.is_entry(),
        seed: config.seed(),
    };
    let sockets = config.limits.sockets;
    let cold = settings.cold;
    let mut rt = Runtime {
        node: Node::new(settings.clone(), options),
        clock: Clock::default(),
        settings: Rc::new(settings),
        gauge_names: config.gauge_names(),
        agent: Agent::default(),
        link: None,
        conns: HashMap::new(),
        next_conn: 0,
        pool: Pool::new(config.ledger, sockets / 16),
        calls: HashMap::new(),
        uwsgi: uwsgi.map(|u| (Rc::new(u.clone()), servers(&u))),
        runs: HashMap::new(),
        mode,
        agent_at: watch::channel(config.agent).0,
        lookup_at: watch::channel(config.lookup).0,
        config,
        events: tx.clone(),
        alive: Rc::default(),
        stop: None,
        listeners: Vec::new(),
        out: Vec::new(),
    };
    // Before the platform's, so that who is met on that one is met on both.
    if let Some((u, _)) = &rt.uwsgi {
        let listener = TcpListener::bind(u.listen).await?;
        let room = u.limits.connections.min(sockets / 8) + SPARE;
        let room = std::sync::Arc::new(Semaphore::new(room));
        rt.listeners.push(tokio::task::spawn_local(door::accept(Wire::Uwsgi, listener, room, tx.clone())));
    }
    if let Some(address) = rt.config.listen {
        let listener = TcpListener::bind(address).await?;
        let room = std::sync::Arc::new(Semaphore::new(rt.caller_room() + SPARE));
        rt.listeners.push(tokio::task::spawn_local(door::accept(Wire::Msgpack, listener, room, tx.clone())));
    }
    if rt.config.agent.is_some() {
        tokio::task::spawn_local(link::keep(rt.agent_at.subscribe(), tx.clone()));
    } else {
        rt.start(cold)?;
    }
    let directory = rt.lookup_at.subscribe();
    tokio::task::spawn_local(directory::report(directory, rt.config.name.clone(), watched));
    loop {
        let now = rt.clock.now();
        let wake = rt.wake(now);
        tokio::select! {
            biased;
            _ = terminated.recv(), if rt.stop.is_none() => rt.leave(),
            _ = changed.recv() => rt.reload(),
            _ = asked.recv() => eprintln!("counters: {}", rt.node.counters),
            event = events.recv() => {
                // All that is ready makes one turn.
                let mut next = event;
                let mut most = EVENTS;
                while let Some(e) = next {
                    rt.take(e)?;
                    most -= 1;
                    next = if most > 0 { events.try_recv().ok() } else { None };
                }
            }
            () = sleep_until(wake) => {}
        }
        rt.turn();
        if rt.left() {
            break;
        }
    }
    eprintln!("counters: {}", rt.node.counters);
    Ok(())
}

fn servers(u: &UwsgiConfig) -> Servers {
    let ms = Duration::from_millis;
    Servers::new(&u.hosts, ms(u.timeouts.connect_ms), ms(u.timeouts.run_ms), u.limits.reply_bytes)
}

impl Runtime {
    /// Connections of callers at a time. They open at most half of the descriptors, and others come on top; a quarter
    /// is left for what this side opens, and an eighth for the gateways where there are any.
    fn caller_room(&self) -> usize {
        let sockets = self.config.limits.sockets;
        let gateways = if self.uwsgi.is_some() { sockets / 8 } else { 0 };
        (sockets * 3 / 4).saturating_sub(gateways + SPARE).max(1)
    }

    /// Makes room for one connection of a front: the first to go has asked nothing for a while, then the one idle for
    /// longest, then the oldest that has asked nothing. A caller with a request open never goes. False if none can.
    fn make_room(&mut self, wire: Wire, spare_new: bool) -> bool {
        let now = self.clock.now();
        let may = |n: u64, c: &Conn| {
            let spared = spare_new && !c.asked && now - c.since < MUTE;
            c.wire == wire && !c.leaving && !spared && !self.node.owes(wire, n)
        };
        let rank = |c: &Conn| match (c.asked, now - c.since >= MUTE) {
            (false, true) => 0,
            (true, _) => 1,
            (false, false) => 2,
        };
        let all = self.conns.iter().filter(|(n, c)| may(**n, c));
        let Some(first) = all.min_by_key(|(n, c)| (rank(c), c.since, **n)).map(|(n, _)| *n) else {
            return false;
        };
        if let Some(c) = self.conns.get_mut(&first) {
            c.leaving = c.replies.try_send(Reply::MakeRoom).is_ok();
        }
        true
    }

    fn wake(&self, now: Micros) -> Instant {
        // Once all is closed, the last connections' tasks are looked after until they are done.
        let look = now + Micros::from_millis(10);
        let stop = self.stop.map(|s| if self.listeners.is_empty() { look.min(s - GONE) } else { s - LEAVE });
        let at = [self.node.deadline(), stop].into_iter().flatten().min();
        let wait = at.map_or(1_000_000, |at| (at - now).0);
        Instant::now() + Duration::from_micros(wait)
    }

    fn start(&mut self, cold: bool) -> Result<(), Box<dyn std::error::Error>> {
        let now = self.clock.now();
        self.node.start(now, cold, &mut self.out)?;
        Ok(())
    }

    fn turn(&mut self) {
        let now = self.clock.now();
        self.node.turn(now, &mut self.out);
        self.dispatch(now);
        if self.stop.is_some_and(|s| now >= s - LEAVE) && !self.listeners.is_empty() {
            self.listeners.drain(..).for_each(|l| l.abort());
            self.tell_all(|_| Reply::Finish);
        }
    }

    /// Reads the configuration again and moves to the addresses it gives now.
    ///
    /// What a node is (its name, its settings, where it listens) stays as it was at the start: the module has no way
    /// to change them under load. A file that is no good changes nothing.
    fn reload(&mut self) {
        let new = match Config::from_env() {
            Ok((new, _)) if new.agent.is_some() == self.config.agent.is_some() => new,
            Ok(_) => {
                return eprintln!("reload: an agent can't come or go without a restart; nothing changed");
            }
            Err(e) => return eprintln!("reload: {e}; nothing changed"),
        };
        self.node.counters.reloads += 1;
        if !new.same_node(&self.config) {
            eprintln!("reload: name, listen, limits and settings change with a restart only");
        }
        let (agent, ledger, lookup) = (new.agent, new.ledger, new.lookup);
        let c = &mut self.config;
        (c.agent, c.ledger, c.lookup, c.stop_ms) = (agent, ledger, lookup, new.stop_ms);
        let moved = |at: &mut Option<SocketAddr>, to| std::mem::replace(at, to) != to;
        self.agent_at.send_if_modified(|at| moved(at, agent));
        self.lookup_at.send_if_modified(|at| moved(at, lookup));
        self.pool.move_to(ledger);
        let said = |at: Option<SocketAddr>| at.map_or("none".to_owned(), |at| at.to_string());
        eprintln!("reload: agent {}, ledger {}, lookup {}", said(agent), said(ledger), said(lookup));
    }

    /// The notice to leave.
    fn leave(&mut self) {
        let now = self.clock.now();
        let stop = now + Micros::from_millis(self.config.stop_ms);
        self.stop = Some(stop);
        self.node.take(now, Input::Notice(stop - LEAVE), &mut self.out);
    }

    /// Whether nothing is left to do before the process is stopped.
    fn left(&mut self) -> bool {
        let Some(stop) = self.stop else { return false };
        let done = self.conns.is_empty() && Rc::strong_count(&self.alive) == 1;
        self.listeners.is_empty() && (done || self.clock.now() >= stop - GONE)
    }

    fn take(&mut self, event: Event) -> Result<(), Box<dyn std::error::Error>> {
        let now = self.clock.now();
        match event {
            Event::Conn(FromConn::Input(input)) => {
                let origin = if let Input::Asked(o, _) = &input { Some(*o) } else { None };
                let spoke = match &input {
                    Input::Asked(o, _) | Input::Health { origin: o, .. } | Input::Cancelled(o) => {
                        Some(o.conn)
                    }
                    _ => None,
                };
                if let Some(c) = spoke.and_then(|n| self.conns.get_mut(&n)) {
                    (c.since, c.asked, c.leaving) = (now, true, false);
                }
                self.node.take(now, input, &mut self.out);
                if let Some(o) = origin.filter(|_| self.stop.is_some()) {
                    // A connection made after the notice learns of it with its first request.
                    self.tell(o.conn, Reply::LastCall);
                }
            }
            Event::Conn(FromConn::Closed { wire, conn, end }) => {
                self.conns.remove(&conn);
                self.node.connections = self.conns.len();
                *self.node.counters.closed.entry((wire, end)).or_default() += 1;
                self.node.counters.cut_off += u64::from(matches!(end, End::CutOff | End::Slow));
                self.node.take(now, Input::Lost(wire, conn), &mut self.out);
            }
            Event::Accepted(wire, stream, permit) => self.accepted(wire, stream, permit),
            Event::Full(wire) => {
                // Nobody can come in before somebody goes; a few are on their way out at a time, as room is short
                // for a moment only. Who has just come in may be about to ask and stays.
                let mut going = self.conns.values().filter(|c| c.leaving).count();
                while going < GOING && self.make_room(wire, true) {
                    going += 1;
                }
            }
            Event::Linked(n, sender) => {
                if self.link.replace((n, sender)).is_some() {
                    // Moved: what the old link still held is asked for again on this one.
                    self.agent.lost();
                }
                self.node.counters.links += 1;
                let mut out = BytesMut::new();
                self.agent.linked(&mut out);
                self.say(out);
            }
            Event::Unlinked(n, end) => {
                if self.link.as_ref().is_some_and(|l| l.0 == n) {
                    eprintln!("agent link: {end}");
                    self.link = None;
                    self.agent.lost();
                }
            }
            Event::Said(n, notice) => {
                if self.link.as_ref().is_some_and(|l| l.0 == n) {
                    self.said(now, notice)?;
                }
            }
            Event::Called(ticket, end, body) => {
                self.calls.remove(&ticket);
                self.node.take(now, Input::CallEnded(ticket, end, body), &mut self.out);
            }
            Event::Ran(name, end, result) => {
                if self.runs.remove(&name).is_some() {
                    self.node.take(now, Input::RunEnded { name, end, result }, &mut self.out);
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
                if !self.node.started() {
                    self.start(cold)?;
                }
                return Ok(());
            }
            Some(Notice::Outcome { name, end, result, .. }) => Input::RunEnded { name, end, result },
            Some(Notice::Request { n, name, body }) => Input::NeedsCall { name, notice: n, body },
            Some(Notice::Sampled { tag, values }) => Input::Gauges(tag, gauges(&self.gauge_names, &values)),
            Some(Notice::Exercised { tag, ok }) => Input::Exercised(tag, ok),
            Some(Notice::Refusal { command, name }) => {
                eprintln!("agent refused: {command} {name}");
                if command == "launch" { Input::LaunchRefused(name) } else { Input::CommandRefused }
            }
            Some(Notice::Aside { .. }) => return Ok(()),
        };
        self.node.take(now, input, &mut self.out);
        Ok(())
    }

    fn say(&mut self, out: BytesMut) {
        let Some((n, link)) = &self.link else { return };
        if !out.is_empty() && link.try_send(out.freeze()).is_err() {
            // It reads nothing: a new link replays what this one may have lost.
            eprintln!("agent link {n}: {}", End::Stalled);
            self.link = None;
            self.agent.lost();
        }
    }

    fn accepted(&mut self, wire: Wire, stream: TcpStream, permit: tokio::sync::OwnedSemaphorePermit) {
        let room = match (wire, &self.uwsgi) {
            (Wire::Uwsgi, Some((u, _))) => u.limits.connections.min(self.config.limits.sockets / 8),
            _ => self.caller_room(),
        };
        if self.conns.values().filter(|c| c.wire == wire).count() >= room && !self.make_room(wire, false) {
            // All are waiting for an answer: closing this one at once tells its caller to go elsewhere.
            *self.node.counters.closed.entry((wire, End::Crowded)).or_default() += 1;
            return;
        }
        self.next_conn += 1;
        let conn = self.next_conn;
        let (replies, inbox) = mpsc::channel(REPLIES);
        let since = self.clock.now();
        self.conns.insert(conn, Conn { wire, replies, since, asked: false, leaving: false });
        self.node.connections = self.conns.len();
        let (events, settings, id) = (self.events.clone(), self.settings.clone(), (wire, conn));
        let held = (permit, self.alive.clone());
        // A quarter of the memory for what slow readers leave unread.
        let memory = (self.config.limits.memory_mb << 20) as usize;
        let owed_max = driver::owed_max(memory / 4, self.caller_room());
        match (wire, &self.uwsgi) {
            (Wire::Uwsgi, Some((u, _))) => {
                let session = Gateway::new(conn, settings, u.clone());
                let codec = Gateway::codec(u);
                tokio::task::spawn_local(async move {
                    driver::serve(id, stream, session, codec, events, inbox, owed_max).await;
                    drop(held);
                });
            }
            _ => {
                let session = Caller::new(conn, settings);
                tokio::task::spawn_local(async move {
                    driver::serve(id, stream, session, ValueCodec::default(), events, inbox, owed_max).await;
                    drop(held);
                });
            }
        }
    }

    fn tell(&mut self, conn: u64, reply: Reply) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.since = self.clock.now();
        }
        let full = self.conns.get(&conn).is_some_and(|c| c.replies.try_send(reply).is_err());
        if full {
            // It does not read its answers: dropping the sender ends it.
            self.conns.remove(&conn);
        }
    }

    fn tell_all(&mut self, reply: impl Fn(Wire) -> Reply) {
        let all: Vec<(u64, Wire)> = self.conns.iter().map(|(n, c)| (*n, c.wire)).collect();
        for (conn, wire) in all {
            self.tell(conn, reply(wire));
        }
    }

    fn dispatch(&mut self, now: Micros) {
        let mut to_agent = BytesMut::new();
        // What is carried out may say more itself.
        while !self.out.is_empty() {
            for output in std::mem::take(&mut self.out) {
                self.carry_out(now, output, &mut to_agent);
            }
        }
        self.say(to_agent);
    }

    fn carry_out(&mut self, now: Micros, output: Output, to_agent: &mut BytesMut) {
        match output {
            Output::Answer(o, answer, pressure) => self.tell(o.conn, Reply::Answer(o, answer, pressure)),
            Output::Health(o, ok, pressure) => self.tell(o.conn, Reply::Health(o, ok, pressure)),
            Output::Launch { wire: Wire::Msgpack, name, class, body } => {
                let class = self.settings.classes[class.0].name.clone();
                self.agent.command(&name, Command::Launch { class, body }, to_agent);
            }
            Output::Launch { wire: Wire::Uwsgi, name, body, .. } => self.run_upstream(name, body),
            Output::Freeze(Wire::Msgpack, name) => {
                self.agent.command(&name, Command::Freeze, to_agent);
            }
            Output::Freeze(Wire::Uwsgi, name) => {
                // The server may go on; here nobody waits for it any more.
                if let Some(run) = self.runs.remove(&name) {
                    run.abort();
                    let end = Input::RunEnded { name, end: Outcome::Cancelled, result: Bytes::new() };
                    self.node.take(now, end, &mut self.out);
                }
            }
            Output::Deliver(name, body) => {
                self.agent.command(&name, Command::Deliver(body), to_agent);
            }
            Output::Forgo(name, n) => self.agent.command(&name, Command::Forgo(n), to_agent),
            // Without a link nobody answers; the core waits only so long.
            Output::Sample(tag) => _ = self.agent.ask("sample", &tag, to_agent),
            Output::Exercise(tag) => _ = self.agent.ask("exercise", &tag, to_agent),
            Output::Call { ticket, name, until, body, once } => {
                let limit_ms = (until - now).0.div_ceil(1000).max(1);
                self.call(ticket, Call { name, limit_ms, body, once });
            }
            Output::Abandon(ticket) => {
                if let Some(call) = self.calls.remove(&ticket) {
                    call.abort();
                }
            }
            Output::Good(good) => {
                let mode = if good { Mode::Open } else { Mode::Closed };
                self.mode.send_if_modified(|m| std::mem::replace(m, mode) != mode);
            }
            Output::CloseIdle(span) => {
                // Only those that may be idle are woken. One that is told in vain, as its queue is full, loses nothing.
                for c in self.conns.values().filter(|c| c.since + span <= now) {
                    let _ = c.replies.try_send(Reply::CloseIdle(span));
                }
            }
            Output::LastCall => self.tell_all(|_| Reply::LastCall),
            Output::Log(text) => eprintln!("{text}"),
        }
    }

    fn run_upstream(&mut self, name: String, packet: Bytes) {
        let Some((_, servers)) = &self.uwsgi else { return };
        let (events, servers, run) = (self.events.clone(), servers.clone(), name.clone());
        let task = tokio::task::spawn_local(async move {
            let (end, reply) = servers.run(packet).await;
            let _ = events.send(Event::Ran(run, end, reply)).await;
        });
        self.runs.insert(name, task);
    }

    fn call(&mut self, ticket: u64, call: Call) {
        let events = self.events.clone();
        let pool = self.pool.clone();
        let task = tokio::task::spawn_local(async move {
            let (end, body) = pool.call(&call).await;
            let _ = events.send(Event::Called(ticket, end, body)).await;
        });
        self.calls.insert(ticket, task);
    }
}
