//! Whether another process of this node still runs.
//!
//! The end of a link does not show the end of the process at its other end: either side may give a link up. The system does
//! show it, at a descriptor of the process (`pidfd_open(2)`).

use std::os::fd::OwnedFd;
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::process::{Pid, PidfdFlags, pidfd_open};
use tokio::net::UnixStream;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::PeerLinkEvent;
use crate::runtime::Event;

/// Pause between two looks at whether a process has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A descriptor of another process. It can be read from once that process has ended.
#[derive(Debug)]
pub(in crate::runtime) struct ProcessDescriptor(OwnedFd);

impl ProcessDescriptor {
    /// The process at the other end of a Unix socket; `None` where the system does not tell.
    pub fn of_peer(stream: &UnixStream) -> Option<ProcessDescriptor> {
        let pid = Pid::from_raw(stream.peer_cred().ok()?.pid()?)?;
        pidfd_open(pid, PidfdFlags::empty()).ok().map(ProcessDescriptor)
    }

    /// Whether the process has ended. One that can't be asked about counts as ended.
    fn has_ended(&self) -> bool {
        let mut descriptors = [PollFd::new(&self.0, PollFlags::IN)];
        poll(&mut descriptors, Some(&Timespec::default())) != Ok(0)
    }
}

/// Reports the end of the process at the other end of a link.
pub(super) async fn report_end(link_id: u64, process: ProcessDescriptor, events: mpsc::Sender<Event>) {
    while !process.has_ended() {
        sleep(CHECK_INTERVAL).await;
    }
    let _ = events.send(Event::Handover(PeerLinkEvent::ProcessEnded(link_id))).await;
}
