//! How values are laid out in bytes: `binrw`'s form, little-endian, with these rules for what it leaves open.
//!
//! | value | bytes |
//! | --- | --- |
//! | `Vec<T>` | number of items (`u32`), then the items |
//! | `Vec<u8>`, `String` | number of bytes (`u32`), then the bytes; strings are UTF-8 |
//! | `Option<T>` | 0, or 1 and the value |
//! | `Option<T>` at the end of a record or message | nothing, or the value |
//! | `bool` | one byte; any other than 0 is true |
//!
//! The functions come in pairs: `read_*` for `parse_with` and `write_*` for `write_with` of a field.

use crate::error::{ContentSnafu, DecodeError};
use binrw::{BinRead, BinResult, BinWrite, Endian};
use std::io::{Cursor, Read, Seek, SeekFrom};

/// The most memory in bytes that is reserved for a list or string because of its stated length alone. A damaged length
/// thus costs no memory.
const MAX_RESERVED_BYTES: usize = 4096;

/// About how much memory a short string takes, in bytes, to bound what is reserved for a list of them.
const RESERVED_BYTES_PER_STRING: usize = 32;

/// Encodes one value without a frame, for records on disk.
pub fn encode_record<T>(value: &T) -> Vec<u8>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    let mut out = Cursor::new(Vec::new());
    // Writing to memory doesn't fail.
    let _ = value.write_options(&mut out, Endian::Little, ());
    out.into_inner()
}

/// Decodes one value that takes up all of `bytes`.
///
/// # Errors
/// [`DecodeError::Content`] if the bytes are not such a value, or if bytes are left over.
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
pub(crate) fn read_list<T>() -> BinResult<Vec<T>>
where
    T: for<'a> BinRead<Args<'a> = ()>,
{
    let count = u32::read_options(reader, endian, ())? as usize;
    let mut all =
        Vec::with_capacity(count.min(MAX_RESERVED_BYTES / std::mem::size_of::<T>().max(1)));
    for _ in 0..count {
        all.push(T::read_options(reader, endian, ())?);
    }
    Ok(all)
}

#[allow(clippy::ptr_arg, reason = "binrw passes the field by reference")]
#[binrw::writer(writer, endian)]
pub(crate) fn write_list<T>(all: &Vec<T>) -> BinResult<()>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    (all.len() as u32).write_options(writer, endian, ())?;
    all.iter()
        .try_for_each(|one| one.write_options(writer, endian, ()))
}

fn read_counted_bytes<R: Read + Seek>(reader: &mut R, endian: Endian) -> BinResult<Vec<u8>> {
    let count = u32::read_options(reader, endian, ())? as usize;
    let mut all = Vec::with_capacity(count.min(MAX_RESERVED_BYTES));
    let read = reader.by_ref().take(count as u64).read_to_end(&mut all)?;
    if read < count {
        return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
    }
    Ok(all)
}

#[binrw::parser(reader, endian)]
pub(crate) fn read_bytes() -> BinResult<Vec<u8>> {
    read_counted_bytes(reader, endian)
}

#[allow(clippy::ptr_arg, reason = "binrw passes the field by reference")]
#[binrw::writer(writer, endian)]
pub(crate) fn write_bytes(all: &Vec<u8>) -> BinResult<()> {
    (all.len() as u32).write_options(writer, endian, ())?;
    Ok(writer.write_all(all)?)
}

#[binrw::parser(reader, endian)]
pub(crate) fn read_string() -> BinResult<String> {
    let at = reader.stream_position()?;
    String::from_utf8(read_counted_bytes(reader, endian)?).map_err(|e| binrw::Error::AssertFail {
        pos: at,
        message: e.to_string(),
    })
}

#[binrw::writer(writer, endian)]
pub(crate) fn write_string(all: &String) -> BinResult<()> {
    (all.len() as u32).write_options(writer, endian, ())?;
    Ok(writer.write_all(all.as_bytes())?)
}

#[binrw::parser(reader, endian)]
pub(crate) fn read_strings() -> BinResult<Vec<String>> {
    let count = u32::read_options(reader, endian, ())? as usize;
    let mut all = Vec::with_capacity(count.min(MAX_RESERVED_BYTES / RESERVED_BYTES_PER_STRING));
    for _ in 0..count {
        all.push(read_string(reader, endian, ())?);
    }
    Ok(all)
}

#[allow(clippy::ptr_arg, reason = "binrw passes the field by reference")]
#[binrw::writer(writer, endian)]
pub(crate) fn write_strings(all: &Vec<String>) -> BinResult<()> {
    (all.len() as u32).write_options(writer, endian, ())?;
    all.iter()
        .try_for_each(|one| write_string(one, writer, endian, ()))
}

#[binrw::parser(reader, endian)]
pub(crate) fn read_option<T>() -> BinResult<Option<T>>
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
pub(crate) fn write_option<T>(one: &Option<T>) -> BinResult<()>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    u8::from(one.is_some()).write_options(writer, endian, ())?;
    one.iter()
        .try_for_each(|one| one.write_options(writer, endian, ()))
}

/// Reads an optional value behind which nothing follows: records of releases that don't know it end before it.
#[binrw::parser(reader, endian)]
pub(crate) fn read_trailing<T>() -> BinResult<Option<T>>
where
    T: for<'a> BinRead<Args<'a> = ()>,
{
    let at = reader.stream_position()?;
    let end = reader.seek(SeekFrom::End(0))?;
    reader.seek(SeekFrom::Start(at))?;
    if at == end {
        return Ok(None);
    }
    T::read_options(reader, endian, ()).map(Some)
}

#[binrw::writer(writer, endian)]
pub(crate) fn write_trailing<T>(one: &Option<T>) -> BinResult<()>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    one.iter()
        .try_for_each(|one| one.write_options(writer, endian, ()))
}

#[binrw::parser(reader, endian)]
pub(crate) fn read_bool() -> BinResult<bool> {
    Ok(u8::read_options(reader, endian, ())? != 0)
}

#[binrw::writer(writer, endian)]
pub(crate) fn write_bool(one: &bool) -> BinResult<()> {
    u8::from(*one).write_options(writer, endian, ())
}
