//! Datagrams from nodes and members: lease requests, membership, zone health reports, version reports, operators' orders.

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

/// Longest pause between two looks at the membership, as a datagram may make something due.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(100);

/// Where lease requests wait to be proposed.
type RequestQueue = mpsc::Sender<(LeaseRequest, SocketAddr)>;

/// Receives datagrams for as long as the process lives. Malformed ones are counted and dropped.
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
            send(server, socket, &redirect, from);
        }
        FleetMessage::Gossip(bytes) => {
            server.drive_membership(socket, |members, now, actions| {
                members.handle_message(now, &bytes, actions)
            });
        }
        FleetMessage::ZoneHealth { node, zone, epoch, reports: seen } => {
            let answer = if server.is_leader() {
                let source = ZoneReportSource { address: from, node: &node, zone: &zone };
                server.note_zone_reports(&source, epoch, &seen).filter(|_| server.is_confirmed_leader())
            } else {
                Some(FleetMessage::NotLeader { seq: 0, leader: server.leader() })
            };
            if let Some(answer) = answer {
                send(server, socket, &answer, from);
            }
        }
        FleetMessage::VersionStatus(status) => {
            if let Some(answer) = server.note_version_status(status, from) {
                send(server, socket, &answer, from);
            }
        }
        FleetMessage::ZoneOrder { zone, order } if server.is_leader() => {
            // In a task of its own: a commit takes its time. Orders come from operators, and are few.
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
        send(&server, &socket, &FleetMessage::OrderRejected(rejection.to_string()), from);
    }
}

/// Sends a message; one that does not fit a datagram, or that the socket has no room for, is lost.
fn send(server: &ReplicaServer, socket: &UdpSocket, message: &FleetMessage, to: SocketAddr) {
    if let Ok(frame) = DatagramCodec::for_fleet(&server.fleet.name).encode(message) {
        let _ = socket.try_send_to(&frame, to);
    }
}

/// Drives the membership's timers. Nodes find each other through the replicas, whose addresses are in their files.
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
