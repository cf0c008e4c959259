//! Receives datagrams from nodes and replicas: lease requests, membership gossip, zone health reports, version reports and
//! operators' orders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::warn;

use super::server::ReplicaServer;
use super::zone_coordinator::ZoneReportSource;
use crate::fleet::datagram::{DatagramCodec, FRAME_MAX, FleetMessage};
use crate::fleet::lease::ledger::LeaseRequest;
use crate::log::LogRateLimiter;
use crate::zone::ZoneOrder;

/// Longest wait between two checks of the membership's timers, as a received datagram may set an earlier timer.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(100);

/// The queue of lease requests that wait to be proposed, with their senders' addresses.
type RequestQueue = mpsc::Sender<(LeaseRequest, SocketAddr)>;

/// Receives datagrams until the task is aborted. Malformed ones are counted and dropped.
pub(super) async fn receive_datagrams(
    server: Arc<ReplicaServer>,
    socket: Arc<UdpSocket>,
    requests: RequestQueue,
) {
    let codec = DatagramCodec::for_fleet(&server.fleet.name);
    let (log_limiter, mut buffer, mut dropped) = (LogRateLimiter::default(), [0; FRAME_MAX + 1], 0u64);
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        match codec.decode(&buffer[..length]) {
            Ok(message) => handle_message(&server, &socket, &requests, message, from),
            Err(e) => {
                dropped += 1;
                if log_limiter.permit().is_some() {
                    warn!("datagram from {from}: {e}; {dropped} dropped so far");
                }
            }
        }
    }
}

fn handle_message(
    server: &Arc<ReplicaServer>,
    socket: &Arc<UdpSocket>,
    requests: &RequestQueue,
    message: FleetMessage,
    from: SocketAddr,
) {
    match message {
        FleetMessage::LeaseRequest(request) if server.is_leader() => {
            server.note_leaving_node(&request);
            let _ = requests.try_send((request, from));
        }
        FleetMessage::LeaseRequest(request) => {
            let redirect = FleetMessage::NotLeader { seq: request.seq, leader: server.leader() };
            send_message(server, socket, &redirect, from);
        }
        FleetMessage::Gossip(bytes) => {
            server.drive_membership(socket, |members, now, actions| {
                members.handle_message(now, &bytes, actions)
            });
        }
        FleetMessage::ZoneHealth { node, zone, epoch, reports } => {
            let answer = if server.is_leader() {
                let source = ZoneReportSource { address: from, node: &node, zone: &zone };
                server.note_zone_reports(&source, epoch, &reports).filter(|_| server.is_confirmed_leader())
            } else {
                Some(FleetMessage::NotLeader { seq: 0, leader: server.leader() })
            };
            if let Some(answer) = answer {
                send_message(server, socket, &answer, from);
            }
        }
        FleetMessage::VersionStatus(status) => {
            if let Some(answer) = server.note_version_status(status, from) {
                send_message(server, socket, &answer, from);
            }
        }
        FleetMessage::ZoneOrder { zone, order } if server.is_leader() => {
            // In a separate task, as a commit takes time. Orders come from operators and are few.
            tokio::spawn(carry_out_order(server.clone(), socket.clone(), zone, order, from));
        }
        FleetMessage::LeaseResponse(_)
        | FleetMessage::NotLeader { .. }
        | FleetMessage::Zones(_)
        | FleetMessage::ZoneOrder { .. }
        | FleetMessage::OrderRejected(_)
        | FleetMessage::NewestVersion { .. } => {}
    }
}

async fn carry_out_order(
    server: Arc<ReplicaServer>,
    socket: Arc<UdpSocket>,
    zone: String,
    order: ZoneOrder,
    from: SocketAddr,
) {
    if let Err(rejection) = server.order_zone(&socket, zone, order).await {
        send_message(&server, &socket, &FleetMessage::OrderRejected(rejection.to_string()), from);
    }
}

/// Sends a message. It is dropped if it does not fit a datagram or the socket's send buffer is full.
fn send_message(server: &ReplicaServer, socket: &UdpSocket, message: &FleetMessage, to: SocketAddr) {
    if let Ok(frame) = DatagramCodec::for_fleet(&server.fleet.name).encode(message) {
        let _ = socket.try_send_to(&frame, to);
    }
}

/// Runs the membership's timers. Nodes discover each other through the replicas, whose addresses are in the nodes' files.
pub(super) async fn run_membership(server: Arc<ReplicaServer>, socket: Arc<UdpSocket>) {
    loop {
        let wait = server
            .members()
            .next_timeout()
            .map_or(MEMBERSHIP_INTERVAL, |deadline| Duration::from_micros((deadline - server.clock.now()).0));
        sleep(wait.min(MEMBERSHIP_INTERVAL)).await;
        server.drive_membership(&socket, |members, now, actions| members.run_due_timers(now, actions));
    }
}
