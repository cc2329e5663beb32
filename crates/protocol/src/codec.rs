//! Byte layout of messages and records: little-endian `binrw`, with these rules for the types that `binrw` leaves open.
//!
//! | value | bytes |
//! | --- | --- |
//! | `Vec<T>` | number of items (`u32`), then the items |
//! | `Vec<u8>`, `String` | number of bytes (`u32`), then the bytes; strings are UTF-8 |
//! | `Option<T>` | 0, or 1 and the value |
//! | `Option<T>` at the end of a record or message | nothing, or the value |
//! | `bool` | one byte; any other than 0 is true |
//!
//! The functions come in pairs: `read_*` for a field's `parse_with` and `write_*` for its `write_with`.

use crate::error::{ContentSnafu, DecodeError};
use binrw::{BinRead, BinResult, BinWrite, Endian};
use std::io::{Cursor, Read, Seek, SeekFrom};

/// Upper limit of the memory reserved in advance for a list or string, in bytes. The length prefix isn't trusted: a
/// corrupt one must not cause a large allocation.
const MAX_RESERVED_BYTES: usize = 4096;

/// Approximate memory use of a short string, in bytes. Limits how many list entries are reserved in advance.
const RESERVED_BYTES_PER_STRING: usize = 32;

/// Encodes one value without a frame, for records on disk.
pub fn encode_record<T>(value: &T) -> Vec<u8>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    let mut output = Cursor::new(Vec::new());
    // Writing to a `Vec` doesn't fail.
    let _ = value.write_options(&mut output, Endian::Little, ());
    output.into_inner()
}

/// Decodes one value that fills `bytes` completely.
///
/// # Errors
/// [`DecodeError::Content`] if the bytes don't encode a `T` or if bytes remain after it.
pub fn decode_record<T>(bytes: &[u8]) -> Result<T, DecodeError>
where
    T: for<'a> BinRead<Args<'a> = ()>,
{
    let mut input = Cursor::new(bytes);
    match T::read_options(&mut input, Endian::Little, ()) {
        Ok(value) if input.position() == bytes.len() as u64 => Ok(value),
        Ok(_) => ContentSnafu {
            detail: "bytes remain after the value",
        }
        .fail(),
        Err(error) => ContentSnafu {
            detail: error.root_cause().to_string(),
        }
        .fail(),
    }
}

#[binrw::parser(reader, endian)]
pub(crate) fn read_list<T>() -> BinResult<Vec<T>>
where
    T: for<'a> BinRead<Args<'a> = ()>,
{
    let count = u32::read_options(reader, endian, ())? as usize;
    let mut items =
        Vec::with_capacity(count.min(MAX_RESERVED_BYTES / std::mem::size_of::<T>().max(1)));
    for _ in 0..count {
        items.push(T::read_options(reader, endian, ())?);
    }
    Ok(items)
}

#[allow(clippy::ptr_arg, reason = "binrw passes the field by reference")]
#[binrw::writer(writer, endian)]
pub(crate) fn write_list<T>(items: &Vec<T>) -> BinResult<()>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    (items.len() as u32).write_options(writer, endian, ())?;
    items
        .iter()
        .try_for_each(|item| item.write_options(writer, endian, ()))
}

fn read_length_prefixed_bytes<R: Read + Seek>(
    reader: &mut R,
    endian: Endian,
) -> BinResult<Vec<u8>> {
    let length = u32::read_options(reader, endian, ())? as usize;
    let mut bytes = Vec::with_capacity(length.min(MAX_RESERVED_BYTES));
    let read = reader
        .by_ref()
        .take(length as u64)
        .read_to_end(&mut bytes)?;
    if read < length {
        return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
    }
    Ok(bytes)
}

#[binrw::parser(reader, endian)]
pub(crate) fn read_bytes() -> BinResult<Vec<u8>> {
    read_length_prefixed_bytes(reader, endian)
}

#[allow(clippy::ptr_arg, reason = "binrw passes the field by reference")]
#[binrw::writer(writer, endian)]
pub(crate) fn write_bytes(bytes: &Vec<u8>) -> BinResult<()> {
    (bytes.len() as u32).write_options(writer, endian, ())?;
    Ok(writer.write_all(bytes)?)
}

#[binrw::parser(reader, endian)]
pub(crate) fn read_string() -> BinResult<String> {
    let start = reader.stream_position()?;
    String::from_utf8(read_length_prefixed_bytes(reader, endian)?).map_err(|error| {
        binrw::Error::AssertFail {
            pos: start,
            message: error.to_string(),
        }
    })
}

#[binrw::writer(writer, endian)]
pub(crate) fn write_string(string: &String) -> BinResult<()> {
    (string.len() as u32).write_options(writer, endian, ())?;
    Ok(writer.write_all(string.as_bytes())?)
}

#[binrw::parser(reader, endian)]
pub(crate) fn read_strings() -> BinResult<Vec<String>> {
    let count = u32::read_options(reader, endian, ())? as usize;
    let mut strings = Vec::with_capacity(count.min(MAX_RESERVED_BYTES / RESERVED_BYTES_PER_STRING));
    for _ in 0..count {
        strings.push(read_string(reader, endian, ())?);
    }
    Ok(strings)
}

#[allow(clippy::ptr_arg, reason = "binrw passes the field by reference")]
#[binrw::writer(writer, endian)]
pub(crate) fn write_strings(strings: &Vec<String>) -> BinResult<()> {
    (strings.len() as u32).write_options(writer, endian, ())?;
    strings
        .iter()
        .try_for_each(|string| write_string(string, writer, endian, ()))
}

#[binrw::parser(reader, endian)]
pub(crate) fn read_option<T>() -> BinResult<Option<T>>
where
    T: for<'a> BinRead<Args<'a> = ()>,
{
    match u8::read_options(reader, endian, ())? {
        0 => Ok(None),
        1 => Ok(Some(T::read_options(reader, endian, ())?)),
        tag => Err(binrw::Error::AssertFail {
            pos: reader.stream_position()?,
            message: format!("invalid option tag {tag}, expected 0 or 1"),
        }),
    }
}

#[binrw::writer(writer, endian)]
pub(crate) fn write_option<T>(value: &Option<T>) -> BinResult<()>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    u8::from(value.is_some()).write_options(writer, endian, ())?;
    value
        .iter()
        .try_for_each(|value| value.write_options(writer, endian, ()))
}

/// Reads an optional value at the end of a record. Releases that don't know the field write records that end before it.
#[binrw::parser(reader, endian)]
pub(crate) fn read_trailing_option<T>() -> BinResult<Option<T>>
where
    T: for<'a> BinRead<Args<'a> = ()>,
{
    let start = reader.stream_position()?;
    let end = reader.seek(SeekFrom::End(0))?;
    reader.seek(SeekFrom::Start(start))?;
    if start == end {
        return Ok(None);
    }
    T::read_options(reader, endian, ()).map(Some)
}

#[binrw::writer(writer, endian)]
pub(crate) fn write_trailing_option<T>(value: &Option<T>) -> BinResult<()>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    value
        .iter()
        .try_for_each(|value| value.write_options(writer, endian, ()))
}

#[binrw::parser(reader, endian)]
pub(crate) fn read_bool() -> BinResult<bool> {
    Ok(u8::read_options(reader, endian, ())? != 0)
}

#[binrw::writer(writer, endian)]
pub(crate) fn write_bool(value: &bool) -> BinResult<()> {
    u8::from(*value).write_options(writer, endian, ())
}
