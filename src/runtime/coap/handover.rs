//! Passing the CoAP front from the incumbent process to its successor.
//!
//! The front has one owner at a time. The incumbent stops reading, handles what it has read, and sends the front's state; from
//! then on it answers no device, and passes on the answers of the requests that are still open. Once the successor has the
//! state, the incumbent gives up the socket, of which the successor has had a copy since its welcome, so that no datagram is
//! lost. A successor that does not get the whole state knows that it can't account for the devices' writes.

use bytes::Bytes;
use tracing::{info, warn};

use super::{CoapDriver, Ownership};
use crate::front::coap::transfer::{FrontState, FrontTransfer, TRANSFER_BYTES_MAX};
use crate::interface::Micros;
use crate::node::Answer;
use crate::runtime::Runtime;
use crate::runtime::hot_restart::BarrierWaiter;
use crate::service::handover::{HandoverMessage, MAX_RESULT_BYTES};
use crate::time::process;

/// A transfer as the messages that carry it; `None` if it is too large.
fn to_messages(transfer: &FrontTransfer) -> Option<Vec<HandoverMessage>> {
    let mut rest = transfer.encode()?;
    let mut messages = Vec::new();
    while rest.len() > MAX_RESULT_BYTES {
        messages.push(HandoverMessage::CoapPart { is_last: false, bytes: rest.split_to(MAX_RESULT_BYTES) });
    }
    messages.push(HandoverMessage::CoapPart { is_last: true, bytes: rest });
    Some(messages)
}

impl CoapDriver {
    /// Whether this process is passing the front on and may not end yet.
    pub fn is_passing_on(&self) -> bool {
        matches!(self.ownership, Ownership::StopsReading | Ownership::AwaitsReceipt)
    }

    /// Whether another process answers the devices, so that answers go to it.
    fn has_passed_on(&self) -> bool {
        matches!(self.ownership, Ownership::AwaitsReceipt | Ownership::PassedOn)
    }

    fn release_socket(&mut self) {
        self.flush();
        self.socket = None;
        self.ownership = Ownership::PassedOn;
    }

    /// Makes this process the owner, of a front that it has taken over or of a new one.
    fn take_ownership(&mut self) {
        self.ownership = Ownership::Owner;
        self.incoming = Vec::new();
    }
}

impl Runtime {
    /// The format in which this process passes on a CoAP front or takes one over; 0 without such a front.
    pub(in crate::runtime) fn coap_transfer_format(&self) -> u32 {
        if self.coap.is_some() { crate::front::coap::transfer::TRANSFER_FORMAT } else { 0 }
    }

    /// Begins to pass the front on to the successor. False if this process is not its owner, or no successor can take it.
    pub(in crate::runtime) fn pass_coap_on(&mut self) -> bool {
        let has_taker = self.can_pass_coap_on();
        let can_pass = |driver: &CoapDriver| {
            has_taker && driver.ownership == Ownership::Owner && !driver.is_too_large_to_pass
        };
        let Some(driver) = self.coap.as_mut().filter(|driver| can_pass(driver)) else {
            return false;
        };
        driver.ownership = Ownership::StopsReading;
        if driver.receive_task.take().is_some() {
            // The task passes on what it has read, and then reports that it has ended.
            driver.stop_reading.notify_one();
        } else {
            self.coap_reading_stopped();
        }
        true
    }

    /// All datagrams that this process has read are handled: the state is final and goes to the successor.
    pub(in crate::runtime) fn coap_reading_stopped(&mut self) {
        let Some(driver) = self.coap.as_mut().filter(|d| d.ownership == Ownership::StopsReading) else {
            return;
        };
        driver.flush();
        if !self.can_pass_coap_on() {
            // The successor has ended meanwhile.
            return self.resume_coap();
        }
        let Some(driver) = &mut self.coap else { return };
        let state = driver.front.export(process::now());
        let (exchanges, open) = state.counts();
        let Some(messages) = to_messages(&FrontTransfer::State(Box::new(state))) else {
            warn!(exchanges, open, "coap: the front is too large to pass on");
            driver.is_too_large_to_pass = true;
            return self.resume_coap();
        };
        driver.ownership = Ownership::AwaitsReceipt;
        info!(exchanges, open, parts = messages.len(), "coap: the front goes to the successor");
        self.send_with_barrier(messages, BarrierWaiter::CoapFront);
    }

