//! Messages with a file descriptor over a Unix socket (`SCM_RIGHTS`): the body's length as a big-endian `u32`, then the
//! body. The descriptor is attached to the first byte.

use super::messages::MAX_MESSAGE_BYTES;
use super::HotRestartError;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::UnixStream;

/// Size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 4;

/// Reads one message and the descriptor attached to it, if any.
pub(super) async fn receive_with_descriptor(
    link: &mut UnixStream,
) -> Result<(Option<OwnedFd>, Vec<u8>), HotRestartError> {
    let (mut length, mut received, mut descriptor) = ([0; LENGTH_BYTES], 0, None);
    while received < LENGTH_BYTES {
        link.readable().await?;
        let result = link.try_io(Interest::READABLE, || {
            receive_part(link, &mut length[received..], &mut descriptor)
        });
        match result {
            Ok(0) => return Err(HotRestartError::EndedEarly),
            Ok(bytes) => received += bytes,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e.into()),
        }
    }
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(HotRestartError::StateTooLong(length));
    }
    let mut body = vec![0; length];
    link.read_exact(&mut body).await?;
    Ok((descriptor, body))
}

/// Reads once from a readable socket. Returns the number of bytes; 0 means the end of the stream.
fn receive_part(
    link: &UnixStream,
    buffer: &mut [u8],
    descriptor: &mut Option<OwnedFd>,
) -> std::io::Result<usize> {
    let mut control_buffer = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut control_buffer);
    let mut buffers = [IoSliceMut::new(buffer)];
    let received = recvmsg(link, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(descriptors) = message {
            *descriptor = descriptors.into_iter().next().or(descriptor.take());
        }
    }
    Ok(received.bytes)
}

/// Sends one message with the descriptor of a listening socket.
pub(super) async fn send_with_descriptor(
    link: &mut UnixStream,
    listener: &TcpListener,
    body: &[u8],
) -> std::io::Result<()> {
    let length = u32::try_from(body.len())
        .map_err(std::io::Error::other)?
        .to_be_bytes();
    let sent = loop {
        link.writable().await?;
        let result = link.try_io(Interest::WRITABLE, || send_part(link, listener, &length));
        match result {
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            sent => break sent?,
        }
    };
    link.write_all(&length[sent..]).await?;
    link.write_all(body).await
}

/// Writes once to a writable socket, with the descriptor attached. Returns the number of bytes.
fn send_part(link: &UnixStream, listener: &TcpListener, bytes: &[u8]) -> std::io::Result<usize> {
    let mut control_buffer = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut control_buffer);
    let descriptors = [listener.as_fd()];
    control.push(SendAncillaryMessage::ScmRights(&descriptors));
    let buffers = [IoSlice::new(bytes)];
    Ok(sendmsg(link, &buffers, &mut control, SendFlags::NOSIGNAL)?)
}
