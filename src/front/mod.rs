//! The fronts: one state machine for each protocol, which does no input or output of its own, behind a shared driver.

pub mod coap;
pub mod driver;
pub mod msgpack;
mod out;
mod socket;
pub mod uwsgi;

use std::cell::RefCell;
use std::rc::Rc;

use tokio_util::codec::Decoder;

use crate::door::ConnectionCommand;
use crate::end::End;
use crate::interface::{Micros, Settings};
use crate::node::{Answer, FrontId, Input, ResponseRoute};
pub use out::OutputBuffer;

/// The protocol that a front speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Wire {
    /// The platform's MessagePack-RPC; the render farm agent does the work.
    Msgpack,
    /// uwsgi; the inventory's servers do the work.
    Uwsgi,
    /// CoAP over UDP; the inventory's servers do the work.
    Coap,
}

impl Wire {
    /// The identifier of the front in the core.
    pub fn front(self) -> FrontId {
        FrontId(match self {
            Wire::Msgpack => "Msgpack",
            Wire::Uwsgi => "Uwsgi",
            Wire::Coap => "Coap",
        })
    }
}

/// A message of the core, or of connection admission, to one connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The answer to a request, and the load to report with it.
    Answer(ResponseRoute, Answer, Option<f64>),
    /// The answer to a health check, and the load to report with it.
    Health(ResponseRoute, bool, Option<f64>),
    /// The peer is to send no new requests on this connection.
    LastCall,
    /// Close if no request is open and no message has passed in either direction for this long.
    CloseIdle(Micros),
    /// A command of connection admission.
    Admission(ConnectionCommand),
    /// Answer every request and send all output, then close.
    Finish,
}

/// The protocol state of one connection of a front.
pub trait Session {
    /// Decodes bytes into messages.
    type Codec: Decoder<Error = End> + Send;

    /// Handles a message; may answer it at once by writing to `out`.
    ///
    /// # Errors
    /// The reason to end the connection, where it can't continue after this message.
    fn read(
        &mut self,
        now: Micros,
        item: <Self::Codec as Decoder>::Item,
        out: &mut OutputBuffer,
    ) -> Result<Option<Input>, End>;

    /// Writes a reply to `out`. True once the session needs the connection no longer.
    fn write(&mut self, reply: Reply, out: &mut OutputBuffer) -> bool;

    /// Requests read and not yet answered.
    fn open_requests(&self) -> usize;

    /// Whether a part of a request has been read and the rest is still to come.
    fn request_partially_read(&self) -> bool {
        false
    }

    /// Why the session reads nothing more, where that is so. The connection closes once all is answered and sent.
    fn reading_over(&self) -> Option<End> {
        None
    }

    /// Writes an error response, if the protocol has one, before the connection is closed for invalid input.
    fn write_error_response(&mut self, _end: End, _out: &mut OutputBuffer) {}

    /// How long the next message, partially read (`begun`) or not yet begun, may take to be complete, and the reason
    /// to end a connection on which it takes longer.
    fn read_timeout(&self, begun: bool) -> Option<(std::time::Duration, End)>;

    /// Bytes of a partial request that the session holds, without those still in the input buffer.
    fn partial_bytes(&self) -> usize {
        0
    }

    /// Bytes still missing from the current message, where `begun`, the part in the input buffer, tells its length.
    fn missing_bytes(&self, _begun: &[u8]) -> Option<usize> {
        None
    }

    /// The deadline of the class of the request being read; the longest of all classes while the class is unknown.
    fn deadline(&self) -> Micros;

    /// Whether the end of the input means that the peer is gone, rather than that it has closed only its sending side.
    fn eof_is_disconnect(&self) -> bool {
        true
    }
}

/// The settings in force, shared by the sessions of all connections: a reload applies from the next message on.
#[derive(Clone, Debug)]
pub struct CurrentSettings(Rc<RefCell<Rc<Settings>>>);

impl CurrentSettings {
    /// Starts with these settings.
    pub fn new(settings: Settings) -> CurrentSettings {
        CurrentSettings(Rc::new(RefCell::new(Rc::new(settings))))
    }

    /// The current settings.
    pub fn get(&self) -> Rc<Settings> {
        self.0.borrow().clone()
    }

    /// Replaces the settings for every holder of a clone.
    pub fn set(&self, settings: Settings) {
        *self.0.borrow_mut() = Rc::new(settings);
    }
}