    fn resume_coap(&mut self) {
        let Some(driver) = &mut self.coap else { return };
        driver.take_ownership();
        if self.is_finishing {
            return self.close_coap();
        }
        driver.start_reading(self.events.clone());
    }

    /// The successor has the state: this process gives up the socket.
    pub(in crate::runtime) fn coap_state_received(&mut self) {
        if let Some(driver) = self.coap.as_mut().filter(|d| d.ownership == Ownership::AwaitsReceipt) {
            driver.release_socket();
            info!("coap: the successor has the front");
            self.send_to_peer(vec![HandoverMessage::CoapReleased]);
        }
    }

    /// Passes an answer to the front, or to the process that has it.
    pub(in crate::runtime) fn answer_coap(&mut self, now: Micros, number: u64, answer: &Answer) {
        if self.coap.as_ref().is_some_and(CoapDriver::has_passed_on) {
            let transfer = FrontTransfer::Answer { number, answer: answer.into() };
            // One that is too large is not sent; the request fails when this process ends.
            return self.send_to_peer(to_messages(&transfer).unwrap_or_default());
        }
        self.with_coap(now, |front, out| front.answer(now, number, answer, out));
    }

    /// Handles a part of a transfer from the incumbent.
    pub(in crate::runtime) fn receive_coap_part(&mut self, now: Micros, is_last: bool, bytes: &Bytes) {
        let Some(driver) = &mut self.coap else { return };
        if driver.incoming.len() + bytes.len() > TRANSFER_BYTES_MAX {
            return self.give_up_link("its CoAP front is too large to take over");
        }
        driver.incoming.extend_from_slice(bytes);
        if !is_last {
            return;
        }
        match FrontTransfer::decode(&std::mem::take(&mut driver.incoming)) {
            Some(FrontTransfer::State(state)) => self.take_coap_over(now, *state),
            Some(FrontTransfer::Answer { number, answer }) => {
                let answer = Answer::from(answer);
                self.with_coap(now, |front, out| front.answer(now, number, &answer, out));
            }
            None => {
                self.give_up_link("its CoAP front can't be read");
            }
        }
    }

    fn take_coap_over(&mut self, now: Micros, state: FrontState) {
        let Some(driver) = self.coap.as_mut().filter(|d| d.ownership == Ownership::AwaitsState) else {
            return;
        };
        let (exchanges, open) = state.counts();
        info!(exchanges, open, "coap: has the state of the process before");
        driver.front.import(now, state);
        driver.ownership = Ownership::AwaitsRelease;
    }

    /// The incumbent has given up the socket: this process answers devices from now on.
    pub(in crate::runtime) fn coap_released(&mut self) {
        if let Some(driver) = self.coap.as_mut().filter(|d| d.ownership == Ownership::AwaitsRelease) {
            driver.take_ownership();
            self.open_coap_if_listening();
        }
    }

    /// The link to the other process has ended, and with it the front's way from one process to the other.
    pub(in crate::runtime) fn coap_peer_ended(&mut self, now: Micros) {
        let Some(driver) = &mut self.coap else { return };
        match driver.ownership {
            Ownership::Owner | Ownership::StopsReading | Ownership::PassedOn => {}
            Ownership::AwaitsReceipt => {
                // Whether the successor has the state is not known, so no other process may use it.
                warn!("coap: the successor has ended before it confirmed the front");
                driver.release_socket();
            }
            Ownership::AwaitsRelease => {
                driver.take_ownership();
                self.open_coap_if_listening();
            }
            Ownership::AwaitsState => {
                warn!(
                    "coap: the process before has not passed its front on; writes that it may have run fail"
                );
                driver.front.mark_unaccounted(now);
                // The incumbent may still read from this socket; the address is free once it has ended.
                driver.inherited_socket = None;
                driver.take_ownership();
                self.open_coap_if_listening();
            }
        }
        self.with_coap(now, |front, out| front.fail_transferred(now, out));
    }
}
