//! Frames, and how strings, lists and options are laid out.

use crate::message::Message;
use binrw::{BinRead, BinResult, BinWrite, Endian};
use snafu::Snafu;
use std::io::{Cursor, Read, Seek};

/// Version of the format. A frame of another one ends its connection.
pub const FRAME_VERSION: u8 = 2;
/// Largest frame in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Longest list or string that is read without its bytes being there yet.
const RESERVE: usize = 4096;

/// Why bytes are no frame.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    /// Its length can't be.
    #[snafu(display("a frame of {length} bytes"))]
    Length {
        /// The length it claims.
        length: usize,
    },
    /// It is of another version.
    #[snafu(display("a frame of version {version}, {FRAME_VERSION} is spoken"))]
    Version {
        /// The version it claims.
        version: u8,
    },
    /// Its content can't be read.
    #[snafu(display("unreadable: {detail}"))]
    Content {
        /// What is wrong.
        detail: String,
    },
}

/// The frame of a message.
pub fn encode(message: &Message) -> Vec<u8> {
    let body = encode_record(message);
    let mut frame = Vec::with_capacity(body.len() + 5);
    frame.extend_from_slice(&(body.len() as u32 + 1).to_le_bytes());
    frame.push(FRAME_VERSION);
    frame.extend_from_slice(&body);
    frame
}

/// The first message in `bytes` and the length of its frame; `None` where more bytes are needed.
///
/// # Errors
/// Where the bytes are no frame: the connection is of no more use.
pub fn decode(bytes: &[u8]) -> Result<Option<(Message, usize)>, DecodeError> {
    let Some(head) = bytes.get(..4) else {
        return Ok(None);
    };
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return LengthSnafu { length }.fail();
    }
    let Some(&version) = bytes.get(4) else {
        return Ok(None);
    };
    if version != FRAME_VERSION {
        return VersionSnafu { version }.fail();
    }
    let Some(body) = bytes.get(5..4 + length) else {
        return Ok(None);
    };
    Ok(Some((decode_record(body)?, 4 + length)))
}

/// Bytes of one value, without a frame; for records on disk.
pub fn encode_record<T>(value: &T) -> Vec<u8>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    let mut out = Cursor::new(Vec::new());
    // Writing to memory can't fail.
    let _ = value.write_options(&mut out, Endian::Little, ());
    out.into_inner()
}

/// Reads one value that takes up all of `bytes`.
///
/// # Errors
/// Where the bytes don't say such a value or hold more.
pub fn decode_record<T>(bytes: &[u8]) -> Result<T, DecodeError>
where
    T: for<'a> BinRead<Args<'a> = ()>,
{
    let mut input = Cursor::new(bytes);
    match T::read_options(&mut input, Endian::Little, ()) {
        Ok(value) if input.position() == bytes.len() as u64 => Ok(value),
        Ok(_) => ContentSnafu {
            detail: "bytes are left over",
        }
        .fail(),
        Err(e) => ContentSnafu {
            detail: e.root_cause().to_string(),
        }
        .fail(),
    }
}

#[binrw::parser(reader, endian)]
pub(crate) fn list<T>() -> BinResult<Vec<T>>
where
    T: for<'a> BinRead<Args<'a> = ()>,
{
    let count = u32::read_options(reader, endian, ())? as usize;
    let mut all = Vec::with_capacity(count.min(RESERVE / std::mem::size_of::<T>().max(1)));
    for _ in 0..count {
        all.push(T::read_options(reader, endian, ())?);
    }
    Ok(all)
}

#[allow(clippy::ptr_arg)] // The field itself is handed in.
#[binrw::writer(writer, endian)]
pub(crate) fn put_list<T>(all: &Vec<T>) -> BinResult<()>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    (all.len() as u32).write_options(writer, endian, ())?;
    all.iter()
        .try_for_each(|one| one.write_options(writer, endian, ()))
}

fn some_bytes<R: Read + Seek>(reader: &mut R, endian: Endian) -> BinResult<Vec<u8>> {
    let count = u32::read_options(reader, endian, ())? as usize;
    let mut all = Vec::with_capacity(count.min(RESERVE));
    let read = reader.by_ref().take(count as u64).read_to_end(&mut all)?;
    if read < count {
        return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
    }
    Ok(all)
}

#[binrw::parser(reader, endian)]
pub(crate) fn bytes() -> BinResult<Vec<u8>> {
    some_bytes(reader, endian)
}

#[allow(clippy::ptr_arg)] // The field itself is handed in.
#[binrw::writer(writer, endian)]
pub(crate) fn put_bytes(all: &Vec<u8>) -> BinResult<()> {
    (all.len() as u32).write_options(writer, endian, ())?;
    Ok(writer.write_all(all)?)
}

#[binrw::parser(reader, endian)]
pub(crate) fn text() -> BinResult<String> {
    let at = reader.stream_position()?;
    String::from_utf8(some_bytes(reader, endian)?).map_err(|e| binrw::Error::AssertFail {
        pos: at,
        message: e.to_string(),
    })
}

#[binrw::writer(writer, endian)]
pub(crate) fn put_text(all: &String) -> BinResult<()> {
    (all.len() as u32).write_options(writer, endian, ())?;
    Ok(writer.write_all(all.as_bytes())?)
}

#[binrw::parser(reader, endian)]
pub(crate) fn texts() -> BinResult<Vec<String>> {
    let count = u32::read_options(reader, endian, ())? as usize;
    let mut all = Vec::with_capacity(count.min(RESERVE / 32));
    for _ in 0..count {
        all.push(text(reader, endian, ())?);
    }
    Ok(all)
}

#[allow(clippy::ptr_arg)] // The field itself is handed in.
#[binrw::writer(writer, endian)]
pub(crate) fn put_texts(all: &Vec<String>) -> BinResult<()> {
    (all.len() as u32).write_options(writer, endian, ())?;
    all.iter()
        .try_for_each(|one| put_text(one, writer, endian, ()))
}

#[binrw::parser(reader, endian)]
pub(crate) fn option<T>() -> BinResult<Option<T>>
where
    T: for<'a> BinRead<Args<'a> = ()>,
{
    match u8::read_options(reader, endian, ())? {
        0 => Ok(None),
        1 => Ok(Some(T::read_options(reader, endian, ())?)),
        other => Err(binrw::Error::AssertFail {
            pos: reader.stream_position()?,
            message: format!("neither there nor not: {other}"),
        }),
    }
}

#[binrw::writer(writer, endian)]
pub(crate) fn put_option<T>(one: &Option<T>) -> BinResult<()>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    u8::from(one.is_some()).write_options(writer, endian, ())?;
    one.iter()
        .try_for_each(|one| one.write_options(writer, endian, ()))
}

#[binrw::parser(reader, endian)]
pub(crate) fn flag() -> BinResult<bool> {
    Ok(u8::read_options(reader, endian, ())? != 0)
}

#[binrw::writer(writer, endian)]
pub(crate) fn put_flag(one: &bool) -> BinResult<()> {
    u8::from(*one).write_options(writer, endian, ())
}
