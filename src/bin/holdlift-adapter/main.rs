//! Hosts many instances of the decision module and speaks the simulator's wire. Translates only.
#![forbid(unsafe_code)]

mod wire;

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use holdlift::{Action, Event, Micros, Policy, Settings};

struct Hosted {
    settings: Settings,
    policy: Policy,
    events: Vec<Event>,
    queued: bool,
}

struct Batch {
    now: Micros,
    seq: u64,
}

/// Why the stream could not go on.
enum Stop {
    Malformed(String),
    Io(io::Error),
}

impl From<String> for Stop {
    fn from(reason: String) -> Self {
        Stop::Malformed(reason)
    }
}

#[derive(Default)]
struct Host {
    /// Looked up by name only; order comes from `order`.
    instances: HashMap<String, Hosted>,
    /// Instances with events in this batch, in order of first mention.
    order: Vec<String>,
    about: Option<String>,
    batch: Option<Batch>,
    actions: Vec<Action>,
    reply: String,
}

impl Host {
    /// Takes one line; the reply is complete when this returns true.
    fn line(&mut self, line: &str) -> Result<bool, Stop> {
        let (name, fields) = wire::split(line)?;
        match name {
            "TICK" => {
                if self.batch.is_some() {
                    return Err("TICK within a batch".to_owned().into());
                }
                self.batch = Some(Batch { now: Micros(fields.int("moment-us")?), seq: fields.int("seq")? });
                return Ok(false);
            }
            _ if self.batch.is_none() => return Err(format!("{name} outside a batch").into()),
            "EOF_BATCH" => {
                self.answer()?;
                return Ok(true);
            }
            "ABOUT" => {
                self.about = Some(fields.text("who")?.to_owned());
                return Ok(false);
            }
            _ => {}
        }
        let who = self.about.as_deref().ok_or_else(|| format!("{name} before ABOUT"))?;
        match name {
            "OPEN_INSTANCE" => {
                let settings = holdlift::settings::from_text(fields.text("params")?)?;
                let policy =
                    Policy::new(settings.clone(), fields.int("random-seed")?).map_err(|e| e.to_string())?;
                self.order.retain(|w| w != who);
                self.order.push(who.to_owned());
                self.instances
                    .insert(who.to_owned(), Hosted { settings, policy, events: Vec::new(), queued: true });
            }
            "HALT" => {
                self.instances.remove(who);
                self.order.retain(|w| w != who);
            }
            _ => {
                let hosted =
                    self.instances.get_mut(who).ok_or_else(|| format!("{name} for {who}, not open"))?;
                hosted.events.push(wire::event(name, &fields, &hosted.settings)?);
                if !hosted.queued {
                    hosted.queued = true;
                    self.order.push(who.to_owned());
                }
            }
        }
        Ok(false)
    }

    fn answer(&mut self) -> Result<(), Stop> {
        let Some(batch) = self.batch.take() else { return Ok(()) };
        self.reply.clear();
        self.about = None;
        for who in std::mem::take(&mut self.order) {
            let Some(hosted) = self.instances.get_mut(&who) else { continue };
            self.actions.clear();
            let (policy, events, actions) = (&mut hosted.policy, &hosted.events, &mut self.actions);
            let stepped = panic::catch_unwind(AssertUnwindSafe(|| policy.step(batch.now, events, actions)));
            hosted.events.clear();
            hosted.queued = false;
            match stepped {
                Ok(Ok(())) => {}
                Ok(Err(e)) => return Err(format!("{who}: {e}").into()),
                Err(cause) => {
                    let text = cause
                        .downcast_ref::<String>()
                        .map(String::as_str)
                        .or_else(|| cause.downcast_ref::<&str>().copied())
                        .unwrap_or("panic");
                    let text = text.replace(['\n', '\r'], " ");
                    let _ = writeln!(self.reply, "ON_BEHALF who={who}\nEXCEPTION reason-text={text}");
                    continue;
                }
            }
            if !self.actions.is_empty() {
                let _ = writeln!(self.reply, "ON_BEHALF who={who}");
                for a in &self.actions {
                    wire::action(&mut self.reply, a);
                }
            }
        }
        let _ = writeln!(self.reply, "END seq={}", batch.seq);
        Ok(())
    }
}

fn serve(input: &mut impl BufRead, output: &mut impl Write, at: &mut u64) -> Result<(), Stop> {
    let mut host = Host::default();
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes).map_err(Stop::Io)? == 0 {
            return match host.batch {
                Some(_) => Err("input ends within a batch".to_owned().into()),
                None => Ok(()),
            };
        }
        *at += 1;
        let line = std::str::from_utf8(&bytes).map_err(|_| "not UTF-8".to_owned())?;
        let Some(line) = line.strip_suffix('\n') else {
            return Err("input ends within a line".to_owned().into());
        };
        let line = line.strip_suffix('\r').unwrap_or(line);
        if host.batch.is_none() && line.is_empty() {
            continue;
        }
        if host.line(line)? {
            output.write_all(host.reply.as_bytes()).and_then(|()| output.flush()).map_err(Stop::Io)?;
        }
    }
}

fn main() -> ExitCode {
    panic::set_hook(Box::new(|_| {}));
    let mut at = 0;
    let mut input = io::BufReader::with_capacity(1 << 18, io::stdin().lock());
    let mut output = io::BufWriter::with_capacity(1 << 18, io::stdout().lock());
    match serve(&mut input, &mut output, &mut at) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Stop::Malformed(reason)) => {
            eprintln!("holdlift-adapter: line {at}: {}", reason.replace(['\n', '\r'], " "));
            ExitCode::from(2)
        }
        Err(Stop::Io(e)) => {
            eprintln!("holdlift-adapter: line {at}: {e}");
            ExitCode::from(1)
        }
    }
}
