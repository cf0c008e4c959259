//! Where hosts of hollow nodes run: each in a process of its own, so that its processor time can be told apart, or in a
//! thread of this one. Either ends with whoever holds it; a process also ends when its standard input does, so that none
//! is left over where the holder was killed.

use std::io::{BufRead, Write};
use std::process::{Child, Command, Stdio};

use tokio::sync::mpsc;

use super::hollow_host::{Order, Report, serve};

/// A host, wherever it runs.
pub struct Host {
    orders: mpsc::Sender<Order>,
    reports: mpsc::Receiver<Report>,
    child: Option<Child>,
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

type Ends = ((mpsc::Sender<Order>, mpsc::Receiver<Order>), (mpsc::Sender<Report>, mpsc::Receiver<Report>));

fn ends() -> Ends {
    (mpsc::channel(4), mpsc::channel(4))
}

/// Serves on this thread until the orders end.
fn run(orders: mpsc::Receiver<Order>, reports: mpsc::Sender<Report>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, serve(orders, reports));
}

impl Host {
    /// In a thread of this process.
    #[must_use]
    pub fn thread() -> Host {
        let ((orders, told), (says, reports)) = ends();
        std::thread::spawn(move || run(told, says));
        Host { orders, reports, child: None }
    }

    /// In a process of its own: this program, told to be one.
    ///
    /// # Errors
    /// It can't be started.
    pub fn process() -> std::io::Result<Host> {
        let program = std::env::current_exe()?;
        let mut child = Command::new(program)
            .args(["scale", "hollow"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let (stdin, stdout) = (child.stdin.take(), child.stdout.take());
        let ((orders, mut told), (says, reports)) = ends();
        let none = || std::io::Error::from(std::io::ErrorKind::BrokenPipe);
        let (mut stdin, stdout) = (stdin.ok_or_else(none)?, stdout.ok_or_else(none)?);
        std::thread::spawn(move || {
            while let Some(order) = told.blocking_recv() {
                let Ok(line) = serde_json::to_string(&order) else { return };
                if writeln!(stdin, "{line}").and_then(|()| stdin.flush()).is_err() {
                    return;
                }
            }
        });
        std::thread::spawn(move || {
            for line in std::io::BufReader::new(stdout).lines() {
                let Ok(line) = line else { return };
                let report = serde_json::from_str(&line).unwrap_or_else(|e| Report::Failed(e.to_string()));
                if says.blocking_send(report).is_err() {
                    return;
                }
            }
        });
        Ok(Host { orders, reports, child: Some(child) })
    }

    /// The system's number of its process, where it has one of its own.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Tells it something, and waits for the answer.
    ///
    /// # Errors
    /// It is gone, or says that it could not.
    pub async fn tell(&mut self, order: Order) -> Result<Report, String> {
        let gone = || "a host of hollow nodes is gone".to_owned();
        self.orders.send(order).await.map_err(|_| gone())?;
        match self.reports.recv().await.ok_or_else(gone)? {
            Report::Failed(why) => Err(why),
            report => Ok(report),
        }
    }
}

/// What the process of a host does: orders come by lines on the standard input, reports go by lines on the output.
pub fn main() {
    let ((orders, told), (says, mut reports)) = ends();
    let serving = std::thread::spawn(move || run(told, says));
    std::thread::spawn(move || {
        while let Some(report) = reports.blocking_recv() {
            let Ok(line) = serde_json::to_string(&report) else { continue };
            let mut out = std::io::stdout().lock();
            if writeln!(out, "{line}").and_then(|()| out.flush()).is_err() {
                return;
            }
        }
    });
    for line in std::io::stdin().lines() {
        let Ok(order) = line.map_err(drop).and_then(|l| serde_json::from_str(&l).map_err(drop)) else {
            break;
        };
        if orders.blocking_send(order).is_err() {
            break;
        }
    }
    drop(orders);
    let _ = serving.join();
}
