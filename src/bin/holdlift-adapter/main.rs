//! Adapter between the simulator and the decision module: hosts many instances of the module and translates between the
//! simulator's line protocol and the module's events and actions. It takes no decisions.
#![forbid(unsafe_code)]

mod wire;

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use holdlift::{Action, Event, Micros, Policy, Settings};

/// One instance of the decision module.
struct Instance {
    settings: Settings,
    policy: Policy,
    events: Vec<Event>,
    /// Whether `order` lists it for the current batch.
    queued: bool,
}

struct Batch {
    now: Micros,
    seq: u64,
}

/// Why the input can't be processed further.
enum StreamError {
    Malformed(String),
    Io(io::Error),
}

impl From<String> for StreamError {
    fn from(reason: String) -> Self {
        StreamError::Malformed(reason)
    }
}

#[derive(Default)]
struct Host {
    /// By name. Never iterated, as the map's order is not deterministic: `order` gives the order.
    instances: HashMap<String, Instance>,
    /// Instances with events in this batch, in order of first mention.
    order: Vec<String>,
    /// The instance that the following lines address.
    addressed: Option<String>,
    batch: Option<Batch>,
    actions: Vec<Action>,
    reply: String,
}

impl Host {
    /// Processes one line; returns true at the end of a batch, when the reply is complete.
    fn process_line(&mut self, line: &str) -> Result<bool, StreamError> {
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
                self.finish_batch()?;
                return Ok(true);
            }
            "ABOUT" => {
                self.addressed = Some(fields.text("who")?.to_owned());
                return Ok(false);
            }
            _ => {}
        }
        let instance = self.addressed.as_deref().ok_or_else(|| format!("{name} before ABOUT"))?;
        match name {
            "OPEN_INSTANCE" => {
                let settings = holdlift::settings::from_text(fields.text("params")?)?;
                let policy =
                    Policy::new(settings.clone(), fields.int("random-seed")?).map_err(|e| e.to_string())?;
                self.order.retain(|name| name != instance);
                self.order.push(instance.to_owned());
                self.instances.insert(
                    instance.to_owned(),
                    Instance { settings, policy, events: Vec::new(), queued: true },
                );
            }
            "HALT" => {
                self.instances.remove(instance);
                self.order.retain(|name| name != instance);
            }
            _ => {
                let hosted = self
                    .instances
                    .get_mut(instance)
                    .ok_or_else(|| format!("{name} for {instance}, not open"))?;
                hosted.events.push(wire::event(name, &fields, &hosted.settings)?);
                if !hosted.queued {
                    hosted.queued = true;
                    self.order.push(instance.to_owned());
                }
            }
        }
        Ok(false)
    }

    /// Steps each instance with its events of the batch and writes the reply.
    fn finish_batch(&mut self) -> Result<(), StreamError> {
        let Some(batch) = self.batch.take() else { return Ok(()) };
        self.reply.clear();
        self.addressed = None;
        for instance in std::mem::take(&mut self.order) {
            let Some(hosted) = self.instances.get_mut(&instance) else { continue };
            self.actions.clear();
            let (policy, events, actions) = (&mut hosted.policy, &hosted.events, &mut self.actions);
            let stepped = panic::catch_unwind(AssertUnwindSafe(|| policy.step(batch.now, events, actions)));
            hosted.events.clear();
            hosted.queued = false;
            match stepped {
                Ok(Ok(())) => {}
                Ok(Err(e)) => return Err(format!("{instance}: {e}").into()),
                Err(cause) => {
                    let text = cause
                        .downcast_ref::<String>()
                        .map(String::as_str)
                        .or_else(|| cause.downcast_ref::<&str>().copied())
                        .unwrap_or("panic");
                    let text = text.replace(['\n', '\r'], " ");
                    let _ = writeln!(self.reply, "ON_BEHALF who={instance}\nEXCEPTION reason-text={text}");
                    continue;
                }
            }
            if !self.actions.is_empty() {
                let _ = writeln!(self.reply, "ON_BEHALF who={instance}");
                for a in &self.actions {
                    wire::action(&mut self.reply, a);
                }
            }
        }
        let _ = writeln!(self.reply, "END seq={}", batch.seq);
        Ok(())
    }
}

/// Processes the input to its end; `line_number` counts lines from 1.
fn serve(
    input: &mut impl BufRead,
    output: &mut impl Write,
    line_number: &mut u64,
) -> Result<(), StreamError> {
    let mut host = Host::default();
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes).map_err(StreamError::Io)? == 0 {
            return match host.batch {
                Some(_) => Err("input ends within a batch".to_owned().into()),
                None => Ok(()),
            };
        }
        *line_number += 1;
        let line = std::str::from_utf8(&bytes).map_err(|_| "not UTF-8".to_owned())?;
        let Some(line) = line.strip_suffix('\n') else {
            return Err("input ends within a line".to_owned().into());
        };
        let line = line.strip_suffix('\r').unwrap_or(line);
        if host.batch.is_none() && line.is_empty() {
            continue;
        }
        if host.process_line(line)? {
            output.write_all(host.reply.as_bytes()).and_then(|()| output.flush()).map_err(StreamError::Io)?;
        }
    }
}

fn main() -> ExitCode {
    panic::set_hook(Box::new(|_| {}));
    let mut line_number = 0;
    let mut input = io::BufReader::with_capacity(1 << 18, io::stdin().lock());
    let mut output = io::BufWriter::with_capacity(1 << 18, io::stdout().lock());
    match serve(&mut input, &mut output, &mut line_number) {
        Ok(()) => ExitCode::SUCCESS,
        Err(StreamError::Malformed(reason)) => {
            eprintln!("holdlift-adapter: line {line_number}: {}", reason.replace(['\n', '\r'], " "));
            ExitCode::from(2)
        }
        Err(StreamError::Io(e)) => {
            eprintln!("holdlift-adapter: line {line_number}: {e}");
            ExitCode::from(1)
        }
    }
}
