//! Bytes in and out of a socket, by shared reference so that one side can be watched while the other writes.

use bytes::BytesMut;
use http1::Fields;
use std::io::{self, IoSlice};
use tokio::net::TcpStream;

/// Room made for each read.
const READ: usize = 4096;

/// Reads once into `buf`; 0 is the end. Nothing is lost if this is dropped half-way, and no memory is held
/// while nothing comes.
pub(crate) async fn fill(stream: &TcpStream, buf: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        buf.reserve(READ);
        match stream.try_read_buf(buf) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            done => return done,
        }
    }
}

/// Writes `head` and then `body`, counting in `written` what the system has taken so far.
pub(crate) async fn write_all(
    stream: &TcpStream,
    head: &[u8],
    body: &[u8],
    written: &mut usize,
) -> io::Result<()> {
    let whole = head.len() + body.len();
    while *written < whole {
        let rest_of_head = head.get(*written..).unwrap_or_default();
        let rest_of_body = body
            .get(written.saturating_sub(head.len())..)
            .unwrap_or_default();
        let wrote = match (rest_of_head.is_empty(), rest_of_body.is_empty()) {
            (true, _) => stream.try_write(rest_of_body),
            (false, true) => stream.try_write(rest_of_head),
            (false, false) => {
                stream.try_write_vectored(&[IoSlice::new(rest_of_head), IoSlice::new(rest_of_body)])
            }
        };
        match wrote {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => *written += n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Whether nothing waits to be read and the other side has not ended, as the system knows it now.
pub(crate) fn quiet(stream: &TcpStream) -> bool {
    use rustix::net::{recv, RecvFlags};
    let mut byte = [0u8; 1];
    matches!(
        recv(stream, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT),
        Err(rustix::io::Errno::AGAIN)
    )
}

/// What ties an answer to its request and to its host, whatever a head says of its connection.
const END_TO_END: [&str; 2] = ["fennelpin-attempt-id", "fennelpin-host-seal"];

/// Whether a field concerns only the connection that it came on.
pub(crate) fn stays_here(fields: &Fields, name: &[u8]) -> bool {
    let passes = END_TO_END
        .iter()
        .any(|n| name.eq_ignore_ascii_case(n.as_bytes()));
    !passes && fields.is_hop_by_hop(name)
}

/// Appends a line of a head.
pub(crate) fn field(out: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    out.extend_from_slice(name);
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
