//! The uwsgi packet: a 4-byte header, vars, and a body of CONTENT_LENGTH bytes.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::end::End;

/// Bytes of the header: modifier1, the size of the vars (little endian), modifier2.
pub const HEADER: usize = 4;
/// The largest number of vars in a packet.
const VARS_MAX: usize = 512;

/// Vars by name, in the order of the packet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Vars(Vec<(Bytes, Bytes)>);

impl Vars {
    /// A var's value; the last one counts where a name comes twice.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.0.iter().rev().find(|(k, _)| k == name.as_bytes()).map(|(_, v)| &v[..])
    }

    /// The names and values, in the order of the packet.
    pub fn iter(&self) -> std::slice::Iter<'_, (Bytes, Bytes)> {
        self.0.iter()
    }

    /// Parses the vars block of a packet.
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

    /// The length of the body; 0 where CONTENT_LENGTH is absent or empty.
    ///
    /// # Errors
    /// A length that is not a decimal number, or one that overflows `usize`.
    pub fn content_length(&self) -> Result<usize, End> {
        let Some(value) = self.get("CONTENT_LENGTH").filter(|v| !v.is_empty()) else { return Ok(0) };
        let digits = value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).ok().filter(|_| digits).ok_or(End::Malformed)?;
        // The text is all digits, so parsing fails only on overflow: the size is valid and too large.
        text.parse().map_err(|_| End::Oversized)
    }
}

/// The length of a packet's header and vars, once the header is complete.
pub fn head_length(begun: &[u8]) -> Option<usize> {
    begun.first_chunk::<HEADER>().map(|h| HEADER + usize::from(u16::from_le_bytes([h[1], h[2]])))
}

/// Writes a packet's header and vars.
///
/// # Errors
/// A var, or all vars together, too long for the 16-bit lengths of a packet.
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

/// A completed part of a packet.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// Header and vars: the raw bytes and the parsed vars.
    Head(Bytes, Vars),
    /// The body.
    Body(Bytes),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    Head,
    Body(usize),
    Done,
}

/// Decodes a connection's bytes into the parts of its single packet.
#[derive(Debug)]
pub struct PacketCodec {
    reading: ReadState,
    vars_max: usize,
    body_max: usize,
}

impl PacketCodec {
    /// Accepts packets with up to `vars_max` bytes of vars and `body_max` bytes of body.
    pub fn new(vars_max: usize, body_max: usize) -> PacketCodec {
        PacketCodec { reading: ReadState::Head, vars_max, body_max }
    }
}

impl Decoder for PacketCodec {
    type Item = Part;
    type Error = End;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Part>, End> {
        match self.reading {
            ReadState::Head => {
                let Some(&[modifier1, low, high, modifier2]) = src.first_chunk::<HEADER>() else {
                    return Ok(None);
                };
                // Zero in both modifiers means a request to the application; no other packet type is supported.
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
                self.reading = ReadState::Body(length);
                Ok(Some(Part::Head(raw, vars)))
            }
            ReadState::Body(length) if src.len() >= length => {
                self.reading = ReadState::Done;
                Ok(Some(Part::Body(src.split_to(length).freeze())))
            }
            ReadState::Body(_) => Ok(None),
            // Bytes after the packet have no meaning.
            ReadState::Done => {
                src.clear();
                Ok(None)
            }
        }
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Part>, End> {
        match self.decode(src)? {
            Some(part) => Ok(Some(part)),
            None if self.reading == ReadState::Done => Ok(None),
            None if self.reading == ReadState::Head && src.is_empty() => Ok(None),
            None => Err(End::CutOff),
        }
    }
}
