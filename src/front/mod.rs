//! The fronts: each a state machine that is fed messages and knows no socket, behind one thin driver.

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
pub use out::Out;

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
    /// The front as the core knows it.
    pub fn front(self) -> FrontId {
        FrontId(match self {
            Wire::Msgpack => "Msgpack",
            Wire::Uwsgi => "Uwsgi",
            Wire::Coap => "Coap",
        })
    }
}

/// What the core has for one connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The answer to a request.
    Answer(ResponseRoute, Answer, Option<f64>),
    /// The answer to a health check.
    Health(ResponseRoute, bool, Option<f64>),
    /// No new request is wanted here.
    LastCall,
    /// Close if nothing is open and nothing has been said for this long.
    CloseIdle(Micros),
    /// What the door wants.
    Admission(ConnectionCommand),
    /// Send what is owed, then close.
    Finish,
}

/// One connection of a front.
pub trait Session {
    /// Cuts the bytes into messages.
    type Codec: Decoder<Error = End> + Send;

    /// Takes a message; may answer it on the spot by writing to `out`.
    ///
    /// # Errors
    /// The end of the connection, where the message allows no going on.
    fn read(
        &mut self,
        now: Micros,
        item: <Self::Codec as Decoder>::Item,
        out: &mut Out,
    ) -> Result<Option<Input>, End>;

    /// Writes what the core has for this connection. True once the connection has served its purpose.
    fn write(&mut self, reply: Reply, out: &mut Out) -> bool;

    /// Requests read and not yet answered.
    fn open(&self) -> usize;

    /// Whether a part of a request has been taken in and the rest is still to come.
    fn midway(&self) -> bool {
        false
    }

    /// The end of a connection that takes in nothing more, and closes once all is answered and sent.
    fn over(&self) -> Option<End> {
        None
    }

    /// What to say, if anything, before a connection is closed because of what was read from it.
    fn complain(&mut self, _end: End, _out: &mut Out) {}

    /// How long the next message may take to arrive whole, where it has been `begun` or is awaited; and the end of a
    /// connection on which it does not.
    fn patience(&self, begun: bool) -> Option<(std::time::Duration, End)>;

    /// Bytes of a half-read request that the session keeps; what is still in the buffer does not count.
    fn kept(&self) -> usize {
        0
    }

    /// Bytes that the message which is coming in still lacks, where `begun`, what there is of it, tells.
    fn missing(&self, _begun: &[u8]) -> Option<usize> {
        None
    }

    /// The deadline of the class of the request that is coming in; the longest of all while it is not known.
    fn deadline(&self) -> Micros;

    /// Whether the end of what the peer sends means that it is gone, rather than done speaking.
    fn eof_is_gone(&self) -> bool {
        true
    }
}

/// The settings in force, as all connections' sessions see them: a reload shows from the next message on.
#[derive(Clone, Debug)]
pub struct CurrentSettings(Rc<RefCell<Rc<Settings>>>);

impl CurrentSettings {
    /// These.
    pub fn new(settings: Settings) -> CurrentSettings {
        CurrentSettings(Rc::new(RefCell::new(Rc::new(settings))))
    }

    /// Those of now.
    pub fn get(&self) -> Rc<Settings> {
        self.0.borrow().clone()
    }

    /// Others from now on.
    pub fn set(&self, settings: Settings) {
        *self.0.borrow_mut() = Rc::new(settings);
    }
}
