//! The uwsgi packet: a 4-byte header, vars, and a body of CONTENT_LENGTH bytes.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::end::End;

/// Bytes of the header: modifier1, the size of the vars (little endian), modifier2.
pub const HEADER: usize = 4;
/// Most vars in a packet.
const VARS_MAX: usize = 512;

/// Vars by name, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Vars(Vec<(Bytes, Bytes)>);

impl Vars {
    /// A var's value; the last one counts where a name comes twice.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.0.iter().rev().find(|(k, _)| k == name.as_bytes()).map(|(_, v)| &v[..])
    }

    /// All of them, in their order.
    pub fn iter(&self) -> std::slice::Iter<'_, (Bytes, Bytes)> {
        self.0.iter()
    }

    /// Reads the pairs of a packet.
    ///
    /// # Errors
    /// Lengths that do not fit the block, an empty name, or too many pairs.
    pub fn parse(mut block: Bytes) -> Result<Vars, End> {
        fn text(block: &mut Bytes) -> Result<Bytes, End> {
            let size = block.try_get_u16_le().map_err(|_| End::Malformed)?;
            if block.len() < usize::from(size) {
                Err(End::Malformed)
            } else {
                Ok(block.split_to(size.into()))
            }
        }
        let mut vars = Vec::new();
        while !block.is_empty() {
            let (key, value) = (text(&mut block)?, text(&mut block)?);
            if key.is_empty() || vars.len() == VARS_MAX {
                return Err(End::Malformed);
            }
            vars.push((key, value));
        }
        Ok(Vars(vars))
    }

    /// The length of the body, 0 where none is told.
    ///
    /// # Errors
    /// A length that is no number, or none that this machine could hold.
    pub fn content_length(&self) -> Result<usize, End> {
        let Some(value) = self.get("CONTENT_LENGTH").filter(|v| !v.is_empty()) else { return Ok(0) };
        let digits = value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).ok().filter(|_| digits).ok_or(End::Malformed)?;
        // More digits than a number holds is a size all the same, and too large.
        text.parse().map_err(|_| End::Oversized)
    }
}

/// The length of a packet's header and vars, once its header is there.
pub fn head_length(begun: &[u8]) -> Option<usize> {
    begun.first_chunk::<HEADER>().map(|h| HEADER + usize::from(u16::from_le_bytes([h[1], h[2]])))
}

/// Writes a packet's header and vars.
///
/// # Errors
/// Vars that no packet can hold.
pub fn write<K: AsRef<[u8]>, V: AsRef<[u8]>>(vars: &[(K, V)], out: &mut BytesMut) -> Result<(), End> {
    let mut block = BytesMut::new();
    for text in vars.iter().flat_map(|(k, v)| [k.as_ref(), v.as_ref()]) {
        block.put_u16_le(u16::try_from(text.len()).map_err(|_| End::Oversized)?);
        block.put_slice(text);
    }
    out.put_u8(0);
    out.put_u16_le(u16::try_from(block.len()).map_err(|_| End::Oversized)?);
    out.put_u8(0);
    out.put_slice(&block);
    Ok(())
}

/// A packet's parts, as they become whole.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// Header and vars: as they came, and read.
    Head(Bytes, Vars),
    /// The body.
    Body(Bytes),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    Head,
    Body(usize),
    Done,
}

/// Cuts a connection's bytes into the parts of its one packet.
#[derive(Debug)]
pub struct PacketCodec {
    reading: Reading,
    vars_max: usize,
    body_max: usize,
}

impl PacketCodec {
    /// For packets up to these sizes.
    pub fn new(vars_max: usize, body_max: usize) -> PacketCodec {
        PacketCodec { reading: Reading::Head, vars_max, body_max }
    }
}

impl Decoder for PacketCodec {
    type Item = Part;
    type Error = End;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Part>, End> {
        match self.reading {
            Reading::Head => {
                let Some(&[modifier1, low, high, modifier2]) = src.first_chunk::<HEADER>() else {
                    return Ok(None);
                };
                // Both zero: a request to the application behind. Nothing else is spoken here.
                if (modifier1, modifier2) != (0, 0) {
                    return Err(End::Malformed);
                }
                let size = usize::from(u16::from_le_bytes([low, high]));
                if size > self.vars_max {
                    return Err(End::Oversized);
                }
                if src.len() < HEADER + size {
                    return Ok(None);
                }
                let raw = src.split_to(HEADER + size).freeze();
                let vars = Vars::parse(raw.slice(HEADER..))?;
                let length = vars.content_length()?;
                if length > self.body_max {
                    return Err(End::Oversized);
                }
                self.reading = Reading::Body(length);
                Ok(Some(Part::Head(raw, vars)))
            }
            Reading::Body(length) if src.len() >= length => {
                self.reading = Reading::Done;
                Ok(Some(Part::Body(src.split_to(length).freeze())))
            }
            Reading::Body(_) => Ok(None),
            // What comes behind the packet has no meaning.
            Reading::Done => {
                src.clear();
                Ok(None)
            }
        }
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Part>, End> {
        match self.decode(src)? {
            Some(part) => Ok(Some(part)),
            None if self.reading == Reading::Done => Ok(None),
            None if self.reading == Reading::Head && src.is_empty() => Ok(None),
            None => Err(End::CutOff),
        }
    }
}
