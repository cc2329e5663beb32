//! Inbound connections of other processes: members that send messages, and subscribers that pull.

use super::connection::set_socket_options;
use super::peer_connections::PeerConnections;
use crate::registry_publisher::RegistryPublisher;
use protocol::{MemberInfo, Message};
use replication::FrameReader;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Longest wait for each of the first two messages on a connection.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before the next attempt to accept after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections until the process ends.
pub(super) async fn accept(
    listener: TcpListener,
    peers: PeerConnections,
    publisher: Arc<RegistryPublisher>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_and_log_failure(
                    stream,
                    peers.clone(),
                    publisher.clone(),
                ));
            }
            // The process is out of file descriptors, or the client has already disconnected.
            Err(error) => {
                log::debug!(error:%; "accepting a connection failed; retrying");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_and_log_failure(
    stream: TcpStream,
    peers: PeerConnections,
    publisher: Arc<RegistryPublisher>,
) {
    if let Err(error) = serve(stream, peers, publisher).await {
        log::debug!(error:%; "inbound connection failed; closing it");
    }
}

/// Serves a connection. Its first messages determine whether it is a subscriber's or a member's.
async fn serve(
    stream: TcpStream,
    peers: PeerConnections,
    publisher: Arc<RegistryPublisher>,
) -> std::io::Result<()> {
    set_socket_options(&stream)?;
    let mut frames = FrameReader::new(stream, Vec::new());
    let Some((sender, first)) = first_messages(&mut frames).await? else {
        return Ok(());
    };
    let (stream, rest) = frames.into_parts();
    match first {
        pull @ Message::Pull { .. } => {
            let buffer = [protocol::encode(&pull), rest].concat();
            replication::serve(stream, buffer, publisher.mirror().clone(), |subscriber| {
                publisher.record_pull(subscriber);
            })
            .await
        }
        first if sender.id != 0 => {
            let (input, output) = stream.into_split();
            peers
                .serve(sender, first, FrameReader::new(input, rest), output)
                .await
        }
        _ => Ok(()),
    }
}

/// Reads the sender's hello and the first message after it. Without a hello, the sender is the default member. Returns
/// `None` if the connection ends before the first message.
async fn first_messages(
    frames: &mut FrameReader<TcpStream>,
) -> std::io::Result<Option<(MemberInfo, Message)>> {
    let first = timeout(FIRST_MESSAGE_TIMEOUT, frames.next()).await??;
    let Some(Message::Hello { sender }) = first else {
        return Ok(first.map(|message| (MemberInfo::default(), message)));
    };
    let second = timeout(FIRST_MESSAGE_TIMEOUT, frames.next()).await??;
    Ok(second.map(|message| (sender, message)))
}
