//! The subset of MessagePack that the platform's protocol needs: reads complete values from bytes that may be cut off
//! anywhere.

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;

/// The deepest nesting that is read.
const DEPTH_MAX: usize = 8;

/// One value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// The nil value.
    Nil,
    /// A boolean.
    Bool(bool),
    /// An integer.
    Int(i128),
    /// A floating-point number of 32 or 64 bits.
    Float(f64),
    /// A string, which may be invalid UTF-8.
    Str(Bytes),
    /// Binary data.
    Bin(Bytes),
    /// An extension, whose type and data are skipped.
    Ext,
    /// An array.
    Array(Vec<Value>),
    /// Key-value pairs, in the order of the bytes.
    Map(Vec<(Value, Value)>),
}

impl Value {
    /// The text of a string; none where it is invalid UTF-8 or the value is not a string.
    pub fn text(&self) -> Option<&str> {
        if let Value::Str(b) = self { std::str::from_utf8(b).ok() } else { None }
    }
}

/// Why no value could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PackError {
    /// The bytes end before the value does.
    #[error("incomplete")]
    Incomplete,
    /// The bytes are not valid MessagePack, or are nested too deeply.
    #[error("not MessagePack")]
    Invalid,
}

/// Reads values one after another from the start of a byte string.
pub struct Reader<'a> {
    bytes: &'a Bytes,
    at: usize,
}

impl<'a> Reader<'a> {
    /// Reads from the start of `bytes`.
    pub fn new(bytes: &'a Bytes) -> Self {
        Reader { bytes, at: 0 }
    }

    /// Bytes read so far.
    pub fn used(&self) -> usize {
        self.at
    }

    fn take(&mut self, n: usize) -> Result<Bytes, PackError> {
        let end = self.at.checked_add(n).ok_or(PackError::Invalid)?;
        if end > self.bytes.len() {
            return Err(PackError::Incomplete);
        }
        let taken = self.bytes.slice(self.at..end);
        self.at = end;
        Ok(taken)
    }

    fn uint(&mut self, n: usize) -> Result<u64, PackError> {
        Ok(self.take(n)?.iter().fold(0, |x, b| (x << 8) | u64::from(*b)))
    }

    fn int(&mut self, n: usize) -> Result<Value, PackError> {
        let shift = 64 - 8 * n as u32;
        Ok(Value::Int(i128::from(((self.uint(n)? << shift) as i64) >> shift)))
    }

    fn array(&mut self, n: u64, depth: usize) -> Result<Value, PackError> {
        // The claimed length reserves no memory, as a peer can claim any length.
        let mut items = Vec::new();
        for _ in 0..n {
            items.push(self.value(depth)?);
        }
        Ok(Value::Array(items))
    }

    fn map(&mut self, n: u64, depth: usize) -> Result<Value, PackError> {
        let mut pairs = Vec::new();
        for _ in 0..n {
            pairs.push((self.value(depth)?, self.value(depth)?));
        }
        Ok(Value::Map(pairs))
    }

    /// Reads one value.
    ///
    /// # Errors
    /// [`PackError::Incomplete`] where the bytes end too soon; [`PackError::Invalid`] where they are not MessagePack.
    pub fn read(&mut self) -> Result<Value, PackError> {
        self.value(DEPTH_MAX)
    }

    fn value(&mut self, depth: usize) -> Result<Value, PackError> {
        let depth = depth.checked_sub(1).ok_or(PackError::Invalid)?;
        let tag = self.uint(1)? as u8;
        Ok(match tag {
            0x00..=0x7f => Value::Int(i128::from(tag)),
            0x80..=0x8f => self.map(u64::from(tag & 0x0f), depth)?,
            0x90..=0x9f => self.array(u64::from(tag & 0x0f), depth)?,
            0xa0..=0xbf => Value::Str(self.take(usize::from(tag & 0x1f))?),
            0xc0 => Value::Nil,
            0xc1 => return Err(PackError::Invalid),
            0xc2 | 0xc3 => Value::Bool(tag == 0xc3),
            0xc4..=0xc6 => {
                let n = self.uint(1 << (tag - 0xc4))?;
                Value::Bin(self.take(n as usize)?)
            }
            0xc7..=0xc9 => {
                let n = self.uint(1 << (tag - 0xc7))? as usize;
                self.take(n.saturating_add(1))?;
                Value::Ext
            }
            0xca => Value::Float(f64::from(f32::from_bits(self.uint(4)? as u32))),
            0xcb => Value::Float(f64::from_bits(self.uint(8)?)),
            0xcc..=0xcf => Value::Int(i128::from(self.uint(1 << (tag - 0xcc))?)),
            0xd0..=0xd3 => self.int(1 << (tag - 0xd0))?,
            0xd4..=0xd8 => {
                self.take((1 << (tag - 0xd4)) + 1)?;
                Value::Ext
            }
            0xd9..=0xdb => {
                let n = self.uint(1 << (tag - 0xd9))?;
                Value::Str(self.take(n as usize)?)
            }
            0xdc | 0xdd => {
                let n = self.uint(2 << (tag - 0xdc))?;
                self.array(n, depth)?
            }
            0xde | 0xdf => {
                let n = self.uint(2 << (tag - 0xde))?;
                self.map(n, depth)?
            }
            0xe0..=0xff => Value::Int(i128::from(tag as i8)),
        })
    }
}

/// Appends the encoding of a value; [`Value::Ext`] is written as nil.
pub fn write(out: &mut BytesMut, v: &Value) {
    /// Writes the tag and length of a value whose length has three or four encodings.
    fn write_length(out: &mut BytesMut, n: usize, short: Option<(u8, usize)>, tags: [u8; 3]) {
        match (n, short) {
            (_, Some((tag, most))) if n <= most => out.put_u8(tag | n as u8),
            (0..=0xff, _) if tags[0] != 0 => out.put_slice(&[tags[0], n as u8]),
            (0..=0xffff, _) => {
                out.put_u8(tags[1]);
                out.put_u16(n as u16);
            }
            _ => {
                out.put_u8(tags[2]);
                out.put_u32(n as u32);
            }
        }
    }
    match v {
        Value::Nil | Value::Ext => out.put_u8(0xc0),
        Value::Bool(b) => out.put_u8(0xc2 | u8::from(*b)),
        Value::Int(n @ 0..=0x7f) => out.put_u8(*n as u8),
        Value::Int(n @ 0..=0xffff_ffff) => {
            out.put_u8(0xce);
            out.put_u32(*n as u32);
        }
        Value::Int(n) => {
            out.put_u8(0xd3);
            out.put_i64(*n as i64);
        }
        Value::Float(x) => {
            out.put_u8(0xcb);
            out.put_f64(*x);
        }
        Value::Str(b) => {
            write_length(out, b.len(), Some((0xa0, 31)), [0xd9, 0xda, 0xdb]);
            out.put_slice(b);
        }
        Value::Bin(b) => {
            write_length(out, b.len(), None, [0xc4, 0xc5, 0xc6]);
            out.put_slice(b);
        }
        Value::Array(items) => {
            write_length(out, items.len(), Some((0x90, 15)), [0, 0xdc, 0xdd]);
            items.iter().for_each(|i| write(out, i));
        }
        Value::Map(pairs) => {
            write_length(out, pairs.len(), Some((0x80, 15)), [0, 0xde, 0xdf]);
            pairs.iter().for_each(|(k, v)| {
                write(out, k);
                write(out, v);
            });
        }
    }
}

/// Makes a string value.
pub fn text(s: impl Into<String>) -> Value {
    Value::Str(Bytes::from(s.into()))
}
